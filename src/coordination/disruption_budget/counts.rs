//! Counts of dispatchers or of engines, checked against a disruption budget.

use super::budget::{DisruptionBudget, MaxUnavailable};
use super::groups::{cell_key, GroupCount, RoleGroup, ServedRole, UtilizationSum};
use super::unit::{observed_zone_sizes, ServiceStatus, Unit, ZoneSizes};
use super::violation::Violation;
use std::collections::{BTreeMap, BTreeSet};

/// The number of unavailable units in the fleet or in a zone, and how many may be unavailable at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnavailableCount {
    /// The zone's name. Empty for the whole fleet.
    pub zone: String,
    /// The number of units that are not in service or have a permit to drain.
    pub unavailable: u32,
    /// The number of units that may be unavailable at once.
    pub limit: u32,
}

/// The key of the whole fleet in maps that are keyed by zone.
const WHOLE_FLEET: &str = "";

/// Counts of all dispatchers, or of all engines, by fleet, zone, cell and kind. Built once and then checked for each
/// unit that may drain.
#[derive(Clone, Debug, Default)]
pub struct UnitCounts {
    fleet: GroupCount,
    zones: BTreeMap<String, GroupCount>,
    cells: BTreeMap<String, GroupCount>,
    kinds: BTreeMap<String, GroupCount>,
    ready: BTreeMap<RoleGroup, u32>,
    /// Utilization by role, for the fleet ([`WHOLE_FLEET`]) and for each zone.
    utilization: BTreeMap<(ServedRole, String), UtilizationSum>,
}

impl UnitCounts {
    /// Counts units. `is_disrupted` tells whether a unit counts as unavailable although it serves, because the unit has
    /// a permit to drain.
    ///
    /// A listed unit that is out of service counts as unavailable while fewer units of its zone are seen than `sizes`
    /// states. If all units of the zone are seen, the listed unit has been removed for good and is ignored.
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
        let all_units_seen =
            |zone: &str| sizes.get(zone).is_some_and(|size| *size <= seen_in(zone));
        for unit in units {
            if unit.status == ServiceStatus::OutOfService && all_units_seen(&unit.zone) {
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
        let add = |count: &mut GroupCount| {
            count.size += 1;
            count.available += u32::from(available);
        };
        add(self.zones.entry(unit.zone.clone()).or_default());
        if unit.role.is_none() {
            return;
        }
        add(self.cells.entry(cell_key(unit)).or_default());
        add(self.kinds.entry(unit.kind.clone()).or_default());
        if available {
            self.add_ready_engine(unit, budget);
        }
    }

    fn add_ready_engine(&mut self, unit: &Unit, budget: &DisruptionBudget) {
        let recent_report = unit
            .utilization
            .filter(|(_, age)| *age <= budget.max_report_age_ms as f64);
        // An engine with an old or missing report counts as fully used. Such a report can only keep units in service.
        // Otherwise an engine could drain because of an outdated low utilization while the other engines are full, and
        // requests would be rejected.
        let utilization = recent_report.map_or(1.0, |(utilization, _)| utilization.clamp(0.0, 1.0));
        for role in ServedRole::served_by(unit) {
            for group in RoleGroup::zone_and_cell_groups(unit, role) {
                *self.ready.entry(group).or_default() += 1;
            }
            for zone_key in [WHOLE_FLEET.to_owned(), unit.zone.clone()] {
                let total = self.utilization.entry((role, zone_key)).or_default();
                total.sum += utilization;
                total.engines += 1;
            }
        }
    }

    /// Checks whether a unit that is in service may drain now.
    ///
    /// # Errors
    /// Returns the first limit that forbids the unit to drain.
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
        if let Some((unavailable, limit)) = self.fleet.limit_reached(budget.fleet) {
            return Err(Violation::Fleet { unavailable, limit });
        }
        let zone = self.zones.get(&unit.zone).copied().unwrap_or_default();
        match zone.limit_reached(budget.zone) {
            Some((unavailable, limit)) => Err(Violation::Zone {
                zone: unit.zone.clone(),
                unavailable,
                limit,
            }),
            None => Ok(()),
        }
    }

    fn check_cell_and_kind(&self, unit: &Unit, budget: &DisruptionBudget) -> Result<(), Violation> {
        let cell = cell_key(unit);
        let count = self.cells.get(&cell).copied().unwrap_or_default();
        if let Some((unavailable, limit)) = count.limit_reached(budget.cell) {
            return Err(Violation::Cell {
                cell,
                unavailable,
                limit,
            });
        }
        let count = self.kinds.get(&unit.kind).copied().unwrap_or_default();
        match count.limit_reached(budget.kind) {
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
        for group in RoleGroup::zone_and_cell_groups(unit, role) {
            let ready = self.ready.get(&group).copied().unwrap_or(0);
            let minimum = group.minimum(budget);
            if minimum > 0 && ready <= minimum {
                return Err(Violation::MinReady {
                    role: role.settings_name(),
                    group: group.describe(),
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
        for zone_key in [WHOLE_FLEET, &unit.zone] {
            let key = (role, zone_key.to_owned());
            let total = self.utilization.get(&key).copied().unwrap_or_default();
            let is_zone = zone_key != WHOLE_FLEET;
            // If a zone has a single engine of the role, other zones take over the load of that engine. The utilization
            // of its zone is not limited in that case.
            if is_zone && total.engines < 2 {
                continue;
            }
            let per_mille = total.mean_without_one() * 1000.0;
            if per_mille > f64::from(budget.max_utilization_per_mille) {
                let scope = match is_zone {
                    true => format!("zone {zone_key}"),
                    false => "the fleet".to_owned(),
                };
                return Err(Violation::Utilization {
                    engines: format!("{scope}, {}", role.settings_name()),
                    per_mille: per_mille.min(999.0) as u32,
                });
            }
        }
        Ok(())
    }

    /// Returns the first limit of the fleet or of a zone that is exceeded, whether by failures or by units with
    /// permits. None if no limit is exceeded.
    pub fn exceeded_limit(&self, budget: &DisruptionBudget) -> Option<Violation> {
        if let Some((unavailable, limit)) = self.fleet.limit_exceeded(budget.fleet) {
            return Some(Violation::Fleet { unavailable, limit });
        }
        self.zones.iter().find_map(|(zone, count)| {
            let (unavailable, limit) = count.limit_exceeded(budget.zone)?;
            Some(Violation::Zone {
                zone: zone.clone(),
                unavailable,
                limit,
            })
        })
    }

    /// Counts an available unit as unavailable from now on.
    pub fn mark_unavailable(&mut self, unit: &Unit) {
        self.adjust_available(unit, |count| *count = count.saturating_sub(1));
    }

    /// Counts an unavailable unit as available again.
    pub fn mark_available(&mut self, unit: &Unit) {
        self.adjust_available(unit, |count| *count += 1);
    }

    /// Changes the number of available units in all groups of a unit. The total utilization stays the same, because the
    /// same load is spread over one more or one fewer engine.
    fn adjust_available(&mut self, unit: &Unit, change: impl Fn(&mut u32)) {
        change(&mut self.fleet.available);
        let counts = [
            self.zones.get_mut(&unit.zone),
            self.cells.get_mut(&cell_key(unit)),
            self.kinds.get_mut(&unit.kind),
        ];
        for count in counts.into_iter().flatten() {
            change(&mut count.available);
        }
        for role in ServedRole::served_by(unit) {
            for group in RoleGroup::zone_and_cell_groups(unit, role) {
                change(self.ready.entry(group).or_default());
            }
            for zone_key in [WHOLE_FLEET.to_owned(), unit.zone.clone()] {
                let total = self.utilization.entry((role, zone_key)).or_default();
                change(&mut total.engines);
            }
        }
    }

    /// A message about the first zone in which fewer units are seen than agreed. None if no unit is missing.
    pub fn missing_units_message(&self, units: &[Unit]) -> Option<String> {
        let seen = observed_zone_sizes(units.iter());
        self.zones.iter().find_map(|(zone, count)| {
            let seen = seen.get(zone).copied().unwrap_or(0);
            let missing = count
                .size
                .checked_sub(seen)
                .filter(|missing| *missing > 0)?;
            Some(format!("{missing} units of zone {zone} are missing"))
        })
    }

    /// The number of unavailable units and how many may be unavailable at once, first for the fleet and then for each
    /// zone.
    pub fn unavailable_counts(&self, budget: &DisruptionBudget) -> Vec<UnavailableCount> {
        let unavailable_count =
            |zone: &str, count: &GroupCount, max: MaxUnavailable| UnavailableCount {
                zone: zone.to_owned(),
                unavailable: count.unavailable(),
                limit: max.limit_for(count.size),
            };
        let zones = self.zones.iter();
        std::iter::once(unavailable_count(WHOLE_FLEET, &self.fleet, budget.fleet))
            .chain(zones.map(|(zone, count)| unavailable_count(zone, count, budget.zone)))
            .collect()
    }

    /// The reason why some of the selected units could never drain, even with all units in service. None if each
    /// selected unit could drain.
    pub fn impossible_reason(
        &self,
        units: &[Unit],
        budget: &DisruptionBudget,
        is_selected: impl Fn(&Unit) -> bool,
    ) -> Option<String> {
        if budget.fleet.limit_for(self.fleet.size) == 0 {
            return Some(format!(
                "the limits never allow any of the fleet's {} units to drain",
                self.fleet.size
            ));
        }
        let selected: Vec<&Unit> = units.iter().filter(|unit| is_selected(unit)).collect();
        self.impossible_zone_message(&selected, budget)
            .or_else(|| impossible_group_message(units, &selected, budget))
    }

    fn impossible_zone_message(
        &self,
        selected: &[&Unit],
        budget: &DisruptionBudget,
    ) -> Option<String> {
        let zones: BTreeSet<&String> = selected.iter().map(|unit| &unit.zone).collect();
        zones.into_iter().find_map(|zone| {
            let size = self.zones.get(zone).map_or(0, |count| count.size);
            (budget.zone.limit_for(size) == 0).then(|| {
                format!("the limits never allow any of the {size} units of zone {zone} to drain")
            })
        })
    }
}

/// A message about the first group of selected engines in which no engine may drain, because all its engines are needed
/// for the minimum that must stay ready. None if there is no such group.
fn impossible_group_message(
    units: &[Unit],
    selected: &[&Unit],
    budget: &DisruptionBudget,
) -> Option<String> {
    let mut sizes: BTreeMap<RoleGroup, u32> = BTreeMap::new();
    for group in units.iter().flat_map(RoleGroup::groups_of) {
        *sizes.entry(group).or_default() += 1;
    }
    let affected: BTreeSet<RoleGroup> = selected
        .iter()
        .flat_map(|unit| RoleGroup::groups_of(unit))
        .collect();
    sizes.retain(|group, _| affected.contains(group));
    sizes.into_iter().find_map(|(group, size)| {
        let minimum = group.minimum(budget);
        (minimum > 0 && size <= minimum).then(|| {
            format!(
                "{} has {size} {}, of which at least {minimum} must stay ready",
                group.describe(),
                group.role.settings_name()
            )
        })
    })
}
