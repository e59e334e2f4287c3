//! Maps gRPC calls to frames: the path of each call, its messages as frame bodies, and the status that ends it.

use crate::details::CallEnding;
use bytes::Bytes;
use cindercleat::status::{ClientAnswer, Code};
use cindercleat_protocol::{v1, Body};
use prost::Message;

/// The path of the gRPC call that a body starts; `None` if the body belongs to a call that is already open.
pub fn call_path(body: &Body) -> Option<&'static str> {
    Some(match body {
        Body::Submit(_) => "/cindercleat.v1.Router/Run",
        Body::Prefill(_) => "/cindercleat.v1.Host/Read",
        Body::Decode(_) => "/cindercleat.v1.Host/Write",
        Body::Release(_) => "/cindercleat.v1.Host/Release",
        Body::HealthCheck(_) => "/cindercleat.v1.Host/Probe",
        Body::Reserve(_) => "/cindercleat.v1.Host/Hold",
        Body::Fetch(_) => "/cindercleat.v1.Host/Fetch",
        Body::WatchEndpoints(_) => "/cindercleat.v1.List/Follow",
        Body::Gossip(_) => "/cindercleat.v1.Peers/Tell",
        Body::FleetCall(_) => "/cindercleat.v1.Fleet/Call",
        _ => return None,
    })
}

/// The path of the `Greet` method of a peer with the role `party`.
pub fn greet_path(party: v1::Party) -> &'static str {
    match party {
        v1::Party::Engine => "/cindercleat.v1.Host/Greet",
        v1::Party::Feed => "/cindercleat.v1.List/Greet",
        v1::Party::Fleet => "/cindercleat.v1.Fleet/Greet",
        _ => "/cindercleat.v1.Router/Greet",
    }
}

/// Decodes the request message of the call at `path`; `None` if the schema has no method with this path.
pub fn decode_request(path: &str, bytes: Bytes) -> Option<Result<Body, prost::DecodeError>> {
    let method = path.strip_prefix("/cindercleat.v1.")?;
    Some(match method {
        "Router/Run" => v1::Submit::decode(bytes).map(Body::Submit),
        "Host/Read" => v1::Prefill::decode(bytes).map(Body::Prefill),
        "Host/Write" => v1::Decode::decode(bytes).map(Body::Decode),
        "Host/Release" => v1::Release::decode(bytes).map(Body::Release),
        "Host/Probe" => v1::HealthCheck::decode(bytes).map(Body::HealthCheck),
        "Host/Hold" => v1::Reserve::decode(bytes).map(Body::Reserve),
        "Host/Fetch" => v1::Fetch::decode(bytes).map(Body::Fetch),
        "List/Follow" => v1::WatchEndpoints::decode(bytes).map(Body::WatchEndpoints),
        "Peers/Tell" => v1::Gossip::decode(bytes).map(Body::Gossip),
        "Fleet/Call" => v1::FleetCall::decode(bytes).map(Body::FleetCall),
        "Router/Greet" | "Host/Greet" | "List/Greet" | "Fleet/Greet" => {
            v1::Hello::decode(bytes).map(Body::Hello)
        }
        _ => return None,
    })
}

/// Decodes a reply message of the call at `path`; `None` if the message is empty.
pub fn decode_reply(path: &str, bytes: Bytes) -> Result<Option<Body>, prost::DecodeError> {
    use v1::{decode_reply, run_reply};
    Ok(match path.strip_prefix("/cindercleat.v1.").unwrap_or("") {
        "Router/Run" => v1::RunReply::decode(bytes)?.part.map(|part| match part {
            run_reply::Part::Accepted(m) => Body::Accepted(m),
            run_reply::Part::Tokens(m) => Body::Tokens(m),
            run_reply::Part::Final(m) => Body::Final(m),
        }),
        "Host/Read" => Some(Body::Ended(v1::Ended::decode(bytes)?)),
        "Host/Write" => v1::DecodeReply::decode(bytes)?.part.map(|part| match part {
            decode_reply::Part::Tokens(m) => Body::Tokens(m),
            decode_reply::Part::Ended(m) => Body::Ended(m),
        }),
        "Host/Probe" => Some(Body::Load(v1::Load::decode(bytes)?)),
        "Host/Hold" => Some(Body::Reservation(v1::Reservation::decode(bytes)?)),
        "Host/Release" => Some(Body::Done(v1::Done::decode(bytes)?)),
        "Host/Fetch" => Some(Body::State(v1::State::decode(bytes)?)),
        "List/Follow" => Some(Body::Endpoints(v1::EndpointList::decode(bytes)?)),
        "Fleet/Call" => Some(Body::FleetAnswer(v1::FleetAnswer::decode(bytes)?)),
        "Router/Greet" | "Host/Greet" | "List/Greet" | "Fleet/Greet" => {
            Some(Body::Hello(v1::Hello::decode(bytes)?))
        }
        _ => None,
    })
}

/// A body encoded as a reply: the message to send, if any, and the status if the reply ends the call.
pub struct Reply {
    /// The encoded message; `None` if only the status is sent.
    pub message: Option<Bytes>,
    /// The status that ends the call; `None` if the call continues.
    pub ending: Option<CallEnding>,
}

/// Encodes a body as a reply to the call at `path`; `None` if the call has no such reply.
pub fn encode_reply(path: &str, body: Body) -> Option<Reply> {
    use crate::message::encode;
    use v1::{decode_reply, run_reply};
    let run = |part| Some(encode(&v1::RunReply { part: Some(part) }));
    let write = |part| Some(encode(&v1::DecodeReply { part: Some(part) }));
    let ok = || Some(CallEnding::plain(Code::Ok, ""));
    let (message, ending) = match (path.strip_prefix("/cindercleat.v1.")?, body) {
        ("Router/Run", Body::Accepted(m)) => (run(run_reply::Part::Accepted(m)), None),
        ("Router/Run", Body::Tokens(m)) => (run(run_reply::Part::Tokens(m)), None),
        ("Router/Run", Body::Final(m)) => {
            let answer = match m.answer() {
                v1::Answer::Succeeded => ClientAnswer::Succeeded,
                v1::Answer::Rejected => ClientAnswer::Rejected {
                    for_lack_of_capacity: m.full,
                },
                v1::Answer::Failed | v1::Answer::Unspecified => ClientAnswer::Failed,
            };
            let ending = Some(CallEnding::answered(answer, m.retry_after_ms, &m.reason));
            (run(run_reply::Part::Final(m)), ending)
        }
        ("Router/Run", Body::InvalidRequest(m)) => {
            (None, Some(CallEnding::invalid_field(&m.field, &m.reason)))
        }
        ("Host/Write", Body::Tokens(m)) => (write(decode_reply::Part::Tokens(m)), None),
        ("Host/Write", Body::Ended(m)) => (write(decode_reply::Part::Ended(m)), ok()),
        ("Host/Read", Body::Ended(m)) => (Some(encode(&m)), ok()),
        ("Host/Probe", Body::Load(m)) => (Some(encode(&m)), ok()),
        ("Host/Hold", Body::Reservation(m)) => (Some(encode(&m)), ok()),
        // Only the engine that released the state confirms the release. A lost release stays unconfirmed, so that the
        // dispatcher repeats it.
        ("Host/Release", Body::Done(m)) => (Some(encode(&m)), ok()),
        ("Host/Fetch", Body::State(m)) => (Some(encode(&m)), ok()),
        ("Fleet/Call", Body::FleetAnswer(m)) => (Some(encode(&m)), ok()),
        ("List/Follow", Body::Endpoints(m)) => (Some(encode(&m)), None),
        (_, Body::Hello(m)) => (Some(encode(&m)), ok()),
        // A request that was accepted may have run, so a call that ends without a response must not have a status that
        // invites a retry.
        ("Router/Run", Body::Goodbye(m)) => (
            None,
            Some(CallEnding::answered(ClientAnswer::Failed, 0.0, &m.reason)),
        ),
        (_, Body::Goodbye(m)) => (None, Some(CallEnding::plain(Code::Unavailable, &m.reason))),
        _ => return None,
    };
    Some(Reply { message, ending })
}
