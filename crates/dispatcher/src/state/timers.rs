//! The timer queue. Timers fire in the order of their instants; timers of the same instant fire in the order
//! in which they were set.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RequestId, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What a timer does when it fires. Timers are never cancelled: each handler checks whether its timer still
/// applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TimerKind {
    /// Passes a timer to the routing logic, which has set it.
    Control(TimerId),
    /// Times out an attempt at the instant that the routing logic has set.
    AttemptTimeout(RequestId, AttemptId),
    /// Fails a request that has no answer and no stream at its deadline.
    Deadline(RequestId),
    /// Checks whether a stream has stalled.
    StreamStall(RequestId, AttemptId),
    /// Pings, closes or drains a client connection.
    Client(ClientConnectionId),
    /// Dials, pings or closes connections to an engine.
    EngineConnections(EngineId),
    /// Times out a health check that has no answer.
    HealthCheckTimeout(EngineConnectionId, StreamId),
    /// Closes a connection if an abandoned stream has not ended, or a call on it has no answer.
    StreamTimeout(EngineConnectionId, StreamId),
    /// Checks whether the KV state of a request was held for too long.
    HeldStateCheck(RequestId),
    /// Sends unconfirmed releases to an engine again.
    EngineReleaseRetry(EngineId),
    /// Continues the release of the KV state of a request.
    ReleaseCheck(RequestId),
    /// Ends the accept period of a stop: new requests are rejected from then on.
    StopAcceptPeriodEnd,
    /// Migrates open streams to other dispatchers during a stop.
    StopMigration,
    /// Ends the grace period of a stop: open requests are answered.
    StopGrace,
    /// Completes a stop even if releases are still unconfirmed.
    StopReleases,
}

/// An instant in milliseconds with a total order, for use as a map key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedInstant(Ms);

impl Eq for OrderedInstant {}

impl Ord for OrderedInstant {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedInstant {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// All timers of a dispatcher, ordered by instant.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(OrderedInstant, u64), TimerKind>,
    /// How many timers were set so far; orders timers of the same instant.
    set_count: u64,
}

impl Timers {
    /// Sets a timer for the instant `at`, in milliseconds.
    pub fn set(&mut self, at: Ms, due: TimerKind) {
        self.set_count += 1;
        self.queue.insert((OrderedInstant(at), self.set_count), due);
    }

    /// When the earliest timer is due, in milliseconds; `None` if no timer is set.
    pub fn next_at(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|((at, _), _)| at.0)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn take_due(&mut self, now: Ms) -> Option<TimerKind> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 .0 <= now).then(|| entry.remove())
    }

    /// The number of timers in the queue, including those that no longer apply.
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
