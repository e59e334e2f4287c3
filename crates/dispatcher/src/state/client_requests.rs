//! What clients send and are answered: a request from its arrival to its one final answer.

use super::*;

/// What is left to a request whose time has passed while it came.
const MIN_TIME_TO_DEADLINE_MS: Ms = 0.001;

impl Dispatcher {
    pub(super) fn handle_client_message(
        &mut self,
        conn: ClientConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        self.heard_client(conn);
        match frame.body {
            Some(Body::Submit(submit)) => self.handle_submit((conn, stream), submit, outputs),
            Some(Body::Cancel(_)) => {
                // An unknown one has been answered in this very turn; nothing more is owed.
                if let Some(id) = self.client_streams.get(&(conn, stream)).copied() {
                    self.client_gone(id, outputs);
                    self.count_cancel(conn, outputs);
                }
            }
            // Whether requests can be routed: the list is there, and no stop has begun.
            Some(Body::Ping(_)) if stream.0 > 0 => {
                self.client_asks(conn);
                let ready = self.fares().0;
                let no = || v1::Goodbye {
                    reason: "not ready".to_owned(),
                    never_ran: true,
                };
                let body = if ready {
                    Body::Pong(v1::Pong {})
                } else {
                    Body::Goodbye(no())
                };
                let frame = Frame {
                    stream: stream.0,
                    body: Some(body),
                };
                outputs.push(Output::ToClient { conn, frame });
                self.client_answered(conn);
            }
            Some(Body::Goodbye(_) | Body::Pong(_)) => {}
            other => {
                let reason = format!("a client does not send {}", name_of(other.as_ref()));
                outputs.push(Output::CloseClient { conn, reason });
            }
        }
    }

    pub(super) fn handle_submit(
        &mut self,
        client_stream: ClientStream,
        mut submit: v1::Submit,
        outputs: &mut Vec<Output>,
    ) {
        let (conn, stream) = client_stream;
        let took = self.client_asks(conn);
        if self.client_streams.contains_key(&client_stream) || stream.0 == 0 {
            let reason = format!("stream {} is in use or reserved", stream.0);
            return outputs.push(Output::CloseClient { conn, reason });
        }
        // The client's time runs since it sent the first of its request. One whose time has passed meanwhile is as good
        // as any other, and is answered so.
        if submit.time_to_deadline_ms > 0.0 {
            submit.time_to_deadline_ms =
                (submit.time_to_deadline_ms - took).max(MIN_TIME_TO_DEADLINE_MS);
        }
        let arrival = match self.admit(&submit) {
            Ok(arrival) => arrival,
            Err(body) => {
                if let (Some(service_stats), Body::Final(end)) = (&mut self.service_stats, &*body) {
                    service_stats.answered(end.answer(), false);
                }
                outputs.push(Output::ToClient {
                    conn,
                    frame: frame(stream.0, *body),
                });
                return self.client_answered(conn);
            }
        };
        let id = arrival.request;
        self.next_request_id += 1;
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Accepted(v1::Accepted { request: id.0 })),
        });
        if self.stopping_since.is_some() {
            outputs.push(Output::LeaveClient { conn });
        }
        let deadline = self.now + arrival.time_to_deadline;
        let request_class = &self.settings.policy.request_classes[arrival.request_class.0 as usize];
        let latency_objective = request_class.latency_objective
            + request_class.latency_objective_per_1000_tokens * arrival.prompt_tokens / 1000.0;
        let first_token_due_at = self.now - took + latency_objective;
        self.timers.set(deadline, Due::Deadline(id));
        self.client_streams.insert(client_stream, id);
        if let Some(origin) = &submit.origin {
            self.requests_by_origin.insert(origin.id.clone(), id);
        }
        let request = Request {
            client_stream,
            submit,
            deadline,
            first_token_due_at,
            first_token_late: false,
            answered: false,
            attempts: 0,
            current_attempt: None,
            was_sent: false,
            retry_safety: request_class.retry_safety,
            first_possible_run: None,
        };
        self.requests.insert(id, request);
        self.events.push(Event::Arrived(arrival));
    }

    /// The request as the decisions take it, or what is said in place of taking it.
    pub(super) fn admit(&self, submit: &v1::Submit) -> Result<Arrival, Box<Body>> {
        let rejected = |(field, reason): (&str, String)| {
            Box::new(Body::InvalidRequest(v1::InvalidRequest {
                field: field.to_owned(),
                reason,
            }))
        };
        let arrival = self.arrival(submit).map_err(rejected)?;
        if submit
            .origin
            .as_ref()
            .is_some_and(|origin| self.requests_by_origin.contains_key(&origin.id))
        {
            // Guards against a request that goes by another's id: what is held for that one would be mixed up.
            return Err(rejected(("id", "a task of this id is open".to_owned())));
        }
        // Guards against more open requests than memory and time to deadline bear; nothing has run, so a retry is harmless.
        let full = self.requests.len() >= self.settings.limits.max_open_requests
            || self.next_request_id == u32::MAX;
        if !full && !self.is_closed() {
            return Ok(arrival);
        }
        let policy = &self.settings.policy;
        let hears = if policy.clients_honor_retry_after {
            policy.kv_state_timeout
        } else {
            0.0
        };
        let retry_after_ms = hears.min(policy.max_retry_after);
        let reason = if full {
            "too many tasks are open"
        } else {
            "stopping"
        }
        .to_owned();
        let answer = v1::Answer::Rejected.into();
        Err(Box::new(Body::Final(v1::Final {
            answer,
            retry_after_ms,
            reason,
            full,
        })))
    }

    /// The request as the decisions take it; or the field that cannot be right, and why.
    pub(super) fn arrival(&self, submit: &v1::Submit) -> Result<Arrival, (&'static str, String)> {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).map(|at| at as u32);
        let request_class = place(&self.settings.request_classes, &submit.request_class)
            .ok_or_else(|| {
                (
                    "profile",
                    format!("there is no profile {:?}", submit.request_class),
                )
            })?;
        let tenant = match submit.tenant.as_str() {
            "" => None,
            name => Some(
                place(&self.settings.tenants, name)
                    .ok_or_else(|| ("tenant", format!("there is no tenant {name:?}")))?,
            ),
        };
        if !submit.time_to_deadline_ms.is_finite() || submit.time_to_deadline_ms <= 0.0 {
            return Err((
                "patience_ms",
                format!("{} is no time to wait", submit.time_to_deadline_ms),
            ));
        }
        if submit.prompt_tokens == 0 || submit.max_tokens == 0 {
            let field = if submit.prompt_tokens == 0 {
                "prompt_tokens"
            } else {
                "max_tokens"
            };
            return Err((field, "at least one token is wanted".to_owned()));
        }
        if submit.shared_tokens > submit.prompt_tokens {
            return Err(("shared_tokens", "more than the prompt has".to_owned()));
        }
        Ok(Arrival {
            request: RequestId(self.next_request_id),
            request_class: RequestClassId(request_class),
            tenant: tenant.map(TenantId),
            session: SessionId(submit.session),
            time_to_deadline: submit.time_to_deadline_ms,
            answer_hint: None,
            shared: Some(submit.shared_text)
                .filter(|t| *t != 0)
                .map(SharedTextId),
            prompt_tokens: f64::from(submit.prompt_tokens),
            shared_tokens: f64::from(submit.shared_tokens),
            max_tokens: f64::from(submit.max_tokens),
            retried: submit.retried,
            resumed: submit.resumed,
        })
    }

    pub(super) fn on_client_closed(&mut self, conn: ClientConnectionId, outputs: &mut Vec<Output>) {
        self.callers.remove(conn);
        let all = (conn, StreamId(0))..=(conn, StreamId(u64::MAX));
        let ids: Vec<RequestId> = self.client_streams.range(all).map(|(_, id)| *id).collect();
        for id in ids {
            self.client_gone(id, outputs);
        }
    }

    /// The client wants no more of a request: nothing is owed, and what is out for it ends.
    pub(super) fn client_gone(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.answered = true;
        self.client_streams.remove(&request.client_stream);
        self.events.push(Event::ClientGone {
            request: request_id,
        });
        // A stream that nobody reads ends; what has not begun the decisions call off themselves.
        if request.has_stream() {
            self.stop_attempt(request_id, outputs);
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
        }
        self.forget_finished(request_id);
    }

    /// The one place that gives a final answer.
    pub(super) fn answer(
        &mut self,
        request_id: RequestId,
        answer: v1::Answer,
        retry_after_ms: f64,
        reason: &str,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id).filter(|t| !t.answered) else {
            return;
        };
        request.answered = true;
        if let Some(service_stats) = &mut self.service_stats {
            let late = request.first_token_late
                || !request.has_stream() && self.now > request.first_token_due_at;
            service_stats.answered(answer, late);
        }
        // No attempt can need it any more.
        request.submit.prompt = Default::default();
        let (conn, stream) = request.client_stream;
        self.client_streams.remove(&request.client_stream);
        let (answer, reason) = (answer.into(), reason.to_owned());
        let body = v1::Final {
            answer,
            retry_after_ms,
            reason,
            full: false,
        };
        if fault_injection::is(Plant::FinalLost) && request_id.0 % 16 == 7 {
            return;
        }
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Final(body)),
        });
        self.client_answered(conn);
        self.forget_finished(request_id);
    }

    pub(super) fn forget_finished(&mut self, request_id: RequestId) {
        let is_finished = self
            .requests
            .get(&request_id)
            .is_some_and(Request::is_finished);
        if is_finished && self.kv_states.available(request_id).is_none() {
            let past = self.requests.remove(&request_id);
            if let Some(origin) = past.and_then(|request| request.submit.origin) {
                self.requests_by_origin.remove(&origin.id);
                self.last_finished_origin = Some(origin.id);
            }
        }
    }

    /// Guards against a request that the decisions left without an answer, whatever the reason: no request is lost.
    pub(super) fn on_deadline(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.answered || request.has_stream() {
            return;
        }
        let text = format!(
            "task {} was not answered before its client's time was up",
            request_id.0
        );
        outputs.push(Output::log(Level::Warn, text));
        self.answer(request_id, v1::Answer::Failed, 0.0, "time is up", outputs);
        self.events.push(Event::ClientGone {
            request: request_id,
        });
    }
}
