//! Readings of all units, slice by slice.

use super::comparison::{GroupOutcomes, StratifiedComparison};
use super::restarts::RestartComparison;
use crate::coordination::disruption_budget::{OutcomeCounts, Unit};
use crate::coordination::{Incarnation, Name};
use crate::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// The least length of a slice, in milliseconds: what is known of a unit is up to a heartbeat old, more in a large
/// fleet.
const MIN_SLICE_MS: Ms = 1_000.0;
/// Requests of another unit before its share of harmed ones is compared.
const MIN_REQUESTS_PER_UNIT: u64 = 10;
/// Slices in a row that have to say that the updated units do worse.
const MIN_SIGNS_IN_A_ROW: u32 = 3;

/// A unit as it was when the slice began.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Baseline {
    incarnation: Incarnation,
    outcomes: OutcomeCounts,
}

/// What was seen of a rollout so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutAnalysis {
    baselines: BTreeMap<Name, Baseline>,
    slice_started_at: Option<Ms>,
    comparison: StratifiedComparison,
    /// Units that are not updated, in slices that count.
    others: BTreeMap<Name, GroupOutcomes>,
    signs_in_a_row: u32,
    restarts: RestartComparison,
}

impl RolloutAnalysis {
    /// Takes a reading at `now`, in milliseconds. Gives the reason in words if the updated units do worse than the
    /// others. `updated`: units that run the new version; `has_permit`: units that are to restart.
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
        self.end_slice(&units, updated, has_permit);
        self.outcome_sign()
    }

    fn outcome_sign(&mut self) -> Option<String> {
        let other_shares: Vec<f64> = self
            .others
            .values()
            .filter(|group| group.requests >= MIN_REQUESTS_PER_UNIT)
            .map(|group| group.harmed_share())
            .collect();
        self.signs_in_a_row = match self.comparison.is_worse(&other_shares) {
            true => self.signs_in_a_row + 1,
            false => 0,
        };
        let StratifiedComparison {
            updated,
            others,
            expected_harmed,
            ..
        } = self.comparison;
        (self.signs_in_a_row >= MIN_SIGNS_IN_A_ROW).then(|| {
            format!(
                "those that turned do worse: {} of {} tasks harmed where {expected_harmed:.0} were to be expected, {} \
                 of {} at the others",
                updated.harmed, updated.requests, others.harmed, others.requests
            )
        })
    }

    /// Counts what came since the slice began.
    fn end_slice(
        &mut self,
        units: &[&Unit],
        updated: &BTreeSet<Name>,
        has_permit: impl Fn(&Name) -> bool,
    ) {
        let mut with = GroupOutcomes::default();
        let mut without = GroupOutcomes::default();
        let mut each_other: Vec<(&Name, GroupOutcomes)> = Vec::new();
        for unit in units {
            let Some(before) = self.replace_baseline(unit) else {
                continue;
            };
            if has_permit(&unit.name) {
                continue;
            }
            let group = GroupOutcomes::new(&unit.outcomes.since(&before));
            if updated.contains(&unit.name) {
                with.add(group);
            } else {
                without.add(group);
                each_other.push((&unit.name, group));
            }
        }
        self.comparison.add_slice(with, without);
        if with.requests > 0 {
            for (name, group) in each_other {
                self.others.entry(name.clone()).or_default().add(group);
            }
        }
    }

    /// The outcomes at the slice's begin: none for a unit that is seen for the first time, as it shows nothing yet; zero
    /// for another process, as it began within the slice.
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
