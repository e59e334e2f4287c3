//! The notice that tells a unit of its permit, and the encoding of the notice.

use crate::coordination::disruption_budget::UnitKind;
use crate::coordination::rollout::{DisruptionPermit, PermitId};
use crate::coordination::{Address, Incarnation, Name};

/// The notice of a permit, sent as the body of a fenced command.
///
/// The notice for a dispatcher goes to that dispatcher. The notice for an engine goes to the discovery registry, which
/// then lists the engine as draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitNotice {
    /// The number of the permit that the unit receives.
    pub permit: PermitId,
    /// Whether the unit is a dispatcher or an engine.
    pub unit_kind: UnitKind,
    /// The name of the unit that may drain.
    pub unit: Name,
    /// The process that may drain. A later process of the unit must not drain on this notice.
    pub incarnation: Incarnation,
    /// The label that the unit must have after its restart. If this label is empty, the unit may have any label.
    pub label: String,
    /// Whether the unit is removed for good instead of restarted.
    pub permanent: bool,
}

impl PermitNotice {
    /// Copies the fields of the permit that the unit needs into a notice.
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

    /// Encodes the notice as the body of a command, one field per line. The label comes last because it may be empty.
    pub fn write(&self) -> Vec<u8> {
        let unit_kind = match self.unit_kind {
            UnitKind::Engines => "host",
            UnitKind::Dispatchers => "dispatcher",
        };
        let permanence = if self.permanent { "stays" } else { "returns" };
        format!(
            "turn\n{}\n{unit_kind}\n{}\n{}\n{permanence}\n{}",
            self.permit.0, self.unit.0, self.incarnation.0, self.label
        )
        .into_bytes()
    }

    /// Decodes the body of a command. Returns none if the body is not a well-formed notice.
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

/// The address to which the notice of a permit is sent. The notice for a dispatcher goes to the dispatcher's own
/// address. The notice for an engine goes to the address of the discovery registry, or nowhere if the fleet has no
/// registry: the result is none in that case.
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
