//! The proposer's side: which change is wanted next, tries of it, and what is held by them.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::lease::{holder_of, is_mine};
use crate::coordination::register::ProposalOutcome;
use crate::coordination::state::{CommandError, LeaseRecord, MAX_VOTERS};
use nanorand::Rng;

/// After a try that others were ahead of: the wait before the next in parts of a lease, doubled up to the most.
/// Whoever loses leaves the voters in peace for longer and longer, so that somebody wins.
const AGAIN: f64 = 0.01;
const AGAIN_DOUBLED: u32 = 5;
/// A job whose operator does not ask for it for this part of a lease is over.
const JOB_FOR: f64 = 1.5;

impl Member {
    /// A value was seen at a voter, or agreed on.
    pub(super) fn observe_state(&mut self, ballot: Option<Ballot>, value: ReplicatedState) {
        if let Some(ballot) = &ballot {
            self.highest_round = self.highest_round.max(ballot.round);
        }
        if self.newest.as_ref().is_none_or(|(at, _)| *at < ballot) {
            let caller = holder_of(&value, &LeaseName::from(MEMBERSHIP_LEASE));
            let caller = caller.map(|(term, holder)| (term, holder.clone()));
            self.newest = Some((ballot, value));
            if let Some(caller) = caller {
                self.learn_membership_leader(caller);
            }
        }
        self.update_lease_observers();
    }

    /// Shows the newest value to those that wait for duties.
    pub(super) fn update_lease_observers(&mut self) {
        let value = self.newest.as_ref().map(|(_, value)| value);
        for (lease_name, watch) in &mut self.lease_observers {
            let row: Option<&LeaseRecord> = value.and_then(|v| v.leases.get(lease_name));
            watch.saw(self.now, row, &mut self.rng);
        }
    }

    /// Whether this dispatcher is to take a duty if it falls free.
    fn contends(&self, lease_name: &LeaseName) -> bool {
        if self.stopping
            || self.held_leases.contains_key(lease_name)
            || self.handovers.contains_key(lease_name)
        {
            return false;
        }
        match lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            false => self.jobs.contains_key(lease_name),
            // Whoever has no place in the line comes only when the caller does not hear it.
            true => {
                let watch = self.lease_observers.get(lease_name);
                let named = watch.is_some_and(|w| w.place.is_some() || w.names(&self.settings.me));
                named || self.is_voter() || !self.leader_answers()
            }
        }
    }

    fn is_voter(&self) -> bool {
        let me = &self.settings.me;
        self.acceptor.is_some()
            && self
                .known_voter_set()
                .is_some_and(|view| view.set.contains_key(me))
    }

    /// Whether the caller of the roll heard this dispatcher lately.
    pub(super) fn leader_answers(&self) -> bool {
        self.membership_leader.is_some()
            && self
                .leader_answered_at
                .is_some_and(|at| self.now - at < 3.0 * self.heartbeat_interval)
    }

    /// What is over by itself: leases, jobs.
    pub(super) fn drop_expired(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        if !is_injected(InjectedFault::PauseUnnoticed) {
            let over = |hold: &HeldLease| hold.left(now) <= 0.0;
            let ended: Vec<LeaseName> = self
                .held_leases
                .iter()
                .filter(|(_, h)| over(h))
                .map(|(lease_name, _)| lease_name.clone())
                .collect();
            for lease_name in ended {
                self.count("leases over");
                self.drop_lease(&lease_name, out);
            }
            self.handovers.retain(|_, giving| !over(&giving.hold));
        }
        let longest = JOB_FOR * self.settings.lease.lease;
        let gone = |job: &LeaseJob| now - job.asked >= longest;
        let idle: Vec<LeaseName> = self
            .jobs
            .iter()
            .filter(|(_, j)| gone(j))
            .map(|(lease_name, _)| lease_name.clone())
            .collect();
        for lease_name in idle {
            self.end_job(&lease_name, out);
        }
    }

    /// The job is over: the duty is given up, for whoever contends for it.
    pub(super) fn end_job(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.jobs.remove(lease_name);
        self.lease_observers.remove(lease_name);
        self.hand_over(lease_name, None, out);
    }

    /// Stops acting at once, and then gives the duty up.
    pub(super) fn hand_over(
        &mut self,
        lease_name: &LeaseName,
        next: Option<Name>,
        out: &mut Vec<Output>,
    ) {
        if let Some(hold) = self.held_leases.get(lease_name).copied() {
            let roll = self.membership.as_ref();
            let address = |name: &Name| {
                roll.and_then(|r| r.address(name))
                    .or(self.settings.voters.get(name))
            };
            let to = next.as_ref().and_then(address).cloned();
            self.drop_lease(lease_name, out);
            self.handovers
                .insert(lease_name.clone(), LeaseHandover { hold, next, to });
        }
    }

    fn drop_lease(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        if let Some(hold) = self.held_leases.remove(lease_name) {
            out.push(Output::Holds {
                lease_name: lease_name.clone(),
                term: hold.term,
                held: false,
            });
        }
        if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            self.membership = None;
            self.leader_answered_at = None;
        }
        if let Some(watch) = self.lease_observers.get_mut(lease_name) {
            watch.place = None;
        }
    }

    fn lease_acquired(&mut self, lease_name: &LeaseName, hold: HeldLease, out: &mut Vec<Output>) {
        if self.held_leases.insert(lease_name.clone(), hold).is_none() {
            out.push(Output::Holds {
                lease_name: lease_name.clone(),
                term: hold.term,
                held: true,
            });
            if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
                self.membership = Some(Membership::begin(self.now));
                self.membership_leader = Some((hold.term, self.me()));
                self.next_heartbeat_at = self.now;
            }
        }
    }

    /// When something of this falls due.
    pub(super) fn lease_timers(&self) -> Vec<Ms> {
        let mut at = Vec::new();
        let (settings, me) = (&self.settings.lease, self.me());
        if self
            .lease_observers
            .keys()
            .any(|lease_name| self.contends(lease_name))
        {
            at.push(self.next_query_at.min(self.now + settings.look_every()));
        }
        at.extend(
            self.held_leases
                .values()
                .chain(self.handovers.values().map(|g| &g.hold))
                .map(|hold| hold.until),
        );
        at.extend(
            self.jobs
                .values()
                .map(|job| job.asked + JOB_FOR * settings.lease),
        );
        at.extend(self.pending_commands.iter().map(|wish| wish.until));
        if self.proposal.is_none() {
            let renew = self
                .held_leases
                .values()
                .map(|hold| hold.asked + settings.renew_after());
            let takes = self
                .lease_observers
                .iter()
                .filter(|(lease_name, _)| self.contends(lease_name))
                .map(|(_, watch)| {
                    (self.now + watch.waits(&me, self.is_voter(), settings))
                        .max(self.fenced_commands_over_at())
                });
            let gives = !self.handovers.is_empty() && self.fenced_commands_are_over();
            let steps = self.wanted_step().is_some();
            let now = (gives
                || steps
                || !self.pending_commands.is_empty()
                || self.can_finish_voter_change())
            .then_some(self.now);
            let next = renew.chain(takes).chain(now).fold(f64::INFINITY, f64::min);
            at.push(next.max(self.next_proposal_at));
        }
        at
    }

    /// Whether a change of voters is agreed on and is only to be ended.
    fn can_finish_voter_change(&self) -> bool {
        let changing =
            |v: &Voters| v.before.is_some() && self.knowledge.settled.as_ref() == Some(v);
        self.newest
            .as_ref()
            .is_some_and(|(_, value)| changing(&value.voters))
    }

    /// The change that is wanted most, if there is one.
    fn next_command(&self) -> Option<(ProposalReason, Command)> {
        let settings = &self.settings.lease;
        let who = self.me();
        let given = |(lease_name, _): &(&LeaseName, &LeaseHandover)| {
            lease_name.0.as_ref() != MEMBERSHIP_LEASE || self.fenced_commands_are_over()
        };
        if let Some((lease_name, giving)) = self.handovers.iter().find(given) {
            let (term, next) = (giving.hold.term, giving.next.clone());
            let change = Command::Resign {
                lease_name: lease_name.clone(),
                term,
                who,
                next,
            };
            return Some((ProposalReason::GiveUp(lease_name.clone()), change));
        }
        let due = |hold: &HeldLease| hold.asked + settings.renew_after() <= self.now;
        if self.held_leases.values().any(due) {
            let leases = self
                .held_leases
                .iter()
                .map(|(lease_name, hold)| (lease_name.clone(), hold.term))
                .collect();
            return Some((ProposalReason::Renew, Command::Renew { who, leases }));
        }
        let voter = self.is_voter();
        // Acts of an earlier term of our own must not be obeyed after one of the next.
        let free = |(lease_name, watch): &(&LeaseName, &LeaseObserver)| {
            self.contends(lease_name)
                && self.fenced_commands_are_over()
                && watch.waits(&who, voter, settings) <= 0.0
        };
        if let Some((lease_name, watch)) = self.lease_observers.iter().find(free) {
            let (lease_ms, seen) = (settings.lease_ms(), watch.mark());
            let change = Command::Acquire {
                lease_name: lease_name.clone(),
                who,
                lease_ms,
                seen,
            };
            return Some((ProposalReason::Take(lease_name.clone()), change));
        }
        if let Some(wish) = self.pending_commands.first() {
            return Some((
                ProposalReason::OperatorCommand(wish.call),
                wish.change.clone(),
            ));
        }
        if let Some(step) = self.wanted_step() {
            return Some(step);
        }
        self.can_finish_voter_change()
            .then_some((ProposalReason::Settle, Command::FinishVoterChange))
    }

    /// Looks where it has to, and begins the try that is wanted.
    pub(super) fn advance(&mut self, out: &mut Vec<Output>) {
        if self.stopping {
            let next = self
                .membership
                .as_ref()
                .and_then(|r| r.first_for(&LeaseName::from(MEMBERSHIP_LEASE)))
                .cloned();
            for lease_name in self.held_leases.keys().cloned().collect::<Vec<_>>() {
                let next = next
                    .clone()
                    .filter(|_| lease_name.0.as_ref() == MEMBERSHIP_LEASE);
                self.hand_over(&lease_name, next, out);
            }
        }
        let contending: Vec<LeaseName> = self
            .lease_observers
            .keys()
            .filter(|lease_name| self.contends(lease_name))
            .cloned()
            .collect();
        if !contending.is_empty() && self.now >= self.next_query_at {
            let strangers =
                !self.is_voter() && self.lease_observers.values().all(|w| w.place.is_none());
            // Those that come only as a last resort look no more often than they beat: there may be hundreds.
            let least = if strangers {
                self.heartbeat_interval
            } else {
                0.0
            };
            let spread: f64 = self.rng.generate();
            self.next_query_at =
                self.now + self.settings.lease.look_every().max(least) * (0.75 + 0.5 * spread);
            self.query_any_voter(out);
        }
        let lease = self.settings.lease;
        for lease_name in &contending {
            if let Some(watch) = self.lease_observers.get_mut(lease_name) {
                watch.count(self.now, &lease);
            }
        }
        self.expire_commands(out);
        if self.proposal.is_some() || self.now < self.next_proposal_at {
            return;
        }
        let Some(view) = self.known_voter_set().cloned() else {
            return;
        };
        let Some((purpose, change)) = self.next_command() else {
            return;
        };
        self.highest_round += 1;
        let incarnation = if is_injected(InjectedFault::BallotAgain) {
            Incarnation(0)
        } else {
            self.settings.incarnation
        };
        let ballot = Ballot {
            round: self.highest_round,
            by: self.settings.me.clone(),
            incarnation,
        };
        let (round, asks) = Proposal::begin(ballot.clone(), view, change, &self.knowledge);
        self.count("tries");
        self.proposal = Some(ProposalInFlight {
            round,
            purpose,
            asked: self.now,
        });
        self.send_to_acceptors(&ballot, asks, out);
    }

    /// Asks any one voter what it took last.
    pub(super) fn query_any_voter(&mut self, out: &mut Vec<Output>) {
        let at = self.rng.generate_range(0..MAX_VOTERS);
        self.query_voters_from(at, 1, out);
    }

    /// Asks one voter, and if it does not answer the next, so many times in all: with one of three gone, a third of
    /// hundreds would wait for their next beat, and a third of those again.
    pub(super) fn query_voters_from(&mut self, at: usize, times: usize, out: &mut Vec<Output>) {
        let all: Vec<_> = self.known_voters().into_iter().collect();
        if let Some((of, to)) = all.get(at % all.len().max(1)).cloned() {
            self.count("looks");
            let next = (times < all.len()).then_some((at + 1, times + 1));
            self.send_request(to, Question::Look, RequestPurpose::Look { of, next }, out);
        }
    }

    fn send_to_acceptors(
        &mut self,
        ballot: &Ballot,
        asks: Vec<(
            Name,
            crate::coordination::state::VoterRecord,
            register::AcceptorRequest,
        )>,
        out: &mut Vec<Output>,
    ) {
        for (from, voter_record, ask) in asks {
            let taking = matches!(ask, register::AcceptorRequest::Accept { .. });
            let errand = RequestPurpose::Vote {
                from,
                voter_id: voter_record.voter_id,
                ballot: ballot.clone(),
                taking,
            };
            self.send_request(voter_record.address, Question::Vote(ask), errand, out);
        }
    }

    /// A voter answered a try, or did not.
    pub(super) fn acceptor_answered(
        &mut self,
        (from, voter_id): (&Name, VoterId),
        ballot: &Ballot,
        taking: bool,
        said: Option<&AcceptorReply>,
        out: &mut Vec<Output>,
    ) {
        let Some(trying) = self.proposal.as_mut().filter(|t| t.round.ballot == *ballot) else {
            return;
        };
        let (asks, end) = trying
            .round
            .heard(from, voter_id, taking, said, &mut self.knowledge);
        self.send_to_acceptors(ballot, asks, out);
        if let Some(end) = end {
            if let Some(trying) = self.proposal.take() {
                self.proposal_ended(trying, end, out);
            }
        }
    }

    fn proposal_ended(
        &mut self,
        trying: ProposalInFlight,
        end: ProposalOutcome,
        out: &mut Vec<Output>,
    ) {
        let ProposalInFlight {
            round,
            purpose,
            asked,
        } = trying;
        match end {
            ProposalOutcome::Chosen(value) => {
                self.conflicts_in_a_row = 0;
                self.count("agreed");
                if self
                    .chosen
                    .as_ref()
                    .is_none_or(|known| known.version < value.version)
                {
                    self.chosen = Some(value.clone());
                }
                self.command_chosen(purpose, &value, asked, out);
                self.observe_state(Some(round.ballot), value);
            }
            ProposalOutcome::Rejected(why, base) => {
                self.conflicts_in_a_row = 0;
                self.count("refused");
                self.command_rejected(purpose, why, out);
                // What a majority showed at this ballot is newer than anything seen before.
                self.observe_state(Some(round.ballot), base);
            }
            ProposalOutcome::Conflict(by) => {
                self.count("outbid");
                self.highest_round = self.highest_round.max(by.map_or(0, |b| b.round));
                let (doubled, chance) = (
                    self.conflicts_in_a_row.min(AGAIN_DOUBLED),
                    self.rng.generate::<f64>(),
                );
                // The other try takes as long as this one did: who comes back before only puts an end to it as well.
                let took = self.now - asked;
                let wait = took.max(AGAIN * self.settings.lease.lease * f64::from(doubled).exp2());
                self.next_proposal_at = self.now + wait * (0.5 + chance);
                self.conflicts_in_a_row += 1;
                if purpose == ProposalReason::RolloutStep {
                    self.step_tried(false);
                }
            }
        }
    }

    fn command_chosen(
        &mut self,
        purpose: ProposalReason,
        value: &ReplicatedState,
        asked: Ms,
        out: &mut Vec<Output>,
    ) {
        let (me, incarnation) = (self.settings.me.clone(), self.settings.incarnation);
        let settings = self.settings.lease;
        match purpose {
            ProposalReason::Take(lease_name) => {
                let row = value
                    .leases
                    .get(&lease_name)
                    .filter(|row| is_mine(row, &me, incarnation));
                if let Some(term) = row.map(|row| row.term) {
                    self.count("terms");
                    out.push(Output::Info(format!(
                        "holds {} in term {}",
                        lease_name.0, term.0
                    )));
                    self.lease_acquired(
                        &lease_name,
                        HeldLease::new(term, asked, self.now, &settings),
                        out,
                    );
                }
            }
            ProposalReason::Renew => {
                for (lease_name, hold) in &mut self.held_leases {
                    let mine = |row: &&LeaseRecord| {
                        is_mine(row, &me, incarnation) && row.term == hold.term
                    };
                    if value.leases.get(lease_name).filter(mine).is_some() {
                        *hold = HeldLease::new(hold.term, asked, self.now, &settings);
                    }
                }
            }
            ProposalReason::GiveUp(lease_name) => {
                let given = self.handovers.remove(&lease_name);
                self.count("handed over");
                if let Some(to) = given.and_then(|g| g.to) {
                    self.send_request(
                        to,
                        Question::Nudge { lease_name },
                        RequestPurpose::Nudge,
                        out,
                    );
                }
            }
            ProposalReason::OperatorCommand(call) => {
                self.command_done(call, Ok(()), Some(value), out)
            }
            ProposalReason::RolloutStep => {
                self.count("steps");
                self.step_tried(true);
            }
            ProposalReason::Settle => self.count("settled"),
        }
    }

    fn command_rejected(
        &mut self,
        purpose: ProposalReason,
        why: CommandError,
        out: &mut Vec<Output>,
    ) {
        match purpose {
            ProposalReason::Take(_) => {
                // Guards against trying the same at once, where what was seen is newer than what is agreed on.
                self.next_proposal_at = self.now + self.settings.lease.gap();
            }
            ProposalReason::Renew => {
                for lease_name in self.held_leases.keys().cloned().collect::<Vec<_>>() {
                    self.drop_lease(&lease_name, out);
                }
            }
            ProposalReason::GiveUp(lease_name) => {
                self.handovers.remove(&lease_name);
            }
            ProposalReason::OperatorCommand(call) => self.command_done(call, Err(why), None, out),
            ProposalReason::RolloutStep => self.step_tried(false),
            ProposalReason::Settle => self.next_proposal_at = self.now + self.settings.lease.gap(),
        }
    }

    /// A holder says that it gave a duty up for us: the voters are looked at, at once.
    pub(super) fn lease_offered(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.count("nudged");
        if self.lease_observers.contains_key(lease_name) {
            self.next_proposal_at = self.now;
            for (of, to) in self.known_voters() {
                self.send_request(
                    to,
                    Question::Look,
                    RequestPurpose::Look { of, next: None },
                    out,
                );
            }
        }
    }
}
