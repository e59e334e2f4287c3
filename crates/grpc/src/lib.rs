//! gRPC over any byte stream, on one thread. The crate h2 implements HTTP/2, and prost encodes the messages.
//!
//! A connection is a [`Session`]: [`Out::send`] sends [`Frame`]s of the schema, and received frames are [`Event`]s. A
//! frame that starts a request, an attempt or a health check becomes a gRPC call. Frames with the same stream number
//! are the messages of that call, and a [`Body::Cancel`] resets it. The driver of a session needs no knowledge of
//! HTTP/2, and a peer that is written in any language needs no knowledge of frames.
#![forbid(unsafe_code)]

mod call;
mod client;
mod details;
mod goaway_detector;
mod message;
mod server;

pub use client::connect;
pub use server::serve;

pub use cindercleat_protocol::session::{Event, Setup};

use cindercleat_protocol::session::{self, ByteStream, Outbox, RefusalCause, Wire};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;

/// The flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 16 << 10;

/// The connection's flow-control window: the sum of the windows of all streams, so that a stream that is not read does
/// not block the others.
fn connection_window(setup: &Setup) -> u32 {
    const MAX_WINDOW: u32 = (1 << 31) - 1;
    setup
        .max_concurrent_calls
        .saturating_add(1)
        .saturating_mul(STREAM_WINDOW)
        .min(MAX_WINDOW)
}

/// A session on a gRPC connection.
pub type Session = session::Session<Out>;

/// The gRPC implementation of [`Wire`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Grpc;

impl Wire for Grpc {
    type Out = Out;

    async fn serve<S: ByteStream>(&self, io: S, setup: Setup) -> Result<Session, String> {
        serve(io, setup).await
    }

    async fn connect<S: ByteStream>(
        &self,
        io: S,
        to: v1::Party,
        setup: Setup,
    ) -> Result<Session, String> {
        connect(io, to, setup).await
    }
}

impl Outbox for Out {
    fn send(&self, frame: Frame) -> bool {
        Out::send(self, frame)
    }

    fn go_away(&self) {
        Out::go_away(self);
    }

    /// Does nothing: a request is one message, which arrives as a whole.
    fn refuse_partial_request(&self, _: RefusalCause) {}

    fn close(&self) {
        Out::close(self);
    }

    async fn closed(&self) {
        Out::closed(self).await;
    }
}

/// The sending side of a session; all clones send on the same connection.
#[derive(Clone)]
pub struct Out {
    shared: Rc<Shared>,
}

/// An item in the send queue of a call: a message, or a reset with an HTTP/2 error code.
// Nearly all items are bodies, so boxing the large variant would save no memory.
#[allow(clippy::large_enum_variant)]
enum Outgoing {
    Body(Body),
    Reset(u32),
}

/// The state that a session's handle, connection task and calls share.
struct Shared {
    setup: Setup,
    /// The session's events; `None` once the connection has ended.
    events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
    /// The send queues of the open calls, by stream number.
    calls: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Outgoing>>>,
    /// Starts calls; `None` on the serving side and once the connection accepts no new calls.
    starter: RefCell<Option<client::CallStarter>>,
    /// Sends pings; `None` while a ping is unanswered.
    pings: RefCell<Option<h2::PingPong>>,
    /// `Out::close` was called, or the connection has ended.
    closing: Cell<bool>,
    /// `Out::go_away` was called.
    leaving: Cell<bool>,
    /// The connection has ended, and its calls have had time to read the messages that arrived before the end.
    drained: Cell<bool>,
    /// The number of the peer's calls that have not ended.
    open_served_calls: Cell<usize>,
    /// Signals a change of `closing`, `leaving`, `drained` or `calls`.
    changed: Notify,
    /// Signals the end of the connection.
    closed: Notify,
}

impl Shared {
    fn new(setup: Setup) -> (Rc<Self>, mpsc::UnboundedReceiver<Event>) {
        let (event_sender, events) = mpsc::unbounded_channel();
        let shared = Shared {
            setup,
            events: RefCell::new(Some(event_sender)),
            calls: RefCell::default(),
            starter: RefCell::default(),
            pings: RefCell::default(),
            closing: Cell::new(false),
            leaving: Cell::new(false),
            drained: Cell::new(false),
            open_served_calls: Cell::new(0),
            changed: Notify::new(),
            closed: Notify::new(),
        };
        (Rc::new(shared), events)
    }

    fn send_event(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // The send fails if the session was dropped, and then nobody needs the event.
            let _ = events.send(event);
        }
    }

    /// Ends the session after its connection: closes the event channel and all calls.
    fn end(&self) {
        self.events.borrow_mut().take();
        self.closed.notify_waiters();
        self.calls.borrow_mut().clear();
        self.starter.borrow_mut().take();
        self.close();
    }

    fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Pings the peer; its answer is reported as a `Pong` frame. Does nothing while an earlier ping is unanswered,
    /// because the answer to that ping shows just as well that the peer is alive.
    fn ping(self: &Rc<Self>) {
        let Some(mut ping) = self.pings.borrow_mut().take() else {
            return;
        };
        let shared = self.clone();
        spawn_local(async move {
            if ping.ping(h2::Ping::opaque()).await.is_ok() {
                shared.send_event(Event::Frame(frame(0, Body::Pong(v1::Pong {}))));
            }
            *shared.pings.borrow_mut() = Some(ping);
        });
    }

    async fn wait_drained(&self) {
        while !self.drained.get() {
            self.changed.notified().await;
        }
    }

    async fn wait_leaving(&self) {
        while !self.leaving.get() {
            self.changed.notified().await;
        }
    }

    async fn wait_closing(&self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }
}

/// Closes the connection when it is dropped during the handshake. A session that starts empties the guard first.
struct HandshakeGuard(Option<Rc<Shared>>);

impl Drop for HandshakeGuard {
    fn drop(&mut self) {
        if let Some(shared) = &self.0 {
            shared.close();
        }
    }
}

impl Out {
    /// Queues a frame; ignores a frame whose call has ended. Returns whether the connection was open; if it was not,
    /// no byte of the frame was written.
    pub fn send(&self, frame: Frame) -> bool {
        if self.shared.events.borrow().is_none() {
            return false;
        }
        let open = self.shared.calls.borrow().get(&frame.stream).cloned();
        match (open, frame.body) {
            (Some(call), Some(body)) => {
                let _ = call.send(Outgoing::Body(body));
            }
            (None, Some(Body::Ping(_))) => self.shared.ping(),
            (None, Some(body)) => client::start_call(&self.shared, frame.stream, body),
            (_, None) => {}
        }
        true
    }

    /// Whether this handle and `other` send on the same connection.
    pub fn is_same_connection(&self, other: &Out) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Resets a call of the peer with an HTTP/2 error code instead of answering it.
    pub fn reset(&self, stream: u64, code: u32) {
        if let Some(call) = self.shared.calls.borrow().get(&stream) {
            let _ = call.send(Outgoing::Reset(code));
        }
    }

    /// Accepts no new calls; open calls continue, and the connection closes after the last one. Only the serving side
    /// may call this.
    pub fn go_away(&self) {
        self.shared.leaving.set(true);
        self.shared.changed.notify_waiters();
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        while self.shared.events.borrow().is_some() {
            self.shared.closed.notified().await;
        }
    }

    /// Closes the connection and aborts open calls.
    pub fn close(&self) {
        self.shared.close();
    }
}
