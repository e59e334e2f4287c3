//! A dry run of a plan: the waves that a rollout would consist of.

use crate::coordination::disruption_budget::{
    DisruptionBudget, ServiceStatus, Unit, UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::rollout::{order_key, RolloutPlan};
use crate::coordination::Name;

/// The maximum number of waves that a dry run computes.
const MAX_DRY_RUN_WAVES: usize = 10_000;

/// Computes the units of each wave of a plan, assuming that every unit drains and returns as planned.
///
/// The list ends early if the budget allows no further unit to drain, or after 10 000 waves.
pub fn planned_waves(
    plan: &RolloutPlan,
    budget: &DisruptionBudget,
    units: &[Unit],
    sizes: &ZoneSizes,
) -> Vec<Vec<Name>> {
    let mut remaining = units_to_update(plan, units);
    let mut waves = Vec::new();
    while !remaining.is_empty() && waves.len() < MAX_DRY_RUN_WAVES {
        let size = plan.wave_size(waves.len() as u32) as usize;
        let wave = next_wave(&mut remaining, size, budget, units, sizes);
        if wave.is_empty() {
            break;
        }
        waves.push(wave);
    }
    waves
}

fn units_to_update<'a>(plan: &RolloutPlan, units: &'a [Unit]) -> Vec<&'a Unit> {
    let mut remaining: Vec<&Unit> = units
        .iter()
        .filter(|unit| plan.selects(unit) && unit.status == ServiceStatus::InService)
        .collect();
    if plan.unit_kind == UnitKind::Dispatchers {
        remaining.retain(|unit| unit.label != plan.label);
    }
    remaining.sort_by_key(|unit| order_key(&unit.name));
    remaining
}

/// Removes the units of one wave from the remaining units. If the budget does not allow all units of the wave to drain
/// at the same time, the wave consists of several groups that drain one after another.
fn next_wave(
    remaining: &mut Vec<&Unit>,
    size: usize,
    budget: &DisruptionBudget,
    units: &[Unit],
    sizes: &ZoneSizes,
) -> Vec<Name> {
    let mut wave: Vec<Name> = Vec::new();
    while wave.len() < size && !remaining.is_empty() {
        let mut counts = UnitCounts::new(units.iter(), sizes, budget, |_| false);
        let previous_size = wave.len();
        remaining.retain(|unit| {
            let is_granted = wave.len() < size && counts.check_disruption(unit, budget).is_ok();
            if is_granted {
                counts.mark_unavailable(unit);
                wave.push(unit.name.clone());
            }
            !is_granted
        });
        if wave.len() == previous_size {
            break;
        }
    }
    wave
}
