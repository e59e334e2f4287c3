//! Moves bytes between a transport and the [`Dispatcher`], and tells it the time. Nothing is chosen here.
//!
//! All runs on one thread. What is to be written goes to the connection's session, of whatever [`Wire`]. The
//! ledger is called in turn for each message, and its outputs go to the outboxes at once, so what is said to one
//! peer keeps its order.

use crate::state::{
    ClientConnectionId, Dispatcher, EngineConnectionId, Input, InvariantCounts, Level, Output,
    StreamId,
};
use crate::{endpoint_cache, ProgramSettings};
use cindercleat::discovery_client::{DiscoveryCalls, FirstCall};
use cindercleat::fleet::bounds::{Tally, Unit};
use cindercleat::fleet::rollcall::EngineReport;
use cindercleat::interface::{DispatcherId, EngineId, Ms};
use cindercleat_grpc::Grpc;
use cindercleat_net::{Clock, Listener, Transport};
use cindercleat_protocol::session::{Event, Outbox, Session, Setup, Wire};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// Where a dispatcher's program finds what it does not decide about.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// The list feed's addresses, tried in turn.
    pub feeds: Vec<String>,
    /// Where the list is kept for the next start.
    pub keep: Option<PathBuf>,
    /// The other dispatchers' addresses, by their numbers.
    pub peers: BTreeMap<u32, String>,
}

/// How long to wait when no connection can be taken in.
const ACCEPT_AGAIN: Ms = 20.0;
/// The system's number for an error of the protocol beneath (EPROTO).
const PROTOCOL_ERROR: i32 = 71;
/// Streams that one client may have open on a connection.
const MOST_CALLS: u32 = 1024;

/// How a connection to the list feed ended.
enum FeedEnd {
    Lost(String),
    /// Its answer was no list that can be used.
    Unusable(String),
}

/// Whether an error of accept tells of one connection that is gone, or of a call that was interrupted: accept(2) has errors
/// of the network that were pending on the new connection passed on so, to be treated as if there were none yet.
fn concerns_one_connection(problem: &io::Error) -> bool {
    use io::ErrorKind::*;
    let kinds = [
        ConnectionAborted,
        ConnectionReset,
        Interrupted,
        NetworkDown,
        NetworkUnreachable,
        HostUnreachable,
    ];
    kinds.contains(&problem.kind()) || problem.raw_os_error() == Some(PROTOCOL_ERROR)
}

/// A connection to an engine, from its dialling on.
struct LinkEnd<O> {
    /// Once it is up.
    out: RefCell<Option<O>>,
    given_up: Cell<bool>,
    give_up: Notify,
}

impl<O: Outbox> LinkEnd<O> {
    fn new() -> Self {
        LinkEnd {
            out: RefCell::new(None),
            given_up: Cell::new(false),
            give_up: Notify::new(),
        }
    }

    fn close(&self) {
        self.given_up.set(true);
        self.give_up.notify_waiters();
        if let Some(out) = &*self.out.borrow() {
            out.close();
        }
    }

    async fn closed(&self) {
        while !self.given_up.get() {
            self.give_up.notified().await;
        }
    }
}

struct Inner<T, C, W: Wire> {
    settings: ProgramSettings,
    seed: u64,
    places: RefCell<Places>,
    transport: T,
    clock: C,
    wire: W,
    ledger: RefCell<Dispatcher>,
    clients: RefCell<BTreeMap<ClientConnectionId, W::Out>>,
    connections: RefCell<BTreeMap<EngineConnectionId, Rc<LinkEnd<W::Out>>>>,
    peers: RefCell<BTreeMap<u32, W::Out>>,
    last_client_connection: Cell<u64>,
    greeting: Cell<usize>,
    armed: Cell<Option<Ms>>,
    timer: Notify,
    follow: Notify,
    /// The list feed is at another address.
    moved: Notify,
    /// A client's connection is over, or rests.
    place_changed: Notify,
    stopped: Notify,
}

/// A dispatcher that serves, speaking `W`; clones are the same one.
pub struct Driver<T, C, W: Wire = Grpc> {
    inner: Rc<Inner<T, C, W>>,
}

impl<T, C, W: Wire> Clone for Driver<T, C, W> {
    fn clone(&self) -> Self {
        Driver {
            inner: self.inner.clone(),
        }
    }
}

impl<T: Transport, C: Clock> Driver<T, C> {
    /// One that speaks gRPC. `seed` starts the chance that the decisions draw.
    pub fn new(
        settings: ProgramSettings,
        places: Places,
        transport: T,
        clock: C,
        seed: u64,
    ) -> Self {
        Driver::speaking(Grpc, settings, places, transport, clock, seed)
    }
}

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// `seed` starts the chance that the decisions draw.
    pub fn speaking(
        wire: W,
        settings: ProgramSettings,
        places: Places,
        transport: T,
        clock: C,
        seed: u64,
    ) -> Self {
        let mut ledger = Dispatcher::new(settings.clone(), seed);
        if tracing::enabled!(tracing::Level::DEBUG) {
            ledger.enable_request_log();
        }
        if places.keep.is_none() {
            ledger.disable_endpoint_cache();
        }
        let inner = Inner {
            ledger: RefCell::new(ledger),
            settings,
            seed,
            places: RefCell::new(places),
            transport,
            clock,
            wire,
            clients: RefCell::default(),
            connections: RefCell::default(),
            peers: RefCell::default(),
            last_client_connection: Cell::new(0),
            greeting: Cell::new(0),
            armed: Cell::new(None),
            timer: Notify::new(),
            follow: Notify::new(),
            moved: Notify::new(),
            place_changed: Notify::new(),
            stopped: Notify::new(),
        };
        Driver {
            inner: Rc::new(inner),
        }
    }

    /// Serves until `stop` is there and what was open has ended, or its grace. Runs within a `LocalSet`.
    ///
    /// # Errors
    /// The listener failed for good.
    pub async fn serve(
        &self,
        listener: T::Listener,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        self.remember();
        spawn_local(self.clone().keep_time());
        spawn_local(self.clone().follow_list());
        let accepting = spawn_local(self.clone().accept(listener));
        stop.await;
        self.input(Input::Stop);
        self.inner.stopped.notified().await;
        accepting.abort();
        let guarded = self.inner.ledger.borrow().invariant_counts().clone();
        tracing::info!(checked = ?guarded.checked, violated = ?guarded.violated, "invariants");
        self.flush().await;
        Ok(())
    }

    /// How much the ledger holds.
    pub fn held(&self) -> crate::state::Usage {
        self.inner.ledger.borrow().usage()
    }

    /// How often the invariants were looked at, and violated.
    pub fn guarded(&self) -> InvariantCounts {
        self.inner.ledger.borrow().invariant_counts().clone()
    }

    /// Whether it is ready for requests, and how much of it is used, 0 to 1.
    pub fn fares(&self) -> (bool, f64) {
        {
            let ledger = self.inner.ledger.borrow();
            (ledger.is_ready(), ledger.open_fraction())
        }
    }

    /// The version of the newest list of engines.
    pub fn list_version(&self) -> u64 {
        self.inner.ledger.borrow().list_version()
    }

    /// Remembers from now on how its requests end and what engines say: for a fleet that watches releases.
    pub fn keep_record(&self) {
        self.inner.ledger.borrow_mut().collect_service_stats();
    }

    /// How its requests ended, and reports on so many engines that were heard of since.
    pub fn recorded(&self, most: usize) -> (Tally, Vec<EngineReport>) {
        self.inner
            .ledger
            .borrow_mut()
            .recorded(self.inner.clock.now(), most)
    }

    /// The engines as the list has them.
    pub fn units(&self) -> Vec<Unit> {
        self.inner.ledger.borrow().units(self.inner.clock.now())
    }

    /// Clients' connections now.
    pub fn clients(&self) -> usize {
        self.inner.clients.borrow().len()
    }

    /// The list feed is at these addresses from now on.
    pub fn move_feeds(&self, feeds: Vec<String>) {
        if self.inner.places.borrow().feeds != feeds {
            tracing::info!(?feeds, "list feed moved");
            self.inner.places.borrow_mut().feeds = feeds;
            self.inner.moved.notify_one();
        }
    }

    /// Takes in a list as it was known before. Before serving: the feed's own list is newer.
    pub fn remember_list(&self, list: v1::EndpointList) {
        self.input(Input::CachedEndpoints(list));
    }

    fn remember(&self) {
        let Some(path) = self.inner.places.borrow().keep.clone() else {
            return;
        };
        match endpoint_cache::load(&path) {
            Ok(Some(list)) => {
                tracing::info!(
                    engines = list.endpoints.len(),
                    version = list.version,
                    "list remembered"
                );
                self.input(Input::CachedEndpoints(list));
            }
            Ok(None) => {}
            // Serving without a list beats not serving: the feed will tell.
            Err(problem) => tracing::warn!(path = %path.display(), %problem, "kept list not used"),
        }
    }

    /// Tells the ledger something and does what it wants.
    fn input(&self, input: Input) {
        let mut outputs = Vec::new();
        let now = self.inner.clock.now();
        self.inner
            .ledger
            .borrow_mut()
            .handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
        let wants = self.inner.ledger.borrow().wants_call_at();
        let sooner = match (wants, self.inner.armed.get()) {
            (Some(wants), Some(armed)) => wants < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if sooner {
            self.inner.timer.notify_one();
        }
    }

    fn perform(&self, output: Output) {
        match output {
            Output::ToClient { conn, frame } => {
                match &frame.body {
                    Some(Body::Final(said)) if said.answer() != v1::Answer::Succeeded => {
                        let (answer, reason) = (said.answer().as_str_name(), &said.reason);
                        tracing::debug!(
                            conn = conn.0,
                            stream = frame.stream,
                            answer,
                            reason,
                            "answered"
                        );
                    }
                    Some(Body::InvalidRequest(said)) => {
                        let (field, reason) = (&said.field, &said.reason);
                        tracing::debug!(
                            conn = conn.0,
                            stream = frame.stream,
                            field,
                            reason,
                            "rejected"
                        );
                    }
                    _ => {}
                }
                let answers = matches!(
                    frame.body,
                    Some(Body::Final(_) | Body::Pong(_) | Body::Goodbye(_))
                );
                let clients = self.inner.clients.borrow();
                if let Some(out) = clients.get(&conn) {
                    out.send(frame);
                }
                if answers {
                    self.inner.place_changed.notify_waiters();
                }
            }
            Output::LeaveClient { conn } => {
                if let Some(out) = self.inner.clients.borrow().get(&conn) {
                    out.go_away();
                }
            }
            Output::CloseClient { conn, reason } => {
                tracing::warn!(conn = conn.0, reason, "client closed");
                if let Some(out) = self.inner.clients.borrow().get(&conn) {
                    out.close();
                }
            }
            Output::Dial {
                connection,
                engine,
                address,
            } => {
                let end = Rc::new(LinkEnd::new());
                self.inner
                    .connections
                    .borrow_mut()
                    .insert(connection, end.clone());
                spawn_local(self.clone().connection(connection, engine, address, end));
            }
            Output::ToEngine { connection, frame } => {
                let connections = self.inner.connections.borrow();
                let end = connections.get(&connection).map(|end| end.out.borrow());
                if let Some(out) = end.as_deref().and_then(Option::as_ref) {
                    out.send(frame);
                }
            }
            Output::CloseConnection { connection, reason } => {
                tracing::debug!(connection = connection.0, reason, "link closed");
                if let Some(end) = self.inner.connections.borrow_mut().remove(&connection) {
                    end.close();
                }
            }
            Output::KeepList(list) => {
                let Some(path) = self.inner.places.borrow().keep.clone() else {
                    return;
                };
                if let Err(problem) = endpoint_cache::save(&path, &list) {
                    tracing::warn!(path = %path.display(), %problem, "list not kept");
                }
            }
            Output::Follow { .. } => self.inner.follow.notify_one(),
            Output::Tell { to, bytes } => self.tell(to, bytes),
            Output::Log {
                level: Level::Debug,
                text,
            } => tracing::debug!("{text}"),
            Output::Log {
                level: Level::Info,
                text,
            } => tracing::info!("{text}"),
            Output::Log {
                level: Level::Warn,
                text,
            } => tracing::warn!("{text}"),
            Output::Stopped => self.inner.stopped.notify_one(),
        }
    }

    async fn keep_time(self) {
        loop {
            let wants = self.inner.ledger.borrow().wants_call_at();
            self.inner.armed.set(wants);
            match wants {
                None => self.inner.timer.notified().await,
                Some(at) => tokio::select! { biased;
                    () = self.inner.timer.notified() => {}
                    () = self.inner.clock.sleep_until(at) => self.input(Input::Tick),
                },
            }
        }
    }

    /// What has been said goes out before the end, as far as the peers take it: clients that read slowly are waited
    /// for as long as a stream may stall.
    async fn flush(&self) {
        let limits = &self.inner.settings.limits;
        let clients: Vec<W::Out> = self.inner.clients.borrow().values().cloned().collect();
        if limits.single.is_some() {
            // Guards against the end of an answer that is cut off with its connection while its client still reads.
            clients.iter().for_each(Outbox::go_away);
            self.wait_until_over(&clients, limits.stall_limit).await;
        }
        clients.iter().for_each(Outbox::close);
        self.wait_until_over(&clients, limits.greet_within).await;
        self.inner
            .connections
            .borrow()
            .values()
            .for_each(|end| end.close());
        yield_now().await;
    }

    /// Waits for the ends of connections, for so long at most.
    async fn wait_until_over(&self, connections: &[W::Out], within: Ms) {
        let until = self.inner.clock.now() + within;
        for connection in connections {
            tokio::select! { biased;
                () = connection.over() => {}
                () = self.inner.clock.sleep_until(until) => {}
            }
        }
    }

    fn setup(&self, expects: &str, most_calls: u32) -> Setup {
        let settings = &self.inner.settings;
        Setup {
            party: v1::Party::Dispatcher,
            name: settings.name.clone(),
            expects: expects.to_owned(),
            run: settings.run,
            most_message: settings.limits.most_frame,
            most_calls,
        }
    }

    async fn accept(self, mut listener: T::Listener) {
        let mut is_short = false;
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    is_short = false;
                    if self.finds_a_place().await {
                        self.inner.greeting.set(self.inner.greeting.get() + 1);
                        spawn_local(self.clone().client(stream));
                    }
                }
                Err(problem) if concerns_one_connection(&problem) => {
                    tracing::debug!(%problem, "connection not taken");
                    yield_now().await;
                }
                // There is none to be had for now: too many files are open, or memory is short. If that lasts, a client's
                // connection that rests makes room; its client may be about to ask, so not for a single failure.
                Err(problem) => {
                    tracing::warn!(%problem, "no connection can be taken");
                    if is_short {
                        self.input(Input::ClientsFull);
                    }
                    is_short = true;
                    let again = self.inner.clock.now() + ACCEPT_AGAIN;
                    self.inner.clock.sleep_until(again).await;
                }
            }
        }
    }

    /// Guards against more connections than memory bears. Where a connection carries one request at a time, one that finds
    /// no place waits, unread, until another has made room or has ended; those behind it wait in the system's queue.
    /// Dropped, it might take a request with it that its client had sent already. Elsewhere it is closed: its client has
    /// not been greeted, so nothing of it has run.
    async fn finds_a_place(&self) -> bool {
        let limits = &self.inner.settings.limits;
        loop {
            let changed = self.inner.place_changed.notified();
            if self.clients() + self.inner.greeting.get() < limits.most_clients {
                return true;
            }
            if limits.single.is_none() {
                return false;
            }
            self.input(Input::ClientsFull);
            changed.await;
        }
    }

    /// One connection that was taken in: greets, then serves a client or hears a peer.
    async fn client(self, stream: T::Stream) {
        let settings = &self.inner.settings;
        let until = self.inner.clock.now() + settings.limits.greet_within;
        let greeted = tokio::select! { biased;
            greeted = self.inner.wire.serve(stream, self.setup("", MOST_CALLS)) => greeted,
            () = self.inner.clock.sleep_until(until) => Err("nothing was asked in time".to_owned()),
        };
        self.inner.greeting.set(self.inner.greeting.get() - 1);
        let Session {
            mut events, out, ..
        } = match greeted {
            Ok(session) => session,
            Err(reason) => {
                self.inner.place_changed.notify_waiters();
                return tracing::debug!(reason, "connection refused");
            }
        };
        let conn = ClientConnectionId(self.inner.last_client_connection.get() + 1);
        self.inner.last_client_connection.set(conn.0);
        self.inner.clients.borrow_mut().insert(conn, out);
        self.input(Input::ClientUp { conn });
        // It can be asked to make room from now on.
        self.inner.place_changed.notify_waiters();
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(Frame {
                    body: Some(Body::Gossip(said)),
                    ..
                }) => {
                    let (from, bytes) = (DispatcherId(said.from), said.bytes.to_vec());
                    self.input(Input::Heard { from, bytes });
                }
                Event::Frame(frame) => self.input(Input::Client { conn, frame }),
                Event::Partly => self.input(Input::ClientPartly { conn }),
                Event::GoingAway => {}
                Event::Flushed { stream, messages } => {
                    self.input(Input::Flushed {
                        conn,
                        stream: StreamId(stream),
                        messages,
                    });
                }
            }
        }
        self.inner.clients.borrow_mut().remove(&conn);
        self.input(Input::ClientClosed { conn });
        self.inner.place_changed.notify_waiters();
    }

    /// One connection to an engine, from the dialling to its end.
    async fn connection(
        self,
        connection: EngineConnectionId,
        engine: EngineId,
        address: String,
        end: Rc<LinkEnd<W::Out>>,
    ) {
        let reason = self.run_link(connection, &engine, &address, &end).await;
        self.inner.connections.borrow_mut().remove(&connection);
        self.input(Input::ConnectionClosed { connection, reason });
    }

    async fn run_link(
        &self,
        connection: EngineConnectionId,
        engine: &EngineId,
        address: &str,
        end: &LinkEnd<W::Out>,
    ) -> String {
        let dialled = async {
            let stream = self
                .inner
                .transport
                .connect(address)
                .await
                .map_err(|e| e.to_string())?;
            // An engine that took another's address refuses: it would run what was not meant for it.
            let session = self
                .inner
                .wire
                .connect(stream, v1::Party::Engine, self.setup(&engine.0, 1))
                .await?;
            // Guards against one that does not refuse.
            if session.them.name != *engine.0 || session.them.party() != v1::Party::Engine {
                session.out.close();
                return Err(format!(
                    "{:?} answers in place of {:?}",
                    session.them.name, engine.0
                ));
            }
            Ok(session)
        };
        // Closed while it is dialled: by the ledger, whose time for it has passed.
        let Session {
            mut events,
            out,
            limit,
            ..
        } = tokio::select! { biased;
            () = end.closed() => return "given up".to_owned(),
            dialled = dialled => match dialled {
                Ok(session) => session,
                Err(reason) => {
                    tracing::warn!(engine = %engine.0, address, reason, "host not reached");
                    return reason;
                }
            },
        };
        *end.out.borrow_mut() = Some(out);
        self.input(Input::ConnectionUp { connection, limit });
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(frame) => self.input(Input::Engine { connection, frame }),
                Event::GoingAway => self.input(Input::ConnectionDraining { connection }),
                Event::Flushed { .. } | Event::Partly => {}
            }
        }
        "the connection ended".to_owned()
    }

    /// Follows the list feed, one address after another, for as long as the dispatcher serves.
    async fn follow_list(self) {
        let mut calls = DiscoveryCalls::new(self.inner.settings.limits.feed, self.inner.seed);
        let mut at = 0;
        let mut said: Option<String> = None;
        loop {
            let feeds = self.inner.places.borrow().feeds.clone();
            if feeds.is_empty() {
                return;
            }
            let address = &feeds[at % feeds.len()];
            let ended = tokio::select! { biased;
                () = self.inner.moved.notified() => {
                    calls.moved();
                    continue;
                }
                ended = self.read_feed(address, &mut calls) => ended,
            };
            let (reason, wait) = match ended {
                FeedEnd::Lost(reason) => (reason, calls.lost()),
                FeedEnd::Unusable(reason) => (reason, calls.unusable()),
            };
            // Said once, not with each call, while it stays so.
            if said.as_ref() != Some(&reason) {
                tracing::warn!(address, reason, "list feed lost");
                said = Some(reason);
            }
            self.input(Input::EndpointsRejected);
            at += 1;
            let again = self.inner.clock.now() + wait;
            tokio::select! { biased;
                () = self.inner.moved.notified() => calls.moved(),
                () = self.inner.clock.sleep_until(again) => {}
            }
        }
    }

    async fn read_feed(&self, address: &str, calls: &mut DiscoveryCalls) -> FeedEnd {
        let known = self.inner.ledger.borrow().known_version();
        let known_version = match calls.calling(known) {
            FirstCall::WholeList => None,
            FirstCall::ChangesSince(version) => Some(version),
        };
        let until = self.inner.clock.now() + self.inner.settings.limits.feed.connect;
        let called = async {
            let stream = self
                .inner
                .transport
                .connect(address)
                .await
                .map_err(|e| e.to_string())?;
            self.inner
                .wire
                .connect(stream, v1::Party::Feed, self.setup("", 1))
                .await
        };
        let called = tokio::select! { biased;
            called = called => called,
            () = self.inner.clock.sleep_until(until) => Err("no greeting in time".to_owned()),
        };
        let Session {
            mut events, out, ..
        } = match called {
            Ok(session) => session,
            Err(reason) => return FeedEnd::Lost(reason),
        };
        let follow = |number, known_version| {
            out.send(frame(
                number,
                Body::WatchEndpoints(v1::WatchEndpoints {
                    changes: true,
                    known_version,
                }),
            ));
        };
        let mut number = 1;
        follow(number, known_version);
        let clock = &self.inner.clock;
        let mut heard = clock.now();
        loop {
            let quiet = calls.quiet();
            let until = heard + quiet;
            let silent = async {
                clock.sleep_until(until).await;
                // Guards against a process that did not run for a while: what came meanwhile is read first.
                for _ in 0..3 {
                    yield_now().await;
                }
            };
            let next = tokio::select! { biased;
                () = self.inner.follow.notified() => {
                    number += 1;
                    follow(number, None);
                    continue;
                }
                next = events.recv() => next,
                // Guards against a feed that is gone without a word.
                () = silent, if quiet.is_finite() => {
                    out.close();
                    return FeedEnd::Lost("it says nothing".to_owned());
                }
            };
            match next {
                Some(Event::Frame(Frame {
                    body: Some(Body::Endpoints(list)),
                    ..
                })) => {
                    heard = clock.now();
                    let newest = self.inner.ledger.borrow().list_version();
                    let whole = list.kind() == v1::EndpointUpdateKind::Snapshot;
                    if !calls.takes(whole, list.version, newest, heard) {
                        out.close();
                        return FeedEnd::Lost(
                            "its list is older than the one that is known".to_owned(),
                        );
                    }
                    calls.answered();
                    let told = |line: &v1::Endpoint| {
                        (
                            line.engine.clone(),
                            line.status().as_str_name(),
                            line.started_ms,
                        )
                    };
                    // Put together only where it is logged.
                    let engines = || list.endpoints.iter().map(told).collect::<Vec<_>>();
                    tracing::debug!(version = list.version, engines = ?engines(), "list");
                    self.input(Input::Listed(list));
                }
                Some(Event::Frame(Frame {
                    body: Some(Body::Goodbye(bye)),
                    ..
                })) => {
                    out.close();
                    let ended = if bye.never_ran {
                        FeedEnd::Lost
                    } else {
                        FeedEnd::Unusable
                    };
                    return ended(bye.reason);
                }
                // A long list has begun to come.
                Some(Event::Partly) => calls.begins(),
                Some(_) => {}
                None => return FeedEnd::Lost("the connection ended".to_owned()),
            }
        }
    }

    /// To other dispatchers, over connections made as they are wanted. What cannot be said now is lost.
    fn tell(&self, to: Option<DispatcherId>, bytes: Vec<u8>) {
        let from = self.inner.settings.policy.me.0;
        let body = Body::Gossip(v1::Gossip {
            from,
            bytes: bytes.into(),
        });
        let peers = self.inner.places.borrow().peers.clone();
        for (&peer, address) in peers
            .iter()
            .filter(|(p, _)| to.map_or(**p != from, |to| to.0 == **p))
        {
            let known = self.inner.peers.borrow().get(&peer).cloned();
            match known {
                Some(out) => {
                    out.send(frame(0, body.clone()));
                }
                None => {
                    spawn_local(self.clone().peer(peer, address.clone(), body.clone()));
                }
            }
        }
    }

    async fn peer(self, peer: u32, address: String, first: Body) {
        let Ok(stream) = self.inner.transport.connect(&address).await else {
            return;
        };
        let session = self
            .inner
            .wire
            .connect(stream, v1::Party::Dispatcher, self.setup("", 1))
            .await;
        let Ok(Session {
            mut events, out, ..
        }) = session
        else {
            return;
        };
        out.send(frame(0, first));
        self.inner.peers.borrow_mut().insert(peer, out);
        while events.recv().await.is_some() {}
        self.inner.peers.borrow_mut().remove(&peer);
    }
}
