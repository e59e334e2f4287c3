//! Clients that disconnect and deadlines that expire, at each stage of a request: the client gets at most one
//! answer, and no attempt or KV state remains.
//!
//! Each test runs a dispatcher on TCP sockets and acts as its clients, its engines and its discovery service. The test
//! forces an order of events that could lose an answer or a release. docs/acceptance.md lists the guarantees of each
//! path and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;
#[path = "common/request_stages.rs"]
mod request_stages;

use cindercleat_dispatcher::Limits;
use loopback::*;
use request_stages::*;
use tokio::io::AsyncWriteExt;

mod a_client_that_leaves {
    use super::*;
    use test_case::test_case;

    /// How a client ends its connection.
    #[derive(Clone, Copy)]
    enum Disconnect {
        Closes,
        /// The client closes only its sending direction.
        HalfCloses,
        /// The client sends a TCP reset.
        Resets,
    }

    /// A client closes, half closes or resets its connection at each stage of its request. An attempt that continues
    /// would occupy an engine for no client, and an unreleased KV state would occupy the engine's memory. The
    /// attempt is closed, the state is released, and the next request is served.
    #[test_case(Disconnect::Closes; "closes")]
    #[test_case(Disconnect::HalfCloses; "half closes")]
    #[test_case(Disconnect::Resets; "resets")]
    fn leaves_no_attempt_and_no_state_behind_at_any_stage(disconnect: Disconnect) {
        let stages = [
            Stage::Queued,
            Stage::Connecting,
            Stage::Prefilling,
            Stage::AwaitingDecodeConnection,
            Stage::Decoding,
            Stage::Streaming,
        ];
        for stage in stages {
            run(|net| async move {
                let OpenRequest { mut client, engine } = start_request(&net, stage, "draft").await;
                // The half-closed socket stays open until the end of the test. Dropping it would close both directions.
                let _open_half = match disconnect {
                    Disconnect::Closes => {
                        drop(client);
                        None
                    }
                    Disconnect::Resets => {
                        client.io.set_zero_linger().expect("socket option is set");
                        drop(client);
                        None
                    }
                    Disconnect::HalfCloses => {
                        client
                            .io
                            .shutdown()
                            .await
                            .expect("sending direction is closed");
                        Some(client)
                    }
                };
                assert_nothing_left(&net, stage, engine).await;
            });
        }
    }

    /// A client disconnects in the middle of its request's body. No attempt has started, so nothing may remain of
    /// the request.
    #[test]
    fn before_its_request_body_is_complete_leaves_nothing_behind() {
        run(|net| async move {
            let mut client = net.connect().await;
            let text = request_text_with("a", "draft", 4000, "a body of some length");
            client.send(&text[..text.len() - 5]).await;
            drop(client);
            wait_until(|| net.driver.client_connections() == 0).await;
            assert_nothing_left(&net, Stage::Streaming, None).await;
        });
    }
}

mod a_deadline {
    use super::*;
    use test_case::test_case;

    /// The time to the deadline in milliseconds, less than any other limit of the dispatcher.
    const TIME_TO_DEADLINE_MS: u32 = 200;

    /// A deadline expires at each stage before the first token. The client gets one answer: 503, which permits a
    /// retry, or 504 if a decode engine was already chosen for an at-most-once request, which may have run. The
    /// attempt is closed and its KV state released.
    #[test]
    fn that_expires_is_answered_once_and_leaves_nothing_at_any_stage() {
        for class in CLASSES {
            for stage in [
                Stage::Queued,
                Stage::Connecting,
                Stage::Prefilling,
                Stage::AwaitingDecodeConnection,
                Stage::Decoding,
            ] {
                run(|net| async move {
                    let text = request_text_with("a", class, TIME_TO_DEADLINE_MS, "{}");
                    let OpenRequest { mut client, engine } =
                        start_request_with(&net, stage, &text).await;
                    net.advance(f64::from(TIME_TO_DEADLINE_MS));
                    let answer = client.read_until("\n").await;
                    let rejected = answer.starts_with("HTTP/1.1 503 ");
                    // A retry may run an at-most-once request twice once its decode engine is chosen.
                    let is_retry_safe = class == "draft"
                        || !matches!(stage, Stage::AwaitingDecodeConnection | Stage::Decoding);
                    assert_eq!(rejected, is_retry_safe, "{class}, {stage:?}: {answer}");
                    assert!(rejected || answer.starts_with("HTTP/1.1 504 "), "{answer}");
                    drop(client);
                    assert_nothing_left(&net, stage, engine).await;
                });
            }
        }
    }

    /// A connection to an engine takes 240 ms to establish. If the attempt contained the time that was left when its
    /// engine was chosen, the engine would work beyond the client's deadline. The attempt contains the time that is
    /// left when it is sent.
    #[test]
    fn that_is_sent_to_an_engine_excludes_the_time_to_connect() {
        run(|net| async move {
            net.gate.block(&net.engine("r1").address);
            let _client = net.send_request("a", "draft").await;
            net.gate.wait_until_blocked(&net.engine("r1").address).await;
            net.advance(240.0);
            net.gate.unblock(&net.engine("r1").address);
            let (_prefill, request) = net.engine("r1").accept_request().await;
            let time_left: f64 = request
                .header("X-Remaining-Ms")
                .and_then(|t| t.parse().ok())
                .expect("the deadline header is a number");
            assert!(
                time_left <= 3_760.0,
                "the attempt contains {time_left} ms, but only 3760 ms are left"
            );
        });
    }

    /// Which of two simultaneous events the test causes first.
    #[derive(Clone, Copy, Debug)]
    enum First {
        Deadline,
        Answer,
    }

    /// Sends the engine's `text` and lets the deadline expire, in the given order and before the dispatcher runs.
    async fn send_at_deadline(net: &Loopback, engine: &mut Conn, text: &str, first: First) {
        if let First::Answer = first {
            engine.send(text).await;
            net.advance(f64::from(TIME_TO_DEADLINE_MS));
        } else {
            net.advance(f64::from(TIME_TO_DEADLINE_MS));
            engine
                .io
                .try_write(text.as_bytes())
                .expect("socket buffer has room");
        }
    }

    /// The deadline and the end of a prefill come at the same moment, in either order. Handled independently, they
    /// could give the client two answers, or hold the KV state for a finished request.
    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn at_the_end_of_a_prefill_leaves_one_answer_and_no_state(first: First) {
        run(|net| async move {
            let text = request_text_with("a", "draft", TIME_TO_DEADLINE_MS, "{}");
            let OpenRequest { mut client, engine } =
                start_request_with(&net, Stage::Prefilling, &text).await;
            let mut engine = engine.expect("an attempt is open");
            send_at_deadline(&net, &mut engine, PREFILL_ANSWER, first).await;
            assert!(client.read_until("\n").await.starts_with("HTTP/1.1 503 "));
            drop(client);
            // The release comes over the engine's connection if that is idle, or over a new one if it was closed.
            let next_release = tokio::select! { biased;
                request = engine.next_request() => request,
                accepted = net.accept_any_request() => Some(accepted.1),
            };
            let release = match next_release {
                Some(release) => release,
                None => net.accept_any_request().await.1,
            };
            assert!(
                release.head.starts_with("DELETE /bootstrap/rooms/a "),
                "{release:?}"
            );
            net.wait_until_no_request_open().await;
        });
    }

    /// The deadline and the first token come at the same moment, in either order. The client gets either a complete
    /// stream or an error, never both and never half a stream.
    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn at_the_first_token_leaves_one_answer(first: First) {
        for class in CLASSES {
            run(|net| async move {
                let text = request_text_with("a", class, TIME_TO_DEADLINE_MS, "{}");
                let OpenRequest { mut client, engine } =
                    start_request_with(&net, Stage::Decoding, &text).await;
                let mut engine = engine.expect("an attempt is open");
                send_at_deadline(
                    &net,
                    &mut engine,
                    &format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"),
                    first,
                )
                .await;
                net.wait_until_no_request_open().await;
                client
                    .io
                    .shutdown()
                    .await
                    .expect("sending direction is closed");
                let answer = client.read_to_end().await;
                assert_eq!(
                    answer.matches("HTTP/1.1 ").count(),
                    1,
                    "{class}, {first:?}: {answer}"
                );
                let served = answer.starts_with("HTTP/1.1 200 ");
                assert_eq!(
                    served,
                    answer.ends_with(LAST_CHUNK),
                    "a stream that has started is complete: {answer}"
                );
                assert!(served || answer.starts_with("HTTP/1.1 50"), "{answer}");
            });
        }
    }
}

mod a_request_that_arrives_in_parts {
    use super::*;

    /// What makes the dispatcher give up waiting for the rest of a request.
    #[derive(Clone, Copy, Debug)]
    enum Trigger {
        ReadTimeout,
        Eviction,
    }

    /// The number of scheduler turns of the other tasks between the last byte of the request and the trigger. The
    /// session reads the byte within these turns, and the state machine is told of the request only some turns later.
    const MAX_TURNS: usize = 40;

    /// What came of the request.
    #[derive(Debug, PartialEq)]
    enum Outcome {
        /// It was answered with a failure, and no engine has received it.
        Refused,
        /// It was sent to the engines, and its answer has arrived.
        Served,
    }

    /// Serves the attempts of one request.
    async fn serve_at_engines(net: &Loopback) {
        net.serve_prefill().await;
        let (mut decode, _) = net.engine("w1").accept_request().await;
        decode
            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
            .await;
    }

    async fn outcome_of(net: &Loopback, client: &mut Conn) -> Outcome {
        let head = tokio::select! { biased;
            head = client.read_until("\r\n\r\n") => head,
            () = serve_at_engines(net) => client.read_until("\r\n\r\n").await,
        };
        if head.starts_with("HTTP/1.1 200 ") {
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            return Outcome::Served;
        }
        assert!(
            head.starts_with("HTTP/1.1 408 "),
            "the connection was closed without an answer: {head:?}"
        );
        assert!(!net.engine("r1").has_pending_connection());
        Outcome::Refused
    }

    /// Guards against lost requests: the last byte of a request arrives as the dispatcher gives up waiting for it, on a
    /// read timeout or to make room for another client. A request that was read must be answered on its connection.
    #[test]
    fn is_answered_if_its_last_byte_arrives_as_it_is_given_up() {
        for trigger in [Trigger::ReadTimeout, Trigger::Eviction] {
            let outcomes = std::cell::RefCell::new(Vec::new());
            for turns in 0..MAX_TURNS {
                let outcomes = &outcomes;
                let limits = Limits {
                    max_client_connections: 1,
                    ..limits()
                };
                run_with(limits, &["r1", "w1"], |net| async move {
                    let mut client = net.connect().await;
                    let text = request_text("a", "proof");
                    let (first_part, last_part) = text.split_at(text.len() - 1);
                    client.send(first_part).await;
                    for _ in 0..100 {
                        tokio::task::yield_now().await;
                    }
                    net.advance(1_999.0);
                    tokio::task::yield_now().await;
                    client
                        .io
                        .try_write(last_part.as_bytes())
                        .expect("socket buffer has room");
                    for _ in 0..turns {
                        tokio::task::yield_now().await;
                    }
                    let other = match trigger {
                        Trigger::ReadTimeout => {
                            net.advance(1.0);
                            None
                        }
                        Trigger::Eviction => Some(net.connect().await),
                    };
                    let outcome = outcome_of(&net, &mut client).await;
                    drop(other);
                    net.wait_until_no_request_open().await;
                    outcomes.borrow_mut().push(outcome);
                });
            }
            let outcomes = outcomes.into_inner();
            assert!(
                outcomes.contains(&Outcome::Served),
                "{trigger:?}: {outcomes:?}"
            );
        }
    }
}
