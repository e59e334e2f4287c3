//! Ballots, which number and order proposals.

use crate::coordination::{Incarnation, Name};

/// The number of a proposal. Ballots are ordered by round, then by proposer.
///
/// CASPaxos requires that no ballot is used twice. The proposer's name and incarnation make the ballots of different
/// processes differ, and each process uses increasing rounds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// A number higher than every round that the proposer has seen before.
    pub round: u64,
    /// The name of the proposing dispatcher.
    pub by: Name,
    /// The proposer's process. Guards against a process that restarts, forgets its rounds and repeats one: two values
    /// with the same ballot would both count as accepted.
    pub incarnation: Incarnation,
}
