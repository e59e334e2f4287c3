//! Tests that all dispatchers together do not send too many attempts to a cold engine.
//!
//! A cold engine collapses if the attempts within the overload window exceed a multiple of its
//! small capacity. Each dispatcher decides alone, so each may send few attempts while their sum is
//! too large. Here 3 to 300 dispatchers with uneven traffic and popular shared prefixes run while
//! at least half of the prefill engines are replaced. Each dispatcher gets the new list at a
//! different time, and some dispatchers restart and lose the record of what they sent. The tests
//! compare the attempts of all dispatchers at each cold prefill engine, in every overload window,
//! with the number that the settings allow.

mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const PREFILL_ENGINES: u32 = 12;
const DECODE_ENGINES: u32 = 8;
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW: Ms = 3000.0;
const COLD_CAPACITY: f64 = 0.32;
/// Prefill load before the replacement, as a fraction of the capacity of all warm prefill engines.
const LOAD_FRACTION: f64 = 0.7;
const SLOW_START_WINDOW: Ms = 14_000.0;
/// When prefill engines are replaced by new, cold ones, in milliseconds.
const REPLACED_AT: Ms = 20_000.0;
/// When the simulation ends, in milliseconds.
const SIMULATION_ENDS_AT: Ms = 34_000.0;

fn settings(dispatcher_id: u32, dispatchers: u32) -> Settings {
    Settings {
        kinds: common::kinds(&[Role::Prefill, Role::Decode], 500_000.0),
        drain_grace: 2000.0,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window: OVERLOAD_WINDOW,
        cold_capacity: COLD_CAPACITY,
        slow_start_window: SLOW_START_WINDOW,
        ..common::settings(dispatcher_id, dispatchers)
    }
}

fn endpoint(
    name: String,
    kind: u32,
    index: u32,
    status: EndpointStatus,
    started: Option<Ms>,
) -> Endpoint {
    Endpoint {
        status,
        started,
        ..common::endpoint(&name, kind, index % 3, index % 3)
    }
}

/// All endpoints after the first `replaced` prefill engines were replaced by new ones; decode
/// engines are never replaced.
fn endpoints_after(replaced: u32) -> Vec<Endpoint> {
    let ready = EndpointStatus::Ready;
    let old = (0..PREFILL_ENGINES).map(|index| {
        let gone = index < replaced;
        endpoint(
            format!("r{index}"),
            0,
            index,
            if gone { EndpointStatus::Gone } else { ready },
            None,
        )
    });
    let new = (0..replaced).map(|index| {
        endpoint(
            format!("new-r{index}"),
            0,
            index,
            ready,
            Some(REPLACED_AT + f64::from(index)),
        )
    });
    let decode_engines =
        (0..DECODE_ENGINES).map(|index| endpoint(format!("w{index}"), 1, index, ready, None));
    old.chain(new).chain(decode_engines).collect()
}

/// An occurrence that the simulation has scheduled for one dispatcher.
enum Scheduled {
    RequestArrives,
    DispatcherReceives(Event),
    DispatcherRestarts,
}

struct Simulation {
    rng: WyRand,
    dispatcher_count: u32,
    dispatchers: Vec<Control>,
    /// How often each dispatcher has restarted. Events for an earlier process are dropped.
    incarnations: Vec<u32>,
    /// When each scheduled occurrence is due, in microseconds, and its number; the earliest is next.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled occurrences by their numbers, each with its dispatcher and the dispatcher's
    /// incarnation at the time of scheduling.
    scheduled: BTreeMap<u64, (usize, u32, Scheduled)>,
    last_number: u64,
    /// Number of attempts so far, by dispatcher, its incarnation and request.
    attempts: BTreeMap<(usize, u32, RequestId), u32>,
    /// The instants at which any dispatcher sent an attempt to each new prefill engine while the
    /// engine was cold.
    attempts_while_cold: BTreeMap<EngineId, Vec<Ms>>,
    /// How long a warm prefill engine takes for one prompt, in milliseconds. The engine works on one
    /// prompt after another.
    prefill_ms: Ms,
    /// When each prefill engine will have computed all prompts that it has received so far.
    busy_until: BTreeMap<EngineId, Ms>,
    decodes: u32,
    arrivals: u32,
}

impl Simulation {
    fn schedule(&mut self, when: Ms, dispatcher: usize, next: Scheduled) {
        self.last_number += 1;
        self.queue.push(Reverse((
            (when * 1000.0).ceil() as u64 + 1,
            self.last_number,
        )));
        self.scheduled.insert(
            self.last_number,
            (dispatcher, self.incarnations[dispatcher], next),
        );
    }

    fn start(&mut self, dispatcher: usize, endpoints: Vec<Endpoint>) -> Control {
        let seed = self.rng.generate();
        let mut control = Control::new(settings(dispatcher as u32, self.dispatcher_count), seed);
        control.step(
            0.0,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            }],
            &mut Vec::new(),
        );
        control
    }

    fn deliver(&mut self, now: Ms, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[dispatcher].step(now, &[event], &mut actions);
        for action in actions {
            self.carry_out(now, dispatcher, action);
        }
    }

    fn carry_out(&mut self, now: Ms, dispatcher: usize, action: Action) {
        let load = Load::default();
        match action {
            Action::StartAttempt {
                request, engine, ..
            } => {
                let attempt_count = self
                    .attempts
                    .entry((dispatcher, self.incarnations[dispatcher], request))
                    .or_insert(0);
                let attempt = AttemptId(*attempt_count);
                *attempt_count += 1;
                if engine.0.starts_with("new-") && now < REPLACED_AT + SLOW_START_WINDOW {
                    self.attempts_while_cold
                        .entry(engine.clone())
                        .or_default()
                        .push(now);
                }
                let is_prefill = !engine.0.starts_with('w');
                let (outcome, latency) = if is_prefill {
                    let cold =
                        engine.0.starts_with("new-") && now < REPLACED_AT + SLOW_START_WINDOW;
                    let prefill_ms = if cold {
                        self.prefill_ms / COLD_CAPACITY
                    } else {
                        self.prefill_ms
                    };
                    let busy_until = self.busy_until.entry(engine.clone()).or_insert(now);
                    *busy_until = busy_until.max(now) + prefill_ms;
                    (Outcome::PrefillDone, *busy_until - now)
                } else {
                    self.decodes += 1;
                    let first = Event::FirstToken {
                        request,
                        attempt,
                        engine: engine.clone(),
                        latency: 20.0,
                    };
                    self.schedule(now + 20.0, dispatcher, Scheduled::DispatcherReceives(first));
                    (Outcome::Succeeded, 300.0)
                };
                let (latency, last, detail) = (latency, !is_prefill, 0.0);
                let ended = Ended {
                    request,
                    attempt,
                    engine,
                    outcome,
                    latency,
                    last,
                    detail,
                    load,
                };
                self.schedule(
                    now + latency,
                    dispatcher,
                    Scheduled::DispatcherReceives(Event::Ended(ended)),
                );
            }
            Action::HealthCheck { engine } => {
                let checked = Event::HealthChecked {
                    engine,
                    outcome: Outcome::Succeeded,
                    latency: 1.0,
                    load,
                };
                self.schedule(
                    now + 1.0,
                    dispatcher,
                    Scheduled::DispatcherReceives(checked),
                );
            }
            Action::SetTimer { delay, timer } => self.schedule(
                now + delay,
                dispatcher,
                Scheduled::DispatcherReceives(Event::Timer { timer }),
            ),
            _ => {}
        }
    }

    fn arrival(&mut self) -> Event {
        self.arrivals += 1;
        // Shared prefixes differ in popularity: most prompts start with one of the first few.
        let draw: f64 = self.rng.generate();
        let prefix = (60.0_f64.powf(draw)) as u64;
        Event::Arrived(Arrival {
            request: RequestId(self.arrivals),
            session: SessionId(self.rng.generate()),
            time_to_deadline: 4000.0,
            shared_prefix: Some(SharedPrefixId(prefix)),
            prompt_tokens: 3000.0,
            shared_tokens: 2000.0,
            max_tokens: 400.0,
            ..Arrival::default()
        })
    }
}

/// Runs a simulation. Returns when attempts were sent to each new prefill engine while it was cold,
/// and the fraction of the requests that reached a decode engine. `rate`: requests per second per
/// prefill engine before the replacement. `replaced`: the number of prefill engines that are
/// replaced. `surge`: factor by which the traffic increases during the first two overload windows
/// after the replacement.
fn simulate(
    dispatcher_count: u32,
    rate: f64,
    replaced: u32,
    surge: f64,
    seed: u64,
) -> (BTreeMap<EngineId, Vec<Ms>>, f64) {
    let mut simulation = Simulation {
        rng: WyRand::new_seed(seed),
        dispatcher_count,
        dispatchers: Vec::new(),
        incarnations: vec![0; dispatcher_count as usize],
        queue: BinaryHeap::new(),
        scheduled: BTreeMap::new(),
        last_number: 0,
        attempts: BTreeMap::new(),
        attempts_while_cold: BTreeMap::new(),
        prefill_ms: LOAD_FRACTION * 1000.0 / rate,
        busy_until: BTreeMap::new(),
        decodes: 0,
        arrivals: 0,
    };
    let mut weights = Vec::new();
    for dispatcher in 0..dispatcher_count as usize {
        let control = simulation.start(dispatcher, endpoints_after(0));
        simulation.dispatchers.push(control);
        // The weights differ so much that some dispatchers get several times the mean traffic.
        let weight: f64 = simulation.rng.generate();
        weights.push(-weight.max(1e-9).ln() + 0.2);
        let delay: f64 = simulation.rng.generate();
        let update = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints: endpoints_after(replaced),
        };
        simulation.schedule(
            REPLACED_AT + 100.0 + 400.0 * delay,
            dispatcher,
            Scheduled::DispatcherReceives(update),
        );
        if dispatcher % 3 == 1 {
            let when: f64 = simulation.rng.generate();
            simulation.schedule(
                REPLACED_AT + 2000.0 + 4000.0 * when,
                dispatcher,
                Scheduled::DispatcherRestarts,
            );
        }
    }
    let sum: f64 = weights.iter().sum();
    for (dispatcher, weight) in weights.iter().enumerate() {
        let mut now = 0.0;
        loop {
            let gap: f64 = simulation.rng.generate();
            let surge = if (REPLACED_AT..REPLACED_AT + 2.0 * OVERLOAD_WINDOW).contains(&now) {
                surge
            } else {
                1.0
            };
            now += -gap.max(1e-9).ln() * 1000.0
                / (surge * rate * f64::from(PREFILL_ENGINES) * weight / sum);
            if now > SIMULATION_ENDS_AT {
                break;
            }
            simulation.schedule(now, dispatcher, Scheduled::RequestArrives);
        }
    }
    while let Some(Reverse((when, number))) = simulation.queue.pop() {
        let Some((dispatcher, incarnation, next)) = simulation.scheduled.remove(&number) else {
            continue;
        };
        let now = when as f64 / 1000.0;
        if now > SIMULATION_ENDS_AT {
            break;
        }
        match next {
            Scheduled::RequestArrives => {
                let arrival = simulation.arrival();
                simulation.deliver(now, dispatcher, arrival);
            }
            Scheduled::DispatcherReceives(event)
                if incarnation == simulation.incarnations[dispatcher]
                    || matches!(event, Event::EndpointsUpdated { .. }) =>
            {
                simulation.deliver(now, dispatcher, event);
            }
            Scheduled::DispatcherReceives(_) => {}
            Scheduled::DispatcherRestarts => {
                simulation.incarnations[dispatcher] += 1;
                simulation.dispatchers[dispatcher] =
                    simulation.start(dispatcher, endpoints_after(replaced));
            }
        }
    }
    let served = f64::from(simulation.decodes) / f64::from(simulation.arrivals);
    (simulation.attempts_while_cold, served)
}

/// The largest number of attempts that any one engine got within any overload window.
fn max_attempts_per_window(attempts_while_cold: &BTreeMap<EngineId, Vec<Ms>>) -> usize {
    let within = |sent: &Vec<Ms>, from: Ms| {
        sent.iter()
            .filter(|&&at| at >= from && at < from + OVERLOAD_WINDOW)
            .count()
    };
    attempts_while_cold
        .values()
        .flat_map(|sent| sent.iter().map(|&from| within(sent, from)))
        .max()
        .unwrap_or(0)
}

/// The number of attempts that a cold engine may get within an overload window: the capacity of a
/// warm engine in that window, times the cold capacity and the overload multiple.
fn budget(rate: f64) -> f64 {
    OVERLOAD_MULTIPLE * COLD_CAPACITY * rate / LOAD_FRACTION * OVERLOAD_WINDOW / 1000.0
}

/// Prefill engines are replaced, with and without a surge of traffic. No new engine may get so many
/// attempts that it collapses.
#[test_case(3, 3.0; "3 dispatchers with little traffic")]
#[test_case(3, 10.0; "3 dispatchers")]
#[test_case(20, 0.8; "20 dispatchers with little traffic")]
#[test_case(20, 6.0; "20 dispatchers")]
#[test_case(30, 0.8; "30 dispatchers with little traffic")]
#[test_case(30, 8.0; "30 dispatchers")]
#[test_case(300, 6.0; "300 dispatchers")]
fn no_cold_engine_gets_more_than_its_budget_from_all_dispatchers(dispatchers: u32, rate: f64) {
    for (replaced, surge, seed) in [
        (6, 1.0, 1),
        (6, 4.0, 2),
        (10, 1.0, 3),
        (10, 4.0, 4),
        (12, 1.0, 5),
        (12, 4.0, 6),
        (10, 4.0, 7),
    ] {
        check_budget(dispatchers, rate, replaced, surge, seed);
    }
}

/// Every prefill engine is replaced while the traffic is eight times as high: no warm engine is
/// left to take the attempts that cold engines cannot take.
#[test_case(3, 3.0; "3 dispatchers with little traffic")]
#[test_case(20, 0.8; "20 dispatchers with little traffic")]
#[test_case(30, 8.0; "30 dispatchers")]
fn no_cold_engine_gets_more_than_its_budget_at_eight_times_the_traffic(
    dispatchers: u32,
    rate: f64,
) {
    for seed in [8, 9] {
        check_budget(dispatchers, rate, PREFILL_ENGINES, 8.0, seed);
    }
}

/// With 300 dispatchers, the budget of each for a cold engine is a small fraction of an attempt. If
/// every dispatcher rounded it up to one attempt, the sum would be many times the budget of the
/// engine.
#[test]
fn three_hundred_dispatchers_keep_the_budget_of_cold_engines_at_eight_times_the_traffic() {
    for seed in [8, 9, 1008, 2008, 3008] {
        check_budget(300, 6.0, PREFILL_ENGINES, 8.0, seed);
    }
}

/// Runs a simulation and checks the attempts at each cold engine against its budget.
fn check_budget(dispatchers: u32, rate: f64, replaced: u32, surge: f64, seed: u64) {
    let allowed = budget(rate);
    let (attempts_while_cold, served) = simulate(dispatchers, rate, replaced, surge, seed);
    let (max_attempts, all_attempts) = (
        max_attempts_per_window(&attempts_while_cold),
        attempts_while_cold.values().map(Vec::len).sum::<usize>(),
    );
    let mean = all_attempts as f64 / f64::from(replaced) / (SLOW_START_WINDOW / OVERLOAD_WINDOW);
    let case = format!(
        "{dispatchers} dispatchers, rate {rate}, {replaced} engines replaced, surge {surge}"
    );
    println!("{case}: at most {max_attempts} attempts per window, mean {mean:.1}, budget {allowed:.1}; fraction of requests served {served:.3}");
    assert!(
        max_attempts as f64 <= allowed + 2.0 * allowed.sqrt() + 2.0,
        "{case}: a cold engine got {max_attempts} attempts in a window, budget {allowed:.1}"
    );
    assert!(all_attempts > 0, "{case}: no cold engine got an attempt");
}
