//! Helpers for tests of a dispatcher whose connections carry one call at a time, with four prefill engines and four
//! decode engines.
#![allow(dead_code)]

use super::*;

/// Milliseconds that [`release_limit`] adds to `kv_state_timeout`.
pub const RELEASE_TOLERANCE_MS: f64 = 300.0;

/// Milliseconds after the end of a prefill within which a decode attempt must use the KV state or a release must free
/// it.
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

/// Sends a request on a client connection of its own. `request_id` is also the number of the connection and the session
/// of the request.
pub fn send_request(harness: &mut Harness, request_id: u64, class: &str) -> Vec<Output> {
    let origin = Some(v1::Origin {
        id: request_id.to_string(),
        ..v1::Origin::default()
    });
    let prompt = bytes::Bytes::from_static(b"{}");
    let body = Body::Submit(v1::Submit {
        origin,
        prompt,
        session: request_id,
        ..submit(class)
    });
    harness.handle(Input::Client {
        conn: ClientConnectionId(request_id),
        frame: frame(1, body),
    })
}

/// Sends a request, completes its prefill and returns its decode attempt.
pub fn start_decode(harness: &mut Harness, request_id: u64, class: &str) -> SentAttempt {
    let out = send_request(harness, request_id, class);
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
    for request_id in 1_000..1_200 {
        let decode = start_decode(harness, request_id, "draft");
        harness.send_from_engine(&decode, tokens(0));
        harness.end_attempt(&decode, v1::Status::Succeeded);
        harness.advance(50.0);
    }
}

/// The engine connections on which `out` sends releases of the request `request_id`: one entry for each release.
pub fn connections_with_releases_of(request_id: u64, out: &[Output]) -> Vec<EngineConnectionId> {
    let release = |output: &Output| match output {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    body: Some(Body::Release(release)),
                    ..
                },
        } if release.origin == request_id.to_string() => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// Whether `out` sends a release of the request `request_id` to a responsive engine.
pub fn release_arrives(harness: &Harness, request_id: u64, out: &[Output]) -> bool {
    connections_with_releases_of(request_id, out)
        .into_iter()
        .any(|connection| !harness.is_unresponsive(connection))
}

/// Whether `out` cancels the attempt. On a connection that carries one call at a time, a cancel closes the connection.
pub fn is_cancelled(out: &[Output], attempt: &SentAttempt) -> bool {
    let is_cancel = |output: &Output| match output {
        Output::ToEngine {
            connection,
            frame:
                Frame {
                    stream,
                    body: Some(Body::Cancel(_)),
                },
        } => (*connection, *stream) == (attempt.connection, attempt.stream),
        _ => false,
    };
    out.iter().any(is_cancel)
}

/// Makes all these engines unresponsive at the same instant. They send nothing from then on. Answers that they sent
/// before remain valid.
pub fn make_unresponsive(harness: &mut Harness, names: &[&str]) {
    harness
        .unresponsive
        .extend(names.iter().map(|name| (*name).to_owned()));
}
