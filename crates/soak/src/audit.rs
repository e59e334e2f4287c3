//! The audit: collects the observations of clients, engines and discovery, and checks them against the rules.
//!
//! The audit does no I/O and reads no clock. All times come from one monotonic clock.

mod attempt;
mod attempts;
mod platform;
mod requests;
mod states;

use crate::connection_trace::ConnectionTrace;
use crate::readings::{ClosedAttemptEnds, Readings, ReleaseScope};
use crate::Ms;
use attempt::Attempt;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// A property of the program that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each accepted request gets one final answer in time.
    Answered,
    /// A request that may have run is repeated, or rejected as safe to retry, only if its class allows it.
    RunOnce,
    /// No attempt is sent to a draining or removed engine after the grace.
    DrainKept,
    /// A KV state that no attempt needs is released in time.
    StateReleased,
    /// No attempt begins for a client that has disconnected.
    ClientThere,
    /// The deadline sent to an engine is no longer than the time that the client has left.
    DeadlineTold,
    /// A client receives only events of its own request.
    OwnAnswer,
    /// Events are forwarded as they arrive, unchanged and in order.
    EventsInTime,
    /// An engine that has just started gets no more attempts than its slow-start budget, from all processes together.
    SlowStart,
    /// A client that stalls within its request, or sends what is not a request, gets an error or a close in time.
    BadClientEnded,
    /// Processes start, become ready soon, and end only when told to.
    ProcessUp,
    /// Processes use no more memory than they may.
    MemoryLimit,
}

impl Invariant {
    /// All invariants, in the order in which reports list them.
    pub const ALL: [Invariant; 12] = [
        Invariant::Answered,
        Invariant::RunOnce,
        Invariant::DrainKept,
        Invariant::StateReleased,
        Invariant::ClientThere,
        Invariant::DeadlineTold,
        Invariant::OwnAnswer,
        Invariant::EventsInTime,
        Invariant::SlowStart,
        Invariant::BadClientEnded,
        Invariant::ProcessUp,
        Invariant::MemoryLimit,
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
            Invariant::OwnAnswer => "own-answer",
            Invariant::EventsInTime => "events-in-time",
            Invariant::SlowStart => "slow-start",
            Invariant::BadClientEnded => "bad-client-ended",
            Invariant::ProcessUp => "process-up",
            Invariant::MemoryLimit => "memory-limit",
        })
    }
}

/// Whether a request may run again after an attempt that may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may run any number of times.
    Idempotent,
    /// Engines recognise a repeat by its key for `window` milliseconds after the first attempt that may have run.
    Keyed { window: u32 },
    /// The request must not run again after an attempt that may have executed it.
    AtMostOnce,
}

/// The bounds of the invariants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long after its deadline a request may still be answered.
    pub answer_grace: Ms,
    /// How long after the notice of a drain a process may still send attempts to the engine.
    pub drain_grace: Ms,
    /// The longest time for which a KV state may stay held that no attempt needs.
    pub release_limit: Ms,
    /// How long after the disconnect of its client an attempt may still begin.
    pub disconnect_grace: Ms,
    /// How much longer the deadline sent to an engine may be than the time that the client has left.
    pub deadline_slack: Ms,
    /// The longest time from the arrival of an event at the process to its arrival at the client.
    pub event_delay: Ms,
    /// The length of the window in which the attempts at a cold engine are counted.
    pub slow_start_window: Ms,
    /// The expected number of attempts that a cold engine may get within the window; the audit adds an allowance for
    /// chance.
    pub slow_start_budget: f64,
    /// How long after its start an engine counts as cold.
    pub cold_time: Ms,
    /// The time within which a client that stalls within its request gets an error or a close.
    pub stalled_client_limit: Ms,
    /// The time within which nine of ten starts become ready.
    pub ready_limit: Ms,
    /// The allowance on every time limit: 'Every time limit is longer by 50 ms' (the platform's protocol).
    pub timer_slack: Ms,
    /// The allowance for a process that does not run for a moment: 'A dispatcher that is held up for up to 0.15 s
    /// between reading its clock and writing: deadlines and windows allow for that, the grace of drain has to cover it'
    /// (the standing test).
    pub process_delay: Ms,
}

impl Rules {
    /// The allowance that is added to deadlines and windows.
    fn deadline_allowance(&self) -> Ms {
        self.timer_slack + self.process_delay
    }
}

/// The identifier that the client gave a request.
pub type RequestId = String;

/// One run of a process. `start` counts the starts of the process; the first run has 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessRun {
    pub process: usize,
    pub start: u32,
}

/// Identifies an attempt within the audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(usize);

/// The stage of a request that an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The engine processes the prompt and holds the KV state.
    Prefill,
    /// The engine takes the KV state and streams the answer.
    Decode,
}

/// How an attempt ended, as its engine saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine rejected the attempt without running it.
    Rejected,
    /// The engine wrote its whole response.
    Served,
    /// The response reported a failure or was malformed, or the connection broke; the attempt may have run.
    Failed,
    /// The process closed the connection.
    Abandoned,
}

/// What a client received for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete stream with this number of events.
    Complete(usize),
    /// A stream that ended without its last chunk, after this number of events.
    Broken(usize),
    /// A rejection: the request has not run, and a retry is safe.
    Rejected,
    /// An answer that reports a failure.
    Failed,
    /// The connection ended without an answer.
    None,
}

/// An attempt, as its engine received it.
#[derive(Clone, Debug)]
pub struct NewAttempt {
    pub request: RequestId,
    pub engine: String,
    pub stage: Stage,
    /// When the first and the last byte of the attempt left the process.
    pub sent: (Ms, Ms),
    /// When the last byte of the attempt arrived at the engine.
    pub begun: Ms,
    /// The time to the deadline that the attempt states, if it states one.
    pub stated_remaining: Option<Ms>,
    /// What the proxy recorded of the connection; `None` without a proxy.
    pub trace: Option<Rc<ConnectionTrace>>,
}

/// What the audit has recorded of a request.
#[derive(Clone, Debug)]
struct Request {
    run: ProcessRun,
    effect: Effect,
    /// When the client sent the last byte of the request.
    sent: Ms,
    deadline: Ms,
    /// When the answer is due. It is later than the deadline for a request that follows another one on its connection,
    /// and excludes [`Rules::answer_grace`].
    due: Ms,
    /// When the client closed its connection.
    disconnected: Option<Ms>,
    answered: bool,
    attempts: Vec<AttemptId>,
    /// The engine that holds the KV state, and since when.
    held_at: Option<(String, Ms)>,
    /// Whether a violation was reported because the KV state was left held at the engine for too long.
    hold_reported: bool,
    /// The number of events that the client received.
    events_received: usize,
}

impl Request {
    fn is_held_at(&self, engine: &str) -> bool {
        self.held_at.as_ref().is_some_and(|(at, _)| at == engine)
    }
}

/// What discovery publishes of an engine, and what has been sent to the engine.
#[derive(Clone, Debug, Default)]
struct EngineRecord {
    /// When the engine process started; `None` if long ago.
    started: Option<Ms>,
    out_of_service: bool,
    /// Since when each process counts as notified that the engine is out of service.
    notified_out: BTreeMap<usize, Ms>,
    /// When each attempt at the engine began.
    begun: Vec<Ms>,
    /// Whether an excess over the slow-start budget was reported.
    overload_reported: bool,
}

/// How a run of a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// Killed by a fault, without a signal to stop before.
    Killed,
    /// Killed because a stop exceeded its time limit.
    KilledInStop,
    /// Ended without being killed, whether or not it was told to stop.
    Ended,
}

/// A violation of an invariant, with its time and a description.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub at: Ms,
    pub invariant: Invariant,
    pub what: String,
}

/// The result of an audit: how many cases of each invariant were checked, and the violations found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub cases: BTreeMap<Invariant, u64>,
    pub violations: Vec<Violation>,
    /// The most memory that a process has used, in KiB.
    pub peak_memory_kib: u64,
}

/// The audit of a soak. Its methods record observations, and [`Audit::finish`] returns the report.
#[derive(Debug)]
pub struct Audit {
    rules: Rules,
    readings: Readings,
    requests: BTreeMap<RequestId, Request>,
    attempts: Vec<Attempt>,
    engines: BTreeMap<String, EngineRecord>,
    /// When and how each run ended.
    ended: BTreeMap<ProcessRun, (Ms, RunEnd)>,
    /// When each run was told to stop.
    stopping: BTreeMap<ProcessRun, Ms>,
    /// The time from each start of a process until it was ready.
    times_to_ready: Vec<Ms>,
    report: Report,
}

/// If a stop ends in a kill, the process owes no answers to requests that arrived earlier than this time after SIGTERM.
const UNOWED_AFTER_STOP: Ms = 700.0;
/// Of ten starts, the number that has to become ready in time.
const READY_IN_TEN: usize = 9;

impl Audit {
    /// Creates an audit without observations.
    pub fn new(rules: Rules, readings: Readings) -> Self {
        Audit {
            rules,
            readings,
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            engines: BTreeMap::new(),
            ended: BTreeMap::new(),
            stopping: BTreeMap::new(),
            times_to_ready: Vec::new(),
            report: Report::default(),
        }
    }

    /// Counts one checked case of an invariant.
    fn count_case(&mut self, invariant: Invariant) {
        *self.report.cases.entry(invariant).or_insert(0) += 1;
    }

    /// Adds a violation to the report.
    fn violated(&mut self, at: Ms, invariant: Invariant, what: String) {
        self.report.violations.push(Violation {
            at,
            invariant,
            what,
        });
    }

    /// Counts one checked case of an invariant; `violation` describes the violation, if there is one.
    fn check(&mut self, at: Ms, invariant: Invariant, violation: Option<String>) {
        self.count_case(invariant);
        if let Some(what) = violation {
            self.violated(at, invariant, what);
        }
    }

    /// Ends the audit and returns the report. Checks for KV states that are still held, requests that were never
    /// answered, and processes that became ready too late.
    pub fn finish(mut self, now: Ms) -> Report {
        self.check_held_states(now);
        let lost = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_lost(request, now));
        let lost: Vec<String> = lost
            .map(|(id, request)| format!("{id} was never answered; {}", self.describe(request)))
            .collect();
        for what in lost {
            self.check(now, Invariant::Answered, Some(what));
        }
        let requests_with_attempts = self
            .requests
            .values()
            .filter(|r| !r.attempts.is_empty())
            .count() as u64;
        *self
            .report
            .cases
            .entry(Invariant::StateReleased)
            .or_insert(0) += requests_with_attempts;
        let late_starts = self
            .times_to_ready
            .iter()
            .filter(|after| **after > self.rules.ready_limit)
            .count();
        if self.times_to_ready.is_empty() {
            self.violated(
                now,
                Invariant::ProcessUp,
                "no process became ready".to_owned(),
            );
        }
        if 10 * late_starts > (10 - READY_IN_TEN) * self.times_to_ready.len() {
            let what = format!(
                "{late_starts} of {} starts took over {:.0} ms to become ready",
                self.times_to_ready.len(),
                self.rules.ready_limit
            );
            self.violated(now, Invariant::ProcessUp, what);
        }
        self.report
    }

    /// Whether a request is still unanswered after the time by which its process had to answer it.
    fn is_lost(&self, request: &Request, now: Ms) -> bool {
        let latest = request.due + self.rules.answer_grace + self.rules.deadline_allowance();
        !request.answered
            && request.disconnected.is_none()
            && now > latest
            && self.owes_answer(request, now)
    }
}
