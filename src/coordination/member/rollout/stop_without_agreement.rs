//! Stops a single dispatcher on an operator's request without the fleet's agreement. Intended for a fleet whose voters
//! cannot agree.

use super::super::*;
use crate::coordination::rollout::OperatorCommand;

impl Member {
    /// Handles an operator's request to stop the dispatcher `name`.
    ///
    /// The named dispatcher drains. Any other dispatcher forwards the request, and adds a note to the replicated state
    /// once the voters agree again. Returns none if the reply has to wait for the named dispatcher's answer.
    pub(in super::super) fn stop_without_agreement(
        &mut self,
        call: CallId,
        name: Name,
        address: Option<Address>,
        reason: String,
        out: &mut Vec<Output>,
    ) -> Option<Reply> {
        if name == self.settings.own_name {
            return Some(self.stop_this_dispatcher(&reason, out));
        }
        let membership = self.membership.as_ref();
        let member = membership
            .and_then(|membership| membership.address(&name))
            .cloned();
        let voter = self.settings.voters.get(&name).cloned();
        let Some(to) = address.or(member).or(voter) else {
            let reason = format!(
                "the address of {} is not known: give the address in the request",
                name.0
            );
            return Some(Reply::Refused(reason));
        };
        let note = format!(
            "{} was stopped by hand, without agreement: {reason}",
            name.0
        );
        out.push(Output::Warn(format!(
            "stopping {} on an operator's request, without a permit that the fleet agreed on: {reason}",
            name.0
        )));
        let request = OperatorRequest::StopWithoutAgreement {
            name,
            address: None,
            reason,
        };
        let purpose = RequestPurpose::StopWithoutAgreement { call, note };
        self.send_request(to, MemberRequest::Operator(request), purpose, out);
        None
    }

    fn stop_this_dispatcher(&mut self, reason: &str, out: &mut Vec<Output>) -> Reply {
        let warning = format!(
            "draining on an operator's request, without a permit that the fleet agreed on: {reason}"
        );
        out.push(Output::Warn(warning));
        self.count("stopped by hand");
        self.drain();
        out.push(Output::PermitGranted {
            permit: PermitId(0),
            label: String::new(),
        });
        Reply::Done(format!(
            "{} drains and then stops",
            self.settings.own_name.0
        ))
    }

    /// Replies to the operator when the named dispatcher has replied. `reply` is none if that dispatcher did not reply
    /// in time.
    pub(in super::super) fn stop_without_agreement_answered(
        &mut self,
        call: CallId,
        note: String,
        reply: Option<Reply>,
        out: &mut Vec<Output>,
    ) {
        let reply = match reply {
            Some(Reply::Done(text)) => {
                self.propose_note(note);
                Reply::Done(format!(
                    "{text}; a note of this is stored once a majority of the voters agrees"
                ))
            }
            Some(Reply::Refused(reason)) => Reply::Refused(reason),
            _ => Reply::Refused("the dispatcher to stop did not answer in time".to_owned()),
        };
        out.push(Output::Answer {
            call,
            answer: Answer::Reply(reply),
        });
    }

    /// Proposes the note without a time limit, until the voters agree on the note.
    fn propose_note(&mut self, note: String) {
        self.requests_sent += 1;
        self.pending_commands.push(PendingCommand {
            // No caller waits for the result. No real call may have this number, so the numbers count down from the
            // maximum.
            call: CallId(u64::MAX - self.requests_sent),
            command: Command::OperatorCommand(OperatorCommand::Note(note)),
            expires_at: f64::INFINITY,
        });
    }
}
