//! The dispatcher's behaviour on connections that carry one call at a time. On these, the id of a request identifies
//! its KV state.

mod common;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::state::{ClientConnectionId, EngineConnectionId, Input, Output};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_protocol::session::RefusalCause;
use cindercleat_protocol::v1::{Answer, Status};
use cindercleat_protocol::{frame, v1, Body, Frame};
use common::*;

fn harness() -> Harness {
    harness_with(single_limits())
}

fn harness_with(limits: Limits) -> Harness {
    Harness::with(ProgramSettings {
        limits,
        ..settings()
    })
}

/// The message with which a client sends a request.
fn request_message(id: &str, request_class: &str) -> Body {
    let origin = Some(v1::Origin {
        id: id.to_owned(),
        ..v1::Origin::default()
    });
    let prompt = bytes::Bytes::from_static(b"{}");
    Body::Submit(v1::Submit {
        origin,
        prompt,
        ..submit(request_class)
    })
}

fn send_request(harness: &mut Harness, client_connection: u64, body: Body) -> Vec<Output> {
    harness.handle(Input::Client {
        conn: ClientConnectionId(client_connection),
        frame: frame(1, body),
    })
}

fn start_prefill(
    harness: &mut Harness,
    client_connection: u64,
    id: &str,
    request_class: &str,
) -> SentAttempt {
    let out = send_request(
        harness,
        client_connection,
        request_message(id, request_class),
    );
    harness
        .attempts(&out)
        .pop()
        .expect("a prefill attempt is sent")
}

fn start_decode(
    harness: &mut Harness,
    client_connection: u64,
    id: &str,
    request_class: &str,
) -> SentAttempt {
    let prefill = start_prefill(harness, client_connection, id, request_class);
    let out = harness.end_attempt(&prefill, Status::PrefillDone);
    harness
        .attempts(&out)
        .pop()
        .expect("a decode attempt is sent")
}

/// The ids of the requests whose KV states `out` releases.
fn released_ids(out: &[Output]) -> Vec<String> {
    let release = |output: &Output| match output {
        Output::ToEngine {
            frame:
                Frame {
                    body: Some(Body::Release(release)),
                    ..
                },
            ..
        } => Some(release.origin.clone()),
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// The message that an engine sends on an attempt's connection to end the attempt. `never_ran` states that the attempt
/// has not run.
fn goodbye(never_ran: bool) -> Body {
    Body::Goodbye(v1::Goodbye {
        reason: "cut".to_owned(),
        never_ran,
    })
}

#[test]
fn each_attempt_uses_its_own_connection_and_none_is_dialled_in_advance() {
    let mut harness = harness();
    let mut attempts = Vec::new();
    for n in 1..=6 {
        attempts.push(start_prefill(&mut harness, n, &n.to_string(), "draft"));
    }
    let mut used_connections: Vec<_> = attempts.iter().map(|attempt| attempt.connection).collect();
    used_connections.dedup();
    assert_eq!(used_connections.len(), 6);
    let dials = harness
        .out
        .iter()
        .filter(|o| matches!(o, Output::Dial { .. }))
        .count();
    assert_eq!(dials, 6, "one connection is dialled for each attempt");
}

/// The connection of an at-most-once attempt breaks. If the request was not written completely, it has not run and is
/// sent again; otherwise it fails.
#[test]
fn a_request_that_was_not_completely_written_has_not_run() {
    for (never_ran, again) in [(true, true), (false, false)] {
        let mut harness = harness();
        let decode = start_decode(&mut harness, 1, "a", "proof");
        let out = harness.send_from_engine(&decode, goodbye(never_ran));
        assert_eq!(
            !harness.attempts(&out).is_empty(),
            again,
            "the at-most-once request is sent again only if it has not run"
        );
        let answers: Vec<Answer> = final_answers(&out)
            .into_iter()
            .map(|(_, answer)| answer)
            .collect();
        assert_eq!(answers, if again { vec![] } else { vec![Answer::Failed] });
    }
}

/// An attempt uses an idle connection that its engine has just closed. The dispatcher sends the same attempt again on
/// another connection to that engine.
#[test]
fn an_attempt_on_a_closed_connection_is_sent_again_to_the_same_engine() {
    let mut harness = harness();
    let decode = start_decode(&mut harness, 1, "a", "proof");
    harness.send_from_engine(&decode, tokens(0));
    harness.end_attempt(&decode, Status::Succeeded);
    let http1 = single_limits().http1.expect("HTTP/1 limits");
    harness.advance(http1.engine_reuse_delay);
    // The next decode attempt at the same engine uses the idle connection, which the engine has closed.
    let next = loop {
        let n = harness.out.len() as u64;
        let next = start_decode(&mut harness, n, &n.to_string(), "proof");
        if next.connection == decode.connection {
            break next;
        }
    };
    let out = harness.send_from_engine(&next, goodbye(true));
    let again = harness
        .attempts(&out)
        .pop()
        .expect("the attempt is sent again");
    assert_eq!(again.engine, next.engine);
    assert_ne!(again.connection, next.connection);
    assert_eq!(again.state, next.state, "the same attempt is sent again");
    assert_eq!(final_answers(&out), []);
}

/// A prefill's connection breaks. The prefill may have left a KV state, so a release is due. The request is prefilled
/// again, and a release of the first state would free the second state as well. The release is therefore sent only
/// after the end of the request, and is repeated until a later answer shows that the engine works.
#[test]
fn a_release_after_a_broken_prefill_is_sent_only_after_the_end_of_its_request() {
    let mut harness = harness();
    let prefill = start_prefill(&mut harness, 1, "a", "draft");
    // The connection breaks without proof that the prefill has not run.
    let out = harness.send_from_engine(&prefill, goodbye(false));
    let second = harness
        .attempts(&out)
        .pop()
        .expect("a second prefill is sent");
    assert_eq!(
        released_ids(&out),
        Vec::<String>::new(),
        "a release would free the second prefill's state"
    );
    let out = harness.end_attempt(&second, Status::PrefillDone);
    assert_eq!(released_ids(&out), Vec::<String>::new());
    let decode = harness
        .attempts(&out)
        .pop()
        .expect("a decode attempt is sent");
    harness.send_from_engine(&decode, tokens(0));
    let out = harness.end_attempt(&decode, Status::Succeeded);
    assert_eq!(released_ids(&out), ["a"]);
    assert_eq!(final_answers(&out), [(1, Answer::Succeeded)]);
    // The release may overtake the end of the broken prefill on another connection, so it is repeated until a later
    // answer shows that the engine works.
    assert_eq!(released_ids(&harness.advance(500.0)), ["a"]);
    for n in 2.. {
        let next = start_prefill(&mut harness, n, &n.to_string(), "draft");
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
    assert_eq!(
        released_ids(&harness.advance(500.0)),
        ["a"],
        "the release is repeated once more"
    );
    assert!(
        !released_ids(&harness.advance(10_000.0)).contains(&"a".to_owned()),
        "the release is not repeated after that"
    );
}

/// An engine does not confirm a release. Another engine is called within the KV state timeout, and the rate of calls
/// stays bounded until the release is given up.
#[test]
fn an_unconfirmed_release_is_sent_to_another_engine_in_time() {
    let mut harness = harness();
    harness.confirm_releases_immediately = false;
    let prefill = start_prefill(&mut harness, 1, "a", "draft");
    let out = harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(released_ids(&out), ["a"]);
    let first_release = harness.out.iter().rev().find_map(|o| match o {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    body: Some(Body::Release(_)),
                    ..
                },
        } => Some(*connection),
        _ => None,
    });
    let out = harness.advance(400.0);
    let engines: Vec<String> = out
        .iter()
        .filter_map(|o| match o {
            Output::Dial { engine, .. } => Some(engine.0.to_string()),
            _ => None,
        })
        .collect();
    assert!(
        !released_ids(&out).is_empty(),
        "the release is repeated within the KV state timeout"
    );
    assert!(
        engines.iter().any(|engine| *engine != prefill.engine),
        "another engine is called: {engines:?}"
    );
    assert!(first_release.is_some());
    harness.advance(2_000.0);
    let slow_calls = released_ids(&harness.advance(20_000.0)).len();
    assert!(
        (20..=320).contains(&slow_calls),
        "the rate is bounded, and high enough to reach an engine that recovers: {slow_calls} calls in 20 s"
    );
    harness.advance(60_000.0);
    assert_eq!(
        released_ids(&harness.advance(20_000.0)),
        Vec::<String>::new(),
        "the release is given up"
    );
}

/// A client sends a request with the id of an open request. The new request is refused, and the open one continues.
#[test]
fn a_request_with_the_id_of_an_open_one_is_refused() {
    let mut harness = harness();
    let prefill = start_prefill(&mut harness, 1, "a", "draft");
    let out = send_request(&mut harness, 2, request_message("a", "draft"));
    assert!(
        matches!(client_messages(&out)[..], [(1, Body::InvalidRequest(_))]),
        "{out:?}"
    );
    assert!(harness.attempts(&out).is_empty() && released_ids(&out).is_empty());
    harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let out = harness.end_attempt(&prefill, Status::PrefillDone);
    let decode = harness
        .attempts(&out)
        .pop()
        .expect("the open request continues");
    harness.send_from_engine(&decode, tokens(0));
    assert_eq!(
        final_answers(&harness.end_attempt(&decode, Status::Succeeded)),
        [(1, Answer::Succeeded)]
    );
    // Once the request is over, its id can be used again.
    let out = send_request(&mut harness, 3, request_message("a", "draft"));
    assert!(!harness.attempts(&out).is_empty());
}

/// A request takes 1.5 s to arrive. Its deadline counts from its first part.
#[test]
fn the_deadline_counts_from_the_first_part_of_a_request() {
    let mut harness = harness();
    harness.handle(Input::ClientConnected {
        conn: ClientConnectionId(1),
    });
    harness.handle(Input::ClientRequestBegun {
        conn: ClientConnectionId(1),
    });
    harness.advance(1500.0);
    let begin = harness.now;
    send_request(&mut harness, 1, request_message("a", "proof"));
    harness.dials_succeed = false;
    harness.advance(3000.0);
    assert_eq!(
        final_answers(&harness.out).len(),
        1,
        "the request is answered within the 2,500 ms that are left; {} ms have passed since it was complete",
        harness.now - begin
    );
}

/// At most two connections to all engines together are allowed. An idle connection is closed for each new one that
/// is needed.
#[test]
fn an_idle_connection_is_closed_at_the_limit_over_all_engines() {
    let limits = single_limits();
    let http1 = limits.http1.map(|http1| Http1Limits {
        max_engine_connections: 2,
        ..http1
    });
    let mut harness = harness_with(Limits { http1, ..limits });
    let decode = start_decode(&mut harness, 1, "a", "draft");
    harness.send_from_engine(&decode, tokens(0));
    harness.end_attempt(&decode, Status::Succeeded);
    for n in 2..30 {
        let decode = start_decode(&mut harness, n, &n.to_string(), "draft");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, Status::Succeeded);
        assert!(harness.dispatcher.usage().connections <= 2);
    }
}

/// Clients connect and send nothing, or half a request. Their connections are closed in time. At the limit of client
/// connections, an idle connection is drained to admit a new client. A connection with an open request is not drained.
#[test]
fn idle_clients_are_closed_in_time_and_at_the_connection_limit() {
    let mut harness = harness();
    for conn in 1..=3 {
        harness.handle(Input::ClientConnected {
            conn: ClientConnectionId(conn),
        });
        harness.advance(1.0);
    }
    send_request(&mut harness, 1, request_message("a", "draft"));
    let out = harness.handle(Input::ClientLimitReached);
    assert_eq!(
        out,
        [Output::DrainClient {
            conn: ClientConnectionId(2)
        }],
        "the idle connection is drained, and not the one with an open request"
    );
    harness.handle(Input::ClientRequestBegun {
        conn: ClientConnectionId(3),
    });
    let out = harness.advance(2500.0);
    let refusal = Output::RefusePartialRequest {
        conn: ClientConnectionId(3),
        cause: RefusalCause::TimedOut,
    };
    assert_eq!(
        out.iter().filter(|o| **o == refusal).count(),
        1,
        "the client with half a request is refused"
    );
    let closes = |o: &&Output| matches!(o, Output::CloseClient { .. });
    assert_eq!(harness.out.iter().filter(closes).count(), 0);
    let ends_first_client = |o: &&Output| match o {
        Output::RefusePartialRequest { conn, .. } | Output::DrainClient { conn } => {
            *conn == ClientConnectionId(1)
        }
        _ => false,
    };
    assert_eq!(harness.out.iter().filter(ends_first_client).count(), 0);
}

/// Guards against lost requests and against connections that stay open forever: the rest of a request was received
/// before its refusal took effect. The request is answered, and its connection has its timeouts again.
#[test]
fn a_request_that_arrives_before_its_refusal_takes_effect_is_answered_and_its_connection_continues()
{
    let mut harness = harness();
    let conn = ClientConnectionId(1);
    harness.handle(Input::ClientConnected { conn });
    harness.handle(Input::ClientRequestBegun { conn });
    let cause = RefusalCause::TimedOut;
    let refusal = Output::RefusePartialRequest { conn, cause };
    assert!(harness.advance(2_000.0).contains(&refusal));
    let decode = start_decode(&mut harness, 1, "a", "draft");
    harness.send_from_engine(&decode, tokens(0));
    let out = harness.end_attempt(&decode, Status::Succeeded);
    assert_eq!(final_answers(&out), [(1, Answer::Succeeded)]);
    harness.handle(Input::ClientRequestBegun { conn });
    assert!(
        harness.advance(2_000.0).contains(&refusal),
        "the next request of the connection has a timeout as well"
    );
}

/// The process is stopped while clients still send requests. Requests are accepted until the end of the accept period.
/// A stream that lasts too long is migrated: it fails, and its client resumes it at another dispatcher.
#[test]
fn a_stop_accepts_requests_for_a_period_and_migrates_long_streams() {
    let limits = Limits {
        stop_accept_period: 600.0,
        stop_streams_after: Some(2500.0),
        stop_grace: 60_000.0,
        ..single_limits()
    };
    let mut harness = harness_with(limits);
    let decode = start_decode(&mut harness, 1, "a", "draft");
    harness.send_from_engine(&decode, tokens(0));
    harness.handle(Input::Stop);
    let out = send_request(&mut harness, 2, request_message("b", "draft"));
    assert!(
        !harness.attempts(&out).is_empty(),
        "a stopping dispatcher accepts requests during the accept period"
    );
    harness.advance(700.0);
    assert_eq!(
        final_answers(&send_request(
            &mut harness,
            3,
            request_message("c", "draft")
        )),
        [(1, Answer::Rejected)]
    );
    let out = harness.advance(1700.0);
    assert_eq!(final_answers(&out), []);
    let out = harness.advance(200.0);
    assert_eq!(
        final_answers(&out),
        [(1, Answer::Failed)],
        "the stream is migrated; the request without a token continues"
    );
    assert!(!out.iter().any(|o| matches!(o, Output::Stopped)));
    assert_eq!(harness.dispatcher.usage().requests, 1);
}

/// A stream begins only after a stop has migrated the open streams. It is migrated as well, before the process is
/// killed.
#[test]
fn a_stream_that_begins_after_the_migration_is_migrated_as_well() {
    let limits = Limits {
        stop_accept_period: 600.0,
        stop_streams_after: Some(800.0),
        stop_grace: 60_000.0,
        ..single_limits()
    };
    let mut harness = harness_with(limits);
    let finished = start_decode(&mut harness, 2, "finished", "draft");
    harness.send_from_engine(&finished, tokens(0));
    harness.end_attempt(&finished, Status::Succeeded);
    let decode = start_decode(&mut harness, 1, "a", "draft");
    harness.handle(Input::Stop);
    harness.advance(900.0);
    harness.send_from_engine(&decode, tokens(0));
    let out = harness.advance(200.0);
    assert_eq!(
        final_answers(&out),
        [(1, Answer::Failed)],
        "the client can resume the stream elsewhere before the process is killed"
    );
}

#[test]
fn a_dispatcher_is_ready_from_its_first_endpoint_list_until_it_stops() {
    let ping = || Body::Ping(v1::Ping {});
    let mut empty = cindercleat_dispatcher::state::Dispatcher::new(settings(), 1);
    let mut out = Vec::new();
    empty.handle(
        1.0,
        Input::Client {
            conn: ClientConnectionId(1),
            frame: frame(1, ping()),
        },
        &mut out,
    );
    assert!(matches!(client_messages(&out)[..], [(1, Body::Goodbye(_))]));
    let mut harness = harness();
    assert!(matches!(
        client_messages(&send_request(&mut harness, 1, ping()))[..],
        [(1, Body::Pong(_))]
    ));
    harness.handle(Input::Stop);
    assert!(matches!(
        client_messages(&send_request(&mut harness, 2, ping()))[..],
        [(1, Body::Goodbye(_))]
    ));
}

/// Engines are replaced continually. The dispatcher keeps no data of engines that are gone.
#[test]
fn no_data_is_kept_of_engines_that_are_gone() {
    use v1::EndpointStatus::{Gone, Ready};
    let mut harness = harness();
    for n in 0..200 {
        let (prefill_engine, decode_engine) = (format!("r-{n}"), format!("w-{n}"));
        harness.update_endpoint(&prefill_engine, Ready);
        harness.update_endpoint(&decode_engine, Ready);
        let decode = start_decode(&mut harness, n, &n.to_string(), "draft");
        harness.send_from_engine(&decode, tokens(0));
        harness.update_endpoint(&prefill_engine, Gone);
        harness.update_endpoint(&decode_engine, Gone);
        assert_eq!(
            final_answers(&harness.end_attempt(&decode, Status::Succeeded)),
            [(1, Answer::Succeeded)],
            "the stream continued"
        );
        harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(n),
        });
    }
    harness.advance(60_000.0);
    let usage = harness.dispatcher.usage();
    assert_eq!(
        (usage.engines, usage.connections, usage.requests),
        (4, 0, 0)
    );
    assert!(usage.timers < 10, "{usage:?}");
}

/// The connections on which `out` sends releases.
fn connections_with_releases(out: &[Output]) -> Vec<EngineConnectionId> {
    let release = |output: &Output| match output {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    body: Some(Body::Release(_)),
                    ..
                },
        } => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// Creates a dispatcher with prefill engines `r1` to `r8` and decode engines `w1` to `w8`.
fn harness_with_many_engines() -> Harness {
    let mut harness = harness();
    let names: Vec<String> = ["r", "w"]
        .iter()
        .flat_map(|kind| (1..=8).map(move |at| format!("{kind}{at}")))
        .collect();
    let ready: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), v1::EndpointStatus::Ready))
        .collect();
    harness.handle(Input::EndpointsUpdated(endpoint_list(
        v1::EndpointUpdateKind::Snapshot,
        &ready,
    )));
    harness
}

/// All engines but one become unresponsive, and their idle connections stay open. A release reaches the remaining
/// engine in time.
#[test]
fn a_release_reaches_a_working_engine_among_unresponsive_ones_with_idle_connections() {
    let mut harness = harness_with_many_engines();
    // Sends requests of many sessions until each engine has an idle connection. Each decode engine sends a token, which
    // tells the dispatcher that the attempt has arrived and its KV state need not be released.
    let mut connected = std::collections::BTreeSet::new();
    let mut n = 1;
    while connected.len() < 16 {
        n += 1;
        let message = v1::Submit {
            session: n,
            ..submit("draft")
        };
        let origin = Some(v1::Origin {
            id: n.to_string(),
            ..v1::Origin::default()
        });
        let out = send_request(
            &mut harness,
            n,
            Body::Submit(v1::Submit { origin, ..message }),
        );
        let prefill = harness
            .attempts(&out)
            .pop()
            .expect("a prefill attempt is sent");
        let out = harness.end_attempt(&prefill, Status::PrefillDone);
        let decode = harness
            .attempts(&out)
            .pop()
            .expect("a decode attempt is sent");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, Status::Succeeded);
        connected.extend([prefill.engine, decode.engine]);
        harness.advance(10.0);
        assert!(
            n < 2_000,
            "requests reach only these engines: {connected:?}"
        );
    }
    // All engines but one become unresponsive while a KV state is held; their connections stay open. The remaining
    // engine continues the stream of another request.
    harness.confirm_releases_immediately = false;
    let busy = start_decode(&mut harness, 1, "busy", "draft");
    harness.send_from_engine(&busy, tokens(0));
    let prefill = start_prefill(&mut harness, 2, "last", "draft");
    harness.end_attempt(&prefill, Status::PrefillDone);
    // After 200 ms without a message, no engine counts as responsive. The decode attempt is still open.
    harness.advance(200.0);
    harness.send_from_engine(&busy, tokens(1));
    let since = harness.now;
    let mut out = harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let mut position = 2;
    let reached_after = loop {
        let called: Vec<String> = connections_with_releases(&out)
            .iter()
            .map(|connection| harness.engine_of(*connection).to_owned())
            .collect();
        if called.contains(&busy.engine) {
            break harness.now - since;
        }
        assert!(
            harness.now - since < 500.0,
            "only these engines were called: {called:?}"
        );
        out = harness.advance(10.0);
        harness.send_from_engine(&busy, tokens(position));
        position += 1;
    };
    assert!(
        reached_after <= 300.0,
        "the release reached the engine only after {reached_after} ms"
    );
}

/// No connection to a decode engine is established while a KV state is held. The state is released in time.
#[test]
fn a_state_is_released_in_time_while_no_decode_engine_accepts_connections() {
    let mut harness = harness_with_many_engines();
    let prefill = start_prefill(&mut harness, 1, "a", "draft");
    // Connection attempts to decode engines stay pending until they time out; the connection to the prefill engine is
    // idle.
    harness.dials_succeed = false;
    let mut out = harness.end_attempt(&prefill, Status::PrefillDone);
    let since = harness.now;
    let mut dialled = 0;
    while connections_with_releases(&out).is_empty() {
        dialled += out
            .iter()
            .filter(|output| matches!(output, Output::Dial { .. }))
            .count();
        assert!(
            harness.now - since < 2_000.0,
            "the KV state is not released"
        );
        out = harness.advance(10.0);
    }
    assert!(dialled >= 2, "only {dialled} connections were dialled");
    // A KV state may be held for the KV state timeout plus 0.3 s, whatever has failed.
    let held_for = harness.now - since;
    assert!(held_for <= 600.0, "released after {held_for} ms");
}

/// A client leaves while its prompt is prefilled. A release through another engine could arrive before the KV state
/// exists, so the prefill's own engine is called first.
#[test]
fn the_release_of_a_cancelled_prefill_goes_to_its_own_engine_first() {
    let mut harness = harness_with_many_engines();
    // Another engine has just sent a message. The prefill's engine has sent none for 1 s.
    let busy = start_decode(&mut harness, 1, "busy", "draft");
    let prefill = start_prefill(&mut harness, 2, "cut", "draft");
    harness.advance(1_000.0);
    harness.send_from_engine(&busy, tokens(0));
    let out = harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let called: Vec<&str> = connections_with_releases(&out)
        .iter()
        .map(|connection| harness.engine_of(*connection))
        .collect();
    assert_eq!(
        called,
        [prefill.engine.as_str()],
        "a release through another engine could arrive before the state exists"
    );
}
