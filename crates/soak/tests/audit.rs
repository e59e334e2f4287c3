//! The audit reports no violation for a soak without faults, and reports a planted violation of each invariant. Further
//! tests check how plans and readings are drawn.

use cindercleat_soak::audit::*;
use cindercleat_soak::connection_trace::ConnectionTrace;
use cindercleat_soak::plan::{Engines, Fault, Plan};
use cindercleat_soak::readings::*;
use cindercleat_soak::Ms;
use std::rc::Rc;
use test_case::test_case;

const RULES: Rules = Rules {
    answer_grace: 500.0,
    drain_grace: 1_000.0,
    release_limit: 800.0,
    disconnect_grace: 100.0,
    deadline_slack: 150.0,
    event_delay: 300.0,
    slow_start_window: 2_000.0,
    slow_start_budget: 16.0,
    cold_time: 6_000.0,
    stalled_client_limit: 3_000.0,
    ready_limit: 10_000.0,
    timer_slack: 50.0,
    process_delay: 50.0,
};
const RUN: ProcessRun = ProcessRun {
    process: 0,
    start: 1,
};
const ENGINES: Engines = Engines {
    count: 8,
    kinds: 2,
    zones: 2,
};

/// An audit of one process, with one prefill engine `p` and one decode engine `d`.
fn audit() -> Audit {
    audit_with_readings(Readings::PLAIN)
}

fn audit_with_readings(readings: Readings) -> Audit {
    let mut audit = Audit::new(RULES, readings);
    audit.process_ready(50.0);
    audit.engine_in_service("p", None);
    audit.engine_in_service("d", None);
    audit
}

/// An attempt whose bytes leave and arrive at `begun`, on a connection without a trace.
fn new_attempt(
    request: &str,
    engine: &str,
    stage: Stage,
    begun: Ms,
    stated_remaining: f64,
) -> NewAttempt {
    let (request, engine) = (request.to_owned(), engine.to_owned());
    let stated_remaining = Some(stated_remaining);
    NewAttempt {
        request,
        engine,
        stage,
        sent: (begun, begun),
        begun,
        stated_remaining,
        trace: None,
    }
}

/// Adds a request sent at `at`, whose KV state is held from 20 ms later on.
fn add_prefilled_request(audit: &mut Audit, id: &str, effect: Effect, at: Ms) {
    audit.request_sent(id, RUN, effect, at, 1_000.0);
    let prefill = audit.attempt_begins(new_attempt(id, "p", Stage::Prefill, at + 1.0, 999.0));
    audit.state_held(id, "p", at + 20.0);
    audit.attempt_ends(prefill, AttemptEnd::Served, at + 20.0);
}

/// Adds a decode attempt whose engine has written two events.
fn add_decode_attempt(audit: &mut Audit, id: &str, at: Ms) -> AttemptId {
    let decode = audit.attempt_begins(new_attempt(id, "d", Stage::Decode, at, 100.0));
    audit.state_freed(id);
    audit.event_written(decode, at + 10.0);
    audit.event_written(decode, at + 20.0);
    decode
}

/// Adds a request that is served without a violation.
fn add_served_request(audit: &mut Audit, id: &str, effect: Effect, at: Ms) {
    add_prefilled_request(audit, id, effect, at);
    let decode = add_decode_attempt(audit, id, at + 21.0);
    audit.event_received(id, 0, at + 32.0);
    audit.event_received(id, 1, at + 42.0);
    audit.stream_complete(decode);
    audit.attempt_ends(decode, AttemptEnd::Served, at + 50.0);
    audit.answered(id, Answer::Complete(2), at + 51.0);
}

/// The violated invariants, without consecutive repeats.
fn violated(audit: Audit, now: Ms) -> Vec<Invariant> {
    let mut violated: Vec<Invariant> = audit
        .finish(now)
        .violations
        .iter()
        .map(|v| v.invariant)
        .collect();
    violated.dedup();
    violated
}

#[test]
fn a_soak_without_faults_has_no_violations_and_counts_its_cases() {
    let mut audit = audit();
    for at in 0..50 {
        add_served_request(
            &mut audit,
            &format!("r{at}"),
            Effect::AtMostOnce,
            f64::from(at) * 100.0,
        );
    }
    audit.stalled_client_ended(Some(2_900.0), 5_000.0);
    let report = audit.finish(9_000.0);
    assert_eq!(report.violations, []);
    for (invariant, cases) in [
        (Invariant::Answered, 50),
        (Invariant::RunOnce, 100),
        (Invariant::DrainKept, 100),
        (Invariant::StateReleased, 50),
        (Invariant::ClientThere, 100),
        (Invariant::DeadlineTold, 100),
        (Invariant::EventsInTime, 100),
        (Invariant::BadClientEnded, 1),
        (Invariant::ProcessUp, 1),
    ] {
        assert_eq!(report.cases.get(&invariant), Some(&cases), "{invariant}");
    }
}

/// What a client receives after its decode attempt has begun, and whether that violates `answered`.
#[test_case(Answer::None, false, true; "connection ends without an answer")]
#[test_case(Answer::None, true, false; "connection of a killed process ends")]
#[test_case(Answer::Complete(2), false, true; "complete stream that no engine has completed")]
#[test_case(Answer::Broken(1), false, true; "stream is cut off while its engine writes")]
#[test_case(Answer::Broken(0), false, true; "stream ends before its first event")]
#[test_case(Answer::Failed, false, false; "reported failure")]
fn an_end_without_a_valid_answer_is_reported(answer: Answer, killed: bool, is_violation: bool) {
    let mut audit = audit();
    add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
    add_decode_attempt(&mut audit, "a", 21.0);
    if killed {
        audit.process_killed(RUN, 50.0);
    }
    audit.answered("a", answer, 60.0);
    assert_eq!(
        violated(audit, 100.0),
        if is_violation {
            vec![Invariant::Answered]
        } else {
            vec![]
        }
    );
}

/// A process ends a stream while its engine continues to write. That is allowed only if no event has reached the
/// process for 3 s.
#[test]
fn a_stream_that_is_cut_off_is_reported_unless_it_has_stalled() {
    for (silent_from, ended_at, is_violation) in [
        (None, 4_200.0, true),
        (Some(100.0), 4_200.0, false),
        (Some(100.0), 2_000.0, true),
    ] {
        let mut audit = audit();
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        let trace = Rc::new(ConnectionTrace::default());
        let attempt = NewAttempt {
            trace: Some(trace.clone()),
            ..new_attempt("a", "d", Stage::Decode, 21.0, 900.0)
        };
        let decode = audit.attempt_begins(attempt);
        audit.state_freed("a");
        let mut number = 0;
        for at in (30..4_200)
            .step_by(20)
            .map(f64::from)
            .take_while(|at| *at < ended_at)
        {
            audit.event_written(decode, at);
            if silent_from.is_none_or(|from| at < from) {
                trace.answer_forwarded(at);
                audit.event_received("a", number, at);
                number += 1;
            }
        }
        audit.answered("a", Answer::Broken(number), ended_at);
        assert_eq!(
            violated(audit, ended_at),
            if is_violation {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

/// Guards against a blind audit: a client that receives events of another client's request is reported.
#[test]
fn an_event_of_another_request_is_reported() {
    for (named, expected) in [("a", vec![]), ("b", vec![Invariant::OwnAnswer])] {
        let mut audit = audit();
        add_served_request(&mut audit, "a", Effect::Idempotent, 0.0);
        audit.event_names_request("a", named, 32.0);
        assert_eq!(violated(audit, 100.0), expected, "event of {named}");
    }
}

#[test]
fn an_answer_that_is_late_or_never_comes_is_reported() {
    let mut audit = audit();
    audit.request_sent("late", RUN, Effect::Idempotent, 0.0, 1_000.0);
    audit.answered("late", Answer::Failed, 1_700.0);
    audit.request_sent("never", RUN, Effect::Idempotent, 0.0, 1_000.0);
    audit.request_sent("open", RUN, Effect::Idempotent, 8_500.0, 1_000.0);
    let report = audit.finish(9_000.0);
    assert_eq!(report.violations.len(), 2, "{:?}", report.violations);
}

/// Two requests are sent at once on a connection, so the answer of the second follows that of the first.
#[test]
fn an_answer_is_due_only_after_the_previous_answer_on_its_connection() {
    for (answered, is_violation) in [(2_400.0, false), (2_700.0, true)] {
        let mut audit = audit();
        audit.request_sent("behind", RUN, Effect::Idempotent, 0.0, 1_000.0);
        audit.previous_request_answered("behind", 2_000.0);
        audit.answered("behind", Answer::Rejected, answered);
        assert_eq!(
            violated(audit, 3_000.0),
            if is_violation {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

/// A decode attempt that has not arrived at its silent engine does not excuse a held state. The end of the prefill
/// counts from the time at which it reached the process.
#[test]
fn a_held_state_is_reported_although_an_attempt_for_it_is_on_its_way_to_a_silent_engine() {
    for (answer_forwarded, checked_at, is_violation) in [
        (Some(20.0), 860.0, false),
        (Some(20.0), 880.0, true),
        (Some(400.0), 1_200.0, false),
        (Some(400.0), 1_300.0, true),
        (None, 3_000.0, false),
    ] {
        let mut audit = audit();
        let trace = Rc::new(ConnectionTrace::default());
        audit.request_sent("a", RUN, Effect::Idempotent, 0.0, 4_000.0);
        let attempt = new_attempt("a", "p", Stage::Prefill, 1.0, 3_999.0);
        let prefill = audit.attempt_begins(NewAttempt {
            trace: Some(trace.clone()),
            ..attempt
        });
        audit.state_held("a", "p", 20.0);
        audit.attempt_ends(prefill, AttemptEnd::Served, 20.0);
        if let Some(at) = answer_forwarded {
            trace.answer_forwarded(at);
        }
        audit.check_held_states(checked_at);
        audit.answered("a", Answer::Failed, 4_000.0);
        audit.state_freed("a");
        assert_eq!(
            violated(audit, 4_000.0),
            if is_violation {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// A silent connection, on which no byte of the engine gets through, excuses no violation of the process.
#[test]
fn violations_are_reported_on_silent_connections() {
    let silent = || Some(Rc::new(ConnectionTrace::default()));
    let mut deadline = audit();
    deadline.request_sent("a", RUN, Effect::Idempotent, 0.0, 1_000.0);
    deadline.attempt_begins(NewAttempt {
        trace: silent(),
        ..new_attempt("a", "d", Stage::Prefill, 100.0, 1_200.0)
    });
    assert_eq!(violated(deadline, 200.0), [Invariant::DeadlineTold]);
    let mut drain = audit();
    drain.engine_out_of_service("d");
    drain.notified_out("d", 0, 0.0);
    drain.request_sent("a", RUN, Effect::Idempotent, 1_000.0, 1_000.0);
    drain.attempt_begins(NewAttempt {
        trace: silent(),
        ..new_attempt("a", "d", Stage::Prefill, 1_100.0, 900.0)
    });
    assert_eq!(violated(drain, 1_200.0), [Invariant::DrainKept]);
    let mut concurrent = audit();
    add_prefilled_request(&mut concurrent, "a", Effect::Idempotent, 0.0);
    concurrent.attempt_begins(NewAttempt {
        trace: silent(),
        ..new_attempt("a", "d", Stage::Decode, 30.0, 900.0)
    });
    concurrent.attempt_begins(new_attempt("a", "d", Stage::Decode, 400.0, 500.0));
    concurrent.state_freed("a");
    assert_eq!(violated(concurrent, 500.0), [Invariant::RunOnce]);
    let mut disconnected = audit();
    disconnected.request_sent("a", RUN, Effect::Idempotent, 0.0, 1_000.0);
    disconnected.client_disconnected("a", 10.0);
    disconnected.attempt_begins(NewAttempt {
        trace: silent(),
        ..new_attempt("a", "p", Stage::Prefill, 300.0, 600.0)
    });
    assert_eq!(violated(disconnected, 400.0), [Invariant::ClientThere]);
    let mut lost = audit();
    lost.request_sent("a", RUN, Effect::Idempotent, 0.0, 1_000.0);
    lost.attempt_begins(NewAttempt {
        trace: silent(),
        ..new_attempt("a", "p", Stage::Prefill, 300.0, 600.0)
    });
    assert_eq!(violated(lost, 2_000.0), [Invariant::Answered]);
}

/// An attempt whose connection the process has closed no longer runs, even if its engine has not noticed the close.
#[test]
fn an_attempt_may_follow_one_that_was_closed_on_a_silent_connection() {
    let mut audit = audit();
    add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
    let trace = Rc::new(ConnectionTrace::default());
    let first = NewAttempt {
        trace: Some(trace.clone()),
        ..new_attempt("a", "d", Stage::Decode, 30.0, 900.0)
    };
    audit.attempt_begins(first);
    trace.process_closed(280.0);
    audit.attempt_begins(new_attempt("a", "d", Stage::Decode, 282.0, 700.0));
    audit.state_freed("a");
    assert_eq!(violated(audit, 500.0), []);
}

#[test]
fn the_delay_of_an_event_counts_from_its_arrival_at_the_process() {
    for (forwarded, received, is_violation) in [
        (900.0, 910.0, false),
        (900.0, 1_400.0, true),
        (31.0, 500.0, true),
    ] {
        let mut audit = audit();
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        let trace = Rc::new(ConnectionTrace::default());
        let decode = audit.attempt_begins(NewAttempt {
            trace: Some(trace.clone()),
            ..new_attempt("a", "d", Stage::Decode, 21.0, 900.0)
        });
        audit.state_freed("a");
        audit.event_written(decode, 31.0);
        trace.answer_forwarded(forwarded);
        audit.event_received("a", 0, received);
        assert_eq!(
            violated(audit, 1_500.0),
            if is_violation {
                vec![Invariant::EventsInTime]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn a_stopping_process_owes_an_answer_unless_the_request_met_the_close_of_an_idle_connection() {
    for (is_unread, reached_engine) in [(true, false), (false, false), (false, true)] {
        let mut audit = audit();
        audit.process_stops(RUN, 0.0);
        audit.request_sent("a", RUN, Effect::Idempotent, 800.0, 1_000.0);
        if reached_engine {
            audit.attempt_begins(new_attempt("a", "p", Stage::Prefill, 810.0, 900.0));
        }
        if is_unread {
            audit.request_unread("a");
        }
        audit.answered("a", Answer::None, 900.0);
        assert_eq!(
            violated(audit, 1_000.0),
            if is_unread {
                vec![]
            } else {
                vec![Invariant::Answered]
            }
        );
    }
}

/// The last byte of a request is sent around the kill that ends a stop. The kill can only find a request unanswered that
/// was sent before it.
#[test]
fn a_request_sent_after_the_kill_of_a_stopping_process_is_not_owed() {
    for (sent, expected) in [(1_099.0, vec![Invariant::Answered]), (1_101.0, vec![])] {
        let mut audit = audit();
        audit.process_stops(RUN, 0.0);
        audit.process_killed_in_stop(RUN, 1_100.0);
        audit.request_sent("a", RUN, Effect::Idempotent, sent, 1_000.0);
        audit.answered("a", Answer::None, 1_102.0);
        assert_eq!(violated(audit, 1_200.0), expected, "sent at {sent}");
    }
}

/// When an unanswered request was sent, counted from SIGTERM, what its client received, and whether the request counts
/// as lost once the stopping process is killed.
#[test_case(600.0, Answer::None, false; "request within 0.7 s of the signal")]
#[test_case(800.0, Answer::None, true; "later request")]
#[test_case(800.0, Answer::Broken(1), true; "stream of a later request")]
fn a_late_request_that_is_unanswered_when_a_stopping_process_is_killed_is_lost(
    sent: Ms,
    answer: Answer,
    is_violation: bool,
) {
    for is_killed in [true, false] {
        let mut audit = audit();
        audit.process_stops(RUN, 0.0);
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, sent);
        add_decode_attempt(&mut audit, "a", sent + 21.0);
        if is_killed {
            audit.process_killed_in_stop(RUN, 1_100.0);
        }
        audit.answered("a", answer, 1_100.0);
        let is_violation = is_violation || !is_killed;
        assert_eq!(
            violated(audit, 1_200.0),
            if is_violation {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

/// How the first decode attempt ended, when the second one begins, and whether the class allows it.
#[test_case(Effect::AtMostOnce, AttemptEnd::Failed, 60.0, false; "at most once, after it may have run")]
#[test_case(Effect::AtMostOnce, AttemptEnd::Rejected, 60.0, true; "at most once, after it was rejected")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 60.0, true; "keyed, within its window")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 700.0, false; "keyed, after its window")]
#[test_case(Effect::Idempotent, AttemptEnd::Failed, 700.0, true; "idempotent")]
fn a_repeat_that_its_class_does_not_allow_is_reported(
    effect: Effect,
    end: AttemptEnd,
    at: Ms,
    allowed: bool,
) {
    let mut audit = audit();
    add_prefilled_request(&mut audit, "a", effect, 0.0);
    let first = add_decode_attempt(&mut audit, "a", 21.0);
    audit.attempt_ends(first, end, 40.0);
    add_decode_attempt(&mut audit, "a", at);
    assert_eq!(
        violated(audit, 900.0),
        if allowed {
            vec![]
        } else {
            vec![Invariant::RunOnce]
        }
    );
}

#[test]
fn concurrent_attempts_and_a_rejection_after_execution_are_reported() {
    let mut concurrent = audit();
    add_prefilled_request(&mut concurrent, "a", Effect::Idempotent, 0.0);
    add_decode_attempt(&mut concurrent, "a", 21.0);
    add_decode_attempt(&mut concurrent, "a", 200.0);
    assert_eq!(violated(concurrent, 900.0), [Invariant::RunOnce]);
    let mut rejected = audit();
    add_prefilled_request(&mut rejected, "a", Effect::AtMostOnce, 0.0);
    let attempt = add_decode_attempt(&mut rejected, "a", 21.0);
    rejected.attempt_ends(attempt, AttemptEnd::Failed, 40.0);
    rejected.answered("a", Answer::Rejected, 50.0);
    assert_eq!(violated(rejected, 900.0), [Invariant::RunOnce]);
}

#[test]
fn an_attempt_at_a_draining_engine_is_reported_after_the_grace_if_the_process_was_notified() {
    for (at, is_notified, is_violation) in [
        (900.0, true, false),
        (1_200.0, true, true),
        (1_200.0, false, false),
    ] {
        let mut audit = audit();
        audit.engine_out_of_service("p");
        if is_notified {
            audit.notified_out("p", 0, 0.0);
        }
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, at);
        audit.state_freed("a");
        assert_eq!(
            violated(audit, at + 100.0),
            if is_violation {
                vec![Invariant::DrainKept]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn a_state_that_is_held_too_long_is_reported_while_no_attempt_runs() {
    for (held_by_attempt, released, is_violation) in [
        (false, false, true),
        (true, false, false),
        (false, true, false),
    ] {
        let mut audit = audit();
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        if held_by_attempt {
            audit.attempt_begins(new_attempt("a", "d", Stage::Decode, 30.0, 900.0));
        }
        if released {
            audit.state_freed("a");
        }
        audit.check_held_states(1_000.0);
        audit.answered("a", Answer::Failed, 1_001.0);
        assert_eq!(
            violated(audit, 1_100.0),
            if is_violation {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// If a release frees only states that no attempt waits for, a release that arrives while an attempt runs does nothing.
#[test_case(ReleaseScope::Everything, false; "everything")]
#[test_case(ReleaseScope::WhatNoAttemptWaitsFor, true; "what no attempt waits for")]
fn a_state_whose_release_arrived_while_an_attempt_waited_is_reported(
    release: ReleaseScope,
    is_violation: bool,
) {
    for sent_again in [false, true] {
        let mut audit = audit_with_readings(Readings {
            release,
            ..Readings::PLAIN
        });
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        let decode = audit.attempt_begins(new_attempt("a", "d", Stage::Decode, 30.0, 900.0));
        audit.release_received("a");
        audit.attempt_ends(decode, AttemptEnd::Abandoned, 1_000.0);
        if sent_again {
            audit.release_received("a");
        }
        audit.answered("a", Answer::Failed, 1_001.0);
        audit.check_held_states(1_840.0);
        audit.check_held_states(1_860.0);
        let is_violation = is_violation && !sent_again;
        assert_eq!(
            violated(audit, 1_900.0),
            if is_violation {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// A process closes an attempt, and the engine notices the close later. The reading decides what a release does
/// in the meantime, and from when on the state counts as unused.
#[test]
fn the_reading_decides_when_a_closed_attempt_ends() {
    for (closed_attempt_ends, noticed, released, checked_at, is_violation) in [
        (
            ClosedAttemptEnds::AtTheClose,
            2_000.0,
            Some(110.0),
            1_000.0,
            false,
        ),
        (ClosedAttemptEnds::AtTheClose, 2_000.0, None, 1_000.0, true),
        (
            ClosedAttemptEnds::WhenTheEngineNotices,
            110.0,
            Some(105.0),
            1_000.0,
            true,
        ),
        (
            ClosedAttemptEnds::WhenTheEngineNotices,
            110.0,
            Some(115.0),
            1_000.0,
            false,
        ),
        (
            ClosedAttemptEnds::WhenTheEngineNotices,
            2_000.0,
            Some(110.0),
            1_999.0,
            false,
        ),
        (
            ClosedAttemptEnds::WhenTheEngineNotices,
            2_000.0,
            Some(110.0),
            2_900.0,
            true,
        ),
        (
            ClosedAttemptEnds::WhenTheEngineNotices,
            2_000.0,
            Some(2_010.0),
            2_900.0,
            false,
        ),
    ] {
        let readings = Readings {
            release: ReleaseScope::WhatNoAttemptWaitsFor,
            closed_attempt_ends,
            ..Readings::PLAIN
        };
        let mut audit = audit_with_readings(readings);
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        audit.client_disconnected("a", 100.0);
        let trace = Rc::new(ConnectionTrace::default());
        trace.process_closed(100.0);
        let attempt = NewAttempt {
            trace: Some(trace),
            ..new_attempt("a", "d", Stage::Decode, 30.0, 900.0)
        };
        let decode = audit.attempt_begins(attempt);
        let mut steps: Vec<(Ms, bool)> = vec![(noticed, false)];
        steps.extend(released.map(|at| (at, true)));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, is_release) in steps.into_iter().filter(|(at, _)| *at < checked_at) {
            match is_release {
                true => audit.release_received("a"),
                false => audit.attempt_ends(decode, AttemptEnd::Abandoned, at),
            }
        }
        audit.check_held_states(checked_at);
        let violated = violated(audit, checked_at);
        let expected = if is_violation {
            vec![Invariant::StateReleased]
        } else {
            vec![]
        };
        assert_eq!(
            violated, expected,
            "{closed_attempt_ends:?}, noticed at {noticed}, released at {released:?}"
        );
    }
}

#[test]
fn an_attempt_for_a_disconnected_client_and_a_too_long_deadline_are_reported() {
    for (begun, stated_remaining, expected) in [
        (150.0, 900.0, None),
        (250.0, 700.0, Some(Invariant::ClientThere)),
        (150.0, 1_200.0, Some(Invariant::DeadlineTold)),
    ] {
        let mut audit = audit();
        audit.request_sent("a", RUN, Effect::Idempotent, 0.0, 1_000.0);
        audit.client_disconnected("a", 10.0);
        audit.attempt_begins(new_attempt(
            "a",
            "p",
            Stage::Prefill,
            begun,
            stated_remaining,
        ));
        assert_eq!(
            violated(audit, 400.0),
            expected.into_iter().collect::<Vec<_>>()
        );
    }
}

#[test]
fn a_late_event_and_an_event_out_of_order_are_reported() {
    for (number, at, is_violation) in [(0, 400.0, false), (0, 500.0, true), (1, 100.0, true)] {
        let mut audit = audit();
        add_prefilled_request(&mut audit, "a", Effect::Idempotent, 0.0);
        add_decode_attempt(&mut audit, "a", 21.0);
        audit.event_received("a", number, at);
        assert_eq!(
            violated(audit, 600.0),
            if is_violation {
                vec![Invariant::EventsInTime]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn more_attempts_at_a_cold_engine_than_its_budget_are_reported() {
    // The limit is the budget of 16, plus three times its square root, plus 3: 31 attempts.
    for (attempts, started, is_violation) in [
        (31, Some(0.0), false),
        (32, Some(0.0), true),
        (100, None, false),
    ] {
        let mut audit = audit();
        audit.engine_in_service("new", started);
        for at in 0..attempts {
            let id = format!("r{at}");
            audit.request_sent(&id, RUN, Effect::Idempotent, 0.0, 5_000.0);
            audit.attempt_begins(new_attempt(
                &id,
                "new",
                Stage::Prefill,
                1.0 + f64::from(at),
                4_000.0,
            ));
        }
        assert_eq!(
            violated(audit, 1_000.0),
            if is_violation {
                vec![Invariant::SlowStart]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn a_stalled_client_that_is_not_ended_and_a_process_that_is_not_up_are_reported() {
    for (after, is_violation) in [(Some(3_050.0), false), (Some(3_200.0), true), (None, true)] {
        let mut audit = audit();
        audit.stalled_client_ended(after, 8_000.0);
        assert_eq!(
            violated(audit, 8_000.0),
            if is_violation {
                vec![Invariant::BadClientEnded]
            } else {
                vec![]
            }
        );
    }
    let mut crashed = audit();
    crashed.process_ended(RUN, false, "by itself", 10.0);
    assert_eq!(violated(crashed, 20.0), [Invariant::ProcessUp]);
    assert_eq!(
        violated(Audit::new(RULES, Readings::PLAIN), 20.0),
        [Invariant::ProcessUp],
        "no process became ready"
    );
    let mut slow = audit();
    slow.process_ready(11_000.0);
    assert_eq!(
        violated(slow, 20_000.0),
        [Invariant::ProcessUp],
        "one of two starts was late"
    );
}

#[test]
fn a_process_over_its_memory_is_reported() {
    for (used_kib, expected) in [(100, vec![]), (101, vec![Invariant::MemoryLimit])] {
        let mut audit = audit();
        audit.memory_used(0, used_kib, 100, 10.0);
        assert_eq!(violated(audit, 20.0), expected);
    }
}

#[test]
fn hostile_clients_are_determined_by_the_seed_and_meet_every_form() {
    let mut forms = Vec::new();
    for seed in 0..20 {
        let draw = || Plan::draw(1_000 * seed, 12, ENGINES, 20.0).hostile_groups;
        assert_eq!(draw(), draw());
        for group in draw() {
            assert!(group.process < 12 && group.clients > 0);
            forms.push(format!("{:?}", group.form));
        }
    }
    forms.sort();
    forms.dedup();
    assert_eq!(forms.len(), 8, "{forms:?}");
}

#[test]
fn faults_overlap_and_are_determined_by_the_seed() {
    for seed in 0..20 {
        let plan = Plan::draw(1_000 * seed, 12, ENGINES, 60.0);
        assert_eq!(
            plan.troubles,
            Plan::draw(1_000 * seed, 12, ENGINES, 60.0).troubles
        );
        let mean: f64 = plan.troubles.iter().map(|t| t.until - t.from).sum::<f64>() / 60_000.0;
        assert!((1.0..4.0).contains(&mean), "{mean:.1} faults at a time");
        assert_eq!(
            plan.readings,
            Plan::draw(1_000 * seed, 12, ENGINES, 60.0).readings
        );
        assert!(plan
            .troubles
            .iter()
            .all(|t| t.from >= 1_000.0 && t.until <= 57_500.0));
    }
}

/// Each reading is drawn in 30 % to 70 % of the soaks. Hangs, silences in both directions and silences in one direction
/// are equally frequent, so there are half as many hangs as silences.
#[test]
fn all_readings_are_drawn_and_hangs_are_as_frequent_as_silences() {
    let plans: Vec<Plan> = (0..200)
        .map(|seed| Plan::draw(1_000 * seed, 12, ENGINES, 60.0))
        .collect();
    let everything = plans
        .iter()
        .filter(|plan| plan.readings.release == ReleaseScope::Everything)
        .count();
    let at_the_close = plans
        .iter()
        .filter(|plan| plan.readings.closed_attempt_ends == ClosedAttemptEnds::AtTheClose)
        .count();
    let confirmed = plans
        .iter()
        .filter(|plan| plan.readings.hung_release == HungRelease::Confirmed)
        .count();
    let limited_slots = plans.iter().filter(|plan| plan.decodes_wait).count();
    let repeating = plans.iter().filter(|plan| plan.answers_repeat).count();
    for drawn in [
        everything,
        at_the_close,
        confirmed,
        limited_slots,
        repeating,
    ] {
        assert!((60..140).contains(&drawn), "drawn in {drawn} of 200 plans");
    }
    let count = |is: fn(&Fault) -> bool| {
        let faults = plans.iter().flat_map(|plan| &plan.troubles);
        faults.filter(|planned| is(&planned.fault)).count() as f64
    };
    let hangs = count(|fault| matches!(fault, Fault::Hang(_)));
    let silences = count(|fault| matches!(fault, Fault::Silence(_)));
    assert!(
        (0.4..0.6).contains(&(hangs / silences)),
        "{hangs} hangs, {silences} silences, half of which should block one direction only"
    );
}
