//! What a plan would do.

use crate::coordination::disruption_budget::{
    DisruptionBudget, ServiceStatus, Unit, UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::rollout::{order_key, RolloutPlan};
use crate::coordination::Name;

/// Waves that are shown.
const MAX_SHOWN_WAVES: usize = 10_000;

/// The units of each wave of a plan, if all go and return as planned.
pub fn planned_waves(
    plan: &RolloutPlan,
    budget: &DisruptionBudget,
    units: &[Unit],
    sizes: &ZoneSizes,
) -> Vec<Vec<Name>> {
    let mut remaining = units_to_go(plan, units);
    let mut waves = Vec::new();
    while !remaining.is_empty() && waves.len() < MAX_SHOWN_WAVES {
        let size = plan.wave_size(waves.len() as u32) as usize;
        let wave = next_wave(&mut remaining, size, budget, units, sizes);
        if wave.is_empty() {
            break;
        }
        waves.push(wave);
    }
    waves
}

fn units_to_go<'a>(plan: &RolloutPlan, units: &'a [Unit]) -> Vec<&'a Unit> {
    let mut remaining: Vec<&Unit> = units
        .iter()
        .filter(|u| plan.selects(u) && u.status == ServiceStatus::InService)
        .collect();
    if plan.unit_kind == UnitKind::Dispatchers {
        remaining.retain(|u| u.label != plan.label);
    }
    remaining.sort_by_key(|u| order_key(&u.name));
    remaining
}

/// Takes a wave out of the remaining units, in as many parts as the budget makes of it.
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
        let before = wave.len();
        remaining.retain(|unit| {
            let goes = wave.len() < size && counts.check_disruption(unit, budget).is_ok();
            if goes {
                counts.mark_unavailable(unit);
                wave.push(unit.name.clone());
            }
            !goes
        });
        if wave.len() == before {
            break;
        }
    }
    wave
}
