//! Random rows of inputs to the dispatcher, and what must hold after each: one final answer a request and nothing
//! after it, one attempt out a request, nothing to engines that are not ready, no second decode attempt of an at-most-once
//! request that may have run, no state left pinned, and a dispatcher that empties at the end.

mod common;

use cindercleat::interface::Ms;
use cindercleat_dispatcher::state::{
    ClientConnectionId, Dispatcher, EngineConnectionId, Input, Output, StreamId,
};
use cindercleat_protocol::v1::{Answer, EndpointStatus, EndpointUpdateKind, Status};
use cindercleat_protocol::{frame, v1, Body};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const ENGINES: [&str; 5] = ["r1", "r2", "w1", "w2", "w3"];
const REQUEST_CLASSES: [&str; 3] = ["draft", "proof", "caption"];
/// The release time after the prefill and after each attempt that may follow, and those attempts' connect
/// timeouts: one that is being connected is out, but does not show here.
const RELEASE: Ms = 4.0 * 500.0 + 3.0 * 250.0;

const GIVEN_UP: Ms = 5000.0;

/// A state by its request and attempt.
type StateKey = (u32, u32);

/// What happens, to whom, and how many half milliseconds after the last.
type Draw = (u8, u16, u16);

#[derive(Clone, Debug)]
struct Attempt {
    request: u32,
    connection: EngineConnectionId,
    stream: u64,
    is_decode: bool,
    state: v1::KvStateId,
    position: u32,
    credit: u32,
}

#[derive(Clone, Debug, Default)]
struct Request {
    stream: u64,
    request_class: usize,
    answered: bool,
    left: bool,
    /// A decode attempt of it went out and was not proven not to have run.
    may_have_run: bool,
}

struct World {
    dispatcher: Dispatcher,
    now: Ms,
    statuses: BTreeMap<&'static str, EndpointStatus>,
    dialled: Vec<(EngineConnectionId, String)>,
    connections: BTreeMap<EngineConnectionId, String>,
    attempts: Vec<Attempt>,
    /// Attempts that the dispatcher has cancelled, which the engine has yet to end.
    past: Vec<Attempt>,
    requests: BTreeMap<u32, Request>,
    by_stream: BTreeMap<u64, u32>,
    /// States at prefill engines, and since when nothing is out for them.
    held: BTreeMap<(u32, u32), Ms>,
    at: BTreeMap<(u32, u32), String>,
    next_stream: u64,
    answers: [usize; 3],
    probes: Vec<(EngineConnectionId, u64)>,
    pings: Vec<EngineConnectionId>,
    /// Releases that came and are not answered, with the state of one that was lost.
    releases: Vec<(EngineConnectionId, u64, Option<StateKey>)>,
    wanted_since: BTreeMap<(u32, u32), Ms>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut settings = settings();
        settings.policy.may_health_check = seed.is_multiple_of(2);
        World {
            dispatcher: Dispatcher::new(settings, seed),
            now: 1000.0,
            statuses: ENGINES.map(|h| (h, EndpointStatus::Ready)).into(),
            dialled: Vec::new(),
            connections: BTreeMap::new(),
            attempts: Vec::new(),
            past: Vec::new(),
            requests: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            held: BTreeMap::new(),
            at: BTreeMap::new(),
            next_stream: 1,
            answers: [0; 3],
            probes: Vec::new(),
            pings: Vec::new(),
            releases: Vec::new(),
            wanted_since: BTreeMap::new(),
        }
    }

    fn put(&mut self, input: Input) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, input, &mut out);
        for output in out {
            self.check(output)?;
        }
        // A release waits for a connection where there is none; it cannot be said sooner.
        // After some tries in vain it is left to the engine's own time limit.
        let now = self.now;
        self.held
            .retain(|_, since| since.is_infinite() || now < *since + GIVEN_UP);
        let deaf = |engine: &String| !self.connections.values().any(|h| h == engine);
        let lies = |key: &(u32, u32), since: Ms| {
            self.now > since + RELEASE && !self.at.get(key).is_some_and(deaf)
        };
        let lying = self.held.iter().find(|(key, since)| lies(key, **since));
        prop_assert!(
            lying.is_none(),
            "state {:?} lies there, now {}",
            lying,
            self.now
        );
        Ok(())
    }

    fn check(&mut self, output: Output) -> Result<(), TestCaseError> {
        match output {
            Output::Dial {
                connection, engine, ..
            } => self.dialled.push((connection, engine.0.to_string())),
            Output::CloseConnection { connection, .. } => self.cut(connection),
            Output::ToClient { frame, .. } => {
                let stream = frame.stream;
                if let Some(Body::Accepted(accepted)) = &frame.body {
                    self.by_stream.insert(stream, accepted.request);
                    let request = self.requests.entry(accepted.request).or_default();
                    (request.stream, request.request_class) =
                        (stream, stream as usize % REQUEST_CLASSES.len());
                    return Ok(());
                }
                let Some(request) = self
                    .by_stream
                    .get(&stream)
                    .and_then(|t| self.requests.get_mut(t))
                else {
                    return Ok(());
                };
                prop_assert!(
                    !request.answered,
                    "something after the final answer of stream {}",
                    stream
                );
                prop_assert!(
                    !request.left,
                    "something after the client of stream {} left",
                    stream
                );
                if let Some(Body::Final(last)) = &frame.body {
                    request.answered = true;
                    let answer = last.answer();
                    self.answers[answer as usize - 1] += 1;
                    let once = REQUEST_CLASSES[request.request_class] == "proof";
                    let harmful = once && request.may_have_run && answer == Answer::Rejected;
                    prop_assert!(
                        !harmful,
                        "a bounce of an at-most-once task that may have run"
                    );
                }
            }
            Output::ToEngine { connection, frame } => self.check_engine(connection, frame)?,
            _ => {}
        }
        Ok(())
    }

    fn check_engine(
        &mut self,
        connection: EngineConnectionId,
        frame: cindercleat_protocol::Frame,
    ) -> Result<(), TestCaseError> {
        let engine = self
            .connections
            .get(&connection)
            .cloned()
            .unwrap_or_default();
        let stream = frame.stream;
        let (state, is_decode) = match &frame.body {
            Some(Body::Prefill(read)) => (read.state, false),
            Some(Body::Decode(is_decode)) => (is_decode.state, true),
            Some(Body::Release(release)) => {
                let state = release.state.unwrap_or_default();
                let key = (state.request, state.attempt);
                // Not all get through.
                let comes = !(stream + u64::from(state.request)).is_multiple_of(4);
                let since = self.held.remove(&key);
                let first = since.map(|since| *self.wanted_since.entry(key).or_insert(since));
                // After some tries in vain it is left to the engine's own time limit.
                let lost = first
                    .filter(|first| !comes && self.now < first + GIVEN_UP - RELEASE)
                    .map(|_| key);
                self.releases.push((connection, stream, lost));
                return Ok(());
            }
            Some(Body::Cancel(_)) => {
                if let Some(at) = self
                    .attempts
                    .iter()
                    .position(|l| l.connection == connection && l.stream == stream)
                {
                    let attempt = self.attempts.remove(at);
                    self.end_held(&attempt, true);
                    self.past.push(attempt);
                }
                return Ok(());
            }
            Some(Body::Credit(credit)) => {
                let found = self
                    .attempts
                    .iter_mut()
                    .find(|l| l.connection == connection && l.stream == stream);
                found.into_iter().for_each(|l| l.credit += credit.messages);
                return Ok(());
            }
            Some(Body::Ping(_)) => {
                self.pings.push(connection);
                return Ok(());
            }
            Some(Body::HealthCheck(_)) => {
                self.probes.push((connection, stream));
                return Ok(());
            }
            _ => return Ok(()),
        };
        let state = state.unwrap_or_default();
        let status = self.statuses.get(engine.as_str()).copied();
        prop_assert_eq!(status, Some(EndpointStatus::Ready), "sent to {}", engine);
        let out = self
            .attempts
            .iter()
            .filter(|l| l.request == state.request)
            .count();
        prop_assert_eq!(out, 0, "two launches of task {} out", state.request);
        let request = self.requests.entry(state.request).or_default();
        if is_decode {
            let twice = REQUEST_CLASSES[request.request_class] == "proof" && request.may_have_run;
            prop_assert!(
                !twice,
                "an at-most-once task that may have run goes out again"
            );
            request.may_have_run = true;
            // Unless its reader was told to be gone, and it with it.
            if let Some(since) = self.held.get_mut(&(state.request, state.attempt)) {
                *since = f64::INFINITY;
            }
        }
        if !is_decode {
            self.at.insert((state.request, state.attempt), engine);
        }
        let attempt = Attempt {
            request: state.request,
            connection,
            stream,
            is_decode,
            state,
            position: 0,
            credit: 4,
        };
        self.attempts.push(attempt);
        Ok(())
    }

    /// The state of a write that is over lies there again, if it was not taken.
    fn end_held(&mut self, attempt: &Attempt, still_there: bool) {
        let key = (attempt.state.request, attempt.state.attempt);
        if attempt.is_decode {
            if !still_there || attempt.position > 0 {
                self.held.remove(&key);
            } else if let Some(since) = self.held.get_mut(&key) {
                *since = self.now;
            }
        }
    }

    fn cut(&mut self, connection: EngineConnectionId) {
        self.connections.remove(&connection);
        self.dialled.retain(|(l, _)| *l != connection);
        self.past.retain(|l| l.connection != connection);
        self.probes.retain(|(l, _)| *l != connection);
        let (cut, rest) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|l| l.connection == connection);
        self.attempts = rest;
        for attempt in &cut as &Vec<Attempt> {
            self.end_held(attempt, true);
            // Half of the reads had ended, with their last word lost.
            let engine = self
                .at
                .get(&(attempt.state.request, attempt.state.attempt))
                .cloned()
                .unwrap_or_default();
            let gone = self.statuses.get(engine.as_str()) == Some(&EndpointStatus::Gone);
            if !attempt.is_decode && attempt.stream.is_multiple_of(2) && !gone {
                self.held
                    .insert((attempt.state.request, attempt.state.attempt), self.now);
            }
        }
    }

    fn end(&mut self, attempt: Attempt, status: Status) -> Result<(), TestCaseError> {
        let proven = matches!(status, Status::Overloaded | Status::NoState);
        if attempt.is_decode && proven {
            self.requests
                .entry(attempt.request)
                .or_default()
                .may_have_run = false;
        }
        // Half of the writers that found no state just did not reach its reader.
        let unreached = status == Status::NoState && attempt.stream.is_multiple_of(2);
        self.end_held(
            &attempt,
            unreached || !matches!(status, Status::NoState | Status::Succeeded),
        );
        let mut state = None;
        if status == Status::PrefillDone {
            state = Some(attempt.state);
            self.held
                .insert((attempt.state.request, attempt.state.attempt), self.now);
        }
        let ended = v1::Ended {
            status: status.into(),
            state,
            ..v1::Ended::default()
        };
        self.put(Input::Engine {
            connection: attempt.connection,
            frame: frame(attempt.stream, Body::Ended(ended)),
        })
    }

    fn draw(&mut self, (what, whom, after): Draw) -> Result<(), TestCaseError> {
        let until = self.now + f64::from(after % 400) / 2.0;
        while let Some(at) = self.dispatcher.wants_call_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.put(Input::Tick)?;
        }
        self.now = until;
        for connection in std::mem::take(&mut self.pings) {
            if whom % 4 > 0 && self.connections.contains_key(&connection) {
                self.put(Input::Engine {
                    connection,
                    frame: frame(0, Body::Pong(v1::Pong {})),
                })?;
            }
        }
        for (connection, stream, lost) in std::mem::take(&mut self.releases) {
            let body = match lost {
                None => Body::Done(v1::Done {}),
                Some(key) => {
                    // One that is listed as gone holds nothing that could be let go.
                    let engine = self.at.get(&key).cloned().unwrap_or_default();
                    if self.statuses.get(engine.as_str()) != Some(&EndpointStatus::Gone) {
                        self.held.insert(key, self.now);
                    }
                    Body::Goodbye(v1::Goodbye {
                        reason: "reset".to_owned(),
                        never_ran: false,
                    })
                }
            };
            if self.connections.contains_key(&connection) {
                self.put(Input::Engine {
                    connection,
                    frame: frame(stream, body),
                })?;
            }
        }
        let pick = |n: usize| usize::from(whom) % n.max(1);
        match what % 20 {
            0..=4 => {
                let stream = self.next_stream;
                self.next_stream += 1;
                let request_class = REQUEST_CLASSES[stream as usize % REQUEST_CLASSES.len()];
                let time_to_deadline_ms = 200.0 + f64::from(whom % 4000);
                let session = u64::from(whom % 7);
                let submit = v1::Submit {
                    time_to_deadline_ms,
                    session,
                    ..submit(request_class)
                };
                self.put(Input::Client {
                    conn: ClientConnectionId(1),
                    frame: frame(stream, Body::Submit(submit)),
                })
            }
            5 => {
                let stream = 1 + u64::from(whom) % self.next_stream;
                if let Some(request) = self
                    .by_stream
                    .get(&stream)
                    .and_then(|t| self.requests.get_mut(t))
                {
                    request.left = !request.answered;
                }
                self.put(Input::Client {
                    conn: ClientConnectionId(1),
                    frame: frame(stream, Body::Cancel(v1::Cancel {})),
                })
            }
            6 => {
                let engine = ENGINES[pick(ENGINES.len())];
                let status = [
                    EndpointStatus::Ready,
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Gone,
                ][usize::from(whom >> 5) % 4];
                self.statuses.insert(engine, status);
                if status == EndpointStatus::Gone {
                    // With its process its states are gone.
                    let at = &self.at;
                    self.held
                        .retain(|key, _| at.get(key).is_none_or(|h| h != engine));
                    for (_, _, lost) in &mut self.releases {
                        *lost = lost.filter(|key| at.get(key).is_none_or(|h| h != engine));
                    }
                }
                self.put(Input::EndpointsUpdated(list(
                    EndpointUpdateKind::Delta,
                    &[(engine, status)],
                )))
            }
            7 if !self.connections.is_empty() => {
                let connection = *self
                    .connections
                    .keys()
                    .nth(pick(self.connections.len()))
                    .unwrap_or(&EngineConnectionId(0));
                self.cut(connection);
                self.put(Input::ConnectionClosed {
                    connection,
                    reason: "drawn".to_owned(),
                })
            }
            8..=11 if !self.dialled.is_empty() => {
                let (connection, engine) = self.dialled.remove(pick(self.dialled.len()));
                if whom.is_multiple_of(5) {
                    return self.put(Input::ConnectionClosed {
                        connection,
                        reason: "drawn".to_owned(),
                    });
                }
                self.connections.insert(connection, engine);
                self.put(Input::ConnectionEstablished {
                    connection,
                    limit: None,
                })
            }
            12 if !self.past.is_empty() => {
                let attempt = self.past.remove(pick(self.past.len()));
                let late = !attempt.is_decode && whom.is_multiple_of(2);
                // Its decode attempt had ended for the dispatcher with the cancel.
                let state = late.then_some(attempt.state);
                if late {
                    self.held
                        .insert((attempt.state.request, attempt.state.attempt), self.now);
                }
                let status = if late {
                    Status::PrefillDone
                } else {
                    Status::Cancelled
                };
                let ended = v1::Ended {
                    status: status.into(),
                    state,
                    ..v1::Ended::default()
                };
                self.put(Input::Engine {
                    connection: attempt.connection,
                    frame: frame(attempt.stream, Body::Ended(ended)),
                })
            }
            13 if !self.probes.is_empty() => {
                let (connection, stream) = self.probes.remove(pick(self.probes.len()));
                self.put(Input::Engine {
                    connection,
                    frame: frame(stream, Body::Load(v1::Load::default())),
                })
            }
            _ if !self.attempts.is_empty() => {
                let at = pick(self.attempts.len());
                let attempt = &mut self.attempts[at];
                let kind = (whom >> 6) % 8;
                if attempt.is_decode && kind < 5 && attempt.credit > 0 {
                    attempt.credit -= 1;
                    let body = tokens(attempt.position);
                    attempt.position += 1;
                    let (connection, stream, request) =
                        (attempt.connection, attempt.stream, attempt.request);
                    self.held
                        .remove(&(attempt.state.request, attempt.state.attempt));
                    self.put(Input::Engine {
                        connection,
                        frame: frame(stream, body),
                    })?;
                    let stream = StreamId(self.requests[&request].stream);
                    return self.put(Input::MessagesForwarded {
                        conn: ClientConnectionId(1),
                        stream,
                        messages: 1,
                    });
                }
                let attempt = self.attempts.remove(at);
                let status = match (attempt.is_decode, kind, attempt.position) {
                    (_, 5, 0) => Status::Overloaded,
                    (true, 6, 0) => Status::NoState,
                    (_, 7, _) => Status::Failed,
                    (true, ..) => Status::Succeeded,
                    (false, ..) => Status::PrefillDone,
                };
                self.end(attempt, status)
            }
            _ => Ok(()),
        }
    }

    /// Everything ends: connections, clients, time.
    fn end_all(&mut self) -> Result<(), TestCaseError> {
        for connection in self.connections.keys().copied().collect::<Vec<_>>() {
            self.cut(connection);
            self.put(Input::ConnectionClosed {
                connection,
                reason: "the end".to_owned(),
            })?;
        }
        self.requests
            .values_mut()
            .for_each(|request| request.left = !request.answered);
        self.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        })?;
        // Whom the dispatcher still dials, to let states go, cannot be had; then the states are not its to keep.
        self.held.clear();
        for _ in 0..400 {
            let Some(at) = self.dispatcher.wants_call_at() else {
                break;
            };
            self.now = self.now.max(at);
            self.put(Input::Tick)?;
        }
        let held = self.dispatcher.usage();
        prop_assert_eq!(
            (held.requests, held.connections, held.timers),
            (0, 0, 0),
            "{:?}",
            held
        );
        let counts = self.dispatcher.invariant_counts();
        prop_assert!(
            counts.violated.is_empty(),
            "a guard had to stop something: {:?}",
            counts
        );
        Ok(())
    }
}

fn play(draws: &[Draw], seed: u64) -> Result<World, TestCaseError> {
    let mut world = World::new(seed);
    let ready = ENGINES.map(|h| (h, EndpointStatus::Ready));
    world.put(Input::EndpointsUpdated(list(
        EndpointUpdateKind::Snapshot,
        &ready,
    )))?;
    for draw in draws {
        world.draw(*draw)?;
    }
    world.end_all()?;
    Ok(world)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_happens_the_ledger_keeps_the_rules(
        draws in prop::collection::vec(any::<Draw>(), 1..500),
        seed in any::<u64>(),
    ) {
        play(&draws, seed)?;
    }
}

/// The property meets every kind of answer often enough to mean something.
#[test]
fn long_rows_meet_every_answer() {
    let draws: Vec<Draw> = (0..30_000u32)
        .map(|i| {
            let mixed = i.wrapping_mul(0x9e37_79b9) ^ (i >> 3).wrapping_mul(0x85eb_ca6b);
            (
                (mixed >> 24) as u8,
                (mixed >> 7) as u16,
                (mixed % 61) as u16,
            )
        })
        .collect();
    let world = play(&draws, 3).unwrap_or_else(|e| panic!("{e}"));
    assert!(
        world.answers.iter().all(|n| *n > 100),
        "{:?}",
        world.answers
    );
}
