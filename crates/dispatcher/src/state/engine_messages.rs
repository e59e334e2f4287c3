//! Handles messages from engines, according to the purpose of the stream that carries them.

use super::engine_requests::reported_load;
use super::kv_states::{HeldState, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// The error for a message that is not allowed on its stream, or that violates the order or the credit of a token
/// stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProtocolViolation;

/// The engine that has sent a message, and the connection and stream that carried the message.
struct EngineStream {
    connection: EngineConnectionId,
    stream: StreamId,
    engine: EngineId,
}

impl Dispatcher {
    /// Handles a message from an engine.
    ///
    /// If the message is not allowed on its stream, the engine violates the protocol, and no later message on this
    /// connection can be trusted. The connection is closed. Every attempt on it ends as one that may have run, so
    /// no request is repeated that must not run twice.
    pub(super) fn handle_engine_message(
        &mut self,
        connection_id: EngineConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        self.connections
            .record_message_received(connection_id, self.now);
        // Messages that arrive after the dispatcher has closed the connection are ignored.
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let purpose = connection.streams.get(&stream).cloned();
        let source = EngineStream {
            connection: connection_id,
            stream,
            engine: connection.engine.clone(),
        };
        self.record_liveness(&source, purpose.as_ref(), frame.body.as_ref());
        let body_name = message_name(frame.body.as_ref());
        let result = match frame.body {
            Some(body) => self.dispatch_message(&source, purpose, body, outputs),
            None => Err(ProtocolViolation),
        };
        if let Err(ProtocolViolation) = result {
            let text = format!(
                "engine {} sent unexpected {body_name} on stream {}; closing the connection",
                source.engine.0, stream.0
            );
            outputs.push(Output::log(Level::Warn, text));
            self.close_connection(connection_id, "protocol violation", outputs);
        }
    }

    /// Records what a message proves about its engine: that the engine runs, and possibly that it works on
    /// attempts.
    fn record_liveness(
        &mut self,
        source: &EngineStream,
        purpose: Option<&StreamPurpose>,
        body: Option<&Body>,
    ) {
        // Goodbyes are created in this process when a stream or connection has ended, so they prove nothing about
        // the engine.
        if matches!(body, Some(Body::Goodbye(_))) {
            return;
        }
        self.connections
            .record_response(source.connection, self.now);
        self.report_confirmed_deliveries(&source.engine);
        self.retry_unconfirmed_releases();
        if proves_attempt_progress(purpose, body) {
            self.connections
                .record_attempt_progress(source.connection, self.now);
            self.on_engine_worked(&source.engine);
        }
    }

    /// Handles a message according to the purpose of its stream.
    fn dispatch_message(
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

    /// Handles the end of an attempt's connection. The attempt is known not to have run only if the connection
    /// ended before the whole request was written.
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
            .is_some_and(|connection| connection.opened_streams() > 1);
        self.close_stream(source.connection, source.stream);
        self.connections
            .mark_draining(source.connection, &mut self.timers);
        if goodbye.never_ran && is_reused && self.resend_attempt(request_id, outputs) {
            return;
        }
        let outcome = if goodbye.never_ran {
            Outcome::Unreachable
        } else {
            Outcome::ConnectionLost
        };
        let text = format!(
            "connection of the attempt at {} ended: {}",
            source.engine.0, goodbye.reason
        );
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

    /// Handles the answer to a release. If the call was reset or refused, only its own stream ends, and the other
    /// streams of the connection continue.
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
                self.on_release_confirmed(&source.engine, call, outputs);
            }
            Body::Goodbye(_) => {
                self.close_stream(source.connection, source.stream);
                self.on_release_failed(source.engine.clone(), call);
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
                self.requeue_engine_release(source.engine.clone(), release);
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
                self.handle_late_prefill_end(source.engine.clone(), ended, outputs);
                Ok(())
            }
            Body::Load(_) | Body::Goodbye(_) => self.end_stream(source),
            Body::Tokens(_) => Ok(()),
            _ => Err(ProtocolViolation),
        }
    }

    /// Handles a message whose stream is not open. Only messages about the connection as a whole are allowed.
    fn handle_connection_message(
        &mut self,
        source: &EngineStream,
        body: &Body,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        match body {
            Body::Pong(_) if source.stream.0 == 0 => Ok(()),
            Body::Goodbye(goodbye) if source.stream.0 == 0 => {
                let reason = format!("session ended: {}", goodbye.reason);
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

    /// Releases the KV state of a prefill that ended after it was cancelled. `Control` does not know of this state,
    /// which would otherwise stay pinned at its engine.
    pub(super) fn handle_late_prefill_end(
        &mut self,
        engine: EngineId,
        ended: &v1::Ended,
        outputs: &mut Vec<Output>,
    ) {
        if let (v1::Status::PrefillDone, Some(state)) = (ended.status(), ended.state) {
            self.release_at_engine(
                HeldState {
                    engine,
                    id: state,
                    origin: String::new(),
                },
                outputs,
            );
        }
    }

    /// Handles an engine's message that an attempt has ended.
    ///
    /// # Errors
    /// The status is not allowed for this attempt. The attempt has then ended with [`Outcome::ConnectionLost`].
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
                // The decode engine could not fetch the KV state. The state would stay pinned at its prefill
                // engine, so it is released.
                if fault_injection::is_injected(InjectedFault::MissingStateKept) {
                    self.kv_states.remove(request_id);
                } else {
                    self.request_release(request_id, outputs);
                }
                self.remove_finished_request(request_id);
            }
            v1::Status::Failed => {
                self.finish_attempt(request_id, Outcome::Failed, &ended.reason, load, outputs)
            }
            _ => {
                // The stream is already closed, so closing the connection does not end the attempt. The attempt
                // ends here as one that may have run.
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

/// Whether a message proves that its engine works on attempts. Answers to other calls prove less, because an engine
/// whose attempts hang may still answer them.
fn proves_attempt_progress(purpose: Option<&StreamPurpose>, body: Option<&Body>) -> bool {
    let is_success =
        |status: v1::Status| matches!(status, v1::Status::PrefillDone | v1::Status::Succeeded);
    match (purpose, body) {
        (Some(StreamPurpose::Attempt(..)), Some(Body::Tokens(_))) => true,
        (Some(StreamPurpose::Attempt(..)), Some(Body::Ended(ended))) => is_success(ended.status()),
        _ => false,
    }
}
