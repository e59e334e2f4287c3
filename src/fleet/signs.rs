//! Whether those that turned do worse than those that did not: what became of the tasks that each answered, and how
//! often each fell by itself. Counted within one wave, so that a burst, which meets both, is no sign; with enough
//! cases, over enough members, and more than once in a row.

use super::bounds::{Tally, Unit};
use super::{Name, Run};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks of those that turned before anything is said of them, and harmed ones among them.
const LEAST_CASES: u64 = 40;
const LEAST_HARMED: u64 = 8;
/// The part of tasks harmed has to be higher by this at least, and so many standard errors.
const MARGIN: f64 = 0.03;
const ERRORS: f64 = 4.0;
/// It has to be higher than at this part of the others, each with so many cases.
const ABOVE: f64 = 0.9;
const EACH: u64 = 10;
/// Looks in a row that have to say so.
const IN_A_ROW: u32 = 3;
/// Falls of those that turned, and how much more often than the others, member by member.
const FALLS: u32 = 2;
const FALLS_MORE: f64 = 3.0;

/// A group's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Group {
    cases: u64,
    harmed: u64,
}

impl Group {
    fn of(tally: &Tally) -> Group {
        Group { cases: tally.cases(), harmed: tally.harmed().min(tally.cases()) }
    }

    fn part(self) -> f64 {
        self.harmed as f64 / self.cases.max(1) as f64
    }

    fn add(&mut self, more: Group) {
        *self = Group { cases: self.cases + more.cases, harmed: self.harmed + more.harmed };
    }
}

/// One unit as it was when the counting began, or when its process did.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Base {
    run: Run,
    tally: Tally,
}

/// What was seen of a wave and of the release so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signs {
    base: BTreeMap<Name, Base>,
    /// What those that have not turned answered under processes of before, in this wave.
    past: Group,
    in_a_row: u32,
    /// Falls over the release.
    runs: BTreeMap<Name, Run>,
    falls: BTreeMap<Name, u32>,
}

impl Signs {
    /// A wave begins: what was counted before it counts no more.
    pub fn begin_wave(&mut self) {
        (self.base, self.past, self.in_a_row) = (BTreeMap::new(), Group::default(), 0);
    }

    /// Takes a look. `turned`: those that turned; `turning`: those whose turn it is, whose end is no fall.
    pub fn look<'a>(
        &mut self,
        units: impl Iterator<Item = &'a Unit>,
        turned: &BTreeSet<Name>,
        turning: impl Fn(&Name) -> bool,
    ) -> Option<String> {
        let (mut with, mut without) = (Group::default(), self.past);
        let mut others: Vec<f64> = Vec::new();
        let (mut members, mut falls) = ((0, 0), (0, 0));
        for unit in units {
            let has_turned = turned.contains(&unit.name);
            if turning(&unit.name) {
                // Its process of before counts with those that have not turned.
                if let Some(base) = self.base.remove(&unit.name) {
                    if base.run == unit.run {
                        self.past.add(Group::of(&unit.tally.since(&base.tally)));
                    }
                }
                self.runs.remove(&unit.name);
                continue;
            }
            if self.runs.insert(unit.name.clone(), unit.run).is_some_and(|before| before != unit.run) {
                *self.falls.entry(unit.name.clone()).or_default() += 1;
            }
            let fell = self.falls.get(&unit.name).copied().unwrap_or(0);
            // A process that is new in this wave counts from its begin.
            let fresh = Base { run: unit.run, tally: if has_turned { Tally::default() } else { unit.tally } };
            let base = self.base.entry(unit.name.clone()).or_insert(fresh);
            if base.run != unit.run {
                *base = Base { run: unit.run, tally: Tally::default() };
            }
            let group = Group::of(&unit.tally.since(&base.tally));
            if has_turned {
                with.add(group);
                (members.0, falls.0) = (members.0 + 1, falls.0 + fell);
            } else {
                without.add(group);
                (members.1, falls.1) = (members.1 + 1, falls.1 + fell);
                if group.cases >= EACH {
                    others.push(group.part());
                }
            }
        }
        let rate = |(falls, members): (u32, u32)| f64::from(falls) / f64::from(members.max(1));
        if falls.0 >= FALLS && rate((falls.0, members.0)) > FALLS_MORE * rate((falls.1, members.1)) {
            let (fell, of) = (falls.0, members.0);
            return Some(format!(
                "those that turned fell {fell} times, {of} of them; the others {}",
                falls.1
            ));
        }
        let worse = is_worse(with, without, &others);
        self.in_a_row = if worse { self.in_a_row + 1 } else { 0 };
        (self.in_a_row >= IN_A_ROW).then(|| {
            format!(
                "those that turned do worse: {} of {} tasks harmed, {} of {} at the others",
                with.harmed, with.cases, without.harmed, without.cases
            )
        })
    }
}

fn is_worse(with: Group, without: Group, others: &[f64]) -> bool {
    if with.cases < LEAST_CASES || with.harmed < LEAST_HARMED || without.cases < LEAST_CASES {
        return false;
    }
    let (p, q) = (with.part(), without.part());
    let all = (with.harmed + without.harmed) as f64 / (with.cases + without.cases) as f64;
    let error = (all * (1.0 - all) * (1.0 / with.cases as f64 + 1.0 / without.cases as f64)).sqrt();
    let below = others.iter().filter(|other| **other < p).count();
    p >= q + MARGIN && p - q >= ERRORS * error && below as f64 >= ABOVE * others.len() as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    fn worse(with: (u64, u64), without: (u64, u64)) -> bool {
        let group = |(cases, harmed)| Group { cases, harmed };
        is_worse(group(with), group(without), &[])
    }

    #[test]
    fn little_evidence_is_no_sign() {
        assert!(!worse((39, 39), (1000, 0)));
        assert!(!worse((1000, 7), (100_000, 0)));
        assert!(!worse((1000, 25), (100_000, 0)), "under the margin");
        assert!(worse((1000, 40), (100_000, 0)));
        assert!(worse((40, 20), (1000, 50)));
        assert!(!worse((40, 4), (1000, 50)));
    }

    #[test]
    fn a_zone_that_does_badly_on_both_sides_is_no_sign() {
        let group = |cases, harmed| Group { cases, harmed };
        // Three of ten others do as badly.
        let others = [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.5, 0.5, 0.5];
        assert!(!is_worse(group(100, 50), group(1000, 150), &others));
        assert!(is_worse(group(100, 50), group(1000, 10), &others[..7]));
    }
}
