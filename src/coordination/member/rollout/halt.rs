//! Halts, which any dispatcher accepts from an operator. A halt is confirmed once no unit can begin to drain any more.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionState, OperatorCommand};

/// A unit that had a permit when the halt was agreed on, and the unit's reply.
#[derive(Clone, Debug, PartialEq)]
struct AskedUnit {
    unit: Name,
    /// Whether the unit had begun to drain before the halt. None until the unit replies.
    begun: Option<bool>,
}

/// The confirmation of an agreed halt. Each unit that had a permit is asked whether it has begun to drain. The halt is
/// confirmed when all these units have replied or can no longer begin.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HaltConfirmation {
    /// When this dispatcher learned that the halt was agreed on.
    agreed_at: Ms,
    /// The units that had permits when the halt was agreed on.
    asked_units: BTreeMap<PermitId, AskedUnit>,
    next_request_at: Ms,
}

impl HaltConfirmation {
    fn new(now: Ms, disruptions: &DisruptionState) -> Self {
        let asked_units = disruptions.permits.iter().map(|(id, permit)| {
            let unit = permit.unit.clone();
            (*id, AskedUnit { unit, begun: None })
        });
        HaltConfirmation {
            agreed_at: now,
            asked_units: asked_units.collect(),
            next_request_at: now,
        }
    }

    /// The permits whose units have not replied.
    fn unanswered(&self) -> impl Iterator<Item = &PermitId> {
        self.asked_units
            .iter()
            .filter(|(_, asked)| asked.begun.is_none())
            .map(|(id, _)| id)
    }

    fn has_unanswered(&self) -> bool {
        self.unanswered().next().is_some()
    }

    /// The next time at which units without a reply are asked whether they have begun to drain. None if all have
    /// replied.
    pub fn next_request_at(&self) -> Option<Ms> {
        self.has_unanswered().then_some(self.next_request_at)
    }

    /// Records a unit's reply: whether the unit had begun to drain on the permit before the halt.
    pub fn record_reply(&mut self, permit: PermitId, begun: bool) {
        if let Some(asked) = self.asked_units.get_mut(&permit) {
            asked.begun = Some(begun);
        }
    }

    /// The names of the units with the reply `begun`, separated by commas. If `begun` is none, the names of the units
    /// without a reply.
    fn names_of_units_with_reply(&self, begun: Option<bool>) -> String {
        let names: Vec<&str> = self
            .asked_units
            .values()
            .filter(|asked| asked.begun == begun)
            .map(|asked| &*asked.unit.0)
            .collect();
        names.join(", ")
    }

    /// The final reply to the operator, which lists the units by whether they had begun to drain.
    fn summary(&self) -> String {
        let mut text = "halted: no unit begins to drain from now on".to_owned();
        let groups = [
            (Some(true), "began to drain before the halt"),
            (Some(false), "permit revoked"),
            (None, "no reply, may have begun to drain before the halt"),
        ];
        for (begun, description) in groups {
            let names = self.names_of_units_with_reply(begun);
            if !names.is_empty() {
                text += &format!("; {description}: {names}");
            }
        }
        text
    }
}

impl Member {
    /// Starts the confirmation of a halt that this dispatcher proposed and that the voters have agreed on.
    pub(super) fn begin_halt_confirmation(&mut self, value: &ReplicatedState) {
        let confirmation = HaltConfirmation::new(self.now, &value.disruptions);
        self.disruptions.halt_confirmation = Some(confirmation);
    }

    /// Asks the units that have not replied yet whether they have begun to drain, at most once per request timeout. A
    /// unit that has not begun must not begin any more.
    pub(in super::super) fn confirm_halt(&mut self, out: &mut Vec<Output>) {
        let Some(halt) = &mut self.disruptions.halt_confirmation else {
            return;
        };
        if !halt.has_unanswered() || self.now < halt.next_request_at {
            return;
        }
        halt.next_request_at = self.now + self.settings.request_timeout;
        let unanswered: Vec<PermitId> = halt.unanswered().copied().collect();
        let permits = self
            .agreed_disruptions()
            .map(|disruptions| disruptions.permits.clone())
            .unwrap_or_default();
        for id in unanswered {
            if let Some(permit) = permits.get(&id) {
                self.ask_revocation(id, permit, RequestPurpose::ConfirmHalt { permit: id }, out);
            }
        }
    }

    /// The reply to an operator's halt: pending until all units have replied or one full lease has passed.
    ///
    /// After a full lease no receiver executes a notice that was sent before the halt, and any later leader knows of
    /// the halt. A reply before that time could confirm the halt while a notice of an earlier leader is in transit, and
    /// a unit would drain after the halt.
    fn halt_reply(&self, halt: &HaltConfirmation) -> Reply {
        let lease = &self.settings.lease;
        let remaining = halt.agreed_at + lease.contender_wait(lease.lease_ms()) - self.now;
        if halt.has_unanswered() && remaining > 0.0 {
            let unanswered = halt.unanswered().count();
            return Reply::Pending(format!(
                "halted; {unanswered} units may still begin to drain, for at most {remaining:.0} ms"
            ));
        }
        Reply::Done(halt.summary())
    }

    /// Handles an operator's halt, which the operator repeats until the halt is confirmed. Returns none if the reply
    /// has to wait until the voters have agreed on the halt.
    pub(super) fn handle_halt(&mut self, call: CallId, reason: String) -> Option<Reply> {
        if is_injected(InjectedFault::HaltByHolderAlone)
            && self.held_leases.contains_key(&membership_lease())
        {
            self.disruptions.has_local_halt = true;
            return Some(Reply::Done("halted".to_owned()));
        }
        let Some(halt) = &self.disruptions.halt_confirmation else {
            let command = OperatorCommand::Halt(reason);
            self.submit_command(call, Command::OperatorCommand(command));
            return None;
        };
        let reply = self.halt_reply(halt);
        if matches!(reply, Reply::Done(_)) {
            // A later halt starts a new confirmation.
            self.disruptions.halt_confirmation = None;
        }
        Some(reply)
    }
}
