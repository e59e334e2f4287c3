//! The protobuf messages that clients, dispatchers, engines and discovery exchange; the schema is in `proto/`.
//!
//! A [`Frame`] is one message with the stream that it belongs to. The program and its transcripts use frames;
//! `crates/grpc` and `crates/http1` translate frames to and from their wire protocols.
#![warn(missing_docs)]

pub mod session;

/// The types generated from the protobuf package `cindercleat.v1`.
pub mod v1 {
    #![allow(clippy::all, missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/cindercleat.v1.rs"));
}

pub use v1::frame::Body;
pub use v1::Frame;

use bytes::Bytes;

/// The protocol version that both sides name in their `Hello`; a different version is refused.
pub const VERSION: u32 = 1;

/// Creates a frame on `stream`. Stream 0 carries the messages that concern the whole connection.
pub fn frame(stream: u64, body: Body) -> Frame {
    Frame {
        stream,
        body: Some(body),
    }
}

/// The name of a message in logs and transcripts; `nothing` for a frame without a body.
pub fn message_name(body: Option<&Body>) -> &'static str {
    match body {
        None => "nothing",
        Some(Body::Hello(_)) => "hello",
        Some(Body::Goodbye(_)) => "goodbye",
        Some(Body::Submit(_)) => "submit",
        Some(Body::Accepted(_)) => "accepted",
        Some(Body::Tokens(_)) => "tokens",
        Some(Body::Final(_)) => "final",
        Some(Body::Cancel(_)) => "cancel",
        Some(Body::Prefill(_)) => "read",
        Some(Body::Decode(_)) => "write",
        Some(Body::Ended(_)) => "ended",
        Some(Body::Release(_)) => "release",
        Some(Body::Credit(_)) => "credit",
        Some(Body::HealthCheck(_)) => "probe",
        Some(Body::Load(_)) => "load",
        Some(Body::Reserve(_)) => "hold",
        Some(Body::Reservation(_)) => "place",
        Some(Body::Fetch(_)) => "fetch",
        Some(Body::State(_)) => "state",
        Some(Body::WatchEndpoints(_)) => "follow",
        Some(Body::Endpoints(_)) => "list",
        Some(Body::Gossip(_)) => "peer",
        Some(Body::InvalidRequest(_)) => "rejected",
        Some(Body::Ping(_)) => "ping",
        Some(Body::Pong(_)) => "pong",
        Some(Body::Done(_)) => "done",
        Some(Body::FleetCall(_)) => "fleet-call",
        Some(Body::FleetAnswer(_)) => "fleet-answer",
    }
}

/// Copies a string into `Bytes`, the type of the schema's `bytes` fields.
pub fn text_bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
