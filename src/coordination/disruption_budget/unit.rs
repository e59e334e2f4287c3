//! Units of a fleet, as a member sees them.

use crate::coordination::{Address, Incarnation, Name};
use crate::interface::{Ms, Role};
use std::collections::BTreeMap;
use std::fmt;

/// The kind of unit that is taken out of service and brought back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnitKind {
    /// Dispatchers, members of the fleet.
    #[default]
    Dispatchers,
    /// Engines that the dispatchers send requests to.
    Engines,
}

impl fmt::Display for UnitKind {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(if *self == UnitKind::Engines {
            "model hosts"
        } else {
            "dispatchers"
        })
    }
}

/// A dispatcher or an engine, as seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// Its lasting name.
    pub name: Name,
    /// Which process of it; an engine's start stands for it.
    pub incarnation: Incarnation,
    /// Where it is reached.
    pub address: Address,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone; empty for a dispatcher.
    pub cell: String,
    /// Its kind of hardware or build; empty for a dispatcher.
    pub kind: String,
    /// What an engine does; none for a dispatcher.
    pub role: Option<Role>,
    /// The version that it runs, or another label of its operators'; empty for an engine.
    pub label: String,
    /// Whether it serves.
    pub status: ServiceStatus,
    /// The fraction of its capacity in use, 0 to 1, and the age of the report in milliseconds.
    pub utilization: Option<(f64, Ms)>,
    /// Requests that this process answered.
    pub outcomes: OutcomeCounts,
}

/// Whether a unit serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceStatus {
    /// Seen lately and ready.
    InService,
    /// Seen, and not ready: starting, or cold within its slow-start window.
    Starting,
    /// Seen, and draining or stopping.
    Draining,
    /// Not seen, or not listed.
    OutOfService,
}

/// Answered requests, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Succeeded, in time or late.
    pub succeeded: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Succeeded after the deadline; counted in `succeeded` too.
    pub late: u64,
}

impl OutcomeCounts {
    /// All answered requests.
    pub fn total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// Requests that were rejected, failed or late.
    pub fn harmed(&self) -> u64 {
        self.rejected + self.failed + self.late
    }

    /// What was added since an earlier reading; never below 0.
    pub fn since(&self, before: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded.saturating_sub(before.succeeded),
            rejected: self.rejected.saturating_sub(before.rejected),
            failed: self.failed.saturating_sub(before.failed),
            late: self.late.saturating_sub(before.late),
        }
    }

    /// Adds the counts of another.
    pub fn add(&mut self, more: &OutcomeCounts) {
        self.succeeded += more.succeeded;
        self.rejected += more.rejected;
        self.failed += more.failed;
        self.late += more.late;
    }
}

/// The number of units of each zone that the fleet agreed on. A unit that is missing counts as unavailable, also for a
/// leader that never saw it.
pub type ZoneSizes = BTreeMap<String, u32>;

/// The number of units that are seen in each zone, ready or not.
pub fn observed_zone_sizes<'a>(units: impl Iterator<Item = &'a Unit>) -> ZoneSizes {
    let mut sizes = ZoneSizes::new();
    for unit in units.filter(|u| u.status != ServiceStatus::OutOfService) {
        *sizes.entry(unit.zone.clone()).or_default() += 1;
    }
    sizes
}
