//! Timers, earliest first; those of one instant in the order in which they were set.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RequestId, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What a timer is for. Timers are not taken back: who is called looks whether there is still cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Due {
    Control(TimerId),
    /// The module's time for an attempt has passed.
    AttemptTimeout(RequestId, AttemptId),
    /// The client's own time for a request has passed.
    Deadline(RequestId),
    /// A stream may have stalled.
    StreamStall(RequestId, AttemptId),
    /// Something falls due for a client's connection.
    Client(ClientConnectionId),
    /// Something falls due for the connections to this engine.
    EngineConnections(EngineId),
    HealthCheckTimeout(EngineConnectionId, StreamId),
    /// The engine should have ended what was called off.
    StreamTimeout(EngineConnectionId, StreamId),
    /// What this request holds may have lain for too long.
    HeldStateCheck(RequestId),
    /// States there whose release was lost are let go again.
    EngineReleaseRetry(EngineId),
    /// The release of this request's state is looked at.
    ReleaseCheck(RequestId),
    /// What comes from now on is not taken any more.
    StopNotice,
    /// Streams are to go on elsewhere.
    StopMigration,
    StopGrace,
    /// Releases after a stop have had their time.
    StopReleases,
}

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

#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeMap<(At, u64), Due>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Ms, due: Due) {
        self.set += 1;
        self.queue.insert((At(at), self.set), due);
    }

    pub fn next_at(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|((at, _), _)| at.0)
    }

    pub fn take_due(&mut self, now: Ms) -> Option<Due> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 .0 <= now).then(|| entry.remove())
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
