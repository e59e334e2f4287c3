//! Agreement on one value by ballots, without a log, in the manner of CASPaxos (D. Rystsov, 2018): a proposer asks
//! a majority of the voters for what they took, works its change out on the newest, and has a majority take that.
//!
//! [`Acceptor`] keeps what it promised and took; what it answers goes out once that lasts. [`Proposal`] is one try of a
//! proposer. Both are plain state: small enough to be explored through every order of messages.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::{
    Command, CommandError, ProposalId, ReplicatedState, VoterId, VoterRecord, Voters,
};
use super::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};

/// A try's number. No two processes share one, and no process uses one twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    pub round: u64,
    pub by: Name,
    pub incarnation: Incarnation,
}

/// Writes of each voter that were heard of: a voter that is told of more than its own has an old file.
pub type WriteCounts = BTreeMap<(Name, VoterId), u64>;

/// What a voter keeps in its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    pub name: Name,
    pub voter_id: VoterId,
    /// The voters of the first start, once all of them were heard.
    pub bootstrap: Option<Voters>,
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, ReplicatedState)>,
    pub writes: u64,
    /// The others' writes as heard of.
    pub heard: WriteCounts,
}

/// What a proposer asks a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorRequest {
    Prepare {
        voter_id: VoterId,
        ballot: Ballot,
        heard: WriteCounts,
    },
    Accept {
        voter_id: VoterId,
        ballot: Ballot,
        value: ReplicatedState,
        heard: WriteCounts,
    },
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AcceptorReply {
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, ReplicatedState)>,
        writes: u64,
    },
    Accepted {
        ballot: Ballot,
        writes: u64,
    },
    /// It promised another.
    Conflict {
        promised: Ballot,
    },
    /// It does not vote, or not under this life.
    NotVoting,
}

/// One voter. The caller has [`Acceptor::kept`] last before it passes an answer on that says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub kept: AcceptorState,
    /// It may vote: its file is new, or others confirmed that it is not an old one.
    pub votes: bool,
}

impl Acceptor {
    /// With a new file.
    pub fn new(name: Name, voter_id: VoterId) -> Self {
        let kept = AcceptorState {
            name,
            voter_id,
            bootstrap: None,
            promised: None,
            accepted: None,
            writes: 0,
            heard: WriteCounts::new(),
        };
        Acceptor { kept, votes: true }
    }

    /// With the file of an earlier process. It does not vote before others were asked whether it is old, unless
    /// it never said anything.
    pub fn back(kept: AcceptorState) -> Self {
        let votes = kept.promised.is_none();
        Acceptor { kept, votes }
    }

    /// The answer, and whether the file has to be written before it is given.
    pub fn asked(&mut self, ask: &AcceptorRequest) -> (AcceptorReply, bool) {
        let (voter_id, ballot, heard) = match ask {
            AcceptorRequest::Prepare {
                voter_id,
                ballot,
                heard,
            }
            | AcceptorRequest::Accept {
                voter_id,
                ballot,
                heard,
                ..
            } => (voter_id, ballot, heard),
        };
        let known = is_injected(InjectedFault::LossUnnoticed) || *voter_id == self.kept.voter_id;
        if !known || !self.votes || self.is_old(heard) {
            return (AcceptorReply::NotVoting, false);
        }
        for (who, writes) in heard {
            if who.0 != self.kept.name {
                let best = self.kept.heard.entry(who.clone()).or_default();
                *best = (*best).max(*writes);
            }
        }
        let promised = self.kept.promised.as_ref();
        match ask {
            AcceptorRequest::Prepare { .. } => {
                if let Some(promised) = promised.filter(|p| *p > ballot) {
                    return (
                        AcceptorReply::Conflict {
                            promised: promised.clone(),
                        },
                        false,
                    );
                }
                let new = promised != Some(ballot);
                if new {
                    self.kept.promised = Some(ballot.clone());
                    self.kept.writes += 1;
                }
                let accepted = self.kept.accepted.clone();
                (
                    AcceptorReply::Promise {
                        ballot: ballot.clone(),
                        accepted,
                        writes: self.kept.writes,
                    },
                    true,
                )
            }
            AcceptorRequest::Accept { value, .. } => {
                if let Some(promised) =
                    promised.filter(|p| *p > ballot && !is_injected(InjectedFault::PromiseBroken))
                {
                    return (
                        AcceptorReply::Conflict {
                            promised: promised.clone(),
                        },
                        false,
                    );
                }
                if self
                    .kept
                    .accepted
                    .as_ref()
                    .is_none_or(|(at, _)| at != ballot)
                {
                    self.kept.promised = Some(ballot.clone());
                    self.kept.accepted = Some((ballot.clone(), value.clone()));
                    self.kept.writes += 1;
                }
                (
                    AcceptorReply::Accepted {
                        ballot: ballot.clone(),
                        writes: self.kept.writes,
                    },
                    true,
                )
            }
        }
    }

    /// Whether somebody heard of writes that this file does not have: it must not vote, as it forgot what it said.
    pub fn is_old(&mut self, heard: &WriteCounts) -> bool {
        let mine = heard.get(&(self.kept.name.clone(), self.kept.voter_id));
        let old = mine.is_some_and(|writes| *writes > self.kept.writes);
        self.votes &= !old;
        old
    }
}

/// One try to make a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    pub ballot: Ballot,
    pub change: Command,
    view: Voters,
    promises: BTreeMap<(Name, VoterId), Option<(Ballot, ReplicatedState)>>,
    took: BTreeSet<(Name, VoterId)>,
    against: BTreeSet<(Name, VoterId)>,
    asked: BTreeSet<(Name, VoterId)>,
    /// Once a majority promised: what it is to take, and the voters before and after it.
    value: Option<ReplicatedState>,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// It is agreed on.
    Chosen(ReplicatedState),
    /// The change is not to be made; what it was worked out on.
    Rejected(CommandError, ReplicatedState),
    /// Others are ahead: the highest ballot heard of.
    Conflict(Option<Ballot>),
}

/// What a proposer knows besides its try.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProposerKnowledge {
    /// The voters of a value that is known to be agreed on.
    pub settled: Option<Voters>,
    pub heard: WriteCounts,
}

type Asks = Vec<(Name, VoterRecord, AcceptorRequest)>;

impl Proposal {
    /// `view`: the voters as the proposer knows them; an old view does no harm.
    pub fn begin(
        ballot: Ballot,
        view: Voters,
        change: Command,
        knows: &ProposerKnowledge,
    ) -> (Proposal, Asks) {
        let mut round = Proposal {
            ballot,
            change,
            view,
            promises: BTreeMap::new(),
            took: BTreeSet::new(),
            against: BTreeSet::new(),
            asked: BTreeSet::new(),
            value: None,
        };
        let asks = round.prepares(knows);
        (round, asks)
    }

    /// Prepares to those in view that were not asked yet.
    fn prepares(&mut self, knows: &ProposerKnowledge) -> Asks {
        let mut asks = Asks::new();
        for (name, voter_record) in self.view.all() {
            if self.asked.insert((name.clone(), voter_record.voter_id)) {
                let (voter_id, ballot, heard) = (
                    voter_record.voter_id,
                    self.ballot.clone(),
                    knows.heard.clone(),
                );
                asks.push((
                    name,
                    voter_record,
                    AcceptorRequest::Prepare {
                        voter_id,
                        ballot,
                        heard,
                    },
                ));
            }
        }
        asks
    }

    /// A voter's answer came, or (`None`) will not come: to a question of the second half, if `taking`. Gives what to
    /// ask further, and the end if this is it.
    pub fn heard(
        &mut self,
        from: &Name,
        voter_id: VoterId,
        taking: bool,
        said: Option<&AcceptorReply>,
        knows: &mut ProposerKnowledge,
    ) -> (Asks, Option<ProposalOutcome>) {
        let who = (from.clone(), voter_id);
        let answered = if taking {
            self.took.contains(&who)
        } else {
            self.promises.contains_key(&who)
        };
        // What was asked more than once may be answered once; and what the first half lacked the second need not.
        if said.is_none() && (answered || taking != self.value.is_some()) {
            return (Asks::new(), None);
        }
        match said {
            Some(AcceptorReply::Promise {
                ballot,
                accepted,
                writes,
            }) if *ballot == self.ballot => {
                heard_of(knows, &who, *writes);
                // A promise that is late tells nothing: what it knew then was asked for by another.
                if self.value.is_none() {
                    self.promises.insert(who, accepted.clone());
                }
            }
            Some(AcceptorReply::Accepted { ballot, writes }) if *ballot == self.ballot => {
                heard_of(knows, &who, *writes);
                if self.value.is_some() {
                    self.took.insert(who);
                }
            }
            Some(AcceptorReply::Conflict { promised }) if *promised > self.ballot => {
                self.against.insert(who);
                if !self.possible() {
                    return (
                        Asks::new(),
                        Some(ProposalOutcome::Conflict(Some(promised.clone()))),
                    );
                }
            }
            Some(AcceptorReply::NotVoting) | None => {
                self.against.insert(who);
                if !self.possible() {
                    return (Asks::new(), Some(ProposalOutcome::Conflict(None)));
                }
            }
            _ => return (Asks::new(), None),
        }
        match &self.value {
            None => self.promised(knows),
            Some(value) => {
                let took = |name: &Name, voter_record: &VoterRecord| {
                    self.took.contains(&(name.clone(), voter_record.voter_id))
                };
                if self.view.majority(took) && value.voters.majority(took) {
                    knows.settled = Some(value.voters.clone());
                    return (Asks::new(), Some(ProposalOutcome::Chosen(value.clone())));
                }
                (Asks::new(), None)
            }
        }
    }

    /// Whether those that are not against it can still be enough.
    fn possible(&self) -> bool {
        let open = |name: &Name, voter_record: &VoterRecord| {
            !self
                .against
                .contains(&(name.clone(), voter_record.voter_id))
        };
        self.view.majority(open) && self.value.as_ref().is_none_or(|v| v.voters.majority(open))
    }

    fn promised(&mut self, knows: &ProposerKnowledge) -> (Asks, Option<ProposalOutcome>) {
        let newest = self
            .promises
            .values()
            .flatten()
            .max_by(|a, b| a.0.cmp(&b.0));
        // The voters are those of the newest value seen, whether it is agreed on or not: a majority of them is
        // asked as well before anything is worked out.
        if let Some((_, seen)) = newest.filter(|(_, seen)| seen.voters != self.view) {
            self.view = seen.voters.clone();
        }
        let promised = |name: &Name, voter_record: &VoterRecord| {
            self.promises
                .contains_key(&(name.clone(), voter_record.voter_id))
        };
        if !self.view.majority(promised) {
            return (self.prepares(knows), None);
        }
        let base = match newest {
            Some((_, value)) if !is_injected(InjectedFault::ValueOverlooked) => value.clone(),
            _ => ReplicatedState {
                voters: self.view.clone(),
                ..ReplicatedState::default()
            },
        };
        let settled = knows.settled.as_ref() == Some(&base.voters);
        let proposal_id = ProposalId {
            round: self.ballot.round,
            incarnation: self.ballot.incarnation,
        };
        let value = match base.after(&self.change, proposal_id, settled) {
            Ok(value) => value,
            Err(why) => return (Asks::new(), Some(ProposalOutcome::Rejected(why, base))),
        };
        // Whoever voted before a change of voters and whoever does after it are all asked.
        let mut to = self.view.all();
        self.against.clear();
        to.extend(value.voters.all());
        self.value = Some(value.clone());
        let ask = |(name, voter_record): (Name, VoterRecord)| {
            let (ballot, heard) = (self.ballot.clone(), knows.heard.clone());
            let ask = AcceptorRequest::Accept {
                voter_id: voter_record.voter_id,
                ballot,
                value: value.clone(),
                heard,
            };
            (name, voter_record, ask)
        };
        (to.into_iter().map(ask).collect(), None)
    }
}

fn heard_of(knows: &mut ProposerKnowledge, who: &(Name, VoterId), writes: u64) {
    let best = knows.heard.entry(who.clone()).or_default();
    *best = (*best).max(writes);
}
