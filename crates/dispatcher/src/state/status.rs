//! The status that a dispatcher reports to the process that runs it: readiness, table sizes and statistics.

use super::*;

impl Dispatcher {
    /// Whether endpoints are known and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.endpoints.has_engines() && self.stopping_since.is_none()
    }

    /// The number of open requests as a fraction of the maximum, from 0 to 1.
    pub fn open_request_fraction(&self) -> f64 {
        let max_open = self.settings.limits.max_open_requests.max(1);
        self.requests.len() as f64 / max_open as f64
    }

    /// The version of the newest endpoint update; 0 if none was received.
    pub fn list_version(&self) -> u64 {
        self.endpoints.version
    }

    /// The version of the newest endpoint update, or `None` if no endpoint is known.
    pub fn known_version(&self) -> Option<u64> {
        self.endpoints
            .has_engines()
            .then_some(self.endpoints.version)
    }

    /// Stops [`Self::handle`] from returning [`Output::CacheEndpoints`], for a driver that has no cache file.
    pub fn disable_endpoint_cache(&mut self) {
        self.caches_endpoints = false;
    }

    /// Starts to count the outcomes of requests and to record the load that engines report.
    pub fn collect_service_stats(&mut self) {
        self.service_stats = Some(service_stats::ServiceStats::default());
    }

    /// Returns the outcomes of all requests since [`Self::collect_service_stats`], and reports on up to
    /// `max_reports` engines whose statistics have changed since their last report. `now` is in milliseconds. Both
    /// are empty if [`Self::collect_service_stats`] was not called.
    pub fn take_service_stats(
        &mut self,
        now: Ms,
        max_reports: usize,
    ) -> (OutcomeCounts, Vec<EngineReport>) {
        let Some(service_stats) = &mut self.service_stats else {
            return Default::default();
        };
        (
            service_stats.outcomes(),
            service_stats.reports(now, max_reports),
        )
    }

    /// The engines in the endpoint list, with the status and utilization that a rollout monitors. `now` is in
    /// milliseconds on the clock of the endpoints' start times.
    pub fn engine_units(&self, now: Ms) -> Vec<Unit> {
        let slow_start_window = self.settings.policy.slow_start_window;
        let unit = |(engine, entry): (&EngineId, &endpoints::EngineEntry)| {
            let started = entry.endpoint.started_ms.filter(|at| at.is_finite());
            let is_in_slow_start = started.is_some_and(|at| now < at + slow_start_window);
            Unit {
                name: Name(engine.0.clone()),
                incarnation: Incarnation(started.map_or(0, f64::to_bits)),
                address: Address::from(entry.endpoint.address.as_str()),
                zone: entry.endpoint.zone.clone(),
                cell: entry.endpoint.cell.clone(),
                kind: entry.endpoint.kind.clone(),
                role: Some(entry.role),
                label: String::new(),
                status: match entry.status {
                    EndpointStatus::Ready if is_in_slow_start => ServiceStatus::Starting,
                    EndpointStatus::Ready => ServiceStatus::InService,
                    EndpointStatus::Draining => ServiceStatus::Draining,
                    EndpointStatus::Gone => ServiceStatus::OutOfService,
                },
                utilization: self
                    .service_stats
                    .as_ref()
                    .and_then(|service_stats| service_stats.utilization(now, engine)),
                outcomes: OutcomeCounts::default(),
            }
        };
        self.endpoints.engines.iter().map(unit).collect()
    }

    /// The sizes of the dispatcher's tables, for logs and for tests that check for leaks.
    pub fn usage(&self) -> Usage {
        Usage {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timers: self.timers.len(),
            engines: self.endpoints.engines.len(),
            releases: self.unconfirmed_engine_release_count()
                + self.kv_states.pending_release_count(),
        }
    }

    /// The number of releases over multiplexed connections that are queued, or sent and not confirmed.
    pub(super) fn unconfirmed_engine_release_count(&self) -> usize {
        let queued: usize = self.pending_engine_releases.values().map(Vec::len).sum();
        queued + self.connections.open_engine_release_count()
    }
}

/// The sizes of the dispatcher's tables at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that are open, or that still have an attempt or a KV state.
    pub requests: usize,
    /// Connections to engines, including those being dialled.
    pub connections: usize,
    /// Timers in the queue, including those that no longer apply.
    pub timers: usize,
    /// Engines in the endpoint table.
    pub engines: usize,
    /// Releases of KV states that are queued, or sent and not conclusively confirmed.
    pub releases: usize,
}
