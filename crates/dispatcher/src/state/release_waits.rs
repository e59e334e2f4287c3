//! When a release has to wait for an attempt of its request.

use super::kv_states::KvState;
use super::*;

/// Where a release waits for an attempt of its request, the KV state timeout divided by this is the time after which the
/// attempt's engine is asked whether it runs.
const LIVENESS_CHECK_DIVISOR: f64 = 4.0;
/// The KV state timeout divided by this is the time after which an attempt that is not known to have arrived is waited for no
/// longer.
const UNCONFIRMED_ATTEMPT_DIVISOR: f64 = 2.0;

impl Dispatcher {
    /// The open request that goes by the id for which a KV state is held, and its current attempt.
    pub(super) fn open_request(
        &self,
        state: &KvState,
    ) -> Option<(RequestId, Option<&requests::Attempt>)> {
        let id = *self.requests_by_origin.get(&state.held.origin)?;
        Some((id, self.current_attempt(id)))
    }

    /// Whether the request that goes by the id of a KV state has a current attempt.
    pub(super) fn is_attempted(&self, request_id: RequestId) -> bool {
        let request = self
            .kv_states
            .get(request_id)
            .and_then(|state| self.open_request(state));
        request.is_some_and(|(_, attempt)| attempt.is_some())
    }

    /// Whether a release would end what its request still needs, as a release by the request's id ends the KV state of the
    /// next prefill as well. A decode attempt for a state that the decisions have released needs nothing, nor does a prefill
    /// that has not arrived.
    pub(super) fn is_needed(&self, state: &KvState) -> bool {
        let Some((id, attempt)) = self.open_request(state) else {
            return false;
        };
        let needs = |attempt: &requests::Attempt| {
            let may_arrive =
                self.now < self.unconfirmed_since(state, attempt) + self.unconfirmed_attempt_wait();
            attempt.first_token_sent
                || attempt.is_prefill && (may_arrive || self.has_arrived(attempt))
        };
        let is_available = self
            .kv_states
            .available(id)
            .is_some_and(|state| !state.is_release_wanted());
        is_available || attempt.is_some_and(needs)
    }

    /// How long a release waits for a prefill that may not have arrived.
    pub(super) fn unconfirmed_attempt_wait(&self) -> Ms {
        self.settings.policy.kv_state_timeout / UNCONFIRMED_ATTEMPT_DIVISOR
    }

    /// Since when a release waits for an attempt that may not have arrived, in milliseconds. A release that has gone out before waits for each prefill anew.
    pub(super) fn unconfirmed_since(&self, state: &KvState, attempt: &requests::Attempt) -> Ms {
        let wanted = state.release.wanted_since;
        if state.release.calls > 0 {
            wanted.max(attempt.started_at)
        } else {
            wanted
        }
    }

    /// A release waits for an attempt of its request. Where that may not have arrived, its engine is asked whether it runs;
    /// without an answer the release goes out in time.
    pub(super) fn wait_for_attempt(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        state.release.unblocked_since = self.now;
        let mut next_check_at =
            self.now + self.settings.policy.kv_state_timeout / UNCONFIRMED_ATTEMPT_DIVISOR;
        let Some(state) = self.kv_states.get(request_id) else {
            return;
        };
        let Some((open_id, attempt)) = self.open_request(state) else {
            return;
        };
        if let Some(attempt) =
            attempt.filter(|attempt| !attempt.first_token_sent && !self.has_arrived(attempt))
        {
            let from = self.unconfirmed_since(state, attempt);
            let asks_at = from + self.settings.policy.kv_state_timeout / LIVENESS_CHECK_DIVISOR;
            next_check_at = if self.now < asks_at {
                asks_at
            } else {
                from + self.unconfirmed_attempt_wait()
            };
            let (attempt_id, confirmation_requested) = (attempt.id, attempt.confirmation_requested);
            if self.now >= asks_at && !confirmation_requested {
                self.confirm(open_id, attempt_id, outputs);
            }
        }
        self.schedule_release_check(request_id, next_check_at.max(self.now));
    }

    /// An attempt of a request is over: a KV state that was offered to it is held again, and one that is to be released can
    /// be.
    pub(super) fn settle_kv_state(
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
        let unacknowledged_at = (is_unacknowledged && was_sent).then(|| ended.engine.clone());
        let holds_anew = outcome == Outcome::PrefillDone || self.has_arrived(ended);
        if let Some(state) = self
            .kv_states
            .get_mut(request_id)
            .filter(|state| state.is_available() && holds_anew)
        {
            state.held_since = self.now;
        }
        self.kv_states.withdraw_offer(request_id, ended.id);
        self.kv_states
            .attempt_over(request_id, unacknowledged_at, self.now);
        self.schedule_held_check(request_id);
    }
}
