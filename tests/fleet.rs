//! Hundreds of dispatchers that each see little, side by side: what is harmless in one and harmful in all.

use cindercleat::control::Control;
use cindercleat::interface::*;
use std::collections::BTreeSet;

const DISPATCHERS: u32 = 300;
const PREFILL_ENGINES: u32 = 40;
const BEGINNING: u64 = 9;

fn settings(me: u32) -> Settings {
    let request_class = RequestClassSettings {
        retry_safety: RetrySafety::Idempotent,
        latency_objective: 1000.0,
        latency_objective_per_1000_tokens: 40.0,
        time_to_deadline: 4000.0,
        priority_weight: 1.0,
        late_value_share: 0.2,
        token_pace: 50.0,
        streams: true,
    };
    let kind = |role| KindSettings {
        role,
        memory_tokens: 150_000.0,
    };
    Settings {
        me: DispatcherId(me),
        dispatchers: DISPATCHERS,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![request_class],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        kinds: vec![kind(Role::Prefill), kind(Role::Decode)],
        discovery: Discovery::Pushed,
        kv_state_timeout: 500.0,
        decode_engines_prefill: false,
        may_reserve: false,
        may_cancel: true,
        may_hedge: false,
        may_health_check: true,
        may_gossip: true,
        clients_honor_retry_after: false,
        max_retry_after: 1000.0,
        max_attempts: 4,
        connect_timeout: 250.0,
        drain_grace: 250.0,
        answer_grace: 16.0,
        overload_multiple: 4.0,
        overload_window: 2000.0,
        cold_capacity: 0.3,
        slow_start_window: 10_000.0,
    }
}

fn engine(name: &str) -> EngineId {
    EngineId(name.into())
}

fn entry(name: &str, kind: u32, at: u32) -> Endpoint {
    Endpoint {
        engine: engine(name),
        zone: ZoneId(at % 3),
        kind: KindId(kind),
        cell: CellId(at % 9),
        status: EndpointStatus::Ready,
        weight: 1.0,
        started: None,
    }
}

fn engines() -> Vec<Endpoint> {
    let prefill_engines = (0..PREFILL_ENGINES).map(|at| entry(&format!("r{at}"), 0, at));
    prefill_engines
        .chain((0..20).map(|at| entry(&format!("w{at}"), 1, at)))
        .collect()
}

/// A dispatcher that knows the list.
fn dispatcher(me: u32) -> Control {
    let mut control = Control::new(settings(me), u64::from(me) * 7919);
    let listed = Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        endpoints: engines(),
    };
    control.step(0.0, &[listed], &mut Vec::new());
    control
}

fn arrives(request: u32, session: u64) -> Event {
    Event::Arrived(Arrival {
        request: RequestId(request),
        session: SessionId(session),
        time_to_deadline: 4000.0,
        shared: Some(SharedTextId(BEGINNING)),
        prompt_tokens: 5000.0,
        shared_tokens: 4000.0,
        max_tokens: 400.0,
        ..Arrival::default()
    })
}

fn probes(actions: &[Action]) -> Vec<EngineId> {
    let probe = |a: &Action| match a {
        Action::HealthCheck { engine } => Some(engine.clone()),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

fn attempted(actions: &[Action]) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

/// Where a request that comes at `now` is read, if a probe of an engine ends as `says` has it; none: its answer is out.
fn read_at(
    control: &mut Control,
    now: Ms,
    session: u64,
    says: impl Fn(&EngineId) -> Option<(Outcome, f64)>,
) -> EngineId {
    let mut actions = Vec::new();
    control.step(now, &[arrives(now as u32, session)], &mut actions);
    let mut answers = Vec::new();
    for engine in probes(&actions) {
        let Some((outcome, queue)) = says(&engine) else {
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
    // The wait for probes comes to its end.
    for after in [20.0, 40.0, 60.0, 100.0, 200.0] {
        control.wake_all();
        control.step(now + after, &[], &mut actions);
    }
    attempted(&actions).expect("a task with room everywhere is read")
}

fn read_done(request: RequestId, engine: EngineId, last: bool) -> Event {
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

/// A dispatcher that has seen a prefill engine at work long ago, so that the length of a queue means something to it.
fn seasoned(me: u32) -> Control {
    let mut control = dispatcher(me);
    let engine = read_at(&mut control, 1.0, 1, idle);
    let request = RequestId(1);
    control.step(
        210.0,
        &[
            Event::ClientGone { request },
            read_done(request, engine, true),
        ],
        &mut Vec::new(),
    );
    control
}

#[test]
fn all_read_a_beginning_at_one_home_while_it_is_idle() {
    let homes: BTreeSet<EngineId> = (0..DISPATCHERS)
        .map(|me| read_at(&mut dispatcher(me), 1.0, u64::from(me), idle))
        .collect();
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// A home that too much is drawn to: its reads go to a few others, the same for a session whoever sends it, and not
/// to wherever each dispatcher happens to see least waiting. `says`: what the home makes of a probe.
fn reads_leave_the_home(says: Option<(Outcome, f64)>) {
    let home = read_at(&mut dispatcher(0), 1.0, 0, idle);
    let jammed = |h: &EngineId| if *h == home { says } else { idle(h) };
    let mut used = BTreeSet::new();
    for session in 0..u64::from(DISPATCHERS / 3) {
        let at = |me: u32| read_at(&mut seasoned(me), 5000.0, session, jammed);
        let places: BTreeSet<EngineId> = [3, 40, 200].map(at).into();
        assert_eq!(places.len(), 1, "session {session}: {places:?}");
        used.extend(places);
    }
    assert!(!used.contains(&home), "{used:?}");
    assert!((2..=4).contains(&used.len()), "{used:?}");
}

#[test]
fn reads_leave_a_home_with_a_long_queue_for_a_few_readers() {
    reads_leave_the_home(Some((Outcome::Succeeded, 30.0)));
}

#[test]
fn a_home_too_busy_to_answer_a_probe_is_not_taken_for_idle() {
    reads_leave_the_home(Some((Outcome::TimedOut, 0.0)));
    reads_leave_the_home(Some((Outcome::Failed, 0.0)));
    reads_leave_the_home(None);
}

/// Of all dispatchers' next streams, how many begin at the cold one of these decode engines of the prefill engine's cell.
fn begun_cold(warm: &[&str]) -> usize {
    let taken = |me: u32| {
        let mut control = Control::new(settings(me), u64::from(me) * 7919);
        let cold = Endpoint {
            started: Some(1000.0),
            ..entry("cold", 1, 0)
        };
        let near = warm.iter().map(|name| entry(name, 1, 0));
        let far = ["f1", "f2", "f3"].map(|name| entry(name, 1, 1));
        let endpoints = [cold, entry("r", 0, 0)]
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
        let engine = read_at(&mut control, 2000.0, u64::from(me), idle);
        actions.clear();
        control.step(
            2210.0,
            &[read_done(RequestId(2000), engine, false)],
            &mut actions,
        );
        attempted(&actions).is_some_and(|to| &*to.0 == "cold")
    };
    (0..DISPATCHERS).filter(|&me| taken(me)).count()
}

/// Each has a small part of an attempt to give to a cold engine, and seldom a request for it: what is drawn of that by the
/// clock is mostly not there when a request is, and an engine counted for less by its age loses each tie.
#[test]
fn a_cold_writer_gets_its_part_of_the_streams_of_all_and_no_more() {
    let part = |warm: &[&str]| begun_cold(warm) as f64 / f64::from(DISPATCHERS);
    let beside = part(&["w1", "w2"]);
    assert!(
        (0.02..0.15).contains(&beside),
        "beside two warm ones of its cell it gets {beside}"
    );
    let alone = part(&[]);
    assert!(
        (0.1..0.45).contains(&alone),
        "alone in its cell it gets {alone}"
    );
}

/// The busiest of hundreds, in a jam: what it holds may not take its part of a processor, or all that it took is lost.
#[test]
fn held_requests_are_not_planned_at_every_step() {
    let mut control = Control::new(settings(0), 7);
    let endpoints = vec![entry("r", 0, 0), entry("w", 1, 0)];
    let requests = (1..=300).map(|request| arrives(request, u64::from(request)));
    let first = [Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        endpoints,
    }]
    .into_iter()
    .chain(requests)
    .collect::<Vec<_>>();
    control.step(0.0, &first, &mut Vec::new());
    control.step(50.0, &[], &mut Vec::new());
    let before = control.planned();
    for at in 51..350 {
        let load = Load::default();
        let heard = Event::HealthChecked {
            engine: engine("w"),
            outcome: Outcome::Succeeded,
            latency: 5.0,
            load,
        };
        control.step(f64::from(at), &[heard], &mut Vec::new());
    }
    // Every 50 ms, a tenth of the release time.
    let planned = control.planned() - before;
    assert!((300..300 * 8).contains(&planned), "{planned}");
}

/// The same for a cold prefill engine that is the home of a beginning which all read.
#[test]
fn a_cold_home_gets_its_part_of_the_reads_of_all_and_no_more() {
    let home = read_at(&mut dispatcher(0), 1.0, 0, idle);
    let taken = |me: u32| {
        let mut control = Control::new(settings(me), u64::from(me) * 7919);
        let mut endpoints = engines();
        for entry in endpoints.iter_mut().filter(|entry| entry.engine == home) {
            entry.started = Some(1000.0);
        }
        control.step(
            2000.0,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            }],
            &mut Vec::new(),
        );
        read_at(&mut control, 2000.0, u64::from(me), idle) == home
    };
    let part = (0..DISPATCHERS).filter(|&me| taken(me)).count() as f64 / f64::from(DISPATCHERS);
    assert!((0.15..0.35).contains(&part), "it gets {part}");
}
