//! Streams that are given up here and that their engine has not ended yet.

use super::stream_purpose::StreamPurpose;
use super::*;

impl Dispatcher {
    pub(super) fn make_past(&mut self, id: EngineConnectionId, stream: StreamId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.streams.insert(stream, StreamPurpose::Past);
            self.timers.set(
                self.now + self.settings.limits.stall_limit,
                Due::Past(id, stream),
            );
        }
    }

    /// Guards against an engine that hears nothing any more on a connection that never breaks: what was called
    /// off there would take its room for ever.
    pub(super) fn look_at_past(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let unanswered = match connection.streams.get(&stream) {
            Some(StreamPurpose::Release(..)) => Some("it does not answer a release"),
            Some(StreamPurpose::Sign) => Some("it gives no sign that it runs"),
            Some(StreamPurpose::Past | StreamPurpose::EngineRelease(..)) => None,
            _ => return,
        };
        if let Some(reason) = unanswered {
            let engine = connection.engine.clone();
            self.connections.left_unanswered(&engine, self.now);
            return self.drop_link(id, reason, out);
        }
        let until = connection.heard + self.settings.limits.stall_limit;
        if self.now >= until {
            self.drop_link(id, "it says nothing and ends nothing", out);
        } else {
            self.timers.set(until, Due::Past(id, stream));
        }
    }
}
