//! Events of streams are passed on as they come: none waits for the next one, for another client, or for its own chunk's
//! neighbours. On TCP sockets; each event is asked for at the client before its engine writes anything more.

mod common;
#[path = "common/loopback.rs"]
mod loopback;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::Limits;
use loopback::*;
use tokio::io::AsyncWriteExt;

/// A stream whose head and first event have come.
async fn streaming(net: &Loopback, id: &str) -> (Conn, Conn) {
    let (mut client, mut engine) = net.decoding(id, "draft").await;
    engine.send(&format!("{STREAM_HEAD}{EVENT}")).await;
    assert!(client.read_until(EVENT).await.starts_with("HTTP/1.1 200 "));
    (client, engine)
}

/// Events that wait for the next one would delay every token. Each is read at the client before the engine writes
/// another.
#[test]
fn each_event_is_passed_on_before_the_next_is_written() {
    run(|net| async move {
        let (mut client, mut engine) = streaming(&net, "a").await;
        for _ in 0..100 {
            engine.send(EVENT).await;
            assert_eq!(client.read_until(EVENT).await, EVENT);
        }
        engine.send(LAST_CHUNK).await;
        assert_eq!(client.read_until(LAST_CHUNK).await, LAST_CHUNK);
    });
}

/// An event comes byte by byte, and half of the next one right behind it. The first is complete and must not wait for
/// the rest of the second.
#[test]
fn an_event_that_came_in_pieces_does_not_wait_for_the_one_behind_it() {
    run(|net| async move {
        let (mut client, mut engine) = streaming(&net, "a").await;
        // Byte by byte, and the beginning of the next chunk right behind the last byte.
        for byte in EVENT.bytes() {
            engine.io.write_all(&[byte]).await.expect("written");
            tokio::task::yield_now().await;
        }
        engine.send("9\r\ndata").await;
        assert_eq!(client.read_until(EVENT).await, EVENT);
        engine.send(": a\n\n\r\n").await;
        assert_eq!(client.read_until(EVENT).await, EVENT);
        engine.send(LAST_CHUNK).await;
        assert_eq!(client.read_until(LAST_CHUNK).await, LAST_CHUNK);
    });
}

/// A large event fills the buffers, and behind it come a small one, the end and the engine's close at the same moment.
/// All of it reaches the client, in order.
#[test]
fn nothing_that_came_behind_a_large_event_waits_or_is_lost() {
    run(|net| async move {
        let (mut client, mut engine) = streaming(&net, "a").await;
        let event = format!("data: {}\n\n", "x".repeat(60_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        engine.send(&format!("{chunk}{EVENT}")).await;
        assert_eq!(
            client.read_until(EVENT).await.len(),
            chunk.len() + EVENT.len()
        );
        engine.send(&format!("{chunk}{EVENT}{LAST_CHUNK}")).await;
        drop(engine);
        assert!(client
            .read_until(LAST_CHUNK)
            .await
            .ends_with(&format!("{EVENT}{LAST_CHUNK}")));
        net.no_request_is_open().await;
    });
}

/// A client reads nothing until all buffers on its path are full. Its engine is held back, and the streams of other
/// clients go on.
#[test]
fn a_client_that_takes_nothing_holds_back_nobody_else() {
    run(|net| async move {
        let mut slow = net.connect_with_small_buffer().await;
        slow.send(&request("slow", "draft")).await;
        net.serve_prefill().await;
        let (mut slow_engine, _) = net.engine("w1").accept_request().await;
        slow_engine.send(STREAM_HEAD).await;
        // Until neither the client's socket, nor the dispatcher, nor the engine's socket takes any more.
        let event = format!("data: {}\n\n", "x".repeat(8_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len()).repeat(500);
        let filled = tokio::task::spawn_local(async move {
            slow_engine.send(&chunk).await;
            slow_engine
        });
        let (mut fast, mut engine) = streaming(&net, "fast").await;
        for _ in 0..100 {
            engine.send(EVENT).await;
            assert_eq!(fast.read_until(EVENT).await, EVENT);
        }
        engine.send(LAST_CHUNK).await;
        assert_eq!(fast.read_until(LAST_CHUNK).await, LAST_CHUNK);
        assert!(
            !filled.is_finished(),
            "the slow one held its engine back all the while"
        );
        drop(slow);
        net.no_request_is_open().await;
    });
}

/// All streams share one thread. With hundreds of them none may starve: each gets its event in each round.
#[test]
fn hundreds_of_streams_on_one_thread_each_get_their_events() {
    const STREAMS: usize = 200;
    let http1 = limits().http1.map(|http1| Http1Limits {
        max_engine_connections: 2 * STREAMS,
        ..http1
    });
    let limits = Limits {
        http1,
        connections_per_engine: STREAMS,
        max_client_connections: 2 * STREAMS,
        max_open_requests: STREAMS,
        ..limits()
    };
    // As many decode engines as a dispatcher that has just begun dares to fill.
    let names = ["r1", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    run_with(limits, &names, |net| async move {
        let mut streams = Vec::new();
        for at in 0..STREAMS {
            let mut client = net.send_request(&format!("n{at}"), "draft").await;
            net.serve_prefill().await;
            let (mut engine, _) = net.accept_request_at(&names[1..]).await;
            engine.send(&format!("{STREAM_HEAD}{EVENT}")).await;
            assert!(client.read_until(EVENT).await.starts_with("HTTP/1.1 200 "));
            streams.push((client, engine));
        }
        for _ in 0..5 {
            for (_, engine) in &mut streams {
                engine.send(EVENT).await;
            }
            for (client, _) in &mut streams {
                assert_eq!(client.read_until(EVENT).await, EVENT);
            }
        }
        for (client, engine) in &mut streams {
            engine.send(LAST_CHUNK).await;
            assert_eq!(client.read_until(LAST_CHUNK).await, LAST_CHUNK);
        }
        net.no_request_is_open().await;
    });
}
