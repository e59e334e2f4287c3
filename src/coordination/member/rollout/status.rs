//! Builds the status of the rollout and the permits for operators.

use super::super::*;
use crate::coordination::disruption_budget::UnavailableCount;
use crate::coordination::rollout::{DisruptionPermit, DisruptionState, Rollout};
use crate::coordination::rollout_controller::{permit_stage, FleetView, PermitStage};

impl Member {
    /// The status of the rollout and the permits, from the state that this dispatcher knows to be agreed on. If no such
    /// state is known, the status shows the newest proposed state instead.
    pub fn rollout_status(&self) -> RolloutStatus {
        let newest = || self.newest().map(|value| &*value.disruptions);
        let Some(disruptions) = self.agreed_disruptions().or_else(newest) else {
            return RolloutStatus::default();
        };
        let view = self.fleet_view();
        let controller = self.disruptions.controller.as_ref();
        let blocked_reason = controller.and_then(|controller| controller.blocked_reason.clone());
        let rollout = disruptions.rollout.as_deref();
        let permits = disruptions.permits.iter();
        let status_without_rollout = RolloutStatus {
            state: rollout_state_name(disruptions, blocked_reason.is_some()).to_owned(),
            halted: disruptions.halted.clone().unwrap_or_default(),
            blocked_reason: blocked_reason.unwrap_or_default(),
            permits: permits
                .map(|(id, permit)| self.permit_status(*id, permit, &view))
                .collect(),
            unavailable: self.unavailable_counts(disruptions, &view),
            notes: disruptions.notes.clone(),
            ..RolloutStatus::default()
        };
        match rollout {
            Some(rollout) => with_rollout(status_without_rollout, rollout, &view),
            None => status_without_rollout,
        }
    }

    fn permit_status(
        &self,
        id: PermitId,
        permit: &DisruptionPermit,
        view: &FleetView,
    ) -> PermitStatus {
        let units = view.units(permit.unit_kind);
        let unit = units.iter().find(|unit| unit.name == permit.unit);
        let stage = match permit_stage(permit, unit) {
            // Only the membership leader sees units, so other dispatchers cannot tell the stage.
            _ if self.membership.is_none() => "given",
            PermitStage::Granted => "given",
            PermitStage::Draining => "out",
            PermitStage::Starting => "starting",
            PermitStage::Returned => "back",
            PermitStage::WrongVersion => "back under another label",
        };
        PermitStatus {
            permit: id,
            unit: permit.unit.clone(),
            zone: permit.zone.clone(),
            stage: stage.to_owned(),
        }
    }

    /// The unavailable units and their limits. Empty unless this dispatcher is the membership leader.
    fn unavailable_counts(
        &self,
        disruptions: &DisruptionState,
        view: &FleetView,
    ) -> Vec<UnavailableCount> {
        let Some(controller) = &self.disruptions.controller else {
            return Vec::new();
        };
        let rollout = disruptions.rollout.as_deref();
        let unit_kind = rollout.map_or(UnitKind::Dispatchers, |rollout| rollout.plan.unit_kind);
        let budget = rollout.map_or(&self.settings.disruption_budgets.0, |rollout| {
            &rollout.budget
        });
        controller.unavailable_counts(disruptions, view, unit_kind, budget)
    }
}

/// Returns the status with the name, the progress and the abandoned units of the rollout filled in.
fn with_rollout(status: RolloutStatus, rollout: &Rollout, view: &FleetView) -> RolloutStatus {
    let plan = &rollout.plan;
    let units = view.units(plan.unit_kind).iter();
    let abandoned = rollout.abandoned.clone().into_iter();
    RolloutStatus {
        name: plan.name.clone(),
        unit_kind: plan.unit_kind,
        wave: rollout.wave + 1,
        granted_in_wave: rollout.granted_in_wave,
        wave_size: match rollout.rolling_back {
            true => 0,
            false => plan.wave_size(rollout.wave),
        },
        completed: rollout.completed,
        selected: units.filter(|unit| plan.selects(unit)).count() as u32,
        abandoned: abandoned
            .map(|(unit, reason)| AbandonedUnit { unit, reason })
            .collect(),
        ..status
    }
}

/// The state of the rollout, as one of the names that are listed at [`RolloutStatus::state`].
fn rollout_state_name(disruptions: &DisruptionState, is_blocked: bool) -> &'static str {
    let no_permits = disruptions.permits.is_empty();
    match disruptions.rollout.as_deref() {
        None => "none",
        Some(rollout) if rollout.finished => "done",
        Some(_) if disruptions.halted.is_some() => "halted",
        Some(rollout) if rollout.rolling_back => "going back",
        Some(rollout) if rollout.completed == 0 && no_permits => "waiting",
        Some(_) if is_blocked && no_permits => "held",
        Some(_) => "running",
    }
}
