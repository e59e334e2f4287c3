//! The request dispatcher: routes requests to engines and streams their tokens back to clients.
//!
//! [`state::Dispatcher`] is the state machine. It holds requests, attempts, KV states, connections and
//! timers, and asks [`Control`](cindercleat::control::Control) for each routing decision. It does no I/O and
//! reads no clock: each input carries its instant, and the outputs are returned to the caller. [`driver`]
//! moves bytes between the state machine and a transport. A dispatcher runs on one thread.
#![warn(missing_docs)]

pub mod driver;
pub mod endpoint_cache;
pub mod fault_injection;
pub mod settings;
pub mod state;

pub use settings::{Limits, ProgramSettings, ServiceSettings};
