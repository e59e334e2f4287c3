//! The acceptor: one voter's promises and accepted value, and its answers to proposers.

use super::Ballot;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::{ReplicatedState, VoterId, Voters};
use crate::coordination::Name;
use std::collections::BTreeMap;

/// A voter's name and identity. The same name with a newly created file is a different voter.
pub type VoterKey = (Name, VoterId);

/// The highest known write count of each voter's file, by voter.
pub type WriteCounts = BTreeMap<VoterKey, u64>;

/// The durable state of an acceptor, stored in the voter's file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The name of the dispatcher that votes; a file with another dispatcher's name is not used.
    pub name: Name,
    /// The voter's identity, drawn at random when its file was created.
    pub voter_id: VoterId,
    /// The initial voters of the fleet; `None` until the identities of all of them are known.
    pub bootstrap: Option<Voters>,
    /// The highest ballot that was promised; requests with lower ballots are refused. `None` before the first promise.
    pub promised: Option<Ballot>,
    /// The value that was accepted last, with its ballot; `None` if no value was accepted yet.
    pub accepted: Option<(Ballot, ReplicatedState)>,
    /// The number of changes of the state so far. A number lower than other members have recorded reveals an outdated
    /// copy of the file.
    pub writes: u64,
    /// The highest write count of each other voter that proposers have passed on to this one.
    pub write_counts: WriteCounts,
}

/// A proposer's request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorRequest {
    /// Asks the acceptor to promise that it accepts no value with a lower ballot.
    Prepare {
        /// The identity of the addressed voter; a voter with another identity does not vote on the request.
        voter_id: VoterId,
        /// The proposal's ballot, which the acceptor promises unless it has promised a higher one.
        ballot: Ballot,
        /// The highest write counts that the proposer knows; they reveal an outdated file of the addressed voter.
        write_counts: WriteCounts,
    },
    /// Asks the acceptor to accept a value, unless it has promised a higher ballot.
    Accept {
        /// The identity of the addressed voter; a voter with another identity does not vote on the request.
        voter_id: VoterId,
        /// The proposal's ballot, under which the value is to be accepted.
        ballot: Ballot,
        /// The new state, with the proposal's command applied.
        value: ReplicatedState,
        /// The highest write counts that the proposer knows; they reveal an outdated file of the addressed voter.
        write_counts: WriteCounts,
    },
}

impl AcceptorRequest {
    fn parts(&self) -> (VoterId, &Ballot, &WriteCounts) {
        match self {
            AcceptorRequest::Prepare {
                voter_id,
                ballot,
                write_counts,
            }
            | AcceptorRequest::Accept {
                voter_id,
                ballot,
                write_counts,
                ..
            } => (*voter_id, ballot, write_counts),
        }
    }
}

/// An acceptor's answer to a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorReply {
    /// The acceptor promises to accept no value with a lower ballot.
    Promise {
        /// The promised ballot, as the request states it.
        ballot: Ballot,
        /// The value that the acceptor accepted last, with its ballot; `None` if it has accepted no value.
        accepted: Option<(Ballot, ReplicatedState)>,
        /// The write count of the voter's file after the promise was stored.
        writes: u64,
    },
    /// The acceptor has accepted the value, which is chosen once a majority has accepted it.
    Accepted {
        /// The ballot of the accepted value.
        ballot: Ballot,
        /// The write count of the voter's file after the value was stored.
        writes: u64,
    },
    /// The acceptor has promised a higher ballot.
    Conflict {
        /// The acceptor's highest promise, which the proposer's next ballot has to exceed.
        promised: Ballot,
    },
    /// The acceptor may not vote now, or its identity differs from that in the request.
    NotVoting,
}

/// An answer to a proposer, and whether the acceptor's state has to be durable before the answer is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorResponse {
    /// The answer to send to the proposer, at once or once the state is durable.
    pub reply: AcceptorReply,
    /// Whether the answer reports [`Acceptor::state`] and may be sent only once that state is durable.
    pub needs_durable_state: bool,
}

impl AcceptorResponse {
    fn immediate(reply: AcceptorReply) -> Self {
        AcceptorResponse {
            reply,
            needs_durable_state: false,
        }
    }

    fn once_durable(reply: AcceptorReply) -> Self {
        AcceptorResponse {
            reply,
            needs_durable_state: true,
        }
    }
}

/// One voter's side of the consensus. The caller makes [`Acceptor::state`] durable before it sends an answer that needs
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// The state that the voter's file stores. It has to be durable before an answer that reports it is sent.
    pub state: AcceptorState,
    /// Whether the acceptor may vote: its file is new, or other voters have confirmed that the file is not outdated.
    pub votes: bool,
}

impl Acceptor {
    /// Creates an acceptor for a newly created file. The acceptor may vote at once.
    pub fn new(name: Name, voter_id: VoterId) -> Self {
        let state = AcceptorState {
            name,
            voter_id,
            bootstrap: None,
            promised: None,
            accepted: None,
            writes: 0,
            write_counts: WriteCounts::new(),
        };
        Acceptor { state, votes: true }
    }

    /// Creates an acceptor from the file of an earlier process. The acceptor does not vote until other voters have
    /// confirmed that the file is not outdated, unless the file contains no promise.
    pub fn recover(state: AcceptorState) -> Self {
        let votes = state.promised.is_none();
        Acceptor { state, votes }
    }

    /// Handles a proposer's request. The answer is [`AcceptorReply::NotVoting`] if the request addresses another
    /// identity, the acceptor may not vote, or its file turns out to be outdated.
    pub fn handle(&mut self, request: &AcceptorRequest) -> AcceptorResponse {
        let (voter_id, ballot, write_counts) = request.parts();
        // Guards against a voter that lost its file and comes back under the same name: it would break a promise that
        // it has forgotten, and two values could be chosen. A new file has a new identity, which no proposer addresses
        // until a chosen command has added it as a voter.
        let is_addressed =
            is_injected(InjectedFault::FileLossIgnored) || voter_id == self.state.voter_id;
        if !is_addressed || !self.votes || self.detect_outdated_file(write_counts) {
            return AcceptorResponse::immediate(AcceptorReply::NotVoting);
        }
        self.learn_write_counts(write_counts);
        match request {
            AcceptorRequest::Prepare { .. } => self.prepare(ballot),
            AcceptorRequest::Accept { value, .. } => self.accept(ballot, value),
        }
    }

    fn learn_write_counts(&mut self, write_counts: &WriteCounts) {
        for (voter, writes) in write_counts {
            if voter.0 != self.state.name {
                let highest = self.state.write_counts.entry(voter.clone()).or_default();
                *highest = (*highest).max(*writes);
            }
        }
    }

    /// CASPaxos, prepare phase: promises a ballot that is not lower than the promised one, and returns the accepted
    /// value.
    fn prepare(&mut self, ballot: &Ballot) -> AcceptorResponse {
        let promised = self.state.promised.as_ref();
        if let Some(higher) = promised.filter(|promised| *promised > ballot) {
            return AcceptorResponse::immediate(AcceptorReply::Conflict {
                promised: higher.clone(),
            });
        }
        if promised != Some(ballot) {
            self.state.promised = Some(ballot.clone());
            self.state.writes += 1;
        }
        AcceptorResponse::once_durable(AcceptorReply::Promise {
            ballot: ballot.clone(),
            accepted: self.state.accepted.clone(),
            writes: self.state.writes,
        })
    }

    /// CASPaxos, accept phase: accepts a value unless a higher ballot was promised.
    fn accept(&mut self, ballot: &Ballot, value: &ReplicatedState) -> AcceptorResponse {
        let promised = self.state.promised.as_ref();
        let is_higher =
            |promised: &&Ballot| *promised > ballot && !is_injected(InjectedFault::PromiseBroken);
        if let Some(higher) = promised.filter(is_higher) {
            return AcceptorResponse::immediate(AcceptorReply::Conflict {
                promised: higher.clone(),
            });
        }
        let accepted = self.state.accepted.as_ref();
        if accepted.is_none_or(|(accepted_ballot, _)| accepted_ballot != ballot) {
            self.state.promised = Some(ballot.clone());
            self.state.accepted = Some((ballot.clone(), value.clone()));
            self.state.writes += 1;
        }
        AcceptorResponse::once_durable(AcceptorReply::Accepted {
            ballot: ballot.clone(),
            writes: self.state.writes,
        })
    }

    /// Returns whether other members know of more writes than this file contains. If so, the acceptor stops voting.
    ///
    /// Guards against a file that was restored from a copy, or whose last writes were lost: its voter would break
    /// promises that it has forgotten, and two values could be chosen. The write count reveals such a file, as
    /// proposers pass on the counts from the answers that they received, and an answer is sent only once its write is
    /// durable.
    pub fn detect_outdated_file(&mut self, write_counts: &WriteCounts) -> bool {
        let own_key = (self.state.name.clone(), self.state.voter_id);
        let known_writes = write_counts.get(&own_key);
        let is_outdated = known_writes.is_some_and(|writes| *writes > self.state.writes);
        self.votes &= !is_outdated;
        is_outdated
    }
}
