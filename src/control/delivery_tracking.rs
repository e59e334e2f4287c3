//! Handles decode attempts that may not have reached their engine.

use super::delivery::{self, Delivery, DeliveryStep};
use super::engines::EngineIndex;
use super::outlier_detection::RETRY_INTERVAL_FRACTION;
use super::requests::{PossibleRun, Request};
use super::state::State;
use crate::interface::{AttemptId, Ms, RequestId};

impl State {
    /// The initial delivery state of a decode attempt that is sent now.
    pub(super) fn delivery_of_new_decode(&self, request: &Request) -> Delivery {
        if !self.tracks_deliveries {
            return Delivery::CountsAsDelivered;
        }
        Delivery::after_send(
            self.now,
            request.unclaimed_since,
            self.settings.kv_state_timeout,
        )
    }

    /// Records that the engine of an attempt in flight has shown, after the attempt was sent, that
    /// the engine is running.
    pub(super) fn handle_delivered(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let unclaimed_since = request.unclaimed_since;
        let Some(attempt) = request.attempt.as_mut().filter(|a| a.id == attempt) else {
            return;
        };
        let timeout = self.settings.kv_state_timeout;
        if attempt
            .delivery
            .record_engine_runs(self.now, unclaimed_since, timeout)
        {
            self.queue.schedule(id);
        }
    }

    /// Plans the next delivery step of an attempt in flight: asks its engine to confirm that the
    /// engine is running, releases the KV state, or gives up the attempt.
    pub(super) fn plan_delivery(&mut self, request: &mut Request) {
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        let (engine, sent_at) = (attempt.engine, attempt.sent_at);
        let step = attempt
            .delivery
            .next_step(self.now, self.settings.kv_state_timeout);
        match step {
            DeliveryStep::Nothing => {}
            DeliveryStep::WaitUntil(at) => self.wake_by(at),
            DeliveryStep::Confirm { next_at } => {
                request.intents.confirm = true;
                self.wake_by(next_at);
            }
            // The engine is running, but has sent nothing for this attempt. The platform's pages
            // can be read in two ways (docs/acceptance.md, 'Readings'). If a release spares a KV
            // state that an attempt waits for, an attempt in the engine's queue keeps its KV state.
            // If a release frees every KV state, that attempt finds none and is rejected, which
            // proves that it has not run.
            DeliveryStep::ReleaseUnlessClaimed => {
                request.intents.release_unless_claimed = request.kv_state.is_some();
            }
            DeliveryStep::GiveUp => self.plan_after_undelivered(request, engine, sent_at),
        }
    }

    /// Handles an attempt that has not reached its engine. Another engine takes over the KV state
    /// if the request may run there and that engine can be chosen early enough. Otherwise the KV
    /// state is released. If the attempt still arrives later, it finds no KV state.
    fn plan_after_undelivered(&mut self, request: &mut Request, engine: EngineIndex, sent_at: Ms) {
        let unresponsive = &mut self.engines[engine];
        unresponsive.record_outcome(false);
        // Prevents one request after another from waiting for the same unresponsive engine.
        unresponsive
            .overload_backoff
            .exclude_until(self.now + self.settings.kv_state_timeout);
        request.excluded_engines.push(engine);
        let may_cancel = self.settings.may_cancel;
        let is_retried_elsewhere = may_cancel && self.has_other_engine(request, engine, sent_at);
        // A repeat is always cancelled: if it reached its engine much later, engines would no
        // longer recognise it as a repeat.
        let is_repeat = request.first_possible_run.is_some();
        request.intents.cancel = is_retried_elsewhere || may_cancel && is_repeat;
        request.intents.release = request.kv_state.is_some() && !is_retried_elsewhere;
    }

    fn has_other_engine(
        &mut self,
        request: &mut Request,
        unresponsive: EngineIndex,
        sent_at: Ms,
    ) -> bool {
        let Some(prefill_engine) = request.kv_state else {
            return false;
        };
        let timeout = self.settings.kv_state_timeout;
        let in_time = !request.finished
            && delivery::has_time_for_another_attempt(self.now, request.unclaimed_since, timeout)
            && self.now < request.answer_by - RETRY_INTERVAL_FRACTION * timeout;
        if !in_time || request.attempts >= self.settings.max_attempts {
            return false;
        }
        // The attempt that is given up may still run. The other engine therefore has to be one that
        // may get a repeat of the request.
        let first_possible_run = request.first_possible_run;
        request.first_possible_run.get_or_insert(PossibleRun {
            engine: unresponsive,
            sent_at,
        });
        let other = self.choose_decode_engine(request, prefill_engine);
        request.first_possible_run = first_possible_run;
        other.is_some_and(|engine| engine != unresponsive)
    }
}
