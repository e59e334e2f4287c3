//! What operators ask of any dispatcher: who is there, who holds which lease, changes of voters, leases for their own
//! jobs, rollouts.

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
