//! The types that a dispatcher's driver and its [`Control`](crate::control::Control) exchange: ids,
//! settings, events (input) and actions (output). They contain no decision logic.
//!
//! Units: times are in milliseconds ([`Ms`]), lengths of prompts and answers in tokens, and shares
//! in fractions of 1. Each field of [`Load`] states its own unit.

mod actions;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use events::{
    Arrival, Ended, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Load, Outcome,
};
pub use ids::{
    AttemptId, CellId, DispatcherId, EngineId, EngineKindId, RequestClassId, RequestId, SessionId,
    SharedPrefixId, TenantId, TimerId, ZoneId,
};
pub use settings::{
    Discovery, EngineKindSettings, IdempotencyScope, RequestClassSettings, RetrySafety, Role,
    Settings, TenantSettings,
};

/// Milliseconds with a fractional part: a duration, or an instant on the driver's clock, whose zero
/// point is arbitrary.
pub type Ms = f64;
