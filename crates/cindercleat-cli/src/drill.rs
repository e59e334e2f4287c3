//! `cindercleat drill`: several processes of the program with faults between them, judged from outside.

use crate::conf::{Problem, Section, Time};
use crate::duties::quantile;
use crate::serve::block_on;
use cindercleat_faults::drill::{play, Drill, Place, Report, Spell, Trouble, Who};
use clap::Args;
use std::io;
use std::path::PathBuf;

#[derive(Args, Debug)]
pub struct DrillArgs {
    script: PathBuf,
    /// Another seed than the script's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Drills with this many seeds, one after another.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Writes the report as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Keeps settings, voters' files and logs of the processes in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// What all dispatchers of a drill serve; nobody asks them for it.
const SERVICE: &str = "zones z0 z1 z2
profile any
    effect reissuable
    quoted 1s
    patience 4s
end
kind reader
    does reads
    memory 1000
end
kind writer
    does writes
    memory 1000
end
limits
    release 500ms
    launches 4
    connect 250ms
    drain-grace 500ms
    fall 4 within 1s
    cold 0.3 ramp 4s
    stop-grace 100ms
end
";

/// Reads a drill's script.
///
/// # Errors
/// The first thing wrong with it.
pub fn read(file: &str, text: &str) -> Result<Drill, Problem> {
    let section = Section::parse(file, text, &[])?;
    let time = |keyword: &'static str| section.value::<Time>(keyword).map(|t| t.0);
    let mut spells = Vec::new();
    for line in section.all("at") {
        let name: String = line.value(2)?;
        let known = Trouble::NAMES.iter().find(|(known, _)| *known == name);
        let Some((_, trouble)) = known else {
            let names: Vec<&str> = Trouble::NAMES.iter().map(|(name, _)| *name).collect();
            return Err(line.wrong(&format!("a trouble out of: {}", names.join(", "))));
        };
        let who = match line.value::<String>(3)?.as_str() {
            "holder" => Who::Holder,
            "process" => Who::Process(line.value(4)?),
            _ => return Err(line.wrong("'holder' or 'process N'")),
        };
        let (begin, lasts) = (line.value::<Time>(1)?.0, line.must_after::<Time>("for")?.0);
        spells.push(Spell { begin, lasts, who, trouble: *trouble });
    }
    let drill = Drill {
        name: section.value("drill")?,
        seed: section.value("seed")?,
        voters: section.value("voters")?,
        members: section.value("members")?,
        receivers: section.value("receivers")?,
        lease: time("lease")?,
        length: time("length")?,
        spells,
        drawn: section.value_or("draw", 0)?,
    };
    section.nothing_else()?;
    if ![3, 5, 7].contains(&drill.voters) {
        return Err(section.one("voters")?.wrong("3, 5 or 7 voters"));
    }
    if !(drill.voters..=100).contains(&drill.members) {
        return Err(section.one("members")?.wrong("as many members as voters at least, and at most 100"));
    }
    if !(1..=16).contains(&drill.receivers) {
        return Err(section.one("receivers")?.wrong("1 to 16 receivers"));
    }
    if drill.lease < 100.0 {
        return Err(section.one("lease")?.wrong("a lease of at least 100ms"));
    }
    if let Some(late) =
        section.all("at").iter().zip(&drill.spells).find(|(_, s)| s.begin + s.lasts > drill.length)
    {
        return Err(late.0.wrong("a trouble that is over before the drill is"));
    }
    Ok(drill)
}

/// Plays it; tells whether the rules were kept.
///
/// # Errors
/// The script is wrong (as text), or something cannot be had.
pub fn run(args: &DrillArgs) -> io::Result<Result<bool, String>> {
    let file = args.script.display().to_string();
    let text = match std::fs::read_to_string(&args.script) {
        Ok(text) => text,
        Err(problem) => return Ok(Err(format!("{file}: {problem}"))),
    };
    let mut drill = match read(&file, &text) {
        Ok(drill) => drill,
        Err(problem) => return Ok(Err(problem.to_string())),
    };
    drill.seed = args.seed.unwrap_or(drill.seed);
    let program = std::env::current_exe()?;
    let mut sum = Report::default();
    for _ in 0..args.count {
        let folder = match &args.keep {
            Some(keep) => keep.join(format!("seed-{}", drill.seed)),
            None => {
                std::env::temp_dir().join(format!("cindercleat-drill-{}-{}", std::process::id(), drill.seed))
            }
        };
        std::fs::create_dir_all(&folder)?;
        let place = Place { program: &program, folder: &folder, service: SERVICE };
        let report = block_on(play(&drill, &place));
        if args.keep.is_none() {
            std::fs::remove_dir_all(&folder)?;
        }
        let report = report?;
        for breach in &report.breaches {
            println!("seed {}: BREACH {} {}", drill.seed, breach.kind, breach.what);
        }
        if !report.breaches.is_empty() {
            report.story.iter().for_each(|line| println!("    {line}"));
        }
        add(&mut sum, report);
        drill.seed += 1;
    }
    print!("{}", tell(&drill.name, args.count, &sum));
    if let Some(path) = &args.report {
        std::fs::write(path, as_json(&sum).to_string())?;
    }
    Ok(Ok(sum.breaches.is_empty()))
}

fn add(sum: &mut Report, one: Report) {
    sum.breaches.extend(one.breaches);
    (sum.obeyed, sum.terms) = (sum.obeyed + one.obeyed, sum.terms + one.terms);
    (sum.bytes, sum.connections) = (sum.bytes + one.bytes, sum.connections + one.connections);
    for (what, n) in one.refused {
        *sum.refused.entry(what).or_default() += n;
    }
    for (what, n) in one.troubles {
        *sum.troubles.entry(what).or_default() += n;
    }
    for (what, times) in one.without {
        sum.without.entry(what).or_default().extend(times);
    }
}

fn tell(name: &str, count: u64, sum: &Report) -> String {
    let mut out = format!(
        "{count} drills {name}: {} acts obeyed in {} terms, {} connections, {:.1} MB\n",
        sum.obeyed,
        sum.terms,
        sum.connections,
        sum.bytes as f64 / 1e6
    );
    out += "acts refused:";
    for (what, n) in &sum.refused {
        out += &format!(" {what} {n},");
    }
    out += "\ntroubles:";
    for (what, n) in &sum.troubles {
        out += &format!(" {what} {n},");
    }
    out += "\nuntil another acts, ms (times, p50, p99, worst):\n";
    for (what, times) in &sum.without {
        let mut times = times.clone();
        times.sort_by(f64::total_cmp);
        let at = |part| quantile(&times, part);
        out += &format!("  {what:<20}{:>6}{:>8.0}{:>8.0}{:>8.0}\n", times.len(), at(0.5), at(0.99), at(1.0));
    }
    out += if sum.breaches.is_empty() { "rules: kept\n" } else { "rules: BROKEN\n" };
    out
}

fn as_json(sum: &Report) -> serde_json::Value {
    let breaches: Vec<String> = sum.breaches.iter().map(|b| format!("{} {}", b.kind, b.what)).collect();
    serde_json::json!({
        "breaches": breaches,
        "obeyed": sum.obeyed,
        "terms": sum.terms,
        "refused": sum.refused,
        "troubles": sum.troubles,
        "without": sum.without,
        "bytes": sum.bytes,
        "connections": sum.connections,
    })
}
