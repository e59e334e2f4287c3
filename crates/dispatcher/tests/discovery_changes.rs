//! Discovery that is lost, overloaded, silent, outdated or moved: its list is kept, and it is called again in time.
//!
//! Each test makes the order of events happen that would lose what is still owed: on TCP sockets, with clients, engines and
//! discovery that go on when the test says so. docs/acceptance.md lists what each path may owe and names its tests.

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

    /// Discovery asked for anew: the next connection's first request is for the whole list.
    async fn asked_anew(net: &Loopback) -> Conn {
        let call = async {
            let mut call = net.discovery_call().await;
            let request = call.read_request().await;
            assert!(!request.head.contains("after="), "{request:?}");
            call
        };
        tokio::select! { biased;
            call = call => call,
            () = net.advance_until(|| false) => unreachable!("it goes on"),
        }
    }

    /// A request is served, by the list that is known.
    async fn serves(net: &Loopback, id: &str) {
        let mut client = net.send_request(id, "proof").await;
        let mut prefill = attempt_of(net, "r1", id).await;
        prefill.send(PREFILL_ANSWER).await;
        let mut decode = attempt_of(net, "w1", id).await;
        decode
            .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
            .await;
        assert!(client.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
        net.no_request_is_open().await;
    }

    #[derive(Clone, Copy)]
    enum Watch {
        Dies,
        DiesWithinItsAnswer,
        IsRefused,
        CannotBeRead,
    }

    /// The watch on discovery's list ends, is refused or returns something that cannot be read. Requests are served
    /// with the list that is known, and discovery is called again for the whole list.
    #[test_case(Watch::Dies; "dies")]
    #[test_case(Watch::DiesWithinItsAnswer; "dies within its answer")]
    #[test_case(Watch::IsRefused; "is refused")]
    #[test_case(Watch::CannotBeRead; "cannot be read")]
    fn whose_watch_is_lost_is_asked_anew_and_its_list_kept(watch: Watch) {
        run(|net| async move {
            let mut call = net.take_watch();
            match watch {
                Watch::Dies => {}
                Watch::DiesWithinItsAnswer => {
                    let answer = net.list(2, true, &[]);
                    call.send(&answer[..answer.len() - 3]).await;
                }
                Watch::IsRefused => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        .await;
                }
                Watch::CannotBeRead => {
                    call.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"revi")
                        .await;
                }
            }
            drop(call);
            let mut call = asked_anew(&net).await;
            serves(&net, "a").await;
            call.send(&net.list(1, true, &net.all("up"))).await;
            net.keep_watch(call).await;
            serves(&net, "b").await;
        });
    }

    /// The settings of calls where lists are asked for, from a service that all dispatchers share.
    fn asked() -> Limits {
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
                .expect("room for work")
                .discovery,
            ..limits()
        }
    }

    const CROWDED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /// A discovery service under load refuses the watch right behind its list, and further calls. The next call asks
    /// for what has changed since, as part of the watch: a whole list and then a watch would be two calls that both
    /// have to find a place in its queue, one right after the other.
    #[test]
    fn that_is_crowded_is_asked_for_changes_by_the_call_that_opens_the_watch() {
        run_with(asked(), &["r1", "w1"], |net| async move {
            let mut call = net.take_watch();
            for _ in 0..3 {
                call.send(CROWDED).await;
                call = call_within(&net, 3_000.0).await;
                let request = call.read_request().await;
                assert!(
                    request.head.contains("?after=1&"),
                    "what is known is not asked for again: {request:?}"
                );
            }
            call.send(&net.list(2, false, &[net.line("w1", "draining")]))
                .await;
            let watch = call.read_request().await;
            assert!(watch.head.contains("?after=2&"), "{watch:?}");
            is_refused(&net, "a").await;
        });
    }

    /// The next connection to discovery, with time passing until it comes.
    async fn call_within(net: &Loopback, most: f64) -> Conn {
        let before = net.now();
        let call = tokio::select! { biased;
            call = net.discovery_call() => call,
            () = net.advance_until(|| false) => unreachable!("it goes on"),
        };
        assert!(
            net.now() - before <= most,
            "{} after the call before",
            net.now() - before
        );
        call
    }

    /// Discovery stops answering without closing the connection. The dispatcher would keep an old list for ever: after
    /// the silence timeout it connects anew.
    #[test]
    fn that_falls_silent_is_asked_anew() {
        let discovery = cindercleat::discovery_client::DiscoverySettings {
            silence_timeout: 700.0,
            ..limits().discovery
        };
        let limits = Limits {
            discovery,
            ..limits()
        };
        run_with(limits, &["r1", "w1"], |net| async move {
            let silent = net.take_watch();
            let before = net.now();
            let mut call = asked_anew(&net).await;
            assert!(net.now() - before < 1_000.0, "{}", net.now() - before);
            drop(silent);
            call.send(&net.list(1, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                .await;
            net.keep_watch(call).await;
            is_refused(&net, "a").await;
        });
    }

    /// A replica of discovery lags behind. Its list, whole or of changes, would bring back an engine that drains: the
    /// newer list is kept, and discovery is called again.
    #[test_case(true; "whole")]
    #[test_case(false; "changes")]
    fn that_gives_an_older_list_is_asked_anew_and_the_newer_one_kept(whole: bool) {
        run(|net| async move {
            net.announce(&[net.line("w1", "draining")]).await;
            let mut call = net.take_watch();
            call.send(&net.list(1, whole, &net.all("up"))).await;
            let mut call = asked_anew(&net).await;
            is_refused(&net, "a").await;
            net.advance(100.0);
            call.send(&net.list(3, true, &net.all("up"))).await;
            until(|| net.driver.list_version() == 3).await;
            serves(&net, "b").await;
        });
    }

    /// Discovery was installed anew, and its versions start from the beginning. Each list is older than the known one;
    /// if they were refused for ever, no change would arrive again. After a while such a list is used.
    #[test]
    fn that_counts_anew_is_heeded_within_the_time_after_which_its_list_counts_as_told() {
        run(|net| async move {
            net.announce(&[net.line("w1", "draining")]).await;
            let mut call = net.take_watch();
            let since = net.now();
            call.send(&net.list(1, true, &net.all("up"))).await;
            drop(call);
            while net.driver.list_version() != 1 {
                let mut call = asked_anew(&net).await;
                call.send(&net.list(1, true, &net.all("up"))).await;
                // Either it is taken, and the watch follows, or the call is closed.
                let _ = call.next_request().await;
            }
            assert!(net.now() - since < 6_000.0, "{}", net.now() - since);
            assert!(net.now() - since >= 3_000.0, "{}", net.now() - since);
        });
    }

    /// Discovery gets another address while the dispatcher serves. The old watch is closed, requests are served with
    /// the known list meanwhile, and the whole list is asked for at the new address.
    #[test]
    fn that_moves_is_followed_and_the_list_kept_meanwhile() {
        run(|net| async move {
            let mut old = net.take_watch();
            let moved = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            net.driver
                .set_discovery_addresses(vec![moved.local_addr().expect("an address").to_string()]);
            let mut call = Conn::new(
                moved
                    .accept()
                    .await
                    .expect("it is asked at the new address")
                    .0,
            );
            serves(&net, "a").await;
            assert_eq!(old.read_to_end().await, "", "the old watch is closed");
            assert!(!call.read_request().await.head.contains("after="));
            call.send(&net.list(2, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                .await;
            until(|| net.driver.list_version() == 2).await;
            is_refused(&net, "b").await;
        });
    }
}
