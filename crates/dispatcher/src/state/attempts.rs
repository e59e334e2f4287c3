//! Attempts at engines: start, resend, cancel, time out and end.

use super::engine_requests::{body_of, state_of};
use super::kv_states::Held;
use super::requests::Attempt;
use super::stream_purpose::StreamPurpose;
use super::*;
use cindercleat::connection_pool::PlacementError;

impl Dispatcher {
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        engine: EngineId,
        until: Option<Ms>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let no = AttemptId(request.attempts);
        request.attempts += 1;
        let (holds_no_state, answered) = (self.kv_states.on_offer(id).is_none(), request.answered);
        let reads = self
            .endpoints
            .engines
            .get(&engine)
            .is_some_and(|row| row.role == Role::Prefill);
        let reading = holds_no_state && reads;
        // What must not be ends as never sent.
        if !self.guard_attempt(id, &engine, reading, out) {
            return self
                .events
                .push(never_sent(id, no, engine, Outcome::NotSent, answered));
        }
        let (Some(request), Some(row)) = (
            self.requests.get_mut(&id),
            self.endpoints.engines.get(&engine),
        ) else {
            return;
        };
        let address = row.line.address.clone();
        let until = until.unwrap_or(request.ends).min(request.ends);
        let state = state_of(self.settings.run, id, no);
        let window = self.settings.limits.window;
        let held = self.kv_states.on_offer(id).map(|state| &state.held);
        let body = body_of(
            request,
            held,
            reading.then_some(state),
            &self.endpoints,
            window,
            until - self.now,
        );
        let purpose = StreamPurpose::Attempt(id, no);
        let opened = self.connections.open(
            &engine,
            &address,
            purpose,
            self.now,
            &self.settings,
            (&mut self.timers, out),
        );
        let (connection, stream) = match opened {
            Ok(place) => place,
            // The next choice is to pass the engine by for a moment, or to judge it: it could not be reached.
            Err(refusal) => {
                let outcome = match refusal {
                    PlacementError::AllTaken => Outcome::Overloaded,
                    PlacementError::NotYet => Outcome::Unreachable,
                };
                return self
                    .events
                    .push(never_sent(id, no, engine, outcome, request.answered));
            }
        };
        request.out = Some(Attempt {
            no,
            engine,
            connection,
            stream,
            reading,
            since: self.now,
            sent: None,
            is_doubted: false,
            until,
            first: false,
            position: 0,
            came: 0,
            gone: 0,
            credited: self.settings.limits.window,
            last_came: self.now,
            last_gone: self.now,
        });
        if self
            .connections
            .get(connection)
            .is_some_and(|connection| connection.up)
        {
            request.note_sent(self.now);
        }
        if !reading {
            self.kv_states.offer(id, no);
        }
        self.timers.set(until, Due::Attempt(id, no));
        self.connections.send(connection, stream, body, out);
    }

    /// An attempt that its connection did not carry, as it was over before anything was written, goes out on
    /// another one: the engine has said nothing of it. Tells whether it could.
    pub(super) fn resend_attempt(&mut self, id: RequestId, out: &mut Vec<Output>) -> bool {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.answered)
        else {
            return false;
        };
        let Some(attempt) = request.out.as_ref().filter(|attempt| !attempt.first) else {
            return false;
        };
        let Some(row) = self.endpoints.engines.get(&attempt.engine) else {
            return false;
        };
        if row.status != EndpointStatus::Ready {
            return false;
        }
        let (no, engine, address) = (attempt.no, attempt.engine.clone(), row.line.address.clone());
        let state = attempt.reading.then(|| state_of(self.settings.run, id, no));
        let window = self.settings.limits.window;
        let held = self.kv_states.on_offer(id).map(|state| &state.held);
        let body = body_of(
            request,
            held,
            state,
            &self.endpoints,
            window,
            attempt.until - self.now,
        );
        let to = (&mut self.timers, &mut *out);
        let purpose = StreamPurpose::Attempt(id, no);
        let opened =
            self.connections
                .open(&engine, &address, purpose, self.now, &self.settings, to);
        let (Ok((connection, stream)), Some(attempt)) = (opened, request.out.as_mut()) else {
            return false;
        };
        (attempt.connection, attempt.stream) = (connection, stream);
        attempt.sent = self
            .connections
            .get(connection)
            .filter(|connection| connection.up)
            .map(|_| self.now);
        self.connections.send(connection, stream, body, out);
        true
    }

    /// The wire's end of the attempt that is out: what has not gone out is taken back, else the engine is told.
    /// Tells whether it never went out.
    pub(super) fn stop_attempt(&mut self, id: RequestId, out: &mut Vec<Output>) -> bool {
        let Some(attempt) = self.requests.get(&id).and_then(|t| t.out.as_ref()) else {
            return true;
        };
        let (connection, stream) = (attempt.connection, attempt.stream);
        if self.connections.unsend(connection, stream) {
            self.connections
                .close_stream(connection, stream, self.now, &mut self.timers);
            return true;
        }
        // The stream stays taken until the engine ends it: what the engine still works on takes room there.
        let prefilled = self.prefill_out(id);
        self.make_past(connection, stream);
        if !fault_injection::is(Plant::CancelLost) {
            self.connections
                .send(connection, stream, Body::Cancel(v1::Cancel {}), out);
        }
        // The prefill may have ended at the engine before the cancel comes, with nobody left to hear of it.
        if let Some(held) = prefilled {
            self.release_leftover(id, held, out);
        }
        false
    }

    /// The state that the prefill which is out for a request leaves, if one is out.
    pub(super) fn prefill_out(&self, id: RequestId) -> Option<Held> {
        let request = self.requests.get(&id)?;
        let attempt = request.out.as_ref().filter(|attempt| attempt.reading)?;
        let state = state_of(self.settings.run, id, attempt.no);
        Some(Held {
            engine: attempt.engine.clone(),
            id: state,
            origin: request.origin(),
        })
    }

    /// The ledger's end of the attempt that is out; the decisions are told.
    pub(super) fn end_attempt(&mut self, id: RequestId, outcome: Outcome, detail: f64, load: Load) {
        self.note_run(id, outcome);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.out.take() else {
            return;
        };
        self.unconfirmed.remove(&id);
        if outcome == Outcome::PrefillDone {
            let state = state_of(self.settings.run, id, attempt.no);
            let held = Held {
                engine: attempt.engine.clone(),
                id: state,
                origin: request.origin(),
            };
            self.kv_states.hold(id, held, self.now);
        }
        let latency = self.now - attempt.since;
        let last = request.answered;
        self.settle_state(id, &attempt, outcome);
        let (attempt, engine) = (attempt.no, attempt.engine);
        self.events.push(Event::Ended(Ended {
            request: id,
            attempt,
            engine,
            outcome,
            latency,
            last,
            detail,
            load,
        }));
        self.forget_past(id);
    }

    /// An attempt whose outcome the client is told at once: its whole answer, or the break of its stream. For a
    /// stream that had begun there is no other way on: what was sent cannot be taken back.
    pub(super) fn finish_attempt(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        reason: &str,
        load: Load,
        out: &mut Vec<Output>,
    ) {
        let streams = self.requests.get(&id).is_some_and(Request::streams);
        match outcome {
            Outcome::Succeeded => self.answer(id, v1::Answer::Succeeded, 0.0, "", out),
            _ if streams => self.answer(id, v1::Answer::Failed, 0.0, reason, out),
            _ => {}
        }
        // A prefill that broke may have ended at its engine, with the word of it lost: its state would lie there.
        let held = self
            .prefill_out(id)
            .filter(|_| matches!(outcome, Outcome::ConnectionLost | Outcome::Failed));
        if let Some(held) = held.filter(|_| !fault_injection::is(Plant::BrokenReadKept)) {
            self.release_leftover(id, held, out);
        }
        self.end_attempt(id, outcome, 0.0, load);
    }

    pub(super) fn call_off(&mut self, id: RequestId, no: AttemptId, out: &mut Vec<Output>) {
        let attempt = self.requests.get(&id).and_then(|t| t.out.as_ref());
        if !attempt.is_some_and(|l| l.no == no && !l.first) {
            return;
        }
        if let Some((doubt, text)) = self.doubt(id).filter(|_| !self.is_answered(id)) {
            let text = format!("attempt given up, {doubt}: {text}");
            out.push(Output::Log {
                level: Level::Info,
                text,
            });
        }
        let unsent = self.stop_attempt(id, out);
        self.end_attempt(
            id,
            if unsent {
                Outcome::NotSent
            } else {
                Outcome::Cancelled
            },
            0.0,
            Load::default(),
        );
    }

    pub(super) fn time_out(&mut self, id: RequestId, no: AttemptId, out: &mut Vec<Output>) {
        let attempt = self.requests.get(&id).and_then(|t| t.out.as_ref());
        if !attempt.is_some_and(|l| l.no == no && !l.first) {
            return;
        }
        let unsent = self.stop_attempt(id, out);
        self.end_attempt(
            id,
            if unsent {
                Outcome::NotSent
            } else {
                Outcome::TimedOut
            },
            0.0,
            Load::default(),
        );
    }

    pub(super) fn hold_ahead(&mut self, id: RequestId, engine: &EngineId, out: &mut Vec<Output>) {
        let Some(attempt) = self.requests.get(&id).and_then(|t| t.out.as_ref()) else {
            return;
        };
        let state = state_of(self.settings.run, id, attempt.no);
        let purpose = StreamPurpose::Hold(id, attempt.no);
        let Some(row) = self
            .endpoints
            .engines
            .get(engine)
            .filter(|r| r.status == EndpointStatus::Ready)
        else {
            return;
        };
        let address = row.line.address.clone();
        let to = (&mut self.timers, &mut *out);
        let opened = self
            .connections
            .open(engine, &address, purpose, self.now, &self.settings, to);
        if let Ok((connection, stream)) = opened {
            let body = Body::Reserve(v1::Reserve { state: Some(state) });
            self.connections.send(connection, stream, body, out);
        }
    }

    /// Ends a stream in good order; its client comes back for the rest.
    pub(super) fn move_away(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(Request::streams) {
            self.stop_attempt(id, out);
            self.answer(
                id,
                v1::Answer::Failed,
                0.0,
                "moved: come back for the rest",
                out,
            );
            self.end_attempt(id, Outcome::Cancelled, 0.0, Load::default());
        }
    }
}

fn never_sent(
    request: RequestId,
    attempt: AttemptId,
    engine: EngineId,
    outcome: Outcome,
    last: bool,
) -> Event {
    let load = Load::default();
    Event::Ended(Ended {
        request,
        attempt,
        engine,
        outcome,
        latency: 0.0,
        last,
        detail: 0.0,
        load,
    })
}
