//! Failure cases of the gRPC path from end to end, on in-memory connections and a paused clock: cancels at each
//! stage, stalls, final answers that race the deadline, stops with open streams, and clients that send too many
//! cancels.

mod common;
#[path = "common/net.rs"]
mod net;

use cindercleat_dispatcher::Limits;
use cindercleat_net::Clock;
use cindercleat_protocol::{v1, Body};
use cindercleat_standin::client::End;
use net::{run, run_with, Net};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::task::spawn_local;

fn submit(request_class: &str, key: &str) -> v1::Submit {
    v1::Submit {
        key: key.to_owned(),
        ..common::submit(request_class)
    }
}

/// Milliseconds within which a dispatcher forwards a cancel. The in-memory connections add no delay.
const FORWARDING_LIMIT_MS: f64 = 5.0;

/// Checks after 600 ms that no request is open and no KV state is held.
async fn assert_nothing_left(net: &Net) {
    net.wait(600.0).await;
    assert_eq!(net.driver.usage().requests, 0, "no request is open");
    assert!(
        net.engines.iter().all(|engine| engine.states() == 0),
        "no KV state is held"
    );
}

/// A client cancels in the middle of a stream. Without the cancel the decode engine would continue for no client. The
/// engine gets the cancel within [`FORWARDING_LIMIT_MS`], the request is not run again, and no KV state remains.
#[test]
fn a_cancel_in_mid_stream_reaches_the_decode_engine_in_time() {
    for request_class in ["draft", "proof"] {
        run(|net| async move {
            let (port, cancelled_at, token_count) = (net.port("c"), Cell::new(0.0), Cell::new(0));
            let mut stream = port
                .open(Body::Submit(submit(request_class, "k")))
                .await
                .expect("stream is opened");
            loop {
                match stream.next().await.expect("the stream continues") {
                    Body::Tokens(_) => token_count.set(token_count.get() + 1),
                    Body::Accepted(_) => {}
                    other => panic!("{other:?}"),
                }
                if token_count.get() == 5 {
                    cancelled_at.set(net.clock.now());
                    stream.say(Body::Cancel(v1::Cancel {}));
                    break;
                }
            }
            net.wait(FORWARDING_LIMIT_MS).await;
            let cancelled = net
                .first_received_at("w1", |b| matches!(b, Body::Cancel(_)))
                .expect("the decode engine gets the cancel");
            assert!(cancelled - cancelled_at.get() <= FORWARDING_LIMIT_MS);
            assert_nothing_left(&net).await;
            assert_eq!(
                net.executed_keys(),
                ["k"],
                "{request_class} is not run again"
            );
        });
    }
}

/// A client cancels during the prefill. The prefill engine gets the cancel within [`FORWARDING_LIMIT_MS`], no KV state
/// remains, and nothing is decoded.
#[test]
fn a_cancel_during_prefill_leaves_nothing() {
    run(|net| async move {
        net.engines[0].trouble(|t| t.slow = 100.0);
        let end = net
            .port("c")
            .run(submit("proof", "k"), Some(net.clock.now() + 40.0), |_| {})
            .await;
        assert_eq!(end, End::Left);
        net.wait(FORWARDING_LIMIT_MS).await;
        assert!(net
            .first_received_at("r1", |b| matches!(b, Body::Cancel(_)))
            .is_some());
        assert_nothing_left(&net).await;
        assert_eq!(net.executed_keys(), Vec::<String>::new());
    });
}

/// A client cancels when the prefill is done and the connection for the decode attempt is still being established. The
/// attempt is never sent, and the KV state is released within the KV state timeout.
#[test]
fn a_cancel_between_prefill_and_decode_runs_nothing() {
    run(|net| async move {
        net.engines[1].trouble(|t| t.greets_late = 200.0);
        let port = net.port("c");
        let leave_at = net.clock.now() + 200.0;
        let client_request = port.run(submit("proof", "k"), Some(leave_at), |_| {});
        let wait_for_prefill = async {
            while net.engines[0].states() == 0 {
                net.wait(1.0).await;
            }
            net.clock.now()
        };
        let (end, prefilled_at) = tokio::join!(client_request, wait_for_prefill);
        assert!(
            prefilled_at < leave_at,
            "the prefill ends before the client leaves"
        );
        assert_eq!(end, End::Left);
        net.wait(500.0).await;
        assert_eq!(net.engines[0].states(), 0);
        assert_nothing_left(&net).await;
        assert_eq!(
            net.first_received_at("w1", |b| matches!(b, Body::Decode(_))),
            None
        );
        assert_eq!(net.executed_keys(), Vec::<String>::new());
    });
}

/// A decode engine stops sending after its first token and keeps its connection open. The stream would hang forever:
/// it fails after the stall timeout, the engine gets a cancel, and the request does not run twice.
#[test]
fn a_decode_engine_that_stalls_after_its_first_token_fails_by_the_stall_timeout() {
    for request_class in ["draft", "proof"] {
        run(|net| async move {
            net.engines[1].trouble(|t| t.stall_after = Some(1));
            let begin = net.clock.now();
            let end = net
                .port("c")
                .run(submit(request_class, "k"), None, |_| {})
                .await;
            assert_eq!(end, End::Failed);
            let elapsed = net.clock.now() - begin;
            assert!(
                elapsed < 1000.0 + 300.0,
                "the stall timeout is 1000 ms, but the answer took {elapsed} ms"
            );
            net.wait(FORWARDING_LIMIT_MS).await;
            assert!(net
                .first_received_at("w1", |b| matches!(b, Body::Cancel(_)))
                .is_some());
            assert_nothing_left(&net).await;
            assert_eq!(net.executed_keys().len(), 1);
        });
    }
}

/// A decode engine accepts a request and sends nothing. The client gets its one answer by its deadline, and an
/// at-most-once request is not sent again.
#[test]
fn a_request_whose_decode_engine_stalls_before_its_first_token_is_answered_in_time() {
    for request_class in ["draft", "proof"] {
        run(|net| async move {
            net.engines[1].trouble(|t| t.stall_after = Some(0));
            let begin = net.clock.now();
            let end = net
                .port("c")
                .run(submit(request_class, "k"), None, |_| {})
                .await;
            assert!(matches!(end, End::Failed | End::Rejected { .. }), "{end:?}");
            assert!(
                request_class == "draft" || end == End::Failed,
                "an at-most-once request that may have run fails"
            );
            assert!(net.clock.now() - begin <= 4000.0 + 20.0);
            assert_nothing_left(&net).await;
            assert!(
                request_class == "draft" || net.executed_keys().len() <= 1,
                "{:?}",
                net.executed_keys()
            );
        });
    }
}

/// Engines send response headers and then nothing. The client gets its one answer by its deadline.
#[test]
fn a_request_whose_engines_send_nothing_is_answered_in_time() {
    run(|net| async move {
        net.engines
            .iter()
            .for_each(|engine| engine.trouble(|t| t.mute = true));
        let begin = net.clock.now();
        let end = net.port("c").run(submit("proof", "k"), None, |_| {}).await;
        assert!(matches!(end, End::Failed | End::Rejected { .. }), "{end:?}");
        assert!(net.clock.now() - begin <= 4000.0 + 20.0);
    });
}

/// The test varies the deadline over the times at which first tokens arrive. If a deadline and an answer were handled
/// independently, a request could get no final answer or two. Each request gets exactly one.
#[test]
fn a_final_answer_that_races_the_deadline_is_sent_once() {
    run(|net| async move {
        let port = net.port("c");
        let mut ends = BTreeSet::new();
        for step in 0..120 {
            let time_to_deadline_ms = 5.0 + f64::from(step);
            let key = format!("k{step}");
            let submit = v1::Submit {
                time_to_deadline_ms,
                max_tokens: 3,
                ..submit("proof", &key)
            };
            let mut stream = port
                .open(Body::Submit(submit))
                .await
                .expect("stream is opened");
            let (begin, mut final_answers, mut first_token_at) = (net.clock.now(), 0, None);
            while let Some(body) = stream.next().await {
                assert_eq!(
                    final_answers, 0,
                    "a message follows the final answer: {body:?}"
                );
                match body {
                    Body::Final(last) => {
                        final_answers += 1;
                        ends.insert(last.answer() as i32);
                        let late_by_ms = net.clock.now() - begin - time_to_deadline_ms;
                        assert!(
                            first_token_at.is_some() || late_by_ms <= 17.0,
                            "the answer came {late_by_ms} ms after the deadline"
                        );
                        // Leaves time for a message after the final answer, which would be an error.
                        net.wait(50.0).await;
                        break;
                    }
                    Body::Tokens(_) => first_token_at = Some(net.clock.now()),
                    _ => {}
                }
            }
            assert_eq!(
                final_answers, 1,
                "time to deadline {time_to_deadline_ms} ms"
            );
        }
        assert!(
            ends.len() >= 2,
            "the deadline and the answer each come first at least once: {ends:?}"
        );
        assert_nothing_left(&net).await;
        let executed_keys = net.executed_keys();
        assert_eq!(
            executed_keys.iter().collect::<BTreeSet<_>>().len(),
            executed_keys.len(),
            "no request ran twice"
        );
    });
}

/// Requests that are open when a dispatcher stops are answered. Later requests are rejected or not accepted, and
/// none of these ever ran: a client or its gRPC library may safely retry them at another dispatcher.
#[test]
fn no_request_runs_that_a_stopping_dispatcher_rejects() {
    run(|net| async move {
        let net = Rc::new(net);
        let ends: Rc<RefCell<Vec<(usize, End)>>> = Rc::default();
        let mut clients = Vec::new();
        for n in 0..60 {
            let (net, ends) = (net.clone(), ends.clone());
            clients.push(spawn_local(async move {
                net.wait(2.0 * n as f64).await;
                let port = net.port(&format!("c{}", n % 5));
                let end = port
                    .run(submit("proof", &format!("k{n}")), None, |_| {})
                    .await;
                ends.borrow_mut().push((n, end));
            }));
        }
        net.wait(70.0).await;
        net.stop.notify_one();
        for client in clients {
            client.await.expect("client task ends without a panic");
        }
        let executed_keys: BTreeSet<String> = net.executed_keys().into_iter().collect();
        let (mut succeeded, mut rejected) = (0, 0);
        for (n, end) in &*ends.borrow() {
            match end {
                End::Succeeded => succeeded += 1,
                End::Rejected { .. } | End::Unsent => {
                    rejected += 1;
                    assert!(
                        !executed_keys.contains(&format!("k{n}")),
                        "k{n} ran although its client may retry it"
                    );
                }
                End::Failed => {}
                other => panic!("k{n}: {other:?}"),
            }
        }
        assert!(
            succeeded > 0 && rejected > 0,
            "{succeeded} succeeded, {rejected} rejected"
        );
        assert_eq!(ends.borrow().len(), 60);
    });
}

/// A stopping dispatcher sends GOAWAY on an open connection, and the connection's streams continue to their end.
#[test]
fn a_stopping_dispatcher_sends_go_away_and_finishes_open_streams() {
    run(|net| async move {
        let port = net.port("c");
        let mut stream = port
            .open(Body::Submit(submit("draft", "k")))
            .await
            .expect("stream is opened");
        while !matches!(
            stream.next().await.expect("the stream continues"),
            Body::Tokens(_)
        ) {}
        net.stop.notify_one();
        net.wait(20.0).await;
        // The next request needs a new connection, which a stopping dispatcher need not accept.
        let end = port.run(submit("draft", "k2"), None, |_| {}).await;
        assert!(matches!(end, End::Unsent | End::Rejected { .. }), "{end:?}");
        let mut last = None;
        while let Some(body) = stream.next().await {
            last = Some(body);
        }
        assert!(matches!(last, Some(Body::Final(f)) if f.answer() == v1::Answer::Succeeded));
    });
}

/// A client sends and cancels requests as fast as it can. It is disconnected once it exceeds the limit of cancels,
/// and another client is served.
#[test]
fn a_client_that_floods_cancels_is_disconnected_and_others_are_served() {
    let limits = Limits {
        cancel_burst: 50.0,
        cancels_per_second: 10.0,
        ..common::limits()
    };
    run_with(limits, |net| async move {
        let port = net.port("flood");
        let mut disconnected = false;
        for n in 0..500 {
            let Some(mut stream) = port
                .open(Body::Submit(submit("proof", &format!("f{n}"))))
                .await
            else {
                break;
            };
            // Waits until the request is accepted, and cancels it immediately.
            match stream.next().await {
                Some(Body::Accepted(_)) => stream.say(Body::Cancel(v1::Cancel {})),
                _ => {
                    disconnected = true;
                    break;
                }
            }
        }
        assert!(disconnected, "the client is disconnected");
        let message_count = net
            .transcript
            .records()
            .iter()
            .filter(|r| &*r.seer == "flood")
            .count();
        assert!(
            message_count < 400,
            "the client is disconnected early, not after {message_count} messages"
        );
        assert_eq!(net.run_request("other").await.end, End::Succeeded);
        assert_nothing_left(&net).await;
        assert!(net.executed_keys().len() <= 1, "{:?}", net.executed_keys());
    });
}

/// A client cancels a request now and then for a long time. If the cancel budget were never refilled, the client would
/// eventually be disconnected.
#[test]
fn cancels_at_a_moderate_rate_are_accepted() {
    let limits = Limits {
        cancel_burst: 5.0,
        cancels_per_second: 2.0,
        ..common::limits()
    };
    run_with(limits, |net| async move {
        let port = net.port("c");
        for n in 0..40 {
            let end = port.run(
                submit("draft", &format!("k{n}")),
                Some(net.clock.now() + 100.0),
                |_| {},
            );
            assert_eq!(end.await, End::Left, "request {n}");
            net.wait(500.0).await;
        }
    });
}

/// A client's machine fails, and its connection is never closed. Unanswered pings reveal the failure, and the decode
/// attempt is cancelled.
#[test]
fn a_client_that_fails_without_closing_its_connection_is_found_by_pings() {
    run(|net| async move {
        use cindercleat_net::Transport;
        use tokio::io::AsyncWriteExt;
        let mut stream = net
            .memory
            .connect("d")
            .await
            .expect("dispatcher accepts connections");
        stream
            .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
            .await
            .expect("bytes are written");
        // Writes the HTTP/2 frames of the greeting by hand, with headers that need no compression table and without
        // a protocol version.
        let headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/cindercleat.v1.Router/Run"),
            ("content-type", "application/grpc"),
        ];
        let mut block = Vec::new();
        for (name, value) in headers {
            block.extend([0, name.len() as u8]);
            block.extend(name.as_bytes());
            block.push(value.len() as u8);
            block.extend(value.as_bytes());
        }
        let frame = |kind: u8, flags: u8, payload: &[u8]| {
            [
                &[0, 0, payload.len() as u8, kind, flags, 0, 0, 0, 1][..],
                payload,
            ]
            .concat()
        };
        stream
            .write_all(&frame(1, 4, &block))
            .await
            .expect("bytes are written");
        let submit = prost::Message::encode_to_vec(&submit("draft", "k"));
        let message = [&[0, 0, 0, 0, submit.len() as u8][..], &submit].concat();
        stream
            .write_all(&frame(0, 1, &message))
            .await
            .expect("bytes are written");
        // The client neither reads nor writes from here on.
        net.wait(300.0).await;
        assert_eq!(net.driver.client_connections(), 1);
        assert_eq!(net.executed_keys(), ["k"]);
        net.wait(
            common::limits().client_keepalive_interval + common::limits().ping_timeout + 100.0,
        )
        .await;
        assert_eq!(
            net.driver.client_connections(),
            0,
            "the connection is closed"
        );
        assert_nothing_left(&net).await;
        drop(stream);
    });
}

/// An engine announces that it accepts no new streams on its connection. The open stream continues to its end, and
/// the next attempt takes a new connection.
#[test]
fn an_engine_that_sends_go_away_finishes_its_open_streams() {
    run(|net| async move {
        let port = net.port("c");
        let first = port.run(submit("proof", "k1"), None, |_| {});
        let rest = async {
            net.wait(60.0).await;
            net.engines.iter().for_each(|engine| engine.go_away());
            net.wait(1.0).await;
            port.run(submit("proof", "k2"), None, |_| {}).await
        };
        let (first, second) = tokio::join!(first, rest);
        assert_eq!((first, second), (End::Succeeded, End::Succeeded));
        assert_eq!(net.executed_keys(), ["k1", "k2"]);
        let connections: BTreeSet<u64> = net
            .transcript
            .records()
            .iter()
            .filter(|r| &*r.seer == "w1")
            .map(|r| r.conn)
            .collect();
        assert!(
            connections.len() >= 2,
            "the second attempt takes a new connection"
        );
        assert_nothing_left(&net).await;
    });
}

/// Engines reset a share of their attempts. Each request gets one answer, and no at-most-once request runs twice.
#[test]
fn resets_by_engines_run_no_request_twice() {
    run(|net| async move {
        net.engines
            .iter()
            .for_each(|engine| engine.trouble(|t| t.resets = 0.4));
        let port = net.port("c");
        let mut outcomes = BTreeSet::new();
        for n in 0..80 {
            let request_class = if n % 2 == 0 { "proof" } else { "draft" };
            let submit = v1::Submit {
                max_tokens: 12,
                ..submit(request_class, &format!("{request_class}{n}"))
            };
            let end = port.run(submit, None, |_| {}).await;
            outcomes.insert(
                format!("{end:?}")
                    .split(' ')
                    .next()
                    .unwrap_or_default()
                    .to_owned(),
            );
            if matches!(end, End::Rejected { .. }) {
                assert!(
                    request_class == "draft" || !net.executed_keys().contains(&format!("proof{n}")),
                    "proof{n} was rejected although it ran"
                );
            }
        }
        let at_most_once_keys: Vec<String> = net
            .executed_keys()
            .into_iter()
            .filter(|k| k.starts_with("proof"))
            .collect();
        assert_eq!(
            at_most_once_keys.iter().collect::<BTreeSet<_>>().len(),
            at_most_once_keys.len(),
            "no at-most-once request ran twice"
        );
        assert!(
            outcomes.contains("Succeeded") && outcomes.contains("Failed"),
            "{outcomes:?}"
        );
        net.engines
            .iter()
            .for_each(|engine| engine.trouble(|t| t.resets = 0.0));
        assert_nothing_left(&net).await;
    });
}
