//! Chooses the decode engine that takes over a KV state: by proximity to the prefill engine, then
//! by load.
//!
//! The engine is chosen when the prefill ends. Candidates within [`PROXIMITY_BAND`] of the best
//! proximity are considered, except those where the number of this dispatcher's decodes exceeds the
//! average of all candidates by more than [`MAX_DECODES_ABOVE_AVERAGE`]. Of the remaining engines,
//! the one with the fewest requests in flight is chosen.

use super::engines::{Engine, EngineIndex};
use super::requests::Request;
use super::stage::Stage;
use super::state::State;
use nanorand::Rng;

/// Proximity of two engines in the same cell. Each cell is part of one zone.
const SAME_CELL_PROXIMITY: f64 = 1.0;
/// Proximity of two engines in different cells of the same zone.
const SAME_ZONE_PROXIMITY: f64 = 0.5;
/// Proximity of two engines in different zones.
const OTHER_ZONE_PROXIMITY: f64 = 0.0;
/// Candidates whose proximity is lower than the best by at most this much are compared by load.
const PROXIMITY_BAND: f64 = 0.1;
/// A candidate is skipped if this dispatcher's decodes there exceed the average of all candidates
/// by more than this.
const MAX_DECODES_ABOVE_AVERAGE: f64 = 1.0;

/// A candidate with its sort key: load first, then a weighted random draw. The candidate with the
/// lowest key is chosen.
struct Ranked {
    load: f64,
    draw: f64,
    engine: EngineIndex,
}

impl State {
    /// The decode engine that takes over the KV state at `prefill_engine`; `None` if no engine is
    /// available now.
    pub(super) fn choose_decode_engine(
        &mut self,
        request: &Request,
        prefill_engine: EngineIndex,
    ) -> Option<EngineIndex> {
        let candidates = self.candidates(request, Stage::Decode);
        let best_proximity = candidates
            .iter()
            .map(|&engine| self.proximity(prefill_engine, engine))
            .fold(OTHER_ZONE_PROXIMITY, f64::max);
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
                self.proximity(prefill_engine, engine) >= best_proximity - PROXIMITY_BAND
                    && decodes(engine) <= mean_decodes + MAX_DECODES_ABOVE_AVERAGE
            })
            .collect();
        self.choose_least_loaded(if preferred.is_empty() {
            candidates
        } else {
            preferred
        })
    }

    /// Chooses the engine with the fewest requests in flight. At a cold engine, each request counts
    /// as more than one, according to the engine's capacity fraction. A random draw, weighted by
    /// the free fraction in the last load report, breaks ties. Guards against herding: if the
    /// lowest load in outdated reports decided, all dispatchers would choose the same engine.
    fn choose_least_loaded(&mut self, engines: Vec<EngineIndex>) -> Option<EngineIndex> {
        // Every engine gets one draw in a fixed order, so that the sequence of random numbers does
        // not depend on loads.
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
        let candidate = &self.engines[engine];
        let capacity = self.capacity_fraction(engine);
        let utilization = self.engines.utilization(engine, mean_utilization, self.now);
        let free = (1.0 - utilization).max(f64::EPSILON);
        Ranked {
            load: (candidate.decodes + candidate.load_report.in_flight) / capacity,
            draw: draw / free / capacity,
            engine,
        }
    }

    /// Requests load reports from the decode engines in the cell of a prefill engine when a prefill
    /// starts. The reports are then available when the prefill ends and a decode engine is chosen.
    pub(super) fn request_reports_near(&mut self, prefill_engine: EngineIndex, request: &Request) {
        let nearby: Vec<EngineIndex> = self
            .candidates(request, Stage::Decode)
            .into_iter()
            .filter(|&engine| {
                self.proximity(prefill_engine, engine) >= SAME_CELL_PROXIMITY - PROXIMITY_BAND
            })
            .collect();
        self.request_load_reports(&nearby);
    }

    fn proximity(&self, prefill_engine: EngineIndex, decode_engine: EngineIndex) -> f64 {
        proximity(&self.engines[prefill_engine], &self.engines[decode_engine])
    }
}

fn proximity(a: &Engine, b: &Engine) -> f64 {
    let same_cell = a.endpoint.cell == b.endpoint.cell;
    let same_zone = a.endpoint.zone == b.endpoint.zone;
    match (same_cell, same_zone) {
        (true, true) => SAME_CELL_PROXIMITY,
        (false, false) => OTHER_ZONE_PROXIMITY,
        _ => SAME_ZONE_PROXIMITY,
    }
}
