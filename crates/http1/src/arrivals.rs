//! When the bytes came that have been read and wait to be looked at.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Pieces that are told apart; what comes beyond them counts as come with the last.
const MOST_PIECES: usize = 64;

/// Bytes that wait, in the pieces in which they came.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    pieces: VecDeque<(usize, Instant)>,
    waiting: usize,
}

impl Arrivals {
    /// So many bytes came just now.
    pub fn came(&mut self, bytes: usize) {
        self.waiting += bytes;
        let full = self.pieces.len() >= MOST_PIECES;
        match self.pieces.back_mut().filter(|_| full) {
            Some(last) => last.0 += bytes,
            None => self.pieces.push_back((bytes, Instant::now())),
        }
    }

    /// So many still wait: those that came first have been taken.
    pub fn wait(&mut self, waiting: usize) {
        let mut taken = self.waiting.saturating_sub(waiting);
        self.waiting = waiting;
        while let Some(first) = self.pieces.front_mut() {
            if first.0 > taken {
                first.0 -= taken;
                return;
            }
            taken -= first.0;
            self.pieces.pop_front();
        }
    }

    /// For how many milliseconds the first of them has waited.
    pub fn waited_ms(&self) -> f64 {
        self.pieces
            .front()
            .map_or(0.0, |(_, at)| at.elapsed().as_secs_f64() * 1000.0)
    }
}
