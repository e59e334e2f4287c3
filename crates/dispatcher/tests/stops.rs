//! A dispatcher that is told to stop while requests are open or still arrive.
//!
//! Each test runs a dispatcher on TCP sockets and acts as its clients, its engines and its discovery service. The test
//! forces an order of events that could lose an answer or a release. docs/acceptance.md lists the guarantees of each
//! path and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;

use loopback::*;

mod a_stop {
    use super::*;

    /// Milliseconds for which a stopping dispatcher still accepts requests.
    const ACCEPT_PERIOD_MS: f64 = 600.0;

    /// An engine has sent its complete answer, the client still reads it, and the dispatcher is told to stop. Ending
    /// the process immediately would truncate the answer.
    #[test]
    fn waits_for_a_slow_client_whose_engine_has_finished() {
        run(|net| async move {
            let mut client = net.connect_with_small_buffer().await;
            client.send(&request_text("a", "draft")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            // More data than the socket buffers hold, in two chunks. The dispatcher reads that many chunks ahead of its
            // client.
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let text = format!("{STREAM_HEAD}{chunk}{chunk}{LAST_CHUNK}");
            let mut engine = tokio::task::spawn_local(async move { decode.send(&text).await });
            net.wait_until_no_request_open().await;
            (&mut engine).await.expect("the engine has sent its answer");
            net.stop.notify_one();
            wait_until(|| !net.driver.readiness().is_ready).await;
            net.advance(ACCEPT_PERIOD_MS);
            for _ in 0..1_000 {
                tokio::task::yield_now().await;
            }
            assert!(
                !net.has_ended(),
                "the dispatcher waits for the client that reads its answer"
            );
            let answer = client.read_until(LAST_CHUNK).await;
            assert!(answer.ends_with(LAST_CHUNK), "{} bytes", answer.len());
            assert!(
                answer.len() > 120_000,
                "the answer is complete: {} bytes",
                answer.len()
            );
            drop(client);
            net.wait_until_ended().await;
        });
    }

    /// A client reads nothing of its answer, and the dispatcher is told to stop. Waiting for the client without a
    /// limit would keep the process alive forever.
    #[test]
    fn ends_although_a_client_reads_nothing_of_its_answer() {
        run(|net| async move {
            let mut client = net.connect_with_small_buffer().await;
            client.send(&request_text("a", "draft")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            decode
                .send(&format!("{STREAM_HEAD}{chunk}{chunk}{LAST_CHUNK}"))
                .await;
            net.wait_until_no_request_open().await;
            net.stop.notify_one();
            net.advance_until(|| net.has_ended()).await;
            drop(client);
        });
    }

    /// The load balancer still sends requests on open connections for a moment after a stop begins. The dispatcher
    /// serves these requests, and the answers contain `Connection: close`.
    #[test]
    fn answers_requests_on_open_connections_within_the_accept_period() {
        run(|net| async move {
            let mut idle_client = net.connect().await;
            net.stop.notify_one();
            wait_until(|| !net.driver.readiness().is_ready).await;
            idle_client.send(&request_text("a", "proof")).await;
            net.serve_prefill().await;
            let (mut decode, _) = net.engine("w1").accept_request().await;
            decode
                .send(&format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"))
                .await;
            let answer = idle_client.read_to_end().await;
            assert!(
                answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(LAST_CHUNK),
                "{answer}"
            );
            assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
        });
    }

    /// The period in which a stopping dispatcher accepts requests ends at the moment a request comes. If the
    /// connection is closed without an answer, the client sends the request elsewhere, so it must not have been sent
    /// to an engine.
    #[test]
    fn never_forwards_a_request_whose_connection_it_closes_without_an_answer() {
        for request_first in [true, false] {
            run(|net| async move {
                let mut idle_client = net.connect().await;
                wait_until(|| net.driver.client_connections() == 1).await;
                net.stop.notify_one();
                wait_until(|| !net.driver.readiness().is_ready).await;
                let text = request_text("a", "proof");
                if request_first {
                    idle_client
                        .io
                        .try_write(text.as_bytes())
                        .expect("socket buffer has room");
                    net.advance(ACCEPT_PERIOD_MS);
                } else {
                    net.advance(ACCEPT_PERIOD_MS);
                    idle_client
                        .io
                        .try_write(text.as_bytes())
                        .expect("socket buffer has room");
                }
                let answer = idle_client.read_until("\n").await;
                assert!(
                    answer.is_empty() || answer.starts_with("HTTP/1.1 503 "),
                    "{answer}"
                );
                drop(idle_client);
                net.advance_until(|| net.has_ended()).await;
                assert!(
                    !net.engine("r1").has_pending_connection(),
                    "no attempt was sent"
                );
            });
        }
    }
}
