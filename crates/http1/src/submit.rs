//! Converts a client's HTTP request into the dispatcher's message: its route, headers and labels.

use crate::framing::Request;
use crate::refusal::{refusal, Refusal};
use crate::wire_names;
use bytes::Bytes;
use cindercleat_protocol::v1;

/// The resource that a request is for.
pub(crate) enum Route {
    Submit,
    Ready,
}

/// Routes a request by its method and path.
pub(crate) fn route(head: &Request) -> Result<Route, Refusal> {
    let path = head.start_line.target.split('?').next().unwrap_or_default();
    match head.start_line.method.as_str() {
        "GET" if path == wire_names::READY_PATH => Ok(Route::Ready),
        "POST" if path.starts_with(wire_names::REQUESTS_PATH_PREFIX) => Ok(Route::Submit),
        _ if path.starts_with(wire_names::REQUESTS_PATH_PREFIX) => {
            Err(refusal(wire_names::STATUS_WRONG_METHOD, "only POST"))
        }
        _ => Err(refusal(
            wire_names::STATUS_NOT_FOUND,
            "there is nothing here",
        )),
    }
}

/// Converts an HTTP request into a `Submit`, or refuses it because of the first invalid header.
pub(crate) fn parse_submit(head: &Request, prompt: Bytes) -> Result<v1::Submit, Refusal> {
    let invalid = |reason| refusal(wire_names::STATUS_INVALID, reason);
    let id = head
        .text(wire_names::REQUEST_ID_HEADER)
        .filter(|id| wire_names::is_valid_id(id))
        .ok_or_else(|| invalid("no id, or none that can be one"))?;
    let time_to_deadline = head
        .get(wire_names::TIME_TO_DEADLINE_HEADER)
        .and_then(wire_names::parse_u32);
    let time_to_deadline =
        time_to_deadline.ok_or_else(|| invalid("no time to wait, or none that can be one"))?;
    let request_class = head
        .text(wire_names::REQUEST_CLASS_HEADER)
        .unwrap_or_default();
    let mut labels = Labels::default();
    if let Some(text) = head.text(wire_names::LABELS_HEADER) {
        labels = Labels::parse(text).ok_or_else(|| invalid("the labels cannot be read"))?;
    }
    let estimated_tokens = prompt.len().div_ceil(wire_names::BYTES_PER_TOKEN).max(1) as u32;
    let prompt_tokens = labels.prompt_tokens.unwrap_or(estimated_tokens).max(1);
    let session = head.text(wire_names::SESSION_HEADER).unwrap_or(id);
    let retry_kind = head.text(wire_names::RETRIED_HEADER);
    // The dispatcher sets these two headers itself for each attempt.
    let set_by_dispatcher = |name: &str| {
        [
            wire_names::REQUEST_ID_HEADER,
            wire_names::TIME_TO_DEADLINE_HEADER,
        ]
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
    };
    let forwarded = head
        .end_to_end()
        .filter(|(name, _)| !set_by_dispatcher(name));
    let headers = forwarded.map(|(name, value)| v1::Header {
        name: name.clone(),
        value: value.clone(),
    });
    Ok(v1::Submit {
        request_class: request_class.to_owned(),
        tenant: head
            .text(wire_names::TENANT_HEADER)
            .unwrap_or_default()
            .to_owned(),
        session: wire_names::parse_or_hash_key(session),
        shared_text: labels.shared.unwrap_or(0),
        prompt_tokens,
        shared_tokens: labels.shared_tokens.unwrap_or(0).min(prompt_tokens),
        max_tokens: labels.max_tokens.unwrap_or(estimated_tokens).max(1),
        time_to_deadline_ms: f64::from(time_to_deadline),
        retried: retry_kind == Some(wire_names::RETRIED_VALUE),
        resumed: retry_kind == Some(wire_names::RESUMED_VALUE),
        key: String::new(),
        prompt,
        origin: Some(v1::Origin {
            id: id.to_owned(),
            method: head.start_line.method.clone(),
            target: head.start_line.target.clone(),
            headers: headers.collect(),
        }),
    })
}

/// The labels of a request; a label is `None` if the client left it out.
#[derive(Default)]
struct Labels {
    shared: Option<u64>,
    prompt_tokens: Option<u32>,
    shared_tokens: Option<u32>,
    max_tokens: Option<u32>,
}

impl Labels {
    /// Parses the labels header, ignoring unknown labels; `None` if a label is malformed.
    fn parse(text: &str) -> Option<Labels> {
        let mut labels = Labels::default();
        for label in text
            .split(',')
            .map(str::trim)
            .filter(|label| !label.is_empty())
        {
            let (name, value) = label.split_once('=')?;
            let number = || wire_names::parse_u32(value.as_bytes());
            match name {
                wire_names::SHARED_PREFIX_LABEL => {
                    labels.shared = Some(wire_names::parse_or_hash_key(value))
                }
                wire_names::PROMPT_TOKENS_LABEL => labels.prompt_tokens = Some(number()?),
                wire_names::SHARED_TOKENS_LABEL => labels.shared_tokens = Some(number()?),
                wire_names::MAX_TOKENS_LABEL => labels.max_tokens = Some(number()?),
                _ => {}
            }
        }
        Some(labels)
    }
}
