//! Turns intents into actions. No other module returns actions that concern a request.

use super::delivery::Delivery;
use super::engines::EngineIndex;
use super::requests::{Attempt, Intent, Request};
use super::stage::Stage;
use super::state::State;
use crate::interface::{Action, AttemptId, RequestId};

impl State {
    pub(super) fn emit(&mut self, id: RequestId, request: &mut Request, actions: &mut Vec<Action>) {
        if request.intents.cancel && self.settings.may_cancel {
            emit_cancel(id, request, actions);
        }
        emit_confirm_and_release(id, request, actions);
        match request.intents.next {
            Intent::Wait => {}
            Intent::Start(engine) => self.emit_start(id, request, engine, actions),
            Intent::Reject => actions.push(Action::Reject {
                request: id,
                retry_after: self
                    .settings
                    .clients_honor_retry_after
                    .then_some(self.settings.kv_state_timeout),
            }),
            Intent::Fail => actions.push(Action::Fail { request: id }),
        }
        request.finished |= matches!(request.intents.next, Intent::Reject | Intent::Fail);
    }

    /// Starts a decode if an engine holds the KV state of the request, otherwise a prefill.
    fn emit_start(
        &mut self,
        id: RequestId,
        request: &mut Request,
        index: EngineIndex,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::StartAttempt {
            request: id,
            engine: self.engines[index].endpoint.engine.clone(),
            until: Some(request.answer_by),
        });
        let attempt = self.new_attempt(request, index);
        let engine = &mut self.engines[index];
        let overload_window = self.settings.overload_window;
        engine.record_attempt_started(attempt.stage, attempt.uncached_tokens);
        engine.slow_start.record_attempt(self.now, overload_window);
        engine.outcomes.record_attempt(self.now, overload_window);
        request.attempt = Some(attempt);
        request.attempts += 1;
        self.wake_by(self.now + request.queued_after_ms());
    }

    fn new_attempt(&self, request: &Request, index: EngineIndex) -> Attempt {
        let (stage, uncached_tokens, delivery) = if request.kv_state.is_none() {
            let cache = &self.engines[index].prefix_cache;
            let uncached_tokens = cache.uncached_tokens(&request.arrival);
            (Stage::Prefill, uncached_tokens, Delivery::CountsAsDelivered)
        } else {
            (Stage::Decode, 0.0, self.delivery_of_new_decode(request))
        };
        Attempt {
            id: AttemptId(request.attempts),
            engine: index,
            stage,
            decoding: false,
            cancelled: false,
            has_queued: false,
            uncached_tokens,
            sent_at: self.now,
            delivery,
        }
    }

    /// Emits the health checks that rules have requested during this step.
    pub(super) fn emit_health_checks(&mut self, actions: &mut Vec<Action>) {
        for index in self.health_checks.drain(..) {
            actions.push(Action::HealthCheck {
                engine: self.engines[index].endpoint.engine.clone(),
            });
        }
    }

    /// Sets the timer for the next step, unless a timer is set that expires no later.
    pub(super) fn emit_timer(&mut self, actions: &mut Vec<Action>) {
        if let Some(wake_at) = self.wake_at {
            actions.extend(self.timer.set(wake_at, self.now));
        }
    }
}

fn emit_cancel(id: RequestId, request: &mut Request, actions: &mut Vec<Action>) {
    let Some(attempt) = request.attempt.as_mut().filter(|a| !a.cancelled) else {
        return;
    };
    attempt.cancelled = true;
    actions.push(Action::Cancel {
        request: id,
        attempt: attempt.id,
    });
}

fn emit_confirm_and_release(id: RequestId, request: &mut Request, actions: &mut Vec<Action>) {
    if let Some(attempt) = request.attempt.as_ref().filter(|_| request.intents.confirm) {
        actions.push(Action::ConfirmDelivery {
            request: id,
            attempt: attempt.id,
        });
    }
    if request.intents.release_unless_claimed {
        actions.push(Action::ReleaseUnlessClaimed { request: id });
    }
    if request.intents.release {
        actions.push(Action::Release { request: id });
        request.kv_state = None;
        request.intents.release = false;
    }
}
