//! The judge: a soak in which all goes well breaks nothing, and a planted fault of each kind is found.

use cindercleat_soak::audit::*;
use cindercleat_soak::plan::Plan;
use cindercleat_soak::Ms;
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
    measuring: 100.0,
};
const LIFE: Life = Life { process: 0, start: 1 };

/// A soak of one process, with a prefill and a decode engine.
fn audit() -> Audit {
    let mut audit = Audit::new(RULES);
    audit.process_ready(50.0);
    audit.engine_in_service("p", None);
    audit.engine_in_service("d", None);
    audit
}

fn new(request: &str, engine: &str, stage: Stage, begun: Ms, told_left: f64) -> NewAttempt {
    let (request, engine) = (request.to_owned(), engine.to_owned());
    NewAttempt { request, engine, stage, first_byte: begun, begun, told_left: Some(told_left) }
}

/// A request that was read; its state waits since 20 ms after it was sent.
fn prefilled(audit: &mut Audit, id: &str, effect: Effect, at: Ms) {
    audit.request_sent(id, LIFE, effect, at, 1_000.0);
    let prefill = audit.attempt_begins(new(id, "p", Stage::Prefill, at + 1.0, 999.0));
    audit.state_held(id, "p");
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
    let mut violated: Vec<Invariant> = audit.finish(now).violations.iter().map(|v| v.invariant).collect();
    violated.dedup();
    violated
}

#[test]
fn a_soak_in_which_all_goes_well_breaks_nothing_and_counts_its_cases() {
    let mut audit = audit();
    for at in 0..50 {
        served(&mut audit, &format!("r{at}"), Effect::AtMostOnce, f64::from(at) * 100.0);
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
    assert_eq!(violated(audit, 100.0), if found { vec![Invariant::Answered] } else { vec![] });
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

#[test]
fn a_request_that_crossed_a_stop_is_not_owed_an_answer_unless_it_was_read() {
    for read in [false, true] {
        let mut audit = audit();
        audit.process_stops(LIFE, 0.0);
        audit.request_sent("a", LIFE, Effect::Idempotent, 800.0, 1_000.0);
        if read {
            audit.attempt_begins(new("a", "p", Stage::Prefill, 810.0, 900.0));
        }
        audit.answered("a", Answer::Nothing, 900.0);
        assert_eq!(violated(audit, 1_000.0), if read { vec![Invariant::Answered] } else { vec![] });
    }
}

/// How the first attempt at a decode engine ended, when the second one begins, and whether it may.
#[test_case(Effect::AtMostOnce, AttemptEnd::Failed, 60.0, false; "at most once, after it may have run")]
#[test_case(Effect::AtMostOnce, AttemptEnd::TurnedAway, 60.0, true; "at most once, after it was turned away")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 60.0, true; "keyed, within its window")]
#[test_case(Effect::Keyed { window: 500 }, AttemptEnd::Failed, 700.0, false; "keyed, after its window")]
#[test_case(Effect::Idempotent, AttemptEnd::Failed, 700.0, true; "idempotent")]
fn a_repeat_that_its_class_does_not_allow_is_found(effect: Effect, end: AttemptEnd, at: Ms, allowed: bool) {
    let mut audit = audit();
    prefilled(&mut audit, "a", effect, 0.0);
    let first = decoding(&mut audit, "a", 21.0);
    audit.attempt_ends(first, end, 40.0);
    decoding(&mut audit, "a", at);
    assert_eq!(violated(audit, 900.0), if allowed { vec![] } else { vec![Invariant::RunOnce] });
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
    for (at, told, found) in [(900.0, true, false), (1_200.0, true, true), (1_200.0, false, false)] {
        let mut audit = audit();
        audit.engine_out_of_service("p");
        if told {
            audit.told_out("p", 0, 0.0);
        }
        prefilled(&mut audit, "a", Effect::Idempotent, at);
        audit.state_taken("a");
        assert_eq!(violated(audit, at + 100.0), if found { vec![Invariant::DrainKept] } else { vec![] });
    }
}

#[test]
fn a_state_that_lies_is_found_while_no_attempt_is_out() {
    for (held_by_attempt, released, found) in
        [(false, false, true), (true, false, false), (false, true, false)]
    {
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
        assert_eq!(violated(audit, 1_100.0), if found { vec![Invariant::StateReleased] } else { vec![] });
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
        assert_eq!(violated(audit, 400.0), found.into_iter().collect::<Vec<_>>());
    }
}

#[test]
fn an_event_that_comes_late_or_out_of_order_is_found() {
    for (number, at, found) in [(0, 400.0, false), (0, 500.0, true), (1, 100.0, true)] {
        let mut audit = audit();
        prefilled(&mut audit, "a", Effect::Idempotent, 0.0);
        decoding(&mut audit, "a", 21.0);
        audit.event_came("a", number, at);
        assert_eq!(violated(audit, 600.0), if found { vec![Invariant::EventsInTime] } else { vec![] });
    }
}

#[test]
fn an_engine_that_has_just_started_gets_no_more_than_its_budget_of_all() {
    // 16, and 3 roots of it, and 3.
    for (attempts, started, found) in [(31, Some(0.0), false), (32, Some(0.0), true), (100, None, false)] {
        let mut audit = audit();
        audit.engine_in_service("new", started);
        for at in 0..attempts {
            let id = format!("r{at}");
            audit.request_sent(&id, LIFE, Effect::Idempotent, 0.0, 5_000.0);
            audit.attempt_begins(new(&id, "new", Stage::Prefill, 1.0 + f64::from(at), 4_000.0));
        }
        assert_eq!(violated(audit, 1_000.0), if found { vec![Invariant::SlowStart] } else { vec![] });
    }
}

#[test]
fn half_a_request_that_is_not_ended_and_a_process_that_ends_or_never_starts_are_found() {
    for (after, found) in [(Some(3_050.0), false), (Some(3_200.0), true), (None, true)] {
        let mut audit = audit();
        audit.bad_client_ended(after, 8_000.0);
        assert_eq!(violated(audit, 8_000.0), if found { vec![Invariant::BadClientEnded] } else { vec![] });
    }
    let mut crashed = audit();
    crashed.process_ended(LIFE, false, "by itself", 10.0);
    assert_eq!(violated(crashed, 20.0), [Invariant::ProcessUp]);
    assert_eq!(violated(Audit::new(RULES), 20.0), [Invariant::ProcessUp], "nothing was up");
    let mut slow = audit();
    slow.process_ready(11_000.0);
    assert_eq!(violated(slow, 20_000.0), [Invariant::ProcessUp], "one of two");
}

#[test]
fn troubles_overlap_and_follow_from_the_seed() {
    for seed in 0..20 {
        let plan = Plan::draw(1_000 * seed, 12, 8, 60.0);
        assert_eq!(plan.troubles, Plan::draw(1_000 * seed, 12, 8, 60.0).troubles);
        let mean: f64 = plan.troubles.iter().map(|t| t.until - t.from).sum::<f64>() / 60_000.0;
        assert!((1.0..4.0).contains(&mean), "{mean:.1} at a time");
        assert!(plan.troubles.iter().all(|t| t.from >= 1_000.0 && t.until <= 57_500.0));
    }
}
