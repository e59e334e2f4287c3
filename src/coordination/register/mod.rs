//! Consensus on one value without a log: CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs",
//! 2018).
//!
//! A proposer sends *prepare* requests to the acceptors. Once a majority has promised, the proposer applies its command
//! to the newest value that the majority accepted, and sends the result in *accept* requests. Once a majority has
//! accepted the result, it is chosen. [`Acceptor`] is one voter's side, [`Proposal`] is one attempt of a proposer, and
//! [`Ballot`] orders the attempts. All of it is plain state without I/O, small enough for tests to explore every order
//! of messages.

mod acceptor;
mod ballot;
mod proposal;

pub use acceptor::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorResponse, AcceptorState, VoterKey,
    WriteCounts,
};
pub use ballot::Ballot;
pub use proposal::{
    OutgoingRequest, Phase, Proposal, ProposalOutcome, ProposalStep, ProposerKnowledge,
};
