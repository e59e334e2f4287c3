//! Limit of this dispatcher's attempts in flight at one engine: additive increase, multiplicative
//! decrease.

use crate::interface::{Ms, Role};

/// Initial limit for a prefill engine, in attempts of all dispatchers.
const INITIAL_PREFILLS: f64 = 12.0;
/// Initial limit for an engine that decodes, in attempts of all dispatchers.
const INITIAL_DECODES: f64 = 48.0;
/// Increase of the limit once as many prefills as the limit allows have ended without queueing.
const PREFILL_INCREASE: f64 = 1.0;
/// Increase of the limit for decodes. It is larger because a decode lasts long, so fewer decodes
/// report.
const DECODE_INCREASE: f64 = 3.0;
/// After an attempt that queued, the limit is this fraction of the attempts in flight.
const DECREASE_FRACTION: f64 = 0.7;
/// The limit grows only while the attempts in flight are at most this many below it.
const UNUSED_ATTEMPTS: f64 = 2.0;

/// Concurrency limit of one engine. Guards against queues at engines, which make requests late and
/// evict cached prefixes. An attempt that queued lowers the limit, once for all attempts that were
/// in flight at the same time.
pub(super) struct ConcurrencyLimit {
    attempts: f64,
    increase: f64,
    decreased_at: Ms,
}

impl ConcurrencyLimit {
    /// The initial limit of one of `dispatchers` dispatchers, which share the limit of an engine of
    /// this role equally.
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

    /// The limit in attempts; may be fractional.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Whether one more attempt may be sent while `in_flight` attempts are in flight.
    pub(super) fn has_capacity(&self, in_flight: f64) -> bool {
        in_flight + 1.0 <= self.attempts
    }

    /// Raises the limit after an attempt that did not queue.
    pub(super) fn increase(&mut self, in_flight: f64) {
        if in_flight + UNUSED_ATTEMPTS >= self.attempts {
            self.attempts += self.increase / self.attempts;
        }
    }

    /// Lowers the limit after an attempt that was sent at `sent_at` and queued.
    pub(super) fn decrease(&mut self, in_flight: f64, sent_at: Ms, now: Ms) {
        if sent_at >= self.decreased_at {
            self.attempts = (self.attempts.min(in_flight + 1.0) * DECREASE_FRACTION).max(1.0);
            self.decreased_at = now;
        }
    }
}
