//! The replicated state of permits and of the rollout.

use super::permit::{DisruptionPermit, PermitId};
use super::plan::RolloutPlan;
use crate::coordination::disruption_budget::{DisruptionBudget, UnitKind, ZoneSizes};
use crate::coordination::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The current rollout, or the last finished rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rollout {
    /// The plan that the operator submitted. A rollback keeps the plan.
    pub plan: RolloutPlan,
    /// The limits on unavailable units, copied from the settings of the dispatcher that started the rollout.
    pub budget: DisruptionBudget,
    /// The dispatcher that received the operator's command to start the rollout.
    pub started_by: Name,
    /// Whether the rollout returns units to the previous label.
    pub rolling_back: bool,
    /// Whether the rollout has ended, either with all units updated or by an operator's command. A later rollback
    /// resets this flag.
    pub finished: bool,
    /// The current wave, counted from 0. A rollback starts again at wave 0.
    pub wave: u32,
    /// The number of permits that have been granted in the current wave. Revoked permits are not counted.
    pub granted_in_wave: u32,
    /// For each zone, the [`order_key`](super::order_key) up to which engines have been granted permits. Used for
    /// engines only, because an engine has no label that shows whether the engine has been updated.
    pub zone_progress: BTreeMap<String, u64>,
    /// Engines that need another permit although their zone's progress has passed them, because their permit was
    /// revoked.
    pub regrant: BTreeSet<Name>,
    /// Units that did not return as planned and need repair by an operator, each with the reason.
    pub abandoned: BTreeMap<Name, String>,
    /// The number of this rollout's permits whose units have returned as planned or were removed for good.
    pub completed: u32,
}

/// Permits, the current rollout, and the agreed number of units in each zone. A part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisruptionState {
    /// The number of permits ever granted. The next permit gets the following number.
    pub permits_granted: u64,
    /// Permits that are granted and neither completed, revoked nor abandoned.
    pub permits: BTreeMap<PermitId, DisruptionPermit>,
    /// The current rollout, or the last finished rollout. None before the first rollout.
    pub rollout: Option<Box<Rollout>>,
    /// The reason for the current halt. None while permits are not halted.
    pub halted: Option<String>,
    /// The number of times that operators have ended a halt with a resume command or started a rollback. Each increase
    /// restarts the timeouts of all permits.
    pub resume_count: u64,
    /// The agreed number of dispatchers in each zone. The number rises when more dispatchers are seen. Only an
    /// operator's command lowers the number, because a missing dispatcher may have failed.
    pub dispatcher_sizes: ZoneSizes,
    /// The agreed number of engines in each zone, maintained like `dispatcher_sizes`.
    pub engine_sizes: ZoneSizes,
    /// The last [`MAX_NOTES`] records of operators' actions on single dispatchers without the fleet's agreement.
    pub notes: Vec<String>,
}

/// Why a step or a command does not apply to the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutError {
    /// Permits are halted, the rollout is finished, or there is no rollout of the permit's kind of units.
    Stopped,
    /// Another rollout is unfinished.
    RolloutInProgress,
    /// The requested change is already in effect.
    AlreadyInEffect,
    /// The permit, rollout or halt that the change refers to does not exist.
    NothingToChange,
    /// The change would exceed the disruption budget or the maximum size of the state.
    LimitReached,
}

/// The maximum number of granted permits at a time. A permit takes about 80 bytes, so this limit keeps the replicated
/// state small.
pub const MAX_PERMITS: usize = 256;
/// The maximum number of abandoned units that a rollout lists by name. If the list is full, the rollout halts instead
/// of abandoning one more unit.
pub const MAX_ABANDONED: usize = 64;
/// The maximum number of stored notes. A further note replaces the oldest.
pub const MAX_NOTES: usize = 8;
/// The maximum number of items in each list of a plan: names, zones, cells and kinds.
pub const MAX_NAMES: usize = 256;

impl DisruptionState {
    /// Whether the state equals the state of a new fleet: no permit, rollout, halt, zone size or note.
    pub fn is_empty(&self) -> bool {
        *self == DisruptionState::default()
    }

    /// The agreed number of dispatchers, or of engines, in each zone.
    pub fn zone_sizes(&self, unit_kind: UnitKind) -> &ZoneSizes {
        if unit_kind == UnitKind::Engines {
            &self.engine_sizes
        } else {
            &self.dispatcher_sizes
        }
    }

    pub(super) fn zone_sizes_mut(&mut self, unit_kind: UnitKind) -> &mut ZoneSizes {
        if unit_kind == UnitKind::Engines {
            &mut self.engine_sizes
        } else {
            &mut self.dispatcher_sizes
        }
    }

    /// The current rollout, even while permits are halted. None if there is no rollout or the rollout is finished.
    pub fn unfinished_rollout(&self) -> Option<&Rollout> {
        self.rollout.as_deref().filter(|rollout| !rollout.finished)
    }

    pub(super) fn unfinished_rollout_mut(&mut self) -> Option<&mut Rollout> {
        self.rollout
            .as_deref_mut()
            .filter(|rollout| !rollout.finished)
    }

    /// The current rollout. None if there is no rollout, the rollout is finished or permits are halted.
    pub fn running_rollout(&self) -> Option<&Rollout> {
        self.unfinished_rollout().filter(|_| self.halted.is_none())
    }

    /// Whether there is a granted permit or an unfinished rollout.
    pub fn is_active(&self) -> bool {
        !self.permits.is_empty() || self.unfinished_rollout().is_some()
    }

    /// The granted permit of a unit. None if the unit has no permit.
    pub fn permit_for(
        &self,
        unit_kind: UnitKind,
        unit: &Name,
    ) -> Option<(&PermitId, &DisruptionPermit)> {
        self.permits
            .iter()
            .find(|(_, permit)| permit.unit_kind == unit_kind && permit.unit == *unit)
    }

    pub(super) fn halt(&mut self, reason: &str) -> Result<(), RolloutError> {
        if self.halted.is_some() {
            return Err(RolloutError::AlreadyInEffect);
        }
        self.halted = Some(reason.to_owned());
        Ok(())
    }
}
