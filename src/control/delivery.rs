//! Whether a decode attempt has reached its engine, and when something is due about that.
//!
//! Bytes that were written to a connection prove nothing: the engine's machine may have vanished,
//! and its connections then stay open without an error. Until the engine has shown that it runs, an
//! attempt counts as not arrived, and the time within which the KV state has to be taken or
//! released goes on. An engine that shows nothing in time is asked to confirm that it runs; without
//! an answer the attempt is given up and another engine takes the KV state, or the state is
//! released.
//!
//! All times count from the instant since which the KV state is unclaimed, as fractions of its
//! timeout.

use crate::interface::{Ms, Outcome};

/// When the engine is asked to confirm, counted from the send, and then after each further
/// interval: on an open connection the answer takes one round trip, on a new one three.
const CONFIRM_AFTER_FRACTION: f64 = 0.2;
const CONFIRM_INTERVAL_FRACTION: f64 = 0.15;
/// When an attempt without an answer is given up: half of the timeout is left for one at another
/// engine. That one is asked at once and has the second time to be confirmed.
const GIVE_UP_AT_FRACTION: f64 = 0.5;
const MIN_CONFIRM_WAIT_FRACTION: f64 = 0.2;
/// When the state is released, if the engine runs and nothing has come on the attempt's own
/// connection, in case that connection alone is dead. It leaves the time for asking some engines
/// that do not answer.
const RELEASE_AT_FRACTION: f64 = 0.8;
/// The latest start of an attempt at another engine: its own wait, and then a release, still fit
/// in.
const LAST_ATTEMPT_AT_FRACTION: f64 = 0.6;

/// What comes from an engine may have been sent so many milliseconds earlier: a process may be held
/// up for 150 ms between reading its clock and acting, and the platform's protocol adds 50 ms to
/// each time on sockets.
pub const RECEIVED_LATE: Ms = 200.0;

/// What is known of an attempt's way to its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    /// The attempt has arrived, as far as anybody reports that, or nothing more is to be done about
    /// it.
    Confirmed,
    /// The engine has shown since the send that it runs, on some connection: the attempt is in its
    /// queue, or its own connection alone is dead. When the state is released in case it is the
    /// latter.
    EngineRuns { release_at: Ms },
    /// Nothing has come since the send: when the engine is asked next, and when the attempt is
    /// given up.
    Unconfirmed { ask_at: Ms, give_up_at: Ms },
    /// Nothing came in time: the attempt counts as not arrived, though it may yet arrive.
    GivenUp,
}

/// What is due about a delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DeliveryStep {
    Nothing,
    WaitUntil(Ms),
    /// Ask the engine to confirm that it runs, and look again at the instant.
    Confirm {
        next_at: Ms,
    },
    GiveUp,
    ReleaseInDoubt,
}

impl Delivery {
    /// A decode attempt is sent now for a KV state that is unclaimed since then.
    pub(super) fn sent(now: Ms, unclaimed_since: Ms, kv_state_timeout: Ms) -> Self {
        let usual = now + CONFIRM_AFTER_FRACTION * kv_state_timeout;
        let latest =
            unclaimed_since + (GIVE_UP_AT_FRACTION - MIN_CONFIRM_WAIT_FRACTION) * kv_state_timeout;
        let ask_at = usual.min(latest).max(now);
        let give_up_at = (unclaimed_since + GIVE_UP_AT_FRACTION * kv_state_timeout)
            .max(ask_at + MIN_CONFIRM_WAIT_FRACTION * kv_state_timeout);
        Delivery::Unconfirmed { ask_at, give_up_at }
    }

    /// The engine has shown that it runs; gives whether that was news.
    pub(super) fn note_engine_runs(
        &mut self,
        now: Ms,
        unclaimed_since: Ms,
        kv_state_timeout: Ms,
    ) -> bool {
        let is_news = matches!(self, Delivery::Unconfirmed { .. });
        if is_news {
            let release_at = unclaimed_since + RELEASE_AT_FRACTION * kv_state_timeout;
            *self = Delivery::EngineRuns {
                release_at: release_at.max(now),
            };
        }
        is_news
    }

    /// What is due now; takes note of it as done.
    pub(super) fn next_step(&mut self, now: Ms, kv_state_timeout: Ms) -> DeliveryStep {
        match self {
            Delivery::Confirmed | Delivery::GivenUp => DeliveryStep::Nothing,
            Delivery::EngineRuns { release_at } if now < *release_at => {
                DeliveryStep::WaitUntil(*release_at)
            }
            Delivery::EngineRuns { .. } => {
                *self = Delivery::Confirmed;
                DeliveryStep::ReleaseInDoubt
            }
            Delivery::Unconfirmed { give_up_at, .. } if now >= *give_up_at => {
                *self = Delivery::GivenUp;
                DeliveryStep::GiveUp
            }
            Delivery::Unconfirmed { ask_at, give_up_at } if now >= *ask_at => {
                *ask_at = now + CONFIRM_INTERVAL_FRACTION * kv_state_timeout;
                let next_at = ask_at.min(*give_up_at);
                DeliveryStep::Confirm { next_at }
            }
            Delivery::Unconfirmed { ask_at, give_up_at } => {
                DeliveryStep::WaitUntil(ask_at.min(*give_up_at))
            }
        }
    }

    /// When something is due about it; never, if nothing is.
    pub(super) fn next_at(&self) -> Option<Ms> {
        match self {
            Delivery::Unconfirmed { ask_at, give_up_at } => Some(ask_at.min(*give_up_at)),
            Delivery::EngineRuns { release_at } => Some(*release_at),
            Delivery::Confirmed | Delivery::GivenUp => None,
        }
    }

    /// Whether an attempt that ended so had arrived: only then its KV state is unclaimed anew from
    /// its end.
    pub(super) fn has_arrived(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unreachable | Outcome::NotSent => false,
            // Each is an answer of the engine's.
            Outcome::Succeeded | Outcome::Failed | Outcome::Overloaded | Outcome::PrefillDone => {
                true
            }
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
                matches!(self, Delivery::Confirmed | Delivery::EngineRuns { .. })
            }
        }
    }
}

/// Whether there is time for an attempt at another engine.
pub(super) fn is_time_for_another(now: Ms, unclaimed_since: Ms, kv_state_timeout: Ms) -> bool {
    now - unclaimed_since <= LAST_ATTEMPT_AT_FRACTION * kv_state_timeout
}
