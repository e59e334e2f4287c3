//! Tests connections with many concurrent requests: a silent client is pinged, and a client that does not answer the
//! ping or cancels too many requests is disconnected.

use cindercleat::client_connection::multiplexed::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: MultiplexedSettings = MultiplexedSettings {
    keepalive_interval: 1000.0,
    ping_timeout: 500.0,
    cancel_burst: 10.0,
    cancels_per_second: 5.0,
};

/// A client's machine is gone, and TCP reports no error. Without a ping its connection would be held forever. The
/// connection is closed only if the ping is not answered.
#[test]
fn a_silent_client_is_pinged_and_disconnected_only_if_it_does_not_answer() {
    let mut connection = MultiplexedConnection::new(&SETTINGS, 0.0);
    assert_eq!(connection.due_command(&SETTINGS, 999.0), None);
    assert_eq!(
        connection.due_command(&SETTINGS, 1000.0),
        Some(ClientCommand::Ping)
    );
    assert_eq!(
        connection.due_command(&SETTINGS, 1499.0),
        None,
        "an unanswered ping must not be repeated"
    );
    connection.received(1499.0);
    assert_eq!(connection.due_command(&SETTINGS, 1500.0), None);
    assert_eq!(connection.next_due_at(&SETTINGS), 2499.0);
    assert_eq!(
        connection.due_command(&SETTINGS, 2499.0),
        Some(ClientCommand::Ping)
    );
    assert_eq!(
        connection.due_command(&SETTINGS, 2999.0),
        Some(ClientCommand::Close(CloseReason::PingTimeout))
    );
}

/// A client opens and cancels requests as fast as it can, and each request costs a decision. It must be disconnected
/// once it exceeds the burst. Cancellations at the allowed rate must never disconnect it.
#[test]
fn cancels_are_limited_by_a_burst_and_a_rate() {
    let mut connection = MultiplexedConnection::new(&SETTINGS, 0.0);
    for n in 0..10 {
        connection.request_cancelled(&SETTINGS, 0.0);
        assert_eq!(
            connection.due_command(&SETTINGS, 0.0),
            None,
            "cancellation {n} is within the burst"
        );
    }
    // One cancellation every 200 ms is the allowed rate, which a client may keep up for any length of time.
    for n in 1..1000 {
        let now = 200.0 * f64::from(n);
        connection.received(now);
        connection.request_cancelled(&SETTINGS, now);
        assert_eq!(connection.due_command(&SETTINGS, now), None);
    }
    connection.request_cancelled(&SETTINGS, 199_800.0);
    assert_eq!(
        connection.due_command(&SETTINGS, 199_800.0),
        Some(ClientCommand::Close(CloseReason::TooManyCancels))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    /// In any order of events, no more cancellations are accepted than the burst and the rate allow. A client that
    /// answers each ping in time is not disconnected for its silence. One that does not answer is disconnected after
    /// the keepalive interval plus the ping timeout.
    #[test]
    fn cancel_limit_and_ping_timeout_hold_in_any_order_of_events(steps in prop::collection::vec((0u8..4, 0u16..700), 1..200), answers_pings in any::<bool>()) {
        let mut connection = MultiplexedConnection::new(&SETTINGS, 0.0);
        let (mut now, mut received_at, mut cancels) = (0.0, 0.0, 0.0f64);
        for (event, wait) in steps {
            let until: f64 = now + f64::from(wait);
            while connection.next_due_at(&SETTINGS) <= until {
                now = f64::max(now, connection.next_due_at(&SETTINGS));
                match connection.due_command(&SETTINGS, now) {
                    Some(ClientCommand::Ping) if answers_pings => { connection.received(now); received_at = now; }
                    Some(ClientCommand::Ping) => prop_assert!(now >= received_at + SETTINGS.keepalive_interval),
                    Some(ClientCommand::Close(CloseReason::PingTimeout)) => {
                        prop_assert!(!answers_pings);
                        prop_assert_eq!(now, received_at + SETTINGS.keepalive_interval + SETTINGS.ping_timeout);
                        return Ok(());
                    }
                    Some(ClientCommand::Close(CloseReason::TooManyCancels)) => {
                        prop_assert!(cancels > SETTINGS.cancel_burst);
                        return Ok(());
                    }
                    None => prop_assert!(false, "next_due_at has returned an instant without a due command"),
                }
            }
            now = until;
            connection.received(now);
            received_at = now;
            if event == 0 {
                connection.request_cancelled(&SETTINGS, now);
                cancels += 1.0;
                prop_assert!(cancels <= SETTINGS.cancel_burst + now / 1000.0 * SETTINGS.cancels_per_second + 1.0);
            }
        }
    }
}
