//! Checks the five rules and the terms of service ([`service`]) against a transcript: the frames that crossed the
//! sockets of clients, engines and discovery. The audit reads no dispatcher state and applies the rules of the
//! specification literally.
//!
//! All times are those of the stand-ins. A dispatcher's action is recorded when it arrives at a stand-in, so each bound
//! is extended by `slack` for the transfer. The slack is far below the bounds.

mod service;

use crate::transcript::{Note, Record, Way, What};
use cindercleat_net::Ms;
use cindercleat_protocol::{v1, Body};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The bounds of the rules, and the spans of network faults in which some rules do not apply.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Request classes whose requests must run at most once.
    pub at_most_once: BTreeSet<String>,
    /// How long after the deadline a final answer may still arrive.
    pub answer_grace: Ms,
    /// How long after the notice of a drain attempts may still be sent to the engine.
    pub drain_grace: Ms,
    /// The longest time for which a KV state may stay held while no attempt of its request runs.
    pub release: Ms,
    /// The multiple of a cold engine's present capacity that may be sent to it within `overload_window`.
    pub overload_multiple: f64,
    pub overload_window: Ms,
    /// The allowance for the transfer between a dispatcher and a stand-in, and for a busy machine.
    pub slack: Ms,
    /// Spans in which connections may be dead without either side being told: start, end, and the longest time until a
    /// dispatcher that uses such a connection detects the loss. Until then an attempt that was lost on the connection
    /// still runs as far as its dispatcher knows, and no stand-in records it.
    pub silences: Vec<(Ms, Ms, Ms)>,
    /// Spans, start and end, in which messages between clients and dispatchers may be delayed or lost.
    pub apart: Vec<(Ms, Ms)>,
    /// The time that one token takes in a slot of a decode engine; it converts the tokens of a decode attempt into
    /// work.
    pub token_ms: Ms,
    /// The smallest success rate of a class's largest requests, relative to that of the whole class. `None` skips the
    /// checks for starvation.
    pub largest_part: Option<f64>,
}

/// A rule that a breach violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A request got no final answer, got one too late, or got messages after it.
    #[serde(rename = "TaskLost")]
    RequestLost,
    /// An at-most-once request ran twice, or was rejected although it ran.
    EffectTwice,
    /// An attempt was sent to a draining or removed engine after the grace.
    DrainBroken,
    /// A cold engine was sent more work than its slow start allows.
    #[serde(rename = "ColdHostPushed")]
    ColdEnginePushed,
    /// A KV state stayed held although no attempt of its request ran.
    LeftPinned,
    /// An attempt began after its client had cancelled the request.
    AttemptForNobody,
    /// A token message was not forwarded to the client in time.
    EventLate,
    /// The largest requests of a class succeeded far less often than the class as a whole.
    LargestStarved,
    /// More sessions than chance explains had all of their requests rejected.
    SessionsSingledOut,
}

/// A violation of a rule, with its time and a description.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    /// When the rule was violated.
    pub at: Ms,
    /// What happened, in one line.
    pub what: String,
}

/// How many cases of each kind the audit has checked. If a rule had no case, the transcript proves nothing about it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cases {
    /// Submissions of requests by clients, retries included.
    pub tries: usize,
    /// Final answers that clients received.
    pub finals: usize,
    /// Prefill and decode attempts that arrived at engines.
    #[serde(rename = "launches")]
    pub attempts: usize,
    /// Executions of requests that must run at most once.
    pub at_most_once_runs: usize,
    /// Notices to a dispatcher that an engine drains or is gone.
    pub drains: usize,
    /// Attempts that arrived at an engine during its slow start.
    #[serde(rename = "cold_launches")]
    pub cold_attempts: usize,
    /// KV states that prefill engines held.
    pub states: usize,
    /// Token messages that were matched between an engine and a client.
    pub events: usize,
    /// Comparisons of the success rate of a class's largest requests with that of the class.
    pub length_floors: usize,
}

/// The result of an audit; breaches are ordered by time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    pub cases: Cases,
    pub breaches: Vec<Breach>,
}

/// Identifies a KV state: the run of the dispatcher process, the request and the attempt.
type StateKey = (u64, u32, u32);

/// Checks a transcript against the rules. The records must be ordered by time.
pub fn audit(records: &[Record], rules: &Rules) -> Findings {
    let mut findings = Findings::default();
    check_requests(records, rules, &mut findings);
    check_effects(records, rules, &mut findings);
    let attempts = attempts(records);
    findings.cases.attempts = attempts.len();
    check_drains(records, &attempts, rules, &mut findings);
    check_cold_engines(records, &attempts, rules, &mut findings);
    check_held_states(records, &attempts, rules, &mut findings);
    service::check_cancelled_requests(records, rules, &mut findings);
    service::check_event_delays(records, rules, &mut findings);
    service::check_starvation(records, rules, &mut findings);
    findings.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    findings
}

impl Findings {
    /// Adds a violation.
    fn breach(&mut self, rule: Rule, at: Ms, what: String) {
        self.breaches.push(Breach { rule, at, what });
    }
}

/// The times at which each dispatcher was killed, by its name.
fn kill_times(records: &[Record]) -> BTreeMap<&str, Vec<Ms>> {
    let mut kills: BTreeMap<&str, Vec<Ms>> = BTreeMap::new();
    for record in records {
        if record.what == What::Note(Note::Killed) {
            kills.entry(&record.seer).or_default().push(record.at);
        }
    }
    kills
}

/// One submission of a request, as its client saw it.
#[derive(Default)]
struct Submission {
    sent: Ms,
    time_to_deadline: Ms,
    /// The name of the dispatcher that the request was sent to.
    dispatcher: String,
    /// When the first token message arrived.
    first_token: Option<Ms>,
    /// Whether the dispatcher confirmed that it accepted the request.
    accepted: bool,
    /// When each final answer arrived.
    final_answers: Vec<Ms>,
    /// The number of messages after the first final answer.
    messages_after_final: usize,
    /// When the client cancelled the try.
    cancelled: Option<Ms>,
    /// When the call or its connection ended without an answer.
    closed: Option<Ms>,
    /// Whether the dispatcher found the request invalid.
    invalid: bool,
}

/// No request is lost: each accepted request gets one final answer before its deadline, and nothing after it.
fn check_requests(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let mut submissions: BTreeMap<(&str, u64, u64), Submission> = BTreeMap::new();
    let mut open: BTreeMap<(&str, u64), Vec<u64>> = BTreeMap::new();
    for record in records {
        let conn = (&*record.seer, record.conn);
        match &record.what {
            What::Frame(way, frame) => {
                let id = (conn.0, conn.1, frame.stream);
                match (way, &frame.body) {
                    (Way::Out, Some(Body::Submit(submit))) => {
                        let dispatcher = record.peer.to_string();
                        let (sent, time_to_deadline) = (record.at, submit.time_to_deadline_ms);
                        open.entry(conn).or_default().push(frame.stream);
                        submissions.insert(
                            id,
                            Submission {
                                sent,
                                time_to_deadline,
                                dispatcher,
                                ..Submission::default()
                            },
                        );
                    }
                    (Way::Out, Some(Body::Cancel(_))) => {
                        if let Some(submission) = submissions.get_mut(&id) {
                            submission.cancelled.get_or_insert(record.at);
                        }
                    }
                    (Way::In, Some(body)) => {
                        let Some(submission) = submissions.get_mut(&id) else {
                            continue;
                        };
                        submission.messages_after_final +=
                            usize::from(!submission.final_answers.is_empty());
                        match body {
                            Body::Final(_) => submission.final_answers.push(record.at),
                            Body::Tokens(_) => {
                                submission.first_token.get_or_insert(record.at);
                            }
                            Body::Accepted(_) => submission.accepted = true,
                            Body::InvalidRequest(_) => submission.invalid = true,
                            // A goodbye ends the call without a final answer. No answer can follow, so the call counts
                            // as closed, as it does when its connection closes.
                            Body::Goodbye(_) => {
                                submission.closed = submission.closed.or(Some(record.at))
                            }
                            _ => {}
                        }
                    }
                    _ => {}
                }
            }
            What::Note(Note::Closed { .. }) => {
                for stream in open.remove(&conn).unwrap_or_default() {
                    if let Some(submission) = submissions.get_mut(&(conn.0, conn.1, stream)) {
                        submission.closed.get_or_insert(record.at);
                    }
                }
            }
            What::Note(_) => {}
        }
    }
    let kill_times = kill_times(records);
    findings.cases.tries = submissions.len();
    for ((client, conn, stream), submission) in submissions {
        let name = format!(
            "{client}, connection {conn}, stream {stream}, sent at {:.0}",
            submission.sent
        );
        let deadline = submission.sent + submission.time_to_deadline;
        findings.cases.finals += submission.final_answers.len();
        let killed = kill_times
            .get(&*submission.dispatcher)
            .is_some_and(|kills| {
                let caused_end = |at: &Ms| {
                    *at + rules.slack >= submission.sent
                        && submission
                            .closed
                            .is_some_and(|closed| closed <= at + 2.0 * rules.slack)
                };
                kills.iter().any(caused_end)
            });
        // The bounds apply only if the network delivers the messages between client and dispatcher.
        let is_network_faulty = rules
            .apart
            .iter()
            .any(|(from, to)| *from <= deadline + rules.slack && *to >= submission.sent);
        // The request was sent as the dispatcher closed the connection in order: the dispatcher never accepted it.
        let not_accepted = !submission.accepted && submission.closed.is_some();
        if submission.messages_after_final > 0 {
            let what = format!(
                "{name}: {} messages after its final answer",
                submission.messages_after_final
            );
            findings.breach(Rule::RequestLost, submission.final_answers[0], what);
        }
        match submission.final_answers.first() {
            _ if submission.invalid || submission.cancelled.is_some() => {}
            None if killed || not_accepted || is_network_faulty => {}
            None => findings.breach(
                Rule::RequestLost,
                deadline,
                format!("{name}: no final answer"),
            ),
            Some(&at)
                if submission.first_token.is_none()
                    && !is_network_faulty
                    && at > deadline + rules.answer_grace + rules.slack =>
            {
                let what = format!(
                    "{name}: answered {:.0} ms after its deadline",
                    at - deadline
                );
                findings.breach(Rule::RequestLost, at, what);
            }
            Some(_) => {}
        }
    }
}

/// No at-most-once request runs twice, and none is rejected that has run or still runs. A rejection promises that the
/// request does not run before the client's next try.
fn check_effects(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let mut ran: BTreeMap<&str, (Ms, &str)> = BTreeMap::new();
    let mut keys: BTreeMap<(&str, u64, u64), &str> = BTreeMap::new();
    let mut rejected: BTreeMap<&str, Ms> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Note(Note::Ran { key, request_class })
                if rules.at_most_once.contains(request_class) =>
            {
                findings.cases.at_most_once_runs += 1;
                if let Some((at, engine)) = ran.insert(key, (record.at, &record.seer)) {
                    let what = format!(
                        "{key} ran at {engine} at {at:.0} and again at {}",
                        record.seer
                    );
                    findings.breach(Rule::EffectTwice, record.at, what);
                }
                if let Some(at) = rejected.get(&**key) {
                    let what = format!("{key} ran {:.0} ms after it was rejected", record.at - at);
                    findings.breach(Rule::EffectTwice, record.at, what);
                }
            }
            What::Frame(Way::Out, frame) => {
                if let Some(Body::Submit(submit)) = &frame.body {
                    if rules.at_most_once.contains(&submit.request_class) {
                        keys.insert((&record.seer, record.conn, frame.stream), &submit.key);
                        rejected.remove(&*submit.key);
                    }
                }
            }
            What::Frame(Way::In, frame) => {
                let Some(Body::Final(last)) = &frame.body else {
                    continue;
                };
                let Some(key) = keys.get(&(&*record.seer, record.conn, frame.stream)) else {
                    continue;
                };
                if last.answer() == v1::Answer::Rejected {
                    rejected.insert(key, record.at);
                    if ran.contains_key(key) {
                        let what = format!("{key} was rejected after it ran");
                        findings.breach(Rule::EffectTwice, record.at, what);
                    }
                }
            }
            What::Note(_) => {}
        }
    }
}

/// An attempt, as its engine saw it.
#[derive(Clone, Debug)]
struct Attempt {
    engine: String,
    dispatcher: String,
    /// When the attempt arrived at the engine.
    arrived: Ms,
    /// When the attempt ended; infinite if it never did.
    ended: Ms,
    /// The KV state that a decode attempt fetches.
    state: Option<StateKey>,
    /// The attempt's work in units of the engine's capacity, see [`check_cold_engines`].
    work: f64,
}

/// The fields that identify a KV state, as a key of maps.
fn state_key(state: &v1::KvStateId) -> StateKey {
    (state.run, state.request, state.attempt)
}

/// Collects all attempts of the transcript, in the order of their arrival.
fn attempts(records: &[Record]) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut open: BTreeMap<(&str, u64), BTreeMap<u64, usize>> = BTreeMap::new();
    for record in records {
        let conn = (&*record.seer, record.conn);
        let mut begin = |stream: u64, state: Option<&v1::KvStateId>, work: f64| {
            open.entry(conn).or_default().insert(stream, attempts.len());
            attempts.push(Attempt {
                engine: record.seer.to_string(),
                dispatcher: record.peer.to_string(),
                arrived: record.at,
                ended: f64::INFINITY,
                state: state.map(state_key),
                work,
            });
        };
        match &record.what {
            What::Frame(Way::In, frame) => match &frame.body {
                Some(Body::Prefill(prefill)) => {
                    begin(frame.stream, None, f64::from(prefill.prompt_tokens))
                }
                Some(Body::Decode(decode)) => {
                    begin(
                        frame.stream,
                        decode.state.as_ref(),
                        f64::from(decode.max_tokens),
                    );
                }
                Some(Body::Cancel(_)) => {
                    if let Some(at) = open
                        .get_mut(&conn)
                        .and_then(|streams| streams.remove(&frame.stream))
                    {
                        attempts[at].ended = record.at;
                    }
                }
                _ => {}
            },
            What::Frame(Way::Out, frame) => {
                // Token messages need no case: a stream that has begun has already fetched its KV state.
                if matches!(frame.body, Some(Body::Ended(_))) {
                    if let Some(at) = open
                        .get_mut(&conn)
                        .and_then(|streams| streams.remove(&frame.stream))
                    {
                        attempts[at].ended = record.at;
                    }
                }
            }
            What::Note(Note::Closed { .. }) => {
                for at in open.remove(&conn).unwrap_or_default().into_values() {
                    attempts[at].ended = record.at;
                }
            }
            What::Note(_) => {}
        }
    }
    attempts
}

/// Drains are respected: a dispatcher sends nothing new to an engine later than the grace after discovery told it that
/// the engine drains or is gone.
fn check_drains(records: &[Record], attempts: &[Attempt], rules: &Rules, findings: &mut Findings) {
    let mut notices: BTreeMap<(String, String), Vec<(Ms, bool)>> = BTreeMap::new();
    let mut known: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for record in records {
        let What::Frame(Way::Out, frame) = &record.what else {
            continue;
        };
        let Some(Body::Endpoints(list)) = &frame.body else {
            continue;
        };
        let dispatcher = record.peer.to_string();
        let known = known.entry(dispatcher.clone()).or_default();
        let mut add = |engine: &str, ready: bool| {
            notices
                .entry((dispatcher.clone(), engine.to_owned()))
                .or_default()
                .push((record.at, ready));
        };
        for entry in &list.endpoints {
            known.insert(entry.engine.clone());
            add(&entry.engine, entry.status() == v1::EndpointStatus::Ready);
        }
        if list.kind() == v1::EndpointUpdateKind::Snapshot {
            for engine in known
                .iter()
                .filter(|name| !list.endpoints.iter().any(|entry| entry.engine == **name))
            {
                add(engine, false);
            }
        }
    }
    findings.cases.drains = notices
        .values()
        .flatten()
        .filter(|(_, ready)| !ready)
        .count();
    for attempt in attempts {
        let Some(notices_of_engine) =
            notices.get(&(attempt.dispatcher.clone(), attempt.engine.clone()))
        else {
            continue;
        };
        // The attempt is a breach only if no update within the grace listed the engine as ready.
        let since = attempt.arrived - rules.drain_grace - rules.slack;
        let last_notice = notices_of_engine.iter().rev().find(|(at, _)| *at <= since);
        let ready_within_grace = notices_of_engine
            .iter()
            .any(|(at, ready)| *ready && *at > since && *at <= attempt.arrived);
        if last_notice.is_some_and(|(_, ready)| !ready) && !ready_within_grace {
            let what = format!(
                "{} sent an attempt to {}, which drains or is gone",
                attempt.dispatcher, attempt.engine
            );
            findings.breach(Rule::DrainBroken, attempt.arrived, what);
        }
    }
}

/// No cold engine is overloaded. Work is counted in units of capacity: prompt tokens at a prefill engine, and at a
/// decode engine the slot time for the maximum number of tokens of the answer. An attempt counts in full when it
/// arrives, even if it is rejected. The bound may be exceeded by one attempt.
fn check_cold_engines(
    records: &[Record],
    attempts: &[Attempt],
    rules: &Rules,
    findings: &mut Findings,
) {
    for record in records {
        let What::Note(Note::Started {
            capacity,
            start_share,
            slow_start_window,
        }) = &record.what
        else {
            continue;
        };
        let decode_engine = attempts
            .iter()
            .any(|attempt| attempt.engine == *record.seer && attempt.state.is_some());
        let work_units = |attempt: &Attempt| {
            if decode_engine {
                attempt.work * rules.token_ms / 1000.0
            } else {
                attempt.work
            }
        };
        let until = record.at + slow_start_window;
        let arrivals = attempts.iter().filter(|attempt| {
            attempt.engine == *record.seer
                && attempt.arrived >= record.at
                && attempt.arrived < until
        });
        let arrivals: Vec<&Attempt> = arrivals.collect();
        findings.cases.cold_attempts += arrivals.len();
        for (at, last) in arrivals.iter().enumerate() {
            let window = arrivals[..=at]
                .iter()
                .filter(|attempt| attempt.arrived > last.arrived - rules.overload_window);
            let sent: f64 = window.map(|attempt| work_units(attempt)).sum();
            let share =
                start_share + (1.0 - start_share) * (last.arrived - record.at) / slow_start_window;
            let bound = rules.overload_multiple * capacity * share * rules.overload_window / 1000.0;
            if sent > bound + work_units(last) {
                let what = format!(
                    "{} was sent {sent:.1} units of work, above its slow-start bound of {bound:.1}",
                    record.seer
                );
                findings.breach(Rule::ColdEnginePushed, last.arrived, what);
                break;
            }
        }
    }
}

/// No KV state stays held without use: while no attempt of its request runs, a held state is fetched or released within
/// the release time, counted from the end of the last attempt. The rule no longer applies to a dispatcher that was
/// killed.
fn check_held_states(
    records: &[Record],
    attempts: &[Attempt],
    rules: &Rules,
    findings: &mut Findings,
) {
    let mut held: BTreeMap<StateKey, (Ms, &Record)> = BTreeMap::new();
    // When each state was first fetched or released.
    let mut freed: BTreeMap<StateKey, Ms> = BTreeMap::new();
    let mut died: BTreeMap<&str, Vec<Ms>> = BTreeMap::new();
    // When each dispatcher process first said hello to an engine, by the run of the process.
    let mut first_hellos: BTreeMap<u64, Ms> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Frame(Way::Out, frame) => {
                if let Some(Body::Ended(v1::Ended {
                    state: Some(state), ..
                })) = &frame.body
                {
                    held.insert(state_key(state), (record.at, record));
                }
            }
            What::Frame(Way::In, frame) => {
                if let Some(Body::Hello(hello)) = &frame.body {
                    first_hellos.entry(hello.run).or_insert(record.at);
                }
                let state = match &frame.body {
                    Some(Body::Release(release)) => release.state,
                    Some(Body::Fetch(fetch)) => fetch.state,
                    _ => None,
                };
                if let Some(state) = state {
                    freed.entry(state_key(&state)).or_insert(record.at);
                }
            }
            What::Note(Note::Died) => died.entry(&record.seer).or_default().push(record.at),
            What::Note(_) => {}
        }
    }
    let kill_times = kill_times(records);
    let end = records.last().map_or(0.0, |r| r.at);
    findings.cases.states = held.len();
    let mut running: BTreeMap<StateKey, Vec<(Ms, Ms)>> = BTreeMap::new();
    for attempt in attempts {
        if let Some(state) = attempt.state {
            running
                .entry(state)
                .or_default()
                .push((attempt.arrived, attempt.ended));
        }
    }
    for (state, (since, record)) in held {
        let first =
            |times: Option<&Vec<Ms>>| times.into_iter().flatten().copied().find(|at| *at >= since);
        // A prefill may end at its engine after its dispatcher was killed and before the engine notices the closed
        // connection, so a kill counts from the first hello of the run on, not from the prefill's end.
        let first_hello = first_hellos.get(&state.0).copied().unwrap_or(since);
        let killed = kill_times
            .get(&*record.peer)
            .into_iter()
            .flatten()
            .copied()
            .find(|at| *at >= first_hello);
        let ends = [
            freed.get(&state).copied(),
            first(died.get(&*record.seer)),
            killed,
        ];
        let until = ends.into_iter().flatten().fold(end, f64::min);
        let mut idle_since = since;
        let mut attempts_of_state = running.remove(&state).unwrap_or_default();
        attempts_of_state.sort_by(|a, b| a.0.total_cmp(&b.0));
        attempts_of_state.push((until, until));
        for (arrived, ended) in attempts_of_state {
            let arrived = arrived.min(until);
            let overlaps = |(from, to, _): &(Ms, Ms, Ms)| *from <= arrived && *to >= idle_since;
            let undetected_time = |(from, to, most): &(Ms, Ms, Ms)| {
                (to.min(arrived) - from.max(idle_since)).clamp(0.0, *most)
            };
            let undetected: Ms = rules
                .silences
                .iter()
                .filter(|s| overlaps(s))
                .map(undetected_time)
                .sum();
            if arrived - idle_since - undetected > rules.release + rules.slack {
                let (run, request, attempt) = state;
                let what = format!(
                    "the KV state of request {request} (attempt {attempt}, run {run:x}) was held at {} for {:.0} ms while no attempt ran",
                    record.seer,
                    arrived - idle_since
                );
                findings.breach(Rule::LeftPinned, arrived, what);
                break;
            }
            idle_since = idle_since.max(ended);
        }
    }
}
