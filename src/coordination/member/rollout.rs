//! Turns and releases: what the caller of the roll does about them, what a member does that is told of its turn, and
//! the halt, which any dispatcher may give.

use super::*;
use crate::coordination::disruption_budget::{
    observed_zone_sizes, DisruptionBudget, OutcomeCounts, ServiceStatus, UnavailableCount, Unit,
    UnitCounts, UnitKind, ZoneSizes,
};
use crate::coordination::fault_injection::{is_injected, InjectedFault};
use crate::coordination::fencing::FencingDecision;
use crate::coordination::membership::MemberStatus;
use crate::coordination::rollout::{
    DisruptionPermit, DisruptionState, OperatorCommand, PermitId, Rollout, RolloutPlan, RolloutStep,
};
use crate::coordination::rollout_controller::{
    notice_address, permit_stage, planned_waves, ControllerInputs, FleetView,
    PermitNotice as TurnTold, PermitRequest, PermitStage, RolloutController,
};
use crate::coordination::state::CommandError;
use std::collections::BTreeSet;

/// The fleet is looked at so often in a beat, while there is something to look after.
const LOOKS: f64 = 2.0;
/// With nothing to look after the fleet is counted once in so many leases.
const COUNTED: f64 = 1.0;
/// The roll is whole once it has been called for so many beats: whoever is there was heard, and whoever is silent
/// is known to be.
const WHOLE_AFTER: f64 = 12.0;
/// A turn that was told and does not show is told again after so many beats.
const TOLD_AGAIN: f64 = 4.0;
/// A member that wants its turn asks again within this.
const WANTS_FOR: Ms = 2_000.0;
/// Those that may wait for a turn at once, and turns remembered as taken back.
const MOST_WANTS: usize = 1024;
const MOST_REVOKED: usize = 1024;
/// Reports of engines in one beat.
pub const MAX_REPORTS: usize = 8;

/// What the holder knows of turns' acts at one receiver.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct TurnActs {
    known: ReceiverClock,
    out: bool,
    /// An act that was not answered may still come there before this.
    pub(super) unsure_until: Ms,
}

/// A halt that is agreed on and not acknowledged yet: who may still begin is asked, or waited for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Halting {
    since: Ms,
    /// Turns as given at the halt: what their members said, whether they have begun.
    said: BTreeMap<PermitId, (Name, Option<bool>)>,
    next: Ms,
}

/// All of one dispatcher's part in turns and releases.
#[derive(Clone, Debug, Default)]
pub(super) struct Releasing {
    pub(super) tally: OutcomeCounts,
    reports: Vec<EngineReport>,
    /// Engines as its own list has them.
    engines: Vec<Unit>,
    conduct: Option<RolloutController>,
    next_look: Ms,
    step: Option<RolloutStep>,
    tell: Vec<PermitId>,
    revoke: Vec<PermitId>,
    pub(super) acts: BTreeMap<Address, TurnActs>,
    /// When a turn may be told again, and asked back again.
    tells: BTreeMap<PermitId, Ms>,
    revokes: BTreeMap<PermitId, Ms>,
    wants: BTreeMap<Name, (String, Ms)>,
    halting: Option<Halting>,
    /// This process has its turn, and turns that it will not begin.
    begun: Option<PermitId>,
    revoked: BTreeSet<PermitId>,
    /// For planted faults: a halt that nobody else knows, turns that are not agreed on.
    alone: bool,
    unagreed: Vec<DisruptionPermit>,
}

impl Member {
    /// The roll-call, as a duty.
    fn membership_lease() -> LeaseName {
        LeaseName::from(MEMBERSHIP_LEASE)
    }

    pub(super) fn local_health(&mut self, local_health: LocalHealth) {
        let LocalHealth {
            ready,
            load,
            tally,
            reports,
        } = local_health;
        (self.ready, self.load, self.disruptions.tally) = (ready, load, tally);
        // What a lost beat tells is lost: reports are thin evidence anyway, and come again.
        self.disruptions.reports.extend(reports);
        let many = self
            .disruptions
            .reports
            .len()
            .saturating_sub(4 * MAX_REPORTS);
        self.disruptions.reports.drain(..many);
    }

    pub(super) fn engines(&mut self, engines: Vec<Unit>) {
        self.disruptions.engines = engines;
    }

    /// The next few reports, for a beat.
    pub(super) fn next_reports(&mut self) -> Vec<EngineReport> {
        let n = self.disruptions.reports.len().min(MAX_REPORTS);
        self.disruptions.reports.drain(..n).collect()
    }

    /// Whether the list of engines is of use here: it is not handed in for nothing.
    pub fn wants_engines(&self) -> bool {
        self.holds.contains_key(&Self::membership_lease())
    }

    /// What is agreed on, as this dispatcher last knew it for certain.
    fn agreed_care(&self) -> Option<&DisruptionState> {
        self.agreed.as_ref().map(|value| &*value.disruptions)
    }

    /// Whether anything that was seen, agreed on or not, keeps turns from being told.
    fn may_be_halted(&self) -> bool {
        let newest = self
            .newest()
            .is_some_and(|value| value.disruptions.halted.is_some());
        newest
            || self.disruptions.alone
            || self
                .agreed_care()
                .is_none_or(|disruptions| disruptions.halted.is_some())
    }

    fn view_of_fleet(&self) -> FleetView {
        let Some(roll) = &self.roll else {
            return FleetView::default();
        };
        let (now, least) = (self.now, self.settings.heartbeat);
        let dispatcher = |(name, member): (&Name, &crate::coordination::membership::Member)| Unit {
            name: name.clone(),
            incarnation: member.heartbeat.who.incarnation,
            address: member.heartbeat.who.address.clone(),
            zone: member.heartbeat.zone.clone(),
            cell: String::new(),
            kind: String::new(),
            role: None,
            label: member.heartbeat.label.clone(),
            status: match roll.member_status(now, member, least) {
                MemberStatus::Suspected | MemberStatus::Dead => ServiceStatus::OutOfService,
                _ if member.heartbeat.stopping => ServiceStatus::Draining,
                _ if !member.heartbeat.ready => ServiceStatus::Starting,
                _ => ServiceStatus::InService,
            },
            utilization: None,
            outcomes: member.heartbeat.tally,
        };
        let engine = |unit: &Unit| {
            let heard = roll.engine(&unit.name);
            let used = heard
                .and_then(|h| h.used)
                .map(|(used, at)| (used, now - at));
            let fresher = match (unit.utilization, used) {
                (Some(own), Some(told)) => Some(if told.1 < own.1 { told } else { own }),
                (own, told) => own.or(told),
            };
            Unit {
                utilization: fresher,
                outcomes: heard.map(|h| h.tally).unwrap_or_default(),
                ..unit.clone()
            }
        };
        FleetView {
            dispatchers: roll.members().map(dispatcher).collect(),
            engines: self.disruptions.engines.iter().map(engine).collect(),
            complete: now - roll.since >= WHOLE_AFTER * roll.heartbeat_interval(least),
        }
    }

    fn voters_now(&self) -> BTreeSet<Name> {
        self.view()
            .map(|view| view.all().into_keys().collect())
            .unwrap_or_default()
    }

    /// Looks at the fleet if this dispatcher calls the roll and there is something to look after.
    pub(super) fn look_after(&mut self) {
        let holds = self
            .holds
            .get(&Self::membership_lease())
            .is_some_and(|hold| hold.left(self.now) > 0.0);
        if !holds {
            self.disruptions.conduct = None;
            (
                self.disruptions.step,
                self.disruptions.tell,
                self.disruptions.revoke,
            ) = (None, Vec::new(), Vec::new());
            return;
        }
        let now = self.now;
        self.disruptions.wants.retain(|_, (_, until)| now < *until);
        let Some(disruptions) = self.agreed.as_ref().map(|value| value.disruptions.clone()) else {
            return;
        };
        if now < self.disruptions.next_look || self.disruptions.step.is_some() {
            return;
        }
        // With nothing to look after the fleet is only counted, now and then.
        let idle = !disruptions.is_active() && self.disruptions.wants.is_empty();
        self.disruptions.next_look = now
            + if idle {
                COUNTED * self.settings.lease.lease
            } else {
                self.look_every()
            };
        let (view, voters, me) = (
            self.view_of_fleet(),
            self.voters_now(),
            self.settings.me.clone(),
        );
        let wants: Vec<PermitRequest> = (self.disruptions.wants.iter())
            .map(|(name, (label, _))| PermitRequest {
                name: name.clone(),
                label: label.clone(),
            })
            .collect();
        let conduct = self
            .disruptions
            .conduct
            .get_or_insert_with(|| RolloutController::new(&disruptions));
        let own = &self.settings.bounds.0;
        let step = conduct.next_step(&ControllerInputs {
            now,
            disruptions: &disruptions,
            view: &view,
            me: &me,
            voters: &voters,
            requests: &wants,
            request_budget: own,
        });
        let (tell, revoke) = (
            std::mem::take(&mut conduct.to_notify),
            std::mem::take(&mut conduct.to_revoke),
        );
        // What an operator halted here is not known to the others, with the fault that is planted.
        self.disruptions.step = step.filter(|_| !self.disruptions.alone);
        (self.disruptions.tell, self.disruptions.revoke) = (tell, revoke);
        if let (true, Some(RolloutStep::Grant(permits))) = (
            is_injected(InjectedFault::ToldBeforeAgreed),
            &self.disruptions.step,
        ) {
            self.disruptions.unagreed = permits.clone();
        }
    }

    fn look_every(&self) -> Ms {
        (self.settings.heartbeat / LOOKS).clamp(10.0, 250.0)
    }

    /// When there is something to look at or to tell.
    pub(super) fn care_wants_at(&self) -> Option<Ms> {
        let holds = self.holds.contains_key(&Self::membership_lease());
        let look = holds.then(|| match self.disruptions.step {
            Some(_) => self.now + self.look_every(),
            None => self.disruptions.next_look,
        });
        let halting = self
            .disruptions
            .halting
            .as_ref()
            .filter(|h| h.open())
            .map(|h| h.next);
        look.into_iter().chain(halting).min_by(f64::total_cmp)
    }

    /// The step that the caller of the roll wants agreed on.
    pub(super) fn wanted_step(&self) -> Option<(Purpose, Command)> {
        let lease_name = Self::membership_lease();
        let hold = self
            .holds
            .get(&lease_name)
            .filter(|hold| hold.left(self.now) > 0.0)?;
        let step = self.disruptions.step.clone()?;
        let (term, who) = (hold.term, self.me());
        Some((
            Purpose::RolloutStep,
            Command::RolloutStep {
                lease_name,
                term,
                who,
                step,
            },
        ))
    }

    pub(super) fn step_tried(&mut self, agreed: bool) {
        self.disruptions.step = None;
        self.disruptions.next_look = if agreed {
            self.now
        } else {
            self.now + self.settings.lease.gap()
        };
    }

    /// Tells members of their turns, and asks back what is to be taken back. Acts of the roll-call, in its term.
    pub(super) fn tell_turns(&mut self, out: &mut Vec<Output>) {
        let Some(hold) = self
            .holds
            .get(&Self::membership_lease())
            .copied()
            .filter(|h| h.left(self.now) > 0.0)
        else {
            return;
        };
        if is_injected(InjectedFault::ToldBeforeAgreed) {
            for permit in std::mem::take(&mut self.disruptions.unagreed) {
                self.tell_turn(PermitId(u64::MAX), &permit, hold, out);
            }
        }
        let Some(disruptions) = self.agreed_care().cloned() else {
            return;
        };
        if !self.may_be_halted() {
            for number in self.disruptions.tell.clone() {
                // Only what is agreed on is told, and only while nothing is known against it.
                let unbegun = self
                    .disruptions
                    .conduct
                    .as_ref()
                    .is_some_and(|c| c.is_revoked(number));
                if let Some(permit) = disruptions.permits.get(&number).filter(|_| !unbegun) {
                    self.tell_turn(number, permit, hold, out);
                }
            }
        }
        for number in self.disruptions.revoke.clone() {
            let next = self
                .disruptions
                .revokes
                .get(&number)
                .copied()
                .unwrap_or(f64::NEG_INFINITY);
            if let Some(permit) = disruptions
                .permits
                .get(&number)
                .filter(|_| self.now >= next)
            {
                self.disruptions
                    .revokes
                    .insert(number, self.now + self.settings.heartbeat);
                self.ask_back(number, permit, Errand::Revoke { permit: number }, out);
            }
        }
        self.disruptions
            .revokes
            .retain(|number, _| disruptions.permits.contains_key(number));
        self.disruptions
            .tells
            .retain(|number, _| disruptions.permits.contains_key(number));
    }

    fn tell_turn(
        &mut self,
        number: PermitId,
        permit: &DisruptionPermit,
        hold: HeldLease,
        out: &mut Vec<Output>,
    ) {
        let told = TurnTold::new(number, permit);
        if permit.unit_kind == UnitKind::Dispatchers && permit.unit == self.settings.me {
            // Its own turn: the roll-call goes to another first.
            return self.told_turn(&told, out);
        }
        let Some(to) = notice_address(permit, self.settings.keeper.as_ref()).cloned() else {
            return;
        };
        let next = self
            .disruptions
            .tells
            .get(&number)
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let acts = self.disruptions.acts.entry(to.clone()).or_default();
        // One act at a time to each: a keeper is told of many, one after another.
        if acts.out || self.now < next {
            return;
        }
        let (receiver_timestamp, good_for) = acts.known.good_for(hold.until);
        (acts.out, acts.unsure_until) = (true, hold.until);
        // That it was obeyed is seen in a beat or in the list, some time after.
        self.disruptions
            .tells
            .insert(number, self.now + TOLD_AGAIN * self.settings.heartbeat);
        self.acts += 1;
        let (term, holder, act) = (hold.term, self.me(), self.acts);
        let body = told.write();
        let act = FencedCommand {
            lease_name: Self::membership_lease(),
            term,
            holder,
            number: act,
            receiver_timestamp,
            good_for,
            body,
        };
        self.count("turns told");
        self.ask(
            to.clone(),
            Question::FencedCommand(act),
            Errand::TurnAct { to, permit: number },
            out,
        );
    }

    pub(super) fn turn_told(
        &mut self,
        to: &Address,
        permit: PermitId,
        answer: Option<(FencingDecision, ReceiverTimestamp)>,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let Some(acts) = self.disruptions.acts.get_mut(to) else {
            return;
        };
        acts.out = false;
        let Some((verdict, receiver_timestamp)) = answer else {
            return;
        };
        acts.known.answered(now, receiver_timestamp);
        acts.unsure_until = f64::NEG_INFINITY;
        if verdict == FencingDecision::TimestampMissing {
            self.disruptions.tells.remove(&permit);
        }
        // The next one for the same receiver, or the same with a ticket.
        self.tell_turns(out);
    }

    fn ask_back(
        &mut self,
        number: PermitId,
        permit: &DisruptionPermit,
        errand: Errand,
        out: &mut Vec<Output>,
    ) {
        let mine = permit.unit_kind == UnitKind::Dispatchers && permit.unit == self.settings.me;
        if mine {
            let begun = self.asked_back(number, permit.incarnation);
            return self.answered(errand, Some(Answer::Begun { begun }), out);
        }
        if let Some(to) = notice_address(permit, self.settings.keeper.as_ref()).cloned() {
            let (of, who, incarnation) =
                (permit.unit_kind, permit.unit.clone(), permit.incarnation);
            self.ask(
                to,
                Question::AskBack {
                    permit: number,
                    of,
                    who,
                    incarnation,
                },
                errand,
                out,
            );
        }
    }

    /// Whether a turn of this process has begun; it will not, if it has not.
    pub(super) fn asked_back(&mut self, permit: PermitId, incarnation: Incarnation) -> bool {
        if incarnation != self.settings.incarnation || self.disruptions.begun == Some(permit) {
            // Another process had it: that one is gone.
            return true;
        }
        self.disruptions.revoked.insert(permit);
        while self.disruptions.revoked.len() > MOST_REVOKED {
            self.disruptions.revoked.pop_first();
        }
        false
    }

    /// An act that was obeyed here.
    pub(super) fn obeyed(&mut self, act: &FencedCommand, out: &mut Vec<Output>) {
        if act.lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            if let Some(told) = TurnTold::read(&act.body) {
                self.told_turn(&told, out);
            }
        }
    }

    fn told_turn(&mut self, told: &TurnTold, out: &mut Vec<Output>) {
        let mine = told.unit_kind == UnitKind::Dispatchers
            && told.unit == self.settings.me
            && told.incarnation == self.settings.incarnation;
        if !mine || self.disruptions.revoked.contains(&told.permit) {
            return self.count("turns not ours");
        }
        if self.disruptions.begun.is_none() && !self.stopping {
            self.disruptions.begun = Some(told.permit);
            self.count("turns begun");
            self.leave_service(out);
            let (permit, label) = (told.permit, told.label.clone());
            out.push(Output::PermitGranted { permit, label });
        }
    }

    /// Drains from now on, and says so at once.
    pub(super) fn leave_service(&mut self, _: &mut [Output]) {
        self.stopping = true;
        self.next_beat = self.now;
    }

    pub(super) fn asked_back_said(&mut self, errand: &Errand, begun: Option<bool>) {
        match (errand, begun) {
            (Errand::Revoke { permit }, Some(begun)) => {
                if let Some(conduct) = &mut self.disruptions.conduct {
                    conduct.record_revocation_reply(*permit, begun);
                    self.disruptions.next_look = self.now;
                }
            }
            (Errand::HaltAsk { permit }, Some(begun)) => {
                if let Some((_, said)) = self
                    .disruptions
                    .halting
                    .as_mut()
                    .and_then(|h| h.said.get_mut(permit))
                {
                    *said = Some(begun);
                }
            }
            _ => {}
        }
    }

    /// A halt that this dispatcher gave is agreed on.
    fn halt_agreed(&mut self, value: &ReplicatedState) {
        let said = value
            .disruptions
            .permits
            .iter()
            .map(|(number, permit)| (*number, (permit.unit.clone(), None)));
        self.disruptions.halting = Some(Halting {
            since: self.now,
            said: said.collect(),
            next: self.now,
        });
    }

    /// Asks those that may still begin, until all have said or no act can be obeyed any more.
    pub(super) fn care_for_halt(&mut self, out: &mut Vec<Output>) {
        let Some(halting) = &mut self.disruptions.halting else {
            return;
        };
        if !halting.open() || self.now < halting.next {
            return;
        }
        halting.next = self.now + self.settings.answer_within;
        let open: Vec<PermitId> = halting
            .said
            .iter()
            .filter(|(_, s)| s.1.is_none())
            .map(|(n, _)| *n)
            .collect();
        let permits = self
            .agreed_care()
            .map(|disruptions| disruptions.permits.clone())
            .unwrap_or_default();
        for number in open {
            if let Some(permit) = permits.get(&number) {
                self.ask_back(number, permit, Errand::HaltAsk { permit: number }, out);
            }
        }
    }

    /// Whether no turn can begin any more: all have said, or whoever told them holds the roll-call no more, or knows.
    fn halt_stands(&self, halting: &Halting) -> Result<String, String> {
        let lease = self
            .settings
            .lease
            .waited_for(self.settings.lease.lease_ms());
        let left = halting.since + lease - self.now;
        if halting.open() && left > 0.0 {
            let open = halting.said.values().filter(|s| s.1.is_none()).count();
            return Err(format!(
                "halted; {open} turns may still begin, for {left:.0} ms at most"
            ));
        }
        let names = |which: Option<bool>| {
            let of = halting
                .said
                .values()
                .filter(|s| s.1 == which)
                .map(|s| s.0 .0.to_string());
            of.collect::<Vec<_>>().join(", ")
        };
        let mut words = "halted: no turn begins from now on".to_owned();
        let kinds = [
            (Some(true), "begun before"),
            (Some(false), "taken back"),
            (None, "not reached, may have begun before"),
        ];
        for (which, what) in kinds {
            let names = names(which);
            if !names.is_empty() {
                words += &format!("; {what}: {names}");
            }
        }
        Ok(words)
    }

    fn not_the_caller(&self) -> Option<Reply> {
        if self.holds.contains_key(&Self::membership_lease()) {
            return None;
        }
        Some(
            match self
                .caller
                .as_ref()
                .filter(|(_, h)| h.incarnation != self.settings.incarnation)
            {
                Some((_, holder)) => Reply::Elsewhere(holder.address.clone()),
                None => {
                    Reply::Refused("nobody calls the roll now: try again in a moment".to_owned())
                }
            },
        )
    }

    /// What an operator orders of turns and releases. None: it is answered once voters have been asked.
    pub(super) fn order_release(&mut self, call: CallId, order: RolloutRequest) -> Option<Reply> {
        if let RolloutRequest::Halt { reason: why } = order {
            return self.order_halt(call, why);
        }
        if let Some(reply) = self.not_the_caller() {
            return Some(reply);
        }
        let roll = self.roll.as_ref().map(|roll| roll.since);
        let every = self
            .roll
            .as_ref()
            .map_or(0.0, |roll| roll.heartbeat_interval(self.settings.heartbeat));
        let young = roll.is_none_or(|since| self.now - since < WHOLE_AFTER * every);
        let view = self.view_of_fleet();
        let sizes_of = |of: UnitKind| observed_zone_sizes(view.units(of).iter());
        let word = match order {
            RolloutRequest::Halt { .. } => return None,
            RolloutRequest::Permit {
                name,
                label,
                cancel: refused,
            } => return Some(self.order_turn(name, label, refused, young)),
            RolloutRequest::End => OperatorCommand::End,
            _ if young => {
                let why =
                    "the roll is not whole yet, a holder has just begun: try again in a moment";
                return Some(Reply::Refused(why.to_owned()));
            }
            RolloutRequest::Start {
                plan,
                skip_missing: skip,
                dry_run: dry,
            } => {
                let bounds = if plan.unit_kind == UnitKind::Engines {
                    self.settings.bounds.1
                } else {
                    self.settings.bounds.0
                };
                let mut sizes = sizes_of(plan.unit_kind);
                let known = self
                    .agreed_care()
                    .map(|disruptions| disruptions.zone_sizes(plan.unit_kind).clone())
                    .unwrap_or_default();
                for (zone, size) in known {
                    let seen = sizes.entry(zone).or_default();
                    *seen = (*seen).max(size);
                }
                let units = view.units(plan.unit_kind);
                if let Err(why) = self.fits(&plan, &bounds, units, &sizes, skip) {
                    return Some(Reply::Refused(why));
                }
                if dry {
                    return Some(Reply::Done(told_waves(&plan, &bounds, units, &sizes)));
                }
                let release = Rollout {
                    plan: *plan,
                    budget: bounds,
                    started_by: self.settings.me.clone(),
                    rolling_back: false,
                    finished: false,
                    wave: 0,
                    granted_in_wave: 0,
                    zone_progress: BTreeMap::new(),
                    regrant: BTreeSet::new(),
                    abandoned: BTreeMap::new(),
                    completed: 0,
                };
                OperatorCommand::Start(Box::new(release))
            }
            RolloutRequest::Resume => OperatorCommand::Resume,
            RolloutRequest::RollBack => OperatorCommand::RollBack,
            RolloutRequest::Recount { unit_kind: of } => OperatorCommand::Recount(of, sizes_of(of)),
        };
        self.wish(call, Command::OperatorCommand(word));
        None
    }

    fn order_halt(&mut self, call: CallId, why: String) -> Option<Reply> {
        if is_injected(InjectedFault::HaltByHolderAlone)
            && self.holds.contains_key(&Self::membership_lease())
        {
            self.disruptions.alone = true;
            return Some(Reply::Done("halted".to_owned()));
        }
        match &self.disruptions.halting {
            Some(halting) => Some(match self.halt_stands(halting) {
                Ok(words) => {
                    // Whoever halts again later asks again.
                    self.disruptions.halting = None;
                    Reply::Done(words)
                }
                Err(words) => Reply::Pending(words),
            }),
            None => {
                self.wish(call, Command::OperatorCommand(OperatorCommand::Halt(why)));
                None
            }
        }
    }

    fn order_turn(&mut self, name: Name, label: String, refused: bool, young: bool) -> Reply {
        let permit = self
            .agreed_care()
            .and_then(|disruptions| disruptions.permit_for(UnitKind::Dispatchers, &name));
        if let Some((number, permit)) = permit {
            let view = self.view_of_fleet();
            let unit = view.dispatchers.iter().find(|u| u.name == name);
            return match permit_stage(permit, unit) {
                PermitStage::Granted => {
                    Reply::Pending(format!("turn {} is given and being told", number.0))
                }
                _ => Reply::Done(format!(
                    "turn {}: {} drains and ends",
                    number.0, permit.unit.0
                )),
            };
        }
        if refused {
            self.disruptions.wants.remove(&name);
            return Reply::Done(format!("{} waits no more", name.0));
        }
        if self
            .roll
            .as_ref()
            .is_none_or(|roll| roll.address(&name).is_none())
        {
            return match young {
                true => Reply::Pending("the roll is not whole yet".to_owned()),
                false => Reply::Refused(format!("the roll-call knows no {}", name.0)),
            };
        }
        if self.disruptions.wants.len() >= MOST_WANTS {
            return Reply::Refused("too many wait for a turn".to_owned());
        }
        self.disruptions
            .wants
            .insert(name, (label, self.now + WANTS_FOR));
        let why = self
            .disruptions
            .conduct
            .as_ref()
            .and_then(|c| c.blocked_reason.clone());
        Reply::Pending(why.unwrap_or_else(|| "waiting".to_owned()))
    }

    /// Whether a plan can be carried out, here and now.
    fn fits(
        &self,
        plan: &RolloutPlan,
        bounds: &DisruptionBudget,
        units: &[Unit],
        sizes: &ZoneSizes,
        skip: bool,
    ) -> Result<(), String> {
        let there = |name: &&Name| units.iter().any(|u| u.name == **name);
        let missing: Vec<&str> = plan
            .names
            .iter()
            .filter(|n| !there(n))
            .map(|n| &*n.0)
            .collect();
        if !missing.is_empty() && !skip {
            let what = if plan.unit_kind == UnitKind::Engines {
                "the list"
            } else {
                "the roll-call"
            };
            return Err(format!(
                "{what} has no {}; nothing was changed",
                missing.join(", ")
            ));
        }
        if !units.iter().any(|u| plan.selects(u)) {
            return Err("the plan means nobody who is there".to_owned());
        }
        if plan.unit_kind == UnitKind::Engines && self.settings.keeper.is_none() {
            return Err(
                "the settings of the fleet have no 'keeper' to list hosts as draining".to_owned(),
            );
        }
        let counts = UnitCounts::new(units.iter(), sizes, bounds, |_| false);
        match counts.impossible_reason(units, bounds, |unit| plan.selects(unit)) {
            Some(why) => Err(why),
            None => Ok(()),
        }
    }

    /// What came of an operator's word.
    pub(super) fn word_said(
        &mut self,
        word: &OperatorCommand,
        done: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
    ) -> Reply {
        let done = done.map(|()| match word {
            OperatorCommand::Start(release) => format!("release {} begins", release.plan.name),
            OperatorCommand::Halt(_) => {
                if let Some(value) = value {
                    self.halt_agreed(value);
                }
                String::new()
            }
            OperatorCommand::Resume => "it goes on".to_owned(),
            OperatorCommand::RollBack => "it goes back".to_owned(),
            OperatorCommand::End => "it is ended as it stands".to_owned(),
            OperatorCommand::Recount(of, sizes) => {
                format!("{} {of} are counted", sizes.values().sum::<u32>())
            }
            OperatorCommand::Note(_) => "noted".to_owned(),
        });
        self.disruptions.next_look = self.now;
        match (word, done) {
            (OperatorCommand::Halt(_), Ok(_)) => {
                Reply::Pending("halted; asking those whose turn may still begin".to_owned())
            }
            (_, Ok(words)) => Reply::Done(words),
            (OperatorCommand::Start(_), Err(CommandError::Busy)) => {
                Reply::Refused("another release is not done: 'release status' shows it".to_owned())
            }
            (OperatorCommand::Start(_), Err(CommandError::Stopped)) => {
                Reply::Refused("halted: 'resume' first, or 'release end'".to_owned())
            }
            (OperatorCommand::Resume, Err(_)) => {
                Reply::Refused("nothing is halted: there is nothing to go on with".to_owned())
            }
            (OperatorCommand::RollBack, Err(_)) => {
                Reply::Refused("there is nothing to go back on".to_owned())
            }
            (OperatorCommand::End, Err(_)) => Reply::Refused("no release is under way".to_owned()),
            (_, Err(why)) => Reply::Refused(format!("nothing was changed ({why:?})")),
        }
    }

    /// An operator stops a member by hand, without agreement. Whoever passes the order on has it noted once the fleet
    /// agrees again; the member itself ends.
    pub(super) fn order_by_hand(
        &mut self,
        call: CallId,
        who: Name,
        address: Option<Address>,
        why: String,
        out: &mut Vec<Output>,
    ) -> Option<Reply> {
        if who == self.settings.me {
            out.push(Output::Warn(format!(
                "stopped by hand, without agreement: {why}"
            )));
            self.count("stopped by hand");
            self.leave_service(out);
            out.push(Output::PermitGranted {
                permit: PermitId(0),
                label: String::new(),
            });
            return Some(Reply::Done(format!("{} drains and ends", who.0)));
        }
        let known = self
            .roll
            .as_ref()
            .and_then(|roll| roll.address(&who))
            .cloned();
        let Some(to) = address
            .or(known)
            .or(self.settings.voters.get(&who).cloned())
        else {
            return Some(Reply::Refused(format!(
                "nobody here knows where {} is: name its address",
                who.0
            )));
        };
        let note = format!("{} was stopped by hand, without agreement: {why}", who.0);
        out.push(Output::Warn(note.clone()));
        let order = OperatorRequest::ByHand {
            who,
            address: None,
            why,
        };
        self.ask(
            to,
            Question::Operator(order),
            Errand::ByHand { call, note },
            out,
        );
        None
    }

    /// The member that was to be stopped by hand answered.
    pub(super) fn stopped_by_hand(
        &mut self,
        call: CallId,
        note: String,
        reply: Option<Reply>,
        out: &mut Vec<Output>,
    ) {
        let reply = match reply {
            Some(Reply::Done(words)) => {
                self.asks += 1;
                // Nobody waits for this: a number that no call has.
                let call = CallId(u64::MAX - self.asks);
                self.wishes.push(Wish {
                    call,
                    change: Command::OperatorCommand(OperatorCommand::Note(note)),
                    until: f64::INFINITY,
                });
                Reply::Done(format!("{words}; noted once the fleet agrees"))
            }
            Some(Reply::Refused(why)) => Reply::Refused(why),
            _ => Reply::Refused("it does not answer".to_owned()),
        };
        out.push(Output::Answer {
            call,
            answer: Answer::Reply(reply),
        });
    }

    /// The release as operators see it.
    pub(super) fn care_status(&self) -> RolloutStatus {
        let Some(disruptions) = self
            .agreed_care()
            .or(self.newest().map(|value| &*value.disruptions))
        else {
            return RolloutStatus::default();
        };
        let view = self.view_of_fleet();
        let conduct = self.disruptions.conduct.as_ref();
        let line = |(number, permit): (&PermitId, &DisruptionPermit)| {
            let unit = view
                .units(permit.unit_kind)
                .iter()
                .find(|u| u.name == permit.unit);
            let at = match permit_stage(permit, unit) {
                _ if self.roll.is_none() => "given",
                PermitStage::Granted => "given",
                PermitStage::Draining => "out",
                PermitStage::Starting => "starting",
                PermitStage::Returned => "back",
                PermitStage::WrongVersion => "back under another label",
            };
            PermitStatus {
                permit: *number,
                unit: permit.unit.clone(),
                zone: permit.zone.clone(),
                stage: at.to_owned(),
            }
        };
        let release = disruptions.rollout.as_deref();
        let why = conduct.and_then(|c| c.blocked_reason.clone());
        let state = match release {
            None => "none",
            Some(r) if r.finished => "done",
            Some(_) if disruptions.halted.is_some() => "halted",
            Some(r) if r.rolling_back => "going back",
            Some(r) if r.completed == 0 && disruptions.permits.is_empty() => "waiting",
            Some(_) if why.is_some() && disruptions.permits.is_empty() => "held",
            Some(_) => "running",
        };
        let of = release.map_or(UnitKind::Dispatchers, |r| r.plan.unit_kind);
        let bounds = release.map_or(&self.settings.bounds.0, |r| &r.budget);
        let meant = |u: &&Unit| release.is_some_and(|r| r.plan.selects(u));
        RolloutStatus {
            name: release.map(|r| r.plan.name.clone()).unwrap_or_default(),
            unit_kind: of,
            state: state.to_owned(),
            halted: disruptions.halted.clone().unwrap_or_default(),
            blocked_reason: why.unwrap_or_default(),
            wave: release.map_or(0, |r| r.wave + 1),
            granted_in_wave: release.map_or(0, |r| r.granted_in_wave),
            wave_size: release.map_or(0, |r| {
                if r.rolling_back {
                    0
                } else {
                    r.plan.wave_size(r.wave)
                }
            }),
            completed: release.map_or(0, |r| r.completed),
            selected: view.units(of).iter().filter(meant).count() as u32,
            permits: disruptions.permits.iter().map(line).collect(),
            unavailable: conduct
                .map(|c| c.unavailable_counts(disruptions, &view, of, bounds))
                .unwrap_or_default(),
            abandoned: release
                .iter()
                .flat_map(|r| r.abandoned.clone())
                .map(|(unit, reason)| AbandonedUnit { unit, reason })
                .collect(),
            notes: disruptions.notes.clone(),
        }
    }
}

impl Halting {
    /// Whether a turn may still begin of which nobody has said.
    fn open(&self) -> bool {
        self.said.values().any(|(_, said)| said.is_none())
    }
}

fn told_waves(
    plan: &RolloutPlan,
    bounds: &DisruptionBudget,
    units: &[Unit],
    sizes: &ZoneSizes,
) -> String {
    let waves = planned_waves(plan, bounds, units, sizes);
    let mut out = format!(
        "release {} of {}, as they are now:\n",
        plan.name, plan.unit_kind
    );
    for (at, wave) in waves.iter().enumerate() {
        let names: Vec<&str> = wave.iter().map(|n| &*n.0).collect();
        out += &format!("  wave {}: {} ({})\n", at + 1, names.len(), names.join(" "));
    }
    let counts = UnitCounts::new(units.iter(), sizes, bounds, |_| false);
    for UnavailableCount {
        zone,
        unavailable,
        limit,
    } in counts.unavailable_counts(bounds)
    {
        let place = if zone.is_empty() {
            "the fleet".to_owned()
        } else {
            format!("zone {zone}")
        };
        out += &format!("  {place}: {unavailable} out now, {limit} may be\n");
    }
    if let Some(binds) = units
        .iter()
        .filter(|u| plan.selects(u))
        .find_map(|u| counts.check_disruption(u, bounds).err())
    {
        out += &format!("  now binds: {binds}\n");
    }
    out
}
