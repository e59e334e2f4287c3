//! The dispatcher without its I/O: requests, attempts, KV states, connections and timers. Inputs go in by
//! [`Dispatcher::handle`] with their instant; what is to be done comes out. It tells when it wants to be called
//! next ([`Dispatcher::wants_call_at`]). The same inputs give the same outputs.
//!
//! Every choice between engines, every reject and failure of a request that was taken is
//! [`Control`](cindercleat::control::Control)'s. The dispatcher carries them out, reports each outcome to it, and
//! ensures what holds for any decision: one final answer a request, nothing to an engine that has left service
//! meanwhile, no KV state held that the decisions do not know of, bounded buffers.

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
use cindercleat_protocol::{frame, name_of, v1, Body, Frame};
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
use timers::{Due, Timers};

/// How late the injected fault `TimersLate` sets a timer, in milliseconds.
const INJECTED_TIMER_DELAY_MS: Ms = 300.0;

/// Routes requests to engines and their tokens back to clients: a state machine without I/O. All instants are milliseconds on one clock that the caller keeps.
pub struct Dispatcher {
    settings: ProgramSettings,
    control: Control,
    now: Ms,
    requests: BTreeMap<RequestId, Request>,
    client_streams: BTreeMap<ClientStream, RequestId>,
    /// Open requests by the id that their clients gave them, where they did.
    requests_by_origin: BTreeMap<String, RequestId>,
    client_connections: ClientConnections,
    next_request_id: u32,
    endpoints: Endpoints,
    connections: EngineConnections,
    timers: Timers,
    kv_states: KvStates,
    /// Releases to send where a state belongs to its engine, by that engine.
    pending_engine_releases: BTreeMap<EngineId, Vec<EngineRelease>>,
    /// Requests of whose attempt the decisions want to know whether it has reached its engine.
    delivery_unconfirmed: BTreeSet<RequestId>,
    /// The client's id of the last request that is over; its release is a liveness check that any engine answers.
    last_finished_origin: Option<String>,
    /// Events that the decisions have not taken yet.
    events: Vec<Event>,
    stopping_since: Option<Ms>,
    stopped: bool,
    /// Whether each event of a request is logged.
    logs_requests: bool,
    /// What a rollout is judged by; none where nobody asks for it.
    service_stats: Option<service_stats::ServiceStats>,
    invariant_counts: InvariantCounts,
    /// Whether the endpoints are cached for the next start.
    caches_endpoints: bool,
}

impl Dispatcher {
    /// A dispatcher that knows no endpoints yet. `seed` starts the random draws of the decisions.
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

    /// Takes one input at its instant `now`, in milliseconds; an instant before the last counts as the last. Timers that
    /// are due by then run after it. What is to be done is appended to `outputs`, in its order.
    pub fn handle(&mut self, now: Ms, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::ClientUp { conn } => self.take_client_up(conn, outputs),
            Input::Client { conn, frame } => self.handle_client_message(conn, frame, outputs),
            Input::ClientPartly { conn } => self.take_partly(conn),
            Input::ClientsFull => self.make_room(outputs),
            Input::ClientClosed { conn } => self.on_client_closed(conn, outputs),
            Input::Flushed {
                conn,
                stream,
                messages,
            } => self.on_messages_forwarded((conn, stream), messages, outputs),
            Input::ConnectionUp { connection, limit } => {
                self.on_connection_up(connection, limit, outputs)
            }
            Input::ConnectionDraining { connection } => {
                self.connections.leaving(connection, &mut self.timers)
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
            Input::EndpointsRejected => {
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
        self.settle(outputs);
        while let Some(due) = self.timers.take_due(self.now) {
            self.on_timer(due, outputs);
            self.settle(outputs);
        }
        self.continue_due_releases(outputs);
        self.end_stop(outputs);
    }

    /// When [`Self::handle`] wants to be called at the latest, in milliseconds; an earlier `Tick` changes nothing.
    pub fn wants_call_at(&self) -> Option<Ms> {
        self.timers.next_at()
    }

    /// Passes the events to the decisions and carries out what they decide, until nothing more follows. An attempt that no
    /// connection can take ends at once, which is an event again; a request has few attempts, so this ends.
    fn settle(&mut self, outputs: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            if let Some(service_stats) = &mut self.service_stats {
                events
                    .iter()
                    .for_each(|event| service_stats.observe(self.now, event));
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
                self.carry_out(action, outputs);
            }
        }
    }

    fn carry_out(&mut self, action: Action, outputs: &mut Vec<Output>) {
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
            Action::ReleaseInDoubt { request } => self.release_unconfirmed(request, outputs),
            Action::Confirm { request, attempt } => self.confirm(request, attempt, outputs),
            Action::Reserve { request, engine } => self.reserve(request, &engine, outputs),
            Action::Migrate { request } => self.migrate(request, outputs),
            Action::SetTimer { delay, timer }
                if fault_injection::is_injected(InjectedFault::TimersLate) =>
            {
                self.timers.set(
                    self.now + delay.max(0.0) + INJECTED_TIMER_DELAY_MS,
                    Due::Control(timer),
                );
            }
            Action::SetTimer { delay, timer } => self
                .timers
                .set(self.now + delay.max(0.0), Due::Control(timer)),
            Action::HealthCheck { engine } => self.check_health(engine, outputs),
            Action::CloseIdle { engine } => self.close_idle(&engine, outputs),
            Action::SendGossip { to, bytes } => outputs.push(Output::SendGossip { to, bytes }),
            Action::FetchEndpoints => outputs.push(Output::RequestEndpoints { changes: false }),
            Action::WatchEndpoints { on } => outputs.push(Output::RequestEndpoints { changes: on }),
            Action::Log { text } => outputs.push(Output::log(Level::Info, text)),
        }
    }

    fn on_timer(&mut self, due: Due, outputs: &mut Vec<Output>) {
        match due {
            Due::Control(timer) => self.events.push(Event::Timer { timer }),
            Due::AttemptTimeout(request, attempt) => {
                self.time_out_attempt(request, attempt, outputs)
            }
            Due::Deadline(id) => self.on_deadline(id, outputs),
            Due::StreamStall(request, attempt) => {
                self.check_stream_progress(request, attempt, outputs)
            }
            Due::Client(conn) => self.look_at_client(conn, outputs),
            Due::EngineConnections(engine) => self.run_connection_pool(&engine, outputs),
            Due::HealthCheckTimeout(connection, stream) => {
                self.end_health_check(connection, stream, Outcome::TimedOut, Load::default())
            }
            Due::StreamTimeout(connection, stream) => {
                self.check_unanswered_stream(connection, stream, outputs)
            }
            Due::HeldStateCheck(request) => self.check_held_state(request, outputs),
            Due::EngineReleaseRetry(engine) => self.send_engine_releases(&engine, outputs),
            Due::ReleaseCheck(request) => self.on_release_timer(request, outputs),
            Due::StopNotice => self.end_notice(outputs),
            Due::StopMigration => self.migrate_all(outputs),
            Due::StopGrace => self.end_grace(outputs),
            Due::StopReleases => {}
        }
    }
}
