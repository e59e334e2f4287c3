//! Builds the messages that start attempts at engines, and converts the load that engines report.

use super::kv_states::HeldState;
use super::*;

/// The id of the KV state that an attempt creates. `run` is the incarnation of this process, which makes the id
/// unique across restarts.
pub(super) fn kv_state_id(run: u64, request: RequestId, attempt: AttemptId) -> v1::KvStateId {
    v1::KvStateId {
        run,
        request: request.0,
        attempt: attempt.0,
    }
}

/// Builds the message of an attempt.
///
/// `held` is the KV state that a decode attempt fetches. `state` is the id of the KV state that a prefill leaves;
/// `None` makes the message a decode. `window` is the initial credit in token messages. `wait_ms` is the time that
/// is left until the attempt times out.
pub(super) fn attempt_message(
    request: &Request,
    held: Option<&HeldState>,
    state: Option<v1::KvStateId>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    match state {
        Some(state) => prefill_message(&request.submit, state, wait_ms),
        None => decode_message(request, held, endpoints, window, wait_ms),
    }
}

fn prefill_message(submit: &v1::Submit, state: v1::KvStateId, wait_ms: Ms) -> Body {
    Body::Prefill(v1::Prefill {
        state: Some(state),
        key: submit.key.clone(),
        session: submit.session,
        shared_text: submit.shared_text,
        prompt_tokens: submit.prompt_tokens,
        shared_tokens: submit.shared_tokens,
        request_class: submit.request_class.clone(),
        tenant: submit.tenant.clone(),
        prompt: submit.prompt.clone(),
        origin: submit.origin.clone(),
        wait_ms,
    })
}

fn decode_message(
    request: &Request,
    held: Option<&HeldState>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    let submit = &request.submit;
    let prefill_engine = held.and_then(|held| endpoints.engines.get(&held.engine));
    Body::Decode(v1::Decode {
        state: held.map(|held| held.id),
        prefill_engine: prefill_engine
            .map(|entry| entry.endpoint.engine.clone())
            .unwrap_or_default(),
        prefill_engine_address: prefill_engine
            .map(|entry| entry.endpoint.address.clone())
            .unwrap_or_default(),
        key: submit.key.clone(),
        session: submit.session,
        shared_text: submit.shared_text,
        prompt_tokens: submit.prompt_tokens,
        shared_tokens: submit.shared_tokens,
        max_tokens: submit.max_tokens,
        request_class: submit.request_class.clone(),
        tenant: submit.tenant.clone(),
        window,
        prompt: submit.prompt.clone(),
        origin: submit.origin.clone(),
        wait_ms,
    })
}

/// Converts the load that an engine reports. A value that is negative or not finite counts as not reported, because
/// it would distort averages permanently.
pub(super) fn reported_load(load: &v1::Load) -> Load {
    let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
    Load {
        in_flight: valid(load.in_flight),
        queued_requests: valid(load.queue),
        slots_used: valid(load.slots_used),
        memory_held: valid(load.memory_held),
        waiting_kilotokens: valid(load.waiting_kilotokens),
    }
}
