//! A client's connection: asked when quiet, given up when it does not answer or floods.

use cindercleat::client_connection::multiplexed::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: MultiplexedSettings = MultiplexedSettings {
    quiet: 1000.0,
    ping_timeout: 500.0,
    cancels: 10.0,
    cancels_per_s: 5.0,
};

#[test]
fn a_quiet_client_is_asked_and_given_up_only_if_it_does_not_answer() {
    let mut caller = MultiplexedConnection::new(&SETTINGS, 0.0);
    assert_eq!(caller.wanted(&SETTINGS, 999.0), None);
    assert_eq!(caller.wanted(&SETTINGS, 1000.0), Some(ClientCommand::Ping));
    assert_eq!(caller.wanted(&SETTINGS, 1499.0), None, "one ping is enough");
    caller.heard(1499.0);
    assert_eq!(caller.wanted(&SETTINGS, 1500.0), None);
    assert_eq!(caller.next_at(&SETTINGS), 2499.0);
    assert_eq!(caller.wanted(&SETTINGS, 2499.0), Some(ClientCommand::Ping));
    assert_eq!(
        caller.wanted(&SETTINGS, 2999.0),
        Some(ClientCommand::Close(CloseReason::Dead))
    );
}

#[test]
fn cancels_are_borne_up_to_a_burst_and_a_pace() {
    let mut caller = MultiplexedConnection::new(&SETTINGS, 0.0);
    for n in 0..10 {
        caller.cancelled(&SETTINGS, 0.0);
        assert_eq!(caller.wanted(&SETTINGS, 0.0), None, "cancel {n}");
    }
    // One each 200 ms may go on for ever.
    for n in 1..1000 {
        let now = 200.0 * f64::from(n);
        caller.heard(now);
        caller.cancelled(&SETTINGS, now);
        assert_eq!(caller.wanted(&SETTINGS, now), None);
    }
    caller.cancelled(&SETTINGS, 199_800.0);
    assert_eq!(
        caller.wanted(&SETTINGS, 199_800.0),
        Some(ClientCommand::Close(CloseReason::Flood))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever comes when: no more than the burst and the pace are borne, a client that answers each ping in
    /// time is not called dead, and one that does not is, by the two times together.
    #[test]
    fn whatever_comes(steps in prop::collection::vec((0u8..4, 0u16..700), 1..200), answers in any::<bool>()) {
        let mut caller = MultiplexedConnection::new(&SETTINGS, 0.0);
        let (mut now, mut heard, mut cancels) = (0.0, 0.0, 0.0f64);
        for (what, wait) in steps {
            let until: f64 = now + f64::from(wait);
            while caller.next_at(&SETTINGS) <= until {
                now = f64::max(now, caller.next_at(&SETTINGS));
                match caller.wanted(&SETTINGS, now) {
                    Some(ClientCommand::Ping) if answers => { caller.heard(now); heard = now; }
                    Some(ClientCommand::Ping) => prop_assert!(now >= heard + SETTINGS.quiet),
                    Some(ClientCommand::Close(CloseReason::Dead)) => {
                        prop_assert!(!answers);
                        prop_assert_eq!(now, heard + SETTINGS.quiet + SETTINGS.ping_timeout);
                        return Ok(());
                    }
                    Some(ClientCommand::Close(CloseReason::Flood)) => {
                        prop_assert!(cancels > SETTINGS.cancels);
                        return Ok(());
                    }
                    None => prop_assert!(false, "asked at its own time, with nothing to do"),
                }
            }
            now = until;
            caller.heard(now);
            heard = now;
            if what == 0 {
                caller.cancelled(&SETTINGS, now);
                cancels += 1.0;
                prop_assert!(cancels <= SETTINGS.cancels + now / 1000.0 * SETTINGS.cancels_per_s + 1.0);
            }
        }
    }
}
