//! What a dispatcher is to do.

use super::{AttemptId, DispatcherId, EngineId, Ms, RequestId, TimerId};

/// Something to be done; actions are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an engine: to be prefilled if no KV state is held for it, else to be
    /// decoded.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// The instant at which the attempt times out; none leaves it to the client's deadline.
        until: Option<Ms>,
    },
    /// Cancels an attempt; its end is reported as [`Event::Ended`](super::Event::Ended).
    Cancel {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Answers that the request will not be served and that a retry is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// Milliseconds after which the client may send it again, if it is asked to wait.
        retry_after: Option<Ms>,
    },
    /// Answers that the request failed: it may have run, and a retry may do harm.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Releases the KV state of a request, also while an attempt is in flight that counts as not
    /// arrived.
    Release {
        /// The request.
        request: RequestId,
    },
    /// Asks the attempt's engine to confirm that it runs;
    /// [`Event::Delivered`](super::Event::Delivered) says that it does.
    Confirm {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Releases the KV state of a request, unless its attempt in flight waits for it.
    ReleaseInDoubt {
        /// The request.
        request: RequestId,
    },
    /// Reserves a place at a decode engine while the prefill runs. The decisions do not use it.
    Reserve {
        /// The request.
        request: RequestId,
        /// The decode engine.
        engine: EngineId,
    },
    /// Ends an answer in good order, so that its client asks for the rest elsewhere. The decisions do
    /// not use it.
    Migrate {
        /// The request.
        request: RequestId,
    },
    /// Sets a timer, which comes back as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Milliseconds from now, 0 or more.
        delay: Ms,
        /// The timer's id.
        timer: TimerId,
    },
    /// Asks an engine for its load; [`Event::HealthChecked`](super::Event::HealthChecked) answers.
    HealthCheck {
        /// The engine.
        engine: EngineId,
    },
    /// Closes the idle connections to an engine. The decisions do not use it.
    CloseIdle {
        /// The engine.
        engine: EngineId,
    },
    /// Sends a message to other dispatchers. The decisions do not use it.
    SendGossip {
        /// One dispatcher; none means all others.
        to: Option<DispatcherId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Asks for the whole list of endpoints. The decisions do not use it.
    FetchEndpoints,
    /// Begins or ends to follow changes of the list of endpoints. The decisions do not use it.
    WatchEndpoints {
        /// Whether to follow them.
        on: bool,
    },
    /// Writes a line to the log. The decisions do not use it.
    Log {
        /// The line.
        text: String,
    },
}
