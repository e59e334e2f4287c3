//! The membership leader runs the controller.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionState, RolloutStep};
use crate::coordination::rollout_controller::{ControllerInputs, PermitRequest, RolloutController};
use std::collections::BTreeSet;

/// Looks at the fleet in one heartbeat interval, while there is something to look after.
const LOOKS_PER_HEARTBEAT: f64 = 2.0;
/// The least and the most time between two looks, in milliseconds.
const MIN_LOOK_INTERVAL_MS: Ms = 10.0;
const MAX_LOOK_INTERVAL_MS: Ms = 250.0;
/// Time between two looks with nothing to look after, in leases: units are only counted then.
const IDLE_LOOK_LEASES: f64 = 1.0;

impl Member {
    /// Runs the controller if this dispatcher is the membership leader and it is time for a look.
    pub(in super::super) fn run_rollout_controller(&mut self) {
        if self.valid_membership_lease().is_none() {
            self.disruptions.controller = None;
            self.disruptions.step = None;
            self.disruptions.to_notify = Vec::new();
            self.disruptions.to_revoke = Vec::new();
            return;
        }
        let now = self.now;
        self.disruptions
            .requests
            .retain(|_, (_, until)| now < *until);
        let Some(disruptions) = self.agreed_disruptions().cloned() else {
            return;
        };
        if now < self.disruptions.next_look || self.disruptions.step.is_some() {
            return;
        }
        let is_idle = !disruptions.is_active() && self.disruptions.requests.is_empty();
        let interval = match is_idle {
            true => IDLE_LOOK_LEASES * self.settings.lease.lease,
            false => self.look_interval(),
        };
        self.disruptions.next_look = now + interval;
        self.look(&disruptions);
    }

    fn look(&mut self, disruptions: &DisruptionState) {
        let requests: Vec<PermitRequest> = (self.disruptions.requests.iter())
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
            me: &self.settings.me,
            voters: &voters,
            requests: &requests,
            request_budget: &self.settings.bounds.0,
        };
        let controller = self
            .disruptions
            .controller
            .get_or_insert_with(|| RolloutController::new(disruptions));
        let step = controller.next_step(&inputs);
        self.disruptions.to_notify = std::mem::take(&mut controller.to_notify);
        self.disruptions.to_revoke = std::mem::take(&mut controller.to_revoke);
        // With the injected fault a halt given here is not known to the others.
        self.disruptions.step = step.filter(|_| !self.disruptions.halted_alone);
        if let (true, Some(RolloutStep::Grant(permits))) = (
            is_injected(InjectedFault::ToldBeforeAgreed),
            &self.disruptions.step,
        ) {
            self.disruptions.unagreed = permits.clone();
        }
    }

    fn current_voters(&self) -> BTreeSet<Name> {
        self.known_voter_set()
            .map(|voters| voters.all().into_keys().collect())
            .unwrap_or_default()
    }

    fn look_interval(&self) -> Ms {
        (self.settings.heartbeat / LOOKS_PER_HEARTBEAT)
            .clamp(MIN_LOOK_INTERVAL_MS, MAX_LOOK_INTERVAL_MS)
    }

    /// When there is something to look at or to send.
    pub(in super::super) fn rollout_wakes_at(&self) -> Option<Ms> {
        let is_leader = self.held_leases.contains_key(&Self::membership_lease());
        let look = is_leader.then(|| match self.disruptions.step {
            Some(_) => self.now + self.look_interval(),
            None => self.disruptions.next_look,
        });
        let halt = self.disruptions.halt.as_ref();
        let halt = halt.and_then(|halt| halt.next_question_at());
        look.into_iter().chain(halt).min_by(f64::total_cmp)
    }

    /// The step that the membership leader wants agreed on.
    pub(in super::super) fn proposed_step(&self) -> Option<(ProposalReason, Command)> {
        let lease = self.valid_membership_lease()?;
        let command = Command::RolloutStep {
            lease_name: Self::membership_lease(),
            term: lease.term,
            who: self.me(),
            step: self.disruptions.step.clone()?,
        };
        Some((ProposalReason::RolloutStep, command))
    }

    /// A step was proposed, and agreed on or not.
    pub(in super::super) fn step_proposed(&mut self, agreed: bool) {
        self.disruptions.step = None;
        self.disruptions.next_look = match agreed {
            true => self.now,
            false => self.now + self.settings.lease.gap(),
        };
    }
}
