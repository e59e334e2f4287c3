//! Whether those that turned do worse than those that did not: what became of the requests that each answered, and how
//! often each fell by itself. Compared within short slices of time, so that a burst, which meets both, is no sign (in the
//! manner of Mantel and Haenszel, 1959); with enough cases, over enough members, and more than once in a row.

use super::disruption_budget::{OutcomeCounts, Unit};
use super::{Incarnation, Name};
use crate::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks of those that turned before anything is said of them, and harmed ones among them.
const LEAST_CASES: u64 = 40;
const LEAST_HARMED: u64 = 8;
/// The part of requests harmed has to be higher by this at least, and so many standard errors.
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

/// A slice is at least so long: what is heard of members is up to a beat old, more of a large fleet.
const SLICE: Ms = 1_000.0;

/// A group's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Group {
    cases: u64,
    harmed: u64,
}

impl Group {
    fn of(tally: &OutcomeCounts) -> Group {
        Group {
            cases: tally.total(),
            harmed: tally.harmed().min(tally.total()),
        }
    }

    fn part(self) -> f64 {
        self.harmed as f64 / self.cases.max(1) as f64
    }

    fn add(&mut self, more: Group) {
        *self = Group {
            cases: self.cases + more.cases,
            harmed: self.harmed + more.harmed,
        };
    }
}

/// Slices summed: those that turned against what the others of the same slices lead to expect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sum {
    with: Group,
    without: Group,
    expected: f64,
    variance: f64,
}

impl Sum {
    fn add(&mut self, with: Group, without: Group) {
        // Nothing can be said of a time in which one side had no requests.
        if with.cases == 0 || without.cases == 0 {
            return;
        }
        let (n, m) = (with.cases as f64, without.cases as f64);
        let p = (with.harmed + without.harmed) as f64 / (n + m);
        self.expected += n * without.part();
        self.variance += p * (1.0 - p) * n * (1.0 + n / m);
        self.with.add(with);
        self.without.add(without);
    }

    fn is_worse(&self, others: &[f64]) -> bool {
        let Sum {
            with,
            without,
            expected,
            variance,
        } = *self;
        if with.cases < LEAST_CASES || with.harmed < LEAST_HARMED || without.cases < LEAST_CASES {
            return false;
        }
        let more = with.harmed as f64 - expected;
        let below = others.iter().filter(|other| **other < with.part()).count();
        more >= MARGIN * with.cases as f64
            && more >= ERRORS * variance.sqrt()
            && below as f64 >= ABOVE * others.len() as f64
    }
}

/// One unit as it was when the slice began.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Base {
    incarnation: Incarnation,
    tally: OutcomeCounts,
}

/// What was seen of a release so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutAnalysis {
    baselines: BTreeMap<Name, Base>,
    slice_started_at: Option<Ms>,
    totals: Sum,
    /// Of those that have not turned, member by member, in slices that count.
    control_members: BTreeMap<Name, Group>,
    consecutive_signs: u32,
    incarnations: BTreeMap<Name, Incarnation>,
    restarts: BTreeMap<Name, u32>,
}

impl RolloutAnalysis {
    /// Takes a look. `turned`: those that turned; `turning`: those whose turn it is, whose end is no fall.
    pub fn observe<'a>(
        &mut self,
        now: Ms,
        units: impl Iterator<Item = &'a Unit>,
        turned: &BTreeSet<Name>,
        turning: impl Fn(&Name) -> bool,
    ) -> Option<String> {
        let units: Vec<&Unit> = units.collect();
        let (mut members, mut falls) = ((0, 0), (0, 0));
        for unit in &units {
            if turning(&unit.name) {
                self.incarnations.remove(&unit.name);
                continue;
            }
            if self
                .incarnations
                .insert(unit.name.clone(), unit.incarnation)
                .is_some_and(|before| before != unit.incarnation)
            {
                *self.restarts.entry(unit.name.clone()).or_default() += 1;
            }
            let fell = self.restarts.get(&unit.name).copied().unwrap_or(0);
            if turned.contains(&unit.name) {
                (members.0, falls.0) = (members.0 + 1, falls.0 + fell);
            } else {
                (members.1, falls.1) = (members.1 + 1, falls.1 + fell);
            }
        }
        let rate = |(falls, members): (u32, u32)| f64::from(falls) / f64::from(members.max(1));
        if falls.0 >= FALLS && rate((falls.0, members.0)) > FALLS_MORE * rate((falls.1, members.1))
        {
            let (fell, of) = (falls.0, members.0);
            return Some(format!(
                "those that turned fell {fell} times, {of} of them; the others {}",
                falls.1
            ));
        }
        if now - *self.slice_started_at.get_or_insert(now) < SLICE {
            return None;
        }
        self.slice_started_at = Some(now);
        self.end_slice(&units, turned, turning);
        let others: Vec<f64> = self
            .control_members
            .values()
            .filter(|g| g.cases >= EACH)
            .map(|group| group.part())
            .collect();
        self.consecutive_signs = if self.totals.is_worse(&others) {
            self.consecutive_signs + 1
        } else {
            0
        };
        let Sum {
            with,
            without,
            expected,
            ..
        } = self.totals;
        (self.consecutive_signs >= IN_A_ROW).then(|| {
            format!(
                "those that turned do worse: {} of {} tasks harmed where {expected:.0} were to be expected, {} of {} at \
                 the others",
                with.harmed, with.cases, without.harmed, without.cases
            )
        })
    }

    /// Counts what came since the slice began.
    fn end_slice(
        &mut self,
        units: &[&Unit],
        turned: &BTreeSet<Name>,
        turning: impl Fn(&Name) -> bool,
    ) {
        let (mut with, mut without) = (Group::default(), Group::default());
        let mut each: Vec<(&Name, Group)> = Vec::new();
        for unit in units {
            let now = Base {
                incarnation: unit.incarnation,
                tally: unit.outcomes,
            };
            let before = self.baselines.insert(unit.name.clone(), now);
            // A process that is new began within the slice; one that has not been seen tells nothing yet.
            let Some(before) = before.filter(|_| !turning(&unit.name)) else {
                continue;
            };
            let from = if before.incarnation == unit.incarnation {
                before.tally
            } else {
                OutcomeCounts::default()
            };
            let group = Group::of(&unit.outcomes.since(&from));
            if turned.contains(&unit.name) {
                with.add(group);
            } else {
                without.add(group);
                each.push((&unit.name, group));
            }
        }
        self.totals.add(with, without);
        if with.cases > 0 {
            for (name, group) in each {
                self.control_members
                    .entry(name.clone())
                    .or_default()
                    .add(group);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Cases and harmed ones.
    type Pair = (u64, u64);

    fn worse(slices: &[(Pair, Pair)], others: &[f64]) -> bool {
        let group = |(cases, harmed)| Group { cases, harmed };
        let mut sum = Sum::default();
        slices
            .iter()
            .for_each(|(with, without)| sum.add(group(*with), group(*without)));
        sum.is_worse(others)
    }

    #[test]
    fn little_evidence_is_no_sign() {
        assert!(!worse(&[((39, 39), (1000, 0))], &[]));
        assert!(!worse(&[((1000, 7), (100_000, 0))], &[]));
        assert!(
            !worse(&[((1000, 25), (100_000, 0))], &[]),
            "under the margin"
        );
        assert!(worse(&[((1000, 40), (100_000, 0))], &[]));
        assert!(worse(&[((40, 20), (1000, 50))], &[]));
        assert!(!worse(&[((40, 4), (1000, 50))], &[]));
    }

    #[test]
    fn a_burst_that_meets_both_is_no_sign_whenever_those_that_turned_came() {
        // The others had long quiet times, those that turned were there for the burst alone.
        let quiet = ((0, 0), (10_000, 10));
        assert!(!worse(&[quiet, quiet, ((100, 40), (1000, 400))], &[]));
        assert!(worse(&[quiet, quiet, ((100, 40), (1000, 100))], &[]));
    }

    #[test]
    fn a_zone_that_does_badly_on_both_sides_is_no_sign() {
        // Three of ten others do as badly.
        let others = [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.5, 0.5, 0.5];
        assert!(!worse(&[((100, 50), (1000, 150))], &others));
        assert!(worse(&[((100, 50), (1000, 10))], &others[..7]));
    }
}
