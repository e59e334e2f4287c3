//! Connections that carry one request at a time: when they are closed, and which makes room.

use cindercleat::client_connection::http1::{shed, CloseReason, Http1Connection, Http1Settings};
use cindercleat::interface::Discovery;
use cindercleat::resource_limits::{ProcessLimits, ResourceLimits};

const SETTINGS: Http1Settings = Http1Settings {
    first: 100.0,
    whole: 200.0,
    first_whole: 300.0,
    rest: 1000.0,
};

#[test]
fn each_phase_has_its_time_and_an_open_request_has_none() {
    let mut single = Http1Connection::new(0.0);
    assert_eq!(single.next_at(&SETTINGS), Some(100.0));
    assert_eq!(single.wanted(&SETTINGS, 99.0), None);
    single.partly(50.0);
    assert_eq!(single.next_at(&SETTINGS), Some(250.0));
    assert_eq!(single.whole(60.0), 10.0, "since its first part came");
    assert_eq!(single.next_at(&SETTINGS), None);
    assert_eq!(
        single.wanted(&SETTINGS, 1e9),
        None,
        "an open task is nobody's to cut off"
    );
    single.answered(70.0);
    assert_eq!(single.whole(80.0), 0.0);
    single.answered(90.0);
    assert_eq!(single.wanted(&SETTINGS, 1089.0), None);
    assert_eq!(single.wanted(&SETTINGS, 1090.0), Some(CloseReason::Silent));
    assert_eq!(single.wanted(&SETTINGS, 2000.0), None, "said once");
}

#[test]
fn half_a_request_is_slow_and_silence_is_silent() {
    let mut single = Http1Connection::new(0.0);
    assert_eq!(single.wanted(&SETTINGS, 100.0), Some(CloseReason::Silent));
    let mut single = Http1Connection::new(0.0);
    single.partly(10.0);
    assert_eq!(single.wanted(&SETTINGS, 209.0), None);
    assert_eq!(single.wanted(&SETTINGS, 210.0), Some(CloseReason::Slow));
}

#[test]
fn the_longest_silent_makes_room_first_and_one_with_an_open_request_never() {
    let new = Http1Connection::new;
    let open = |at| {
        let mut single = new(at);
        single.whole(at);
        single
    };
    let resting = |at| {
        let mut single = open(at);
        single.answered(at);
        single
    };
    let partly = |at| {
        let mut single = new(at);
        single.partly(at);
        single
    };
    let pick = |all: &[Http1Connection]| shed(all.iter().copied().enumerate());
    assert_eq!(
        pick(&[open(0.0), resting(1.0), new(9.0), partly(2.0), new(8.0)]),
        Some(4)
    );
    assert_eq!(
        pick(&[open(0.0), partly(0.5), resting(2.0), resting(1.0)]),
        Some(3)
    );
    assert_eq!(pick(&[open(0.0), partly(2.0), partly(1.0)]), Some(2));
    assert_eq!(pick(&[open(0.0), open(1.0)]), None);
    let mut told = new(0.0);
    assert_eq!(told.give_up(), CloseReason::Silent);
    assert_eq!(
        pick(&[told, new(5.0)]),
        Some(1),
        "one that was told makes no second room"
    );
}

/// Clients that stop in the middle of their first request are owed an end three seconds after they connected, whenever
/// they began.
#[test]
fn half_of_a_first_request_is_ended_three_seconds_after_the_connection_came_at_the_latest() {
    let given = ProcessLimits {
        memory: 64e6,
        descriptors: 256,
        connect_timeout: 250.0,
        discovery: Discovery::Pushed,
        drain_grace: 1_000.0,
        engine_idle: None,
        most_held: None,
        longest_deadline: 4_000.0,
        clients_resume: false,
    };
    let settings = ResourceLimits::of(&given).expect("room for work").clients;
    for begins in [0.0, 500.0, 1_000.0, 1_500.0, 1_999.0] {
        let mut single = Http1Connection::new(0.0);
        single.partly(begins);
        let ends = single.next_at(&settings).expect("it ends");
        assert!(ends <= 2_850.0, "begun at {begins}, ended at {ends}");
        assert!(
            ends >= begins + 500.0,
            "a slow client has time to go on: {begins}, {ends}"
        );
    }
}
