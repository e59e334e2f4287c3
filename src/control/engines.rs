//! What is known of each engine.

use super::concurrency_limit::ConcurrencyLimit;
use super::load_report::{HealthCheckState, LoadReport, TypicalPrefill};
use super::outlier_detection::{OutcomeHistory, OverloadBackoff};
use super::prefix_cache::PrefixCache;
use super::slow_start::SlowStart;
use super::stage::Stage;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// An engine's place in [`Engines`]; lasting.
pub(super) type EngineIndex = usize;

pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    pub(super) kind: KindSettings,
    /// Own attempts in flight, by stage.
    pub(super) decodes: f64,
    pub(super) prefills: f64,
    /// Uncached prompt tokens of own prefills in flight.
    pub(super) prefill_tokens: f64,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) prefix_cache: PrefixCache,
    pub(super) load_report: LoadReport,
    pub(super) health_check: HealthCheckState,
    /// When an attempt was last answered without having queued.
    pub(super) last_response_at: Ms,
    pub(super) outcomes: OutcomeHistory,
    pub(super) overload_backoff: OverloadBackoff,
    pub(super) slow_start: SlowStart,
}

impl Engine {
    fn new(endpoint: &Endpoint, kind: &KindSettings, dispatchers: f64) -> Self {
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

    /// Takes its entry in the list of endpoints in. A later start is a new process under the same
    /// id: outcomes, load report and cached prefixes of the old one no longer hold. The concurrency
    /// limit, the overload backoff and the health check are kept and follow what the new one answers.
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

    /// Own attempts in flight.
    pub(super) fn in_flight(&self) -> f64 {
        self.prefills + self.decodes
    }

    pub(super) fn has_room(&self) -> bool {
        self.concurrency_limit.has_room(self.in_flight())
    }

    pub(super) fn note_attempt_started(&mut self, stage: Stage, uncached_tokens: f64) {
        match stage {
            Stage::Prefill => {
                self.prefills += 1.0;
                self.prefill_tokens += uncached_tokens;
            }
            Stage::Decode => self.decodes += 1.0,
        }
    }

    pub(super) fn note_attempt_ended(&mut self, stage: Stage, uncached_tokens: f64) {
        match stage {
            Stage::Prefill => {
                self.prefills -= 1.0;
                self.prefill_tokens -= uncached_tokens;
            }
            Stage::Decode => self.decodes -= 1.0,
        }
    }

    /// An attempt sent at `sent_at` did or did not wait in a queue there.
    pub(super) fn note_queueing(&mut self, queued: bool, sent_at: Ms, now: Ms) {
        let in_flight = self.in_flight();
        if queued {
            self.concurrency_limit.decrease(in_flight, sent_at, now);
        } else {
            self.concurrency_limit.increase(in_flight);
        }
    }

    pub(super) fn note_outcome(&mut self, success: bool) {
        if success {
            self.overload_backoff.note_success();
        }
        self.outcomes.note(success);
    }
}

pub(super) struct Engines {
    dispatchers: f64,
    /// Time constant with which a load report ages.
    report_decay_ms: Ms,
    index: BTreeMap<EngineId, EngineIndex>,
    /// Every engine ever listed, in the order in which they came.
    engines: Vec<Engine>,
    typical_prefill: TypicalPrefill,
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
            typical_prefill: TypicalPrefill::default(),
        }
    }

    /// How many dispatchers share the engines, this one counted.
    pub(super) fn dispatchers(&self) -> f64 {
        self.dispatchers
    }

    /// Time constant with which a load report ages; a missing one counts for as long.
    pub(super) fn report_decay_ms(&self) -> Ms {
        self.report_decay_ms
    }

    pub(super) fn index_of(&self, id: &EngineId) -> Option<EngineIndex> {
        self.index.get(id).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// Takes an entry of the list of endpoints in. `kind` counts for an engine that is new: one that
    /// is known keeps the kind that it was first listed with.
    pub(super) fn update(&mut self, endpoint: &Endpoint, kind: &KindSettings) {
        let index = match self.index.get(&endpoint.engine) {
            Some(&index) => index,
            None => self.add(endpoint, kind),
        };
        self.engines[index].update(endpoint);
    }

    fn add(&mut self, endpoint: &Endpoint, kind: &KindSettings) -> EngineIndex {
        let index = self.engines.len();
        self.index.insert(endpoint.engine.clone(), index);
        self.engines
            .push(Engine::new(endpoint, kind, self.dispatchers));
        index
    }

    /// A full list came: engines that are not in it are gone.
    pub(super) fn mark_gone_unless_in(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&EngineId> = endpoints.iter().map(|entry| &entry.engine).collect();
        for engine in &mut self.engines {
            if !listed.contains(&engine.endpoint.engine) {
                engine.endpoint.status = EndpointStatus::Gone;
            }
        }
    }

    /// The engines that serve a stage and take new attempts, in the order of their indices.
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

    /// Whether an attempt of this stage only computes a KV state there; a mixed engine answers what
    /// it has prefilled.
    pub(super) fn is_prefill_only(&self, stage: Stage, index: EngineIndex) -> bool {
        stage == Stage::Prefill && self.engines[index].kind.role == Role::Prefill
    }

    pub(super) fn note_prefill_done(&mut self, index: EngineIndex, arrival: &Arrival, cached: f64) {
        self.engines[index].prefix_cache.insert(arrival);
        self.typical_prefill.note(arrival.prompt_tokens - cached);
    }

    pub(super) fn note_load(&mut self, index: EngineIndex, load: &Load, now: Ms) {
        let engine = &mut self.engines[index];
        let typical_tokens = self.typical_prefill.tokens();
        engine
            .load_report
            .update(load, typical_tokens, engine.kind.memory_tokens, now);
    }

    /// The mean of a reported value over the ready engines of a stage whose reports are known, one
    /// of them left out.
    pub(super) fn mean_report(
        &self,
        stage: Stage,
        value: impl Fn(&LoadReport) -> f64,
        without: Option<EngineIndex>,
    ) -> f64 {
        let known = self
            .ready(stage)
            .filter(|&index| Some(index) != without && self.engines[index].load_report.is_known());
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), index| {
            (sum + value(&self.engines[index].load_report), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// Prompt tokens that wait at a prefill engine: own ones scaled by `dispatchers_seen`, or what
    /// it reported, which ages towards `mean`; whichever is more.
    pub(super) fn waiting_tokens(
        &self,
        index: EngineIndex,
        dispatchers_seen: f64,
        mean: f64,
        now: Ms,
    ) -> f64 {
        let engine = &self.engines[index];
        let report = &engine.load_report;
        let reported = report.aged(report.waiting_tokens, mean, now, self.report_decay_ms);
        (dispatchers_seen * engine.prefill_tokens).max(reported)
    }

    /// The fraction of an engine that is taken, as reported; ages towards `mean`.
    pub(super) fn utilization(&self, index: EngineIndex, mean: f64, now: Ms) -> f64 {
        let report = &self.engines[index].load_report;
        report.aged(report.utilization, mean, now, self.report_decay_ms)
    }
}
