//! The types of operators' requests and of the replies.

use crate::coordination::disruption_budget::{UnavailableCount, UnitKind};
use crate::coordination::membership::MemberStatus;
use crate::coordination::rollout::{PermitId, RolloutPlan};
use crate::coordination::state::LeaseHolder;
use crate::coordination::{Address, LeaseName, Name, Term};
use crate::interface::Ms;

/// The maximum length of the name of a lease or of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An operator's request. Any dispatcher accepts a request, and may refer the operator to another dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Requests a [`Status`] of the fleet.
    Status,
    /// Hands a lease over to another dispatcher.
    HandOver {
        /// The name of the lease, which the queried dispatcher must hold.
        lease_name: LeaseName,
        /// The next holder. None selects the first dispatcher in the order of succession.
        to: Option<Name>,
    },
    /// Adds a dispatcher to the voters.
    AddVoter {
        /// The name of the dispatcher that becomes a voter.
        name: Name,
        /// The address of the dispatcher's fleet service. May be none if the dispatcher is a member or a voter.
        address: Option<Address>,
    },
    /// Removes a dispatcher from the voters. Refused if fewer than 3 voters would remain.
    RemoveVoter {
        /// The name of the dispatcher that stops being a voter.
        name: Name,
    },
    /// Requests a lease for a job. The job repeats the request to keep the lease.
    HoldLease {
        /// The name of the lease, at most [`MAX_NAME_BYTES`] bytes. The membership lease is refused.
        lease_name: LeaseName,
        /// The job's number, drawn by the job. Distinguishes jobs that request the same lease.
        job: u64,
    },
    /// Releases the lease of a job that has ended.
    ReleaseLease {
        /// The name of the lease that the job held.
        lease_name: LeaseName,
        /// The number that the job used in its requests to hold the lease.
        job: u64,
    },
    /// A request about rollouts or permits.
    Rollout(RolloutRequest),
    /// Stops one dispatcher without the fleet's agreement.
    StopWithoutAgreement {
        /// The name of the dispatcher that drains and stops.
        name: Name,
        /// The address of the dispatcher's fleet service. May be none if the dispatcher is a member or a voter.
        address: Option<Address>,
        /// The operator's reason, which is logged and stored in a note.
        reason: String,
    },
}

/// An operator's request about rollouts and permits.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutRequest {
    /// Starts a rollout. Refused while another rollout is unfinished or permits are halted.
    Start {
        /// The units, waves and timeouts of the rollout.
        plan: Box<RolloutPlan>,
        /// Whether to ignore units that the plan names and that do not exist. Otherwise such a plan is refused.
        skip_missing: bool,
        /// Whether to only reply with the waves of the plan, without starting the rollout.
        dry_run: bool,
    },
    /// Stops the granting of permits. The operator repeats the request until the reply is [`Reply::Done`], which
    /// confirms that no unit begins to drain any more.
    Halt {
        /// The operator's reason, which is shown in the status.
        reason: String,
    },
    /// Ends a halt and restarts the timeouts of all permits.
    Resume,
    /// Returns updated units to the plan's previous label, and ends a halt.
    RollBack,
    /// Finishes the rollout without updating the remaining units, and ends a halt.
    End,
    /// Sets the agreed zone sizes to the number of units seen now, so that missing units no longer count as
    /// unavailable.
    Recount {
        /// Whether to count dispatchers or engines.
        unit_kind: UnitKind,
    },
    /// Requests a permit for a dispatcher. The dispatcher repeats the request until the permit is granted.
    Permit {
        /// The name of the dispatcher that wants to drain.
        name: Name,
        /// The label that the dispatcher will have after its restart. If this label is empty, the dispatcher may have
        /// any label.
        label: String,
        /// Whether the request withdraws the dispatcher's earlier request instead of requesting a permit.
        cancel: bool,
    },
}

/// The rollout and the permits, as the queried dispatcher knows them. Only the membership leader knows all fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutStatus {
    /// The name that the operator gave to the rollout. Empty before the first rollout.
    pub name: String,
    /// Whether the rollout updates dispatchers or engines.
    pub unit_kind: UnitKind,
    /// The state of the rollout. One of: none, waiting, running, held, halted, going back, done.
    pub state: String,
    /// The reason for the current halt. Empty if there is no halt.
    pub halted: String,
    /// The reason why no permit is granted now. Empty if nothing prevents permits.
    pub blocked_reason: String,
    /// The current wave, counted from 1.
    pub wave: u32,
    /// The number of permits that have been granted in the wave. Revoked permits are not counted.
    pub granted_in_wave: u32,
    /// The maximum number of permits of the wave. 0 during a rollback, which has no waves.
    pub wave_size: u32,
    /// The number of the rollout's permits whose units have returned as planned or were removed for good.
    pub completed: u32,
    /// The number of units that the leader sees and the plan selects.
    pub selected: u32,
    /// The granted permits that have not been completed, revoked or abandoned.
    pub permits: Vec<PermitStatus>,
    /// The number of unavailable units and how many may be unavailable at once, first for the fleet and then for each
    /// zone. Empty unless the queried dispatcher is the membership leader.
    pub unavailable: Vec<UnavailableCount>,
    /// Units that did not return as planned and need repair by an operator.
    pub abandoned: Vec<AbandonedUnit>,
    /// Records of operators' actions on single dispatchers without the fleet's agreement.
    pub notes: Vec<String>,
}

/// A granted permit and the progress of its unit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitStatus {
    /// The permit's number, which replies and notices also state.
    pub permit: PermitId,
    /// The name of the unit that may drain on the permit.
    pub unit: Name,
    /// The name of the unit's zone, against whose limit the permit counts.
    pub zone: String,
    /// The progress of the unit. One of: given, out, starting, back, back under another label.
    pub stage: String,
}

/// A unit that did not return as planned and needs repair by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedUnit {
    /// The name of the unit. A status lists each abandoned unit once.
    pub unit: Name,
    /// Why the rollout has abandoned the unit. The text follows the unit's name, for example `did not return in time`.
    pub reason: String,
}

/// The reply to an [`OperatorRequest`]. Texts in a reply are shown to the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The status of the fleet, in reply to [`OperatorRequest::Status`].
    Status(Box<Status>),
    /// The request has succeeded. Carries a description of the result.
    Done(String),
    /// The request was refused or has failed. Carries the reason.
    Refused(String),
    /// The request is not complete yet. Carries the reason. The sender repeats the request.
    Pending(String),
    /// Another dispatcher can handle the request. Carries the address of that dispatcher.
    Redirect(Address),
    /// Whether the queried dispatcher holds a job's lease, in reply to the job's request.
    LeaseHold {
        /// The lease's term. None if the dispatcher does not hold the lease yet.
        term: Option<Term>,
        /// The minimum time for which the dispatcher still holds the lease, in milliseconds from when the job sent its
        /// request.
        valid_for: Ms,
    },
}

/// The status of one voter, as a query of the voters has found it.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterStatus {
    /// The voter's name, as the fleet agreed on it or as the settings state it.
    pub name: Name,
    /// The address of the voter's fleet service.
    pub address: Address,
    /// Whether the voter has answered the query. False if the voter could not be reached in time.
    pub is_responding: bool,
    /// Whether the voter votes under the identity that the fleet agreed on.
    pub is_voting: bool,
    /// The version of the state that the voter accepted last. 0 if the voter has accepted none.
    pub version: u64,
}

/// The status of one member, as the membership leader knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSummary {
    /// The member's name, as its heartbeats state it.
    pub name: Name,
    /// The name of the member's zone, as its heartbeats state it.
    pub zone: String,
    /// The version that the member runs, or another label that operators gave to it.
    pub label: String,
    /// The member's liveness, as derived from its heartbeats.
    pub member_status: MemberStatus,
    /// Whether the member's last heartbeat reported it as ready.
    pub ready: bool,
    /// How long the member's process has run, in milliseconds.
    pub uptime: Ms,
    /// The time since the member's last heartbeat arrived, in milliseconds.
    pub last_heartbeat_age: Ms,
}

/// The status of the fleet, as the queried dispatcher knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// The dispatcher that was queried. None in an empty status.
    pub reported_by: Option<Name>,
    /// Whether a majority of the voters answered the query.
    pub majority: bool,
    /// How often the set of voters has changed.
    pub generation: u64,
    /// Whether a change of the set of voters is in progress.
    pub changing: bool,
    /// The newest known version of the replicated state. 0 if none is known.
    pub version: u64,
    /// The status of each voter, in the order of their names.
    pub voters: Vec<VoterStatus>,
    /// All leases with their terms and holders. The holder is none if no dispatcher holds the lease.
    pub leases: Vec<(LeaseName, Term, Option<LeaseHolder>)>,
    /// How long this dispatcher has been the membership leader, in milliseconds. None if this dispatcher is not the
    /// leader.
    pub leading_for: Option<Ms>,
    /// The status of each member. Empty unless this dispatcher is the membership leader.
    pub members: Vec<MemberSummary>,
    /// The address of the membership leader. None if this dispatcher is the leader or the leader is unknown.
    pub leader: Option<Address>,
    /// The rollout and the permits. Has default values if no replicated state is known.
    pub disruptions: RolloutStatus,
}
