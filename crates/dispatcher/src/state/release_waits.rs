//! Decides when a release over HTTP/1 waits for an attempt of the request whose KV state it frees.

use super::kv_states::KvState;
use super::*;

/// While a release waits for an attempt, a liveness check is sent to the attempt's engine after the KV state
/// timeout divided by this.
const LIVENESS_CHECK_DELAY_DIVISOR: f64 = 4.0;
/// A release waits at most for the KV state timeout divided by this for an attempt that is not known to have
/// reached its engine.
const UNCONFIRMED_ATTEMPT_WAIT_DIVISOR: f64 = 2.0;

impl Dispatcher {
    /// The open request whose client-assigned id is the one that the KV state is held for, and the current attempt
    /// of that request.
    pub(super) fn open_request(
        &self,
        state: &KvState,
    ) -> Option<(RequestId, Option<&requests::Attempt>)> {
        let id = *self.requests_by_origin.get(&state.held.origin)?;
        Some((id, self.current_attempt(id)))
    }

    /// Whether an open request with the client-assigned id of the KV state has a current attempt.
    pub(super) fn has_current_attempt(&self, request_id: RequestId) -> bool {
        let request = self
            .kv_states
            .get(request_id)
            .and_then(|state| self.open_request(state));
        request.is_some_and(|(_, attempt)| attempt.is_some())
    }

    /// Whether the open request still needs a KV state that the release would free. A release names only the
    /// request, so it also frees the KV state of the request's next prefill. A decode attempt does not need a state
    /// whose release `Control` has requested. A prefill that does not reach its engine in time does not delay the
    /// release either.
    pub(super) fn is_still_needed(&self, state: &KvState) -> bool {
        let Some((id, attempt)) = self.open_request(state) else {
            return false;
        };
        let needs = |attempt: &requests::Attempt| {
            let may_reach_engine = self.now
                < self.unconfirmed_attempt_since(state, attempt) + self.unconfirmed_attempt_wait();
            attempt.first_token_sent
                || attempt.is_prefill && (may_reach_engine || self.has_reached_engine(attempt))
        };
        let is_available = self
            .kv_states
            .available(id)
            .is_some_and(|state| !state.is_release_pending());
        is_available || attempt.is_some_and(needs)
    }

    /// How long a release waits for a prefill that is not known to have reached its engine, in milliseconds.
    pub(super) fn unconfirmed_attempt_wait(&self) -> Ms {
        self.settings.policy.kv_state_timeout / UNCONFIRMED_ATTEMPT_WAIT_DIVISOR
    }

    /// The instant since which a release has waited for an attempt that is not known to have reached its engine, in
    /// milliseconds. After the first call of the release, the wait restarts with each new attempt.
    pub(super) fn unconfirmed_attempt_since(
        &self,
        state: &KvState,
        attempt: &requests::Attempt,
    ) -> Ms {
        let pending_since = state.release.pending_since;
        if state.release.calls > 0 {
            pending_since.max(attempt.started_at)
        } else {
            pending_since
        }
    }

    /// Makes a release wait for the current attempt of its request, by scheduling the next check. If it is unknown
    /// whether the attempt has reached its engine, the engine is sent a liveness check. If the engine does not
    /// answer, the release is sent when the wait ends.
    pub(super) fn wait_for_attempt(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        state.release.unblocked_since = self.now;
        let mut next_check_at = self.now + self.unconfirmed_attempt_wait();
        let Some(state) = self.kv_states.get(request_id) else {
            return;
        };
        let Some((open_id, attempt)) = self.open_request(state) else {
            return;
        };
        if let Some(attempt) =
            attempt.filter(|attempt| !attempt.first_token_sent && !self.has_reached_engine(attempt))
        {
            let waiting_since = self.unconfirmed_attempt_since(state, attempt);
            let liveness_check_at = waiting_since
                + self.settings.policy.kv_state_timeout / LIVENESS_CHECK_DELAY_DIVISOR;
            next_check_at = if self.now < liveness_check_at {
                liveness_check_at
            } else {
                waiting_since + self.unconfirmed_attempt_wait()
            };
            let (attempt_id, confirmation_requested) = (attempt.id, attempt.confirmation_requested);
            if self.now >= liveness_check_at && !confirmation_requested {
                self.confirm_delivery(open_id, attempt_id, outputs);
            }
        }
        self.schedule_release_check(request_id, next_check_at.max(self.now));
    }

    /// Updates the KV state of a request whose attempt has ended. A state that was offered to the attempt is held
    /// again, and a pending release no longer waits for the attempt.
    pub(super) fn update_kv_state_after_attempt(
        &mut self,
        request_id: RequestId,
        ended: &requests::Attempt,
        outcome: Outcome,
    ) {
        let is_unacknowledged = matches!(
            outcome,
            Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectionLost
        );
        let was_sent = ended.sent_at.is_some() && self.settings.limits.http1.is_some();
        let unacknowledged_by = (is_unacknowledged && was_sent).then(|| ended.engine.clone());
        let restarts_hold_time = outcome == Outcome::PrefillDone || self.has_reached_engine(ended);
        if let Some(state) = self
            .kv_states
            .get_mut(request_id)
            .filter(|state| state.is_available() && restarts_hold_time)
        {
            state.held_since = self.now;
        }
        self.kv_states.withdraw_offer(request_id, ended.id);
        self.kv_states
            .record_attempt_end(request_id, unacknowledged_by, self.now);
        self.schedule_held_state_check(request_id);
    }
}
