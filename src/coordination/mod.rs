//! Coordination between the dispatchers of a fleet: a small replicated state with a quorum of voters ([`register`],
//! [`state`]), leases that one dispatcher holds at a time ([`lease`]), commands that receivers execute only while
//! their sender holds its lease ([`fencing`]), and the members of the fleet ([`membership`]). [`member`] is one
//! dispatcher's part in all of it.
//!
//! Nothing here does I/O or reads a clock: a driver hands in messages and the time, and carries out what comes out.
//! No clock is compared with another's. `docs/duties.md` says what is guaranteed.

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

/// The name of a dispatcher or an engine, the same for all of its processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(pub Arc<str>);

/// Where a dispatcher's fleet service listens, in the transport's form.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub Arc<str>);

/// The name of a lease: of work that one dispatcher does at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseName(pub Arc<str>);

/// One process of a name, drawn at random at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// The fencing token of a lease: grows with each acquisition, so commands of an earlier holder can be told from those
/// of a later one.
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

/// Time that never goes back, counted from a clock that may. All times in milliseconds.
///
/// Guards against a clock that is set back: a lease that is counted on it would last too long. The time that passed
/// is counted as none, and the caller is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MonotonicClock {
    last_reading: Option<Ms>,
    now: Ms,
}

impl MonotonicClock {
    /// Takes a reading of the clock. Gives the monotonic time, and whether the clock went back.
    pub fn take(&mut self, reading: Ms) -> (Ms, bool) {
        let passed = self.last_reading.map_or(0.0, |last| reading - last);
        self.last_reading = Some(reading);
        self.now += passed.max(0.0);
        (self.now, passed < 0.0)
    }

    /// What the clock will read at a monotonic time.
    pub fn reading_at(&self, at: Ms) -> Ms {
        self.last_reading.unwrap_or_default() + (at - self.now)
    }
}
