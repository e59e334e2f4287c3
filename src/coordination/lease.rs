//! When a member holds a lease, and when it may acquire one.
//!
//! No clock is compared with another's. A holder counts its lease from before it requested it; a contender waits for
//! a whole lease on its own clock since it last saw the lease's record change; and both allow for clocks that differ
//! in rate by a stated fraction. So the lease is over at its holder before another member acquires it.

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
    /// The duration of a lease, in milliseconds.
    pub lease: Ms,
    /// The fraction by which the rates of two clocks may differ.
    pub drift: f64,
}

/// Renewals in the time of a lease: two may fail before it is over.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// The time between two contenders' election delays, as a fraction of a lease.
const GAP_FRACTION: f64 = 0.05;
/// Contenders ask for the newest value this often in the time of a lease.
const QUERIES_PER_LEASE: f64 = 10.0;
/// The longest step of a contender's clock that counts as waited, in query intervals.
const MAX_STEP_QUERIES: f64 = 2.0;
/// Places among the next holders. A member without one waits for another lease at least.
pub const PLACES: u32 = 5;

impl LeaseSettings {
    /// How long a holder counts on a lease after it requested it, in milliseconds.
    pub fn held_for(&self) -> Ms {
        self.lease * (1.0 - self.drift)
    }

    /// How long a contender waits for the end of a lease that its holder counts with `lease_ms`, in milliseconds.
    pub fn waited_for(&self, lease_ms: u64) -> Ms {
        self.lease.max(lease_ms as f64) * (1.0 + self.drift)
    }

    /// When a lease is renewed, in milliseconds after it was requested.
    pub fn renew_after(&self) -> Ms {
        self.lease / RENEWALS_PER_LEASE
    }

    /// How often a contender asks for the newest value, in milliseconds.
    pub fn query_interval(&self) -> Ms {
        self.lease / QUERIES_PER_LEASE
    }

    /// The time between the election delays of two places, in milliseconds.
    pub fn gap(&self) -> Ms {
        self.lease * GAP_FRACTION
    }

    /// The duration of a lease in whole milliseconds, rounded up.
    pub fn lease_ms(&self) -> u64 {
        self.lease.ceil() as u64
    }
}

/// A lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldLease {
    /// The term in which it is held.
    pub term: Term,
    /// When the proposal that granted it last began, on this member's clock in milliseconds.
    pub requested_at: Ms,
    /// When it is over, on this member's clock in milliseconds.
    pub expires_at: Ms,
}

impl HeldLease {
    /// A lease that was requested and granted at these times of this member's clock, in milliseconds.
    ///
    /// Guards against an answer that was long under way: a contender may have waited since the moment at which the
    /// voters accepted the request, which is after it was sent. So the lease counts from `requested_at`.
    pub fn new(term: Term, requested_at: Ms, granted_at: Ms, settings: &LeaseSettings) -> Self {
        let begins_at = match is_injected(InjectedFault::LeaseCountedFromAnswer) {
            true => granted_at,
            false => requested_at,
        };
        HeldLease {
            term,
            requested_at,
            expires_at: begins_at + settings.held_for(),
        }
    }

    /// What is left of it, in milliseconds; 0 once it is over, whether that was noticed or not.
    pub fn left(&self, now: Ms) -> Ms {
        (self.expires_at - now).max(0.0)
    }
}

/// A lease that this member is ready to acquire, and what it saw of it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseObserver {
    /// The version of the record that was seen last.
    version: LeaseVersion,
    record: Option<LeaseRecord>,
    /// The replicated state was seen, with a record of this lease or without.
    pub has_observed: bool,
    /// The time since the version was new, as far as it counts, and when it was last counted.
    waited: Ms,
    counted_at: Ms,
    /// Drawn for each version, 0 to 1: contenders do not come at the same moment.
    jitter: f64,
    /// This member's place among the next holders, if it has one.
    pub place: Option<u32>,
}

impl LeaseObserver {
    /// An observer that has not seen the replicated state yet.
    pub fn new(now: Ms, rng: &mut WyRand) -> Self {
        LeaseObserver {
            version: LeaseVersion::default(),
            record: None,
            has_observed: false,
            waited: 0.0,
            counted_at: now,
            jitter: rng.generate(),
            place: None,
        }
    }

    /// Takes the lease's record of the newest value in. The waiting begins anew with each change of it.
    pub fn observe(&mut self, now: Ms, record: Option<&LeaseRecord>, rng: &mut WyRand) {
        let version = record.map(LeaseRecord::version).unwrap_or_default();
        if self.has_observed && version == self.version {
            return;
        }
        self.version = version;
        self.record = record.cloned();
        self.waited = 0.0;
        self.counted_at = now;
        self.jitter = rng.generate();
        self.has_observed = true;
    }

    /// Counts the time since the last call as waited.
    ///
    /// Guards against a contender that was stopped or whose clock jumped: it did not ask for newer values meanwhile,
    /// and would acquire a lease that was renewed. A step longer than two queries does not count.
    pub fn count_time(&mut self, now: Ms, settings: &LeaseSettings) {
        let passed = now - self.counted_at;
        self.counted_at = now;
        let longest_step = MAX_STEP_QUERIES * settings.query_interval();
        let was_awake = (0.0..=longest_step).contains(&passed);
        if was_awake || is_injected(InjectedFault::SleepCountedAsWait) {
            self.waited += passed;
        }
    }

    /// The version of the record that was seen last.
    pub fn version(&self) -> LeaseVersion {
        self.version
    }

    /// Whether the lease was given up with this member named as the next holder.
    pub fn names_successor(&self, me: &Name) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.holder.is_none() && record.next.as_ref() == Some(me))
    }

    /// How much longer this member waits before it acquires the lease, in milliseconds; 0 is now.
    pub fn election_delay(&self, me: &LeaseHolder, is_voter: bool, settings: &LeaseSettings) -> Ms {
        if !self.has_observed {
            return f64::INFINITY;
        }
        let record = self.record.as_ref();
        let holder = record.and_then(|record| record.holder.as_ref());
        if holder == Some(me) {
            // A proposal of this process was chosen without an answer to it: nobody else acts under the lease.
            return 0.0;
        }
        let lease_end = settings.waited_for(record.map_or(0, |record| record.lease_ms));
        let spread = self.spread(is_voter, settings);
        let successor = match holder {
            Some(_) => None,
            None => record.and_then(|record| record.next.as_ref()),
        };
        let delay = match (successor, holder) {
            (Some(successor), _) if *successor == me.name => 0.0,
            // The named successor gets the time of a lease to come.
            (Some(_), _) => lease_end + spread,
            // Guards against two holders: the present one may act until its lease is over.
            (None, Some(_)) if !is_injected(InjectedFault::LeaseTakenEarly) => lease_end + spread,
            (None, _) => spread,
        };
        (delay - self.waited).max(0.0)
    }

    /// The part of the election delay that keeps contenders apart, in milliseconds.
    fn spread(&self, is_voter: bool, settings: &LeaseSettings) -> Ms {
        let gap = settings.gap();
        match self.place {
            Some(place) => (f64::from(place) + self.jitter) * gap,
            // Without a place voters come first, as those that can be counted on to be there.
            None if is_voter => (f64::from(PLACES) + f64::from(PLACES) * self.jitter) * gap,
            None => settings.lease * (1.0 + self.jitter),
        }
    }
}

/// A member as a possible holder of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// It takes requests and does not stop.
    pub ready: bool,
    /// The zone that it runs in.
    pub zone: String,
    /// Its utilization, 0 to 1.
    pub load: f64,
    /// How many leases it holds.
    pub holds: u32,
}

/// From this utilization on a candidate comes after the others.
const BUSY_UTILIZATION: f64 = 0.8;

/// The places among the next holders of a lease: ready candidates first, then those of the preferred zone, those
/// that are not busy, and those that hold the fewest leases; else by a hash. The present holder has no place.
pub fn rank_candidates<'a>(
    lease_name: &LeaseName,
    preferred_zone: Option<&str>,
    holder: Option<&Name>,
    candidates: impl Iterator<Item = (&'a Name, Candidate)>,
) -> BTreeMap<Name, u32> {
    let rank = |name: &Name, candidate: &Candidate| {
        let is_near = preferred_zone.is_none_or(|zone| zone == candidate.zone);
        let is_busy = candidate.load >= BUSY_UTILIZATION;
        let hash = xxh3_64(format!("{} {}", lease_name.0, name.0).as_bytes());
        (!candidate.ready, !is_near, is_busy, candidate.holds, hash)
    };
    let mut ranked: Vec<_> = candidates
        .filter(|(name, _)| Some(*name) != holder)
        .map(|(name, candidate)| (rank(name, &candidate), name.clone()))
        .collect();
    ranked.sort();
    let names = ranked.into_iter().map(|(_, name)| name);
    names.zip(0..PLACES).collect()
}

/// The holder of a lease by a value, and its term.
pub fn holder_of<'a>(
    state: &'a ReplicatedState,
    lease_name: &LeaseName,
) -> Option<(Term, &'a LeaseHolder)> {
    let record = state.leases.get(lease_name)?;
    record.holder.as_ref().map(|holder| (record.term, holder))
}

/// Whether a lease is held by this process.
pub fn is_mine(record: &LeaseRecord, name: &Name, incarnation: Incarnation) -> bool {
    record
        .holder
        .as_ref()
        .is_some_and(|holder| holder.name == *name && holder.incarnation == incarnation)
}
