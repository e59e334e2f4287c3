//! The replicated state, and the commands that change it. A command is applied to the newest state that a majority of
//! the voters returned, and that state contains the effects of all commands that were chosen before.

use super::fault_injection::{is_injected, InjectedFault};
use super::rollout::{DisruptionState, OperatorCommand, RolloutError, RolloutStep};
use super::{Address, Incarnation, LeaseName, Name, Term};
use std::collections::BTreeMap;
use std::fmt;

/// The identity of a voter, drawn at random when its file is created. A voter that lost its file gets another identity
/// and does not count as a voter until an operator adds it again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterId(pub u64);

/// A voter's entry in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterRecord {
    /// The identity under which the voter counts; a file with another identity does not vote.
    pub voter_id: VoterId,
    /// The address of the voter's fleet service.
    pub address: Address,
}

/// The voters of the fleet. During a change of voters a quorum needs a majority of the former voters as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voters {
    /// The version of the voter set; each change of the voters increments it.
    pub generation: u64,
    /// The present voters, by name.
    pub records: BTreeMap<Name, VoterRecord>,
    /// The voters before an unfinished change; `None` if no change is in progress.
    pub former: Option<BTreeMap<Name, VoterRecord>>,
}

impl Voters {
    /// Whether the voters that `is_counted` selects are a quorum: a majority of the present voters, and during a change
    /// also a majority of the former voters.
    pub fn has_quorum(&self, is_counted: impl Fn(&Name, &VoterRecord) -> bool) -> bool {
        let is_majority = |voters: &BTreeMap<Name, VoterRecord>| {
            let count = voters
                .iter()
                .filter(|(name, record)| is_counted(name, record))
                .count();
            2 * count > voters.len()
        };
        is_majority(&self.records) && self.former.as_ref().is_none_or(is_majority)
    }

    /// All voters by name, including the former voters during a change.
    pub fn all(&self) -> BTreeMap<Name, VoterRecord> {
        let mut all = self.former.clone().unwrap_or_default();
        all.extend(self.records.clone());
        all
    }
}

/// A process that holds a lease or requests one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    /// The name of the holding dispatcher.
    pub name: Name,
    /// The holding process. After a restart the dispatcher is another process and does not hold the lease.
    pub incarnation: Incarnation,
    /// The address of the dispatcher's fleet service.
    pub address: Address,
}

/// The record of a lease. The record stays when the lease is released, as a term must not be used twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    /// The fencing token of the lease; grows by one with each acquisition.
    pub term: Term,
    /// The process that acquired the lease last; `None` after it released the lease.
    pub holder: Option<LeaseHolder>,
    /// The number of renewals in this term.
    pub renewed: u64,
    /// The duration of the holder's lease in whole milliseconds, rounded up. Contenders wait at least this long.
    pub lease_ms: u64,
    /// The proposal that changed the record last.
    ///
    /// Guards against a renewal that is not chosen and is proposed again. Without this field both proposals would have
    /// the same version. A contender that saw the first one would not restart its wait when the second one is chosen,
    /// and would acquire the lease too early.
    pub proposal_id: ProposalId,
    /// The successor that the last holder named when it released the lease; `None` if it named none.
    pub next: Option<Name>,
}

/// Identifies a proposal among those of all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The round of the proposal's ballot. A process uses each round for at most one proposal.
    pub round: u64,
    /// The process that made the proposal.
    pub incarnation: Incarnation,
}

/// The version of a lease's record. Each acquisition, renewal and release makes a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseVersion {
    /// The term in which the lease is or was held.
    pub term: Term,
    /// The number of renewals in that term.
    pub renewed: u64,
    /// The proposal that changed the record last; distinguishes a renewal from an earlier one with the same number that
    /// was not chosen.
    pub proposal_id: ProposalId,
}

impl LeaseRecord {
    /// The version of this record, for comparison with what a contender has seen.
    pub fn version(&self) -> LeaseVersion {
        LeaseVersion {
            term: self.term,
            renewed: self.renewed,
            proposal_id: self.proposal_id,
        }
    }
}

/// The replicated state: the single value that the voters agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicatedState {
    /// The number of commands applied so far.
    pub version: u64,
    /// The voters that decide on the next state: a quorum of them has to accept it.
    pub voters: Voters,
    /// The records of all leases that were ever held, by name.
    pub leases: BTreeMap<LeaseName, LeaseRecord>,
    /// Disruption permits and the rollout.
    pub disruptions: Box<DisruptionState>,
}

/// A command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Acquires a free or expired lease, if its record has not changed since the contender saw it.
    Acquire {
        /// The lease to acquire. Its first acquisition creates the lease's record.
        lease_name: LeaseName,
        /// The process that becomes the holder.
        holder: LeaseHolder,
        /// The duration of the new holder's lease, in whole milliseconds.
        lease_ms: u64,
        /// The version of the record that the contender saw; the default if there was no record.
        expected_version: LeaseVersion,
    },
    /// Renews several leases of one holder. Leases that the holder has lost are skipped.
    Renew {
        /// The renewing process; only leases whose records name it as the holder are renewed.
        holder: LeaseHolder,
        /// The leases to renew, each with the term in which it is held.
        leases: Vec<(LeaseName, Term)>,
    },
    /// Releases a lease before it expires.
    Resign {
        /// The lease to release. The record of the lease stays in the replicated state.
        lease_name: LeaseName,
        /// The term in which the sender holds the lease; the command is rejected if the record has another term.
        term: Term,
        /// The releasing process; the command is rejected if the record names another holder.
        holder: LeaseHolder,
        /// The named successor, which may acquire the lease before other members; `None` if all contenders may acquire
        /// it at once.
        next: Option<Name>,
    },
    /// Adds one voter. The change is in progress until [`Command::FinishVoterChange`].
    AddVoter {
        /// The name of the dispatcher that becomes a voter.
        name: Name,
        /// The identity and address of the new voter.
        voter_record: VoterRecord,
    },
    /// Removes one voter. The change is in progress until [`Command::FinishVoterChange`].
    RemoveVoter {
        /// The name of the voter to remove, which has to be a present voter.
        name: Name,
    },
    /// Finishes a change of voters once the change is known to be chosen. From then on a quorum does not need a
    /// majority of the former voters.
    FinishVoterChange,
    /// Advances a rollout; rejected unless the sender holds the lease in this term.
    RolloutStep {
        /// The lease that the sender has to hold.
        lease_name: LeaseName,
        /// The term in which the sender holds the lease; the step is rejected if the record has another term.
        term: Term,
        /// The proposing process; the step is rejected if the record names another holder.
        holder: LeaseHolder,
        /// The change to the rollout or its permits.
        step: RolloutStep,
    },
    /// An operator's command that concerns disruption permits or a rollout.
    OperatorCommand(OperatorCommand),
}

/// Why a command cannot be applied to the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandError {
    /// The lease's record has changed since the sender saw it, or the sender does not hold the lease.
    Outdated,
    /// An earlier change of voters is not finished.
    VoterChangeInProgress,
    /// The member to add is already a voter, the member to remove is not a voter, or the rollout is already in the
    /// requested state.
    AlreadyInEffect,
    /// Fewer than [`MIN_VOTERS`] voters would be left.
    TooFewVoters,
    /// There would be more than [`MAX_VOTERS`] voters, or more than [`MAX_LEASES`] leases.
    TooMany,
    /// What the command would change does not exist, such as a permit, a halt or an unfinished change of voters.
    NothingToChange,
    /// Permits are halted or the rollout is finished.
    Stopped,
    /// Another rollout is not finished.
    RolloutInProgress,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CommandError::Outdated => "the lease is held by another, or changed meanwhile",
            CommandError::VoterChangeInProgress => "a change of voters is not finished",
            CommandError::AlreadyInEffect => "the change is already in effect",
            CommandError::TooFewVoters => "too few voters would be left",
            CommandError::TooMany => "there would be too many voters or leases",
            CommandError::NothingToChange => {
                "the permit, rollout, halt or lease to change does not exist"
            }
            CommandError::Stopped => "permits are halted or the rollout is finished",
            CommandError::RolloutInProgress => "another rollout is not finished",
        })
    }
}

impl std::error::Error for CommandError {}

impl From<RolloutError> for CommandError {
    fn from(error: RolloutError) -> Self {
        match error {
            RolloutError::Stopped => CommandError::Stopped,
            RolloutError::RolloutInProgress => CommandError::RolloutInProgress,
            RolloutError::AlreadyInEffect => CommandError::AlreadyInEffect,
            RolloutError::NothingToChange => CommandError::NothingToChange,
            RolloutError::LimitReached => CommandError::TooMany,
        }
    }
}

/// The minimum number of voters in a fleet. With fewer than three voters a fleet does not tolerate the failure of a
/// voter.
pub const MIN_VOTERS: usize = 3;
/// The maximum number of voters in a fleet. A command that would add another voter is rejected.
pub const MAX_VOTERS: usize = 7;
/// The maximum number of leases in a fleet. The limit keeps the replicated state at a few kilobytes, as every message
/// of a proposal contains the state.
pub const MAX_LEASES: usize = 128;

impl ReplicatedState {
    /// Applies a command and returns the new state. If `voters_are_chosen` is true, the caller knows that the voters of
    /// this state have been chosen, and a change of voters that is in progress ends.
    ///
    /// # Errors
    /// A [`CommandError`] if the command cannot be applied to this state.
    pub fn apply(
        &self,
        command: &Command,
        proposal_id: ProposalId,
        voters_are_chosen: bool,
    ) -> Result<ReplicatedState, CommandError> {
        let mut new = self.clone();
        new.version += 1;
        // Guards against two majorities without a common voter. A majority of the former voters is needed until the
        // change is known to be chosen, as some proposers may know only the former voters.
        if voters_are_chosen {
            new.voters.former = None;
        }
        match command {
            Command::Acquire {
                lease_name,
                holder,
                lease_ms,
                expected_version,
            } => new.acquire(
                lease_name,
                holder,
                *lease_ms,
                *expected_version,
                proposal_id,
            )?,
            Command::Renew { holder, leases } => new.renew(holder, leases, proposal_id)?,
            Command::Resign {
                lease_name,
                term,
                holder,
                next,
            } => new.resign(lease_name, (*term, holder), next.as_ref(), proposal_id)?,
            Command::AddVoter { name, voter_record } => new.add_voter(name, voter_record)?,
            Command::RemoveVoter { name } => new.remove_voter(name)?,
            Command::FinishVoterChange => self.finish_voter_change()?,
            Command::RolloutStep {
                lease_name,
                term,
                holder,
                step,
            } => {
                new.record_held_by(lease_name, (*term, holder))?;
                new.disruptions.apply_step(step)?;
            }
            Command::OperatorCommand(command) => new.disruptions.apply_command(command)?,
        }
        Ok(new)
    }

    fn acquire(
        &mut self,
        lease_name: &LeaseName,
        holder: &LeaseHolder,
        lease_ms: u64,
        expected_version: LeaseVersion,
        proposal_id: ProposalId,
    ) -> Result<(), CommandError> {
        let known = self.leases.get(lease_name);
        let version = known.map(LeaseRecord::version).unwrap_or_default();
        // Guards against acquiring a lease that was renewed, or acquired by another member, since the contender saw it.
        if version != expected_version {
            return Err(CommandError::Outdated);
        }
        if known.is_none() && self.leases.len() >= MAX_LEASES {
            return Err(CommandError::TooMany);
        }
        let keeps_term = is_injected(InjectedFault::TermNotIncremented) && version.term != Term(0);
        let record = LeaseRecord {
            term: Term(version.term.0 + u64::from(!keeps_term)),
            holder: Some(holder.clone()),
            renewed: 0,
            lease_ms,
            proposal_id,
            next: None,
        };
        self.leases.insert(lease_name.clone(), record);
        Ok(())
    }

    fn renew(
        &mut self,
        holder: &LeaseHolder,
        leases: &[(LeaseName, Term)],
        proposal_id: ProposalId,
    ) -> Result<(), CommandError> {
        let mut renewed_any = false;
        for (lease_name, term) in leases {
            if let Ok(record) = self.record_held_by(lease_name, (*term, holder)) {
                record.renewed += 1;
                record.proposal_id = proposal_id;
                renewed_any = true;
            }
        }
        match renewed_any {
            true => Ok(()),
            false => Err(CommandError::Outdated),
        }
    }

    fn resign(
        &mut self,
        lease_name: &LeaseName,
        holder: (Term, &LeaseHolder),
        next: Option<&Name>,
        proposal_id: ProposalId,
    ) -> Result<(), CommandError> {
        let record = self.record_held_by(lease_name, holder)?;
        record.holder = None;
        record.next = next.cloned();
        record.proposal_id = proposal_id;
        Ok(())
    }

    /// The record of a lease that `who` holds in `term`, or [`CommandError::Outdated`].
    fn record_held_by(
        &mut self,
        lease_name: &LeaseName,
        (term, holder): (Term, &LeaseHolder),
    ) -> Result<&mut LeaseRecord, CommandError> {
        let record = self.leases.get_mut(lease_name);
        record
            .filter(|record| record.term == term && record.holder.as_ref() == Some(holder))
            .ok_or(CommandError::Outdated)
    }

    fn add_voter(&mut self, name: &Name, record: &VoterRecord) -> Result<(), CommandError> {
        self.change_voters(|voters| match voters.insert(name.clone(), record.clone()) {
            Some(_) => Err(CommandError::AlreadyInEffect),
            None if voters.len() > MAX_VOTERS => Err(CommandError::TooMany),
            None => Ok(()),
        })
    }

    fn remove_voter(&mut self, name: &Name) -> Result<(), CommandError> {
        self.change_voters(|voters| match voters.remove(name) {
            None => Err(CommandError::AlreadyInEffect),
            Some(_) if voters.len() < MIN_VOTERS => Err(CommandError::TooFewVoters),
            Some(_) => Ok(()),
        })
    }

    /// Checks that a change of voters is in progress in the old state. The new state needs no update, as
    /// [`ReplicatedState::apply`] has already ended the change in it.
    fn finish_voter_change(&self) -> Result<(), CommandError> {
        match self.voters.former {
            Some(_) => Ok(()),
            None => Err(CommandError::NothingToChange),
        }
    }

    /// Adds or removes one voter. Until the change is finished, a quorum needs a majority of the former voters and a
    /// majority of the new voters.
    ///
    /// Guards against concurrent changes, which could leave two majorities without a common voter: two values could be
    /// chosen.
    fn change_voters(
        &mut self,
        change: impl FnOnce(&mut BTreeMap<Name, VoterRecord>) -> Result<(), CommandError>,
    ) -> Result<(), CommandError> {
        let is_unguarded = is_injected(InjectedFault::ConcurrentVoterChanges);
        if self.voters.former.is_some() && !is_unguarded {
            return Err(CommandError::VoterChangeInProgress);
        }
        let before = self.voters.records.clone();
        change(&mut self.voters.records)?;
        self.voters.generation += 1;
        self.voters.former = (!is_unguarded).then_some(before);
        Ok(())
    }
}
