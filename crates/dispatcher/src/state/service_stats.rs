//! Statistics for dispatchers that monitor a rollout together: the outcomes of this dispatcher's requests,
//! and the load that engines have reported. They are collected on request only.

use cindercleat::coordination::disruption_budget::OutcomeCounts;
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::Name;
use cindercleat::interface::{EngineId, Event, Load, Ms, Outcome};
use cindercleat_protocol::v1;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// The statistics of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EngineStats {
    /// The used fraction of the engine's capacity, and when it was reported; `None` if never reported.
    used: Option<(f64, Ms)>,
    /// The outcomes of attempts since the last report on the engine.
    tally: OutcomeCounts,
    /// Whether nothing has changed since the last report on the engine.
    is_reported: bool,
}

/// The statistics of one dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceStats {
    tally: OutcomeCounts,
    engines: BTreeMap<EngineId, EngineStats>,
    /// The engine that was reported on last. The next reports continue after it, so every engine gets its turn.
    last_reported: Option<EngineId>,
}

impl ServiceStats {
    /// Counts the final answer of a request. `late` is whether its first token missed the latency objective.
    pub fn record_answer(&mut self, answer: v1::Answer, late: bool) {
        match answer {
            v1::Answer::Succeeded => {
                self.tally.succeeded += 1;
                self.tally.late += u64::from(late);
            }
            v1::Answer::Rejected => self.tally.rejected += 1,
            _ => self.tally.failed += 1,
        }
    }

    /// The outcomes of all requests so far.
    pub fn outcomes(&self) -> OutcomeCounts {
        self.tally
    }

    /// Records the load and the outcome in an event for `Control`.
    pub fn observe(&mut self, now: Ms, event: &Event) {
        let (engine, load, outcome) = match event {
            Event::Ended(ended) => (&ended.engine, ended.load, Some(ended.outcome)),
            Event::HealthChecked { engine, load, .. } => (engine, *load, None),
            _ => return,
        };
        let stats = self.engines.entry(engine.clone()).or_default();
        if let Some(used) = used_fraction(&load) {
            stats.used = Some((used, now));
            stats.is_reported = false;
        }
        if let Some(count) = outcome.and_then(|outcome| count_of(&mut stats.tally, outcome)) {
            *count += 1;
            stats.is_reported = false;
        }
    }

    /// The used fraction of an engine's capacity, and the age of that value in milliseconds; `None` if never
    /// reported.
    pub fn utilization(&self, now: Ms, engine: &EngineId) -> Option<(f64, Ms)> {
        let (used, at) = self.engines.get(engine)?.used?;
        Some((used, now - at))
    }

    /// Returns reports on up to `max` engines with news, round robin.
    pub fn reports(&mut self, now: Ms, max: usize) -> Vec<EngineReport> {
        let engines = self.next_unreported(max);
        if let Some(last) = engines.last() {
            self.last_reported = Some(last.clone());
        }
        engines
            .into_iter()
            .filter_map(|engine| self.report(now, engine))
            .collect()
    }

    /// Up to `max` engines with news, in order, starting after the engine that was reported on last.
    fn next_unreported(&self, max: usize) -> Vec<EngineId> {
        let after_last = match &self.last_reported {
            Some(last) => (Excluded(last), Unbounded),
            None => (Unbounded, Unbounded),
        };
        let up_to_last = self
            .last_reported
            .iter()
            .flat_map(|last| self.engines.range(..=last));
        self.engines
            .range::<EngineId, _>(after_last)
            .chain(up_to_last)
            .filter(|(_, stats)| !stats.is_reported)
            .map(|(engine, _)| engine.clone())
            .take(max)
            .collect()
    }

    fn report(&mut self, now: Ms, engine: EngineId) -> Option<EngineReport> {
        let stats = self.engines.get_mut(&engine)?;
        stats.is_reported = true;
        Some(EngineReport {
            engine: Name(engine.0),
            used: stats.used.map(|(used, at)| (used, now - at)),
            tally: std::mem::take(&mut stats.tally),
        })
    }
}

/// The counter for the outcome of an attempt; `None` if the outcome says nothing about the engine.
fn count_of(tally: &mut OutcomeCounts, outcome: Outcome) -> Option<&mut u64> {
    match outcome {
        Outcome::Succeeded | Outcome::PrefillDone => Some(&mut tally.succeeded),
        Outcome::Overloaded => Some(&mut tally.rejected),
        Outcome::Failed | Outcome::ConnectionLost | Outcome::TimedOut => Some(&mut tally.failed),
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
