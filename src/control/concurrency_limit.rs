//! How many of this dispatcher's attempts may be in flight at an engine: additive increase,
//! multiplicative decrease.

use crate::interface::{Ms, Role};

/// Attempts in flight at an engine to start with, summed over all dispatchers.
const INITIAL_PREFILLS: f64 = 12.0;
const INITIAL_DECODES: f64 = 48.0;
/// Increase for as many attempts without a queue as the limit allows at once. A decode lasts long,
/// so fewer of them report.
const PREFILL_INCREASE: f64 = 1.0;
const DECODE_INCREASE: f64 = 3.0;
/// What is left of the attempts in flight after one that queued.
const DECREASE_FRACTION: f64 = 0.7;
/// The limit grows only while it is nearly used up: with so many attempts in flight below it, or
/// fewer.
const UNUSED_ATTEMPTS: f64 = 2.0;

/// Guards against queues at engines, in which requests grow late and cached prefixes are evicted:
/// an attempt that queued lowers the limit, once for all attempts that were in flight together with
/// it.
pub(super) struct ConcurrencyLimit {
    attempts: f64,
    increase: f64,
    decreased_at: Ms,
}

impl ConcurrencyLimit {
    /// One of `dispatchers` equal parts of what an engine of this role is given to start with.
    pub(super) fn new(role: Role, dispatchers: f64) -> Self {
        let (initial, increase) = match role {
            Role::Prefill => (INITIAL_PREFILLS, PREFILL_INCREASE),
            Role::Decode | Role::Both => (INITIAL_DECODES, DECODE_INCREASE),
        };
        ConcurrencyLimit {
            attempts: (initial / dispatchers).max(1.0),
            increase,
            decreased_at: f64::NEG_INFINITY,
        }
    }

    /// The limit in attempts, with a fraction.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Whether one more than `in_flight` attempts may be out.
    pub(super) fn has_room(&self, in_flight: f64) -> bool {
        in_flight + 1.0 <= self.attempts
    }

    /// An attempt met no queue.
    pub(super) fn increase(&mut self, in_flight: f64) {
        if in_flight + UNUSED_ATTEMPTS >= self.attempts {
            self.attempts += self.increase / self.attempts;
        }
    }

    /// An attempt sent at `sent_at` met a queue.
    pub(super) fn decrease(&mut self, in_flight: f64, sent_at: Ms, now: Ms) {
        if sent_at >= self.decreased_at {
            self.attempts = (self.attempts.min(in_flight + 1.0) * DECREASE_FRACTION).max(1.0);
            self.decreased_at = now;
        }
    }
}
