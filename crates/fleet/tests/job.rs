//! Tests of an operator's job under a lease, with three members, connections in memory and a paused clock.
//!
//! In these tests the voters' disks become slow. The work must not end because of one lost renewal, or while all writes
//! are slow but complete in time. When the lease is no longer renewed, the work has to end before the lease expires:
//! after that another process may hold the lease, and the same work would run twice.

use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{FleetSettings, LocalHealth};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name, Term};
use cindercleat_fleet::acceptor_storage::{FileStore, MemoryFile};
use cindercleat_fleet::job::{Job, JobOutcome, Work};
use cindercleat_fleet::{Dispatcher, Driver};
use cindercleat_net::{Clock, Memory, TokioClock, Transport};
use std::cell::{Cell, RefCell};
use std::future::{pending, Future};
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

const LEASE_MS: f64 = 1000.0;
const ANSWER_TIMEOUT_MS: f64 = 100.0;

/// A file in memory whose writes take `write_ms` milliseconds.
#[derive(Clone)]
struct SlowDisk {
    file: MemoryFile,
    clock: TokioClock,
    write_ms: Rc<Cell<f64>>,
}

impl FileStore for SlowDisk {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        self.file.read()
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.clock
            .sleep_until(self.clock.now() + self.write_ms.get())
            .await;
        self.file.replace(bytes).await
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

/// Work that runs until the job ends it.
#[derive(Default)]
struct EndlessWork {
    /// The terms in which the work was started.
    started_terms: Rc<RefCell<Vec<Term>>>,
    started: Rc<Notify>,
    /// The time by which the work was told to end.
    must_end_by: Rc<Cell<Option<f64>>>,
}

impl Work for EndlessWork {
    fn begin(&mut self, term: Term) -> io::Result<()> {
        self.started_terms.borrow_mut().push(term);
        self.started.notify_one();
        Ok(())
    }

    fn exit_status(&mut self) -> io::Result<Option<bool>> {
        Ok(None)
    }

    async fn end(&mut self, by: f64) -> io::Result<()> {
        self.must_end_by.set(Some(by));
        Ok(())
    }

    fn report_waiting(&mut self, _: &str) {}
}

struct TestFleet {
    memory: Memory,
    clock: TokioClock,
    write_ms: Rc<Cell<f64>>,
}

fn settings(index: usize) -> FleetSettings {
    let voter = |number: usize| {
        (
            Name::from(format!("d{number}").as_str()),
            Address::from(format!("at-{number}").as_str()),
        )
    };
    FleetSettings {
        fleet: "fleet".to_owned(),
        own_name: voter(index).0,
        incarnation: Incarnation(100 + index as u64),
        address: voter(index).1,
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        voters: (0..3).map(voter).collect(),
        may_vote: true,
        lease: LeaseSettings {
            lease: LEASE_MS,
            drift: 0.01,
        },
        request_timeout: ANSWER_TIMEOUT_MS,
        heartbeat: 200.0,
        preferred_zone: None,
        report_receivers: Vec::new(),
        report_interval: 200.0,
        disruption_budgets: Default::default(),
        drain_list_address: None,
        seed: index as u64,
    }
}

/// Starts three voting members and runs a test once they had time to elect a leader.
fn run<F: Future<Output = ()>>(test: impl FnOnce(TestFleet) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let fleet = TestFleet {
            memory,
            clock,
            write_ms: Rc::default(),
        };
        for index in 0..3 {
            let disk = SlowDisk {
                file: MemoryFile::default(),
                clock: fleet.clock,
                write_ms: fleet.write_ms.clone(),
            };
            let member = Driver::new(
                settings(index),
                fleet.memory.clone(),
                fleet.clock,
                Some(disk),
                Rc::new(ReadyDispatcher),
            );
            let listener = fleet
                .memory
                .listen(&format!("at-{index}"))
                .await
                .expect("the address is free");
            spawn_local(async move { member.run(listener, pending()).await });
        }
        fleet.wait(2_000.0).await;
        test(fleet).await;
    });
}

impl TestFleet {
    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    /// Starts a job at the first member and waits until its work has begun. Returns a handle that stops the job when it
    /// is notified, and the task of the job.
    async fn start_job(
        &self,
        work: EndlessWork,
    ) -> (Rc<Notify>, tokio::task::JoinHandle<JobOutcome>) {
        let (stop, started) = (Rc::new(Notify::new()), work.started.clone());
        let (stop_requested, memory, clock) = (stop.clone(), self.memory.clone(), self.clock);
        let job = spawn_local(async move {
            let addresses = ["at-0".to_owned()];
            let lease_name = LeaseName::from("nightly");
            let job = Job {
                transport: &memory,
                clock: &clock,
                addresses: &addresses,
                lease_name,
                number: 7,
            };
            let mut work = work;
            job.run(&mut work, stop_requested.notified())
                .await
                .expect("the work starts and ends")
        });
        started.notified().await;
        (stop, job)
    }
}

#[test]
fn one_lost_renewal_at_any_point_of_the_lease_does_not_end_the_work() {
    for twentieths in 0..20 {
        run(|fleet| async move {
            let work = EndlessWork::default();
            let (started_terms, must_end_by) =
                (work.started_terms.clone(), work.must_end_by.clone());
            let (stop, job) = fleet.start_job(work).await;
            fleet.wait(LEASE_MS * f64::from(twentieths) / 20.0).await;
            // For half of the answer timeout, each write takes longer than that timeout. A proposal that needs such a
            // write fails, and the next proposal succeeds.
            fleet.write_ms.set(1.5 * ANSWER_TIMEOUT_MS);
            fleet.wait(0.5 * ANSWER_TIMEOUT_MS).await;
            fleet.write_ms.set(0.0);
            fleet.wait(3.0 * LEASE_MS).await;
            assert_eq!(
                must_end_by.get(),
                None,
                "renewal lost after {twentieths}/20 of the lease: the work continues"
            );
            stop.notify_one();
            assert_eq!(
                job.await.expect("the job ends"),
                JobOutcome::Stopped,
                "renewal lost after {twentieths}/20 of the lease: the job ends only when it is stopped"
            );
            assert_eq!(started_terms.borrow().len(), 1, "the work began once");
        });
    }
}

/// Two consecutive writes of a voter fit into the answer timeout. Two holders that renew their leases with the same
/// voters therefore both succeed in time, and the work continues.
#[test]
fn permanently_slow_disks_do_not_end_the_work() {
    for fraction in [0.1, 0.2, 0.3, 0.4] {
        run(|fleet| async move {
            let work = EndlessWork::default();
            let must_end_by = work.must_end_by.clone();
            let (stop, job) = fleet.start_job(work).await;
            fleet.write_ms.set(fraction * ANSWER_TIMEOUT_MS);
            fleet.wait(10.0 * LEASE_MS).await;
            assert_eq!(
                must_end_by.get(),
                None,
                "writes take {fraction} of the answer timeout: the work continues"
            );
            stop.notify_one();
            assert_eq!(job.await.expect("the job ends"), JobOutcome::Stopped);
        });
    }
}

#[test]
fn work_ends_before_its_lease_expires_if_the_lease_is_not_renewed() {
    run(|fleet| async move {
        let work = EndlessWork::default();
        let must_end_by = work.must_end_by.clone();
        let (_, job) = fleet.start_job(work).await;
        fleet.write_ms.set(f64::from(u32::MAX));
        let disks_stopped_at = fleet.clock.now();
        let outcome = job.await.expect("the job ends");
        assert!(
            matches!(outcome, JobOutcome::Lost(_)),
            "the job ends as its lease was not renewed: {outcome:?}"
        );
        let lost_after = fleet.clock.now() - disks_stopped_at;
        assert!(
            lost_after < 0.99 * LEASE_MS,
            "the work is told to end {lost_after} ms after the disks stopped, before the lease expires"
        );
        let killed_after = must_end_by.get().expect("the work was ended") - disks_stopped_at;
        assert!(
            killed_after > lost_after && killed_after < 0.99 * LEASE_MS,
            "the work is killed {killed_after} ms after the disks stopped, before the lease expires"
        );
    });
}
