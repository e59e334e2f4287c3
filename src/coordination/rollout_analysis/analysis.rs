//! The analysis of a running rollout: samples of all units, compared in short slices of time.

use super::comparison::{GroupOutcomes, StratifiedComparison};
use super::restarts::RestartComparison;
use crate::coordination::disruption_budget::{OutcomeCounts, Unit};
use crate::coordination::{Incarnation, Name};
use crate::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum length of a slice, in milliseconds. Counts of a unit are up to one heartbeat interval old, and the
/// interval grows with the fleet.
const MIN_SLICE_MS: Ms = 1_000.0;
/// The minimum number of requests at a unit that is not updated. With fewer requests, the unit's share of harmed
/// requests is left out of the comparison.
const MIN_REQUESTS_PER_UNIT: u64 = 10;
/// The number of consecutive slices that must show worse outcomes of the updated units before the rollout halts.
const MIN_CONSECUTIVE_WORSE_SLICES: u32 = 3;

/// A unit's process and its outcome counts at the beginning of the current slice.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Baseline {
    incarnation: Incarnation,
    outcomes: OutcomeCounts,
}

/// Outcomes and restarts that were observed during a rollout. The controller starts an empty analysis whenever an
/// operator ends a halt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutAnalysis {
    baselines: BTreeMap<Name, Baseline>,
    slice_started_at: Option<Ms>,
    comparison: StratifiedComparison,
    /// Total outcomes of each unit that is not updated, over the slices in which updated units had requests.
    other_units: BTreeMap<Name, GroupOutcomes>,
    consecutive_worse_slices: u32,
    restarts: RestartComparison,
}

impl RolloutAnalysis {
    /// Adds a sample of all units, taken at `now` in milliseconds.
    ///
    /// Returns the reason to halt the rollout if the updated units perform worse than the other units, else none.
    /// `updated` names the units that run the new version. `has_permit` tells which units are expected to restart and
    /// are therefore left out.
    pub fn observe<'a>(
        &mut self,
        now: Ms,
        units: impl Iterator<Item = &'a Unit>,
        updated: &BTreeSet<Name>,
        has_permit: impl Fn(&Name) -> bool,
    ) -> Option<String> {
        let units: Vec<&Unit> = units.collect();
        if let Some(reason) = self.restarts.observe(&units, updated, &has_permit) {
            return Some(reason);
        }
        if now - *self.slice_started_at.get_or_insert(now) < MIN_SLICE_MS {
            return None;
        }
        self.slice_started_at = Some(now);
        self.end_time_slice(&units, updated, has_permit);
        self.halt_reason()
    }

    fn halt_reason(&mut self) -> Option<String> {
        let other_shares: Vec<f64> = self
            .other_units
            .values()
            .filter(|outcomes| outcomes.requests >= MIN_REQUESTS_PER_UNIT)
            .map(|outcomes| outcomes.harmed_share())
            .collect();
        self.consecutive_worse_slices = match self.comparison.is_worse(&other_shares) {
            true => self.consecutive_worse_slices + 1,
            false => 0,
        };
        let StratifiedComparison {
            updated,
            others,
            expected_harmed,
            ..
        } = self.comparison;
        (self.consecutive_worse_slices >= MIN_CONSECUTIVE_WORSE_SLICES).then(|| {
            format!(
                "updated units do worse: {} of {} requests harmed where {expected_harmed:.0} were expected, {} of {} \
                 at the other units",
                updated.harmed, updated.requests, others.harmed, others.requests
            )
        })
    }

    /// Adds the outcomes since the beginning of the slice to the comparison.
    fn end_time_slice(
        &mut self,
        units: &[&Unit],
        updated: &BTreeSet<Name>,
        has_permit: impl Fn(&Name) -> bool,
    ) {
        let mut updated_group = GroupOutcomes::default();
        let mut other_group = GroupOutcomes::default();
        let mut outcomes_per_other_unit: Vec<(&Name, GroupOutcomes)> = Vec::new();
        for unit in units {
            let Some(before) = self.replace_baseline(unit) else {
                continue;
            };
            if has_permit(&unit.name) {
                continue;
            }
            let outcomes = GroupOutcomes::new(&unit.outcomes.since(&before));
            if updated.contains(&unit.name) {
                updated_group.add(outcomes);
            } else {
                other_group.add(outcomes);
                outcomes_per_other_unit.push((&unit.name, outcomes));
            }
        }
        self.comparison.add_slice(updated_group, other_group);
        if updated_group.requests > 0 {
            for (name, outcomes) in outcomes_per_other_unit {
                let total = self.other_units.entry(name.clone()).or_default();
                total.add(outcomes);
            }
        }
    }

    /// Stores the unit's current counts and returns its counts at the beginning of the slice.
    ///
    /// Returns none for a unit that is seen for the first time, because its counts may be older than the slice. Returns
    /// zero counts after a restart, because the new process started within the slice.
    fn replace_baseline(&mut self, unit: &Unit) -> Option<OutcomeCounts> {
        let baseline = Baseline {
            incarnation: unit.incarnation,
            outcomes: unit.outcomes,
        };
        let before = self.baselines.insert(unit.name.clone(), baseline)?;
        Some(match before.incarnation == unit.incarnation {
            true => before.outcomes,
            false => OutcomeCounts::default(),
        })
    }
}
