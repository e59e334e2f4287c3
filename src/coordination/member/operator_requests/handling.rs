//! Passes each operator's request to the function that handles it.

use super::super::*;
use super::api::{OperatorRequest, Reply};

impl Member {
    /// Handles an operator's request. Outputs the reply at once, or after the voters on which the request depends have
    /// answered.
    pub(in super::super) fn handle_operator_request(
        &mut self,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match request {
            OperatorRequest::Status => {
                let voters = self.known_voters();
                self.begin_voter_query(call, voters, None, out);
                None
            }
            OperatorRequest::HandOver { lease_name, to } => {
                Some(self.handle_hand_over(&lease_name, to, out))
            }
            OperatorRequest::AddVoter { name, address } => {
                self.handle_add_voter(call, name, address, out)
            }
            OperatorRequest::RemoveVoter { name } => {
                self.submit_command(call, Command::RemoveVoter { name });
                None
            }
            OperatorRequest::HoldLease { lease_name, job } => {
                Some(self.handle_hold_lease(lease_name, job))
            }
            OperatorRequest::ReleaseLease { lease_name, job } => {
                Some(self.handle_release_lease(&lease_name, job, out))
            }
            OperatorRequest::Rollout(request) => self.handle_rollout_request(call, request),
            OperatorRequest::StopWithoutAgreement {
                name,
                address,
                reason,
            } => self.stop_without_agreement(call, name, address, reason, out),
        };
        if let Some(reply) = reply {
            reply_to(call, reply, out);
        }
    }
}

/// Outputs the reply to the request that arrived with the number `call`.
pub(super) fn reply_to(call: CallId, reply: Reply, out: &mut Vec<Output>) {
    let answer = Answer::Reply(reply);
    out.push(Output::Answer { call, answer });
}
