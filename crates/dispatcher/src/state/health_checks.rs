//! Health checks: an engine is asked for its load, which also tells whether it answers.

use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
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
}
