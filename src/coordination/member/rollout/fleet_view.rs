//! The membership leader's view of all units, built from heartbeats and the list of engines.

use super::super::*;
use crate::coordination::disruption_budget::ServiceStatus;
use crate::coordination::membership::{self, MemberStatus};
use crate::coordination::rollout_controller::FleetView;

/// The number of heartbeat intervals after which a new leader's view is complete. By then every live dispatcher has
/// sent a heartbeat, and a silent dispatcher has been detected as failed.
const VIEW_COMPLETE_AFTER_HEARTBEATS: f64 = 12.0;

impl Member {
    /// Builds the current view. Empty unless this dispatcher is the membership leader.
    pub(super) fn fleet_view(&self) -> FleetView {
        let Some(membership) = &self.membership else {
            return FleetView::default();
        };
        let dispatchers = membership.members();
        let engines = self.disruptions.engines.iter();
        FleetView {
            dispatchers: dispatchers
                .map(|(name, member)| self.dispatcher_unit(membership, name, member))
                .collect(),
            engines: engines
                .map(|unit| self.with_reports(membership, unit))
                .collect(),
            is_complete: self.is_view_complete(),
        }
    }

    /// Whether this dispatcher has led for long enough to have received a heartbeat from every live dispatcher.
    pub(super) fn is_view_complete(&self) -> bool {
        self.membership.as_ref().is_some_and(|membership| {
            let interval = membership.heartbeat_interval(self.settings.heartbeat);
            self.now - membership.leading_since >= VIEW_COMPLETE_AFTER_HEARTBEATS * interval
        })
    }

    fn dispatcher_unit(
        &self,
        membership: &Membership,
        name: &Name,
        member: &membership::Member,
    ) -> Unit {
        let heartbeat = &member.heartbeat;
        let status = match membership.member_status(self.now, member, self.settings.heartbeat) {
            MemberStatus::Suspected | MemberStatus::Dead => ServiceStatus::OutOfService,
            _ if heartbeat.stopping => ServiceStatus::Draining,
            _ if !heartbeat.ready => ServiceStatus::Starting,
            _ => ServiceStatus::InService,
        };
        Unit {
            name: name.clone(),
            incarnation: heartbeat.sender.incarnation,
            address: heartbeat.sender.address.clone(),
            zone: heartbeat.zone.clone(),
            cell: String::new(),
            kind: String::new(),
            role: None,
            label: heartbeat.label.clone(),
            status,
            utilization: None,
            outcomes: heartbeat.outcomes,
        }
    }

    /// Returns a copy of `unit`, an engine from this dispatcher's own list, with current utilization and outcomes.
    ///
    /// The utilization comes from this dispatcher's own load report or from a report in a heartbeat, whichever is
    /// newer. The outcomes are the sum over all dispatchers since this dispatcher became the membership leader.
    fn with_reports(&self, membership: &Membership, unit: &Unit) -> Unit {
        let reported = membership.engine(&unit.name);
        let reported_utilization = reported
            .and_then(|usage| usage.utilization)
            .map(|(fraction, at)| (fraction, self.now - at));
        let utilization = match (unit.utilization, reported_utilization) {
            (Some((_, own_age)), Some((_, reported_age))) if reported_age < own_age => {
                reported_utilization
            }
            (own, reported) => own.or(reported),
        };
        Unit {
            utilization,
            outcomes: reported.map(|usage| usage.outcomes).unwrap_or_default(),
            ..unit.clone()
        }
    }
}
