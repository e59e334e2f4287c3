//! Tests of three members with their drivers, with connections and files in memory and a paused clock.
//!
//! The members elect a membership leader and keep it. A full disk stops only its own voter from answering; with two
//! full disks no lease is renewed. Members of another fleet, bytes that do not follow the protocol and calls without a
//! question are refused, and the fleet keeps its leader.

use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{
    Answer, FleetSettings, LocalHealth, MemberRequest, OperatorRequest, Reply,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name};
use cindercleat_fleet::acceptor_storage::MemoryFile;
use cindercleat_fleet::admin_client::{send_operator_request, send_request};
use cindercleat_fleet::{Dispatcher, Driver};
use cindercleat_grpc::{connect, Event, Setup};
use cindercleat_net::{Clock, Memory, TokioClock, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::future::{pending, Future};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

type Member = Driver<Memory, TokioClock, MemoryFile>;

struct TestFleet {
    memory: Memory,
    clock: TokioClock,
    files: Vec<MemoryFile>,
    members: Vec<Member>,
    drivers: Vec<JoinHandle<()>>,
}

fn settings(fleet: &str, index: usize) -> FleetSettings {
    let voter = |number: usize| {
        (
            Name::from(format!("d{number}").as_str()),
            Address::from(format!("at-{number}").as_str()),
        )
    };
    FleetSettings {
        fleet: fleet.to_owned(),
        own_name: voter(index).0,
        incarnation: Incarnation(100 + index as u64),
        address: voter(index).1,
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        voters: (0..3).map(voter).collect(),
        may_vote: index < 3,
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
        seed: index as u64,
    }
}

/// Reports a fixed utilization of 10 % and no outcomes, and ignores permits to restart.
struct ReadyDispatcher;

impl Dispatcher for ReadyDispatcher {
    fn local_health(&self) -> LocalHealth {
        LocalHealth {
            ready: true,
            utilization: 0.1,
            ..LocalHealth::default()
        }
    }

    fn grant_restart(&self, _: u64, _: &str) {}
}

impl TestFleet {
    async fn start(&mut self, fleet: &str, index: usize, file: MemoryFile) -> Member {
        let dispatcher = Rc::new(ReadyDispatcher);
        let member = Driver::new(
            settings(fleet, index),
            self.memory.clone(),
            self.clock,
            Some(file),
            dispatcher,
        );
        let listener = self
            .memory
            .listen(&format!("at-{index}"))
            .await
            .expect("the address is free");
        let driver = member.clone();
        self.drivers.push(spawn_local(
            async move { driver.run(listener, pending()).await },
        ));
        member
    }

    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    /// The number of members that hold at least one lease.
    fn holders(&self) -> usize {
        self.members
            .iter()
            .filter(|member| !member.held().is_empty())
            .count()
    }
}

/// Starts three voting members, waits until one of them is the membership leader, and runs a test.
fn run<F: Future<Output = ()>>(test: impl FnOnce(TestFleet) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let files = Vec::new();
        let mut fleet = TestFleet {
            memory,
            clock,
            files,
            members: Vec::new(),
            drivers: Vec::new(),
        };
        for index in 0..3 {
            fleet.files.push(MemoryFile::default());
            let file = fleet.files[index].clone();
            let member = fleet.start("fleet", index, file).await;
            fleet.members.push(member);
        }
        fleet.wait(2_000.0).await;
        assert_eq!(fleet.holders(), 1);
        test(fleet).await;
    });
}

#[test]
fn three_members_elect_one_leader_and_answer_operators() {
    run(|fleet| async move {
        let reply = send_operator_request(
            &fleet.memory,
            &fleet.clock,
            "at-1",
            &OperatorRequest::Status,
            900.0,
        )
        .await
        .expect("the member answers");
        let Reply::Status(status) = reply else {
            panic!("not a status: {reply:?}")
        };
        assert!(
            status.majority && status.voters.iter().all(|voter| voter.is_voting),
            "all voters vote: {status:?}"
        );
        assert_eq!(status.leases.len(), 1);
        fleet.wait(20_000.0).await;
        assert_eq!(fleet.holders(), 1);
        let expired_leases = |member: &Member| {
            member
                .counts()
                .get("leases over")
                .copied()
                .unwrap_or_default()
        };
        assert_eq!(fleet.members.iter().map(expired_leases).sum::<u64>(), 0);
    });
}

#[test]
fn with_one_full_disk_the_other_two_voters_choose_commands() {
    run(|fleet| async move {
        fleet.files[0].fail_writes(true);
        let request = OperatorRequest::HoldLease {
            lease_name: LeaseName::from("job"),
            job: 7,
        };
        let mut held = false;
        for _ in 0..20 {
            let reply = send_operator_request(&fleet.memory, &fleet.clock, "at-1", &request, 900.0)
                .await
                .expect("the member answers");
            held |= matches!(reply, Reply::LeaseHold { term: Some(_), .. });
            fleet.wait(50.0).await;
        }
        assert!(held, "two of three voters are a majority");
        assert!(fleet.members[0].counts()["saves failed"] >= 1);
        // With two full disks no majority accepts a command.
        fleet.files[1].fail_writes(true);
        fleet.wait(3_000.0).await;
        assert_eq!(fleet.holders(), 0, "no lease is renewed");
        fleet.files[0].fail_writes(false);
        fleet.wait(4_000.0).await;
        assert!(fleet.holders() >= 1);
    });
}

#[test]
fn other_fleets_and_invalid_messages_are_dropped_and_counted() {
    run(|mut fleet| async move {
        // A dispatcher of another fleet has this fleet's voters in its settings.
        let outsider = fleet.start("other", 7, MemoryFile::default()).await;
        fleet.wait(2_000.0).await;
        assert!(outsider.held().is_empty());
        let dropped = || fleet.members.iter().map(Driver::dropped).sum::<u64>();
        let dropped_before = dropped();
        assert!(dropped_before >= 1, "the other fleet's member was refused");
        // Bytes that do not follow the protocol, and then a call without a question.
        let mut connection = fleet
            .memory
            .connect("at-0")
            .await
            .expect("the member listens");
        connection
            .write_all(b"noise and nothing else, of some length\r\n\r\n")
            .await
            .expect("the bytes are sent");
        let io = fleet
            .memory
            .connect("at-0")
            .await
            .expect("the member listens");
        let setup = Setup {
            party: v1::Party::Client,
            name: "x".to_owned(),
            expects: String::new(),
            run: 0,
            max_message_bytes: 1 << 20,
            max_concurrent_calls: 1,
        };
        let mut session = connect(io, v1::Party::Fleet, setup)
            .await
            .expect("the member greets");
        session
            .out
            .send(frame(1, Body::FleetCall(v1::FleetCall { question: None })));
        let answer = session.events.recv().await;
        assert!(
            !matches!(
                answer,
                Some(Event::Frame(Frame {
                    body: Some(Body::FleetAnswer(_)),
                    ..
                }))
            ),
            "a call without a question is not answered: {answer:?}"
        );
        fleet.wait(2_000.0).await;
        assert!(
            dropped() >= dropped_before + 2,
            "the invalid bytes and the call without a question are counted as dropped: {dropped_before} before, {} now",
            dropped()
        );
        assert_eq!(fleet.holders(), 1, "the leader keeps its lease");
        let answer = send_request(
            &fleet.memory,
            &fleet.clock,
            "at-0",
            &MemberRequest::VoterState,
            900.0,
        )
        .await;
        assert!(
            matches!(answer, Ok(Answer::VoterState(_))),
            "the member still answers valid requests: {answer:?}"
        );
    });
}
