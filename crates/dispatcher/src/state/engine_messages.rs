//! Messages from engines, by what their stream carries.

use super::engine_requests::reported_load;
use super::kv_states::{Held, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// A message that its stream cannot carry, or that breaks the order or the credit of a stream of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProtocolViolation;

/// Where a message came from.
struct EngineStream {
    connection: EngineConnectionId,
    stream: StreamId,
    engine: EngineId,
}

impl Dispatcher {
    /// Takes a message from an engine.
    ///
    /// Guards against an engine that does not keep to the protocol, which shows as a message that its stream cannot carry:
    /// nothing more that comes on this connection can be believed. The connection is closed, and every attempt on it ends
    /// as one that may have run, so nothing is repeated that must not be.
    pub(super) fn handle_engine_message(
        &mut self,
        connection_id: EngineConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        self.connections.message_received(connection_id, self.now);
        // What comes after a connection was closed here is old.
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let purpose = connection.streams.get(&stream).cloned();
        let source = EngineStream {
            connection: connection_id,
            stream,
            engine: connection.engine.clone(),
        };
        self.note_liveness(&source, purpose.as_ref(), frame.body.as_ref());
        let name = name_of(frame.body.as_ref());
        let taken = match frame.body {
            Some(body) => self.handle_message_of(&source, purpose, body, outputs),
            None => Err(ProtocolViolation),
        };
        if let Err(ProtocolViolation) = taken {
            let text = format!(
                "engine {} sent {name} on stream {} where it cannot be",
                source.engine.0, stream.0
            );
            outputs.push(Output::log(Level::Warn, text));
            self.close_connection(connection_id, "it does not keep to the protocol", outputs);
        }
    }

    /// Notes what a message shows of its engine: that it runs, and that it works on attempts.
    fn note_liveness(
        &mut self,
        source: &EngineStream,
        purpose: Option<&StreamPurpose>,
        body: Option<&Body>,
    ) {
        // A goodbye is made on this side, for a stream or connection that is over.
        if matches!(body, Some(Body::Goodbye(_))) {
            return;
        }
        self.connections.answered(source.connection, self.now);
        self.note_engine_alive(&source.engine);
        self.wake_unconfirmed_releases();
        if shows_work(purpose, body) {
            self.connections.worked(source.connection, self.now);
            self.note_engine_worked(&source.engine);
        }
    }

    /// Hands a message to what its stream is for.
    fn handle_message_of(
        &mut self,
        source: &EngineStream,
        purpose: Option<StreamPurpose>,
        body: Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match purpose {
            Some(StreamPurpose::Attempt(request_id, _)) => {
                self.handle_attempt_message(source, request_id, body, outputs)
            }
            Some(StreamPurpose::HealthCheck { .. }) => {
                self.handle_health_check_message(source, &body)
            }
            Some(StreamPurpose::Reservation(request_id, attempt_id)) => {
                self.handle_reservation_message(source, request_id, attempt_id, &body)
            }
            Some(StreamPurpose::Release(call)) => {
                self.handle_release_message(source, &call, &body, outputs)
            }
            Some(StreamPurpose::EngineRelease(release)) => {
                self.handle_engine_release_message(source, release, &body)
            }
            Some(StreamPurpose::LivenessCheck) => match body {
                Body::Done(_) | Body::Goodbye(_) => self.end_stream(source),
                _ => Err(ProtocolViolation),
            },
            Some(StreamPurpose::Abandoned) => self.handle_abandoned_message(source, &body, outputs),
            None => self.handle_connection_message(source, &body, outputs),
        }
    }

    fn handle_attempt_message(
        &mut self,
        source: &EngineStream,
        request_id: RequestId,
        body: Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Tokens(tokens) => self.handle_tokens(request_id, tokens, outputs),
            Body::Ended(ended) => {
                self.close_stream(source.connection, source.stream);
                self.handle_attempt_end(request_id, &ended, outputs)
            }
            Body::Goodbye(goodbye) => {
                self.handle_attempt_goodbye(source, request_id, &goodbye, outputs);
                Ok(())
            }
            _ => Err(ProtocolViolation),
        }
    }

    /// The connection of an attempt is over before or after the whole request was written: only the first proves that
    /// nothing ran.
    fn handle_attempt_goodbye(
        &mut self,
        source: &EngineStream,
        request_id: RequestId,
        goodbye: &v1::Goodbye,
        outputs: &mut Vec<Output>,
    ) {
        let is_reused = self
            .connections
            .get(source.connection)
            .is_some_and(|connection| connection.carried() > 1);
        self.close_stream(source.connection, source.stream);
        self.connections
            .leaving(source.connection, &mut self.timers);
        if goodbye.never_ran && is_reused && self.resend_attempt(request_id, outputs) {
            return;
        }
        let outcome = if goodbye.never_ran {
            Outcome::Unreachable
        } else {
            Outcome::ConnectionLost
        };
        let text = format!("attempt at {} over: {}", source.engine.0, goodbye.reason);
        outputs.push(Output::log(Level::Info, text));
        let reason = "the connection broke";
        self.finish_attempt(request_id, outcome, reason, Load::default(), outputs);
    }

    fn handle_health_check_message(
        &mut self,
        source: &EngineStream,
        body: &Body,
    ) -> Result<(), ProtocolViolation> {
        let (outcome, load) = match body {
            Body::Load(load) => (Outcome::Succeeded, reported_load(load)),
            Body::Goodbye(_) => (Outcome::Failed, Load::default()),
            _ => return Err(ProtocolViolation),
        };
        self.end_health_check(source.connection, source.stream, outcome, load);
        Ok(())
    }

    fn handle_reservation_message(
        &mut self,
        source: &EngineStream,
        request: RequestId,
        attempt: AttemptId,
        body: &Body,
    ) -> Result<(), ProtocolViolation> {
        let held = match body {
            Body::Reservation(reservation) => reservation.held,
            Body::Goodbye(_) => false,
            _ => return Err(ProtocolViolation),
        };
        self.close_stream(source.connection, source.stream);
        self.events.push(Event::ReservationChanged {
            request,
            attempt,
            engine: source.engine.clone(),
            held,
        });
        Ok(())
    }

    /// A call that was reset or refused ends alone: what else is on the connection goes on.
    fn handle_release_message(
        &mut self,
        source: &EngineStream,
        call: &ReleaseCall,
        body: &Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Done(_) => {
                self.close_stream(source.connection, source.stream);
                self.release_confirmed(&source.engine, call, outputs);
            }
            Body::Goodbye(_) => {
                self.close_stream(source.connection, source.stream);
                self.release_lost(source.engine.clone(), call);
            }
            _ => return Err(ProtocolViolation),
        }
        Ok(())
    }

    fn handle_engine_release_message(
        &mut self,
        source: &EngineStream,
        release: EngineRelease,
        body: &Body,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Done(_) => self.end_stream(source),
            Body::Goodbye(_) => {
                self.close_stream(source.connection, source.stream);
                self.engine_release_lost(source.engine.clone(), release);
                Ok(())
            }
            _ => Err(ProtocolViolation),
        }
    }

    fn handle_abandoned_message(
        &mut self,
        source: &EngineStream,
        body: &Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Ended(ended) => {
                self.close_stream(source.connection, source.stream);
                self.handle_late_end(source.engine.clone(), ended, outputs);
                Ok(())
            }
            Body::Load(_) | Body::Goodbye(_) => self.end_stream(source),
            Body::Tokens(_) => Ok(()),
            _ => Err(ProtocolViolation),
        }
    }

    /// A message on no open stream: only one about the connection as a whole is allowed.
    fn handle_connection_message(
        &mut self,
        source: &EngineStream,
        body: &Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Pong(_) if source.stream.0 == 0 => Ok(()),
            Body::Goodbye(goodbye) if source.stream.0 == 0 => {
                let reason = format!("it said goodbye: {}", goodbye.reason);
                self.close_connection(source.connection, &reason, outputs);
                Ok(())
            }
            _ => Err(ProtocolViolation),
        }
    }

    fn end_stream(&mut self, source: &EngineStream) -> Result<(), ProtocolViolation> {
        self.close_stream(source.connection, source.stream);
        Ok(())
    }

    /// Guards against a prefill that ends after it was cancelled, which shows as a KV state that stays pinned at its engine,
    /// as the decisions do not know of it: it is released here.
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

    /// An engine has ended an attempt.
    ///
    /// # Errors
    /// The end is none that this attempt can have; the attempt has ended as one whose connection broke.
    pub(super) fn handle_attempt_end(
        &mut self,
        request_id: RequestId,
        ended: &v1::Ended,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        let Some(attempt) = self.current_attempt(request_id) else {
            return Ok(());
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
                // Guards against a decode engine that could not fetch the KV state, which shows as a state that stays
                // pinned at its prefill engine: it is released.
                if fault_injection::is_injected(InjectedFault::MissingStateKept) {
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
                return Err(ProtocolViolation);
            }
        }
        Ok(())
    }
}

/// Whether a message shows that its engine works on attempts. An engine may still answer other calls while these hang.
fn shows_work(purpose: Option<&StreamPurpose>, body: Option<&Body>) -> bool {
    let done =
        |status: v1::Status| matches!(status, v1::Status::PrefillDone | v1::Status::Succeeded);
    match (purpose, body) {
        (Some(StreamPurpose::Attempt(..)), Some(Body::Tokens(_))) => true,
        (Some(StreamPurpose::Attempt(..)), Some(Body::Ended(ended))) => done(ended.status()),
        _ => false,
    }
}
