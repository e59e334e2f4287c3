//! A job of the operators runs under a lease, beside three members on connections in memory and a paused clock. Then
//! the voters' disks become slow. A renewal that is lost once, or disks that are always slow but answer in time, must
//! not end the work. When nothing renews the lease any more, the work must end before the lease is over: after that
//! another process may hold the lease, and the same work would run twice.

use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{FleetSettings, LocalHealth};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name, Term};
use cindercleat_fleet::acceptor_storage::{Disk, Memory as File};
use cindercleat_fleet::job::{Ended, Job, Work};
use cindercleat_fleet::{Dispatcher, Driver};
use cindercleat_net::{Clock, Memory, TokioClock, Transport};
use std::cell::{Cell, RefCell};
use std::future::{pending, Future};
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

const LEASE: f64 = 1000.0;
const ANSWER_WITHIN: f64 = 100.0;

/// A file whose writes take as long as the test says.
#[derive(Clone)]
struct SlowDisk {
    file: File,
    clock: TokioClock,
    write_takes: Rc<Cell<f64>>,
}

impl Disk for SlowDisk {
    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        self.file.read()
    }

    async fn replace(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.clock
            .sleep_until(self.clock.now() + self.write_takes.get())
            .await;
        self.file.replace(bytes).await
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

/// Work that goes on until it is ended, and notes when that was.
#[derive(Default)]
struct Endless {
    begun: Rc<RefCell<Vec<Term>>>,
    begins: Rc<Notify>,
    ended_by: Rc<Cell<Option<f64>>>,
}

impl Work for Endless {
    fn begin(&mut self, term: Term) -> io::Result<()> {
        self.begun.borrow_mut().push(term);
        self.begins.notify_one();
        Ok(())
    }

    fn ended(&mut self) -> io::Result<Option<bool>> {
        Ok(None)
    }

    async fn end(&mut self, by: f64) -> io::Result<()> {
        self.ended_by.set(Some(by));
        Ok(())
    }

    fn waits(&mut self, _: &str) {}
}

struct Net {
    memory: Memory,
    clock: TokioClock,
    write_takes: Rc<Cell<f64>>,
}

fn settings(at: usize) -> FleetSettings {
    let voter = |n: usize| {
        (
            Name::from(format!("d{n}").as_str()),
            Address::from(format!("at-{n}").as_str()),
        )
    };
    FleetSettings {
        fleet: "fleet".to_owned(),
        me: voter(at).0,
        incarnation: Incarnation(100 + at as u64),
        address: voter(at).1,
        zone: "z".to_owned(),
        label: "v1".to_owned(),
        voters: (0..3).map(voter).collect(),
        may_vote: true,
        lease: LeaseSettings {
            lease: LEASE,
            drift: 0.01,
        },
        answer_within: ANSWER_WITHIN,
        heartbeat: 200.0,
        preferred_zone: None,
        report_receivers: Vec::new(),
        report_interval: 200.0,
        bounds: Default::default(),
        keeper: None,
        seed: at as u64,
    }
}

/// Runs a test beside three members that vote.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let net = Net {
            memory,
            clock,
            write_takes: Rc::default(),
        };
        for at in 0..3 {
            let disk = SlowDisk {
                file: File::default(),
                clock: net.clock,
                write_takes: net.write_takes.clone(),
            };
            let member = Driver::new(
                settings(at),
                net.memory.clone(),
                net.clock,
                Some(disk),
                Rc::new(ReadyDispatcher),
            );
            let listener = net
                .memory
                .listen(&format!("at-{at}"))
                .await
                .expect("a name");
            spawn_local(async move { member.run(listener, pending()).await });
        }
        net.wait(2_000.0).await;
        test(net).await;
    });
}

impl Net {
    async fn wait(&self, ms: f64) {
        self.clock.sleep_until(self.clock.now() + ms).await;
    }

    /// A job at the first member, once it holds its lease; gives what stops it, and how it ends.
    async fn job(&self, work: Endless) -> (Rc<Notify>, tokio::task::JoinHandle<Ended>) {
        let (stop, begins) = (Rc::new(Notify::new()), work.begins.clone());
        let (stopped, memory, clock) = (stop.clone(), self.memory.clone(), self.clock);
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
            job.run(&mut work, stopped.notified())
                .await
                .expect("its work begins and ends")
        });
        begins.notified().await;
        (stop, job)
    }
}

#[test]
fn a_renewal_that_is_lost_once_does_not_end_the_work_at_whatever_part_of_the_lease() {
    for part in 0..20 {
        run(|net| async move {
            let work = Endless::default();
            let (begun, ended_by) = (work.begun.clone(), work.ended_by.clone());
            let (stop, job) = net.job(work).await;
            net.wait(LEASE * f64::from(part) / 20.0).await;
            // One write that comes too late for the proposer: the proposal that needs it is lost, the next is not.
            net.write_takes.set(1.5 * ANSWER_WITHIN);
            net.wait(0.5 * ANSWER_WITHIN).await;
            net.write_takes.set(0.0);
            net.wait(3.0 * LEASE).await;
            assert_eq!(ended_by.get(), None, "part {part}: the work goes on");
            stop.notify_one();
            assert_eq!(job.await.expect("it ends"), Ended::Stopped, "part {part}");
            assert_eq!(begun.borrow().len(), 1, "it began once");
        });
    }
}

/// Two writes of a voter, one behind the other, fit into the time of an answer: though two holders renew their leases at
/// the same voters, each does so in time, and the work goes on.
#[test]
fn disks_that_are_slow_for_good_do_not_end_the_work() {
    for part in [0.1, 0.2, 0.3, 0.4] {
        run(|net| async move {
            let work = Endless::default();
            let ended_by = work.ended_by.clone();
            let (stop, job) = net.job(work).await;
            net.write_takes.set(part * ANSWER_WITHIN);
            net.wait(10.0 * LEASE).await;
            assert_eq!(
                ended_by.get(),
                None,
                "writes that take {part} of an answer's time: the work goes on"
            );
            stop.notify_one();
            assert_eq!(job.await.expect("it ends"), Ended::Stopped);
        });
    }
}

#[test]
fn work_is_ended_before_its_lease_is_over_when_nothing_renews_it() {
    run(|net| async move {
        let work = Endless::default();
        let ended_by = work.ended_by.clone();
        let (_, job) = net.job(work).await;
        net.write_takes.set(f64::from(u32::MAX));
        let silent_since = net.clock.now();
        let ended = job.await.expect("it ends");
        assert!(matches!(ended, Ended::Lost(_)), "{ended:?}");
        let lost_after = net.clock.now() - silent_since;
        assert!(
            lost_after < 0.99 * LEASE,
            "told to end while the lease lasts: {lost_after}"
        );
        let by = ended_by.get().expect("the work was ended") - silent_since;
        assert!(
            by > lost_after && by < 0.99 * LEASE,
            "and killed while it lasts: {by}"
        );
    });
}
