//! The duties of a fleet on a virtual clock: the members that serve, in memory, with a network that loses, doubles
//! and holds back, clocks that run apart, processes that sleep, die and come back, and disks that fail.
//!
//! The judge sees what receivers of acts obeyed and when, and nothing of what members think of themselves.

pub mod draw;
pub mod draw_release;
mod judge;
pub mod service;
pub mod small;
pub mod small_release;

pub use draw::{draw, Plan, Shape, Trouble};
pub use judge::{Breach, Judge};

use cindercleat::coordination::fencing::{FencingDecision, Receiver};
use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{
    Answer, CallId, FleetSettings, Input, LocalHealth, Member, MemberRequest, MemberRequestId,
    OperatorRequest, Output, Reply, SaveId, UnusableFile, MEMBERSHIP_LEASE,
};
use cindercleat::coordination::register::AcceptorState;
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name};
use cindercleat::interface::Ms;
use cindercleat_fleet::codec::{answer_to_proto, request_to_proto};
use nanorand::{Rng, WyRand};
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use xxhash_rust::xxh3::Xxh3;

/// How long a played fleet may take to have a holder again once nothing hinders it, in leases.
pub const SETTLES_WITHIN: f64 = 6.0;

/// A member's process and what stands around it.
struct Node {
    name: Name,
    zone: String,
    member: Option<Member>,
    starts: u64,
    /// Its clock: how fast, and what it shows at 0.
    rate: f64,
    offset: Ms,
    asleep_until: Ms,
    /// What came while it slept.
    inbox: Vec<Input>,
    /// The next act that it sends is held back so long, and all else it does.
    stall: Option<Ms>,
    disk: Disk,
    /// The wake that counts: others are out of date.
    wake: u64,
    calls: BTreeMap<CallId, MultiplexedConnection>,
}

/// The voter's file.
#[derive(Default)]
struct Disk {
    file: Option<AcceptorState>,
    /// What it held at some moments before.
    before: Vec<(Ms, Option<AcceptorState>)>,
    fails: bool,
    damaged: bool,
    slow: bool,
}

/// Who waits for an answer.
#[derive(Clone, Copy)]
enum MultiplexedConnection {
    Node {
        at: usize,
        incarnation: Incarnation,
        ask: MemberRequestId,
    },
    /// One whose act on a release this is, by its number, or none.
    Operator(Option<usize>),
}

/// Whom acts are done to.
struct Target {
    receiver: Receiver,
    rate: f64,
    offset: Ms,
    runs: u64,
    last_read: Ms,
}

enum What {
    Wake {
        node: usize,
        number: u64,
    },
    Question {
        to: usize,
        from: MultiplexedConnection,
        question: Box<MemberRequest>,
    },
    FencedCommand {
        to: usize,
        from: MultiplexedConnection,
        act: Box<cindercleat::coordination::fencing::FencedCommand>,
    },
    Answer {
        to: usize,
        incarnation: Incarnation,
        ask: MemberRequestId,
        answer: Option<Box<Answer>>,
    },
    Saved {
        node: usize,
        incarnation: Incarnation,
        number: SaveId,
        kept: Box<AcceptorState>,
        lasts: bool,
    },
    Trouble(usize),
    Over(usize),
    Start(usize),
    AskBack {
        from: MultiplexedConnection,
        permit: cindercleat::coordination::rollout::PermitId,
        who: Name,
        incarnation: Incarnation,
    },
    LocalHealth(usize),
    Watch,
    Ended {
        node: usize,
        starts: u64,
    },
    Engine {
        at: usize,
        number: u64,
        back: bool,
    },
    Op(usize),
    OpAgain(usize, Ms),
    Shrink,
}

struct Event {
    at: Ms,
    number: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.number.cmp(&other.number))
    }
}

/// What came of a played plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Played {
    pub breaches: Vec<Breach>,
    /// What was broken where an old file was put back and no voter that could be asked had heard of later writes of
    /// it: more than is promised.
    pub beyond: Vec<Breach>,
    /// How often what was met.
    pub met: BTreeMap<String, u64>,
    /// From a trouble that hit the holder to the next act obeyed, by the trouble's name.
    pub without: Vec<(&'static str, Ms)>,
    /// From a new holder's first act to its roll having all but one of the members, as its acts tell.
    pub rebuilt: Vec<Ms>,
    /// Acts obeyed; messages said, and their bytes where they are weighed, by voters, the holder, other members.
    pub obeyed: u64,
    pub messages: BTreeMap<&'static str, (u64, u64)>,
    pub syncs: u64,
    pub length: Ms,
    pub digest: u64,
    /// What the judge saw around the first breach.
    pub story: Vec<String>,
    /// What came of a release.
    pub released: Option<service::Released>,
}

/// A fleet being played.
pub struct World {
    plan: Plan,
    rng: WyRand,
    now: Ms,
    numbers: u64,
    queue: BinaryHeap<Reverse<Event>>,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    /// Nodes whose messages do not pass: from, to; targets count on after nodes.
    cuts: BTreeMap<(usize, usize), u32>,
    loss: f64,
    twice: f64,
    slow: Ms,
    /// How much later what is said to a node comes.
    late: BTreeMap<usize, Ms>,
    judge: Judge,
    played: Played,
    hash: Xxh3,
    /// A trouble that hit the holder: since when, and the term of then.
    open: Option<(&'static str, Ms, u64)>,
    /// A new holder's roll that is not whole yet: its term, and since when it acts.
    rebuilding: Option<(u64, Ms)>,
    /// Who is hit by each trouble that is not over.
    hit: BTreeMap<usize, Vec<usize>>,
    /// Versions, supervisors, engines and operators, where a release is played.
    service: Option<service::Service>,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Played {
    let mut world = World::new(plan.clone());
    while let Some(Reverse(event)) = world.queue.pop() {
        if event.at > world.plan.length {
            break;
        }
        world.now = event.at;
        world.step(event.what);
        if world.judge.breaches.len() > 3 {
            break;
        }
    }
    world.end()
}

impl World {
    fn new(plan: Plan) -> Self {
        let mut rng = WyRand::new_seed(plan.seed ^ 0x5eed);
        let mut clock = |drift: f64| {
            let (skew, offset): (f64, f64) = (rng.generate(), rng.generate());
            // At its most, two clocks run apart by less than what is allowed for.
            (1.0 + drift * (skew - 0.5) * 0.9, 1e9 * offset)
        };
        let nodes = (0..plan.members).map(|at| {
            let (rate, offset) = clock(plan.drift);
            Node {
                name: name_of(at),
                zone: format!("z{}", at % 3),
                member: None,
                starts: 0,
                rate,
                offset,
                asleep_until: 0.0,
                inbox: Vec::new(),
                stall: None,
                disk: Disk::default(),
                wake: 0,
                calls: BTreeMap::new(),
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        // The last one keeps the list of engines.
        let keeper = usize::from(plan.release.is_some());
        let targets = (0..plan.targets + keeper).map(|at| {
            let (rate, offset) = clock(plan.drift);
            let receiver = Receiver::new(Incarnation(1000 * (at as u64 + 1)), plan.drift);
            Target {
                receiver,
                rate,
                offset,
                runs: 0,
                last_read: 0.0,
            }
        });
        let targets = targets.collect();
        let mut world = World {
            judge: Judge::default(),
            played: Played {
                length: plan.length,
                ..Played::default()
            },
            loss: plan.loss,
            twice: plan.twice,
            slow: 0.0,
            late: BTreeMap::new(),
            rng,
            now: 0.0,
            numbers: 0,
            queue: BinaryHeap::new(),
            nodes,
            targets,
            cuts: BTreeMap::new(),
            hash: Xxh3::new(),
            open: None,
            rebuilding: None,
            hit: BTreeMap::new(),
            service: plan
                .release
                .as_ref()
                .map(|play| service::Service::new(&plan, play)),
            plan,
        };
        for node in 0..world.nodes.len() {
            let at = world.chance() * 200.0;
            world.push(at, What::Start(node));
        }
        for at in 0..world.plan.troubles.len() {
            let (begin, end) = (world.plan.troubles[at].begin, world.plan.troubles[at].end);
            world.push(begin, What::Trouble(at));
            world.push(end, What::Over(at));
        }
        world.begin_service();
        world
    }

    fn push(&mut self, at: Ms, what: What) {
        self.numbers += 1;
        self.queue.push(Reverse(Event {
            at,
            number: self.numbers,
            what,
        }));
    }

    fn chance(&mut self) -> f64 {
        self.rng.generate()
    }

    fn met(&mut self, what: &str) {
        *self.played.met.entry(what.to_owned()).or_default() += 1;
    }

    fn settings(&mut self, node: usize) -> FleetSettings {
        let plan = &self.plan;
        let voter = |at: usize| (name_of(at), address_of(at));
        FleetSettings {
            fleet: "fleet".to_owned(),
            own_name: name_of(node),
            incarnation: Incarnation(node as u64 * 1_000_000 + self.nodes[node].starts),
            address: address_of(node),
            zone: self.nodes[node].zone.clone(),
            label: self
                .service
                .as_ref()
                .map_or("v1".to_owned(), |service| service.label(node)),
            voters: (0..plan.voters).map(voter).collect(),
            // Some more could be let in.
            may_vote: node < plan.voters + 2,
            lease: LeaseSettings {
                lease: plan.lease,
                drift: plan.drift,
            },
            request_timeout: plan.lease * 0.15,
            heartbeat: plan.heartbeat,
            preferred_zone: plan.prefers.clone(),
            report_receivers: (0..plan.targets)
                .map(|at| Address::from(format!("t{at}").as_str()))
                .collect(),
            report_interval: plan.tell_every,
            disruption_budgets: plan
                .release
                .as_ref()
                .map(|play| play.bounds)
                .unwrap_or_default(),
            drain_list_address: plan.release.as_ref().map(|_| service::keeper_of(plan)),
            seed: self.rng.generate(),
        }
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].member.is_some() || self.is_removed(node) {
            return;
        }
        self.nodes[node].starts += 1;
        self.node_started(node);
        let settings = self.settings(node);
        let votes = settings.may_vote;
        let this = &mut self.nodes[node];
        this.member = Some(Member::new(settings));
        (this.asleep_until, this.stall) = (0.0, None);
        this.inbox.clear();
        this.calls.clear();
        let file = match this.disk.damaged {
            true => Err(UnusableFile {
                reason: "damaged".to_owned(),
            }),
            false => Ok(this.disk.file.clone()),
        };
        let ready = self.service.is_none();
        self.give(
            node,
            Input::LocalHealth(LocalHealth {
                ready,
                utilization: 0.1,
                ..LocalHealth::default()
            }),
        );
        if votes {
            self.give(node, Input::Loaded(file));
        }
    }

    fn kill(&mut self, node: usize) {
        let this = &mut self.nodes[node];
        if let Some(member) = this.member.take() {
            for (what, n) in member.counts() {
                *self.played.met.entry((*what).to_owned()).or_default() += n;
            }
        }
        self.nodes[node].wake += 1;
    }

    /// The reading of a node's clock.
    fn reading(&self, node: usize) -> Ms {
        let node = &self.nodes[node];
        node.offset + self.now * node.rate
    }

    /// Gives a process something, now or when it wakes.
    fn give(&mut self, node: usize, input: Input) {
        if self.nodes[node].member.is_none() {
            return;
        }
        if self.now < self.nodes[node].asleep_until {
            if !matches!(input, Input::Tick) {
                self.nodes[node].inbox.push(input);
            }
            return;
        }
        let read = self.reading(node);
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let mut out = Vec::new();
        member.handle(read, input, &mut out);
        let wants = member.next_call_at();
        let acts = out.iter().any(|o| {
            matches!(
                o,
                Output::SendRequest {
                    question: MemberRequest::FencedCommand(_),
                    ..
                }
            )
        });
        let mut late = 0.0;
        if let (true, Some(stall)) = (acts, self.nodes[node].stall) {
            // Stopped in the middle of an act: it looked at its lease, and then slept before it sent.
            (late, self.nodes[node].stall) = (stall, None);
            self.nodes[node].asleep_until = self.now + stall;
            self.met("stopped in the middle of an act");
            self.open_trouble("stopped");
        }
        for output in out {
            self.perform(node, output, late);
        }
        let this = &mut self.nodes[node];
        this.wake += 1;
        let at = ((wants - this.offset) / this.rate)
            .max(self.now + 0.01)
            .max(this.asleep_until);
        let number = this.wake;
        if at.is_finite() {
            self.push(at, What::Wake { node, number });
        }
    }

    /// How long a message is under way; none if it is lost.
    fn way(&mut self, from: usize, to: usize) -> Option<Ms> {
        let (loss, chance) = (self.loss, self.chance());
        if self.cuts.contains_key(&(from, to)) || chance < loss {
            return None;
        }
        let (spread, tail) = (self.chance(), self.chance());
        // Now and then one is under way for long.
        let long = if tail < self.plan.long {
            self.plan.lease * 1.5 * self.chance()
        } else {
            0.0
        };
        let late = self.late.get(&to).copied().unwrap_or_default();
        Some(0.2 + spread * self.plan.way + self.slow * spread + long + late)
    }

    fn perform(&mut self, node: usize, output: Output, late: Ms) {
        match output {
            Output::SendRequest {
                request_id: ask,
                to,
                question,
            } => {
                let incarnation = Incarnation(node as u64 * 1_000_000 + self.nodes[node].starts);
                let from = MultiplexedConnection::Node {
                    at: node,
                    incarnation,
                    ask,
                };
                let weight = |plan: &Plan| {
                    if plan.weigh {
                        request_to_proto(&question).encoded_len()
                    } else {
                        0
                    }
                };
                let bytes = weight(&self.plan);
                self.count_message(node, bytes);
                let Some(target) = place_of(&to, self.nodes.len()) else {
                    return;
                };
                let copies = 1 + usize::from(self.chance() < self.twice);
                for _ in 0..copies {
                    if let Some(way) = self.way(node, target) {
                        let at = self.now + late + way;
                        let what = match (&question, target.checked_sub(self.nodes.len())) {
                            (MemberRequest::FencedCommand(act), Some(to)) => What::FencedCommand {
                                to,
                                from,
                                act: Box::new(act.clone()),
                            },
                            (
                                MemberRequest::RevokePermit {
                                    permit,
                                    unit: who,
                                    incarnation,
                                    ..
                                },
                                Some(_),
                            ) => What::AskBack {
                                from,
                                permit: *permit,
                                who: who.clone(),
                                incarnation: *incarnation,
                            },
                            (_, Some(_)) => return,
                            (question, None) => What::Question {
                                to: target,
                                from,
                                question: Box::new(question.clone()),
                            },
                        };
                        self.push(at, what);
                    }
                }
            }
            Output::Answer { call, answer } => match self.nodes[node].calls.remove(&call) {
                Some(MultiplexedConnection::Node {
                    at,
                    incarnation,
                    ask,
                }) => {
                    let bytes = if self.plan.weigh {
                        answer_to_proto(&answer).encoded_len()
                    } else {
                        0
                    };
                    self.count_message(node, bytes);
                    if let Some(way) = self.way(node, at) {
                        let answer = Some(Box::new(answer));
                        self.push(
                            self.now + late + way,
                            What::Answer {
                                to: at,
                                incarnation,
                                ask,
                                answer,
                            },
                        );
                    }
                }
                Some(MultiplexedConnection::Operator(Some(number))) => {
                    if let Answer::Reply(reply) = &answer {
                        self.operator_told(number, reply);
                    }
                }
                Some(MultiplexedConnection::Operator(None)) => {
                    let what = match answer {
                        Answer::Reply(Reply::Done(_)) => "order done",
                        _ => "order not done",
                    };
                    self.met(what);
                }
                None => {}
            },
            Output::Save {
                number,
                state: kept,
            } => {
                self.played.syncs += 1;
                let disk = &self.nodes[node].disk;
                let (fails, slow) = (disk.fails, disk.slow);
                let took =
                    0.2 + 2.0 * self.chance() + if slow { 80.0 * self.chance() } else { 0.0 };
                let incarnation = Incarnation(self.nodes[node].starts);
                self.push(
                    self.now + late + took,
                    What::Saved {
                        node,
                        incarnation,
                        number,
                        kept,
                        lasts: !fails,
                    },
                );
            }
            Output::LeaseChanged { .. } | Output::Warn(_) | Output::Info(_) => {}
            Output::PermitGranted { permit, label } => self.turn_begins(node, permit, &label),
            // One that has its turn drains on and is ended by its time.
            Output::Stopped if self.is_ending(node) => {}
            Output::Stopped => {
                self.met("stopped in order");
                self.kill(node);
            }
        }
    }

    fn count_message(&mut self, node: usize, bytes: usize) {
        let holder = self
            .judge
            .holder()
            .is_some_and(|h| h.name == self.nodes[node].name);
        let kind = match (holder, node < self.plan.voters) {
            (true, _) => "holder",
            (_, true) => "voters",
            _ => "members",
        };
        let sum = self.played.messages.entry(kind).or_default();
        *sum = (sum.0 + 1, sum.1 + bytes as u64);
    }

    /// Reads off a new holder's acts when its roll is whole again, but for one that may be gone.
    fn look_at_roll(&mut self, act: &cindercleat::coordination::fencing::FencedCommand) {
        let term = act.term.0;
        if self.rebuilding.is_none_or(|(of, _)| of < term) {
            self.rebuilding = Some((term, self.now));
        }
        let body = String::from_utf8_lossy(&act.body);
        let words: Vec<&str> = body.split(' ').collect();
        let after = |word| {
            words
                .iter()
                .position(|w| *w == word)
                .and_then(|at| words.get(at + 1)?.parse().ok())
        };
        let there: usize = after("in").unwrap_or(0) + after("back").unwrap_or(0);
        if let Some((_, since)) = self.rebuilding.filter(|(_, since)| since.is_finite()) {
            if there + 1 >= self.nodes.len() {
                self.played.rebuilt.push(self.now - since);
                self.rebuilding = Some((term, f64::INFINITY));
            }
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Wake { node, number } => {
                if self.nodes[node].wake == number {
                    let slept = std::mem::take(&mut self.nodes[node].inbox);
                    // What comes first after a sleep is by chance: an answer, or the clock.
                    for input in slept {
                        self.give(node, input);
                    }
                    self.give(node, Input::Tick);
                }
            }
            What::Question { to, from, question } => {
                let alive = self.nodes[to].member.is_some();
                if let (
                    false,
                    MultiplexedConnection::Node {
                        at,
                        incarnation,
                        ask,
                    },
                ) = (alive, from)
                {
                    // Nobody listens there: that is told, if the way back is free.
                    if let Some(way) = self.way(to, at) {
                        self.push(
                            self.now + way,
                            What::Answer {
                                to: at,
                                incarnation,
                                ask,
                                answer: None,
                            },
                        );
                    }
                    return;
                }
                self.numbers += 1;
                let call = CallId(self.numbers);
                self.nodes[to].calls.insert(call, from);
                self.give(
                    to,
                    Input::RequestReceived {
                        call,
                        question: *question,
                    },
                );
            }
            What::Answer {
                to,
                incarnation,
                ask,
                answer,
            } => {
                let now_run = Incarnation(to as u64 * 1_000_000 + self.nodes[to].starts);
                if incarnation == now_run {
                    self.give(
                        to,
                        Input::AnswerReceived {
                            request_id: ask,
                            answer: answer.map(|a| *a),
                        },
                    );
                }
            }
            What::Saved {
                node,
                incarnation,
                number,
                kept,
                lasts,
            } => self.saved(node, incarnation, number, *kept, lasts),
            What::FencedCommand { to, from, act } => self.act(to, from, &act),
            What::Start(node) => self.start(node),
            What::Trouble(at) => self.trouble(at),
            What::Over(at) => self.over(at),
            What::AskBack {
                from,
                permit,
                who,
                incarnation,
            } => {
                let begun = self.keeper_asked_back(permit, &who, incarnation);
                let me = self.nodes.len() + self.plan.targets;
                if let MultiplexedConnection::Node {
                    at,
                    incarnation,
                    ask,
                } = from
                {
                    if let Some(way) = self.way(me, at) {
                        let answer = Some(Box::new(Answer::RevocationResult { begun }));
                        self.push(
                            self.now + way,
                            What::Answer {
                                to: at,
                                incarnation,
                                ask,
                                answer,
                            },
                        );
                    }
                }
            }
            What::LocalHealth(node) => self.local_health(node),
            What::Watch => self.watch(),
            What::Ended { node, starts } => self.turn_ended(node, starts),
            What::Engine { at, number, back } => self.engine_step(at, number, back),
            What::Op(number) => self.operate(number),
            What::OpAgain(number, asked) => self.operate_again(number, asked),
            What::Shrink => self.shrink(),
        }
    }

    fn saved(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        number: SaveId,
        kept: AcceptorState,
        lasts: bool,
    ) {
        let alive = self.nodes[node].member.is_some()
            && Incarnation(self.nodes[node].starts) == incarnation;
        // A process that died while it wrote left the old file or the new one.
        let written = lasts
            && (alive || self.chance() < 0.5)
            && Incarnation(self.nodes[node].starts) == incarnation;
        if written {
            let now = self.now;
            let disk = &mut self.nodes[node].disk;
            if disk.before.last().is_none_or(|(at, _)| now - at > 500.0) {
                disk.before.push((now, disk.file.clone()));
            }
            self.filed(node, &kept);
            self.nodes[node].disk.file = Some(kept);
        }
        if alive {
            self.give(
                node,
                Input::Saved {
                    number,
                    is_durable: lasts,
                },
            );
        }
    }

    fn act(
        &mut self,
        to: usize,
        from: MultiplexedConnection,
        act: &cindercleat::coordination::fencing::FencedCommand,
    ) {
        let now = self.now;
        let target = &mut self.targets[to];
        let read = target.offset + now * target.rate;
        if read < target.last_read {
            target.receiver.clock_went_back();
        }
        target.last_read = read;
        let verdict = target.receiver.receive(read, act);
        let receiver_timestamp = target.receiver.receiver_timestamp(read);
        let verdict_text = verdict_digest_text(verdict);
        self.hash.update(
            format!("{now:.6} {to} {} {} {verdict_text}", act.term.0, act.number).as_bytes(),
        );
        if verdict == FencingDecision::Executed {
            self.judge.obeyed(now, to, act);
            self.played.obeyed += 1;
            if to == self.plan.targets {
                if let Some(told) =
                    cindercleat::coordination::rollout_controller::PermitNotice::read(&act.body)
                {
                    self.keeper_told(&told);
                }
            } else {
                self.look_at_roll(act);
            }
            if let Some((name, since, term)) = self.open {
                if act.term.0 > term {
                    self.played.without.push((name, now - since));
                    self.open = None;
                }
            }
        } else {
            self.met(match verdict {
                FencingDecision::StaleTerm => "act refused: old term",
                FencingDecision::Duplicate => "act refused: again",
                FencingDecision::TimestampMissing => "act refused: asked first",
                _ => "act refused: late",
            });
        }
        if let MultiplexedConnection::Node {
            at,
            incarnation,
            ask,
        } = from
        {
            let me = self.nodes.len() + to;
            if let Some(way) = self.way(me, at) {
                let answer = Some(Box::new(Answer::FencingDecision {
                    verdict,
                    receiver_timestamp,
                }));
                self.push(
                    now + way,
                    What::Answer {
                        to: at,
                        incarnation,
                        ask,
                        answer,
                    },
                );
            }
        }
    }

    fn end(mut self) -> Played {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        self.played.released = self.judge_end();
        let quiet_from = self.plan.quiet_from();
        let lease = self.plan.lease;
        self.judge.settled(
            quiet_from,
            self.plan.length,
            SETTLES_WITHIN * lease,
            self.plan.recovers,
        );
        let terms = self.judge.terms();
        self.played.met.insert("terms obeyed".to_owned(), terms);
        let met = |what: &str| self.played.met.get(what).copied().unwrap_or_default();
        let unnoticed = met("a file of before was put back") > met("old files");
        let breaches = std::mem::take(&mut self.judge.breaches);
        if unnoticed && breaches.iter().any(|b| b.kind != "nobody") {
            self.played.beyond = breaches;
        } else {
            self.played.breaches = breaches;
        }
        self.played.story = self.judge.story;
        self.played.digest = self.hash.digest();
        self.played
    }

    /// A trouble hit the holder: the time until another acts is measured.
    fn open_trouble(&mut self, name: &'static str) {
        if let (None, Some(term)) = (self.open, self.judge.term()) {
            self.open = Some((name, self.now, term));
        }
    }
}

fn name_of(at: usize) -> Name {
    Name::from(format!("d{at}").as_str())
}

fn address_of(at: usize) -> Address {
    Address::from(format!("n{at}").as_str())
}

fn place_of(address: &Address, nodes: usize) -> Option<usize> {
    match address.0.strip_prefix('n') {
        Some(number) => number.parse().ok(),
        None => address
            .0
            .strip_prefix('t')?
            .parse::<usize>()
            .ok()
            .map(|at| at + nodes),
    }
}

/// What troubles do.
impl World {
    fn holder(&self) -> Option<usize> {
        let name = &self.judge.holder()?.name;
        self.nodes.iter().position(|node| node.name == *name)
    }

    /// Whom a trouble hits: a node of the plan, or whoever acted last.
    fn whom(&self, who: draw::Who) -> usize {
        match who {
            draw::Who::Node(node) => node % self.nodes.len(),
            draw::Who::Holder => self.holder().unwrap_or(0),
        }
    }

    fn cut(&mut self, from: usize, to: usize, on: bool) {
        let count = self.cuts.entry((from, to)).or_default();
        *count = if on {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.cuts.remove(&(from, to));
        }
    }

    /// Cuts a node off from some others, by a rule on them, one way or both.
    fn cut_off(
        &mut self,
        node: usize,
        ways: (bool, bool),
        on: bool,
        others: impl Fn(&World, usize) -> bool,
    ) {
        for other in 0..self.nodes.len() + self.targets.len() {
            if other != node && others(self, other) {
                if ways.0 {
                    self.cut(node, other, on);
                }
                if ways.1 {
                    self.cut(other, node, on);
                }
            }
        }
    }

    fn order(&mut self, node: usize, order: OperatorRequest) {
        self.numbers += 1;
        let call = CallId(self.numbers);
        self.nodes[node]
            .calls
            .insert(call, MultiplexedConnection::Operator(None));
        self.give(
            node,
            Input::RequestReceived {
                call,
                question: MemberRequest::Operator(order),
            },
        );
    }

    fn trouble(&mut self, at: usize) {
        let spell = self.plan.troubles[at].clone();
        let length = spell.end - spell.begin;
        self.met(&format!("trouble: {}", spell.trouble.name()));
        let holder = self.holder();
        let who = self.whom(spell.who);
        let hits_holder = holder == Some(who);
        let mut hit = vec![who];
        match &spell.trouble {
            Trouble::Kill | Trouble::FileOld | Trouble::FileLost | Trouble::FileDamaged => {
                if hits_holder {
                    self.open_trouble("killed");
                }
                self.kill(who);
                let now = self.now;
                let disk = &mut self.nodes[who].disk;
                match spell.trouble {
                    Trouble::FileLost => disk.file = None,
                    Trouble::FileDamaged => disk.damaged = true,
                    Trouble::FileOld => {
                        if let Some((_, old)) =
                            disk.before.iter().rfind(|(at, _)| now - at > 4_000.0)
                        {
                            if old.as_ref().is_some_and(|old| old.promised.is_some()) {
                                disk.file.clone_from(old);
                                self.met("a file of before was put back");
                            }
                        }
                    }
                    _ => {}
                }
            }
            Trouble::Stop => {
                if hits_holder {
                    self.open_trouble("handed over: stop");
                }
                self.give(who, Input::Stop);
            }
            Trouble::HandOver { to } => {
                if let Some(holder) = holder {
                    self.open_trouble("handed over");
                    let to =
                        (to % self.nodes.len() != holder).then(|| name_of(to % self.nodes.len()));
                    let lease_name = LeaseName::from(MEMBERSHIP_LEASE);
                    self.order(holder, OperatorRequest::HandOver { lease_name, to });
                }
            }
            Trouble::Sleep => {
                if hits_holder {
                    self.open_trouble("stopped");
                }
                self.nodes[who].asleep_until = self.now + length;
                // It wakes by itself.
                self.nodes[who].wake += 1;
                let number = self.nodes[who].wake;
                self.push(self.now + length, What::Wake { node: who, number });
            }
            Trouble::Stall => self.nodes[who].stall = Some(length),
            Trouble::CutOff { out, back } => {
                if hits_holder {
                    self.open_trouble("cut off");
                }
                self.cut_off(who, (*out, *back), true, |_, _| true);
            }
            Trouble::CutFromVoters => {
                if hits_holder {
                    self.open_trouble("cut off");
                }
                self.cut_off(who, (true, true), true, |w, o| o < w.plan.voters);
            }
            Trouble::CutFromTargets => {
                self.cut_off(who, (true, true), true, |w, o| o >= w.nodes.len())
            }
            Trouble::Halves { asleep } => {
                // Voters half and half, by their numbers; one may sleep.
                let halves = |o: usize| o % 2;
                for node in 0..self.nodes.len() {
                    self.cut_off(node, (true, false), true, |w, o| {
                        o < w.nodes.len() && halves(o) != halves(node)
                    });
                }
                if *asleep {
                    self.nodes[who % self.plan.voters].asleep_until = self.now + length;
                }
            }
            Trouble::Lossy(part) => self.loss = *part,
            Trouble::Twice(part) => self.twice = *part,
            Trouble::Slow(ms) => self.slow = *ms,
            Trouble::LateTo(ms) => {
                self.late.insert(who, *ms);
            }
            Trouble::ClockJump(ms) => self.nodes[who].offset += ms,
            Trouble::DiskFails => self.nodes[who].disk.fails = true,
            Trouble::DiskSlow => self.nodes[who].disk.slow = true,
            Trouble::TargetAgain => {
                let to = who % self.targets.len();
                let target = &mut self.targets[to];
                target.runs += 1;
                let incarnation = Incarnation(1000 * (to as u64 + 1) + target.runs);
                target.receiver = Receiver::new(incarnation, self.plan.drift);
            }
            Trouble::TargetClock(ms) => {
                let to = who % self.targets.len();
                self.targets[to].offset += ms;
            }
            Trouble::KillMany(part) => {
                self.open_trouble("killed");
                let number = (self.nodes.len() as f64 * part).round() as usize;
                let first = holder.unwrap_or(0);
                hit = (0..number)
                    .map(|n| (first + n) % self.nodes.len())
                    .collect();
                for node in hit.clone() {
                    self.kill(node);
                }
            }
            Trouble::KillVoters => {
                hit = (0..self.plan.voters).collect();
                for node in hit.clone() {
                    self.kill(node);
                }
            }
            Trouble::ZoneLost(zone) => {
                hit = (0..self.nodes.len())
                    .filter(|at| at % 3 == zone % 3)
                    .collect();
                for node in hit.clone() {
                    self.kill(node);
                }
                for engine in (0..self.plan.release.as_ref().map_or(0, |r| r.engines))
                    .filter(|at| at % 3 == zone % 3)
                {
                    self.engine_dies(engine);
                }
            }
            Trouble::EngineDies(engine) => self.engine_dies(*engine),
            Trouble::ReportsStop => self.set_reports(false),
            Trouble::Burst(part) => self.set_burst(*part),
            Trouble::AddVoter(node) => {
                let node = node % self.nodes.len();
                let order = OperatorRequest::AddVoter {
                    name: name_of(node),
                    address: Some(address_of(node)),
                };
                self.order(who, order);
            }
            Trouble::RemoveVoter(node) => {
                self.order(
                    who,
                    OperatorRequest::RemoveVoter {
                        name: name_of(node % self.nodes.len()),
                    },
                );
            }
        }
        self.hit.insert(at, hit);
    }

    fn over(&mut self, at: usize) {
        let spell = self.plan.troubles[at].clone();
        let hit = self.hit.remove(&at).unwrap_or_default();
        let Some(&who) = hit.first() else { return };
        match &spell.trouble {
            Trouble::Kill
            | Trouble::FileOld
            | Trouble::FileLost
            | Trouble::FileDamaged
            | Trouble::Stop
            | Trouble::KillMany(_)
            | Trouble::ZoneLost(_)
            | Trouble::KillVoters => {
                for node in hit {
                    // One that was told to stop and has not ended by now is killed.
                    self.kill(node);
                    let after = self.chance() * 50.0;
                    self.push(self.now + after, What::Start(node));
                }
            }
            Trouble::CutOff { out, back } => self.cut_off(who, (*out, *back), false, |_, _| true),
            Trouble::CutFromVoters => {
                self.cut_off(who, (true, true), false, |w, o| o < w.plan.voters)
            }
            Trouble::CutFromTargets => {
                self.cut_off(who, (true, true), false, |w, o| o >= w.nodes.len())
            }
            Trouble::Halves { .. } => {
                for node in 0..self.nodes.len() {
                    self.cut_off(node, (true, false), false, |w, o| {
                        o < w.nodes.len() && o % 2 != node % 2
                    });
                }
                let wake = who % self.plan.voters;
                self.nodes[wake].wake += 1;
                let number = self.nodes[wake].wake;
                self.push(self.now + 0.01, What::Wake { node: wake, number });
            }
            Trouble::Lossy(_) => self.loss = self.plan.loss,
            Trouble::Twice(_) => self.twice = self.plan.twice,
            Trouble::Slow(_) => self.slow = 0.0,
            Trouble::LateTo(_) => {
                self.late.remove(&who);
            }
            Trouble::ReportsStop => self.set_reports(true),
            Trouble::Burst(_) => self.set_burst(0.0),
            Trouble::DiskFails => self.nodes[who].disk.fails = false,
            Trouble::DiskSlow => self.nodes[who].disk.slow = false,
            Trouble::HandOver { .. }
            | Trouble::EngineDies(_)
            | Trouble::Sleep
            | Trouble::Stall
            | Trouble::ClockJump(_)
            | Trouble::TargetAgain
            | Trouble::TargetClock(_)
            | Trouble::AddVoter(_)
            | Trouble::RemoveVoter(_) => {}
        }
    }
}

/// What a digest of a day takes of a verdict: the same text whatever the code calls it.
fn verdict_digest_text(verdict: FencingDecision) -> &'static str {
    match verdict {
        FencingDecision::Executed => "Obeyed",
        FencingDecision::StaleTerm => "OldTerm",
        FencingDecision::Duplicate => "Again",
        FencingDecision::TimestampMissing => "Unknown",
        FencingDecision::LeaseExpired => "Late",
    }
}
