//! The membership leader's reports to the receivers in the settings. A report is a fenced command under the membership
//! lease, so that no receiver accepts a report of a former leader.

use super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::membership::MemberStatus;

/// The state of the reports to one receiver.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ReportReceiver {
    clock: ReceiverClock,
    next_report_at: Ms,
    /// Whether the answer to the last report is still missing. No other report is sent until it arrives or times out.
    awaits_answer: bool,
    /// The time after which the receiver cannot execute the last report any more; negative infinity if the receiver has
    /// answered the report.
    executable_until: Ms,
}

impl Member {
    /// Whether every command under the membership lease has been answered or can no longer be executed.
    pub(super) fn fenced_commands_are_finished(&self) -> bool {
        self.fenced_commands_finish_at() <= self.now
    }

    /// The time after which no command of this process can be executed any more, even if no more answers come.
    ///
    /// Guards against a command that is still in transit when the lease changes hands: a successor, which may be this
    /// process in its next term, must not act at the same time. Receivers refuse a command once the lease under which
    /// it was sent has expired.
    pub(super) fn fenced_commands_finish_at(&self) -> Ms {
        let receivers = self.disruptions.receivers.values();
        let permits = receivers.map(|receiver| receiver.executable_until);
        let reports = self.report_receivers.iter();
        reports
            .map(|receiver| receiver.executable_until)
            .chain(permits)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// When the next membership report is due; `None` if this member is not the leader, or if a report to each receiver
    /// is in flight.
    pub(super) fn next_report_at(&self) -> Option<Ms> {
        if !self.held_leases.contains_key(&membership_lease()) {
            return None;
        }
        let receivers = self.report_receivers.iter();
        receivers
            .filter(|receiver| !receiver.awaits_answer)
            .map(|receiver| receiver.next_report_at)
            .min_by(f64::total_cmp)
    }

    /// Sends a membership report to each receiver for which one is due, while the membership lease lasts.
    pub(super) fn send_membership_reports(&mut self, out: &mut Vec<Output>) {
        let Some(held) = self.held_leases.get(&membership_lease()).copied() else {
            return;
        };
        let ignores_expiry = is_injected(InjectedFault::LeaseEndIgnored);
        if held.remaining(self.now) <= 0.0 && !ignores_expiry {
            return;
        }
        let lease_end = match ignores_expiry {
            true => self.now + self.settings.lease.lease,
            false => held.expires_at,
        };
        for index in 0..self.report_receivers.len() {
            let receiver = &self.report_receivers[index];
            if !receiver.awaits_answer && self.now >= receiver.next_report_at {
                self.send_membership_report(index, &held, lease_end, out);
            }
        }
    }

    fn send_membership_report(
        &mut self,
        index: usize,
        held: &HeldLease,
        lease_end: Ms,
        out: &mut Vec<Output>,
    ) {
        self.commands_sent += 1;
        let body = self.membership_summary();
        let holder = self.own_holder();
        let receiver = &mut self.report_receivers[index];
        let (receiver_timestamp, valid_for) = receiver.clock.valid_for(lease_end);
        receiver.awaits_answer = true;
        receiver.next_report_at = self.now + self.settings.report_interval;
        receiver.executable_until = held.expires_at;
        let command = FencedCommand {
            lease_name: membership_lease(),
            term: held.term,
            holder,
            number: self.commands_sent,
            receiver_timestamp,
            valid_for,
            body,
        };
        self.count("acts");
        let to = self.settings.report_receivers[index].clone();
        let purpose = RequestPurpose::MembershipReport { receiver: index };
        self.send_request(to, MemberRequest::FencedCommand(command), purpose, out);
    }

    /// Handles a receiver's answer to a membership report; `None` if there was no answer.
    pub(super) fn report_answered(
        &mut self,
        index: usize,
        answer: Option<(FencingDecision, ReceiverTimestamp)>,
    ) {
        let Some(receiver) = self.report_receivers.get_mut(index) else {
            return;
        };
        receiver.awaits_answer = false;
        let Some((decision, receiver_timestamp)) = answer else {
            return self.count("acts unanswered");
        };
        receiver
            .clock
            .record_timestamp(self.now, receiver_timestamp);
        receiver.executable_until = f64::NEG_INFINITY;
        if decision == FencingDecision::TimestampMissing {
            // This answer contains the missing timestamp, so the report is sent again at once.
            receiver.next_report_at = self.now;
        } else if decision != FencingDecision::Executed {
            self.count("acts refused");
        }
    }

    /// The body of a membership report: the number of members by status, and how long this member has been the leader.
    fn membership_summary(&self) -> Vec<u8> {
        let Some(membership) = &self.membership else {
            return Vec::new();
        };
        let counts = membership.counts(self.now, self.settings.heartbeat);
        let count = |status| counts.get(&status).copied().unwrap_or(0);
        let summary = format!(
            "in {} back {} suspected {} out {} called-for-ms {:.0}",
            count(MemberStatus::Alive),
            count(MemberStatus::Returned),
            count(MemberStatus::Suspected),
            count(MemberStatus::Dead),
            self.now - membership.leading_since,
        );
        summary.into_bytes()
    }
}
