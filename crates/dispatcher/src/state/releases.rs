//! Releases of KV states that any engine passes on to the holder: when a release is sent, repeated and given
//! up.
//!
//! The record of the KV state (`kv_states.rs`) decides whether a confirmation proves the release; until one
//! does, the release is repeated. `release_targets.rs` selects the engines to call, and `release_waits.rs`
//! decides when a release waits for an attempt. All times are fractions or multiples of the KV state timeout,
//! the setting `kv_state_timeout` in milliseconds.

use super::kv_states::{HeldState, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// An engine must confirm a release within the KV state timeout divided by this.
pub(super) const CONFIRMATION_TIMEOUT_DIVISOR: f64 = 4.0;
/// The time to the next round after a round without a confirmation is the KV state timeout divided by this,
/// during the first [`FAST_ROUNDS_KV_STATE_TIMEOUTS`].
const FAST_ROUND_DIVISOR: f64 = 25.0;
/// The divisor that replaces [`FAST_ROUND_DIVISOR`] after [`FAST_ROUNDS_KV_STATE_TIMEOUTS`].
const SLOW_ROUND_DIVISOR: f64 = 4.0;
/// The first repeat of a release whose confirmation is not conclusive follows after this many KV state
/// timeouts. A hanging engine may notice the close of its attempt at any time, and the timeout of the KV
/// state counts from then on.
const FIRST_REPEAT_KV_STATE_TIMEOUTS: f64 = 0.75;
/// The interval between further repeats, in KV state timeouts.
const REPEAT_KV_STATE_TIMEOUTS: f64 = 1.0;
/// After this many inconclusive confirmations, the interval doubles with each repeat.
const REPEATS_BEFORE_BACKOFF: u32 = 10;
/// Rounds follow each other quickly for this many KV state timeouts. If a release is still unconfirmed then,
/// hardly any engine can be reached.
const FAST_ROUNDS_KV_STATE_TIMEOUTS: f64 = 2.0;
/// A release that was confirmed, but not conclusively, is repeated for this many KV state timeouts.
const GIVE_UP_KV_STATE_TIMEOUTS: f64 = 20.0;
/// A release that no engine has confirmed is repeated for this many KV state timeouts.
const GIVE_UP_UNCONFIRMED_KV_STATE_TIMEOUTS: f64 = 120.0;

impl Dispatcher {
    /// Releases the KV state of a request, at the request of `Control`.
    pub(super) fn release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self.kv_states.available(request_id).is_none() {
            return;
        }
        if let Some((problem, text)) = self.undelivered_attempt(request_id) {
            let text = format!("KV state released, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.request_release(request_id, outputs);
        self.forget_finished(request_id);
    }

    /// Releases the KV state of a request unless its current attempt needs the state. The engine runs, but it is
    /// not known whether the attempt has reached it.
    pub(super) fn release_unconfirmed(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if let Some((problem, text)) = self.undelivered_attempt(request_id) {
            let text = format!("KV state release sent, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.kv_states
            .request_unconfirmed_release(request_id, self.now);
    }

    /// Requests the release of a request's KV state.
    pub(super) fn request_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self.settings.limits.http1.is_some() {
            self.kv_states.request_release(request_id, self.now);
            self.schedule_held_check(request_id);
        } else if let Some(state) = self.kv_states.forget(request_id) {
            self.release_at_engine(state.held, outputs);
        }
    }

    /// Releases the KV state that a prefill may have left at its engine after it was cancelled or its connection
    /// was lost.
    pub(super) fn release_leftover(
        &mut self,
        request_id: RequestId,
        held: HeldState,
        outputs: &mut Vec<Output>,
    ) {
        if self.settings.limits.http1.is_some() {
            self.kv_states
                .request_leftover_release(request_id, held, self.now);
        } else {
            self.release_at_engine(held, outputs);
        }
    }

    /// Releases a KV state at the engine that holds it.
    pub(super) fn release_at_engine(&mut self, held: HeldState, outputs: &mut Vec<Output>) {
        if !fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.enqueue_engine_release(held, outputs);
        }
    }

    /// Continues the releases that are due. This runs after `Control` has handled the pending events, because
    /// only then it is known whether a request continues.
    pub(super) fn continue_due_releases(&mut self, outputs: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.kv_states.due_releases) {
            self.continue_release(id, outputs);
        }
    }

    /// Starts the next round of calls to release a KV state, unless a call is open or the release must wait for
    /// an attempt.
    pub(super) fn continue_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.kv_states.forget(request_id);
        }
        let Some(state) = self.kv_states.pending_release(request_id) else {
            return;
        };
        if state.release.open_calls > 0 {
            return;
        }
        if self.is_still_needed(state) {
            return self.wait_for_attempt(request_id, outputs);
        }
        let give_up_after = if state.release.confirmations > 0 {
            GIVE_UP_KV_STATE_TIMEOUTS
        } else {
            GIVE_UP_UNCONFIRMED_KV_STATE_TIMEOUTS
        };
        if self.now - state.release.unblocked_since
            > give_up_after * self.settings.policy.kv_state_timeout
        {
            return self.give_up_release(request_id, outputs);
        }
        let mut called_engines = state.release.called_engines.clone();
        let engines = self.engines_to_call(state, &mut called_engines);
        if let Some(state) = self.kv_states.get_mut(request_id) {
            state.release.called_engines = called_engines;
            state.release.round_confirmed = false;
        }
        for engine in engines {
            self.begin_release(request_id, engine, outputs);
        }
        self.schedule_next_round(request_id);
    }

    /// Gives up a release, and logs the engines at which its effect is unknown.
    fn give_up_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.forget(request_id) else {
            return;
        };
        let engines_not_seen_working: Vec<&str> = state
            .engines_not_seen_working()
            .map(|engine| engine.0.as_ref())
            .collect();
        let text = format!(
            "KV state release given up: id={} after {} calls, {} confirmed; \
             engines not seen working since: {engines_not_seen_working:?}",
            state.held.origin, state.release.calls, state.release.confirmations
        );
        let level = if state.release.confirmations > 0 {
            Level::Info
        } else {
            Level::Warn
        };
        outputs.push(Output::log(level, text));
    }

    /// Calls an engine to release a KV state.
    fn begin_release(
        &mut self,
        request_id: RequestId,
        engine: EngineId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(entry) = self.endpoints.engines.get(&engine) else {
            return;
        };
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        let (now, address) = (self.now, entry.endpoint.address.clone());
        (state.release.last_call_at, state.release.calls) = (now, state.release.calls + 1);
        let body = Body::Release(v1::Release {
            state: Some(state.held.id),
            origin: state.held.origin.clone(),
        });
        let purpose = StreamPurpose::Release(ReleaseCall {
            request: request_id,
            begun_at: now,
        });
        let effects = (&mut self.timers, &mut *outputs);
        match self
            .connections
            .open(&engine, &address, purpose, now, &self.settings, effects)
        {
            Ok((connection, stream)) => {
                state.release.open_calls += 1;
                let until =
                    now + self.settings.policy.kv_state_timeout / CONFIRMATION_TIMEOUT_DIVISOR;
                self.timers
                    .set(until, TimerKind::StreamTimeout(connection, stream));
                self.connections.send(connection, stream, body, outputs);
            }
            Err(_) => state.release.called_engines.push(engine),
        }
    }

    /// Handles a release that was withdrawn before it was sent.
    pub(super) fn on_release_withdrawn(&mut self, call: &ReleaseCall) {
        if let Some(state) = self.kv_states.get_mut(call.request) {
            state.release.open_calls = state.release.open_calls.saturating_sub(1);
            self.kv_states.due_releases.insert(call.request);
        }
    }

    /// Handles a release that the called engine did not confirm.
    pub(super) fn on_release_failed(&mut self, engine: EngineId, call: &ReleaseCall) {
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.called_engines.push(engine);
        self.schedule_next_round(call.request);
    }

    /// Handles the confirmation of a release. If the confirmation is conclusive, the record of the KV state is
    /// dropped.
    pub(super) fn on_release_confirmed(
        &mut self,
        engine: &EngineId,
        call: &ReleaseCall,
        outputs: &mut Vec<Output>,
    ) {
        let kv_state_timeout = self.settings.policy.kv_state_timeout;
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.called_engines.clear();
        state.release.round_confirmed = true;
        if !state.is_release_pending() {
            return;
        }
        state.release.confirmations += 1;
        let is_conclusive = state.is_released_by(call, kv_state_timeout);
        if !is_conclusive || self.has_current_attempt(call.request) {
            return self.schedule_next_round(call.request);
        }
        let Some(state) = self.kv_states.forget(call.request) else {
            return;
        };
        let level = if state.had_unacknowledged_end() {
            Level::Info
        } else {
            Level::Debug
        };
        let text = format!(
            "KV state released: id={} through {}, call {}, {:.0} ms after its last attempt ended",
            state.held.origin,
            engine.0,
            state.release.calls,
            self.now - state.release.unblocked_since
        );
        outputs.push(Output::log(level, text));
    }

    /// Schedules the next round once no call of the present round is open.
    fn schedule_next_round(&mut self, request_id: RequestId) {
        let kv_state_timeout = self.settings.policy.kv_state_timeout;
        let Some(state) = self
            .kv_states
            .pending_release(request_id)
            .filter(|state| state.release.open_calls == 0)
        else {
            return;
        };
        let release = &state.release;
        let uses_fast_rounds =
            self.now - release.unblocked_since < FAST_ROUNDS_KV_STATE_TIMEOUTS * kv_state_timeout;
        let wait = match release.round_confirmed {
            // The end of the attempt starts the next round.
            true if self.has_current_attempt(request_id) => return,
            true => {
                let wait_until_conclusive = state
                    .conclusive_from(kv_state_timeout)
                    .map(|at| (at - self.now).max(0.0));
                let repeat_wait = repeat_interval(release.confirmations) * kv_state_timeout;
                wait_until_conclusive.map_or(repeat_wait, |wait_until_conclusive| {
                    wait_until_conclusive.min(repeat_wait)
                })
            }
            false if uses_fast_rounds => kv_state_timeout / FAST_ROUND_DIVISOR,
            false => kv_state_timeout / SLOW_ROUND_DIVISOR,
        };
        if !release.round_confirmed {
            self.kv_states.unconfirmed_releases.insert(request_id);
        }
        self.schedule_release_check(request_id, self.now + wait);
    }

    /// Continues the releases that no engine has confirmed, after an engine has shown that it runs and can pass
    /// them on.
    pub(super) fn retry_unconfirmed_releases(&mut self) {
        let mut unconfirmed_releases = std::mem::take(&mut self.kv_states.unconfirmed_releases);
        self.kv_states
            .due_releases
            .append(&mut unconfirmed_releases);
    }

    /// Schedules the next check of a release for the instant `at`, in milliseconds. Certain events continue the
    /// release earlier.
    pub(super) fn schedule_release_check(&mut self, request_id: RequestId, at: Ms) {
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        state.release.next_check_at = at;
        self.timers.set(at, TimerKind::ReleaseCheck(request_id));
    }

    /// Continues a release when its timer fires, unless the check was postponed in the meantime.
    pub(super) fn on_release_timer(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let is_due = self
            .kv_states
            .pending_release(request_id)
            .is_some_and(|state| state.release.next_check_at <= self.now);
        if is_due {
            self.continue_release(request_id, outputs);
        }
    }

    /// Handles proof that an engine has worked since attempts ended there without a message from it: the engine
    /// knows of these ends now, or will know soon.
    pub(super) fn on_engine_worked(&mut self, engine: &EngineId) {
        let worked_at = self.connections.worked_at(engine);
        for id in self
            .kv_states
            .record_engine_work(engine, worked_at, self.now)
        {
            let state = self
                .kv_states
                .pending_release(id)
                .filter(|state| state.release.confirmations > 1);
            let next = state.map_or(f64::INFINITY, |state| state.release.next_check_at);
            if let Some(at) =
                state.and_then(|state| state.conclusive_from(self.settings.policy.kv_state_timeout))
            {
                self.schedule_release_check(id, at.max(self.now).min(next));
            }
        }
    }
}

/// The interval to the next repeat, in KV state timeouts, after this many inconclusive confirmations.
fn repeat_interval(confirmations: u32) -> f64 {
    match confirmations {
        0 | 1 => FIRST_REPEAT_KV_STATE_TIMEOUTS,
        repeats => {
            REPEAT_KV_STATE_TIMEOUTS
                * 2.0_f64.powi(repeats.saturating_sub(REPEATS_BEFORE_BACKOFF).min(8) as i32)
        }
    }
}
