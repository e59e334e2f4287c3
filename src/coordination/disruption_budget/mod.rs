//! Limits on the number of units that may be unavailable at once, and the check whether another unit may drain.
//!
//! A unit is a dispatcher or an engine. [`UnitCounts`] counts the units that one member sees against the limits of a
//! [`DisruptionBudget`] for the fleet, each zone, each cell and each kind. Any unit that is not seen in service counts
//! as unavailable, so that failures use up the same budget as a rollout.

mod budget;
mod counts;
mod groups;
mod unit;
mod violation;

pub use budget::{BudgetError, DisruptionBudget, MaxUnavailable};
pub use counts::{UnavailableCount, UnitCounts};
pub use unit::{observed_zone_sizes, OutcomeCounts, ServiceStatus, Unit, UnitKind, ZoneSizes};
pub use violation::Violation;
