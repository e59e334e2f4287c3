//! Connections that carry one request at a time: when they are closed, and which one is evicted.

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
fn each_phase_has_its_time_and_an_open_request_has_none() {
    let mut connection = Http1Connection::new(0.0);
    assert_eq!(connection.next_due_at(&SETTINGS), Some(100.0));
    assert_eq!(connection.due_close(&SETTINGS, 99.0), None);
    connection.request_begun(50.0);
    assert_eq!(connection.next_due_at(&SETTINGS), Some(250.0));
    assert_eq!(
        connection.request_received(60.0),
        10.0,
        "since its first part came"
    );
    assert_eq!(connection.next_due_at(&SETTINGS), None);
    assert_eq!(
        connection.due_close(&SETTINGS, 1e9),
        None,
        "an open task is nobody's to cut off"
    );
    connection.response_sent(70.0);
    assert_eq!(connection.request_received(80.0), 0.0);
    connection.response_sent(90.0);
    assert_eq!(connection.due_close(&SETTINGS, 1089.0), None);
    assert_eq!(
        connection.due_close(&SETTINGS, 1090.0),
        Some(CloseReason::Idle)
    );
    assert_eq!(connection.due_close(&SETTINGS, 2000.0), None, "said once");
}

/// A client sends nothing, or half a request. Both would hold a connection for ever; the reason decides how the
/// connection is closed.
#[test]
fn half_a_request_and_a_silent_connection_are_closed_for_different_reasons() {
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

/// Clients open as many connections as there may be and send nothing. A connection that has waited longest makes room
/// for a new one; one with an open request never does, as its answer would be lost.
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
    let pick = |all: &[Http1Connection]| connection_to_evict(all.iter().copied().enumerate());
    assert_eq!(
        pick(&[open(0.0), idle(1.0), new(9.0), reading(2.0), new(8.0)]),
        Some(4)
    );
    assert_eq!(
        pick(&[open(0.0), reading(0.5), idle(2.0), idle(1.0)]),
        Some(3)
    );
    assert_eq!(pick(&[open(0.0), reading(2.0), reading(1.0)]), Some(2));
    assert_eq!(pick(&[open(0.0), open(1.0)]), None);
    let mut evicted = new(0.0);
    assert_eq!(evicted.evict(), CloseReason::Idle);
    assert_eq!(
        pick(&[evicted, new(5.0)]),
        Some(1),
        "one that was evicted makes no second room"
    );
}

/// Clients that stop in the middle of their first request are owed an end three seconds after they connected, whenever
/// they began.
#[test]
fn half_of_a_first_request_is_ended_three_seconds_after_the_connection_came_at_the_latest() {
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
        .expect("room for work")
        .client_timeouts;
    for begins in [0.0, 500.0, 1_000.0, 1_500.0, 1_999.0] {
        let mut connection = Http1Connection::new(0.0);
        connection.request_begun(begins);
        let ends = connection.next_due_at(&settings).expect("it ends");
        assert!(ends <= 2_850.0, "begun at {begins}, ended at {ends}");
        assert!(
            ends >= begins + 500.0,
            "a slow client has time to go on: {begins}, {ends}"
        );
    }
}
