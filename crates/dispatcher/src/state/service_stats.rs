//! Statistics for dispatchers that monitor a rollout together: the outcomes of this dispatcher's requests, and the
//! load that engines have reported. They are collected only after
//! [`Dispatcher::collect_service_stats`](super::Dispatcher::collect_service_stats) was called.

use cindercleat::coordination::disruption_budget::OutcomeCounts;
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::Name;
use cindercleat::interface::{EngineId, Event, Load, Ms, Outcome};
use cindercleat_protocol::v1;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// The load that one engine has reported, and the outcomes of the attempts there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EngineStats {
    /// The used fraction of the engine's capacity, and the instant of that report; `None` if the engine has
    /// reported none.
    used: Option<(f64, Ms)>,
    /// The outcomes of attempts since the last report on the engine.
    attempt_outcomes: OutcomeCounts,
    /// Whether nothing has changed since the last report on the engine.
    is_unchanged_since_report: bool,
}

/// The outcomes of one dispatcher's requests, and its statistics of each engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceStats {
    request_outcomes: OutcomeCounts,
    engines: BTreeMap<EngineId, EngineStats>,
    /// The engine of the newest report. The next reports begin with the engine after it, so that all engines are
    /// reported on in turn.
    last_reported_engine: Option<EngineId>,
}

impl ServiceStats {
    /// Counts the final answer of a request. `is_late` is whether its first token missed the latency objective.
    pub fn record_answer(&mut self, answer: v1::Answer, is_late: bool) {
        match answer {
            v1::Answer::Succeeded => {
                self.request_outcomes.succeeded += 1;
                self.request_outcomes.late += u64::from(is_late);
            }
            v1::Answer::Rejected => self.request_outcomes.rejected += 1,
            _ => self.request_outcomes.failed += 1,
        }
    }

    /// The outcomes of all requests since the statistics were started.
    pub fn outcomes(&self) -> OutcomeCounts {
        self.request_outcomes
    }

    /// Records the load of an engine and the outcome of an attempt, if an event for `Control` contains them.
    pub fn record_event(&mut self, now: Ms, event: &Event) {
        let (engine, load, outcome) = match event {
            Event::Ended(ended) => (&ended.engine, ended.load, Some(ended.outcome)),
            Event::HealthChecked { engine, load, .. } => (engine, *load, None),
            _ => return,
        };
        let stats = self.engines.entry(engine.clone()).or_default();
        if let Some(used) = used_fraction(&load) {
            stats.used = Some((used, now));
            stats.is_unchanged_since_report = false;
        }
        if let Some(counter) =
            outcome.and_then(|outcome| counter_for(&mut stats.attempt_outcomes, outcome))
        {
            *counter += 1;
            stats.is_unchanged_since_report = false;
        }
    }

    /// The used fraction of an engine's capacity, and the age of that value in milliseconds; `None` if never
    /// reported.
    pub fn utilization(&self, now: Ms, engine: &EngineId) -> Option<(f64, Ms)> {
        let (used, at) = self.engines.get(engine)?.used?;
        Some((used, now - at))
    }

    /// Returns reports on up to `max_reports` engines whose statistics have changed since their last report. The
    /// engines take turns.
    pub fn reports(&mut self, now: Ms, max_reports: usize) -> Vec<EngineReport> {
        let engines = self.next_unreported(max_reports);
        if let Some(last) = engines.last() {
            self.last_reported_engine = Some(last.clone());
        }
        engines
            .into_iter()
            .filter_map(|engine| self.report(now, engine))
            .collect()
    }

    /// Up to `max_engines` engines whose statistics have changed since their last report, beginning after the
    /// engine of the newest report.
    fn next_unreported(&self, max_engines: usize) -> Vec<EngineId> {
        let after_last = match &self.last_reported_engine {
            Some(last) => (Excluded(last), Unbounded),
            None => (Unbounded, Unbounded),
        };
        let up_to_last = self
            .last_reported_engine
            .iter()
            .flat_map(|last| self.engines.range(..=last));
        self.engines
            .range::<EngineId, _>(after_last)
            .chain(up_to_last)
            .filter(|(_, stats)| !stats.is_unchanged_since_report)
            .map(|(engine, _)| engine.clone())
            .take(max_engines)
            .collect()
    }

    fn report(&mut self, now: Ms, engine: EngineId) -> Option<EngineReport> {
        let stats = self.engines.get_mut(&engine)?;
        stats.is_unchanged_since_report = true;
        Some(EngineReport {
            engine: Name(engine.0),
            utilization: stats.used.map(|(used, at)| (used, now - at)),
            outcomes: std::mem::take(&mut stats.attempt_outcomes),
        })
    }
}

/// The counter for the outcome of an attempt; `None` if the outcome says nothing about the engine.
fn counter_for(outcomes: &mut OutcomeCounts, outcome: Outcome) -> Option<&mut u64> {
    match outcome {
        Outcome::Succeeded | Outcome::PrefillDone => Some(&mut outcomes.succeeded),
        Outcome::Overloaded => Some(&mut outcomes.rejected),
        Outcome::Failed | Outcome::ConnectionLost | Outcome::TimedOut => Some(&mut outcomes.failed),
        _ => None,
    }
}

/// The used fraction of an engine's capacity: of its slots or its memory, whichever is fuller. `None` if the
/// engine reports neither.
fn used_fraction(load: &Load) -> Option<f64> {
    match (load.slots_used, load.memory_held) {
        (None, None) => None,
        (slots, memory) => Some(slots.unwrap_or(0.0).max(memory.unwrap_or(0.0))),
    }
}
