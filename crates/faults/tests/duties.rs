//! Duties on a virtual clock: drawn seeds break nothing.

use cindercleat_faults::duties::draw::SHAPES;
use cindercleat_faults::duties::{draw, play, Plan};

#[test]
fn a_quiet_fleet_has_one_caller_of_the_roll() {
    let played = play(&Plan::quiet(1, 3, 9, 1000.0, 10_000.0));
    assert_eq!(played.breaches, []);
    assert_eq!(played.met["terms obeyed"], 1, "{:?}", played.met);
    assert!(played.obeyed > 500, "{}", played.obeyed);
}

#[test]
fn some_seeds_break_nothing() {
    for seed in 1..=200 {
        let played = play(&draw(seed, &SHAPES[0]));
        assert_eq!(played.breaches, [], "seed {seed}: {:#?}", played.story);
    }
}
