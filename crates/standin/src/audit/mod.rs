//! Holds the five rules, and the terms of service ([`service`]), against a transcript: what crossed the sockets of clients, engines and the list feed.
//! It knows nothing of a dispatcher's state, and takes the words of the brief as they stand.
//!
//! Instants are the stand-ins'. What a dispatcher did is seen when it arrives, so each bound has a stated
//! `slack` for the way between, which is far below the bounds.

mod service;

use crate::transcript::{Note, Record, Way, What};
use cindercleat_net::Ms;
use cindercleat_protocol::{v1, Body};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What the rules are measured by.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Profiles that must never run twice.
    pub at_most_once: BTreeSet<String>,
    pub answer_grace: Ms,
    pub drain_grace: Ms,
    pub release: Ms,
    pub overload_multiple: f64,
    pub overload_window: Ms,
    /// For the way between a dispatcher and who saw it, and for a busy machine.
    pub slack: Ms,
    /// Spans in which connections may be dead without a word, and the time in which a dispatcher notices when it
    /// uses one; an attempt that is lost so is out for its dispatcher, and no stand-in sees it.
    /// From when, until when, and for how long at most.
    pub silences: Vec<(Ms, Ms, Ms)>,
    /// Spans in which what clients and dispatchers say to each other came late or not at all.
    pub apart: Vec<(Ms, Ms)>,
    /// A token's time in a decode engine's slot, for the work that an attempt there brings.
    pub token_ms: Ms,
    /// The part of its class's answered share that the largest requests get; nothing is held where there is none.
    pub largest_part: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    #[serde(rename = "TaskLost")]
    RequestLost,
    EffectTwice,
    DrainBroken,
    #[serde(rename = "ColdHostPushed")]
    ColdEnginePushed,
    LeftPinned,
    /// An attempt began after its client had gone.
    AttemptForNobody,
    /// An event was not passed on as it came.
    EventLate,
    /// The largest requests of a class were given up for smaller ones.
    LargestStarved,
    /// Sessions were refused throughout, beyond what chance gives.
    SessionsSingledOut,
}

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at: Ms,
    pub what: String,
}

/// What was checked: a rule that met no case proves nothing.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cases {
    pub tries: usize,
    pub finals: usize,
    #[serde(rename = "launches")]
    pub attempts: usize,
    pub at_most_once_runs: usize,
    pub drains: usize,
    #[serde(rename = "cold_launches")]
    pub cold_attempts: usize,
    pub states: usize,
    pub events: usize,
    pub length_floors: usize,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    pub cases: Cases,
    pub breaches: Vec<Breach>,
}

/// The state or attempt of a request, by the process that made it: run, request, attempt.
type Key = (u64, u32, u32);

pub fn audit(records: &[Record], rules: &Rules) -> Findings {
    let mut findings = Findings::default();
    requests(records, rules, &mut findings);
    effects(records, rules, &mut findings);
    let attempts = attempts(records);
    findings.cases.attempts = attempts.len();
    drains(records, &attempts, rules, &mut findings);
    cold(records, &attempts, rules, &mut findings);
    pinned(records, &attempts, rules, &mut findings);
    service::attempts_for_nobody(records, rules, &mut findings);
    service::late_events(records, rules, &mut findings);
    service::starved(records, rules, &mut findings);
    findings.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    findings
}

impl Findings {
    fn breach(&mut self, rule: Rule, at: Ms, what: String) {
        self.breaches.push(Breach { rule, at, what });
    }
}

fn kills(records: &[Record]) -> BTreeMap<&str, Vec<Ms>> {
    let mut kills: BTreeMap<&str, Vec<Ms>> = BTreeMap::new();
    for record in records {
        if record.what == What::Note(Note::Killed) {
            kills.entry(&record.seer).or_default().push(record.at);
        }
    }
    kills
}

#[derive(Default)]
struct Try {
    sent: Ms,
    time_to_deadline: Ms,
    dispatcher: String,
    first: Option<Ms>,
    accepted: bool,
    finals: Vec<Ms>,
    after: usize,
    left: Option<Ms>,
    closed: Option<Ms>,
    rejected: bool,
}

/// No request is lost: one final answer for each request taken, before its client's time is up, and nothing after it.
fn requests(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let mut tries: BTreeMap<(&str, u64, u64), Try> = BTreeMap::new();
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
                        tries.insert(
                            id,
                            Try {
                                sent,
                                time_to_deadline,
                                dispatcher,
                                ..Try::default()
                            },
                        );
                    }
                    (Way::Out, Some(Body::Cancel(_))) => {
                        if let Some(this) = tries.get_mut(&id) {
                            this.left.get_or_insert(record.at);
                        }
                    }
                    (Way::In, Some(body)) => {
                        let Some(this) = tries.get_mut(&id) else {
                            continue;
                        };
                        this.after += usize::from(!this.finals.is_empty());
                        match body {
                            Body::Final(_) => this.finals.push(record.at),
                            Body::Tokens(_) => {
                                this.first.get_or_insert(record.at);
                            }
                            Body::Accepted(_) => this.accepted = true,
                            Body::InvalidRequest(_) => this.rejected = true,
                            // The call ended without an answer.
                            Body::Goodbye(_) => this.closed = this.closed.or(Some(record.at)),
                            _ => {}
                        }
                    }
                    _ => {}
                }
            }
            What::Note(Note::Closed { .. }) => {
                for stream in open.remove(&conn).unwrap_or_default() {
                    if let Some(this) = tries.get_mut(&(conn.0, conn.1, stream)) {
                        this.closed.get_or_insert(record.at);
                    }
                }
            }
            What::Note(_) => {}
        }
    }
    let kills = kills(records);
    findings.cases.tries = tries.len();
    for ((client, conn, stream), this) in tries {
        let name = format!(
            "{client}, connection {conn}, stream {stream}, sent at {:.0}",
            this.sent
        );
        let ends = this.sent + this.time_to_deadline;
        findings.cases.finals += this.finals.len();
        let killed = kills.get(&*this.dispatcher).is_some_and(|kills| {
            let by = |at: &Ms| {
                *at + rules.slack >= this.sent
                    && this.closed.is_some_and(|c| c <= at + 2.0 * rules.slack)
            };
            kills.iter().any(by)
        });
        // The bounds are those of a network that carries what is said.
        let apart = rules
            .apart
            .iter()
            .any(|(from, to)| *from <= ends + rules.slack && *to >= this.sent);
        // Sent as the dispatcher closed in order: it never took it.
        let not_taken = !this.accepted && this.closed.is_some();
        if this.after > 0 {
            let what = format!("{name}: {} messages after its final answer", this.after);
            findings.breach(Rule::RequestLost, this.finals[0], what);
        }
        match this.finals.first() {
            _ if this.rejected || this.left.is_some() => {}
            None if killed || not_taken || apart => {}
            None => findings.breach(Rule::RequestLost, ends, format!("{name}: no final answer")),
            Some(&at)
                if this.first.is_none()
                    && !apart
                    && at > ends + rules.answer_grace + rules.slack =>
            {
                let what = format!(
                    "{name}: answered {:.0} ms after its client's time",
                    at - ends
                );
                findings.breach(Rule::RequestLost, at, what);
            }
            Some(_) => {}
        }
    }
}

/// No effect happens twice, and no reject is given for what has run or still runs: a run between a reject and
/// the client's next try is one that the reject promised not to be.
fn effects(records: &[Record], rules: &Rules, findings: &mut Findings) {
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
                    let what = format!("{key} ran {:.0} ms after it was bounced", record.at - at);
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
                        let what = format!("{key} was bounced after it ran");
                        findings.breach(Rule::EffectTwice, record.at, what);
                    }
                }
            }
            What::Note(_) => {}
        }
    }
}

/// An attempt as an engine saw it.
#[derive(Clone, Debug)]
struct Attempt {
    engine: String,
    dispatcher: String,
    came: Ms,
    ended: Ms,
    state: Option<Key>,
    /// Units of the engine's capacity, see [`cold`].
    work: f64,
}

fn key(state: &v1::KvStateId) -> Key {
    (state.run, state.request, state.attempt)
}

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
                came: record.at,
                ended: f64::INFINITY,
                state: state.map(key),
                work,
            });
        };
        match &record.what {
            What::Frame(Way::In, frame) => match &frame.body {
                Some(Body::Prefill(read)) => {
                    begin(frame.stream, None, f64::from(read.prompt_tokens))
                }
                Some(Body::Decode(write)) => {
                    begin(
                        frame.stream,
                        write.state.as_ref(),
                        f64::from(write.max_tokens),
                    );
                }
                Some(Body::Cancel(_)) => {
                    if let Some(at) = open.get_mut(&conn).and_then(|c| c.remove(&frame.stream)) {
                        attempts[at].ended = record.at;
                    }
                }
                _ => {}
            },
            What::Frame(Way::Out, frame) => {
                // A stream that has begun has taken its state.
                if matches!(frame.body, Some(Body::Ended(_))) {
                    if let Some(at) = open.get_mut(&conn).and_then(|c| c.remove(&frame.stream)) {
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

/// Drains are kept: nothing new to an engine later than the grace after its dispatcher was told.
fn drains(records: &[Record], attempts: &[Attempt], rules: &Rules, findings: &mut Findings) {
    let mut told: BTreeMap<(String, String), Vec<(Ms, bool)>> = BTreeMap::new();
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
        let mut tell = |engine: &str, ready: bool| {
            told.entry((dispatcher.clone(), engine.to_owned()))
                .or_default()
                .push((record.at, ready));
        };
        for line in &list.endpoints {
            known.insert(line.engine.clone());
            tell(&line.engine, line.status() == v1::EndpointStatus::Ready);
        }
        if list.kind() == v1::EndpointUpdateKind::Snapshot {
            for engine in known
                .iter()
                .filter(|h| !list.endpoints.iter().any(|line| line.engine == **h))
            {
                tell(engine, false);
            }
        }
    }
    findings.cases.drains = told.values().flatten().filter(|(_, ready)| !ready).count();
    for attempt in attempts {
        let Some(told) = told.get(&(attempt.dispatcher.clone(), attempt.engine.clone())) else {
            continue;
        };
        // The bound holds for the whole of the grace only if nothing said 'ready' within it.
        let since = attempt.came - rules.drain_grace - rules.slack;
        let before = told.iter().rev().find(|(at, _)| *at <= since);
        let lately = told
            .iter()
            .any(|(at, ready)| *ready && *at > since && *at <= attempt.came);
        if before.is_some_and(|(_, ready)| !ready) && !lately {
            let what = format!(
                "{} sent to {}, which drains or is gone",
                attempt.dispatcher, attempt.engine
            );
            findings.breach(Rule::DrainBroken, attempt.came, what);
        }
    }
}

/// No cold engine is pushed over. Work is counted in units of capacity: at a prefill engine prompt tokens, of which it
/// reads so many a second; at a decode engine the slot time of the most tokens that the answer may have. An attempt
/// counts whole when it arrives, also one rejected; one attempt more than the bound is slack.
fn cold(records: &[Record], attempts: &[Attempt], rules: &Rules, findings: &mut Findings) {
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
            .any(|l| l.engine == *record.seer && l.state.is_some());
        let unit = |l: &Attempt| {
            if decode_engine {
                l.work * rules.token_ms / 1000.0
            } else {
                l.work
            }
        };
        let until = record.at + slow_start_window;
        let here = attempts
            .iter()
            .filter(|l| l.engine == *record.seer && l.came >= record.at && l.came < until);
        let here: Vec<&Attempt> = here.collect();
        findings.cases.cold_attempts += here.len();
        for (at, last) in here.iter().enumerate() {
            let window = here[..=at]
                .iter()
                .filter(|l| l.came > last.came - rules.overload_window);
            let sent: f64 = window.map(|l| unit(l)).sum();
            let share =
                start_share + (1.0 - start_share) * (last.came - record.at) / slow_start_window;
            let bound = rules.overload_multiple * capacity * share * rules.overload_window / 1000.0;
            if sent > bound + unit(last) {
                let what = format!(
                    "{} was sent {sent:.1} units where {bound:.1} push it over",
                    record.seer
                );
                findings.breach(Rule::ColdEnginePushed, last.came, what);
                break;
            }
        }
    }
}

/// Nothing is left pinned: while none of a request's attempts is out, a state held for it is taken or let go within
/// the release time, counted from the last outcome. A dispatcher that was killed owes nothing any more.
fn pinned(records: &[Record], attempts: &[Attempt], rules: &Rules, findings: &mut Findings) {
    let mut held: BTreeMap<Key, (Ms, &Record)> = BTreeMap::new();
    let mut over: BTreeMap<Key, Ms> = BTreeMap::new();
    let mut died: BTreeMap<&str, Vec<Ms>> = BTreeMap::new();
    // When each process of a dispatcher was first met.
    let mut met: BTreeMap<u64, Ms> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Frame(Way::Out, frame) => {
                if let Some(Body::Ended(v1::Ended {
                    state: Some(state), ..
                })) = &frame.body
                {
                    held.insert(key(state), (record.at, record));
                }
            }
            What::Frame(Way::In, frame) => {
                if let Some(Body::Hello(hello)) = &frame.body {
                    met.entry(hello.run).or_insert(record.at);
                }
                let state = match &frame.body {
                    Some(Body::Release(release)) => release.state,
                    Some(Body::Fetch(fetch)) => fetch.state,
                    _ => None,
                };
                if let Some(state) = state {
                    over.entry(key(&state)).or_insert(record.at);
                }
            }
            What::Note(Note::Died) => died.entry(&record.seer).or_default().push(record.at),
            What::Note(_) => {}
        }
    }
    let kills = kills(records);
    let end = records.last().map_or(0.0, |r| r.at);
    findings.cases.states = held.len();
    let mut out: BTreeMap<Key, Vec<(Ms, Ms)>> = BTreeMap::new();
    for attempt in attempts {
        if let Some(state) = attempt.state {
            out.entry(state)
                .or_default()
                .push((attempt.came, attempt.ended));
        }
    }
    for (state, (since, record)) in held {
        let first =
            |times: Option<&Vec<Ms>>| times.into_iter().flatten().copied().find(|at| *at >= since);
        // A read may end at its engine just after its dispatcher was killed, and before the connection is cut.
        let since_met = met.get(&state.0).copied().unwrap_or(since);
        let killed = kills
            .get(&*record.peer)
            .into_iter()
            .flatten()
            .copied()
            .find(|at| *at >= since_met);
        let ends = [
            over.get(&state).copied(),
            first(died.get(&*record.seer)),
            killed,
        ];
        let until = ends.into_iter().flatten().fold(end, f64::min);
        let mut idle_since = since;
        let mut outs = out.remove(&state).unwrap_or_default();
        outs.sort_by(|a, b| a.0.total_cmp(&b.0));
        outs.push((until, until));
        for (came, ended) in outs {
            let came = came.min(until);
            let unseen = |(from, to, _): &(Ms, Ms, Ms)| *from <= came && *to >= idle_since;
            let lost = |(from, to, most): &(Ms, Ms, Ms)| {
                (to.min(came) - from.max(idle_since)).clamp(0.0, *most)
            };
            let lost: Ms = rules.silences.iter().filter(|s| unseen(s)).map(lost).sum();
            if came - idle_since - lost > rules.release + rules.slack {
                let (run, request, attempt) = state;
                let what = format!(
                    "the state of task {request} (launch {attempt}, run {run:x}) lay at {} for {:.0} ms with nothing out",
                    record.seer,
                    came - idle_since
                );
                findings.breach(Rule::LeftPinned, came, what);
                break;
            }
            idle_since = idle_since.max(ended);
        }
    }
}
