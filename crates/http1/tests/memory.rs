//! How much memory the bytes of peers hold. Measured at the allocator, so that nothing is left out that the product does
//! not count itself; this file therefore has a single test that runs at a time.

use cindercleat_http1::{Bounds, Http1};
use cindercleat_protocol::session::Wire;
use peak_alloc::PeakAlloc;
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
        ..BOUNDS
    })
}

/// The most memory in use, in bytes, while these peers have connections to a dispatcher that answers nothing.
fn peak_with(peers: Vec<AlwaysReadable>) -> usize {
    ALLOCATOR.reset_peak_usage();
    let before = ALLOCATOR.current_usage();
    run(async move {
        let wire = wire();
        let mut sessions = Vec::new();
        for io in peers {
            sessions.push(wire.serve(io, setup()).await.expect("session started"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(sessions);
    });
    ALLOCATOR.peak_usage().saturating_sub(before)
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
    let header = format!("a: {}\r\n", "x".repeat(250));
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
    let at_rest = peak_with(peers("P", "x", 1));
    for (form, beginning, pattern, bytes) in forms {
        let held = peak_with(peers(&beginning, pattern, bytes)).saturating_sub(at_rest);
        let most = LIMIT + PEERS * MAX_BYTES_PER_CONNECTION;
        assert!(
            held <= most,
            "{form}: {PEERS} peers held {} KiB, where {} KiB are allowed",
            held / KIB,
            most / KIB
        );
    }
}
