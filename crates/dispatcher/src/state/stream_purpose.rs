//! What a stream of a connection to an engine is for.

use super::kv_states::{Held, ReleaseCall};
use cindercleat::interface::{AttemptId, Ms, RequestId};

/// What a stream of a connection is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamPurpose {
    /// An attempt of a request.
    Attempt(RequestId, AttemptId),
    /// A health check.
    HealthCheck {
        /// When it was sent, in milliseconds.
        sent_at: Ms,
    },
    /// Asked to reserve a place for the decode attempt that follows a prefill.
    Reservation(RequestId, AttemptId),
    /// Asked to release the KV state of a request, wherever it is held.
    Release(ReleaseCall),
    /// Asked to release a KV state that this engine holds.
    EngineRelease(EngineRelease),
    /// Asked only to find out whether the engine runs.
    LivenessCheck,
    /// Given up here: what still comes is ignored, except for the KV state of a prefill that ends late.
    Abandoned,
}

/// A release that its engine has not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EngineRelease {
    pub held: Held,
    /// Since when the release is wanted, in milliseconds.
    pub since: Ms,
}
