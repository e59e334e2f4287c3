//! Whole requests over the platform's protocol: the driver with `Http1` on connections in memory and a paused
//! clock, between clients, engines and a list feed that speak plain HTTP/1.1.

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
    most_body: 10_000,
    most_chunk: 10_000,
    most_list: 10_000,
    most_bodies: 50_000,
    feed_wait_ms: 500,
    drain_ms: 500,
    most_drained: 40_000,
    stall_ms: 4000,
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
    memory: Memory,
    clock: TokioClock,
    driver: Driver<Memory, TokioClock, Http1>,
    /// What engines were asked, `engine: first line id`.
    asked: Rc<RefCell<Vec<String>>>,
    /// How the decode engine answers.
    decode_answer: Rc<Cell<DecodeAnswer>>,
    /// The discovery service that got each call.
    discovery_calls: Rc<RefCell<Vec<String>>>,
    /// How discovery answers.
    discovery_answer: Rc<Cell<DiscoveryAnswer>>,
    stop: Rc<Notify>,
}

#[derive(Clone, Copy, PartialEq)]
enum DiscoveryAnswer {
    Good,
    Silent,
    Noise,
}

#[derive(Clone, Copy, PartialEq)]
enum DecodeAnswer {
    Good,
    Breaks,
    Silent,
    Noise,
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
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let settings = ProgramSettings {
            limits,
            ..settings()
        };
        let locations = Locations {
            discovery: vec!["feed".to_owned()],
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
        let (asked, discovery_calls, stop) = (Rc::default(), Rc::default(), Rc::new(Notify::new()));
        let decode_answer = Rc::new(Cell::new(DecodeAnswer::Good));
        let discovery_answer = Rc::new(Cell::new(DiscoveryAnswer::Good));
        let net = Net {
            memory,
            clock,
            driver,
            asked,
            decode_answer,
            discovery_calls,
            discovery_answer,
            stop,
        };
        for name in ["r1", "w1"] {
            let listener = net.memory.listen(name).await.expect("a name");
            spawn_local(net.clone().engine(name, listener));
        }
        for name in ["feed", "other"] {
            let listener = net.memory.listen(name).await.expect("a name");
            spawn_local(net.clone().discovery(name, listener));
        }
        let listener = net.memory.listen("d").await.expect("a name");
        let (serving, told) = (net.driver.clone(), net.stop.clone());
        spawn_local(async move { serving.serve(listener, told.notified()).await });
        net.wait(50.0).await;
        let within = std::time::Duration::from_secs(120);
        tokio::time::timeout(within, test(net))
            .await
            .expect("the test ends in time");
    });
}

/// The next request of a connection: its head, after its body has come.
async fn request(io: &mut DuplexStream) -> Option<String> {
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
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    io.read_exact(&mut body).await.ok()?;
    Some(head)
}

const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Net {
    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    async fn engine(self, name: &'static str, mut listener: <Memory as Transport>::Listener) {
        while let Ok(mut io) = listener.accept().await {
            let net = self.clone();
            spawn_local(async move {
                while let Some(head) = request(&mut io).await {
                    let id = head
                        .lines()
                        .find_map(|l| l.strip_prefix("X-Txn: "))
                        .unwrap_or("-");
                    let first = head.lines().next().unwrap_or_default();
                    net.asked.borrow_mut().push(format!("{name}: {first} {id}"));
                    net.wait(20.0).await;
                    let answer = net.answer(name, &head, &mut io).await;
                    if io.write_all(answer.as_bytes()).await.is_err() || answer.is_empty() {
                        return;
                    }
                }
            });
        }
    }

    async fn answer(&self, name: &str, head: &str, io: &mut DuplexStream) -> String {
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
                    .write_all(format!("{STREAM}9\r\ndata: a\n\n\r\n").as_bytes())
                    .await;
                self.wait(50.0).await;
                "9\r\ndata: b\n\n\r\n0\r\n\r\n".to_owned()
            }
            DecodeAnswer::Breaks => {
                let _ = io
                    .write_all(format!("{STREAM}9\r\ndata: a\n\n\r\n").as_bytes())
                    .await;
                String::new()
            }
            DecodeAnswer::Silent => {
                self.wait(60_000.0).await;
                String::new()
            }
            DecodeAnswer::Noise => "\u{1}\u{2}\u{3} noise\r\n\r\n".to_owned(),
            DecodeAnswer::NoKvState => {
                self.decode_answer.set(DecodeAnswer::Good);
                "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
        }
    }

    async fn discovery(self, name: &'static str, mut listener: <Memory as Transport>::Listener) {
        while let Ok(mut io) = listener.accept().await {
            let net = self.clone();
            spawn_local(async move {
                while let Some(head) = request(&mut io).await {
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
                    if net.discovery_answer.get() == DiscoveryAnswer::Noise {
                        let _ = io
                            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"revi")
                            .await;
                        continue;
                    }
                    let whole = !head.contains("after=");
                    let lines = [line("r1", "reader"), line("w1", "writer")].join(",");
                    let members = if whole { lines } else { String::new() };
                    if !whole {
                        net.wait(500.0).await;
                    }
                    let text =
                        format!("{{\"revision\":1,\"complete\":{whole},\"members\":[{members}]}}");
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    if io.write_all((head + &text).as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    }

    async fn connect(&self) -> DuplexStream {
        self.memory.connect("d").await.expect("it listens")
    }

    /// Sends a request on a connection of its own and reads all that comes until the connection rests or ends.
    async fn request(&self, id: &str, request_class: &str) -> String {
        let mut io = self.connect().await;
        io.write_all(request_text(id, request_class).as_bytes())
            .await
            .expect("written");
        self.rest_of(&mut io, 6000.0).await
    }

    async fn rest_of(&self, io: &mut DuplexStream, within: f64) -> String {
        let until = self.clock.now() + within;
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

    fn asked(&self, what: &str) -> usize {
        self.asked
            .borrow()
            .iter()
            .filter(|asked| asked.contains(what))
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
fn a_request_is_prefilled_and_decoded_and_its_events_pass_unchanged() {
    run(|net| async move {
        let answer = net.request("a1", "draft").await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(
            answer.ends_with("\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"),
            "{answer}"
        );
        let line = "POST /v1/chat/completions?q=1 HTTP/1.1 a1";
        assert_eq!(
            *net.asked.borrow(),
            [format!("r1: {line}"), format!("w1: {line}")]
        );
        assert_eq!(net.driver.usage().requests, 0);
        net.request("a2", "draft").await;
        assert_eq!(
            net.driver.usage().connections,
            2,
            "connections are used again"
        );
        net.wait(10_000.0).await;
        assert_eq!(
            net.driver.usage().connections,
            0,
            "and closed from this side when they rest"
        );
    });
}

/// The load balancer asks whether the dispatcher is ready. While it stops it must say no, or it is sent requests that
/// it rejects.
#[test]
fn ready_is_said_once_a_list_is_there_and_not_while_stopping() {
    run(|net| async move {
        let ask = || async {
            let mut io = net.connect().await;
            io.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                .await
                .expect("written");
            net.rest_of(&mut io, 100.0).await
        };
        assert!(ask().await.starts_with("HTTP/1.1 200 "));
        net.stop.notify_one();
        net.wait(10.0).await;
        assert!(ask().await.starts_with("HTTP/1.1 503 "));
    });
}

/// The decode engine does not find the request's KV state. Nothing has run, so even a request that must not run twice
/// is prefilled again and served.
#[test]
fn a_kv_state_that_is_gone_is_prefilled_again() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::NoKvState);
        assert!(net.request("a1", "proof").await.ends_with("0\r\n\r\n"));
        assert_eq!((net.asked("r1: POST"), net.asked("w1: POST")), (2, 2));
    });
}

/// A decode engine closes its connection after the first event. The client gets that event and no last chunk, and the
/// request is not sent again.
#[test]
fn a_stream_that_breaks_ends_its_clients_connection_without_the_last_chunk() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Breaks);
        let answer = net.request("a1", "proof").await;
        assert!(answer.ends_with("9\r\ndata: a\n\n\r\n"), "{answer}");
        assert_eq!(net.asked("w1: POST"), 1, "nothing more goes out for it");
        assert_eq!(net.driver.usage().requests, 0);
    });
}

/// A decode engine answers with bytes that are no HTTP. The request may have run: one that must not run twice gets 504,
/// another is sent again.
#[test]
fn noise_in_place_of_an_answer_may_have_run() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Noise);
        let answer = net.request("a1", "proof").await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        assert_eq!(net.asked("w1: POST"), 1, "at most once");
        net.asked.borrow_mut().clear();
        net.request("a2", "draft").await;
        assert!(
            net.asked("w1: POST") > 1,
            "a reissuable one goes out again, on other connections"
        );
    });
}

/// A release may overtake the close of its attempt, over another connection: it is sent again behind it, for some seconds where
/// the attempt's engine does not show that it works.
const RELEASES_BEHIND_A_CLOSE: std::ops::RangeInclusive<usize> = 2..=16;

/// A client disconnects while its decode engine is silent. The attempt is closed and the KV state released, again
/// behind the close of the attempt, as the first release may have overtaken it.
#[test]
fn a_client_that_closes_has_its_attempt_closed_and_what_is_held_let_go() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Silent);
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("written");
        net.wait(100.0).await;
        assert_eq!(net.asked("w1: POST"), 1);
        drop(io);
        net.wait(400.0).await;
        assert_eq!(
            net.asked("DELETE /bootstrap/rooms/a1"),
            2,
            "at once, and behind the close"
        );
        assert_eq!(net.driver.usage().requests, 0);
        net.wait(20_000.0).await;
        let releases = net.asked("DELETE /bootstrap/rooms/a1");
        assert!(RELEASES_BEHIND_A_CLOSE.contains(&releases), "{releases}");
        assert_eq!(net.driver.usage().releases, 0, "and no more");
    });
}

/// A decode engine is silent until the client's deadline. The client gets 504 before that, and the KV state is
/// released.
#[test]
fn a_request_is_answered_before_its_clients_time_is_up() {
    run(|net| async move {
        net.decode_answer.set(DecodeAnswer::Silent);
        let (begin, answer) = (net.clock.now(), net.request("a1", "proof").await);
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        // The connection rests until it is closed; the answer came before.
        assert!(net.driver.usage().requests == 0 && begin > 0.0);
        net.wait(20_000.0).await;
        // One while the attempt is in doubt, the others behind its close.
        let releases = net.asked("DELETE /bootstrap/rooms/a1");
        assert!(
            RELEASES_BEHIND_A_CLOSE.contains(&(releases - 1)),
            "{releases}"
        );
        assert_eq!(net.driver.usage().releases, 0);
    });
}

/// Clients open more connections than there may be and send nothing, or half a request. Those that send requests are
/// still served; silent connections are closed in time, and half a request gets 408.
#[test]
fn silent_connections_by_the_dozen_leave_room_for_those_who_ask() {
    run(|net| async move {
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(net.connect().await);
        }
        net.wait(10.0).await;
        assert!(net.driver.client_connections() <= 10);
        assert!(net.request("a1", "draft").await.ends_with("0\r\n\r\n"));
        for io in &mut silent {
            assert_eq!(net.rest_of(io, 2500.0).await, "", "closed");
        }
        net.wait(2500.0).await;
        let mut io = net.connect().await;
        io.write_all(&request_text("a2", "draft").as_bytes()[..50])
            .await
            .expect("written");
        assert!(net
            .rest_of(&mut io, 2500.0)
            .await
            .starts_with("HTTP/1.1 408 "));
    });
}

/// Discovery gets another address while a request is open. The request is served, and from then on only the new address
/// is called.
#[test]
fn discovery_that_moved_is_followed_while_requests_go_on() {
    run(|net| async move {
        net.driver.set_discovery_addresses(vec!["other".to_owned()]);
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("written");
        net.wait(5.0).await;
        assert_eq!(
            net.discovery_calls.borrow().last().map(String::as_str),
            Some("other")
        );
        assert!(net.rest_of(&mut io, 1000.0).await.ends_with("0\r\n\r\n"));
        net.discovery_calls.borrow_mut().clear();
        net.wait(3000.0).await;
        let calls = net.discovery_calls.borrow().clone();
        assert!(
            calls.len() >= 5 && calls.iter().all(|feed| feed == "other"),
            "{calls:?}"
        );
    });
}

/// Discovery is silent or returns half a list. The known list is used, discovery is called again at a bounded rate, and
/// its list is followed once it answers.
#[test]
fn discovery_that_is_silent_or_unreadable_is_called_again_and_its_list_kept() {
    for answer in [DiscoveryAnswer::Silent, DiscoveryAnswer::Noise] {
        run(|net| async move {
            net.discovery_answer.set(answer);
            net.wait(1000.0).await;
            net.discovery_calls.borrow_mut().clear();
            net.wait(10_000.0).await;
            let calls = net.discovery_calls.borrow().len();
            assert!(
                (3..40).contains(&calls),
                "called again, and not without rest: {calls}"
            );
            assert!(
                net.request("a1", "draft").await.ends_with("0\r\n\r\n"),
                "the list is kept"
            );
            net.discovery_answer.set(DiscoveryAnswer::Good);
            net.discovery_calls.borrow_mut().clear();
            net.wait(4000.0).await;
            assert!(
                net.discovery_calls.borrow().len() >= 2,
                "and followed once it speaks again"
            );
        });
    }
}

/// Discovery's agent was silent and answers again; calls that it has not answered before stay unanswered. What it has
/// then counts as known at once: at whatever phase of the calls it returns, one that it answers comes within the drain
/// grace.
#[test]
fn an_agent_that_was_silent_is_asked_within_the_drain_grace_at_every_phase() {
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
        .expect("room for work")
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
                    "phase {phase}: no call since the return"
                );
                net.discovery_calls.borrow_mut().clear();
                net.wait(3_000.0).await;
                let calls = net.discovery_calls.borrow().len();
                assert!(
                    (4..9).contains(&calls),
                    "and then the watch goes on quietly: {calls} calls"
                );
            },
        );
    }
}

/// The dispatcher is told to stop with a request open, and another comes a moment later. Both are answered, and then
/// the process ends.
#[test]
fn a_stop_answers_what_is_open_and_then_ends() {
    run(|net| async move {
        let mut io = net.connect().await;
        io.write_all(request_text("a1", "draft").as_bytes())
            .await
            .expect("written");
        net.wait(5.0).await;
        net.stop.notify_one();
        net.wait(100.0).await;
        let (mut late, rest) = (net.connect().await, net.connect().await);
        late.write_all(request_text("a2", "draft").as_bytes())
            .await
            .expect("written");
        for (io, what) in [(&mut io, "what was open"), (&mut late, "what still comes")] {
            let answer = net.rest_of(io, 1000.0).await;
            assert!(
                answer.ends_with("0\r\n\r\n"),
                "{what} is answered: {answer}"
            );
            assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
        }
        net.wait(2000.0).await;
        drop(rest);
        assert!(net.memory.connect("d").await.is_err(), "it has ended");
    });
}
