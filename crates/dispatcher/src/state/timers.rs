//! Timers, earliest first; those of one instant in the order in which they were set.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RequestId, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What a timer is for. Timers are not cancelled: who is called checks whether there is still cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// A timer that the decisions have set.
    Control(TimerId),
    /// The time that the decisions gave an attempt has passed.
    AttemptTimeout(RequestId, AttemptId),
    /// The deadline of a request has passed.
    Deadline(RequestId),
    /// A stream may have stalled.
    StreamStall(RequestId, AttemptId),
    /// Something is due for a client's connection.
    Client(ClientConnectionId),
    /// Something is due for the connections to this engine.
    EngineConnections(EngineId),
    /// A health check was not answered in time.
    HealthCheckTimeout(EngineConnectionId, StreamId),
    /// An abandoned stream should have ended, or a call on it should have been answered.
    StreamTimeout(EngineConnectionId, StreamId),
    /// The KV state of this request may have been held for too long.
    HeldStateCheck(RequestId),
    /// Releases to this engine that were lost are sent again.
    EngineReleaseRetry(EngineId),
    /// The release of this request's KV state is continued.
    ReleaseCheck(RequestId),
    /// The notice of a stop is over: new requests are rejected.
    StopNotice,
    /// In a stop, streams are migrated to other dispatchers.
    StopMigration,
    /// The grace of a stop is over: what is open is answered.
    StopGrace,
    /// Releases after the grace of a stop have had their time.
    StopReleases,
}

/// An instant in milliseconds, as a key: ordered in total.
#[derive(Clone, Copy, Debug, PartialEq)]
struct At(Ms);

impl Eq for At {}

impl Ord for At {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// All timers of a dispatcher.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(At, u64), Due>,
    /// How many were set: orders those of one instant.
    set_count: u64,
}

impl Timers {
    /// Sets a timer for the instant `at`, in milliseconds.
    pub fn set(&mut self, at: Ms, due: Due) {
        self.set_count += 1;
        self.queue.insert((At(at), self.set_count), due);
    }

    /// When the earliest timer is due.
    pub fn next_at(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|((at, _), _)| at.0)
    }

    /// Removes the earliest timer, if it is due.
    pub fn take_due(&mut self, now: Ms) -> Option<Due> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 .0 <= now).then(|| entry.remove())
    }

    /// How many are set, also without cause.
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
