//! Determines the units that a rollout updates next, and the units that the rollout has already updated.

use super::inputs::ControllerInputs;
use crate::coordination::disruption_budget::{ServiceStatus, Unit, UnitKind};
use crate::coordination::rollout::{order_key, PermitId, Rollout};
use crate::coordination::Name;
use std::collections::BTreeSet;

/// Units that may get permits next, before the limits of the budget are checked.
#[derive(Debug, Default)]
pub(super) struct Candidates<'a> {
    /// The units that may get permits, in the order of the rollout.
    pub units: Vec<&'a Unit>,
    /// A message that names the first unit for which the rollout waits because the unit is not ready. None if the
    /// rollout waits for no such unit.
    pub waiting_for: Option<String>,
}

impl<'a> Candidates<'a> {
    /// Collects the candidates of a rollout. `forgotten` contains the permits that an injected fault hides from the
    /// rollout.
    pub fn collect(
        inputs: &ControllerInputs<'a>,
        rollout: &Rollout,
        forgotten: &BTreeSet<PermitId>,
    ) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        let mut blocked_zones: BTreeSet<&str> = BTreeSet::new();
        let updates_engines = rollout.plan.unit_kind == UnitKind::Engines;
        for unit in ordered_pending(inputs, rollout) {
            let permit = inputs
                .disruptions
                .permit_for(rollout.plan.unit_kind, &unit.name);
            let has_permit = permit.is_some_and(|(id, _)| !forgotten.contains(id));
            if has_permit || rollout.abandoned.contains_key(&unit.name) {
                continue;
            }
            if may_get_permit(unit, rollout) {
                if !(updates_engines && blocked_zones.contains(unit.zone.as_str())) {
                    candidates.units.push(unit);
                }
                continue;
            }
            // An engine that is no longer listed returns under a new name, so the rollout does not wait for it.
            if updates_engines && unit.status == ServiceStatus::OutOfService {
                continue;
            }
            if updates_engines {
                // A zone's progress is a single key. If a later engine of the zone got its permit first, the progress
                // would pass this engine and the rollout would never update it.
                blocked_zones.insert(&unit.zone);
            }
            candidates
                .waiting_for
                .get_or_insert_with(|| format!("{} is not ready", unit.name.0));
        }
        candidates
    }
}

/// The units that the rollout has not updated yet, in the order of the rollout. The leader's own dispatcher is last.
fn ordered_pending<'a>(inputs: &ControllerInputs<'a>, rollout: &Rollout) -> Vec<&'a Unit> {
    let plan = &rollout.plan;
    let mut units: Vec<&Unit> = inputs
        .view
        .units(plan.unit_kind)
        .iter()
        .filter(|unit| plan.selects(unit) && is_pending(rollout, unit))
        .collect();
    units.sort_by_key(|unit| {
        let key = order_key(&unit.name);
        let is_own_dispatcher =
            unit.name == *inputs.leader_name && plan.unit_kind == UnitKind::Dispatchers;
        let position = match rollout.rolling_back {
            true => u64::MAX - key,
            false => key,
        };
        (is_own_dispatcher, position)
    });
    units
}

/// Whether a unit's status allows a permit. A unit in service may get a permit. During a rollback a starting dispatcher
/// may get a permit too, because it is already unavailable. A starting engine gets none, because a cold engine becomes
/// ready by itself.
fn may_get_permit(unit: &Unit, rollout: &Rollout) -> bool {
    let is_dispatcher = rollout.plan.unit_kind == UnitKind::Dispatchers;
    let is_starting = unit.status == ServiceStatus::Starting;
    unit.status == ServiceStatus::InService
        || (rollout.rolling_back && is_dispatcher && is_starting)
}

/// Whether the rollout has not updated a unit yet, according to the unit's label or its zone's progress.
fn is_pending(rollout: &Rollout, unit: &Unit) -> bool {
    let plan = &rollout.plan;
    if plan.unit_kind == UnitKind::Dispatchers {
        return match rollout.rolling_back {
            true => unit.label == plan.label,
            false => unit.label != plan.label,
        };
    }
    let progress = rollout.zone_progress.get(&unit.zone).copied();
    let is_passed = progress.is_some_and(|progress| order_key(&unit.name) <= progress);
    if rollout.rolling_back {
        return is_passed;
    }
    !is_passed || rollout.regrant.contains(&unit.name)
}

/// The names of the selected units that run the rollout's new version, according to label or zone progress.
pub(super) fn updated_units(
    rollout: &Rollout,
    units: &[Unit],
    has_permit: impl Fn(&Name) -> bool,
) -> BTreeSet<Name> {
    let plan = &rollout.plan;
    let is_updated = |unit: &&Unit| match plan.unit_kind {
        UnitKind::Dispatchers => unit.label == plan.label,
        UnitKind::Engines => !is_pending(rollout, unit) && !has_permit(&unit.name),
    };
    units
        .iter()
        .filter(|unit| plan.selects(unit))
        .filter(is_updated)
        .map(|unit| unit.name.clone())
        .collect()
}
