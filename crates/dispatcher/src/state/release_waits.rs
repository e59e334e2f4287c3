//! When a release has to wait for an attempt of its request.

use super::kv_states::KvState;
use super::*;

/// Where a release waits for an attempt of its request: the part of the release time after which the attempt's engine is
/// asked for a sign, and the part after which an attempt without one is waited for no longer.
const ASK_PART: f64 = 4.0;
const DOUBT_PART: f64 = 2.0;

impl Dispatcher {
    /// The open request that goes by the id for which a state is held, and its attempt that is out.
    pub(super) fn open_request(
        &self,
        state: &KvState,
    ) -> Option<(RequestId, Option<&requests::Attempt>)> {
        let id = *self.origins.get(&state.held.origin)?;
        Some((
            id,
            self.requests
                .get(&id)
                .and_then(|request| request.out.as_ref()),
        ))
    }

    /// Whether an attempt of a request is out.
    pub(super) fn is_attempted(&self, id: RequestId) -> bool {
        let request = self
            .kv_states
            .get(id)
            .and_then(|state| self.open_request(state));
        request.is_some_and(|(_, attempt)| attempt.is_some())
    }

    /// Whether a release would end what its request still needs, as it does not tell a prefill's state from the next one's.
    /// A decode attempt that is out for a state which the decisions have released needs nothing, and a prefill that has not
    /// arrived neither.
    pub(super) fn is_needed(&self, state: &KvState) -> bool {
        let Some((id, attempt)) = self.open_request(state) else {
            return false;
        };
        let needs = |attempt: &requests::Attempt| {
            let may_arrive = self.now < self.doubted_from(state, attempt) + self.doubt_lasts();
            attempt.first || attempt.reading && (may_arrive || self.has_arrived(attempt))
        };
        let is_on_offer = self
            .kv_states
            .on_offer(id)
            .is_some_and(|state| !state.is_to_release());
        is_on_offer || attempt.is_some_and(needs)
    }

    /// How long a release waits for a prefill that may not have arrived.
    pub(super) fn doubt_lasts(&self) -> Ms {
        self.settings.policy.kv_state_timeout / DOUBT_PART
    }

    /// Since when. A release that has gone out before waits for each prefill anew.
    pub(super) fn doubted_from(&self, state: &KvState, attempt: &requests::Attempt) -> Ms {
        let wanted = state.release.wanted;
        if state.release.calls > 0 {
            wanted.max(attempt.since)
        } else {
            wanted
        }
    }

    /// A release waits for an attempt of its request. One that may not have arrived: its engine is asked for a sign, and
    /// without one the release goes out in time.
    pub(super) fn wait_for_attempt(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get_mut(id) else {
            return;
        };
        state.release.since = self.now;
        let mut again = self.now + self.settings.policy.kv_state_timeout / DOUBT_PART;
        let Some(state) = self.kv_states.get(id) else {
            return;
        };
        let Some((of, attempt)) = self.open_request(state) else {
            return;
        };
        if let Some(attempt) =
            attempt.filter(|attempt| !attempt.first && !self.has_arrived(attempt))
        {
            let from = self.doubted_from(state, attempt);
            let asks_at = from + self.settings.policy.kv_state_timeout / ASK_PART;
            again = if self.now < asks_at {
                asks_at
            } else {
                from + self.doubt_lasts()
            };
            let (no, is_doubted) = (attempt.no, attempt.is_doubted);
            if self.now >= asks_at && !is_doubted {
                self.confirm(of, no, out);
            }
        }
        self.look_again(id, again.max(self.now));
    }

    /// An attempt of a request is over: what is held for it may be taken back, and what is to be released can be.
    pub(super) fn settle_state(
        &mut self,
        id: RequestId,
        ended: &requests::Attempt,
        outcome: Outcome,
    ) {
        let is_unanswered = matches!(
            outcome,
            Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectionLost
        );
        let was_sent = ended.sent.is_some() && self.settings.limits.single.is_some();
        let unanswered = (is_unanswered && was_sent).then(|| ended.engine.clone());
        let holds_anew = outcome == Outcome::PrefillDone || self.has_arrived(ended);
        if let Some(state) = self
            .kv_states
            .get_mut(id)
            .filter(|state| state.is_on_offer() && holds_anew)
        {
            state.held_since = self.now;
        }
        self.kv_states.take_back(id, ended.no);
        self.kv_states.attempt_over(id, unanswered, self.now);
        self.arm_guard(id);
    }
}
