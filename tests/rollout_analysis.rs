//! Whether updated units do worse than the others: little evidence and troubles that meet both groups are no sign.

use cindercleat::coordination::rollout_analysis::{GroupOutcomes, StratifiedComparison};

/// Requests and harmed ones.
type Pair = (u64, u64);

fn worse(slices: &[(Pair, Pair)], others: &[f64]) -> bool {
    let group = |(requests, harmed)| GroupOutcomes { requests, harmed };
    let mut comparison = StratifiedComparison::default();
    slices.iter().for_each(|(updated, without)| {
        comparison.add_slice(group(*updated), group(*without));
    });
    comparison.is_worse(others)
}

/// A few requests fail on any version: a rollout must not halt for them.
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

/// A burst rejects requests everywhere just after the first units were updated. Summed over the whole rollout the updated
/// units look worse, as the others had long quiet times before.
#[test]
fn a_burst_that_meets_both_is_no_sign_whenever_those_that_turned_came() {
    let quiet = ((0, 0), (10_000, 10));
    assert!(!worse(&[quiet, quiet, ((100, 40), (1000, 400))], &[]));
    assert!(worse(&[quiet, quiet, ((100, 40), (1000, 100))], &[]));
}

/// A zone in trouble harms requests of updated units and of others alike: three of ten others do as badly.
#[test]
fn a_zone_that_does_badly_on_both_sides_is_no_sign() {
    let others = [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.5, 0.5, 0.5];
    assert!(!worse(&[((100, 50), (1000, 150))], &others));
    assert!(worse(&[((100, 50), (1000, 10))], &others[..7]));
}
