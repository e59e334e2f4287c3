//! Chooses the home engines of a prefix by rendezvous hashing.

use super::engines::{EngineIndex, Engines};
use crate::interface::Arrival;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of prefill engines that compute prompts with the same prefix.
const MAX_HOME_ENGINES: usize = 4;

/// The home engines of a request's prefix among `candidates`, in the order in which its session
/// tries them. The first is the same for all requests with this prefix; the order of the others
/// depends on the session.
///
/// Guards against prompts scattered over all engines, where each engine computes the same prefixes
/// again. Every dispatcher gets the same home engines, so the prompts of a session are cached at
/// one of these few engines whichever dispatcher sends them.
pub(super) fn home_engines(
    arrival: &Arrival,
    candidates: &[EngineIndex],
    engines: &Engines,
) -> Vec<EngineIndex> {
    let prefix = arrival
        .shared_prefix
        .map_or(arrival.session.0, |shared| shared.0);
    let score = |engine: EngineIndex, key: u64| {
        xxh3_64_with_seed(engines[engine].endpoint.engine.0.as_bytes(), key)
    };
    let mut scored: Vec<(u64, EngineIndex)> = candidates
        .iter()
        .map(|&engine| (score(engine, prefix), engine))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(MAX_HOME_ENGINES);
    let mut homes: Vec<EngineIndex> = scored.into_iter().map(|(_, engine)| engine).collect();
    if let Some(others) = homes.get_mut(1..) {
        others.sort_unstable_by_key(|&engine| score(engine, arrival.session.0));
    }
    homes
}
