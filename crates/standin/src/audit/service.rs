//! Terms of service beyond the five rules, counted from what crossed the sockets: whom attempts are made for, how soon
//! events are passed on, and which requests of a class are answered.

use super::{Findings, Rule, Rules};
use crate::transcript::{Note, Record, Way, What};
use cindercleat_net::Ms;
use cindercleat_protocol::{v1, Body};
use std::collections::BTreeMap;

/// An attempt that begins so long after its client has gone is made for nobody.
const ATTEMPT_AFTER_CLOSE: Ms = 100.0;
/// An event reaches its client within this of its engine's writing it.
const EVENT_WITHIN: Ms = 300.0;
/// Fewer requests of a class than this say nothing of its longest tenth.
const ENOUGH: usize = 200;
/// Sessions of which every request was refused, beyond what chance gives: the part of a class's sessions that may be.
const SINGLED_OUT: f64 = 0.12;

/// A client's request as its client saw it.
#[derive(Clone, Debug)]
struct Request {
    request_class: String,
    session: u64,
    prompt_tokens: u32,
    sent: Ms,
    /// When its client went without an answer.
    left: Option<Ms>,
    answer: Option<v1::Answer>,
}

/// The requests of all clients, each under its key; a key has one for each time that its client asked.
type Requests = BTreeMap<String, Vec<Request>>;
/// Requests without an answer so far, by client, connection and stream: the key, and which of those under it.
type Open<'a> = BTreeMap<(&'a str, u64, u64), (String, usize)>;

/// The request that is open on a stream, which it is no more.
fn take<'a, 'r>(
    open: &mut Open<'r>,
    all: &'a mut Requests,
    stream: (&'r str, u64, u64),
) -> Option<&'a mut Request> {
    let (key, at) = open.remove(&stream)?;
    all.get_mut(&key)?.get_mut(at)
}

fn requests(records: &[Record]) -> Requests {
    let mut all = Requests::new();
    let mut open = Open::new();
    for record in records {
        let conn = (&*record.seer, record.conn);
        match &record.what {
            What::Frame(Way::Out, frame) => match &frame.body {
                Some(Body::Submit(submit)) => {
                    let of = all.entry(submit.key.clone()).or_default();
                    open.insert(
                        (conn.0, conn.1, frame.stream),
                        (submit.key.clone(), of.len()),
                    );
                    of.push(Request {
                        request_class: submit.request_class.clone(),
                        session: submit.session,
                        prompt_tokens: submit.prompt_tokens,
                        sent: record.at,
                        left: None,
                        answer: None,
                    });
                }
                Some(Body::Cancel(_)) => {
                    if let Some(request) = take(&mut open, &mut all, (conn.0, conn.1, frame.stream))
                    {
                        request.left = Some(record.at);
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

/// No attempt, first or further, begins for a client that has gone.
pub(super) fn attempts_for_nobody(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let requests = requests(records);
    for record in records {
        let What::Frame(Way::In, frame) = &record.what else {
            continue;
        };
        let key = match &frame.body {
            Some(Body::Prefill(read)) => &read.key,
            Some(Body::Decode(write)) => &write.key,
            _ => continue,
        };
        let Some(asked) = requests.get(key) else {
            continue;
        };
        let before = asked.iter().rev().find(|request| request.sent <= record.at);
        let Some(left) = before.and_then(|request| request.left) else {
            continue;
        };
        let late = record.at - left - ATTEMPT_AFTER_CLOSE - rules.slack;
        if late > 0.0 && !within_fault(rules, left, record.at) {
            let what = format!(
                "{key} was sent to {} {:.0} ms after its client left",
                record.seer,
                record.at - left
            );
            findings.breach(Rule::AttemptForNobody, record.at, what);
        }
    }
}

/// Whether faults of the network between two instants may have kept what was said from arriving.
fn within_fault(rules: &Rules, from: Ms, to: Ms) -> bool {
    let meets = |begin: Ms, end: Ms| begin <= to && end >= from;
    rules
        .silences
        .iter()
        .any(|(begin, end, _)| meets(*begin, *end))
        || rules.apart.iter().any(|(begin, end)| meets(*begin, *end))
}

/// When processes were kept from running by those who watch: by name, from when until when.
fn sleeps(records: &[Record]) -> BTreeMap<&str, Vec<(Ms, Ms)>> {
    let mut sleeps: BTreeMap<&str, Vec<(Ms, Ms)>> = BTreeMap::new();
    for record in records {
        match record.what {
            What::Note(Note::Asleep) => sleeps
                .entry(&record.seer)
                .or_default()
                .push((record.at, Ms::INFINITY)),
            What::Note(Note::Awake) => {
                if let Some(last) = sleeps.get_mut(&*record.seer).and_then(|all| all.last_mut()) {
                    last.1 = record.at;
                }
            }
            _ => {}
        }
    }
    sleeps
}

/// How much of a span fell into sleep.
fn slept(sleeps: Option<&Vec<(Ms, Ms)>>, from: Ms, to: Ms) -> Ms {
    let part = |(begin, end): &(Ms, Ms)| (end.min(to) - begin.max(from)).max(0.0);
    sleeps.into_iter().flatten().map(part).sum()
}

/// Events are passed on as they come. The time in which the process of a dispatcher was kept from running is not its own:
/// the platform's page allows for 0.15 s at the most.
pub(super) fn late_events(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let mut attempts: BTreeMap<(&str, u64, u64), &str> = BTreeMap::new();
    let mut streams: BTreeMap<(&str, u64, u64), &str> = BTreeMap::new();
    // By key and place in the stream: when the engine wrote it.
    let mut written: BTreeMap<(&str, u32), Ms> = BTreeMap::new();
    let sleeps = sleeps(records);
    for record in records {
        let What::Frame(way, frame) = &record.what else {
            continue;
        };
        let id = (&*record.seer, record.conn, frame.stream);
        match (way, &frame.body) {
            (Way::In, Some(Body::Decode(write))) => {
                attempts.insert(id, &write.key);
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
                let took = record.at - since - slept(sleeps.get(&*record.peer), since, record.at);
                if took > EVENT_WITHIN + rules.slack && !within_fault(rules, since, record.at) {
                    let what = format!("event {} of {key} took {took:.0} ms", tokens.position);
                    findings.breach(Rule::EventLate, record.at, what);
                }
            }
            _ => {}
        }
    }
}

/// The largest requests of a class are answered as the class is, and no sessions are refused throughout.
pub(super) fn starved(records: &[Record], rules: &Rules, findings: &mut Findings) {
    let Some(part) = rules.largest_part else {
        return;
    };
    let mut classes: BTreeMap<String, Vec<Request>> = BTreeMap::new();
    for request in requests(records)
        .into_values()
        .flatten()
        .filter(|request| request.left.is_none())
    {
        classes
            .entry(request.request_class.clone())
            .or_default()
            .push(request);
    }
    let end = records.last().map_or(0.0, |record| record.at);
    for (class, mut asked) in classes {
        if asked.len() < ENOUGH {
            continue;
        }
        let all = answered(&asked);
        asked.sort_by_key(|request| std::cmp::Reverse(request.prompt_tokens));
        let (tenth, third) = (asked.len() / 10, asked.len() * 3 / 10);
        for (name, share) in [
            ("longest tenth", answered(&asked[..tenth])),
            ("next fifth", answered(&asked[tenth..third])),
        ] {
            findings.cases.length_floors += 1;
            if share < part * all {
                let what = format!("{class}: {share:.2} of the {name} answered, {all:.2} of all");
                findings.breach(Rule::LargestStarved, end, what);
            }
        }
        let mut sessions: BTreeMap<u64, Vec<&Request>> = BTreeMap::new();
        asked
            .iter()
            .for_each(|request| sessions.entry(request.session).or_default().push(request));
        let refused = |request: &&Request| request.answer == Some(v1::Answer::Rejected);
        let seen = sessions
            .values()
            .filter(|all| all.iter().all(refused))
            .count() as f64;
        let share = asked.iter().filter(refused).count() as f64 / asked.len() as f64;
        let chance: f64 = sessions
            .values()
            .map(|all| share.powi(all.len() as i32))
            .sum();
        let beyond = (seen - chance) / sessions.len() as f64;
        if beyond > SINGLED_OUT {
            let what =
                format!("{class}: {beyond:.2} of the sessions refused throughout, beyond chance");
            findings.breach(Rule::SessionsSingledOut, end, what);
        }
    }
}

fn answered(requests: &[Request]) -> f64 {
    let good = requests
        .iter()
        .filter(|request| request.answer == Some(v1::Answer::Succeeded))
        .count();
    good as f64 / requests.len().max(1) as f64
}
