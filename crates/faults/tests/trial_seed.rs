//! A trial: one seed, many times.
use cindercleat_faults::draw::{day, SHAPES};
use cindercleat_faults::world::play;
use std::collections::BTreeMap;

#[test]
fn trial() {
    let seeds: Vec<u64> = std::env::var("SEEDS")
        .expect("SEEDS")
        .split(',')
        .map(|s| s.parse().expect("a seed"))
        .collect();
    let times: usize = std::env::var("TIMES")
        .expect("TIMES")
        .parse()
        .expect("a number");
    for seed in seeds {
        let digests = std::sync::Mutex::new(BTreeMap::<u64, usize>::new());
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    for _ in 0..times / 4 {
                        let digest = play(&day(seed, &SHAPES[0])).expect("it plays").digest;
                        *digests.lock().expect("lock").entry(digest).or_insert(0) += 1;
                    }
                });
            }
        });
        println!("seed {seed}: {:?}", digests.lock().expect("lock"));
    }
}
