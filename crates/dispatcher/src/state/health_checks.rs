//! Health checks. A health check asks an engine for its load, and shows whether the engine answers.

use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
    /// Sends a health check to an engine. The result is reported as [`Event::HealthChecked`].
    pub(super) fn check_health(&mut self, engine: EngineId, outputs: &mut Vec<Output>) {
        let address = self
            .endpoints
            .engines
            .get(&engine)
            .map(|entry| entry.endpoint.address.clone());
        let purpose = StreamPurpose::HealthCheck { sent_at: self.now };
        let effects = (&mut self.timers, &mut *outputs);
        let opened = address.and_then(|address| {
            self.connections
                .open(
                    &engine,
                    &address,
                    purpose,
                    self.now,
                    &self.settings,
                    effects,
                )
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
            TimerKind::HealthCheckTimeout(connection, stream),
        );
        self.connections.send(
            connection,
            stream,
            Body::HealthCheck(v1::HealthCheck {}),
            outputs,
        );
    }

    /// Ends the health check on a stream, if there is one, and reports its result.
    pub(super) fn end_health_check(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        outcome: Outcome,
        load: Load,
    ) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        let Some(StreamPurpose::HealthCheck { sent_at }) = connection.streams.get(&stream).cloned()
        else {
            return;
        };
        let engine = connection.engine.clone();
        self.events.push(Event::HealthChecked {
            engine,
            outcome,
            latency: self.now - sent_at,
            load,
        });
        if outcome == Outcome::TimedOut && !self.connections.withdraw_unsent(connection_id, stream)
        {
            self.abandon_stream(connection_id, stream);
        } else {
            self.connections
                .close_stream(connection_id, stream, self.now, &mut self.timers);
        }
    }
}
