//! Streams that were given up here and that their engine has not ended yet, and calls that it has not answered.

use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
    /// Nothing is expected on a stream any more; it stays taken until its engine ends it.
    pub(super) fn abandon_stream(&mut self, connection_id: EngineConnectionId, stream: StreamId) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.streams.insert(stream, StreamPurpose::Abandoned);
            self.timers.set(
                self.now + self.settings.limits.stall_timeout,
                Due::StreamTimeout(connection_id, stream),
            );
        }
    }

    /// Guards against an engine that receives nothing any more on a connection that never breaks, which shows as cancelled
    /// attempts that take up its streams for ever, or as calls that are never answered: the connection is closed, which
    /// ends all that is on it.
    pub(super) fn check_unanswered_stream(
        &mut self,
        connection_id: EngineConnectionId,
        stream: StreamId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get(connection_id) else {
            return;
        };
        let unanswered = match connection.streams.get(&stream) {
            Some(StreamPurpose::Release(..)) => Some("it does not answer a release"),
            Some(StreamPurpose::LivenessCheck) => Some("it gives no sign that it runs"),
            Some(StreamPurpose::Abandoned | StreamPurpose::EngineRelease(..)) => None,
            _ => return,
        };
        if let Some(reason) = unanswered {
            let engine = connection.engine.clone();
            self.connections.left_unanswered(&engine, self.now);
            return self.close_connection(connection_id, reason, outputs);
        }
        let until = connection.last_received_at + self.settings.limits.stall_timeout;
        if self.now >= until {
            self.close_connection(connection_id, "it says nothing and ends nothing", outputs);
        } else {
            self.timers
                .set(until, Due::StreamTimeout(connection_id, stream));
        }
    }
}
