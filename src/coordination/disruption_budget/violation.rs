//! Why a unit may not go.

use std::fmt;

/// The limit that forbids a unit to go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The fleet's limit is used up.
    Fleet {
        /// Units that are unavailable.
        unavailable: u32,
        /// Units that may be.
        limit: u32,
    },
    /// A zone's limit is used up.
    Zone {
        /// The zone.
        zone: String,
        /// Units that are unavailable.
        unavailable: u32,
        /// Units that may be.
        limit: u32,
    },
    /// A cell's limit is used up.
    Cell {
        /// The cell, after its zone.
        cell: String,
        /// Units that are unavailable.
        unavailable: u32,
        /// Units that may be.
        limit: u32,
    },
    /// A kind's limit is used up.
    Kind {
        /// The kind.
        kind: String,
        /// Units that are unavailable.
        unavailable: u32,
        /// Units that may be.
        limit: u32,
    },
    /// No more units of a role stay ready in a place than have to.
    MinReady {
        /// The role, in the operators' words.
        role: &'static str,
        /// The zone or cell, in words.
        place: String,
        /// Units that have to stay.
        minimum: u32,
    },
    /// Those that stay in a place would be used too much.
    Utilization {
        /// The place and the role, in words.
        place: String,
        /// The utilization to expect, in thousandths; at most 999.
        per_mille: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Fleet { unavailable, limit } => {
                write!(to, "{unavailable} of the fleet are out and {limit} may be")
            }
            Violation::Zone {
                zone,
                unavailable,
                limit,
            } => write!(to, "zone {zone}: {unavailable} are out and {limit} may be"),
            Violation::Cell {
                cell,
                unavailable,
                limit,
            } => write!(to, "cell {cell}: {unavailable} are out and {limit} may be"),
            Violation::Kind {
                kind,
                unavailable,
                limit,
            } => write!(to, "kind {kind}: {unavailable} are out and {limit} may be"),
            Violation::MinReady {
                role,
                place,
                minimum,
            } => write!(to, "{place}: {minimum} ready {role} have to stay"),
            Violation::Utilization { place, per_mille } => write!(
                to,
                "{place}: those left would be used to 0.{:03}, or nobody knows",
                per_mille.min(&999)
            ),
        }
    }
}
