//! Default settings and endpoints for tests of the decision logic. Each test overrides the fields
//! that matter to it.

use cindercleat::interface::*;

/// A streaming request class with a latency objective of one second and a time to deadline of four
/// seconds.
pub fn request_class(retry_safety: RetrySafety) -> RequestClassSettings {
    RequestClassSettings {
        retry_safety,
        latency_objective: 1000.0,
        latency_objective_per_1000_tokens: 40.0,
        time_to_deadline: 4000.0,
        priority_weight: 1.0,
        late_value_share: 0.2,
        token_pace: 50.0,
        streams: true,
    }
}

/// One kind of engine for each of `roles`, in this order, each with KV memory for `memory_tokens`
/// tokens.
pub fn kinds(roles: &[Role], memory_tokens: f64) -> Vec<EngineKindSettings> {
    let kind = |&role: &Role| EngineKindSettings {
        role,
        memory_tokens,
    };
    roles.iter().map(kind).collect()
}

/// Settings of dispatcher `dispatcher_id` out of `dispatchers`: one idempotent request class, one prefill and
/// one decode kind of engine, no tenants. Health checks and cancellation are allowed; gossip,
/// hedging and reservations are not.
pub fn settings(dispatcher_id: u32, dispatchers: u32) -> Settings {
    Settings {
        dispatcher_id: DispatcherId(dispatcher_id),
        dispatchers,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![request_class(RetrySafety::Idempotent)],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        kinds: kinds(&[Role::Prefill, Role::Decode], 150_000.0),
        discovery: Discovery::Pushed,
        kv_state_timeout: 500.0,
        decode_engines_prefill: false,
        may_reserve: false,
        may_cancel: true,
        may_hedge: false,
        may_health_check: true,
        may_gossip: false,
        clients_honor_retry_after: false,
        max_retry_after: 1000.0,
        max_attempts: 4,
        connect_timeout: 250.0,
        drain_grace: 250.0,
        answer_grace: 16.0,
        overload_multiple: 4.0,
        overload_window: 2000.0,
        cold_capacity: 0.3,
        slow_start_window: 10_000.0,
    }
}

/// A ready endpoint of an engine that is warm, as it started long ago.
pub fn endpoint(name: &str, kind: u32, zone: u32, cell: u32) -> Endpoint {
    Endpoint {
        engine: EngineId(name.into()),
        zone: ZoneId(zone),
        kind: EngineKindId(kind),
        cell: CellId(cell),
        status: EndpointStatus::Ready,
        weight: 1.0,
        started: None,
    }
}
