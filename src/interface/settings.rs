//! What a dispatcher is started with.

use super::{DispatcherId, Ms, ZoneId};

/// What a kind of engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Computes KV states of prompts.
    Prefill,
    /// Takes KV states over and generates answers.
    Decode,
    /// Does both.
    Both,
}

/// The engines that recognise the repeat of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines in the zone of the one where it ran first.
    Zone,
    /// The engines in the cell of the one where it ran first.
    Cell,
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// Engines recognise a repeat by its key.
    IdempotencyKey {
        /// The engines that do.
        scope: IdempotencyScope,
        /// For how long they do, in milliseconds from the first attempt.
        window: Ms,
    },
    /// It must not run twice.
    AtMostOnce,
}

/// One request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClassSettings {
    /// Whether a request that may have run may run again.
    pub retry_safety: RetrySafety,
    /// Milliseconds from the arrival to the first token for an empty prompt.
    pub latency_objective: Ms,
    /// Milliseconds that each 1,000 prompt tokens add to the latency objective.
    pub latency_objective_per_1000_tokens: Ms,
    /// Milliseconds from the arrival after which the client waits no longer; infinite if each
    /// request says its own.
    pub time_to_deadline: Ms,
    /// Value of an answer in time beside those of other classes. The decisions do not read it.
    pub priority_weight: f64,
    /// Fraction of that value which a late answer has. The decisions do not read it.
    pub late_value_share: f64,
    /// Milliseconds wanted from one token to the next. The decisions do not read it.
    pub token_pace: Ms,
    /// Whether tokens are sent as they come.
    pub streams: bool,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests per second within its quota, over all dispatchers.
    pub quota_per_second: f64,
    /// The tenant's part of the service, as a fraction. The decisions do not read it.
    pub share: f64,
}

/// One kind of engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// What it does.
    pub role: Role,
    /// Tokens whose KV state fits into its memory.
    pub memory_tokens: f64,
}

/// How the list of endpoints reaches a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// The dispatcher asks for the list.
    Polled {
        /// Milliseconds within which a change of the list has to be learned; discovery calls are
        /// timed by it.
        notified_within: Ms,
    },
}

/// All that a dispatcher is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its number among its peers.
    pub me: DispatcherId,
    /// How many dispatchers there are, this one counted.
    pub dispatchers: u32,
    /// Where it runs.
    pub zone: ZoneId,
    /// Milliseconds between two steps of the driver: what is due may be done so much later.
    pub tick: Ms,
    /// Request classes in the order of their ids.
    pub request_classes: Vec<RequestClassSettings>,
    /// Tenants in the order of their ids.
    pub tenants: Vec<TenantSettings>,
    /// Factor on the value of requests beyond their tenant's quota. The decisions do not read it.
    pub over_quota_weight: f64,
    /// Kinds of engines in the order of their ids.
    pub kinds: Vec<KindSettings>,
    /// How the list of endpoints comes.
    pub discovery: Discovery,
    /// Milliseconds within which a KV state has to be taken over or released.
    pub kv_state_timeout: Ms,
    /// Whether decode engines can also prefill. The decisions do not read it.
    pub decode_engines_prefill: bool,
    /// Whether [`Action::Reserve`](super::Action::Reserve) may be used. The decisions do not read it.
    pub may_reserve: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub may_cancel: bool,
    /// Whether a request may have two attempts at once (hedging). The decisions do not read it: they
    /// never hedge.
    pub may_hedge: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) may be used.
    pub may_health_check: bool,
    /// Whether [`Action::SendGossip`](super::Action::SendGossip) may be used. The decisions do not
    /// read it.
    pub may_gossip: bool,
    /// Whether clients wait as long as a rejection asks them to.
    pub clients_honor_retry_after: bool,
    /// The longest wait that clients are asked for, in milliseconds.
    pub max_retry_after: Ms,
    /// Attempts that a request may have, prefills and decodes counted together.
    pub max_attempts: u32,
    /// Milliseconds that a connection to an engine may take to open.
    pub connect_timeout: Ms,
    /// Milliseconds after the notice of a drain in which attempts may still start at the engine.
    pub drain_grace: Ms,
    /// Milliseconds after the client's deadline in which a final answer still counts.
    pub answer_grace: Ms,
    /// A cold engine collapses when it gets more than this many times its capacity ...
    pub overload_multiple: f64,
    /// ... within so many milliseconds.
    pub overload_window: Ms,
    /// Capacity of an engine at its start, as a fraction of a warm one's.
    pub cold_capacity: f64,
    /// Milliseconds from its start until an engine is warm; above 0.
    pub slow_start_window: Ms,
}
