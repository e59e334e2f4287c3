//! The parts of a drill with a release: stand-in engines under load, their list and its keeper, supervisors that start
//! processes again under the label they are told, operators' commands, and a judge of who was out when. It sees
//! processes that run or not, who follows the list, what a process tells its supervisor, and what the keeper did.

use super::{Process, Seen};
use crate::duties::service::Version;
use crate::duties::Breach;
use crate::fleet::Fleet;
use crate::plan::{rules, Day};
use cindercleat::coordination::disruption_budget::{DisruptionBudget, UnitKind};
use cindercleat::coordination::fencing::{FencingDecision, Receiver};
use cindercleat::coordination::member::{Answer, MemberRequest};
use cindercleat::coordination::rollout::PermitId;
use cindercleat::coordination::rollout_controller::PermitNotice;
use cindercleat::coordination::{Incarnation, Name};
use cindercleat::interface::Ms;
use cindercleat_fleet::codec::{answer_to_proto, request_from_proto};
use cindercleat_grpc::{serve, Event, Session, Setup};
use cindercleat_net::{Clock, Tcp, TokioClock};
use cindercleat_protocol::{frame, v1, Body, Frame};
use cindercleat_standin::audit::audit;
use cindercleat_standin::client::Clients;
use cindercleat_standin::transcript::{Note, Transcript};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_blocking, spawn_local, JoinHandle};

/// What an operator orders, in the words of the command line after `fleet --at ADDRESS`.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub at: Ms,
    pub words: Vec<String>,
}

/// A release in a drill.
#[derive(Clone, Debug)]
pub struct Release {
    /// Engines, what is served, and the clients' traffic.
    pub day: Day,
    pub bounds: (DisruptionBudget, DisruptionBudget),
    /// The same, as lines of a settings file.
    pub bounds_text: String,
    /// The plan's file, as the operator has it.
    pub plan: String,
    pub version: Version,
    pub orders: Vec<Order>,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Released {
    pub permits: u64,
    pub drains: u64,
    /// The most that were out at once: dispatchers and engines, planned or not.
    pub most_out: (u32, u32),
    pub orders: BTreeMap<String, u64>,
    pub refused: BTreeMap<String, u64>,
    /// From a halt to its acknowledgement.
    pub halts: Vec<Ms>,
    pub labels: BTreeMap<String, u64>,
    pub tries: u64,
    pub finals: u64,
    /// What 'release status' told.
    pub states: Vec<String>,
}

/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// A supervisor starts the next process after this.
const AWAY: Ms = 150.0;
/// An engine's drain, its absence.
const DRAINS: Ms = 600.0;
const GONE: Ms = 300.0;
/// For the way between two ends on a busy machine, in the audit's bounds.
const SLACK: Ms = 350.0;

type TcpFleet = Fleet<Tcp, TokioClock>;

/// One engine's standing with the keeper.
#[derive(Clone, Debug, Default)]
struct Standing {
    out_since: Option<Ms>,
    planned: bool,
    ready_at: Ms,
}

/// All that stands around the processes.
pub(super) struct Around {
    pub release: Release,
    pub fleet: Rc<TcpFleet>,
    pub seen: Rc<RefCell<Seen>>,
    processes: Rc<RefCell<Vec<Process>>>,
    engines: RefCell<BTreeMap<String, Standing>>,
    halted: RefCell<Option<Ms>>,
    asked_back: RefCell<BTreeSet<PermitId>>,
    pub released: RefCell<Released>,
    breaches: RefCell<Vec<Breach>>,
    lease: Ms,
    program: PathBuf,
}

/// Starts the stand-in engines and their list.
pub(super) async fn start_fleet(day: &Day) -> io::Result<Rc<TcpFleet>> {
    let place = |_: &str, _: &str| (Tcp, "127.0.0.1:0".to_owned());
    Ok(Rc::new(
        Fleet::start(day, place, TokioClock::system(), Transcript::default()).await?,
    ))
}

impl Around {
    pub fn new(
        release: Release,
        fleet: Rc<TcpFleet>,
        seen: Rc<RefCell<Seen>>,
        processes: Rc<RefCell<Vec<Process>>>,
        lease: Ms,
        program: &Path,
    ) -> Rc<Around> {
        let engines = fleet
            .engines
            .keys()
            .map(|name| (name.clone(), Standing::default()))
            .collect();
        Rc::new(Around {
            release,
            fleet,
            seen,
            processes,
            engines: RefCell::new(engines),
            halted: RefCell::default(),
            asked_back: RefCell::default(),
            released: RefCell::default(),
            breaches: RefCell::default(),
            lease,
            program: program.to_owned(),
        })
    }

    fn now(&self) -> Ms {
        self.seen.borrow().now()
    }

    fn breach(&self, kind: &'static str, what: String) {
        self.breaches.borrow_mut().push(Breach { kind, what });
    }

    /// What a settings file of a label says: a bad version is one with other settings.
    pub fn text(&self, base: &str, label: &str) -> String {
        let new = label != "v1";
        let feed = match self.release.version {
            Version::NeverReady if new => "127.0.0.1:9",
            _ => &self.fleet.feed_address,
        };
        let limits = match self.release.version {
            Version::Worse(_) if new => "limits\n    most-tasks 1\n",
            _ => "limits\n",
        };
        base.replace("{feed}", feed)
            .replace("{label}", label)
            .replace("limits\n", limits)
    }

    /// Looks after the processes: what they tell, whether they run; starts them again.
    pub async fn supervise(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.now();
            let mut begun = Vec::new();
            let mut processes = self.processes.borrow_mut();
            for (at, process) in processes.iter_mut().enumerate() {
                for line in process.new_lines() {
                    if let Some(label) = turn_of(&line) {
                        begun.push((at, line.clone(), label));
                    }
                }
                let runs = process.runs();
                let follows = runs && self.fleet.feed.is_followed_by(&process.name);
                let is_in = follows && !process.turning && !process.asleep;
                if is_in {
                    (process.out_since, process.planned) = (None, false);
                    process.in_since.get_or_insert(now);
                } else {
                    process.out_since.get_or_insert(now);
                    process.in_since = None;
                }
                self.look_after(now, process, runs);
            }
            drop(processes);
            for (at, line, label) in begun {
                self.turn_begins(at, &line, label);
            }
            self.count_out(now);
        }
    }

    fn look_after(&self, now: Ms, process: &mut Process, runs: bool) {
        if let Version::Dies(after) = self.release.version {
            let old = process.in_since.is_some_and(|at| now - at > after);
            if process.label != "v1" && old && runs {
                self.note(process, Note::Killed);
                process.kill();
                process.again_at = Some(now + AWAY);
            }
        }
        // One that a trouble ended comes back when that is over.
        if !runs && process.child.is_some() && !process.by_trouble {
            process.kill();
            process.again_at = Some(now + AWAY);
        }
        if process.again_at.is_some_and(|at| now >= at) {
            process.again_at = None;
            let text = self.text(&process.text, &process.label);
            let started =
                std::fs::write(&process.settings, text).and_then(|()| process.start(&self.program));
            if let Err(problem) = started {
                self.breach("not started", format!("{}: {problem}", process.name));
            }
        }
    }

    /// Writes down what was done to a process.
    pub fn note(&self, process: &Process, what: Note) {
        let name: Rc<str> = Rc::from(process.name.as_str());
        self.fleet
            .transcript
            .note(self.fleet.clock.now(), &name, what);
    }

    /// A process told its supervisor that it has its turn.
    fn turn_begins(&self, at: usize, line: &str, label: String) {
        let now = self.now();
        self.released.borrow_mut().permits += 1;
        self.judge(UnitKind::Dispatchers, &format!("d{at}"), line);
        let mut processes = self.processes.borrow_mut();
        let process = &mut processes[at];
        if !label.is_empty() {
            process.label = label;
        }
        (process.turning, process.planned) = (true, true);
        process.out_since.get_or_insert(now);
    }

    /// What failed is known after this long, and what was decided before that may still come.
    fn window(&self) -> Ms {
        4.5 * self.lease / 5.0 + 1.3 * self.lease + 500.0
    }

    fn judge(&self, of: UnitKind, who: &str, line: &str) {
        let (now, window) = (self.now(), self.window());
        if let Some(at) = *self.halted.borrow() {
            self.breach(
                "after a halt",
                format!("at {now:.0} ms {who} begins ({line}), halted since {at:.0}"),
            );
        }
        let long = |since: Option<Ms>| since.is_some_and(|at| now - at > window);
        let (bounds, outs): (DisruptionBudget, Vec<(String, bool)>) = match of {
            UnitKind::Dispatchers => {
                let processes = self.processes.borrow();
                let each = processes.iter().enumerate().map(|(at, p)| {
                    let out = p.name == who || p.planned || long(p.out_since);
                    (format!("z{}", at % 3), out)
                });
                (self.release.bounds.0, each.collect())
            }
            UnitKind::Engines => {
                let engines = self.engines.borrow();
                let each = engines.iter().map(|(name, member_status)| {
                    let zone = self.fleet.engines.get(name).map_or("", |h| &h.spec().zone);
                    (
                        zone.to_owned(),
                        name == who || member_status.planned || long(member_status.out_since),
                    )
                });
                (self.release.bounds.1, each.collect())
            }
        };
        let zone = match of {
            UnitKind::Dispatchers => format!(
                "z{}",
                who.trim_start_matches('d').parse::<usize>().unwrap_or(0) % 3
            ),
            UnitKind::Engines => self
                .fleet
                .engines
                .get(who)
                .map_or(String::new(), |h| h.spec().zone.clone()),
        };
        let count = |in_zone: bool| {
            let among = outs.iter().filter(|(z, _)| !in_zone || *z == zone);
            (
                among.clone().filter(|(_, out)| *out).count() as u32,
                among.count() as u32,
            )
        };
        for (what, most, (out, size)) in [
            ("the fleet", bounds.fleet, count(false)),
            ("its zone", bounds.zone, count(true)),
        ] {
            if out > most.limit_for(size) {
                let may = most.limit_for(size);
                self.breach(
                    "too many out",
                    format!("at {now:.0} ms {who} goes: of {what} {out} of {size} are out, {may} may be"),
                );
            }
        }
    }

    /// Engines that are ready again, and the most that were out.
    fn count_out(&self, now: Ms) {
        let mut engines = self.engines.borrow_mut();
        for member_status in engines.values_mut() {
            if member_status.out_since.is_some() && now >= member_status.ready_at {
                *member_status = Standing::default();
            }
        }
        let out = engines.values().filter(|s| s.out_since.is_some()).count() as u32;
        drop(engines);
        let mut released = self.released.borrow_mut();
        let gone = self
            .processes
            .borrow()
            .iter()
            .filter(|p| p.out_since.is_some())
            .count() as u32;
        if now > super::FROM {
            released.most_out = (released.most_out.0.max(gone), released.most_out.1.max(out));
        }
    }

    /// The keeper of the list: lists engines as draining by the roll-call's acts, and remembers what it was asked back.
    pub async fn keep(self: &Rc<Self>) -> io::Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let receiver = Rc::new(RefCell::new(Receiver::new(Incarnation(77), 0.01)));
        let around = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (around, receiver) = (around.clone(), receiver.clone());
                spawn_local(async move {
                    let setup = Setup {
                        party: v1::Party::Fleet,
                        name: "fleet".to_owned(),
                        expects: String::new(),
                        run: 0,
                        max_message_bytes: 1 << 20,
                        max_concurrent_calls: 64,
                    };
                    let _ = stream.set_nodelay(true);
                    let Ok(Session {
                        mut events, out, ..
                    }) = serve(stream, setup).await
                    else {
                        return;
                    };
                    while let Some(event) = events.recv().await {
                        let Event::Frame(Frame {
                            stream,
                            body: Some(Body::FleetCall(said)),
                        }) = event
                        else {
                            continue;
                        };
                        let answer = match request_from_proto(said) {
                            Some(MemberRequest::FencedCommand(act)) => {
                                let now = around.now();
                                let verdict = receiver.borrow_mut().receive(now, &act);
                                let receiver_timestamp = receiver.borrow().receiver_timestamp(now);
                                if let (FencingDecision::Executed, Some(told)) =
                                    (verdict, PermitNotice::read(&act.body))
                                {
                                    around.drain(told);
                                }
                                Answer::FencingDecision {
                                    verdict,
                                    receiver_timestamp,
                                }
                            }
                            Some(MemberRequest::RevokePermit {
                                permit,
                                unit: who,
                                incarnation,
                                ..
                            }) => Answer::RevocationResult {
                                begun: around.is_begun(permit, &who, incarnation),
                            },
                            _ => continue,
                        };
                        out.send(frame(stream, Body::FleetAnswer(answer_to_proto(&answer))));
                    }
                });
            }
        });
        Ok(address)
    }

    /// The start that an engine's line in the list tells.
    fn run_of(&self, who: &Name) -> Option<Incarnation> {
        let engine = self.fleet.engines.get(&*who.0)?;
        Some(Incarnation(
            engine
                .line(v1::EndpointStatus::Ready)
                .started_ms
                .map_or(0, f64::to_bits),
        ))
    }

    fn is_begun(&self, permit: PermitId, who: &Name, run: Incarnation) -> bool {
        let out = self.engines.borrow().get(&*who.0).is_none_or(|s| s.planned);
        let begun = out || self.run_of(who) != Some(run);
        if !begun {
            self.asked_back.borrow_mut().insert(permit);
        }
        begun
    }

    /// An engine drains, goes, and comes back cold.
    fn drain(self: &Rc<Self>, told: PermitNotice) {
        let out = self
            .engines
            .borrow()
            .get(&*told.unit.0)
            .is_none_or(|s| s.planned);
        if out
            || self.asked_back.borrow().contains(&told.permit)
            || self.run_of(&told.unit) != Some(told.incarnation)
        {
            return;
        }
        let name = told.unit.0.to_string();
        let Some(engine) = self.fleet.engines.get(&name).cloned() else {
            return;
        };
        self.released.borrow_mut().drains += 1;
        self.judge(UnitKind::Engines, &name, &format!("turn {}", told.permit.0));
        let now = self.now();
        if let Some(member_status) = self.engines.borrow_mut().get_mut(&name) {
            *member_status = Standing {
                out_since: Some(now),
                planned: true,
                ready_at: f64::INFINITY,
            };
        }
        let around = self.clone();
        spawn_local(async move {
            let feed = &around.fleet.feed;
            engine.trouble(|t| t.draining = true);
            feed.change(engine.line(v1::EndpointStatus::Draining));
            // What it has begun runs to its end, for as long as it is given.
            tokio::time::sleep(Duration::from_secs_f64((DRAINS + 2_000.0) / 1000.0)).await;
            engine.die();
            feed.change(engine.line(v1::EndpointStatus::Gone));
            if told.permanent {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(GONE / 1000.0)).await;
            if engine.start(&engine.address(), false).await.is_err() {
                return around.breach(
                    "not started",
                    format!("{}'s address is taken", engine.name()),
                );
            }
            engine.trouble(|t| t.draining = false);
            feed.change(engine.line(v1::EndpointStatus::Ready));
            let slow_start_window = around.release.day.service.policy.slow_start_window;
            if let Some(member_status) = around.engines.borrow_mut().get_mut(engine.name()) {
                member_status.ready_at = around.seen.borrow().now() + slow_start_window;
            }
        });
    }

    /// Operators: each order at its time, by the program's own command.
    pub fn operate(self: &Rc<Self>, folder: &Path) -> io::Result<Vec<JoinHandle<()>>> {
        let plan = folder.join("plan.conf");
        std::fs::write(&plan, &self.release.plan)?;
        let plan = plan.display().to_string();
        let orders = self.release.orders.clone();
        Ok(orders
            .into_iter()
            .map(|order| spawn_local(self.clone().order(order, plan.clone())))
            .collect())
    }

    async fn order(self: Rc<Self>, order: Order, plan: String) {
        let begin = self.seen.borrow().begin + Duration::from_secs_f64(order.at / 1000.0);
        tokio::time::sleep_until(begin.into()).await;
        let what = order.words.first().cloned().unwrap_or_default();
        let asked = self.now();
        if matches!(what.as_str(), "resume" | "back") {
            *self.halted.borrow_mut() = None;
        }
        // An order that nobody can take now is given again, as an operator would.
        for _ in 0..20 {
            let at: Vec<String> = self
                .processes
                .borrow()
                .iter()
                .map(|p| p.listens.clone())
                .collect();
            let mut command = Command::new(&self.program);
            command.arg("fleet");
            // From another dispatcher each time, the others after it.
            let first = (order.at as usize) % at.len();
            for n in 0..at.len() {
                command.args(["--at", &at[(first + n) % at.len()]]);
            }
            command.args(
                order
                    .words
                    .iter()
                    .map(|word| if word == "PLAN" { plan.as_str() } else { word }),
            );
            command.stdin(Stdio::null());
            let Ok(Ok(done)) = spawn_blocking(move || command.output()).await else {
                return;
            };
            if done.status.success() {
                if order.words.iter().any(|word| word == "status") {
                    let told = String::from_utf8_lossy(&done.stdout);
                    self.released
                        .borrow_mut()
                        .states
                        .push(told.trim().to_owned());
                }
                if what == "halt" {
                    let now = self.now();
                    *self.halted.borrow_mut() = Some(now);
                    self.released.borrow_mut().halts.push(now - asked);
                }
                *self.released.borrow_mut().orders.entry(what).or_default() += 1;
                return;
            }
            let why = String::from_utf8_lossy(&done.stderr).trim().to_owned();
            let again = [
                "in a moment",
                "majority",
                "calls the roll",
                "no answer",
                "refused",
                "another answer",
                "protocol error",
            ];
            if !again.iter().any(|words| why.contains(words)) {
                *self
                    .released
                    .borrow_mut()
                    .refused
                    .entry(format!("{what}: {why}"))
                    .or_default() += 1;
                return;
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    }

    /// Clients' traffic on the dispatchers, from now on.
    pub fn clients(&self, addresses: &[String], seed: u64) -> JoinHandle<()> {
        let fleet = &self.fleet;
        let with = (Tcp, fleet.clock, fleet.transcript.clone());
        spawn_local(Clients::new(self.release.day.habits.clone(), addresses, with, seed).run())
    }

    /// At the end: the five rules by what went over the stand-ins' sockets, and what was judged meanwhile.
    pub fn end(&self) -> (Released, Vec<Breach>) {
        let findings = audit(
            &self.fleet.transcript.records(),
            &rules(&self.release.day, SLACK),
        );
        let mut released = self.released.borrow().clone();
        (released.tries, released.finals) =
            (findings.cases.tries as u64, findings.cases.finals as u64);
        for process in self
            .processes
            .borrow()
            .iter()
            .filter(|p| p.in_since.is_some())
        {
            *released.labels.entry(process.label.clone()).or_default() += 1;
        }
        let mut breaches = std::mem::take(&mut *self.breaches.borrow_mut());
        let done = released
            .states
            .last()
            .is_some_and(|told| told.contains("\"state\":\"done\""));
        let back = released
            .orders
            .keys()
            .any(|words| matches!(words.as_str(), "back" | "end"));
        let forward = self.release.plan.contains("of dispatchers") && !back;
        if done && forward && released.labels.contains_key("v1") {
            let what = format!("it is done, and in are {:?}", released.labels);
            breaches.push(Breach {
                kind: "done early",
                what,
            });
        }
        let rule = |b: &cindercleat_standin::audit::Breach| Breach {
            kind: "one of the five rules",
            what: format!("{:?} at {:.0}: {}", b.rule, b.at, b.what),
        };
        breaches.extend(findings.breaches.iter().map(rule));
        (released, breaches)
    }
}

/// The label of a line in which a process tells that it has its turn.
fn turn_of(line: &str) -> Option<String> {
    let rest = line.strip_prefix("turn ")?;
    let (_, label) = rest.split_once(" label ").or(rest.split_once(" label"))?;
    Some(label.trim().to_owned())
}
