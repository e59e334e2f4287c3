//! Runs a soak: starts processes, engines, clients and discovery, injects the faults of the plan, and returns the
//! audit's report.

mod faults;

use crate::audit::{Audit, ProcessRun, Report, Stage};
use crate::client::Clients;
use crate::configuration::{self, ProcessSettings, KINDS, ZONES};
use crate::discovery::{self, Discovery, Entry};
use crate::engine::{Behaviour, Engine, EngineSettings};
use crate::hostile_clients::{self, HostileClientEnd, HostileGroup};
use crate::plan::{BlockedDirection, Engines, Fault, Hang, Plan, PlannedFault, Silence};
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
use std::sync::mpsc;
use std::thread::JoinHandle;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, LocalSet};

/// The number of engines of each kind.
const ENGINES_PER_KIND: usize = 4;
const ENGINES: Engines = Engines {
    count: KINDS.len() * ENGINES_PER_KIND,
    kinds: KINDS.len(),
    zones: ZONES.len(),
};
/// The mean number of requests per second that each process gets. Some processes get several times as many.
const REQUEST_RATE: f64 = 4.0;
/// The slots of an engine for each request that it gets per second, in soaks where decode attempts wait for one
/// another. A stream takes about 0.2 s in the mean.
const SLOTS_PER_REQUEST_RATE: f64 = 0.3;
/// How often the audit checks held KV states, and the runner checks processes.
const CHECK_INTERVAL: Ms = 25.0;
/// A process that is not ready within this time after its start is reported as a violation.
const READY_TIMEOUT: Ms = 30_000.0;
/// The number of engines that faults always leave reachable.
const MIN_REACHABLE: usize = 2;
/// How long after SIGTERM clients still open new connections. The platform's protocol says 'for 0.2 to 0.4 s'.
const CONNECTS_AFTER_STOP: Ms = 300.0;
/// A stopping process is killed when the longest deadline and this time have passed since SIGTERM. This is the earliest
/// kill that the protocol allows.
const KILL_AFTER_DEADLINE: Ms = 700.0;
/// Caps the longest deadline when the time of a stopping process's kill is computed: the protocol counts a longer one
/// as 3 s.
const MAX_COUNTED_DEADLINE: Ms = 3_000.0;
/// The percentage of an engine's connections that fall silent in [`Fault::SilenceSome`].
const SILENT_PERCENT: u32 = 40;
/// The time between two stops in [`Fault::StopSeveral`].
const STOP_INTERVAL: Ms = 250.0;
/// The time between the reload and the stop in [`Fault::ReloadAndStop`].
const STOP_AFTER_RELOAD: Ms = 5.0;
/// The number of idle clients of each process in a crowded soak.
const IDLE_CLIENTS: usize = 25;
/// The number of requests in a burst at each process in a crowded soak.
const BURST_REQUESTS: usize = 12;
/// The time between two bursts at a process in a crowded soak.
const BURST_INTERVAL: Ms = 2_500.0;
/// How late the check of held KV states may run. A later check is skipped, as releases may have arrived that the
/// stand-ins have not read yet.
const MAX_CHECK_DELAY: Ms = 15.0;
/// How long a process is suspended. The rules allow a process not to run for 0.15 s at most.
const SUSPEND_TIME: Ms = 140.0;
/// In soaks where processes poll discovery for lists, they count as notified of a change this long after it was
/// published.
const POLL_NOTICE_TIME: Ms = 6_000.0;
/// One process in this many has its wall clock stepped.
const STEPPED_ONE_IN: usize = 3;
/// The shortest time from the drain of an engine to its removal.
const MIN_DRAIN_TIME: Ms = 1_500.0;

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed from which the plan and all other random draws derive.
    pub seed: u64,
    /// The number of processes.
    pub processes: usize,
    /// The length of the soak.
    pub seconds: f64,
    /// The executable of the processes.
    pub program: PathBuf,
    /// The log level or directives of the processes.
    pub log: String,
    /// The library that makes system calls fail and steps wall clocks; `None` leaves both as they are.
    pub shim: Option<PathBuf>,
    /// The directory for configurations and logs; it has to exist.
    pub folder: PathBuf,
}

/// What a soak returns: its plan, and the violations that the audit and the processes found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The plan that the seed gave.
    pub plan: Plan,
    /// The report of the audit.
    pub report: Report,
    /// The log lines in which processes report invariant violations themselves.
    pub own_violations: Vec<String>,
}

/// Runs a soak in real time and blocks until its end.
///
/// # Errors
/// Returns an error if the runtime cannot be created or a port cannot be bound. A process that cannot be started is
/// reported as a violation.
pub fn run(options: &Options) -> io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let soak = Rc::new(Soak::start(options).await?);
        soak.run(options.seconds * 1000.0).await;
        Ok(soak.finish())
    })
}

/// One of the [`ENGINES`] that the layout provides for, by index, with the engine stand-in that runs there at present.
/// When that engine is removed, its successor takes over the index.
struct RunningEngine {
    engine: Engine,
    proxy: Proxy,
    entry: Entry,
    /// How many engines ran at this index before the present one.
    generation: u32,
    /// Whether the engine is being drained and removed.
    is_leaving: bool,
}

struct Soak {
    clock: Clock,
    plan: Plan,
    platform: Platform,
    audit: Rc<RefCell<Audit>>,
    discovery: Discovery,
    /// The two addresses of discovery.
    addresses: [SocketAddr; 2],
    /// The index of the address that configurations name at present.
    current_address: Cell<usize>,
    is_discovery_reachable: Cell<bool>,
    engines: RefCell<Vec<RunningEngine>>,
    processes: Vec<RefCell<Process>>,
    /// Whether each process is used by a fault, is not ready yet, or has ended unexpectedly.
    busy: Vec<Cell<bool>>,
    /// The identifiers of the engines that discovery has listed as draining or removed.
    out_of_service: RefCell<Vec<String>>,
    /// The list of engines that new configurations contain, as JSON. It may be outdated, as a real configuration may be
    /// when a process starts.
    configured_engines: RefCell<String>,
    /// The indices of the engines that a fault makes unreachable at present.
    unreachable: RefCell<BTreeSet<usize>>,
    /// Whether the soak's duration has passed; clients then send no new requests.
    is_over: Cell<bool>,
    /// When [`Soak::check`] last ran.
    checked_at: Cell<Ms>,
    hostile: HostileClients,
}

/// The threads of hostile clients, and the channel on which they report.
struct HostileClients {
    threads: RefCell<Vec<JoinHandle<()>>>,
    ends_sender: mpsc::Sender<HostileClientEnd>,
    ends: mpsc::Receiver<HostileClientEnd>,
}

impl HostileClients {
    fn new() -> Self {
        let (ends_sender, ends) = mpsc::channel();
        HostileClients {
            threads: RefCell::default(),
            ends_sender,
            ends,
        }
    }
}

impl Soak {
    async fn start(options: &Options) -> io::Result<Soak> {
        let clock = Clock::start();
        let plan = Plan::draw(options.seed, options.processes, ENGINES, options.seconds);
        // The slow-start budget is that of engines that can serve the whole traffic, bursts included.
        let bursts = if plan.is_crowded {
            BURST_REQUESTS as f64 * 1000.0 / BURST_INTERVAL
        } else {
            0.0
        };
        let rate = (REQUEST_RATE + bursts) * options.processes as f64 / ENGINES_PER_KIND as f64;
        let audit = Rc::new(RefCell::new(Audit::new(
            configuration::rules(rate),
            plan.readings,
        )));
        let discovery = Discovery::new(clock);
        let addresses = [discovery.listen().await?, discovery.listen().await?];
        let platform = Platform::new(options.seed, &plan, rate);
        let mut engines = Vec::new();
        for index in 0..ENGINES.count {
            let running = start_engine(&platform, index, 0, clock, &audit).await?;
            audit
                .borrow_mut()
                .engine_in_service(&running.entry.id, None);
            discovery.publish(running.entry.clone());
            engines.push(running);
        }
        let known = discovery.complete_list();
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
            current_address: Cell::new(0),
            is_discovery_reachable: Cell::new(true),
            engines: RefCell::new(engines),
            processes,
            busy: (0..options.processes).map(|_| Cell::new(true)).collect(),
            out_of_service: RefCell::default(),
            configured_engines: RefCell::new(known),
            unreachable: RefCell::default(),
            is_over: Cell::new(false),
            checked_at: Cell::new(0.0),
            hostile: HostileClients::new(),
        })
    }

    /// Runs the soak for this duration, waits until its faults are over, and stops all processes.
    async fn run(self: &Rc<Self>, duration: Ms) {
        for number in 0..self.processes.len() {
            self.start_process(number);
        }
        let mut faults = Vec::new();
        for planned in self.plan.troubles.clone() {
            let soak = self.clone();
            faults.push(spawn_local(async move {
                sleep(planned.from - soak.clock.now()).await;
                soak.inject(planned).await;
            }));
        }
        for group in self.plan.hostile_groups.clone() {
            let soak = self.clone();
            spawn_local(async move {
                sleep(group.at - soak.clock.now()).await;
                soak.start_hostile_group(group);
            });
        }
        while self.clock.now() < duration {
            sleep(CHECK_INTERVAL).await;
            self.check();
        }
        self.is_over.set(true);
        for fault in faults {
            // If the task of a fault has panicked, the audit reports what the task left undone.
            let _ = fault.await;
        }
        self.stop_all().await;
    }

    /// Stops all processes, as a rollout does, and waits for their ends.
    async fn stop_all(self: &Rc<Self>) {
        let stops = (0..self.processes.len()).map(|number| {
            let soak = self.clone();
            spawn_local(async move { soak.stop_process(number, false).await })
        });
        for stop in stops.collect::<Vec<_>>() {
            let _ = stop.await;
        }
        self.check();
    }

    /// Starts a group of hostile clients at a process, if it is up and takes new clients.
    fn start_hostile_group(&self, group: HostileGroup) {
        let process = self.processes[group.process].borrow();
        let is_ready = !self.busy[group.process].get() && !self.is_over.get();
        if let Some(address) = process.address.filter(|_| is_ready) {
            let ends = self.hostile.ends_sender.clone();
            let thread = hostile_clients::start(group, address, self.clock, ends);
            self.hostile.threads.borrow_mut().push(thread);
        }
    }

    /// Passes the ends of hostile clients to the audit.
    fn take_hostile_ends(&self) {
        for HostileClientEnd { after, at } in self.hostile.ends.try_iter() {
            self.audit.borrow_mut().stalled_client_ended(after, at);
        }
    }

    fn finish(&self) -> Outcome {
        for thread in self.hostile.threads.take() {
            // A thread that panicked has reported no further ends.
            let _ = thread.join();
        }
        self.take_hostile_ends();
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

    /// Checks for KV states that are held for too long, for processes that have ended without a signal, and for their
    /// memory.
    fn check(&self) {
        let now = self.clock.now();
        self.take_hostile_ends();
        self.check_memory(now);
        let delay = now - self.checked_at.replace(now) - CHECK_INTERVAL;
        if delay <= MAX_CHECK_DELAY {
            self.audit.borrow_mut().check_held_states(now);
        }
        for (number, process) in self
            .processes
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.busy[*n].get())
        {
            let mut process = process.borrow_mut();
            let run = process.current_run();
            if let Some(status) = process.ended() {
                let how = format!("without being told to, {status}");
                self.audit.borrow_mut().process_ended(run, false, &how, now);
                self.busy[number].set(true);
            }
        }
    }

    fn check_memory(&self, now: Ms) {
        let limit_kib = u64::from(self.plan.memory_mib) << 10;
        for (number, process) in self.processes.iter().enumerate() {
            if let Some(used_kib) = process.borrow().memory_kib() {
                let mut audit = self.audit.borrow_mut();
                audit.memory_used(number, used_kib, limit_kib, now);
            }
        }
    }

    /// Starts the next run of a process, and its clients once it is ready.
    fn start_process(self: &Rc<Self>, number: usize) {
        let mut process = self.processes[number].borrow_mut();
        let started = process.configure(&self.configuration(number, process.next_start()));
        if let Err(problem) = started.and_then(|()| process.start()) {
            self.audit.borrow_mut().process_failed(
                format!("process {number} could not be started: {problem}"),
                self.clock.now(),
            );
            return;
        }
        let run = process.current_run();
        drop(process);
        self.audit.borrow_mut().process_starts(number);
        self.notify_all();
        spawn_local(self.clone().bring_up(run));
    }

    fn configuration(&self, number: usize, start: u32) -> String {
        let settings = ProcessSettings {
            classes: &self.plan.classes,
            number,
            processes: self.processes.len(),
            start,
            discovery: self.addresses[self.current_address.get()],
            lists_are_asked_for: self.plan.lists_are_asked_for,
            memory_mib: self.plan.memory_mib,
        };
        configuration::render(&settings, &self.configured_engines.borrow())
    }

    /// Waits until a run is ready, and then sends it the requests of its clients.
    async fn bring_up(self: Rc<Self>, run: ProcessRun) {
        let began = self.clock.now();
        let process = &self.processes[run.process];
        while self.clock.now() < began + READY_TIMEOUT && process.borrow().current_run() == run {
            let address = process.borrow_mut().find_address();
            if let Some(address) = address {
                if is_ready(address).await {
                    self.audit
                        .borrow_mut()
                        .process_ready(self.clock.now() - began);
                    self.busy[run.process].set(false);
                    return self.run_clients(run, address).await;
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        let what = format!("process {} did not become ready in time", run.process);
        self.audit
            .borrow_mut()
            .process_failed(what, self.clock.now());
    }

    /// Sends the requests of clients to a run for as long as it takes new clients. After that, connected clients go on
    /// until the run ends.
    async fn run_clients(self: Rc<Self>, run: ProcessRun, address: SocketAddr) {
        let seed = self.platform.seed ^ (run.process as u64) << 32 ^ u64::from(run.start) << 48;
        let mut rng = WyRand::new_seed(seed);
        let clients = Clients::new(
            run,
            address,
            self.clock,
            self.audit.clone(),
            self.plan.classes,
            seed,
        );
        if self.plan.is_crowded {
            self.start_crowd(run, &clients);
        }
        // Uneven traffic: the busiest process gets several times the mean.
        let weight = 0.3 + 0.7 * -(1.0 - rng.generate::<f64>()).ln();
        loop {
            sleep(-(1.0 - rng.generate::<f64>()).ln() * 1000.0 / (REQUEST_RATE * weight)).await;
            if !self.is_up(run) {
                return;
            }
            // After a signal to stop no new client connects, and connected clients go on until the kill.
            if self
                .audit
                .borrow()
                .stopped_before(run, self.clock.now() - CONNECTS_AFTER_STOP)
            {
                spawn_local(clients.clone().send_on_idle_connection());
            } else if !self.is_over.get() {
                spawn_local(clients.clone().send_request());
            }
        }
    }

    /// Starts the idle clients of a run, and the bursts of requests.
    fn start_crowd(self: &Rc<Self>, run: ProcessRun, clients: &Clients) {
        for _ in 0..IDLE_CLIENTS {
            let soak = self.clone();
            spawn_local(
                clients
                    .clone()
                    .stay_idle(move || !soak.accepts_clients(run)),
            );
        }
        let (soak, clients) = (self.clone(), clients.clone());
        spawn_local(async move {
            while soak.accepts_clients(run) {
                sleep(BURST_INTERVAL).await;
                for _ in 0..BURST_REQUESTS {
                    if soak.accepts_clients(run) {
                        spawn_local(clients.clone().send_request());
                    }
                }
            }
        });
    }

    fn is_up(&self, run: ProcessRun) -> bool {
        let process = self.processes[run.process].borrow();
        process.current_run() == run && process.is_up()
    }

    /// Whether new clients still connect to a run: the run is up, it was not told to stop more than
    /// [`CONNECTS_AFTER_STOP`] ago, and the soak is not over.
    fn accepts_clients(&self, run: ProcessRun) -> bool {
        let stopped = self
            .audit
            .borrow()
            .stopped_before(run, self.clock.now() - CONNECTS_AFTER_STOP);
        self.is_up(run) && !stopped && !self.is_over.get()
    }
}

/// The settings that all engine stand-ins of a soak share.
struct Platform {
    seed: u64,
    /// The number of decode attempts that an engine serves at the same time.
    slots: usize,
    hung_release: HungRelease,
    /// Whether engines send some answers a second time.
    answers_repeat: bool,
}

impl Platform {
    /// `rate` is the mean number of requests per second that each engine of a kind gets.
    fn new(seed: u64, plan: &Plan, rate: f64) -> Platform {
        let slots = if plan.decodes_wait {
            (rate * SLOTS_PER_REQUEST_RATE).ceil() as usize + 1
        } else {
            Semaphore::MAX_PERMITS
        };
        Platform {
            seed,
            slots,
            hung_release: plan.readings.hung_release,
            answers_repeat: plan.answers_repeat,
        }
    }
}

/// Starts an engine stand-in for this index of the layout, with a proxy in front of it.
async fn start_engine(
    platform: &Platform,
    index: usize,
    generation: u32,
    clock: Clock,
    audit: &Rc<RefCell<Audit>>,
) -> io::Result<RunningEngine> {
    let kind = index % KINDS.len();
    let stage = if kind == 0 {
        Stage::Prefill
    } else {
        Stage::Decode
    };
    let id = format!("{}{}-{generation}", KINDS[kind], index / KINDS.len());
    let settings = EngineSettings {
        id: id.clone(),
        stage,
        slots: platform.slots,
        hung_release: platform.hung_release,
        answers_repeat: platform.answers_repeat,
        seed: platform.seed ^ (index as u64) << 8 ^ u64::from(generation),
    };
    let engine = Engine::new(settings, clock, audit.clone());
    let proxy = Proxy::start(engine.listen().await?, clock, engine.traces.clone()).await?;
    let nth_of_kind = index / KINDS.len();
    let entry = Entry {
        id,
        address: proxy.address,
        zone: ZONES[nth_of_kind % ZONES.len()],
        kind: KINDS[kind],
        cell: (nth_of_kind % ZONES.len()) as u32,
        phase: "up",
        up_since_ms: if generation == 0 { 0 } else { wall_ms() },
    };
    Ok(RunningEngine {
        engine,
        proxy,
        entry,
        generation,
        is_leaving: false,
    })
}

/// The command that starts a process. The shim is preloaded if system calls are to fail or if the process is one of
/// those whose wall clock is stepped.
fn program(options: &Options, plan: &Plan, number: usize) -> Program {
    let is_stepped = number.is_multiple_of(STEPPED_ONE_IN);
    let shim = options
        .shim
        .clone()
        .filter(|_| plan.system_calls_fail || is_stepped)
        .map(|library| {
            let mut variables = vec![(
                "CINDERCLEAT_SHIM_SEED".to_owned(),
                (options.seed + number as u64).to_string(),
            )];
            if plan.system_calls_fail {
                variables.push(("CINDERCLEAT_SHIM_FAIL".to_owned(), "1".to_owned()));
            }
            if is_stepped {
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

/// Whether a process answers its readiness probe with status 200.
async fn is_ready(address: SocketAddr) -> bool {
    let Ok(io) = TcpStream::connect(address).await else {
        return false;
    };
    let mut connection = Connection::new(io);
    let sent = connection
        .write("GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
        .await;
    sent.is_ok() && connection.status().await == Some(200)
}
