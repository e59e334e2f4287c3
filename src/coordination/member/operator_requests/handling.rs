//! Which part of the member takes a request.

use super::super::*;
use super::api::{OperatorRequest, Reply};

impl Member {
    /// Takes a request. It is answered at once, or as soon as the voters it depends on have answered.
    pub(in super::super) fn order(
        &mut self,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match request {
            OperatorRequest::Status => {
                let voters = self.known_voters();
                self.begin_inspection(call, voters, None, out);
                None
            }
            OperatorRequest::HandOver { lease_name, to } => {
                Some(self.order_hand_over(&lease_name, to, out))
            }
            OperatorRequest::AddVoter { name, address } => {
                self.order_add_voter(call, name, address, out)
            }
            OperatorRequest::RemoveVoter { name } => {
                self.submit_command(call, Command::RemoveVoter { name });
                None
            }
            OperatorRequest::HoldLease { lease_name, job } => {
                Some(self.order_hold(lease_name, job))
            }
            OperatorRequest::LetGo { lease_name, job } => {
                Some(self.order_let_go(&lease_name, job, out))
            }
            OperatorRequest::Rollout(request) => self.rollout_request(call, request),
            OperatorRequest::ByHand {
                name,
                address,
                reason,
            } => self.stop_by_hand(call, name, address, reason, out),
        };
        if let Some(reply) = reply {
            reply_to(call, reply, out);
        }
    }
}

/// Answers a request.
pub(super) fn reply_to(call: CallId, reply: Reply, out: &mut Vec<Output>) {
    let answer = Answer::Reply(reply);
    out.push(Output::Answer { call, answer });
}
