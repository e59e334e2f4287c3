//! What goes into a member and what comes out of it.

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

/// A request that came in, as the driver numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request that went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// A write of the acceptor's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SaveId(pub u64);

/// A request from one member to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// A proposer's request to an acceptor.
    Vote(AcceptorRequest),
    /// Asks a voter for the value that it accepted last.
    VoterState,
    /// Asks how many writes of a voter's file are known.
    WriteCount {
        /// The voter's name.
        of: Name,
        /// The voter's identity.
        voter_id: VoterId,
    },
    /// A heartbeat to the membership leader.
    Heartbeat(Heartbeat),
    /// A lease was given up, with the receiver named as the next holder.
    LeaseOffer {
        /// The lease.
        lease_name: LeaseName,
    },
    /// A command of a lease holder.
    FencedCommand(FencedCommand),
    /// Asks whether the disruption that a permit allows has begun. If not, it must not begin any more.
    AskBack {
        /// The permit.
        permit: PermitId,
        /// Whether it is a dispatcher's or an engine's.
        of: UnitKind,
        /// The unit that has the permit.
        who: Name,
        /// The unit's process.
        incarnation: Incarnation,
    },
    /// A request of an operator.
    Operator(OperatorRequest),
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To [`Question::Vote`].
    Vote(AcceptorReply),
    /// To [`Question::VoterState`].
    VoterState(VoterState),
    /// To [`Question::WriteCount`].
    WriteCount {
        /// The highest known write count.
        writes: u64,
    },
    /// To [`Question::Heartbeat`].
    Heartbeat(HeartbeatReply),
    /// To [`Question::LeaseOffer`].
    Done,
    /// To [`Question::FencedCommand`].
    FencingDecision {
        /// Whether it was executed, or why not.
        verdict: FencingDecision,
        /// The receiver's clock, for the next command.
        receiver_timestamp: ReceiverTimestamp,
    },
    /// To [`Question::AskBack`].
    Begun {
        /// Whether the disruption has begun.
        begun: bool,
    },
    /// To [`Question::Operator`].
    Reply(Reply),
}

/// What a voter shows of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterState {
    /// Its identity; none if it is no voter, or has no file that can be trusted.
    pub voter_id: Option<VoterId>,
    /// Whether it votes.
    pub votes: bool,
    /// The bootstrap that its file holds.
    pub bootstrap: Option<Voters>,
    /// The value that it accepted last.
    pub newest: Option<(Ballot, ReplicatedState)>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReply {
    /// The receiver is the membership leader and has taken the heartbeat in.
    pub accepted: bool,
    /// The membership leader and its term, as the receiver knows them.
    pub holder: Option<(Term, LeaseHolder)>,
    /// The time to the next heartbeat, in milliseconds.
    pub every: Ms,
    /// The sender's places among the next holders of leases.
    pub places: Vec<(LeaseName, u32)>,
}

/// The dispatcher's own state, as it is reported with heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalHealth {
    /// It takes requests.
    pub ready: bool,
    /// Its utilization, 0 to 1.
    pub load: f64,
    /// Outcomes of this process's requests so far.
    pub tally: OutcomeCounts,
    /// Reports of engines since the last time.
    pub reports: Vec<EngineReport>,
}

/// Why an acceptor's file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableFile {
    /// The reason, as it is logged and shown to operators.
    pub reason: String,
}

impl fmt::Display for UnusableFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl std::error::Error for UnusableFile {}

/// What a member takes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The acceptor's file as it was read at the start; `None` if there is none yet.
    Loaded(Result<Option<AcceptorState>, UnusableFile>),
    /// A write of the acceptor's file has ended.
    Saved {
        /// The write.
        number: SaveId,
        /// It is durable for certain.
        is_durable: bool,
    },
    /// A request came in.
    Asked {
        /// The request's number.
        call: CallId,
        /// The request.
        question: Question,
    },
    /// A request that went out was answered, or its receiver could not be reached.
    Answered {
        /// The request's number.
        ask: QuestionId,
        /// The answer, if there is one.
        answer: Option<Answer>,
    },
    /// The dispatcher's own state.
    LocalHealth(LocalHealth),
    /// The engines as this dispatcher's endpoint list has them.
    Engines(Vec<Unit>),
    /// Time has passed.
    Tick,
    /// The process ends: leases are handed over and no more are acquired.
    Stop,
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request.
    Ask {
        /// The request's number, for [`Input::Answered`].
        ask: QuestionId,
        /// The receiver.
        to: Address,
        /// The request.
        question: Question,
    },
    /// Answer a request that came in.
    Answer {
        /// The request's number.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Write the acceptor's file.
    Save {
        /// The write's number, for [`Input::Saved`].
        number: SaveId,
        /// What to write.
        state: Box<AcceptorState>,
    },
    /// A lease is held from now on, or no more.
    Holds {
        /// The lease.
        lease_name: LeaseName,
        /// The lease's term.
        term: Term,
        /// Whether it is held.
        held: bool,
    },
    /// This process is permitted to restart: it drains and ends, and its supervisor starts it again.
    PermitGranted {
        /// The permit.
        permit: PermitId,
        /// The label to start under; empty for the present one.
        label: String,
    },
    /// A warning to log.
    Warn(String),
    /// An information to log.
    Info(String),
    /// After [`Input::Stop`]: all leases are handed over.
    Stopped,
}
