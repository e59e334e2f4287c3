//! Connects the [`Dispatcher`] state machine to a transport and a clock. The driver makes no decisions of its own.
//!
//! A driver runs on one thread. Each message goes to the state machine at once, and its outputs are carried
//! out before the next input, so messages to one peer keep their order. Outgoing messages go to the outbox of
//! the connection's session, which encodes them for its [`Wire`].
//!
//! `outputs` carries out the outputs of the state machine, `clients` accepts connections,
//! `engine_connections` dials engines, `discovery` calls service discovery, and `gossip` sends to other
//! dispatchers.

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

/// The addresses and files outside of the process that a dispatcher uses.
#[derive(Clone, Debug, Default)]
pub struct Locations {
    /// The addresses of discovery, tried in turn. If empty, discovery is never called.
    pub discovery: Vec<String>,
    /// The file in which the endpoint list is cached for the next start; `None` disables the cache.
    pub endpoint_cache: Option<PathBuf>,
    /// The addresses of the other dispatchers, by dispatcher number.
    pub peers: BTreeMap<u32, String>,
}

/// Whether a dispatcher accepts requests, and how busy it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Readiness {
    /// Whether the endpoints are known and no stop has begun.
    pub is_ready: bool,
    /// The number of open requests as a fraction of the maximum, from 0 to 1.
    pub load: f64,
}

/// The state that all tasks of one driver share.
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
    /// The connections to other dispatchers for gossip, by dispatcher number.
    peers: RefCell<BTreeMap<u32, W::Out>>,
    /// The id of the newest client connection; 0 if there was none.
    last_client_connection: Cell<u64>,
    /// The number of accepted connections whose greeting is not complete.
    pending_greetings: Cell<usize>,
    /// The instant at which the timer task wakes up; `None` while the state machine has no timer.
    timer_at: Cell<Option<Ms>>,
    /// Notified when the timer task must wake up earlier than planned.
    timer_changed: Notify,
    /// Notified when the state machine requests a snapshot of the endpoints.
    snapshot_requested: Notify,
    /// Notified when [`Driver::set_discovery_addresses`] has replaced the addresses.
    discovery_addresses_changed: Notify,
    /// Notified when a client connection has ended or has become idle, so that another one may be accepted.
    client_capacity_changed: Notify,
    /// Notified when the state machine has completed a stop.
    stopped: Notify,
}

/// A dispatcher that serves over the wire protocol `W`. All clones share the same dispatcher.
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
    /// Creates a dispatcher that speaks gRPC. `seed` initializes the random generators of the routing decisions
    /// and of the backoff.
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
    /// Creates a dispatcher that speaks `wire`. `seed` initializes the random generators of the routing decisions
    /// and of the backoff.
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
            pending_greetings: Cell::new(0),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            snapshot_requested: Notify::new(),
            discovery_addresses_changed: Notify::new(),
            client_capacity_changed: Notify::new(),
            stopped: Notify::new(),
        };
        Driver {
            shared: Rc::new(shared),
        }
    }

    /// Serves until `stop` completes, and then until the open requests have ended or the grace period has passed.
    /// Must run within a tokio `LocalSet`, because it spawns local tasks.
    ///
    /// # Errors
    /// Currently none: errors of the listener are logged, and accepting continues.
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
        self.handle_input(Input::Stop);
        self.shared.stopped.notified().await;
        accepting.abort();
        self.log_invariant_checks();
        self.flush().await;
        Ok(())
    }

    /// The number of requests, connections, timers, engines and releases that the dispatcher holds.
    pub fn usage(&self) -> Usage {
        self.shared.dispatcher.borrow().usage()
    }

    /// Whether the dispatcher accepts requests, and how busy it is.
    pub fn readiness(&self) -> Readiness {
        let dispatcher = self.shared.dispatcher.borrow();
        Readiness {
            is_ready: dispatcher.is_ready(),
            load: dispatcher.open_request_fraction(),
        }
    }

    /// The version of the newest endpoint list; 0 if none was received.
    pub fn list_version(&self) -> u64 {
        self.shared.dispatcher.borrow().list_version()
    }

    /// Starts to record the outcomes of requests and the load reports of engines. Dispatchers that monitor a
    /// rollout together share these records.
    pub fn record_service_stats(&self) {
        self.shared.dispatcher.borrow_mut().collect_service_stats();
    }

    /// Returns the outcomes of all requests so far, and reports on up to `max_reports` engines whose statistics
    /// have changed since their last report.
    pub fn take_service_stats(&self, max_reports: usize) -> (OutcomeCounts, Vec<EngineReport>) {
        let now = self.shared.clock.now();
        self.shared
            .dispatcher
            .borrow_mut()
            .take_service_stats(now, max_reports)
    }

    /// The engines in the endpoint list, with their status and reported load.
    pub fn engines(&self) -> Vec<Unit> {
        let now = self.shared.clock.now();
        self.shared.dispatcher.borrow().engine_units(now)
    }

    /// The number of established client connections.
    pub fn client_connections(&self) -> usize {
        self.shared.clients.borrow().len()
    }

    /// Replaces the addresses of discovery. If they differ from the current ones, the connection to discovery is
    /// dropped and the new addresses are tried at once.
    pub fn set_discovery_addresses(&self, addresses: Vec<String>) {
        if self.shared.locations.borrow().discovery != addresses {
            tracing::info!(addresses = ?addresses, "discovery moved");
            self.shared.locations.borrow_mut().discovery = addresses;
            self.shared.discovery_addresses_changed.notify_one();
        }
    }

    /// Initializes the endpoints from a cached list. Must be called before [`Self::serve`], so that the cached list
    /// does not replace a newer one from discovery.
    pub fn use_cached_endpoints(&self, list: v1::EndpointList) {
        self.handle_input(Input::CachedEndpoints(list));
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
                    "starting with cached endpoints"
                );
                self.use_cached_endpoints(list);
            }
            Ok(None) => {}
            // The dispatcher starts without endpoints and gets them from discovery.
            Err(problem) => {
                tracing::warn!(path = %path.display(), %problem, "endpoint cache not loaded; waiting for discovery")
            }
        }
    }

    /// Passes an input to the state machine and carries out the outputs.
    fn handle_input(&self, input: Input) {
        let mut outputs = Vec::new();
        let now = self.shared.clock.now();
        self.shared
            .dispatcher
            .borrow_mut()
            .handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
        self.update_timer();
    }

    /// Wakes the timer task if the state machine has set a timer that is due before the task would wake up.
    fn update_timer(&self) {
        let due_at = self.shared.dispatcher.borrow().next_call_at();
        let is_sooner = match (due_at, self.shared.timer_at.get()) {
            (Some(due_at), Some(timer_at)) => due_at < timer_at,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_sooner {
            self.shared.timer_changed.notify_one();
        }
    }

    /// Calls the state machine whenever one of its timers is due.
    async fn run_timers(self) {
        loop {
            let due_at = self.shared.dispatcher.borrow().next_call_at();
            self.shared.timer_at.set(due_at);
            let Some(due_at) = due_at else {
                self.shared.timer_changed.notified().await;
                continue;
            };
            tokio::select! { biased;
                () = self.shared.timer_changed.notified() => {}
                () = self.shared.clock.sleep_until(due_at) => self.handle_input(Input::Tick),
            }
        }
    }

    fn log_invariant_checks(&self) {
        let counts = self.shared.dispatcher.borrow().invariant_counts().clone();
        tracing::info!(checked = ?counts.checked, violated = ?counts.violated, "invariants");
    }

    /// Sends the messages that are left in the outboxes before the process ends. Clients over HTTP/1 get the stall
    /// timeout to read their answers.
    async fn flush(&self) {
        let limits = &self.shared.settings.limits;
        let clients: Vec<W::Out> = self.shared.clients.borrow().values().cloned().collect();
        if limits.http1.is_some() {
            // An immediate close would truncate an answer that the client is still reading.
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

    /// Waits until all connections have ended, for `timeout` milliseconds at most.
    async fn wait_until_closed(&self, connections: &[W::Out], timeout: Ms) {
        let until = self.shared.clock.now() + timeout;
        for connection in connections {
            tokio::select! { biased;
                () = connection.closed() => {}
                () = self.shared.clock.sleep_until(until) => {}
            }
        }
    }

    /// Builds the parameters of a session with a peer. `expects` is the name that the peer must have; an empty
    /// string accepts any name. `max_calls` is the number of calls that the peer may have open at the same time.
    fn session_setup(&self, expects: &str, max_calls: u32) -> Setup {
        let settings = &self.shared.settings;
        Setup {
            party: v1::Party::Dispatcher,
            name: settings.name.clone(),
            expects: expects.to_owned(),
            run: settings.incarnation,
            max_message_bytes: settings.limits.max_message_bytes,
            max_concurrent_calls: max_calls,
        }
    }

    /// Dials an address and completes the greeting.
    ///
    /// # Errors
    /// The connection cannot be established, or the greeting fails. The text is the reason for the log.
    pub(super) async fn connect(
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
