//! Builds the status of the fleet from what this dispatcher knows.

use super::super::*;
use super::api::{MemberSummary, Status, VoterStatus};
use super::voter_query::VoterQuery;
use crate::coordination::membership;
use crate::coordination::state::{VoterId, VoterRecord};

impl Member {
    /// Builds the status after the voters have been queried.
    pub(super) fn status(&self, voter_query: &VoterQuery) -> Status {
        let newest = self.newest();
        let voter_set = self.known_voter_set();
        let voters = self.voter_statuses(voter_query);
        let answered = |name: &Name, _: &VoterRecord| {
            voters
                .iter()
                .any(|voter| voter.name == *name && voter.is_voting)
        };
        let majority = voter_set.is_some_and(|voter_set| voter_set.has_quorum(answered));
        let leases = newest.iter().flat_map(|value| value.leases.iter());
        let membership = self.membership.as_ref();
        Status {
            reported_by: Some(self.settings.own_name.clone()),
            majority,
            generation: voter_set.map_or(0, |voter_set| voter_set.generation),
            changing: voter_set.is_some_and(|voter_set| voter_set.former.is_some()),
            version: newest.map_or(0, |value| value.version),
            voters,
            leases: leases
                .map(|(name, lease)| (name.clone(), lease.term, lease.holder.clone()))
                .collect(),
            leading_for: membership.map(|membership| self.now - membership.leading_since),
            members: self.member_summaries(),
            leader: self.other_leader(),
            disruptions: self.rollout_status(),
        }
    }

    /// The status of each voter that the fleet agreed on, or of each voter in the settings if no voter set is known.
    fn voter_statuses(&self, voter_query: &VoterQuery) -> Vec<VoterStatus> {
        let records = self.known_voter_set().map(Voters::all).unwrap_or_default();
        if records.is_empty() {
            let voters = self.settings.voters.iter();
            return voters
                .map(|(name, address)| self.voter_status(name, address, None, voter_query))
                .collect();
        }
        let voter_status = |(name, record): (&Name, &VoterRecord)| {
            self.voter_status(name, &record.address, Some(record.voter_id), voter_query)
        };
        records.iter().map(voter_status).collect()
    }

    /// The status of one voter. `voter_id` is the identity under which the fleet agreed on the voter. A voter with
    /// another identity does not vote.
    fn voter_status(
        &self,
        name: &Name,
        address: &Address,
        voter_id: Option<VoterId>,
        voter_query: &VoterQuery,
    ) -> VoterStatus {
        let state = match *name == self.settings.own_name {
            true => Some(self.voter_state()),
            false => voter_query.states.get(name).cloned().flatten(),
        };
        let newest = state.as_ref().and_then(|state| state.newest.as_ref());
        let is_agreed = |state: &VoterState| voter_id.is_some() && state.voter_id == voter_id;
        VoterStatus {
            name: name.clone(),
            address: address.clone(),
            is_responding: state.is_some(),
            is_voting: state
                .as_ref()
                .is_some_and(|state| state.is_voting && is_agreed(state)),
            version: newest.map_or(0, |(_, value)| value.version),
        }
    }

    /// The status of each member. Empty unless this dispatcher is the membership leader.
    fn member_summaries(&self) -> Vec<MemberSummary> {
        let Some(membership) = &self.membership else {
            return Vec::new();
        };
        let member_summary = |(name, member): (&Name, &membership::Member)| MemberSummary {
            name: name.clone(),
            zone: member.heartbeat.zone.clone(),
            label: member.heartbeat.label.clone(),
            member_status: membership.member_status(self.now, member, self.settings.heartbeat),
            ready: member.heartbeat.ready,
            uptime: member.heartbeat.uptime + self.now - member.last_heartbeat_at,
            last_heartbeat_age: self.now - member.last_heartbeat_at,
        };
        membership.members().map(member_summary).collect()
    }

    /// The address of the membership leader, if that is another process.
    fn other_leader(&self) -> Option<Address> {
        let (_, holder) = self.membership_leader.as_ref()?;
        let is_other = holder.incarnation != self.settings.incarnation;
        is_other.then(|| holder.address.clone())
    }
}
