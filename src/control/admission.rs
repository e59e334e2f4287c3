//! Which requests are served at all: quotas, load shedding, and the rejection or failure that ends
//! the others.

use super::engines::EngineIndex;
use super::requests::{Intent, Request};
use super::retry;
use super::stage::Stage;
use super::state::State;
use crate::interface::{Ms, RequestId, TenantId};

/// A request that no prefill engine has taken by this fraction of its latency objective would be
/// answered late.
const PREFILL_BY_FRACTION: f64 = 0.4;
/// Own final answers come this many ticks before the client's deadline.
const FINAL_ANSWER_TICKS: f64 = 2.0;
/// A KV state that found no decode engine is released after this fraction of its timeout.
const KV_STATE_HOLD_FRACTION: f64 = 0.7;

/// A request's place in the order of planning; the least comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlanOrder {
    over_quota: bool,
    is_costly: bool,
    /// Microseconds.
    prefill_by_us: i64,
    id: RequestId,
}

impl State {
    /// Counts a tenant's request; gives whether the tenant sends more than its quota, as far as
    /// this dispatcher's part of its requests shows.
    pub(super) fn note_tenant_request(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.map(|id| id.0 as usize) else {
            return false;
        };
        let Some(rate) = self.tenant_rates.get_mut(tenant) else {
            return false;
        };
        rate.note(1.0, self.now, self.settings.slow_start_window);
        let requests_per_second = 1000.0 * rate.per_ms() * self.engines.dispatchers();
        requests_per_second > self.settings.tenants[tenant].quota_per_second
    }

    /// When a prefill must have started for a request that arrives now.
    pub(super) fn prefill_by(&self, latency_objective: Ms) -> Ms {
        self.now + PREFILL_BY_FRACTION * latency_objective
    }

    /// When the own final answer must be out for a request that arrives now.
    pub(super) fn ends_at(&self, time_to_deadline: Ms) -> Ms {
        self.now + time_to_deadline - FINAL_ANSWER_TICKS * self.settings.tick
    }

    /// The requests to plan, in the order in which they take the room: those within their tenant's
    /// quota first, then retries and prompts that some prefill engine has cached, then the soonest
    /// due.
    pub(super) fn plan_order(&self) -> Vec<RequestId> {
        let mut order: Vec<PlanOrder> = self
            .queue
            .awake()
            .filter_map(|id| self.requests.get_key_value(id))
            .map(|(id, request)| PlanOrder {
                over_quota: request.over_quota,
                is_costly: self.is_costly(request),
                prefill_by_us: (1000.0 * request.prefill_by) as i64,
                id: *id,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|place| place.id).collect()
    }

    /// Whether a new request has a prompt of which no ready prefill engine holds most.
    fn is_costly(&self, request: &Request) -> bool {
        let is_cached = |engine: EngineIndex| {
            self.engines[engine]
                .prefix_cache
                .holds_most(&request.arrival)
        };
        request.attempts == 0 && !self.engines.ready(Stage::Prefill).any(is_cached)
    }

    /// When a request is given up. Guards against congestion that sustains itself, which shows as
    /// prefill engines busy with requests that are late already and make the next ones late: what
    /// no prefill engine has taken in time is given up (see [`State::give_up`]), which is a rejection
    /// as long as nothing of it may have run.
    pub(super) fn gives_up_at(&self, request: &Request) -> Ms {
        if request.attempt.is_none() && request.kv_state.is_none() {
            request.ends_at.min(request.prefill_by)
        } else {
            request.ends_at
        }
    }

    /// Whether a KV state must be released before it could be looked at again, `interval_ms` from
    /// now.
    pub(super) fn is_kv_state_held_too_long(&self, request: &Request, interval_ms: Ms) -> bool {
        self.now + interval_ms - request.unclaimed_since
            > KV_STATE_HOLD_FRACTION * self.settings.kv_state_timeout
    }

    /// Whether the decode engines can take what is being prefilled and one more. Guards against KV
    /// states that find no decode engine: they cannot wait for long.
    pub(super) fn decode_engines_have_room(&self) -> bool {
        let room: f64 = self
            .engines
            .ready(Stage::Decode)
            .map(|index| {
                let engine = &self.engines[index];
                (engine.concurrency_limit.attempts() - engine.decodes).max(0.0)
            })
            .sum();
        room >= self.queue.prefills_on_time() as f64 + 1.0
    }

    /// The request ends here: rejected where a retry by the client is sure to do no harm, else
    /// failed. Its KV state is released at once or, as an attempt still waits for it, with that
    /// attempt's outcome.
    pub(super) fn give_up(&self, request: &mut Request) {
        let decode_in_flight = request
            .attempt
            .as_ref()
            .is_some_and(|attempt| !self.engines.is_prefill_only(attempt.stage, attempt.engine));
        let may_have_run = request.first_possible_run.is_some() || decode_in_flight;
        let is_safe = retry::is_safe_for_client(self.retry_safety(request), may_have_run);
        request.intents.next = if is_safe {
            Intent::Reject
        } else {
            Intent::Fail
        };
        request.intents.cancel = request.attempt.is_some();
        request.intents.release = request.attempt.is_none() && request.kv_state.is_some();
    }
}
