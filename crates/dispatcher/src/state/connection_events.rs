//! Handles the events of engine connections: a connection is established, lost or closed, or an action on it is
//! due.

use super::kv_states::ReleaseCall;
use super::stream_purpose::StreamPurpose;
use super::*;
use cindercleat::connection_pool::{CloseReason, PoolCommand};

/// The minimum time limit in the message of an attempt. An engine treats a limit of 0 as no time limit.
const MIN_ENGINE_WAIT_MS: Ms = 1.0;

impl Dispatcher {
    /// Handles a connection that is now established: the messages queued for it are sent. `limit` is the number of
    /// concurrent streams that the engine allows on it.
    pub(super) fn on_connection_established(
        &mut self,
        connection_id: EngineConnectionId,
        limit: Option<usize>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            let reason = "no longer needed".to_owned();
            return outputs.push(Output::CloseConnection {
                connection: connection_id,
                reason,
            });
        };
        let (engine, unsent_messages) = (
            connection.engine.clone(),
            std::mem::take(&mut connection.unsent_messages),
        );
        self.connections
            .mark_established(connection_id, limit, self.now, &mut self.timers);
        // The engine may have begun to drain while the connection was being established. It must then get no
        // attempt. Attempts that are still queued are not sent, so they are known not to have run.
        let accepts_attempts = self.endpoints.status(&engine) == EndpointStatus::Ready
            || fault_injection::is_injected(InjectedFault::DrainSeenLate);
        self.send_engine_releases(&engine, outputs);
        for (stream, body) in unsent_messages {
            self.send_queued_message(connection_id, stream, body, accepts_attempts, outputs);
        }
    }

    /// Sends a message that was queued for its connection, if its purpose still applies. `accepts_attempts` is
    /// whether the engine is in service.
    fn send_queued_message(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        mut body: Body,
        accepts_attempts: bool,
        outputs: &mut Vec<Output>,
    ) {
        let purpose = self
            .connections
            .get(connection_id)
            .and_then(|connection| connection.streams.get(&stream).cloned());
        let is_sent = match purpose {
            Some(StreamPurpose::Release(call)) => {
                self.begin_queued_release(connection_id, stream, &call)
            }
            // An attempt is also not sent if its request is answered or its client has gone, because nobody waits
            // for it.
            Some(StreamPurpose::Attempt(request, _))
                if !accepts_attempts || self.is_answered(request) =>
            {
                self.close_stream(connection_id, stream);
                self.end_attempt(request, Outcome::NotSent, 0.0, Load::default());
                false
            }
            Some(StreamPurpose::Attempt(request, _)) => {
                self.update_time_limit(request, &mut body);
                if let Some(request) = self.requests.get_mut(&request) {
                    request.mark_sent(self.now);
                }
                true
            }
            _ => true,
        };
        if is_sent {
            outputs.push(Output::ToEngine {
                connection: connection_id,
                frame: frame(stream.0, body),
            });
        }
    }

    /// Starts a release that was queued for its connection, unless the KV state is already released or the request
    /// still needs it. Returns whether the release is sent.
    pub(super) fn begin_queued_release(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        call: &ReleaseCall,
    ) -> bool {
        let is_sent = self
            .kv_states
            .pending_release(call.request)
            .is_some_and(|state| !self.is_still_needed(state));
        if !is_sent {
            self.close_stream(connection_id, stream);
            self.on_release_withdrawn(call);
        } else if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.streams.insert(
                stream,
                StreamPurpose::Release(ReleaseCall {
                    begun_at: self.now,
                    ..call.clone()
                }),
            );
        }
        is_sent
    }

    /// Reduces the time limit in the message of an attempt by the time that the message was queued for its
    /// connection.
    pub(super) fn update_time_limit(&self, request: RequestId, body: &mut Body) {
        let Some(attempt) = self.current_attempt(request) else {
            return;
        };
        let time_left = (attempt.expires_at - self.now).max(MIN_ENGINE_WAIT_MS);
        match body {
            Body::Prefill(prefill) => prefill.wait_ms = time_left,
            Body::Decode(decode) => decode.wait_ms = time_left,
            _ => {}
        }
    }

    /// Whether the request's final answer was sent, or its client has gone.
    pub(super) fn is_answered(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|request| request.answered)
    }

    /// Removes a stream that has ended. Returns its purpose if it was open.
    pub(super) fn close_stream(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
    ) -> Option<StreamPurpose> {
        self.connections
            .close_stream(connection_id, stream, self.now, &mut self.timers)
    }

    /// Closes the connections to an engine that have no open streams.
    pub(super) fn close_idle(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        for id in self.connections.ids_of(engine) {
            if self.connections.is_idle(id) {
                self.close_connection(id, "idle", outputs);
            }
        }
    }

    /// Carries out the commands of an engine's connection pool that are due.
    pub(super) fn run_connection_pool(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let entry = self.endpoints.engines.get(engine);
        let is_in_service = entry.is_some_and(|entry| entry.status == EndpointStatus::Ready);
        let address = entry
            .map(|entry| entry.endpoint.address.clone())
            .unwrap_or_default();
        for command in self
            .connections
            .due_commands(engine, self.now, is_in_service)
        {
            match command {
                PoolCommand::Connect => {
                    let effects = (&mut self.timers, &mut *outputs);
                    self.connections.dial(engine, &address, self.now, effects);
                }
                PoolCommand::Ping(id) => {
                    self.connections.send(
                        EngineConnectionId(id.0),
                        StreamId(0),
                        Body::Ping(v1::Ping {}),
                        outputs,
                    );
                }
                PoolCommand::Close(id, cause) => {
                    let reason = match cause {
                        CloseReason::ConnectTimeout => "connect timeout",
                        CloseReason::Idle => "idle",
                        CloseReason::PingTimeout => "no answer to a ping",
                        CloseReason::Drained => "drained",
                    };
                    self.close_connection(EngineConnectionId(id.0), reason, outputs);
                }
            }
        }
        self.connections.schedule_timer(engine, &mut self.timers);
    }

    /// Closes a connection to an engine and ends all of its streams.
    pub(super) fn close_connection(
        &mut self,
        connection_id: EngineConnectionId,
        reason: &str,
        outputs: &mut Vec<Output>,
    ) {
        if self.connections.get(connection_id).is_some() {
            outputs.push(Output::CloseConnection {
                connection: connection_id,
                reason: reason.to_owned(),
            });
            self.on_connection_closed(connection_id, reason, outputs);
        }
    }

    /// Handles a connection that has ended. If it was established, the attempts on it may have run. If it was not,
    /// nothing was sent on it.
    pub(super) fn on_connection_closed(
        &mut self,
        connection_id: EngineConnectionId,
        reason: &str,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.remove(connection_id, self.now) else {
            return;
        };
        let outcome = match connection.is_established {
            true if fault_injection::is_injected(InjectedFault::ConnectionLossAsOverload) => {
                Outcome::Overloaded
            }
            true => Outcome::ConnectionLost,
            false => Outcome::Unreachable,
        };
        // The end of an abandoned stream has no effect, so abandoned streams are not counted.
        let streams = connection
            .streams
            .values()
            .filter(|purpose| **purpose != StreamPurpose::Abandoned)
            .count();
        if streams > 0 {
            let text = format!(
                "connection to {} closed with {streams} open streams: {reason}",
                connection.engine.0
            );
            outputs.push(Output::log(Level::Warn, text));
        }
        self.schedule_engine_releases(&connection.engine);
        for (_, purpose) in connection.streams {
            self.end_lost_stream(&connection.engine, purpose, outcome, outputs);
        }
        self.remove_gone_engine(&connection.engine);
    }

    /// Ends the call that a stream carried, after the connection of the stream has ended.
    fn end_lost_stream(
        &mut self,
        engine: &EngineId,
        purpose: StreamPurpose,
        outcome: Outcome,
        outputs: &mut Vec<Output>,
    ) {
        match purpose {
            StreamPurpose::Attempt(request, _) => {
                let reason = "the writer's connection broke";
                self.finish_attempt(request, outcome, reason, Load::default(), outputs);
            }
            StreamPurpose::HealthCheck { sent_at } => {
                self.events.push(Event::HealthChecked {
                    engine: engine.clone(),
                    outcome,
                    latency: self.now - sent_at,
                    load: Load::default(),
                });
            }
            StreamPurpose::Release(call) => self.on_release_failed(engine.clone(), &call),
            StreamPurpose::EngineRelease(release) => {
                self.requeue_engine_release(engine.clone(), release)
            }
            StreamPurpose::Reservation(..)
            | StreamPurpose::LivenessCheck
            | StreamPurpose::Abandoned => {}
        }
    }
}
