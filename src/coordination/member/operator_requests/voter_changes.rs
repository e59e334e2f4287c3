//! Changes of the voters, and other changes that an operator asked for, until they are agreed on.

use super::super::*;
use super::api::Reply;
use super::handling::reply_to;
use super::inspection::NewVoter;
use crate::coordination::state::CommandError;

/// A request is answered within this, in milliseconds, whoever does not answer.
pub(super) const ANSWER_WITHIN_MS: Ms = 800.0;

impl Member {
    /// Asks a dispatcher whether it can vote. None: it is answered once that dispatcher answered.
    pub(super) fn order_add_voter(
        &mut self,
        call: CallId,
        name: Name,
        address: Option<Address>,
        out: &mut Vec<Output>,
    ) -> Option<Reply> {
        let Some(address) = address.or_else(|| self.known_address(&name)) else {
            return Some(self.unknown_address(&name));
        };
        let voters = BTreeMap::from([(name.clone(), address.clone())]);
        let new_voter = NewVoter { name, address };
        self.begin_inspection(call, voters, Some(new_voter), out);
        None
    }

    fn known_address(&self, name: &Name) -> Option<Address> {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|m| m.address(name)).cloned();
        let own = (*name == self.settings.me).then(|| self.settings.address.clone());
        member
            .or(own)
            .or_else(|| self.settings.voters.get(name).cloned())
    }

    /// The membership leader may know the address.
    fn unknown_address(&self, name: &Name) -> Reply {
        let leader = self.membership_leader.as_ref();
        match leader.filter(|(_, holder)| holder.name != self.settings.me) {
            Some((_, holder)) => Reply::Elsewhere(holder.address.clone()),
            None => Reply::Refused(format!(
                "nobody knows where {} is: name its address",
                name.0
            )),
        }
    }

    /// Has a change agreed on; it is answered then.
    pub(in super::super) fn submit_command(&mut self, call: CallId, command: Command) {
        let until = self.now + ANSWER_WITHIN_MS;
        self.pending_commands.push(PendingCommand {
            call,
            command,
            until,
        });
    }

    /// A change was agreed on, or does not count.
    pub(in super::super) fn command_done(
        &mut self,
        call: CallId,
        done: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
        out: &mut Vec<Output>,
    ) {
        let Some(at) = self.pending_commands.iter().position(|w| w.call == call) else {
            return;
        };
        let pending = self.pending_commands.remove(at);
        let reply = match &pending.command {
            Command::AddVoter { name, .. } => voter_reply(name, "votes from now on", done),
            Command::RemoveVoter { name } => voter_reply(name, "votes no more", done),
            Command::OperatorCommand(command) => self.operator_command_done(command, done, value),
            _ => return,
        };
        reply_to(call, reply, out);
    }

    /// Answers changes that were not agreed on in time.
    pub(in super::super) fn expire_commands(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let late: Vec<CallId> = self
            .pending_commands
            .iter()
            .filter(|w| w.until <= now)
            .map(|w| w.call)
            .collect();
        for call in late {
            self.pending_commands.retain(|w| w.call != call);
            let why = "no majority of the voters answers; it may still have been done: look again";
            reply_to(call, Reply::Refused(why.to_owned()), out);
        }
    }
}

fn voter_reply(name: &Name, what: &str, done: Result<(), CommandError>) -> Reply {
    let name = &name.0;
    let reason = match done {
        Ok(()) => return Reply::Done(format!("{name} {what}")),
        Err(CommandError::VoterChangeInProgress) => {
            "another change of voters is under way".to_owned()
        }
        Err(CommandError::AlreadySo) => format!("{name} {what} already, or is none"),
        Err(CommandError::TooFew) => "fewer than 3 voters would be left: add one first".to_owned(),
        Err(CommandError::TooMany) => "7 voters are the most: remove one first".to_owned(),
        Err(_) => "nothing was changed".to_owned(),
    };
    Reply::Refused(reason)
}
