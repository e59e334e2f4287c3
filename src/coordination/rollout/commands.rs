//! Commands by which operators start, halt, resume, roll back and end rollouts.

use super::state::{DisruptionState, Rollout, RolloutError, MAX_NOTES};
use crate::coordination::disruption_budget::{UnitKind, ZoneSizes};

/// A change of the replicated state that an operator requests. Any dispatcher accepts the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    /// Starts a rollout. Refused while another rollout is unfinished or permits are halted.
    Start(Box<Rollout>),
    /// Stops the granting of permits until an operator ends the halt. Carries the operator's reason.
    Halt(String),
    /// Ends a halt and restarts the timeouts of all permits.
    Resume,
    /// Returns updated units to the plan's previous label, and ends a halt.
    RollBack,
    /// Finishes the rollout without updating the remaining units, and ends a halt.
    End,
    /// Replaces the agreed number of units in each zone by the number that the leader sees now. Afterwards, missing
    /// units no longer count as unavailable.
    Recount(UnitKind, ZoneSizes),
    /// Records an action that an operator took on a single dispatcher without the fleet's agreement.
    Note(String),
}

impl DisruptionState {
    /// Applies an operator's command.
    ///
    /// # Errors
    /// Returns the reason why the command does not apply. The state is unchanged in that case.
    pub fn apply_command(&mut self, command: &OperatorCommand) -> Result<(), RolloutError> {
        match command {
            OperatorCommand::Start(rollout) => self.start(rollout),
            // A halt succeeds even if the state is halted already, so that the voters agree on the halt again. The
            // halt in this state may come from a proposal that the voters never chose.
            OperatorCommand::Halt(reason) => self.halt(reason).or(Ok(())),
            OperatorCommand::Resume => self.resume(),
            OperatorCommand::RollBack => self.roll_back(),
            OperatorCommand::End => self.end(),
            OperatorCommand::Recount(unit_kind, sizes) => {
                *self.zone_sizes_mut(*unit_kind) = sizes.clone();
                Ok(())
            }
            OperatorCommand::Note(note) => {
                self.add_note(note);
                Ok(())
            }
        }
    }

    fn start(&mut self, rollout: &Rollout) -> Result<(), RolloutError> {
        if self.unfinished_rollout().is_some() {
            return Err(RolloutError::RolloutInProgress);
        }
        if self.halted.is_some() {
            return Err(RolloutError::Stopped);
        }
        self.rollout = Some(Box::new(rollout.clone()));
        Ok(())
    }

    fn resume(&mut self) -> Result<(), RolloutError> {
        self.halted.take().ok_or(RolloutError::NothingToChange)?;
        self.resume_count += 1;
        Ok(())
    }

    fn roll_back(&mut self) -> Result<(), RolloutError> {
        let is_halted = self.halted.is_some();
        let rollout = self
            .rollout
            .as_deref_mut()
            .ok_or(RolloutError::NothingToChange)?;
        // A rollback cannot be rolled back, but a halted rollback may start again. Permanently removed units do not
        // return, so their removal cannot be rolled back.
        if (rollout.rolling_back && !is_halted) || rollout.plan.permanent {
            return Err(RolloutError::NothingToChange);
        }
        rollout.rolling_back = true;
        rollout.finished = false;
        rollout.wave = 0;
        rollout.granted_in_wave = 0;
        rollout.abandoned.clear();
        self.halted = None;
        self.resume_count += 1;
        Ok(())
    }

    fn end(&mut self) -> Result<(), RolloutError> {
        let rollout = self
            .unfinished_rollout_mut()
            .ok_or(RolloutError::NothingToChange)?;
        rollout.finished = true;
        self.halted = None;
        Ok(())
    }

    fn add_note(&mut self, note: &str) {
        self.notes.push(note.to_owned());
        if self.notes.len() > MAX_NOTES {
            self.notes.remove(0);
        }
    }
}
