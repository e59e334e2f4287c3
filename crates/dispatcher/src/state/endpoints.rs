//! The engines as discovery's list names them, and the numbers by which the decisions know zones, kinds and cells.

use crate::settings::ProgramSettings;
use cindercleat::interface::*;
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What is known of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineEntry {
    /// The engine's newest line of the list.
    pub line: v1::Endpoint,
    pub status: EndpointStatus,
    pub role: Role,
}

/// Why a line of the list is not used.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("no name or no address")]
    NoNameOrAddress,
    #[error("{what} {name:?} is not in the settings")]
    UnknownName { what: &'static str, name: String },
    #[error("kind {0:?} has no settings")]
    KindWithoutSettings(String),
    #[error("no condition")]
    NoStatus,
}

/// The weight of an engine whose line gives none that can be used.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All engines of the list, and those that have left it while connections to them are open.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    pub engines: BTreeMap<EngineId, EngineEntry>,
    cells: BTreeMap<String, CellId>,
    /// The version of the newest list.
    pub version: u64,
}

impl Endpoints {
    /// Takes a list in. Returns the endpoints for the decisions, and for each line that is not used a text that says
    /// why.
    pub fn take(
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
        for line in &list.endpoints {
            match self.take_line(line, settings) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(problem) => {
                    problems.push(format!("engine {:?} of the list: {problem}", line.engine))
                }
            }
        }
        (kind, endpoints, problems)
    }

    /// Engines that a snapshot does not name are gone. One whose line is not usable keeps its entry here, so that its
    /// attempts can end; the decisions, which get usable lines alone, send it nothing new.
    fn mark_unlisted_gone(&mut self, snapshot: &v1::EndpointList) {
        let listed: BTreeSet<&str> = snapshot
            .endpoints
            .iter()
            .map(|line| line.engine.as_str())
            .collect();
        for (engine, entry) in &mut self.engines {
            if !listed.contains(engine.0.as_ref()) {
                entry.status = EndpointStatus::Gone;
            }
        }
    }

    fn take_line(
        &mut self,
        line: &v1::Endpoint,
        settings: &ProgramSettings,
    ) -> Result<Endpoint, LineError> {
        if line.engine.is_empty() || line.address.is_empty() {
            return Err(LineError::NoNameOrAddress);
        }
        let zone = ZoneId(number_of(&settings.zones, &line.zone, "zone")?);
        let kind = KindId(number_of(&settings.kinds, &line.kind, "kind")?);
        let kind_settings = settings.policy.kinds.get(kind.0 as usize);
        let role = kind_settings
            .ok_or_else(|| LineError::KindWithoutSettings(line.kind.clone()))?
            .role;
        let status = status_of(line)?;
        let engine = EngineId(Arc::from(line.engine.as_str()));
        let entry = EngineEntry {
            line: line.clone(),
            status,
            role,
        };
        self.engines.insert(engine.clone(), entry);
        Ok(Endpoint {
            engine,
            zone,
            kind,
            cell: self.cell_of(line),
            status,
            weight: weight_of(line),
            started: started_of(line),
        })
    }

    /// The number of a line's cell; a cell's name is unique within its zone.
    fn cell_of(&mut self, line: &v1::Endpoint) -> CellId {
        let next = CellId(self.cells.len() as u32);
        *self
            .cells
            .entry(format!("{}/{}", line.zone, line.cell))
            .or_insert(next)
    }

    /// Whether any engine is known.
    pub fn is_known(&self) -> bool {
        !self.engines.is_empty()
    }

    /// The engines that have left the list.
    pub fn gone(&self) -> Vec<EngineId> {
        let gone = self
            .engines
            .iter()
            .filter(|(_, entry)| entry.status == EndpointStatus::Gone);
        gone.map(|(engine, _)| engine.clone()).collect()
    }

    /// All engines that are not gone, as a snapshot for the endpoint cache.
    pub fn whole(&self) -> v1::EndpointList {
        let present = self
            .engines
            .values()
            .filter(|entry| entry.status != EndpointStatus::Gone);
        let endpoints = present.map(|entry| entry.line.clone()).collect();
        v1::EndpointList {
            kind: v1::EndpointUpdateKind::Snapshot.into(),
            version: self.version,
            endpoints,
        }
    }

    /// An engine's status; `Gone` if it is not known.
    pub fn status(&self, engine: &EngineId) -> EndpointStatus {
        self.engines
            .get(engine)
            .map_or(EndpointStatus::Gone, |entry| entry.status)
    }
}

/// The place of a name among the settings' names, which is its number for the decisions.
fn number_of(names: &[String], name: &str, what: &'static str) -> Result<u32, LineError> {
    let at = names.iter().position(|known| known == name);
    at.map(|at| at as u32)
        .ok_or_else(|| LineError::UnknownName {
            what,
            name: name.to_owned(),
        })
}

fn status_of(line: &v1::Endpoint) -> Result<EndpointStatus, LineError> {
    match line.status() {
        v1::EndpointStatus::Ready => Ok(EndpointStatus::Ready),
        v1::EndpointStatus::Draining => Ok(EndpointStatus::Draining),
        v1::EndpointStatus::Gone => Ok(EndpointStatus::Gone),
        v1::EndpointStatus::Unspecified => Err(LineError::NoStatus),
    }
}

/// Guards against a weight that is not a number or not positive: it would make every comparison with it meaningless.
fn weight_of(line: &v1::Endpoint) -> f64 {
    if line.weight.is_finite() && line.weight > 0.0 {
        line.weight
    } else {
        DEFAULT_WEIGHT
    }
}

/// Guards against a start time that is not a number, as [`weight_of`] does.
fn started_of(line: &v1::Endpoint) -> Option<Ms> {
    line.started_ms.filter(|at| at.is_finite())
}
