//! Handles operators' requests about rollouts and dispatchers' requests for permits.

use super::super::*;
use super::plan_check::PlanCheck;
use crate::coordination::disruption_budget::{observed_zone_sizes, ZoneSizes};
use crate::coordination::rollout::{OperatorCommand, Rollout, RolloutPlan};
use crate::coordination::rollout_controller::{permit_stage, FleetView, PermitStage};
use crate::coordination::state::CommandError;
use std::collections::BTreeSet;

/// How long a dispatcher's request for a permit stays valid, in milliseconds. A waiting dispatcher repeats its request
/// within this time.
const REQUEST_TTL_MS: Ms = 2_000.0;
/// The maximum number of dispatchers that wait for a permit at once.
const MAX_PERMIT_REQUESTS: usize = 1024;

impl Member {
    /// Handles a request about rollouts or permits. Returns none if the reply has to wait until the voters have agreed
    /// on a command.
    pub(in super::super) fn handle_rollout_request(
        &mut self,
        call: CallId,
        request: RolloutRequest,
    ) -> Option<Reply> {
        let command = match request {
            RolloutRequest::Halt { reason } => return self.handle_halt(call, reason),
            RolloutRequest::Permit {
                name,
                label,
                cancel,
            } => match self.check_leader() {
                Ok(()) => return Some(self.handle_permit_request(name, label, cancel)),
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
                .and_then(|()| self.build_start_command(*plan, skip_missing, dry_run)),
        };
        match command {
            Ok(command) => {
                self.submit_command(call, Command::OperatorCommand(command));
                None
            }
            Err(reply) => Some(reply),
        }
    }

    /// Checks that this dispatcher is the membership leader. Otherwise the error is the reply to the request, which
    /// carries the leader's address if the leader is known.
    fn check_leader(&self) -> Result<(), Reply> {
        if self.held_leases.contains_key(&membership_lease()) {
            return Ok(());
        }
        let other_leader = self
            .membership_leader
            .as_ref()
            .filter(|(_, holder)| holder.incarnation != self.settings.incarnation);
        Err(match other_leader {
            Some((_, holder)) => Reply::Redirect(holder.address.clone()),
            None => Reply::Refused(
                "no membership leader calls the roll now: try again in a moment".to_owned(),
            ),
        })
    }

    /// Checks that this dispatcher is the membership leader and has a complete view of the fleet.
    ///
    /// A new leader has not seen all units yet. Without this check the leader would treat unseen units as missing and
    /// leave them out of a plan or a count. The leader therefore refuses until every live unit has had time to send a
    /// heartbeat.
    fn check_view(&self) -> Result<(), Reply> {
        self.check_leader()?;
        if self.is_view_complete() {
            return Ok(());
        }
        let reason = "the membership leader is new and has not heard from all dispatchers yet: try again in a moment";
        Err(Reply::Refused(reason.to_owned()))
    }

    fn recount_command(&self, unit_kind: UnitKind) -> OperatorCommand {
        let view = self.fleet_view();
        let sizes = observed_zone_sizes(view.units(unit_kind).iter());
        OperatorCommand::Recount(unit_kind, sizes)
    }

    /// Builds the command that starts a rollout. If no rollout is to start, the error is the reply: the result of a dry
    /// run, or the refusal of a plan that cannot be carried out.
    fn build_start_command(
        &self,
        plan: RolloutPlan,
        skip_missing: bool,
        dry_run: bool,
    ) -> Result<OperatorCommand, Reply> {
        let budget = match plan.unit_kind {
            UnitKind::Engines => self.settings.disruption_budgets.1,
            UnitKind::Dispatchers => self.settings.disruption_budgets.0,
        };
        let view = self.fleet_view();
        let check = PlanCheck {
            plan: &plan,
            budget: &budget,
            units: view.units(plan.unit_kind),
            sizes: &self.largest_sizes(&view, plan.unit_kind),
        };
        check
            .check(skip_missing, self.settings.drain_list_address.is_some())
            .map_err(|error| Reply::Refused(error.to_string()))?;
        if dry_run {
            return Err(Reply::Done(check.describe_dry_run()));
        }
        Ok(OperatorCommand::Start(Box::new(Rollout {
            plan,
            budget,
            started_by: self.settings.own_name.clone(),
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

    /// The larger of the agreed and the observed number of units in each zone.
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

    /// Stores, renews or cancels a dispatcher's own request for a permit outside of a rollout.
    fn handle_permit_request(&mut self, name: Name, label: String, cancel: bool) -> Reply {
        if let Some(reply) = self.granted_reply(&name) {
            return reply;
        }
        if cancel {
            self.disruptions.permit_requests.remove(&name);
            return Reply::Done(format!("the permit request of {} is withdrawn", name.0));
        }
        let address = self
            .membership
            .as_ref()
            .and_then(|membership| membership.address(&name));
        if address.is_none() {
            return match self.is_view_complete() {
                false => Reply::Pending(
                    "the membership leader has not heard from all dispatchers yet".to_owned(),
                ),
                true => Reply::Refused(format!(
                    "the membership leader does not know dispatcher {}",
                    name.0
                )),
            };
        }
        if self.disruptions.permit_requests.len() >= MAX_PERMIT_REQUESTS {
            return Reply::Refused(format!(
                "{MAX_PERMIT_REQUESTS} dispatchers are waiting for permits already"
            ));
        }
        let expires_at = self.now + REQUEST_TTL_MS;
        self.disruptions
            .permit_requests
            .insert(name, (label, expires_at));
        let controller = self.disruptions.controller.as_ref();
        let reason = controller.and_then(|controller| controller.blocked_reason.clone());
        Reply::Pending(reason.unwrap_or_else(|| "the permit request is queued".to_owned()))
    }

    /// The reply to a dispatcher that already has a permit. None if the dispatcher has no permit.
    fn granted_reply(&self, name: &Name) -> Option<Reply> {
        let disruptions = self.agreed_disruptions()?;
        let (id, permit) = disruptions.permit_for(UnitKind::Dispatchers, name)?;
        let view = self.fleet_view();
        let unit = view.dispatchers.iter().find(|unit| unit.name == *name);
        Some(match permit_stage(permit, unit) {
            PermitStage::Granted => Reply::Pending(format!(
                "permit {} is granted, and {} has not begun to drain yet",
                id.0, permit.unit.0
            )),
            _ => Reply::Done(format!(
                "permit {}: {} drains and then stops",
                id.0, permit.unit.0
            )),
        })
    }

    /// Returns the reply to an operator's command after the voters have agreed on the command or rejected it. After an
    /// agreed halt, each unit with a permit is asked whether it has begun to drain. A unit that has not begun must not
    /// begin any more.
    pub(in super::super) fn operator_command_done(
        &mut self,
        command: &OperatorCommand,
        result: Result<(), CommandError>,
        value: Option<&ReplicatedState>,
    ) -> Reply {
        let is_halt = matches!(command, OperatorCommand::Halt(_));
        if let (true, Ok(()), Some(value)) = (is_halt, &result, value) {
            self.begin_halt_confirmation(value);
        }
        self.disruptions.next_evaluation_at = self.now;
        match result {
            Ok(()) => agreed_command_reply(command),
            Err(error) => rejected_command_reply(command, error),
        }
    }
}

fn agreed_command_reply(command: &OperatorCommand) -> Reply {
    Reply::Done(match command {
        OperatorCommand::Start(rollout) => format!("release {} has started", rollout.plan.name),
        OperatorCommand::Halt(_) => {
            let text = "halted; waiting for each unit with a permit to reply whether it has begun to drain";
            return Reply::Pending(text.to_owned());
        }
        OperatorCommand::Resume => "the halt has ended; permits are granted again".to_owned(),
        OperatorCommand::RollBack => "the rollback has started".to_owned(),
        OperatorCommand::End => {
            "the release has ended; the remaining units are not updated".to_owned()
        }
        OperatorCommand::Recount(unit_kind, sizes) => {
            let size = sizes.values().sum::<u32>();
            format!("the fleet's size is now recorded as {size} {unit_kind}")
        }
        OperatorCommand::Note(_) => "the note is stored".to_owned(),
    })
}

fn rejected_command_reply(command: &OperatorCommand, error: CommandError) -> Reply {
    let text = match (command, error) {
        (OperatorCommand::Start(_), CommandError::RolloutInProgress) => {
            "another release is not done: see 'release status'"
        }
        (OperatorCommand::Start(_), CommandError::Stopped) => {
            "permits are halted: run 'resume' or 'release end' first"
        }
        (OperatorCommand::Resume, _) => "permits are not halted: there is no halt to end",
        (OperatorCommand::RollBack, _) => "there is no release that can be rolled back",
        (OperatorCommand::End, _) => "no release is in progress",
        (_, error) => return Reply::Refused(format!("nothing was changed: {error}")),
    };
    Reply::Refused(text.to_owned())
}
