//! Translates the platform's protocol, HTTP/1.1 with JSON and server-sent events, into sessions of the dispatcher's
//! frames: for clients (`server`), engines (`engine_client`) and discovery (`discovery_client`).
//!
//! [`framing`] parses without I/O, and [`wire_names`] holds the protocol's names and number formats. A connection
//! carries one request at a time, so each session is a single task that alternates between reading and writing. This
//! crate makes no routing decisions.
#![forbid(unsafe_code)]

mod arrivals;
mod call_result;
mod discovery_client;
mod engine_client;
pub mod event_stream;
pub mod framing;
mod list;
mod memory;
mod refusal;
mod request_body;
mod server;
mod socket;
mod submit;
mod turn;
pub mod wire_names;

pub use list::{parse as parse_list, Malformed};

use cindercleat_protocol::session::{self, ByteStream, Event, Outbox, RefusalCause, Setup, Wire};
use cindercleat_protocol::{v1, Body, Frame};
use memory::MemoryPool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// A session on a connection of the platform's protocol.
pub type Session = session::Session<Out>;

/// The limits that all connections of one [`Http1`] enforce.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The largest request body, in bytes; a larger one is refused with status 413.
    pub max_body_bytes: usize,
    /// The largest chunk of an engine's response, and the largest response that is not a stream, in bytes.
    pub max_chunk_bytes: usize,
    /// The largest endpoint list, in bytes.
    pub max_list_bytes: usize,
    /// The maximum number of engines in one endpoint list.
    pub max_listed_engines: usize,
    /// The maximum number of bytes that the requests of all clients hold together, from the read of a byte until its
    /// last copy is freed: bodies, and what a connection holds besides beyond one read (8 KiB). A body that exceeds it
    /// while it arrives is rejected with status 503; what arrives behind an open request stays in the socket.
    pub max_total_body_bytes: usize,
    /// The maximum number of bytes that the responses of all engines hold together, from the read of a byte until it is
    /// written to the client, beyond one read (16 KiB) a connection. A response that exceeds it before it can be forwarded
    /// ends its call as failed; the engine of a stream is not read until its client has read more.
    pub max_total_response_bytes: usize,
    /// The maximum time that discovery may delay its response while the list is unchanged, in milliseconds.
    pub discovery_wait_ms: u32,
    /// How long a connection still reads and discards input after its last response before it is closed, in
    /// milliseconds.
    pub drain_timeout_ms: u32,
    /// The maximum number of input bytes that a connection reads and discards after its last response before it is
    /// closed.
    pub max_drained_bytes: usize,
    /// The time in milliseconds after which a connection is closed if its client accepts no byte of a response.
    pub write_stall_timeout_ms: u32,
}

/// The platform's protocol; clones share the bounds and the count of buffered bytes.
#[derive(Clone, Debug)]
pub struct Http1 {
    bounds: Bounds,
    /// The memory that clients' requests hold, of all connections together.
    request_memory: Arc<MemoryPool>,
    /// The memory that engines' responses hold, of all connections together.
    response_memory: Arc<MemoryPool>,
}

impl Http1 {
    /// Creates the protocol with these limits and a count of 0 buffered bytes.
    pub fn new(bounds: Bounds) -> Self {
        Http1 {
            bounds,
            request_memory: MemoryPool::new("clients' requests", bounds.max_total_body_bytes),
            response_memory: MemoryPool::new("engines' responses", bounds.max_total_response_bytes),
        }
    }

    /// The number of bytes of clients' requests in memory, which [`Bounds::max_total_body_bytes`] limits.
    pub fn buffered_bytes(&self) -> usize {
        self.request_memory.used()
    }

    /// The number of bytes of engines' responses in memory, which [`Bounds::max_total_response_bytes`] limits.
    pub fn buffered_response_bytes(&self) -> usize {
        self.response_memory.used()
    }
}

impl Wire for Http1 {
    type Out = Out;

    async fn serve<S: ByteStream>(&self, io: S, _: Setup) -> Result<Session, String> {
        Ok(server::start(io, self.clone()))
    }

    async fn connect<S: ByteStream>(
        &self,
        io: S,
        to: v1::Party,
        setup: Setup,
    ) -> Result<Session, String> {
        match to {
            v1::Party::Engine => Ok(engine_client::start(io, self, setup)),
            v1::Party::Feed => Ok(discovery_client::start(io, self.bounds, setup)),
            _ => Err("HTTP/1.1 sessions connect only to engines and discovery".to_owned()),
        }
    }
}

/// The state that a session's task shares with the session's handle.
#[derive(Debug, Default)]
struct Shared {
    /// `Outbox::close` was called.
    closing: Cell<bool>,
    /// `Outbox::go_away` was called.
    leaving: Cell<bool>,
    /// Why the request that is being received was refused; `None` if it was not.
    refusal: Cell<Option<RefusalCause>>,
    /// The session's task has ended.
    is_closed: Cell<bool>,
    /// Signals a change of `closing`, `leaving`, `refusal` or `is_closed`.
    changed: Notify,
    /// Sends the session's events; `None` once the session's task has ended.
    events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
}

impl Shared {
    fn send_event(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // The send fails if the session was dropped, and then nobody needs the event.
            let _ = events.send(event);
        }
    }

    fn send_frame(&self, stream: u64, body: Body) {
        self.send_event(Event::Frame(cindercleat_protocol::frame(stream, body)));
    }

    async fn wait_closing(&self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }

    async fn wait_refusal(&self) {
        while self.refusal.get().is_none() {
            self.changed.notified().await;
        }
    }

    async fn wait_leaving(&self) {
        while !self.leaving.get() && !self.closing.get() {
            self.changed.notified().await;
        }
    }

    fn end(&self) {
        self.is_closed.set(true);
        self.events.borrow_mut().take();
        self.changed.notify_waiters();
    }
}

/// The sending side of a session; all clones send on the same connection.
#[derive(Clone, Debug)]
pub struct Out {
    shared: Rc<Shared>,
    outgoing: mpsc::UnboundedSender<Frame>,
}

impl Outbox for Out {
    fn send(&self, frame: Frame) -> bool {
        !self.shared.is_closed.get() && self.outgoing.send(frame).is_ok()
    }

    fn go_away(&self) {
        self.shared.leaving.set(true);
        self.shared.changed.notify_waiters();
    }

    fn refuse_partial_request(&self, cause: RefusalCause) {
        self.shared.refusal.set(Some(cause));
        self.shared.changed.notify_waiters();
    }

    fn close(&self) {
        self.shared.closing.set(true);
        self.shared.changed.notify_waiters();
    }

    async fn closed(&self) {
        while !self.shared.is_closed.get() {
            self.shared.changed.notified().await;
        }
    }
}

/// Creates a session, with the shared state and the frame queue for the task that runs it.
fn session(
    peer: v1::Hello,
    max_calls: Option<usize>,
) -> (Session, Rc<Shared>, mpsc::UnboundedReceiver<Frame>) {
    let (event_sender, events) = mpsc::unbounded_channel();
    let (outgoing, outgoing_frames) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        events: RefCell::new(Some(event_sender)),
        ..Shared::default()
    });
    let out = Out {
        shared: shared.clone(),
        outgoing,
    };
    (
        session::Session {
            peer,
            max_calls,
            events,
            out,
        },
        shared,
        outgoing_frames,
    )
}
