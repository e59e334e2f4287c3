//! The lean step against the plain one: random events go to two modules, one of which is told before each
//! step to plan every request. Their actions must be the same, in number, order and content.

use cindercleat::control::Control;
use cindercleat::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

fn settings() -> Settings {
    let request_class = |retry_safety, time_to_deadline| RequestClassSettings {
        retry_safety,
        latency_objective: 800.0,
        latency_objective_per_1000_tokens: 40.0,
        time_to_deadline,
        priority_weight: 1.0,
        late_value_share: 0.2,
        token_pace: 60.0,
        streams: true,
    };
    Settings {
        me: DispatcherId(0),
        dispatchers: 2,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![
            request_class(RetrySafety::Idempotent, 4000.0),
            request_class(
                RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::Zone,
                    window: 900.0,
                },
                3000.0,
            ),
            request_class(RetrySafety::AtMostOnce, 2500.0),
        ],
        tenants: vec![
            TenantSettings {
                quota_per_second: 3.0,
                share: 0.5
            };
            2
        ],
        over_quota_weight: 0.1,
        kinds: [Role::Prefill, Role::Decode, Role::Both]
            .map(|role| KindSettings {
                role,
                memory_tokens: 2e5,
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
        clients_honor_retry_after: true,
        max_retry_after: 2000.0,
        max_attempts: 4,
        connect_timeout: 250.0,
        drain_grace: 500.0,
        answer_grace: 16.0,
        overload_multiple: 4.0,
        overload_window: 1000.0,
        cold_capacity: 0.3,
        slow_start_window: 5000.0,
    }
}

fn engine(i: u32) -> EngineId {
    EngineId(Arc::from(format!("host-{i}")))
}

const ENGINES: u32 = 7;

fn entry(i: u32, status: EndpointStatus, started: Option<Ms>) -> Endpoint {
    // Three prefill engines, three decode engines and one that does both, in two zones of two cells.
    let kind = KindId(if i == 6 { 2 } else { i % 2 });
    let (zone, cell) = (ZoneId(i / 2 % 2), CellId(i / 2 % 4));
    Endpoint {
        engine: engine(i),
        zone,
        kind,
        cell,
        status,
        weight: 1.0,
        started,
    }
}

/// One thing that happens: what, to whom, and how long after the last.
type Draw = (u8, u16, u16);

/// An attempt that is out.
#[derive(Clone)]
struct Out {
    request: RequestId,
    attempt: AttemptId,
    engine: EngineId,
    first: bool,
    sent: Ms,
}

#[derive(Default)]
struct World {
    now: Ms,
    requests: u32,
    attempts: Vec<u32>,
    out: Vec<Out>,
    timers: Vec<(Ms, TimerId)>,
    probes: Vec<EngineId>,
}

impl World {
    fn draw(&mut self, (what, whom, after): Draw) -> Vec<Event> {
        self.now += f64::from(after % 512) * [0.25, 0.25, 1.0, 1.0][usize::from(after >> 9) % 4];
        let mut events = Vec::new();
        let now = self.now;
        self.timers.retain(|&(at, timer)| {
            if at <= now {
                events.push(Event::Timer { timer });
            }
            at > now
        });
        let pick = |n: usize| usize::from(whom) % n.max(1);
        match what % 16 {
            0..=5 => {
                self.requests += 1;
                self.attempts.push(0);
                events.push(Event::Arrived(Arrival {
                    request: RequestId(self.requests - 1),
                    request_class: RequestClassId(u32::from(whom) % 3),
                    tenant: (whom % 5 < 2).then_some(TenantId(u32::from(whom) % 2)),
                    session: SessionId(u64::from(whom % 11)),
                    time_to_deadline: 300.0 + f64::from(whom % 3000),
                    shared: (whom % 4 > 0).then_some(SharedTextId(u64::from(whom % 4))),
                    prompt_tokens: f64::from(100 + whom % 3000),
                    shared_tokens: 90.0,
                    max_tokens: 200.0,
                    ..Arrival::default()
                }));
            }
            6 => events.push(Event::ClientGone {
                request: RequestId(pick(self.requests as usize) as u32),
            }),
            7 => {
                let status = [
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Gone,
                ][usize::from(whom >> 4) % 3];
                let started = (whom >> 7) % 4 == 0;
                let line = entry(
                    u32::from(whom) % ENGINES,
                    status,
                    started.then_some(self.now),
                );
                events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Delta,
                    endpoints: vec![line],
                });
            }
            8 => {
                if !self.probes.is_empty() {
                    let engine = self.probes.remove(pick(self.probes.len()));
                    let load = Load {
                        memory_held: Some(f64::from(whom % 100) / 100.0),
                        waiting_kilotokens: Some(f64::from(whom % 37)),
                        ..Load::default()
                    };
                    events.push(Event::HealthChecked {
                        engine,
                        outcome: Outcome::Succeeded,
                        latency: 1.0,
                        load,
                    });
                }
            }
            9 => events.push(Event::FirstToken {
                request: RequestId(u32::from(whom)),
                attempt: AttemptId(0),
                engine: engine(0),
                latency: 1.0,
            }),
            _ if self.out.is_empty() => {}
            kind => {
                let at = pick(self.out.len());
                let Out {
                    request,
                    attempt,
                    engine,
                    first,
                    sent,
                } = self.out[at].clone();
                let latency = self.now - sent;
                let prefill_engine = ["host-0", "host-2", "host-4"].contains(&&*engine.0);
                if !prefill_engine && !first && kind < 13 {
                    self.out[at].first = true;
                    events.push(Event::FirstToken {
                        request,
                        attempt,
                        engine,
                        latency,
                    });
                } else {
                    self.out.remove(at);
                    let outcome = match (whom >> 5) % 12 {
                        0 => Outcome::Overloaded,
                        1 => Outcome::ConnectionLost,
                        2 => Outcome::Failed,
                        3 => Outcome::Unreachable,
                        4 => Outcome::TimedOut,
                        5 => Outcome::Cancelled,
                        _ if prefill_engine => Outcome::PrefillDone,
                        _ => Outcome::Succeeded,
                    };
                    let last = outcome == Outcome::Succeeded
                        || first && outcome == Outcome::ConnectionLost;
                    let detail =
                        f64::from(u8::from(outcome == Outcome::Overloaded && whom % 3 == 0));
                    let load = Load::default();
                    let end = Ended {
                        request,
                        attempt,
                        engine,
                        outcome,
                        latency,
                        last,
                        detail,
                        load,
                    };
                    events.push(Event::Ended(end));
                }
            }
        }
        events
    }

    fn carry_out(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt {
                    request, engine, ..
                } => {
                    let attempt = AttemptId(self.attempts[request.0 as usize]);
                    self.attempts[request.0 as usize] += 1;
                    let out = Out {
                        request: *request,
                        attempt,
                        engine: engine.clone(),
                        first: false,
                        sent: self.now,
                    };
                    self.out.push(out);
                }
                Action::SetTimer { delay, timer } => self.timers.push((self.now + delay, *timer)),
                Action::HealthCheck { engine } => self.probes.push(engine.clone()),
                _ => {}
            }
        }
    }
}

fn play(draws: &[Draw], seed: u64) -> Result<usize, TestCaseError> {
    let [mut lean, mut plain] = [(); 2].map(|()| Control::new(settings(), seed));
    let mut world = World::default();
    let endpoints = (0..ENGINES)
        .map(|i| entry(i, EndpointStatus::Ready, None))
        .collect();
    let mut events = vec![Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Cached,
        endpoints,
    }];
    let mut acted = 0;
    for (at, draw) in draws.iter().enumerate() {
        events.extend(world.draw(*draw));
        let [mut a, mut b] = [Vec::new(), Vec::new()];
        lean.step(world.now, &events, &mut a);
        plain.wake_all();
        plain.step(world.now, &events, &mut b);
        prop_assert_eq!(&a, &b, "after {} draws", at);
        world.carry_out(&a);
        acted += a.len();
        events.clear();
    }
    Ok(acted)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_lean_step_acts_as_the_plain_one(
        draws in prop::collection::vec(any::<Draw>(), 1..400),
        seed in any::<u64>(),
    ) {
        play(&draws, seed)?;
    }
}

/// The property above compares something: a long row of draws leads to thousands of actions.
#[test]
fn long_rows_of_draws_act_a_great_deal() {
    let draws: Vec<Draw> = (0..20_000u32)
        .map(|i| {
            (
                ((i * 7919) >> 3) as u8,
                ((i * 40503) >> 4) as u16,
                (i * 31 % 97) as u16,
            )
        })
        .collect();
    let acted = play(&draws, 7).unwrap_or_else(|e| panic!("{e}"));
    assert!(acted > 10_000, "{acted} actions");
}
