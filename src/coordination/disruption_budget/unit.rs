//! Units of a fleet, as one member observes them.

use crate::coordination::{Address, Incarnation, Name};
use crate::interface::{Ms, Role};
use std::collections::BTreeMap;
use std::fmt;

/// Whether a unit is a dispatcher or an engine. The two kinds have separate limits and separate rollouts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnitKind {
    /// Dispatchers, which are the members of the fleet.
    #[default]
    Dispatchers,
    /// Engines, which serve the requests that dispatchers send.
    Engines,
}

impl fmt::Display for UnitKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(if *self == UnitKind::Engines {
            "model hosts"
        } else {
            "dispatchers"
        })
    }
}

/// A dispatcher or an engine, with its status at the time of observation.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// The unit's name, which stays the same across restarts.
    pub name: Name,
    /// Identifies the unit's process and changes with each restart. The start time of an engine serves as its
    /// incarnation.
    pub incarnation: Incarnation,
    /// The address at which the unit accepts connections.
    pub address: Address,
    /// The name of the unit's zone. The zone limit of a budget applies to all units with the same zone.
    pub zone: String,
    /// The name of the unit's cell within the zone. Empty for a dispatcher.
    pub cell: String,
    /// The kind of hardware or build of an engine. Empty for a dispatcher.
    pub kind: String,
    /// Whether an engine serves prefill, decode or both. None for a dispatcher.
    pub role: Option<Role>,
    /// The version that a dispatcher runs, or another label that operators gave to it. Empty for an engine.
    pub label: String,
    /// Whether the unit was ready, starting, draining or out of service when it was observed.
    pub status: ServiceStatus,
    /// The used fraction of an engine's capacity, from 0 to 1, and the age of the load report in milliseconds. None if
    /// no report is known.
    pub utilization: Option<(f64, Ms)>,
    /// Requests that the unit's process has answered, by outcome.
    pub outcomes: OutcomeCounts,
}

/// The service status of a unit, as one member observes the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceStatus {
    /// The unit has been seen recently and is ready.
    InService,
    /// The unit is seen but not ready yet: a process that starts, or a cold engine within its slow-start window.
    Starting,
    /// The unit is seen, but is draining or stopping.
    Draining,
    /// The unit is not seen, or discovery no longer lists it.
    OutOfService,
}

/// Cumulative counts of answered requests, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that succeeded, before or after their deadline.
    pub succeeded: u64,
    /// Requests that were rejected without being served.
    pub rejected: u64,
    /// Requests that were attempted and failed.
    pub failed: u64,
    /// Requests that succeeded after their deadline. Also counted in `succeeded`.
    pub late: u64,
}

impl OutcomeCounts {
    /// The number of answered requests.
    pub fn total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// The number of requests that were rejected, failed or answered late.
    pub fn harmed(&self) -> u64 {
        self.rejected + self.failed + self.late
    }

    /// The increase of each count since the earlier sample `before`. A count that has decreased yields 0.
    pub fn since(&self, before: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded.saturating_sub(before.succeeded),
            rejected: self.rejected.saturating_sub(before.rejected),
            failed: self.failed.saturating_sub(before.failed),
            late: self.late.saturating_sub(before.late),
        }
    }

    /// Adds the counts of another sample or unit.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.late += other.late;
    }
}

/// The agreed number of units in each zone. A missing unit counts as unavailable, even for a leader that has never seen
/// the unit.
pub type ZoneSizes = BTreeMap<String, u32>;

/// Counts the units of each zone that are not out of service, whether ready or not.
pub fn observed_zone_sizes<'a>(units: impl Iterator<Item = &'a Unit>) -> ZoneSizes {
    let mut sizes = ZoneSizes::new();
    for unit in units.filter(|unit| unit.status != ServiceStatus::OutOfService) {
        *sizes.entry(unit.zone.clone()).or_default() += 1;
    }
    sizes
}
