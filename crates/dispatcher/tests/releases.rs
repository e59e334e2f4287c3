//! Releases of KV states that an open attempt may still need: a release that is confirmed while the attempt is open
//! may have had no effect.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input};
use cindercleat_protocol::v1::Status;
use common::engines::*;
use common::*;

/// Milliseconds after which a close and a call, sent at the same moment on two connections, have both arrived. They
/// arrive within a few round trips, in either order.
const REORDERING_WINDOW_MS: f64 = 20.0;

/// Returns the milliseconds until a release of the request is sent to a responsive engine. Releases in the first
/// `ignored_ms` are not counted. Returns `None` if no release is sent within 4 s.
fn time_until_released(harness: &mut Harness, request_id: u64, ignored_ms: f64) -> Option<f64> {
    let since = harness.now;
    harness.advance(ignored_ms);
    while harness.now - since < 4_000.0 {
        let out = harness.advance(5.0);
        if release_arrives(harness, request_id, &out) {
            return Some(harness.now - since);
        }
    }
    None
}

/// Starts a decode attempt at an engine that then hangs: its machine still accepts connections, and the engine answers
/// no call.
fn start_decode_at_hanging_engine(
    harness: &mut Harness,
    request_id: u64,
    class: &str,
) -> SentAttempt {
    harness.unresponsive_engines_accept = true;
    warm_up(harness);
    let decode = start_decode(harness, request_id, class);
    make_unresponsive(harness, &[decode.engine.as_str()]);
    decode
}

/// A decode engine hangs with an attempt that needs a KV state. A release that is confirmed while the attempt is open
/// may have no effect, so the release is sent again after the end of the attempt.
#[test]
fn a_release_confirmed_during_an_attempt_is_sent_again_after_it() {
    for ends_by_deadline in [false, true] {
        let mut harness = harness();
        start_decode_at_hanging_engine(&mut harness, 1, "proof");
        let first_release_ms = time_until_released(&mut harness, 1, 0.0)
            .expect("a release is sent while the attempt is open");
        assert!(
            first_release_ms <= release_limit(),
            "the release is sent after {first_release_ms} ms"
        );
        harness.advance(1_000.0);
        if ends_by_deadline {
            let output_count = harness.out.len();
            while final_answers(&harness.out[output_count..]).is_empty() {
                harness.advance(5.0);
            }
        } else {
            harness.handle(Input::ClientClosed {
                conn: ClientConnectionId(1),
            });
        }
        let second_release_ms = time_until_released(&mut harness, 1, 0.0)
            .expect("a release is sent after the end of the attempt");
        assert!(
            second_release_ms <= release_limit(),
            "ended by the deadline: {ends_by_deadline}; the release is sent {second_release_ms} ms after the end of the attempt"
        );
    }
}

/// A client leaves while its attempt is at an engine that hangs. The close of the attempt and the release go over
/// two connections and may arrive in either order, so the release is sent again.
#[test]
fn a_release_that_may_overtake_the_close_of_its_attempt_is_repeated() {
    for class in ["draft", "proof"] {
        let mut harness = harness();
        start_decode_at_hanging_engine(&mut harness, 1, class);
        harness.advance(13.0);
        harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let second_release_ms = time_until_released(&mut harness, 1, REORDERING_WINDOW_MS)
            .expect("a release is sent after the close");
        assert!(
            second_release_ms <= release_limit(),
            "{class}: the release is sent {second_release_ms} ms after the close"
        );
    }
}

/// Serves requests until one is decoded at the engine. This shows the dispatcher that the engine works.
fn serve_request_at(harness: &mut Harness, engine: &str) {
    for request_id in 5_000.. {
        let decode = start_decode(harness, request_id, "draft");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, Status::Succeeded);
        if decode.engine == engine {
            return;
        }
    }
}

/// A client leaves, and the engine of its attempt serves another request afterwards. The engine has then noticed the
/// close of the attempt, so a release that is confirmed after that is the last one.
#[test]
fn a_release_confirmed_after_the_engine_has_worked_is_the_last() {
    for class in ["draft", "proof"] {
        let mut harness = harness();
        warm_up(&mut harness);
        let decode = start_decode(&mut harness, 1, class);
        harness.advance(13.0);
        let out = harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        assert_eq!(
            connections_with_releases_of(1, &out).len(),
            1,
            "{class}: a release is sent immediately"
        );
        serve_request_at(&mut harness, &decode.engine);
        let out = harness.advance(release_limit());
        assert_eq!(
            connections_with_releases_of(1, &out).len(),
            1,
            "{class}: one more release is sent after the close"
        );
        let out = harness.advance(20_000.0);
        assert_eq!(
            (
                connections_with_releases_of(1, &out),
                harness.dispatcher.usage().releases
            ),
            (vec![], 0),
            "{class}"
        );
    }
}

/// A hanging engine may notice the close of its attempt at any time, and the KV state timeout counts from that time.
/// The interval between releases must therefore never exceed the release limit.
#[test]
fn a_release_follows_in_time_no_matter_when_a_hanging_engine_notices_the_close() {
    for class in ["draft", "proof"] {
        let mut harness = harness();
        start_decode_at_hanging_engine(&mut harness, 1, class);
        harness.advance(300.0);
        harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let closed_at = harness.now;
        let mut last_release = closed_at;
        while last_release - closed_at < 4_000.0 {
            let wait = time_until_released(&mut harness, 1, 0.0).expect("a release is sent");
            assert!(
                wait <= release_limit(),
                "{class}: a release is sent {wait} ms after the previous release, {} ms after the close",
                last_release - closed_at
            );
            last_release = harness.now;
        }
        let out = harness.advance(60_000.0);
        assert!(
            connections_with_releases_of(1, &out).len() <= 10,
            "{class}: the release is repeated at most 10 times in the next 60 s, not {} times",
            connections_with_releases_of(1, &out).len()
        );
        assert_eq!(harness.dispatcher.usage().releases, 0);
    }
}

/// A release is due while no engine responds. It is sent to the first engine that responds again in time, and the rate
/// of calls is bounded until then.
#[test]
fn a_release_reaches_the_first_engine_that_responds_again_in_time() {
    for (outage_ms, unresponsive_accept) in [
        (1_000.0, true),
        (3_000.0, false),
        (8_000.0, true),
        (8_000.0, false),
    ] {
        let mut harness = harness();
        harness.unresponsive_engines_accept = unresponsive_accept;
        warm_up(&mut harness);
        start_decode(&mut harness, 1, "draft");
        make_unresponsive(
            &mut harness,
            &["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"],
        );
        harness.advance(13.0);
        harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let out = harness.advance(outage_ms);
        let calls = connections_with_releases_of(1, &out).len();
        let bound = 30.0 + 0.02 * outage_ms;
        assert!(
            calls as f64 <= bound,
            "the rate of calls is bounded, but there were {calls} in {outage_ms} ms"
        );
        harness.unresponsive.remove("w2");
        let elapsed_ms = time_until_released(&mut harness, 1, 0.0).expect("a release is sent");
        assert!(
            elapsed_ms <= release_limit(),
            "the release is sent {elapsed_ms} ms after the first engine responded, after an outage of {outage_ms} ms"
        );
    }
}
