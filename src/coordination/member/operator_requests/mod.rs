//! Operators' requests, which any dispatcher accepts: the status of the fleet, handovers of leases, changes of the
//! voters, leases for operators' own jobs, and rollouts.

mod api;
mod handling;
mod inspection;
mod leases;
mod status;
mod voter_changes;

pub use api::{
    AbandonedUnit, MemberLine, OperatorRequest, PermitStatus, Reply, RolloutRequest, RolloutStatus,
    Status, VoterLine, LONGEST_NAME,
};
pub(super) use inspection::Inspection;
