//! cindercleat: routing decisions for language-model servers that run prefill and decode on separate engines.
//!
//! All decision logic consists of state machines: they do no I/O, read no clock and draw random numbers from a seed.
//! They take events with their instants and return actions.
//!
//! - [`control::Control`] decides about requests; [`interface`] defines its settings, events and actions.
//! - [`connection_pool::ConnectionPool`] decides about the connections to one engine.
//! - [`client_connection`] decides about the connection of one client.
//! - [`discovery_client::DiscoveryCalls`] decides when discovery is called.
//! - [`resource_limits::ResourceLimits`] derives limits and timeouts from the resources of a process.
//! - [`status`] maps answers to gRPC status codes, and ends of calls to outcomes.
//! - [`coordination`] contains what the dispatchers of a fleet agree on: membership, leases and rollouts.
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
