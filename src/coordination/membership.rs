//! The members of the fleet and their status, as the membership leader knows them from their heartbeats.

use super::disruption_budget::OutcomeCounts;
use super::lease::{rank_candidates, Candidate};
use super::state::LeaseHolder;
use super::{Address, LeaseName, Name};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// What a dispatcher reports of itself to the membership leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub who: LeaseHolder,
    /// The zone that it runs in.
    pub zone: String,
    /// The version that it runs, or another label of its operators'.
    pub label: String,
    /// How long it has run, in milliseconds.
    pub up: Ms,
    /// It takes requests.
    pub ready: bool,
    /// It has begun to stop.
    pub stopping: bool,
    /// Its utilization, 0 to 1.
    pub load: f64,
    /// How many leases it holds.
    pub holds: u32,
    /// Outcomes of this process's requests so far.
    pub tally: OutcomeCounts,
    /// Reports of a few engines.
    pub reports: Vec<EngineReport>,
}

/// What a dispatcher knows of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The engine.
    pub engine: Name,
    /// Its utilization, 0 to 1, and the age of that in milliseconds.
    pub used: Option<(f64, Ms)>,
    /// Outcomes of requests there since the dispatcher's last report.
    pub tally: OutcomeCounts,
}

/// What the dispatchers' reports say of an engine together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineUsage {
    /// The newest utilization, 0 to 1, and when it was measured, on the leader's clock in milliseconds.
    pub used: Option<(f64, Ms)>,
    /// Outcomes since this dispatcher became the leader.
    pub tally: OutcomeCounts,
}

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Its heartbeats come in time.
    Alive,
    /// Several heartbeats are missing.
    Suspected,
    /// Many heartbeats are missing, or several after it said that it stops.
    Dead,
    /// Alive again since a short time, as another process or after it was dead.
    Returned,
}

/// A member, by its heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that came, on the leader's clock in milliseconds.
    pub last_heartbeat_at: Ms,
    /// Since when its heartbeats have come without a gap, on the leader's clock in milliseconds.
    pub since: Ms,
    /// It was dead or another process before.
    has_returned: bool,
}

/// Missing heartbeats after which a member is suspected, and after which it is dead.
const SUSPECTED_AFTER_HEARTBEATS: f64 = 3.0;
const DEAD_AFTER_HEARTBEATS: f64 = 10.0;
/// How long a member counts as returned, in heartbeats.
const RETURNED_FOR_HEARTBEATS: f64 = 10.0;
/// A member without a heartbeat for this many heartbeats is forgotten.
const FORGOTTEN_AFTER_HEARTBEATS: f64 = 600.0;
/// Guards against a leader that many members overload: with more members each sends fewer heartbeats.
const MAX_HEARTBEATS_PER_SECOND: f64 = 500.0;
/// The most members, and the most engines, that the leader records; one more is ignored.
pub const MAX_MEMBERS: usize = 8192;

/// A lease whose next holders are ranked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedLease {
    /// The lease.
    pub lease_name: LeaseName,
    /// The zone whose members come first, if one is preferred.
    pub preferred_zone: Option<String>,
    /// The present holder.
    pub holder: Option<Name>,
}

/// The leader's view of the members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    members: BTreeMap<Name, Member>,
    engines: BTreeMap<Name, EngineUsage>,
    /// When this dispatcher became the leader, on its clock in milliseconds.
    pub since: Ms,
    /// The places among the next holders of each lease, and when they were worked out.
    successors: BTreeMap<LeaseName, BTreeMap<Name, u32>>,
    ranked_at: Option<Ms>,
}

impl Membership {
    /// The view of a new leader: nothing is known.
    pub fn begin(now: Ms) -> Self {
        Membership {
            since: now,
            ..Membership::default()
        }
    }

    /// The time between two heartbeats of a member, in milliseconds; `shortest` is that of the settings.
    pub fn heartbeat_interval(&self, shortest: Ms) -> Ms {
        shortest.max(self.members.len() as f64 * 1000.0 / MAX_HEARTBEATS_PER_SECOND)
    }

    /// Takes a heartbeat in that came at `now`; times in milliseconds.
    pub fn heartbeat_received(&mut self, now: Ms, mut heartbeat: Heartbeat, shortest: Ms) {
        for report in std::mem::take(&mut heartbeat.reports) {
            self.take_report(now, report);
        }
        let dead_after = DEAD_AFTER_HEARTBEATS * self.heartbeat_interval(shortest);
        if let Some(member) = self.members.get_mut(&heartbeat.who.name) {
            let is_new_process = member.heartbeat.who.incarnation != heartbeat.who.incarnation;
            if is_new_process || now - member.last_heartbeat_at > dead_after {
                member.since = now;
                member.has_returned = true;
            }
            member.last_heartbeat_at = now;
            member.heartbeat = heartbeat;
        } else if self.members.len() < MAX_MEMBERS {
            let name = heartbeat.who.name.clone();
            let member = Member {
                heartbeat,
                last_heartbeat_at: now,
                since: now,
                has_returned: false,
            };
            self.members.insert(name, member);
        }
    }

    fn take_report(&mut self, now: Ms, report: EngineReport) {
        if !self.engines.contains_key(&report.engine) && self.engines.len() >= MAX_MEMBERS {
            return;
        }
        let usage = self.engines.entry(report.engine).or_default();
        usage.tally.add(&report.tally);
        let Some((used, age)) = report.used else {
            return;
        };
        let measured_at = now - age.max(0.0);
        if usage
            .used
            .is_none_or(|(_, known_at)| known_at < measured_at)
        {
            usage.used = Some((used, measured_at));
        }
    }

    /// What the dispatchers reported of an engine.
    pub fn engine(&self, name: &Name) -> Option<&EngineUsage> {
        self.engines.get(name)
    }

    /// The status of a member at `now`; times in milliseconds.
    pub fn member_status(&self, now: Ms, member: &Member, shortest: Ms) -> MemberStatus {
        let interval = self.heartbeat_interval(shortest);
        let silent_for = now - member.last_heartbeat_at;
        let is_suspected = silent_for > SUSPECTED_AFTER_HEARTBEATS * interval;
        let has_stopped = member.heartbeat.stopping && is_suspected;
        if silent_for > DEAD_AFTER_HEARTBEATS * interval || has_stopped {
            MemberStatus::Dead
        } else if is_suspected {
            MemberStatus::Suspected
        } else if member.has_returned && now - member.since <= RETURNED_FOR_HEARTBEATS * interval {
            MemberStatus::Returned
        } else {
            MemberStatus::Alive
        }
    }

    /// All members, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// The address of a member's fleet service.
    pub fn address(&self, name: &Name) -> Option<&Address> {
        let member = self.members.get(name);
        member.map(|member| &member.heartbeat.who.address)
    }

    /// How many members have each status at `now`; times in milliseconds.
    pub fn counts(&self, now: Ms, shortest: Ms) -> BTreeMap<MemberStatus, u32> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            let status = self.member_status(now, member, shortest);
            *counts.entry(status).or_insert(0) += 1;
        }
        counts
    }

    /// Works out the next holders of these leases, once in a heartbeat interval, and forgets members that have been
    /// dead for long; times in milliseconds.
    pub fn rank_successors(&mut self, now: Ms, shortest: Ms, leases: &[RankedLease]) {
        let interval = self.heartbeat_interval(shortest);
        if self.ranked_at.is_some_and(|at| now - at < interval) {
            return;
        }
        self.ranked_at = Some(now);
        let forgotten_after = FORGOTTEN_AFTER_HEARTBEATS * interval;
        self.members
            .retain(|_, member| now - member.last_heartbeat_at <= forgotten_after);
        let rank = |lease: &RankedLease| {
            let places = rank_candidates(
                &lease.lease_name,
                lease.preferred_zone.as_deref(),
                lease.holder.as_ref(),
                self.candidates(now, shortest),
            );
            (lease.lease_name.clone(), places)
        };
        self.successors = leases.iter().map(rank).collect();
    }

    /// The members that may hold a lease next.
    fn candidates(&self, now: Ms, shortest: Ms) -> impl Iterator<Item = (&Name, Candidate)> {
        let is_there = move |member: &Member| {
            matches!(
                self.member_status(now, member, shortest),
                MemberStatus::Alive | MemberStatus::Returned
            )
        };
        let candidate = |Member { heartbeat, .. }: &Member| Candidate {
            ready: heartbeat.ready && !heartbeat.stopping,
            zone: heartbeat.zone.clone(),
            load: heartbeat.load,
            holds: heartbeat.holds,
        };
        self.members
            .iter()
            .filter(move |(_, member)| is_there(member))
            .map(move |(name, member)| (name, candidate(member)))
    }

    /// A member's place among the next holders of a lease, if it has one.
    pub fn place_of(&self, lease_name: &LeaseName, name: &Name) -> Option<u32> {
        self.successors.get(lease_name)?.get(name).copied()
    }

    /// The first of the next holders of a lease.
    pub fn first_successor(&self, lease_name: &LeaseName) -> Option<&Name> {
        self.successors
            .get(lease_name)?
            .iter()
            .min_by_key(|(_, place)| **place)
            .map(|(name, _)| name)
    }
}
