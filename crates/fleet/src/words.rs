//! The fleet's plain types as the schema's messages, and back. What comes from outside and cannot be right is `None`:
//! a name that is empty or too long, an impossible ballot, a part that is not there.

use crate::care_words;
use cindercleat::coordination::fencing::{FencedCommand, FencingDecision, ReceiverTimestamp};
use cindercleat::coordination::member::{
    Answer, HeartbeatReply, MemberLine, OperatorRequest, Question, Reply, Seen, Status, VoterLine,
};
use cindercleat::coordination::membership::{Heartbeat, MemberStatus};
use cindercleat::coordination::register::{
    AcceptorReply, AcceptorRequest, AcceptorState, Ballot, WriteCounts,
};
use cindercleat::coordination::state::{
    LeaseHolder, LeaseRecord, ProposalId, ReplicatedState, VoterId, VoterRecord, Voters,
    MOST_DUTIES, MOST_VOTERS,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name, Term};
use cindercleat_protocol::v1;
use std::collections::BTreeMap;
use v1::fleet_answer::Answer as A;
use v1::fleet_call::Question as Q;

/// Longest name or address taken.
pub(crate) const LONGEST: usize = 256;
/// Voters' writes that one message tells of; there are a few a voter.
const MOST_HEARD: usize = 256;

pub(crate) fn text(text: &str) -> Option<&str> {
    (!text.is_empty() && text.len() <= LONGEST && !text.chars().any(char::is_control))
        .then_some(text)
}

pub(crate) fn name(said: &str) -> Option<Name> {
    text(said).map(Name::from)
}

fn duty(said: &str) -> Option<LeaseName> {
    text(said).map(LeaseName::from)
}

pub(crate) fn address(said: &str) -> Option<Address> {
    text(said).map(Address::from)
}

fn finite(ms: f64) -> Option<f64> {
    ms.is_finite().then_some(ms)
}

fn ballot_out(ballot: &Ballot) -> v1::Ballot {
    v1::Ballot {
        round: ballot.round,
        by: ballot.by.0.to_string(),
        run: ballot.run.0,
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
        run: Incarnation(said.run),
    })
}

fn seats_out(set: &BTreeMap<Name, VoterRecord>) -> Vec<v1::VoterSeat> {
    let seat = |(name, seat): (&Name, &VoterRecord)| v1::VoterSeat {
        name: name.0.to_string(),
        life: seat.life.0,
        address: seat.address.0.to_string(),
    };
    set.iter().map(seat).collect()
}

fn seats_in(said: &[v1::VoterSeat]) -> Option<BTreeMap<Name, VoterRecord>> {
    (said.len() <= MOST_VOTERS + 1).then_some(())?;
    let seat = |s: &v1::VoterSeat| {
        Some((
            name(&s.name)?,
            VoterRecord {
                life: VoterId(s.life),
                address: address(&s.address)?,
            },
        ))
    };
    said.iter().map(seat).collect()
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

fn holder_out(holder: &LeaseHolder) -> v1::DutyHolder {
    let (name, address) = (holder.name.0.to_string(), holder.address.0.to_string());
    v1::DutyHolder {
        name,
        run: holder.run.0,
        address,
    }
}

fn holder_in(said: &v1::DutyHolder) -> Option<LeaseHolder> {
    Some(LeaseHolder {
        name: name(&said.name)?,
        run: Incarnation(said.run),
        address: address(&said.address)?,
    })
}

fn row_out((duty, held): (&LeaseName, &LeaseRecord)) -> v1::DutyRow {
    v1::DutyRow {
        duty: duty.0.to_string(),
        term: held.term.0,
        holder: held.holder.as_ref().map(holder_out),
        renewed: held.renewed,
        lease_ms: held.lease_ms,
        stamp_round: held.stamp.round,
        stamp_run: held.stamp.run.0,
        next: held
            .next
            .as_ref()
            .map(|n| n.0.to_string())
            .unwrap_or_default(),
    }
}

fn row_in(said: &v1::DutyRow) -> Option<(LeaseName, LeaseRecord)> {
    let holder = match &said.holder {
        Some(holder) => Some(holder_in(holder)?),
        None => None,
    };
    let next = match said.next.is_empty() {
        true => None,
        false => Some(name(&said.next)?),
    };
    let stamp = ProposalId {
        round: said.stamp_round,
        run: Incarnation(said.stamp_run),
    };
    let (term, renewed, lease_ms) = (Term(said.term), said.renewed, said.lease_ms);
    Some((
        duty(&said.duty)?,
        LeaseRecord {
            term,
            holder,
            renewed,
            lease_ms,
            stamp,
            next,
        },
    ))
}

fn agreed_out(value: &ReplicatedState) -> v1::AgreedValue {
    let (version, voters) = (value.version, Some(voters_out(&value.voters)));
    let care = care_words::care_out(&value.care);
    v1::AgreedValue {
        version,
        voters,
        duties: value.duties.iter().map(row_out).collect(),
        care,
    }
}

fn agreed_in(said: Option<v1::AgreedValue>) -> Option<ReplicatedState> {
    let said = said?;
    (said.duties.len() <= MOST_DUTIES).then_some(())?;
    let duties = said.duties.iter().map(row_in).collect::<Option<_>>()?;
    let care = Box::new(care_words::care_in(said.care.as_ref())?);
    Some(ReplicatedState {
        version: said.version,
        voters: voters_in(&said.voters?)?,
        duties,
        care,
    })
}

fn taken_out(taken: &Option<(Ballot, ReplicatedState)>) -> Option<v1::TakenValue> {
    let taken = taken.as_ref()?;
    Some(v1::TakenValue {
        ballot: Some(ballot_out(&taken.0)),
        value: Some(agreed_out(&taken.1)),
    })
}

/// Nothing taken is something that can be said; a taken value that cannot be read is not.
fn taken_in(said: Option<v1::TakenValue>) -> Option<Option<(Ballot, ReplicatedState)>> {
    match said {
        None => Some(None),
        Some(taken) => Some(Some((ballot_in(taken.ballot)?, agreed_in(taken.value)?))),
    }
}

fn writes_out(heard: &WriteCounts) -> Vec<v1::VoterWrites> {
    let line = |((name, life), writes): (&(Name, VoterId), &u64)| v1::VoterWrites {
        name: name.0.to_string(),
        life: life.0,
        writes: *writes,
    };
    heard.iter().rev().take(MOST_HEARD).map(line).collect()
}

fn writes_in(said: &[v1::VoterWrites]) -> Option<WriteCounts> {
    (said.len() <= MOST_HEARD).then_some(())?;
    said.iter()
        .map(|w| Some(((name(&w.name)?, VoterId(w.life)), w.writes)))
        .collect()
}

/// What a voter keeps, as bytes of its file.
pub fn file_out(kept: &AcceptorState) -> v1::VoterFile {
    v1::VoterFile {
        name: kept.name.0.to_string(),
        life: kept.life.0,
        founding: kept.founding.as_ref().map(voters_out),
        promised: kept.promised.as_ref().map(ballot_out),
        taken: taken_out(&kept.taken),
        writes: kept.writes,
        heard: writes_out(&kept.heard),
    }
}

pub fn file_in(said: v1::VoterFile) -> Option<AcceptorState> {
    let founding = match &said.founding {
        Some(voters) => Some(voters_in(voters)?),
        None => None,
    };
    let promised = match said.promised {
        Some(ballot) => Some(ballot_in(Some(ballot))?),
        None => None,
    };
    Some(AcceptorState {
        name: name(&said.name)?,
        life: VoterId(said.life),
        founding,
        promised,
        taken: taken_in(said.taken)?,
        writes: said.writes,
        heard: writes_in(&said.heard)?,
    })
}

fn ticket_out(ticket: ReceiverTimestamp) -> v1::FleetTicket {
    v1::FleetTicket {
        run: ticket.run.0,
        at_ms: ticket.at,
    }
}

fn ticket_in(said: &v1::FleetTicket) -> Option<ReceiverTimestamp> {
    Some(ReceiverTimestamp {
        run: Incarnation(said.run),
        at: finite(said.at_ms)?,
    })
}

pub fn question_out(question: &Question) -> v1::FleetCall {
    let question = match question {
        Question::Vote(AcceptorRequest::Prepare {
            life,
            ballot,
            heard,
        }) => Q::Prepare(v1::FleetPrepare {
            life: life.0,
            ballot: Some(ballot_out(ballot)),
            heard: writes_out(heard),
        }),
        Question::Vote(AcceptorRequest::Accept {
            life,
            ballot,
            value,
            heard,
        }) => Q::Take(v1::FleetTake {
            life: life.0,
            ballot: Some(ballot_out(ballot)),
            value: Some(agreed_out(value)),
            heard: writes_out(heard),
        }),
        Question::Look => Q::Look(v1::FleetLook {}),
        Question::Witness { of, life } => Q::Witness(v1::FleetWitness {
            name: of.0.to_string(),
            life: life.0,
        }),
        Question::Heartbeat(beat) => Q::Beat(v1::FleetBeat {
            who: Some(holder_out(&beat.who)),
            zone: beat.zone.clone(),
            label: beat.label.clone(),
            up_ms: beat.up,
            ready: beat.ready,
            stopping: beat.stopping,
            load: beat.load,
            holds: beat.holds,
            tally: Some(care_words::tally_out(&beat.tally)),
            reports: beat.reports.iter().map(care_words::report_out).collect(),
        }),
        Question::Nudge { duty } => Q::Nudge(v1::FleetNudge {
            duty: duty.0.to_string(),
        }),
        Question::FencedCommand(act) => Q::Act(v1::FleetAct {
            duty: act.duty.0.to_string(),
            term: act.term.0,
            holder: Some(holder_out(&act.holder)),
            number: act.number,
            ticket: act.ticket.map(ticket_out),
            good_for_ms: act.good_for,
            body: act.body.clone().into(),
        }),
        Question::AskBack { turn, of, who, run } => care_words::ask_back_out(*turn, *of, who, *run),
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
        OperatorRequest::HandOver { duty, to } => Q::HandOver(v1::FleetHandOver {
            duty: duty.0.to_string(),
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
        OperatorRequest::HoldLease { duty, job } => Q::Hold(v1::FleetHold {
            duty: duty.0.to_string(),
            job: *job,
        }),
        OperatorRequest::LetGo { duty, job } => Q::LetGo(v1::FleetLetGo {
            duty: duty.0.to_string(),
            job: *job,
        }),
        OperatorRequest::Rollout(order) => care_words::order_out(order),
        OperatorRequest::ByHand { who, address, why } => Q::ByHand(v1::FleetByHand {
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
            let heard = writes_in(&m.heard)?;
            Question::Vote(AcceptorRequest::Prepare {
                life: VoterId(m.life),
                ballot: ballot_in(m.ballot)?,
                heard,
            })
        }
        Q::Take(m) => Question::Vote(AcceptorRequest::Accept {
            life: VoterId(m.life),
            ballot: ballot_in(m.ballot)?,
            value: agreed_in(m.value)?,
            heard: writes_in(&m.heard)?,
        }),
        Q::Look(_) => Question::Look,
        Q::Witness(m) => Question::Witness {
            of: name(&m.name)?,
            life: VoterId(m.life),
        },
        Q::Beat(m) => {
            let (zone, label) = (m.zone, m.label);
            (zone.len() <= LONGEST && label.len() <= LONGEST).then_some(())?;
            let (up, load) = (finite(m.up_ms)?, finite(m.load)?);
            let (who, ready, stopping, holds) = (holder_in(&m.who?)?, m.ready, m.stopping, m.holds);
            let (tally, reports) = (
                care_words::tally_in(m.tally.as_ref()),
                care_words::reports_in(&m.reports)?,
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
        Q::Nudge(m) => Question::Nudge {
            duty: duty(&m.duty)?,
        },
        Q::Act(m) => {
            let ticket = match &m.ticket {
                Some(ticket) => Some(ticket_in(ticket)?),
                None => None,
            };
            Question::FencedCommand(FencedCommand {
                duty: duty(&m.duty)?,
                term: Term(m.term),
                holder: holder_in(&m.holder?)?,
                number: m.number,
                ticket,
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
                duty: duty(&m.duty)?,
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
        Q::Hold(m) => Question::Operator(OperatorRequest::HoldLease {
            duty: duty(&m.duty)?,
            job: m.job,
        }),
        Q::LetGo(m) => Question::Operator(OperatorRequest::LetGo {
            duty: duty(&m.duty)?,
            job: m.job,
        }),
        Q::AskBack(m) => {
            let (turn, of, who, run) = care_words::ask_back_in(&m)?;
            Question::AskBack { turn, of, who, run }
        }
        other => Question::Operator(care_words::order_in(&other)?),
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
            taken,
            writes,
        }) => A::Promise(v1::FleetPromise {
            ballot: Some(ballot_out(ballot)),
            taken: taken_out(taken),
            writes: *writes,
        }),
        Answer::Vote(AcceptorReply::Accepted { ballot, writes }) => A::Took(v1::FleetTook {
            ballot: Some(ballot_out(ballot)),
            writes: *writes,
        }),
        Answer::Vote(AcceptorReply::Conflict { promised }) => A::Outbid(v1::FleetOutbid {
            promised: Some(ballot_out(promised)),
        }),
        Answer::Vote(AcceptorReply::NotVoting) => A::NoVote(v1::FleetNoVote {}),
        Answer::Seen(seen) => A::Seen(v1::FleetSeen {
            life: seen.life.map_or(0, |life| life.0),
            votes: seen.votes,
            founding: seen.founding.as_ref().map(voters_out),
            newest: taken_out(&seen.newest),
        }),
        Answer::Witnessed { writes } => A::Witnessed(v1::FleetWitnessed { writes: *writes }),
        Answer::Heard(heard) => {
            let place = |(duty, place): &(LeaseName, u32)| v1::FleetPlace {
                duty: duty.0.to_string(),
                place: *place,
            };
            A::Heard(v1::FleetHeard {
                heard: heard.heard,
                term: heard.holder.as_ref().map_or(0, |(term, _)| term.0),
                holder: heard.holder.as_ref().map(|(_, holder)| holder_out(holder)),
                every_ms: heard.every,
                places: heard.places.iter().map(place).collect(),
            })
        }
        Answer::Done => A::Done(v1::Done {}),
        Answer::FencingDecision { verdict, ticket } => A::Verdict(v1::FleetVerdict {
            verdict: place_in(&VERDICTS, verdict),
            ticket: Some(ticket_out(*ticket)),
        }),
        Answer::Begun { begun } => A::Begun(v1::FleetBegun { begun: *begun }),
        Answer::Reply(Reply::Pending(words)) => A::Waits(words.clone()),
        Answer::Reply(Reply::Done(words)) => A::Yes(words.clone()),
        Answer::Reply(Reply::Refused(words)) => A::No(words.clone()),
        Answer::Reply(Reply::Elsewhere(address)) => A::Elsewhere(address.0.to_string()),
        Answer::Reply(Reply::Holds { term, good_for }) => A::Holds(v1::FleetHolds {
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
            let (ballot, taken) = (ballot_in(m.ballot)?, taken_in(m.taken)?);
            Answer::Vote(AcceptorReply::Promise {
                ballot,
                taken,
                writes: m.writes,
            })
        }
        A::Took(m) => Answer::Vote(AcceptorReply::Accepted {
            ballot: ballot_in(m.ballot)?,
            writes: m.writes,
        }),
        A::Outbid(m) => Answer::Vote(AcceptorReply::Conflict {
            promised: ballot_in(m.promised)?,
        }),
        A::NoVote(_) => Answer::Vote(AcceptorReply::NotVoting),
        A::Seen(m) => {
            let founding = match &m.founding {
                Some(voters) => Some(voters_in(voters)?),
                None => None,
            };
            let life = (m.life != 0).then_some(VoterId(m.life));
            Answer::Seen(Seen {
                life,
                votes: m.votes,
                founding,
                newest: taken_in(m.newest)?,
            })
        }
        A::Witnessed(m) => Answer::Witnessed { writes: m.writes },
        A::Heard(m) => {
            let holder = match &m.holder {
                Some(holder) => Some((Term(m.term), holder_in(holder)?)),
                None => None,
            };
            let places = m
                .places
                .iter()
                .map(|p| Some((duty(&p.duty)?, p.place)))
                .collect::<Option<_>>()?;
            // A beat that is never wanted would end beating.
            let every = finite(m.every_ms).filter(|ms| (0.0..=600_000.0).contains(ms))?;
            Answer::Heard(HeartbeatReply {
                heard: m.heard,
                holder,
                every,
                places,
            })
        }
        A::Done(_) => Answer::Done,
        A::Verdict(m) => {
            let verdict = *VERDICTS.get(m.verdict as usize)?;
            Answer::FencingDecision {
                verdict,
                ticket: ticket_in(&m.ticket?)?,
            }
        }
        A::Begun(m) => Answer::Begun { begun: m.begun },
        A::Waits(words) => Answer::Reply(Reply::Pending(words)),
        A::Yes(words) => Answer::Reply(Reply::Done(words)),
        A::No(words) => Answer::Reply(Reply::Refused(words)),
        A::Elsewhere(at) => Answer::Reply(Reply::Elsewhere(address(&at)?)),
        A::Holds(m) => {
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
    let row = |(duty, term, holder): &(LeaseName, Term, Option<LeaseHolder>)| v1::DutyRow {
        duty: duty.0.to_string(),
        term: term.0,
        holder: holder.as_ref().map(holder_out),
        ..v1::DutyRow::default()
    };
    let line = |l: &MemberLine| v1::FleetRollLine {
        name: l.name.0.to_string(),
        zone: l.zone.clone(),
        label: l.label.clone(),
        standing: place_in(&STANDINGS, &l.standing),
        ready: l.ready,
        up_ms: l.up,
        age_ms: l.age,
    };
    v1::FleetStatusReply {
        by: status
            .by
            .as_ref()
            .map(|n| n.0.to_string())
            .unwrap_or_default(),
        majority: status.majority,
        generation: status.generation,
        changing: status.changing,
        version: status.version,
        voters: status.voters.iter().map(voter).collect(),
        duties: status.duties.iter().map(row).collect(),
        roll_for_ms: status.roll_for,
        roll: status.roll.iter().map(line).collect(),
        caller: status
            .caller
            .as_ref()
            .map(|a| a.0.to_string())
            .unwrap_or_default(),
        care: Some(care_words::status_out(&status.care)),
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
    let row = |r: &v1::DutyRow| {
        let holder = match &r.holder {
            Some(holder) => Some(holder_in(holder)?),
            None => None,
        };
        Some((duty(&r.duty)?, Term(r.term), holder))
    };
    let line = |l: &v1::FleetRollLine| {
        Some(MemberLine {
            name: name(&l.name)?,
            zone: l.zone.clone(),
            label: l.label.clone(),
            standing: *STANDINGS.get(l.standing as usize)?,
            ready: l.ready,
            up: finite(l.up_ms)?,
            age: finite(l.age_ms)?,
        })
    };
    Some(Status {
        by: name(&said.by),
        majority: said.majority,
        generation: said.generation,
        changing: said.changing,
        version: said.version,
        voters: said.voters.iter().map(voter).collect::<Option<_>>()?,
        duties: said.duties.iter().map(row).collect::<Option<_>>()?,
        roll_for: said.roll_for_ms,
        roll: said.roll.iter().map(line).collect::<Option<_>>()?,
        caller: address(&said.caller),
        care: care_words::status_in(said.care.as_ref())?,
    })
}
