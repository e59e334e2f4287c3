//! The settings of a member, which stay the same while its process runs.

use crate::coordination::disruption_budget::DisruptionBudget;
use crate::coordination::lease::LeaseSettings;
use crate::coordination::{Address, Incarnation, Name};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// Settings of one member. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The name of the fleet. Members refuse connections from members of another fleet.
    pub fleet: String,
    /// The name of this member, which stays the same when its process restarts.
    pub own_name: Name,
    /// Identifies this process of the member; drawn at random at each start.
    pub incarnation: Incarnation,
    /// The address at which other members reach this member's fleet service.
    pub address: Address,
    /// The zone that this member runs in, as its heartbeats state it.
    pub zone: String,
    /// The version that this member runs, or another label that its operators chose.
    pub label: String,
    /// The addresses of the fleet's initial voters, by name. A member also queries them for the present voters.
    pub voters: BTreeMap<Name, Address>,
    /// Whether this member has a voter's file and may become a voter.
    pub may_vote: bool,
    /// The lease duration and the allowed clock drift.
    pub lease: LeaseSettings,
    /// The timeout of requests to other members.
    pub request_timeout: Ms,
    /// The shortest time between two heartbeats of this member; large fleets use a longer one.
    pub heartbeat: Ms,
    /// The zone whose members are preferred as membership leader; `None` for no preference.
    pub preferred_zone: Option<String>,
    /// The addresses to which this member sends membership reports while it is the leader.
    pub report_receivers: Vec<Address>,
    /// The time between two membership reports to the same receiver.
    pub report_interval: Ms,
    /// The disruption budgets of dispatchers and of engines, in this order.
    pub disruption_budgets: (DisruptionBudget, DisruptionBudget),
    /// The address of the service that lists engines as draining; `None` if there is no such service.
    pub drain_list_address: Option<Address>,
    /// The seed of all random draws of this member.
    pub seed: u64,
}
