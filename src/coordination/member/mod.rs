//! One dispatcher's part in the fleet: a voter if its settings say so, a contender for duties, a caller of the roll
//! or one that answers it. One entry, [`Member::handle`]; what is to be done comes out; [`Member::wants_call_at`]
//! says when it wants to be called if nothing happens before.

mod acceptor;
mod heartbeat;
mod operator_requests;
mod proposer;
mod rollout;

pub use operator_requests::{
    AbandonedUnit, MemberLine, OperatorRequest, PermitStatus, Reply, RolloutRequest, RolloutStatus,
    Status, VoterLine, LONGEST_NAME,
};
pub use rollout::MAX_REPORTS;

use super::disruption_budget::{DisruptionBudget, OutcomeCounts, Unit, UnitKind};
use super::fencing::{FencedCommand, FencingDecision, Receiver, ReceiverClock, ReceiverTimestamp};
use super::lease::{HeldLease, LeaseObserver, LeaseSettings};
use super::membership::{EngineReport, Heartbeat, Membership};
use super::register::{
    self, Acceptor, AcceptorReply, AcceptorState, Ballot, Proposal, ProposerKnowledge,
};
use super::rollout::PermitId;
use super::state::{Command, LeaseHolder, ReplicatedState, VoterId, Voters};
use super::{Address, Incarnation, LeaseName, MonotonicClock, Name, Term};
use crate::interface::Ms;
use nanorand::WyRand;
use std::collections::BTreeMap;

/// The roll-call's name as a duty.
pub const MEMBERSHIP_LEASE: &str = "roll-call";

/// What a dispatcher is told of its fleet at its start. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name: members of another are no members.
    pub fleet: String,
    pub me: Name,
    pub incarnation: Incarnation,
    /// Where the others reach this dispatcher's fleet service.
    pub address: Address,
    pub zone: String,
    pub label: String,
    /// The voters of the first start, and whom to ask who votes now.
    pub voters: BTreeMap<Name, Address>,
    /// It has a file to vote with.
    pub may_vote: bool,
    pub lease: LeaseSettings,
    /// What is not answered within this is lost.
    pub answer_within: Ms,
    /// The least time between two beats.
    pub heartbeat: Ms,
    /// The zone whose dispatchers are to call the roll, if there is one.
    pub prefers: Option<String>,
    /// Who is told the roll-call, and how often.
    pub tells: Vec<Address>,
    pub tell_every: Ms,
    /// How many dispatchers and how many engines may be out at once, and who lists engines as draining.
    pub bounds: (DisruptionBudget, DisruptionBudget),
    pub keeper: Option<Address>,
    pub seed: u64,
}

/// A call that came from outside, as the caller numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);
/// A question that went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);
/// A write of the voter's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SaveId(pub u64);

/// What members ask each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    Vote(register::AcceptorRequest),
    /// What did you, a voter, take last?
    Look,
    /// How many writes of this voter have you heard of?
    Witness {
        of: Name,
        voter_id: VoterId,
    },
    Heartbeat(Heartbeat),
    /// A duty was given up for you.
    Nudge {
        lease_name: LeaseName,
    },
    FencedCommand(FencedCommand),
    /// Has this turn begun? If not, it is not to.
    AskBack {
        permit: PermitId,
        of: UnitKind,
        who: Name,
        incarnation: Incarnation,
    },
    Operator(OperatorRequest),
}

/// What is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Vote(AcceptorReply),
    Seen(Seen),
    Witnessed {
        writes: u64,
    },
    Heard(HeartbeatReply),
    Done,
    FencingDecision {
        verdict: FencingDecision,
        receiver_timestamp: ReceiverTimestamp,
    },
    Begun {
        begun: bool,
    },
    Reply(Reply),
}

/// What a voter shows of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// None if it is no voter, or has no file that it trusts.
    pub voter_id: Option<VoterId>,
    pub votes: bool,
    pub bootstrap: Option<Voters>,
    pub newest: Option<(Ballot, ReplicatedState)>,
}

/// What a beat is answered with.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReply {
    /// It was heard by the holder of the roll-call, of this term; else who that may be.
    pub heard: bool,
    pub holder: Option<(Term, LeaseHolder)>,
    /// When the next beat is wanted.
    pub every: Ms,
    /// The duties for which the member has a place, and which.
    pub places: Vec<(LeaseName, u32)>,
}

/// How the dispatcher fares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalHealth {
    pub ready: bool,
    pub load: f64,
    /// Tasks answered by this process so far.
    pub tally: OutcomeCounts,
    /// What it heard of some engines since it was last asked.
    pub reports: Vec<EngineReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// What is in the voter's file; an error is a file that cannot be trusted.
    Loaded(Result<Option<AcceptorState>, String>),
    /// A write of the file is over; `lasts`: it lasts for certain.
    Saved {
        number: SaveId,
        lasts: bool,
    },
    Asked {
        call: CallId,
        question: Question,
    },
    /// An answer, or none as the one asked was not reached.
    Answered {
        ask: QuestionId,
        answer: Option<Answer>,
    },
    LocalHealth(LocalHealth),
    /// The engines as this dispatcher's list has them.
    Engines(Vec<Unit>),
    Tick,
    /// Hands over what it holds and contends no more.
    Stop,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Ask {
        ask: QuestionId,
        to: Address,
        question: Question,
    },
    Answer {
        call: CallId,
        answer: Answer,
    },
    Save {
        number: SaveId,
        kept: Box<AcceptorState>,
    },
    /// A duty is held from now on, or no more.
    Holds {
        lease_name: LeaseName,
        term: Term,
        held: bool,
    },
    /// This process has its turn: it drains and ends in order, and its supervisor starts it again, under the label
    /// if one is named.
    PermitGranted {
        permit: PermitId,
        label: String,
    },
    Warn(String),
    Info(String),
    /// What it held is handed over.
    Stopped,
}

/// Why a question is out.
#[derive(Clone, Debug, PartialEq)]
enum Errand {
    Vote {
        from: Name,
        voter_id: VoterId,
        ballot: Ballot,
        taking: bool,
    },
    /// With whom to try next, by number and time, if this one does not answer.
    Look {
        of: Name,
        next: Option<(usize, usize)>,
    },
    /// A look whose answer an order waits for.
    Inspect {
        of: Name,
        call: CallId,
    },
    Witness {
        of: Name,
    },
    Heartbeat {
        to: Incarnation,
    },
    Nudge,
    FencedCommand {
        to: usize,
    },
    TurnAct {
        to: Address,
        permit: PermitId,
    },
    Revoke {
        permit: PermitId,
    },
    HaltAsk {
        permit: PermitId,
    },
    ByHand {
        call: CallId,
        note: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
struct Out {
    errand: Errand,
    until: Ms,
    /// When it is asked again, and how often yet: a lost message does not cost a try.
    again: Option<(Ms, u32)>,
    to: Address,
    question: Option<Box<Question>>,
}

/// What voters are asked is asked again so often in the time that it has.
const AGAIN: u32 = 2;

/// What a try is for.
#[derive(Clone, Debug, PartialEq)]
enum Purpose {
    Take(LeaseName),
    Renew,
    GiveUp(LeaseName),
    Wish(CallId),
    RolloutStep,
    Settle,
}

#[derive(Clone, Debug, PartialEq)]
struct Try {
    round: Proposal,
    purpose: Purpose,
    asked: Ms,
}

/// A duty that is being given up: nothing is done in its name any more.
#[derive(Clone, Debug, PartialEq)]
struct Giving {
    hold: HeldLease,
    next: Option<Name>,
    /// Where whoever is named is told.
    to: Option<Address>,
}

/// A job of the operators' that wants a duty held for it.
#[derive(Clone, Debug, PartialEq)]
struct Job {
    number: u64,
    asked: Ms,
}

/// A change that an operator asked for.
#[derive(Clone, Debug, PartialEq)]
struct Wish {
    call: CallId,
    change: Command,
    until: Ms,
}

/// A receiver of the roll-call's acts.
#[derive(Clone, Debug, Default, PartialEq)]
struct PermitNotice {
    known: ReceiverClock,
    next: Ms,
    out: bool,
    /// Acts that were not answered may still come there before this.
    unsure_until: Ms,
}

/// The voter's file.
#[derive(Clone, Debug, PartialEq)]
enum File {
    /// It was not read yet.
    Unread,
    /// There is none, and none is wanted.
    None,
    Good,
    /// It cannot be trusted: no voting.
    Bad(String),
}

/// One dispatcher in its fleet.
#[derive(Clone, Debug)]
pub struct Member {
    settings: FleetSettings,
    steady: MonotonicClock,
    now: Ms,
    rng: WyRand,
    began: Ms,
    ready: bool,
    load: f64,
    stopping: bool,
    stopped: bool,
    // The voter.
    file: File,
    voter: Option<Acceptor>,
    /// Its file was written at least once, so its life lasts.
    lasts: bool,
    saving: Option<SaveId>,
    /// What the write under way keeps, and what the last one kept that lasts.
    under_way: Option<Box<AcceptorState>>,
    durable: Option<Box<AcceptorState>>,
    saves: u64,
    /// Answers for when the write under way, and the one after it, lasts.
    after_save: Vec<(CallId, Answer)>,
    after_next: Vec<(CallId, Answer)>,
    next_care: Ms,
    /// Blank voters of the first start that were heard, and those that confirmed our file.
    lives: BTreeMap<Name, VoterId>,
    confirmed: Vec<Name>,
    // The proposer.
    knows: ProposerKnowledge,
    newest: Option<(Option<Ballot>, ReplicatedState)>,
    /// The newest value that is known to be agreed on.
    agreed: Option<ReplicatedState>,
    bootstrap: Option<Voters>,
    highest: u64,
    trying: Option<Try>,
    again_at: Ms,
    failures: u32,
    wishes: Vec<Wish>,
    // Duties.
    watches: BTreeMap<LeaseName, LeaseObserver>,
    holds: BTreeMap<LeaseName, HeldLease>,
    giving: BTreeMap<LeaseName, Giving>,
    jobs: BTreeMap<LeaseName, Job>,
    next_look: Ms,
    // The roll-call.
    roll: Option<Membership>,
    caller: Option<(Term, LeaseHolder)>,
    /// When the caller last heard us.
    heard: Option<Ms>,
    next_beat: Ms,
    every: Ms,
    told: Vec<PermitNotice>,
    acts: u64,
    receiver: Receiver,
    // Turns and releases.
    disruptions: rollout::RolloutState,
    // Questions.
    asks: u64,
    out: BTreeMap<QuestionId, Out>,
    inspecting: BTreeMap<CallId, operator_requests::Inspection>,
    counts: BTreeMap<&'static str, u64>,
}

impl Member {
    pub fn new(settings: FleetSettings) -> Self {
        let rng = WyRand::new_seed(settings.seed);
        let receiver = Receiver::new(settings.incarnation, settings.lease.drift);
        let (told, every) = (
            vec![PermitNotice::default(); settings.tells.len()],
            settings.heartbeat,
        );
        Member {
            steady: MonotonicClock::default(),
            now: 0.0,
            rng,
            began: 0.0,
            ready: false,
            load: 0.0,
            stopping: false,
            stopped: false,
            file: if settings.may_vote {
                File::Unread
            } else {
                File::None
            },
            voter: None,
            lasts: false,
            saving: None,
            under_way: None,
            durable: None,
            saves: 0,
            after_save: Vec::new(),
            after_next: Vec::new(),
            next_care: 0.0,
            lives: BTreeMap::new(),
            confirmed: Vec::new(),
            knows: ProposerKnowledge::default(),
            newest: None,
            agreed: None,
            bootstrap: None,
            highest: 0,
            trying: None,
            again_at: 0.0,
            failures: 0,
            wishes: Vec::new(),
            watches: BTreeMap::new(),
            holds: BTreeMap::new(),
            giving: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_look: 0.0,
            roll: None,
            caller: None,
            heard: None,
            next_beat: 0.0,
            every,
            told,
            acts: 0,
            receiver,
            disruptions: rollout::RolloutState::default(),
            asks: 0,
            out: BTreeMap::new(),
            inspecting: BTreeMap::new(),
            counts: BTreeMap::new(),
            settings,
        }
    }

    /// Takes something in at a reading of the clock, and says what is to be done.
    pub fn handle(&mut self, read: Ms, input: Input, out: &mut Vec<Output>) {
        let first = self.counts.is_empty();
        let (now, went_back) = self.steady.take(read);
        self.now = now;
        if first {
            self.begin();
        }
        if went_back {
            self.clock_went_back(out);
        }
        // What is over is over before anything else is looked at, however long the process slept.
        self.drop_ended(out);
        match input {
            Input::Loaded(file) => self.loaded(file, out),
            Input::Saved { number, lasts } => self.saved(number, lasts, out),
            Input::Asked { call, question } => self.asked(call, question, out),
            Input::Answered { ask, answer } => {
                if let Some(asked) = self.out.remove(&ask) {
                    self.answered(asked.errand, answer, out);
                }
            }
            Input::LocalHealth(local_health) => self.local_health(local_health),
            Input::Engines(engines) => self.engines(engines),
            Input::Tick => {}
            Input::Stop => self.stopping = true,
        }
        self.ask_again(out);
        self.give_up_waiting(out);
        self.care_for_voter(out);
        self.run_rollout_controller();
        self.go_on(out);
        self.heartbeat(out);
        self.tell(out);
        self.send_permit_notices(out);
        self.confirm_halt(out);
        self.inspect(out);
        if self.stopping && !self.stopped && self.holds.is_empty() && self.giving.is_empty() {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    /// When it wants to be called, on the clock that is read.
    pub fn wants_call_at(&self) -> Ms {
        let mut at = f64::INFINITY;
        let mut sooner = |when: Ms| at = at.min(when);
        self.out
            .values()
            .for_each(|o| sooner(o.again.map_or(o.until, |(at, _)| at.min(o.until))));
        sooner(self.next_beat);
        self.care_at().into_iter().for_each(&mut sooner);
        self.go_on_at().into_iter().for_each(&mut sooner);
        self.tell_at().into_iter().for_each(&mut sooner);
        self.rollout_wakes_at().into_iter().for_each(&mut sooner);
        self.inspecting.values().for_each(|i| sooner(i.until()));
        self.steady.reading_at(at.max(self.now))
    }

    /// The duties held now, with their terms.
    pub fn held(&self) -> impl Iterator<Item = (&LeaseName, Term)> {
        self.holds
            .iter()
            .filter(|(_, hold)| hold.left(self.now) > 0.0)
            .map(|(lease_name, hold)| (lease_name, hold.term))
    }

    /// How often what happened.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// The roll-call, where this dispatcher calls it.
    pub fn roll(&self) -> Option<&Membership> {
        self.roll.as_ref()
    }

    /// The release as this dispatcher sees it.
    pub fn release_status(&self) -> RolloutStatus {
        self.rollout_status()
    }

    /// The newest value seen, agreed on or not.
    pub fn newest(&self) -> Option<&ReplicatedState> {
        self.newest.as_ref().map(|(_, value)| value)
    }

    fn begin(&mut self) {
        use nanorand::Rng;
        self.count("starts");
        (self.began, self.next_look) = (self.now, self.now);
        // Hundreds that start at once do not beat at once.
        let phase: f64 = self.rng.generate();
        self.next_beat = self.now + phase * self.settings.heartbeat;
        self.watches.insert(
            LeaseName::from(MEMBERSHIP_LEASE),
            LeaseObserver::new(self.now, &mut self.rng),
        );
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Guards against a clock that is set back: what was counted on it would last too long.
    fn clock_went_back(&mut self, out: &mut Vec<Output>) {
        self.count("clock went back");
        self.receiver.clock_went_back();
        if super::fault_injection::is_injected(
            super::fault_injection::InjectedFault::ClockBackUnnoticed,
        ) {
            return;
        }
        out.push(Output::Warn(
            "the clock went back: no lease that was asked for before counts".to_owned(),
        ));
        let now = self.now;
        self.holds
            .values_mut()
            .chain(self.giving.values_mut().map(|g| &mut g.hold))
            .for_each(|h| h.until = now);
        self.trying = None;
    }

    fn ask(&mut self, to: Address, question: Question, errand: Errand, out: &mut Vec<Output>) {
        let within = self.settings.answer_within;
        let votes = matches!(errand, Errand::Vote { .. });
        let again = votes.then(|| (self.now + within / f64::from(AGAIN + 1), AGAIN));
        self.ask_until(self.now + within, again, to, question, errand, out);
    }

    fn ask_until(
        &mut self,
        until: Ms,
        again: Option<(Ms, u32)>,
        to: Address,
        question: Question,
        errand: Errand,
        out: &mut Vec<Output>,
    ) {
        self.asks += 1;
        let ask = QuestionId(self.asks);
        let kept = again.map(|_| Box::new(question.clone()));
        self.out.insert(
            ask,
            Out {
                errand,
                until,
                again,
                to: to.clone(),
                question: kept,
            },
        );
        out.push(Output::Ask { ask, to, question });
    }

    /// Asks again what a voter has not answered, while the try goes on that it is for.
    fn ask_again(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let due = |o: &Out| o.again.is_some_and(|(at, _)| at <= now);
        let due: Vec<QuestionId> = self
            .out
            .iter()
            .filter(|(_, o)| due(o))
            .map(|(ask, _)| *ask)
            .collect();
        for ask in due {
            let Some(asked) = self.out.get_mut(&ask) else {
                continue;
            };
            let (Some((_, times)), Some(question)) = (asked.again.take(), asked.question.take())
            else {
                continue;
            };
            let (errand, to, until) = (asked.errand.clone(), asked.to.clone(), asked.until);
            let ballot = self.trying.as_ref().map(|t| &t.round.ballot);
            if matches!(&errand, Errand::Vote { ballot: of, .. } if Some(of) == ballot) {
                self.count("asked again");
                let step = self.settings.answer_within / f64::from(AGAIN + 1);
                let again = (times > 1).then_some((now + step, times - 1));
                self.ask_until(until, again, to, *question, errand, out);
            }
        }
    }

    fn asked(&mut self, call: CallId, question: Question, out: &mut Vec<Output>) {
        let answer = match question {
            Question::Vote(ask) => return self.vote(call, &ask, out),
            Question::Look => Answer::Seen(self.seen()),
            Question::Witness { of, voter_id } => {
                let who = (of, voter_id);
                let kept = self
                    .voter
                    .as_ref()
                    .and_then(|v| v.kept.heard.get(&who))
                    .copied();
                let writes = kept
                    .unwrap_or(0)
                    .max(self.knows.heard.get(&who).copied().unwrap_or(0));
                Answer::Witnessed { writes }
            }
            Question::Heartbeat(heartbeat) => Answer::Heard(self.hear(heartbeat)),
            Question::Nudge { lease_name } => {
                self.nudged(&lease_name, out);
                Answer::Done
            }
            Question::FencedCommand(act) => {
                let verdict = self.receiver.receive(self.now, &act);
                if verdict == FencingDecision::Executed {
                    self.command_executed(&act, out);
                }
                Answer::FencingDecision {
                    verdict,
                    receiver_timestamp: self.receiver.receiver_timestamp(self.now),
                }
            }
            Question::AskBack {
                permit,
                of,
                who,
                incarnation,
            } => {
                let mine = of == UnitKind::Dispatchers && who == self.settings.me;
                Answer::Begun {
                    begun: !mine || self.revoke_unless_begun(permit, incarnation),
                }
            }
            Question::Operator(order) => return self.order(call, order, out),
        };
        out.push(Output::Answer { call, answer });
    }

    fn answered(&mut self, errand: Errand, answer: Option<Answer>, out: &mut Vec<Output>) {
        match (errand, answer) {
            (
                Errand::Vote {
                    from,
                    voter_id,
                    ballot,
                    taking,
                },
                answer,
            ) => {
                let said = match &answer {
                    Some(Answer::Vote(said)) => Some(said),
                    _ => None,
                };
                self.voted((&from, voter_id), &ballot, taking, said, out);
            }
            (Errand::Look { of, .. }, Some(Answer::Seen(seen))) => self.looked(&of, seen, out),
            (
                Errand::Look {
                    next: Some((at, times)),
                    ..
                },
                None,
            ) => self.look_at(at, times, out),
            (Errand::Inspect { of, call }, answer) => {
                let seen = match answer {
                    Some(Answer::Seen(seen)) => Some(seen),
                    _ => None,
                };
                if let Some(seen) = &seen {
                    self.looked(&of, seen.clone(), out);
                }
                self.inspected(call, &of, seen, out);
            }
            (Errand::Witness { of }, Some(Answer::Witnessed { writes })) => {
                self.witnessed(of, writes, out)
            }
            (Errand::Heartbeat { to }, answer) => {
                let heard = match answer {
                    Some(Answer::Heard(heard)) => Some(heard),
                    _ => None,
                };
                self.beat_answered(to, heard, out);
            }
            (Errand::FencedCommand { to }, answer) => {
                let verdict = match answer {
                    Some(Answer::FencingDecision {
                        verdict,
                        receiver_timestamp,
                    }) => Some((verdict, receiver_timestamp)),
                    _ => None,
                };
                self.told(to, verdict);
            }
            (Errand::TurnAct { to, permit }, answer) => {
                let verdict = match answer {
                    Some(Answer::FencingDecision {
                        verdict,
                        receiver_timestamp,
                    }) => Some((verdict, receiver_timestamp)),
                    _ => None,
                };
                self.permit_notice_answered(&to, permit, verdict, out);
            }
            (Errand::ByHand { call, note }, answer) => {
                let reply = match answer {
                    Some(Answer::Reply(reply)) => Some(reply),
                    _ => None,
                };
                self.stop_by_hand_answered(call, note, reply, out);
            }
            (errand @ (Errand::Revoke { .. } | Errand::HaltAsk { .. }), answer) => {
                let begun = match answer {
                    Some(Answer::Begun { begun }) => Some(begun),
                    _ => None,
                };
                self.revocation_answered(&errand, begun);
            }
            (Errand::Look { .. } | Errand::Witness { .. } | Errand::Nudge, _) => {}
        }
    }

    /// What was not answered in time is lost.
    fn give_up_waiting(&mut self, out: &mut Vec<Output>) {
        let late = |o: &Out| o.until <= self.now;
        let lost: Vec<QuestionId> = self
            .out
            .iter()
            .filter(|(_, o)| late(o))
            .map(|(ask, _)| *ask)
            .collect();
        for ask in lost {
            if let Some(asked) = self.out.remove(&ask) {
                self.count("unanswered");
                self.answered(asked.errand, None, out);
            }
        }
    }

    /// The voters as known: by the newest value, else those of the first start.
    fn view(&self) -> Option<&Voters> {
        let bootstrap = self
            .voter
            .as_ref()
            .and_then(|v| v.kept.bootstrap.as_ref())
            .or(self.bootstrap.as_ref());
        self.newest
            .as_ref()
            .map(|(_, value)| &value.voters)
            .or(bootstrap)
    }

    /// Where to ask who votes: the voters as known, and those of the settings.
    fn whom_to_look_at(&self) -> BTreeMap<Name, Address> {
        let mut all = self.settings.voters.clone();
        if let Some(view) = self.view() {
            all.extend(
                view.all()
                    .into_iter()
                    .map(|(name, voter_record)| (name, voter_record.address)),
            );
        }
        all.remove(&self.settings.me);
        all
    }

    fn me(&self) -> LeaseHolder {
        let FleetSettings {
            me,
            incarnation,
            address,
            ..
        } = &self.settings;
        LeaseHolder {
            name: me.clone(),
            incarnation: *incarnation,
            address: address.clone(),
        }
    }
}
