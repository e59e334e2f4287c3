//! What the response to a call means: the frame that ends the call, with the load report and the result that the
//! response carries.

use crate::framing::{Length, ResponseHead};
use crate::wire_names;
use cindercleat_protocol::{v1, Body};
use serde::Deserialize;

/// The current call, with the state that its response needs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Call {
    Prefill(Option<v1::KvStateId>),
    Decode {
        /// The number of token messages that may still be sent before the dispatcher grants more credit.
        credit: u32,
        /// The number of bytes of the stream forwarded so far.
        position: u32,
    },
    HealthCheck,
    Release,
}

/// Whether the response is a stream of events to forward.
pub(crate) fn is_stream(head: &ResponseHead, call: &Call) -> bool {
    head.start_line == 200 && head.length == Length::Chunked && matches!(call, Call::Decode { .. })
}

/// Whether the response is marked as a rejection, which states that the engine did not run the request.
pub(crate) fn is_rejection(head: &ResponseHead) -> bool {
    head.get(wire_names::REJECTION_HEADER) == Some(b"1")
        && matches!(head.start_line, 503 | 504 | 410)
}

/// The frame that reports that a call failed because its response is unusable; `reason` describes the problem.
pub(crate) fn failure(call: &Call, reason: String) -> Body {
    match call {
        Call::Prefill(_) | Call::Decode { .. } => {
            let status = v1::Status::Failed.into();
            Body::Ended(v1::Ended {
                status,
                reason,
                ..v1::Ended::default()
            })
        }
        Call::HealthCheck | Call::Release => Body::Goodbye(v1::Goodbye {
            reason,
            never_ran: false,
        }),
    }
}

/// The JSON body of a successful prefill.
#[derive(Deserialize)]
struct PrefillResult {
    #[serde(default)]
    cached_tokens: f64,
}

/// The JSON of a load report. A field has either its name in the settings (`stats.columns`) or its name in the
/// protocol's specification. Both are accepted, because a field under an unknown name would be lost silently.
#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadReport {
    #[serde(alias = "active")]
    inflight: Option<f64>,
    #[serde(alias = "waiting")]
    queue: Option<f64>,
    #[serde(alias = "cpu")]
    util: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

/// Parses a load report; `None` if the bytes are not valid JSON of a load report.
fn parse_load(bytes: &[u8]) -> Option<v1::Load> {
    let report: LoadReport = serde_json::from_slice(bytes).ok()?;
    Some(v1::Load {
        in_flight: report.inflight,
        queue: report.queue,
        slots_used: report.util,
        memory_held: report.x0,
        waiting_kilotokens: report.x1,
    })
}

/// The frame that ends a call whose response is complete.
pub(crate) fn result_of(call: &Call, head: &ResponseHead, body: &[u8]) -> Body {
    let header_load = head.get(wire_names::LOAD_HEADER).and_then(parse_load);
    let ended = |status: v1::Status| {
        let reason = format!("status {}", head.start_line);
        v1::Ended {
            status: status.into(),
            load: header_load,
            reason,
            ..v1::Ended::default()
        }
    };
    match (call, head.start_line) {
        (Call::Prefill(state), 202) => {
            let cached = serde_json::from_slice(body)
                .map_or(0.0, |result: PrefillResult| result.cached_tokens);
            let kept_tokens = if cached.is_finite() {
                cached.clamp(0.0, 1e9) as u32
            } else {
                0
            };
            Body::Ended(v1::Ended {
                kept_tokens,
                state: *state,
                ..ended(v1::Status::PrefillDone)
            })
        }
        (Call::Decode { .. }, 200) if is_stream(head, call) => {
            Body::Ended(ended(v1::Status::Succeeded))
        }
        (Call::Decode { .. }, 410) if is_rejection(head) => Body::Ended(ended(v1::Status::NoState)),
        (Call::Prefill(_) | Call::Decode { .. }, 503 | 504) if is_rejection(head) => {
            Body::Ended(ended(v1::Status::Overloaded))
        }
        (Call::Prefill(_) | Call::Decode { .. }, _) => Body::Ended(ended(v1::Status::Failed)),
        (Call::HealthCheck, 200) => {
            Body::Load(parse_load(body).or(header_load).unwrap_or_default())
        }
        (Call::Release, 200..=299) => Body::Done(v1::Done {}),
        (Call::HealthCheck | Call::Release, status) => {
            let reason = format!("status {status}");
            Body::Goodbye(v1::Goodbye {
                reason,
                never_ran: false,
            })
        }
    }
}
