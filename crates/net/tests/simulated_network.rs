//! The simulated network: order and time of bytes, backpressure, partitions, resets and silence.

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
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        test(SimulatedNetwork::new(1)).await
    });
}

async fn pair(network: &SimulatedNetwork) -> (SimulatedStream, SimulatedStream) {
    let mut listener = network
        .host("b", "south")
        .listen("at-b")
        .await
        .expect("free");
    let near = network
        .host("a", "north")
        .connect("at-b")
        .await
        .expect("it listens");
    (near, listener.accept().await.expect("it came"))
}

#[test]
fn bytes_take_their_time_and_keep_their_order() {
    run(|network| async move {
        network.set_conditions(NetworkConditions {
            delay: 20.0,
            jitter: 50.0,
            bandwidth: 10.0,
        });
        let (mut near, mut far) = pair(&network).await;
        let begin = Instant::now();
        for n in 0..100u8 {
            near.write_all(&[n; 10]).await.expect("taken");
        }
        drop(near);
        let mut all = Vec::new();
        far.read_to_end(&mut all).await.expect("it ends in order");
        assert_eq!(all, (0..100u8).flat_map(|n| [n; 10]).collect::<Vec<u8>>());
        let took = begin.elapsed().as_secs_f64() * 1000.0;
        assert!(
            (100.0 + 20.0..100.0 + 20.0 + 100.0).contains(&took),
            "1,000 bytes at 10 a ms: {took}"
        );
    });
}

#[test]
fn a_writer_waits_for_a_slow_reader() {
    run(|network| async move {
        let (mut near, _far) = pair(&network).await;
        let written = timeout(
            Duration::from_secs(60),
            near.write_all(&vec![0; 10 * MAX_BYTES_IN_FLIGHT]),
        )
        .await;
        assert!(written.is_err(), "it waits");
        assert_eq!(network.max_bytes_in_flight(), MAX_BYTES_IN_FLIGHT);
    });
}

#[test]
fn blocked_zones_hold_bytes_back_and_connects_hang() {
    run(|network| async move {
        let (mut near, mut far) = pair(&network).await;
        network.block("north", "south", true);
        near.write_all(b"x").await.expect("taken");
        far.write_all(b"y").await.expect("taken");
        let mut byte = [0];
        near.read_exact(&mut byte)
            .await
            .expect("the other way is free");
        assert!(timeout(Duration::from_secs(9), far.read_exact(&mut byte))
            .await
            .is_err());
        let _listener = network
            .host("b", "south")
            .listen("at-b")
            .await
            .expect("free");
        let host = network.host("c", "north");
        assert!(timeout(Duration::from_secs(9), host.connect("at-b"))
            .await
            .is_err());
        let healing = network.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(100)).await;
            healing.block("north", "south", false);
        });
        far.read_exact(&mut byte)
            .await
            .expect("it comes when the way is free");
        assert_eq!(&byte, b"x");
    });
}

#[test]
fn a_cut_is_told_and_silence_is_not() {
    run(|network| async move {
        let (mut near, mut far) = pair(&network).await;
        network.silence("a", true, false);
        near.write_all(b"x").await.expect("taken");
        let mut byte = [0];
        assert!(timeout(Duration::from_secs(99), far.read_exact(&mut byte))
            .await
            .is_err());
        far.write_all(b"y").await.expect("taken");
        near.read_exact(&mut byte)
            .await
            .expect("the other direction goes on");
        drop(near);
        assert!(
            timeout(Duration::from_secs(99), far.read_exact(&mut byte))
                .await
                .is_err(),
            "no end either"
        );
        network.cut("b");
        let problem = far.read_exact(&mut byte).await.expect_err("it is told");
        assert_eq!(problem.kind(), io::ErrorKind::ConnectionReset);
    });
}

#[test]
fn nobody_listens_once_the_listener_is_gone_and_another_may() {
    run(|network| async move {
        let host = network.host("b", "south");
        let first = host.listen("at-b").await.expect("free");
        assert!(host.listen("at-b").await.is_err());
        drop(first);
        assert!(network.host("a", "north").connect("at-b").await.is_err());
        assert!(host.listen("at-b").await.is_ok());
    });
}
