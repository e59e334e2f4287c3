//! What clients send and are answered: a request from its arrival to its one final answer.

use super::*;

/// What is left to a request whose deadline has passed while it was being received.
const MIN_TIME_TO_DEADLINE_MS: Ms = 0.001;

/// A field of a client's request that cannot be right.
struct InvalidField {
    /// Its name on the wire.
    field: &'static str,
    /// Why, for the client.
    reason: String,
}

impl InvalidField {
    fn new(field: &'static str, reason: String) -> Self {
        InvalidField { field, reason }
    }

    fn into_answer(self) -> Box<Body> {
        Box::new(Body::InvalidRequest(v1::InvalidRequest {
            field: self.field.to_owned(),
            reason: self.reason,
        }))
    }
}

impl Dispatcher {
    /// Takes a message from a client.
    pub(super) fn handle_client_message(
        &mut self,
        conn: ClientConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        self.client_message_received(conn);
        match frame.body {
            Some(Body::Submit(submit)) => self.handle_submit((conn, stream), submit, outputs),
            Some(Body::Cancel(_)) => {
                // An unknown one has been answered in this very turn; nothing more is owed.
                if let Some(id) = self.client_streams.get(&(conn, stream)).copied() {
                    self.client_gone(id, outputs);
                    self.count_cancel(conn, outputs);
                }
            }
            Some(Body::Ping(_)) if stream.0 > 0 => {
                self.answer_readiness(conn, stream, outputs);
            }
            Some(Body::Goodbye(_) | Body::Pong(_)) => {}
            other => {
                let reason = format!("a client does not send {}", name_of(other.as_ref()));
                outputs.push(Output::CloseClient { conn, reason });
            }
        }
    }

    /// Answers whether requests can be routed: endpoints are known, and no stop has begun.
    fn answer_readiness(
        &mut self,
        conn: ClientConnectionId,
        stream: StreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.client_asks(conn);
        let body = if self.is_ready() {
            Body::Pong(v1::Pong {})
        } else {
            Body::Goodbye(v1::Goodbye {
                reason: "not ready".to_owned(),
                never_ran: true,
            })
        };
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, body),
        });
        self.client_answered(conn);
    }

    /// A client has sent a request: it is taken, or answered at once.
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
        // The deadline counts from the first part of the request. One whose deadline has passed meanwhile is taken like
        // any other, with hardly any time left.
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
        self.next_request_id += 1;
        outputs.push(Output::ToClient {
            conn,
            frame: frame(
                stream.0,
                Body::Accepted(v1::Accepted {
                    request: arrival.request.0,
                }),
            ),
        });
        if self.stopping_since.is_some() {
            outputs.push(Output::DrainClient { conn });
        }
        self.insert_request(client_stream, submit, &arrival, took);
        self.events.push(Event::Arrived(arrival));
    }

    /// Opens the record of a request. `took`: how long it took to receive, in milliseconds.
    fn insert_request(
        &mut self,
        client_stream: ClientStream,
        submit: v1::Submit,
        arrival: &Arrival,
        took: Ms,
    ) {
        let id = arrival.request;
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
    }

    /// The request as the decisions take it.
    ///
    /// # Errors
    /// The answer to the client in place of taking it.
    fn admit(&self, submit: &v1::Submit) -> Result<Arrival, Box<Body>> {
        let arrival = self.arrival(submit).map_err(InvalidField::into_answer)?;
        // Guards against a request that goes by the id of an open one, which would show as the release of one ending the
        // KV state of the other: ids of open requests are unique, as the second is refused.
        if submit
            .origin
            .as_ref()
            .is_some_and(|origin| self.requests_by_origin.contains_key(&origin.id))
        {
            let invalid = InvalidField::new("id", "a task of this id is open".to_owned());
            return Err(invalid.into_answer());
        }
        // Guards against more open requests than there is memory for, which would show as a process that is killed with
        // all of them: what exceeds the limit is rejected. Nothing of it has run, so a retry is safe.
        let full = self.requests.len() >= self.settings.limits.max_open_requests
            || self.next_request_id == u32::MAX;
        if !full && !self.is_closed() {
            return Ok(arrival);
        }
        let policy = &self.settings.policy;
        let longest = if policy.clients_honor_retry_after {
            policy.kv_state_timeout
        } else {
            0.0
        };
        let retry_after_ms = longest.min(policy.max_retry_after);
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

    /// The request as the decisions take it.
    ///
    /// # Errors
    /// The field that cannot be right.
    fn arrival(&self, submit: &v1::Submit) -> Result<Arrival, InvalidField> {
        let request_class = index_of(&self.settings.request_classes, &submit.request_class)
            .ok_or_else(|| {
                let reason = format!("there is no profile {:?}", submit.request_class);
                InvalidField::new("profile", reason)
            })?;
        let tenant = match submit.tenant.as_str() {
            "" => None,
            name => Some(index_of(&self.settings.tenants, name).ok_or_else(|| {
                InvalidField::new("tenant", format!("there is no tenant {name:?}"))
            })?),
        };
        check_amounts(submit)?;
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

    /// A client's connection is closed: it wants none of its requests any more.
    pub(super) fn on_client_closed(&mut self, conn: ClientConnectionId, outputs: &mut Vec<Output>) {
        self.client_connections.remove(conn);
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
        // A stream that nobody reads ends; what has not begun the decisions cancel themselves.
        if request.has_stream() {
            self.stop_attempt(request_id, outputs);
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
        }
        self.forget_finished(request_id);
    }

    /// Rejects a request, if a retry is safe; else it fails. `retry_after`: in milliseconds.
    pub(super) fn reject(
        &mut self,
        request_id: RequestId,
        retry_after: Option<Ms>,
        outputs: &mut Vec<Output>,
    ) {
        let retry_after_ms = retry_after
            .unwrap_or(0.0)
            .min(self.settings.policy.max_retry_after);
        let (answer, reason) = match self.may_reject(request_id, outputs) {
            true => (v1::Answer::Rejected, "turned away"),
            false => (v1::Answer::Failed, "it may have run"),
        };
        self.answer(request_id, answer, retry_after_ms, reason, outputs);
    }

    /// Answers that a request has failed, which says nothing of whether it has run.
    pub(super) fn fail(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let answer = if fault_injection::is_injected(InjectedFault::FailureAsRejection) {
            v1::Answer::Rejected
        } else {
            v1::Answer::Failed
        };
        self.answer(request_id, answer, 0.0, "no answer in time", outputs)
    }

    /// Gives the one final answer of a request; a request that has one gets no other. `retry_after_ms`: when the client
    /// may try again, 0 for no hint.
    pub(super) fn answer(
        &mut self,
        request_id: RequestId,
        answer: v1::Answer,
        retry_after_ms: f64,
        reason: &str,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self
            .requests
            .get_mut(&request_id)
            .filter(|request| !request.answered)
        else {
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
        if fault_injection::is_injected(InjectedFault::FinalAnswerLost) && request_id.0 % 16 == 7 {
            return;
        }
        outputs.push(Output::ToClient {
            conn,
            frame: frame(stream.0, Body::Final(body)),
        });
        self.client_answered(conn);
        self.forget_finished(request_id);
    }

    /// Drops the record of a request that has its answer, no current attempt and no KV state.
    pub(super) fn forget_finished(&mut self, request_id: RequestId) {
        let is_finished = self
            .requests
            .get(&request_id)
            .is_some_and(Request::is_finished);
        if is_finished && self.kv_states.available(request_id).is_none() {
            let finished = self.requests.remove(&request_id);
            if let Some(origin) = finished.and_then(|request| request.submit.origin) {
                self.requests_by_origin.remove(&origin.id);
                self.last_finished_origin = Some(origin.id);
            }
        }
    }

    /// Guards against a request that the decisions left without an answer, whatever the reason, which would show as a client
    /// that waits for ever: at its deadline each request without an answer or a stream is failed.
    pub(super) fn on_deadline(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.answered || request.has_stream() {
            return;
        }
        let text = format!(
            "request {} was not answered before its deadline",
            request_id.0
        );
        outputs.push(Output::log(Level::Warn, text));
        self.answer(request_id, v1::Answer::Failed, 0.0, "time is up", outputs);
        // The decisions have nothing to do for it any more, as if its client had gone.
        self.events.push(Event::ClientGone {
            request: request_id,
        });
    }
}

/// Checks the amounts of a request: its time and its tokens.
fn check_amounts(submit: &v1::Submit) -> Result<(), InvalidField> {
    let time_to_deadline = submit.time_to_deadline_ms;
    if !time_to_deadline.is_finite() || time_to_deadline <= 0.0 {
        let reason = format!("{time_to_deadline} is no time to wait");
        return Err(InvalidField::new("patience_ms", reason));
    }
    if submit.prompt_tokens == 0 || submit.max_tokens == 0 {
        let field = if submit.prompt_tokens == 0 {
            "prompt_tokens"
        } else {
            "max_tokens"
        };
        let reason = "at least one token is wanted".to_owned();
        return Err(InvalidField::new(field, reason));
    }
    if submit.shared_tokens > submit.prompt_tokens {
        let reason = "more than the prompt has".to_owned();
        return Err(InvalidField::new("shared_tokens", reason));
    }
    Ok(())
}

fn index_of(names: &[String], name: &str) -> Option<u32> {
    let index = names.iter().position(|known| known == name);
    index.map(|index| index as u32)
}
