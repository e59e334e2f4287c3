//! Tests of the comparison between updated units and the other units. Little evidence, or a failure that affects both
//! groups, must not halt a rollout.

use cindercleat::coordination::rollout_analysis::{GroupOutcomes, StratifiedComparison};

/// The number of requests of a group, and the number of harmed requests among them.
type RequestsAndHarmed = (u64, u64);

fn is_worse(slices: &[(RequestsAndHarmed, RequestsAndHarmed)], other_shares: &[f64]) -> bool {
    let group = |(requests, harmed)| GroupOutcomes { requests, harmed };
    let mut comparison = StratifiedComparison::default();
    slices.iter().for_each(|(updated, others)| {
        comparison.add_slice(group(*updated), group(*others));
    });
    comparison.is_worse(other_shares)
}

/// A few requests fail under any version. A rollout must not halt because of such a small number of failures.
#[test]
fn few_harmed_requests_do_not_count_as_worse() {
    assert!(!is_worse(&[((39, 39), (1000, 0))], &[]));
    assert!(!is_worse(&[((1000, 7), (100_000, 0))], &[]));
    assert!(
        !is_worse(&[((1000, 25), (100_000, 0))], &[]),
        "0.025 of the requests are harmed, below the minimum excess of 0.03"
    );
    assert!(is_worse(&[((1000, 40), (100_000, 0))], &[]));
    assert!(is_worse(&[((40, 20), (1000, 50))], &[]));
    assert!(!is_worse(&[((40, 4), (1000, 50))], &[]));
}

/// A burst of load causes rejections at all units just after the first units were updated. Totals over the whole
/// rollout would show worse outcomes at the updated units, because only the other units had served during the quiet
/// time before.
#[test]
fn burst_at_both_groups_does_not_count_as_worse() {
    let quiet = ((0, 0), (10_000, 10));
    assert!(!is_worse(&[quiet, quiet, ((100, 40), (1000, 400))], &[]));
    assert!(is_worse(&[quiet, quiet, ((100, 40), (1000, 100))], &[]));
}

/// A failing zone harms requests at updated units and at other units: three of ten other units have the same share of
/// harmed requests as the updated units.
#[test]
fn failing_zone_with_both_groups_does_not_count_as_worse() {
    let other_shares = [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.5, 0.5, 0.5];
    assert!(!is_worse(&[((100, 50), (1000, 150))], &other_shares));
    assert!(is_worse(&[((100, 50), (1000, 10))], &other_shares[..7]));
}
