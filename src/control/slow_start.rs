//! Slow start: limits the attempts at a cold engine while it warms up, and estimates its capacity.
//!
//! A cold engine collapses when it gets more than a multiple of its capacity within the overload
//! window. A dispatcher does not see the attempts of the others, so each dispatcher limits its own
//! attempts.

use super::decaying_rate::DecayingRate;
use super::stage::Stage;
use crate::interface::{DispatcherId, EngineId, Ms, Settings};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of a cold engine's budget that is used. The rest is a margin for traffic that one
/// dispatcher cannot see.
const BUDGET_USED_FRACTION: f64 = 0.8;
/// Assumed demand for a popular engine, in multiples of the mean demand per engine.
const POPULAR_ENGINE_MULTIPLE: f64 = 4.0;
/// The golden ratio as a fraction of 2^64. Its first n multiples, modulo 2^64, are evenly
/// distributed for every n (Weyl sequence).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// The start time of an engine and this dispatcher's recent attempts at that engine.
pub(super) struct SlowStart {
    /// When the engine's process started; minus infinity if the start was long ago.
    started_at: Ms,
    /// When attempts were sent to the engine within the overload window, oldest first.
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

    /// The capacity of the engine as a fraction of a warm one's. It grows from the cold capacity to
    /// 1 over the slow-start window.
    pub(super) fn capacity_fraction(&self, now: Ms, settings: &Settings) -> f64 {
        let age = ((now - self.started_at) / settings.slow_start_window).clamp(0.0, 1.0);
        settings.cold_capacity + (1.0 - settings.cold_capacity) * age
    }

    pub(super) fn record_attempt(&mut self, now: Ms, overload_window: Ms) {
        let window_start = now - overload_window;
        self.attempts.retain(|&at| at > window_start);
        self.attempts.push_back(now);
    }

    /// Whether one more attempt may be sent to the engine. `budget`: the attempts that a cold
    /// engine may get from this dispatcher within the overload window. Every attempt counts,
    /// including rejected ones.
    ///
    /// Guards against the collapse of a cold engine because many dispatchers round a small budget
    /// up and their sum is too large. Each dispatcher rounds its budget to a whole number, which
    /// stays the same while the engine is cold and no more requests arrive. A dispatcher rounds up
    /// or down depending on its number, so that the number of dispatchers that round up is the
    /// sum of the fractional parts of all budgets.
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
        let rounding_offset =
            engine_hash.wrapping_add(u64::from(dispatcher.0).wrapping_mul(GOLDEN_RATIO)) as f64
                / u64::MAX as f64;
        let window_start = now - settings.overload_window;
        let sent = self
            .attempts
            .iter()
            .filter(|&&at| at > window_start)
            .count();
        budget > 0.0 && (sent as f64) < (budget + rounding_offset).floor()
    }
}

/// This dispatcher's traffic, from which it derives its budget for cold engines. The budget of each
/// dispatcher is proportional to its own traffic. The sum of all budgets therefore stays within the
/// capacity of an engine, however the traffic is distributed.
#[derive(Default)]
pub(super) struct SlowStartBudget {
    /// Rate of this dispatcher's finished prefills per warm engine.
    prefill_rate: DecayingRate,
    /// Rate of this dispatcher's started decodes per warm engine.
    decode_rate: DecayingRate,
    /// Rate of requests that arrive at this dispatcher.
    arrival_rate: DecayingRate,
    /// When requests arrived within the overload window, oldest first.
    arrivals: VecDeque<Ms>,
}

impl SlowStartBudget {
    pub(super) fn record_arrival(&mut self, now: Ms, settings: &Settings) {
        self.arrival_rate
            .record(1.0, now, settings.slow_start_window);
        let window_start = now - settings.overload_window;
        self.arrivals.push_back(now);
        while self
            .arrivals
            .pop_front_if(|at| *at <= window_start)
            .is_some()
        {}
    }

    /// Records that a warm engine has finished a prefill or started a decode of this dispatcher.
    /// `warm_engines`: the number of warm engines.
    pub(super) fn record_service(
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
        rate.record(1.0 / warm, now, settings.slow_start_window);
    }

    /// The mean number of attempts that a cold engine may get from this dispatcher within the
    /// overload window.
    ///
    /// Guards against overloading a cold engine, which would collapse. The budget starts from the
    /// rate at which a warm engine finishes prefills or starts decodes of this dispatcher; the rate
    /// includes work done before all engines restarted. This rate is scaled by the cold capacity
    /// and the overload multiple, less a margin. If no warm engine was ever seen, the arrival rate
    /// divided by the number of engines is used instead.
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

    /// Attempts that one cold engine may get from this dispatcher within the overload window; may
    /// be fractional.
    ///
    /// A dispatcher with little traffic has no request to send in most windows, so it may exceed
    /// the mean budget in a window in which it has one. The demand for an engine rarely exceeds a
    /// multiple of the mean. Guards against a surge of requests while most engines are cold: the
    /// few engines with budget left would get all of them and collapse. The number of recent
    /// arrivals shows how many attempts each of these engines would get.
    pub(super) fn attempts_per_cold_engine(
        &self,
        stage: Stage,
        warm: usize,
        cold: usize,
        now: Ms,
        settings: &Settings,
    ) -> f64 {
        let budget = self.mean_budget(stage, warm + cold, settings);
        // If this dispatcher needs an engine `demand` times per window on average, it needs the
        // engine at least once in a window with the probability 1 - exp(-demand). In such a window
        // it may send budget / probability attempts: with a budget of 0.1 and a demand of 0.4 that
        // is 0.1 / 0.33 = 0.3 attempts, and the mean over all windows stays 0.1.
        let budget_at_demand = |demand: f64| budget / (1.0 - (-demand.max(f64::EPSILON)).exp());
        let expected_demand = POPULAR_ENGINE_MULTIPLE * budget;
        // Expected number of engines to which this dispatcher may send an attempt in this window:
        // all warm engines, and each cold engine with the probability that its budget allows an
        // attempt.
        let available_engines =
            warm as f64 + cold as f64 * budget_at_demand(expected_demand).min(1.0);
        // The newest arrival is the request that is being placed, so it is not counted.
        let window_start = now - settings.overload_window;
        let others = self
            .arrivals
            .iter()
            .rev()
            .take_while(|&&at| at > window_start)
            .skip(1)
            .count();
        budget_at_demand(expected_demand.max(others as f64 / available_engines.max(1.0)))
    }
}
