//! What a connection is to whoever drives it, whatever is spoken on it: frames in and out, and its end. A
//! [`Wire`] makes sessions of byte streams; `crates/grpc` and `crates/http1` are two.

use crate::{v1, Frame};
use std::future::Future;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// What a connection is given at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    pub party: v1::Party,
    pub name: String,
    /// Whom a caller means to reach; empty if it does not matter.
    pub expects: String,
    pub run: u64,
    /// The largest message taken, in bytes.
    pub most_message: usize,
    /// Calls that the other side may have open at once.
    pub most_calls: u32,
}

/// What comes of a connection; nearly all of it is frames.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Frame(Frame),
    /// Part of a message is there and more is to come, on a wire where that is worth knowing.
    Partly,
    /// So many token messages of a stream have left for the other side, which takes them.
    Flushed {
        stream: u64,
        messages: u32,
    },
    /// The other side takes no new call on this connection; what it has taken goes on.
    GoingAway,
}

/// One connection. Its events end when it does.
pub struct Session<O> {
    /// The other side's greeting.
    pub them: v1::Hello,
    /// Calls that the other side lets be open at once, if it says; for a caller.
    pub limit: Option<usize>,
    pub events: mpsc::UnboundedReceiver<Event>,
    pub out: O,
}

/// The sending side of a session; clones are the same one.
pub trait Outbox: Clone + 'static {
    /// Sends a frame; one that belongs to no call any more is passed over. Tells whether the connection was
    /// there to send it on; if not, nothing of it has gone out.
    fn send(&self, frame: Frame) -> bool;

    /// Takes no new call on this connection; those that are open go on, and it ends with the last. For a side
    /// that answers.
    fn go_away(&self);

    /// Ends the connection: calls that are open are cut off.
    fn close(&self);

    /// Waits until the connection is over.
    fn over(&self) -> impl Future<Output = ()>;
}

/// A byte stream that sessions run on.
pub trait Io: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Io for S {}

/// Makes sessions of byte streams; clones are the same one.
pub trait Wire: Clone + 'static {
    type Out: Outbox;

    /// Answers on a connection that was taken in.
    ///
    /// # Errors
    /// What came is not spoken here, with the reason.
    fn serve<S: Io>(
        &self,
        io: S,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;

    /// Calls whoever is at the other end.
    ///
    /// # Errors
    /// What comes is not spoken here, or it does not want to be called, with the reason.
    fn connect<S: Io>(
        &self,
        io: S,
        to: v1::Party,
        setup: Setup,
    ) -> impl Future<Output = Result<Session<Self::Out>, String>>;
}
