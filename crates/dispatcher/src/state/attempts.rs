//! Attempts at engines: start, resend, cancel, time out and end.

use super::engine_requests::{attempt_message, kv_state_id};
use super::kv_states::Held;
use super::requests::Attempt;
use super::stream_purpose::StreamPurpose;
use super::*;
use cindercleat::connection_pool::PlacementError;

impl Dispatcher {
    /// The attempt of a request that has not ended.
    pub(super) fn current_attempt(&self, request_id: RequestId) -> Option<&Attempt> {
        self.requests.get(&request_id)?.current_attempt.as_ref()
    }

    pub(super) fn start_attempt(
        &mut self,
        request_id: RequestId,
        engine: EngineId,
        until: Option<Ms>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let attempt_id = AttemptId(request.attempts);
        request.attempts += 1;
        let (holds_no_state, answered) = (
            self.kv_states.available(request_id).is_none(),
            request.answered,
        );
        let reads = self
            .endpoints
            .engines
            .get(&engine)
            .is_some_and(|row| row.role == Role::Prefill);
        let is_prefill = holds_no_state && reads;
        // What must not be ends as never sent.
        if !self.may_start_attempt(request_id, &engine, is_prefill, outputs) {
            return self.events.push(never_sent(
                request_id,
                attempt_id,
                engine,
                Outcome::NotSent,
                answered,
            ));
        }
        let (Some(request), Some(row)) = (
            self.requests.get_mut(&request_id),
            self.endpoints.engines.get(&engine),
        ) else {
            return;
        };
        let address = row.line.address.clone();
        let until = until.unwrap_or(request.deadline).min(request.deadline);
        let state = kv_state_id(self.settings.run, request_id, attempt_id);
        let window = self.settings.limits.window;
        let held = self
            .kv_states
            .available(request_id)
            .map(|state| &state.held);
        let body = attempt_message(
            request,
            held,
            is_prefill.then_some(state),
            &self.endpoints,
            window,
            until - self.now,
        );
        let purpose = StreamPurpose::Attempt(request_id, attempt_id);
        let opened = self.connections.open(
            &engine,
            &address,
            purpose,
            self.now,
            &self.settings,
            (&mut self.timers, outputs),
        );
        let (connection, stream) = match opened {
            Ok(place) => place,
            // The next choice is to pass the engine by for a moment, or to judge it: it could not be reached.
            Err(refusal) => {
                let outcome = match refusal {
                    PlacementError::AllTaken => Outcome::Overloaded,
                    PlacementError::NotYet => Outcome::Unreachable,
                };
                return self.events.push(never_sent(
                    request_id,
                    attempt_id,
                    engine,
                    outcome,
                    request.answered,
                ));
            }
        };
        request.current_attempt = Some(Attempt {
            id: attempt_id,
            engine,
            connection,
            stream,
            is_prefill,
            started_at: self.now,
            sent_at: None,
            confirmation_requested: false,
            expires_at: until,
            first_token_sent: false,
            position: 0,
            messages_received: 0,
            messages_forwarded: 0,
            messages_credited: self.settings.limits.window,
            last_received_at: self.now,
            last_forwarded_at: self.now,
        });
        if self
            .connections
            .get(connection)
            .is_some_and(|connection| connection.up)
        {
            request.mark_sent(self.now);
        }
        if !is_prefill {
            self.kv_states.offer(request_id, attempt_id);
        }
        self.timers
            .set(until, Due::AttemptTimeout(request_id, attempt_id));
        self.connections.send(connection, stream, body, outputs);
    }

    /// An attempt that its connection did not carry, as it was over before anything was written, goes out on
    /// another one: the engine has said nothing of it. Tells whether it could.
    pub(super) fn resend_attempt(
        &mut self,
        request_id: RequestId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self
            .requests
            .get_mut(&request_id)
            .filter(|request| !request.answered)
        else {
            return false;
        };
        let Some(attempt) = request
            .current_attempt
            .as_ref()
            .filter(|attempt| !attempt.first_token_sent)
        else {
            return false;
        };
        let Some(row) = self.endpoints.engines.get(&attempt.engine) else {
            return false;
        };
        if row.status != EndpointStatus::Ready {
            return false;
        }
        let (attempt_id, engine, address) =
            (attempt.id, attempt.engine.clone(), row.line.address.clone());
        let state = attempt
            .is_prefill
            .then(|| kv_state_id(self.settings.run, request_id, attempt_id));
        let window = self.settings.limits.window;
        let held = self
            .kv_states
            .available(request_id)
            .map(|state| &state.held);
        let body = attempt_message(
            request,
            held,
            state,
            &self.endpoints,
            window,
            attempt.expires_at - self.now,
        );
        let to = (&mut self.timers, &mut *outputs);
        let purpose = StreamPurpose::Attempt(request_id, attempt_id);
        let opened =
            self.connections
                .open(&engine, &address, purpose, self.now, &self.settings, to);
        let (Ok((connection, stream)), Some(attempt)) = (opened, request.current_attempt.as_mut())
        else {
            return false;
        };
        (attempt.connection, attempt.stream) = (connection, stream);
        attempt.sent_at = self
            .connections
            .get(connection)
            .filter(|connection| connection.up)
            .map(|_| self.now);
        self.connections.send(connection, stream, body, outputs);
        true
    }

    /// The wire's end of the attempt that is out: what has not gone out is taken back, else the engine is told.
    /// Tells whether it never went out.
    pub(super) fn stop_attempt(
        &mut self,
        request_id: RequestId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(attempt) = self.current_attempt(request_id) else {
            return true;
        };
        let (connection, stream) = (attempt.connection, attempt.stream);
        if self.connections.unsend(connection, stream) {
            self.connections
                .close_stream(connection, stream, self.now, &mut self.timers);
            return true;
        }
        // The stream stays taken until the engine ends it: what the engine still works on takes room there.
        let prefilled = self.prefill_out(request_id);
        self.abandon_stream(connection, stream);
        if !fault_injection::is(Plant::CancelLost) {
            self.connections
                .send(connection, stream, Body::Cancel(v1::Cancel {}), outputs);
        }
        // The prefill may have ended at the engine before the cancel comes, with nobody left to hear of it.
        if let Some(held) = prefilled {
            self.release_leftover(request_id, held, outputs);
        }
        false
    }

    /// The state that the prefill which is out for a request leaves, if one is out.
    pub(super) fn prefill_out(&self, request_id: RequestId) -> Option<Held> {
        let request = self.requests.get(&request_id)?;
        let attempt = request
            .current_attempt
            .as_ref()
            .filter(|attempt| attempt.is_prefill)?;
        let state = kv_state_id(self.settings.run, request_id, attempt.id);
        Some(Held {
            engine: attempt.engine.clone(),
            id: state,
            origin: request.origin(),
        })
    }

    /// The ledger's end of the attempt that is out; the decisions are told.
    pub(super) fn end_attempt(
        &mut self,
        request_id: RequestId,
        outcome: Outcome,
        detail: f64,
        load: Load,
    ) {
        self.note_possible_run(request_id, outcome);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request.current_attempt.take() else {
            return;
        };
        self.delivery_unconfirmed.remove(&request_id);
        if outcome == Outcome::PrefillDone {
            let state = kv_state_id(self.settings.run, request_id, attempt.id);
            let held = Held {
                engine: attempt.engine.clone(),
                id: state,
                origin: request.origin(),
            };
            self.kv_states.hold(request_id, held, self.now);
        }
        let latency = self.now - attempt.started_at;
        let last = request.answered;
        self.settle_kv_state(request_id, &attempt, outcome);
        let (attempt, engine) = (attempt.id, attempt.engine);
        self.events.push(Event::Ended(Ended {
            request: request_id,
            attempt,
            engine,
            outcome,
            latency,
            last,
            detail,
            load,
        }));
        self.forget_finished(request_id);
    }

    /// An attempt whose outcome the client is told at once: its whole answer, or the break of its stream. For a
    /// stream that had begun there is no other way on: what was sent cannot be taken back.
    pub(super) fn finish_attempt(
        &mut self,
        request_id: RequestId,
        outcome: Outcome,
        reason: &str,
        load: Load,
        outputs: &mut Vec<Output>,
    ) {
        let streams = self
            .requests
            .get(&request_id)
            .is_some_and(Request::has_stream);
        match outcome {
            Outcome::Succeeded => self.answer(request_id, v1::Answer::Succeeded, 0.0, "", outputs),
            _ if streams => self.answer(request_id, v1::Answer::Failed, 0.0, reason, outputs),
            _ => {}
        }
        // A prefill that broke may have ended at its engine, with the word of it lost: its state would lie there.
        let held = self
            .prefill_out(request_id)
            .filter(|_| matches!(outcome, Outcome::ConnectionLost | Outcome::Failed));
        if let Some(held) = held.filter(|_| !fault_injection::is(Plant::BrokenReadKept)) {
            self.release_leftover(request_id, held, outputs);
        }
        self.end_attempt(request_id, outcome, 0.0, load);
    }

    pub(super) fn cancel_attempt(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        let attempt = self.current_attempt(request_id);
        if !attempt.is_some_and(|l| l.id == attempt_id && !l.first_token_sent) {
            return;
        }
        if let Some((doubt, text)) = self
            .undelivered_attempt(request_id)
            .filter(|_| !self.is_answered(request_id))
        {
            let text = format!("attempt given up, {doubt}: {text}");
            outputs.push(Output::Log {
                level: Level::Info,
                text,
            });
        }
        let unsent = self.stop_attempt(request_id, outputs);
        self.end_attempt(
            request_id,
            if unsent {
                Outcome::NotSent
            } else {
                Outcome::Cancelled
            },
            0.0,
            Load::default(),
        );
    }

    pub(super) fn time_out_attempt(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        let attempt = self.current_attempt(request_id);
        if !attempt.is_some_and(|l| l.id == attempt_id && !l.first_token_sent) {
            return;
        }
        let unsent = self.stop_attempt(request_id, outputs);
        self.end_attempt(
            request_id,
            if unsent {
                Outcome::NotSent
            } else {
                Outcome::TimedOut
            },
            0.0,
            Load::default(),
        );
    }

    pub(super) fn reserve(
        &mut self,
        request_id: RequestId,
        engine: &EngineId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.current_attempt(request_id) else {
            return;
        };
        let state = kv_state_id(self.settings.run, request_id, attempt.id);
        let purpose = StreamPurpose::Reservation(request_id, attempt.id);
        let Some(row) = self
            .endpoints
            .engines
            .get(engine)
            .filter(|r| r.status == EndpointStatus::Ready)
        else {
            return;
        };
        let address = row.line.address.clone();
        let to = (&mut self.timers, &mut *outputs);
        let opened = self
            .connections
            .open(engine, &address, purpose, self.now, &self.settings, to);
        if let Ok((connection, stream)) = opened {
            let body = Body::Reserve(v1::Reserve { state: Some(state) });
            self.connections.send(connection, stream, body, outputs);
        }
    }

    /// Ends a stream in good order; its client comes back for the rest.
    pub(super) fn migrate(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self
            .requests
            .get(&request_id)
            .is_some_and(Request::has_stream)
        {
            self.stop_attempt(request_id, outputs);
            self.answer(
                request_id,
                v1::Answer::Failed,
                0.0,
                "moved: come back for the rest",
                outputs,
            );
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
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
