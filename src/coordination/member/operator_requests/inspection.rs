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
pub(in super::super) struct Inspection {
    /// The voters that were queried, with the addresses to which the query was sent.
    queried: BTreeMap<Name, Address>,
    /// The state of each voter that has answered. None for a voter that could not be reached.
    pub(super) states: BTreeMap<Name, Option<VoterState>>,
    /// The time at which the query ends even if some voters have not answered.
    deadline: Ms,
    /// The voter to add. None for a status request.
    new_voter: Option<NewVoter>,
}

impl Inspection {
    /// The time at which the operator gets a reply even if some voters have not answered.
    pub(in super::super) fn until(&self) -> Ms {
        self.deadline
    }

    fn is_over(&self, now: Ms) -> bool {
        self.states.len() >= self.queried.len() || now >= self.deadline
    }
}

impl Member {
    /// Queries the voters. This member's own state is recorded at once.
    pub(super) fn begin_inspection(
        &mut self,
        call: CallId,
        voters: BTreeMap<Name, Address>,
        new_voter: Option<NewVoter>,
        out: &mut Vec<Output>,
    ) {
        let inspection = Inspection {
            queried: voters.clone(),
            states: BTreeMap::new(),
            deadline: self.now + ANSWER_TIMEOUT_MS,
            new_voter,
        };
        self.inspections.insert(call, inspection);
        for (voter, address) in voters {
            if voter == self.settings.me {
                let state = self.voter_state();
                self.inspection_answered(call, &voter, Some(state), out);
            } else {
                self.send_request(
                    address,
                    Question::VoterState,
                    RequestPurpose::Inspect { of: voter, call },
                    out,
                );
            }
        }
    }

    /// Records the state of a queried voter. `state` is none if the voter could not be reached.
    pub(in super::super) fn inspection_answered(
        &mut self,
        call: CallId,
        voter: &Name,
        state: Option<VoterState>,
        _: &mut [Output],
    ) {
        if let Some(inspection) = self.inspections.get_mut(&call) {
            inspection.states.insert(voter.clone(), state);
        }
    }

    /// Replies to the requests whose voters have all answered, or whose deadline has passed.
    pub(in super::super) fn finish_inspections(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let finished: Vec<CallId> = self
            .inspections
            .iter()
            .filter(|(_, inspection)| inspection.is_over(now))
            .map(|(call, _)| *call)
            .collect();
        for call in finished {
            if let Some(inspection) = self.inspections.remove(&call) {
                self.finish_inspection(call, &inspection, out);
            }
        }
    }

    /// Replies with the status, or proposes to add the new voter if that voter has answered with its identity.
    fn finish_inspection(&mut self, call: CallId, inspection: &Inspection, out: &mut Vec<Output>) {
        let Some(NewVoter { name, address }) = inspection.new_voter.clone() else {
            let status = Box::new(self.status(inspection));
            return reply_to(call, Reply::Status(status), out);
        };
        let state = inspection.states.get(&name).and_then(Option::as_ref);
        let Some(voter_id) = state.and_then(|state| state.voter_id) else {
            let reason = format!("no voter {} answered at {}", name.0, address.0);
            return reply_to(call, Reply::Refused(reason), out);
        };
        let voter_record = VoterRecord { voter_id, address };
        self.submit_command(call, Command::AddVoter { name, voter_record });
        self.advance(out);
    }
}
