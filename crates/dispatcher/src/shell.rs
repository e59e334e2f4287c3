//! Moves bytes between a transport and the [`Ledger`], and tells it the time. Nothing is chosen here.
//!
//! All runs on one thread. Each connection has a task that reads and one that writes; what is to be written
//! waits in an [`Outbox`]. The ledger is called in turn for each message, and its outputs go to the outboxes
//! at once, so what is said to one peer keeps its order.

use crate::ledger::{ConnId, Input, Ledger, Level, LinkId, Output, StreamNo};
use crate::{keep, ProgramSettings};
use bytes::BytesMut;
use cindercleat::interface::{DispatcherId, HostId, Ms};
use cindercleat_net::{write_frame, Clock, Cut, FrameReader, Listener, Transport};
use cindercleat_protocol::{encode, frame, goodbye, greeting, hello, v1, Body, Frame, Malformed};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::io::{AsyncWrite, AsyncWriteExt};
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

/// How long to wait before the list feed is called again: at first, and at most.
const FEED_AGAIN: Ms = 100.0;
const FEED_AGAIN_MOST: Ms = 2000.0;
/// Frames' worth of bytes that may wait for one client; a window a stream is far less.
const WAITING_FRAMES: usize = 4;

/// What waits to be written on one connection.
#[derive(Default)]
struct Outbox {
    bytes: RefCell<BytesMut>,
    /// The streams whose token messages are among the bytes, in order.
    tokens: RefCell<Vec<StreamNo>>,
    more: Notify,
    /// Nothing follows what is here.
    closing: Cell<bool>,
    /// The connection is over.
    over: Notify,
    is_over: Cell<bool>,
}

impl Outbox {
    fn push(&self, frame: &Frame) {
        if matches!(frame.body, Some(Body::Tokens(_))) {
            self.tokens.borrow_mut().push(StreamNo(frame.stream));
        }
        encode(frame, &mut self.bytes.borrow_mut());
        self.more.notify_one();
    }

    fn close(&self, reason: &str) {
        if !self.closing.replace(true) {
            encode(&goodbye(reason), &mut self.bytes.borrow_mut());
        }
        self.more.notify_one();
    }

    fn end(&self) {
        self.is_over.set(true);
        self.over.notify_waiters();
    }

    async fn ended(&self) {
        while !self.is_over.get() {
            self.over.notified().await;
        }
    }
}

struct Inner<T, C> {
    settings: ProgramSettings,
    places: Places,
    transport: T,
    clock: C,
    ledger: RefCell<Ledger>,
    clients: RefCell<BTreeMap<ConnId, Rc<Outbox>>>,
    links: RefCell<BTreeMap<LinkId, Rc<Outbox>>>,
    peers: RefCell<BTreeMap<u32, Rc<Outbox>>>,
    connections: Cell<u64>,
    greeting: Cell<usize>,
    armed: Cell<Option<Ms>>,
    timer: Notify,
    follow: Notify,
    stopped: Notify,
}

/// A dispatcher that serves; clones are the same one.
pub struct Shell<T, C> {
    inner: Rc<Inner<T, C>>,
}

impl<T, C> Clone for Shell<T, C> {
    fn clone(&self) -> Self {
        Shell { inner: self.inner.clone() }
    }
}

impl<T: Transport, C: Clock> Shell<T, C> {
    /// `seed` starts the chance that the decisions draw.
    pub fn new(settings: ProgramSettings, places: Places, transport: T, clock: C, seed: u64) -> Self {
        let inner = Inner {
            ledger: RefCell::new(Ledger::new(settings.clone(), seed)),
            settings,
            places,
            transport,
            clock,
            clients: RefCell::default(),
            links: RefCell::default(),
            peers: RefCell::default(),
            connections: Cell::new(0),
            greeting: Cell::new(0),
            armed: Cell::new(None),
            timer: Notify::new(),
            follow: Notify::new(),
            stopped: Notify::new(),
        };
        Shell { inner: Rc::new(inner) }
    }

    /// Serves until `stop` is there and what was open has ended, or its grace. Runs within a `LocalSet`.
    ///
    /// # Errors
    /// The listener failed for good.
    pub async fn serve(&self, listener: T::Listener, stop: impl Future<Output = ()>) -> io::Result<()> {
        self.remember();
        spawn_local(self.clone().keep_time());
        spawn_local(self.clone().follow_list());
        let accepting = spawn_local(self.clone().accept(listener));
        stop.await;
        self.input(Input::Stop);
        self.inner.stopped.notified().await;
        accepting.abort();
        self.flush().await;
        Ok(())
    }

    /// How much the ledger holds.
    pub fn held(&self) -> crate::ledger::Holding {
        self.inner.ledger.borrow().held()
    }

    /// Clients' connections now.
    pub fn clients(&self) -> usize {
        self.inner.clients.borrow().len()
    }

    fn remember(&self) {
        let Some(path) = &self.inner.places.keep else { return };
        match keep::load(path) {
            Ok(Some(list)) => {
                tracing::info!(hosts = list.hosts.len(), version = list.version, "list remembered");
                self.input(Input::Remembered(list));
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
        self.inner.ledger.borrow_mut().handle(now, input, &mut outputs);
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
                let clients = self.inner.clients.borrow();
                let Some(outbox) = clients.get(&conn) else { return };
                outbox.push(&frame);
                // Guards against a client that asks for much and reads nothing.
                if outbox.bytes.borrow().len() > WAITING_FRAMES * self.inner.settings.most_frame {
                    outbox.end();
                }
            }
            Output::CloseClient { conn, reason } => {
                tracing::warn!(conn = conn.0, reason, "client closed");
                if let Some(outbox) = self.inner.clients.borrow().get(&conn) {
                    outbox.close(&reason);
                }
            }
            Output::Dial { link, host, address } => {
                let outbox = Rc::new(Outbox::default());
                self.inner.links.borrow_mut().insert(link, outbox.clone());
                spawn_local(self.clone().link(link, host, address, outbox));
            }
            Output::ToHost { link, frame } => {
                if let Some(outbox) = self.inner.links.borrow().get(&link) {
                    outbox.push(&frame);
                }
            }
            Output::CloseLink { link, reason } => {
                tracing::debug!(link = link.0, reason, "link closed");
                if let Some(outbox) = self.inner.links.borrow_mut().remove(&link) {
                    outbox.close(&reason);
                }
            }
            Output::KeepList(list) => {
                let Some(path) = &self.inner.places.keep else { return };
                if let Err(problem) = keep::save(path, &list) {
                    tracing::warn!(path = %path.display(), %problem, "list not kept");
                }
            }
            Output::Follow { .. } => self.inner.follow.notify_one(),
            Output::Tell { to, bytes } => self.tell(to, bytes),
            Output::Log { level: Level::Info, text } => tracing::info!("{text}"),
            Output::Log { level: Level::Warn, text } => tracing::warn!("{text}"),
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

    /// What has been said goes out before the end, as far as the peers take it within a moment.
    async fn flush(&self) {
        let until = self.inner.clock.now() + self.inner.settings.greet_within;
        let boxes = |inner: &Inner<T, C>| -> Vec<Rc<Outbox>> {
            inner.clients.borrow().values().chain(inner.links.borrow().values()).cloned().collect()
        };
        for outbox in boxes(&self.inner) {
            outbox.close("stopping");
        }
        for outbox in boxes(&self.inner) {
            tokio::select! { biased;
                () = outbox.ended() => {}
                () = self.inner.clock.sleep_until(until) => {}
            }
        }
    }

    async fn accept(self, mut listener: T::Listener) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let (clients, greeting) = (self.clients(), &self.inner.greeting);
                    // Guards against more connections than memory bears; a client that is turned away here
                    // hears a closed connection, and nothing of it has run.
                    if clients + greeting.get() < self.inner.settings.most_clients {
                        greeting.set(greeting.get() + 1);
                        spawn_local(self.clone().client(stream));
                    }
                }
                // Too many open files, or a connection gone again: others may still be had.
                Err(problem) => {
                    tracing::warn!(%problem, "connection not taken");
                    let again = self.inner.clock.now() + FEED_AGAIN;
                    self.inner.clock.sleep_until(again).await;
                }
            }
        }
    }

    /// One connection that was taken in: greets, then serves a client or hears a peer.
    async fn client(self, stream: T::Stream) {
        let (from, mut to) = tokio::io::split(stream);
        let mut from = FrameReader::new(from, self.inner.settings.most_frame);
        let until = self.inner.clock.now() + self.inner.settings.greet_within;
        let greeted = tokio::select! { biased;
            greeted = greet(&mut from) => greeted,
            () = self.inner.clock.sleep_until(until) => Err("no greeting in time".to_owned()),
        };
        self.inner.greeting.set(self.inner.greeting.get() - 1);
        let settings = &self.inner.settings;
        let greeted = greeted.and_then(|hello| match hello.expects.as_str() {
            "" => Ok(hello),
            name if name == settings.name => Ok(hello),
            name => Err(format!("this is {}, not {name}", settings.name)),
        });
        let them = match greeted {
            Ok(them) => them,
            Err(reason) => {
                tracing::debug!(reason, "connection refused");
                let _ = write_frame(&mut to, &goodbye(reason)).await;
                return;
            }
        };
        let conn = ConnId(self.inner.connections.get() + 1);
        self.inner.connections.set(conn.0);
        let outbox = Rc::new(Outbox::default());
        outbox.push(&hello(v1::Party::Dispatcher, &settings.name, "", settings.run));
        self.inner.clients.borrow_mut().insert(conn, outbox.clone());
        let shell = self.clone();
        let flushed = move |stream, messages| shell.input(Input::Flushed { conn, stream, messages });
        spawn_local(write_out(to, outbox.clone(), flushed, self.inner.clock.clone(), settings.greet_within));
        let peer = them.party() == v1::Party::Dispatcher;
        loop {
            let next = tokio::select! { biased;
                () = outbox.ended() => break,
                next = from.next() => next,
            };
            match next {
                Ok(Frame { body: Some(Body::Peer(said)), .. }) if peer => {
                    let (from, bytes) = (DispatcherId(said.from), said.bytes.to_vec());
                    self.input(Input::Heard { from, bytes });
                }
                Ok(frame) => self.input(Input::Client { conn, frame }),
                Err(Cut::Malformed(problem)) => {
                    tracing::warn!(conn = conn.0, %problem, "client refused");
                    outbox.close(&problem.to_string());
                    outbox.ended().await;
                    break;
                }
                Err(Cut::Closed | Cut::Broken(_)) => break,
            }
        }
        outbox.end();
        outbox.more.notify_one();
        self.inner.clients.borrow_mut().remove(&conn);
        self.input(Input::ClientClosed { conn });
    }

    /// One connection to a model host, from the dialling to its end.
    async fn link(self, link: LinkId, host: HostId, address: String, outbox: Rc<Outbox>) {
        let reason = self.run_link(link, &host, &address, &outbox).await;
        outbox.end();
        outbox.more.notify_one();
        self.inner.links.borrow_mut().remove(&link);
        self.input(Input::LinkClosed { link, reason });
    }

    async fn run_link(&self, link: LinkId, host: &HostId, address: &str, outbox: &Rc<Outbox>) -> String {
        let settings = &self.inner.settings;
        let dialled = async {
            let stream = self.inner.transport.connect(address).await.map_err(|e| e.to_string())?;
            let (from, mut to) = tokio::io::split(stream);
            let mut from = FrameReader::new(from, settings.most_frame);
            let us = hello(v1::Party::Dispatcher, &settings.name, &host.0, settings.run);
            write_frame(&mut to, &us).await.map_err(|e| e.to_string())?;
            let them = greet(&mut from).await?;
            // Guards against a host that took another's address: it would run what was not meant for it.
            if them.name != *host.0 || them.party() != v1::Party::Host {
                return Err(format!("{:?} answers in place of {:?}", them.name, host.0));
            }
            Ok((from, to))
        };
        // Closed while it is dialled: by the ledger, whose time for it has passed.
        let given_up = async {
            while !outbox.closing.get() {
                outbox.more.notified().await;
            }
        };
        let (mut from, to) = tokio::select! { biased;
            () = given_up => return "given up".to_owned(),
            dialled = dialled => match dialled {
                Ok(both) => both,
                Err(reason) => {
                    tracing::warn!(host = %host.0, address, reason, "host not reached");
                    return reason;
                }
            },
        };
        let clock = self.inner.clock.clone();
        spawn_local(write_out(to, outbox.clone(), |_, _| {}, clock, settings.greet_within));
        self.input(Input::LinkUp { link });
        loop {
            let next = tokio::select! { biased;
                () = outbox.ended() => return "closed".to_owned(),
                next = from.next() => next,
            };
            match next {
                Ok(frame) => self.input(Input::Host { link, frame }),
                Err(cut) => {
                    let reason = reason_of(cut);
                    outbox.close(&reason);
                    return reason;
                }
            }
        }
    }

    /// Follows the list feed, one address after another, for as long as the dispatcher serves.
    async fn follow_list(self) {
        let mut wait = FEED_AGAIN;
        let mut at = 0;
        while !self.inner.places.feeds.is_empty() {
            let address = &self.inner.places.feeds[at % self.inner.places.feeds.len()];
            let reason = self.read_feed(address, &mut wait).await;
            tracing::warn!(address, reason, "list feed lost");
            self.input(Input::ListRefused);
            at += 1;
            let again = self.inner.clock.now() + wait;
            wait = (2.0 * wait).min(FEED_AGAIN_MOST);
            self.inner.clock.sleep_until(again).await;
        }
    }

    async fn read_feed(&self, address: &str, wait: &mut Ms) -> String {
        let settings = &self.inner.settings;
        let until = self.inner.clock.now() + settings.greet_within;
        let called = async {
            let stream = self.inner.transport.connect(address).await.map_err(|e| e.to_string())?;
            let (from, mut to) = tokio::io::split(stream);
            let mut from = FrameReader::new(from, settings.most_frame);
            let us = hello(v1::Party::Dispatcher, &settings.name, "", settings.run);
            write_frame(&mut to, &us).await.map_err(|e| e.to_string())?;
            greet(&mut from).await?;
            let follow = frame(1, Body::Follow(v1::Follow { changes: true }));
            write_frame(&mut to, &follow).await.map_err(|e| e.to_string())?;
            Ok::<_, String>((from, to))
        };
        let called = tokio::select! { biased;
            called = called => called,
            () = self.inner.clock.sleep_until(until) => Err("no greeting in time".to_owned()),
        };
        let (mut from, mut to) = match called {
            Ok(both) => both,
            Err(reason) => return reason,
        };
        loop {
            let next = tokio::select! { biased;
                () = self.inner.follow.notified() => None,
                next = from.next() => Some(next),
            };
            match next {
                None => {
                    let follow = frame(1, Body::Follow(v1::Follow { changes: true }));
                    if let Err(problem) = write_frame(&mut to, &follow).await {
                        return problem.to_string();
                    }
                }
                Some(Ok(Frame { body: Some(Body::List(list)), .. })) => {
                    *wait = FEED_AGAIN;
                    tracing::debug!(version = list.version, hosts = list.hosts.len(), "list");
                    self.input(Input::Listed(list));
                }
                Some(Ok(_)) => return "it sent what a list feed does not".to_owned(),
                Some(Err(cut)) => return reason_of(cut),
            }
        }
    }

    /// To other dispatchers, over connections made as they are wanted. What cannot be said now is lost.
    fn tell(&self, to: Option<DispatcherId>, bytes: Vec<u8>) {
        let from = self.inner.settings.policy.me.0;
        let body = Body::Peer(v1::PeerMessage { from, bytes: bytes.into() });
        let peers = self.inner.places.peers.iter();
        for (&peer, address) in peers.filter(|(p, _)| to.map_or(**p != from, |to| to.0 == **p)) {
            let known = self.inner.peers.borrow().get(&peer).cloned();
            let outbox = known.unwrap_or_else(|| {
                let outbox = Rc::new(Outbox::default());
                self.inner.peers.borrow_mut().insert(peer, outbox.clone());
                spawn_local(self.clone().peer(peer, address.clone(), outbox.clone()));
                outbox
            });
            if outbox.bytes.borrow().len() <= self.inner.settings.most_frame {
                outbox.push(&frame(0, body.clone()));
            }
        }
    }

    async fn peer(self, peer: u32, address: String, outbox: Rc<Outbox>) {
        let settings = &self.inner.settings;
        if let Ok(stream) = self.inner.transport.connect(&address).await {
            let (from, mut to) = tokio::io::split(stream);
            let mut from = FrameReader::new(from, settings.most_frame);
            let us = hello(v1::Party::Dispatcher, &settings.name, "", settings.run);
            if write_frame(&mut to, &us).await.is_ok() {
                let clock = self.inner.clock.clone();
                spawn_local(write_out(to, outbox.clone(), |_, _| {}, clock, settings.greet_within));
                while from.next().await.is_ok() {}
            }
        }
        outbox.end();
        outbox.more.notify_one();
        self.inner.peers.borrow_mut().remove(&peer);
    }
}

/// The other side's greeting, or why there is none.
async fn greet<R: tokio::io::AsyncRead + Unpin>(from: &mut FrameReader<R>) -> Result<v1::Hello, String> {
    let first = from.next().await.map_err(reason_of)?;
    greeting(first).map_err(|problem: Malformed| problem.to_string())
}

fn reason_of(cut: Cut) -> String {
    match cut {
        Cut::Closed => "closed by the other side".to_owned(),
        Cut::Broken(problem) => problem.to_string(),
        Cut::Malformed(problem) => problem.to_string(),
    }
}

/// Writes what waits in an outbox, and says which token messages have gone, until the connection is over.
async fn write_out<W: AsyncWrite + Unpin>(
    mut to: W,
    outbox: Rc<Outbox>,
    flushed: impl Fn(StreamNo, u32),
    clock: impl Clock,
    last_words: Ms,
) {
    loop {
        // What is said in one turn of the thread goes out in one write.
        yield_now().await;
        let bytes = outbox.bytes.borrow_mut().split();
        let tokens = std::mem::take(&mut *outbox.tokens.borrow_mut());
        if bytes.is_empty() {
            if outbox.closing.get() || outbox.is_over.get() {
                break;
            }
            outbox.more.notified().await;
            continue;
        }
        let until = clock.now() + last_words;
        let wrote = tokio::select! { biased;
            wrote = to.write_all(&bytes) => wrote,
            () = outbox.ended() => break,
            // A closing connection is not waited for without end.
            () = async { clock.sleep_until(until).await; while !outbox.closing.get() { outbox.more.notified().await } } => break,
        };
        if wrote.is_err() {
            break;
        }
        let mut gone: BTreeMap<StreamNo, u32> = BTreeMap::new();
        for stream in tokens {
            *gone.entry(stream).or_default() += 1;
        }
        for (stream, messages) in gone {
            flushed(stream, messages);
        }
    }
    let _ = to.shutdown().await;
    outbox.end();
}
