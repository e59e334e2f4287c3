//! Stream events on TCP sockets are forwarded as they arrive: no event waits for the next event, for another client, or
//! for other events of its chunk. Each test reads an event at the client before the engine writes more.

mod common;
#[path = "common/loopback.rs"]
mod loopback;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::Limits;
use loopback::*;
use tokio::io::AsyncWriteExt;

/// Opens a stream and forwards its head and first event. Returns the connections of the client and of the decode
/// engine.
async fn start_stream(net: &Loopback, id: &str) -> (Conn, Conn) {
    let (mut client, mut engine) = net.start_decode(id, "draft").await;
    engine.send(&format!("{STREAM_HEAD}{EVENT}")).await;
    assert!(client.read_until(EVENT).await.starts_with("HTTP/1.1 200 "));
    (client, engine)
}

/// If each event waited for the next event, every token would be late. Each event is read at the client before the
/// engine writes another.
#[test]
fn each_event_is_forwarded_before_the_next_is_written() {
    run(|net| async move {
        let (mut client, mut engine) = start_stream(&net, "a").await;
        for _ in 0..100 {
            engine.send(EVENT).await;
            assert_eq!(client.read_until(EVENT).await, EVENT);
        }
        engine.send(LAST_CHUNK).await;
        assert_eq!(client.read_until(LAST_CHUNK).await, LAST_CHUNK);
    });
}

/// An event arrives byte by byte, and half of the next one right after it. The first is complete and must not wait
/// for the rest of the second.
#[test]
fn an_event_that_arrived_in_pieces_does_not_wait_for_the_next_one() {
    run(|net| async move {
        let (mut client, mut engine) = start_stream(&net, "a").await;
        // Sends the event byte by byte, and the start of the next chunk right after it.
        for byte in EVENT.bytes() {
            engine
                .io
                .write_all(&[byte])
                .await
                .expect("bytes are written");
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

/// A large event fills the buffers. After it come a small event, the end of the stream and the engine's close, all
/// at the same moment. All data reaches the client, in order.
#[test]
fn data_after_a_large_event_is_neither_delayed_nor_lost() {
    run(|net| async move {
        let (mut client, mut engine) = start_stream(&net, "a").await;
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
        net.wait_until_no_request_open().await;
    });
}

/// A client reads nothing until all buffers on its path are full. Its engine is blocked, and the streams of other
/// clients continue.
#[test]
fn a_client_that_reads_nothing_does_not_block_other_streams() {
    run(|net| async move {
        let mut slow = net.connect_with_small_buffer().await;
        slow.send(&request_text("slow", "draft")).await;
        net.serve_prefill().await;
        let (mut slow_engine, _) = net.engine("w1").accept_request().await;
        slow_engine.send(STREAM_HEAD).await;
        // Sends until the buffers of the client's socket, the dispatcher and the engine's socket are full.
        let event = format!("data: {}\n\n", "x".repeat(8_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len()).repeat(500);
        let blocked_engine = tokio::task::spawn_local(async move {
            slow_engine.send(&chunk).await;
            slow_engine
        });
        let (mut fast, mut engine) = start_stream(&net, "fast").await;
        for _ in 0..100 {
            engine.send(EVENT).await;
            assert_eq!(fast.read_until(EVENT).await, EVENT);
        }
        engine.send(LAST_CHUNK).await;
        assert_eq!(fast.read_until(LAST_CHUNK).await, LAST_CHUNK);
        assert!(
            !blocked_engine.is_finished(),
            "the slow client's engine is still blocked"
        );
        drop(slow);
        net.wait_until_no_request_open().await;
    });
}

/// All streams share one thread. With hundreds of streams none may starve: each gets its event in each round.
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
    // Enough decode engines for all streams: a dispatcher that has just started limits the load that it puts on one
    // engine.
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
        net.wait_until_no_request_open().await;
    });
}
