//! Clients that disconnect or cancel at each stage of their request. Afterwards the dispatcher sends no attempt of the
//! request, and releases the KV state that is held for the request.

mod common;

use cindercleat_dispatcher::state::{ClientConnectionId, EngineConnectionId, Input, Output};
use cindercleat_dispatcher::ProgramSettings;
use cindercleat_protocol::v1::Status;
use cindercleat_protocol::{v1, Body};
use common::*;
use test_case::test_case;

/// How a client ends its request.
#[derive(Clone, Copy)]
enum Departure {
    Closes,
    Cancels,
}

fn harness(may_cancel: bool, dials_succeed: bool) -> Harness {
    let mut settings = settings();
    settings.policy.may_cancel = may_cancel;
    let mut harness = Harness::with(ProgramSettings {
        limits: single_limits(),
        ..settings
    });
    harness.dials_succeed = dials_succeed;
    harness
}

/// Ends the request of client connection 1.
fn leave(harness: &mut Harness, departure: Departure) -> Vec<Output> {
    match departure {
        Departure::Closes => harness.handle(Input::ClientClosed {
            conn: ClientConnectionId(1),
        }),
        Departure::Cancels => harness.send_from_client(1, Body::Cancel(v1::Cancel {})),
    }
}

/// The connections that `out` dials.
fn dialled_connections(out: &[Output]) -> Vec<EngineConnectionId> {
    let dial = |output: &Output| match output {
        Output::Dial { connection, .. } => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(dial).collect()
}

/// Establishes the pending connections, advances the clock past the request's deadline, and checks that no attempt is
/// sent and no request is kept.
fn assert_no_attempt_starts(
    harness: &mut Harness,
    mut out: Vec<Output>,
    connections: &[EngineConnectionId],
) {
    for connection in connections {
        out.extend(harness.handle(Input::ConnectionEstablished {
            connection: *connection,
            limit: None,
        }));
    }
    harness.dials_succeed = true;
    out.extend(harness.advance(6_000.0));
    assert_eq!(
        harness.attempts(&out).len(),
        0,
        "no attempt is sent for a client that has left: {out:?}"
    );
    assert_eq!(harness.dispatcher.usage().requests, 0, "no request is kept");
}

/// A client leaves while its first attempt waits for a connection. The attempt must not be sent when the connection
/// is established.
#[test_case(Departure::Closes, true; "closes")]
#[test_case(Departure::Closes, false; "closes where attempts cannot be cancelled")]
#[test_case(Departure::Cancels, true; "cancels")]
#[test_case(Departure::Cancels, false; "cancels where attempts cannot be cancelled")]
fn no_attempt_is_sent_for_a_client_that_left_before_its_first_connection(
    departure: Departure,
    may_cancel: bool,
) {
    let mut harness = harness(may_cancel, false);
    let out = harness.send_from_client(1, Body::Submit(submit("draft")));
    let connections = dialled_connections(&out);
    assert_eq!(
        (connections.len(), harness.attempts(&out).len()),
        (1, 0),
        "the prefill attempt waits for its connection"
    );
    let out = leave(&mut harness, departure);
    assert_no_attempt_starts(&mut harness, out, &connections);
}

/// A client leaves while its prompt is prefilled. No decode attempt starts, and the KV state is released.
#[test_case(Departure::Closes, true; "closes")]
#[test_case(Departure::Cancels, false; "cancels where attempts cannot be cancelled")]
fn a_client_that_leaves_during_its_prefill_gets_no_decode_attempt(
    departure: Departure,
    may_cancel: bool,
) {
    let mut harness = harness(may_cancel, true);
    let prefill = harness.start_prefill(1, "draft");
    let mut out = leave(&mut harness, departure);
    out.extend(harness.end_attempt(&prefill, Status::PrefillDone));
    assert_no_attempt_starts(&mut harness, out, &[]);
    assert!(
        engine_message_names(&harness.out).contains(&"release"),
        "the request's KV state is released"
    );
}

/// A client leaves while its decode attempt waits for a connection. The attempt must not be sent, and the KV state
/// is released.
#[test_case(Departure::Closes; "closes")]
#[test_case(Departure::Cancels; "cancels")]
fn a_client_that_leaves_between_prefill_and_decode_gets_no_decode_attempt(departure: Departure) {
    for may_cancel in [true, false] {
        let mut harness = harness(may_cancel, true);
        let prefill = harness.start_prefill(1, "draft");
        harness.dials_succeed = false;
        let out = harness.end_attempt(&prefill, Status::PrefillDone);
        let connections = dialled_connections(&out);
        assert_eq!(
            (connections.len(), harness.attempts(&out).len()),
            (1, 0),
            "the decode attempt waits for its connection"
        );
        let out = leave(&mut harness, departure);
        assert_no_attempt_starts(&mut harness, out, &connections);
        assert!(
            engine_message_names(&harness.out).contains(&"release"),
            "the request's KV state is released"
        );
    }
}

/// A decode engine is overloaded, and the client leaves while the next attempt waits for a connection. That attempt
/// must not be sent.
#[test_case(Departure::Closes; "closes")]
#[test_case(Departure::Cancels; "cancels")]
fn a_client_that_leaves_before_a_retry_is_connected_gets_no_further_attempt(departure: Departure) {
    let mut harness = harness(true, true);
    let decode = harness.start_decode(1, "draft");
    harness.dials_succeed = false;
    let out = harness.end_attempt(&decode, Status::Overloaded);
    let connections = dialled_connections(&out);
    let out = leave(&mut harness, departure);
    assert_no_attempt_starts(&mut harness, out, &connections);
}
