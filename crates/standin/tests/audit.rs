//! The audit reports a planted breach of each rule, and none in the same transcript without the breach. An audit that
//! missed one of these breaches would make a day's "rules: kept" meaningless.

use cindercleat_protocol::{frame, v1, Body};
use cindercleat_standin::audit::{audit, Rule, Rules};
use cindercleat_standin::transcript::{self, Note, Record, Way, What};
use std::rc::Rc;

fn rules() -> Rules {
    Rules {
        at_most_once: ["proof".to_owned()].into(),
        answer_grace: 20.0,
        drain_grace: 500.0,
        release: 500.0,
        overload_multiple: 4.0,
        overload_window: 1000.0,
        slack: 100.0,
        silences: Vec::new(),
        apart: Vec::new(),
        token_ms: 10.0,
        largest_part: Some(0.5),
    }
}

/// A transcript under construction.
#[derive(Default)]
struct Scenario {
    records: Vec<Record>,
}

impl Scenario {
    /// Adds a frame that the first party of the connection recorded.
    fn frame(
        &mut self,
        at: f64,
        (seer, peer, conn): (&str, &str, u64),
        way: Way,
        stream: u64,
        body: Body,
    ) {
        let what = What::Frame(way, frame(stream, body));
        self.records.push(Record {
            at,
            seer: Rc::from(seer),
            peer: Rc::from(peer),
            conn,
            what,
        });
    }

    /// Adds a note of this party on one of its connections; 0 is none.
    fn note(&mut self, at: f64, (seer, conn): (&str, u64), note: Note) {
        let (seer, peer) = (Rc::from(seer), Rc::from(""));
        self.records.push(Record {
            at,
            seer,
            peer,
            conn,
            what: What::Note(note),
        });
    }

    /// Audits the transcript and returns the rule of each breach.
    fn broken_rules(mut self) -> Vec<Rule> {
        self.records.sort_by(|a, b| a.at.total_cmp(&b.at));
        audit(&self.records, &rules())
            .breaches
            .into_iter()
            .map(|b| b.rule)
            .collect()
    }
}

/// The connections of the scenarios: the name of the party that recorded the frames, that of the other end, and the
/// connection's number.
const CLIENT: (&str, &str, u64) = ("client", "d", 1);
const PREFILL_ENGINE: (&str, &str, u64) = ("r", "d", 2);
const DECODE_ENGINE: (&str, &str, u64) = ("w", "d", 3);
const DISCOVERY: (&str, &str, u64) = ("list", "d", 4);

fn state(request: u32) -> Option<v1::KvStateId> {
    Some(v1::KvStateId {
        run: 1,
        request,
        attempt: 0,
    })
}

fn final_answer(answer: v1::Answer) -> Body {
    Body::Final(v1::Final {
        answer: answer.into(),
        ..v1::Final::default()
    })
}

fn endpoint_update(status: v1::EndpointStatus) -> Body {
    let endpoint = v1::Endpoint {
        engine: "w".to_owned(),
        status: status.into(),
        ..v1::Endpoint::default()
    };
    Body::Endpoints(v1::EndpointList {
        kind: v1::EndpointUpdateKind::Delta.into(),
        version: 1,
        endpoints: vec![endpoint],
    })
}

/// A request that is served without a breach, and the start of a cold decode engine.
fn scenario_without_breach() -> Scenario {
    let mut scenario = Scenario::default();
    let submit = v1::Submit {
        request_class: "proof".to_owned(),
        key: "k1".to_owned(),
        time_to_deadline_ms: 1000.0,
        ..v1::Submit::default()
    };
    scenario.frame(
        0.0,
        DISCOVERY,
        Way::Out,
        1,
        endpoint_update(v1::EndpointStatus::Ready),
    );
    let started = Note::Started {
        capacity: 2.0,
        start_share: 0.25,
        slow_start_window: 5000.0,
    };
    scenario.note(0.0, ("w", 0), started);
    scenario.frame(10.0, CLIENT, Way::Out, 1, Body::Submit(submit));
    scenario.frame(
        11.0,
        CLIENT,
        Way::In,
        1,
        Body::Accepted(v1::Accepted { request: 1 }),
    );
    let prefill = v1::Prefill {
        state: state(1),
        prompt_tokens: 100,
        ..v1::Prefill::default()
    };
    scenario.frame(12.0, PREFILL_ENGINE, Way::In, 1, Body::Prefill(prefill));
    let ended = v1::Ended {
        status: v1::Status::PrefillDone.into(),
        state: state(1),
        ..v1::Ended::default()
    };
    scenario.frame(30.0, PREFILL_ENGINE, Way::Out, 1, Body::Ended(ended));
    scenario.frame(32.0, DECODE_ENGINE, Way::In, 1, decode(1));
    scenario.frame(
        33.0,
        PREFILL_ENGINE,
        Way::In,
        2,
        Body::Fetch(v1::Fetch { state: state(1) }),
    );
    scenario.note(35.0, ("w", 3), ran_note());
    scenario.frame(
        40.0,
        CLIENT,
        Way::In,
        1,
        Body::Tokens(v1::Tokens::default()),
    );
    let ended = v1::Ended {
        status: v1::Status::Succeeded.into(),
        ..v1::Ended::default()
    };
    scenario.frame(90.0, DECODE_ENGINE, Way::Out, 1, Body::Ended(ended));
    scenario.frame(
        91.0,
        CLIENT,
        Way::In,
        1,
        final_answer(v1::Answer::Succeeded),
    );
    scenario.note(
        9000.0,
        ("list", 0),
        Note::Expired {
            run: 9,
            request: 9,
            attempt: 9,
        },
    );
    scenario
}

fn decode(request: u32) -> Body {
    Body::Decode(v1::Decode {
        state: state(request),
        max_tokens: 20,
        ..v1::Decode::default()
    })
}

fn ran_note() -> Note {
    Note::Ran {
        key: "k1".to_owned(),
        request_class: "proof".to_owned(),
    }
}

#[test]
fn a_transcript_without_breach_has_no_findings() {
    assert_eq!(scenario_without_breach().broken_rules(), []);
}

#[test]
fn a_second_final_answer_is_reported() {
    let mut scenario = scenario_without_breach();
    scenario.frame(95.0, CLIENT, Way::In, 1, final_answer(v1::Answer::Failed));
    assert_eq!(scenario.broken_rules(), [Rule::RequestLost]);
}

#[test]
fn tokens_after_the_final_answer_are_reported() {
    let mut scenario = scenario_without_breach();
    scenario.frame(
        95.0,
        CLIENT,
        Way::In,
        1,
        Body::Tokens(v1::Tokens::default()),
    );
    assert_eq!(scenario.broken_rules(), [Rule::RequestLost]);
}

#[test]
fn a_request_without_an_answer_is_reported_unless_its_dispatcher_was_killed() {
    let remove_answer = |scenario: &mut Scenario| {
        scenario.records.retain(
            |r| !matches!(&r.what, What::Frame(Way::In, f) if matches!(f.body, Some(Body::Final(_)))),
        );
    };
    let mut scenario = scenario_without_breach();
    remove_answer(&mut scenario);
    assert_eq!(scenario.broken_rules(), [Rule::RequestLost]);
    let mut scenario = scenario_without_breach();
    remove_answer(&mut scenario);
    scenario.note(90.5, ("d", 0), Note::Killed);
    scenario.note(91.0, ("client", 1), Note::Closed { own: false });
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn an_answer_after_the_deadline_is_reported() {
    let mut scenario = scenario_without_breach();
    scenario
        .records
        .retain(|r| !(&*r.seer == "client" && r.at > 11.0));
    scenario.frame(1200.0, CLIENT, Way::In, 1, final_answer(v1::Answer::Failed));
    assert_eq!(scenario.broken_rules(), [Rule::RequestLost]);
}

#[test]
fn a_second_run_of_an_at_most_once_request_is_reported() {
    let mut scenario = scenario_without_breach();
    scenario.note(300.0, ("w2", 5), ran_note());
    assert_eq!(scenario.broken_rules(), [Rule::EffectTwice]);
}

#[test]
fn a_rejection_before_or_after_the_run_of_a_request_is_reported() {
    for at in [34.0, 91.0] {
        let mut scenario = scenario_without_breach();
        scenario
            .records
            .retain(|r| !(&*r.seer == "client" && r.at > 11.0));
        scenario.frame(at, CLIENT, Way::In, 1, final_answer(v1::Answer::Rejected));
        assert_eq!(
            scenario.broken_rules(),
            [Rule::EffectTwice],
            "rejected at {at}"
        );
    }
}

#[test]
fn an_attempt_after_a_drain_is_reported_and_one_within_the_grace_is_not() {
    for (at, expected) in [(500.0, vec![]), (900.0, vec![Rule::DrainBroken])] {
        let mut scenario = scenario_without_breach();
        scenario.frame(
            100.0,
            DISCOVERY,
            Way::Out,
            1,
            endpoint_update(v1::EndpointStatus::Draining),
        );
        scenario.frame(at, DECODE_ENGINE, Way::In, 7, decode(2));
        assert_eq!(scenario.broken_rules(), expected, "sent at {at}");
    }
    // The engine is listed as ready again before the attempt.
    let mut scenario = scenario_without_breach();
    scenario.frame(
        100.0,
        DISCOVERY,
        Way::Out,
        1,
        endpoint_update(v1::EndpointStatus::Draining),
    );
    scenario.frame(
        800.0,
        DISCOVERY,
        Way::Out,
        1,
        endpoint_update(v1::EndpointStatus::Ready),
    );
    scenario.frame(900.0, DECODE_ENGINE, Way::In, 7, decode(2));
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn a_cold_engine_that_several_dispatchers_overload_together_is_reported() {
    // At its start the engine may be sent 2 x 0.25 x 4 slot seconds within one second, which is ten attempts of 0.2
    // slot seconds each. The audit allows one attempt more.
    for (attempts, expected) in [(9, vec![]), (14, vec![Rule::ColdEnginePushed])] {
        let mut scenario = scenario_without_breach();
        for n in 0..attempts {
            let from = if n % 2 == 0 {
                ("w", "d", 3)
            } else {
                ("w", "e", 6)
            };
            scenario.frame(
                100.0 + f64::from(n),
                from,
                Way::In,
                100 + u64::from(n),
                decode(100 + n),
            );
        }
        assert_eq!(scenario.broken_rules(), expected, "{attempts} attempts");
    }
}

#[test]
fn a_state_that_is_held_too_long_is_reported_and_one_that_is_released_in_time_is_not() {
    for (released, expected) in [(500.0, vec![]), (800.0, vec![Rule::LeftPinned])] {
        let mut scenario = scenario_without_breach();
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state: state(2),
            ..v1::Ended::default()
        };
        scenario.frame(100.0, PREFILL_ENGINE, Way::Out, 9, Body::Ended(ended));
        scenario.frame(
            100.0 + released,
            PREFILL_ENGINE,
            Way::In,
            0,
            Body::Release(v1::Release {
                state: state(2),
                ..v1::Release::default()
            }),
        );
        assert_eq!(
            scenario.broken_rules(),
            expected,
            "released after {released}"
        );
    }
    // The state is never released: a running dispatcher breaks the rule, a killed one does not.
    for (killed, expected) in [(false, vec![Rule::LeftPinned]), (true, vec![])] {
        let mut scenario = scenario_without_breach();
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state: state(2),
            ..v1::Ended::default()
        };
        scenario.frame(100.0, PREFILL_ENGINE, Way::Out, 9, Body::Ended(ended));
        if killed {
            scenario.note(150.0, ("d", 0), Note::Killed);
        }
        assert_eq!(scenario.broken_rules(), expected, "killed: {killed}");
    }
}

#[test]
fn a_prefill_that_ends_just_after_its_dispatcher_was_killed_is_no_breach() {
    for (run, expected) in [(1, vec![]), (2, vec![Rule::LeftPinned])] {
        let mut scenario = scenario_without_breach();
        for (at, run) in [(1.0, 1), (300.0, 2)] {
            scenario.frame(
                at,
                PREFILL_ENGINE,
                Way::In,
                0,
                Body::Hello(v1::Hello {
                    run,
                    ..v1::Hello::default()
                }),
            );
        }
        scenario.note(200.0, ("d", 0), Note::Killed);
        let state = Some(v1::KvStateId {
            run,
            request: 2,
            attempt: 0,
        });
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state,
            ..v1::Ended::default()
        };
        scenario.frame(
            if run == 1 { 201.0 } else { 400.0 },
            PREFILL_ENGINE,
            Way::Out,
            9,
            Body::Ended(ended),
        );
        assert_eq!(scenario.broken_rules(), expected, "run {run}");
    }
}

#[test]
fn a_state_is_not_idle_while_an_attempt_of_its_request_runs() {
    let mut scenario = scenario_without_breach();
    let ended = v1::Ended {
        status: v1::Status::PrefillDone.into(),
        state: state(2),
        ..v1::Ended::default()
    };
    scenario.frame(100.0, PREFILL_ENGINE, Way::Out, 9, Body::Ended(ended));
    scenario.frame(300.0, DECODE_ENGINE, Way::In, 9, decode(2));
    let overloaded = v1::Ended {
        status: v1::Status::Overloaded.into(),
        ..v1::Ended::default()
    };
    scenario.frame(3000.0, DECODE_ENGINE, Way::Out, 9, Body::Ended(overloaded));
    scenario.frame(
        3400.0,
        PREFILL_ENGINE,
        Way::In,
        0,
        Body::Release(v1::Release {
            state: state(2),
            ..v1::Release::default()
        }),
    );
    assert_eq!(scenario.broken_rules(), []);
}

/// A transcript with a second request, which its client cancels at 100 ms, and an attempt of it that arrives at a
/// prefill engine at `at`.
fn cancelled_before_an_attempt(at: f64) -> Scenario {
    let mut scenario = scenario_without_breach();
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    scenario.frame(50.0, CLIENT, Way::Out, 2, Body::Submit(submit));
    scenario.frame(
        51.0,
        CLIENT,
        Way::In,
        2,
        Body::Accepted(v1::Accepted { request: 2 }),
    );
    scenario.frame(100.0, CLIENT, Way::Out, 2, Body::Cancel(v1::Cancel {}));
    let prefill = v1::Prefill {
        state: state(2),
        key: "k2".to_owned(),
        ..v1::Prefill::default()
    };
    scenario.frame(at, PREFILL_ENGINE, Way::In, 5, Body::Prefill(prefill));
    scenario
}

#[test]
fn an_attempt_for_a_cancelled_request_is_reported_after_100_ms_and_slack() {
    for (at, expected) in [
        (90.0, vec![]),
        (290.0, vec![]),
        (310.0, vec![Rule::AttemptForNobody]),
    ] {
        assert_eq!(
            cancelled_before_an_attempt(at).broken_rules(),
            expected,
            "sent at {at}"
        );
    }
    // The client submits the request again under the same key: the attempt belongs to the second submission.
    let mut scenario = cancelled_before_an_attempt(500.0);
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    scenario.frame(400.0, CLIENT, Way::Out, 3, Body::Submit(submit));
    scenario.frame(
        600.0,
        CLIENT,
        Way::In,
        3,
        final_answer(v1::Answer::Rejected),
    );
    assert_eq!(scenario.broken_rules(), []);
}

/// A transcript with one request, whose decode attempt has arrived at its engine.
fn scenario_with_decode_attempt() -> Scenario {
    let mut scenario = Scenario::default();
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    scenario.frame(10.0, CLIENT, Way::Out, 2, Body::Submit(submit));
    let attempt = v1::Decode {
        key: "k2".to_owned(),
        ..v1::Decode::default()
    };
    scenario.frame(20.0, DECODE_ENGINE, Way::In, 4, Body::Decode(attempt));
    scenario
}

fn tokens(position: u32) -> Body {
    Body::Tokens(v1::Tokens {
        position,
        count: 1,
        ..v1::Tokens::default()
    })
}

#[test]
fn an_event_that_is_held_back_is_reported() {
    for (at, expected) in [(400.0, vec![]), (500.0, vec![Rule::EventLate])] {
        let mut scenario = scenario_with_decode_attempt();
        for (position, written, arrived) in [(0, 30.0, 31.0), (1, 60.0, at)] {
            scenario.frame(written, DECODE_ENGINE, Way::Out, 4, tokens(position));
            scenario.frame(arrived, CLIENT, Way::In, 2, tokens(position));
        }
        scenario.frame(
            900.0,
            CLIENT,
            Way::In,
            2,
            final_answer(v1::Answer::Succeeded),
        );
        assert_eq!(scenario.broken_rules(), expected, "forwarded at {at}");
    }
}

/// An event may be delayed while the process of its dispatcher is suspended, but not for long after the process runs
/// again.
#[test]
fn an_event_that_is_held_back_beyond_the_suspension_of_its_dispatcher_is_reported() {
    for (resumed, arrived, suspended, expected) in [
        (950.0, 960.0, "d", vec![]),
        (500.0, 960.0, "d", vec![Rule::EventLate]),
        (950.0, 960.0, "another", vec![Rule::EventLate]),
    ] {
        let mut scenario = scenario_with_decode_attempt();
        scenario.frame(30.0, DECODE_ENGINE, Way::Out, 4, tokens(0));
        scenario.frame(31.0, CLIENT, Way::In, 2, tokens(0));
        scenario.note(50.0, (suspended, 0), Note::Asleep);
        scenario.frame(60.0, DECODE_ENGINE, Way::Out, 4, tokens(1));
        scenario.note(resumed, (suspended, 0), Note::Awake);
        scenario.frame(arrived, CLIENT, Way::In, 2, tokens(1));
        scenario.frame(
            970.0,
            CLIENT,
            Way::In,
            2,
            final_answer(v1::Answer::Succeeded),
        );
        assert_eq!(
            scenario.broken_rules(),
            expected,
            "{suspended} suspended until {resumed}, event forwarded at {arrived}"
        );
    }
}

/// A transcript with requests of one class, each given by its prompt length, its session and its answer.
fn scenario_of_class(answers: impl Iterator<Item = (u32, u64, v1::Answer)>) -> Scenario {
    let mut scenario = Scenario::default();
    for (n, (prompt_tokens, session, answer)) in answers.enumerate() {
        let (at, stream) = (10.0 * n as f64, n as u64 + 1);
        let key = format!("key-{n}");
        let submit = v1::Submit {
            key,
            session,
            prompt_tokens,
            time_to_deadline_ms: 1000.0,
            ..v1::Submit::default()
        };
        scenario.frame(at, CLIENT, Way::Out, stream, Body::Submit(submit));
        scenario.frame(at + 5.0, CLIENT, Way::In, stream, final_answer(answer));
    }
    scenario
}

#[test]
fn starvation_of_the_largest_requests_is_reported() {
    let answer = |refused: bool| {
        if refused {
            v1::Answer::Rejected
        } else {
            v1::Answer::Succeeded
        }
    };
    // About one request in ten is rejected: first spread evenly over all lengths, then only the largest ones.
    let spread_evenly = (0..400_u32).map(|n| (n, u64::from(n), answer(n % 10 == 3)));
    assert_eq!(scenario_of_class(spread_evenly).broken_rules(), []);
    let only_largest = (0..400_u32).map(|n| (n, u64::from(n / 4) % 60, answer(n >= 370)));
    assert_eq!(
        scenario_of_class(only_largest).broken_rules(),
        [Rule::LargestStarved]
    );
}

#[test]
fn sessions_whose_requests_are_all_rejected_are_reported() {
    let answer = |refused: bool| {
        if refused {
            v1::Answer::Rejected
        } else {
            v1::Answer::Succeeded
        }
    };
    let spread_evenly = (0..400_u32).map(|n| (n, u64::from(n % 50), answer(n % 4 == n / 50 % 4)));
    assert_eq!(scenario_of_class(spread_evenly).broken_rules(), []);
    let same_sessions = (0..400_u32).map(|n| (n, u64::from(n % 50), answer(n % 50 < 12)));
    assert_eq!(
        scenario_of_class(same_sessions).broken_rules(),
        [Rule::SessionsSingledOut]
    );
}

#[test]
fn a_written_transcript_reads_back_unchanged() {
    let records = scenario_without_breach().records;
    let mut file = Vec::new();
    transcript::write(&records, &mut file).expect("writing to a vector does not fail");
    assert_eq!(
        transcript::read(&file[..]).expect("the file is a valid transcript"),
        records
    );
    let truncated = &file[..file.len() / 2];
    let problem = transcript::read(truncated).expect_err("the last line is truncated");
    assert!(problem.to_string().starts_with("line "), "{problem}");
}
