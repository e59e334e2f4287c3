//! `cindercleat drill`: several processes of the program with faults between them, judged from outside.

use crate::conf::{Problem, Section, Time};
use crate::duties::quantile;
use crate::serve::block_on;
use cindercleat_faults::drill::release::{Order, Release, Released};
use cindercleat_faults::drill::{play, Drill, Place, Report, Spell, Trouble, Who};
use cindercleat_faults::duties::service::Version;
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

/// The same with a release: with engines that are worked.
const SERVED: &str = "zones z0 z1 z2
profile any
    effect reissuable
    quoted 1s plus 40ms
    patience 5s
    late-share 0.3
end
profile once
    effect at-most-once
    quoted 1s plus 40ms
    patience 5s
end
kind reader
    does reads
    memory 240000
end
kind writer
    does writes
    memory 160000
end
limits
    release 500ms
    launches 4
    connect 250ms
    drain-grace 500ms
    answer-grace 50ms
    fall 4 within 1s
    cold 0.3 ramp 1500ms
    stop-grace 3s
end
stand-in reader
    slots 12
    queue 60
    reads-per-s 120000
end
stand-in writer
    slots 60
    queue 40
    token-pace 8ms
end
";
const TRAFFIC: &str = "    profile-share any 0.7 prompt 500 shared 300 texts 20 answer 16
    profile-share once 0.3 prompt 400 shared 200 texts 12 answer 12
    retries 2
    retry-after 250ms
    leaves 0.01
";

/// Reads a drill's script.
///
/// # Errors
/// The first thing wrong with it.
pub fn read(file: &str, text: &str) -> Result<Drill, Problem> {
    let section = Section::parse(file, text, &["plan", "bounds"])?;
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
        spells.push(Spell {
            begin,
            lasts,
            who,
            trouble: *trouble,
        });
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
        release: release(file, text, &section, time("length")?)?,
    };
    section.nothing_else()?;
    if ![3, 5, 7].contains(&drill.voters) {
        return Err(section.one("voters")?.wrong("3, 5 or 7 voters"));
    }
    if !(drill.voters..=100).contains(&drill.members) {
        return Err(section
            .one("members")?
            .wrong("as many members as voters at least, and at most 100"));
    }
    if !(1..=16).contains(&drill.receivers) {
        return Err(section.one("receivers")?.wrong("1 to 16 receivers"));
    }
    if drill.lease < 100.0 {
        return Err(section.one("lease")?.wrong("a lease of at least 100ms"));
    }
    if let Some(late) = section
        .all("at")
        .iter()
        .zip(&drill.spells)
        .find(|(_, s)| s.begin + s.lasts > drill.length)
    {
        return Err(late.0.wrong("a trouble that is over before the drill is"));
    }
    Ok(drill)
}

/// What a drill with a release serves; its engines are stand-ins.
fn service_of(members: u32, rate: f64, length: f64) -> String {
    let mut text = SERVED.to_owned();
    for at in 0..12 {
        let kind = if (at / 3) % 2 == 0 {
            "reader"
        } else {
            "writer"
        };
        text += &format!("host h{at} {kind} z{} c{}\n", at % 3, at / 6);
    }
    // Clients end before the drill does, so that what is open comes to its end.
    let length = (length - 7_000.0).max(1_000.0);
    text + &format!("day drill\nseed 1\ndispatchers {members}\nlength {length}ms\ntraffic\n    rate {rate}\n{TRAFFIC}end\n")
}

/// The release of a drill's script, if there is one.
fn release(
    file: &str,
    text: &str,
    section: &Section,
    length: f64,
) -> Result<Option<Release>, Problem> {
    let [block] = section.blocks("plan")[..] else {
        return Ok(None);
    };
    let inside = |name: &str| {
        let lines = text.lines().skip_while(|line| line.trim() != name).skip(1);
        let lines: Vec<&str> = lines.take_while(|line| line.trim() != "end").collect();
        lines.join("\n") + "\n"
    };
    let plan = inside("plan");
    // What is wrong with the plan is said here, not by the command later.
    if let Err(problem) = crate::release_plan::read(file, &plan) {
        return Err(block.head.wrong(&format!("a plan ({problem})")));
    }
    let version = match section.maybe("version")? {
        None => Version::Good,
        Some(line) => match line.value::<String>(1)?.as_str() {
            "good" => Version::Good,
            "worse" => Version::Worse(1.0),
            "never-ready" => Version::NeverReady,
            "dies" => Version::Dies(line.value::<Time>(2)?.0),
            _ => return Err(line.wrong("good, worse, never-ready or 'dies TIME'")),
        },
    };
    let order = |line: &&crate::conf::Line| -> Result<Order, Problem> {
        let at = line.value::<Time>(1)?.0;
        if line.words.len() < 3 || at >= length {
            return Err(line.wrong("'order TIME WORDS', before the drill's end"));
        }
        Ok(Order {
            at,
            words: line.words[2..].to_vec(),
        })
    };
    let orders = section
        .all("order")
        .iter()
        .map(order)
        .collect::<Result<_, _>>()?;
    let bounds = match section.blocks("bounds")[..] {
        [] => Default::default(),
        [block, ..] => {
            let bounds = crate::release_plan::bounds(block)?;
            block.nothing_else()?;
            bounds
        }
    };
    let rate = section.value_or("rate", 60.0)?;
    let served = service_of(section.value("members")?, rate, length);
    let day = crate::script::read("what a drill serves", &served)?;
    Ok(Some(Release {
        day,
        bounds,
        bounds_text: inside("bounds"),
        plan,
        version,
        orders,
    }))
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
            None => std::env::temp_dir().join(format!(
                "cindercleat-drill-{}-{}",
                std::process::id(),
                drill.seed
            )),
        };
        std::fs::create_dir_all(&folder)?;
        // What is served is said in the same words in a settings file and in a day's script.
        let served = SERVED.split("stand-in reader").next().unwrap_or_default();
        let service = if drill.release.is_some() {
            served
        } else {
            SERVICE
        };
        let place = Place {
            program: &program,
            folder: &folder,
            service,
        };
        let report = block_on(play(&drill, &place));
        if args.keep.is_none() {
            std::fs::remove_dir_all(&folder)?;
        }
        let report = report?;
        for breach in &report.breaches {
            println!(
                "seed {}: BREACH {} {}",
                drill.seed, breach.kind, breach.what
            );
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
    if let Some(one) = one.released {
        let sum = sum.released.get_or_insert_default();
        (sum.permits, sum.drains) = (sum.permits + one.permits, sum.drains + one.drains);
        sum.most_out = (
            sum.most_out.0.max(one.most_out.0),
            sum.most_out.1.max(one.most_out.1),
        );
        (sum.tries, sum.finals) = (sum.tries + one.tries, sum.finals + one.finals);
        sum.halts.extend(one.halts);
        sum.states.extend(one.states);
        for (words, n) in one.orders {
            *sum.orders.entry(words).or_default() += n;
        }
        for (words, n) in one.refused {
            *sum.refused.entry(words).or_default() += n;
        }
        for (label, n) in one.labels {
            *sum.labels.entry(label).or_default() += n;
        }
    }
}

fn tell_release(released: &Released) -> String {
    let mut halts = released.halts.clone();
    halts.sort_by(f64::total_cmp);
    let list = |of: &std::collections::BTreeMap<String, u64>| {
        of.iter()
            .map(|(what, n)| format!(" {what} {n},"))
            .collect::<String>()
    };
    let states: String = released
        .states
        .iter()
        .map(|state| format!("told of itself: {state}\n"))
        .collect();
    let told = format!(
        "turns begun {}, hosts drained {}, most out at once {} and {} (with failures)\norders done:{}\norders \
         refused:{}\nhalts acknowledged after ms (times, p50, worst): {} {:.0} {:.0}\nin at the end, by label:{}\n\
         tasks: {} tries, {} final answers\n",
        released.permits,
        released.drains,
        released.most_out.0,
        released.most_out.1,
        list(&released.orders),
        list(&released.refused),
        halts.len(),
        quantile(&halts, 0.5),
        quantile(&halts, 1.0),
        list(&released.labels),
        released.tries,
        released.finals,
    );
    told + &states
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
        out += &format!(
            "  {what:<20}{:>6}{:>8.0}{:>8.0}{:>8.0}\n",
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
    out += &sum.released.as_ref().map(tell_release).unwrap_or_default();
    out += if sum.breaches.is_empty() {
        "rules: kept\n"
    } else {
        "rules: BROKEN\n"
    };
    out
}

fn as_json(sum: &Report) -> serde_json::Value {
    let breaches: Vec<String> = sum
        .breaches
        .iter()
        .map(|b| format!("{} {}", b.kind, b.what))
        .collect();
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
