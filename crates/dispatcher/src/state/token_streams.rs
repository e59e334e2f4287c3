//! Token streams from decode engines to clients: order, credit and stall detection.

use super::engine_messages::ProtocolViolation;
use super::*;

/// Credit is granted in this many portions per window, instead of one message at a time.
const CREDIT_GRANTS_PER_WINDOW: u32 = 2;

impl Dispatcher {
    /// Forwards a token message to the request's client.
    ///
    /// # Errors
    /// The attempt only prefills, the tokens are out of order, or the message exceeds the credit.
    pub(super) fn handle_tokens(
        &mut self,
        request_id: RequestId,
        tokens: v1::Tokens,
        outputs: &mut Vec<Output>,
    ) -> Result<(), ProtocolViolation> {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return Ok(());
        };
        let Some(attempt) = request.current_attempt.as_mut() else {
            return Ok(());
        };
        if attempt.is_prefill
            || tokens.position != attempt.position
            || attempt.messages_received >= attempt.messages_credited
        {
            return Err(ProtocolViolation);
        }
        if request.answered {
            // The final answer was sent, but `Control` may not have cancelled the attempt yet. No more tokens may
            // reach the client.
            self.stop_attempt(request_id, outputs);
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
            return Ok(());
        }
        attempt.messages_received += 1;
        attempt.position = attempt.position.saturating_add(tokens.count);
        attempt.last_received_at = self.now;
        let is_first = !attempt.first_token_sent;
        let (conn, stream) = request.client_stream;
        if is_first {
            self.begin_stream(request_id);
        }
        if fault_injection::is_injected(InjectedFault::TokensTwice) {
            outputs.push(Output::ToClient {
                conn,
                frame: frame(stream.0, Body::Tokens(tokens.clone())),
            });
        }
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Tokens(tokens)),
        });
        Ok(())
    }

    /// Handles the first token of a request, which shows that its decode attempt has taken the KV state.
    fn begin_stream(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request.current_attempt.as_mut() else {
            return;
        };
        attempt.first_token_sent = true;
        attempt.last_forwarded_at = self.now;
        request.first_token_late = self.now > request.first_token_due_at;
        self.kv_states.mark_taken(request_id, self.now);
        // No further attempt needs the prompt; dropping it frees memory.
        request.submit.prompt = Default::default();
        let (attempt_id, engine) = (attempt.id, attempt.engine.clone());
        let latency = self.now - attempt.started_at;
        self.timers.set(
            self.now + self.settings.limits.stall_timeout,
            TimerKind::StreamStall(request_id, attempt_id),
        );
        self.events.push(Event::FirstToken {
            request: request_id,
            attempt: attempt_id,
            engine,
            latency,
        });
    }

    /// Handles token messages that were written to the client. The decode engine gets credit to send as many more.
    pub(super) fn on_messages_forwarded(
        &mut self,
        client_stream: ClientStream,
        messages: u32,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self
            .client_streams
            .get(&client_stream)
            .and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        let Some(attempt) = request.current_attempt.as_mut() else {
            return;
        };
        attempt.messages_forwarded =
            (attempt.messages_forwarded + messages).min(attempt.messages_received);
        attempt.last_forwarded_at = self.now;
        let credit = (attempt.messages_forwarded + self.settings.limits.stream_window)
            .saturating_sub(attempt.messages_credited);
        if credit >= (self.settings.limits.stream_window / CREDIT_GRANTS_PER_WINDOW).max(1) {
            attempt.messages_credited += credit;
            let (connection, stream) = (attempt.connection, attempt.stream);
            let body = Body::Credit(v1::Credit { messages: credit });
            self.connections.send(connection, stream, body, outputs);
        }
    }

    /// Ends a stream that makes no progress for the stall timeout. Without this, a client could wait forever, or
    /// messages could accumulate for a client that does not read.
    ///
    /// If the decode engine sends nothing, its attempt ends as lost. If the client reads nothing, it counts as
    /// gone. A decode engine that waits for credit does not count as stalled.
    pub(super) fn check_stream_progress(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let current = request.current_attempt.as_ref();
        let Some(attempt) = current.filter(|attempt| attempt.id == attempt_id) else {
            return;
        };
        let all_messages_forwarded = attempt.messages_forwarded == attempt.messages_received;
        let stalled_since = if all_messages_forwarded {
            attempt.last_received_at.max(attempt.last_forwarded_at)
        } else {
            attempt.last_forwarded_at
        };
        let timeout = self.settings.limits.stall_timeout;
        if self.now < stalled_since + timeout {
            let timer = TimerKind::StreamStall(request_id, attempt_id);
            return self.timers.set(stalled_since + timeout, timer);
        }
        if all_messages_forwarded {
            let engine = attempt.engine.clone();
            self.end_stalled_stream(request_id, &engine, outputs);
        } else {
            let (conn, _) = request.client_stream;
            self.on_client_gone(request_id, outputs);
            outputs.push(Output::CloseClient {
                conn,
                reason: format!("client read no tokens for {timeout:.0} ms"),
            });
        }
    }

    fn end_stalled_stream(
        &mut self,
        request_id: RequestId,
        engine: &EngineId,
        outputs: &mut Vec<Output>,
    ) {
        let timeout = self.settings.limits.stall_timeout;
        let text = format!(
            "request {}: no message from {} for {timeout:.0} ms; stream ended as failed",
            request_id.0, engine.0
        );
        outputs.push(Output::log(Level::Warn, text));
        self.stop_attempt(request_id, outputs);
        let outcome = Outcome::ConnectionLost;
        let reason = "the writer stalled";
        self.finish_attempt(request_id, outcome, reason, Load::default(), outputs);
    }
}
