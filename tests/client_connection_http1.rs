//! Tests when connections with one request at a time are closed, and which one is evicted to make room for another one.

use cindercleat::client_connection::http1::{
    connection_to_evict, CloseReason, Http1Connection, Http1Settings,
};
use cindercleat::interface::Discovery;
use cindercleat::resource_limits::{ProcessLimits, ResourceLimits};

const SETTINGS: Http1Settings = Http1Settings {
    first_byte_timeout: 100.0,
    request_read_timeout: 200.0,
    first_request_timeout: 300.0,
    idle_timeout: 1000.0,
};

#[test]
fn each_phase_has_its_timeout_and_an_open_request_has_none() {
    let mut connection = Http1Connection::new(0.0);
    assert_eq!(connection.next_due_at(&SETTINGS), Some(100.0));
    assert_eq!(connection.due_close(&SETTINGS, 99.0), None);
    connection.request_begun(50.0);
    assert_eq!(connection.next_due_at(&SETTINGS), Some(250.0));
    assert_eq!(
        connection.request_received(60.0),
        10.0,
        "the request took 10 ms from its first part to its last"
    );
    assert_eq!(connection.next_due_at(&SETTINGS), None);
    assert_eq!(
        connection.due_close(&SETTINGS, 1e9),
        None,
        "a connection with an open request must not be closed"
    );
    connection.response_sent(70.0);
    assert_eq!(connection.request_received(80.0), 0.0);
    connection.response_sent(90.0);
    assert_eq!(connection.due_close(&SETTINGS, 1089.0), None);
    assert_eq!(
        connection.due_close(&SETTINGS, 1090.0),
        Some(CloseReason::Idle)
    );
    assert_eq!(
        connection.due_close(&SETTINGS, 2000.0),
        None,
        "the reason must be returned only once"
    );
}

/// A client sends nothing or only part of a request. Without a timeout, both would hold a connection forever. The
/// reason of the close determines how the caller closes the connection.
#[test]
fn a_partial_request_and_a_silent_connection_are_closed_for_different_reasons() {
    let mut connection = Http1Connection::new(0.0);
    assert_eq!(
        connection.due_close(&SETTINGS, 100.0),
        Some(CloseReason::Idle)
    );
    let mut connection = Http1Connection::new(0.0);
    connection.request_begun(10.0);
    assert_eq!(connection.due_close(&SETTINGS, 209.0), None);
    assert_eq!(
        connection.due_close(&SETTINGS, 210.0),
        Some(CloseReason::SlowRequest)
    );
}

/// Clients open the maximum number of connections and send nothing. The connection that has waited longest is closed to
/// make room for a new one. A connection with an open request is never evicted, because its answer would be lost.
#[test]
fn the_longest_silent_connection_is_evicted_first_and_one_with_an_open_request_never() {
    let new = Http1Connection::new;
    let open = |at| {
        let mut connection = new(at);
        connection.request_received(at);
        connection
    };
    let idle = |at| {
        let mut connection = open(at);
        connection.response_sent(at);
        connection
    };
    let reading = |at| {
        let mut connection = new(at);
        connection.request_begun(at);
        connection
    };
    let evicted_index = |connections: &[Http1Connection]| {
        connection_to_evict(connections.iter().copied().enumerate())
    };
    assert_eq!(
        evicted_index(&[open(0.0), idle(1.0), new(9.0), reading(2.0), new(8.0)]),
        Some(4)
    );
    assert_eq!(
        evicted_index(&[open(0.0), reading(0.5), idle(2.0), idle(1.0)]),
        Some(3)
    );
    assert_eq!(
        evicted_index(&[open(0.0), reading(2.0), reading(1.0)]),
        Some(2)
    );
    assert_eq!(evicted_index(&[open(0.0), open(1.0)]), None);
    let mut evicted = new(0.0);
    assert_eq!(evicted.evict(), CloseReason::Idle);
    assert_eq!(
        evicted_index(&[evicted, new(5.0)]),
        Some(1),
        "an evicted connection must not be chosen again"
    );
    assert_eq!(reading(0.0).evict(), CloseReason::Evicted);
}

/// A request has arrived in full before the connection was closed. The connection then continues: it has its timeouts
/// again and can be evicted.
#[test]
fn a_request_that_arrives_before_the_close_ends_the_close() {
    let mut connection = Http1Connection::new(0.0);
    connection.request_begun(10.0);
    assert!(connection.due_close(&SETTINGS, 210.0).is_some());
    assert_eq!(connection.next_due_at(&SETTINGS), None);
    assert_eq!(connection.request_received(211.0), 201.0);
    assert_eq!(connection.next_due_at(&SETTINGS), None);
    connection.response_sent(220.0);
    assert_eq!(connection.next_due_at(&SETTINGS), Some(1220.0));
    assert_eq!(connection_to_evict([(7, connection)].into_iter()), Some(7));
}

/// A client that stops in the middle of its first request must be disconnected within three seconds of the accept,
/// whenever it began the request.
#[test]
fn a_partial_first_request_is_closed_within_three_seconds_of_the_accept() {
    let process = ProcessLimits {
        memory_bytes: 64e6,
        file_descriptors: 256,
        connect_timeout: 250.0,
        discovery: Discovery::Pushed,
        drain_grace: 1_000.0,
        engine_idle_timeout: None,
        max_open_requests: None,
        longest_time_to_deadline: 4_000.0,
        clients_resume: false,
    };
    let settings = ResourceLimits::for_process(&process)
        .expect("the process has enough file descriptors")
        .client_timeouts;
    for begun_at in [0.0, 500.0, 1_000.0, 1_500.0, 1_999.0] {
        let mut connection = Http1Connection::new(0.0);
        connection.request_begun(begun_at);
        let closed_at = connection
            .next_due_at(&settings)
            .expect("a partial request has a timeout");
        assert!(
            closed_at <= 2_850.0,
            "request begun at {begun_at} ms, connection closed only at {closed_at} ms"
        );
        assert!(
            closed_at >= begun_at + 500.0,
            "closed too early for a slow client: request begun at {begun_at} ms, connection closed at {closed_at} ms"
        );
    }
}
