//! Releases of KV states where any engine passes one on: when a release goes out, and which engines are asked next.
//!
//! Whether a confirmed one counts, the state's record tells (`kv_states.rs`). Until then it is sent again.

use super::kv_states::{Held, ReleaseCall};
use super::stream_purpose::StreamPurpose;
use super::*;

/// The part of the release time within which an engine has to confirm a release, and the part that passes before the next
/// round where none has: first, and later.
pub(super) const CONFIRM_PART: f64 = 4.0;
const NEXT_ROUND_PART: f64 = 25.0;
const SLOW_ROUND_PART: f64 = 4.0;
/// Where a release was confirmed that does not count: in release times, when it is sent again for the first time, and how often
/// after that. An engine that hangs may notice the close of its attempt at any time, and the state's time counts from then
/// on. After some repeats the wait doubles.
const FIRST_REPEAT: f64 = 0.75;
const REPEAT: f64 = 1.0;
const EVEN_REPEATS: u32 = 10;
/// For so many release times the next round comes soon; then it is likely that hardly any engine can be reached.
const HURRIED_FOR: f64 = 2.0;
/// For how many release times a release is sent again that was confirmed and is not known to have taken effect, and one that
/// nobody has confirmed.
const GIVE_UP_AFTER: f64 = 20.0;
const GIVE_UP_UNCONFIRMED_AFTER: f64 = 120.0;

impl Dispatcher {
    /// The decisions let the state go that is held for a request.
    pub(super) fn release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.kv_states.on_offer(id).is_none() {
            return;
        }
        if let Some((doubt, text)) = self.doubt(id) {
            let text = format!("state released, {doubt}: {text}");
            out.push(Output::Log {
                level: Level::Info,
                text,
            });
        }
        self.want_release(id, out);
        self.forget_past(id);
    }

    /// The decisions doubt that the attempt which is out has arrived, though its engine runs: what is held is let go, unless that
    /// attempt waits for it.
    pub(super) fn release_in_doubt(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some((doubt, text)) = self.doubt(id) {
            let text = format!("release sent, {doubt}: {text}");
            out.push(Output::Log {
                level: Level::Info,
                text,
            });
        }
        self.kv_states.doubt(id, self.now);
    }

    pub(super) fn want_release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.settings.limits.single.is_some() {
            self.kv_states.want_release(id, self.now);
            self.arm_guard(id);
        } else if let Some(state) = self.kv_states.forget(id) {
            self.release_unless_planted(state.held, out);
        }
    }

    /// A prefill was cut off: it may have ended at its engine, with nobody left to hear of it.
    pub(super) fn release_leftover(&mut self, id: RequestId, held: Held, out: &mut Vec<Output>) {
        if self.settings.limits.single.is_some() {
            self.kv_states.want_leftover_released(id, held, self.now);
        } else {
            self.release_unless_planted(held, out);
        }
    }

    pub(super) fn release_unless_planted(&mut self, held: Held, out: &mut Vec<Output>) {
        if !fault_injection::is(Plant::ReleaseForgotten) {
            self.release_at_engine(held, out);
        }
    }

    /// Looks at the releases that have come up, once the decisions have dealt with what happened: only then it is known
    /// whether a request goes on.
    pub(super) fn look_at_due_releases(&mut self, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.kv_states.due) {
            self.look_at_release(id, out);
        }
    }

    /// Begins the next round of calls to release a state, if it is time.
    pub(super) fn look_at_release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if fault_injection::is(Plant::ReleaseForgotten) {
            self.kv_states.forget(id);
        }
        let Some(state) = self.kv_states.to_release(id) else {
            return;
        };
        if state.release.open_calls > 0 {
            return;
        }
        if self.is_needed(state) {
            return self.wait_for_attempt(id, out);
        }
        let lasts = if state.release.confirmed > 0 {
            GIVE_UP_AFTER
        } else {
            GIVE_UP_UNCONFIRMED_AFTER
        };
        if self.now - state.release.since > lasts * self.settings.policy.kv_state_timeout {
            return self.give_up_release(id, out);
        }
        let mut unconfirmed = state.release.unconfirmed.clone();
        let engines = self.engines_to_ask(state, &mut unconfirmed);
        if let Some(state) = self.kv_states.get_mut(id) {
            state.release.unconfirmed = unconfirmed;
            state.release.round_confirmed = false;
        }
        for engine in engines {
            self.begin_release(id, engine, out);
        }
        self.plan_next_round(id);
    }

    fn give_up_release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(state) = self.kv_states.forget(id) else {
            return;
        };
        let unknowing: Vec<&str> = state.unknowing().map(|engine| engine.0.as_ref()).collect();
        let text = format!(
            "state not released again: id={} after {} calls, {} confirmed; engines that have not worked since: {unknowing:?}",
            state.held.origin, state.release.calls, state.release.confirmed
        );
        let level = if state.release.confirmed > 0 {
            Level::Info
        } else {
            Level::Warn
        };
        out.push(Output::Log { level, text });
    }

    fn begin_release(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Output>) {
        let Some(row) = self.endpoints.engines.get(&engine) else {
            return;
        };
        let Some(state) = self.kv_states.get_mut(id) else {
            return;
        };
        let (now, address) = (self.now, row.line.address.clone());
        (state.release.last_begun, state.release.calls) = (now, state.release.calls + 1);
        let body = Body::Release(v1::Release {
            state: Some(state.held.id),
            origin: state.held.origin.clone(),
        });
        let purpose = StreamPurpose::Release(ReleaseCall {
            request: id,
            begun: now,
        });
        let to = (&mut self.timers, &mut *out);
        match self
            .connections
            .open(&engine, &address, purpose, now, &self.settings, to)
        {
            Ok((connection, stream)) => {
                state.release.open_calls += 1;
                let until = now + self.settings.policy.kv_state_timeout / CONFIRM_PART;
                self.timers.set(until, Due::Past(connection, stream));
                self.connections.send(connection, stream, body, out);
            }
            Err(_) => state.release.unconfirmed.push(engine),
        }
    }

    /// A call to release a state has not gone out.
    pub(super) fn release_unsent(&mut self, call: &ReleaseCall) {
        if let Some(state) = self.kv_states.get_mut(call.request) {
            state.release.open_calls = state.release.open_calls.saturating_sub(1);
            self.kv_states.due.insert(call.request);
        }
    }

    /// A call to release a state was not confirmed by the engine that was asked.
    pub(super) fn release_lost(&mut self, asked: EngineId, call: &ReleaseCall) {
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.unconfirmed.push(asked);
        self.plan_next_round(call.request);
    }

    /// An engine has confirmed a release: the state's record is over, if that counts.
    pub(super) fn release_confirmed(
        &mut self,
        asked: &EngineId,
        call: &ReleaseCall,
        out: &mut Vec<Output>,
    ) {
        let release_time = self.settings.policy.kv_state_timeout;
        let Some(state) = self.kv_states.get_mut(call.request) else {
            return;
        };
        state.release.open_calls = state.release.open_calls.saturating_sub(1);
        state.release.unconfirmed.clear();
        state.release.round_confirmed = true;
        if !state.is_to_release() {
            return;
        }
        state.release.confirmed += 1;
        let counts = state.is_released_by(call, release_time);
        if !counts || self.is_attempted(call.request) {
            return self.plan_next_round(call.request);
        }
        let Some(state) = self.kv_states.forget(call.request) else {
            return;
        };
        let level = if state.was_in_doubt() {
            Level::Info
        } else {
            Level::Debug
        };
        let text = format!(
            "state released: id={} by way of {}, call {}, {:.0} ms after its last attempt ended",
            state.held.origin,
            asked.0,
            state.release.calls,
            self.now - state.release.since
        );
        out.push(Output::Log { level, text });
    }

    /// Sets the time of the next round, once no call of this one is under way.
    fn plan_next_round(&mut self, id: RequestId) {
        let release_time = self.settings.policy.kv_state_timeout;
        let Some(state) = self
            .kv_states
            .to_release(id)
            .filter(|state| state.release.open_calls == 0)
        else {
            return;
        };
        let release = &state.release;
        let is_hurried = self.now - release.since < HURRIED_FOR * release_time;
        let wait = match release.round_confirmed {
            // The end of the attempt brings it up again.
            true if self.is_attempted(id) => return,
            true => {
                let counts_in = state
                    .counts_from(release_time)
                    .map(|at| (at - self.now).max(0.0));
                let usual = repeat_after(release.confirmed) * release_time;
                counts_in.map_or(usual, |counts_in| counts_in.min(usual))
            }
            false if is_hurried => release_time / NEXT_ROUND_PART,
            false => release_time / SLOW_ROUND_PART,
        };
        if !release.round_confirmed {
            self.kv_states.stuck.insert(id);
        }
        self.look_again(id, self.now + wait);
    }

    /// An engine has shown that it runs: it passes on the releases that nobody has confirmed.
    pub(super) fn note_engine_ran(&mut self) {
        let mut stuck = std::mem::take(&mut self.kv_states.stuck);
        self.kv_states.due.append(&mut stuck);
    }

    /// Has a release looked at at an instant, and not before.
    pub(super) fn look_again(&mut self, id: RequestId, at: Ms) {
        let Some(state) = self.kv_states.get_mut(id) else {
            return;
        };
        state.release.next_look = at;
        self.timers.set(at, Due::KvState(id));
    }

    /// The time has come at which a release was to be looked at, unless it was put off meanwhile.
    pub(super) fn end_wait(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let is_due = self
            .kv_states
            .to_release(id)
            .is_some_and(|state| state.release.next_look <= self.now);
        if is_due {
            self.look_at_release(id, out);
        }
    }

    /// An engine has worked since attempts there ended without its word: it knows of their ends now, or will in a moment.
    pub(super) fn note_engine_worked(&mut self, engine: &EngineId) {
        let worked = self.connections.worked_at(engine);
        for id in self.kv_states.engine_worked(engine, worked, self.now) {
            let state = self
                .kv_states
                .to_release(id)
                .filter(|state| state.release.confirmed > 1);
            let next = state.map_or(f64::INFINITY, |state| state.release.next_look);
            if let Some(at) =
                state.and_then(|state| state.counts_from(self.settings.policy.kv_state_timeout))
            {
                self.look_again(id, at.max(self.now).min(next));
            }
        }
    }
}

/// In release times: when a release is sent again that was confirmed so often, and does not count.
fn repeat_after(confirmed: u32) -> f64 {
    match confirmed {
        0 | 1 => FIRST_REPEAT,
        many => REPEAT * 2.0_f64.powi(many.saturating_sub(EVEN_REPEATS).min(8) as i32),
    }
}
