//! Messages from engines, by what their stream carries.

use super::engine_requests::reported_load;
use super::kv_states::Held;
use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
    pub(super) fn handle_engine_message(
        &mut self,
        connection_id: EngineConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        // What comes after a connection was given up here is old.
        self.connections.heard(connection_id, self.now);
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let engine = connection.engine.clone();
        let purpose = connection.streams.get(&stream).cloned();
        // A goodbye is said on this side, of a connection that is over.
        if !matches!(frame.body, Some(Body::Goodbye(_))) {
            self.connections.answered(connection_id, self.now);
            self.note_engine_alive(&engine);
            self.wake_unconfirmed_releases();
            if shows_work(purpose.as_ref(), frame.body.as_ref()) {
                self.connections.worked(connection_id, self.now);
                self.note_engine_worked(&engine);
            }
        }
        let name = name_of(frame.body.as_ref());
        let good = match (purpose, frame.body) {
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Tokens(tokens))) => {
                self.handle_tokens(request, tokens, outputs)
            }
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Ended(ended))) => {
                self.close_stream(connection_id, stream);
                self.handle_attempt_end(request, &ended, outputs)
            }
            // The connection is over before or after the whole request was written: only the first proves
            // that nothing ran.
            (Some(StreamPurpose::Attempt(request, _)), Some(Body::Goodbye(bye))) => {
                let reused = self
                    .connections
                    .get(connection_id)
                    .is_some_and(|connection| connection.carried() > 1);
                self.close_stream(connection_id, stream);
                self.connections.leaving(connection_id, &mut self.timers);
                let again = bye.never_ran && reused && self.resend_attempt(request, outputs);
                if !again {
                    let outcome = if bye.never_ran {
                        Outcome::Unreachable
                    } else {
                        Outcome::ConnectionLost
                    };
                    let text = format!("launch at {} over: {}", engine.0, bye.reason);
                    outputs.push(Output::Log {
                        level: Level::Info,
                        text,
                    });
                    self.finish_attempt(
                        request,
                        outcome,
                        "the connection broke",
                        Load::default(),
                        outputs,
                    );
                }
                true
            }
            (Some(StreamPurpose::HealthCheck { .. }), Some(Body::Load(load))) => {
                self.end_health_check(
                    connection_id,
                    stream,
                    Outcome::Succeeded,
                    reported_load(&load),
                );
                true
            }
            (
                Some(StreamPurpose::Reservation(request, attempt)),
                Some(Body::Reservation(place)),
            ) => {
                self.close_stream(connection_id, stream);
                self.events.push(Event::ReservationChanged {
                    request,
                    attempt,
                    engine: engine.clone(),
                    held: place.held,
                });
                true
            }
            (Some(StreamPurpose::Abandoned), Some(Body::Ended(ended))) => {
                self.close_stream(connection_id, stream);
                self.handle_late_end(engine.clone(), &ended, outputs);
                true
            }
            (Some(StreamPurpose::Abandoned), Some(Body::Load(_) | Body::Goodbye(_))) => {
                self.close_stream(connection_id, stream);
                true
            }
            (Some(StreamPurpose::Release(call)), Some(Body::Done(_))) => {
                self.close_stream(connection_id, stream);
                self.release_confirmed(&engine, &call, outputs);
                true
            }
            (Some(StreamPurpose::EngineRelease(_)), Some(Body::Done(_))) => {
                self.close_stream(connection_id, stream);
                true
            }
            (Some(StreamPurpose::LivenessCheck), Some(Body::Done(_) | Body::Goodbye(_))) => {
                self.close_stream(connection_id, stream);
                true
            }
            // A call that was reset or refused ends alone: what else is on the connection goes on.
            (Some(StreamPurpose::Release(call)), Some(Body::Goodbye(_))) => {
                self.close_stream(connection_id, stream);
                self.release_lost(engine.clone(), &call);
                true
            }
            (Some(StreamPurpose::EngineRelease(release)), Some(Body::Goodbye(_))) => {
                self.close_stream(connection_id, stream);
                self.engine_release_lost(engine.clone(), release);
                true
            }
            (Some(StreamPurpose::HealthCheck { .. }), Some(Body::Goodbye(_))) => {
                self.end_health_check(connection_id, stream, Outcome::Failed, Load::default());
                true
            }
            (Some(StreamPurpose::Reservation(request, attempt)), Some(Body::Goodbye(_))) => {
                self.close_stream(connection_id, stream);
                self.events.push(Event::ReservationChanged {
                    request,
                    attempt,
                    engine: engine.clone(),
                    held: false,
                });
                true
            }
            (Some(StreamPurpose::Abandoned), Some(Body::Tokens(_))) => true,
            (None, Some(Body::Pong(_))) if stream.0 == 0 => true,
            (None, Some(Body::Goodbye(bye))) if stream.0 == 0 => {
                self.close_connection(
                    connection_id,
                    &format!("it said goodbye: {}", bye.reason),
                    outputs,
                );
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
            outputs.push(Output::Log {
                level: Level::Warn,
                text,
            });
            self.close_connection(connection_id, "it does not keep to the protocol", outputs);
        }
    }

    /// A read that ended after it was given up: the decisions do not know of its state, so it is let go here,
    /// or it would stay pinned.
    pub(super) fn handle_late_end(
        &mut self,
        engine: EngineId,
        ended: &v1::Ended,
        outputs: &mut Vec<Output>,
    ) {
        if let (v1::Status::PrefillDone, Some(state)) = (ended.status(), ended.state) {
            self.release_at_engine_unless_forgotten(
                Held {
                    engine,
                    id: state,
                    origin: String::new(),
                },
                outputs,
            );
        }
    }

    /// Tells whether the engine may say so.
    pub(super) fn handle_attempt_end(
        &mut self,
        request_id: RequestId,
        ended: &v1::Ended,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(attempt) = self.current_attempt(request_id) else {
            return true;
        };
        let load = ended.load.as_ref().map(reported_load).unwrap_or_default();
        let (is_prefill, first_token_sent) = (attempt.is_prefill, attempt.first_token_sent);
        match ended.status() {
            v1::Status::PrefillDone if is_prefill => {
                self.end_attempt(
                    request_id,
                    Outcome::PrefillDone,
                    f64::from(ended.kept_tokens),
                    load,
                );
            }
            v1::Status::Succeeded if !is_prefill => {
                self.finish_attempt(request_id, Outcome::Succeeded, "", load, outputs)
            }
            v1::Status::Overloaded if !first_token_sent => {
                self.end_attempt(request_id, Outcome::Overloaded, 0.0, load)
            }
            v1::Status::NoState if !is_prefill && !first_token_sent => {
                self.end_attempt(request_id, Outcome::Overloaded, 1.0, load);
                // Guards against a decode engine that could not reach the prefill_engine: the state would lie there for nobody.
                if fault_injection::is(Plant::NoStateKept) {
                    self.kv_states.forget(request_id);
                } else {
                    self.want_release(request_id, outputs);
                }
                self.forget_finished(request_id);
            }
            v1::Status::Failed => {
                self.finish_attempt(request_id, Outcome::Failed, &ended.reason, load, outputs)
            }
            _ => {
                // The stream is closed already; the attempt ends with the connection, and may have run.
                self.finish_attempt(
                    request_id,
                    Outcome::ConnectionLost,
                    "the writer broke the protocol",
                    load,
                    outputs,
                );
                return false;
            }
        }
        true
    }
}

/// Whether a message shows that its engine works on attempts. A part of it may still answer other calls while the rest hangs.
fn shows_work(purpose: Option<&StreamPurpose>, body: Option<&Body>) -> bool {
    let done =
        |status: v1::Status| matches!(status, v1::Status::PrefillDone | v1::Status::Succeeded);
    match (purpose, body) {
        (Some(StreamPurpose::Attempt(..)), Some(Body::Tokens(_))) => true,
        (Some(StreamPurpose::Attempt(..)), Some(Body::Ended(ended))) => done(ended.status()),
        _ => false,
    }
}
