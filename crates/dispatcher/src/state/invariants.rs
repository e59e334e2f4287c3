//! The invariants that no decision may break, whatever led to it. Each is held by one guard, which stops what would break
//! it, counts it, and says so in the log.
//!
//! The guards know by the ledger's own record what was sent and how it ended, not by what the decisions believe.

use super::*;
use std::fmt;

/// What has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// An attempt goes to an engine that is in service.
    Send,
    /// What may have run runs again only where its class allows.
    Repeat,
    /// A request is refused as harmless to try again only if it is.
    Close,
    /// An attempt begins for a request that is open, one at a time, in time, and within the number allowed.
    Start,
    /// A KV state that no attempt has reached is taken or released in time, and a release is sent anew once an attempt is over
    /// that may have kept it from taking effect.
    Hold,
}

/// What is held may be held so much longer than the settings say (the platform's protocol): the guard leaves half of it for
/// the release to get through.
const HELD_EXTRA: Ms = 300.0;
const HELD_PART: f64 = 2.0;

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::Send => "send",
            Invariant::Repeat => "repeat",
            Invariant::Close => "close",
            Invariant::Start => "start",
            Invariant::Hold => "hold",
        })
    }
}

/// How often each invariant was looked at, and how often a guard had to stop something.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guarded {
    pub checked: BTreeMap<Invariant, u64>,
    pub violated: BTreeMap<Invariant, u64>,
}

/// The first attempt of a request that may have run: where and when it was sent.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FirstRun {
    zone: String,
    cell: String,
    at: Ms,
}

impl Dispatcher {
    /// How often the invariants were looked at, and violated.
    pub fn guarded(&self) -> &Guarded {
        &self.guarded
    }

    /// Tells whether an attempt of a request may go to an engine now. `reading`: it prefills only, which has no effect.
    pub(super) fn guard_attempt(
        &mut self,
        id: RequestId,
        engine: &EngineId,
        reading: bool,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let starts = !request.answered
            && request.out.is_none()
            && request.attempts <= self.settings.policy.max_attempts
            && self.now <= request.ends;
        let sends = self.endpoints.status(engine) == EndpointStatus::Ready;
        let repeats = reading || self.may_run_at(request, engine);
        let checks = [
            (Invariant::Start, starts),
            (Invariant::Send, sends),
            (Invariant::Repeat, repeats),
        ];
        checks.into_iter().fold(true, |good, (invariant, holds)| {
            self.check(invariant, holds, id, engine.0.as_ref(), out) && good
        })
    }

    /// Tells whether a request may be refused with the word that trying again is harmless.
    pub(super) fn guard_refusal(&mut self, id: RequestId, out: &mut Vec<Output>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        let decodes = request.out.as_ref().is_some_and(|attempt| !attempt.reading);
        let may_have_run = decodes || request.first_run.is_some();
        let harmless = match request.retry_safety {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            } => true,
            RetrySafety::IdempotencyKey { .. } | RetrySafety::AtMostOnce => !may_have_run,
        };
        self.check(Invariant::Close, harmless, id, "refused", out)
    }

    /// Has the guard look at what is held for a request once it ought to be taken or released.
    pub(super) fn arm_guard(&mut self, id: RequestId) {
        if self.settings.limits.http1.is_some() && self.kv_states.get(id).is_some() {
            self.timers
                .set(self.now + self.held_at_most(), Due::Held(id));
        }
    }

    fn held_at_most(&self) -> Ms {
        self.settings.policy.kv_state_timeout + HELD_EXTRA / HELD_PART
    }

    /// Sees to it that a state is released which the decisions have left, or whose release was forgotten.
    pub(super) fn guard_held(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get(id) else {
            return;
        };
        let attempt = self
            .requests
            .get(&id)
            .and_then(|request| request.out.as_ref());
        if attempt.is_some_and(|attempt| state.is_to_release() || self.has_arrived(attempt)) {
            return self.arm_guard(id);
        }
        let is_on_offer = state.is_on_offer();
        let (from, is_on_its_way) = match is_on_offer {
            true => (state.held_since, false),
            false => (
                state.release.since,
                state.release.last_begun >= state.release.since,
            ),
        };
        let due = from + self.held_at_most();
        if is_on_its_way {
            return;
        }
        if self.now < due {
            return self.timers.set(due, Due::Held(id));
        }
        let engine = state.held.engine.0.to_string();
        self.check(Invariant::Hold, false, id, &engine, out);
        match is_on_offer {
            true => self.release(id, out),
            false => self.look_at_release(id, out),
        }
    }

    /// Notes that the attempt of a request that is out may have run, if its end leaves that open.
    pub(super) fn note_run(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.out.as_ref().filter(|attempt| !attempt.reading) else {
            return;
        };
        let open = [
            Outcome::Failed,
            Outcome::TimedOut,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
        ];
        if request.first_run.is_none() && open.contains(&outcome) {
            let line = self
                .endpoints
                .engines
                .get(&attempt.engine)
                .map(|row| &row.line);
            let (zone, cell) = line
                .map(|line| (line.zone.clone(), line.cell.clone()))
                .unwrap_or_default();
            request.first_run = Some(FirstRun {
                zone,
                cell,
                at: attempt.since,
            });
        }
    }

    /// Whether a request's effect lets it run at an engine, by what may have run before.
    fn may_run_at(&self, request: &Request, engine: &EngineId) -> bool {
        let (Some(first), Some(row)) = (&request.first_run, self.endpoints.engines.get(engine))
        else {
            return true;
        };
        match request.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => false,
            RetrySafety::IdempotencyKey { window, .. } if self.now >= first.at + window => false,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            } => true,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Zone,
                ..
            } => first.zone == row.line.zone,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Cell,
                ..
            } => (&first.zone, &first.cell) == (&row.line.zone, &row.line.cell),
        }
    }

    fn check(
        &mut self,
        invariant: Invariant,
        holds: bool,
        id: RequestId,
        what: &str,
        out: &mut Vec<Output>,
    ) -> bool {
        *self.guarded.checked.entry(invariant).or_insert(0) += 1;
        if !holds {
            *self.guarded.violated.entry(invariant).or_insert(0) += 1;
            let origin = self
                .requests
                .get(&id)
                .map(Request::origin)
                .unwrap_or_default();
            let text = format!(
                "invariant violated: {invariant}; task={} id={origin} at {what}",
                id.0
            );
            out.push(Output::Log {
                level: Level::Warn,
                text,
            });
        }
        holds
    }
}
