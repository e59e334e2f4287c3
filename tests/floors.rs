//! Lower bounds on the fraction of requests answered, by request class, tenant, third of the
//! simulation, prompt length and session. The simulated engines queue, cache prompts, reject, fail,
//! drain, start cold and are replaced. Each dispatcher decides alone.
//!
//! A policy may serve most requests and still starve a group: long prompts, a tenant, or the
//! sessions whose home engine cannot serve. Here every group has to get a share.
//!
//! The bounds are those of the users' acceptance page, relative to the fraction answered in the
//! same class. The page's own reference, a policy that sees the true state, is not simulated here.

mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const DISPATCHERS: u32 = 12;
const PREFILL_ENGINES: u32 = 10;
const DECODE_ENGINES: u32 = 8;
/// When the simulation ends, in milliseconds.
const SIMULATION_ENDS_AT: Ms = 60_000.0;
/// Requests that arrive later may be unanswered at the end and do not count.
const ARRIVALS_END_AT: Ms = SIMULATION_ENDS_AT - 10_000.0;
/// When the fault begins, in milliseconds.
const FAULT_AT: Ms = 20_000.0;
const SLOW_START_WINDOW: Ms = 8_000.0;
const COLD_CAPACITY: f64 = 0.35;
/// Prompt tokens that a prefill engine computes per second.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
/// Maximum number of requests that wait at a prefill engine.
const MAX_QUEUED_PREFILLS: usize = 30;
const DECODE_SLOTS: usize = 60;
const TOKEN_MS: f64 = 10.0;
const TIME_TO_DEADLINE: [Ms; 2] = [4_000.0, 8_000.0];
const TENANTS: usize = 3;
/// Median prompt length of new sessions, in tokens.
const MEDIAN_TOKENS: f64 = 900.0;
/// Standard deviation of the logarithm of the prompt length.
const LOG_STANDARD_DEVIATION: f64 = 1.2;
/// Length of the platform's largest prompts.
const MAX_PROMPT_TOKENS: f64 = 24_000.0;
/// Number of requests in a session.
const TURNS: u32 = 3;

/// A fault that affects a part of the engines of each kind from [`FAULT_AT`] on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Every attempt at the affected engines fails at once.
    Failing,
    /// The affected engines are replaced by engines that start cold.
    Cold,
    Draining,
    /// The affected engines reject every attempt.
    Rejecting,
    Gone,
}

fn settings(me: u32) -> Settings {
    let class = |at: usize| {
        let retry_safety = if at == 0 {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        };
        RequestClassSettings {
            latency_objective: TIME_TO_DEADLINE[at] / 4.0,
            latency_objective_per_1000_tokens: 60.0,
            time_to_deadline: TIME_TO_DEADLINE[at],
            priority_weight: 1.0 + at as f64,
            token_pace: 60.0,
            ..common::request_class(retry_safety)
        }
    };
    let tenant = TenantSettings {
        share: 1.0,
        quota_per_second: 1e9,
    };
    Settings {
        request_classes: vec![class(0), class(1)],
        tenants: vec![tenant; TENANTS],
        kinds: common::kinds(&[Role::Prefill, Role::Decode], 5e5),
        drain_grace: 2000.0,
        overload_window: 3000.0,
        cold_capacity: COLD_CAPACITY,
        slow_start_window: SLOW_START_WINDOW,
        ..common::settings(me, DISPATCHERS)
    }
}

/// How an engine handles an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Works,
    Fails,
    Rejects,
}

struct Engine {
    is_prefill: bool,
    endpoint: Endpoint,
    behaviour: Behaviour,
    /// Until when a prefill engine is busy.
    busy_until: Ms,
    /// Prefills that wait at the engine or run there.
    waiting: usize,
    /// Decodes that run at the engine.
    decodes: usize,
    /// Cached prompt tokens of each session.
    cached: BTreeMap<SessionId, f64>,
}

impl Engine {
    fn is_cold(&self, now: Ms) -> bool {
        self.endpoint
            .started
            .is_some_and(|at| now < at + SLOW_START_WINDOW)
    }

    fn load(&self) -> Load {
        let queue = Some(self.waiting as f64);
        let in_flight = Some((self.waiting + self.decodes) as f64);
        Load {
            queue,
            in_flight,
            slots_used: Some(self.decodes as f64 / DECODE_SLOTS as f64),
            ..Load::default()
        }
    }
}

#[derive(Clone, Copy, Default, PartialEq, Debug)]
enum Answer {
    #[default]
    Open,
    Answered,
    Rejected,
}

/// A request from the client's point of view.
#[derive(Clone, Debug)]
struct ClientRequest {
    class: usize,
    tenant: usize,
    session: SessionId,
    at: Ms,
    tokens: f64,
    answer: Answer,
}

enum Occurrence {
    Arrives {
        session: SessionId,
        turn: u32,
        tokens: f64,
        class: usize,
        tenant: usize,
    },
    Receives {
        dispatcher: usize,
        event: Event,
    },
    AttemptEnds {
        engine: usize,
    },
    Fault,
}

struct Simulation {
    rng: WyRand,
    dispatchers: Vec<Control>,
    engines: Vec<Engine>,
    index: BTreeMap<EngineId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    entries: BTreeMap<u64, Occurrence>,
    last_entry: u64,
    requests: Vec<ClientRequest>,
    attempts: BTreeMap<RequestId, u32>,
    fault: Fault,
}

/// The fraction of the selected requests that were answered; `None` if none is selected.
fn answered_fraction(
    requests: &[ClientRequest],
    is_selected: impl Fn(&ClientRequest) -> bool,
) -> Option<f64> {
    let (mut all, mut answered) = (0, 0);
    for request in requests.iter().filter(|request| is_selected(request)) {
        all += 1;
        answered += usize::from(request.answer == Answer::Answered);
    }
    (all > 0).then(|| f64::from(answered as u32) / f64::from(all))
}

impl Simulation {
    fn new(fault: Fault, seed: u64) -> Simulation {
        let mut engines = Vec::new();
        for (is_prefill, count) in [(true, PREFILL_ENGINES), (false, DECODE_ENGINES)] {
            for at in 0..count {
                let name = format!(
                    "{}{at}-{seed}",
                    if is_prefill { "prefill" } else { "decode" }
                );
                engines.push(engine(is_prefill, name, at, None));
            }
        }
        let mut simulation = Simulation {
            rng: WyRand::new_seed(seed),
            dispatchers: Vec::new(),
            index: engines
                .iter()
                .enumerate()
                .map(|(at, e)| (e.endpoint.engine.clone(), at))
                .collect(),
            engines,
            queue: BinaryHeap::new(),
            entries: BTreeMap::new(),
            last_entry: 0,
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            fault,
        };
        for me in 0..DISPATCHERS {
            let mut control = Control::new(settings(me), seed ^ u64::from(me));
            control.step(0.0, &[simulation.endpoints_updated()], &mut Vec::new());
            simulation.dispatchers.push(control);
        }
        simulation
    }

    fn endpoints_updated(&self) -> Event {
        let endpoints = self.engines.iter().map(|e| e.endpoint.clone()).collect();
        Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        }
    }

    fn schedule(&mut self, when: Ms, occurrence: Occurrence) {
        self.last_entry += 1;
        self.queue.push(Reverse((
            (when * 1000.0).ceil() as u64 + 1,
            self.last_entry,
        )));
        self.entries.insert(self.last_entry, occurrence);
    }

    fn uniform(&mut self) -> f64 {
        self.rng.generate::<f64>().max(1e-9)
    }

    /// Schedules random sessions whose prompts need `load` times the capacity of the prefill
    /// engines.
    fn schedule_sessions(&mut self, load: f64) {
        // Prompt tokens that a session needs to have computed: its first prompt, and what each
        // further request adds.
        let mean = MEDIAN_TOKENS * (LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2.0).exp()
            + f64::from(TURNS - 1) * MEDIAN_TOKENS;
        let gap = 1000.0 * mean / (load * PREFILL_TOKENS_PER_S * f64::from(PREFILL_ENGINES));
        let mut now = 0.0;
        while now < ARRIVALS_END_AT {
            now += -self.uniform().ln() * gap;
            // A normally distributed number from two uniform ones (Box-Muller transform).
            let (a, b) = (self.uniform(), self.uniform());
            let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
            let tokens = (MEDIAN_TOKENS * (LOG_STANDARD_DEVIATION * normal).exp())
                .clamp(50.0, MAX_PROMPT_TOKENS)
                .round();
            let session = SessionId(self.rng.generate());
            let class = usize::from(self.uniform() < 0.4);
            let tenant = (self.uniform() * TENANTS as f64) as usize % TENANTS;
            self.schedule(
                now,
                Occurrence::Arrives {
                    session,
                    turn: 1,
                    tokens,
                    class,
                    tenant,
                },
            );
        }
    }

    /// Runs the simulation. Returns the requests that arrived before [`ARRIVALS_END_AT`].
    fn run(mut self, load: f64) -> Vec<ClientRequest> {
        self.schedule_sessions(load);
        self.schedule(FAULT_AT, Occurrence::Fault);
        while let Some(Reverse((when, number))) = self.queue.pop() {
            let Some(occurrence) = self.entries.remove(&number) else {
                continue;
            };
            let now = when as f64 / 1000.0;
            match occurrence {
                _ if now > SIMULATION_ENDS_AT => break,
                Occurrence::Arrives {
                    session,
                    turn,
                    tokens,
                    class,
                    tenant,
                } => {
                    self.handle_arrival(now, session, turn, tokens, (class, tenant));
                }
                Occurrence::Receives { dispatcher, event } => self.deliver(now, dispatcher, event),
                Occurrence::AttemptEnds { engine } if self.engines[engine].is_prefill => {
                    self.engines[engine].waiting -= 1
                }
                Occurrence::AttemptEnds { engine } => self.engines[engine].decodes -= 1,
                Occurrence::Fault => self.begin_fault(now),
            }
        }
        self.requests.retain(|request| request.at < ARRIVALS_END_AT);
        self.requests
    }

    /// Starts the fault at two in five engines of each kind.
    fn begin_fault(&mut self, now: Ms) {
        let affected: Vec<usize> = (0..self.engines.len()).filter(|at| at % 5 < 2).collect();
        for at in affected {
            let engine = &mut self.engines[at];
            match self.fault {
                Fault::None => {}
                Fault::Failing => engine.behaviour = Behaviour::Fails,
                Fault::Rejecting => engine.behaviour = Behaviour::Rejects,
                Fault::Draining => engine.endpoint.status = EndpointStatus::Draining,
                Fault::Gone => engine.endpoint.status = EndpointStatus::Gone,
                Fault::Cold => {
                    engine.endpoint.status = EndpointStatus::Gone;
                    let name = format!("new-{}", engine.endpoint.engine.0);
                    let new = self::engine(engine.is_prefill, name, at as u32, Some(now));
                    self.index
                        .insert(new.endpoint.engine.clone(), self.engines.len());
                    self.engines.push(new);
                }
            }
        }
        for dispatcher in 0..DISPATCHERS as usize {
            let (delay, event) = (400.0 * self.uniform(), self.endpoints_updated());
            self.schedule(now + delay, Occurrence::Receives { dispatcher, event });
        }
    }

    fn handle_arrival(
        &mut self,
        now: Ms,
        session: SessionId,
        turn: u32,
        tokens: f64,
        (class, tenant): (usize, usize),
    ) {
        let request = RequestId(self.requests.len() as u32);
        let answer = Answer::Open;
        self.requests.push(ClientRequest {
            class,
            tenant,
            session,
            at: now,
            tokens,
            answer,
        });
        if turn < TURNS {
            let (pause, more) = (2_000.0 + 3_000.0 * self.uniform(), MEDIAN_TOKENS);
            let (turn, tokens) = (turn + 1, tokens + more);
            self.schedule(
                now + pause,
                Occurrence::Arrives {
                    session,
                    turn,
                    tokens,
                    class,
                    tenant,
                },
            );
        }
        let dispatcher = (self.uniform() * f64::from(DISPATCHERS)) as usize % DISPATCHERS as usize;
        let arrival = Arrival {
            request,
            request_class: RequestClassId(class as u32),
            tenant: Some(TenantId(tenant as u32)),
            session,
            time_to_deadline: TIME_TO_DEADLINE[class],
            prompt_tokens: tokens,
            max_tokens: 100.0,
            ..Arrival::default()
        };
        self.deliver(now, dispatcher, Event::Arrived(arrival));
    }

    fn deliver(&mut self, now: Ms, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[dispatcher].step(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt {
                    request, engine, ..
                } => self.attempt(now, dispatcher, request, engine),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.finish(request, Answer::Rejected)
                }
                Action::HealthCheck { engine } => self.health_check(now, dispatcher, engine),
                Action::SetTimer { delay, timer } => {
                    self.schedule(
                        now + delay,
                        Occurrence::Receives {
                            dispatcher,
                            event: Event::Timer { timer },
                        },
                    );
                }
                // A cancelled attempt stays in the queue until its time has passed and ends there
                // by itself.
                _ => {}
            }
        }
    }

    fn finish(&mut self, request: RequestId, answer: Answer) {
        let request = &mut self.requests[request.0 as usize];
        if request.answer == Answer::Open {
            request.answer = answer;
        }
    }

    fn health_check(&mut self, now: Ms, dispatcher: usize, engine: EngineId) {
        let load = self.engines[self.index[&engine]].load();
        let event = Event::HealthChecked {
            engine,
            outcome: Outcome::Succeeded,
            latency: 2.0,
            load,
        };
        self.schedule(now + 2.0, Occurrence::Receives { dispatcher, event });
    }

    fn attempt(&mut self, now: Ms, dispatcher: usize, request: RequestId, engine_id: EngineId) {
        let count = self.attempts.entry(request).or_insert(0);
        let attempt = AttemptId(*count);
        *count += 1;
        let (at, client_request) = (
            self.index[&engine_id],
            self.requests[request.0 as usize].clone(),
        );
        let engine = &mut self.engines[at];
        let cold = engine.is_cold(now);
        let full = if engine.is_prefill {
            engine.waiting >= MAX_QUEUED_PREFILLS
        } else {
            engine.decodes >= DECODE_SLOTS
        };
        let (outcome, latency, detail) = match engine.behaviour {
            Behaviour::Fails => (Outcome::Failed, 5.0, 0.0),
            Behaviour::Rejects => (Outcome::Overloaded, 2.0, 0.0),
            Behaviour::Works if full => (Outcome::Overloaded, 2.0, 0.0),
            Behaviour::Works if engine.is_prefill => {
                let cached = engine
                    .cached
                    .insert(client_request.session, client_request.tokens)
                    .unwrap_or(0.0);
                let speed = if cold { COLD_CAPACITY } else { 1.0 } * PREFILL_TOKENS_PER_S / 1000.0;
                engine.busy_until =
                    engine.busy_until.max(now) + (client_request.tokens - cached).max(1.0) / speed;
                engine.waiting += 1;
                (Outcome::PrefillDone, engine.busy_until - now, cached)
            }
            Behaviour::Works => {
                engine.decodes += 1;
                (Outcome::Succeeded, 20.0 + 100.0 * TOKEN_MS, 0.0)
            }
        };
        let (load, is_prefill) = (engine.load(), engine.is_prefill);
        match outcome {
            Outcome::PrefillDone => {
                self.schedule(now + latency, Occurrence::AttemptEnds { engine: at })
            }
            Outcome::Succeeded => {
                let first = Event::FirstToken {
                    request,
                    attempt,
                    engine: engine_id.clone(),
                    latency: 20.0,
                };
                self.schedule(
                    now + 20.0,
                    Occurrence::Receives {
                        dispatcher,
                        event: first,
                    },
                );
                if now + 20.0 < client_request.at + TIME_TO_DEADLINE[client_request.class] {
                    self.finish(request, Answer::Answered);
                }
                self.schedule(now + latency, Occurrence::AttemptEnds { engine: at });
            }
            _ => {}
        }
        let last = outcome == Outcome::Succeeded && !is_prefill;
        let ended = Ended {
            request,
            attempt,
            engine: engine_id,
            outcome,
            latency,
            last,
            detail,
            load,
        };
        self.schedule(
            now + latency,
            Occurrence::Receives {
                dispatcher,
                event: Event::Ended(ended),
            },
        );
    }
}

fn engine(is_prefill: bool, name: String, at: u32, started: Option<Ms>) -> Engine {
    let endpoint = Endpoint {
        started,
        ..common::endpoint(&name, u32::from(!is_prefill), 0, at % 2)
    };
    let (behaviour, cached) = (Behaviour::Works, BTreeMap::new());
    Engine {
        is_prefill,
        endpoint,
        behaviour,
        busy_until: 0.0,
        waiting: 0,
        decodes: 0,
        cached,
    }
}

/// The fractions answered of the requests of a class with the longest prompts: of the longest
/// tenth, and of the next fifth.
fn longest_prompts(requests: &[ClientRequest], class: usize) -> (f64, f64) {
    let mut lengths: Vec<f64> = requests
        .iter()
        .filter(|r| r.class == class)
        .map(|r| r.tokens)
        .collect();
    lengths.sort_by(|a, b| b.total_cmp(a));
    let (tenth, fifth) = (lengths[lengths.len() / 10], lengths[lengths.len() * 3 / 10]);
    let of = |from: f64, to: f64| {
        answered_fraction(requests, |r| {
            r.class == class && r.tokens >= from && r.tokens < to
        })
    };
    (
        of(tenth, f64::INFINITY).expect("requests were selected"),
        of(fifth, tenth).expect("requests were selected"),
    )
}

/// The fraction of a class's sessions of which every request was rejected, beyond what random
/// rejections at the class's rate would give.
fn excess_rejected_sessions(requests: &[ClientRequest], class: usize) -> f64 {
    let mut sessions: BTreeMap<SessionId, (i32, bool)> = BTreeMap::new();
    for request in requests.iter().filter(|r| r.class == class) {
        let session = sessions.entry(request.session).or_insert((0, true));
        session.0 += 1;
        session.1 &= request.answer == Answer::Rejected;
    }
    let rejected =
        1.0 - answered_fraction(requests, |r| r.class == class).expect("requests were selected");
    let expected: f64 = sessions
        .values()
        .map(|(turns, _)| rejected.powi(*turns))
        .sum();
    let seen = sessions.values().filter(|(_, all)| *all).count() as f64;
    (seen - expected) / sessions.len() as f64
}

/// Runs a simulation and checks the lower bounds. `min_answered`: the fraction of all requests;
/// `min_long_prompts`: the fraction of the requests with the longest prompts, relative to the
/// fraction of their class.
fn check_lower_bounds(
    fault: Fault,
    load: f64,
    seed: u64,
    min_answered: f64,
    min_long_prompts: f64,
) {
    let case = format!("{fault:?}, load {load}, seed {seed}");
    let requests = Simulation::new(fault, seed).run(load);
    assert!(requests.len() > 500, "{case}: {} requests", requests.len());
    let all = answered_fraction(&requests, |_| true).expect("requests were selected");
    println!("{case}: {} requests, answered {all:.3}", requests.len());
    assert!(all >= min_answered, "{case}: {all:.3} answered");
    for class in 0..TIME_TO_DEADLINE.len() {
        let share =
            answered_fraction(&requests, |r| r.class == class).expect("requests were selected");
        let (tenth, fifth) = longest_prompts(&requests, class);
        let excess = excess_rejected_sessions(&requests, class);
        println!("  class {class}: {share:.3}, longest tenth {tenth:.3}, next fifth {fifth:.3}, rejected sessions beyond chance {excess:.3}");
        assert!(
            share >= 0.5 * all,
            "{case}: class {class} answered {share:.3}, all {all:.3}"
        );
        assert!(
            tenth >= min_long_prompts * share,
            "{case}: the longest tenth answered {tenth:.3}, the class {share:.3}"
        );
        assert!(
            fifth >= min_long_prompts * share,
            "{case}: the next fifth answered {fifth:.3}, the class {share:.3}"
        );
        assert!(
            excess <= 0.12,
            "{case}: {excess:.3} of the sessions of class {class} are rejected beyond chance"
        );
    }
    for tenant in 0..TENANTS {
        let share =
            answered_fraction(&requests, |r| r.tenant == tenant).expect("requests were selected");
        assert!(
            share >= all / 3.0,
            "{case}: tenant {tenant} answered {share:.3}, all {all:.3}"
        );
    }
    for third in 0..3 {
        let third = f64::from(third) * ARRIVALS_END_AT / 3.0;
        let within = |r: &ClientRequest| r.at >= third && r.at < third + ARRIVALS_END_AT / 3.0;
        let share = answered_fraction(&requests, within).expect("requests were selected");
        assert!(
            share >= all / 5.0,
            "{case}: answered {share:.3} in the third from {third} ms, all {all:.3}"
        );
    }
}

/// No engine has a fault, and there is enough capacity: no group may be starved.
#[test_case(0.5; "half of the capacity")]
#[test_case(0.7; "seven tenths of the capacity")]
fn no_group_is_starved_while_there_is_capacity(load: f64) {
    for seed in 1..=4 {
        check_lower_bounds(Fault::None, load, seed, 0.85, 2.0 / 3.0);
    }
}

/// The load exceeds the capacity of the engines. A policy that rejects only the longest prompts
/// would answer most requests, but none of the clients with long prompts.
#[test]
fn long_prompts_get_their_share_under_overload() {
    for seed in 1..=4 {
        check_lower_bounds(Fault::None, 1.3, seed, 0.4, 0.5);
    }
}

/// Two in five engines of each kind have a fault for the last two thirds of the simulation.
/// Sessions whose home engine is among them must be served by another engine while there is
/// capacity. `min_answered`: the fraction of all requests answered.
#[test_case(Fault::Failing, 0.8; "failing")]
#[test_case(Fault::Cold, 0.95; "cold")]
#[test_case(Fault::Draining, 0.9; "draining")]
#[test_case(Fault::Rejecting, 0.55; "rejecting")]
#[test_case(Fault::Gone, 0.9; "gone")]
fn sessions_whose_home_engine_cannot_serve_reach_another_engine(fault: Fault, min_answered: f64) {
    for seed in 1..=4 {
        check_lower_bounds(fault, 0.4, seed, min_answered, 0.5);
    }
}
