//! Applies endpoint updates, and drops the records of engines that are gone.

use super::*;

impl Dispatcher {
    /// Applies an endpoint update. `cached_kind` is [`EndpointUpdateKind::Cached`] if the list comes from the
    /// endpoint cache, and `None` if it comes from discovery.
    pub(super) fn update_endpoints(
        &mut self,
        list: &v1::EndpointList,
        cached_kind: Option<EndpointUpdateKind>,
        outputs: &mut Vec<Output>,
    ) {
        let faulty_list = fault_injection::apply_list_faults(list);
        let list = faulty_list.as_ref().unwrap_or(list);
        let (kind, endpoints, problems) = self.endpoints.apply_update(list, &self.settings);
        outputs.extend(problems.into_iter().map(|text| Output::Log {
            level: Level::Warn,
            text,
        }));
        if self.caches_endpoints && cached_kind.is_none() && !list.endpoints.is_empty() {
            outputs.push(Output::CacheEndpoints(self.endpoints.snapshot()));
        }
        for entry in endpoints
            .iter()
            .filter(|e| e.status != EndpointStatus::Ready)
        {
            self.close_idle(&entry.engine, outputs);
        }
        for entry in endpoints.iter().filter(|e| e.started.is_some()) {
            self.connections.reset_backoff(&entry.engine);
        }
        self.events.push(Event::EndpointsUpdated {
            kind: cached_kind.unwrap_or(kind),
            endpoints,
        });
        for engine in self.endpoints.gone_engines() {
            self.remove_gone_engine(&engine);
        }
    }

    /// Drops the record of an engine that is gone, once no connection to it is left. Otherwise memory would grow
    /// without bound in a fleet whose engines are constantly replaced. An unknown engine counts as gone.
    pub(super) fn remove_gone_engine(&mut self, engine: &EngineId) {
        if self.endpoints.status(engine) == EndpointStatus::Gone
            && self.connections.remove_engine(engine)
        {
            self.endpoints.engines.remove(engine);
        }
    }
}
