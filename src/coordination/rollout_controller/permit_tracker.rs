//! Tracks granted permits and decides when to notify units and to complete, revoke or abandon permits.

use super::inputs::ControllerInputs;
use super::stage::{permit_stage, PermitStage};
use super::unit_counts::is_still_allowed;
use crate::coordination::disruption_budget::{Unit, UnitCounts};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutStep, MAX_ABANDONED,
};
use crate::coordination::Name;
use crate::interface::Ms;
use std::collections::BTreeMap;

/// Timeouts of a permit, in milliseconds from when the leader first sees the permit.
#[derive(Clone, Copy, Debug)]
struct PermitTimeouts {
    /// How long the unit may take to begin draining.
    start: Ms,
    /// How long the unit may take to be ready again.
    restart: Ms,
    /// How long the unit must stay ready after its restart, in milliseconds from when the unit is ready.
    settle: Ms,
}

/// Timeouts of permits that dispatchers requested outside of a rollout.
const UNPLANNED_TIMEOUTS: PermitTimeouts = PermitTimeouts {
    start: 30_000.0,
    restart: 600_000.0,
    settle: 2_000.0,
};

/// The maximum number of restarts of a unit under the wrong label during a rollback. After one more such restart the
/// unit is abandoned, and an operator has to repair it.
const MAX_WRONG_VERSION_RESTARTS: u32 = 3;

/// This leader's observations of one permit.
#[derive(Clone, Debug, Default, PartialEq)]
struct Observation {
    /// When this leader first saw the permit, or when an operator last ended a halt after that.
    first_seen_at: Ms,
    /// The current stage, and when the permit entered the stage.
    stage_since: Option<(PermitStage, Ms)>,
    /// Whether the unit has confirmed that it has not begun to drain and will not begin on this permit.
    revoked: bool,
    /// Whether an operator has ended a halt since the permit was granted, and has thereby accepted the unit's
    /// condition.
    condition_accepted_by_operator: bool,
}

/// The actions that follow from the current stages of all permits.
#[derive(Debug, Default)]
pub(super) struct PermitDecisions {
    /// Permits whose units must be notified.
    pub to_notify: Vec<PermitId>,
    /// Permits whose units must be asked not to begin draining.
    pub to_revoke: Vec<PermitId>,
    /// The step to propose. None if no permit needs a change.
    pub step: Option<RolloutStep>,
}

/// The action that follows from the current stage of one permit.
enum Decision {
    Wait,
    Notify,
    AskRevocation,
    /// The unit has returned, or has been removed for good.
    Complete,
    /// The unit will not begin draining, or the permit is no longer needed.
    Revoke,
    /// Proposes the step at once, before the remaining permits are examined.
    Step(RolloutStep),
}

/// A permit and the observations on which the decision about the permit depends.
struct PermitCase<'a> {
    id: PermitId,
    permit: &'a DisruptionPermit,
    unit: Option<&'a Unit>,
    stage: PermitStage,
    /// How long the permit has been in this stage, in milliseconds.
    time_in_stage: Ms,
    /// How long this leader has seen the permit, in milliseconds.
    age: Ms,
    timeouts: PermitTimeouts,
    /// The current rollout. None if the rollout is finished.
    rollout: Option<&'a Rollout>,
    disruptions: &'a DisruptionState,
    revoked: bool,
    condition_accepted_by_operator: bool,
}

/// Timers of permits, and the replies of units to revocation requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PermitTracker {
    observations: BTreeMap<PermitId, Observation>,
    /// The number of times that each unit restarted under the new label during a rollback although its permit carried
    /// the previous label.
    wrong_version_restarts: BTreeMap<Name, u32>,
}

impl PermitTracker {
    /// Discards the observations of permits that have been completed, revoked or abandoned.
    pub fn retain_granted(&mut self, disruptions: &DisruptionState) {
        self.observations
            .retain(|id, _| disruptions.permits.contains_key(id));
    }

    /// Restarts all timers after an operator has ended a halt, and marks the current condition of all units with
    /// permits as accepted.
    ///
    /// Otherwise the rollout would halt again at once because of a condition that the operator has just seen.
    pub fn restart_timers(&mut self, now: Ms) {
        for observation in self.observations.values_mut() {
            *observation = Observation {
                first_seen_at: now,
                condition_accepted_by_operator: true,
                ..Observation::default()
            };
        }
    }

    /// Records a unit's reply to a revocation request: whether the unit has begun to drain on the permit. A unit that
    /// has not begun will not begin any more.
    pub fn record_revocation_reply(&mut self, id: PermitId, begun: bool) {
        if let Some(observation) = self.observations.get_mut(&id).filter(|_| !begun) {
            observation.revoked = true;
        }
    }

    /// Whether the unit has confirmed that it will not begin to drain.
    pub fn is_revoked(&self, id: PermitId) -> bool {
        self.observations
            .get(&id)
            .is_some_and(|observation| observation.revoked)
    }

    /// Decides the action for each permit. `counts` are the unit counts for the budget of the unfinished rollout, and
    /// none if there is no unfinished rollout.
    pub fn decide(
        &mut self,
        inputs: &ControllerInputs<'_>,
        mut counts: Option<UnitCounts>,
    ) -> PermitDecisions {
        let mut decisions = PermitDecisions::default();
        let (mut complete, mut revoke) = (Vec::new(), Vec::new());
        for (id, permit) in &inputs.disruptions.permits {
            let case = self.observe(*id, permit, inputs);
            match self.decide_case(&case, inputs.view.is_complete, counts.as_mut()) {
                Decision::Wait => {}
                Decision::Notify => decisions.to_notify.push(*id),
                Decision::AskRevocation => decisions.to_revoke.push(*id),
                Decision::Complete => complete.push(*id),
                Decision::Revoke => revoke.push(*id),
                Decision::Step(step) => {
                    decisions.step = Some(step);
                    return decisions;
                }
            }
        }
        decisions.step = if !revoke.is_empty() {
            Some(RolloutStep::Revoke(revoke))
        } else {
            (!complete.is_empty()).then_some(RolloutStep::Complete(complete))
        };
        decisions
    }

    fn observe<'a>(
        &mut self,
        id: PermitId,
        permit: &'a DisruptionPermit,
        inputs: &ControllerInputs<'a>,
    ) -> PermitCase<'a> {
        let now = inputs.now;
        let units = inputs.view.units(permit.unit_kind);
        let unit = units.iter().find(|unit| unit.name == permit.unit);
        let stage = permit_stage(permit, unit);
        let observation = self.observations.entry(id).or_insert(Observation {
            first_seen_at: now,
            ..Observation::default()
        });
        if observation
            .stage_since
            .is_none_or(|(previous, _)| previous != stage)
        {
            observation.stage_since = Some((stage, now));
        }
        let rollout = inputs.disruptions.unfinished_rollout();
        let plan = rollout
            .filter(|_| permit.planned)
            .map(|rollout| &rollout.plan);
        PermitCase {
            id,
            permit,
            unit,
            stage,
            time_in_stage: now - observation.stage_since.map_or(now, |(_, at)| at),
            age: now - observation.first_seen_at,
            timeouts: plan.map_or(UNPLANNED_TIMEOUTS, |plan| PermitTimeouts {
                start: plan.start_timeout_ms as f64,
                restart: plan.return_timeout_ms as f64,
                settle: plan.settle_ms as f64,
            }),
            rollout,
            disruptions: inputs.disruptions,
            revoked: observation.revoked,
            condition_accepted_by_operator: observation.condition_accepted_by_operator,
        }
    }

    fn decide_case(
        &mut self,
        case: &PermitCase<'_>,
        view_complete: bool,
        counts: Option<&mut UnitCounts>,
    ) -> Decision {
        let is_rolling_back = case.is_in_rollback() && !case.are_permits_halted();
        match case.stage {
            PermitStage::Returned => case.decide_returned_unit(view_complete),
            PermitStage::Granted => case.decide_unit_with_new_permit(counts),
            PermitStage::WrongVersion if is_rolling_back && case.has_settled() => {
                self.decide_wrong_version_in_rollback(case)
            }
            PermitStage::Starting if is_rolling_back => case.decide_starting_in_rollback(),
            PermitStage::WrongVersion => case.decide_wrong_version(),
            PermitStage::Starting | PermitStage::Draining => case.decide_by_restart_timeout(),
        }
    }

    /// Handles a unit that is in service under the wrong label during a rollback. The permit is revoked, so that the
    /// unit can get a new permit when the budget allows it. A unit with more than [`MAX_WRONG_VERSION_RESTARTS`] such
    /// restarts is abandoned instead.
    fn decide_wrong_version_in_rollback(&mut self, case: &PermitCase<'_>) -> Decision {
        let wrong_restarts = self
            .wrong_version_restarts
            .entry(case.permit.unit.clone())
            .or_default();
        *wrong_restarts += u32::from(!case.is_outdated_by_rollback());
        if *wrong_restarts > MAX_WRONG_VERSION_RESTARTS {
            return case.abandon(format!(
                "restarted under label {} more than {MAX_WRONG_VERSION_RESTARTS} times during the rollback",
                case.unit_label()
            ));
        }
        Decision::Revoke
    }
}

impl PermitCase<'_> {
    fn are_permits_halted(&self) -> bool {
        self.disruptions.halted.is_some()
    }

    fn is_in_rollback(&self) -> bool {
        self.permit.planned && self.rollout.is_some_and(|rollout| rollout.rolling_back)
    }

    /// Whether the permit was granted before the rollback began, and therefore carries the new label instead of the
    /// previous one.
    fn is_outdated_by_rollback(&self) -> bool {
        let differs_from_previous_label =
            |rollout: &Rollout| rollout.plan.previous_label != self.permit.label;
        self.is_in_rollback()
            && self.rollout.is_some_and(differs_from_previous_label)
            && !self.permit.permanent
    }

    fn has_settled(&self) -> bool {
        self.time_in_stage >= self.timeouts.settle
    }

    fn is_past_restart_timeout(&self) -> bool {
        self.age > self.timeouts.restart
    }

    fn unit_label(&self) -> &str {
        self.unit.map_or("", |unit| &unit.label)
    }

    /// Completes the permit once the unit has settled. A permanently removed unit must also be absent from a complete
    /// view, because a new leader may not have seen the unit yet.
    fn decide_returned_unit(&self, view_complete: bool) -> Decision {
        let may_still_exist = self.permit.permanent && !view_complete;
        match self.has_settled() && !may_still_exist {
            true => Decision::Complete,
            false => Decision::Wait,
        }
    }

    fn decide_unit_with_new_permit(&self, counts: Option<&mut UnitCounts>) -> Decision {
        if self.revoked {
            return Decision::Revoke;
        }
        let is_past_start_timeout = self.age > self.timeouts.start;
        let must_be_revoked =
            self.are_permits_halted() || self.is_outdated_by_rollback() || is_past_start_timeout;
        match must_be_revoked || self.exceeds_budget(counts) {
            true => Decision::AskRevocation,
            false => Decision::Notify,
        }
    }

    /// Whether failures, or a higher load, have used up the budget for this permit since the permit was granted.
    ///
    /// The unit is then not notified of its permit, or not notified again. Otherwise more units could become
    /// unavailable than the budget allows.
    fn exceeds_budget(&self, counts: Option<&mut UnitCounts>) -> bool {
        let (Some(rollout), Some(counts)) = (self.rollout, counts) else {
            return false;
        };
        let skips_check = rollout.rolling_back && is_injected(InjectedFault::BackUnbound);
        self.permit.planned && !skips_check && !is_still_allowed(counts, self.unit, &rollout.budget)
    }

    /// During a rollback, reissues the permit for the unit's current process if the unit is starting under the new
    /// version. The reissue needs no check of the budget, because the unit is already unavailable.
    fn decide_starting_in_rollback(&self) -> Decision {
        if let (Some(unit), Some(rollout), true) =
            (self.unit, self.rollout, self.is_outdated_by_rollback())
        {
            let permit = DisruptionPermit {
                incarnation: unit.incarnation,
                address: unit.address.clone(),
                label: rollout.plan.previous_label.clone(),
                ..self.permit.clone()
            };
            return Decision::Step(RolloutStep::Reissue(self.id, permit));
        }
        match self.is_past_restart_timeout() {
            true => self.abandon("restarted but was not ready in time".to_owned()),
            false => Decision::Wait,
        }
    }

    fn decide_wrong_version(&self) -> Decision {
        if self.condition_accepted_by_operator || !self.permit.planned {
            return Decision::Revoke;
        }
        if self.has_settled() && !self.are_permits_halted() {
            return Decision::Step(RolloutStep::Halt(format!(
                "{} came back under label {} instead of label {}",
                self.permit.unit.0,
                self.unit_label(),
                self.permit.label
            )));
        }
        self.decide_by_restart_timeout()
    }

    fn decide_by_restart_timeout(&self) -> Decision {
        if !self.is_past_restart_timeout() || self.are_permits_halted() || !self.permit.planned {
            return Decision::Wait;
        }
        if self.is_in_rollback() {
            return self.abandon("did not return in time".to_owned());
        }
        let condition = match self.stage {
            PermitStage::Starting => "is not ready",
            _ => "is not back",
        };
        Decision::Step(RolloutStep::Halt(format!(
            "{} {condition} within its time",
            self.permit.unit.0
        )))
    }

    /// Lists the unit as abandoned, so that an operator repairs it. Halts the rollout instead if the list is full.
    /// `reason` is a predicate, because the status shows it after the unit's name: `d2 did not return in time`.
    fn abandon(&self, reason: String) -> Decision {
        let is_full = self
            .disruptions
            .rollout
            .as_deref()
            .is_none_or(|rollout| rollout.abandoned.len() >= MAX_ABANDONED);
        Decision::Step(match is_full {
            true => RolloutStep::Halt(
                "more units have failed to return than the list of abandoned units can hold"
                    .to_owned(),
            ),
            false => RolloutStep::Abandon(self.id, reason),
        })
    }
}
