//! What operators ask: who is there, who holds what, changes of voters, duties for their own jobs.

use super::*;
use crate::coordination::disruption_budget::UnavailableCount;
use crate::coordination::lease::holder_of;
use crate::coordination::membership::MemberStatus;
use crate::coordination::rollout::RolloutPlan;
use crate::coordination::state::{CommandError, VoterRecord};

/// An operator's wish, at any dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    Status,
    /// Gives the duty to another: to `to`, or to whoever comes next.
    HandOver {
        lease_name: LeaseName,
        to: Option<Name>,
    },
    /// The address may be left out for a member that the roll-call knows.
    AddVoter {
        name: Name,
        address: Option<Address>,
    },
    RemoveVoter {
        name: Name,
    },
    /// Wants the duty held for a job, or goes on to.
    HoldLease {
        lease_name: LeaseName,
        job: u64,
    },
    /// The job is over.
    LetGo {
        lease_name: LeaseName,
        job: u64,
    },
    Rollout(RolloutRequest),
    /// Stops this one member though nothing is agreed on.
    ByHand {
        who: Name,
        address: Option<Address>,
        why: String,
    },
}

/// What is ordered of turns and releases.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutRequest {
    /// `skip`: those that the plan names and that are not there are passed over. `dry`: it is only shown.
    Start {
        plan: Box<RolloutPlan>,
        skip_missing: bool,
        dry_run: bool,
    },
    /// Given again until it is acknowledged.
    Halt {
        reason: String,
    },
    Resume,
    RollBack,
    End,
    /// Whoever is missing now is missed no more.
    Recount {
        unit_kind: UnitKind,
    },
    /// Wants a turn for a dispatcher, or goes on to; `refused`: wants it no more.
    Permit {
        name: Name,
        label: String,
        cancel: bool,
    },
}

/// A release and its turns, as whoever was asked sees them; whole at the caller of the roll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutStatus {
    pub name: String,
    pub unit_kind: UnitKind,
    /// none, waiting, running, held, halted, going back, done.
    pub state: String,
    pub halted: String,
    /// Why nothing goes out now.
    pub blocked_reason: String,
    /// The wave counted from 1, how many turns it gave, of how many.
    pub wave: u32,
    pub granted_in_wave: u32,
    pub wave_size: u32,
    pub completed: u32,
    pub selected: u32,
    /// Number, member, zone, and where it is.
    pub permits: Vec<PermitStatus>,
    /// How many are out and how many may be, over the fleet (no name) and by zone.
    pub unavailable: Vec<UnavailableCount>,
    pub abandoned: Vec<AbandonedUnit>,
    pub notes: Vec<String>,
}

/// A permit and where its unit is.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitStatus {
    /// The permit.
    pub permit: PermitId,
    /// The unit that may go.
    pub unit: Name,
    /// The unit's zone.
    pub zone: String,
    /// Where it is, in the operators' words: given, out, starting, back, back under another label.
    pub stage: String,
}

/// A unit that did not come back as it should, left for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedUnit {
    /// The unit.
    pub unit: Name,
    /// What was seen of it, in words.
    pub reason: String,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Status(Box<Status>),
    /// Done, in words.
    Done(String),
    /// Not done, and why.
    Refused(String),
    /// It is being done: ask again.
    Pending(String),
    /// Ask there: whoever is there can do it.
    Elsewhere(Address),
    /// The duty is held in this term for so long, counted from before it was asked for; none yet.
    Holds {
        term: Option<Term>,
        good_for: Ms,
    },
}

/// A voter, as it was asked.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterLine {
    pub name: Name,
    pub address: Address,
    pub answers: bool,
    pub votes: bool,
    /// What it took last is of this version.
    pub version: u64,
}

/// A member, as the roll-call has it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberLine {
    pub name: Name,
    pub zone: String,
    pub label: String,
    pub member_status: MemberStatus,
    pub ready: bool,
    pub up: Ms,
    pub age: Ms,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    pub by: Option<Name>,
    /// A majority of the voters answered.
    pub majority: bool,
    pub generation: u64,
    pub changing: bool,
    pub version: u64,
    pub voters: Vec<VoterLine>,
    pub leases: Vec<(LeaseName, Term, Option<LeaseHolder>)>,
    /// Whether this dispatcher calls the roll, and for how long it has.
    pub roll_for: Option<Ms>,
    pub roll: Vec<MemberLine>,
    /// Where the roll is called, if elsewhere.
    pub caller: Option<Address>,
    pub disruptions: RolloutStatus,
}

/// Voters that are being looked at for an order.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Inspection {
    asked: BTreeMap<Name, Address>,
    found: BTreeMap<Name, Option<VoterState>>,
    until: Ms,
    wish: Option<(Name, Address)>,
}

impl Inspection {
    pub(super) fn until(&self) -> Ms {
        self.until
    }
}

/// An order is answered within this, whatever is not there.
const WITHIN: Ms = 800.0;
/// Jobs that one dispatcher holds duties for.
const MOST_JOBS: usize = 32;
/// Longest name of a duty or of a member.
pub const LONGEST_NAME: usize = 64;

impl Member {
    pub(super) fn order(&mut self, call: CallId, order: OperatorRequest, out: &mut Vec<Output>) {
        let reply = match order {
            OperatorRequest::Status => {
                let all = self.known_voters();
                return self.begin_inspection(call, all, None, out);
            }
            OperatorRequest::HandOver { lease_name, to } => {
                self.order_hand_over(&lease_name, to, out)
            }
            OperatorRequest::AddVoter { name, address } => {
                let known = self
                    .membership
                    .as_ref()
                    .and_then(|roll| roll.address(&name))
                    .cloned();
                let own = (name == self.settings.me).then(|| self.settings.address.clone());
                match address
                    .or(known)
                    .or(own)
                    .or(self.settings.voters.get(&name).cloned())
                {
                    Some(address) => {
                        let all = BTreeMap::from([(name.clone(), address.clone())]);
                        return self.begin_inspection(call, all, Some((name, address)), out);
                    }
                    None => match self
                        .membership_leader
                        .as_ref()
                        .filter(|(_, h)| h.name != self.settings.me)
                    {
                        Some((_, holder)) => Reply::Elsewhere(holder.address.clone()),
                        None => Reply::Refused(format!(
                            "nobody knows where {} is: name its address",
                            name.0
                        )),
                    },
                }
            }
            OperatorRequest::RemoveVoter { name } => {
                return self.submit_command(call, Command::RemoveVoter { name })
            }
            OperatorRequest::HoldLease { lease_name, job } => self.order_hold(lease_name, job),
            OperatorRequest::LetGo { lease_name, job } => {
                if self.jobs.get(&lease_name).is_some_and(|j| j.number == job) {
                    self.end_job(&lease_name, out);
                }
                Reply::Done(format!("{} let go", lease_name.0))
            }
            OperatorRequest::Rollout(order) => match self.rollout_request(call, order) {
                Some(reply) => reply,
                None => return,
            },
            OperatorRequest::ByHand { who, address, why } => {
                match self.stop_by_hand(call, who, address, why, out) {
                    Some(reply) => reply,
                    None => return,
                }
            }
        };
        out.push(Output::Answer {
            call,
            answer: Answer::Reply(reply),
        });
    }

    fn order_hand_over(
        &mut self,
        lease_name: &LeaseName,
        to: Option<Name>,
        out: &mut Vec<Output>,
    ) -> Reply {
        if self.held_leases.contains_key(lease_name) {
            let roll = self.membership.as_ref();
            let first = || {
                roll.and_then(|roll| roll.first_successor(lease_name))
                    .cloned()
            };
            let Some(next) = to.or_else(first) else {
                return Reply::Refused(format!("nobody is known that could hold {}", lease_name.0));
            };
            if next == self.settings.me {
                return Reply::Refused(format!("{} holds {} already", next.0, lease_name.0));
            }
            if roll.is_some_and(|roll| roll.address(&next).is_none()) {
                return Reply::Refused(format!("the roll-call knows no {}", next.0));
            }
            self.hand_over(lease_name, Some(next.clone()), out);
            return Reply::Done(format!("{} is given up for {}", lease_name.0, next.0));
        }
        let newest = self.newest();
        let row = newest.and_then(|value| value.leases.get(lease_name));
        match (newest.and_then(|value| holder_of(value, lease_name)), row) {
            (Some((_, holder)), _) if holder.incarnation != self.settings.incarnation => {
                Reply::Elsewhere(holder.address.clone())
            }
            (_, Some(_)) => Reply::Refused(format!("nobody holds {} now", lease_name.0)),
            (_, None) => Reply::Refused(format!("there is no duty {}", lease_name.0)),
        }
    }

    fn order_hold(&mut self, lease_name: LeaseName, job: u64) -> Reply {
        if lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            return Reply::Refused(format!("{MEMBERSHIP_LEASE} is the dispatchers' own"));
        }
        if lease_name.0.is_empty() || lease_name.0.len() > LONGEST_NAME {
            return Reply::Refused(format!("a duty's name has 1 to {LONGEST_NAME} bytes"));
        }
        if self.stopping {
            return Reply::Refused("this dispatcher stops".to_owned());
        }
        let (now, full) = (self.now, self.jobs.len() >= MOST_JOBS);
        match self.jobs.get_mut(&lease_name) {
            Some(other) if other.number != job => {
                return Reply::Refused(format!("{} is wanted here by another job", lease_name.0));
            }
            Some(same) => same.asked = now,
            None if full => {
                return Reply::Refused(format!("{MOST_JOBS} jobs are held for here already"))
            }
            None => {
                self.jobs.insert(
                    lease_name.clone(),
                    LeaseJob {
                        number: job,
                        asked: now,
                    },
                );
                self.lease_observers
                    .insert(lease_name.clone(), LeaseObserver::new(now, &mut self.rng));
                // Whoever asks first for a new duty comes first.
                if let Some(watch) = self.lease_observers.get_mut(&lease_name) {
                    watch.place = Some(0);
                }
                self.next_query_at = now;
            }
        }
        match self
            .held_leases
            .get(&lease_name)
            .filter(|hold| hold.left(now) > 0.0)
        {
            Some(hold) => Reply::Holds {
                term: Some(hold.term),
                good_for: hold.left(now),
            },
            None => Reply::Holds {
                term: None,
                good_for: 0.0,
            },
        }
    }

    fn begin_inspection(
        &mut self,
        call: CallId,
        asked: BTreeMap<Name, Address>,
        wish: Option<(Name, Address)>,
        out: &mut Vec<Output>,
    ) {
        let until = self.now + WITHIN;
        let inspection = Inspection {
            asked: asked.clone(),
            found: BTreeMap::new(),
            until,
            wish,
        };
        self.inspections.insert(call, inspection);
        for (of, to) in asked {
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

    pub(super) fn inspection_answered(
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

    /// Answers the orders whose voters have been looked at.
    pub(super) fn finish_inspections(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let over = |i: &Inspection| i.found.len() >= i.asked.len() || now >= i.until;
        let ended: Vec<CallId> = self
            .inspections
            .iter()
            .filter(|(_, i)| over(i))
            .map(|(call, _)| *call)
            .collect();
        for call in ended {
            let Some(inspection) = self.inspections.remove(&call) else {
                continue;
            };
            let reply = match &inspection.wish {
                None => Reply::Status(Box::new(self.status(&inspection))),
                Some((name, address)) => {
                    let voter_id = inspection
                        .found
                        .get(name)
                        .and_then(|seen| seen.as_ref()?.voter_id);
                    let Some(voter_id) = voter_id else {
                        let why = format!("{} does not answer as a voter at {}", name.0, address.0);
                        out.push(Output::Answer {
                            call,
                            answer: Answer::Reply(Reply::Refused(why)),
                        });
                        continue;
                    };
                    let voter_record = VoterRecord {
                        voter_id,
                        address: address.clone(),
                    };
                    self.submit_command(
                        call,
                        Command::AddVoter {
                            name: name.clone(),
                            voter_record,
                        },
                    );
                    self.advance(out);
                    continue;
                }
            };
            out.push(Output::Answer {
                call,
                answer: Answer::Reply(reply),
            });
        }
    }

    /// What this dispatcher can tell of the fleet.
    fn status(&self, inspection: &Inspection) -> Status {
        let newest = self.newest();
        let view = self.known_voter_set();
        let voter_records = view.map(Voters::all).unwrap_or_default();
        let line = |(name, address): (&Name, &Address)| {
            let seen = match *name == self.settings.me {
                true => Some(self.voter_state()),
                false => inspection.found.get(name).cloned().flatten(),
            };
            let voter_id = voter_records
                .get(name)
                .map(|voter_record| voter_record.voter_id);
            let (answers, voted) = (
                seen.is_some(),
                seen.as_ref().and_then(|s| s.newest.as_ref()),
            );
            let version = voted.map_or(0, |(_, value)| value.version);
            let votes = seen
                .as_ref()
                .is_some_and(|s| s.votes && s.voter_id == voter_id && voter_id.is_some());
            VoterLine {
                name: name.clone(),
                address: address.clone(),
                answers,
                votes,
                version,
            }
        };
        let voters: Vec<VoterLine> = match voter_records.is_empty() {
            false => voter_records
                .iter()
                .map(|(name, voter_record)| line((name, &voter_record.address)))
                .collect(),
            true => self.settings.voters.iter().map(line).collect(),
        };
        let answered =
            |name: &Name, _: &VoterRecord| voters.iter().any(|v| v.name == *name && v.votes);
        let lease_name = |(lease_name, row): (&LeaseName, &super::super::state::LeaseRecord)| {
            (lease_name.clone(), row.term, row.holder.clone())
        };
        let least = self.settings.heartbeat;
        let roll = self.membership.as_ref();
        let member =
            |(name, member): (&Name, &crate::coordination::membership::Member)| MemberLine {
                name: name.clone(),
                zone: member.heartbeat.zone.clone(),
                label: member.heartbeat.label.clone(),
                member_status: roll.map_or(MemberStatus::Dead, |roll| {
                    roll.member_status(self.now, member, least)
                }),
                ready: member.heartbeat.ready,
                up: member.heartbeat.up + self.now - member.last_heartbeat_at,
                age: self.now - member.last_heartbeat_at,
            };
        Status {
            by: Some(self.settings.me.clone()),
            majority: view.is_some_and(|view| view.majority(answered)),
            generation: view.map_or(0, |view| view.generation),
            changing: view.is_some_and(|view| view.before.is_some()),
            version: newest.map_or(0, |value| value.version),
            voters,
            leases: newest
                .iter()
                .flat_map(|value| value.leases.iter())
                .map(lease_name)
                .collect(),
            roll_for: roll.map(|roll| self.now - roll.since),
            roll: roll
                .iter()
                .flat_map(|roll| roll.members())
                .map(member)
                .collect(),
            caller: self
                .membership_leader
                .as_ref()
                .filter(|(_, h)| h.incarnation != self.settings.incarnation)
                .map(|(_, h)| h.address.clone()),
            disruptions: self.rollout_status(),
        }
    }

    pub(super) fn submit_command(&mut self, call: CallId, change: Command) {
        let until = self.now + WITHIN;
        self.pending_commands.push(PendingCommand {
            call,
            command: change,
            until,
        });
    }

    pub(super) fn command_done(
        &mut self,
        call: CallId,
        done: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
        out: &mut Vec<Output>,
    ) {
        let Some(at) = self.pending_commands.iter().position(|w| w.call == call) else {
            return;
        };
        let wish = self.pending_commands.remove(at);
        let (name, what) = match &wish.command {
            Command::AddVoter { name, .. } => (name.0.clone(), "votes from now on"),
            Command::RemoveVoter { name } => (name.0.clone(), "votes no more"),
            Command::OperatorCommand(word) => {
                let answer = Answer::Reply(self.operator_command_done(word, done, value));
                out.push(Output::Answer { call, answer });
                return;
            }
            _ => return,
        };
        let reply = match done {
            Ok(()) => Reply::Done(format!("{name} {what}")),
            Err(CommandError::VoterChangeInProgress) => {
                Reply::Refused("another change of voters is under way".to_owned())
            }
            Err(CommandError::AlreadySo) => {
                Reply::Refused(format!("{name} {what} already, or is none"))
            }
            Err(CommandError::TooFew) => {
                Reply::Refused("fewer than 3 voters would be left: add one first".to_owned())
            }
            Err(CommandError::TooMany) => {
                Reply::Refused("7 voters are the most: remove one first".to_owned())
            }
            Err(_) => Reply::Refused("nothing was changed".to_owned()),
        };
        out.push(Output::Answer {
            call,
            answer: Answer::Reply(reply),
        });
    }

    pub(super) fn expire_commands(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let late: Vec<CallId> = self
            .pending_commands
            .iter()
            .filter(|w| w.until <= now)
            .map(|w| w.call)
            .collect();
        for call in late {
            self.pending_commands.retain(|w| w.call != call);
            let why = "no majority of the voters answers; it may still have been done: look again"
                .to_owned();
            out.push(Output::Answer {
                call,
                answer: Answer::Reply(Reply::Refused(why)),
            });
        }
    }
}
