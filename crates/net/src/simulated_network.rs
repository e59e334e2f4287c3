//! A network in memory with faults: delay, jitter, bandwidth, cuts in either direction, connections that are half
//! open, zones that do not reach each other, connects that hang. All chance comes from a seed and all time from
//! the runtime's clock, so on a paused runtime the same calls give the same bytes at the same instants.
//!
//! Bytes of one connection keep their order; those of different connections do not wait for each other.

use crate::{Listener, Ms, Transport};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{pending, Future};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, Instant, Sleep};

/// The most bytes in flight in each direction of a connection; a sender waits for some to be read.
pub const MAX_BYTES_IN_FLIGHT: usize = 64 * 1024;
/// What stands before a name in its address.
const ADDRESS_PREFIX: &str = "at-";

/// How bytes travel from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// The time that each byte takes, in milliseconds.
    pub delay: Ms,
    /// Up to this much more, drawn for each write, in milliseconds.
    pub jitter: Ms,
    /// Bytes per millisecond in each direction of a connection.
    pub bandwidth: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions {
            delay: 0.25,
            jitter: 0.5,
            bandwidth: 100_000.0,
        }
    }
}

/// The zone of a listener, and where its connections go.
type Listening = (Rc<str>, UnboundedSender<SimulatedStream>);

struct Inner {
    zero: Instant,
    rng: RefCell<WyRand>,
    conditions: Cell<NetworkConditions>,
    listeners: RefCell<BTreeMap<String, Listening>>,
    connections: RefCell<Vec<Weak<Connection>>>,
    /// Zones, from and to, between which nothing passes.
    blocked: RefCell<BTreeSet<(Rc<str>, Rc<str>)>>,
    /// Connects to these addresses hang.
    hanging: RefCell<BTreeSet<String>>,
    /// The most bytes that were in flight in one direction of one connection.
    max_in_flight: Cell<usize>,
}

/// A simulated network; clones share it.
#[derive(Clone)]
pub struct SimulatedNetwork {
    inner: Rc<Inner>,
}

/// One host of the network: connects and listens as itself, from its zone.
#[derive(Clone)]
pub struct SimulatedHost {
    network: SimulatedNetwork,
    name: Rc<str>,
    zone: Rc<str>,
}

/// One direction of a connection.
struct Pipe {
    segments: VecDeque<(Ms, Vec<u8>, usize)>,
    bytes: usize,
    /// When the next byte can be sent, and when the last one arrives.
    free_at: Ms,
    last: Ms,
    /// No byte follows the last.
    ended: bool,
    /// The receiving side has gone.
    receiver_gone: bool,
    /// What is written is lost; neither side sees an error.
    silent: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Connection {
    network: Weak<Inner>,
    /// Who connected, and to whom; names and zones.
    ends: [(Rc<str>, Rc<str>); 2],
    pipes: [RefCell<Pipe>; 2],
    broken: Cell<bool>,
}

/// One side of a connection.
pub struct SimulatedStream {
    connection: Rc<Connection>,
    /// 0 connected, 1 was connected to.
    side: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl SimulatedNetwork {
    /// An empty network; `seed` starts the draws of its jitter.
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            zero: Instant::now(),
            rng: RefCell::new(WyRand::new_seed(seed)),
            conditions: Cell::default(),
            listeners: RefCell::default(),
            connections: RefCell::default(),
            blocked: RefCell::default(),
            hanging: RefCell::default(),
            max_in_flight: Cell::new(0),
        };
        SimulatedNetwork {
            inner: Rc::new(inner),
        }
    }

    /// The host of this name in this zone; its address is [`address_of`] the name.
    pub fn host(&self, name: &str, zone: &str) -> SimulatedHost {
        SimulatedHost {
            network: self.clone(),
            name: Rc::from(name),
            zone: Rc::from(zone),
        }
    }

    /// Bytes written from now on travel under these conditions.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.inner.conditions.set(conditions);
    }

    /// Sets whether a partition blocks bytes from one zone to another; what is in flight waits meanwhile.
    pub fn block(&self, from: &str, to: &str, blocked: bool) {
        let pair = (Rc::from(from), Rc::from(to));
        if blocked {
            self.inner.blocked.borrow_mut().insert(pair);
        } else {
            self.inner.blocked.borrow_mut().remove(&pair);
            self.each_connection(|_| true, Connection::wake);
        }
    }

    /// Sets whether connects to an address hang: they get no answer.
    pub fn hang(&self, address: &str, hangs: bool) {
        if hangs {
            self.inner.hanging.borrow_mut().insert(address.to_owned());
        } else {
            self.inner.hanging.borrow_mut().remove(address);
        }
    }

    /// Resets all connections of a host: both sides see it at once.
    pub fn cut(&self, name: &str) {
        self.each_connection(
            |connection| connection.of(name),
            |connection| {
                connection.broken.set(true);
                connection.wake();
            },
        );
    }

    /// From now on what a host writes on its existing connections is lost (`from`), and what is written to it (`to`);
    /// neither side sees an error.
    pub fn silence(&self, name: &str, from: bool, to: bool) {
        self.each_connection(
            |connection| connection.of(name),
            |connection| {
                for side in 0..2 {
                    let says = &*connection.ends[side].0 == name;
                    connection.pipes[side].borrow_mut().silent |= (says && from) || (!says && to);
                }
            },
        );
    }

    /// The most bytes that were in flight in one direction of one connection.
    pub fn max_bytes_in_flight(&self) -> usize {
        self.inner.max_in_flight.get()
    }

    fn each_connection(&self, which: impl Fn(&Connection) -> bool, what: impl Fn(&Connection)) {
        let mut connections = self.inner.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let all: Vec<Rc<Connection>> = connections.iter().filter_map(Weak::upgrade).collect();
        drop(connections);
        all.iter()
            .filter(|connection| which(connection))
            .for_each(|connection| what(connection));
    }
}

impl Inner {
    fn now(&self) -> Ms {
        self.zero.elapsed().as_secs_f64() * 1000.0
    }

    /// The latency of one write under the current conditions, in milliseconds.
    fn latency(&self) -> Ms {
        let conditions = self.conditions.get();
        let chance: f64 = self.rng.borrow_mut().generate();
        conditions.delay + conditions.jitter * chance
    }
}

async fn wait(ms: Ms) {
    sleep(Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()).await;
}

impl Transport for SimulatedHost {
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;

    async fn connect(&self, address: &str) -> io::Result<SimulatedStream> {
        let inner = &self.network.inner;
        // There and back.
        wait(inner.latency() + inner.latency()).await;
        let zone = inner
            .listeners
            .borrow()
            .get(address)
            .map(|(zone, _)| zone.clone());
        let blocked = |from: &Rc<str>, to: &Rc<str>| {
            inner.blocked.borrow().contains(&(from.clone(), to.clone()))
        };
        let cut_off = zone
            .as_ref()
            .is_some_and(|zone| blocked(&self.zone, zone) || blocked(zone, &self.zone));
        if cut_off || inner.hanging.borrow().contains(address) {
            // No error comes: the caller has to give up by itself.
            pending::<()>().await;
        }
        let listeners = inner.listeners.borrow();
        let Some((zone, listener)) = listeners.get(address) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let pipe = || {
            RefCell::new(Pipe {
                segments: VecDeque::new(),
                bytes: 0,
                free_at: 0.0,
                last: 0.0,
                ended: false,
                receiver_gone: false,
                silent: false,
                reader: None,
                writer: None,
            })
        };
        let connection = Rc::new(Connection {
            network: Rc::downgrade(inner),
            ends: [
                (self.name.clone(), self.zone.clone()),
                (Rc::from(name_of(address)), zone.clone()),
            ],
            pipes: [pipe(), pipe()],
            broken: Cell::new(false),
        });
        inner
            .connections
            .borrow_mut()
            .push(Rc::downgrade(&connection));
        let far = SimulatedStream {
            connection: connection.clone(),
            side: 1,
            timer: None,
        };
        listener
            .send(far)
            .map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(SimulatedStream {
            connection,
            side: 0,
            timer: None,
        })
    }

    async fn listen(&self, address: &str) -> io::Result<SimulatedListener> {
        let (to, coming) = unbounded_channel();
        let mut listeners = self.network.inner.listeners.borrow_mut();
        if listeners
            .get(address)
            .is_some_and(|(_, old)| !old.is_closed())
        {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        listeners.insert(address.to_owned(), (self.zone.clone(), to));
        Ok(SimulatedListener {
            address: address.to_owned(),
            network: self.network.clone(),
            coming,
        })
    }
}

/// The address that a host of this name listens on.
pub fn address_of(name: &str) -> String {
    format!("{ADDRESS_PREFIX}{name}")
}

fn name_of(address: &str) -> &str {
    address.strip_prefix(ADDRESS_PREFIX).unwrap_or(address)
}

/// A listener of a simulated host; it listens until it is dropped.
pub struct SimulatedListener {
    address: String,
    network: SimulatedNetwork,
    coming: UnboundedReceiver<SimulatedStream>,
}

impl Listener for SimulatedListener {
    type Stream = SimulatedStream;

    async fn accept(&mut self) -> io::Result<SimulatedStream> {
        self.coming
            .recv()
            .await
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        // Another process may listen there by now.
        self.coming.close();
        let mut listeners = self.network.inner.listeners.borrow_mut();
        if listeners
            .get(&self.address)
            .is_some_and(|(_, to)| to.is_closed())
        {
            listeners.remove(&self.address);
        }
    }
}

impl Connection {
    fn of(&self, name: &str) -> bool {
        self.ends.iter().any(|(end, _)| &**end == name)
    }

    fn wake(&self) {
        for pipe in &self.pipes {
            let mut pipe = pipe.borrow_mut();
            pipe.reader
                .take()
                .into_iter()
                .chain(pipe.writer.take())
                .for_each(Waker::wake);
        }
    }

    /// Whether nothing passes from a side now.
    fn is_blocked(&self, network: &Inner, side: usize) -> bool {
        let blocked = network.blocked.borrow();
        !blocked.is_empty()
            && blocked.contains(&(self.ends[side].1.clone(), self.ends[1 - side].1.clone()))
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(network) = this.connection.network.upgrade() else {
            return Poll::Ready(Ok(()));
        };
        if this.connection.broken.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let from = 1 - this.side;
        let now = network.now();
        let mut pipe = this.connection.pipes[from].borrow_mut();
        let mut read = 0;
        if !this.connection.is_blocked(&network, from) {
            while into.remaining() > 0 {
                let Some((at, bytes, done)) = pipe.segments.front_mut() else {
                    break;
                };
                if *at > now {
                    break;
                }
                let part = into.remaining().min(bytes.len() - *done);
                into.put_slice(&bytes[*done..*done + part]);
                *done += part;
                read += part;
                if *done == bytes.len() {
                    pipe.segments.pop_front();
                }
            }
        }
        if read > 0 {
            pipe.bytes -= read;
            pipe.writer.take().into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(()));
        }
        let all_came = pipe.ended && pipe.segments.is_empty() && pipe.last <= now;
        if all_came && !pipe.silent && !this.connection.is_blocked(&network, from) {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        let next = pipe
            .segments
            .front()
            .map(|(at, ..)| *at)
            .or(pipe.ended.then_some(pipe.last));
        drop(pipe);
        // Bytes that are blocked or lost wake nobody by themselves.
        if let Some(at) = next.filter(|at| at.is_finite() && *at > now) {
            let wait = Duration::try_from_secs_f64((at - now) / 1000.0).unwrap_or_default();
            let mut timer = Box::pin(sleep(wait));
            if timer.as_mut().poll(cx).is_ready() {
                cx.waker().wake_by_ref();
            }
            this.timer = Some(timer);
        }
        Poll::Pending
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Some(network) = this.connection.network.upgrade() else {
            return Poll::Ready(Ok(bytes.len()));
        };
        if this.connection.broken.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let mut pipe = this.connection.pipes[this.side].borrow_mut();
        if pipe.receiver_gone && !pipe.silent {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if pipe.bytes >= MAX_BYTES_IN_FLIGHT {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let part = bytes.len().min(MAX_BYTES_IN_FLIGHT - pipe.bytes);
        let now = network.now();
        pipe.free_at =
            pipe.free_at.max(now) + part as f64 / network.conditions.get().bandwidth.max(1e-3);
        let arrives = if pipe.silent {
            f64::INFINITY
        } else {
            pipe.free_at + network.latency()
        };
        pipe.last = pipe.last.max(arrives);
        let at = pipe.last;
        pipe.segments.push_back((at, bytes[..part].to_vec(), 0));
        pipe.bytes += part;
        network
            .max_in_flight
            .set(network.max_in_flight.get().max(pipe.bytes));
        pipe.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(part))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end();
        Poll::Ready(Ok(()))
    }
}

impl SimulatedStream {
    /// Ends this direction: no byte follows.
    fn end(&self) {
        let latency = self
            .connection
            .network
            .upgrade()
            .map(|network| (network.now(), network.latency()));
        let mut pipe = self.connection.pipes[self.side].borrow_mut();
        if let (false, Some((now, latency))) = (pipe.ended, latency) {
            pipe.ended = true;
            pipe.last = pipe.last.max(now + latency);
            pipe.reader.take().into_iter().for_each(Waker::wake);
        }
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        self.end();
        let mut pipe = self.connection.pipes[1 - self.side].borrow_mut();
        pipe.receiver_gone = true;
        pipe.writer.take().into_iter().for_each(Waker::wake);
    }
}
