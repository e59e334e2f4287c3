//! Chooses the prefill engine that computes a prompt: the home engine of its prefix, unless too
//! many prompt tokens wait at that engine.

use super::engines::EngineIndex;
use super::health_check::REPORT_WAIT_IN_LATENCY_OBJECTIVES;
use super::home_engines::home_engines;
use super::requests::Request;
use super::stage::Stage;
use super::state::State;
use crate::interface::Ms;

/// A backlog is excessive if it exceeds this multiple of the mean backlog. Prefills avoid a home
/// engine with an excessive backlog.
const EXCESSIVE_BACKLOG_MULTIPLE: f64 = 2.0;
/// The prefill engines have spare capacity while their prefills in flight are fewer than this
/// fraction of the sum of their concurrency limits.
const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// Number of home engines whose load must be known before a prefill: the first one, and the one
/// that the session tries next.
const HOME_ENGINES_CHECKED: usize = 2;

/// Computes the backlogs of prefill engines for the placement of one request. A backlog is the
/// estimated number of prompt tokens that wait at an engine, divided by the engine's capacity
/// fraction.
struct Backlogs<'a> {
    state: &'a State,
    /// Estimated ratio of the waiting tokens of all dispatchers to those of this dispatcher: the
    /// number of dispatchers, but at most the number of this dispatcher's prefills in flight.
    own_tokens_factor: f64,
    mean_reported: f64,
    /// A backlog above this number of tokens is excessive: a multiple of the mean backlog.
    limit_tokens: f64,
}

impl<'a> Backlogs<'a> {
    fn new(
        state: &'a State,
        request: &Request,
        candidates: &[EngineIndex],
        home: EngineIndex,
    ) -> Self {
        let engines = &state.engines;
        // The home engine's own report is excluded from the mean. If few reports are known, it
        // would raise the mean so much that the home engine's queue would not seem long.
        let mean_reported =
            engines.mean_report(Stage::Prefill, |report| report.waiting_tokens, Some(home));
        let own_prefills = engines.iter().map(|engine| engine.prefills).sum::<f64>();
        let mut backlogs = Backlogs {
            state,
            own_tokens_factor: engines.dispatchers().min(own_prefills),
            mean_reported,
            limit_tokens: f64::INFINITY,
        };
        let others = candidates
            .iter()
            .filter(|&&engine| engine != home)
            .map(|&engine| backlogs.tokens(engine))
            .sum::<f64>();
        let mean = (others + request.arrival.prompt_tokens) / candidates.len() as f64;
        backlogs.limit_tokens = EXCESSIVE_BACKLOG_MULTIPLE * mean;
        backlogs
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
    /// Whether a prefill has to wait for load reports of the first home engine and the one that the
    /// session tries next. Requests the missing reports.
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
        request.unclaimed_since
            + REPORT_WAIT_IN_LATENCY_OBJECTIVES * self.classes.shortest_latency_objective()
    }

    /// The engine that computes the prompt; `None` if the request is held.
    ///
    /// A home engine with an excessive backlog or without capacity is avoided in two cases only:
    /// while the prefill engines together have spare capacity, or if another engine has most of the
    /// prompt cached. Otherwise the request stays with its home engine, and is held if that engine
    /// has no capacity. Guards against scattered prefills: at other engines they have to compute
    /// more tokens and evict cached prefixes, until every engine queues.
    pub(super) fn choose_prefill_engine(&self, request: &Request) -> Option<EngineIndex> {
        let candidates = self.candidates(request, Stage::Prefill);
        let homes = home_engines(&request.arrival, &candidates, &self.engines);
        let home = *homes.first()?;
        let backlogs = Backlogs::new(self, request, &candidates, home);
        if !backlogs.is_excessive(home) && self.engines[home].has_capacity() {
            return Some(home);
        }
        let has_spare_capacity = self.has_spare_capacity(&candidates);
        let can_take_over = |engine: EngineIndex| {
            let candidate = &self.engines[engine];
            (has_spare_capacity || candidate.prefix_cache.has_most_cached(&request.arrival))
                && !backlogs.is_excessive(engine)
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
