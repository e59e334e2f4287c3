//! Drills: several processes of the program itself on loopback, joined through relays, with signals and cuts at drawn
//! instants. The judge reads what receivers of acts obeyed, and what the relays carried; never what a process says.

mod relay;
pub mod release;

pub use relay::{Way, Ways};

use crate::duties::{Breach, Judge};
use cindercleat::coordination::fencing::{FencingDecision, Receiver};
use cindercleat::coordination::member::{Answer, MemberRequest};
use cindercleat::coordination::Incarnation;
use cindercleat::interface::Ms;
use cindercleat_fleet::codec::{answer_to_proto, request_from_proto};
use cindercleat_grpc::{serve, Event, Session, Setup};
use cindercleat_protocol::{frame, v1, Body, Frame};
use cindercleat_standin::transcript::Note;
use nanorand::{Rng, WyRand};
use rustix::process::{kill_process, Pid, Signal};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// What can go wrong in a drill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// SIGKILL; started again when the trouble is over.
    Kill,
    /// SIGTERM; started again when the trouble is over.
    Stop,
    /// SIGSTOP, and SIGCONT when it is over.
    Sleep,
    /// Nothing passes from it, to it, or both.
    Cut {
        out: bool,
        back: bool,
    },
    /// The same with the voters alone, or with the receivers alone.
    CutFromVoters,
    CutFromReceivers,
    /// Its connections are reset.
    Reset,
    /// All that it says comes later.
    Delay(Ms),
    HandOver,
    /// Its file is taken away, or one of some seconds before is put back, while it is killed.
    FileLost,
    FileOld,
    /// Its file's folder cannot be written.
    DiskFull,
    /// Seven of ten processes are killed at once, the holder among them; all voters; all.
    KillMany,
    KillVoters,
    KillAll,
    /// Voters in two halves, by their numbers.
    Halves,
}

impl Trouble {
    pub const NAMES: [(&'static str, Trouble); 18] = [
        ("kill", Trouble::Kill),
        ("stop", Trouble::Stop),
        ("sleep", Trouble::Sleep),
        (
            "cut-off",
            Trouble::Cut {
                out: true,
                back: true,
            },
        ),
        (
            "cut-out",
            Trouble::Cut {
                out: true,
                back: false,
            },
        ),
        (
            "cut-back",
            Trouble::Cut {
                out: false,
                back: true,
            },
        ),
        ("cut-from-voters", Trouble::CutFromVoters),
        ("cut-from-receivers", Trouble::CutFromReceivers),
        ("reset", Trouble::Reset),
        ("delay", Trouble::Delay(40.0)),
        ("hand-over", Trouble::HandOver),
        ("file-lost", Trouble::FileLost),
        ("file-old", Trouble::FileOld),
        ("disk-full", Trouble::DiskFull),
        ("kill-many", Trouble::KillMany),
        ("kill-voters", Trouble::KillVoters),
        ("kill-all", Trouble::KillAll),
        ("halves", Trouble::Halves),
    ];

    pub fn name(self) -> &'static str {
        let same = |other: &Trouble| std::mem::discriminant(other) == std::mem::discriminant(&self);
        let exact = Self::NAMES.iter().find(|(_, t)| *t == self);
        exact
            .or(Self::NAMES.iter().find(|(_, t)| same(t)))
            .map_or("?", |(name, _)| name)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Holder,
    Process(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spell {
    pub begin: Ms,
    pub lasts: Ms,
    pub who: Who,
    pub trouble: Trouble,
}

/// A drill.
#[derive(Clone, Debug)]
pub struct Drill {
    pub name: String,
    pub seed: u64,
    pub voters: usize,
    pub members: usize,
    pub receivers: usize,
    pub lease: Ms,
    pub length: Ms,
    /// Troubles of the script, and how many more are drawn.
    pub spells: Vec<Spell>,
    pub drawn: usize,
    pub release: Option<release::Release>,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub breaches: Vec<Breach>,
    pub story: Vec<String>,
    pub obeyed: u64,
    pub terms: u64,
    pub refused: BTreeMap<&'static str, u64>,
    pub troubles: BTreeMap<&'static str, u64>,
    /// From a trouble that hit the holder to the next act of another term, by its name.
    pub without: BTreeMap<&'static str, Vec<Ms>>,
    pub bytes: u64,
    pub connections: u64,
    pub released: Option<release::Released>,
}

/// Troubles and what is beyond them.
const FROM: Ms = 2_500.0;
/// After the last trouble somebody is to act within this many leases and a second for starting.
const SETTLES_WITHIN: f64 = 6.0;

impl Drill {
    /// The troubles of the script and those drawn from the seed, leaning towards each other and towards a lease's
    /// end.
    pub fn all(&self) -> Vec<Spell> {
        let mut rng = WyRand::new_seed(self.seed);
        let mut all = self.spells.clone();
        let room = (self.length - FROM - (SETTLES_WITHIN + 4.0) * self.lease - 1_000.0).max(0.0);
        let mut files = (self.voters - 1) / 2;
        for _ in 0..self.drawn {
            let chance: f64 = rng.generate();
            let begin = match all.is_empty() || chance < 0.4 {
                true => FROM + rng.generate::<f64>() * room,
                false => {
                    let other = all[rng.generate_range(0..all.len())];
                    let steps = [0.0, 0.003, 0.05, 0.33, 0.66, 0.95, 0.99, 1.0, 1.02, 1.1];
                    let step = self.lease * steps[rng.generate_range(0..steps.len())];
                    (other.begin + step + 3.0 * rng.generate::<f64>()).min(FROM + room)
                }
            };
            let spans = [0.1, 0.5, 0.95, 1.0, 1.05, 1.3, 2.0, 3.0];
            let lasts = self.lease * spans[rng.generate_range(0..spans.len())];
            let (_, mut trouble) = Trouble::NAMES[rng.generate_range(0..Trouble::NAMES.len())];
            let voter = Who::Process(rng.generate_range(0..self.voters));
            let any = Who::Process(rng.generate_range(0..self.members));
            let mut who = if rng.generate::<f64>() < 0.6 {
                Who::Holder
            } else {
                any
            };
            match trouble {
                Trouble::FileLost | Trouble::FileOld if files == 0 => trouble = Trouble::Kill,
                Trouble::FileLost | Trouble::FileOld => {
                    files -= 1;
                    who = voter;
                }
                Trouble::DiskFull => who = voter,
                _ => {}
            }
            all.push(Spell {
                begin,
                lasts,
                who,
                trouble,
            });
        }
        all.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        all
    }
}

/// A process of the program.
struct Process {
    name: String,
    settings: PathBuf,
    file: Option<PathBuf>,
    folder: PathBuf,
    /// Where it listens, behind the relay: operators' calls are not cut.
    listens: String,
    child: Option<Child>,
    /// The file as it was some seconds before.
    before: Option<Vec<u8>>,
    /// Its settings but for what goes with its label, and its label.
    text: String,
    label: String,
    /// What it tells its supervisor, and how much of it was read.
    told: PathBuf,
    read: usize,
    /// It has its turn and has not ended yet; it had it and was not in since.
    turning: bool,
    planned: bool,
    asleep: bool,
    /// A trouble ended it: it comes back when that is over.
    by_trouble: bool,
    again_at: Option<Ms>,
    out_since: Option<Ms>,
    in_since: Option<Ms>,
}

impl Process {
    fn signal(&self, what: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(i32::try_from(c.id()).ok()?));
        if let Some(pid) = pid {
            // It may have ended by itself.
            let _ = kill_process(pid, what);
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; either way it is waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&mut self, program: &Path) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let append = |path: &Path| {
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
        };
        let (log, told) = (append(&self.folder.join("log"))?, append(&self.told)?);
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(told)
            .stderr(log);
        self.child = Some(command.spawn()?);
        (self.turning, self.asleep, self.by_trouble) = (false, false, false);
        Ok(())
    }

    /// Whether its process is there.
    fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Lines that it told since the last look.
    fn new_lines(&mut self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.told).unwrap_or_default();
        let new = text.get(self.read..).unwrap_or_default();
        let whole = new.rfind('\n').map_or(0, |at| at + 1);
        self.read += whole;
        new[..whole].lines().map(str::to_owned).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// What receivers and the judge share.
struct Seen {
    begin: Instant,
    judge: Judge,
    report: Report,
    open: Option<(&'static str, Ms, u64)>,
}

impl Seen {
    fn now(&self) -> Ms {
        self.begin.elapsed().as_secs_f64() * 1000.0
    }
}

/// Where a drill is played.
pub struct Place<'a> {
    pub program: &'a Path,
    /// An empty folder, for settings, files and logs.
    pub folder: &'a Path,
    /// The part of a settings file that is the same for all: zones, request classes, kinds, limits.
    pub service: &'a str,
}

/// Plays a drill.
///
/// # Errors
/// Ports or files cannot be had, or the program does not start.
pub async fn play(drill: &Drill, place: &Place<'_>) -> io::Result<Report> {
    let ways = Ways::default();
    let seen = Rc::new(RefCell::new(Seen {
        begin: Instant::now(),
        judge: Judge::default(),
        report: Report::default(),
        open: None,
    }));
    let mut tells = Vec::new();
    for at in 0..drill.receivers {
        let behind = receiver(at, drill, seen.clone()).await?;
        tells.push(ways.relay(drill.members + at, behind).await?);
    }
    let processes = Rc::new(RefCell::new(Vec::new()));
    let (mut around, mut keeper) = (None, None);
    if let Some(release) = &drill.release {
        let fleet = release::start_fleet(&release.day).await?;
        let (release, seen, processes) = (release.clone(), seen.clone(), processes.clone());
        let new = release::Around::new(release, fleet, seen, processes, drill.lease, place.program);
        let behind = new.keep().await?;
        keeper = Some(ways.relay(drill.members + drill.receivers, behind).await?);
        around = Some(new);
    }
    let mut ports = Vec::new();
    for at in 0..drill.members {
        // A port of its own, taken and let go for the process, on an address that no other drill has.
        let from = loopback_of(at);
        let accepted = [
            TcpListener::bind((from, 0)).await?,
            TcpListener::bind((from, 0)).await?,
        ];
        let [own, fleet] = accepted.map(|l| l.local_addr().map(|a| a.to_string()));
        let (own, fleet) = (own?, fleet?);
        let known = ways.relay(at, fleet.clone()).await?;
        ports.push((own, fleet, known));
    }
    for at in 0..drill.members {
        let folder = place.folder.join(format!("d{at}"));
        std::fs::create_dir_all(&folder)?;
        let from = loopback_of(at);
        ways.is_at(at, from);
        let file = (at < drill.voters).then(|| folder.join("voter"));
        let settings = folder.join("settings.conf");
        let keeper = keeper.as_deref();
        let text = settings_of(
            drill,
            place.service,
            at,
            &ports,
            from,
            file.as_deref(),
            &tells,
            keeper,
        );
        let label = "v1".to_owned();
        let written = around
            .as_ref()
            .map_or_else(|| plain(&text), |around| around.text(&text, &label));
        std::fs::write(&settings, written)?;
        let listens = ports[at].1.clone();
        let (name, told) = (format!("d{at}"), folder.join("told"));
        processes.borrow_mut().push(Process {
            name,
            settings,
            file,
            folder,
            listens,
            child: None,
            before: None,
            text,
            label,
            told,
            read: 0,
            turning: false,
            planned: false,
            asleep: false,
            by_trouble: false,
            again_at: None,
            out_since: None,
            in_since: None,
        });
    }
    for process in processes.borrow_mut().iter_mut() {
        process.start(place.program)?;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for process in processes.borrow_mut().iter_mut() {
        if let Some(status) = process
            .child
            .as_mut()
            .map(Child::try_wait)
            .transpose()?
            .flatten()
        {
            let log = std::fs::read_to_string(process.folder.join("log")).unwrap_or_default();
            return Err(io::Error::other(format!(
                "{} ended at once ({status}): {log}",
                process.name
            )));
        }
    }
    let mut jobs = Vec::new();
    if let Some(around) = &around {
        jobs.push(spawn_local(around.clone().supervise()));
        let own: Vec<String> = ports.iter().map(|(own, ..)| own.clone()).collect();
        around.clients(&own, drill.seed);
        jobs.extend(around.operate(place.folder)?);
    }
    let mut playing = Playing {
        drill,
        place,
        ways: ways.clone(),
        processes: processes.clone(),
        seen: seen.clone(),
        around: around.clone(),
    };
    let last = playing.troubles().await?;
    drop(playing);
    let ended = around.map(|around| around.end());
    jobs.iter().for_each(|job| job.abort());
    processes.borrow_mut().clear();
    let mut seen = seen.borrow_mut();
    let mut report = std::mem::take(&mut seen.report);
    let mut judge = std::mem::take(&mut seen.judge);
    judge.settled(
        last,
        drill.length,
        SETTLES_WITHIN * drill.lease + 1_000.0,
        true,
    );
    (report.terms, report.story, report.breaches) = (judge.terms(), judge.story, judge.breaches);
    report.bytes = (0..drill.members).map(|at| ways.bytes_from(at)).sum();
    report.connections = ways.connections();
    if let Some((released, breaches)) = ended {
        report.breaches.extend(breaches);
        report.released = Some(released);
    }
    Ok(report)
}

/// The loopback address of a process: drills side by side have others.
fn loopback_of(at: usize) -> IpAddr {
    let drill = std::process::id();
    let [.., high, low] = drill.to_be_bytes();
    // 127.0.x.x is everybody's.
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, 10 + at as u8))
}

#[allow(clippy::too_many_arguments)]
fn settings_of(
    drill: &Drill,
    service: &str,
    at: usize,
    ports: &[(String, String, String)],
    from: IpAddr,
    file: Option<&Path>,
    tells: &[String],
    keeper: Option<&str>,
) -> String {
    let (own, fleet, known) = &ports[at];
    let mut out = format!(
        "name d{at}\nnumber {at} of {}\nzone z{}\nlisten {own}\n",
        drill.members,
        at % 3
    );
    out += "list-feed {feed}\n";
    out += service;
    out += &format!("\nfleet\n    listen {fleet}\n    address {known}\n    from {from}\n");
    out += &format!(
        "    lease {}ms\n    drift 0.01\n    beat {}ms\n",
        drill.lease,
        drill.lease / 5.0
    );
    if let Some(file) = file {
        out += &format!("    file {}\n", file.display());
    }
    for (voter, (_, _, known)) in ports.iter().enumerate().take(drill.voters) {
        out += &format!("    voter d{voter} {known}\n");
    }
    for tell in tells {
        out += &format!("    tell {tell}\n");
    }
    if let (Some(keeper), Some(release)) = (keeper, &drill.release) {
        out += &format!("    keeper {keeper}\n{}", release.bounds_text);
    }
    out += "    label {label}\n    tell-every 10ms\nend\n";
    out
}

/// Without a release nobody tells a list: what is drilled does not need one.
fn plain(text: &str) -> String {
    text.replace("{feed}", "127.0.0.1:9")
        .replace("{label}", "v1")
}

/// A receiver of acts: listens, obeys or refuses, and tells the judge.
async fn receiver(at: usize, drill: &Drill, seen: Rc<RefCell<Seen>>) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let receiver = Receiver::new(
        Incarnation(drill.seed.wrapping_mul(31).wrapping_add(at as u64 + 1)),
        0.01,
    );
    let receiver = Rc::new(RefCell::new(receiver));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (receiver, seen) = (receiver.clone(), seen.clone());
            spawn_local(async move {
                let setup = Setup {
                    party: v1::Party::Fleet,
                    // Receivers answer under the fleet's name, as its members do.
                    name: "fleet".to_owned(),
                    expects: String::new(),
                    run: 0,
                    max_message_bytes: 1 << 20,
                    max_concurrent_calls: 64,
                };
                // A socket that is gone already is found so by what follows.
                let _ = stream.set_nodelay(true);
                let Ok(Session {
                    mut events, out, ..
                }) = serve(stream, setup).await
                else {
                    return;
                };
                while let Some(event) = events.recv().await {
                    let Event::Frame(Frame {
                        stream,
                        body: Some(Body::FleetCall(said)),
                    }) = event
                    else {
                        continue;
                    };
                    let Some(MemberRequest::FencedCommand(act)) = request_from_proto(said) else {
                        continue;
                    };
                    let mut seen = seen.borrow_mut();
                    let now = seen.now();
                    let mut receiver = receiver.borrow_mut();
                    let verdict = receiver.receive(now, &act);
                    let receiver_timestamp = receiver.receiver_timestamp(now);
                    seen.saw(at, now, &act, verdict);
                    let answer = answer_to_proto(&Answer::FencingDecision {
                        verdict,
                        receiver_timestamp,
                    });
                    out.send(frame(stream, Body::FleetAnswer(answer)));
                }
            });
        }
    });
    Ok(address)
}

impl Seen {
    fn saw(
        &mut self,
        by: usize,
        now: Ms,
        act: &cindercleat::coordination::fencing::FencedCommand,
        verdict: FencingDecision,
    ) {
        let refused = match verdict {
            FencingDecision::Executed => {
                self.judge.obeyed(now, by, act);
                self.report.obeyed += 1;
                if let Some((name, since, term)) = self.open {
                    if act.term.0 > term {
                        self.report
                            .without
                            .entry(name)
                            .or_default()
                            .push(now - since);
                        self.open = None;
                    }
                }
                return;
            }
            FencingDecision::StaleTerm => "old term",
            FencingDecision::Duplicate => "again",
            FencingDecision::TimestampMissing => "asked first",
            FencingDecision::LeaseExpired => "late",
        };
        *self.report.refused.entry(refused).or_default() += 1;
    }
}

struct Playing<'a> {
    drill: &'a Drill,
    place: &'a Place<'a>,
    ways: Ways,
    processes: Rc<RefCell<Vec<Process>>>,
    seen: Rc<RefCell<Seen>>,
    around: Option<Rc<release::Around>>,
}

impl Playing<'_> {
    async fn until(&self, at: Ms) {
        let begin = self.seen.borrow().begin;
        let at = begin + Duration::from_secs_f64(at.max(0.0) / 1000.0);
        tokio::time::sleep_until(at.into()).await;
    }

    /// Plays all troubles to the drill's end; when the last was over.
    async fn troubles(&mut self) -> io::Result<Ms> {
        let spells = self.drill.all();
        // Begins and ends in their order; who is hit is known when it begins.
        let mut steps: Vec<(Ms, usize, bool)> = Vec::new();
        for (at, spell) in spells.iter().enumerate() {
            steps.push((spell.begin, at, true));
            steps.push((spell.begin + spell.lasts, at, false));
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut hit: BTreeMap<usize, usize> = BTreeMap::new();
        let mut last = FROM;
        let mut kept_files = 0.0;
        for (when, at, begins) in steps {
            // Copies of files for those that get an old one back.
            while when - kept_files > 1_500.0 {
                kept_files += 1_500.0;
                self.until(kept_files).await;
                for process in self.processes.borrow_mut().iter_mut() {
                    if let Some(file) = process.file.as_ref().filter(|_| process.before.is_none()) {
                        process.before = std::fs::read(file).ok();
                    }
                }
            }
            self.until(when).await;
            if begins {
                let who = self.begin(&spells[at]).await;
                hit.insert(at, who);
            } else if let Some(who) = hit.remove(&at) {
                self.end(&spells[at], who)?;
            }
            last = self.seen.borrow().now();
        }
        self.until(self.drill.length).await;
        Ok(last)
    }

    fn holder(&self) -> Option<usize> {
        let seen = self.seen.borrow();
        let name = &seen.judge.holder()?.name.0;
        self.processes
            .borrow()
            .iter()
            .position(|p| *p.name == **name)
    }

    fn cut(&self, who: usize, ways: (bool, bool), on: bool, others: impl Fn(usize) -> bool) {
        let hold = |way: &mut Way| {
            way.held = if on {
                way.held + 1
            } else {
                way.held.saturating_sub(1)
            }
        };
        let keeper = usize::from(self.drill.release.is_some());
        let ends = self.drill.members + self.drill.receivers + keeper;
        for other in (0..ends).filter(|o| *o != who && others(*o)) {
            if ways.0 {
                self.ways.change(who, other, hold);
            }
            if ways.1 {
                self.ways.change(other, who, hold);
            }
        }
    }

    fn halves(&self, on: bool) {
        let members = self.drill.members;
        for who in 0..members {
            self.cut(who, (true, false), on, |o| o < members && o % 2 != who % 2);
        }
    }

    /// Those that a trouble of many hits.
    fn many(&self, trouble: Trouble, who: usize) -> Vec<usize> {
        let all = self.drill.members;
        match trouble {
            Trouble::KillMany => (0..(all * 7).div_ceil(10))
                .map(|n| (who + n) % all)
                .collect(),
            Trouble::KillVoters => (0..self.drill.voters).collect(),
            Trouble::KillAll => (0..all).collect(),
            _ => vec![who],
        }
    }

    /// SIGKILL, and the stand-ins' transcript says so.
    fn kill(&self, at: usize) {
        let process = &mut self.processes.borrow_mut()[at];
        if let Some(around) = self.around.as_ref().filter(|_| process.child.is_some()) {
            around.note(process, Note::Killed);
        }
        process.kill();
        process.again_at = None;
    }

    /// Begins a trouble; who is hit.
    async fn begin(&mut self, spell: &Spell) -> usize {
        let holder = self.holder();
        let who = match spell.who {
            Who::Holder | Who::Process(_) if spell.trouble == Trouble::KillMany => {
                holder.unwrap_or(0)
            }
            Who::Holder => holder.unwrap_or(0),
            Who::Process(at) => at % self.drill.members,
        };
        let name = spell.trouble.name();
        *self
            .seen
            .borrow_mut()
            .report
            .troubles
            .entry(name)
            .or_default() += 1;
        let hits_holder = holder.is_some_and(|h| self.many(spell.trouble, who).contains(&h));
        let matters = !matches!(
            spell.trouble,
            Trouble::Reset
                | Trouble::Delay(_)
                | Trouble::CutFromReceivers
                | Trouble::DiskFull
                | Trouble::Halves
        );
        if hits_holder && matters {
            let mut seen = self.seen.borrow_mut();
            let now = seen.now();
            if let (None, Some(term)) = (seen.open, seen.judge.term()) {
                seen.open = Some((name, now, term));
            }
        }
        let (members, voters) = (self.drill.members, self.drill.voters);
        match spell.trouble {
            Trouble::Kill | Trouble::KillMany | Trouble::KillVoters | Trouble::KillAll => {
                for at in self.many(spell.trouble, who) {
                    self.kill(at);
                }
            }
            Trouble::FileLost | Trouble::FileOld => {
                self.kill(who);
                let process = &self.processes.borrow()[who];
                match (&process.file, &process.before) {
                    (Some(file), Some(before)) if spell.trouble == Trouble::FileOld => {
                        // What cannot be put back is a kill and no more.
                        let _ = std::fs::write(file, before);
                    }
                    (Some(file), _) if spell.trouble == Trouble::FileLost => {
                        let _ = std::fs::remove_file(file);
                    }
                    _ => {}
                }
            }
            Trouble::Stop => {
                let process = &mut self.processes.borrow_mut()[who];
                process.by_trouble = true;
                process.signal(Signal::TERM);
            }
            Trouble::Sleep => {
                let process = &mut self.processes.borrow_mut()[who];
                process.asleep = true;
                if let Some(around) = &self.around {
                    around.note(process, Note::Asleep);
                }
                process.signal(Signal::STOP);
            }
            Trouble::Cut { out, back } => self.cut(who, (out, back), true, |_| true),
            Trouble::CutFromVoters => self.cut(who, (true, true), true, |o| o < voters),
            Trouble::CutFromReceivers => self.cut(who, (true, true), true, |o| o >= members),
            Trouble::Reset => self.ways.reset(who),
            Trouble::Delay(ms) => {
                for other in 0..members {
                    self.ways.change(who, other, |way| way.delay = ms);
                }
            }
            Trouble::HandOver => self.hand_over(who),
            Trouble::DiskFull => self.block_disk(who, true),
            Trouble::Halves => self.halves(true),
        }
        who
    }

    /// A full disk: where the file is written beside its place there is a folder, which nothing replaces.
    fn block_disk(&self, who: usize, on: bool) {
        if let Some(file) = &self.processes.borrow()[who].file {
            let beside = file.with_extension("new");
            let _ = std::fs::remove_file(&beside);
            let _ = if on {
                std::fs::create_dir(&beside)
            } else {
                std::fs::remove_dir(&beside)
            };
        }
    }

    /// By the operators' command, as they would.
    fn hand_over(&self, who: usize) {
        let mut command = Command::new(self.place.program);
        command.args([
            "fleet",
            "--at",
            &self.processes.borrow()[who].listens,
            "hand-over",
            "roll-call",
        ]);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        if let Ok(mut child) = command.spawn() {
            // Waited for on a thread of its own: it ends within a second.
            std::thread::spawn(move || child.wait());
        }
    }

    fn end(&mut self, spell: &Spell, who: usize) -> io::Result<()> {
        let (members, voters) = (self.drill.members, self.drill.voters);
        match spell.trouble {
            Trouble::Kill
            | Trouble::Stop
            | Trouble::FileLost
            | Trouble::FileOld
            | Trouble::KillMany
            | Trouble::KillVoters
            | Trouble::KillAll => {
                for at in self.many(spell.trouble, who) {
                    let mut processes = self.processes.borrow_mut();
                    let process = &mut processes[at];
                    if spell.trouble == Trouble::Stop
                        || process.child.is_none() && process.again_at.is_none()
                    {
                        // One that was told to stop and has not ended by now is killed.
                        if let Some(around) = self.around.as_ref().filter(|_| process.runs()) {
                            around.note(process, Note::Killed);
                        }
                        process.kill();
                        if let Some(around) = &self.around {
                            std::fs::write(
                                &process.settings,
                                around.text(&process.text, &process.label),
                            )?;
                        }
                        process.start(self.place.program)?;
                    }
                }
            }
            Trouble::Sleep => {
                let process = &mut self.processes.borrow_mut()[who];
                process.asleep = false;
                process.signal(Signal::CONT);
                if let Some(around) = &self.around {
                    around.note(process, Note::Awake);
                }
            }
            Trouble::Cut { out, back } => self.cut(who, (out, back), false, |_| true),
            Trouble::CutFromVoters => self.cut(who, (true, true), false, |o| o < voters),
            Trouble::CutFromReceivers => self.cut(who, (true, true), false, |o| o >= members),
            Trouble::Delay(_) => {
                for other in 0..members {
                    self.ways.change(who, other, |way| way.delay = 0.0);
                }
            }
            Trouble::DiskFull => self.block_disk(who, false),
            Trouble::Halves => self.halves(false),
            Trouble::Reset | Trouble::HandOver => {}
        }
        Ok(())
    }
}
