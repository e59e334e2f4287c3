//! Brings a request to a stage of its processing, and checks that nothing of it remains afterwards.
#![allow(dead_code)]

use super::loopback::*;

/// The stage that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// All engines drain, so no attempt is sent.
    Queued,
    /// The connection for its prefill attempt is being established.
    Connecting,
    /// The prefill engine has received the prefill attempt.
    Prefilling,
    /// The prefill is done, and the connection for the decode attempt is being established.
    AwaitingDecodeConnection,
    /// The decode engine has received the decode attempt.
    Decoding,
    /// The client has received the first event.
    Streaming,
}

/// A request that has reached a stage.
pub struct OpenRequest {
    pub client: Conn,
    /// The engine's end of the attempt's connection; `None` if no attempt was sent.
    pub engine: Option<Conn>,
}

/// Request classes of the test settings: `draft` is idempotent, `proof` runs at most once.
pub const CLASSES: [&str; 2] = ["draft", "proof"];

/// Sends request `a` and brings it to a stage.
pub async fn start_request(net: &Loopback, stage: Stage, class: &str) -> OpenRequest {
    start_request_with(net, stage, &request_text("a", class)).await
}

/// Sends the request `text` and brings it to a stage.
pub async fn start_request_with(net: &Loopback, stage: Stage, text: &str) -> OpenRequest {
    match stage {
        Stage::Queued => net.announce_endpoints(&net.all_endpoints("draining")).await,
        Stage::Connecting => net.gate.block(&net.engine("r1").address),
        Stage::AwaitingDecodeConnection => net.gate.block(&net.engine("w1").address),
        _ => {}
    }
    let mut client = net.connect().await;
    client.send(text).await;
    let mut engine = None;
    match stage {
        Stage::Queued => wait_until(|| net.driver.usage().requests == 1).await,
        Stage::Connecting => net.gate.wait_until_blocked(&net.engine("r1").address).await,
        Stage::Prefilling => engine = Some(net.engine("r1").accept_request().await.0),
        Stage::AwaitingDecodeConnection => {
            net.serve_prefill().await;
            net.gate.wait_until_blocked(&net.engine("w1").address).await;
        }
        Stage::Decoding | Stage::Streaming => {
            net.serve_prefill().await;
            engine = Some(net.engine("w1").accept_request().await.0);
        }
    }
    if let (Stage::Streaming, Some(engine)) = (stage, &mut engine) {
        engine.send(&format!("{STREAM_HEAD}{EVENT}")).await;
        assert!(client.read_until(EVENT).await.starts_with("HTTP/1.1 200 "));
    }
    OpenRequest { client, engine }
}

/// Whether an engine may hold a KV state of a request that ended in this stage.
pub fn may_hold_state(stage: Stage) -> bool {
    matches!(
        stage,
        Stage::Prefilling | Stage::AwaitingDecodeConnection | Stage::Decoding
    )
}

/// Checks that nothing remains of the request `a`: its attempt is closed, its KV state is released, and no further
/// attempt is sent for it.
pub async fn assert_nothing_left(net: &Loopback, stage: Stage, engine: Option<Conn>) {
    if let Some(mut engine) = engine {
        assert_eq!(
            engine.read_to_end().await,
            "",
            "{stage:?}: the attempt is closed without further data"
        );
    }
    if may_hold_state(stage) {
        // The release may be sent to any engine, which forwards it to the engine that holds the state. The prefill
        // engine's connection for the prompt is idle.
        confirm_releases(net).await;
    }
    net.wait_until_no_request_open().await;
    for engine in ["r1", "w1"] {
        net.gate.unblock(&net.engine(engine).address);
    }
    // An attempt of `a` that is still pending would be sent before the next request's attempts, and `accept_attempt`
    // would fail.
    if stage == Stage::Queued {
        net.announce_endpoints(&net.all_endpoints("up")).await;
    }
    net.advance(1_000.0);
    let mut next = net.send_request("next", "draft").await;
    for engine in ["r1", "w1"] {
        let mut conn = accept_attempt(net, engine, "next").await;
        conn.send(if engine == "r1" {
            PREFILL_ANSWER
        } else {
            STREAM_HEAD
        })
        .await;
        if engine == "w1" {
            conn.send(&format!("{EVENT}{LAST_CHUNK}")).await;
        }
    }
    assert!(next.read_until(LAST_CHUNK).await.ends_with(LAST_CHUNK));
    net.wait_until_no_request_open().await;
}

/// Accepts connections at an engine until one carries the request `id`. Releases are confirmed; any other request
/// fails the test.
pub async fn accept_attempt(net: &Loopback, engine: &str, id: &str) -> Conn {
    loop {
        let mut conn = net.engine(engine).accept().await;
        match conn.next_request().await {
            None => {}
            Some(request) if request.head.starts_with("DELETE") => {
                conn.send(RELEASE_CONFIRMED).await
            }
            Some(request) => {
                assert_eq!(request.id(), id, "only the request {id} has an attempt");
                return conn;
            }
        }
    }
}

/// Maximum number of calls for one release. A release that may have overtaken the close of its attempt is repeated for
/// some seconds, unless a later message of the attempt's engine shows that the engine works.
pub const MAX_RELEASES: usize = 16;

/// Confirms the releases of `a` on all connections until the dispatcher has no release pending.
pub async fn confirm_releases(net: &Loopback) {
    let (mut conn, mut request) = net.accept_any_request().await;
    for _ in 0..MAX_RELEASES {
        assert!(
            request.head.starts_with("DELETE /bootstrap/rooms/a "),
            "{request:?}"
        );
        conn.send(RELEASE_CONFIRMED).await;
        let next_release = tokio::select! { biased;
            () = wait_until(|| net.driver.usage().releases == 0) => return,
            request = conn.next_request() => request,
            accepted = net.accept_any_request() => {
                conn = accepted.0;
                Some(accepted.1)
            }
        };
        request = match next_release {
            Some(request) => request,
            None => {
                let accepted = net.accept_any_request().await;
                conn = accepted.0;
                accepted.1
            }
        };
    }
    panic!("the release is still pending after {MAX_RELEASES} calls");
}

/// Checks that a request is rejected before its deadline and that nothing of it is sent to an engine.
pub async fn assert_rejected(net: &Loopback, id: &str) {
    let mut client = net.send_request(id, "proof").await;
    wait_until(|| net.driver.usage().requests == 1).await;
    net.advance_until(|| net.driver.usage().requests == 0).await;
    assert!(client.read_until("\n").await.starts_with("HTTP/1.1 503 "));
    for engine in ["r1", "w1"] {
        assert!(
            !net.engine(engine).has_pending_connection(),
            "{engine} receives no connection"
        );
    }
}
