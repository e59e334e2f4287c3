//! Engines that close connections, leave service or are replaced while requests are sent to them: no at-most-once
//! request runs twice, and no request that has not run is lost.
//!
//! Each test runs a dispatcher on TCP sockets and acts as its clients, its engines and its discovery service. The test
//! forces an order of events that could lose an answer or a release. docs/acceptance.md lists the guarantees of each
//! path and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;
#[path = "common/request_stages.rs"]
mod request_stages;

use loopback::*;
use request_stages::*;

mod an_engine_that_closes {
    use super::*;
    use test_case::test_case;

    /// Serves a request, which leaves an idle connection to each engine. Returns the ends of these connections at the
    /// prefill engine and at the decode engine.
    async fn open_idle_connections(net: &Loopback) -> (Conn, Conn) {
        let mut client = net.send_request("first", "draft").await;
        let (mut prefill, _) = net.engine("r1").accept_request().await;
        prefill.send(PREFILL_ANSWER).await;
        let (mut decode, _) = net.engine("w1").accept_request().await;
        decode
            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
            .await;
        assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        net.wait_until_no_request_open().await;
        (prefill, decode)
    }

    /// Engines close idle connections just as the next request comes. Nothing was written on these connections, so
    /// even an at-most-once request is sent on a new connection, exactly once.
    #[test]
    fn an_idle_connection_gets_the_next_request_once_on_a_new_connection() {
        for class in CLASSES {
            run(|net| async move {
                let (prefill, decode) = open_idle_connections(&net).await;
                // Both connections are closed before the dispatcher runs again.
                drop((prefill, decode));
                let mut client = net.send_request("a", class).await;
                net.serve_prefill().await;
                let (mut decode, request) = net.engine("w1").accept_request().await;
                assert_eq!(request.id(), "a");
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(
                    client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                    "{class}"
                );
                assert!(
                    !net.engine("w1").has_pending_connection(),
                    "the attempt is sent once"
                );
            });
        }
    }

    /// A decode engine has received a complete request and closes the connection before the first event of its
    /// answer is complete. The request may have run: an idempotent request is sent again, an at-most-once request
    /// gets 504 and is not sent again.
    #[test_case(""; "without a byte")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Ty"; "within a line of the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; "after the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata:"; "within its first event")]
    fn after_the_complete_request_may_have_run_it(part: &str) {
        for class in CLASSES {
            run(|net| async move {
                let (mut client, mut decode) = net.start_decode("a", class).await;
                decode.send(part).await;
                drop(decode);
                if class == "proof" {
                    assert!(
                        client.read_until("\n").await.starts_with("HTTP/1.1 504 "),
                        "the attempt is not sent again"
                    );
                    net.wait_until_no_request_open().await;
                    confirm_releases(&net).await;
                    assert!(!net.engine("w1").has_pending_connection());
                } else {
                    let mut decode = accept_attempt(&net, "w1", "a").await;
                    decode
                        .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                        .await;
                    assert!(
                        client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                        "the attempt is sent again"
                    );
                }
            });
        }
    }

    /// Complete chunks arrive with half of the first event in them, and the engine closes the connection. The client
    /// has received no event, so the dispatcher can still send an error or retry the request. Counting the chunks as
    /// the start of a stream would leave the client with half an event.
    #[test]
    fn within_its_first_event_and_between_two_chunks_has_not_started_a_stream() {
        for part in [
            "6\r\ndata: \r\n",
            "6\r\ndata: \r\n2\r\na\n\r\n",
            "d\r\n: a comment\n\n\r\n5\r\ndata:\r\n",
        ] {
            for class in CLASSES {
                run(|net| async move {
                    let (mut client, mut decode) = net.start_decode("a", class).await;
                    decode.send(&format!("{STREAM_HEAD}{part}")).await;
                    drop(decode);
                    if class == "proof" {
                        assert!(
                            client.read_until("\n").await.starts_with("HTTP/1.1 504 "),
                            "the client gets a complete answer"
                        );
                        net.wait_until_no_request_open().await;
                        confirm_releases(&net).await;
                        assert!(
                            !net.engine("w1").has_pending_connection(),
                            "the attempt is not sent again"
                        );
                    } else {
                        let mut decode = accept_attempt(&net, "w1", "a").await;
                        decode
                            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                            .await;
                        let answer = client.read_until(LAST_CHUNK).await;
                        assert!(
                            answer.ends_with(&format!("\r\n\r\n{EVENT}{LAST_CHUNK}")),
                            "the client gets one answer: {answer}"
                        );
                    }
                });
            }
        }
    }

    /// An engine closes the connection after the last event and before the last chunk. The client gets all events
    /// and no last chunk, so it sees that the stream is incomplete.
    #[test]
    fn between_the_last_event_and_the_last_chunk_leaves_the_stream_incomplete() {
        run(|net| async move {
            let OpenRequest { mut client, engine } =
                start_request(&net, Stage::Streaming, "draft").await;
            let mut engine = engine.expect("an attempt is open");
            engine.send(EVENT).await;
            drop(engine);
            let rest = client.read_to_end().await;
            assert_eq!(rest, EVENT, "the client gets all events and no last chunk");
            net.wait_until_no_request_open().await;
            assert!(
                !net.engine("w1").has_pending_connection(),
                "no further attempt is sent"
            );
        });
    }

    /// An engine sends the end of its answer and closes the connection at the same moment. The close must not
    /// discard the answer that came before it.
    #[test]
    fn together_with_the_end_of_its_answer_has_served_the_request() {
        run(|net| async move {
            let OpenRequest { mut client, engine } =
                start_request(&net, Stage::Streaming, "proof").await;
            let mut engine = engine.expect("an attempt is open");
            engine.send(&format!("{EVENT}{LAST_CHUNK}")).await;
            drop(engine);
            assert_eq!(
                client.read_until(LAST_CHUNK).await,
                format!("{EVENT}{LAST_CHUNK}")
            );
            net.wait_until_no_request_open().await;
        });
    }
}

mod an_engine_that_leaves_service {
    use super::*;
    use test_case::test_case;

    /// How discovery reports that an engine leaves service.
    #[derive(Clone, Copy)]
    enum Departure {
        Draining,
        Removed,
    }

    impl Departure {
        fn phase(self) -> &'static str {
            match self {
                Departure::Draining => "draining",
                Departure::Removed => "removed",
            }
        }
    }

    /// An attempt waits for the connection to its engine, and discovery reports that the engine drains or is gone.
    /// The connection is established after that. The attempt must go to another engine.
    #[test_case(Departure::Draining; "draining")]
    #[test_case(Departure::Removed; "removed")]
    fn gets_no_attempt_that_waited_for_a_connection_to_it(departure: Departure) {
        run_with(limits(), &["r1", "w1", "w2"], |net| async move {
            for engine in ["w1", "w2"] {
                net.gate.block(&net.engine(engine).address);
            }
            let mut client = net.send_request("a", "proof").await;
            net.serve_prefill().await;
            let chosen = tokio::select! {
                () = net.gate.wait_until_blocked(&net.engine("w1").address) => "w1",
                () = net.gate.wait_until_blocked(&net.engine("w2").address) => "w2",
            };
            let other = if chosen == "w1" { "w2" } else { "w1" };
            net.announce_endpoints(&[net.endpoint_json(chosen, departure.phase())])
                .await;
            net.gate.unblock(&net.engine(other).address);
            net.gate.unblock(&net.engine(chosen).address);
            // The connection to the engine that leaves is established, and carries no attempt.
            let mut unused = net.engine(chosen).accept().await;
            let mut decode = accept_attempt(&net, other, "a").await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            net.wait_until_no_request_open().await;
            // The dispatcher closes the connection after the idle timeout.
            net.advance(limits().connection_idle_timeout);
            assert_eq!(
                unused.read_to_end().await,
                "",
                "nothing was sent to the engine that leaves"
            );
        });
    }

    /// An engine drains or leaves discovery's list in the middle of a stream. The stream continues to its end, the
    /// engine gets no further request, and its connection is closed once it is idle.
    #[test_case(Departure::Draining; "draining")]
    #[test_case(Departure::Removed; "removed")]
    fn finishes_its_open_stream_and_gets_no_further_request(departure: Departure) {
        run(|net| async move {
            let OpenRequest { mut client, engine } =
                start_request(&net, Stage::Streaming, "proof").await;
            net.announce_endpoints(&[net.endpoint_json("w1", departure.phase())])
                .await;
            let mut engine = engine.expect("an attempt is open");
            engine.send(&format!("{EVENT}{LAST_CHUNK}")).await;
            assert_eq!(
                client.read_until(LAST_CHUNK).await,
                format!("{EVENT}{LAST_CHUNK}")
            );
            net.wait_until_no_request_open().await;
            assert_rejected(&net, "b").await;
            net.advance(limits().connection_idle_timeout);
            assert_eq!(
                engine.read_to_end().await,
                "",
                "the engine's connection is closed without further data"
            );
        });
    }

    /// The prefill engine that holds a request's KV state leaves discovery's list, and the decode engine cannot
    /// fetch the state. The prompt is prefilled again at another engine, and the request is served.
    #[test]
    fn with_a_kv_state_held_has_the_prompt_prefilled_again() {
        run_with(limits(), &["r1", "r2", "w1"], |net| async move {
            let mut client = net.send_request("a", "draft").await;
            let (home, mut prefill) = tokio::select! {
                accepted = net.engine("r1").accept_request() => ("r1", accepted.0),
                accepted = net.engine("r2").accept_request() => ("r2", accepted.0),
            };
            let other = if home == "r1" { "r2" } else { "r1" };
            prefill.send(PREFILL_ANSWER).await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            net.announce_endpoints(&[net.endpoint_json(home, "removed")])
                .await;
            decode
                .send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
                .await;
            let mut prefill = tokio::select! { biased;
                conn = accept_attempt(&net, other, "a") => conn,
                () = net.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
            };
            prefill.send(PREFILL_ANSWER).await;
            // The dispatcher avoids the decode engine for a moment, and then sends the next attempt on its idle
            // connection, or on a new one if the idle connection may not be reused yet.
            let mut decode = tokio::select! { biased;
                conn = accept_attempt(&net, "w1", "a") => conn,
                Some(request) = decode.next_request() => {
                    assert_eq!(request.id(), "a", "{}", request.head);
                    decode
                }
                () = net.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
            };
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            net.wait_until_no_request_open().await;
        });
    }
}

mod a_replaced_process {
    use super::*;

    /// An engine's process is replaced under the same name at another address. The open request finishes at the old
    /// process, and the next request goes to the new one.
    #[test]
    fn under_the_same_name_gets_the_next_request_and_the_old_process_none() {
        run(|net| async move {
            let OpenRequest { mut client, engine } =
                start_request(&net, Stage::Decoding, "proof").await;
            let mut old = engine.expect("an attempt is open");
            let new_listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("port is bound");
            let address = new_listener
                .local_addr()
                .expect("socket has an address")
                .to_string();
            let entry = net
                .endpoint_json("w1", "up")
                .replace(&net.engine("w1").address, &address);
            net.announce_endpoints(&[entry]).await;
            let mut next = net.send_request("b", "proof").await;
            net.serve_prefill().await;
            let mut decode = Conn::new(
                new_listener
                    .accept()
                    .await
                    .expect("connection is accepted")
                    .0,
            );
            assert_eq!(decode.read_request().await.id(), "b");
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(next.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            old.send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}")).await;
            assert!(
                client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                "the old process finishes its open stream"
            );
            assert_eq!(old.read_to_end().await, "");
        });
    }
}

mod a_forwarded_request {
    use super::*;

    /// Platforms choose the names of their idempotency headers and of other headers for engines, so the dispatcher
    /// forwards end-to-end headers unchanged. It removes hop-by-hop headers.
    #[test]
    fn keeps_end_to_end_headers_and_loses_hop_by_hop_headers() {
        run(|net| async move {
            let mut client = net.connect().await;
            let extra_headers = "Idempotency-Key: 7c/1 a\r\nx-order: 9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n";
            client
                .send(
                    &request_text("a", "caption")
                        .replace("X-Lane", &format!("{extra_headers}X-Lane")),
                )
                .await;
            let prefill = net.serve_prefill().await;
            let (mut engine, decode) = net.engine("w1").accept_request().await;
            for request in [prefill, decode] {
                assert_eq!(
                    request.header("Idempotency-Key"),
                    Some("7c/1 a"),
                    "{request:?}"
                );
                assert_eq!(request.header("x-order"), Some("9"), "{request:?}");
                for name in ["X-Hop", "Connection", "TE"] {
                    assert_eq!(request.header(name), None, "{request:?}");
                }
                for name in ["X-Txn", "X-Remaining-Ms", "Content-Length", "Host"] {
                    let occurrences = request
                        .head
                        .lines()
                        .filter(|line| line.starts_with(&format!("{name}: ")))
                        .count();
                    assert_eq!(occurrences, 1, "{name}: {request:?}");
                }
            }
            engine
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        });
    }
}
