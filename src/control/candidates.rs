//! Which engines may take a request at all, before one of them is chosen.

use super::engines::EngineIndex;
use super::requests::Request;
use super::retry;
use super::stage::Stage;
use super::state::State;
use crate::interface::RetrySafety;

impl State {
    /// The engines of a stage that may take this request now; none means that it is held. Draining
    /// engines and cold engines without budget are never among them. Decode engines that report a
    /// high load, then those without room or that failed this request, are left out while others
    /// are to be had.
    pub(super) fn candidates(&self, request: &Request, stage: Stage) -> Vec<EngineIndex> {
        let budget = self.cold_engine_budget(stage);
        let open: Vec<EngineIndex> = self
            .in_service(request, stage)
            .into_iter()
            .filter(|&engine| self.is_open(engine, request, budget))
            .collect();
        let fit: Vec<EngineIndex> = open
            .iter()
            .copied()
            .filter(|&engine| self.is_fit(engine, request, stage))
            .collect();
        let lightly_loaded: Vec<EngineIndex> = match stage {
            Stage::Prefill => fit.clone(),
            Stage::Decode => self.without_highly_loaded(&fit),
        };
        [lightly_loaded, fit, open]
            .into_iter()
            .find(|engines| !engines.is_empty())
            .unwrap_or_default()
    }

    /// The ready engines that are not ejected. One that is ejected comes in for a trial, if that is
    /// safe; all of them come in only when every engine of the stage is ejected, not when the
    /// others are merely busy. Guards against an engine that fails fast, which always looks as if
    /// it had room.
    fn in_service(&self, request: &Request, stage: Stage) -> Vec<EngineIndex> {
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
            .filter(|&engine| is_safe && self.engines[engine].outcomes.may_be_tried(self.now))
            .collect();
        [healthy, trials].concat()
    }

    /// Whether a request may go to an engine: the rules that are never set aside.
    fn is_open(&self, engine: EngineIndex, request: &Request, cold_engine_budget: f64) -> bool {
        let known = &self.engines[engine];
        self.may_run_on(request, engine)
            && known.slow_start.has_budget(
                &known.endpoint.engine,
                self.settings.me,
                cold_engine_budget,
                self.now,
                &self.settings,
            )
            && known.overload_backoff.is_over(self.now)
    }

    /// A prefill's room is looked at when its engine is chosen, as it may be held for its home
    /// engine.
    fn is_fit(&self, engine: EngineIndex, request: &Request, stage: Stage) -> bool {
        (stage == Stage::Prefill || self.engines[engine].has_room())
            && !request.excluded_engines.contains(&engine)
    }

    /// Leaves out decode engines that are taken by more than the middle between the mean and full.
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

    /// Attempts that a cold engine may get from here within the overload window.
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
        self.classes.of(&request.arrival).retry_safety
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
