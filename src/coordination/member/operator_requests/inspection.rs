//! Voters are asked what they accepted last, for a status or before one is added.

use super::super::*;
use super::api::Reply;
use super::handling::reply_to;
use super::voter_changes::ANSWER_WITHIN_MS;
use crate::coordination::state::VoterRecord;

/// A dispatcher that is to vote.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NewVoter {
    pub name: Name,
    pub address: Address,
}

/// Voters that are being asked for a request.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) struct Inspection {
    asked: BTreeMap<Name, Address>,
    /// What each showed; none for one that was not reached.
    pub(super) found: BTreeMap<Name, Option<VoterState>>,
    until: Ms,
    /// The voter to add; none for a status.
    new_voter: Option<NewVoter>,
}

impl Inspection {
    /// When the request is answered at the latest.
    pub(in super::super) fn until(&self) -> Ms {
        self.until
    }

    fn is_over(&self, now: Ms) -> bool {
        self.found.len() >= self.asked.len() || now >= self.until
    }
}

impl Member {
    pub(super) fn begin_inspection(
        &mut self,
        call: CallId,
        voters: BTreeMap<Name, Address>,
        new_voter: Option<NewVoter>,
        out: &mut Vec<Output>,
    ) {
        let inspection = Inspection {
            asked: voters.clone(),
            found: BTreeMap::new(),
            until: self.now + ANSWER_WITHIN_MS,
            new_voter,
        };
        self.inspections.insert(call, inspection);
        for (of, to) in voters {
            if of == self.settings.me {
                let seen = self.voter_state();
                self.inspection_answered(call, &of, Some(seen), out);
            } else {
                self.send_request(
                    to,
                    Question::VoterState,
                    RequestPurpose::Inspect { of, call },
                    out,
                );
            }
        }
    }

    /// A voter answered, or was not reached.
    pub(in super::super) fn inspection_answered(
        &mut self,
        call: CallId,
        of: &Name,
        seen: Option<VoterState>,
        _: &mut [Output],
    ) {
        if let Some(inspection) = self.inspections.get_mut(&call) {
            inspection.found.insert(of.clone(), seen);
        }
    }

    /// Answers the requests whose voters have been asked.
    pub(in super::super) fn finish_inspections(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let ended: Vec<CallId> = self
            .inspections
            .iter()
            .filter(|(_, inspection)| inspection.is_over(now))
            .map(|(call, _)| *call)
            .collect();
        for call in ended {
            if let Some(inspection) = self.inspections.remove(&call) {
                self.inspection_ended(call, &inspection, out);
            }
        }
    }

    fn inspection_ended(&mut self, call: CallId, inspection: &Inspection, out: &mut Vec<Output>) {
        let Some(NewVoter { name, address }) = inspection.new_voter.clone() else {
            let status = Box::new(self.status(inspection));
            return reply_to(call, Reply::Status(status), out);
        };
        let seen = inspection.found.get(&name).and_then(Option::as_ref);
        let Some(voter_id) = seen.and_then(|seen| seen.voter_id) else {
            let why = format!("{} does not answer as a voter at {}", name.0, address.0);
            return reply_to(call, Reply::Refused(why), out);
        };
        let voter_record = VoterRecord { voter_id, address };
        self.submit_command(call, Command::AddVoter { name, voter_record });
        self.advance(out);
    }
}
