//! An event rate that fades with time.

use crate::interface::Ms;

/// Events per millisecond. The rate decays only when an event is noted, so it lasts while none
/// come.
#[derive(Default)]
pub(super) struct DecayingRate {
    per_ms: f64,
    noted_at: Ms,
}

impl DecayingRate {
    /// Adds `amount` events at `now`; older ones fade with the time constant `decay_ms`.
    pub(super) fn note(&mut self, amount: f64, now: Ms, decay_ms: Ms) {
        self.per_ms = self.per_ms * (-(now - self.noted_at) / decay_ms).exp() + amount / decay_ms;
        self.noted_at = now;
    }

    /// Events per millisecond.
    pub(super) fn per_ms(&self) -> f64 {
        self.per_ms
    }
}
