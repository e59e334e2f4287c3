//! `seeds --request_class duties` and `seed N --request_class duties`: fleets with their troubles on a virtual clock.

use crate::seeds::{SeedArgs, SeedsArgs};
use cindercleat_faults::duties::draw::SHAPES;
use cindercleat_faults::duties::{draw, play, Played, Shape};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// The shape of a request class that plays duties.
pub fn shape(name: &str) -> Option<&'static Shape> {
    SHAPES.iter().find(|s| s.name == name)
}

#[derive(Default)]
struct Sum {
    met: BTreeMap<String, (u64, u64)>,
    without: BTreeMap<&'static str, Vec<f64>>,
    broken: BTreeMap<u64, String>,
    beyond: BTreeMap<u64, String>,
    length: f64,
    obeyed: u64,
    digest: u64,
}

impl Sum {
    fn add(&mut self, seed: u64, played: &Played) {
        for (what, n) in played.met.iter().filter(|(_, n)| **n > 0) {
            let met = self.met.entry(what.clone()).or_default();
            *met = (met.0 + 1, met.1 + n);
        }
        for (what, ms) in &played.without {
            self.without.entry(what).or_default().push(*ms);
        }
        if let Some(breach) = played.beyond.first() {
            self.beyond
                .insert(seed, format!("{} {}", breach.kind, breach.what));
        }
        if let Some(breach) = played.breaches.first() {
            let story = played.story.join("\n    ");
            self.broken.insert(
                seed,
                format!("{} {}\n    {story}", breach.kind, breach.what),
            );
        }
        self.length += played.length;
        self.obeyed += played.obeyed;
        self.digest = self
            .digest
            .wrapping_add(played.digest.rotate_left((seed % 64) as u32));
    }
}

/// The value at a part of a sorted row; not a number if it is empty.
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((part * last as f64) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Plays many; tells whether none broke anything.
///
/// # Errors
/// A thread failed.
pub fn seeds(args: &SeedsArgs, shape: &'static Shape) -> io::Result<bool> {
    let (next, end) = (
        AtomicU64::new(args.from),
        args.from.saturating_add(args.count),
    );
    let sum = Mutex::new(Sum::default());
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                let played = play(&draw(seed, shape));
                if let Ok(mut sum) = sum.lock() {
                    sum.add(seed, &played);
                }
            });
        }
    });
    let sum = sum
        .into_inner()
        .map_err(|_| io::Error::other("a thread failed"))?;
    let (count, seconds) = (args.count.max(1) as f64, begin.elapsed().as_secs_f64());
    println!(
        "{count} fleets of profile {} in {seconds:.1} s: {:.1} a second on {} threads, {:.1} virtual seconds each",
        shape.name,
        count / seconds,
        args.jobs,
        sum.length / 1000.0 / count
    );
    println!("met (share of fleets, times a fleet):");
    for (what, (fleets, times)) in &sum.met {
        let (share, each) = (100.0 * *fleets as f64 / count, *times as f64 / count);
        println!("  {what:<32}{share:>6.1}%{each:>12.2}");
    }
    println!("until another acts, ms (times, p50, p99, worst):");
    for (what, times) in &sum.without {
        let mut times = times.clone();
        times.sort_by(f64::total_cmp);
        let at = |part| quantile(&times, part);
        println!(
            "  {what:<32}{:>7}{:>9.0}{:>9.0}{:>9.0}",
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
    println!("{} acts obeyed, digest {:016x}", sum.obeyed, sum.digest);
    for (seed, what) in &sum.beyond {
        println!("seed {seed}, beyond what is promised (an old file that nobody could know for one): {what}");
    }
    for (seed, story) in &sum.broken {
        println!("seed {seed}: {story}");
    }
    println!(
        "rules: {}",
        if sum.broken.is_empty() {
            "kept"
        } else {
            "BROKEN"
        }
    );
    Ok(sum.broken.is_empty())
}

/// Plays one; tells whether nothing was broken.
pub fn seed(args: &SeedArgs, shape: &'static Shape) -> bool {
    let plan = draw(args.seed, shape);
    if args.trace {
        println!("{plan:#?}");
    }
    let played = play(&plan);
    for (what, n) in &played.met {
        println!("{what}: {n}");
    }
    for (what, ms) in &played.without {
        println!("{what}: another acts after {ms:.0} ms");
    }
    if let Some(released) = &played.released {
        println!("{released:#?}");
    }
    println!(
        "{} acts obeyed, digest {:016x}",
        played.obeyed, played.digest
    );
    for breach in &played.beyond {
        println!("beyond what is promised: {} {}", breach.kind, breach.what);
    }
    for line in &played.story {
        println!("    {line}");
    }
    for breach in &played.breaches {
        println!("BREACH {} {}", breach.kind, breach.what);
    }
    println!(
        "rules: {}",
        if played.breaches.is_empty() {
            "kept"
        } else {
            "BROKEN"
        }
    );
    played.breaches.is_empty()
}
