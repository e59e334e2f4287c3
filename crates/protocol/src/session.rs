//! A session: the driver's view of one connection, independent of the wire protocol. A session sends and receives
//! frames until its connection ends.
//!
//! A [`Wire`] runs sessions on byte streams; `crates/grpc` and `crates/http1` implement one each.

use crate::{v1, Frame};
use std::future::Future;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// The identity that a session announces to its peer, and the limits that it enforces.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The role of this side, such as client or dispatcher.
    pub party: v1::Party,
    /// The name of this side. A caller whose `expects` is another name is refused.
    pub name: String,
    /// The name that a caller requires of its peer; empty accepts any peer.
    pub expects: String,
    /// The incarnation of this process: a process that restarts under the same name draws a new one.
    pub run: u64,
    /// The largest message accepted from the peer, in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of calls that the peer may have open at once.
    pub max_concurrent_calls: u32,
}

/// An event of a session.
// Nearly all events are frames, so boxing the large variant would save no memory.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete message arrived.
    Frame(Frame),
    /// The first bytes of a message arrived, but the message is not complete yet. Only HTTP/1.1 sessions send this
    /// event.
    MessageBegun,
    /// Token messages of a stream were written to the connection, which shows that the peer still reads the stream.
    MessagesWritten {
        /// The stream number of the token messages.
        stream: u64,
        /// The number of token messages written since the previous `MessagesWritten` of the stream.
        messages: u32,
    },
    /// The peer accepts no new calls on this connection; open calls continue.
    GoingAway,
    /// The peer sent data that belongs to no open call, and the session ends. Only HTTP/1.1 sessions with an engine send
    /// this event.
    UnsolicitedData,
}

/// An established session: the peer's identity, the received events, and the handle that sends frames.
pub struct Session<O> {
    /// The peer's `Hello`. If the wire protocol has no greeting, this side fills in what it knows of the peer.
    pub peer: v1::Hello,
    /// The maximum number of calls that the peer accepts at once; `None` on the serving side, or if the peer sets no
    /// limit.
    pub max_calls: Option<usize>,
    /// The received frames and other events; the channel closes when the connection ends.
    pub events: mpsc::UnboundedReceiver<Event>,
    /// Sends frames on this session.
    pub out: O,
}

/// Why a request is refused of which only a part has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The rest did not arrive in time.
    TimedOut,
    /// Another connection needs the place of this one.
    MakeRoom,
}

/// The sending side of a session; all clones send on the same connection.
pub trait Outbox: Clone + 'static {
    /// Queues a frame; drops a frame whose call has ended. Returns whether the connection was open; if it was not,
    /// no byte of the frame was written.
    fn send(&self, frame: Frame) -> bool;

    /// Accepts no new calls; open calls continue, and the connection closes after the last one. Only the serving side
    /// may call this.
    fn go_away(&self);

    /// Refuses the request of which only a part has arrived, and closes the connection. The caller knows of a request
    /// only some time after its bytes were read. So this has no effect on a request that has arrived completely by now:
    /// it is answered, and the connection continues. Only HTTP/1.1 sessions with a client receive requests in parts.
    fn refuse_partial_request(&self, cause: RefusalCause);

    /// Closes the connection at once; open calls are aborted.
    fn close(&self);

    /// Waits until the connection has ended.
    fn closed(&self) -> impl Future<Output = ()>;
}

/// A byte stream that a session can run on; implemented for every type that meets the bounds.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> ByteStream for S {}

/// A wire protocol that runs sessions on byte streams; clones share their settings.
pub trait Wire: Clone + 'static {
    /// The handle that sends frames on a session of this protocol.
    type Out: Outbox;

    /// Starts a session on an accepted connection.
    ///
    /// # Errors
    /// Returns the reason as text if the peer does not speak this protocol.
    fn serve<S: ByteStream>(
        &self,
        io: S,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;

    /// Starts a session as the caller, to a peer of role `to`.
    ///
    /// # Errors
    /// Returns the reason as text if the peer does not speak this protocol or refuses the session.
    fn connect<S: ByteStream>(
        &self,
        io: S,
        to: v1::Party,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;
}
