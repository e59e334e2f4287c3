//! Limits how long a connection's task runs before the other tasks of the process run.
//!
//! All tasks share one thread. A task returns to the runtime only when its next read or write has to wait, so a peer
//! that sends faster than its bytes are parsed would keep all other tasks, all timers and all accepts from running.

use tokio::task::yield_now;

/// The number of bytes that a connection reads before it lets the other tasks run.
const MAX_BYTES_PER_TURN: usize = 16 << 10;

/// What a connection's task has read since it last let the other tasks run.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    bytes: usize,
}

impl Turn {
    /// Lets the other tasks run, due timers included, if this task has read its share. To be awaited before each read,
    /// outside of a `select!`: there, another branch would be taken although input is ready.
    pub async fn yield_if_spent(&mut self) {
        if self.bytes >= MAX_BYTES_PER_TURN {
            self.bytes = 0;
            yield_now().await;
        }
    }

    /// Records that `bytes` bytes were read.
    pub fn read(&mut self, bytes: usize) {
        self.bytes += bytes;
    }
}
