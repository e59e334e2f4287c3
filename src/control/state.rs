//! All that the decisions read and change: settings, clock, engines, requests and traffic.

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

/// How fast a load report ages towards the mean of its peers, in shortest latency objectives.
const REPORT_DECAY_OBJECTIVES: f64 = 3.0;

pub(super) struct State {
    pub(super) settings: Settings,
    /// Whether the driver reports [`Event::Delivered`](crate::interface::Event::Delivered).
    pub(super) tracks_deliveries: bool,
    pub(super) classes: RequestClasses,
    pub(super) rng: WyRand,
    /// The instant of the step; never goes back.
    pub(super) now: Ms,
    pub(super) engines: Engines,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) queue: PlanQueue,
    pub(super) slow_start: SlowStartBudget,
    /// Requests per millisecond of each tenant that came here.
    pub(super) tenant_rates: Vec<DecayingRate>,
    /// Engines to be asked for their load at the end of the step.
    pub(super) health_checks: Vec<EngineIndex>,
    /// When the next step is wanted at the latest.
    pub(super) wake_at: Option<Ms>,
    pub(super) timer: WakeTimer,
}

impl State {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        let classes = RequestClasses::new(&settings.request_classes);
        let report_decay_ms = REPORT_DECAY_OBJECTIVES * classes.shortest_latency_objective();
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

    /// Wants the next step at `at` or before.
    pub(super) fn wake_by(&mut self, at: Ms) {
        self.wake_at = Some(self.wake_at.map_or(at, |wake| wake.min(at)));
    }

    pub(super) fn is_cold(&self, engine: EngineIndex) -> bool {
        self.engines[engine]
            .slow_start
            .is_cold(self.now, self.settings.slow_start_window)
    }

    /// For how much an engine counts beside a warm one, from the cold capacity to 1.
    pub(super) fn capacity_fraction(&self, engine: EngineIndex) -> f64 {
        self.engines[engine]
            .slow_start
            .capacity_fraction(self.now, &self.settings)
    }

    /// The mean utilization that the decode engines reported.
    pub(super) fn mean_decode_utilization(&self) -> f64 {
        let utilization = |report: &LoadReport| report.utilization;
        self.engines.mean_report(Stage::Decode, utilization, None)
    }

    /// Whether the queue's count of prefills is right.
    pub(super) fn counts_prefills_on_time(&self) -> bool {
        let prefills = self
            .requests
            .values()
            .filter(|request| request.is_prefilling_on_time());
        self.queue.prefills_on_time() == prefills.count()
    }
}
