//! Coordination between the dispatchers of a fleet: a small replicated state that a quorum of voters agrees on
//! ([`register`], [`state`]), leases that one dispatcher holds at a time ([`lease`]), commands that receivers execute
//! only while their sender holds its lease ([`fencing`]), and the members of the fleet ([`membership`]). [`member`]
//! combines these modules into the state machine that one dispatcher runs.
//!
//! Nothing here does I/O or reads a clock: a driver passes in messages and the time, and performs the returned outputs.
//! The clocks of different processes are never compared. `docs/duties.md` states the guarantees.

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

/// The name of a dispatcher or an engine. The name stays the same when its process restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(pub Arc<str>);

/// The address of a dispatcher's fleet service, in the format of the transport.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub Arc<str>);

/// The name of a lease, which stands for work that only one process may do at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseName(pub Arc<str>);

/// Identifies one process among all processes that have run under the same name; drawn at random when a process starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// The fencing token of a lease. Each acquisition of the lease increments the term, so that receivers can refuse
/// commands of an earlier holder.
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

/// Derives monotonic time from the readings of a clock that may be set back. All times are in milliseconds.
///
/// A lease that is measured on a clock would last too long if the clock were set back. A backward step therefore counts
/// as zero elapsed time, and [`MonotonicClock::advance`] reports the step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MonotonicClock {
    last_reading: Option<Ms>,
    now: Ms,
}

impl MonotonicClock {
    /// Advances to a new reading of the clock. Returns the monotonic time, and whether the clock was set back.
    pub fn advance(&mut self, reading: Ms) -> (Ms, bool) {
        let passed = self.last_reading.map_or(0.0, |last| reading - last);
        self.last_reading = Some(reading);
        self.now += passed.max(0.0);
        (self.now, passed < 0.0)
    }

    /// Converts a monotonic time to the reading that the clock shows at that time, provided that the clock is not set
    /// until then.
    pub fn to_reading(&self, time: Ms) -> Ms {
        self.last_reading.unwrap_or_default() + (time - self.now)
    }
}
