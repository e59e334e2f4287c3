//! How long a member holds a lease, and when another member may acquire the lease.
//!
//! The clocks of different members are never compared. A holder measures its lease from a time before the holder sends
//! the request. A contender waits for a whole lease duration on its own clock, measured from when the contender last
//! saw the lease's record change. Both allow for clock rates that differ by a configured fraction. The holder therefore
//! stops acting under the lease before another member acquires the lease.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::{LeaseHolder, LeaseRecord, LeaseVersion, ReplicatedState};
use super::{Incarnation, LeaseName, Name, Term};
use crate::interface::Ms;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The lease duration and the allowance for clock drift. All members of a fleet have to use the same values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// The duration of a lease, in milliseconds. Holders use less and contenders wait longer, to allow for drift.
    pub lease: Ms,
    /// The largest fraction by which the rates of two members' clocks may differ.
    pub drift: f64,
}

/// The number of renewals per lease duration. Two renewals may fail before the lease expires.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// The difference between the election delays of successive ranks, as a fraction of the lease duration.
const ELECTION_GAP_FRACTION: f64 = 0.05;
/// The number of times per lease duration that a contender asks a voter for the newest value.
const QUERIES_PER_LEASE: f64 = 10.0;
/// A contender's wait for a lease excludes the time between two inputs if that time is longer than this many query
/// intervals.
const MAX_STEP_QUERY_INTERVALS: f64 = 2.0;
/// The number of members that are ranked as possible successors of a holder. Unranked members that are not voters wait
/// for at least one more lease duration.
pub const RANKED_SUCCESSORS: u32 = 5;

impl LeaseSettings {
    /// How long a holder may act under a lease after it requested the lease, in milliseconds.
    pub fn holding_time(&self) -> Ms {
        self.lease * (1.0 - self.drift)
    }

    /// How long a contender waits before it treats a lease as expired, in milliseconds. `lease_ms` is the duration in
    /// the lease's record.
    pub fn contender_wait(&self, lease_ms: u64) -> Ms {
        self.lease.max(lease_ms as f64) * (1.0 + self.drift)
    }

    /// The time from the request that granted or last renewed a lease to its next renewal, in milliseconds.
    pub fn renew_after(&self) -> Ms {
        self.lease / RENEWALS_PER_LEASE
    }

    /// The time between two queries of a contender for the newest value, in milliseconds.
    pub fn query_interval(&self) -> Ms {
        self.lease / QUERIES_PER_LEASE
    }

    /// The difference between the election delays of successive ranks, in milliseconds.
    pub fn election_gap(&self) -> Ms {
        self.lease * ELECTION_GAP_FRACTION
    }

    /// The lease duration as it is stored in lease records: in whole milliseconds, rounded up.
    pub fn lease_ms(&self) -> u64 {
        self.lease.ceil() as u64
    }
}

/// A lease that this member holds, with the time until which it may act under the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldLease {
    /// The fencing token, which commands under this lease carry.
    pub term: Term,
    /// When the proposal that last granted or renewed the lease began, on this member's clock in milliseconds.
    pub requested_at: Ms,
    /// When the lease expires, on this member's clock in milliseconds.
    pub expires_at: Ms,
}

impl HeldLease {
    /// Creates a lease that was requested at `requested_at` and granted at `granted_at`, both on this member's clock in
    /// milliseconds.
    ///
    /// Guards against a delayed answer: a contender's wait may begin as soon as the voters accept the request. The
    /// lease is therefore measured from `requested_at`, which is before the voters accept.
    pub fn new(term: Term, requested_at: Ms, granted_at: Ms, settings: &LeaseSettings) -> Self {
        let begins_at = match is_injected(InjectedFault::LeaseCountedFromAnswer) {
            true => granted_at,
            false => requested_at,
        };
        HeldLease {
            term,
            requested_at,
            expires_at: begins_at + settings.holding_time(),
        }
    }

    /// The time until the lease expires, in milliseconds; 0 once the lease has expired, even if the member has not
    /// handled the expiry yet.
    pub fn remaining(&self, now: Ms) -> Ms {
        (self.expires_at - now).max(0.0)
    }
}

/// Tracks a lease that this member may acquire, and how long the record of the lease has stayed unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseObserver {
    /// The version of the newest record seen; the default version while there is no record.
    version: LeaseVersion,
    record: Option<LeaseRecord>,
    /// Whether this member has seen the replicated state, with or without a record of this lease.
    pub has_observed: bool,
    /// How long this member has waited since it first saw this version, in milliseconds; see
    /// [`LeaseObserver::count_time`].
    waited: Ms,
    /// The time up to which `waited` has been counted, in milliseconds.
    counted_until: Ms,
    /// A random number from 0 to 1, drawn for each version, so that contenders do not propose at the same time.
    jitter: f64,
    /// This member's rank among the possible successors, as the membership leader reported it; `None` if this member is
    /// not ranked.
    pub rank: Option<u32>,
}

impl LeaseObserver {
    /// Creates an observer that has not seen the replicated state yet. Its wait begins at `now`, in milliseconds.
    pub fn new(now: Ms, rng: &mut WyRand) -> Self {
        LeaseObserver {
            version: LeaseVersion::default(),
            record: None,
            has_observed: false,
            waited: 0.0,
            counted_until: now,
            jitter: rng.generate(),
            rank: None,
        }
    }

    /// Updates the observer with the lease's record in the newest replicated state; `None` if the state has no record
    /// of the lease. Each change of the record restarts the wait.
    pub fn observe(&mut self, now: Ms, record: Option<&LeaseRecord>, rng: &mut WyRand) {
        let version = record.map(LeaseRecord::version).unwrap_or_default();
        if self.has_observed && version == self.version {
            return;
        }
        self.version = version;
        self.record = record.cloned();
        self.waited = 0.0;
        self.counted_until = now;
        self.jitter = rng.generate();
        self.has_observed = true;
    }

    /// Adds the time since the last call to the time that this member has waited for the lease.
    ///
    /// Guards against a contender whose process was suspended or whose clock jumped: the contender did not query newer
    /// values meanwhile, and would acquire a lease that has been renewed. The time between two calls is not added if it
    /// is longer than two query intervals.
    pub fn count_time(&mut self, now: Ms, settings: &LeaseSettings) {
        let elapsed = now - self.counted_until;
        self.counted_until = now;
        let max_step = MAX_STEP_QUERY_INTERVALS * settings.query_interval();
        let was_running = (0.0..=max_step).contains(&elapsed);
        if was_running || is_injected(InjectedFault::SleepCountedAsWait) {
            self.waited += elapsed;
        }
    }

    /// The version of the newest record seen, which [`Command::Acquire`](super::state::Command::Acquire) has to state.
    pub fn version(&self) -> LeaseVersion {
        self.version
    }

    /// Whether the last holder released the lease and named `me` as its successor.
    pub fn names_successor(&self, me: &Name) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.holder.is_none() && record.next.as_ref() == Some(me))
    }

    /// How much longer this member has to wait before it may acquire the lease, in milliseconds; 0 if this member may
    /// acquire the lease now, infinite before this member has seen the replicated state.
    pub fn election_delay(&self, me: &LeaseHolder, is_voter: bool, settings: &LeaseSettings) -> Ms {
        if !self.has_observed {
            return f64::INFINITY;
        }
        let record = self.record.as_ref();
        let holder = record.and_then(|record| record.holder.as_ref());
        if holder == Some(me) {
            // An earlier proposal of this process was chosen although its answers were lost. No other process acts
            // under the lease, so there is nothing to wait for.
            return 0.0;
        }
        let expiry_wait = settings.contender_wait(record.map_or(0, |record| record.lease_ms));
        let spread = self.election_spread(is_voter, settings);
        let successor = match holder {
            Some(_) => None,
            None => record.and_then(|record| record.next.as_ref()),
        };
        let delay = match (successor, holder) {
            (Some(successor), _) if *successor == me.name => 0.0,
            // The named successor has one lease duration to acquire the lease before other members may acquire it.
            (Some(_), _) => expiry_wait + spread,
            // Guards against two holders: the present holder may act until its lease expires.
            (None, Some(_)) if !is_injected(InjectedFault::LeaseTakenEarly) => expiry_wait + spread,
            (None, _) => spread,
        };
        (delay - self.waited).max(0.0)
    }

    /// The part of the election delay that differs between contenders, in milliseconds.
    fn election_spread(&self, is_voter: bool, settings: &LeaseSettings) -> Ms {
        let gap = settings.election_gap();
        match self.rank {
            Some(rank) => (f64::from(rank) + self.jitter) * gap,
            // Unranked voters wait for a shorter time than other unranked members, as voters are the members that are
            // most likely to be running.
            None if is_voter => {
                (f64::from(RANKED_SUCCESSORS) + f64::from(RANKED_SUCCESSORS) * self.jitter) * gap
            }
            None => settings.lease * (1.0 + self.jitter),
        }
    }
}

/// The properties that determine a member's rank among the possible next holders of a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the member accepts client requests and is not stopping.
    pub ready: bool,
    /// The zone that the member runs in; members of the preferred zone are ranked before others.
    pub zone: String,
    /// The member's utilization, 0 to 1.
    pub utilization: f64,
    /// The number of leases that the member holds now.
    pub leases_held: u32,
}

/// Candidates with at least this utilization are ranked after the others.
const BUSY_UTILIZATION: f64 = 0.8;

/// Ranks the possible successors of a lease's holder, the best with rank 0: ready candidates first, then those of the
/// preferred zone, those that are not busy, and those that hold the fewest leases; ties are broken by a hash. The
/// present holder is not ranked, nor are candidates beyond the first [`RANKED_SUCCESSORS`].
pub fn rank_candidates<'a>(
    lease_name: &LeaseName,
    preferred_zone: Option<&str>,
    holder: Option<&Name>,
    candidates: impl Iterator<Item = (&'a Name, Candidate)>,
) -> BTreeMap<Name, u32> {
    let sort_key = |name: &Name, candidate: &Candidate| {
        let is_in_preferred_zone = preferred_zone.is_none_or(|zone| zone == candidate.zone);
        let is_busy = candidate.utilization >= BUSY_UTILIZATION;
        let hash = xxh3_64(format!("{} {}", lease_name.0, name.0).as_bytes());
        (
            !candidate.ready,
            !is_in_preferred_zone,
            is_busy,
            candidate.leases_held,
            hash,
        )
    };
    let mut ranked: Vec<_> = candidates
        .filter(|(name, _)| Some(*name) != holder)
        .map(|(name, candidate)| (sort_key(name, &candidate), name.clone()))
        .collect();
    ranked.sort();
    let names = ranked.into_iter().map(|(_, name)| name);
    names.zip(0..RANKED_SUCCESSORS).collect()
}

/// The holder of a lease in a replicated state, with the term of the lease; `None` if the lease is free.
pub fn holder_of<'a>(
    state: &'a ReplicatedState,
    lease_name: &LeaseName,
) -> Option<(Term, &'a LeaseHolder)> {
    let record = state.leases.get(lease_name)?;
    record.holder.as_ref().map(|holder| (record.term, holder))
}

/// Whether the record names the process with this name and incarnation as the lease's holder.
pub fn is_held_by(record: &LeaseRecord, name: &Name, incarnation: Incarnation) -> bool {
    record
        .holder
        .as_ref()
        .is_some_and(|holder| holder.name == *name && holder.incarnation == incarnation)
}
