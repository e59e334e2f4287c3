//! Decides about the connection of one client: [`multiplexed`] for a connection with many concurrent requests (gRPC),
//! [`http1`] for one request at a time (HTTP/1.1).

pub mod http1;
pub mod multiplexed;
