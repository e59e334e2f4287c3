//! A halt, which any dispatcher may give. It is confirmed once no unit can begin to go any more.

use super::super::*;
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::rollout::{DisruptionState, OperatorCommand};

/// A unit with a permit, and what it said.
#[derive(Clone, Debug, PartialEq)]
struct AskedUnit {
    unit: Name,
    /// Whether it had begun to go; none until it said.
    begun: Option<bool>,
}

/// A halt that is agreed on and not confirmed yet: units that may still begin are asked, or waited for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HaltConfirmation {
    since: Ms,
    /// Units with permits at the halt.
    asked: BTreeMap<PermitId, AskedUnit>,
    next_question: Ms,
}

impl HaltConfirmation {
    fn new(now: Ms, disruptions: &DisruptionState) -> Self {
        let asked = disruptions.permits.iter().map(|(id, permit)| {
            let unit = permit.unit.clone();
            (*id, AskedUnit { unit, begun: None })
        });
        HaltConfirmation {
            since: now,
            asked: asked.collect(),
            next_question: now,
        }
    }

    /// Units that have not said.
    fn open(&self) -> impl Iterator<Item = &PermitId> {
        let asked = self.asked.iter();
        asked
            .filter(|(_, asked)| asked.begun.is_none())
            .map(|(id, _)| id)
    }

    fn is_open(&self) -> bool {
        self.open().next().is_some()
    }

    /// When units are asked again, if any has not said.
    pub fn next_question_at(&self) -> Option<Ms> {
        self.is_open().then_some(self.next_question)
    }

    /// A unit said whether it had begun.
    pub fn record_reply(&mut self, permit: PermitId, begun: bool) {
        if let Some(asked) = self.asked.get_mut(&permit) {
            asked.begun = Some(begun);
        }
    }

    fn names(&self, begun: Option<bool>) -> String {
        let names: Vec<&str> = self
            .asked
            .values()
            .filter(|asked| asked.begun == begun)
            .map(|asked| &*asked.unit.0)
            .collect();
        names.join(", ")
    }

    /// What the units said, in words.
    fn summary(&self) -> String {
        let mut text = "halted: no turn begins from now on".to_owned();
        let groups = [
            (Some(true), "begun before"),
            (Some(false), "taken back"),
            (None, "not reached, may have begun before"),
        ];
        for (begun, what) in groups {
            let names = self.names(begun);
            if !names.is_empty() {
                text += &format!("; {what}: {names}");
            }
        }
        text
    }
}

impl Member {
    /// A halt that this dispatcher passed on is agreed on.
    pub(super) fn halt_agreed(&mut self, value: &ReplicatedState) {
        let confirmation = HaltConfirmation::new(self.now, &value.disruptions);
        self.disruptions.halt = Some(confirmation);
    }

    /// Asks units that may still begin, until all have said.
    pub(in super::super) fn confirm_halt(&mut self, out: &mut Vec<Output>) {
        let Some(halt) = &mut self.disruptions.halt else {
            return;
        };
        if !halt.is_open() || self.now < halt.next_question {
            return;
        }
        halt.next_question = self.now + self.settings.answer_within;
        let open: Vec<PermitId> = halt.open().copied().collect();
        let permits = self
            .agreed_disruptions()
            .map(|disruptions| disruptions.permits.clone())
            .unwrap_or_default();
        for id in open {
            if let Some(permit) = permits.get(&id) {
                self.ask_revocation(id, permit, RequestPurpose::ConfirmHalt { permit: id }, out);
            }
        }
    }

    /// Guards against a halt that is confirmed while a notice of an earlier leader is on its way, which would show as a
    /// unit that goes after the halt: all units have said, or a whole lease has passed, after which no receiver executes
    /// a notice from before the halt, and a later leader knows of it.
    fn halt_reply(&self, halt: &HaltConfirmation) -> Reply {
        let lease = &self.settings.lease;
        let remaining = halt.since + lease.waited_for(lease.lease_ms()) - self.now;
        if halt.is_open() && remaining > 0.0 {
            let open = halt.open().count();
            return Reply::Pending(format!(
                "halted; {open} turns may still begin, for {remaining:.0} ms at most"
            ));
        }
        Reply::Done(halt.summary())
    }

    /// An operator's halt. None: it is answered once it is agreed on.
    pub(super) fn request_halt(&mut self, call: CallId, reason: String) -> Option<Reply> {
        if is_injected(InjectedFault::HaltByHolderAlone)
            && self.held_leases.contains_key(&Self::membership_lease())
        {
            self.disruptions.halted_alone = true;
            return Some(Reply::Done("halted".to_owned()));
        }
        let Some(halt) = &self.disruptions.halt else {
            let command = OperatorCommand::Halt(reason);
            self.submit_command(call, Command::OperatorCommand(command));
            return None;
        };
        let reply = self.halt_reply(halt);
        if matches!(reply, Reply::Done(_)) {
            // A later halt asks again.
            self.disruptions.halt = None;
        }
        Some(reply)
    }
}
