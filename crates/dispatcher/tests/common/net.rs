//! Runs a dispatcher's driver with one prefill engine and one decode engine, on in-memory connections and a paused
//! clock.
#![allow(dead_code)]

use super::common;
use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_net::{Clock, Memory, TokioClock, Transport};
use cindercleat_protocol::v1::EndpointStatus;
use cindercleat_protocol::Body;
use cindercleat_standin::client::{End, Port};
use cindercleat_standin::discovery::Discovery;
use cindercleat_standin::engine::{Does, Engine, EngineSpec};
use cindercleat_standin::transcript::{Note, Transcript, Way, What};
use std::future::Future;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

/// How a request of [`Net::run_request`] ended.
pub struct RequestResult {
    pub end: End,
    /// The number of tokens that the client received.
    pub tokens: u32,
}

/// The dispatcher's driver, its engines and its discovery service, as a test sees them.
pub struct Net {
    /// The in-memory transport of the dispatcher, its clients, the engines and discovery.
    pub memory: Memory,
    pub clock: TokioClock,
    pub driver: Driver<Memory, TokioClock>,
    pub transcript: Transcript,
    pub discovery: Discovery<TokioClock>,
    /// Notified to stop the dispatcher.
    pub stop: Rc<Notify>,
    pub engines: Vec<Engine<Memory, TokioClock>>,
}

/// Runs a test against a dispatcher "d" with a prefill engine "r1" and a decode engine "w1".
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    run_with(common::limits(), test);
}

/// Runs a test against a dispatcher "d" with these limits.
pub fn run_with<F: Future<Output = ()>>(limits: Limits, test: impl FnOnce(Net) -> F) {
    let settings = ProgramSettings {
        limits,
        ..common::settings()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("runtime is built");
    LocalSet::new().block_on(&runtime, async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let transcript = Transcript::default();
        let discovery = Discovery::new("list", clock, transcript.clone(), 0.0);
        spawn_local(
            discovery
                .clone()
                .serve::<Memory>(memory.listen("discovery").await.expect("name is free")),
        );
        let mut engines = Vec::new();
        for (name, kind, does) in [
            ("r1", "reader", Does::Reads),
            ("w1", "writer", Does::Writes),
        ] {
            let engine = Engine::new(
                spec(name, kind, does),
                memory.clone(),
                clock,
                transcript.clone(),
                1,
            );
            engine
                .start(&format!("at-{name}"), true)
                .await
                .expect("name is free");
            discovery.tell(engine.line(EndpointStatus::Ready));
            engines.push(engine);
        }
        let locations = Locations {
            discovery: vec!["discovery".to_owned()],
            ..Locations::default()
        };
        let driver = Driver::new(settings, locations, memory.clone(), clock, 1);
        let listener = memory.listen("d").await.expect("name is free");
        let serving = driver.clone();
        let stop = Rc::new(Notify::new());
        let stop_signal = stop.clone();
        spawn_local(async move { serving.serve(listener, stop_signal.notified()).await });
        while discovery.followers() == 0 {
            clock.sleep_until(clock.now() + 1.0).await;
        }
        test(Net {
            memory,
            clock,
            driver,
            transcript,
            discovery,
            stop,
            engines,
        })
        .await;
    });
}

/// A stand-in engine with 8 slots in zone `north` that produces a token every 5 ms.
pub fn spec(name: &str, kind: &str, does: Does) -> EngineSpec {
    EngineSpec {
        name: name.to_owned(),
        zone: "north".to_owned(),
        cell: "n1".to_owned(),
        kind: kind.to_owned(),
        does,
        slots: 8,
        queue: 8,
        memory_tokens: 2e5,
        read_per_s: 40_000.0,
        token_ms: 5.0,
        fetch_per_s: 3e5,
        start_share: 0.3,
        slow_start_window: 5000.0,
        hold: 2000.0,
        report_age: 200.0,
        report_noise: 0.0,
        answer_share: 1.0,
    }
}

impl Net {
    /// Sends a request as the client named `client` and waits for its final answer.
    pub async fn run_request(&self, client: &str) -> RequestResult {
        let port = Port::new(
            client,
            "d",
            self.memory.clone(),
            self.clock,
            self.transcript.clone(),
        );
        let mut tokens = 0;
        let end = port
            .run(common::submit("draft"), None, |t| tokens += t.count)
            .await;
        RequestResult { end, tokens }
    }

    /// Sends raw bytes on a new connection. Returns whether the dispatcher closes the connection within 5 s.
    pub async fn send_raw(&self, bytes: &[u8]) -> bool {
        let mut stream = self
            .memory
            .connect("d")
            .await
            .expect("dispatcher accepts connections");
        // The write fails if the dispatcher has already closed the connection.
        let _ = stream.write_all(bytes).await;
        let mut rest = Vec::new();
        tokio::select! { biased;
            _ = stream.read_to_end(&mut rest) => true,
            () = self.clock.sleep_until(self.clock.now() + 5000.0) => false,
        }
    }

    pub fn port(&self, client: &str) -> Rc<Port<Memory, TokioClock>> {
        Port::new(
            client,
            "d",
            self.memory.clone(),
            self.clock,
            self.transcript.clone(),
        )
    }

    pub async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    /// The time at which an engine first received a matching message, by the test's clock; `None` if it received none.
    pub fn first_received_at(&self, engine: &str, matches: impl Fn(&Body) -> bool) -> Option<f64> {
        let is_match = |what: &What| matches!(what, What::Frame(Way::In, f) if f.body.as_ref().is_some_and(&matches));
        let records = self.transcript.records();
        records
            .iter()
            .find(|r| &*r.seer == engine && is_match(&r.what))
            .map(|r| r.at)
    }

    /// The idempotency keys of the requests that decode engines have executed, in order.
    pub fn executed_keys(&self) -> Vec<String> {
        let records = self.transcript.records();
        let key = |what: &What| match what {
            What::Note(Note::Ran { key, .. }) => Some(key.clone()),
            _ => None,
        };
        records.iter().filter_map(|r| key(&r.what)).collect()
    }
}
