//! The connections to an engine: tables of decisions, and random sequences that are checked for what must always hold.

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
    }
}

const A: ConnectionId = ConnectionId(1);
const B: ConnectionId = ConnectionId(2);

/// A pool with one established connection that carries so many streams.
fn carrying(streams: usize) -> ConnectionPool {
    let mut pool = ConnectionPool::new(settings(), 1);
    pool.connecting(A, 0.0);
    pool.connected(A, None, 10.0);
    (0..streams).for_each(|_| pool.stream_opened(A, 10.0));
    pool
}

#[test]
fn a_stream_takes_the_fullest_connection_with_room_and_prefers_an_established_one() {
    let mut pool = carrying(3);
    pool.connecting(B, 10.0);
    pool.stream_opened(B, 10.0);
    assert_eq!(pool.place(11.0), Placement::Existing(A));
    pool.connected(B, None, 12.0);
    (0..4).for_each(|_| pool.stream_opened(B, 12.0));
    assert_eq!(pool.place(13.0), Placement::Existing(B));
}

#[test]
fn the_engines_own_limit_counts_if_it_is_lower() {
    let mut pool = ConnectionPool::new(settings(), 1);
    pool.connecting(A, 0.0);
    pool.connected(A, Some(2), 1.0);
    (0..2).for_each(|_| pool.stream_opened(A, 1.0));
    assert_eq!(pool.place(2.0), Placement::NewConnection);
}

/// All connections that an engine may have are full. Another would overload it: the stream is not placed, and the
/// caller knows that nothing was sent.
#[test]
fn beyond_the_maximum_of_connections_a_stream_is_not_placed() {
    let mut pool = ConnectionPool::new(settings(), 1);
    for id in 1..=3 {
        assert_eq!(pool.place(1.0), Placement::NewConnection);
        pool.connecting(ConnectionId(id), 1.0);
        pool.connected(ConnectionId(id), None, 1.0);
        (0..10).for_each(|_| pool.stream_opened(ConnectionId(id), 1.0));
    }
    assert_eq!(
        pool.place(1.0),
        Placement::Unavailable(PlacementError::PoolExhausted)
    );
    assert_eq!(
        pool.due_commands(1.0, true),
        [],
        "nor is one connected ahead"
    );
}

/// A stream that has to wait for a connect is late. One more connection is opened before the others are full, but not
/// to an engine that drains, which would get no stream.
#[test]
fn one_is_connected_ahead_when_little_room_is_left_and_not_to_an_engine_that_drains() {
    let mut pool = carrying(8);
    assert_eq!(
        pool.due_commands(11.0, true),
        [],
        "two of ten are room enough"
    );
    pool.stream_opened(A, 11.0);
    assert_eq!(pool.due_commands(11.0, false), []);
    assert_eq!(pool.due_commands(11.0, true), [PoolCommand::Connect]);
    pool.connecting(B, 11.0);
    assert_eq!(pool.due_commands(11.0, true), [], "one is coming");
}

/// An engine announces that it closes a connection. A new stream on it would be refused; open ones go on, and it is
/// closed with the last.
#[test]
fn a_connection_that_drains_keeps_its_streams_and_gets_no_other() {
    let mut pool = carrying(1);
    pool.going_away(A);
    assert_eq!(pool.place(20.0), Placement::NewConnection);
    assert_eq!(
        pool.due_commands(20.0, true),
        [PoolCommand::Connect],
        "what is in use is replaced ahead of need"
    );
    pool.stream_ended(A, 30.0);
    assert_eq!(
        pool.due_commands(30.0, true),
        [PoolCommand::Close(A, CloseReason::Drained)]
    );
}

/// An engine is down, and each request for it would start a connect. The backoff doubles with jitter, and ends at once
/// when the engine's process is a new one.
#[test]
fn failed_connects_back_off_and_are_retried_at_once_when_there_is_reason() {
    let mut pool = ConnectionPool::new(settings(), 7);
    let (mut now, mut waits) = (0.0, Vec::new());
    for id in 0..8 {
        assert_eq!(pool.place(now), Placement::NewConnection);
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
        let begin = now + 250.0;
        now = begin;
        while pool.place(now) == Placement::Unavailable(PlacementError::BackingOff) {
            now += 1.0;
        }
        waits.push(now - begin);
    }
    // 100 ms doubled up to 1 s, half of it or half as much again by chance.
    for (at, wait) in waits.iter().enumerate() {
        let base = (100.0 * f64::from(at as u32).exp2()).min(1000.0);
        assert!(
            *wait >= 0.5 * base && *wait <= 1.5 * base + 1.0,
            "{at}: {waits:?}"
        );
    }
    pool.connecting(A, now);
    pool.closed(A, now);
    assert_eq!(
        pool.place(now),
        Placement::Unavailable(PlacementError::BackingOff)
    );
    pool.reset_backoff();
    assert_eq!(pool.place(now), Placement::NewConnection);
}

/// An engine's machine is gone, and TCP reports nothing. The streams would wait for ever: the connection is pinged, and
/// closed when no answer comes.
#[test]
fn a_silent_connection_with_streams_is_pinged_and_closed_if_it_does_not_answer() {
    let mut pool = carrying(1);
    assert_eq!(pool.next_due_at(), Some(2010.0));
    assert_eq!(pool.due_commands(2009.0, true), []);
    assert_eq!(pool.due_commands(2010.0, true), [PoolCommand::Ping(A)]);
    assert_eq!(pool.due_commands(2011.0, true), [], "it is asked once");
    pool.received(A, 2400.0);
    assert_eq!(pool.due_commands(2510.0, true), [], "it answered");
    assert_eq!(pool.due_commands(4400.0, true), [PoolCommand::Ping(A)]);
    assert_eq!(pool.due_commands(4899.0, true), []);
    assert_eq!(
        pool.due_commands(4900.0, true),
        [PoolCommand::Close(A, CloseReason::PingTimeout)]
    );
}

#[test]
fn a_connection_without_streams_is_not_pinged_but_closed_when_idle() {
    let mut pool = carrying(1);
    pool.stream_ended(A, 100.0);
    assert_eq!(pool.due_commands(5099.0, true), []);
    assert_eq!(
        pool.due_commands(5100.0, true),
        [PoolCommand::Close(A, CloseReason::Idle)]
    );
}

/// What happens, to which connection, and how many milliseconds after the last event.
type Draw = (u8, u8, u16);

fn play(draws: &[Draw], seed: u64) -> Result<[usize; 3], TestCaseError> {
    let settings = settings();
    let mut pool = ConnectionPool::new(settings, seed);
    // Each connection: whether it is established, its streams, and whether it drains.
    let mut mine: BTreeMap<ConnectionId, (bool, usize, bool)> = BTreeMap::new();
    let (mut now, mut next, mut met): (Ms, u64, [usize; 3]) = (0.0, 0, [0; 3]);
    for &(what, whom, after) in draws {
        let until = now + f64::from(after % 1500);
        while let Some(at) = pool.next_due_at().filter(|at| *at <= until) {
            now = now.max(at);
            for act in pool.due_commands(now, !whom.is_multiple_of(7)) {
                match act {
                    PoolCommand::Connect => {
                        next += 1;
                        pool.connecting(ConnectionId(next), now);
                        mine.insert(ConnectionId(next), (false, 0, false));
                    }
                    PoolCommand::Ping(id) => {
                        prop_assert!(mine[&id].0 && mine[&id].1 > 0, "asked without need");
                        met[0] += 1;
                    }
                    PoolCommand::Close(id, why) => {
                        let (up, streams, leaving) = mine.remove(&id).unwrap_or_default();
                        let fits = match why {
                            CloseReason::ConnectTimeout => !up,
                            CloseReason::Idle => up && streams == 0,
                            CloseReason::PingTimeout => up && streams > 0,
                            CloseReason::Drained => leaving && streams == 0,
                        };
                        prop_assert!(fits, "closed for {why:?} while up {up} with {streams}");
                        pool.closed(id, now);
                        met[1] += 1;
                    }
                }
            }
        }
        prop_assert!(
            pool.next_due_at().is_none_or(|at| at > until),
            "it wants nothing over and over"
        );
        now = until;
        let pick = mine
            .keys()
            .copied()
            .nth(usize::from(whom) % mine.len().max(1));
        match (what % 8, pick) {
            (0..=3, _) => match pool.place(now) {
                Placement::Existing(id) => {
                    let (_, streams, leaving) = mine
                        .get_mut(&id)
                        .map(|m| (m.0, &mut m.1, m.2))
                        .expect("known");
                    prop_assert!(*streams < settings.max_streams_per_connection && !leaving);
                    *streams += 1;
                    pool.stream_opened(id, now);
                }
                Placement::NewConnection => {
                    next += 1;
                    pool.connecting(ConnectionId(next), now);
                    mine.insert(ConnectionId(next), (false, 1, false));
                    pool.stream_opened(ConnectionId(next), now);
                }
                Placement::Unavailable(_) => met[2] += 1,
            },
            (4, Some(id)) => {
                if let Some(m) = mine.get_mut(&id).filter(|m| !m.0 && !m.2) {
                    m.0 = true;
                    pool.connected(id, None, now);
                }
            }
            (5, Some(id)) => {
                if let Some(m) = mine.get_mut(&id).filter(|m| m.1 > 0) {
                    m.1 -= 1;
                    pool.stream_ended(id, now);
                }
            }
            (6, Some(id)) => {
                mine.remove(&id);
                pool.closed(id, now);
            }
            (7, Some(id)) if mine[&id].0 => {
                pool.received(id, now);
                if whom.is_multiple_of(3) {
                    mine.entry(id).and_modify(|m| m.2 = true);
                    pool.going_away(id);
                }
            }
            _ => {}
        }
        let taking = mine.values().filter(|m| !m.2).count();
        prop_assert!(taking <= settings.max_connections, "{taking} pool");
    }
    Ok(met)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn whatever_happens_connections_stay_few_and_are_closed_for_a_reason(
        draws in prop::collection::vec(any::<Draw>(), 1..300),
        seed in any::<u64>(),
    ) {
        play(&draws, seed)?;
    }
}

#[test]
fn long_sequences_meet_pings_closes_and_refusals() {
    let mix = |i: u32| i.wrapping_mul(0x9e37_79b9) ^ (i >> 2).wrapping_mul(0x85eb_ca6b);
    let draws: Vec<Draw> = (0..20_000)
        .map(mix)
        .map(|m| ((m >> 24) as u8, (m >> 9) as u8, ((m >> 3) % 1400) as u16))
        .collect();
    let met = play(&draws, 2).unwrap_or_else(|e| panic!("{e}"));
    assert!(met.iter().all(|n| *n > 10), "{met:?}");
}

/// Engines close connections that have been idle for long, and some close right after an answer. A stream on a
/// connection that is being closed is lost: the one that became idle last is chosen, but not one that became idle only
/// just now.
#[test]
fn the_connection_that_became_idle_last_is_used_again_but_not_one_that_did_just_now() {
    let mut pool = ConnectionPool::new(
        PoolSettings {
            max_streams_per_connection: 1,
            max_connections: 9,
            ..settings()
        },
        1,
    );
    for (id, rests_since) in [(1, 10.0), (2, 50.0), (3, 99.9)] {
        pool.connecting(ConnectionId(id), 0.0);
        pool.connected(ConnectionId(id), None, 0.0);
        pool.stream_opened(ConnectionId(id), 0.0);
        pool.stream_ended(ConnectionId(id), rests_since);
    }
    // Its engine may be about to close the third; the first, for want of use.
    for id in [2, 1, 3] {
        assert_eq!(pool.place(100.0), Placement::Existing(ConnectionId(id)));
        pool.stream_opened(ConnectionId(id), 100.0);
    }
    assert_eq!(pool.place(100.0), Placement::NewConnection);
}

/// Where a connection carries one stream, each would have another opened ahead of need, and an engine at its peak would
/// get twice as many.
#[test]
fn connections_for_one_stream_are_not_opened_ahead() {
    let mut pool = ConnectionPool::new(
        PoolSettings {
            max_streams_per_connection: 1,
            max_connections: 9,
            ..settings()
        },
        1,
    );
    pool.connecting(ConnectionId(1), 0.0);
    pool.connected(ConnectionId(1), None, 0.0);
    pool.stream_opened(ConnectionId(1), 0.0);
    assert!(!pool.wants_connection(1.0));
    assert!(!pool.due_commands(1.0, true).contains(&PoolCommand::Connect));
}
