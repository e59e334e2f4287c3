//! gRPC (HTTP/2 by the crate h2, messages by prost) on any byte stream, on one thread.
//!
//! A connection is a [`Session`]: [`Frame`]s of the schema go out by [`Out::send`] and come in as [`Event`]s. A
//! frame that begins something (a request, a read, a probe) is a call of one of the schema's services, and frames
//! of the same stream number are its messages; a [`Body::Cancel`] is a reset. Whoever drives sessions needs to
//! know nothing of HTTP/2, and peers of any language need to know nothing of frames.
#![forbid(unsafe_code)]

mod call;
mod client;
mod details;
mod message;
mod server;
mod watch;

pub use client::connect;
pub use server::serve;

pub use cindercleat_protocol::session::{Event, Setup};

use cindercleat_protocol::session::{self, Io, Outbox, Wire};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;

/// Bytes under way on one stream.
const STREAM_WINDOW: u32 = 16 << 10;

/// The connection's window holds every stream's, so that one that is not read holds back no other.
fn connection_window(setup: &Setup) -> u32 {
    const MOST: u32 = (1 << 31) - 1;
    setup
        .most_calls
        .saturating_add(1)
        .saturating_mul(STREAM_WINDOW)
        .min(MOST)
}

/// One connection that speaks gRPC.
pub type Session = session::Session<Out>;

/// gRPC, for whoever drives sessions of any kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Grpc;

impl Wire for Grpc {
    type Out = Out;

    async fn serve<S: Io>(&self, io: S, setup: Setup) -> Result<Session, String> {
        serve(io, setup).await
    }

    async fn connect<S: Io>(&self, io: S, to: v1::Party, setup: Setup) -> Result<Session, String> {
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

    fn close(&self) {
        Out::close(self);
    }

    async fn over(&self) {
        Out::over(self).await;
    }
}

/// The sending side of a session; clones are the same one.
#[derive(Clone)]
pub struct Out {
    shared: Rc<Shared>,
}

/// What is to go out on a call.
#[allow(clippy::large_enum_variant)]
enum Said {
    Body(Body),
    Reset(u32),
}

/// What the requests of a connection share.
struct Shared {
    setup: Setup,
    events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
    /// Calls that are open: what is to go out on each.
    calls: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Said>>>,
    /// How to begin a call; none on a side that only answers.
    begin: RefCell<Option<client::Begin>>,
    /// How to ping the other side.
    pings: RefCell<Option<h2::PingPong>>,
    closing: Cell<bool>,
    leaving: Cell<bool>,
    /// The connection is over, and calls have had their time to take in what had come.
    dry: Cell<bool>,
    /// Calls of the other side that are not over.
    answering: Cell<usize>,
    close: Notify,
    over: Notify,
}

impl Shared {
    fn new(setup: Setup) -> (Rc<Self>, mpsc::UnboundedReceiver<Event>) {
        let (to, events) = mpsc::unbounded_channel();
        let shared = Shared {
            setup,
            events: RefCell::new(Some(to)),
            calls: RefCell::default(),
            begin: RefCell::default(),
            pings: RefCell::default(),
            closing: Cell::new(false),
            leaving: Cell::new(false),
            dry: Cell::new(false),
            answering: Cell::new(0),
            close: Notify::new(),
            over: Notify::new(),
        };
        (Rc::new(shared), events)
    }

    fn tell(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // Whoever dropped the session wants to hear no more.
            let _ = events.send(event);
        }
    }

    /// The connection is over: events end, and calls with them.
    fn end(&self) {
        self.events.borrow_mut().take();
        self.over.notify_waiters();
        self.calls.borrow_mut().clear();
        self.begin.borrow_mut().take();
        self.close();
    }

    fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }

    /// Asks whether the other side is there; a pong is told. One ping at a time: a second one while it is out
    /// asks nothing new.
    fn ping(self: &Rc<Self>) {
        let Some(mut ping) = self.pings.borrow_mut().take() else {
            return;
        };
        let shared = self.clone();
        spawn_local(async move {
            if ping.ping(h2::Ping::opaque()).await.is_ok() {
                shared.tell(Event::Frame(frame(0, Body::Pong(v1::Pong {}))));
            }
            *shared.pings.borrow_mut() = Some(ping);
        });
    }

    async fn ran_dry(&self) {
        while !self.dry.get() {
            self.close.notified().await;
        }
    }

    async fn left(&self) {
        while !self.leaving.get() {
            self.close.notified().await;
        }
    }

    async fn closed(&self) {
        while !self.closing.get() {
            self.close.notified().await;
        }
    }
}

/// Ends a connection whose session is given up before it began.
struct Unmet(Option<Rc<Shared>>);

impl Drop for Unmet {
    fn drop(&mut self) {
        if let Some(shared) = &self.0 {
            shared.close();
        }
    }
}

impl Out {
    /// Sends a frame; one that belongs to no call any more is passed over. Tells whether the connection was
    /// there to send it on; if not, nothing of it has gone out.
    pub fn send(&self, frame: Frame) -> bool {
        if self.shared.events.borrow().is_none() {
            return false;
        }
        let open = self.shared.calls.borrow().get(&frame.stream).cloned();
        match (open, frame.body) {
            (Some(call), Some(body)) => {
                let _ = call.send(Said::Body(body));
            }
            (None, Some(Body::Ping(_))) => self.shared.ping(),
            (None, Some(body)) => client::begin(&self.shared, frame.stream, body),
            (_, None) => {}
        }
        true
    }

    /// Whether both are of one connection.
    pub fn same(&self, other: &Out) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Ends a call of the other side by a reset with an HTTP/2 error code, in place of a last word.
    pub fn reset(&self, stream: u64, code: u32) {
        if let Some(call) = self.shared.calls.borrow().get(&stream) {
            let _ = call.send(Said::Reset(code));
        }
    }

    /// Takes no new call on this connection; those that are open go on, and it ends with the last. For a side
    /// that answers.
    pub fn go_away(&self) {
        self.shared.leaving.set(true);
        self.shared.close.notify_waiters();
    }

    /// Waits until the connection is over.
    pub async fn over(&self) {
        while self.shared.events.borrow().is_some() {
            self.shared.over.notified().await;
        }
    }

    /// Ends the connection: calls that are open are cut off.
    pub fn close(&self) {
        self.shared.close();
    }
}
