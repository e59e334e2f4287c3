//! When a dispatcher holds a duty, and when it may take one. No clock is compared with another's: a holder counts
//! its lease from before it asked for it, a contender waits for a whole lease of its own since it last saw the
//! duty's row change, and both allow for clocks that run apart by a stated part.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::{LeaseHolder, LeaseRecord, LeaseVersion, ReplicatedState};
use super::{Incarnation, LeaseName, Name, Term};
use crate::interface::Ms;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Times of a fleet's leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    pub lease: Ms,
    /// The part by which two clocks may run apart.
    pub drift: f64,
}

/// A lease is renewed this often in its time, so that two tries may be lost.
const RENEWALS: f64 = 3.0;
/// Contenders with a place stand this part of a lease apart.
const GAP: f64 = 0.05;
/// A contender looks this often in a lease, and no step of its clock counts for more than two of these: one that
/// was stopped, or whose clock jumped, has not waited meanwhile.
const LOOKS: f64 = 10.0;
/// Places that are given to contenders; whoever has none waits for another lease at least.
pub const PLACES: u32 = 5;

impl LeaseSettings {
    /// For how long a holder counts on a lease that it asked for at 0.
    pub fn held_for(&self) -> Ms {
        self.lease * (1.0 - self.drift)
    }

    /// How long a contender waits for a lease of another's settings.
    pub fn waited_for(&self, lease_ms: u64) -> Ms {
        self.lease.max(lease_ms as f64) * (1.0 + self.drift)
    }

    pub fn renew_after(&self) -> Ms {
        self.lease / RENEWALS
    }

    pub fn look_every(&self) -> Ms {
        self.lease / LOOKS
    }

    pub fn gap(&self) -> Ms {
        self.lease * GAP
    }

    pub fn lease_ms(&self) -> u64 {
        self.lease.ceil() as u64
    }
}

/// A duty that this dispatcher holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldLease {
    pub term: Term,
    /// When it was asked for last, of the times that were granted, and until when that counts.
    pub asked: Ms,
    pub until: Ms,
}

impl HeldLease {
    pub fn new(term: Term, asked: Ms, heard: Ms, settings: &LeaseSettings) -> Self {
        let from = if is_injected(InjectedFault::LeaseFromAnswer) {
            heard
        } else {
            asked
        };
        HeldLease {
            term,
            asked,
            until: from + settings.held_for(),
        }
    }

    /// What is left of it; nothing counts once it is over, even if nobody has noticed.
    pub fn left(&self, now: Ms) -> Ms {
        (self.until - now).max(0.0)
    }
}

/// A duty that this dispatcher is ready to hold, and what it saw of it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseObserver {
    mark: LeaseVersion,
    /// The row as seen; none while there is none.
    row: Option<LeaseRecord>,
    /// A row was looked at, if there is one.
    pub looked: bool,
    /// What counts as waited since the mark was new, and when that was last counted.
    waited: Ms,
    counted: Ms,
    /// Drawn for each mark: contenders do not come in the same moment.
    jitter: f64,
    /// The place that the roll-call gave, if it gave one.
    pub place: Option<u32>,
}

impl LeaseObserver {
    pub fn new(now: Ms, rng: &mut WyRand) -> Self {
        LeaseObserver {
            mark: LeaseVersion::default(),
            row: None,
            looked: false,
            waited: 0.0,
            counted: now,
            jitter: rng.generate(),
            place: None,
        }
    }

    /// The row as the newest value has it that was seen. Any change of it begins the waiting anew.
    pub fn saw(&mut self, now: Ms, row: Option<&LeaseRecord>, rng: &mut WyRand) {
        let mark = row.map(LeaseRecord::mark).unwrap_or_default();
        if !self.looked || mark != self.mark {
            (self.mark, self.row) = (mark, row.cloned());
            (self.waited, self.counted, self.jitter) = (0.0, now, rng.generate());
            self.looked = true;
        }
    }

    /// Counts the time since it was last asked.
    pub fn count(&mut self, now: Ms, settings: &LeaseSettings) {
        let passed = now - self.counted;
        self.counted = now;
        let awake = (0.0..=2.0 * settings.look_every()).contains(&passed);
        if awake || is_injected(InjectedFault::SleptWaiting) {
            self.waited += passed;
        }
    }

    pub fn mark(&self) -> LeaseVersion {
        self.mark
    }

    /// Whether the duty was given up for this dispatcher.
    pub fn names(&self, me: &Name) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.holder.is_none() && row.next.as_ref() == Some(me))
    }

    /// How much longer this dispatcher waits before it takes the duty; 0 is now.
    pub fn waits(&self, me: &LeaseHolder, voter: bool, settings: &LeaseSettings) -> Ms {
        if !self.looked {
            return f64::INFINITY;
        }
        let (gap, all) = (
            settings.gap(),
            settings.waited_for(self.row.as_ref().map_or(0, |r| r.lease_ms)),
        );
        let place = match self.place {
            Some(place) => (f64::from(place) + self.jitter) * gap,
            // Without a roll-call voters come first, as those that can be counted on to be there.
            None if voter => (f64::from(PLACES) + f64::from(PLACES) * self.jitter) * gap,
            None => settings.lease * (1.0 + self.jitter),
        };
        let free = self.row.as_ref().filter(|row| row.holder.is_none());
        let named = free.and_then(|row| row.next.as_ref());
        let held = match &self.row {
            // A try of this process was agreed on without its hearing of it: nobody else acts by it.
            Some(row) if row.holder.as_ref() == Some(me) => return 0.0,
            Some(row) if row.holder.is_some() && !is_injected(InjectedFault::NoWait) => all,
            _ => 0.0,
        };
        let wanted = match named {
            Some(next) if *next == me.name => 0.0,
            // Whoever was named gets the time of a lease to come.
            Some(_) => all + place,
            None => held + place,
        };
        (wanted - self.waited).max(0.0)
    }
}

/// How a dispatcher stands as a holder of duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub ready: bool,
    pub zone: String,
    /// What is used of it, 0 to 1.
    pub load: f64,
    /// Duties that it holds.
    pub holds: u32,
}

/// Above this much use a dispatcher is named only after the others.
const BUSY: f64 = 0.8;

/// The places of those that may hold a duty next: ready ones first, those of the preferred zone, not busy ones,
/// those that hold least, and else spread by duty and name. Its holder has none.
pub fn places<'a>(
    lease_name: &LeaseName,
    prefers: Option<&str>,
    holder: Option<&Name>,
    fits: impl Iterator<Item = (&'a Name, Candidate)>,
) -> BTreeMap<Name, u32> {
    let rank = |name: &Name, fit: &Candidate| {
        let near = prefers.is_none_or(|zone| zone == fit.zone);
        let spread = xxh3_64(format!("{} {}", lease_name.0, name.0).as_bytes());
        (!fit.ready, !near, fit.load >= BUSY, fit.holds, spread)
    };
    let mut all: Vec<_> = fits
        .filter(|(name, _)| Some(*name) != holder)
        .map(|(name, fit)| (rank(name, &fit), name.clone()))
        .collect();
    all.sort();
    all.into_iter()
        .map(|(_, name)| name)
        .zip(0..PLACES)
        .collect()
}

/// Whose process holds a duty by a value, and its term.
pub fn holder_of<'a>(
    agreed: &'a ReplicatedState,
    lease_name: &LeaseName,
) -> Option<(Term, &'a LeaseHolder)> {
    let row = agreed.leases.get(lease_name)?;
    row.holder.as_ref().map(|holder| (row.term, holder))
}

/// Whether a row is this process's.
pub fn is_mine(row: &LeaseRecord, name: &Name, incarnation: Incarnation) -> bool {
    row.holder
        .as_ref()
        .is_some_and(|h| h.name == *name && h.incarnation == incarnation)
}
