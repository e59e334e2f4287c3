//! What a dispatcher reports of itself to the process that runs it: whether it is ready, how full it is, what it has
//! served.

use super::*;

impl Dispatcher {
    /// Whether endpoints are known and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.endpoints.is_known() && self.stopping_since.is_none()
    }

    /// The fraction of the requests that may be open which is open, from 0 to 1.
    pub fn open_fraction(&self) -> f64 {
        let most = self.settings.limits.max_open_requests.max(1);
        self.requests.len() as f64 / most as f64
    }

    /// The version of the newest update of the endpoints; 0 if there was none.
    pub fn list_version(&self) -> u64 {
        self.endpoints.version
    }

    /// That version, if endpoints are known at all.
    pub fn known_version(&self) -> Option<u64> {
        self.endpoints.is_known().then_some(self.endpoints.version)
    }

    /// Nobody caches the endpoints for the next start: [`Output::CacheEndpoints`] is not made.
    pub fn disable_endpoint_cache(&mut self) {
        self.caches_endpoints = false;
    }

    /// Counts from now on how requests end, and keeps the load that engines report.
    pub fn collect_service_stats(&mut self) {
        self.service_stats = Some(service_stats::ServiceStats::default());
    }

    /// How requests ended since [`Self::collect_service_stats`], and reports on at most `most` engines of which something is
    /// new. `now`: in milliseconds. Empty where nothing is collected.
    pub fn recorded(&mut self, now: Ms, most: usize) -> (OutcomeCounts, Vec<EngineReport>) {
        let Some(service_stats) = &mut self.service_stats else {
            return Default::default();
        };
        (service_stats.tally(), service_stats.reports(now, most))
    }

    /// The engines as the endpoints have them. `now`: in milliseconds on the clock of the endpoints' start times.
    pub fn units(&self, now: Ms) -> Vec<Unit> {
        let slow_start_window = self.settings.policy.slow_start_window;
        let unit = |(engine, row): (&EngineId, &endpoints::EngineEntry)| {
            let started = row.line.started_ms.filter(|at| at.is_finite());
            let cold = started.is_some_and(|at| now < at + slow_start_window);
            Unit {
                name: Name(engine.0.clone()),
                incarnation: Incarnation(started.map_or(0, f64::to_bits)),
                address: Address::from(row.line.address.as_str()),
                zone: row.line.zone.clone(),
                cell: row.line.cell.clone(),
                kind: row.line.kind.clone(),
                role: Some(row.role),
                label: String::new(),
                status: match row.status {
                    EndpointStatus::Ready if cold => ServiceStatus::Starting,
                    EndpointStatus::Ready => ServiceStatus::InService,
                    EndpointStatus::Draining => ServiceStatus::Draining,
                    EndpointStatus::Gone => ServiceStatus::OutOfService,
                },
                utilization: self
                    .service_stats
                    .as_ref()
                    .and_then(|service_stats| service_stats.used(now, engine)),
                outcomes: OutcomeCounts::default(),
            }
        };
        self.endpoints.engines.iter().map(unit).collect()
    }

    /// How much is in use, for logs and for tests of what must not grow.
    pub fn usage(&self) -> Usage {
        Usage {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timers: self.timers.len(),
            engines: self.endpoints.engines.len(),
            releases: self.engine_releases() + self.kv_states.release_wanted_count(),
        }
    }

    /// Releases, where a state belongs to its engine, which that engine has not confirmed.
    pub(super) fn engine_releases(&self) -> usize {
        let queued: usize = self.pending_engine_releases.values().map(Vec::len).sum();
        queued + self.connections.releasing()
    }
}

/// How much a dispatcher has in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Open requests, and those with an attempt or a KV state.
    pub requests: usize,
    /// Connections to engines.
    pub connections: usize,
    /// Timers, of which some have no cause any more.
    pub timers: usize,
    /// Engines of which anything is known.
    pub engines: usize,
    /// Releases that no engine has confirmed.
    pub releases: usize,
}
