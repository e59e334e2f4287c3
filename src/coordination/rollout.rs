//! Who may be out, as the fleet agrees on it: turns, and the release that gives them. A part of the agreed value, and
//! each change that can be made to it. A holder's steps name its term and count only while it holds the roll-call by
//! this very value; operators' words may come from any dispatcher.

use super::disruption_budget::{DisruptionBudget, Unit, UnitKind, ZoneSizes};
use super::fault_injection::{is_injected, InjectedFault};
use super::{Address, Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// A turn's number: counted over all that were ever given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId(pub u64);

/// The leave for one to go out. It is agreed on before anybody is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionPermit {
    pub unit_kind: UnitKind,
    pub unit: Name,
    /// Which process is to go: another one of its name has been out and back.
    pub incarnation: Incarnation,
    pub address: Address,
    pub zone: String,
    /// What it is to come back under; empty: anything.
    pub label: String,
    /// It is not to come back.
    pub permanent: bool,
    /// Part of the release that is under way, not asked for beside it.
    pub planned: bool,
}

/// An ordered plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    pub name: String,
    pub unit_kind: UnitKind,
    /// What its members come back under, and what they had before.
    pub label: String,
    pub previous_label: String,
    /// Which are meant; an empty list means all.
    pub zones: Vec<String>,
    pub cells: Vec<String>,
    pub kinds: Vec<String>,
    pub names: Vec<Name>,
    /// Those that go out stay out.
    pub permanent: bool,
    /// How many turn in the first wave, and by what the next is larger, in thousandths.
    pub first_wave_size: u32,
    pub wave_growth_per_mille: u32,
    /// Milliseconds: watched between waves; back and ready before a turn is over; within which a turn has to have
    /// begun, and to be over.
    pub observe_ms: u64,
    pub settle_ms: u64,
    pub start_timeout_ms: u64,
    pub return_timeout_ms: u64,
}

impl RolloutPlan {
    /// Whether a unit is meant.
    pub fn selects(&self, unit: &Unit) -> bool {
        let any =
            |list: &[String], word: &str| list.is_empty() || list.iter().any(|one| one == word);
        any(&self.zones, &unit.zone)
            && any(&self.cells, &unit.cell)
            && any(&self.kinds, &unit.kind)
            && (self.names.is_empty() || self.names.contains(&unit.name))
    }

    /// How many turn in a wave, counted from 0.
    pub fn wave_size(&self, number: u32) -> u32 {
        let grow = f64::from(self.wave_growth_per_mille) / 1000.0;
        let size = f64::from(self.first_wave_size) * grow.powi(number.min(64) as i32);
        size.ceil().min(f64::from(u32::MAX)) as u32
    }
}

/// The order in which units go: spread over zones and cells, and the same whoever holds the roll-call and however the
/// fleet grows.
pub fn key(name: &Name) -> u64 {
    xxh3_64(name.0.as_bytes())
}

/// A release under way, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rollout {
    pub plan: RolloutPlan,
    pub budget: DisruptionBudget,
    pub started_by: Name,
    /// It turns what went forward.
    pub rolling_back: bool,
    pub finished: bool,
    /// The wave, counted from 0, and how many turns it has given.
    pub wave: u32,
    pub granted_in_wave: u32,
    /// Of engines, which carry no label: how far each zone has come, by [`key`]; and those before that which are
    /// to go again.
    pub zone_progress: BTreeMap<String, u64>,
    pub regrant: BTreeSet<Name>,
    /// Those that did not come back as they should, with the reason, left for operators.
    pub abandoned: BTreeMap<Name, String>,
    /// How many turns are over.
    pub completed: u32,
}

/// All of this that is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisruptionState {
    /// Turns given so far.
    pub permits_granted: u64,
    pub permits: BTreeMap<PermitId, DisruptionPermit>,
    pub rollout: Option<Box<Rollout>>,
    /// Why nothing goes out any more until an operator says so.
    pub halted: Option<String>,
    /// How often an operator had it go on: who waits for turns begins to wait anew.
    pub resume_count: u64,
    /// How many dispatchers and engines each zone has: counted up as they are seen, and down by an operator's word
    /// alone, as one that is missing may have failed.
    pub dispatcher_sizes: ZoneSizes,
    pub engine_sizes: ZoneSizes,
    /// What operators did by hand without agreement; the last few.
    pub notes: Vec<String>,
}

/// What whoever holds the roll-call does in its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutStep {
    Grant(Vec<DisruptionPermit>),
    /// They are back as they should be, or gone for good.
    Complete(Vec<PermitId>),
    /// They surely have not begun and will not: they may be given again.
    Revoke(Vec<PermitId>),
    /// Going back, one that is out and did not come back as it should is told again, as the process it is now.
    Reissue(PermitId, DisruptionPermit),
    Abandon(PermitId, String),
    NextWave,
    Finish,
    Halt(String),
    RecordSizes(UnitKind, ZoneSizes),
}

/// What operators say, at any dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    Start(Box<Rollout>),
    Halt(String),
    Resume,
    RollBack,
    /// Ends a release that stands.
    End,
    /// There are as many as are seen now: whoever is missing is missed no more.
    Recount(UnitKind, ZoneSizes),
    Note(String),
}

/// Why a step or a word does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutError {
    /// Nothing goes out: halted, done, or no such release.
    Stopped,
    /// Another release is not done.
    Busy,
    AlreadySo,
    Nothing,
    /// The bounds or the value have no room.
    NoRoom,
}

/// Turns at once: the value stays small. A turn takes some 80 bytes.
pub const MAX_PERMITS: usize = 256;
/// Units named as left, notes, names in a plan.
pub const MAX_ABANDONED: usize = 64;
pub const MAX_NOTES: usize = 8;
pub const MAX_NAMES: usize = 256;

impl DisruptionState {
    /// Whether there is nothing of this at all.
    pub fn is_empty(&self) -> bool {
        *self == DisruptionState::default()
    }

    pub fn zone_sizes(&self, of: UnitKind) -> &ZoneSizes {
        if of == UnitKind::Engines {
            &self.engine_sizes
        } else {
            &self.dispatcher_sizes
        }
    }

    fn zone_sizes_mut(&mut self, of: UnitKind) -> &mut ZoneSizes {
        if of == UnitKind::Engines {
            &mut self.engine_sizes
        } else {
            &mut self.dispatcher_sizes
        }
    }

    /// The release that goes on, if nothing keeps it.
    pub fn running(&self) -> Option<&Rollout> {
        self.rollout
            .as_deref()
            .filter(|r| !r.finished && self.halted.is_none())
    }

    /// Whether there is anything to look after.
    pub fn is_active(&self) -> bool {
        !self.permits.is_empty() || self.rollout.as_deref().is_some_and(|r| !r.finished)
    }

    pub fn permit_for(&self, of: UnitKind, who: &Name) -> Option<(&PermitId, &DisruptionPermit)> {
        self.permits
            .iter()
            .find(|(_, permit)| permit.unit_kind == of && permit.unit == *who)
    }

    /// Takes a holder's step.
    ///
    /// # Errors
    /// Why it does not count; nothing is changed then.
    pub fn apply_step(&mut self, step: &RolloutStep) -> Result<(), RolloutError> {
        match step {
            RolloutStep::Grant(permits) => permits.iter().try_for_each(|permit| self.grant(permit)),
            RolloutStep::Complete(permits) => self.end(permits, |disruptions, permit| {
                if permit.permanent {
                    // By an operator's word it is gone for good: it is not missed.
                    if let Some(size) = disruptions
                        .zone_sizes_mut(permit.unit_kind)
                        .get_mut(&permit.zone)
                    {
                        *size = size.saturating_sub(1);
                    }
                }
                if let Some(release) = disruptions
                    .rollout
                    .as_deref_mut()
                    .filter(|_| permit.planned)
                {
                    release.completed += 1;
                }
            }),
            RolloutStep::Revoke(permits) => self.end(permits, |disruptions, permit| {
                if let Some(release) = disruptions
                    .rollout
                    .as_deref_mut()
                    .filter(|r| permit.planned && !r.finished)
                {
                    release.granted_in_wave = release.granted_in_wave.saturating_sub(1);
                    if permit.unit_kind == UnitKind::Engines {
                        release.regrant.insert(permit.unit);
                    }
                }
            }),
            RolloutStep::Reissue(number, permit) => {
                let known = self.permits.get_mut(number).ok_or(RolloutError::Nothing)?;
                let back = self
                    .rollout
                    .as_deref()
                    .is_some_and(|r| r.rolling_back && !r.finished);
                if !back || self.halted.is_some() || known.unit != permit.unit {
                    return Err(RolloutError::Stopped);
                }
                *known = permit.clone();
                Ok(())
            }
            RolloutStep::Abandon(number, why) => {
                let permit = self.permits.remove(number).ok_or(RolloutError::Nothing)?;
                let release = self.rollout.as_deref_mut().ok_or(RolloutError::Nothing)?;
                if release.abandoned.len() >= MAX_ABANDONED {
                    return Err(RolloutError::NoRoom);
                }
                release.abandoned.insert(permit.unit, why.clone());
                Ok(())
            }
            RolloutStep::NextWave => {
                let release = self
                    .rollout
                    .as_deref_mut()
                    .filter(|r| !r.finished)
                    .ok_or(RolloutError::Stopped)?;
                (release.wave, release.granted_in_wave) = (release.wave + 1, 0);
                Ok(())
            }
            RolloutStep::Finish => {
                let planned = self.permits.values().any(|permit| permit.planned);
                let release = self
                    .rollout
                    .as_deref_mut()
                    .filter(|r| !r.finished && !planned)
                    .ok_or(RolloutError::Stopped)?;
                release.finished = true;
                Ok(())
            }
            RolloutStep::Halt(why) => self.halt(why),
            RolloutStep::RecordSizes(of, sizes) => {
                let known = self.zone_sizes_mut(*of);
                for (zone, size) in sizes {
                    let best = known.entry(zone.clone()).or_default();
                    *best = (*best).max(*size);
                }
                Ok(())
            }
        }
    }

    fn halt(&mut self, why: &str) -> Result<(), RolloutError> {
        if self.halted.is_some() {
            return Err(RolloutError::AlreadySo);
        }
        self.halted = Some(why.to_owned());
        Ok(())
    }

    fn end(
        &mut self,
        permits: &[PermitId],
        each: impl Fn(&mut DisruptionState, DisruptionPermit),
    ) -> Result<(), RolloutError> {
        let mut any = false;
        for number in permits {
            if let Some(permit) = self.permits.remove(number) {
                each(self, permit);
                any = true;
            }
        }
        any.then_some(()).ok_or(RolloutError::Nothing)
    }

    fn grant(&mut self, permit: &DisruptionPermit) -> Result<(), RolloutError> {
        if self.halted.is_some() {
            return Err(RolloutError::Stopped);
        }
        if self.permit_for(permit.unit_kind, &permit.unit).is_some()
            && !is_injected(InjectedFault::TurnTwice)
        {
            return Err(RolloutError::AlreadySo);
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(RolloutError::NoRoom);
        }
        if permit.planned {
            let release = self
                .rollout
                .as_deref()
                .filter(|r| !r.finished && r.plan.unit_kind == permit.unit_kind);
            let bounds = release.ok_or(RolloutError::Stopped)?.budget;
            // What is given by plan is counted here too: whatever a holder believes to see, this does not go over.
            let sizes = self.zone_sizes(permit.unit_kind);
            let (fleet, zone) = (
                sizes.values().sum(),
                sizes.get(&permit.zone).copied().unwrap_or_default(),
            );
            let given = |zone: Option<&str>| {
                let same = |t: &&DisruptionPermit| {
                    t.unit_kind == permit.unit_kind && zone.is_none_or(|zone| t.zone == zone)
                };
                self.permits.values().filter(same).count() as u32
            };
            let unbound = is_injected(InjectedFault::BackUnbound)
                || is_injected(InjectedFault::TurnTwice)
                || is_injected(InjectedFault::BeginsAnew);
            let full = given(None) >= bounds.fleet.limit_for(fleet)
                || given(Some(&permit.zone)) >= bounds.zone.limit_for(zone);
            if full && !unbound {
                return Err(RolloutError::NoRoom);
            }
        }
        self.permits_granted += 1;
        self.permits
            .insert(PermitId(self.permits_granted), permit.clone());
        let Some(release) = self.rollout.as_deref_mut().filter(|_| permit.planned) else {
            return Ok(());
        };
        release.granted_in_wave += 1;
        release.regrant.remove(&permit.unit);
        if permit.unit_kind == UnitKind::Engines {
            let at = key(&permit.unit);
            // Forward a zone has come to this one; back it has come to just before it.
            let to = if release.rolling_back {
                at.saturating_sub(1)
            } else {
                at
            };
            let reached = release
                .zone_progress
                .entry(permit.zone.clone())
                .or_insert(to);
            *reached = if release.rolling_back {
                (*reached).min(to)
            } else {
                (*reached).max(to)
            };
        }
        Ok(())
    }

    /// Takes an operator's word.
    ///
    /// # Errors
    /// Why it does not count.
    pub fn apply_command(&mut self, word: &OperatorCommand) -> Result<(), RolloutError> {
        match word {
            OperatorCommand::Start(release) => {
                if self.rollout.as_deref().is_some_and(|r| !r.finished) {
                    return Err(RolloutError::Busy);
                }
                if self.halted.is_some() {
                    return Err(RolloutError::Stopped);
                }
                self.rollout = Some(release.clone());
                Ok(())
            }
            // A halt that is there already is agreed on once more, as it may have been a try only.
            OperatorCommand::Halt(why) => self.halt(why).or(Ok(())),
            OperatorCommand::Resume => {
                self.halted.take().ok_or(RolloutError::Nothing)?;
                self.resume_count += 1;
                Ok(())
            }
            OperatorCommand::RollBack => {
                let halted = self.halted.is_some();
                let release = self.rollout.as_deref_mut().ok_or(RolloutError::Nothing)?;
                // What goes back already, or went, has nothing to go back on; and what left for good does not return.
                if (release.rolling_back && !halted) || release.plan.permanent {
                    return Err(RolloutError::Nothing);
                }
                (release.rolling_back, release.finished) = (true, false);
                (release.wave, release.granted_in_wave) = (0, 0);
                release.abandoned.clear();
                self.halted = None;
                self.resume_count += 1;
                Ok(())
            }
            OperatorCommand::End => {
                let release = self
                    .rollout
                    .as_deref_mut()
                    .filter(|r| !r.finished)
                    .ok_or(RolloutError::Nothing)?;
                release.finished = true;
                self.halted = None;
                Ok(())
            }
            OperatorCommand::Recount(of, sizes) => {
                *self.zone_sizes_mut(*of) = sizes.clone();
                Ok(())
            }
            OperatorCommand::Note(note) => {
                self.notes.push(note.clone());
                if self.notes.len() > MAX_NOTES {
                    self.notes.remove(0);
                }
                Ok(())
            }
        }
    }
}
