//! Whether an attempt that was sent has reached its engine: whether the engine has run since.
//!
//! Written bytes are no proof. The answer to a call that was begun after the attempt was sent is one, on whatever
//! connection it comes; so is anything that comes so long after it that it cannot have been under way before.

use super::stream_purpose::StreamPurpose;
use super::*;

/// The KV state timeout divided by this is the time within which an engine has to answer a liveness check. After it the
/// connection is closed, and the next check takes another one.
const LIVENESS_TIMEOUT_DIVISOR: f64 = 4.0;

impl Dispatcher {
    /// The decisions want to know whether an attempt has reached an engine that runs.
    /// The answer is an [`Event::Delivered`], now or once the engine has run.
    pub(super) fn confirm(
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
        // One whose connection is under way has not gone out: the connection has its own time limit.
        let Some(sent) = attempt.sent_at else { return };
        let engine = attempt.engine.clone();
        attempt.confirmation_requested = true;
        if self.connections.has_run_since(&engine, sent) {
            self.delivered(request_id);
        } else {
            self.delivery_unconfirmed.insert(request_id);
            self.check_liveness(&engine, outputs);
        }
    }

    /// An engine has shown that it runs: what was sent to it before has arrived.
    pub(super) fn note_engine_alive(&mut self, engine: &EngineId) {
        let arrived = |id: &&RequestId| {
            let attempt = self
                .requests
                .get(id)
                .and_then(|request| request.current_attempt.as_ref());
            attempt.is_some_and(|attempt| attempt.engine == *engine && self.has_arrived(attempt))
        };
        let arrived: Vec<RequestId> = self
            .delivery_unconfirmed
            .iter()
            .filter(arrived)
            .copied()
            .collect();
        for id in arrived {
            self.delivered(id);
        }
    }

    /// Whether its engine has run since an attempt was sent.
    pub(super) fn has_arrived(&self, attempt: &requests::Attempt) -> bool {
        attempt
            .sent_at
            .is_some_and(|sent| self.connections.has_run_since(&attempt.engine, sent))
    }

    fn delivered(&mut self, request: RequestId) {
        self.delivery_unconfirmed.remove(&request);
        let Some(attempt) = self.current_attempt(request) else {
            return;
        };
        self.events.push(Event::Delivered {
            request,
            attempt: attempt.id,
        });
    }

    /// Asks an engine for something that any engine answers at once and that costs it little: the release of a request
    /// that is over. A process that has had none yet sends a health check, where that is allowed.
    fn check_liveness(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let over = self
            .last_finished_origin
            .clone()
            .filter(|origin| !self.requests_by_origin.contains_key(origin));
        let Some(origin) = over else {
            if self.settings.policy.may_health_check {
                self.check_health(engine.clone(), outputs);
            }
            return;
        };
        let Some(row) = self
            .endpoints
            .engines
            .get(engine)
            .filter(|row| row.status != EndpointStatus::Gone)
        else {
            return;
        };
        if self.connections.is_asked_in_vain(engine) {
            return;
        }
        let address = row.line.address.clone();
        let to = (&mut self.timers, &mut *outputs);
        // Without a connection there is no answer either.
        let Ok((connection, stream)) = self.connections.open(
            engine,
            &address,
            StreamPurpose::LivenessCheck,
            self.now,
            &self.settings,
            to,
        ) else {
            return;
        };
        let within = self.settings.policy.kv_state_timeout / LIVENESS_TIMEOUT_DIVISOR;
        self.timers
            .set(self.now + within, Due::StreamTimeout(connection, stream));
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

    /// What is not known of the current attempt of a request, and how it stands, for the log.
    pub(super) fn undelivered_attempt(
        &self,
        request_id: RequestId,
    ) -> Option<(&'static str, String)> {
        let request = self.requests.get(&request_id)?;
        let attempt = request
            .current_attempt
            .as_ref()
            .filter(|attempt| !attempt.first_token_sent)?;
        let problem = match self.has_arrived(attempt) {
            true => "nothing has come on its attempt's connection",
            false => "its attempt has not arrived",
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
            "id={} attempt={} engine={} sent {}, on a connection made {} that carried {} calls; its engine was last heard {}, \
             and answered a call that was sent {}",
            request.origin(),
            attempt.id.0,
            attempt.engine.0,
            attempt.sent_at.map_or("not yet".to_owned(), since),
            since(connection.dialled),
            connection.carried(),
            since(self.connections.engine_last_received_at(&attempt.engine)),
            since(self.connections.ran_at(&attempt.engine)),
        );
        Some((problem, text))
    }
}
