//! Restarts that nobody asked for.

use crate::coordination::disruption_budget::Unit;
use crate::coordination::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Restarts of the updated units before anything is said of them.
const MIN_RESTARTS: u32 = 2;
/// Restarts of an updated unit have to be above this many times those of another unit.
const MIN_RATE_RATIO: f64 = 3.0;

/// A group of units and how often they restarted.
#[derive(Clone, Copy, Debug, Default)]
struct GroupRestarts {
    units: u32,
    restarts: u32,
}

impl GroupRestarts {
    fn rate(self) -> f64 {
        f64::from(self.restarts) / f64::from(self.units.max(1))
    }
}

/// Restarts of each unit since the rollout began.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RestartComparison {
    incarnations: BTreeMap<Name, Incarnation>,
    restarts: BTreeMap<Name, u32>,
}

impl RestartComparison {
    /// Takes a reading. Gives the reason in words if the updated units restart more often than the others.
    /// `has_permit`: units that are to restart.
    pub fn observe(
        &mut self,
        units: &[&Unit],
        updated: &BTreeSet<Name>,
        has_permit: impl Fn(&Name) -> bool,
    ) -> Option<String> {
        let (mut new, mut old) = (GroupRestarts::default(), GroupRestarts::default());
        for unit in units {
            if has_permit(&unit.name) {
                self.incarnations.remove(&unit.name);
                continue;
            }
            let restarts = self.restarts_of(unit);
            let group = match updated.contains(&unit.name) {
                true => &mut new,
                false => &mut old,
            };
            group.units += 1;
            group.restarts += restarts;
        }
        let is_sign = new.restarts >= MIN_RESTARTS && new.rate() > MIN_RATE_RATIO * old.rate();
        is_sign.then(|| {
            format!(
                "those that turned fell {} times, {} of them; the others {}",
                new.restarts, new.units, old.restarts
            )
        })
    }

    fn restarts_of(&mut self, unit: &Unit) -> u32 {
        let before = self
            .incarnations
            .insert(unit.name.clone(), unit.incarnation);
        if before.is_some_and(|before| before != unit.incarnation) {
            *self.restarts.entry(unit.name.clone()).or_default() += 1;
        }
        self.restarts.get(&unit.name).copied().unwrap_or(0)
    }
}
