//! Rollouts of software as the fleet agrees on them: which units may be out of service, and the rollout that grants
//! it to them.
//!
//! [`DisruptionState`] is a part of the replicated state. It changes by [`RolloutStep`]s of the membership leader, which
//! name its term and count only while it holds the lease by this very state, and by [`OperatorCommand`]s, which may
//! come from any dispatcher.

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
