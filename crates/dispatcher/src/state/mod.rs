//! The dispatcher without its I/O: requests, attempts, KV states, connections and timers. Inputs go in by
//! [`Dispatcher::handle`] with their instant; what is to be done comes out. It tells when it wants to be called
//! next ([`Dispatcher::wants_call_at`]). The same inputs give the same outputs.
//!
//! Every choice between engines, every reject and failure of a request that was taken is
//! [`Control`](cindercleat::control::Control)'s. The ledger carries them out, tells it each outcome, and sees
//! to what holds for any decision: one final answer a request, nothing to an engine that left the list meanwhile,
//! nothing held that the decisions do not know of, bounded buffers.

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

use crate::fault_injection::{self, Plant};
use crate::settings::ProgramSettings;
use cindercleat::control::Control;
use cindercleat::fleet::bounds::{Stand, Tally, Unit};
use cindercleat::fleet::rollcall::EngineReport;
use cindercleat::fleet::{Address, Name, Run};
use cindercleat::interface::*;
use cindercleat_protocol::{frame, name_of, v1, Body, Frame};
use clients::ClientConnections;
use connections::EngineConnections;
use endpoints::Endpoints;
pub use invariants::{Guarded, Invariant};
pub use io::{ClientConnectionId, EngineConnectionId, Input, Level, Output, StreamId};
use kv_states::KvStates;
use requests::{ClientStream, Request};
pub use status::Holding;
use std::collections::{BTreeMap, BTreeSet};
use stream_purpose::EngineRelease;
use timers::{Due, Timers};

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
        self.end_stop(out);
    }

    /// When `handle` wants to be called at the latest; an earlier `Tick` does no harm.
    pub fn wants_call_at(&self) -> Option<Ms> {
        self.timers.next_at()
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
            Due::StopMoves => self.move_all(out),
            Due::StopGrace => self.end_grace(out),
            Due::StopReleases => {}
        }
    }
}
