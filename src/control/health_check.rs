//! When an engine is asked for its load.

use super::engines::EngineIndex;
use super::state::State;
use crate::interface::Ms;

/// How long a prefill waits for load reports, in shortest latency objectives.
pub(super) const REPORT_WAIT_OBJECTIVES: f64 = 0.03;
/// For how long a report, or a check that is out, makes another one needless, in shortest latency
/// objectives.
const REPORT_FRESH_OBJECTIVES: f64 = 0.25;
/// For how long the answer to an attempt stands in for a report, and how long a check is waited
/// for, in shortest latency objectives.
const RESPONSE_FRESH_OBJECTIVES: f64 = 2.0;
/// With more own decodes at an engine than this, their count shows its load well enough.
const MIN_INFORMATIVE_DECODES: f64 = 1.0;

impl State {
    /// Asks those of the engines for their load of which nothing is known lately; gives whether an
    /// answer is awaited.
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

    fn objectives(&self, count: f64) -> Ms {
        count * self.classes.shortest_latency_objective()
    }

    fn is_report_pending(&self, index: EngineIndex) -> bool {
        self.engines[index]
            .health_check
            .is_pending(self.now, self.objectives(RESPONSE_FRESH_OBJECTIVES))
    }

    fn is_load_known(&self, index: EngineIndex) -> bool {
        let engine = &self.engines[index];
        let reported_at = engine
            .health_check
            .sent_at
            .max(engine.load_report.received_at());
        self.now - reported_at < self.objectives(REPORT_FRESH_OBJECTIVES)
            || self.now - engine.last_response_at < self.objectives(RESPONSE_FRESH_OBJECTIVES)
            || engine.decodes > MIN_INFORMATIVE_DECODES
    }
}
