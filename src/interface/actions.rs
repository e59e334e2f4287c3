//! Actions: what the decision logic asks a dispatcher's driver to do.

use super::{AttemptId, DispatcherId, EngineId, Ms, RequestId, TimerId};

/// An instruction to the driver, which carries out actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an engine. The attempt is a decode if an engine holds the KV state of the
    /// request, otherwise a prefill.
    StartAttempt {
        /// The request to send. The driver holds its content; the decision logic knows only the
        /// fields of [`Arrival`](super::Arrival).
        request: RequestId,
        /// The engine to send it to, by its name in the list of endpoints.
        engine: EngineId,
        /// The instant at which the attempt times out; `None` means at the client's deadline.
        until: Option<Ms>,
    },
    /// Cancels an attempt. The driver reports its end as [`Event::Ended`](super::Event::Ended).
    Cancel {
        /// The request that the attempt belongs to; it may already be finished.
        request: RequestId,
        /// The attempt to cancel, which is still in flight.
        attempt: AttemptId,
    },
    /// Answers the client that the request will not be served and that a retry is safe.
    Reject {
        /// The request to reject. Either it has not run, or running it again does no harm.
        request: RequestId,
        /// Milliseconds after which the client may send the request again; `None` if
        /// the client is not asked to wait.
        retry_after: Option<Ms>,
    },
    /// Answers the client that the request failed: it may have run, and a retry may do harm.
    Fail {
        /// The request to fail. No further attempt of it is started.
        request: RequestId,
    },
    /// Releases the KV state of a request, even if an attempt that may not have reached its engine
    /// is still in flight.
    Release {
        /// The request whose prefill produced the KV state.
        request: RequestId,
    },
    /// Asks the attempt's engine to confirm that the engine is running. The driver reports the
    /// confirmation as [`Event::Delivered`](super::Event::Delivered).
    ConfirmDelivery {
        /// The request whose decode may not have reached its engine.
        request: RequestId,
        /// The decode attempt in flight whose engine is asked.
        attempt: AttemptId,
    },
    /// Releases the KV state of a request, unless an attempt of that request is still waiting for
    /// the KV state.
    ReleaseUnlessClaimed {
        /// The request whose prefill produced the KV state.
        request: RequestId,
    },
    /// Reserves a slot at a decode engine while the prefill of the request runs. Drivers support
    /// this action; the current decision logic does not use it.
    Reserve {
        /// The request whose prefill is in flight.
        request: RequestId,
        /// The decode engine where the slot is reserved.
        engine: EngineId,
    },
    /// Ends a streamed answer early and without an error, so that the client requests the rest from
    /// another dispatcher. Drivers support this action; the current decision logic does not use it.
    Migrate {
        /// The request whose answer is ended early.
        request: RequestId,
    },
    /// Sets a timer. The driver reports its expiry as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Milliseconds until the timer expires, 0 or more.
        delay: Ms,
        /// The id by which [`Event::Timer`](super::Event::Timer) identifies this timer.
        timer: TimerId,
    },
    /// Sends a health check, which asks an engine for its load. The driver reports the result as
    /// [`Event::HealthChecked`](super::Event::HealthChecked).
    HealthCheck {
        /// The engine that the health check is sent to.
        engine: EngineId,
    },
    /// Closes the idle connections to an engine. Drivers support this action; the current decision
    /// logic does not use it.
    CloseIdle {
        /// The engine whose connections without open streams are closed.
        engine: EngineId,
    },
    /// Sends a message to other dispatchers. Drivers support this action; the current decision
    /// logic does not use it.
    SendGossip {
        /// The receiver; `None` sends the message to all other dispatchers.
        to: Option<DispatcherId>,
        /// The encoded message, which drivers do not interpret.
        bytes: Vec<u8>,
    },
    /// Requests the full list of endpoints from discovery. Drivers support this action; the current
    /// decision logic does not use it.
    FetchEndpoints,
    /// Starts or stops watching discovery for changes to the list of endpoints. Drivers support
    /// this action; the current decision logic does not use it.
    WatchEndpoints {
        /// `true` starts the watch, `false` stops it.
        on: bool,
    },
    /// Writes a line to the dispatcher's log. Drivers support this action; the current decision
    /// logic does not use it.
    Log {
        /// The text to log. Drivers may replace line breaks in it.
        text: String,
    },
}
