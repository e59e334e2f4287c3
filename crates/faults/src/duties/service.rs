//! A release on the virtual clock: dispatchers with their versions and supervisors, engines and the keeper of their
//! list, operators, and a judge of who was out when. The judge knows the truth: which processes serve, which engines take
//! work, what the voters' files hold; never what a member thinks.

use super::*;
use cindercleat::coordination::disruption_budget::{
    DisruptionBudget, MaxUnavailable, OutcomeCounts, ServiceStatus, Unit, UnitKind,
};
use cindercleat::coordination::member::{LocalHealth, RolloutRequest};
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::rollout::{PermitId, RolloutPlan};
use cindercleat::coordination::rollout_controller::PermitNotice;
use cindercleat::interface::Role;
use std::collections::BTreeSet;

/// What the new version does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    Good,
    /// This part of its requests is harmed.
    Worse(f64),
    NeverReady,
    /// It dies so long after it is ready, again and again.
    Dies(Ms),
}

/// What an operator does.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Start(Box<RolloutPlan>),
    Halt,
    Resume,
    Back,
    End,
    Recount,
    /// A supervisor asks for its dispatcher's turn.
    Turn(usize),
}

/// An operator's act, at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    pub at: Ms,
    pub node: usize,
    pub act: Act,
}

/// A release to be played.
#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    pub engines: usize,
    pub bounds: (DisruptionBudget, DisruptionBudget),
    pub version: Version,
    pub ops: Vec<Op>,
    /// What the operator does some time after a halt that nobody gave: goes back or on, or leaves it.
    pub after_halt: Option<Act>,
    /// Times of a process: draining, away, starting.
    pub drains: Ms,
    pub away: Ms,
    pub starts: Ms,
    /// Tasks a second a dispatcher, and the part harmed anyway.
    pub rate: f64,
    pub harmed: f64,
    /// The supervisor of this node starts the old version, once.
    pub wrong_label: Option<usize>,
    /// What is used of engines, and what it jumps to at a time.
    pub used: f64,
    pub jump: Option<(Ms, f64)>,
    /// Engines cold for so long after their start.
    pub slow_start_window: Ms,
    /// These leave for good at a time.
    pub shrinks: Option<(Ms, Vec<usize>)>,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Released {
    /// When it began and when all were in under the new label, or the old one after going back.
    pub began: Option<Ms>,
    pub whole: Option<Ms>,
    pub state: String,
    pub why: String,
    pub begun: u64,
    /// Turns begun and requests harmed by the new version, before the first halt.
    pub turned_before_halt: Option<u64>,
    pub harmed_before_halt: u64,
    pub halts_by_sign: u64,
    /// From an operator's halt to its acknowledgement, and to the last turn begun after it was given.
    pub halt_acknowledged: Vec<Ms>,
    pub halt_to_last: Vec<Ms>,
    /// Tasks that could not be served as their dispatcher was out, and all.
    pub unserved: u64,
    pub requests: u64,
    /// The largest agreed value seen in a voter's file, in bytes.
    pub largest: usize,
}

/// One dispatcher's service around its process.
#[derive(Clone, Debug)]
pub(super) struct Serving {
    label: String,
    ready_at: Ms,
    tally: OutcomeCounts,
    /// Its process ends by its turn: which start of it.
    ending: Option<u64>,
    /// A turn of it began and it has not been in since.
    planned: bool,
    /// What it was to come back under by its last turn.
    wanted: String,
    turned_at: Ms,
    out_since: Option<Ms>,
    /// Under another label than wanted, in, since then.
    wrong_since: Option<Ms>,
    dies_at: Ms,
    removed: bool,
    /// It was in at least once: nobody can miss it before.
    was_in: bool,
}

#[derive(Clone, Debug)]
struct Engine {
    name: Name,
    zone: String,
    cell: String,
    role: Role,
    /// All that its list told of it: when, as what, started when.
    told: Vec<(Ms, ServiceStatus, Option<Ms>)>,
    new: bool,
    planned: bool,
    out_since: Option<Ms>,
    number: u64,
}

impl Engine {
    fn at(&self, now: Ms) -> (Ms, ServiceStatus, Option<Ms>) {
        self.told
            .iter()
            .rfind(|(at, ..)| *at <= now)
            .copied()
            .unwrap_or((0.0, ServiceStatus::OutOfService, None))
    }

    fn now(&self) -> (Ms, ServiceStatus, Option<Ms>) {
        self.told
            .last()
            .copied()
            .unwrap_or((0.0, ServiceStatus::OutOfService, None))
    }
}

/// An operator's act under way.
#[derive(Clone, Debug)]
struct Doing {
    op: Op,
    began: Option<Ms>,
    asked: Ms,
    done: Option<Ms>,
    tries: u32,
}

pub(super) struct Service {
    play: Play,
    pub(super) nodes: Vec<Serving>,
    engines: Vec<Engine>,
    doing: Vec<Doing>,
    /// Voters whose files have had each turn.
    filed: BTreeMap<PermitId, BTreeSet<usize>>,
    /// Turns that the list's keeper said it has not begun.
    asked_back: BTreeSet<PermitId>,
    /// Acknowledged, and nothing was ordered to go on since.
    halted: Option<Ms>,
    resumed: Option<Ms>,
    /// Those that left for good are missed no more.
    recounted: bool,
    halt_given: Option<Ms>,
    pub(super) released: Released,
    burst: f64,
    reports: bool,
    checked: Ms,
    last_seen: Ms,
}

/// How often the truth is looked at, how often a dispatcher says how it fares.
const WATCH: Ms = 20.0;
const FARES: Ms = 100.0;
/// How old a list may be at a dispatcher.
const LIST_LATE: Ms = 150.0;

impl Service {
    pub(super) fn new(plan: &Plan, play: &Play) -> Service {
        let serving = |_| Serving {
            label: "v1".to_owned(),
            ready_at: f64::INFINITY,
            tally: OutcomeCounts::default(),
            ending: None,
            planned: false,
            wanted: "v1".to_owned(),
            turned_at: 0.0,
            out_since: Some(0.0),
            wrong_since: None,
            dies_at: f64::INFINITY,
            removed: false,
            was_in: false,
        };
        let engine = |at: usize| Engine {
            name: Name::from(format!("h{at}").as_str()),
            zone: format!("z{}", at % 3),
            cell: format!("c{}", at / 6),
            role: if (at / 3).is_multiple_of(2) {
                Role::Prefill
            } else {
                Role::Decode
            },
            told: vec![(0.0, ServiceStatus::InService, None)],
            new: false,
            planned: false,
            out_since: None,
            number: 0,
        };
        let doing = |op: &Op| Doing {
            op: op.clone(),
            began: None,
            asked: 0.0,
            done: None,
            tries: 0,
        };
        Service {
            nodes: (0..plan.members).map(serving).collect(),
            engines: (0..play.engines).map(engine).collect(),
            doing: play.ops.iter().map(doing).collect(),
            filed: BTreeMap::new(),
            asked_back: BTreeSet::new(),
            halted: None,
            resumed: None,
            recounted: false,
            halt_given: None,
            released: Released::default(),
            burst: 0.0,
            reports: true,
            checked: 0.0,
            last_seen: 0.0,
            play: play.clone(),
        }
    }

    pub(super) fn label(&self, node: usize) -> String {
        self.nodes[node].label.clone()
    }

    fn used(&self, now: Ms) -> f64 {
        self.play
            .jump
            .filter(|(at, _)| now >= *at)
            .map_or(self.play.used, |(_, used)| used)
    }

    /// What is used of each ready engine of a role: the fleet's work over those that are ready.
    fn used_of(&self, now: Ms, role: Role, less: u32) -> f64 {
        let all = self.engines.iter().filter(|h| h.role == role).count() as f64;
        let ready = self
            .engines
            .iter()
            .filter(|h| h.role == role && h.now().1 == ServiceStatus::InService)
            .count() as f64;
        (self.used(now) * all / (ready - f64::from(less)).max(0.1)).min(1.0)
    }
}

/// Where the keeper of the list is reached.
pub(super) fn keeper_of(plan: &Plan) -> Address {
    Address::from(format!("t{}", plan.targets).as_str())
}

/// How the release goes on.
impl World {
    pub(super) fn begin_service(&mut self) {
        let Some(service) = &self.service else { return };
        let (nodes, ops) = (service.nodes.len(), service.doing.len());
        let at: Vec<Ms> = service.doing.iter().map(|d| d.op.at).collect();
        let shrinks = service.play.shrinks.as_ref().map(|(at, _)| *at);
        for node in 0..nodes {
            let phase = self.chance() * FARES;
            self.push(phase, What::LocalHealth(node));
        }
        (0..ops).for_each(|op| self.push(at[op], What::Op(op)));
        self.push(WATCH, What::Watch);
        if let Some(at) = shrinks {
            self.push(at, What::Shrink);
        }
    }

    /// A node's process is new.
    pub(super) fn node_started(&mut self, node: usize) {
        let now = self.now;
        let late = 0.8 + 0.4 * self.chance();
        let Some(service) = &mut self.service else {
            return;
        };
        let (starts, version) = (service.play.starts, service.play.version);
        let this = &mut service.nodes[node];
        let new = this.label != "v1";
        this.ready_at = match version {
            Version::NeverReady if new => f64::INFINITY,
            _ => now + starts * late,
        };
        this.dies_at = match version {
            Version::Dies(after) if new => this.ready_at + after,
            _ => f64::INFINITY,
        };
        (this.tally, this.ending) = (OutcomeCounts::default(), None);
    }

    fn is_in(&self, node: usize) -> bool {
        let Some(service) = &self.service else {
            return true;
        };
        let (serving, process) = (&service.nodes[node], &self.nodes[node]);
        let awake = self.now >= process.asleep_until;
        process.member.is_some()
            && awake
            && self.now >= serving.ready_at
            && serving.ending.is_none()
    }

    /// How a node fares, and what it says of it.
    pub(super) fn local_health(&mut self, node: usize) {
        let next = self.now + FARES;
        self.push(next, What::LocalHealth(node));
        let (now, is_in) = (self.now, self.is_in(node));
        let draws: [f64; 4] = std::array::from_fn(|_| self.chance());
        let Some(service) = &mut self.service else {
            return;
        };
        if service.nodes[node].removed {
            return;
        }
        // Tasks come whether or not their dispatcher is there.
        let count = (service.play.rate * FARES / 1000.0 + draws[0]) as u64;
        let new = service.nodes[node].label != "v1";
        let bad = match service.play.version {
            Version::Worse(part) if new => part,
            _ => 0.0,
        };
        let part = (service.play.harmed + service.burst + bad).min(1.0);
        service.released.requests += count;
        if !is_in {
            service.released.unserved += count;
        } else {
            let harmed = (count as f64 * part + draws[1]) as u64;
            let harmed = harmed.min(count);
            let tally = &mut service.nodes[node].tally;
            tally.succeeded += count - harmed;
            tally.rejected += harmed;
            if new && service.released.turned_before_halt.is_none() {
                service.released.harmed_before_halt += harmed;
            }
        }
        let Some(member) = &self.nodes[node].member else {
            return;
        };
        let ready = now >= service.nodes[node].ready_at && service.nodes[node].ending.is_none();
        let mut reports = Vec::new();
        if service.reports && is_in {
            for n in 0..service.engines.len().min(4) {
                let at = (draws[2] * service.engines.len() as f64) as usize + n;
                let engine = &service.engines[at % service.engines.len()];
                if engine.now().1 == ServiceStatus::InService {
                    let used = service.used_of(now, engine.role, 0);
                    let bad = if engine.new {
                        bad_of(service.play.version)
                    } else {
                        0.0
                    };
                    let harmed = ((5.0 * (bad + service.burst) + draws[3]) as u64).min(5);
                    let tally = OutcomeCounts {
                        succeeded: 5 - harmed,
                        rejected: harmed,
                        ..OutcomeCounts::default()
                    };
                    reports.push(EngineReport {
                        engine: engine.name.clone(),
                        utilization: Some((used, 50.0)),
                        outcomes: tally,
                    });
                }
            }
        }
        let local_health = LocalHealth {
            ready,
            utilization: 0.2,
            outcomes: service.nodes[node].tally,
            reports,
        };
        let engines = member.wants_engines().then(|| self.units(node));
        if now
            >= self
                .service
                .as_ref()
                .map_or(f64::INFINITY, |s| s.nodes[node].dies_at)
            && is_in
        {
            return self.dies(node);
        }
        self.give(node, Input::LocalHealth(local_health));
        if let Some(engines) = engines {
            self.give(node, Input::Engines(engines));
        }
    }

    /// The engines as a node's list has them: late, and without those that were gone before it started.
    fn units(&self, node: usize) -> Vec<Unit> {
        let Some(service) = &self.service else {
            return Vec::new();
        };
        let serving = &service.nodes[node];
        let began = serving.ready_at - service.play.starts;
        let seen = self.now - LIST_LATE;
        let unit = |engine: &Engine| {
            let (at, stand, started) = engine.at(seen);
            if stand == ServiceStatus::OutOfService && at < began {
                return None;
            }
            let cold = started.is_some_and(|at| seen < at + service.play.slow_start_window);
            let stand = if stand == ServiceStatus::InService && cold {
                ServiceStatus::Starting
            } else {
                stand
            };
            Some(Unit {
                name: engine.name.clone(),
                incarnation: Incarnation(started.map_or(0, f64::to_bits)),
                address: Address::from("host"),
                zone: engine.zone.clone(),
                cell: engine.cell.clone(),
                kind: if engine.role == Role::Prefill {
                    "reader"
                } else {
                    "writer"
                }
                .to_owned(),
                role: Some(engine.role),
                label: String::new(),
                status: stand,
                utilization: None,
                outcomes: OutcomeCounts::default(),
            })
        };
        service.engines.iter().filter_map(unit).collect()
    }

    /// A process of a bad version dies by itself; its supervisor starts it again as it was.
    fn dies(&mut self, node: usize) {
        self.kill(node);
        self.met("died by itself");
        let after = 100.0 + 200.0 * self.chance();
        self.push(self.now + after, What::Start(node));
    }

    /// A process has its turn and drains.
    pub(super) fn turn_begins(&mut self, node: usize, permit: PermitId, label: &str) {
        let was_in = self.is_in(node);
        self.met("turn begun");
        self.hash
            .update(format!("{:.6} turn {} {node} {label}", self.now, permit.0).as_bytes());
        if was_in {
            self.judge_out(UnitKind::Dispatchers, node);
        }
        self.judge_turn(permit, label);
        let now = self.now;
        let drains = self.service.as_ref().map_or(0.0, |s| s.play.drains) * (0.5 + self.chance());
        let starts = self.nodes[node].starts;
        let Some(service) = &mut self.service else {
            return;
        };
        let wrong = service.play.wrong_label == Some(node);
        let this = &mut service.nodes[node];
        if !label.is_empty() {
            this.wanted = label.to_owned();
            // Once, and then its supervisor does as it is told.
            if !wrong {
                this.label = label.to_owned();
            }
        }
        (this.ending, this.planned, this.turned_at) = (Some(starts), true, now);
        this.wrong_since = None;
        if wrong {
            service.play.wrong_label = None;
        }
        self.push(now + drains, What::Ended { node, starts });
    }

    pub(super) fn is_ending(&self, node: usize) -> bool {
        self.service
            .as_ref()
            .is_some_and(|s| s.nodes[node].ending == Some(self.nodes[node].starts))
    }

    /// A process that had its turn is over; its supervisor starts the next.
    pub(super) fn turn_ended(&mut self, node: usize, starts: u64) {
        if self.nodes[node].starts == starts && self.nodes[node].member.is_some() {
            self.kill(node);
            let away = self.service.as_ref().map_or(0.0, |s| s.play.away) * (0.5 + self.chance());
            self.push(self.now + away, What::Start(node));
        }
    }

    /// The keeper of the list obeyed: an engine drains.
    pub(super) fn keeper_told(&mut self, told: &PermitNotice) {
        let Some(at) = self
            .service
            .as_ref()
            .and_then(|s| s.engines.iter().position(|h| h.name == told.unit))
        else {
            return;
        };
        let Some(service) = &self.service else { return };
        let (_, stand, started) = service.engines[at].now();
        let asked_back = service.asked_back.contains(&told.permit);
        if asked_back
            || stand != ServiceStatus::InService
            || started.map_or(0, f64::to_bits) != told.incarnation.0
        {
            return self.met("host's turn that was had");
        }
        self.met("host drained");
        self.judge_out(UnitKind::Engines, at);
        self.judge_turn(told.permit, "");
        self.engine_goes(at, true, told.permanent, Some(told.label.as_str()));
    }

    fn engine_goes(&mut self, at: usize, planned: bool, stays: bool, label: Option<&str>) {
        let now = self.now;
        let chance = 0.5 + self.chance();
        let Some(service) = &mut self.service else {
            return;
        };
        let (drains, away) = (service.play.drains * chance, service.play.away * chance);
        let engine = &mut service.engines[at];
        let started = engine.now().2;
        engine.planned |= planned;
        if let Some(label) = label {
            engine.new = label != "v1" && !label.is_empty();
        }
        engine.number += 1;
        let number = engine.number;
        if planned {
            engine.told.push((now, ServiceStatus::Draining, started));
        }
        let gone = if planned { now + drains } else { now };
        self.push(
            gone,
            What::Engine {
                at,
                number,
                back: false,
            },
        );
        if !stays {
            self.push(
                gone + away,
                What::Engine {
                    at,
                    number,
                    back: true,
                },
            );
        }
    }

    pub(super) fn engine_step(&mut self, at: usize, number: u64, back: bool) {
        let now = self.now;
        let Some(service) = &mut self.service else {
            return;
        };
        let engine = &mut service.engines[at];
        if engine.number != number {
            return;
        }
        let started = engine.now().2;
        engine.told.push(if back {
            (now, ServiceStatus::InService, Some(now))
        } else {
            (now, ServiceStatus::OutOfService, started)
        });
    }

    /// An engine that fails by itself, and comes back cold.
    pub(super) fn engine_dies(&mut self, at: usize) {
        if self.service.as_ref().is_some_and(|s| !s.engines.is_empty()) {
            let at = at % self.service.as_ref().map_or(1, |s| s.engines.len());
            self.met("host died");
            self.engine_goes(at, false, false, None);
        }
    }

    /// Whether an engine's turn has begun, as its list's keeper knows.
    pub(super) fn keeper_asked_back(
        &mut self,
        permit: PermitId,
        who: &Name,
        incarnation: Incarnation,
    ) -> bool {
        let Some(service) = &mut self.service else {
            return true;
        };
        let engine = service.engines.iter().find(|h| h.name == *who);
        let begun = engine.is_none_or(|h| {
            let (_, stand, started) = h.now();
            stand != ServiceStatus::InService || started.map_or(0, f64::to_bits) != incarnation.0
        });
        if !begun {
            // What it says that it has not begun it does not begin, whenever it is told.
            service.asked_back.insert(permit);
        }
        begun
    }

    pub(super) fn set_burst(&mut self, part: f64) {
        if let Some(service) = &mut self.service {
            service.burst = part;
        }
    }

    pub(super) fn set_reports(&mut self, on: bool) {
        if let Some(service) = &mut self.service {
            service.reports = on;
        }
    }

    pub(super) fn shrink(&mut self) {
        let Some((_, gone)) = self.service.as_ref().and_then(|s| s.play.shrinks.clone()) else {
            return;
        };
        for node in gone {
            self.kill(node);
            if let Some(service) = &mut self.service {
                service.nodes[node].removed = true;
            }
        }
    }

    pub(super) fn is_removed(&self, node: usize) -> bool {
        self.service.as_ref().is_some_and(|s| s.nodes[node].removed)
    }

    /// What the voters' files hold, for the judge.
    pub(super) fn filed(&mut self, voter: usize, kept: &AcceptorState) {
        let Some((_, value)) = &kept.accepted else {
            return;
        };
        let Some(service) = &mut self.service else {
            return;
        };
        for number in value.disruptions.permits.keys() {
            service.filed.entry(*number).or_default().insert(voter);
        }
        if service.filed.len() > 4096 {
            service.filed.pop_first();
        }
        if self.plan.weigh {
            let bytes = cindercleat_fleet::acceptor_storage::encode(kept).len();
            service.released.largest = service.released.largest.max(bytes);
        }
    }
}

fn bad_of(version: Version) -> f64 {
    if let Version::Worse(part) = version {
        part
    } else {
        0.0
    }
}

/// The judge of who was out.
impl World {
    /// Looks at the truth: since when each is out.
    pub(super) fn watch(&mut self) {
        self.push(self.now + WATCH, What::Watch);
        let now = self.now;
        let states: Vec<bool> = (0..self.nodes.len()).map(|node| self.is_in(node)).collect();
        let Some(service) = &mut self.service else {
            return;
        };
        let slow_start_window = service.play.slow_start_window;
        for (serving, is_in) in service.nodes.iter_mut().zip(states) {
            if is_in {
                let wrong = serving.planned && serving.label != serving.wanted;
                serving.wrong_since = wrong.then(|| serving.wrong_since.unwrap_or(now));
                // Planned until it is in again; a process that has not ended yet is not back.
                if !wrong && now > serving.turned_at {
                    serving.planned = false;
                }
                (serving.out_since, serving.was_in) = (None, true);
            } else {
                serving.out_since.get_or_insert(now);
            }
        }
        for engine in &mut service.engines {
            let (_, stand, started) = engine.now();
            let cold = started.is_some_and(|at| now < at + slow_start_window);
            if stand == ServiceStatus::InService && !cold {
                (engine.out_since, engine.planned) = (None, false);
            } else {
                engine.out_since.get_or_insert(now);
            }
        }
        let label = |label: &str| {
            service
                .nodes
                .iter()
                .all(|n| n.removed || n.out_since.is_none() && n.label == label)
        };
        if let (Some(began), None) = (service.released.began, service.released.whole) {
            if now > began + 1.0
                && service.released.begun > 0
                && (label("v2") || (label("v1") && service.resumed.is_some()))
            {
                service.released.whole = Some(now);
            }
        }
        if now - service.checked >= 1_000.0 {
            service.checked = now;
            self.look_at_status();
        }
    }

    /// What failed is known after this long, and what was decided before that may still come.
    fn window(&self) -> Ms {
        let every = self.plan.heartbeat.max(self.nodes.len() as f64 * 2.0);
        4.5 * every + 1.3 * self.plan.lease + LIST_LATE + 2.0 * FARES + 200.0
    }

    /// One that was in goes out by plan: whether that is one too many.
    fn judge_out(&mut self, of: UnitKind, who: usize) {
        let (now, window) = (self.now, self.window());
        let Some(service) = &mut self.service else {
            return;
        };
        service.released.begun += 1;
        let long = |since: Option<Ms>| since.is_some_and(|at| now - at > window);
        let zone_of = |at: usize| format!("z{}", at % 3);
        let (bounds, outs): (DisruptionBudget, Vec<(usize, bool)>) = match of {
            UnitKind::Dispatchers => {
                let recounted = service.recounted;
                let nodes = service
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|(_, n)| n.was_in && (!n.removed || !recounted));
                let out = |n: &Serving| (n.planned && n.out_since.is_some()) || long(n.out_since);
                (
                    service.play.bounds.0,
                    nodes.map(|(at, n)| (at, at == who || out(n))).collect(),
                )
            }
            UnitKind::Engines => {
                let out = |h: &Engine| h.planned || long(h.out_since);
                let engines = service.engines.iter().enumerate();
                (
                    service.play.bounds.1,
                    engines.map(|(at, h)| (at, at == who || out(h))).collect(),
                )
            }
        };
        let zone = zone_of(who);
        let mut wrong = Vec::new();
        let mut check = |what: String, most: MaxUnavailable, among: &dyn Fn(usize) -> bool| {
            let size = outs.iter().filter(|(at, _)| among(*at)).count() as u32;
            let out = outs.iter().filter(|(at, out)| among(*at) && *out).count() as u32;
            if out > most.limit_for(size) {
                wrong.push(format!(
                    "{what}: {out} of {size} are out, and {} may be",
                    most.limit_for(size)
                ));
            }
        };
        check("the fleet".to_owned(), bounds.fleet, &|_| true);
        check(format!("zone {zone}"), bounds.zone, &|at| {
            zone_of(at) == zone
        });
        if of == UnitKind::Engines {
            let (cell, role) = (service.engines[who].cell.clone(), service.engines[who].role);
            let in_cell = |at: usize| service.engines[at].cell == cell && zone_of(at) == zone;
            check(format!("cell {cell}"), bounds.cell, &in_cell);
            // What those left have to bear, with what is known of late: a load that has been so for long.
            let before = now - window - bounds.max_report_age_ms as f64;
            let steady = service.used(before.max(0.0)).min(service.used(now));
            let load = service.used_of(now, role, 1) * steady / service.used(now).max(1e-9);
            if load * 1000.0 > f64::from(bounds.max_utilization_per_mille) + 20.0 {
                wrong.push(format!("those left are used to {load:.2}"));
            }
        }
        let name = if of == UnitKind::Engines {
            format!("h{who}")
        } else {
            format!("d{who}")
        };
        let story = self.story_of(of);
        for what in wrong {
            self.judge.breach_with(
                "too many out",
                format!("at {now:.1} ms {name} goes: {what}"),
                &story,
            );
        }
    }

    fn story_of(&self, of: UnitKind) -> Vec<String> {
        let Some(service) = &self.service else {
            return Vec::new();
        };
        match of {
            UnitKind::Dispatchers => {
                let line = |(at, n): (usize, &Serving)| {
                    let since = n.out_since.map(|at| self.now - at);
                    format!(
                        "d{at} {} {} out for {since:?} planned {}",
                        n.label, n.wanted, n.planned
                    )
                };
                service
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|(_, n)| n.out_since.is_some())
                    .map(line)
                    .collect()
            }
            UnitKind::Engines => {
                let line = |h: &Engine| format!("{} {:?} planned {}", h.name.0, h.now(), h.planned);
                service
                    .engines
                    .iter()
                    .filter(|h| h.out_since.is_some())
                    .map(line)
                    .collect()
            }
        }
    }

    /// A turn begins: is it agreed on, is nothing halted, and did those before it come back as they should?
    fn judge_turn(&mut self, permit: PermitId, label: &str) {
        let (now, voters) = (self.now, self.plan.voters);
        let settle = 2_000.0 + self.window();
        let Some(service) = &mut self.service else {
            return;
        };
        service.last_seen = now;
        let mut wrong: Vec<(&'static str, String)> = Vec::new();
        let filed = service.filed.get(&permit).map_or(0, BTreeSet::len);
        if 2 * filed <= voters {
            wrong.push((
                "not agreed",
                format!(
                    "at {now:.1} ms turn {} begins, and {filed} voters have it",
                    permit.0
                ),
            ));
        }
        // One operator may have another's halt go on: an order that is under way may have been carried out.
        let goes_on = |d: &Doing| {
            matches!(d.op.act, Act::Resume | Act::Back) && d.began.is_some() && d.done.is_none()
        };
        let open = service.doing.iter().any(goes_on);
        if let Some(at) = service.halted.filter(|_| !open) {
            wrong.push((
                "after a halt",
                format!(
                    "at {now:.1} ms turn {} begins, halted since {at:.1}",
                    permit.0
                ),
            ));
        }
        if let Some(given) = service.halt_given {
            service.released.halt_to_last.push(now - given);
        }
        let fine = |n: &Serving| n.wrong_since.is_none_or(|at| now - at < settle);
        if label == "v2" && service.resumed.is_none() {
            if let Some(at) = service.nodes.iter().position(|n| !fine(n)) {
                let n = &service.nodes[at];
                let what = format!(
                    "at {now:.1} ms a turn begins, and d{at} is back under {} in place of {}",
                    n.label, n.wanted
                );
                wrong.push(("went on over a wrong label", what));
            }
        }
        for (kind, what) in wrong {
            self.judge.breach_with(kind, what, &[]);
        }
    }

    /// What the release says of itself: only to see that it ends or says why it waits, and to have an operator act.
    fn look_at_status(&mut self) {
        let now = self.now;
        let caller = (0..self.nodes.len()).find(|&at| {
            let awake = now >= self.nodes[at].asleep_until;
            awake
                && self.nodes[at]
                    .member
                    .as_ref()
                    .is_some_and(|m| m.membership().is_some())
        });
        let Some(status) = caller
            .and_then(|at| self.nodes[at].member.as_ref())
            .map(Member::rollout_status)
        else {
            return;
        };
        let Some(service) = &mut self.service else {
            return;
        };
        let first = status.state == "halted" && service.released.state != "halted";
        let ours = service.halted.is_some() || service.halt_given.is_some();
        if first && service.released.turned_before_halt.is_none() {
            service.released.turned_before_halt = Some(service.released.begun);
        }
        if first && !ours {
            service.released.halts_by_sign += 1;
            let again = service
                .play
                .after_halt
                .clone()
                .filter(|_| service.released.halts_by_sign <= 4);
            if let Some(act) = again {
                let op = Op {
                    at: now + 1_500.0,
                    node: 0,
                    act,
                };
                service.doing.push(Doing {
                    op,
                    began: None,
                    asked: 0.0,
                    done: None,
                    tries: 0,
                });
                let number = service.doing.len() - 1;
                self.push(now + 1_500.0, What::Op(number));
            }
            self.met(&format!("halted by a sign: {}", kind_of(&status.halted)));
        }
        let Some(service) = &mut self.service else {
            return;
        };
        let forward = service.resumed.is_none()
            && status.unit_kind == UnitKind::Dispatchers
            && status.abandoned.is_empty();
        let behind = |n: &Serving| !n.removed && n.label == "v1";
        if status.state == "done" && forward && service.released.state != "done" {
            if let Some(at) = service.nodes.iter().position(behind) {
                let what = format!("at {now:.1} ms it is done, and d{at} is under the old label");
                self.judge.breach_with("done early", what, &[]);
            }
        }
        let Some(service) = &mut self.service else {
            return;
        };
        (service.released.state, service.released.why) =
            (status.state.clone(), status.blocked_reason.clone());
        if service.released.why.is_empty() {
            service.released.why = status.halted;
        }
    }

    /// At the end: whole, or it says why not.
    pub(super) fn judge_end(&mut self) -> Option<Released> {
        let recovers = self.plan.recovers;
        let end = self.plan.length;
        let service = self.service.take()?;
        // Nothing went out for long, so that it should have said why.
        let quiet = end - self.plan.quiet_from().max(service.last_seen);
        let released = service.released.clone();
        let told = matches!(released.state.as_str(), "done" | "halted" | "none")
            || !released.why.is_empty();
        if recovers
            && released.began.is_some()
            && !told
            && released.whole.is_none()
            && quiet > 20_000.0
        {
            let what = format!("it is {} at the end and does not say why", released.state);
            self.judge.breach_with("silent", what, &[]);
        }
        Some(released)
    }
}

fn kind_of(why: &str) -> &'static str {
    let kinds = [
        ("do worse", "worse"),
        ("fell", "fell"),
        ("came back under", "label"),
        ("more are out", "bounds"),
    ];
    kinds
        .iter()
        .find(|(words, _)| why.contains(words))
        .map_or("late", |(_, kind)| kind)
}

/// Operators.
impl World {
    /// An operator acts, or acts again.
    pub(super) fn operate(&mut self, number: usize) {
        let now = self.now;
        let Some(service) = &mut self.service else {
            return;
        };
        let nodes = service.nodes.len();
        let Some(doing) = service.doing.get_mut(number).filter(|d| d.done.is_none()) else {
            return;
        };
        doing.tries += 1;
        if doing.tries > 400 {
            return;
        }
        let first = doing.began.is_none();
        doing.began.get_or_insert(now);
        doing.asked = now;
        let (mut node, act) = (doing.op.node % nodes, doing.op.act.clone());
        if self.nodes[node].member.is_none() {
            // It does not answer: another one is asked.
            node = (node + 1) % nodes;
            if let Some(service) = &mut self.service {
                service.doing[number].op.node = node;
            }
        }
        if let (true, Some(service)) = (first, &mut self.service) {
            match act {
                Act::Halt => {
                    service.halt_given = Some(now);
                    if service.released.turned_before_halt.is_none() {
                        service.released.turned_before_halt = Some(service.released.begun);
                    }
                }
                Act::Resume | Act::Back => {
                    (service.halted, service.halt_given, service.resumed) = (None, None, Some(now));
                    service.released.whole = None;
                    // Those under another label are an operator's to know from now on.
                    service.nodes.iter_mut().for_each(|n| n.wrong_since = None);
                }
                _ => {}
            }
        }
        let order = match act {
            Act::Start(plan) => RolloutRequest::Start {
                plan,
                skip_missing: false,
                dry_run: false,
            },
            Act::Halt => RolloutRequest::Halt {
                reason: "an operator says so".to_owned(),
            },
            Act::Resume => RolloutRequest::Resume,
            Act::Back => RolloutRequest::RollBack,
            Act::End => RolloutRequest::End,
            Act::Recount => RolloutRequest::Recount {
                unit_kind: UnitKind::Dispatchers,
            },
            Act::Turn(at) => RolloutRequest::Permit {
                name: name_of(at % nodes),
                label: String::new(),
                cancel: false,
            },
        };
        self.numbers += 1;
        let call = CallId(self.numbers);
        self.nodes[node]
            .calls
            .insert(call, MultiplexedConnection::Operator(Some(number)));
        self.give(
            node,
            Input::RequestReceived {
                call,
                question: MemberRequest::Operator(OperatorRequest::Rollout(order)),
            },
        );
        // No answer is asked for again.
        self.push(now + 1_000.0, What::OpAgain(number, now));
    }

    pub(super) fn operate_again(&mut self, number: usize, asked: Ms) {
        let again = self.service.as_ref().and_then(|s| s.doing.get(number));
        if again.is_some_and(|d| d.done.is_none() && d.asked == asked) {
            if let Some(service) = &mut self.service {
                service.doing[number].op.node += 1;
            }
            self.operate(number);
        }
    }

    pub(super) fn operator_told(&mut self, number: usize, reply: &Reply) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(service) = &mut self.service else {
            return;
        };
        let Some(doing) = service.doing.get_mut(number).filter(|d| d.done.is_none()) else {
            return;
        };
        let act = doing.op.act.clone();
        match reply {
            Reply::Done(_) => {
                doing.done = Some(now);
                let began = doing.began.unwrap_or(now);
                match act {
                    Act::Start(_) => {
                        service.released.began.get_or_insert(now);
                        self.met("release started");
                    }
                    Act::Halt => {
                        // Another operator's order that crossed it may have undone it; both are told what they did.
                        let goes_on = |d: &Doing| {
                            matches!(d.op.act, Act::Resume | Act::Back)
                                && d.began.is_some()
                                && d.done.is_none_or(|at| at >= began)
                        };
                        let crossed = service.doing.iter().any(goes_on);
                        service.halted = (!crossed).then_some(now);
                        service.released.halt_acknowledged.push(now - began);
                        self.met("halt acknowledged");
                    }
                    Act::Resume | Act::Back => {
                        (service.halted, service.halt_given) = (None, None);
                        self.met(if act == Act::Back {
                            "went back"
                        } else {
                            "resumed"
                        });
                    }
                    Act::End => self.met("ended"),
                    Act::Recount => {
                        service.recounted = true;
                        self.met("recounted");
                    }
                    Act::Turn(_) => self.met("turn by request"),
                }
            }
            Reply::Redirect(address) => {
                if let Some(at) = place_of(address, nodes) {
                    service.doing[number].op.node = at;
                }
                self.push(now + 5.0, What::Op(number));
            }
            Reply::Refused(why) => {
                let wait = why.contains("in a moment")
                    || why.contains("no majority")
                    || why.contains("calls the roll");
                if wait {
                    self.push(now + 300.0, What::Op(number));
                } else {
                    service.doing[number].done = Some(now);
                    self.met(&format!(
                        "order refused: {}",
                        why.split(&[':', ',', ';'][..]).next().unwrap_or(why)
                    ));
                }
            }
            _ => self.push(now + 50.0, What::Op(number)),
        }
    }
}
