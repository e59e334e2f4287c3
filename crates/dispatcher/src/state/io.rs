//! What goes into a dispatcher and what comes out, and the ids of connections and streams in both.

use cindercleat::interface::{DispatcherId, EngineId};
use cindercleat_protocol::{v1, Frame};

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

impl Output {
    pub(super) fn log(level: Level, text: String) -> Self {
        Output::Log { level, text }
    }
}
