//! Which decode engine takes a KV state over: nearness to the prefill engine first, load within a
//! band of it.
//!
//! The engine is chosen when the prefill ends. Among the candidates within [`NEARNESS_BAND`] of the
//! nearest, those with more than [`ABOVE_AVERAGE_DECODES`] own decodes above the candidates'
//! average are skipped, and the one with the fewest in flight is taken.

use super::engines::{Engine, EngineIndex};
use super::requests::Request;
use super::stage::Stage;
use super::state::State;
use nanorand::Rng;

/// Nearness of engines in the same cell, in the same zone and elsewhere. Each cell is part of a
/// zone.
const SAME_CELL_NEARNESS: f64 = 1.0;
const SAME_ZONE_NEARNESS: f64 = 0.5;
const ELSEWHERE_NEARNESS: f64 = 0.0;
/// The band under the best nearness within which load decides.
const NEARNESS_BAND: f64 = 0.1;
/// An engine with more own decodes than the average and this many is skipped.
const ABOVE_AVERAGE_DECODES: f64 = 1.0;

/// An engine's place in the order of choice: load first, then the weighted draw.
struct Ranked {
    load: f64,
    draw: f64,
    engine: EngineIndex,
}

impl State {
    /// The decode engine for a KV state at `prefill_engine`; none if the request is held.
    pub(super) fn choose_decode_engine(
        &mut self,
        request: &Request,
        prefill_engine: EngineIndex,
    ) -> Option<EngineIndex> {
        let candidates = self.candidates(request, Stage::Decode);
        let best_nearness = candidates
            .iter()
            .map(|&engine| self.nearness(prefill_engine, engine))
            .fold(ELSEWHERE_NEARNESS, f64::max);
        let decodes = |engine: EngineIndex| self.engines[engine].decodes;
        let mean_decodes = candidates
            .iter()
            .map(|&engine| decodes(engine))
            .sum::<f64>()
            / candidates.len().max(1) as f64;
        let preferred: Vec<EngineIndex> = candidates
            .iter()
            .copied()
            .filter(|&engine| {
                self.nearness(prefill_engine, engine) >= best_nearness - NEARNESS_BAND
                    && decodes(engine) <= mean_decodes + ABOVE_AVERAGE_DECODES
            })
            .collect();
        self.choose_least_loaded(if preferred.is_empty() {
            candidates
        } else {
            preferred
        })
    }

    /// Fewest in flight wins, a cold engine's load counting the more the younger it is. Ties are
    /// drawn, weighted by the free fraction as last reported. Guards against herding: the least of
    /// old reports would draw every dispatcher to one engine.
    fn choose_least_loaded(&mut self, engines: Vec<EngineIndex>) -> Option<EngineIndex> {
        // One draw for each, in order, so that the draws do not depend on loads.
        let draws: Vec<f64> = engines
            .iter()
            .map(|_| -self.rng.generate::<f64>().ln())
            .collect();
        let mean_utilization = self.mean_decode_utilization();
        engines
            .into_iter()
            .zip(draws)
            .map(|(engine, draw)| self.rank(engine, draw, mean_utilization))
            .min_by(|a, b| a.load.total_cmp(&b.load).then(a.draw.total_cmp(&b.draw)))
            .map(|ranked| ranked.engine)
    }

    fn rank(&self, engine: EngineIndex, draw: f64, mean_utilization: f64) -> Ranked {
        let known = &self.engines[engine];
        let capacity = self.capacity_fraction(engine);
        let utilization = self.engines.utilization(engine, mean_utilization, self.now);
        let free = (1.0 - utilization).max(f64::EPSILON);
        Ranked {
            load: (known.decodes + known.load_report.in_flight) / capacity,
            draw: draw / free / capacity,
            engine,
        }
    }

    /// Asks the decode engines next to a prefill engine for their load while the prefill runs, for
    /// the choice at its end.
    pub(super) fn request_reports_near(&mut self, prefill_engine: EngineIndex, request: &Request) {
        let near: Vec<EngineIndex> = self
            .candidates(request, Stage::Decode)
            .into_iter()
            .filter(|&engine| {
                self.nearness(prefill_engine, engine) >= SAME_CELL_NEARNESS - NEARNESS_BAND
            })
            .collect();
        self.request_load_reports(&near);
    }

    fn nearness(&self, prefill_engine: EngineIndex, decode_engine: EngineIndex) -> f64 {
        nearness(&self.engines[prefill_engine], &self.engines[decode_engine])
    }
}

fn nearness(a: &Engine, b: &Engine) -> f64 {
    let same_cell = a.endpoint.cell == b.endpoint.cell;
    let same_zone = a.endpoint.zone == b.endpoint.zone;
    match (same_cell, same_zone) {
        (true, true) => SAME_CELL_NEARNESS,
        (false, false) => ELSEWHERE_NEARNESS,
        _ => SAME_ZONE_NEARNESS,
    }
}
