//! Tests the limits and timeouts that are derived from the resources and settings of a process.

use cindercleat::interface::Discovery;
use cindercleat::resource_limits::{
    ProcessLimits, ResourceLimits, DISCOVERY_NOTIFIED_WITHIN_MS, RESERVED_FILE_DESCRIPTORS,
};

fn process() -> ProcessLimits {
    ProcessLimits {
        memory_bytes: 32e6,
        file_descriptors: 256,
        connect_timeout: 250.0,
        discovery: Discovery::Pushed,
        drain_grace: 2_000.0,
        engine_idle_timeout: Some(15_000.0),
        max_open_requests: Some(20_000),
        longest_time_to_deadline: 4_000.0,
        clients_resume: false,
    }
}

#[test]
fn limits_fit_into_the_resources_of_the_process() {
    let limits =
        ResourceLimits::for_process(&process()).expect("the process has enough file descriptors");
    assert!(
        limits.max_client_connections + limits.max_engine_connections + RESERVED_FILE_DESCRIPTORS
            <= 256
    );
    assert!(
        limits.max_client_connections * 3 >= 256,
        "clients must get at least a third of the file descriptors"
    );
    assert!(limits.max_open_requests <= limits.max_client_connections);
    assert!(limits.max_total_body_bytes < 8_000_000 && limits.engine_idle_timeout < 15_000.0 / 2.0);
    assert_eq!(
        limits.stop_streams_after, None,
        "streams must be ended early only if clients resume them"
    );
    assert!(ResourceLimits::for_process(&ProcessLimits {
        file_descriptors: RESERVED_FILE_DESCRIPTORS,
        ..process()
    })
    .is_none());
    assert!(ResourceLimits::for_process(&ProcessLimits {
        file_descriptors: 3,
        ..process()
    })
    .is_none());
}

/// The platform kills the process no earlier than the longest time to deadline (counted as 3 s if it is longer) plus
/// 0.7 s after the stop signal. Before the kill, clients must be able to resume their streams at another dispatcher,
/// and requests that are accepted shortly after the signal must be able to start.
#[test]
fn streams_are_ended_well_before_the_kill_whatever_the_deadlines_are() {
    for (longest_deadline, kill) in [
        (400.0, 1_100.0),
        (500.0, 1_200.0),
        (1_000.0, 1_700.0),
        (1_500.0, 2_200.0),
        (3_000.0, 3_700.0),
        (60_000.0, 3_700.0),
    ] {
        let process = ProcessLimits {
            longest_time_to_deadline: longest_deadline,
            clients_resume: true,
            ..process()
        };
        let limits =
            ResourceLimits::for_process(&process).expect("the process has enough file descriptors");
        let streams_end_at = limits
            .stop_streams_after
            .expect("streams are ended early if clients resume them");
        assert!(
            streams_end_at + 300.0 <= kill,
            "longest deadline {longest_deadline}: streams end at {streams_end_at} ms, too close to the kill at {kill} ms"
        );
        assert!(
            streams_end_at > limits.stop_accept_period,
            "longest deadline {longest_deadline}: requests are still accepted after streams were ended"
        );
        assert!(
            limits.stop_grace >= longest_deadline + kill,
            "longest deadline {longest_deadline}: the process stops before the last deadline"
        );
    }
}

/// With polled lists, a dispatcher counts as notified of a change six seconds after discovery had it and was reachable,
/// or sooner if the settings say so, whichever calls were lost. Silence timeout, backoffs and connects together must
/// take less than that, with a margin, for any connect timeout up to 1 s. The replacement of a silent watch must
/// take less than that as well.
#[test]
fn polled_discovery_is_called_again_well_before_the_notification_deadline() {
    for notified_within in [10_000.0, 6_000.0] {
        for connect_timeout in [50.0, 250.0, 500.0, 1_000.0] {
            let discovery = Discovery::Polled { notified_within };
            let limits = ResourceLimits::for_process(&ProcessLimits {
                connect_timeout,
                discovery,
                ..process()
            })
            .expect("the process has enough file descriptors");
            let settings = limits.discovery;
            assert!(
                settings.max_recovery_time() <= 0.92 * DISCOVERY_NOTIFIED_WITHIN_MS,
                "connect timeout {connect_timeout}: the list is requested again only after {} ms",
                settings.max_recovery_time()
            );
            let watch_replaced_after =
                settings.silence_timeout + settings.max_backoff + settings.connect_timeout;
            assert!(
                watch_replaced_after < limits.discovery_poll_wait + 4_000.0,
                "a silent watch is replaced only after {watch_replaced_after} ms"
            );
            assert!(
                settings.silence_timeout > limits.discovery_poll_wait,
                "the silence timeout must exceed the poll wait, for which discovery may delay an answer"
            );
        }
    }
}

/// With pushed lists, a dispatcher counts as notified as soon as discovery is reachable again and the agent has its
/// list. The agent never answers a call that was open at that time. The dispatcher must therefore call it again well
/// within the drain grace, whichever calls were not answered.
#[test]
fn a_silent_agent_is_called_again_within_the_drain_grace() {
    for drain_grace in [250.0, 500.0, 2_000.0] {
        for connect_timeout in [50.0, 250.0, 1_000.0] {
            let limits = ResourceLimits::for_process(&ProcessLimits {
                connect_timeout,
                drain_grace,
                ..process()
            })
            .expect("the process has enough file descriptors");
            let settings = limits.discovery;
            let called_again_after = settings.connect_timeout
                + settings.first_answer_timeout
                + settings.max_backoff
                + settings.connect_timeout;
            assert!(
                called_again_after <= 0.85 * drain_grace,
                "drain grace {drain_grace}, connect timeout {connect_timeout}: next call after {called_again_after} ms"
            );
            assert!(
                settings.silence_timeout > limits.discovery_poll_wait
                    && settings.max_recovery_time() < DISCOVERY_NOTIFIED_WITHIN_MS / 2.0
            );
        }
    }
}

/// A list of every engine of the largest fleet must fit into the size limit, even if it is indented and the names are
/// long. The size limit must not exceed an eighth of the memory.
#[test]
fn a_list_of_thousands_of_engines_fits_into_an_eighth_of_the_memory() {
    for memory in [32e6, 64e6, 192e6] {
        let limits = ResourceLimits::for_process(&ProcessLimits {
            memory_bytes: memory,
            ..process()
        })
        .expect("the process has enough file descriptors");
        assert!(
            limits.max_list_bytes >= 4_096 * 600,
            "a list may have only {} bytes",
            limits.max_list_bytes
        );
        assert!(
            limits.max_listed_engines >= 3_200,
            "a list may have only {} engines",
            limits.max_listed_engines
        );
        assert!(
            limits.max_list_bytes as f64 <= memory / 8.0,
            "a list may have {} bytes, more than an eighth of the memory",
            limits.max_list_bytes
        );
    }
}
