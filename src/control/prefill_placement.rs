//! Chooses the prefill engine that computes a prompt: the home engine of its prefix, unless too
//! many tokens wait there.

use super::engines::EngineIndex;
use super::health_check::REPORT_WAIT_OBJECTIVES;
use super::home_engines::home_engines;
use super::requests::Request;
use super::stage::Stage;
use super::state::State;
use crate::interface::Ms;

/// A backlog is excessive if it is more than this many times the mean backlog. A home engine with
/// an excessive backlog passes prefills on to other engines.
const EXCESSIVE_BACKLOG_MULTIPLE: f64 = 2.0;
/// Prefill engines together have spare capacity while the prefills in flight are fewer than this
/// fraction of the sum of their limits.
const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// Number of home engines whose load is requested before a prefill: the first home engine and the
/// session's next one.
const HOME_ENGINES_CHECKED: usize = 2;

/// The backlogs of prefill engines as the choice for one request sees them. A backlog is the number
/// of prompt tokens that wait at an engine, divided by its capacity fraction.
struct Backlog<'a> {
    state: &'a State,
    /// Ratio of all dispatchers' waiting tokens to those of this dispatcher, as estimated: the
    /// number of dispatchers, but at most the number of own prefills in flight.
    own_tokens_factor: f64,
    mean_reported: f64,
    /// A backlog above this many tokens is excessive.
    limit_tokens: f64,
}

impl<'a> Backlog<'a> {
    fn new(
        state: &'a State,
        request: &Request,
        candidates: &[EngineIndex],
        home: EngineIndex,
    ) -> Self {
        let engines = &state.engines;
        // The report of the home engine is excluded from the mean: if few reports are known, it
        // would hide the home engine's queue.
        let mean_reported =
            engines.mean_report(Stage::Prefill, |report| report.waiting_tokens, Some(home));
        let own_prefills = engines.iter().map(|engine| engine.prefills).sum::<f64>();
        let mut backlog = Backlog {
            state,
            own_tokens_factor: engines.dispatchers().min(own_prefills),
            mean_reported,
            limit_tokens: f64::INFINITY,
        };
        let others = candidates
            .iter()
            .filter(|&&engine| engine != home)
            .map(|&engine| backlog.tokens(engine))
            .sum::<f64>();
        let mean = (others + request.arrival.prompt_tokens) / candidates.len() as f64;
        backlog.limit_tokens = EXCESSIVE_BACKLOG_MULTIPLE * mean;
        backlog
    }

    fn tokens(&self, engine: EngineIndex) -> f64 {
        let waiting = self.state.engines.waiting_tokens(
            engine,
            self.own_tokens_factor,
            self.mean_reported,
            self.state.now,
        );
        waiting / self.state.capacity_fraction(engine)
    }

    fn is_excessive(&self, engine: EngineIndex) -> bool {
        let report_decay_ms = self.state.engines.report_decay_ms();
        let health_check = &self.state.engines[engine].health_check;
        self.tokens(engine) > self.limit_tokens
            || health_check.lacks_answer(self.state.now, report_decay_ms)
    }
}

impl State {
    /// Whether a prefill has to wait for the load reports of the home engine and the session's next
    /// one. Requests these reports if they are missing.
    pub(super) fn awaits_home_reports(&mut self, request: &Request) -> bool {
        let until = self.report_wait_ends_at(request);
        let candidates = self.candidates(request, Stage::Prefill);
        let mut homes = home_engines(&request.arrival, &candidates, &self.engines);
        homes.truncate(HOME_ENGINES_CHECKED);
        let awaited = self.now < until && self.request_load_reports(&homes);
        if awaited {
            self.wake_by(until);
        }
        awaited
    }

    pub(super) fn report_wait_ends_at(&self, request: &Request) -> Ms {
        request.unclaimed_since + REPORT_WAIT_OBJECTIVES * self.classes.shortest_latency_objective()
    }

    /// The engine that computes the prompt; `None` if the request is held.
    ///
    /// Guards against scattered prefills, which cost more at other engines and evict what is cached
    /// there until every engine queues. A prefill leaves a home engine with an excessive backlog or
    /// without capacity only while the prefill engines together have spare capacity, or for an
    /// engine that has most of the prompt cached. Otherwise it is held for its home engine.
    pub(super) fn choose_prefill_engine(&self, request: &Request) -> Option<EngineIndex> {
        let candidates = self.candidates(request, Stage::Prefill);
        let homes = home_engines(&request.arrival, &candidates, &self.engines);
        let home = *homes.first()?;
        let backlog = Backlog::new(self, request, &candidates, home);
        if !backlog.is_excessive(home) && self.engines[home].has_capacity() {
            return Some(home);
        }
        let has_spare_capacity = self.has_spare_capacity(&candidates);
        let can_take_over = |engine: EngineIndex| {
            let candidate = &self.engines[engine];
            (has_spare_capacity || candidate.prefix_cache.has_most_cached(&request.arrival))
                && !backlog.is_excessive(engine)
                && candidate.has_capacity()
        };
        homes[1..]
            .iter()
            .copied()
            .find(|&engine| can_take_over(engine))
            .or(Some(home))
            .filter(|&engine| self.engines[engine].has_capacity())
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
