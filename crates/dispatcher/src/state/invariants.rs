//! The invariants that no decision may break, whatever led to it. Each is held by one guard, which stops what would break
//! it, counts it, and says so in the log.
//!
//! The guards go by the dispatcher's own record of what was sent and how it ended, not by what the decisions assume.

use super::requests::PossibleRun;
use super::*;
use std::fmt;

/// What has to hold, whatever the decisions are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// An attempt goes to an engine that is in service.
    Send,
    /// What may have run runs again only where its request class allows.
    Repeat,
    /// A request is rejected, which says that a retry is safe, only if it is.
    Close,
    /// An attempt begins for a request that is open, one at a time, in time, and within the number allowed.
    Start,
    /// A KV state that no attempt has reached is taken or released in time, and a release is sent again once an attempt is
    /// over that may have kept it from taking effect.
    Hold,
}

/// A KV state may be held so much longer than the settings say (the platform's protocol).
const HELD_STATE_TOLERANCE_MS: Ms = 300.0;
/// The part of that tolerance after which the guard acts; the rest is left for the release to reach the engine.
const HELD_STATE_TOLERANCE_DIVISOR: f64 = 2.0;

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

/// How often each invariant was checked, and how often a guard had to stop something.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    /// Checks, by invariant.
    pub checked: BTreeMap<Invariant, u64>,
    /// Violations, by invariant.
    pub violated: BTreeMap<Invariant, u64>,
}

impl Dispatcher {
    /// How often the invariants were checked and violated, since the start.
    pub fn invariant_counts(&self) -> &InvariantCounts {
        &self.invariant_counts
    }

    /// Whether an attempt of a request may go to an engine now. `is_prefill`: it prefills only, which has no effect
    /// outside the engine.
    ///
    /// Guards against an attempt for a request that is over, at an engine that is not in service, or of what may have run and
    /// must not run twice, which shows as an effect that happens twice: such an attempt ends as not sent.
    pub(super) fn may_start_attempt(
        &mut self,
        request_id: RequestId,
        engine: &EngineId,
        is_prefill: bool,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(&request_id) else {
            return false;
        };
        let starts = !request.answered
            && request.current_attempt.is_none()
            && request.attempts <= self.settings.policy.max_attempts
            && self.now <= request.deadline;
        let sends = self.endpoints.status(engine) == EndpointStatus::Ready;
        let repeats = is_prefill || self.may_run_at(request, engine);
        let checks = [
            (Invariant::Start, starts),
            (Invariant::Send, sends),
            (Invariant::Repeat, repeats),
        ];
        checks.into_iter().fold(true, |good, (invariant, holds)| {
            self.check(invariant, holds, request_id, engine.0.as_ref(), outputs) && good
        })
    }

    /// Whether a request may be rejected, which says that a retry is safe.
    ///
    /// Guards against a client that repeats what has run, which shows as an effect that happens twice: a request of which
    /// an attempt may have run fails instead, unless its request class allows a repeat anywhere.
    pub(super) fn may_reject(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) -> bool {
        let Some(request) = self.requests.get(&request_id) else {
            return true;
        };
        let decodes = request
            .current_attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.is_prefill);
        let may_have_run = decodes || request.first_possible_run.is_some();
        let retry_is_safe = match request.retry_safety {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            } => true,
            RetrySafety::IdempotencyKey { .. } | RetrySafety::AtMostOnce => !may_have_run,
        };
        self.check(
            Invariant::Close,
            retry_is_safe,
            request_id,
            "refused",
            outputs,
        )
    }

    /// Has the guard check the KV state of a request once it has to be taken or released.
    pub(super) fn schedule_held_check(&mut self, request_id: RequestId) {
        if self.settings.limits.http1.is_some() && self.kv_states.get(request_id).is_some() {
            self.timers.set(
                self.now + self.max_held_duration(),
                Due::HeldStateCheck(request_id),
            );
        }
    }

    fn max_held_duration(&self) -> Ms {
        self.settings.policy.kv_state_timeout
            + HELD_STATE_TOLERANCE_MS / HELD_STATE_TOLERANCE_DIVISOR
    }

    /// Guards against a KV state that the decisions have left, or whose release was forgotten, which shows as memory that
    /// stays pinned at its engine: it is released at the end of its time.
    pub(super) fn check_held_state(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get(request_id) else {
            return;
        };
        let attempt = self.current_attempt(request_id);
        if attempt.is_some_and(|attempt| state.is_release_wanted() || self.has_arrived(attempt)) {
            return self.schedule_held_check(request_id);
        }
        let is_available = state.is_available();
        let (from, was_sent_since) = match is_available {
            true => (state.held_since, false),
            false => (
                state.release.unblocked_since,
                state.release.last_call_at >= state.release.unblocked_since,
            ),
        };
        let due = from + self.max_held_duration();
        if was_sent_since {
            return;
        }
        if self.now < due {
            return self.timers.set(due, Due::HeldStateCheck(request_id));
        }
        let engine = state.held.engine.0.to_string();
        self.check(Invariant::Hold, false, request_id, &engine, outputs);
        match is_available {
            true => self.release(request_id, outputs),
            false => self.continue_release(request_id, outputs),
        }
    }

    /// Notes that the current attempt of a request may have run, if its end leaves that open.
    pub(super) fn note_possible_run(&mut self, request_id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request
            .current_attempt
            .as_ref()
            .filter(|attempt| !attempt.is_prefill)
        else {
            return;
        };
        let leaves_open = [
            Outcome::Failed,
            Outcome::TimedOut,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
        ];
        if request.first_possible_run.is_none() && leaves_open.contains(&outcome) {
            let line = self
                .endpoints
                .engines
                .get(&attempt.engine)
                .map(|row| &row.line);
            let (zone, cell) = line
                .map(|line| (line.zone.clone(), line.cell.clone()))
                .unwrap_or_default();
            request.first_possible_run = Some(PossibleRun {
                zone,
                cell,
                at: attempt.started_at,
            });
        }
    }

    /// Whether a request may run at an engine, by what may have run before and how far its idempotency key holds.
    fn may_run_at(&self, request: &Request, engine: &EngineId) -> bool {
        let (Some(first), Some(row)) = (
            &request.first_possible_run,
            self.endpoints.engines.get(engine),
        ) else {
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

    /// Counts a check; a violation is logged. Gives whether the invariant holds.
    fn check(
        &mut self,
        invariant: Invariant,
        holds: bool,
        request_id: RequestId,
        what: &str,
        outputs: &mut Vec<Output>,
    ) -> bool {
        *self.invariant_counts.checked.entry(invariant).or_insert(0) += 1;
        if !holds {
            *self.invariant_counts.violated.entry(invariant).or_insert(0) += 1;
            let origin = self
                .requests
                .get(&request_id)
                .map(Request::origin)
                .unwrap_or_default();
            let text = format!(
                "invariant violated: {invariant}; request={} id={origin} at {what}",
                request_id.0
            );
            outputs.push(Output::log(Level::Warn, text));
        }
        holds
    }
}
