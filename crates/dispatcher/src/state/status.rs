//! What a dispatcher tells of itself to those that run it: whether it is ready, how full it is, what it has served.

use super::*;

impl Dispatcher {
    /// Whether a list is there and no stop has begun, and which part of the requests that it may have open is.
    pub fn fares(&self) -> (bool, f64) {
        let ready = self.endpoints.is_known() && self.stopping_since.is_none();
        let most = self.settings.limits.max_open_requests.max(1);
        (ready, self.requests.len() as f64 / most as f64)
    }

    /// The version of the newest list.
    pub fn list_version(&self) -> u64 {
        self.endpoints.version
    }

    /// That version, if a list is known at all.
    pub fn known_version(&self) -> Option<u64> {
        self.endpoints.is_known().then_some(self.endpoints.version)
    }

    /// Nobody keeps the list for the next start: it is not put together with each change.
    pub fn disable_endpoint_cache(&mut self) {
        self.caches_endpoints = false;
    }

    /// Remembers from now on how its requests end and what engines say.
    pub fn collect_service_stats(&mut self) {
        self.service_stats = Some(service_stats::ServiceStats::default());
    }

    /// How its requests ended, and reports on so many engines that were heard of since.
    pub fn recorded(&mut self, now: Ms, most: usize) -> (Tally, Vec<EngineReport>) {
        let Some(service_stats) = &mut self.service_stats else {
            return Default::default();
        };
        (service_stats.tally(), service_stats.reports(now, most))
    }

    /// The engines as the list has them. `now` is on the list's clock as well.
    pub fn units(&self, now: Ms) -> Vec<Unit> {
        let slow_start_window = self.settings.policy.slow_start_window;
        let unit = |(engine, row): (&EngineId, &endpoints::EngineEntry)| {
            let started = row.line.started_ms.filter(|at| at.is_finite());
            let cold = started.is_some_and(|at| now < at + slow_start_window);
            Unit {
                name: Name(engine.0.clone()),
                run: Run(started.map_or(0, f64::to_bits)),
                address: Address::from(row.line.address.as_str()),
                zone: row.line.zone.clone(),
                cell: row.line.cell.clone(),
                kind: row.line.kind.clone(),
                role: Some(row.role),
                label: String::new(),
                stand: match row.status {
                    EndpointStatus::Ready if cold => Stand::Coming,
                    EndpointStatus::Ready => Stand::In,
                    EndpointStatus::Draining => Stand::Going,
                    EndpointStatus::Gone => Stand::Out,
                },
                used: self
                    .service_stats
                    .as_ref()
                    .and_then(|service_stats| service_stats.used(now, engine)),
                tally: Tally::default(),
            }
        };
        self.endpoints.engines.iter().map(unit).collect()
    }

    /// How much is held, for logs and for tests of what must not grow.
    pub fn usage(&self) -> Usage {
        Usage {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timers: self.timers.len(),
            engines: self.endpoints.engines.len(),
            releases: self.engine_releases() + self.kv_states.release_wanted_count(),
        }
    }

    /// Releases where a state belongs to its engine, which that has not confirmed.
    pub(super) fn engine_releases(&self) -> usize {
        let queued: usize = self.pending_engine_releases.values().map(Vec::len).sum();
        queued + self.connections.releasing()
    }
}

/// How much a ledger holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub requests: usize,
    pub connections: usize,
    pub timers: usize,
    /// Engines of which anything is known.
    pub engines: usize,
    /// Releases that no engine has confirmed.
    pub releases: usize,
}
