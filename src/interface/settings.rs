//! The settings with which a dispatcher starts.

use super::{DispatcherId, Ms, ZoneId};

/// The stages that a kind of engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Computes KV states of prompts.
    Prefill,
    /// Takes over KV states and generates answers.
    Decode,
    /// Serves both stages.
    Both,
}

/// The engines that recognise a repeated request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines in the zone of the engine that ran the request first.
    Zone,
    /// The engines in the cell of the engine that ran the request first.
    Cell,
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// The request may run any number of times.
    Idempotent,
    /// Engines recognise a repeat by its key.
    IdempotencyKey {
        /// The engines that recognise the repeated request.
        scope: IdempotencyScope,
        /// Milliseconds from the first attempt during which the engines recognise the repeated
        /// request.
        window: Ms,
    },
    /// The request must not run twice.
    AtMostOnce,
}

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClassSettings {
    /// Whether a request of this class that may have run may run again.
    pub retry_safety: RetrySafety,
    /// Latency objective for an empty prompt: milliseconds from the arrival to the first token.
    pub latency_objective: Ms,
    /// Milliseconds that each 1,000 prompt tokens add to the latency objective.
    pub latency_objective_per_1000_tokens: Ms,
    /// Milliseconds from the arrival after which the client stops waiting; infinite if each request
    /// states its own deadline.
    pub time_to_deadline: Ms,
    /// Value of an answer in time, relative to other classes. The decision logic does not read it.
    pub priority_weight: f64,
    /// Fraction of that value that a late answer has. The decision logic does not read it.
    pub late_value_share: f64,
    /// Target interval between two tokens, in milliseconds. The decision logic does not read it.
    pub token_pace: Ms,
    /// Whether each token is sent to the client as soon as it is generated.
    pub streams: bool,
}

/// Settings of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// The quota in requests per second, summed over all dispatchers.
    pub quota_per_second: f64,
    /// The tenant's share of the service, as a fraction. The decision logic does not read it.
    pub share: f64,
}

/// Settings of a kind of engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// The stages that engines of this kind serve.
    pub role: Role,
    /// The number of tokens whose KV state fits into an engine's memory.
    pub memory_tokens: f64,
}

/// How a dispatcher receives the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// Discovery pushes changes.
    Pushed,
    /// The dispatcher polls the list.
    Polled {
        /// Milliseconds within which the dispatcher has to learn of a change; the timing of
        /// discovery calls is derived from it.
        notified_within: Ms,
    },
}

/// The settings of a dispatcher. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among all dispatchers, from 0.
    pub me: DispatcherId,
    /// The number of dispatchers, including this one.
    pub dispatchers: u32,
    /// The zone in which this dispatcher runs.
    pub zone: ZoneId,
    /// Milliseconds between two steps of the driver; a due step may be delayed by as much.
    pub tick: Ms,
    /// Request classes; a class's index is its id.
    pub request_classes: Vec<RequestClassSettings>,
    /// Tenants; a tenant's index is its id.
    pub tenants: Vec<TenantSettings>,
    /// Factor on the value of requests beyond their tenant's quota. The decision logic does not
    /// read it.
    pub over_quota_weight: f64,
    /// Kinds of engines; a kind's index is its id.
    pub kinds: Vec<KindSettings>,
    /// How this dispatcher receives the list of endpoints.
    pub discovery: Discovery,
    /// Milliseconds within which a KV state has to be taken over or released.
    pub kv_state_timeout: Ms,
    /// Whether decode engines can also prefill. The decision logic does not read it.
    pub decode_engines_prefill: bool,
    /// Whether [`Action::Reserve`](super::Action::Reserve) may be used. The decision logic does not
    /// read it.
    pub may_reserve: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub may_cancel: bool,
    /// Whether a request may have two attempts at the same time (hedging). The decision logic does
    /// not read it and never hedges.
    pub may_hedge: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) may be used.
    pub may_health_check: bool,
    /// Whether [`Action::SendGossip`](super::Action::SendGossip) may be used. The decision logic
    /// does not read it.
    pub may_gossip: bool,
    /// Whether clients wait for as long as a rejection asks them to.
    pub clients_honor_retry_after: bool,
    /// The longest wait in milliseconds that a rejection asks for.
    pub max_retry_after: Ms,
    /// Maximum number of attempts per request, prefills and decodes counted together.
    pub max_attempts: u32,
    /// Milliseconds within which a connection to an engine has to be established.
    pub connect_timeout: Ms,
    /// Milliseconds after the notice of a drain during which attempts may still start at the
    /// engine.
    pub drain_grace: Ms,
    /// Milliseconds after the client's deadline during which a final answer still counts.
    pub answer_grace: Ms,
    /// A cold engine collapses if it gets more than this many times its capacity within the
    /// overload window.
    pub overload_multiple: f64,
    /// The length of the overload window in milliseconds.
    pub overload_window: Ms,
    /// The capacity of an engine at its start, as a fraction of a warm engine's.
    pub cold_capacity: f64,
    /// Milliseconds from an engine's start until it is warm; above 0.
    pub slow_start_window: Ms,
}
