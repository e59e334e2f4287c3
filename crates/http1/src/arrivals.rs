//! Records when the bytes of a receive buffer arrived. The arrival times tell how long a pipelined request has waited
//! behind the request before it.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of chunks with their own arrival time; bytes that arrive later count as part of the last chunk.
const MAX_CHUNKS: usize = 64;
/// Input that arrives within this time after all of it was read may have been held back by the peer's system while reading
/// was stopped. Longer than a round trip.
const HELD_BACK_TIME: Duration = Duration::from_millis(100);

/// The arrival times of the bytes that are buffered and not parsed yet, one per chunk read.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// The number of unparsed bytes of each chunk, and the chunk's arrival time.
    chunks: VecDeque<(usize, Instant)>,
    /// The number of unparsed bytes of all chunks.
    unparsed: usize,
    /// When reading was stopped although more input may have arrived; `None` once all input of that time has been read.
    unread_since: Option<Instant>,
    /// Since when there is no more input to read; `None` if there may be some.
    all_read_since: Option<Instant>,
}

impl Arrivals {
    /// Records that input is left unread from now on. It may arrive at once, so bytes that are read later count as
    /// arrived now, until all of them are read.
    pub fn stop_reading(&mut self) {
        self.end_pause();
        self.unread_since.get_or_insert_with(Instant::now);
    }

    /// Records that all input that has arrived so far was read.
    pub fn all_read(&mut self) {
        if self.unread_since.is_some() {
            self.all_read_since.get_or_insert_with(Instant::now);
        }
    }

    /// Forgets when reading was stopped, if all input was read long enough ago.
    fn end_pause(&mut self) {
        let all_read_since = self.all_read_since.take();
        if all_read_since.is_some_and(|since| since.elapsed() > HELD_BACK_TIME) {
            self.unread_since = None;
        }
    }

    /// Records that `bytes` bytes were read, which arrived now unless reading was stopped.
    pub fn received(&mut self, bytes: usize) {
        self.end_pause();
        self.unparsed += bytes;
        let is_full = self.chunks.len() >= MAX_CHUNKS;
        match self.chunks.back_mut().filter(|_| is_full) {
            Some(last) => last.0 += bytes,
            None => {
                let arrived_at = self.unread_since.unwrap_or_else(Instant::now);
                self.chunks.push_back((bytes, arrived_at));
            }
        }
    }

    /// Drops the arrival times of all but the last `unparsed` bytes, because the earlier bytes were parsed.
    pub fn retain_last(&mut self, unparsed: usize) {
        let mut consumed = self.unparsed.saturating_sub(unparsed);
        self.unparsed = unparsed;
        while let Some(first) = self.chunks.front_mut() {
            if first.0 > consumed {
                first.0 -= consumed;
                return;
            }
            consumed -= first.0;
            self.chunks.pop_front();
        }
    }

    /// How long the first unparsed byte has waited, in milliseconds; 0 if there is none.
    pub fn oldest_wait_ms(&self) -> f64 {
        self.chunks
            .front()
            .map_or(0.0, |(_, at)| at.elapsed().as_secs_f64() * 1000.0)
    }
}
