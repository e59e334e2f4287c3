//! The membership leader's view of the fleet, built from heartbeats: the members with their status, and the engines.

use super::disruption_budget::OutcomeCounts;
use super::lease::{rank_candidates, Candidate};
use super::state::LeaseHolder;
use super::{Address, LeaseName, Name};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// A dispatcher's periodic report to the membership leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sending process, by name, incarnation and address.
    pub sender: LeaseHolder,
    /// The zone that the sender runs in.
    pub zone: String,
    /// The version that the sender runs, or another label that its operators chose.
    pub label: String,
    /// The uptime of the sending process, in milliseconds.
    pub uptime: Ms,
    /// Whether the dispatcher accepts client requests.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub stopping: bool,
    /// The dispatcher's utilization, 0 to 1.
    pub utilization: f64,
    /// The number of leases that the sender holds when it sends the heartbeat. Candidates for a lease are ranked by it.
    pub leases_held: u32,
    /// Outcomes of client requests since the process started.
    pub outcomes: OutcomeCounts,
    /// Reports about a few engines; reports about other engines follow with the next heartbeats.
    pub reports: Vec<EngineReport>,
}

/// A dispatcher's report about one engine, sent with heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The name of the engine, as discovery lists it.
    pub engine: Name,
    /// The engine's utilization, 0 to 1, and the age of that value in milliseconds; `None` if it is unknown.
    pub utilization: Option<(f64, Ms)>,
    /// Outcomes of requests to the engine since the dispatcher's previous report about it.
    pub outcomes: OutcomeCounts,
}

/// The combined reports of all dispatchers about one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineUsage {
    /// The newest utilization, 0 to 1, with the time of its measurement on the leader's clock in milliseconds; `None`
    /// before the first report that states a utilization.
    pub utilization: Option<(f64, Ms)>,
    /// Outcomes of requests to the engine since this dispatcher became the leader.
    pub outcomes: OutcomeCounts,
}

/// The status of a member, determined by the time since its newest heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Heartbeats arrive in time.
    Alive,
    /// Several heartbeats are missing, but not enough for the member to count as dead.
    Suspected,
    /// Many heartbeats are missing, or several are missing after the member announced that it is stopping.
    Dead,
    /// Heartbeats have been arriving in time again for a short time, after a restart or after the member counted as
    /// dead.
    Returned,
}

/// The leader's record of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The newest heartbeat, without its engine reports.
    pub heartbeat: Heartbeat,
    /// When the newest heartbeat arrived, on the leader's clock in milliseconds.
    pub last_heartbeat_at: Ms,
    /// When the member's first heartbeat arrived, or the first one after its last restart or long gap, on the leader's
    /// clock in milliseconds.
    pub since: Ms,
    /// Whether the leader received heartbeats of the member before `since`: from an earlier process, or before the
    /// member counted as dead.
    has_returned: bool,
}

/// The first threshold: the number of missing heartbeats after which a member is suspected.
const SUSPECTED_AFTER_HEARTBEATS: f64 = 3.0;
/// The second threshold: the number of missing heartbeats after which a member counts as dead.
const DEAD_AFTER_HEARTBEATS: f64 = 10.0;
/// How long a member counts as returned, in heartbeat intervals.
const RETURNED_FOR_HEARTBEATS: f64 = 10.0;
/// A member is removed after this many heartbeat intervals without a heartbeat.
const REMOVED_AFTER_HEARTBEATS: f64 = 600.0;
/// The maximum number of heartbeats that the leader receives per second. The members of a large fleet send heartbeats
/// less often, so that they do not overload the leader.
const MAX_HEARTBEATS_PER_SECOND: f64 = 500.0;
/// The maximum number of members that the leader records, and the maximum number of engines. Heartbeats of further
/// members and reports about further engines are ignored.
pub const MAX_MEMBERS: usize = 8192;

/// A lease for which [`Membership::rank_successors`] ranks the possible next holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedLease {
    /// The name of the lease; part of the hash that breaks ties between members.
    pub lease_name: LeaseName,
    /// The zone whose members are ranked before others; `None` if no zone is preferred.
    pub preferred_zone: Option<String>,
    /// The present holder, which is not ranked; `None` if the lease is free.
    pub holder: Option<Name>,
}

/// The members and engines of the fleet, according to the heartbeats that the membership leader received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    members: BTreeMap<Name, Member>,
    engines: BTreeMap<Name, EngineUsage>,
    /// When this dispatcher became the leader, on its clock in milliseconds.
    pub leading_since: Ms,
    /// The ranks of the possible successors of each lease's holder.
    successors: BTreeMap<LeaseName, BTreeMap<Name, u32>>,
    /// When `successors` was last computed.
    ranked_at: Option<Ms>,
}

impl Membership {
    /// Creates the view of a dispatcher that became the leader at `now`, in milliseconds. The view has no members until
    /// their heartbeats arrive.
    pub fn begin(now: Ms) -> Self {
        Membership {
            leading_since: now,
            ..Membership::default()
        }
    }

    /// The time between two heartbeats of a member, in milliseconds. `min_interval` is the configured interval; the
    /// returned time is longer in a large fleet.
    pub fn heartbeat_interval(&self, min_interval: Ms) -> Ms {
        min_interval.max(self.members.len() as f64 * 1000.0 / MAX_HEARTBEATS_PER_SECOND)
    }

    /// Records a heartbeat that arrived at `now`. `min_interval` is the configured heartbeat interval; both are in
    /// milliseconds.
    pub fn heartbeat_received(&mut self, now: Ms, mut heartbeat: Heartbeat, min_interval: Ms) {
        for report in std::mem::take(&mut heartbeat.reports) {
            self.record_report(now, report);
        }
        let dead_after = DEAD_AFTER_HEARTBEATS * self.heartbeat_interval(min_interval);
        if let Some(member) = self.members.get_mut(&heartbeat.sender.name) {
            let is_new_process =
                member.heartbeat.sender.incarnation != heartbeat.sender.incarnation;
            if is_new_process || now - member.last_heartbeat_at > dead_after {
                member.since = now;
                member.has_returned = true;
            }
            member.last_heartbeat_at = now;
            member.heartbeat = heartbeat;
        } else if self.members.len() < MAX_MEMBERS {
            let name = heartbeat.sender.name.clone();
            let member = Member {
                heartbeat,
                last_heartbeat_at: now,
                since: now,
                has_returned: false,
            };
            self.members.insert(name, member);
        }
    }

    fn record_report(&mut self, now: Ms, report: EngineReport) {
        if !self.engines.contains_key(&report.engine) && self.engines.len() >= MAX_MEMBERS {
            return;
        }
        let usage = self.engines.entry(report.engine).or_default();
        usage.outcomes.add(&report.outcomes);
        let Some((utilization, age)) = report.utilization else {
            return;
        };
        let measured_at = now - age.max(0.0);
        if usage
            .utilization
            .is_none_or(|(_, known_at)| known_at < measured_at)
        {
            usage.utilization = Some((utilization, measured_at));
        }
    }

    /// The combined reports about an engine; `None` if no dispatcher has reported about it.
    pub fn engine(&self, name: &Name) -> Option<&EngineUsage> {
        self.engines.get(name)
    }

    /// The status of a member at `now`. `min_interval` is the configured heartbeat interval; both are in milliseconds.
    pub fn member_status(&self, now: Ms, member: &Member, min_interval: Ms) -> MemberStatus {
        let interval = self.heartbeat_interval(min_interval);
        let since_heartbeat = now - member.last_heartbeat_at;
        let is_suspected = since_heartbeat > SUSPECTED_AFTER_HEARTBEATS * interval;
        let has_stopped = member.heartbeat.stopping && is_suspected;
        if since_heartbeat > DEAD_AFTER_HEARTBEATS * interval || has_stopped {
            MemberStatus::Dead
        } else if is_suspected {
            MemberStatus::Suspected
        } else if member.has_returned && now - member.since <= RETURNED_FOR_HEARTBEATS * interval {
            MemberStatus::Returned
        } else {
            MemberStatus::Alive
        }
    }

    /// The members that have sent heartbeats, ordered by name. Dead members are included until they are removed.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// The address of a member's fleet service, from its newest heartbeat; `None` for an unknown member.
    pub fn address(&self, name: &Name) -> Option<&Address> {
        let member = self.members.get(name);
        member.map(|member| &member.heartbeat.sender.address)
    }

    /// The number of members by status at `now`. `min_interval` is the configured heartbeat interval; both are in
    /// milliseconds.
    pub fn counts(&self, now: Ms, min_interval: Ms) -> BTreeMap<MemberStatus, u32> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            let status = self.member_status(now, member, min_interval);
            *counts.entry(status).or_insert(0) += 1;
        }
        counts
    }

    /// Ranks the possible next holders of these leases and removes members that have long been dead, at most once per
    /// heartbeat interval. `now` and `min_interval`, the configured heartbeat interval, are in milliseconds.
    pub fn rank_successors(&mut self, now: Ms, min_interval: Ms, leases: &[RankedLease]) {
        let interval = self.heartbeat_interval(min_interval);
        if self.ranked_at.is_some_and(|at| now - at < interval) {
            return;
        }
        self.ranked_at = Some(now);
        let removed_after = REMOVED_AFTER_HEARTBEATS * interval;
        self.members
            .retain(|_, member| now - member.last_heartbeat_at <= removed_after);
        let rank = |lease: &RankedLease| {
            let ranks = rank_candidates(
                &lease.lease_name,
                lease.preferred_zone.as_deref(),
                lease.holder.as_ref(),
                self.candidates(now, min_interval),
            );
            (lease.lease_name.clone(), ranks)
        };
        self.successors = leases.iter().map(rank).collect();
    }

    /// The members that may hold a lease next: those with the status `Alive` or `Returned`.
    fn candidates(&self, now: Ms, min_interval: Ms) -> impl Iterator<Item = (&Name, Candidate)> {
        let is_alive = move |member: &Member| {
            matches!(
                self.member_status(now, member, min_interval),
                MemberStatus::Alive | MemberStatus::Returned
            )
        };
        let candidate = |Member { heartbeat, .. }: &Member| Candidate {
            ready: heartbeat.ready && !heartbeat.stopping,
            zone: heartbeat.zone.clone(),
            utilization: heartbeat.utilization,
            leases_held: heartbeat.leases_held,
        };
        self.members
            .iter()
            .filter(move |(_, member)| is_alive(member))
            .map(move |(name, member)| (name, candidate(member)))
    }

    /// A member's rank among the possible next holders of a lease; `None` if it is not ranked.
    pub fn rank_of(&self, lease_name: &LeaseName, name: &Name) -> Option<u32> {
        self.successors.get(lease_name)?.get(name).copied()
    }

    /// The best-ranked of the possible next holders of a lease; `None` if no member is ranked.
    pub fn first_successor(&self, lease_name: &LeaseName) -> Option<&Name> {
        self.successors
            .get(lease_name)?
            .iter()
            .min_by_key(|(_, rank)| **rank)
            .map(|(name, _)| name)
    }
}
