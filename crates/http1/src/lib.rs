//! The platform's protocol, HTTP/1.1 with JSON and event streams, as sessions of the dispatcher's frames: for
//! clients ([`server`]), engines ([`engine_client`]) and discovery ([`discovery_client`]).
//!
//! [`framing`] is the part without I/O. A connection carries one request at a time, so a session is one request
//! that reads, writes and waits by turns. Names and forms are in [`wire_names`]; nothing is decided here.
#![forbid(unsafe_code)]

mod arrivals;
mod discovery_client;
mod engine_client;
pub mod event_stream;
pub mod framing;
mod list;
mod server;
pub mod wire_names;

pub use list::{parse as parse_list, Malformed};

use cindercleat_protocol::session::{self, Event, Io, Outbox, Setup, Wire};
use cindercleat_protocol::{v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// One connection that speaks the platform's protocol.
pub type Session = session::Session<Out>;

/// Bounds, for all connections of one [`Http1`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The largest body of a client, in bytes.
    pub most_body: usize,
    /// The largest chunk of an engine's answer, and the largest answer that is no stream, in bytes.
    pub most_chunk: usize,
    /// The largest list, in bytes.
    pub most_list: usize,
    /// Bytes of all clients' bodies together; one that would go over is rejected.
    pub most_bodies: usize,
    /// How long the list feed may wait with an answer, in whole milliseconds.
    pub feed_wait_ms: u32,
    /// After the last answer on a connection: how long, in milliseconds, and how many bytes of what still comes
    /// are taken before it is closed.
    pub drain_ms: u32,
    pub most_drained: usize,
    /// How long, in milliseconds, a client may take nothing of an answer that is being written.
    pub stall_ms: u32,
}

/// The platform's protocol; clones share their bounds.
#[derive(Clone, Debug)]
pub struct Http1 {
    bounds: Bounds,
    /// Bytes of clients' bodies held now.
    held: Rc<Cell<usize>>,
}

impl Http1 {
    pub fn new(bounds: Bounds) -> Self {
        Http1 {
            bounds,
            held: Rc::default(),
        }
    }

    /// Bytes of clients' bodies held now.
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

impl Wire for Http1 {
    type Out = Out;

    async fn serve<S: Io>(&self, io: S, _: Setup) -> Result<Session, String> {
        Ok(server::start(io, self.clone()))
    }

    async fn connect<S: Io>(&self, io: S, to: v1::Party, setup: Setup) -> Result<Session, String> {
        match to {
            v1::Party::Engine => Ok(engine_client::start(io, self.bounds, setup)),
            v1::Party::Feed => Ok(discovery_client::start(io, self.bounds, setup)),
            _ => Err("not spoken on this wire".to_owned()),
        }
    }
}

/// What the two halves of a session share.
#[derive(Debug, Default)]
struct Shared {
    closing: Cell<bool>,
    leaving: Cell<bool>,
    over: Cell<bool>,
    changed: Notify,
    events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
}

impl Shared {
    fn tell(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // Whoever dropped the session wants to hear no more.
            let _ = events.send(event);
        }
    }

    fn say(&self, stream: u64, body: Body) {
        self.tell(Event::Frame(cindercleat_protocol::frame(stream, body)));
    }

    async fn closed(&self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }

    async fn left(&self) {
        while !self.leaving.get() && !self.closing.get() {
            self.changed.notified().await;
        }
    }

    fn end(&self) {
        self.over.set(true);
        self.events.borrow_mut().take();
        self.changed.notify_waiters();
    }
}

/// The sending side of a session; clones are the same one.
#[derive(Clone, Debug)]
pub struct Out {
    shared: Rc<Shared>,
    said: mpsc::UnboundedSender<Frame>,
}

impl Outbox for Out {
    fn send(&self, frame: Frame) -> bool {
        !self.shared.over.get() && self.said.send(frame).is_ok()
    }

    fn go_away(&self) {
        self.shared.leaving.set(true);
        self.shared.changed.notify_waiters();
    }

    fn close(&self) {
        self.shared.closing.set(true);
        self.shared.changed.notify_waiters();
    }

    async fn over(&self) {
        while !self.shared.over.get() {
            self.shared.changed.notified().await;
        }
    }
}

/// A session, and the ends of it that its request keeps.
fn session(
    them: v1::Hello,
    limit: Option<usize>,
) -> (Session, Rc<Shared>, mpsc::UnboundedReceiver<Frame>) {
    let (to, events) = mpsc::unbounded_channel();
    let (said, saying) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        events: RefCell::new(Some(to)),
        ..Shared::default()
    });
    let out = Out {
        shared: shared.clone(),
        said,
    };
    (
        session::Session {
            them,
            limit,
            events,
            out,
        },
        shared,
        saying,
    )
}
