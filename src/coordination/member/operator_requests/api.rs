//! Requests and replies.

use crate::coordination::disruption_budget::{UnavailableCount, UnitKind};
use crate::coordination::membership::MemberStatus;
use crate::coordination::rollout::{PermitId, RolloutPlan};
use crate::coordination::state::LeaseHolder;
use crate::coordination::{Address, LeaseName, Name, Term};
use crate::interface::Ms;

/// Longest name of a lease or of a member, in bytes.
pub const LONGEST_NAME: usize = 64;

/// An operator's request, to any dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Asks for a [`Status`].
    Status,
    /// Hands a lease over.
    HandOver {
        /// The lease.
        lease_name: LeaseName,
        /// The dispatcher that is to hold it; none: whichever comes next.
        to: Option<Name>,
    },
    /// Makes a dispatcher a voter.
    AddVoter {
        /// The dispatcher.
        name: Name,
        /// Where it is reached; may be left out for a member that is known.
        address: Option<Address>,
    },
    /// Makes a dispatcher a voter no more.
    RemoveVoter {
        /// The dispatcher.
        name: Name,
    },
    /// Asks for a lease for a job, or goes on to ask for it.
    HoldLease {
        /// The lease.
        lease_name: LeaseName,
        /// The job's number, drawn by the job.
        job: u64,
    },
    /// The job is over.
    LetGo {
        /// The lease.
        lease_name: LeaseName,
        /// The job's number.
        job: u64,
    },
    /// A request about rollouts.
    Rollout(RolloutRequest),
    /// Stops one dispatcher without agreement.
    ByHand {
        /// The dispatcher.
        name: Name,
        /// Where it is reached; may be left out for a member that is known.
        address: Option<Address>,
        /// The operator's reason, in words.
        reason: String,
    },
}

/// An operator's request about rollouts and permits.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutRequest {
    /// Starts a rollout.
    Start {
        /// The plan.
        plan: Box<RolloutPlan>,
        /// Units that the plan names and that are not there are passed over.
        skip_missing: bool,
        /// The waves are only shown.
        dry_run: bool,
    },
    /// Grants no permit any more. Asked again until the reply is [`Reply::Done`].
    Halt {
        /// The operator's reason, in words.
        reason: String,
    },
    /// Ends a halt.
    Resume,
    /// Brings units back to the previous label.
    RollBack,
    /// Finishes the rollout as it stands.
    End,
    /// Units that are missing now are not missing any more.
    Recount {
        /// The kind of units.
        unit_kind: UnitKind,
    },
    /// Asks for a permit for a dispatcher, or goes on to ask for it.
    Permit {
        /// The dispatcher.
        name: Name,
        /// The label that it is to come back under; empty: any.
        label: String,
        /// The permit is not wanted any more.
        cancel: bool,
    },
}

/// A rollout and the permits, as the dispatcher that was asked sees them; whole at the membership leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutStatus {
    /// The operators' name for the rollout.
    pub name: String,
    /// The kind of unit that goes.
    pub unit_kind: UnitKind,
    /// One of: none, waiting, running, held, halted, going back, done.
    pub state: String,
    /// Why it is halted, in words; empty if it is not.
    pub halted: String,
    /// Why no permit is granted now, in words; empty if nothing forbids it.
    pub blocked_reason: String,
    /// The wave, counted from 1.
    pub wave: u32,
    /// Permits that the wave has granted.
    pub granted_in_wave: u32,
    /// Permits that the wave may grant; 0 while rolling back.
    pub wave_size: u32,
    /// Permits that are complete.
    pub completed: u32,
    /// Units that are seen and that the plan selects.
    pub selected: u32,
    /// Permits that are granted and not complete.
    pub permits: Vec<PermitStatus>,
    /// Unavailable units and their limits: the fleet's first, then each zone's.
    pub unavailable: Vec<UnavailableCount>,
    /// Units that did not come back as they should.
    pub abandoned: Vec<AbandonedUnit>,
    /// What operators did by hand without agreement.
    pub notes: Vec<String>,
}

/// A permit and where its unit is.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitStatus {
    /// The permit.
    pub permit: PermitId,
    /// The unit that may go.
    pub unit: Name,
    /// The unit's zone.
    pub zone: String,
    /// One of: given, out, starting, back, back under another label.
    pub stage: String,
}

/// A unit that did not come back as it should, left for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedUnit {
    /// The unit.
    pub unit: Name,
    /// What was seen of it, in words.
    pub reason: String,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// What was asked for.
    Status(Box<Status>),
    /// Done, in words.
    Done(String),
    /// Not done, with the reason in words.
    Refused(String),
    /// Not done yet, with the reason in words: ask again.
    Pending(String),
    /// The dispatcher at this address can do it.
    Elsewhere(Address),
    /// Whether a job's lease is held.
    Holds {
        /// The lease's term; none if it is not held yet.
        term: Option<Term>,
        /// How long it is held at least, in milliseconds from before it was asked for.
        good_for: Ms,
    },
}

/// A voter, as it was asked.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterLine {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: Address,
    /// It answered.
    pub answers: bool,
    /// It votes, as the voter that the fleet agreed on.
    pub votes: bool,
    /// The version of the state that it accepted last; 0 if none.
    pub version: u64,
}

/// A member, as the membership leader has it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberLine {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: String,
    /// The version that it runs, or another label of its operators'.
    pub label: String,
    /// Whether it is alive.
    pub member_status: MemberStatus,
    /// It said that it is ready.
    pub ready: bool,
    /// How long its process has run, in milliseconds.
    pub uptime: Ms,
    /// How long ago its last heartbeat arrived, in milliseconds.
    pub heard_ago: Ms,
}

/// The fleet, as the dispatcher that was asked knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// The dispatcher that was asked.
    pub reported_by: Option<Name>,
    /// A majority of the voters answered.
    pub majority: bool,
    /// Counts changes of the voters.
    pub generation: u64,
    /// A change of the voters is under way.
    pub changing: bool,
    /// The newest version of the state that is known.
    pub version: u64,
    /// The voters, each as it was asked.
    pub voters: Vec<VoterLine>,
    /// Leases with their terms and holders.
    pub leases: Vec<(LeaseName, Term, Option<LeaseHolder>)>,
    /// For how long this dispatcher has been the membership leader, in milliseconds; none if it is not.
    pub leading_for: Option<Ms>,
    /// The members, if this dispatcher is the membership leader.
    pub members: Vec<MemberLine>,
    /// Where the membership leader is, if that is another dispatcher.
    pub leader: Option<Address>,
    /// The rollout and the permits.
    pub disruptions: RolloutStatus,
}
