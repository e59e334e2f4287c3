//! An engine that falls silent, with no error on its connections: what was written to it has not arrived, and does not stop
//! the time within which a KV state has to be taken or released.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input, Output};
use cindercleat_protocol::v1::{Answer, Status};
use cindercleat_protocol::{v1, Body, Frame};
use common::engines::*;
use common::*;

/// Lets time pass in small steps until the state of a request gets to an engine that runs, by a decode attempt or by a
/// release; gives when, and that attempt.
fn until_state_is_taken(bench: &mut Bench, conn: u64) -> (f64, Option<Sent>) {
    let since = bench.now;
    while bench.now - since < 4_000.0 {
        let out = bench.pass(5.0);
        let arrived = |sent: &Sent| !bench.silent.contains(&sent.engine);
        if let Some(decode) = bench.attempts(&out).into_iter().find(arrived) {
            return (bench.now - since, Some(decode));
        }
        if releases_of(conn, &out)
            .into_iter()
            .any(|connection| !bench.is_silent(connection))
        {
            return (bench.now - since, None);
        }
    }
    (bench.now - since, None)
}

/// The engine of a decode attempt becomes unresponsive before the attempt arrives. The request may run twice, so
/// another engine takes the KV state in time, and the first attempt is cancelled.
#[test]
fn an_idempotent_request_whose_decode_attempt_does_not_arrive_is_decoded_elsewhere_in_time() {
    let mut bench = bench();
    warm_up(&mut bench);
    let lost = decoding(&mut bench, 1, "draft");
    bench.silent.insert(lost.engine.clone());
    let (after, decode) = until_state_is_taken(&mut bench, 1);
    let decode = decode.expect("a second decode attempt");
    assert!(
        after <= settings().policy.kv_state_timeout + HELD_SLACK,
        "taken after {after} ms"
    );
    // What lies unsent on the first connection must not go out later: the second attempt would then be one of two.
    assert!(
        is_cancelled(&bench.out, &lost),
        "the connection of the first attempt is ended"
    );
    bench.engine(&decode, tokens(0));
    assert_eq!(
        finals(&bench.ended(&decode, Status::Succeeded)),
        [(1, Answer::Succeeded)]
    );
}

/// The same with a request that may run once: no second attempt goes out, and the KV state is released in time.
#[test]
fn an_at_most_once_request_whose_decode_attempt_does_not_arrive_has_its_state_released_in_time() {
    let mut bench = bench();
    warm_up(&mut bench);
    let lost = decoding(&mut bench, 1, "proof");
    bench.silent.insert(lost.engine.clone());
    let (after, decode) = until_state_is_taken(&mut bench, 1);
    assert!(decode.is_none(), "the first attempt may run yet");
    assert!(
        after <= settings().policy.kv_state_timeout + HELD_SLACK,
        "released after {after} ms"
    );
    assert!(
        !is_cancelled(&bench.out, &lost),
        "the first attempt may still be served"
    );
}

/// Lets an engine that runs go on with a stream of another request meanwhile.
fn go_on(bench: &mut Bench, busy: &Sent, position: &mut u32) {
    *position += 1;
    bench.engine(busy, tokens(*position));
}

/// All decode engines become unresponsive at once. The KV state is released in time.
#[test]
fn a_state_is_taken_or_released_in_time_while_all_decode_engines_are_silent() {
    for class in ["draft", "proof", "caption"] {
        let mut bench = bench();
        warm_up(&mut bench);
        decoding(&mut bench, 1, class);
        silence(&mut bench, &["w1", "w2", "w3", "w4"]);
        let (after, decode) = until_state_is_taken(&mut bench, 1);
        assert!(decode.is_none(), "{class}: no decode engine runs");
        assert!(
            after <= settings().policy.kv_state_timeout + HELD_SLACK,
            "{class}: released after {after} ms"
        );
    }
}

/// All engines but one become unresponsive, among them the one that holds the KV state. The release goes by way of the
/// last one in time.
#[test]
fn a_release_gets_through_while_the_engine_that_was_to_pass_it_on_is_silent_too() {
    let mut bench = bench();
    warm_up(&mut bench);
    let busy = decoding(&mut bench, 2, "draft");
    bench.engine(&busy, tokens(0));
    let lost = loop {
        let conn = bench.out.len() as u64;
        let lost = decoding(&mut bench, conn, "proof");
        if lost.engine != busy.engine {
            break (conn, lost);
        }
        bench.engine(&lost, tokens(0));
    };
    // All but one engine; the prefill engine that holds the state is among them.
    let all = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];
    let silent: Vec<&str> = all
        .into_iter()
        .filter(|name| *name != busy.engine)
        .collect();
    silence(&mut bench, &silent);
    let (since, mut position) = (bench.now, 0);
    loop {
        let out = bench.pass(10.0);
        if releases_of(lost.0, &out)
            .into_iter()
            .any(|connection| !bench.is_silent(connection))
        {
            break;
        }
        let after = bench.now - since;
        assert!(
            after <= settings().policy.kv_state_timeout + HELD_SLACK,
            "not released after {after} ms"
        );
        go_on(&mut bench, &busy, &mut position);
    }
}

/// By so long after the end of its prefill, the state of an attempt is released of which nothing has come from an engine
/// that runs: its connection alone may be silent.
const UNANSWERED_UNTIL: f64 = 400.0;

/// An engine with a long queue answers whoever asks, and writes nothing on the attempts that wait. A release lets go of what
/// no attempt waits for, so one that may be needed, late, does no harm.
#[test]
fn an_attempt_in_the_queue_of_an_engine_that_runs_is_not_given_up_and_its_state_released_once_and_late(
) {
    for class in ["draft", "proof", "caption"] {
        let mut bench = bench();
        warm_up(&mut bench);
        let queued = decoding(&mut bench, 1, class);
        let out = bench.pass(UNANSWERED_UNTIL - 1.0);
        assert_eq!(releases_of(1, &out), [], "{class}: not early");
        let out = bench.pass(2_000.0 - UNANSWERED_UNTIL);
        assert_eq!(releases_of(1, &out).len(), 1, "{class}");
        assert!(
            bench
                .attempts(&bench.out)
                .last()
                .is_some_and(|last| last.connection == queued.connection),
            "{class}"
        );
        assert!(!is_cancelled(&bench.out, &queued), "{class}");
        bench.engine(&queued, tokens(0));
        let out = bench.pass(5_000.0);
        assert_eq!(releases_of(1, &out), [], "{class}: it has taken the state");
        assert_eq!(bench.dispatcher.usage().releases, 0, "{class}");
    }
}

/// The same where a release lets go of everything: the attempt finds no state, which proves that nothing has run. By then it
/// is too late for another prefill, and its client may try again elsewhere.
#[test]
fn a_request_whose_state_was_released_while_its_attempt_waited_is_refused_and_leaves_nothing() {
    for class in ["draft", "proof", "caption"] {
        let mut bench = bench();
        warm_up(&mut bench);
        let queued = decoding(&mut bench, 1, class);
        bench.pass(600.0);
        let out = bench.ended(&queued, Status::NoState);
        assert_eq!(finals(&out), [(1, Answer::Rejected)], "{class}");
        let out = bench.pass(1_000.0);
        assert!(bench.attempts(&out).is_empty(), "{class}");
        assert_eq!(
            (
                bench.dispatcher.usage().requests,
                bench.dispatcher.usage().releases
            ),
            (0, 0),
            "{class}"
        );
    }
}

/// A stream's events show that their engine runs, so nothing else is asked of it.
#[test]
fn an_engine_that_is_heard_after_the_send_is_not_asked() {
    let mut bench = bench();
    warm_up(&mut bench);
    let streams: Vec<Sent> = (2..30)
        .map(|conn| decoding(&mut bench, conn, "draft"))
        .collect();
    for stream in &streams {
        bench.engine(stream, tokens(0));
    }
    let queued = decoding(&mut bench, 1, "draft");
    let busy = streams
        .iter()
        .find(|stream| stream.engine == queued.engine)
        .expect("a stream there")
        .clone();
    let mut position = 0;
    let dialled = |out: &[Output]| {
        out.iter()
            .filter(|output| matches!(output, Output::Dial { .. }))
            .count()
    };
    let released = |out: &[Output]| {
        to_engines(out)
            .into_iter()
            .filter(|found| *found == "release")
            .count()
    };
    for step in 1..=200 {
        let out = bench.pass(10.0);
        go_on(&mut bench, &busy, &mut position);
        assert!(bench.attempts(&out).is_empty() && !is_cancelled(&out, &queued));
        let is_due = usize::from(f64::from(step) * 10.0 == UNANSWERED_UNTIL);
        assert!(dialled(&out) <= is_due, "no connection for a question");
        assert_eq!(
            released(&out),
            is_due,
            "nothing but the one release of its state"
        );
        assert_eq!(releases_of(1, &out).len(), is_due);
    }
}

/// The first attempt arrives after all: its engine finds no state and turns it away, which proves that nothing ran.
#[test]
fn an_at_most_once_attempt_that_arrives_late_finds_no_state_and_nothing_runs_twice() {
    let mut bench = bench();
    warm_up(&mut bench);
    let late = decoding(&mut bench, 1, "proof");
    silence(&mut bench, &[late.engine.as_str()]);
    until_state_is_taken(&mut bench, 1);
    bench.pass(300.0);
    bench.silent.clear();
    let before = bench.out.len();
    bench.ended(&late, Status::NoState);
    bench.pass(4_000.0);
    let out = bench.out[before..].to_vec();
    assert_eq!(finals(&out).len(), 1, "one answer");
    let decodes = bench
        .attempts(&out)
        .into_iter()
        .filter(|sent| sent.engine.starts_with('w'))
        .count();
    assert_eq!(decodes, 0, "none without a new prefill");
}

/// A client leaves while it is not known whether its attempt has arrived. The attempt is cancelled, nothing begins, and
/// the KV state is released.
#[test]
fn a_client_that_leaves_while_its_attempt_is_in_doubt_leaves_no_attempt_and_no_state() {
    for class in ["draft", "proof"] {
        for after in [50.0, 150.0, 400.0, 700.0] {
            let mut bench = bench();
            warm_up(&mut bench);
            let lost = decoding(&mut bench, 1, class);
            silence(&mut bench, &[lost.engine.as_str()]);
            let since = bench.now;
            bench.pass(after);
            let out = bench.put(Input::ClientClosed {
                conn: ClientConnectionId(1),
            });
            assert!(
                is_cancelled(&bench.out, &lost),
                "{class} after {after}: the attempt is given up"
            );
            assert!(bench.attempts(&out).is_empty());
            let out = bench.pass(4_000.0);
            assert!(
                bench.attempts(&out).is_empty(),
                "{class} after {after}: nothing begins for nobody"
            );
            let reached = |output: &Output| match output {
                Output::ToEngine {
                    connection,
                    frame:
                        Frame {
                            body: Some(Body::Release(release)),
                            ..
                        },
                } => release.origin == "1" && !bench.is_silent(*connection),
                _ => false,
            };
            // A second attempt may have taken the state; then the client left that one.
            let taken = bench.out.iter().any(reached);
            assert!(
                taken,
                "{class} after {after}: released, {} ms since the send",
                bench.now - since
            );
        }
    }
}

/// The engine of an attempt becomes unresponsive while all others drain. No second attempt goes to those, and the KV
/// state is released in time.
#[test]
fn a_draining_engine_gets_no_second_attempt() {
    let mut bench = bench();
    warm_up(&mut bench);
    let lost = decoding(&mut bench, 1, "draft");
    silence(&mut bench, &[lost.engine.as_str()]);
    let others: Vec<String> = (1..=4)
        .map(|at| format!("w{at}"))
        .filter(|name| *name != lost.engine)
        .collect();
    for name in &others {
        bench.update_endpoint(name, v1::EndpointStatus::Draining);
    }
    let (after, decode) = until_state_is_taken(&mut bench, 1);
    assert!(decode.is_none(), "{decode:?}");
    assert!(
        after <= settings().policy.kv_state_timeout + HELD_SLACK,
        "released after {after} ms"
    );
}

/// A prefill engine that is silent may end a prefill that was given up, and hold its state: an engine's word that it is
/// released does not count for what comes into being after it.
#[test]
fn the_release_of_a_prefill_that_was_given_up_is_repeated_until_its_engine_has_shown_that_it_works()
{
    let mut bench = bench();
    warm_up(&mut bench);
    let out = asks(&mut bench, 1, "draft");
    let prefill = bench.attempts(&out).pop().expect("a prefill goes out");
    silence(&mut bench, &[prefill.engine.as_str()]);
    bench.pass(100.0);
    bench.put(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    let out = bench.pass(1_500.0);
    let passed_on = releases_of(1, &out)
        .into_iter()
        .any(|connection| !bench.is_silent(connection));
    assert!(passed_on, "another engine was asked meanwhile");
    bench.silent.clear();
    let since = bench.now;
    while releases_of(1, &bench.pass(5.0)).is_empty() {
        let after = bench.now - since;
        assert!(
            after <= settings().policy.kv_state_timeout,
            "not released {after} ms after its engine was back"
        );
    }
    // It works again.
    for conn in 5_000.. {
        let out = asks(&mut bench, conn, "draft");
        let next = bench.attempts(&out).pop().expect("a prefill goes out");
        let out = bench.ended(&next, Status::PrefillDone);
        let decode = bench
            .attempts(&out)
            .pop()
            .expect("a decode attempt goes out");
        bench.engine(&decode, tokens(0));
        bench.ended(&decode, Status::Succeeded);
        if next.engine == prefill.engine {
            break;
        }
    }
    let out = bench.pass(settings().policy.kv_state_timeout + HELD_SLACK);
    assert!((1..=2).contains(&releases_of(1, &out).len()), "once more");
    let out = bench.pass(20_000.0);
    assert_eq!(
        releases_of(1, &out),
        [],
        "its engine knows of the end by then: it is not said again"
    );
}

/// A process with little to do: nothing was heard of any engine lately, and only one of them runs.
#[test]
fn a_release_gets_through_in_time_while_most_engines_are_silent_and_none_was_heard_lately() {
    let all = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];
    for (runs, accept) in all
        .into_iter()
        .flat_map(|runs| [(runs, false), (runs, true)])
    {
        for class in ["draft", "proof"] {
            let mut bench = bench();
            bench.silent_engines_accept = accept;
            warm_up(&mut bench);
            bench.pass(3_000.0);
            let out = asks(&mut bench, 1, class);
            let prefill = bench.attempts(&out).pop().expect("a prefill goes out");
            let silent: Vec<&str> = all.into_iter().filter(|name| *name != runs).collect();
            silence(&mut bench, &silent);
            let out = bench.ended(&prefill, Status::PrefillDone);
            let arrived = bench
                .attempts(&out)
                .iter()
                .any(|sent| !bench.silent.contains(&sent.engine));
            if arrived {
                continue;
            }
            let (after, _) = until_state_is_taken(&mut bench, 1);
            let most = settings().policy.kv_state_timeout + HELD_SLACK;
            assert!(
                after <= most,
                "{class}, {runs}, {accept}: taken or released after {after} ms"
            );
        }
    }
}

/// A prefill that broke may have left a state, and the next one is written to an engine that is silent: that one is not
/// out either.
#[test]
fn the_release_of_a_prefill_that_broke_does_not_wait_for_one_that_has_not_arrived() {
    let mut bench = bench();
    warm_up(&mut bench);
    let out = asks(&mut bench, 1, "draft");
    let broken = bench.attempts(&out).pop().expect("a prefill goes out");
    let others: Vec<String> = (1..=4)
        .map(|at| format!("r{at}"))
        .filter(|name| *name != broken.engine)
        .collect();
    silence(
        &mut bench,
        &others.iter().map(String::as_str).collect::<Vec<_>>(),
    );
    let bye = v1::Goodbye {
        reason: "reset".to_owned(),
        never_ran: false,
    };
    let mut out = bench.engine(&broken, Body::Goodbye(bye));
    let since = bench.now;
    let second = bench.attempts(&out).pop().expect("it is prefilled again");
    assert!(
        bench.is_silent(second.connection),
        "at an engine that is silent"
    );
    while releases_of(1, &out)
        .into_iter()
        .all(|connection| bench.is_silent(connection))
    {
        let after = bench.now - since;
        assert!(
            after <= settings().policy.kv_state_timeout + HELD_SLACK,
            "not released after {after} ms"
        );
        out = bench.pass(5.0);
    }
}

/// One connection alone falls silent, with no error, while its engine runs and answers on others.
#[test]
fn a_state_behind_an_attempt_on_a_connection_that_alone_is_silent_is_released_in_time() {
    let mut bench = bench();
    warm_up(&mut bench);
    decoding(&mut bench, 1, "proof");
    let (after, _) = until_state_is_taken(&mut bench, 1);
    assert!(
        after <= settings().policy.kv_state_timeout + HELD_SLACK,
        "released after {after} ms"
    );
}
