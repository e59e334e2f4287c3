//! Tracks whether a decode attempt has reached its engine, and what has to be done next to find
//! out.
//!
//! A successful write to a connection does not prove delivery: the engine's machine may have
//! vanished, and its connections then stay open without an error. An attempt counts as undelivered
//! until the engine has shown, after the send, that it is running; meanwhile the KV state timeout
//! keeps counting. An engine that sends nothing in time is asked to confirm that it is running.
//! Without an answer the attempt is given up, and another engine takes over the KV state or the KV
//! state is released.
//!
//! Times are fractions of the KV state timeout. They count from the start of that timeout
//! (`unclaimed_since`), unless noted otherwise.

use crate::interface::{Ms, Outcome};

/// When the engine is first asked to confirm that it is running, counted from the send of the
/// attempt, and the interval at which it is asked again. The answer takes one round trip on an open
/// connection and three on a new one.
const CONFIRM_AFTER_FRACTION: f64 = 0.2;
const CONFIRM_INTERVAL_FRACTION: f64 = 0.15;
/// When an attempt is given up if its engine has not confirmed. Half of the timeout is then left
/// for an attempt at another engine, which is asked to confirm at once and has
/// [`MIN_CONFIRM_WAIT_FRACTION`] to do so.
const GIVE_UP_AT_FRACTION: f64 = 0.5;
const MIN_CONFIRM_WAIT_FRACTION: f64 = 0.2;
/// When the KV state is released although the engine is running: nothing was received on the
/// attempt's own connection, which may be dead. The rest of the timeout suffices to send the
/// release to several engines that do not answer.
const RELEASE_AT_FRACTION: f64 = 0.8;
/// The latest start of an attempt at another engine. The rest of the KV state timeout suffices for
/// the confirmation by that engine or, if the engine does not confirm, for the release of the KV
/// state.
const LAST_ATTEMPT_AT_FRACTION: f64 = 0.6;

/// Maximum time in milliseconds between the send of a message by an engine and its processing by
/// this dispatcher. A process may be delayed by 150 ms between reading its clock and acting, and
/// the platform's protocol adds 50 ms to each time on sockets.
pub const MAX_MESSAGE_DELAY: Ms = 200.0;

/// Whether an attempt has reached its engine, as far as known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    /// The attempt counts as delivered, and no further step follows. Its first token was received
    /// (so it has reached its engine), it is a prefill, deliveries are not tracked, or the release
    /// of the KV state was due while the engine was known to run.
    CountsAsDelivered,
    /// The engine has shown on some connection, after the send, that it is running. Either the
    /// attempt waits in the engine's queue, or the attempt's own connection is dead. Because it may
    /// be dead, the KV state is released at `release_at`.
    EngineRuns { release_at: Ms },
    /// The engine has sent nothing since the attempt was sent. It is asked to confirm at `ask_at`,
    /// and the attempt is given up at `give_up_at`.
    Unconfirmed { ask_at: Ms, give_up_at: Ms },
    /// The engine sent nothing in time. The attempt counts as undelivered, although it may still
    /// reach the engine.
    GivenUp,
}

/// What has to be done now about an attempt that may be undelivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DeliveryStep {
    Nothing,
    WaitUntil(Ms),
    /// Ask the engine to confirm that it is running; the next step is due at `next_at`.
    Confirm {
        next_at: Ms,
    },
    GiveUp,
    ReleaseUnlessClaimed,
}

impl Delivery {
    /// The initial state for a decode attempt that is sent now. `unclaimed_since`: when the timeout
    /// of its KV state started.
    pub(super) fn after_send(now: Ms, unclaimed_since: Ms, kv_state_timeout: Ms) -> Self {
        let usual_ask_at = now + CONFIRM_AFTER_FRACTION * kv_state_timeout;
        let latest_ask_at =
            unclaimed_since + (GIVE_UP_AT_FRACTION - MIN_CONFIRM_WAIT_FRACTION) * kv_state_timeout;
        let ask_at = usual_ask_at.min(latest_ask_at).max(now);
        let give_up_at = (unclaimed_since + GIVE_UP_AT_FRACTION * kv_state_timeout)
            .max(ask_at + MIN_CONFIRM_WAIT_FRACTION * kv_state_timeout);
        Delivery::Unconfirmed { ask_at, give_up_at }
    }

    /// Records that the engine has shown that it is running. Returns `true` if this is the first
    /// sign since the send.
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

    /// Returns the step that is due now, and updates the state as if the caller had carried it out.
    pub(super) fn next_step(&mut self, now: Ms, kv_state_timeout: Ms) -> DeliveryStep {
        match self {
            Delivery::CountsAsDelivered | Delivery::GivenUp => DeliveryStep::Nothing,
            Delivery::EngineRuns { release_at } if now < *release_at => {
                DeliveryStep::WaitUntil(*release_at)
            }
            Delivery::EngineRuns { .. } => {
                *self = Delivery::CountsAsDelivered;
                DeliveryStep::ReleaseUnlessClaimed
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

    /// When the next step is due; `None` if no step follows.
    pub(super) fn next_at(&self) -> Option<Ms> {
        match self {
            Delivery::Unconfirmed { ask_at, give_up_at } => Some(ask_at.min(*give_up_at)),
            Delivery::EngineRuns { release_at } => Some(*release_at),
            Delivery::CountsAsDelivered | Delivery::GivenUp => None,
        }
    }

    /// Whether an attempt that ended with this outcome had reached its engine. Only then does the
    /// KV state timeout start again at the end of the attempt.
    pub(super) fn has_reached_engine(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unreachable | Outcome::NotSent => false,
            // Each of these outcomes was reported by the engine itself.
            Outcome::Succeeded | Outcome::Failed | Outcome::Overloaded | Outcome::PrefillDone => {
                true
            }
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
                matches!(
                    self,
                    Delivery::CountsAsDelivered | Delivery::EngineRuns { .. }
                )
            }
        }
    }
}

/// Whether the rest of the KV state timeout suffices for an attempt at another engine and, if that
/// fails, for the release.
pub(super) fn has_time_for_another_attempt(
    now: Ms,
    unclaimed_since: Ms,
    kv_state_timeout: Ms,
) -> bool {
    now - unclaimed_since <= LAST_ATTEMPT_AT_FRACTION * kv_state_timeout
}
