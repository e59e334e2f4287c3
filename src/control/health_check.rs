//! Decides when a health check asks an engine for its load.

use super::engines::EngineIndex;
use super::state::State;
use crate::interface::Ms;

/// How long a prefill waits for load reports, in multiples of the shortest latency objective.
pub(super) const REPORT_WAIT_OBJECTIVES: f64 = 0.03;
/// How long a load report, or a health check that was sent, makes another health check unnecessary,
/// in multiples of the shortest latency objective.
const REPORT_FRESH_OBJECTIVES: f64 = 0.25;
/// How long an answered attempt counts in place of a load report, and how long the answer to a
/// health check is awaited, in multiples of the shortest latency objective.
const RESPONSE_FRESH_OBJECTIVES: f64 = 2.0;
/// With more own decodes at an engine than this, their number is a good enough measure of its load.
const MIN_INFORMATIVE_DECODES: f64 = 1.0;

impl State {
    /// Sends health checks to those of `engines` without recent information on their load. Returns
    /// whether an answer is awaited.
    pub(super) fn request_load_reports(&mut self, engines: &[EngineIndex]) -> bool {
        if !self.settings.may_health_check {
            return false;
        }
        let mut any_awaited = false;
        for &index in engines {
            let pending = self.is_report_pending(index);
            let known = self.is_load_known(index);
            if !pending && !known {
                self.engines[index].health_check.sent_at = self.now;
                self.health_checks.push(index);
            }
            any_awaited |= pending || !known;
        }
        any_awaited
    }

    /// Milliseconds of `count` shortest latency objectives.
    fn latency_objectives_ms(&self, count: f64) -> Ms {
        count * self.classes.shortest_latency_objective()
    }

    fn is_report_pending(&self, index: EngineIndex) -> bool {
        self.engines[index].health_check.is_pending(
            self.now,
            self.latency_objectives_ms(RESPONSE_FRESH_OBJECTIVES),
        )
    }

    fn is_load_known(&self, index: EngineIndex) -> bool {
        let engine = &self.engines[index];
        let reported_at = engine
            .health_check
            .sent_at
            .max(engine.load_report.received_at());
        self.now - reported_at < self.latency_objectives_ms(REPORT_FRESH_OBJECTIVES)
            || self.now - engine.last_response_at
                < self.latency_objectives_ms(RESPONSE_FRESH_OBJECTIVES)
            || engine.decodes > MIN_INFORMATIVE_DECODES
    }
}
