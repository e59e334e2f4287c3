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
    pub of: UnitKind,
    pub who: Name,
    /// Which process is to go: another one of its name has been out and back.
    pub incarnation: Incarnation,
    pub address: Address,
    pub zone: String,
    /// What it is to come back under; empty: anything.
    pub label: String,
    /// It is not to come back.
    pub stays: bool,
    /// Part of the release that is under way, not asked for beside it.
    pub planned: bool,
}

/// An ordered plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    pub name: String,
    pub of: UnitKind,
    /// What its members come back under, and what they had before.
    pub label: String,
    pub before: String,
    /// Which are meant; an empty list means all.
    pub zones: Vec<String>,
    pub cells: Vec<String>,
    pub kinds: Vec<String>,
    pub names: Vec<Name>,
    /// Those that go out stay out.
    pub stays: bool,
    /// How many turn in the first wave, and by what the next is larger, in thousandths.
    pub first: u32,
    pub grow_per_mille: u32,
    /// Milliseconds: watched between waves; back and ready before a turn is over; within which a turn has to have
    /// begun, and to be over.
    pub watch_ms: u64,
    pub settle_ms: u64,
    pub begin_ms: u64,
    pub back_ms: u64,
}

impl RolloutPlan {
    /// Whether a unit is meant.
    pub fn takes(&self, unit: &Unit) -> bool {
        let any =
            |list: &[String], word: &str| list.is_empty() || list.iter().any(|one| one == word);
        any(&self.zones, &unit.zone)
            && any(&self.cells, &unit.cell)
            && any(&self.kinds, &unit.kind)
            && (self.names.is_empty() || self.names.contains(&unit.name))
    }

    /// How many turn in a wave, counted from 0.
    pub fn wave(&self, number: u32) -> u32 {
        let grow = f64::from(self.grow_per_mille) / 1000.0;
        let size = f64::from(self.first) * grow.powi(number.min(64) as i32);
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
    pub bounds: DisruptionBudget,
    pub by: Name,
    /// It turns what went forward.
    pub back: bool,
    pub done: bool,
    /// The wave, counted from 0, and how many turns it has given.
    pub wave: u32,
    pub given: u32,
    /// Of engines, which carry no label: how far each zone has come, by [`key`]; and those before that which are
    /// to go again.
    pub reached: BTreeMap<String, u64>,
    pub again: BTreeSet<Name>,
    /// Those that did not come back as they should, with the reason, left for operators.
    pub left: BTreeMap<Name, String>,
    /// How many turns are over.
    pub turned: u32,
}

/// All of this that is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisruptionState {
    /// Turns given so far.
    pub given: u64,
    pub permits: BTreeMap<PermitId, DisruptionPermit>,
    pub release: Option<Box<Rollout>>,
    /// Why nothing goes out any more until an operator says so.
    pub halted: Option<String>,
    /// How often an operator had it go on: who waits for turns begins to wait anew.
    pub resumed: u64,
    /// How many dispatchers and engines each zone has: counted up as they are seen, and down by an operator's word
    /// alone, as one that is missing may have failed.
    pub dispatchers: ZoneSizes,
    pub engines: ZoneSizes,
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

    pub fn sizes(&self, of: UnitKind) -> &ZoneSizes {
        if of == UnitKind::Engines {
            &self.engines
        } else {
            &self.dispatchers
        }
    }

    fn sizes_mut(&mut self, of: UnitKind) -> &mut ZoneSizes {
        if of == UnitKind::Engines {
            &mut self.engines
        } else {
            &mut self.dispatchers
        }
    }

    /// The release that goes on, if nothing keeps it.
    pub fn running(&self) -> Option<&Rollout> {
        self.release
            .as_deref()
            .filter(|r| !r.done && self.halted.is_none())
    }

    /// Whether there is anything to look after.
    pub fn is_active(&self) -> bool {
        !self.permits.is_empty() || self.release.as_deref().is_some_and(|r| !r.done)
    }

    pub fn turn_of(&self, of: UnitKind, who: &Name) -> Option<(&PermitId, &DisruptionPermit)> {
        self.permits
            .iter()
            .find(|(_, permit)| permit.of == of && permit.who == *who)
    }

    /// Takes a holder's step.
    ///
    /// # Errors
    /// Why it does not count; nothing is changed then.
    pub fn step(&mut self, step: &RolloutStep) -> Result<(), RolloutError> {
        match step {
            RolloutStep::Grant(permits) => permits.iter().try_for_each(|permit| self.grant(permit)),
            RolloutStep::Complete(permits) => self.end(permits, |disruptions, permit| {
                if permit.stays {
                    // By an operator's word it is gone for good: it is not missed.
                    if let Some(size) = disruptions.sizes_mut(permit.of).get_mut(&permit.zone) {
                        *size = size.saturating_sub(1);
                    }
                }
                if let Some(release) = disruptions
                    .release
                    .as_deref_mut()
                    .filter(|_| permit.planned)
                {
                    release.turned += 1;
                }
            }),
            RolloutStep::Revoke(permits) => self.end(permits, |disruptions, permit| {
                if let Some(release) = disruptions
                    .release
                    .as_deref_mut()
                    .filter(|r| permit.planned && !r.done)
                {
                    release.given = release.given.saturating_sub(1);
                    if permit.of == UnitKind::Engines {
                        release.again.insert(permit.who);
                    }
                }
            }),
            RolloutStep::Reissue(number, permit) => {
                let known = self.permits.get_mut(number).ok_or(RolloutError::Nothing)?;
                let back = self.release.as_deref().is_some_and(|r| r.back && !r.done);
                if !back || self.halted.is_some() || known.who != permit.who {
                    return Err(RolloutError::Stopped);
                }
                *known = permit.clone();
                Ok(())
            }
            RolloutStep::Abandon(number, why) => {
                let permit = self.permits.remove(number).ok_or(RolloutError::Nothing)?;
                let release = self.release.as_deref_mut().ok_or(RolloutError::Nothing)?;
                if release.left.len() >= MAX_ABANDONED {
                    return Err(RolloutError::NoRoom);
                }
                release.left.insert(permit.who, why.clone());
                Ok(())
            }
            RolloutStep::NextWave => {
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done)
                    .ok_or(RolloutError::Stopped)?;
                (release.wave, release.given) = (release.wave + 1, 0);
                Ok(())
            }
            RolloutStep::Finish => {
                let planned = self.permits.values().any(|permit| permit.planned);
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done && !planned)
                    .ok_or(RolloutError::Stopped)?;
                release.done = true;
                Ok(())
            }
            RolloutStep::Halt(why) => self.halt(why),
            RolloutStep::RecordSizes(of, sizes) => {
                let known = self.sizes_mut(*of);
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
        if self.turn_of(permit.of, &permit.who).is_some() && !is_injected(InjectedFault::TurnTwice)
        {
            return Err(RolloutError::AlreadySo);
        }
        if self.permits.len() >= MAX_PERMITS {
            return Err(RolloutError::NoRoom);
        }
        if permit.planned {
            let release = self
                .release
                .as_deref()
                .filter(|r| !r.done && r.plan.of == permit.of);
            let bounds = release.ok_or(RolloutError::Stopped)?.bounds;
            // What is given by plan is counted here too: whatever a holder believes to see, this does not go over.
            let sizes = self.sizes(permit.of);
            let (fleet, zone) = (
                sizes.values().sum(),
                sizes.get(&permit.zone).copied().unwrap_or_default(),
            );
            let given = |zone: Option<&str>| {
                let same = |t: &&DisruptionPermit| {
                    t.of == permit.of && zone.is_none_or(|zone| t.zone == zone)
                };
                self.permits.values().filter(same).count() as u32
            };
            let unbound = is_injected(InjectedFault::BackUnbound)
                || is_injected(InjectedFault::TurnTwice)
                || is_injected(InjectedFault::BeginsAnew);
            let full = given(None) >= bounds.fleet.of(fleet)
                || given(Some(&permit.zone)) >= bounds.zone.of(zone);
            if full && !unbound {
                return Err(RolloutError::NoRoom);
            }
        }
        self.given += 1;
        self.permits.insert(PermitId(self.given), permit.clone());
        let Some(release) = self.release.as_deref_mut().filter(|_| permit.planned) else {
            return Ok(());
        };
        release.given += 1;
        release.again.remove(&permit.who);
        if permit.of == UnitKind::Engines {
            let at = key(&permit.who);
            // Forward a zone has come to this one; back it has come to just before it.
            let to = if release.back {
                at.saturating_sub(1)
            } else {
                at
            };
            let reached = release.reached.entry(permit.zone.clone()).or_insert(to);
            *reached = if release.back {
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
    pub fn word(&mut self, word: &OperatorCommand) -> Result<(), RolloutError> {
        match word {
            OperatorCommand::Start(release) => {
                if self.release.as_deref().is_some_and(|r| !r.done) {
                    return Err(RolloutError::Busy);
                }
                if self.halted.is_some() {
                    return Err(RolloutError::Stopped);
                }
                self.release = Some(release.clone());
                Ok(())
            }
            // A halt that is there already is agreed on once more, as it may have been a try only.
            OperatorCommand::Halt(why) => self.halt(why).or(Ok(())),
            OperatorCommand::Resume => {
                self.halted.take().ok_or(RolloutError::Nothing)?;
                self.resumed += 1;
                Ok(())
            }
            OperatorCommand::RollBack => {
                let halted = self.halted.is_some();
                let release = self.release.as_deref_mut().ok_or(RolloutError::Nothing)?;
                // What goes back already, or went, has nothing to go back on; and what left for good does not return.
                if (release.back && !halted) || release.plan.stays {
                    return Err(RolloutError::Nothing);
                }
                (release.back, release.done) = (true, false);
                (release.wave, release.given) = (0, 0);
                release.left.clear();
                self.halted = None;
                self.resumed += 1;
                Ok(())
            }
            OperatorCommand::End => {
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done)
                    .ok_or(RolloutError::Nothing)?;
                release.done = true;
                self.halted = None;
                Ok(())
            }
            OperatorCommand::Recount(of, sizes) => {
                *self.sizes_mut(*of) = sizes.clone();
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
