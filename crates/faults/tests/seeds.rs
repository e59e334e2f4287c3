//! The days of the first seeds: played twice they are the same to the byte, and none breaks anything.

use cindercleat_faults::draw::{day, Shape, SHAPES};
use cindercleat_faults::world::play;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Plays seeds on all cores; gives what each met.
fn each(shape: &'static Shape, count: u64, twice: bool) -> BTreeMap<String, u64> {
    let (next, met) = (AtomicU64::new(1), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed > count {
                    return;
                }
                let day = day(seed, shape);
                let played = play(&day).expect("it plays");
                assert_eq!(played.breaches, [], "{} seed {seed}", shape.name);
                if twice {
                    assert_eq!(
                        play(&day).expect("it plays").digest,
                        played.digest,
                        "seed {seed} twice"
                    );
                }
                let mut met = met.lock().expect("no thread failed");
                for (what, n) in played.met {
                    *met.entry(what).or_insert(0) += n;
                }
            });
        }
    });
    met.into_inner().expect("no thread failed")
}

#[test]
fn two_hundred_seeds_are_the_same_twice_and_break_nothing() {
    let met = each(&SHAPES[0], 200, true);
    // Seeds that reach nothing prove nothing.
    for request_class in ["caption-draft", "proof-send", "proof-page"] {
        for answer in ["fulfilled", "bounced", "written off"] {
            assert!(
                met.contains_key(&format!("{request_class} {answer}")),
                "{request_class} is never {answer}"
            );
        }
    }
    for what in [
        "said full",
        "said no state",
        "said failed",
        "said cancelled",
        "drain told",
        "launch at a cold host",
    ] {
        assert!(
            met.get(what).is_some_and(|n| *n > 20),
            "{what}: {:?}",
            met.get(what)
        );
    }
    let faults = met.keys().filter(|what| what.starts_with("fault ")).count();
    assert!(faults >= 22, "{faults} kinds of fault");
}

#[test]
fn storms_and_small_fleets_break_nothing() {
    each(&SHAPES[1], 60, false);
    each(&SHAPES[2], 40, false);
}

/// A machine that dies in the very instant in which the end of a stream is due there says nothing any more.
#[test]
fn a_machine_says_nothing_from_the_instant_in_which_it_dies() {
    let played = play(&day(771_300_134, &SHAPES[0])).expect("it plays");
    assert_eq!(played.breaches, []);
}
