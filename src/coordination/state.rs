//! The replicated state, and the commands that change it. A command is applied to the state that a majority of the
//! voters showed, so it sees all commands that were chosen before it.

use super::fault_injection::{is_injected, InjectedFault};
use super::rollout::{DisruptionState, OperatorCommand, RolloutError, RolloutStep};
use super::{Address, Incarnation, LeaseName, Name, Term};
use std::collections::BTreeMap;
use std::fmt;

/// The identity of a voter, drawn when its file is made: one that lost its file comes back as another, which does
/// not count until it is let in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterId(pub u64);

/// A voter, as the replicated state has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterRecord {
    /// Its identity.
    pub voter_id: VoterId,
    /// Where its fleet service listens.
    pub address: Address,
}

/// The voters. During a change those before it count as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voters {
    /// Counts changes of the voters.
    pub generation: u64,
    /// The voters, by name.
    pub set: BTreeMap<Name, VoterRecord>,
    /// The voters before a change that is not finished.
    pub before: Option<BTreeMap<Name, VoterRecord>>,
}

impl Voters {
    /// Whether the voters for which `has` holds are a quorum: a majority, and during a change also a majority of
    /// those before it.
    pub fn majority(&self, has: impl Fn(&Name, &VoterRecord) -> bool) -> bool {
        let is_majority = |set: &BTreeMap<Name, VoterRecord>| {
            let count = set
                .iter()
                .filter(|(name, record)| has(name, record))
                .count();
            2 * count > set.len()
        };
        is_majority(&self.set) && self.before.as_ref().is_none_or(is_majority)
    }

    /// All voters, those before a change included.
    pub fn all(&self) -> BTreeMap<Name, VoterRecord> {
        let mut all = self.before.clone().unwrap_or_default();
        all.extend(self.set.clone());
        all
    }
}

/// The process that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    /// The dispatcher's name.
    pub name: Name,
    /// Its process.
    pub incarnation: Incarnation,
    /// Where its fleet service listens.
    pub address: Address,
}

/// The record of a lease. It stays when nobody holds the lease, as a term must not be given twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    /// The lease's fencing token: grows with each acquisition.
    pub term: Term,
    /// The holder, if there is one.
    pub holder: Option<LeaseHolder>,
    /// Counts the renewals in this term.
    pub renewed: u64,
    /// The duration of the holder's lease, in whole milliseconds, rounded up: nobody waits for less.
    pub lease_ms: u64,
    /// The proposal that changed the record last.
    ///
    /// Guards against a renewal that was not chosen and is proposed again: a contender that saw the first would take
    /// its time for the second's, and acquire the lease too early.
    pub proposal_id: ProposalId,
    /// The next holder, as named by one that gave the lease up.
    pub next: Option<Name>,
}

/// The identity of a proposal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The round of the proposal's ballot.
    pub round: u64,
    /// The proposer's process.
    pub incarnation: Incarnation,
}

/// The version of a lease's record: no two grants or renewals have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseVersion {
    /// The term of the record.
    pub term: Term,
    /// The renewals in that term.
    pub renewed: u64,
    /// The proposal that changed the record last.
    pub proposal_id: ProposalId,
}

impl LeaseRecord {
    /// The version of this record.
    pub fn version(&self) -> LeaseVersion {
        LeaseVersion {
            term: self.term,
            renewed: self.renewed,
            proposal_id: self.proposal_id,
        }
    }
}

/// The replicated state: the one value that the voters agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicatedState {
    /// Counts the commands that were applied.
    pub version: u64,
    /// The voters.
    pub voters: Voters,
    /// All leases that were ever held, by name.
    pub leases: BTreeMap<LeaseName, LeaseRecord>,
    /// Permitted disruptions and the rollout.
    pub disruptions: Box<DisruptionState>,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Acquires a lease whose record is as it was seen, after the holder's lease is over.
    Acquire {
        /// The lease.
        lease_name: LeaseName,
        /// The new holder.
        who: LeaseHolder,
        /// The duration of its lease, in whole milliseconds.
        lease_ms: u64,
        /// The version of the record that was seen.
        seen: LeaseVersion,
    },
    /// Renews leases; those that the holder has lost are passed over.
    Renew {
        /// The holder.
        who: LeaseHolder,
        /// The leases, with their terms.
        leases: Vec<(LeaseName, Term)>,
    },
    /// Gives a lease up.
    Resign {
        /// The lease.
        lease_name: LeaseName,
        /// The term in which it is held.
        term: Term,
        /// The holder.
        who: LeaseHolder,
        /// The next holder, if one is named.
        next: Option<Name>,
    },
    /// Adds a voter.
    AddVoter {
        /// Its name.
        name: Name,
        /// Its identity and address.
        voter_record: VoterRecord,
    },
    /// Removes a voter.
    RemoveVoter {
        /// Its name.
        name: Name,
    },
    /// Finishes a change of voters that is known to be chosen.
    FinishVoterChange,
    /// A step of a rollout, by the holder of a lease in its term.
    RolloutStep {
        /// The lease.
        lease_name: LeaseName,
        /// The term in which it is held.
        term: Term,
        /// The holder.
        who: LeaseHolder,
        /// The step.
        step: RolloutStep,
    },
    /// An operator's command about disruptions.
    OperatorCommand(OperatorCommand),
}

/// Why a command cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandError {
    /// The lease's record is not as it was seen, or the sender does not hold the lease.
    Outdated,
    /// A change of voters is not finished.
    VoterChangeInProgress,
    /// The voter to add is one already, or the voter to remove is none.
    AlreadySo,
    /// Fewer than [`MIN_VOTERS`] voters would be left.
    TooFew,
    /// There would be more than [`MAX_VOTERS`] voters, or more than [`MAX_LEASES`] leases.
    TooMany,
    /// There is nothing to do.
    Nothing,
    /// The rollout is halted or done.
    Stopped,
    /// Another rollout is not done.
    Busy,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CommandError::Outdated => "the lease is held by another, or changed meanwhile",
            CommandError::VoterChangeInProgress => "a change of voters is not finished",
            CommandError::AlreadySo => "it is so already",
            CommandError::TooFew => "too few voters would be left",
            CommandError::TooMany => "there would be too many voters or leases",
            CommandError::Nothing => "there is nothing to do",
            CommandError::Stopped => "the rollout is halted or done",
            CommandError::Busy => "another rollout is not done",
        })
    }
}

impl std::error::Error for CommandError {}

impl From<RolloutError> for CommandError {
    fn from(error: RolloutError) -> Self {
        match error {
            RolloutError::Stopped => CommandError::Stopped,
            RolloutError::Busy => CommandError::Busy,
            RolloutError::AlreadySo => CommandError::AlreadySo,
            RolloutError::Nothing => CommandError::Nothing,
            RolloutError::NoRoom => CommandError::TooMany,
        }
    }
}

/// The fewest voters: with fewer, none may fail.
pub const MIN_VOTERS: usize = 3;
/// The most voters.
pub const MAX_VOTERS: usize = 7;
/// The most leases of a fleet: the state, which each message of a proposal carries, stays a few kilobytes.
pub const MAX_LEASES: usize = 128;

impl ReplicatedState {
    /// The state after a command. `voters_are_chosen`: a state with these voters is known to be chosen.
    ///
    /// # Errors
    /// Why the command cannot be applied.
    pub fn apply(
        &self,
        command: &Command,
        proposal_id: ProposalId,
        voters_are_chosen: bool,
    ) -> Result<ReplicatedState, CommandError> {
        let mut new = self.clone();
        new.version += 1;
        // Guards against two majorities that do not meet: the voters before a change count until it is known to be
        // chosen, as some proposers may know only those.
        if voters_are_chosen {
            new.voters.before = None;
        }
        match command {
            Command::Acquire {
                lease_name,
                who,
                lease_ms,
                seen,
            } => new.acquire(lease_name, who, *lease_ms, *seen, proposal_id)?,
            Command::Renew { who, leases } => new.renew(who, leases, proposal_id)?,
            Command::Resign {
                lease_name,
                term,
                who,
                next,
            } => new.resign(lease_name, (*term, who), next.as_ref(), proposal_id)?,
            Command::AddVoter { name, voter_record } => new.add_voter(name, voter_record)?,
            Command::RemoveVoter { name } => new.remove_voter(name)?,
            Command::FinishVoterChange => self.finish_voter_change()?,
            Command::RolloutStep {
                lease_name,
                term,
                who,
                step,
            } => {
                new.held_by(lease_name, (*term, who))?;
                new.disruptions.apply_step(step)?;
            }
            Command::OperatorCommand(command) => new.disruptions.apply_command(command)?,
        }
        Ok(new)
    }

    fn acquire(
        &mut self,
        lease_name: &LeaseName,
        who: &LeaseHolder,
        lease_ms: u64,
        seen: LeaseVersion,
        proposal_id: ProposalId,
    ) -> Result<(), CommandError> {
        let known = self.leases.get(lease_name);
        let version = known.map(LeaseRecord::version).unwrap_or_default();
        // Guards against a lease that was renewed or acquired by another since the contender saw it.
        if version != seen {
            return Err(CommandError::Outdated);
        }
        if known.is_none() && self.leases.len() >= MAX_LEASES {
            return Err(CommandError::TooMany);
        }
        let keeps_term = is_injected(InjectedFault::TermNotIncremented) && version.term != Term(0);
        let record = LeaseRecord {
            term: Term(version.term.0 + u64::from(!keeps_term)),
            holder: Some(who.clone()),
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
        who: &LeaseHolder,
        leases: &[(LeaseName, Term)],
        proposal_id: ProposalId,
    ) -> Result<(), CommandError> {
        let mut renewed_any = false;
        for (lease_name, term) in leases {
            if let Ok(record) = self.held_by(lease_name, (*term, who)) {
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
        let record = self.held_by(lease_name, holder)?;
        record.holder = None;
        record.next = next.cloned();
        record.proposal_id = proposal_id;
        Ok(())
    }

    /// A lease's record, if this process holds it in this term.
    fn held_by(
        &mut self,
        lease_name: &LeaseName,
        (term, who): (Term, &LeaseHolder),
    ) -> Result<&mut LeaseRecord, CommandError> {
        let record = self.leases.get_mut(lease_name);
        record
            .filter(|record| record.term == term && record.holder.as_ref() == Some(who))
            .ok_or(CommandError::Outdated)
    }

    fn add_voter(&mut self, name: &Name, record: &VoterRecord) -> Result<(), CommandError> {
        self.change_voters(|set| match set.insert(name.clone(), record.clone()) {
            Some(_) => Err(CommandError::AlreadySo),
            None if set.len() > MAX_VOTERS => Err(CommandError::TooMany),
            None => Ok(()),
        })
    }

    fn remove_voter(&mut self, name: &Name) -> Result<(), CommandError> {
        self.change_voters(|set| match set.remove(name) {
            None => Err(CommandError::AlreadySo),
            Some(_) if set.len() < MIN_VOTERS => Err(CommandError::TooFew),
            Some(_) => Ok(()),
        })
    }

    /// Whether a change of voters is to be finished; [`ReplicatedState::apply`] finishes it.
    fn finish_voter_change(&self) -> Result<(), CommandError> {
        match self.voters.before {
            Some(_) => Ok(()),
            None => Err(CommandError::Nothing),
        }
    }

    /// Changes the voters by one. Until the change is finished, majorities of those before and after it are needed.
    ///
    /// Guards against two changes at once, after each of which another half of the voters would be a majority: two
    /// values could be chosen.
    fn change_voters(
        &mut self,
        change: impl FnOnce(&mut BTreeMap<Name, VoterRecord>) -> Result<(), CommandError>,
    ) -> Result<(), CommandError> {
        let is_unguarded = is_injected(InjectedFault::ConcurrentVoterChanges);
        if self.voters.before.is_some() && !is_unguarded {
            return Err(CommandError::VoterChangeInProgress);
        }
        let before = self.voters.set.clone();
        change(&mut self.voters.set)?;
        self.voters.generation += 1;
        self.voters.before = (!is_unguarded).then_some(before);
        Ok(())
    }
}
