//! Cuts a day that breaks something down to the fewest faults and requests that still do.

use crate::plan::{Day, Fault};
use crate::world::{play, Breach};
use cindercleat_standin::client::Planned;
use std::io;

/// A day cut down, what it still breaks, and how many days were played for it.
pub struct Shrunk {
    pub day: Day,
    pub breach: Breach,
    pub played: usize,
}

/// Keeps whatever breach of the same kind as `breach`; other ones may go.
///
/// # Errors
/// As for [`play`].
pub fn shrink(day: &Day, breach: &Breach, most_played: usize) -> io::Result<Shrunk> {
    let mut best = Shrunk {
        day: day.clone(),
        breach: breach.clone(),
        played: 0,
    };
    loop {
        let before = (best.day.faults.len(), best.day.habits.requests.len());
        best = fewer(
            best,
            most_played,
            |day, faults: Vec<Fault>| day.faults = faults,
            |day| day.faults.clone(),
        )?;
        best = fewer(
            best,
            most_played,
            |day, requests: Vec<Planned>| day.habits.requests = requests,
            |day| day.habits.requests.clone(),
        )?;
        if best.played >= most_played
            || before == (best.day.faults.len(), best.day.habits.requests.len())
        {
            return Ok(best);
        }
    }
}

/// Takes parts of a list out, halves first and single ones last, for as long as the breach stays.
fn fewer<T: Clone>(
    mut best: Shrunk,
    most_played: usize,
    set: impl Fn(&mut Day, Vec<T>),
    get: impl Fn(&Day) -> Vec<T>,
) -> io::Result<Shrunk> {
    let mut part = get(&best.day).len().div_ceil(2);
    while part > 0 {
        let mut from = 0;
        while from < get(&best.day).len() && best.played < most_played {
            let mut kept = get(&best.day);
            kept.drain(from..(from + part).min(kept.len()));
            let mut day = best.day.clone();
            set(&mut day, kept);
            best.played += 1;
            let same = play(&day)?
                .breaches
                .into_iter()
                .find(|b| b.kind == best.breach.kind);
            match same {
                Some(breach) => (best.day, best.breach) = (day, breach),
                None => from += part,
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    Ok(best)
}
