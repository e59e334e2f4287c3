//! The plan of a rollout, as an operator submits it.

use crate::coordination::disruption_budget::{Unit, UnitKind};
use crate::coordination::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The units that a rollout updates, the sizes of its waves, and the timeouts of each unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    /// The name that the operator gave to the rollout. Shown in the rollout's status.
    pub name: String,
    /// Whether the rollout updates dispatchers or engines.
    pub unit_kind: UnitKind,
    /// The label that units must have after their restart. A dispatcher that has this label already is not updated.
    pub label: String,
    /// The label of the units before the rollout. A rollback returns units to this label.
    pub previous_label: String,
    /// Zones whose units are updated. An empty list selects all zones.
    pub zones: Vec<String>,
    /// Cells whose units are updated. An empty list selects all cells.
    pub cells: Vec<String>,
    /// Kinds of hardware or build whose units are updated. An empty list selects all kinds.
    pub kinds: Vec<String>,
    /// Names of the units that are updated. An empty list selects all units.
    pub names: Vec<Name>,
    /// Whether units are removed for good instead of restarted.
    pub permanent: bool,
    /// Size of the first wave, in units.
    pub first_wave_size: u32,
    /// Ratio of a wave's size to the size of the previous wave, in thousandths.
    pub wave_growth_per_mille: u32,
    /// How long the outcomes of updated units are observed between two waves, in milliseconds.
    pub observe_ms: u64,
    /// How long a restarted unit must stay ready before its permit is complete, in milliseconds.
    pub settle_ms: u64,
    /// How long a unit may take to begin draining, in milliseconds from its permit.
    pub start_timeout_ms: u64,
    /// How long a unit may take to be ready again, in milliseconds from its permit.
    pub return_timeout_ms: u64,
}

/// The wave, counted from 0, from which on the wave size no longer grows. A wave size that has grown this often exceeds
/// the size of any fleet.
const MAX_GROWTH_STEPS: u32 = 64;

impl RolloutPlan {
    /// Whether the plan selects a unit: the unit matches each list that is not empty.
    pub fn selects(&self, unit: &Unit) -> bool {
        let matches = |list: &[String], value: &str| {
            list.is_empty() || list.iter().any(|entry| entry == value)
        };
        matches(&self.zones, &unit.zone)
            && matches(&self.cells, &unit.cell)
            && matches(&self.kinds, &unit.kind)
            && (self.names.is_empty() || self.names.contains(&unit.name))
    }

    /// The maximum number of units in a wave. Waves are counted from 0.
    pub fn wave_size(&self, wave: u32) -> u32 {
        let growth = f64::from(self.wave_growth_per_mille) / 1000.0;
        let size = f64::from(self.first_wave_size) * growth.powi(wave.min(MAX_GROWTH_STEPS) as i32);
        size.ceil().min(f64::from(u32::MAX)) as u32
    }
}

/// A unit's sort key in the order of a rollout: a hash of the unit's name.
///
/// The hash spreads consecutive units over zones and cells. Every membership leader computes the same order, also after
/// the fleet has grown.
pub fn order_key(name: &Name) -> u64 {
    xxh3_64(name.0.as_bytes())
}
