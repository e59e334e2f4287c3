//! How far a unit with a permit has come.

use crate::coordination::disruption_budget::{ServiceStatus, Unit, UnitKind};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::DisruptionPermit;

/// How far a unit with a permit has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStage {
    /// The unit serves as before.
    Granted,
    /// The unit drains or is gone.
    Draining,
    /// Another process of the unit is there and not ready yet.
    Starting,
    /// The unit is back and ready under its label; or gone for good, where that was wanted.
    Returned,
    /// The unit is back and ready under another label.
    WrongVersion,
}

/// The stage of a permit, by what is seen of its unit.
pub fn permit_stage(permit: &DisruptionPermit, unit: Option<&Unit>) -> PermitStage {
    let Some(unit) = unit.filter(|u| u.status != ServiceStatus::OutOfService) else {
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
        ServiceStatus::InService if label_fits(permit, unit) => PermitStage::Returned,
        ServiceStatus::InService => PermitStage::WrongVersion,
        _ => PermitStage::Starting,
    }
}

/// An engine carries no label; the discovery registry gets it with the notice.
fn label_fits(permit: &DisruptionPermit, unit: &Unit) -> bool {
    permit.label.is_empty()
        || permit.unit_kind == UnitKind::Engines
        || is_injected(InjectedFault::LabelUnchecked)
        || permit.label == unit.label
}
