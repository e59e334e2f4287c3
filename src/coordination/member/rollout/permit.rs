//! This process gets a permit, and drains.

use super::super::*;
use crate::coordination::rollout_controller::PermitNotice;

/// Permits that are remembered as revoked.
const MAX_REVOKED: usize = 1024;

impl Member {
    /// Whether this process has begun to drain on a permit; if not, it will not.
    ///
    /// Guards against a notice that arrives after the leader took the permit for revoked, which would show as a unit that
    /// drains without a permit: a revoked permit is remembered and its notice ignored.
    pub(in super::super) fn revoke_unless_begun(
        &mut self,
        permit: PermitId,
        incarnation: Incarnation,
    ) -> bool {
        // Another process had it: that one is gone.
        let is_other_process = incarnation != self.settings.incarnation;
        if is_other_process || self.disruptions.begun == Some(permit) {
            return true;
        }
        self.disruptions.revoked.insert(permit);
        while self.disruptions.revoked.len() > MAX_REVOKED {
            self.disruptions.revoked.pop_first();
        }
        false
    }

    /// A fenced command was executed here.
    pub(in super::super) fn command_executed(
        &mut self,
        command: &FencedCommand,
        out: &mut Vec<Output>,
    ) {
        if command.lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            if let Some(notice) = PermitNotice::read(&command.body) {
                self.permit_notified(&notice, out);
            }
        }
    }

    pub(super) fn permit_notified(&mut self, notice: &PermitNotice, out: &mut Vec<Output>) {
        let is_mine = notice.unit_kind == UnitKind::Dispatchers
            && notice.unit == self.settings.me
            && notice.incarnation == self.settings.incarnation;
        if !is_mine || self.disruptions.revoked.contains(&notice.permit) {
            return self.count("turns not ours");
        }
        if self.disruptions.begun.is_none() && !self.stopping {
            self.disruptions.begun = Some(notice.permit);
            self.count("turns begun");
            self.drain();
            out.push(Output::PermitGranted {
                permit: notice.permit,
                label: notice.label.clone(),
            });
        }
    }

    /// Drains from now on, and says so in a heartbeat at once.
    pub(super) fn drain(&mut self) {
        self.stopping = true;
        self.next_heartbeat_at = self.now;
    }
}
