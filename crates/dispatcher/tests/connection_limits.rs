//! Connections beyond what the dispatcher may have: clients and engines at the maximum, and a process that is out of file
//! descriptors.
//!
//! Each test makes the order of events happen that would lose what is still owed: on TCP sockets, with clients, engines and
//! discovery that go on when the test says so. docs/acceptance.md lists what each path may owe and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;
#[path = "common/request_stages.rs"]
mod request_stages;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::Limits;
use loopback::*;
use request_stages::*;

mod a_place_that_is_wanted {
    use super::*;

    /// Two connections of clients at most.
    fn run_with_two_places<F: std::future::Future<Output = ()>>(test: impl FnOnce(Loopback) -> F) {
        let limits = Limits {
            max_client_connections: 2,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], test);
    }

    /// All connections of clients are in use, a new one comes, and an idle client sends its request at the same moment.
    /// Closing that connection after its request was read would lose the request: it is either served, or closed with
    /// nothing sent to an engine.
    #[test]
    fn is_not_taken_from_a_client_whose_request_is_read() {
        for request_first in [true, false] {
            run_with_two_places(|net| async move {
                let (mut resting, other) = (net.connect().await, net.connect().await);
                until(|| net.driver.client_connections() == 2).await;
                let text = request("a", "proof");
                let new = if request_first {
                    resting.io.try_write(text.as_bytes()).expect("room");
                    net.connect().await
                } else {
                    let new = net.connect().await;
                    resting.io.try_write(text.as_bytes()).expect("room");
                    new
                };
                // Either it was read and is served whole, or its connection ends with nothing sent on.
                let served = tokio::select! {
                    _ = resting.io.readable() => false,
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
                    assert!(resting.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
                } else {
                    assert_eq!(resting.read_to_end().await, "");
                    assert!(
                        !net.engine("r1").has_pending_connection(),
                        "nothing was sent on"
                    );
                }
                net.no_request_is_open().await;
                drop((new, other));
            });
        }
    }

    /// All connections to engines are in use or idle, and another is needed. An idle one is closed for it; one that
    /// carries a stream never is, as that would break the stream.
    #[test]
    fn at_the_engines_is_made_by_a_connection_at_rest_and_never_by_one_in_use() {
        let http1 = limits().http1.map(|http1| Http1Limits {
            max_engine_connections: 2,
            ..http1
        });
        let limits = Limits { http1, ..limits() };
        run_with(limits, &["r1", "w1"], |net| async move {
            let mut client = net.send_request("a", "proof").await;
            let (mut prefill, _) = net.engine("r1").accept_request().await;
            prefill.send(PREFILL_ANSWER).await;
            // The connection to r1 makes way for the decode's, which is in use then.
            let (mut decode, _) = net.engine("w1").accept_request().await;
            let mut second = net.send_request("b", "proof").await;
            let request = tokio::select! {
                request = prefill.read_request() => request,
                asked = net.engine("r1").accept_request() => {
                    prefill = asked.0;
                    asked.1
                }
            };
            assert_eq!(request.id(), "b");
            prefill.send(PREFILL_ANSWER).await;
            // No place for its decode attempt until the first has ended.
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(
                client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                "the first goes on undisturbed"
            );
            let mut decode = tokio::select! {
                request = decode.read_request() => {
                    assert_eq!(request.id(), "b");
                    decode
                }
                decode = attempt_of(&net, "w1", "b") => decode,
            };
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(second.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        });
    }
}

mod a_shortage_of_descriptors {
    use super::*;

    /// The process runs out of file descriptors between the prefill and the decode attempt. The client is answered
    /// before its deadline, and the KV state is released once a connection can be opened again.
    #[test]
    fn at_a_further_attempt_is_answered_in_time_and_its_state_let_go_once_there_is_one() {
        for class in CLASSES {
            run(|net| async move {
                let text = request_with("a", class, 1000, "{}");
                let Open { mut client, engine } = bring_with(&net, Stage::Prefills, &text).await;
                let mut engine = engine.expect("it is being read");
                net.gate.exhaust(true);
                // The connection over which the prompt went is closed with the answer: no other can be had.
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
                    "its state is not forgotten"
                );
                net.gate.exhaust(false);
                release_is_sent(&net).await;
                for engine in ["r1", "w1"] {
                    assert!(
                        !net.engine(engine).has_pending_connection(),
                        "{engine}: no attempt follows"
                    );
                }
            });
        }
    }

    /// Idle clients use all connections while discovery is down. A client that sends a request is still served, with
    /// the list that is known, and discovery is called again as soon as it can be reached.
    #[test]
    fn for_clients_while_discovery_is_down_keeps_neither_requests_nor_the_list_out() {
        let limits = Limits {
            max_client_connections: 8,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let discovery = net.discovery_address();
            net.gate.shut(&discovery);
            drop(net.take_watch());
            let mut idle = Vec::new();
            for _ in 0..8 {
                idle.push(net.connect().await);
            }
            until(|| net.driver.client_connections() == 8).await;
            for id in ["a", "b", "c"] {
                let mut client = net.send_request(id, "proof").await;
                let mut prefill = attempt_of(&net, "r1", id).await;
                prefill.send(PREFILL_ANSWER).await;
                let mut decode = attempt_of(&net, "w1", id).await;
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
                idle.push(client);
                assert!(
                    net.driver.client_connections() <= 8,
                    "no more places than there are"
                );
            }
            tokio::select! { biased;
                () = net.gate.held_up(&discovery) => {}
                () = net.advance_until(|| false) => unreachable!("it goes on"),
            }
            net.gate.open(&discovery);
            let mut call = net.discovery_call().await;
            assert!(!call.read_request().await.head.contains("after="));
            call.send(&net.list(2, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                .await;
            until(|| net.driver.list_version() == 2).await;
        });
    }
}

mod a_new_connection {
    use super::*;

    const ECONNABORTED: i32 = 103;
    const EPROTO: i32 = 71;
    const EINTR: i32 = 4;
    const ENETDOWN: i32 = 100;

    /// accept(2) returns an error that concerns only one connection. If the listener paused or ended, all other clients
    /// would wait: the next connection is accepted while the clock stands still.
    #[test]
    fn is_taken_at_once_after_one_that_could_not_be() {
        for errors in [
            &[ECONNABORTED][..],
            &[EPROTO, ENETDOWN, ECONNABORTED],
            &[EINTR],
        ] {
            run(|net| async move {
                net.gate.fail_accepts(errors);
                // The call that was under way before the errors.
                let first = net.connect().await;
                until(|| net.driver.client_connections() == 1).await;
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
    /// request; closing it for a shortage that is over at the next try would lose the request.
    #[test]
    fn is_not_shut_for_a_shortage_that_is_over_at_the_next_try() {
        const ENFILE: i32 = 23;
        run(|net| async move {
            let mut first = net.connect().await;
            until(|| net.driver.client_connections() == 1).await;
            // The next is taken by the call that is under way; the one behind it fails.
            net.gate.fail_accepts(&[ENFILE]);
            let second = net.connect().await;
            until(|| net.driver.client_connections() == 2).await;
            let third = net.connect().await;
            net.advance_until(|| net.driver.client_connections() == 3)
                .await;
            first.send(&request("a", "proof")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            assert!(first.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
            drop((second, third));
        });
    }

    /// More clients connect than there may be, and their requests are already sent. Closing their connections would
    /// lose the requests: they wait until a connection ends, and are served.
    #[test]
    fn that_finds_no_place_waits_for_one_and_is_not_dropped_with_its_request() {
        let limits = Limits {
            max_client_connections: 1,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let (mut first, mut decode) = net.decoding("a", "proof").await;
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
                let mut prefill = attempt_of(&net, "r1", id).await;
                prefill.send(PREFILL_ANSWER).await;
                let mut decode = attempt_of(&net, "w1", id).await;
                decode
                    .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                    .await;
                assert!(
                    client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK),
                    "{id}"
                );
                assert!(
                    net.driver.client_connections() <= 1,
                    "no more places than there are"
                );
            }
        });
    }
}
