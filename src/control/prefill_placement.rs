//! Which prefill engine computes a prompt: the home of its prefix, unless too much waits there.

use super::engines::EngineIndex;
use super::health_check::REPORT_WAIT_OBJECTIVES;
use super::home_engines::home_engines;
use super::requests::Request;
use super::stage::Stage;
use super::state::State;
use crate::interface::Ms;

/// A home engine with more than this many times the mean waiting tokens passes a prefill on.
const TOO_MUCH_WAITING_MULTIPLE: f64 = 2.0;
/// Below this fraction of their limits in flight, prefill engines together have capacity to spare.
const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// Home engines asked for their load before a prefill: the home and the session's next.
const HOME_ENGINES_ASKED: usize = 2;

/// The prompt tokens that wait at an engine, divided by its capacity fraction, for the choice of
/// one request.
struct Backlog<'a> {
    state: &'a State,
    /// As many times our own part as there are dispatchers, at most as many times as we have
    /// prefills in flight.
    dispatchers_seen: f64,
    mean_reported: f64,
    /// Above this an engine has too much waiting.
    too_much: f64,
}

impl<'a> Backlog<'a> {
    fn new(
        state: &'a State,
        request: &Request,
        candidates: &[EngineIndex],
        home: EngineIndex,
    ) -> Self {
        let engines = &state.engines;
        // The home's own report is left out: with few reports known it would hide the home's queue.
        let mean_reported =
            engines.mean_report(Stage::Prefill, |report| report.waiting_tokens, Some(home));
        let own_prefills = engines.iter().map(|engine| engine.prefills).sum::<f64>();
        let mut backlog = Backlog {
            state,
            dispatchers_seen: engines.dispatchers().min(own_prefills),
            mean_reported,
            too_much: f64::INFINITY,
        };
        let others = candidates
            .iter()
            .filter(|&&engine| engine != home)
            .map(|&engine| backlog.tokens(engine))
            .sum::<f64>();
        let mean = (others + request.arrival.prompt_tokens) / candidates.len() as f64;
        backlog.too_much = TOO_MUCH_WAITING_MULTIPLE * mean;
        backlog
    }

    fn tokens(&self, engine: EngineIndex) -> f64 {
        let waiting = self.state.engines.waiting_tokens(
            engine,
            self.dispatchers_seen,
            self.mean_reported,
            self.state.now,
        );
        waiting / self.state.capacity_fraction(engine)
    }

    fn is_too_much(&self, engine: EngineIndex) -> bool {
        let report_decay_ms = self.state.engines.report_decay_ms();
        let health_check = &self.state.engines[engine].health_check;
        self.tokens(engine) > self.too_much
            || health_check.lacks_answer(self.state.now, report_decay_ms)
    }
}

impl State {
    /// Whether a prefill waits for the load reports of the home engine and the session's next; asks
    /// for them.
    pub(super) fn awaits_home_reports(&mut self, request: &Request) -> bool {
        let until = self.report_wait_ends_at(request);
        let candidates = self.candidates(request, Stage::Prefill);
        let mut homes = home_engines(&request.arrival, &candidates, &self.engines);
        homes.truncate(HOME_ENGINES_ASKED);
        let awaited = self.now < until && self.request_load_reports(&homes);
        if awaited {
            self.wake_by(until);
        }
        awaited
    }

    pub(super) fn report_wait_ends_at(&self, request: &Request) -> Ms {
        request.unclaimed_since + REPORT_WAIT_OBJECTIVES * self.classes.shortest_latency_objective()
    }

    /// The engine that computes the prompt; none if the request is held.
    ///
    /// Guards against scattered prefills, which cost more elsewhere and evict what is cached there,
    /// until every engine queues: a prefill leaves its home (too much waits, or no room) only while
    /// the prefill engines together have capacity to spare, or for one that holds most of the
    /// prompt; else it is held for its home.
    pub(super) fn choose_prefill_engine(&self, request: &Request) -> Option<EngineIndex> {
        let candidates = self.candidates(request, Stage::Prefill);
        let homes = home_engines(&request.arrival, &candidates, &self.engines);
        let home = *homes.first()?;
        let backlog = Backlog::new(self, request, &candidates, home);
        if !backlog.is_too_much(home) && self.engines[home].has_room() {
            return Some(home);
        }
        let has_spare_capacity = self.has_spare_capacity(&candidates);
        let takes_over = |engine: EngineIndex| {
            let known = &self.engines[engine];
            (has_spare_capacity || known.prefix_cache.holds_most(&request.arrival))
                && !backlog.is_too_much(engine)
                && known.has_room()
        };
        homes[1..]
            .iter()
            .copied()
            .find(|&engine| takes_over(engine))
            .or(Some(home))
            .filter(|&engine| self.engines[engine].has_room())
    }

    fn has_spare_capacity(&self, engines: &[EngineIndex]) -> bool {
        let prefills = engines
            .iter()
            .map(|&engine| self.engines[engine].prefills)
            .sum::<f64>();
        let limits = engines
            .iter()
            .map(|&engine| self.engines[engine].concurrency_limit.attempts())
            .sum::<f64>();
        prefills < SPARE_CAPACITY_FRACTION * limits
    }
}
