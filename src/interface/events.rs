//! Events: what a dispatcher's driver reports to the decision logic.

use super::{
    AttemptId, CellId, DispatcherId, EngineId, EngineKindId, Ms, RequestClassId, RequestId,
    SessionId, SharedPrefixId, TenantId, TimerId, ZoneId,
};

/// A load report of an engine. A field is `None` if the engine does not report that value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that the engine is working on.
    pub in_flight: Option<f64>,
    /// The number of requests that wait in the engine's queue; `None` if the engine does not report it.
    pub queued_requests: Option<f64>,
    /// Fraction of the engine's slots in use.
    pub slots_used: Option<f64>,
    /// Fraction of the engine's KV memory in use.
    pub memory_held: Option<f64>,
    /// Thousands of prompt tokens that wait at the engine.
    pub waiting_kilotokens: Option<f64>,
}

/// The status of an engine according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The engine accepts new attempts.
    Ready,
    /// The engine finishes its attempts and accepts no new ones.
    Draining,
    /// The engine no longer exists.
    Gone,
}

/// One entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The engine's name, which stays the same when the engine restarts.
    pub engine: EngineId,
    /// The zone in which the engine runs. Some idempotency scopes are limited to one zone.
    pub zone: ZoneId,
    /// The kind of the engine, which determines whether it serves prefills, decodes or both.
    pub kind: EngineKindId,
    /// The cell in which the engine runs. A KV state is preferably taken over within its cell.
    pub cell: CellId,
    /// Whether the engine accepts new attempts.
    pub status: EndpointStatus,
    /// The engine's size relative to other engines of its kind; 1 is the usual size. The decision
    /// logic does not read it.
    pub weight: f64,
    /// When the engine's process last started, on the driver's clock; `None` if it started so long
    /// ago that it is warm.
    pub started: Option<Ms>,
}

/// The content of an update of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that have changed. All other known entries stay as they are.
    Delta,
    /// The full list: an engine that is not in it is gone.
    Snapshot,
    /// The full list as an earlier process of this dispatcher stored it; it may be outdated.
    Cached,
    /// No entries: discovery rejected the call for the list.
    Rejected,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was received, or the engine answered the health check.
    Succeeded,
    /// The engine reported a failure; the request may have run.
    Failed,
    /// The engine rejected the attempt before it ran.
    Overloaded,
    /// The attempt timed out; the request may have run.
    TimedOut,
    /// No connection to the engine could be used; the request has not run.
    Unreachable,
    /// The connection was lost; the request may have run.
    ConnectionLost,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// Nothing was sent; the request has not run.
    NotSent,
    /// The prompt is computed, and the engine holds its KV state.
    PrefillDone,
}

/// A request on its arrival from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The id that the driver has given the request.
    pub request: RequestId,
    /// The request class, which determines retry safety and the latency objective.
    pub request_class: RequestClassId,
    /// The tenant that sent the request, if the settings name tenants.
    pub tenant: Option<TenantId>,
    /// The session that the request belongs to. Prompts of one session extend each other, so they
    /// are placed at the same engines.
    pub session: SessionId,
    /// Milliseconds from the arrival until the client stops waiting.
    pub time_to_deadline: Ms,
    /// The expected duration of the answer in milliseconds; `None` if the client does not state it.
    /// The decision logic does not read it.
    pub answer_hint: Option<Ms>,
    /// The prefix that the prompt shares with prompts of other sessions; `None` if it shares none.
    pub shared_prefix: Option<SharedPrefixId>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: f64,
    /// Length of the shared prefix in tokens; 0 without a shared prefix.
    pub shared_tokens: f64,
    /// Upper limit of the answer's length in tokens.
    pub max_tokens: f64,
    /// Whether the client sends this request again because an earlier one was rejected or failed.
    pub retried: bool,
    /// Whether the client requests the rest of an answer whose stream ended early.
    pub resumed: bool,
}

/// Something that the driver has observed. Events are reported in the order in which they happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of endpoints, or changes to it, were received.
    EndpointsUpdated {
        /// How `endpoints` relates to the full list of endpoints.
        kind: EndpointUpdateKind,
        /// The received entries, at most one per engine.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request.
    Arrived(Arrival),
    /// The client has disconnected, or the driver has answered the request itself. The request
    /// needs no further answer.
    ClientGone {
        /// The request that needs no answer. Its attempt in flight, if any, can be cancelled.
        request: RequestId,
    },
    /// The first token of an answer was received.
    FirstToken {
        /// The request whose answer has begun.
        request: RequestId,
        /// The decode attempt that generates the answer; it is still in flight.
        attempt: AttemptId,
        /// The decode engine that runs the attempt.
        engine: EngineId,
        /// Milliseconds since the attempt was sent.
        latency: Ms,
    },
    /// An attempt has ended, with or without success.
    Ended(Ended),
    /// The attempt's engine has shown, after the attempt was sent, that it is running. Reported
    /// only if deliveries are tracked.
    Delivered {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt in flight at that engine.
        attempt: AttemptId,
    },
    /// A decode engine has reserved a slot for a request, or has ended the reservation. Follows
    /// [`Action::Reserve`](super::Action::Reserve).
    ReservationChanged {
        /// The request that the slot is reserved for.
        request: RequestId,
        /// The attempt that was in flight when the slot was requested.
        attempt: AttemptId,
        /// The decode engine that reported the change.
        engine: EngineId,
        /// Whether the slot is reserved from now on.
        held: bool,
    },
    /// A timer has expired.
    Timer {
        /// The id from [`Action::SetTimer`](super::Action::SetTimer).
        timer: TimerId,
    },
    /// A health check has ended, with or without an answer.
    HealthChecked {
        /// The engine that the health check was sent to.
        engine: EngineId,
        /// [`Outcome::Succeeded`] if the engine answered; any other outcome means that it did not.
        outcome: Outcome,
        /// Milliseconds since the health check was sent.
        latency: Ms,
        /// The load that the engine reported; all fields are `None` without an answer.
        load: Load,
    },
    /// Another dispatcher has sent a message.
    GossipReceived {
        /// The dispatcher that sent the message.
        from: DispatcherId,
        /// The message as the other dispatcher has encoded it.
        bytes: Vec<u8>,
    },
}

/// How and when an attempt ended, as reported by [`Event::Ended`].
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request that the attempt belongs to; its client may already be gone.
    pub request: RequestId,
    /// The number of the attempt among those of the request.
    pub attempt: AttemptId,
    /// The engine that the attempt was meant for; set even if nothing was sent to it.
    pub engine: EngineId,
    /// How the attempt ended, which determines whether the request may run again.
    pub outcome: Outcome,
    /// Milliseconds since the attempt was sent.
    pub latency: Ms,
    /// Whether this is the last attempt of the request: its outcome finishes the request, or the
    /// request was finished earlier.
    pub last: bool,
    /// A value whose meaning depends on the outcome. After [`Outcome::PrefillDone`]: the number of
    /// prompt tokens that the engine had cached. After [`Outcome::Overloaded`]: 1 if there was no
    /// KV state to fetch from the prefill engine. Not used with other outcomes.
    pub detail: f64,
    /// The engine's load at the end of the attempt; all fields are `None` if it was not reported.
    pub load: Load,
}
