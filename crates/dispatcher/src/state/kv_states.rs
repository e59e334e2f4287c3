//! KV states that engines hold, or may hold, for requests: one record a request, from the end of its prefill until a decode
//! attempt has taken the state or a release has taken effect.
//!
//! Where a release names a request and any engine passes it on, its confirmation alone proves nothing: it releases every
//! state 'that no attempt waits for' (docs/acceptance.md, 'Readings'), and an attempt that this process has closed waits until
//! its engine knows of the close. So a record stays until a confirmation counts: [`KvState::is_released_by`].

use super::*;

/// An attempt that was closed without a message of its engine is over there, at the latest, the KV state timeout divided by this
/// after the engine has shown that it works: the close and a release go over different connections, and nothing orders them.
const CLOSE_DELIVERY_DIVISOR: f64 = 4.0;

/// A KV state and the engine that holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Held {
    pub engine: EngineId,
    pub id: v1::KvStateId,
    /// The request's id as its client gave it, where states are known by it; else empty.
    pub origin: String,
}

/// The step in which a KV state is. It goes from `Held` to `Offered` and back with each decode attempt, until one takes it
/// or it is to be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Its engine holds it, and no attempt is out that may take it.
    Held,
    /// A decode attempt is out that may take it.
    Offered(AttemptId),
    /// The same, and nothing has come of the attempt: its connection alone may be silent. It is to be released, which does
    /// nothing if the attempt waits for it.
    OfferedUnconfirmed(AttemptId),
    /// It is to be released. An attempt may still be out that had not arrived, as far as anybody knew.
    ReleaseWanted,
}

/// An attempt that ended here without a message of its engine: it was closed, or its connection broke.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct UnacknowledgedEnd {
    pub engine: EngineId,
    pub at: Ms,
    /// When its engine was first known to have worked since.
    known_since: Option<Ms>,
}

impl UnacknowledgedEnd {
    /// From when on a release cannot overtake its close any more, if that is known.
    fn is_past_at(&self, kv_state_timeout: Ms) -> Option<Ms> {
        self.known_since
            .map(|known| known + kv_state_timeout / CLOSE_DELIVERY_DIVISOR)
    }
}

/// A call that asks an engine to release what is held for a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseCall {
    pub request: RequestId,
    pub begun_at: Ms,
}

/// What was done to release a KV state. Instants are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseProgress {
    /// Since when it is wanted.
    pub wanted_since: Ms,
    /// Since when no attempt holds it up.
    pub unblocked_since: Ms,
    /// Calls that are under way.
    pub open_calls: usize,
    /// All calls that were begun.
    pub calls: u32,
    /// When the last call began.
    pub last_call_at: Ms,
    /// When it is continued, if nothing happens before.
    pub next_check_at: Ms,
    /// Engines that were asked and have not confirmed it.
    pub asked_engines: Vec<EngineId>,
    /// How often it was confirmed by calls that do not count, since no attempt holds it up.
    pub confirmations: u32,
    /// Whether one of the calls of this round was confirmed.
    pub round_confirmed: bool,
}

impl ReleaseProgress {
    fn new(now: Ms) -> Self {
        ReleaseProgress {
            wanted_since: now,
            unblocked_since: now,
            open_calls: 0,
            calls: 0,
            last_call_at: f64::NEG_INFINITY,
            next_check_at: f64::NEG_INFINITY,
            asked_engines: Vec::new(),
            confirmations: 0,
            round_confirmed: false,
        }
    }
}

/// What is known of the KV state of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KvState {
    pub held: Held,
    pub step: Step,
    /// Since when the time counts within which it has to be taken or released.
    pub held_since: Ms,
    pub release: ReleaseProgress,
    /// Whether a prefill that was cancelled may have left one more.
    has_leftover: bool,
    unacknowledged_ends: Vec<UnacknowledgedEnd>,
}

impl KvState {
    fn new(held: Held, step: Step, now: Ms) -> Self {
        let release = ReleaseProgress::new(now);
        KvState {
            held,
            step,
            held_since: now,
            release,
            has_leftover: false,
            unacknowledged_ends: Vec::new(),
        }
    }

    /// Whether an attempt may take it.
    pub fn is_available(&self) -> bool {
        self.step != Step::ReleaseWanted
    }

    /// Whether it is to be released.
    pub fn is_release_wanted(&self) -> bool {
        matches!(self.step, Step::ReleaseWanted | Step::OfferedUnconfirmed(_))
    }

    /// Whether the confirmation of a call proves that nothing is held any more: it began after every attempt of the request
    /// was over, where its engine knew it. No attempt of the request is out.
    pub fn is_released_by(&self, call: &ReleaseCall, kv_state_timeout: Ms) -> bool {
        call.begun_at >= self.release.unblocked_since
            && self
                .counts_from(kv_state_timeout)
                .is_some_and(|at| call.begun_at >= at)
    }

    /// From when on a call counts, if all engines have shown that they work.
    pub fn counts_from(&self, kv_state_timeout: Ms) -> Option<Ms> {
        let past: Option<Vec<Ms>> = self
            .unacknowledged_ends
            .iter()
            .map(|end| end.is_past_at(kv_state_timeout))
            .collect();
        past.map(|past| past.into_iter().fold(f64::NEG_INFINITY, f64::max))
    }

    /// The engines that have not shown since that they work.
    pub fn unaware_engines(&self) -> impl Iterator<Item = &EngineId> {
        self.unacknowledged_ends
            .iter()
            .filter(|end| end.known_since.is_none())
            .map(|end| &end.engine)
    }

    /// Whether an attempt for it ended without a message of its engine.
    pub fn had_unacknowledged_end(&self) -> bool {
        !self.unacknowledged_ends.is_empty()
    }
}

/// The KV states of all requests.
#[derive(Debug, Default)]
pub(super) struct KvStates {
    states: BTreeMap<RequestId, KvState>,
    /// Requests with an unacknowledged end at an engine that has not shown since that it works.
    waiting_for_engine: BTreeMap<EngineId, BTreeSet<RequestId>>,
    /// Requests of whose last calls to release a state none was confirmed.
    pub unconfirmed_releases: BTreeSet<RequestId>,
    /// Releases to look at once the present input is dealt with.
    pub due_releases: BTreeSet<RequestId>,
}

impl KvStates {
    /// The record of a request.
    pub fn get(&self, request: RequestId) -> Option<&KvState> {
        self.states.get(&request)
    }

    /// The record of a request, to change what was done to release it.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut KvState> {
        self.states.get_mut(&request)
    }

    /// States that are to be released, of which no engine has confirmed it since their last attempt ended.
    pub fn unconfirmed_count(&self) -> usize {
        let is_unconfirmed =
            |state: &&KvState| state.is_release_wanted() && state.release.confirmations == 0;
        self.states.values().filter(is_unconfirmed).count()
    }

    /// The state that an attempt of a request may take.
    pub fn available(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_available())
    }

    /// The state of a request that is to be released.
    pub fn release_wanted(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_release_wanted())
    }

    /// States that are to be released.
    pub fn release_wanted_count(&self) -> usize {
        self.states
            .values()
            .filter(|state| state.is_release_wanted())
            .count()
    }

    /// A prefill has ended: its engine holds the state.
    pub fn hold(&mut self, request: RequestId, held: Held, now: Ms) {
        match self.states.get_mut(&request) {
            // What an earlier prefill may have left is released once this one is taken or released.
            Some(state) => {
                (state.held, state.step, state.held_since) = (held, Step::Held, now);
                state.has_leftover = true;
            }
            None => {
                self.states
                    .insert(request, KvState::new(held, Step::Held, now));
            }
        }
    }

    /// A decode attempt goes out that may take it.
    pub fn offer(&mut self, request: RequestId, attempt: AttemptId) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.step = Step::Offered(attempt);
        }
    }

    /// The decode attempt is over and has not taken it.
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

    /// A decode attempt has taken it.
    pub fn mark_taken(&mut self, request: RequestId, now: Ms) {
        match self.states.get_mut(&request) {
            Some(state) if state.has_leftover => {
                state.has_leftover = false;
                (state.step, state.release) = (Step::ReleaseWanted, ReleaseProgress::new(now));
                self.due_releases.insert(request);
            }
            _ => {
                self.forget(request);
            }
        }
    }

    /// It is to be released, unless the current attempt waits for it.
    pub fn mark_unconfirmed(&mut self, request: RequestId, now: Ms) {
        let Some(state) = self.states.get_mut(&request) else {
            return;
        };
        if let Step::Offered(attempt) = state.step {
            (state.step, state.release) =
                (Step::OfferedUnconfirmed(attempt), ReleaseProgress::new(now));
            self.due_releases.insert(request);
        }
    }

    /// It is to be released.
    pub fn want_release(&mut self, request: RequestId, now: Ms) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.has_leftover = false;
            (state.step, state.release) = (Step::ReleaseWanted, ReleaseProgress::new(now));
            self.due_releases.insert(request);
        }
    }

    /// A prefill was cancelled, which may have ended just then: what it may have left is to be released.
    pub fn want_leftover_released(&mut self, request: RequestId, held: Held, now: Ms) {
        let state = self
            .states
            .entry(request)
            .or_insert_with(|| KvState::new(held, Step::ReleaseWanted, now));
        state.has_leftover |= state.is_available();
        self.due_releases.insert(request);
    }

    /// An attempt of a request is over: what is to be released of it can be now. `unacknowledged_at`: the attempt's engine, if that
    /// has sent no message of it.
    pub fn attempt_over(
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
                known_since: None,
            });
        }
        if !state.is_available() {
            (state.release.unblocked_since, state.release.confirmations) = (now, 0);
            state.release.asked_engines.clear();
            self.due_releases.insert(request);
        }
    }

    /// An engine has shown that it worked at an instant; gives the requests for which that matters.
    pub fn engine_worked(&mut self, engine: &EngineId, worked: Ms, now: Ms) -> Vec<RequestId> {
        let Some(waiting) = self.waiting_for_engine.get_mut(engine) else {
            return Vec::new();
        };
        let mut known = Vec::new();
        waiting.retain(|request| {
            let Some(state) = self.states.get_mut(request) else {
                return false;
            };
            let ends = state
                .unacknowledged_ends
                .iter_mut()
                .filter(|end| end.engine == *engine && end.known_since.is_none());
            let (mut some_known, mut some_left) = (false, false);
            for end in ends {
                if end.at <= worked {
                    (end.known_since, some_known) = (Some(now), true);
                } else {
                    some_left = true;
                }
            }
            if some_known {
                known.push(*request);
            }
            some_left
        });
        if waiting.is_empty() {
            self.waiting_for_engine.remove(engine);
        }
        known
    }

    /// Nothing is held for a request any more, or nothing more can be done about it.
    pub fn forget(&mut self, request: RequestId) -> Option<KvState> {
        let state = self.states.remove(&request)?;
        for engine in state.unaware_engines() {
            let waiting = self.waiting_for_engine.get_mut(engine);
            if waiting.is_some_and(|waiting| waiting.remove(&request) && waiting.is_empty()) {
                self.waiting_for_engine.remove(engine);
            }
        }
        Some(state)
    }
}
