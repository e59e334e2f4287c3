//! The records of KV states that engines hold, or may hold, for requests. A request has one record, from the end of
//! its prefill until a decode attempt has taken the state or a release has taken effect.
//!
//! Over HTTP/1 a release names a request, and may be sent to any engine, which passes it on. Its confirmation alone
//! proves nothing. A release frees every state 'that no attempt waits for' (docs/acceptance.md, 'Readings'), and an
//! attempt that this process has closed still waits for its state until the engine learns of the close. The record
//! is therefore kept until a confirmation proves that the state is released, see [`KvState::is_released_by`].

use super::*;

/// An attempt that was closed without a message from its engine is assumed to have ended there when the KV state
/// timeout divided by this has passed since the engine is known to have worked on any attempt after the close. The
/// close and a release use different connections, so they may arrive in either order.
const CLOSE_DELIVERY_TIME_DIVISOR: f64 = 4.0;

/// A KV state and the engine that holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldState {
    pub engine: EngineId,
    pub id: v1::KvStateId,
    /// The client-assigned id of the request, by which an engine finds the KV state of a release over HTTP/1. Empty
    /// if the client has assigned none or the id is not needed.
    pub origin: String,
}

/// The phase in the life of a KV state. It alternates between `Held` and `Offered` with each decode attempt, until
/// an attempt takes the state or its release is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KvStatePhase {
    /// The engine holds the state, and no current attempt can take it.
    Held,
    /// The given decode attempt was started and may take the state.
    Offered(AttemptId),
    /// Like `Offered`, but no message of the attempt has arrived, possibly because its connection alone has failed.
    /// A release is pending, which has no effect if the attempt waits for the state.
    OfferedUnconfirmed(AttemptId),
    /// A release is pending. The request may still have a current attempt that is not known to have reached its
    /// engine.
    ReleasePending,
}

/// An attempt that the dispatcher has ended without a message from the engine about the end. The dispatcher has
/// closed the attempt, or the connection was lost, so the engine may still be working on it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct UnacknowledgedAttemptEnd {
    pub engine: EngineId,
    /// When the attempt ended, in milliseconds.
    pub at: Ms,
    /// When the dispatcher learned that the engine has worked on any attempt since this end, in milliseconds;
    /// `None` if it has not learned so.
    learned_of_work_at: Option<Ms>,
}

impl UnacknowledgedAttemptEnd {
    /// The instant from which a new release call cannot reach the engine before the close of the attempt does;
    /// `None` if the engine is not known to have worked since the end.
    fn release_safe_at(&self, kv_state_timeout: Ms) -> Option<Ms> {
        self.learned_of_work_at
            .map(|known_at| known_at + kv_state_timeout / CLOSE_DELIVERY_TIME_DIVISOR)
    }
}

/// A call over HTTP/1 that asks an engine to release the KV state of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseCall {
    pub request: RequestId,
    pub begun_at: Ms,
}

/// The progress of a release over HTTP/1. Instants are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReleaseProgress {
    /// When the release was requested.
    pub pending_since: Ms,
    /// When the last attempt that delayed the release ended, or when the release was requested.
    pub unblocked_since: Ms,
    /// The number of release calls that are not answered yet.
    pub open_calls: usize,
    /// The total number of release calls that were started.
    pub calls: u32,
    /// When the last release call was started; negative infinity if there was none.
    pub last_call_at: Ms,
    /// When the next calls of the release are made, unless an event causes them earlier.
    pub next_check_at: Ms,
    /// The engines that were called since the last confirmation and have not confirmed the release.
    pub called_engines: Vec<EngineId>,
    /// The number of confirmations since the last attempt ended, none of which proves that the KV state is
    /// released.
    pub confirmations: u32,
    /// Whether an engine has confirmed a call of the current round of release calls.
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

/// The record of one request's KV state, and of its release.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KvState {
    pub held: HeldState,
    pub phase: KvStatePhase,
    /// The start of the period within which the state must be taken or released, in milliseconds.
    pub held_since: Ms,
    pub release: ReleaseProgress,
    /// Whether a cancelled prefill of the same request may have left another KV state, which must be released as
    /// well.
    may_have_leftover: bool,
    unacknowledged_attempt_ends: Vec<UnacknowledgedAttemptEnd>,
}

impl KvState {
    fn new(held: HeldState, phase: KvStatePhase, now: Ms) -> Self {
        let release = ReleaseProgress::new(now);
        KvState {
            held,
            phase,
            held_since: now,
            release,
            may_have_leftover: false,
            unacknowledged_attempt_ends: Vec::new(),
        }
    }

    /// Whether a decode attempt may still take the state.
    pub fn is_available(&self) -> bool {
        self.phase != KvStatePhase::ReleasePending
    }

    /// Whether a release of the state was requested and has not been proven to have taken effect.
    pub fn is_release_pending(&self) -> bool {
        matches!(
            self.phase,
            KvStatePhase::ReleasePending | KvStatePhase::OfferedUnconfirmed(_)
        )
    }

    /// Whether the confirmation of `call` proves that no KV state of the request is held any more. This is so if
    /// the call began after every attempt of the request had ended and its engine knew of the end. The request must
    /// have no current attempt.
    pub fn is_released_by(&self, call: &ReleaseCall, kv_state_timeout: Ms) -> bool {
        call.begun_at >= self.release.unblocked_since
            && self
                .release_conclusive_from(kv_state_timeout)
                .is_some_and(|at| call.begun_at >= at)
    }

    /// The instant from which the confirmation of a new release call proves that the KV state is released. `None`
    /// if an attempt ended without a message from its engine, and the engine is not known to have worked since.
    pub fn release_conclusive_from(&self, kv_state_timeout: Ms) -> Option<Ms> {
        let safe_instants: Option<Vec<Ms>> = self
            .unacknowledged_attempt_ends
            .iter()
            .map(|end| end.release_safe_at(kv_state_timeout))
            .collect();
        safe_instants.map(|instants| instants.into_iter().fold(f64::NEG_INFINITY, f64::max))
    }

    /// The engines at which an attempt of the request ended without a message, and which are not known to have
    /// worked on any attempt since that end.
    pub fn engines_with_unconfirmed_end(&self) -> impl Iterator<Item = &EngineId> {
        self.unacknowledged_attempt_ends
            .iter()
            .filter(|end| end.learned_of_work_at.is_none())
            .map(|end| &end.engine)
    }

    /// Whether an attempt of the request ended without a message from its engine.
    pub fn had_unacknowledged_attempt_end(&self) -> bool {
        !self.unacknowledged_attempt_ends.is_empty()
    }
}

/// The records of the KV states of all requests, and the releases that wait for an event.
#[derive(Debug, Default)]
pub(super) struct KvStates {
    states: BTreeMap<RequestId, KvState>,
    /// Requests with an attempt that ended without a message from its engine, grouped by that engine. A request is
    /// removed once the engine is known to have worked on any attempt since the end.
    awaiting_engine_work: BTreeMap<EngineId, BTreeSet<RequestId>>,
    /// Requests whose latest release calls were not confirmed by any engine.
    pub unconfirmed_releases: BTreeSet<RequestId>,
    /// Requests whose release is continued once the current input is handled.
    pub due_releases: BTreeSet<RequestId>,
}

impl KvStates {
    /// The record of a request's KV state; `None` if no engine holds a state for the request.
    pub fn get(&self, request: RequestId) -> Option<&KvState> {
        self.states.get(&request)
    }

    /// The record of a request's KV state, to update the progress of its release.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut KvState> {
        self.states.get_mut(&request)
    }

    /// The number of pending releases that no engine has confirmed since the last attempt ended.
    pub fn unconfirmed_count(&self) -> usize {
        let is_unconfirmed =
            |state: &&KvState| state.is_release_pending() && state.release.confirmations == 0;
        self.states.values().filter(is_unconfirmed).count()
    }

    /// The record of a request's KV state, if a decode attempt may still take the state.
    pub fn available(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_available())
    }

    /// The record of a request's KV state, if the release of the state is pending.
    pub fn pending_release(&self, request: RequestId) -> Option<&KvState> {
        self.get(request).filter(|state| state.is_release_pending())
    }

    /// The number of KV states whose release is pending, whether or not an engine has confirmed a call.
    pub fn pending_release_count(&self) -> usize {
        self.states
            .values()
            .filter(|state| state.is_release_pending())
            .count()
    }

    /// Records that a prefill has ended and its engine holds the state.
    pub fn record_prefill_end(&mut self, request: RequestId, held: HeldState, now: Ms) {
        match self.states.get_mut(&request) {
            // A state that an earlier prefill may have left is released once the new state is taken or released.
            Some(state) => {
                (state.held, state.phase, state.held_since) = (held, KvStatePhase::Held, now);
                state.may_have_leftover = true;
            }
            None => {
                self.states
                    .insert(request, KvState::new(held, KvStatePhase::Held, now));
            }
        }
    }

    /// Records the start of a decode attempt that may take the state.
    pub fn offer_to_attempt(&mut self, request: RequestId, attempt: AttemptId) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.phase = KvStatePhase::Offered(attempt);
        }
    }

    /// Records that a decode attempt has ended without taking the state.
    pub fn withdraw_offer(&mut self, request: RequestId, attempt: AttemptId) {
        let offered_phases = [
            KvStatePhase::Offered(attempt),
            KvStatePhase::OfferedUnconfirmed(attempt),
        ];
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| offered_phases.contains(&state.phase))
        {
            state.phase = KvStatePhase::Held;
        }
    }

    /// Records that a decode attempt has taken the state.
    pub fn mark_taken(&mut self, request: RequestId, now: Ms) {
        match self.states.get_mut(&request) {
            Some(state) if state.may_have_leftover => {
                state.may_have_leftover = false;
                (state.phase, state.release) =
                    (KvStatePhase::ReleasePending, ReleaseProgress::new(now));
                self.due_releases.insert(request);
            }
            _ => {
                self.remove(request);
            }
        }
    }

    /// Requests the release of a state that is offered to an attempt. The release has no effect if the attempt
    /// waits for the state at its engine.
    pub fn request_unconfirmed_release(&mut self, request: RequestId, now: Ms) {
        let Some(state) = self.states.get_mut(&request) else {
            return;
        };
        if let KvStatePhase::Offered(attempt) = state.phase {
            (state.phase, state.release) = (
                KvStatePhase::OfferedUnconfirmed(attempt),
                ReleaseProgress::new(now),
            );
            self.due_releases.insert(request);
        }
    }

    /// Requests the release of a request's KV state. No decode attempt can take the state from then on.
    pub fn request_release(&mut self, request: RequestId, now: Ms) {
        if let Some(state) = self
            .states
            .get_mut(&request)
            .filter(|state| state.is_available())
        {
            state.may_have_leftover = false;
            (state.phase, state.release) =
                (KvStatePhase::ReleasePending, ReleaseProgress::new(now));
            self.due_releases.insert(request);
        }
    }

    /// Requests the release of the state that a cancelled prefill may have left, if it ended before the cancel
    /// arrived.
    pub fn request_leftover_release(&mut self, request: RequestId, held: HeldState, now: Ms) {
        let state = self
            .states
            .entry(request)
            .or_insert_with(|| KvState::new(held, KvStatePhase::ReleasePending, now));
        state.may_have_leftover |= state.is_available();
        self.due_releases.insert(request);
    }

    /// Records the end of an attempt, so that a pending release no longer waits for it. `unacknowledged_by` is the
    /// attempt's engine if the engine has sent no message about the end; `None` otherwise.
    pub fn record_attempt_end(
        &mut self,
        request: RequestId,
        unacknowledged_by: Option<EngineId>,
        now: Ms,
    ) {
        let Some(state) = self.states.get_mut(&request) else {
            return;
        };
        if let Some(engine) = unacknowledged_by {
            self.awaiting_engine_work
                .entry(engine.clone())
                .or_default()
                .insert(request);
            state
                .unacknowledged_attempt_ends
                .push(UnacknowledgedAttemptEnd {
                    engine,
                    at: now,
                    learned_of_work_at: None,
                });
        }
        if !state.is_available() {
            (state.release.unblocked_since, state.release.confirmations) = (now, 0);
            state.release.called_engines.clear();
            self.due_releases.insert(request);
        }
    }

    /// Records that an engine is known to have worked on an attempt at the instant `worked_at`. Returns the
    /// requests with an attempt that ended there before that instant without a message from the engine.
    pub fn record_engine_work(
        &mut self,
        engine: &EngineId,
        worked_at: Ms,
        now: Ms,
    ) -> Vec<RequestId> {
        let Some(waiting) = self.awaiting_engine_work.get_mut(engine) else {
            return Vec::new();
        };
        let mut affected = Vec::new();
        waiting.retain(|request| {
            let Some(state) = self.states.get_mut(request) else {
                return false;
            };
            let ends = state
                .unacknowledged_attempt_ends
                .iter_mut()
                .filter(|end| end.engine == *engine && end.learned_of_work_at.is_none());
            let (mut any_known, mut any_left) = (false, false);
            for end in ends {
                if end.at <= worked_at {
                    (end.learned_of_work_at, any_known) = (Some(now), true);
                } else {
                    any_left = true;
                }
            }
            if any_known {
                affected.push(*request);
            }
            any_left
        });
        if waiting.is_empty() {
            self.awaiting_engine_work.remove(engine);
        }
        affected
    }

    /// Removes and returns the record of a request's KV state, because the state is taken or released, or its
    /// release is given up.
    pub fn remove(&mut self, request: RequestId) -> Option<KvState> {
        let state = self.states.remove(&request)?;
        for engine in state.engines_with_unconfirmed_end() {
            let waiting = self.awaiting_engine_work.get_mut(engine);
            if waiting.is_some_and(|waiting| waiting.remove(&request) && waiting.is_empty()) {
                self.awaiting_engine_work.remove(engine);
            }
        }
        Some(state)
    }
}
