//! Decides when the connection of a client is pinged or closed: [`multiplexed`] for connections with many concurrent
//! requests (gRPC), [`http1`] for connections with one request at a time (HTTP/1.1).

pub mod http1;
pub mod multiplexed;
