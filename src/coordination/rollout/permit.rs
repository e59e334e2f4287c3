//! The permit for one unit to go out of service.

use crate::coordination::disruption_budget::UnitKind;
use crate::coordination::{Address, Incarnation, Name};

/// A permit's number: counted over all that were ever granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId(pub u64);

/// The permit for one unit to go out of service. The fleet agrees on it before the unit is notified.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionPermit {
    /// The kind of unit.
    pub unit_kind: UnitKind,
    /// The unit.
    pub unit: Name,
    /// The process that is to go: another incarnation of its name has been out and back.
    pub incarnation: Incarnation,
    /// Where the unit is reached.
    pub address: Address,
    /// The unit's zone.
    pub zone: String,
    /// The label that it is to come back under; empty: any.
    pub label: String,
    /// The unit is not to come back.
    pub permanent: bool,
    /// Granted by the rollout that is under way, not asked for beside it.
    pub planned: bool,
}
