//! Runs the rollout controller on the membership leader and proposes its steps.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionState, RolloutStep};
use crate::coordination::rollout_controller::{ControllerInputs, PermitRequest, RolloutController};
use std::collections::BTreeSet;

/// The number of runs of the controller per heartbeat interval while there is a permit, a rollout or a request for a
/// permit.
const EVALUATIONS_PER_HEARTBEAT: f64 = 2.0;
/// The minimum time between two runs of the controller, in milliseconds.
const MIN_EVALUATION_INTERVAL_MS: Ms = 10.0;
/// The maximum time between two runs of the controller that is not idle, in milliseconds.
const MAX_EVALUATION_INTERVAL_MS: Ms = 250.0;
/// The time between two runs of an idle controller, in lease durations. An idle controller only updates the agreed zone
/// sizes.
const IDLE_EVALUATION_INTERVAL_LEASES: f64 = 1.0;

impl Member {
    /// Runs the controller if this dispatcher is the membership leader and the next run is due. Discards the controller
    /// if this dispatcher is not the leader.
    pub(in super::super) fn run_rollout_controller(&mut self) {
        if self.valid_membership_lease().is_none() {
            self.disruptions.controller = None;
            self.disruptions.pending_step = None;
            self.disruptions.to_notify = Vec::new();
            self.disruptions.to_revoke = Vec::new();
            return;
        }
        let now = self.now;
        self.disruptions
            .permit_requests
            .retain(|_, (_, expires_at)| now < *expires_at);
        let Some(disruptions) = self.agreed_disruptions().cloned() else {
            return;
        };
        if now < self.disruptions.next_evaluation_at || self.disruptions.pending_step.is_some() {
            return;
        }
        let is_idle = !disruptions.is_active() && self.disruptions.permit_requests.is_empty();
        let interval = match is_idle {
            true => IDLE_EVALUATION_INTERVAL_LEASES * self.settings.lease.lease,
            false => self.evaluation_interval(),
        };
        self.disruptions.next_evaluation_at = now + interval;
        self.evaluate_rollout(&disruptions);
    }

    /// Runs the controller once. Stores the step to propose, and the permits whose units are to be notified or asked
    /// not to drain.
    fn evaluate_rollout(&mut self, disruptions: &DisruptionState) {
        let requests: Vec<PermitRequest> = (self.disruptions.permit_requests.iter())
            .map(|(name, (label, _))| PermitRequest {
                name: name.clone(),
                label: label.clone(),
            })
            .collect();
        let (view, voters) = (self.fleet_view(), self.current_voters());
        let inputs = ControllerInputs {
            now: self.now,
            disruptions,
            view: &view,
            leader_name: &self.settings.own_name,
            voters: &voters,
            requests: &requests,
            request_budget: &self.settings.disruption_budgets.0,
        };
        let controller = self
            .disruptions
            .controller
            .get_or_insert_with(|| RolloutController::new(disruptions));
        let step = controller.next_step(&inputs);
        self.disruptions.to_notify = std::mem::take(&mut controller.to_notify);
        self.disruptions.to_revoke = std::mem::take(&mut controller.to_revoke);
        // With the injected fault, a halt that only this leader knows of stops all steps.
        self.disruptions.pending_step = step.filter(|_| !self.disruptions.has_local_halt);
        if let (true, Some(RolloutStep::Grant(permits))) = (
            is_injected(InjectedFault::ToldBeforeAgreed),
            &self.disruptions.pending_step,
        ) {
            self.disruptions.unagreed_permits = permits.clone();
        }
    }

    fn current_voters(&self) -> BTreeSet<Name> {
        self.known_voter_set()
            .map(|voters| voters.all().into_keys().collect())
            .unwrap_or_default()
    }

    fn evaluation_interval(&self) -> Ms {
        (self.settings.heartbeat / EVALUATIONS_PER_HEARTBEAT)
            .clamp(MIN_EVALUATION_INTERVAL_MS, MAX_EVALUATION_INTERVAL_MS)
    }

    /// The earlier of two times: the controller's next run, and the next time at which units are asked whether they
    /// began to drain before a halt. None if this dispatcher has to do neither.
    pub(in super::super) fn next_rollout_event_at(&self) -> Option<Ms> {
        let is_leader = self.held_leases.contains_key(&membership_lease());
        let evaluation = is_leader.then(|| match self.disruptions.pending_step {
            Some(_) => self.now + self.evaluation_interval(),
            None => self.disruptions.next_evaluation_at,
        });
        let halt = self.disruptions.halt_confirmation.as_ref();
        let next_request_at = halt.and_then(|halt| halt.next_request_at());
        evaluation
            .into_iter()
            .chain(next_request_at)
            .min_by(f64::total_cmp)
    }

    /// The pending step as a command to propose. None if this dispatcher is not the membership leader or no step is
    /// pending.
    pub(in super::super) fn proposed_step(&self) -> Option<(ProposalReason, Command)> {
        let lease = self.valid_membership_lease()?;
        let command = Command::RolloutStep {
            lease_name: membership_lease(),
            term: lease.term,
            holder: self.own_holder(),
            step: self.disruptions.pending_step.clone()?,
        };
        Some((ProposalReason::RolloutStep, command))
    }

    /// Clears the pending step when its proposal has ended. If the voters agreed on the step, the controller runs again
    /// at once. If not, the next run is delayed by the difference between the election delays of two successive
    /// contenders.
    pub(in super::super) fn step_proposed(&mut self, agreed: bool) {
        self.disruptions.pending_step = None;
        self.disruptions.next_evaluation_at = match agreed {
            true => self.now,
            false => self.now + self.settings.lease.election_gap(),
        };
    }
}
