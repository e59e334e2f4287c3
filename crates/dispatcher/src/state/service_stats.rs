//! What a dispatcher in a fleet remembers of its own service, for those who watch a release: how its requests ended, and
//! what engines said of their load. Kept only where it is asked for.

use cindercleat::coordination::disruption_budget::OutcomeCounts;
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::Name;
use cindercleat::interface::{EngineId, Event, Load, Ms, Outcome};
use cindercleat_protocol::v1;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// What was heard of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Heard {
    used: Option<(f64, Ms)>,
    /// Since it was told last.
    tally: OutcomeCounts,
    told: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServiceStats {
    tally: OutcomeCounts,
    engines: BTreeMap<EngineId, Heard>,
    /// The last engine that was told of: the next ones come first, so that each has its time.
    last: Option<EngineId>,
}

impl ServiceStats {
    /// A request got its final answer.
    pub fn answered(&mut self, answer: v1::Answer, late: bool) {
        match answer {
            v1::Answer::Succeeded => {
                self.tally.succeeded += 1;
                self.tally.late += u64::from(late);
            }
            v1::Answer::Rejected => self.tally.rejected += 1,
            _ => self.tally.failed += 1,
        }
    }

    pub fn tally(&self) -> OutcomeCounts {
        self.tally
    }

    /// What the decisions are told of engines is all that is known of them here.
    pub fn hears(&mut self, now: Ms, event: &Event) {
        let (engine, load, outcome) = match event {
            Event::Ended(ended) => (&ended.engine, ended.load, Some(ended.outcome)),
            Event::HealthChecked { engine, load, .. } => (engine, *load, None),
            _ => return,
        };
        let heard = self.engines.entry(engine.clone()).or_default();
        if let Some(used) = used(&load) {
            (heard.used, heard.told) = (Some((used, now)), false);
        }
        match outcome {
            Some(Outcome::Succeeded | Outcome::PrefillDone) => heard.tally.succeeded += 1,
            Some(Outcome::Overloaded) => heard.tally.rejected += 1,
            Some(Outcome::Failed | Outcome::ConnectionLost | Outcome::TimedOut) => {
                heard.tally.failed += 1
            }
            _ => return,
        }
        heard.told = false;
    }

    /// What is used of an engine, and how old that is.
    pub fn used(&self, now: Ms, engine: &EngineId) -> Option<(f64, Ms)> {
        self.engines
            .get(engine)?
            .used
            .map(|(used, at)| (used, now - at))
    }

    /// Reports on so many engines, of which something new was heard, going round.
    pub fn reports(&mut self, now: Ms, most: usize) -> Vec<EngineReport> {
        let new = |(_, heard): &(&EngineId, &Heard)| !heard.told;
        let after: Vec<EngineId> = match &self.last {
            Some(last) => {
                let after = self
                    .engines
                    .range((Excluded(last.clone()), Unbounded))
                    .filter(new);
                after
                    .chain(self.engines.range(..=last.clone()).filter(new))
                    .map(|(h, _)| h.clone())
                    .take(most)
                    .collect()
            }
            None => self
                .engines
                .iter()
                .filter(new)
                .map(|(engine, _)| engine.clone())
                .take(most)
                .collect(),
        };
        self.last = after.last().cloned().or(self.last.take());
        let mut reports = Vec::new();
        for engine in after {
            let Some(heard) = self.engines.get_mut(&engine) else {
                continue;
            };
            heard.told = true;
            let (used, tally) = (
                heard.used.map(|(used, at)| (used, now - at)),
                std::mem::take(&mut heard.tally),
            );
            reports.push(EngineReport {
                engine: Name(engine.0),
                used,
                tally,
            });
        }
        reports
    }
}

/// What is used of an engine, by the fuller of its slots and its memory; none if it says neither.
fn used(load: &Load) -> Option<f64> {
    match (load.slots_used, load.memory_held) {
        (None, None) => None,
        (slots, memory) => Some(slots.unwrap_or(0.0).max(memory.unwrap_or(0.0))),
    }
}
