//! Actions: what the decision logic asks a dispatcher's driver to do.

use super::{AttemptId, DispatcherId, EngineId, Ms, RequestId, TimerId};

/// An instruction to the driver. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an engine: for a prefill if the request holds no KV state, else for a
    /// decode.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The engine that gets the attempt.
        engine: EngineId,
        /// The instant at which the attempt times out; `None` leaves it to the client's deadline.
        until: Option<Ms>,
    },
    /// Cancels an attempt; its end is reported as [`Event::Ended`](super::Event::Ended).
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt to cancel, which is in flight.
        attempt: AttemptId,
    },
    /// Answers the client that the request will not be served and that a retry is safe.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// Milliseconds after which the client may send the request again; `None` if it is not
        /// asked to wait.
        retry_after: Option<Ms>,
    },
    /// Answers the client that the request failed: it may have run, and a retry may do harm.
    Fail {
        /// The request to fail.
        request: RequestId,
    },
    /// Releases the KV state of a request, even while an undelivered attempt is in flight.
    Release {
        /// The request that holds the KV state.
        request: RequestId,
    },
    /// Asks the attempt's engine to confirm that it runs;
    /// [`Event::Delivered`](super::Event::Delivered) reports that it does.
    Confirm {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt in flight whose engine is asked.
        attempt: AttemptId,
    },
    /// Releases the KV state of a request, unless its attempt in flight waits for it.
    ReleaseInDoubt {
        /// The request that holds the KV state.
        request: RequestId,
    },
    /// Reserves a slot at a decode engine while the prefill runs. The decision logic never returns
    /// it.
    Reserve {
        /// The request whose prefill runs.
        request: RequestId,
        /// The decode engine where the slot is reserved.
        engine: EngineId,
    },
    /// Ends an answer in good order before it is complete, so that the client requests the rest
    /// from another dispatcher. The decision logic never returns it.
    Migrate {
        /// The request whose answer is ended.
        request: RequestId,
    },
    /// Sets a timer, which comes back as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Milliseconds from now, 0 or more.
        delay: Ms,
        /// The id that the timer's event carries.
        timer: TimerId,
    },
    /// Asks an engine for its load; [`Event::HealthChecked`](super::Event::HealthChecked) reports
    /// the answer.
    HealthCheck {
        /// The engine to ask.
        engine: EngineId,
    },
    /// Closes the idle connections to an engine. The decision logic never returns it.
    CloseIdle {
        /// The engine whose connections are closed.
        engine: EngineId,
    },
    /// Sends a message to other dispatchers. The decision logic never returns it.
    SendGossip {
        /// The receiver; `None` sends the message to all other dispatchers.
        to: Option<DispatcherId>,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Requests the full list of endpoints. The decision logic never returns it.
    FetchEndpoints,
    /// Starts or stops watching changes of the list of endpoints. The decision logic never returns
    /// it.
    WatchEndpoints {
        /// Whether to watch from now on.
        on: bool,
    },
    /// Writes a line to the log. The decision logic never returns it.
    Log {
        /// The text of the line.
        text: String,
    },
}
