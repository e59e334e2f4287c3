//! The state of each engine as this dispatcher knows it.

use super::concurrency_limit::ConcurrencyLimit;
use super::load_report::{HealthCheckState, LoadReport, MeanPrefillTokens};
use super::outlier_detection::{OutcomeHistory, OverloadBackoff};
use super::prefix_cache::PrefixCache;
use super::slow_start::SlowStart;
use super::stage::Stage;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Index of an engine in [`Engines`]. It stays valid, because engines are never removed.
pub(super) type EngineIndex = usize;

pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    pub(super) kind: EngineKindSettings,
    /// Number of this dispatcher's decodes in flight at the engine.
    pub(super) decodes: f64,
    /// Number of this dispatcher's prefills in flight at the engine.
    pub(super) prefills: f64,
    /// Number of prompt tokens that the engine has to compute for this dispatcher's prefills in
    /// flight, without those that it has cached.
    pub(super) prefill_tokens: f64,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) prefix_cache: PrefixCache,
    pub(super) load_report: LoadReport,
    pub(super) health_check: HealthCheckState,
    /// When the engine last answered an attempt. A prefill that had queued does not count.
    pub(super) last_response_at: Ms,
    pub(super) outcomes: OutcomeHistory,
    pub(super) overload_backoff: OverloadBackoff,
    pub(super) slow_start: SlowStart,
}

impl Engine {
    fn new(endpoint: &Endpoint, kind: &EngineKindSettings, dispatchers: f64) -> Self {
        Engine {
            endpoint: endpoint.clone(),
            kind: kind.clone(),
            decodes: 0.0,
            prefills: 0.0,
            prefill_tokens: 0.0,
            concurrency_limit: ConcurrencyLimit::new(kind.role, dispatchers),
            prefix_cache: PrefixCache::default(),
            load_report: LoadReport::new(),
            health_check: HealthCheckState::new(),
            last_response_at: f64::NEG_INFINITY,
            outcomes: OutcomeHistory::new(),
            overload_backoff: OverloadBackoff::new(),
            slow_start: SlowStart::new(),
        }
    }

    /// Applies the engine's entry in the list of endpoints. A later start means a new process under
    /// the same id: outcomes, load report and cached prefixes of the old process no longer apply.
    /// The concurrency limit, the overload backoff and the health check are kept; the answers of
    /// the new process adjust them.
    fn update(&mut self, endpoint: &Endpoint) {
        let started_at = endpoint.started.unwrap_or(f64::NEG_INFINITY);
        if started_at > self.slow_start.started_at() {
            self.outcomes.clear();
            self.load_report.expire();
            self.prefix_cache.clear();
        }
        self.slow_start.set_started_at(started_at);
        self.endpoint = endpoint.clone();
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready
    }

    /// This dispatcher's attempts in flight at the engine, prefills and decodes together.
    pub(super) fn in_flight(&self) -> f64 {
        self.prefills + self.decodes
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.concurrency_limit.has_capacity(self.in_flight())
    }

    pub(super) fn record_attempt_started(&mut self, stage: Stage, uncached_tokens: f64) {
        match stage {
            Stage::Prefill => {
                self.prefills += 1.0;
                self.prefill_tokens += uncached_tokens;
            }
            Stage::Decode => self.decodes += 1.0,
        }
    }

    pub(super) fn record_attempt_ended(&mut self, stage: Stage, uncached_tokens: f64) {
        match stage {
            Stage::Prefill => {
                self.prefills -= 1.0;
                self.prefill_tokens -= uncached_tokens;
            }
            Stage::Decode => self.decodes -= 1.0,
        }
    }

    /// Adjusts the concurrency limit after an attempt that was sent at `sent_at`. `queued`: whether
    /// the attempt waited in the engine's queue.
    pub(super) fn record_queueing(&mut self, queued: bool, sent_at: Ms, now: Ms) {
        let in_flight = self.in_flight();
        if queued {
            self.concurrency_limit.decrease(in_flight, sent_at, now);
        } else {
            self.concurrency_limit.increase(in_flight);
        }
    }

    pub(super) fn record_outcome(&mut self, success: bool) {
        if success {
            self.overload_backoff.record_success();
        }
        self.outcomes.record(success);
    }
}

pub(super) struct Engines {
    dispatchers: f64,
    /// Time constant in milliseconds with which a load report loses weight.
    report_decay_ms: Ms,
    index: BTreeMap<EngineId, EngineIndex>,
    /// Every engine ever listed, in the order of first listing.
    engines: Vec<Engine>,
    mean_prefill_tokens: MeanPrefillTokens,
}

impl Index<EngineIndex> for Engines {
    type Output = Engine;

    fn index(&self, index: EngineIndex) -> &Engine {
        &self.engines[index]
    }
}

impl IndexMut<EngineIndex> for Engines {
    fn index_mut(&mut self, index: EngineIndex) -> &mut Engine {
        &mut self.engines[index]
    }
}

impl Engines {
    pub(super) fn new(dispatchers: u32, report_decay_ms: Ms) -> Self {
        Engines {
            dispatchers: f64::from(dispatchers.max(1)),
            report_decay_ms,
            index: BTreeMap::new(),
            engines: Vec::new(),
            mean_prefill_tokens: MeanPrefillTokens::default(),
        }
    }

    /// How many dispatchers share the engines, including this one.
    pub(super) fn dispatchers(&self) -> f64 {
        self.dispatchers
    }

    /// Time constant in milliseconds with which a load report loses weight. An unanswered health
    /// check marks its engine as busy for the same time.
    pub(super) fn report_decay_ms(&self) -> Ms {
        self.report_decay_ms
    }

    pub(super) fn index_of(&self, id: &EngineId) -> Option<EngineIndex> {
        self.index.get(id).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// Applies an entry of the list of endpoints. `kind` applies only to a new engine; a known
    /// engine keeps the kind of its first listing.
    pub(super) fn update(&mut self, endpoint: &Endpoint, kind: &EngineKindSettings) {
        let index = match self.index.get(&endpoint.engine) {
            Some(&index) => index,
            None => self.add(endpoint, kind),
        };
        self.engines[index].update(endpoint);
    }

    fn add(&mut self, endpoint: &Endpoint, kind: &EngineKindSettings) -> EngineIndex {
        let index = self.engines.len();
        self.index.insert(endpoint.engine.clone(), index);
        self.engines
            .push(Engine::new(endpoint, kind, self.dispatchers));
        index
    }

    /// Marks the engines that are not in the full list `endpoints` as gone.
    pub(super) fn mark_gone_unless_in(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&EngineId> = endpoints.iter().map(|entry| &entry.engine).collect();
        for engine in &mut self.engines {
            if !listed.contains(&engine.endpoint.engine) {
                engine.endpoint.status = EndpointStatus::Gone;
            }
        }
    }

    /// The engines that serve a stage and accept new attempts, by ascending index.
    pub(super) fn ready(&self, stage: Stage) -> impl Iterator<Item = EngineIndex> + '_ {
        let ready = move |(_, engine): &(EngineIndex, &Engine)| {
            stage.is_served_by(engine.kind.role) && engine.is_ready()
        };
        self.engines
            .iter()
            .enumerate()
            .filter(ready)
            .map(|(index, _)| index)
    }

    /// Whether an attempt of this stage at the engine computes a KV state and nothing else. An
    /// engine that serves both stages also generates the answer to a prompt that it has prefilled.
    pub(super) fn is_prefill_only(&self, stage: Stage, index: EngineIndex) -> bool {
        stage == Stage::Prefill && self.engines[index].kind.role == Role::Prefill
    }

    pub(super) fn record_prefill_done(
        &mut self,
        index: EngineIndex,
        arrival: &Arrival,
        cached: f64,
    ) {
        self.engines[index].prefix_cache.insert(arrival);
        self.mean_prefill_tokens
            .record(arrival.prompt_tokens - cached);
    }

    pub(super) fn record_load(&mut self, index: EngineIndex, load: &Load, now: Ms) {
        let engine = &mut self.engines[index];
        let typical_tokens = self.mean_prefill_tokens.tokens();
        engine
            .load_report
            .update(load, typical_tokens, engine.kind.memory_tokens, now);
    }

    /// The mean of `value` over the last reports of the ready engines of a stage, without the
    /// engine `excluded`; 0 if no such engine has reported.
    pub(super) fn mean_report(
        &self,
        stage: Stage,
        value: impl Fn(&LoadReport) -> f64,
        excluded: Option<EngineIndex>,
    ) -> f64 {
        let reporting = self
            .ready(stage)
            .filter(|&index| Some(index) != excluded && self.engines[index].load_report.is_known());
        let (sum, count) = reporting.fold((0.0, 0.0), |(sum, count), index| {
            (sum + value(&self.engines[index].load_report), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// Estimated number of prompt tokens that wait at a prefill engine: the larger of two
    /// estimates. One is this dispatcher's tokens in flight times `own_tokens_factor`. The other is
    /// the reported number, which moves towards `mean` as the report gets older.
    pub(super) fn waiting_tokens(
        &self,
        index: EngineIndex,
        own_tokens_factor: f64,
        mean: f64,
        now: Ms,
    ) -> f64 {
        let engine = &self.engines[index];
        let report = &engine.load_report;
        let reported =
            report.current_estimate(report.waiting_tokens, mean, now, self.report_decay_ms);
        (own_tokens_factor * engine.prefill_tokens).max(reported)
    }

    /// The reported utilization of an engine, which moves towards `mean` as the report gets older.
    pub(super) fn utilization(&self, index: EngineIndex, mean: f64, now: Ms) -> f64 {
        let report = &self.engines[index].load_report;
        report.current_estimate(report.utilization, mean, now, self.report_decay_ms)
    }
}
