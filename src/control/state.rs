//! The state that the decisions read and change: settings, clock, engines, requests and traffic.

use super::decaying_rate::DecayingRate;
use super::engines::{EngineIndex, Engines};
use super::load_report::LoadReport;
use super::plan_queue::PlanQueue;
use super::request_classes::RequestClasses;
use super::requests::Request;
use super::slow_start::SlowStartBudget;
use super::stage::Stage;
use super::wake_timer::WakeTimer;
use crate::interface::{Ms, RequestId, Settings};
use nanorand::WyRand;
use std::collections::BTreeMap;

/// Time constant with which an old load report loses weight in favour of the mean of the engine's
/// peers, in multiples of the shortest latency objective.
const REPORT_DECAY_IN_LATENCY_OBJECTIVES: f64 = 3.0;

pub(super) struct State {
    pub(super) settings: Settings,
    /// Whether the driver reports [`Event::Delivered`](crate::interface::Event::Delivered).
    pub(super) tracks_deliveries: bool,
    pub(super) classes: RequestClasses,
    pub(super) rng: WyRand,
    /// The instant of the current step, in milliseconds on the driver's clock; it never goes back.
    pub(super) now: Ms,
    pub(super) engines: Engines,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) queue: PlanQueue,
    pub(super) slow_start: SlowStartBudget,
    /// The rate of each tenant's requests at this dispatcher, in the order of the tenants' ids.
    pub(super) tenant_rates: Vec<DecayingRate>,
    /// Engines that get a health check at the end of the current step.
    pub(super) health_checks: Vec<EngineIndex>,
    /// The latest instant at which the next step has to run; `None` if only events require one.
    pub(super) wake_at: Option<Ms>,
    pub(super) timer: WakeTimer,
}

impl State {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        let classes = RequestClasses::new(&settings.request_classes);
        let report_decay_ms =
            REPORT_DECAY_IN_LATENCY_OBJECTIVES * classes.shortest_latency_objective();
        State {
            tracks_deliveries: false,
            rng: WyRand::new_seed(seed),
            now: 0.0,
            engines: Engines::new(settings.dispatchers, report_decay_ms),
            requests: BTreeMap::new(),
            queue: PlanQueue::default(),
            slow_start: SlowStartBudget::default(),
            tenant_rates: settings
                .tenants
                .iter()
                .map(|_| DecayingRate::default())
                .collect(),
            health_checks: Vec::new(),
            wake_at: None,
            timer: WakeTimer::default(),
            classes,
            settings,
        }
    }

    /// Requests that the next step runs at `at` or earlier.
    pub(super) fn wake_by(&mut self, at: Ms) {
        self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
    }

    pub(super) fn is_cold(&self, engine: EngineIndex) -> bool {
        self.engines[engine]
            .slow_start
            .is_cold(self.now, self.settings.slow_start_window)
    }

    /// The capacity of an engine as a fraction of a warm one's, from the cold capacity to 1.
    pub(super) fn capacity_fraction(&self, engine: EngineIndex) -> f64 {
        self.engines[engine]
            .slow_start
            .capacity_fraction(self.now, &self.settings)
    }

    /// The mean of the last reported utilizations of the ready decode engines.
    pub(super) fn mean_decode_utilization(&self) -> f64 {
        let utilization = |report: &LoadReport| report.utilization;
        self.engines.mean_report(Stage::Decode, utilization, None)
    }

    /// Whether the plan queue's count of unqueued prefills matches the requests; checked in debug
    /// builds.
    pub(super) fn is_unqueued_prefill_count_correct(&self) -> bool {
        let prefills = self
            .requests
            .values()
            .filter(|request| request.is_prefilling_unqueued());
        self.queue.unqueued_prefills() == prefills.count()
    }
}
