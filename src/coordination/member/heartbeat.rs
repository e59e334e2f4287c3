//! Sending heartbeats to the membership leader, and answering heartbeats as the leader.

use super::*;
use crate::coordination::membership::RankedLease;
use nanorand::Rng;

/// The membership leader counts as unresponsive after this many heartbeat intervals without an answer.
const LEADER_TIMEOUT_HEARTBEATS: f64 = 3.0;

impl Member {
    /// Records the membership leader that a replicated state or another member names, unless its term is outdated.
    pub(super) fn learn_membership_leader(&mut self, leader: (Term, LeaseHolder)) {
        let known = self.membership_leader.as_ref();
        // Guards against a delayed answer that names an earlier leader: it would replace the newer leader.
        if known.is_some_and(|known| known.0 > leader.0) {
            return;
        }
        if known.is_none_or(|known| *known != leader) {
            self.leader_answered_at = None;
            // The next heartbeat is sent at once. Members learn of a new leader at different times, so their heartbeats
            // do not all arrive together.
            self.next_heartbeat_at = self.next_heartbeat_at.min(self.now);
            self.membership_leader = Some(leader);
        }
    }

    /// Whether a membership leader is known and has answered a heartbeat in the last few heartbeat intervals, see
    /// [`LEADER_TIMEOUT_HEARTBEATS`].
    pub(super) fn leader_is_responsive(&self) -> bool {
        let timeout = LEADER_TIMEOUT_HEARTBEATS * self.heartbeat_interval;
        let answered_at = self.leader_answered_at;
        self.membership_leader.is_some() && answered_at.is_some_and(|at| self.now - at < timeout)
    }

    fn holds_membership_lease(&self) -> bool {
        let held = self.held_leases.get(&membership_lease());
        held.is_some_and(|held| held.remaining(self.now) > 0.0)
    }

    /// Handles another member's heartbeat. Members other than the leader answer with the leader that they know.
    pub(super) fn heartbeat_received(&mut self, heartbeat: Heartbeat) -> HeartbeatReply {
        let (now, min_interval) = (self.now, self.settings.heartbeat);
        let is_leader = self.holds_membership_lease();
        let mut ranks = Vec::new();
        if let Some(membership) = self.membership.as_mut().filter(|_| is_leader) {
            let name = heartbeat.sender.name.clone();
            membership.heartbeat_received(now, heartbeat, min_interval);
            let rank = membership.rank_of(&membership_lease(), &name);
            ranks.extend(rank.map(|rank| (membership_lease(), rank)));
        }
        let membership = self.membership.as_ref();
        HeartbeatReply {
            accepted: is_leader,
            holder: self.membership_leader.clone(),
            next_heartbeat_in: membership.map_or(min_interval, |membership| {
                membership.heartbeat_interval(min_interval)
            }),
            ranks,
        }
    }

    fn own_heartbeat(&mut self) -> Heartbeat {
        let reports = self.next_reports();
        Heartbeat {
            sender: self.own_holder(),
            zone: self.settings.zone.clone(),
            label: self.settings.label.clone(),
            uptime: self.now - self.started_at,
            ready: self.ready,
            stopping: self.stopping,
            utilization: self.utilization,
            leases_held: self.held_leases.len() as u32,
            outcomes: self.disruptions.outcomes,
            reports,
        }
    }

    /// Sends a heartbeat to the leader if one is due. If no other member is known to be the leader, a voter is queried
    /// instead. The leader records its own heartbeat without a message.
    pub(super) fn send_heartbeat_if_due(&mut self, out: &mut Vec<Output>) {
        if self.now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = self.now + self.heartbeat_interval;
        let heartbeat = self.own_heartbeat();
        if self.held_leases.contains_key(&membership_lease()) {
            return self.record_own_heartbeat(heartbeat);
        }
        let leader = self.membership_leader.as_ref();
        let other_leader = leader.filter(|(_, leader)| leader.name != self.settings.own_name);
        let Some((_, leader)) = other_leader else {
            return self.query_any_voter(out);
        };
        let (address, to) = (leader.address.clone(), leader.incarnation);
        self.count("beats");
        let question = MemberRequest::Heartbeat(heartbeat);
        self.send_request(address, question, RequestPurpose::Heartbeat { to }, out);
    }

    fn record_own_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (now, min_interval) = (self.now, self.settings.heartbeat);
        let preferred_zone = self.settings.preferred_zone.clone();
        let me = self.settings.own_name.clone();
        if let Some(membership) = &mut self.membership {
            membership.heartbeat_received(now, heartbeat, min_interval);
            let lease = RankedLease {
                lease_name: membership_lease(),
                preferred_zone,
                holder: Some(me),
            };
            membership.rank_successors(now, min_interval, &[lease]);
            self.heartbeat_interval = membership.heartbeat_interval(min_interval);
            self.next_heartbeat_at = now + self.heartbeat_interval;
        }
    }

    /// Handles the answer to a heartbeat that was sent to the leader with the incarnation `to`. Without an answer,
    /// `reply` is `None`.
    pub(super) fn heartbeat_answered(
        &mut self,
        to: Incarnation,
        reply: Option<HeartbeatReply>,
        out: &mut Vec<Output>,
    ) {
        let leader = self.membership_leader.as_ref();
        let is_current = leader.is_some_and(|(_, leader)| leader.incarnation == to);
        let rank = match reply {
            Some(reply) if reply.accepted && is_current => self.heartbeat_accepted(&reply),
            Some(HeartbeatReply {
                accepted: false,
                holder: Some(leader),
                ..
            }) if leader.1.incarnation != to => return self.learn_membership_leader(leader),
            // The leader was not reached, or is no longer the leader. A voter is asked for the newest value, which
            // names the leader's successor. The query is repeated when the next heartbeat is due.
            _ if is_current => {
                self.count("beats lost");
                return self.query_any_voter(out);
            }
            _ => return,
        };
        if let Some(observer) = self.lease_observers.get_mut(&membership_lease()) {
            observer.rank = rank;
        }
    }

    /// Handles an accepted heartbeat. Returns this member's rank among the possible successors of the leader.
    fn heartbeat_accepted(&mut self, reply: &HeartbeatReply) -> Option<u32> {
        self.leader_answered_at = Some(self.now);
        let jitter: f64 = self.rng.generate();
        let interval = reply.next_heartbeat_in.max(self.settings.heartbeat);
        if interval != self.heartbeat_interval {
            // The first heartbeat at a new interval is sent at a random time, so that the members' heartbeats stay
            // spread out.
            self.next_heartbeat_at = self.now + interval * jitter;
        }
        self.heartbeat_interval = interval;
        let mut ranks = reply.ranks.iter();
        ranks
            .find(|(lease_name, _)| is_membership_lease(lease_name))
            .map(|(_, rank)| *rank)
    }
}
