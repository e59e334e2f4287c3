//! Compatibility test of the acceptor's file, which stays when a dispatcher is replaced by a newer version.
//!
//! If the newer version decoded the file as another state, or refused it, the voter would forget what it promised. A
//! fleet that is updated member by member could then choose two values or lose its quorum. The bytes below are a file
//! with every field set, as an earlier version wrote it: they have to be decoded as the stored state, and the state has
//! to be written as the same bytes.

use cindercleat::coordination::disruption_budget::{DisruptionBudget, MaxUnavailable, UnitKind};
use cindercleat::coordination::register::{AcceptorState, Ballot, WriteCounts};
use cindercleat::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutPlan,
};
use cindercleat::coordination::state::{
    LeaseHolder, LeaseRecord, ProposalId, ReplicatedState, VoterId, VoterRecord, Voters,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name, Term};
use cindercleat_fleet::acceptor_storage::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};

/// The bytes of a file that an earlier version wrote, in hexadecimal.
const STORED: &str = "\
63637674012603ebaf0a0161100b1a47080112150a0161100b1a0e612e6578616d706c653a3730303012150a0162100c1a0e\
622e6578616d706c653a3730303012150a0163100d1a0e632e6578616d706c653a37303030220c080e120163188080808080\
202ac9040a0c080d1201621880808080802012b804083712a501080212150a0161100b1a0e612e6578616d706c653a373030\
3012150a0162100c1a0e622e6578616d706c653a3730303012150a0163100d1a0e632e6578616d706c653a3730303012150a\
0164100e1a0e642e6578616d706c653a37303030180122150a0161100b1a0e612e6578616d706c653a3730303022150a0162\
100c1a0e622e6578616d706c653a3730303022150a0163100d1a0e632e6578616d706c653a373030301a160a066261636b75\
701005200128dc0b300838064201621a360a09726f6c6c2d63616c6c10031a1e0a016110ffffffffffffffffff011a0e612e\
6578616d706c653a37303030200928e807300c380722bb02080c121b080b1a0162200a2a0e622e6578616d706c653a373030\
3032027a321216080c10011a026531200932027a313a027632400148011abd010a4c0a11763220696e207468726565207761\
76657310011a027632220276312a027a312a027a32320263313a026b3142026531420265324801500258dc0b60e0d40368b0\
ea0170a09c017890bf05122a0a05081510d2011205081610dc011a05081710e6012205081810f001280230033804400548a0\
0650f02e1a0161200128013003380242060a027a311001420f0a027a3210ffffffffffffffffff014a02653252170a026533\
1211646964206e6f7420636f6d65206261636b5807220f746f6f206d616e79206572726f7273280232070a027a3110ac0232\
070a027a3210c8013a060a027a311064421563207761732073746f707065642062792068616e64302c3a080a0163100d18ac\
023a070a0162100c1828";

fn stored_bytes() -> Vec<u8> {
    let digit_pairs = STORED.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("the digits are ASCII");
        u8::from_str_radix(pair, 16).expect("the digits are hexadecimal")
    };
    digit_pairs.map(byte).collect()
}

fn ballot(round: u64, by: &str) -> Ballot {
    Ballot {
        round,
        by: Name::from(by),
        incarnation: Incarnation(1 << 40),
    }
}

fn voter_set(voters: &[(&str, u64)]) -> BTreeMap<Name, VoterRecord> {
    let record = |(name, id): &(&str, u64)| {
        let voter_record = VoterRecord {
            voter_id: VoterId(*id),
            address: Address::from(format!("{name}.example:7000").as_str()),
        };
        (Name::from(*name), voter_record)
    };
    voters.iter().map(record).collect()
}

fn voters() -> Voters {
    Voters {
        generation: 2,
        records: voter_set(&[("a", 11), ("b", 12), ("c", 13), ("d", 14)]),
        former: Some(voter_set(&[("a", 11), ("b", 12), ("c", 13)])),
    }
}

fn leases() -> BTreeMap<LeaseName, LeaseRecord> {
    let held = LeaseRecord {
        term: Term(3),
        holder: Some(LeaseHolder {
            name: Name::from("a"),
            incarnation: Incarnation(u64::MAX),
            address: Address::from("a.example:7000"),
        }),
        renewed: 9,
        lease_ms: 1000,
        proposal_id: ProposalId {
            round: 12,
            incarnation: Incarnation(7),
        },
        next: None,
    };
    let resigned = LeaseRecord {
        term: Term(5),
        holder: None,
        renewed: 1,
        lease_ms: 1500,
        proposal_id: ProposalId {
            round: 8,
            incarnation: Incarnation(6),
        },
        next: Some(Name::from("b")),
    };
    BTreeMap::from([
        (LeaseName::from("roll-call"), held),
        (LeaseName::from("backup"), resigned),
    ])
}

fn budget() -> DisruptionBudget {
    let limit = |count| MaxUnavailable {
        count,
        per_mille: 10 * count,
    };
    DisruptionBudget {
        fleet: limit(21),
        zone: limit(22),
        cell: limit(23),
        kind: limit(24),
        min_prefill_engines_per_zone: 2,
        min_decode_engines_per_zone: 3,
        min_prefill_engines_per_cell: 4,
        min_decode_engines_per_cell: 5,
        max_utilization_per_mille: 800,
        max_report_age_ms: 6_000,
    }
}

fn rollout() -> Rollout {
    let plan = RolloutPlan {
        name: "v2 in three waves".to_owned(),
        unit_kind: UnitKind::Engines,
        label: "v2".to_owned(),
        previous_label: "v1".to_owned(),
        zones: vec!["z1".to_owned(), "z2".to_owned()],
        cells: vec!["c1".to_owned()],
        kinds: vec!["k1".to_owned()],
        names: vec![Name::from("e1"), Name::from("e2")],
        permanent: true,
        first_wave_size: 2,
        wave_growth_per_mille: 1500,
        observe_ms: 60_000,
        settle_ms: 30_000,
        start_timeout_ms: 20_000,
        return_timeout_ms: 90_000,
    };
    Rollout {
        plan,
        budget: budget(),
        started_by: Name::from("a"),
        rolling_back: true,
        finished: true,
        wave: 3,
        granted_in_wave: 2,
        zone_progress: BTreeMap::from([("z1".to_owned(), 1), ("z2".to_owned(), u64::MAX)]),
        regrant: BTreeSet::from([Name::from("e2")]),
        abandoned: BTreeMap::from([(Name::from("e3"), "did not come back".to_owned())]),
        completed: 7,
    }
}

fn permits() -> BTreeMap<PermitId, DisruptionPermit> {
    let engine_permit = DisruptionPermit {
        unit_kind: UnitKind::Engines,
        unit: Name::from("e1"),
        incarnation: Incarnation(9),
        address: Address::default(),
        zone: "z1".to_owned(),
        label: "v2".to_owned(),
        permanent: true,
        planned: true,
    };
    let dispatcher_permit = DisruptionPermit {
        unit_kind: UnitKind::Dispatchers,
        unit: Name::from("b"),
        incarnation: Incarnation(10),
        address: Address::from("b.example:7000"),
        zone: "z2".to_owned(),
        label: String::new(),
        permanent: false,
        planned: false,
    };
    BTreeMap::from([
        (PermitId(11), dispatcher_permit),
        (PermitId(12), engine_permit),
    ])
}

fn stored_state() -> AcceptorState {
    let disruptions = DisruptionState {
        permits_granted: 12,
        permits: permits(),
        rollout: Some(Box::new(rollout())),
        halted: Some("too many errors".to_owned()),
        resume_count: 2,
        dispatcher_sizes: BTreeMap::from([("z1".to_owned(), 300), ("z2".to_owned(), 200)]),
        engine_sizes: BTreeMap::from([("z1".to_owned(), 100)]),
        notes: vec!["c was stopped by hand".to_owned()],
    };
    let value = ReplicatedState {
        version: 55,
        voters: voters(),
        leases: leases(),
        disruptions: Box::new(disruptions),
    };
    let bootstrap = Voters {
        generation: 1,
        records: voter_set(&[("a", 11), ("b", 12), ("c", 13)]),
        former: None,
    };
    AcceptorState {
        name: Name::from("a"),
        voter_id: VoterId(11),
        bootstrap: Some(bootstrap),
        promised: Some(ballot(14, "c")),
        accepted: Some((ballot(13, "b"), value)),
        writes: 44,
        write_counts: WriteCounts::from([
            ((Name::from("b"), VoterId(12)), 40),
            ((Name::from("c"), VoterId(13)), 300),
        ]),
    }
}

#[test]
fn an_earlier_versions_file_is_decoded_as_the_stored_state() {
    let state = decode(&stored_bytes()).expect("the file is valid");
    assert_eq!(state, stored_state());
}

#[test]
fn a_state_is_written_as_the_bytes_of_an_earlier_version() {
    assert_eq!(encode(&stored_state()), stored_bytes());
}
