//! The audit finds a planted breach of each rule, and finds none in the same day without it. Were one of
//! these not found, a day's "rules: kept" would prove nothing.

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

#[derive(Default)]
struct Story {
    records: Vec<Record>,
}

impl Story {
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

    fn found(mut self) -> Vec<Rule> {
        self.records.sort_by(|a, b| a.at.total_cmp(&b.at));
        audit(&self.records, &rules())
            .breaches
            .into_iter()
            .map(|b| b.rule)
            .collect()
    }
}

const CLIENT: (&str, &str, u64) = ("client", "d", 1);
const READER: (&str, &str, u64) = ("r", "d", 2);
const WRITER: (&str, &str, u64) = ("w", "d", 3);
const FEED: (&str, &str, u64) = ("list", "d", 4);

fn state(request: u32) -> Option<v1::KvStateId> {
    Some(v1::KvStateId {
        run: 1,
        request,
        attempt: 0,
    })
}

fn last(answer: v1::Answer) -> Body {
    Body::Final(v1::Final {
        answer: answer.into(),
        ..v1::Final::default()
    })
}

fn listed(status: v1::EndpointStatus) -> Body {
    let line = v1::Endpoint {
        engine: "w".to_owned(),
        status: status.into(),
        ..v1::Endpoint::default()
    };
    Body::Endpoints(v1::EndpointList {
        kind: v1::EndpointUpdateKind::Delta.into(),
        version: 1,
        endpoints: vec![line],
    })
}

/// One request served as it should be, and a cold decode engine's start.
fn good() -> Story {
    let mut story = Story::default();
    let submit = v1::Submit {
        request_class: "proof".to_owned(),
        key: "k1".to_owned(),
        time_to_deadline_ms: 1000.0,
        ..v1::Submit::default()
    };
    story.frame(0.0, FEED, Way::Out, 1, listed(v1::EndpointStatus::Ready));
    let started = Note::Started {
        capacity: 2.0,
        start_share: 0.25,
        slow_start_window: 5000.0,
    };
    story.note(0.0, ("w", 0), started);
    story.frame(10.0, CLIENT, Way::Out, 1, Body::Submit(submit));
    story.frame(
        11.0,
        CLIENT,
        Way::In,
        1,
        Body::Accepted(v1::Accepted { request: 1 }),
    );
    let read = v1::Prefill {
        state: state(1),
        prompt_tokens: 100,
        ..v1::Prefill::default()
    };
    story.frame(12.0, READER, Way::In, 1, Body::Prefill(read));
    let ended = v1::Ended {
        status: v1::Status::PrefillDone.into(),
        state: state(1),
        ..v1::Ended::default()
    };
    story.frame(30.0, READER, Way::Out, 1, Body::Ended(ended));
    story.frame(32.0, WRITER, Way::In, 1, write(1));
    story.frame(
        33.0,
        READER,
        Way::In,
        2,
        Body::Fetch(v1::Fetch { state: state(1) }),
    );
    story.note(35.0, ("w", 3), ran());
    story.frame(
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
    story.frame(90.0, WRITER, Way::Out, 1, Body::Ended(ended));
    story.frame(91.0, CLIENT, Way::In, 1, last(v1::Answer::Succeeded));
    story.note(
        9000.0,
        ("list", 0),
        Note::Expired {
            run: 9,
            request: 9,
            attempt: 9,
        },
    );
    story
}

fn write(request: u32) -> Body {
    Body::Decode(v1::Decode {
        state: state(request),
        max_tokens: 20,
        ..v1::Decode::default()
    })
}

fn ran() -> Note {
    Note::Ran {
        key: "k1".to_owned(),
        request_class: "proof".to_owned(),
    }
}

#[test]
fn a_good_day_has_no_breach() {
    assert_eq!(good().found(), []);
}

#[test]
fn a_second_final_answer_is_found() {
    let mut story = good();
    story.frame(95.0, CLIENT, Way::In, 1, last(v1::Answer::Failed));
    assert_eq!(story.found(), [Rule::RequestLost]);
}

#[test]
fn tokens_after_the_final_answer_are_found() {
    let mut story = good();
    story.frame(
        95.0,
        CLIENT,
        Way::In,
        1,
        Body::Tokens(v1::Tokens::default()),
    );
    assert_eq!(story.found(), [Rule::RequestLost]);
}

#[test]
fn a_request_without_an_answer_is_found_unless_its_dispatcher_was_killed() {
    let lose = |story: &mut Story| {
        story.records.retain(
            |r| !matches!(&r.what, What::Frame(Way::In, f) if matches!(f.body, Some(Body::Final(_)))),
        );
    };
    let mut story = good();
    lose(&mut story);
    assert_eq!(story.found(), [Rule::RequestLost]);
    let mut story = good();
    lose(&mut story);
    story.note(90.5, ("d", 0), Note::Killed);
    story.note(91.0, ("client", 1), Note::Closed { own: false });
    assert_eq!(story.found(), []);
}

#[test]
fn an_answer_after_the_clients_time_is_found() {
    let mut story = good();
    story
        .records
        .retain(|r| !(&*r.seer == "client" && r.at > 11.0));
    story.frame(1200.0, CLIENT, Way::In, 1, last(v1::Answer::Failed));
    assert_eq!(story.found(), [Rule::RequestLost]);
}

#[test]
fn a_second_run_of_an_at_most_once_request_is_found() {
    let mut story = good();
    story.note(300.0, ("w2", 5), ran());
    assert_eq!(story.found(), [Rule::EffectTwice]);
}

#[test]
fn a_rejection_of_what_ran_is_found_before_and_after_the_run() {
    for at in [34.0, 91.0] {
        let mut story = good();
        story
            .records
            .retain(|r| !(&*r.seer == "client" && r.at > 11.0));
        story.frame(at, CLIENT, Way::In, 1, last(v1::Answer::Rejected));
        assert_eq!(story.found(), [Rule::EffectTwice], "bounced at {at}");
    }
}

#[test]
fn an_attempt_after_a_drain_is_found_and_one_within_the_grace_is_not() {
    for (at, found) in [(500.0, vec![]), (900.0, vec![Rule::DrainBroken])] {
        let mut story = good();
        story.frame(
            100.0,
            FEED,
            Way::Out,
            1,
            listed(v1::EndpointStatus::Draining),
        );
        story.frame(at, WRITER, Way::In, 7, write(2));
        assert_eq!(story.found(), found, "sent at {at}");
    }
    // Ready again in between.
    let mut story = good();
    story.frame(
        100.0,
        FEED,
        Way::Out,
        1,
        listed(v1::EndpointStatus::Draining),
    );
    story.frame(800.0, FEED, Way::Out, 1, listed(v1::EndpointStatus::Ready));
    story.frame(900.0, WRITER, Way::In, 7, write(2));
    assert_eq!(story.found(), []);
}

#[test]
fn a_cold_engine_that_is_sent_too_much_by_all_together_is_found() {
    // Bears 2 x 0.25 x 4 slot seconds in a second at its start: ten attempts of 0.2; one more is slack.
    for (attempts, found) in [(9, vec![]), (14, vec![Rule::ColdEnginePushed])] {
        let mut story = good();
        for n in 0..attempts {
            let from = if n % 2 == 0 {
                ("w", "d", 3)
            } else {
                ("w", "e", 6)
            };
            story.frame(
                100.0 + f64::from(n),
                from,
                Way::In,
                100 + u64::from(n),
                write(100 + n),
            );
        }
        assert_eq!(story.found(), found, "{attempts} launches");
    }
}

#[test]
fn a_state_that_lies_too_long_is_found_and_one_that_is_let_go_is_not() {
    for (released, found) in [(500.0, vec![]), (800.0, vec![Rule::LeftPinned])] {
        let mut story = good();
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state: state(2),
            ..v1::Ended::default()
        };
        story.frame(100.0, READER, Way::Out, 9, Body::Ended(ended));
        story.frame(
            100.0 + released,
            READER,
            Way::In,
            0,
            Body::Release(v1::Release {
                state: state(2),
                ..v1::Release::default()
            }),
        );
        assert_eq!(story.found(), found, "released after {released}");
    }
    // Never let go, by a dispatcher that lives, and by one that is killed at once.
    for (killed, found) in [(false, vec![Rule::LeftPinned]), (true, vec![])] {
        let mut story = good();
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state: state(2),
            ..v1::Ended::default()
        };
        story.frame(100.0, READER, Way::Out, 9, Body::Ended(ended));
        if killed {
            story.note(150.0, ("d", 0), Note::Killed);
        }
        assert_eq!(story.found(), found, "killed: {killed}");
    }
}

#[test]
fn a_read_that_ends_just_after_its_dispatcher_was_killed_is_nobodys_breach() {
    for (run, found) in [(1, vec![]), (2, vec![Rule::LeftPinned])] {
        let mut story = good();
        for (at, run) in [(1.0, 1), (300.0, 2)] {
            story.frame(
                at,
                READER,
                Way::In,
                0,
                Body::Hello(v1::Hello {
                    run,
                    ..v1::Hello::default()
                }),
            );
        }
        story.note(200.0, ("d", 0), Note::Killed);
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
        story.frame(
            if run == 1 { 201.0 } else { 400.0 },
            READER,
            Way::Out,
            9,
            Body::Ended(ended),
        );
        assert_eq!(story.found(), found, "run {run}");
    }
}

#[test]
fn a_state_is_not_idle_while_an_attempt_is_out_for_it() {
    let mut story = good();
    let ended = v1::Ended {
        status: v1::Status::PrefillDone.into(),
        state: state(2),
        ..v1::Ended::default()
    };
    story.frame(100.0, READER, Way::Out, 9, Body::Ended(ended));
    story.frame(300.0, WRITER, Way::In, 9, write(2));
    let full = v1::Ended {
        status: v1::Status::Overloaded.into(),
        ..v1::Ended::default()
    };
    story.frame(3000.0, WRITER, Way::Out, 9, Body::Ended(full));
    story.frame(
        3400.0,
        READER,
        Way::In,
        0,
        Body::Release(v1::Release {
            state: state(2),
            ..v1::Release::default()
        }),
    );
    assert_eq!(story.found(), []);
}

/// A request under another key whose client goes at 100, and the attempt that comes at a prefill engine at `at`.
fn gone_before_an_attempt(at: f64) -> Story {
    let mut story = good();
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    story.frame(50.0, CLIENT, Way::Out, 2, Body::Submit(submit));
    story.frame(
        51.0,
        CLIENT,
        Way::In,
        2,
        Body::Accepted(v1::Accepted { request: 2 }),
    );
    story.frame(100.0, CLIENT, Way::Out, 2, Body::Cancel(v1::Cancel {}));
    let read = v1::Prefill {
        state: state(2),
        key: "k2".to_owned(),
        ..v1::Prefill::default()
    };
    story.frame(at, READER, Way::In, 5, Body::Prefill(read));
    story
}

#[test]
fn an_attempt_for_a_client_that_has_gone_is_found_beyond_its_tenth_of_a_second() {
    for (at, found) in [
        (90.0, vec![]),
        (290.0, vec![]),
        (310.0, vec![Rule::AttemptForNobody]),
    ] {
        assert_eq!(gone_before_an_attempt(at).found(), found, "sent at {at}");
    }
    // The client asked again under the same key: the attempt is for that.
    let mut story = gone_before_an_attempt(500.0);
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    story.frame(400.0, CLIENT, Way::Out, 3, Body::Submit(submit));
    story.frame(600.0, CLIENT, Way::In, 3, last(v1::Answer::Rejected));
    assert_eq!(story.found(), []);
}

/// A request whose decode attempt has come to its engine.
fn decoded() -> Story {
    let mut story = Story::default();
    let submit = v1::Submit {
        key: "k2".to_owned(),
        time_to_deadline_ms: 5000.0,
        ..v1::Submit::default()
    };
    story.frame(10.0, CLIENT, Way::Out, 2, Body::Submit(submit));
    let attempt = v1::Decode {
        key: "k2".to_owned(),
        ..v1::Decode::default()
    };
    story.frame(20.0, WRITER, Way::In, 4, Body::Decode(attempt));
    story
}

fn tokens(position: u32) -> Body {
    Body::Tokens(v1::Tokens {
        position,
        count: 1,
        ..v1::Tokens::default()
    })
}

#[test]
fn an_event_that_is_held_back_is_found() {
    for (at, found) in [(400.0, vec![]), (500.0, vec![Rule::EventLate])] {
        let mut story = decoded();
        for (position, written, came) in [(0, 30.0, 31.0), (1, 60.0, at)] {
            story.frame(written, WRITER, Way::Out, 4, tokens(position));
            story.frame(came, CLIENT, Way::In, 2, tokens(position));
        }
        story.frame(900.0, CLIENT, Way::In, 2, last(v1::Answer::Succeeded));
        assert_eq!(story.found(), found, "passed on at {at}");
    }
}

/// An event that waits while its dispatcher's process does not run, and one that waits on after that.
#[test]
fn an_event_that_is_held_back_beyond_the_sleep_of_its_process_is_found() {
    for (awake, came, of, found) in [
        (950.0, 960.0, "d", vec![]),
        (500.0, 960.0, "d", vec![Rule::EventLate]),
        (950.0, 960.0, "another", vec![Rule::EventLate]),
    ] {
        let mut story = decoded();
        story.frame(30.0, WRITER, Way::Out, 4, tokens(0));
        story.frame(31.0, CLIENT, Way::In, 2, tokens(0));
        story.note(50.0, (of, 0), Note::Asleep);
        story.frame(60.0, WRITER, Way::Out, 4, tokens(1));
        story.note(awake, (of, 0), Note::Awake);
        story.frame(came, CLIENT, Way::In, 2, tokens(1));
        story.frame(970.0, CLIENT, Way::In, 2, last(v1::Answer::Succeeded));
        assert_eq!(
            story.found(),
            found,
            "awake at {awake}, passed on at {came}, asleep: {of}"
        );
    }
}

/// A class of many requests, each with its length, its session and its answer.
fn class(answers: impl Iterator<Item = (u32, u64, v1::Answer)>) -> Story {
    let mut story = Story::default();
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
        story.frame(at, CLIENT, Way::Out, stream, Body::Submit(submit));
        story.frame(at + 5.0, CLIENT, Way::In, stream, last(answer));
    }
    story
}

#[test]
fn largest_requests_that_are_given_up_for_small_ones_are_found() {
    let answer = |refused: bool| {
        if refused {
            v1::Answer::Rejected
        } else {
            v1::Answer::Succeeded
        }
    };
    // One in ten is refused: by chance, or always of the largest.
    let fair = (0..400_u32).map(|n| (n, u64::from(n), answer(n % 10 == 3)));
    assert_eq!(class(fair).found(), []);
    let unfair = (0..400_u32).map(|n| (n, u64::from(n / 4) % 60, answer(n >= 370)));
    assert_eq!(class(unfair).found(), [Rule::LargestStarved]);
}

#[test]
fn sessions_that_are_refused_throughout_are_found() {
    let answer = |refused: bool| {
        if refused {
            v1::Answer::Rejected
        } else {
            v1::Answer::Succeeded
        }
    };
    let spread = (0..400_u32).map(|n| (n, u64::from(n % 50), answer(n % 4 == n / 50 % 4)));
    assert_eq!(class(spread).found(), []);
    let singled = (0..400_u32).map(|n| (n, u64::from(n % 50), answer(n % 50 < 12)));
    assert_eq!(class(singled).found(), [Rule::SessionsSingledOut]);
}

#[test]
fn a_transcript_is_read_back_as_it_was_written() {
    let records = good().records;
    let mut file = Vec::new();
    transcript::write(&records, &mut file).expect("memory takes it");
    assert_eq!(transcript::read(&file[..]).expect("it is one"), records);
    let cut = &file[..file.len() / 2];
    let problem = transcript::read(cut).expect_err("a line is cut");
    assert!(problem.to_string().starts_with("line "), "{problem}");
}
