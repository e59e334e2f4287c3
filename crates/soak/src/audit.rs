//! The judge: takes in what clients, engines and discovery saw, and holds it against the rules.
//!
//! It does no I/O and reads no clock. All instants are of one clock, and do not go back.

mod attempt;
mod attempts;
mod platform;
mod requests;
mod states;

use crate::passage::Passage;
use crate::readings::{AttemptOver, Readings, ReleaseScope};
use crate::Ms;
use attempt::Attempt;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// What has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request that was taken gets one final answer in time.
    Answered,
    /// What may have run runs again, or is refused as harmless, only where its class allows.
    RunOnce,
    /// Nothing is sent to an engine that drains or is gone, once the grace is over.
    DrainKept,
    /// A KV state that no attempt needs is released.
    StateReleased,
    /// No attempt begins for a client that has gone.
    ClientThere,
    /// An engine is told no longer deadline than its client has left.
    DeadlineTold,
    /// Events are passed on as they come, unchanged and in order.
    EventsInTime,
    /// An engine that has just started gets no more than its slow-start budget, from all processes together.
    SlowStart,
    /// A client that stops within its request gets an error or a close in time.
    BadClientEnded,
    /// Processes start, are soon ready, and end only when they are told to.
    ProcessUp,
}

impl Invariant {
    pub const ALL: [Invariant; 10] = [
        Invariant::Answered,
        Invariant::RunOnce,
        Invariant::DrainKept,
        Invariant::StateReleased,
        Invariant::ClientThere,
        Invariant::DeadlineTold,
        Invariant::EventsInTime,
        Invariant::SlowStart,
        Invariant::BadClientEnded,
        Invariant::ProcessUp,
    ];
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::Answered => "answered",
            Invariant::RunOnce => "run-once",
            Invariant::DrainKept => "drain-kept",
            Invariant::StateReleased => "state-released",
            Invariant::ClientThere => "client-there",
            Invariant::DeadlineTold => "deadline-told",
            Invariant::EventsInTime => "events-in-time",
            Invariant::SlowStart => "slow-start",
            Invariant::BadClientEnded => "bad-client-ended",
            Invariant::ProcessUp => "process-up",
        })
    }
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Engines recognise a repeat by its key for this long after the first attempt that may have run.
    Keyed {
        window: u32,
    },
    AtMostOnce,
}

/// Times that the rules allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// After its deadline, a request's answer may still come for this long.
    pub answer_grace: Ms,
    pub drain_grace: Ms,
    /// For how long a state may be held that no attempt needs.
    pub release: Ms,
    /// An attempt may begin this long after its client has gone.
    pub gone_grace: Ms,
    /// The deadline told may be longer than what is left by this much.
    pub deadline_slack: Ms,
    pub event_delay: Ms,
    /// Attempts that an engine may get in any window of this length while it is cold.
    pub slow_start_window: Ms,
    pub slow_start_budget: f64,
    pub cold_for: Ms,
    /// A client that stops within its request is owed an end by then.
    pub bad_client: Ms,
    /// A process is to be ready by then, nine times in ten.
    pub ready: Ms,
    /// 'Every time limit is longer by 50 ms' (the platform's protocol).
    pub any_time: Ms,
    /// 'A dispatcher that is held up for up to 0.15 s between reading its clock and writing: deadlines and windows allow
    /// for that, the grace of drain has to cover it' (the standing test).
    pub held_up: Ms,
}

impl Rules {
    /// What is added to deadlines and windows.
    fn deadline_extra(&self) -> Ms {
        self.any_time + self.held_up
    }
}

/// A request, by the id that its client gave it.
pub type RequestId = String;

/// One run of a process: its number, and how often it was started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub process: usize,
    pub start: u32,
}

/// An attempt, as the audit numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(usize);

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Prefill,
    Decode,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was rejected, and nothing of it ran.
    TurnedAway,
    Served,
    /// An answer that says or shows that it failed, or a connection that broke; it may have run.
    Failed,
    /// The process closed its connection.
    Abandoned,
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A whole stream of so many events.
    Whole(usize),
    /// A stream that ended without its last chunk, after so many events.
    Broken(usize),
    /// Refused: trying again is harmless.
    Refused,
    /// Answered as failed.
    Failed,
    /// The connection ended without an answer.
    Nothing,
}

/// An attempt as its engine gets it.
#[derive(Clone, Debug)]
pub struct NewAttempt {
    pub request: RequestId,
    pub engine: String,
    pub stage: Stage,
    /// When its first and its last byte left its process.
    pub sent: (Ms, Ms),
    /// When its last byte came.
    pub begun: Ms,
    /// The time that it says is left.
    pub told_left: Option<Ms>,
    /// Its connection, where a proxy sees it.
    pub passage: Option<Rc<Passage>>,
}

#[derive(Clone, Debug)]
struct Request {
    life: Life,
    effect: Effect,
    sent: Ms,
    deadline: Ms,
    /// By when its answer is due, grace apart.
    due: Ms,
    gone: Option<Ms>,
    answered: bool,
    attempts: Vec<AttemptId>,
    /// Where its KV state is held and since when, and whether that was reported as left lying.
    held_at: Option<(String, Ms)>,
    reported: bool,
    events_came: usize,
}

impl Request {
    fn is_held_at(&self, engine: &str) -> bool {
        self.held_at.as_ref().is_some_and(|(at, _)| at == engine)
    }
}

/// What discovery says of an engine, and since when each process counts as told.
#[derive(Clone, Debug, Default)]
struct EngineRecord {
    started: Option<Ms>,
    out_of_service: bool,
    told_out: BTreeMap<usize, Ms>,
    begun: Vec<Ms>,
    overloaded: bool,
}

/// How a run of a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LifeEnd {
    Killed,
    /// Killed at the end of the time that a stop may take.
    KilledInStop,
    Ended,
}

/// A breach of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub at: Ms,
    pub invariant: Invariant,
    pub what: String,
}

/// What was met and what was broken.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub cases: BTreeMap<Invariant, u64>,
    pub violations: Vec<Violation>,
}

/// The judge's record of a soak.
#[derive(Debug)]
pub struct Audit {
    rules: Rules,
    readings: Readings,
    requests: BTreeMap<RequestId, Request>,
    attempts: Vec<Attempt>,
    engines: BTreeMap<String, EngineRecord>,
    ended: BTreeMap<Life, (Ms, LifeEnd)>,
    stopping: BTreeMap<Life, Ms>,
    starts: Vec<Ms>,
    report: Report,
}

/// A stop takes what comes for so long.
const STOP_TAKES: Ms = 700.0;
/// So many in ten processes are ready in time.
const READY_IN_TEN: usize = 9;

impl Audit {
    pub fn new(rules: Rules, readings: Readings) -> Self {
        Audit {
            rules,
            readings,
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            engines: BTreeMap::new(),
            ended: BTreeMap::new(),
            stopping: BTreeMap::new(),
            starts: Vec::new(),
            report: Report::default(),
        }
    }

    fn met(&mut self, invariant: Invariant) {
        *self.report.cases.entry(invariant).or_insert(0) += 1;
    }

    fn violated(&mut self, at: Ms, invariant: Invariant, what: String) {
        self.report.violations.push(Violation {
            at,
            invariant,
            what,
        });
    }

    /// Checks one case of an invariant; `broken` says what is wrong, if anything is.
    fn check(&mut self, at: Ms, invariant: Invariant, broken: Option<String>) {
        self.met(invariant);
        if let Some(what) = broken {
            self.violated(at, invariant, what);
        }
    }

    /// The verdict, at the end.
    pub fn finish(mut self, now: Ms) -> Report {
        self.look(now);
        let lost = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_lost(request, now));
        let lost: Vec<String> = lost
            .map(|(id, request)| format!("{id} was never answered; {}", self.story(request)))
            .collect();
        for what in lost {
            self.check(now, Invariant::Answered, Some(what));
        }
        let held = self
            .requests
            .values()
            .filter(|r| !r.attempts.is_empty())
            .count() as u64;
        *self
            .report
            .cases
            .entry(Invariant::StateReleased)
            .or_insert(0) += held;
        let slow = self
            .starts
            .iter()
            .filter(|after| **after > self.rules.ready)
            .count();
        if self.starts.is_empty() {
            self.violated(
                now,
                Invariant::ProcessUp,
                "no process became ready".to_owned(),
            );
        }
        if 10 * slow > (10 - READY_IN_TEN) * self.starts.len() {
            let what = format!(
                "{slow} of {} starts took over {:.0} ms",
                self.starts.len(),
                self.rules.ready
            );
            self.violated(now, Invariant::ProcessUp, what);
        }
        self.report
    }

    fn is_lost(&self, request: &Request, now: Ms) -> bool {
        let latest = request.due + self.rules.answer_grace + self.rules.deadline_extra();
        !request.answered && request.gone.is_none() && now > latest && self.owes(request, now)
    }
}
