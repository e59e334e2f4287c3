//! The rollout controller, which chooses the next step of permits and rollouts.

use super::candidates::{updated_units, Candidates};
use super::granting::Grants;
use super::inputs::{ControllerInputs, FleetView};
use super::permit_tracker::PermitTracker;
use super::unit_counts::count_units;
use crate::coordination::disruption_budget::{
    observed_zone_sizes, DisruptionBudget, UnavailableCount, UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionState, PermitId, Rollout, RolloutStep, MAX_PERMITS};
use crate::coordination::rollout_analysis::RolloutAnalysis;
use crate::coordination::Name;
use crate::interface::Ms;
use std::collections::BTreeSet;

/// The maximum number of permits granted in one step.
const MAX_PERMITS_PER_STEP: usize = 64;

/// The rollout state that the membership leader keeps for itself and does not replicate: timers, and observations of
/// permits and outcomes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutController {
    permit_tracker: PermitTracker,
    /// The replicated resume count at the previous step. None before the first step.
    previous_resume_count: Option<u64>,
    /// The wave at the previous step, and whether that wave was part of a rollback.
    observed_wave: Option<(u32, bool)>,
    /// When the controller found all permits of the wave completed or abandoned. None while the wave has granted
    /// permits.
    wave_finished_at: Option<Ms>,
    analysis: RolloutAnalysis,
    /// When this leader first saw more unavailable units than the budget allows. None while the budget is not exceeded.
    budget_exceeded_since: Option<Ms>,
    /// Agreed permits whose units must be notified. Replaced by each call of [`Self::next_step`].
    pub to_notify: Vec<PermitId>,
    /// Permits whose units must be asked not to begin draining. Replaced by each call of [`Self::next_step`].
    pub to_revoke: Vec<PermitId>,
    /// The reason why no permit is granted now. None if nothing prevents permits.
    pub blocked_reason: Option<String>,
    /// Permits of earlier leaders that an injected fault makes this leader ignore. Empty otherwise.
    forgotten_permits: BTreeSet<PermitId>,
}

impl RolloutController {
    /// Creates the controller of a new leader, which starts from the replicated state `disruptions`.
    pub fn new(disruptions: &DisruptionState) -> Self {
        let forgotten_permits = match is_injected(InjectedFault::BeginsAnew) {
            true => disruptions.permits.keys().copied().collect(),
            false => BTreeSet::new(),
        };
        RolloutController {
            forgotten_permits,
            ..RolloutController::default()
        }
    }

    /// Records a unit's reply to a revocation request: whether the unit has begun to drain on the permit. A unit that
    /// has not begun will not begin any more.
    pub fn record_revocation_reply(&mut self, permit: PermitId, begun: bool) {
        self.permit_tracker.record_revocation_reply(permit, begun);
    }

    /// Whether the permit's unit has confirmed that it will not drain. The leader must not send the notice of such a
    /// permit again.
    pub fn is_revoked(&self, permit: PermitId) -> bool {
        self.permit_tracker.is_revoked(permit)
    }

    /// Returns the next step to propose, or none if no change is due. Updates `to_notify`, `to_revoke` and
    /// `blocked_reason`.
    pub fn next_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let disruptions = inputs.disruptions;
        self.blocked_reason = None;
        self.permit_tracker.retain_granted(disruptions);
        self.reset_on_resume(inputs);
        if let Some(step) = self.permit_step(inputs) {
            return Some(step);
        }
        if let Some(step) = zone_growth_step(disruptions, inputs.view) {
            return Some(step);
        }
        if disruptions.halted.is_some() {
            self.blocked_reason.clone_from(&disruptions.halted);
            return None;
        }
        if let Some(rollout) = disruptions.running_rollout() {
            if let Some(step) = self.rollout_step(inputs, rollout) {
                return Some(step);
            }
        }
        self.requested_permits_step(inputs)
    }

    fn reset_on_resume(&mut self, inputs: &ControllerInputs<'_>) {
        let count = inputs.disruptions.resume_count;
        let previous = self.previous_resume_count.replace(count);
        if previous.is_some_and(|previous| previous != count) {
            self.permit_tracker.restart_timers(inputs.now);
            self.budget_exceeded_since = None;
            self.analysis = RolloutAnalysis::default();
        }
    }

    fn permit_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let rollout = inputs.disruptions.unfinished_rollout();
        let counts = rollout
            .map(|rollout| self.unit_counts(inputs, rollout.plan.unit_kind, &rollout.budget));
        let decisions = self.permit_tracker.decide(inputs, counts);
        self.to_notify = decisions.to_notify;
        self.to_revoke = decisions.to_revoke;
        decisions.step
    }

    fn rollout_step(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
    ) -> Option<RolloutStep> {
        let mut counts = self.unit_counts(inputs, rollout.plan.unit_kind, &rollout.budget);
        self.observe_wave(rollout);
        let halt_reason = self
            .harm_halt_reason(inputs, rollout)
            .or_else(|| self.budget_halt_reason(inputs, rollout, &counts));
        if let Some(reason) = halt_reason {
            return Some(RolloutStep::Halt(reason));
        }
        let candidates = Candidates::collect(inputs, rollout, &self.forgotten_permits);
        let planned_count = count_planned_permits(inputs.disruptions);
        let is_idle = candidates.units.is_empty() && planned_count == 0;
        if is_idle && candidates.waiting_for.is_none() {
            return self.finish_step(inputs, rollout, &counts);
        }
        let left_in_wave = match rollout.rolling_back {
            true => MAX_PERMITS as u32,
            false => {
                let size = rollout.plan.wave_size(rollout.wave);
                size.saturating_sub(rollout.granted_in_wave)
            }
        };
        if left_in_wave == 0 && !candidates.units.is_empty() {
            return self.wave_step(inputs.now, rollout, planned_count);
        }
        let max_permits = (left_in_wave as usize)
            .min(MAX_PERMITS_PER_STEP)
            .min(MAX_PERMITS.saturating_sub(inputs.disruptions.permits.len()));
        let units = &candidates.units;
        let grants = Grants::grant_to_candidates(units, max_permits, &mut counts, inputs, rollout);
        if !grants.permits.is_empty() {
            return Some(RolloutStep::Grant(grants.permits));
        }
        let unfinished_permits = || {
            (planned_count > 0)
                .then(|| format!("{planned_count} granted permits are not completed yet"))
        };
        self.blocked_reason = grants
            .forbidden_by
            .map(|violation| violation.to_string())
            .or(candidates.waiting_for)
            .or_else(unfinished_permits);
        None
    }

    /// Resets the wave's timer when a new wave or a rollback has begun.
    fn observe_wave(&mut self, rollout: &Rollout) {
        let wave = Some((rollout.wave, rollout.rolling_back));
        if self.observed_wave != wave {
            self.observed_wave = wave;
            self.wave_finished_at = None;
        }
    }

    /// The reason to halt a rollout whose new version shows worse outcomes or more restarts than the old version.
    ///
    /// None during a rollback, which must continue because it takes the new version out of service.
    fn harm_halt_reason(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
    ) -> Option<String> {
        if rollout.rolling_back {
            return None;
        }
        let plan = &rollout.plan;
        let units = inputs.view.units(plan.unit_kind);
        let has_permit = |name: &Name| {
            let permit = inputs.disruptions.permit_for(plan.unit_kind, name);
            permit.is_some()
        };
        let updated = updated_units(rollout, units, has_permit);
        let selected = units.iter().filter(|unit| plan.selects(unit));
        self.analysis
            .observe(inputs.now, selected, &updated, has_permit)
    }

    /// The reason to halt a rollout because failures have exceeded the budget: more units than allowed have been
    /// unavailable for longer than the plan's observation time between waves.
    ///
    /// None during a rollback, and while the view is incomplete, because a new leader has not seen all units yet.
    fn budget_halt_reason(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
        counts: &UnitCounts,
    ) -> Option<String> {
        let violation = counts.exceeded_limit(&rollout.budget);
        let Some(violation) = violation.filter(|_| inputs.view.is_complete) else {
            self.budget_exceeded_since = None;
            return None;
        };
        let since = *self.budget_exceeded_since.get_or_insert(inputs.now);
        let is_persistent = inputs.now - since > rollout.plan.observe_ms as f64;
        (is_persistent && !rollout.rolling_back)
            .then(|| format!("more are out than may be: {violation}"))
    }

    /// Returns the step that finishes the rollout, once the view is complete and no unit of this kind has a permit. The
    /// caller has checked that no unit in the view is still to be updated.
    ///
    /// Missing dispatchers delay the end, because a missing dispatcher may not be updated. Missing engines do not delay
    /// the end, because a missing engine returns under a new name.
    fn finish_step(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
        counts: &UnitCounts,
    ) -> Option<RolloutStep> {
        let unit_kind = rollout.plan.unit_kind;
        let mut permits = inputs.disruptions.permits.values();
        let has_unplanned_permits = permits.any(|permit| permit.unit_kind == unit_kind);
        self.blocked_reason = if !inputs.view.is_complete {
            Some("the membership leader has not heard from all dispatchers yet".to_owned())
        } else if has_unplanned_permits {
            Some(
                "permits that were granted outside of the release are not completed yet".to_owned(),
            )
        } else if unit_kind == UnitKind::Engines {
            None
        } else {
            counts.missing_units_message(inputs.view.units(unit_kind))
        };
        let is_finished = self.blocked_reason.is_none();
        is_finished.then_some(RolloutStep::Finish)
    }

    /// Returns the step that begins the next wave, once all permits of the current wave are completed or abandoned and
    /// the observation time has passed.
    fn wave_step(
        &mut self,
        now: Ms,
        rollout: &Rollout,
        planned_count: usize,
    ) -> Option<RolloutStep> {
        let wave = rollout.wave + 1;
        if planned_count > 0 {
            self.blocked_reason = Some(format!("the permits of wave {wave} are not completed yet"));
            return None;
        }
        let since = *self.wave_finished_at.get_or_insert(now);
        if now - since >= rollout.plan.observe_ms as f64 {
            return Some(RolloutStep::NextWave);
        }
        self.blocked_reason = Some(format!(
            "the outcomes of wave {wave} are observed before the next wave begins"
        ));
        None
    }

    /// Returns the step that grants the permits that dispatchers requested outside of a rollout. None if there is no
    /// request that the budget allows.
    fn requested_permits_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let is_full = inputs.disruptions.permits.len() >= MAX_PERMITS;
        if inputs.requests.is_empty() || !inputs.view.is_complete || is_full {
            return None;
        }
        let rollout = inputs
            .disruptions
            .unfinished_rollout()
            .filter(|rollout| rollout.plan.unit_kind == UnitKind::Dispatchers);
        let budget = rollout.map_or(inputs.request_budget, |rollout| &rollout.budget);
        let mut counts = self.unit_counts(inputs, UnitKind::Dispatchers, budget);
        let grants = Grants::grant_to_requests(&mut counts, inputs, budget);
        if self.blocked_reason.is_none() {
            self.blocked_reason = grants.forbidden_by.map(|violation| violation.to_string());
        }
        (!grants.permits.is_empty()).then_some(RolloutStep::Grant(grants.permits))
    }

    /// The number of unavailable units and how many may be unavailable at once, first for the fleet and then for each
    /// zone. Shown to operators in the status.
    pub fn unavailable_counts(
        &self,
        disruptions: &DisruptionState,
        view: &FleetView,
        unit_kind: UnitKind,
        budget: &DisruptionBudget,
    ) -> Vec<UnavailableCount> {
        let units = view.units(unit_kind);
        count_units(
            disruptions,
            units,
            unit_kind,
            budget,
            &self.forgotten_permits,
        )
        .unavailable_counts(budget)
    }

    fn unit_counts(
        &self,
        inputs: &ControllerInputs<'_>,
        unit_kind: UnitKind,
        budget: &DisruptionBudget,
    ) -> UnitCounts {
        let units = inputs.view.units(unit_kind);
        let forgotten = &self.forgotten_permits;
        count_units(inputs.disruptions, units, unit_kind, budget, forgotten)
    }
}

fn count_planned_permits(disruptions: &DisruptionState) -> usize {
    let permits = disruptions.permits.values();
    permits.filter(|permit| permit.planned).count()
}

/// A step that raises the agreed sizes of zones in which more units are seen than agreed. None if there is no such
/// zone.
fn zone_growth_step(disruptions: &DisruptionState, view: &FleetView) -> Option<RolloutStep> {
    [UnitKind::Dispatchers, UnitKind::Engines]
        .into_iter()
        .find_map(|unit_kind| {
            let agreed = disruptions.zone_sizes(unit_kind);
            let grown: ZoneSizes = observed_zone_sizes(view.units(unit_kind).iter())
                .into_iter()
                .filter(|(zone, size)| *size > agreed.get(zone).copied().unwrap_or(0))
                .collect();
            (!grown.is_empty()).then_some(RolloutStep::RecordSizes(unit_kind, grown))
        })
}
