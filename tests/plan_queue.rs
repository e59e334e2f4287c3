//! Compares a step that plans only the requests that may have changed with a step that plans every
//! request. Two instances get the same random events, and one of them plans all requests at each
//! step. They must return the same actions in the same order. If the plan queue lost a request,
//! that request would wait until its client gives up, and the actions would differ.

mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

fn settings() -> Settings {
    let request_class = |retry_safety, time_to_deadline| RequestClassSettings {
        latency_objective: 800.0,
        time_to_deadline,
        token_pace: 60.0,
        ..common::request_class(retry_safety)
    };
    let zone_key = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::Zone,
        window: 900.0,
    };
    let tenant = TenantSettings {
        quota_per_second: 3.0,
        share: 0.5,
    };
    Settings {
        request_classes: vec![
            request_class(RetrySafety::Idempotent, 4000.0),
            request_class(zone_key, 3000.0),
            request_class(RetrySafety::AtMostOnce, 2500.0),
        ],
        tenants: vec![tenant; 2],
        kinds: common::kinds(&[Role::Prefill, Role::Decode, Role::Both], 2e5),
        clients_honor_retry_after: true,
        max_retry_after: 2000.0,
        drain_grace: 500.0,
        overload_window: 1000.0,
        slow_start_window: 5000.0,
        ..common::settings(0, 2)
    }
}

fn engine(i: u32) -> EngineId {
    EngineId(Arc::from(format!("host-{i}")))
}

const ENGINES: u32 = 7;

fn endpoint(i: u32, status: EndpointStatus, started: Option<Ms>) -> Endpoint {
    // Three prefill engines, three decode engines and one that serves both stages, in two zones of
    // two cells.
    let kind = if i == 6 { 2 } else { i % 2 };
    Endpoint {
        status,
        started,
        ..common::endpoint(&engine(i).0, kind, i / 2 % 2, i / 2 % 4)
    }
}

/// Random numbers that determine an event: its kind, the request or engine that it concerns, and
/// the time since the last event.
type Draw = (u8, u16, u16);

/// An attempt in flight at a simulated engine.
#[derive(Clone)]
struct InFlight {
    request: RequestId,
    attempt: AttemptId,
    engine: EngineId,
    /// Whether the first token was sent.
    decoding: bool,
    sent_at: Ms,
}

#[derive(Default)]
struct SimulatedEngines {
    now: Ms,
    requests: u32,
    /// Number of attempts of each request so far.
    attempts: Vec<u32>,
    in_flight: Vec<InFlight>,
    timers: Vec<(Ms, TimerId)>,
    health_checks: Vec<EngineId>,
}

impl SimulatedEngines {
    fn events_for(&mut self, (kind_of_event, which, after): Draw) -> Vec<Event> {
        self.now += f64::from(after % 512) * [0.25, 0.25, 1.0, 1.0][usize::from(after >> 9) % 4];
        let mut events = Vec::new();
        let now = self.now;
        self.timers.retain(|&(at, timer)| {
            if at <= now {
                events.push(Event::Timer { timer });
            }
            at > now
        });
        let index_below = |n: usize| usize::from(which) % n.max(1);
        match kind_of_event % 16 {
            0..=5 => {
                self.requests += 1;
                self.attempts.push(0);
                events.push(Event::Arrived(Arrival {
                    request: RequestId(self.requests - 1),
                    request_class: RequestClassId(u32::from(which) % 3),
                    tenant: (which % 5 < 2).then_some(TenantId(u32::from(which) % 2)),
                    session: SessionId(u64::from(which % 11)),
                    time_to_deadline: 300.0 + f64::from(which % 3000),
                    shared_prefix: (which % 4 > 0).then_some(SharedPrefixId(u64::from(which % 4))),
                    prompt_tokens: f64::from(100 + which % 3000),
                    shared_tokens: 90.0,
                    max_tokens: 200.0,
                    ..Arrival::default()
                }));
            }
            6 => events.push(Event::ClientGone {
                request: RequestId(index_below(self.requests as usize) as u32),
            }),
            7 => {
                let status = [
                    EndpointStatus::Ready,
                    EndpointStatus::Draining,
                    EndpointStatus::Gone,
                ][usize::from(which >> 4) % 3];
                let started = (which >> 7) % 4 == 0;
                let endpoint_now = endpoint(
                    u32::from(which) % ENGINES,
                    status,
                    started.then_some(self.now),
                );
                events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Delta,
                    endpoints: vec![endpoint_now],
                });
            }
            8 => {
                if !self.health_checks.is_empty() {
                    let engine = self
                        .health_checks
                        .remove(index_below(self.health_checks.len()));
                    let load = Load {
                        memory_held: Some(f64::from(which % 100) / 100.0),
                        waiting_kilotokens: Some(f64::from(which % 37)),
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
                request: RequestId(u32::from(which)),
                attempt: AttemptId(0),
                engine: engine(0),
                latency: 1.0,
            }),
            _ if self.in_flight.is_empty() => {}
            kind => {
                let at = index_below(self.in_flight.len());
                let InFlight {
                    request,
                    attempt,
                    engine,
                    decoding,
                    sent_at,
                } = self.in_flight[at].clone();
                let latency = self.now - sent_at;
                let prefill_engine = ["host-0", "host-2", "host-4"].contains(&&*engine.0);
                if !prefill_engine && !decoding && kind < 13 {
                    self.in_flight[at].decoding = true;
                    events.push(Event::FirstToken {
                        request,
                        attempt,
                        engine,
                        latency,
                    });
                } else {
                    self.in_flight.remove(at);
                    let outcome = match (which >> 5) % 12 {
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
                        || decoding && outcome == Outcome::ConnectionLost;
                    let detail =
                        f64::from(u8::from(outcome == Outcome::Overloaded && which % 3 == 0));
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
                    let in_flight = InFlight {
                        request: *request,
                        attempt,
                        engine: engine.clone(),
                        decoding: false,
                        sent_at: self.now,
                    };
                    self.in_flight.push(in_flight);
                }
                Action::SetTimer { delay, timer } => self.timers.push((self.now + delay, *timer)),
                Action::HealthCheck { engine } => self.health_checks.push(engine.clone()),
                _ => {}
            }
        }
    }
}

/// Passes the events to both instances and compares their actions. Returns the number of actions.
fn compare_actions(draws: &[Draw], seed: u64) -> Result<usize, TestCaseError> {
    let [mut plans_changed, mut plans_all] = [(); 2].map(|()| Control::new(settings(), seed));
    let mut simulated_engines = SimulatedEngines::default();
    let endpoints = (0..ENGINES)
        .map(|i| endpoint(i, EndpointStatus::Ready, None))
        .collect();
    let mut events = vec![Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Cached,
        endpoints,
    }];
    let mut action_count = 0;
    for (draw_index, draw) in draws.iter().enumerate() {
        events.extend(simulated_engines.events_for(*draw));
        let [mut actions, mut expected_actions] = [Vec::new(), Vec::new()];
        plans_changed.step(simulated_engines.now, &events, &mut actions);
        plans_all.schedule_all();
        plans_all.step(simulated_engines.now, &events, &mut expected_actions);
        prop_assert_eq!(
            &actions,
            &expected_actions,
            "the actions differ after {} earlier steps",
            draw_index
        );
        simulated_engines.carry_out(&actions);
        action_count += actions.len();
        events.clear();
    }
    Ok(action_count)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn planning_only_changed_requests_returns_the_same_actions_as_planning_all(
        draws in prop::collection::vec(any::<Draw>(), 1..400),
        seed in any::<u64>(),
    ) {
        compare_actions(&draws, seed)?;
    }
}

/// Guards against a comparison that passes because nothing happens: a long sequence of random
/// events must lead to thousands of actions.
#[test]
fn a_long_sequence_of_random_events_leads_to_many_actions() {
    let draws: Vec<Draw> = (0..20_000u32)
        .map(|i| {
            (
                ((i * 7919) >> 3) as u8,
                ((i * 40503) >> 4) as u16,
                (i * 31 % 97) as u16,
            )
        })
        .collect();
    let action_count = compare_actions(&draws, 7).unwrap_or_else(|e| panic!("{e}"));
    assert!(action_count > 10_000, "only {action_count} actions");
}
