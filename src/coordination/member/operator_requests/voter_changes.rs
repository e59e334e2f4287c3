//! Changes the set of voters, and keeps operators' commands until the voters have agreed on them.

use super::super::*;
use super::api::Reply;
use super::handling::reply_to;
use super::voter_query::NewVoter;
use crate::coordination::state::CommandError;

/// How long an operator's request may wait for voters before the operator gets a reply, in milliseconds.
pub(super) const ANSWER_TIMEOUT_MS: Ms = 800.0;

impl Member {
    /// Handles a request to add a voter: queries the dispatcher that is to become a voter. Returns none if the reply
    /// has to wait for the answer of that dispatcher.
    pub(super) fn handle_add_voter(
        &mut self,
        call: CallId,
        name: Name,
        address: Option<Address>,
        out: &mut Vec<Output>,
    ) -> Option<Reply> {
        let Some(address) = address.or_else(|| self.known_address(&name)) else {
            return Some(self.unknown_address_reply(&name));
        };
        let voters = BTreeMap::from([(name.clone(), address.clone())]);
        let new_voter = NewVoter { name, address };
        self.begin_voter_query(call, voters, Some(new_voter), out);
        None
    }

    /// The address of a dispatcher, from the membership, from this member's own settings or from the voters in the
    /// settings.
    fn known_address(&self, name: &Name) -> Option<Address> {
        let membership = self.membership.as_ref();
        let member = membership
            .and_then(|membership| membership.address(name))
            .cloned();
        let own = (*name == self.settings.own_name).then(|| self.settings.address.clone());
        member
            .or(own)
            .or_else(|| self.settings.voters.get(name).cloned())
    }

    /// The reply for a dispatcher without a known address. Refers the operator to the membership leader, which may know
    /// the address.
    fn unknown_address_reply(&self, name: &Name) -> Reply {
        let leader = self.membership_leader.as_ref();
        match leader.filter(|(_, holder)| holder.name != self.settings.own_name) {
            Some((_, holder)) => Reply::Redirect(holder.address.clone()),
            None => Reply::Refused(format!(
                "the address of {} is not known: give the address in the request",
                name.0
            )),
        }
    }

    /// Queues a command for proposal. The operator gets a reply once the voters have agreed on the command or the
    /// request has timed out.
    pub(in super::super) fn submit_command(&mut self, call: CallId, command: Command) {
        let expires_at = self.now + ANSWER_TIMEOUT_MS;
        self.pending_commands.push(PendingCommand {
            call,
            command,
            expires_at,
        });
    }

    /// Replies to an operator when the voters have agreed on the operator's command or have rejected it.
    pub(in super::super) fn command_done(
        &mut self,
        call: CallId,
        result: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
        out: &mut Vec<Output>,
    ) {
        let pending_commands = &mut self.pending_commands;
        let index = pending_commands
            .iter()
            .position(|pending| pending.call == call);
        let Some(index) = index else {
            return;
        };
        let pending = pending_commands.remove(index);
        let reply = match &pending.command {
            Command::AddVoter { name, .. } => {
                voter_reply(name, "is a voter now", "is a voter already", result)
            }
            Command::RemoveVoter { name } => {
                voter_reply(name, "is no longer a voter", "is not a voter", result)
            }
            Command::OperatorCommand(command) => self.operator_command_done(command, result, value),
            _ => return,
        };
        reply_to(call, reply, out);
    }

    /// Drops the commands on which the voters have not agreed in time, and replies that the outcome is unknown.
    pub(in super::super) fn expire_commands(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let expired: Vec<CallId> = self
            .pending_commands
            .iter()
            .filter(|pending| pending.expires_at <= now)
            .map(|pending| pending.call)
            .collect();
        for call in expired {
            self.pending_commands.retain(|pending| pending.call != call);
            let reason =
                "no majority of the voters answers; the change may still have been made: check the status";
            reply_to(call, Reply::Refused(reason.to_owned()), out);
        }
    }
}

/// The reply to a request to add or remove the voter `name`. `changed_text` describes a successful change.
/// `unchanged_text` describes a change that was in effect before the request. Both texts follow the dispatcher's name.
fn voter_reply(
    name: &Name,
    changed_text: &str,
    unchanged_text: &str,
    result: Result<(), CommandError>,
) -> Reply {
    let name = &name.0;
    let reason = match result {
        Ok(()) => return Reply::Done(format!("{name} {changed_text}")),
        Err(CommandError::VoterChangeInProgress) => {
            "another change of the voters is in progress".to_owned()
        }
        Err(CommandError::AlreadyInEffect) => format!("{name} {unchanged_text}"),
        Err(CommandError::TooFewVoters) => {
            "fewer than 3 voters would be left: add one first".to_owned()
        }
        Err(CommandError::TooMany) => {
            "the fleet has 7 voters already, the maximum: remove one first".to_owned()
        }
        Err(_) => "the voters were not changed".to_owned(),
    };
    Reply::Refused(reason)
}
