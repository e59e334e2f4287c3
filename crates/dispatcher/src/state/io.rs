//! What goes into a dispatcher and what comes out, and the ids of connections and streams in both.

use cindercleat::interface::{DispatcherId, EngineId};
use cindercleat_protocol::{v1, Frame};

/// A client's connection. The driver numbers them and never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientConnectionId(pub u64);

/// A connection to an engine. The dispatcher numbers them and never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineConnectionId(pub u64);

/// One exchange of messages on a connection; 0 stands for the connection as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// What happens to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client has sent a message, after its greeting.
    Client {
        /// Where it came.
        conn: ClientConnectionId,
        /// The message.
        frame: Frame,
    },
    /// A client has connected.
    ClientUp {
        /// The new connection.
        conn: ClientConnectionId,
    },
    /// Part of a client's message has come.
    ClientPartly {
        /// Where it came.
        conn: ClientConnectionId,
    },
    /// One more client wants to connect, and there may be no more connections of clients.
    ClientsFull,
    /// A client's connection is closed.
    ClientClosed {
        /// The closed connection.
        conn: ClientConnectionId,
    },
    /// Token messages of a stream were written to its client.
    Flushed {
        /// The client's connection.
        conn: ClientConnectionId,
        /// The request's stream on it.
        stream: StreamId,
        /// How many messages, since the last such input.
        messages: u32,
    },
    /// A dialled connection is up: the engine has greeted by its right name.
    ConnectionUp {
        /// The connection.
        connection: EngineConnectionId,
        /// How many streams the engine allows on it at once, if it limits them.
        limit: Option<usize>,
    },
    /// The engine takes nothing new on a connection; what it took goes on.
    ConnectionDraining {
        /// The connection.
        connection: EngineConnectionId,
    },
    /// A connection could not be made, or is closed.
    ConnectionClosed {
        /// The connection.
        connection: EngineConnectionId,
        /// Why, for the log.
        reason: String,
    },
    /// An engine has sent a message.
    Engine {
        /// Where it came.
        connection: EngineConnectionId,
        /// The message.
        frame: Frame,
    },
    /// The endpoints that the process before has cached; the first input, if there is one.
    CachedEndpoints(v1::EndpointList),
    /// An update of the endpoints from discovery.
    EndpointsUpdated(v1::EndpointList),
    /// Discovery refused a call, or its connection is lost.
    EndpointsRejected,
    /// Gossip from another dispatcher.
    GossipReceived {
        /// The sender.
        from: DispatcherId,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// Time has passed.
    Tick,
    /// Take nothing new, finish what is open within the grace, end.
    Stop,
}

/// What a dispatcher asks its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a client.
    ToClient {
        /// Where to send it.
        conn: ClientConnectionId,
        /// The message.
        frame: Frame,
    },
    /// Ask a client to begin nothing new on a connection; what is open goes on.
    DrainClient {
        /// The connection.
        conn: ClientConnectionId,
    },
    /// Close a client's connection, after what was sent before.
    CloseClient {
        /// The connection.
        conn: ClientConnectionId,
        /// Why; the client may be sent it.
        reason: String,
    },
    /// Connect to an engine.
    Dial {
        /// The number of the new connection.
        connection: EngineConnectionId,
        /// The engine that must answer there.
        engine: EngineId,
        /// Where to connect.
        address: String,
    },
    /// Send a message to an engine.
    ToEngine {
        /// Where to send it.
        connection: EngineConnectionId,
        /// The message.
        frame: Frame,
    },
    /// Close a connection to an engine, after what was sent before.
    CloseConnection {
        /// The connection.
        connection: EngineConnectionId,
        /// Why, for the log.
        reason: String,
    },
    /// Cache the endpoints for the next start.
    CacheEndpoints(v1::EndpointList),
    /// Ask discovery for the endpoints.
    RequestEndpoints {
        /// Whether it is to go on with each change.
        changes: bool,
    },
    /// Send gossip.
    SendGossip {
        /// To one dispatcher, or to all.
        to: Option<DispatcherId>,
        /// What to send.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// How important it is.
        level: Level,
        /// The line.
        text: String,
    },
    /// The stop is complete.
    Stopped,
}

/// How important a log line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Of use to somebody who follows single requests.
    Debug,
    /// An event of normal operation.
    Info,
    /// Something that an operator may have to look into.
    Warn,
}

impl Output {
    /// A line for the log.
    pub(super) fn log(level: Level, text: String) -> Self {
        Output::Log { level, text }
    }
}
