//! Requests between members: those in flight, and which part of the member takes a request or an answer.

use super::*;
use crate::coordination::register::{Phase, VoterKey};

/// How often a request to an acceptor is sent again while its answer is waited for.
const RESENDS: u32 = 2;

/// What a request in flight is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestPurpose {
    /// A request of the proposal with this ballot.
    Proposal {
        voter: VoterKey,
        ballot: Ballot,
        phase: Phase,
    },
    /// Asks a voter for its newest value, and the next one if this does not answer.
    QueryVoter { of: Name, next: Option<NextVoter> },
    /// Asks a voter for its state, for an operator's request.
    Inspect { of: Name, call: CallId },
    /// Asks a voter to confirm that the acceptor's file is not outdated.
    ConfirmFile { of: Name },
    /// A heartbeat to the membership leader with this incarnation.
    Heartbeat { to: Incarnation },
    /// Tells the named successor of a lease that it was given up.
    OfferLease,
    /// A membership report to the receiver with this index.
    MembershipReport { receiver: usize },
    /// Tells a unit, or who lists it as draining, of its permit.
    PermitNotice { to: Address, permit: PermitId },
    /// Asks for a permit to be taken back.
    RevokePermit { permit: PermitId },
    /// Asks after a halt whether a permitted disruption has begun.
    ConfirmHalt { permit: PermitId },
    /// Asks a member to stop for an operator.
    StopByHand { call: CallId, note: String },
}

/// The voter to ask next: by index into the known voters, and as which of how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextVoter {
    pub(super) index: usize,
    pub(super) attempt: usize,
}

/// When a request is sent again, and how many times are left.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Resend {
    at: Ms,
    times_left: u32,
}

/// A request whose answer is waited for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestInFlight {
    purpose: RequestPurpose,
    to: Address,
    /// From then on the answer is given up.
    times_out_at: Ms,
    /// Guards against a lost message, which would cost a whole proposal: the request is sent again meanwhile.
    resend: Option<Resend>,
    /// The request, if it may be sent again.
    question: Option<Box<Question>>,
}

impl RequestInFlight {
    /// When it is to be sent again or given up.
    pub(super) fn due_at(&self) -> Ms {
        match self.resend {
            Some(resend) => resend.at.min(self.times_out_at),
            None => self.times_out_at,
        }
    }
}

impl Member {
    /// Sends a request; its answer is waited for as long as the settings say.
    pub(super) fn send_request(
        &mut self,
        to: Address,
        question: Question,
        purpose: RequestPurpose,
        out: &mut Vec<Output>,
    ) {
        let timeout = self.settings.answer_within;
        let is_resent = matches!(purpose, RequestPurpose::Proposal { .. });
        let resend = is_resent.then(|| Resend {
            at: self.now + self.resend_interval(),
            times_left: RESENDS,
        });
        let request = RequestInFlight {
            purpose,
            to,
            times_out_at: self.now + timeout,
            resend,
            question: None,
        };
        self.transmit(request, question, out);
    }

    fn resend_interval(&self) -> Ms {
        self.settings.answer_within / f64::from(RESENDS + 1)
    }

    fn transmit(
        &mut self,
        mut request: RequestInFlight,
        question: Question,
        out: &mut Vec<Output>,
    ) {
        self.requests_sent += 1;
        let ask = QuestionId(self.requests_sent);
        let to = request.to.clone();
        request.question = request.resend.map(|_| Box::new(question.clone()));
        self.in_flight.insert(ask, request);
        out.push(Output::Ask { ask, to, question });
    }

    /// Sends again what acceptors have not answered, while the proposal goes on.
    pub(super) fn resend_requests(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let is_due = |request: &RequestInFlight| request.resend.is_some_and(|r| r.at <= now);
        for ask in self.requests_where(is_due) {
            let Some(request) = self.in_flight.get_mut(&ask) else {
                continue;
            };
            let (Some(resend), Some(question)) = (request.resend.take(), request.question.take())
            else {
                continue;
            };
            let mut again = request.clone();
            if !self.belongs_to_current_proposal(&again.purpose) {
                continue;
            }
            self.count("asked again");
            again.resend = (resend.times_left > 1).then(|| Resend {
                at: now + self.resend_interval(),
                times_left: resend.times_left - 1,
            });
            self.transmit(again, *question, out);
        }
    }

    fn belongs_to_current_proposal(&self, purpose: &RequestPurpose) -> bool {
        let RequestPurpose::Proposal { ballot, .. } = purpose else {
            return false;
        };
        let current = self.proposal.as_ref();
        current.is_some_and(|current| current.proposal.ballot == *ballot)
    }

    fn requests_where(&self, has: impl Fn(&RequestInFlight) -> bool) -> Vec<QuestionId> {
        let requests = self.in_flight.iter();
        requests
            .filter(|(_, request)| has(request))
            .map(|(ask, _)| *ask)
            .collect()
    }

    /// Gives up the requests that were not answered in time.
    pub(super) fn expire_requests(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        for ask in self.requests_where(|request| request.times_out_at <= now) {
            if let Some(request) = self.in_flight.remove(&ask) {
                self.count("unanswered");
                self.handle_answer(request.purpose, None, out);
            }
        }
    }

    /// An answer came, or the receiver could not be reached.
    pub(super) fn answer_received(
        &mut self,
        ask: QuestionId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if let Some(request) = self.in_flight.remove(&ask) {
            self.handle_answer(request.purpose, answer, out);
        }
    }

    /// A request came.
    pub(super) fn handle_request(
        &mut self,
        call: CallId,
        question: Question,
        out: &mut Vec<Output>,
    ) {
        let answer = match question {
            Question::Vote(request) => return self.proposer_request(call, &request, out),
            Question::Operator(order) => return self.order(call, order, out),
            Question::VoterState => Answer::VoterState(self.voter_state()),
            Question::WriteCount { of, voter_id } => Answer::WriteCount {
                writes: self.known_writes(&(of, voter_id)),
            },
            Question::Heartbeat(heartbeat) => Answer::Heartbeat(self.heartbeat_received(heartbeat)),
            Question::LeaseOffer { lease_name } => {
                self.lease_offered(&lease_name, out);
                Answer::Done
            }
            Question::FencedCommand(command) => self.fenced_command_received(&command, out),
            Question::AskBack {
                permit,
                of,
                who,
                incarnation,
            } => {
                let is_mine = of == UnitKind::Dispatchers && who == self.settings.me;
                Answer::Begun {
                    begun: !is_mine || self.revoke_unless_begun(permit, incarnation),
                }
            }
        };
        out.push(Output::Answer { call, answer });
    }

    /// The highest write count of a voter that the acceptor or the proposer knows.
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

    /// Hands an answer, or `None` where none will come, to the part of the member that waits for it.
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
            } => self.acceptor_answered(voter, &ballot, phase, vote_in(answer), out),
            RequestPurpose::QueryVoter { of, next } => match answer {
                Some(Answer::VoterState(seen)) => self.voter_state_received(&of, seen, out),
                Some(_) => {}
                None => self.query_next_voter(next, out),
            },
            RequestPurpose::Inspect { of, call } => {
                let seen = seen_in(answer);
                if let Some(seen) = &seen {
                    self.voter_state_received(&of, seen.clone(), out);
                }
                self.inspection_answered(call, &of, seen, out);
            }
            RequestPurpose::ConfirmFile { of } => {
                if let Some(Answer::WriteCount { writes }) = answer {
                    self.write_count_received(of, writes, out);
                }
            }
            RequestPurpose::Heartbeat { to } => {
                self.heartbeat_answered(to, heartbeat_reply_in(answer), out);
            }
            RequestPurpose::OfferLease => {}
            RequestPurpose::MembershipReport { receiver } => {
                self.report_answered(receiver, fencing_decision_in(answer));
            }
            RequestPurpose::PermitNotice { to, permit } => {
                self.permit_notice_answered(&to, permit, fencing_decision_in(answer), out);
            }
            RequestPurpose::StopByHand { call, note } => {
                self.stop_by_hand_answered(call, note, operator_reply_in(answer), out);
            }
            RequestPurpose::RevokePermit { .. } | RequestPurpose::ConfirmHalt { .. } => {
                self.revocation_answered(&purpose, begun_in(answer));
            }
        }
    }
}

fn vote_in(answer: Option<Answer>) -> Option<AcceptorReply> {
    match answer {
        Some(Answer::Vote(reply)) => Some(reply),
        _ => None,
    }
}

fn seen_in(answer: Option<Answer>) -> Option<VoterState> {
    match answer {
        Some(Answer::VoterState(seen)) => Some(seen),
        _ => None,
    }
}

fn heartbeat_reply_in(answer: Option<Answer>) -> Option<HeartbeatReply> {
    match answer {
        Some(Answer::Heartbeat(reply)) => Some(reply),
        _ => None,
    }
}

fn fencing_decision_in(answer: Option<Answer>) -> Option<(FencingDecision, ReceiverTimestamp)> {
    match answer {
        Some(Answer::FencingDecision {
            verdict,
            receiver_timestamp,
        }) => Some((verdict, receiver_timestamp)),
        _ => None,
    }
}

fn operator_reply_in(answer: Option<Answer>) -> Option<Reply> {
    match answer {
        Some(Answer::Reply(reply)) => Some(reply),
        _ => None,
    }
}

fn begun_in(answer: Option<Answer>) -> Option<bool> {
    match answer {
        Some(Answer::Begun { begun }) => Some(begun),
        _ => None,
    }
}
