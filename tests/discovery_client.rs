//! Tests which list of endpoints a dispatcher asks discovery for, how long a call to discovery may be silent, and when
//! the next call is made.

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
fn the_backoff_doubles_up_to_its_maximum_and_is_reset_by_a_list_or_a_new_address() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for max_wait in [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0] {
        let wait = calls.backoff_after_loss();
        assert!(
            (max_wait / 2.0..=max_wait).contains(&wait),
            "backoff {wait} ms, at most {max_wait} ms"
        );
    }
    calls.list_received();
    assert!(calls.backoff_after_loss() <= 100.0);
    calls.backoff_after_loss();
    calls.address_changed();
    assert!(calls.backoff_after_loss() <= 100.0);
}

#[test]
fn the_first_answer_has_a_shorter_timeout_than_answers_that_wait_for_a_change() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.begin_call(None);
    assert_eq!(calls.silence_timeout(), 1000.0);
    calls.list_begun();
    assert_eq!(
        calls.silence_timeout(),
        2500.0,
        "the rest of a list that has begun to arrive may take longer"
    );
    calls.begin_call(None);
    assert_eq!(
        calls.silence_timeout(),
        1000.0,
        "each connection starts with the first-answer timeout"
    );
    calls.list_received();
    assert_eq!(calls.silence_timeout(), 2500.0);
}

/// Hundreds of dispatchers lose discovery at the same time. If they all called it again at the same time, it would be
/// overloaded each time. From the second call on, each round of 300 calls is spread over a period, and no tenth of that
/// period contains 90 calls or more.
#[test]
fn dispatchers_that_lose_discovery_together_do_not_reconnect_together() {
    let mut dispatchers: Vec<DiscoveryCalls> = (0..300)
        .map(|seed| DiscoveryCalls::new(SETTINGS, seed))
        .collect();
    let mut call_times = vec![0.0; dispatchers.len()];
    for call in 1..8 {
        for (calls, at) in dispatchers.iter_mut().zip(&mut call_times) {
            *at += SETTINGS.first_answer_timeout + calls.backoff_after_loss();
        }
        let (first, last) = call_times
            .iter()
            .fold((f64::MAX, 0.0_f64), |(a, b), t| (a.min(*t), b.max(*t)));
        assert!(
            last - first > 40.0,
            "call {call}: all dispatchers call between {first} ms and {last} ms"
        );
        let tenth = (last - first) / 10.0;
        let calls_per_tenth = (0..10).map(|part| {
            let from = first + f64::from(part) * tenth;
            call_times
                .iter()
                .filter(|t| **t >= from && **t < from + tenth)
                .count()
        });
        assert!(
            calls_per_tenth.max().is_some_and(|calls| calls < 90),
            "call {call}: too many dispatchers call at almost the same time"
        );
    }
}

#[test]
fn a_call_resumes_unless_it_is_the_first_at_its_address_or_the_last_list_was_outdated() {
    let (snapshot, changes_since) = (FirstCall::Snapshot, FirstCall::ChangesSince);
    let mut calls = DiscoveryCalls::new(
        DiscoverySettings {
            resume_from_known_version: true,
            ..SETTINGS
        },
        1,
    );
    assert_eq!(
        calls.begin_call(Some(4)),
        snapshot,
        "the first call at an address requests a snapshot, as the known list may be long outdated"
    );
    assert_eq!(calls.begin_call(Some(4)), changes_since(4));
    assert_eq!(
        calls.begin_call(None),
        snapshot,
        "without a known list there is nothing to resume from"
    );
    calls.address_changed();
    assert_eq!(calls.begin_call(Some(5)), snapshot);
    assert!(!calls.accept_version(false, 3, 5, 0.0));
    assert_eq!(
        calls.begin_call(Some(5)),
        snapshot,
        "discovery may have restarted its version numbers"
    );
    assert_eq!(calls.begin_call(Some(5)), snapshot);
    assert!(calls.accept_version(true, 6, 5, 100.0));
    assert_eq!(calls.begin_call(Some(6)), changes_since(6));
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    calls.begin_call(Some(4));
    assert_eq!(
        calls.begin_call(Some(4)),
        snapshot,
        "these settings do not allow calls to resume"
    );
}

/// Discovery sends unusable lists, each of which costs it as much as a usable one. The backoff must keep growing, and
/// must stay within the time after which a dispatcher counts as notified.
#[test]
fn the_backoff_grows_while_lists_are_unusable() {
    let mut calls = DiscoveryCalls::new(SETTINGS, 1);
    for max_wait in [
        100.0,
        200.0,
        400.0,
        800.0,
        1600.0,
        MAX_UNUSABLE_LIST_BACKOFF_MS,
        MAX_UNUSABLE_LIST_BACKOFF_MS,
    ] {
        let wait = calls.backoff_after_unusable_list();
        assert!(
            (max_wait / 2.0..=max_wait).contains(&wait),
            "backoff {wait} ms, at most {max_wait} ms"
        );
    }
    assert!(
        calls.backoff_after_loss() <= SETTINGS.max_backoff,
        "the backoff after a lost call must keep its own maximum"
    );
    calls.list_received();
    assert!(
        calls.backoff_after_unusable_list() <= 100.0,
        "after a usable list, the first unusable list must be requested again soon"
    );
    const {
        assert!(
            SETTINGS.connect_timeout + SETTINGS.silence_timeout + MAX_UNUSABLE_LIST_BACKOFF_MS
                < 6_000.0
        )
    };
}
