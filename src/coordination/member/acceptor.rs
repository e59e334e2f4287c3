//! The voter's side: its file, the first start, and whether it may vote.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::VoterRecord;
use nanorand::Rng;

impl Member {
    pub(super) fn loaded(
        &mut self,
        file: Result<Option<AcceptorState>, String>,
        out: &mut Vec<Output>,
    ) {
        match file {
            Ok(Some(kept)) if kept.name == self.settings.me => {
                self.lasts = true;
                self.bootstrap = kept.bootstrap.clone();
                if let Some((ballot, value)) = &kept.accepted {
                    self.saw(Some(ballot.clone()), value.clone());
                }
                self.durable = Some(Box::new(kept.clone()));
                self.voter = Some(Acceptor::back(kept));
                self.file = File::Good;
            }
            Ok(Some(kept)) => {
                let why = format!("the voter's file is {}'s; no voting here", kept.name.0);
                out.push(Output::Warn(why.clone()));
                self.file = File::Bad(why);
            }
            Ok(None) => {
                self.file = File::Good;
                self.be_born(out);
            }
            Err(why) => {
                out.push(Output::Warn(format!(
                    "the voter's file is not used, no voting here: {why}"
                )));
                self.file = File::Bad(why);
            }
        }
        self.next_care = self.now;
    }

    /// A voter that never voted, under a new life.
    fn be_born(&mut self, out: &mut Vec<Output>) {
        let voter_id = VoterId(self.rng.generate::<u64>() | 1);
        self.voter = Some(Acceptor::new(self.settings.me.clone(), voter_id));
        (self.lasts, self.confirmed) = (false, Vec::new());
        self.save(out);
    }

    /// Its file is older than what it said: it forgot something, and must not vote as the one it was.
    fn forget(&mut self, out: &mut Vec<Output>) {
        out.push(Output::Warn(
            "the voter's file is an old one: not voting until let in again".to_owned(),
        ));
        self.count("old files");
        self.be_born(out);
    }

    /// Writes the file if no write is under way; else once that is over.
    pub(super) fn save(&mut self, out: &mut Vec<Output>) {
        let (None, Some(voter)) = (self.saving, &self.voter) else {
            return;
        };
        self.saves += 1;
        let (number, kept) = (SaveId(self.saves), Box::new(voter.kept.clone()));
        self.under_way = Some(kept.clone());
        out.push(Output::Save { number, kept });
        self.saving = Some(number);
        self.after_save = std::mem::take(&mut self.after_next);
        self.count("saves");
    }

    pub(super) fn saved(&mut self, number: SaveId, lasts: bool, out: &mut Vec<Output>) {
        if self.saving != Some(number) {
            return;
        }
        self.saving = None;
        let answers = std::mem::take(&mut self.after_save);
        let kept = self.under_way.take();
        if lasts {
            self.durable = kept;
            self.lasts = true;
            out.extend(
                answers
                    .into_iter()
                    .map(|(call, answer)| Output::Answer { call, answer }),
            );
        } else {
            // Nothing that may not last is said. What was promised meanwhile stays promised.
            self.count("saves failed");
            out.push(Output::Warn(
                "the voter's file could not be written: not answering".to_owned(),
            ));
        }
        if !self.after_next.is_empty() || (!self.lasts && lasts) {
            self.save(out);
        }
    }

    pub(super) fn vote(
        &mut self,
        call: CallId,
        ask: &register::AcceptorRequest,
        out: &mut Vec<Output>,
    ) {
        let said = self
            .voter
            .as_mut()
            .filter(|_| self.lasts)
            .map(|voter| voter.asked(ask));
        let (said, save) = said.unwrap_or((AcceptorReply::NotVoting, false));
        if let (
            AcceptorReply::Accepted { .. },
            register::AcceptorRequest::Accept { ballot, value, .. },
        ) = (&said, ask)
        {
            self.saw(Some(ballot.clone()), value.clone());
        }
        let answer = Answer::Vote(said);
        let kept = self.voter.as_ref().map(|voter| &voter.kept);
        // Guards against a question that is asked again while its answer waits for a slow disk: a write for each time
        // that it was asked would keep the disk busy until the question's time is up.
        if !save || self.durable.as_deref() == kept {
            out.push(Output::Answer { call, answer });
        } else if is_injected(InjectedFault::SaidBeforeKept) {
            out.push(Output::Answer { call, answer });
            self.save(out);
        } else if self.under_way.as_deref() == kept {
            self.after_save.push((call, answer));
        } else {
            self.after_next.push((call, answer));
            self.save(out);
        }
        let old = |v: &Acceptor| !v.votes && !self.checking();
        if self.voter.as_ref().is_some_and(old) {
            self.forget(out);
        }
    }

    /// Whether others are still to confirm that the file is not an old one.
    fn checking(&self) -> bool {
        let Some(voter) = &self.voter else {
            return false;
        };
        let me = &self.settings.me;
        voter.kept.promised.is_some() && !self.confirmed.contains(me)
    }

    pub(super) fn seen(&self) -> Seen {
        let voter = self.voter.as_ref().filter(|_| self.lasts);
        Seen {
            voter_id: voter.map(|v| v.kept.voter_id),
            votes: voter.is_some_and(|v| v.votes),
            bootstrap: self.view_of_founding().cloned(),
            newest: voter.and_then(|v| v.kept.accepted.clone()),
        }
    }

    fn view_of_founding(&self) -> Option<&Voters> {
        self.voter
            .as_ref()
            .filter(|_| self.lasts)
            .and_then(|v| v.kept.bootstrap.as_ref())
    }

    /// Whether the voter is not sure of itself: it knows of no first start, or has to ask whether its file is old.
    fn wants_care(&self) -> bool {
        let unsure = |v: &Acceptor| {
            let blank = v.kept.bootstrap.is_none() && v.kept.promised.is_none();
            !self.lasts || !v.votes || (blank && self.settings.voters.contains_key(&v.kept.name))
        };
        match &self.file {
            File::Good => self.voter.as_ref().is_some_and(unsure),
            File::None | File::Bad(_) | File::Unread => false,
        }
    }

    pub(super) fn care_at(&self) -> Option<Ms> {
        self.wants_care().then_some(self.next_care)
    }

    pub(super) fn care_for_voter(&mut self, out: &mut Vec<Output>) {
        if !self.wants_care() || self.now < self.next_care {
            return;
        }
        let spread: f64 = self.rng.generate();
        self.next_care = self.now + self.settings.answer_within * (0.5 + spread);
        if !self.lasts {
            return self.save(out);
        }
        let Some(voter) = &self.voter else { return };
        if voter.votes {
            for (of, to) in self.whom_to_look_at() {
                self.ask(to, Question::Look, Errand::Look { of, next: None }, out);
            }
            return;
        }
        let (of, voter_id) = (self.settings.me.clone(), voter.kept.voter_id);
        for (name, to) in self.whom_to_look_at() {
            let question = Question::Witness {
                of: of.clone(),
                voter_id,
            };
            self.ask(to, question, Errand::Witness { of: name }, out);
        }
    }

    pub(super) fn witnessed(&mut self, by: Name, writes: u64, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        if voter.votes || voter.kept.promised.is_none() {
            return;
        }
        if writes > voter.kept.writes {
            return self.forget(out);
        }
        let me = self.settings.me.clone();
        self.confirmed.push(by);
        let confirmed = |name: &Name, _: &VoterRecord| *name == me || self.confirmed.contains(name);
        let accepted = voter.kept.accepted.as_ref().map(|(_, value)| &value.voters);
        let voters = accepted.or(voter.kept.bootstrap.as_ref());
        // All of the others, or a majority once there was time for all: who lags behind may have heard of nothing.
        let all = voters.is_none_or(|v| {
            v.all()
                .iter()
                .all(|(name, voter_record)| confirmed(name, voter_record))
        });
        let waited = self.now - self.began >= self.settings.lease.lease;
        let enough = all || (waited && voters.is_none_or(|v| v.majority(confirmed)));
        if enough {
            voter.votes = true;
            self.confirmed.push(me);
        }
    }

    /// A voter showed what it has.
    pub(super) fn looked(&mut self, of: &Name, seen: Seen, out: &mut Vec<Output>) {
        if self.bootstrap.is_none() {
            self.bootstrap.clone_from(&seen.bootstrap);
        }
        if let Some((ballot, value)) = seen.newest {
            self.saw(Some(ballot), value);
        } else if self.newest.is_none() && self.bootstrap.is_some() {
            self.show_watches();
        }
        self.found(of, seen.voter_id, out);
    }

    /// The first start: a blank voter that has heard every other voter of the settings knows their lives. One that
    /// hears of a first start that was takes that; it votes if that names its life, else it waits to be let in.
    fn found(&mut self, of: &Name, voter_id: Option<VoterId>, out: &mut Vec<Output>) {
        let bootstrap = self.bootstrap.clone();
        let Some(voter) = self
            .voter
            .as_mut()
            .filter(|v| self.lasts && v.kept.bootstrap.is_none())
        else {
            return;
        };
        let me = (self.settings.me.clone(), voter.kept.voter_id);
        if !self.settings.voters.contains_key(&me.0) || voter.kept.promised.is_some() {
            return;
        }
        if let Some(bootstrap) = bootstrap {
            if bootstrap
                .set
                .get(&me.0)
                .is_some_and(|voter_record| voter_record.voter_id == me.1)
            {
                voter.kept.bootstrap = Some(bootstrap);
                self.save(out);
            }
            return;
        }
        if let Some(voter_id) = voter_id.filter(|_| self.settings.voters.contains_key(of)) {
            self.lives.insert(of.clone(), voter_id);
        }
        let life_of = |name: &Name| match *name == me.0 {
            true => Some(me.1),
            false => self.lives.get(name).copied(),
        };
        let voter_records = self.settings.voters.iter().map(|(name, address)| {
            life_of(name).map(|voter_id| {
                (
                    name.clone(),
                    VoterRecord {
                        voter_id,
                        address: address.clone(),
                    },
                )
            })
        });
        if let Some(set) = voter_records.collect::<Option<BTreeMap<_, _>>>() {
            voter.kept.bootstrap = Some(Voters {
                generation: 1,
                set,
                before: None,
            });
            out.push(Output::Info(
                "the fleet's first start: all voters are there".to_owned(),
            ));
            self.save(out);
        }
    }
}
