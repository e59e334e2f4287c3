//! Sends notices of permits to units, and asks units not to drain on permits that are to be revoked. Notices are fenced
//! commands under the membership lease, in the leader's term.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionPermit, DisruptionState};
use crate::coordination::rollout_controller::{notice_address, PermitNotice};

/// The number of heartbeat intervals after which a notice is sent again if its unit has not begun to drain.
const RESEND_AFTER_HEARTBEATS: f64 = 4.0;

/// What the leader knows about one receiver of notices. A receiver is a dispatcher or the discovery registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in super::super) struct NoticeReceiver {
    clock: ReceiverClock,
    /// Whether a notice has been sent and its answer or timeout is still awaited.
    in_flight: bool,
    /// The time until which the receiver may execute an unanswered notice. Negative infinity if every notice has been
    /// answered.
    pub(in super::super) executable_until: Ms,
}

impl Member {
    /// Whether a halt may be in effect: the agreed state or any newer known value has a halt, or no agreed state is
    /// known.
    fn may_be_halted(&self) -> bool {
        let newest = self.newest();
        newest.is_some_and(|value| value.disruptions.halted.is_some())
            || self.disruptions.has_local_halt
            || self
                .agreed_disruptions()
                .is_none_or(|disruptions| disruptions.halted.is_some())
    }

    /// Sends the notices and revocation requests that the controller has selected and that are due.
    pub(in super::super) fn send_permit_notices(&mut self, out: &mut Vec<Output>) {
        let Some(lease) = self.valid_membership_lease() else {
            return;
        };
        if is_injected(InjectedFault::ToldBeforeAgreed) {
            for permit in std::mem::take(&mut self.disruptions.unagreed_permits) {
                self.send_notice(PermitId(u64::MAX), &permit, lease, out);
            }
        }
        let Some(disruptions) = self.agreed_disruptions().cloned() else {
            return;
        };
        self.send_due_notices(&disruptions, lease, out);
        self.send_due_revocations(&disruptions, out);
        let is_granted = |id: &PermitId| disruptions.permits.contains_key(id);
        self.disruptions
            .next_revocation_at
            .retain(|id, _| is_granted(id));
        self.disruptions
            .next_notice_at
            .retain(|id, _| is_granted(id));
    }

    /// Sends notices of agreed permits only, and only while no halt is known.
    ///
    /// Without these two conditions, a unit could drain on a permit that the fleet has not agreed on or has halted, and
    /// two units could be unavailable where the budget allows one.
    fn send_due_notices(
        &mut self,
        disruptions: &DisruptionState,
        lease: HeldLease,
        out: &mut Vec<Output>,
    ) {
        if self.may_be_halted() {
            return;
        }
        for id in self.disruptions.to_notify.clone() {
            let controller = self.disruptions.controller.as_ref();
            let is_revoked = controller.is_some_and(|controller| controller.is_revoked(id));
            if let Some(permit) = disruptions.permits.get(&id).filter(|_| !is_revoked) {
                self.send_notice(id, permit, lease, out);
            }
        }
    }

    fn send_due_revocations(&mut self, disruptions: &DisruptionState, out: &mut Vec<Output>) {
        for id in self.disruptions.to_revoke.clone() {
            let next_at = self.disruptions.next_revocation_at.get(&id).copied();
            let is_due = next_at.is_none_or(|next_at| self.now >= next_at);
            if let Some(permit) = disruptions.permits.get(&id).filter(|_| is_due) {
                self.disruptions
                    .next_revocation_at
                    .insert(id, self.now + self.settings.heartbeat);
                self.ask_revocation(id, permit, RequestPurpose::RevokePermit { permit: id }, out);
            }
        }
    }

    fn send_notice(
        &mut self,
        id: PermitId,
        permit: &DisruptionPermit,
        lease: HeldLease,
        out: &mut Vec<Output>,
    ) {
        let notice = PermitNotice::new(id, permit);
        if self.is_for_this_dispatcher(permit) {
            return self.handle_permit_notice(&notice, out);
        }
        let Some(to) = notice_address(permit, self.settings.drain_list_address.as_ref()).cloned()
        else {
            return;
        };
        let next_at = self.disruptions.next_notice_at.get(&id).copied();
        let receiver = self.disruptions.receivers.entry(to.clone()).or_default();
        // A receiver gets one notice at a time, because the discovery registry receives the notices of many engines.
        if receiver.in_flight || next_at.is_some_and(|next_at| self.now < next_at) {
            return;
        }
        let (receiver_timestamp, valid_for) = receiver.clock.valid_for(lease.expires_at);
        receiver.in_flight = true;
        receiver.executable_until = lease.expires_at;
        // The effect of an executed notice shows only later, in a heartbeat or in the list of engines.
        self.disruptions.next_notice_at.insert(
            id,
            self.now + RESEND_AFTER_HEARTBEATS * self.settings.heartbeat,
        );
        self.commands_sent += 1;
        let command = FencedCommand {
            lease_name: membership_lease(),
            term: lease.term,
            holder: self.own_holder(),
            number: self.commands_sent,
            receiver_timestamp,
            valid_for,
            body: notice.write(),
        };
        self.count("turns told");
        let purpose = RequestPurpose::PermitNotice {
            to: to.clone(),
            permit: id,
        };
        self.send_request(to, MemberRequest::FencedCommand(command), purpose, out);
    }

    fn is_for_this_dispatcher(&self, permit: &DisruptionPermit) -> bool {
        permit.unit_kind == UnitKind::Dispatchers && permit.unit == self.settings.own_name
    }

    /// Handles the answer to a notice. `answer` is none if the receiver did not answer in time.
    pub(in super::super) fn permit_notice_answered(
        &mut self,
        to: &Address,
        permit: PermitId,
        answer: Option<(FencingDecision, ReceiverTimestamp)>,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let Some(receiver) = self.disruptions.receivers.get_mut(to) else {
            return;
        };
        receiver.in_flight = false;
        let Some((decision, receiver_timestamp)) = answer else {
            return;
        };
        receiver.clock.record_timestamp(now, receiver_timestamp);
        receiver.executable_until = f64::NEG_INFINITY;
        if decision == FencingDecision::TimestampMissing {
            self.disruptions.next_notice_at.remove(&permit);
        }
        // Sends the next notice for this receiver, or the same notice again with the receiver's timestamp.
        self.send_permit_notices(out);
    }

    /// Asks a unit whether it has begun to drain on a permit. A unit that answers no must not begin to drain on the
    /// permit later.
    pub(super) fn ask_revocation(
        &mut self,
        id: PermitId,
        permit: &DisruptionPermit,
        purpose: RequestPurpose,
        out: &mut Vec<Output>,
    ) {
        if self.is_for_this_dispatcher(permit) {
            let begun = self.revoke_unless_begun(id, permit.incarnation);
            return self.handle_answer(purpose, Some(Answer::RevocationResult { begun }), out);
        }
        if let Some(to) = notice_address(permit, self.settings.drain_list_address.as_ref()).cloned()
        {
            let question = MemberRequest::RevokePermit {
                permit: id,
                unit_kind: permit.unit_kind,
                unit: permit.unit.clone(),
                incarnation: permit.incarnation,
            };
            self.send_request(to, question, purpose, out);
        }
    }

    /// Handles a unit's answer to a revocation request. `begun` tells whether the unit has begun to drain, and is none
    /// if the unit did not answer in time.
    pub(in super::super) fn revocation_answered(
        &mut self,
        purpose: &RequestPurpose,
        begun: Option<bool>,
    ) {
        match (purpose, begun) {
            (RequestPurpose::RevokePermit { permit }, Some(begun)) => {
                if let Some(controller) = &mut self.disruptions.controller {
                    controller.record_revocation_reply(*permit, begun);
                    self.disruptions.next_evaluation_at = self.now;
                }
            }
            (RequestPurpose::ConfirmHalt { permit }, Some(begun)) => {
                if let Some(halt) = &mut self.disruptions.halt_confirmation {
                    halt.record_reply(*permit, begun);
                }
            }
            _ => {}
        }
    }
}
