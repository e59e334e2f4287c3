//! When discovery is called again.

use cindercleat::discovery_client::{DiscoveryCalls, DiscoverySettings, FirstCall, UNUSABLE_MOST};

const SETTINGS: DiscoverySettings = DiscoverySettings {
    connect: 250.0,
    first_quiet: 1000.0,
    quiet: 2500.0,
    again_first: 100.0,
    again_most: 1000.0,
    resumes: false,
};

#[test]
fn waits_double_up_to_the_most_and_begin_anew_after_an_answer_or_a_move() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for most in [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0] {
        let wait = calls.lost();
        assert!((most / 2.0..=most).contains(&wait), "{wait} of {most}");
    }
    calls.answered();
    assert!(calls.lost() <= 100.0);
    calls.lost();
    calls.moved();
    assert!(calls.lost() <= 100.0);
}

#[test]
fn a_first_answer_is_waited_for_less_than_one_that_waits_for_a_change() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.calling(None);
    assert_eq!(calls.quiet(), 1000.0);
    calls.begins();
    assert_eq!(calls.quiet(), 2500.0, "a long list has begun to come");
    calls.calling(None);
    assert_eq!(calls.quiet(), 1000.0, "each connection anew");
    calls.answered();
    assert_eq!(calls.quiet(), 2500.0);
}

/// Hundreds that lose discovery at one instant come back to it spread out: no tenth of the wait holds more than
/// twice its part of them, from the second call on.
#[test]
fn hundreds_that_lose_discovery_together_do_not_come_back_together() {
    let mut all: Vec<DiscoveryCalls> = (0..300)
        .map(|seed| DiscoveryCalls::new(SETTINGS, seed))
        .collect();
    let mut at = vec![0.0; all.len()];
    for call in 1..8 {
        for (calls, at) in all.iter_mut().zip(&mut at) {
            *at += SETTINGS.first_quiet + calls.lost();
        }
        let (first, last) = at
            .iter()
            .fold((f64::MAX, 0.0_f64), |(a, b), t| (a.min(*t), b.max(*t)));
        assert!(last - first > 40.0, "call {call}: {first} to {last}");
        let tenth = (last - first) / 10.0;
        let most = (0..10).map(|part| {
            let from = first + f64::from(part) * tenth;
            at.iter()
                .filter(|t| **t >= from && **t < from + tenth)
                .count()
        });
        assert!(most.max().is_some_and(|most| most < 90), "call {call}");
    }
}

#[test]
fn a_call_goes_on_from_the_known_list_unless_it_is_the_first_at_its_address_or_the_last_list_was_older(
) {
    let (whole, since) = (FirstCall::WholeList, FirstCall::ChangesSince);
    let mut calls = DiscoveryCalls::new(
        DiscoverySettings {
            resumes: true,
            ..SETTINGS
        },
        1,
    );
    assert_eq!(
        calls.calling(Some(4)),
        whole,
        "what is known may be from long ago"
    );
    assert_eq!(calls.calling(Some(4)), since(4));
    assert_eq!(calls.calling(None), whole, "there is nothing to go on from");
    calls.moved();
    assert_eq!(calls.calling(Some(5)), whole);
    assert!(!calls.takes(false, 3, 5, 0.0));
    assert_eq!(calls.calling(Some(5)), whole, "it may count anew");
    assert_eq!(calls.calling(Some(5)), whole);
    assert!(calls.takes(true, 6, 5, 100.0));
    assert_eq!(calls.calling(Some(6)), since(6));
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.calling(Some(4));
    assert_eq!(
        calls.calling(Some(4)),
        whole,
        "where a call costs discovery nothing"
    );
}

/// A list that cannot be used costs discovery as much as a good one: the waits go on growing, and stay within the time
/// after which what it has counts as told.
#[test]
fn a_list_that_cannot_be_used_is_asked_for_less_and_less_often() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for most in [
        100.0,
        200.0,
        400.0,
        800.0,
        1600.0,
        UNUSABLE_MOST,
        UNUSABLE_MOST,
    ] {
        let wait = calls.unusable();
        assert!((most / 2.0..=most).contains(&wait), "{wait} of {most}");
    }
    assert!(
        calls.lost() <= SETTINGS.again_most,
        "one that is lost has its own most"
    );
    calls.answered();
    assert!(
        calls.unusable() <= 100.0,
        "a spoilt one is asked for again soon"
    );
    const { assert!(SETTINGS.connect + SETTINGS.quiet + UNUSABLE_MOST < 6_000.0) };
}
