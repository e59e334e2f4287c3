//! The controller's next step.

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

/// Permits granted in one step.
const MAX_PERMITS_PER_STEP: usize = 64;

/// The membership leader's own state: timers, and what it learned of permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutController {
    permits: PermitTracker,
    resume_count: Option<u64>,
    /// The wave looked at last, and whether it rolled back.
    observed_wave: Option<(u32, bool)>,
    /// When the last permit of the wave was over.
    wave_finished_at: Option<Ms>,
    analysis: RolloutAnalysis,
    /// Since when more units are unavailable than may be.
    budget_exceeded_since: Option<Ms>,
    /// Permits that are agreed on and whose units are to be notified.
    pub to_notify: Vec<PermitId>,
    /// Permits whose units are to be asked not to begin.
    pub to_revoke: Vec<PermitId>,
    /// Why no permit is granted now, in words.
    pub blocked_reason: Option<String>,
    /// Permits granted before this leader's time, for an injected fault.
    forgotten_permits: BTreeSet<PermitId>,
}

impl RolloutController {
    /// The controller of a leader that begins with this state.
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

    /// A unit said whether it has begun to go on a permit; if not, it will not.
    pub fn record_revocation_reply(&mut self, permit: PermitId, begun: bool) {
        self.permits.record_revocation_reply(permit, begun);
    }

    /// Whether a permit is being revoked, so that its unit must not be notified any more.
    pub fn is_revoked(&self, permit: PermitId) -> bool {
        self.permits.is_revoked(permit)
    }

    /// The next step to agree on, if there is one.
    pub fn next_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let disruptions = inputs.disruptions;
        self.blocked_reason = None;
        self.permits.retain(disruptions);
        self.reset_on_resume(inputs);
        if let Some(step) = self.permit_step(inputs) {
            return Some(step);
        }
        if let Some(step) = grown_zones(disruptions, inputs.view) {
            return Some(step);
        }
        if disruptions.halted.is_some() {
            self.blocked_reason.clone_from(&disruptions.halted);
            return None;
        }
        if let Some(rollout) = disruptions.running() {
            if let Some(step) = self.rollout_step(inputs, rollout) {
                return Some(step);
            }
        }
        self.request_step(inputs)
    }

    fn reset_on_resume(&mut self, inputs: &ControllerInputs<'_>) {
        let count = inputs.disruptions.resume_count;
        let before = self.resume_count.replace(count);
        if before.is_some_and(|before| before != count) {
            self.permits.resume(inputs.now);
            self.budget_exceeded_since = None;
            self.analysis = RolloutAnalysis::default();
        }
    }

    fn permit_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let rollout = inputs.disruptions.unfinished();
        let counts = rollout.map(|r| self.count(inputs, r.plan.unit_kind, &r.budget));
        let decisions = self.permits.decide(inputs, counts);
        self.to_notify = decisions.notify;
        self.to_revoke = decisions.ask_revocation;
        decisions.step
    }

    fn rollout_step(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
    ) -> Option<RolloutStep> {
        let mut counts = self.count(inputs, rollout.plan.unit_kind, &rollout.budget);
        self.observe_wave(rollout);
        let halt_reason = self
            .sign_of_harm(inputs, rollout)
            .or_else(|| self.lasting_violation(inputs, rollout, &counts));
        if let Some(reason) = halt_reason {
            return Some(RolloutStep::Halt(reason));
        }
        let candidates = Candidates::of(inputs, rollout, &self.forgotten_permits);
        let planned = planned_permits(inputs.disruptions);
        let is_idle = candidates.units.is_empty() && planned == 0;
        if is_idle && candidates.waiting_for.is_none() {
            return self.finish_step(inputs, rollout, &counts);
        }
        let room = match rollout.rolling_back {
            true => MAX_PERMITS as u32,
            false => {
                let size = rollout.plan.wave_size(rollout.wave);
                size.saturating_sub(rollout.granted_in_wave)
            }
        };
        if room == 0 && !candidates.units.is_empty() {
            return self.wave_step(inputs.now, rollout, planned);
        }
        let max_permits = (room as usize)
            .min(MAX_PERMITS_PER_STEP)
            .min(MAX_PERMITS.saturating_sub(inputs.disruptions.permits.len()));
        let units = &candidates.units;
        let grants = Grants::to_candidates(units, max_permits, &mut counts, inputs, rollout);
        if !grants.permits.is_empty() {
            return Some(RolloutStep::Grant(grants.permits));
        }
        let unfinished = || (planned > 0).then(|| format!("{planned} turns are not over"));
        self.blocked_reason = grants
            .forbidden_by
            .map(|violation| violation.to_string())
            .or(candidates.waiting_for)
            .or_else(unfinished);
        None
    }

    fn observe_wave(&mut self, rollout: &Rollout) {
        let wave = Some((rollout.wave, rollout.rolling_back));
        if self.observed_wave != wave {
            self.observed_wave = wave;
            self.wave_finished_at = None;
        }
    }

    /// Guards against a version that does harm, which shows as worse outcomes or more restarts of the units that run it:
    /// the rollout halts. A roll-back goes on, as it takes the version out of service.
    fn sign_of_harm(&mut self, inputs: &ControllerInputs<'_>, rollout: &Rollout) -> Option<String> {
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
        let selected = units.iter().filter(|u| plan.selects(u));
        self.analysis
            .observe(inputs.now, selected, &updated, has_permit)
    }

    /// Guards against a rollout that goes on while failures use up the budget: it halts once more units have been
    /// unavailable than may be for as long as units are observed between waves. Only a complete view counts, as a new
    /// leader has not seen all units yet.
    fn lasting_violation(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
        counts: &UnitCounts,
    ) -> Option<String> {
        let violation = counts.exceeded(&rollout.budget);
        let Some(violation) = violation.filter(|_| inputs.view.complete) else {
            self.budget_exceeded_since = None;
            return None;
        };
        let since = *self.budget_exceeded_since.get_or_insert(inputs.now);
        let lasts = inputs.now - since > rollout.plan.observe_ms as f64;
        (lasts && !rollout.rolling_back).then(|| format!("more are out than may be: {violation}"))
    }

    /// No unit that is seen is left. A dispatcher that is not seen may be one of them; an engine that is gone comes back
    /// as another.
    fn finish_step(
        &mut self,
        inputs: &ControllerInputs<'_>,
        rollout: &Rollout,
        counts: &UnitCounts,
    ) -> Option<RolloutStep> {
        let unit_kind = rollout.plan.unit_kind;
        let mut permits = inputs.disruptions.permits.values();
        let any_beside = permits.any(|permit| permit.unit_kind == unit_kind);
        self.blocked_reason = if !inputs.view.complete {
            Some("the roll is not whole yet".to_owned())
        } else if any_beside {
            Some("turns beside the release are not over".to_owned())
        } else if unit_kind == UnitKind::Engines {
            None
        } else {
            counts.missing_units(inputs.view.units(unit_kind))
        };
        let is_finished = self.blocked_reason.is_none();
        is_finished.then_some(RolloutStep::Finish)
    }

    /// The wave has granted all of its permits.
    fn wave_step(&mut self, now: Ms, rollout: &Rollout, planned: usize) -> Option<RolloutStep> {
        let wave = rollout.wave + 1;
        if planned > 0 {
            self.blocked_reason = Some(format!("wave {wave} is not over"));
            return None;
        }
        let since = *self.wave_finished_at.get_or_insert(now);
        if now - since >= rollout.plan.observe_ms as f64 {
            return Some(RolloutStep::NextWave);
        }
        self.blocked_reason = Some(format!("wave {wave} is watched"));
        None
    }

    /// Grants permits that dispatchers asked for.
    fn request_step(&mut self, inputs: &ControllerInputs<'_>) -> Option<RolloutStep> {
        let is_full = inputs.disruptions.permits.len() >= MAX_PERMITS;
        if inputs.requests.is_empty() || !inputs.view.complete || is_full {
            return None;
        }
        let rollout = inputs
            .disruptions
            .unfinished()
            .filter(|r| r.plan.unit_kind == UnitKind::Dispatchers);
        let budget = rollout.map_or(inputs.request_budget, |r| &r.budget);
        let mut counts = self.count(inputs, UnitKind::Dispatchers, budget);
        let grants = Grants::to_requests(&mut counts, inputs, budget);
        if self.blocked_reason.is_none() {
            self.blocked_reason = grants.forbidden_by.map(|violation| violation.to_string());
        }
        (!grants.permits.is_empty()).then_some(RolloutStep::Grant(grants.permits))
    }

    /// Unavailable units and their limits, for display: the fleet's first, then each zone's.
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

    fn count(
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

fn planned_permits(disruptions: &DisruptionState) -> usize {
    let permits = disruptions.permits.values();
    permits.filter(|permit| permit.planned).count()
}

/// Zones that have more units than was agreed.
fn grown_zones(disruptions: &DisruptionState, view: &FleetView) -> Option<RolloutStep> {
    [UnitKind::Dispatchers, UnitKind::Engines]
        .into_iter()
        .find_map(|unit_kind| {
            let known = disruptions.zone_sizes(unit_kind);
            let grown: ZoneSizes = observed_zone_sizes(view.units(unit_kind).iter())
                .into_iter()
                .filter(|(zone, size)| *size > known.get(zone).copied().unwrap_or(0))
                .collect();
            (!grown.is_empty()).then_some(RolloutStep::RecordSizes(unit_kind, grown))
        })
}
