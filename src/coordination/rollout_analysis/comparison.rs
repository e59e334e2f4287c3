//! A statistical comparison of request outcomes between updated units and the other units of a rollout.
//!
//! Outcomes are compared within short slices of time, because a burst of load raises the failures of both groups at the
//! same time. The expected value and the variance are summed over the slices as strata, following N. Mantel and
//! W. Haenszel, "Statistical aspects of the analysis of data from retrospective studies of disease", Journal of the
//! National Cancer Institute 22 (1959), 719-748.

use crate::coordination::disruption_budget::OutcomeCounts;

/// The minimum number of requests in each group. The comparison reports no difference with fewer requests.
const MIN_REQUESTS: u64 = 40;
/// The minimum number of harmed requests at the updated units. The comparison reports no difference with fewer.
const MIN_HARMED: u64 = 8;
/// The minimum amount by which the actual share of harmed requests at the updated units must exceed the expected share.
const MIN_EXCESS_SHARE: f64 = 0.03;
/// The minimum amount by which the number of harmed requests at the updated units must exceed the expected number, in
/// standard errors.
const MIN_STANDARD_ERRORS: f64 = 4.0;
/// The minimum fraction of other units that must have a lower share of harmed requests than the updated units. A
/// failing zone raises the share at some units of both groups, and must not halt the rollout.
const MIN_UNITS_BELOW_SHARE: f64 = 0.9;

/// The number of requests that a group of units has answered, and how many of them were harmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupOutcomes {
    /// The number of answered requests, whatever their outcome.
    pub requests: u64,
    /// The number of requests that were rejected, failed or answered after their deadline; at most `requests`.
    pub harmed: u64,
}

impl GroupOutcomes {
    pub(super) fn new(outcomes: &OutcomeCounts) -> GroupOutcomes {
        GroupOutcomes {
            requests: outcomes.total(),
            harmed: outcomes.harmed().min(outcomes.total()),
        }
    }

    /// The share of harmed requests, from 0 to 1. A group without requests has a share of 0.
    pub fn harmed_share(self) -> f64 {
        self.harmed as f64 / self.requests.max(1) as f64
    }

    /// Adds the numbers of requests and of harmed requests of another group or slice.
    pub fn add(&mut self, other: GroupOutcomes) {
        self.requests += other.requests;
        self.harmed += other.harmed;
    }
}

/// Outcomes of the updated units and of the other units, summed over slices, and the number of harmed requests that the
/// other units predict for the updated units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StratifiedComparison {
    /// Totals of the updated units, over slices in which both groups had requests.
    pub updated: GroupOutcomes,
    /// Totals of the units that are not updated, over slices in which both groups had requests.
    pub others: GroupOutcomes,
    /// The expected number of harmed requests at the updated units, computed from the share at the other units.
    pub expected_harmed: f64,
    variance: f64,
}

impl StratifiedComparison {
    /// Adds a slice. A slice in which either group had no requests is ignored, because it shows nothing about the
    /// difference between the groups.
    pub fn add_slice(&mut self, updated: GroupOutcomes, others: GroupOutcomes) {
        if updated.requests == 0 || others.requests == 0 {
            return;
        }
        let updated_requests = updated.requests as f64;
        let other_requests = others.requests as f64;
        let harmed = (updated.harmed + others.harmed) as f64;
        let pooled_share = harmed / (updated_requests + other_requests);
        self.expected_harmed += updated_requests * others.harmed_share();
        self.variance += pooled_share
            * (1.0 - pooled_share)
            * updated_requests
            * (1.0 + updated_requests / other_requests);
        self.updated.add(updated);
        self.others.add(others);
    }

    /// Whether the updated units have significantly more harmed requests than expected. `other_shares` lists, for each
    /// unit that is not updated, the share of harmed requests among its requests, from 0 to 1.
    pub fn is_worse(&self, other_shares: &[f64]) -> bool {
        let StratifiedComparison {
            updated,
            others,
            expected_harmed,
            variance,
        } = *self;
        let lacks_evidence = updated.requests < MIN_REQUESTS
            || updated.harmed < MIN_HARMED
            || others.requests < MIN_REQUESTS;
        if lacks_evidence {
            return false;
        }
        let excess = updated.harmed as f64 - expected_harmed;
        let units_below = other_shares
            .iter()
            .filter(|share| **share < updated.harmed_share())
            .count();
        excess >= MIN_EXCESS_SHARE * updated.requests as f64
            && excess >= MIN_STANDARD_ERRORS * variance.sqrt()
            && units_below as f64 >= MIN_UNITS_BELOW_SHARE * other_shares.len() as f64
    }
}
