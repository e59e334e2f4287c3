//! Handles streams that the dispatcher has abandoned but their engine has not ended, and calls that were not
//! answered in time.

use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
    /// Abandons a stream, so that later messages on it are ignored. The stream still counts as open until its
    /// engine ends it.
    pub(super) fn abandon_stream(&mut self, connection_id: EngineConnectionId, stream: StreamId) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.streams.insert(stream, StreamPurpose::Abandoned);
            self.timers.set(
                self.now + self.settings.limits.stall_timeout,
                TimerKind::StreamTimeout(connection_id, stream),
            );
        }
    }

    /// Closes the connection of a stream if the call on it was not answered in time, or if an abandoned stream is
    /// still open and nothing was received on its connection for the stall timeout. Closing the connection ends all
    /// of its streams.
    ///
    /// An engine may stop receiving messages although its connection never breaks. Cancelled attempts would then
    /// occupy its streams forever, and calls would never be answered.
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
            Some(StreamPurpose::Release(..)) => Some("release not answered in time"),
            Some(StreamPurpose::LivenessCheck) => Some("liveness check not answered in time"),
            Some(StreamPurpose::Abandoned | StreamPurpose::EngineRelease(..)) => None,
            _ => return,
        };
        if let Some(reason) = unanswered {
            let engine = connection.engine.clone();
            self.connections.record_unanswered_call(&engine, self.now);
            return self.close_connection(connection_id, reason, outputs);
        }
        let until = connection.last_received_at + self.settings.limits.stall_timeout;
        if self.now >= until {
            self.close_connection(
                connection_id,
                "no message within the stall timeout",
                outputs,
            );
        } else {
            self.timers
                .set(until, TimerKind::StreamTimeout(connection_id, stream));
        }
    }
}
