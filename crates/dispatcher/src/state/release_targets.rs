//! Which engines are asked next to release a KV state, where any engine passes a release on.

use super::kv_states::KvState;
use super::releases::CONFIRMATION_TIMEOUT_DIVISOR;
use super::*;

/// Each round without an answer asks one engine more at once, up to so many: when nearly all engines are unresponsive, one
/// after another would take too long.
const MAX_PARALLEL_CALLS: usize = 4;

impl Dispatcher {
    /// The engines that the next round asks: the one that holds the KV state, or that most likely runs; one more for each that
    /// has not answered.
    pub(super) fn engines_to_ask(
        &self,
        state: &KvState,
        asked_engines: &mut Vec<EngineId>,
    ) -> Vec<EngineId> {
        let more = asked_engines.len().min(MAX_PARALLEL_CALLS - 1);
        let mut asked: Vec<EngineId> = self
            .holder_to_ask(state, asked_engines)
            .into_iter()
            .collect();
        while asked.len() < 1 + more {
            let Some(next) = self.next_engine(asked_engines, &asked) else {
                break;
            };
            asked.push(next);
        }
        asked
    }

    /// The engine that holds the KV state, if it has not been asked, and has responded lately or was to prefill it just now.
    ///
    /// Guards against a release that overtakes the end of a cancelled prefill, which shows as a KV state that stays pinned
    /// though its release was confirmed: by way of another engine the release could come before the state is there, so the
    /// holder itself is asked first.
    pub(super) fn holder_to_ask(
        &self,
        state: &KvState,
        asked_engines: &[EngineId],
    ) -> Option<EngineId> {
        let engine = &state.held.engine;
        let may_ask = self.endpoints.status(engine) != EndpointStatus::Gone
            && !self.connections.is_asked_in_vain(engine);
        let was_cancelled = state.release.confirmations == 0
            && state.unaware_engines().any(|other| other == engine);
        let fits = may_ask
            && (was_cancelled || self.has_responded_lately(engine))
            && !asked_engines.contains(engine);
        fits.then(|| engine.clone())
    }

    /// Whether an engine has sent anything within the time in which a release has to be confirmed.
    pub(super) fn has_responded_lately(&self, engine: &EngineId) -> bool {
        self.connections.engine_last_received_at(engine)
            >= self.now - self.settings.policy.kv_state_timeout / CONFIRMATION_TIMEOUT_DIVISOR
    }

    /// The engine that most likely runs, of those that have not been asked: none that has left a call unanswered since its
    /// last response, if there is another; one that has responded lately and has an idle connection, one that has responded
    /// lately, or the one that has responded last. Once all were asked it begins anew.
    ///
    /// Guards against many engines that become unresponsive at once, which shows as releases that reach none in time: the
    /// idle connections of such engines stay up, while those of the engines that work are busy, so an idle connection counts
    /// only with a recent response.
    pub(super) fn next_engine(
        &self,
        asked_engines: &mut Vec<EngineId>,
        chosen: &[EngineId],
    ) -> Option<EngineId> {
        let ready =
            |(_, row): &(&EngineId, &endpoints::EngineEntry)| row.status == EndpointStatus::Ready;
        let engines: Vec<&EngineId> = self
            .endpoints
            .engines
            .iter()
            .filter(ready)
            .map(|(engine, _)| engine)
            .collect();
        if engines.iter().all(|engine| asked_engines.contains(engine)) {
            // The last one asked is not asked again at once, if there is another.
            let asked = asked_engines.len();
            asked_engines.drain(..asked.saturating_sub(1));
        }
        let rank = |engine: &EngineId| {
            let fresh = self.has_responded_lately(engine);
            let rests = fresh && self.connections.up(engine, true).is_some();
            (
                !self.connections.is_suspected(engine),
                fresh,
                rests,
                self.connections.engine_last_received_at(engine),
            )
        };
        let order = |a: &&EngineId, b: &&EngineId| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1, a.2)
                .cmp(&(b.0, b.1, b.2))
                .then(a.3.total_cmp(&b.3))
        };
        // Guards against a storm of calls, which shows as many connections to one unresponsive engine: all requests that are
        // open there would ask it. One that has left a call unanswered gets no other while one is open there.
        let unasked = engines
            .into_iter()
            .filter(|engine| !asked_engines.contains(engine) && !chosen.contains(engine));
        let unasked = unasked.filter(|engine| !self.connections.is_asked_in_vain(engine));
        unasked.max_by(order).cloned()
    }
}
