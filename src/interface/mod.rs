//! The plain types that pass between a dispatcher's program and its
//! [`Control`](crate::control::Control): ids, start settings, events in, actions out. Nothing here
//! decides anything.
//!
//! Units: times are in milliseconds ([`Ms`]), text is measured in tokens, loads and shares are
//! fractions of 1.

mod actions;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use events::{
    Arrival, Ended, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Load, Outcome,
};
pub use ids::{
    AttemptId, CellId, DispatcherId, EngineId, KindId, RequestClassId, RequestId, SessionId,
    SharedTextId, TenantId, TimerId, ZoneId,
};
pub use settings::{
    Discovery, IdempotencyScope, KindSettings, RequestClassSettings, RetrySafety, Role, Settings,
    TenantSettings,
};

/// Milliseconds with fractions, either a duration or an instant on the driver's clock, whose zero
/// means nothing.
pub type Ms = f64;
