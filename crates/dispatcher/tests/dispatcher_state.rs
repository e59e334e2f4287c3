//! The dispatcher's state machine without sockets: each test causes one failure, and checks what must and what must not
//! come of it.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, Input, Level, Output, StreamId};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_protocol::v1::{Answer, EndpointStatus, EndpointUpdateKind, Status};
use cindercleat_protocol::{frame, v1, Body};
use common::*;

#[test]
fn a_request_is_read_written_and_answered_once() {
    let mut bench = Bench::new();
    let decode = bench.streaming(5, "draft");
    bench.engine(&decode, tokens(1));
    bench.ended(&decode, Status::Succeeded);
    let found: Vec<u64> = to_client(&bench.out)
        .iter()
        .map(|(stream, _)| *stream)
        .collect();
    assert_eq!(
        found,
        [5, 5, 5, 5],
        "accepted, two tokens, one final answer"
    );
    assert_eq!(finals(&bench.out), [(5, Answer::Succeeded)]);
    assert_eq!(bench.dispatcher.usage().requests, 0);
    assert_eq!(finals(&bench.pass(60_000.0)), []);
}

/// An attempt waits for its connection. Discovery reports meanwhile that the engine drains, and the connection comes up
/// only then. The attempt must not go out there, and the request goes to another engine.
#[test]
fn a_drain_learned_while_an_attempt_is_connected_keeps_it_from_going_out() {
    let mut bench = Bench::new();
    bench.connections_come_up = false;
    let out = bench.client(1, Body::Submit(submit("proof")));
    let dialled = out.iter().find_map(|o| match o {
        Output::Dial {
            connection, engine, ..
        } => Some((*connection, engine.0.to_string())),
        _ => None,
    });
    let (connection, engine) = dialled.expect("a prefill engine is dialled");
    bench.update_endpoint(&engine, EndpointStatus::Draining);
    bench.connections_come_up = true;
    let out = bench.put(Input::ConnectionEstablished {
        connection,
        limit: None,
    });
    let went: Vec<String> = bench.attempts(&out).into_iter().map(|l| l.engine).collect();
    assert!(
        went.iter().all(|to| *to != engine),
        "sent to {engine}, which drains: {went:?}"
    );
    assert_eq!(
        went.len(),
        1,
        "the request goes to the other prefill engine"
    );
}

/// A decode engine begins to drain while a prefill for it runs. The decode attempt must go to another one.
#[test]
fn a_writer_that_drains_while_a_state_is_held_gets_nothing() {
    let mut bench = Bench::new();
    let prefill = bench.prefilling(1, "draft");
    bench.update_endpoint("w1", EndpointStatus::Draining);
    let out = bench.ended(&prefill, Status::PrefillDone);
    assert_eq!(
        bench
            .attempts(&out)
            .iter()
            .map(|l| &*l.engine)
            .collect::<Vec<_>>(),
        ["w2"]
    );
}

/// A hundred requests are open when all prefill engines drain or are gone. As prefills that are out end, room seems to
/// become free; nothing new may go there, and each request gets one answer.
#[test]
fn a_hundred_queued_requests_do_not_follow_a_drain() {
    let mut bench = Bench::new();
    for stream in 1..=100 {
        bench.client(stream, Body::Submit(submit("draft")));
    }
    bench.update_endpoint("r1", EndpointStatus::Draining);
    bench.update_endpoint("r2", EndpointStatus::Gone);
    let seen = bench.out.len();
    // Prefills that are out end, which would make room for those that wait.
    for prefill in bench.attempts(&bench.out.clone()) {
        bench.ended(&prefill, Status::Overloaded);
    }
    bench.pass(10_000.0);
    let after = bench.out[seen..].to_vec();
    assert_eq!(
        bench.attempts(&after).len(),
        0,
        "nothing new goes to prefill engines that drain or are gone"
    );
    assert_eq!(finals(&bench.out).len(), 100);
    assert!(finals(&bench.out)
        .iter()
        .all(|(_, answer)| *answer == Answer::Rejected));
    assert_eq!(bench.dispatcher.usage().requests, 0);
}

/// The connection of a decode attempt breaks before its first token. It may have run: only a request that may run twice
/// goes out again, and an at-most-once request fails.
#[test]
fn a_writer_that_dies_before_the_first_token_ends_what_may_have_run() {
    for (request_class, again) in [("draft", true), ("caption", true), ("proof", false)] {
        let mut bench = Bench::new();
        let decode = bench.decoding(1, request_class);
        let reason = "reset".to_owned();
        let out = bench.put(Input::ConnectionClosed {
            connection: decode.connection,
            reason,
        });
        assert_eq!(
            !bench.attempts(&out).is_empty(),
            again,
            "{request_class} goes out again"
        );
        let answers: Vec<Answer> = finals(&out).into_iter().map(|(_, a)| a).collect();
        assert_eq!(
            answers,
            if again { vec![] } else { vec![Answer::Failed] },
            "{request_class}"
        );
    }
}

/// The connection of a decode attempt breaks in the middle of its stream. What the client has cannot be taken back, so
/// the request fails and nothing is repeated.
#[test]
fn a_writer_that_dies_in_mid_stream_or_before_its_end_mark_is_written_off_and_not_repeated() {
    for request_class in ["draft", "proof"] {
        let mut bench = Bench::new();
        let decode = bench.streaming(1, request_class);
        for position in 1..4 {
            bench.engine(&decode, tokens(position));
        }
        let out = bench.put(Input::ConnectionClosed {
            connection: decode.connection,
            reason: "reset".to_owned(),
        });
        assert_eq!(finals(&out), [(1, Answer::Failed)], "{request_class}");
        let later = bench.pass(10_000.0);
        assert!(bench.attempts(&out).is_empty() && bench.attempts(&later).is_empty());
        assert_eq!(to_client(&later), []);
        assert_eq!(bench.dispatcher.usage().requests, 0);
    }
}

/// A decode engine never answers. The request gets one answer before its deadline, its attempt is cancelled, and what
/// the engine sends later, or the loss of its connection, changes nothing.
#[test]
fn a_writer_that_never_answers_is_given_up_before_the_clients_time_is_up() {
    for request_class in ["draft", "proof"] {
        let mut bench = Bench::new();
        let (begin, decode) = (bench.now, bench.decoding(1, request_class));
        let out = bench.pass(3999.0);
        let answers = finals(&out);
        assert_eq!(answers.len(), 1, "{request_class} is answered in time");
        assert!(bench.now <= begin + 4000.0);
        assert!(
            request_class == "draft" || answers[0].1 == Answer::Failed,
            "proof may have run"
        );
        assert!(to_engines(&out).contains(&"cancel"));
        // Its outcome comes after its cancel, and its connection is cut after the client left.
        let late = bench.ended(&decode, Status::Succeeded);
        bench.client(1, Body::Cancel(v1::Cancel {}));
        let cut = bench.put(Input::ConnectionClosed {
            connection: decode.connection,
            reason: "reset".to_owned(),
        });
        assert_eq!(to_client(&[late, cut].concat()), []);
        assert_eq!(bench.dispatcher.usage().requests, 0);
    }
}

/// A client cancels while its prompt is prefilled, and the prefill ends before the cancel reaches its engine. Its KV
/// state is released, or it would stay pinned there.
#[test]
fn a_read_that_ends_after_its_cancel_is_released() {
    let mut bench = Bench::new();
    let prefill = bench.prefilling(1, "draft");
    let out = bench.client(1, Body::Cancel(v1::Cancel {}));
    assert_eq!(
        to_engines(&out),
        ["cancel", "release"],
        "its end may be lost with the cancel"
    );
    let out = bench.ended(&prefill, Status::PrefillDone);
    assert_eq!(
        to_engines(&out),
        ["release"],
        "or its state would stay pinned"
    );
    assert_eq!(to_client(&out), []);
}

/// All decode engines leave service while a prefill runs. Its KV state can be taken by none, so it is released in time
/// and the request is rejected.
#[test]
fn a_state_that_no_writer_takes_is_let_go_within_the_release_time() {
    let mut bench = Bench::new();
    let prefill = bench.prefilling(1, "draft");
    bench.update_endpoint("w1", EndpointStatus::Gone);
    bench.update_endpoint("w2", EndpointStatus::Draining);
    let out = bench.ended(&prefill, Status::PrefillDone);
    assert_eq!(to_engines(&out), Vec::<&str>::new());
    let out = bench.pass(499.0);
    assert!(to_engines(&out).contains(&"release"));
    assert_eq!(finals(&out), [(1, Answer::Rejected)]);
}

/// An engine sends two ends of one attempt at once. The first is the answer; the second breaks the protocol, and the
/// connection is closed.
#[test]
fn of_two_outcomes_in_one_read_of_a_socket_the_second_breaks_the_link() {
    let mut bench = Bench::new();
    let decode = bench.streaming(1, "proof");
    let out = bench.ended(&decode, Status::Succeeded);
    assert_eq!(finals(&out), [(1, Answer::Succeeded)]);
    let out = bench.ended(&decode, Status::Failed);
    assert_eq!(to_client(&out), [], "one answer is enough");
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::CloseConnection { .. })));
}

/// A client cancels, and then closes its connection, just as its answer goes out. Nothing more happens.
#[test]
fn a_client_that_leaves_in_the_turn_of_its_answer_changes_nothing() {
    let mut bench = Bench::new();
    let decode = bench.streaming(1, "draft");
    bench.ended(&decode, Status::Succeeded);
    let out = bench.client(1, Body::Cancel(v1::Cancel {}));
    assert_eq!(out, []);
    let out = bench.put(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(to_client(&out), []);
}

/// A client closes its connection in the middle of its stream. The attempt is cancelled, and tokens that were under way
/// are ignored.
#[test]
fn a_client_that_leaves_ends_its_stream_at_the_writer() {
    let mut bench = Bench::new();
    let decode = bench.streaming(1, "proof");
    let out = bench.put(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(to_engines(&out), ["cancel"]);
    let out = bench.engine(&decode, tokens(1));
    assert_eq!(out, [], "what was under way is passed over");
    bench.ended(&decode, Status::Cancelled);
    assert_eq!(bench.dispatcher.usage().requests, 0);
}

/// An engine breaks the protocol in one of three ways. Its connection is closed with all that is on it, and requests on
/// other connections go on.
#[test]
fn an_engine_that_breaks_the_protocol_loses_its_link_and_what_is_there() {
    // Tokens out of turn, tokens beyond the credit, an end that a decode engine cannot give.
    let gap = |bench: &mut Bench, decode: &Sent| bench.engine(decode, tokens(7));
    let over = |bench: &mut Bench, decode: &Sent| {
        (1..=4)
            .map(|at| bench.engine(decode, tokens(at)))
            .last()
            .unwrap_or_default()
    };
    let end = |bench: &mut Bench, decode: &Sent| bench.ended(decode, Status::PrefillDone);
    for breach in [gap, over, end] as [fn(&mut Bench, &Sent) -> Vec<Output>; 3] {
        let mut bench = Bench::new();
        let decode = bench.streaming(1, "draft");
        let other = bench.streaming(2, "draft");
        let out = breach(&mut bench, &decode);
        assert!(out
            .iter()
            .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
        let lost = finals(&out);
        assert!(lost.contains(&(1, Answer::Failed)));
        assert_eq!(
            lost.len(),
            if other.connection == decode.connection {
                2
            } else {
                1
            },
            "the rest is served on"
        );
    }
}

/// One client reads nothing and one reads at once. Only the second one's decode engine gets credit, and the first
/// client is closed after the stall limit.
#[test]
fn a_client_that_reads_slowly_holds_back_its_own_writer_only() {
    let mut bench = Bench::new();
    let slow = bench.streaming(1, "draft");
    let quick = bench.streaming(2, "draft");
    for position in 1..4 {
        assert!(!to_engines(&bench.engine(&slow, tokens(position))).contains(&"credit"));
        bench.engine(&quick, tokens(position));
    }
    let flushed = Input::MessagesForwarded {
        conn: ClientConnectionId(1),
        stream: StreamId(2),
        messages: 4,
    };
    let out = bench.put(flushed);
    let credited = out.iter().find_map(|o| match o {
        Output::ToEngine { connection, frame } => {
            Some((*connection, frame.stream, frame.body.clone()))
        }
        _ => None,
    });
    assert_eq!(
        credited,
        Some((
            quick.connection,
            quick.stream,
            Some(Body::Credit(v1::Credit { messages: 4 }))
        ))
    );
    // The one that takes nothing at all has left, after the stall limit; the other goes on.
    for position in 4..8 {
        bench.pass(300.0);
        bench.engine(&quick, tokens(position));
        bench.put(Input::MessagesForwarded {
            conn: ClientConnectionId(1),
            stream: StreamId(2),
            messages: 1,
        });
    }
    assert!(bench
        .out
        .iter()
        .any(|o| matches!(o, Output::CloseClient { .. })));
    assert_eq!(bench.dispatcher.usage().requests, 1);
}

/// A decode engine sends one token and then nothing. After the stall limit, and not before, the request fails.
#[test]
fn a_stream_that_stalls_at_its_writer_is_written_off_after_the_stall_limit() {
    let mut bench = Bench::new();
    let decode = bench.streaming(1, "draft");
    bench.put(Input::MessagesForwarded {
        conn: ClientConnectionId(1),
        stream: StreamId(1),
        messages: 1,
    });
    assert_eq!(finals(&bench.pass(999.0)), [], "not yet");
    assert_eq!(finals(&bench.pass(2.0)), [(1, Answer::Failed)]);
    assert_eq!(to_client(&bench.engine(&decode, tokens(1))), []);
}

/// An engine never ends a cancelled attempt, which would take up its place for ever. Its connection is closed after the
/// stall limit.
#[test]
fn an_engine_that_ends_nothing_and_says_nothing_loses_its_link() {
    let mut bench = Bench::new();
    let decode = bench.streaming(1, "draft");
    bench.client(1, Body::Cancel(v1::Cancel {}));
    let out = bench.pass(1001.0);
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
}

/// More requests come than may be open. The one beyond the limit is rejected, as nothing of it has run.
#[test]
fn beyond_the_most_open_requests_comes_an_honest_rejection() {
    let mut bench = Bench::with(ProgramSettings {
        limits: Limits {
            max_open_requests: 2,
            ..limits()
        },
        ..settings()
    });
    for stream in 1..=3 {
        bench.client(stream, Body::Submit(submit("proof")));
    }
    assert_eq!(finals(&bench.out), [(3, Answer::Rejected)]);
    assert_eq!(bench.dispatcher.usage().requests, 2);
}

/// A client sends requests that cannot be right. Each is refused with the name of its field; a message that breaks the
/// protocol closes only its own connection.
#[test]
fn a_submission_that_cannot_be_right_is_rejected_by_field_and_others_go_on() {
    let mut bench = Bench::new();
    let bad = [
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
    for (stream, (field, submit)) in bad.into_iter().enumerate() {
        let out = bench.client(stream as u64 + 1, Body::Submit(submit));
        let found = to_client(&out);
        assert!(
            matches!(&found[..], [(_, Body::InvalidRequest(r))] if r.field == field),
            "{field}: {found:?}"
        );
    }
    assert_eq!(bench.dispatcher.usage().requests, 0);
    bench.streaming(9, "draft");
    let out = bench.client(9, Body::Submit(submit("draft")));
    assert!(
        out.iter().any(|o| matches!(o, Output::CloseClient { .. })),
        "a stream twice"
    );
    let out = bench.put(Input::Client {
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
/// requests are rejected, and within the grace each open one gets one answer.
#[test]
fn a_stop_takes_nothing_new_and_answers_all_within_its_grace() {
    let mut bench = Bench::new();
    let finishes = bench.streaming(1, "draft");
    let hangs = bench.streaming(2, "proof");
    bench.connections_come_up = false;
    bench.client(3, Body::Submit(submit("proof")));
    let out = bench.put(Input::Stop);
    assert!(!out.contains(&Output::Stopped));
    let out = bench.client(4, Body::Submit(submit("draft")));
    assert_eq!(finals(&out), [(4, Answer::Rejected)]);
    let mut out = bench.ended(&finishes, Status::Succeeded);
    assert_eq!(finals(&out), [(1, Answer::Succeeded)]);
    for position in 1..4 {
        out.extend(bench.pass(500.0));
        bench.engine(&hangs, tokens(position));
        bench.put(Input::MessagesForwarded {
            conn: ClientConnectionId(1),
            stream: StreamId(2),
            messages: 1,
        });
    }
    out.extend(bench.pass(600.0));
    assert!(finals(&bench.out).contains(&(2, Answer::Failed)));
    assert_eq!(finals(&bench.out).len(), 4, "one answer each");
    assert_eq!(
        bench.out.iter().filter(|o| **o == Output::Stopped).count(),
        1
    );
}

/// Discovery cannot be reached at the start. The cached endpoints serve until its first snapshot, which replaces them.
#[test]
fn a_remembered_list_serves_until_the_feed_speaks() {
    let ready = EndpointStatus::Ready;
    let mut dispatcher = cindercleat_dispatcher::state::Dispatcher::new(settings(), 1);
    let mut out = Vec::new();
    dispatcher.handle(
        1.0,
        Input::CachedEndpoints(list(
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
        "it is kept already"
    );
    out.clear();
    dispatcher.handle(
        3.0,
        Input::EndpointsUpdated(list(EndpointUpdateKind::Snapshot, &[("w1", ready)])),
        &mut out,
    );
    let kept = out.iter().find_map(|o| match o {
        Output::CacheEndpoints(list) => Some(
            list.endpoints
                .iter()
                .map(|l| l.engine.clone())
                .collect::<Vec<_>>(),
        ),
        _ => None,
    });
    assert_eq!(
        kept,
        Some(vec!["w1".to_owned()]),
        "an engine that a snapshot does not name is gone"
    );
}

/// An update of the endpoints has an entry with an unknown zone and one with a weight that is no number. The first is
/// skipped with a warning, the second is used.
#[test]
fn a_line_of_the_list_that_cannot_be_right_is_passed_over_and_the_rest_used() {
    let mut bench = Bench::new();
    let mut list = list(
        EndpointUpdateKind::Delta,
        &[("w3", EndpointStatus::Ready), ("w4", EndpointStatus::Ready)],
    );
    list.endpoints[0].zone = "nowhere".to_owned();
    list.endpoints[1].weight = f64::NAN;
    let out = bench.put(Input::EndpointsUpdated(list));
    let warned = out
        .iter()
        .filter(|o| matches!(o, Output::Log { text, .. } if text.contains("w3")))
        .count();
    assert_eq!(warned, 1);
}

/// All decode engines are gone as many prefills end at one instant. All their KV states are released in time.
#[test]
fn all_states_held_at_one_instant_are_let_go_within_the_release_time() {
    let mut bench = Bench::new();
    let mut held = Vec::new();
    for stream in 1..=400 {
        let out = bench.client(stream, Body::Submit(submit("draft")));
        held.extend(bench.attempts(&out));
    }
    bench.update_endpoint("w1", EndpointStatus::Gone);
    bench.update_endpoint("w2", EndpointStatus::Gone);
    let mut ended = 0;
    let mut out = Vec::new();
    let begin = bench.now;
    while let Some(prefill) = held.pop() {
        ended += 1;
        let now = bench.ended(&prefill, Status::PrefillDone);
        held.extend(bench.attempts(&now));
        out.extend(now);
    }
    assert!(ended >= 10, "{ended} states held");
    assert_eq!(bench.now, begin, "all in one instant");
    out.extend(bench.pass(499.0));
    let released = to_engines(&out)
        .iter()
        .filter(|found| **found == "release")
        .count();
    assert_eq!(released, ended);
}

/// Attempts may not be cancelled, and a request reaches its deadline, and then the end of a stop's grace, with its
/// attempt still out. It gets one answer.
#[test]
fn where_nothing_may_be_called_off_an_answered_request_is_answered_once_also_by_a_stop() {
    let mut settings = settings();
    settings.policy.may_cancel = false;
    let mut bench = Bench::with(settings);
    let decode = bench.decoding(1, "proof");
    bench.pass(3000.0);
    bench.put(Input::Stop);
    assert_eq!(finals(&bench.out), []);
    // The client's time is up first, with the attempt still out; then the grace is.
    bench.pass(1500.0);
    assert_eq!(finals(&bench.out), [(1, Answer::Failed)]);
    bench.pass(1500.0);
    let late = bench.engine(&decode, tokens(0));
    assert_eq!(to_client(&late), []);
    assert_eq!(finals(&bench.out), [(1, Answer::Failed)]);
}

/// More requests come than the connections to an engine have room for. No connection beyond the limit is dialled, the
/// request that finds no room is rejected in time, and idle connections close.
#[test]
fn links_fill_up_before_another_is_dialled_and_idle_ones_close() {
    let limits = Limits {
        streams_per_connection: 2,
        connections_per_engine: 2,
        ..limits()
    };
    let few = ProgramSettings {
        limits,
        ..settings()
    };
    let mut bench = Bench::with(few);
    bench.update_endpoint("r2", EndpointStatus::Gone);
    for stream in 1..=4 {
        bench.client(stream, Body::Submit(submit("draft")));
    }
    let dials = |out: &[Output]| {
        out.iter()
            .filter(|o| matches!(o, Output::Dial { .. }))
            .count()
    };
    assert_eq!(
        dials(&bench.out),
        2,
        "four prefills on two connections of two"
    );
    // A fifth has no place on any connection: as full, which proves that it has not run, and it waits.
    let out = bench.client(5, Body::Submit(submit("proof")));
    assert_eq!((dials(&out), finals(&out)), (0, vec![]));
    let reads = bench.attempts(&bench.out.clone());
    assert_eq!(reads.len(), 4);
    let out = bench.pass(1000.0);
    assert_eq!(
        (dials(&out), finals(&out)),
        (0, vec![(5, Answer::Rejected)])
    );
    bench.put(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    for prefill in bench.attempts(&bench.out.clone()) {
        bench.ended(&prefill, Status::Cancelled);
    }
    assert!(bench.dispatcher.usage().connections > 0);
    bench.pass(15_100.0);
    assert_eq!(
        bench.dispatcher.usage().connections,
        0,
        "idle connections close"
    );
}

/// An engine dies without closing its connection. It is sent a ping after a quiet time, and without an answer the
/// connection is closed with what is on it.
#[test]
fn an_engine_that_is_gone_without_a_word_is_found_by_its_silence() {
    for (request_class, expected) in [("draft", vec![]), ("proof", vec![(1, Answer::Failed)])] {
        let mut bench = Bench::new();
        bench.engines_answer_pings = false;
        let decode = bench.decoding(1, request_class);
        let out = bench.pass(1999.0);
        assert!(!to_engines(&out).contains(&"ping"), "it is not asked yet");
        let out = bench.pass(2.0);
        assert!(to_engines(&out).contains(&"ping"));
        let out = bench.pass(1000.0);
        assert!(out
            .iter()
            .any(|o| matches!(o, Output::CloseConnection { connection, .. } if *connection == decode.connection)));
        assert_eq!(finals(&out), expected, "{request_class}");
    }
}

/// An engine refuses every connection while many requests come. It is dialled at a bounded rate, and again later.
#[test]
fn an_engine_that_cannot_be_reached_is_not_dialled_by_every_request() {
    let mut bench = Bench::new();
    bench.connections_come_up = false;
    let dial = |out: &[Output]| {
        out.iter().find_map(|o| match o {
            Output::Dial { connection, .. } => Some(*connection),
            _ => None,
        })
    };
    let mut dials = 0;
    for stream in 1..=50 {
        let out = bench.client(stream, Body::Submit(submit("draft")));
        if let Some(connection) = dial(&out) {
            dials += 1;
            bench.put(Input::ConnectionClosed {
                connection,
                reason: "refused".to_owned(),
            });
        }
        bench.pass(10.0);
    }
    assert!((1..=10).contains(&dials), "{dials} dials in half a second");
    // Later it is tried again.
    bench.pass(5000.0);
    let out = bench.client(99, Body::Submit(submit("draft")));
    assert!(dial(&out).is_some());
}

/// A read whose connection breaks may have ended with its last word lost: its state is let go over the next
/// connection, and not before the engine can hear of it.
#[test]
fn a_read_that_broke_is_let_go_at_its_engine() {
    for request_class in ["draft", "proof"] {
        let mut bench = Bench::new();
        let prefill = bench.prefilling(1, request_class);
        let out = bench.put(Input::ConnectionClosed {
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
            [prefill.state.expect("a state")],
            "{request_class}"
        );
        // What has its word is not.
        let mut bench = Bench::new();
        let prefill = bench.prefilling(1, request_class);
        let out = bench.ended(&prefill, Status::Overloaded);
        assert!(!to_engines(&out).contains(&"release"));
    }
}

#[test]
fn the_story_of_a_request_goes_by_its_clients_id_and_is_told_only_where_asked_for() {
    let story = |asked: bool| {
        let mut bench = Bench::new();
        if asked {
            bench.dispatcher.enable_request_log();
        }
        let origin = v1::Origin {
            id: "9b1f03aa".to_owned(),
            ..v1::Origin::default()
        };
        bench.client(
            1,
            Body::Submit(v1::Submit {
                origin: Some(origin),
                ..submit("draft")
            }),
        );
        let prefill = bench.attempts(&bench.out).remove(0);
        bench.ended(&prefill, Status::PrefillDone);
        let told = |o: &Output| match o {
            Output::Log {
                level: Level::Debug,
                text,
            } if text.starts_with("request=") => Some(text.clone()),
            _ => None,
        };
        bench.out.iter().filter_map(told).collect::<Vec<_>>()
    };
    let told = story(true);
    assert!(
        told.iter()
            .all(|line| line.starts_with("request=0 id=9b1f03aa ")),
        "{told:#?}"
    );
    let has = |words: &str| told.iter().filter(|line| line.contains(words)).count();
    assert_eq!(
        [
            has(" arrived "),
            has(" goes out"),
            has("outcome=PrefillDone")
        ],
        [1, 2, 1],
        "{told:#?}"
    );
    assert_eq!(story(false), Vec::<String>::new());
}
