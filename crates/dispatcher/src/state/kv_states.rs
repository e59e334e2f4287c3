//! KV states that engines hold, or may hold, for requests. There is one record per request, from the end of
//! its prefill until a decode attempt has taken the state or a release has taken effect.
//!
//! Where a release names a request and any engine passes it on, a confirmation alone proves nothing. A
//! release frees every state 'that no attempt waits for' (docs/acceptance.md, 'Readings'), and an attempt
//! that this process has closed still waits until its engine learns of the close. The record therefore stays
//! until a confirmation is conclusive, see [`KvState::is_released_by`].

use super::*;

/// An attempt that was closed without a message from its engine is assumed to have ended there once the
/// engine has shown that it works and the KV state timeout divided by this has passed. The close and a
/// release use different connections, so their order is not guaranteed.
const CLOSE_DELIVERY_DIVISOR: f64 = 4.0;

/// A KV state and the engine that holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldState {
    pub engine: EngineId,
    pub id: v1::KvStateId,
    /// The client-assigned id of the request, if engines know KV states by it; empty otherwise.
    pub origin: String,
}

/// The step of a KV state. It alternates between `Held` and `Offered` with each decode attempt, until an
/// attempt takes the state or its release is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The engine holds the state, and no current attempt can take it.
    Held,
    /// The given decode attempt was started and may take the state.
    Offered(AttemptId),
    /// Like `Offered`, but no message of the attempt has arrived; perhaps only its connection is silent. A
    /// release is pending; it has no effect if the attempt waits for the state.
    OfferedUnconfirmed(AttemptId),
    /// A release is pending. An attempt that was not known to have reached its engine may still be current.
    ReleasePending,
}

/// An attempt that ended at this side without a message from its engine: it was closed, or its connection was
/// lost.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct UnacknowledgedEnd {
    pub engine: EngineId,
    pub at: Ms,
    /// When it first became known that the engine has worked since the end.
    work_observed_at: Option<Ms>,
}

impl UnacknowledgedEnd {
    /// The instant from which a release cannot overtake the close of the attempt; `None` if not yet known.
    fn release_safe_at(&self, kv_state_timeout: Ms) -> Option<Ms> {
        self.work_observed_at
            .map(|known| known + kv_state_timeout / CLOSE_DELIVERY_DIVISOR)
    }
}

/// A call that asks an engine to release the KV state of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseCall {
    pub request: RequestId,
    pub begun_at: Ms,
}

/// The progress of a release. Instants are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseProgress {
    /// When the release was requested.
    pub pending_since: Ms,
    /// Since when no attempt delays the release.
    pub unblocked_since: Ms,
    /// The number of calls that are not answered yet.
    pub open_calls: usize,
    /// The number of calls that were started in total.
    pub calls: u32,
    /// When the last call was started.
    pub last_call_at: Ms,
    /// When the release is continued if no event continues it earlier.
    pub next_check_at: Ms,
    /// The engines that were called and have not confirmed the release.
    pub called_engines: Vec<EngineId>,
    /// The number of inconclusive confirmations since no attempt delays the release.
    pub confirmations: u32,
    /// Whether a call of the present round was confirmed.
    pub round_confirmed: bool,
}

impl ReleaseProgress {
    fn new(now: Ms) -> Self {
        ReleaseProgress {
            pending_since: now,
            unblocked_since: now,
            open_calls: 0,
            calls: 0,
            last_call_at: f64::NEG_INFINITY,
            next_check_at: f64::NEG_INFINITY,
            called_engines: Vec::new(),
            confirmations: 0,
            round_confirmed: false,
        }
    }
}

/// The record of one request's KV state.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KvState {
    pub held: HeldState,
    pub step: Step,
    /// The start of the period within which the state must be taken or released, in milliseconds.
    pub held_since: Ms,
    pub release: ReleaseProgress,
    /// Whether a cancelled prefill may have left another KV state.
    may_have_leftover: bool,
    unacknowledged_ends: Vec<UnacknowledgedEnd>,
}

impl KvState {
    fn new(held: HeldState, step: Step, now: Ms) -> Self {
        let release = ReleaseProgress::new(now);
        KvState {
            held,
            step,
            held_since: now,
            release,
            may_have_leftover: false,
            unacknowledged_ends: Vec::new(),
        }
    }

    /// Whether an attempt may take the state.
    pub fn is_available(&self) -> bool {
        self.step != Step::ReleasePending
    }

    /// Whether a release is pending.
    pub fn is_release_pending(&self) -> bool {
        matches!(
            self.step,
            Step::ReleasePending | Step::OfferedUnconfirmed(_)
        )
    }

    /// Whether the confirmation of `call` proves that no KV state is held any more: the call began after every
    /// attempt of the request had ended and its engine knew of the end. The request must have no current attempt.
    pub fn is_released_by(&self, call: &ReleaseCall, kv_state_timeout: Ms) -> bool {
        call.begun_at >= self.release.unblocked_since
            && self
                .conclusive_from(kv_state_timeout)
                .is_some_and(|at| call.begun_at >= at)
    }

    /// The instant from which confirmations are conclusive; `None` if an engine has not yet shown that it works.
    pub fn conclusive_from(&self, kv_state_timeout: Ms) -> Option<Ms> {
        let safe_instants: Option<Vec<Ms>> = self
            .unacknowledged_ends
            .iter()
            .map(|end| end.release_safe_at(kv_state_timeout))
            .collect();
        safe_instants.map(|instants| instants.into_iter().fold(f64::NEG_INFINITY, f64::max))
    }

    /// The engines where an attempt ended without a message and which have not been seen working since.
    pub fn engines_not_seen_working(&self) -> impl Iterator<Item = &EngineId> {
        self.unacknowledged_ends
            .iter()
            .filter(|end| end.work_observed_at.is_none())
            .map(|end| &end.engine)
    }

    /// Whether an attempt for the state ended without a message from its engine.
    pub fn had_unacknowledged_end(&self) -> bool {
        !self.unacknowledged_ends.is_empty()
    }
}

/// The KV states of all requests.
#[derive(Debug, Default)]
pub(super) struct KvStates {
    states: BTreeMap<RequestId, KvState>,
    /// Requests with an unacknowledged end, by engines that have not shown since that they work.
    waiting_for_engine: BTreeMap<EngineId, BTreeSet<RequestId>>,
    /// Requests whose last round of release calls was not confirmed.
    pub unconfirmed_releases: BTreeSet<RequestId>,
    /// Requests whose release is continued once the present input is handled.
    pub due_releases: BTreeSet<RequestId>,
}

impl KvStates {
    /// The record of a request's KV state.
    pub fn get(&self, request: RequestId) -> Option<&KvState> {
        self.states.get(&request)
    }

    /// The record of a request's KV state, for updates to the progress of its release.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut KvState> {
        self.states.get_mut(&request)
    }

    /// The number of pending releases that no engine has confirmed since the last attempt ended.
    pub fn unconfirmed_count(&self) -> usize {
        let is_unconfirmed =
            |state: &&KvState| state.is_release_pending() && state.release.confirmations == 0;
        self.states.values().filter(is_unconfirmed).count()
    }

    /// The record of a request whose KV state an attempt may take.
    pub fn available(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_available())
    }

    /// The record of a request whose release is pending.
    pub fn pending_release(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_release_pending())
    }

    /// The number of KV states whose release is pending, confirmed inconclusively or not at all.
    pub fn pending_release_count(&self) -> usize {
        self.states
            .values()
            .filter(|state| state.is_release_pending())
            .count()
    }

    /// Records that a prefill has ended and its engine holds the state.
    pub fn hold(&mut self, request: RequestId, held: HeldState, now: Ms) {
        match self.states.get_mut(&request) {
            // A state that an earlier prefill may have left is released once the present one is taken or released.
            Some(state) => {
                (state.held, state.step, state.held_since) = (held, Step::Held, now);
                state.may_have_leftover = true;
            }
            None => {
                self.states
                    .insert(request, KvState::new(held, Step::Held, now));
            }
        }
    }

    /// Records that a decode attempt was started that may take the state.
    pub fn offer(&mut self, request: RequestId, attempt: AttemptId) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.step = Step::Offered(attempt);
        }
    }

    /// Records that a decode attempt has ended without taking the state.
    pub fn withdraw_offer(&mut self, request: RequestId, attempt: AttemptId) {
        let steps = [Step::Offered(attempt), Step::OfferedUnconfirmed(attempt)];
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| steps.contains(&state.step))
        {
            state.step = Step::Held;
        }
    }

    /// Records that a decode attempt has taken the state.
    pub fn mark_taken(&mut self, request: RequestId, now: Ms) {
        match self.states.get_mut(&request) {
            Some(state) if state.may_have_leftover => {
                state.may_have_leftover = false;
                (state.step, state.release) = (Step::ReleasePending, ReleaseProgress::new(now));
                self.due_releases.insert(request);
            }
            _ => {
                self.forget(request);
            }
        }
    }

    /// Requests a release that has no effect if the current attempt waits for the state.
    pub fn request_unconfirmed_release(&mut self, request: RequestId, now: Ms) {
        let Some(state) = self.states.get_mut(&request) else {
            return;
        };
        if let Step::Offered(attempt) = state.step {
            (state.step, state.release) =
                (Step::OfferedUnconfirmed(attempt), ReleaseProgress::new(now));
            self.due_releases.insert(request);
        }
    }

    /// Requests the release of an available state.
    pub fn request_release(&mut self, request: RequestId, now: Ms) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.may_have_leftover = false;
            (state.step, state.release) = (Step::ReleasePending, ReleaseProgress::new(now));
            self.due_releases.insert(request);
        }
    }

    /// Requests the release of the state that a cancelled prefill may have left, if it ended before the cancel
    /// arrived.
    pub fn request_leftover_release(&mut self, request: RequestId, held: HeldState, now: Ms) {
        let state = self
            .states
            .entry(request)
            .or_insert_with(|| KvState::new(held, Step::ReleasePending, now));
        state.may_have_leftover |= state.is_available();
        self.due_releases.insert(request);
    }

    /// Records the end of an attempt, after which a pending release need not wait for it. `unacknowledged_at` is
    /// the attempt's engine if the engine has sent no message about the end.
    pub fn record_attempt_end(
        &mut self,
        request: RequestId,
        unacknowledged_at: Option<EngineId>,
        now: Ms,
    ) {
        let Some(state) = self.states.get_mut(&request) else {
            return;
        };
        if let Some(engine) = unacknowledged_at {
            self.waiting_for_engine
                .entry(engine.clone())
                .or_default()
                .insert(request);
            state.unacknowledged_ends.push(UnacknowledgedEnd {
                engine,
                at: now,
                work_observed_at: None,
            });
        }
        if !state.is_available() {
            (state.release.unblocked_since, state.release.confirmations) = (now, 0);
            state.release.called_engines.clear();
            self.due_releases.insert(request);
        }
    }

    /// Records that an engine is known to have worked at the instant `worked_at`. Returns the requests with an
    /// unacknowledged end before that instant.
    pub fn record_engine_work(
        &mut self,
        engine: &EngineId,
        worked_at: Ms,
        now: Ms,
    ) -> Vec<RequestId> {
        let Some(waiting) = self.waiting_for_engine.get_mut(engine) else {
            return Vec::new();
        };
        let mut affected = Vec::new();
        waiting.retain(|request| {
            let Some(state) = self.states.get_mut(request) else {
                return false;
            };
            let ends = state
                .unacknowledged_ends
                .iter_mut()
                .filter(|end| end.engine == *engine && end.work_observed_at.is_none());
            let (mut any_observed, mut any_left) = (false, false);
            for end in ends {
                if end.at <= worked_at {
                    (end.work_observed_at, any_observed) = (Some(now), true);
                } else {
                    any_left = true;
                }
            }
            if any_observed {
                affected.push(*request);
            }
            any_left
        });
        if waiting.is_empty() {
            self.waiting_for_engine.remove(engine);
        }
        affected
    }

    /// Drops the record of a request, because nothing is held any more or its release is given up. Returns the
    /// record.
    pub fn forget(&mut self, request: RequestId) -> Option<KvState> {
        let state = self.states.remove(&request)?;
        for engine in state.engines_not_seen_working() {
            let waiting = self.waiting_for_engine.get_mut(engine);
            if waiting.is_some_and(|waiting| waiting.remove(&request) && waiting.is_empty()) {
                self.waiting_for_engine.remove(engine);
            }
        }
        Some(state)
    }
}
