//! Decides whether a request may run again, at which engines, and for how long after the first run.

use super::engines::{EngineIndex, Engines};
use super::requests::{Attempt, PossibleRun};
use crate::interface::{IdempotencyScope, Ms, Outcome, RetrySafety};

/// Whether an attempt that ended with this outcome may have run and had an effect. A pure prefill
/// and an attempt that was rejected or never reached its engine have no effect. A success returns
/// `false` as well, because no further attempt follows it.
pub(super) fn may_have_run(attempt: &Attempt, outcome: Outcome, engines: &Engines) -> bool {
    let never_ran = engines.is_prefill_only(attempt.stage, attempt.engine)
        || matches!(
            outcome,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent
        );
    !never_ran && outcome != Outcome::Succeeded
}

/// Whether the client may safely send the request again, at any time and through any dispatcher.
pub(super) fn is_safe_for_client(retry_safety: RetrySafety, may_have_run: bool) -> bool {
    match retry_safety {
        RetrySafety::Idempotent => true,
        RetrySafety::IdempotencyKey { scope, .. } => {
            !may_have_run || scope == IdempotencyScope::All
        }
        RetrySafety::AtMostOnce => !may_have_run,
    }
}

/// Whether a request may be sent to an engine now without the risk that it takes effect twice.
/// After a possible first run, only engines that recognise the repeat may get it, and only while
/// they remember the first run.
pub(super) fn may_run_on(
    engine: EngineIndex,
    retry_safety: RetrySafety,
    first_possible_run: Option<PossibleRun>,
    engines: &Engines,
    now: Ms,
) -> bool {
    let Some(first) = first_possible_run else {
        return true;
    };
    let (window, scope) = match retry_safety {
        RetrySafety::Idempotent => return true,
        RetrySafety::AtMostOnce => return false,
        RetrySafety::IdempotencyKey { scope, window } => (window, scope),
    };
    let [ran, target] = [first.engine, engine].map(|index| &engines[index].endpoint);
    now < first.sent_at + window
        && match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => ran.zone == target.zone,
            IdempotencyScope::Cell => ran.cell == target.cell,
        }
}
