//! Plays a soak: starts processes, engines, clients and discovery, carries out the plan, and gives the audit's report.

mod troubles;

use crate::audit::{Audit, Life, Report, Stage};
use crate::client::Clients;
use crate::configuration::{self, Place, KINDS, ZONES};
use crate::discovery::{self, Discovery, Entry};
use crate::engine::{Engine, EngineSettings};
use crate::plan::{Engines, Hang, Loss, Plan, Planned, Silence, Trouble};
use crate::process::{Process, Program, Shim};
use crate::proxy::{self, Proxy};
use crate::readings::HungRelease;
use crate::service::{sleep, wall_ms, Clock, Connection};
use crate::Ms;
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, LocalSet};

/// Engines of each of the two kinds.
const ENGINES_OF_A_KIND: usize = 4;
const ENGINES: Engines = Engines {
    count: KINDS.len() * ENGINES_OF_A_KIND,
    kinds: KINDS.len(),
    zones: ZONES.len(),
};
/// Requests a second that each process gets in the mean; some get several times that.
const RATE: f64 = 4.0;
/// Where decode attempts wait for one another: slots of an engine by the requests that it gets in a second. A stream takes
/// some 0.2 s in the mean.
const SLOTS_FOR: f64 = 0.3;
/// How often the audit looks at what lies, and the runner at processes.
const LOOK: Ms = 25.0;
/// A process that is not ready by then never is.
const NEVER_READY: Ms = 30_000.0;
/// So many engines can always be reached.
const LEAST_REACHABLE: usize = 2;
/// After a signal to stop: for how long new connections still come ('for 0.2 to 0.4 s'), and how long after the longest
/// deadline, 'counted as 3 s where it is longer', the process is killed, which is the earliest that the protocol allows.
const STOP_NOTICED: Ms = 300.0;
const STOP_KILLS: Ms = 700.0;
const LONGEST_COUNTED: Ms = 3_000.0;
/// Of a hundred connections to an engine, how many fall silent where each does alone.
const SILENT_OF_A_HUNDRED: u32 = 40;
/// Between the stops of several processes, and between a reload and a stop behind it.
const BETWEEN_STOPS: Ms = 250.0;
const BEHIND_A_RELOAD: Ms = 5.0;
/// Where it is crowded: clients of each process that ask nothing, and bursts of requests.
const IDLE_CLIENTS: usize = 25;
const BURST: usize = 12;
const BETWEEN_BURSTS: Ms = 2_500.0;
/// How late the look at what lies may be; a later one may see what has not been taken in yet, and waits for the next.
const LOOK_LATE: Ms = 15.0;
/// A process is held up for at most so long between two steps.
const PAUSE: Ms = 140.0;
/// Where lists are asked for, a change counts as told this long after discovery had it.
const TOLD_AFTER: Ms = 6_000.0;
/// One process in so many has its wall clock stepped.
const STEPPED_ONE_IN: usize = 3;
/// An engine drains for at least so long before it is gone.
const DRAINS_FOR: Ms = 1_500.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub processes: usize,
    pub seconds: f64,
    /// The program whose processes are played.
    pub program: PathBuf,
    /// What its processes log: a level, or directives.
    pub log: String,
    /// The library that fails system calls and steps wall clocks; none leaves them as they are.
    pub shim: Option<PathBuf>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub plan: Plan,
    pub report: Report,
    /// What the processes logged of their own violations.
    pub own_violations: Vec<String>,
}

/// Plays a soak in real time.
///
/// # Errors
/// A port, a folder or a process cannot be had.
pub fn run(options: &Options) -> io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let soak = Rc::new(Soak::start(options).await?);
        soak.play(options.seconds * 1000.0).await;
        Ok(soak.finish())
    })
}

/// An engine's place in the fleet, and the engine that has it now.
struct EngineSlot {
    engine: Engine,
    proxy: Proxy,
    entry: Entry,
    generation: u32,
    leaving: bool,
}

struct Soak {
    clock: Clock,
    plan: Plan,
    platform: Platform,
    audit: Rc<RefCell<Audit>>,
    discovery: Discovery,
    addresses: [SocketAddr; 2],
    /// At which of its addresses discovery is now.
    at: Cell<usize>,
    reachable: Cell<bool>,
    engines: RefCell<Vec<EngineSlot>>,
    processes: Vec<RefCell<Process>>,
    /// Whether a process is being stopped or killed, or is not up yet.
    busy: Vec<Cell<bool>>,
    /// Engines that are out of service, for whom processes count as told.
    out: RefCell<Vec<String>>,
    /// The list as processes find it at their start: from some time before.
    known: RefCell<String>,
    /// Engines that nobody reaches now.
    unreachable: RefCell<BTreeSet<usize>>,
    over: Cell<bool>,
    looked_at: Cell<Ms>,
}

impl Soak {
    async fn start(options: &Options) -> io::Result<Soak> {
        let clock = Clock::start();
        let plan = Plan::draw(options.seed, options.processes, ENGINES, options.seconds);
        // Engines show that they bear what comes, bursts too.
        let bursts = if plan.is_crowded {
            BURST as f64 * 1000.0 / BETWEEN_BURSTS
        } else {
            0.0
        };
        let rate = (RATE + bursts) * options.processes as f64 / ENGINES_OF_A_KIND as f64;
        let audit = Rc::new(RefCell::new(Audit::new(
            configuration::rules(rate),
            plan.readings,
        )));
        let discovery = Discovery::new(clock);
        let addresses = [discovery.listen().await?, discovery.listen().await?];
        let platform = Platform::new(options.seed, &plan, rate);
        let mut engines = Vec::new();
        for at in 0..ENGINES.count {
            let slot = start_engine(&platform, at, 0, clock, &audit).await?;
            audit.borrow_mut().engine_in_service(&slot.entry.id, None);
            discovery.change(slot.entry.clone());
            engines.push(slot);
        }
        let known = discovery.whole();
        let process = |number| {
            RefCell::new(Process::new(
                number,
                &options.folder,
                program(options, &plan, number),
            ))
        };
        let processes = (0..options.processes).map(process).collect();
        Ok(Soak {
            clock,
            plan,
            platform,
            audit,
            discovery,
            addresses,
            at: Cell::new(0),
            reachable: Cell::new(true),
            engines: RefCell::new(engines),
            processes,
            busy: (0..options.processes).map(|_| Cell::new(true)).collect(),
            out: RefCell::default(),
            known: RefCell::new(known),
            unreachable: RefCell::default(),
            over: Cell::new(false),
            looked_at: Cell::new(0.0),
        })
    }

    async fn play(self: &Rc<Self>, lasts: Ms) {
        for number in 0..self.processes.len() {
            self.start_process(number);
        }
        let mut requests = Vec::new();
        for planned in self.plan.troubles.clone() {
            let soak = self.clone();
            requests.push(spawn_local(async move {
                sleep(planned.from - soak.clock.now()).await;
                soak.trouble(planned).await;
            }));
        }
        while self.clock.now() < lasts {
            sleep(LOOK).await;
            self.look();
        }
        self.over.set(true);
        for request in requests {
            // A request that was cut short shows in what it left undone.
            let _ = request.await;
        }
        self.end().await;
    }

    /// Stops all processes, as a release would, and waits for their ends.
    async fn end(self: &Rc<Self>) {
        let stops = (0..self.processes.len()).map(|number| {
            let soak = self.clone();
            spawn_local(async move { soak.stop_process(number, false).await })
        });
        for stop in stops.collect::<Vec<_>>() {
            let _ = stop.await;
        }
        self.look();
    }

    fn finish(&self) -> Outcome {
        let own = self
            .processes
            .iter()
            .flat_map(|process| process.borrow().own_violations());
        let audit = self
            .audit
            .replace(Audit::new(configuration::rules(1.0), self.plan.readings));
        Outcome {
            plan: self.plan.clone(),
            report: audit.finish(self.clock.now()),
            own_violations: own.collect(),
        }
    }

    /// Looks for states that lie, and for processes that have ended though nobody told them to.
    fn look(&self) {
        let now = self.clock.now();
        let late = now - self.looked_at.replace(now) - LOOK;
        if late <= LOOK_LATE {
            self.audit.borrow_mut().look(now);
        }
        for (number, process) in self
            .processes
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.busy[*n].get())
        {
            let mut process = process.borrow_mut();
            let life = process.life();
            if let Some(status) = process.ended() {
                let how = format!("by itself, {status}");
                self.audit
                    .borrow_mut()
                    .process_ended(life, false, &how, now);
                self.busy[number].set(true);
            }
        }
    }

    /// Starts the next run of a process, and its clients once it is ready.
    fn start_process(self: &Rc<Self>, number: usize) {
        let mut process = self.processes[number].borrow_mut();
        let started = process.configure(&self.configuration(number, process.next_start()));
        if let Err(problem) = started.and_then(|()| process.start()) {
            self.audit
                .borrow_mut()
                .process_is_wrong(format!("{number}: {problem}"), self.clock.now());
            return;
        }
        let life = process.life();
        drop(process);
        self.audit.borrow_mut().process_starts(number);
        self.tell_all();
        spawn_local(self.clone().bring_up(life));
    }

    fn configuration(&self, number: usize, start: u32) -> String {
        let place = Place {
            classes: &self.plan.classes,
            number,
            processes: self.processes.len(),
            start,
            discovery: self.addresses[self.at.get()],
            lists_are_asked_for: self.plan.lists_are_asked_for,
        };
        configuration::file(&place, &self.known.borrow())
    }

    async fn bring_up(self: Rc<Self>, life: Life) {
        let began = self.clock.now();
        let process = &self.processes[life.process];
        while self.clock.now() < began + NEVER_READY && process.borrow().life() == life {
            let address = process.borrow_mut().find_address();
            if let Some(address) = address {
                if is_ready(address).await {
                    self.audit
                        .borrow_mut()
                        .process_ready(self.clock.now() - began);
                    self.busy[life.process].set(false);
                    return self.run_clients(life, address).await;
                }
            }
            sleep(LOOK).await;
        }
        let what = format!("process {} was never ready", life.process);
        self.audit
            .borrow_mut()
            .process_is_wrong(what, self.clock.now());
    }

    /// Lets clients come to a run of a process for as long as it takes new ones.
    async fn run_clients(self: Rc<Self>, life: Life, address: SocketAddr) {
        let seed = self.platform.seed ^ (life.process as u64) << 32 ^ u64::from(life.start) << 48;
        let mut rng = WyRand::new_seed(seed);
        let clients = Clients::new(
            life,
            address,
            self.clock,
            self.audit.clone(),
            self.plan.classes,
            seed,
        );
        if self.plan.is_crowded {
            self.crowd(life, &clients);
        }
        // Uneven traffic: the busiest process gets some times the mean.
        let weight = 0.3 + 0.7 * -(1.0 - rng.generate::<f64>()).ln();
        loop {
            sleep(-(1.0 - rng.generate::<f64>()).ln() * 1000.0 / (RATE * weight)).await;
            if !self.is_up(life) {
                return;
            }
            // After a signal to stop no client comes anew, and those that are there go on until the kill.
            if self
                .audit
                .borrow()
                .stopped_before(life, self.clock.now() - STOP_NOTICED)
            {
                spawn_local(clients.clone().ask_on_resting());
            } else if !self.over.get() {
                spawn_local(clients.clone().ask());
            }
        }
    }

    /// Clients of a process that ask nothing, and others that all ask at once.
    fn crowd(self: &Rc<Self>, life: Life, clients: &Clients) {
        for _ in 0..IDLE_CLIENTS {
            let soak = self.clone();
            spawn_local(clients.clone().stay_idle(move || !soak.takes_new(life)));
        }
        let (soak, clients) = (self.clone(), clients.clone());
        spawn_local(async move {
            while soak.takes_new(life) {
                sleep(BETWEEN_BURSTS).await;
                for _ in 0..BURST {
                    if soak.takes_new(life) {
                        spawn_local(clients.clone().ask());
                    }
                }
            }
        });
    }

    fn is_up(&self, life: Life) -> bool {
        let process = self.processes[life.process].borrow();
        process.life() == life && process.is_up()
    }

    /// Whether clients still come to a run of a process.
    fn takes_new(&self, life: Life) -> bool {
        let stopped = self
            .audit
            .borrow()
            .stopped_before(life, self.clock.now() - STOP_NOTICED);
        self.is_up(life) && !stopped && !self.over.get()
    }
}

/// What all engines of a soak have in common.
struct Platform {
    seed: u64,
    /// Decode attempts that an engine serves at a time.
    slots: usize,
    hung_release: HungRelease,
}

impl Platform {
    /// `rate`: requests a second that each engine of a kind gets.
    fn new(seed: u64, plan: &Plan, rate: f64) -> Platform {
        let slots = if plan.decodes_wait {
            (rate * SLOTS_FOR).ceil() as usize + 1
        } else {
            Semaphore::MAX_PERMITS
        };
        Platform {
            seed,
            slots,
            hung_release: plan.readings.hung_release,
        }
    }
}

/// An engine behind its proxy. Kinds and zones take turns.
async fn start_engine(
    platform: &Platform,
    at: usize,
    generation: u32,
    clock: Clock,
    audit: &Rc<RefCell<Audit>>,
) -> io::Result<EngineSlot> {
    let kind = at % KINDS.len();
    let stage = if kind == 0 {
        Stage::Prefill
    } else {
        Stage::Decode
    };
    let id = format!("{}{}-{generation}", KINDS[kind], at / KINDS.len());
    let settings = EngineSettings {
        id: id.clone(),
        stage,
        slots: platform.slots,
        hung_release: platform.hung_release,
        seed: platform.seed ^ (at as u64) << 8 ^ u64::from(generation),
    };
    let engine = Engine::new(settings, clock, audit.clone());
    let proxy = Proxy::start(engine.listen().await?, clock, engine.passages.clone()).await?;
    let place = at / KINDS.len();
    let entry = Entry {
        id,
        address: proxy.address,
        zone: ZONES[place % ZONES.len()],
        kind: KINDS[kind],
        cell: (place % ZONES.len()) as u32,
        phase: "up",
        up_since_ms: if generation == 0 { 0 } else { wall_ms() },
    };
    Ok(EngineSlot {
        engine,
        proxy,
        entry,
        generation,
        leaving: false,
    })
}

/// How a process is started: with the shim, if system calls are to fail, or if its wall clock is to be stepped, as one in
/// three are.
fn program(options: &Options, plan: &Plan, number: usize) -> Program {
    let stepped = number.is_multiple_of(STEPPED_ONE_IN);
    let shim = options
        .shim
        .clone()
        .filter(|_| plan.system_calls_fail || stepped)
        .map(|library| {
            let mut variables = vec![(
                "CINDERCLEAT_SHIM_SEED".to_owned(),
                (options.seed + number as u64).to_string(),
            )];
            if plan.system_calls_fail {
                variables.push(("CINDERCLEAT_SHIM_FAIL".to_owned(), "1".to_owned()));
            }
            if stepped {
                variables.push((
                    "CINDERCLEAT_SHIM_STEP_MS".to_owned(),
                    plan.wall_step.to_string(),
                ));
                variables.push((
                    "CINDERCLEAT_SHIM_STEP_AFTER_MS".to_owned(),
                    plan.wall_step_after.to_string(),
                ));
            }
            Shim { library, variables }
        });
    Program {
        path: options.program.clone(),
        log: options.log.clone(),
        shim,
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(io) = TcpStream::connect(address).await else {
        return false;
    };
    let mut connection = Connection::new(io);
    let asked = connection
        .say("GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
        .await;
    asked.is_ok() && connection.status().await == Some(200)
}
