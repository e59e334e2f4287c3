//! Tests the pool of connections to an engine: single decisions, and invariants under random sequences of events.

use cindercleat::connection_pool::*;
use cindercleat::interface::Ms;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn settings() -> PoolSettings {
    PoolSettings {
        max_streams_per_connection: 10,
        max_connections: 3,
        connect_timeout: 250.0,
        idle_timeout: 5000.0,
        keepalive_interval: 2000.0,
        ping_timeout: 500.0,
        initial_backoff: 100.0,
        max_backoff: 1000.0,
        reuse_delay: 0.0,
    }
}

/// Settings for connections that carry one stream at a time, whose messages do not name their stream.
fn single_stream_settings() -> PoolSettings {
    PoolSettings {
        max_streams_per_connection: 1,
        max_connections: 9,
        reuse_delay: 100.0,
        ..settings()
    }
}

const A: ConnectionId = ConnectionId(1);
const B: ConnectionId = ConnectionId(2);

/// A pool with one established connection that carries `streams` streams.
fn pool_with_streams(streams: usize) -> ConnectionPool {
    let mut pool = ConnectionPool::new(settings(), 1);
    pool.connecting(A, 0.0);
    pool.connected(A, None, 10.0);
    (0..streams).for_each(|_| pool.stream_opened(A, 10.0));
    pool
}

#[test]
fn a_stream_goes_to_the_established_connection_with_the_most_streams_that_accepts_another() {
    let mut pool = pool_with_streams(3);
    pool.connecting(B, 10.0);
    pool.stream_opened(B, 10.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 11.0),
        Placement::Existing(A)
    );
    pool.connected(B, None, 12.0);
    (0..4).for_each(|_| pool.stream_opened(B, 12.0));
    assert_eq!(
        pool.place(StreamKind::Attempt, 13.0),
        Placement::Existing(B)
    );
}

#[test]
fn the_stream_limit_of_the_engine_applies_if_it_is_lower_than_that_of_the_settings() {
    let mut pool = ConnectionPool::new(settings(), 1);
    pool.connecting(A, 0.0);
    pool.connected(A, Some(2), 1.0);
    (0..2).for_each(|_| pool.stream_opened(A, 1.0));
    assert_eq!(
        pool.place(StreamKind::Attempt, 2.0),
        Placement::NewConnection
    );
}

/// The maximum number of connections is reached, and all of them are full. A further connection would overload the
/// engine. The stream must be refused, so that the caller knows that nothing was sent.
#[test]
fn a_stream_is_not_placed_if_the_maximum_number_of_connections_is_full() {
    let mut pool = ConnectionPool::new(settings(), 1);
    for id in 1..=3 {
        assert_eq!(
            pool.place(StreamKind::Attempt, 1.0),
            Placement::NewConnection
        );
        pool.connecting(ConnectionId(id), 1.0);
        pool.connected(ConnectionId(id), None, 1.0);
        (0..10).for_each(|_| pool.stream_opened(ConnectionId(id), 1.0));
    }
    assert_eq!(
        pool.place(StreamKind::Attempt, 1.0),
        Placement::Unavailable(PlacementError::PoolExhausted)
    );
    assert_eq!(
        pool.due_commands(1.0, true),
        [],
        "the maximum also applies to connections that are opened ahead of need"
    );
}

/// A stream that has to wait until a connection is established is late. A further connection is therefore opened before
/// the others are full, but not to an engine that drains, which gets no new streams.
#[test]
fn a_connection_is_opened_ahead_of_need_but_not_to_an_engine_that_drains() {
    let mut pool = pool_with_streams(8);
    assert_eq!(
        pool.due_commands(11.0, true),
        [],
        "no connection must be opened while two of ten streams are free"
    );
    pool.stream_opened(A, 11.0);
    assert_eq!(pool.due_commands(11.0, false), []);
    assert_eq!(pool.due_commands(11.0, true), [PoolCommand::Connect]);
    pool.connecting(B, 11.0);
    assert_eq!(
        pool.due_commands(11.0, true),
        [],
        "no connection must be opened while another one is being established"
    );
}

/// An engine announces that it will close a connection. It would refuse a new stream on that connection. Open streams
/// must continue, and the connection must be closed after the last one.
#[test]
fn a_draining_connection_keeps_its_streams_and_gets_no_new_ones() {
    let mut pool = pool_with_streams(1);
    pool.mark_draining(A);
    assert_eq!(
        pool.place(StreamKind::Attempt, 20.0),
        Placement::NewConnection
    );
    assert_eq!(
        pool.due_commands(20.0, true),
        [PoolCommand::Connect],
        "a draining connection in use must be replaced ahead of need"
    );
    pool.stream_ended(A, StreamKind::Attempt, 30.0);
    assert_eq!(
        pool.due_commands(30.0, true),
        [PoolCommand::Close(A, CloseReason::Drained)]
    );
}

/// An engine is down, and each request for it would start another connect. The backoff between connects must double,
/// with jitter. It is reset when the engine has a new process.
#[test]
fn failed_connects_back_off_until_the_backoff_is_reset() {
    let mut pool = ConnectionPool::new(settings(), 7);
    let (mut now, mut waits) = (0.0, Vec::new());
    for id in 0..8 {
        assert_eq!(
            pool.place(StreamKind::Attempt, now),
            Placement::NewConnection
        );
        pool.connecting(ConnectionId(id), now);
        assert_eq!(pool.due_commands(now + 249.0, true), []);
        assert_eq!(
            pool.due_commands(now + 250.0, true),
            [PoolCommand::Close(
                ConnectionId(id),
                CloseReason::ConnectTimeout
            )]
        );
        pool.closed(ConnectionId(id), now + 250.0);
        let closed_at = now + 250.0;
        now = closed_at;
        while pool.place(StreamKind::Attempt, now)
            == Placement::Unavailable(PlacementError::BackingOff)
        {
            now += 1.0;
        }
        waits.push(now - closed_at);
    }
    // The backoff is 100 ms, doubled up to 1 s, times a random factor from 0.5 to 1.5.
    for (failures, wait) in waits.iter().enumerate() {
        let base = (100.0 * f64::from(failures as u32).exp2()).min(1000.0);
        assert!(
            *wait >= 0.5 * base && *wait <= 1.5 * base + 1.0,
            "backoff {wait} ms after {failures} earlier failures; all: {waits:?}"
        );
    }
    pool.connecting(A, now);
    pool.closed(A, now);
    assert_eq!(
        pool.place(StreamKind::Attempt, now),
        Placement::Unavailable(PlacementError::BackingOff)
    );
    pool.reset_backoff();
    assert_eq!(
        pool.place(StreamKind::Attempt, now),
        Placement::NewConnection
    );
}

/// An engine's machine is gone, and TCP reports no error. Without a ping, streams would wait forever. The connection is
/// closed only if the ping is not answered.
#[test]
fn a_silent_connection_with_streams_is_pinged_and_closed_if_it_does_not_answer() {
    let mut pool = pool_with_streams(1);
    assert_eq!(pool.next_due_at(), Some(2010.0));
    assert_eq!(pool.due_commands(2009.0, true), []);
    assert_eq!(pool.due_commands(2010.0, true), [PoolCommand::Ping(A)]);
    assert_eq!(
        pool.due_commands(2011.0, true),
        [],
        "an unanswered ping must not be repeated"
    );
    pool.received(A, 2400.0);
    assert_eq!(
        pool.due_commands(2510.0, true),
        [],
        "a connection must not be closed after its ping was answered"
    );
    assert_eq!(pool.due_commands(4400.0, true), [PoolCommand::Ping(A)]);
    assert_eq!(pool.due_commands(4899.0, true), []);
    assert_eq!(
        pool.due_commands(4900.0, true),
        [PoolCommand::Close(A, CloseReason::PingTimeout)]
    );
}

#[test]
fn a_connection_without_streams_is_not_pinged_but_closed_when_idle() {
    let mut pool = pool_with_streams(1);
    pool.stream_ended(A, StreamKind::Attempt, 100.0);
    assert_eq!(pool.due_commands(5099.0, true), []);
    assert_eq!(
        pool.due_commands(5100.0, true),
        [PoolCommand::Close(A, CloseReason::Idle)]
    );
}

/// Random numbers that determine an event: its kind, the connection that it concerns, and the milliseconds since the
/// last event.
type Draw = (u8, u8, u16);

/// The state that a connection should have after the events so far.
#[derive(Debug, Default)]
struct ExpectedConnection {
    established: bool,
    streams: usize,
    draining: bool,
}

/// Passes the events to a pool and checks its invariants after each. Returns the number of pings, closes and refused
/// streams.
fn check_invariants(draws: &[Draw], seed: u64) -> Result<[usize; 3], TestCaseError> {
    let settings = settings();
    let mut pool = ConnectionPool::new(settings, seed);
    let mut expected: BTreeMap<ConnectionId, ExpectedConnection> = BTreeMap::new();
    let (mut now, mut last_id, mut counts): (Ms, u64, [usize; 3]) = (0.0, 0, [0; 3]);
    for &(kind_of_event, which, after) in draws {
        let until = now + f64::from(after % 1500);
        while let Some(at) = pool.next_due_at().filter(|at| *at <= until) {
            now = now.max(at);
            for command in pool.due_commands(now, !which.is_multiple_of(7)) {
                match command {
                    PoolCommand::Connect => {
                        last_id += 1;
                        pool.connecting(ConnectionId(last_id), now);
                        expected.insert(ConnectionId(last_id), ExpectedConnection::default());
                    }
                    PoolCommand::Ping(id) => {
                        prop_assert!(
                            expected[&id].established && expected[&id].streams > 0,
                            "pinged a connection without streams"
                        );
                        counts[0] += 1;
                    }
                    PoolCommand::Close(id, reason) => {
                        let connection = expected.remove(&id).unwrap_or_default();
                        let is_justified = match reason {
                            CloseReason::ConnectTimeout => !connection.established,
                            CloseReason::Idle => connection.established && connection.streams == 0,
                            CloseReason::PingTimeout => {
                                connection.established && connection.streams > 0
                            }
                            CloseReason::Drained => connection.draining && connection.streams == 0,
                        };
                        prop_assert!(
                            is_justified,
                            "closed with reason {reason:?} in the state {connection:?}"
                        );
                        pool.closed(id, now);
                        counts[1] += 1;
                    }
                }
            }
        }
        prop_assert!(
            pool.next_due_at().is_none_or(|at| at > until),
            "a command is due in the past after all due commands were returned"
        );
        now = until;
        let chosen = expected
            .keys()
            .copied()
            .nth(usize::from(which) % expected.len().max(1));
        match (kind_of_event % 8, chosen) {
            (0..=3, _) => match pool.place(StreamKind::Attempt, now) {
                Placement::Existing(id) => {
                    let connection = expected
                        .get_mut(&id)
                        .expect("streams must be placed on open connections only");
                    prop_assert!(
                        connection.streams < settings.max_streams_per_connection
                            && !connection.draining
                    );
                    connection.streams += 1;
                    pool.stream_opened(id, now);
                }
                Placement::NewConnection => {
                    last_id += 1;
                    pool.connecting(ConnectionId(last_id), now);
                    let connection = ExpectedConnection {
                        streams: 1,
                        ..ExpectedConnection::default()
                    };
                    expected.insert(ConnectionId(last_id), connection);
                    pool.stream_opened(ConnectionId(last_id), now);
                }
                Placement::Replacement(id) => {
                    return Err(TestCaseError::fail(format!(
                        "{id:?} is to be replaced although connections are reusable at once"
                    )));
                }
                Placement::Unavailable(_) => counts[2] += 1,
            },
            (4, Some(id)) => {
                if let Some(connection) = expected
                    .get_mut(&id)
                    .filter(|connection| !connection.established && !connection.draining)
                {
                    connection.established = true;
                    pool.connected(id, None, now);
                }
            }
            (5, Some(id)) => {
                if let Some(connection) = expected
                    .get_mut(&id)
                    .filter(|connection| connection.streams > 0)
                {
                    connection.streams -= 1;
                    pool.stream_ended(id, StreamKind::Attempt, now);
                }
            }
            (6, Some(id)) => {
                expected.remove(&id);
                pool.closed(id, now);
            }
            (7, Some(id)) if expected[&id].established => {
                pool.received(id, now);
                if which.is_multiple_of(3) {
                    expected
                        .entry(id)
                        .and_modify(|connection| connection.draining = true);
                    pool.mark_draining(id);
                }
            }
            _ => {}
        }
        let accepting = expected
            .values()
            .filter(|connection| !connection.draining)
            .count();
        prop_assert!(
            accepting <= settings.max_connections,
            "{accepting} connections accept streams, more than the maximum"
        );
    }
    Ok(counts)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn random_events_never_exceed_the_connection_limit_or_cause_an_unjustified_close(
        draws in prop::collection::vec(any::<Draw>(), 1..300),
        seed in any::<u64>(),
    ) {
        check_invariants(&draws, seed)?;
    }
}

#[test]
fn a_long_random_sequence_leads_to_pings_closes_and_refused_streams() {
    let mix = |i: u32| i.wrapping_mul(0x9e37_79b9) ^ (i >> 2).wrapping_mul(0x85eb_ca6b);
    let draws: Vec<Draw> = (0..20_000)
        .map(mix)
        .map(|m| ((m >> 24) as u8, (m >> 9) as u8, ((m >> 3) % 1400) as u16))
        .collect();
    let counts = check_invariants(&draws, 2).unwrap_or_else(|e| panic!("{e}"));
    assert!(
        counts.iter().all(|n| *n > 10),
        "too few pings, closes or refused streams: {counts:?}"
    );
}

/// A pool of single-stream connections, each with the instant at which its only stream so far has ended.
fn pool_with_ended_streams(settings: PoolSettings, ended_at: &[(u64, Ms)]) -> ConnectionPool {
    let mut pool = ConnectionPool::new(settings, 1);
    for &(id, at) in ended_at {
        pool.connecting(ConnectionId(id), 0.0);
        pool.connected(ConnectionId(id), Some(1), 0.0);
        pool.stream_opened(ConnectionId(id), 0.0);
        pool.stream_ended(ConnectionId(id), StreamKind::Attempt, at);
    }
    pool
}

/// Engines close connections that have been idle for long, and some engines close each connection right after an
/// answer. A stream on a connection that is being closed is lost. The pool must choose the connection that became idle
/// last, except one that became idle only just now.
#[test]
fn the_connection_that_became_idle_last_is_reused_but_not_one_that_became_idle_just_now() {
    let ended_at = [(1, 10.0), (2, 50.0), (3, 99.9)];
    let mut pool = pool_with_ended_streams(single_stream_settings(), &ended_at);
    // The engine may close the third connection right after its answer, and the first because of its long idle time.
    for id in [2, 1] {
        assert_eq!(
            pool.place(StreamKind::Attempt, 150.0),
            Placement::Existing(ConnectionId(id))
        );
        pool.stream_opened(ConnectionId(id), 150.0);
    }
    assert_eq!(
        pool.place(StreamKind::Attempt, 150.0),
        Placement::NewConnection
    );
    assert_eq!(
        pool.place(StreamKind::Attempt, 199.9),
        Placement::Existing(ConnectionId(3))
    );
    pool.stream_opened(ConnectionId(3), 199.9);
    assert_eq!(
        pool.place(StreamKind::Attempt, 199.9),
        Placement::NewConnection
    );
}

/// Guards against foreign answers: an engine sends a second answer some milliseconds after the first, and on a
/// connection that was reused meanwhile it counts as the answer to the next request.
#[test]
fn no_attempt_reuses_a_connection_until_a_second_answer_to_the_last_one_would_have_arrived() {
    let mut pool = pool_with_ended_streams(single_stream_settings(), &[(1, 10.0)]);
    for after in [0.0, 1.0, 5.0, 8.0, 50.0, 99.0] {
        assert_eq!(
            pool.place(StreamKind::Attempt, 10.0 + after),
            Placement::NewConnection,
            "{after} ms after the end of the last attempt"
        );
        // No client receives the answer to a health check, and it starts no delay.
        let existing = Placement::Existing(ConnectionId(1));
        assert_eq!(pool.place(StreamKind::Control, 10.0 + after), existing);
        pool.stream_opened(ConnectionId(1), 10.0 + after);
        pool.stream_ended(ConnectionId(1), StreamKind::Control, 10.0 + after);
    }
    let existing = Placement::Existing(ConnectionId(1));
    assert_eq!(pool.place(StreamKind::Attempt, 110.0), existing);
    pool.stream_opened(ConnectionId(1), 110.0);
    pool.connecting(ConnectionId(2), 110.0);
    pool.connected(ConnectionId(2), Some(1), 120.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 120.0),
        Placement::Existing(ConnectionId(2)),
        "a connection that has carried no attempt yet is used at once"
    );
}

/// The maximum number of connections is reached, and an idle one is not reusable yet. The stream must neither be refused
/// nor use that connection; a connection that carries a stream must not be replaced.
#[test]
fn at_the_connection_limit_an_idle_connection_that_is_not_reusable_is_replaced() {
    let settings = PoolSettings {
        max_connections: 3,
        ..single_stream_settings()
    };
    let mut pool = pool_with_ended_streams(settings, &[(1, 30.0), (2, 20.0), (3, 25.0)]);
    pool.stream_opened(ConnectionId(2), 20.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 40.0),
        Placement::Replacement(ConnectionId(3))
    );
    pool.closed(ConnectionId(3), 40.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 40.0),
        Placement::NewConnection
    );
    pool.connecting(ConnectionId(4), 40.0);
    pool.stream_opened(ConnectionId(4), 40.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 40.0),
        Placement::Replacement(ConnectionId(1))
    );
    pool.stream_opened(ConnectionId(1), 130.0);
    assert_eq!(
        pool.place(StreamKind::Attempt, 130.0),
        Placement::Unavailable(PlacementError::PoolExhausted)
    );
}

/// If each connection carries only one stream, opening connections ahead of need would add a connect for each stream,
/// and an engine at peak load would get twice as many connections.
#[test]
fn connections_for_one_stream_are_not_opened_ahead_of_need() {
    let mut pool = ConnectionPool::new(single_stream_settings(), 1);
    pool.connecting(ConnectionId(1), 0.0);
    pool.connected(ConnectionId(1), None, 0.0);
    pool.stream_opened(ConnectionId(1), 0.0);
    assert!(!pool.wants_connection(1.0));
    assert!(!pool.due_commands(1.0, true).contains(&PoolCommand::Connect));
}
