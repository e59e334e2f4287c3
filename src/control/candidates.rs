//! Filters the engines that may get a request, before one of them is chosen.

use super::engines::EngineIndex;
use super::requests::Request;
use super::retry;
use super::stage::Stage;
use super::state::State;
use crate::interface::RetrySafety;

impl State {
    /// The engines of a stage that may get this request now; if there are none, the request is
    /// held. Draining engines and cold engines without budget are never returned. Three groups are
    /// returned only if no other engines remain: decode engines that report a high load, decode
    /// engines without capacity, and engines that rejected or failed this request.
    pub(super) fn candidates(&self, request: &Request, stage: Stage) -> Vec<EngineIndex> {
        let budget = self.cold_engine_budget(stage);
        let allowed: Vec<EngineIndex> = self
            .not_ejected_or_on_trial(request, stage)
            .into_iter()
            .filter(|&engine| self.is_allowed(engine, request, budget))
            .collect();
        let preferred: Vec<EngineIndex> = allowed
            .iter()
            .copied()
            .filter(|&engine| self.is_preferred(engine, request, stage))
            .collect();
        let lightly_loaded: Vec<EngineIndex> = match stage {
            Stage::Prefill => preferred.clone(),
            Stage::Decode => self.without_highly_loaded(&preferred),
        };
        [lightly_loaded, preferred, allowed]
            .into_iter()
            .find(|engines| !engines.is_empty())
            .unwrap_or_default()
    }

    /// The ready engines that are not ejected, plus ejected engines that are due for a trial if a
    /// failed trial does no harm. All ejected engines are returned only if every ready engine of
    /// the stage is ejected, not if the others are merely busy. Guards against an engine that fails
    /// fast, which always appears to have capacity.
    fn not_ejected_or_on_trial(&self, request: &Request, stage: Stage) -> Vec<EngineIndex> {
        let ready: Vec<EngineIndex> = self.engines.ready(stage).collect();
        let success = |engine: EngineIndex| self.engines[engine].outcomes.success_fraction();
        let sum: f64 = ready.iter().map(|&engine| success(engine)).sum();
        let peers_success = sum / ready.len().max(1) as f64;
        let (healthy, ejected): (Vec<EngineIndex>, Vec<EngineIndex>) = ready
            .iter()
            .partition(|&&engine| !self.engines[engine].outcomes.is_ejected(peers_success));
        if healthy.is_empty() {
            return ejected;
        }
        let is_safe =
            stage == Stage::Prefill || self.retry_safety(request) == RetrySafety::Idempotent;
        let trials: Vec<EngineIndex> = ejected
            .into_iter()
            .filter(|&engine| is_safe && self.engines[engine].outcomes.is_trial_due(self.now))
            .collect();
        [healthy, trials].concat()
    }

    /// Whether the request may be sent to the engine at all. These conditions apply even if
    /// no engine meets them.
    fn is_allowed(&self, engine: EngineIndex, request: &Request, cold_engine_budget: f64) -> bool {
        let candidate = &self.engines[engine];
        self.may_run_on(request, engine)
            && candidate.slow_start.has_budget(
                &candidate.endpoint.engine,
                self.settings.dispatcher_id,
                cold_engine_budget,
                self.now,
                &self.settings,
            )
            && candidate.overload_backoff.is_over(self.now)
    }

    /// Whether the engine has neither rejected nor failed this request, and a decode engine has
    /// capacity for it. The capacity of a prefill engine is checked when the engine is chosen,
    /// because the request may be held for its home engine.
    fn is_preferred(&self, engine: EngineIndex, request: &Request, stage: Stage) -> bool {
        (stage == Stage::Prefill || self.engines[engine].has_capacity())
            && !request.excluded_engines.contains(&engine)
    }

    /// Leaves out decode engines whose utilization is above the midpoint between the mean and 1.
    fn without_highly_loaded(&self, engines: &[EngineIndex]) -> Vec<EngineIndex> {
        let mean = self.mean_decode_utilization();
        let is_highly_loaded = |engine: EngineIndex| {
            self.engines.utilization(engine, mean, self.now) > (1.0 + mean) / 2.0
        };
        engines
            .iter()
            .copied()
            .filter(|&engine| !is_highly_loaded(engine))
            .collect()
    }

    /// The number of attempts that this dispatcher may send to each cold engine within the overload
    /// window.
    fn cold_engine_budget(&self, stage: Stage) -> f64 {
        let (cold, warm): (Vec<EngineIndex>, Vec<EngineIndex>) = self
            .engines
            .ready(stage)
            .partition(|&engine| self.is_cold(engine));
        self.slow_start.attempts_per_cold_engine(
            stage,
            warm.len(),
            cold.len(),
            self.now,
            &self.settings,
        )
    }

    pub(super) fn retry_safety(&self, request: &Request) -> RetrySafety {
        self.classes.class_of(&request.arrival).retry_safety
    }

    pub(super) fn may_run_on(&self, request: &Request, engine: EngineIndex) -> bool {
        let retry_safety = self.retry_safety(request);
        retry::may_run_on(
            engine,
            retry_safety,
            request.first_possible_run,
            &self.engines,
            self.now,
        )
    }
}
