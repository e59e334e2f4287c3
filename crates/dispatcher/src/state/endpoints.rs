//! The engines as the list names them: each one's line, address and status, and the ids that the
//! decisions know zones, kinds and cells by.

use crate::settings::ProgramSettings;
use cindercleat::interface::*;
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(super) struct EngineEntry {
    pub line: v1::Endpoint,
    pub status: EndpointStatus,
    pub role: Role,
}

#[derive(Debug, Default)]
pub(super) struct Endpoints {
    pub engines: BTreeMap<EngineId, EngineEntry>,
    cells: BTreeMap<String, CellId>,
    pub version: u64,
}

impl Endpoints {
    /// Takes a list in. Gives the endpoints for the decisions, and says what was wrong with lines passed over.
    pub fn take(
        &mut self,
        list: &v1::EndpointList,
        settings: &ProgramSettings,
    ) -> (EndpointUpdateKind, Vec<Endpoint>, Vec<String>) {
        let full = list.kind() == v1::EndpointUpdateKind::Snapshot;
        self.version = list.version;
        if full {
            let listed: BTreeSet<&str> = list
                .endpoints
                .iter()
                .map(|line| line.engine.as_str())
                .collect();
            for (engine, row) in &mut self.engines {
                if !listed.contains(engine.0.as_ref()) {
                    row.status = EndpointStatus::Gone;
                }
            }
        }
        let (mut endpoints, mut wrong) = (Vec::new(), Vec::new());
        for line in &list.endpoints {
            match self.entry(line, settings) {
                Ok(entry) => endpoints.push(entry),
                Err(problem) => {
                    wrong.push(format!("host {:?} of the list: {problem}", line.engine))
                }
            }
        }
        (
            if full {
                EndpointUpdateKind::Snapshot
            } else {
                EndpointUpdateKind::Delta
            },
            endpoints,
            wrong,
        )
    }

    fn entry(
        &mut self,
        line: &v1::Endpoint,
        settings: &ProgramSettings,
    ) -> Result<Endpoint, String> {
        let place = |names: &[String], name: &str, what: &str| {
            let at = names.iter().position(|n| n == name);
            at.map(|at| at as u32)
                .ok_or_else(|| format!("{what} {name:?} is not in the settings"))
        };
        if line.engine.is_empty() || line.address.is_empty() {
            return Err("no name or no address".to_owned());
        }
        let zone = ZoneId(place(&settings.zones, &line.zone, "zone")?);
        let kind = KindId(place(&settings.kinds, &line.kind, "kind")?);
        let known = settings.policy.kinds.get(kind.0 as usize);
        let role = known
            .ok_or_else(|| format!("kind {:?} has no settings", line.kind))?
            .role;
        let status = match line.status() {
            v1::EndpointStatus::Ready => EndpointStatus::Ready,
            v1::EndpointStatus::Draining => EndpointStatus::Draining,
            v1::EndpointStatus::Gone => EndpointStatus::Gone,
            v1::EndpointStatus::Unspecified => return Err("no condition".to_owned()),
        };
        // Guards against a list that would poison every comparison of instants or weights.
        let started = line.started_ms.filter(|at| at.is_finite());
        let weight = if line.weight.is_finite() && line.weight > 0.0 {
            line.weight
        } else {
            1.0
        };
        let next = CellId(self.cells.len() as u32);
        let cell = *self
            .cells
            .entry(format!("{}/{}", line.zone, line.cell))
            .or_insert(next);
        let engine = EngineId(Arc::from(line.engine.as_str()));
        self.engines.insert(
            engine.clone(),
            EngineEntry {
                line: line.clone(),
                status,
                role,
            },
        );
        Ok(Endpoint {
            engine,
            zone,
            kind,
            cell,
            status,
            weight,
            started,
        })
    }

    /// Whether any engine is known.
    pub fn is_known(&self) -> bool {
        !self.engines.is_empty()
    }

    pub fn gone(&self) -> Vec<EngineId> {
        let gone = self
            .engines
            .iter()
            .filter(|(_, row)| row.status == EndpointStatus::Gone);
        gone.map(|(engine, _)| engine.clone()).collect()
    }

    /// All that is known and not gone, as a list to remember.
    pub fn whole(&self) -> v1::EndpointList {
        let here = self
            .engines
            .values()
            .filter(|row| row.status != EndpointStatus::Gone);
        let endpoints = here.map(|row| row.line.clone()).collect();
        v1::EndpointList {
            kind: v1::EndpointUpdateKind::Snapshot.into(),
            version: self.version,
            endpoints,
        }
    }

    pub fn status(&self, engine: &EngineId) -> EndpointStatus {
        self.engines
            .get(engine)
            .map_or(EndpointStatus::Gone, |row| row.status)
    }
}
