//! An operator stops one dispatcher without agreement, as for a fleet that cannot agree.

use super::super::*;
use crate::coordination::rollout::OperatorCommand;

impl Member {
    /// The dispatcher that is to stop drains; any other passes the request on, and has it noted once the fleet agrees
    /// again. None: it is answered once the other dispatcher answered.
    pub(in super::super) fn stop_by_hand(
        &mut self,
        call: CallId,
        name: Name,
        address: Option<Address>,
        reason: String,
        out: &mut Vec<Output>,
    ) -> Option<Reply> {
        if name == self.settings.me {
            return Some(self.stop_this_by_hand(&reason, out));
        }
        let membership = self.membership.as_ref();
        let member = membership.and_then(|roll| roll.address(&name)).cloned();
        let voter = self.settings.voters.get(&name).cloned();
        let Some(to) = address.or(member).or(voter) else {
            let why = format!("nobody here knows where {} is: name its address", name.0);
            return Some(Reply::Refused(why));
        };
        let note = format!(
            "{} was stopped by hand, without agreement: {reason}",
            name.0
        );
        out.push(Output::Warn(note.clone()));
        let request = OperatorRequest::ByHand {
            name,
            address: None,
            reason,
        };
        let purpose = RequestPurpose::StopByHand { call, note };
        self.send_request(to, Question::Operator(request), purpose, out);
        None
    }

    fn stop_this_by_hand(&mut self, reason: &str, out: &mut Vec<Output>) -> Reply {
        let warning = format!("stopped by hand, without agreement: {reason}");
        out.push(Output::Warn(warning));
        self.count("stopped by hand");
        self.drain();
        out.push(Output::PermitGranted {
            permit: PermitId(0),
            label: String::new(),
        });
        Reply::Done(format!("{} drains and ends", self.settings.me.0))
    }

    /// The dispatcher that was to stop answered, or did not.
    pub(in super::super) fn stop_by_hand_answered(
        &mut self,
        call: CallId,
        note: String,
        reply: Option<Reply>,
        out: &mut Vec<Output>,
    ) {
        let reply = match reply {
            Some(Reply::Done(text)) => {
                self.note_once_agreed(note);
                Reply::Done(format!("{text}; noted once the fleet agrees"))
            }
            Some(Reply::Refused(why)) => Reply::Refused(why),
            _ => Reply::Refused("it does not answer".to_owned()),
        };
        out.push(Output::Answer {
            call,
            answer: Answer::Reply(reply),
        });
    }

    fn note_once_agreed(&mut self, note: String) {
        self.requests_sent += 1;
        self.pending_commands.push(PendingCommand {
            // Nobody waits for this: a number that no call has.
            call: CallId(u64::MAX - self.requests_sent),
            command: Command::OperatorCommand(OperatorCommand::Note(note)),
            until: f64::INFINITY,
        });
    }
}
