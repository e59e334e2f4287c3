//! The plain types that pass between a dispatcher's program and its [`Control`](crate::control::Control):
//! ids, start settings, events in, actions out. Nothing here decides anything.

use std::sync::Arc;

/// Milliseconds with fractions; instants are on the caller's clock, whose zero means nothing.
pub type Ms = f64;

/// A request, as its dispatcher numbers it; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// An engine's lasting name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);
/// A session: one client's row of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// A beginning that prompts of several sessions share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SharedTextId(pub u64);
/// The attempts of one request count from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
/// A zone, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A cell: a few engines with a short way between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// A kind of engine, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);
/// A request class, by its place in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClassId(pub u32);
/// A tenant, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);
/// A dispatcher's number among its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatcherId(pub u32);
/// A timer that the module set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// What a kind of engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
    Both,
}

/// The engines that recognise a numbered request's repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    All,
    Zone,
    Cell,
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    Idempotent,
    IdempotencyKey { scope: IdempotencyScope, window: Ms },
    AtMostOnce,
}

/// One request class's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClassSettings {
    pub retry_safety: RetrySafety,
    pub latency_objective: Ms,
    pub latency_objective_per_1000_tokens: Ms,
    pub time_to_deadline: Ms,
    pub priority_weight: f64,
    pub late_value_share: f64,
    pub token_pace: Ms,
    pub streams: bool,
}

/// One tenant's settings: requests a second within its share, over all dispatchers.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    pub quota_per_second: f64,
    pub share: f64,
}

/// One kind of engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    pub role: Role,
    pub memory_tokens: f64,
}

/// How the list of engines reaches a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    Pushed,
    Polled { notified_within: Ms },
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub me: DispatcherId,
    pub dispatchers: u32,
    pub zone: ZoneId,
    pub tick: Ms,
    pub request_classes: Vec<RequestClassSettings>,
    pub tenants: Vec<TenantSettings>,
    pub over_quota_weight: f64,
    pub kinds: Vec<KindSettings>,
    pub discovery: Discovery,
    pub kv_state_timeout: Ms,
    pub decode_engines_prefill: bool,
    pub may_reserve: bool,
    pub may_cancel: bool,
    pub may_hedge: bool,
    pub may_health_check: bool,
    pub may_gossip: bool,
    pub clients_honor_retry_after: bool,
    pub max_retry_after: Ms,
    pub max_attempts: u32,
    pub connect_timeout: Ms,
    pub drain_grace: Ms,
    pub answer_grace: Ms,
    pub overload_multiple: f64,
    pub overload_window: Ms,
    pub cold_capacity: f64,
    pub slow_start_window: Ms,
}

/// What an engine last said of its load; absent where it does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub queue: Option<f64>,
    pub slots_used: Option<f64>,
    pub memory_held: Option<f64>,
    pub waiting_kilotokens: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub engine: EngineId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub status: EndpointStatus,
    pub weight: f64,
    /// When it last started; none means long ago.
    pub started: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    Delta,
    Snapshot,
    Cached,
    Rejected,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Failed,
    Overloaded,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotSent,
    PrefillDone,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    pub request: RequestId,
    pub request_class: RequestClassId,
    pub tenant: Option<TenantId>,
    pub session: SessionId,
    pub time_to_deadline: Ms,
    pub answer_hint: Option<Ms>,
    pub shared: Option<SharedTextId>,
    pub prompt_tokens: f64,
    pub shared_tokens: f64,
    pub max_tokens: f64,
    pub retried: bool,
    pub resumed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    EndpointsUpdated {
        kind: EndpointUpdateKind,
        endpoints: Vec<Endpoint>,
    },
    Arrived(Arrival),
    /// The client left; nothing more is owed.
    ClientGone {
        request: RequestId,
    },
    FirstToken {
        request: RequestId,
        attempt: AttemptId,
        engine: EngineId,
        latency: Ms,
    },
    Ended(Ended),
    /// Where deliveries are tracked: the attempt has reached an engine that runs, which has shown so since.
    Delivered {
        request: RequestId,
        attempt: AttemptId,
    },
    ReservationChanged {
        request: RequestId,
        attempt: AttemptId,
        engine: EngineId,
        held: bool,
    },
    Timer {
        timer: TimerId,
    },
    HealthChecked {
        engine: EngineId,
        outcome: Outcome,
        latency: Ms,
        load: Load,
    },
    GossipReceived {
        from: DispatcherId,
        bytes: Vec<u8>,
    },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub engine: EngineId,
    pub outcome: Outcome,
    pub latency: Ms,
    /// The request is finished, by this outcome or before it.
    pub last: bool,
    /// After a read: prompt tokens found kept. After 'full': 1 if there was no state to fetch.
    pub detail: f64,
    pub load: Load,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    StartAttempt {
        request: RequestId,
        engine: EngineId,
        until: Option<Ms>,
    },
    Cancel {
        request: RequestId,
        attempt: AttemptId,
    },
    Reject {
        request: RequestId,
        retry_after: Option<Ms>,
    },
    Fail {
        request: RequestId,
    },
    /// Lets go of what is held for a request, also while an attempt is out that is taken for one that has not arrived.
    Release {
        request: RequestId,
    },
    /// Asks for a sign that the attempt's engine runs; `Event::Delivered` tells of one.
    Confirm {
        request: RequestId,
        attempt: AttemptId,
    },
    /// Lets go of what is held for a request, unless its attempt that is out waits for it.
    ReleaseInDoubt {
        request: RequestId,
    },
    Reserve {
        request: RequestId,
        engine: EngineId,
    },
    Migrate {
        request: RequestId,
    },
    SetTimer {
        delay: Ms,
        timer: TimerId,
    },
    HealthCheck {
        engine: EngineId,
    },
    CloseIdle {
        engine: EngineId,
    },
    /// To one dispatcher, or to all others.
    SendGossip {
        to: Option<DispatcherId>,
        bytes: Vec<u8>,
    },
    FetchEndpoints,
    WatchEndpoints {
        on: bool,
    },
    Log {
        text: String,
    },
}
