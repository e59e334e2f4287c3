//! Disruption budgets: the limits on unavailable units that operators set.

use std::fmt;

/// The maximum number of units of a group that may be unavailable at once, as a count and as a share of the group. The
/// smaller of the two applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MaxUnavailable {
    /// The maximum as a number of units.
    pub count: u32,
    /// The maximum as a share of the group's units, in thousandths.
    pub per_mille: u32,
}

impl MaxUnavailable {
    /// No limit: all units of a group may be unavailable at once.
    pub const ALL: MaxUnavailable = MaxUnavailable {
        count: u32::MAX,
        per_mille: 1000,
    };

    /// The limit for a group of `size` units. The share is rounded down to whole units.
    pub fn limit_for(self, size: u32) -> u32 {
        let share = u64::from(size) * u64::from(self.per_mille) / 1000;
        self.count.min(u32::try_from(share).unwrap_or(u32::MAX))
    }
}

/// The limits on unavailable units, for dispatchers or for engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionBudget {
    /// The limit for all units of the fleet together.
    pub fleet: MaxUnavailable,
    /// The limit for the units of each zone.
    pub zone: MaxUnavailable,
    /// The limit for each cell of a zone. Applies to engines only.
    pub cell: MaxUnavailable,
    /// The limit for each kind of hardware or build. Applies to engines only.
    pub kind: MaxUnavailable,
    /// The minimum number of ready prefill engines in each zone; 0 for no minimum.
    pub min_prefill_engines_per_zone: u32,
    /// The minimum number of ready decode engines in each zone; 0 for no minimum.
    pub min_decode_engines_per_zone: u32,
    /// The minimum number of ready prefill engines in each cell; 0 for no minimum.
    pub min_prefill_engines_per_cell: u32,
    /// The minimum number of ready decode engines in each cell; 0 for no minimum.
    pub min_decode_engines_per_cell: u32,
    /// The maximum mean utilization of the remaining engines after one engine drains, in thousandths; 1000 for no
    /// limit.
    pub max_utilization_per_mille: u32,
    /// The maximum age of a load report, in milliseconds. An engine with an older report counts as fully used.
    pub max_report_age_ms: u64,
}

impl Default for DisruptionBudget {
    /// The default budget allows one unavailable unit in each zone.
    fn default() -> Self {
        DisruptionBudget {
            fleet: MaxUnavailable::ALL,
            zone: MaxUnavailable {
                count: 1,
                per_mille: 1000,
            },
            cell: MaxUnavailable::ALL,
            kind: MaxUnavailable::ALL,
            min_prefill_engines_per_zone: 0,
            min_decode_engines_per_zone: 0,
            min_prefill_engines_per_cell: 0,
            min_decode_engines_per_cell: 0,
            max_utilization_per_mille: 1000,
            max_report_age_ms: 5_000,
        }
    }
}

/// A limit under which no unit could ever drain, a limit out of range, or a limit that contradicts another limit. The
/// displayed text describes the value that the settings should have instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetError {
    /// The limit of the given scope allows no unavailable unit.
    AllowsNone {
        /// The scope of the limit: `fleet`, `zone`, `cell` or `kind`.
        scope: &'static str,
    },
    /// The limit of the given scope has a share above 1000 thousandths of the group.
    ShareAboveOne {
        /// The scope of the limit: `fleet`, `zone`, `cell` or `kind`.
        scope: &'static str,
    },
    /// The limit of the given scope allows more unavailable units than the fleet's limit.
    AboveFleet {
        /// The scope of the limit: `zone`, `cell` or `kind`.
        scope: &'static str,
        /// The fleet's limit, as a number of units.
        limit: u32,
    },
    /// For one role, the minimum number of ready engines per cell is above the minimum per zone.
    CellAboveZone {
        /// The role's name in the settings: `readers` for prefill, `writers` for decode.
        role: &'static str,
        /// The minimum number of ready engines per zone.
        zone_minimum: u32,
    },
    /// The maximum utilization is not between 1 and 1000 thousandths.
    UtilizationOutOfRange,
}

impl fmt::Display for BudgetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BudgetError::AllowsNone { scope } => {
                write!(
                    formatter,
                    "a '{scope}' limit that allows at least one unavailable unit"
                )
            }
            BudgetError::ShareAboveOne { scope } => {
                write!(formatter, "a '{scope}' limit with a 'part' of at most 1")
            }
            BudgetError::AboveFleet { scope, limit } => {
                write!(
                    formatter,
                    "a '{scope}' limit of at most {limit}, the limit of the fleet"
                )
            }
            BudgetError::CellAboveZone { role, zone_minimum } => write!(
                formatter,
                "a minimum of ready {role} per cell of at most {zone_minimum}, the minimum per zone"
            ),
            BudgetError::UtilizationOutOfRange => {
                formatter.write_str("a 'used' limit above 0 and at most 1")
            }
        }
    }
}

impl std::error::Error for BudgetError {}

impl DisruptionBudget {
    /// Checks that each limit is in range and allows units to drain, and that no two limits contradict each other.
    ///
    /// # Errors
    /// Returns the first limit that fails the check.
    pub fn check(&self) -> Result<(), BudgetError> {
        self.check_limits()?;
        self.check_minima()?;
        if !(1..=1000).contains(&self.max_utilization_per_mille) {
            return Err(BudgetError::UtilizationOutOfRange);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), BudgetError> {
        let scopes = [
            ("fleet", self.fleet),
            ("zone", self.zone),
            ("cell", self.cell),
            ("kind", self.kind),
        ];
        for (scope, max) in scopes {
            if max.count == 0 || max.per_mille == 0 {
                return Err(BudgetError::AllowsNone { scope });
            }
            if max.per_mille > 1000 {
                return Err(BudgetError::ShareAboveOne { scope });
            }
            if max.count != u32::MAX && max.count > self.fleet.count {
                let limit = self.fleet.count;
                return Err(BudgetError::AboveFleet { scope, limit });
            }
        }
        Ok(())
    }

    fn check_minima(&self) -> Result<(), BudgetError> {
        let roles = [
            (
                "readers",
                self.min_prefill_engines_per_cell,
                self.min_prefill_engines_per_zone,
            ),
            (
                "writers",
                self.min_decode_engines_per_cell,
                self.min_decode_engines_per_zone,
            ),
        ];
        for (role, cell, zone_minimum) in roles {
            if zone_minimum > 0 && cell > zone_minimum {
                return Err(BudgetError::CellAboveZone { role, zone_minimum });
            }
        }
        Ok(())
    }
}
