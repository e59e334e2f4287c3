//! The selection of units that get permits in the next step.

use super::inputs::ControllerInputs;
use super::unit_counts::check_voters;
use crate::coordination::disruption_budget::{
    DisruptionBudget, ServiceStatus, Unit, UnitCounts, UnitKind, Violation,
};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionPermit, Rollout};

/// The result of checking units for permits: the permits to grant in one step, and why the first rejected unit gets
/// none.
#[derive(Debug, Default)]
pub(super) struct Grants {
    /// The permits to propose to the voters in one step.
    pub permits: Vec<DisruptionPermit>,
    /// The limit that the first rejected unit would exceed. None if no unit was rejected.
    pub forbidden_by: Option<Violation>,
}

impl Grants {
    /// Grants permits of a rollout to candidates in the given order, skipping units that the budget does not allow.
    pub fn grant_to_candidates(
        candidates: &[&Unit],
        max_permits: usize,
        counts: &mut UnitCounts,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
    ) -> Grants {
        let plan = &rollout.plan;
        let label = match rollout.rolling_back {
            true => &plan.previous_label,
            false => &plan.label,
        };
        let skips_check = rollout.rolling_back && is_injected(InjectedFault::BackUnbound);
        let mut grants = Grants::default();
        for unit in candidates {
            if grants.permits.len() >= max_permits {
                break;
            }
            // A permit for a unit that is already unavailable does not use up any of the budget.
            let is_checked = unit.status == ServiceStatus::InService && !skips_check;
            if is_checked && !grants.is_allowed(unit, counts, inputs, &rollout.budget) {
                continue;
            }
            counts.mark_unavailable(unit);
            grants.permits.push(DisruptionPermit {
                permanent: plan.permanent,
                planned: true,
                ..unplanned_permit(unit, plan.unit_kind, label)
            });
        }
        grants
    }

    /// Grants permits to dispatchers that requested them, in the order of the requests, which are sorted by name.
    pub fn grant_to_requests(
        counts: &mut UnitCounts,
        inputs: &ControllerInputs<'_>,
        budget: &DisruptionBudget,
    ) -> Grants {
        let mut grants = Grants::default();
        for request in inputs.requests {
            let unit =
                inputs.view.dispatchers.iter().find(|unit| {
                    unit.name == request.name && unit.status == ServiceStatus::InService
                });
            let has_permit = inputs
                .disruptions
                .permit_for(UnitKind::Dispatchers, &request.name)
                .is_some();
            let Some(unit) = unit.filter(|_| !has_permit) else {
                continue;
            };
            if !grants.is_allowed(unit, counts, inputs, budget) {
                continue;
            }
            counts.mark_unavailable(unit);
            let permit = unplanned_permit(unit, UnitKind::Dispatchers, &request.label);
            grants.permits.push(permit);
        }
        grants
    }

    /// Whether the limits allow the unit to drain. Records the first violation in `forbidden_by`.
    fn is_allowed(
        &mut self,
        unit: &Unit,
        counts: &UnitCounts,
        inputs: &ControllerInputs<'_>,
        budget: &DisruptionBudget,
    ) -> bool {
        let allowed = counts
            .check_disruption(unit, budget)
            .and_then(|()| check_voters(unit, inputs, &self.permits));
        match allowed {
            Ok(()) => true,
            Err(violation) => {
                self.forbidden_by.get_or_insert(violation);
                false
            }
        }
    }
}

/// A permit for a unit that restarts outside of a rollout.
fn unplanned_permit(unit: &Unit, unit_kind: UnitKind, label: &str) -> DisruptionPermit {
    DisruptionPermit {
        unit_kind,
        unit: unit.name.clone(),
        incarnation: unit.incarnation,
        address: unit.address.clone(),
        zone: unit.zone.clone(),
        label: label.to_owned(),
        permanent: false,
        planned: false,
    }
}
