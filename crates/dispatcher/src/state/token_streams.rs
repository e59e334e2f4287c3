//! Tokens from decode engines to clients: order, credit, and streams that stall.

use super::*;

/// The whole of the credit is given back in so many parts.
const CREDIT_PARTS: u32 = 2;

impl Dispatcher {
    /// Tells whether the engine may say so: a decode engine, the next tokens, within its credit.
    pub(super) fn take_tokens(
        &mut self,
        id: RequestId,
        tokens: v1::Tokens,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let Some(attempt) = request.out.as_mut() else {
            return true;
        };
        if attempt.reading
            || tokens.position != attempt.position
            || attempt.came >= attempt.credited
        {
            return false;
        }
        if request.answered {
            // The answer is out, and the decisions may not call off: nothing more reaches the client.
            self.stop_attempt(id, out);
            self.end_attempt(id, Outcome::Cancelled, 0.0, Load::default());
            return true;
        }
        attempt.came += 1;
        attempt.position = attempt.position.saturating_add(tokens.count);
        attempt.last_came = self.now;
        if !attempt.first {
            attempt.first = true;
            attempt.last_gone = self.now;
            request.late = self.now > request.latency_objective;
            self.kv_states.taken(id, self.now);
            // No attempt can need it any more.
            request.submit.prompt = Default::default();
            let (no, engine, latency) =
                (attempt.no, attempt.engine.clone(), self.now - attempt.since);
            self.timers.set(
                self.now + self.settings.limits.stall_limit,
                Due::Stall(id, no),
            );
            self.events.push(Event::FirstToken {
                request: id,
                attempt: no,
                engine,
                latency,
            });
        }
        let (conn, stream) = request.client_stream;
        if fault_injection::is(Plant::TokensTwice) {
            out.push(Output::ToClient {
                conn,
                frame: frame(stream.0, Body::Tokens(tokens.clone())),
            });
        }
        out.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Tokens(tokens)),
        });
        true
    }

    /// The client has taken some of a stream: the decode engine may send as much more.
    pub(super) fn take_flushed(
        &mut self,
        client_stream: ClientStream,
        messages: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self
            .client_streams
            .get(&client_stream)
            .and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        let Some(attempt) = request.out.as_mut() else {
            return;
        };
        attempt.gone = (attempt.gone + messages).min(attempt.came);
        attempt.last_gone = self.now;
        let room = (attempt.gone + self.settings.limits.window).saturating_sub(attempt.credited);
        if room >= (self.settings.limits.window / CREDIT_PARTS).max(1) {
            attempt.credited += room;
            let (connection, stream) = (attempt.connection, attempt.stream);
            let body = Body::Credit(v1::Credit { messages: room });
            self.connections.send(connection, stream, body, out);
        }
    }

    /// Guards against streams that neither go on nor end: a decode engine that stalls is given up as broken, and a
    /// client that takes nothing has left. A decode engine that waits for credit does not stall.
    pub(super) fn look_at_stream(&mut self, id: RequestId, no: AttemptId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = request.out.as_ref().filter(|l| l.no == no) else {
            return;
        };
        let client_waits = attempt.gone == attempt.came;
        let since = if client_waits {
            attempt.last_came.max(attempt.last_gone)
        } else {
            attempt.last_gone
        };
        let limit = self.settings.limits.stall_limit;
        if self.now < since + limit {
            return self.timers.set(since + limit, Due::Stall(id, no));
        }
        if client_waits {
            let text = format!("stream of task {} stalled at {}", id.0, attempt.engine.0);
            out.push(Output::Log {
                level: Level::Warn,
                text,
            });
            self.stop_attempt(id, out);
            self.finish_attempt(
                id,
                Outcome::ConnectionLost,
                "the writer stalled",
                Load::default(),
                out,
            );
        } else {
            let (conn, _) = request.client_stream;
            self.leave(id, out);
            out.push(Output::CloseClient {
                conn,
                reason: "it takes nothing".to_owned(),
            });
        }
    }
}
