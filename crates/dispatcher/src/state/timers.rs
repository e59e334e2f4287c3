//! The timer queue. Timers fire in the order of their instants; timers of the same instant fire in the order
//! in which they were set.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RequestId, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The action of a timer. Timers are never cancelled; the handler of each action checks whether the timer still
/// applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TimerKind {
    /// Reports to the routing logic that a timer it has set is due.
    Control(TimerId),
    /// Times out an attempt, at the instant set by the routing logic or at the request's deadline.
    AttemptTimeout(RequestId, AttemptId),
    /// Fails a request that has neither an answer nor a token stream at its deadline.
    Deadline(RequestId),
    /// Checks whether a token stream has made no progress for the stall timeout.
    StreamStall(RequestId, AttemptId),
    /// Pings, closes or drains a client connection.
    Client(ClientConnectionId),
    /// Dials, pings or closes connections to an engine.
    EngineConnections(EngineId),
    /// Times out a health check that is not answered.
    HealthCheckTimeout(EngineConnectionId, StreamId),
    /// Closes a connection if an abandoned stream has not ended, or a call on it has no answer.
    StreamTimeout(EngineConnectionId, StreamId),
    /// Checks whether the KV state of a request was held for too long, and releases it if so.
    HeldStateCheck(RequestId),
    /// Sends the pending releases to the engine that holds the KV states.
    EngineReleaseRetry(EngineId),
    /// Continues the release of a request's KV state over HTTP/1, usually with further calls.
    ReleaseCheck(RequestId),
    /// Ends the accept period of a stop: new requests are rejected from then on.
    StopAcceptPeriodEnd,
    /// Migrates open streams to other dispatchers during a stop.
    StopMigration,
    /// Ends the grace period of a stop. Requests that are still open get their final answer.
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

/// All timers of a dispatcher, ordered by the instant at which they are due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(OrderedInstant, u64), TimerKind>,
    /// The number of timers set so far. It orders timers that are due at the same instant.
    set_count: u64,
}

impl Timers {
    /// Sets a timer for the instant `at`, in milliseconds.
    pub fn set(&mut self, at: Ms, kind: TimerKind) {
        self.set_count += 1;
        self.queue
            .insert((OrderedInstant(at), self.set_count), kind);
    }

    /// When the earliest timer is due, in milliseconds; `None` if no timer is set.
    pub fn next_timer_at(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|((at, _), _)| at.0)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn take_due_timer(&mut self, now: Ms) -> Option<TimerKind> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 .0 <= now).then(|| entry.remove())
    }

    /// The number of timers in the queue, including those that no longer apply.
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
