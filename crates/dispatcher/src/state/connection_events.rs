//! What happens to connections to engines: up, due, dropped, closed.

use super::kv_states::ReleaseCall;
use super::stream_purpose::StreamPurpose;
use super::*;
use cindercleat::connection_pool::{CloseReason, PoolCommand};

/// The least time that an engine is given for an attempt; 0 would mean that none is given.
const MIN_ENGINE_WAIT_MS: Ms = 1.0;

impl Dispatcher {
    /// A connection is up: what has waited for it goes out. `limit`: the streams that the engine allows on it.
    pub(super) fn on_connection_up(
        &mut self,
        connection_id: EngineConnectionId,
        limit: Option<usize>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            let reason = "not wanted any more".to_owned();
            return outputs.push(Output::CloseConnection {
                connection: connection_id,
                reason,
            });
        };
        let (engine, waiting) = (
            connection.engine.clone(),
            std::mem::take(&mut connection.waiting),
        );
        self.connections
            .come_up(connection_id, limit, self.now, &mut self.timers);
        // Guards against a drain that was learned while the connection came up, which shows as an attempt at an engine that
        // has left service: an attempt that has not gone out stays here, and is known not to have run.
        let ready = self.endpoints.status(&engine) == EndpointStatus::Ready
            || fault_injection::is_injected(InjectedFault::DrainSeenLate);
        self.send_engine_releases(&engine, outputs);
        for (stream, body) in waiting {
            self.send_waiting(connection_id, stream, body, ready, outputs);
        }
    }

    /// Sends what has waited for its connection, if there is still cause. `ready`: whether the engine takes attempts.
    fn send_waiting(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        mut body: Body,
        ready: bool,
        outputs: &mut Vec<Output>,
    ) {
        let purpose = self
            .connections
            .get(connection_id)
            .and_then(|connection| connection.streams.get(&stream).cloned());
        let goes_out = match purpose {
            Some(StreamPurpose::Release(call)) => {
                self.begin_waiting_release(connection_id, stream, &call)
            }
            // Nor does one whose client has gone meanwhile: nobody waits for it.
            Some(StreamPurpose::Attempt(request, _)) if !ready || self.is_answered(request) => {
                self.close_stream(connection_id, stream);
                self.end_attempt(request, Outcome::NotSent, 0.0, Load::default());
                false
            }
            Some(StreamPurpose::Attempt(request, _)) => {
                self.update_time_left(request, &mut body);
                if let Some(request) = self.requests.get_mut(&request) {
                    request.mark_sent(self.now);
                }
                true
            }
            _ => true,
        };
        if goes_out {
            outputs.push(Output::ToEngine {
                connection: connection_id,
                frame: frame(stream.0, body),
            });
        }
    }

    /// The connection of a release is up: it goes out now, unless there is nothing to release any more, or its request
    /// needs the KV state. Gives whether it does.
    pub(super) fn begin_waiting_release(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        call: &ReleaseCall,
    ) -> bool {
        let goes_out = self
            .kv_states
            .release_wanted(call.request)
            .is_some_and(|state| !self.is_needed(state));
        if !goes_out {
            self.close_stream(connection_id, stream);
            self.release_unsent(call);
        } else if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.streams.insert(
                stream,
                StreamPurpose::Release(ReleaseCall {
                    begun_at: self.now,
                    ..call.clone()
                }),
            );
        }
        goes_out
    }

    /// Sets the time that is left to an attempt which has waited for its connection.
    pub(super) fn update_time_left(&self, request: RequestId, body: &mut Body) {
        let Some(attempt) = self.current_attempt(request) else {
            return;
        };
        let left = (attempt.expires_at - self.now).max(MIN_ENGINE_WAIT_MS);
        match body {
            Body::Prefill(prefill) => prefill.wait_ms = left,
            Body::Decode(decode) => decode.wait_ms = left,
            _ => {}
        }
    }

    /// Whether a request has its answer, or its client has gone.
    pub(super) fn is_answered(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|request| request.answered)
    }

    /// A stream is over. Gives what it was for, if it was open.
    pub(super) fn close_stream(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
    ) -> Option<StreamPurpose> {
        self.connections
            .close_stream(connection_id, stream, self.now, &mut self.timers)
    }

    /// Closes the connections to an engine that carry nothing.
    pub(super) fn close_idle(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        for id in self.connections.ids_of(engine) {
            if self.connections.is_idle(id) {
                self.close_connection(id, "idle", outputs);
            }
        }
    }

    /// Does what is due for the connections to an engine.
    pub(super) fn run_connection_pool(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let row = self.endpoints.engines.get(engine);
        let ready = row.is_some_and(|r| r.status == EndpointStatus::Ready);
        let address = row.map(|r| r.line.address.clone()).unwrap_or_default();
        for command in self.connections.wanted(engine, self.now, ready) {
            match command {
                PoolCommand::Connect => {
                    let to = (&mut self.timers, &mut *outputs);
                    self.connections.dial(engine, &address, self.now, to);
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
                        CloseReason::ConnectTimeout => "no connection in time",
                        CloseReason::Idle => "idle",
                        CloseReason::PingTimeout => "it does not answer",
                        CloseReason::Drained => "it goes away",
                    };
                    self.close_connection(EngineConnectionId(id.0), reason, outputs);
                }
            }
        }
        self.connections.arm(engine, &mut self.timers);
    }

    /// Closes a connection from this side.
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

    /// A connection is closed. What was out on it may have run if it was up; if it never was, nothing was sent.
    pub(super) fn on_connection_closed(
        &mut self,
        connection_id: EngineConnectionId,
        reason: &str,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.remove(connection_id, self.now) else {
            return;
        };
        let outcome = match connection.up {
            true if fault_injection::is_injected(InjectedFault::ConnectionLossAsOverload) => {
                Outcome::Overloaded
            }
            true => Outcome::ConnectionLost,
            false => Outcome::Unreachable,
        };
        // A connection that ends with what was abandoned ends as it should.
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
        self.forget_gone_engine(&connection.engine);
    }

    /// Ends what a stream of a closed connection was for.
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
            StreamPurpose::Release(call) => self.release_lost(engine.clone(), &call),
            StreamPurpose::EngineRelease(release) => {
                self.engine_release_lost(engine.clone(), release)
            }
            StreamPurpose::Reservation(..)
            | StreamPurpose::LivenessCheck
            | StreamPurpose::Abandoned => {}
        }
    }
}
