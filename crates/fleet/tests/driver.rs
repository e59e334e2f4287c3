//! Three members with their drivers, on connections and files in memory and a paused clock. They elect a membership
//! leader and keep it. A disk that is full silences its voter alone, and with two full disks no lease is renewed.
//! Members of another fleet, noise and messages that say nothing are refused, and the fleet goes on.

use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{
    Answer, FleetSettings, LocalHealth, OperatorRequest, Question, Reply,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name};
use cindercleat_fleet::acceptor_storage::Memory as File;
use cindercleat_fleet::admin_client::{ask, order};
use cindercleat_fleet::{Dispatcher, Driver};
use cindercleat_grpc::{connect, Event, Setup};
use cindercleat_net::{Clock, Memory, TokioClock, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::future::{pending, Future};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

type Member = Driver<Memory, TokioClock, File>;

struct Net {
    memory: Memory,
    clock: TokioClock,
    files: Vec<File>,
    members: Vec<Member>,
    drivers: Vec<JoinHandle<()>>,
}

fn settings(fleet: &str, at: usize) -> FleetSettings {
    let voter = |n: usize| {
        (
            Name::from(format!("d{n}").as_str()),
            Address::from(format!("at-{n}").as_str()),
        )
    };
    FleetSettings {
        fleet: fleet.to_owned(),
        me: voter(at).0,
        incarnation: Incarnation(100 + at as u64),
        address: voter(at).1,
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        voters: (0..3).map(voter).collect(),
        may_vote: at < 3,
        lease: LeaseSettings {
            lease: 1000.0,
            drift: 0.01,
        },
        answer_within: 100.0,
        heartbeat: 200.0,
        preferred_zone: None,
        report_receivers: Vec::new(),
        report_interval: 200.0,
        bounds: Default::default(),
        keeper: None,
        seed: at as u64,
    }
}

/// A dispatcher that is always ready.
struct ReadyDispatcher;

impl Dispatcher for ReadyDispatcher {
    fn local_health(&self) -> LocalHealth {
        LocalHealth {
            ready: true,
            load: 0.1,
            ..LocalHealth::default()
        }
    }

    fn has_turn(&self, _: u64, _: &str) {}
}

impl Net {
    async fn start(&mut self, fleet: &str, at: usize, file: File) -> Member {
        let dispatcher = Rc::new(ReadyDispatcher);
        let member = Driver::new(
            settings(fleet, at),
            self.memory.clone(),
            self.clock,
            Some(file),
            dispatcher,
        );
        let listener = self
            .memory
            .listen(&format!("at-{at}"))
            .await
            .expect("a name");
        let running = member.clone();
        self.drivers.push(spawn_local(async move {
            running.run(listener, pending()).await
        }));
        member
    }

    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    fn holders(&self) -> usize {
        self.members.iter().filter(|m| !m.held().is_empty()).count()
    }
}

/// Runs a test with three members that vote, once one of them is the membership leader.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let files = Vec::new();
        let mut net = Net {
            memory,
            clock,
            files,
            members: Vec::new(),
            drivers: Vec::new(),
        };
        for at in 0..3 {
            net.files.push(File::default());
            let file = net.files[at].clone();
            let member = net.start("fleet", at, file).await;
            net.members.push(member);
        }
        net.wait(2_000.0).await;
        assert_eq!(net.holders(), 1);
        test(net).await;
    });
}

#[test]
fn three_members_agree_who_calls_the_roll_and_tell_operators() {
    run(|net| async move {
        let reply = order(
            &net.memory,
            &net.clock,
            "at-1",
            &OperatorRequest::Status,
            900.0,
        )
        .await
        .expect("it answers");
        let Reply::Status(status) = reply else {
            panic!("{reply:?}")
        };
        assert!(
            status.majority && status.voters.iter().all(|v| v.votes),
            "{status:?}"
        );
        assert_eq!(status.leases.len(), 1);
        net.wait(20_000.0).await;
        assert_eq!(net.holders(), 1);
        let lost = |m: &Member| m.counts().get("leases over").copied().unwrap_or_default();
        assert_eq!(net.members.iter().map(lost).sum::<u64>(), 0);
    });
}

#[test]
fn a_full_disk_keeps_a_voter_silent_and_the_others_agree() {
    run(|net| async move {
        net.files[0].fail(true);
        let hold = OperatorRequest::HoldLease {
            lease_name: LeaseName::from("job"),
            job: 7,
        };
        let mut held = false;
        for _ in 0..20 {
            let reply = order(&net.memory, &net.clock, "at-1", &hold, 900.0)
                .await
                .expect("it answers");
            held |= matches!(reply, Reply::Holds { term: Some(_), .. });
            net.wait(50.0).await;
        }
        assert!(held, "two of three are a majority");
        assert!(net.members[0].counts()["saves failed"] >= 1);
        // With two disks full no command is chosen.
        net.files[1].fail(true);
        net.wait(3_000.0).await;
        assert_eq!(net.holders(), 0, "no lease is renewed");
        net.files[0].fail(false);
        net.wait(4_000.0).await;
        assert!(net.holders() >= 1);
    });
}

#[test]
fn strangers_and_noise_are_dropped_and_counted() {
    run(|mut net| async move {
        // A dispatcher of another fleet at a known address.
        let stranger = net.start("other", 7, File::default()).await;
        net.wait(2_000.0).await;
        assert!(stranger.held().is_empty());
        let dropped = || net.members.iter().map(Driver::dropped).sum::<u64>();
        let strange = dropped();
        assert!(strange >= 1, "it was refused");
        // Bytes that are nothing, and a call that says nothing.
        let mut noise = net.memory.connect("at-0").await.expect("it listens");
        noise
            .write_all(b"noise and nothing else, of some length\r\n\r\n")
            .await
            .expect("taken");
        let io = net.memory.connect("at-0").await.expect("it listens");
        let setup = Setup {
            party: v1::Party::Client,
            name: "x".to_owned(),
            expects: String::new(),
            run: 0,
            most_message: 1 << 20,
            most_calls: 1,
        };
        let mut session = connect(io, v1::Party::Fleet, setup)
            .await
            .expect("it greets");
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
            "{answer:?}"
        );
        net.wait(2_000.0).await;
        assert!(dropped() >= strange + 2, "{} and {strange}", dropped());
        assert_eq!(net.holders(), 1, "it goes on");
        let answer = ask(
            &net.memory,
            &net.clock,
            "at-0",
            &Question::VoterState,
            900.0,
        )
        .await;
        assert!(matches!(answer, Ok(Answer::VoterState(_))), "{answer:?}");
    });
}
