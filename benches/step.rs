//! The price of one whole request (arrival, read, first token, end: four steps or more) as live streams grow.
//! The fleet is the same in every row, so that only the live streams differ; `plain` plans every request at
//! every step, as the module did before its turns were kept.

use cindercleat::control::Control;
use cindercleat::interface::*;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use std::sync::Arc;

const PREFILL_ENGINES: u32 = 16;
const DECODE_ENGINES: u32 = 240;

fn settings() -> Settings {
    let request_class = RequestClassSettings {
        retry_safety: RetrySafety::Idempotent,
        latency_objective: 1000.0,
        latency_objective_per_1000_tokens: 40.0,
        time_to_deadline: 8000.0,
        priority_weight: 1.0,
        late_value_share: 0.2,
        token_pace: 60.0,
        streams: true,
    };
    Settings {
        me: DispatcherId(0),
        dispatchers: 1,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![request_class],
        tenants: vec![],
        over_quota_weight: 1.0,
        kinds: [Role::Prefill, Role::Decode]
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
        may_health_check: false,
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

struct Bench {
    control: Control,
    plain: bool,
    now: Ms,
    next: u32,
    actions: Vec<Action>,
}

impl Bench {
    fn new(live: u32, plain: bool) -> Self {
        let entry = |i: u32| Endpoint {
            engine: EngineId(Arc::from(format!("host-{i}"))),
            zone: ZoneId(0),
            kind: KindId(u32::from(i >= PREFILL_ENGINES)),
            cell: CellId(i % 4),
            status: EndpointStatus::Ready,
            weight: 1.0,
            started: None,
        };
        let mut bench = Bench {
            control: Control::new(settings(), 1),
            plain: false,
            now: 0.0,
            next: 0,
            actions: Vec::new(),
        };
        let endpoints = (0..PREFILL_ENGINES + DECODE_ENGINES).map(entry).collect();
        bench.step(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        });
        for _ in 0..live {
            bench.begin();
        }
        bench.plain = plain;
        bench
    }

    fn step(&mut self, event: Event) {
        self.actions.clear();
        self.now += 0.5;
        if self.plain {
            self.control.wake_all();
        }
        self.control.step(self.now, &[event], &mut self.actions);
    }

    fn attempted(&self) -> EngineId {
        let engine = |a: &Action| match a {
            Action::StartAttempt { engine, .. } => Some(engine.clone()),
            _ => None,
        };
        self.actions.iter().find_map(engine).expect("a launch")
    }

    /// A request up to its first token.
    fn begin(&mut self) -> (RequestId, EngineId) {
        let request = RequestId(self.next);
        self.next += 1;
        let session = SessionId(u64::from(self.next) * 0x9e37_79b9);
        let arrival = Arrival {
            request,
            session,
            time_to_deadline: 8000.0,
            prompt_tokens: 900.0,
            ..Arrival::default()
        };
        self.step(Event::Arrived(arrival));
        let engine = self.attempted();
        self.step(ended(request, 0, engine, Outcome::PrefillDone));
        let engine = self.attempted();
        self.step(Event::FirstToken {
            request,
            attempt: AttemptId(1),
            engine: engine.clone(),
            latency: 1.0,
        });
        (request, engine)
    }

    fn whole(&mut self) {
        let (request, engine) = self.begin();
        self.step(ended(request, 1, engine, Outcome::Succeeded));
    }
}

fn ended(request: RequestId, attempt: u32, engine: EngineId, outcome: Outcome) -> Event {
    let (attempt, last, load) = (
        AttemptId(attempt),
        outcome == Outcome::Succeeded,
        Load::default(),
    );
    Event::Ended(Ended {
        request,
        attempt,
        engine,
        outcome,
        latency: 1.0,
        last,
        detail: 0.0,
        load,
    })
}

fn step(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole_task");
    group.throughput(Throughput::Elements(1)).sample_size(20);
    for live in [10, 100, 1_000, 10_000] {
        for (name, plain) in [("lean", false), ("plain", true)] {
            group.bench_with_input(BenchmarkId::new(name, live), &live, |b, &live| {
                let mut bench = Bench::new(live, plain);
                b.iter(|| bench.whole());
            });
        }
    }
    group.finish();
}

criterion_group!(benches, step);
criterion_main!(benches);
