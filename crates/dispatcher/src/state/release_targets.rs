//! Selects the engines to call for a release over HTTP/1. Such a release may be sent to any engine, which passes it
//! on to the engine that holds the KV state.

use super::kv_states::KvState;
use super::releases::CONFIRMATION_TIMEOUT_DIVISOR;
use super::*;

/// The maximum number of engines that are called in parallel for one release. Each round of calls without a
/// confirmation adds one engine to the next round, because calling engines one by one takes too long when nearly
/// all engines are unresponsive.
const MAX_PARALLEL_CALLS: usize = 4;

impl Dispatcher {
    /// The engines to call in the next round of a release. The first is the engine that holds the KV state, if it
    /// is to be called, or else the engine that is most likely to run. One more is added for each engine that was
    /// called and has not confirmed the release, up to the maximum.
    pub(super) fn engines_to_call(
        &self,
        state: &KvState,
        called_engines: &mut Vec<EngineId>,
    ) -> Vec<EngineId> {
        let extra_calls = called_engines.len().min(MAX_PARALLEL_CALLS - 1);
        let mut to_call: Vec<EngineId> = self
            .kv_state_engine_to_call(state, called_engines)
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

    /// The engine that holds the KV state, if it was not called since the last confirmation, and has responded
    /// recently or had its prefill cancelled.
    ///
    /// This engine is called first because a release must not overtake the end of a cancelled prefill. Through
    /// another engine, the release could arrive before the state exists. The release would then be confirmed
    /// although the state stays pinned.
    pub(super) fn kv_state_engine_to_call(
        &self,
        state: &KvState,
        called_engines: &[EngineId],
    ) -> Option<EngineId> {
        let engine = &state.held.engine;
        let may_call = self.endpoints.status(engine) != EndpointStatus::Gone
            && !self.connections.is_suspected_with_open_call(engine);
        let was_cancelled = state.release.confirmations == 0
            && state
                .engines_with_unconfirmed_end()
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

    /// The engine that is most likely to run, among the engines in service that are not in `called_engines`. When
    /// all of them are, the list is reduced to the engine that was called last, so that they are called again.
    ///
    /// Engines that have left a call unanswered since their last message rank last. Among the others, engines with
    /// a recent response rank first, then those with an idle connection, then those whose last response is newest.
    /// An idle connection counts only together with a recent response: when many engines become unresponsive at
    /// once, their idle connections stay open, while connections to working engines are busy. If idle connections
    /// alone counted, releases would be sent to unresponsive engines until the releases are late.
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
            // The engine that was called last stays in the list, so that another engine is called first if there is
            // one.
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
        // would call it, and open many connections to one unresponsive engine.
        let candidates = engines
            .into_iter()
            .filter(|engine| !called_engines.contains(engine) && !chosen.contains(engine));
        let candidates =
            candidates.filter(|engine| !self.connections.is_suspected_with_open_call(engine));
        candidates.max_by(by_rank).cloned()
    }
}
