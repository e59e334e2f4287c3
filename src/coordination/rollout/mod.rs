//! The replicated state of software rollouts: permits that allow units to go out of service, and the rollout under
//! which the membership leader grants permits.
//!
//! [`DisruptionState`] is a part of the fleet's replicated state. Two kinds of changes apply to it. The membership
//! leader proposes [`RolloutStep`]s with the term of its lease. A step applies only if the same replicated state names
//! that leader as the lease's holder. Any dispatcher may propose an [`OperatorCommand`].

mod commands;
mod permit;
mod plan;
mod state;
mod steps;

pub use commands::OperatorCommand;
pub use permit::{DisruptionPermit, PermitId};
pub use plan::{order_key, RolloutPlan};
pub use state::{
    DisruptionState, Rollout, RolloutError, MAX_ABANDONED, MAX_NAMES, MAX_NOTES, MAX_PERMITS,
};
pub use steps::RolloutStep;
