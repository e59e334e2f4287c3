//! Estimates which prompts a prefill engine has cached, from this dispatcher's prefills that ended
//! there.

use crate::interface::Arrival;
use std::collections::VecDeque;

/// Maximum number of shared prefixes and sessions remembered per engine; the least recently
/// prefilled one is dropped first.
const MAX_PREFIXES: usize = 64;
/// Most of a prompt is cached if the engine has to compute less than this fraction of its tokens.
const MAX_UNCACHED_FRACTION: f64 = 0.5;

/// Ids of shared prefixes and sessions, each with its number of cached tokens; the least recently
/// prefilled one is first.
#[derive(Default)]
pub(super) struct PrefixCache {
    prefixes: VecDeque<(u64, f64)>,
}

impl PrefixCache {
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Tokens of the prompt that the engine would have to compute.
    pub(super) fn uncached_tokens(&self, arrival: &Arrival) -> f64 {
        let belongs = |prefix: &u64| {
            *prefix == arrival.session.0
                || arrival
                    .shared_prefix
                    .is_some_and(|shared| *prefix == shared.0)
        };
        let cached = self
            .prefixes
            .iter()
            .filter(|(prefix, _)| belongs(prefix))
            .map(|(_, tokens)| *tokens)
            .fold(0.0, f64::max);
        (arrival.prompt_tokens - cached).max(0.0)
    }

    /// Whether the engine has most of the prompt cached.
    pub(super) fn has_most_cached(&self, arrival: &Arrival) -> bool {
        self.uncached_tokens(arrival) < MAX_UNCACHED_FRACTION * arrival.prompt_tokens
    }

    /// Records that a prefill has ended at the engine: the whole prompt is cached now.
    pub(super) fn insert(&mut self, arrival: &Arrival) {
        let shared = arrival
            .shared_prefix
            .map(|id| (id.0, arrival.shared_tokens));
        let session = (arrival.session.0, arrival.prompt_tokens);
        for entry in shared.into_iter().chain([session]) {
            self.prefixes.retain(|(prefix, _)| *prefix != entry.0);
            self.prefixes.push_back(entry);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }
}
