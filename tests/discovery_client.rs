//! Calls to discovery: what they ask for, and when the next is made.

use cindercleat::discovery_client::{
    DiscoveryCalls, DiscoverySettings, FirstCall, MAX_UNUSABLE_LIST_BACKOFF_MS,
};

const SETTINGS: DiscoverySettings = DiscoverySettings {
    connect_timeout: 250.0,
    first_answer_timeout: 1000.0,
    silence_timeout: 2500.0,
    initial_backoff: 100.0,
    max_backoff: 1000.0,
    resume_from_known_version: false,
};

#[test]
fn the_backoff_doubles_up_to_its_maximum_and_starts_anew_after_a_list_or_a_move() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for most in [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0] {
        let wait = calls.backoff_after_loss();
        assert!((most / 2.0..=most).contains(&wait), "{wait} of {most}");
    }
    calls.list_received();
    assert!(calls.backoff_after_loss() <= 100.0);
    calls.backoff_after_loss();
    calls.address_changed();
    assert!(calls.backoff_after_loss() <= 100.0);
}

#[test]
fn a_first_answer_is_waited_for_less_than_one_that_waits_for_a_change() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.begin_call(None);
    assert_eq!(calls.silence_timeout(), 1000.0);
    calls.answer_begun();
    assert_eq!(
        calls.silence_timeout(),
        2500.0,
        "a long list has begun to come"
    );
    calls.begin_call(None);
    assert_eq!(calls.silence_timeout(), 1000.0, "each connection anew");
    calls.list_received();
    assert_eq!(calls.silence_timeout(), 2500.0);
}

/// Hundreds of dispatchers lose discovery at the same instant. If they called it again at the same instant, it would be
/// overloaded each time: no tenth of the wait holds more than twice its part of them, from the second call on.
#[test]
fn hundreds_that_lose_discovery_together_do_not_come_back_together() {
    let mut all: Vec<DiscoveryCalls> = (0..300)
        .map(|seed| DiscoveryCalls::new(SETTINGS, seed))
        .collect();
    let mut at = vec![0.0; all.len()];
    for call in 1..8 {
        for (calls, at) in all.iter_mut().zip(&mut at) {
            *at += SETTINGS.first_answer_timeout + calls.backoff_after_loss();
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
    let (whole, since) = (FirstCall::Snapshot, FirstCall::ChangesSince);
    let mut calls = DiscoveryCalls::new(
        DiscoverySettings {
            resume_from_known_version: true,
            ..SETTINGS
        },
        1,
    );
    assert_eq!(
        calls.begin_call(Some(4)),
        whole,
        "what is known may be from long ago"
    );
    assert_eq!(calls.begin_call(Some(4)), since(4));
    assert_eq!(
        calls.begin_call(None),
        whole,
        "there is nothing to go on from"
    );
    calls.address_changed();
    assert_eq!(calls.begin_call(Some(5)), whole);
    assert!(!calls.accept_version(false, 3, 5, 0.0));
    assert_eq!(calls.begin_call(Some(5)), whole, "it may count anew");
    assert_eq!(calls.begin_call(Some(5)), whole);
    assert!(calls.accept_version(true, 6, 5, 100.0));
    assert_eq!(calls.begin_call(Some(6)), since(6));
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.begin_call(Some(4));
    assert_eq!(
        calls.begin_call(Some(4)),
        whole,
        "where a call costs discovery nothing"
    );
}

/// Discovery sends a list that cannot be used, which costs it as much as a good one. The backoff goes on growing, and
/// stays within the time after which what discovery has counts as known.
#[test]
fn a_list_that_cannot_be_used_is_asked_for_less_and_less_often() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for most in [
        100.0,
        200.0,
        400.0,
        800.0,
        1600.0,
        MAX_UNUSABLE_LIST_BACKOFF_MS,
        MAX_UNUSABLE_LIST_BACKOFF_MS,
    ] {
        let wait = calls.backoff_after_unusable_list();
        assert!((most / 2.0..=most).contains(&wait), "{wait} of {most}");
    }
    assert!(
        calls.backoff_after_loss() <= SETTINGS.max_backoff,
        "one that is lost has its own most"
    );
    calls.list_received();
    assert!(
        calls.backoff_after_unusable_list() <= 100.0,
        "a spoilt one is asked for again soon"
    );
    const {
        assert!(
            SETTINGS.connect_timeout + SETTINGS.silence_timeout + MAX_UNUSABLE_LIST_BACKOFF_MS
                < 6_000.0
        )
    };
}
