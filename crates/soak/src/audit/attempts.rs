//! Checks on attempts as they arrive at engines (drains, slow starts, disconnected clients, repeats, stated deadlines)
//! and on the events of their streams.

use super::*;

impl Audit {
    /// Records that an engine has received the last byte of an attempt, and checks the attempt.
    pub fn attempt_begins(&mut self, new: NewAttempt) -> AttemptId {
        let id = AttemptId(self.attempts.len());
        let NewAttempt {
            request: name,
            engine,
            stage,
            sent,
            begun,
            stated_remaining,
            trace,
        } = new;
        self.check_drain(&name, &engine, sent.0);
        self.check_slow_start(&engine, begun);
        if let Some(request) = self.requests.get(&name).cloned() {
            self.check_client(&name, &request, begun);
            self.check_repeat(&name, &request, stage, begun);
            if let Some(stated) = stated_remaining {
                let left = request.deadline - sent.1;
                let limit = left + self.rules.deadline_slack + self.rules.timer_slack;
                let violation = (stated > limit)
                    .then(|| format!("{name}: deadline of {stated:.0} ms sent, {left:.0} ms left"));
                self.check(begun, Invariant::DeadlineTold, violation);
            }
        }
        if let Some(request) = self.requests.get_mut(&name) {
            request.attempts.push(id);
        }
        let (ended, events, complete, reset_at) = (None, Vec::new(), false, None);
        self.attempts.push(Attempt {
            engine,
            stage,
            begun,
            ended,
            events,
            complete,
            reset_at,
            trace,
        });
        id
    }

    /// Checks that an attempt at an engine out of service was sent within [`Rules::drain_grace`] after the
    /// process was notified that the engine is out of service.
    pub(super) fn check_drain(&mut self, request: &str, engine: &str, first_byte: Ms) {
        let Some(process) = self
            .requests
            .get(request)
            .map(|request| request.run.process)
        else {
            return;
        };
        let notified = self.engines.get(engine).filter(|e| e.out_of_service);
        let notified = notified.and_then(|e| e.notified_out.get(&process).copied());
        let late = notified
            .map(|notified| first_byte - notified)
            .filter(|late| *late > self.rules.drain_grace + self.rules.timer_slack);
        let what = |late| {
            format!(
                "{request} was sent to {engine} {late:.0} ms after process {process} was notified \
                 that the engine is out of service"
            )
        };
        self.check(first_byte, Invariant::DrainKept, late.map(what));
    }

    /// Checks that an engine which has just started gets no more attempts than its slow-start budget.
    pub(super) fn check_slow_start(&mut self, engine: &str, begun: Ms) {
        let rules = self.rules;
        let Some(record) = self.engines.get_mut(engine) else {
            return;
        };
        record.begun.push(begun);
        let Some(started) = record.started.filter(|at| begun < at + rules.cold_time) else {
            return;
        };
        let from = (begun - rules.slow_start_window).max(started);
        let attempts = record
            .begun
            .iter()
            .rev()
            .take_while(|at| **at > from)
            .count() as f64;
        let budget = rules.slow_start_budget;
        // The allowance is two to three standard deviations of random arrivals.
        let chance_allowance = if budget < 30.0 {
            3.0 * budget.sqrt() + 3.0
        } else {
            2.0 * budget.sqrt() + 2.0
        };
        let is_over_budget = attempts > budget + chance_allowance && !record.overload_reported;
        record.overload_reported |= is_over_budget;
        let what = || {
            format!("{engine} got {attempts:.0} attempts in a window with a budget of {budget:.1}")
        };
        self.check(begun, Invariant::SlowStart, is_over_budget.then(what));
    }

    /// Whether the process of a request was killed before `begun`. By the protocol, 'When a process dies, its
    /// connections are reset': a killed process is not responsible for attempts that it had sent by then.
    pub(super) fn was_killed(&self, request: &Request, begun: Ms) -> bool {
        match self.ended.get(&request.run) {
            Some((at, RunEnd::Killed | RunEnd::KilledInStop)) => *at <= begun,
            Some((_, RunEnd::Ended)) | None => false,
        }
    }

    /// Checks that the client of an attempt has not disconnected before the attempt began.
    pub(super) fn check_client(&mut self, name: &str, request: &Request, begun: Ms) {
        if self.was_killed(request, begun) {
            return;
        }
        let late = request.disconnected.map(|at| begun - at);
        let late = late
            .filter(|late| *late > self.rules.disconnect_grace + self.rules.deadline_allowance());
        let what = |late| {
            format!("an attempt of {name} began {late:.0} ms after its client had disconnected")
        };
        self.check(begun, Invariant::ClientThere, late.map(what));
    }

    /// Checks that no other attempt of the request runs, and that the class allows a repeat if an earlier attempt may
    /// have executed the request.
    pub(super) fn check_repeat(&mut self, name: &str, request: &Request, stage: Stage, begun: Ms) {
        let is_running = |id: &&AttemptId| {
            let ended = self.attempts[id.0].ended_at();
            ended.is_none_or(|at| begun < at - self.rules.timer_slack)
        };
        let is_concurrent = request.attempts.iter().any(|id| is_running(&id));
        let first = self
            .decode_attempts(request)
            .find(|attempt| Self::may_have_run(attempt))
            .map(|a| a.begun);
        let allowance = self.rules.deadline_allowance();
        let reason = match (request.effect, first) {
            (_, _) if is_concurrent => Some("while another one ran"),
            (Effect::AtMostOnce, Some(_)) => Some("although an earlier one may have run"),
            (Effect::Keyed { window }, Some(first))
                if stage == Stage::Decode && begun > first + f64::from(window) + allowance =>
            {
                Some("after the deduplication window of its key")
            }
            _ => None,
        };
        let violation = reason.map(|reason| format!("an attempt of {name} began {reason}"));
        self.check(begun, Invariant::RunOnce, violation);
    }

    /// Records the end of an attempt at its engine; only the first one counts.
    pub fn attempt_ends(&mut self, id: AttemptId, end: AttemptEnd, now: Ms) {
        self.attempts[id.0].ended.get_or_insert((now, end));
    }

    /// Records that an engine writes the next event of a stream; returns the event's number, counted from 0.
    pub fn event_written(&mut self, id: AttemptId, now: Ms) -> usize {
        let events = &mut self.attempts[id.0].events;
        events.push(now);
        events.len() - 1
    }

    /// Records that an engine writes the last chunk of a stream.
    pub fn stream_complete(&mut self, id: AttemptId) {
        self.attempts[id.0].complete = true;
    }

    /// Records that the event with this number has reached the client, and checks its order and delay.
    pub fn event_received(&mut self, request: &str, number: usize, now: Ms) {
        let Some(record) = self.requests.get_mut(request) else {
            return;
        };
        let expected = record.events_received;
        record.events_received += 1;
        let record = record.clone();
        let forwarded_at = |attempt: &Attempt| attempt.forwarded_at(*attempt.events.get(number)?);
        let forwarded = self
            .decode_attempts(&record)
            .filter_map(forwarded_at)
            .last()
            .unwrap_or(now);
        let limit = self.rules.event_delay + self.rules.deadline_allowance();
        let violation = if number != expected {
            Some(format!(
                "event {number} of {request} arrived where {expected} was expected"
            ))
        } else if now - forwarded > limit {
            Some(format!(
                "event {number} of {request} arrived {:.0} ms after it reached the process",
                now - forwarded
            ))
        } else {
            None
        };
        self.check(now, Invariant::EventsInTime, violation);
    }
}
