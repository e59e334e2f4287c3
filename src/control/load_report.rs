//! The last load report of an engine, which loses weight as it gets older, and the state of the
//! last health check.

use crate::interface::{Load, Ms};

/// Number of recent prefills whose computed prompt tokens are averaged.
const MAX_PREFILL_SAMPLES: f64 = 8.0;

/// The last load report of an engine; all values are 0 until one is received.
pub(super) struct LoadReport {
    /// Number of requests of all dispatchers that the engine holds, as last reported. An
    /// `f64`, because loads are compared after a division by the engine's capacity fraction.
    pub(super) in_flight: f64,
    /// Prompt tokens that wait at the engine to be computed or fetched.
    pub(super) waiting_tokens: f64,
    /// Fraction of the engine's slots or of its KV memory in use, whichever is larger, plus the
    /// waiting tokens as a fraction of that memory; may exceed 1.
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

    /// Applies a load report; a report without any value is ignored. `typical_tokens`: assumed
    /// prompt tokens per waiting request, for an engine that reports only the number of requests.
    /// `memory_tokens`: the engine's KV memory in tokens.
    pub(super) fn update(&mut self, load: &Load, typical_tokens: f64, memory_tokens: f64, now: Ms) {
        let fields = [
            load.in_flight,
            load.queued_requests,
            load.slots_used,
            load.memory_held,
            load.waiting_kilotokens,
        ];
        if fields.iter().all(Option::is_none) {
            return;
        }
        let waiting_tokens = load
            .waiting_kilotokens
            .map_or(load.queued_requests.unwrap_or(0.0) * typical_tokens, |k| {
                k * 1000.0
            });
        let used = load
            .slots_used
            .unwrap_or(0.0)
            .max(load.memory_held.unwrap_or(0.0));
        self.in_flight = load.in_flight.unwrap_or(0.0);
        self.waiting_tokens = waiting_tokens;
        self.utilization = used + waiting_tokens / memory_tokens.max(1.0);
        self.received_at = now;
    }

    /// Discards the report, because the process that sent it no longer exists.
    pub(super) fn expire(&mut self) {
        self.received_at = f64::NEG_INFINITY;
    }

    pub(super) fn is_known(&self) -> bool {
        self.received_at > f64::NEG_INFINITY
    }

    pub(super) fn received_at(&self) -> Ms {
        self.received_at
    }

    /// Estimates the current value from the reported one. The older the report, the closer the
    /// estimate is to `mean`, the mean of the engine's peers; `decay_ms` is the time constant.
    pub(super) fn current_estimate(&self, value: f64, mean: f64, now: Ms, decay_ms: Ms) -> f64 {
        mean + (-(now - self.received_at) / decay_ms).exp() * (value - mean)
    }
}

/// The last health check of an engine and its answer.
pub(super) struct HealthCheckState {
    pub(super) sent_at: Ms,
    pub(super) answered_at: Ms,
    /// Whether the last health check with a known result failed.
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

    pub(super) fn record_answer(&mut self, success: bool, now: Ms) {
        self.unresponsive = !success;
        self.answered_at = now;
    }

    /// Whether a health check sent less than `within_ms` ago is still unanswered.
    pub(super) fn is_pending(&self, now: Ms, within_ms: Ms) -> bool {
        self.sent_at > self.answered_at.max(now - within_ms)
    }

    /// Whether the last health check was sent less than `within_ms` ago and is unanswered or
    /// failed. Without this check, an engine that is too busy to report its load would be treated
    /// as one without a queue.
    pub(super) fn lacks_answer(&self, now: Ms, within_ms: Ms) -> bool {
        now - self.sent_at < within_ms && (self.unresponsive || self.sent_at > self.answered_at)
    }
}

/// The mean number of prompt tokens that recent prefills of this dispatcher had to compute.
#[derive(Default)]
pub(super) struct MeanPrefillTokens {
    tokens: f64,
    samples: f64,
}

impl MeanPrefillTokens {
    pub(super) fn record(&mut self, computed_tokens: f64) {
        self.samples = (self.samples + 1.0).min(MAX_PREFILL_SAMPLES);
        self.tokens += (computed_tokens - self.tokens) / self.samples;
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }
}
