//! Updates of the endpoints, and what is forgotten of engines that are gone.

use super::*;

impl Dispatcher {
    /// Takes an update of the endpoints. `cached`: what kind of update it counts as, where it is not from discovery.
    pub(super) fn update_endpoints(
        &mut self,
        list: &v1::EndpointList,
        cached: Option<EndpointUpdateKind>,
        outputs: &mut Vec<Output>,
    ) {
        let altered = fault_injection::altered_list(list);
        let list = altered.as_ref().unwrap_or(list);
        let (kind, endpoints, wrong) = self.endpoints.take(list, &self.settings);
        outputs.extend(wrong.into_iter().map(|text| Output::Log {
            level: Level::Warn,
            text,
        }));
        if self.caches_endpoints && cached.is_none() && !list.endpoints.is_empty() {
            outputs.push(Output::CacheEndpoints(self.endpoints.whole()));
        }
        for entry in endpoints
            .iter()
            .filter(|e| e.status != EndpointStatus::Ready)
        {
            self.close_idle(&entry.engine, outputs);
        }
        for entry in endpoints.iter().filter(|e| e.started.is_some()) {
            self.connections.renewed(&entry.engine);
        }
        self.events.push(Event::EndpointsUpdated {
            kind: cached.unwrap_or(kind),
            endpoints,
        });
        for engine in self.endpoints.gone() {
            self.forget_gone_engine(&engine);
        }
    }

    /// Guards against a fleet whose engines are replaced all day, which shows as memory that grows: nothing is kept of an
    /// engine that is gone, once no connection to it is left. An unknown engine counts as gone.
    pub(super) fn forget_gone_engine(&mut self, engine: &EngineId) {
        if self.endpoints.status(engine) == EndpointStatus::Gone && self.connections.forget(engine)
        {
            self.endpoints.engines.remove(engine);
        }
    }
}
