//! The order of proposals.

use crate::coordination::{Incarnation, Name};

/// The number of a proposal. Ballots are ordered by round, then by proposer.
///
/// CASPaxos needs ballots that are never used twice: the proposer's name and incarnation make those of two processes
/// differ, and a process counts its rounds up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Counts proposals; above every round that the proposer has seen.
    pub round: u64,
    /// The proposer.
    pub by: Name,
    /// The proposer's process. Guards against a process that starts again without its memory and repeats a round:
    /// two values under one ballot would both count as accepted.
    pub incarnation: Incarnation,
}
