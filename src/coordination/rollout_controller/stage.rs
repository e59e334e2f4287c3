//! The stages through which a unit passes from the grant of its permit to its return or removal.

use crate::coordination::disruption_budget::{ServiceStatus, Unit, UnitKind};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::DisruptionPermit;

/// The progress of a unit with a permit in its restart or removal, as the membership leader sees the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStage {
    /// The process with the permit is running and has not begun to drain.
    Granted,
    /// The unit is draining, or no longer seen.
    Draining,
    /// A new process of the unit has started and is not ready yet.
    Starting,
    /// The unit has restarted and is ready under the permit's label, or a permanently removed unit is no longer seen.
    Returned,
    /// The unit has restarted and is ready under a label other than the permit's.
    WrongVersion,
}

/// Derives the stage of a permit from the unit's current status. `unit` is none if the unit is not seen.
pub fn permit_stage(permit: &DisruptionPermit, unit: Option<&Unit>) -> PermitStage {
    let Some(unit) = unit.filter(|unit| unit.status != ServiceStatus::OutOfService) else {
        return match permit.permanent {
            true => PermitStage::Returned,
            false => PermitStage::Draining,
        };
    };
    if unit.incarnation == permit.incarnation {
        return match unit.status {
            ServiceStatus::Draining => PermitStage::Draining,
            _ => PermitStage::Granted,
        };
    }
    match unit.status {
        ServiceStatus::InService if permit.permanent => PermitStage::Starting,
        ServiceStatus::InService if matches_label(permit, unit) => PermitStage::Returned,
        ServiceStatus::InService => PermitStage::WrongVersion,
        _ => PermitStage::Starting,
    }
}

/// Whether the unit has the permit's label. Engines always match: an engine reports no label, and the discovery
/// registry receives the label with the notice.
fn matches_label(permit: &DisruptionPermit, unit: &Unit) -> bool {
    permit.label.is_empty()
        || permit.unit_kind == UnitKind::Engines
        || is_injected(InjectedFault::LabelUnchecked)
        || permit.label == unit.label
}
