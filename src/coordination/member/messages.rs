//! The inputs and outputs of a member, and the messages between members.

use super::{OperatorRequest, Reply};
use crate::coordination::disruption_budget::{OutcomeCounts, Unit, UnitKind};
use crate::coordination::fencing::{FencedCommand, FencingDecision, ReceiverTimestamp};
use crate::coordination::membership::{EngineReport, Heartbeat};
use crate::coordination::register::{AcceptorReply, AcceptorRequest, AcceptorState, Ballot};
use crate::coordination::rollout::PermitId;
use crate::coordination::state::{LeaseHolder, ReplicatedState, VoterId, Voters};
use crate::coordination::{Address, Incarnation, LeaseName, Name, Term};
use crate::interface::Ms;
use std::fmt;

/// Identifies a received request until its answer is sent; assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a sent request until its answer arrives; assigned by the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberRequestId(pub u64);

/// Identifies a write of the voter's file; assigned by the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SaveId(pub u64);

/// A request from one member, or from an operator, to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberRequest {
    /// A proposer's prepare or accept request to an acceptor.
    Vote(AcceptorRequest),
    /// Asks a voter for the value that it accepted last.
    VoterState,
    /// Asks for the highest known write count of a voter's file.
    WriteCount {
        /// The name of the voter whose write count is requested.
        voter: Name,
        /// The identity of that voter; another file under the same name has another identity.
        voter_id: VoterId,
    },
    /// A member's periodic report to the membership leader.
    Heartbeat(Heartbeat),
    /// Tells the receiver that a lease was released and that the receiver is named as the successor.
    LeaseOffer {
        /// The lease that the receiver may acquire.
        lease_name: LeaseName,
    },
    /// A lease holder's command, which is executed only while the sender holds the lease.
    FencedCommand(FencedCommand),
    /// Revokes a permit, unless the disruption that the permit allows has already begun.
    RevokePermit {
        /// The permit to revoke.
        permit: PermitId,
        /// Whether the unit is a dispatcher or an engine.
        unit_kind: UnitKind,
        /// The name of the unit that the permit was issued to.
        unit: Name,
        /// The process of the unit for which the permit was issued.
        incarnation: Incarnation,
    },
    /// An operator's request, such as a status query or a change of voters.
    Operator(OperatorRequest),
}

/// A member's answer to a [`MemberRequest`]. Each kind of request has one kind of answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answers [`MemberRequest::Vote`] with a promise, an acceptance or a refusal.
    Vote(AcceptorReply),
    /// Answers [`MemberRequest::VoterState`] with the voter's identity and the value that it accepted last.
    VoterState(VoterState),
    /// Answers [`MemberRequest::WriteCount`] with the write count that the receiver knows.
    WriteCount {
        /// The highest write count that the receiver knows; 0 if it knows none.
        writes: u64,
    },
    /// Answers [`MemberRequest::Heartbeat`], and names the membership leader if the receiver knows it.
    Heartbeat(HeartbeatReply),
    /// Confirms the receipt of [`MemberRequest::LeaseOffer`].
    Done,
    /// Answers [`MemberRequest::FencedCommand`] with the receiver's decision and a new timestamp.
    FencingDecision {
        /// Whether the command was executed, or why it was refused.
        verdict: FencingDecision,
        /// The receiver's timestamp, which the sender attaches to its next command.
        receiver_timestamp: ReceiverTimestamp,
    },
    /// Answers [`MemberRequest::RevokePermit`], and states whether the permit was revoked.
    RevocationResult {
        /// Whether the disruption has begun, so that the permit cannot be revoked.
        begun: bool,
    },
    /// Answers [`MemberRequest::Operator`]; the reply may redirect the operator to another member.
    Reply(Reply),
}

/// A voter's answer to a query of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterState {
    /// The voter's identity; `None` without a voter's file, or with one that cannot be trusted.
    pub voter_id: Option<VoterId>,
    /// Whether the voter answers proposers now.
    pub is_voting: bool,
    /// The initial voters of the fleet, as the voter's file stores them; `None` if the file does not contain them.
    pub bootstrap: Option<Voters>,
    /// The value that the voter accepted last, with its ballot; `None` if it has accepted no value.
    pub newest: Option<(Ballot, ReplicatedState)>,
}

/// A member's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReply {
    /// Whether the receiver is the membership leader and has recorded the heartbeat.
    pub accepted: bool,
    /// The membership leader with its term, according to the receiver; `None` if the receiver knows no leader.
    pub holder: Option<(Term, LeaseHolder)>,
    /// The time until the sender's next heartbeat, in milliseconds.
    pub next_heartbeat_in: Ms,
    /// The sender's ranks among the possible next holders of leases, 0 for the first; empty if it is not ranked.
    pub ranks: Vec<(LeaseName, u32)>,
}

/// The dispatcher's health, which the driver measures and the member reports with heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalHealth {
    /// Whether the dispatcher accepts client requests.
    pub ready: bool,
    /// The dispatcher's utilization, 0 to 1.
    pub utilization: f64,
    /// Outcomes of client requests since the process started.
    pub outcomes: OutcomeCounts,
    /// The reports about engines that were made since the previous [`Input::LocalHealth`].
    pub reports: Vec<EngineReport>,
}

/// The error for a voter's file that exists and cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableFile {
    /// The human-readable reason, as logs and operators' tools show it.
    pub reason: String,
}

impl fmt::Display for UnusableFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl std::error::Error for UnusableFile {}

/// An event that the driver passes to [`Member::handle`](super::Member::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The result of reading the voter's file when the process started; `Ok(None)` if the file does not exist.
    Loaded(Result<Option<AcceptorState>, UnusableFile>),
    /// A write of the voter's file has ended.
    Saved {
        /// The number of the write, from [`Output::Save`].
        number: SaveId,
        /// Whether the new content is known to be durable; false after a failed write.
        is_durable: bool,
    },
    /// A request of another member or an operator was received.
    RequestReceived {
        /// The number that the driver gives the request, for [`Output::Answer`].
        call: CallId,
        /// The request, which [`Output::Answer`] answers at once or later.
        question: MemberRequest,
    },
    /// A sent request was answered, or its receiver could not be reached.
    AnswerReceived {
        /// The number of the request, from [`Output::SendRequest`].
        request_id: MemberRequestId,
        /// The answer; `None` if no answer will come, such as after a lost connection, or if the answer was invalid.
        answer: Option<Answer>,
    },
    /// A new measurement of the dispatcher's health.
    LocalHealth(LocalHealth),
    /// The engines in this dispatcher's endpoint list, replacing the earlier ones.
    Engines(Vec<Unit>),
    /// No event occurred, but time has passed: the member handles the timers that are due.
    Tick,
    /// The process is shutting down: the member hands over its leases and acquires no further leases.
    Stop,
}

/// An action that the driver performs for the member.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to another member.
    SendRequest {
        /// The number of the request, for [`Input::AnswerReceived`].
        request_id: MemberRequestId,
        /// The address of the receiver's fleet service.
        to: Address,
        /// The request, which the driver encodes and sends.
        question: MemberRequest,
    },
    /// Answer a request that [`Input::RequestReceived`] passed to the member.
    Answer {
        /// The number of the request, from [`Input::RequestReceived`].
        call: CallId,
        /// The answer, which the driver encodes and sends.
        answer: Answer,
    },
    /// Write the voter's file durably.
    Save {
        /// The number of the write, for [`Input::Saved`].
        number: SaveId,
        /// The new content of the file.
        state: Box<AcceptorState>,
    },
    /// Report that the member has acquired a lease or no longer holds it.
    LeaseChanged {
        /// The lease that was acquired, released or lost.
        lease_name: LeaseName,
        /// The term in which the lease is or was held.
        term: Term,
        /// Whether the lease is held from now on.
        held: bool,
    },
    /// Restart this process: it drains and exits, and its supervisor starts it again.
    PermitGranted {
        /// The permit that allows the restart.
        permit: PermitId,
        /// The label of the restarted process; empty if the label stays the same.
        label: String,
    },
    /// Log this text as a warning, which reports a fault such as a failed write of the voter's file.
    Warn(String),
    /// Log this text, which reports an event of normal operation.
    Info(String),
    /// Report that all leases are handed over after [`Input::Stop`], so that the process may exit.
    Stopped,
}
