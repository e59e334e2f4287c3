//! Plays a day in memory on a virtual clock: the code that serves, stand-ins, faults; each record is held against
//! the model as it is made, and the rules and what users expect besides against the whole.

use crate::fleet::{befall, name, End, Fleet, Processes, CLIENTS};
use crate::model::{Again, Model};
use crate::plan::{apart, rules, silences, Day};
use cindercleat::interface::{Ms, RetrySafety};
use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_net::simulated_network::{address_of, SimulatedHost, SimulatedNetwork};
use cindercleat_net::{Clock, TokioClock, Transport};
use cindercleat_protocol::{v1, Body};
use cindercleat_standin::audit::{audit, Rule, Rules};
use cindercleat_standin::client::{Clients, End as Ended, Port};
use cindercleat_standin::transcript::{Note, Record, Transcript, Way, What};
use prost::Message;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle, LocalSet};
use xxhash_rust::xxh3::Xxh3;

/// For the way between a dispatcher and who sees it: the network conditions, and the millisecond of the clock's timers.
const SLACK: Ms = 30.0;
/// Instants begin here.
const BEGIN: Ms = 1_000_000.0;
/// After the last fault: requests are sent to see when the service is what it was.
const PROBE_EVERY: Ms = 100.0;
/// It must be, by then: connects that wait, cold engines that warm up, a list that is fetched anew.
const RECOVERED_WITHIN: Ms = 6_000.0;
const PROBE_KEY: &str = "recovery";

/// A clock that can be made to step on.
#[derive(Clone)]
pub struct StepClock {
    base: TokioClock,
    ahead: Rc<Cell<Ms>>,
    stepped: Rc<Notify>,
}

impl StepClock {
    fn new(base: TokioClock) -> Self {
        StepClock {
            base,
            ahead: Rc::default(),
            stepped: Rc::default(),
        }
    }

    fn step(&self, by: Ms) {
        self.ahead.set(self.ahead.get() + by.max(0.0));
        self.stepped.notify_waiters();
    }
}

impl Clock for StepClock {
    fn now(&self) -> Ms {
        self.base.now() + self.ahead.get()
    }

    async fn sleep_until(&self, at: Ms) {
        while self.now() < at {
            tokio::select! { biased;
                () = self.stepped.notified() => {}
                () = self.base.sleep_until(at - self.ahead.get()) => {}
            }
        }
    }
}

/// What is wrong with a played day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// A rule's name, or what users expect besides.
    pub kind: String,
    pub what: String,
}

/// What came of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub digest: u64,
    pub breaches: Vec<Breach>,
    /// Virtual milliseconds.
    pub length: Ms,
    /// From the end of the last fault until all is served in its latency objective time; none if there was nothing to see.
    pub recovery: Option<Ms>,
    /// Kinds of steps met, and how often.
    pub met: BTreeMap<String, u64>,
    #[serde(skip)]
    pub records: Vec<Record>,
}

struct Process {
    driver: Driver<SimulatedHost, StepClock>,
    stop: Rc<Notify>,
    done: Rc<Notify>,
    over: Rc<Cell<bool>>,
    request: AbortHandle,
}

struct Virtual {
    day: Day,
    fleet: Rc<Fleet<SimulatedHost, TokioClock>>,
    network: SimulatedNetwork,
    running: RefCell<Vec<Option<Process>>>,
    clocks: Vec<StepClock>,
    starts: Cell<u64>,
    /// The most that any dispatcher held at a look.
    most: Cell<usize>,
}

impl Virtual {
    async fn start_dispatcher(&self, at: u32) -> io::Result<Process> {
        self.starts.set(self.starts.get() + 1);
        let run = self
            .day
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(self.starts.get());
        let zones = &self.day.service.zones;
        let zone = at % zones.len() as u32;
        let name = name(at);
        let settings = self
            .day
            .service
            .dispatcher(&name, zone, (at, self.day.dispatchers), run);
        let place = self.network.host(&name, &zones[zone as usize]);
        let locations = Locations {
            discovery: vec![self.fleet.feed_address.clone()],
            ..Locations::default()
        };
        let clock = self.clocks[at as usize].clone();
        let listener = place.listen(&address_of(&name)).await?;
        let driver = Driver::new(settings, locations, place, clock, run);
        let (stop, done, over): (Rc<Notify>, Rc<Notify>, Rc<Cell<bool>>) = Default::default();
        // All that a process runs ends with it.
        let process = LocalSet::new();
        let serving = (driver.clone(), stop.clone(), done.clone(), over.clone());
        process.spawn_local(async move {
            let (driver, stop, done, over) = serving;
            // A listener in memory does not fail.
            let _ = driver.serve(listener, stop.notified()).await;
            over.set(true);
            done.notify_one();
        });
        let request = spawn_local(process).abort_handle();
        Ok(Process {
            driver,
            stop,
            done,
            over,
            request,
        })
    }
}

impl Processes for Virtual {
    async fn end(&self, at: u32, how: End) {
        let process = self
            .running
            .borrow_mut()
            .get_mut(at as usize)
            .and_then(Option::take);
        let Some(process) = process else { return };
        if how == End::Kill {
            let name: Rc<str> = Rc::from(name(at));
            self.fleet
                .transcript
                .note(self.fleet.clock.now(), &name, Note::Killed);
        } else {
            process.stop.notify_one();
            if !process.over.get() {
                process.done.notified().await;
            }
        }
        process.request.abort();
        // Its connections close in the turn after.
        tokio::task::yield_now().await;
    }

    async fn again(&self, at: u32) -> io::Result<()> {
        if self.running.borrow()[at as usize].is_none() {
            let process = self.start_dispatcher(at).await?;
            self.running.borrow_mut()[at as usize] = Some(process);
        }
        Ok(())
    }

    fn step_clock(&self, at: u32, by: Ms) {
        if let Some(clock) = self.clocks.get(at as usize) {
            clock.step(by);
        }
    }
}

/// Plays a day to its end. The same day gives the same records, in this process and in any other.
///
/// # Errors
/// The runtime cannot be had, or the day starts something twice.
pub fn play(day: &Day) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    LocalSet::new().block_on(&runtime, play_in(day))
}

async fn play_in(day: &Day) -> io::Result<Played> {
    let clock = TokioClock::starting_at(BEGIN);
    let network = SimulatedNetwork::new(day.seed ^ 0x5c1);
    let transcript = Transcript::default();
    let request_classes = day
        .service
        .request_classes
        .iter()
        .zip(&day.service.policy.request_classes);
    let again = request_classes.map(|(name, request_class)| {
        let again = match request_class.retry_safety {
            RetrySafety::Idempotent => Again::Always,
            RetrySafety::AtMostOnce => Again::Never,
            RetrySafety::IdempotencyKey { .. } => Again::IdempotencyKey,
        };
        (name.clone(), again)
    });
    let model = Rc::new(RefCell::new(Model::new(
        again.collect(),
        day.service.policy.max_attempts,
    )));
    let watching = model.clone();
    transcript.watch(move |record| watching.borrow_mut().see(record));
    let at = |name: &str, zone: &str| (network.host(name, zone), address_of(name));
    let fleet = Rc::new(Fleet::start(day, at, clock, transcript.clone()).await?);
    let clocks = (0..day.dispatchers)
        .map(|_| StepClock::new(clock))
        .collect();
    let running = RefCell::new((0..day.dispatchers).map(|_| None).collect());
    let processes = Rc::new(Virtual {
        day: day.clone(),
        fleet: fleet.clone(),
        network: network.clone(),
        running,
        clocks,
        starts: Cell::new(0),
        most: Cell::new(0),
    });
    for at in 0..day.dispatchers {
        processes.again(at).await?;
    }
    while fleet.feed.followers() < day.dispatchers as usize {
        clock.sleep_until(clock.now() + 1.0).await;
    }
    let addresses: Vec<String> = (0..day.dispatchers)
        .map(|at| address_of(&name(at)))
        .collect();
    let clients = Clients::new(
        day.habits.clone(),
        &addresses,
        (network.host(CLIENTS, CLIENTS), clock, transcript.clone()),
        day.seed,
    );
    let begin = clock.now();
    let watching = spawn_local(watch(processes.clone()));
    let troubles: Vec<_> = day
        .faults
        .iter()
        .map(|fault| {
            let (fleet, clients, processes) = (fleet.clone(), clients.clone(), processes.clone());
            spawn_local(befall(
                fault.clone(),
                begin,
                fleet,
                clients,
                processes,
                Some(network.clone()),
            ))
        })
        .collect();
    let last = day
        .faults
        .iter()
        .map(|f| f.at + f.length)
        .fold(0.0, f64::max);
    let recovering = {
        let (day, processes, addresses) = (day.clone(), processes.clone(), addresses.clone());
        spawn_local(async move { recover(&day, &processes, begin + last, &addresses).await })
    };
    clients.clone().run().await;
    for trouble in troubles {
        trouble.await.map_err(io::Error::other)??;
    }
    let recovery = recovering.await.map_err(io::Error::other)?;
    // What would stay pinned shows itself.
    let holds = day
        .engines
        .iter()
        .map(|h| h.hold)
        .fold(day.service.policy.kv_state_timeout, f64::max);
    clock.sleep_until(clock.now() + holds + SLACK).await;
    watching.abort();
    let mut breaches = Vec::new();
    let mut breach = |kind: &str, what: String| {
        breaches.push(Breach {
            kind: kind.to_owned(),
            what,
        })
    };
    for (at, process) in processes.running.borrow().iter().enumerate() {
        let held = process
            .as_ref()
            .map(|p| p.driver.usage())
            .unwrap_or_default();
        if held.requests > 0 {
            breach(
                "LeftOver",
                format!("dispatcher {at} still holds {} tasks", held.requests),
            );
        }
    }
    let states: usize = fleet.engines.values().map(|h| h.states()).sum();
    if states > 0 {
        breach("LeftOver", format!("{states} states are held at the end"));
    }
    if processes.most.get() > 4 * day.habits.requests.len() + 200 {
        breach(
            "Grows",
            format!(
                "a dispatcher held {} tasks, links and timers",
                processes.most.get()
            ),
        );
    }
    if let Some(late) = recovery.filter(|ms| *ms > RECOVERED_WITHIN) {
        breach(
            "NotRecovered",
            format!("{late:.0} ms after the last fault not all is served in time"),
        );
    }
    let records = transcript.records();
    let findings = audit(
        &records,
        &Rules {
            silences: silences(day, begin),
            apart: apart(day, begin),
            ..rules(day, SLACK)
        },
    );
    for found in &findings.breaches {
        breach(
            rule_name(found.rule),
            format!("{:.1}: {}", found.at, found.what),
        );
    }
    let model = model.borrow();
    model
        .breaches
        .iter()
        .for_each(|what| breach("IllegalStep", what.clone()));
    let mut met: BTreeMap<String, u64> = model
        .met
        .iter()
        .map(|(k, n)| ((*k).to_owned(), *n))
        .collect();
    for (request_class, answer) in &model.answers {
        met.insert(format!("{request_class} {answer}"), 1);
    }
    for fault in &day.faults {
        *met.entry(format!("fault {}", fault.trouble.name()))
            .or_default() += 1;
    }
    let cases = findings.cases;
    for (name, n) in [
        ("launch at a cold host", cases.cold_attempts),
        ("drain told", cases.drains),
    ] {
        met.insert(name.to_owned(), n as u64);
    }
    let length = clock.now() - BEGIN;
    Ok(Played {
        digest: digest(&records),
        breaches,
        length,
        recovery,
        met,
        records,
    })
}

pub fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::RequestLost => "TaskLost",
        Rule::EffectTwice => "EffectTwice",
        Rule::DrainBroken => "DrainBroken",
        Rule::ColdEnginePushed => "ColdHostPushed",
        Rule::LeftPinned => "LeftPinned",
        Rule::AttemptForNobody => "AttemptForNobody",
        Rule::EventLate => "EventLate",
        Rule::LargestStarved => "LargestStarved",
        Rule::SessionsSingledOut => "SessionsSingledOut",
    }
}

/// Looks at what the dispatchers hold, now and then.
async fn watch(processes: Rc<Virtual>) {
    let clock = processes.fleet.clock;
    loop {
        clock.sleep_until(clock.now() + 50.0).await;
        for process in processes.running.borrow().iter().flatten() {
            let held = process.driver.usage();
            let all = held.requests + held.connections + held.timers;
            processes.most.set(processes.most.get().max(all));
        }
    }
}

/// With all faults over, requests that all can be served are sent until ten in a row come in their latency objective time.
/// Gives how long after `since` the first of those was sent.
async fn recover(day: &Day, world: &Virtual, since: Ms, addresses: &[String]) -> Option<Ms> {
    let clock = world.fleet.clock;
    let traffic = day.habits.traffic.iter().find(|t| t.again_always)?.clone();
    let (transcript, place) = (
        world.fleet.transcript.clone(),
        world.network.host(CLIENTS, CLIENTS),
    );
    let ports: Vec<_> = addresses
        .iter()
        .map(|address| Port::new(PROBE_KEY, address, place.clone(), clock, transcript.clone()))
        .collect();
    clock.sleep_until(since).await;
    let (mut good, mut from) = (0, clock.now());
    for n in 0..200 {
        if good == 10 {
            break;
        }
        let now = clock.now();
        if now - since > RECOVERED_WITHIN + 2000.0 {
            return Some(f64::INFINITY);
        }
        let submit = v1::Submit {
            request_class: traffic.request_class.clone(),
            session: 1000 + n,
            prompt_tokens: 100,
            max_tokens: 3,
            time_to_deadline_ms: traffic.time_to_deadline,
            key: format!("{PROBE_KEY}-{n}"),
            ..v1::Submit::default()
        };
        let first = Cell::new(None);
        let see = |_: &v1::Tokens| first.set(first.get().or(Some(clock.now())));
        let end = ports[n as usize % ports.len()].run(submit, None, see).await;
        let in_time = first
            .get()
            .is_some_and(|at| at - now <= traffic.latency_objective);
        if end == Ended::Succeeded && in_time {
            good += 1;
        } else {
            good = 0;
        }
        clock.sleep_until(now + PROBE_EVERY).await;
        if good == 0 {
            from = clock.now();
        }
    }
    Some((from - since).max(0.0))
}

/// One number for all that was seen.
pub fn digest(records: &[Record]) -> u64 {
    let mut hash = Xxh3::new();
    let mut bytes = Vec::new();
    for record in records {
        hash.update(&record.at.to_bits().to_le_bytes());
        hash.update(record.seer.as_bytes());
        hash.update(record.peer.as_bytes());
        hash.update(&record.conn.to_le_bytes());
        match &record.what {
            What::Frame(way, frame) => {
                bytes.clear();
                // A vector grows, so there is always room.
                let _ = frame.encode(&mut bytes);
                hash.update(&[*way as u8]);
                hash.update(&bytes);
            }
            What::Note(note) => hash.update(note.digest_text().as_bytes()),
        }
    }
    hash.digest()
}

/// The story of a day, a line a record.
pub fn story(records: &[Record]) -> String {
    let mut out = String::new();
    for record in records {
        let at = record.at - BEGIN;
        let (seer, peer, conn) = (&record.seer, &record.peer, record.conn);
        match &record.what {
            What::Note(note) => out += &format!("{at:>9.1}  {seer:<14} -- {note:?}\n"),
            What::Frame(way, frame) => {
                let arrow = if *way == Way::In { "<-" } else { "->" };
                let said = frame.body.as_ref().map(said).unwrap_or_default();
                out += &format!(
                    "{at:>9.1}  {seer:<14} {arrow} {peer:<14} #{conn}/{:<4} {said}\n",
                    frame.stream
                );
            }
        }
    }
    out
}

fn said(body: &Body) -> String {
    let state = |s: &Option<v1::KvStateId>| {
        s.map_or_else(String::new, |s| {
            format!(" state {}.{}", s.request, s.attempt)
        })
    };
    match body {
        Body::Submit(m) => format!("submit {} (patience {:.0})", m.key, m.time_to_deadline_ms),
        Body::Accepted(m) => format!("accepted as {}", m.request),
        Body::Tokens(m) => format!("token {}", m.position),
        Body::Final(m) => format!("{:?} {}", m.answer(), m.reason),
        Body::Prefill(m) => format!("read {}{}", m.key, state(&m.state)),
        Body::Decode(m) => format!(
            "write {}{} from {}",
            m.key,
            state(&m.state),
            m.prefill_engine
        ),
        Body::Ended(m) => format!("ended {:?}{} {}", m.status(), state(&m.state), m.reason),
        Body::Release(m) => format!("release{}", state(&m.state)),
        Body::Fetch(m) => format!("fetch{}", state(&m.state)),
        Body::Endpoints(m) => {
            let engines: Vec<String> = m
                .endpoints
                .iter()
                .map(|h| format!("{} {:?}", h.engine, h.status()))
                .collect();
            format!("list {}", engines.join(", "))
        }
        Body::Goodbye(m) => format!("goodbye {}", m.reason),
        other => cindercleat_protocol::message_name(Some(other)).to_owned(),
    }
}
