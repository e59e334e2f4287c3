//! What a stream of a connection to an engine is for.

use super::kv_states::{Held, ReleaseCall};
use cindercleat::interface::{AttemptId, Ms, RequestId};

/// What a stream of a connection is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamPurpose {
    Attempt(RequestId, AttemptId),
    HealthCheck {
        sent_at: Ms,
    },
    Reservation(RequestId, AttemptId),
    /// Asked to release what is held for a request, at whatever engine.
    Release(ReleaseCall),
    EngineRelease(EngineRelease),
    /// Asked for nothing but a sign that its engine runs.
    LivenessCheck,
    /// Given up here; whatever still comes is old.
    Abandoned,
}

/// A release that its engine has not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EngineRelease {
    pub held: Held,
    pub since: Ms,
}
