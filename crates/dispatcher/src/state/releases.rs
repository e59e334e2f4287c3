//! Releases of KV states where any engine passes one on: when a release is sent, repeated and given up.
//!
//! Whether a confirmation counts is up to the record of the KV state (`kv_states.rs`); until one does, the release is sent
//! again. Which engines are asked is in `release_targets.rs`, and when a release waits for an attempt in `release_waits.rs`.
//! Its times are fractions and multiples of the KV state timeout, the setting `kv_state_timeout`, in milliseconds.

use super::kv_states::{Held, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// The KV state timeout divided by this is the time within which an engine has to confirm a release.
pub(super) const CONFIRMATION_TIMEOUT_DIVISOR: f64 = 4.0;
/// The KV state timeout divided by this is the time to the next round where no engine has confirmed: at first.
const NEXT_ROUND_DIVISOR: f64 = 25.0;
/// The same, after [`FAST_ROUNDS_KV_STATE_TIMEOUTS`].
const SLOW_ROUND_DIVISOR: f64 = 4.0;
/// After how many KV state timeouts a release is sent again for the first time that was confirmed and does not count. An engine
/// that hangs may notice the close of its attempt at any time, and the time of the KV state counts from then on.
const FIRST_REPEAT_KV_STATE_TIMEOUTS: f64 = 0.75;
/// After how many KV state timeouts it is sent again after that.
const REPEAT_KV_STATE_TIMEOUTS: f64 = 1.0;
/// After so many repeats each wait is twice the one before.
const REPEATS_BEFORE_BACKOFF: u32 = 10;
/// For so many KV state timeouts rounds follow each other fast; after that it is likely that hardly any engine can be reached.
const FAST_ROUNDS_KV_STATE_TIMEOUTS: f64 = 2.0;
/// For how many KV state timeouts a release is sent again that was confirmed and is not known to have taken effect.
const GIVE_UP_KV_STATE_TIMEOUTS: f64 = 20.0;
/// For how many KV state timeouts a release is sent again that no engine has confirmed.
const GIVE_UP_UNCONFIRMED_KV_STATE_TIMEOUTS: f64 = 120.0;

impl Dispatcher {
    /// The decisions release the KV state of a request.
    pub(super) fn release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self.kv_states.available(request_id).is_none() {
            return;
        }
        if let Some((problem, text)) = self.undelivered_attempt(request_id) {
            let text = format!("state released, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.want_release(request_id, outputs);
        self.forget_finished(request_id);
    }

    /// It is unconfirmed that the current attempt has arrived, though its engine runs: the KV state is released, unless that
    /// attempt waits for it.
    pub(super) fn release_unconfirmed(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if let Some((problem, text)) = self.undelivered_attempt(request_id) {
            let text = format!("release sent, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.kv_states.mark_unconfirmed(request_id, self.now);
    }

    /// The KV state of a request is to be released.
    pub(super) fn want_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self.settings.limits.http1.is_some() {
            self.kv_states.want_release(request_id, self.now);
            self.schedule_held_check(request_id);
        } else if let Some(state) = self.kv_states.forget(request_id) {
            self.release_at_engine_unless_forgotten(state.held, outputs);
        }
    }

    /// A prefill was cancelled or its connection broke: it may have left a KV state at its engine.
    pub(super) fn release_leftover(
        &mut self,
        request_id: RequestId,
        held: Held,
        outputs: &mut Vec<Output>,
    ) {
        if self.settings.limits.http1.is_some() {
            self.kv_states
                .want_leftover_released(request_id, held, self.now);
        } else {
            self.release_at_engine_unless_forgotten(held, outputs);
        }
    }

    /// Releases a KV state at its engine.
    pub(super) fn release_at_engine_unless_forgotten(
        &mut self,
        held: Held,
        outputs: &mut Vec<Output>,
    ) {
        if !fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.release_at_engine(held, outputs);
        }
    }

    /// Continues the releases that are due, once the decisions have taken the present events: only then it is known whether
    /// a request goes on.
    pub(super) fn continue_due_releases(&mut self, outputs: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.kv_states.due_releases) {
            self.continue_release(id, outputs);
        }
    }

    /// Begins the next round of calls to release a KV state, if no call is open and no attempt holds it up.
    pub(super) fn continue_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if fault_injection::is_injected(InjectedFault::ReleaseForgotten) {
            self.kv_states.forget(request_id);
        }
        let Some(state) = self.kv_states.release_wanted(request_id) else {
            return;
        };
        if state.release.open_calls > 0 {
            return;
        }
        if self.is_needed(state) {
            return self.wait_for_attempt(request_id, outputs);
        }
        let lasts = if state.release.confirmations > 0 {
            GIVE_UP_KV_STATE_TIMEOUTS
        } else {
            GIVE_UP_UNCONFIRMED_KV_STATE_TIMEOUTS
        };
        if self.now - state.release.unblocked_since > lasts * self.settings.policy.kv_state_timeout
        {
            return self.give_up_release(request_id, outputs);
        }
        let mut asked_engines = state.release.asked_engines.clone();
        let engines = self.engines_to_ask(state, &mut asked_engines);
        if let Some(state) = self.kv_states.get_mut(request_id) {
            state.release.asked_engines = asked_engines;
            state.release.round_confirmed = false;
        }
        for engine in engines {
            self.begin_release(request_id, engine, outputs);
        }
        self.schedule_next_round(request_id);
    }

    /// A release is not sent again; what is not known of its effect is logged.
    fn give_up_release(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.forget(request_id) else {
            return;
        };
        let unaware_engines: Vec<&str> = state
            .unaware_engines()
            .map(|engine| engine.0.as_ref())
            .collect();
        let text = format!(
            "state not released again: id={} after {} calls, {} confirmed; engines that have not worked since: {unaware_engines:?}",
            state.held.origin, state.release.calls, state.release.confirmations
        );
        let level = if state.release.confirmations > 0 {
            Level::Info
        } else {
            Level::Warn
        };
        outputs.push(Output::log(level, text));
    }

    /// Asks an engine to release a KV state.
    fn begin_release(
        &mut self,
        request_id: RequestId,
        engine: EngineId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(row) = self.endpoints.engines.get(&engine) else {
            return;
        };
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        let (now, address) = (self.now, row.line.address.clone());
        (state.release.last_call_at, state.release.calls) = (now, state.release.calls + 1);
        let body = Body::Release(v1::Release {
            state: Some(state.held.id),
            origin: state.held.origin.clone(),
        });
        let purpose = StreamPurpose::Release(ReleaseCall {
            request: request_id,
            begun_at: now,
        });
        let to = (&mut self.timers, &mut *outputs);
        match self
            .connections
            .open(&engine, &address, purpose, now, &self.settings, to)
        {
            Ok((connection, stream)) => {
                state.release.open_calls += 1;
                let until =
                    now + self.settings.policy.kv_state_timeout / CONFIRMATION_TIMEOUT_DIVISOR;
                self.timers
                    .set(until, Due::StreamTimeout(connection, stream));
                self.connections.send(connection, stream, body, outputs);
            }
            Err(_) => state.release.asked_engines.push(engine),
        }
    }

    /// A call to release a KV state has not gone out.
    pub(super) fn release_unsent(&mut self, call: &ReleaseCall) {
        if let Some(state) = self.kv_states.get_mut(call.request) {
            state.release.open_calls = state.release.open_calls.saturating_sub(1);
            self.kv_states.due_releases.insert(call.request);
        }
    }

    /// A call to release a KV state was not confirmed by the engine that was asked.
    pub(super) fn release_lost(&mut self, asked: EngineId, call: &ReleaseCall) {
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.asked_engines.push(asked);
        self.schedule_next_round(call.request);
    }

    /// An engine has confirmed a release: the record of the KV state ends, if that counts.
    pub(super) fn release_confirmed(
        &mut self,
        asked: &EngineId,
        call: &ReleaseCall,
        outputs: &mut Vec<Output>,
    ) {
        let kv_state_timeout = self.settings.policy.kv_state_timeout;
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.asked_engines.clear();
        state.release.round_confirmed = true;
        if !state.is_release_wanted() {
            return;
        }
        state.release.confirmations += 1;
        let counts = state.is_released_by(call, kv_state_timeout);
        if !counts || self.is_attempted(call.request) {
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
            "state released: id={} by way of {}, call {}, {:.0} ms after its last attempt ended",
            state.held.origin,
            asked.0,
            state.release.calls,
            self.now - state.release.unblocked_since
        );
        outputs.push(Output::log(level, text));
    }

    /// Sets the time of the next round, once no call of this one is under way.
    fn schedule_next_round(&mut self, request_id: RequestId) {
        let kv_state_timeout = self.settings.policy.kv_state_timeout;
        let Some(state) = self
            .kv_states
            .release_wanted(request_id)
            .filter(|state| state.release.open_calls == 0)
        else {
            return;
        };
        let release = &state.release;
        let is_hurried =
            self.now - release.unblocked_since < FAST_ROUNDS_KV_STATE_TIMEOUTS * kv_state_timeout;
        let wait = match release.round_confirmed {
            // The end of the attempt continues it.
            true if self.is_attempted(request_id) => return,
            true => {
                let counts_in = state
                    .counts_from(kv_state_timeout)
                    .map(|at| (at - self.now).max(0.0));
                let usual = repeat_after(release.confirmations) * kv_state_timeout;
                counts_in.map_or(usual, |counts_in| counts_in.min(usual))
            }
            false if is_hurried => kv_state_timeout / NEXT_ROUND_DIVISOR,
            false => kv_state_timeout / SLOW_ROUND_DIVISOR,
        };
        if !release.round_confirmed {
            self.kv_states.unconfirmed_releases.insert(request_id);
        }
        self.schedule_release_check(request_id, self.now + wait);
    }

    /// An engine has shown that it runs: it can pass on the releases that no engine has confirmed.
    pub(super) fn wake_unconfirmed_releases(&mut self) {
        let mut unconfirmed_releases = std::mem::take(&mut self.kv_states.unconfirmed_releases);
        self.kv_states
            .due_releases
            .append(&mut unconfirmed_releases);
    }

    /// Has a release continued at an instant, in milliseconds, and not before unless something happens.
    pub(super) fn schedule_release_check(&mut self, request_id: RequestId, at: Ms) {
        let Some(state) = self.kv_states.get_mut(request_id) else {
            return;
        };
        state.release.next_check_at = at;
        self.timers.set(at, Due::ReleaseCheck(request_id));
    }

    /// A release may be due, unless it was put off meanwhile.
    pub(super) fn on_release_timer(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let is_due = self
            .kv_states
            .release_wanted(request_id)
            .is_some_and(|state| state.release.next_check_at <= self.now);
        if is_due {
            self.continue_release(request_id, outputs);
        }
    }

    /// An engine has worked since attempts there ended without a message of it: it knows of their ends now, or soon will.
    pub(super) fn note_engine_worked(&mut self, engine: &EngineId) {
        let worked = self.connections.worked_at(engine);
        for id in self.kv_states.engine_worked(engine, worked, self.now) {
            let state = self
                .kv_states
                .release_wanted(id)
                .filter(|state| state.release.confirmations > 1);
            let next = state.map_or(f64::INFINITY, |state| state.release.next_check_at);
            if let Some(at) =
                state.and_then(|state| state.counts_from(self.settings.policy.kv_state_timeout))
            {
                self.schedule_release_check(id, at.max(self.now).min(next));
            }
        }
    }
}

/// After how many KV state timeouts a release is sent again that was confirmed so often by calls that do not count.
fn repeat_after(confirmations: u32) -> f64 {
    match confirmations {
        0 | 1 => FIRST_REPEAT_KV_STATE_TIMEOUTS,
        many => {
            REPEAT_KV_STATE_TIMEOUTS
                * 2.0_f64.powi(many.saturating_sub(REPEATS_BEFORE_BACKOFF).min(8) as i32)
        }
    }
}
