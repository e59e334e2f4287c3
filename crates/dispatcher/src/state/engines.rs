//! The side of the ledger that faces the engines: attempts out, KV states held, probes, and what engines
//! and connections have to say of them.

use super::connections::StreamPurpose;
use super::kv_states::{Held, ReleaseCall};
use super::*;
use crate::state::requests::Attempt;
use cindercleat::connection_pool::{CloseReason, PlacementError, PoolCommand};

/// The whole of the credit is given back in so many parts.
const CREDIT_PARTS: u32 = 2;
/// An engine is told to wait for a millisecond at least: 0 would say nothing.
const LEAST_WAIT: Ms = 1.0;

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
        let state = state_of(self.settings.incarnation, id, no);
        let window = self.settings.limits.stream_window;
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
                    PlacementError::PoolExhausted => Outcome::Overloaded,
                    PlacementError::BackingOff => Outcome::Unreachable,
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
            credited: self.settings.limits.stream_window,
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
    fn resend_attempt(&mut self, id: RequestId, out: &mut Vec<Output>) -> bool {
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
        let state = attempt
            .reading
            .then(|| state_of(self.settings.incarnation, id, no));
        let window = self.settings.limits.stream_window;
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
        if !fault_injection::is_injected(InjectedFault::CancelLost) {
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
    fn prefill_out(&self, id: RequestId) -> Option<Held> {
        let request = self.requests.get(&id)?;
        let attempt = request.out.as_ref().filter(|attempt| attempt.reading)?;
        let state = state_of(self.settings.incarnation, id, attempt.no);
        Some(Held {
            engine: attempt.engine.clone(),
            id: state,
            origin: request.origin(),
        })
    }

    fn make_past(&mut self, id: EngineConnectionId, stream: StreamId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.streams.insert(stream, StreamPurpose::Past);
            self.timers.set(
                self.now + self.settings.limits.stall_timeout,
                Due::Past(id, stream),
            );
        }
    }

    /// Guards against an engine that hears nothing any more on a connection that never breaks: what was called
    /// off there would take its room for ever.
    pub(super) fn look_at_past(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let unanswered = match connection.streams.get(&stream) {
            Some(StreamPurpose::Release(..)) => Some("it does not answer a release"),
            Some(StreamPurpose::Sign) => Some("it gives no sign that it runs"),
            Some(StreamPurpose::Past | StreamPurpose::EngineRelease(..)) => None,
            _ => return,
        };
        if let Some(reason) = unanswered {
            let engine = connection.engine.clone();
            self.connections.left_unanswered(&engine, self.now);
            return self.drop_link(id, reason, out);
        }
        let until = connection.heard + self.settings.limits.stall_timeout;
        if self.now >= until {
            self.drop_link(id, "it says nothing and ends nothing", out);
        } else {
            self.timers.set(until, Due::Past(id, stream));
        }
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
            let state = state_of(self.settings.incarnation, id, attempt.no);
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
    fn finish_attempt(
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
        if let Some(held) =
            held.filter(|_| !fault_injection::is_injected(InjectedFault::BrokenPrefillStateKept))
        {
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
        let state = state_of(self.settings.incarnation, id, attempt.no);
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

    pub(super) fn probe(&mut self, engine: EngineId, out: &mut Vec<Output>) {
        let address = self
            .endpoints
            .engines
            .get(&engine)
            .map(|row| row.line.address.clone());
        let purpose = StreamPurpose::Probe { sent: self.now };
        let to = (&mut self.timers, &mut *out);
        let opened = address.and_then(|a| {
            self.connections
                .open(&engine, &a, purpose, self.now, &self.settings, to)
                .ok()
        });
        let Some((connection, stream)) = opened else {
            let (outcome, load) = (Outcome::Unreachable, Load::default());
            return self.events.push(Event::HealthChecked {
                engine,
                outcome,
                latency: 0.0,
                load,
            });
        };
        self.timers.set(
            self.now + self.settings.limits.health_check_timeout,
            Due::Probe(connection, stream),
        );
        self.connections.send(
            connection,
            stream,
            Body::HealthCheck(v1::HealthCheck {}),
            out,
        );
    }

    pub(super) fn end_health_check(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        outcome: Outcome,
        load: Load,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let Some(StreamPurpose::Probe { sent }) = connection.streams.get(&stream).cloned() else {
            return;
        };
        let engine = connection.engine.clone();
        self.events.push(Event::HealthChecked {
            engine,
            outcome,
            latency: self.now - sent,
            load,
        });
        if outcome == Outcome::TimedOut && !self.connections.unsend(id, stream) {
            self.make_past(id, stream);
        } else {
            self.connections
                .close_stream(id, stream, self.now, &mut self.timers);
        }
    }

    pub(super) fn close_idle(&mut self, engine: &EngineId, out: &mut Vec<Output>) {
        for id in self.connections.ids_of(engine) {
            if self.connections.is_idle(id) {
                self.drop_link(id, "idle", out);
            }
        }
    }

    pub(super) fn take_link_up(
        &mut self,
        id: EngineConnectionId,
        limit: Option<usize>,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            let reason = "not wanted any more".to_owned();
            return out.push(Output::CloseConnection {
                connection: id,
                reason,
            });
        };
        let (engine, waiting) = (
            connection.engine.clone(),
            std::mem::take(&mut connection.waiting),
        );
        self.connections
            .come_up(id, limit, self.now, &mut self.timers);
        // Guards against a drain that was learned while the connection came up: an attempt that has not gone out does
        // not go out any more, and is known not to have run.
        let ready = self.endpoints.status(&engine) == EndpointStatus::Ready
            || fault_injection::is_injected(InjectedFault::DrainSeenLate);
        self.flush_releases(&engine, out);
        for (stream, mut body) in waiting {
            let purpose = self
                .connections
                .get(id)
                .and_then(|l| l.streams.get(&stream).cloned());
            if let Some(StreamPurpose::Attempt(request, _)) = &purpose {
                self.tell_time_left(*request, &mut body);
            }
            let frame = frame(stream.0, body);
            match purpose {
                Some(StreamPurpose::Release(call)) => {
                    if self.release_goes_out(id, stream, &call) {
                        out.push(Output::ToEngine {
                            connection: id,
                            frame,
                        });
                    }
                }
                // Nor does one whose client has gone meanwhile: nobody waits for it.
                Some(StreamPurpose::Attempt(request, _)) if !ready || self.is_answered(request) => {
                    self.close_stream(id, stream);
                    self.end_attempt(request, Outcome::NotSent, 0.0, Load::default());
                }
                Some(StreamPurpose::Attempt(request, _)) => {
                    if let Some(request) = self.requests.get_mut(&request) {
                        request.note_sent(self.now);
                    }
                    out.push(Output::ToEngine {
                        connection: id,
                        frame,
                    });
                }
                _ => out.push(Output::ToEngine {
                    connection: id,
                    frame,
                }),
            }
        }
    }

    /// The connection of a release has come up: it goes out now, unless there is nothing to release any more, or its request
    /// needs what is held.
    fn release_goes_out(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        call: &ReleaseCall,
    ) -> bool {
        let goes_out = self
            .kv_states
            .to_release(call.request)
            .is_some_and(|state| !self.is_needed(state));
        if !goes_out {
            self.close_stream(id, stream);
            self.release_unsent(call);
        } else if let Some(connection) = self.connections.get_mut(id) {
            connection.streams.insert(
                stream,
                StreamPurpose::Release(ReleaseCall {
                    begun: self.now,
                    ..call.clone()
                }),
            );
        }
        goes_out
    }

    /// An attempt that has waited for its connection tells its engine what is left now.
    fn tell_time_left(&self, request: RequestId, body: &mut Body) {
        let Some(attempt) = self
            .requests
            .get(&request)
            .and_then(|request| request.out.as_ref())
        else {
            return;
        };
        let left = (attempt.until - self.now).max(LEAST_WAIT);
        match body {
            Body::Prefill(read) => read.wait_ms = left,
            Body::Decode(write) => write.wait_ms = left,
            _ => {}
        }
    }

    fn is_answered(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|request| request.answered)
    }

    fn close_stream(&mut self, id: EngineConnectionId, stream: StreamId) -> Option<StreamPurpose> {
        self.connections
            .close_stream(id, stream, self.now, &mut self.timers)
    }

    /// What has fallen due for the connections to an engine.
    pub(super) fn look_at_links(&mut self, engine: &EngineId, out: &mut Vec<Output>) {
        let row = self.endpoints.engines.get(engine);
        let ready = row.is_some_and(|r| r.status == EndpointStatus::Ready);
        let address = row.map(|r| r.line.address.clone()).unwrap_or_default();
        for act in self.connections.wanted(engine, self.now, ready) {
            match act {
                PoolCommand::Connect => {
                    let to = (&mut self.timers, &mut *out);
                    self.connections.dial(engine, &address, self.now, to);
                }
                PoolCommand::Ping(id) => {
                    self.connections.send(
                        EngineConnectionId(id.0),
                        StreamId(0),
                        Body::Ping(v1::Ping {}),
                        out,
                    );
                }
                PoolCommand::Close(id, why) => {
                    let reason = match why {
                        CloseReason::ConnectTimeout => "no connection in time",
                        CloseReason::Idle => "idle",
                        CloseReason::PingTimeout => "it does not answer",
                        CloseReason::Drained => "it goes away",
                    };
                    self.drop_link(EngineConnectionId(id.0), reason, out);
                }
            }
        }
        self.connections.arm(engine, &mut self.timers);
    }

    /// Closes a connection from this side.
    pub(super) fn drop_link(
        &mut self,
        id: EngineConnectionId,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        if self.connections.get(id).is_some() {
            out.push(Output::CloseConnection {
                connection: id,
                reason: reason.to_owned(),
            });
            self.take_link_closed(id, reason, out);
        }
    }

    /// Whatever was out on a connection that came up may have run; on one that did not, nothing was sent.
    pub(super) fn take_link_closed(
        &mut self,
        id: EngineConnectionId,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.remove(id, self.now) else {
            return;
        };
        let outcome = match connection.up {
            true if fault_injection::is_injected(InjectedFault::ConnectionLossAsOverload) => {
                Outcome::Overloaded
            }
            true => Outcome::ConnectionLost,
            false => Outcome::Unreachable,
        };
        // A connection that ends with what was called off ends as it should.
        let streams = connection
            .streams
            .values()
            .filter(|purpose| **purpose != StreamPurpose::Past)
            .count();
        if streams > 0 {
            let text = format!(
                "link to {} over with {streams} streams: {reason}",
                connection.engine.0
            );
            out.push(Output::Log {
                level: Level::Warn,
                text,
            });
        }
        self.retry_releases(&connection.engine);
        for (_, purpose) in connection.streams {
            match purpose {
                StreamPurpose::Attempt(request, _) => {
                    self.finish_attempt(
                        request,
                        outcome,
                        "the writer's connection broke",
                        Load::default(),
                        out,
                    );
                }
                StreamPurpose::Probe { sent } => {
                    let (engine, load) = (connection.engine.clone(), Load::default());
                    self.events.push(Event::HealthChecked {
                        engine,
                        outcome,
                        latency: self.now - sent,
                        load,
                    });
                }
                StreamPurpose::Release(call) => self.release_lost(connection.engine.clone(), &call),
                StreamPurpose::EngineRelease(release) => {
                    self.engine_release_lost(connection.engine.clone(), release)
                }
                StreamPurpose::Hold(..) | StreamPurpose::Sign | StreamPurpose::Past => {}
            }
        }
        self.forget_gone(&connection.engine);
    }

    pub(super) fn take_engine(
        &mut self,
        id: EngineConnectionId,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        // What comes after a connection was given up here is old.
        self.connections.heard(id, self.now);
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let engine = connection.engine.clone();
        let purpose = connection.streams.get(&stream).cloned();
        // A goodbye is said on this side, of a connection that is over.
        if !matches!(frame.body, Some(Body::Goodbye(_))) {
            self.connections.answered(id, self.now);
            self.note_sign(&engine);
            self.note_engine_ran();
            if is_work(purpose.as_ref(), frame.body.as_ref()) {
                self.connections.worked(id, self.now);
                self.note_engine_worked(&engine);
            }
        }
        let name = name_of(frame.body.as_ref());
        let good = match (purpose, frame.body) {
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Tokens(tokens))) => {
                self.take_tokens(request, tokens, out)
            }
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Ended(ended))) => {
                self.close_stream(id, stream);
                self.take_ended(request, &ended, out)
            }
            // The connection is over before or after the whole request was written: only the first proves
            // that nothing ran.
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Goodbye(bye))) => {
                let reused = self
                    .connections
                    .get(id)
                    .is_some_and(|connection| connection.carried() > 1);
                self.close_stream(id, stream);
                self.connections.leaving(id, &mut self.timers);
                let again = bye.never_ran && reused && self.resend_attempt(request, out);
                if !again {
                    let outcome = if bye.never_ran {
                        Outcome::Unreachable
                    } else {
                        Outcome::ConnectionLost
                    };
                    let text = format!("launch at {} over: {}", engine.0, bye.reason);
                    out.push(Output::Log {
                        level: Level::Info,
                        text,
                    });
                    self.finish_attempt(
                        request,
                        outcome,
                        "the connection broke",
                        Load::default(),
                        out,
                    );
                }
                true
            }
            (Some(StreamPurpose::Probe { .. }), Some(Body::Load(load))) => {
                self.end_health_check(id, stream, Outcome::Succeeded, load_of(&load));
                true
            }
            (Some(StreamPurpose::Hold(request, attempt)), Some(Body::Reservation(place))) => {
                self.close_stream(id, stream);
                self.events.push(Event::ReservationChanged {
                    request,
                    attempt,
                    engine: engine.clone(),
                    held: place.held,
                });
                true
            }
            (Some(StreamPurpose::Past), Some(Body::Ended(ended))) => {
                self.close_stream(id, stream);
                self.take_late_end(engine.clone(), &ended, out);
                true
            }
            (Some(StreamPurpose::Past), Some(Body::Load(_) | Body::Goodbye(_))) => {
                self.close_stream(id, stream);
                true
            }
            (Some(StreamPurpose::Release(call)), Some(Body::Done(_))) => {
                self.close_stream(id, stream);
                self.release_confirmed(&engine, &call, out);
                true
            }
            (Some(StreamPurpose::EngineRelease(_)), Some(Body::Done(_))) => {
                self.close_stream(id, stream);
                true
            }
            (Some(StreamPurpose::Sign), Some(Body::Done(_) | Body::Goodbye(_))) => {
                self.close_stream(id, stream);
                true
            }
            // A call that was reset or refused ends alone: what else is on the connection goes on.
            (Some(StreamPurpose::Release(call)), Some(Body::Goodbye(_))) => {
                self.close_stream(id, stream);
                self.release_lost(engine.clone(), &call);
                true
            }
            (Some(StreamPurpose::EngineRelease(release)), Some(Body::Goodbye(_))) => {
                self.close_stream(id, stream);
                self.engine_release_lost(engine.clone(), release);
                true
            }
            (Some(StreamPurpose::Probe { .. }), Some(Body::Goodbye(_))) => {
                self.end_health_check(id, stream, Outcome::Failed, Load::default());
                true
            }
            (Some(StreamPurpose::Hold(request, attempt)), Some(Body::Goodbye(_))) => {
                self.close_stream(id, stream);
                self.events.push(Event::ReservationChanged {
                    request,
                    attempt,
                    engine: engine.clone(),
                    held: false,
                });
                true
            }
            (Some(StreamPurpose::Past), Some(Body::Tokens(_))) => true,
            (None, Some(Body::Pong(_))) if stream.0 == 0 => true,
            (None, Some(Body::Goodbye(bye))) if stream.0 == 0 => {
                self.drop_link(id, &format!("it said goodbye: {}", bye.reason), out);
                true
            }
            _ => false,
        };
        if !good {
            // Guards against an engine that does not keep to the protocol: nothing more that it says on this
            // connection can be believed. What was out there may have run.
            let text = format!(
                "host {} sent {name} on stream {} where it cannot be",
                engine.0, stream.0
            );
            out.push(Output::Log {
                level: Level::Warn,
                text,
            });
            self.drop_link(id, "it does not keep to the protocol", out);
        }
    }

    /// A read that ended after it was given up: the decisions do not know of its state, so it is let go here,
    /// or it would stay pinned.
    fn take_late_end(&mut self, engine: EngineId, ended: &v1::Ended, out: &mut Vec<Output>) {
        if let (v1::Status::PrefillDone, Some(state)) = (ended.status(), ended.state) {
            self.release_unless_planted(
                Held {
                    engine,
                    id: state,
                    origin: String::new(),
                },
                out,
            );
        }
    }

    /// Tells whether the engine may say so.
    fn take_ended(&mut self, id: RequestId, ended: &v1::Ended, out: &mut Vec<Output>) -> bool {
        let Some(attempt) = self.requests.get(&id).and_then(|t| t.out.as_ref()) else {
            return true;
        };
        let load = ended.load.as_ref().map(load_of).unwrap_or_default();
        let (reading, first) = (attempt.reading, attempt.first);
        match ended.status() {
            v1::Status::PrefillDone if reading => {
                self.end_attempt(id, Outcome::PrefillDone, f64::from(ended.kept_tokens), load);
            }
            v1::Status::Succeeded if !reading => {
                self.finish_attempt(id, Outcome::Succeeded, "", load, out)
            }
            v1::Status::Overloaded if !first => {
                self.end_attempt(id, Outcome::Overloaded, 0.0, load)
            }
            v1::Status::NoState if !reading && !first => {
                self.end_attempt(id, Outcome::Overloaded, 1.0, load);
                // Guards against a decode engine that could not reach the prefill_engine: the state would lie there for nobody.
                if fault_injection::is_injected(InjectedFault::MissingStateKept) {
                    self.kv_states.forget(id);
                } else {
                    self.want_release(id, out);
                }
                self.forget_past(id);
            }
            v1::Status::Failed => {
                self.finish_attempt(id, Outcome::Failed, &ended.reason, load, out)
            }
            _ => {
                // The stream is closed already; the attempt ends with the connection, and may have run.
                self.finish_attempt(
                    id,
                    Outcome::ConnectionLost,
                    "the writer broke the protocol",
                    load,
                    out,
                );
                return false;
            }
        }
        true
    }

    /// Tells whether the engine may say so: a decode engine, the next tokens, within its credit.
    fn take_tokens(&mut self, id: RequestId, tokens: v1::Tokens, out: &mut Vec<Output>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let Some(attempt) = request.out.as_mut() else {
            return true;
        };
        if attempt.reading
            || tokens.position != attempt.position
            || attempt.came >= attempt.credited
        {
            return false;
        }
        if request.answered {
            // The answer is out, and the decisions may not call off: nothing more reaches the client.
            self.stop_attempt(id, out);
            self.end_attempt(id, Outcome::Cancelled, 0.0, Load::default());
            return true;
        }
        attempt.came += 1;
        attempt.position = attempt.position.saturating_add(tokens.count);
        attempt.last_came = self.now;
        if !attempt.first {
            attempt.first = true;
            attempt.last_gone = self.now;
            request.late = self.now > request.latency_objective;
            self.kv_states.taken(id, self.now);
            // No attempt can need it any more.
            request.submit.prompt = Default::default();
            let (no, engine, latency) =
                (attempt.no, attempt.engine.clone(), self.now - attempt.since);
            self.timers.set(
                self.now + self.settings.limits.stall_timeout,
                Due::Stall(id, no),
            );
            self.events.push(Event::FirstToken {
                request: id,
                attempt: no,
                engine,
                latency,
            });
        }
        let (conn, stream) = request.client_stream;
        if fault_injection::is_injected(InjectedFault::TokensTwice) {
            out.push(Output::ToClient {
                conn,
                frame: frame(stream.0, Body::Tokens(tokens.clone())),
            });
        }
        out.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Tokens(tokens)),
        });
        true
    }

    /// The client has taken some of a stream: the decode engine may send as much more.
    pub(super) fn take_flushed(
        &mut self,
        client_stream: ClientStream,
        messages: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self
            .client_streams
            .get(&client_stream)
            .and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        let Some(attempt) = request.out.as_mut() else {
            return;
        };
        attempt.gone = (attempt.gone + messages).min(attempt.came);
        attempt.last_gone = self.now;
        let room =
            (attempt.gone + self.settings.limits.stream_window).saturating_sub(attempt.credited);
        if room >= (self.settings.limits.stream_window / CREDIT_PARTS).max(1) {
            attempt.credited += room;
            let (connection, stream) = (attempt.connection, attempt.stream);
            let body = Body::Credit(v1::Credit { messages: room });
            self.connections.send(connection, stream, body, out);
        }
    }

    /// Guards against streams that neither go on nor end: a decode engine that stalls is given up as broken, and a
    /// client that takes nothing has left. A decode engine that waits for credit does not stall.
    pub(super) fn look_at_stream(&mut self, id: RequestId, no: AttemptId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = request.out.as_ref().filter(|l| l.no == no) else {
            return;
        };
        let client_waits = attempt.gone == attempt.came;
        let since = if client_waits {
            attempt.last_came.max(attempt.last_gone)
        } else {
            attempt.last_gone
        };
        let limit = self.settings.limits.stall_timeout;
        if self.now < since + limit {
            return self.timers.set(since + limit, Due::Stall(id, no));
        }
        if client_waits {
            let text = format!("stream of task {} stalled at {}", id.0, attempt.engine.0);
            out.push(Output::Log {
                level: Level::Warn,
                text,
            });
            self.stop_attempt(id, out);
            self.finish_attempt(
                id,
                Outcome::ConnectionLost,
                "the writer stalled",
                Load::default(),
                out,
            );
        } else {
            let (conn, _) = request.client_stream;
            self.leave(id, out);
            out.push(Output::CloseClient {
                conn,
                reason: "it takes nothing".to_owned(),
            });
        }
    }
}

/// Whether a message shows that its engine works on attempts. A part of it may still answer other calls while the rest hangs.
fn is_work(purpose: Option<&StreamPurpose>, body: Option<&Body>) -> bool {
    let done =
        |status: v1::Status| matches!(status, v1::Status::PrefillDone | v1::Status::Succeeded);
    match (purpose, body) {
        (Some(StreamPurpose::Attempt(..)), Some(Body::Tokens(_))) => true,
        (Some(StreamPurpose::Attempt(..)), Some(Body::Ended(ended))) => done(ended.status()),
        _ => false,
    }
}

/// The name of the state that an attempt makes or takes.
fn state_of(run: u64, request: RequestId, attempt: AttemptId) -> v1::KvStateId {
    v1::KvStateId {
        run,
        request: request.0,
        attempt: attempt.0,
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

/// What an attempt says to its engine; `state`: what a read is to leave, none for a write.
fn body_of(
    request: &Request,
    held: Option<&Held>,
    state: Option<v1::KvStateId>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    match state {
        Some(state) => read(&request.submit, state, wait_ms),
        None => write(request, held, endpoints, window, wait_ms),
    }
}

fn read(submit: &v1::Submit, state: v1::KvStateId, wait_ms: Ms) -> Body {
    Body::Prefill(v1::Prefill {
        state: Some(state),
        key: submit.key.clone(),
        session: submit.session,
        shared_text: submit.shared_text,
        prompt_tokens: submit.prompt_tokens,
        shared_tokens: submit.shared_tokens,
        request_class: submit.request_class.clone(),
        tenant: submit.tenant.clone(),
        prompt: submit.prompt.clone(),
        origin: submit.origin.clone(),
        wait_ms,
    })
}

fn write(
    request: &Request,
    held: Option<&Held>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    let submit = &request.submit;
    let prefill_engine = held.and_then(|held| endpoints.engines.get(&held.engine));
    Body::Decode(v1::Decode {
        state: held.map(|held| held.id),
        prefill_engine: prefill_engine
            .map(|row| row.line.engine.clone())
            .unwrap_or_default(),
        prefill_engine_address: prefill_engine
            .map(|row| row.line.address.clone())
            .unwrap_or_default(),
        key: submit.key.clone(),
        session: submit.session,
        shared_text: submit.shared_text,
        prompt_tokens: submit.prompt_tokens,
        shared_tokens: submit.shared_tokens,
        max_tokens: submit.max_tokens,
        request_class: submit.request_class.clone(),
        tenant: submit.tenant.clone(),
        window,
        prompt: submit.prompt.clone(),
        origin: submit.origin.clone(),
        wait_ms,
    })
}

fn load_of(load: &v1::Load) -> Load {
    // Guards against a report that would poison every mean.
    let said = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
    Load {
        in_flight: said(load.in_flight),
        queue: said(load.queue),
        slots_used: said(load.slots_used),
        memory_held: said(load.memory_held),
        waiting_kilotokens: said(load.waiting_kilotokens),
    }
}
