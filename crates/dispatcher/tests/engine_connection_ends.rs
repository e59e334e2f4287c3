//! Engines that close connections, leave service or are replaced, and what is sent to them: no request runs twice that
//! must not, and none is lost that has not run.
//!
//! Each test makes the order of events happen that would lose what is still owed: on TCP sockets, with clients, engines and
//! discovery that go on when the test says so. docs/acceptance.md lists what each path may owe and names its tests.

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

    /// A request that is served, so that a connection to each engine rests; gives them.
    async fn with_idle_connections(net: &Loopback) -> (Conn, Conn) {
        let mut client = net.send_request("first", "draft").await;
        let (mut prefill, _) = net.engine("r1").accept_request().await;
        prefill.send(PREFILL_ANSWER).await;
        let (mut decode, _) = net.engine("w1").accept_request().await;
        decode
            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
            .await;
        assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        net.no_request_is_open().await;
        (prefill, decode)
    }

    /// Engines close idle connections just as the next request comes. Nothing was written on them, so even a request
    /// that must not run twice goes out on a new connection, once.
    #[test]
    fn a_resting_connection_as_the_next_request_comes_gets_it_once_on_another() {
        for class in CLASSES {
            run(|net| async move {
                let (prefill, decode) = with_idle_connections(&net).await;
                // Both closes are there before the dispatcher runs again.
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
                assert!(!net.engine("w1").has_pending_connection(), "once");
            });
        }
    }

    /// A decode engine has got a whole request and closes the connection before the first event of its answer is
    /// complete. The request may have run: one that is safe to repeat is sent again, one that is not gets 504 and is
    /// not sent again.
    #[test_case(""; "without a byte")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Ty"; "within a line of the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; "after the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata:"; "within its first event")]
    fn after_the_whole_request_may_have_run_it(part: &str) {
        for class in CLASSES {
            run(|net| async move {
                let (mut client, mut decode) = net.decoding("a", class).await;
                decode.send(part).await;
                drop(decode);
                if class == "proof" {
                    assert!(
                        client.read_until("\n").await.starts_with("HTTP/1.1 504 "),
                        "not sent again"
                    );
                    net.no_request_is_open().await;
                    release_is_sent(&net).await;
                    assert!(!net.engine("w1").has_pending_connection());
                } else {
                    let mut decode = attempt_of(&net, "w1", "a").await;
                    decode
                        .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                        .await;
                    assert!(
                        client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                        "sent again"
                    );
                }
            });
        }
    }

    /// Chunks come whole, with half of the first event in them, and the engine closes the connection. The client has
    /// not got an event, so the request is still the dispatcher's to answer; taking the chunks for the beginning of a
    /// stream would leave the client with half an event.
    #[test]
    fn within_its_first_event_and_between_two_chunks_has_begun_no_stream() {
        for part in [
            "6\r\ndata: \r\n",
            "6\r\ndata: \r\n2\r\na\n\r\n",
            "d\r\n: a comment\n\n\r\n5\r\ndata:\r\n",
        ] {
            for class in CLASSES {
                run(|net| async move {
                    let (mut client, mut decode) = net.decoding("a", class).await;
                    decode.send(&format!("{STREAM_HEAD}{part}")).await;
                    drop(decode);
                    if class == "proof" {
                        assert!(
                            client.read_until("\n").await.starts_with("HTTP/1.1 504 "),
                            "answered whole"
                        );
                        net.no_request_is_open().await;
                        release_is_sent(&net).await;
                        assert!(!net.engine("w1").has_pending_connection(), "not sent again");
                    } else {
                        let mut decode = attempt_of(&net, "w1", "a").await;
                        decode
                            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                            .await;
                        let answer = client.read_until(LAST_CHUNK).await;
                        assert!(
                            answer.ends_with(&format!("\r\n\r\n{EVENT}{LAST_CHUNK}")),
                            "one answer: {answer}"
                        );
                    }
                });
            }
        }
    }

    /// An engine closes the connection after the last event and before the last chunk. The client gets all events and
    /// no last chunk, by which it sees that the stream is not complete.
    #[test]
    fn between_the_last_event_and_the_last_chunk_leaves_the_stream_open_ended() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "draft").await;
            let mut engine = engine.expect("it streams");
            engine.send(EVENT).await;
            drop(engine);
            let rest = client.read_to_end().await;
            assert_eq!(rest, EVENT, "all that received, and no last chunk");
            net.no_request_is_open().await;
            assert!(
                !net.engine("w1").has_pending_connection(),
                "nothing more goes out for it"
            );
        });
    }

    /// An engine sends the end of its answer and closes the connection at the same moment. The close must not hide the
    /// answer that came before it.
    #[test]
    fn with_the_end_of_its_answer_in_one_turn_has_served() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "proof").await;
            let mut engine = engine.expect("it streams");
            engine.send(&format!("{EVENT}{LAST_CHUNK}")).await;
            drop(engine);
            assert_eq!(
                client.read_until(LAST_CHUNK).await,
                format!("{EVENT}{LAST_CHUNK}")
            );
            net.no_request_is_open().await;
        });
    }
}

mod an_engine_that_leaves_service {
    use super::*;
    use test_case::test_case;

    /// How the list says so.
    #[derive(Clone, Copy)]
    enum Says {
        Draining,
        Removed,
    }

    impl Says {
        fn phase(self) -> &'static str {
            match self {
                Says::Draining => "draining",
                Says::Removed => "removed",
            }
        }
    }

    /// An attempt waits for the connection to its engine, and the list says that the engine drains or is gone. The
    /// connection is established after that: the attempt must go to another engine.
    #[test_case(Says::Draining; "draining")]
    #[test_case(Says::Removed; "removed")]
    fn gets_nothing_that_still_waited_for_a_connection_to_it(says: Says) {
        run_with(limits(), &["r1", "w1", "w2"], |net| async move {
            for engine in ["w1", "w2"] {
                net.gate.shut(&net.engine(engine).address);
            }
            let mut client = net.send_request("a", "proof").await;
            net.serve_prefill().await;
            let chosen = tokio::select! {
                () = net.gate.held_up(&net.engine("w1").address) => "w1",
                () = net.gate.held_up(&net.engine("w2").address) => "w2",
            };
            let other = if chosen == "w1" { "w2" } else { "w1" };
            net.announce(&[net.line(chosen, says.phase())]).await;
            net.gate.open(&net.engine(other).address);
            net.gate.open(&net.engine(chosen).address);
            // The connection that was wanted comes up, and carries nothing.
            let mut unused = net.engine(chosen).accept().await;
            let mut decode = attempt_of(&net, other, "a").await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            net.no_request_is_open().await;
            // Until it has rested for as long as a connection may.
            net.advance(limits().connection_idle_timeout);
            assert_eq!(
                unused.read_to_end().await,
                "",
                "nothing went to the engine that leaves"
            );
        });
    }

    /// An engine drains or leaves the list in the middle of a stream. The stream goes on to its end, the engine gets no
    /// further request, and its connection is closed once it is idle.
    #[test_case(Says::Draining; "draining")]
    #[test_case(Says::Removed; "removed")]
    fn finishes_the_stream_that_it_has_and_gets_no_other(says: Says) {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "proof").await;
            net.announce(&[net.line("w1", says.phase())]).await;
            let mut engine = engine.expect("it streams");
            engine.send(&format!("{EVENT}{LAST_CHUNK}")).await;
            assert_eq!(
                client.read_until(LAST_CHUNK).await,
                format!("{EVENT}{LAST_CHUNK}")
            );
            net.no_request_is_open().await;
            is_refused(&net, "b").await;
            net.advance(limits().connection_idle_timeout);
            assert_eq!(
                engine.read_to_end().await,
                "",
                "its connection is closed, and nothing more said on it"
            );
        });
    }

    /// The prefill engine that holds a request's KV state leaves the list, and the decode engine does not get the
    /// state. The prompt is prefilled again at another engine, and the request is served.
    #[test]
    fn with_a_kv_state_held_has_the_prompt_prefilled_again() {
        run_with(limits(), &["r1", "r2", "w1"], |net| async move {
            let mut client = net.send_request("a", "draft").await;
            let (home, mut prefill) = tokio::select! {
                asked = net.engine("r1").accept_request() => ("r1", asked.0),
                asked = net.engine("r2").accept_request() => ("r2", asked.0),
            };
            let other = if home == "r1" { "r2" } else { "r1" };
            prefill.send(PREFILL_ANSWER).await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            net.announce(&[net.line(home, "removed")]).await;
            decode
                .send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
                .await;
            let mut prefill = tokio::select! { biased;
                conn = attempt_of(&net, other, "a") => conn,
                () = net.advance_until(|| false) => unreachable!("it goes on"),
            };
            prefill.send(PREFILL_ANSWER).await;
            // The decode engine is asked again once it was passed by for a moment, on the connection that rests.
            let again = tokio::select! { biased;
                request = decode.read_request() => request,
                () = net.advance_until(|| false) => unreachable!("it goes on"),
            };
            assert_eq!(again.id(), "a");
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            net.no_request_is_open().await;
        });
    }
}

mod a_replaced_process {
    use super::*;

    /// An engine's process is replaced under the same name at another address. What was sent to the old process ends
    /// there, and the next request goes to the new one.
    #[test]
    fn under_the_same_name_gets_what_comes_next_and_the_old_one_nothing_more() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Decodes, "proof").await;
            let mut old = engine.expect("it decodes");
            let new = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let address = new.local_addr().expect("an address").to_string();
            let line = net
                .line("w1", "up")
                .replace(&net.engine("w1").address, &address);
            net.announce(&[line]).await;
            let mut next = net.send_request("b", "proof").await;
            net.serve_prefill().await;
            let mut decode = Conn::new(new.accept().await.expect("a connection").0);
            assert_eq!(decode.read_request().await.id(), "b");
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(next.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            old.send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}")).await;
            assert!(
                client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                "what the old one has it may finish"
            );
            assert_eq!(old.read_to_end().await, "");
        });
    }
}

mod a_request_that_is_passed_on {
    use super::*;

    /// Platforms name their idempotency keys, and what else engines need, as they like.
    #[test]
    fn keeps_the_headers_that_are_meant_for_its_engine_and_no_others() {
        run(|net| async move {
            let mut client = net.connect().await;
            let own = "Idempotency-Key: 7c/1 a\r\nx-order: 9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n";
            client
                .send(&request("a", "caption").replace("X-Lane", &format!("{own}X-Lane")))
                .await;
            let prefill = net.serve_prefill().await;
            let (mut engine, decode) = net.engine("w1").accept_request().await;
            for asked in [prefill, decode] {
                assert_eq!(asked.header("Idempotency-Key"), Some("7c/1 a"), "{asked:?}");
                assert_eq!(asked.header("x-order"), Some("9"), "{asked:?}");
                for name in ["X-Hop", "Connection", "TE"] {
                    assert_eq!(asked.header(name), None, "{asked:?}");
                }
                for name in ["X-Txn", "X-Remaining-Ms", "Content-Length", "Host"] {
                    let times = asked
                        .head
                        .lines()
                        .filter(|l| l.starts_with(&format!("{name}: ")))
                        .count();
                    assert_eq!(times, 1, "{name}: {asked:?}");
                }
            }
            engine
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        });
    }
}
