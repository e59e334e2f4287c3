//! `seeds` and `seed`: days drawn from seeds, played on a virtual clock; what breaks is cut down and kept.

use crate::script;
use cindercleat_faults::draw::{day, Shape, SHAPES};
use cindercleat_faults::plan::Day;
use cindercleat_faults::shrink::shrink;
use cindercleat_faults::world::{play, story, Breach, Played};
use clap::Args;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Args, Clone, Debug)]
pub struct SeedsArgs {
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    #[arg(long, default_value_t = 1000)]
    pub count: u64,
    /// Threads; each plays its own days.
    #[arg(long, default_value_t = 4)]
    pub jobs: usize,
    #[arg(long = "profile", value_name = "PROFILE", default_value = "plain")]
    pub shape: String,
    /// A folder for days that break something: cut down, as a script, with their story.
    #[arg(long)]
    save: Option<PathBuf>,
    /// Days played at most to cut one down.
    #[arg(long, default_value_t = 300)]
    cut: usize,
}

#[derive(Args, Clone, Debug)]
pub struct SeedArgs {
    pub seed: u64,
    #[arg(long = "profile", value_name = "PROFILE", default_value = "plain")]
    pub shape: String,
    /// Prints all that was seen.
    #[arg(long)]
    pub trace: bool,
    /// Cuts the day down first, if it breaks something.
    #[arg(long)]
    shrink: bool,
}

/// # Errors
/// There is no such request class.
pub fn shape(name: &str) -> Result<&'static Shape, String> {
    let duties = cindercleat_faults::duties::draw::SHAPES
        .iter()
        .map(|s| s.name);
    let names: Vec<&str> = SHAPES.iter().map(|s| s.name).chain(duties).collect();
    SHAPES
        .iter()
        .find(|s| s.name == name)
        .ok_or_else(|| format!("--profile: one of {}", names.join(", ")))
}

#[derive(Default)]
struct Sum {
    breaches: BTreeMap<u64, Vec<Breach>>,
    /// Seeds that met a kind of step, and how often all together.
    met: BTreeMap<String, (u64, u64)>,
    virtual_ms: f64,
    recoveries: Vec<f64>,
    digest: u64,
}

impl Sum {
    fn add(&mut self, seed: u64, played: &Played) {
        for (what, n) in played.met.iter().filter(|(_, n)| **n > 0) {
            let met = self.met.entry(what.clone()).or_default();
            *met = (met.0 + 1, met.1 + n);
        }
        self.virtual_ms += played.length;
        self.recoveries.extend(played.recovery);
        // Whatever the order in which days end.
        self.digest = self
            .digest
            .wrapping_add(played.digest.rotate_left((seed % 64) as u32));
        if !played.breaches.is_empty() {
            self.breaches.insert(seed, played.breaches.clone());
        }
    }
}

/// Plays many; tells whether none broke anything.
///
/// # Errors
/// Files cannot be written, or the runtime cannot be had.
pub fn seeds(args: &SeedsArgs, shape: &'static Shape) -> io::Result<bool> {
    let (next, end) = (
        AtomicU64::new(args.from),
        args.from.saturating_add(args.count),
    );
    let sum = Mutex::new(Sum::default());
    let failed: Mutex<Option<io::Error>> = Mutex::new(None);
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                match play(&day(seed, shape)) {
                    Ok(played) => {
                        if let Ok(mut sum) = sum.lock() {
                            sum.add(seed, &played);
                        }
                        for breach in played.breaches.iter().take(3) {
                            println!("seed {seed}: {} {}", breach.kind, breach.what);
                        }
                    }
                    Err(problem) => {
                        if let Ok(mut failed) = failed.lock() {
                            *failed = Some(problem);
                        }
                        return;
                    }
                }
            });
        }
    });
    if let Some(problem) = failed
        .into_inner()
        .map_err(|_| io::Error::other("a thread failed"))?
    {
        return Err(problem);
    }
    let sum = sum
        .into_inner()
        .map_err(|_| io::Error::other("a thread failed"))?;
    let seconds = begin.elapsed().as_secs_f64();
    let kept = sum.breaches.is_empty();
    print!("{}", summary(args, shape, sum, seconds)?);
    Ok(kept)
}

fn summary(
    args: &SeedsArgs,
    shape: &'static Shape,
    mut sum: Sum,
    seconds: f64,
) -> io::Result<String> {
    let count = args.count.max(1);
    let mut out = format!(
        "{} days of profile {} in {seconds:.1} s: {:.1} a second on {} threads, {:.1} virtual seconds each\n",
        count,
        shape.name,
        count as f64 / seconds,
        args.jobs,
        sum.virtual_ms / 1000.0 / count as f64
    );
    out += "met (share of days, times a day):\n";
    for (what, (days, times)) in &sum.met {
        let (share, each) = (*days as f64 / count as f64, *times as f64 / count as f64);
        out += &format!("  {what:<28}{:>6.1}%{each:>10.2}\n", 100.0 * share);
    }
    sum.recoveries.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let last = sum.recoveries.len().saturating_sub(1);
        sum.recoveries
            .get((q * last as f64) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    out += &format!(
        "recovery after the last fault: p50 {:.0} ms, p99 {:.0}, most {:.0}\n",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    out += &format!("digest {:016x}\n", sum.digest);
    for (seed, breaches) in &sum.breaches {
        if let (Some(dir), Some(first)) = (&args.save, breaches.first()) {
            let path = keep(dir, &day(*seed, shape), first, args.cut)?;
            out += &format!("seed {seed} kept in {}\n", path.display());
        }
    }
    let kinds = sum
        .breaches
        .values()
        .flatten()
        .fold(BTreeMap::new(), |mut kinds, breach| {
            *kinds.entry(breach.kind.as_str()).or_insert(0) += 1;
            kinds
        });
    out += &match sum.breaches.len() {
        0 => "rules: kept\n".to_owned(),
        n => format!("rules: BROKEN in {n} days: {kinds:?}\n"),
    };
    Ok(out)
}

/// Keeps a day that breaks something, cut down.
fn keep(dir: &Path, day: &Day, breach: &Breach, cut: usize) -> io::Result<PathBuf> {
    std::fs::create_dir_all(dir)?;
    let shrunk = shrink(day, breach, cut)?;
    let path = dir.join(format!("{}.conf", day.name));
    let head = format!(
        "# {} {}\n",
        shrunk.breach.kind,
        shrunk.breach.what.replace('\n', " ")
    );
    std::fs::write(&path, head + &script::write(&shrunk.day))?;
    std::fs::write(
        path.with_extension("story"),
        story(&play(&shrunk.day)?.records),
    )?;
    Ok(path)
}

/// Plays one; tells whether nothing was broken.
///
/// # Errors
/// The runtime cannot be had.
pub fn seed(args: &SeedArgs, shape: &'static Shape) -> io::Result<bool> {
    let mut day = day(args.seed, shape);
    let mut played = play(&day)?;
    if let (true, Some(first)) = (args.shrink, played.breaches.first().cloned()) {
        let shrunk = shrink(&day, &first, 500)?;
        println!(
            "# cut down to {} faults and {} tasks by {} days\n{}",
            shrunk.day.faults.len(),
            shrunk.day.habits.requests.len(),
            shrunk.played,
            script::write(&shrunk.day)
        );
        day = shrunk.day;
        played = play(&day)?;
    }
    print!("{}", tell(&played, args.trace));
    Ok(played.breaches.is_empty())
}

/// What came of a day, in words.
pub fn tell(played: &Played, trace: bool) -> String {
    let mut out = if trace {
        story(&played.records)
    } else {
        String::new()
    };
    for (what, n) in &played.met {
        out += &format!("{what}: {n}\n");
    }
    let recovery = played
        .recovery
        .map_or("nothing to see".to_owned(), |ms| format!("{ms:.0} ms"));
    out += &format!(
        "{:.1} virtual seconds, recovery {recovery}, digest {:016x}\n",
        played.length / 1000.0,
        played.digest
    );
    for breach in &played.breaches {
        out += &format!("BREACH {} {}\n", breach.kind, breach.what);
    }
    out += if played.breaches.is_empty() {
        "rules: kept\n"
    } else {
        "rules: BROKEN\n"
    };
    out
}
