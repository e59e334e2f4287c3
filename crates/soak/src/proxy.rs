//! A TCP proxy in front of one engine. It forwards bytes, and can refuse, silence or reset connections.
//!
//! A silent proxy simulates a machine that has vanished: connections stay open, and no byte gets through in either
//! direction. When the silence ends, held-back bytes are delivered, unless their sender has reset the connection
//! meanwhile.

use crate::connection_trace::{ConnectionTrace, ConnectionTraces};
use crate::service::Clock;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are forwarded in both directions.
    Forward,
    /// New connections are reset at once; existing ones are forwarded.
    Refuse,
    /// Nothing is forwarded in either direction, on existing and on new connections.
    Silent,
    /// Nothing is forwarded to the engine; bytes to the process still are.
    SilentToEngine,
    /// Nothing is forwarded to the process; bytes to the engine still are.
    SilentToProcess,
    /// The first half of the next bytes from a process is forwarded; then the mode changes to `Silent`.
    SilentMidMessage,
}

impl Mode {
    /// Whether nothing is forwarded in this direction in this mode.
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Mode::Silent => true,
            Mode::SilentToEngine => direction == Direction::ToEngine,
            Mode::SilentToProcess => direction == Direction::ToProcess,
            Mode::Forward | Mode::Refuse | Mode::SilentMidMessage => false,
        }
    }
}

/// The distance between the percentiles of consecutive connections. It is coprime to 100, so that the connections
/// spread evenly over all percentiles.
const PERCENTILE_STEP: u32 = 37;
/// The most bytes that one read takes.
const READ_BYTES: usize = 16 << 10;
/// How long the connection to the other side stays open after one side has closed its own.
const CLOSE_DELAY: Duration = Duration::from_millis(2);
/// The most bytes that are held back in each direction of a silent connection.
const MAX_HELD_BYTES: usize = 1 << 20;

struct Shared {
    /// The address of the engine.
    target: SocketAddr,
    clock: Clock,
    traces: ConnectionTraces,
    mode: Cell<Mode>,
    /// The percentage of connections that are silent whatever the mode is.
    silent_percent: Cell<u32>,
    /// Notified when the mode, the percentage or the number of resets changes.
    changed: Notify,
    /// The number of connections so far.
    connections: Cell<u32>,
    /// How often all connections were reset; an open connection ends when the number changes.
    resets: Cell<u64>,
}

/// A proxy. Clones share one state.
#[derive(Clone)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Proxy {
    /// Listens on a free port of the loopback interface and forwards connections to `target`. Adds the trace of each
    /// connection to `traces`.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(
        target: SocketAddr,
        clock: Clock,
        traces: ConnectionTraces,
    ) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Rc::new(Shared {
            target,
            clock,
            traces,
            mode: Cell::new(Mode::Forward),
            silent_percent: Cell::new(0),
            connections: Cell::new(0),
            changed: Notify::new(),
            resets: Cell::new(0),
        });
        let proxy = Proxy {
            address: listener.local_addr()?,
            shared: shared.clone(),
        };
        spawn_local(accept(listener, shared));
        Ok(proxy)
    }

    /// Sets how connections are treated from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Silences this percentage of the connections, each on its own, whatever the mode is; 0 ends that.
    pub fn silence_some(&self, percent: u32) {
        self.shared.silent_percent.set(percent);
        self.shared.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.shared.resets.set(self.shared.resets.get() + 1);
        self.shared.changed.notify_waiters();
    }
}

impl Shared {
    fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.notify_waiters();
    }

    /// Returns the percentile of the connection that starts now, in `0..100`. The percentile is not random. The connection
    /// is silent while its percentile is less than `silent_percent`.
    fn next_percentile(&self) -> u32 {
        self.connections.set(self.connections.get().wrapping_add(1));
        self.connections.get().wrapping_mul(PERCENTILE_STEP) % 100
    }

    /// Waits until the number of resets differs from `resets`.
    async fn until_reset(&self, resets: u64) {
        loop {
            let changed = self.changed.notified();
            if self.resets.get() != resets {
                return;
            }
            changed.await;
        }
    }
}

/// Accepts connections until the listener fails.
async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while let Ok((from, _)) = listener.accept().await {
        if shared.mode.get() == Mode::Refuse {
            reset(from);
            continue;
        }
        spawn_local(forward(from, shared.clone()));
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    // An error means that the connection has ended already.
    let _ = stream.set_zero_linger();
}

/// How the forwarding of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// One side closed the connection.
    Closed,
    /// The connection broke, or the proxy reset it: the other side gets a reset.
    Reset,
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToEngine,
    ToProcess,
}

/// Forwards one connection until it ends.
async fn forward(from: TcpStream, shared: Rc<Shared>) {
    let resets = shared.resets.get();
    let trace = Rc::new(ConnectionTrace::default());
    let percentile = shared.next_percentile();
    let mut to_engine = HeldBytes::with_percentile(percentile);
    let mut to_process = HeldBytes::with_percentile(percentile);
    let (mut from_read, mut from_write) = from.into_split();
    // The proxy connects at once, even while it is silent. If it connected at the end of a silence, all held-back
    // connections would do so at the same time: more than the listener's queue takes, and some would stay silent.
    let to = tokio::select! { biased;
        to = TcpStream::connect(shared.target) => to,
        () = hold(&mut from_read, &mut to_engine, Direction::ToEngine, &shared, &trace) => return,
    };
    let peer_address = to.as_ref().ok().and_then(|to| to.local_addr().ok());
    let (Ok(to), Some(peer_address), true) = (to, peer_address, shared.resets.get() == resets)
    else {
        if let Ok(from) = from_read.reunite(from_write) {
            reset(from);
        }
        return;
    };
    shared.traces.add(peer_address, trace.clone());
    // Without TCP_NODELAY small writes are delayed; the proxy works without it, so errors are ignored.
    let _ = (from_write.as_ref().set_nodelay(true), to.set_nodelay(true));
    let (mut to_read, mut to_write) = to.into_split();
    let end = tokio::select! { biased;
        () = shared.until_reset(resets) => ConnectionEnd::Reset,
        end = forward_one_way(&mut from_read, &mut to_write, &mut to_engine, Direction::ToEngine, &shared, &trace) => end,
        end = forward_one_way(&mut to_read, &mut from_write, &mut to_process, Direction::ToProcess, &shared, &trace) => end,
    };
    let (from, to) = (from_read.reunite(from_write), to_read.reunite(to_write));
    if let (ConnectionEnd::Reset, Ok(from), Ok(to)) = (end, from, to) {
        reset(from);
        reset(to);
    }
}

/// The bytes of one direction of a connection that have been received and not forwarded.
#[derive(Default)]
struct HeldBytes {
    /// The connection's percentile, in `0..100`.
    percentile: u32,
    bytes: Vec<u8>,
    /// How the sender ended the direction, if it has.
    end: Option<ConnectionEnd>,
}

impl HeldBytes {
    fn with_percentile(percentile: u32) -> HeldBytes {
        HeldBytes {
            percentile,
            ..HeldBytes::default()
        }
    }

    /// Whether nothing is forwarded in this direction at present.
    fn is_blocked(&self, direction: Direction, shared: &Shared) -> bool {
        shared.mode.get().blocks(direction) || self.percentile < shared.silent_percent.get()
    }

    /// Receives the next bytes from the sender, or learns that the sender has closed or reset the connection.
    async fn receive(
        &mut self,
        from: &mut OwnedReadHalf,
        direction: Direction,
        shared: &Shared,
        trace: &ConnectionTrace,
    ) {
        let mut bytes = vec![0; READ_BYTES];
        let read = from.read(&mut bytes).await;
        let now = shared.clock.now();
        match read {
            Ok(0) => self.end = Some(ConnectionEnd::Closed),
            Ok(read) => self.bytes.extend_from_slice(&bytes[..read]),
            // A reset discards the bytes that have not been forwarded.
            Err(_) => (self.bytes, self.end) = (Vec::new(), Some(ConnectionEnd::Reset)),
        }
        if direction == Direction::ToEngine {
            match self.end {
                Some(_) => trace.process_closed(now),
                None => trace.request_received(now),
            }
        }
    }

    /// Whether the sender has not ended and fewer than [`MAX_HELD_BYTES`] are held back.
    fn has_room(&self) -> bool {
        self.end.is_none() && self.bytes.len() < MAX_HELD_BYTES
    }
}

/// Receives bytes without forwarding them; never returns, so the caller has to drop the future.
async fn hold(
    from: &mut OwnedReadHalf,
    held: &mut HeldBytes,
    direction: Direction,
    shared: &Shared,
    trace: &ConnectionTrace,
) {
    while held.has_room() {
        held.receive(from, direction, shared, trace).await;
    }
    std::future::pending().await
}

/// Forwards the bytes of one direction until their sender ends. Bytes that arrive while the direction is blocked are
/// held back.
async fn forward_one_way(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    held: &mut HeldBytes,
    direction: Direction,
    shared: &Shared,
    trace: &ConnectionTrace,
) -> ConnectionEnd {
    loop {
        let changed = shared.changed.notified();
        let mode = shared.mode.get();
        let is_blocked = held.is_blocked(direction, shared);
        if !is_blocked && !held.bytes.is_empty() {
            let stops_mid_message =
                mode == Mode::SilentMidMessage && direction == Direction::ToEngine;
            let forwarded = if stops_mid_message {
                held.bytes.len() / 2
            } else {
                held.bytes.len()
            };
            if stops_mid_message {
                shared.set_mode(Mode::Silent);
            }
            if to.write_all(&held.bytes[..forwarded]).await.is_err() {
                return ConnectionEnd::Reset;
            }
            held.bytes.drain(..forwarded);
            if direction == Direction::ToProcess {
                trace.answer_forwarded(shared.clock.now());
            }
            continue;
        }
        if let (Some(end), true) = (held.end, !is_blocked) {
            if end == ConnectionEnd::Closed {
                // The receiver gets all bytes that were sent before the close.
                let _ = to.shutdown().await;
                tokio::time::sleep(CLOSE_DELAY).await;
            }
            return end;
        }
        tokio::select! { biased;
            () = changed => {}
            () = held.receive(from, direction, shared, trace), if held.has_room() => {}
        }
    }
}
