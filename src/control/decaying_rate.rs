//! Estimates the rate of events with an exponentially decaying average.

use crate::interface::Ms;

/// A rate of events. It decays only when an event is recorded, and stays constant between events.
#[derive(Default)]
pub(super) struct DecayingRate {
    per_ms: f64,
    updated_at: Ms,
}

impl DecayingRate {
    /// Records `amount` events at `now`. The weight of earlier events decays with the time constant
    /// `decay_ms`.
    pub(super) fn record(&mut self, amount: f64, now: Ms, decay_ms: Ms) {
        self.per_ms = self.per_ms * (-(now - self.updated_at) / decay_ms).exp() + amount / decay_ms;
        self.updated_at = now;
    }

    /// Events per millisecond, as of the last recorded event.
    pub(super) fn per_ms(&self) -> f64 {
        self.per_ms
    }
}
