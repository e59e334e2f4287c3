//! Outcomes of updated units against those of the others.
//!
//! Compared within short slices of time, so that a burst, which meets both groups, is no sign. Expectation and variance
//! are summed over the slices as strata, in the manner of N. Mantel and W. Haenszel, "Statistical aspects of the analysis
//! of data from retrospective studies of disease", Journal of the National Cancer Institute 22 (1959), 719-748.

use crate::coordination::disruption_budget::OutcomeCounts;

/// Requests of each group before anything is said of them.
const MIN_REQUESTS: u64 = 40;
/// Harmed requests of the updated units before anything is said of them.
const MIN_HARMED: u64 = 8;
/// The share of harmed requests has to be above the expected one by this.
const MIN_EXCESS_SHARE: f64 = 0.03;
/// The harmed requests have to be above the expected ones by this many standard errors.
const MIN_STANDARD_ERRORS: f64 = 4.0;
/// The share of harmed requests has to be above that of this share of the other units, so that a zone that does badly
/// on both sides is no sign.
const MIN_UNITS_BELOW_SHARE: f64 = 0.9;

/// Requests of a group of units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupOutcomes {
    /// Answered requests.
    pub requests: u64,
    /// Those of them that were rejected, failed or late.
    pub harmed: u64,
}

impl GroupOutcomes {
    pub(super) fn new(outcomes: &OutcomeCounts) -> GroupOutcomes {
        GroupOutcomes {
            requests: outcomes.total(),
            harmed: outcomes.harmed().min(outcomes.total()),
        }
    }

    /// The share of harmed requests, 0 to 1; 0 without requests.
    pub fn harmed_share(self) -> f64 {
        self.harmed as f64 / self.requests.max(1) as f64
    }

    /// Adds the requests of another.
    pub fn add(&mut self, more: GroupOutcomes) {
        self.requests += more.requests;
        self.harmed += more.harmed;
    }
}

/// Slices summed: the updated units against what the others of the same slices lead to expect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StratifiedComparison {
    /// Requests of the updated units, in slices that count.
    pub updated: GroupOutcomes,
    /// Requests of the others, in slices that count.
    pub others: GroupOutcomes,
    /// Harmed requests of the updated units, if they did like the others.
    pub expected_harmed: f64,
    variance: f64,
}

impl StratifiedComparison {
    /// Adds a slice. One in which a group had no requests shows nothing and does not count.
    pub fn add_slice(&mut self, updated: GroupOutcomes, others: GroupOutcomes) {
        if updated.requests == 0 || others.requests == 0 {
            return;
        }
        let (n, m) = (updated.requests as f64, others.requests as f64);
        let p = (updated.harmed + others.harmed) as f64 / (n + m);
        self.expected_harmed += n * others.harmed_share();
        self.variance += p * (1.0 - p) * n * (1.0 + n / m);
        self.updated.add(updated);
        self.others.add(others);
    }

    /// Whether the updated units do worse. `other_shares`: the share of harmed requests of each other unit, 0 to 1.
    pub fn is_worse(&self, other_shares: &[f64]) -> bool {
        let StratifiedComparison {
            updated,
            others,
            expected_harmed,
            variance,
        } = *self;
        let is_thin = updated.requests < MIN_REQUESTS
            || updated.harmed < MIN_HARMED
            || others.requests < MIN_REQUESTS;
        if is_thin {
            return false;
        }
        let excess = updated.harmed as f64 - expected_harmed;
        let below = other_shares
            .iter()
            .filter(|share| **share < updated.harmed_share())
            .count();
        excess >= MIN_EXCESS_SHARE * updated.requests as f64
            && excess >= MIN_STANDARD_ERRORS * variance.sqrt()
            && below as f64 >= MIN_UNITS_BELOW_SHARE * other_shares.len() as f64
    }
}
