//! Counts the available units of the fleet and checks whether a voter may drain.

use super::inputs::ControllerInputs;
use crate::coordination::disruption_budget::{
    DisruptionBudget, ServiceStatus, Unit, UnitCounts, UnitKind, Violation, ZoneSizes,
};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionPermit, DisruptionState, PermitId};
use crate::coordination::Name;
use std::collections::BTreeSet;

/// Counts the units of one kind. A unit with a permit counts as unavailable even while the unit still serves.
///
/// `forgotten` contains the permits that an injected fault excludes from the count.
pub(super) fn count_units(
    disruptions: &DisruptionState,
    units: &[Unit],
    unit_kind: UnitKind,
    budget: &DisruptionBudget,
    forgotten: &BTreeSet<PermitId>,
) -> UnitCounts {
    let units_with_permits: BTreeSet<&Name> = disruptions
        .permits
        .iter()
        .filter(|(id, permit)| {
            permit.unit_kind == unit_kind
                && !forgotten.contains(id)
                && !is_injected(InjectedFault::TurnTwice)
        })
        .map(|(_, permit)| &permit.unit)
        .collect();
    let is_disrupted = |unit: &Unit| units_with_permits.contains(&unit.name);
    if is_injected(InjectedFault::FailuresUncounted) {
        let units: Vec<Unit> = units.iter().map(copy_in_service).collect();
        return UnitCounts::new(units.iter(), &ZoneSizes::new(), budget, is_disrupted);
    }
    let mut budget = *budget;
    if is_injected(InjectedFault::OldReportTaken) {
        budget.max_report_age_ms = u64::MAX;
    }
    let sizes = disruptions.zone_sizes(unit_kind);
    UnitCounts::new(units.iter(), sizes, &budget, is_disrupted)
}

/// Returns a copy of the unit that is in service, for an injected fault that hides failures from the counts.
fn copy_in_service(unit: &Unit) -> Unit {
    Unit {
        status: ServiceStatus::InService,
        ..unit.clone()
    }
}

/// Whether the budget would allow the permit of a unit if the permit were granted now. `counts` must count the unit as
/// unavailable. True for a unit that is not in service, because its drain makes no further unit unavailable.
pub(super) fn is_still_allowed(
    counts: &mut UnitCounts,
    unit: Option<&Unit>,
    budget: &DisruptionBudget,
) -> bool {
    let Some(unit) = unit.filter(|unit| unit.status == ServiceStatus::InService) else {
        return true;
    };
    counts.mark_available(unit);
    let is_allowed = counts.check_disruption(unit, budget).is_ok();
    counts.mark_unavailable(unit);
    is_allowed
}

/// Checks that a voter drains only while all other voters are available and none of them has a permit. At most one
/// voter is therefore unavailable or about to become unavailable. Units that are not voters always pass the check.
/// `new_permits` are the permits that this step already grants.
///
/// Without this check a rollout could take the majority of the voters out of service. The fleet could then agree on
/// nothing, not even on the completion of the permits.
///
/// # Errors
/// Returns [`Violation::Voters`] if another voter is unavailable or has a permit.
pub(super) fn check_voters(
    unit: &Unit,
    inputs: &ControllerInputs<'_>,
    new_permits: &[DisruptionPermit],
) -> Result<(), Violation> {
    if unit.role.is_some() || !inputs.voters.contains(&unit.name) {
        return Ok(());
    }
    let unavailable = inputs
        .voters
        .iter()
        .filter(|name| !is_voter_available(name, inputs, new_permits))
        .count();
    match unavailable {
        0 => Ok(()),
        unavailable => Err(Violation::Voters {
            unavailable: unavailable as u32,
            voters: inputs.voters.len() as u32,
        }),
    }
}

fn is_voter_available(
    name: &Name,
    inputs: &ControllerInputs<'_>,
    new_permits: &[DisruptionPermit],
) -> bool {
    let is_in_service = inputs
        .view
        .dispatchers
        .iter()
        .any(|unit| unit.name == *name && unit.status == ServiceStatus::InService);
    let permit = inputs.disruptions.permit_for(UnitKind::Dispatchers, name);
    let gets_permit = new_permits.iter().any(|permit| permit.unit == *name);
    is_in_service && permit.is_none() && !gets_permit
}
