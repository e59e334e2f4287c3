//! A client that has gone, in each state of its request: no attempt begins for it any more, first or further, and
//! what is held for it is let go.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, EngineConnectionId, Input, Output};
use cindercleat_dispatcher::ProgramSettings;
use cindercleat_protocol::v1::Status;
use cindercleat_protocol::{v1, Body};
use common::*;
use test_case::test_case;

/// As many ways to have gone.
#[derive(Clone, Copy)]
enum Gone {
    Closes,
    Cancels,
}

fn bench(may_cancel: bool, connections_come_up: bool) -> Bench {
    let mut settings = settings();
    settings.policy.may_cancel = may_cancel;
    let mut bench = Bench::with(ProgramSettings {
        limits: single_limits(),
        ..settings
    });
    bench.connections_come_up = connections_come_up;
    bench
}

fn goes(bench: &mut Bench, gone: Gone) -> Vec<Output> {
    match gone {
        Gone::Closes => bench.put(Input::ClientClosed {
            conn: ClientConnectionId(1),
        }),
        Gone::Cancels => bench.client(1, Body::Cancel(v1::Cancel {})),
    }
}

fn dialled(out: &[Output]) -> Vec<EngineConnectionId> {
    let dial = |output: &Output| match output {
        Output::Dial { connection, .. } => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(dial).collect()
}

/// Nothing begins from now on, whatever comes up and however long it takes.
fn nothing_begins(bench: &mut Bench, mut out: Vec<Output>, connections: &[EngineConnectionId]) {
    for connection in connections {
        out.extend(bench.put(Input::ConnectionEstablished {
            connection: *connection,
            limit: None,
        }));
    }
    bench.connections_come_up = true;
    out.extend(bench.pass(6_000.0));
    assert_eq!(
        bench.attempts(&out).len(),
        0,
        "an attempt for nobody: {out:?}"
    );
    assert_eq!(bench.dispatcher.usage().requests, 0, "nothing is kept");
}

/// A client goes while its first attempt waits for a connection. The attempt must not go out when that comes up.
#[test_case(Gone::Closes, true; "closes")]
#[test_case(Gone::Closes, false; "closes where attempts are not called off")]
#[test_case(Gone::Cancels, true; "cancels")]
#[test_case(Gone::Cancels, false; "cancels where attempts are not called off")]
fn a_client_that_goes_while_its_first_attempt_waits_for_a_connection(gone: Gone, may_cancel: bool) {
    let mut bench = bench(may_cancel, false);
    let out = bench.client(1, Body::Submit(submit("draft")));
    let connections = dialled(&out);
    assert_eq!(
        (connections.len(), bench.attempts(&out).len()),
        (1, 0),
        "it waits"
    );
    let out = goes(&mut bench, gone);
    nothing_begins(&mut bench, out, &connections);
}

/// A client goes while its prompt is prefilled. No decode attempt begins, and the KV state is released.
#[test_case(Gone::Closes, true; "closes")]
#[test_case(Gone::Cancels, false; "cancels where attempts are not called off")]
fn a_client_that_goes_while_its_prompt_is_read(gone: Gone, may_cancel: bool) {
    let mut bench = bench(may_cancel, true);
    let prefill = bench.prefilling(1, "draft");
    let mut out = goes(&mut bench, gone);
    out.extend(bench.ended(&prefill, Status::PrefillDone));
    nothing_begins(&mut bench, out, &[]);
    assert!(
        to_engines(&bench.out).contains(&"release"),
        "its state is let go"
    );
}

/// A client goes while its decode attempt waits for a connection. The attempt must not go out, and the KV state is
/// released.
#[test_case(Gone::Closes; "closes")]
#[test_case(Gone::Cancels; "cancels")]
fn a_client_that_goes_between_prefill_and_decode(gone: Gone) {
    for may_cancel in [true, false] {
        let mut bench = bench(may_cancel, true);
        let prefill = bench.prefilling(1, "draft");
        bench.connections_come_up = false;
        let out = bench.ended(&prefill, Status::PrefillDone);
        let connections = dialled(&out);
        assert_eq!(
            (connections.len(), bench.attempts(&out).len()),
            (1, 0),
            "the decode waits for its connection"
        );
        let out = goes(&mut bench, gone);
        nothing_begins(&mut bench, out, &connections);
        assert!(
            to_engines(&bench.out).contains(&"release"),
            "its state is let go"
        );
    }
}

/// A decode engine is overloaded, and the client goes while the next attempt waits for a connection. That attempt must
/// not go out.
#[test_case(Gone::Closes; "closes")]
#[test_case(Gone::Cancels; "cancels")]
fn a_client_that_goes_while_a_further_attempt_is_due(gone: Gone) {
    let mut bench = bench(true, true);
    let decode = bench.decoding(1, "draft");
    bench.connections_come_up = false;
    let out = bench.ended(&decode, Status::Overloaded);
    let connections = dialled(&out);
    let out = goes(&mut bench, gone);
    nothing_begins(&mut bench, out, &connections);
}
