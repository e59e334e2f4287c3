//! Measures the time that one whole request takes (arrival, prefill, first token, end: four steps or more) while 10 to
//! 10,000 other requests are decoding at the same engines. `plain` plans every request at every step, `lean` only the
//! requests that may have changed.

#[path = "../tests/common/mod.rs"]
mod common;

use cindercleat::control::Control;
use cindercleat::interface::*;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};

const PREFILL_ENGINES: u32 = 16;
const DECODE_ENGINES: u32 = 240;

fn settings() -> Settings {
    let request_class = RequestClassSettings {
        time_to_deadline: 8000.0,
        token_pace: 60.0,
        ..common::request_class(RetrySafety::Idempotent)
    };
    Settings {
        request_classes: vec![request_class],
        over_quota_weight: 1.0,
        kinds: common::kinds(&[Role::Prefill, Role::Decode], 2e5),
        may_health_check: false,
        clients_honor_retry_after: true,
        max_retry_after: 2000.0,
        drain_grace: 500.0,
        overload_window: 1000.0,
        slow_start_window: 5000.0,
        ..common::settings(0, 1)
    }
}

struct Bench {
    control: Control,
    plans_all: bool,
    now: Ms,
    next_request: u32,
    actions: Vec<Action>,
}

impl Bench {
    fn new(decoding: u32, plans_all: bool) -> Self {
        let endpoint = |i: u32| {
            let kind = u32::from(i >= PREFILL_ENGINES);
            common::endpoint(&format!("host-{i}"), kind, 0, i % 4)
        };
        let mut bench = Bench {
            control: Control::new(settings(), 1),
            plans_all: false,
            now: 0.0,
            next_request: 0,
            actions: Vec::new(),
        };
        let endpoints = (0..PREFILL_ENGINES + DECODE_ENGINES)
            .map(endpoint)
            .collect();
        bench.step(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        });
        for _ in 0..decoding {
            bench.start_request();
        }
        bench.plans_all = plans_all;
        bench
    }

    fn step(&mut self, event: Event) {
        self.actions.clear();
        self.now += 0.5;
        if self.plans_all {
            self.control.schedule_all();
        }
        self.control.step(self.now, &[event], &mut self.actions);
    }

    /// The engine of the attempt that the last step has started.
    fn attempt_target(&self) -> EngineId {
        let engine = |a: &Action| match a {
            Action::StartAttempt { engine, .. } => Some(engine.clone()),
            _ => None,
        };
        self.actions
            .iter()
            .find_map(engine)
            .expect("the step must start an attempt")
    }

    /// Starts a request and runs it up to its first token. Returns the request and its decode engine.
    fn start_request(&mut self) -> (RequestId, EngineId) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let session = SessionId(u64::from(self.next_request) * 0x9e37_79b9);
        let arrival = Arrival {
            request,
            session,
            time_to_deadline: 8000.0,
            prompt_tokens: 900.0,
            ..Arrival::default()
        };
        self.step(Event::Arrived(arrival));
        let engine = self.attempt_target();
        self.step(ended(request, 0, engine, Outcome::PrefillDone));
        let engine = self.attempt_target();
        self.step(Event::FirstToken {
            request,
            attempt: AttemptId(1),
            engine: engine.clone(),
            latency: 1.0,
        });
        (request, engine)
    }

    /// Runs one more request from its arrival to its end; the measured operation.
    fn run_request(&mut self) {
        let (request, engine) = self.start_request();
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
    for decoding in [10, 100, 1_000, 10_000] {
        for (name, plans_all) in [("lean", false), ("plain", true)] {
            group.bench_with_input(
                BenchmarkId::new(name, decoding),
                &decoding,
                |b, &decoding| {
                    let mut bench = Bench::new(decoding, plans_all);
                    b.iter(|| bench.run_request());
                },
            );
        }
    }
    group.finish();
}

criterion_group!(benches, step);
criterion_main!(benches);
