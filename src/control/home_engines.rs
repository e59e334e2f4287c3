//! The home engines of a prefix, by rendezvous hashing.

use super::engines::{EngineIndex, Engines};
use crate::interface::Arrival;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prefill engines over which the prefills of one prefix are spread.
const MAX_HOME_ENGINES: usize = 4;

/// The home engines of a request's prefix among `candidates`, in the order in which the session
/// tries them: the home of all requests with this prefix, then the others in an order of the
/// session's own.
///
/// Guards against prompts scattered over the fleet, which shows as prefixes that are computed over
/// and over: whichever dispatcher sends a session's prompts finds them cached at one of the same
/// few engines.
pub(super) fn home_engines(
    arrival: &Arrival,
    candidates: &[EngineIndex],
    engines: &Engines,
) -> Vec<EngineIndex> {
    let prefix = arrival.shared.map_or(arrival.session.0, |shared| shared.0);
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
