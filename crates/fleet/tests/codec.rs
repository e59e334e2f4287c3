//! Tests of the fleet's messages and of the acceptor's file, which has the same encoding.
//!
//! A message that is decoded as a different one, or a corrupt file that is accepted, would change what a voter has
//! promised. All messages have to survive encoding and decoding, and invalid bytes have to be refused without a panic.

use cindercleat::coordination::disruption_budget::{
    DisruptionBudget, MaxUnavailable, OutcomeCounts, UnavailableCount, UnitKind,
};
use cindercleat::coordination::fencing::{FencedCommand, FencingDecision, ReceiverTimestamp};
use cindercleat::coordination::member::{
    AbandonedUnit, Answer, HeartbeatReply, MemberRequest, OperatorRequest, PermitStatus, Reply,
    RolloutRequest, RolloutStatus, Status, VoterState,
};
use cindercleat::coordination::membership::{EngineReport, Heartbeat};
use cindercleat::coordination::register::{
    AcceptorReply, AcceptorRequest, AcceptorState, Ballot, WriteCounts,
};
use cindercleat::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutPlan,
};
use cindercleat::coordination::state::{
    LeaseHolder, LeaseRecord, ProposalId, ReplicatedState, VoterId, VoterRecord, Voters,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name, Term};
use cindercleat_fleet::acceptor_storage::{decode, encode, LoadError};
use cindercleat_fleet::codec::{
    answer_from_proto, answer_to_proto, request_from_proto, request_to_proto,
};
use cindercleat_protocol::v1;
use proptest::prelude::*;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        by: Name::from("a"),
        incarnation: Incarnation(7),
    }
}

fn holder() -> LeaseHolder {
    LeaseHolder {
        name: Name::from("a"),
        incarnation: Incarnation(7),
        address: Address::from("127.0.0.1:1"),
    }
}

fn voters() -> Voters {
    let voter_record = |id: u64| VoterRecord {
        voter_id: VoterId(id),
        address: Address::from("127.0.0.1:1"),
    };
    let set: BTreeMap<Name, VoterRecord> = ["a", "b", "c"]
        .into_iter()
        .zip(1..)
        .map(|(name, id)| (name.into(), voter_record(id)))
        .collect();
    Voters {
        generation: 2,
        former: Some(set.clone()),
        records: set,
    }
}

fn replicated_state() -> ReplicatedState {
    let record = LeaseRecord {
        term: Term(3),
        holder: Some(holder()),
        renewed: 9,
        lease_ms: 1000,
        proposal_id: ProposalId {
            round: 12,
            incarnation: Incarnation(7),
        },
        next: Some(Name::from("b")),
    };
    let leases = BTreeMap::from([(LeaseName::from("roll-call"), record)]);
    ReplicatedState {
        version: 5,
        voters: voters(),
        leases,
        disruptions: Box::new(disruptions()),
    }
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        name: "v2".to_owned(),
        unit_kind: UnitKind::Engines,
        label: "v2".to_owned(),
        previous_label: "v1".to_owned(),
        zones: vec!["z".to_owned()],
        cells: vec!["c".to_owned()],
        kinds: vec!["k".to_owned()],
        names: vec![Name::from("h1")],
        permanent: true,
        first_wave_size: 2,
        wave_growth_per_mille: 1500,
        observe_ms: 1,
        settle_ms: 2,
        start_timeout_ms: 3,
        return_timeout_ms: 4,
    }
}

fn disruptions() -> DisruptionState {
    let permit = DisruptionPermit {
        unit_kind: UnitKind::Engines,
        unit: Name::from("h1"),
        incarnation: Incarnation(9),
        address: Address::default(),
        zone: "z".to_owned(),
        label: "v2".to_owned(),
        permanent: true,
        planned: true,
    };
    let limit = MaxUnavailable {
        count: 3,
        per_mille: 100,
    };
    let budget = DisruptionBudget {
        fleet: limit,
        max_utilization_per_mille: 800,
        min_prefill_engines_per_cell: 2,
        ..DisruptionBudget::default()
    };
    let rollout = Rollout {
        plan: plan(),
        budget,
        started_by: Name::from("a"),
        rolling_back: true,
        finished: true,
        wave: 3,
        granted_in_wave: 2,
        zone_progress: BTreeMap::from([("z".to_owned(), u64::MAX)]),
        regrant: BTreeSet::from([Name::from("h2")]),
        abandoned: BTreeMap::from([(Name::from("h3"), "did not come back".to_owned())]),
        completed: 7,
    };
    DisruptionState {
        permits_granted: 12,
        permits: BTreeMap::from([(PermitId(12), permit)]),
        rollout: Some(Box::new(rollout)),
        halted: Some("why".to_owned()),
        resume_count: 2,
        dispatcher_sizes: BTreeMap::from([("z".to_owned(), 300)]),
        engine_sizes: BTreeMap::from([("z".to_owned(), 100)]),
        notes: vec!["by hand".to_owned()],
    }
}

fn acceptor_state() -> AcceptorState {
    AcceptorState {
        name: Name::from("a"),
        voter_id: VoterId(1),
        bootstrap: Some(voters()),
        promised: Some(ballot(13)),
        accepted: Some((ballot(12), replicated_state())),
        writes: 44,
        write_counts: WriteCounts::from([((Name::from("b"), VoterId(2)), 40)]),
    }
}

fn rollout_request(request: RolloutRequest) -> MemberRequest {
    MemberRequest::Operator(OperatorRequest::Rollout(request))
}

#[test]
fn messages_are_decoded_as_they_were_encoded() {
    let heartbeat = Heartbeat {
        sender: holder(),
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        uptime: 1.5,
        ready: true,
        stopping: false,
        utilization: 0.25,
        leases_held: 1,
        outcomes: OutcomeCounts {
            succeeded: 4,
            rejected: 3,
            failed: 2,
            late: 1,
        },
        reports: vec![
            EngineReport {
                engine: Name::from("h1"),
                utilization: Some((0.5, 20.0)),
                outcomes: OutcomeCounts::default(),
            },
            EngineReport {
                engine: Name::from("h2"),
                utilization: None,
                outcomes: OutcomeCounts::default(),
            },
        ],
    };
    let command = FencedCommand {
        lease_name: LeaseName::from("roll-call"),
        term: Term(3),
        holder: holder(),
        number: 8,
        receiver_timestamp: Some(ReceiverTimestamp {
            incarnation: Incarnation(1),
            at: 12.5,
        }),
        valid_for: 300.25,
        body: b"in 3".to_vec(),
    };
    let write_counts = acceptor_state().write_counts;
    let (voter_id, lease_name, name) = (VoterId(1), LeaseName::from("x"), Name::from("n"));
    let questions = [
        MemberRequest::Vote(AcceptorRequest::Prepare {
            voter_id,
            ballot: ballot(1),
            write_counts: write_counts.clone(),
        }),
        MemberRequest::Vote(AcceptorRequest::Accept {
            voter_id,
            ballot: ballot(1),
            value: replicated_state(),
            write_counts,
        }),
        MemberRequest::VoterState,
        MemberRequest::WriteCount {
            voter: name.clone(),
            voter_id,
        },
        MemberRequest::Heartbeat(heartbeat),
        MemberRequest::LeaseOffer {
            lease_name: lease_name.clone(),
        },
        MemberRequest::FencedCommand(command),
        MemberRequest::Operator(OperatorRequest::Status),
        MemberRequest::Operator(OperatorRequest::HandOver {
            lease_name: lease_name.clone(),
            to: None,
        }),
        MemberRequest::Operator(OperatorRequest::HandOver {
            lease_name: lease_name.clone(),
            to: Some(name.clone()),
        }),
        MemberRequest::Operator(OperatorRequest::AddVoter {
            name: name.clone(),
            address: None,
        }),
        MemberRequest::Operator(OperatorRequest::RemoveVoter { name }),
        MemberRequest::Operator(OperatorRequest::HoldLease {
            lease_name: lease_name.clone(),
            job: 4,
        }),
        MemberRequest::Operator(OperatorRequest::ReleaseLease {
            lease_name: lease_name.clone(),
            job: 4,
        }),
        MemberRequest::RevokePermit {
            permit: PermitId(3),
            unit_kind: UnitKind::Engines,
            unit: Name::from("h1"),
            incarnation: Incarnation(2),
        },
        rollout_request(RolloutRequest::Start {
            plan: Box::new(plan()),
            skip_missing: true,
            dry_run: false,
        }),
        rollout_request(RolloutRequest::Halt {
            reason: "a reason".to_owned(),
        }),
        rollout_request(RolloutRequest::Resume),
        rollout_request(RolloutRequest::RollBack),
        rollout_request(RolloutRequest::End),
        rollout_request(RolloutRequest::Recount {
            unit_kind: UnitKind::Engines,
        }),
        rollout_request(RolloutRequest::Permit {
            name: Name::from("n"),
            label: String::new(),
            cancel: true,
        }),
        MemberRequest::Operator(OperatorRequest::StopWithoutAgreement {
            name: Name::from("n"),
            address: None,
            reason: "why".to_owned(),
        }),
    ];
    for question in questions {
        assert_eq!(
            request_from_proto(request_to_proto(&question)),
            Some(question)
        );
    }
    let receiver_timestamp = ReceiverTimestamp {
        incarnation: Incarnation(2),
        at: 3.0,
    };
    let status = RolloutStatus {
        name: "v2".to_owned(),
        state: "running".to_owned(),
        permits: vec![PermitStatus {
            permit: PermitId(1),
            unit: Name::from("n"),
            zone: "z".to_owned(),
            stage: "out".to_owned(),
        }],
        unavailable: vec![UnavailableCount {
            zone: String::new(),
            unavailable: 1,
            limit: u32::MAX,
        }],
        abandoned: vec![AbandonedUnit {
            unit: Name::from("n"),
            reason: "why".to_owned(),
        }],
        notes: vec!["note".to_owned()],
        ..RolloutStatus::default()
    };
    let answers = [
        Answer::Vote(AcceptorReply::Promise {
            ballot: ballot(2),
            accepted: Some((ballot(1), replicated_state())),
            writes: 3,
        }),
        Answer::Vote(AcceptorReply::Promise {
            ballot: ballot(2),
            accepted: None,
            writes: 3,
        }),
        Answer::Vote(AcceptorReply::Accepted {
            ballot: ballot(2),
            writes: 4,
        }),
        Answer::Vote(AcceptorReply::Conflict {
            promised: ballot(9),
        }),
        Answer::Vote(AcceptorReply::NotVoting),
        Answer::VoterState(VoterState {
            voter_id: Some(voter_id),
            is_voting: true,
            bootstrap: Some(voters()),
            newest: None,
        }),
        Answer::WriteCount { writes: 6 },
        Answer::Heartbeat(HeartbeatReply {
            accepted: true,
            holder: Some((Term(3), holder())),
            next_heartbeat_in: 200.0,
            ranks: vec![(lease_name, 2)],
        }),
        Answer::Done,
        Answer::FencingDecision {
            verdict: FencingDecision::LeaseExpired,
            receiver_timestamp,
        },
        Answer::Reply(Reply::Done("done".to_owned())),
        Answer::Reply(Reply::Refused("no".to_owned())),
        Answer::Reply(Reply::Redirect(Address::from("127.0.0.1:2"))),
        Answer::Reply(Reply::LeaseHold {
            term: None,
            valid_for: 0.0,
        }),
        Answer::Reply(Reply::Status(Box::default())),
        Answer::Reply(Reply::Status(Box::new(Status {
            disruptions: status,
            ..Status::default()
        }))),
        Answer::Reply(Reply::Pending("waits".to_owned())),
        Answer::RevocationResult { begun: true },
    ];
    for answer in answers {
        assert_eq!(answer_from_proto(answer_to_proto(&answer)), Some(answer));
    }
}

#[test]
fn invalid_messages_are_refused() {
    let prepare = |ballot| v1::FleetCall {
        question: Some(v1::fleet_call::Question::Prepare(v1::FleetPrepare {
            voter_id: 1,
            ballot,
            heard: Vec::new(),
        })),
    };
    let wire_ballot = |round, by: &str| {
        Some(v1::Ballot {
            round,
            by: by.to_owned(),
            incarnation: 1,
        })
    };
    assert!(request_from_proto(prepare(wire_ballot(1, "a"))).is_some());
    assert_eq!(
        request_from_proto(v1::FleetCall { question: None }),
        None,
        "a call without a question is refused"
    );
    for ballot in [
        None,
        wire_ballot(0, "a"),
        wire_ballot(u64::MAX, "a"),
        wire_ballot(1, ""),
        wire_ballot(1, "a\nb"),
        wire_ballot(1, &"x".repeat(300)),
    ] {
        assert_eq!(
            request_from_proto(prepare(ballot.clone())),
            None,
            "a request with the ballot {ballot:?} is refused"
        );
    }
    let mut with_too_many_leases =
        request_to_proto(&MemberRequest::Vote(AcceptorRequest::Accept {
            voter_id: VoterId(1),
            ballot: ballot(1),
            value: replicated_state(),
            write_counts: WriteCounts::new(),
        }));
    if let Some(v1::fleet_call::Question::Accept(accept)) = &mut with_too_many_leases.question {
        let value = accept.value.as_mut().expect("the request has a value");
        value.leases = vec![value.leases[0].clone(); 1000];
    }
    assert_eq!(
        request_from_proto(with_too_many_leases),
        None,
        "a state with more leases than a fleet can have is refused"
    );
}

#[test]
fn a_voters_file_is_decoded_as_written_or_refused() {
    let bytes = encode(&acceptor_state());
    assert_eq!(decode(&bytes).expect("the file is valid"), acceptor_state());
    assert!(matches!(
        decode(b"something else"),
        Err(LoadError::NotAVoterFile)
    ));
    assert!(matches!(decode(&[]), Err(LoadError::NotAVoterFile)));
    let mut unknown_version = bytes.clone();
    unknown_version[4] = 9;
    assert!(matches!(
        decode(&unknown_version),
        Err(LoadError::UnknownVersion(9))
    ));
    for length in 4..bytes.len() {
        assert!(
            decode(&bytes[..length]).is_err(),
            "a file that is truncated to {length} bytes is refused"
        );
    }
}

proptest! {
    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(call) = v1::FleetCall::decode(&bytes[..]) {
            let _ = request_from_proto(call);
        }
        if let Ok(answer) = v1::FleetAnswer::decode(&bytes[..]) {
            let _ = answer_from_proto(answer);
        }
        let _ = decode(&bytes);
    }

    #[test]
    fn a_file_with_a_flipped_bit_is_refused(index in 5usize..200, bit in 0u8..8) {
        let mut bytes = encode(&acceptor_state());
        let index = index % bytes.len();
        prop_assume!(index >= 5);
        bytes[index] ^= 1 << bit;
        prop_assert!(decode(&bytes).is_err());
    }
}
