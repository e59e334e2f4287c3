//! How much memory the bytes of peers hold. Measured at the allocator, so that nothing is left out that the product does
//! not count itself; this file therefore has a single test that runs at a time.

use cindercleat_http1::{Bounds, Http1};
use cindercleat_protocol::session::{Outbox, Wire};
use cindercleat_protocol::{frame, v1, Body};
use peak_alloc::PeakAlloc;
use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;

mod common;

use common::*;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Held by the test that runs, because the allocator measures the whole process.
static MEASURING: Mutex<()> = Mutex::new(());

const KIB: usize = 1 << 10;
const PEERS: usize = 150;
const MAX_BODY_BYTES: usize = 256 * KIB;
/// What the bytes of all peers of a kind may hold together.
const LIMIT: usize = 4096 * KIB;
/// What a connection may hold beyond that and beyond what it holds at rest: a head, and the buffer of one read.
const MAX_BYTES_PER_CONNECTION: usize = 32 * KIB;

fn wire() -> Http1 {
    Http1::new(Bounds {
        max_body_bytes: MAX_BODY_BYTES,
        max_chunk_bytes: MAX_BODY_BYTES,
        max_total_body_bytes: LIMIT,
        max_total_response_bytes: LIMIT,
        max_list_bytes: LIMIT,
        max_listed_engines: LIMIT / KIB,
        ..BOUNDS
    })
}

/// Requires that peers hold no more than their limit, and a small buffer a connection, beyond what they hold at rest.
fn require_bounded(form: &str, held: usize, at_rest: usize) {
    let most = LIMIT + PEERS * MAX_BYTES_PER_CONNECTION;
    let held = held.saturating_sub(at_rest);
    assert!(
        held <= most,
        "{form}: {PEERS} peers held {} KiB, where {} KiB are allowed",
        held / KIB,
        most / KIB
    );
}

/// The most memory in use, in bytes, while `test` runs.
fn peak_of(test: impl Future<Output = ()>) -> usize {
    ALLOCATOR.reset_peak_usage();
    let before = ALLOCATOR.current_usage();
    run(test);
    ALLOCATOR.peak_usage().saturating_sub(before)
}

/// The most memory in use while these clients have connections to a dispatcher that answers nothing.
fn peak_with_clients(peers: Vec<AlwaysReadable>) -> usize {
    peak_of(async move {
        let wire = wire();
        let mut sessions = Vec::new();
        for io in peers {
            sessions.push(wire.serve(io, setup()).await.expect("session started"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        sessions.iter().for_each(|session| session.out.close());
        drop(sessions);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(wire.buffered_bytes(), 0, "all is freed with its connection");
    })
}

/// The most memory in use while these engines answer a call each, and nothing of their answers is taken over.
fn peak_with_engines(peers: Vec<AlwaysReadable>, call: Body) -> usize {
    peak_of(async move {
        let wire = wire();
        let mut sessions = Vec::new();
        for io in peers {
            let session = wire
                .connect(io.answering(), v1::Party::Engine, setup())
                .await
                .expect("session started");
            session.out.send(frame(1, call.clone()));
            sessions.push(session);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(sessions);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            wire.buffered_response_bytes(),
            0,
            "all is freed with its connection"
        );
    })
}

/// Peers that send a beginning, then a pattern up to `bytes` in all, and stay.
fn peers(beginning: &str, pattern: &str, bytes: usize) -> Vec<AlwaysReadable> {
    (0..PEERS)
        .map(|_| AlwaysReadable::new(beginning, pattern, bytes).0.staying())
        .collect()
}

/// Guards against a process that is killed for its memory: clients that stop in the middle of a request and stay, with
/// what they have sent in any form.
#[test]
fn clients_that_stop_within_a_request_hold_no_more_memory_than_is_counted() {
    let _guard = MEASURING.lock();
    let nearly_all = MAX_BODY_BYTES - KIB;
    let known_length = |length: usize| format!("{REQUEST_HEAD}Content-Length: {length}\r\n\r\n");
    let small_chunk = format!("100\r\n{}\r\n", "x".repeat(256));
    let header = format!("a: {}\r\n", "x".repeat(500));
    let forms = [
        ("one chunk", chunked_head() + "3fff0\r\n", "x", nearly_all),
        ("small chunks", chunked_head(), &*small_chunk, nearly_all),
        (
            "a known length",
            known_length(MAX_BODY_BYTES),
            "x",
            nearly_all,
        ),
        ("a head", REQUEST_HEAD.to_owned(), &*header, 15 * KIB),
        ("one header", REQUEST_HEAD.to_owned() + "a: ", "x", 15 * KIB),
        (
            "input behind an open request",
            request_text("{}"),
            "x",
            nearly_all,
        ),
    ];
    let at_rest = peak_with_clients(peers("P", "x", 1));
    for (form, beginning, pattern, bytes) in forms {
        let held = peak_with_clients(peers(&beginning, pattern, bytes));
        require_bounded(form, held, at_rest);
    }
}

/// Guards against a process that is killed for its memory: engines whose answers do not end, and answers that no client
/// reads.
#[test]
fn answers_of_engines_hold_no_more_memory_than_is_counted() {
    const EVENT: &str = "data: a\n\n";
    let _guard = MEASURING.lock();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let call = || {
        Body::Decode(v1::Decode {
            origin: Some(v1::Origin::default()),
            window: 32,
            ..v1::Decode::default()
        })
    };
    let comment_chunk = format!("100\r\n:{}\n\r\n", "x".repeat(254));
    let large_event = format!("3e80\r\ndata: {}\n\n\r\n", "x".repeat(15_992));
    let small_event = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    let forms = [
        ("one chunk", head.clone() + "3fff0\r\n", "x", 255 * KIB),
        ("no event", head.clone(), &*comment_chunk, 255 * KIB),
        (
            "a chunk behind an event",
            format!("{head}{small_event}3fff0\r\n"),
            "x",
            255 * KIB,
        ),
        ("large events", head.clone(), &*large_event, 1024 * KIB),
        ("small events", head.clone(), &*small_event, 1024 * KIB),
    ];
    let at_rest = peak_with_engines(peers("H", "x", 1), call());
    for (form, beginning, pattern, bytes) in forms {
        let held = peak_with_engines(peers(&beginning, pattern, bytes), call());
        require_bounded(form, held, at_rest);
    }
}

/// Guards against a process that is killed for its memory: lists that are much larger in memory than they are in JSON.
#[test]
fn a_list_of_discovery_holds_little_more_memory_than_its_bytes() {
    let _guard = MEASURING.lock();
    let entry = "{\"id\":\"\",\"host_port\":\"\",\"locality\":\"\",\"flavor\":\"\",\"cell\":0,\"phase\":\"\"},";
    let head = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":1,\"complete\":true,\"members\":[";
    let forms = [
        ("small entries", head.to_owned(), entry),
        (
            "a cell that is a long list",
            format!("{head}{{\"cell\":["),
            "0,",
        ),
        ("an unknown field", head.replace("members", "unknown"), "0,"),
        ("a long name", format!("{head}{{\"id\":\""), "x"),
    ];
    for (form, beginning, pattern) in forms {
        let (io, _) = AlwaysReadable::new(&beginning, pattern, LIMIT - KIB);
        let held = peak_of(async move {
            let mut session = wire()
                .connect(io.answering(), v1::Party::Feed, setup())
                .await
                .expect("session started");
            session.out.send(frame(
                1,
                Body::WatchEndpoints(v1::WatchEndpoints::default()),
            ));
            let answer = next_body(&mut session).await;
            assert!(matches!(answer, Some((1, Body::Goodbye(_)))), "{form}");
        });
        assert!(
            held <= 4 * LIMIT,
            "{form}: a list of {} KiB held {} KiB",
            LIMIT / KIB,
            held / KIB
        );
    }
}

/// Guards against a list that is refused although it is one of the platform's largest: 3,200 engines, indented.
#[test]
fn a_list_of_the_largest_fleet_is_taken() {
    let _guard = MEASURING.lock();
    let entry = |number: usize| {
        format!(
            "{{\n  \"id\": \"s-{number:032x}\",\n  \"host_port\": \"10.1.0.18:{number}\",\n  \"locality\": \"a\",\n  \
             \"flavor\": \"m2\",\n  \"cell\": {number},\n  \"phase\": \"up\",\n  \"size\": 1.0,\n  \"up_since_ms\": 0\n}}"
        )
    };
    let entries: Vec<String> = (0..3_200).map(entry).collect();
    let list = format!(
        "{{\"members\": [{}], \"revision\": 7, \"complete\": true}}\n",
        entries.join(", ")
    );
    let list = cindercleat_http1::parse_list(list.as_bytes(), LIMIT / KIB).expect("list accepted");
    assert_eq!((list.version, list.endpoints.len()), (7, 3_200));
    assert_eq!(list.endpoints[3_199].cell, "3199");
    assert!(cindercleat_http1::parse_list(b"{\"revision\":1,\"complete\":true}", 1).is_err());
}
