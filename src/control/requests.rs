//! A request, its attempt in flight and its intents.

use super::delivery::Delivery;
use super::engines::EngineIndex;
use super::stage::Stage;
use crate::interface::{Arrival, AttemptId, Ms};

/// An attempt must have waited in the engine's queue if its prefill or first token takes longer than
/// this fraction of the shortest latency objective that any class has for the prompt.
const QUEUED_AFTER_FRACTION: f64 = 0.3;

/// An attempt that was sent to an engine and whose end has not been reported.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) engine: EngineIndex,
    pub(super) stage: Stage,
    /// Whether the first token was received, which shows that the engine is decoding.
    pub(super) decoding: bool,
    pub(super) cancelled: bool,
    /// Whether the attempt has taken so long that it must have waited in the engine's queue.
    pub(super) has_queued: bool,
    /// Prompt tokens that the engine has to compute, without those that it has cached; 0 for a
    /// decode.
    pub(super) uncached_tokens: f64,
    pub(super) sent_at: Ms,
    pub(super) delivery: Delivery,
}

/// The first attempt of a request that may have run: its engine and when it was sent.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) engine: EngineIndex,
    pub(super) sent_at: Ms,
}

/// How a request proceeds: at most one of these is planned per step.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Intent {
    #[default]
    Wait,
    /// Start an attempt at this engine: a decode if a KV state is held, else a prefill.
    Start(EngineIndex),
    Reject,
    Fail,
}

/// What the current step intends to do for one request. `plan` sets the intents, and `emit` turns
/// them into actions.
#[derive(Default)]
pub(super) struct Intents {
    pub(super) next: Intent,
    /// Whether to cancel the attempt in flight.
    pub(super) cancel: bool,
    /// Whether to release the KV state.
    pub(super) release: bool,
    /// Whether to ask the attempt's engine to confirm that the engine is running.
    pub(super) confirm: bool,
    /// Whether to release the KV state unless the attempt in flight still waits for it.
    pub(super) release_unless_claimed: bool,
}

pub(super) struct Request {
    pub(super) arrival: Arrival,
    /// The latest start of the prefill with which the first token still meets the latency
    /// objective.
    pub(super) prefill_start_by: Ms,
    /// The latest instant at which the dispatcher sends its own final answer.
    pub(super) answer_by: Ms,
    /// The shortest latency objective that any class has for this prompt. The duration after which
    /// an attempt must have queued is a fraction of it.
    pub(super) shortest_objective_for_prompt: Ms,
    /// Number of attempts started so far, prefills and decodes together.
    pub(super) attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// The prefill engine that holds the KV state; `None` before the prefill has ended and after a
    /// release.
    pub(super) kv_state: Option<EngineIndex>,
    /// When the KV state timeout started: no attempt has taken over the KV state since this
    /// instant. Before the end of the first attempt this is the arrival of the request.
    pub(super) unclaimed_since: Ms,
    /// A held request without an attempt is planned again at this instant, unless an event or a
    /// deadline requires it earlier.
    pub(super) held_until: Ms,
    /// Engines that rejected or failed this request since its last successful prefill. They are
    /// chosen again only if no other engine is left.
    pub(super) excluded_engines: Vec<EngineIndex>,
    pub(super) first_possible_run: Option<PossibleRun>,
    /// Whether the client is gone or the final answer was sent.
    pub(super) finished: bool,
    pub(super) over_quota: bool,
    pub(super) intents: Intents,
}

impl Request {
    /// Whether a prefill is in flight and has not yet taken so long that it must have queued. Such
    /// a request will need a decode engine soon.
    pub(super) fn is_prefilling_unqueued(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.stage == Stage::Prefill && !attempt.has_queued)
    }

    pub(super) fn is_decoding(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.decoding)
    }

    /// An attempt that is unanswered for longer than this, in milliseconds, must have waited in the
    /// engine's queue.
    pub(super) fn queued_after_ms(&self) -> Ms {
        QUEUED_AFTER_FRACTION * self.shortest_objective_for_prompt
    }
}
