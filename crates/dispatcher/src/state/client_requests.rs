//! Handles the messages of clients, and their requests from arrival to the final answer.

use super::*;

/// The time to the deadline that a request gets if its deadline passed while the request was being received.
const MIN_TIME_TO_DEADLINE_MS: Ms = 0.001;

/// The error for a field of a client's request that has an invalid value.
struct InvalidField {
    /// The field's name on the wire.
    field: &'static str,
    /// Why the value is invalid; sent to the client.
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
    /// Handles a message from a client: a request, a cancel, a readiness check, a goodbye or a pong. Any other
    /// message closes the connection.
    pub(super) fn handle_client_message(
        &mut self,
        conn: ClientConnectionId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        let stream = StreamId(frame.stream);
        self.on_client_message_received(conn);
        match frame.body {
            Some(Body::Submit(submit)) => self.handle_submit((conn, stream), submit, outputs),
            Some(Body::Cancel(_)) => {
                // If the stream has no open request, the final answer was sent just before the cancel arrived, and
                // the client expects nothing more.
                if let Some(id) = self.client_streams.get(&(conn, stream)).copied() {
                    self.on_client_gone(id, outputs);
                    self.count_cancel(conn, outputs);
                }
            }
            Some(Body::Ping(_)) if stream.0 > 0 => {
                self.answer_readiness(conn, stream, outputs);
            }
            Some(Body::Goodbye(_) | Body::Pong(_)) => {}
            other => {
                let reason = format!(
                    "unexpected message from a client: {}",
                    message_name(other.as_ref())
                );
                outputs.push(Output::CloseClient { conn, reason });
            }
        }
    }

    /// Answers a readiness check of a client. The dispatcher is ready if endpoints are known and no stop has begun.
    fn answer_readiness(
        &mut self,
        conn: ClientConnectionId,
        stream: StreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.on_client_request_received(conn);
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
        self.on_client_response_sent(conn);
    }

    /// Accepts a request, or answers it at once if it is invalid or rejected.
    pub(super) fn handle_submit(
        &mut self,
        client_stream: ClientStream,
        mut submit: v1::Submit,
        outputs: &mut Vec<Output>,
    ) {
        let (conn, stream) = client_stream;
        let receive_duration = self.on_client_request_received(conn);
        if self.client_streams.contains_key(&client_stream) || stream.0 == 0 {
            let reason = format!("stream {} is in use or reserved", stream.0);
            return outputs.push(Output::CloseClient { conn, reason });
        }
        // The deadline counts from the first part of the request. If the deadline passed during reception, the
        // request is still accepted, with the minimal time left.
        if submit.time_to_deadline_ms > 0.0 {
            submit.time_to_deadline_ms =
                (submit.time_to_deadline_ms - receive_duration).max(MIN_TIME_TO_DEADLINE_MS);
        }
        let arrival = match self.admit(&submit) {
            Ok(arrival) => arrival,
            Err(body) => {
                if let (Some(service_stats), Body::Final(last)) = (&mut self.service_stats, &*body)
                {
                    service_stats.record_answer(last.answer(), false);
                }
                outputs.push(Output::ToClient {
                    conn,
                    frame: frame(stream.0, *body),
                });
                return self.on_client_response_sent(conn);
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
        self.insert_request(client_stream, submit, &arrival, receive_duration);
        self.events.push(Event::Arrived(arrival));
    }

    /// Inserts the record of an accepted request and sets its deadline timer. `receive_duration` is the time that
    /// its reception took, in milliseconds.
    fn insert_request(
        &mut self,
        client_stream: ClientStream,
        submit: v1::Submit,
        arrival: &Arrival,
        receive_duration: Ms,
    ) {
        let id = arrival.request;
        let deadline = self.now + arrival.time_to_deadline;
        let request_class = &self.settings.policy.request_classes[arrival.request_class.0 as usize];
        let latency_objective = request_class.latency_objective
            + request_class.latency_objective_per_1000_tokens * arrival.prompt_tokens / 1000.0;
        let first_token_due_at = self.now - receive_duration + latency_objective;
        self.timers.set(deadline, TimerKind::Deadline(id));
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

    /// Decides whether a request is accepted, and converts it into the event for `Control`.
    ///
    /// # Errors
    /// The final answer for the client, if the request is invalid, or if a limit or a stop does not allow it.
    fn admit(&self, submit: &v1::Submit) -> Result<Arrival, Box<Body>> {
        let arrival = self
            .arrival_event(submit)
            .map_err(InvalidField::into_answer)?;
        // Two open requests with the same client-assigned id would share their releases: the release of one would
        // also free the KV state of the other. The second request is therefore refused.
        if submit
            .origin
            .as_ref()
            .is_some_and(|origin| self.requests_by_origin.contains_key(&origin.id))
        {
            let invalid = InvalidField::new("id", "a task of this id is open".to_owned());
            return Err(invalid.into_answer());
        }
        // The limit keeps open requests from exhausting memory, which would kill the process and all of its requests.
        // A request above the limit is rejected; nothing of it has run, so a retry is safe.
        let is_full = self.requests.len() >= self.settings.limits.max_open_requests
            || self.next_request_id == u32::MAX;
        if !is_full && !self.rejects_new_requests() {
            return Ok(arrival);
        }
        let policy = &self.settings.policy;
        let max_retry_after = if policy.clients_honor_retry_after {
            policy.kv_state_timeout
        } else {
            0.0
        };
        let retry_after_ms = max_retry_after.min(policy.max_retry_after);
        let reason = if is_full {
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
            full: is_full,
        })))
    }

    /// Converts a request into the event for `Control`.
    ///
    /// # Errors
    /// The first field with an invalid value.
    fn arrival_event(&self, submit: &v1::Submit) -> Result<Arrival, InvalidField> {
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
            shared_prefix: Some(submit.shared_text)
                .filter(|shared_text| *shared_text != 0)
                .map(SharedPrefixId),
            prompt_tokens: f64::from(submit.prompt_tokens),
            shared_tokens: f64::from(submit.shared_tokens),
            max_tokens: f64::from(submit.max_tokens),
            retried: submit.retried,
            resumed: submit.resumed,
        })
    }

    /// Handles the end of a client connection: all of its requests are cancelled.
    pub(super) fn on_client_closed(&mut self, conn: ClientConnectionId, outputs: &mut Vec<Output>) {
        self.client_connections.remove(conn);
        let streams = (conn, StreamId(0))..=(conn, StreamId(u64::MAX));
        let ids: Vec<RequestId> = self
            .client_streams
            .range(streams)
            .map(|(_, id)| *id)
            .collect();
        for id in ids {
            self.on_client_gone(id, outputs);
        }
    }

    /// Handles a client that no longer waits for the answer to a request. The client gets no final answer, and a
    /// token stream that has begun is stopped.
    pub(super) fn on_client_gone(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.answered = true;
        self.client_streams.remove(&request.client_stream);
        self.events.push(Event::ClientGone {
            request: request_id,
        });
        // A token stream without a reader is stopped here. `Control` cancels an attempt whose stream has not begun.
        if request.has_stream() {
            self.stop_attempt(request_id, outputs);
            self.end_attempt(request_id, Outcome::Cancelled, 0.0, Load::default());
        }
        self.remove_finished_request(request_id);
    }

    /// Answers a request as rejected if a retry is safe, and as failed otherwise. `retry_after` is in milliseconds.
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

    /// Answers a request as failed, which does not tell the client whether the request has run.
    pub(super) fn fail(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let answer = if fault_injection::is_injected(InjectedFault::FailureAsRejection) {
            v1::Answer::Rejected
        } else {
            v1::Answer::Failed
        };
        self.answer(request_id, answer, 0.0, "no answer in time", outputs)
    }

    /// Sends the final answer of a request, unless it was sent before. `retry_after_ms` is the time after which the
    /// client may retry; 0 means that the answer gives no such time.
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
            let is_late = request.first_token_late
                || !request.has_stream() && self.now > request.first_token_due_at;
            service_stats.record_answer(answer, is_late);
        }
        // No further attempt needs the prompt; dropping it frees memory.
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
        self.on_client_response_sent(conn);
        self.remove_finished_request(request_id);
    }

    /// Removes the record of a request whose final answer was sent or whose client has gone, once the request has
    /// no current attempt and no available KV state.
    pub(super) fn remove_finished_request(&mut self, request_id: RequestId) {
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

    /// Fails a request that has neither an answer nor a token stream at its deadline, whatever the reason. Without
    /// this, its client would wait forever.
    pub(super) fn on_deadline(&mut self, request_id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.answered || request.has_stream() {
            return;
        }
        let text = format!(
            "request {} has no answer at its deadline; sending a failed answer",
            request_id.0
        );
        outputs.push(Output::log(Level::Warn, text));
        self.answer(request_id, v1::Answer::Failed, 0.0, "time is up", outputs);
        // `Control` treats the request as if its client had gone and does nothing more for it.
        self.events.push(Event::ClientGone {
            request: request_id,
        });
    }
}

/// Checks the time to the deadline and the token counts of a request.
///
/// # Errors
/// The first field with an invalid value.
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
