//! Small cases explored: every state that any order of steps reaches, breadth first, so that the first wrong one found
//! is one with the fewest steps ([`explore`]); or, where that is too many, by walks at random ([`wander`]).

use nanorand::{Rng, WyRand};
use std::collections::HashSet;
use std::hash::Hash;
use xxhash_rust::xxh3::Xxh3;

/// Something that takes steps. Equal hashes are the same state.
pub trait Model {
    type State: Clone + Hash;

    fn begin(&self) -> Self::State;

    /// All steps that can be taken, each with its name and the state after it.
    fn steps(&self, state: &Self::State, into: &mut Vec<(String, Self::State)>);

    /// What is wrong with a state.
    fn wrong(&self, state: &Self::State) -> Option<String>;
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explored {
    /// Different states, and how many steps the farthest was away.
    pub states: usize,
    pub depth: usize,
    /// There was nothing beyond.
    pub whole: bool,
    /// What is wrong, and the steps to it.
    pub wrong: Option<(String, Vec<String>)>,
}

/// Explores until all is seen, something is wrong, or so many states or steps.
pub fn explore<M: Model>(model: &M, most_states: usize, most_depth: usize) -> Explored {
    let key = |state: &M::State| {
        let mut hasher = Xxh3::new();
        state.hash(&mut hasher);
        hasher.digest128()
    };
    let begin = model.begin();
    let mut seen = HashSet::from([key(&begin)]);
    // How each state was reached: from which, by what.
    let mut ways: Vec<(usize, String)> = vec![(0, String::new())];
    let mut layer = vec![(0, begin)];
    let mut found = Explored {
        states: 1,
        ..Explored::default()
    };
    let mut steps = Vec::new();
    while !layer.is_empty() {
        if found.depth >= most_depth {
            return found;
        }
        let mut next = Vec::new();
        for (from, state) in layer {
            model.steps(&state, &mut steps);
            for (name, after) in steps.drain(..) {
                if !seen.insert(key(&after)) {
                    continue;
                }
                ways.push((from, name));
                let at = ways.len() - 1;
                found.states += 1;
                if let Some(what) = model.wrong(&after) {
                    let mut story = Vec::new();
                    let mut back = at;
                    while back != 0 {
                        story.push(ways[back].1.clone());
                        back = ways[back].0;
                    }
                    story.reverse();
                    found.depth += 1;
                    found.wrong = Some((what, story));
                    return found;
                }
                if found.states >= most_states {
                    return found;
                }
                next.push((at, after));
            }
        }
        found.depth += 1;
        layer = next;
    }
    found.whole = true;
    found
}

/// Walks at random from the begin, so many times and steps each. Gives how many walks it took to find something wrong,
/// with what and the steps to it.
pub fn wander<M: Model>(
    model: &M,
    seed: u64,
    walks: usize,
    most: usize,
) -> Option<(usize, String, Vec<String>)> {
    let mut rng = WyRand::new_seed(seed);
    let mut steps = Vec::new();
    for walk in 1..=walks {
        let mut state = model.begin();
        let mut story = Vec::new();
        for _ in 0..most {
            model.steps(&state, &mut steps);
            if steps.is_empty() {
                break;
            }
            let (name, after) = steps.swap_remove(rng.generate_range(0..steps.len()));
            steps.clear();
            story.push(name);
            state = after;
            if let Some(what) = model.wrong(&state) {
                return Some((walk, what, story));
            }
        }
    }
    None
}
