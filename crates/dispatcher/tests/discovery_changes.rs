//! Discovery that disconnects, is overloaded, unresponsive or outdated, or changes its address: the dispatcher keeps
//! using the last list and calls discovery again in time.
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

mod discovery {
    use super::*;
    use cindercleat::interface::Discovery;
    use cindercleat::resource_limits::{ProcessLimits, ResourceLimits};
    use test_case::test_case;

    /// Accepts the dispatcher's next call to discovery, advancing the clock until it comes. The call must request
    /// the complete list.
    async fn accept_complete_list_call(net: &Loopback) -> Conn {
        let call = async {
            let mut call = net.accept_discovery_call().await;
            let request = call.read_request().await;
            assert!(!request.head.contains("after="), "{request:?}");
            call
        };
        tokio::select! { biased;
            call = call => call,
            () = net.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
        }
    }

    /// Checks that a request is served with the known endpoints.
    async fn assert_served(net: &Loopback, id: &str) {
        let mut client = net.send_request(id, "proof").await;
        let mut prefill = accept_attempt(net, "r1", id).await;
        prefill.send(PREFILL_ANSWER).await;
        let mut decode = accept_attempt(net, "w1", id).await;
        decode
            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
            .await;
        assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        net.wait_until_no_request_open().await;
    }

    #[derive(Clone, Copy)]
    enum WatchFailure {
        ConnectionCloses,
        ConnectionClosesInAnswer,
        IsRejected,
        IsUnreadable,
    }

    /// The watch on discovery's list ends, is refused or returns an unreadable answer. Requests are served with the
    /// known list, and discovery is called again for the complete list.
    #[test_case(WatchFailure::ConnectionCloses; "connection closes")]
    #[test_case(WatchFailure::ConnectionClosesInAnswer; "connection closes in its answer")]
    #[test_case(WatchFailure::IsRejected; "is refused")]
    #[test_case(WatchFailure::IsUnreadable; "is unreadable")]
    fn with_a_lost_watch_is_called_again_and_its_list_stays_in_use(failure: WatchFailure) {
        run(|net| async move {
            let mut call = net.take_watch();
            match failure {
                WatchFailure::ConnectionCloses => {}
                WatchFailure::ConnectionClosesInAnswer => {
                    let answer = net.discovery_response(2, true, &[]);
                    call.send(&answer[..answer.len() - 3]).await;
                }
                WatchFailure::IsRejected => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        .await;
                }
                WatchFailure::IsUnreadable => {
                    call.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"revi")
                        .await;
                }
            }
            drop(call);
            let mut call = accept_complete_list_call(&net).await;
            assert_served(&net, "a").await;
            call.send(&net.discovery_response(1, true, &net.all_endpoints("up")))
                .await;
            net.accept_watch(call).await;
            assert_served(&net, "b").await;
        });
    }

    /// Limits with the timeouts of a polled discovery service that all dispatchers share.
    fn polled_discovery_limits() -> Limits {
        let process = ProcessLimits {
            memory_bytes: 64e6,
            file_descriptors: 256,
            connect_timeout: 250.0,
            discovery: Discovery::Polled {
                notified_within: 6_000.0,
            },
            drain_grace: 2_000.0,
            engine_idle_timeout: None,
            max_open_requests: None,
            longest_time_to_deadline: 4_000.0,
            clients_resume: false,
        };
        Limits {
            discovery: ResourceLimits::for_process(&process)
                .expect("limits leave room for requests")
                .discovery,
            ..limits()
        }
    }

    /// Discovery's answer while it is overloaded.
    const OVERLOADED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /// An overloaded discovery service answers the call for the list, but refuses the watch and the calls after it. Each
    /// of these calls is a watch that also requests the changes since the known list. Two separate calls, one for the
    /// complete list and one for the watch, would need two places in the service's queue, one directly after the other.
    #[test]
    fn that_is_overloaded_gets_one_call_for_changes_and_the_watch() {
        run_with(polled_discovery_limits(), &["r1", "w1"], |net| async move {
            let mut call = net.take_watch();
            for _ in 0..3 {
                call.send(OVERLOADED).await;
                call = accept_call_within(&net, 3_000.0).await;
                let request = call.read_request().await;
                assert!(
                    request.head.contains("?after=1&"),
                    "the call requests changes since the known revision: {request:?}"
                );
            }
            call.send(&net.discovery_response(2, false, &[net.endpoint_json("w1", "draining")]))
                .await;
            let watch = call.read_request().await;
            assert!(watch.head.contains("?after=2&"), "{watch:?}");
            assert_rejected(&net, "a").await;
        });
    }

    /// Accepts the dispatcher's next call to discovery, which must come within `max_delay` milliseconds.
    async fn accept_call_within(net: &Loopback, max_delay: f64) -> Conn {
        let started_at = net.now();
        let call = tokio::select! { biased;
            call = net.accept_discovery_call() => call,
            () = net.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
        };
        assert!(
            net.now() - started_at <= max_delay,
            "the call comes {} ms after the previous one",
            net.now() - started_at
        );
        call
    }

    /// Discovery stops answering without closing the connection. Without a timeout the dispatcher would keep an old
    /// list forever. After the silence timeout it connects again.
    #[test]
    fn that_becomes_unresponsive_is_called_again() {
        let discovery = cindercleat::discovery_client::DiscoverySettings {
            silence_timeout: 700.0,
            ..limits().discovery
        };
        let limits = Limits {
            discovery,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let silent_connection = net.take_watch();
            let started_at = net.now();
            let mut call = accept_complete_list_call(&net).await;
            assert!(
                net.now() - started_at < 1_000.0,
                "{}",
                net.now() - started_at
            );
            drop(silent_connection);
            call.send(&net.discovery_response(
                1,
                true,
                &[
                    net.endpoint_json("r1", "up"),
                    net.endpoint_json("w1", "draining"),
                ],
            ))
            .await;
            net.accept_watch(call).await;
            assert_rejected(&net, "a").await;
        });
    }

    /// A replica of discovery lags behind. Its list, whether complete or only changes, would return a draining
    /// engine to service. The dispatcher keeps the newer list and calls discovery again.
    #[test_case(true; "complete list")]
    #[test_case(false; "changes")]
    fn that_sends_an_older_list_is_called_again_and_the_newer_list_is_kept(complete: bool) {
        run(|net| async move {
            net.announce_endpoints(&[net.endpoint_json("w1", "draining")])
                .await;
            let mut call = net.take_watch();
            call.send(&net.discovery_response(1, complete, &net.all_endpoints("up")))
                .await;
            let mut call = accept_complete_list_call(&net).await;
            assert_rejected(&net, "a").await;
            net.advance(100.0);
            call.send(&net.discovery_response(3, true, &net.all_endpoints("up")))
                .await;
            wait_until(|| net.driver.list_version() == 3).await;
            assert_served(&net, "b").await;
        });
    }

    /// Discovery was reinstalled, and its revisions start again at 1. Each of its lists then has a lower revision than
    /// the known list. If the dispatcher refused all of them, no further change would ever be applied. Such a list is
    /// accepted after 3 s at the earliest and within 6 s.
    #[test]
    fn that_restarts_its_revisions_is_accepted_after_3_to_6_s() {
        run(|net| async move {
            net.announce_endpoints(&[net.endpoint_json("w1", "draining")])
                .await;
            let mut call = net.take_watch();
            let older_list_at = net.now();
            call.send(&net.discovery_response(1, true, &net.all_endpoints("up")))
                .await;
            drop(call);
            while net.driver.list_version() != 1 {
                let mut call = accept_complete_list_call(&net).await;
                call.send(&net.discovery_response(1, true, &net.all_endpoints("up")))
                    .await;
                // The dispatcher accepts the list and sends the watch request, or it closes the connection.
                let _ = call.next_request().await;
            }
            assert!(
                net.now() - older_list_at < 6_000.0,
                "{}",
                net.now() - older_list_at
            );
            assert!(
                net.now() - older_list_at >= 3_000.0,
                "{}",
                net.now() - older_list_at
            );
        });
    }

    /// Discovery's address changes while the dispatcher serves. The old watch is closed, requests are served with
    /// the known list meanwhile, and the complete list is requested at the new address.
    #[test]
    fn with_a_new_address_is_called_there_and_the_known_list_stays_in_use() {
        run(|net| async move {
            let mut old = net.take_watch();
            let new_listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("port is bound");
            net.driver.set_discovery_addresses(vec![new_listener
                .local_addr()
                .expect("socket has an address")
                .to_string()]);
            let mut call = Conn::new(
                new_listener
                    .accept()
                    .await
                    .expect("discovery is called at its new address")
                    .0,
            );
            assert_served(&net, "a").await;
            assert_eq!(old.read_to_end().await, "", "the old watch is closed");
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
            assert_rejected(&net, "b").await;
        });
    }
}
