//! Groups of units that the budget limits.

use super::budget::{DisruptionBudget, MaxUnavailable};
use super::unit::Unit;
use crate::interface::Role;

/// How many units there are in a group, and how many of them serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Count {
    pub size: u32,
    pub available: u32,
}

impl Count {
    pub fn unavailable(self) -> u32 {
        self.size - self.available.min(self.size)
    }

    /// The unavailable units and the limit, where the limit is used up.
    pub fn used_up(self, max: MaxUnavailable) -> Option<(u32, u32)> {
        let limit = max.limit_for(self.size);
        (self.unavailable() >= limit).then_some((self.unavailable(), limit))
    }

    /// The unavailable units and the limit, where the limit is exceeded.
    pub fn over(self, max: MaxUnavailable) -> Option<(u32, u32)> {
        let limit = max.limit_for(self.size);
        (self.unavailable() > limit).then_some((self.unavailable(), limit))
    }
}

/// What an engine does for requests; one that does both counts in each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServedRole {
    Prefill,
    Decode,
}

impl ServedRole {
    /// The operators' word for engines of this role.
    pub fn word(self) -> &'static str {
        match self {
            ServedRole::Prefill => "readers",
            ServedRole::Decode => "writers",
        }
    }

    pub fn served_by(unit: &Unit) -> impl Iterator<Item = ServedRole> {
        let prefill = matches!(unit.role, Some(Role::Prefill | Role::Both));
        let decode = matches!(unit.role, Some(Role::Decode | Role::Both));
        let prefill = prefill.then_some(ServedRole::Prefill);
        prefill
            .into_iter()
            .chain(decode.then_some(ServedRole::Decode))
    }
}

/// A scope in which ready engines have to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scope {
    Zone,
    Cell,
}

impl Scope {
    pub fn word(self) -> &'static str {
        match self {
            Scope::Zone => "zone",
            Scope::Cell => "cell",
        }
    }
}

/// Engines of a role in a zone or cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RoleGroup {
    pub scope: Scope,
    pub role: ServedRole,
    pub place: String,
}

impl RoleGroup {
    /// The zone's and the cell's group of an engine in one role.
    pub fn both_of(unit: &Unit, role: ServedRole) -> [RoleGroup; 2] {
        let group = |scope, place| RoleGroup { scope, role, place };
        [
            group(Scope::Zone, unit.zone.clone()),
            group(Scope::Cell, cell_of(unit)),
        ]
    }

    pub fn all_of(unit: &Unit) -> impl Iterator<Item = RoleGroup> + '_ {
        ServedRole::served_by(unit).flat_map(|role| RoleGroup::both_of(unit, role))
    }

    /// Engines of the group that have to stay ready; 0: no limit.
    pub fn minimum(&self, budget: &DisruptionBudget) -> u32 {
        match (self.scope, self.role) {
            (Scope::Zone, ServedRole::Prefill) => budget.min_prefill_engines_per_zone,
            (Scope::Zone, ServedRole::Decode) => budget.min_decode_engines_per_zone,
            (Scope::Cell, ServedRole::Prefill) => budget.min_prefill_engines_per_cell,
            (Scope::Cell, ServedRole::Decode) => budget.min_decode_engines_per_cell,
        }
    }
}

/// Utilization summed over the ready engines of a role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UtilizationSum {
    pub sum: f64,
    pub engines: u32,
}

impl UtilizationSum {
    /// The mean utilization once one engine is gone and its work is borne by the others.
    pub fn without_one(self) -> f64 {
        if self.engines < 2 {
            f64::INFINITY
        } else {
            self.sum / f64::from(self.engines - 1)
        }
    }
}

pub(super) fn cell_of(unit: &Unit) -> String {
    format!("{}/{}", unit.zone, unit.cell)
}
