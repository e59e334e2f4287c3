//! Handles operators' requests to hand over leases, and to hold or release leases for their own jobs.

use super::super::*;
use super::api::{Reply, MAX_NAME_BYTES};
use crate::coordination::lease::holder_of;

/// The maximum number of jobs for which one dispatcher holds leases.
const MAX_JOBS: usize = 32;

impl Member {
    /// Hands over a lease that this dispatcher holds. The next holder is `to` or, if `to` is none, the next dispatcher
    /// in the order of succession.
    pub(super) fn handle_hand_over(
        &mut self,
        lease_name: &LeaseName,
        to: Option<Name>,
        out: &mut Vec<Output>,
    ) -> Reply {
        if !self.held_leases.contains_key(lease_name) {
            return self.lease_not_held_reply(lease_name);
        }
        let membership = self.membership.as_ref();
        let first_successor = || {
            membership
                .and_then(|membership| membership.first_successor(lease_name))
                .cloned()
        };
        let Some(next) = to.or_else(first_successor) else {
            return Reply::Refused(format!(
                "no dispatcher is known that could hold lease {}",
                lease_name.0
            ));
        };
        if next == self.settings.own_name {
            return Reply::Refused(format!("{} holds lease {} already", next.0, lease_name.0));
        }
        if membership.is_some_and(|membership| membership.address(&next).is_none()) {
            return Reply::Refused(format!(
                "the membership leader does not know dispatcher {}",
                next.0
            ));
        }
        self.hand_over(lease_name, Some(next.clone()), out);
        Reply::Done(format!(
            "lease {} is released for {} to acquire",
            lease_name.0, next.0
        ))
    }

    /// The reply for a lease that this dispatcher does not hold: the holder's address, if another dispatcher is known
    /// to hold the lease.
    fn lease_not_held_reply(&self, lease_name: &LeaseName) -> Reply {
        let newest = self.newest();
        let holder = newest.and_then(|value| holder_of(value, lease_name));
        if let Some((_, holder)) = holder {
            if holder.incarnation != self.settings.incarnation {
                return Reply::Redirect(holder.address.clone());
            }
        }
        let is_known = newest.is_some_and(|value| value.leases.contains_key(lease_name));
        Reply::Refused(match is_known {
            true => format!("no dispatcher holds lease {} now", lease_name.0),
            false => format!("there is no lease {}", lease_name.0),
        })
    }

    /// Starts or continues to hold a lease for a job, and replies whether this dispatcher holds the lease.
    pub(super) fn handle_hold_lease(&mut self, lease_name: LeaseName, job: u64) -> Reply {
        if let Some(reason) = self.hold_refusal_reason(&lease_name, job) {
            return Reply::Refused(reason);
        }
        let now = self.now;
        match self.jobs.get_mut(&lease_name) {
            Some(existing_job) => existing_job.last_requested_at = now,
            None => self.start_job(&lease_name, job),
        }
        let lease = self.held_leases.get(&lease_name);
        match lease.filter(|lease| lease.remaining(now) > 0.0) {
            Some(lease) => Reply::LeaseHold {
                term: Some(lease.term),
                valid_for: lease.remaining(now),
            },
            None => Reply::LeaseHold {
                term: None,
                valid_for: 0.0,
            },
        }
    }

    /// The reason why this dispatcher refuses to hold a lease for a job. None if the request is accepted.
    fn hold_refusal_reason(&self, lease_name: &LeaseName, job: u64) -> Option<String> {
        if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            return Some(format!(
                "lease {MEMBERSHIP_LEASE} is reserved for the dispatchers"
            ));
        }
        if lease_name.0.is_empty() || lease_name.0.len() > MAX_NAME_BYTES {
            return Some(format!(
                "the name of a lease has 1 to {MAX_NAME_BYTES} bytes"
            ));
        }
        if self.stopping {
            return Some("this dispatcher is stopping".to_owned());
        }
        match self.jobs.get(lease_name) {
            Some(known) if known.number != job => Some(format!(
                "another job uses lease {} at this dispatcher",
                lease_name.0
            )),
            None if self.jobs.len() >= MAX_JOBS => Some(format!(
                "this dispatcher already contends for the leases of {MAX_JOBS} jobs"
            )),
            _ => None,
        }
    }

    /// Registers a job and starts to contend for its lease.
    fn start_job(&mut self, lease_name: &LeaseName, job: u64) {
        let now = self.now;
        let job = LeaseJob {
            number: job,
            last_requested_at: now,
        };
        self.jobs.insert(lease_name.clone(), job);
        let mut observer = LeaseObserver::new(now, &mut self.rng);
        // If the lease is new, the dispatcher that the job asks first contends for the lease without an election delay.
        observer.rank = Some(0);
        self.lease_observers.insert(lease_name.clone(), observer);
        self.next_query_at = now;
    }

    /// Ends a job and releases its lease. Replies with success even if the job is unknown.
    pub(super) fn handle_release_lease(
        &mut self,
        lease_name: &LeaseName,
        job: u64,
        out: &mut Vec<Output>,
    ) -> Reply {
        if self
            .jobs
            .get(lease_name)
            .is_some_and(|known| known.number == job)
        {
            self.end_job(lease_name, out);
        }
        Reply::Done(format!("lease {} is released", lease_name.0))
    }
}
