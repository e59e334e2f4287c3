//! A comparison of unplanned restarts between updated units and the other units of a rollout.

use crate::coordination::disruption_budget::Unit;
use crate::coordination::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum number of restarts at the updated units. The comparison reports no difference with fewer.
const MIN_RESTARTS: u32 = 2;
/// The rollout halts if the updated units' mean number of restarts is more than this many times the mean of the other
/// units.
const MAX_RESTART_RATIO: f64 = 3.0;

/// The size of a group of units and their total number of restarts.
#[derive(Clone, Copy, Debug, Default)]
struct GroupRestarts {
    units: u32,
    restarts: u32,
}

impl GroupRestarts {
    fn restarts_per_unit(self) -> f64 {
        f64::from(self.restarts) / f64::from(self.units.max(1))
    }
}

/// Unplanned restarts of each unit since the analysis began.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RestartComparison {
    incarnations: BTreeMap<Name, Incarnation>,
    restarts: BTreeMap<Name, u32>,
}

impl RestartComparison {
    /// Adds a sample of all units. Returns the reason to halt the rollout if the updated units restart more often than
    /// the other units, else none. Restarts of units for which `has_permit` is true are planned and not counted.
    pub fn observe(
        &mut self,
        units: &[&Unit],
        updated: &BTreeSet<Name>,
        has_permit: impl Fn(&Name) -> bool,
    ) -> Option<String> {
        let mut updated_group = GroupRestarts::default();
        let mut other_group = GroupRestarts::default();
        for unit in units {
            if has_permit(&unit.name) {
                self.incarnations.remove(&unit.name);
                continue;
            }
            let restarts = self.update_restarts(unit);
            let group = match updated.contains(&unit.name) {
                true => &mut updated_group,
                false => &mut other_group,
            };
            group.units += 1;
            group.restarts += restarts;
        }
        let is_restart_rate_exceeded = updated_group.restarts >= MIN_RESTARTS
            && updated_group.restarts_per_unit()
                > MAX_RESTART_RATIO * other_group.restarts_per_unit();
        is_restart_rate_exceeded.then(|| {
            format!(
                "updated units fell {} times ({} units), the other units {} times",
                updated_group.restarts, updated_group.units, other_group.restarts
            )
        })
    }

    /// Records whether the unit has restarted since the previous sample, and returns its number of restarts so far.
    fn update_restarts(&mut self, unit: &Unit) -> u32 {
        let previous = self
            .incarnations
            .insert(unit.name.clone(), unit.incarnation);
        if previous.is_some_and(|previous| previous != unit.incarnation) {
            *self.restarts.entry(unit.name.clone()).or_default() += 1;
        }
        self.restarts.get(&unit.name).copied().unwrap_or(0)
    }
}
