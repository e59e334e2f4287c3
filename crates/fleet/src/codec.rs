//! Conversion between the types of `cindercleat::coordination` and the schema's messages.
//!
//! Decoding returns `None` for an invalid message: one with an empty or overlong name, an invalid ballot or a missing
//! field.

use crate::codec_fields::{address, name, text, MAX_TEXT_BYTES};
use crate::rollout_codec;
use cindercleat::coordination::fencing::{FencedCommand, FencingDecision, ReceiverTimestamp};
use cindercleat::coordination::member::{
    Answer, HeartbeatReply, MemberRequest, MemberSummary, OperatorRequest, Reply, Status,
    VoterState, VoterStatus,
};
use cindercleat::coordination::membership::{Heartbeat, MemberStatus};
use cindercleat::coordination::register::{
    AcceptorReply, AcceptorRequest, AcceptorState, Ballot, WriteCounts,
};
use cindercleat::coordination::state::{
    LeaseHolder, LeaseRecord, ProposalId, ReplicatedState, VoterId, VoterRecord, Voters,
    MAX_LEASES, MAX_VOTERS,
};
use cindercleat::coordination::{Incarnation, LeaseName, Name, Term};
use cindercleat_protocol::v1;
use std::collections::BTreeMap;
use v1::fleet_answer::Answer as WireAnswer;
use v1::fleet_call::Question as WireQuestion;

/// The maximum number of voter write counts in one message. A fleet has only a few write counts per voter.
const MAX_WRITE_COUNTS: usize = 256;

fn lease_name_from_proto(message: &str) -> Option<LeaseName> {
    text(message).map(LeaseName::from)
}

fn finite(ms: f64) -> Option<f64> {
    ms.is_finite().then_some(ms)
}

fn ballot_to_proto(ballot: &Ballot) -> v1::Ballot {
    v1::Ballot {
        round: ballot.round,
        by: ballot.by.0.to_string(),
        incarnation: ballot.incarnation.0,
    }
}

fn ballot_from_proto(message: Option<v1::Ballot>) -> Option<Ballot> {
    let message = message?;
    // Refuses rounds close to the maximum: later ballots need higher rounds, and without one no further value could be
    // chosen.
    let is_valid = message.round > 0 && message.round < u64::MAX / 2;
    is_valid.then_some(())?;
    Some(Ballot {
        round: message.round,
        by: name(&message.by)?,
        incarnation: Incarnation(message.incarnation),
    })
}

fn voter_records_to_proto(voters: &BTreeMap<Name, VoterRecord>) -> Vec<v1::VoterRecord> {
    let voter_record = |(name, voter_record): (&Name, &VoterRecord)| v1::VoterRecord {
        name: name.0.to_string(),
        voter_id: voter_record.voter_id.0,
        address: voter_record.address.0.to_string(),
    };
    voters.iter().map(voter_record).collect()
}

fn voter_records_from_proto(message: &[v1::VoterRecord]) -> Option<BTreeMap<Name, VoterRecord>> {
    (message.len() <= MAX_VOTERS + 1).then_some(())?;
    let voter_record = |record: &v1::VoterRecord| {
        Some((
            name(&record.name)?,
            VoterRecord {
                voter_id: VoterId(record.voter_id),
                address: address(&record.address)?,
            },
        ))
    };
    message.iter().map(voter_record).collect()
}

fn voter_set_to_proto(voters: &Voters) -> v1::VoterSet {
    v1::VoterSet {
        generation: voters.generation,
        set: voter_records_to_proto(&voters.records),
        changing: voters.former.is_some(),
        before: voters
            .former
            .as_ref()
            .map(voter_records_to_proto)
            .unwrap_or_default(),
    }
}

fn voter_set_from_proto(message: &v1::VoterSet) -> Option<Voters> {
    let present = voter_records_from_proto(&message.set).filter(|voters| !voters.is_empty())?;
    let former = match message.changing {
        true => {
            Some(voter_records_from_proto(&message.before).filter(|voters| !voters.is_empty())?)
        }
        false => None,
    };
    Some(Voters {
        generation: message.generation,
        records: present,
        former,
    })
}

fn lease_holder_to_proto(holder: &LeaseHolder) -> v1::LeaseHolder {
    let (name, address) = (holder.name.0.to_string(), holder.address.0.to_string());
    v1::LeaseHolder {
        name,
        incarnation: holder.incarnation.0,
        address,
    }
}

fn lease_holder_from_proto(message: &v1::LeaseHolder) -> Option<LeaseHolder> {
    Some(LeaseHolder {
        name: name(&message.name)?,
        incarnation: Incarnation(message.incarnation),
        address: address(&message.address)?,
    })
}

fn lease_record_to_proto((lease_name, record): (&LeaseName, &LeaseRecord)) -> v1::LeaseRecord {
    v1::LeaseRecord {
        lease_name: lease_name.0.to_string(),
        term: record.term.0,
        holder: record.holder.as_ref().map(lease_holder_to_proto),
        renewed: record.renewed,
        lease_ms: record.lease_ms,
        stamp_round: record.proposal_id.round,
        stamp_run: record.proposal_id.incarnation.0,
        next: record
            .next
            .as_ref()
            .map(|name| name.0.to_string())
            .unwrap_or_default(),
    }
}

fn lease_record_from_proto(message: &v1::LeaseRecord) -> Option<(LeaseName, LeaseRecord)> {
    let holder = match &message.holder {
        Some(holder) => Some(lease_holder_from_proto(holder)?),
        None => None,
    };
    let next = match message.next.is_empty() {
        true => None,
        false => Some(name(&message.next)?),
    };
    let proposal_id = ProposalId {
        round: message.stamp_round,
        incarnation: Incarnation(message.stamp_run),
    };
    let (term, renewed, lease_ms) = (Term(message.term), message.renewed, message.lease_ms);
    Some((
        lease_name_from_proto(&message.lease_name)?,
        LeaseRecord {
            term,
            holder,
            renewed,
            lease_ms,
            proposal_id,
            next,
        },
    ))
}

fn replicated_state_to_proto(value: &ReplicatedState) -> v1::ReplicatedState {
    let (version, voters) = (value.version, Some(voter_set_to_proto(&value.voters)));
    let disruptions = rollout_codec::disruptions_to_proto(&value.disruptions);
    v1::ReplicatedState {
        version,
        voters,
        leases: value.leases.iter().map(lease_record_to_proto).collect(),
        disruptions,
    }
}

fn replicated_state_from_proto(message: Option<v1::ReplicatedState>) -> Option<ReplicatedState> {
    let message = message?;
    (message.leases.len() <= MAX_LEASES).then_some(())?;
    let leases = message
        .leases
        .iter()
        .map(lease_record_from_proto)
        .collect::<Option<_>>()?;
    let disruptions = Box::new(rollout_codec::disruptions_from_proto(
        message.disruptions.as_ref(),
    )?);
    Some(ReplicatedState {
        version: message.version,
        voters: voter_set_from_proto(&message.voters?)?,
        leases,
        disruptions,
    })
}

fn accepted_value_to_proto(
    accepted: &Option<(Ballot, ReplicatedState)>,
) -> Option<v1::AcceptedValue> {
    let accepted = accepted.as_ref()?;
    Some(v1::AcceptedValue {
        ballot: Some(ballot_to_proto(&accepted.0)),
        value: Some(replicated_state_to_proto(&accepted.1)),
    })
}

/// Decodes the value that an acceptor accepted: `Some(None)` if the acceptor accepted none, `None` if the value is
/// invalid.
fn accepted_value_from_proto(
    message: Option<v1::AcceptedValue>,
) -> Option<Option<(Ballot, ReplicatedState)>> {
    match message {
        None => Some(None),
        Some(accepted) => Some(Some((
            ballot_from_proto(accepted.ballot)?,
            replicated_state_from_proto(accepted.value)?,
        ))),
    }
}

fn write_counts_to_proto(write_counts: &WriteCounts) -> Vec<v1::VoterWriteCount> {
    let write_count = |((name, voter_id), writes): (&(Name, VoterId), &u64)| v1::VoterWriteCount {
        name: name.0.to_string(),
        voter_id: voter_id.0,
        writes: *writes,
    };
    write_counts
        .iter()
        .rev()
        .take(MAX_WRITE_COUNTS)
        .map(write_count)
        .collect()
}

fn write_counts_from_proto(message: &[v1::VoterWriteCount]) -> Option<WriteCounts> {
    (message.len() <= MAX_WRITE_COUNTS).then_some(())?;
    message
        .iter()
        .map(|count| Some(((name(&count.name)?, VoterId(count.voter_id)), count.writes)))
        .collect()
}

/// Encodes an acceptor's state as the message that its file stores.
pub fn acceptor_file_to_proto(state: &AcceptorState) -> v1::AcceptorFile {
    v1::AcceptorFile {
        name: state.name.0.to_string(),
        voter_id: state.voter_id.0,
        bootstrap: state.bootstrap.as_ref().map(voter_set_to_proto),
        promised: state.promised.as_ref().map(ballot_to_proto),
        accepted: accepted_value_to_proto(&state.accepted),
        writes: state.writes,
        heard: write_counts_to_proto(&state.write_counts),
    }
}

/// Decodes the message of an acceptor's file; `None` if it is invalid.
pub fn acceptor_file_from_proto(message: v1::AcceptorFile) -> Option<AcceptorState> {
    let bootstrap = match &message.bootstrap {
        Some(voters) => Some(voter_set_from_proto(voters)?),
        None => None,
    };
    let promised = match message.promised {
        Some(ballot) => Some(ballot_from_proto(Some(ballot))?),
        None => None,
    };
    Some(AcceptorState {
        name: name(&message.name)?,
        voter_id: VoterId(message.voter_id),
        bootstrap,
        promised,
        accepted: accepted_value_from_proto(message.accepted)?,
        writes: message.writes,
        write_counts: write_counts_from_proto(&message.heard)?,
    })
}

fn receiver_timestamp_to_proto(receiver_timestamp: ReceiverTimestamp) -> v1::ReceiverTimestamp {
    v1::ReceiverTimestamp {
        incarnation: receiver_timestamp.incarnation.0,
        at_ms: receiver_timestamp.at,
    }
}

fn receiver_timestamp_from_proto(message: &v1::ReceiverTimestamp) -> Option<ReceiverTimestamp> {
    Some(ReceiverTimestamp {
        incarnation: Incarnation(message.incarnation),
        at: finite(message.at_ms)?,
    })
}

/// Encodes a request to a member as a message of the `Fleet` service.
pub fn request_to_proto(question: &MemberRequest) -> v1::FleetCall {
    let question = match question {
        MemberRequest::Vote(AcceptorRequest::Prepare {
            voter_id,
            ballot,
            write_counts,
        }) => WireQuestion::Prepare(v1::FleetPrepare {
            voter_id: voter_id.0,
            ballot: Some(ballot_to_proto(ballot)),
            heard: write_counts_to_proto(write_counts),
        }),
        MemberRequest::Vote(AcceptorRequest::Accept {
            voter_id,
            ballot,
            value,
            write_counts,
        }) => WireQuestion::Accept(v1::FleetAccept {
            voter_id: voter_id.0,
            ballot: Some(ballot_to_proto(ballot)),
            value: Some(replicated_state_to_proto(value)),
            heard: write_counts_to_proto(write_counts),
        }),
        MemberRequest::VoterState => WireQuestion::Look(v1::FleetLook {}),
        MemberRequest::WriteCount { voter, voter_id } => WireQuestion::Witness(v1::FleetWitness {
            name: voter.0.to_string(),
            voter_id: voter_id.0,
        }),
        MemberRequest::Heartbeat(heartbeat) => WireQuestion::Heartbeat(v1::FleetHeartbeat {
            who: Some(lease_holder_to_proto(&heartbeat.sender)),
            zone: heartbeat.zone.clone(),
            label: heartbeat.label.clone(),
            up_ms: heartbeat.uptime,
            ready: heartbeat.ready,
            stopping: heartbeat.stopping,
            load: heartbeat.utilization,
            holds: heartbeat.leases_held,
            tally: Some(rollout_codec::outcome_counts_to_proto(&heartbeat.outcomes)),
            reports: heartbeat
                .reports
                .iter()
                .map(rollout_codec::engine_report_to_proto)
                .collect(),
        }),
        MemberRequest::LeaseOffer { lease_name } => WireQuestion::Nudge(v1::FleetNudge {
            lease_name: lease_name.0.to_string(),
        }),
        MemberRequest::FencedCommand(command) => WireQuestion::FencedCommand(v1::FencedCommand {
            lease_name: command.lease_name.0.to_string(),
            term: command.term.0,
            holder: Some(lease_holder_to_proto(&command.holder)),
            number: command.number,
            receiver_timestamp: command.receiver_timestamp.map(receiver_timestamp_to_proto),
            good_for_ms: command.valid_for,
            body: command.body.clone().into(),
        }),
        MemberRequest::RevokePermit {
            permit,
            unit_kind,
            unit,
            incarnation,
        } => rollout_codec::revocation_to_proto(*permit, *unit_kind, unit, *incarnation),
        MemberRequest::Operator(request) => operator_request_to_proto(request),
    };
    v1::FleetCall {
        question: Some(question),
    }
}

fn operator_request_to_proto(request: &OperatorRequest) -> WireQuestion {
    let name_or_empty = |name: &Option<Name>| {
        name.as_ref()
            .map(|name| name.0.to_string())
            .unwrap_or_default()
    };
    match request {
        OperatorRequest::Status => WireQuestion::Status(v1::FleetStatus {}),
        OperatorRequest::HandOver { lease_name, to } => WireQuestion::HandOver(v1::FleetHandOver {
            lease_name: lease_name.0.to_string(),
            to: name_or_empty(to),
        }),
        OperatorRequest::AddVoter { name, address } => WireQuestion::AddVoter(v1::FleetAddVoter {
            name: name.0.to_string(),
            address: address
                .as_ref()
                .map(|address| address.0.to_string())
                .unwrap_or_default(),
        }),
        OperatorRequest::RemoveVoter { name } => WireQuestion::RemoveVoter(v1::FleetRemoveVoter {
            name: name.0.to_string(),
        }),
        OperatorRequest::HoldLease { lease_name, job } => {
            WireQuestion::HoldLease(v1::FleetHoldLease {
                lease_name: lease_name.0.to_string(),
                job: *job,
            })
        }
        OperatorRequest::ReleaseLease { lease_name, job } => WireQuestion::LetGo(v1::FleetLetGo {
            lease_name: lease_name.0.to_string(),
            job: *job,
        }),
        OperatorRequest::Rollout(request) => rollout_codec::rollout_request_to_proto(request),
        OperatorRequest::StopWithoutAgreement {
            name,
            address,
            reason,
        } => WireQuestion::ByHand(v1::FleetByHand {
            who: name.0.to_string(),
            address: address
                .as_ref()
                .map(|address| address.0.to_string())
                .unwrap_or_default(),
            why: reason.clone(),
        }),
    }
}

/// Decodes a request from another member or an operator; `None` if it is invalid.
pub fn request_from_proto(message: v1::FleetCall) -> Option<MemberRequest> {
    Some(match message.question? {
        WireQuestion::Prepare(content) => {
            let write_counts = write_counts_from_proto(&content.heard)?;
            MemberRequest::Vote(AcceptorRequest::Prepare {
                voter_id: VoterId(content.voter_id),
                ballot: ballot_from_proto(content.ballot)?,
                write_counts,
            })
        }
        WireQuestion::Accept(content) => MemberRequest::Vote(AcceptorRequest::Accept {
            voter_id: VoterId(content.voter_id),
            ballot: ballot_from_proto(content.ballot)?,
            value: replicated_state_from_proto(content.value)?,
            write_counts: write_counts_from_proto(&content.heard)?,
        }),
        WireQuestion::Look(_) => MemberRequest::VoterState,
        WireQuestion::Witness(content) => MemberRequest::WriteCount {
            voter: name(&content.name)?,
            voter_id: VoterId(content.voter_id),
        },
        WireQuestion::Heartbeat(content) => {
            let (zone, label) = (content.zone, content.label);
            (zone.len() <= MAX_TEXT_BYTES && label.len() <= MAX_TEXT_BYTES).then_some(())?;
            let (uptime, utilization) = (finite(content.up_ms)?, finite(content.load)?);
            let (sender, ready, stopping, leases_held) = (
                lease_holder_from_proto(&content.who?)?,
                content.ready,
                content.stopping,
                content.holds,
            );
            let (outcomes, reports) = (
                rollout_codec::outcome_counts_from_proto(content.tally.as_ref()),
                rollout_codec::engine_reports_from_proto(&content.reports)?,
            );
            MemberRequest::Heartbeat(Heartbeat {
                sender,
                zone,
                label,
                uptime,
                ready,
                stopping,
                utilization,
                leases_held,
                outcomes,
                reports,
            })
        }
        WireQuestion::Nudge(content) => MemberRequest::LeaseOffer {
            lease_name: lease_name_from_proto(&content.lease_name)?,
        },
        WireQuestion::FencedCommand(content) => {
            let receiver_timestamp = match &content.receiver_timestamp {
                Some(receiver_timestamp) => {
                    Some(receiver_timestamp_from_proto(receiver_timestamp)?)
                }
                None => None,
            };
            MemberRequest::FencedCommand(FencedCommand {
                lease_name: lease_name_from_proto(&content.lease_name)?,
                term: Term(content.term),
                holder: lease_holder_from_proto(&content.holder?)?,
                number: content.number,
                receiver_timestamp,
                valid_for: finite(content.good_for_ms)?,
                body: content.body.to_vec(),
            })
        }
        WireQuestion::Status(_) => MemberRequest::Operator(OperatorRequest::Status),
        WireQuestion::HandOver(content) => {
            let to = match content.to.is_empty() {
                true => None,
                false => Some(name(&content.to)?),
            };
            MemberRequest::Operator(OperatorRequest::HandOver {
                lease_name: lease_name_from_proto(&content.lease_name)?,
                to,
            })
        }
        WireQuestion::AddVoter(content) => {
            let address = match content.address.is_empty() {
                true => None,
                false => Some(address(&content.address)?),
            };
            MemberRequest::Operator(OperatorRequest::AddVoter {
                name: name(&content.name)?,
                address,
            })
        }
        WireQuestion::RemoveVoter(content) => {
            MemberRequest::Operator(OperatorRequest::RemoveVoter {
                name: name(&content.name)?,
            })
        }
        WireQuestion::HoldLease(content) => MemberRequest::Operator(OperatorRequest::HoldLease {
            lease_name: lease_name_from_proto(&content.lease_name)?,
            job: content.job,
        }),
        WireQuestion::LetGo(content) => MemberRequest::Operator(OperatorRequest::ReleaseLease {
            lease_name: lease_name_from_proto(&content.lease_name)?,
            job: content.job,
        }),
        WireQuestion::AskBack(content) => {
            let (permit, unit_kind, unit, incarnation) =
                rollout_codec::revocation_from_proto(&content)?;
            MemberRequest::RevokePermit {
                permit,
                unit_kind,
                unit,
                incarnation,
            }
        }
        other => MemberRequest::Operator(rollout_codec::rollout_request_from_proto(&other)?),
    })
}

/// All fencing decisions. The index of a decision is its number on the wire.
const FENCING_DECISIONS: [FencingDecision; 5] = [
    FencingDecision::Executed,
    FencingDecision::StaleTerm,
    FencingDecision::Duplicate,
    FencingDecision::TimestampMissing,
    FencingDecision::LeaseExpired,
];
/// All member statuses. The index of a status is its number on the wire.
const MEMBER_STATUSES: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspected,
    MemberStatus::Dead,
    MemberStatus::Returned,
];

/// The number of a value on the wire: its index in `all`.
fn wire_number<T: PartialEq>(all: &[T], value: &T) -> u32 {
    all.iter()
        .position(|other| other == value)
        .unwrap_or_default() as u32
}

/// Encodes a member's answer as a message of the `Fleet` service.
pub fn answer_to_proto(answer: &Answer) -> v1::FleetAnswer {
    let answer = match answer {
        Answer::Vote(AcceptorReply::Promise {
            ballot,
            accepted,
            writes,
        }) => WireAnswer::Promise(v1::FleetPromise {
            ballot: Some(ballot_to_proto(ballot)),
            accepted: accepted_value_to_proto(accepted),
            writes: *writes,
        }),
        Answer::Vote(AcceptorReply::Accepted { ballot, writes }) => {
            WireAnswer::Accepted(v1::FleetAccepted {
                ballot: Some(ballot_to_proto(ballot)),
                writes: *writes,
            })
        }
        Answer::Vote(AcceptorReply::Conflict { promised }) => {
            WireAnswer::Conflict(v1::FleetConflict {
                promised: Some(ballot_to_proto(promised)),
            })
        }
        Answer::Vote(AcceptorReply::NotVoting) => WireAnswer::NotVoting(v1::FleetNotVoting {}),
        Answer::VoterState(voter_state) => WireAnswer::Seen(v1::FleetSeen {
            voter_id: voter_state.voter_id.map_or(0, |voter_id| voter_id.0),
            votes: voter_state.is_voting,
            bootstrap: voter_state.bootstrap.as_ref().map(voter_set_to_proto),
            newest: accepted_value_to_proto(&voter_state.newest),
        }),
        Answer::WriteCount { writes } => {
            WireAnswer::Witnessed(v1::FleetWitnessed { writes: *writes })
        }
        Answer::Heartbeat(reply) => {
            let place = |(lease_name, rank): &(LeaseName, u32)| v1::FleetPlace {
                lease_name: lease_name.0.to_string(),
                place: *rank,
            };
            WireAnswer::Heard(v1::FleetHeard {
                heard: reply.accepted,
                term: reply.holder.as_ref().map_or(0, |(term, _)| term.0),
                holder: reply
                    .holder
                    .as_ref()
                    .map(|(_, holder)| lease_holder_to_proto(holder)),
                every_ms: reply.next_heartbeat_in,
                places: reply.ranks.iter().map(place).collect(),
            })
        }
        Answer::Done => WireAnswer::Done(v1::Done {}),
        Answer::FencingDecision {
            verdict,
            receiver_timestamp,
        } => WireAnswer::FencingDecision(v1::FencingDecision {
            verdict: wire_number(&FENCING_DECISIONS, verdict),
            receiver_timestamp: Some(receiver_timestamp_to_proto(*receiver_timestamp)),
        }),
        Answer::RevocationResult { begun } => WireAnswer::Begun(v1::FleetBegun { begun: *begun }),
        Answer::Reply(Reply::Pending(text)) => WireAnswer::Waits(text.clone()),
        Answer::Reply(Reply::Done(text)) => WireAnswer::Yes(text.clone()),
        Answer::Reply(Reply::Refused(text)) => WireAnswer::No(text.clone()),
        Answer::Reply(Reply::Redirect(address)) => WireAnswer::Elsewhere(address.0.to_string()),
        Answer::Reply(Reply::LeaseHold { term, valid_for }) => {
            WireAnswer::LeaseHeld(v1::FleetLeaseHeld {
                term: term.map_or(0, |term| term.0),
                good_for_ms: *valid_for,
            })
        }
        Answer::Reply(Reply::Status(status)) => WireAnswer::Status(status_to_proto(status)),
    };
    v1::FleetAnswer {
        answer: Some(answer),
    }
}

/// Decodes a member's answer; `None` if it is invalid.
pub fn answer_from_proto(message: v1::FleetAnswer) -> Option<Answer> {
    Some(match message.answer? {
        WireAnswer::Promise(content) => {
            let (ballot, accepted) = (
                ballot_from_proto(content.ballot)?,
                accepted_value_from_proto(content.accepted)?,
            );
            Answer::Vote(AcceptorReply::Promise {
                ballot,
                accepted,
                writes: content.writes,
            })
        }
        WireAnswer::Accepted(content) => Answer::Vote(AcceptorReply::Accepted {
            ballot: ballot_from_proto(content.ballot)?,
            writes: content.writes,
        }),
        WireAnswer::Conflict(content) => Answer::Vote(AcceptorReply::Conflict {
            promised: ballot_from_proto(content.promised)?,
        }),
        WireAnswer::NotVoting(_) => Answer::Vote(AcceptorReply::NotVoting),
        WireAnswer::Seen(content) => {
            let bootstrap = match &content.bootstrap {
                Some(voters) => Some(voter_set_from_proto(voters)?),
                None => None,
            };
            let voter_id = (content.voter_id != 0).then_some(VoterId(content.voter_id));
            Answer::VoterState(VoterState {
                voter_id,
                is_voting: content.votes,
                bootstrap,
                newest: accepted_value_from_proto(content.newest)?,
            })
        }
        WireAnswer::Witnessed(content) => Answer::WriteCount {
            writes: content.writes,
        },
        WireAnswer::Heard(content) => {
            let holder = match &content.holder {
                Some(holder) => Some((Term(content.term), lease_holder_from_proto(holder)?)),
                None => None,
            };
            let ranks = content
                .places
                .iter()
                .map(|place| Some((lease_name_from_proto(&place.lease_name)?, place.place)))
                .collect::<Option<_>>()?;
            // After an infinite or very long interval the member would send its next heartbeat too late or never.
            let next_heartbeat_in =
                finite(content.every_ms).filter(|ms| (0.0..=600_000.0).contains(ms))?;
            Answer::Heartbeat(HeartbeatReply {
                accepted: content.heard,
                holder,
                next_heartbeat_in,
                ranks,
            })
        }
        WireAnswer::Done(_) => Answer::Done,
        WireAnswer::FencingDecision(content) => {
            let verdict = *FENCING_DECISIONS.get(content.verdict as usize)?;
            Answer::FencingDecision {
                verdict,
                receiver_timestamp: receiver_timestamp_from_proto(&content.receiver_timestamp?)?,
            }
        }
        WireAnswer::Begun(content) => Answer::RevocationResult {
            begun: content.begun,
        },
        WireAnswer::Waits(text) => Answer::Reply(Reply::Pending(text)),
        WireAnswer::Yes(text) => Answer::Reply(Reply::Done(text)),
        WireAnswer::No(text) => Answer::Reply(Reply::Refused(text)),
        WireAnswer::Elsewhere(field) => Answer::Reply(Reply::Redirect(address(&field)?)),
        WireAnswer::LeaseHeld(content) => {
            let term = (content.term > 0).then_some(Term(content.term));
            Answer::Reply(Reply::LeaseHold {
                term,
                valid_for: finite(content.good_for_ms)?,
            })
        }
        WireAnswer::Status(content) => {
            Answer::Reply(Reply::Status(Box::new(status_from_proto(&content)?)))
        }
    })
}

fn status_to_proto(status: &Status) -> v1::FleetStatusReply {
    let voter = |line: &VoterStatus| v1::FleetVoterLine {
        name: line.name.0.to_string(),
        address: line.address.0.to_string(),
        answers: line.is_responding,
        votes: line.is_voting,
        version: line.version,
    };
    let lease =
        |(lease_name, term, holder): &(LeaseName, Term, Option<LeaseHolder>)| v1::LeaseRecord {
            lease_name: lease_name.0.to_string(),
            term: term.0,
            holder: holder.as_ref().map(lease_holder_to_proto),
            ..v1::LeaseRecord::default()
        };
    let member = |line: &MemberSummary| v1::FleetMemberLine {
        name: line.name.0.to_string(),
        zone: line.zone.clone(),
        label: line.label.clone(),
        member_status: wire_number(&MEMBER_STATUSES, &line.member_status),
        ready: line.ready,
        up_ms: line.uptime,
        age_ms: line.last_heartbeat_age,
    };
    v1::FleetStatusReply {
        by: status
            .reported_by
            .as_ref()
            .map(|name| name.0.to_string())
            .unwrap_or_default(),
        majority: status.majority,
        generation: status.generation,
        changing: status.changing,
        version: status.version,
        voters: status.voters.iter().map(voter).collect(),
        leases: status.leases.iter().map(lease).collect(),
        roll_for_ms: status.leading_for,
        roll: status.members.iter().map(member).collect(),
        caller: status
            .leader
            .as_ref()
            .map(|address| address.0.to_string())
            .unwrap_or_default(),
        disruptions: Some(rollout_codec::rollout_status_to_proto(&status.disruptions)),
    }
}

fn status_from_proto(message: &v1::FleetStatusReply) -> Option<Status> {
    let voter = |line: &v1::FleetVoterLine| {
        let (is_responding, is_voting, version) = (line.answers, line.votes, line.version);
        Some(VoterStatus {
            name: name(&line.name)?,
            address: address(&line.address)?,
            is_responding,
            is_voting,
            version,
        })
    };
    let lease = |record: &v1::LeaseRecord| {
        let holder = match &record.holder {
            Some(holder) => Some(lease_holder_from_proto(holder)?),
            None => None,
        };
        Some((
            lease_name_from_proto(&record.lease_name)?,
            Term(record.term),
            holder,
        ))
    };
    let member = |line: &v1::FleetMemberLine| {
        Some(MemberSummary {
            name: name(&line.name)?,
            zone: line.zone.clone(),
            label: line.label.clone(),
            member_status: *MEMBER_STATUSES.get(line.member_status as usize)?,
            ready: line.ready,
            uptime: finite(line.up_ms)?,
            last_heartbeat_age: finite(line.age_ms)?,
        })
    };
    Some(Status {
        reported_by: name(&message.by),
        majority: message.majority,
        generation: message.generation,
        changing: message.changing,
        version: message.version,
        voters: message.voters.iter().map(voter).collect::<Option<_>>()?,
        leases: message.leases.iter().map(lease).collect::<Option<_>>()?,
        leading_for: message.roll_for_ms,
        members: message.roll.iter().map(member).collect::<Option<_>>()?,
        leader: address(&message.caller),
        disruptions: rollout_codec::rollout_status_from_proto(message.disruptions.as_ref())?,
    })
}
