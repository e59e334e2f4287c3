//! The limits that operators set.

use std::fmt;

/// The most units of a group that may be unavailable at once: a count and a share; the smaller one binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MaxUnavailable {
    /// Units.
    pub count: u32,
    /// Share of the group, in thousandths.
    pub per_mille: u32,
}

impl MaxUnavailable {
    /// No limit.
    pub const ALL: MaxUnavailable = MaxUnavailable {
        count: u32::MAX,
        per_mille: 1000,
    };

    /// The limit for a group of this many units.
    pub fn limit_for(self, size: u32) -> u32 {
        let share = u64::from(size) * u64::from(self.per_mille) / 1000;
        self.count.min(u32::try_from(share).unwrap_or(u32::MAX))
    }
}

/// Limits for one kind of unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionBudget {
    /// Over the whole fleet.
    pub fleet: MaxUnavailable,
    /// In each zone.
    pub zone: MaxUnavailable,
    /// In each cell of a zone; engines only.
    pub cell: MaxUnavailable,
    /// Of each kind; engines only.
    pub kind: MaxUnavailable,
    /// Ready prefill engines that stay in each zone; 0: no limit.
    pub min_prefill_engines_per_zone: u32,
    /// Ready decode engines that stay in each zone; 0: no limit.
    pub min_decode_engines_per_zone: u32,
    /// Ready prefill engines that stay in each cell; 0: no limit.
    pub min_prefill_engines_per_cell: u32,
    /// Ready decode engines that stay in each cell; 0: no limit.
    pub min_decode_engines_per_cell: u32,
    /// No engine goes when the utilization of those that stay would exceed this, in thousandths; 1000: no limit.
    pub max_utilization_per_mille: u32,
    /// An engine whose load report is older than this, in milliseconds, counts as fully used.
    pub max_report_age_ms: u64,
}

impl Default for DisruptionBudget {
    /// One unit of each zone at a time.
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

/// Limits that can never be met, or that contradict each other. Displayed as what is wanted instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetError {
    /// The limit of this scope lets no unit go.
    AllowsNone {
        /// `fleet`, `zone`, `cell` or `kind`.
        scope: &'static str,
    },
    /// The share of this scope is above 1000 thousandths.
    ShareAboveOne {
        /// `fleet`, `zone`, `cell` or `kind`.
        scope: &'static str,
    },
    /// The limit of this scope is above the fleet's.
    AboveFleet {
        /// `zone`, `cell` or `kind`.
        scope: &'static str,
        /// The fleet's limit, in units.
        limit: u32,
    },
    /// More engines have to stay in a cell than in its zone.
    CellAboveZone {
        /// The settings' word for the engines' role.
        role: &'static str,
        /// The zone's minimum, in engines.
        zone_minimum: u32,
    },
    /// The highest utilization is not within 1 to 1000 thousandths.
    UtilizationOutOfRange,
}

impl fmt::Display for BudgetError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BudgetError::AllowsNone { scope } => {
                write!(to, "'{scope}' that lets at least one go")
            }
            BudgetError::ShareAboveOne { scope } => {
                write!(to, "'{scope}' with a part of at most 1")
            }
            BudgetError::AboveFleet { scope, limit } => {
                write!(to, "'{scope}' of at most the fleet's {limit}")
            }
            BudgetError::CellAboveZone { role, zone_minimum } => write!(
                to,
                "ready {role} of a cell of at most those of its zone, {zone_minimum}"
            ),
            BudgetError::UtilizationOutOfRange => to.write_str("'used' over 0 and at most 1"),
        }
    }
}

impl std::error::Error for BudgetError {}

impl DisruptionBudget {
    /// Checks that the limits can be met and do not contradict each other.
    ///
    /// # Errors
    /// The first limit that cannot.
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
