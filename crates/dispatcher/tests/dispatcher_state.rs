//! The dispatcher's state machine without sockets: each test causes one failure and checks the dispatcher's
//! reaction.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input, Level, Output, StreamId};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_protocol::v1::{Answer, EndpointStatus, EndpointUpdateKind, Status};
use cindercleat_protocol::{frame, v1, Body};
use common::*;

#[test]
fn a_request_is_prefilled_decoded_and_answered_once() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(5, "draft");
    harness.send_from_engine(&decode, tokens(1));
    harness.end_attempt(&decode, Status::Succeeded);
    let message_streams: Vec<u64> = client_messages(&harness.out)
        .iter()
        .map(|(stream, _)| *stream)
        .collect();
    assert_eq!(
        message_streams,
        [5, 5, 5, 5],
        "the client gets the acceptance, two tokens and one final answer"
    );
    assert_eq!(final_answers(&harness.out), [(5, Answer::Succeeded)]);
    assert_eq!(harness.dispatcher.usage().requests, 0);
    assert_eq!(final_answers(&harness.advance(60_000.0)), []);
}

/// An attempt waits for its connection, and discovery reports that the engine drains before the connection is
/// established. The attempt must not be sent to that engine; the request goes to another one.
#[test]
fn an_attempt_is_not_sent_to_an_engine_that_drains_while_its_connection_is_established() {
    let mut harness = Harness::new();
    harness.dials_succeed = false;
    let out = harness.send_from_client(1, Body::Submit(submit("proof")));
    let dialled = out.iter().find_map(|o| match o {
        Output::Dial {
            connection, engine, ..
        } => Some((*connection, engine.0.to_string())),
        _ => None,
    });
    let (connection, engine) = dialled.expect("a prefill engine is dialled");
    harness.update_endpoint(&engine, EndpointStatus::Draining);
    harness.dials_succeed = true;
    let out = harness.handle(Input::ConnectionEstablished {
        connection,
        limit: None,
    });
    let sent_to: Vec<String> = harness
        .attempts(&out)
        .into_iter()
        .map(|attempt| attempt.engine)
        .collect();
    assert!(
        sent_to.iter().all(|to| *to != engine),
        "the attempt is sent to {engine}, which drains: {sent_to:?}"
    );
    assert_eq!(
        sent_to.len(),
        1,
        "the request goes to the other prefill engine"
    );
}

/// A decode engine begins to drain while a prompt is prefilled. The decode attempt must go to another decode engine.
#[test]
fn a_decode_engine_that_drains_while_a_kv_state_is_held_gets_no_attempt() {
    let mut harness = Harness::new();
    let prefill = harness.start_prefill(1, "draft");
    harness.update_endpoint("w1", EndpointStatus::Draining);
    let out = harness.end_attempt(&prefill, Status::PrefillDone);
    assert_eq!(
        harness
            .attempts(&out)
            .iter()
            .map(|attempt| &*attempt.engine)
            .collect::<Vec<_>>(),
        ["w2"]
    );
}

/// A hundred requests are open when all prefill engines drain or are gone. Each prefill that ends frees capacity at its
/// engine. No new attempt may be sent to these engines, and each request gets one answer.
#[test]
fn queued_requests_are_not_sent_to_draining_engines() {
    let mut harness = Harness::new();
    for stream in 1..=100 {
        harness.send_from_client(stream, Body::Submit(submit("draft")));
    }
    harness.update_endpoint("r1", EndpointStatus::Draining);
    harness.update_endpoint("r2", EndpointStatus::Gone);
    let output_count = harness.out.len();
    // The open prefills end, which would free capacity for waiting requests.
    for prefill in harness.attempts(&harness.out.clone()) {
        harness.end_attempt(&prefill, Status::Overloaded);
    }
    harness.advance(10_000.0);
    let after = harness.out[output_count..].to_vec();
    assert_eq!(
        harness.attempts(&after).len(),
        0,
        "no attempt is sent to prefill engines that drain or are gone"
    );
    assert_eq!(final_answers(&harness.out).len(), 100);
    assert!(final_answers(&harness.out)
        .iter()
        .all(|(_, answer)| *answer == Answer::Rejected));
    assert_eq!(harness.dispatcher.usage().requests, 0);
}

/// The connection of a decode attempt breaks before its first token. The attempt may have run: the request is
/// retried if it may run twice, and an at-most-once request fails.
#[test]
fn a_lost_decode_attempt_without_a_token_is_retried_only_if_it_may_run_twice() {
    for (request_class, again) in [("draft", true), ("caption", true), ("proof", false)] {
        let mut harness = Harness::new();
        let decode = harness.start_decode(1, request_class);
        let reason = "reset".to_owned();
        let out = harness.handle(Input::ConnectionClosed {
            connection: decode.connection,
            reason,
        });
        assert_eq!(
            !harness.attempts(&out).is_empty(),
            again,
            "whether {request_class} is sent again"
        );
        let answers: Vec<Answer> = final_answers(&out).into_iter().map(|(_, a)| a).collect();
        assert_eq!(
            answers,
            if again { vec![] } else { vec![Answer::Failed] },
            "{request_class}"
        );
    }
}

/// The connection of a decode attempt breaks in the middle of its stream. Tokens that the client has received cannot
/// be taken back, so the request fails and is not retried.
#[test]
fn a_decode_attempt_lost_in_mid_stream_fails_without_a_retry() {
    for request_class in ["draft", "proof"] {
        let mut harness = Harness::new();
        let decode = harness.start_stream(1, request_class);
        for position in 1..4 {
            harness.send_from_engine(&decode, tokens(position));
        }
        let out = harness.handle(Input::ConnectionClosed {
            connection: decode.connection,
            reason: "reset".to_owned(),
        });
        assert_eq!(
            final_answers(&out),
            [(1, Answer::Failed)],
            "{request_class}"
        );
        let later_out = harness.advance(10_000.0);
        assert!(harness.attempts(&out).is_empty() && harness.attempts(&later_out).is_empty());
        assert_eq!(client_messages(&later_out), []);
        assert_eq!(harness.dispatcher.usage().requests, 0);
    }
}

/// A decode engine never answers. The request gets one answer before its deadline and its attempt is cancelled.
/// Later messages of the engine, or the loss of its connection, change nothing.
#[test]
fn an_unresponsive_decode_engine_is_given_up_before_the_deadline() {
    for request_class in ["draft", "proof"] {
        let mut harness = Harness::new();
        let (begin, decode) = (harness.now, harness.start_decode(1, request_class));
        let out = harness.advance(3999.0);
        let answers = final_answers(&out);
        assert_eq!(answers.len(), 1, "{request_class} is answered in time");
        assert!(harness.now <= begin + 4000.0);
        assert!(
            request_class == "draft" || answers[0].1 == Answer::Failed,
            "the at-most-once request fails, as it may have run"
        );
        assert!(engine_message_names(&out).contains(&"cancel"));
        // The attempt's outcome arrives after its cancellation, and its connection breaks after the client has left.
        let late_out = harness.end_attempt(&decode, Status::Succeeded);
        harness.send_from_client(1, Body::Cancel(v1::Cancel {}));
        let closed_out = harness.handle(Input::ConnectionClosed {
            connection: decode.connection,
            reason: "reset".to_owned(),
        });
        assert_eq!(client_messages(&[late_out, closed_out].concat()), []);
        assert_eq!(harness.dispatcher.usage().requests, 0);
    }
}

/// A client cancels while its prompt is prefilled, and the prefill ends before the cancel reaches its engine. The KV
/// state is released; otherwise it would stay pinned at the engine.
#[test]
fn the_state_of_a_prefill_that_ends_after_its_cancel_is_released() {
    let mut harness = Harness::new();
    let prefill = harness.start_prefill(1, "draft");
    let out = harness.send_from_client(1, Body::Cancel(v1::Cancel {}));
    assert_eq!(
        engine_message_names(&out),
        ["cancel", "release"],
        "a release follows the cancel, as the prefill may end without a report"
    );
    let out = harness.end_attempt(&prefill, Status::PrefillDone);
    assert_eq!(
        engine_message_names(&out),
        ["release"],
        "the KV state does not stay pinned"
    );
    assert_eq!(client_messages(&out), []);
}

/// All decode engines leave service while a prefill runs. No decode engine can use its KV state, so the state is
/// released in time and the request is rejected.
#[test]
fn a_kv_state_that_no_decode_engine_can_take_is_released_in_time() {
    let mut harness = Harness::new();
    let prefill = harness.start_prefill(1, "draft");
    harness.update_endpoint("w1", EndpointStatus::Gone);
    harness.update_endpoint("w2", EndpointStatus::Draining);
    let out = harness.end_attempt(&prefill, Status::PrefillDone);
    assert_eq!(engine_message_names(&out), Vec::<&str>::new());
    let out = harness.advance(499.0);
    assert!(engine_message_names(&out).contains(&"release"));
    assert_eq!(final_answers(&out), [(1, Answer::Rejected)]);
}

/// An engine ends one attempt twice in one read of the socket. The first end completes the request. The second one
/// violates the protocol, and the connection is closed.
#[test]
fn a_second_end_of_an_attempt_closes_the_connection() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(1, "proof");
    let out = harness.end_attempt(&decode, Status::Succeeded);
    assert_eq!(final_answers(&out), [(1, Answer::Succeeded)]);
    let out = harness.end_attempt(&decode, Status::Failed);
    assert_eq!(
        client_messages(&out),
        [],
        "the client gets no second answer"
    );
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::CloseConnection { .. })));
}

/// A client cancels, and then closes its connection, just as its answer is sent. The dispatcher sends nothing more.
#[test]
fn a_client_that_leaves_as_its_answer_is_sent_changes_nothing() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(1, "draft");
    harness.end_attempt(&decode, Status::Succeeded);
    let out = harness.send_from_client(1, Body::Cancel(v1::Cancel {}));
    assert_eq!(out, []);
    let out = harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(client_messages(&out), []);
}

/// A client closes its connection in the middle of its stream. The attempt is cancelled, and tokens that arrive
/// after that are ignored.
#[test]
fn a_client_that_leaves_cancels_its_decode_attempt() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(1, "proof");
    let out = harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(engine_message_names(&out), ["cancel"]);
    let out = harness.send_from_engine(&decode, tokens(1));
    assert_eq!(out, [], "late tokens are ignored");
    harness.end_attempt(&decode, Status::Cancelled);
    assert_eq!(harness.dispatcher.usage().requests, 0);
}

/// An engine violates the protocol in one of three ways. Its connection is closed with all attempts on it, and
/// requests on other connections continue.
#[test]
fn an_engine_that_violates_the_protocol_loses_its_connection_and_its_attempts() {
    // The three violations: tokens out of order, tokens beyond the credit, and an end that only a prefill can have.
    let out_of_order =
        |harness: &mut Harness, decode: &SentAttempt| harness.send_from_engine(decode, tokens(7));
    let beyond_credit = |harness: &mut Harness, decode: &SentAttempt| {
        (1..=4)
            .map(|at| harness.send_from_engine(decode, tokens(at)))
            .last()
            .unwrap_or_default()
    };
    let wrong_end = |harness: &mut Harness, decode: &SentAttempt| {
        harness.end_attempt(decode, Status::PrefillDone)
    };
    for violation in [out_of_order, beyond_credit, wrong_end]
        as [fn(&mut Harness, &SentAttempt) -> Vec<Output>; 3]
    {
        let mut harness = Harness::new();
        let decode = harness.start_stream(1, "draft");
        let other = harness.start_stream(2, "draft");
        let out = violation(&mut harness, &decode);
        assert!(out
            .iter()
            .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
        let answers = final_answers(&out);
        assert!(answers.contains(&(1, Answer::Failed)));
        assert_eq!(
            answers.len(),
            if other.connection == decode.connection {
                2
            } else {
                1
            },
            "requests on other connections continue"
        );
    }
}

/// One stream is not read and another is read immediately. Only the decode engine of the second stream gets credit, and
/// the connection of the client that does not read is closed after the stall timeout.
#[test]
fn a_slow_client_blocks_only_its_own_decode_attempt() {
    let mut harness = Harness::new();
    let slow = harness.start_stream(1, "draft");
    let fast = harness.start_stream(2, "draft");
    for position in 1..4 {
        assert!(
            !engine_message_names(&harness.send_from_engine(&slow, tokens(position)))
                .contains(&"credit")
        );
        harness.send_from_engine(&fast, tokens(position));
    }
    let forwarded = Input::MessagesForwarded {
        conn: ClientConnectionId(1),
        stream: StreamId(2),
        messages: 4,
    };
    let out = harness.handle(forwarded);
    let credited = out.iter().find_map(|o| match o {
        Output::ToEngine { connection, frame } => {
            Some((*connection, frame.stream, frame.body.clone()))
        }
        _ => None,
    });
    assert_eq!(
        credited,
        Some((
            fast.connection,
            fast.stream,
            Some(Body::Credit(v1::Credit { messages: 4 }))
        ))
    );
    // The client that reads nothing is closed after the stall timeout; the other stream continues.
    for position in 4..8 {
        harness.advance(300.0);
        harness.send_from_engine(&fast, tokens(position));
        harness.handle(Input::MessagesForwarded {
            conn: ClientConnectionId(1),
            stream: StreamId(2),
            messages: 1,
        });
    }
    assert!(harness
        .out
        .iter()
        .any(|o| matches!(o, Output::CloseClient { .. })));
    assert_eq!(harness.dispatcher.usage().requests, 1);
}

/// A decode engine sends one token and then nothing. The request fails after the stall timeout, and not before.
#[test]
fn a_stream_that_stalls_at_its_engine_fails_after_the_stall_timeout() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(1, "draft");
    harness.handle(Input::MessagesForwarded {
        conn: ClientConnectionId(1),
        stream: StreamId(1),
        messages: 1,
    });
    assert_eq!(
        final_answers(&harness.advance(999.0)),
        [],
        "the request does not fail before the stall timeout"
    );
    assert_eq!(final_answers(&harness.advance(2.0)), [(1, Answer::Failed)]);
    assert_eq!(
        client_messages(&harness.send_from_engine(&decode, tokens(1))),
        []
    );
}

/// An engine never ends a cancelled attempt, which would occupy its stream forever. Its connection is closed after
/// the stall timeout.
#[test]
fn an_engine_that_never_ends_a_cancelled_attempt_loses_its_connection() {
    let mut harness = Harness::new();
    let decode = harness.start_stream(1, "draft");
    harness.send_from_client(1, Body::Cancel(v1::Cancel {}));
    let out = harness.advance(1001.0);
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
}

/// More requests come than may be open at the same time. The request beyond the limit is rejected, as nothing of it
/// has run.
#[test]
fn a_request_beyond_the_limit_of_open_requests_is_rejected() {
    let mut harness = Harness::with(ProgramSettings {
        limits: Limits {
            max_open_requests: 2,
            ..limits()
        },
        ..settings()
    });
    for stream in 1..=3 {
        harness.send_from_client(stream, Body::Submit(submit("proof")));
    }
    assert_eq!(final_answers(&harness.out), [(3, Answer::Rejected)]);
    assert_eq!(harness.dispatcher.usage().requests, 2);
}

/// A client sends requests with invalid fields. Each is refused with the name of its field. A message that violates
/// the protocol closes only its own connection.
#[test]
fn an_invalid_request_is_refused_with_its_field_and_other_requests_continue() {
    let mut harness = Harness::new();
    let invalid_requests = [
        (
            "profile",
            v1::Submit {
                request_class: "none".to_owned(),
                ..submit("draft")
            },
        ),
        (
            "tenant",
            v1::Submit {
                tenant: "none".to_owned(),
                ..submit("draft")
            },
        ),
        (
            "patience_ms",
            v1::Submit {
                time_to_deadline_ms: f64::NAN,
                ..submit("draft")
            },
        ),
        (
            "prompt_tokens",
            v1::Submit {
                prompt_tokens: 0,
                ..submit("draft")
            },
        ),
        (
            "max_tokens",
            v1::Submit {
                max_tokens: 0,
                ..submit("draft")
            },
        ),
        (
            "shared_tokens",
            v1::Submit {
                shared_tokens: 501,
                ..submit("draft")
            },
        ),
    ];
    for (stream, (field, submit)) in invalid_requests.into_iter().enumerate() {
        let out = harness.send_from_client(stream as u64 + 1, Body::Submit(submit));
        let messages = client_messages(&out);
        assert!(
            matches!(&messages[..], [(_, Body::InvalidRequest(r))] if r.field == field),
            "{field}: {messages:?}"
        );
    }
    assert_eq!(harness.dispatcher.usage().requests, 0);
    harness.start_stream(9, "draft");
    let out = harness.send_from_client(9, Body::Submit(submit("draft")));
    assert!(
        out.iter().any(|o| matches!(o, Output::CloseClient { .. })),
        "a client that reuses an open stream is closed"
    );
    let out = harness.handle(Input::Client {
        conn: ClientConnectionId(2),
        frame: frame(1, tokens(0)),
    });
    assert!(out.iter().any(|o| matches!(
        o,
        Output::CloseClient {
            conn: ClientConnectionId(2),
            ..
        }
    )));
}

/// The process is stopped with one request that finishes, one that hangs and one that waits for its connection. New
/// requests are rejected, and each open request gets one answer within the grace period.
#[test]
fn a_stop_rejects_new_requests_and_answers_open_ones_within_the_grace_period() {
    let mut harness = Harness::new();
    let finishing = harness.start_stream(1, "draft");
    let hanging = harness.start_stream(2, "proof");
    harness.dials_succeed = false;
    harness.send_from_client(3, Body::Submit(submit("proof")));
    let out = harness.handle(Input::Stop);
    assert!(!out.contains(&Output::Stopped));
    let out = harness.send_from_client(4, Body::Submit(submit("draft")));
    assert_eq!(final_answers(&out), [(4, Answer::Rejected)]);
    let mut out = harness.end_attempt(&finishing, Status::Succeeded);
    assert_eq!(final_answers(&out), [(1, Answer::Succeeded)]);
    for position in 1..4 {
        out.extend(harness.advance(500.0));
        harness.send_from_engine(&hanging, tokens(position));
        harness.handle(Input::MessagesForwarded {
            conn: ClientConnectionId(1),
            stream: StreamId(2),
            messages: 1,
        });
    }
    out.extend(harness.advance(600.0));
    assert!(final_answers(&harness.out).contains(&(2, Answer::Failed)));
    assert_eq!(
        final_answers(&harness.out).len(),
        4,
        "each request gets one answer"
    );
    assert_eq!(
        harness
            .out
            .iter()
            .filter(|o| **o == Output::Stopped)
            .count(),
        1
    );
}

/// Discovery cannot be reached when the dispatcher starts. The cached endpoints are used until discovery's first
/// snapshot replaces them.
#[test]
fn cached_endpoints_are_used_until_discovery_sends_a_snapshot() {
    let ready = EndpointStatus::Ready;
    let mut dispatcher = cindercleat_dispatcher::state::Dispatcher::new(settings(), 1);
    let mut out = Vec::new();
    dispatcher.handle(
        1.0,
        Input::CachedEndpoints(endpoint_list(
            EndpointUpdateKind::Snapshot,
            &[("r1", ready), ("w1", ready)],
        )),
        &mut out,
    );
    dispatcher.handle(
        2.0,
        Input::Client {
            conn: ClientConnectionId(1),
            frame: frame(1, Body::Submit(submit("draft"))),
        },
        &mut out,
    );
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::Dial { engine, .. } if &*engine.0 == "r1")));
    assert!(
        !out.iter().any(|o| matches!(o, Output::CacheEndpoints(_))),
        "endpoints that were read from the cache are not written to it again"
    );
    out.clear();
    dispatcher.handle(
        3.0,
        Input::EndpointsUpdated(endpoint_list(
            EndpointUpdateKind::Snapshot,
            &[("w1", ready)],
        )),
        &mut out,
    );
    let cached = out.iter().find_map(|o| match o {
        Output::CacheEndpoints(list) => Some(
            list.endpoints
                .iter()
                .map(|endpoint| endpoint.engine.clone())
                .collect::<Vec<_>>(),
        ),
        _ => None,
    });
    assert_eq!(
        cached,
        Some(vec!["w1".to_owned()]),
        "an engine that the snapshot does not contain is removed"
    );
}

/// An endpoint update has one entry with an unknown zone and one whose weight is not a number. The first is skipped
/// with a warning, the second is used.
#[test]
fn an_invalid_endpoint_is_skipped_and_the_others_are_used() {
    let mut harness = Harness::new();
    let mut list = endpoint_list(
        EndpointUpdateKind::Delta,
        &[("w3", EndpointStatus::Ready), ("w4", EndpointStatus::Ready)],
    );
    list.endpoints[0].zone = "nowhere".to_owned();
    list.endpoints[1].weight = f64::NAN;
    let out = harness.handle(Input::EndpointsUpdated(list));
    let warned = out
        .iter()
        .filter(|o| matches!(o, Output::Log { text, .. } if text.contains("w3")))
        .count();
    assert_eq!(warned, 1);
}

/// All decode engines are gone when many prefills end at the same instant. All their KV states are released in time.
#[test]
fn many_kv_states_held_at_one_instant_are_all_released_in_time() {
    let mut harness = Harness::new();
    let mut prefills = Vec::new();
    for stream in 1..=400 {
        let out = harness.send_from_client(stream, Body::Submit(submit("draft")));
        prefills.extend(harness.attempts(&out));
    }
    harness.update_endpoint("w1", EndpointStatus::Gone);
    harness.update_endpoint("w2", EndpointStatus::Gone);
    let mut ended = 0;
    let mut out = Vec::new();
    let begin = harness.now;
    while let Some(prefill) = prefills.pop() {
        ended += 1;
        let new_out = harness.end_attempt(&prefill, Status::PrefillDone);
        prefills.extend(harness.attempts(&new_out));
        out.extend(new_out);
    }
    assert!(
        ended >= 10,
        "at least 10 KV states are held at the same instant, not {ended}"
    );
    assert_eq!(harness.now, begin, "all prefills end at the same instant");
    out.extend(harness.advance(499.0));
    let released = engine_message_names(&out)
        .iter()
        .filter(|name| **name == "release")
        .count();
    assert_eq!(released, ended);
}

/// The policy forbids cancels, so an attempt stays open after its request's deadline and after the grace period of a
/// stop. The request gets one answer.
#[test]
fn without_cancellation_a_late_request_is_answered_once_even_during_a_stop() {
    let mut settings = settings();
    settings.policy.may_cancel = false;
    let mut harness = Harness::with(settings);
    let decode = harness.start_decode(1, "proof");
    harness.advance(3000.0);
    harness.handle(Input::Stop);
    assert_eq!(final_answers(&harness.out), []);
    // The deadline expires while the attempt is still open, and the grace period expires after that.
    harness.advance(1500.0);
    assert_eq!(final_answers(&harness.out), [(1, Answer::Failed)]);
    harness.advance(1500.0);
    let late_out = harness.send_from_engine(&decode, tokens(0));
    assert_eq!(client_messages(&late_out), []);
    assert_eq!(final_answers(&harness.out), [(1, Answer::Failed)]);
}

/// More requests arrive than the connections to an engine can carry. No connection beyond the limit is dialled, the
/// request without a stream is rejected in time, and idle connections are closed.
#[test]
fn connections_fill_up_before_another_is_dialled_and_idle_ones_are_closed() {
    let limits = Limits {
        streams_per_connection: 2,
        connections_per_engine: 2,
        ..limits()
    };
    let settings_with_limits = ProgramSettings {
        limits,
        ..settings()
    };
    let mut harness = Harness::with(settings_with_limits);
    harness.update_endpoint("r2", EndpointStatus::Gone);
    for stream in 1..=4 {
        harness.send_from_client(stream, Body::Submit(submit("draft")));
    }
    let dials = |out: &[Output]| {
        out.iter()
            .filter(|o| matches!(o, Output::Dial { .. }))
            .count()
    };
    assert_eq!(
        dials(&harness.out),
        2,
        "two connections carry two prefills each"
    );
    // The fifth request gets no stream on any connection and waits. The dispatcher treats this like an engine at
    // capacity: the request has not run and may be rejected.
    let out = harness.send_from_client(5, Body::Submit(submit("proof")));
    assert_eq!((dials(&out), final_answers(&out)), (0, vec![]));
    let prefills = harness.attempts(&harness.out.clone());
    assert_eq!(prefills.len(), 4);
    let out = harness.advance(1000.0);
    assert_eq!(
        (dials(&out), final_answers(&out)),
        (0, vec![(5, Answer::Rejected)])
    );
    harness.handle(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    for prefill in harness.attempts(&harness.out.clone()) {
        harness.end_attempt(&prefill, Status::Cancelled);
    }
    assert!(harness.dispatcher.usage().connections > 0);
    harness.advance(15_100.0);
    assert_eq!(
        harness.dispatcher.usage().connections,
        0,
        "idle connections are closed"
    );
}

/// An engine's machine fails without closing its connection. The engine is pinged after the keepalive interval.
/// Without an answer the connection is closed, and its attempts are lost.
#[test]
fn an_engine_that_fails_without_closing_its_connection_is_found_by_pings() {
    for (request_class, expected) in [("draft", vec![]), ("proof", vec![(1, Answer::Failed)])] {
        let mut harness = Harness::new();
        harness.answer_pings = false;
        let decode = harness.start_decode(1, request_class);
        let out = harness.advance(1999.0);
        assert!(
            !engine_message_names(&out).contains(&"ping"),
            "no ping is sent before the keepalive interval has passed"
        );
        let out = harness.advance(2.0);
        assert!(engine_message_names(&out).contains(&"ping"));
        let out = harness.advance(1000.0);
        assert!(out
            .iter()
            .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
        assert_eq!(final_answers(&out), expected, "{request_class}");
    }
}

/// An engine refuses every connection while many requests arrive. The dispatcher dials the engine at a bounded rate. A
/// request that arrives after the backoff makes the dispatcher dial again.
#[test]
fn an_unreachable_engine_is_not_dialled_for_every_request() {
    let mut harness = Harness::new();
    harness.dials_succeed = false;
    let dial = |out: &[Output]| {
        out.iter().find_map(|o| match o {
            Output::Dial { connection, .. } => Some(*connection),
            _ => None,
        })
    };
    let mut dials = 0;
    for stream in 1..=50 {
        let out = harness.send_from_client(stream, Body::Submit(submit("draft")));
        if let Some(connection) = dial(&out) {
            dials += 1;
            harness.handle(Input::ConnectionClosed {
                connection,
                reason: "refused".to_owned(),
            });
        }
        harness.advance(10.0);
    }
    assert!((1..=10).contains(&dials), "{dials} dials in half a second");
    // The engine is dialled again after the backoff.
    harness.advance(5000.0);
    let out = harness.send_from_client(99, Body::Submit(submit("draft")));
    assert!(dial(&out).is_some());
}

/// The connection of a prefill breaks. The prefill may have completed although its result is lost, so a KV state may
/// exist. The state is released over the next connection to the engine, as no release can reach the engine earlier.
#[test]
fn the_state_of_a_prefill_with_a_lost_connection_is_released() {
    for request_class in ["draft", "proof"] {
        let mut harness = Harness::new();
        let prefill = harness.start_prefill(1, request_class);
        let out = harness.handle(Input::ConnectionClosed {
            connection: prefill.connection,
            reason: "reset".to_owned(),
        });
        let released: Vec<v1::KvStateId> = out
            .iter()
            .filter_map(|o| match o {
                Output::ToEngine {
                    frame:
                        cindercleat_protocol::Frame {
                            body: Some(Body::Release(r)),
                            ..
                        },
                    ..
                } => r.state,
                _ => None,
            })
            .collect();
        assert_eq!(
            released,
            [prefill.state.expect("attempt names a KV state")],
            "{request_class}"
        );
        // A prefill that its engine rejects as overloaded leaves no KV state to release.
        let mut harness = Harness::new();
        let prefill = harness.start_prefill(1, request_class);
        let out = harness.end_attempt(&prefill, Status::Overloaded);
        assert!(!engine_message_names(&out).contains(&"release"));
    }
}

#[test]
fn the_request_log_names_the_clients_id_and_is_written_only_if_enabled() {
    let request_log = |enabled: bool| {
        let mut harness = Harness::new();
        if enabled {
            harness.dispatcher.enable_request_log();
        }
        let origin = v1::Origin {
            id: "9b1f03aa".to_owned(),
            ..v1::Origin::default()
        };
        harness.send_from_client(
            1,
            Body::Submit(v1::Submit {
                origin: Some(origin),
                ..submit("draft")
            }),
        );
        let prefill = harness.attempts(&harness.out).remove(0);
        harness.end_attempt(&prefill, Status::PrefillDone);
        let request_line = |o: &Output| match o {
            Output::Log {
                level: Level::Debug,
                text,
            } if text.starts_with("request=") => Some(text.clone()),
            _ => None,
        };
        harness
            .out
            .iter()
            .filter_map(request_line)
            .collect::<Vec<_>>()
    };
    let lines = request_log(true);
    assert!(
        lines
            .iter()
            .all(|line| line.starts_with("request=0 id=9b1f03aa ")),
        "{lines:#?}"
    );
    let count_lines = |part: &str| lines.iter().filter(|line| line.contains(part)).count();
    assert_eq!(
        [
            count_lines(" arrived "),
            count_lines(" goes out"),
            count_lines("outcome=PrefillDone")
        ],
        [1, 2, 1],
        "{lines:#?}"
    );
    assert_eq!(request_log(false), Vec::<String>::new());
}
