//! The settings of a member, given at its start.

use crate::coordination::disruption_budget::DisruptionBudget;
use crate::coordination::lease::LeaseSettings;
use crate::coordination::{Address, Incarnation, Name};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// Settings of one member. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name. Members of another fleet are refused.
    pub fleet: String,
    /// This member's name.
    pub me: Name,
    /// This process of the member.
    pub incarnation: Incarnation,
    /// Where the other members reach this one's fleet service.
    pub address: Address,
    /// The zone that this member runs in.
    pub zone: String,
    /// The version that it runs, or another label of its operators'.
    pub label: String,
    /// The voters of the bootstrap; also asked who votes now.
    pub voters: BTreeMap<Name, Address>,
    /// It has a file for an acceptor.
    pub may_vote: bool,
    /// Times of the leases.
    pub lease: LeaseSettings,
    /// How long the answer to a request is waited for.
    pub answer_within: Ms,
    /// The shortest time between two heartbeats.
    pub heartbeat: Ms,
    /// The zone whose members are preferred as membership leader.
    pub preferred_zone: Option<String>,
    /// Receivers of the membership report.
    pub report_receivers: Vec<Address>,
    /// How often each of them is sent one.
    pub report_interval: Ms,
    /// The disruption budgets of dispatchers and of engines.
    pub bounds: (DisruptionBudget, DisruptionBudget),
    /// Who lists engines as draining.
    pub keeper: Option<Address>,
    /// Seed of all random draws.
    pub seed: u64,
}
