//! Operators' requests, which any dispatcher accepts: the status of the fleet, handovers of leases, changes of the
//! voters, leases for operators' own jobs, and rollouts.

mod api;
mod handling;
mod leases;
mod status;
mod voter_changes;
mod voter_query;

pub use api::{
    AbandonedUnit, MemberSummary, OperatorRequest, PermitStatus, Reply, RolloutRequest,
    RolloutStatus, Status, VoterStatus, MAX_NAME_BYTES,
};
pub(super) use voter_query::VoterQuery;
