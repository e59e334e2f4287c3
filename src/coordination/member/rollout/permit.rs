//! Handles notices and revocations of this process's own permit, and begins to drain. A process remembers each revoked
//! permit and ignores a later notice of that permit.

use super::super::*;
use crate::coordination::rollout_controller::PermitNotice;

/// The maximum number of revoked permits that a process remembers so that it can ignore their notices. The oldest
/// permits are forgotten first.
const MAX_REVOKED_PERMITS: usize = 1024;

impl Member {
    /// Returns whether this process has begun to drain on a permit. If not, revokes the permit, so that a later notice
    /// of the permit is ignored.
    ///
    /// Without the revocation, a notice that arrives after the leader has recorded the revocation would make the
    /// process drain without a permit.
    pub(in super::super) fn revoke_unless_begun(
        &mut self,
        permit: PermitId,
        incarnation: Incarnation,
    ) -> bool {
        // A different incarnation shows that the process with the permit has already ended.
        let is_other_process = incarnation != self.settings.incarnation;
        if is_other_process || self.disruptions.begun_permit == Some(permit) {
            return true;
        }
        self.disruptions.revoked_permits.insert(permit);
        while self.disruptions.revoked_permits.len() > MAX_REVOKED_PERMITS {
            self.disruptions.revoked_permits.pop_first();
        }
        false
    }

    /// Handles a fenced command that this process has accepted. Acts on notices of permits and ignores other commands.
    pub(in super::super) fn command_executed(
        &mut self,
        command: &FencedCommand,
        out: &mut Vec<Output>,
    ) {
        if command.lease_name.0.as_ref() == MEMBERSHIP_LEASE {
            if let Some(notice) = PermitNotice::read(&command.body) {
                self.handle_permit_notice(&notice, out);
            }
        }
    }

    /// Begins to drain if the notice names this process and its permit is not revoked.
    pub(super) fn handle_permit_notice(&mut self, notice: &PermitNotice, out: &mut Vec<Output>) {
        let is_for_this_process = notice.unit_kind == UnitKind::Dispatchers
            && notice.unit == self.settings.own_name
            && notice.incarnation == self.settings.incarnation;
        if !is_for_this_process || self.disruptions.revoked_permits.contains(&notice.permit) {
            return self.count("turns not ours");
        }
        if self.disruptions.begun_permit.is_none() && !self.stopping {
            self.disruptions.begun_permit = Some(notice.permit);
            self.count("turns begun");
            self.drain();
            out.push(Output::PermitGranted {
                permit: notice.permit,
                label: notice.label.clone(),
            });
        }
    }

    /// Begins to drain, and sends a heartbeat at once so that the membership leader learns of the drain.
    pub(super) fn drain(&mut self) {
        self.stopping = true;
        self.next_heartbeat_at = self.now;
    }
}
