//! cindercleat: routing decisions for language-model servers that read and write in two stages.
//!
//! [`control::Control`] decides about requests, [`connection_pool::ConnectionPool`] about the connections to an engine,
//! [`client_connection::multiplexed::MultiplexedConnection`] and [`client_connection::http1::Http1Connection`] about a client's, [`discovery_client::DiscoveryCalls`] about calls to discovery, [`resource_limits::ResourceLimits`] about how much of all there
//! may be; [`interface`] holds the plain types that callers exchange with the first.
#![forbid(unsafe_code)]

pub mod client_connection;
pub mod connection_pool;
pub mod control;
pub mod coordination;
pub mod discovery_client;
pub mod interface;
pub mod resource_limits;
pub mod status;
