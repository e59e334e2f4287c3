//! Manages the long-lived connections to one engine: decides which of them carries a new stream, how many there are,
//! and when a connection is opened (also ahead of need), pinged or closed.
//!
//! Callers create one [`ConnectionPool`] per engine and report connects, streams, received bytes and closes to it. They
//! call [`ConnectionPool::place`] for each new stream, and carry out [`ConnectionPool::due_commands`] at the instant of
//! [`ConnectionPool::next_due_at`]. The pool does no I/O and reads no clock. The instants that callers pass must not
//! decrease. Random numbers come from the seed.

use crate::interface::Ms;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// The number that the caller gives a connection. The caller must not use a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Limits of a pool, and times in milliseconds. A limit of 0 counts as 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSettings {
    /// Maximum number of concurrent streams on one connection, unless the engine allows fewer.
    pub max_streams_per_connection: usize,
    /// Maximum number of connections that accept streams; connections that drain are not counted.
    pub max_connections: usize,
    /// A connection that is not established within this time is closed.
    pub connect_timeout: Ms,
    /// A connection without streams is closed after this time.
    pub idle_timeout: Ms,
    /// A connection with streams is pinged if nothing was received for this long.
    pub keepalive_interval: Ms,
    /// A connection is closed if nothing is received for this long after a ping.
    pub ping_timeout: Ms,
    /// The backoff after a failed connect; it doubles with each further consecutive failure.
    pub initial_backoff: Ms,
    /// The upper limit of the doubled backoff; jitter is applied afterwards and may exceed it.
    pub max_backoff: Ms,
    /// After an attempt has ended on a connection, the connection carries no other attempt for this long. 0 if each message
    /// names its stream. Otherwise bytes that the engine sends after the end of one answer would count as the next answer.
    pub reuse_delay: Ms,
}

/// A further connection is opened ahead of need when the free streams of all connections are fewer than this fraction
/// of one connection's streams.
const MIN_FREE_STREAMS_FRACTION: f64 = 0.2;

/// Among equally full connections, one that has been idle for less than this fraction of the connect timeout is chosen
/// last: an engine that closes each connection after its answer may be about to close it.
const SETTLE_TIME_FRACTION: f64 = 0.02;

/// Lower limit of the random factor on the backoff; the upper limit is this plus 1.
const MIN_BACKOFF_JITTER: f64 = 0.5;

/// After this many doublings, further failures leave the backoff unchanged, which keeps the power of two finite.
const MAX_BACKOFF_DOUBLINGS: u32 = 30;

/// What a stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// An attempt. Its answer goes to a client, or decides what happens to the client's request.
    Attempt,
    /// A call of the dispatcher itself, such as a health check or a release. No client receives anything of its answer, also
    /// if a second answer to an attempt is taken for it. Nor can its answer be taken for the success of an attempt.
    Control,
}

/// Which connection carries a new stream, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This connection carries the stream; it may still be connecting.
    Existing(ConnectionId),
    /// No existing connection can carry the stream. The caller opens a new one for it and reports that by
    /// [`ConnectionPool::connecting`].
    NewConnection,
    /// No existing connection can carry the stream, and no further one is allowed. The caller closes this one, which is
    /// idle but not reusable yet, reports that by [`ConnectionPool::closed`], and opens a new one in its place.
    Replacement(ConnectionId),
    /// The stream cannot be opened now; nothing was sent.
    Unavailable(PlacementError),
}

/// Why no connection can carry a new stream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// All connections are full, and no further one is allowed.
    PoolExhausted,
    /// Connects have failed, and the backoff before the next one has not ended.
    BackingOff,
}

/// What the owner of the pool has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolCommand {
    /// Open a further connection before a stream needs it.
    Connect,
    /// Send a ping over this connection.
    Ping(ConnectionId),
    /// Close this connection for the given reason.
    Close(ConnectionId, CloseReason),
}

/// Why the pool requests that a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection was not established in time; nothing was sent on it.
    ConnectTimeout,
    /// The connection had no stream for the idle timeout.
    Idle,
    /// A ping was not answered in time. The streams of the connection are lost, and their requests may have run.
    PingTimeout,
    /// The engine has announced that it will close the connection, and the last stream on it has ended.
    Drained,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Connecting {
        since: Ms,
    },
    Up,
    /// The engine has announced that it will close the connection: open streams continue, no new ones are opened.
    Draining,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: Phase,
    streams: usize,
    max_streams: usize,
    idle_since: Ms,
    /// When the last attempt on the connection has ended; negative infinity if none has.
    last_attempt_ended_at: Ms,
    last_received_at: Ms,
    /// When the unanswered ping was sent; `None` if there is none.
    pinged_at: Option<Ms>,
}

/// The state of all connections to one engine.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    rng: WyRand,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Number of connects that failed since the last successful one or the last reset.
    failures: u32,
    /// When the backoff ends; no connect starts earlier.
    next_connect_at: Ms,
}

impl ConnectionPool {
    /// Creates a pool without connections. `seed` determines the jitter of the backoff.
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        ConnectionPool {
            settings,
            rng: WyRand::new_seed(seed),
            connections: BTreeMap::new(),
            failures: 0,
            next_connect_at: f64::NEG_INFINITY,
        }
    }

    /// Chooses the connection for the next stream, which carries a call of this kind.
    ///
    /// The established connection with the most open streams is preferred if it accepts another one, so that the others
    /// become idle and are closed. Among equally full ones, the connection that became idle last is preferred, because
    /// the engine may be about to close one that has been idle for long; a connection that became idle only just now
    /// comes last. An attempt is not placed on an idle connection before [`PoolSettings::reuse_delay`] has passed since
    /// the last attempt on it. If no established connection accepts the stream, it goes to one that is connecting, else
    /// to a new connection if another one is allowed, else to a new one that replaces an idle connection that is not
    /// reusable yet.
    pub fn place(&self, kind: StreamKind, now: Ms) -> Placement {
        let settled_since = now - SETTLE_TIME_FRACTION * self.settings.connect_timeout;
        let rank = |connection: &Connection| {
            let is_settled = connection.idle_since <= settled_since;
            (
                connection.phase == Phase::Up,
                connection.streams,
                is_settled,
            )
        };
        let preference = |a: &(&ConnectionId, &Connection), b: &(&ConnectionId, &Connection)| {
            let by_idle_since = a.1.idle_since.total_cmp(&b.1.idle_since);
            rank(a.1)
                .cmp(&rank(b.1))
                .then(by_idle_since)
                .then(b.0.cmp(a.0))
        };
        let usable = self.connections.iter().filter(|(_, connection)| {
            connection.has_free_stream()
                && (kind == StreamKind::Control || connection.is_reusable(&self.settings, now))
        });
        match usable.max_by(preference) {
            Some((id, _)) => Placement::Existing(*id),
            None if self.is_at_max_connections() => self.longest_idle_connection().map_or(
                Placement::Unavailable(PlacementError::PoolExhausted),
                Placement::Replacement,
            ),
            // Guards against an engine that is down: without the backoff, each request for this engine would start
            // another connect.
            None if now < self.next_connect_at => {
                Placement::Unavailable(PlacementError::BackingOff)
            }
            None => Placement::NewConnection,
        }
    }

    /// The established connection that has had no streams for the longest time.
    fn longest_idle_connection(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
            .min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since))
            .map(|(id, _)| *id)
    }

    /// Records that the caller has started to open a connection.
    pub fn connecting(&mut self, id: ConnectionId, now: Ms) {
        let connection = Connection {
            phase: Phase::Connecting { since: now },
            streams: 0,
            max_streams: self.settings.max_streams_per_connection.max(1),
            idle_since: now,
            last_attempt_ended_at: f64::NEG_INFINITY,
            last_received_at: now,
            pinged_at: None,
        };
        self.connections.insert(id, connection);
    }

    /// Records that the connection is established. `max_streams`: the number of concurrent streams that the engine
    /// allows on it; `None` if the engine does not state a limit.
    pub fn connected(&mut self, id: ConnectionId, max_streams: Option<usize>, now: Ms) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.phase = Phase::Up;
        connection.last_received_at = now;
        connection.idle_since = now;
        if let Some(max_streams) = max_streams {
            connection.max_streams = max_streams.min(connection.max_streams);
        }
        self.reset_backoff();
    }

    /// Records that the connection has ended or could not be established. After a failed connect, the next one is
    /// delayed by a backoff that doubles with each consecutive failure. Its jitter prevents all dispatchers from
    /// reconnecting at the same time to an engine that restarts.
    pub fn closed(&mut self, id: ConnectionId, now: Ms) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Phase::Connecting { .. } = connection.phase {
            self.connect_failed(now);
        }
    }

    fn connect_failed(&mut self, now: Ms) {
        let doublings = f64::from(self.failures.min(MAX_BACKOFF_DOUBLINGS));
        let backoff = self.settings.initial_backoff * doublings.exp2();
        let draw: f64 = self.rng.generate();
        let jitter = MIN_BACKOFF_JITTER + draw;
        self.next_connect_at = now + backoff.min(self.settings.max_backoff) * jitter;
        self.failures += 1;
    }

    /// Ends the backoff, so that the next connect may start at once. Callers use it when the engine has a new process.
    pub fn reset_backoff(&mut self) {
        (self.failures, self.next_connect_at) = (0, f64::NEG_INFINITY);
    }

    /// Records that the engine accepts no more streams on this connection (GOAWAY).
    pub fn mark_draining(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Draining;
        }
    }

    /// Records that any bytes were received over the connection; an unanswered ping counts as answered.
    pub fn received(&mut self, id: ConnectionId, now: Ms) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.last_received_at, connection.pinged_at) = (now, None);
        }
    }

    /// Records that a stream was opened on the connection. An unknown connection is ignored.
    pub fn stream_opened(&mut self, id: ConnectionId, now: Ms) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.streams == 0 {
                connection.last_received_at = connection.last_received_at.max(now);
            }
            connection.streams += 1;
        }
    }

    /// Records that a stream of this kind on the connection has ended. An unknown connection is ignored.
    pub fn stream_ended(&mut self, id: ConnectionId, kind: StreamKind, now: Ms) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.streams = connection.streams.saturating_sub(1);
            connection.idle_since = now;
            if kind == StreamKind::Attempt {
                connection.last_attempt_ended_at = now;
            }
        }
    }

    /// Returns the commands that are due at `now`. `is_engine_ready`: whether the engine accepts new requests; if not,
    /// no connection is opened. The caller reports each close by [`closed`](Self::closed) and each connect by
    /// [`connecting`](Self::connecting). A returned ping is recorded as sent.
    pub fn due_commands(&mut self, now: Ms, is_engine_ready: bool) -> Vec<PoolCommand> {
        let mut commands = Vec::new();
        for (&id, connection) in &mut self.connections {
            let (at, command) = connection.next_command(id, &self.settings);
            if now < at {
                continue;
            }
            if let PoolCommand::Ping(_) = command {
                connection.pinged_at = Some(now);
            }
            commands.push(command);
        }
        if is_engine_ready && self.wants_connection(now) {
            commands.push(PoolCommand::Connect);
        }
        commands
    }

    /// Whether a further connection should be opened now, before a stream needs it.
    pub fn wants_connection(&self, now: Ms) -> bool {
        now >= self.next_connect_at && self.is_short_of_streams()
    }

    /// When [`due_commands`](Self::due_commands) has to be called next, unless an event is reported earlier. The need
    /// for a further connection is not included: it only arises from events, so callers check
    /// [`wants_connection`](Self::wants_connection) after each event.
    pub fn next_due_at(&self) -> Option<Ms> {
        self.connections
            .iter()
            .map(|(id, connection)| connection.next_command(*id, &self.settings).0)
            .filter(|at| at.is_finite())
            .min_by(f64::total_cmp)
    }

    /// Whether the connection accepts streams, now or once it is established; false for an unknown connection.
    pub fn accepts_streams(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(Connection::accepts_streams)
    }

    /// The connections that accept streams, now or once they are established.
    fn accepting(&self) -> impl Iterator<Item = &Connection> {
        self.connections
            .values()
            .filter(|connection| connection.accepts_streams())
    }

    fn is_at_max_connections(&self) -> bool {
        self.accepting().count() >= self.settings.max_connections.max(1)
    }

    /// Whether connections are in use and have too few free streams for the requests that will arrive while a further
    /// connection is being established.
    fn is_short_of_streams(&self) -> bool {
        // If a connection carries only one stream, none is opened ahead of need: at peak load each request would cost
        // the engine an additional connection.
        let are_multiplexed = self.settings.max_streams_per_connection > 1;
        let is_in_use = self.connections.values().any(|c| c.streams > 0);
        let is_connecting = self.accepting().any(|c| c.phase != Phase::Up);
        let free: usize = self.accepting().map(Connection::free_streams).sum();
        let streams_per_connection = self.settings.max_streams_per_connection.max(1) as f64;
        are_multiplexed
            && is_in_use
            && !is_connecting
            && !self.is_at_max_connections()
            && (free as f64) < MIN_FREE_STREAMS_FRACTION * streams_per_connection
    }
}

impl Connection {
    fn accepts_streams(&self) -> bool {
        self.phase != Phase::Draining
    }

    fn free_streams(&self) -> usize {
        self.max_streams.saturating_sub(self.streams)
    }

    fn has_free_stream(&self) -> bool {
        self.accepts_streams() && self.streams < self.max_streams
    }

    fn is_idle(&self) -> bool {
        self.phase == Phase::Up && self.streams == 0
    }

    /// Whether a second answer to the last attempt can no longer be taken for the answer to the next one. Guards against
    /// an engine that sends a second answer some milliseconds after the first: on a connection whose messages do not name
    /// their stream, another client would receive it.
    fn is_reusable(&self, settings: &PoolSettings, now: Ms) -> bool {
        self.streams > 0 || now - self.last_attempt_ended_at >= settings.reuse_delay
    }

    /// The next command for the connection if no event changes it, and when it is due.
    fn next_command(&self, id: ConnectionId, settings: &PoolSettings) -> (Ms, PoolCommand) {
        let close = |reason| PoolCommand::Close(id, reason);
        match (self.phase, self.streams, self.pinged_at) {
            (Phase::Connecting { since }, ..) => (
                since + settings.connect_timeout,
                close(CloseReason::ConnectTimeout),
            ),
            (Phase::Draining, 0, _) => (self.idle_since, close(CloseReason::Drained)),
            (Phase::Up, 0, _) => (
                self.idle_since + settings.idle_timeout,
                close(CloseReason::Idle),
            ),
            // Guards against an engine whose machine is gone: TCP reports no error, and the streams would wait forever.
            (_, _, Some(pinged_at)) => (
                pinged_at + settings.ping_timeout,
                close(CloseReason::PingTimeout),
            ),
            (_, _, None) => (
                self.last_received_at + settings.keepalive_interval,
                PoolCommand::Ping(id),
            ),
        }
    }
}
