//! An engine that falls silent, with no error on its connections: what was written to it has not arrived, and does not stop
//! the time within which a KV state has to be taken or released.

mod common;

use cindercleat_dispatcher::ledger::{ConnId, Input, LinkId, Output};
use cindercleat_dispatcher::ProgramSettings;
use cindercleat_protocol::v1::{Answer, Status};
use cindercleat_protocol::{frame, v1, Body, Frame};
use common::*;

/// What is held has this much more than the settings say.
const HELD_SLACK: f64 = 300.0;

fn bench() -> Bench {
    let mut bench = Bench::with(ProgramSettings { limits: single_limits(), ..settings() });
    let names: Vec<String> =
        ["r", "w"].iter().flat_map(|kind| (1..=4).map(move |at| format!("{kind}{at}"))).collect();
    let ready: Vec<_> = names.iter().map(|name| (name.as_str(), v1::HostCondition::Ready)).collect();
    bench.put(Input::Listed(list(v1::ListKind::Full, &ready)));
    bench
}

fn asks(bench: &mut Bench, conn: u64, class: &str) -> Vec<Output> {
    let origin = Some(v1::Origin { id: conn.to_string(), ..v1::Origin::default() });
    let prompt = bytes::Bytes::from_static(b"{}");
    let body = Body::Submit(v1::Submit { origin, prompt, session: conn, ..submit(class) });
    bench.put(Input::Client { conn: ConnId(conn), frame: frame(1, body) })
}

/// A request whose state is held, and its decode attempt.
fn decoding(bench: &mut Bench, conn: u64, class: &str) -> Sent {
    let out = asks(bench, conn, class);
    let prefill = bench.launches(&out).pop().expect("a prefill goes out");
    let out = bench.ended(&prefill, Status::ReadDone);
    bench.launches(&out).pop().expect("a decode attempt goes out")
}

/// Serves requests until an open connection to every engine rests.
fn warm_up(bench: &mut Bench) {
    for conn in 1_000..1_200 {
        let decode = decoding(bench, conn, "draft");
        bench.host(&decode, tokens(0));
        bench.ended(&decode, Status::Fulfilled);
        bench.pass(50.0);
    }
}

/// The links on which releases of a request went out, among outputs.
fn releases_of(conn: u64, out: &[Output]) -> Vec<LinkId> {
    let release = |output: &Output| match output {
        Output::ToHost { link, frame: Frame { body: Some(Body::Release(release)), .. } }
            if release.origin == conn.to_string() =>
        {
            Some(*link)
        }
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// Lets time pass in small steps until the state of a request gets to an engine that runs, by a decode attempt or by a
/// release; gives when, and that attempt.
fn until_state_is_taken(bench: &mut Bench, conn: u64) -> (f64, Option<Sent>) {
    let since = bench.now;
    while bench.now - since < 4_000.0 {
        let out = bench.pass(5.0);
        let arrived = |sent: &Sent| !bench.silent.contains(&sent.host);
        if let Some(decode) = bench.launches(&out).into_iter().find(arrived) {
            return (bench.now - since, Some(decode));
        }
        if releases_of(conn, &out).into_iter().any(|link| !bench.is_silent(link)) {
            return (bench.now - since, None);
        }
    }
    (bench.now - since, None)
}

fn closed(out: &[Output], link: LinkId) -> bool {
    out.iter().any(|output| matches!(output, Output::CloseLink { link: closed, .. } if *closed == link))
}

#[test]
fn an_idempotent_request_whose_decode_attempt_does_not_arrive_is_decoded_elsewhere_in_time() {
    let mut bench = bench();
    warm_up(&mut bench);
    let lost = decoding(&mut bench, 1, "draft");
    bench.silent.insert(lost.host.clone());
    let (after, decode) = until_state_is_taken(&mut bench, 1);
    let decode = decode.expect("a second decode attempt");
    assert!(after <= settings().policy.release + HELD_SLACK, "taken after {after} ms");
    // What lies unsent on the first connection must not go out later: the second attempt would then be one of two.
    assert!(closed(&bench.out, lost.link), "the connection of the first attempt is closed");
    bench.host(&decode, tokens(0));
    assert_eq!(finals(&bench.ended(&decode, Status::Fulfilled)), [(1, Answer::Fulfilled)]);
}

#[test]
fn an_at_most_once_request_whose_decode_attempt_does_not_arrive_has_its_state_released_in_time() {
    let mut bench = bench();
    warm_up(&mut bench);
    let lost = decoding(&mut bench, 1, "proof");
    bench.silent.insert(lost.host.clone());
    let (after, decode) = until_state_is_taken(&mut bench, 1);
    assert!(decode.is_none(), "the first attempt may run yet");
    assert!(after <= settings().policy.release + HELD_SLACK, "released after {after} ms");
    assert!(!closed(&bench.out, lost.link), "the first attempt may still be served");
}
