//! Complete requests over the platform's HTTP/1.1 protocol: the driver with `Http1` on in-memory connections and a
//! paused clock, with simulated clients, engines and discovery.

mod common;

use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::Discovery;
use cindercleat::resource_limits::{ProcessLimits, ResourceLimits};
use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_http1::{Bounds, Http1};
use cindercleat_net::{Clock, Listener, Memory, TokioClock, Transport};
use common::{settings, single_limits};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

const BOUNDS: Bounds = Bounds {
    max_body_bytes: 10_000,
    max_chunk_bytes: 10_000,
    max_list_bytes: 10_000,
    max_listed_engines: 4096,
    max_total_body_bytes: 50_000,
    max_total_response_bytes: 50_000,
    discovery_wait_ms: 500,
    drain_timeout_ms: 500,
    max_drained_bytes: 40_000,
    write_stall_timeout_ms: 4000,
};

const DISCOVERY: DiscoverySettings = DiscoverySettings {
    connect_timeout: 250.0,
    first_answer_timeout: 1000.0,
    silence_timeout: 1000.0,
    initial_backoff: 100.0,
    max_backoff: 1000.0,
    resume_from_known_version: false,
};

#[derive(Clone)]
struct Net {
    /// The in-memory transport of the dispatcher, its clients, the engines and discovery.
    memory: Memory,
    clock: TokioClock,
    driver: Driver<Memory, TokioClock, Http1>,
    /// The requests that engines have received, in order. Each entry has the form `engine: request-line id`.
    engine_requests: Rc<RefCell<Vec<String>>>,
    /// The current behaviour of the decode engine.
    decode_answer: Rc<Cell<DecodeAnswer>>,
    /// The name of the discovery service that received each call, in order.
    discovery_calls: Rc<RefCell<Vec<String>>>,
    /// Both engines send each answer once more, this many milliseconds after the first one.
    second_answer_after: Rc<Cell<Option<f64>>>,
    /// The current behaviour of discovery.
    discovery_answer: Rc<Cell<DiscoveryAnswer>>,
    stop: Rc<Notify>,
}

#[derive(Clone, Copy, PartialEq)]
enum DiscoveryAnswer {
    Good,
    /// Sends its answer only after 60 s.
    Silent,
    /// Sends half of a list.
    Garbage,
}

#[derive(Clone, Copy, PartialEq)]
enum DecodeAnswer {
    Good,
    /// Sends one event with the id of the request.
    RequestId,
    /// Closes the connection after the first event.
    Breaks,
    /// Closes the connection after 60 s without an answer.
    Silent,
    /// Answers with bytes that are not HTTP.
    Garbage,
    /// Rejects the first request because its KV state is not found.
    NoKvState,
}

fn limits() -> Limits {
    Limits {
        connection_idle_timeout: 5000.0,
        max_client_connections: 10,
        stop_accept_period: 500.0,
        discovery: DISCOVERY,
        ..single_limits()
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    run_with(limits(), test);
}

fn run_with<F: Future<Output = ()>>(limits: Limits, test: impl FnOnce(Net) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime is built"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let settings = ProgramSettings {
            limits,
            ..settings()
        };
        let locations = Locations {
            discovery: vec!["discovery".to_owned()],
            ..Locations::default()
        };
        let driver = Driver::with_wire(
            Http1::new(BOUNDS),
            settings,
            locations,
            memory.clone(),
            clock,
            1,
        );
        let (engine_requests, discovery_calls, stop) =
            (Rc::default(), Rc::default(), Rc::new(Notify::new()));
        let decode_answer = Rc::new(Cell::new(DecodeAnswer::Good));
        let discovery_answer = Rc::new(Cell::new(DiscoveryAnswer::Good));
        let net = Net {
            memory,
            clock,
            driver,
            engine_requests,
            decode_answer,
            second_answer_after: Rc::default(),
            discovery_calls,
            discovery_answer,
            stop,
        };
        for name in ["r1", "w1"] {
            let listener = net.memory.listen(name).await.expect("name is free");
            spawn_local(net.clone().run_engine(name, listener));
        }
        for name in ["discovery", "other"] {
            let listener = net.memory.listen(name).await.expect("name is free");
            spawn_local(net.clone().run_discovery(name, listener));
        }
        let listener = net.memory.listen("d").await.expect("name is free");
        let (serving, stop_signal) = (net.driver.clone(), net.stop.clone());
        spawn_local(async move { serving.serve(listener, stop_signal.notified()).await });
        net.wait(50.0).await;
        let time_limit = std::time::Duration::from_secs(120);
        tokio::time::timeout(time_limit, test(net))
            .await
            .expect("the test ends within its time limit");
    });
}

/// Reads the next request with its body, and returns its head; `None` once the connection has ended.
async fn read_request(io: &mut DuplexStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        text.push(io.read_u8().await.ok()?);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(text).ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |line| line.parse().unwrap());
    let mut body = vec![0; length];
    io.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// The id in the head of a request to an engine; `-` if there is none.
fn request_id(head: &str) -> &str {
    head.lines()
        .find_map(|line| line.strip_prefix("X-Txn: "))
        .unwrap_or("-")
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Net {
    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    async fn run_engine(self, name: &'static str, mut listener: <Memory as Transport>::Listener) {
        while let Ok(mut io) = listener.accept().await {
            let net = self.clone();
            spawn_local(async move {
                while let Some(head) = read_request(&mut io).await {
                    let id = request_id(&head);
                    let first = head.lines().next().unwrap_or_default();
                    net.engine_requests
                        .borrow_mut()
                        .push(format!("{name}: {first} {id}"));
                    net.wait(20.0).await;
                    let answer = net.engine_answer(name, &head, &mut io).await;
                    if io.write_all(answer.as_bytes()).await.is_err() || answer.is_empty() {
                        return;
                    }
                    if let Some(delay) = net.second_answer_after.get() {
                        net.wait(delay).await;
                        let _ = io.write_all(answer.as_bytes()).await;
                    }
                }
            });
        }
    }

    async fn engine_answer(&self, name: &str, head: &str, io: &mut DuplexStream) -> String {
        if head.starts_with("DELETE") {
            return "HTTP/1.1 204 No Content\r\n\r\n".to_owned();
        }
        if name == "r1" {
            return "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"
                .to_owned();
        }
        match self.decode_answer.get() {
            DecodeAnswer::Good => {
                let _ = io
                    .write_all(format!("{STREAM_HEAD}9\r\ndata: a\n\n\r\n").as_bytes())
                    .await;
                self.wait(50.0).await;
                "9\r\ndata: b\n\n\r\n0\r\n\r\n".to_owned()
            }
            DecodeAnswer::RequestId => {
                let id = request_id(head);
                let event = format!("data: {id}\n\n");
                format!("{STREAM_HEAD}{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
            }
            DecodeAnswer::Breaks => {
                let _ = io
                    .write_all(format!("{STREAM_HEAD}9\r\ndata: a\n\n\r\n").as_bytes())
                    .await;
                String::new()
            }
            DecodeAnswer::Silent => {
                self.wait(60_000.0).await;
                String::new()
            }
            DecodeAnswer::Garbage => "\u{1}\u{2}\u{3} garbage\r\n\r\n".to_owned(),
            DecodeAnswer::NoKvState => {
                self.decode_answer.set(DecodeAnswer::Good);
                "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
        }
    }

    async fn run_discovery(
        self,
        name: &'static str,
        mut listener: <Memory as Transport>::Listener,
    ) {
        while let Ok(mut io) = listener.accept().await {
            let net = self.clone();
            spawn_local(async move {
                while let Some(head) = read_request(&mut io).await {
                    net.discovery_calls.borrow_mut().push(name.to_owned());
                    let line = |id: &str, kind: &str| {
                        format!(
                            "{{\"id\":\"{id}\",\"host_port\":\"{id}\",\"locality\":\"north\",\
                             \"flavor\":\"{kind}\",\"cell\":0,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0}}"
                        )
                    };
                    if net.discovery_answer.get() == DiscoveryAnswer::Silent {
                        net.wait(60_000.0).await;
                    }
                    if net.discovery_answer.get() == DiscoveryAnswer::Garbage {
                        let _ = io
                            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"revi")
                            .await;
                        continue;
                    }
                    let complete = !head.contains("after=");
                    let lines = [line("r1", "reader"), line("w1", "writer")].join(",");
                    let members = if complete { lines } else { String::new() };
                    if !complete {
                        net.wait(500.0).await;
                    }
                    let text = format!(
                        "{{\"revision\":1,\"complete\":{complete},\"members\":[{members}]}}"
                    );
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    if io.write_all((head + &text).as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    async fn connect(&self) -> DuplexStream {
        self.memory
            .connect("d")
            .await
            .expect("dispatcher accepts connections")
    }

    /// Sends a request on a new connection. Returns what is received until the last chunk of the answer, the end of the
    /// connection, or 6 s later.
    async fn send_request(&self, id: &str, request_class: &str) -> String {
        let mut io = self.connect().await;
        io.write_all(request_text(id, request_class).as_bytes())
            .await
            .expect("bytes are written");
        self.read_answer(&mut io, 6000.0).await
    }

    /// Returns what is received until the last chunk of the answer, the end of the connection, or `max_wait`
    /// milliseconds later.
    async fn read_answer(&self, io: &mut DuplexStream, max_wait: f64) -> String {
        let until = self.clock.now() + max_wait;
        let mut text = Vec::new();
        loop {
            let mut part = [0; 1000];
            tokio::select! { biased;
                read = io.read(&mut part) => match read {
                    Ok(0) | Err(_) => break,
                    Ok(bytes) => text.extend_from_slice(&part[..bytes]),
                },
                () = self.clock.sleep_until(until) => break,
            }
            if text.ends_with(b"0\r\n\r\n") {
                break;
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// The number of entries in `engine_requests` that contain `part`.
    fn count_engine_requests(&self, part: &str) -> usize {
        self.engine_requests
            .borrow()
            .iter()
            .filter(|request| request.contains(part))
            .count()
    }
}

fn request_text(id: &str, request_class: &str) -> String {
    format!(
        "POST /v1/chat/completions?q=1 HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: {request_class}\r\n\
         X-Remaining-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

#[test]
fn a_request_is_prefilled_and_decoded_and_its_events_are_forwarded_unchanged() {
    run(|net| async move {
        let answer = net.send_request("a1", "draft").await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(
            answer.ends_with("\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"),
            "{answer}"
        );
        let line = "POST /v1/chat/completions?q=1 HTTP/1.1 a1";
        assert_eq!(
            *net.engine_requests.borrow(),
            [format!("r1: {line}"), format!("w1: {line}")]
        );
        assert_eq!(net.driver.usage().requests, 0);
        net.wait(100.0).await;
        net.send_request("a2", "draft").await;
        assert_eq!(
            net.driver.usage().connections,
            2,
            "idle connections are reused"
        );
        net.wait(10_000.0).await;
        assert_eq!(
            net.driver.usage().connections,
            0,
            "the dispatcher closes connections that stay idle"
        );
    });
}

/// The load balancer asks whether the dispatcher is ready. A stopping dispatcher must answer 503. Otherwise
/// the load balancer continues to send requests, which the dispatcher rejects.
#[test]
fn readiness_is_reported_with_an_endpoint_list_and_not_while_stopping() {
    run(|net| async move {
        let get_readiness = || async {
            let mut io = net.connect().await;
            io.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                .await
                .expect("bytes are written");
            net.read_answer(&mut io, 100.0).await
        };
        assert!(get_readiness().await.starts_with("HTTP/1.1 200 "));
        net.stop.notify_one();
        net.wait(10.0).await;
        assert!(get_readiness().await.starts_with("HTTP/1.1 503 "));
    });
}

/// The decode engine does not find the request's KV state. The request has not run, so even an at-most-once request
/// is prefilled again and served.
#[test]
fn a_request_whose_kv_state_is_gone_is_prefilled_again() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::NoKvState);
        assert!(net.send_request("a1", "proof").await.ends_with("0\r\n\r\n"));
        assert_eq!(
            (
                net.count_engine_requests("r1: POST"),
                net.count_engine_requests("w1: POST")
            ),
            (2, 2)
        );
    });
}

/// A decode engine closes its connection after the first event. The client gets that event and no last chunk, and
/// the request is not sent again.
#[test]
fn a_broken_stream_closes_the_clients_connection_without_a_last_chunk() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Breaks);
        let answer = net.send_request("a1", "proof").await;
        assert!(answer.ends_with("9\r\ndata: a\n\n\r\n"), "{answer}");
        assert_eq!(
            net.count_engine_requests("w1: POST"),
            1,
            "no further attempt is sent"
        );
        assert_eq!(net.driver.usage().requests, 0);
    });
}

/// A decode engine answers with bytes that are not HTTP. The request may have run: an at-most-once request gets 504,
/// and any other request is retried.
#[test]
fn a_request_with_an_unreadable_answer_may_have_run() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Garbage);
        let answer = net.send_request("a1", "proof").await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        assert_eq!(
            net.count_engine_requests("w1: POST"),
            1,
            "an at-most-once request is sent once"
        );
        net.engine_requests.borrow_mut().clear();
        net.send_request("a2", "draft").await;
        assert!(
            net.count_engine_requests("w1: POST") > 1,
            "an idempotent request is sent again on other connections"
        );
    });
}

/// Guards against foreign answers: engines send each answer twice, the second one some milliseconds late, while requests
/// of several clients follow each other closely. Each client must receive the answer to its own request.
#[test]
fn a_second_answer_of_an_engine_never_reaches_another_client() {
    for delay in [0.5, 2.0, 5.0, 8.0, 20.0, 50.0, 90.0] {
        run(|net| async move {
            net.decode_answer.set(DecodeAnswer::RequestId);
            net.second_answer_after.set(Some(delay));
            let clients = [3.0, 7.0, 11.0, 13.0].map(|pause| client_checks_answers(&net, pause));
            let [a, b, c, d] = clients;
            tokio::join!(a, b, c, d);
        });
    }
}

/// Sends requests one after another, with a pause between them, and requires the answer to each.
async fn client_checks_answers(net: &Net, pause: f64) {
    for number in 0..20 {
        let id = format!("{pause}-{number}");
        let answer = net.send_request(&id, "proof").await;
        assert!(
            answer.ends_with(&format!("\r\ndata: {id}\n\n\r\n0\r\n\r\n")),
            "second answers {:?} ms late, request {id}: {answer}",
            net.second_answer_after.get()
        );
        net.wait(pause).await;
    }
}

/// The number of releases after the close of an attempt. The close goes over another connection, and a release may
/// overtake it. The release is therefore repeated for some seconds, unless a later answer of the attempt's engine shows
/// that the engine works.
const RELEASES_AFTER_CLOSE: std::ops::RangeInclusive<usize> = 2..=16;

/// A client disconnects while its decode engine is unresponsive. The attempt is closed and the KV state released.
/// The release is repeated after the close of the attempt, as the first one may have overtaken the close.
#[test]
fn a_client_that_disconnects_has_its_attempt_closed_and_its_kv_state_released() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Silent);
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("bytes are written");
        net.wait(100.0).await;
        assert_eq!(net.count_engine_requests("w1: POST"), 1);
        drop(io);
        net.wait(400.0).await;
        assert_eq!(
            net.count_engine_requests("DELETE /bootstrap/rooms/a1"),
            2,
            "one release immediately, one after the close"
        );
        assert_eq!(net.driver.usage().requests, 0);
        net.wait(20_000.0).await;
        let releases = net.count_engine_requests("DELETE /bootstrap/rooms/a1");
        assert!(RELEASES_AFTER_CLOSE.contains(&releases), "{releases}");
        assert_eq!(net.driver.usage().releases, 0, "no release is pending");
    });
}

/// A decode engine is unresponsive until the client's deadline. The client gets 504 before that, and the KV state is
/// released.
#[test]
fn a_request_is_answered_before_its_deadline() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Silent);
        let (begin, answer) = (net.clock.now(), net.send_request("a1", "proof").await);
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        // The connection stays open after the answer, so the read ends only at its own time limit.
        assert!(net.driver.usage().requests == 0 && begin > 0.0);
        net.wait(20_000.0).await;
        // One release is sent while the attempt's delivery is unknown, the others after its close.
        let releases = net.count_engine_requests("DELETE /bootstrap/rooms/a1");
        assert!(RELEASES_AFTER_CLOSE.contains(&(releases - 1)), "{releases}");
        assert_eq!(net.driver.usage().releases, 0);
    });
}

/// Clients open more connections than the limit and send nothing, or half a request. Clients that send complete
/// requests are still served. Connections without a request are closed in time, and half a request gets 408.
#[test]
fn idle_connections_do_not_keep_out_clients_with_requests() {
    run(|net| async move {
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(net.connect().await);
        }
        net.wait(10.0).await;
        assert!(net.driver.client_connections() <= 10);
        assert!(net.send_request("a1", "draft").await.ends_with("0\r\n\r\n"));
        for io in &mut silent {
            assert_eq!(
                net.read_answer(io, 2500.0).await,
                "",
                "the connection is closed without an answer"
            );
        }
        net.wait(2500.0).await;
        let mut io = net.connect().await;
        io.write_all(&request_text("a2", "draft").as_bytes()[..50])
            .await
            .expect("bytes are written");
        assert!(net
            .read_answer(&mut io, 2500.0)
            .await
            .starts_with("HTTP/1.1 408 "));
    });
}

/// Discovery's address changes while a request is open. The request is served, and from then on only the new address
/// is called.
#[test]
fn a_changed_discovery_address_is_used_while_requests_continue() {
    run(|net| async move {
        net.driver.set_discovery_addresses(vec!["other".to_owned()]);
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("bytes are written");
        net.wait(5.0).await;
        assert_eq!(
            net.discovery_calls.borrow().last().map(String::as_str),
            Some("other")
        );
        assert!(net
            .read_answer(&mut io, 1000.0)
            .await
            .ends_with("0\r\n\r\n"));
        net.discovery_calls.borrow_mut().clear();
        net.wait(3000.0).await;
        let calls = net.discovery_calls.borrow().clone();
        assert!(
            calls.len() >= 5 && calls.iter().all(|service| service == "other"),
            "{calls:?}"
        );
    });
}

/// Discovery does not answer or returns half a list. The known list is used, discovery is called again at a bounded
/// rate, and its updates are applied once it answers.
#[test]
fn discovery_that_does_not_answer_or_sends_half_a_list_is_called_again() {
    for answer in [DiscoveryAnswer::Silent, DiscoveryAnswer::Garbage] {
        run(|net| async move {
            net.discovery_answer.set(answer);
            net.wait(1000.0).await;
            net.discovery_calls.borrow_mut().clear();
            net.wait(10_000.0).await;
            let calls = net.discovery_calls.borrow().len();
            assert!(
                (3..40).contains(&calls),
                "discovery is called again at a bounded rate: {calls} calls"
            );
            assert!(
                net.send_request("a1", "draft").await.ends_with("0\r\n\r\n"),
                "the known list is still used"
            );
            net.discovery_answer.set(DiscoveryAnswer::Good);
            net.discovery_calls.borrow_mut().clear();
            net.wait(4000.0).await;
            assert!(
                net.discovery_calls.borrow().len() >= 2,
                "the watch continues once discovery answers again"
            );
        });
    }
}

/// Discovery's agent was unresponsive and answers again; earlier calls stay unanswered. From that moment its list
/// counts as current. The next call must therefore reach the agent within the drain grace period, no matter when
/// between two calls the agent begins to answer.
#[test]
fn an_agent_that_responds_again_is_called_within_the_drain_grace_period() {
    let process = ProcessLimits {
        memory_bytes: 64e6,
        file_descriptors: 256,
        connect_timeout: 250.0,
        discovery: Discovery::Pushed,
        drain_grace: 500.0,
        engine_idle_timeout: None,
        max_open_requests: None,
        longest_time_to_deadline: 4_000.0,
        clients_resume: false,
    };
    let discovery = ResourceLimits::for_process(&process)
        .expect("limits leave room for requests")
        .discovery;
    for phase in 0..25 {
        run_with(
            Limits {
                discovery,
                ..limits()
            },
            |net| async move {
                net.discovery_answer.set(DiscoveryAnswer::Silent);
                net.wait(4_000.0 + 17.0 * f64::from(phase)).await;
                net.discovery_calls.borrow_mut().clear();
                net.discovery_answer.set(DiscoveryAnswer::Good);
                net.wait(425.0).await;
                assert!(
                    !net.discovery_calls.borrow().is_empty(),
                    "phase {phase}: discovery is called within 425 ms after it begins to answer"
                );
                net.discovery_calls.borrow_mut().clear();
                net.wait(3_000.0).await;
                let calls = net.discovery_calls.borrow().len();
                assert!(
                    (4..9).contains(&calls),
                    "the watch then continues at its normal rate: {calls} calls"
                );
            },
        );
    }
}

/// The dispatcher is told to stop with a request open, and another request comes a moment later. Both are answered,
/// and then the dispatcher stops serving.
#[test]
fn a_stop_answers_open_requests_before_the_dispatcher_ends() {
    run(|net| async move {
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("bytes are written");
        net.wait(5.0).await;
        net.stop.notify_one();
        net.wait(100.0).await;
        let (mut late_client, idle_client) = (net.connect().await, net.connect().await);
        late_client
            .write_all(request_text("a2", "draft").as_bytes())
            .await
            .expect("bytes are written");
        for (io, name) in [
            (&mut io, "the open request"),
            (&mut late_client, "the late request"),
        ] {
            let answer = net.read_answer(io, 1000.0).await;
            assert!(
                answer.ends_with("0\r\n\r\n"),
                "{name} is answered: {answer}"
            );
            assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
        }
        net.wait(2000.0).await;
        drop(idle_client);
        assert!(
            net.memory.connect("d").await.is_err(),
            "the dispatcher has stopped listening"
        );
    });
}
