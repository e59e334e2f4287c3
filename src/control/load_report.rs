//! What an engine reported of its load, how fast that ages, and whether a health check is
//! unanswered.

use crate::interface::{Load, Ms};

/// Prefills over which the typical prompt length is averaged.
const TYPICAL_PREFILLS: f64 = 8.0;

/// An engine's last report; zeros before the first.
pub(super) struct LoadReport {
    /// Requests in flight there, of all dispatchers.
    pub(super) in_flight: f64,
    /// Prompt tokens that wait there to be computed or fetched.
    pub(super) waiting_tokens: f64,
    /// Fraction of the engine that is taken, with what waits; may exceed 1.
    pub(super) utilization: f64,
    received_at: Ms,
}

impl LoadReport {
    pub(super) fn new() -> Self {
        LoadReport {
            in_flight: 0.0,
            waiting_tokens: 0.0,
            utilization: 0.0,
            received_at: f64::NEG_INFINITY,
        }
    }

    /// Takes a report in; one that says nothing changes nothing. `typical_tokens`: prompt tokens of
    /// a waiting request, where the engine only counts requests; `memory_tokens`: the engine's KV
    /// memory in tokens.
    pub(super) fn update(&mut self, load: &Load, typical_tokens: f64, memory_tokens: f64, now: Ms) {
        let fields = [
            load.in_flight,
            load.queue,
            load.slots_used,
            load.memory_held,
            load.waiting_kilotokens,
        ];
        if fields.iter().all(Option::is_none) {
            return;
        }
        let waiting_tokens = load
            .waiting_kilotokens
            .map_or(load.queue.unwrap_or(0.0) * typical_tokens, |k| k * 1000.0);
        let taken = load
            .slots_used
            .unwrap_or(0.0)
            .max(load.memory_held.unwrap_or(0.0));
        self.in_flight = load.in_flight.unwrap_or(0.0);
        self.waiting_tokens = waiting_tokens;
        self.utilization = taken + waiting_tokens / memory_tokens.max(1.0);
        self.received_at = now;
    }

    /// Forgets when the report came, as the process that sent it is gone.
    pub(super) fn expire(&mut self) {
        self.received_at = f64::NEG_INFINITY;
    }

    pub(super) fn is_known(&self) -> bool {
        self.received_at > f64::NEG_INFINITY
    }

    pub(super) fn received_at(&self) -> Ms {
        self.received_at
    }

    /// A reported value moves towards the mean of the engine's peers as the report ages.
    pub(super) fn aged(&self, value: f64, mean: f64, now: Ms, decay_ms: Ms) -> f64 {
        mean + (-(now - self.received_at) / decay_ms).exp() * (value - mean)
    }
}

/// The health checks sent to an engine.
pub(super) struct HealthCheckState {
    pub(super) sent_at: Ms,
    pub(super) answered_at: Ms,
    /// Whether the last one came back without an answer.
    pub(super) unresponsive: bool,
}

impl HealthCheckState {
    pub(super) fn new() -> Self {
        HealthCheckState {
            sent_at: f64::NEG_INFINITY,
            answered_at: f64::NEG_INFINITY,
            unresponsive: false,
        }
    }

    pub(super) fn note_answer(&mut self, success: bool, now: Ms) {
        self.unresponsive = !success;
        self.answered_at = now;
    }

    /// Whether the last check, sent less than `within_ms` ago, has no answer yet.
    pub(super) fn is_pending(&self, now: Ms, within_ms: Ms) -> bool {
        self.sent_at > self.answered_at.max(now - within_ms)
    }

    /// Whether an answer is missing: a check is out or failed. Guards against an engine too busy to
    /// report how busy it is, which would pass for one where nothing waits.
    pub(super) fn lacks_answer(&self, now: Ms, within_ms: Ms) -> bool {
        now - self.sent_at < within_ms && (self.unresponsive || self.sent_at > self.answered_at)
    }
}

/// The prompt tokens that a prefill usually computes, learned from own prefills.
#[derive(Default)]
pub(super) struct TypicalPrefill {
    tokens: f64,
    samples: f64,
}

impl TypicalPrefill {
    pub(super) fn note(&mut self, computed_tokens: f64) {
        self.samples = (self.samples + 1.0).min(TYPICAL_PREFILLS);
        self.tokens += (computed_tokens - self.tokens) / self.samples;
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }
}
