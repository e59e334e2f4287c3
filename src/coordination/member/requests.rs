//! Requests between members: the requests in flight, and the dispatch of received requests and answers.

use super::*;
use crate::coordination::register::{Phase, VoterKey};

/// The maximum number of times that a request to an acceptor is sent again while its answer is missing.
const MAX_RESENDS: u32 = 2;

/// The purpose of a request in flight, which determines how its answer is handled.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestPurpose {
    /// A prepare or accept request of the proposal with this ballot.
    Proposal {
        voter: VoterKey,
        ballot: Ballot,
        phase: Phase,
    },
    /// Asks a voter for its newest value, and the next voter if this one does not answer.
    QueryVoter { of: Name, next: Option<NextVoter> },
    /// Asks a voter for its state to answer an operator's request.
    VoterQuery { voter: Name, call: CallId },
    /// Asks a voter to confirm that the acceptor's file is not outdated.
    ConfirmFile { of: Name },
    /// A heartbeat to the membership leader with this incarnation.
    Heartbeat { to: Incarnation },
    /// Tells the named successor of a lease that the lease was released.
    OfferLease,
    /// A membership report to the receiver with this index.
    MembershipReport { receiver: usize },
    /// Notifies a unit, or the service that lists the unit as draining, of the unit's permit.
    PermitNotice { to: Address, permit: PermitId },
    /// Revokes a permit unless its disruption has begun.
    RevokePermit { permit: PermitId },
    /// Sent once disruptions are halted: asks a unit with a permit whether its disruption has begun.
    ConfirmHalt { permit: PermitId },
    /// Tells a member to stop, at an operator's request.
    StopWithoutAgreement { call: CallId, note: String },
}

/// The voter to query next: its index among the known voters, and the number of the query attempt, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextVoter {
    pub(super) index: usize,
    pub(super) attempt: usize,
}

/// The time at which a request is sent again, and the number of times that it may still be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Resend {
    at: Ms,
    times_left: u32,
}

/// A request that was sent and has neither been answered nor timed out.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestInFlight {
    purpose: RequestPurpose,
    to: Address,
    /// The time at which the request counts as unanswered, on this member's clock in milliseconds.
    times_out_at: Ms,
    /// When the request is sent again before it times out; `None` if it is not sent again. Guards against a lost
    /// message, which would make a whole proposal fail.
    resend: Option<Resend>,
    /// The request; kept only if it may be sent again.
    request: Option<Box<MemberRequest>>,
}

impl RequestInFlight {
    /// When the request is next sent again, or times out if it is not sent again before.
    pub(super) fn due_at(&self) -> Ms {
        match self.resend {
            Some(resend) => resend.at.min(self.times_out_at),
            None => self.times_out_at,
        }
    }
}

impl Member {
    /// Sends a request. The request counts as unanswered after the timeout in the settings.
    pub(super) fn send_request(
        &mut self,
        to: Address,
        question: MemberRequest,
        purpose: RequestPurpose,
        out: &mut Vec<Output>,
    ) {
        let timeout = self.settings.request_timeout;
        let may_resend = matches!(purpose, RequestPurpose::Proposal { .. });
        let resend = may_resend.then(|| Resend {
            at: self.now + self.resend_interval(),
            times_left: MAX_RESENDS,
        });
        let request = RequestInFlight {
            purpose,
            to,
            times_out_at: self.now + timeout,
            resend,
            request: None,
        };
        self.transmit(request, question, out);
    }

    fn resend_interval(&self) -> Ms {
        self.settings.request_timeout / f64::from(MAX_RESENDS + 1)
    }

    fn transmit(
        &mut self,
        mut request: RequestInFlight,
        question: MemberRequest,
        out: &mut Vec<Output>,
    ) {
        self.requests_sent += 1;
        let request_id = MemberRequestId(self.requests_sent);
        let to = request.to.clone();
        request.request = request.resend.map(|_| Box::new(question.clone()));
        self.in_flight.insert(request_id, request);
        out.push(Output::SendRequest {
            request_id,
            to,
            question,
        });
    }

    /// Sends requests to acceptors again if no answer has arrived and their proposal is still in progress.
    pub(super) fn resend_requests(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let is_due =
            |request: &RequestInFlight| request.resend.is_some_and(|resend| resend.at <= now);
        for id in self.request_ids_where(is_due) {
            let Some(request) = self.in_flight.get_mut(&id) else {
                continue;
            };
            let (Some(resend), Some(question)) = (request.resend.take(), request.request.take())
            else {
                continue;
            };
            let mut copy = request.clone();
            if !self.belongs_to_current_proposal(&copy.purpose) {
                continue;
            }
            self.count("asked again");
            copy.resend = (resend.times_left > 1).then(|| Resend {
                at: now + self.resend_interval(),
                times_left: resend.times_left - 1,
            });
            self.transmit(copy, *question, out);
        }
    }

    fn belongs_to_current_proposal(&self, purpose: &RequestPurpose) -> bool {
        let RequestPurpose::Proposal { ballot, .. } = purpose else {
            return false;
        };
        let current = self.proposal.as_ref();
        current.is_some_and(|current| current.proposal.ballot == *ballot)
    }

    fn request_ids_where(
        &self,
        is_selected: impl Fn(&RequestInFlight) -> bool,
    ) -> Vec<MemberRequestId> {
        let requests = self.in_flight.iter();
        requests
            .filter(|(_, request)| is_selected(request))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes the requests that have timed out, and handles each as a request without an answer.
    pub(super) fn expire_requests(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        for id in self.request_ids_where(|request| request.times_out_at <= now) {
            if let Some(request) = self.in_flight.remove(&id) {
                self.count("unanswered");
                self.handle_answer(request.purpose, None, out);
            }
        }
    }

    /// Handles an answer; `None` if the receiver could not be reached. An answer that arrives after the timeout is
    /// ignored.
    pub(super) fn answer_received(
        &mut self,
        id: MemberRequestId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if let Some(request) = self.in_flight.remove(&id) {
            self.handle_answer(request.purpose, answer, out);
        }
    }

    /// Handles a received request. Requests of proposers and operators may be answered later, all others are answered
    /// at once.
    pub(super) fn handle_request(
        &mut self,
        call: CallId,
        question: MemberRequest,
        out: &mut Vec<Output>,
    ) {
        let answer = match question {
            MemberRequest::Vote(request) => return self.proposer_request(call, &request, out),
            MemberRequest::Operator(request) => {
                return self.handle_operator_request(call, request, out)
            }
            MemberRequest::VoterState => Answer::VoterState(self.voter_state()),
            MemberRequest::WriteCount { voter, voter_id } => Answer::WriteCount {
                writes: self.known_writes(&(voter, voter_id)),
            },
            MemberRequest::Heartbeat(heartbeat) => {
                Answer::Heartbeat(self.heartbeat_received(heartbeat))
            }
            MemberRequest::LeaseOffer { lease_name } => {
                self.lease_offered(&lease_name, out);
                Answer::Done
            }
            MemberRequest::FencedCommand(command) => self.fenced_command_received(&command, out),
            MemberRequest::RevokePermit {
                permit,
                unit_kind,
                unit,
                incarnation,
            } => {
                let is_own_unit =
                    unit_kind == UnitKind::Dispatchers && unit == self.settings.own_name;
                Answer::RevocationResult {
                    begun: !is_own_unit || self.revoke_unless_begun(permit, incarnation),
                }
            }
        };
        out.push(Output::Answer { call, answer });
    }

    /// The highest write count of a voter that this member's acceptor or proposer knows; 0 if they know none.
    fn known_writes(&self, voter: &VoterKey) -> u64 {
        let acceptor = self.acceptor.as_ref();
        let by_acceptor = acceptor.and_then(|acceptor| acceptor.state.write_counts.get(voter));
        let by_proposer = self.knowledge.write_counts.get(voter);
        by_acceptor.max(by_proposer).copied().unwrap_or(0)
    }

    fn fenced_command_received(
        &mut self,
        command: &FencedCommand,
        out: &mut Vec<Output>,
    ) -> Answer {
        let verdict = self.receiver.receive(self.now, command);
        if verdict == FencingDecision::Executed {
            self.command_executed(command, out);
        }
        Answer::FencingDecision {
            verdict,
            receiver_timestamp: self.receiver.receiver_timestamp(self.now),
        }
    }

    /// Passes an answer to the part of the member that awaits it. `answer` is `None` if no answer will come.
    pub(super) fn handle_answer(
        &mut self,
        purpose: RequestPurpose,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        match purpose {
            RequestPurpose::Proposal {
                voter,
                ballot,
                phase,
            } => self.acceptor_answered(voter, &ballot, phase, vote_from(answer), out),
            RequestPurpose::QueryVoter { of, next } => match answer {
                Some(Answer::VoterState(state)) => self.voter_state_received(&of, state, out),
                Some(_) => {}
                None => self.query_next_voter(next, out),
            },
            RequestPurpose::VoterQuery { voter, call } => {
                let state = voter_state_from(answer);
                if let Some(state) = &state {
                    self.voter_state_received(&voter, state.clone(), out);
                }
                self.voter_query_answered(call, &voter, state, out);
            }
            RequestPurpose::ConfirmFile { of } => {
                if let Some(Answer::WriteCount { writes }) = answer {
                    self.write_count_received(of, writes, out);
                }
            }
            RequestPurpose::Heartbeat { to } => {
                self.heartbeat_answered(to, heartbeat_reply_from(answer), out);
            }
            RequestPurpose::OfferLease => {}
            RequestPurpose::MembershipReport { receiver } => {
                self.report_answered(receiver, fencing_decision_from(answer));
            }
            RequestPurpose::PermitNotice { to, permit } => {
                self.permit_notice_answered(&to, permit, fencing_decision_from(answer), out);
            }
            RequestPurpose::StopWithoutAgreement { call, note } => {
                self.stop_without_agreement_answered(call, note, operator_reply_from(answer), out);
            }
            RequestPurpose::RevokePermit { .. } | RequestPurpose::ConfirmHalt { .. } => {
                self.revocation_answered(&purpose, begun_from(answer));
            }
        }
    }
}

fn vote_from(answer: Option<Answer>) -> Option<AcceptorReply> {
    match answer {
        Some(Answer::Vote(reply)) => Some(reply),
        _ => None,
    }
}

fn voter_state_from(answer: Option<Answer>) -> Option<VoterState> {
    match answer {
        Some(Answer::VoterState(state)) => Some(state),
        _ => None,
    }
}

fn heartbeat_reply_from(answer: Option<Answer>) -> Option<HeartbeatReply> {
    match answer {
        Some(Answer::Heartbeat(reply)) => Some(reply),
        _ => None,
    }
}

fn fencing_decision_from(answer: Option<Answer>) -> Option<(FencingDecision, ReceiverTimestamp)> {
    match answer {
        Some(Answer::FencingDecision {
            verdict,
            receiver_timestamp,
        }) => Some((verdict, receiver_timestamp)),
        _ => None,
    }
}

fn operator_reply_from(answer: Option<Answer>) -> Option<Reply> {
    match answer {
        Some(Answer::Reply(reply)) => Some(reply),
        _ => None,
    }
}

fn begun_from(answer: Option<Answer>) -> Option<bool> {
    match answer {
        Some(Answer::RevocationResult { begun }) => Some(begun),
        _ => None,
    }
}
