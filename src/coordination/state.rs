//! The agreed value, and each change that can be made to it. A change is worked out on the value that a majority
//! gave, so it sees all that came before it.

use super::fault_injection::{is_injected, InjectedFault};
use super::rollout::{DisruptionState, OperatorCommand, RolloutError, RolloutStep};
use super::{Address, Incarnation, LeaseName, Name, Term};
use std::collections::BTreeMap;

/// What tells a voter from an earlier one of its name: drawn when its file is made. One that lost its file comes
/// back as another, which nobody counts until it is let in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterId(pub u64);

/// A voter, as the voters' list has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterRecord {
    pub voter_id: VoterId,
    pub address: Address,
}

/// Who votes. While a change is under way a majority of those before it is wanted as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voters {
    pub generation: u64,
    pub set: BTreeMap<Name, VoterRecord>,
    pub before: Option<BTreeMap<Name, VoterRecord>>,
}

impl Voters {
    /// Whether those of whom `has` holds are a majority, of those before a change as well.
    pub fn majority(&self, has: impl Fn(&Name, &VoterRecord) -> bool) -> bool {
        let most = |set: &BTreeMap<Name, VoterRecord>| {
            2 * set
                .iter()
                .filter(|(name, voter_record)| has(name, voter_record))
                .count()
                > set.len()
        };
        most(&self.set) && self.before.as_ref().is_none_or(most)
    }

    /// All that are to be asked, once each.
    pub fn all(&self) -> BTreeMap<Name, VoterRecord> {
        let mut all = self.before.clone().unwrap_or_default();
        all.extend(self.set.clone());
        all
    }
}

/// Who holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    pub name: Name,
    pub incarnation: Incarnation,
    pub address: Address,
}

/// A duty's row. It stays when nobody holds the duty, as its term must not be given again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    pub term: Term,
    pub holder: Option<LeaseHolder>,
    /// Counts how often the lease was renewed in this term.
    pub renewed: u64,
    /// The holder's lease in whole milliseconds: whoever waits for its end waits no less.
    pub lease_ms: u64,
    /// The try that changed it last. A renewal that was not agreed on and is tried again is another one, or a
    /// contender that saw the first would take its lease for the second's.
    pub proposal_id: ProposalId,
    /// Who is to hold it next, after a holder that gave it up in order.
    pub next: Option<Name>,
}

/// A try, told from all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    pub round: u64,
    pub incarnation: Incarnation,
}

/// A duty's row as a contender saw it: no two leases have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseVersion {
    pub term: Term,
    pub renewed: u64,
    pub proposal_id: ProposalId,
}

impl LeaseRecord {
    pub fn mark(&self) -> LeaseVersion {
        LeaseVersion {
            term: self.term,
            renewed: self.renewed,
            proposal_id: self.proposal_id,
        }
    }
}

/// The agreed value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicatedState {
    /// Counts changes.
    pub version: u64,
    pub voters: Voters,
    pub leases: BTreeMap<LeaseName, LeaseRecord>,
    /// Who may be out.
    pub disruptions: Box<DisruptionState>,
}

/// A change that somebody asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Holds a duty that is as it was last seen, and of which the holder's lease is over.
    Acquire {
        lease_name: LeaseName,
        who: LeaseHolder,
        lease_ms: u64,
        seen: LeaseVersion,
    },
    /// Counts the leases of duties on; those that are no longer the asker's are passed over.
    Renew {
        who: LeaseHolder,
        leases: Vec<(LeaseName, Term)>,
    },
    /// Gives a duty up, for `next` if it is named.
    Resign {
        lease_name: LeaseName,
        term: Term,
        who: LeaseHolder,
        next: Option<Name>,
    },
    AddVoter {
        name: Name,
        voter_record: VoterRecord,
    },
    RemoveVoter {
        name: Name,
    },
    /// Ends a change of voters that is known to be agreed on.
    FinishVoterChange,
    /// A step of whoever holds a duty, in its term and no other.
    RolloutStep {
        lease_name: LeaseName,
        term: Term,
        who: LeaseHolder,
        step: RolloutStep,
    },
    /// An operator's word on who may be out.
    OperatorCommand(OperatorCommand),
}

/// Why a change is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandError {
    /// The duty is not as it was seen, or not the asker's.
    Outdated,
    /// A change of voters is under way.
    VoterChangeInProgress,
    /// Such a voter is there already, or is none.
    AlreadySo,
    /// Fewer than three voters would be left.
    TooFew,
    /// More than seven voters would be there, or more duties than the value takes.
    TooMany,
    /// There is nothing to do.
    Nothing,
    /// It is halted, or done.
    Stopped,
    /// Another release is not done.
    Busy,
}

impl From<RolloutError> for CommandError {
    fn from(no: RolloutError) -> Self {
        match no {
            RolloutError::Stopped => CommandError::Stopped,
            RolloutError::Busy => CommandError::Busy,
            RolloutError::AlreadySo => CommandError::AlreadySo,
            RolloutError::Nothing => CommandError::Nothing,
            RolloutError::NoRoom => CommandError::TooMany,
        }
    }
}

/// Voters at least and at most, but for the moment between two changes.
pub const MIN_VOTERS: usize = 3;
pub const MAX_VOTERS: usize = 7;
/// Duties of one fleet: the value stays a few kilobytes.
pub const MAX_LEASES: usize = 128;

impl ReplicatedState {
    /// The value after a change. `knows`: a value with the voters as they are now here is known to be agreed on.
    ///
    /// # Errors
    /// Why the change is not made.
    pub fn after(
        &self,
        change: &Command,
        proposal_id: ProposalId,
        knows: bool,
    ) -> Result<ReplicatedState, CommandError> {
        let mut new = self.clone();
        new.version += 1;
        // Only what is known to be agreed on may end the time in which the voters of before count as well.
        if knows {
            new.voters.before = None;
        }
        match change {
            Command::Acquire {
                lease_name,
                who,
                lease_ms,
                seen,
            } => {
                let now = self
                    .leases
                    .get(lease_name)
                    .map(LeaseRecord::mark)
                    .unwrap_or_default();
                if now != *seen {
                    return Err(CommandError::Outdated);
                }
                if !new.leases.contains_key(lease_name) && new.leases.len() >= MAX_LEASES {
                    return Err(CommandError::TooMany);
                }
                let term = Term(
                    now.term.0
                        + u64::from(!is_injected(InjectedFault::TermKept) || now.term.0 == 0),
                );
                let holder = Some(who.clone());
                let held = LeaseRecord {
                    term,
                    holder,
                    renewed: 0,
                    lease_ms: *lease_ms,
                    proposal_id,
                    next: None,
                };
                new.leases.insert(lease_name.clone(), held);
            }
            Command::Renew { who, leases } => {
                let mut any = false;
                for (lease_name, term) in leases {
                    let held = new.leases.get_mut(lease_name);
                    let theirs =
                        |h: &&mut LeaseRecord| h.term == *term && h.holder.as_ref() == Some(who);
                    if let Some(held) = held.filter(theirs) {
                        (held.renewed, held.proposal_id) = (held.renewed + 1, proposal_id);
                        any = true;
                    }
                }
                if !any {
                    return Err(CommandError::Outdated);
                }
            }
            Command::Resign {
                lease_name,
                term,
                who,
                next,
            } => {
                let held = new.leases.get_mut(lease_name);
                let theirs =
                    |h: &&mut LeaseRecord| h.term == *term && h.holder.as_ref() == Some(who);
                let held = held.filter(theirs).ok_or(CommandError::Outdated)?;
                (held.holder, held.next, held.proposal_id) = (None, next.clone(), proposal_id);
            }
            Command::AddVoter { name, voter_record } => {
                new.change_voters(|set| match set.insert(name.clone(), voter_record.clone()) {
                    Some(_) => Err(CommandError::AlreadySo),
                    None if set.len() > MAX_VOTERS => Err(CommandError::TooMany),
                    None => Ok(()),
                })?;
            }
            Command::RemoveVoter { name } => {
                new.change_voters(|set| match set.remove(name) {
                    None => Err(CommandError::AlreadySo),
                    Some(_) if set.len() < MIN_VOTERS => Err(CommandError::TooFew),
                    Some(_) => Ok(()),
                })?;
            }
            Command::RolloutStep {
                lease_name,
                term,
                who,
                step,
            } => {
                let held = self.leases.get(lease_name);
                let theirs =
                    held.is_some_and(|h| h.term == *term && h.holder.as_ref() == Some(who));
                if !theirs {
                    return Err(CommandError::Outdated);
                }
                new.disruptions.apply_step(step)?;
            }
            Command::OperatorCommand(word) => new.disruptions.apply_command(word)?,
            Command::FinishVoterChange if self.voters.before.is_none() => {
                return Err(CommandError::Nothing)
            }
            Command::FinishVoterChange => {}
        }
        Ok(new)
    }

    fn change_voters(
        &mut self,
        change: impl FnOnce(&mut BTreeMap<Name, VoterRecord>) -> Result<(), CommandError>,
    ) -> Result<(), CommandError> {
        let unsafe_way = is_injected(InjectedFault::TwoChanges);
        if self.voters.before.is_some() && !unsafe_way {
            return Err(CommandError::VoterChangeInProgress);
        }
        let before = self.voters.set.clone();
        change(&mut self.voters.set)?;
        self.voters.generation += 1;
        self.voters.before = (!unsafe_way).then_some(before);
        Ok(())
    }
}
