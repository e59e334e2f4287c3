//! The simulated network: order and arrival times of bytes, backpressure, partitions, resets and lost bytes.

use cindercleat_net::simulated_network::*;
use cindercleat_net::{Listener, Transport};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Runs a test on a paused runtime with a network of seed 1.
fn run<F: Future<Output = ()>>(test: impl FnOnce(SimulatedNetwork) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime built"), async {
        test(SimulatedNetwork::new(1)).await
    });
}

/// A connection from host `a` in zone `north` to host `b` in zone `south`, as client and server side.
async fn connected_pair(network: &SimulatedNetwork) -> (SimulatedStream, SimulatedStream) {
    let mut listener = network
        .host("b", "south")
        .listen("at-b")
        .await
        .expect("address is free");
    let client = network
        .host("a", "north")
        .connect("at-b")
        .await
        .expect("connection established");
    (
        client,
        listener.accept().await.expect("connection accepted"),
    )
}

#[test]
fn bytes_arrive_in_order_and_at_the_configured_bandwidth() {
    run(|network| async move {
        network.set_conditions(NetworkConditions {
            delay: 20.0,
            jitter: 50.0,
            bandwidth: 10.0,
        });
        let (mut client, mut server) = connected_pair(&network).await;
        let begin = Instant::now();
        for n in 0..100u8 {
            client.write_all(&[n; 10]).await.expect("bytes written");
        }
        drop(client);
        let mut received = Vec::new();
        server
            .read_to_end(&mut received)
            .await
            .expect("stream ends without an error");
        assert_eq!(
            received,
            (0..100u8).flat_map(|n| [n; 10]).collect::<Vec<u8>>()
        );
        let elapsed_ms = begin.elapsed().as_secs_f64() * 1000.0;
        assert!(
            (100.0 + 20.0..100.0 + 20.0 + 100.0).contains(&elapsed_ms),
            "1,000 bytes at 10 bytes per ms took {elapsed_ms} ms"
        );
    });
}

#[test]
fn a_writer_waits_while_the_reader_reads_nothing() {
    run(|network| async move {
        let (mut client, _server) = connected_pair(&network).await;
        let written = timeout(
            Duration::from_secs(60),
            client.write_all(&vec![0; 10 * MAX_BYTES_IN_FLIGHT]),
        )
        .await;
        assert!(
            written.is_err(),
            "the write must not complete before the reader reads"
        );
        assert_eq!(network.max_bytes_in_flight(), MAX_BYTES_IN_FLIGHT);
    });
}

#[test]
fn a_partition_holds_bytes_back_in_one_direction_and_connects_hang() {
    run(|network| async move {
        let (mut client, mut server) = connected_pair(&network).await;
        network.set_blocked("north", "south", true);
        client.write_all(b"x").await.expect("byte written");
        server.write_all(b"y").await.expect("byte written");
        let mut byte = [0];
        client
            .read_exact(&mut byte)
            .await
            .expect("the other direction is not blocked");
        assert!(
            timeout(Duration::from_secs(9), server.read_exact(&mut byte))
                .await
                .is_err()
        );
        let _listener = network
            .host("b", "south")
            .listen("at-b")
            .await
            .expect("address is free");
        let host = network.host("c", "north");
        assert!(timeout(Duration::from_secs(9), host.connect("at-b"))
            .await
            .is_err());
        let partitioned_network = network.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(100)).await;
            partitioned_network.set_blocked("north", "south", false);
        });
        server
            .read_exact(&mut byte)
            .await
            .expect("the byte arrives once the partition ends");
        assert_eq!(&byte, b"x");
    });
}

#[test]
fn a_reset_is_an_error_and_lost_bytes_are_not() {
    run(|network| async move {
        let (mut client, mut server) = connected_pair(&network).await;
        network.drop_bytes("a", true, false);
        client.write_all(b"x").await.expect("byte written");
        let mut byte = [0];
        assert!(
            timeout(Duration::from_secs(99), server.read_exact(&mut byte))
                .await
                .is_err()
        );
        server.write_all(b"y").await.expect("byte written");
        client
            .read_exact(&mut byte)
            .await
            .expect("the other direction still delivers");
        drop(client);
        assert!(
            timeout(Duration::from_secs(99), server.read_exact(&mut byte))
                .await
                .is_err(),
            "the end of the stream must be lost too"
        );
        network.reset_connections("b");
        let error = server
            .read_exact(&mut byte)
            .await
            .expect_err("the connection was reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    });
}

#[test]
fn dropping_a_listener_frees_its_address() {
    run(|network| async move {
        let host = network.host("b", "south");
        let first = host.listen("at-b").await.expect("address is free");
        assert!(host.listen("at-b").await.is_err());
        drop(first);
        assert!(network.host("a", "north").connect("at-b").await.is_err());
        assert!(host.listen("at-b").await.is_ok());
    });
}
