//! The membership leader notifies units of their permits, and asks them not to begin. Notices are fenced commands under
//! the membership lease, in its term.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionPermit, DisruptionState};
use crate::coordination::rollout_controller::{notice_address, PermitNotice};

/// A notice is sent again after this many heartbeats, if its unit does not show that it goes.
const RESEND_AFTER_HEARTBEATS: f64 = 4.0;

/// What the leader knows of a receiver of notices.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in super::super) struct NoticeReceiver {
    clock: ReceiverClock,
    /// A notice is on its way.
    in_flight: bool,
    /// A notice that was not answered may still arrive there before this.
    pub(in super::super) executable_until: Ms,
}

impl Member {
    /// Whether anything that was seen, agreed on or not, forbids notices.
    fn may_be_halted(&self) -> bool {
        let newest = self.newest();
        newest.is_some_and(|value| value.disruptions.halted.is_some())
            || self.disruptions.halted_alone
            || self
                .agreed_disruptions()
                .is_none_or(|disruptions| disruptions.halted.is_some())
    }

    /// Sends the notices and revocations that the controller wants.
    pub(in super::super) fn send_permit_notices(&mut self, out: &mut Vec<Output>) {
        let Some(lease) = self.valid_membership_lease() else {
            return;
        };
        if is_injected(InjectedFault::ToldBeforeAgreed) {
            for permit in std::mem::take(&mut self.disruptions.unagreed) {
                self.notify(PermitId(u64::MAX), &permit, lease, out);
            }
        }
        let Some(disruptions) = self.agreed_disruptions().cloned() else {
            return;
        };
        self.notify_all(&disruptions, lease, out);
        self.revoke_all(&disruptions, out);
        let is_granted = |id: &PermitId| disruptions.permits.contains_key(id);
        self.disruptions
            .next_revocation
            .retain(|id, _| is_granted(id));
        self.disruptions.next_notice.retain(|id, _| is_granted(id));
    }

    /// Guards against a unit that goes on a permit which the fleet has not agreed on, or has halted, which would show as
    /// two units unavailable where one may be: only agreed permits are sent, and only while nothing is known against it.
    fn notify_all(
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
            let is_revoked = controller.is_some_and(|c| c.is_revoked(id));
            if let Some(permit) = disruptions.permits.get(&id).filter(|_| !is_revoked) {
                self.notify(id, permit, lease, out);
            }
        }
    }

    fn revoke_all(&mut self, disruptions: &DisruptionState, out: &mut Vec<Output>) {
        for id in self.disruptions.to_revoke.clone() {
            let next = self.disruptions.next_revocation.get(&id).copied();
            let is_due = next.is_none_or(|next| self.now >= next);
            if let Some(permit) = disruptions.permits.get(&id).filter(|_| is_due) {
                self.disruptions
                    .next_revocation
                    .insert(id, self.now + self.settings.heartbeat);
                self.ask_revocation(id, permit, RequestPurpose::RevokePermit { permit: id }, out);
            }
        }
    }

    fn notify(
        &mut self,
        id: PermitId,
        permit: &DisruptionPermit,
        lease: HeldLease,
        out: &mut Vec<Output>,
    ) {
        let notice = PermitNotice::new(id, permit);
        if self.is_mine(permit) {
            return self.permit_notified(&notice, out);
        }
        let Some(to) = notice_address(permit, self.settings.keeper.as_ref()).cloned() else {
            return;
        };
        let next = self.disruptions.next_notice.get(&id).copied();
        let receiver = self.disruptions.receivers.entry(to.clone()).or_default();
        // One notice at a time to each receiver: the discovery registry gets those of many engines.
        if receiver.in_flight || next.is_some_and(|next| self.now < next) {
            return;
        }
        let (receiver_timestamp, good_for) = receiver.clock.good_for(lease.expires_at);
        receiver.in_flight = true;
        receiver.executable_until = lease.expires_at;
        // That it was executed is seen in a heartbeat or in the list, some time after.
        self.disruptions.next_notice.insert(
            id,
            self.now + RESEND_AFTER_HEARTBEATS * self.settings.heartbeat,
        );
        self.commands_sent += 1;
        let command = FencedCommand {
            lease_name: Self::membership_lease(),
            term: lease.term,
            holder: self.me(),
            number: self.commands_sent,
            receiver_timestamp,
            good_for,
            body: notice.write(),
        };
        self.count("turns told");
        let purpose = RequestPurpose::PermitNotice {
            to: to.clone(),
            permit: id,
        };
        self.send_request(to, Question::FencedCommand(command), purpose, out);
    }

    fn is_mine(&self, permit: &DisruptionPermit) -> bool {
        permit.unit_kind == UnitKind::Dispatchers && permit.unit == self.settings.me
    }

    /// A receiver answered a notice, or did not.
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
        receiver.clock.answered(now, receiver_timestamp);
        receiver.executable_until = f64::NEG_INFINITY;
        if decision == FencingDecision::TimestampMissing {
            self.disruptions.next_notice.remove(&permit);
        }
        // The next one for the same receiver, or the same with a timestamp.
        self.send_permit_notices(out);
    }

    /// Asks a unit whether it has begun to go; if not, it will not.
    pub(super) fn ask_revocation(
        &mut self,
        id: PermitId,
        permit: &DisruptionPermit,
        purpose: RequestPurpose,
        out: &mut Vec<Output>,
    ) {
        if self.is_mine(permit) {
            let begun = self.revoke_unless_begun(id, permit.incarnation);
            return self.handle_answer(purpose, Some(Answer::Begun { begun }), out);
        }
        if let Some(to) = notice_address(permit, self.settings.keeper.as_ref()).cloned() {
            let question = Question::AskBack {
                permit: id,
                of: permit.unit_kind,
                who: permit.unit.clone(),
                incarnation: permit.incarnation,
            };
            self.send_request(to, question, purpose, out);
        }
    }

    /// A unit answered whether it has begun to go, or did not answer.
    pub(in super::super) fn revocation_answered(
        &mut self,
        purpose: &RequestPurpose,
        begun: Option<bool>,
    ) {
        match (purpose, begun) {
            (RequestPurpose::RevokePermit { permit }, Some(begun)) => {
                if let Some(controller) = &mut self.disruptions.controller {
                    controller.record_revocation_reply(*permit, begun);
                    self.disruptions.next_look = self.now;
                }
            }
            (RequestPurpose::ConfirmHalt { permit }, Some(begun)) => {
                if let Some(halt) = &mut self.disruptions.halt {
                    halt.record_reply(*permit, begun);
                }
            }
            _ => {}
        }
    }
}
