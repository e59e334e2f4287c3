//! cindercleat: routing decisions for language-model servers that run prefill and decode on separate engines.
//!
//! All decision logic consists of state machines. They do no I/O, read no clock and draw random numbers from a seed.
//! Callers pass events and the current time, and carry out the returned actions.
//!
//! - [`control::Control`] decides about requests; [`interface`] defines its settings, events and actions.
//! - [`connection_pool::ConnectionPool`] decides about the connections to one engine.
//! - [`client_connection`] decides about the connection of one client.
//! - [`discovery_client::DiscoveryCalls`] decides what is requested from service discovery and when.
//! - [`resource_limits::ResourceLimits`] derives the limits and timeouts of a process from its resources.
//! - [`status`] maps answers for clients to gRPC status codes, and the ways a call to an engine can end to outcomes.
//! - [`coordination`] contains the protocols by which the dispatchers of a fleet agree on membership, leases and
//!   rollouts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client_connection;
pub mod connection_pool;
pub mod control;
pub mod coordination;
pub mod discovery_client;
pub mod interface;
pub mod resource_limits;
pub mod status;
