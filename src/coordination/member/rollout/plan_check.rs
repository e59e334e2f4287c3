//! Checks whether a plan can be carried out, and describes its effect for a dry run.

use crate::coordination::disruption_budget::{
    DisruptionBudget, Unit, UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::rollout::RolloutPlan;
use crate::coordination::rollout_controller::planned_waves;
use crate::coordination::Name;
use std::fmt;

/// Why a plan cannot be carried out with the current units and limits. The displayed text is the reply to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlanError {
    /// The plan names units that do not exist. `names` lists them, separated by commas.
    UnknownUnits { unit_kind: UnitKind, names: String },
    /// The plan selects none of the existing units.
    SelectsNothing,
    /// The settings name no discovery registry, so no engine can be listed as draining.
    NoRegistry,
    /// The budget never allows some of the selected units to drain. Carries the reason.
    Impossible(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::UnknownUnits { unit_kind, names } => {
                let source = match unit_kind {
                    UnitKind::Engines => "the list",
                    UnitKind::Dispatchers => "the list of members",
                };
                write!(formatter, "{source} has no {names}; nothing was changed")
            }
            PlanError::SelectsNothing => {
                formatter.write_str("the plan selects none of the existing units")
            }
            PlanError::NoRegistry => formatter.write_str(
                "the fleet settings have no 'keeper' (discovery registry), so no host can be listed as draining",
            ),
            PlanError::Impossible(reason) => formatter.write_str(reason),
        }
    }
}

/// A plan, with the units, the budget and the zone sizes against which the plan is checked.
pub(super) struct PlanCheck<'a> {
    pub plan: &'a RolloutPlan,
    pub budget: &'a DisruptionBudget,
    pub units: &'a [Unit],
    pub sizes: &'a ZoneSizes,
}

impl PlanCheck<'_> {
    /// Checks that the plan can be carried out. `skip_missing` ignores units that the plan names and that do not exist.
    ///
    /// # Errors
    /// Returns the first reason why the plan cannot be carried out.
    pub fn check(&self, skip_missing: bool, has_registry: bool) -> Result<(), PlanError> {
        let unit_kind = self.plan.unit_kind;
        let unknown = self.unknown_units();
        if !unknown.is_empty() && !skip_missing {
            let names = unknown.join(", ");
            return Err(PlanError::UnknownUnits { unit_kind, names });
        }
        if !self.units.iter().any(|unit| self.plan.selects(unit)) {
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

    /// The reply to a dry run: the waves of the plan, the numbers of units that are unavailable now, and the limit that
    /// forbids a selected unit to drain now, if there is such a limit.
    pub fn describe_dry_run(&self) -> String {
        let PlanCheck {
            plan,
            budget,
            units,
            sizes,
        } = *self;
        let mut text = format!(
            "release {} of {}, computed from their current state:\n",
            plan.name, plan.unit_kind
        );
        for (index, wave) in planned_waves(plan, budget, units, sizes).iter().enumerate() {
            let names: Vec<&str> = wave.iter().map(|name| &*name.0).collect();
            text += &format!(
                "  wave {}: {} ({})\n",
                index + 1,
                names.len(),
                names.join(" ")
            );
        }
        let counts = self.counts();
        for count in counts.unavailable_counts(budget) {
            let scope = match count.zone.is_empty() {
                true => "the fleet".to_owned(),
                false => format!("zone {}", count.zone),
            };
            text += &format!(
                "  {scope}: {} unavailable now, at most {} allowed\n",
                count.unavailable, count.limit
            );
        }
        let mut selected = units.iter().filter(|unit| plan.selects(unit));
        let violation = selected.find_map(|unit| counts.check_disruption(unit, budget).err());
        if let Some(violation) = violation {
            text += &format!("  limit that forbids a selected unit to drain now: {violation}\n");
        }
        text
    }
}
