//! The judge: a soak in which all goes well breaks nothing, and a planted fault of each kind is found.

use cindercleat_soak::audit::*;
use cindercleat_soak::passage::Passage;
use cindercleat_soak::plan::{Engines, Plan, Trouble};
use cindercleat_soak::readings::*;
use cindercleat_soak::Ms;
use std::rc::Rc;
use test_case::test_case;

const RULES: Rules = Rules {
    answer_grace: 500.0,
    drain_grace: 1_000.0,
    release: 800.0,
    gone_grace: 100.0,
    deadline_slack: 150.0,
    event_delay: 300.0,
    slow_start_window: 2_000.0,
    slow_start_budget: 16.0,
    cold_for: 6_000.0,
    bad_client: 3_000.0,
    ready: 10_000.0,
    any_time: 50.0,
    held_up: 50.0,
};
const LIFE: Life = Life {
    process: 0,
    start: 1,
};
const ENGINES: Engines = Engines {
    count: 8,
    kinds: 2,
    zones: 2,
};

/// A soak of one process, with a prefill and a decode engine.
fn audit() -> Audit {
    audit_reading(Readings::PLAIN)
}

fn audit_reading(readings: Readings) -> Audit {
    let mut audit = Audit::new(RULES, readings);
    audit.process_ready(50.0);
    audit.engine_in_service("p", None);
    audit.engine_in_service("d", None);
    audit
}

fn new(request: &str, engine: &str, stage: Stage, begun: Ms, told_left: f64) -> NewAttempt {
    let (request, engine) = (request.to_owned(), engine.to_owned());
    let told_left = Some(told_left);
    NewAttempt {
        request,
        engine,
        stage,
        sent: (begun, begun),
        begun,
        told_left,
        passage: None,
    }
}

/// A request that was read; its state waits since 20 ms after it was sent.
fn prefilled(audit: &mut Audit, id: &str, effect: Effect, at: Ms) {
    audit.request_sent(id, LIFE, effect, at, 1_000.0);
    let prefill = audit.attempt_begins(new(id, "p", Stage::Prefill, at + 1.0, 999.0));
    audit.state_held(id, "p", at + 20.0);
    audit.attempt_ends(prefill, AttemptEnd::Served, at + 20.0);
}

/// Its answer of two events, as far as its engine writes it.
fn decoding(audit: &mut Audit, id: &str, at: Ms) -> AttemptId {
    let decode = audit.attempt_begins(new(id, "d", Stage::Decode, at, 100.0));
    audit.state_taken(id);
    audit.event_written(decode, at + 10.0);
    audit.event_written(decode, at + 20.0);
    decode
}

fn served(audit: &mut Audit, id: &str, effect: Effect, at: Ms) {
    prefilled(audit, id, effect, at);
    let decode = decoding(audit, id, at + 21.0);
    audit.event_came(id, 0, at + 32.0);
    audit.event_came(id, 1, at + 42.0);
    audit.stream_complete(decode);
    audit.attempt_ends(decode, AttemptEnd::Served, at + 50.0);
    audit.answered(id, Answer::Whole(2), at + 51.0);
}

/// The invariants that were violated, once each.
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
fn a_soak_in_which_all_goes_well_breaks_nothing_and_counts_its_cases() {
    let mut audit = audit();
    for at in 0..50 {
        served(
            &mut audit,
            &format!("r{at}"),
            Effect::AtMostOnce,
            f64::from(at) * 100.0,
        );
    }
    audit.bad_client_ended(Some(2_900.0), 5_000.0);
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

/// What may happen to a request, and whether its answer is owed.
#[test_case(Answer::Nothing, false, true; "a connection that ends without a word")]
#[test_case(Answer::Nothing, true, false; "of a process that was killed")]
#[test_case(Answer::Whole(2), false, true; "a whole stream that no engine has ended")]
#[test_case(Answer::Broken(1), false, true; "a stream that is cut while its engine writes")]
#[test_case(Answer::Broken(0), false, true; "a stream that ends before its first event")]
#[test_case(Answer::Failed, false, false; "a failure that is said")]
fn an_end_that_is_no_answer_is_found(answer: Answer, killed: bool, found: bool) {
    let mut audit = audit();
    prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
    decoding(&mut audit, "a", 21.0);
    if killed {
        audit.process_killed(LIFE, 50.0);
    }
    audit.answered("a", answer, 60.0);
    assert_eq!(
        violated(audit, 100.0),
        if found {
            vec![Invariant::Answered]
        } else {
            vec![]
        }
    );
}

/// A stream that its process ends while its engine goes on writing, into a network that lets nothing through, or not.
#[test]
fn a_stream_that_is_cut_is_found_unless_nothing_of_it_has_come_through_for_long() {
    for (silent_from, cut_at, found) in [
        (None, 4_200.0, true),
        (Some(100.0), 4_200.0, false),
        (Some(100.0), 2_000.0, true),
    ] {
        let mut audit = audit();
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        let passage = Rc::new(Passage::default());
        let attempt = NewAttempt {
            passage: Some(passage.clone()),
            ..new("a", "d", Stage::Decode, 21.0, 900.0)
        };
        let decode = audit.attempt_begins(attempt);
        audit.state_taken("a");
        let mut number = 0;
        for at in (30..4_200)
            .step_by(20)
            .map(f64::from)
            .take_while(|at| *at < cut_at)
        {
            audit.event_written(decode, at);
            if silent_from.is_none_or(|from| at < from) {
                passage.answer_passed(at);
                audit.event_came("a", number, at);
                number += 1;
            }
        }
        audit.answered("a", Answer::Broken(number), cut_at);
        assert_eq!(
            violated(audit, cut_at),
            if found {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn an_answer_that_is_late_or_never_comes_is_found() {
    let mut audit = audit();
    audit.request_sent("late", LIFE, Effect::Idempotent, 0.0, 1_000.0);
    audit.answered("late", Answer::Failed, 1_700.0);
    audit.request_sent("never", LIFE, Effect::Idempotent, 0.0, 1_000.0);
    audit.request_sent("open", LIFE, Effect::Idempotent, 8_500.0, 1_000.0);
    let report = audit.finish(9_000.0);
    assert_eq!(report.violations.len(), 2, "{:?}", report.violations);
}

/// Two requests at once on a connection: the answer of the second comes behind that of the first.
#[test]
fn an_answer_is_due_no_sooner_than_the_one_before_it_on_its_connection_and_in_time_from_then() {
    for (answered, found) in [(2_400.0, false), (2_700.0, true)] {
        let mut audit = audit();
        audit.request_sent("behind", LIFE, Effect::Idempotent, 0.0, 1_000.0);
        audit.waited_behind_another("behind", 2_000.0);
        audit.answered("behind", Answer::Refused, answered);
        assert_eq!(
            violated(audit, 3_000.0),
            if found {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

/// A decode attempt on its way to an engine that is silent: it is not out. What the prefill engine said counts from when it
/// got through.
#[test]
fn a_state_behind_an_attempt_that_has_not_arrived_is_found_while_its_engine_is_silent() {
    for (answer_passed, looked_at, found) in [
        (Some(20.0), 860.0, false),
        (Some(20.0), 880.0, true),
        (Some(400.0), 1_200.0, false),
        (Some(400.0), 1_300.0, true),
        (None, 3_000.0, false),
    ] {
        let mut audit = audit();
        let passage = Rc::new(Passage::default());
        audit.request_sent("a", LIFE, Effect::Idempotent, 0.0, 4_000.0);
        let attempt = new("a", "p", Stage::Prefill, 1.0, 3_999.0);
        let prefill = audit.attempt_begins(NewAttempt {
            passage: Some(passage.clone()),
            ..attempt
        });
        audit.state_held("a", "p", 20.0);
        audit.attempt_ends(prefill, AttemptEnd::Served, 20.0);
        if let Some(at) = answer_passed {
            passage.answer_passed(at);
        }
        audit.look(looked_at);
        audit.answered("a", Answer::Failed, 4_000.0);
        audit.state_taken("a");
        assert_eq!(
            violated(audit, 4_000.0),
            if found {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// Each on connections that are silent: no byte of an engine gets through.
#[test]
fn what_breaks_while_an_engine_is_silent_is_found() {
    let silent = || Some(Rc::new(Passage::default()));
    let mut told = audit();
    told.request_sent("a", LIFE, Effect::Idempotent, 0.0, 1_000.0);
    told.attempt_begins(NewAttempt {
        passage: silent(),
        ..new("a", "d", Stage::Prefill, 100.0, 1_200.0)
    });
    assert_eq!(violated(told, 200.0), [Invariant::DeadlineTold]);
    let mut drain = audit();
    drain.engine_out_of_service("d");
    drain.told_out("d", 0, 0.0);
    drain.request_sent("a", LIFE, Effect::Idempotent, 1_000.0, 1_000.0);
    drain.attempt_begins(NewAttempt {
        passage: silent(),
        ..new("a", "d", Stage::Prefill, 1_100.0, 900.0)
    });
    assert_eq!(violated(drain, 1_200.0), [Invariant::DrainKept]);
    let mut twice = audit();
    prefilled(&mut twice, "a", Effect::Idempotent, 0.0);
    twice.attempt_begins(NewAttempt {
        passage: silent(),
        ..new("a", "d", Stage::Decode, 30.0, 900.0)
    });
    twice.attempt_begins(new("a", "d", Stage::Decode, 400.0, 500.0));
    twice.state_taken("a");
    assert_eq!(violated(twice, 500.0), [Invariant::RunOnce]);
    let mut gone = audit();
    gone.request_sent("a", LIFE, Effect::Idempotent, 0.0, 1_000.0);
    gone.client_gone("a", 10.0);
    gone.attempt_begins(NewAttempt {
        passage: silent(),
        ..new("a", "p", Stage::Prefill, 300.0, 600.0)
    });
    assert_eq!(violated(gone, 400.0), [Invariant::ClientThere]);
    let mut lost = audit();
    lost.request_sent("a", LIFE, Effect::Idempotent, 0.0, 1_000.0);
    lost.attempt_begins(NewAttempt {
        passage: silent(),
        ..new("a", "p", Stage::Prefill, 300.0, 600.0)
    });
    assert_eq!(violated(lost, 2_000.0), [Invariant::Answered]);
}

/// An attempt that its process has ended is not out any more, though its engine does not know.
#[test]
fn an_attempt_may_follow_one_that_was_closed_on_a_silent_connection() {
    let mut audit = audit();
    prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
    let passage = Rc::new(Passage::default());
    let first = NewAttempt {
        passage: Some(passage.clone()),
        ..new("a", "d", Stage::Decode, 30.0, 900.0)
    };
    audit.attempt_begins(first);
    passage.process_closed(280.0);
    audit.attempt_begins(new("a", "d", Stage::Decode, 282.0, 700.0));
    audit.state_taken("a");
    assert_eq!(violated(audit, 500.0), []);
}

#[test]
fn an_event_counts_from_when_it_got_through() {
    for (passed, came, found) in [
        (900.0, 910.0, false),
        (900.0, 1_400.0, true),
        (31.0, 500.0, true),
    ] {
        let mut audit = audit();
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        let passage = Rc::new(Passage::default());
        let decode = audit.attempt_begins(NewAttempt {
            passage: Some(passage.clone()),
            ..new("a", "d", Stage::Decode, 21.0, 900.0)
        });
        audit.state_taken("a");
        audit.event_written(decode, 31.0);
        passage.answer_passed(passed);
        audit.event_came("a", 0, came);
        assert_eq!(
            violated(audit, 1_500.0),
            if found {
                vec![Invariant::EventsInTime]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn a_request_is_owed_an_answer_in_a_stop_unless_it_crossed_the_close_of_a_resting_connection() {
    for (crossed, read) in [(true, false), (false, false), (false, true)] {
        let mut audit = audit();
        audit.process_stops(LIFE, 0.0);
        audit.request_sent("a", LIFE, Effect::Idempotent, 800.0, 1_000.0);
        if read {
            audit.attempt_begins(new("a", "p", Stage::Prefill, 810.0, 900.0));
        }
        if crossed {
            audit.request_crossed("a");
        }
        audit.answered("a", Answer::Nothing, 900.0);
        assert_eq!(
            violated(audit, 1_000.0),
            if crossed {
                vec![]
            } else {
                vec![Invariant::Answered]
            }
        );
    }
}

/// What the kill at the end of a stop finds unanswered, and when it had come.
#[test_case(600.0, Answer::Nothing, false; "a request of the first moments")]
#[test_case(800.0, Answer::Nothing, true; "a request that came later")]
#[test_case(800.0, Answer::Broken(1), true; "a stream that came later")]
fn what_the_kill_of_a_stop_finds_unanswered_is_lost_if_it_came_late(
    sent: Ms,
    answer: Answer,
    found: bool,
) {
    for at_the_kill in [true, false] {
        let mut audit = audit();
        audit.process_stops(LIFE, 0.0);
        prefilled(&mut audit, "a", Effect::Idempotent, sent);
        decoding(&mut audit, "a", sent + 21.0);
        if at_the_kill {
            audit.process_killed_in_stop(LIFE, 1_100.0);
        }
        audit.answered("a", answer, 1_100.0);
        let found = found || !at_the_kill;
        assert_eq!(
            violated(audit, 1_200.0),
            if found {
                vec![Invariant::Answered]
            } else {
                vec![]
            }
        );
    }
}

/// How the first attempt at a decode engine ended, when the second one begins, and whether it may.
#[test_case(Effect::AtMostOnce, AttemptEnd::Failed, 60.0, false; "at most once, after it may have run")]
#[test_case(Effect::AtMostOnce, AttemptEnd::TurnedAway, 60.0, true; "at most once, after it was turned away")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 60.0, true; "keyed, within its window")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 700.0, false; "keyed, after its window")]
#[test_case(Effect::Idempotent, AttemptEnd::Failed, 700.0, true; "idempotent")]
fn a_repeat_that_its_class_does_not_allow_is_found(
    effect: Effect,
    end: AttemptEnd,
    at: Ms,
    allowed: bool,
) {
    let mut audit = audit();
    prefilled(&mut audit, "a", effect, 0.0);
    let first = decoding(&mut audit, "a", 21.0);
    audit.attempt_ends(first, end, 40.0);
    decoding(&mut audit, "a", at);
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
fn two_attempts_at_once_and_a_refusal_after_an_effect_are_found() {
    let mut twice = audit();
    prefilled(&mut twice, "a", Effect::Idempotent, 0.0);
    decoding(&mut twice, "a", 21.0);
    decoding(&mut twice, "a", 200.0);
    assert_eq!(violated(twice, 900.0), [Invariant::RunOnce]);
    let mut refused = audit();
    prefilled(&mut refused, "a", Effect::AtMostOnce, 0.0);
    let attempt = decoding(&mut refused, "a", 21.0);
    refused.attempt_ends(attempt, AttemptEnd::Failed, 40.0);
    refused.answered("a", Answer::Refused, 50.0);
    assert_eq!(violated(refused, 900.0), [Invariant::RunOnce]);
}

#[test]
fn a_send_to_an_engine_that_drains_is_found_after_the_grace_unless_it_is_not_told() {
    for (at, told, found) in [
        (900.0, true, false),
        (1_200.0, true, true),
        (1_200.0, false, false),
    ] {
        let mut audit = audit();
        audit.engine_out_of_service("p");
        if told {
            audit.told_out("p", 0, 0.0);
        }
        prefilled(&mut audit, "a", Effect::Idempotent, at);
        audit.state_taken("a");
        assert_eq!(
            violated(audit, at + 100.0),
            if found {
                vec![Invariant::DrainKept]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn a_state_that_lies_is_found_while_no_attempt_is_out() {
    for (held_by_attempt, released, found) in [
        (false, false, true),
        (true, false, false),
        (false, true, false),
    ] {
        let mut audit = audit();
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        if held_by_attempt {
            audit.attempt_begins(new("a", "d", Stage::Decode, 30.0, 900.0));
        }
        if released {
            audit.state_taken("a");
        }
        audit.look(1_000.0);
        audit.answered("a", Answer::Failed, 1_001.0);
        assert_eq!(
            violated(audit, 1_100.0),
            if found {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// By the reading that a release lets go of what no attempt waits for, one that comes while an attempt is out does nothing.
#[test_case(ReleaseScope::Everything, false; "everything")]
#[test_case(ReleaseScope::WhatNoAttemptWaitsFor, true; "what no attempt waits for")]
fn a_state_whose_release_came_while_an_attempt_waited_is_found(release: ReleaseScope, found: bool) {
    for sent_again in [false, true] {
        let mut audit = audit_reading(Readings {
            release,
            ..Readings::PLAIN
        });
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        let decode = audit.attempt_begins(new("a", "d", Stage::Decode, 30.0, 900.0));
        audit.release_came("a");
        audit.attempt_ends(decode, AttemptEnd::Abandoned, 1_000.0);
        if sent_again {
            audit.release_came("a");
        }
        audit.answered("a", Answer::Failed, 1_001.0);
        audit.look(1_840.0);
        audit.look(1_860.0);
        let found = found && !sent_again;
        assert_eq!(
            violated(audit, 1_900.0),
            if found {
                vec![Invariant::StateReleased]
            } else {
                vec![]
            }
        );
    }
}

/// An attempt that its process has closed, at an engine that notices it later: what a release does between, and since when
/// the time of its state runs.
#[test]
fn an_attempt_that_its_process_has_closed_is_over_by_the_reading() {
    for (over, noticed, released, looked, found) in [
        (
            AttemptOver::AtTheClose,
            2_000.0,
            Some(110.0),
            1_000.0,
            false,
        ),
        (AttemptOver::AtTheClose, 2_000.0, None, 1_000.0, true),
        (
            AttemptOver::WhenTheEngineNotices,
            110.0,
            Some(105.0),
            1_000.0,
            true,
        ),
        (
            AttemptOver::WhenTheEngineNotices,
            110.0,
            Some(115.0),
            1_000.0,
            false,
        ),
        (
            AttemptOver::WhenTheEngineNotices,
            2_000.0,
            Some(110.0),
            1_999.0,
            false,
        ),
        (
            AttemptOver::WhenTheEngineNotices,
            2_000.0,
            Some(110.0),
            2_900.0,
            true,
        ),
        (
            AttemptOver::WhenTheEngineNotices,
            2_000.0,
            Some(2_010.0),
            2_900.0,
            false,
        ),
    ] {
        let readings = Readings {
            release: ReleaseScope::WhatNoAttemptWaitsFor,
            over,
            ..Readings::PLAIN
        };
        let mut audit = audit_reading(readings);
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        audit.client_gone("a", 100.0);
        let passage = Rc::new(Passage::default());
        passage.process_closed(100.0);
        let attempt = NewAttempt {
            passage: Some(passage),
            ..new("a", "d", Stage::Decode, 30.0, 900.0)
        };
        let decode = audit.attempt_begins(attempt);
        let mut steps: Vec<(Ms, bool)> = vec![(noticed, false)];
        steps.extend(released.map(|at| (at, true)));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, is_release) in steps.into_iter().filter(|(at, _)| *at < looked) {
            match is_release {
                true => audit.release_came("a"),
                false => audit.attempt_ends(decode, AttemptEnd::Abandoned, at),
            }
        }
        audit.look(looked);
        let violated = violated(audit, looked);
        let expected = if found {
            vec![Invariant::StateReleased]
        } else {
            vec![]
        };
        assert_eq!(
            violated, expected,
            "{over:?}, noticed at {noticed}, released at {released:?}"
        );
    }
}

#[test]
fn an_attempt_for_a_client_that_has_gone_and_a_deadline_that_is_too_long_are_found() {
    for (begun, told, found) in [
        (150.0, 900.0, None),
        (250.0, 700.0, Some(Invariant::ClientThere)),
        (150.0, 1_200.0, Some(Invariant::DeadlineTold)),
    ] {
        let mut audit = audit();
        audit.request_sent("a", LIFE, Effect::Idempotent, 0.0, 1_000.0);
        audit.client_gone("a", 10.0);
        audit.attempt_begins(new("a", "p", Stage::Prefill, begun, told));
        assert_eq!(
            violated(audit, 400.0),
            found.into_iter().collect::<Vec<_>>()
        );
    }
}

#[test]
fn an_event_that_comes_late_or_out_of_order_is_found() {
    for (number, at, found) in [(0, 400.0, false), (0, 500.0, true), (1, 100.0, true)] {
        let mut audit = audit();
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        decoding(&mut audit, "a", 21.0);
        audit.event_came("a", number, at);
        assert_eq!(
            violated(audit, 600.0),
            if found {
                vec![Invariant::EventsInTime]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn an_engine_that_has_just_started_gets_no_more_than_its_budget_of_all() {
    // 16, and 3 roots of it, and 3.
    for (attempts, started, found) in [
        (31, Some(0.0), false),
        (32, Some(0.0), true),
        (100, None, false),
    ] {
        let mut audit = audit();
        audit.engine_in_service("new", started);
        for at in 0..attempts {
            let id = format!("r{at}");
            audit.request_sent(&id, LIFE, Effect::Idempotent, 0.0, 5_000.0);
            audit.attempt_begins(new(
                &id,
                "new",
                Stage::Prefill,
                1.0 + f64::from(at),
                4_000.0,
            ));
        }
        assert_eq!(
            violated(audit, 1_000.0),
            if found {
                vec![Invariant::SlowStart]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn half_a_request_that_is_not_ended_and_a_process_that_ends_or_never_starts_are_found() {
    for (after, found) in [(Some(3_050.0), false), (Some(3_200.0), true), (None, true)] {
        let mut audit = audit();
        audit.bad_client_ended(after, 8_000.0);
        assert_eq!(
            violated(audit, 8_000.0),
            if found {
                vec![Invariant::BadClientEnded]
            } else {
                vec![]
            }
        );
    }
    let mut crashed = audit();
    crashed.process_ended(LIFE, false, "by itself", 10.0);
    assert_eq!(violated(crashed, 20.0), [Invariant::ProcessUp]);
    assert_eq!(
        violated(Audit::new(RULES, Readings::PLAIN), 20.0),
        [Invariant::ProcessUp],
        "nothing was up"
    );
    let mut slow = audit();
    slow.process_ready(11_000.0);
    assert_eq!(
        violated(slow, 20_000.0),
        [Invariant::ProcessUp],
        "one of two"
    );
}

#[test]
fn troubles_overlap_and_follow_from_the_seed() {
    for seed in 0..20 {
        let plan = Plan::draw(1_000 * seed, 12, ENGINES, 60.0);
        assert_eq!(
            plan.troubles,
            Plan::draw(1_000 * seed, 12, ENGINES, 60.0).troubles
        );
        let mean: f64 = plan.troubles.iter().map(|t| t.until - t.from).sum::<f64>() / 60_000.0;
        assert!((1.0..4.0).contains(&mean), "{mean:.1} at a time");
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

/// Every reading is taken by some soaks, and hangs and silences come as often as one another.
#[test]
fn readings_are_drawn_and_engines_hang_as_often_as_they_are_silent() {
    let plans: Vec<Plan> = (0..200)
        .map(|seed| Plan::draw(1_000 * seed, 12, ENGINES, 60.0))
        .collect();
    let everything = plans
        .iter()
        .filter(|plan| plan.readings.release == ReleaseScope::Everything)
        .count();
    let at_the_close = plans
        .iter()
        .filter(|plan| plan.readings.over == AttemptOver::AtTheClose)
        .count();
    let confirmed = plans
        .iter()
        .filter(|plan| plan.readings.hung_release == HungRelease::Confirmed)
        .count();
    let waiting = plans.iter().filter(|plan| plan.decodes_wait).count();
    for drawn in [everything, at_the_close, confirmed, waiting] {
        assert!((60..140).contains(&drawn), "{drawn} of 200");
    }
    let count = |is: fn(&Trouble) -> bool| {
        let troubles = plans.iter().flat_map(|plan| &plan.troubles);
        troubles.filter(|planned| is(&planned.trouble)).count() as f64
    };
    let hangs = count(|trouble| matches!(trouble, Trouble::Hang(_)));
    let silences = count(|trouble| matches!(trouble, Trouble::Silence(_)));
    assert!(
        (0.4..0.6).contains(&(hangs / silences)),
        "{hangs} hangs, {silences} silences, half of them one way"
    );
}
