//! The end of a call as gRPC's users expect it: status, message, `google.rpc` details, and what a client that
//! retries by itself is told (`grpc-retry-pushback-ms`).

use base64::engine::general_purpose::{GeneralPurpose, STANDARD_NO_PAD};
use base64::engine::{DecodePaddingMode, GeneralPurposeConfig};
use base64::{alphabet, Engine};
use cindercleat::status::{client_status, retry_advice, ClientAnswer, Code, RetryAdvice};
use http::{HeaderMap, HeaderValue};
use prost::Message;
use prost_types::{Any, Duration};

const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";
const BAD_REQUEST: &str = "type.googleapis.com/google.rpc.BadRequest";
/// Others may pad; we need not.
const LENIENT: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// `google.rpc.Status`, from its public specification, as are the two below.
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

/// The end of a call.
pub(crate) struct Ending {
    code: Code,
    why: String,
    again: RetryAdvice,
    details: Vec<Any>,
    /// Our own mark that nothing of it ran.
    never_ran: bool,
}

impl Ending {
    pub fn plain(code: Code, why: &str) -> Self {
        Ending {
            code,
            why: why.to_owned(),
            again: RetryAdvice::None,
            details: Vec::new(),
            never_ran: false,
        }
    }

    /// Turned away before anything was made of it.
    pub fn refused(code: Code, why: &str) -> Self {
        Ending {
            never_ran: true,
            ..Ending::plain(code, why)
        }
    }

    /// A request's final answer.
    pub fn told(told: ClientAnswer, retry_after_ms: f64, why: &str) -> Self {
        let again = retry_advice(told, retry_after_ms);
        let details = match again {
            RetryAdvice::After(ms) => vec![any(
                RETRY_INFO,
                &RetryInfo {
                    retry_delay: Some(duration(ms)),
                },
            )],
            RetryAdvice::None | RetryAdvice::Never => Vec::new(),
        };
        Ending {
            again,
            details,
            ..Ending::plain(client_status(told), why)
        }
    }

    /// A field that cannot be right.
    pub fn rejected(field: &str, why: &str) -> Self {
        let violation = FieldViolation {
            field: field.to_owned(),
            description: why.to_owned(),
        };
        let details = vec![any(
            BAD_REQUEST,
            &BadRequest {
                field_violations: vec![violation],
            },
        )];
        let plain = Ending::refused(
            client_status(ClientAnswer::InvalidRequest),
            &format!("{field}: {why}"),
        );
        Ending { details, ..plain }
    }

    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert("grpc-status", HeaderValue::from(self.code as u32));
        if let Ok(why) = HeaderValue::from_str(&percent(&self.why)) {
            headers.insert("grpc-message", why);
        }
        match self.again {
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
                message: self.why.clone(),
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

/// The field that a status with details names, and what is wrong with it.
pub(crate) fn field_of(headers: &HeaderMap) -> Option<(String, String)> {
    let bytes = LENIENT
        .decode(headers.get("grpc-status-details-bin")?.as_bytes())
        .ok()?;
    let status = Status::decode(&bytes[..]).ok()?;
    let found = status.details.iter().find(|d| d.type_url == BAD_REQUEST)?;
    let bad = BadRequest::decode(&found.value[..]).ok()?;
    bad.field_violations
        .into_iter()
        .next()
        .map(|v| (v.field, v.description))
}

/// A status message as gRPC writes it in a header, read.
pub(crate) fn message_of(headers: &HeaderMap) -> String {
    let text = headers
        .get("grpc-message")
        .map(|m| m.as_bytes())
        .unwrap_or_default();
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text;
    while let [first, tail @ ..] = rest {
        let hex = tail
            .get(..2)
            .and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        match (first, hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                rest = &tail[2..];
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn any(type_url: &str, message: &impl Message) -> Any {
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

/// A status message as gRPC writes it in a header: what is not plain text as percent and two hex digits.
fn percent(text: &str) -> String {
    let plain = |b: u8| (b' '..=b'~').contains(&b) && b != b'%';
    text.bytes()
        .map(|b| {
            if plain(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rejection_says_how_long_to_stay_away_and_a_failure_never_to_come_back() {
        let rejected = Ending::told(
            ClientAnswer::Rejected {
                for_lack_of_capacity: true,
            },
            1250.5,
            "no room",
        )
        .headers();
        assert_eq!(rejected["grpc-status"], "8");
        assert_eq!(rejected["grpc-retry-pushback-ms"], "1251");
        let bytes = LENIENT
            .decode(rejected["grpc-status-details-bin"].as_bytes())
            .expect("base64");
        let status = Status::decode(&bytes[..]).expect("a status");
        let info = RetryInfo::decode(&status.details[0].value[..]).expect("retry info");
        assert_eq!((status.code, status.message.as_str()), (8, "no room"));
        assert_eq!(
            info.retry_delay,
            Some(Duration {
                seconds: 1,
                nanos: 250_500_000
            })
        );
        let failed = Ending::told(ClientAnswer::Failed, 500.0, "").headers();
        assert_eq!(failed["grpc-retry-pushback-ms"], "-1");
        assert!(failed.get("grpc-status-details-bin").is_none());
        assert!(failed.get("cindercleat-ran").is_none());
    }

    #[test]
    fn a_bad_field_is_named_and_read_back() {
        let headers = Ending::rejected("patience_ms", "\u{2212}1 is no time").headers();
        assert_eq!(headers["grpc-status"], "3");
        let read = field_of(&headers).expect("a field");
        assert_eq!(
            read,
            ("patience_ms".to_owned(), "\u{2212}1 is no time".to_owned())
        );
        assert_eq!(message_of(&headers), "patience_ms: \u{2212}1 is no time");
        assert!(headers["grpc-message"]
            .to_str()
            .expect("plain")
            .contains("%E2%88%92"));
    }
}
