//! Connections beyond the limits of the dispatcher: the maximum of client and engine connections, and a process
//! without free file descriptors.
//!
//! Each test runs a dispatcher on TCP sockets and acts as its clients, its engines and its discovery service. The test
//! forces an order of events that could lose an answer or a release. docs/acceptance.md lists the guarantees of each
//! path and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;
#[path = "common/request_stages.rs"]
mod request_stages;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::Limits;
use loopback::*;
use request_stages::*;

mod the_connection_limit {
    use super::*;

    /// Allows at most two client connections.
    fn run_with_two_clients<F: std::future::Future<Output = ()>>(test: impl FnOnce(Loopback) -> F) {
        let limits = Limits {
            max_client_connections: 2,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], test);
    }

    /// All client connections are in use, a new client connects, and an idle client sends its request at the same
    /// moment. Closing the idle connection after its request was read would lose the request. The request is either
    /// served, or its connection is closed and nothing is sent to an engine.
    #[test]
    fn does_not_close_a_client_whose_request_was_read() {
        for request_first in [true, false] {
            run_with_two_clients(|net| async move {
                let (mut idle_client, other_client) = (net.connect().await, net.connect().await);
                wait_until(|| net.driver.client_connections() == 2).await;
                let text = request_text("a", "proof");
                let new_client = if request_first {
                    idle_client
                        .io
                        .try_write(text.as_bytes())
                        .expect("socket buffer has room");
                    net.connect().await
                } else {
                    let new_client = net.connect().await;
                    idle_client
                        .io
                        .try_write(text.as_bytes())
                        .expect("socket buffer has room");
                    new_client
                };
                // Either the request is served, or its connection is closed without an attempt.
                let served = tokio::select! {
                    _ = idle_client.io.readable() => false,
                    (mut prefill, request) = net.engine("r1").accept_request() => {
                        assert_eq!(request.id(), "a");
                        prefill.send(PREFILL_ANSWER).await;
                        true
                    }
                };
                if served {
                    let (mut decode, _) = net.engine("w1").accept_request().await;
                    decode
                        .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                        .await;
                    assert!(idle_client
                        .read_until(LAST_CHUNK)
                        .await
                        .ends_with(LAST_CHUNK));
                } else {
                    assert_eq!(idle_client.read_to_end().await, "");
                    assert!(
                        !net.engine("r1").has_pending_connection(),
                        "no attempt was sent"
                    );
                }
                net.wait_until_no_request_open().await;
                drop((new_client, other_client));
            });
        }
    }

    /// The limit of engine connections is reached, and another one is needed. An idle connection is closed to make
    /// room. A connection with an open stream is never closed, as that would break the stream.
    #[test]
    fn of_engines_closes_an_idle_connection_and_never_one_in_use() {
        let http1 = limits().http1.map(|http1| Http1Limits {
            max_engine_connections: 2,
            ..http1
        });
        let limits = Limits { http1, ..limits() };
        run_with(limits, &["r1", "w1"], |net| async move {
            let mut client = net.send_request("a", "proof").await;
            let (mut prefill, _) = net.engine("r1").accept_request().await;
            prefill.send(PREFILL_ANSWER).await;
            // The idle connection to r1 is closed to make room for the decode attempt, whose connection is then in
            // use.
            let (mut decode, _) = net.engine("w1").accept_request().await;
            let mut second = net.send_request("b", "proof").await;
            // The second request uses the connection to r1 again, or one that has replaced it.
            let request = tokio::select! {
                Some(request) = prefill.next_request() => request,
                accepted = net.engine("r1").accept_request() => {
                    prefill = accepted.0;
                    accepted.1
                }
            };
            assert_eq!(request.id(), "b");
            prefill.send(PREFILL_ANSWER).await;
            // The second request's decode attempt waits for a connection until the first stream ends.
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(
                client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                "the first stream is not interrupted"
            );
            let mut decode = tokio::select! {
                request = decode.read_request() => {
                    assert_eq!(request.id(), "b");
                    decode
                }
                decode = accept_attempt(&net, "w1", "b") => decode,
            };
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(second.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        });
    }
}

mod a_shortage_of_file_descriptors {
    use super::*;

    /// The process runs out of file descriptors between the prefill and the decode attempt. The client is answered
    /// before its deadline, and the KV state is released once connections can be opened again.
    #[test]
    fn before_a_decode_attempt_loses_neither_the_answer_nor_the_release() {
        for class in CLASSES {
            run(|net| async move {
                let text = request_text_with("a", class, 1000, "{}");
                let OpenRequest { mut client, engine } =
                    start_request_with(&net, Stage::Prefilling, &text).await;
                let mut engine = engine.expect("an attempt is open");
                net.gate.set_descriptors_exhausted(true);
                // The prefill engine closes its connection with the answer, so no idle connection can carry the
                // release.
                engine
                    .send(
                        &PREFILL_ANSWER
                            .replace("Content-Length", "Connection: close\r\nContent-Length"),
                    )
                    .await;
                drop(engine);
                net.advance_until(|| net.driver.usage().requests == 0).await;
                assert!(
                    client.read_until("\n").await.starts_with("HTTP/1.1 503 "),
                    "{class}: nothing was decoded"
                );
                assert!(
                    net.driver.usage().releases > 0,
                    "the release of the request's KV state is pending"
                );
                net.gate.set_descriptors_exhausted(false);
                confirm_releases(&net).await;
                for engine in ["r1", "w1"] {
                    assert!(
                        !net.engine(engine).has_pending_connection(),
                        "{engine}: no further attempt is sent"
                    );
                }
            });
        }
    }

    /// Idle clients hold all client connections while discovery is down. A client that sends a request is still
    /// served with the known endpoints, and discovery is called again as soon as it can be reached.
    #[test]
    fn and_idle_clients_while_discovery_is_down_block_neither_requests_nor_updates() {
        let limits = Limits {
            max_client_connections: 8,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let discovery = net.discovery_address();
            net.gate.block(&discovery);
            drop(net.take_watch());
            let mut idle = Vec::new();
            for _ in 0..8 {
                idle.push(net.connect().await);
            }
            wait_until(|| net.driver.client_connections() == 8).await;
            for id in ["a", "b", "c"] {
                let mut client = net.send_request(id, "proof").await;
                let mut prefill = accept_attempt(&net, "r1", id).await;
                prefill.send(PREFILL_ANSWER).await;
                let mut decode = accept_attempt(&net, "w1", id).await;
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
                idle.push(client);
                assert!(
                    net.driver.client_connections() <= 8,
                    "the limit of client connections is not exceeded"
                );
            }
            tokio::select! { biased;
                () = net.gate.wait_until_blocked(&discovery) => {}
                () = net.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
            }
            net.gate.unblock(&discovery);
            let mut call = net.accept_discovery_call().await;
            assert!(!call.read_request().await.head.contains("after="));
            call.send(&net.discovery_response(
                2,
                true,
                &[
                    net.endpoint_json("r1", "up"),
                    net.endpoint_json("w1", "draining"),
                ],
            ))
            .await;
            wait_until(|| net.driver.list_version() == 2).await;
        });
    }
}

mod a_new_connection {
    use super::*;

    const ECONNABORTED: i32 = 103;
    const EPROTO: i32 = 71;
    const EINTR: i32 = 4;
    const ENETDOWN: i32 = 100;

    /// accept(2) returns an error that concerns a single connection. A listener that paused or ended after it would
    /// make all other clients wait. The next connection is accepted while the clock stands still.
    #[test]
    fn is_accepted_immediately_after_a_failed_accept() {
        for errors in [
            &[ECONNABORTED][..],
            &[EPROTO, ENETDOWN, ECONNABORTED],
            &[EINTR],
        ] {
            run(|net| async move {
                net.gate.fail_accepts(errors);
                // The accept that was pending before the errors were set takes this connection.
                let first = net.connect().await;
                wait_until(|| net.driver.client_connections() == 1).await;
                let mut client = net.send_request("a", "proof").await;
                net.serve_prefill().await;
                let (mut decode, _) = net.engine("w1").accept_request().await;
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
                drop(first);
            });
        }
    }

    /// A single accept fails for lack of file descriptors. A client that has just connected is about to send its
    /// request. Closing its connection for a shortage that is over at the next accept would lose the request.
    #[test]
    fn is_not_closed_for_a_shortage_that_is_over_at_the_next_accept() {
        const ENFILE: i32 = 23;
        run(|net| async move {
            let mut first = net.connect().await;
            wait_until(|| net.driver.client_connections() == 1).await;
            // The pending accept takes the next connection; the accept after it fails.
            net.gate.fail_accepts(&[ENFILE]);
            let second = net.connect().await;
            wait_until(|| net.driver.client_connections() == 2).await;
            let third = net.connect().await;
            net.advance_until(|| net.driver.client_connections() == 3)
                .await;
            first.send(&request_text("a", "proof")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(first.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            drop((second, third));
        });
    }

    /// More clients connect than the limit allows, and their requests are already sent. Closing the connections
    /// would lose the requests. The clients wait until a connection ends, and are then served.
    #[test]
    fn beyond_the_limit_waits_and_its_request_is_served() {
        let limits = Limits {
            max_client_connections: 1,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let (mut first, mut decode) = net.start_decode("a", "proof").await;
            let mut others = [
                net.send_request("b", "proof").await,
                net.send_request("c", "proof").await,
            ];
            net.advance(50.0);
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(first.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            drop(decode);
            for (id, client) in ["b", "c"].into_iter().zip(&mut others) {
                let mut prefill = accept_attempt(&net, "r1", id).await;
                prefill.send(PREFILL_ANSWER).await;
                let mut decode = accept_attempt(&net, "w1", id).await;
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(
                    client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                    "{id}"
                );
                assert!(
                    net.driver.client_connections() <= 1,
                    "the limit of client connections is not exceeded"
                );
            }
        });
    }
}
