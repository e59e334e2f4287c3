//! The smallest release for the explorer: three members, room for one, two that may call the roll, a halt at every point.
//! What the voters agree on is one step here, as their ballots are explored by themselves ([`super::small`]); an act is
//! under way for as long as it likes, but not beyond the lease that it was sent in.

use crate::explore::Model;
use cindercleat::coordination::disruption_budget::{
    DisruptionBudget, MaxUnavailable, OutcomeCounts, ServiceStatus, Unit, UnitKind,
};
use cindercleat::coordination::fault_injection::{is_injected, InjectedFault};
use cindercleat::coordination::rollout::{
    DisruptionState, OperatorCommand, PermitId, Rollout, RolloutPlan, RolloutStep,
};
use cindercleat::coordination::rollout_controller::{
    ControllerInputs, FleetView, RolloutController,
};
use cindercleat::coordination::{Address, Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SmallRelease {
    pub failures: u32,
    pub losses: u32,
    pub successions: u32,
    pub halts: u32,
    pub resumes: u32,
    /// The release goes back once.
    pub back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Process {
    Serves,
    /// It drains or is gone, by this turn or by itself.
    Out(Option<PermitId>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    incarnation: u64,
    new: bool,
    process: Process,
    asked_back: BTreeSet<PermitId>,
}

/// One that calls the roll, or did.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MultiplexedConnection {
    knows: DisruptionState,
    term: u64,
    /// Its lease goes on.
    acts: bool,
    unbegun: BTreeSet<PermitId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Halt {
    None,
    /// Agreed on; these may still begin.
    Agreed(BTreeSet<PermitId>),
    Acknowledged,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    value: DisruptionState,
    term: u64,
    callers: [MultiplexedConnection; 2],
    /// Under way: by whom, of which turn, to whom, and which process of it is meant.
    acts: BTreeSet<(usize, PermitId, usize, u64)>,
    members: Vec<Member>,
    halt: Halt,
    failures: u32,
    losses: u32,
    successions: u32,
    halts: u32,
    resumes: u32,
    back: bool,
    wrong: Option<String>,
}

fn name(at: usize) -> Name {
    Name::from(["a", "b", "c"][at])
}

fn bounds() -> DisruptionBudget {
    DisruptionBudget {
        fleet: MaxUnavailable {
            count: 1,
            per_mille: 1000,
        },
        ..DisruptionBudget::default()
    }
}

impl SmallRelease {
    fn view(state: &State) -> FleetView {
        let unit = |(at, member): (usize, &Member)| Unit {
            name: name(at),
            incarnation: Incarnation(member.incarnation),
            address: Address::default(),
            zone: "z".to_owned(),
            cell: String::new(),
            kind: String::new(),
            role: None,
            label: if member.new { "v2" } else { "v1" }.to_owned(),
            status: if member.process == Process::Serves {
                ServiceStatus::InService
            } else {
                ServiceStatus::OutOfService
            },
            utilization: None,
            outcomes: OutcomeCounts::default(),
        };
        let dispatchers = state.members.iter().enumerate().map(unit).collect();
        FleetView {
            dispatchers,
            engines: Vec::new(),
            is_complete: true,
        }
    }

    /// What a caller does next, with what it knows; gives nothing where it does nothing.
    fn look(state: &State, who: usize) -> Option<(String, State)> {
        let mut after = state.clone();
        let caller = &state.callers[who];
        let mut controller = RolloutController::new(&caller.knows);
        let (nobody, view) = (BTreeSet::new(), Self::view(state));
        let me = Name::from("nobody");
        let inputs = ControllerInputs {
            now: 0.0,
            disruptions: &caller.knows,
            view: &view,
            leader_name: &me,
            voters: &nobody,
            requests: &[],
            request_budget: &bounds(),
        };
        // What it was told of turns asked back it has to know again: it is made anew at each look.
        let mut next = controller.next_step(&inputs);
        if !caller.unbegun.is_empty() {
            caller
                .unbegun
                .iter()
                .for_each(|permit| controller.record_revocation_reply(*permit, false));
            next = controller.next_step(&inputs);
        }
        if is_injected(InjectedFault::ToldBeforeAgreed) {
            if let Some(RolloutStep::Grant(permits)) = &next {
                for permit in permits {
                    let to = (0..state.members.len()).find(|at| name(*at) == permit.unit)?;
                    after.acts.insert((
                        who,
                        PermitId(caller.knows.permits_granted + 1),
                        to,
                        permit.incarnation.0,
                    ));
                }
            }
        }
        if let Some(step) = next {
            if caller.term == state.term && after.value.apply_step(&step).is_ok() {
                after.callers[who].knows = after.value.clone();
                return (after != *state).then(|| (format!("{who} {step:?}"), after));
            }
            return (after != *state).then(|| (format!("{who} tells before"), after));
        }
        if caller.knows.halted.is_none() {
            for number in &controller.to_notify {
                let permit = caller.knows.permits.get(number)?;
                let to = (0..state.members.len()).find(|at| name(*at) == permit.unit)?;
                after.acts.insert((who, *number, to, permit.incarnation.0));
            }
        }
        for number in controller.to_revoke.clone() {
            let begun = ask_back(&mut after, number, &caller.knows);
            if !begun {
                after.callers[who].unbegun.insert(number);
            }
        }
        (after != *state).then(|| (format!("{who} tells"), after))
    }

    fn turn_comes(state: &mut State, to: usize, permit: PermitId, incarnation: u64) {
        let member = &mut state.members[to];
        if member.process != Process::Serves
            || incarnation != member.incarnation
            || member.asked_back.contains(&permit)
        {
            return;
        }
        member.process = Process::Out(Some(permit));
        let out = state
            .members
            .iter()
            .filter(|m| matches!(m.process, Process::Out(Some(_))))
            .count();
        if out > 1 {
            state.wrong = Some(format!("{out} are out by their turns, and 1 may be"));
        }
        if state.halt == Halt::Acknowledged {
            state.wrong = Some(format!(
                "turn {} begins after an acknowledged halt",
                permit.0
            ));
        }
    }
}

/// A member says whether a turn has begun; if not, it will not.
fn ask_back(state: &mut State, number: PermitId, disruptions: &DisruptionState) -> bool {
    let Some(permit) = disruptions.permits.get(&number) else {
        return true;
    };
    let Some(at) = (0..state.members.len()).find(|at| name(*at) == permit.unit) else {
        return true;
    };
    let member = &mut state.members[at];
    if member.incarnation != permit.incarnation.0 || member.process == Process::Out(Some(number)) {
        return true;
    }
    member.asked_back.insert(number);
    false
}

impl Model for SmallRelease {
    type State = State;

    fn begin(&self) -> State {
        let plan = RolloutPlan {
            name: "to-v2".to_owned(),
            label: "v2".to_owned(),
            previous_label: "v1".to_owned(),
            first_wave_size: 3,
            wave_growth_per_mille: 1000,
            start_timeout_ms: u64::MAX,
            return_timeout_ms: u64::MAX,
            observe_ms: u64::MAX,
            ..RolloutPlan::default()
        };
        let release = Rollout {
            plan,
            budget: bounds(),
            started_by: name(0),
            rolling_back: false,
            finished: false,
            wave: 0,
            granted_in_wave: 0,
            zone_progress: BTreeMap::new(),
            regrant: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            completed: 0,
        };
        let mut value = DisruptionState::default();
        value.dispatcher_sizes.insert("z".to_owned(), 3);
        let _ = value.apply_command(&OperatorCommand::Start(Box::new(release)));
        let member = |at: u64| Member {
            incarnation: 10 * at,
            new: false,
            process: Process::Serves,
            asked_back: BTreeSet::new(),
        };
        let caller = |acts| MultiplexedConnection {
            knows: value.clone(),
            term: 1,
            acts,
            unbegun: BTreeSet::new(),
        };
        State {
            term: 1,
            callers: [caller(true), caller(false)],
            acts: BTreeSet::new(),
            members: (1..=3).map(member).collect(),
            halt: Halt::None,
            failures: self.failures,
            losses: self.losses,
            successions: self.successions,
            halts: self.halts,
            resumes: self.resumes,
            back: self.back,
            wrong: None,
            value,
        }
    }

    fn steps(&self, state: &State, into: &mut Vec<(String, State)>) {
        let mut add = |name: String, change: &dyn Fn(&mut State)| {
            let mut after = state.clone();
            change(&mut after);
            into.push((name, after));
        };
        for who in 0..2 {
            let caller = &state.callers[who];
            if caller.acts && caller.term == state.term && caller.knows != state.value {
                add(format!("{who} renews"), &|s| {
                    s.callers[who].knows = s.value.clone()
                });
            }
            let other = 1 - who;
            if caller.acts && caller.term == state.term && state.successions > 0 {
                // The other waited for a whole lease: nothing that this one sent is obeyed any more.
                add(format!("{other} takes over"), &|s| {
                    s.successions -= 1;
                    s.term += 1;
                    s.callers[who].acts = false;
                    s.acts.retain(|(by, ..)| *by != who);
                    let (knows, term) = (s.value.clone(), s.term);
                    s.callers[other] = MultiplexedConnection {
                        knows,
                        term,
                        acts: true,
                        unbegun: BTreeSet::new(),
                    };
                });
            }
        }
        for act in &state.acts {
            let (_, permit, to, incarnation) = *act;
            add(format!("turn {} comes to {to}", permit.0), &|s| {
                s.acts.remove(act);
                SmallRelease::turn_comes(s, to, permit, incarnation);
            });
            if state.losses > 0 {
                add(format!("turn {} is lost", permit.0), &|s| {
                    s.acts.remove(act);
                    s.losses -= 1;
                });
            }
        }
        for at in 0..state.members.len() {
            match state.members[at].process {
                Process::Out(permit) => add(format!("{at} is back"), &|s| {
                    let new = match permit {
                        // By its turn it comes back as the turn has it: forward new, back old.
                        Some(_) => !s.value.rollout.as_deref().is_some_and(|r| r.rolling_back),
                        None => s.members[at].new,
                    };
                    let member = &mut s.members[at];
                    (member.incarnation, member.new, member.process) =
                        (member.incarnation + 1, new, Process::Serves);
                    member.asked_back.clear();
                }),
                Process::Serves if state.failures > 0 => add(format!("{at} fails"), &|s| {
                    s.failures -= 1;
                    s.members[at].process = Process::Out(None);
                }),
                Process::Serves => {}
            }
        }
        if state.halts > 0 && state.halt == Halt::None && state.value.halted.is_none() {
            add("halt".to_owned(), &|s| {
                s.halts -= 1;
                if s.value
                    .apply_command(&OperatorCommand::Halt("by hand".to_owned()))
                    .is_ok()
                {
                    s.halt = Halt::Agreed(s.value.permits.keys().copied().collect());
                }
            });
        }
        if let Halt::Agreed(open) = &state.halt {
            for permit in open {
                let permit = *permit;
                add(format!("turn {} is asked back", permit.0), &|s| {
                    let disruptions = s.value.clone();
                    ask_back(s, permit, &disruptions);
                    if let Halt::Agreed(open) = &mut s.halt {
                        open.remove(&permit);
                    }
                });
            }
            if open.is_empty() {
                add("acknowledged".to_owned(), &|s| s.halt = Halt::Acknowledged);
            }
            add("a lease passes".to_owned(), &|s| {
                // Nothing that was sent before the halt is obeyed any more, and who has not heard of it has no lease.
                s.acts.clear();
                s.callers
                    .iter_mut()
                    .filter(|c| c.knows.halted.is_none())
                    .for_each(|c| c.acts = false);
                s.halt = Halt::Acknowledged;
            });
        }
        if state.halt == Halt::Acknowledged && state.resumes > 0 {
            add("resume".to_owned(), &|s| {
                s.resumes -= 1;
                if s.value.apply_command(&OperatorCommand::Resume).is_ok() {
                    s.halt = Halt::None;
                }
            });
        }
        if state.back {
            add("back".to_owned(), &|s| {
                s.back = false;
                if s.value.apply_command(&OperatorCommand::RollBack).is_ok() {
                    s.halt = Halt::None;
                }
            });
        }
        for who in 0..2 {
            if state.callers[who].acts {
                into.extend(SmallRelease::look(state, who));
            }
        }
    }

    fn wrong(&self, state: &State) -> Option<String> {
        let given = state
            .value
            .permits
            .values()
            .filter(|t| t.unit_kind == UnitKind::Dispatchers)
            .count();
        let two = (given > 1).then(|| format!("{given} turns are given, and there is room for 1"));
        state.wrong.clone().or(two)
    }
}
