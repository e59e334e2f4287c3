//! Drives a dispatcher without I/O: feeds it the messages of clients and engines, and records its outputs.
#![allow(dead_code)]

pub mod engines;

use cindercleat::client_connection::http1::Http1Settings;
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::*;
use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::state::{
    ClientConnectionId, Dispatcher, EngineConnectionId, Input, Output,
};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of a dispatcher `d` with three request classes: `draft` is idempotent, `proof` runs at most once, and
/// `caption` has an idempotency key.
pub fn settings() -> ProgramSettings {
    let request_class = |retry_safety| RequestClassSettings {
        retry_safety,
        latency_objective: 1000.0,
        latency_objective_per_1000_tokens: 0.0,
        time_to_deadline: 4000.0,
        priority_weight: 1.0,
        late_value_share: 0.2,
        token_pace: 60.0,
        streams: true,
    };
    let policy = Settings {
        dispatcher_id: DispatcherId(0),
        dispatchers: 1,
        zone: ZoneId(0),
        tick: 4.0,
        request_classes: vec![
            request_class(RetrySafety::Idempotent),
            request_class(RetrySafety::AtMostOnce),
            request_class(RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Zone,
                window: 2000.0,
            }),
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
    };
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    ProgramSettings {
        name: "d".to_owned(),
        incarnation: 7,
        policy,
        request_classes: names(&["draft", "proof", "caption"]),
        tenants: vec![],
        zones: names(&["north", "south"]),
        kinds: names(&["reader", "writer"]),
        limits: limits(),
    }
}

/// Limits for connections that carry up to 100 streams.
pub fn limits() -> Limits {
    Limits {
        max_open_requests: 1000,
        streams_per_connection: 100,
        connections_per_engine: 4,
        connection_idle_timeout: 15_000.0,
        stream_window: 4,
        stall_timeout: 1000.0,
        health_check_timeout: 250.0,
        keepalive_interval: 2000.0,
        ping_timeout: 1000.0,
        initial_connect_backoff: 100.0,
        max_connect_backoff: 1000.0,
        client_keepalive_interval: 4000.0,
        cancel_burst: 200.0,
        cancels_per_second: 50.0,
        stop_grace: 2000.0,
        max_message_bytes: 1 << 16,
        max_client_connections: 100,
        greeting_timeout: 1000.0,
        stop_accept_period: 0.0,
        stop_streams_after: None,
        http1: None,
        discovery: DiscoverySettings::without_silence_timeout(1000.0),
    }
}

/// Limits for connections that carry one call at a time.
pub fn single_limits() -> Limits {
    let client_timeouts = Http1Settings {
        first_byte_timeout: 2000.0,
        request_read_timeout: 2000.0,
        first_request_timeout: 2750.0,
        idle_timeout: 10_000.0,
    };
    Limits {
        streams_per_connection: 1,
        connections_per_engine: 50,
        stall_timeout: 4000.0,
        keepalive_interval: f64::INFINITY,
        ping_timeout: f64::INFINITY,
        client_keepalive_interval: f64::INFINITY,
        initial_connect_backoff: 0.0,
        max_connect_backoff: 0.0,
        http1: Some(Http1Limits {
            client_timeouts,
            max_engine_connections: 50,
            engine_reuse_delay: 100.0,
        }),
        ..limits()
    }
}

/// An endpoint in zone `north`: a prefill engine if the name begins with `r`, else a decode engine.
pub fn endpoint(engine: &str, status: v1::EndpointStatus) -> v1::Endpoint {
    let kind = if engine.starts_with('r') {
        "reader"
    } else {
        "writer"
    };
    v1::Endpoint {
        engine: engine.to_owned(),
        address: format!("at-{engine}"),
        zone: "north".to_owned(),
        kind: kind.to_owned(),
        cell: "n1".to_owned(),
        status: status.into(),
        weight: 1.0,
        started_ms: None,
    }
}

pub fn endpoint_list(
    kind: v1::EndpointUpdateKind,
    engines: &[(&str, v1::EndpointStatus)],
) -> v1::EndpointList {
    let endpoints = engines
        .iter()
        .map(|(engine, status)| endpoint(engine, *status))
        .collect();
    v1::EndpointList {
        kind: kind.into(),
        version: 1,
        endpoints,
    }
}

pub fn submit(request_class: &str) -> v1::Submit {
    v1::Submit {
        request_class: request_class.to_owned(),
        session: 1,
        prompt_tokens: 500,
        max_tokens: 50,
        time_to_deadline_ms: 4000.0,
        ..v1::Submit::default()
    }
}

pub fn tokens(position: u32) -> Body {
    Body::Tokens(v1::Tokens {
        position,
        count: 1,
        text: Default::default(),
    })
}

/// An attempt that the dispatcher has sent to an engine.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub connection: EngineConnectionId,
    pub stream: u64,
    pub engine: String,
    /// The KV state that a prefill creates or a decode attempt uses.
    pub state: Option<v1::KvStateId>,
}

/// A dispatcher with prefill engines `r1`, `r2` and decode engines `w1`, `w2`, and all of its outputs.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Ms,
    /// All outputs so far, in order.
    pub out: Vec<Output>,
    /// The name of the engine to which each connection was dialled.
    engines: BTreeMap<EngineConnectionId, String>,
    /// Whether a dialled connection is established before `handle` returns. Otherwise it stays pending.
    pub dials_succeed: bool,
    /// Whether engines answer the dispatcher's pings.
    pub answer_pings: bool,
    /// Whether responsive engines confirm each release before `handle` returns.
    pub confirm_releases_immediately: bool,
    /// Engines that neither confirm releases nor accept connections.
    pub unresponsive: BTreeSet<String>,
    /// Whether unresponsive engines still accept connections. The operating system does so for a process that hangs.
    pub unresponsive_engines_accept: bool,
}

impl Harness {
    pub fn new() -> Self {
        Harness::with(settings())
    }

    pub fn with(settings: ProgramSettings) -> Self {
        let dispatcher = Dispatcher::new(settings, 1);
        let mut harness = Harness {
            dispatcher,
            now: 1000.0,
            out: Vec::new(),
            engines: BTreeMap::new(),
            dials_succeed: true,
            answer_pings: true,
            confirm_releases_immediately: true,
            unresponsive: BTreeSet::new(),
            unresponsive_engines_accept: false,
        };
        let ready = v1::EndpointStatus::Ready;
        let all = [("r1", ready), ("r2", ready), ("w1", ready), ("w2", ready)];
        harness.handle(Input::EndpointsUpdated(endpoint_list(
            v1::EndpointUpdateKind::Snapshot,
            &all,
        )));
        harness
    }

    /// Handles an input and simulates the engines' reactions to its outputs: dialled connections are established, and
    /// pings and releases are answered, unless the harness's fields disable this. Returns the outputs of all steps.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut next = vec![input];
        while let Some(input) = next.pop() {
            let mut out = Vec::new();
            self.dispatcher.handle(self.now, input, &mut out);
            for output in &out {
                match output {
                    Output::Dial {
                        connection, engine, ..
                    } => {
                        self.engines.insert(*connection, engine.0.to_string());
                        let accepts = self.unresponsive_engines_accept
                            || !self.unresponsive.contains(engine.0.as_ref());
                        if self.dials_succeed && accepts {
                            next.push(Input::ConnectionEstablished {
                                connection: *connection,
                                limit: None,
                            });
                        }
                    }
                    Output::ToEngine {
                        connection,
                        frame:
                            Frame {
                                body: Some(Body::Ping(_)),
                                ..
                            },
                    } if self.answer_pings => {
                        let frame = frame(0, Body::Pong(v1::Pong {}));
                        next.push(Input::Engine {
                            connection: *connection,
                            frame,
                        });
                    }
                    Output::ToEngine {
                        connection,
                        frame:
                            Frame {
                                stream,
                                body: Some(Body::Release(_)),
                            },
                    } if self.confirm_releases_immediately
                        && !self.is_unresponsive(*connection) =>
                    {
                        let frame = frame(*stream, Body::Done(v1::Done {}));
                        next.push(Input::Engine {
                            connection: *connection,
                            frame,
                        });
                    }
                    _ => {}
                }
            }
            all.extend(out);
        }
        self.out.extend(all.clone());
        all
    }

    /// Advances the clock by `by` milliseconds and runs each timer of the dispatcher when it is due.
    pub fn advance(&mut self, by: Ms) -> Vec<Output> {
        let until = self.now + by;
        let mut all = Vec::new();
        while let Some(at) = self.dispatcher.next_call_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.handle(Input::Tick));
        }
        self.now = until;
        all.extend(self.handle(Input::Tick));
        all
    }

    /// Handles a message from client connection 1.
    pub fn send_from_client(&mut self, stream: u64, body: Body) -> Vec<Output> {
        self.handle(Input::Client {
            conn: ClientConnectionId(1),
            frame: frame(stream, body),
        })
    }

    pub fn send_from_engine(&mut self, attempt: &SentAttempt, body: Body) -> Vec<Output> {
        self.handle(Input::Engine {
            connection: attempt.connection,
            frame: frame(attempt.stream, body),
        })
    }

    /// Ends an attempt with this status. With `PrefillDone`, the end names the KV state of the attempt.
    pub fn end_attempt(&mut self, attempt: &SentAttempt, status: v1::Status) -> Vec<Output> {
        let state = attempt.state.filter(|_| status == v1::Status::PrefillDone);
        self.send_from_engine(
            attempt,
            Body::Ended(v1::Ended {
                status: status.into(),
                state,
                ..v1::Ended::default()
            }),
        )
    }

    pub fn update_endpoint(&mut self, engine: &str, status: v1::EndpointStatus) -> Vec<Output> {
        self.handle(Input::EndpointsUpdated(endpoint_list(
            v1::EndpointUpdateKind::Delta,
            &[(engine, status)],
        )))
    }

    /// Whether the engine at the other end of a connection is unresponsive.
    pub fn is_unresponsive(&self, connection: EngineConnectionId) -> bool {
        self.engines
            .get(&connection)
            .is_some_and(|engine| self.unresponsive.contains(engine))
    }

    /// The name of the engine at the other end of a connection.
    pub fn engine_of(&self, connection: EngineConnectionId) -> &str {
        &self.engines[&connection]
    }

    /// The attempts that `out` sends to engines.
    pub fn attempts(&self, out: &[Output]) -> Vec<SentAttempt> {
        let attempt = |output: &Output| {
            let Output::ToEngine { connection, frame } = output else {
                return None;
            };
            let state = match &frame.body {
                Some(Body::Prefill(prefill)) => prefill.state,
                Some(Body::Decode(decode)) => decode.state,
                _ => return None,
            };
            Some(SentAttempt {
                connection: *connection,
                stream: frame.stream,
                engine: self.engines.get(connection)?.clone(),
                state,
            })
        };
        out.iter().filter_map(attempt).collect()
    }

    /// Sends a request and returns its prefill attempt.
    pub fn start_prefill(&mut self, stream: u64, request_class: &str) -> SentAttempt {
        let out = self.send_from_client(stream, Body::Submit(submit(request_class)));
        self.attempts(&out)
            .pop()
            .expect("a prefill attempt is sent")
    }

    /// Sends a request, completes its prefill and returns its decode attempt.
    pub fn start_decode(&mut self, stream: u64, request_class: &str) -> SentAttempt {
        let prefill = self.start_prefill(stream, request_class);
        let out = self.end_attempt(&prefill, v1::Status::PrefillDone);
        self.attempts(&out).pop().expect("a decode attempt is sent")
    }

    /// Sends a request, completes its prefill and sends its first token. Returns its decode attempt.
    pub fn start_stream(&mut self, stream: u64, request_class: &str) -> SentAttempt {
        let decode = self.start_decode(stream, request_class);
        self.send_from_engine(&decode, tokens(0));
        decode
    }
}

/// The messages that `out` sends to clients, each with its stream.
pub fn client_messages(out: &[Output]) -> Vec<(u64, Body)> {
    let client_message = |output: &Output| match output {
        Output::ToClient {
            frame: Frame {
                stream,
                body: Some(body),
            },
            ..
        } => Some((*stream, body.clone())),
        _ => None,
    };
    out.iter().filter_map(client_message).collect()
}

/// The final answers that `out` sends to clients, each with its stream.
pub fn final_answers(out: &[Output]) -> Vec<(u64, v1::Answer)> {
    let final_answer = |(stream, body): (u64, Body)| match body {
        Body::Final(message) => Some((stream, message.answer())),
        _ => None,
    };
    client_messages(out)
        .into_iter()
        .filter_map(final_answer)
        .collect()
}

/// The names of the messages that `out` sends to engines.
pub fn engine_message_names(out: &[Output]) -> Vec<&'static str> {
    let message_name = |output: &Output| match output {
        Output::ToEngine { frame, .. } => {
            Some(cindercleat_protocol::message_name(frame.body.as_ref()))
        }
        _ => None,
    };
    out.iter().filter_map(message_name).collect()
}
