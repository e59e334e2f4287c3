//! Operators' commands.

use super::state::{DisruptionState, Rollout, RolloutError, MAX_NOTES};
use crate::coordination::disruption_budget::{UnitKind, ZoneSizes};

/// A change that an operator makes, at any dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    /// Starts a rollout.
    Start(Box<Rollout>),
    /// No permit is granted until an operator resumes; with the reason in words.
    Halt(String),
    /// Ends a halt.
    Resume,
    /// Brings units back to the previous label, and ends a halt.
    RollBack,
    /// Finishes the rollout as it stands, and ends a halt.
    End,
    /// Sets the sizes of the zones to what is seen now: a unit that is missing does not count any more.
    Recount(UnitKind, ZoneSizes),
    /// Notes what an operator did by hand without agreement.
    Note(String),
}

impl DisruptionState {
    /// Applies an operator's command.
    ///
    /// # Errors
    /// Why it does not count; nothing is changed then.
    pub fn apply_command(&mut self, command: &OperatorCommand) -> Result<(), RolloutError> {
        match command {
            OperatorCommand::Start(rollout) => self.start(rollout),
            // A halt that is there already is agreed on once more: what was seen of it may be a proposal that failed.
            OperatorCommand::Halt(reason) => self.halt(reason).or(Ok(())),
            OperatorCommand::Resume => self.resume(),
            OperatorCommand::RollBack => self.roll_back(),
            OperatorCommand::End => self.end(),
            OperatorCommand::Recount(unit_kind, sizes) => {
                *self.zone_sizes_mut(*unit_kind) = sizes.clone();
                Ok(())
            }
            OperatorCommand::Note(note) => {
                self.note(note);
                Ok(())
            }
        }
    }

    fn start(&mut self, rollout: &Rollout) -> Result<(), RolloutError> {
        if self.unfinished().is_some() {
            return Err(RolloutError::Busy);
        }
        if self.halted.is_some() {
            return Err(RolloutError::Stopped);
        }
        self.rollout = Some(Box::new(rollout.clone()));
        Ok(())
    }

    fn resume(&mut self) -> Result<(), RolloutError> {
        self.halted.take().ok_or(RolloutError::Nothing)?;
        self.resume_count += 1;
        Ok(())
    }

    fn roll_back(&mut self) -> Result<(), RolloutError> {
        let halted = self.halted.is_some();
        let rollout = self.rollout.as_deref_mut().ok_or(RolloutError::Nothing)?;
        // A roll-back has nothing to roll back, and units that left for good do not return.
        if (rollout.rolling_back && !halted) || rollout.plan.permanent {
            return Err(RolloutError::Nothing);
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
        let rollout = self.unfinished_mut().ok_or(RolloutError::Nothing)?;
        rollout.finished = true;
        self.halted = None;
        Ok(())
    }

    fn note(&mut self, note: &str) {
        self.notes.push(note.to_owned());
        if self.notes.len() > MAX_NOTES {
            self.notes.remove(0);
        }
    }
}
