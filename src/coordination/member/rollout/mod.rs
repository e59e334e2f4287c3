//! One dispatcher's part in rollouts. The membership leader runs the rollout controller and notifies units of their
//! permits. A dispatcher that is notified of its permit drains. Any dispatcher accepts an operator's halt.

mod commands;
mod fleet_view;
mod halt;
mod leader;
mod notices;
mod permit;
mod plan_check;
mod status;
mod stop_without_agreement;

use super::*;
use crate::coordination::rollout::{DisruptionPermit, DisruptionState, RolloutStep};
use crate::coordination::rollout_controller::RolloutController;
use halt::HaltConfirmation;
use notices::NoticeReceiver;
use std::collections::BTreeSet;

/// The maximum number of engine reports in one heartbeat.
pub const MAX_REPORTS_PER_HEARTBEAT: usize = 8;
/// The maximum length of the queue of engine reports, in multiples of [`MAX_REPORTS_PER_HEARTBEAT`].
const MAX_QUEUED_HEARTBEATS: usize = 4;

/// The rollout state of one dispatcher that is not replicated. The dispatcher may be the membership leader, a unit with
/// a permit, or the receiver of an operator's halt.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutState {
    /// Cumulative outcomes of the requests that this process has answered.
    pub(super) outcomes: OutcomeCounts,
    /// Engine reports that have not been sent in a heartbeat yet, oldest first.
    queued_reports: Vec<EngineReport>,
    /// The engines in this dispatcher's own list from discovery.
    engines: Vec<Unit>,
    // State of the membership leader.
    controller: Option<RolloutController>,
    /// When the controller runs next.
    next_evaluation_at: Ms,
    /// The controller's step that is being proposed to the voters. None if no step is due.
    pending_step: Option<RolloutStep>,
    /// Permits whose units must be notified, according to the controller's last run.
    to_notify: Vec<PermitId>,
    /// Permits whose units must be asked not to begin draining, according to the controller's last run.
    to_revoke: Vec<PermitId>,
    /// What the leader knows about each receiver of notices, by the receiver's address.
    pub(super) receivers: BTreeMap<Address, NoticeReceiver>,
    /// The earliest time of the next notice of each permit.
    next_notice_at: BTreeMap<PermitId, Ms>,
    /// The earliest time of the next revocation request for each permit.
    next_revocation_at: BTreeMap<PermitId, Ms>,
    /// Dispatchers that requested permits. Each has the label that the dispatcher will have after its restart, or an
    /// empty label for any, and the time at which the request expires.
    permit_requests: BTreeMap<Name, (String, Ms)>,
    // State of a unit with a permit.
    /// The permit on which this process drains. None while the process is not draining on a permit.
    begun_permit: Option<PermitId>,
    /// Permits on which this process must not begin to drain.
    revoked_permits: BTreeSet<PermitId>,
    // State of the dispatcher that received a halt.
    halt_confirmation: Option<HaltConfirmation>,
    // State for injected faults.
    /// Whether only this dispatcher knows of a halt, because the halt is not in the replicated state.
    has_local_halt: bool,
    /// Permits whose notices an injected fault sends before the fleet has agreed on the permits.
    unagreed_permits: Vec<DisruptionPermit>,
}

impl Member {
    /// The membership lease, if this dispatcher holds the lease and the lease has not expired.
    fn valid_membership_lease(&self) -> Option<HeldLease> {
        self.held_leases
            .get(&membership_lease())
            .copied()
            .filter(|lease| lease.remaining(self.now) > 0.0)
    }

    /// Stores the readiness, the utilization and the outcomes of this dispatcher, and queues its engine reports.
    pub(super) fn local_health(&mut self, local_health: LocalHealth) {
        self.ready = local_health.ready;
        self.utilization = local_health.utilization;
        self.disruptions.outcomes = local_health.outcomes;
        // The oldest reports are dropped when the queue is full, and reports in a lost heartbeat are not sent again. A
        // single report carries little evidence, and a newer report of the same engine follows.
        let reports = &mut self.disruptions.queued_reports;
        reports.extend(local_health.reports);
        let excess = reports
            .len()
            .saturating_sub(MAX_QUEUED_HEARTBEATS * MAX_REPORTS_PER_HEARTBEAT);
        reports.drain(..excess);
    }

    /// Replaces this dispatcher's list of engines from discovery.
    pub(super) fn set_engines(&mut self, engines: Vec<Unit>) {
        self.disruptions.engines = engines;
    }

    /// Removes up to [`MAX_REPORTS_PER_HEARTBEAT`] reports from the queue, for the next heartbeat.
    pub(super) fn next_reports(&mut self) -> Vec<EngineReport> {
        let count = self
            .disruptions
            .queued_reports
            .len()
            .min(MAX_REPORTS_PER_HEARTBEAT);
        self.disruptions.queued_reports.drain(..count).collect()
    }

    /// Whether the driver should provide [`Input::Engines`]. Only the membership leader uses the list of engines.
    pub fn wants_engines(&self) -> bool {
        self.held_leases.contains_key(&membership_lease())
    }

    /// The permits and the rollout of the newest replicated state that this dispatcher knows to be chosen. None before
    /// any is known.
    fn agreed_disruptions(&self) -> Option<&DisruptionState> {
        self.chosen.as_ref().map(|value| &*value.disruptions)
    }
}
