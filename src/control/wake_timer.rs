//! The timer that triggers the next step. A timer that was replaced by a newer one is ignored when
//! it expires.

use crate::interface::{Action, Ms, TimerId};

#[derive(Default)]
pub(super) struct WakeTimer {
    /// When the last timer expires; `None` if it has expired or no timer was set.
    expires_at: Option<Ms>,
    last_id: u64,
}

impl WakeTimer {
    /// Records that a timer has expired. Any timer other than the last one set is ignored.
    pub(super) fn record_expired(&mut self, timer: TimerId) {
        if timer.0 == self.last_id {
            self.expires_at = None;
        }
    }

    /// Returns the action that sets a timer for `wake_at`; `None` if a timer is set that expires no
    /// later.
    pub(super) fn set(&mut self, wake_at: Ms, now: Ms) -> Option<Action> {
        if self.expires_at.is_some_and(|at| at <= wake_at && at > now) {
            return None;
        }
        self.last_id += 1;
        self.expires_at = Some(wake_at);
        Some(Action::SetTimer {
            delay: (wake_at - now).max(0.0),
            timer: TimerId(self.last_id),
        })
    }
}
