//! The acceptor: what one voter promised and accepted, and what it answers to proposers.

use super::Ballot;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::{ReplicatedState, VoterId, Voters};
use crate::coordination::Name;
use std::collections::BTreeMap;

/// A voter by name and identity: the same name with another file is another voter.
pub type VoterKey = (Name, VoterId);

/// The highest known number of writes of each voter's file.
pub type WriteCounts = BTreeMap<VoterKey, u64>;

/// What an acceptor stores in its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The voter's name.
    pub name: Name,
    /// The voter's identity, drawn when its file was made.
    pub voter_id: VoterId,
    /// The voters of the fleet's bootstrap, once the identities of all are known.
    pub bootstrap: Option<Voters>,
    /// The highest ballot that was promised.
    pub promised: Option<Ballot>,
    /// The value that was accepted last, and its ballot.
    pub accepted: Option<(Ballot, ReplicatedState)>,
    /// How often the file changed.
    pub writes: u64,
    /// The other voters' write counts.
    pub write_counts: WriteCounts,
}

/// A proposer's request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorRequest {
    /// Asks for the promise not to accept a lower ballot.
    Prepare {
        /// The voter that is meant.
        voter_id: VoterId,
        /// The proposal.
        ballot: Ballot,
        /// The write counts that the proposer knows.
        write_counts: WriteCounts,
    },
    /// Asks to accept a value.
    Accept {
        /// The voter that is meant.
        voter_id: VoterId,
        /// The proposal.
        ballot: Ballot,
        /// The value to accept.
        value: ReplicatedState,
        /// The write counts that the proposer knows.
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

/// An acceptor's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorReply {
    /// The ballot is promised.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// The value that was accepted last.
        accepted: Option<(Ballot, ReplicatedState)>,
        /// The voter's write count.
        writes: u64,
    },
    /// The value is accepted.
    Accepted {
        /// The ballot of the value.
        ballot: Ballot,
        /// The voter's write count.
        writes: u64,
    },
    /// A higher ballot was promised before.
    Conflict {
        /// That ballot.
        promised: Ballot,
    },
    /// It does not vote, or not under this identity.
    NotVoting,
}

/// An answer, and when it may go out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorResponse {
    /// The answer.
    pub reply: AcceptorReply,
    /// The answer states what [`Acceptor::state`] holds: it goes out once that state is durable.
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

/// One voter. The caller makes [`Acceptor::state`] durable before it sends an answer that needs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// What has to be durable.
    pub state: AcceptorState,
    /// It may vote: its file is new, or other voters confirmed that it is not outdated.
    pub votes: bool,
}

impl Acceptor {
    /// An acceptor with a new file.
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

    /// An acceptor with the file of an earlier process. It does not vote until the other voters were asked whether
    /// the file is outdated, unless it never promised anything.
    pub fn recover(state: AcceptorState) -> Self {
        let votes = state.promised.is_none();
        Acceptor { state, votes }
    }

    /// Answers a proposer.
    pub fn handle(&mut self, request: &AcceptorRequest) -> AcceptorResponse {
        let (voter_id, ballot, write_counts) = request.parts();
        // Guards against a voter that lost its file and comes back under its name: it would promise again what it
        // had promised to another, and two values could be chosen. A new file has a new identity, which no proposer
        // addresses before a chosen change of voters lets it in.
        let is_meant =
            is_injected(InjectedFault::FileLossIgnored) || voter_id == self.state.voter_id;
        if !is_meant || !self.votes || self.detect_outdated_file(write_counts) {
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

    /// CASPaxos, prepare: a ballot that is not lower than the promised one is promised, and the accepted value shown.
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

    /// CASPaxos, accept: a value is accepted unless a higher ballot is promised.
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

    /// Whether others know of more writes than this file has. From then on it does not vote.
    ///
    /// Guards against a file that was put back from a copy, or whose last writes were lost: its voter would break
    /// promises that it has forgotten, and two values could be chosen. It shows in the write count: proposers pass on
    /// the counts that they were answered with, and an answer goes out only once its write is durable.
    pub fn detect_outdated_file(&mut self, write_counts: &WriteCounts) -> bool {
        let own_key = (self.state.name.clone(), self.state.voter_id);
        let known_writes = write_counts.get(&own_key);
        let is_outdated = known_writes.is_some_and(|writes| *writes > self.state.writes);
        self.votes &= !is_outdated;
        is_outdated
    }
}
