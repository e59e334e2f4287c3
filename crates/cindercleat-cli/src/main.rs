//! The program `cindercleat`. Exit codes: 0 as wanted, 1 a rule was broken or the work failed, 2 bad input.

use cindercleat_cli::{
    bench_day, day, drill, duties, fleet, node, price, script, seeds, send, serve, settings, soak,
    try_it,
};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A router for language-model servers with prefill and decode on separate engines.
#[derive(Parser)]
#[command(name = "cindercleat", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// What is logged to standard error: a level, or directives such as `cindercleat_dispatcher=debug`.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    #[arg(long, global = true, default_value = "text")]
    log_form: LogForm,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serves as a dispatcher until SIGTERM.
    Serve { settings: PathBuf },
    /// Serves as a dispatcher of the platform until SIGTERM. GW_CONFIG names its configuration.
    Node,
    /// Reads a settings file and says what is wrong with it, if anything is.
    Check { settings: PathBuf },
    /// Runs the stand-ins of a day's script: its engines and their list, without faults.
    Standin { script: PathBuf },
    /// Plays a day: fleet, dispatchers, clients, faults, audit.
    Day(DayArgs),
    /// Starts a small fleet and a dispatcher and streams one request to the terminal.
    Try {
        /// Stays up after the request, for clients of your own.
        #[arg(long)]
        stay: bool,
    },
    /// Sends requests to a dispatcher: one prints its tokens, many a summary.
    Send(send::SendArgs),
    /// Plays days drawn from seeds on a virtual clock, with every rule checked.
    Seeds(seeds::SeedsArgs),
    /// Plays the day of one seed.
    Seed(seeds::SeedArgs),
    /// Plays a drill: several processes of this program, with faults between them, judged from outside.
    Drill(drill::DrillArgs),
    /// What a fleet's dispatchers agree on: duties and who holds them, voters, the roll-call.
    Fleet(fleet::FleetArgs),
    /// Plays processes of this program under drawn troubles on loopback, and holds them against the rules.
    Soak(soak::SoakArgs),
    /// Measures what a dispatcher adds, against the same clients straight to the stand-ins.
    Price(price::PriceArgs),
}

#[derive(Args)]
struct DayArgs {
    /// The script.
    #[arg(required_unless_present = "from_bench", conflicts_with = "from_bench")]
    script: Option<PathBuf>,
    /// A day drawn by the bench, in place of a script: its troubles with their times and parts.
    #[arg(long)]
    from_bench: Option<PathBuf>,
    /// In memory on a virtual clock: at once, and the same each time.
    #[arg(long = "virtual")]
    in_memory: bool,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Writes the report as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Writes each frame that crossed a stand-in's socket, one JSON object a line.
    #[arg(long)]
    transcript: Option<PathBuf>,
}

/// What ends the program other than well.
enum Failure {
    Input(String),
    Work(String),
}

impl From<std::io::Error> for Failure {
    fn from(problem: std::io::Error) -> Self {
        Failure::Work(problem.to_string())
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A day says by its report what went on; its dispatchers' warnings are the faults' own.
    let quiet = matches!(
        cli.command,
        Command::Day(_)
            | Command::Price(_)
            | Command::Send(_)
            | Command::Fleet(_)
            | Command::Seeds(_)
            | Command::Seed(_)
            | Command::Try { .. }
    );
    let filter = if quiet && cli.log == "info" {
        "error"
    } else {
        &cli.log
    };
    let filter = match tracing_subscriber::EnvFilter::try_new(filter) {
        Ok(filter) => filter,
        Err(problem) => {
            eprintln!("--log: {problem}");
            return ExitCode::from(2);
        }
    };
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(filter);
    match cli.log_form {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
    match run(cli.command, &cli.log) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(Failure::Work(problem)) => {
            eprintln!("cindercleat: {problem}");
            ExitCode::from(1)
        }
        Err(Failure::Input(problem)) => {
            eprintln!("cindercleat: {problem}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command, log: &str) -> Result<bool, Failure> {
    match command {
        Command::Serve { settings } => {
            // Chance from the system: no two processes of a dispatcher may be taken for one another.
            let run = RandomState::new().hash_one(std::process::id());
            let read = read_settings(&settings, run)?;
            serve::serve(read, run)?;
        }
        Command::Node => {
            let path = std::env::var_os("GW_CONFIG")
                .ok_or_else(|| Failure::Input("GW_CONFIG names no configuration".to_owned()))?;
            node::serve(Path::new(&path)).map_err(|problem| match problem {
                node::Problem::Configuration(what) => Failure::Input(what),
                node::Problem::Io(problem) => problem.into(),
            })?;
        }
        Command::Check { settings } => {
            let read = read_settings(&settings, 0)?;
            let (request_classes, kinds) =
                (read.program.request_classes.len(), read.program.kinds.len());
            println!(
                "{}: good ({request_classes} profiles, {kinds} kinds)",
                settings.display()
            );
        }
        Command::Standin { script } => try_it::stand_in(&read_script(&script)?)?,
        Command::Day(args) => {
            let mut day = match (&args.script, &args.from_bench) {
                (Some(script), _) => read_script(script)?,
                (None, Some(file)) => bench_day::read(&file.display().to_string(), &text_of(file)?)
                    .map_err(Failure::Input)?,
                (None, None) => return Err(Failure::Input("a script is wanted".to_owned())),
            };
            day.seed = args.seed.unwrap_or(day.seed);
            if args.in_memory {
                let played = cindercleat_faults::world::play(&day)?;
                print!("{}", seeds::tell(&played, false));
                return Ok(played.breaches.is_empty());
            }
            if let Some(fault) = day.faults.iter().find(|f| f.trouble.is_virtual()) {
                let why = format!(
                    "'{}' can only be played with --virtual",
                    fault.trouble.name()
                );
                return Err(Failure::Input(why));
            }
            let (report, records) = day::play(&day)?;
            print!("{}", report.table());
            if let Some(path) = &args.report {
                let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::other)?;
                std::fs::write(path, text)?;
            }
            if let Some(path) = &args.transcript {
                let file = std::io::BufWriter::new(std::fs::File::create(path)?);
                cindercleat_standin::transcript::write(&records, file)?;
            }
            return Ok(report.kept());
        }
        Command::Try { stay } => try_it::try_it(stay)?,
        Command::Send(args) => return Ok(send::send(args)?),
        Command::Seeds(args) => {
            if let Some(shape) = duties::shape(&args.shape) {
                return Ok(duties::seeds(&args, shape)?);
            }
            let shape = seeds::shape(&args.shape).map_err(Failure::Input)?;
            return Ok(seeds::seeds(&args, shape)?);
        }
        Command::Seed(args) => {
            if let Some(shape) = duties::shape(&args.shape) {
                return Ok(duties::seed(&args, shape));
            }
            let shape = seeds::shape(&args.shape).map_err(Failure::Input)?;
            return Ok(seeds::seed(&args, shape)?);
        }
        Command::Drill(args) => return drill::run(&args)?.map_err(Failure::Input),
        Command::Fleet(args) => return fleet::run(args)?.map_err(Failure::Input),
        Command::Soak(args) => return Ok(soak::soak(&args, log)?),
        Command::Price(args) => print!("{}", price::measure(&args)?),
    }
    Ok(true)
}

fn text_of(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::Input(format!("{}: {e}", path.display())))
}

fn read_settings(path: &Path, run: u64) -> Result<settings::Serve, Failure> {
    let file = path.display().to_string();
    settings::read(&file, &text_of(path)?, run)
        .map_err(|problem| Failure::Input(problem.to_string()))
}

fn read_script(path: &Path) -> Result<cindercleat_faults::plan::Day, Failure> {
    let file = path.display().to_string();
    script::read(&file, &text_of(path)?).map_err(|problem| Failure::Input(problem.to_string()))
}
