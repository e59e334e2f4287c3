//! One attempt of a proposer to have a command applied to the register's value.

use super::{AcceptorReply, AcceptorRequest, Ballot, VoterKey, WriteCounts};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::{
    Command, CommandError, ProposalId, ReplicatedState, VoterRecord, Voters,
};
use crate::coordination::Name;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt to have a command applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The attempt's number.
    pub ballot: Ballot,
    /// What is to be applied.
    pub command: Command,
    /// The voters by the newest value that was seen.
    voters: Voters,
    /// Voters that promised, with the value that each accepted last.
    promises: BTreeMap<VoterKey, Option<(Ballot, ReplicatedState)>>,
    accepted_by: BTreeSet<VoterKey>,
    /// Voters that refused or did not answer in the current phase.
    refused_by: BTreeSet<VoterKey>,
    prepare_sent: BTreeSet<VoterKey>,
    /// The value to accept, once a majority promised.
    value: Option<ReplicatedState>,
}

/// The two phases of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// A majority is asked for promises.
    Prepare,
    /// A majority is asked to accept the value.
    Accept,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// This value is chosen.
    Chosen(ReplicatedState),
    /// The command cannot be applied to this value, the newest that a majority showed.
    Rejected(CommandError, ReplicatedState),
    /// No majority can be reached under this ballot; the highest ballot that an acceptor named.
    Conflict(Option<Ballot>),
}

/// What a proposer knows beyond one proposal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProposerKnowledge {
    /// The voters of a value that is known to be chosen.
    pub chosen_voters: Option<Voters>,
    /// The voters' write counts, passed on with each request.
    pub write_counts: WriteCounts,
}

impl ProposerKnowledge {
    fn learn_writes(&mut self, voter: &VoterKey, writes: u64) {
        let highest = self.write_counts.entry(voter.clone()).or_default();
        *highest = (*highest).max(writes);
    }
}

/// A request to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The voter's name.
    pub to: Name,
    /// The voter's identity and address.
    pub voter_record: VoterRecord,
    /// What it is asked.
    pub request: AcceptorRequest,
}

/// What follows from an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposalStep {
    /// Requests to send.
    pub requests: Vec<OutgoingRequest>,
    /// The end of the proposal, if this is it.
    pub outcome: Option<ProposalOutcome>,
}

impl ProposalStep {
    fn send(requests: Vec<OutgoingRequest>) -> Self {
        ProposalStep {
            requests,
            outcome: None,
        }
    }

    fn end(outcome: ProposalOutcome) -> Self {
        ProposalStep {
            requests: Vec::new(),
            outcome: Some(outcome),
        }
    }
}

impl Proposal {
    /// A proposal, and its first requests. `voters` are those that the proposer knows: outdated ones do no harm, as
    /// the acceptors' answers name the newer ones.
    pub fn begin(
        ballot: Ballot,
        voters: Voters,
        command: Command,
        knowledge: &ProposerKnowledge,
    ) -> (Proposal, Vec<OutgoingRequest>) {
        let mut proposal = Proposal {
            ballot,
            command,
            voters,
            promises: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
            refused_by: BTreeSet::new(),
            prepare_sent: BTreeSet::new(),
            value: None,
        };
        let requests = proposal.prepare_requests(knowledge);
        (proposal, requests)
    }

    /// A voter answered, or (`None`) will not answer a request of this phase.
    pub fn handle_reply(
        &mut self,
        voter: VoterKey,
        phase: Phase,
        reply: Option<&AcceptorReply>,
        knowledge: &mut ProposerKnowledge,
    ) -> ProposalStep {
        if reply.is_none() && !self.awaits(&voter, phase) {
            return ProposalStep::default();
        }
        match reply {
            Some(AcceptorReply::Promise {
                ballot,
                accepted,
                writes,
            }) if *ballot == self.ballot => {
                knowledge.learn_writes(&voter, *writes);
                // A promise that comes after the value was worked out is not needed any more.
                if self.value.is_none() {
                    self.promises.insert(voter, accepted.clone());
                }
            }
            Some(AcceptorReply::Accepted { ballot, writes }) if *ballot == self.ballot => {
                knowledge.learn_writes(&voter, *writes);
                if self.value.is_some() {
                    self.accepted_by.insert(voter);
                }
            }
            Some(AcceptorReply::Conflict { promised }) if *promised > self.ballot => {
                self.refused_by.insert(voter);
                if !self.can_reach_majority() {
                    return ProposalStep::end(ProposalOutcome::Conflict(Some(promised.clone())));
                }
            }
            Some(AcceptorReply::NotVoting) | None => {
                self.refused_by.insert(voter);
                if !self.can_reach_majority() {
                    return ProposalStep::end(ProposalOutcome::Conflict(None));
                }
            }
            Some(_) => return ProposalStep::default(),
        }
        self.advance(knowledge)
    }

    fn phase(&self) -> Phase {
        match self.value {
            None => Phase::Prepare,
            Some(_) => Phase::Accept,
        }
    }

    /// Whether an answer of this voter in this phase is still missing. A request that was sent again may be answered
    /// once only, and an answer that the prepare phase lacked is not missed in the accept phase.
    fn awaits(&self, voter: &VoterKey, phase: Phase) -> bool {
        let has_answered = match phase {
            Phase::Prepare => self.promises.contains_key(voter),
            Phase::Accept => self.accepted_by.contains(voter),
        };
        !has_answered && phase == self.phase()
    }

    /// Whether the voters that did not refuse are still a majority.
    fn can_reach_majority(&self) -> bool {
        let may_agree = |name: &Name, voter_record: &VoterRecord| {
            !self
                .refused_by
                .contains(&(name.clone(), voter_record.voter_id))
        };
        let value = self.value.as_ref();
        self.voters.majority(may_agree)
            && value.is_none_or(|value| value.voters.majority(may_agree))
    }

    fn advance(&mut self, knowledge: &mut ProposerKnowledge) -> ProposalStep {
        let Some(value) = &self.value else {
            return self.advance_prepare(knowledge);
        };
        let has_accepted = |name: &Name, voter_record: &VoterRecord| {
            self.accepted_by
                .contains(&(name.clone(), voter_record.voter_id))
        };
        // A command that changes the voters needs a majority of those before it and of those after it.
        if !self.voters.majority(has_accepted) || !value.voters.majority(has_accepted) {
            return ProposalStep::default();
        }
        knowledge.chosen_voters = Some(value.voters.clone());
        ProposalStep::end(ProposalOutcome::Chosen(value.clone()))
    }

    /// Begins the accept phase once a majority has promised.
    fn advance_prepare(&mut self, knowledge: &ProposerKnowledge) -> ProposalStep {
        // Guards against a majority of outdated voters: it would miss a value that the newer voters chose, and
        // overwrite it. The voters are those of the newest value seen, chosen or not; those are asked as well.
        let newer_voters = self.newest_accepted().map(|(_, value)| &value.voters);
        if let Some(newer_voters) = newer_voters.filter(|voters| **voters != self.voters) {
            self.voters = newer_voters.clone();
        }
        let has_promised = |name: &Name, voter_record: &VoterRecord| {
            self.promises
                .contains_key(&(name.clone(), voter_record.voter_id))
        };
        if !self.voters.majority(has_promised) {
            return ProposalStep::send(self.prepare_requests(knowledge));
        }
        let base = self.base_value();
        let voters_are_chosen = knowledge.chosen_voters.as_ref() == Some(&base.voters);
        let applied = base.apply(&self.command, self.proposal_id(), voters_are_chosen);
        match applied {
            Ok(value) => ProposalStep::send(self.accept_requests(value, knowledge)),
            Err(error) => ProposalStep::end(ProposalOutcome::Rejected(error, base)),
        }
    }

    fn newest_accepted(&self) -> Option<&(Ballot, ReplicatedState)> {
        let accepted = self.promises.values().flatten();
        accepted.max_by(|a, b| a.0.cmp(&b.0))
    }

    /// CASPaxos: the command is applied to the value of the highest ballot that the promises show, as that value may
    /// be chosen; without any, to the empty value.
    fn base_value(&self) -> ReplicatedState {
        match self.newest_accepted() {
            Some((_, value)) if !is_injected(InjectedFault::AcceptedValueIgnored) => value.clone(),
            _ => ReplicatedState {
                voters: self.voters.clone(),
                ..ReplicatedState::default()
            },
        }
    }

    fn proposal_id(&self) -> ProposalId {
        ProposalId {
            round: self.ballot.round,
            incarnation: self.ballot.incarnation,
        }
    }

    /// Prepare requests to the voters that were not sent one yet.
    fn prepare_requests(&mut self, knowledge: &ProposerKnowledge) -> Vec<OutgoingRequest> {
        let mut requests = Vec::new();
        for (to, voter_record) in self.voters.all() {
            if !self
                .prepare_sent
                .insert((to.clone(), voter_record.voter_id))
            {
                continue;
            }
            let request = AcceptorRequest::Prepare {
                voter_id: voter_record.voter_id,
                ballot: self.ballot.clone(),
                write_counts: knowledge.write_counts.clone(),
            };
            requests.push(OutgoingRequest {
                to,
                voter_record,
                request,
            });
        }
        requests
    }

    /// Begins the accept phase: the voters before the command and those after it are all asked.
    fn accept_requests(
        &mut self,
        value: ReplicatedState,
        knowledge: &ProposerKnowledge,
    ) -> Vec<OutgoingRequest> {
        let mut recipients = self.voters.all();
        recipients.extend(value.voters.all());
        self.refused_by.clear();
        self.value = Some(value.clone());
        let address_to = |(to, voter_record): (Name, VoterRecord)| {
            let request = AcceptorRequest::Accept {
                voter_id: voter_record.voter_id,
                ballot: self.ballot.clone(),
                value: value.clone(),
                write_counts: knowledge.write_counts.clone(),
            };
            OutgoingRequest {
                to,
                voter_record,
                request,
            }
        };
        recipients.into_iter().map(address_to).collect()
    }
}
