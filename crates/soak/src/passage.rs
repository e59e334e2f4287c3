//! What a proxy saw of one connection to an engine: when the bytes of its process and of its engine were passed on, and
//! when its process closed it. The audit judges by it, so that what is under way needs no allowance.

use crate::Ms;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// An answer is noted as written by its engine at most so long after the proxy has passed it on.
const NOTED_LATE: Ms = 2.0;

/// One connection, as its proxy saw it.
#[derive(Debug, Default)]
pub struct Passage {
    request_from: Cell<Option<Ms>>,
    request_until: Cell<Ms>,
    answered: RefCell<Vec<Ms>>,
    closed: Cell<Option<Ms>>,
}

impl Passage {
    /// Bytes have come from the process.
    pub fn request_came(&self, now: Ms) {
        self.request_from.set(self.request_from.get().or(Some(now)));
        self.request_until.set(now);
    }

    /// Bytes of the engine have gone on to the process.
    pub fn answer_passed(&self, now: Ms) {
        self.request_from.set(None);
        self.answered.borrow_mut().push(now);
    }

    /// The process has closed or reset the connection.
    pub fn process_closed(&self, now: Ms) {
        self.closed.set(self.closed.get().or(Some(now)));
    }

    /// When the first and the last byte of the present request came from the process.
    pub fn request(&self) -> Option<(Ms, Ms)> {
        Some((self.request_from.get()?, self.request_until.get()))
    }

    /// When something that the engine wrote at an instant had gone on to the process; none if it has not.
    pub fn passed_on(&self, written: Ms) -> Option<Ms> {
        let answered = self.answered.borrow();
        let at = answered.partition_point(|passed| *passed < written - NOTED_LATE);
        answered.get(at).map(|passed| passed.max(written))
    }

    /// When the process closed it, if it has.
    pub fn closed_at(&self) -> Option<Ms> {
        self.closed.get()
    }
}

/// The passages behind an engine's connections, by the address that the engine sees; clones are the same.
#[derive(Clone, Debug, Default)]
pub struct Passages {
    all: Rc<RefCell<HashMap<SocketAddr, Rc<Passage>>>>,
}

impl Passages {
    pub fn add(&self, seen_as: SocketAddr, passage: Rc<Passage>) {
        self.all.borrow_mut().insert(seen_as, passage);
    }

    pub fn get(&self, seen_as: SocketAddr) -> Option<Rc<Passage>> {
        self.all.borrow().get(&seen_as).cloned()
    }
}
