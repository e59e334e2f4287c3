//! Messages from engines, by what their stream carries.

use super::engine_requests::load_of;
use super::kv_states::Held;
use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
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
    pub(super) fn take_late_end(
        &mut self,
        engine: EngineId,
        ended: &v1::Ended,
        out: &mut Vec<Output>,
    ) {
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
    pub(super) fn take_ended(
        &mut self,
        id: RequestId,
        ended: &v1::Ended,
        out: &mut Vec<Output>,
    ) -> bool {
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
                if fault_injection::is(Plant::NoStateKept) {
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
