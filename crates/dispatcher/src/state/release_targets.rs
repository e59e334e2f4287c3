//! Selects the engines to call next for the release of a KV state, where any engine passes a release on.

use super::kv_states::KvState;
use super::releases::CONFIRMATION_TIMEOUT_DIVISOR;
use super::*;

/// The maximum number of calls in one round. Each round without an answer calls one more engine in parallel,
/// because calling them one by one takes too long when nearly all engines are unresponsive.
const MAX_PARALLEL_CALLS: usize = 4;

impl Dispatcher {
    /// The engines to call in the next round: first the engine that holds the KV state or else the engine most
    /// likely to run, and one more for each engine that has not answered.
    pub(super) fn engines_to_call(
        &self,
        state: &KvState,
        called_engines: &mut Vec<EngineId>,
    ) -> Vec<EngineId> {
        let extra_calls = called_engines.len().min(MAX_PARALLEL_CALLS - 1);
        let mut to_call: Vec<EngineId> = self
            .holder_to_call(state, called_engines)
            .into_iter()
            .collect();
        while to_call.len() < 1 + extra_calls {
            let Some(next) = self.next_engine(called_engines, &to_call) else {
                break;
            };
            to_call.push(next);
        }
        to_call
    }

    /// The engine that holds the KV state, if it has not been called in this cycle, and has responded recently or
    /// had its prefill cancelled.
    ///
    /// The holder is called first because a release must not overtake the end of a cancelled prefill. Through
    /// another engine, the release could arrive before the state exists: it would be confirmed, and the state
    /// would stay pinned.
    pub(super) fn holder_to_call(
        &self,
        state: &KvState,
        called_engines: &[EngineId],
    ) -> Option<EngineId> {
        let engine = &state.held.engine;
        let may_call = self.endpoints.status(engine) != EndpointStatus::Gone
            && !self.connections.is_suspected_with_open_call(engine);
        let was_cancelled = state.release.confirmations == 0
            && state
                .engines_not_seen_working()
                .any(|other| other == engine);
        let should_call = may_call
            && (was_cancelled || self.has_responded_recently(engine))
            && !called_engines.contains(engine);
        should_call.then(|| engine.clone())
    }

    /// Whether the engine has sent a message within the time in which a release must be confirmed.
    pub(super) fn has_responded_recently(&self, engine: &EngineId) -> bool {
        self.connections.engine_last_received_at(engine)
            >= self.now - self.settings.policy.kv_state_timeout / CONFIRMATION_TIMEOUT_DIVISOR
    }

    /// The engine that is most likely to run, among those not called in this cycle. When all were called, a new
    /// cycle begins.
    ///
    /// An engine that has left a call unanswered since its last message ranks last. Next counts a recent
    /// response, then an idle connection, then the time of the last response. An idle connection counts only
    /// together with a recent response: when many engines become unresponsive at once, their idle connections
    /// stay open, while connections to working engines are busy. Preferring idle connections alone would send
    /// releases to unresponsive engines until they are late.
    pub(super) fn next_engine(
        &self,
        called_engines: &mut Vec<EngineId>,
        chosen: &[EngineId],
    ) -> Option<EngineId> {
        let is_ready = |(_, entry): &(&EngineId, &endpoints::EngineEntry)| {
            entry.status == EndpointStatus::Ready
        };
        let engines: Vec<&EngineId> = self
            .endpoints
            .engines
            .iter()
            .filter(is_ready)
            .map(|(engine, _)| engine)
            .collect();
        if engines.iter().all(|engine| called_engines.contains(engine)) {
            // The engine that was called last is not called again at once if there is another.
            let called_count = called_engines.len();
            called_engines.drain(..called_count.saturating_sub(1));
        }
        let rank = |engine: &EngineId| {
            let responded_recently = self.has_responded_recently(engine);
            let has_idle_connection = responded_recently
                && self
                    .connections
                    .accepting_connection(engine, true)
                    .is_some();
            (
                !self.connections.is_suspected(engine),
                responded_recently,
                has_idle_connection,
                self.connections.engine_last_received_at(engine),
            )
        };
        let by_rank = |a: &&EngineId, b: &&EngineId| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1, a.2)
                .cmp(&(b.0, b.1, b.2))
                .then(a.3.total_cmp(&b.3))
        };
        // A suspected engine gets no second call while one is open there. Otherwise each request that is open there
        // would call it, with many connections to one unresponsive engine.
        let candidates = engines
            .into_iter()
            .filter(|engine| !called_engines.contains(engine) && !chosen.contains(engine));
        let candidates =
            candidates.filter(|engine| !self.connections.is_suspected_with_open_call(engine));
        candidates.max_by(by_rank).cloned()
    }
}
