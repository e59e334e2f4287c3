//! Test of a voter with a slow disk.
//!
//! Proposers send a request again when its answer is late. If each copy caused another write of the voter's file, the
//! disk would be busy with copies until all of them had timed out, and no lease could be renewed. A copy therefore has
//! to wait for the write that is already in flight, and all copies are answered once the promise is durable, and not
//! before.

use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{
    CallId, FleetSettings, Input, Member, MemberRequest, Output, SaveId,
};
use cindercleat::coordination::register::{AcceptorRequest, AcceptorState, Ballot};
use cindercleat::coordination::{Address, Incarnation, Name};

fn settings() -> FleetSettings {
    let voter = |index: usize| {
        (
            Name::from(format!("d{index}").as_str()),
            Address::from(format!("at-{index}").as_str()),
        )
    };
    FleetSettings {
        fleet: "fleet".to_owned(),
        own_name: voter(0).0,
        incarnation: Incarnation(100),
        address: voter(0).1,
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        voters: (0..3).map(voter).collect(),
        may_vote: true,
        lease: LeaseSettings {
            lease: 1000.0,
            drift: 0.01,
        },
        request_timeout: 100.0,
        heartbeat: 200.0,
        preferred_zone: None,
        report_receivers: Vec::new(),
        report_interval: 200.0,
        disruption_budgets: Default::default(),
        drain_list_address: None,
        seed: 1,
    }
}

/// The writes of the voter's file among the outputs.
fn file_writes(out: &[Output]) -> Vec<(SaveId, AcceptorState)> {
    let save = |output: &Output| match output {
        Output::Save { number, state } => Some((*number, (**state).clone())),
        _ => None,
    };
    out.iter().filter_map(save).collect()
}

/// The calls that the outputs answer.
fn answered_calls(out: &[Output]) -> Vec<CallId> {
    let answer = |output: &Output| match output {
        Output::Answer { call, .. } => Some(*call),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

#[test]
fn a_request_that_is_sent_again_causes_no_further_write() {
    let mut member = Member::new(settings());
    let handle = |member: &mut Member, now: f64, input: Input| {
        let mut out = Vec::new();
        member.handle(now, input, &mut out);
        out
    };
    let out = handle(&mut member, 0.0, Input::Loaded(Ok(None)));
    let (number, state) = file_writes(&out)
        .pop()
        .expect("the file of a new voter is written");
    handle(
        &mut member,
        10.0,
        Input::Saved {
            number,
            is_durable: true,
        },
    );
    let ballot = Ballot {
        round: 1,
        by: Name::from("d1"),
        incarnation: Incarnation(7),
    };
    let prepare = AcceptorRequest::Prepare {
        voter_id: state.voter_id,
        ballot,
        write_counts: Default::default(),
    };
    let send_prepare = |member: &mut Member, now: f64, call: u64| {
        let question = MemberRequest::Vote(prepare.clone());
        handle(
            member,
            now,
            Input::RequestReceived {
                call: CallId(call),
                question,
            },
        )
    };
    let out = send_prepare(&mut member, 20.0, 1);
    assert_eq!(
        answered_calls(&out),
        [],
        "no answer is sent before the promise is durable"
    );
    let (number, _) = file_writes(&out).pop().expect("the promise is written");
    for call in [2, 3] {
        let out = send_prepare(&mut member, 20.0 + call as f64, call);
        assert_eq!(
            (answered_calls(&out), file_writes(&out).len()),
            (vec![], 0),
            "the copy waits for the write in flight"
        );
    }
    let out = handle(
        &mut member,
        30.0,
        Input::Saved {
            number,
            is_durable: true,
        },
    );
    assert_eq!(answered_calls(&out), [CallId(1), CallId(2), CallId(3)]);
    assert_eq!(file_writes(&out).len(), 0, "no further write follows");
    let out = send_prepare(&mut member, 40.0, 4);
    assert_eq!(
        (answered_calls(&out), file_writes(&out).len()),
        (vec![CallId(4)], 0),
        "a durable promise is answered at once"
    );
}
