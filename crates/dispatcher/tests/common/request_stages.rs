//! Requests that a test brings to a stage of their life, and the checks that nothing of them is left afterwards.
#![allow(dead_code)]

use super::loopback::*;

/// Where a request is when something ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No engine may take it.
    Waits,
    /// The connection for its first attempt is not up.
    Connects,
    Prefills,
    /// It is read, and the connection for the next attempt is not up.
    HoldsState,
    Decodes,
    Streams,
}

/// A request that was brought to a stage.
pub struct Open {
    pub client: Conn,
    /// The engine's end of the attempt that is out.
    pub engine: Option<Conn>,
}

pub const CLASSES: [&str; 2] = ["draft", "proof"];

/// A client's request `a`, up to a stage.
pub async fn bring(net: &Loopback, stage: Stage, class: &str) -> Open {
    bring_with(net, stage, &request("a", class)).await
}

pub async fn bring_with(net: &Loopback, stage: Stage, text: &str) -> Open {
    match stage {
        Stage::Waits => net.announce(&net.all("draining")).await,
        Stage::Connects => net.gate.shut(&net.engine("r1").address),
        Stage::HoldsState => net.gate.shut(&net.engine("w1").address),
        _ => {}
    }
    let mut client = net.connect().await;
    client.send(text).await;
    let mut engine = None;
    match stage {
        Stage::Waits => until(|| net.driver.usage().requests == 1).await,
        Stage::Connects => net.gate.held_up(&net.engine("r1").address).await,
        Stage::Prefills => engine = Some(net.engine("r1").accept_request().await.0),
        Stage::HoldsState => {
            net.serve_prefill().await;
            net.gate.held_up(&net.engine("w1").address).await;
        }
        Stage::Decodes | Stage::Streams => {
            net.serve_prefill().await;
            engine = Some(net.engine("w1").accept_request().await.0);
        }
    }
    if let (Stage::Streams, Some(engine)) = (stage, &mut engine) {
        engine.send(&format!("{STREAM_HEAD}{EVENT}")).await;
        assert!(client.read_until(EVENT).await.starts_with("HTTP/1.1 200 "));
    }
    Open { client, engine }
}

/// Whether the state that a request left may lie at an engine.
pub fn may_hold_state(stage: Stage) -> bool {
    matches!(stage, Stage::Prefills | Stage::HoldsState | Stage::Decodes)
}

/// Nothing of the request is left: no attempt begins any more, the one that was out is closed, its state is let go.
pub async fn nothing_is_left(net: &Loopback, stage: Stage, engine: Option<Conn>) {
    if let Some(mut engine) = engine {
        assert_eq!(
            engine.read_to_end().await,
            "",
            "{stage:?}: the attempt is closed, and nothing more said on it"
        );
    }
    if may_hold_state(stage) {
        // Any engine passes a release on. The connection over which the prompt went rests at the prefill engine.
        release_is_sent(net).await;
    }
    net.no_request_is_open().await;
    for engine in ["r1", "w1"] {
        net.gate.open(&net.engine(engine).address);
    }
    // What would still go out goes out before the next request, which alone is served.
    if stage == Stage::Waits {
        net.announce(&net.all("up")).await;
    }
    net.advance(1_000.0);
    let mut next = net.send_request("next", "draft").await;
    for engine in ["r1", "w1"] {
        let mut conn = attempt_of(net, engine, "next").await;
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
    net.no_request_is_open().await;
}

/// Accepts connections at an engine until one carries the request `id`; none may carry another request but a release.
pub async fn attempt_of(net: &Loopback, engine: &str, id: &str) -> Conn {
    loop {
        let mut conn = net.engine(engine).accept().await;
        match conn.next_request().await {
            None => {}
            Some(request) if request.head.starts_with("DELETE") => {
                conn.send(RELEASE_CONFIRMED).await
            }
            Some(request) => {
                assert_eq!(request.id(), id, "no attempt for a request that is over");
                return conn;
            }
        }
    }
}

/// A release that may have overtaken the close of an attempt is sent again for some seconds, unless the attempt's engine shows
/// that it works.
pub const MOST_RELEASES: usize = 16;

/// The release of `a` comes to the engines, over whatever connections, and is confirmed, until the state is known to be gone.
pub async fn release_is_sent(net: &Loopback) {
    let (mut conn, mut request) = net.accept_any_request().await;
    for _ in 0..MOST_RELEASES {
        assert!(
            request.head.starts_with("DELETE /bootstrap/rooms/a "),
            "{request:?}"
        );
        conn.send(RELEASE_CONFIRMED).await;
        let on_it = tokio::select! { biased;
            () = until(|| net.driver.usage().releases == 0) => return,
            request = conn.next_request() => request,
            asked = net.accept_any_request() => {
                conn = asked.0;
                Some(asked.1)
            }
        };
        request = match on_it {
            Some(request) => request,
            None => {
                let asked = net.accept_any_request().await;
                conn = asked.0;
                asked.1
            }
        };
    }
    panic!("over {MOST_RELEASES} releases");
}

/// A request is refused after a while, and nothing of it is sent to any engine.
pub async fn is_refused(net: &Loopback, id: &str) {
    let mut client = net.send_request(id, "proof").await;
    until(|| net.driver.usage().requests == 1).await;
    net.advance_until(|| net.driver.usage().requests == 0).await;
    assert!(client.read_until("\n").await.starts_with("HTTP/1.1 503 "));
    for engine in ["r1", "w1"] {
        assert!(
            !net.engine(engine).has_pending_connection(),
            "{engine} got nothing"
        );
    }
}
