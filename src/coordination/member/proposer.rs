//! The member as a proposer: the choice of the next command, the proposal in flight, and the handling of its outcome.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::lease::{holder_of, is_held_by};
use crate::coordination::register::{
    OutgoingRequest, Phase, ProposalOutcome, ProposalStep, VoterKey,
};
use crate::coordination::state::{CommandError, LeaseRecord, MAX_VOTERS};
use nanorand::Rng;

/// The minimum of the average wait after the first of consecutive conflicts, as a fraction of the lease duration.
///
/// Guards against proposers that keep interrupting each other so that none of them reaches a majority. Each proposer
/// waits for a longer, random time after each consecutive conflict, so that one of them succeeds.
const CONFLICT_BACKOFF_FRACTION: f64 = 0.01;
/// The maximum number of doublings of the wait after conflicts. The wait doubles with each consecutive conflict until
/// this number is reached.
const CONFLICT_BACKOFF_DOUBLINGS: u32 = 5;

/// The reason for proposing a command, which determines how the outcome is handled.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ProposalReason {
    AcquireLease(LeaseName),
    RenewLeases,
    ResignLease(LeaseName),
    OperatorCommand(CallId),
    RolloutStep,
    FinishVoterChange,
}

/// The proposal that awaits answers from acceptors; a member makes one at a time.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ProposalInFlight {
    pub(super) proposal: Proposal,
    reason: ProposalReason,
    /// When the proposal began, in milliseconds. A lease that the proposal grants or renews is measured from this time.
    begun_at: Ms,
}

/// An operator's command that has not been chosen yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingCommand {
    pub(super) call: CallId,
    pub(super) command: Command,
    /// The command is abandoned if it has not been chosen by this time.
    pub(super) expires_at: Ms,
}

impl Member {
    /// Records a replicated state that a voter returned or that was chosen, if it is the newest so far.
    pub(super) fn observe_state(&mut self, ballot: Option<Ballot>, value: ReplicatedState) {
        if let Some(ballot) = &ballot {
            self.highest_round = self.highest_round.max(ballot.round);
        }
        let newest = self.newest.as_ref();
        if newest.is_none_or(|(newest_ballot, _)| *newest_ballot < ballot) {
            let leader = holder_of(&value, &membership_lease());
            let leader = leader.map(|(term, holder)| (term, holder.clone()));
            self.newest = Some((ballot, value));
            if let Some(leader) = leader {
                self.learn_membership_leader(leader);
            }
        }
        self.update_lease_observers();
    }

    /// Passes the lease records in the newest value to the lease observers.
    pub(super) fn update_lease_observers(&mut self) {
        let value = self.newest.as_ref().map(|(_, value)| value);
        for (lease_name, observer) in &mut self.lease_observers {
            let record = value.and_then(|value| value.leases.get(lease_name));
            observer.observe(self.now, record, &mut self.rng);
        }
    }

    /// Whether a change of voters is in progress and known to be chosen, so that it can be finished.
    fn can_finish_voter_change(&self) -> bool {
        let voters = self.newest.as_ref().map(|(_, value)| &value.voters);
        voters.is_some_and(|voters| {
            voters.former.is_some() && self.knowledge.chosen_voters.as_ref() == Some(voters)
        })
    }

    /// The most urgent command to propose, with its reason; `None` if there is no command to propose.
    fn next_command(&self) -> Option<(ProposalReason, Command)> {
        self.resignation()
            .or_else(|| self.renewal())
            .or_else(|| self.acquisition())
            .or_else(|| self.operator_command())
            .or_else(|| self.proposed_step())
            .or_else(|| self.voter_change_completion())
    }

    fn resignation(&self) -> Option<(ProposalReason, Command)> {
        // Guards against commands of this term that arrive after the successor's commands: the membership lease is
        // released once all commands of this term are answered or can no longer be executed.
        let may_resign = |(lease_name, _): &(&LeaseName, &LeaseHandover)| {
            !is_membership_lease(lease_name) || self.fenced_commands_are_finished()
        };
        let (lease_name, handover) = self.handovers.iter().find(may_resign)?;
        let command = Command::Resign {
            lease_name: lease_name.clone(),
            term: handover.held.term,
            holder: self.own_holder(),
            next: handover.successor.clone(),
        };
        Some((ProposalReason::ResignLease(lease_name.clone()), command))
    }

    fn renewal(&self) -> Option<(ProposalReason, Command)> {
        let renew_after = self.settings.lease.renew_after();
        let is_due = |held: &HeldLease| held.requested_at + renew_after <= self.now;
        if !self.held_leases.values().any(is_due) {
            return None;
        }
        let held_leases = self.held_leases.iter();
        let leases = held_leases
            .map(|(lease_name, held)| (lease_name.clone(), held.term))
            .collect();
        let holder = self.own_holder();
        Some((
            ProposalReason::RenewLeases,
            Command::Renew { holder, leases },
        ))
    }

    fn acquisition(&self) -> Option<(ProposalReason, Command)> {
        let settings = &self.settings.lease;
        let holder = self.own_holder();
        let is_voter = self.is_voter();
        // Guards against a command of this process's earlier term that is executed after a command of its next term.
        let may_acquire = |(lease_name, observer): &(&LeaseName, &LeaseObserver)| {
            self.contends(lease_name)
                && self.fenced_commands_are_finished()
                && observer.election_delay(&holder, is_voter, settings) <= 0.0
        };
        let (lease_name, observer) = self.lease_observers.iter().find(may_acquire)?;
        let command = Command::Acquire {
            lease_name: lease_name.clone(),
            expected_version: observer.version(),
            lease_ms: settings.lease_ms(),
            holder,
        };
        Some((ProposalReason::AcquireLease(lease_name.clone()), command))
    }

    fn operator_command(&self) -> Option<(ProposalReason, Command)> {
        let pending = self.pending_commands.first()?;
        let reason = ProposalReason::OperatorCommand(pending.call);
        Some((reason, pending.command.clone()))
    }

    fn voter_change_completion(&self) -> Option<(ProposalReason, Command)> {
        self.can_finish_voter_change().then_some((
            ProposalReason::FinishVoterChange,
            Command::FinishVoterChange,
        ))
    }

    /// The earliest time at which [`Member::next_command`] returns a command if no input arrives until then; infinite
    /// if there is no such time.
    pub(super) fn next_command_at(&self) -> Ms {
        let (settings, me, is_voter) = (&self.settings.lease, self.own_holder(), self.is_voter());
        let renewals = self
            .held_leases
            .values()
            .map(|held| held.requested_at + settings.renew_after());
        let acquisitions = self
            .lease_observers
            .iter()
            .filter(|(lease_name, _)| self.contends(lease_name))
            .map(|(_, observer)| {
                let delay = observer.election_delay(&me, is_voter, settings);
                (self.now + delay).max(self.fenced_commands_finish_at())
            });
        let can_resign = !self.handovers.is_empty() && self.fenced_commands_are_finished();
        let has_command_now = can_resign
            || self.proposed_step().is_some()
            || !self.pending_commands.is_empty()
            || self.can_finish_voter_change();
        renewals
            .chain(acquisitions)
            .chain(has_command_now.then_some(self.now))
            .fold(f64::INFINITY, f64::min)
    }

    /// Hands over leases if the process is stopping, queries a voter for a newer value if a query is due, and begins
    /// the next proposal.
    pub(super) fn advance(&mut self, out: &mut Vec<Output>) {
        if self.stopping {
            self.hand_over_all(out);
        }
        let contended: Vec<LeaseName> = self
            .lease_observers
            .keys()
            .filter(|lease_name| self.contends(lease_name))
            .cloned()
            .collect();
        if !contended.is_empty() {
            self.query_if_due(out);
        }
        let settings = self.settings.lease;
        for lease_name in &contended {
            if let Some(observer) = self.lease_observers.get_mut(lease_name) {
                observer.count_time(self.now, &settings);
            }
        }
        self.expire_commands(out);
        self.begin_proposal(out);
    }

    fn query_if_due(&mut self, out: &mut Vec<Output>) {
        if self.now < self.next_query_at {
            return;
        }
        // Members that are neither ranked nor voters query voters at most as often as they send heartbeats, as there
        // may be hundreds of such members.
        let mut observers = self.lease_observers.values();
        let is_last_resort = !self.is_voter() && observers.all(|observer| observer.rank.is_none());
        let min_interval = match is_last_resort {
            true => self.heartbeat_interval,
            false => 0.0,
        };
        let jitter: f64 = self.rng.generate();
        let interval = self.settings.lease.query_interval().max(min_interval);
        self.next_query_at = self.now + interval * (0.75 + 0.5 * jitter);
        self.query_any_voter(out);
    }

    fn begin_proposal(&mut self, out: &mut Vec<Output>) {
        if self.proposal.is_some() || self.now < self.next_proposal_at {
            return;
        }
        let Some(voters) = self.known_voter_set().cloned() else {
            return;
        };
        let Some((reason, command)) = self.next_command() else {
            return;
        };
        let ballot = self.next_ballot();
        let (proposal, requests) =
            Proposal::begin(ballot.clone(), voters, command, &self.knowledge);
        self.count("tries");
        self.proposal = Some(ProposalInFlight {
            proposal,
            reason,
            begun_at: self.now,
        });
        self.send_to_acceptors(&ballot, requests, out);
    }

    fn next_ballot(&mut self) -> Ballot {
        self.highest_round += 1;
        let incarnation = match is_injected(InjectedFault::BallotReused) {
            true => Incarnation(0),
            false => self.settings.incarnation,
        };
        Ballot {
            round: self.highest_round,
            by: self.settings.own_name.clone(),
            incarnation,
        }
    }

    /// Asks a random voter for the value that it accepted last, and other voters if it does not answer.
    pub(super) fn query_any_voter(&mut self, out: &mut Vec<Output>) {
        let index = self.rng.generate_range(0..MAX_VOTERS);
        self.query_next_voter(Some(NextVoter { index, attempt: 1 }), out);
    }

    /// Asks one voter, and the next voter if it does not answer.
    ///
    /// Guards against a dead voter. With one of three voters dead, a third of all members, which may be hundreds, would
    /// get no answer until their next heartbeat is due, and a third of these members would get no answer then either.
    pub(super) fn query_next_voter(&mut self, voter: Option<NextVoter>, out: &mut Vec<Output>) {
        let Some(NextVoter { index, attempt }) = voter else {
            return;
        };
        let voters: Vec<_> = self.known_voters().into_iter().collect();
        let Some((of, to)) = voters.get(index % voters.len().max(1)).cloned() else {
            return;
        };
        self.count("looks");
        let next = (attempt < voters.len()).then_some(NextVoter {
            index: index + 1,
            attempt: attempt + 1,
        });
        let purpose = RequestPurpose::QueryVoter { of, next };
        self.send_request(to, MemberRequest::VoterState, purpose, out);
    }

    /// Asks all voters for the value that they accepted last.
    pub(super) fn query_all_voters(&mut self, out: &mut Vec<Output>) {
        for (of, to) in self.known_voters() {
            let purpose = RequestPurpose::QueryVoter { of, next: None };
            self.send_request(to, MemberRequest::VoterState, purpose, out);
        }
    }

    fn send_to_acceptors(
        &mut self,
        ballot: &Ballot,
        requests: Vec<OutgoingRequest>,
        out: &mut Vec<Output>,
    ) {
        for outgoing in requests {
            let phase = match outgoing.request {
                AcceptorRequest::Prepare { .. } => Phase::Prepare,
                AcceptorRequest::Accept { .. } => Phase::Accept,
            };
            let purpose = RequestPurpose::Proposal {
                voter: (outgoing.to, outgoing.voter_record.voter_id),
                ballot: ballot.clone(),
                phase,
            };
            let question = MemberRequest::Vote(outgoing.request);
            self.send_request(outgoing.voter_record.address, question, purpose, out);
        }
    }

    /// Handles an acceptor's answer to a request of a proposal; `None` if there was no answer in time.
    pub(super) fn acceptor_answered(
        &mut self,
        voter: VoterKey,
        ballot: &Ballot,
        phase: Phase,
        reply: Option<AcceptorReply>,
        out: &mut Vec<Output>,
    ) {
        let current = self.proposal.as_mut();
        let Some(current) = current.filter(|current| current.proposal.ballot == *ballot) else {
            return;
        };
        let ProposalStep { requests, outcome } =
            current
                .proposal
                .handle_reply(voter, phase, reply.as_ref(), &mut self.knowledge);
        self.send_to_acceptors(ballot, requests, out);
        let Some(outcome) = outcome else {
            return;
        };
        if let Some(ended) = self.proposal.take() {
            self.proposal_ended(ended, outcome, out);
        }
    }

    fn proposal_ended(
        &mut self,
        ended: ProposalInFlight,
        outcome: ProposalOutcome,
        out: &mut Vec<Output>,
    ) {
        let ballot = ended.proposal.ballot;
        match outcome {
            ProposalOutcome::Chosen(value) => {
                self.consecutive_conflicts = 0;
                self.count("agreed");
                let chosen = self.chosen.as_ref();
                if chosen.is_none_or(|chosen| chosen.version < value.version) {
                    self.chosen = Some(value.clone());
                }
                self.command_chosen(ended.reason, &value, ended.begun_at, out);
                self.observe_state(Some(ballot), value);
            }
            ProposalOutcome::Rejected(error, base) => {
                self.consecutive_conflicts = 0;
                self.count("refused");
                self.command_rejected(ended.reason, error, out);
                // A majority returned `base` under this ballot, so `base` is newer than any value seen before.
                self.observe_state(Some(ballot), base);
            }
            ProposalOutcome::Conflict(promised) => {
                self.count("outbid");
                let conflicting_round = promised.map_or(0, |ballot| ballot.round);
                self.highest_round = self.highest_round.max(conflicting_round);
                self.back_off(ended.begun_at);
                if ended.reason == ProposalReason::RolloutStep {
                    self.step_proposed(false);
                }
            }
        }
    }

    /// Delays the next proposal after a conflict. On average the delay is at least as long as the failed proposal took.
    /// The competing proposal takes about as long, and a new proposal during that time would only interrupt it.
    fn back_off(&mut self, begun_at: Ms) {
        let doublings = self.consecutive_conflicts.min(CONFLICT_BACKOFF_DOUBLINGS);
        let jitter: f64 = self.rng.generate();
        let proposal_duration = self.now - begun_at;
        let min_wait = CONFLICT_BACKOFF_FRACTION * self.settings.lease.lease;
        let wait = proposal_duration.max(min_wait * f64::from(doublings).exp2());
        self.next_proposal_at = self.now + wait * (0.5 + jitter);
        self.consecutive_conflicts += 1;
    }

    fn command_chosen(
        &mut self,
        reason: ProposalReason,
        value: &ReplicatedState,
        begun_at: Ms,
        out: &mut Vec<Output>,
    ) {
        match reason {
            ProposalReason::AcquireLease(lease_name) => {
                self.acquisition_chosen(&lease_name, value, begun_at, out);
            }
            ProposalReason::RenewLeases => self.renewal_chosen(value, begun_at),
            ProposalReason::ResignLease(lease_name) => {
                let handover = self.handovers.remove(&lease_name);
                self.count("handed over");
                if let Some(to) = handover.and_then(|handover| handover.successor_address) {
                    let question = MemberRequest::LeaseOffer { lease_name };
                    self.send_request(to, question, RequestPurpose::OfferLease, out);
                }
            }
            ProposalReason::OperatorCommand(call) => {
                self.command_done(call, Ok(()), Some(value), out);
            }
            ProposalReason::RolloutStep => {
                self.count("steps");
                self.step_proposed(true);
            }
            ProposalReason::FinishVoterChange => self.count("settled"),
        }
    }

    fn acquisition_chosen(
        &mut self,
        lease_name: &LeaseName,
        value: &ReplicatedState,
        begun_at: Ms,
        out: &mut Vec<Output>,
    ) {
        let (me, incarnation) = (&self.settings.own_name, self.settings.incarnation);
        let record = value.leases.get(lease_name);
        let Some(record) = record.filter(|record| is_held_by(record, me, incarnation)) else {
            return;
        };
        let term = record.term;
        self.count("terms");
        out.push(Output::Info(format!(
            "acquired lease {} in term {}",
            lease_name.0, term.0
        )));
        let held = HeldLease::new(term, begun_at, self.now, &self.settings.lease);
        self.lease_acquired(lease_name, held, out);
    }

    fn renewal_chosen(&mut self, value: &ReplicatedState, begun_at: Ms) {
        let (me, incarnation) = (&self.settings.own_name, self.settings.incarnation);
        for (lease_name, held) in &mut self.held_leases {
            let is_renewed = |record: &LeaseRecord| {
                is_held_by(record, me, incarnation) && record.term == held.term
            };
            if value.leases.get(lease_name).is_some_and(is_renewed) {
                *held = HeldLease::new(held.term, begun_at, self.now, &self.settings.lease);
            }
        }
    }

    fn command_rejected(
        &mut self,
        reason: ProposalReason,
        error: CommandError,
        out: &mut Vec<Output>,
    ) {
        match reason {
            // Guards against repeating the same rejected command at once. Commands are derived from the newest value
            // seen, which can be newer than the chosen value that rejects them.
            ProposalReason::AcquireLease(_) | ProposalReason::FinishVoterChange => {
                self.next_proposal_at = self.now + self.settings.lease.election_gap();
            }
            ProposalReason::RenewLeases => {
                for lease_name in self.held_leases.keys().cloned().collect::<Vec<_>>() {
                    self.drop_lease(&lease_name, out);
                }
            }
            ProposalReason::ResignLease(lease_name) => {
                self.handovers.remove(&lease_name);
            }
            ProposalReason::OperatorCommand(call) => {
                self.command_done(call, Err(error), None, out);
            }
            ProposalReason::RolloutStep => self.step_proposed(false),
        }
    }
}
