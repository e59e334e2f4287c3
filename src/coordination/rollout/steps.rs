//! The membership leader's steps.

use super::permit::{DisruptionPermit, PermitId};
use super::plan::order_key;
use super::state::{DisruptionState, Rollout, RolloutError, MAX_ABANDONED, MAX_PERMITS};
use crate::coordination::disruption_budget::{DisruptionBudget, UnitKind, ZoneSizes};
use crate::coordination::fault_injection::{is_injected, InjectedFault};

/// A change that the membership leader makes in its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutStep {
    /// Grants permits.
    Grant(Vec<DisruptionPermit>),
    /// The units are back as they should be, or gone for good.
    Complete(Vec<PermitId>),
    /// The units surely have not begun to go and will not: they may get permits again.
    Revoke(Vec<PermitId>),
    /// Rolling back, a unit that came back wrong gets its permit anew, for the process that it is now.
    Reissue(PermitId, DisruptionPermit),
    /// A unit is left for operators, with the reason in words.
    Abandon(PermitId, String),
    /// The next wave begins.
    NextWave,
    /// The rollout is finished.
    Finish,
    /// No permit is granted until an operator resumes; with the reason in words.
    Halt(String),
    /// Zones are larger than was agreed.
    RecordSizes(UnitKind, ZoneSizes),
}

impl DisruptionState {
    /// Applies a step of the membership leader.
    ///
    /// # Errors
    /// Why it does not count; the state is of no use then, as a part of the step may be applied.
    pub fn apply_step(&mut self, step: &RolloutStep) -> Result<(), RolloutError> {
        match step {
            RolloutStep::Grant(permits) => permits.iter().try_for_each(|permit| self.grant(permit)),
            RolloutStep::Complete(ids) => self.remove_permits(ids, DisruptionState::completed),
            RolloutStep::Revoke(ids) => self.remove_permits(ids, DisruptionState::revoked),
            RolloutStep::Reissue(id, permit) => self.reissue(*id, permit),
            RolloutStep::Abandon(id, reason) => self.abandon(*id, reason),
            RolloutStep::NextWave => self.next_wave(),
            RolloutStep::Finish => self.finish(),
            RolloutStep::Halt(reason) => self.halt(reason),
            RolloutStep::RecordSizes(unit_kind, sizes) => {
                self.record_sizes(*unit_kind, sizes);
                Ok(())
            }
        }
    }

    fn grant(&mut self, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        if self.halted.is_some() {
            return Err(RolloutError::Stopped);
        }
        let has_permit = self.permit_for(permit.unit_kind, &permit.unit).is_some();
        if has_permit && !is_injected(InjectedFault::TurnTwice) {
            return Err(RolloutError::AlreadySo);
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(RolloutError::NoRoom);
        }
        if permit.planned {
            self.check_budget(permit)?;
        }
        self.permits_granted += 1;
        self.permits
            .insert(PermitId(self.permits_granted), permit.clone());
        if let Some(rollout) = self.rollout.as_deref_mut().filter(|_| permit.planned) {
            rollout.record_grant(permit);
        }
        Ok(())
    }

    /// Guards against a membership leader with a stale view, which would show as more planned permits in a zone than
    /// its limit: all permits are counted here once more, against the agreed sizes, so that no view can exceed it.
    fn check_budget(&self, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        let rollout = self
            .unfinished()
            .filter(|r| r.plan.unit_kind == permit.unit_kind)
            .ok_or(RolloutError::Stopped)?;
        let unchecked = is_injected(InjectedFault::BackUnbound)
            || is_injected(InjectedFault::TurnTwice)
            || is_injected(InjectedFault::BeginsAnew);
        if self.is_used_up(&rollout.budget, permit) && !unchecked {
            return Err(RolloutError::NoRoom);
        }
        Ok(())
    }

    fn is_used_up(&self, budget: &DisruptionBudget, permit: &DisruptionPermit) -> bool {
        let sizes = self.zone_sizes(permit.unit_kind);
        let fleet_size = sizes.values().sum();
        let zone_size = sizes.get(&permit.zone).copied().unwrap_or_default();
        let same_kind = || {
            let permits = self.permits.values();
            permits.filter(|granted| granted.unit_kind == permit.unit_kind)
        };
        let in_fleet = same_kind().count() as u32;
        let in_zone = same_kind().filter(|g| g.zone == permit.zone).count() as u32;
        in_fleet >= budget.fleet.limit_for(fleet_size)
            || in_zone >= budget.zone.limit_for(zone_size)
    }

    fn remove_permits(
        &mut self,
        ids: &[PermitId],
        each: impl Fn(&mut DisruptionState, DisruptionPermit),
    ) -> Result<(), RolloutError> {
        let mut any = false;
        for id in ids {
            if let Some(permit) = self.permits.remove(id) {
                each(self, permit);
                any = true;
            }
        }
        any.then_some(()).ok_or(RolloutError::Nothing)
    }

    fn completed(&mut self, permit: DisruptionPermit) {
        if permit.permanent {
            // Gone for good by an operator's command: it is not missing.
            let sizes = self.zone_sizes_mut(permit.unit_kind);
            if let Some(size) = sizes.get_mut(&permit.zone) {
                *size = size.saturating_sub(1);
            }
        }
        if let Some(rollout) = self.rollout.as_deref_mut().filter(|_| permit.planned) {
            rollout.completed += 1;
        }
    }

    fn revoked(&mut self, permit: DisruptionPermit) {
        let Some(rollout) = self.unfinished_mut().filter(|_| permit.planned) else {
            return;
        };
        rollout.granted_in_wave = rollout.granted_in_wave.saturating_sub(1);
        if permit.unit_kind == UnitKind::Engines {
            rollout.regrant.insert(permit.unit);
        }
    }

    fn reissue(&mut self, id: PermitId, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        let rolling_back = self.unfinished().is_some_and(|r| r.rolling_back);
        let halted = self.halted.is_some();
        let known = self.permits.get_mut(&id).ok_or(RolloutError::Nothing)?;
        if !rolling_back || halted || known.unit != permit.unit {
            return Err(RolloutError::Stopped);
        }
        *known = permit.clone();
        Ok(())
    }

    fn abandon(&mut self, id: PermitId, reason: &str) -> Result<(), RolloutError> {
        let permit = self.permits.remove(&id).ok_or(RolloutError::Nothing)?;
        let rollout = self.rollout.as_deref_mut().ok_or(RolloutError::Nothing)?;
        if rollout.abandoned.len() >= MAX_ABANDONED {
            return Err(RolloutError::NoRoom);
        }
        rollout.abandoned.insert(permit.unit, reason.to_owned());
        Ok(())
    }

    fn next_wave(&mut self) -> Result<(), RolloutError> {
        let rollout = self.unfinished_mut().ok_or(RolloutError::Stopped)?;
        rollout.wave += 1;
        rollout.granted_in_wave = 0;
        Ok(())
    }

    fn finish(&mut self) -> Result<(), RolloutError> {
        let any_planned = self.permits.values().any(|permit| permit.planned);
        let rollout = self
            .unfinished_mut()
            .filter(|_| !any_planned)
            .ok_or(RolloutError::Stopped)?;
        rollout.finished = true;
        Ok(())
    }

    fn record_sizes(&mut self, unit_kind: UnitKind, sizes: &ZoneSizes) {
        let known = self.zone_sizes_mut(unit_kind);
        for (zone, size) in sizes {
            let largest = known.entry(zone.clone()).or_default();
            *largest = (*largest).max(*size);
        }
    }
}

impl Rollout {
    fn record_grant(&mut self, permit: &DisruptionPermit) {
        self.granted_in_wave += 1;
        self.regrant.remove(&permit.unit);
        if permit.unit_kind == UnitKind::Engines {
            self.record_zone_progress(permit);
        }
    }

    /// Forward a zone has come to this engine; rolling back it has come to just before it.
    fn record_zone_progress(&mut self, permit: &DisruptionPermit) {
        let key = order_key(&permit.unit);
        let progress = match self.rolling_back {
            true => key.saturating_sub(1),
            false => key,
        };
        let reached = self
            .zone_progress
            .entry(permit.zone.clone())
            .or_insert(progress);
        *reached = match self.rolling_back {
            true => (*reached).min(progress),
            false => (*reached).max(progress),
        };
    }
}
