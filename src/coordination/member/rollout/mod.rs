//! One dispatcher's part in rollouts: the membership leader runs the controller and notifies units of their permits; a
//! dispatcher with a permit drains; any dispatcher may halt.

mod commands;
mod fleet_view;
mod halt;
mod leader;
mod notices;
mod permit;
mod plan_check;
mod status;
mod stop_by_hand;

use super::*;
use crate::coordination::rollout::{DisruptionPermit, DisruptionState, RolloutStep};
use crate::coordination::rollout_controller::RolloutController;
use halt::HaltConfirmation;
use notices::NoticeReceiver;
use std::collections::BTreeSet;

/// Engine reports in one heartbeat.
pub const MAX_REPORTS: usize = 8;
/// Heartbeats for which engine reports are queued.
const MAX_QUEUED_HEARTBEATS: usize = 4;

/// One dispatcher's state of rollouts.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutState {
    /// Requests that this process answered.
    pub(super) outcomes: OutcomeCounts,
    reports: Vec<EngineReport>,
    /// Engines as this dispatcher's own list has them.
    engines: Vec<Unit>,
    // The leader.
    controller: Option<RolloutController>,
    next_look: Ms,
    /// The step that is to be agreed on.
    step: Option<RolloutStep>,
    to_notify: Vec<PermitId>,
    to_revoke: Vec<PermitId>,
    pub(super) receivers: BTreeMap<Address, NoticeReceiver>,
    /// When a notice, and a revocation, may be sent again.
    next_notice: BTreeMap<PermitId, Ms>,
    next_revocation: BTreeMap<PermitId, Ms>,
    /// Dispatchers that asked for permits: their labels, and until when they wait.
    requests: BTreeMap<Name, (String, Ms)>,
    // The unit.
    /// The permit on which this process drains.
    begun: Option<PermitId>,
    /// Permits on which it will not begin.
    revoked: BTreeSet<PermitId>,
    // The halt.
    halt: Option<HaltConfirmation>,
    /// For injected faults: a halt that nobody else knows, permits that are not agreed on.
    halted_alone: bool,
    unagreed: Vec<DisruptionPermit>,
}

impl Member {
    fn membership_lease() -> LeaseName {
        LeaseName::from(MEMBERSHIP_LEASE)
    }

    /// The membership lease, while this dispatcher holds it.
    fn valid_membership_lease(&self) -> Option<HeldLease> {
        self.held_leases
            .get(&Self::membership_lease())
            .copied()
            .filter(|lease| lease.left(self.now) > 0.0)
    }

    pub(super) fn local_health(&mut self, local_health: LocalHealth) {
        self.ready = local_health.ready;
        self.load = local_health.load;
        self.disruptions.outcomes = local_health.tally;
        // Reports of a lost heartbeat are lost: they are thin evidence anyway, and come again.
        let reports = &mut self.disruptions.reports;
        reports.extend(local_health.reports);
        let surplus = reports
            .len()
            .saturating_sub(MAX_QUEUED_HEARTBEATS * MAX_REPORTS);
        reports.drain(..surplus);
    }

    pub(super) fn engines(&mut self, engines: Vec<Unit>) {
        self.disruptions.engines = engines;
    }

    /// The next few reports, for a heartbeat.
    pub(super) fn next_reports(&mut self) -> Vec<EngineReport> {
        let count = self.disruptions.reports.len().min(MAX_REPORTS);
        self.disruptions.reports.drain(..count).collect()
    }

    /// Whether [`Input::Engines`] is of use: only the membership leader looks at the list.
    pub fn wants_engines(&self) -> bool {
        self.held_leases.contains_key(&Self::membership_lease())
    }

    /// What is agreed on, as this dispatcher last knew it for certain.
    fn agreed_disruptions(&self) -> Option<&DisruptionState> {
        self.chosen.as_ref().map(|value| &*value.disruptions)
    }
}
