//! What is done about a decode attempt that may not have reached its engine.

use super::delivery::{self, Delivery, DeliveryStep};
use super::engines::EngineIndex;
use super::outlier_detection::RETRY_INTERVAL_FRACTION;
use super::requests::{PossibleRun, Request};
use super::state::State;
use crate::interface::{AttemptId, Ms, RequestId};

impl State {
    /// What is known of the delivery of a decode attempt that is sent now.
    pub(super) fn delivery_of_new_decode(&self, request: &Request) -> Delivery {
        if !self.tracks_deliveries {
            return Delivery::Confirmed;
        }
        Delivery::sent(
            self.now,
            request.unclaimed_since,
            self.settings.kv_state_timeout,
        )
    }

    /// The attempt's engine has shown that it runs.
    pub(super) fn learn_delivery(&mut self, id: RequestId, attempt: AttemptId) {
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
            .note_engine_runs(self.now, unclaimed_since, timeout)
        {
            self.queue.wake(id);
        }
    }

    /// Plans for an attempt in flight: asks its engine to confirm that it runs, or gives it up.
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
            // Nothing has come from an engine that runs. The platform's pages can be read in two ways
            // (docs/acceptance.md, 'Readings'): a release spares what an attempt waits for, so it
            // takes nothing from one in the queue; or it releases everything, and that one finds no
            // state and is rejected, which proves that it has not run.
            DeliveryStep::ReleaseInDoubt => {
                request.intents.release_in_doubt = request.kv_state.is_some();
            }
            DeliveryStep::GiveUp => self.plan_undelivered(request, engine, sent_at),
        }
    }

    /// An attempt that has not arrived: another engine takes its KV state, if the request may run
    /// there and one is to be had in time; else the state is released, and the attempt, should it
    /// arrive after all, finds none.
    fn plan_undelivered(&mut self, request: &mut Request, engine: EngineIndex, sent_at: Ms) {
        let known = &mut self.engines[engine];
        known.note_outcome(false);
        // Guards against a run of requests that all wait for the same unresponsive engine.
        known
            .overload_backoff
            .leave_out_until(self.now + self.settings.kv_state_timeout);
        request.excluded_engines.push(engine);
        let may_cancel = self.settings.may_cancel;
        let goes_elsewhere = may_cancel && self.has_other_engine(request, engine, sent_at);
        // A repeat that arrived long after would be one that engines do not recognise any more.
        let is_repeat = request.first_possible_run.is_some();
        request.intents.cancel = goes_elsewhere || may_cancel && is_repeat;
        request.intents.release = request.kv_state.is_some() && !goes_elsewhere;
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
            && delivery::is_time_for_another(self.now, request.unclaimed_since, timeout)
            && self.now < request.ends_at - RETRY_INTERVAL_FRACTION * timeout;
        if !in_time || request.attempts >= self.settings.max_attempts {
            return false;
        }
        // The attempt that is given up may run yet: the other engine must be one for a repeat.
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
