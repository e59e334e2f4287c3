//! Queries voters for their state, either to report the status of the fleet or to check a dispatcher before it becomes
//! a voter.

use super::super::*;
use super::api::Reply;
use super::handling::reply_to;
use super::voter_changes::ANSWER_TIMEOUT_MS;
use crate::coordination::state::VoterRecord;

/// A dispatcher that an operator wants to add as a voter.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NewVoter {
    pub name: Name,
    pub address: Address,
}

/// A query of voters on behalf of one operator's request.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) struct VoterQuery {
    /// The voters that were queried, with the addresses to which the query was sent.
    queried: BTreeMap<Name, Address>,
    /// The state of each voter that has answered. None for a voter that could not be reached.
    pub(super) states: BTreeMap<Name, Option<VoterState>>,
    /// The time at which the query ends even if some voters have not answered.
    deadline: Ms,
    /// The voter to add. None for a status request.
    new_voter: Option<NewVoter>,
}

impl VoterQuery {
    /// The time at which the operator gets a reply even if some voters have not answered.
    pub(in super::super) fn expires_at(&self) -> Ms {
        self.deadline
    }

    fn has_ended(&self, now: Ms) -> bool {
        self.states.len() >= self.queried.len() || now >= self.deadline
    }
}

impl Member {
    /// Queries the voters. This member's own state is recorded at once.
    pub(super) fn begin_voter_query(
        &mut self,
        call: CallId,
        voters: BTreeMap<Name, Address>,
        new_voter: Option<NewVoter>,
        out: &mut Vec<Output>,
    ) {
        let voter_query = VoterQuery {
            queried: voters.clone(),
            states: BTreeMap::new(),
            deadline: self.now + ANSWER_TIMEOUT_MS,
            new_voter,
        };
        self.voter_queries.insert(call, voter_query);
        for (voter, address) in voters {
            if voter == self.settings.own_name {
                let state = self.voter_state();
                self.voter_query_answered(call, &voter, Some(state), out);
            } else {
                self.send_request(
                    address,
                    MemberRequest::VoterState,
                    RequestPurpose::VoterQuery { voter, call },
                    out,
                );
            }
        }
    }

    /// Records the state of a queried voter. `state` is none if the voter could not be reached.
    pub(in super::super) fn voter_query_answered(
        &mut self,
        call: CallId,
        voter: &Name,
        state: Option<VoterState>,
        _: &mut [Output],
    ) {
        if let Some(voter_query) = self.voter_queries.get_mut(&call) {
            voter_query.states.insert(voter.clone(), state);
        }
    }

    /// Replies to the requests whose voters have all answered, or whose deadline has passed.
    pub(in super::super) fn finish_voter_queries(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let finished: Vec<CallId> = self
            .voter_queries
            .iter()
            .filter(|(_, voter_query)| voter_query.has_ended(now))
            .map(|(call, _)| *call)
            .collect();
        for call in finished {
            if let Some(voter_query) = self.voter_queries.remove(&call) {
                self.finish_voter_query(call, &voter_query, out);
            }
        }
    }

    /// Replies with the status, or proposes to add the new voter if that voter has answered with its identity.
    fn finish_voter_query(
        &mut self,
        call: CallId,
        voter_query: &VoterQuery,
        out: &mut Vec<Output>,
    ) {
        let Some(NewVoter { name, address }) = voter_query.new_voter.clone() else {
            let status = Box::new(self.status(voter_query));
            return reply_to(call, Reply::Status(status), out);
        };
        let state = voter_query.states.get(&name).and_then(Option::as_ref);
        let Some(voter_id) = state.and_then(|state| state.voter_id) else {
            let reason = format!("voter {} did not answer at {}", name.0, address.0);
            return reply_to(call, Reply::Refused(reason), out);
        };
        let voter_record = VoterRecord { voter_id, address };
        self.submit_command(call, Command::AddVoter { name, voter_record });
        self.advance(out);
    }
}
