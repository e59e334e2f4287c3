//! An in-memory network with delay, jitter, limited bandwidth and injected faults: resets, half-open connections, bytes
//! lost in one direction, partitions between zones, and connects that hang.
//!
//! Runs are deterministic: all randomness comes from a seed and all time from the runtime's clock. On a paused runtime,
//! the same calls therefore deliver the same bytes at the same instants.
//!
//! The bytes of one connection arrive in order. Connections do not delay each other.

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

/// The maximum number of bytes in flight in each direction of a connection. A sender that reaches it waits until the
/// receiver reads.
pub const MAX_BYTES_IN_FLIGHT: usize = 64 * 1024;
/// The prefix that turns a host name into its address.
const ADDRESS_PREFIX: &str = "at-";

/// The latency and bandwidth of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// The minimum latency of each write, in milliseconds.
    pub delay: Ms,
    /// The maximum additional latency, drawn uniformly for each write, in milliseconds.
    pub jitter: Ms,
    /// The bandwidth of each direction of a connection, in bytes per millisecond.
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

/// The zone of a listener, and its queue of connections to accept.
type ListenerEntry = (Rc<str>, UnboundedSender<SimulatedStream>);

/// The state that all hosts of a network share.
struct NetworkState {
    start: Instant,
    rng: RefCell<WyRand>,
    conditions: Cell<NetworkConditions>,
    listeners: RefCell<BTreeMap<String, ListenerEntry>>,
    connections: RefCell<Vec<Weak<Connection>>>,
    /// Pairs of zones (from, to) between which a partition holds bytes back.
    blocked: RefCell<BTreeSet<(Rc<str>, Rc<str>)>>,
    /// Addresses to which connects hang.
    hanging: RefCell<BTreeSet<String>>,
    /// The peak number of bytes in flight in one direction of one connection.
    max_in_flight: Cell<usize>,
}

/// A simulated network; clones share the network.
#[derive(Clone)]
pub struct SimulatedNetwork {
    state: Rc<NetworkState>,
}

/// One host of the network; its connections carry its name and zone.
#[derive(Clone)]
pub struct SimulatedHost {
    network: SimulatedNetwork,
    name: Rc<str>,
    zone: Rc<str>,
}

/// The bytes of one write, with the time at which they arrive at the receiver.
struct Segment {
    arrives_at: Ms,
    bytes: Vec<u8>,
    /// The number of bytes of this segment that the receiver has read.
    consumed: usize,
}

/// One direction of a connection.
struct Pipe {
    segments: VecDeque<Segment>,
    /// The number of bytes written and not read yet.
    bytes: usize,
    /// The time at which the bandwidth limit allows the next byte to be sent.
    free_at: Ms,
    /// The time at which the last byte arrives.
    last_arrival: Ms,
    /// The sender has closed this direction.
    ended: bool,
    /// The receiving side was dropped.
    receiver_gone: bool,
    /// Bytes written from now on are lost, and neither side sees an error.
    loses_bytes: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// A connection between two hosts.
struct Connection {
    network: Weak<NetworkState>,
    /// The name and zone of each host: first the one that connected, then the one that accepted.
    ends: [(Rc<str>, Rc<str>); 2],
    /// The two directions, each at the index of its sender in `ends`.
    pipes: [RefCell<Pipe>; 2],
    /// The connection was reset; reads and writes on both sides fail.
    was_reset: Cell<bool>,
}

/// One side of a connection.
pub struct SimulatedStream {
    connection: Rc<Connection>,
    /// The index of this side in `Connection::ends`.
    side: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl SimulatedNetwork {
    /// Creates a network without hosts; `seed` determines the jitter of all writes.
    pub fn new(seed: u64) -> Self {
        let state = NetworkState {
            start: Instant::now(),
            rng: RefCell::new(WyRand::new_seed(seed)),
            conditions: Cell::default(),
            listeners: RefCell::default(),
            connections: RefCell::default(),
            blocked: RefCell::default(),
            hanging: RefCell::default(),
            max_in_flight: Cell::new(0),
        };
        SimulatedNetwork {
            state: Rc::new(state),
        }
    }

    /// Returns the host `name` in `zone`; [`address_of`] gives its address.
    pub fn host(&self, name: &str, zone: &str) -> SimulatedHost {
        SimulatedHost {
            network: self.clone(),
            name: Rc::from(name),
            zone: Rc::from(zone),
        }
    }

    /// Sets the conditions of later writes; bytes in flight keep their arrival times.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.state.conditions.set(conditions);
    }

    /// Starts (`blocked`) or ends a partition that holds back all bytes from one zone to another, including bytes in
    /// flight. The held bytes arrive after the partition ends. During the partition, connects between the two zones
    /// hang.
    pub fn set_blocked(&self, from_zone: &str, to_zone: &str, blocked: bool) {
        let pair = (Rc::from(from_zone), Rc::from(to_zone));
        if blocked {
            self.state.blocked.borrow_mut().insert(pair);
        } else {
            self.state.blocked.borrow_mut().remove(&pair);
            self.each_connection(|_| true, Connection::wake);
        }
    }

    /// Sets whether connects to an address hang without a result.
    pub fn set_hanging(&self, address: &str, hangs: bool) {
        if hangs {
            self.state.hanging.borrow_mut().insert(address.to_owned());
        } else {
            self.state.hanging.borrow_mut().remove(address);
        }
    }

    /// Resets all connections of a host; both sides see the reset at once.
    pub fn reset_connections(&self, name: &str) {
        self.each_connection(
            |connection| connection.has_end(name),
            |connection| {
                connection.was_reset.set(true);
                connection.wake();
            },
        );
    }

    /// Loses all later bytes that a host sends (`outgoing`) or that are sent to it (`incoming`) on its existing
    /// connections. Neither side sees an error. New connections are not affected.
    pub fn drop_bytes(&self, name: &str, outgoing: bool, incoming: bool) {
        self.each_connection(
            |connection| connection.has_end(name),
            |connection| {
                for side in 0..2 {
                    let is_sender = &*connection.ends[side].0 == name;
                    connection.pipes[side].borrow_mut().loses_bytes |=
                        (is_sender && outgoing) || (!is_sender && incoming);
                }
            },
        );
    }

    /// The peak number of bytes in flight in one direction of one connection, over the life of the network.
    pub fn max_bytes_in_flight(&self) -> usize {
        self.state.max_in_flight.get()
    }

    /// Runs `action` on each connection that `selects` accepts and of which at least one side is still open.
    fn each_connection(&self, selects: impl Fn(&Connection) -> bool, action: impl Fn(&Connection)) {
        let mut connections = self.state.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let all: Vec<Rc<Connection>> = connections.iter().filter_map(Weak::upgrade).collect();
        drop(connections);
        all.iter()
            .filter(|connection| selects(connection))
            .for_each(|connection| action(connection));
    }
}

impl NetworkState {
    fn now(&self) -> Ms {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Draws the latency of one write under the current conditions, in milliseconds.
    fn latency(&self) -> Ms {
        let conditions = self.conditions.get();
        let jitter_share: f64 = self.rng.borrow_mut().generate();
        conditions.delay + conditions.jitter * jitter_share
    }
}

async fn wait(ms: Ms) {
    sleep(Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()).await;
}

impl Transport for SimulatedHost {
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;

    async fn connect(&self, address: &str) -> io::Result<SimulatedStream> {
        let state = &self.network.state;
        // A connect takes one round trip.
        wait(state.latency() + state.latency()).await;
        let zone = state
            .listeners
            .borrow()
            .get(address)
            .map(|(zone, _)| zone.clone());
        let blocked = |from: &Rc<str>, to: &Rc<str>| {
            state.blocked.borrow().contains(&(from.clone(), to.clone()))
        };
        let is_partitioned = zone
            .as_ref()
            .is_some_and(|zone| blocked(&self.zone, zone) || blocked(zone, &self.zone));
        if is_partitioned || state.hanging.borrow().contains(address) {
            // The connect never returns an error, so the caller needs a timeout of its own.
            pending::<()>().await;
        }
        let listeners = state.listeners.borrow();
        let Some((zone, listener)) = listeners.get(address) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let pipe = || {
            RefCell::new(Pipe {
                segments: VecDeque::new(),
                bytes: 0,
                free_at: 0.0,
                last_arrival: 0.0,
                ended: false,
                receiver_gone: false,
                loses_bytes: false,
                reader: None,
                writer: None,
            })
        };
        let connection = Rc::new(Connection {
            network: Rc::downgrade(state),
            ends: [
                (self.name.clone(), self.zone.clone()),
                (Rc::from(name_of(address)), zone.clone()),
            ],
            pipes: [pipe(), pipe()],
            was_reset: Cell::new(false),
        });
        state
            .connections
            .borrow_mut()
            .push(Rc::downgrade(&connection));
        let accepted_side = SimulatedStream {
            connection: connection.clone(),
            side: 1,
            timer: None,
        };
        listener
            .send(accepted_side)
            .map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(SimulatedStream {
            connection,
            side: 0,
            timer: None,
        })
    }

    async fn listen(&self, address: &str) -> io::Result<SimulatedListener> {
        let (sender, incoming) = unbounded_channel();
        let mut listeners = self.network.state.listeners.borrow_mut();
        if listeners
            .get(address)
            .is_some_and(|(_, old)| !old.is_closed())
        {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        listeners.insert(address.to_owned(), (self.zone.clone(), sender));
        Ok(SimulatedListener {
            address: address.to_owned(),
            network: self.network.clone(),
            incoming,
        })
    }
}

/// The address of the host `name`, for `listen` and `connect`.
pub fn address_of(name: &str) -> String {
    format!("{ADDRESS_PREFIX}{name}")
}

fn name_of(address: &str) -> &str {
    address.strip_prefix(ADDRESS_PREFIX).unwrap_or(address)
}

/// A listener of a [`SimulatedHost`]; listens until it is dropped.
pub struct SimulatedListener {
    address: String,
    network: SimulatedNetwork,
    incoming: UnboundedReceiver<SimulatedStream>,
}

impl Listener for SimulatedListener {
    type Stream = SimulatedStream;

    async fn accept(&mut self) -> io::Result<SimulatedStream> {
        self.incoming
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
        // A newer listener may already use the address, so only an entry that is closed is removed.
        self.incoming.close();
        let mut listeners = self.network.state.listeners.borrow_mut();
        if listeners
            .get(&self.address)
            .is_some_and(|(_, sender)| sender.is_closed())
        {
            listeners.remove(&self.address);
        }
    }
}

impl Connection {
    fn has_end(&self, name: &str) -> bool {
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

    /// Whether a partition holds back the bytes that `side` sends.
    fn is_blocked(&self, network: &NetworkState, side: usize) -> bool {
        let blocked = network.blocked.borrow();
        !blocked.is_empty()
            && blocked.contains(&(self.ends[side].1.clone(), self.ends[1 - side].1.clone()))
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(network) = this.connection.network.upgrade() else {
            return Poll::Ready(Ok(()));
        };
        if this.connection.was_reset.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let sender = 1 - this.side;
        let now = network.now();
        let mut pipe = this.connection.pipes[sender].borrow_mut();
        let mut read = 0;
        if !this.connection.is_blocked(&network, sender) {
            while buffer.remaining() > 0 {
                let Some(segment) = pipe.segments.front_mut() else {
                    break;
                };
                if segment.arrives_at > now {
                    break;
                }
                let start = segment.consumed;
                let part = buffer.remaining().min(segment.bytes.len() - start);
                buffer.put_slice(&segment.bytes[start..start + part]);
                segment.consumed += part;
                read += part;
                if segment.consumed == segment.bytes.len() {
                    pipe.segments.pop_front();
                }
            }
        }
        if read > 0 {
            pipe.bytes -= read;
            pipe.writer.take().into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(()));
        }
        let at_end = pipe.ended && pipe.segments.is_empty() && pipe.last_arrival <= now;
        if at_end && !pipe.loses_bytes && !this.connection.is_blocked(&network, sender) {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        let next_arrival = pipe
            .segments
            .front()
            .map(|segment| segment.arrives_at)
            .or(pipe.ended.then_some(pipe.last_arrival));
        drop(pipe);
        // Only bytes in transit need a timer. Lost bytes never arrive, and `block` wakes the readers of bytes that a
        // partition held back.
        if let Some(at) = next_arrival.filter(|at| at.is_finite() && *at > now) {
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
        if this.connection.was_reset.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let mut pipe = this.connection.pipes[this.side].borrow_mut();
        if pipe.receiver_gone && !pipe.loses_bytes {
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
        let arrives_at = if pipe.loses_bytes {
            f64::INFINITY
        } else {
            pipe.free_at + network.latency()
        };
        // Bytes keep their order: no write arrives before an earlier one.
        pipe.last_arrival = pipe.last_arrival.max(arrives_at);
        let segment = Segment {
            arrives_at: pipe.last_arrival,
            bytes: bytes[..part].to_vec(),
            consumed: 0,
        };
        pipe.segments.push_back(segment);
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
    /// Closes the sending direction of this side; the peer reads an end of stream after the last byte.
    fn end(&self) {
        let latency = self
            .connection
            .network
            .upgrade()
            .map(|network| (network.now(), network.latency()));
        let mut pipe = self.connection.pipes[self.side].borrow_mut();
        if let (false, Some((now, latency))) = (pipe.ended, latency) {
            pipe.ended = true;
            pipe.last_arrival = pipe.last_arrival.max(now + latency);
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
