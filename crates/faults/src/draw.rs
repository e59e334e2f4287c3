//! Draws a day from a seed: a fleet, some requests, and faults that overlap and lean towards the instants that matter:
//! the ticks of other faults' beginnings and ends, and of the bounds that the rules set after them.

use crate::plan::{Day, Fault, Trouble};
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::*;
use cindercleat_dispatcher::{Limits, ServiceSettings};
use cindercleat_standin::client::{Habits, Planned, Traffic};
use cindercleat_standin::engine::{Does, EngineSpec};
use nanorand::{Rng, WyRand};

/// How large the days of a request class are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub name: &'static str,
    pub dispatchers: u32,
    pub prefill_engines: usize,
    pub decode_engines: usize,
    pub requests: usize,
    /// Tasks come, and faults begin, within this.
    pub busy: Ms,
    pub faults: (usize, usize),
}

/// The request classes of `cindercleat seeds`.
pub const SHAPES: [Shape; 3] = [
    Shape {
        name: "plain",
        dispatchers: 2,
        prefill_engines: 2,
        decode_engines: 4,
        requests: 100,
        busy: 17_500.0,
        faults: (5, 9),
    },
    Shape {
        name: "small",
        dispatchers: 1,
        prefill_engines: 1,
        decode_engines: 2,
        requests: 40,
        busy: 17_500.0,
        faults: (2, 5),
    },
    Shape {
        name: "storm",
        dispatchers: 2,
        prefill_engines: 3,
        decode_engines: 4,
        requests: 140,
        busy: 17_500.0,
        faults: (12, 18),
    },
];

const ZONES: [&str; 2] = ["north", "south"];
pub const RELEASE: Ms = 500.0;
pub const CONNECT: Ms = 250.0;
pub const DRAIN_GRACE: Ms = 500.0;
const TICK: Ms = 10.0;

/// The service that all drawn days share.
pub fn service() -> ServiceSettings {
    let request_class =
        |retry_safety, latency_objective, time_to_deadline, priority_weight| RequestClassSettings {
            retry_safety,
            latency_objective,
            latency_objective_per_1000_tokens: 60.0,
            time_to_deadline,
            priority_weight,
            late_value_share: 0.2,
            token_pace: 60.0,
            streams: true,
        };
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    let policy = Settings {
        dispatcher_id: DispatcherId(0),
        dispatchers: 1,
        zone: ZoneId(0),
        tick: TICK,
        request_classes: vec![
            request_class(RetrySafety::Idempotent, 1000.0, 3000.0, 2.0),
            request_class(RetrySafety::AtMostOnce, 1000.0, 4000.0, 3.0),
            request_class(
                RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::Zone,
                    window: 2000.0,
                },
                1000.0,
                3500.0,
                2.0,
            ),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        kinds: [Role::Prefill, Role::Decode]
            .map(|role| EngineKindSettings {
                role,
                memory_tokens: 2e5,
            })
            .to_vec(),
        discovery: Discovery::Pushed,
        kv_state_timeout: RELEASE,
        decode_engines_prefill: false,
        may_reserve: false,
        may_cancel: true,
        may_hedge: false,
        may_health_check: true,
        may_gossip: false,
        clients_honor_retry_after: true,
        max_retry_after: 2000.0,
        max_attempts: 4,
        connect_timeout: CONNECT,
        drain_grace: DRAIN_GRACE,
        answer_grace: 50.0,
        overload_multiple: 4.0,
        overload_window: 1000.0,
        cold_capacity: 0.3,
        slow_start_window: 3000.0,
    };
    let limits = Limits {
        max_open_requests: 1000,
        streams_per_connection: 50,
        connections_per_engine: 4,
        connection_idle_timeout: 8_000.0,
        stream_window: 8,
        stall_timeout: 1500.0,
        health_check_timeout: CONNECT,
        keepalive_interval: 400.0,
        ping_timeout: 200.0,
        initial_connect_backoff: 60.0,
        max_connect_backoff: 500.0,
        client_keepalive_interval: 2_000.0,
        cancel_burst: 200.0,
        cancels_per_second: 50.0,
        stop_grace: 1_500.0,
        max_message_bytes: 1 << 16,
        max_client_connections: 100,
        greeting_timeout: 1_000.0,
        stop_accept_period: 0.0,
        stop_streams_after: None,
        http1: None,
        discovery: DiscoverySettings::without_silence_timeout(1_000.0),
    };
    ServiceSettings {
        policy,
        request_classes: names(&["caption-draft", "proof-send", "proof-page"]),
        tenants: vec![],
        zones: names(&ZONES),
        kinds: names(&["reader-box", "writer-box"]),
        limits,
    }
}

struct Draw {
    rng: WyRand,
}

impl Draw {
    fn share(&mut self) -> f64 {
        self.rng.generate()
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.share()
    }

    fn pick<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[(self.share() * of.len() as f64) as usize % of.len()]
    }

    fn chance(&mut self, part: f64) -> bool {
        self.share() < part
    }
}

fn whole(ms: Ms) -> Ms {
    ms.max(0.0).round()
}

/// The day of a seed.
pub fn day(seed: u64, shape: &Shape) -> Day {
    let mut draw = Draw {
        rng: WyRand::new_seed(seed ^ 0x5eed),
    };
    let service = service();
    let mut engines = Vec::new();
    for (does, count) in [
        (Does::Reads, shape.prefill_engines),
        (Does::Writes, shape.decode_engines),
    ] {
        for n in 0..count {
            engines.push(engine(does, n, &service, &mut draw));
        }
    }
    let requests: Vec<Planned> = (0..shape.requests)
        .map(|_| request(shape, &service, &mut draw))
        .collect();
    let (least, most) = shape.faults;
    let count = least + (draw.share() * (most - least + 1) as f64) as usize;
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let at = instant(shape, &faults, &requests, &mut draw);
        faults.push(fault(at, shape, &engines, &mut draw));
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Day {
        name: format!("{}-{seed}", shape.name),
        seed,
        dispatchers: shape.dispatchers,
        engines,
        habits: habits(&service, shape, requests),
        service,
        list_delay: whole(draw.between(0.0, 300.0)),
        faults,
    }
}

fn engine(does: Does, n: usize, service: &ServiceSettings, draw: &mut Draw) -> EngineSpec {
    let reads = does == Does::Reads;
    let zone = ZONES[n % 2];
    EngineSpec {
        name: format!("{}-{}", if reads { "reader" } else { "writer" }, n + 1),
        zone: zone.to_owned(),
        cell: format!("{zone}-{}", n / 2),
        kind: service.kinds[usize::from(!reads)].clone(),
        does,
        slots: if reads { 4 } else { 16 },
        queue: 16,
        memory_tokens: 2e5,
        read_per_s: draw.between(30_000.0, 60_000.0),
        token_ms: whole(draw.between(8.0, 20.0)),
        fetch_per_s: 3e5,
        start_share: service.policy.cold_capacity,
        slow_start_window: service.policy.slow_start_window,
        hold: 4.0 * RELEASE,
        report_age: 200.0,
        report_noise: 0.1,
        answer_share: 0.5,
    }
}

fn habits(service: &ServiceSettings, shape: &Shape, requests: Vec<Planned>) -> Habits {
    let all = service
        .request_classes
        .iter()
        .zip(&service.policy.request_classes);
    let traffic = all.map(|(name, request_class)| Traffic {
        request_class: name.clone(),
        share: 1.0,
        again_always: request_class.retry_safety == RetrySafety::Idempotent,
        latency_objective: request_class.latency_objective
            + request_class.latency_objective_per_1000_tokens * 0.4,
        time_to_deadline: request_class.time_to_deadline,
        prompt_tokens: (400, 400),
        shared_tokens: 200,
        shared_texts: 4,
        max_tokens: 10,
        priority_weight: request_class.priority_weight,
    });
    Habits {
        traffic: traffic.collect(),
        rate_per_s: 0.0,
        length: shape.busy,
        retries: 2,
        retry_after: 200.0,
        leaves: 0.0,
        connections: 1,
        sessions: 20,
        tenants: vec![],
        requests,
    }
}

fn request(shape: &Shape, service: &ServiceSettings, draw: &mut Draw) -> Planned {
    let at = whole(draw.between(0.0, shape.busy));
    let request_class = (draw.share() * service.request_classes.len() as f64) as usize
        % service.request_classes.len();
    let prompt_tokens = draw.between(100.0, 700.0) as u32;
    let time_to_deadline = service.policy.request_classes[request_class].time_to_deadline;
    // Some clients wait for little, and some leave early.
    let time_to_deadline = if draw.chance(0.1) {
        whole(draw.between(30.0, 600.0))
    } else {
        time_to_deadline
    };
    let leaves = draw.chance(0.08).then(|| whole(draw.between(1.0, 400.0)));
    Planned {
        at,
        request_class: service.request_classes[request_class].clone(),
        tenant: String::new(),
        session: draw.between(1.0, 20.0) as u64,
        shared_text: draw.between(1.0, 5.0) as u64,
        shared_tokens: prompt_tokens.min(80),
        prompt_tokens,
        max_tokens: draw.between(2.0, 16.0) as u32,
        time_to_deadline,
        leaves,
        seed: draw.rng.generate(),
    }
}

/// When a fault begins: often at, or a tick beside, an instant that something else hangs on.
fn instant(shape: &Shape, faults: &[Fault], requests: &[Planned], draw: &mut Draw) -> Ms {
    let any = whole(draw.between(200.0, shape.busy));
    if faults.is_empty() || draw.chance(0.35) {
        return any;
    }
    let other = draw.pick(faults).clone();
    let request = draw.pick(requests).clone();
    let after = |at: Ms, by: Ms| at + by;
    let matters = [
        other.at,
        after(other.at, other.length),
        after(other.at, RELEASE),
        after(other.at, CONNECT),
        after(other.at, DRAIN_GRACE),
        request.at,
        after(request.at, 20.0),
        after(request.at, request.time_to_deadline - 2.0 * TICK),
        after(request.at, request.time_to_deadline),
    ];
    let at = *draw.pick(&matters) + *draw.pick(&[0.0, 0.0, 1.0, -1.0, TICK]);
    whole(at.min(shape.busy))
}

fn fault(at: Ms, shape: &Shape, engines: &[EngineSpec], draw: &mut Draw) -> Fault {
    let length = whole(draw.between(50.0, 2_500.0));
    let request_classes = ["caption-draft", "proof-send", "proof-page"];
    let trouble = match (draw.share() * 26.0) as usize {
        0 => Trouble::Die,
        1 => Trouble::DieBeforeEnd,
        2 => Trouble::Slow(draw.between(2.0, 8.0).round()),
        3 => Trouble::Mute,
        4 => Trouble::Stall(draw.between(0.0, 4.0) as u32),
        5 => Trouble::Cut,
        6 => Trouble::Full((*draw.pick(&request_classes)).to_owned()),
        7 => Trouble::Fails((10.0 * draw.between(0.3, 1.0)).round() / 10.0),
        8 | 9 => Trouble::Drain,
        10 => Trouble::ListLate(whole(draw.between(100.0, 2000.0))),
        11 => Trouble::ListSilent,
        12 => Trouble::ReportsLate(whole(draw.between(100.0, 1000.0))),
        13 => Trouble::Forget,
        14 | 15 => Trouble::Kill,
        16 => Trouble::Stop,
        17 => Trouble::Resets((10.0 * draw.between(0.2, 0.8)).round() / 10.0),
        18 => Trouble::GoAway,
        19 => Trouble::GreetLate(whole(draw.between(20.0, 400.0))),
        20 => Trouble::Partition((*draw.pick(&ZONES)).to_owned()),
        21 => Trouble::HalfOpen {
            from: draw.chance(0.7),
            to: draw.chance(0.7),
        },
        22 => Trouble::Vanish,
        23 => Trouble::Hang,
        24 => Trouble::Lag(whole(draw.between(5.0, 60.0))),
        _ => Trouble::Narrow(draw.between(2.0, 40.0).round()),
    };
    let mut whom = Vec::new();
    if trouble.is_dispatchers() {
        whom.push(((draw.share() * f64::from(shape.dispatchers)) as u32).to_string());
    } else if !trouble.is_service_wide() {
        // One, some, or all of a cell.
        let first = draw.pick(engines).clone();
        whom.push(first.name.clone());
        if draw.chance(0.2) {
            let mates = engines
                .iter()
                .filter(|h| h.cell == first.cell && h.name != first.name);
            whom.extend(mates.map(|h| h.name.clone()));
        } else if draw.chance(0.2) {
            let other = draw.pick(engines).name.clone();
            whom.extend((other != first.name).then_some(other));
        }
    }
    // What does not end by itself has no length.
    let instant = matches!(
        trouble,
        Trouble::Cut
            | Trouble::Forget
            | Trouble::GoAway
            | Trouble::HalfOpen { .. }
            | Trouble::ClockStep(_)
    );
    Fault {
        at,
        length: if instant { 0.0 } else { length },
        trouble,
        whom,
    }
}
