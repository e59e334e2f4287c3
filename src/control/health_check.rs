//! Decides when to send a health check, which asks an engine for its load.

use super::engines::EngineIndex;
use super::state::State;
use crate::interface::Ms;

/// How long a prefill waits for load reports, in multiples of the shortest latency objective.
pub(super) const REPORT_WAIT_IN_LATENCY_OBJECTIVES: f64 = 0.03;
/// No health check is sent to an engine for this long after its last load report, or after the last
/// health check that was sent to it. In multiples of the shortest latency objective.
const REPORT_FRESH_IN_LATENCY_OBJECTIVES: f64 = 0.25;
/// No health check is sent to an engine for this long after the engine has answered an attempt. The
/// answer to a prefill that had queued does not count. The answer to a health check is awaited for
/// the same time. In multiples of the shortest latency objective.
const RESPONSE_FRESH_IN_LATENCY_OBJECTIVES: f64 = 2.0;
/// An engine with more decodes of this dispatcher in flight gets no health check, because the number
/// of these decodes is a good enough measure of the engine's load.
const MAX_DECODES_FOR_HEALTH_CHECK: f64 = 1.0;

impl State {
    /// Requests health checks of each engine in `engines` whose load is not known from recent
    /// reports or answers. Returns whether the answer to any health check is still awaited.
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

    /// `multiple` times the shortest latency objective, in milliseconds.
    fn latency_objectives_ms(&self, multiple: f64) -> Ms {
        multiple * self.classes.shortest_latency_objective()
    }

    fn is_report_pending(&self, index: EngineIndex) -> bool {
        self.engines[index].health_check.is_pending(
            self.now,
            self.latency_objectives_ms(RESPONSE_FRESH_IN_LATENCY_OBJECTIVES),
        )
    }

    fn is_load_known(&self, index: EngineIndex) -> bool {
        let engine = &self.engines[index];
        let reported_at = engine
            .health_check
            .sent_at
            .max(engine.load_report.received_at());
        self.now - reported_at < self.latency_objectives_ms(REPORT_FRESH_IN_LATENCY_OBJECTIVES)
            || self.now - engine.last_response_at
                < self.latency_objectives_ms(RESPONSE_FRESH_IN_LATENCY_OBJECTIVES)
            || engine.decodes > MAX_DECODES_FOR_HEALTH_CHECK
    }
}
