//! Beats to whoever calls the roll, the roll itself, and its telling.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::fencing::FencingDecision;
use nanorand::Rng;

impl Member {
    pub(super) fn learn_caller(&mut self, caller: (Term, LeaseHolder)) {
        // Nothing that an old holder still says counts.
        if self.caller.as_ref().is_some_and(|known| known.0 > caller.0) {
            return;
        }
        if self.caller.as_ref().is_none_or(|known| *known != caller) {
            self.heard = None;
            // Members learn of it at moments of their own, so its successor is not met by all at once.
            self.next_beat = self.next_beat.min(self.now);
            self.caller = Some(caller);
        }
    }

    /// A beat came.
    pub(super) fn hear(&mut self, heartbeat: Heartbeat) -> HeartbeatReply {
        let membership_lease = LeaseName::from(MEMBERSHIP_LEASE);
        let (now, least) = (self.now, self.settings.heartbeat);
        let holds = self
            .holds
            .get(&membership_lease)
            .is_some_and(|hold| hold.left(now) > 0.0);
        let holder = self.caller.clone();
        let places = match self.roll.as_mut().filter(|_| holds) {
            Some(roll) => {
                let name = heartbeat.who.name.clone();
                roll.heard(now, heartbeat, least);
                roll.place_of(&membership_lease, &name)
                    .map(|place| (membership_lease, place))
                    .into_iter()
                    .collect()
            }
            None => Vec::new(),
        };
        let every = self
            .roll
            .as_ref()
            .map_or(least, |roll| roll.heartbeat_interval(least));
        HeartbeatReply {
            heard: holds,
            holder,
            every,
            places,
        }
    }

    fn my_beat(&mut self) -> Heartbeat {
        let reports = self.next_reports();
        Heartbeat {
            who: self.me(),
            zone: self.settings.zone.clone(),
            label: self.settings.label.clone(),
            up: self.now - self.began,
            ready: self.ready,
            stopping: self.stopping,
            load: self.load,
            holds: self.holds.len() as u32,
            tally: self.disruptions.outcomes,
            reports,
        }
    }

    /// Beats when it is time, or asks who calls the roll; calls it if that is this dispatcher.
    pub(super) fn heartbeat(&mut self, out: &mut Vec<Output>) {
        let membership_lease = LeaseName::from(MEMBERSHIP_LEASE);
        if self.now < self.next_beat {
            return;
        }
        self.next_beat = self.now + self.every;
        let heartbeat = self.my_beat();
        if self.holds.contains_key(&membership_lease) {
            let prefers = self.settings.prefers.clone();
            let (now, least, me) = (self.now, self.settings.heartbeat, self.settings.me.clone());
            if let Some(roll) = &mut self.roll {
                roll.heard(now, heartbeat, least);
                roll.place(now, least, &[(membership_lease, prefers, Some(me))]);
                self.every = roll.heartbeat_interval(least);
                self.next_beat = self.now + self.every;
            }
            return;
        }
        match self
            .caller
            .as_ref()
            .filter(|(_, holder)| holder.name != self.settings.me)
        {
            Some((_, holder)) => {
                let (to, incarnation) = (holder.address.clone(), holder.incarnation);
                self.count("beats");
                self.ask(
                    to,
                    Question::Heartbeat(heartbeat),
                    Errand::Heartbeat { to: incarnation },
                    out,
                );
            }
            None => self.look_somewhere(out),
        }
    }

    pub(super) fn beat_answered(
        &mut self,
        to: Incarnation,
        heard: Option<HeartbeatReply>,
        out: &mut Vec<Output>,
    ) {
        let membership_lease = LeaseName::from(MEMBERSHIP_LEASE);
        let current = self
            .caller
            .as_ref()
            .is_some_and(|(_, holder)| holder.incarnation == to);
        let place = match heard {
            Some(heard) if heard.heard && current => {
                self.heard = Some(self.now);
                // A beat is some time away from the last, for each member another.
                let (spread, every) = (
                    self.rng.generate::<f64>(),
                    heard.every.max(self.settings.heartbeat),
                );
                if every != self.every {
                    self.next_beat = self.now + every * spread;
                }
                self.every = every;
                heard
                    .places
                    .iter()
                    .find(|(lease_name, _)| *lease_name == membership_lease)
                    .map(|(_, place)| *place)
            }
            Some(HeartbeatReply {
                heard: false,
                holder: Some(holder),
                ..
            }) if holder.1.incarnation != to => {
                return self.learn_caller(holder);
            }
            // It was not reached, or calls the roll no more: whoever does is asked for, once, and then again
            // when the next beat is due.
            _ if current => {
                self.count("beats lost");
                return self.look_somewhere(out);
            }
            _ => return,
        };
        if let Some(watch) = self.watches.get_mut(&membership_lease) {
            watch.place = place;
        }
    }

    /// Whether all that was done in the roll-call's name has been answered, or can be obeyed no more.
    pub(super) fn acts_are_done(&self) -> bool {
        self.acts_done_at() <= self.now
    }

    /// When none of this process's acts can be obeyed any more, if no answer comes.
    pub(super) fn acts_done_at(&self) -> Ms {
        let receivers = self.disruptions.receivers.values();
        let permits = receivers.map(|receiver| receiver.unsure_until);
        self.told
            .iter()
            .map(|told| told.unsure_until)
            .chain(permits)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    pub(super) fn tell_at(&self) -> Option<Ms> {
        let holds = self.holds.contains_key(&LeaseName::from(MEMBERSHIP_LEASE));
        let next = || {
            self.told
                .iter()
                .filter(|t| !t.out)
                .map(|t| t.next)
                .min_by(f64::total_cmp)
        };
        holds.then(next).flatten()
    }

    /// Tells the roll to those that the settings name: acts of the duty, each with its term.
    pub(super) fn tell(&mut self, out: &mut Vec<Output>) {
        let lease_name = LeaseName::from(MEMBERSHIP_LEASE);
        let Some(hold) = self.holds.get(&lease_name).copied() else {
            return;
        };
        let unnoticed = is_injected(InjectedFault::PauseUnnoticed);
        if hold.left(self.now) <= 0.0 && !unnoticed {
            return;
        }
        let until = if unnoticed {
            self.now + self.settings.lease.lease
        } else {
            hold.until
        };
        for at in 0..self.told.len() {
            let told = &self.told[at];
            if told.out || self.now < told.next {
                continue;
            }
            let (receiver_timestamp, good_for) = told.known.good_for(until);
            self.acts += 1;
            let (term, holder, number) = (hold.term, self.me(), self.acts);
            let act = FencedCommand {
                lease_name: lease_name.clone(),
                term,
                holder,
                number,
                receiver_timestamp,
                good_for,
                body: self.summary(),
            };
            let told = &mut self.told[at];
            (told.out, told.next) = (true, self.now + self.settings.tell_every);
            told.unsure_until = hold.until;
            self.count("acts");
            self.ask(
                self.settings.tells[at].clone(),
                Question::FencedCommand(act),
                Errand::FencedCommand { to: at },
                out,
            );
        }
    }

    pub(super) fn told(&mut self, to: usize, answer: Option<(FencingDecision, ReceiverTimestamp)>) {
        let Some(told) = self.told.get_mut(to) else {
            return;
        };
        told.out = false;
        match answer {
            Some((verdict, receiver_timestamp)) => {
                told.known.answered(self.now, receiver_timestamp);
                told.unsure_until = f64::NEG_INFINITY;
                if verdict == FencingDecision::TimestampMissing {
                    // It asks before it obeys; now there is a ticket to send with it.
                    told.next = self.now;
                } else if verdict != FencingDecision::Executed {
                    self.count("acts refused");
                }
            }
            None => self.count("acts unanswered"),
        }
    }

    /// The roll in a line: how many stand how, of how many, and for how long it has been called.
    fn summary(&self) -> Vec<u8> {
        use crate::coordination::membership::MemberStatus;
        let Some(roll) = &self.roll else {
            return Vec::new();
        };
        let counts = roll.counts(self.now, self.settings.heartbeat);
        let of = |member_status| counts.get(&member_status).copied().unwrap_or(0);
        let (inn, back) = (of(MemberStatus::Alive), of(MemberStatus::Returned));
        let (suspected, gone) = (of(MemberStatus::Suspected), of(MemberStatus::Dead));
        let since = self.now - roll.since;
        format!("in {inn} back {back} suspected {suspected} out {gone} called-for-ms {since:.0}")
            .into_bytes()
    }
}
