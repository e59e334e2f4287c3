//! What clients sent and got: whole answers, in time, and refusals that are harmless.

use super::*;

impl Audit {
    /// A client has sent the last byte of a request to a process.
    pub fn request_sent(&mut self, id: &str, life: Life, effect: Effect, now: Ms, left: Ms) {
        let request = Request {
            life,
            effect,
            sent: now,
            deadline: now + left,
            due: now + left,
            gone: None,
            answered: false,
            attempts: Vec::new(),
            held_at: None,
            reported: false,
            events_came: 0,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// A request crossed the close of a connection that rested, and was not read: it counts as not sent.
    pub fn request_crossed(&mut self, id: &str) {
        self.requests.remove(id);
    }

    /// A request was sent behind another on its connection, whose answer has come now. Answers come in that order, and
    /// 'clients send one request at a time per connection': its own is not due before this.
    pub fn waited_behind_another(&mut self, id: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(id) {
            request.due = request.due.max(now);
        }
    }

    /// The client closes its connection.
    pub fn client_gone(&mut self, id: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(id) {
            request.gone.get_or_insert(now);
        }
    }

    /// Whether anything of a request has come to an engine: its process has read it.
    pub fn was_attempted(&self, id: &str) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.attempts.is_empty())
    }

    /// Whether a process owed an answer to a request that had none by now. 'When a process dies', what it held is its
    /// clients' to retry; at the kill that ends a stop, 'whatever SIGKILL finds unanswered' is lost 'if that request came
    /// more than 0.7 s after SIGTERM', and only then.
    pub(super) fn owes(&self, request: &Request, now: Ms) -> bool {
        let gone = request.gone.is_some_and(|gone| gone <= now);
        let stopped = self
            .stopping
            .get(&request.life)
            .copied()
            .unwrap_or(f64::INFINITY);
        let ends = match self.ended.get(&request.life) {
            Some((_, LifeEnd::Killed)) => false,
            Some((at, LifeEnd::KilledInStop)) if now >= *at => request.sent > stopped + STOP_TAKES,
            _ => true,
        };
        ends && !gone
    }

    /// What a client got for a request.
    pub fn answered(&mut self, id: &str, answer: Answer, now: Ms) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.answered = true;
        let request = request.clone();
        if request.gone.is_some() {
            return;
        }
        let owed = self.owes(&request, now);
        let broken = match answer {
            Answer::Whole(events) => self.whole_is_wrong(&request, events),
            Answer::Broken(events) if owed => self.break_is_wrong(&request, events, now),
            Answer::Nothing if owed => Some("its connection ended with no answer".to_owned()),
            _ => None,
        };
        let began_late = !matches!(
            answer,
            Answer::Whole(_) | Answer::Broken(_) | Answer::Nothing
        );
        let latest = request.due + self.rules.answer_grace + self.rules.deadline_extra();
        let late = (broken.is_none() && began_late && owed && now > latest).then(|| {
            format!(
                "its answer came {:.0} ms after its deadline",
                now - request.deadline
            )
        });
        let story = || self.story(&request);
        let told = broken
            .or(late)
            .map(|what| format!("{id} {what}; {}", story()));
        self.check(now, Invariant::Answered, told);
        if answer == Answer::Refused {
            self.check_refusal(id, &request, now);
        }
    }

    /// What is known of a request, in a line.
    pub(super) fn story(&self, request: &Request) -> String {
        let Life { process, start } = request.life;
        let attempt = |id: &AttemptId| {
            let Attempt {
                engine,
                begun,
                ended,
                events,
                ..
            } = &self.attempts[id.0];
            let end = ended.map_or("out".to_owned(), |(at, end)| format!("{end:?} at {at:.0}"));
            format!(" {engine} from {begun:.0}, {} events, {end};", events.len())
        };
        let attempts: String = request.attempts.iter().map(attempt).collect();
        let (sent, deadline) = (request.sent, request.deadline);
        format!(
            "process {process}, start {start}, sent at {sent:.0}, due at {deadline:.0}, attempts:{attempts}"
        )
    }

    pub(super) fn decodes<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Attempt> {
        let attempts = request.attempts.iter().map(|id| &self.attempts[id.0]);
        attempts.filter(|attempt| attempt.stage == Stage::Decode)
    }

    pub(super) fn whole_is_wrong(&self, request: &Request, events: usize) -> Option<String> {
        let complete = self.decodes(request).find(|attempt| attempt.complete);
        match complete {
            None => Some("a stream was ended as whole that no engine has ended".to_owned()),
            Some(attempt) if attempt.events.len() != events => {
                Some(format!("{events} events of {} came", attempt.events.len()))
            }
            Some(_) => None,
        }
    }

    /// A stream may break for its client only if it has broken at its engine, after a whole event.
    pub(super) fn break_is_wrong(
        &self,
        request: &Request,
        events: usize,
        now: Ms,
    ) -> Option<String> {
        let failed = |attempt: &Attempt| matches!(attempt.ended, Some((_, AttemptEnd::Failed)));
        let broke = self.decodes(request).any(|attempt| {
            attempt.cut.is_some()
                || failed(attempt) && !attempt.complete
                || attempt.has_stalled(now)
        });
        if events == 0 {
            Some("its stream ended before a whole event".to_owned())
        } else if !broke {
            Some("its stream was cut while its engine was writing".to_owned())
        } else {
            None
        }
    }

    /// Whether an attempt may have had its effect.
    pub(super) fn may_have_run(attempt: &Attempt) -> bool {
        attempt.stage == Stage::Decode
            && !matches!(attempt.ended, Some((_, AttemptEnd::TurnedAway)))
    }

    pub(super) fn check_refusal(&mut self, id: &str, request: &Request, now: Ms) {
        let ran = self.decodes(request).any(Self::may_have_run);
        let broken = (ran && request.effect == Effect::AtMostOnce)
            .then(|| format!("{id} was refused after an attempt that may have run"));
        self.check(now, Invariant::RunOnce, broken);
    }
}
