//! The timer that triggers the next step. A timer that is replaced by a later call is ignored when
//! it expires.

use crate::interface::{Action, Ms, TimerId};

#[derive(Default)]
pub(super) struct WakeTimer {
    armed_for: Option<Ms>,
    last_id: u64,
}

impl WakeTimer {
    /// Records that a timer has expired. Any timer other than the last one set is ignored.
    pub(super) fn record_expired(&mut self, timer: TimerId) {
        if timer.0 == self.last_id {
            self.armed_for = None;
        }
    }

    /// Returns the action that sets a timer for `wake_at`; `None` if a timer is set that expires no
    /// later.
    pub(super) fn arm(&mut self, wake_at: Ms, now: Ms) -> Option<Action> {
        if self.armed_for.is_some_and(|at| at <= wake_at && at > now) {
            return None;
        }
        self.last_id += 1;
        self.armed_for = Some(wake_at);
        Some(Action::SetTimer {
            delay: (wake_at - now).max(0.0),
            timer: TimerId(self.last_id),
        })
    }
}
