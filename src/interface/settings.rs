//! The settings with which a dispatcher starts.

use super::{DispatcherId, Ms, ZoneId};

/// The stages that a kind of engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill only: computes the KV states of prompts.
    Prefill,
    /// Decode only: takes over KV states and generates answers.
    Decode,
    /// Serves both stages.
    Both,
}

/// The engines that recognise a repeated request by its idempotency key and do not run it again.
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
    /// The request must not take effect twice, but engines recognise a repeat by its idempotency
    /// key.
    IdempotencyKey {
        /// The engines that recognise a repeat of the request.
        scope: IdempotencyScope,
        /// Milliseconds from the first attempt during which those engines recognise a repeat.
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
    /// Value of an answer that arrives in time, relative to other classes. Simulations score
    /// results with it; the decision logic does not read it.
    pub priority_weight: f64,
    /// Value of a late answer, as a fraction of the value of an answer that arrives in time. The
    /// decision logic does not read it.
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
    /// The fraction of the total capacity that the tenant is entitled to. The decision logic does
    /// not read it.
    pub share: f64,
}

/// Settings of all engines of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineKindSettings {
    /// Whether engines of this kind serve prefills, decodes or both.
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

/// The settings of a dispatcher, which do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among all dispatchers, from 0.
    pub dispatcher_id: DispatcherId,
    /// The number of dispatchers, including this one.
    pub dispatchers: u32,
    /// The zone in which this dispatcher runs.
    pub zone: ZoneId,
    /// Milliseconds between two steps of the driver. A step that is due may be delayed by up to
    /// this time.
    pub tick: Ms,
    /// The request classes. The index of a class in this list is its
    /// [`RequestClassId`](super::RequestClassId).
    pub request_classes: Vec<RequestClassSettings>,
    /// The tenants; empty if there are no quotas. The index of a tenant in this list is its
    /// [`TenantId`](super::TenantId).
    pub tenants: Vec<TenantSettings>,
    /// Factor applied to the value of answers to requests beyond their tenant's quota. The decision
    /// logic does not read it.
    pub over_quota_weight: f64,
    /// The kinds of engines. The index of a kind in this list is its
    /// [`EngineKindId`](super::EngineKindId).
    pub kinds: Vec<EngineKindSettings>,
    /// How this dispatcher receives the list of endpoints.
    pub discovery: Discovery,
    /// How long a prefill engine may hold a KV state, in milliseconds. Within this time a decode
    /// engine has to take over the KV state, or the KV state has to be released.
    pub kv_state_timeout: Ms,
    /// Whether decode engines can also prefill. The decision logic does not read it.
    pub decode_engines_prefill: bool,
    /// Whether [`Action::Reserve`](super::Action::Reserve) may be used. The decision logic does not
    /// read it.
    pub may_reserve: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub may_cancel: bool,
    /// Whether a request may have two attempts in flight at the same time (hedging). The decision
    /// logic does not read it, because it never hedges.
    pub may_hedge: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) may be used.
    pub may_health_check: bool,
    /// Whether [`Action::SendGossip`](super::Action::SendGossip) may be used. The decision logic
    /// does not read it.
    pub may_gossip: bool,
    /// Whether clients wait for the retry delay that a rejection states. If they do not, rejections
    /// state no delay.
    pub clients_honor_retry_after: bool,
    /// The longest retry delay in milliseconds that a rejection may state.
    pub max_retry_after: Ms,
    /// Maximum number of attempts per request; prefills and decodes both count.
    pub max_attempts: u32,
    /// Milliseconds within which a connection to an engine has to be established.
    pub connect_timeout: Ms,
    /// Milliseconds after the notice of a drain during which attempts may still start at the
    /// engine.
    pub drain_grace: Ms,
    /// Milliseconds after the client's deadline during which a final answer still counts.
    pub answer_grace: Ms,
    /// A cold engine collapses if the attempts sent to it within the overload window exceed this
    /// multiple of its capacity.
    pub overload_multiple: f64,
    /// The length in milliseconds of the window in which attempts at a cold engine are counted.
    pub overload_window: Ms,
    /// The capacity of an engine when it starts, as a fraction of the capacity of a warm engine.
    pub cold_capacity: f64,
    /// Milliseconds from the start of an engine until it has its full capacity; above 0.
    pub slow_start_window: Ms,
}
