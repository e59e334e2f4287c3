//! The model hosts as the list names them: each one's line, address and condition, and the ids that the
//! decisions know zones, kinds and cells by.

use crate::settings::ProgramSettings;
use cindercleat::interface::*;
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(super) struct HostRow {
    pub line: v1::HostLine,
    pub condition: Condition,
    pub role: Role,
}

#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub hosts: BTreeMap<HostId, HostRow>,
    cells: BTreeMap<String, CellId>,
    pub version: u64,
}

impl Fleet {
    /// Takes a list in. Gives the entries for the decisions, and says what was wrong with lines passed over.
    pub fn take(
        &mut self,
        list: &v1::HostList,
        settings: &ProgramSettings,
    ) -> (ListKind, Vec<Entry>, Vec<String>) {
        let full = list.kind() == v1::ListKind::Full;
        self.version = list.version;
        if full {
            let listed: BTreeSet<&str> = list.hosts.iter().map(|line| line.host.as_str()).collect();
            for (host, row) in &mut self.hosts {
                if !listed.contains(host.0.as_ref()) {
                    row.condition = Condition::Gone;
                }
            }
        }
        let (mut entries, mut wrong) = (Vec::new(), Vec::new());
        for line in &list.hosts {
            match self.entry(line, settings) {
                Ok(entry) => entries.push(entry),
                Err(problem) => wrong.push(format!("host {:?} of the list: {problem}", line.host)),
            }
        }
        (
            if full {
                ListKind::Full
            } else {
                ListKind::Changes
            },
            entries,
            wrong,
        )
    }

    fn entry(&mut self, line: &v1::HostLine, settings: &ProgramSettings) -> Result<Entry, String> {
        let place = |names: &[String], name: &str, what: &str| {
            let at = names.iter().position(|n| n == name);
            at.map(|at| at as u32)
                .ok_or_else(|| format!("{what} {name:?} is not in the settings"))
        };
        if line.host.is_empty() || line.address.is_empty() {
            return Err("no name or no address".to_owned());
        }
        let zone = ZoneId(place(&settings.zones, &line.zone, "zone")?);
        let kind = KindId(place(&settings.kinds, &line.kind, "kind")?);
        let known = settings.policy.kinds.get(kind.0 as usize);
        let role = known
            .ok_or_else(|| format!("kind {:?} has no settings", line.kind))?
            .role;
        let condition = match line.condition() {
            v1::HostCondition::Ready => Condition::Ready,
            v1::HostCondition::Draining => Condition::Draining,
            v1::HostCondition::Gone => Condition::Gone,
            v1::HostCondition::Unspecified => return Err("no condition".to_owned()),
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
        let host = HostId(Arc::from(line.host.as_str()));
        self.hosts.insert(
            host.clone(),
            HostRow {
                line: line.clone(),
                condition,
                role,
            },
        );
        Ok(Entry {
            host,
            zone,
            kind,
            cell,
            condition,
            weight,
            started,
        })
    }

    /// Whether any host is known.
    pub fn is_known(&self) -> bool {
        !self.hosts.is_empty()
    }

    pub fn gone(&self) -> Vec<HostId> {
        let gone = self
            .hosts
            .iter()
            .filter(|(_, row)| row.condition == Condition::Gone);
        gone.map(|(host, _)| host.clone()).collect()
    }

    /// All that is known and not gone, as a list to remember.
    pub fn whole(&self) -> v1::HostList {
        let here = self
            .hosts
            .values()
            .filter(|row| row.condition != Condition::Gone);
        let hosts = here.map(|row| row.line.clone()).collect();
        v1::HostList {
            kind: v1::ListKind::Full.into(),
            version: self.version,
            hosts,
        }
    }

    pub fn condition(&self, host: &HostId) -> Condition {
        self.hosts
            .get(host)
            .map_or(Condition::Gone, |row| row.condition)
    }
}
