//! Decides the intents of a request in the current step.

use super::engines::EngineIndex;
use super::outlier_detection::RETRY_INTERVAL_FRACTION;
use super::requests::{Intent, Intents, Request};
use super::state::State;
use crate::interface::{EndpointStatus, Ms};

/// A request without a KV state is given up if fewer attempts than this are left to it, because it
/// needs a prefill and a decode to succeed.
const MIN_ATTEMPTS_WITHOUT_KV_STATE: u32 = 2;

impl State {
    pub(super) fn plan(&mut self, request: &mut Request) {
        request.intents = Intents::default();
        request.held_until = self.now;
        if request.finished {
            return self.plan_finished(request);
        }
        if request.is_decoding() {
            return;
        }
        let give_up_at = self.give_up_at(request);
        if self.now >= give_up_at || request.attempt.is_none() && self.must_not_run_again(request) {
            return self.give_up(request);
        }
        self.wake_by(give_up_at);
        if request.attempt.is_some() {
            self.record_if_queued(request);
            self.plan_delivery(request);
        } else {
            self.plan_next_attempt(request);
        }
    }

    /// Plans a request whose client has disconnected or has got its answer: cancels the attempt in
    /// flight and releases the KV state.
    fn plan_finished(&mut self, request: &mut Request) {
        request.intents.cancel = request
            .attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.decoding);
        request.intents.release = request.attempt.is_none() && request.kv_state.is_some();
        if !self.settings.may_cancel {
            self.plan_delivery(request);
        }
    }

    /// Whether the request may have run and must not run again at any engine, not even at the one
    /// where it may have run.
    fn must_not_run_again(&self, request: &Request) -> bool {
        request
            .first_possible_run
            .is_some_and(|first| !self.may_run_on(request, first.engine))
    }

    /// Lowers the engine's concurrency limit once an attempt has taken so long that it must have
    /// queued. The limit is lowered before the outcome is known, because the engine may never
    /// answer.
    fn record_if_queued(&mut self, request: &mut Request) {
        let queued_after_ms = request.queued_after_ms();
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        let queued_at = attempt.sent_at + queued_after_ms;
        if self.now < queued_at {
            self.wake_by(queued_at);
        } else if !attempt.has_queued {
            attempt.has_queued = true;
            self.engines[attempt.engine].record_queueing(true, attempt.sent_at, self.now);
        }
    }

    /// Plans a request without an attempt in flight: starts the next attempt, gives the request up,
    /// or holds it.
    fn plan_next_attempt(&mut self, request: &mut Request) {
        // A KV state whose prefill engine is gone is computed again. It is also released, because
        // the list of endpoints may be wrong and the engine may still hold it.
        request.intents.release = request
            .kv_state
            .is_some_and(|index| self.engines[index].endpoint.status == EndpointStatus::Gone);
        let kv_state = request.kv_state.filter(|_| !request.intents.release);
        let retry_interval_ms =
            (RETRY_INTERVAL_FRACTION * self.settings.kv_state_timeout).max(self.settings.tick);
        if self.cannot_finish(request, kv_state, retry_interval_ms) {
            return self.give_up(request);
        }
        let target = match kv_state {
            Some(prefill_engine) => self.choose_decode_engine(request, prefill_engine),
            None if !self.decode_engines_have_capacity() => None,
            None if self.awaits_home_reports(request) => None,
            None => self.choose_prefill_engine(request),
        };
        let Some(engine) = target else {
            return self.hold(request, retry_interval_ms);
        };
        request.intents.next = Intent::Start(engine);
        if request.kv_state.is_none() {
            self.request_reports_near(engine, request);
        }
    }

    /// Whether the request has too few attempts left to succeed, or its KV state has waited too long
    /// for a decode engine.
    fn cannot_finish(
        &self,
        request: &Request,
        kv_state: Option<EngineIndex>,
        retry_interval_ms: Ms,
    ) -> bool {
        let attempts_left = self.settings.max_attempts.saturating_sub(request.attempts);
        match kv_state {
            Some(_) => {
                attempts_left == 0 || self.is_kv_state_held_too_long(request, retry_interval_ms)
            }
            None => attempts_left < MIN_ATTEMPTS_WITHOUT_KV_STATE,
        }
    }

    /// Holds the request until an engine is available. Once load reports are no longer awaited, a
    /// held request is planned only at intervals. If every held request were planned at every step,
    /// a large number of them would take all the processor's time.
    fn hold(&mut self, request: &mut Request, retry_interval_ms: Ms) {
        let retry_at = self.now + retry_interval_ms;
        if request.kv_state.is_none() && self.now >= self.report_wait_ends_at(request) {
            request.held_until = retry_at;
        }
        self.wake_by(retry_at);
    }
}
