//! What operators see and do of releases: status, halt, and the turn that a supervisor asks for.

use crate::fleet::{full_status, give, say};
use cindercleat::coordination::member::{
    OperatorRequest, Reply, RolloutRequest, RolloutStatus, Status,
};
use cindercleat::coordination::Name;
use cindercleat_net::{Clock, SystemClock};
use std::io::{self, IsTerminal, Write};

/// How often what is being done is asked for again.
const AGAIN: f64 = 100.0;
/// How often a status that is watched is shown.
const SHOWN: f64 = 500.0;

/// Gives the halt, and again until it is certain that nothing begins any more.
pub async fn halt(clock: &SystemClock, at: &[String], why: &str) -> io::Result<bool> {
    let order = OperatorRequest::Rollout(RolloutRequest::Halt {
        reason: why.to_owned(),
    });
    let mut told = String::new();
    loop {
        match give(clock, at, &order).await {
            Ok(Reply::Pending(words)) => {
                // Said once, not with each countdown.
                if told.is_empty() {
                    eprintln!("cindercleat: {words}");
                    told = words;
                }
            }
            other => return say(other),
        }
        clock.sleep_until(clock.now() + AGAIN).await;
    }
}

/// Asks for a turn until it is there; told to stop, it wants it no more.
pub async fn permit(
    clock: &SystemClock,
    at: &[String],
    name: &str,
    label: &str,
) -> io::Result<bool> {
    let stop = crate::serve::ends()?;
    tokio::pin!(stop);
    let order = |refused| {
        OperatorRequest::Rollout(RolloutRequest::Permit {
            name: Name::from(name),
            label: label.to_owned(),
            cancel: refused,
        })
    };
    let mut told = String::new();
    loop {
        match give(clock, at, &order(false)).await {
            Ok(Reply::Pending(words)) | Err(words) => {
                if told != words {
                    eprintln!("cindercleat: waiting: {words}");
                    told = words;
                }
            }
            other => return say(other),
        }
        tokio::select! { biased;
            () = &mut stop => {
                let _ = give(clock, at, &order(true)).await;
                return Ok(false);
            }
            () = clock.sleep_until(clock.now() + AGAIN) => {}
        }
    }
}

pub async fn status(
    clock: &SystemClock,
    at: &[String],
    json: bool,
    watch: bool,
) -> io::Result<bool> {
    loop {
        let full = match full_status(clock, at).await {
            Ok(full) => full,
            Err(why) => return say(Err(why)),
        };
        let over = matches!(full.disruptions.state.as_str(), "done" | "halted" | "none");
        if json {
            println!("{}", as_json(&full));
        } else {
            let text = as_text(&full);
            if watch && io::stdout().is_terminal() {
                // A live picture: what was shown before is painted over.
                print!("\x1b[H\x1b[2J{text}");
                io::stdout().flush()?;
            } else {
                print!("{text}");
            }
        }
        if !watch || over {
            if !full.majority {
                eprintln!(
                    "cindercleat: no majority of the voters answers: what is shown may be old"
                );
            }
            return Ok(full.majority);
        }
        clock.sleep_until(clock.now() + SHOWN).await;
    }
}

fn as_json(full: &Status) -> serde_json::Value {
    use serde_json::json;
    let disruptions = &full.disruptions;
    let permits = disruptions.permits.iter().map(
        |line| json!({"turn": line.permit.0, "who": *line.unit.0, "zone": line.zone, "at": line.stage}),
    );
    let room = disruptions
        .unavailable
        .iter()
        .map(|count| json!({"zone": count.zone, "out": count.unavailable, "most": count.limit}));
    let left = disruptions
        .abandoned
        .iter()
        .map(|line| json!({"who": *line.unit.0, "why": line.reason}));
    json!({
        "majority": full.majority,
        "release": disruptions.name,
        "of": disruptions.unit_kind.to_string(),
        "state": disruptions.state,
        "halted": disruptions.halted,
        "why": disruptions.blocked_reason,
        "wave": disruptions.wave,
        "given": disruptions.granted_in_wave,
        "of_wave": disruptions.wave_size,
        "turned": disruptions.completed,
        "meant": disruptions.selected,
        "turns": permits.collect::<Vec<_>>(),
        "room": room.collect::<Vec<_>>(),
        "left": left.collect::<Vec<_>>(),
        "notes": disruptions.notes,
    })
}

fn as_text(full: &Status) -> String {
    let RolloutStatus {
        name,
        unit_kind: of,
        state,
        halted,
        blocked_reason: why,
        ..
    } = &full.disruptions;
    let disruptions = &full.disruptions;
    let mut out = match state.as_str() {
        "none" => "no release\n".to_owned(),
        _ => format!(
            "release {name} of {of}: {state}\n  wave {}, {} of {} turns given in it; {} turns over, {} meant\n",
            disruptions.wave, disruptions.granted_in_wave, disruptions.wave_size, disruptions.completed, disruptions.selected
        ),
    };
    if !halted.is_empty() {
        out += &format!("  halted: {halted}\n");
    }
    if !why.is_empty() && why != halted {
        out += &format!("  waits: {why}\n");
    }
    for line in &disruptions.permits {
        out += &format!(
            "  turn {:<6} {:<20} {:<10} {}\n",
            line.permit.0, line.unit.0, line.zone, line.stage
        );
    }
    for count in &disruptions.unavailable {
        let place = if count.zone.is_empty() {
            "fleet".to_owned()
        } else {
            format!("zone {}", count.zone)
        };
        let limit = if count.limit == u32::MAX {
            "any".to_owned()
        } else {
            count.limit.to_string()
        };
        out += &format!("  {place:<20} {} out, {limit} may be\n", count.unavailable);
    }
    for line in &disruptions.abandoned {
        out += &format!("  left for you: {} {}\n", line.unit.0, line.reason);
    }
    for note in &disruptions.notes {
        out += &format!("  noted: {note}\n");
    }
    out
}
