//! The calls that streams on connections to engines carry, as recorded by the dispatcher.

use super::kv_states::{HeldState, ReleaseCall};
use cindercleat::connection_pool::StreamKind;
use cindercleat::interface::{AttemptId, Ms, RequestId};

/// The kind of call that a stream on an engine connection carries, with the data that is needed when the call ends.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamPurpose {
    /// A prefill or decode attempt of a request.
    Attempt(RequestId, AttemptId),
    /// A health check, see [`Dispatcher::check_health`](super::Dispatcher::check_health).
    HealthCheck {
        /// When the health check was sent, in milliseconds.
        sent_at: Ms,
    },
    /// Reserves a slot for the decode attempt that follows the given prefill attempt.
    Reservation(RequestId, AttemptId),
    /// Releases the KV state of a request over HTTP/1. The call may be sent to any engine, which passes the release
    /// on to the engine that holds the state.
    Release(ReleaseCall),
    /// Releases a KV state over a multiplexed connection. The called engine itself holds the state.
    EngineRelease(EngineRelease),
    /// Checks whether the engine runs; the call has no other effect.
    LivenessCheck,
    /// The dispatcher has abandoned the call, for example a cancelled attempt. Messages on the stream are ignored,
    /// except that the KV state of a prefill that ends late is released.
    Abandoned,
}

impl StreamPurpose {
    /// What the stream carries, from which its connection is chosen.
    pub fn kind(&self) -> StreamKind {
        match self {
            StreamPurpose::Attempt(..)
            | StreamPurpose::Reservation(..)
            | StreamPurpose::Abandoned => StreamKind::Attempt,
            StreamPurpose::HealthCheck { .. }
            | StreamPurpose::Release(_)
            | StreamPurpose::EngineRelease(_)
            | StreamPurpose::LivenessCheck => StreamKind::Control,
        }
    }
}

/// A release over a multiplexed connection that the engine has not confirmed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EngineRelease {
    pub held: HeldState,
    /// When the release was requested, in milliseconds.
    pub since: Ms,
}
