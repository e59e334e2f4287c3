//! An operator's plan of a rollout.

use crate::coordination::disruption_budget::{Unit, UnitKind};
use crate::coordination::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Which units go, in which waves, and how long they may take.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    /// The operators' name for the rollout.
    pub name: String,
    /// The kind of unit that goes.
    pub unit_kind: UnitKind,
    /// The label that units come back under.
    pub label: String,
    /// The label that they had before, for a roll-back.
    pub previous_label: String,
    /// Zones that are selected; empty: all.
    pub zones: Vec<String>,
    /// Cells that are selected; empty: all.
    pub cells: Vec<String>,
    /// Kinds that are selected; empty: all.
    pub kinds: Vec<String>,
    /// Units that are selected; empty: all.
    pub names: Vec<Name>,
    /// Units that go do not come back.
    pub permanent: bool,
    /// Units of the first wave.
    pub first_wave_size: u32,
    /// The size of a wave over the one before, in thousandths.
    pub wave_growth_per_mille: u32,
    /// How long the units are observed between two waves, in milliseconds.
    pub observe_ms: u64,
    /// How long a unit has to be back and ready before its permit is complete, in milliseconds.
    pub settle_ms: u64,
    /// Within this a unit has to begin to go, in milliseconds from its permit.
    pub start_timeout_ms: u64,
    /// Within this a unit has to be back, in milliseconds from its permit.
    pub return_timeout_ms: u64,
}

/// Waves beyond this one are no larger: a size that has grown this often is above any fleet.
const MAX_GROWTH_STEPS: u32 = 64;

impl RolloutPlan {
    /// Whether the plan selects a unit.
    pub fn selects(&self, unit: &Unit) -> bool {
        let has = |list: &[String], value: &str| {
            list.is_empty() || list.iter().any(|entry| entry == value)
        };
        has(&self.zones, &unit.zone)
            && has(&self.cells, &unit.cell)
            && has(&self.kinds, &unit.kind)
            && (self.names.is_empty() || self.names.contains(&unit.name))
    }

    /// The size of a wave in units; waves are counted from 0.
    pub fn wave_size(&self, wave: u32) -> u32 {
        let growth = f64::from(self.wave_growth_per_mille) / 1000.0;
        let size = f64::from(self.first_wave_size) * growth.powi(wave.min(MAX_GROWTH_STEPS) as i32);
        size.ceil().min(f64::from(u32::MAX)) as u32
    }
}

/// A unit's place in the order of a rollout: a hash of its name, which spreads the order over zones and cells and is the
/// same for each membership leader, however the fleet grows.
pub fn order_key(name: &Name) -> u64 {
    xxh3_64(name.0.as_bytes())
}
