//! Engines that become unresponsive without an error on their connections. An attempt that was written to such an
//! engine has not arrived. It must not extend the time within which a decode attempt has to use the KV state or a
//! release has to free it.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input, Output};
use cindercleat_protocol::v1::{Answer, Status};
use cindercleat_protocol::{v1, Body, Frame};
use common::engines::*;
use common::*;

/// Advances the clock until a responsive engine gets a new attempt or a release of the request's KV state, for at most
/// 4 s. Returns the elapsed milliseconds, and the attempt if one was sent.
fn wait_until_retried_or_released(
    harness: &mut Harness,
    request_id: u64,
) -> (f64, Option<SentAttempt>) {
    let since = harness.now;
    while harness.now - since < 4_000.0 {
        let out = harness.advance(5.0);
        let arrives = |sent: &SentAttempt| !harness.unresponsive.contains(&sent.engine);
        if let Some(decode) = harness.attempts(&out).into_iter().find(arrives) {
            return (harness.now - since, Some(decode));
        }
        if release_arrives(harness, request_id, &out) {
            return (harness.now - since, None);
        }
    }
    (harness.now - since, None)
}

/// The engine of a decode attempt becomes unresponsive before the attempt arrives. The request may run twice, so a
/// second attempt at another engine uses the KV state in time. The first attempt is cancelled.
#[test]
fn an_idempotent_request_whose_decode_attempt_does_not_arrive_is_decoded_elsewhere_in_time() {
    let mut harness = harness();
    warm_up(&mut harness);
    let undelivered = start_decode(&mut harness, 1, "draft");
    harness.unresponsive.insert(undelivered.engine.clone());
    let (elapsed_ms, decode) = wait_until_retried_or_released(&mut harness, 1);
    let decode = decode.expect("a second decode attempt is sent");
    assert!(
        elapsed_ms <= release_limit(),
        "the second attempt is sent after {elapsed_ms} ms"
    );
    // Unsent data on the first connection must not be sent later, or the request would be decoded twice.
    assert!(
        is_cancelled(&harness.out, &undelivered),
        "the first attempt is cancelled"
    );
    harness.send_from_engine(&decode, tokens(0));
    assert_eq!(
        final_answers(&harness.end_attempt(&decode, Status::Succeeded)),
        [(1, Answer::Succeeded)]
    );
}

/// The decode attempt of an at-most-once request does not arrive. No second attempt is sent, as the first may still
/// run, and the KV state is released in time.
#[test]
fn an_at_most_once_request_whose_decode_attempt_does_not_arrive_has_its_state_released_in_time() {
    let mut harness = harness();
    warm_up(&mut harness);
    let undelivered = start_decode(&mut harness, 1, "proof");
    harness.unresponsive.insert(undelivered.engine.clone());
    let (elapsed_ms, decode) = wait_until_retried_or_released(&mut harness, 1);
    assert!(
        decode.is_none(),
        "no second attempt is sent, as the first may still run"
    );
    assert!(
        elapsed_ms <= release_limit(),
        "the KV state is released after {elapsed_ms} ms"
    );
    assert!(
        !is_cancelled(&harness.out, &undelivered),
        "the first attempt is not cancelled, as it may still run"
    );
}

/// Sends the next token of another request's stream, which shows that the stream's engine runs.
fn continue_stream(harness: &mut Harness, stream: &SentAttempt, position: &mut u32) {
    *position += 1;
    harness.send_from_engine(stream, tokens(*position));
}

/// All decode engines become unresponsive at the same instant. The KV state is released in time.
#[test]
fn a_state_is_released_in_time_while_all_decode_engines_are_unresponsive() {
    for class in ["draft", "proof", "caption"] {
        let mut harness = harness();
        warm_up(&mut harness);
        start_decode(&mut harness, 1, class);
        make_unresponsive(&mut harness, &["w1", "w2", "w3", "w4"]);
        let (elapsed_ms, decode) = wait_until_retried_or_released(&mut harness, 1);
        assert!(decode.is_none(), "{class}: no decode engine runs");
        assert!(
            elapsed_ms <= release_limit(),
            "{class}: the KV state is released after {elapsed_ms} ms"
        );
    }
}

/// All engines but one become unresponsive, among them the one that holds the KV state. The release is sent through
/// the remaining engine in time.
#[test]
fn a_release_is_sent_to_the_only_engine_that_responds() {
    let mut harness = harness();
    warm_up(&mut harness);
    let busy = start_decode(&mut harness, 2, "draft");
    harness.send_from_engine(&busy, tokens(0));
    let undelivered_id = loop {
        let request_id = harness.out.len() as u64;
        let undelivered = start_decode(&mut harness, request_id, "proof");
        if undelivered.engine != busy.engine {
            break request_id;
        }
        harness.send_from_engine(&undelivered, tokens(0));
    };
    // All engines but one are unresponsive, among them the prefill engine that holds the state.
    let all = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];
    let others: Vec<&str> = all
        .into_iter()
        .filter(|name| *name != busy.engine)
        .collect();
    make_unresponsive(&mut harness, &others);
    let (since, mut position) = (harness.now, 0);
    loop {
        let out = harness.advance(10.0);
        if release_arrives(&harness, undelivered_id, &out) {
            break;
        }
        let elapsed_ms = harness.now - since;
        assert!(
            elapsed_ms <= release_limit(),
            "the KV state is not released after {elapsed_ms} ms"
        );
        continue_stream(&mut harness, &busy, &mut position);
    }
}

/// Milliseconds after the end of a prefill at which its KV state is released if the decode attempt is unanswered. The
/// release is sent even if the decode engine runs, as the attempt's connection alone may have failed.
const UNCONFIRMED_RELEASE_MS: f64 = 400.0;

/// An engine with a long queue answers liveness checks, and sends nothing for attempts that wait in the queue. A
/// release frees only a KV state that no attempt waits for, so a release that turns out to be unnecessary does no harm.
#[test]
fn a_queued_attempt_is_not_cancelled_and_its_state_is_released_once() {
    for class in ["draft", "proof", "caption"] {
        let mut harness = harness();
        warm_up(&mut harness);
        let queued = start_decode(&mut harness, 1, class);
        let out = harness.advance(UNCONFIRMED_RELEASE_MS - 1.0);
        assert_eq!(
            connections_with_releases_of(1, &out),
            [],
            "{class}: no early release"
        );
        let out = harness.advance(2_000.0 - UNCONFIRMED_RELEASE_MS);
        assert_eq!(connections_with_releases_of(1, &out).len(), 1, "{class}");
        assert!(
            harness
                .attempts(&harness.out)
                .last()
                .is_some_and(|last| last.connection == queued.connection),
            "{class}"
        );
        assert!(!is_cancelled(&harness.out, &queued), "{class}");
        harness.send_from_engine(&queued, tokens(0));
        let out = harness.advance(5_000.0);
        assert_eq!(
            connections_with_releases_of(1, &out),
            [],
            "{class}: no release after the token, which shows that the attempt uses the state"
        );
        assert_eq!(harness.dispatcher.usage().releases, 0, "{class}");
    }
}

/// An attempt waits in the queue of an engine that runs. In this test a release frees the KV state although the attempt
/// waits for it. The attempt finds no state, which proves that nothing has run. It is too late for another prefill
/// then, so the request is rejected, and its client may retry elsewhere.
#[test]
fn a_request_whose_state_was_released_while_its_attempt_was_queued_is_rejected() {
    for class in ["draft", "proof", "caption"] {
        let mut harness = harness();
        warm_up(&mut harness);
        let queued = start_decode(&mut harness, 1, class);
        harness.advance(600.0);
        let out = harness.end_attempt(&queued, Status::NoState);
        assert_eq!(final_answers(&out), [(1, Answer::Rejected)], "{class}");
        let out = harness.advance(1_000.0);
        assert!(harness.attempts(&out).is_empty(), "{class}");
        assert_eq!(
            (
                harness.dispatcher.usage().requests,
                harness.dispatcher.usage().releases
            ),
            (0, 0),
            "{class}"
        );
    }
}

/// The events of a stream show that their engine runs, so no liveness check is sent to it.
#[test]
fn an_engine_that_sends_tokens_gets_no_liveness_check() {
    let mut harness = harness();
    warm_up(&mut harness);
    let streams: Vec<SentAttempt> = (2..30)
        .map(|request_id| start_decode(&mut harness, request_id, "draft"))
        .collect();
    for stream in &streams {
        harness.send_from_engine(stream, tokens(0));
    }
    let queued = start_decode(&mut harness, 1, "draft");
    let busy = streams
        .iter()
        .find(|stream| stream.engine == queued.engine)
        .expect("the engine serves a stream")
        .clone();
    let mut position = 0;
    let dialled = |out: &[Output]| {
        out.iter()
            .filter(|output| matches!(output, Output::Dial { .. }))
            .count()
    };
    let released = |out: &[Output]| {
        engine_message_names(out)
            .into_iter()
            .filter(|name| *name == "release")
            .count()
    };
    for step in 1..=200 {
        let out = harness.advance(10.0);
        continue_stream(&mut harness, &busy, &mut position);
        assert!(harness.attempts(&out).is_empty() && !is_cancelled(&out, &queued));
        let is_due = usize::from(f64::from(step) * 10.0 == UNCONFIRMED_RELEASE_MS);
        assert!(
            dialled(&out) <= is_due,
            "no connection is dialled for a liveness check"
        );
        assert_eq!(
            released(&out),
            is_due,
            "only the release of the KV state is sent"
        );
        assert_eq!(connections_with_releases_of(1, &out).len(), is_due);
    }
}

/// An attempt reaches its engine late, after the KV state was released. The engine finds no state and rejects the
/// attempt, which proves that nothing has run.
#[test]
fn an_at_most_once_attempt_that_arrives_late_finds_no_state_and_nothing_runs_twice() {
    let mut harness = harness();
    warm_up(&mut harness);
    let late = start_decode(&mut harness, 1, "proof");
    make_unresponsive(&mut harness, &[late.engine.as_str()]);
    wait_until_retried_or_released(&mut harness, 1);
    harness.advance(300.0);
    harness.unresponsive.clear();
    let output_count = harness.out.len();
    harness.end_attempt(&late, Status::NoState);
    harness.advance(4_000.0);
    let out = harness.out[output_count..].to_vec();
    assert_eq!(final_answers(&out).len(), 1, "the client gets one answer");
    let decodes = harness
        .attempts(&out)
        .into_iter()
        .filter(|sent| sent.engine.starts_with('w'))
        .count();
    assert_eq!(decodes, 0, "no decode attempt without a new prefill");
}

/// A client leaves while the delivery of its attempt is unknown. The attempt is cancelled, no other starts, and the
/// KV state is released.
#[test]
fn a_client_that_leaves_during_an_undelivered_attempt_leaves_no_attempt_and_no_state() {
    for class in ["draft", "proof"] {
        for leaves_after_ms in [50.0, 150.0, 400.0, 700.0] {
            let mut harness = harness();
            warm_up(&mut harness);
            let undelivered = start_decode(&mut harness, 1, class);
            make_unresponsive(&mut harness, &[undelivered.engine.as_str()]);
            let since = harness.now;
            harness.advance(leaves_after_ms);
            let out = harness.handle(Input::ClientClosed {
                conn: ClientConnectionId(1),
            });
            assert!(
                is_cancelled(&harness.out, &undelivered),
                "{class} after {leaves_after_ms} ms: the attempt is cancelled"
            );
            assert!(harness.attempts(&out).is_empty());
            let out = harness.advance(4_000.0);
            assert!(
                harness.attempts(&out).is_empty(),
                "{class} after {leaves_after_ms} ms: no attempt starts for a client that has left"
            );
            let reached = |output: &Output| match output {
                Output::ToEngine {
                    connection,
                    frame:
                        Frame {
                            body: Some(Body::Release(release)),
                            ..
                        },
                } => release.origin == "1" && !harness.is_unresponsive(*connection),
                _ => false,
            };
            // A second attempt may have used the KV state. The client's close has then ended that attempt.
            let released = harness.out.iter().any(reached);
            assert!(
                released,
                "{class} after {leaves_after_ms} ms: the KV state is not released {} ms after the attempt was sent",
                harness.now - since
            );
        }
    }
}

/// The engine of an attempt becomes unresponsive while all other decode engines drain. They get no second attempt,
/// and the KV state is released in time.
#[test]
fn a_draining_engine_gets_no_second_attempt() {
    let mut harness = harness();
    warm_up(&mut harness);
    let undelivered = start_decode(&mut harness, 1, "draft");
    make_unresponsive(&mut harness, &[undelivered.engine.as_str()]);
    let others: Vec<String> = (1..=4)
        .map(|at| format!("w{at}"))
        .filter(|name| *name != undelivered.engine)
        .collect();
    for name in &others {
        harness.update_endpoint(name, v1::EndpointStatus::Draining);
    }
    let (elapsed_ms, decode) = wait_until_retried_or_released(&mut harness, 1);
    assert!(decode.is_none(), "{decode:?}");
    assert!(
        elapsed_ms <= release_limit(),
        "the KV state is released after {elapsed_ms} ms"
    );
}

/// An unresponsive prefill engine may still complete a cancelled prefill and hold its KV state. A release that was
/// confirmed before that does not free the state, as the state was created later.
#[test]
fn the_release_of_a_cancelled_prefill_is_repeated_until_its_engine_works() {
    let mut harness = harness();
    warm_up(&mut harness);
    let out = send_request(&mut harness, 1, "draft");
    let prefill = harness
        .attempts(&out)
        .pop()
        .expect("a prefill attempt is sent");
    make_unresponsive(&mut harness, &[prefill.engine.as_str()]);
    harness.advance(100.0);
    harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    let out = harness.advance(1_500.0);
    assert!(
        release_arrives(&harness, 1, &out),
        "a release is sent to another engine while the prefill's engine is unresponsive"
    );
    harness.unresponsive.clear();
    let since = harness.now;
    while connections_with_releases_of(1, &harness.advance(5.0)).is_empty() {
        let elapsed_ms = harness.now - since;
        assert!(
            elapsed_ms <= settings().policy.kv_state_timeout,
            "the KV state is not released {elapsed_ms} ms after the prefill engine responded again"
        );
    }
    // A request is prefilled at the engine, which shows that it works again.
    for request_id in 5_000.. {
        let out = send_request(&mut harness, request_id, "draft");
        let next = harness
            .attempts(&out)
            .pop()
            .expect("a prefill attempt is sent");
        let out = harness.end_attempt(&next, Status::PrefillDone);
        let decode = harness
            .attempts(&out)
            .pop()
            .expect("a decode attempt is sent");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, Status::Succeeded);
        if next.engine == prefill.engine {
            break;
        }
    }
    let out = harness.advance(release_limit());
    assert!(
        (1..=2).contains(&connections_with_releases_of(1, &out).len()),
        "the release is repeated once or twice"
    );
    let out = harness.advance(20_000.0);
    assert_eq!(
        connections_with_releases_of(1, &out),
        [],
        "no release is sent after the prefill engine has processed the cancel"
    );
}

/// A dispatcher with little load has received nothing from any engine lately, and only one engine responds. A
/// release must still reach that engine in time.
#[test]
fn a_release_is_sent_in_time_while_most_engines_are_unresponsive() {
    let all = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];
    for (responsive, unresponsive_accept) in all
        .into_iter()
        .flat_map(|engine| [(engine, false), (engine, true)])
    {
        for class in ["draft", "proof"] {
            let mut harness = harness();
            harness.unresponsive_engines_accept = unresponsive_accept;
            warm_up(&mut harness);
            harness.advance(3_000.0);
            let out = send_request(&mut harness, 1, class);
            let prefill = harness
                .attempts(&out)
                .pop()
                .expect("a prefill attempt is sent");
            let others: Vec<&str> = all.into_iter().filter(|name| *name != responsive).collect();
            make_unresponsive(&mut harness, &others);
            let out = harness.end_attempt(&prefill, Status::PrefillDone);
            let arrived = harness
                .attempts(&out)
                .iter()
                .any(|sent| !harness.unresponsive.contains(&sent.engine));
            if arrived {
                continue;
            }
            let (elapsed_ms, _) = wait_until_retried_or_released(&mut harness, 1);
            let limit = release_limit();
            assert!(
                elapsed_ms <= limit,
                "{class}, only {responsive} responds, unresponsive engines accept connections: {unresponsive_accept}: the second attempt or the release is sent after {elapsed_ms} ms"
            );
        }
    }
}

/// A prefill whose connection broke may have left a KV state, and the next prefill is written to an unresponsive
/// engine. The release does not wait for that prefill, as it has not arrived.
#[test]
fn a_release_does_not_wait_for_a_later_prefill_that_has_not_arrived() {
    let mut harness = harness();
    warm_up(&mut harness);
    let out = send_request(&mut harness, 1, "draft");
    let broken = harness
        .attempts(&out)
        .pop()
        .expect("a prefill attempt is sent");
    let others: Vec<String> = (1..=4)
        .map(|at| format!("r{at}"))
        .filter(|name| *name != broken.engine)
        .collect();
    make_unresponsive(
        &mut harness,
        &others.iter().map(String::as_str).collect::<Vec<_>>(),
    );
    let goodbye = v1::Goodbye {
        reason: "reset".to_owned(),
        never_ran: false,
    };
    let mut out = harness.send_from_engine(&broken, Body::Goodbye(goodbye));
    let since = harness.now;
    let second = harness
        .attempts(&out)
        .pop()
        .expect("a second prefill is sent");
    assert!(
        harness.is_unresponsive(second.connection),
        "the second prefill goes to an unresponsive engine"
    );
    while connections_with_releases_of(1, &out)
        .into_iter()
        .all(|connection| harness.is_unresponsive(connection))
    {
        let elapsed_ms = harness.now - since;
        assert!(
            elapsed_ms <= release_limit(),
            "the KV state is not released after {elapsed_ms} ms"
        );
        out = harness.advance(5.0);
    }
}

/// The attempt's connection fails without an error, while its engine responds on other connections. The KV state is
/// released in time.
#[test]
fn a_state_is_released_in_time_while_only_the_attempts_connection_has_failed() {
    let mut harness = harness();
    warm_up(&mut harness);
    start_decode(&mut harness, 1, "proof");
    let (elapsed_ms, _) = wait_until_retried_or_released(&mut harness, 1);
    assert!(
        elapsed_ms <= release_limit(),
        "the KV state is released after {elapsed_ms} ms"
    );
}
