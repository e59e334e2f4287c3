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
    pub(super) fn saw(&mut self, ballot: Option<Ballot>, value: ReplicatedState) {
        if let Some(ballot) = &ballot {
            self.highest = self.highest.max(ballot.round);
        }
        if self.newest.as_ref().is_none_or(|(at, _)| *at < ballot) {
            let caller = holder_of(&value, &LeaseName::from(MEMBERSHIP_LEASE));
            let caller = caller.map(|(term, holder)| (term, holder.clone()));
            self.newest = Some((ballot, value));
            if let Some(caller) = caller {
                self.learn_caller(caller);
            }
        }
        self.show_watches();
    }

    /// Shows the newest value to those that wait for duties.
    pub(super) fn show_watches(&mut self) {
        let value = self.newest.as_ref().map(|(_, value)| value);
        for (lease_name, watch) in &mut self.watches {
            let row: Option<&LeaseRecord> = value.and_then(|v| v.leases.get(lease_name));
            watch.saw(self.now, row, &mut self.rng);
        }
    }

    /// Whether this dispatcher is to take a duty if it falls free.
    fn contends(&self, lease_name: &LeaseName) -> bool {
        if self.stopping
            || self.holds.contains_key(lease_name)
            || self.giving.contains_key(lease_name)
        {
            return false;
        }
        match lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            false => self.jobs.contains_key(lease_name),
            // Whoever has no place in the line comes only when the caller does not hear it.
            true => {
                let watch = self.watches.get(lease_name);
                let named = watch.is_some_and(|w| w.place.is_some() || w.names(&self.settings.me));
                named || self.is_voter() || !self.caller_hears()
            }
        }
    }

    fn is_voter(&self) -> bool {
        let me = &self.settings.me;
        self.voter.is_some() && self.view().is_some_and(|view| view.set.contains_key(me))
    }

    /// Whether the caller of the roll heard this dispatcher lately.
    pub(super) fn caller_hears(&self) -> bool {
        self.caller.is_some()
            && self
                .heard
                .is_some_and(|at| self.now - at < 3.0 * self.every)
    }

    /// What is over by itself: leases, jobs.
    pub(super) fn drop_ended(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        if !is_injected(InjectedFault::PauseUnnoticed) {
            let over = |hold: &HeldLease| hold.left(now) <= 0.0;
            let ended: Vec<LeaseName> = self
                .holds
                .iter()
                .filter(|(_, h)| over(h))
                .map(|(lease_name, _)| lease_name.clone())
                .collect();
            for lease_name in ended {
                self.count("leases over");
                self.lose(&lease_name, out);
            }
            self.giving.retain(|_, giving| !over(&giving.hold));
        }
        let longest = JOB_FOR * self.settings.lease.lease;
        let gone = |job: &Job| now - job.asked >= longest;
        let idle: Vec<LeaseName> = self
            .jobs
            .iter()
            .filter(|(_, j)| gone(j))
            .map(|(lease_name, _)| lease_name.clone())
            .collect();
        for lease_name in idle {
            self.let_go(&lease_name, out);
        }
    }

    /// The job is over: the duty is given up, for whoever contends for it.
    pub(super) fn let_go(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.jobs.remove(lease_name);
        self.watches.remove(lease_name);
        self.hand_over(lease_name, None, out);
    }

    /// Stops acting at once, and then gives the duty up.
    pub(super) fn hand_over(
        &mut self,
        lease_name: &LeaseName,
        next: Option<Name>,
        out: &mut Vec<Output>,
    ) {
        if let Some(hold) = self.holds.get(lease_name).copied() {
            let roll = self.roll.as_ref();
            let address = |name: &Name| {
                roll.and_then(|r| r.address(name))
                    .or(self.settings.voters.get(name))
            };
            let to = next.as_ref().and_then(address).cloned();
            self.lose(lease_name, out);
            self.giving
                .insert(lease_name.clone(), Giving { hold, next, to });
        }
    }

    fn lose(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        if let Some(hold) = self.holds.remove(lease_name) {
            out.push(Output::Holds {
                lease_name: lease_name.clone(),
                term: hold.term,
                held: false,
            });
        }
        if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            self.roll = None;
            self.heard = None;
        }
        if let Some(watch) = self.watches.get_mut(lease_name) {
            watch.place = None;
        }
    }

    fn hold(&mut self, lease_name: &LeaseName, hold: HeldLease, out: &mut Vec<Output>) {
        if self.holds.insert(lease_name.clone(), hold).is_none() {
            out.push(Output::Holds {
                lease_name: lease_name.clone(),
                term: hold.term,
                held: true,
            });
            if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
                self.roll = Some(Membership::begin(self.now));
                self.caller = Some((hold.term, self.me()));
                self.next_beat = self.now;
            }
        }
    }

    /// When something of this falls due.
    pub(super) fn go_on_at(&self) -> Vec<Ms> {
        let mut at = Vec::new();
        let (settings, me) = (&self.settings.lease, self.me());
        if self
            .watches
            .keys()
            .any(|lease_name| self.contends(lease_name))
        {
            at.push(self.next_look.min(self.now + settings.look_every()));
        }
        at.extend(
            self.holds
                .values()
                .chain(self.giving.values().map(|g| &g.hold))
                .map(|hold| hold.until),
        );
        at.extend(
            self.jobs
                .values()
                .map(|job| job.asked + JOB_FOR * settings.lease),
        );
        at.extend(self.wishes.iter().map(|wish| wish.until));
        if self.trying.is_none() {
            let renew = self
                .holds
                .values()
                .map(|hold| hold.asked + settings.renew_after());
            let takes = self
                .watches
                .iter()
                .filter(|(lease_name, _)| self.contends(lease_name))
                .map(|(_, watch)| {
                    (self.now + watch.waits(&me, self.is_voter(), settings))
                        .max(self.acts_done_at())
                });
            let gives = !self.giving.is_empty() && self.acts_are_done();
            let steps = self.proposed_step().is_some();
            let now =
                (gives || steps || !self.wishes.is_empty() || self.settles()).then_some(self.now);
            let next = renew.chain(takes).chain(now).fold(f64::INFINITY, f64::min);
            at.push(next.max(self.again_at));
        }
        at
    }

    /// Whether a change of voters is agreed on and is only to be ended.
    fn settles(&self) -> bool {
        let changing = |v: &Voters| v.before.is_some() && self.knows.settled.as_ref() == Some(v);
        self.newest
            .as_ref()
            .is_some_and(|(_, value)| changing(&value.voters))
    }

    /// The change that is wanted most, if there is one.
    fn wanted(&self) -> Option<(Purpose, Command)> {
        let settings = &self.settings.lease;
        let who = self.me();
        let given = |(lease_name, _): &(&LeaseName, &Giving)| {
            lease_name.0.as_ref() != MEMBERSHIP_LEASE || self.acts_are_done()
        };
        if let Some((lease_name, giving)) = self.giving.iter().find(given) {
            let (term, next) = (giving.hold.term, giving.next.clone());
            let change = Command::Resign {
                lease_name: lease_name.clone(),
                term,
                who,
                next,
            };
            return Some((Purpose::GiveUp(lease_name.clone()), change));
        }
        let due = |hold: &HeldLease| hold.asked + settings.renew_after() <= self.now;
        if self.holds.values().any(due) {
            let leases = self
                .holds
                .iter()
                .map(|(lease_name, hold)| (lease_name.clone(), hold.term))
                .collect();
            return Some((Purpose::Renew, Command::Renew { who, leases }));
        }
        let voter = self.is_voter();
        // Acts of an earlier term of our own must not be obeyed after one of the next.
        let free = |(lease_name, watch): &(&LeaseName, &LeaseObserver)| {
            self.contends(lease_name)
                && self.acts_are_done()
                && watch.waits(&who, voter, settings) <= 0.0
        };
        if let Some((lease_name, watch)) = self.watches.iter().find(free) {
            let (lease_ms, seen) = (settings.lease_ms(), watch.mark());
            let change = Command::Acquire {
                lease_name: lease_name.clone(),
                who,
                lease_ms,
                seen,
            };
            return Some((Purpose::Take(lease_name.clone()), change));
        }
        if let Some(wish) = self.wishes.first() {
            return Some((Purpose::Wish(wish.call), wish.change.clone()));
        }
        if let Some(step) = self.proposed_step() {
            return Some(step);
        }
        self.settles()
            .then_some((Purpose::Settle, Command::FinishVoterChange))
    }

    /// Looks where it has to, and begins the try that is wanted.
    pub(super) fn go_on(&mut self, out: &mut Vec<Output>) {
        if self.stopping {
            let next = self
                .roll
                .as_ref()
                .and_then(|r| r.first_for(&LeaseName::from(MEMBERSHIP_LEASE)))
                .cloned();
            for lease_name in self.holds.keys().cloned().collect::<Vec<_>>() {
                let next = next
                    .clone()
                    .filter(|_| lease_name.0.as_ref() == MEMBERSHIP_LEASE);
                self.hand_over(&lease_name, next, out);
            }
        }
        let contending: Vec<LeaseName> = self
            .watches
            .keys()
            .filter(|lease_name| self.contends(lease_name))
            .cloned()
            .collect();
        if !contending.is_empty() && self.now >= self.next_look {
            let strangers = !self.is_voter() && self.watches.values().all(|w| w.place.is_none());
            // Those that come only as a last resort look no more often than they beat: there may be hundreds.
            let least = if strangers { self.every } else { 0.0 };
            let spread: f64 = self.rng.generate();
            self.next_look =
                self.now + self.settings.lease.look_every().max(least) * (0.75 + 0.5 * spread);
            self.look_somewhere(out);
        }
        let lease = self.settings.lease;
        for lease_name in &contending {
            if let Some(watch) = self.watches.get_mut(lease_name) {
                watch.count(self.now, &lease);
            }
        }
        self.wishes_too_late(out);
        if self.trying.is_some() || self.now < self.again_at {
            return;
        }
        let Some(view) = self.view().cloned() else {
            return;
        };
        let Some((purpose, change)) = self.wanted() else {
            return;
        };
        self.highest += 1;
        let incarnation = if is_injected(InjectedFault::BallotAgain) {
            Incarnation(0)
        } else {
            self.settings.incarnation
        };
        let ballot = Ballot {
            round: self.highest,
            by: self.settings.me.clone(),
            incarnation,
        };
        let (round, asks) = Proposal::begin(ballot.clone(), view, change, &self.knows);
        self.count("tries");
        self.trying = Some(Try {
            round,
            purpose,
            asked: self.now,
        });
        self.ask_voters(&ballot, asks, out);
    }

    /// Asks any one voter what it took last.
    pub(super) fn look_somewhere(&mut self, out: &mut Vec<Output>) {
        let at = self.rng.generate_range(0..MAX_VOTERS);
        self.look_at(at, 1, out);
    }

    /// Asks one voter, and if it does not answer the next, so many times in all: with one of three gone, a third of
    /// hundreds would wait for their next beat, and a third of those again.
    pub(super) fn look_at(&mut self, at: usize, times: usize, out: &mut Vec<Output>) {
        let all: Vec<_> = self.whom_to_look_at().into_iter().collect();
        if let Some((of, to)) = all.get(at % all.len().max(1)).cloned() {
            self.count("looks");
            let next = (times < all.len()).then_some((at + 1, times + 1));
            self.ask(to, Question::Look, Errand::Look { of, next }, out);
        }
    }

    fn ask_voters(
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
            let errand = Errand::Vote {
                from,
                voter_id: voter_record.voter_id,
                ballot: ballot.clone(),
                taking,
            };
            self.ask(voter_record.address, Question::Vote(ask), errand, out);
        }
    }

    /// A voter answered a try, or did not.
    pub(super) fn voted(
        &mut self,
        (from, voter_id): (&Name, VoterId),
        ballot: &Ballot,
        taking: bool,
        said: Option<&AcceptorReply>,
        out: &mut Vec<Output>,
    ) {
        let Some(trying) = self.trying.as_mut().filter(|t| t.round.ballot == *ballot) else {
            return;
        };
        let (asks, end) = trying
            .round
            .heard(from, voter_id, taking, said, &mut self.knows);
        self.ask_voters(ballot, asks, out);
        if let Some(end) = end {
            if let Some(trying) = self.trying.take() {
                self.tried(trying, end, out);
            }
        }
    }

    fn tried(&mut self, trying: Try, end: ProposalOutcome, out: &mut Vec<Output>) {
        let Try {
            round,
            purpose,
            asked,
        } = trying;
        match end {
            ProposalOutcome::Chosen(value) => {
                self.failures = 0;
                self.count("agreed");
                if self
                    .agreed
                    .as_ref()
                    .is_none_or(|known| known.version < value.version)
                {
                    self.agreed = Some(value.clone());
                }
                self.agreed(purpose, &value, asked, out);
                self.saw(Some(round.ballot), value);
            }
            ProposalOutcome::Rejected(why, base) => {
                self.failures = 0;
                self.count("refused");
                self.refused(purpose, why, out);
                // What a majority showed at this ballot is newer than anything seen before.
                self.saw(Some(round.ballot), base);
            }
            ProposalOutcome::Conflict(by) => {
                self.count("outbid");
                self.highest = self.highest.max(by.map_or(0, |b| b.round));
                let (doubled, chance) =
                    (self.failures.min(AGAIN_DOUBLED), self.rng.generate::<f64>());
                // The other try takes as long as this one did: who comes back before only puts an end to it as well.
                let took = self.now - asked;
                let wait = took.max(AGAIN * self.settings.lease.lease * f64::from(doubled).exp2());
                self.again_at = self.now + wait * (0.5 + chance);
                self.failures += 1;
                if purpose == Purpose::RolloutStep {
                    self.step_proposed(false);
                }
            }
        }
    }

    fn agreed(
        &mut self,
        purpose: Purpose,
        value: &ReplicatedState,
        asked: Ms,
        out: &mut Vec<Output>,
    ) {
        let (me, incarnation) = (self.settings.me.clone(), self.settings.incarnation);
        let settings = self.settings.lease;
        match purpose {
            Purpose::Take(lease_name) => {
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
                    self.hold(
                        &lease_name,
                        HeldLease::new(term, asked, self.now, &settings),
                        out,
                    );
                }
            }
            Purpose::Renew => {
                for (lease_name, hold) in &mut self.holds {
                    let mine = |row: &&LeaseRecord| {
                        is_mine(row, &me, incarnation) && row.term == hold.term
                    };
                    if value.leases.get(lease_name).filter(mine).is_some() {
                        *hold = HeldLease::new(hold.term, asked, self.now, &settings);
                    }
                }
            }
            Purpose::GiveUp(lease_name) => {
                let given = self.giving.remove(&lease_name);
                self.count("handed over");
                if let Some(to) = given.and_then(|g| g.to) {
                    self.ask(to, Question::Nudge { lease_name }, Errand::Nudge, out);
                }
            }
            Purpose::Wish(call) => self.wish_done(call, Ok(()), Some(value), out),
            Purpose::RolloutStep => {
                self.count("steps");
                self.step_proposed(true);
            }
            Purpose::Settle => self.count("settled"),
        }
    }

    fn refused(&mut self, purpose: Purpose, why: CommandError, out: &mut Vec<Output>) {
        match purpose {
            Purpose::Take(_) => {
                // Guards against trying the same at once, where what was seen is newer than what is agreed on.
                self.again_at = self.now + self.settings.lease.gap();
            }
            Purpose::Renew => {
                for lease_name in self.holds.keys().cloned().collect::<Vec<_>>() {
                    self.lose(&lease_name, out);
                }
            }
            Purpose::GiveUp(lease_name) => {
                self.giving.remove(&lease_name);
            }
            Purpose::Wish(call) => self.wish_done(call, Err(why), None, out),
            Purpose::RolloutStep => self.step_proposed(false),
            Purpose::Settle => self.again_at = self.now + self.settings.lease.gap(),
        }
    }

    /// A holder says that it gave a duty up for us: the voters are looked at, at once.
    pub(super) fn nudged(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.count("nudged");
        if self.watches.contains_key(lease_name) {
            self.again_at = self.now;
            for (of, to) in self.whom_to_look_at() {
                self.ask(to, Question::Look, Errand::Look { of, next: None }, out);
            }
        }
    }
}
