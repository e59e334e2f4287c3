//! Decides which requests are served first and which are not served: tenant quotas, load shedding,
//! rejection and failure.

use super::engines::EngineIndex;
use super::requests::{Intent, Request};
use super::retry;
use super::stage::Stage;
use super::state::State;
use crate::interface::{Ms, RequestId, TenantId};

/// A prefill that starts later than this fraction of the latency objective after the arrival leads
/// to a late answer.
const PREFILL_START_BY_FRACTION: f64 = 0.4;
/// A rejection or failure is sent this many ticks before the client's deadline at the latest.
const FINAL_ANSWER_TICKS: f64 = 2.0;
/// A KV state that waits for a decode engine is released after this fraction of the KV state
/// timeout.
const KV_STATE_HOLD_FRACTION: f64 = 0.7;

/// Sort key of a request in the planning order; the smallest key is planned first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlanOrder {
    over_quota: bool,
    is_new_and_uncached: bool,
    /// Latest start of the prefill, in microseconds on the driver's clock.
    prefill_start_by_us: i64,
    id: RequestId,
}

impl State {
    /// Counts a request of `tenant` and returns whether the tenant exceeds its quota. The tenant's
    /// total request rate is estimated as its rate at this dispatcher times the number of
    /// dispatchers.
    pub(super) fn record_tenant_request(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.map(|id| id.0 as usize) else {
            return false;
        };
        let Some(rate) = self.tenant_rates.get_mut(tenant) else {
            return false;
        };
        rate.record(1.0, self.now, self.settings.slow_start_window);
        let requests_per_second = 1000.0 * rate.per_ms() * self.engines.dispatchers();
        requests_per_second > self.settings.tenants[tenant].quota_per_second
    }

    /// The latest start of the prefill of a request that arrives now.
    pub(super) fn prefill_start_by(&self, latency_objective: Ms) -> Ms {
        self.now + PREFILL_START_BY_FRACTION * latency_objective
    }

    /// The latest instant at which the dispatcher rejects or fails a request that arrives now.
    pub(super) fn answer_by(&self, time_to_deadline: Ms) -> Ms {
        self.now + time_to_deadline - FINAL_ANSWER_TICKS * self.settings.tick
    }

    /// The requests to plan in this step, in the order in which they get capacity. Requests within
    /// their tenant's quota come first; among these, retries and prompts that a prefill engine has
    /// cached; among equals, the request whose prefill has to start soonest.
    pub(super) fn plan_order(&self) -> Vec<RequestId> {
        let mut order: Vec<PlanOrder> = self
            .queue
            .scheduled()
            .filter_map(|id| self.requests.get_key_value(id))
            .map(|(id, request)| PlanOrder {
                over_quota: request.over_quota,
                is_new_and_uncached: self.is_new_and_uncached(request),
                prefill_start_by_us: (1000.0 * request.prefill_start_by) as i64,
                id: *id,
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|entry| entry.id).collect()
    }

    /// Whether no attempt of the request was started and no ready prefill engine has most of its
    /// prompt cached.
    fn is_new_and_uncached(&self, request: &Request) -> bool {
        let is_cached = |engine: EngineIndex| {
            self.engines[engine]
                .prefix_cache
                .has_most_cached(&request.arrival)
        };
        request.attempts == 0 && !self.engines.ready(Stage::Prefill).any(is_cached)
    }

    /// When a request is given up. A request that no prefill engine accepts in time is given up
    /// early; it is rejected unless it may have run (see [`State::give_up`]). Guards against
    /// self-sustaining congestion: prefill engines that work on late requests make the next
    /// requests late as well.
    pub(super) fn give_up_at(&self, request: &Request) -> Ms {
        if request.attempt.is_none() && request.kv_state.is_none() {
            request.answer_by.min(request.prefill_start_by)
        } else {
            request.answer_by
        }
    }

    /// Whether the KV state has to be released before the next attempt to place it, `interval_ms`
    /// from now.
    pub(super) fn is_kv_state_held_too_long(&self, request: &Request, interval_ms: Ms) -> bool {
        self.now + interval_ms - request.unclaimed_since
            > KV_STATE_HOLD_FRACTION * self.settings.kv_state_timeout
    }

    /// Whether the decode engines have capacity for all unqueued prefills in flight and one more.
    /// Otherwise a prefill could end without a decode engine that takes over its KV state, which
    /// cannot wait for long.
    pub(super) fn decode_engines_have_capacity(&self) -> bool {
        let capacity: f64 = self
            .engines
            .ready(Stage::Decode)
            .map(|index| {
                let engine = &self.engines[index];
                (engine.concurrency_limit.attempts() - engine.decodes).max(0.0)
            })
            .sum();
        capacity >= self.queue.unqueued_prefills() as f64 + 1.0
    }

    /// Ends the request: rejects it if a retry by the client is certainly harmless, otherwise fails
    /// it. The KV state is released at once, or when the attempt that waits for it has ended.
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
