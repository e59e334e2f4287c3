//! Permits that allow units to go out of service, and the numbers of these permits.

use crate::coordination::disruption_budget::UnitKind;
use crate::coordination::{Address, Incarnation, Name};

/// The number of a permit. Numbers increase over the fleet's lifetime and are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId(pub u64);

/// A permit for one unit to go out of service. The fleet agrees on a permit before the unit is notified.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionPermit {
    /// Whether the unit is a dispatcher or an engine.
    pub unit_kind: UnitKind,
    /// The unit's name. A unit has at most one permit at a time.
    pub unit: Name,
    /// The incarnation of the process that may drain. A different incarnation under the same name shows that the unit
    /// has restarted.
    pub incarnation: Incarnation,
    /// The address at which the unit accepts connections.
    pub address: Address,
    /// The unit's zone, against whose limit the permit counts.
    pub zone: String,
    /// The label that the unit must have after its restart. If this label is empty, the unit may have any label.
    pub label: String,
    /// Whether the unit is removed for good instead of restarted.
    pub permanent: bool,
    /// Whether the current rollout granted the permit. False for a permit that a dispatcher requested for itself.
    pub planned: bool,
}
