//! What many dispatchers agree on: a small value among a few voters ([`register`]), duties that one dispatcher
//! holds at a time ([`lease`]), acts that receivers obey only while their sender holds its duty ([`fencing`]), and
//! the roll-call of the fleet ([`membership`]). [`member`] is one dispatcher's part in all of it.
//!
//! Nothing here does I/O or reads a clock: callers hand in what came and the time, and do what comes out. No clock
//! is compared with another's; `docs/duties.md` says what is promised.

pub mod disruption_budget;
pub mod fault_injection;
pub mod fencing;
pub mod job_lease;
pub mod lease;
pub mod member;
pub mod membership;
pub mod register;
pub mod rollout;
pub mod rollout_analysis;
pub mod rollout_controller;
pub mod state;

use crate::interface::Ms;
use std::sync::Arc;

/// A dispatcher's lasting name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(pub Arc<str>);

/// Where a dispatcher's fleet service listens, as the transport takes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub Arc<str>);

/// Work that one dispatcher does at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseName(pub Arc<str>);

/// One process of a name: drawn anew at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Counts the holders of a duty; only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name(Arc::from(text))
    }
}

impl From<&str> for Address {
    fn from(text: &str) -> Self {
        Address(Arc::from(text))
    }
}

impl From<&str> for LeaseName {
    fn from(text: &str) -> Self {
        LeaseName(Arc::from(text))
    }
}

/// A clock's reading made fit to count with: it never goes back, and tells when the clock did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MonotonicClock {
    read: Option<Ms>,
    at: Ms,
}

impl MonotonicClock {
    /// Takes a reading. Gives this clock's own time, and whether the clock went back.
    pub fn take(&mut self, read: Ms) -> (Ms, bool) {
        let passed = self.read.map_or(0.0, |before| read - before);
        self.read = Some(read);
        self.at += passed.max(0.0);
        (self.at, passed < 0.0)
    }

    /// When the clock that is read will show this time.
    pub fn reading_at(&self, at: Ms) -> Ms {
        self.read.unwrap_or_default() + (at - self.at)
    }
}
