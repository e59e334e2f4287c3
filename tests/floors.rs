//! Who is served on drawn days: floors by class, tenant, third of the day, length of the prompt and session, beside
//! engines that queue, keep text, turn away, fail, drain, start cold and are replaced. Each dispatcher decides alone.
//!
//! The floors are those of the users' acceptance page, held against each class's own share: the page's own measure, a
//! policy that sees the true state, is not played here.

use cindercleat::control::Control;
use cindercleat::interface::*;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const DISPATCHERS: u32 = 12;
const PREFILL_ENGINES: u32 = 10;
const DECODE_ENGINES: u32 = 8;
const END: Ms = 60_000.0;
const TROUBLE_FROM: Ms = 20_000.0;
const SLOW_START_WINDOW: Ms = 8_000.0;
const COLD_CAPACITY: f64 = 0.35;
/// Prompt tokens that a prefill engine reads a second, and requests that may wait there.
const READ_PER_S: f64 = 20_000.0;
const READ_QUEUE: usize = 30;
const SLOTS: usize = 60;
const TOKEN_MS: f64 = 10.0;
const TIME_TO_DEADLINE: [Ms; 2] = [4_000.0, 8_000.0];
const TENANTS: usize = 3;
/// Prompts of new sessions: their median and the spread of their logarithms, as long as the platform's largest.
const MEDIAN_TOKENS: f64 = 900.0;
const SPREAD: f64 = 1.2;
const MOST_TOKENS: f64 = 24_000.0;
const TURNS: u32 = 3;

/// What happens to a part of the engines of each kind from the middle of the day on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Every attempt there fails at once.
    Sick,
    /// They were replaced, and start cold.
    Cold,
    Draining,
    /// They turn every attempt away.
    Full,
    Gone,
}

fn settings(me: u32) -> Settings {
    let class = |at: usize| RequestClassSettings {
        retry_safety: if at == 0 {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        },
        latency_objective: TIME_TO_DEADLINE[at] / 4.0,
        latency_objective_per_1000_tokens: 60.0,
        time_to_deadline: TIME_TO_DEADLINE[at],
        priority_weight: 1.0 + at as f64,
        late_value_share: 0.2,
        token_pace: 60.0,
        streams: true,
    };
    Settings {
        me: DispatcherId(me),
        dispatchers: DISPATCHERS,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![class(0), class(1)],
        tenants: (0..TENANTS)
            .map(|_| TenantSettings {
                share: 1.0,
                quota_per_second: 1e9,
            })
            .collect(),
        over_quota_weight: 0.1,
        kinds: [Role::Prefill, Role::Decode]
            .map(|role| KindSettings {
                role,
                memory_tokens: 5e5,
            })
            .to_vec(),
        discovery: Discovery::Pushed,
        kv_state_timeout: 500.0,
        decode_engines_prefill: false,
        may_reserve: false,
        may_cancel: true,
        may_hedge: false,
        may_health_check: true,
        may_gossip: false,
        clients_honor_retry_after: false,
        max_retry_after: 1000.0,
        max_attempts: 4,
        connect_timeout: 250.0,
        drain_grace: 2000.0,
        answer_grace: 16.0,
        overload_multiple: 4.0,
        overload_window: 3000.0,
        cold_capacity: COLD_CAPACITY,
        slow_start_window: SLOW_START_WINDOW,
    }
}

/// What an engine does with what comes.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Works,
    Fails,
    TurnsAway,
}

struct Engine {
    reads: bool,
    entry: Endpoint,
    does: Does,
    /// A prefill engine is busy until then; how many wait there.
    busy_until: Ms,
    waiting: usize,
    /// Streams that run.
    streams: usize,
    /// Tokens that are kept of sessions.
    kept: BTreeMap<SessionId, f64>,
}

impl Engine {
    fn is_cold(&self, now: Ms) -> bool {
        self.entry
            .started
            .is_some_and(|at| now < at + SLOW_START_WINDOW)
    }

    fn load(&self) -> Load {
        let queue = Some(self.waiting as f64);
        let in_flight = Some((self.waiting + self.streams) as f64);
        Load {
            queue,
            in_flight,
            slots_used: Some(self.streams as f64 / SLOTS as f64),
            ..Load::default()
        }
    }
}

#[derive(Clone, Copy, Default, PartialEq, Debug)]
enum Answer {
    #[default]
    Open,
    Answered,
    Refused,
}

/// A request as its client has it.
#[derive(Clone, Debug)]
struct Asked {
    class: usize,
    tenant: usize,
    session: SessionId,
    at: Ms,
    tokens: f64,
    end: Answer,
}

enum Next {
    Arrives {
        session: SessionId,
        turn: u32,
        tokens: f64,
        class: usize,
        tenant: usize,
    },
    Hears {
        dispatcher: usize,
        event: Event,
    },
    Leaves {
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
    nexts: BTreeMap<u64, Next>,
    made: u64,
    asked: Vec<Asked>,
    attempts: BTreeMap<RequestId, u32>,
    trouble: Trouble,
}

/// The share of what was asked that was answered, over those that `is` names; none if there are none.
fn answered(asked: &[Asked], is: impl Fn(&Asked) -> bool) -> Option<f64> {
    let (mut all, mut good) = (0, 0);
    for request in asked.iter().filter(|request| is(request)) {
        all += 1;
        good += usize::from(request.end == Answer::Answered);
    }
    (all > 0).then(|| f64::from(good as u32) / f64::from(all))
}

impl Day {
    fn new(trouble: Trouble, seed: u64) -> Day {
        let mut engines = Vec::new();
        for (reads, count) in [(true, PREFILL_ENGINES), (false, DECODE_ENGINES)] {
            for at in 0..count {
                let name = format!("{}{at}-{seed}", if reads { "prefill" } else { "decode" });
                engines.push(engine(reads, name, at, None));
            }
        }
        let mut day = Day {
            rng: WyRand::new_seed(seed),
            dispatchers: Vec::new(),
            index: engines
                .iter()
                .enumerate()
                .map(|(at, e)| (e.entry.engine.clone(), at))
                .collect(),
            engines,
            queue: BinaryHeap::new(),
            nexts: BTreeMap::new(),
            made: 0,
            asked: Vec::new(),
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
        let endpoints = self.engines.iter().map(|e| e.entry.clone()).collect();
        Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        }
    }

    fn at(&mut self, when: Ms, next: Next) {
        self.made += 1;
        self.queue
            .push(Reverse(((when * 1000.0).ceil() as u64 + 1, self.made)));
        self.nexts.insert(self.made, next);
    }

    fn chance(&mut self) -> f64 {
        self.rng.generate::<f64>().max(1e-9)
    }

    /// Draws sessions so that the prefill engines have so much of what they can do to do.
    fn draw(&mut self, load: f64) {
        // What a session asks to be read: its first prompt, and what each further turn adds to it.
        let mean =
            MEDIAN_TOKENS * (SPREAD * SPREAD / 2.0).exp() + f64::from(TURNS - 1) * MEDIAN_TOKENS;
        let gap = 1000.0 * mean / (load * READ_PER_S * f64::from(PREFILL_ENGINES));
        let mut now = 0.0;
        while now < END - 10_000.0 {
            now += -self.chance().ln() * gap;
            // A normal draw of two uniform ones (Box and Muller).
            let (a, b) = (self.chance(), self.chance());
            let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
            let tokens = (MEDIAN_TOKENS * (SPREAD * normal).exp())
                .clamp(50.0, MOST_TOKENS)
                .round();
            let session = SessionId(self.rng.generate());
            let class = usize::from(self.chance() < 0.4);
            let tenant = (self.chance() * TENANTS as f64) as usize % TENANTS;
            self.at(
                now,
                Next::Arrives {
                    session,
                    turn: 1,
                    tokens,
                    class,
                    tenant,
                },
            );
        }
    }

    fn play(mut self, load: f64) -> Vec<Asked> {
        self.draw(load);
        self.at(TROUBLE_FROM, Next::Trouble);
        while let Some(Reverse((when, number))) = self.queue.pop() {
            let Some(next) = self.nexts.remove(&number) else {
                continue;
            };
            let now = when as f64 / 1000.0;
            match next {
                _ if now > END => break,
                Next::Arrives {
                    session,
                    turn,
                    tokens,
                    class,
                    tenant,
                } => {
                    self.arrives(now, session, turn, tokens, (class, tenant));
                }
                Next::Hears { dispatcher, event } => self.hears(now, dispatcher, event),
                Next::Leaves { engine } if self.engines[engine].reads => {
                    self.engines[engine].waiting -= 1
                }
                Next::Leaves { engine } => self.engines[engine].streams -= 1,
                Next::Trouble => self.strike(now),
            }
        }
        self.asked.retain(|request| request.at < END - 10_000.0);
        self.asked
    }

    /// The trouble comes: to two in five of each kind.
    fn strike(&mut self, now: Ms) {
        let struck: Vec<usize> = (0..self.engines.len()).filter(|at| at % 5 < 2).collect();
        for at in struck {
            let engine = &mut self.engines[at];
            match self.trouble {
                Trouble::None => {}
                Trouble::Sick => engine.does = Does::Fails,
                Trouble::Full => engine.does = Does::TurnsAway,
                Trouble::Draining => engine.entry.status = EndpointStatus::Draining,
                Trouble::Gone => engine.entry.status = EndpointStatus::Gone,
                Trouble::Cold => {
                    engine.entry.status = EndpointStatus::Gone;
                    let name = format!("new-{}", engine.entry.engine.0);
                    let new = self::engine(engine.reads, name, at as u32, Some(now));
                    self.index
                        .insert(new.entry.engine.clone(), self.engines.len());
                    self.engines.push(new);
                }
            }
        }
        for dispatcher in 0..DISPATCHERS as usize {
            let (late, event) = (400.0 * self.chance(), self.listed());
            self.at(now + late, Next::Hears { dispatcher, event });
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
        let request = RequestId(self.asked.len() as u32);
        let end = Answer::Open;
        self.asked.push(Asked {
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
                Next::Arrives {
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
        self.hears(now, dispatcher, Event::Arrived(arrival));
    }

    fn hears(&mut self, now: Ms, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[dispatcher].step(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt {
                    request, engine, ..
                } => self.attempt(now, dispatcher, request, engine),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.ends(request, Answer::Refused)
                }
                Action::HealthCheck { engine } => self.probe(now, dispatcher, engine),
                Action::SetTimer { delay, timer } => {
                    self.at(
                        now + delay,
                        Next::Hears {
                            dispatcher,
                            event: Event::Timer { timer },
                        },
                    );
                }
                // What is called off was in a queue whose time has passed: it ends there by itself.
                _ => {}
            }
        }
    }

    fn ends(&mut self, request: RequestId, end: Answer) {
        let request = &mut self.asked[request.0 as usize];
        if request.end == Answer::Open {
            request.end = end;
        }
    }

    fn probe(&mut self, now: Ms, dispatcher: usize, engine: EngineId) {
        let load = self.engines[self.index[&engine]].load();
        let event = Event::HealthChecked {
            engine,
            outcome: Outcome::Succeeded,
            latency: 2.0,
            load,
        };
        self.at(now + 2.0, Next::Hears { dispatcher, event });
    }

    fn attempt(&mut self, now: Ms, dispatcher: usize, request: RequestId, engine_id: EngineId) {
        let count = self.attempts.entry(request).or_insert(0);
        let attempt = AttemptId(*count);
        *count += 1;
        let (at, asked) = (
            self.index[&engine_id],
            self.asked[request.0 as usize].clone(),
        );
        let engine = &mut self.engines[at];
        let cold = engine.is_cold(now);
        let full = if engine.reads {
            engine.waiting >= READ_QUEUE
        } else {
            engine.streams >= SLOTS
        };
        let (outcome, took, detail) = match engine.does {
            Does::Fails => (Outcome::Failed, 5.0, 0.0),
            Does::TurnsAway => (Outcome::Overloaded, 2.0, 0.0),
            Does::Works if full => (Outcome::Overloaded, 2.0, 0.0),
            Does::Works if engine.reads => {
                let kept = engine
                    .kept
                    .insert(asked.session, asked.tokens)
                    .unwrap_or(0.0);
                let speed = if cold { COLD_CAPACITY } else { 1.0 } * READ_PER_S / 1000.0;
                engine.busy_until =
                    engine.busy_until.max(now) + (asked.tokens - kept).max(1.0) / speed;
                engine.waiting += 1;
                (Outcome::PrefillDone, engine.busy_until - now, kept)
            }
            Does::Works => {
                engine.streams += 1;
                (Outcome::Succeeded, 20.0 + 100.0 * TOKEN_MS, 0.0)
            }
        };
        let (load, reads) = (engine.load(), engine.reads);
        match outcome {
            Outcome::PrefillDone => self.at(now + took, Next::Leaves { engine: at }),
            Outcome::Succeeded => {
                let first = Event::FirstToken {
                    request,
                    attempt,
                    engine: engine_id.clone(),
                    latency: 20.0,
                };
                self.at(
                    now + 20.0,
                    Next::Hears {
                        dispatcher,
                        event: first,
                    },
                );
                if now + 20.0 < asked.at + TIME_TO_DEADLINE[asked.class] {
                    self.ends(request, Answer::Answered);
                }
                self.at(now + took, Next::Leaves { engine: at });
            }
            _ => {}
        }
        let last = outcome == Outcome::Succeeded && !reads;
        let ended = Ended {
            request,
            attempt,
            engine: engine_id,
            outcome,
            latency: took,
            last,
            detail,
            load,
        };
        self.at(
            now + took,
            Next::Hears {
                dispatcher,
                event: Event::Ended(ended),
            },
        );
    }
}

fn engine(reads: bool, name: String, at: u32, started: Option<Ms>) -> Engine {
    let entry = Endpoint {
        engine: EngineId(name.into()),
        zone: ZoneId(0),
        kind: KindId(u32::from(!reads)),
        cell: CellId(at % 2),
        status: EndpointStatus::Ready,
        weight: 1.0,
        started,
    };
    let (does, kept) = (Does::Works, BTreeMap::new());
    Engine {
        reads,
        entry,
        does,
        busy_until: 0.0,
        waiting: 0,
        streams: 0,
        kept,
    }
}

/// The share of a class by length: of the tenth with the longest prompts, and of the next fifth.
fn largest(asked: &[Asked], class: usize) -> (f64, f64) {
    let mut lengths: Vec<f64> = asked
        .iter()
        .filter(|r| r.class == class)
        .map(|r| r.tokens)
        .collect();
    lengths.sort_by(|a, b| b.total_cmp(a));
    let (tenth, fifth) = (lengths[lengths.len() / 10], lengths[lengths.len() * 3 / 10]);
    let of = |from: f64, to: f64| {
        answered(asked, |r| {
            r.class == class && r.tokens >= from && r.tokens < to
        })
    };
    (
        of(tenth, f64::INFINITY).expect("some"),
        of(fifth, tenth).expect("some"),
    )
}

/// Sessions of a class of which every turn was refused, beyond what chance gives at the class's share of refusals.
fn singled_out(asked: &[Asked], class: usize) -> f64 {
    let mut sessions: BTreeMap<SessionId, (i32, bool)> = BTreeMap::new();
    for request in asked.iter().filter(|r| r.class == class) {
        let session = sessions.entry(request.session).or_insert((0, true));
        session.0 += 1;
        session.1 &= request.end == Answer::Refused;
    }
    let refused = 1.0 - answered(asked, |r| r.class == class).expect("some");
    let expected: f64 = sessions
        .values()
        .map(|(turns, _)| refused.powi(*turns))
        .sum();
    let seen = sessions.values().filter(|(_, all)| *all).count() as f64;
    (seen - expected) / sessions.len() as f64
}

/// Plays a day and holds the floors. `of_class`: the part of its class's share that the largest prompts get.
fn floors(trouble: Trouble, load: f64, seed: u64, whole: f64, of_class: f64) {
    let case = format!("{trouble:?}, load {load}, seed {seed}");
    let asked = Day::new(trouble, seed).play(load);
    assert!(asked.len() > 500, "{case}: {} requests", asked.len());
    let all = answered(&asked, |_| true).expect("some");
    println!("{case}: {} asked, answered {all:.3}", asked.len());
    assert!(all >= whole, "{case}: {all:.3} answered");
    for class in 0..TIME_TO_DEADLINE.len() {
        let share = answered(&asked, |r| r.class == class).expect("some");
        let (tenth, fifth) = largest(&asked, class);
        let out = singled_out(&asked, class);
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
        let share = answered(&asked, |r| r.tenant == tenant).expect("some");
        assert!(
            share >= all / 3.0,
            "{case}: tenant {tenant} {share:.3} of {all:.3}"
        );
    }
    for third in 0..3 {
        let third = f64::from(third) * (END - 10_000.0) / 3.0;
        let within = |r: &Asked| r.at >= third && r.at < third + (END - 10_000.0) / 3.0;
        let share = answered(&asked, within).expect("some");
        assert!(
            share >= all / 5.0,
            "{case}: {share:.3} of {all:.3} from {third}"
        );
    }
}

#[test_case(0.5; "half of what the engines can do")]
#[test_case(0.7; "seven tenths of it")]
fn nobody_is_starved_on_a_quiet_day(load: f64) {
    for seed in 1..=4 {
        floors(Trouble::None, load, seed, 0.85, 2.0 / 3.0);
    }
}

#[test]
fn the_largest_prompts_get_their_part_under_pressure() {
    for seed in 1..=4 {
        floors(Trouble::None, 1.3, seed, 0.4, 0.5);
    }
}

/// `whole`: what of all is answered while two in five engines of each kind are struck for the last two thirds of the day.
#[test_case(Trouble::Sick, 0.8; "sick")]
#[test_case(Trouble::Cold, 0.95; "cold")]
#[test_case(Trouble::Draining, 0.9; "draining")]
#[test_case(Trouble::Full, 0.55; "full")]
#[test_case(Trouble::Gone, 0.9; "gone")]
fn sessions_whose_home_cannot_serve_reach_another_while_there_is_room(
    trouble: Trouble,
    whole: f64,
) {
    for seed in 1..=4 {
        floors(trouble, 0.4, seed, whole, 0.5);
    }
}
