//! Tracks whether a decode attempt has reached its engine, and when the next step of that check is
//! due.
//!
//! A successful write to a connection does not prove delivery: the engine's machine may have
//! vanished, and its connections then stay open without an error. An attempt counts as undelivered
//! until the engine has shown that it runs; meanwhile the timeout of the KV state continues. An
//! engine that shows nothing in time is asked to confirm that it runs. Without an answer the
//! attempt is given up, and another engine takes over the KV state or the KV state is released.
//!
//! Times are fractions of the KV state timeout. They count from the instant since which the KV
//! state is unclaimed, unless noted otherwise.

use crate::interface::{Ms, Outcome};

/// When the engine is first asked to confirm that it runs, counted from the send of the attempt,
/// and the interval of further requests to confirm. An answer takes one round trip on an open
/// connection and three on a new one.
const CONFIRM_AFTER_FRACTION: f64 = 0.2;
const CONFIRM_INTERVAL_FRACTION: f64 = 0.15;
/// When an attempt without an answer is given up. Half of the timeout is left for an attempt at
/// another engine. That engine is asked to confirm at once and has [`MIN_CONFIRM_WAIT_FRACTION`] to
/// answer.
const GIVE_UP_AT_FRACTION: f64 = 0.5;
const MIN_CONFIRM_WAIT_FRACTION: f64 = 0.2;
/// When the KV state is released if the engine runs and nothing has come on the attempt's own
/// connection, in case only that connection is dead. The rest of the timeout suffices to ask
/// several engines that do not answer.
const RELEASE_AT_FRACTION: f64 = 0.8;
/// The latest start of an attempt at another engine. Its confirmation and then a release still fit
/// into the timeout.
const LAST_ATTEMPT_AT_FRACTION: f64 = 0.6;

/// Upper limit in milliseconds of the time between a send by an engine and its processing here. A
/// process may be delayed by 150 ms between reading its clock and acting, and the platform's
/// protocol adds 50 ms to each time on sockets.
pub const RECEIVED_LATE: Ms = 200.0;

/// What is known about the delivery of an attempt to its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    /// The attempt has reached its engine, as far as the driver reports deliveries, or no further
    /// step is needed.
    Confirmed,
    /// The engine has shown on some connection that it has run since the send. The attempt is in
    /// the engine's queue, or only its own connection is dead. The KV state is released at
    /// `release_at` in case the connection is dead.
    EngineRuns { release_at: Ms },
    /// Nothing has come from the engine since the send. The engine is asked to confirm at `ask_at`,
    /// and the attempt is given up at `give_up_at`.
    Unconfirmed { ask_at: Ms, give_up_at: Ms },
    /// Nothing came from the engine in time. The attempt counts as undelivered, though it may still
    /// arrive.
    GivenUp,
}

/// The step that is due for a delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DeliveryStep {
    Nothing,
    WaitUntil(Ms),
    /// Ask the engine to confirm that it runs; the next step is due at `next_at`.
    Confirm {
        next_at: Ms,
    },
    GiveUp,
    ReleaseInDoubt,
}

impl Delivery {
    /// The delivery of a decode attempt that is sent now for a KV state that is unclaimed since
    /// `unclaimed_since`.
    pub(super) fn sent(now: Ms, unclaimed_since: Ms, kv_state_timeout: Ms) -> Self {
        let usual_ask_at = now + CONFIRM_AFTER_FRACTION * kv_state_timeout;
        let latest_ask_at =
            unclaimed_since + (GIVE_UP_AT_FRACTION - MIN_CONFIRM_WAIT_FRACTION) * kv_state_timeout;
        let ask_at = usual_ask_at.min(latest_ask_at).max(now);
        let give_up_at = (unclaimed_since + GIVE_UP_AT_FRACTION * kv_state_timeout)
            .max(ask_at + MIN_CONFIRM_WAIT_FRACTION * kv_state_timeout);
        Delivery::Unconfirmed { ask_at, give_up_at }
    }

    /// Records that the engine has shown that it runs. Returns whether this was not known before.
    pub(super) fn record_engine_runs(
        &mut self,
        now: Ms,
        unclaimed_since: Ms,
        kv_state_timeout: Ms,
    ) -> bool {
        let is_new = matches!(self, Delivery::Unconfirmed { .. });
        if is_new {
            let release_at = unclaimed_since + RELEASE_AT_FRACTION * kv_state_timeout;
            *self = Delivery::EngineRuns {
                release_at: release_at.max(now),
            };
        }
        is_new
    }

    /// Returns the step that is due now and marks it as done.
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

    /// When the next step is due; `None` if there is none.
    pub(super) fn next_at(&self) -> Option<Ms> {
        match self {
            Delivery::Unconfirmed { ask_at, give_up_at } => Some(ask_at.min(*give_up_at)),
            Delivery::EngineRuns { release_at } => Some(*release_at),
            Delivery::Confirmed | Delivery::GivenUp => None,
        }
    }

    /// Whether an attempt with this outcome had reached its engine. Only then does the KV state
    /// count as unclaimed from the end of the attempt.
    pub(super) fn has_reached_engine(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unreachable | Outcome::NotSent => false,
            // Each of these outcomes is an answer of the engine.
            Outcome::Succeeded | Outcome::Failed | Outcome::Overloaded | Outcome::PrefillDone => {
                true
            }
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
                matches!(self, Delivery::Confirmed | Delivery::EngineRuns { .. })
            }
        }
    }
}

/// Whether enough of the KV state timeout is left for an attempt at another engine.
pub(super) fn has_time_for_another_attempt(
    now: Ms,
    unclaimed_since: Ms,
    kv_state_timeout: Ms,
) -> bool {
    now - unclaimed_since <= LAST_ATTEMPT_AT_FRACTION * kv_state_timeout
}
