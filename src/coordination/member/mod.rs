//! One dispatcher as a member of its fleet: an acceptor and a proposer of the replicated state, a holder of leases, and
//! either the membership leader or a member that sends heartbeats to the leader.
//!
//! [`Member::handle`] takes an [`Input`] and appends the [`Output`]s that the driver has to perform.
//! [`Member::next_call_at`] returns the time of the next call that is needed even if no input arrives.

mod acceptor;
mod heartbeat;
mod leases;
mod membership_report;
mod messages;
mod operator_requests;
mod proposer;
mod requests;
mod rollout;
mod settings;

pub use messages::{
    Answer, CallId, HeartbeatReply, Input, LocalHealth, MemberRequest, MemberRequestId, Output,
    SaveId, UnusableFile, VoterState,
};
pub use operator_requests::{
    AbandonedUnit, MemberSummary, OperatorRequest, PermitStatus, Reply, RolloutRequest,
    RolloutStatus, Status, VoterStatus, MAX_NAME_BYTES,
};
pub use rollout::MAX_REPORTS_PER_HEARTBEAT;
pub use settings::FleetSettings;

use self::acceptor::{AcceptorFile, AcceptorStorage};
use self::leases::{is_membership_lease, membership_lease, LeaseHandover, LeaseJob};
use self::membership_report::ReportReceiver;
use self::proposer::{PendingCommand, ProposalInFlight, ProposalReason};
use self::requests::{NextVoter, RequestInFlight, RequestPurpose};
use super::disruption_budget::{OutcomeCounts, Unit, UnitKind};
use super::fault_injection::{is_injected, InjectedFault};
use super::fencing::{FencedCommand, FencingDecision, Receiver, ReceiverClock, ReceiverTimestamp};
use super::lease::{HeldLease, LeaseObserver};
use super::membership::{EngineReport, Heartbeat, Membership};
use super::register::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Proposal, ProposerKnowledge,
};
use super::rollout::PermitId;
use super::state::{Command, LeaseHolder, ReplicatedState, VoterId, Voters};
use super::{Address, Incarnation, LeaseName, MonotonicClock, Name, Term};
use crate::interface::Ms;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// The name of the lease whose holder is the membership leader.
pub const MEMBERSHIP_LEASE: &str = "roll-call";

/// The state machine of one dispatcher's membership in its fleet.
#[derive(Clone, Debug)]
pub struct Member {
    settings: FleetSettings,
    clock: MonotonicClock,
    /// The time of the input that is being handled, from [`MonotonicClock`] in milliseconds.
    now: Ms,
    rng: WyRand,
    started_at: Ms,
    ready: bool,
    utilization: f64,
    stopping: bool,
    stopped: bool,

    // Fields for this member's role as an acceptor.
    file: AcceptorFile,
    acceptor: Option<Acceptor>,
    storage: AcceptorStorage,
    next_acceptor_check_at: Ms,
    /// The identities of the voters in the settings that have answered so far; collected for the bootstrap.
    bootstrap_voter_ids: BTreeMap<Name, VoterId>,
    /// The voters that have confirmed that the acceptor's file is not outdated; includes this member once voting
    /// resumes.
    confirmed_by: Vec<Name>,

    // Fields for this member's role as a proposer.
    knowledge: ProposerKnowledge,
    /// The newest replicated state seen, chosen or not, with its ballot.
    newest: Option<(Option<Ballot>, ReplicatedState)>,
    /// The newest replicated state that this member knows to be chosen.
    chosen: Option<ReplicatedState>,
    bootstrap: Option<Voters>,
    highest_round: u64,
    proposal: Option<ProposalInFlight>,
    /// No proposal begins before this time; set after a proposal that conflicted or was rejected.
    next_proposal_at: Ms,
    consecutive_conflicts: u32,
    pending_commands: Vec<PendingCommand>,

    // Fields for the leases that this member holds or contends for, and for jobs.
    lease_observers: BTreeMap<LeaseName, LeaseObserver>,
    held_leases: BTreeMap<LeaseName, HeldLease>,
    handovers: BTreeMap<LeaseName, LeaseHandover>,
    jobs: BTreeMap<LeaseName, LeaseJob>,
    /// When this member next asks a voter for the newest value. Used only while this member contends for a lease.
    next_query_at: Ms,

    // Fields for heartbeats, membership reports and this member's role as the membership leader.
    /// The leader's view of the fleet; `Some` while this member is the membership leader.
    membership: Option<Membership>,
    membership_leader: Option<(Term, LeaseHolder)>,
    leader_answered_at: Option<Ms>,
    next_heartbeat_at: Ms,
    heartbeat_interval: Ms,
    report_receivers: Vec<ReportReceiver>,
    commands_sent: u64,
    receiver: Receiver,

    // Fields for disruption permits and rollouts.
    disruptions: rollout::RolloutState,

    // Fields for requests to other members and requests from operators.
    requests_sent: u64,
    in_flight: BTreeMap<MemberRequestId, RequestInFlight>,
    voter_queries: BTreeMap<CallId, operator_requests::VoterQuery>,
    counts: BTreeMap<&'static str, u64>,
}

impl Member {
    /// Creates a member. The member starts when it handles its first input.
    pub fn new(settings: FleetSettings) -> Self {
        let file = match settings.may_vote {
            true => AcceptorFile::NotLoaded,
            false => AcceptorFile::NotConfigured,
        };
        Member {
            clock: MonotonicClock::default(),
            now: 0.0,
            rng: WyRand::new_seed(settings.seed),
            started_at: 0.0,
            ready: false,
            utilization: 0.0,
            stopping: false,
            stopped: false,
            file,
            acceptor: None,
            storage: AcceptorStorage::default(),
            next_acceptor_check_at: 0.0,
            bootstrap_voter_ids: BTreeMap::new(),
            confirmed_by: Vec::new(),
            knowledge: ProposerKnowledge::default(),
            newest: None,
            chosen: None,
            bootstrap: None,
            highest_round: 0,
            proposal: None,
            next_proposal_at: 0.0,
            consecutive_conflicts: 0,
            pending_commands: Vec::new(),
            lease_observers: BTreeMap::new(),
            held_leases: BTreeMap::new(),
            handovers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_query_at: 0.0,
            membership: None,
            membership_leader: None,
            leader_answered_at: None,
            next_heartbeat_at: 0.0,
            heartbeat_interval: settings.heartbeat,
            report_receivers: vec![ReportReceiver::default(); settings.report_receivers.len()],
            commands_sent: 0,
            receiver: Receiver::new(settings.incarnation, settings.lease.drift),
            disruptions: rollout::RolloutState::default(),
            requests_sent: 0,
            in_flight: BTreeMap::new(),
            voter_queries: BTreeMap::new(),
            counts: BTreeMap::new(),
            settings,
        }
    }

    /// Handles an input, and appends the outputs that the driver has to perform to `out`. `reading` is the present
    /// reading of the clock in milliseconds.
    pub fn handle(&mut self, reading: Ms, input: Input, out: &mut Vec<Output>) {
        self.advance_clock(reading, out);
        // Expired leases are dropped before the input is handled, so that the member does not act under an expired
        // lease, however long the process was suspended.
        self.drop_expired(out);
        match input {
            Input::Loaded(file) => self.file_loaded(file, out),
            Input::Saved { number, is_durable } => self.file_saved(number, is_durable, out),
            Input::RequestReceived { call, question } => self.handle_request(call, question, out),
            Input::AnswerReceived { request_id, answer } => {
                self.answer_received(request_id, answer, out)
            }
            Input::LocalHealth(local_health) => self.local_health(local_health),
            Input::Engines(engines) => self.set_engines(engines),
            Input::Tick => {}
            Input::Stop => self.stopping = true,
        }
        self.run_due_tasks(out);
        self.stop_if_done(out);
    }

    fn run_due_tasks(&mut self, out: &mut Vec<Output>) {
        self.resend_requests(out);
        self.expire_requests(out);
        self.check_acceptor(out);
        self.run_rollout_controller();
        self.advance(out);
        self.send_heartbeat_if_due(out);
        self.send_membership_reports(out);
        self.send_permit_notices(out);
        self.confirm_halt(out);
        self.finish_voter_queries(out);
    }

    fn stop_if_done(&mut self, out: &mut Vec<Output>) {
        let holds_nothing = self.held_leases.is_empty() && self.handovers.is_empty();
        if self.stopping && !self.stopped && holds_nothing {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    /// When [`Member::handle`] has to be called with [`Input::Tick`], as a reading of the clock in milliseconds;
    /// infinite if nothing is due.
    pub fn next_call_at(&self) -> Ms {
        let requests = self.in_flight.values().map(RequestInFlight::due_at);
        let voter_queries = self
            .voter_queries
            .values()
            .map(|voter_query| voter_query.expires_at());
        let next_call_at = [self.next_heartbeat_at]
            .into_iter()
            .chain(requests)
            .chain(self.next_acceptor_check())
            .chain(self.lease_timers())
            .chain(self.next_report_at())
            .chain(self.next_rollout_event_at())
            .chain(voter_queries)
            .fold(f64::INFINITY, f64::min);
        self.clock.to_reading(next_call_at.max(self.now))
    }

    /// The leases that this member holds and that have not expired, with their terms.
    pub fn held(&self) -> impl Iterator<Item = (&LeaseName, Term)> {
        self.held_leases
            .iter()
            .filter(|(_, held)| held.remaining(self.now) > 0.0)
            .map(|(lease_name, held)| (lease_name, held.term))
    }

    /// The number of events of each kind since this process started, by event name.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// The members of the fleet; `None` unless this member is the membership leader.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// The newest replicated state seen, chosen or not; `None` before the first one.
    pub fn newest(&self) -> Option<&ReplicatedState> {
        self.newest.as_ref().map(|(_, value)| value)
    }

    fn advance_clock(&mut self, reading: Ms, out: &mut Vec<Output>) {
        let is_first = self.counts.is_empty();
        let (now, went_back) = self.clock.advance(reading);
        self.now = now;
        if is_first {
            self.start();
        }
        if went_back {
            self.clock_went_back(out);
        }
    }

    fn start(&mut self) {
        self.count("starts");
        self.started_at = self.now;
        self.next_query_at = self.now;
        // A random first interval keeps hundreds of members that start together from sending heartbeats together.
        let phase: f64 = self.rng.generate();
        self.next_heartbeat_at = self.now + phase * self.settings.heartbeat;
        let observer = LeaseObserver::new(self.now, &mut self.rng);
        self.lease_observers.insert(membership_lease(), observer);
    }

    fn count(&mut self, event: &'static str) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// Handles a clock that was set back.
    ///
    /// Guards against a lease that lasts longer on this clock than the time for which other members wait. All leases of
    /// this member expire now, the timestamps that senders received become invalid, and the proposal in flight is
    /// dropped so that it grants no lease.
    fn clock_went_back(&mut self, out: &mut Vec<Output>) {
        self.count("clock went back");
        self.receiver.clock_went_back();
        if is_injected(InjectedFault::ClockStepBackIgnored) {
            return;
        }
        out.push(Output::Warn(
            "the clock was set back: dropped all leases that were held or requested".to_owned(),
        ));
        let handed_over = self
            .handovers
            .values_mut()
            .map(|handover| &mut handover.held);
        for held in self.held_leases.values_mut().chain(handed_over) {
            held.expires_at = self.now;
        }
        self.proposal = None;
    }

    /// The voters in the newest replicated state, or the voters of the bootstrap if no state was seen.
    fn known_voter_set(&self) -> Option<&Voters> {
        let newest = self.newest.as_ref().map(|(_, value)| &value.voters);
        let acceptor = self.acceptor.as_ref();
        let stored_bootstrap = acceptor.and_then(|acceptor| acceptor.state.bootstrap.as_ref());
        newest.or(stored_bootstrap).or(self.bootstrap.as_ref())
    }

    /// The addresses of the other voters, including the voters in the settings.
    fn known_voters(&self) -> BTreeMap<Name, Address> {
        let mut known = self.settings.voters.clone();
        if let Some(voters) = self.known_voter_set() {
            let records = voters.all().into_iter();
            known.extend(records.map(|(name, record)| (name, record.address)));
        }
        known.remove(&self.settings.own_name);
        known
    }

    /// The name, incarnation and address of this process, for commands and messages.
    fn own_holder(&self) -> LeaseHolder {
        LeaseHolder {
            name: self.settings.own_name.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address.clone(),
        }
    }
}
