//! The voter's side: its file, the first start, and whether it may vote.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::state::VoterRecord;
use nanorand::Rng;

impl Member {
    pub(super) fn file_loaded(
        &mut self,
        file: Result<Option<AcceptorState>, String>,
        out: &mut Vec<Output>,
    ) {
        match file {
            Ok(Some(kept)) if kept.name == self.settings.me => {
                self.file_is_durable = true;
                self.bootstrap = kept.bootstrap.clone();
                if let Some((ballot, value)) = &kept.accepted {
                    self.observe_state(Some(ballot.clone()), value.clone());
                }
                self.durable = Some(Box::new(kept.clone()));
                self.acceptor = Some(Acceptor::back(kept));
                self.file = AcceptorFile::Good;
            }
            Ok(Some(kept)) => {
                let why = format!("the voter's file is {}'s; no voting here", kept.name.0);
                out.push(Output::Warn(why.clone()));
                self.file = AcceptorFile::Bad(why);
            }
            Ok(None) => {
                self.file = AcceptorFile::Good;
                self.begin_as_new_voter(out);
            }
            Err(why) => {
                out.push(Output::Warn(format!(
                    "the voter's file is not used, no voting here: {why}"
                )));
                self.file = AcceptorFile::Bad(why);
            }
        }
        self.next_acceptor_check_at = self.now;
    }

    /// A voter that never voted, under a new life.
    fn begin_as_new_voter(&mut self, out: &mut Vec<Output>) {
        let voter_id = VoterId(self.rng.generate::<u64>() | 1);
        self.acceptor = Some(Acceptor::new(self.settings.me.clone(), voter_id));
        (self.file_is_durable, self.confirmed_by) = (false, Vec::new());
        self.save(out);
    }

    /// Its file is older than what it said: it forgot something, and must not vote as the one it was.
    fn discard_old_file(&mut self, out: &mut Vec<Output>) {
        out.push(Output::Warn(
            "the voter's file is an old one: not voting until let in again".to_owned(),
        ));
        self.count("old files");
        self.begin_as_new_voter(out);
    }

    /// Writes the file if no write is under way; else once that is over.
    pub(super) fn save(&mut self, out: &mut Vec<Output>) {
        let (None, Some(voter)) = (self.save_in_flight, &self.acceptor) else {
            return;
        };
        self.saves_started += 1;
        let (number, kept) = (SaveId(self.saves_started), Box::new(voter.kept.clone()));
        self.saving_state = Some(kept.clone());
        out.push(Output::Save { number, kept });
        self.save_in_flight = Some(number);
        self.answers_after_save = std::mem::take(&mut self.answers_after_next_save);
        self.count("saves");
    }

    pub(super) fn file_saved(&mut self, number: SaveId, lasts: bool, out: &mut Vec<Output>) {
        if self.save_in_flight != Some(number) {
            return;
        }
        self.save_in_flight = None;
        let answers = std::mem::take(&mut self.answers_after_save);
        let kept = self.saving_state.take();
        if lasts {
            self.durable = kept;
            self.file_is_durable = true;
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
        if !self.answers_after_next_save.is_empty() || (!self.file_is_durable && lasts) {
            self.save(out);
        }
    }

    pub(super) fn proposer_request(
        &mut self,
        call: CallId,
        ask: &register::AcceptorRequest,
        out: &mut Vec<Output>,
    ) {
        let said = self
            .acceptor
            .as_mut()
            .filter(|_| self.file_is_durable)
            .map(|voter| voter.asked(ask));
        let (said, save) = said.unwrap_or((AcceptorReply::NotVoting, false));
        if let (
            AcceptorReply::Accepted { .. },
            register::AcceptorRequest::Accept { ballot, value, .. },
        ) = (&said, ask)
        {
            self.observe_state(Some(ballot.clone()), value.clone());
        }
        let answer = Answer::Vote(said);
        let kept = self.acceptor.as_ref().map(|voter| &voter.kept);
        // Guards against a question that is asked again while its answer waits for a slow disk: a write for each time
        // that it was asked would keep the disk busy until the question's time is up.
        if !save || self.durable.as_deref() == kept {
            out.push(Output::Answer { call, answer });
        } else if is_injected(InjectedFault::SaidBeforeKept) {
            out.push(Output::Answer { call, answer });
            self.save(out);
        } else if self.saving_state.as_deref() == kept {
            self.answers_after_save.push((call, answer));
        } else {
            self.answers_after_next_save.push((call, answer));
            self.save(out);
        }
        let old = |v: &Acceptor| !v.votes && !self.awaits_confirmation();
        if self.acceptor.as_ref().is_some_and(old) {
            self.discard_old_file(out);
        }
    }

    /// Whether others are still to confirm that the file is not an old one.
    fn awaits_confirmation(&self) -> bool {
        let Some(voter) = &self.acceptor else {
            return false;
        };
        let me = &self.settings.me;
        voter.kept.promised.is_some() && !self.confirmed_by.contains(me)
    }

    pub(super) fn voter_state(&self) -> Seen {
        let voter = self.acceptor.as_ref().filter(|_| self.file_is_durable);
        Seen {
            voter_id: voter.map(|v| v.kept.voter_id),
            votes: voter.is_some_and(|v| v.votes),
            bootstrap: self.durable_bootstrap().cloned(),
            newest: voter.and_then(|v| v.kept.accepted.clone()),
        }
    }

    fn durable_bootstrap(&self) -> Option<&Voters> {
        self.acceptor
            .as_ref()
            .filter(|_| self.file_is_durable)
            .and_then(|v| v.kept.bootstrap.as_ref())
    }

    /// Whether the voter is not sure of itself: it knows of no first start, or has to ask whether its file is old.
    fn acceptor_needs_check(&self) -> bool {
        let unsure = |v: &Acceptor| {
            let blank = v.kept.bootstrap.is_none() && v.kept.promised.is_none();
            !self.file_is_durable
                || !v.votes
                || (blank && self.settings.voters.contains_key(&v.kept.name))
        };
        match &self.file {
            AcceptorFile::Good => self.acceptor.as_ref().is_some_and(unsure),
            AcceptorFile::None | AcceptorFile::Bad(_) | AcceptorFile::Unread => false,
        }
    }

    pub(super) fn next_acceptor_check(&self) -> Option<Ms> {
        self.acceptor_needs_check()
            .then_some(self.next_acceptor_check_at)
    }

    pub(super) fn check_acceptor(&mut self, out: &mut Vec<Output>) {
        if !self.acceptor_needs_check() || self.now < self.next_acceptor_check_at {
            return;
        }
        let spread: f64 = self.rng.generate();
        self.next_acceptor_check_at = self.now + self.settings.answer_within * (0.5 + spread);
        if !self.file_is_durable {
            return self.save(out);
        }
        let Some(voter) = &self.acceptor else { return };
        if voter.votes {
            for (of, to) in self.known_voters() {
                self.send_request(
                    to,
                    Question::Look,
                    RequestPurpose::Look { of, next: None },
                    out,
                );
            }
            return;
        }
        let (of, voter_id) = (self.settings.me.clone(), voter.kept.voter_id);
        for (name, to) in self.known_voters() {
            let question = Question::Witness {
                of: of.clone(),
                voter_id,
            };
            self.send_request(to, question, RequestPurpose::Witness { of: name }, out);
        }
    }

    pub(super) fn write_count_received(&mut self, by: Name, writes: u64, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.acceptor else {
            return;
        };
        if voter.votes || voter.kept.promised.is_none() {
            return;
        }
        if writes > voter.kept.writes {
            return self.discard_old_file(out);
        }
        let me = self.settings.me.clone();
        self.confirmed_by.push(by);
        let confirmed =
            |name: &Name, _: &VoterRecord| *name == me || self.confirmed_by.contains(name);
        let accepted = voter.kept.accepted.as_ref().map(|(_, value)| &value.voters);
        let voters = accepted.or(voter.kept.bootstrap.as_ref());
        // All of the others, or a majority once there was time for all: who lags behind may have heard of nothing.
        let all = voters.is_none_or(|v| {
            v.all()
                .iter()
                .all(|(name, voter_record)| confirmed(name, voter_record))
        });
        let waited = self.now - self.started_at >= self.settings.lease.lease;
        let enough = all || (waited && voters.is_none_or(|v| v.majority(confirmed)));
        if enough {
            voter.votes = true;
            self.confirmed_by.push(me);
        }
    }

    /// A voter showed what it has.
    pub(super) fn voter_state_received(&mut self, of: &Name, seen: Seen, out: &mut Vec<Output>) {
        if self.bootstrap.is_none() {
            self.bootstrap.clone_from(&seen.bootstrap);
        }
        if let Some((ballot, value)) = seen.newest {
            self.observe_state(Some(ballot), value);
        } else if self.newest.is_none() && self.bootstrap.is_some() {
            self.update_lease_observers();
        }
        self.try_bootstrap(of, seen.voter_id, out);
    }

    /// The first start: a blank voter that has heard every other voter of the settings knows their lives. One that
    /// hears of a first start that was takes that; it votes if that names its life, else it waits to be let in.
    fn try_bootstrap(&mut self, of: &Name, voter_id: Option<VoterId>, out: &mut Vec<Output>) {
        let bootstrap = self.bootstrap.clone();
        let Some(voter) = self
            .acceptor
            .as_mut()
            .filter(|v| self.file_is_durable && v.kept.bootstrap.is_none())
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
            self.bootstrap_voter_ids.insert(of.clone(), voter_id);
        }
        let life_of = |name: &Name| match *name == me.0 {
            true => Some(me.1),
            false => self.bootstrap_voter_ids.get(name).copied(),
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
