//! The units that a rollout has still to take, and those that it has taken.

use super::inputs::ControllerInputs;
use crate::coordination::disruption_budget::{ServiceStatus, Unit, UnitKind};
use crate::coordination::rollout::{order_key, PermitId, Rollout};
use crate::coordination::Name;
use std::collections::BTreeSet;

/// Units that may be granted permits next.
#[derive(Debug, Default)]
pub(super) struct Candidates<'a> {
    /// In the order of the rollout.
    pub units: Vec<&'a Unit>,
    /// The first unit that is waited for, in words.
    pub waiting_for: Option<String>,
}

impl<'a> Candidates<'a> {
    /// The rollout's candidates. `forgotten`: permits that do not count, by an injected fault.
    pub fn of(
        inputs: &ControllerInputs<'a>,
        rollout: &Rollout,
        forgotten: &BTreeSet<PermitId>,
    ) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        let mut blocked_zones: BTreeSet<&str> = BTreeSet::new();
        let is_engines = rollout.plan.unit_kind == UnitKind::Engines;
        for unit in ordered_pending(inputs, rollout) {
            let permit = inputs
                .disruptions
                .permit_for(rollout.plan.unit_kind, &unit.name);
            let has_permit = permit.is_some_and(|(id, _)| !forgotten.contains(id));
            if has_permit || rollout.abandoned.contains_key(&unit.name) {
                continue;
            }
            if can_go(unit, rollout) {
                if !(is_engines && blocked_zones.contains(unit.zone.as_str())) {
                    candidates.units.push(unit);
                }
                continue;
            }
            // An engine that is not listed any more comes back as another.
            if is_engines && unit.status == ServiceStatus::OutOfService {
                continue;
            }
            if is_engines {
                // Guards against an engine that is passed over for good, as a zone's progress is one key: no engine
                // behind this one in the zone's order goes before it.
                blocked_zones.insert(&unit.zone);
            }
            candidates
                .waiting_for
                .get_or_insert_with(|| format!("{} is not ready", unit.name.0));
        }
        candidates
    }
}

/// The pending units in the order of the rollout; this dispatcher is the last.
fn ordered_pending<'a>(inputs: &ControllerInputs<'a>, rollout: &Rollout) -> Vec<&'a Unit> {
    let plan = &rollout.plan;
    let mut units: Vec<&Unit> = inputs
        .view
        .units(plan.unit_kind)
        .iter()
        .filter(|u| plan.selects(u) && is_pending(rollout, u))
        .collect();
    units.sort_by_key(|unit| {
        let key = order_key(&unit.name);
        let is_me = unit.name == *inputs.me && plan.unit_kind == UnitKind::Dispatchers;
        let place = match rollout.rolling_back {
            true => u64::MAX - key,
            false => key,
        };
        (is_me, place)
    });
    units
}

/// A unit in service can go. Rolling back, a dispatcher that is starting can too, as it is unavailable already; an
/// engine that is cold will be ready by itself.
fn can_go(unit: &Unit, rollout: &Rollout) -> bool {
    let is_dispatcher = rollout.plan.unit_kind == UnitKind::Dispatchers;
    let is_starting = unit.status == ServiceStatus::Starting;
    unit.status == ServiceStatus::InService
        || (rollout.rolling_back && is_dispatcher && is_starting)
}

/// Whether the rollout has still to take a unit, by what is seen of it.
fn is_pending(rollout: &Rollout, unit: &Unit) -> bool {
    let plan = &rollout.plan;
    if plan.unit_kind == UnitKind::Dispatchers {
        return match rollout.rolling_back {
            true => unit.label == plan.label,
            false => unit.label != plan.label,
        };
    }
    let progress = rollout.zone_progress.get(&unit.zone).copied();
    let passed = progress.is_some_and(|reached| order_key(&unit.name) <= reached);
    if rollout.rolling_back {
        return passed;
    }
    !passed || rollout.regrant.contains(&unit.name)
}

/// The units that run the rollout's new version, by what is seen of them.
pub(super) fn updated_units(
    rollout: &Rollout,
    units: &[Unit],
    has_permit: impl Fn(&Name) -> bool,
) -> BTreeSet<Name> {
    let plan = &rollout.plan;
    let is_updated = |u: &&Unit| match plan.unit_kind {
        UnitKind::Dispatchers => u.label == plan.label,
        UnitKind::Engines => !is_pending(rollout, u) && !has_permit(&u.name),
    };
    units
        .iter()
        .filter(|u| plan.selects(u))
        .filter(is_updated)
        .map(|u| u.name.clone())
        .collect()
}
