//! Updates of the list of endpoints, and what is forgotten of engines that are gone.

use super::*;

impl Dispatcher {
    pub(super) fn take_list(
        &mut self,
        list: &v1::EndpointList,
        remembered: Option<EndpointUpdateKind>,
        out: &mut Vec<Output>,
    ) {
        let planted = fault_injection::list(list);
        let list = planted.as_ref().unwrap_or(list);
        let (kind, endpoints, wrong) = self.endpoints.take(list, &self.settings);
        out.extend(wrong.into_iter().map(|text| Output::Log {
            level: Level::Warn,
            text,
        }));
        if self.keeps_lists && remembered.is_none() && !list.endpoints.is_empty() {
            out.push(Output::KeepList(self.endpoints.whole()));
        }
        for entry in endpoints
            .iter()
            .filter(|e| e.status != EndpointStatus::Ready)
        {
            self.close_idle(&entry.engine, out);
        }
        for entry in endpoints.iter().filter(|e| e.started.is_some()) {
            self.connections.renewed(&entry.engine);
        }
        self.events.push(Event::EndpointsUpdated {
            kind: remembered.unwrap_or(kind),
            endpoints,
        });
        for engine in self.endpoints.gone() {
            self.forget_gone(&engine);
        }
    }

    /// Guards against a fleet that is replaced all day: nothing is kept of an engine that is gone, once no
    /// connection to it is left. An unknown engine counts as gone.
    pub(super) fn forget_gone(&mut self, engine: &EngineId) {
        if self.endpoints.status(engine) == EndpointStatus::Gone && self.connections.forget(engine)
        {
            self.endpoints.engines.remove(engine);
        }
    }
}
