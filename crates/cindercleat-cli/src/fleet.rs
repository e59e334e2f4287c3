//! `cindercleat fleet`: what operators see and do of a fleet's duties.

use crate::serve::block_on;
use crate::{release_plan, releases};
use cindercleat::coordination::disruption_budget::UnitKind;
use cindercleat::coordination::member::{OperatorRequest, Reply, RolloutRequest, Status};
use cindercleat::coordination::membership::MemberStatus;
use cindercleat::coordination::{Address, LeaseName, Name, Term};
use cindercleat_fleet::admin_client::send_operator_request_to_any;
use cindercleat_fleet::job::{Job, JobOutcome, Work};
use cindercleat_net::{Clock, SystemClock, Tcp};
use clap::{Args, Subcommand};
use rustix::process::{kill_process, Pid, Signal};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::process::Child;

#[derive(Args, Debug)]
pub struct FleetArgs {
    /// A dispatcher's fleet address; any one will do. More are tried in turn.
    #[arg(long, required = true, global = false)]
    at: Vec<String>,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand, Debug)]
enum What {
    /// Voters, duties with their terms, the roll-call.
    Status {
        #[arg(long)]
        json: bool,
    },
    /// Gives a duty to another dispatcher, or to whoever comes next.
    HandOver {
        lease_name: String,
        to: Option<String>,
    },
    /// Changes who votes, one at a time.
    Voters {
        #[command(subcommand)]
        change: Change,
    },
    /// Holds a duty, prints its term, and keeps it until told to stop; or runs a command only while it is held.
    Hold {
        lease_name: String,
        /// The command, after `--`. It finds the term in CINDERCLEAT_TERM.
        #[arg(last = true)]
        command: Vec<String>,
    },
    /// Takes dispatchers or engines out of service and back, in waves.
    Release {
        #[command(subcommand)]
        what: ReleaseWhat,
    },
    /// Nothing more goes out, anywhere, until an operator resumes. Ends once that is certain.
    Halt { why: String },
    /// Goes on after a halt.
    Resume,
    /// Turns back what went forward.
    Back,
    /// There are as many as are seen now: whoever is missing is missed no more.
    Recount { of: Counted },
    /// Drains engines by name, as the bounds let them.
    Drain {
        #[arg(required = true)]
        engines: Vec<String>,
        /// They do not come back.
        #[arg(long)]
        stays: bool,
        /// Engines that are not listed are passed over.
        #[arg(long)]
        skip_absent: bool,
        /// Only shows what would be done.
        #[arg(long)]
        dry_run: bool,
    },
    /// Asks for a dispatcher's turn and waits until it drains, for supervisors that would rather ask.
    Turn {
        name: String,
        /// What it is to come back under; anything, if left out.
        #[arg(long, default_value = "")]
        label: String,
        /// Has it stop though nothing is agreed on: by hand, logged, and seen once the fleet agrees again.
        #[arg(long, value_name = "WHY")]
        without_agreement: Option<String>,
        /// Where it is, for --without-agreement.
        #[arg(long, requires = "without_agreement")]
        address: Option<String>,
    },
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Counted {
    Dispatchers,
    Engines,
}

#[derive(Subcommand, Debug)]
enum ReleaseWhat {
    /// Begins the release of a plan's file.
    Start {
        plan: std::path::PathBuf,
        /// Those that the plan names and that are not there are passed over.
        #[arg(long)]
        skip_absent: bool,
        /// Only shows the waves and what binds them.
        #[arg(long)]
        dry_run: bool,
    },
    /// Waves, who is out, room left by zone, why it waits.
    Status {
        #[arg(long)]
        json: bool,
        /// Goes on showing it until it is done or halted.
        #[arg(long, conflicts_with = "json")]
        watch: bool,
    },
    /// Ends a release as it stands.
    End,
}

#[derive(Subcommand, Debug)]
enum Change {
    /// Lets a dispatcher vote that has a voter's file. Its address can be left out if the roll-call knows it.
    Add {
        name: String,
        address: Option<String>,
    },
    Remove {
        name: String,
    },
}

/// An order is answered within this, or nobody is there.
const WITHIN: f64 = 950.0;
/// How often it is looked whether a command that was told to end has ended.
const LOOK_EVERY: f64 = 2.0;
/// Tells whether it was done.
///
/// # Errors
/// The runtime's, or a command that does not start.
pub fn run(args: FleetArgs) -> io::Result<Result<bool, String>> {
    // What is wrong with a plan is said before anybody is asked.
    let plan = match &args.what {
        What::Release {
            what: ReleaseWhat::Start { plan, .. },
        } => {
            let file = plan.display().to_string();
            let text = std::fs::read_to_string(plan).map_err(|e| format!("{file}: {e}"));
            Some(text.and_then(|text| release_plan::read(&file, &text).map_err(|e| e.to_string())))
        }
        What::Drain { engines, stays, .. } => Some(release_plan::drain(engines, *stays)),
        _ => None,
    };
    let plan = match plan.transpose() {
        Ok(plan) => plan.unwrap_or_default(),
        Err(why) => return Ok(Err(why)),
    };
    block_on(async {
        let clock = SystemClock::system();
        match args.what {
            What::Release {
                what:
                    ReleaseWhat::Start {
                        skip_absent,
                        dry_run,
                        ..
                    },
            }
            | What::Drain {
                skip_absent,
                dry_run,
                ..
            } => {
                let order = RolloutRequest::Start {
                    plan: Box::new(plan),
                    skip_missing: skip_absent,
                    dry_run,
                };
                say(give(&clock, &args.at, &OperatorRequest::Rollout(order)).await)
            }
            What::Release {
                what: ReleaseWhat::Status { json, watch },
            } => releases::status(&clock, &args.at, json, watch).await,
            What::Release {
                what: ReleaseWhat::End,
            } => say(give(
                &clock,
                &args.at,
                &OperatorRequest::Rollout(RolloutRequest::End),
            )
            .await),
            What::Halt { why } => releases::halt(&clock, &args.at, &why).await,
            What::Resume => say(give(
                &clock,
                &args.at,
                &OperatorRequest::Rollout(RolloutRequest::Resume),
            )
            .await),
            What::Back => say(give(
                &clock,
                &args.at,
                &OperatorRequest::Rollout(RolloutRequest::RollBack),
            )
            .await),
            What::Recount { of } => {
                let of = if matches!(of, Counted::Engines) {
                    UnitKind::Engines
                } else {
                    UnitKind::Dispatchers
                };
                say(give(
                    &clock,
                    &args.at,
                    &OperatorRequest::Rollout(RolloutRequest::Recount { unit_kind: of }),
                )
                .await)
            }
            What::Turn {
                name,
                without_agreement: Some(why),
                address,
                ..
            } => {
                let (who, address) = (
                    Name::from(name.as_str()),
                    address.as_deref().map(Address::from),
                );
                say(give(
                    &clock,
                    &args.at,
                    &OperatorRequest::StopWithoutAgreement {
                        name: who,
                        address,
                        reason: why,
                    },
                )
                .await)
            }
            What::Turn { name, label, .. } => {
                releases::permit(&clock, &args.at, &name, &label).await
            }
            What::Hold {
                lease_name,
                command,
            } => hold(&clock, &args.at, &lease_name, &command).await,
            What::Status { json } => status(&clock, &args.at, json).await,
            What::HandOver { lease_name, to } => {
                let to = to.as_deref().map(Name::from);
                say(give(
                    &clock,
                    &args.at,
                    &OperatorRequest::HandOver {
                        lease_name: LeaseName::from(lease_name.as_str()),
                        to,
                    },
                )
                .await)
            }
            What::Voters {
                change: Change::Add { name, address },
            } => {
                let address = address.as_deref().map(Address::from);
                say(give(
                    &clock,
                    &args.at,
                    &OperatorRequest::AddVoter {
                        name: Name::from(name.as_str()),
                        address,
                    },
                )
                .await)
            }
            What::Voters {
                change: Change::Remove { name },
            } => say(give(
                &clock,
                &args.at,
                &OperatorRequest::RemoveVoter {
                    name: Name::from(name.as_str()),
                },
            )
            .await),
        }
    })
    .map(Ok)
}

/// Gives an order to the first dispatcher that answers.
pub(crate) async fn give(
    clock: &SystemClock,
    at: &[String],
    what: &OperatorRequest,
) -> Result<Reply, String> {
    send_operator_request_to_any(&Tcp, clock, at, what, WITHIN).await
}

pub(crate) fn say(reply: Result<Reply, String>) -> io::Result<bool> {
    match reply {
        Ok(Reply::Done(words)) => {
            println!("{words}");
            Ok(true)
        }
        Ok(Reply::Refused(why)) | Err(why) => {
            eprintln!("cindercleat: {why}");
            Ok(false)
        }
        Ok(_) => Err(io::Error::other("another answer than was asked for")),
    }
}

/// The status as any dispatcher has it, with the roll and the release from where the roll is called.
///
/// # Errors
/// Nobody answers, in words.
pub(crate) async fn full_status(clock: &SystemClock, at: &[String]) -> Result<Status, String> {
    let found = match give(clock, at, &OperatorRequest::Status).await {
        Ok(Reply::Status(status)) => *status,
        Ok(_) => return Err("another answer than was asked for".to_owned()),
        Err(why) => return Err(why),
    };
    // The roll is where it is called.
    let mut full = found.clone();
    if let Some(caller) = &found.leader {
        let there = [caller.0.to_string()];
        if let Ok(Reply::Status(status)) = give(clock, &there, &OperatorRequest::Status).await {
            (full.members, full.leading_for, full.disruptions) =
                (status.members, status.leading_for, status.disruptions);
        }
    }
    Ok(full)
}

async fn status(clock: &SystemClock, at: &[String], json: bool) -> io::Result<bool> {
    let full = match full_status(clock, at).await {
        Ok(full) => full,
        Err(why) => return say(Err(why)),
    };
    if json {
        println!("{}", as_json(&full));
    } else {
        print!("{}", as_text(&full));
    }
    if !full.majority {
        eprintln!("cindercleat: no majority of the voters answers: what is shown may be old");
    }
    Ok(full.majority)
}

fn member_status(member_status: MemberStatus) -> &'static str {
    match member_status {
        MemberStatus::Alive => "in",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Dead => "out",
        MemberStatus::Returned => "back",
    }
}

fn as_json(status: &Status) -> serde_json::Value {
    use serde_json::json;
    let voters = status.voters.iter().map(|v| {
        json!({"name": *v.name.0, "address": *v.address.0, "answers": v.is_responding, "votes": v.is_voting, "version": v.version})
    });
    let leases = status.leases.iter().map(|(lease_name, term, holder)| {
        let name = holder.as_ref().map(|h| h.name.0.to_string());
        let address = holder.as_ref().map(|h| h.address.0.to_string());
        json!({"duty": *lease_name.0, "term": term.0, "holder": name, "address": address})
    });
    let roll = status.members.iter().map(|l| {
        json!({
            "name": *l.name.0, "zone": l.zone, "label": l.label, "standing": member_status(l.member_status),
            "ready": l.ready, "up_ms": l.uptime, "age_ms": l.last_heartbeat_age
        })
    });
    json!({
        "by": status.reported_by.as_ref().map(|n| n.0.to_string()),
        "majority": status.majority,
        "generation": status.generation,
        "changing": status.changing,
        "version": status.version,
        "voters": voters.collect::<Vec<_>>(),
        "duties": leases.collect::<Vec<_>>(),
        "roll_for_ms": status.leading_for,
        "roll": roll.collect::<Vec<_>>(),
    })
}

fn as_text(status: &Status) -> String {
    let mut out = format!(
        "voters (generation {}{}), {}\n",
        status.generation,
        if status.changing { ", changing" } else { "" },
        if status.majority {
            "a majority answers"
        } else {
            "NO MAJORITY ANSWERS"
        }
    );
    for v in &status.voters {
        let state = match (v.is_responding, v.is_voting) {
            (true, true) => "votes",
            (true, false) => "does not vote",
            (false, _) => "does not answer",
        };
        out += &format!(
            "  {:<20} {:<22} {:<16} version {}\n",
            v.name.0, v.address.0, state, v.version
        );
    }
    out += "duties\n";
    for (lease_name, term, holder) in &status.leases {
        let holder = holder.as_ref().map_or("nobody".to_owned(), |h| {
            format!("{} at {}", h.name.0, h.address.0)
        });
        out += &format!("  {:<20} term {:<6} {holder}\n", lease_name.0, term.0);
    }
    match status.leading_for {
        Some(ms) => out += &format!("roll, called for {:.1} s\n", ms / 1000.0),
        None => out += "roll: nobody who calls it answers\n",
    }
    for l in &status.members {
        out += &format!(
            "  {:<20} {:<10} {:<12} {:<10} {:<10} up {:.0} s, heard {:.0} ms ago\n",
            l.name.0,
            l.zone,
            l.label,
            member_status(l.member_status),
            if l.ready { "ready" } else { "not ready" },
            l.uptime / 1000.0,
            l.last_heartbeat_age
        );
    }
    out
}

/// Tells a child of ours something; one that has ended by itself cannot be told.
fn signal(child: &Child, what: Signal) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, what);
    }
}

/// Holds a duty until a signal, the command's end, or its loss.
async fn hold(
    clock: &SystemClock,
    at: &[String],
    lease_name: &str,
    command: &[String],
) -> io::Result<bool> {
    let stop = crate::serve::ends()?;
    let (lease_name, number) = (
        LeaseName::from(lease_name),
        RandomState::new().hash_one(std::process::id()),
    );
    let mut work = HeldCommand {
        clock,
        lease_name: lease_name.clone(),
        command,
        child: None,
    };
    let job = Job {
        transport: &Tcp,
        clock,
        addresses: at,
        lease_name: lease_name.clone(),
        number,
    };
    match job.run(&mut work, stop).await? {
        JobOutcome::Stopped => Ok(true),
        JobOutcome::ByItself(success) => Ok(success),
        JobOutcome::Refused(why) => say(Ok(Reply::Refused(why))),
        JobOutcome::Lost(why) => {
            eprintln!("cindercleat: {} is lost: {why}", lease_name.0);
            Ok(false)
        }
    }
}

/// An operator's command that runs only while its duty is held; without one the term is printed and nothing is run.
struct HeldCommand<'a> {
    clock: &'a SystemClock,
    lease_name: LeaseName,
    command: &'a [String],
    child: Option<Child>,
}

impl Work for HeldCommand<'_> {
    fn begin(&mut self, term: Term) -> io::Result<()> {
        println!("term {}", term.0);
        if let Some((program, arguments)) = self.command.split_first() {
            let mut command = std::process::Command::new(program);
            command
                .args(arguments)
                .env("CINDERCLEAT_TERM", term.0.to_string());
            command.env("CINDERCLEAT_DUTY", &*self.lease_name.0);
            self.child = Some(command.spawn()?);
        }
        Ok(())
    }

    fn exit_status(&mut self) -> io::Result<Option<bool>> {
        let status = self
            .child
            .as_mut()
            .map(Child::try_wait)
            .transpose()?
            .flatten();
        Ok(status.map(|status| status.success()))
    }

    /// Tells the command to end, and kills it when the time is up.
    async fn end(&mut self, by: f64) -> io::Result<()> {
        let Some(child) = self.child.as_mut() else {
            return Ok(());
        };
        signal(child, Signal::TERM);
        while child.try_wait()?.is_none() {
            if self.clock.now() >= by {
                child.kill()?;
                child.wait()?;
                break;
            }
            self.clock.sleep_until(self.clock.now() + LOOK_EVERY).await;
        }
        Ok(())
    }

    fn report_waiting(&mut self, why: &str) {
        eprintln!("cindercleat: waiting: {why}");
    }
}
