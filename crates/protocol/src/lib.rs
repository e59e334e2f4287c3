//! The messages between clients, dispatchers, engines and discovery (`proto/`).
//!
//! A [`Frame`] is one message with the stream that it belongs to. Frames are the program's own form, also in transcripts;
//! `crates/grpc` and `crates/http1` turn them into what goes over the wire and back.
#![warn(missing_docs)]

pub mod session;

/// The generated messages.
pub mod v1 {
    #![allow(clippy::all, missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/cindercleat.v1.rs"));
}

pub use v1::frame::Body;
pub use v1::Frame;

use bytes::Bytes;

/// The version that this crate speaks.
pub const VERSION: u32 = 1;

/// A frame of `stream`.
pub fn frame(stream: u64, body: Body) -> Frame {
    Frame {
        stream,
        body: Some(body),
    }
}

/// A message's name, for logs.
pub fn name_of(body: Option<&Body>) -> &'static str {
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

/// Bytes of text, for a message's text fields.
pub fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
