//! Reads a day that the bench drew, and makes a day of it for this machine: its kinds of trouble with their
//! times and parts, on the small fleet.

use crate::try_it::small;
use cindercleat::interface::Ms;
use cindercleat_faults::plan::{Day, Fault, Trouble};
use cindercleat_standin::engine::Does;
use serde::Deserialize;

/// A day is pressed into this much time, its troubles with it.
const LENGTH: Ms = 40_000.0;
const DISPATCHERS: u32 = 3;

#[derive(Deserialize)]
struct Drawn {
    length: f64,
    #[serde(default)]
    site: String,
    #[serde(default)]
    servers: Vec<Server>,
    #[serde(default)]
    balancers: Vec<serde_json::Value>,
    #[serde(default)]
    troubles: Vec<Drawing>,
    fam: Family,
}

#[derive(Deserialize)]
struct Server {
    kind: usize,
}

#[derive(Deserialize)]
struct Family {
    /// What each kind of engine does.
    roles: Vec<String>,
}

#[derive(Deserialize)]
struct Drawing {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
}

/// # Errors
/// The file is no such day, or has a trouble that this program does not know.
pub fn read(file: &str, text: &str) -> Result<Day, String> {
    let drawn: Drawn =
        serde_json::from_str(text).map_err(|e| format!("{file}: no day of the bench: {e}"))?;
    let mut day = small().map_err(|e| e.to_string())?;
    // A part of a trouble outside the length plays no role.
    let pace = LENGTH / (drawn.length / 1000.0).max(1.0);
    day.name = format!("from-bench-{}", drawn.site);
    day.dispatchers = DISPATCHERS;
    day.habits.length = LENGTH;
    let mut faults = Vec::new();
    for trouble in &drawn.troubles {
        faults.extend(translate(trouble, &drawn, &day, pace).ok_or_else(|| {
            format!(
                "{file}: the trouble {:?} is not known to this program",
                trouble.kind
            )
        })?);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    day.faults = faults;
    Ok(day)
}

/// The engines of the small fleet that stand for some of the drawn one: as great a part of each role.
fn stand_for(on: &[usize], drawn: &Drawn, day: &Day) -> Vec<String> {
    let mut names = Vec::new();
    for (does, role) in [(Does::Reads, "read"), (Does::Writes, "write")] {
        let of_role = |i: &usize| {
            let kind = drawn.servers.get(*i).map(|s| s.kind);
            kind.and_then(|k| drawn.fam.roles.get(k))
                .is_some_and(|r| r.starts_with(role))
        };
        let all = (0..drawn.servers.len())
            .filter(|i| of_role(i))
            .count()
            .max(1);
        let hit = on.iter().filter(|i| of_role(i)).count();
        let mine: Vec<&str> = day
            .engines
            .iter()
            .filter(|h| h.does == does)
            .map(|h| h.name.as_str())
            .collect();
        let part = hit as f64 / all as f64 * mine.len() as f64;
        // The smallest part of a role is one engine.
        let count = if hit == 0 {
            0
        } else {
            (part.round() as usize).clamp(1, mine.len())
        };
        names.extend(mine[..count].iter().map(|n| (*n).to_owned()));
    }
    names
}

fn translate(from: &Drawing, drawn: &Drawn, day: &Day, pace: f64) -> Option<Vec<Fault>> {
    let (at, length) = (from.at / 1000.0 * pace, from.len / 1000.0 * pace);
    let whom = stand_for(&from.on, drawn, day);
    let request_class =
        day.service.request_classes[from.which % day.service.request_classes.len()].clone();
    let times = from.size.max(1.0);
    let one = |trouble: Trouble| {
        let whom = if trouble.is_service_wide() {
            Vec::new()
        } else {
            whom.clone()
        };
        vec![Fault {
            at,
            length,
            trouble,
            whom,
        }]
    };
    // One after another over the length.
    let row = |trouble: Trouble, whom: &[String], away: Ms| {
        let step = length / whom.len().max(1) as f64;
        let each = |(i, name): (usize, &String)| Fault {
            at: at + i as f64 * step,
            length: away.min(length),
            trouble: trouble.clone(),
            whom: vec![name.clone()],
        };
        whom.iter().enumerate().map(each).collect::<Vec<_>>()
    };
    Some(match from.kind.as_str() {
        "crash" => one(Trouble::Die),
        "mass_restart" => row(Trouble::Die, &whom, 1000.0),
        "slow" | "neighbour" | "ageing" => one(Trouble::Slow(times)),
        // Pauses come again and again; each is short.
        "pauses" => row(Trouble::Mute, &whom, 300.0),
        "fast_errors" => one(Trouble::Fails(from.size.clamp(0.0, 1.0))),
        "flush" => one(Trouble::Forget),
        "report_late" => one(Trouble::ReportsLate(1000.0 * times)),
        "throttle" => one(Trouble::Full(request_class)),
        "burst" => one(Trouble::Burst(times)),
        "hot_key" => one(Trouble::HotText),
        "heavy_tail" => one(Trouble::LongPrompts(times, from.extra.clamp(0.01, 0.5))),
        "retry_abuse" => one(Trouble::Impatient),
        "handshake_slow" => one(Trouble::GreetLate(100.0 * times)),
        "balancer_roll" => {
            let part = from.on.len() as f64 / drawn.balancers.len().max(1) as f64;
            let count = (part * f64::from(DISPATCHERS))
                .ceil()
                .clamp(1.0, f64::from(DISPATCHERS)) as u32;
            let names: Vec<String> = (0..count).map(|n| n.to_string()).collect();
            row(Trouble::Kill, &names, 1500.0)
        }
        _ => return None,
    })
}
