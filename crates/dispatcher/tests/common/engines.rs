//! A dispatcher where a connection carries a call at a time, with four engines of each kind, as the platform has them.
#![allow(dead_code)]

use super::*;

/// What is held has this much more than the settings say.
pub const HELD_SLACK: f64 = 300.0;

/// A dispatcher that has four engines of each kind.
pub fn bench() -> Bench {
    let mut bench = Bench::with(ProgramSettings {
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
    bench.put(Input::EndpointsUpdated(list(
        v1::EndpointUpdateKind::Snapshot,
        &ready,
    )));
    bench
}

/// A client sends a request whose id is the number of its connection.
pub fn asks(bench: &mut Bench, conn: u64, class: &str) -> Vec<Output> {
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
    bench.put(Input::Client {
        conn: ClientConnectionId(conn),
        frame: frame(1, body),
    })
}

/// A request whose state is held, and its decode attempt.
pub fn decoding(bench: &mut Bench, conn: u64, class: &str) -> Sent {
    let out = asks(bench, conn, class);
    let prefill = bench.attempts(&out).pop().expect("a prefill goes out");
    let out = bench.ended(&prefill, v1::Status::PrefillDone);
    bench
        .attempts(&out)
        .pop()
        .expect("a decode attempt goes out")
}

/// Serves requests until an open connection to every engine rests.
pub fn warm_up(bench: &mut Bench) {
    for conn in 1_000..1_200 {
        let decode = decoding(bench, conn, "draft");
        bench.engine(&decode, tokens(0));
        bench.ended(&decode, v1::Status::Succeeded);
        bench.pass(50.0);
    }
}

/// The connections on which releases of a request went out, among outputs.
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

/// Whether an attempt was cancelled, which ends its connection where one carries a call at a time.
pub fn is_cancelled(out: &[Output], sent: &Sent) -> bool {
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

/// Engines that fall silent together, with no message before but their last answers.
pub fn silence(bench: &mut Bench, names: &[&str]) {
    bench
        .silent
        .extend(names.iter().map(|name| (*name).to_owned()));
}
