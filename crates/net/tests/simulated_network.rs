//! The simulated network: order and arrival times of bytes, backpressure, partitions, resets and lost bytes.

use cindercleat_net::simulated_network::*;
use cindercleat_net::{Listener, Transport};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

fn run<F: Future<Output = ()>>(test: impl FnOnce(SimulatedNetwork) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime built"), async {
        test(SimulatedNetwork::new(1)).await
    });
}

async fn pair(network: &SimulatedNetwork) -> (SimulatedStream, SimulatedStream) {
    let mut listener = network
        .host("b", "south")
        .listen("at-b")
        .await
        .expect("address is free");
    let near = network
        .host("a", "north")
        .connect("at-b")
        .await
        .expect("connection established");
    (near, listener.accept().await.expect("connection accepted"))
}

#[test]
fn bytes_arrive_in_order_and_at_the_configured_bandwidth() {
    run(|network| async move {
        network.set_conditions(NetworkConditions {
            delay: 20.0,
            jitter: 50.0,
            bandwidth: 10.0,
        });
        let (mut near, mut far) = pair(&network).await;
        let begin = Instant::now();
        for n in 0..100u8 {
            near.write_all(&[n; 10]).await.expect("bytes written");
        }
        drop(near);
        let mut all = Vec::new();
        far.read_to_end(&mut all).await.expect("end of stream");
        assert_eq!(all, (0..100u8).flat_map(|n| [n; 10]).collect::<Vec<u8>>());
        let took = begin.elapsed().as_secs_f64() * 1000.0;
        assert!(
            (100.0 + 20.0..100.0 + 20.0 + 100.0).contains(&took),
            "1,000 bytes at 10 bytes per ms took {took} ms"
        );
    });
}

#[test]
fn a_writer_waits_while_the_reader_reads_nothing() {
    run(|network| async move {
        let (mut near, _far) = pair(&network).await;
        let written = timeout(
            Duration::from_secs(60),
            near.write_all(&vec![0; 10 * MAX_BYTES_IN_FLIGHT]),
        )
        .await;
        assert!(written.is_err(), "the write waits for the reader");
        assert_eq!(network.max_bytes_in_flight(), MAX_BYTES_IN_FLIGHT);
    });
}

#[test]
fn a_partition_holds_bytes_back_in_one_direction_and_connects_hang() {
    run(|network| async move {
        let (mut near, mut far) = pair(&network).await;
        network.block("north", "south", true);
        near.write_all(b"x").await.expect("byte written");
        far.write_all(b"y").await.expect("byte written");
        let mut byte = [0];
        near.read_exact(&mut byte)
            .await
            .expect("the other direction is not blocked");
        assert!(timeout(Duration::from_secs(9), far.read_exact(&mut byte))
            .await
            .is_err());
        let _listener = network
            .host("b", "south")
            .listen("at-b")
            .await
            .expect("address is free");
        let host = network.host("c", "north");
        assert!(timeout(Duration::from_secs(9), host.connect("at-b"))
            .await
            .is_err());
        let partitioned = network.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(100)).await;
            partitioned.block("north", "south", false);
        });
        far.read_exact(&mut byte)
            .await
            .expect("the byte arrives once the partition ends");
        assert_eq!(&byte, b"x");
    });
}

#[test]
fn a_reset_is_an_error_and_lost_bytes_are_not() {
    run(|network| async move {
        let (mut near, mut far) = pair(&network).await;
        network.silence("a", true, false);
        near.write_all(b"x").await.expect("byte written");
        let mut byte = [0];
        assert!(timeout(Duration::from_secs(99), far.read_exact(&mut byte))
            .await
            .is_err());
        far.write_all(b"y").await.expect("byte written");
        near.read_exact(&mut byte)
            .await
            .expect("the other direction still delivers");
        drop(near);
        assert!(
            timeout(Duration::from_secs(99), far.read_exact(&mut byte))
                .await
                .is_err(),
            "the end of the stream is lost too"
        );
        network.cut("b");
        let error = far.read_exact(&mut byte).await.expect_err("a reset");
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
