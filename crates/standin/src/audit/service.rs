//! Terms of service beyond the five rules, checked on the frames of the transcript: no attempts for cancelled requests,
//! prompt forwarding of events, and no starvation of large requests or of single sessions.

use super::{Findings, Rule, Rules};
use crate::transcript::{Note, Record, Way, What};
use cindercleat_net::Ms;
use cindercleat_protocol::{v1, Body};
use std::collections::BTreeMap;

/// How long after a client has cancelled its request an attempt of the request may still arrive at an engine.
const ATTEMPT_AFTER_CANCEL: Ms = 100.0;
/// The longest time from an engine's writing of an event to its arrival at the client.
const MAX_EVENT_DELAY: Ms = 300.0;
/// The smallest number of requests with which a class is checked for starvation. With fewer, the tenth of the class
/// with the longest prompts is too small a sample.
const MIN_REQUESTS: usize = 200;
/// The largest share of a class's sessions that may have all requests rejected, in excess of the share that chance
/// gives.
const MAX_REFUSED_SESSIONS: f64 = 0.12;

/// One submission of a request, as its client saw it.
#[derive(Clone, Debug)]
struct Request {
    request_class: String,
    session: u64,
    prompt_tokens: u32,
    /// When the client submitted the request.
    sent: Ms,
    /// When the client cancelled the request without an answer.
    cancelled: Option<Ms>,
    /// The final answer; `None` if the client received none.
    answer: Option<v1::Answer>,
}

/// The requests of all clients by key. A key has one entry for each time that its client submitted it.
type Requests = BTreeMap<String, Vec<Request>>;
/// Unanswered requests by client, connection and stream: the key, and the index among the entries of the key.
type Open<'a> = BTreeMap<(&'a str, u64, u64), (String, usize)>;

/// Removes a stream from the open ones and returns the request that was submitted on it, if there is one.
fn take<'a, 'r>(
    open: &mut Open<'r>,
    all: &'a mut Requests,
    stream: (&'r str, u64, u64),
) -> Option<&'a mut Request> {
    let (key, at) = open.remove(&stream)?;
    all.get_mut(&key)?.get_mut(at)
}

/// Collects all submissions of the transcript with their outcomes.
fn requests(records: &[Record]) -> Requests {
    let mut all = Requests::new();
    let mut open = Open::new();
    for record in records {
        let conn = (&*record.seer, record.conn);
        match &record.what {
            What::Frame(Way::Out, frame) => match &frame.body {
                Some(Body::Submit(submit)) => {
                    let submissions = all.entry(submit.key.clone()).or_default();
                    open.insert(
                        (conn.0, conn.1, frame.stream),
                        (submit.key.clone(), submissions.len()),
                    );
                    submissions.push(Request {
                        request_class: submit.request_class.clone(),
                        session: submit.session,
                        prompt_tokens: submit.prompt_tokens,
                        sent: record.at,
                        cancelled: None,
                        answer: None,
                    });
                }
                Some(Body::Cancel(_)) => {
                    if let Some(request) = take(&mut open, &mut all, (conn.0, conn.1, frame.stream))
                    {
                        request.cancelled = Some(record.at);
                    }
                }
                _ => {}
            },
            What::Frame(Way::In, frame) => {
                let Some(Body::Final(last)) = &frame.body else {
                    continue;
                };
                if let Some(request) = take(&mut open, &mut all, (conn.0, conn.1, frame.stream)) {
                    request.answer = Some(last.answer());
                }
            }
            What::Note(Note::Closed { .. }) => open.retain(|id, _| (id.0, id.1) != conn),
            What::Note(_) => {}
        }
    }
    all
}

/// No attempt, first or repeated, begins for a request that its client has cancelled.
pub(super) fn check_cancelled_requests(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let requests = requests(records);
    for record in records {
        let What::Frame(Way::In, frame) = &record.what else {
            continue;
        };
        let key = match &frame.body {
            Some(Body::Prefill(prefill)) => &prefill.key,
            Some(Body::Decode(decode)) => &decode.key,
            _ => continue,
        };
        let Some(submissions) = requests.get(key) else {
            continue;
        };
        let latest = submissions
            .iter()
            .rev()
            .find(|request| request.sent <= record.at);
        let Some(cancelled) = latest.and_then(|request| request.cancelled) else {
            continue;
        };
        let late = record.at - cancelled - ATTEMPT_AFTER_CANCEL - rules.slack;
        if late > 0.0 && !within_fault(rules, cancelled, record.at) {
            let what = format!(
                "{key} was sent to {} {:.0} ms after its client cancelled it",
                record.seer,
                record.at - cancelled
            );
            findings.breach(Rule::AttemptForNobody, record.at, what);
        }
    }
}

/// Whether a network fault overlaps the span between two times, so that a message may have been delayed or lost.
fn within_fault(rules: &Rules, from: Ms, to: Ms) -> bool {
    let overlaps = |begin: Ms, end: Ms| begin <= to && end >= from;
    rules
        .silences
        .iter()
        .any(|(begin, end, _)| overlaps(*begin, *end))
        || rules
            .apart
            .iter()
            .any(|(begin, end)| overlaps(*begin, *end))
}

/// When dispatcher processes were suspended, as noted in the transcript: the spans by dispatcher name.
fn suspensions(records: &[Record]) -> BTreeMap<&str, Vec<(Ms, Ms)>> {
    let mut suspensions: BTreeMap<&str, Vec<(Ms, Ms)>> = BTreeMap::new();
    for record in records {
        match record.what {
            What::Note(Note::Asleep) => suspensions
                .entry(&record.seer)
                .or_default()
                .push((record.at, Ms::INFINITY)),
            What::Note(Note::Awake) => {
                if let Some(last) = suspensions
                    .get_mut(&*record.seer)
                    .and_then(|all| all.last_mut())
                {
                    last.1 = record.at;
                }
            }
            _ => {}
        }
    }
    suspensions
}

/// For how much of the time from `from` to `to` the process was suspended.
fn suspended_time(suspensions: Option<&Vec<(Ms, Ms)>>, from: Ms, to: Ms) -> Ms {
    let overlap = |(begin, end): &(Ms, Ms)| (end.min(to) - begin.max(from)).max(0.0);
    suspensions.into_iter().flatten().map(overlap).sum()
}

/// Events are forwarded as they arrive. The time in which a dispatcher process was suspended does not count against it;
/// the platform's page allows for suspensions of 0.15 s at most.
pub(super) fn check_event_delays(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let mut attempts: BTreeMap<(&str, u64, u64), &str> = BTreeMap::new();
    let mut streams: BTreeMap<(&str, u64, u64), &str> = BTreeMap::new();
    // When the engine wrote each event, by request key and position in the stream.
    let mut written: BTreeMap<(&str, u32), Ms> = BTreeMap::new();
    let suspensions = suspensions(records);
    for record in records {
        let What::Frame(way, frame) = &record.what else {
            continue;
        };
        let id = (&*record.seer, record.conn, frame.stream);
        match (way, &frame.body) {
            (Way::In, Some(Body::Decode(decode))) => {
                attempts.insert(id, &decode.key);
            }
            (Way::Out, Some(Body::Submit(submit))) => {
                streams.insert(id, &submit.key);
            }
            (Way::Out, Some(Body::Tokens(tokens))) => {
                if let Some(key) = attempts.get(&id) {
                    written.insert((key, tokens.position), record.at);
                }
            }
            (Way::In, Some(Body::Tokens(tokens))) => {
                let Some(key) = streams.get(&id) else {
                    continue;
                };
                let Some(since) = written.remove(&(*key, tokens.position)) else {
                    continue;
                };
                findings.cases.events += 1;
                let delay = record.at
                    - since
                    - suspended_time(suspensions.get(&*record.peer), since, record.at);
                if delay > MAX_EVENT_DELAY + rules.slack && !within_fault(rules, since, record.at) {
                    let what = format!("event {} of {key} took {delay:.0} ms", tokens.position);
                    findings.breach(Rule::EventLate, record.at, what);
                }
            }
            _ => {}
        }
    }
}

/// The largest requests of a class succeed nearly as often as the whole class, and no sessions are singled out for
/// rejection.
pub(super) fn check_starvation(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let Some(min_relative_rate) = rules.largest_part else {
        return;
    };
    let mut classes: BTreeMap<String, Vec<Request>> = BTreeMap::new();
    for request in requests(records)
        .into_values()
        .flatten()
        .filter(|request| request.cancelled.is_none())
    {
        classes
            .entry(request.request_class.clone())
            .or_default()
            .push(request);
    }
    let end = records.last().map_or(0.0, |record| record.at);
    for (class, mut requests_of_class) in classes {
        if requests_of_class.len() < MIN_REQUESTS {
            continue;
        }
        let all = success_rate(&requests_of_class);
        requests_of_class.sort_by_key(|request| std::cmp::Reverse(request.prompt_tokens));
        let (tenth, third) = (
            requests_of_class.len() / 10,
            requests_of_class.len() * 3 / 10,
        );
        for (name, share) in [
            ("longest tenth", success_rate(&requests_of_class[..tenth])),
            ("next fifth", success_rate(&requests_of_class[tenth..third])),
        ] {
            findings.cases.length_floors += 1;
            if share < min_relative_rate * all {
                let what = format!(
                    "{class}: {share:.2} of the {name} succeeded, {all:.2} of all requests"
                );
                findings.breach(Rule::LargestStarved, end, what);
            }
        }
        let mut sessions: BTreeMap<u64, Vec<&Request>> = BTreeMap::new();
        requests_of_class
            .iter()
            .for_each(|request| sessions.entry(request.session).or_default().push(request));
        let refused = |request: &&Request| request.answer == Some(v1::Answer::Rejected);
        let refused_sessions = sessions
            .values()
            .filter(|all| all.iter().all(refused))
            .count() as f64;
        let share = requests_of_class.iter().filter(refused).count() as f64
            / requests_of_class.len() as f64;
        let chance: f64 = sessions
            .values()
            .map(|all| share.powi(all.len() as i32))
            .sum();
        let excess = (refused_sessions - chance) / sessions.len() as f64;
        if excess > MAX_REFUSED_SESSIONS {
            let what =
                format!("{class}: {excess:.2} more of the sessions had all requests rejected than chance explains");
            findings.breach(Rule::SessionsSingledOut, end, what);
        }
    }
}

/// The share of requests that succeeded.
fn success_rate(requests: &[Request]) -> f64 {
    let succeeded = requests
        .iter()
        .filter(|request| request.answer == Some(v1::Answer::Succeeded))
        .count();
    succeeded as f64 / requests.len().max(1) as f64
}
