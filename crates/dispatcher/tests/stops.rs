//! A dispatcher that is told to stop while requests are open or still come.
//!
//! Each test makes the order of events happen that would lose what is still owed: on TCP sockets, with clients, engines and
//! discovery that go on when the test says so. docs/acceptance.md lists what each path may owe and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;

use loopback::*;

mod a_stop {
    use super::*;

    const NOTICE: f64 = 600.0;

    /// An engine has finished an answer that its client still reads, and the dispatcher is told to stop. Ending the
    /// process at once would cut the answer off.
    #[test]
    fn waits_for_a_client_that_reads_slowly_what_its_engine_has_finished() {
        run(|net| async move {
            let mut client = net.connect_with_small_buffer().await;
            client.send(&request("a", "draft")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            // More than the sockets hold, in as many parts as the dispatcher takes ahead of its client.
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let text = format!("{STREAM_HEAD}{chunk}{chunk}{LAST_CHUNK}");
            let mut engine = tokio::task::spawn_local(async move { decode.send(&text).await });
            net.no_request_is_open().await;
            (&mut engine).await.expect("the engine has finished");
            net.stop.notify_one();
            until(|| !net.driver.readiness().is_ready).await;
            net.advance(NOTICE);
            for _ in 0..1_000 {
                tokio::task::yield_now().await;
            }
            assert!(
                !net.has_ended(),
                "it does not end over an answer that is being read"
            );
            let answer = client.read_until(LAST_CHUNK).await;
            assert!(answer.ends_with(LAST_CHUNK), "{} bytes", answer.len());
            assert!(answer.len() > 120_000, "all of it: {} bytes", answer.len());
            drop(client);
            net.wait_until_ended().await;
        });
    }

    /// A client reads nothing of its answer, and the dispatcher is told to stop. Waiting for it without a limit would
    /// keep the process for ever.
    #[test]
    fn ends_although_a_client_takes_nothing_of_its_answer() {
        run(|net| async move {
            let mut client = net.connect_with_small_buffer().await;
            client.send(&request("a", "draft")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            decode
                .send(&format!("{STREAM_HEAD}{chunk}{chunk}{LAST_CHUNK}"))
                .await;
            net.no_request_is_open().await;
            net.stop.notify_one();
            net.advance_until(|| net.has_ended()).await;
            drop(client);
        });
    }

    /// The load balancer still sends requests on open connections for a moment after a stop. They are served, and the
    /// answer says that the connection closes.
    #[test]
    fn answers_what_comes_on_an_open_connection_within_the_notice() {
        run(|net| async move {
            let mut resting = net.connect().await;
            net.stop.notify_one();
            until(|| !net.driver.readiness().is_ready).await;
            resting.send(&request("a", "proof")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            let answer = resting.read_to_end().await;
            assert!(
                answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(LAST_CHUNK),
                "{answer}"
            );
            assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
        });
    }

    /// The period in which a stopping dispatcher accepts requests ends at the moment in which one comes. If the
    /// connection is closed without an answer, the client sends the request elsewhere: it must not have gone to an
    /// engine.
    #[test]
    fn never_sends_on_what_it_closes_without_an_answer() {
        for request_first in [true, false] {
            run(|net| async move {
                let mut resting = net.connect().await;
                until(|| net.driver.client_connections() == 1).await;
                net.stop.notify_one();
                until(|| !net.driver.readiness().is_ready).await;
                let text = request("a", "proof");
                if request_first {
                    resting.io.try_write(text.as_bytes()).expect("room");
                    net.advance(NOTICE);
                } else {
                    net.advance(NOTICE);
                    resting.io.try_write(text.as_bytes()).expect("room");
                }
                let answer = resting.read_until("\n").await;
                assert!(
                    answer.is_empty() || answer.starts_with("HTTP/1.1 503 "),
                    "{answer}"
                );
                drop(resting);
                net.advance_until(|| net.has_ended()).await;
                assert!(
                    !net.engine("r1").has_pending_connection(),
                    "nothing was sent on"
                );
            });
        }
    }
}
