//! What becomes of the permits that are granted.

use super::inputs::ControllerInputs;
use super::stage::{permit_stage, PermitStage};
use super::unit_counts::still_fits;
use crate::coordination::disruption_budget::{Unit, UnitCounts};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutStep, MAX_ABANDONED,
};
use crate::coordination::Name;
use crate::interface::Ms;
use std::collections::BTreeMap;

/// Timeouts of a permit, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct PermitTimeouts {
    /// Within this the unit has to begin to go.
    start: Ms,
    /// Within this it has to be back.
    comeback: Ms,
    /// How long it has to be back and ready.
    settle: Ms,
}

/// For permits beside a rollout.
const UNPLANNED_TIMEOUTS: PermitTimeouts = PermitTimeouts {
    start: 30_000.0,
    comeback: 600_000.0,
    settle: 2_000.0,
};

/// A unit that comes back under the wrong label, rolling back, this many times more is left for operators.
const MAX_WRONG_VERSIONS: u32 = 3;

/// A permit as this leader has seen it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Observation {
    first_seen_at: Ms,
    /// The stage, and since when.
    stage_since: Option<(PermitStage, Ms)>,
    /// Its unit said that it has not begun to go, and will not.
    revoked: bool,
    /// An operator saw it as it is and resumed.
    accepted: bool,
}

/// What follows from the permits.
#[derive(Debug, Default)]
pub(super) struct PermitDecisions {
    /// Permits whose units are to be notified.
    pub notify: Vec<PermitId>,
    /// Permits whose units are to be asked not to begin.
    pub ask_revocation: Vec<PermitId>,
    /// The step to agree on.
    pub step: Option<RolloutStep>,
}

/// What follows from one permit.
enum Decision {
    Wait,
    Notify,
    AskRevocation,
    /// The unit is back, or gone for good.
    Complete,
    /// The unit will not begin, or its permit is of no use any more.
    Revoke,
    /// At once, before the other permits are looked at.
    Step(RolloutStep),
}

/// A permit with all that its decision depends on.
struct PermitCase<'a> {
    id: PermitId,
    permit: &'a DisruptionPermit,
    unit: Option<&'a Unit>,
    stage: PermitStage,
    /// For how long it has been in this stage.
    lasted: Ms,
    /// For how long this leader has seen it.
    age: Ms,
    timeouts: PermitTimeouts,
    /// The rollout, unless it is finished.
    rollout: Option<&'a Rollout>,
    disruptions: &'a DisruptionState,
    revoked: bool,
    accepted: bool,
}

/// Timers of permits, and what units said about them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PermitTracker {
    observations: BTreeMap<PermitId, Observation>,
    /// How often each unit came back under the new label while rolling back.
    wrong_versions: BTreeMap<Name, u32>,
}

impl PermitTracker {
    /// Forgets permits that are over.
    pub fn retain(&mut self, disruptions: &DisruptionState) {
        self.observations
            .retain(|id, _| disruptions.permits.contains_key(id));
    }

    /// An operator resumed. Guards against a halt right after it for what the operator has just seen: timers start anew,
    /// and what is wrong with a permit by now is no reason to halt again.
    pub fn resume(&mut self, now: Ms) {
        for observation in self.observations.values_mut() {
            *observation = Observation {
                first_seen_at: now,
                accepted: true,
                ..Observation::default()
            };
        }
    }

    /// A unit said whether it has begun to go; if not, it will not.
    pub fn record_revocation_reply(&mut self, id: PermitId, begun: bool) {
        if let Some(observation) = self.observations.get_mut(&id).filter(|_| !begun) {
            observation.revoked = true;
        }
    }

    /// Whether a unit said that it will not begin.
    pub fn is_revoked(&self, id: PermitId) -> bool {
        self.observations.get(&id).is_some_and(|o| o.revoked)
    }

    /// Decides on all permits. `counts`: the units counted against the unfinished rollout's budget.
    pub fn decide(
        &mut self,
        inputs: &ControllerInputs<'_>,
        mut counts: Option<UnitCounts>,
    ) -> PermitDecisions {
        let mut decisions = PermitDecisions::default();
        let (mut complete, mut revoke) = (Vec::new(), Vec::new());
        for (id, permit) in &inputs.disruptions.permits {
            let case = self.observe(*id, permit, inputs);
            match self.decide_one(&case, inputs.view.complete, counts.as_mut()) {
                Decision::Wait => {}
                Decision::Notify => decisions.notify.push(*id),
                Decision::AskRevocation => decisions.ask_revocation.push(*id),
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
        let unit = units.iter().find(|u| u.name == permit.unit);
        let stage = permit_stage(permit, unit);
        let observation = self.observations.entry(id).or_insert(Observation {
            first_seen_at: now,
            ..Observation::default()
        });
        if observation
            .stage_since
            .is_none_or(|(before, _)| before != stage)
        {
            observation.stage_since = Some((stage, now));
        }
        let rollout = inputs.disruptions.unfinished();
        let plan = rollout.filter(|_| permit.planned).map(|r| &r.plan);
        PermitCase {
            id,
            permit,
            unit,
            stage,
            lasted: now - observation.stage_since.map_or(now, |(_, at)| at),
            age: now - observation.first_seen_at,
            timeouts: plan.map_or(UNPLANNED_TIMEOUTS, |plan| PermitTimeouts {
                start: plan.start_timeout_ms as f64,
                comeback: plan.return_timeout_ms as f64,
                settle: plan.settle_ms as f64,
            }),
            rollout,
            disruptions: inputs.disruptions,
            revoked: observation.revoked,
            accepted: observation.accepted,
        }
    }

    fn decide_one(
        &mut self,
        case: &PermitCase<'_>,
        view_complete: bool,
        counts: Option<&mut UnitCounts>,
    ) -> Decision {
        let rolls_back = case.rolls_back() && !case.is_halted();
        match case.stage {
            PermitStage::Returned => case.returned(view_complete),
            PermitStage::Granted => case.granted(counts),
            PermitStage::WrongVersion if rolls_back && case.has_settled() => {
                self.wrong_version_again(case)
            }
            PermitStage::Starting if rolls_back => case.restarting(),
            PermitStage::WrongVersion => case.wrong_version(),
            PermitStage::Starting | PermitStage::Draining => case.overdue(),
        }
    }

    /// Rolling back, a unit is in service under another label than wanted: its permit is over, and if it is to go it
    /// waits for the budget like any other.
    fn wrong_version_again(&mut self, case: &PermitCase<'_>) -> Decision {
        let returns = self
            .wrong_versions
            .entry(case.permit.unit.clone())
            .or_default();
        *returns += u32::from(!case.is_of_way_forward());
        if *returns > MAX_WRONG_VERSIONS {
            return case.abandon(format!("stays under {}", case.unit_label()));
        }
        Decision::Revoke
    }
}

impl PermitCase<'_> {
    fn is_halted(&self) -> bool {
        self.disruptions.halted.is_some()
    }

    fn rolls_back(&self) -> bool {
        self.permit.planned && self.rollout.is_some_and(|r| r.rolling_back)
    }

    /// Whether the permit was granted on the way forward and is not over now that the rollout rolls back.
    fn is_of_way_forward(&self) -> bool {
        let differs = |r: &Rollout| r.plan.previous_label != self.permit.label;
        self.rolls_back() && self.rollout.is_some_and(differs) && !self.permit.permanent
    }

    fn has_settled(&self) -> bool {
        self.lasted >= self.timeouts.settle
    }

    fn is_late(&self) -> bool {
        self.age > self.timeouts.comeback
    }

    fn unit_label(&self) -> &str {
        self.unit.map_or("", |unit| &unit.label)
    }

    /// A unit that is gone for good has to be gone for as long as it takes the view to be complete.
    fn returned(&self, view_complete: bool) -> Decision {
        let may_be_unseen = self.permit.permanent && !view_complete;
        match self.has_settled() && !may_be_unseen {
            true => Decision::Complete,
            false => Decision::Wait,
        }
    }

    fn granted(&self, counts: Option<&mut UnitCounts>) -> Decision {
        if self.revoked {
            return Decision::Revoke;
        }
        let is_overdue = self.age > self.timeouts.start;
        let is_void = self.is_halted() || self.is_of_way_forward() || is_overdue;
        match is_void || self.has_lost_room(counts) {
            true => Decision::AskRevocation,
            false => Decision::Notify,
        }
    }

    /// Guards against a unit that goes on a permit whose room a failure, or a higher load, has taken since it was
    /// granted, which would show as more unavailable units than the budget allows: it is not notified, or not again.
    fn has_lost_room(&self, counts: Option<&mut UnitCounts>) -> bool {
        let (Some(rollout), Some(counts)) = (self.rollout, counts) else {
            return false;
        };
        let unchecked = rollout.rolling_back && is_injected(InjectedFault::BackUnbound);
        self.permit.planned && !unchecked && !still_fits(counts, self.unit, &rollout.budget)
    }

    /// Rolling back, a unit that is not ready under the new version gets its permit anew at once, as the process that
    /// it is now: it is unavailable already.
    fn restarting(&self) -> Decision {
        if let (Some(unit), Some(rollout), true) =
            (self.unit, self.rollout, self.is_of_way_forward())
        {
            let permit = DisruptionPermit {
                incarnation: unit.incarnation,
                address: unit.address.clone(),
                label: rollout.plan.previous_label.clone(),
                ..self.permit.clone()
            };
            return Decision::Step(RolloutStep::Reissue(self.id, permit));
        }
        match self.is_late() {
            true => self.abandon("is not ready again".to_owned()),
            false => Decision::Wait,
        }
    }

    fn wrong_version(&self) -> Decision {
        if self.accepted || !self.permit.planned {
            return Decision::Revoke;
        }
        if self.has_settled() && !self.is_halted() {
            return Decision::Step(RolloutStep::Halt(format!(
                "{} came back under {} in place of {}",
                self.permit.unit.0,
                self.unit_label(),
                self.permit.label
            )));
        }
        self.overdue()
    }

    fn overdue(&self) -> Decision {
        if !self.is_late() || self.is_halted() || !self.permit.planned {
            return Decision::Wait;
        }
        if self.rolls_back() {
            return self.abandon("did not come back".to_owned());
        }
        let what = match self.stage {
            PermitStage::Starting => "is not ready",
            _ => "is not back",
        };
        Decision::Step(RolloutStep::Halt(format!(
            "{} {what} within its time",
            self.permit.unit.0
        )))
    }

    /// Leaves the unit for operators; halts where more are left already than can be named.
    fn abandon(&self, reason: String) -> Decision {
        let is_full = self
            .disruptions
            .rollout
            .as_deref()
            .is_none_or(|r| r.abandoned.len() >= MAX_ABANDONED);
        Decision::Step(match is_full {
            true => RolloutStep::Halt("more than can be named did not come back".to_owned()),
            false => RolloutStep::Abandon(self.id, reason),
        })
    }
}
