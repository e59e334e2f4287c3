//! The dispatcher as a state machine without I/O: its requests, attempts, KV states, connections and timers. The
//! caller passes each input and its instant to [`Dispatcher::handle`], and carries out the outputs that the call
//! returns. [`Dispatcher::next_call_at`] returns the instant at which the caller must call `handle` again, because
//! a timer is due. The same inputs always produce the same outputs.
//!
//! [`Control`] makes every choice between engines and decides when an accepted request is rejected or failed. The
//! dispatcher carries out these actions and reports each outcome back. Whatever `Control` decides, the dispatcher
//! ensures that each request gets one final answer, that no attempt is sent to an engine that is out of service,
//! that no KV state is held without the knowledge of `Control`, and that buffers are bounded.

mod abandoned_streams;
mod attempts;
mod client_requests;
mod clients;
mod connection_events;
mod connections;
mod delivery;
mod endpoint_updates;
mod endpoints;
mod engine_messages;
mod engine_releases;
mod engine_requests;
mod health_checks;
mod invariants;
mod io;
mod kv_states;
mod release_targets;
mod release_waits;
mod releases;
mod request_log;
mod requests;
mod service_stats;
mod shutdown;
mod status;
mod stream_purpose;
mod timers;
mod token_streams;

use crate::fault_injection::{self, InjectedFault};
use crate::settings::ProgramSettings;
use cindercleat::control::Control;
use cindercleat::coordination::disruption_budget::{OutcomeCounts, ServiceStatus, Unit};
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::{Address, Incarnation, Name};
use cindercleat::interface::*;
use cindercleat_protocol::{frame, message_name, v1, Body, Frame};
use clients::ClientConnections;
use connections::EngineConnections;
use endpoints::Endpoints;
pub use invariants::{Invariant, InvariantCounts};
pub use io::{ClientConnectionId, EngineConnectionId, Input, Level, Output, StreamId};
use kv_states::KvStates;
use requests::{ClientStream, Request};
pub use status::Usage;
use std::collections::{BTreeMap, BTreeSet};
use stream_purpose::EngineRelease;
use timers::{TimerKind, Timers};

/// The delay that the injected fault `TimersLate` adds to the timers of the routing logic.
const INJECTED_TIMER_DELAY_MS: Ms = 300.0;

/// Routes requests to engines and their tokens back to clients, as a state machine without I/O. All instants
/// are milliseconds on one clock of the caller.
pub struct Dispatcher {
    settings: ProgramSettings,
    control: Control,
    /// The instant of the latest input.
    now: Ms,
    requests: BTreeMap<RequestId, Request>,
    client_streams: BTreeMap<ClientStream, RequestId>,
    /// The open requests, keyed by the id that the client has assigned. Requests without such an id are absent.
    requests_by_origin: BTreeMap<String, RequestId>,
    client_connections: ClientConnections,
    next_request_id: u32,
    endpoints: Endpoints,
    connections: EngineConnections,
    timers: Timers,
    kv_states: KvStates,
    /// Releases that are waiting to be sent, grouped by the engine that holds the KV state. Used only with
    /// multiplexed connections.
    pending_engine_releases: BTreeMap<EngineId, Vec<EngineRelease>>,
    /// Requests whose current attempt is not yet known to have reached its engine, although `Control` has asked for
    /// a confirmation.
    delivery_unconfirmed: BTreeSet<RequestId>,
    /// The client-assigned id of the request that finished last. A release of this id serves as a liveness check,
    /// because every engine answers it.
    last_finished_origin: Option<String>,
    /// Events that are not yet passed to `Control`.
    events: Vec<Event>,
    /// When the stop began; `None` before it.
    stopping_since: Option<Ms>,
    /// Whether [`Output::Stopped`] was returned.
    stopped: bool,
    /// Whether the events and actions of requests are logged at debug level.
    logs_requests: bool,
    /// Statistics for the monitoring of a rollout; `None` unless [`Dispatcher::collect_service_stats`] was
    /// called.
    service_stats: Option<service_stats::ServiceStats>,
    invariant_counts: InvariantCounts,
    /// Whether an update from discovery produces an [`Output::CacheEndpoints`].
    caches_endpoints: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints. `seed` initializes the random generators of the routing logic and
    /// of the connect backoff.
    pub fn new(settings: ProgramSettings, seed: u64) -> Self {
        let mut control = Control::new(settings.policy.clone(), seed);
        if settings.limits.http1.is_some() {
            control.track_deliveries();
        }
        Dispatcher {
            control,
            settings,
            now: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            client_streams: BTreeMap::new(),
            requests_by_origin: BTreeMap::new(),
            client_connections: ClientConnections::default(),
            next_request_id: 0,
            endpoints: Endpoints::default(),
            connections: EngineConnections::new(seed),
            timers: Timers::default(),
            kv_states: KvStates::default(),
            pending_engine_releases: BTreeMap::new(),
            delivery_unconfirmed: BTreeSet::new(),
            last_finished_origin: None,
            events: Vec::new(),
            stopping_since: None,
            stopped: false,
            logs_requests: false,
            service_stats: None,
            invariant_counts: InvariantCounts::default(),
            caches_endpoints: true,
        }
    }

    /// Handles one input at the instant `now`, in milliseconds. If `now` is before the instant of an earlier call,
    /// the earlier call's instant is used instead. Timers that are due at `now` run after the input. Outputs are
    /// appended to `outputs` in the order in which they must be carried out.
    pub fn handle(&mut self, now: Ms, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::ClientConnected { conn } => self.on_client_connected(conn, outputs),
            Input::Client { conn, frame } => self.handle_client_message(conn, frame, outputs),
            Input::ClientRequestBegun { conn } => self.on_client_request_begun(conn),
            Input::ClientLimitReached => self.evict_client(outputs),
            Input::ClientClosed { conn } => self.on_client_closed(conn, outputs),
            Input::MessagesForwarded {
                conn,
                stream,
                messages,
            } => self.on_messages_forwarded((conn, stream), messages, outputs),
            Input::ConnectionEstablished { connection, limit } => {
                self.on_connection_established(connection, limit, outputs)
            }
            Input::ConnectionDraining { connection } => {
                self.connections.mark_draining(connection, &mut self.timers)
            }
            Input::ConnectionClosed { connection, reason } => {
                self.on_connection_closed(connection, &reason, outputs)
            }
            Input::Engine { connection, frame } => {
                self.handle_engine_message(connection, frame, outputs)
            }
            Input::CachedEndpoints(list) => {
                self.update_endpoints(&list, Some(EndpointUpdateKind::Cached), outputs)
            }
            Input::EndpointsUpdated(list) => self.update_endpoints(&list, None, outputs),
            Input::DiscoveryCallFailed => {
                self.events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Rejected,
                    endpoints: Vec::new(),
                });
            }
            Input::GossipReceived { from, bytes } => {
                self.events.push(Event::GossipReceived { from, bytes })
            }
            Input::Tick => {}
            Input::Stop => self.begin_stop(outputs),
        }
        self.run_control(outputs);
        while let Some(timer) = self.timers.take_due_timer(self.now) {
            self.on_timer(timer, outputs);
            self.run_control(outputs);
        }
        self.continue_due_releases(outputs);
        self.complete_stop(outputs);
    }

    /// The instant at which the next timer is due, in milliseconds; `None` if no timer is set. The caller must call
    /// [`Self::handle`] at this instant, with [`Input::Tick`] unless another input has arrived. A `Tick` before
    /// this instant has no effect.
    pub fn next_call_at(&self) -> Option<Ms> {
        self.timers.next_timer_at()
    }

    /// Passes the pending events to `Control` and carries out its actions until no event remains. An attempt that
    /// no connection can carry ends at once, which adds an event. The loop ends because the number of attempts per
    /// request is limited.
    fn run_control(&mut self, outputs: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            if let Some(service_stats) = &mut self.service_stats {
                events
                    .iter()
                    .for_each(|event| service_stats.record_event(self.now, event));
            }
            if self.logs_requests {
                events
                    .iter()
                    .for_each(|event| self.log_event(event, outputs));
            }
            self.control.step(self.now, &events, &mut actions);
            for action in actions.drain(..) {
                if self.logs_requests {
                    self.log_action(&action, outputs);
                }
                self.execute_action(action, outputs);
            }
        }
    }

    fn execute_action(&mut self, action: Action, outputs: &mut Vec<Output>) {
        match action {
            Action::StartAttempt {
                request,
                engine,
                until,
            } => self.start_attempt(request, engine, until, outputs),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt, outputs),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.reject(request, retry_after, outputs);
            }
            Action::Fail { request } => self.fail(request, outputs),
            Action::Release { request } => self.release(request, outputs),
            Action::ReleaseUnlessClaimed { request } => {
                self.release_if_not_needed(request, outputs)
            }
            Action::ConfirmDelivery { request, attempt } => {
                self.confirm_delivery(request, attempt, outputs)
            }
            Action::Reserve { request, engine } => self.reserve(request, &engine, outputs),
            Action::Migrate { request } => self.migrate(request, outputs),
            Action::SetTimer { delay, timer }
                if fault_injection::is_injected(InjectedFault::TimersLate) =>
            {
                self.timers.set(
                    self.now + delay.max(0.0) + INJECTED_TIMER_DELAY_MS,
                    TimerKind::Control(timer),
                );
            }
            Action::SetTimer { delay, timer } => self
                .timers
                .set(self.now + delay.max(0.0), TimerKind::Control(timer)),
            Action::HealthCheck { engine } => self.check_health(engine, outputs),
            Action::CloseIdle { engine } => self.close_idle(&engine, outputs),
            Action::SendGossip { to, bytes } => outputs.push(Output::SendGossip { to, bytes }),
            Action::FetchEndpoints => outputs.push(Output::RequestEndpoints { changes: false }),
            Action::WatchEndpoints { on } => outputs.push(Output::RequestEndpoints { changes: on }),
            Action::Log { text } => outputs.push(Output::log(Level::Info, text)),
        }
    }

    fn on_timer(&mut self, timer: TimerKind, outputs: &mut Vec<Output>) {
        match timer {
            TimerKind::Control(timer) => self.events.push(Event::Timer { timer }),
            TimerKind::AttemptTimeout(request, attempt) => {
                self.time_out_attempt(request, attempt, outputs)
            }
            TimerKind::Deadline(id) => self.on_deadline(id, outputs),
            TimerKind::StreamStall(request, attempt) => {
                self.check_stream_progress(request, attempt, outputs)
            }
            TimerKind::Client(conn) => self.run_client_connection(conn, outputs),
            TimerKind::EngineConnections(engine) => self.run_connection_pool(&engine, outputs),
            TimerKind::HealthCheckTimeout(connection, stream) => {
                self.end_health_check(connection, stream, Outcome::TimedOut, Load::default())
            }
            TimerKind::StreamTimeout(connection, stream) => {
                self.check_unanswered_stream(connection, stream, outputs)
            }
            TimerKind::HeldStateCheck(request) => self.check_held_state(request, outputs),
            TimerKind::EngineReleaseRetry(engine) => self.send_engine_releases(&engine, outputs),
            TimerKind::ReleaseCheck(request) => self.on_release_timer(request, outputs),
            TimerKind::StopAcceptPeriodEnd => self.end_accept_period(outputs),
            TimerKind::StopMigration => self.migrate_all(outputs),
            TimerKind::StopGrace => self.end_stop_grace(outputs),
            TimerKind::StopReleases => {}
        }
    }
}
