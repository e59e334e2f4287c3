//! Whether a plan can be carried out, and what it would do.

use crate::coordination::disruption_budget::{
    DisruptionBudget, Unit, UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::rollout::RolloutPlan;
use crate::coordination::rollout_controller::planned_waves;
use crate::coordination::Name;
use std::fmt;

/// Why a plan cannot be carried out here and now. Displayed as the operator's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlanError {
    /// The plan names units that are not there.
    UnknownUnits { unit_kind: UnitKind, names: String },
    /// The plan selects no unit that is there.
    SelectsNothing,
    /// No discovery registry is known that would list engines as draining.
    NoRegistry,
    /// The budget forbids some of the selected units for good; in words.
    Impossible(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::UnknownUnits { unit_kind, names } => {
                let list = match unit_kind {
                    UnitKind::Engines => "the list",
                    UnitKind::Dispatchers => "the roll-call",
                };
                write!(to, "{list} has no {names}; nothing was changed")
            }
            PlanError::SelectsNothing => to.write_str("the plan means nobody who is there"),
            PlanError::NoRegistry => {
                to.write_str("the settings of the fleet have no 'keeper' to list hosts as draining")
            }
            PlanError::Impossible(reason) => to.write_str(reason),
        }
    }
}

/// A plan with the units and limits that it would be carried out with.
pub(super) struct PlanCheck<'a> {
    pub plan: &'a RolloutPlan,
    pub budget: &'a DisruptionBudget,
    pub units: &'a [Unit],
    pub sizes: &'a ZoneSizes,
}

impl PlanCheck<'_> {
    /// Whether the plan can be carried out. `skip_missing`: units that it names and that are not there are passed over.
    pub fn check(&self, skip_missing: bool, has_registry: bool) -> Result<(), PlanError> {
        let unit_kind = self.plan.unit_kind;
        let unknown = self.unknown_units();
        if !unknown.is_empty() && !skip_missing {
            let names = unknown.join(", ");
            return Err(PlanError::UnknownUnits { unit_kind, names });
        }
        if !self.units.iter().any(|u| self.plan.selects(u)) {
            return Err(PlanError::SelectsNothing);
        }
        if unit_kind == UnitKind::Engines && !has_registry {
            return Err(PlanError::NoRegistry);
        }
        let reason = self
            .counts()
            .impossible_reason(self.units, self.budget, |unit| self.plan.selects(unit));
        reason.map_or(Ok(()), |reason| Err(PlanError::Impossible(reason)))
    }

    fn unknown_units(&self) -> Vec<&str> {
        let is_known = |name: &Name| self.units.iter().any(|unit| unit.name == *name);
        let names = self.plan.names.iter();
        names
            .filter(|name| !is_known(name))
            .map(|name| &*name.0)
            .collect()
    }

    fn counts(&self) -> UnitCounts {
        UnitCounts::new(self.units.iter(), self.sizes, self.budget, |_| false)
    }

    /// The waves of the plan, what is unavailable now, and what forbids the first unit; in words.
    pub fn describe(&self) -> String {
        let PlanCheck {
            plan,
            budget,
            units,
            sizes,
        } = *self;
        let mut text = format!(
            "release {} of {}, as they are now:\n",
            plan.name, plan.unit_kind
        );
        for (at, wave) in planned_waves(plan, budget, units, sizes).iter().enumerate() {
            let names: Vec<&str> = wave.iter().map(|name| &*name.0).collect();
            text += &format!("  wave {}: {} ({})\n", at + 1, names.len(), names.join(" "));
        }
        let counts = self.counts();
        for count in counts.unavailable_counts(budget) {
            let place = match count.zone.is_empty() {
                true => "the fleet".to_owned(),
                false => format!("zone {}", count.zone),
            };
            text += &format!(
                "  {place}: {} out now, {} may be\n",
                count.unavailable, count.limit
            );
        }
        let mut selected = units.iter().filter(|u| plan.selects(u));
        if let Some(violation) = selected.find_map(|u| counts.check_disruption(u, budget).err()) {
            text += &format!("  now binds: {violation}\n");
        }
        text
    }
}
