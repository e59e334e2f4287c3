//! Moves bytes between a transport and the [`Dispatcher`], and tells it the time. Nothing is decided here.
//!
//! A driver runs on one thread. Each message is given to the state machine at once, and the outputs are carried out
//! before the next input, so that messages to one peer keep their order. What is sent goes to the outbox of the
//! connection's session, whichever [`Wire`] it speaks.
//!
//! By concern: `outputs` carries out what the state machine says, `clients` accepts connections, `engine_connections`
//! dials engines, `discovery` calls service discovery and `gossip` sends to other dispatchers.

mod clients;
mod discovery;
mod engine_connections;
mod gossip;
mod outputs;

use crate::state::{ClientConnectionId, Dispatcher, EngineConnectionId, Input, Usage};
use crate::{endpoint_cache, ProgramSettings};
use cindercleat::coordination::disruption_budget::{OutcomeCounts, Unit};
use cindercleat::coordination::membership::EngineReport;
use cindercleat::interface::Ms;
use cindercleat_grpc::Grpc;
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::session::{Outbox, Session, Setup, Wire};
use cindercleat_protocol::v1;
use engine_connections::EngineHandle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// Where a dispatcher finds what is outside of its process.
#[derive(Clone, Debug, Default)]
pub struct Locations {
    /// The addresses of discovery, tried in turn.
    pub discovery: Vec<String>,
    /// The file that keeps the list of endpoints for the next start; `None`: it is not kept.
    pub endpoint_cache: Option<PathBuf>,
    /// The addresses of the other dispatchers, by their numbers.
    pub peers: BTreeMap<u32, String>,
}

/// Whether a dispatcher accepts requests, and how busy it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Readiness {
    /// Whether a list of endpoints is known and no stop has begun.
    pub is_ready: bool,
    /// The open requests as a fraction of their maximum.
    pub load: f64,
}

/// What the tasks of one driver share.
struct Shared<T, C, W: Wire> {
    settings: ProgramSettings,
    seed: u64,
    locations: RefCell<Locations>,
    transport: T,
    clock: C,
    wire: W,
    dispatcher: RefCell<Dispatcher>,
    clients: RefCell<BTreeMap<ClientConnectionId, W::Out>>,
    engine_connections: RefCell<BTreeMap<EngineConnectionId, Rc<EngineHandle<W::Out>>>>,
    peers: RefCell<BTreeMap<u32, W::Out>>,
    last_client_connection: Cell<u64>,
    /// Connections that were accepted and whose greeting is not complete.
    greeting: Cell<usize>,
    /// The instant that the timer task waits for.
    timer_at: Cell<Option<Ms>>,
    timer_changed: Notify,
    /// The state machine wants the whole list of endpoints.
    list_wanted: Notify,
    discovery_moved: Notify,
    /// A client's connection has ended or become idle.
    client_capacity_changed: Notify,
    stopped: Notify,
}

/// A dispatcher that serves over wire `W`. Clones are the same dispatcher.
pub struct Driver<T, C, W: Wire = Grpc> {
    shared: Rc<Shared<T, C, W>>,
}

impl<T, C, W: Wire> Clone for Driver<T, C, W> {
    fn clone(&self) -> Self {
        Driver {
            shared: self.shared.clone(),
        }
    }
}

impl<T: Transport, C: Clock> Driver<T, C> {
    /// A dispatcher that speaks gRPC. `seed` determines what the decisions draw by chance.
    pub fn new(
        settings: ProgramSettings,
        locations: Locations,
        transport: T,
        clock: C,
        seed: u64,
    ) -> Self {
        Driver::with_wire(Grpc, settings, locations, transport, clock, seed)
    }
}

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// A dispatcher that speaks `wire`. `seed` determines what the decisions draw by chance.
    pub fn with_wire(
        wire: W,
        settings: ProgramSettings,
        locations: Locations,
        transport: T,
        clock: C,
        seed: u64,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(settings.clone(), seed);
        if tracing::enabled!(tracing::Level::DEBUG) {
            dispatcher.enable_request_log();
        }
        if locations.endpoint_cache.is_none() {
            dispatcher.disable_endpoint_cache();
        }
        let shared = Shared {
            dispatcher: RefCell::new(dispatcher),
            settings,
            seed,
            locations: RefCell::new(locations),
            transport,
            clock,
            wire,
            clients: RefCell::default(),
            engine_connections: RefCell::default(),
            peers: RefCell::default(),
            last_client_connection: Cell::new(0),
            greeting: Cell::new(0),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            list_wanted: Notify::new(),
            discovery_moved: Notify::new(),
            client_capacity_changed: Notify::new(),
            stopped: Notify::new(),
        };
        Driver {
            shared: Rc::new(shared),
        }
    }

    /// Serves until `stop` completes, and then until what was open has ended or its grace has passed. Must run within a
    /// `LocalSet`.
    ///
    /// # Errors
    /// None at present: errors of the listener are logged, and accepting continues.
    pub async fn serve(
        &self,
        listener: T::Listener,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        self.load_cached_endpoints();
        spawn_local(self.clone().run_timers());
        spawn_local(self.clone().run_discovery());
        let accepting = spawn_local(self.clone().accept_connections(listener));
        stop.await;
        self.input(Input::Stop);
        self.shared.stopped.notified().await;
        accepting.abort();
        self.log_invariant_checks();
        self.flush().await;
        Ok(())
    }

    /// How much state the dispatcher holds.
    pub fn usage(&self) -> Usage {
        self.shared.dispatcher.borrow().usage()
    }

    /// Whether the dispatcher accepts requests, and how busy it is.
    pub fn readiness(&self) -> Readiness {
        let dispatcher = self.shared.dispatcher.borrow();
        Readiness {
            is_ready: dispatcher.is_ready(),
            load: dispatcher.open_fraction(),
        }
    }

    /// The version of the newest list of endpoints.
    pub fn list_version(&self) -> u64 {
        self.shared.dispatcher.borrow().list_version()
    }

    /// Records from now on how requests end and what engines report, for dispatchers that watch a rollout together.
    pub fn record_service_stats(&self) {
        self.shared.dispatcher.borrow_mut().collect_service_stats();
    }

    /// How requests have ended, and reports on up to `max_reports` engines that reported since they were last returned.
    pub fn take_service_stats(&self, max_reports: usize) -> (OutcomeCounts, Vec<EngineReport>) {
        let now = self.shared.clock.now();
        self.shared
            .dispatcher
            .borrow_mut()
            .recorded(now, max_reports)
    }

    /// The engines that the list of endpoints names.
    pub fn engines(&self) -> Vec<Unit> {
        let now = self.shared.clock.now();
        self.shared.dispatcher.borrow().units(now)
    }

    /// How many connections of clients there are.
    pub fn client_connections(&self) -> usize {
        self.shared.clients.borrow().len()
    }

    /// Discovery has these addresses from now on.
    pub fn set_discovery_addresses(&self, addresses: Vec<String>) {
        if self.shared.locations.borrow().discovery != addresses {
            tracing::info!(addresses = ?addresses, "discovery moved");
            self.shared.locations.borrow_mut().discovery = addresses;
            self.shared.discovery_moved.notify_one();
        }
    }

    /// Starts from a list of endpoints that was known before. To be called before serving: discovery's own list is
    /// newer.
    pub fn use_cached_endpoints(&self, list: v1::EndpointList) {
        self.input(Input::CachedEndpoints(list));
    }

    fn load_cached_endpoints(&self) {
        let Some(path) = self.shared.locations.borrow().endpoint_cache.clone() else {
            return;
        };
        match endpoint_cache::load(&path) {
            Ok(Some(list)) => {
                tracing::info!(
                    engines = list.endpoints.len(),
                    version = list.version,
                    "cached endpoint list used"
                );
                self.use_cached_endpoints(list);
            }
            Ok(None) => {}
            // A dispatcher without a list is better than none: it gets one from discovery.
            Err(problem) => {
                tracing::warn!(path = %path.display(), %problem, "cached endpoint list not used")
            }
        }
    }

    /// Gives the state machine an input and carries out the outputs.
    fn input(&self, input: Input) {
        let mut outputs = Vec::new();
        let now = self.shared.clock.now();
        self.shared
            .dispatcher
            .borrow_mut()
            .handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
        self.update_timer();
    }

    /// Wakes the timer task if the state machine wants to be called sooner than the task waits for.
    fn update_timer(&self) {
        let wanted_at = self.shared.dispatcher.borrow().wants_call_at();
        let is_sooner = match (wanted_at, self.shared.timer_at.get()) {
            (Some(wanted_at), Some(timer_at)) => wanted_at < timer_at,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_sooner {
            self.shared.timer_changed.notify_one();
        }
    }

    /// Calls the state machine whenever it wants to be called.
    async fn run_timers(self) {
        loop {
            let wanted_at = self.shared.dispatcher.borrow().wants_call_at();
            self.shared.timer_at.set(wanted_at);
            let Some(at) = wanted_at else {
                self.shared.timer_changed.notified().await;
                continue;
            };
            tokio::select! { biased;
                () = self.shared.timer_changed.notified() => {}
                () = self.shared.clock.sleep_until(at) => self.input(Input::Tick),
            }
        }
    }

    fn log_invariant_checks(&self) {
        let guarded = self.shared.dispatcher.borrow().invariant_counts().clone();
        tracing::info!(checked = ?guarded.checked, violated = ?guarded.violated, "invariants");
    }

    /// Sends what is still in outboxes before the process ends, as far as peers read it: slow clients get as long as a
    /// stream may stall.
    async fn flush(&self) {
        let limits = &self.shared.settings.limits;
        let clients: Vec<W::Out> = self.shared.clients.borrow().values().cloned().collect();
        if limits.http1.is_some() {
            // Guards against an answer whose end is lost: closing at once would cut it off while its client still
            // reads.
            clients.iter().for_each(Outbox::go_away);
            self.wait_until_closed(&clients, limits.stall_timeout).await;
        }
        clients.iter().for_each(Outbox::close);
        self.wait_until_closed(&clients, limits.greeting_timeout)
            .await;
        for connection in self.shared.engine_connections.borrow().values() {
            connection.close();
        }
        yield_now().await;
    }

    /// Waits until all connections have ended, but no longer than `timeout`.
    async fn wait_until_closed(&self, connections: &[W::Out], timeout: Ms) {
        let until = self.shared.clock.now() + timeout;
        for connection in connections {
            tokio::select! { biased;
                () = connection.over() => {}
                () = self.shared.clock.sleep_until(until) => {}
            }
        }
    }

    /// What a session is given at its start. `expects`: the name of the peer; empty if any is right. `max_calls`: the
    /// calls that the peer may have open at the same time.
    fn session_setup(&self, expects: &str, max_calls: u32) -> Setup {
        let settings = &self.shared.settings;
        Setup {
            party: v1::Party::Dispatcher,
            name: settings.name.clone(),
            expects: expects.to_owned(),
            run: settings.incarnation,
            most_message: settings.limits.max_message_bytes,
            most_calls: max_calls,
        }
    }

    /// Dials an address and greets whoever answers there. The error is the reason for a log line.
    pub(super) async fn call(
        &self,
        address: &str,
        party: v1::Party,
        setup: Setup,
    ) -> Result<Session<W::Out>, String> {
        let stream = self
            .shared
            .transport
            .connect(address)
            .await
            .map_err(|problem| problem.to_string())?;
        self.shared.wire.connect(stream, party, setup).await
    }
}
