//! Applies events to the state of requests, engines and traffic.

use super::delivery::Delivery;
use super::engines::EngineIndex;
use super::requests::{Attempt, Intents, PossibleRun, Request};
use super::retry;
use super::stage::Stage;
use super::state::State;
use crate::interface::*;

/// The value of [`Ended::detail`] with which a decode engine says why it rejected an attempt: the
/// prefill engine had no KV state to fetch.
const DETAIL_NO_KV_STATE: f64 = 1.0;

impl State {
    pub(super) fn handle_event(&mut self, event: &Event) {
        match event {
            Event::EndpointsUpdated { kind, endpoints } => {
                self.handle_endpoints_updated(*kind, endpoints)
            }
            Event::Arrived(arrival) => self.handle_arrival(arrival),
            Event::ClientGone { request } => self.handle_client_gone(*request),
            Event::FirstToken {
                request, attempt, ..
            } => self.handle_first_token(*request, *attempt),
            Event::Ended(ended) => self.handle_attempt_ended(ended),
            Event::Delivered { request, attempt } => self.handle_delivered(*request, *attempt),
            Event::Timer { timer } => self.timer.record_expired(*timer),
            Event::HealthChecked {
                engine,
                outcome,
                load,
                ..
            } => self.handle_health_checked(engine, *outcome, load),
            Event::ReservationChanged { .. } | Event::GossipReceived { .. } => {}
        }
    }

    fn handle_endpoints_updated(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        if matches!(
            kind,
            EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached
        ) {
            self.engines.mark_gone_unless_in(endpoints);
        }
        for endpoint in endpoints {
            if let Some(kind) = self.settings.kinds.get(endpoint.kind.0 as usize) {
                self.engines.update(endpoint, kind);
            }
        }
    }

    fn handle_arrival(&mut self, arrival: &Arrival) {
        let over_quota = self.record_tenant_request(arrival.tenant);
        let Some(class) = self.classes.get(arrival.request_class) else {
            return;
        };
        let request = Request {
            prefill_start_by: self.prefill_start_by(class.latency_objective(arrival)),
            answer_by: self.answer_by(arrival.time_to_deadline),
            shortest_objective_for_prompt: self.classes.shortest_objective_for_prompt(arrival),
            arrival: arrival.clone(),
            attempts: 0,
            attempt: None,
            kv_state: None,
            unclaimed_since: self.now,
            held_until: 0.0,
            excluded_engines: Vec::new(),
            first_possible_run: None,
            finished: false,
            over_quota,
            intents: Intents::default(),
        };
        self.requests.insert(arrival.request, request);
        self.queue.schedule(arrival.request);
        self.slow_start.record_arrival(self.now, &self.settings);
    }

    fn handle_client_gone(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
            self.queue.schedule(id);
        }
    }

    fn handle_first_token(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let queued_after_ms = request.queued_after_ms();
        let Some(attempt) = request.attempt.as_mut().filter(|a| a.id == attempt) else {
            return;
        };
        attempt.decoding = true;
        attempt.delivery = Delivery::CountsAsDelivered;
        let (index, sent_at) = (attempt.engine, attempt.sent_at);
        request.kv_state = None;
        self.queue.schedule(id);
        let queued = self.now - sent_at > queued_after_ms;
        let engine = &mut self.engines[index];
        engine.record_queueing(queued, sent_at, self.now);
        engine.last_response_at = self.now;
        self.record_service(index, Stage::Decode);
    }

    fn handle_health_checked(&mut self, engine: &EngineId, outcome: Outcome, load: &Load) {
        let Some(index) = self.engines.index_of(engine) else {
            return;
        };
        self.engines[index]
            .health_check
            .record_answer(outcome == Outcome::Succeeded, self.now);
        self.engines.record_load(index, load, self.now);
    }

    fn handle_attempt_ended(&mut self, ended: &Ended) {
        let Some(index) = self.engines.index_of(&ended.engine) else {
            return;
        };
        self.engines.record_load(index, &ended.load, self.now);
        let Some(attempt) = self.take_attempt(ended, index) else {
            return;
        };
        self.queue.schedule(ended.request);
        self.engines[index].record_attempt_ended(attempt.stage, attempt.uncached_tokens);
        let Some(request) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let queued = ended.outcome != Outcome::PrefillDone
            || self.now - attempt.sent_at > request.queued_after_ms();
        request.finished |= ended.last;
        if attempt.delivery.has_reached_engine(ended.outcome) {
            request.unclaimed_since = self.now;
        }
        if retry::may_have_run(&attempt, ended.outcome, &self.engines) {
            request.first_possible_run.get_or_insert(PossibleRun {
                engine: index,
                sent_at: attempt.sent_at,
            });
        }
        self.record_latency(&attempt, ended.outcome, queued);
        self.apply_outcome(ended, index);
    }

    /// Removes the ended attempt from its request. Returns `None` if it is not the request's
    /// attempt in flight.
    fn take_attempt(&mut self, ended: &Ended, index: EngineIndex) -> Option<Attempt> {
        let request = self.requests.get_mut(&ended.request)?;
        self.queue.remove_from_prefill_count(request);
        let attempt = request
            .attempt
            .take_if(|attempt| attempt.id == ended.attempt && attempt.engine == index);
        self.queue.add_to_prefill_count(request);
        attempt
    }

    fn record_latency(&mut self, attempt: &Attempt, outcome: Outcome, queued: bool) {
        let engine = &mut self.engines[attempt.engine];
        let is_prefill = attempt.stage == Stage::Prefill;
        let shows_queueing = matches!(
            outcome,
            Outcome::PrefillDone | Outcome::TimedOut | Outcome::Overloaded
        );
        if is_prefill && shows_queueing {
            engine.record_queueing(queued, attempt.sent_at, self.now);
        }
        // A fast answer makes a load report unnecessary for a while. A late or rejected attempt has
        // queued, so the engine is busy and a load report is still needed.
        let answered_in_time = if is_prefill {
            !queued
        } else {
            outcome == Outcome::Succeeded
        };
        if answered_in_time {
            engine.last_response_at = self.now;
        }
    }

    fn apply_outcome(&mut self, ended: &Ended, index: EngineIndex) {
        let Some(request) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let engine = &mut self.engines[index];
        match ended.outcome {
            Outcome::Succeeded => engine.record_outcome(true),
            Outcome::PrefillDone => {
                request.kv_state = Some(index);
                request.excluded_engines.clear();
                self.engines
                    .record_prefill_done(index, &request.arrival, ended.detail);
                self.record_service(index, Stage::Prefill);
            }
            // The prefill engine no longer holds the KV state (it died or released the KV state),
            // so the prompt is prefilled again.
            Outcome::Overloaded if ended.detail == DETAIL_NO_KV_STATE => request.kv_state = None,
            Outcome::Overloaded => {
                request.excluded_engines.push(index);
                engine
                    .overload_backoff
                    .record_rejection(self.now, self.settings.kv_state_timeout);
            }
            Outcome::Failed
            | Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Unreachable => {
                request.excluded_engines.push(index);
                engine.record_outcome(false);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records that an engine has finished a prefill or has sent the first token of a decode.
    fn record_service(&mut self, index: EngineIndex, stage: Stage) {
        self.engines[index].record_outcome(true);
        // Guards against a cold-engine budget that is too large while engines are being replaced:
        // if work that ends at replaced engines were divided by the few warm engines left, it would
        // overstate the capacity of a warm engine.
        if self.is_cold(index) || !self.engines[index].is_ready() {
            return;
        }
        let warm = self
            .engines
            .ready(stage)
            .filter(|&engine| !self.is_cold(engine))
            .count();
        self.slow_start
            .record_service(stage, warm, self.now, &self.settings);
    }
}
