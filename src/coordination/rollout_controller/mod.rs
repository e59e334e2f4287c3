//! The membership leader's control loop for permits and rollouts.
//!
//! [`RolloutController::next_step`] compares the replicated state with the units that the leader sees, and returns the
//! next step to propose. The controller itself holds timers and observations only. A new leader starts with an empty
//! controller. State that must survive a change of leader is in the replicated
//! [`DisruptionState`](super::rollout::DisruptionState).

mod candidates;
mod controller;
mod dry_run;
mod granting;
mod inputs;
mod notice;
mod permit_tracker;
mod stage;
mod unit_counts;

pub use controller::RolloutController;
pub use dry_run::planned_waves;
pub use inputs::{ControllerInputs, FleetView, PermitRequest};
pub use notice::{notice_address, PermitNotice};
pub use stage::{permit_stage, PermitStage};
