//! Steps by which the membership leader grants, completes and revokes permits and advances a rollout.

use super::permit::{DisruptionPermit, PermitId};
use super::plan::order_key;
use super::state::{DisruptionState, Rollout, RolloutError, MAX_ABANDONED, MAX_PERMITS};
use crate::coordination::disruption_budget::{DisruptionBudget, UnitKind, ZoneSizes};
use crate::coordination::fault_injection::{is_injected, InjectedFault};

/// A change of the replicated state that the membership leader proposes, with the term of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutStep {
    /// Grants permits to units. Does not apply while permits are halted or if the budget of the rollout is used up.
    Grant(Vec<DisruptionPermit>),
    /// Completes permits whose units have returned as planned, or have been removed for good.
    Complete(Vec<PermitId>),
    /// Withdraws permits whose units have confirmed that they have not begun to drain and will not begin on these
    /// permits. The units may get new permits.
    Revoke(Vec<PermitId>),
    /// During a rollback, replaces the permit of a unit that restarted under the new version by a permit for its
    /// current process.
    Reissue(PermitId, DisruptionPermit),
    /// Removes the permit of a unit that did not return as planned, and lists the unit for operators. Carries the
    /// reason.
    Abandon(PermitId, String),
    /// Begins the next wave, in which no permit is granted yet.
    NextWave,
    /// Marks the rollout as finished. Does not apply while the rollout has granted permits.
    Finish,
    /// Stops the granting of permits until an operator ends the halt. Carries the reason.
    Halt(String),
    /// Raises the agreed zone sizes to the numbers of units that the leader sees. Never lowers a size.
    RecordSizes(UnitKind, ZoneSizes),
}

impl DisruptionState {
    /// Applies a step of the membership leader.
    ///
    /// # Errors
    /// Returns the reason why the step does not apply. The caller must discard the state in that case, because a part
    /// of the step may have been applied.
    pub fn apply_step(&mut self, step: &RolloutStep) -> Result<(), RolloutError> {
        match step {
            RolloutStep::Grant(permits) => permits.iter().try_for_each(|permit| self.grant(permit)),
            RolloutStep::Complete(ids) => {
                self.remove_permits(ids, DisruptionState::apply_completion)
            }
            RolloutStep::Revoke(ids) => self.remove_permits(ids, DisruptionState::apply_revocation),
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
            return Err(RolloutError::AlreadyInEffect);
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(RolloutError::LimitReached);
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

    /// Checks that all permits together stay within the limits of the fleet and of the zone, for the agreed zone sizes.
    ///
    /// The check uses the replicated state only. Without it, a membership leader with a stale view could grant more
    /// planned permits in a zone than the zone's limit.
    fn check_budget(&self, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        let rollout = self
            .unfinished_rollout()
            .filter(|rollout| rollout.plan.unit_kind == permit.unit_kind)
            .ok_or(RolloutError::Stopped)?;
        let skips_check = is_injected(InjectedFault::BackUnbound)
            || is_injected(InjectedFault::TurnTwice)
            || is_injected(InjectedFault::BeginsAnew);
        if self.exhausts_budget(&rollout.budget, permit) && !skips_check {
            return Err(RolloutError::LimitReached);
        }
        Ok(())
    }

    fn exhausts_budget(&self, budget: &DisruptionBudget, permit: &DisruptionPermit) -> bool {
        let sizes = self.zone_sizes(permit.unit_kind);
        let fleet_size = sizes.values().sum();
        let zone_size = sizes.get(&permit.zone).copied().unwrap_or_default();
        let permits_of_kind = || {
            let permits = self.permits.values();
            permits.filter(|granted| granted.unit_kind == permit.unit_kind)
        };
        let granted_in_fleet = permits_of_kind().count() as u32;
        let granted_in_zone = permits_of_kind()
            .filter(|granted| granted.zone == permit.zone)
            .count() as u32;
        granted_in_fleet >= budget.fleet.limit_for(fleet_size)
            || granted_in_zone >= budget.zone.limit_for(zone_size)
    }

    fn remove_permits(
        &mut self,
        ids: &[PermitId],
        on_removed: impl Fn(&mut DisruptionState, DisruptionPermit),
    ) -> Result<(), RolloutError> {
        let mut any_removed = false;
        for id in ids {
            if let Some(permit) = self.permits.remove(id) {
                on_removed(self, permit);
                any_removed = true;
            }
        }
        any_removed
            .then_some(())
            .ok_or(RolloutError::NothingToChange)
    }

    fn apply_completion(&mut self, permit: DisruptionPermit) {
        if permit.permanent {
            // An operator removed the unit for good, so the unit must not count as missing.
            let sizes = self.zone_sizes_mut(permit.unit_kind);
            if let Some(size) = sizes.get_mut(&permit.zone) {
                *size = size.saturating_sub(1);
            }
        }
        if let Some(rollout) = self.rollout.as_deref_mut().filter(|_| permit.planned) {
            rollout.completed += 1;
        }
    }

    fn apply_revocation(&mut self, permit: DisruptionPermit) {
        let Some(rollout) = self.unfinished_rollout_mut().filter(|_| permit.planned) else {
            return;
        };
        rollout.granted_in_wave = rollout.granted_in_wave.saturating_sub(1);
        if permit.unit_kind == UnitKind::Engines {
            rollout.regrant.insert(permit.unit);
        }
    }

    fn reissue(&mut self, id: PermitId, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        let rolling_back = self
            .unfinished_rollout()
            .is_some_and(|rollout| rollout.rolling_back);
        let halted = self.halted.is_some();
        let reissued = self
            .permits
            .get_mut(&id)
            .ok_or(RolloutError::NothingToChange)?;
        if !rolling_back || halted || reissued.unit != permit.unit {
            return Err(RolloutError::Stopped);
        }
        *reissued = permit.clone();
        Ok(())
    }

    fn abandon(&mut self, id: PermitId, reason: &str) -> Result<(), RolloutError> {
        let permit = self
            .permits
            .remove(&id)
            .ok_or(RolloutError::NothingToChange)?;
        let rollout = self
            .rollout
            .as_deref_mut()
            .ok_or(RolloutError::NothingToChange)?;
        if rollout.abandoned.len() >= MAX_ABANDONED {
            return Err(RolloutError::LimitReached);
        }
        rollout.abandoned.insert(permit.unit, reason.to_owned());
        Ok(())
    }

    fn next_wave(&mut self) -> Result<(), RolloutError> {
        let rollout = self.unfinished_rollout_mut().ok_or(RolloutError::Stopped)?;
        rollout.wave += 1;
        rollout.granted_in_wave = 0;
        Ok(())
    }

    fn finish(&mut self) -> Result<(), RolloutError> {
        let has_planned_permits = self.permits.values().any(|permit| permit.planned);
        let rollout = self
            .unfinished_rollout_mut()
            .filter(|_| !has_planned_permits)
            .ok_or(RolloutError::Stopped)?;
        rollout.finished = true;
        Ok(())
    }

    fn record_sizes(&mut self, unit_kind: UnitKind, sizes: &ZoneSizes) {
        let agreed = self.zone_sizes_mut(unit_kind);
        for (zone, size) in sizes {
            let largest = agreed.entry(zone.clone()).or_default();
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

    /// Moves the zone's progress to the engine that gets the permit, or during a rollback to just before that engine.
    fn record_zone_progress(&mut self, permit: &DisruptionPermit) {
        let key = order_key(&permit.unit);
        let progress = match self.rolling_back {
            true => key.saturating_sub(1),
            false => key,
        };
        let zone_progress = self
            .zone_progress
            .entry(permit.zone.clone())
            .or_insert(progress);
        *zone_progress = match self.rolling_back {
            true => (*zone_progress).min(progress),
            false => (*zone_progress).max(progress),
        };
    }
}
