//! One attempt of a proposer to apply a command to the register's value.

use super::{AcceptorReply, AcceptorRequest, Ballot, VoterKey, WriteCounts};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::{
    Command, CommandError, ProposalId, ReplicatedState, VoterRecord, Voters,
};
use crate::coordination::Name;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt to apply a command, with the acceptors' answers so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The ballot under which the command is proposed.
    pub ballot: Ballot,
    /// The command to apply to the newest accepted value. The command is rejected if it cannot be applied to that value.
    pub command: Command,
    /// The voters in the newest accepted value that a promise returned; until then the voters that the proposer knew.
    voters: Voters,
    /// The voters that promised, with the value that each of them accepted last.
    promises: BTreeMap<VoterKey, Option<(Ballot, ReplicatedState)>>,
    accepted_by: BTreeSet<VoterKey>,
    /// The voters that refused or did not answer in the current phase.
    refused_by: BTreeSet<VoterKey>,
    prepare_sent: BTreeSet<VoterKey>,
    /// The value to be accepted; set once a majority has promised.
    value: Option<ReplicatedState>,
}

/// The phases of a proposal, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The voters are asked for promises.
    Prepare,
    /// The voters are asked to accept the value.
    Accept,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The command was applied and the resulting value is chosen.
    Chosen(ReplicatedState),
    /// The command cannot be applied to this value, the newest that a majority returned.
    Rejected(CommandError, ReplicatedState),
    /// No majority can be reached with this ballot. Contains the higher ballot that an acceptor has promised; `None` if
    /// the last answer did not state one.
    Conflict(Option<Ballot>),
}

/// Facts that a proposer learns from one proposal and uses in later ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProposerKnowledge {
    /// The voters in the newest value that this proposer knows to be chosen; `None` if it knows no such value.
    pub chosen_voters: Option<Voters>,
    /// The highest known write counts of the voters, passed on with each request.
    pub write_counts: WriteCounts,
}

impl ProposerKnowledge {
    fn learn_writes(&mut self, voter: &VoterKey, writes: u64) {
        let highest = self.write_counts.entry(voter.clone()).or_default();
        *highest = (*highest).max(writes);
    }
}

/// A request that is to be sent to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The name of the addressed voter.
    pub to: Name,
    /// The identity and address of the addressed voter.
    pub voter_record: VoterRecord,
    /// The proposal's prepare or accept request, which states the voter's identity.
    pub request: AcceptorRequest,
}

/// The requests that a proposer sends after an answer, and the outcome if the answer ended the proposal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposalStep {
    /// Further requests to send, possibly none.
    pub requests: Vec<OutgoingRequest>,
    /// How the proposal ended; `None` while it goes on.
    pub outcome: Option<ProposalOutcome>,
}

impl ProposalStep {
    /// A step that sends `requests` and does not end the proposal.
    fn send(requests: Vec<OutgoingRequest>) -> Self {
        ProposalStep {
            requests,
            outcome: None,
        }
    }

    /// The last step of a proposal that ended with `outcome`.
    fn end(outcome: ProposalOutcome) -> Self {
        ProposalStep {
            requests: Vec::new(),
            outcome: Some(outcome),
        }
    }
}

impl Proposal {
    /// Begins a proposal and returns it with its prepare requests. `voters` may be outdated, as the values that the
    /// acceptors return contain the newer voters.
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

    /// Handles a voter's answer to a request of `phase`; `None` means that no answer will come.
    pub fn handle_reply(
        &mut self,
        voter: VoterKey,
        phase: Phase,
        reply: Option<&AcceptorReply>,
        knowledge: &mut ProposerKnowledge,
    ) -> ProposalStep {
        if reply.is_none() && !self.awaits_answer(&voter, phase) {
            return ProposalStep::default();
        }
        match reply {
            Some(AcceptorReply::Promise {
                ballot,
                accepted,
                writes,
            }) if *ballot == self.ballot => {
                knowledge.learn_writes(&voter, *writes);
                // A promise that arrives after the value was computed is no longer needed.
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

    /// Whether the voter's answer is still missing and `phase` is the current one. A request that was sent several
    /// times needs only one answer, and missing answers of the prepare phase do not matter in the accept phase.
    fn awaits_answer(&self, voter: &VoterKey, phase: Phase) -> bool {
        let has_answered = match phase {
            Phase::Prepare => self.promises.contains_key(voter),
            Phase::Accept => self.accepted_by.contains(voter),
        };
        !has_answered && phase == self.phase()
    }

    /// Whether the proposal can still succeed: the voters that have not refused form a quorum.
    fn can_reach_majority(&self) -> bool {
        let has_not_refused = |name: &Name, voter_record: &VoterRecord| {
            !self
                .refused_by
                .contains(&(name.clone(), voter_record.voter_id))
        };
        let value = self.value.as_ref();
        self.voters.has_quorum(has_not_refused)
            && value.is_none_or(|value| value.voters.has_quorum(has_not_refused))
    }

    fn advance(&mut self, knowledge: &mut ProposerKnowledge) -> ProposalStep {
        let Some(value) = &self.value else {
            return self.advance_prepare(knowledge);
        };
        let has_accepted = |name: &Name, voter_record: &VoterRecord| {
            self.accepted_by
                .contains(&(name.clone(), voter_record.voter_id))
        };
        // A command that changes the voters needs a majority of the old voters and a majority of the new voters.
        if !self.voters.has_quorum(has_accepted) || !value.voters.has_quorum(has_accepted) {
            return ProposalStep::default();
        }
        knowledge.chosen_voters = Some(value.voters.clone());
        ProposalStep::end(ProposalOutcome::Chosen(value.clone()))
    }

    /// Begins the accept phase once a majority has promised.
    fn advance_prepare(&mut self, knowledge: &ProposerKnowledge) -> ProposalStep {
        // Guards against a majority of former voters, which may not know a value that the newer voters chose: the
        // proposal would overwrite that value. The voters in the newest accepted value therefore replace those known so
        // far, whether or not that value is chosen, and are sent prepare requests as well.
        let newer_voters = self.newest_accepted().map(|(_, value)| &value.voters);
        if let Some(newer_voters) = newer_voters.filter(|voters| **voters != self.voters) {
            self.voters = newer_voters.clone();
        }
        let has_promised = |name: &Name, voter_record: &VoterRecord| {
            self.promises
                .contains_key(&(name.clone(), voter_record.voter_id))
        };
        if !self.voters.has_quorum(has_promised) {
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

    /// The value that the command is applied to. CASPaxos takes the accepted value with the highest ballot among the
    /// promises, as that value may be chosen, and the empty value if there is none.
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

    /// Prepare requests to the voters that this proposal has not sent one yet.
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

    /// Begins the accept phase. Returns requests to the voters of this proposal and to the voters in the new value,
    /// which differ if the command changes the voters.
    fn accept_requests(
        &mut self,
        value: ReplicatedState,
        knowledge: &ProposerKnowledge,
    ) -> Vec<OutgoingRequest> {
        let mut recipients = self.voters.all();
        recipients.extend(value.voters.all());
        self.refused_by.clear();
        self.value = Some(value.clone());
        let accept_request = |(to, voter_record): (Name, VoterRecord)| {
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
        recipients.into_iter().map(accept_request).collect()
    }
}
