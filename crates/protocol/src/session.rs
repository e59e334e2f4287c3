//! A session: one connection as the driver sees it, whatever protocol it speaks. Frames go in and out until it ends.
//!
//! A [`Wire`] makes sessions of byte streams; `crates/grpc` and `crates/http1` have one each.

use crate::{v1, Frame};
use std::future::Future;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// How a session introduces itself, and what it accepts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What this side is.
    pub party: v1::Party,
    /// The name of this side.
    pub name: String,
    /// The name that a caller expects to reach; empty if any will do.
    pub expects: String,
    /// The incarnation of this process under its name.
    pub run: u64,
    /// The largest message that is accepted, in bytes.
    pub most_message: usize,
    /// Calls that the other side may have open at once.
    pub most_calls: u32,
}

/// What a session reports; nearly all of it is frames.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message arrived.
    Frame(Frame),
    /// Part of a message arrived and the rest has not, on protocols that report it.
    Partly,
    /// Token messages of a stream were written to the other side, which reads them.
    Flushed {
        /// The stream.
        stream: u64,
        /// How many messages, since the last report.
        messages: u32,
    },
    /// The other side accepts no new call on this connection; open calls go on.
    GoingAway,
}

/// One connection. Its events end when the connection does.
pub struct Session<O> {
    /// The other side's greeting.
    pub them: v1::Hello,
    /// The calls that the other side accepts at once, if it says; for a caller.
    pub limit: Option<usize>,
    /// What the session reports.
    pub events: mpsc::UnboundedReceiver<Event>,
    /// The sending side.
    pub out: O,
}

/// The sending side of a session; clones share it.
pub trait Outbox: Clone + 'static {
    /// Sends a frame; one whose call is over is dropped. Returns whether the connection was open; if not, nothing of the
    /// frame was written.
    fn send(&self, frame: Frame) -> bool;

    /// Accepts no new call on this connection; open calls go on, and it ends with the last. For a side that answers.
    fn go_away(&self);

    /// Closes the connection and aborts open calls.
    fn close(&self);

    /// Waits until the connection is over.
    fn over(&self) -> impl Future<Output = ()>;
}

/// A byte stream that sessions run on.
pub trait Io: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Io for S {}

/// A protocol: makes sessions of byte streams; clones share their settings.
pub trait Wire: Clone + 'static {
    /// The sending side of its sessions.
    type Out: Outbox;

    /// Serves an accepted connection.
    ///
    /// # Errors
    /// The other side does not speak this protocol; the reason in words.
    fn serve<S: Io>(
        &self,
        io: S,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;

    /// Opens a session as a caller.
    ///
    /// # Errors
    /// The other side does not speak this protocol, or refuses the call; the reason in words.
    fn connect<S: Io>(
        &self,
        io: S,
        to: v1::Party,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;
}
