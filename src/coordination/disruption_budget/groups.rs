//! Groups of units to which the limits of a budget apply.

use super::budget::{DisruptionBudget, MaxUnavailable};
use super::unit::Unit;
use crate::interface::Role;

/// The number of units in a zone, a cell, a kind or the fleet, and the number of available units among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GroupCount {
    pub size: u32,
    pub available: u32,
}

impl GroupCount {
    pub fn unavailable(self) -> u32 {
        self.size - self.available.min(self.size)
    }

    /// Returns the number of unavailable units and the limit if no further unit may become unavailable, otherwise none.
    pub fn limit_reached(self, max: MaxUnavailable) -> Option<(u32, u32)> {
        let limit = max.limit_for(self.size);
        (self.unavailable() >= limit).then_some((self.unavailable(), limit))
    }

    /// Returns the number of unavailable units and the limit if the number exceeds the limit, otherwise none.
    pub fn limit_exceeded(self, max: MaxUnavailable) -> Option<(u32, u32)> {
        let limit = max.limit_for(self.size);
        (self.unavailable() > limit).then_some((self.unavailable(), limit))
    }
}

/// A role that an engine serves. An engine that serves both roles counts in each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServedRole {
    Prefill,
    Decode,
}

impl ServedRole {
    /// The name of engines of this role in the settings and in replies to operators.
    pub fn settings_name(self) -> &'static str {
        match self {
            ServedRole::Prefill => "readers",
            ServedRole::Decode => "writers",
        }
    }

    /// The roles that a unit serves. Empty for a dispatcher, which serves none.
    pub fn served_by(unit: &Unit) -> impl Iterator<Item = ServedRole> {
        let prefill = matches!(unit.role, Some(Role::Prefill | Role::Both));
        let decode = matches!(unit.role, Some(Role::Decode | Role::Both));
        let prefill = prefill.then_some(ServedRole::Prefill);
        prefill
            .into_iter()
            .chain(decode.then_some(ServedRole::Decode))
    }
}

/// Whether a minimum number of ready engines applies to a zone or to a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scope {
    Zone,
    Cell,
}

impl Scope {
    /// The name of the scope in replies to operators.
    pub fn name(self) -> &'static str {
        match self {
            Scope::Zone => "zone",
            Scope::Cell => "cell",
        }
    }
}

/// The engines of one role in one zone or cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RoleGroup {
    pub scope: Scope,
    pub role: ServedRole,
    /// The zone's name, or the cell's key as [`cell_key`] returns it.
    pub scope_key: String,
}

impl RoleGroup {
    /// The groups of an engine's zone and of its cell, for one role.
    pub fn zone_and_cell_groups(unit: &Unit, role: ServedRole) -> [RoleGroup; 2] {
        let group = |scope, scope_key| RoleGroup {
            scope,
            role,
            scope_key,
        };
        [
            group(Scope::Zone, unit.zone.clone()),
            group(Scope::Cell, cell_key(unit)),
        ]
    }

    /// The groups of the unit's zone and cell for each role that the unit serves. Empty for a dispatcher.
    pub fn groups_of(unit: &Unit) -> impl Iterator<Item = RoleGroup> + '_ {
        ServedRole::served_by(unit).flat_map(|role| RoleGroup::zone_and_cell_groups(unit, role))
    }

    /// The group's scope and its key as text for operators, for example `zone z1`.
    pub fn describe(&self) -> String {
        format!("{} {}", self.scope.name(), self.scope_key)
    }

    /// The minimum number of ready engines in the group; 0 for no minimum.
    pub fn minimum(&self, budget: &DisruptionBudget) -> u32 {
        match (self.scope, self.role) {
            (Scope::Zone, ServedRole::Prefill) => budget.min_prefill_engines_per_zone,
            (Scope::Zone, ServedRole::Decode) => budget.min_decode_engines_per_zone,
            (Scope::Cell, ServedRole::Prefill) => budget.min_prefill_engines_per_cell,
            (Scope::Cell, ServedRole::Decode) => budget.min_decode_engines_per_cell,
        }
    }
}

/// The total utilization of the ready engines of a role, and the number of these engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UtilizationSum {
    pub sum: f64,
    pub engines: u32,
}

impl UtilizationSum {
    /// The mean utilization after one engine drains and the remaining engines take over its load. Infinite if no engine
    /// would remain.
    pub fn mean_without_one(self) -> f64 {
        if self.engines < 2 {
            f64::INFINITY
        } else {
            self.sum / f64::from(self.engines - 1)
        }
    }
}

/// The key of an engine's cell: the zone and the cell, because cell names are unique within a zone only.
pub(super) fn cell_key(unit: &Unit) -> String {
    format!("{}/{}", unit.zone, unit.cell)
}
