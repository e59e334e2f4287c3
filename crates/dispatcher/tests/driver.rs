//! The dispatcher's driver on in-memory connections and a paused clock, with peers that send invalid bytes, send
//! nothing, or have another engine's name. The driver uses the same code for TCP.

mod common;
#[path = "common/net.rs"]
mod net;

use cindercleat_net::{Clock, Listener, Transport};
use cindercleat_protocol::v1;
use cindercleat_standin::client::{End, Port};
use cindercleat_standin::engine::{Does, Engine};
use net::{run, spec, RequestResult};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

#[test]
fn a_request_is_served_from_end_to_end() {
    run(|net| async move {
        let result = net.run_request("c").await;
        assert_eq!((result.end, result.tokens), (End::Succeeded, 50));
        assert_eq!(net.driver.usage().requests, 0);
    });
}

/// A peer sends bytes that are not HTTP/2. Its connection is closed, and other clients are served.
#[test]
fn bytes_that_are_not_http_2_close_only_their_own_connection() {
    run(|net| async move {
        let http = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        let garbage = [&preface[..], &[0xff; 64]].concat();
        for bytes in [&http[..], &[0xff; 100], &garbage, preface] {
            assert!(net.send_raw(bytes).await, "{bytes:?}");
        }
        assert_eq!(net.driver.client_connections(), 0);
        assert_eq!(
            net.run_request("c").await.end,
            End::Succeeded,
            "other clients are served"
        );
    });
}

/// A client sends a message that is larger than the limit. Reading it would use memory without bound: the request is
/// refused, and the connection serves the next one.
#[test]
fn a_message_over_the_size_limit_is_refused_and_its_connection_stays_usable() {
    run(|net| async move {
        let port = Port::new(
            "c",
            "d",
            net.memory.clone(),
            net.clock,
            net.transcript.clone(),
        );
        let oversized = v1::Submit {
            prompt: vec![0; 1 << 17].into(),
            ..common::submit("draft")
        };
        let end = port.run(oversized, None, |_| {}).await;
        assert!(matches!(end, End::InvalidRequest(_)), "{end:?}");
        assert_eq!(
            port.run(common::submit("draft"), None, |_| {}).await,
            End::Succeeded
        );
        assert_eq!(net.driver.usage().requests, 0);
    });
}

/// A client sends its greeting byte by byte and never completes it. Without a limit it would occupy a connection
/// forever. It is closed after the greeting timeout.
#[test]
fn a_connection_that_never_completes_its_greeting_is_closed() {
    run(|net| async move {
        let mut stream = net
            .memory
            .connect("d")
            .await
            .expect("dispatcher accepts connections");
        for byte in b"PRI * HTTP/2.0\r\n" {
            let _ = stream.write_all(&[*byte]).await;
            net.clock.sleep_until(net.clock.now() + 100.0).await;
        }
        assert!(
            stream.write_all(b"x").await.is_err(),
            "the connection is closed after the greeting timeout"
        );
        assert_eq!(net.driver.client_connections(), 0);
        assert_eq!(net.run_request("c").await.end, End::Succeeded);
    });
}

/// A client opens ten thousand connections and sends nothing. Connections beyond the limit are closed. The others are
/// closed after the greeting timeout, and then requests are served again.
#[test]
fn ten_thousand_idle_connections_do_not_keep_other_clients_out_for_long() {
    run(|net| async move {
        let mut silent = Vec::new();
        for _ in 0..10_000 {
            silent.push(
                net.memory
                    .connect("d")
                    .await
                    .expect("dispatcher accepts connections"),
            );
        }
        net.clock.sleep_until(net.clock.now() + 10.0).await;
        assert_eq!(
            net.run_request("c").await.end,
            End::Unsent,
            "the limit of client connections is reached"
        );
        // The greeting timeout expires.
        net.clock.sleep_until(net.clock.now() + 1100.0).await;
        assert_eq!(net.run_request("c").await.end, End::Succeeded);
        for mut stream in silent {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
        assert!(net.driver.client_connections() <= 1);
    });
}

/// Another engine was given the address of one that is gone. It must not get requests that are meant for the old
/// engine.
#[test]
fn an_engine_with_another_name_than_expected_gets_no_request() {
    run(|net| async move {
        net.engines[1].die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut other = spec("w2", "writer", Does::Writes);
        other.token_ms = 1.0;
        let other = Engine::new(
            other,
            net.memory.clone(),
            net.clock,
            net.transcript.clone(),
            1,
        );
        other
            .start("at-w1", true)
            .await
            .expect("the address is free");
        let RequestResult { end, tokens } = net.run_request("c").await;
        assert!(matches!(end, End::Rejected { .. }), "{end:?}");
        assert_eq!(tokens, 0);
        let sent = net
            .transcript
            .records()
            .iter()
            .filter(|r| &*r.seer == "w2")
            .count();
        assert_eq!(sent, 0, "no message is exchanged with the other engine");
    });
}

/// A process that does not speak the protocol answers at an engine's address. The connection is closed, the request
/// gets an answer, and requests are served once the engine is back.
#[test]
fn garbage_from_an_engine_closes_its_connection_and_later_requests_are_served() {
    run(|net| async move {
        net.engines[1].die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut listener = net
            .memory
            .listen("at-w1")
            .await
            .expect("the address is free");
        let garbage_server = spawn_local(async move {
            while let Ok(mut stream) = listener.accept().await {
                let _ = stream.write_all(&[0xff; 100]).await;
            }
        });
        let RequestResult { end, tokens } = net.run_request("c").await;
        assert!(matches!(end, End::Rejected { .. } | End::Failed), "{end:?}");
        assert_eq!(tokens, 0);
        garbage_server.abort();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        net.engines[1]
            .start("at-w1", true)
            .await
            .expect("the address is free");
        net.clock.sleep_until(net.clock.now() + 3000.0).await;
        assert_eq!(net.run_request("c").await.end, End::Succeeded);
    });
}

/// A test with a seed is repeatable only if the dispatcher is deterministic: two equal runs produce the same messages
/// at the same times.
#[test]
fn the_same_run_twice_gives_the_same_transcript() {
    let run_once = || {
        let records = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
        let out = records.clone();
        run(|net| async move {
            for _ in 0..5 {
                net.run_request("c").await;
            }
            *out.borrow_mut() = net.transcript.records();
        });
        records.take()
    };
    assert_eq!(run_once(), run_once());
}
