//! Tests decisions of hundreds of dispatchers that each have little traffic. A decision that is
//! harmless if one dispatcher makes it may do harm if all of them make it.

mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use std::collections::BTreeSet;

const DISPATCHERS: u32 = 300;
const PREFILL_ENGINES: u32 = 40;
const SHARED_PREFIX: u64 = 9;

fn settings(dispatcher_id: u32) -> Settings {
    Settings {
        may_gossip: true,
        ..common::settings(dispatcher_id, DISPATCHERS)
    }
}

fn engine(name: &str) -> EngineId {
    EngineId(name.into())
}

/// An endpoint in one of three zones with three cells each, depending on `index`.
fn endpoint(name: &str, kind: u32, index: u32) -> Endpoint {
    common::endpoint(name, kind, index % 3, index % 9)
}

fn engines() -> Vec<Endpoint> {
    let prefill_engines =
        (0..PREFILL_ENGINES).map(|index| endpoint(&format!("r{index}"), 0, index));
    prefill_engines
        .chain((0..20).map(|index| endpoint(&format!("w{index}"), 1, index)))
        .collect()
}

/// A dispatcher that knows all engines of the simulated fleet.
fn dispatcher(dispatcher_id: u32) -> Control {
    let mut control = Control::new(settings(dispatcher_id), u64::from(dispatcher_id) * 7919);
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
        shared_prefix: Some(SharedPrefixId(SHARED_PREFIX)),
        prompt_tokens: 5000.0,
        shared_tokens: 4000.0,
        max_tokens: 400.0,
        ..Arrival::default()
    })
}

/// The engines that `actions` send health checks to.
fn health_checks(actions: &[Action]) -> Vec<EngineId> {
    let health_check = |a: &Action| match a {
        Action::HealthCheck { engine } => Some(engine.clone()),
        _ => None,
    };
    actions.iter().filter_map(health_check).collect()
}

/// The engine of the first attempt that `actions` start, if they start any.
fn attempt_target(actions: &[Action]) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

/// How a health check of an engine ends.
#[derive(Clone, Copy)]
struct HealthCheckResult {
    outcome: Outcome,
    /// Requests that wait at the engine; reported only if the health check succeeded.
    waiting_requests: f64,
}

/// Sends a request at `now` and returns its prefill engine. `health_check_result` returns the
/// result of a health check of the given engine, or `None` if no answer arrives.
fn prefill_engine_at(
    control: &mut Control,
    now: Ms,
    session: u64,
    health_check_result: impl Fn(&EngineId) -> Option<HealthCheckResult>,
) -> EngineId {
    let mut actions = Vec::new();
    control.step(now, &[arrival(now as u32, session)], &mut actions);
    let mut answers = Vec::new();
    for engine in health_checks(&actions) {
        let Some(HealthCheckResult {
            outcome,
            waiting_requests,
        }) = health_check_result(&engine)
        else {
            continue;
        };
        let queued_requests = Some(waiting_requests).filter(|_| outcome == Outcome::Succeeded);
        let load = Load {
            queued_requests,
            slots_used: queued_requests.map(|_| 0.5),
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
    // The dispatcher stops waiting for load reports within these steps.
    for after in [20.0, 40.0, 60.0, 100.0, 200.0] {
        control.schedule_all();
        control.step(now + after, &[], &mut actions);
    }
    attempt_target(&actions).expect("a prefill must start while engines have capacity")
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

/// The result for an engine that answers its health check and reports that no request waits.
fn empty_queue(_: &EngineId) -> Option<HealthCheckResult> {
    Some(HealthCheckResult {
        outcome: Outcome::Succeeded,
        waiting_requests: 0.0,
    })
}

/// A dispatcher whose only prefill ended long ago. It therefore has an estimate of the prompt
/// tokens per waiting request.
fn dispatcher_that_saw_a_prefill(dispatcher_id: u32) -> Control {
    let mut control = dispatcher(dispatcher_id);
    let engine = prefill_engine_at(&mut control, 1.0, 1, empty_queue);
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

/// Hundreds of dispatchers get requests with the same prefix. If they choose different engines,
/// each of these engines computes the prefix again.
#[test]
fn all_dispatchers_send_prefills_of_a_shared_prefix_to_the_same_idle_home_engine() {
    let homes: BTreeSet<EngineId> = (0..DISPATCHERS)
        .map(|dispatcher_id| {
            prefill_engine_at(
                &mut dispatcher(dispatcher_id),
                1.0,
                u64::from(dispatcher_id),
                empty_queue,
            )
        })
        .collect();
    assert_eq!(homes.len(), 1, "the dispatchers chose {homes:?}");
}

/// The home engine of a popular prefix gets too many prefills. Further prefills must go to a few
/// other engines, and all prefills of one session to the same engine, whichever dispatcher sends
/// them. If each dispatcher chose the engine whose queue looks shortest, the prefix would be
/// computed again at every engine. `home_result`: the result of a health check of the home engine.
fn check_prefills_avoid_the_home_engine(home_result: Option<HealthCheckResult>) {
    let home = prefill_engine_at(&mut dispatcher(0), 1.0, 0, empty_queue);
    let health_check_result = |engine: &EngineId| {
        if *engine == home {
            home_result
        } else {
            empty_queue(engine)
        }
    };
    let mut used = BTreeSet::new();
    for session in 0..u64::from(DISPATCHERS / 3) {
        let prefill_engine = |dispatcher_id: u32| {
            prefill_engine_at(
                &mut dispatcher_that_saw_a_prefill(dispatcher_id),
                5000.0,
                session,
                health_check_result,
            )
        };
        let engines: BTreeSet<EngineId> = [3, 40, 200].map(prefill_engine).into();
        assert_eq!(
            engines.len(),
            1,
            "prefills of session {session} went to {engines:?}"
        );
        used.extend(engines);
    }
    assert!(
        !used.contains(&home),
        "prefills went to the busy home engine {home:?}"
    );
    assert!(
        (2..=4).contains(&used.len()),
        "prefills went to {used:?}, not to two to four engines"
    );
}

/// The home engine reports a long queue in its answers to health checks.
#[test]
fn prefills_avoid_a_home_engine_with_a_long_queue_and_go_to_a_few_others() {
    check_prefills_avoid_the_home_engine(Some(HealthCheckResult {
        outcome: Outcome::Succeeded,
        waiting_requests: 30.0,
    }));
}

/// The home engine is too busy to answer a health check. Its unknown load must not be treated as an
/// empty queue.
#[test]
fn a_home_engine_too_busy_to_answer_a_health_check_does_not_count_as_idle() {
    for outcome in [Outcome::TimedOut, Outcome::Failed] {
        check_prefills_avoid_the_home_engine(Some(HealthCheckResult {
            outcome,
            waiting_requests: 0.0,
        }));
    }
    check_prefills_avoid_the_home_engine(None);
}

/// Returns how many dispatchers send their next decode to a cold engine. The decode engines in the
/// cell of the prefill engine are this cold engine and the engines named in `warm`.
fn decodes_at_cold_engine(warm: &[&str]) -> usize {
    let is_chosen = |dispatcher_id: u32| {
        let mut control = Control::new(settings(dispatcher_id), u64::from(dispatcher_id) * 7919);
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
        let engine = prefill_engine_at(&mut control, 2000.0, u64::from(dispatcher_id), empty_queue);
        actions.clear();
        control.step(
            2210.0,
            &[prefill_done(RequestId(2000), engine, false)],
            &mut actions,
        );
        attempt_target(&actions).is_some_and(|engine| &*engine.0 == "cold")
    };
    (0..DISPATCHERS)
        .filter(|&dispatcher_id| is_chosen(dispatcher_id))
        .count()
}

/// A decode engine has just started. The budget of each dispatcher for it is a small fraction of an
/// attempt, and each dispatcher rarely has a request at all. The engine must get some
/// decodes, but not so many that it collapses. It would get none if its low weight lost every tie.
#[test]
fn a_cold_decode_engine_gets_its_share_of_all_decodes_and_no_more() {
    let share = |warm: &[&str]| decodes_at_cold_engine(warm) as f64 / f64::from(DISPATCHERS);
    let beside_warm = share(&["w1", "w2"]);
    assert!(
        (0.02..0.15).contains(&beside_warm),
        "with two warm engines in its cell, the cold engine gets {beside_warm} of all decodes"
    );
    let alone = share(&[]);
    assert!(
        (0.1..0.45).contains(&alone),
        "alone in its cell, the cold engine gets {alone} of all decodes"
    );
}

/// The engines are overloaded, and one dispatcher holds hundreds of requests. Planning all of them
/// at every step would take all the processor's time, and no accepted request would be answered.
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
    for now in 51..350 {
        let load = Load::default();
        let checked = Event::HealthChecked {
            engine: engine("w"),
            outcome: Outcome::Succeeded,
            latency: 5.0,
            load,
        };
        control.step(f64::from(now), &[checked], &mut Vec::new());
    }
    // Each held request is planned every 50 ms, a tenth of the KV state timeout.
    let planned = control.plan_count() - before;
    assert!(
        (300..300 * 8).contains(&planned),
        "held requests were planned {planned} times"
    );
}

/// The home engine of a popular prefix has just started. It must get some of the prefills of all
/// dispatchers, but not so many that it collapses.
#[test]
fn a_cold_home_engine_gets_its_share_of_all_prefills_and_no_more() {
    let home = prefill_engine_at(&mut dispatcher(0), 1.0, 0, empty_queue);
    let is_chosen = |dispatcher_id: u32| {
        let mut control = Control::new(settings(dispatcher_id), u64::from(dispatcher_id) * 7919);
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
        prefill_engine_at(&mut control, 2000.0, u64::from(dispatcher_id), empty_queue) == home
    };
    let share = (0..DISPATCHERS)
        .filter(|&dispatcher_id| is_chosen(dispatcher_id))
        .count() as f64
        / f64::from(DISPATCHERS);
    assert!(
        (0.15..0.35).contains(&share),
        "the cold home engine gets {share} of all prefills"
    );
}
