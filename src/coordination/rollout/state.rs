//! What the fleet agreed on about units out of service.

use super::permit::{DisruptionPermit, PermitId};
use super::plan::RolloutPlan;
use crate::coordination::disruption_budget::{DisruptionBudget, UnitKind, ZoneSizes};
use crate::coordination::Name;
use std::collections::{BTreeMap, BTreeSet};

/// A rollout under way, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rollout {
    /// The operator's plan.
    pub plan: RolloutPlan,
    /// The limits that it stays within.
    pub budget: DisruptionBudget,
    /// The dispatcher that passed the operator's command on.
    pub started_by: Name,
    /// It brings units back to the previous label.
    pub rolling_back: bool,
    /// It is over.
    pub finished: bool,
    /// The current wave, counted from 0.
    pub wave: u32,
    /// Permits that the current wave has granted.
    pub granted_in_wave: u32,
    /// How far each zone has come, by [`order_key`](super::order_key). Engines only: they carry no label that would show
    /// whether they have been out.
    pub zone_progress: BTreeMap<String, u64>,
    /// Engines behind their zone's progress that are to go again, as their permit was revoked.
    pub regrant: BTreeSet<Name>,
    /// Units that did not come back as they should, left for operators, with the reason in words.
    pub abandoned: BTreeMap<Name, String>,
    /// Permits that are complete.
    pub completed: u32,
}

/// Permits, the rollout, and the sizes of the fleet; a part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisruptionState {
    /// Permits granted so far.
    pub permits_granted: u64,
    /// Permits that are granted and not complete.
    pub permits: BTreeMap<PermitId, DisruptionPermit>,
    /// The rollout under way, or the last one.
    pub rollout: Option<Box<Rollout>>,
    /// Why no permit is granted until an operator resumes, in words.
    pub halted: Option<String>,
    /// How often an operator resumed: timeouts of permits start anew with each.
    pub resume_count: u64,
    /// Dispatchers of each zone. Counted up as they are seen, and down by an operator's command alone, as a unit that
    /// is missing may have failed.
    pub dispatcher_sizes: ZoneSizes,
    /// Engines of each zone, counted like dispatchers.
    pub engine_sizes: ZoneSizes,
    /// What operators did by hand without agreement; the last [`MAX_NOTES`].
    pub notes: Vec<String>,
}

/// Why a step or a command does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutError {
    /// Nothing may go: halted, finished, or no such rollout.
    Stopped,
    /// Another rollout is not finished.
    Busy,
    /// The state is like that already.
    AlreadySo,
    /// There is nothing that it applies to.
    Nothing,
    /// The budget or the state has no room.
    NoRoom,
}

/// Permits at once; keeps the replicated state small, at some 80 bytes a permit.
pub const MAX_PERMITS: usize = 256;
/// Abandoned units that a rollout names.
pub const MAX_ABANDONED: usize = 64;
/// Notes that are stored.
pub const MAX_NOTES: usize = 8;
/// Units that a plan may name.
pub const MAX_NAMES: usize = 256;

impl DisruptionState {
    /// Whether there is nothing in it at all.
    pub fn is_empty(&self) -> bool {
        *self == DisruptionState::default()
    }

    /// The agreed sizes of the zones, in units of a kind.
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

    /// The rollout, unless it is finished.
    pub fn unfinished(&self) -> Option<&Rollout> {
        self.rollout.as_deref().filter(|r| !r.finished)
    }

    pub(super) fn unfinished_mut(&mut self) -> Option<&mut Rollout> {
        self.rollout.as_deref_mut().filter(|r| !r.finished)
    }

    /// The rollout, unless it is finished or halted.
    pub fn running(&self) -> Option<&Rollout> {
        self.unfinished().filter(|_| self.halted.is_none())
    }

    /// Whether there are permits or an unfinished rollout to look after.
    pub fn is_active(&self) -> bool {
        !self.permits.is_empty() || self.unfinished().is_some()
    }

    /// The permit of a unit, if it has one.
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
            return Err(RolloutError::AlreadySo);
        }
        self.halted = Some(reason.to_owned());
        Ok(())
    }
}
