//! Checks whether an attempt has reached its engine. It counts as having reached the engine once the engine is
//! known to have run after the attempt was sent.
//!
//! Bytes that were written to a socket prove nothing. The answer to a call that began after the attempt was sent is
//! a proof, on any connection of the engine. Any other message is a proof if it arrives so long after the attempt
//! was sent that the engine cannot have sent it before.

use super::stream_purpose::StreamPurpose;
use super::*;

/// An engine must answer a liveness check within the KV state timeout divided by this. If it does not, the
/// connection is closed, and the next check uses another connection.
const LIVENESS_TIMEOUT_DIVISOR: f64 = 4.0;

impl Dispatcher {
    /// Checks whether an attempt has reached its engine, at the request of `Control`. The result is reported as
    /// [`Event::Delivered`], at once or when the engine is known to have run since.
    pub(super) fn confirm_delivery(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request
            .current_attempt
            .as_mut()
            .filter(|attempt| attempt.id == attempt_id)
        else {
            return;
        };
        // An attempt that is queued for its connection was not sent; the connect timeout limits that wait.
        let Some(sent_at) = attempt.sent_at else {
            return;
        };
        let engine = attempt.engine.clone();
        attempt.confirmation_requested = true;
        if self.connections.has_run_since(&engine, sent_at) {
            self.report_delivery(request_id);
        } else {
            self.delivery_unconfirmed.insert(request_id);
            self.check_liveness(&engine, outputs);
        }
    }

    /// Reports the delivery of attempts to an engine that is known to have run after they were sent.
    pub(super) fn report_confirmed_deliveries(&mut self, engine: &EngineId) {
        let is_delivered = |id: &&RequestId| {
            let attempt = self
                .requests
                .get(id)
                .and_then(|request| request.current_attempt.as_ref());
            attempt.is_some_and(|attempt| {
                attempt.engine == *engine && self.has_reached_engine(attempt)
            })
        };
        let delivered: Vec<RequestId> = self
            .delivery_unconfirmed
            .iter()
            .filter(is_delivered)
            .copied()
            .collect();
        for id in delivered {
            self.report_delivery(id);
        }
    }

    /// Whether the attempt's engine is known to have run since the attempt was sent.
    pub(super) fn has_reached_engine(&self, attempt: &requests::Attempt) -> bool {
        attempt
            .sent_at
            .is_some_and(|sent_at| self.connections.has_run_since(&attempt.engine, sent_at))
    }

    fn report_delivery(&mut self, request: RequestId) {
        self.delivery_unconfirmed.remove(&request);
        let Some(attempt) = self.current_attempt(request) else {
            return;
        };
        self.events.push(Event::Delivered {
            request,
            attempt: attempt.id,
        });
    }

    /// Checks whether an engine runs, with a call that every engine answers at once and at little cost: the release
    /// of a request that has finished. If no request has finished yet, a health check is sent instead, where the
    /// settings allow it.
    fn check_liveness(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let finished_origin = self
            .last_finished_origin
            .clone()
            .filter(|origin| !self.requests_by_origin.contains_key(origin));
        let Some(origin) = finished_origin else {
            if self.settings.policy.may_health_check {
                self.check_health(engine.clone(), outputs);
            }
            return;
        };
        let Some(entry) = self
            .endpoints
            .engines
            .get(engine)
            .filter(|entry| entry.status != EndpointStatus::Gone)
        else {
            return;
        };
        if self.connections.is_suspected_with_open_call(engine) {
            return;
        }
        let address = entry.endpoint.address.clone();
        let effects = (&mut self.timers, &mut *outputs);
        // If no connection can carry the call, there can be no answer.
        let Ok((connection, stream)) = self.connections.open(
            engine,
            &address,
            StreamPurpose::LivenessCheck,
            self.now,
            &self.settings,
            effects,
        ) else {
            return;
        };
        let timeout = self.settings.policy.kv_state_timeout / LIVENESS_TIMEOUT_DIVISOR;
        self.timers.set(
            self.now + timeout,
            TimerKind::StreamTimeout(connection, stream),
        );
        self.connections.send(
            connection,
            stream,
            Body::Release(v1::Release {
                state: None,
                origin,
            }),
            outputs,
        );
    }

    /// Describes for the log why the delivery of the current attempt is uncertain, and the attempt itself. Returns
    /// `None` if the token stream has begun or there is no current attempt.
    pub(super) fn undelivered_attempt(
        &self,
        request_id: RequestId,
    ) -> Option<(&'static str, String)> {
        let request = self.requests.get(&request_id)?;
        let attempt = request
            .current_attempt
            .as_ref()
            .filter(|attempt| !attempt.first_token_sent)?;
        let problem = match self.has_reached_engine(attempt) {
            true => "no message on the attempt's connection although the engine runs",
            false => "attempt not known to have reached its engine",
        };
        let connection = self.connections.get(attempt.connection)?;
        let since = |at: Ms| {
            if at.is_finite() {
                format!("{:.0} ms ago", self.now - at)
            } else {
                "never".to_owned()
            }
        };
        let text = format!(
            "id={} attempt={} engine={} sent {}, on a connection dialled {} \
             with {} streams opened so far; last message from the engine {}, last known to have run {}",
            request.origin(),
            attempt.id.0,
            attempt.engine.0,
            attempt.sent_at.map_or("not yet".to_owned(), since),
            since(connection.dialled_at),
            connection.opened_streams(),
            since(self.connections.engine_last_received_at(&attempt.engine)),
            since(self.connections.ran_at(&attempt.engine)),
        );
        Some((problem, text))
    }
}
