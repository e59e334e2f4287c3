//! The member as an acceptor: the voter's file, the fleet's bootstrap, and whether the member may vote.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::register::AcceptorResponse;
use crate::coordination::state::VoterRecord;
use nanorand::Rng;

/// The status of the voter's file, which determines whether the member can vote.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AcceptorFile {
    /// The driver has not read the file yet.
    NotLoaded,
    /// This member has no voter's file according to its settings, and never votes.
    NotConfigured,
    /// The file was loaded, or did not exist and is to be created.
    Usable,
    /// The file cannot be trusted, so the member does not vote. The value is the human-readable reason.
    Unusable(String),
}

/// The writes of the voter's file, of which at most one is in flight, and the answers that wait for them.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptorStorage {
    /// Whether the file was written at least once, so that the voter's identity is durable and may be announced.
    is_created: bool,
    /// The write that has begun and not ended; `None` if the file is not being written.
    write_in_flight: Option<SaveId>,
    /// The state that the write in flight stores.
    in_flight_state: Option<Box<AcceptorState>>,
    /// The newest state that is durable.
    durable_state: Option<Box<AcceptorState>>,
    saves_started: u64,
    /// Answers that wait for the write in flight.
    answers: Vec<(CallId, Answer)>,
    /// Answers that wait for the write after the one in flight.
    answers_for_next_write: Vec<(CallId, Answer)>,
}

impl Member {
    /// Handles the result of reading the voter's file when the process starts.
    pub(super) fn file_loaded(
        &mut self,
        file: Result<Option<AcceptorState>, UnusableFile>,
        out: &mut Vec<Output>,
    ) {
        match file {
            Ok(Some(state)) if state.name == self.settings.own_name => self.recover_acceptor(state),
            Ok(Some(state)) => {
                let reason = format!(
                    "the voter's file belongs to {}: this member does not vote",
                    state.name.0
                );
                out.push(Output::Warn(reason.clone()));
                self.file = AcceptorFile::Unusable(reason);
            }
            Ok(None) => {
                self.file = AcceptorFile::Usable;
                self.create_new_voter(out);
            }
            Err(UnusableFile { reason }) => {
                out.push(Output::Warn(format!(
                    "cannot use the voter's file, this member does not vote: {reason}"
                )));
                self.file = AcceptorFile::Unusable(reason);
            }
        }
        self.next_acceptor_check_at = self.now;
    }

    fn recover_acceptor(&mut self, state: AcceptorState) {
        self.storage.is_created = true;
        self.bootstrap = state.bootstrap.clone();
        if let Some((ballot, value)) = &state.accepted {
            self.observe_state(Some(ballot.clone()), value.clone());
        }
        self.storage.durable_state = Some(Box::new(state.clone()));
        self.acceptor = Some(Acceptor::recover(state));
        self.file = AcceptorFile::Usable;
    }

    /// Replaces the acceptor by one that has a new identity and has never voted, and writes its file.
    fn create_new_voter(&mut self, out: &mut Vec<Output>) {
        let voter_id = VoterId(self.rng.generate::<u64>() | 1);
        self.acceptor = Some(Acceptor::new(self.settings.own_name.clone(), voter_id));
        self.storage.is_created = false;
        self.confirmed_by = Vec::new();
        self.save_acceptor(out);
    }

    /// Discards a file that lacks writes which this voter has already reported in answers. The voter has forgotten
    /// promises and must not vote under its identity any more.
    fn discard_outdated_file(&mut self, out: &mut Vec<Output>) {
        out.push(Output::Warn(
            "the voter's file is outdated: this member does not vote until an operator adds it as a voter \
             again"
                .to_owned(),
        ));
        self.count("old files");
        self.create_new_voter(out);
    }

    /// Begins to write the file, unless a write is in flight. In that case the next write begins when the present write
    /// ends.
    pub(super) fn save_acceptor(&mut self, out: &mut Vec<Output>) {
        let (None, Some(acceptor)) = (self.storage.write_in_flight, &self.acceptor) else {
            return;
        };
        let storage = &mut self.storage;
        storage.saves_started += 1;
        let number = SaveId(storage.saves_started);
        let state = Box::new(acceptor.state.clone());
        storage.in_flight_state = Some(state.clone());
        out.push(Output::Save { number, state });
        storage.write_in_flight = Some(number);
        storage.answers = std::mem::take(&mut storage.answers_for_next_write);
        self.count("saves");
    }

    /// Handles the end of a write: sends the answers that waited for the write if it is durable, and drops them
    /// otherwise.
    pub(super) fn file_saved(&mut self, number: SaveId, is_durable: bool, out: &mut Vec<Output>) {
        let storage = &mut self.storage;
        if storage.write_in_flight != Some(number) {
            return;
        }
        storage.write_in_flight = None;
        let answers = std::mem::take(&mut storage.answers);
        let state = storage.in_flight_state.take();
        if is_durable {
            storage.durable_state = state;
            storage.is_created = true;
            let answer_call = |(call, answer)| Output::Answer { call, answer };
            out.extend(answers.into_iter().map(answer_call));
        } else {
            // Guards against a full or failing disk: if the process ended after it had sent an answer whose state is
            // not durable, the voter would break its promise. The answers are dropped, and the promises stay in memory.
            self.count("saves failed");
            out.push(Output::Warn(
                "could not write the voter's file: dropped the answers that waited for the write"
                    .to_owned(),
            ));
        }
        if !self.storage.answers_for_next_write.is_empty()
            || (!self.storage.is_created && is_durable)
        {
            self.save_acceptor(out);
        }
    }

    /// Handles a proposer's request. The answer is sent once the state that it reports is durable.
    pub(super) fn proposer_request(
        &mut self,
        call: CallId,
        request: &AcceptorRequest,
        out: &mut Vec<Output>,
    ) {
        let response = self.acceptor_response(request);
        if let (AcceptorReply::Accepted { .. }, AcceptorRequest::Accept { ballot, value, .. }) =
            (&response.reply, request)
        {
            self.observe_state(Some(ballot.clone()), value.clone());
        }
        let answer = Answer::Vote(response.reply);
        let state = self.acceptor.as_ref().map(|acceptor| &acceptor.state);
        // Guards against requests that are sent again while their answer waits for a slow disk: one write per copy of a
        // request would keep the disk busy until the request has timed out. The answer to a copy waits for the write
        // that contains the state that the answer reports.
        if !response.needs_durable_state || self.storage.durable_state.as_deref() == state {
            out.push(Output::Answer { call, answer });
        } else if is_injected(InjectedFault::AnswerBeforeDurable) {
            out.push(Output::Answer { call, answer });
            self.save_acceptor(out);
        } else if self.storage.in_flight_state.as_deref() == state {
            self.storage.answers.push((call, answer));
        } else {
            self.storage.answers_for_next_write.push((call, answer));
            self.save_acceptor(out);
        }
        let acceptor = self.acceptor.as_ref();
        if acceptor.is_some_and(|acceptor| !acceptor.votes && !self.awaits_confirmation()) {
            self.discard_outdated_file(out);
        }
    }

    fn acceptor_response(&mut self, request: &AcceptorRequest) -> AcceptorResponse {
        match &mut self.acceptor {
            Some(acceptor) if self.storage.is_created => acceptor.handle(request),
            _ => AcceptorResponse {
                reply: AcceptorReply::NotVoting,
                needs_durable_state: false,
            },
        }
    }

    /// Whether other voters still have to confirm that the file is not outdated.
    fn awaits_confirmation(&self) -> bool {
        let Some(acceptor) = &self.acceptor else {
            return false;
        };
        acceptor.state.promised.is_some() && !self.confirmed_by.contains(&self.settings.own_name)
    }

    /// The answer to [`MemberRequest::VoterState`]: this voter's identity, bootstrap and accepted value.
    pub(super) fn voter_state(&self) -> VoterState {
        let acceptor = self.durable_acceptor();
        VoterState {
            voter_id: acceptor.map(|acceptor| acceptor.state.voter_id),
            is_voting: acceptor.is_some_and(|acceptor| acceptor.votes),
            bootstrap: acceptor.and_then(|acceptor| acceptor.state.bootstrap.clone()),
            newest: acceptor.and_then(|acceptor| acceptor.state.accepted.clone()),
        }
    }

    /// The acceptor, or `None` until its identity is durable.
    fn durable_acceptor(&self) -> Option<&Acceptor> {
        self.acceptor.as_ref().filter(|_| self.storage.is_created)
    }

    /// Whether [`Member::check_acceptor`] has something to do: the file has not been created, the bootstrap is unknown,
    /// or other voters still have to confirm the file.
    fn acceptor_needs_check(&self) -> bool {
        if self.file != AcceptorFile::Usable {
            return false;
        }
        let Some(acceptor) = &self.acceptor else {
            return false;
        };
        let state = &acceptor.state;
        let is_uninitialized = state.bootstrap.is_none() && state.promised.is_none();
        let awaits_bootstrap = is_uninitialized && self.settings.voters.contains_key(&state.name);
        !self.storage.is_created || !acceptor.votes || awaits_bootstrap
    }

    /// When [`Member::check_acceptor`] is to be called next; `None` if it has nothing to do.
    pub(super) fn next_acceptor_check(&self) -> Option<Ms> {
        self.acceptor_needs_check()
            .then_some(self.next_acceptor_check_at)
    }

    /// Creates the file, asks other voters for the bootstrap, or asks them to confirm the file. A later call repeats
    /// the step if it has not succeeded.
    pub(super) fn check_acceptor(&mut self, out: &mut Vec<Output>) {
        if !self.acceptor_needs_check() || self.now < self.next_acceptor_check_at {
            return;
        }
        let jitter: f64 = self.rng.generate();
        self.next_acceptor_check_at = self.now + self.settings.request_timeout * (0.5 + jitter);
        if !self.storage.is_created {
            return self.save_acceptor(out);
        }
        let Some(acceptor) = &self.acceptor else {
            return;
        };
        if acceptor.votes {
            self.query_all_voters(out);
        } else {
            let voter_id = acceptor.state.voter_id;
            self.ask_for_write_counts(voter_id, out);
        }
    }

    fn ask_for_write_counts(&mut self, voter_id: VoterId, out: &mut Vec<Output>) {
        let me = self.settings.own_name.clone();
        for (of, to) in self.known_voters() {
            let question = MemberRequest::WriteCount {
                voter: me.clone(),
                voter_id,
            };
            let purpose = RequestPurpose::ConfirmFile { of };
            self.send_request(to, question, purpose, out);
        }
    }

    /// Handles the answer of the voter `by`, which knows the write count `writes` for this voter's file.
    ///
    /// Guards against an outdated file, see [`Acceptor::detect_outdated_file`]: the acceptor votes again once all
    /// voters have confirmed its file, or a majority has confirmed it and a lease duration has passed since the process
    /// started.
    pub(super) fn write_count_received(&mut self, by: Name, writes: u64, out: &mut Vec<Output>) {
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        if acceptor.votes || acceptor.state.promised.is_none() {
            return;
        }
        if writes > acceptor.state.writes {
            return self.discard_outdated_file(out);
        }
        self.confirmed_by.push(by);
        if self.enough_voters_confirmed_file() {
            if let Some(acceptor) = &mut self.acceptor {
                acceptor.votes = true;
            }
            self.confirmed_by.push(self.settings.own_name.clone());
        }
    }

    /// Whether enough voters have confirmed that the acceptor's file is not outdated.
    fn enough_voters_confirmed_file(&self) -> bool {
        let state = self.acceptor.as_ref().map(|acceptor| &acceptor.state);
        let accepted = state.and_then(|state| state.accepted.as_ref());
        let bootstrap = state.and_then(|state| state.bootstrap.as_ref());
        let Some(voters) = accepted.map(|(_, value)| &value.voters).or(bootstrap) else {
            return true;
        };
        let has_confirmed = |name: &Name, _: &VoterRecord| {
            *name == self.settings.own_name || self.confirmed_by.contains(name)
        };
        let mut all = voters.all().into_iter();
        if all.all(|(name, voter_record)| has_confirmed(&name, &voter_record)) {
            return true;
        }
        // A majority is enough only after the other voters have had time to answer: a voter that has missed messages
        // may not know the newest write count.
        let has_waited = self.now - self.started_at >= self.settings.lease.lease;
        has_waited && voters.has_quorum(has_confirmed)
    }

    /// Records the bootstrap and the accepted value that another voter returned, and bootstraps the fleet if all voters
    /// are now known.
    pub(super) fn voter_state_received(
        &mut self,
        of: &Name,
        voter_state: VoterState,
        out: &mut Vec<Output>,
    ) {
        if self.bootstrap.is_none() {
            self.bootstrap.clone_from(&voter_state.bootstrap);
        }
        if let Some((ballot, value)) = voter_state.newest {
            self.observe_state(Some(ballot), value);
        } else if self.newest.is_none() && self.bootstrap.is_some() {
            self.update_lease_observers();
        }
        self.try_bootstrap(of, voter_state.voter_id, out);
    }

    /// Bootstraps the fleet: a voter that has neither a bootstrap nor a promise stores the voters in the settings
    /// as the fleet's initial voters. This happens once the voter knows the identities of all of them.
    ///
    /// Guards against two different bootstraps, as two sets of voters would choose values independently. A voter adopts
    /// a bootstrap that another voter has made. The voter then votes if the bootstrap contains its identity, and
    /// otherwise waits until an operator adds it as a voter.
    fn try_bootstrap(&mut self, of: &Name, voter_id: Option<VoterId>, out: &mut Vec<Output>) {
        let known_bootstrap = self.bootstrap.clone();
        let Some(state) = self.durable_acceptor().map(|acceptor| &acceptor.state) else {
            return;
        };
        let (me, own_id) = (state.name.clone(), state.voter_id);
        let is_uninitialized = state.bootstrap.is_none() && state.promised.is_none();
        if !is_uninitialized || !self.settings.voters.contains_key(&me) {
            return;
        }
        if let Some(bootstrap) = known_bootstrap {
            let own_record = bootstrap.records.get(&me);
            if own_record.is_some_and(|voter_record| voter_record.voter_id == own_id) {
                self.store_bootstrap(bootstrap, out);
            }
            return;
        }
        if let Some(voter_id) = voter_id.filter(|_| self.settings.voters.contains_key(of)) {
            self.bootstrap_voter_ids.insert(of.clone(), voter_id);
        }
        if let Some(first_voters) = self.bootstrap_voters(own_id) {
            let bootstrap = Voters {
                generation: 1,
                records: first_voters,
                former: None,
            };
            out.push(Output::Info(
                "fleet bootstrap: the identities of all configured voters are known".to_owned(),
            ));
            self.store_bootstrap(bootstrap, out);
        }
    }

    fn store_bootstrap(&mut self, bootstrap: Voters, out: &mut Vec<Output>) {
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.state.bootstrap = Some(bootstrap);
        }
        self.save_acceptor(out);
    }

    /// The voters in the settings with their identities, as the initial voters; `None` until all identities are known.
    fn bootstrap_voters(&self, own_id: VoterId) -> Option<BTreeMap<Name, VoterRecord>> {
        let record = |(name, address): (&Name, &Address)| {
            let voter_id = match *name == self.settings.own_name {
                true => own_id,
                false => *self.bootstrap_voter_ids.get(name)?,
            };
            let voter_record = VoterRecord {
                voter_id,
                address: address.clone(),
            };
            Some((name.clone(), voter_record))
        };
        self.settings.voters.iter().map(record).collect()
    }
}
