//! The fleet's plain types as the schema's messages, and back. What comes from outside and cannot be right is `None`:
//! a name that is empty or too long, an impossible ballot, a part that is not there.

use crate::codec_fields::{address, name, text, MAX_TEXT_BYTES};
use crate::rollout_codec;
use cindercleat::coordination::fencing::{FencedCommand, FencingDecision, ReceiverTimestamp};
use cindercleat::coordination::member::{
    Answer, HeartbeatReply, MemberLine, OperatorRequest, Question, Reply, Status, VoterLine,
    VoterState,
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
use v1::fleet_answer::Answer as A;
use v1::fleet_call::Question as Q;

/// Voters' writes that one message tells of; there are a few a voter.
const MOST_HEARD: usize = 256;

fn lease_name(said: &str) -> Option<LeaseName> {
    text(said).map(LeaseName::from)
}

fn finite(ms: f64) -> Option<f64> {
    ms.is_finite().then_some(ms)
}

fn ballot_out(ballot: &Ballot) -> v1::Ballot {
    v1::Ballot {
        round: ballot.round,
        by: ballot.by.0.to_string(),
        incarnation: ballot.incarnation.0,
    }
}

fn ballot_in(said: Option<v1::Ballot>) -> Option<Ballot> {
    let said = said?;
    // A round that nobody can go beyond would end all agreement.
    let possible = said.round > 0 && said.round < u64::MAX / 2;
    possible.then_some(())?;
    Some(Ballot {
        round: said.round,
        by: name(&said.by)?,
        incarnation: Incarnation(said.incarnation),
    })
}

fn seats_out(set: &BTreeMap<Name, VoterRecord>) -> Vec<v1::VoterRecord> {
    let voter_record = |(name, voter_record): (&Name, &VoterRecord)| v1::VoterRecord {
        name: name.0.to_string(),
        voter_id: voter_record.voter_id.0,
        address: voter_record.address.0.to_string(),
    };
    set.iter().map(voter_record).collect()
}

fn seats_in(said: &[v1::VoterRecord]) -> Option<BTreeMap<Name, VoterRecord>> {
    (said.len() <= MAX_VOTERS + 1).then_some(())?;
    let voter_record = |s: &v1::VoterRecord| {
        Some((
            name(&s.name)?,
            VoterRecord {
                voter_id: VoterId(s.voter_id),
                address: address(&s.address)?,
            },
        ))
    };
    said.iter().map(voter_record).collect()
}

fn voters_out(voters: &Voters) -> v1::VoterSet {
    v1::VoterSet {
        generation: voters.generation,
        set: seats_out(&voters.set),
        changing: voters.before.is_some(),
        before: voters.before.as_ref().map(seats_out).unwrap_or_default(),
    }
}

fn voters_in(said: &v1::VoterSet) -> Option<Voters> {
    let set = seats_in(&said.set).filter(|set| !set.is_empty())?;
    let before = match said.changing {
        true => Some(seats_in(&said.before).filter(|set| !set.is_empty())?),
        false => None,
    };
    Some(Voters {
        generation: said.generation,
        set,
        before,
    })
}

fn holder_out(holder: &LeaseHolder) -> v1::LeaseHolder {
    let (name, address) = (holder.name.0.to_string(), holder.address.0.to_string());
    v1::LeaseHolder {
        name,
        incarnation: holder.incarnation.0,
        address,
    }
}

fn holder_in(said: &v1::LeaseHolder) -> Option<LeaseHolder> {
    Some(LeaseHolder {
        name: name(&said.name)?,
        incarnation: Incarnation(said.incarnation),
        address: address(&said.address)?,
    })
}

fn row_out((lease_name, held): (&LeaseName, &LeaseRecord)) -> v1::LeaseRecord {
    v1::LeaseRecord {
        lease_name: lease_name.0.to_string(),
        term: held.term.0,
        holder: held.holder.as_ref().map(holder_out),
        renewed: held.renewed,
        lease_ms: held.lease_ms,
        stamp_round: held.proposal_id.round,
        stamp_run: held.proposal_id.incarnation.0,
        next: held
            .next
            .as_ref()
            .map(|n| n.0.to_string())
            .unwrap_or_default(),
    }
}

fn row_in(said: &v1::LeaseRecord) -> Option<(LeaseName, LeaseRecord)> {
    let holder = match &said.holder {
        Some(holder) => Some(holder_in(holder)?),
        None => None,
    };
    let next = match said.next.is_empty() {
        true => None,
        false => Some(name(&said.next)?),
    };
    let proposal_id = ProposalId {
        round: said.stamp_round,
        incarnation: Incarnation(said.stamp_run),
    };
    let (term, renewed, lease_ms) = (Term(said.term), said.renewed, said.lease_ms);
    Some((
        lease_name(&said.lease_name)?,
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

fn agreed_out(value: &ReplicatedState) -> v1::ReplicatedState {
    let (version, voters) = (value.version, Some(voters_out(&value.voters)));
    let disruptions = rollout_codec::care_out(&value.disruptions);
    v1::ReplicatedState {
        version,
        voters,
        leases: value.leases.iter().map(row_out).collect(),
        disruptions,
    }
}

fn agreed_in(said: Option<v1::ReplicatedState>) -> Option<ReplicatedState> {
    let said = said?;
    (said.leases.len() <= MAX_LEASES).then_some(())?;
    let leases = said.leases.iter().map(row_in).collect::<Option<_>>()?;
    let disruptions = Box::new(rollout_codec::care_in(said.disruptions.as_ref())?);
    Some(ReplicatedState {
        version: said.version,
        voters: voters_in(&said.voters?)?,
        leases,
        disruptions,
    })
}

fn taken_out(accepted: &Option<(Ballot, ReplicatedState)>) -> Option<v1::AcceptedValue> {
    let accepted = accepted.as_ref()?;
    Some(v1::AcceptedValue {
        ballot: Some(ballot_out(&accepted.0)),
        value: Some(agreed_out(&accepted.1)),
    })
}

/// Nothing taken is something that can be said; a taken value that cannot be read is not.
fn taken_in(said: Option<v1::AcceptedValue>) -> Option<Option<(Ballot, ReplicatedState)>> {
    match said {
        None => Some(None),
        Some(accepted) => Some(Some((
            ballot_in(accepted.ballot)?,
            agreed_in(accepted.value)?,
        ))),
    }
}

fn writes_out(write_counts: &WriteCounts) -> Vec<v1::VoterWriteCount> {
    let line = |((name, voter_id), writes): (&(Name, VoterId), &u64)| v1::VoterWriteCount {
        name: name.0.to_string(),
        voter_id: voter_id.0,
        writes: *writes,
    };
    write_counts
        .iter()
        .rev()
        .take(MOST_HEARD)
        .map(line)
        .collect()
}

fn writes_in(said: &[v1::VoterWriteCount]) -> Option<WriteCounts> {
    (said.len() <= MOST_HEARD).then_some(())?;
    said.iter()
        .map(|w| Some(((name(&w.name)?, VoterId(w.voter_id)), w.writes)))
        .collect()
}

/// What a voter keeps, as bytes of its file.
pub fn file_out(kept: &AcceptorState) -> v1::AcceptorFile {
    v1::AcceptorFile {
        name: kept.name.0.to_string(),
        voter_id: kept.voter_id.0,
        bootstrap: kept.bootstrap.as_ref().map(voters_out),
        promised: kept.promised.as_ref().map(ballot_out),
        accepted: taken_out(&kept.accepted),
        writes: kept.writes,
        heard: writes_out(&kept.write_counts),
    }
}

pub fn file_in(said: v1::AcceptorFile) -> Option<AcceptorState> {
    let bootstrap = match &said.bootstrap {
        Some(voters) => Some(voters_in(voters)?),
        None => None,
    };
    let promised = match said.promised {
        Some(ballot) => Some(ballot_in(Some(ballot))?),
        None => None,
    };
    Some(AcceptorState {
        name: name(&said.name)?,
        voter_id: VoterId(said.voter_id),
        bootstrap,
        promised,
        accepted: taken_in(said.accepted)?,
        writes: said.writes,
        write_counts: writes_in(&said.heard)?,
    })
}

fn ticket_out(receiver_timestamp: ReceiverTimestamp) -> v1::ReceiverTimestamp {
    v1::ReceiverTimestamp {
        incarnation: receiver_timestamp.incarnation.0,
        at_ms: receiver_timestamp.at,
    }
}

fn ticket_in(said: &v1::ReceiverTimestamp) -> Option<ReceiverTimestamp> {
    Some(ReceiverTimestamp {
        incarnation: Incarnation(said.incarnation),
        at: finite(said.at_ms)?,
    })
}

pub fn question_out(question: &Question) -> v1::FleetCall {
    let question = match question {
        Question::Vote(AcceptorRequest::Prepare {
            voter_id,
            ballot,
            write_counts,
        }) => Q::Prepare(v1::FleetPrepare {
            voter_id: voter_id.0,
            ballot: Some(ballot_out(ballot)),
            heard: writes_out(write_counts),
        }),
        Question::Vote(AcceptorRequest::Accept {
            voter_id,
            ballot,
            value,
            write_counts,
        }) => Q::Accept(v1::FleetAccept {
            voter_id: voter_id.0,
            ballot: Some(ballot_out(ballot)),
            value: Some(agreed_out(value)),
            heard: writes_out(write_counts),
        }),
        Question::VoterState => Q::Look(v1::FleetLook {}),
        Question::WriteCount { of, voter_id } => Q::Witness(v1::FleetWitness {
            name: of.0.to_string(),
            voter_id: voter_id.0,
        }),
        Question::Heartbeat(heartbeat) => Q::Heartbeat(v1::FleetHeartbeat {
            who: Some(holder_out(&heartbeat.who)),
            zone: heartbeat.zone.clone(),
            label: heartbeat.label.clone(),
            up_ms: heartbeat.up,
            ready: heartbeat.ready,
            stopping: heartbeat.stopping,
            load: heartbeat.load,
            holds: heartbeat.holds,
            tally: Some(rollout_codec::tally_out(&heartbeat.tally)),
            reports: heartbeat
                .reports
                .iter()
                .map(rollout_codec::report_out)
                .collect(),
        }),
        Question::LeaseOffer { lease_name } => Q::Nudge(v1::FleetNudge {
            lease_name: lease_name.0.to_string(),
        }),
        Question::FencedCommand(act) => Q::FencedCommand(v1::FencedCommand {
            lease_name: act.lease_name.0.to_string(),
            term: act.term.0,
            holder: Some(holder_out(&act.holder)),
            number: act.number,
            receiver_timestamp: act.receiver_timestamp.map(ticket_out),
            good_for_ms: act.good_for,
            body: act.body.clone().into(),
        }),
        Question::AskBack {
            permit,
            of,
            who,
            incarnation,
        } => rollout_codec::ask_back_out(*permit, *of, who, *incarnation),
        Question::Operator(order) => order_out(order),
    };
    v1::FleetCall {
        question: Some(question),
    }
}

fn order_out(order: &OperatorRequest) -> Q {
    let word = |name: &Option<Name>| name.as_ref().map(|n| n.0.to_string()).unwrap_or_default();
    match order {
        OperatorRequest::Status => Q::Status(v1::FleetStatus {}),
        OperatorRequest::HandOver { lease_name, to } => Q::HandOver(v1::FleetHandOver {
            lease_name: lease_name.0.to_string(),
            to: word(to),
        }),
        OperatorRequest::AddVoter { name, address } => Q::AddVoter(v1::FleetAddVoter {
            name: name.0.to_string(),
            address: address
                .as_ref()
                .map(|a| a.0.to_string())
                .unwrap_or_default(),
        }),
        OperatorRequest::RemoveVoter { name } => Q::RemoveVoter(v1::FleetRemoveVoter {
            name: name.0.to_string(),
        }),
        OperatorRequest::HoldLease { lease_name, job } => Q::HoldLease(v1::FleetHoldLease {
            lease_name: lease_name.0.to_string(),
            job: *job,
        }),
        OperatorRequest::LetGo { lease_name, job } => Q::LetGo(v1::FleetLetGo {
            lease_name: lease_name.0.to_string(),
            job: *job,
        }),
        OperatorRequest::Rollout(order) => rollout_codec::order_out(order),
        OperatorRequest::ByHand {
            name: who,
            address,
            reason: why,
        } => Q::ByHand(v1::FleetByHand {
            who: who.0.to_string(),
            address: address
                .as_ref()
                .map(|a| a.0.to_string())
                .unwrap_or_default(),
            why: why.clone(),
        }),
    }
}

/// None if it cannot be right.
pub fn question_in(said: v1::FleetCall) -> Option<Question> {
    Some(match said.question? {
        Q::Prepare(m) => {
            let write_counts = writes_in(&m.heard)?;
            Question::Vote(AcceptorRequest::Prepare {
                voter_id: VoterId(m.voter_id),
                ballot: ballot_in(m.ballot)?,
                write_counts,
            })
        }
        Q::Accept(m) => Question::Vote(AcceptorRequest::Accept {
            voter_id: VoterId(m.voter_id),
            ballot: ballot_in(m.ballot)?,
            value: agreed_in(m.value)?,
            write_counts: writes_in(&m.heard)?,
        }),
        Q::Look(_) => Question::VoterState,
        Q::Witness(m) => Question::WriteCount {
            of: name(&m.name)?,
            voter_id: VoterId(m.voter_id),
        },
        Q::Heartbeat(m) => {
            let (zone, label) = (m.zone, m.label);
            (zone.len() <= MAX_TEXT_BYTES && label.len() <= MAX_TEXT_BYTES).then_some(())?;
            let (up, load) = (finite(m.up_ms)?, finite(m.load)?);
            let (who, ready, stopping, holds) = (holder_in(&m.who?)?, m.ready, m.stopping, m.holds);
            let (tally, reports) = (
                rollout_codec::tally_in(m.tally.as_ref()),
                rollout_codec::reports_in(&m.reports)?,
            );
            Question::Heartbeat(Heartbeat {
                who,
                zone,
                label,
                up,
                ready,
                stopping,
                load,
                holds,
                tally,
                reports,
            })
        }
        Q::Nudge(m) => Question::LeaseOffer {
            lease_name: lease_name(&m.lease_name)?,
        },
        Q::FencedCommand(m) => {
            let receiver_timestamp = match &m.receiver_timestamp {
                Some(receiver_timestamp) => Some(ticket_in(receiver_timestamp)?),
                None => None,
            };
            Question::FencedCommand(FencedCommand {
                lease_name: lease_name(&m.lease_name)?,
                term: Term(m.term),
                holder: holder_in(&m.holder?)?,
                number: m.number,
                receiver_timestamp,
                good_for: finite(m.good_for_ms)?,
                body: m.body.to_vec(),
            })
        }
        Q::Status(_) => Question::Operator(OperatorRequest::Status),
        Q::HandOver(m) => {
            let to = match m.to.is_empty() {
                true => None,
                false => Some(name(&m.to)?),
            };
            Question::Operator(OperatorRequest::HandOver {
                lease_name: lease_name(&m.lease_name)?,
                to,
            })
        }
        Q::AddVoter(m) => {
            let at = match m.address.is_empty() {
                true => None,
                false => Some(address(&m.address)?),
            };
            Question::Operator(OperatorRequest::AddVoter {
                name: name(&m.name)?,
                address: at,
            })
        }
        Q::RemoveVoter(m) => Question::Operator(OperatorRequest::RemoveVoter {
            name: name(&m.name)?,
        }),
        Q::HoldLease(m) => Question::Operator(OperatorRequest::HoldLease {
            lease_name: lease_name(&m.lease_name)?,
            job: m.job,
        }),
        Q::LetGo(m) => Question::Operator(OperatorRequest::LetGo {
            lease_name: lease_name(&m.lease_name)?,
            job: m.job,
        }),
        Q::AskBack(m) => {
            let (permit, of, who, incarnation) = rollout_codec::ask_back_in(&m)?;
            Question::AskBack {
                permit,
                of,
                who,
                incarnation,
            }
        }
        other => Question::Operator(rollout_codec::order_in(&other)?),
    })
}

const VERDICTS: [FencingDecision; 5] = [
    FencingDecision::Executed,
    FencingDecision::StaleTerm,
    FencingDecision::Duplicate,
    FencingDecision::TimestampMissing,
    FencingDecision::LeaseExpired,
];
const STANDINGS: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspected,
    MemberStatus::Dead,
    MemberStatus::Returned,
];

fn place_in<T: PartialEq>(all: &[T], one: &T) -> u32 {
    all.iter()
        .position(|other| other == one)
        .unwrap_or_default() as u32
}

pub fn answer_out(answer: &Answer) -> v1::FleetAnswer {
    let answer = match answer {
        Answer::Vote(AcceptorReply::Promise {
            ballot,
            accepted,
            writes,
        }) => A::Promise(v1::FleetPromise {
            ballot: Some(ballot_out(ballot)),
            accepted: taken_out(accepted),
            writes: *writes,
        }),
        Answer::Vote(AcceptorReply::Accepted { ballot, writes }) => {
            A::Accepted(v1::FleetAccepted {
                ballot: Some(ballot_out(ballot)),
                writes: *writes,
            })
        }
        Answer::Vote(AcceptorReply::Conflict { promised }) => A::Conflict(v1::FleetConflict {
            promised: Some(ballot_out(promised)),
        }),
        Answer::Vote(AcceptorReply::NotVoting) => A::NotVoting(v1::FleetNotVoting {}),
        Answer::VoterState(seen) => A::Seen(v1::FleetSeen {
            voter_id: seen.voter_id.map_or(0, |voter_id| voter_id.0),
            votes: seen.votes,
            bootstrap: seen.bootstrap.as_ref().map(voters_out),
            newest: taken_out(&seen.newest),
        }),
        Answer::WriteCount { writes } => A::Witnessed(v1::FleetWitnessed { writes: *writes }),
        Answer::Heartbeat(heard) => {
            let place = |(lease_name, place): &(LeaseName, u32)| v1::FleetPlace {
                lease_name: lease_name.0.to_string(),
                place: *place,
            };
            A::Heard(v1::FleetHeard {
                heard: heard.accepted,
                term: heard.holder.as_ref().map_or(0, |(term, _)| term.0),
                holder: heard.holder.as_ref().map(|(_, holder)| holder_out(holder)),
                every_ms: heard.every,
                places: heard.places.iter().map(place).collect(),
            })
        }
        Answer::Done => A::Done(v1::Done {}),
        Answer::FencingDecision {
            verdict,
            receiver_timestamp,
        } => A::FencingDecision(v1::FencingDecision {
            verdict: place_in(&VERDICTS, verdict),
            receiver_timestamp: Some(ticket_out(*receiver_timestamp)),
        }),
        Answer::Begun { begun } => A::Begun(v1::FleetBegun { begun: *begun }),
        Answer::Reply(Reply::Pending(words)) => A::Waits(words.clone()),
        Answer::Reply(Reply::Done(words)) => A::Yes(words.clone()),
        Answer::Reply(Reply::Refused(words)) => A::No(words.clone()),
        Answer::Reply(Reply::Elsewhere(address)) => A::Elsewhere(address.0.to_string()),
        Answer::Reply(Reply::Holds { term, good_for }) => A::LeaseHeld(v1::FleetLeaseHeld {
            term: term.map_or(0, |term| term.0),
            good_for_ms: *good_for,
        }),
        Answer::Reply(Reply::Status(status)) => A::Status(status_out(status)),
    };
    v1::FleetAnswer {
        answer: Some(answer),
    }
}

/// None if it cannot be right.
pub fn answer_in(said: v1::FleetAnswer) -> Option<Answer> {
    Some(match said.answer? {
        A::Promise(m) => {
            let (ballot, accepted) = (ballot_in(m.ballot)?, taken_in(m.accepted)?);
            Answer::Vote(AcceptorReply::Promise {
                ballot,
                accepted,
                writes: m.writes,
            })
        }
        A::Accepted(m) => Answer::Vote(AcceptorReply::Accepted {
            ballot: ballot_in(m.ballot)?,
            writes: m.writes,
        }),
        A::Conflict(m) => Answer::Vote(AcceptorReply::Conflict {
            promised: ballot_in(m.promised)?,
        }),
        A::NotVoting(_) => Answer::Vote(AcceptorReply::NotVoting),
        A::Seen(m) => {
            let bootstrap = match &m.bootstrap {
                Some(voters) => Some(voters_in(voters)?),
                None => None,
            };
            let voter_id = (m.voter_id != 0).then_some(VoterId(m.voter_id));
            Answer::VoterState(VoterState {
                voter_id,
                votes: m.votes,
                bootstrap,
                newest: taken_in(m.newest)?,
            })
        }
        A::Witnessed(m) => Answer::WriteCount { writes: m.writes },
        A::Heard(m) => {
            let holder = match &m.holder {
                Some(holder) => Some((Term(m.term), holder_in(holder)?)),
                None => None,
            };
            let places = m
                .places
                .iter()
                .map(|p| Some((lease_name(&p.lease_name)?, p.place)))
                .collect::<Option<_>>()?;
            // A beat that is never wanted would end beating.
            let every = finite(m.every_ms).filter(|ms| (0.0..=600_000.0).contains(ms))?;
            Answer::Heartbeat(HeartbeatReply {
                accepted: m.heard,
                holder,
                every,
                places,
            })
        }
        A::Done(_) => Answer::Done,
        A::FencingDecision(m) => {
            let verdict = *VERDICTS.get(m.verdict as usize)?;
            Answer::FencingDecision {
                verdict,
                receiver_timestamp: ticket_in(&m.receiver_timestamp?)?,
            }
        }
        A::Begun(m) => Answer::Begun { begun: m.begun },
        A::Waits(words) => Answer::Reply(Reply::Pending(words)),
        A::Yes(words) => Answer::Reply(Reply::Done(words)),
        A::No(words) => Answer::Reply(Reply::Refused(words)),
        A::Elsewhere(at) => Answer::Reply(Reply::Elsewhere(address(&at)?)),
        A::LeaseHeld(m) => {
            let term = (m.term > 0).then_some(Term(m.term));
            Answer::Reply(Reply::Holds {
                term,
                good_for: finite(m.good_for_ms)?,
            })
        }
        A::Status(m) => Answer::Reply(Reply::Status(Box::new(status_in(&m)?))),
    })
}

fn status_out(status: &Status) -> v1::FleetStatusReply {
    let voter = |v: &VoterLine| v1::FleetVoterLine {
        name: v.name.0.to_string(),
        address: v.address.0.to_string(),
        answers: v.answers,
        votes: v.votes,
        version: v.version,
    };
    let row =
        |(lease_name, term, holder): &(LeaseName, Term, Option<LeaseHolder>)| v1::LeaseRecord {
            lease_name: lease_name.0.to_string(),
            term: term.0,
            holder: holder.as_ref().map(holder_out),
            ..v1::LeaseRecord::default()
        };
    let line = |l: &MemberLine| v1::FleetMemberLine {
        name: l.name.0.to_string(),
        zone: l.zone.clone(),
        label: l.label.clone(),
        member_status: place_in(&STANDINGS, &l.member_status),
        ready: l.ready,
        up_ms: l.uptime,
        age_ms: l.heard_ago,
    };
    v1::FleetStatusReply {
        by: status
            .reported_by
            .as_ref()
            .map(|n| n.0.to_string())
            .unwrap_or_default(),
        majority: status.majority,
        generation: status.generation,
        changing: status.changing,
        version: status.version,
        voters: status.voters.iter().map(voter).collect(),
        leases: status.leases.iter().map(row).collect(),
        roll_for_ms: status.leading_for,
        roll: status.members.iter().map(line).collect(),
        caller: status
            .leader
            .as_ref()
            .map(|a| a.0.to_string())
            .unwrap_or_default(),
        disruptions: Some(rollout_codec::status_out(&status.disruptions)),
    }
}

fn status_in(said: &v1::FleetStatusReply) -> Option<Status> {
    let voter = |v: &v1::FleetVoterLine| {
        let (answers, votes, version) = (v.answers, v.votes, v.version);
        Some(VoterLine {
            name: name(&v.name)?,
            address: address(&v.address)?,
            answers,
            votes,
            version,
        })
    };
    let row = |r: &v1::LeaseRecord| {
        let holder = match &r.holder {
            Some(holder) => Some(holder_in(holder)?),
            None => None,
        };
        Some((lease_name(&r.lease_name)?, Term(r.term), holder))
    };
    let line = |l: &v1::FleetMemberLine| {
        Some(MemberLine {
            name: name(&l.name)?,
            zone: l.zone.clone(),
            label: l.label.clone(),
            member_status: *STANDINGS.get(l.member_status as usize)?,
            ready: l.ready,
            uptime: finite(l.up_ms)?,
            heard_ago: finite(l.age_ms)?,
        })
    };
    Some(Status {
        reported_by: name(&said.by),
        majority: said.majority,
        generation: said.generation,
        changing: said.changing,
        version: said.version,
        voters: said.voters.iter().map(voter).collect::<Option<_>>()?,
        leases: said.leases.iter().map(row).collect::<Option<_>>()?,
        leading_for: said.roll_for_ms,
        members: said.roll.iter().map(line).collect::<Option<_>>()?,
        leader: address(&said.caller),
        disruptions: rollout_codec::status_in(said.disruptions.as_ref())?,
    })
}
