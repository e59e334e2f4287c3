//! Attempts as they come to engines, and the events that they bring: drains, slow starts, clients that have gone, repeats, deadlines
//! told, events in time.

use super::*;

impl Audit {
    /// An engine has got the last byte of an attempt.
    pub fn attempt_begins(&mut self, new: NewAttempt) -> AttemptId {
        let id = AttemptId(self.attempts.len());
        let NewAttempt {
            request: name,
            engine,
            stage,
            sent,
            begun,
            told_left,
            passage,
        } = new;
        self.check_drain(&name, &engine, sent.0);
        self.check_slow_start(&engine, begun);
        if let Some(request) = self.requests.get(&name).cloned() {
            self.check_client(&name, &request, begun);
            self.check_repeat(&name, &request, stage, begun);
            if let Some(told) = told_left {
                let left = request.deadline - sent.1;
                let most = left + self.rules.deadline_slack + self.rules.any_time;
                let broken =
                    (told > most).then(|| format!("{name}: {told:.0} ms told, {left:.0} left"));
                self.check(begun, Invariant::DeadlineTold, broken);
            }
        }
        if let Some(request) = self.requests.get_mut(&name) {
            request.attempts.push(id);
        }
        let (ended, events, complete, cut) = (None, Vec::new(), false, None);
        self.attempts.push(Attempt {
            engine,
            stage,
            begun,
            ended,
            events,
            complete,
            cut,
            passage,
        });
        id
    }

    pub(super) fn check_drain(&mut self, request: &str, engine: &str, first_byte: Ms) {
        let Some(process) = self
            .requests
            .get(request)
            .map(|request| request.life.process)
        else {
            return;
        };
        let told = self.engines.get(engine).filter(|e| e.out_of_service);
        let told = told.and_then(|e| e.told_out.get(&process).copied());
        let late = told
            .map(|told| first_byte - told)
            .filter(|late| *late > self.rules.drain_grace + self.rules.any_time);
        let what =
            |late| format!("{request} to {engine} {late:.0} ms after process {process} was told");
        self.check(first_byte, Invariant::DrainKept, late.map(what));
    }

    pub(super) fn check_slow_start(&mut self, engine: &str, begun: Ms) {
        let rules = self.rules;
        let Some(record) = self.engines.get_mut(engine) else {
            return;
        };
        record.begun.push(begun);
        let Some(started) = record.started.filter(|at| begun < at + rules.cold_for) else {
            return;
        };
        let from = (begun - rules.slow_start_window).max(started);
        let got = record
            .begun
            .iter()
            .rev()
            .take_while(|at| **at > from)
            .count() as f64;
        let budget = rules.slow_start_budget;
        let chance = if budget < 30.0 {
            3.0 * budget.sqrt() + 3.0
        } else {
            2.0 * budget.sqrt() + 2.0
        };
        let over = got > budget + chance && !record.overloaded;
        record.overloaded |= over;
        let what =
            || format!("{engine} got {got:.0} attempts in a window, {budget:.1} being its budget");
        self.check(begun, Invariant::SlowStart, over.then(what));
    }

    /// 'When a process dies, its connections are reset': what it had sent by then concerns it no more.
    pub(super) fn was_killed(&self, request: &Request, begun: Ms) -> bool {
        match self.ended.get(&request.life) {
            Some((at, LifeEnd::Killed | LifeEnd::KilledInStop)) => *at <= begun,
            Some((_, LifeEnd::Ended)) | None => false,
        }
    }

    pub(super) fn check_client(&mut self, name: &str, request: &Request, begun: Ms) {
        if self.was_killed(request, begun) {
            return;
        }
        let late = request.gone.map(|gone| begun - gone);
        let late = late.filter(|late| *late > self.rules.gone_grace + self.rules.deadline_extra());
        let what =
            |late| format!("an attempt of {name} began {late:.0} ms after its client had gone");
        self.check(begun, Invariant::ClientThere, late.map(what));
    }

    pub(super) fn check_repeat(&mut self, name: &str, request: &Request, stage: Stage, begun: Ms) {
        let open = |id: &&AttemptId| {
            let over = self.attempts[id.0].over_at();
            over.is_none_or(|at| begun < at - self.rules.any_time)
        };
        let two = request.attempts.iter().any(|id| open(&id));
        let first = self
            .decodes(request)
            .find(|attempt| Self::may_have_run(attempt))
            .map(|a| a.begun);
        let late = self.rules.deadline_extra();
        let broken = match (request.effect, first) {
            (_, _) if two => Some("while another was out"),
            (Effect::AtMostOnce, Some(_)) => Some("though an earlier one may have run"),
            (Effect::Keyed { window }, Some(first))
                if stage == Stage::Decode && begun > first + f64::from(window) + late =>
            {
                Some("after the window in which its key is known")
            }
            _ => None,
        };
        let broken = broken.map(|why| format!("an attempt of {name} began {why}"));
        self.check(begun, Invariant::RunOnce, broken);
    }

    pub fn attempt_ends(&mut self, id: AttemptId, end: AttemptEnd, now: Ms) {
        self.attempts[id.0].ended.get_or_insert((now, end));
    }

    /// An engine writes the next event of an attempt's stream; gives its number.
    pub fn event_written(&mut self, id: AttemptId, now: Ms) -> usize {
        let events = &mut self.attempts[id.0].events;
        events.push(now);
        events.len() - 1
    }

    /// The engine has written the last chunk of its stream.
    pub fn stream_complete(&mut self, id: AttemptId) {
        self.attempts[id.0].complete = true;
    }

    /// An event of the stream with this attempt's number has come to the client.
    pub fn event_came(&mut self, request: &str, number: usize, now: Ms) {
        let Some(record) = self.requests.get_mut(request) else {
            return;
        };
        let expected = record.events_came;
        record.events_came += 1;
        let record = record.clone();
        let passed_on = |attempt: &Attempt| attempt.passed_on(*attempt.events.get(number)?);
        let passed = self
            .decodes(&record)
            .filter_map(passed_on)
            .last()
            .unwrap_or(now);
        let most = self.rules.event_delay + self.rules.deadline_extra();
        let broken = if number != expected {
            Some(format!(
                "event {number} of {request} came where {expected} was due"
            ))
        } else if now - passed > most {
            Some(format!(
                "event {number} of {request} came {:.0} ms late",
                now - passed
            ))
        } else {
            None
        };
        self.check(now, Invariant::EventsInTime, broken);
    }
}
