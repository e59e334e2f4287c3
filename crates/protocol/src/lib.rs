//! The messages between clients, dispatchers, model hosts and the list feed (`proto/`), and how a connection
//! carries them: each as one length-delimited frame (a length of four bytes, big end first, then the message).
//!
//! [`Decoder`] is fed bytes as they come and gives frames; it does no I/O. It refuses a frame over its bound
//! before holding any of it, and whatever follows a malformed one.

/// The generated messages.
pub mod v1 {
    #![allow(clippy::all, missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/cindercleat.v1.rs"));
}

pub use v1::frame::Body;
pub use v1::Frame;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// The version that this crate speaks.
pub const VERSION: u32 = 1;
/// Bytes of a frame's length.
const HEAD: usize = 4;

/// Why a connection's bytes are refused; the connection cannot go on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("a frame of {bytes} bytes, over the bound of {most}")]
    TooLarge { bytes: usize, most: usize },
    #[error("a frame that is no message: {0}")]
    NoMessage(String),
    #[error("a message without a body that this version knows")]
    NoBody,
    #[error("a version {came} where {} is spoken", VERSION)]
    Version { came: u32 },
    #[error("{came} where {expected} was expected")]
    Unexpected { expected: &'static str, came: String },
}

/// Takes the bytes of one direction of a connection and gives its frames.
#[derive(Debug)]
pub struct Decoder {
    pending: BytesMut,
    most: usize,
}

impl Decoder {
    /// `most`: the largest frame taken, in bytes without its length.
    pub fn new(most: usize) -> Self {
        Decoder { pending: BytesMut::new(), most }
    }

    /// Where the next bytes go.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.pending
    }

    /// The next whole frame, none if more bytes are wanted.
    ///
    /// # Errors
    /// The bytes are not this protocol; the connection is to be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Malformed> {
        if self.pending.len() < HEAD {
            return Ok(None);
        }
        let bytes = (&self.pending[..HEAD]).get_u32() as usize;
        if bytes > self.most {
            return Err(Malformed::TooLarge { bytes, most: self.most });
        }
        if self.pending.len() < HEAD + bytes {
            return Ok(None);
        }
        self.pending.advance(HEAD);
        let frame = Frame::decode(self.pending.split_to(bytes).freeze());
        let frame = frame.map_err(|e| Malformed::NoMessage(e.to_string()))?;
        match frame.body {
            Some(_) => Ok(Some(frame)),
            None => Err(Malformed::NoBody),
        }
    }
}

/// Appends one frame to `out`.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let bytes = frame.encoded_len();
    out.reserve(HEAD + bytes);
    out.put_u32(u32::try_from(bytes).unwrap_or(u32::MAX));
    // A BytesMut grows, so there is always room.
    let _ = frame.encode(out);
}

/// A frame of `stream`.
pub fn frame(stream: u64, body: Body) -> Frame {
    Frame { stream, body: Some(body) }
}

/// The greeting of `name`, meant for `expects`.
pub fn hello(party: v1::Party, name: &str, expects: &str, run: u64) -> Frame {
    let (name, expects) = (name.to_owned(), expects.to_owned());
    frame(0, Body::Hello(v1::Hello { version: VERSION, party: party.into(), name, expects, run }))
}

/// Says why a connection is closed.
pub fn goodbye(reason: impl Into<String>) -> Frame {
    frame(0, Body::Goodbye(v1::Goodbye { reason: reason.into() }))
}

/// The greeting in a connection's first frame.
///
/// # Errors
/// Another message, or another version.
pub fn greeting(frame: Frame) -> Result<v1::Hello, Malformed> {
    match frame.body {
        Some(Body::Hello(hello)) if hello.version == VERSION => Ok(hello),
        Some(Body::Hello(hello)) => Err(Malformed::Version { came: hello.version }),
        Some(Body::Goodbye(bye)) => {
            Err(Malformed::Unexpected { expected: "a greeting", came: format!("goodbye ({})", bye.reason) })
        }
        other => {
            Err(Malformed::Unexpected { expected: "a greeting", came: name_of(other.as_ref()).to_owned() })
        }
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
        Some(Body::Read(_)) => "read",
        Some(Body::Write(_)) => "write",
        Some(Body::Ended(_)) => "ended",
        Some(Body::Release(_)) => "release",
        Some(Body::Credit(_)) => "credit",
        Some(Body::Probe(_)) => "probe",
        Some(Body::Load(_)) => "load",
        Some(Body::Hold(_)) => "hold",
        Some(Body::Place(_)) => "place",
        Some(Body::Fetch(_)) => "fetch",
        Some(Body::State(_)) => "state",
        Some(Body::Follow(_)) => "follow",
        Some(Body::List(_)) => "list",
        Some(Body::Peer(_)) => "peer",
        Some(Body::Rejected(_)) => "rejected",
        Some(Body::Ping(_)) => "ping",
        Some(Body::Pong(_)) => "pong",
    }
}

/// Bytes of text, for a message's text fields.
pub fn text(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
