//! Operators' requests about rollouts.

use super::super::*;
use super::plan_check::PlanCheck;
use crate::coordination::disruption_budget::{observed_zone_sizes, ZoneSizes};
use crate::coordination::rollout::{OperatorCommand, Rollout, RolloutPlan};
use crate::coordination::rollout_controller::{permit_stage, FleetView, PermitStage};
use crate::coordination::state::CommandError;
use std::collections::BTreeSet;

/// A dispatcher that waits for a permit asks again within this, in milliseconds.
const REQUEST_TTL_MS: Ms = 2_000.0;
/// Dispatchers that may wait for a permit at once.
const MAX_REQUESTS: usize = 1024;

impl Member {
    /// Takes an operator's request. None: it is answered once the voters agreed.
    pub(in super::super) fn rollout_request(
        &mut self,
        call: CallId,
        request: RolloutRequest,
    ) -> Option<Reply> {
        let command = match request {
            RolloutRequest::Halt { reason } => return self.request_halt(call, reason),
            RolloutRequest::Permit {
                name,
                label,
                cancel,
            } => match self.check_leader() {
                Ok(()) => return Some(self.request_permit(name, label, cancel)),
                Err(reply) => Err(reply),
            },
            RolloutRequest::End => self.check_leader().map(|()| OperatorCommand::End),
            RolloutRequest::Resume => self.check_view().map(|()| OperatorCommand::Resume),
            RolloutRequest::RollBack => self.check_view().map(|()| OperatorCommand::RollBack),
            RolloutRequest::Recount { unit_kind } => {
                self.check_view().map(|()| self.recount_command(unit_kind))
            }
            RolloutRequest::Start {
                plan,
                skip_missing,
                dry_run,
            } => self
                .check_view()
                .and_then(|()| self.start_command(*plan, skip_missing, dry_run)),
        };
        match command {
            Ok(command) => {
                self.submit_command(call, Command::OperatorCommand(command));
                None
            }
            Err(reply) => Some(reply),
        }
    }

    /// Whether this dispatcher is the membership leader; else the reply says where to ask instead.
    fn check_leader(&self) -> Result<(), Reply> {
        if self.held_leases.contains_key(&Self::membership_lease()) {
            return Ok(());
        }
        let other = self
            .membership_leader
            .as_ref()
            .filter(|(_, holder)| holder.incarnation != self.settings.incarnation);
        Err(match other {
            Some((_, holder)) => Reply::Elsewhere(holder.address.clone()),
            None => Reply::Refused("nobody calls the roll now: try again in a moment".to_owned()),
        })
    }

    /// Whether this dispatcher is the membership leader with a complete view.
    ///
    /// Guards against a new leader that takes units it has not seen yet for missing, which would show as a plan or a
    /// count without them: it refuses until every unit that is there has had the time to send a heartbeat.
    fn check_view(&self) -> Result<(), Reply> {
        self.check_leader()?;
        if self.is_view_complete() {
            return Ok(());
        }
        let why = "the roll is not whole yet, a holder has just begun: try again in a moment";
        Err(Reply::Refused(why.to_owned()))
    }

    fn recount_command(&self, unit_kind: UnitKind) -> OperatorCommand {
        let view = self.fleet_view();
        let sizes = observed_zone_sizes(view.units(unit_kind).iter());
        OperatorCommand::Recount(unit_kind, sizes)
    }

    /// The command of a plan that can be carried out; else the reply, also that of a dry run.
    fn start_command(
        &self,
        plan: RolloutPlan,
        skip_missing: bool,
        dry_run: bool,
    ) -> Result<OperatorCommand, Reply> {
        let budget = match plan.unit_kind {
            UnitKind::Engines => self.settings.bounds.1,
            UnitKind::Dispatchers => self.settings.bounds.0,
        };
        let view = self.fleet_view();
        let check = PlanCheck {
            plan: &plan,
            budget: &budget,
            units: view.units(plan.unit_kind),
            sizes: &self.largest_sizes(&view, plan.unit_kind),
        };
        check
            .check(skip_missing, self.settings.keeper.is_some())
            .map_err(|error| Reply::Refused(error.to_string()))?;
        if dry_run {
            return Err(Reply::Done(check.describe()));
        }
        Ok(OperatorCommand::Start(Box::new(Rollout {
            plan,
            budget,
            started_by: self.settings.me.clone(),
            rolling_back: false,
            finished: false,
            wave: 0,
            granted_in_wave: 0,
            zone_progress: BTreeMap::new(),
            regrant: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            completed: 0,
        })))
    }

    /// The sizes of the zones, as agreed or as seen: the larger ones.
    fn largest_sizes(&self, view: &FleetView, unit_kind: UnitKind) -> ZoneSizes {
        let mut sizes = observed_zone_sizes(view.units(unit_kind).iter());
        let agreed = self
            .agreed_disruptions()
            .map(|disruptions| disruptions.zone_sizes(unit_kind).clone())
            .unwrap_or_default();
        for (zone, size) in agreed {
            let seen = sizes.entry(zone).or_default();
            *seen = (*seen).max(size);
        }
        sizes
    }

    /// A dispatcher asks for a permit, or asks again, or waits no more.
    fn request_permit(&mut self, name: Name, label: String, cancel: bool) -> Reply {
        if let Some(reply) = self.granted_reply(&name) {
            return reply;
        }
        if cancel {
            self.disruptions.requests.remove(&name);
            return Reply::Done(format!("{} waits no more", name.0));
        }
        let address = self
            .membership
            .as_ref()
            .and_then(|roll| roll.address(&name));
        if address.is_none() {
            return match self.is_view_complete() {
                false => Reply::Pending("the roll is not whole yet".to_owned()),
                true => Reply::Refused(format!("the roll-call knows no {}", name.0)),
            };
        }
        if self.disruptions.requests.len() >= MAX_REQUESTS {
            return Reply::Refused("too many wait for a turn".to_owned());
        }
        let until = self.now + REQUEST_TTL_MS;
        self.disruptions.requests.insert(name, (label, until));
        let controller = self.disruptions.controller.as_ref();
        let reason = controller.and_then(|c| c.blocked_reason.clone());
        Reply::Pending(reason.unwrap_or_else(|| "waiting".to_owned()))
    }

    fn granted_reply(&self, name: &Name) -> Option<Reply> {
        let disruptions = self.agreed_disruptions()?;
        let (id, permit) = disruptions.permit_for(UnitKind::Dispatchers, name)?;
        let view = self.fleet_view();
        let unit = view.dispatchers.iter().find(|u| u.name == *name);
        Some(match permit_stage(permit, unit) {
            PermitStage::Granted => {
                Reply::Pending(format!("turn {} is given and being told", id.0))
            }
            _ => Reply::Done(format!("turn {}: {} drains and ends", id.0, permit.unit.0)),
        })
    }

    /// The reply to an operator once the voters agreed on its command, or did not.
    pub(in super::super) fn operator_command_done(
        &mut self,
        command: &OperatorCommand,
        done: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
    ) -> Reply {
        let is_halt = matches!(command, OperatorCommand::Halt(_));
        if let (true, Ok(()), Some(value)) = (is_halt, &done, value) {
            self.halt_agreed(value);
        }
        self.disruptions.next_look = self.now;
        match done {
            Ok(()) => agreed_reply(command),
            Err(error) => refused_reply(command, error),
        }
    }
}

fn agreed_reply(command: &OperatorCommand) -> Reply {
    Reply::Done(match command {
        OperatorCommand::Start(rollout) => format!("release {} begins", rollout.plan.name),
        OperatorCommand::Halt(_) => {
            let text = "halted; asking those whose turn may still begin";
            return Reply::Pending(text.to_owned());
        }
        OperatorCommand::Resume => "it goes on".to_owned(),
        OperatorCommand::RollBack => "it goes back".to_owned(),
        OperatorCommand::End => "it is ended as it stands".to_owned(),
        OperatorCommand::Recount(unit_kind, sizes) => {
            format!("{} {unit_kind} are counted", sizes.values().sum::<u32>())
        }
        OperatorCommand::Note(_) => "noted".to_owned(),
    })
}

fn refused_reply(command: &OperatorCommand, error: CommandError) -> Reply {
    let text = match (command, error) {
        (OperatorCommand::Start(_), CommandError::Busy) => {
            "another release is not done: 'release status' shows it"
        }
        (OperatorCommand::Start(_), CommandError::Stopped) => {
            "halted: 'resume' first, or 'release end'"
        }
        (OperatorCommand::Resume, _) => "nothing is halted: there is nothing to go on with",
        (OperatorCommand::RollBack, _) => "there is nothing to go back on",
        (OperatorCommand::End, _) => "no release is under way",
        (_, error) => return Reply::Refused(format!("nothing was changed ({error:?})")),
    };
    Reply::Refused(text.to_owned())
}
