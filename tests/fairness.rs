//! Checks lower bounds on the fraction of requests that are answered, by request class, tenant,
//! third of the simulation, prompt length and session. The simulated engines queue, cache prompts,
//! reject, fail, drain, start cold and are replaced. Each dispatcher decides alone.
//!
//! A policy may serve most requests and still starve a group: long prompts, a tenant, or the
//! sessions whose home engine cannot serve. Here a minimum fraction of the requests of every group
//! has to be answered.
//!
//! The bounds are those of the users' acceptance page. The page compares a group with what a policy
//! that sees the true state would answer. That policy is not simulated here. The bounds are instead
//! relative to the fraction answered in the same request class, or to that of all requests.

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
/// Requests that arrive later may still be unanswered when the simulation ends, so they are not
/// counted.
const ARRIVALS_END_AT: Ms = SIMULATION_ENDS_AT - 10_000.0;
/// When the fault of the simulation begins, in milliseconds.
const FAULT_AT: Ms = 20_000.0;
const SLOW_START_WINDOW: Ms = 8_000.0;
const COLD_CAPACITY: f64 = 0.35;
/// Prompt tokens that a warm prefill engine computes per second.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
/// Maximum number of prefills that wait or run at a prefill engine. The engine rejects further
/// prefills.
const MAX_QUEUED_PREFILLS: usize = 30;
/// Maximum number of decodes that run at a decode engine. The engine rejects further decodes.
const DECODE_SLOTS: usize = 60;
/// Milliseconds that a decode takes per token.
const TOKEN_MS: f64 = 10.0;
/// Time to deadline of each request class, in milliseconds, by the index of the class.
const TIME_TO_DEADLINE: [Ms; 2] = [4_000.0, 8_000.0];
const TENANTS: usize = 3;
/// Median length of a session's first prompt, in tokens.
const MEDIAN_TOKENS: f64 = 900.0;
/// Spread of the lengths of first prompts: the standard deviation of the natural logarithm of the
/// length, which is normally distributed.
const LOG_STANDARD_DEVIATION: f64 = 1.2;
/// Maximum length of a session's first prompt, in tokens: as long as the platform's largest
/// prompts.
const MAX_PROMPT_TOKENS: f64 = 24_000.0;
/// Number of requests in a session, each with a longer prompt than the one before.
const REQUESTS_PER_SESSION: u32 = 3;

/// What happens at [`FAULT_AT`] to two in five engines of each kind.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Every attempt at the affected engines fails at once.
    Failing,
    /// The affected engines are replaced by new engines, which are cold.
    Cold,
    Draining,
    /// The affected engines reject every attempt.
    Rejecting,
    Gone,
}

fn settings(dispatcher_id: u32) -> Settings {
    let class = |index: usize| {
        let retry_safety = if index == 0 {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        };
        RequestClassSettings {
            latency_objective: TIME_TO_DEADLINE[index] / 4.0,
            latency_objective_per_1000_tokens: 60.0,
            time_to_deadline: TIME_TO_DEADLINE[index],
            priority_weight: 1.0 + index as f64,
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
        ..common::settings(dispatcher_id, DISPATCHERS)
    }
}

/// How a simulated engine handles an attempt.
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
    /// When a prefill engine will have computed all prompts that it has received so far.
    busy_until: Ms,
    /// The number of prefills that wait at the engine or run there.
    unfinished_prefills: usize,
    /// Decodes that run at the engine, from all dispatchers.
    decodes: usize,
    /// Number of prompt tokens that the engine has cached of each session.
    cached: BTreeMap<SessionId, f64>,
}

impl Engine {
    fn is_cold(&self, now: Ms) -> bool {
        self.endpoint
            .started
            .is_some_and(|at| now < at + SLOW_START_WINDOW)
    }

    fn load(&self) -> Load {
        let queued_requests = Some(self.unfinished_prefills as f64);
        let in_flight = Some((self.unfinished_prefills + self.decodes) as f64);
        Load {
            queued_requests,
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

/// A request with the answer that its client got.
#[derive(Clone, Debug)]
struct ClientRequest {
    class: usize,
    tenant: usize,
    session: SessionId,
    arrived_at: Ms,
    tokens: f64,
    answer: Answer,
}

/// What happens in the simulation at a scheduled time.
enum Scheduled {
    RequestArrives {
        session: SessionId,
        turn: u32,
        tokens: f64,
        class: usize,
        tenant: usize,
    },
    DispatcherReceives {
        dispatcher: usize,
        event: Event,
    },
    AttemptEnds {
        engine: usize,
    },
    FaultBegins,
}

struct Simulation {
    rng: WyRand,
    dispatchers: Vec<Control>,
    engines: Vec<Engine>,
    /// The index of each engine in `engines`, by the engine's id.
    engine_index: BTreeMap<EngineId, usize>,
    /// When each scheduled occurrence is due, in microseconds, and its number; the earliest is next.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled occurrences by their numbers.
    scheduled: BTreeMap<u64, Scheduled>,
    last_number: u64,
    requests: Vec<ClientRequest>,
    /// Number of attempts of each request so far.
    attempts: BTreeMap<RequestId, u32>,
    fault: Fault,
}

/// The fraction of the selected requests that were answered in time; `None` if no request is
/// selected.
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
            for index in 0..count {
                let name = format!(
                    "{}{index}-{seed}",
                    if is_prefill { "prefill" } else { "decode" }
                );
                engines.push(engine(is_prefill, name, index, None));
            }
        }
        let mut simulation = Simulation {
            rng: WyRand::new_seed(seed),
            dispatchers: Vec::new(),
            engine_index: engines
                .iter()
                .enumerate()
                .map(|(index, e)| (e.endpoint.engine.clone(), index))
                .collect(),
            engines,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_number: 0,
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            fault,
        };
        for dispatcher_id in 0..DISPATCHERS {
            let mut control =
                Control::new(settings(dispatcher_id), seed ^ u64::from(dispatcher_id));
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

    fn schedule(&mut self, when: Ms, scheduled: Scheduled) {
        self.last_number += 1;
        self.queue.push(Reverse((
            (when * 1000.0).ceil() as u64 + 1,
            self.last_number,
        )));
        self.scheduled.insert(self.last_number, scheduled);
    }

    /// A random number between 0 and 1, never 0, so that its logarithm is finite.
    fn uniform(&mut self) -> f64 {
        self.rng.generate::<f64>().max(1e-9)
    }

    /// Schedules random sessions. Computing their prompts takes `load` times the capacity of all
    /// prefill engines.
    fn schedule_sessions(&mut self, load: f64) {
        // Mean number of prompt tokens that have to be computed for a session: its first prompt,
        // and the tokens that each further request adds.
        let mean = MEDIAN_TOKENS * (LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2.0).exp()
            + f64::from(REQUESTS_PER_SESSION - 1) * MEDIAN_TOKENS;
        let gap = 1000.0 * mean / (load * PREFILL_TOKENS_PER_S * f64::from(PREFILL_ENGINES));
        let mut now = 0.0;
        while now < ARRIVALS_END_AT {
            now += -self.uniform().ln() * gap;
            // The Box-Muller transform makes a normally distributed number of two uniform ones.
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
                Scheduled::RequestArrives {
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
        self.schedule(FAULT_AT, Scheduled::FaultBegins);
        while let Some(Reverse((when, number))) = self.queue.pop() {
            let Some(scheduled) = self.scheduled.remove(&number) else {
                continue;
            };
            let now = when as f64 / 1000.0;
            match scheduled {
                _ if now > SIMULATION_ENDS_AT => break,
                Scheduled::RequestArrives {
                    session,
                    turn,
                    tokens,
                    class,
                    tenant,
                } => {
                    self.handle_arrival(now, session, turn, tokens, (class, tenant));
                }
                Scheduled::DispatcherReceives { dispatcher, event } => {
                    self.deliver(now, dispatcher, event)
                }
                Scheduled::AttemptEnds { engine } if self.engines[engine].is_prefill => {
                    self.engines[engine].unfinished_prefills -= 1
                }
                Scheduled::AttemptEnds { engine } => self.engines[engine].decodes -= 1,
                Scheduled::FaultBegins => self.begin_fault(now),
            }
        }
        self.requests
            .retain(|request| request.arrived_at < ARRIVALS_END_AT);
        self.requests
    }

    /// Starts the fault of this simulation at two in five engines of each kind.
    fn begin_fault(&mut self, now: Ms) {
        let affected: Vec<usize> = (0..self.engines.len())
            .filter(|index| index % 5 < 2)
            .collect();
        for index in affected {
            let engine = &mut self.engines[index];
            match self.fault {
                Fault::None => {}
                Fault::Failing => engine.behaviour = Behaviour::Fails,
                Fault::Rejecting => engine.behaviour = Behaviour::Rejects,
                Fault::Draining => engine.endpoint.status = EndpointStatus::Draining,
                Fault::Gone => engine.endpoint.status = EndpointStatus::Gone,
                Fault::Cold => {
                    engine.endpoint.status = EndpointStatus::Gone;
                    let name = format!("new-{}", engine.endpoint.engine.0);
                    let new = self::engine(engine.is_prefill, name, index as u32, Some(now));
                    self.engine_index
                        .insert(new.endpoint.engine.clone(), self.engines.len());
                    self.engines.push(new);
                }
            }
        }
        for dispatcher in 0..DISPATCHERS as usize {
            let (delay, event) = (400.0 * self.uniform(), self.endpoints_updated());
            self.schedule(
                now + delay,
                Scheduled::DispatcherReceives { dispatcher, event },
            );
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
            arrived_at: now,
            tokens,
            answer,
        });
        if turn < REQUESTS_PER_SESSION {
            let (pause, more) = (2_000.0 + 3_000.0 * self.uniform(), MEDIAN_TOKENS);
            let (turn, tokens) = (turn + 1, tokens + more);
            self.schedule(
                now + pause,
                Scheduled::RequestArrives {
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
                        Scheduled::DispatcherReceives {
                            dispatcher,
                            event: Event::Timer { timer },
                        },
                    );
                }
                // The simulated engines ignore the cancellation of an attempt, which stays in their
                // queue and ends as if it had not been cancelled.
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
        let load = self.engines[self.engine_index[&engine]].load();
        let event = Event::HealthChecked {
            engine,
            outcome: Outcome::Succeeded,
            latency: 2.0,
            load,
        };
        self.schedule(
            now + 2.0,
            Scheduled::DispatcherReceives { dispatcher, event },
        );
    }

    fn attempt(&mut self, now: Ms, dispatcher: usize, request: RequestId, engine_id: EngineId) {
        let count = self.attempts.entry(request).or_insert(0);
        let attempt = AttemptId(*count);
        *count += 1;
        let (index, client_request) = (
            self.engine_index[&engine_id],
            self.requests[request.0 as usize].clone(),
        );
        let engine = &mut self.engines[index];
        let cold = engine.is_cold(now);
        let full = if engine.is_prefill {
            engine.unfinished_prefills >= MAX_QUEUED_PREFILLS
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
                engine.unfinished_prefills += 1;
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
                self.schedule(now + latency, Scheduled::AttemptEnds { engine: index })
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
                    Scheduled::DispatcherReceives {
                        dispatcher,
                        event: first,
                    },
                );
                if now + 20.0 < client_request.arrived_at + TIME_TO_DEADLINE[client_request.class] {
                    self.finish(request, Answer::Answered);
                }
                self.schedule(now + latency, Scheduled::AttemptEnds { engine: index });
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
            Scheduled::DispatcherReceives {
                dispatcher,
                event: Event::Ended(ended),
            },
        );
    }
}

fn engine(is_prefill: bool, name: String, index: u32, started: Option<Ms>) -> Engine {
    let endpoint = Endpoint {
        started,
        ..common::endpoint(&name, u32::from(!is_prefill), 0, index % 2)
    };
    let (behaviour, cached) = (Behaviour::Works, BTreeMap::new());
    Engine {
        is_prefill,
        endpoint,
        behaviour,
        busy_until: 0.0,
        unfinished_prefills: 0,
        decodes: 0,
        cached,
    }
}

/// The answered fractions of two groups of a class's requests: the tenth with the longest prompts,
/// and the fifth with the next longest.
fn answered_fractions_of_longest_prompts(requests: &[ClientRequest], class: usize) -> (f64, f64) {
    let mut lengths: Vec<f64> = requests
        .iter()
        .filter(|r| r.class == class)
        .map(|r| r.tokens)
        .collect();
    lengths.sort_by(|a, b| b.total_cmp(a));
    let (min_in_tenth, min_in_fifth) =
        (lengths[lengths.len() / 10], lengths[lengths.len() * 3 / 10]);
    let answered_of_length = |from: f64, to: f64| {
        answered_fraction(requests, |r| {
            r.class == class && r.tokens >= from && r.tokens < to
        })
    };
    (
        answered_of_length(min_in_tenth, f64::INFINITY)
            .expect("the class must have requests in the longest tenth"),
        answered_of_length(min_in_fifth, min_in_tenth)
            .expect("the class must have requests in the next longest fifth"),
    )
}

/// The fraction of a class's sessions in which every request was rejected, minus the fraction
/// expected if the same number of rejections were spread at random over the requests of the class.
fn excess_rejected_sessions(requests: &[ClientRequest], class: usize) -> f64 {
    let mut sessions: BTreeMap<SessionId, (i32, bool)> = BTreeMap::new();
    for request in requests.iter().filter(|r| r.class == class) {
        let session = sessions.entry(request.session).or_insert((0, true));
        session.0 += 1;
        session.1 &= request.answer == Answer::Rejected;
    }
    let rejected = 1.0
        - answered_fraction(requests, |r| r.class == class).expect("each class must have requests");
    let expected_in_full: f64 = sessions
        .values()
        .map(|(turns, _)| rejected.powi(*turns))
        .sum();
    let rejected_in_full = sessions.values().filter(|(_, all)| *all).count() as f64;
    (rejected_in_full - expected_in_full) / sessions.len() as f64
}

/// Runs a simulation and checks the lower bounds. `min_answered`: the minimum fraction of all
/// requests that are answered. `min_long_prompt_ratio`: for the requests with the longest prompts,
/// the minimum ratio of their answered fraction to that of all requests of their class.
fn check_lower_bounds(
    fault: Fault,
    load: f64,
    seed: u64,
    min_answered: f64,
    min_long_prompt_ratio: f64,
) {
    let case = format!("{fault:?}, load {load}, seed {seed}");
    let requests = Simulation::new(fault, seed).run(load);
    assert!(
        requests.len() > 500,
        "{case}: only {} requests arrived",
        requests.len()
    );
    let all = answered_fraction(&requests, |_| true).expect("the simulation must have requests");
    println!(
        "{case}: a fraction of {all:.3} of {} requests is answered",
        requests.len()
    );
    assert!(
        all >= min_answered,
        "{case}: only a fraction of {all:.3} of all requests is answered"
    );
    for class in 0..TIME_TO_DEADLINE.len() {
        let answered = answered_fraction(&requests, |r| r.class == class)
            .expect("each class must have requests");
        let (tenth, fifth) = answered_fractions_of_longest_prompts(&requests, class);
        let excess = excess_rejected_sessions(&requests, class);
        println!("  class {class}: fractions answered: {answered:.3} of all prompts, {tenth:.3} of the longest tenth, {fifth:.3} of the next fifth; the fraction of sessions rejected in full is {excess:.3} above the fraction expected by chance");
        assert!(
            answered >= 0.5 * all,
            "{case}: only a fraction of {answered:.3} of the requests of class {class} is answered, but {all:.3} of all requests"
        );
        assert!(
            tenth >= min_long_prompt_ratio * answered,
            "{case}: only a fraction of {tenth:.3} of the longest tenth of prompts of class {class} is answered, but {answered:.3} of the whole class"
        );
        assert!(
            fifth >= min_long_prompt_ratio * answered,
            "{case}: only a fraction of {fifth:.3} of the next fifth of prompts by length of class {class} is answered, but {answered:.3} of the whole class"
        );
        assert!(
            excess <= 0.12,
            "{case}: {excess:.3} more of the sessions of class {class} are rejected in full than by chance"
        );
    }
    for tenant in 0..TENANTS {
        let answered = answered_fraction(&requests, |r| r.tenant == tenant)
            .expect("each tenant must have requests");
        assert!(
            answered >= all / 3.0,
            "{case}: only a fraction of {answered:.3} of the requests of tenant {tenant} is answered, but {all:.3} of all requests"
        );
    }
    for third in 0..3 {
        let start = f64::from(third) * ARRIVALS_END_AT / 3.0;
        let within = |r: &ClientRequest| {
            r.arrived_at >= start && r.arrived_at < start + ARRIVALS_END_AT / 3.0
        };
        let answered =
            answered_fraction(&requests, within).expect("requests must arrive in each third");
        assert!(
            answered >= all / 5.0,
            "{case}: only a fraction of {answered:.3} of the requests in the third from {start} ms is answered, but {all:.3} of all requests"
        );
    }
}

/// No engine has a fault, and the capacity exceeds the load: no group may be starved.
#[test_case(0.5; "half of the capacity")]
#[test_case(0.7; "seven tenths of the capacity")]
fn no_group_is_starved_while_there_is_capacity(load: f64) {
    for seed in 1..=4 {
        check_lower_bounds(Fault::None, load, seed, 0.85, 2.0 / 3.0);
    }
}

/// The load exceeds the capacity of the engines. A policy that rejects the longest prompts would
/// answer the most requests, but clients with long prompts would never get an answer.
#[test]
fn long_prompts_are_not_starved_under_overload() {
    for seed in 1..=4 {
        check_lower_bounds(Fault::None, 1.3, seed, 0.4, 0.5);
    }
}

/// Two in five engines of each kind have a fault for the last two thirds of the simulation.
/// Sessions whose home engine is one of these must be served by another engine while there is
/// capacity. `min_answered`: the minimum fraction of all requests that are answered.
#[test_case(Fault::Failing, 0.8; "failing")]
#[test_case(Fault::Cold, 0.95; "cold")]
#[test_case(Fault::Draining, 0.9; "draining")]
#[test_case(Fault::Rejecting, 0.55; "rejecting")]
#[test_case(Fault::Gone, 0.9; "gone")]
fn sessions_whose_home_engine_cannot_serve_are_served_by_another_engine(
    fault: Fault,
    min_answered: f64,
) {
    for seed in 1..=4 {
        check_lower_bounds(fault, 0.4, seed, min_answered, 0.5);
    }
}
