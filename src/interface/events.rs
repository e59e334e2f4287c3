//! What happens to a dispatcher.

use super::{
    AttemptId, CellId, DispatcherId, EngineId, KindId, Ms, RequestClassId, RequestId, SessionId,
    SharedTextId, TenantId, TimerId, ZoneId,
};

/// An engine's last report of its load; a field is absent where the engine does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it works on.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queue: Option<f64>,
    /// Fraction of its slots in use.
    pub slots_used: Option<f64>,
    /// Fraction of its KV memory in use.
    pub memory_held: Option<f64>,
    /// Thousands of prompt tokens that wait there.
    pub waiting_kilotokens: Option<f64>,
}

/// What discovery says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes new attempts.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not there any more.
    Gone,
}

/// One entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its lasting name.
    pub engine: EngineId,
    /// The zone where it runs.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// The cell where it runs.
    pub cell: CellId,
    /// Whether it takes new attempts.
    pub status: EndpointStatus,
    /// Its size beside those of its kind; 1 is the usual one.
    pub weight: f64,
    /// The instant when it last started; none means long ago.
    pub started: Option<Ms>,
}

/// What an update of the list of endpoints holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Entries that changed; the others stay.
    Delta,
    /// Every entry; engines that are not in it are gone.
    Snapshot,
    /// Every entry, as stored by an earlier process of this dispatcher.
    Cached,
    /// Nothing: discovery rejected the request for the list.
    Rejected,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came; of a health check: the engine answered.
    Succeeded,
    /// The engine reported a failure; the request may have run.
    Failed,
    /// The engine rejected the attempt before it ran.
    Overloaded,
    /// Its time was up; the request may have run.
    TimedOut,
    /// No connection to the engine was to be had; the request has not run.
    Unreachable,
    /// The connection was lost; the request may have run.
    ConnectionLost,
    /// It was cancelled; the request may have run.
    Cancelled,
    /// Nothing was sent; the request has not run.
    NotSent,
    /// The prompt is computed: the engine holds its KV state.
    PrefillDone,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its number here.
    pub request: RequestId,
    /// Its class.
    pub request_class: RequestClassId,
    /// Whose it is, if the settings name tenants.
    pub tenant: Option<TenantId>,
    /// The session that it belongs to.
    pub session: SessionId,
    /// Milliseconds for which its client still waits.
    pub time_to_deadline: Ms,
    /// Milliseconds that the answer is expected to take, if the client says so. The decisions do not
    /// read it.
    pub answer_hint: Option<Ms>,
    /// The prefix that its prompt shares with other sessions' prompts.
    pub shared: Option<SharedTextId>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Tokens of the shared prefix.
    pub shared_tokens: f64,
    /// The most tokens that its answer may have.
    pub max_tokens: f64,
    /// The client sends it again after a rejection or failure.
    pub retried: bool,
    /// The client asks for the rest of an answer that broke off.
    pub resumed: bool,
}

/// Something that happened, in the order in which it did.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of endpoints has come, or changes to it.
    EndpointsUpdated {
        /// What `endpoints` holds.
        kind: EndpointUpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request has come.
    Arrived(Arrival),
    /// The client has gone, or the driver has answered the request itself; nothing more is owed.
    ClientGone {
        /// Its request.
        request: RequestId,
    },
    /// The first token of an answer has come.
    FirstToken {
        /// The request answered.
        request: RequestId,
        /// The attempt that answers it.
        attempt: AttemptId,
        /// Where it runs.
        engine: EngineId,
        /// Milliseconds since the attempt was sent.
        latency: Ms,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// Where deliveries are tracked: the attempt has reached an engine that runs, which has shown
    /// so since.
    Delivered {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A decode engine holds, or no longer holds, a place for a request; answers
    /// [`Action::Reserve`](super::Action::Reserve).
    ReservationChanged {
        /// The request.
        request: RequestId,
        /// The attempt in flight meanwhile.
        attempt: AttemptId,
        /// The decode engine.
        engine: EngineId,
        /// Whether it holds a place.
        held: bool,
    },
    /// A timer has fired.
    Timer {
        /// The timer, as it was set.
        timer: TimerId,
    },
    /// A health check has ended.
    HealthChecked {
        /// The engine asked.
        engine: EngineId,
        /// [`Outcome::Succeeded`] if it answered.
        outcome: Outcome,
        /// Milliseconds since it was sent.
        latency: Ms,
        /// The load that it reported.
        load: Load,
    },
    /// Another dispatcher has sent a message.
    GossipReceived {
        /// The sender.
        from: DispatcherId,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: AttemptId,
    /// Where it was sent.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: Outcome,
    /// Milliseconds since the attempt was sent.
    pub latency: Ms,
    /// The request is finished, by this outcome or before it.
    pub last: bool,
    /// After [`Outcome::PrefillDone`]: prompt tokens that were cached. After
    /// [`Outcome::Overloaded`]: 1 if there was no KV state to fetch.
    pub detail: f64,
    /// The engine's load, if it reported it.
    pub load: Load,
}
