//! Engines that are left out of the choice for a while: those that fail more often than their peers
//! (ejection), and those that rejected an attempt as overloaded (backoff).

use crate::interface::Ms;

/// Last outcomes that count.
const MAX_OUTCOMES: u32 = 8;
/// Fewer outcomes than this prove nothing.
const MIN_OUTCOMES: u32 = 3;
/// An engine is ejected below this fraction of its peers' mean success.
const EJECT_BELOW_PEERS_FRACTION: f64 = 0.5;
/// Interval at which overloaded engines and held requests are tried again, as a fraction of the KV
/// state timeout.
pub(super) const RETRY_INTERVAL_FRACTION: f64 = 0.1;
/// How often the backoff is doubled at the most.
const MAX_BACKOFF_DOUBLINGS: i32 = 5;

/// The last outcomes of attempts at an engine.
pub(super) struct OutcomeHistory {
    /// Newest outcome in the lowest bit, a success as one; above the oldest stands a one.
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

    /// Forgets the outcomes of an earlier process.
    pub(super) fn clear(&mut self) {
        self.bits = 1;
    }

    pub(super) fn note(&mut self, success: bool) {
        let bits = self.bits << 1 | u32::from(success);
        self.bits = if bits >> MAX_OUTCOMES > 1 {
            bits & ((1 << MAX_OUTCOMES) - 1) | 1 << MAX_OUTCOMES
        } else {
            bits
        };
    }

    /// Successes among the last outcomes, from 0 to 1; 1 without any outcome.
    pub(super) fn success_fraction(&self) -> f64 {
        if self.bits == 1 {
            1.0
        } else {
            f64::from(self.bits.count_ones() - 1) / f64::from(self.bits.ilog2())
        }
    }

    /// Whether the engine fails far more often than its peers, whose mean success is given.
    /// Compared with peers because a failure of the whole fleet must not eject every engine.
    pub(super) fn is_ejected(&self, peers_success: f64) -> bool {
        self.bits.ilog2() >= MIN_OUTCOMES
            && self.success_fraction() < EJECT_BELOW_PEERS_FRACTION * peers_success
    }

    /// Whether an ejected engine may be given one attempt again, to see whether it has recovered.
    pub(super) fn may_be_tried(&self, now: Ms) -> bool {
        now >= self.next_trial_at
    }

    /// An attempt was sent: the next trial waits for `interval_ms`.
    pub(super) fn note_attempt(&mut self, now: Ms, interval_ms: Ms) {
        self.next_trial_at = now + interval_ms;
    }
}

/// Guards against an engine that rejects everything: it always looks as if it had room. Each
/// rejection in a row doubles the time for which it is left out.
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

    pub(super) fn note_rejection(&mut self, now: Ms, kv_state_timeout: Ms) {
        let wait = RETRY_INTERVAL_FRACTION * kv_state_timeout * 2.0_f64.powi(self.rejections);
        self.until = now + wait;
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// An attempt succeeded: the next rejection starts from the shortest wait again.
    pub(super) fn note_success(&mut self) {
        self.rejections = 0;
    }

    /// Leaves the engine out until an instant, whatever it answered.
    pub(super) fn leave_out_until(&mut self, until: Ms) {
        self.until = until;
    }
}
