//! Checks on the answers that clients receive: complete, in time, and rejected only where a retry is safe.

use super::*;

impl Audit {
    /// Records that a client has sent the last byte of a request.
    pub fn request_sent(
        &mut self,
        id: &str,
        run: ProcessRun,
        effect: Effect,
        now: Ms,
        time_to_deadline: Ms,
    ) {
        let request = Request {
            run,
            effect,
            sent: now,
            deadline: now + time_to_deadline,
            due: now + time_to_deadline,
            disconnected: None,
            answered: false,
            attempts: Vec::new(),
            held_at: None,
            hold_reported: false,
            events_received: 0,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Records that a request met the close of an idle connection and was not read. The request counts as not sent.
    pub fn request_unread(&mut self, id: &str) {
        self.requests.remove(id);
    }

    /// Records that the request before this one on the same connection has been answered. Answers come in the order of
    /// requests, and by the protocol 'clients send one request at a time per connection', so this answer is not due any
    /// earlier.
    pub fn previous_request_answered(&mut self, id: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(id) {
            request.due = request.due.max(now);
        }
    }

    /// Records that the client of a request closes its connection.
    pub fn client_disconnected(&mut self, id: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(id) {
            request.disconnected.get_or_insert(now);
        }
    }

    /// Whether an attempt of a request has arrived at an engine, which shows that its process has read the request.
    pub fn was_attempted(&self, id: &str) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.attempts.is_empty())
    }

    /// Whether the process owes an answer to a request that has none by now. When a process is killed by a fault, its
    /// clients have to retry what it held. After the kill that ends a stop, an unanswered request counts as lost only
    /// 'if that request came more than 0.7 s after SIGTERM' (the platform's protocol), and is one that 'SIGKILL finds
    /// unanswered'. No answer is owed to an earlier one, or to one whose last byte was sent after the kill.
    pub(super) fn owes_answer(&self, request: &Request, now: Ms) -> bool {
        let disconnected = request.disconnected.is_some_and(|at| at <= now);
        let stopped = self
            .stopping
            .get(&request.run)
            .copied()
            .unwrap_or(f64::INFINITY);
        let owes_as_run = match self.ended.get(&request.run) {
            Some((_, RunEnd::Killed)) => false,
            Some((at, RunEnd::KilledInStop)) if now >= *at => {
                request.sent > stopped + UNOWED_AFTER_STOP && request.sent <= *at
            }
            _ => true,
        };
        owes_as_run && !disconnected
    }

    /// Checks that an event which a client received for request `id` names that request.
    pub fn event_names_request(&mut self, id: &str, named: &str, now: Ms) {
        let violation =
            (named != id).then(|| format!("{id} got an event of the answer to {named}"));
        self.check(now, Invariant::OwnAnswer, violation);
    }

    /// Records and checks what a client received for a request.
    pub fn answered(&mut self, id: &str, answer: Answer, now: Ms) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.answered = true;
        let request = request.clone();
        if request.disconnected.is_some() {
            return;
        }
        let owed = self.owes_answer(&request, now);
        let violation = match answer {
            Answer::Complete(events) => self.complete_stream_fault(&request, events),
            Answer::Broken(events) if owed => self.broken_stream_fault(&request, events, now),
            Answer::None if owed => Some("got no answer before its connection ended".to_owned()),
            _ => None,
        };
        let is_late_possible = !matches!(
            answer,
            Answer::Complete(_) | Answer::Broken(_) | Answer::None
        );
        let latest = request.due + self.rules.answer_grace + self.rules.deadline_allowance();
        let late = (violation.is_none() && is_late_possible && owed && now > latest).then(|| {
            format!(
                "was answered {:.0} ms after its deadline",
                now - request.deadline
            )
        });
        let description = || self.describe(&request);
        let what = violation
            .or(late)
            .map(|what| format!("{id} {what}; {}", description()));
        self.check(now, Invariant::Answered, what);
        if answer == Answer::Rejected {
            self.check_rejection(id, &request, now);
        }
    }

    /// Describes a request and its attempts in one line, for a violation.
    pub(super) fn describe(&self, request: &Request) -> String {
        let ProcessRun { process, start } = request.run;
        let attempt = |id: &AttemptId| {
            let Attempt {
                engine,
                begun,
                ended,
                events,
                ..
            } = &self.attempts[id.0];
            let end = ended.map_or("running".to_owned(), |(at, end)| {
                format!("{end:?} at {at:.0}")
            });
            format!(" {engine} from {begun:.0}, {} events, {end};", events.len())
        };
        let attempts: String = request.attempts.iter().map(attempt).collect();
        let (sent, deadline) = (request.sent, request.deadline);
        format!(
            "process {process}, start {start}, sent at {sent:.0}, deadline at {deadline:.0}, attempts:{attempts}"
        )
    }

    /// The decode attempts of a request.
    pub(super) fn decode_attempts<'a>(
        &'a self,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Attempt> {
        let attempts = request.attempts.iter().map(|id| &self.attempts[id.0]);
        attempts.filter(|attempt| attempt.stage == Stage::Decode)
    }

    /// Describes the fault of a complete stream with this number of events; `None` if the stream has no fault.
    pub(super) fn complete_stream_fault(&self, request: &Request, events: usize) -> Option<String> {
        let complete = self
            .decode_attempts(request)
            .find(|attempt| attempt.complete);
        match complete {
            None => Some("got a complete stream that no engine has completed".to_owned()),
            Some(attempt) if attempt.events.len() != events => {
                Some(format!("got {events} of {} events", attempt.events.len()))
            }
            Some(_) => None,
        }
    }

    /// Describes the fault of a stream that broke after this number of events; `None` if the break is allowed. A stream
    /// may break for its client only after a complete event, and only if it has broken or stalled at its engine.
    pub(super) fn broken_stream_fault(
        &self,
        request: &Request,
        events: usize,
        now: Ms,
    ) -> Option<String> {
        let failed = |attempt: &Attempt| matches!(attempt.ended, Some((_, AttemptEnd::Failed)));
        let broke = self.decode_attempts(request).any(|attempt| {
            attempt.reset_at.is_some()
                || failed(attempt) && !attempt.complete
                || attempt.has_stalled(now)
        });
        if events == 0 {
            Some("got a stream that ended before its first event".to_owned())
        } else if !broke {
            Some("got a stream that was cut off while its engine was writing".to_owned())
        } else {
            None
        }
    }

    /// Whether an attempt may have executed its request: a decode attempt that its engine has not rejected.
    pub(super) fn may_have_run(attempt: &Attempt) -> bool {
        attempt.stage == Stage::Decode && !matches!(attempt.ended, Some((_, AttemptEnd::Rejected)))
    }

    /// Checks that a rejected request, if it must run at most once, has no attempt that may have executed it.
    pub(super) fn check_rejection(&mut self, id: &str, request: &Request, now: Ms) {
        let ran = self.decode_attempts(request).any(Self::may_have_run);
        let violation = (ran && request.effect == Effect::AtMostOnce)
            .then(|| format!("{id} was rejected after an attempt that may have run"));
        self.check(now, Invariant::RunOnce, violation);
    }
}
