//! The invariants that hold whatever the routing logic decides. Each invariant has a guard that prevents, counts
//! and logs violations.
//!
//! The guards rely on the dispatcher's own record of what was sent and how it ended, not on the state of the
//! routing logic.

use super::requests::PossibleRun;
use super::*;
use std::fmt;

/// A condition that must hold whatever the routing logic decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Attempts are sent only to engines that are in service.
    Send,
    /// A request that may have run runs again only if its request class allows that.
    Repeat,
    /// A request is rejected, which tells the client that a retry is safe, only if a retry is safe.
    Close,
    /// An attempt starts only for an open request, one at a time, before the deadline, and within the maximum
    /// number of attempts.
    Start,
    /// A KV state that no attempt has reached is taken or released in time. If an attempt may have kept a release
    /// from taking effect, the release is repeated after the end of the attempt.
    Hold,
}

/// The platform's protocol allows a KV state to be held this much longer than the KV state timeout.
const HELD_STATE_TOLERANCE_MS: Ms = 300.0;
/// A KV state is released when it was held for longer than the KV state timeout plus the tolerance divided by this.
/// The rest of the tolerance is left for the release to reach the engine.
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

/// How often each invariant was checked, and how often a guard prevented a violation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    /// The number of checks, by invariant.
    pub checked: BTreeMap<Invariant, u64>,
    /// The number of prevented violations, by invariant.
    pub violated: BTreeMap<Invariant, u64>,
}

impl Dispatcher {
    /// The numbers of checks and prevented violations since the dispatcher was created.
    pub fn invariant_counts(&self) -> &InvariantCounts {
        &self.invariant_counts
    }

    /// Returns whether an attempt of a request may start at an engine now. `is_prefill` is whether the attempt
    /// only prefills, which has no effect outside of the engine.
    ///
    /// An attempt is not allowed for a request that has ended, at an engine that is not in service, or if the
    /// request may have run and must not run twice. Otherwise the effect of the request could happen twice. An
    /// attempt that is not allowed ends as not sent.
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
        let may_start = !request.answered
            && request.current_attempt.is_none()
            && request.attempts <= self.settings.policy.max_attempts
            && self.now <= request.deadline;
        let is_in_service = self.endpoints.status(engine) == EndpointStatus::Ready;
        let may_repeat = is_prefill || self.may_run_at(request, engine);
        let checks = [
            (Invariant::Start, may_start),
            (Invariant::Send, is_in_service),
            (Invariant::Repeat, may_repeat),
        ];
        checks
            .into_iter()
            .fold(true, |all_hold, (invariant, holds)| {
                self.check_invariant(invariant, holds, request_id, engine.0.as_ref(), outputs)
                    && all_hold
            })
    }

    /// Returns whether a request may be rejected, which tells the client that a retry is safe.
    ///
    /// If an attempt may have run, the request is failed instead, unless its request class allows a repeat
    /// anywhere. A client that repeats a request after a rejection would otherwise cause its effect twice.
    pub(super) fn may_reject(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) -> bool {
        let Some(request) = self.requests.get(&request_id) else {
            return true;
        };
        let is_decoding = request
            .current_attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.is_prefill);
        let may_have_run = is_decoding || request.first_possible_run.is_some();
        let retry_is_safe = match request.retry_safety {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            } => true,
            RetrySafety::IdempotencyKey { .. } | RetrySafety::AtMostOnce => !may_have_run,
        };
        self.check_invariant(
            Invariant::Close,
            retry_is_safe,
            request_id,
            "refused",
            outputs,
        )
    }

    /// Schedules a check of a request's KV state for the instant by which the state must be taken or released.
    /// Applies to HTTP/1 only.
    pub(super) fn schedule_held_state_check(&mut self, request_id: RequestId) {
        if self.settings.limits.http1.is_some() && self.kv_states.get(request_id).is_some() {
            self.timers.set(
                self.now + self.max_held_duration(),
                TimerKind::HeldStateCheck(request_id),
            );
        }
    }

    fn max_held_duration(&self) -> Ms {
        self.settings.policy.kv_state_timeout
            + HELD_STATE_TOLERANCE_MS / HELD_STATE_TOLERANCE_DIVISOR
    }

    /// Releases a KV state that is held for too long, because the routing logic has neither used nor released it or
    /// its release was forgotten. Its memory would otherwise stay pinned at the engine.
    pub(super) fn check_held_state(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(state) = self.kv_states.get(request_id) else {
            return;
        };
        let attempt = self.current_attempt(request_id);
        if attempt
            .is_some_and(|attempt| state.is_release_pending() || self.has_reached_engine(attempt))
        {
            return self.schedule_held_state_check(request_id);
        }
        let is_available = state.is_available();
        let (held_since, was_called_since) = match is_available {
            true => (state.held_since, false),
            false => (
                state.release.unblocked_since,
                state.release.last_call_at >= state.release.unblocked_since,
            ),
        };
        let due_at = held_since + self.max_held_duration();
        if was_called_since {
            return;
        }
        if self.now < due_at {
            return self
                .timers
                .set(due_at, TimerKind::HeldStateCheck(request_id));
        }
        let engine = state.held.engine.0.to_string();
        self.check_invariant(Invariant::Hold, false, request_id, &engine, outputs);
        match is_available {
            true => self.release(request_id, outputs),
            false => self.continue_release(request_id, outputs),
        }
    }

    /// Records that the current attempt may have run, if `outcome` does not rule that out.
    pub(super) fn record_possible_run(&mut self, request_id: RequestId, outcome: Outcome) {
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
        let uncertain_outcomes = [
            Outcome::Failed,
            Outcome::TimedOut,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
        ];
        if request.first_possible_run.is_none() && uncertain_outcomes.contains(&outcome) {
            let endpoint = self
                .endpoints
                .engines
                .get(&attempt.engine)
                .map(|entry| &entry.endpoint);
            let (zone, cell) = endpoint
                .map(|endpoint| (endpoint.zone.clone(), endpoint.cell.clone()))
                .unwrap_or_default();
            request.first_possible_run = Some(PossibleRun {
                zone,
                cell,
                started_at: attempt.started_at,
            });
        }
    }

    /// Returns whether a request may run at an engine, given where it may have run before and the scope of its
    /// idempotency key.
    fn may_run_at(&self, request: &Request, engine: &EngineId) -> bool {
        let (Some(first), Some(entry)) = (
            &request.first_possible_run,
            self.endpoints.engines.get(engine),
        ) else {
            return true;
        };
        match request.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => false,
            RetrySafety::IdempotencyKey { window, .. } if self.now >= first.started_at + window => {
                false
            }
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            } => true,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Zone,
                ..
            } => first.zone == entry.endpoint.zone,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Cell,
                ..
            } => (&first.zone, &first.cell) == (&entry.endpoint.zone, &entry.endpoint.cell),
        }
    }

    /// Counts a check of an invariant, and logs a violation if `holds` is false. `context` is the engine's name, or
    /// "refused" for a rejection; the log line contains it. Returns `holds`.
    fn check_invariant(
        &mut self,
        invariant: Invariant,
        holds: bool,
        request_id: RequestId,
        context: &str,
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
                "invariant violated: {invariant}; request={} id={origin} at {context}",
                request_id.0
            );
            outputs.push(Output::log(Level::Warn, text));
        }
        holds
    }
}
