//! Messages to engines, made from a request and the endpoints; and the load that engines report.

use super::kv_states::Held;
use super::*;

/// The name of the state that an attempt makes or takes.
pub(super) fn kv_state_id(run: u64, request: RequestId, attempt: AttemptId) -> v1::KvStateId {
    v1::KvStateId {
        run,
        request: request.0,
        attempt: attempt.0,
    }
}

/// What an attempt says to its engine; `state`: what a read is to leave, none for a write.
pub(super) fn attempt_message(
    request: &Request,
    held: Option<&Held>,
    state: Option<v1::KvStateId>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    match state {
        Some(state) => read(&request.submit, state, wait_ms),
        None => write(request, held, endpoints, window, wait_ms),
    }
}

fn read(submit: &v1::Submit, state: v1::KvStateId, wait_ms: Ms) -> Body {
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

fn write(
    request: &Request,
    held: Option<&Held>,
    endpoints: &Endpoints,
    window: u32,
    wait_ms: Ms,
) -> Body {
    let submit = &request.submit;
    let prefill_engine = held.and_then(|held| endpoints.engines.get(&held.engine));
    Body::Decode(v1::Decode {
        state: held.map(|held| held.id),
        prefill_engine: prefill_engine
            .map(|row| row.line.engine.clone())
            .unwrap_or_default(),
        prefill_engine_address: prefill_engine
            .map(|row| row.line.address.clone())
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

pub(super) fn reported_load(load: &v1::Load) -> Load {
    // Guards against a report that would poison every mean.
    let said = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
    Load {
        in_flight: said(load.in_flight),
        queue: said(load.queue),
        slots_used: said(load.slots_used),
        memory_held: said(load.memory_held),
        waiting_kilotokens: said(load.waiting_kilotokens),
    }
}
