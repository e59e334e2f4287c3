//! Detects engines that should get no attempts for a while: those that fail more often than their
//! peers (ejection), and those that rejected an attempt as overloaded (backoff).

use crate::interface::Ms;

/// Number of recent outcomes that are kept per engine.
const MAX_OUTCOMES: u32 = 8;
/// An engine with fewer recent outcomes than this is not ejected: so few do not show a fault.
const MIN_OUTCOMES: u32 = 3;
/// An engine is ejected if its success fraction is below this fraction of its peers' mean.
const EJECT_BELOW_PEERS_FRACTION: f64 = 0.5;
/// Interval at which overloaded engines and held requests are retried, as a fraction of the KV
/// state timeout.
pub(super) const RETRY_INTERVAL_FRACTION: f64 = 0.1;
/// After this many doublings, further consecutive rejections leave the backoff unchanged.
const MAX_BACKOFF_DOUBLINGS: i32 = 5;

/// Whether the last attempts at an engine succeeded; at most [`MAX_OUTCOMES`] are kept.
pub(super) struct OutcomeHistory {
    /// One bit per outcome, 1 for a success, with the newest outcome in the lowest bit. The bit
    /// above the oldest outcome is always 1 and marks the end.
    bits: u32,
    next_trial_at: Ms,
}

impl OutcomeHistory {
    pub(super) fn new() -> Self {
        OutcomeHistory {
            bits: 1,
            next_trial_at: f64::NEG_INFINITY,
        }
    }

    /// Drops all outcomes, because the engine has a new process.
    pub(super) fn clear(&mut self) {
        self.bits = 1;
    }

    pub(super) fn record(&mut self, success: bool) {
        let bits = self.bits << 1 | u32::from(success);
        self.bits = if bits >> MAX_OUTCOMES > 1 {
            bits & ((1 << MAX_OUTCOMES) - 1) | 1 << MAX_OUTCOMES
        } else {
            bits
        };
    }

    /// The fraction of successes among the recent outcomes, from 0 to 1; 1 without any outcome.
    pub(super) fn success_fraction(&self) -> f64 {
        if self.bits == 1 {
            1.0
        } else {
            f64::from(self.bits.count_ones() - 1) / f64::from(self.bits.ilog2())
        }
    }

    /// Whether the engine fails far more often than its peers, whose mean success fraction is
    /// `peers_success`. Because of the comparison with peers, a failure of the whole fleet does not
    /// eject every engine.
    pub(super) fn is_ejected(&self, peers_success: f64) -> bool {
        self.bits.ilog2() >= MIN_OUTCOMES
            && self.success_fraction() < EJECT_BELOW_PEERS_FRACTION * peers_success
    }

    /// Whether an ejected engine may get one attempt that shows whether it has recovered.
    pub(super) fn is_trial_due(&self, now: Ms) -> bool {
        now >= self.next_trial_at
    }

    /// Records that an attempt was sent. If the engine is ejected, its next trial is due after
    /// `interval_ms`.
    pub(super) fn record_attempt(&mut self, now: Ms, interval_ms: Ms) {
        self.next_trial_at = now + interval_ms;
    }
}

/// Backoff after rejections: each consecutive rejection doubles the time for which the engine gets
/// no attempts. Guards against an engine that rejects every attempt and therefore always appears to
/// have capacity.
pub(super) struct OverloadBackoff {
    until: Ms,
    rejections: i32,
}

impl OverloadBackoff {
    pub(super) fn new() -> Self {
        OverloadBackoff {
            until: f64::NEG_INFINITY,
            rejections: 0,
        }
    }

    pub(super) fn is_over(&self, now: Ms) -> bool {
        now >= self.until
    }

    pub(super) fn record_rejection(&mut self, now: Ms, kv_state_timeout: Ms) {
        let backoff = RETRY_INTERVAL_FRACTION * kv_state_timeout * 2.0_f64.powi(self.rejections);
        self.until = now + backoff;
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Records that an attempt succeeded: the next rejection causes the shortest backoff again.
    pub(super) fn record_success(&mut self) {
        self.rejections = 0;
    }

    /// Excludes the engine until `until`, which replaces the end of any backoff from rejections.
    pub(super) fn exclude_until(&mut self, until: Ms) {
        self.until = until;
    }
}
