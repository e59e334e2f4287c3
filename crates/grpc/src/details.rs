//! The status that ends a call, in the form that gRPC clients expect: code, message, `google.rpc` details, and the
//! retry delay for clients that retry automatically (`grpc-retry-pushback-ms`).

use base64::engine::general_purpose::{GeneralPurpose, STANDARD_NO_PAD};
use base64::engine::{DecodePaddingMode, GeneralPurposeConfig};
use base64::{alphabet, Engine};
use cindercleat::status::{client_status, retry_advice, ClientAnswer, Code, RetryAdvice};
use http::{HeaderMap, HeaderValue};
use prost::Message;
use prost_types::{Any, Duration};

const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";
const BAD_REQUEST: &str = "type.googleapis.com/google.rpc.BadRequest";
/// Decodes base64 with or without padding, because peers may send either.
const BASE64_ANY_PADDING: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// The message `google.rpc.Status`. This struct and the three below follow the public definitions of their messages.
#[derive(Clone, PartialEq, Message)]
struct Status {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<Any>,
}

#[derive(Clone, PartialEq, Message)]
struct RetryInfo {
    #[prost(message, optional, tag = "1")]
    retry_delay: Option<Duration>,
}

#[derive(Clone, PartialEq, Message)]
struct BadRequest {
    #[prost(message, repeated, tag = "1")]
    field_violations: Vec<FieldViolation>,
}

#[derive(Clone, PartialEq, Message)]
struct FieldViolation {
    #[prost(string, tag = "1")]
    field: String,
    #[prost(string, tag = "2")]
    description: String,
}

/// The status that ends a call: the code, the message, the retry advice and the `google.rpc` details.
pub(crate) struct CallEnding {
    code: Code,
    message: String,
    retry: RetryAdvice,
    details: Vec<Any>,
    /// Whether the trailers include `cindercleat-ran: no`, which states that no part of the call ran.
    never_ran: bool,
}

impl CallEnding {
    /// A status with a code and a message only, without details or retry advice.
    pub fn plain(code: Code, message: &str) -> Self {
        CallEnding {
            code,
            message: message.to_owned(),
            retry: RetryAdvice::None,
            details: Vec::new(),
            never_ran: false,
        }
    }

    /// The status of a call that was refused before any of it ran.
    pub fn refused(code: Code, message: &str) -> Self {
        CallEnding {
            never_ran: true,
            ..CallEnding::plain(code, message)
        }
    }

    /// The status of a request with a final answer, with the retry advice for it.
    pub fn answered(answer: ClientAnswer, retry_after_ms: f64, message: &str) -> Self {
        let retry = retry_advice(answer, retry_after_ms);
        let details = match retry {
            RetryAdvice::After(ms) => vec![pack_any(
                RETRY_INFO,
                &RetryInfo {
                    retry_delay: Some(duration(ms)),
                },
            )],
            RetryAdvice::None | RetryAdvice::Never => Vec::new(),
        };
        CallEnding {
            retry,
            details,
            ..CallEnding::plain(client_status(answer), message)
        }
    }

    /// The status of a request with an invalid field.
    pub fn invalid_field(field: &str, message: &str) -> Self {
        let violation = FieldViolation {
            field: field.to_owned(),
            description: message.to_owned(),
        };
        let details = vec![pack_any(
            BAD_REQUEST,
            &BadRequest {
                field_violations: vec![violation],
            },
        )];
        let plain = CallEnding::refused(
            client_status(ClientAnswer::InvalidRequest),
            &format!("{field}: {message}"),
        );
        CallEnding { details, ..plain }
    }

    /// The trailers that carry this status.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert("grpc-status", HeaderValue::from(self.code as u32));
        if let Ok(message) = HeaderValue::from_str(&percent_encode(&self.message)) {
            headers.insert("grpc-message", message);
        }
        match self.retry {
            RetryAdvice::None => {}
            RetryAdvice::After(ms) => {
                headers.insert(
                    "grpc-retry-pushback-ms",
                    HeaderValue::from(ms.ceil() as u64),
                );
            }
            RetryAdvice::Never => {
                headers.insert("grpc-retry-pushback-ms", HeaderValue::from_static("-1"));
            }
        }
        if self.never_ran {
            headers.insert("cindercleat-ran", HeaderValue::from_static("no"));
        }
        if !self.details.is_empty() {
            let status = Status {
                code: self.code as i32,
                message: self.message.clone(),
                details: self.details.clone(),
            };
            if let Ok(bytes) =
                HeaderValue::from_str(&STANDARD_NO_PAD.encode(status.encode_to_vec()))
            {
                headers.insert("grpc-status-details-bin", bytes);
            }
        }
        headers
    }
}

/// The name of the invalid field in a status's details, and the description of the problem; `None` if there is none.
pub(crate) fn invalid_field(headers: &HeaderMap) -> Option<(String, String)> {
    let bytes = BASE64_ANY_PADDING
        .decode(headers.get("grpc-status-details-bin")?.as_bytes())
        .ok()?;
    let status = Status::decode(&bytes[..]).ok()?;
    let detail = status
        .details
        .iter()
        .find(|detail| detail.type_url == BAD_REQUEST)?;
    let bad_request = BadRequest::decode(&detail.value[..]).ok()?;
    bad_request
        .field_violations
        .into_iter()
        .next()
        .map(|violation| (violation.field, violation.description))
}

/// The status message of the headers, percent-decoded; empty if there is none.
pub(crate) fn status_message(headers: &HeaderMap) -> String {
    let text = headers
        .get("grpc-message")
        .map(|m| m.as_bytes())
        .unwrap_or_default();
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let [first, tail @ ..] = rest {
        let hex = tail
            .get(..2)
            .and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        match (first, hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                rest = &tail[2..];
            }
            _ => {
                decoded.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn pack_any(type_url: &str, message: &impl Message) -> Any {
    Any {
        type_url: type_url.to_owned(),
        value: message.encode_to_vec(),
    }
}

fn duration(ms: f64) -> Duration {
    let ms = ms.clamp(0.0, 1e12);
    let seconds = (ms / 1000.0).floor();
    Duration {
        seconds: seconds as i64,
        nanos: ((ms - 1000.0 * seconds) * 1e6) as i32,
    }
}

/// Encodes a status message for a header: every byte that is not printable ASCII becomes `%` and two hex digits.
fn percent_encode(text: &str) -> String {
    let is_plain = |byte: u8| (b' '..=b'~').contains(&byte) && byte != b'%';
    text.bytes()
        .map(|byte| {
            if is_plain(byte) {
                char::from(byte).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect()
}

#[cfg(test)]
#[path = "details_tests.rs"]
mod tests;
