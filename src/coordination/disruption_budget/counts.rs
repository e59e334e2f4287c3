//! The units of one kind counted against the budget.

use super::budget::{DisruptionBudget, MaxUnavailable};
use super::groups::{cell_of, Count, RoleGroup, ServedRole, UtilizationSum};
use super::unit::{observed_zone_sizes, ServiceStatus, Unit, ZoneSizes};
use super::violation::Violation;
use std::collections::{BTreeMap, BTreeSet};

/// How many units of a place are unavailable, and how many may be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnavailableCount {
    /// The zone; empty for the whole fleet.
    pub zone: String,
    /// Units that are unavailable.
    pub unavailable: u32,
    /// Units that may be.
    pub limit: u32,
}

/// The name of the whole fleet among zones.
const WHOLE_FLEET: &str = "";

/// The units of one kind, counted once and then asked for each unit that could go.
#[derive(Clone, Debug, Default)]
pub struct UnitCounts {
    fleet: Count,
    zones: BTreeMap<String, Count>,
    cells: BTreeMap<String, Count>,
    kinds: BTreeMap<String, Count>,
    ready: BTreeMap<RoleGroup, u32>,
    /// By role, over the fleet ([`WHOLE_FLEET`]) and by zone.
    utilization: BTreeMap<(ServedRole, String), UtilizationSum>,
}

impl UnitCounts {
    /// Counts units. `is_disrupted`: whether a unit counts as unavailable though it serves, as it has a permit to go.
    ///
    /// A unit that is remembered and not seen counts as long as its zone lacks units by `sizes`; where none is missing,
    /// it is gone for good.
    pub fn new<'a>(
        units: impl Iterator<Item = &'a Unit>,
        sizes: &ZoneSizes,
        budget: &DisruptionBudget,
        is_disrupted: impl Fn(&Unit) -> bool,
    ) -> UnitCounts {
        let mut counts = UnitCounts::default();
        let units: Vec<&Unit> = units.collect();
        let seen = observed_zone_sizes(units.iter().copied());
        let seen_in = |zone: &str| seen.get(zone).copied().unwrap_or(0);
        let is_whole = |zone: &str| sizes.get(zone).is_some_and(|size| *size <= seen_in(zone));
        for unit in units {
            if unit.status == ServiceStatus::OutOfService && is_whole(&unit.zone) {
                continue;
            }
            let available = unit.status == ServiceStatus::InService && !is_disrupted(unit);
            counts.add(unit, available, budget);
        }
        for (zone, size) in sizes {
            counts.zones.entry(zone.clone()).or_default().size = seen_in(zone).max(*size);
        }
        for count in counts.zones.values() {
            counts.fleet.size += count.size;
            counts.fleet.available += count.available;
        }
        counts
    }

    fn add(&mut self, unit: &Unit, available: bool, budget: &DisruptionBudget) {
        let add = |count: &mut Count| {
            count.size += 1;
            count.available += u32::from(available);
        };
        add(self.zones.entry(unit.zone.clone()).or_default());
        if unit.role.is_none() {
            return;
        }
        add(self.cells.entry(cell_of(unit)).or_default());
        add(self.kinds.entry(unit.kind.clone()).or_default());
        if available {
            self.add_ready_engine(unit, budget);
        }
    }

    fn add_ready_engine(&mut self, unit: &Unit, budget: &DisruptionBudget) {
        let fresh = unit
            .utilization
            .filter(|(_, age)| *age <= budget.max_report_age_ms as f64);
        // Guards against an engine leaving on the word of an old report while the others are full: requests would then
        // be rejected. An old or missing report counts as fully used, so it can only keep units in service.
        let utilization = fresh.map_or(1.0, |(utilization, _)| utilization.clamp(0.0, 1.0));
        for role in ServedRole::served_by(unit) {
            for group in RoleGroup::both_of(unit, role) {
                *self.ready.entry(group).or_default() += 1;
            }
            for place in [WHOLE_FLEET.to_owned(), unit.zone.clone()] {
                let total = self.utilization.entry((role, place)).or_default();
                total.sum += utilization;
                total.engines += 1;
            }
        }
    }

    /// Whether a unit that serves may go now.
    ///
    /// # Errors
    /// The limit that forbids it.
    pub fn check_disruption(
        &self,
        unit: &Unit,
        budget: &DisruptionBudget,
    ) -> Result<(), Violation> {
        self.check_fleet_and_zone(unit, budget)?;
        if unit.role.is_none() {
            return Ok(());
        }
        self.check_cell_and_kind(unit, budget)?;
        for role in ServedRole::served_by(unit) {
            self.check_minima(unit, role, budget)?;
            self.check_utilization(unit, role, budget)?;
        }
        Ok(())
    }

    fn check_fleet_and_zone(
        &self,
        unit: &Unit,
        budget: &DisruptionBudget,
    ) -> Result<(), Violation> {
        if let Some((unavailable, limit)) = self.fleet.used_up(budget.fleet) {
            return Err(Violation::Fleet { unavailable, limit });
        }
        let zone = self.zones.get(&unit.zone).copied().unwrap_or_default();
        match zone.used_up(budget.zone) {
            Some((unavailable, limit)) => Err(Violation::Zone {
                zone: unit.zone.clone(),
                unavailable,
                limit,
            }),
            None => Ok(()),
        }
    }

    fn check_cell_and_kind(&self, unit: &Unit, budget: &DisruptionBudget) -> Result<(), Violation> {
        let cell = cell_of(unit);
        let count = self.cells.get(&cell).copied().unwrap_or_default();
        if let Some((unavailable, limit)) = count.used_up(budget.cell) {
            return Err(Violation::Cell {
                cell,
                unavailable,
                limit,
            });
        }
        let count = self.kinds.get(&unit.kind).copied().unwrap_or_default();
        match count.used_up(budget.kind) {
            Some((unavailable, limit)) => Err(Violation::Kind {
                kind: unit.kind.clone(),
                unavailable,
                limit,
            }),
            None => Ok(()),
        }
    }

    fn check_minima(
        &self,
        unit: &Unit,
        role: ServedRole,
        budget: &DisruptionBudget,
    ) -> Result<(), Violation> {
        for group in RoleGroup::both_of(unit, role) {
            let ready = self.ready.get(&group).copied().unwrap_or(0);
            let minimum = group.minimum(budget);
            if minimum > 0 && ready <= minimum {
                return Err(Violation::MinReady {
                    role: role.word(),
                    place: format!("{} {}", group.scope.word(), group.place),
                    minimum,
                });
            }
        }
        Ok(())
    }

    fn check_utilization(
        &self,
        unit: &Unit,
        role: ServedRole,
        budget: &DisruptionBudget,
    ) -> Result<(), Violation> {
        if budget.max_utilization_per_mille >= 1000 {
            return Ok(());
        }
        for place in [WHOLE_FLEET, &unit.zone] {
            let key = (role, place.to_owned());
            let total = self.utilization.get(&key).copied().unwrap_or_default();
            let is_zone = place != WHOLE_FLEET;
            // The only engine of its role in a zone leaves its work to other zones.
            if is_zone && total.engines < 2 {
                continue;
            }
            let per_mille = total.without_one() * 1000.0;
            if per_mille > f64::from(budget.max_utilization_per_mille) {
                let place = match is_zone {
                    true => format!("zone {place}"),
                    false => "the fleet".to_owned(),
                };
                return Err(Violation::Utilization {
                    place: format!("{place}, {}", role.word()),
                    per_mille: per_mille.min(999.0) as u32,
                });
            }
        }
        Ok(())
    }

    /// The first limit of the fleet or a zone that is exceeded, planned or not.
    pub fn exceeded(&self, budget: &DisruptionBudget) -> Option<Violation> {
        if let Some((unavailable, limit)) = self.fleet.over(budget.fleet) {
            return Some(Violation::Fleet { unavailable, limit });
        }
        self.zones.iter().find_map(|(zone, count)| {
            let (unavailable, limit) = count.over(budget.zone)?;
            Some(Violation::Zone {
                zone: zone.clone(),
                unavailable,
                limit,
            })
        })
    }

    /// Counts a unit as unavailable from now on.
    pub fn mark_unavailable(&mut self, unit: &Unit) {
        self.adjust(unit, |n| *n = n.saturating_sub(1));
    }

    /// Counts a unit that was unavailable as available again.
    pub fn mark_available(&mut self, unit: &Unit) {
        self.adjust(unit, |n| *n += 1);
    }

    /// The utilization summed stays: the work is borne by one more engine, or by one fewer.
    fn adjust(&mut self, unit: &Unit, change: impl Fn(&mut u32)) {
        change(&mut self.fleet.available);
        let counts = [
            self.zones.get_mut(&unit.zone),
            self.cells.get_mut(&cell_of(unit)),
            self.kinds.get_mut(&unit.kind),
        ];
        for count in counts.into_iter().flatten() {
            change(&mut count.available);
        }
        for role in ServedRole::served_by(unit) {
            for group in RoleGroup::both_of(unit, role) {
                change(self.ready.entry(group).or_default());
            }
            for place in [WHOLE_FLEET.to_owned(), unit.zone.clone()] {
                change(&mut self.utilization.entry((role, place)).or_default().engines);
            }
        }
    }

    /// The first zone of which units are not seen at all, though the fleet agreed on them, in words.
    pub fn missing_units(&self, units: &[Unit]) -> Option<String> {
        let seen = observed_zone_sizes(units.iter());
        self.zones.iter().find_map(|(zone, count)| {
            let seen = seen.get(zone).copied().unwrap_or(0);
            let missing = count
                .size
                .checked_sub(seen)
                .filter(|missing| *missing > 0)?;
            Some(format!("{missing} of zone {zone} are not there"))
        })
    }

    /// Unavailable units and their limits: the fleet's first, then each zone's.
    pub fn unavailable_counts(&self, budget: &DisruptionBudget) -> Vec<UnavailableCount> {
        let line = |zone: &str, count: &Count, max: MaxUnavailable| UnavailableCount {
            zone: zone.to_owned(),
            unavailable: count.unavailable(),
            limit: max.limit_for(count.size),
        };
        let zones = self.zones.iter();
        std::iter::once(line(WHOLE_FLEET, &self.fleet, budget.fleet))
            .chain(zones.map(|(zone, count)| line(zone, count, budget.zone)))
            .collect()
    }

    /// Why some of the selected units could never go, even with all units in service; in words.
    pub fn impossible_reason(
        &self,
        units: &[Unit],
        budget: &DisruptionBudget,
        is_selected: impl Fn(&Unit) -> bool,
    ) -> Option<String> {
        if budget.fleet.limit_for(self.fleet.size) == 0 {
            return Some(format!(
                "the bounds let none of a fleet of {} go",
                self.fleet.size
            ));
        }
        let selected: Vec<&Unit> = units.iter().filter(|unit| is_selected(unit)).collect();
        self.impossible_zone(&selected, budget)
            .or_else(|| impossible_group(units, &selected, budget))
    }

    fn impossible_zone(&self, selected: &[&Unit], budget: &DisruptionBudget) -> Option<String> {
        let zones: BTreeSet<&String> = selected.iter().map(|unit| &unit.zone).collect();
        zones.into_iter().find_map(|zone| {
            let size = self.zones.get(zone).map_or(0, |count| count.size);
            (budget.zone.limit_for(size) == 0)
                .then(|| format!("the bounds let none of zone {zone}'s {size} go"))
        })
    }
}

/// A group of engines that has no more in all than have to stay ready.
fn impossible_group(
    units: &[Unit],
    selected: &[&Unit],
    budget: &DisruptionBudget,
) -> Option<String> {
    let mut sizes: BTreeMap<RoleGroup, u32> = BTreeMap::new();
    for group in units.iter().flat_map(RoleGroup::all_of) {
        *sizes.entry(group).or_default() += 1;
    }
    let affected: BTreeSet<RoleGroup> = selected
        .iter()
        .flat_map(|unit| RoleGroup::all_of(unit))
        .collect();
    sizes.retain(|group, _| affected.contains(group));
    sizes.into_iter().find_map(|(group, size)| {
        let minimum = group.minimum(budget);
        (minimum > 0 && size <= minimum).then(|| {
            format!(
                "{} {} has {size} {} in all, and {minimum} have to stay ready",
                group.scope.word(),
                group.place,
                group.role.word()
            )
        })
    })
}
