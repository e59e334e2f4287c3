//! Starts, resends, cancels, times out and ends attempts of requests at engines.

use super::engine_requests::{attempt_message, kv_state_id};
use super::kv_states::HeldState;
use super::requests::Attempt;
use super::stream_purpose::StreamPurpose;
use super::*;
use cindercleat::connection_pool::PlacementError;

/// An attempt that is about to start, before its stream is opened.
struct PlannedAttempt {
    request_id: RequestId,
    attempt_id: AttemptId,
    engine: EngineId,
    is_prefill: bool,
    expires_at: Ms,
}

/// The stream that was opened for an attempt, and the message to send on it.
struct OpenedAttempt {
    connection: EngineConnectionId,
    stream: StreamId,
    body: Body,
}

impl Dispatcher {
    /// The attempt of a request that has not ended; `None` between attempts.
    pub(super) fn current_attempt(&self, request_id: RequestId) -> Option<&Attempt> {
        self.requests.get(&request_id)?.current_attempt.as_ref()
    }

    /// Starts an attempt of a request at an engine. The attempt times out at `until`, or at the request's deadline
    /// if that is earlier or `until` is `None`. If the attempt is not allowed or cannot be sent, it ends at once.
    pub(super) fn start_attempt(
        &mut self,
        request_id: RequestId,
        engine: EngineId,
        until: Option<Ms>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let attempt_id = AttemptId(request.attempts);
        request.attempts += 1;
        let (answered, deadline) = (request.answered, request.deadline);
        let is_prefill = self.is_prefill_only(request_id, &engine);
        if !self.may_start_attempt(request_id, &engine, is_prefill, outputs) {
            let outcome = Outcome::NotSent;
            let event = unsent_attempt_ended(request_id, attempt_id, engine, outcome, answered);
            return self.events.push(event);
        }
        let planned = PlannedAttempt {
            request_id,
            attempt_id,
            engine,
            is_prefill,
            expires_at: until.unwrap_or(deadline).min(deadline),
        };
        match self.open_attempt(&planned, outputs) {
            Some(Ok(opened)) => self.begin_attempt(planned, opened, outputs),
            // `Control` avoids the engine for a moment after `Overloaded`, and counts `Unreachable` as a failure of
            // the engine.
            Some(Err(error)) => {
                let outcome = match error {
                    PlacementError::PoolExhausted => Outcome::Overloaded,
                    PlacementError::BackingOff => Outcome::Unreachable,
                };
                let event =
                    unsent_attempt_ended(request_id, attempt_id, planned.engine, outcome, answered);
                self.events.push(event);
            }
            // This case does not occur, because `may_start_attempt` has checked that the request and the engine are
            // known.
            None => {}
        }
    }

    /// Whether an attempt at the engine only prefills: it leaves a KV state there and streams no tokens.
    fn is_prefill_only(&self, request_id: RequestId, engine: &EngineId) -> bool {
        let entry = self.endpoints.engines.get(engine);
        self.kv_states.available(request_id).is_none()
            && entry.is_some_and(|entry| entry.role == Role::Prefill)
    }

    /// Opens a stream for an attempt and builds the attempt's message. Returns `None` if the request or the engine
    /// is unknown.
    fn open_attempt(
        &mut self,
        planned: &PlannedAttempt,
        outputs: &mut Vec<Output>,
    ) -> Option<Result<OpenedAttempt, PlacementError>> {
        let request_id = planned.request_id;
        let request = self.requests.get(&request_id)?;
        let address = self
            .endpoints
            .engines
            .get(&planned.engine)?
            .endpoint
            .address
            .clone();
        let state = planned
            .is_prefill
            .then(|| kv_state_id(self.settings.incarnation, request_id, planned.attempt_id));
        let available = self.kv_states.available(request_id);
        let body = attempt_message(
            request,
            available.map(|state| &state.held),
            state,
            &self.endpoints,
            self.settings.limits.stream_window,
            planned.expires_at - self.now,
        );
        let opened = self.connections.open(
            &planned.engine,
            &address,
            StreamPurpose::Attempt(request_id, planned.attempt_id),
            self.now,
            &self.settings,
            (&mut self.timers, outputs),
        );
        Some(opened.map(|(connection, stream)| OpenedAttempt {
            connection,
            stream,
            body,
        }))
    }

    fn begin_attempt(
        &mut self,
        planned: PlannedAttempt,
        opened: OpenedAttempt,
        outputs: &mut Vec<Output>,
    ) {
        let (request_id, attempt_id) = (planned.request_id, planned.attempt_id);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.current_attempt = Some(Attempt {
            id: attempt_id,
            engine: planned.engine,
            connection: opened.connection,
            stream: opened.stream,
            is_prefill: planned.is_prefill,
            started_at: self.now,
            sent_at: None,
            confirmation_requested: false,
            expires_at: planned.expires_at,
            first_token_sent: false,
            position: 0,
            messages_received: 0,
            messages_forwarded: 0,
            messages_credited: self.settings.limits.stream_window,
            last_received_at: self.now,
            last_forwarded_at: self.now,
        });
        let connection = self.connections.get(opened.connection);
        if connection.is_some_and(|connection| connection.is_established) {
            request.mark_sent(self.now);
        }
        if !planned.is_prefill {
            self.kv_states.offer_to_attempt(request_id, attempt_id);
        }
        let timeout = TimerKind::AttemptTimeout(request_id, attempt_id);
        self.timers.set(planned.expires_at, timeout);
        self.connections
            .send(opened.connection, opened.stream, opened.body, outputs);
    }

    /// Sends the current attempt again on another connection, after the first connection ended before any part of
    /// the attempt was written to it. The engine has sent nothing of the attempt. Returns whether the attempt was
    /// sent or queued.
    pub(super) fn resend_attempt(
        &mut self,
        request_id: RequestId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if self.is_answered(request_id) {
            return false;
        }
        let current = self.current_attempt(request_id);
        let Some(attempt) = current.filter(|attempt| !attempt.first_token_sent) else {
            return false;
        };
        let planned = PlannedAttempt {
            request_id,
            attempt_id: attempt.id,
            engine: attempt.engine.clone(),
            is_prefill: attempt.is_prefill,
            expires_at: attempt.expires_at,
        };
        if self.endpoints.status(&planned.engine) != EndpointStatus::Ready {
            return false;
        }
        let Some(Ok(opened)) = self.open_attempt(&planned, outputs) else {
            return false;
        };
        let current = self
            .requests
            .get_mut(&request_id)
            .and_then(|request| request.current_attempt.as_mut());
        let Some(attempt) = current else {
            return false;
        };
        (attempt.connection, attempt.stream) = (opened.connection, opened.stream);
        attempt.sent_at = self
            .connections
            .get(opened.connection)
            .filter(|connection| connection.is_established)
            .map(|_| self.now);
        self.connections
            .send(opened.connection, opened.stream, opened.body, outputs);
        true
    }

    /// Stops the current attempt. If its message is still queued, the message is withdrawn; otherwise the engine is
    /// sent a cancel. Returns whether the attempt was never sent.
    pub(super) fn stop_attempt(
        &mut self,
        request_id: RequestId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(attempt) = self.current_attempt(request_id) else {
            return true;
        };
        let (connection, stream) = (attempt.connection, attempt.stream);
        if self.connections.withdraw_unsent(connection, stream) {
            self.connections
                .close_stream(connection, stream, self.now, &mut self.timers);
            return true;
        }
        // The stream stays open until the engine ends it, because until then the attempt may still use capacity of
        // the engine.
        let prefilled = self.current_prefill_state(request_id);
        self.abandon_stream(connection, stream);
        if !fault_injection::is_injected(InjectedFault::CancelLost) {
            self.connections
                .send(connection, stream, Body::Cancel(v1::Cancel {}), outputs);
        }
        // The prefill may end at its engine before the cancel arrives. Its KV state would then stay pinned there,
        // so the state is released as well.
        if let Some(held) = prefilled {
            self.release_leftover(request_id, held, outputs);
        }
        false
    }

    /// The KV state that the current attempt leaves at its engine, if the attempt only prefills.
    pub(super) fn current_prefill_state(&self, request_id: RequestId) -> Option<HeldState> {
        let request = self.requests.get(&request_id)?;
        let attempt = request
            .current_attempt
            .as_ref()
            .filter(|attempt| attempt.is_prefill)?;
        let state = kv_state_id(self.settings.incarnation, request_id, attempt.id);
        Some(HeldState {
            engine: attempt.engine.clone(),
            id: state,
            origin: request.origin(),
        })
    }

    /// Ends the current attempt and reports its outcome to `Control`. For the meaning of `detail` see [`Ended`].
    pub(super) fn end_attempt(
        &mut self,
        request_id: RequestId,
        outcome: Outcome,
        detail: f64,
        load: Load,
    ) {
        self.record_possible_run(request_id, outcome);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request.current_attempt.take() else {
            return;
        };
        self.delivery_unconfirmed.remove(&request_id);
        if outcome == Outcome::PrefillDone {
            let state = kv_state_id(self.settings.incarnation, request_id, attempt.id);
            let held = HeldState {
                engine: attempt.engine.clone(),
                id: state,
                origin: request.origin(),
            };
            self.kv_states
                .record_prefill_end(request_id, held, self.now);
        }
        let latency = self.now - attempt.started_at;
        let last = request.answered;
        self.update_kv_state_after_attempt(request_id, &attempt, outcome);
        let (attempt, engine) = (attempt.id, attempt.engine);
        self.events.push(Event::Ended(Ended {
            request: request_id,
            attempt,
            engine,
            outcome,
            latency,
            last,
            detail,
            load,
        }));
        self.remove_finished_request(request_id);
    }

    /// Ends the current attempt, and sends the final answer if the outcome decides it. A success is always
    /// answered. Any other outcome is answered as failed if the token stream has begun, because sent tokens cannot
    /// be taken back.
    pub(super) fn finish_attempt(
        &mut self,
        request_id: RequestId,
        outcome: Outcome,
        reason: &str,
        load: Load,
        outputs: &mut Vec<Output>,
    ) {
        let has_stream = self
            .requests
            .get(&request_id)
            .is_some_and(Request::has_stream);
        match outcome {
            Outcome::Succeeded => self.answer(request_id, v1::Answer::Succeeded, 0.0, "", outputs),
            _ if has_stream => self.answer(request_id, v1::Answer::Failed, 0.0, reason, outputs),
            _ => {}
        }
        // The prefill may have ended at its engine although the message about its end was lost. Its KV state would
        // then stay pinned there, so the state is released.
        let held = self
            .current_prefill_state(request_id)
            .filter(|_| matches!(outcome, Outcome::ConnectionLost | Outcome::Failed));
        if let Some(held) =
            held.filter(|_| !fault_injection::is_injected(InjectedFault::FailedPrefillStateKept))
        {
            self.release_leftover(request_id, held, outputs);
        }
        self.end_attempt(request_id, outcome, 0.0, load);
    }

    /// Cancels an attempt, unless tokens of it were already sent to the client.
    pub(super) fn cancel_attempt(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_awaiting_first_token(request_id, attempt_id) {
            return;
        }
        let undelivered = self.undelivered_attempt(request_id);
        if let Some((problem, text)) = undelivered.filter(|_| !self.is_answered(request_id)) {
            let text = format!("attempt cancelled, {problem}: {text}");
            outputs.push(Output::log(Level::Info, text));
        }
        self.stop_and_end_attempt(request_id, Outcome::Cancelled, outputs);
    }

    /// Ends an attempt that has timed out, unless tokens of it were already sent to the client.
    pub(super) fn time_out_attempt(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_awaiting_first_token(request_id, attempt_id) {
            self.stop_and_end_attempt(request_id, Outcome::TimedOut, outputs);
        }
    }

    /// Whether the attempt is the current one of its request, and no token of it was sent to the client.
    fn is_awaiting_first_token(&self, request_id: RequestId, attempt_id: AttemptId) -> bool {
        let current = self.current_attempt(request_id);
        current.is_some_and(|attempt| attempt.id == attempt_id && !attempt.first_token_sent)
    }

    /// Stops and ends the current attempt. Its outcome is `outcome`, or [`Outcome::NotSent`] if it was never sent.
    fn stop_and_end_attempt(
        &mut self,
        request_id: RequestId,
        outcome: Outcome,
        outputs: &mut Vec<Output>,
    ) {
        let was_unsent = self.stop_attempt(request_id, outputs);
        let outcome = if was_unsent {
            Outcome::NotSent
        } else {
            outcome
        };
        self.end_attempt(request_id, outcome, 0.0, Load::default());
    }

    /// Asks an engine to reserve a slot for the decode attempt that follows the current prefill attempt.
    pub(super) fn reserve(
        &mut self,
        request_id: RequestId,
        engine: &EngineId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.current_attempt(request_id) else {
            return;
        };
        let state = kv_state_id(self.settings.incarnation, request_id, attempt.id);
        let purpose = StreamPurpose::Reservation(request_id, attempt.id);
        let Some(entry) = self
            .endpoints
            .engines
            .get(engine)
            .filter(|entry| entry.status == EndpointStatus::Ready)
        else {
            return;
        };
        let address = entry.endpoint.address.clone();
        let effects = (&mut self.timers, &mut *outputs);
        let opened =
            self.connections
                .open(engine, &address, purpose, self.now, &self.settings, effects);
        if let Ok((connection, stream)) = opened {
            let body = Body::Reserve(v1::Reserve { state: Some(state) });
            self.connections.send(connection, stream, body, outputs);
        }
    }

    /// Ends the token stream of a request, so that the client resumes the request at another dispatcher.
    pub(super) fn migrate(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        if self
            .requests
            .get(&request_id)
            .is_some_and(Request::has_stream)
        {
            self.stop_attempt(request_id, outputs);
            self.answer(
                request_id,
                v1::Answer::Failed,
                0.0,
                "moved: come back for the rest",
                outputs,
            );
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
        }
    }
}

/// Builds the event for the end of an attempt that was never sent. `last` is whether no other attempt of the
/// request follows.
fn unsent_attempt_ended(
    request: RequestId,
    attempt: AttemptId,
    engine: EngineId,
    outcome: Outcome,
    last: bool,
) -> Event {
    let load = Load::default();
    Event::Ended(Ended {
        request,
        attempt,
        engine,
        outcome,
        latency: 0.0,
        last,
        detail: 0.0,
        load,
    })
}
