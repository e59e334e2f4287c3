//! How many units of a fleet may be unavailable at once, and what forbids one more.
//!
//! A unit is a dispatcher or an engine. [`UnitCounts`] counts the units as one member sees them against the
//! [`DisruptionBudget`] over the fleet, a zone, a cell and a kind. A unit that is not seen in service counts as
//! unavailable, planned or not: failures use up the same budget as a rollout.

mod budget;
mod counts;
mod groups;
mod unit;
mod violation;

pub use budget::{BudgetError, DisruptionBudget, MaxUnavailable};
pub use counts::{UnavailableCount, UnitCounts};
pub use unit::{observed_zone_sizes, OutcomeCounts, ServiceStatus, Unit, UnitKind, ZoneSizes};
pub use violation::Violation;
