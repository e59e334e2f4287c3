//! The notice of a permit to its unit.

use crate::coordination::disruption_budget::UnitKind;
use crate::coordination::rollout::{DisruptionPermit, PermitId};
use crate::coordination::{Address, Incarnation, Name};

/// The notice of a permit, as the body of a fenced command: to the dispatcher that may go, or for an engine to the
/// discovery registry, which lists it as draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitNotice {
    /// The permit.
    pub permit: PermitId,
    /// The kind of unit.
    pub unit_kind: UnitKind,
    /// The unit that may go.
    pub unit: Name,
    /// The process of it that may go.
    pub incarnation: Incarnation,
    /// The label that it is to come back under; empty: any.
    pub label: String,
    /// The unit is not to come back.
    pub permanent: bool,
}

impl PermitNotice {
    /// The notice of a permit.
    pub fn new(id: PermitId, permit: &DisruptionPermit) -> Self {
        PermitNotice {
            permit: id,
            unit_kind: permit.unit_kind,
            unit: permit.unit.clone(),
            incarnation: permit.incarnation,
            label: permit.label.clone(),
            permanent: permit.permanent,
        }
    }

    /// The bytes of a command's body: one field a line; the label is the last, as it may be empty.
    pub fn write(&self) -> Vec<u8> {
        let kind = match self.unit_kind {
            UnitKind::Engines => "host",
            UnitKind::Dispatchers => "dispatcher",
        };
        let permanence = if self.permanent { "stays" } else { "returns" };
        format!(
            "turn\n{}\n{kind}\n{}\n{}\n{permanence}\n{}",
            self.permit.0, self.unit.0, self.incarnation.0, self.label
        )
        .into_bytes()
    }

    /// Reads a command's body; none if it is no notice.
    pub fn read(bytes: &[u8]) -> Option<PermitNotice> {
        let text = std::str::from_utf8(bytes).ok()?;
        let lines: Vec<&str> = text.split('\n').collect();
        let ["turn", permit, kind, unit, incarnation, permanence, label] = lines[..] else {
            return None;
        };
        let unit_kind = match kind {
            "host" => UnitKind::Engines,
            "dispatcher" => UnitKind::Dispatchers,
            _ => return None,
        };
        let permanent = match permanence {
            "stays" => true,
            "returns" => false,
            _ => return None,
        };
        (!unit.is_empty()).then_some(())?;
        Some(PermitNotice {
            permit: PermitId(permit.parse().ok()?),
            unit_kind,
            unit: Name::from(unit),
            incarnation: Incarnation(incarnation.parse().ok()?),
            label: label.to_owned(),
            permanent,
        })
    }
}

/// Where a permit's notice goes: to the dispatcher, or for an engine to the discovery registry, if there is one.
pub fn notice_address<'a>(
    permit: &'a DisruptionPermit,
    registry: Option<&'a Address>,
) -> Option<&'a Address> {
    if permit.unit_kind == UnitKind::Engines {
        registry
    } else {
        Some(&permit.address)
    }
}
