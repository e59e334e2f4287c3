//! The inputs and outputs of a dispatcher, and the ids of connections and streams in them.

use cindercleat::interface::{DispatcherId, EngineId};
use cindercleat_protocol::session::RefusalCause;
use cindercleat_protocol::{v1, Frame};

/// The id of a client connection. The driver assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientConnectionId(pub u64);

/// The id of a connection to an engine. The dispatcher assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineConnectionId(pub u64);

/// The id of one call on a connection; 0 stands for the connection as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// An event that the driver passes to [`Dispatcher::handle`](super::Dispatcher::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client has sent a message, after its greeting was completed.
    Client {
        /// The connection that carried the message.
        conn: ClientConnectionId,
        /// The message and the stream it belongs to.
        frame: Frame,
    },
    /// A client has completed its greeting.
    ClientConnected {
        /// The id that the driver has assigned to the connection.
        conn: ClientConnectionId,
    },
    /// The first part of a client's request has arrived.
    ClientRequestBegun {
        /// The connection that carried the request.
        conn: ClientConnectionId,
    },
    /// A client connection waits to be accepted, but the maximum number of client connections is reached, or the
    /// process is out of memory or file descriptors. An idle client connection may be closed.
    ClientLimitReached,
    /// A client connection has ended.
    ClientClosed {
        /// The connection that ended.
        conn: ClientConnectionId,
    },
    /// Token messages of a stream were written to its client.
    MessagesForwarded {
        /// The connection of the client.
        conn: ClientConnectionId,
        /// The stream of the request on that connection.
        stream: StreamId,
        /// The number of token messages written since the previous `MessagesForwarded` of this stream.
        messages: u32,
    },
    /// A dialled connection is established: the engine has greeted with the expected name.
    ConnectionEstablished {
        /// The connection that was dialled.
        connection: EngineConnectionId,
        /// The number of concurrent streams that the engine allows on the connection; `None` if unlimited.
        limit: Option<usize>,
    },
    /// The engine accepts no new streams on a connection; open streams continue.
    ConnectionDraining {
        /// The connection that is draining.
        connection: EngineConnectionId,
    },
    /// A connection to an engine could not be established, or has ended.
    ConnectionClosed {
        /// The connection that was dialled.
        connection: EngineConnectionId,
        /// The reason, for the log.
        reason: String,
    },
    /// An engine has sent a message on an established connection.
    Engine {
        /// The connection that carried the message.
        connection: EngineConnectionId,
        /// The message and the stream it belongs to.
        frame: Frame,
    },
    /// The endpoints that an earlier process has cached. The driver passes them, if there are any, as the first
    /// input.
    CachedEndpoints(v1::EndpointList),
    /// An update of the endpoints from discovery.
    EndpointsUpdated(v1::EndpointList),
    /// Discovery refused a call, or the connection to it was lost.
    DiscoveryCallFailed,
    /// Another dispatcher has sent gossip.
    GossipReceived {
        /// The dispatcher that sent it.
        from: DispatcherId,
        /// The encoded message, passed to `Control` unchanged.
        bytes: Vec<u8>,
    },
    /// Nothing has happened, but a timer may be due.
    Tick,
    /// Begin the stop: reject new requests after the accept period, and end open requests within the grace
    /// period.
    Stop,
}

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a client.
    ToClient {
        /// The connection that carries the message.
        conn: ClientConnectionId,
        /// The message and the stream it belongs to.
        frame: Frame,
    },
    /// Ask a client to start no new requests on a connection; open requests continue.
    DrainClient {
        /// The connection to drain.
        conn: ClientConnectionId,
    },
    /// Refuse the request of which only a part has arrived, and close the client connection. Has no effect if the
    /// request has arrived completely by now; it follows as [`Input::Client`].
    RefusePartialRequest {
        /// The connection whose request is refused.
        conn: ClientConnectionId,
        /// Why the request is refused.
        cause: RefusalCause,
    },
    /// Close a client connection after the messages that were already sent on it.
    CloseClient {
        /// The connection to close.
        conn: ClientConnectionId,
        /// The reason, for the log.
        reason: String,
    },
    /// Dial an engine. The driver reports the result as [`Input::ConnectionEstablished`] or
    /// [`Input::ConnectionClosed`].
    Dial {
        /// The id of the new connection.
        connection: EngineConnectionId,
        /// The engine that must answer at the address.
        engine: EngineId,
        /// The address to dial, from the endpoint list.
        address: String,
    },
    /// Send a message to an engine.
    ToEngine {
        /// The connection that carries the message.
        connection: EngineConnectionId,
        /// The message and the stream it belongs to.
        frame: Frame,
    },
    /// Close a connection to an engine after the messages that were already sent on it.
    CloseConnection {
        /// The connection to close.
        connection: EngineConnectionId,
        /// The reason, for the log.
        reason: String,
    },
    /// Cache the endpoints for the next start of the dispatcher.
    CacheEndpoints(v1::EndpointList),
    /// Request the endpoints from discovery.
    RequestEndpoints {
        /// Whether discovery is to send later changes as well.
        changes: bool,
    },
    /// Send gossip to other dispatchers.
    SendGossip {
        /// The receiver; `None` for all other dispatchers.
        to: Option<DispatcherId>,
        /// The encoded message, as `Control` has built it.
        bytes: Vec<u8>,
    },
    /// Write a line to the log of the process.
    Log {
        /// The severity of the line.
        level: Level,
        /// The text of the line, without time and severity.
        text: String,
    },
    /// The stop is complete, and the process may exit.
    Stopped,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Details for tracing single requests.
    Debug,
    /// Events of normal operation.
    Info,
    /// A condition that an operator may have to investigate.
    Warn,
}

impl Output {
    /// Creates an output that writes a line to the log.
    pub(super) fn log(level: Level, text: String) -> Self {
        Output::Log { level, text }
    }
}
