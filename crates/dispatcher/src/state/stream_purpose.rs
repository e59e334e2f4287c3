//! The purposes of streams on connections to engines.

use super::kv_states::{HeldState, ReleaseCall};
use cindercleat::interface::{AttemptId, Ms, RequestId};

/// The call that a stream on an engine connection carries.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamPurpose {
    /// A prefill or decode attempt of a request.
    Attempt(RequestId, AttemptId),
    /// A health check.
    HealthCheck {
        /// When the health check was sent, in milliseconds.
        sent_at: Ms,
    },
    /// Reserves a slot for the decode attempt that follows the given prefill attempt.
    Reservation(RequestId, AttemptId),
    /// Releases the KV state of a request. Any engine accepts the call and passes it on to the engine that holds
    /// the state.
    Release(ReleaseCall),
    /// Releases a KV state that the called engine holds.
    EngineRelease(EngineRelease),
    /// Checks only whether the engine runs.
    LivenessCheck,
    /// Abandoned by this side. Messages are ignored, except for the KV state of a prefill that ends late.
    Abandoned,
}

/// A release that the engine which holds the KV state has not confirmed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EngineRelease {
    pub held: HeldState,
    /// When the release was requested, in milliseconds.
    pub since: Ms,
}
