//! Units counted with the permits that are granted.

use super::inputs::ControllerInputs;
use crate::coordination::disruption_budget::{
    DisruptionBudget, ServiceStatus, Unit, UnitCounts, UnitKind, Violation, ZoneSizes,
};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionPermit, DisruptionState, PermitId};
use crate::coordination::Name;
use std::collections::BTreeSet;

/// Counts units; a unit with a permit counts as unavailable, also while it still serves. `forgotten`: permits that do
/// not count, by an injected fault.
pub(super) fn count_units(
    disruptions: &DisruptionState,
    units: &[Unit],
    unit_kind: UnitKind,
    budget: &DisruptionBudget,
    forgotten: &BTreeSet<PermitId>,
) -> UnitCounts {
    let permitted: BTreeSet<&Name> = disruptions
        .permits
        .iter()
        .filter(|(id, permit)| {
            permit.unit_kind == unit_kind
                && !forgotten.contains(id)
                && !is_injected(InjectedFault::TurnTwice)
        })
        .map(|(_, permit)| &permit.unit)
        .collect();
    let is_disrupted = |unit: &Unit| permitted.contains(&unit.name);
    if is_injected(InjectedFault::FailuresUncounted) {
        let units: Vec<Unit> = units.iter().map(as_in_service).collect();
        return UnitCounts::new(units.iter(), &ZoneSizes::new(), budget, is_disrupted);
    }
    let mut budget = *budget;
    if is_injected(InjectedFault::OldReportTaken) {
        budget.max_report_age_ms = u64::MAX;
    }
    let sizes = disruptions.zone_sizes(unit_kind);
    UnitCounts::new(units.iter(), sizes, &budget, is_disrupted)
}

fn as_in_service(unit: &Unit) -> Unit {
    Unit {
        status: ServiceStatus::InService,
        ..unit.clone()
    }
}

/// Whether a unit with a permit could still be granted it.
pub(super) fn still_fits(
    counts: &mut UnitCounts,
    unit: Option<&Unit>,
    budget: &DisruptionBudget,
) -> bool {
    let Some(unit) = unit.filter(|u| u.status == ServiceStatus::InService) else {
        return true;
    };
    counts.mark_available(unit);
    let fits = counts.check_disruption(unit, budget).is_ok();
    counts.mark_unavailable(unit);
    fits
}

/// Whether a unit may go as a voter.
///
/// Guards against a rollout that takes the majority of the voters, which would show as a fleet that can agree on
/// nothing, not even on the permits' end: no voter goes while another one is unavailable or about to go.
///
/// # Errors
/// How many voters are unavailable.
pub(super) fn check_voters(
    unit: &Unit,
    inputs: &ControllerInputs<'_>,
    granting: &[DisruptionPermit],
) -> Result<(), Violation> {
    if unit.role.is_some() || !inputs.voters.contains(&unit.name) {
        return Ok(());
    }
    let unavailable = inputs
        .voters
        .iter()
        .filter(|name| !is_voter_available(name, inputs, granting))
        .count();
    match unavailable {
        0 => Ok(()),
        unavailable => Err(Violation::MinReady {
            role: "voters",
            place: format!("{unavailable} of the voters are out"),
            minimum: inputs.voters.len() as u32,
        }),
    }
}

fn is_voter_available(
    name: &Name,
    inputs: &ControllerInputs<'_>,
    granting: &[DisruptionPermit],
) -> bool {
    let serves = inputs
        .view
        .dispatchers
        .iter()
        .any(|u| u.name == *name && u.status == ServiceStatus::InService);
    let permit = inputs.disruptions.permit_for(UnitKind::Dispatchers, name);
    let is_going = granting.iter().any(|permit| permit.unit == *name);
    serves && permit.is_none() && !is_going
}
