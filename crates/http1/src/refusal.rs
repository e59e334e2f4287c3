//! Plain-text responses of the dispatcher itself, among them the refusals of requests that are invalid or incomplete.

use crate::framing::{FramingError, HEAD, HEADER_LIST, TRAILER_SECTION};
use crate::wire_names;

/// An error response to an invalid request: its status line, and the reason in its body.
pub(crate) struct Refusal {
    pub status: &'static str,
    pub reason: &'static str,
}

pub(crate) const fn refusal(status: &'static str, reason: &'static str) -> Refusal {
    Refusal { status, reason }
}

/// The refusal of a request of which a part has not arrived in time.
pub(crate) const fn request_timeout() -> Refusal {
    refusal(
        wire_names::STATUS_TIMEOUT,
        "the request did not come in time",
    )
}

/// The error response to a malformed request.
pub(crate) fn refusal_for(error: FramingError) -> Refusal {
    match error {
        FramingError::Malformed(what) => refusal(wire_names::STATUS_INVALID, what),
        FramingError::TooLong(what @ (HEAD | HEADER_LIST | TRAILER_SECTION)) => {
            refusal(wire_names::STATUS_HEAD_TOO_LARGE, what)
        }
        FramingError::TooLong(what) => refusal(wire_names::STATUS_TOO_LARGE, what),
    }
}

/// A complete plain-text response; `extra_headers` holds additional header lines.
pub(crate) fn plain_response(
    status: &str,
    reason: &str,
    extra_headers: &str,
    keep_alive: bool,
) -> Vec<u8> {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let length = reason.len() + 1;
    let head = "Content-Type: text/plain; charset=utf-8\r\n";
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {length}\r\n{extra_headers}{close}\r\n{reason}\n")
        .into_bytes()
}
