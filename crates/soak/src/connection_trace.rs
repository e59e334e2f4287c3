//! The trace that a proxy records of a connection to an engine: when bytes of the process arrived, when bytes of the
//! engine were forwarded, and when the process closed the connection. The audit checks attempts against these times. As
//! the trace shows which bytes have arrived, the checks need no allowance for data in transit.

use crate::Ms;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// An engine records the time of an answer after it has written the answer, so the proxy may forward the answer before
/// the recorded time. This is the most by which it can be before; [`ConnectionTrace::forwarded_at`] allows for it.
const RECORDING_DELAY: Ms = 2.0;

/// The trace of one connection.
#[derive(Debug, Default)]
pub struct ConnectionTrace {
    /// When the first byte of the present request arrived; `None` between an answer and the next request.
    request_from: Cell<Option<Ms>>,
    /// When the latest byte of the process arrived.
    request_until: Cell<Ms>,
    /// When bytes of the engine were forwarded, in order.
    answers_forwarded: RefCell<Vec<Ms>>,
    /// When the process closed or reset the connection, if it has.
    closed: Cell<Option<Ms>>,
}

impl ConnectionTrace {
    /// Records that bytes of the process have arrived.
    pub fn request_received(&self, now: Ms) {
        self.request_from.set(self.request_from.get().or(Some(now)));
        self.request_until.set(now);
    }

    /// Records that bytes of the engine have been forwarded to the process.
    pub fn answer_forwarded(&self, now: Ms) {
        self.request_from.set(None);
        self.answers_forwarded.borrow_mut().push(now);
    }

    /// Records that the process has closed or reset the connection.
    pub fn process_closed(&self, now: Ms) {
        self.closed.set(self.closed.get().or(Some(now)));
    }

    /// When the first and the latest byte of the present request arrived; `None` if no byte has arrived since the last
    /// answer.
    pub fn request(&self) -> Option<(Ms, Ms)> {
        Some((self.request_from.get()?, self.request_until.get()))
    }

    /// When data that the engine wrote at `written` was forwarded to the process; `None` if it was not.
    pub fn forwarded_at(&self, written: Ms) -> Option<Ms> {
        let answers = self.answers_forwarded.borrow();
        let first = answers.partition_point(|forwarded| *forwarded < written - RECORDING_DELAY);
        answers.get(first).map(|forwarded| forwarded.max(written))
    }

    /// When the process closed the connection, if it has.
    pub fn closed_at(&self) -> Option<Ms> {
        self.closed.get()
    }
}

/// The traces of an engine's connections, by the peer address that the engine sees: the proxy's own address on that
/// connection. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTraces {
    by_peer: Rc<RefCell<HashMap<SocketAddr, Rc<ConnectionTrace>>>>,
}

impl ConnectionTraces {
    /// Adds the trace of a new connection.
    pub fn add(&self, peer: SocketAddr, trace: Rc<ConnectionTrace>) {
        self.by_peer.borrow_mut().insert(peer, trace);
    }

    /// The trace of the connection with this peer address.
    pub fn get(&self, peer: SocketAddr) -> Option<Rc<ConnectionTrace>> {
        self.by_peer.borrow().get(&peer).cloned()
    }
}
