//! Plans with a name: instants at which two things meet, each on several drawn days.

use cindercleat_faults::draw::{day, SHAPES};
use cindercleat_faults::plan::{Fault, Trouble};
use cindercleat_faults::shrink::shrink;
use cindercleat_faults::world::{play, Breach, Played};
use cindercleat_protocol::{frame, v1, Body};
use cindercleat_standin::audit::{audit, Rule, Rules};
use cindercleat_standin::transcript::{Record, Way, What};
use std::rc::Rc;

fn at(at: f64, trouble: Trouble, whom: &[&str], length: f64) -> Fault {
    Fault {
        at,
        length,
        trouble,
        whom: whom.iter().map(|w| (*w).to_owned()).collect(),
    }
}

/// Plays the requests of some seeds with these faults and no others.
fn plan(faults: &[Fault]) -> Vec<Played> {
    (1..=5)
        .map(|seed| {
            let mut day = day(seed, &SHAPES[0]);
            day.faults = faults.to_vec();
            let played = play(&day).expect("it plays");
            assert_eq!(played.breaches, [], "seed {seed}");
            played
        })
        .collect()
}

#[test]
fn a_dispatcher_restarts_at_the_instant_an_engine_drains() {
    for beside in [-1.0, 0.0, 1.0] {
        let drain = at(3000.0, Trouble::Drain, &["writer-1"], 2000.0);
        let again = at(
            5000.0 + beside,
            Trouble::Drain,
            &["reader-1", "writer-2"],
            1500.0,
        );
        let kill = at(2800.0 + beside, Trouble::Kill, &["0"], 200.0);
        let stop = at(5000.0, Trouble::Stop, &["1"], 300.0);
        let played = plan(&[drain, again, kill, stop]);
        assert!(played.iter().all(|p| p.met["drain told"] > 0));
    }
}

#[test]
fn all_writers_of_a_cell_are_gone_in_one_step() {
    for trouble in [Trouble::Die, Trouble::Vanish, Trouble::Cut] {
        // Writers 1 and 2 are the first of their zones; 3 shares the second cell with none here.
        plan(&[at(
            3000.0,
            trouble.clone(),
            &["writer-1", "writer-3"],
            2000.0,
        )]);
        plan(&[at(
            3000.0,
            trouble,
            &["writer-1", "writer-2", "writer-3", "writer-4"],
            1000.0,
        )]);
    }
}

#[test]
fn the_list_is_silent_for_a_minute_and_then_stale() {
    let played = plan(&[
        at(1000.0, Trouble::ListSilent, &[], 60_000.0),
        at(2000.0, Trouble::Drain, &["writer-1"], 1500.0),
        at(4000.0, Trouble::Die, &["reader-1"], 1000.0),
        at(61_000.0, Trouble::ListLate(2000.0), &[], 3000.0),
        at(62_000.0, Trouble::Drain, &["writer-2"], 1500.0),
    ]);
    assert!(played.iter().all(|p| p.length > 60_000.0));
}

#[test]
fn an_engine_is_back_under_its_name_within_the_connect_timeout() {
    for length in [1.0, 100.0, 249.0, 251.0] {
        let die = at(3000.0, Trouble::Die, &["writer-1", "reader-2"], length);
        let vanish = at(6000.0, Trouble::Vanish, &["writer-2", "reader-1"], length);
        let played = plan(&[die, vanish]);
        assert!(played
            .iter()
            .all(|p| p.met.contains_key("launch at a cold host")));
    }
}

/// The dispatcher of a first try is gone, and with it the try's answer; what it had out runs on for a moment while
/// its client asks elsewhere. At-most-once requests are not asked again: a client cannot know.
#[test]
fn a_client_comes_back_before_its_first_try_has_an_end() {
    let kills: Vec<Fault> = (1..8)
        .map(|n| {
            at(
                1000.0 * f64::from(n),
                Trouble::Kill,
                &[["0", "1"][n as usize % 2]],
                1.0,
            )
        })
        .collect();
    let played = plan(&kills);
    assert!(played.iter().any(|p| p.met["try"] > 100), "some come back");
}

#[test]
fn clocks_step_by_a_millisecond_and_by_ten_seconds() {
    for by in [1.0, 10_000.0] {
        plan(&[
            at(3000.0, Trouble::ClockStep(by), &["0"], 0.0),
            at(7000.0, Trouble::ClockStep(by), &["1"], 0.0),
        ]);
    }
}

/// The bound itself: a state let go a millisecond before it, and one let go a millisecond after.
#[test]
fn a_state_let_go_at_499_ms_is_in_time_and_one_at_501_is_not() {
    for (after, breaches) in [(499.0, 0), (501.0, 1)] {
        let state = Some(v1::KvStateId {
            run: 7,
            request: 1,
            attempt: 0,
        });
        let record = |at: f64, way: Way, stream: u64, body: Body| Record {
            at,
            seer: Rc::from("reader-1"),
            peer: Rc::from("dispatcher-0"),
            conn: 1,
            what: What::Frame(way, frame(stream, body)),
        };
        let ended = v1::Ended {
            status: v1::Status::PrefillDone.into(),
            state,
            ..v1::Ended::default()
        };
        let records = [
            record(
                1000.0,
                Way::In,
                1,
                Body::Prefill(v1::Prefill {
                    state,
                    ..v1::Prefill::default()
                }),
            ),
            record(1100.0, Way::Out, 1, Body::Ended(ended)),
            record(
                1100.0 + after,
                Way::In,
                2,
                Body::Release(v1::Release {
                    state,
                    ..v1::Release::default()
                }),
            ),
            record(9000.0, Way::In, 3, Body::HealthCheck(v1::HealthCheck {})),
        ];
        let mut rules: Rules = cindercleat_faults::plan::rules(&day(1, &SHAPES[0]), 0.0);
        rules.silences.clear();
        let found = audit(&records, &rules).breaches;
        assert_eq!(found.len(), breaches, "{after} ms: {found:?}");
        assert!(found.iter().all(|b| b.rule == Rule::LeftPinned));
    }
}

/// A failing day is cut down to what breaks it: here a claim that nothing may be failed, by a stand-in of a
/// check, on a day with one fault that leads to it among others that do not.
#[test]
fn a_day_is_cut_down_to_what_breaks_it() {
    let mut day = day(4, &SHAPES[0]);
    day.faults = vec![
        at(2000.0, Trouble::Forget, &["reader-1"], 0.0),
        at(3000.0, Trouble::Drain, &["writer-1"], 500.0),
        at(9000.0, Trouble::Forget, &["reader-2"], 0.0),
    ];
    // Whoever may take a second to be told of a drain breaks a rule that allows less.
    day.list_delay = 0.0;
    day.service.policy.answer_grace = -5_000.0;
    let first: Breach = play(&day)
        .expect("it plays")
        .breaches
        .into_iter()
        .next()
        .expect("a breach");
    assert_eq!(first.kind, "TaskLost", "{first:?}");
    let shrunk = shrink(&day, &first, 200).expect("it plays");
    assert!(
        shrunk.day.faults.is_empty() && shrunk.day.habits.requests.len() == 1,
        "{:?}",
        shrunk.day.faults
    );
    assert_eq!(shrunk.breach.kind, first.kind);
}
