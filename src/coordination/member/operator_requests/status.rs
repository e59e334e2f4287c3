//! What this dispatcher knows of the fleet.

use super::super::*;
use super::api::{MemberLine, Status, VoterLine};
use super::inspection::Inspection;
use crate::coordination::membership;
use crate::coordination::state::{VoterId, VoterRecord};

impl Member {
    pub(super) fn status(&self, inspection: &Inspection) -> Status {
        let newest = self.newest();
        let view = self.known_voter_set();
        let voters = self.voter_lines(inspection);
        let answered =
            |name: &Name, _: &VoterRecord| voters.iter().any(|v| v.name == *name && v.votes);
        let majority = view.is_some_and(|view| view.majority(answered));
        let leases = newest.iter().flat_map(|value| value.leases.iter());
        let membership = self.membership.as_ref();
        Status {
            reported_by: Some(self.settings.me.clone()),
            majority,
            generation: view.map_or(0, |view| view.generation),
            changing: view.is_some_and(|view| view.before.is_some()),
            version: newest.map_or(0, |value| value.version),
            voters,
            leases: leases
                .map(|(name, lease)| (name.clone(), lease.term, lease.holder.clone()))
                .collect(),
            leading_for: membership.map(|m| self.now - m.since),
            members: self.member_lines(),
            leader: self.other_leader(),
            disruptions: self.rollout_status(),
        }
    }

    /// The voters as agreed, else those of the settings.
    fn voter_lines(&self, inspection: &Inspection) -> Vec<VoterLine> {
        let records = self.known_voter_set().map(Voters::all).unwrap_or_default();
        if records.is_empty() {
            let voters = self.settings.voters.iter();
            return voters
                .map(|(name, address)| self.voter_line(name, address, None, inspection))
                .collect();
        }
        let line = |(name, record): (&Name, &VoterRecord)| {
            self.voter_line(name, &record.address, Some(record.voter_id), inspection)
        };
        records.iter().map(line).collect()
    }

    fn voter_line(
        &self,
        name: &Name,
        address: &Address,
        voter_id: Option<VoterId>,
        inspection: &Inspection,
    ) -> VoterLine {
        let seen = match *name == self.settings.me {
            true => Some(self.voter_state()),
            false => inspection.found.get(name).cloned().flatten(),
        };
        let newest = seen.as_ref().and_then(|seen| seen.newest.as_ref());
        let is_agreed = |seen: &VoterState| voter_id.is_some() && seen.voter_id == voter_id;
        VoterLine {
            name: name.clone(),
            address: address.clone(),
            answers: seen.is_some(),
            votes: seen.as_ref().is_some_and(|s| s.votes && is_agreed(s)),
            version: newest.map_or(0, |(_, value)| value.version),
        }
    }

    fn member_lines(&self) -> Vec<MemberLine> {
        let Some(membership) = &self.membership else {
            return Vec::new();
        };
        let line = |(name, member): (&Name, &membership::Member)| MemberLine {
            name: name.clone(),
            zone: member.heartbeat.zone.clone(),
            label: member.heartbeat.label.clone(),
            member_status: membership.member_status(self.now, member, self.settings.heartbeat),
            ready: member.heartbeat.ready,
            uptime: member.heartbeat.up + self.now - member.last_heartbeat_at,
            heard_ago: self.now - member.last_heartbeat_at,
        };
        membership.members().map(line).collect()
    }

    fn other_leader(&self) -> Option<Address> {
        let (_, holder) = self.membership_leader.as_ref()?;
        let is_other = holder.incarnation != self.settings.incarnation;
        is_other.then(|| holder.address.clone())
    }
}
