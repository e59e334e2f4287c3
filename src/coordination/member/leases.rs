//! The leases that this member holds, hands over or contends for, and the jobs for which it holds leases.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};

/// A job counts as ended after this many lease durations without a request for its lease.
const JOB_TIMEOUT_LEASES: f64 = 1.5;

/// A lease that is being released. The member no longer acts under the lease.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LeaseHandover {
    pub(super) held: HeldLease,
    /// The named successor; `None` lets every contender acquire the lease.
    pub(super) successor: Option<Name>,
    /// The address of the named successor, which is notified of the release; `None` if the address is unknown.
    pub(super) successor_address: Option<Address>,
}

/// An operator's job, for which this member acquires and renews a lease.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LeaseJob {
    /// The number in the job's requests, which distinguishes jobs that request the same lease.
    pub(super) number: u64,
    /// When the job last requested its lease, on this member's clock in milliseconds.
    pub(super) last_requested_at: Ms,
}

impl LeaseJob {
    fn expires_at(&self, lease: Ms) -> Ms {
        self.last_requested_at + JOB_TIMEOUT_LEASES * lease
    }
}

pub(super) fn membership_lease() -> LeaseName {
    LeaseName::from(MEMBERSHIP_LEASE)
}

pub(super) fn is_membership_lease(lease_name: &LeaseName) -> bool {
    lease_name.0.as_ref() == MEMBERSHIP_LEASE
}

impl Member {
    /// Whether this member tries to acquire the lease when the lease is free or expired.
    pub(super) fn contends(&self, lease_name: &LeaseName) -> bool {
        if self.stopping
            || self.held_leases.contains_key(lease_name)
            || self.handovers.contains_key(lease_name)
        {
            return false;
        }
        if !is_membership_lease(lease_name) {
            return self.jobs.contains_key(lease_name);
        }
        // A member that is neither ranked nor a voter contends only as a last resort, when the membership leader does
        // not answer its heartbeats.
        let observer = self.lease_observers.get(lease_name);
        let is_ranked = observer.is_some_and(|observer| {
            observer.rank.is_some() || observer.names_successor(&self.settings.own_name)
        });
        is_ranked || self.is_voter() || !self.leader_is_responsive()
    }

    /// Whether this member has an acceptor and is a voter according to the newest replicated state.
    pub(super) fn is_voter(&self) -> bool {
        let me = &self.settings.own_name;
        let voters = self.known_voter_set();
        self.acceptor.is_some() && voters.is_some_and(|voters| voters.records.contains_key(me))
    }

    /// Drops expired leases and ended jobs.
    ///
    /// Guards against a process that was suspended: it would act under a lease that another member has acquired
    /// meanwhile. This function runs before any input is handled, and a holder's lease is measured from a time before
    /// its request, so the lease expires here before another member may acquire the lease.
    pub(super) fn drop_expired(&mut self, out: &mut Vec<Output>) {
        if !is_injected(InjectedFault::LeaseEndIgnored) {
            self.drop_expired_leases(out);
        }
        let (now, lease) = (self.now, self.settings.lease.lease);
        let timeout = JOB_TIMEOUT_LEASES * lease;
        let jobs = self.jobs.iter();
        let ended: Vec<LeaseName> = jobs
            .filter(|(_, job)| now - job.last_requested_at >= timeout)
            .map(|(lease_name, _)| lease_name.clone())
            .collect();
        for lease_name in ended {
            self.end_job(&lease_name, out);
        }
    }

    fn drop_expired_leases(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let is_expired = |held: &HeldLease| held.remaining(now) <= 0.0;
        let held_leases = self.held_leases.iter();
        let expired: Vec<LeaseName> = held_leases
            .filter(|(_, held)| is_expired(held))
            .map(|(lease_name, _)| lease_name.clone())
            .collect();
        for lease_name in expired {
            self.count("leases over");
            self.drop_lease(&lease_name, out);
        }
        self.handovers
            .retain(|_, handover| !is_expired(&handover.held));
    }

    /// Removes a job and releases its lease.
    pub(super) fn end_job(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.jobs.remove(lease_name);
        self.lease_observers.remove(lease_name);
        self.hand_over(lease_name, None, out);
    }

    /// Stops acting under a lease at once, and releases the lease with the next proposal.
    pub(super) fn hand_over(
        &mut self,
        lease_name: &LeaseName,
        successor: Option<Name>,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.held_leases.get(lease_name).copied() else {
            return;
        };
        let membership = self.membership.as_ref();
        let address_of = |name: &Name| {
            let known = membership.and_then(|membership| membership.address(name));
            known.or(self.settings.voters.get(name))
        };
        let successor_address = successor.as_ref().and_then(address_of).cloned();
        self.drop_lease(lease_name, out);
        let handover = LeaseHandover {
            held,
            successor,
            successor_address,
        };
        self.handovers.insert(lease_name.clone(), handover);
    }

    /// Hands over all leases, as this process is stopping. The best-ranked member is named as the successor for the
    /// membership lease; other leases have no named successor.
    pub(super) fn hand_over_all(&mut self, out: &mut Vec<Output>) {
        let membership = self.membership.as_ref();
        let successor = membership
            .and_then(|membership| membership.first_successor(&membership_lease()))
            .cloned();
        for lease_name in self.held_leases.keys().cloned().collect::<Vec<_>>() {
            let next = successor
                .clone()
                .filter(|_| is_membership_lease(&lease_name));
            self.hand_over(&lease_name, next, out);
        }
    }

    /// Removes a lease from the leases that this member holds, without a change of the lease's record in the replicated
    /// state.
    pub(super) fn drop_lease(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        if let Some(held) = self.held_leases.remove(lease_name) {
            out.push(Output::LeaseChanged {
                lease_name: lease_name.clone(),
                term: held.term,
                held: false,
            });
        }
        if is_membership_lease(lease_name) {
            self.membership = None;
            self.leader_answered_at = None;
        }
        if let Some(observer) = self.lease_observers.get_mut(lease_name) {
            observer.rank = None;
        }
    }

    /// Adds a lease to the leases that this member holds. A member that acquires the membership lease becomes the
    /// leader.
    pub(super) fn lease_acquired(
        &mut self,
        lease_name: &LeaseName,
        held: HeldLease,
        out: &mut Vec<Output>,
    ) {
        if self.held_leases.insert(lease_name.clone(), held).is_some() {
            return;
        }
        out.push(Output::LeaseChanged {
            lease_name: lease_name.clone(),
            term: held.term,
            held: true,
        });
        if is_membership_lease(lease_name) {
            self.membership = Some(Membership::begin(self.now));
            self.membership_leader = Some((held.term, self.own_holder()));
            self.next_heartbeat_at = self.now;
        }
    }

    /// Handles the message that a lease was released with this member as the named successor: asks all voters at once
    /// for the newest value.
    pub(super) fn lease_offered(&mut self, lease_name: &LeaseName, out: &mut Vec<Output>) {
        self.count("nudged");
        if self.lease_observers.contains_key(lease_name) {
            self.next_proposal_at = self.now;
            self.query_all_voters(out);
        }
    }

    /// The times at which a lease, a job or a pending command needs a call of [`Member::handle`], in no particular
    /// order.
    pub(super) fn lease_timers(&self) -> Vec<Ms> {
        let settings = &self.settings.lease;
        let mut timers = Vec::new();
        if self.lease_observers.keys().any(|name| self.contends(name)) {
            timers.push(self.next_query_at.min(self.now + settings.query_interval()));
        }
        let handed_over = self.handovers.values().map(|handover| &handover.held);
        let all_held = self.held_leases.values().chain(handed_over);
        timers.extend(all_held.map(|held| held.expires_at));
        timers.extend(self.jobs.values().map(|job| job.expires_at(settings.lease)));
        timers.extend(
            self.pending_commands
                .iter()
                .map(|pending| pending.expires_at),
        );
        if self.proposal.is_none() {
            timers.push(self.next_command_at().max(self.next_proposal_at));
        }
        timers
    }
}
