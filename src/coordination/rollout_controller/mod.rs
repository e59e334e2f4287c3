//! What the membership leader does about permits and the rollout, one step at a time.
//!
//! [`RolloutController::next_step`] looks at what the fleet agreed on and at the units that are seen, and names the next
//! step. The controller's own state is timers, which the next leader starts anew; what must not be lost is in the
//! replicated [`DisruptionState`](super::rollout::DisruptionState).

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
