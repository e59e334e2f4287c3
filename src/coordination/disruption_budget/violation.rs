//! Violations of a disruption budget: the limits that can prevent a unit from draining.

use std::fmt;

/// The limit that prevents a unit from draining now. Displayed in the status of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The fleet already has as many unavailable units as its limit allows.
    Fleet {
        /// The number of the fleet's units that are unavailable or have a permit to drain.
        unavailable: u32,
        /// The number of the fleet's units that may be unavailable at once.
        limit: u32,
    },
    /// The zone already has as many unavailable units as its limit allows.
    Zone {
        /// The name of the zone whose limit is reached.
        zone: String,
        /// The number of the zone's units that are unavailable or have a permit to drain.
        unavailable: u32,
        /// The number of the zone's units that may be unavailable at once.
        limit: u32,
    },
    /// The cell already has as many unavailable units as its limit allows.
    Cell {
        /// The cell whose limit is reached: the zone's name and the cell's name, separated by a slash.
        cell: String,
        /// The number of the cell's units that are unavailable or have a permit to drain.
        unavailable: u32,
        /// The number of the cell's units that may be unavailable at once.
        limit: u32,
    },
    /// The kind already has as many unavailable units as its limit allows.
    Kind {
        /// The kind of hardware or build whose limit is reached.
        kind: String,
        /// The number of the kind's units that are unavailable or have a permit to drain.
        unavailable: u32,
        /// The number of the kind's units that may be unavailable at once.
        limit: u32,
    },
    /// A zone or a cell has no more ready engines of a role than the minimum.
    MinReady {
        /// The role's name in the settings: `readers` for prefill, `writers` for decode.
        role: &'static str,
        /// The zone or cell as text for operators, for example `zone z1`.
        group: String,
        /// The minimum number of engines that must stay ready.
        minimum: u32,
    },
    /// The unit is a voter, and another voter is unavailable or about to become unavailable.
    Voters {
        /// The number of voters that are unavailable or have a permit to drain.
        unavailable: u32,
        /// The number of voters in the fleet, whether available or not.
        voters: u32,
    },
    /// The remaining engines of a role would exceed the maximum utilization.
    Utilization {
        /// The engines of the fleet or of a zone, as text for operators, for example `zone z1, readers`.
        engines: String,
        /// The expected mean utilization of the remaining engines, in thousandths, from 0 to 999.
        per_mille: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Fleet { unavailable, limit } => {
                write!(
                    formatter,
                    "{unavailable} units of the fleet are unavailable, and at most {limit} may be unavailable"
                )
            }
            Violation::Zone {
                zone,
                unavailable,
                limit,
            } => write!(
                formatter,
                "zone {zone}: {unavailable} units are unavailable, and at most {limit} may be unavailable"
            ),
            Violation::Cell {
                cell,
                unavailable,
                limit,
            } => write!(
                formatter,
                "cell {cell}: {unavailable} units are unavailable, and at most {limit} may be unavailable"
            ),
            Violation::Kind {
                kind,
                unavailable,
                limit,
            } => write!(
                formatter,
                "kind {kind}: {unavailable} units are unavailable, and at most {limit} may be unavailable"
            ),
            Violation::MinReady {
                role,
                group,
                minimum,
            } => write!(formatter, "{group}: {minimum} {role} must stay ready"),
            Violation::Voters {
                unavailable,
                voters,
            } => write!(
                formatter,
                "{unavailable} of {voters} voters are unavailable, and a voter drains only while \
                 all other voters are available"
            ),
            Violation::Utilization { engines, per_mille } => write!(
                formatter,
                "{engines}: the mean use of the remaining engines would be 0.{:03}, or nobody knows it",
                per_mille.min(&999)
            ),
        }
    }
}
