//! Records when the bytes of a receive buffer arrived, so that the time that a pipelined request waited is known.

use std::collections::VecDeque;
use tokio::time::Instant;

/// The maximum number of chunks with their own arrival time; later bytes count as part of the last chunk.
const MAX_CHUNKS: usize = 64;

/// The arrival times of the bytes that are buffered and not parsed yet, one per chunk read.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    chunks: VecDeque<(usize, Instant)>,
    unread: usize,
}

impl Arrivals {
    /// Records that `bytes` bytes arrived now.
    pub fn received(&mut self, bytes: usize) {
        self.unread += bytes;
        let is_full = self.chunks.len() >= MAX_CHUNKS;
        match self.chunks.back_mut().filter(|_| is_full) {
            Some(last) => last.0 += bytes,
            None => self.chunks.push_back((bytes, Instant::now())),
        }
    }

    /// Keeps the times of the last `unread` bytes; all earlier bytes were parsed.
    pub fn retain_last(&mut self, unread: usize) {
        let mut consumed = self.unread.saturating_sub(unread);
        self.unread = unread;
        while let Some(first) = self.chunks.front_mut() {
            if first.0 > consumed {
                first.0 -= consumed;
                return;
            }
            consumed -= first.0;
            self.chunks.pop_front();
        }
    }

    /// How long the first unread byte has waited, in milliseconds; 0 if there is none.
    pub fn oldest_wait_ms(&self) -> f64 {
        self.chunks
            .front()
            .map_or(0.0, |(_, at)| at.elapsed().as_secs_f64() * 1000.0)
    }
}
