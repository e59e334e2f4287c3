//! Releases of KV states that an attempt may still wait for: one that is confirmed meanwhile may have let nothing go.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input, Output};
use cindercleat_protocol::v1::Status;
use common::engines::*;
use common::*;

/// The rule's time for what is held.
fn most() -> f64 {
    settings().policy.kv_state_timeout + HELD_SLACK
}

/// A close and a call that go out at once on two connections may arrive in either order, some round trips apart.
const ROUND_TRIPS: f64 = 20.0;

/// Whether one of the outputs is a release of a request to an engine that runs.
fn released(bench: &Bench, conn: u64, out: &[Output]) -> bool {
    releases_of(conn, out)
        .into_iter()
        .any(|connection| !bench.is_silent(connection))
}

/// How long after now a release of a request begins that gets to an engine that runs, past the first `after` ms.
fn until_released(bench: &mut Bench, conn: u64, after: f64) -> Option<f64> {
    let since = bench.now;
    bench.pass(after);
    while bench.now - since < 4_000.0 {
        let out = bench.pass(5.0);
        if released(bench, conn, &out) {
            return Some(bench.now - since);
        }
    }
    None
}

/// A request whose decode attempt is at an engine that hangs: its machine takes connections and calls, and answers none.
fn decoding_at_one_that_hangs(bench: &mut Bench, conn: u64, class: &str) -> Sent {
    bench.silent_engines_accept = true;
    warm_up(bench);
    let decode = decoding(bench, conn, class);
    silence(bench, &[decode.engine.as_str()]);
    decode
}

/// A decode engine hangs with an attempt for a KV state, so a release that is confirmed meanwhile may do nothing. It is
/// sent again once the attempt is over.
#[test]
fn a_release_that_was_confirmed_while_an_attempt_was_out_is_sent_again_once_that_is_over() {
    for ends_by_deadline in [false, true] {
        let mut bench = bench();
        decoding_at_one_that_hangs(&mut bench, 1, "proof");
        let first = until_released(&mut bench, 1, 0.0).expect("a release in doubt");
        assert!(first <= most(), "after {first} ms");
        bench.pass(1_000.0);
        if ends_by_deadline {
            let before = bench.out.len();
            while finals(&bench.out[before..]).is_empty() {
                bench.pass(5.0);
            }
        } else {
            bench.put(Input::ClientClosed {
                conn: ClientConnectionId(1),
            });
        }
        let again =
            until_released(&mut bench, 1, 0.0).expect("a release after the end of the attempt");
        assert!(
            again <= most(),
            "by deadline {ends_by_deadline}: {again} ms after the end of the attempt"
        );
    }
}

/// A client leaves while its attempt is at an engine that hangs. The close of the attempt and the release go over two
/// connections and may arrive in either order, so the release is sent again.
#[test]
fn a_release_that_may_overtake_the_close_of_its_attempt_is_sent_again() {
    for class in ["draft", "proof"] {
        let mut bench = bench();
        decoding_at_one_that_hangs(&mut bench, 1, class);
        bench.pass(13.0);
        bench.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let again = until_released(&mut bench, 1, ROUND_TRIPS).expect("a release behind the close");
        assert!(again <= most(), "{class}: {again} ms after the close");
    }
}

/// Serves another request at a decode engine: that one works.
fn serve_one_at(bench: &mut Bench, engine: &str) {
    for conn in 5_000.. {
        let decode = decoding(bench, conn, "draft");
        bench.engine(&decode, tokens(0));
        bench.ended(&decode, Status::Succeeded);
        if decode.engine == engine {
            return;
        }
    }
}

/// A client leaves, and the engine of its attempt works on. It knows of the close then, so one release that is
/// confirmed after that is the last.
#[test]
fn a_release_is_not_sent_again_once_the_engine_of_the_closed_attempt_has_worked_and_one_has_been_confirmed_since(
) {
    for class in ["draft", "proof"] {
        let mut bench = bench();
        warm_up(&mut bench);
        let decode = decoding(&mut bench, 1, class);
        bench.pass(13.0);
        let out = bench.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        assert_eq!(releases_of(1, &out).len(), 1, "{class}: at once");
        serve_one_at(&mut bench, &decode.engine);
        let out = bench.pass(most());
        assert_eq!(
            releases_of(1, &out).len(),
            1,
            "{class}: once behind the close"
        );
        let out = bench.pass(20_000.0);
        assert_eq!(
            (releases_of(1, &out), bench.dispatcher.usage().releases),
            (vec![], 0),
            "{class}"
        );
    }
}

/// The engine of a closed attempt may notice the close at any time, and the time of the state counts from then on.
#[test]
fn a_release_goes_out_in_time_whenever_an_engine_that_hangs_notices_the_close_of_its_attempt() {
    for class in ["draft", "proof"] {
        let mut bench = bench();
        decoding_at_one_that_hangs(&mut bench, 1, class);
        bench.pass(300.0);
        bench.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let closed = bench.now;
        let mut last = closed;
        while last - closed < 4_000.0 {
            let wait = until_released(&mut bench, 1, 0.0).expect("a release");
            assert!(
                wait <= most(),
                "{class}: {wait} ms after the one before, {} after the close",
                last - closed
            );
            last = bench.now;
        }
        let out = bench.pass(60_000.0);
        assert!(
            releases_of(1, &out).len() <= 10,
            "{class}: but not for ever: {}",
            releases_of(1, &out).len()
        );
        assert_eq!(bench.dispatcher.usage().releases, 0);
    }
}

/// When no engine can pass a release on, it gets through once one can.
#[test]
fn a_release_gets_through_in_time_once_the_first_engine_is_back() {
    for (outage, accept) in [
        (1_000.0, true),
        (3_000.0, false),
        (8_000.0, true),
        (8_000.0, false),
    ] {
        let mut bench = bench();
        bench.silent_engines_accept = accept;
        warm_up(&mut bench);
        decoding(&mut bench, 1, "draft");
        silence(
            &mut bench,
            &["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"],
        );
        bench.pass(13.0);
        bench.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        });
        let out = bench.pass(outage);
        let calls = releases_of(1, &out).len();
        let bound = 30.0 + 0.02 * outage;
        assert!(
            calls as f64 <= bound,
            "a bounded rate: {calls} in {outage} ms"
        );
        bench.silent.remove("w2");
        let after = until_released(&mut bench, 1, 0.0).expect("a release");
        assert!(
            after <= most(),
            "{after} ms after the first engine was back, out for {outage}"
        );
    }
}
