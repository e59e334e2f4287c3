//! Plays a day: stand-ins on this thread, each dispatcher on one of its own, everything over loopback sockets;
//! then the audit, from what the stand-ins saw.

use crate::serve::{block_on, Thread};
use cindercleat::interface::Ms;
use cindercleat_dispatcher::driver::Locations;
use cindercleat_faults::fleet::{befall, name, End, Fleet, Processes};
use cindercleat_faults::plan::{rules, Day};
use cindercleat_net::{Clock, Tcp, TokioClock};
use cindercleat_standin::audit::{audit, Findings};
use cindercleat_standin::client::{Clients, Tally};
use cindercleat_standin::transcript::{Note, Record, Transcript};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::task::spawn_local;

/// For the way between two ends on this machine, busy as it may be, in the audit's bounds.
const SLACK: Ms = 250.0;

/// What came of a day.
#[derive(Debug, Serialize)]
pub struct Report {
    pub day: String,
    pub seed: u64,
    pub seconds: f64,
    pub dispatchers: u32,
    #[serde(rename = "hosts")]
    pub engines: usize,
    pub faults: BTreeMap<&'static str, usize>,
    #[serde(rename = "profiles")]
    pub request_classes: BTreeMap<String, Row>,
    pub payoff_in_time: f64,
    /// Processor time of all dispatchers together for each try, in milliseconds.
    pub cpu_ms_a_try: f64,
    #[serde(flatten)]
    pub findings: Findings,
}

#[derive(Debug, Serialize)]
pub struct Row {
    #[serde(rename = "tasks")]
    pub requests: u64,
    pub tries: u64,
    #[serde(rename = "fulfilled")]
    pub succeeded: u64,
    pub in_time: u64,
    #[serde(rename = "bounced")]
    pub rejected: u64,
    #[serde(rename = "written_off")]
    pub failed: u64,
    pub left: u64,
    pub cut: u64,
    pub unsent: u64,
    pub tokens: u64,
    pub first_token_ms: [f64; 2],
    pub gap_ms: [f64; 2],
}

impl Row {
    fn new(t: &Tally) -> Self {
        let at = |h: &hdrhistogram::Histogram<u64>| {
            [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
        };
        Row {
            requests: t.requests,
            tries: t.tries,
            succeeded: t.succeeded,
            in_time: t.in_time,
            rejected: t.rejected,
            failed: t.failed,
            left: t.left,
            cut: t.cut,
            unsent: t.unsent,
            tokens: t.tokens,
            first_token_ms: at(&t.first_token),
            gap_ms: at(&t.gap),
        }
    }
}

impl Report {
    pub fn kept(&self) -> bool {
        self.findings.breaches.is_empty()
    }

    /// One table for people.
    pub fn table(&self) -> String {
        let mut out = format!(
            "day {} (seed {}): {:.1} s, {} dispatchers, {} hosts; simulated hosts and clients\n",
            self.day, self.seed, self.seconds, self.dispatchers, self.engines
        );
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(name, n)| format!("{name} {n}"))
            .collect();
        out += &format!(
            "faults: {}\n",
            if faults.is_empty() {
                "none".to_owned()
            } else {
                faults.join(", ")
            }
        );
        out += &format!(
            "{:<16}{:>7}{:>7}{:>10}{:>9}{:>9}{:>9}{:>6}{:>6}{:>7}  first token p50/p99 ms   gap p50/p99 ms\n",
            "profile",
            "tasks",
            "tries",
            "fulfilled",
            "in time",
            "bounced",
            "writ.off",
            "left",
            "cut",
            "unsent"
        );
        for (name, r) in &self.request_classes {
            out += &format!(
                "{:<16}{:>7}{:>7}{:>10}{:>9}{:>9}{:>9}{:>6}{:>6}{:>7}  {:>10.1} / {:<10.1} {:>7.1} / {:.1}\n",
                name,
                r.requests,
                r.tries,
                r.succeeded,
                r.in_time,
                r.rejected,
                r.failed,
                r.left,
                r.cut,
                r.unsent,
                r.first_token_ms[0],
                r.first_token_ms[1],
                r.gap_ms[0],
                r.gap_ms[1]
            );
        }
        let c = &self.findings.cases;
        out += &format!(
            "payoff in time: {:.3} of what was asked\n",
            self.payoff_in_time
        );
        out += &format!(
            "processor time of dispatchers: {:.3} ms a try\n",
            self.cpu_ms_a_try
        );
        out += &format!(
            "audit: {} tries with {} final answers, {} launches, {} at-most-once runs, {} drains told, {} launches \
             at cold hosts, {} read states\n",
            c.tries, c.finals, c.attempts, c.at_most_once_runs, c.drains, c.cold_attempts, c.states
        );
        for breach in self.findings.breaches.iter().take(20) {
            out += &format!(
                "BREACH {:?} at {:.0}: {}\n",
                breach.rule, breach.at, breach.what
            );
        }
        out += &format!("rules: {}\n", if self.kept() { "kept" } else { "BROKEN" });
        out
    }
}

pub type TcpFleet = Fleet<Tcp, TokioClock>;

/// Starts a day's stand-ins on loopback ports of the system's choice.
///
/// # Errors
/// No port can be had.
pub async fn start_fleet(day: &Day) -> io::Result<TcpFleet> {
    let place = |_: &str, _: &str| (Tcp, "127.0.0.1:0".to_owned());
    Fleet::start(day, place, TokioClock::system(), Transcript::default()).await
}

/// The dispatchers of a day, by number.
pub struct Dispatchers {
    day: Day,
    fleet: Rc<TcpFleet>,
    keep: PathBuf,
    addresses: Vec<String>,
    running: RefCell<Vec<Option<Thread>>>,
    cpu: RefCell<f64>,
    starts: RefCell<u64>,
}

impl Dispatchers {
    /// Starts them all, and waits until each follows the list. `keep`: a folder for their lists.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(day: &Day, fleet: Rc<TcpFleet>, keep: PathBuf) -> io::Result<Rc<Self>> {
        let dispatchers = Dispatchers {
            day: day.clone(),
            fleet,
            keep,
            addresses: Vec::new(),
            running: RefCell::default(),
            cpu: RefCell::new(0.0),
            starts: RefCell::new(0),
        };
        let (mut addresses, mut running) = (Vec::new(), Vec::new());
        for at in 0..day.dispatchers {
            let thread = dispatchers.start_dispatcher(at, "127.0.0.1:0").await?;
            addresses.push(thread.address.clone());
            running.push(Some(thread));
        }
        let dispatchers = Dispatchers {
            addresses,
            running: RefCell::new(running),
            ..dispatchers
        };
        let fleet = &dispatchers.fleet;
        while fleet.feed.followers() < day.dispatchers as usize {
            fleet.clock.sleep_until(fleet.clock.now() + 5.0).await;
        }
        Ok(Rc::new(dispatchers))
    }

    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    async fn start_dispatcher(&self, at: u32, listen: &str) -> io::Result<Thread> {
        *self.starts.borrow_mut() += 1;
        let run = self
            .day
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(*self.starts.borrow());
        let zone = at % self.day.service.zones.len() as u32;
        let name = name(at);
        let settings = self
            .day
            .service
            .dispatcher(&name, zone, (at, self.day.dispatchers), run);
        let feeds = vec![self.fleet.feed_address.clone()];
        let peers = self
            .addresses
            .iter()
            .enumerate()
            .map(|(i, a)| (i as u32, a.clone()))
            .collect();
        let locations = Locations {
            discovery: feeds,
            endpoint_cache: Some(self.keep.join(format!("{name}.list"))),
            peers,
        };
        Thread::start(settings, locations, listen, self.fleet.clock, run).await
    }

    /// Ends all in order; gives their processor time, in milliseconds.
    pub async fn stop(&self) -> f64 {
        for at in 0..self.day.dispatchers {
            self.end(at, End::Stop).await;
        }
        *self.cpu.borrow()
    }
}

impl Processes for Dispatchers {
    async fn end(&self, at: u32, how: End) {
        let thread = self
            .running
            .borrow_mut()
            .get_mut(at as usize)
            .and_then(Option::take);
        let Some(thread) = thread else { return };
        if how == End::Kill {
            let name: Rc<str> = Rc::from(name(at));
            self.fleet
                .transcript
                .note(self.fleet.clock.now(), &name, Note::Killed);
        }
        let cpu = thread.end(how).await;
        *self.cpu.borrow_mut() += cpu;
    }

    async fn again(&self, at: u32) -> io::Result<()> {
        let address = self.addresses[at as usize].clone();
        let thread = self.start_dispatcher(at, &address).await?;
        self.running.borrow_mut()[at as usize] = Some(thread);
        Ok(())
    }

    fn step_clock(&self, _: u32, _: Ms) {}
}

/// Plays a day to its end.
///
/// # Errors
/// Ports, files or threads cannot be had.
pub fn play(day: &Day) -> io::Result<(Report, Vec<Record>)> {
    let keep = std::env::temp_dir().join(format!(
        "cindercleat-day-{}-{}",
        std::process::id(),
        fresh()
    ));
    std::fs::create_dir_all(&keep)?;
    let played = block_on(play_in(day, keep.clone()));
    let _ = std::fs::remove_dir_all(keep);
    played
}

/// A number that no other call in this process gets.
fn fresh() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

async fn play_in(day: &Day, keep: PathBuf) -> io::Result<(Report, Vec<Record>)> {
    let fleet = Rc::new(start_fleet(day).await?);
    let dispatchers = Dispatchers::start(day, fleet.clone(), keep).await?;
    let (clock, transcript) = (fleet.clock, fleet.transcript.clone());
    let clients = Clients::new(
        day.habits.clone(),
        dispatchers.addresses(),
        (Tcp, clock, transcript.clone()),
        day.seed,
    );
    let begin = clock.now();
    let troubles: Vec<_> = day
        .faults
        .iter()
        .map(|fault| {
            let (fleet, clients, dispatchers) =
                (fleet.clone(), clients.clone(), dispatchers.clone());
            spawn_local(befall(
                fault.clone(),
                begin,
                fleet,
                clients,
                dispatchers,
                None,
            ))
        })
        .collect();
    clients.clone().run().await;
    for trouble in troubles {
        trouble.await.map_err(io::Error::other)??;
    }
    // What would stay pinned shows itself.
    let holds = day
        .engines
        .iter()
        .map(|h| h.hold)
        .fold(day.service.policy.kv_state_timeout, f64::max);
    clock.sleep_until(clock.now() + holds + SLACK).await;
    let seconds = (clock.now() - begin) / 1000.0;
    let cpu = dispatchers.stop().await;
    let records = transcript.records();
    let findings = audit(&records, &rules(day, SLACK));
    let tallies = clients.tallies();
    let worth = |of: fn(&Tally) -> u64| {
        let all = day.habits.traffic.iter();
        all.map(|t| t.priority_weight * tallies.get(&t.request_class).map_or(0, of) as f64)
            .sum::<f64>()
    };
    let mut faults = BTreeMap::new();
    for fault in &day.faults {
        *faults.entry(fault.trouble.name()).or_default() += 1;
    }
    let tries: u64 = tallies.values().map(|t| t.tries).sum();
    let report = Report {
        day: day.name.clone(),
        seed: day.seed,
        seconds,
        dispatchers: day.dispatchers,
        engines: day.engines.len(),
        faults,
        request_classes: tallies
            .iter()
            .map(|(name, t)| (name.clone(), Row::new(t)))
            .collect(),
        payoff_in_time: worth(|t| t.in_time) / worth(|t| t.requests).max(1.0),
        cpu_ms_a_try: cpu / tries.max(1) as f64,
        findings,
    };
    Ok((report, records))
}
