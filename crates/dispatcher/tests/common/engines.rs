//! Helpers for tests of a dispatcher whose connections carry one call at a time, with four prefill engines and four
//! decode engines.
#![allow(dead_code)]

use super::*;

/// Milliseconds beyond `kv_state_timeout` within which a held KV state must be taken or released.
pub const RELEASE_TOLERANCE_MS: f64 = 300.0;

/// Milliseconds within which a held KV state must be taken or released.
pub fn release_limit() -> f64 {
    settings().policy.kv_state_timeout + RELEASE_TOLERANCE_MS
}

/// Creates a dispatcher with prefill engines `r1` to `r4` and decode engines `w1` to `w4`.
pub fn harness() -> Harness {
    let mut harness = Harness::with(ProgramSettings {
        limits: single_limits(),
        ..settings()
    });
    let names: Vec<String> = ["r", "w"]
        .iter()
        .flat_map(|kind| (1..=4).map(move |at| format!("{kind}{at}")))
        .collect();
    let ready: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), v1::EndpointStatus::Ready))
        .collect();
    harness.handle(Input::EndpointsUpdated(endpoint_list(
        v1::EndpointUpdateKind::Snapshot,
        &ready,
    )));
    harness
}

/// Sends a request on client connection `conn`. The connection's number is also the request's id and session.
pub fn send_request(harness: &mut Harness, conn: u64, class: &str) -> Vec<Output> {
    let origin = Some(v1::Origin {
        id: conn.to_string(),
        ..v1::Origin::default()
    });
    let prompt = bytes::Bytes::from_static(b"{}");
    let body = Body::Submit(v1::Submit {
        origin,
        prompt,
        session: conn,
        ..submit(class)
    });
    harness.handle(Input::Client {
        conn: ClientConnectionId(conn),
        frame: frame(1, body),
    })
}

/// Sends a request, completes its prefill and returns its decode attempt.
pub fn start_decode(harness: &mut Harness, conn: u64, class: &str) -> SentAttempt {
    let out = send_request(harness, conn, class);
    let prefill = harness
        .attempts(&out)
        .pop()
        .expect("a prefill attempt is sent");
    let out = harness.end_attempt(&prefill, v1::Status::PrefillDone);
    harness
        .attempts(&out)
        .pop()
        .expect("a decode attempt is sent")
}

/// Serves 200 requests, after which every engine has an idle connection.
pub fn warm_up(harness: &mut Harness) {
    for conn in 1_000..1_200 {
        let decode = start_decode(harness, conn, "draft");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, v1::Status::Succeeded);
        harness.advance(50.0);
    }
}

/// The connections on which `out` sends releases of the request with id `conn`.
pub fn releases_of(conn: u64, out: &[Output]) -> Vec<EngineConnectionId> {
    let release = |output: &Output| match output {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    body: Some(Body::Release(release)),
                    ..
                },
        } if release.origin == conn.to_string() => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// Whether `out` sends a release of the request with id `conn` to an engine that responds.
pub fn release_arrives(harness: &Harness, conn: u64, out: &[Output]) -> bool {
    releases_of(conn, out)
        .into_iter()
        .any(|connection| !harness.is_unresponsive(connection))
}

/// Whether `out` cancels the attempt. Where a connection carries one call at a time, a cancel closes the connection.
pub fn is_cancelled(out: &[Output], sent: &SentAttempt) -> bool {
    let is_cancel = |output: &Output| match output {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    stream,
                    body: Some(Body::Cancel(_)),
                },
        } => (*connection, *stream) == (sent.connection, sent.stream),
        _ => false,
    };
    out.iter().any(is_cancel)
}

/// Makes engines unresponsive at the same instant. They send nothing after the answers that they have already given.
pub fn make_unresponsive(harness: &mut Harness, names: &[&str]) {
    harness
        .unresponsive
        .extend(names.iter().map(|name| (*name).to_owned()));
}
