//! The inputs of the rollout controller: the leader's view of the fleet, and dispatchers' requests for permits.

use crate::coordination::disruption_budget::{DisruptionBudget, Unit, UnitKind};
use crate::coordination::rollout::DisruptionState;
use crate::coordination::Name;
use crate::interface::Ms;
use std::collections::BTreeSet;

/// The dispatchers and engines that the membership leader knows, with their current status.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The dispatchers that are members, including suspected and failed members.
    pub dispatchers: Vec<Unit>,
    /// The engines in the membership leader's own list from discovery.
    pub engines: Vec<Unit>,
    /// Whether the leader has led for long enough to have received a heartbeat from every live dispatcher.
    pub is_complete: bool,
}

impl FleetView {
    /// All units of one kind, including units that are out of service.
    pub fn units(&self, unit_kind: UnitKind) -> &[Unit] {
        if unit_kind == UnitKind::Engines {
            &self.engines
        } else {
            &self.dispatchers
        }
    }
}

/// A dispatcher's request for a permit of its own, outside of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The name of the dispatcher that requests the permit.
    pub name: Name,
    /// The label that the dispatcher will have after its restart. If this label is empty, the
    /// dispatcher may have any label.
    pub label: String,
}

/// The inputs of one controller run. The next step depends on these inputs and on the controller's own state.
#[derive(Clone, Copy, Debug)]
pub struct ControllerInputs<'a> {
    /// The current time of the leader's clock, in milliseconds.
    pub now: Ms,
    /// The permits, the rollout and the zone sizes that the fleet has agreed on.
    pub disruptions: &'a DisruptionState,
    /// The units that the leader sees now.
    pub view: &'a FleetView,
    /// The name of the leader's own dispatcher, which the rollout updates last.
    pub leader_name: &'a Name,
    /// The names of the current voters. A voter drains only while all other voters are available.
    pub voters: &'a BTreeSet<Name>,
    /// Requests of dispatchers for permits outside of a rollout, without expired requests.
    pub requests: &'a [PermitRequest],
    /// The budget that applies to `requests` while no rollout of dispatchers is unfinished.
    pub request_budget: &'a DisruptionBudget,
}
