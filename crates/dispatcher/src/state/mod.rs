//! The dispatcher without its I/O: requests, attempts, KV states, connections and timers. Inputs go in by
//! [`Dispatcher::handle`] with their instant; what is to be done comes out. It tells when it wants to be called
//! next ([`Dispatcher::wants_call_at`]). The same inputs give the same outputs.
//!
//! Every choice between engines, every reject and failure of a request that was taken is
//! [`Control`](cindercleat::control::Control)'s. The ledger carries them out, tells it each outcome, and sees
//! to what holds for any decision: one final answer a request, nothing to an engine that left the list meanwhile,
//! nothing held that the decisions do not know of, bounded buffers.

mod clients;
mod connections;
mod delivery;
mod endpoints;
mod engine_releases;
mod engines;
mod invariants;
mod kv_states;
mod releases;
mod request_log;
mod requests;
mod service_stats;
mod timers;

use crate::fault_injection::{self, Plant};
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
use engine_releases::EngineRelease;
pub use invariants::{Guarded, Invariant};
use kv_states::KvStates;
use requests::{ClientStream, Request};
use std::collections::{BTreeMap, BTreeSet};
use timers::{Due, Timers};

/// After streams were moved in a stop: how often those are that have begun since.
const STOP_MOVES_AGAIN: Ms = 100.0;
/// What is left to a request whose time has passed while it came.
const NO_TIME: Ms = 0.001;

/// A client's connection, as the shell numbers it; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientConnectionId(pub u64);
/// A connection to an engine, as the ledger numbers it; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineConnectionId(pub u64);
/// What belongs together on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// What happens to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client's message, after its greeting.
    Client {
        conn: ClientConnectionId,
        frame: Frame,
    },
    /// A client's connection is there.
    ClientUp { conn: ClientConnectionId },
    /// Part of a client's message is there.
    ClientPartly { conn: ClientConnectionId },
    /// There may be no more connections of clients, and one more wants to come.
    ClientsFull,
    /// The client's connection is over.
    ClientClosed { conn: ClientConnectionId },
    /// So many token messages of a stream have left for the client.
    Flushed {
        conn: ClientConnectionId,
        stream: StreamId,
        messages: u32,
    },
    /// A dialled connection is up: the engine has greeted by its right name. `limit`: the streams that it allows.
    ConnectionUp {
        connection: EngineConnectionId,
        limit: Option<usize>,
    },
    /// The engine takes nothing new on a connection; what it took goes on.
    ConnectionDraining { connection: EngineConnectionId },
    /// A connection could not be had, or is over.
    ConnectionClosed {
        connection: EngineConnectionId,
        reason: String,
    },
    /// An engine's message.
    Engine {
        connection: EngineConnectionId,
        frame: Frame,
    },
    /// The list that was kept by the process before; the first input, if there is one.
    CachedEndpoints(v1::EndpointList),
    /// From the list feed.
    Listed(v1::EndpointList),
    /// The list feed refused a call or is lost.
    EndpointsRejected,
    /// From another dispatcher.
    Heard { from: DispatcherId, bytes: Vec<u8> },
    /// Time has passed.
    Tick,
    /// Take nothing new, finish what is open within the grace, end.
    Stop,
}

/// What a dispatcher does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    ToClient {
        conn: ClientConnectionId,
        frame: Frame,
    },
    /// Asks the client to begin nothing new on this connection; what is open goes on.
    LeaveClient {
        conn: ClientConnectionId,
    },
    /// After what was sent before.
    CloseClient {
        conn: ClientConnectionId,
        reason: String,
    },
    Dial {
        connection: EngineConnectionId,
        engine: EngineId,
        address: String,
    },
    ToEngine {
        connection: EngineConnectionId,
        frame: Frame,
    },
    /// After what was sent before.
    CloseConnection {
        connection: EngineConnectionId,
        reason: String,
    },
    /// The list to start from next time.
    KeepList(v1::EndpointList),
    /// Asks the list feed for the list.
    Follow {
        changes: bool,
    },
    Tell {
        to: Option<DispatcherId>,
        bytes: Vec<u8>,
    },
    Log {
        level: Level,
        text: String,
    },
    /// The stop is complete.
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Debug,
    Info,
    Warn,
}

/// How much a ledger holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    pub requests: usize,
    pub connections: usize,
    pub timers: usize,
    /// Engines of which anything is known.
    pub engines: usize,
    /// Releases that no engine has confirmed.
    pub releases: usize,
}

pub struct Dispatcher {
    settings: ProgramSettings,
    control: Control,
    now: Ms,
    requests: BTreeMap<RequestId, Request>,
    client_streams: BTreeMap<ClientStream, RequestId>,
    /// Open requests by the id that their clients gave them, where they did.
    origins: BTreeMap<String, RequestId>,
    callers: ClientConnections,
    next_request_id: u32,
    endpoints: Endpoints,
    connections: EngineConnections,
    timers: Timers,
    kv_states: KvStates,
    /// Releases to send where a state belongs to its engine, by that engine.
    unreleased: BTreeMap<EngineId, Vec<EngineRelease>>,
    /// Requests whose attempt the decisions doubt, and the id of the last request that was over.
    unconfirmed: BTreeSet<RequestId>,
    last_over: Option<String>,
    /// What the decisions have not been told yet.
    events: Vec<Event>,
    stopping: Option<Ms>,
    stopped: bool,
    /// Whether what happens to requests is told line by line.
    stories: bool,
    /// What those who watch a release want to know, if there are any.
    record: Option<service_stats::ServiceStats>,
    guarded: Guarded,
    /// Whether somebody keeps the list for the next start.
    keeps_lists: bool,
}

impl Dispatcher {
    /// `seed` starts the chance that the decisions draw.
    pub fn new(settings: ProgramSettings, seed: u64) -> Self {
        let mut control = Control::new(settings.policy.clone(), seed);
        if settings.limits.single.is_some() {
            control.track_deliveries();
        }
        Dispatcher {
            control,
            settings,
            now: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            client_streams: BTreeMap::new(),
            origins: BTreeMap::new(),
            callers: ClientConnections::default(),
            next_request_id: 0,
            endpoints: Endpoints::default(),
            connections: EngineConnections::new(seed),
            timers: Timers::default(),
            kv_states: KvStates::default(),
            unreleased: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            last_over: None,
            events: Vec::new(),
            stopping: None,
            stopped: false,
            stories: false,
            record: None,
            guarded: Guarded::default(),
            keeps_lists: true,
        }
    }

    /// Takes one input in at its instant; an instant before the last counts as the last. What has fallen due
    /// by then is done after it.
    pub fn handle(&mut self, now: Ms, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::ClientUp { conn } => self.take_client_up(conn, out),
            Input::Client { conn, frame } => self.take_client(conn, frame, out),
            Input::ClientPartly { conn } => self.take_partly(conn),
            Input::ClientsFull => self.make_room(out),
            Input::ClientClosed { conn } => self.take_client_closed(conn, out),
            Input::Flushed {
                conn,
                stream,
                messages,
            } => self.take_flushed((conn, stream), messages, out),
            Input::ConnectionUp { connection, limit } => self.take_link_up(connection, limit, out),
            Input::ConnectionDraining { connection } => {
                self.connections.leaving(connection, &mut self.timers)
            }
            Input::ConnectionClosed { connection, reason } => {
                self.take_link_closed(connection, &reason, out)
            }
            Input::Engine { connection, frame } => self.take_engine(connection, frame, out),
            Input::CachedEndpoints(list) => {
                self.take_list(&list, Some(EndpointUpdateKind::Cached), out)
            }
            Input::Listed(list) => self.take_list(&list, None, out),
            Input::EndpointsRejected => {
                self.events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Rejected,
                    endpoints: Vec::new(),
                });
            }
            Input::Heard { from, bytes } => self.events.push(Event::GossipReceived { from, bytes }),
            Input::Tick => {}
            Input::Stop => self.take_stop(out),
        }
        self.settle(out);
        while let Some(due) = self.timers.take_due(self.now) {
            self.take_due(due, out);
            self.settle(out);
        }
        self.look_at_due_releases(out);
        // States that are let go are gone when their engines say so: a stop does not cut that off, but no engine that
        // says nothing holds it up for longer than a release may take.
        if let (Some(since), false) = (self.stopping, self.stopped) {
            let latest =
                since + self.settings.limits.stop_grace + self.settings.policy.kv_state_timeout;
            if self.requests.is_empty()
                && self.is_closed()
                && (!self.releasing() || self.now >= latest)
            {
                self.stopped = true;
                out.push(Output::Stopped);
            }
        }
    }

    /// When `handle` wants to be called at the latest; an earlier `Tick` does no harm.
    pub fn wants_call_at(&self) -> Option<Ms> {
        self.timers.next_at()
    }

    /// Whether a list is there and no stop has begun, and which part of the requests that it may have open is.
    pub fn fares(&self) -> (bool, f64) {
        let ready = self.endpoints.is_known() && self.stopping.is_none();
        let most = self.settings.limits.max_open_requests.max(1);
        (ready, self.requests.len() as f64 / most as f64)
    }

    /// The version of the newest list.
    pub fn list_version(&self) -> u64 {
        self.endpoints.version
    }

    /// That version, if a list is known at all.
    pub fn known_version(&self) -> Option<u64> {
        self.endpoints.is_known().then_some(self.endpoints.version)
    }

    /// Nobody keeps the list for the next start: it is not put together with each change.
    pub fn keep_no_lists(&mut self) {
        self.keeps_lists = false;
    }

    /// Remembers from now on how its requests end and what engines say.
    pub fn keep_record(&mut self) {
        self.record = Some(service_stats::ServiceStats::default());
    }

    /// How its requests ended, and reports on so many engines that were heard of since.
    pub fn recorded(&mut self, now: Ms, most: usize) -> (OutcomeCounts, Vec<EngineReport>) {
        let Some(record) = &mut self.record else {
            return Default::default();
        };
        (record.tally(), record.reports(now, most))
    }

    /// The engines as the list has them. `now` is on the list's clock as well.
    pub fn units(&self, now: Ms) -> Vec<Unit> {
        let slow_start_window = self.settings.policy.slow_start_window;
        let unit = |(engine, row): (&EngineId, &endpoints::EngineEntry)| {
            let started = row.line.started_ms.filter(|at| at.is_finite());
            let cold = started.is_some_and(|at| now < at + slow_start_window);
            Unit {
                name: Name(engine.0.clone()),
                incarnation: Incarnation(started.map_or(0, f64::to_bits)),
                address: Address::from(row.line.address.as_str()),
                zone: row.line.zone.clone(),
                cell: row.line.cell.clone(),
                kind: row.line.kind.clone(),
                role: Some(row.role),
                label: String::new(),
                status: match row.status {
                    EndpointStatus::Ready if cold => ServiceStatus::Starting,
                    EndpointStatus::Ready => ServiceStatus::InService,
                    EndpointStatus::Draining => ServiceStatus::Draining,
                    EndpointStatus::Gone => ServiceStatus::OutOfService,
                },
                utilization: self
                    .record
                    .as_ref()
                    .and_then(|record| record.used(now, engine)),
                outcomes: OutcomeCounts::default(),
            }
        };
        self.endpoints.engines.iter().map(unit).collect()
    }

    /// How much is held, for logs and for tests of what must not grow.
    pub fn held(&self) -> Holding {
        Holding {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timers: self.timers.len(),
            engines: self.endpoints.engines.len(),
            releases: self.engine_releases() + self.kv_states.releasing(),
        }
    }

    /// Releases where a state belongs to its engine, which that has not confirmed.
    fn engine_releases(&self) -> usize {
        let queued: usize = self.unreleased.values().map(Vec::len).sum();
        queued + self.connections.releasing()
    }

    /// Whether a state is to be let go of which no engine has said yet that it is. A stop does not wait for releases to be
    /// repeated: what a process leaves that has ended is freed by the platform.
    fn releasing(&self) -> bool {
        let open = self.engine_releases() + self.kv_states.unconfirmed();
        !fault_injection::is(Plant::StopDropsReleases) && open > 0
    }

    /// Tells the decisions what happened and does what they decide, until nothing more follows. What is done
    /// may be over at once (an attempt that no connection can take); each such round ends an attempt, and a request has few.
    fn settle(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            if let Some(record) = &mut self.record {
                events
                    .iter()
                    .for_each(|event| record.hears(self.now, event));
            }
            if self.stories {
                events.iter().for_each(|event| self.tell_event(event, out));
            }
            self.control.step(self.now, &events, &mut actions);
            for action in actions.drain(..) {
                if self.stories {
                    self.tell_action(&action, out);
                }
                self.carry_out(action, out);
            }
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::StartAttempt {
                request,
                engine,
                until,
            } => self.start_attempt(request, engine, until, out),
            Action::Cancel { request, attempt } => self.call_off(request, attempt, out),
            Action::Reject {
                request,
                retry_after,
            } => {
                let retry_after_ms = retry_after
                    .unwrap_or(0.0)
                    .min(self.settings.policy.max_retry_after);
                let (answer, reason) = match self.guard_refusal(request, out) {
                    true => (v1::Answer::Rejected, "turned away"),
                    false => (v1::Answer::Failed, "it may have run"),
                };
                self.answer(request, answer, retry_after_ms, reason, out);
            }
            Action::Fail { request } => {
                let reject = fault_injection::is(Plant::FailureAsRejection);
                let answer = if reject {
                    v1::Answer::Rejected
                } else {
                    v1::Answer::Failed
                };
                self.answer(request, answer, 0.0, "no answer in time", out)
            }
            Action::Release { request } => self.release(request, out),
            Action::ReleaseInDoubt { request } => self.release_in_doubt(request, out),
            Action::Confirm { request, attempt } => self.confirm(request, attempt, out),
            Action::Reserve { request, engine } => self.hold_ahead(request, &engine, out),
            Action::Migrate { request } => self.move_away(request, out),
            Action::SetTimer { delay, timer } if fault_injection::is(Plant::TimersLate) => {
                self.timers
                    .set(self.now + delay.max(0.0) + 300.0, Due::Module(timer));
            }
            Action::SetTimer { delay, timer } => self
                .timers
                .set(self.now + delay.max(0.0), Due::Module(timer)),
            Action::HealthCheck { engine } => self.probe(engine, out),
            Action::CloseIdle { engine } => self.close_idle(&engine, out),
            Action::SendGossip { to, bytes } => out.push(Output::Tell { to, bytes }),
            Action::FetchEndpoints => out.push(Output::Follow { changes: false }),
            Action::WatchEndpoints { on } => out.push(Output::Follow { changes: on }),
            Action::Log { text } => out.push(Output::Log {
                level: Level::Info,
                text,
            }),
        }
    }

    fn take_due(&mut self, due: Due, out: &mut Vec<Output>) {
        match due {
            Due::Module(timer) => self.events.push(Event::Timer { timer }),
            Due::Attempt(request, attempt) => self.time_out(request, attempt, out),
            Due::Deadline(id) => self.reach_deadline(id, out),
            Due::Stall(request, attempt) => self.look_at_stream(request, attempt, out),
            Due::Client(conn) => self.look_at_client(conn, out),
            Due::EngineConnections(engine) => self.look_at_links(&engine, out),
            Due::Probe(connection, stream) => {
                self.end_health_check(connection, stream, Outcome::TimedOut, Load::default())
            }
            Due::Past(connection, stream) => self.look_at_past(connection, stream, out),
            Due::Held(request) => self.guard_held(request, out),
            Due::Release(engine) => self.flush_releases(&engine, out),
            Due::KvState(request) => self.end_wait(request, out),
            Due::StopNotice => self.end_notice(out),
            Due::StopMoves => {
                self.move_all(out);
                // What begins from now on is moved soon as well.
                if !self.requests.is_empty() {
                    self.timers.set(self.now + STOP_MOVES_AGAIN, Due::StopMoves);
                }
            }
            Due::StopGrace => self.end_grace(out),
            Due::StopReleases => {}
        }
    }

    fn take_client(&mut self, conn: ClientConnectionId, frame: Frame, out: &mut Vec<Output>) {
        let stream = StreamId(frame.stream);
        self.heard_client(conn);
        match frame.body {
            Some(Body::Submit(submit)) => self.take_submit((conn, stream), submit, out),
            Some(Body::Cancel(_)) => {
                // An unknown one has been answered in this very turn; nothing more is owed.
                if let Some(id) = self.client_streams.get(&(conn, stream)).copied() {
                    self.leave(id, out);
                    self.count_cancel(conn, out);
                }
            }
            // Whether requests can be routed: the list is there, and no stop has begun.
            Some(Body::Ping(_)) if stream.0 > 0 => {
                self.client_asks(conn);
                let ready = self.fares().0;
                let no = || v1::Goodbye {
                    reason: "not ready".to_owned(),
                    never_ran: true,
                };
                let body = if ready {
                    Body::Pong(v1::Pong {})
                } else {
                    Body::Goodbye(no())
                };
                let frame = Frame {
                    stream: stream.0,
                    body: Some(body),
                };
                out.push(Output::ToClient { conn, frame });
                self.client_answered(conn);
            }
            Some(Body::Goodbye(_) | Body::Pong(_)) => {}
            other => {
                let reason = format!("a client does not send {}", name_of(other.as_ref()));
                out.push(Output::CloseClient { conn, reason });
            }
        }
    }

    fn take_submit(
        &mut self,
        client_stream: ClientStream,
        mut submit: v1::Submit,
        out: &mut Vec<Output>,
    ) {
        let (conn, stream) = client_stream;
        let took = self.client_asks(conn);
        if self.client_streams.contains_key(&client_stream) || stream.0 == 0 {
            let reason = format!("stream {} is in use or reserved", stream.0);
            return out.push(Output::CloseClient { conn, reason });
        }
        // The client's time runs since it sent the first of its request. One whose time has passed meanwhile is as good
        // as any other, and is answered so.
        if submit.time_to_deadline_ms > 0.0 {
            submit.time_to_deadline_ms = (submit.time_to_deadline_ms - took).max(NO_TIME);
        }
        let arrival = match self.admit(&submit) {
            Ok(arrival) => arrival,
            Err(body) => {
                if let (Some(record), Body::Final(end)) = (&mut self.record, &*body) {
                    record.answered(end.answer(), false);
                }
                out.push(Output::ToClient {
                    conn,
                    frame: frame(stream.0, *body),
                });
                return self.client_answered(conn);
            }
        };
        let id = arrival.request;
        self.next_request_id += 1;
        out.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Accepted(v1::Accepted { request: id.0 })),
        });
        if self.stopping.is_some() {
            out.push(Output::LeaveClient { conn });
        }
        let ends = self.now + arrival.time_to_deadline;
        let request_class = &self.settings.policy.request_classes[arrival.request_class.0 as usize];
        let latency_objective = request_class.latency_objective
            + request_class.latency_objective_per_1000_tokens * arrival.prompt_tokens / 1000.0;
        let latency_objective = self.now - took + latency_objective;
        self.timers.set(ends, Due::Deadline(id));
        self.client_streams.insert(client_stream, id);
        if let Some(origin) = &submit.origin {
            self.origins.insert(origin.id.clone(), id);
        }
        let request = Request {
            client_stream,
            submit,
            ends,
            latency_objective,
            late: false,
            answered: false,
            attempts: 0,
            out: None,
            sent: false,
            retry_safety: request_class.retry_safety,
            first_run: None,
        };
        self.requests.insert(id, request);
        self.events.push(Event::Arrived(arrival));
    }

    /// The request as the decisions take it, or what is said in place of taking it.
    fn admit(&self, submit: &v1::Submit) -> Result<Arrival, Box<Body>> {
        let rejected = |(field, reason): (&str, String)| {
            Box::new(Body::InvalidRequest(v1::InvalidRequest {
                field: field.to_owned(),
                reason,
            }))
        };
        let arrival = self.arrival(submit).map_err(rejected)?;
        if submit
            .origin
            .as_ref()
            .is_some_and(|origin| self.origins.contains_key(&origin.id))
        {
            // Guards against a request that goes by another's id: what is held for that one would be mixed up.
            return Err(rejected(("id", "a task of this id is open".to_owned())));
        }
        // Guards against more open requests than memory and time to deadline bear; nothing has run, so a retry is harmless.
        let full = self.requests.len() >= self.settings.limits.max_open_requests
            || self.next_request_id == u32::MAX;
        if !full && !self.is_closed() {
            return Ok(arrival);
        }
        let policy = &self.settings.policy;
        let hears = if policy.clients_honor_retry_after {
            policy.kv_state_timeout
        } else {
            0.0
        };
        let retry_after_ms = hears.min(policy.max_retry_after);
        let reason = if full {
            "too many tasks are open"
        } else {
            "stopping"
        }
        .to_owned();
        let answer = v1::Answer::Rejected.into();
        Err(Box::new(Body::Final(v1::Final {
            answer,
            retry_after_ms,
            reason,
            full,
        })))
    }

    /// Whether nothing new is taken.
    fn is_closed(&self) -> bool {
        self.stopping
            .is_some_and(|since| self.now >= since + self.settings.limits.stop_notice)
    }

    /// The request as the decisions take it; or the field that cannot be right, and why.
    fn arrival(&self, submit: &v1::Submit) -> Result<Arrival, (&'static str, String)> {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).map(|at| at as u32);
        let request_class = place(&self.settings.request_classes, &submit.request_class)
            .ok_or_else(|| {
                (
                    "profile",
                    format!("there is no profile {:?}", submit.request_class),
                )
            })?;
        let tenant = match submit.tenant.as_str() {
            "" => None,
            name => Some(
                place(&self.settings.tenants, name)
                    .ok_or_else(|| ("tenant", format!("there is no tenant {name:?}")))?,
            ),
        };
        if !submit.time_to_deadline_ms.is_finite() || submit.time_to_deadline_ms <= 0.0 {
            return Err((
                "patience_ms",
                format!("{} is no time to wait", submit.time_to_deadline_ms),
            ));
        }
        if submit.prompt_tokens == 0 || submit.max_tokens == 0 {
            let field = if submit.prompt_tokens == 0 {
                "prompt_tokens"
            } else {
                "max_tokens"
            };
            return Err((field, "at least one token is wanted".to_owned()));
        }
        if submit.shared_tokens > submit.prompt_tokens {
            return Err(("shared_tokens", "more than the prompt has".to_owned()));
        }
        Ok(Arrival {
            request: RequestId(self.next_request_id),
            request_class: RequestClassId(request_class),
            tenant: tenant.map(TenantId),
            session: SessionId(submit.session),
            time_to_deadline: submit.time_to_deadline_ms,
            answer_hint: None,
            shared: Some(submit.shared_text)
                .filter(|t| *t != 0)
                .map(SharedTextId),
            prompt_tokens: f64::from(submit.prompt_tokens),
            shared_tokens: f64::from(submit.shared_tokens),
            max_tokens: f64::from(submit.max_tokens),
            retried: submit.retried,
            resumed: submit.resumed,
        })
    }

    fn take_client_closed(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        self.callers.remove(conn);
        let all = (conn, StreamId(0))..=(conn, StreamId(u64::MAX));
        let ids: Vec<RequestId> = self.client_streams.range(all).map(|(_, id)| *id).collect();
        for id in ids {
            self.leave(id, out);
        }
    }

    /// The client wants no more of a request: nothing is owed, and what is out for it ends.
    fn leave(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.answered = true;
        self.client_streams.remove(&request.client_stream);
        self.events.push(Event::ClientGone { request: id });
        // A stream that nobody reads ends; what has not begun the decisions call off themselves.
        if request.streams() {
            self.stop_attempt(id, out);
            self.end_attempt(id, Outcome::Cancelled, 0.0, Load::default());
        }
        self.forget_past(id);
    }

    /// The one place that gives a final answer.
    fn answer(
        &mut self,
        id: RequestId,
        answer: v1::Answer,
        retry_after_ms: f64,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|t| !t.answered) else {
            return;
        };
        request.answered = true;
        if let Some(record) = &mut self.record {
            let late = request.late || !request.streams() && self.now > request.latency_objective;
            record.answered(answer, late);
        }
        // No attempt can need it any more.
        request.submit.prompt = Default::default();
        let (conn, stream) = request.client_stream;
        self.client_streams.remove(&request.client_stream);
        let (answer, reason) = (answer.into(), reason.to_owned());
        let body = v1::Final {
            answer,
            retry_after_ms,
            reason,
            full: false,
        };
        if fault_injection::is(Plant::FinalLost) && id.0 % 16 == 7 {
            return;
        }
        out.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Final(body)),
        });
        self.client_answered(conn);
        self.forget_past(id);
    }

    fn forget_past(&mut self, id: RequestId) {
        let is_past = self.requests.get(&id).is_some_and(Request::is_past);
        if is_past && self.kv_states.on_offer(id).is_none() {
            let past = self.requests.remove(&id);
            if let Some(origin) = past.and_then(|request| request.submit.origin) {
                self.origins.remove(&origin.id);
                self.last_over = Some(origin.id);
            }
        }
    }

    /// Guards against a request that the decisions left without an answer, whatever the reason: no request is lost.
    fn reach_deadline(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.answered || request.streams() {
            return;
        }
        let text = format!(
            "task {} was not answered before its client's time was up",
            id.0
        );
        out.push(Output::Log {
            level: Level::Warn,
            text,
        });
        self.answer(id, v1::Answer::Failed, 0.0, "time is up", out);
        self.events.push(Event::ClientGone { request: id });
    }

    fn take_list(
        &mut self,
        list: &v1::EndpointList,
        remembered: Option<EndpointUpdateKind>,
        out: &mut Vec<Output>,
    ) {
        let planted = fault_injection::list(list);
        let list = planted.as_ref().unwrap_or(list);
        let (kind, endpoints, wrong) = self.endpoints.take(list, &self.settings);
        out.extend(wrong.into_iter().map(|text| Output::Log {
            level: Level::Warn,
            text,
        }));
        if self.keeps_lists && remembered.is_none() && !list.endpoints.is_empty() {
            out.push(Output::KeepList(self.endpoints.whole()));
        }
        for entry in endpoints
            .iter()
            .filter(|e| e.status != EndpointStatus::Ready)
        {
            self.close_idle(&entry.engine, out);
        }
        for entry in endpoints.iter().filter(|e| e.started.is_some()) {
            self.connections.renewed(&entry.engine);
        }
        self.events.push(Event::EndpointsUpdated {
            kind: remembered.unwrap_or(kind),
            endpoints,
        });
        for engine in self.endpoints.gone() {
            self.forget_gone(&engine);
        }
    }

    /// Guards against a fleet that is replaced all day: nothing is kept of an engine that is gone, once no
    /// connection to it is left. An unknown engine counts as gone.
    fn forget_gone(&mut self, engine: &EngineId) {
        if self.endpoints.status(engine) == EndpointStatus::Gone && self.connections.forget(engine)
        {
            self.endpoints.engines.remove(engine);
        }
    }

    fn take_stop(&mut self, out: &mut Vec<Output>) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            let grace = self.now + self.settings.limits.stop_grace;
            self.timers.set(grace, Due::StopGrace);
            self.timers.set(
                grace + self.settings.policy.kv_state_timeout,
                Due::StopReleases,
            );
            if let Some(after) = self.settings.limits.stop_moves {
                self.timers.set(self.now + after, Due::StopMoves);
            }
            let notice = self.settings.limits.stop_notice;
            if notice > 0.0 {
                // Those with an open request are told with its answer, the others at the end of the notice.
                let open: BTreeSet<ClientConnectionId> =
                    self.client_streams.keys().map(|(conn, _)| *conn).collect();
                out.extend(open.into_iter().map(|conn| Output::LeaveClient { conn }));
                self.timers.set(self.now + notice, Due::StopNotice);
            } else {
                self.end_notice(out);
            }
            let text = format!("stopping with {} tasks open", self.requests.len());
            out.push(Output::Log {
                level: Level::Info,
                text,
            });
        }
    }

    /// Nothing new is taken from now on.
    fn end_notice(&mut self, out: &mut Vec<Output>) {
        out.extend(self.callers.all().map(|conn| Output::LeaveClient { conn }));
    }

    /// Guards against streams that outlast this process: cut off with it they would all look for another
    /// dispatcher at an instant that nobody chose, perhaps with none there.
    fn move_all(&mut self, out: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.move_away(id, out);
        }
    }

    /// What is still open at the end of the grace is answered: rejected if nothing of it ever went out, else
    /// failed, which promises nothing; its attempts are called off and its states let go.
    fn end_grace(&mut self, out: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let answer = if request.sent {
                v1::Answer::Failed
            } else {
                v1::Answer::Rejected
            };
            self.answer(id, answer, 0.0, "the dispatcher stops", out);
            self.leave(id, out);
        }
    }
}
