//! The dispatcher where a connection carries one call at a time and KV states go by the id of their request: what differs.

mod common;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::state::{ClientConnectionId, EngineConnectionId, Input, Output};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_protocol::v1::{Answer, Status};
use cindercleat_protocol::{frame, v1, Body, Frame};
use common::*;

fn bench() -> Bench {
    bench_with(single_limits())
}

fn bench_with(limits: Limits) -> Bench {
    Bench::with(ProgramSettings {
        limits,
        ..settings()
    })
}

fn request(id: &str, request_class: &str) -> Body {
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

fn asks(bench: &mut Bench, conn: u64, body: Body) -> Vec<Output> {
    bench.put(Input::Client {
        conn: ClientConnectionId(conn),
        frame: frame(1, body),
    })
}

fn prefilling(bench: &mut Bench, conn: u64, id: &str, request_class: &str) -> Sent {
    let out = asks(bench, conn, request(id, request_class));
    bench.attempts(&out).pop().expect("a prefill goes out")
}

fn decoding(bench: &mut Bench, conn: u64, id: &str, request_class: &str) -> Sent {
    let prefill = prefilling(bench, conn, id, request_class);
    let out = bench.ended(&prefill, Status::PrefillDone);
    bench
        .attempts(&out)
        .pop()
        .expect("a decode attempt goes out")
}

fn releases(out: &[Output]) -> Vec<String> {
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

fn goodbye(never_ran: bool) -> Body {
    Body::Goodbye(v1::Goodbye {
        reason: "cut".to_owned(),
        never_ran,
    })
}

#[test]
fn each_attempt_has_a_connection_of_its_own_and_nothing_is_dialled_ahead() {
    let mut bench = bench();
    let mut connections = Vec::new();
    for n in 1..=6 {
        connections.push(prefilling(&mut bench, n, &n.to_string(), "draft"));
    }
    let mut used: Vec<_> = connections.iter().map(|l| l.connection).collect();
    used.dedup();
    assert_eq!(used.len(), 6);
    let dials = bench
        .out
        .iter()
        .filter(|o| matches!(o, Output::Dial { .. }))
        .count();
    assert_eq!(dials, 6, "one for each attempt, none ahead");
}

/// The connection of an at-most-once attempt breaks. If its request was not written as a whole it has not run and goes
/// out again; else it fails.
#[test]
fn a_connection_that_broke_before_its_request_was_written_proves_that_nothing_ran() {
    for (never_ran, again) in [(true, true), (false, false)] {
        let mut bench = bench();
        let decode = decoding(&mut bench, 1, "a", "proof");
        let out = bench.engine(&decode, goodbye(never_ran));
        assert_eq!(
            !bench.attempts(&out).is_empty(),
            again,
            "an at-most-once request goes out again"
        );
        let answers: Vec<Answer> = finals(&out).into_iter().map(|(_, answer)| answer).collect();
        assert_eq!(answers, if again { vec![] } else { vec![Answer::Failed] });
    }
}

/// An attempt takes an idle connection that its engine has just closed. It goes out again on another connection to the
/// same engine, as the same attempt.
#[test]
fn an_attempt_on_a_connection_that_was_over_goes_out_on_another_to_the_same_engine() {
    let mut bench = bench();
    let decode = decoding(&mut bench, 1, "a", "proof");
    bench.engine(&decode, tokens(0));
    bench.ended(&decode, Status::Succeeded);
    // The next decode attempt there takes the connection that rests, which its engine has closed meanwhile.
    let next = loop {
        let n = bench.out.len() as u64;
        let next = decoding(&mut bench, n, &n.to_string(), "proof");
        if next.connection == decode.connection {
            break next;
        }
    };
    let out = bench.engine(&next, goodbye(true));
    let again = bench.attempts(&out).pop().expect("it goes out again");
    assert_eq!(again.engine, next.engine);
    assert_ne!(again.connection, next.connection);
    assert_eq!(again.state, next.state, "as the same attempt");
    assert_eq!(finals(&out), []);
}

/// A prefill breaks and may have left a KV state; the request is prefilled again. The release of the first state would
/// end the second as well, so it waits until the request is over, and is then repeated until the engine has worked.
#[test]
fn a_release_waits_while_its_requests_next_attempt_is_out_and_goes_out_once_it_is_over() {
    let mut bench = bench();
    let prefill = prefilling(&mut bench, 1, "a", "draft");
    // The prefill broke: it may have left a state; the request is prefilled again.
    let out = bench.engine(&prefill, goodbye(false));
    let second = bench.attempts(&out).pop().expect("it is prefilled again");
    assert_eq!(
        releases(&out),
        Vec::<String>::new(),
        "it would end the second prefill's state"
    );
    let out = bench.ended(&second, Status::PrefillDone);
    assert_eq!(releases(&out), Vec::<String>::new());
    let decode = bench
        .attempts(&out)
        .pop()
        .expect("a decode attempt goes out");
    bench.engine(&decode, tokens(0));
    let out = bench.ended(&decode, Status::Succeeded);
    assert_eq!(releases(&out), ["a"]);
    assert_eq!(finals(&out), [(1, Answer::Succeeded)]);
    // Nothing orders it behind the end of the prefill that broke, over another connection: again, until its engine works.
    assert_eq!(releases(&bench.pass(500.0)), ["a"]);
    for n in 2.. {
        let next = prefilling(&mut bench, n, &n.to_string(), "draft");
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
    assert_eq!(releases(&bench.pass(500.0)), ["a"], "once more");
    assert!(
        !releases(&bench.pass(10_000.0)).contains(&"a".to_owned()),
        "once it is done, it is not said again"
    );
}

/// An engine does not answer a release. Another engine is asked within the release time, and the rate of calls stays
/// bounded until the release is given up.
#[test]
fn a_release_that_gets_no_answer_is_said_to_another_engine_in_good_time() {
    let mut bench = bench();
    bench.engines_answer_releases = false;
    let prefill = prefilling(&mut bench, 1, "a", "draft");
    let out = bench.put(Input::ClientClosed {
        conn: ClientConnectionId(1),
    });
    assert_eq!(releases(&out), ["a"]);
    let first = bench.out.iter().rev().find_map(|o| match o {
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
    let out = bench.pass(400.0);
    let engines: Vec<String> = out
        .iter()
        .filter_map(|o| match o {
            Output::Dial { engine, .. } => Some(engine.0.to_string()),
            _ => None,
        })
        .collect();
    assert!(
        !releases(&out).is_empty(),
        "said again within the release time"
    );
    assert!(
        engines.iter().any(|engine| *engine != prefill.engine),
        "to another engine: {engines:?}"
    );
    assert!(first.is_some());
    bench.pass(2_000.0);
    let slowly = releases(&bench.pass(20_000.0)).len();
    assert!(
        (20..=320).contains(&slowly),
        "at a bounded rate, and often enough for an engine that is back: {slowly}"
    );
    bench.pass(60_000.0);
    assert_eq!(
        releases(&bench.pass(20_000.0)),
        Vec::<String>::new(),
        "not for ever"
    );
}

/// A client sends a request with the id of one that is open. It is refused, and the open one goes on.
#[test]
fn the_id_of_an_open_request_is_refused_and_the_open_one_goes_on() {
    let mut bench = bench();
    let prefill = prefilling(&mut bench, 1, "a", "draft");
    let out = asks(&mut bench, 2, request("a", "draft"));
    assert!(
        matches!(to_client(&out)[..], [(1, Body::InvalidRequest(_))]),
        "{out:?}"
    );
    assert!(bench.attempts(&out).is_empty() && releases(&out).is_empty());
    bench.put(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let out = bench.ended(&prefill, Status::PrefillDone);
    let decode = bench.attempts(&out).pop().expect("the open one goes on");
    bench.engine(&decode, tokens(0));
    assert_eq!(
        finals(&bench.ended(&decode, Status::Succeeded)),
        [(1, Answer::Succeeded)]
    );
    // Once it is over, its id is nobody's.
    let out = asks(&mut bench, 3, request("a", "draft"));
    assert!(!bench.attempts(&out).is_empty());
}

/// A request takes 1.5 s to be received. Its deadline counts from its first part.
#[test]
fn time_that_a_request_took_to_come_is_part_of_its_patience() {
    let mut bench = bench();
    bench.put(Input::ClientConnected {
        conn: ClientConnectionId(1),
    });
    bench.put(Input::ClientRequestBegun {
        conn: ClientConnectionId(1),
    });
    bench.pass(1500.0);
    let begin = bench.now;
    asks(&mut bench, 1, request("a", "proof"));
    bench.connections_come_up = false;
    bench.pass(3000.0);
    assert_eq!(
        finals(&bench.out).len(),
        1,
        "answered by {} of 2,500 ms left",
        bench.now - begin
    );
}

/// Connections to all engines together are limited to two. An idle one is closed for each new one that is needed.
#[test]
fn links_are_bounded_over_all_engines_and_one_that_rests_makes_room() {
    let limits = single_limits();
    let http1 = limits.http1.map(|http1| Http1Limits {
        max_engine_connections: 2,
        ..http1
    });
    let mut bench = bench_with(Limits { http1, ..limits });
    let decode = decoding(&mut bench, 1, "a", "draft");
    bench.engine(&decode, tokens(0));
    bench.ended(&decode, Status::Succeeded);
    for n in 2..30 {
        let decode = decoding(&mut bench, n, &n.to_string(), "draft");
        bench.engine(&decode, tokens(0));
        bench.ended(&decode, Status::Succeeded);
        assert!(bench.dispatcher.usage().connections <= 2);
    }
}

/// Clients connect and send nothing, or half a request. They are closed in time, and one is asked to leave when another
/// client needs room; one with an open request stays.
#[test]
fn silent_clients_are_closed_in_time_and_make_room_when_it_is_short() {
    let mut bench = bench();
    for conn in 1..=3 {
        bench.put(Input::ClientConnected {
            conn: ClientConnectionId(conn),
        });
        bench.pass(1.0);
    }
    asks(&mut bench, 1, request("a", "draft"));
    let out = bench.put(Input::ClientLimitReached);
    assert_eq!(
        out,
        [Output::DrainClient {
            conn: ClientConnectionId(2)
        }],
        "not the one with an open request"
    );
    bench.put(Input::ClientRequestBegun {
        conn: ClientConnectionId(3),
    });
    let out = bench.pass(2500.0);
    let closed = |o: &&Output| matches!(o, Output::CloseClient { conn, .. } if *conn == ClientConnectionId(3));
    assert_eq!(
        out.iter().filter(closed).count(),
        1,
        "half a request is closed"
    );
    let of_one = |o: &&Output| match o {
        Output::CloseClient { conn, .. } | Output::DrainClient { conn } => {
            *conn == ClientConnectionId(1)
        }
        _ => false,
    };
    assert_eq!(bench.out.iter().filter(of_one).count(), 0);
}

/// The process is stopped while clients still send. Requests are taken until the end of the notice, and a stream that
/// lasts too long is migrated.
#[test]
fn a_stop_takes_what_still_comes_for_a_moment_and_moves_streams_that_outlast_it() {
    let limits = Limits {
        stop_accept_period: 600.0,
        stop_streams_after: Some(2500.0),
        stop_grace: 60_000.0,
        ..single_limits()
    };
    let mut bench = bench_with(limits);
    let decode = decoding(&mut bench, 1, "a", "draft");
    bench.engine(&decode, tokens(0));
    bench.put(Input::Stop);
    let out = asks(&mut bench, 2, request("b", "draft"));
    assert!(!bench.attempts(&out).is_empty(), "still taken");
    bench.pass(700.0);
    assert_eq!(
        finals(&asks(&mut bench, 3, request("c", "draft"))),
        [(1, Answer::Rejected)]
    );
    let out = bench.pass(1700.0);
    assert_eq!(finals(&out), []);
    let out = bench.pass(200.0);
    assert_eq!(
        finals(&out),
        [(1, Answer::Failed)],
        "the stream; what has not begun goes on"
    );
    assert!(!out.iter().any(|o| matches!(o, Output::Stopped)));
    assert_eq!(bench.dispatcher.usage().requests, 1);
}

/// A stream begins only after streams were migrated in a stop. It is migrated as well, before the process is killed.
#[test]
fn a_stream_that_begins_after_streams_were_moved_is_moved_as_well() {
    let limits = Limits {
        stop_accept_period: 600.0,
        stop_streams_after: Some(800.0),
        stop_grace: 60_000.0,
        ..single_limits()
    };
    let mut bench = bench_with(limits);
    let over = decoding(&mut bench, 2, "over", "draft");
    bench.engine(&over, tokens(0));
    bench.ended(&over, Status::Succeeded);
    let decode = decoding(&mut bench, 1, "a", "draft");
    bench.put(Input::Stop);
    bench.pass(900.0);
    bench.engine(&decode, tokens(0));
    let out = bench.pass(200.0);
    assert_eq!(
        finals(&out),
        [(1, Answer::Failed)],
        "its client comes back for the rest before the kill"
    );
}

#[test]
fn a_dispatcher_is_ready_with_a_list_and_until_it_stops() {
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
    assert!(matches!(to_client(&out)[..], [(1, Body::Goodbye(_))]));
    let mut bench = bench();
    assert!(matches!(
        to_client(&asks(&mut bench, 1, ping()))[..],
        [(1, Body::Pong(_))]
    ));
    bench.put(Input::Stop);
    assert!(matches!(
        to_client(&asks(&mut bench, 2, ping()))[..],
        [(1, Body::Goodbye(_))]
    ));
}

/// Engines are replaced all day. Nothing is kept of those that are gone.
#[test]
fn nothing_is_kept_of_engines_that_are_gone_however_many_come() {
    use v1::EndpointStatus::{Gone, Ready};
    let mut bench = bench();
    for n in 0..200 {
        let (reader, writer) = (format!("r-{n}"), format!("w-{n}"));
        bench.update_endpoint(&reader, Ready);
        bench.update_endpoint(&writer, Ready);
        let decode = decoding(&mut bench, n, &n.to_string(), "draft");
        bench.engine(&decode, tokens(0));
        bench.update_endpoint(&reader, Gone);
        bench.update_endpoint(&writer, Gone);
        assert_eq!(
            finals(&bench.ended(&decode, Status::Succeeded)),
            [(1, Answer::Succeeded)],
            "it went on"
        );
        bench.put(Input::ClientClosed {
            conn: ClientConnectionId(n),
        });
    }
    bench.pass(60_000.0);
    let held = bench.dispatcher.usage();
    assert_eq!((held.engines, held.connections, held.requests), (4, 0, 0));
    assert!(held.timers < 10, "{held:?}");
}

/// The connections over which releases went, among outputs.
fn release_connections(out: &[Output]) -> Vec<EngineConnectionId> {
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

/// A dispatcher that knows eight engines of each kind.
fn many() -> Bench {
    let mut bench = bench();
    let names: Vec<String> = ["r", "w"]
        .iter()
        .flat_map(|kind| (1..=8).map(move |at| format!("{kind}{at}")))
        .collect();
    let ready: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), v1::EndpointStatus::Ready))
        .collect();
    bench.put(Input::EndpointsUpdated(list(
        v1::EndpointUpdateKind::Snapshot,
        &ready,
    )));
    bench
}

/// All engines but one become unresponsive, with idle connections that stay up. A release reaches the one that works in
/// time.
#[test]
fn a_release_reaches_an_engine_that_works_while_most_have_fallen_silent_with_connections_at_rest() {
    let mut bench = many();
    // Requests of many sessions, until a connection to each engine rests. What an engine says ends its attempt.
    let mut linked = std::collections::BTreeSet::new();
    let mut n = 1;
    while linked.len() < 16 {
        n += 1;
        let text = v1::Submit {
            session: n,
            ..submit("draft")
        };
        let origin = Some(v1::Origin {
            id: n.to_string(),
            ..v1::Origin::default()
        });
        let out = asks(&mut bench, n, Body::Submit(v1::Submit { origin, ..text }));
        let prefill = bench.attempts(&out).pop().expect("a prefill goes out");
        let out = bench.ended(&prefill, Status::PrefillDone);
        let decode = bench
            .attempts(&out)
            .pop()
            .expect("a decode attempt goes out");
        bench.engine(&decode, tokens(0));
        bench.ended(&decode, Status::Succeeded);
        linked.extend([prefill.engine, decode.engine]);
        bench.pass(10.0);
        assert!(n < 2_000, "every engine is used: {linked:?}");
    }
    // A state that is held, and from then on all but one engine are silent: their connections stay up. The one that
    // works goes on with streams of other requests.
    bench.engines_answer_releases = false;
    let busy = decoding(&mut bench, 1, "busy", "draft");
    bench.engine(&busy, tokens(0));
    let prefill = prefilling(&mut bench, 2, "last", "draft");
    bench.ended(&prefill, Status::PrefillDone);
    // Nothing was heard of any for long enough, and the decode attempt is not given up yet.
    bench.pass(200.0);
    bench.engine(&busy, tokens(1));
    let since = bench.now;
    let mut out = bench.put(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let mut position = 2;
    let reached = loop {
        let asked: Vec<String> = release_connections(&out)
            .iter()
            .map(|l| bench.engine_of(*l).to_owned())
            .collect();
        if asked.contains(&busy.engine) {
            break bench.now - since;
        }
        assert!(bench.now - since < 500.0, "asked until then: {asked:?}");
        out = bench.pass(10.0);
        bench.engine(&busy, tokens(position));
        position += 1;
    };
    assert!(
        reached <= 300.0,
        "in good time before it counts as left behind: {reached}"
    );
}

/// No connection to a decode engine comes up while a KV state is held. It is released in time.
#[test]
fn a_state_is_let_go_in_time_while_no_connection_to_a_decode_engine_comes_up() {
    let mut bench = many();
    let prefill = prefilling(&mut bench, 1, "a", "draft");
    // Connections to decode engines stay under way until their time is up; the one to the prefill engine rests.
    bench.connections_come_up = false;
    let mut out = bench.ended(&prefill, Status::PrefillDone);
    let since = bench.now;
    let mut dialled = 0;
    while release_connections(&out).is_empty() {
        dialled += out
            .iter()
            .filter(|output| matches!(output, Output::Dial { .. }))
            .count();
        assert!(bench.now - since < 2_000.0, "it lies there");
        out = bench.pass(10.0);
    }
    assert!(dialled >= 2, "more than one was tried: {dialled}");
    // What is held may be held for the release time and 0.3 s, whatever fails meanwhile.
    let lay = bench.now - since;
    assert!(lay <= 600.0, "let go after {lay}");
}

/// A client leaves while its prompt is prefilled. By way of another engine the release could come before the KV state
/// is there, so the prefill's own engine is asked first.
#[test]
fn the_release_of_a_prefill_that_was_cut_off_goes_to_its_own_engine_first() {
    let mut bench = many();
    // Another engine was heard of just now, and this one not for a while.
    let busy = decoding(&mut bench, 1, "busy", "draft");
    let prefill = prefilling(&mut bench, 2, "cut", "draft");
    bench.pass(1_000.0);
    bench.engine(&busy, tokens(0));
    let out = bench.put(Input::ClientClosed {
        conn: ClientConnectionId(2),
    });
    let asked: Vec<&str> = release_connections(&out)
        .iter()
        .map(|connection| bench.engine_of(*connection))
        .collect();
    assert_eq!(
        asked,
        [prefill.engine.as_str()],
        "or it could come before the state is there"
    );
}
