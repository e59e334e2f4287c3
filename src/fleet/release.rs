//! Who may be out, as the fleet agrees on it: turns, and the release that gives them. A part of the agreed value, and
//! each change that can be made to it. A holder's steps name its term and count only while it holds the roll-call by
//! this very value; operators' words may come from any dispatcher.

use super::bounds::{Bounds, Of, Sizes, Unit};
use super::planted::{is, Plant};
use super::{Address, Name, Run};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// A turn's number: counted over all that were ever given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnNo(pub u64);

/// The leave for one to go out. It is agreed on before anybody is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Turn {
    pub of: Of,
    pub who: Name,
    /// Which process is to go: another one of its name has been out and back.
    pub run: Run,
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
pub struct Plan {
    pub name: String,
    pub of: Of,
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

impl Plan {
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
pub struct Release {
    pub plan: Plan,
    pub bounds: Bounds,
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
pub struct Care {
    /// Turns given so far.
    pub given: u64,
    pub turns: BTreeMap<TurnNo, Turn>,
    pub release: Option<Box<Release>>,
    /// Why nothing goes out any more until an operator says so.
    pub halted: Option<String>,
    /// How often an operator had it go on: who waits for turns begins to wait anew.
    pub resumed: u64,
    /// How many dispatchers and engines each zone has: counted up as they are seen, and down by an operator's word
    /// alone, as one that is missing may have failed.
    pub dispatchers: Sizes,
    pub engines: Sizes,
    /// What operators did by hand without agreement; the last few.
    pub notes: Vec<String>,
}

/// What whoever holds the roll-call does in its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Grant(Vec<Turn>),
    /// They are back as they should be, or gone for good.
    Over(Vec<TurnNo>),
    /// They surely have not begun and will not: they may be given again.
    TakeBack(Vec<TurnNo>),
    /// Going back, one that is out and did not come back as it should is told again, as the process it is now.
    Again(TurnNo, Turn),
    Leave(TurnNo, String),
    NextWave,
    Finish,
    Halt(String),
    Count(Of, Sizes),
}

/// What operators say, at any dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Word {
    Start(Box<Release>),
    Halt(String),
    Resume,
    Back,
    /// Ends a release that stands.
    End,
    /// There are as many as are seen now: whoever is missing is missed no more.
    Recount(Of, Sizes),
    Note(String),
}

/// Why a step or a word does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum No {
    /// Nothing goes out: halted, done, or no such release.
    Stopped,
    /// Another release is not done.
    Busy,
    AlreadySo,
    Nothing,
    /// The bounds or the value have no room.
    Full,
}

/// Turns at once: the value stays small. A turn takes some 80 bytes.
pub const MOST_TURNS: usize = 256;
/// Units named as left, notes, names in a plan.
pub const MOST_LEFT: usize = 64;
pub const MOST_NOTES: usize = 8;
pub const MOST_NAMES: usize = 256;

impl Care {
    /// Whether there is nothing of this at all.
    pub fn is_empty(&self) -> bool {
        *self == Care::default()
    }

    pub fn sizes(&self, of: Of) -> &Sizes {
        if of == Of::Engines {
            &self.engines
        } else {
            &self.dispatchers
        }
    }

    fn sizes_mut(&mut self, of: Of) -> &mut Sizes {
        if of == Of::Engines {
            &mut self.engines
        } else {
            &mut self.dispatchers
        }
    }

    /// The release that goes on, if nothing keeps it.
    pub fn running(&self) -> Option<&Release> {
        self.release
            .as_deref()
            .filter(|r| !r.done && self.halted.is_none())
    }

    /// Whether there is anything to look after.
    pub fn is_active(&self) -> bool {
        !self.turns.is_empty() || self.release.as_deref().is_some_and(|r| !r.done)
    }

    pub fn turn_of(&self, of: Of, who: &Name) -> Option<(&TurnNo, &Turn)> {
        self.turns
            .iter()
            .find(|(_, turn)| turn.of == of && turn.who == *who)
    }

    /// Takes a holder's step.
    ///
    /// # Errors
    /// Why it does not count; nothing is changed then.
    pub fn step(&mut self, step: &Step) -> Result<(), No> {
        match step {
            Step::Grant(turns) => turns.iter().try_for_each(|turn| self.grant(turn)),
            Step::Over(turns) => self.end(turns, |care, turn| {
                if turn.stays {
                    // By an operator's word it is gone for good: it is not missed.
                    if let Some(size) = care.sizes_mut(turn.of).get_mut(&turn.zone) {
                        *size = size.saturating_sub(1);
                    }
                }
                if let Some(release) = care.release.as_deref_mut().filter(|_| turn.planned) {
                    release.turned += 1;
                }
            }),
            Step::TakeBack(turns) => self.end(turns, |care, turn| {
                if let Some(release) = care
                    .release
                    .as_deref_mut()
                    .filter(|r| turn.planned && !r.done)
                {
                    release.given = release.given.saturating_sub(1);
                    if turn.of == Of::Engines {
                        release.again.insert(turn.who);
                    }
                }
            }),
            Step::Again(number, turn) => {
                let known = self.turns.get_mut(number).ok_or(No::Nothing)?;
                let back = self.release.as_deref().is_some_and(|r| r.back && !r.done);
                if !back || self.halted.is_some() || known.who != turn.who {
                    return Err(No::Stopped);
                }
                *known = turn.clone();
                Ok(())
            }
            Step::Leave(number, why) => {
                let turn = self.turns.remove(number).ok_or(No::Nothing)?;
                let release = self.release.as_deref_mut().ok_or(No::Nothing)?;
                if release.left.len() >= MOST_LEFT {
                    return Err(No::Full);
                }
                release.left.insert(turn.who, why.clone());
                Ok(())
            }
            Step::NextWave => {
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done)
                    .ok_or(No::Stopped)?;
                (release.wave, release.given) = (release.wave + 1, 0);
                Ok(())
            }
            Step::Finish => {
                let planned = self.turns.values().any(|turn| turn.planned);
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done && !planned)
                    .ok_or(No::Stopped)?;
                release.done = true;
                Ok(())
            }
            Step::Halt(why) => self.halt(why),
            Step::Count(of, sizes) => {
                let known = self.sizes_mut(*of);
                for (zone, size) in sizes {
                    let best = known.entry(zone.clone()).or_default();
                    *best = (*best).max(*size);
                }
                Ok(())
            }
        }
    }

    fn halt(&mut self, why: &str) -> Result<(), No> {
        if self.halted.is_some() {
            return Err(No::AlreadySo);
        }
        self.halted = Some(why.to_owned());
        Ok(())
    }

    fn end(&mut self, turns: &[TurnNo], each: impl Fn(&mut Care, Turn)) -> Result<(), No> {
        let mut any = false;
        for number in turns {
            if let Some(turn) = self.turns.remove(number) {
                each(self, turn);
                any = true;
            }
        }
        any.then_some(()).ok_or(No::Nothing)
    }

    fn grant(&mut self, turn: &Turn) -> Result<(), No> {
        if self.halted.is_some() {
            return Err(No::Stopped);
        }
        if self.turn_of(turn.of, &turn.who).is_some() && !is(Plant::TurnTwice) {
            return Err(No::AlreadySo);
        }
        if self.turns.len() >= MOST_TURNS {
            return Err(No::Full);
        }
        if turn.planned {
            let release = self
                .release
                .as_deref()
                .filter(|r| !r.done && r.plan.of == turn.of);
            let bounds = release.ok_or(No::Stopped)?.bounds;
            // What is given by plan is counted here too: whatever a holder believes to see, this does not go over.
            let sizes = self.sizes(turn.of);
            let (fleet, zone) = (
                sizes.values().sum(),
                sizes.get(&turn.zone).copied().unwrap_or_default(),
            );
            let given = |zone: Option<&str>| {
                let same = |t: &&Turn| t.of == turn.of && zone.is_none_or(|zone| t.zone == zone);
                self.turns.values().filter(same).count() as u32
            };
            let unbound = is(Plant::BackUnbound) || is(Plant::TurnTwice) || is(Plant::BeginsAnew);
            let full = given(None) >= bounds.fleet.of(fleet)
                || given(Some(&turn.zone)) >= bounds.zone.of(zone);
            if full && !unbound {
                return Err(No::Full);
            }
        }
        self.given += 1;
        self.turns.insert(TurnNo(self.given), turn.clone());
        let Some(release) = self.release.as_deref_mut().filter(|_| turn.planned) else {
            return Ok(());
        };
        release.given += 1;
        release.again.remove(&turn.who);
        if turn.of == Of::Engines {
            let at = key(&turn.who);
            // Forward a zone has come to this one; back it has come to just before it.
            let to = if release.back {
                at.saturating_sub(1)
            } else {
                at
            };
            let reached = release.reached.entry(turn.zone.clone()).or_insert(to);
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
    pub fn word(&mut self, word: &Word) -> Result<(), No> {
        match word {
            Word::Start(release) => {
                if self.release.as_deref().is_some_and(|r| !r.done) {
                    return Err(No::Busy);
                }
                if self.halted.is_some() {
                    return Err(No::Stopped);
                }
                self.release = Some(release.clone());
                Ok(())
            }
            // A halt that is there already is agreed on once more, as it may have been a try only.
            Word::Halt(why) => self.halt(why).or(Ok(())),
            Word::Resume => {
                self.halted.take().ok_or(No::Nothing)?;
                self.resumed += 1;
                Ok(())
            }
            Word::Back => {
                let halted = self.halted.is_some();
                let release = self.release.as_deref_mut().ok_or(No::Nothing)?;
                // What goes back already, or went, has nothing to go back on; and what left for good does not return.
                if (release.back && !halted) || release.plan.stays {
                    return Err(No::Nothing);
                }
                (release.back, release.done) = (true, false);
                (release.wave, release.given) = (0, 0);
                release.left.clear();
                self.halted = None;
                self.resumed += 1;
                Ok(())
            }
            Word::End => {
                let release = self
                    .release
                    .as_deref_mut()
                    .filter(|r| !r.done)
                    .ok_or(No::Nothing)?;
                release.done = true;
                self.halted = None;
                Ok(())
            }
            Word::Recount(of, sizes) => {
                *self.sizes_mut(*of) = sizes.clone();
                Ok(())
            }
            Word::Note(note) => {
                self.notes.push(note.clone());
                if self.notes.len() > MOST_NOTES {
                    self.notes.remove(0);
                }
                Ok(())
            }
        }
    }
}
