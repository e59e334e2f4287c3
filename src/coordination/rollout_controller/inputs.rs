//! What the controller looks at.

use crate::coordination::disruption_budget::{DisruptionBudget, Unit, UnitKind};
use crate::coordination::rollout::DisruptionState;
use crate::coordination::Name;
use crate::interface::Ms;
use std::collections::BTreeSet;

/// The fleet as the membership leader sees it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Dispatchers that are members.
    pub dispatchers: Vec<Unit>,
    /// Engines that are listed.
    pub engines: Vec<Unit>,
    /// The leader has led for long enough to have a heartbeat of every dispatcher that is there.
    pub complete: bool,
}

impl FleetView {
    /// The units of a kind.
    pub fn units(&self, unit_kind: UnitKind) -> &[Unit] {
        if unit_kind == UnitKind::Engines {
            &self.engines
        } else {
            &self.dispatchers
        }
    }
}

/// A dispatcher that asked for a permit, beside a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The dispatcher.
    pub name: Name,
    /// The label that it is to come back under; empty: any.
    pub label: String,
}

/// All that a step depends on besides the controller's own timers.
#[derive(Clone, Copy, Debug)]
pub struct ControllerInputs<'a> {
    /// The time, in milliseconds.
    pub now: Ms,
    /// What the fleet agreed on.
    pub disruptions: &'a DisruptionState,
    /// The fleet as seen now.
    pub view: &'a FleetView,
    /// This dispatcher: it goes last.
    pub me: &'a Name,
    /// The dispatchers that vote.
    pub voters: &'a BTreeSet<Name>,
    /// Dispatchers that asked for permits.
    pub requests: &'a [PermitRequest],
    /// The limits for requests while no rollout of dispatchers sets its own.
    pub request_budget: &'a DisruptionBudget,
}
