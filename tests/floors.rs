//! Who is served on drawn days: lower bounds by class, tenant, third of the day, length of the
//! prompt and session, beside engines that queue, cache prompts, reject, fail, drain, start cold
//! and are replaced. Each dispatcher decides alone.
//!
//! A policy may serve most requests and still starve somebody: the long prompts, a tenant, or the
//! sessions whose home engine is out of order. Here everyone has to get a part.
//!
//! The floors are those of the users' acceptance page, held against each class's own share: the
//! page's own measure, a policy that sees the true state, is not played here.

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
const DAY_ENDS_AT: Ms = 60_000.0;
const TROUBLE_AT: Ms = 20_000.0;
const SLOW_START_WINDOW: Ms = 8_000.0;
const COLD_CAPACITY: f64 = 0.35;
/// Prompt tokens that a prefill engine computes a second, and requests that may wait there.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
const PREFILL_QUEUE: usize = 30;
const DECODE_SLOTS: usize = 60;
const TOKEN_MS: f64 = 10.0;
const TIME_TO_DEADLINE: [Ms; 2] = [4_000.0, 8_000.0];
const TENANTS: usize = 3;
/// Prompts of new sessions: their median and the spread of their logarithms, as long as the
/// platform's largest.
const MEDIAN_TOKENS: f64 = 900.0;
const LOG_SPREAD: f64 = 1.2;
const MAX_PROMPT_TOKENS: f64 = 24_000.0;
const TURNS: u32 = 3;

/// What happens to a part of the engines of each kind from the middle of the day on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Every attempt there fails at once.
    Failing,
    /// They were replaced, and start cold.
    Cold,
    Draining,
    /// They reject every attempt.
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

/// What an engine does with an attempt.
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
    /// A prefill engine is busy until then; how many wait there.
    busy_until: Ms,
    waiting: usize,
    /// Decodes in flight.
    decodes: usize,
    /// Prompt tokens that are cached of sessions.
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

/// A request as its client sees it.
#[derive(Clone, Debug)]
struct ClientRequest {
    class: usize,
    tenant: usize,
    session: SessionId,
    at: Ms,
    tokens: f64,
    end: Answer,
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
    Trouble,
}

struct Day {
    rng: WyRand,
    dispatchers: Vec<Control>,
    engines: Vec<Engine>,
    index: BTreeMap<EngineId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    entries: BTreeMap<u64, Occurrence>,
    last_entry: u64,
    requests: Vec<ClientRequest>,
    attempts: BTreeMap<RequestId, u32>,
    trouble: Trouble,
}

/// The fraction of the requests selected by `is` that were answered; none if it selects none.
fn answered(requests: &[ClientRequest], is: impl Fn(&ClientRequest) -> bool) -> Option<f64> {
    let (mut all, mut good) = (0, 0);
    for request in requests.iter().filter(|request| is(request)) {
        all += 1;
        good += usize::from(request.end == Answer::Answered);
    }
    (all > 0).then(|| f64::from(good as u32) / f64::from(all))
}

impl Day {
    fn new(trouble: Trouble, seed: u64) -> Day {
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
        let mut day = Day {
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
            trouble,
        };
        for me in 0..DISPATCHERS {
            let mut control = Control::new(settings(me), seed ^ u64::from(me));
            control.step(0.0, &[day.listed()], &mut Vec::new());
            day.dispatchers.push(control);
        }
        day
    }

    fn listed(&self) -> Event {
        let endpoints = self.engines.iter().map(|e| e.endpoint.clone()).collect();
        Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        }
    }

    fn at(&mut self, when: Ms, occurrence: Occurrence) {
        self.last_entry += 1;
        self.queue.push(Reverse((
            (when * 1000.0).ceil() as u64 + 1,
            self.last_entry,
        )));
        self.entries.insert(self.last_entry, occurrence);
    }

    fn chance(&mut self) -> f64 {
        self.rng.generate::<f64>().max(1e-9)
    }

    /// Draws sessions that give the prefill engines `load` of the work that they can do.
    fn draw(&mut self, load: f64) {
        // Tokens that a session needs to have computed: its first prompt, and what each further
        // turn adds.
        let mean = MEDIAN_TOKENS * (LOG_SPREAD * LOG_SPREAD / 2.0).exp()
            + f64::from(TURNS - 1) * MEDIAN_TOKENS;
        let gap = 1000.0 * mean / (load * PREFILL_TOKENS_PER_S * f64::from(PREFILL_ENGINES));
        let mut now = 0.0;
        while now < DAY_ENDS_AT - 10_000.0 {
            now += -self.chance().ln() * gap;
            // A normal draw of two uniform ones (Box and Muller).
            let (a, b) = (self.chance(), self.chance());
            let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
            let tokens = (MEDIAN_TOKENS * (LOG_SPREAD * normal).exp())
                .clamp(50.0, MAX_PROMPT_TOKENS)
                .round();
            let session = SessionId(self.rng.generate());
            let class = usize::from(self.chance() < 0.4);
            let tenant = (self.chance() * TENANTS as f64) as usize % TENANTS;
            self.at(
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

    fn play(mut self, load: f64) -> Vec<ClientRequest> {
        self.draw(load);
        self.at(TROUBLE_AT, Occurrence::Trouble);
        while let Some(Reverse((when, number))) = self.queue.pop() {
            let Some(occurrence) = self.entries.remove(&number) else {
                continue;
            };
            let now = when as f64 / 1000.0;
            match occurrence {
                _ if now > DAY_ENDS_AT => break,
                Occurrence::Arrives {
                    session,
                    turn,
                    tokens,
                    class,
                    tenant,
                } => {
                    self.arrives(now, session, turn, tokens, (class, tenant));
                }
                Occurrence::Receives { dispatcher, event } => self.receives(now, dispatcher, event),
                Occurrence::AttemptEnds { engine } if self.engines[engine].is_prefill => {
                    self.engines[engine].waiting -= 1
                }
                Occurrence::AttemptEnds { engine } => self.engines[engine].decodes -= 1,
                Occurrence::Trouble => self.begin_trouble(now),
            }
        }
        self.requests
            .retain(|request| request.at < DAY_ENDS_AT - 10_000.0);
        self.requests
    }

    /// The trouble comes, to two in five engines of each kind.
    fn begin_trouble(&mut self, now: Ms) {
        let affected: Vec<usize> = (0..self.engines.len()).filter(|at| at % 5 < 2).collect();
        for at in affected {
            let engine = &mut self.engines[at];
            match self.trouble {
                Trouble::None => {}
                Trouble::Failing => engine.behaviour = Behaviour::Fails,
                Trouble::Rejecting => engine.behaviour = Behaviour::Rejects,
                Trouble::Draining => engine.endpoint.status = EndpointStatus::Draining,
                Trouble::Gone => engine.endpoint.status = EndpointStatus::Gone,
                Trouble::Cold => {
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
            let (late, event) = (400.0 * self.chance(), self.listed());
            self.at(now + late, Occurrence::Receives { dispatcher, event });
        }
    }

    fn arrives(
        &mut self,
        now: Ms,
        session: SessionId,
        turn: u32,
        tokens: f64,
        (class, tenant): (usize, usize),
    ) {
        let request = RequestId(self.requests.len() as u32);
        let end = Answer::Open;
        self.requests.push(ClientRequest {
            class,
            tenant,
            session,
            at: now,
            tokens,
            end,
        });
        if turn < TURNS {
            let (pause, more) = (2_000.0 + 3_000.0 * self.chance(), MEDIAN_TOKENS);
            let (turn, tokens) = (turn + 1, tokens + more);
            self.at(
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
        let dispatcher = (self.chance() * f64::from(DISPATCHERS)) as usize % DISPATCHERS as usize;
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
        self.receives(now, dispatcher, Event::Arrived(arrival));
    }

    fn receives(&mut self, now: Ms, dispatcher: usize, event: Event) {
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
                    self.at(
                        now + delay,
                        Occurrence::Receives {
                            dispatcher,
                            event: Event::Timer { timer },
                        },
                    );
                }
                // A cancelled attempt waits in a queue until its time has passed: it ends there by
                // itself.
                _ => {}
            }
        }
    }

    fn finish(&mut self, request: RequestId, end: Answer) {
        let request = &mut self.requests[request.0 as usize];
        if request.end == Answer::Open {
            request.end = end;
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
        self.at(now + 2.0, Occurrence::Receives { dispatcher, event });
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
            engine.waiting >= PREFILL_QUEUE
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
            Outcome::PrefillDone => self.at(now + latency, Occurrence::AttemptEnds { engine: at }),
            Outcome::Succeeded => {
                let first = Event::FirstToken {
                    request,
                    attempt,
                    engine: engine_id.clone(),
                    latency: 20.0,
                };
                self.at(
                    now + 20.0,
                    Occurrence::Receives {
                        dispatcher,
                        event: first,
                    },
                );
                if now + 20.0 < client_request.at + TIME_TO_DEADLINE[client_request.class] {
                    self.finish(request, Answer::Answered);
                }
                self.at(now + latency, Occurrence::AttemptEnds { engine: at });
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
        self.at(
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

/// The fraction answered in a class of the tenth with the longest prompts, and of the next fifth.
fn largest(requests: &[ClientRequest], class: usize) -> (f64, f64) {
    let mut lengths: Vec<f64> = requests
        .iter()
        .filter(|r| r.class == class)
        .map(|r| r.tokens)
        .collect();
    lengths.sort_by(|a, b| b.total_cmp(a));
    let (tenth, fifth) = (lengths[lengths.len() / 10], lengths[lengths.len() * 3 / 10]);
    let of = |from: f64, to: f64| {
        answered(requests, |r| {
            r.class == class && r.tokens >= from && r.tokens < to
        })
    };
    (
        of(tenth, f64::INFINITY).expect("some"),
        of(fifth, tenth).expect("some"),
    )
}

/// The fraction of a class's sessions of which every request was rejected, beyond what chance gives
/// at the class's fraction of rejections.
fn singled_out(requests: &[ClientRequest], class: usize) -> f64 {
    let mut sessions: BTreeMap<SessionId, (i32, bool)> = BTreeMap::new();
    for request in requests.iter().filter(|r| r.class == class) {
        let session = sessions.entry(request.session).or_insert((0, true));
        session.0 += 1;
        session.1 &= request.end == Answer::Rejected;
    }
    let rejected = 1.0 - answered(requests, |r| r.class == class).expect("some");
    let expected: f64 = sessions
        .values()
        .map(|(turns, _)| rejected.powi(*turns))
        .sum();
    let seen = sessions.values().filter(|(_, all)| *all).count() as f64;
    (seen - expected) / sessions.len() as f64
}

/// Plays a day and checks the lower bounds. `whole`: the fraction of all requests answered;
/// `of_class`: the part of their class's fraction that the longest prompts get.
fn floors(trouble: Trouble, load: f64, seed: u64, whole: f64, of_class: f64) {
    let case = format!("{trouble:?}, load {load}, seed {seed}");
    let requests = Day::new(trouble, seed).play(load);
    assert!(requests.len() > 500, "{case}: {} requests", requests.len());
    let all = answered(&requests, |_| true).expect("some");
    println!("{case}: {} asked, answered {all:.3}", requests.len());
    assert!(all >= whole, "{case}: {all:.3} answered");
    for class in 0..TIME_TO_DEADLINE.len() {
        let share = answered(&requests, |r| r.class == class).expect("some");
        let (tenth, fifth) = largest(&requests, class);
        let out = singled_out(&requests, class);
        println!("  class {class}: {share:.3}, largest {tenth:.3}, next {fifth:.3}, singled out {out:.3}");
        assert!(
            share >= 0.5 * all,
            "{case}: class {class} {share:.3} of {all:.3}"
        );
        assert!(
            tenth >= of_class * share,
            "{case}: the largest tenth {tenth:.3} of {share:.3}"
        );
        assert!(
            fifth >= of_class * share,
            "{case}: the next fifth {fifth:.3} of {share:.3}"
        );
        assert!(
            out <= 0.12,
            "{case}: {out:.3} of the sessions of class {class} are singled out"
        );
    }
    for tenant in 0..TENANTS {
        let share = answered(&requests, |r| r.tenant == tenant).expect("some");
        assert!(
            share >= all / 3.0,
            "{case}: tenant {tenant} {share:.3} of {all:.3}"
        );
    }
    for third in 0..3 {
        let third = f64::from(third) * (DAY_ENDS_AT - 10_000.0) / 3.0;
        let within =
            |r: &ClientRequest| r.at >= third && r.at < third + (DAY_ENDS_AT - 10_000.0) / 3.0;
        let share = answered(&requests, within).expect("some");
        assert!(
            share >= all / 5.0,
            "{case}: {share:.3} of {all:.3} from {third}"
        );
    }
}

/// Nothing is out of order and there is room: nobody may be left out.
#[test_case(0.5; "half of what the engines can do")]
#[test_case(0.7; "seven tenths of it")]
fn nobody_is_starved_on_a_quiet_day(load: f64) {
    for seed in 1..=4 {
        floors(Trouble::None, load, seed, 0.85, 2.0 / 3.0);
    }
}

/// More comes than the engines can do. Rejecting the longest prompts alone would answer most
/// requests, and their senders none.
#[test]
fn the_largest_prompts_get_their_part_under_pressure() {
    for seed in 1..=4 {
        floors(Trouble::None, 1.3, seed, 0.4, 0.5);
    }
}

/// Two in five engines of each kind are out of order for the last two thirds of the day. Sessions
/// whose home engine is among them must be served by another while there is room. `whole`: the
/// fraction of all requests answered.
#[test_case(Trouble::Failing, 0.8; "failing")]
#[test_case(Trouble::Cold, 0.95; "cold")]
#[test_case(Trouble::Draining, 0.9; "draining")]
#[test_case(Trouble::Rejecting, 0.55; "rejecting")]
#[test_case(Trouble::Gone, 0.9; "gone")]
fn sessions_whose_home_cannot_serve_reach_another_while_there_is_room(
    trouble: Trouble,
    whole: f64,
) {
    for seed in 1..=4 {
        floors(trouble, 0.4, seed, whole, 0.5);
    }
}
