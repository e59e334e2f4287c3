//! Limits this dispatcher's attempts in flight at one engine by additive increase and
//! multiplicative decrease (AIMD).

use crate::interface::{Ms, Role};

/// Initial limit for a prefill engine, in attempts of all dispatchers together.
const INITIAL_PREFILLS: f64 = 12.0;
/// Initial limit for an engine that serves decodes, in attempts of all dispatchers together.
const INITIAL_DECODES: f64 = 48.0;
/// Each attempt that did not queue raises the limit of a prefill engine by this value divided by
/// the current limit.
const PREFILL_INCREASE: f64 = 1.0;
/// Each attempt that did not queue raises the limit of an engine that serves decodes by this value
/// divided by the current limit. The value is larger than for prefills because a decode lasts long,
/// so fewer decodes per second show whether they queued.
const DECODE_INCREASE: f64 = 3.0;
/// An attempt that queued lowers the limit to this multiple of its old value or of the number of
/// attempts in flight at that time, whichever is smaller: 0.7 means to 70 %, not by 70 %.
const DECREASE_TO_FRACTION: f64 = 0.7;
/// The limit grows only while at most this many more attempts could be sent without exceeding it.
const MAX_UNUSED_ATTEMPTS: f64 = 2.0;

/// Concurrency limit of one engine. Guards against queues at engines, which make requests late and
/// evict cached prefixes. Attempts that were in flight at the same time and queued lower the limit
/// only once.
pub(super) struct ConcurrencyLimit {
    attempts: f64,
    increase: f64,
    decreased_at: Ms,
}

impl ConcurrencyLimit {
    /// Creates the initial limit for an engine of this role: an equal part for each of
    /// `dispatchers` dispatchers.
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

    /// The current limit in attempts, which may be fractional and is at least 1.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Whether one more attempt may be sent while `in_flight` attempts are in flight.
    pub(super) fn has_capacity(&self, in_flight: f64) -> bool {
        in_flight + 1.0 <= self.attempts
    }

    /// Raises the limit after an attempt that did not queue, if `in_flight` attempts nearly use it
    /// up.
    pub(super) fn increase(&mut self, in_flight: f64) {
        if in_flight + MAX_UNUSED_ATTEMPTS >= self.attempts {
            self.attempts += self.increase / self.attempts;
        }
    }

    /// Lowers the limit after an attempt that was sent at `sent_at` and queued.
    pub(super) fn decrease(&mut self, in_flight: f64, sent_at: Ms, now: Ms) {
        if sent_at >= self.decreased_at {
            self.attempts = (self.attempts.min(in_flight + 1.0) * DECREASE_TO_FRACTION).max(1.0);
            self.decreased_at = now;
        }
    }
}
