//! Cold engines: how many attempts one may get while it warms up, and for how much it counts.
//!
//! A cold engine collapses when it gets more than a multiple of its capacity within the overload
//! window. No dispatcher sees what the others send, so each limits its own part.

use super::decaying_rate::DecayingRate;
use super::stage::Stage;
use crate::interface::{DispatcherId, EngineId, Ms, Settings};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of the budget that is used; the rest is for what one dispatcher cannot see.
const BUDGET_USED_FRACTION: f64 = 0.8;
/// How many times the mean a popular engine may be in demand.
const POPULAR_ENGINE_MULTIPLE: f64 = 4.0;
/// The golden ratio as a fraction of 2^64: its multiples lie evenly however many there are (Weyl's
/// sequence).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// One engine's age and the attempts it got.
pub(super) struct SlowStart {
    /// Minus infinity if it has run for long.
    started_at: Ms,
    /// When attempts were sent there within the overload window, oldest first.
    attempts: VecDeque<Ms>,
}

impl SlowStart {
    pub(super) fn new() -> Self {
        SlowStart {
            started_at: f64::NEG_INFINITY,
            attempts: VecDeque::new(),
        }
    }

    pub(super) fn started_at(&self) -> Ms {
        self.started_at
    }

    pub(super) fn set_started_at(&mut self, started_at: Ms) {
        self.started_at = started_at;
    }

    pub(super) fn is_cold(&self, now: Ms, slow_start_window: Ms) -> bool {
        now < self.started_at + slow_start_window
    }

    /// For how much the engine counts beside a warm one: from the cold capacity up to 1 over the
    /// slow-start window.
    pub(super) fn capacity_fraction(&self, now: Ms, settings: &Settings) -> f64 {
        let age = ((now - self.started_at) / settings.slow_start_window).clamp(0.0, 1.0);
        settings.cold_capacity + (1.0 - settings.cold_capacity) * age
    }

    pub(super) fn note_attempt(&mut self, now: Ms, overload_window: Ms) {
        let since = now - overload_window;
        self.attempts.retain(|&at| at > since);
        self.attempts.push_back(now);
    }

    /// Whether one more attempt may be sent there, `budget` being the attempts that a cold engine
    /// may get from this dispatcher within the overload window. Every attempt counts, also a
    /// rejected one.
    ///
    /// Guards against parts that are each small and together too much, which shows as a cold engine
    /// that collapses: each dispatcher rounds the budget to a whole number, the same while the
    /// engine is cold and no more requests arrive, and who rounds up goes by the dispatchers'
    /// numbers, so that as many do as their fractions add up to.
    pub(super) fn has_budget(
        &self,
        engine: &EngineId,
        dispatcher: DispatcherId,
        budget: f64,
        now: Ms,
        settings: &Settings,
    ) -> bool {
        if !self.is_cold(now, settings.slow_start_window) {
            return true;
        }
        let engine_hash = xxh3_64_with_seed(engine.0.as_bytes(), self.started_at.to_bits());
        let position = engine_hash.wrapping_add(u64::from(dispatcher.0).wrapping_mul(GOLDEN_RATIO))
            as f64
            / u64::MAX as f64;
        let since = now - settings.overload_window;
        let sent = self.attempts.iter().filter(|&&at| at > since).count();
        budget > 0.0 && (sent as f64) < (budget + position).floor()
    }
}

/// This dispatcher's traffic, from which the budget of cold engines follows. Each dispatcher scales
/// by its own traffic, however traffic is spread, so that together they stay within what an engine
/// bears.
#[derive(Default)]
pub(super) struct SlowStartBudget {
    /// Own prefills done, and own decodes begun, by one warm engine.
    prefill_rate: DecayingRate,
    decode_rate: DecayingRate,
    arrival_rate: DecayingRate,
    /// When requests arrived within the overload window, oldest first.
    arrivals: VecDeque<Ms>,
}

impl SlowStartBudget {
    pub(super) fn note_arrival(&mut self, now: Ms, settings: &Settings) {
        self.arrival_rate.note(1.0, now, settings.slow_start_window);
        let oldest = now - settings.overload_window;
        self.arrivals.push_back(now);
        while self.arrivals.pop_front_if(|at| *at <= oldest).is_some() {}
    }

    /// One of so many warm engines has done a prefill or begun a decode.
    pub(super) fn note_service(
        &mut self,
        stage: Stage,
        warm_engines: usize,
        now: Ms,
        settings: &Settings,
    ) {
        let warm = warm_engines.max(1) as f64;
        let rate = match stage {
            Stage::Prefill => &mut self.prefill_rate,
            Stage::Decode => &mut self.decode_rate,
        };
        rate.note(1.0 / warm, now, settings.slow_start_window);
    }

    /// Mean attempts that a cold engine may get from this dispatcher within the overload window.
    ///
    /// Guards against overloading a cold engine, which shows as its collapse: warm engines show
    /// what an engine bears (own prefills done and decodes begun there, also before all of them
    /// restarted), and a cold one gets that, scaled by the cold capacity and the overload multiple,
    /// less a margin. Without a warm engine seen, arrivals are shared out.
    fn mean_budget(&self, stage: Stage, engines: usize, settings: &Settings) -> f64 {
        let service_rate = match stage {
            Stage::Prefill => self.prefill_rate.per_ms(),
            Stage::Decode => self.decode_rate.per_ms(),
        };
        let service_rate = match service_rate {
            0.0 => self.arrival_rate.per_ms() / engines.max(1) as f64,
            rate => rate,
        };
        BUDGET_USED_FRACTION
            * settings.overload_multiple
            * settings.cold_capacity
            * service_rate
            * settings.overload_window
    }

    /// Attempts that one cold engine may get from this dispatcher within the overload window, with
    /// a fraction.
    ///
    /// A dispatcher with a small part mostly has no request to send, so it may send more when it
    /// has one: engines are rarely in demand for more than a multiple of the mean. Guards against a
    /// surge while most engines are cold, which shows as a collapse of the few that have budget
    /// left: recent arrivals show how many attempts each of them would get.
    pub(super) fn attempts_per_cold_engine(
        &self,
        stage: Stage,
        warm: usize,
        cold: usize,
        now: Ms,
        settings: &Settings,
    ) -> f64 {
        let budget = self.mean_budget(stage, warm + cold, settings);
        // Where an engine is wanted `demand` times a window in the mean, this dispatcher wants it at all
        // with the chance 1 - exp(-demand). So it may send budget / chance when it does: with a budget of
        // 0.1 and a demand of 0.4 that is 0.1 / 0.33 = 0.3 attempts, and the mean stays 0.1.
        let per_demand = |demand: f64| budget / (1.0 - (-demand.max(f64::EPSILON)).exp());
        let usual_demand = POPULAR_ENGINE_MULTIPLE * budget;
        // Engines that can take an attempt from here in this window: all warm ones, and of the cold ones
        // those of which the budget, as a chance, allows one.
        let open = warm as f64 + cold as f64 * per_demand(usual_demand).min(1.0);
        // The request for which an engine is sought has arrived itself: it is not counted.
        let since = now - settings.overload_window;
        let others = self
            .arrivals
            .iter()
            .rev()
            .take_while(|&&at| at > since)
            .skip(1)
            .count();
        per_demand(usual_demand.max(others as f64 / open.max(1.0)))
    }
}
