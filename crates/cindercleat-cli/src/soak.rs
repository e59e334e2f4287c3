//! `cindercleat soak`: the soak test from the command line.

use cindercleat_soak::audit::Invariant;
use cindercleat_soak::run::{self, Options, Outcome};
use clap::Args;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::{env, fs, io, process};

#[derive(Args)]
pub struct SoakArgs {
    /// The seed from which the troubles are drawn.
    #[arg(long)]
    seed: u64,
    /// Processes of this program.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(2..=200))]
    processes: u64,
    /// How long it lasts; processes are stopped after it.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(5..=3600))]
    seconds: u64,
    /// Leaves system calls and wall clocks as they are.
    #[arg(long)]
    no_shim: bool,
    /// Where configurations and logs go, and stay. Otherwise they go with the end, unless something was violated.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// Violations that are printed one by one.
const MOST_PRINTED: usize = 20;
const SHIM: &str = "libcindercleat_shim.so";

/// Plays it and prints what came of it; tells whether every invariant held. `log`: what its processes log.
///
/// # Errors
/// The soak could not be played.
pub fn soak(args: &SoakArgs, log: &str) -> io::Result<bool> {
    let program = env::current_exe()?;
    let shim = if args.no_shim {
        None
    } else {
        Some(find_shim(&program)?)
    };
    let folder = match &args.logs {
        Some(folder) => folder.clone(),
        None => env::temp_dir().join(format!("cindercleat-soak-{}-{}", process::id(), args.seed)),
    };
    fs::create_dir_all(&folder)?;
    let options = Options {
        seed: args.seed,
        processes: args.processes as usize,
        seconds: args.seconds as f64,
        program,
        log: log.to_owned(),
        shim,
        folder: folder.clone(),
    };
    let outcome = run::run(&options)?;
    let good = outcome.report.violations.is_empty() && outcome.own_violations.is_empty();
    print!("{}", told(args, &outcome));
    if args.logs.is_none() && good {
        fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs: {}", folder.display());
    }
    Ok(good)
}

/// The preloaded library lies where the program does, or where a test's programs do.
fn find_shim(program: &Path) -> io::Result<PathBuf> {
    let beside = program.parent().unwrap_or(Path::new("."));
    let places = [
        beside.join(SHIM),
        beside.join("deps").join(SHIM),
        beside.join("..").join(SHIM),
    ];
    let found = places.into_iter().find(|place| place.exists());
    found.ok_or_else(|| {
        let what = format!(
            "{SHIM} is not beside the program: build the whole workspace, or say --no-shim"
        );
        io::Error::new(io::ErrorKind::NotFound, what)
    })
}

fn told(args: &SoakArgs, outcome: &Outcome) -> String {
    let Outcome {
        plan,
        report,
        own_violations,
    } = outcome;
    let mut text = String::new();
    for violation in report.violations.iter().take(MOST_PRINTED) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:9.3} s  {}: {}",
            violation.at / 1000.0,
            violation.invariant,
            violation.what
        );
    }
    for line in own_violations.iter().take(MOST_PRINTED) {
        let _ = writeln!(text, "own: {line}");
    }
    let lists = if plan.lists_are_asked_for {
        "asked for"
    } else {
        "pushed"
    };
    let calls = if plan.system_calls_fail && !args.no_shim {
        "fail at times"
    } else {
        "as they are"
    };
    let answers = if plan.answers_repeat {
        "some requests twice"
    } else {
        "each request once"
    };
    let _ = writeln!(
        text,
        "{} troubles; engines answer {answers}; lists {lists}; system calls {calls}; wall clocks stepped by {} s",
        plan.troubles.len(),
        if args.no_shim {
            0.0
        } else {
            plan.wall_step / 1000.0
        }
    );
    let waits = if plan.decodes_wait {
        "serve some attempts at a time"
    } else {
        "serve all at once"
    };
    let _ = writeln!(text, "readings: {}; decode engines {waits}", plan.readings);
    let hostile_clients: usize = plan.hostile_groups.iter().map(|group| group.clients).sum();
    let _ = writeln!(
        text,
        "hostile clients: {hostile_clients} in {} groups; memory {} MiB of {}",
        plan.hostile_groups.len(),
        report.peak_memory_kib.div_ceil(1 << 10),
        plan.memory_mib
    );
    let cases = Invariant::ALL.map(|invariant| {
        format!(
            "{invariant} {}",
            report.cases.get(&invariant).copied().unwrap_or_default()
        )
    });
    let _ = writeln!(
        text,
        "soak: seed {}, {} processes, {} s; cases {}; violations {}, own {}",
        args.seed,
        args.processes,
        args.seconds,
        cases.join(", "),
        report.violations.len(),
        own_violations.len()
    );
    text
}
