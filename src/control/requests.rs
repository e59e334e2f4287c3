//! The record of a request, its attempt in flight and what is intended for it.

use super::delivery::Delivery;
use super::engines::EngineIndex;
use super::stage::Stage;
use crate::interface::{Arrival, AttemptId, Ms};

/// An attempt whose prefill, or first token, takes more than this fraction of the queueing unit has
/// waited in a queue.
const QUEUED_FRACTION: f64 = 0.3;

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) engine: EngineIndex,
    pub(super) stage: Stage,
    /// Its first token has come.
    pub(super) decoding: bool,
    pub(super) cancelled: bool,
    /// It has taken so long that it must have queued.
    pub(super) late: bool,
    /// Prompt tokens that the engine has to compute for it.
    pub(super) uncached_tokens: f64,
    pub(super) sent_at: Ms,
    pub(super) delivery: Delivery,
}

/// The first attempt that may have run: where, and when it was sent.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) engine: EngineIndex,
    pub(super) sent_at: Ms,
}

/// What shall happen to a request next.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Intent {
    #[default]
    Wait,
    /// Start an attempt there: a decode if a KV state is held, else a prefill.
    Start(EngineIndex),
    Reject,
    Fail,
}

/// What a step intends for a request; set by planning, carried out by emitting.
#[derive(Default)]
pub(super) struct Intents {
    pub(super) next: Intent,
    /// Cancel the attempt in flight.
    pub(super) cancel: bool,
    /// Release the KV state.
    pub(super) release: bool,
    /// Ask the attempt's engine to confirm that it runs.
    pub(super) confirm: bool,
    /// Release the KV state unless the attempt in flight waits for it.
    pub(super) release_in_doubt: bool,
}

pub(super) struct Request {
    pub(super) arrival: Arrival,
    /// When a prefill must have started for the answer to come within the latency objective.
    pub(super) prefill_by: Ms,
    /// When the own final answer must be out.
    pub(super) ends_at: Ms,
    /// The shortest latency objective of all classes for this prompt, in which queueing is
    /// measured.
    pub(super) queueing_unit: Ms,
    /// Attempts started so far.
    pub(super) attempts: u32,
    pub(super) attempt: Option<Attempt>,
    /// The prefill engine that holds the KV state.
    pub(super) kv_state: Option<EngineIndex>,
    /// Since when nothing claims the KV state, from where the KV state timeout counts; before the
    /// first attempt the arrival.
    pub(super) unclaimed_since: Ms,
    /// Until when the request is not planned again, if it is held without an attempt.
    pub(super) held_until: Ms,
    /// Engines that rejected or failed this request since its last prefill.
    pub(super) excluded_engines: Vec<EngineIndex>,
    pub(super) first_possible_run: Option<PossibleRun>,
    /// The client is gone, or its final answer is out.
    pub(super) finished: bool,
    pub(super) over_quota: bool,
    pub(super) intents: Intents,
}

impl Request {
    /// Whether its prefill is in flight and has not queued so far: a decode engine will be wanted
    /// for it.
    pub(super) fn is_prefilling_on_time(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.stage == Stage::Prefill && !attempt.late)
    }

    pub(super) fn is_decoding(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.decoding)
    }

    /// How long an attempt may take before it must have queued.
    pub(super) fn queued_after_ms(&self) -> Ms {
        QUEUED_FRACTION * self.queueing_unit
    }
}
