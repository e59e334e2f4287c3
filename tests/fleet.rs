//! Hundreds of dispatchers side by side, each with little traffic: decisions that are harmless for
//! one dispatcher may do harm in sum.

mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use std::collections::BTreeSet;

const DISPATCHERS: u32 = 300;
const PREFILL_ENGINES: u32 = 40;
const SHARED_PREFIX: u64 = 9;

fn settings(me: u32) -> Settings {
    Settings {
        may_gossip: true,
        ..common::settings(me, DISPATCHERS)
    }
}

fn engine(name: &str) -> EngineId {
    EngineId(name.into())
}

fn endpoint(name: &str, kind: u32, at: u32) -> Endpoint {
    common::endpoint(name, kind, at % 3, at % 9)
}

fn engines() -> Vec<Endpoint> {
    let prefill_engines = (0..PREFILL_ENGINES).map(|at| endpoint(&format!("r{at}"), 0, at));
    prefill_engines
        .chain((0..20).map(|at| endpoint(&format!("w{at}"), 1, at)))
        .collect()
}

/// A dispatcher that has received the list of endpoints.
fn dispatcher(me: u32) -> Control {
    let mut control = Control::new(settings(me), u64::from(me) * 7919);
    let listed = Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        endpoints: engines(),
    };
    control.step(0.0, &[listed], &mut Vec::new());
    control
}

fn arrival(request: u32, session: u64) -> Event {
    Event::Arrived(Arrival {
        request: RequestId(request),
        session: SessionId(session),
        time_to_deadline: 4000.0,
        shared: Some(SharedTextId(SHARED_PREFIX)),
        prompt_tokens: 5000.0,
        shared_tokens: 4000.0,
        max_tokens: 400.0,
        ..Arrival::default()
    })
}

fn health_checks(actions: &[Action]) -> Vec<EngineId> {
    let health_check = |a: &Action| match a {
        Action::HealthCheck { engine } => Some(engine.clone()),
        _ => None,
    };
    actions.iter().filter_map(health_check).collect()
}

fn attempt_target(actions: &[Action]) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

/// Sends a request at `now` and returns its prefill engine. `reports` returns the result of a
/// health check of an engine: its outcome and the number of waiting requests there; `None` if no
/// answer comes.
fn prefill_engine_at(
    control: &mut Control,
    now: Ms,
    session: u64,
    reports: impl Fn(&EngineId) -> Option<(Outcome, f64)>,
) -> EngineId {
    let mut actions = Vec::new();
    control.step(now, &[arrival(now as u32, session)], &mut actions);
    let mut answers = Vec::new();
    for engine in health_checks(&actions) {
        let Some((outcome, queue)) = reports(&engine) else {
            continue;
        };
        let queue = Some(queue).filter(|_| outcome == Outcome::Succeeded);
        let load = Load {
            queue,
            slots_used: queue.map(|_| 0.5),
            ..Load::default()
        };
        answers.push(Event::HealthChecked {
            engine,
            outcome,
            latency: 5.0,
            load,
        });
    }
    control.step(now + 5.0, &answers, &mut actions);
    // Time passes until the wait for load reports is over.
    for after in [20.0, 40.0, 60.0, 100.0, 200.0] {
        control.wake_all();
        control.step(now + after, &[], &mut actions);
    }
    attempt_target(&actions).expect("a request is prefilled while engines have capacity")
}

fn prefill_done(request: RequestId, engine: EngineId, last: bool) -> Event {
    let (attempt, load, outcome, latency, detail) = (
        AttemptId(0),
        Load::default(),
        Outcome::PrefillDone,
        60.0,
        4000.0,
    );
    Event::Ended(Ended {
        request,
        attempt,
        engine,
        outcome,
        latency,
        last,
        detail,
        load,
    })
}

fn idle(_: &EngineId) -> Option<(Outcome, f64)> {
    Some((Outcome::Succeeded, 0.0))
}

/// A dispatcher that has seen a prefill end long ago and therefore knows the typical number of
/// tokens of a waiting request.
fn dispatcher_that_saw_a_prefill(me: u32) -> Control {
    let mut control = dispatcher(me);
    let engine = prefill_engine_at(&mut control, 1.0, 1, idle);
    let request = RequestId(1);
    control.step(
        210.0,
        &[
            Event::ClientGone { request },
            prefill_done(request, engine, true),
        ],
        &mut Vec::new(),
    );
    control
}

/// Hundreds of dispatchers get requests with the same prefix. Unless all of them choose the same
/// engine, the prefix is computed again at each engine.
#[test]
fn all_dispatchers_prefill_a_shared_prefix_at_the_same_idle_home_engine() {
    let homes: BTreeSet<EngineId> = (0..DISPATCHERS)
        .map(|me| prefill_engine_at(&mut dispatcher(me), 1.0, u64::from(me), idle))
        .collect();
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// The home engine of a popular prefix gets too many prefills. They must go to a few other engines,
/// and those of one session to the same engine whichever dispatcher sends them. They must not go
/// wherever each dispatcher sees the shortest queue: the prefix would be computed again at every
/// engine. `home_reports`: how a health check of the home engine ends.
fn check_prefills_leave_the_home(home_reports: Option<(Outcome, f64)>) {
    let home = prefill_engine_at(&mut dispatcher(0), 1.0, 0, idle);
    let report_of = |engine: &EngineId| {
        if *engine == home {
            home_reports
        } else {
            idle(engine)
        }
    };
    let mut used = BTreeSet::new();
    for session in 0..u64::from(DISPATCHERS / 3) {
        let prefill_engine = |me: u32| {
            prefill_engine_at(
                &mut dispatcher_that_saw_a_prefill(me),
                5000.0,
                session,
                report_of,
            )
        };
        let engines: BTreeSet<EngineId> = [3, 40, 200].map(prefill_engine).into();
        assert_eq!(engines.len(), 1, "session {session}: {engines:?}");
        used.extend(engines);
    }
    assert!(!used.contains(&home), "{used:?}");
    assert!((2..=4).contains(&used.len()), "{used:?}");
}

/// The home engine answers health checks and has a long queue.
#[test]
fn prefills_leave_a_home_with_a_long_queue_for_a_few_engines() {
    check_prefills_leave_the_home(Some((Outcome::Succeeded, 30.0)));
}

/// The home engine is too busy to answer a health check. An unknown load must not count as an empty
/// queue.
#[test]
fn a_home_too_busy_to_answer_a_health_check_does_not_count_as_idle() {
    check_prefills_leave_the_home(Some((Outcome::TimedOut, 0.0)));
    check_prefills_leave_the_home(Some((Outcome::Failed, 0.0)));
    check_prefills_leave_the_home(None);
}

/// The number of dispatchers whose next decode goes to the cold engine. The cold engine and the
/// engines of `warm` are the decode engines in the prefill engine's cell.
fn decodes_at_cold_engine(warm: &[&str]) -> usize {
    let is_chosen = |me: u32| {
        let mut control = Control::new(settings(me), u64::from(me) * 7919);
        let cold = Endpoint {
            started: Some(1000.0),
            ..endpoint("cold", 1, 0)
        };
        let near = warm.iter().map(|name| endpoint(name, 1, 0));
        let far = ["f1", "f2", "f3"].map(|name| endpoint(name, 1, 1));
        let endpoints = [cold, endpoint("r", 0, 0)]
            .into_iter()
            .chain(near)
            .chain(far)
            .collect();
        let mut actions = Vec::new();
        control.step(
            2000.0,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            }],
            &mut actions,
        );
        let engine = prefill_engine_at(&mut control, 2000.0, u64::from(me), idle);
        actions.clear();
        control.step(
            2210.0,
            &[prefill_done(RequestId(2000), engine, false)],
            &mut actions,
        );
        attempt_target(&actions).is_some_and(|engine| &*engine.0 == "cold")
    };
    (0..DISPATCHERS).filter(|&me| is_chosen(me)).count()
}

/// A decode engine has just started. Each dispatcher may send it only a small fraction of an
/// attempt and rarely has a request at all. The engine must get its share of all decodes. It must
/// not get none, which would be the case if its lower weight lost every tie, nor so many that it
/// collapses.
#[test]
fn a_cold_decode_engine_gets_its_share_of_all_decodes_and_no_more() {
    let share = |warm: &[&str]| decodes_at_cold_engine(warm) as f64 / f64::from(DISPATCHERS);
    let beside_warm = share(&["w1", "w2"]);
    assert!(
        (0.02..0.15).contains(&beside_warm),
        "its share beside two warm engines in its cell is {beside_warm}"
    );
    let alone = share(&[]);
    assert!(
        (0.1..0.45).contains(&alone),
        "its share alone in its cell is {alone}"
    );
}

/// The engines are overloaded, and one dispatcher holds hundreds of requests. Planning all of them
/// at every step would take all the time of its processor, and no accepted request would be
/// answered.
#[test]
fn held_requests_are_not_planned_at_every_step() {
    let mut control = Control::new(settings(0), 7);
    let endpoints = vec![endpoint("r", 0, 0), endpoint("w", 1, 0)];
    let requests = (1..=300).map(|request| arrival(request, u64::from(request)));
    let first = [Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        endpoints,
    }]
    .into_iter()
    .chain(requests)
    .collect::<Vec<_>>();
    control.step(0.0, &first, &mut Vec::new());
    control.step(50.0, &[], &mut Vec::new());
    let before = control.plan_count();
    for at in 51..350 {
        let load = Load::default();
        let checked = Event::HealthChecked {
            engine: engine("w"),
            outcome: Outcome::Succeeded,
            latency: 5.0,
            load,
        };
        control.step(f64::from(at), &[checked], &mut Vec::new());
    }
    // Each held request is planned every 50 ms, a tenth of the KV state timeout.
    let planned = control.plan_count() - before;
    assert!((300..300 * 8).contains(&planned), "planned {planned} times");
}

/// The home engine of a popular prefix has just started. It must get its share of the prefills of
/// all dispatchers and no more, or it collapses.
#[test]
fn a_cold_home_engine_gets_its_share_of_all_prefills_and_no_more() {
    let home = prefill_engine_at(&mut dispatcher(0), 1.0, 0, idle);
    let is_chosen = |me: u32| {
        let mut control = Control::new(settings(me), u64::from(me) * 7919);
        let mut endpoints = engines();
        for endpoint in endpoints
            .iter_mut()
            .filter(|endpoint| endpoint.engine == home)
        {
            endpoint.started = Some(1000.0);
        }
        control.step(
            2000.0,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            }],
            &mut Vec::new(),
        );
        prefill_engine_at(&mut control, 2000.0, u64::from(me), idle) == home
    };
    let share =
        (0..DISPATCHERS).filter(|&me| is_chosen(me)).count() as f64 / f64::from(DISPATCHERS);
    assert!((0.15..0.35).contains(&share), "its share is {share}");
}
