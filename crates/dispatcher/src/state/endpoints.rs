//! The table of the engines in the endpoint list, and the conversion of zone, kind and cell names to the ids that
//! the routing logic uses.

use crate::settings::ProgramSettings;
use cindercleat::interface::*;
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What the dispatcher knows about one engine from the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct EngineEntry {
    /// The engine's newest entry in the endpoint list.
    pub endpoint: v1::Endpoint,
    pub status: EndpointStatus,
    pub role: Role,
}

/// Why an entry of the endpoint list is ignored.
#[derive(Debug, thiserror::Error)]
enum EndpointError {
    #[error("engine name or address is missing")]
    NoNameOrAddress,
    #[error("{what} {name:?} is not in the settings")]
    UnknownName { what: &'static str, name: String },
    #[error("engine kind {0:?} has no settings")]
    KindWithoutSettings(String),
    #[error("status is missing")]
    MissingStatus,
}

/// The weight of an engine whose entry in the endpoint list has no valid weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All engines in the endpoint list, and engines that have left it but still have open connections.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    pub engines: BTreeMap<EngineId, EngineEntry>,
    cells: BTreeMap<String, CellId>,
    /// The version of the newest update; 0 if there was none.
    pub version: u64,
}

impl Endpoints {
    /// Applies an update of the endpoint list. Returns the kind of the update, the valid endpoints, and a log text
    /// with the reason for each entry that is ignored.
    pub fn apply_update(
        &mut self,
        list: &v1::EndpointList,
        settings: &ProgramSettings,
    ) -> (EndpointUpdateKind, Vec<Endpoint>, Vec<String>) {
        self.version = list.version;
        let kind = if list.kind() == v1::EndpointUpdateKind::Snapshot {
            self.mark_unlisted_gone(list);
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        let (mut endpoints, mut problems) = (Vec::new(), Vec::new());
        for endpoint in &list.endpoints {
            match self.apply_endpoint(endpoint, settings) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(problem) => problems.push(format!(
                    "endpoint of engine {:?} ignored: {problem}",
                    endpoint.engine
                )),
            }
        }
        (kind, endpoints, problems)
    }

    /// Marks the engines that a snapshot does not list as gone. An engine that is listed with an invalid entry
    /// keeps its record, so that its attempts can end. The routing logic receives only valid entries, so it starts
    /// no new attempts at such an engine.
    fn mark_unlisted_gone(&mut self, snapshot: &v1::EndpointList) {
        let listed: BTreeSet<&str> = snapshot
            .endpoints
            .iter()
            .map(|endpoint| endpoint.engine.as_str())
            .collect();
        for (engine, entry) in &mut self.engines {
            if !listed.contains(engine.0.as_ref()) {
                entry.status = EndpointStatus::Gone;
            }
        }
    }

    fn apply_endpoint(
        &mut self,
        endpoint: &v1::Endpoint,
        settings: &ProgramSettings,
    ) -> Result<Endpoint, EndpointError> {
        if endpoint.engine.is_empty() || endpoint.address.is_empty() {
            return Err(EndpointError::NoNameOrAddress);
        }
        let zone = ZoneId(index_of_name(&settings.zones, &endpoint.zone, "zone")?);
        let kind = EngineKindId(index_of_name(&settings.kinds, &endpoint.kind, "kind")?);
        let kind_settings = settings.policy.kinds.get(kind.0 as usize);
        let role = kind_settings
            .ok_or_else(|| EndpointError::KindWithoutSettings(endpoint.kind.clone()))?
            .role;
        let status = endpoint_status(endpoint)?;
        let engine = EngineId(Arc::from(endpoint.engine.as_str()));
        let entry = EngineEntry {
            endpoint: endpoint.clone(),
            status,
            role,
        };
        self.engines.insert(engine.clone(), entry);
        Ok(Endpoint {
            engine,
            zone,
            kind,
            cell: self.cell_id(endpoint),
            status,
            weight: valid_weight(endpoint),
            started: valid_start_time(endpoint),
        })
    }

    /// The id of the endpoint's cell. Cell names are unique within their zone.
    fn cell_id(&mut self, endpoint: &v1::Endpoint) -> CellId {
        let next = CellId(self.cells.len() as u32);
        *self
            .cells
            .entry(format!("{}/{}", endpoint.zone, endpoint.cell))
            .or_insert(next)
    }

    /// Whether the table contains any engine, including engines that are draining or gone.
    pub fn has_engines(&self) -> bool {
        !self.engines.is_empty()
    }

    /// The engines that have left the endpoint list.
    pub fn gone_engines(&self) -> Vec<EngineId> {
        let gone = self
            .engines
            .iter()
            .filter(|(_, entry)| entry.status == EndpointStatus::Gone);
        gone.map(|(engine, _)| engine.clone()).collect()
    }

    /// All engines that are not gone, as a snapshot for the endpoint cache.
    pub fn snapshot(&self) -> v1::EndpointList {
        let present = self
            .engines
            .values()
            .filter(|entry| entry.status != EndpointStatus::Gone);
        let endpoints = present.map(|entry| entry.endpoint.clone()).collect();
        v1::EndpointList {
            kind: v1::EndpointUpdateKind::Snapshot.into(),
            version: self.version,
            endpoints,
        }
    }

    /// The status of an engine; `Gone` if it is unknown.
    pub fn status(&self, engine: &EngineId) -> EndpointStatus {
        self.engines
            .get(engine)
            .map_or(EndpointStatus::Gone, |entry| entry.status)
    }
}

/// The index of a name in the settings. The routing logic uses it as the id of the zone or kind.
///
/// # Errors
/// The settings do not contain the name. `what` is the word for it in the error message, such as "zone".
fn index_of_name(names: &[String], name: &str, what: &'static str) -> Result<u32, EndpointError> {
    let index = names.iter().position(|known| known == name);
    index
        .map(|index| index as u32)
        .ok_or_else(|| EndpointError::UnknownName {
            what,
            name: name.to_owned(),
        })
}

fn endpoint_status(endpoint: &v1::Endpoint) -> Result<EndpointStatus, EndpointError> {
    match endpoint.status() {
        v1::EndpointStatus::Ready => Ok(EndpointStatus::Ready),
        v1::EndpointStatus::Draining => Ok(EndpointStatus::Draining),
        v1::EndpointStatus::Gone => Ok(EndpointStatus::Gone),
        v1::EndpointStatus::Unspecified => Err(EndpointError::MissingStatus),
    }
}

/// The weight of an endpoint. A weight that is not a positive number is replaced by [`DEFAULT_WEIGHT`],
/// because comparisons with it would be meaningless.
fn valid_weight(endpoint: &v1::Endpoint) -> f64 {
    if endpoint.weight.is_finite() && endpoint.weight > 0.0 {
        endpoint.weight
    } else {
        DEFAULT_WEIGHT
    }
}

/// The start time of an endpoint, in milliseconds. A value that is not a finite number counts as absent, because
/// comparisons with it would be meaningless.
fn valid_start_time(endpoint: &v1::Endpoint) -> Option<Ms> {
    endpoint.started_ms.filter(|at| at.is_finite())
}
