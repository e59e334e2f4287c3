//! Releases of KV states over HTTP/1: when a release is sent, repeated and given up. Over HTTP/1 a release names a
//! request, and may be sent to any engine, which passes it on to the engine that holds the KV state.
//!
//! A release is sent in rounds. A round consists of one or more parallel calls to different engines. A confirmation
//! is conclusive if it proves that the KV state is released, which the record of the KV state decides
//! (`kv_states.rs`). The release is repeated until a confirmation is conclusive. `release_targets.rs` selects the
//! engines to call, and `release_waits.rs` decides when a release waits for an attempt. All waits are fractions or
//! multiples of the KV state timeout, the setting `kv_state_timeout` in milliseconds.

use super::kv_states::{HeldState, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// An engine must confirm a release within the KV state timeout divided by this.
pub(super) const CONFIRMATION_TIMEOUT_DIVISOR: f64 = 4.0;
/// After release calls that no engine has confirmed, the next calls follow after the KV state timeout divided by
/// this. Applies in the initial retry period, [`INITIAL_RETRY_PERIOD_KV_STATE_TIMEOUTS`].
const INITIAL_RETRY_INTERVAL_DIVISOR: f64 = 25.0;
/// Replaces [`INITIAL_RETRY_INTERVAL_DIVISOR`] after the initial retry period, so that unconfirmed release calls
/// are repeated less often.
const LATER_RETRY_INTERVAL_DIVISOR: f64 = 4.0;
/// A release whose first confirmation does not prove that the KV state is released is repeated after this many KV
/// state timeouts. A hanging engine may notice at any time that its attempt was closed, and its KV state timeout
/// counts from then on.
const FIRST_REPEAT_DELAY_KV_STATE_TIMEOUTS: f64 = 0.75;
/// The interval between the further repeats of a release, in KV state timeouts.
const REPEAT_INTERVAL_KV_STATE_TIMEOUTS: f64 = 1.0;
/// After this many confirmations that do not prove that the KV state is released, the interval doubles with each
/// repeat of the release.
const CONFIRMATIONS_BEFORE_BACKOFF: u32 = 10;
/// The length of the initial retry period, in which an unconfirmed release is retried at short intervals, in KV
/// state timeouts. If the release is still unconfirmed after it, hardly any engine can be reached.
const INITIAL_RETRY_PERIOD_KV_STATE_TIMEOUTS: f64 = 2.0;
/// A release is given up after this many KV state timeouts if engines have confirmed it, but no confirmation proves
/// that the KV state is released.
const MAX_CONFIRMED_RELEASE_AGE_KV_STATE_TIMEOUTS: f64 = 20.0;
/// A release is given up after this many KV state timeouts if no engine has confirmed it.
const MAX_UNCONFIRMED_RELEASE_AGE_KV_STATE_TIMEOUTS: f64 = 120.0;

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
        self.remove_finished_request(request_id);
    }

    /// Releases the KV state of a request, at the request of `Control`, unless the current attempt needs the state.
    /// The attempt's engine runs, but it is not known whether the attempt has reached the engine.
    pub(super) fn release_if_not_needed(
        &mut self,
        request_id: RequestId,
        outputs: &mut Vec<Output>,
    ) {
        if let Some((problem, text)) = self.undelivered_attempt(request_id) {
            let text = format!("KV state release sent, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.kv_states
            .request_unconfirmed_release(request_id, self.now);
    }

    /// Requests the release of a request's KV state. Over HTTP/1 the release is sent once the current input is
    /// handled; otherwise it is sent to the engine that holds the state.
    pub(super) fn request_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self.settings.limits.http1.is_some() {
            self.kv_states.request_release(request_id, self.now);
            self.schedule_held_state_check(request_id);
        } else if let Some(state) = self.kv_states.remove(request_id) {
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

    /// Releases a KV state over a multiplexed connection to the engine that holds it.
    pub(super) fn release_at_engine(&mut self, held: HeldState, outputs: &mut Vec<Output>) {
        if !fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.enqueue_engine_release(held, outputs);
        }
    }

    /// Continues the releases that are due. This runs after `Control` has handled the pending events, because only
    /// then is it known whether a request continues.
    pub(super) fn continue_due_releases(&mut self, outputs: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.kv_states.due_releases) {
            self.continue_release(id, outputs);
        }
    }

    /// Starts the next round of calls to release a KV state, unless a call is open or the release must wait for
    /// an attempt.
    pub(super) fn continue_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.kv_states.remove(request_id);
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
        let max_age = if state.release.confirmations > 0 {
            MAX_CONFIRMED_RELEASE_AGE_KV_STATE_TIMEOUTS
        } else {
            MAX_UNCONFIRMED_RELEASE_AGE_KV_STATE_TIMEOUTS
        };
        if self.now - state.release.unblocked_since
            > max_age * self.settings.policy.kv_state_timeout
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
            self.begin_release_call(request_id, engine, outputs);
        }
        self.schedule_next_round(request_id);
    }

    /// Gives up a release, and logs the engines at which it possibly had no effect.
    fn give_up_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.remove(request_id) else {
            return;
        };
        let engines_with_unconfirmed_end: Vec<&str> = state
            .engines_with_unconfirmed_end()
            .map(|engine| engine.0.as_ref())
            .collect();
        let text = format!(
            "KV state release given up: id={} after {} calls, {} confirmed; \
             engines not known to work since an attempt ended there: {engines_with_unconfirmed_end:?}",
            state.held.origin, state.release.calls, state.release.confirmations
        );
        let level = if state.release.confirmations > 0 {
            Level::Info
        } else {
            Level::Warn
        };
        outputs.push(Output::log(level, text));
    }

    /// Sends an engine a call to release the KV state of a request.
    fn begin_release_call(
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

    /// Handles a release call that was withdrawn before it was sent.
    pub(super) fn on_release_withdrawn(&mut self, call: &ReleaseCall) {
        if let Some(state) = self.kv_states.get_mut(call.request) {
            state.release.open_calls = state.release.open_calls.saturating_sub(1);
            self.kv_states.due_releases.insert(call.request);
        }
    }

    /// Handles a release call that the called engine did not confirm.
    pub(super) fn on_release_failed(&mut self, engine: EngineId, call: &ReleaseCall) {
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.called_engines.push(engine);
        self.schedule_next_round(call.request);
    }

    /// Handles the confirmation of a release call. If it proves that the KV state is released, the record of the KV
    /// state is dropped. Otherwise the release is repeated later.
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
        let Some(state) = self.kv_states.remove(call.request) else {
            return;
        };
        let level = if state.had_unacknowledged_attempt_end() {
            Level::Info
        } else {
            Level::Debug
        };
        let text = format!(
            "KV state released: id={} confirmed by {}, call {}, {:.0} ms after its last attempt ended",
            state.held.origin,
            engine.0,
            state.release.calls,
            self.now - state.release.unblocked_since
        );
        outputs.push(Output::log(level, text));
    }

    /// Schedules the next round of release calls, once no call of the current round is open.
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
        let is_in_initial_period = self.now - release.unblocked_since
            < INITIAL_RETRY_PERIOD_KV_STATE_TIMEOUTS * kv_state_timeout;
        let delay = match release.round_confirmed {
            // The end of the current attempt starts the next round.
            true if self.has_current_attempt(request_id) => return,
            true => {
                let wait_until_conclusive = state
                    .release_conclusive_from(kv_state_timeout)
                    .map(|at| (at - self.now).max(0.0));
                let repeat_wait = repeat_interval(release.confirmations) * kv_state_timeout;
                wait_until_conclusive.map_or(repeat_wait, |wait_until_conclusive| {
                    wait_until_conclusive.min(repeat_wait)
                })
            }
            false if is_in_initial_period => kv_state_timeout / INITIAL_RETRY_INTERVAL_DIVISOR,
            false => kv_state_timeout / LATER_RETRY_INTERVAL_DIVISOR,
        };
        if !release.round_confirmed {
            self.kv_states.unconfirmed_releases.insert(request_id);
        }
        self.schedule_release_check(request_id, self.now + delay);
    }

    /// Continues the releases that no engine has confirmed, after a message from an engine. The engine runs, so it
    /// can pass a release on to the engine that holds the KV state.
    pub(super) fn retry_unconfirmed_releases(&mut self) {
        let mut unconfirmed_releases = std::mem::take(&mut self.kv_states.unconfirmed_releases);
        self.kv_states
            .due_releases
            .append(&mut unconfirmed_releases);
    }

    /// Schedules the next check of a release for the instant `at`, in milliseconds. A message from an engine or the
    /// end of an attempt may continue the release earlier.
    pub(super) fn schedule_release_check(&mut self, request_id: RequestId, at: Ms) {
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        state.release.next_check_at = at;
        self.timers.set(at, TimerKind::ReleaseCheck(request_id));
    }

    /// Continues a release when its timer fires, unless a later check was scheduled in the meantime.
    pub(super) fn on_release_timer(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let is_due = self
            .kv_states
            .pending_release(request_id)
            .is_some_and(|state| state.release.next_check_at <= self.now);
        if is_due {
            self.continue_release(request_id, outputs);
        }
    }

    /// Handles a message that proves that an engine works on attempts. If earlier attempts ended without a message
    /// from the engine, it knows of their end now, or will know soon.
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
            if let Some(at) = state.and_then(|state| {
                state.release_conclusive_from(self.settings.policy.kv_state_timeout)
            }) {
                self.schedule_release_check(id, at.max(self.now).min(next));
            }
        }
    }
}

/// The interval to the next repeat of a release, in KV state timeouts. `confirmations` is the number of
/// confirmations so far, none of which proves that the KV state is released.
fn repeat_interval(confirmations: u32) -> f64 {
    match confirmations {
        0 | 1 => FIRST_REPEAT_DELAY_KV_STATE_TIMEOUTS,
        count => {
            REPEAT_INTERVAL_KV_STATE_TIMEOUTS
                * 2.0_f64.powi(count.saturating_sub(CONFIRMATIONS_BEFORE_BACKOFF).min(8) as i32)
        }
    }
}
