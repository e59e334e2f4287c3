//! Tokens from decode engines to clients: order, credit, and streams that stall.

use super::*;

/// The whole of the credit is given back in so many parts.
const CREDIT_GRANTS_PER_WINDOW: u32 = 2;

impl Dispatcher {
    /// Tells whether the engine may say so: a decode engine, the next tokens, within its credit.
    pub(super) fn handle_tokens(
        &mut self,
        request_id: RequestId,
        tokens: v1::Tokens,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return true;
        };
        let Some(attempt) = request.current_attempt.as_mut() else {
            return true;
        };
        if attempt.is_prefill
            || tokens.position != attempt.position
            || attempt.messages_received >= attempt.messages_credited
        {
            return false;
        }
        if request.answered {
            // The answer is out, and the decisions may not call off: nothing more reaches the client.
            self.stop_attempt(request_id, outputs);
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
            return true;
        }
        attempt.messages_received += 1;
        attempt.position = attempt.position.saturating_add(tokens.count);
        attempt.last_received_at = self.now;
        if !attempt.first_token_sent {
            attempt.first_token_sent = true;
            attempt.last_forwarded_at = self.now;
            request.first_token_late = self.now > request.first_token_due_at;
            self.kv_states.mark_taken(request_id, self.now);
            // No attempt can need it any more.
            request.submit.prompt = Default::default();
            let (attempt_id, engine, latency) = (
                attempt.id,
                attempt.engine.clone(),
                self.now - attempt.started_at,
            );
            self.timers.set(
                self.now + self.settings.limits.stall_limit,
                Due::StreamStall(request_id, attempt_id),
            );
            self.events.push(Event::FirstToken {
                request: request_id,
                attempt: attempt_id,
                engine,
                latency,
            });
        }
        let (conn, stream) = request.client_stream;
        if fault_injection::is(Plant::TokensTwice) {
            outputs.push(Output::ToClient {
                conn,
                frame: frame(stream.0, Body::Tokens(tokens.clone())),
            });
        }
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Tokens(tokens)),
        });
        true
    }

    /// The client has taken some of a stream: the decode engine may send as much more.
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
        let room = (attempt.messages_forwarded + self.settings.limits.window)
            .saturating_sub(attempt.messages_credited);
        if room >= (self.settings.limits.window / CREDIT_GRANTS_PER_WINDOW).max(1) {
            attempt.messages_credited += room;
            let (connection, stream) = (attempt.connection, attempt.stream);
            let body = Body::Credit(v1::Credit { messages: room });
            self.connections.send(connection, stream, body, outputs);
        }
    }

    /// Guards against streams that neither go on nor end: a decode engine that stalls is given up as broken, and a
    /// client that takes nothing has left. A decode engine that waits for credit does not stall.
    pub(super) fn check_stream_progress(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let Some(attempt) = request
            .current_attempt
            .as_ref()
            .filter(|l| l.id == attempt_id)
        else {
            return;
        };
        let client_waits = attempt.messages_forwarded == attempt.messages_received;
        let since = if client_waits {
            attempt.last_received_at.max(attempt.last_forwarded_at)
        } else {
            attempt.last_forwarded_at
        };
        let limit = self.settings.limits.stall_limit;
        if self.now < since + limit {
            return self
                .timers
                .set(since + limit, Due::StreamStall(request_id, attempt_id));
        }
        if client_waits {
            let text = format!(
                "stream of task {} stalled at {}",
                request_id.0, attempt.engine.0
            );
            outputs.push(Output::Log {
                level: Level::Warn,
                text,
            });
            self.stop_attempt(request_id, outputs);
            self.finish_attempt(
                request_id,
                Outcome::ConnectionLost,
                "the writer stalled",
                Load::default(),
                outputs,
            );
        } else {
            let (conn, _) = request.client_stream;
            self.client_gone(request_id, outputs);
            outputs.push(Output::CloseClient {
                conn,
                reason: "it takes nothing".to_owned(),
            });
        }
    }
}
