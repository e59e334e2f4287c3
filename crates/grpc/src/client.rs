//! The calling side of a connection: the handshake, and one task per call.

use crate::call;
use crate::details::{invalid_field, status_message};
use crate::goaway_detector::{GoawayDetector, GoawayState};
use crate::message::{encode, send, MessageReader, ReadError};
use crate::{
    connection_window, Event, HandshakeGuard, Out, Outgoing, Session, Setup, Shared, STREAM_WINDOW,
};
use bytes::Bytes;
use cindercleat::interface::Outcome;
use cindercleat::status::{attempt_outcome, CallEnd, Code};
use cindercleat_protocol::{frame, v1, Body, VERSION};
use h2::client::SendRequest;
use http::{HeaderMap, Request};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// Starts new calls on a connection, and lets each call check which streams a GOAWAY excludes.
pub(crate) struct CallStarter {
    requests: SendRequest<Bytes>,
    goaway: Rc<GoawayState>,
}

/// The maximum number of times that the task of an ended connection yields, so that its calls can read the messages
/// received before the end.
const MAX_FINAL_YIELDS: usize = 1000;
/// The credit of a call whose token messages are not limited by credit.
const UNLIMITED_CREDIT: u32 = u32::MAX;

/// Opens a session with a peer of role `to`: performs the HTTP/2 handshake and exchanges greetings.
///
/// # Errors
/// Returns the reason as text if the peer does not speak HTTP/2 or refuses the greeting.
pub async fn connect<S>(io: S, to: v1::Party, setup: Setup) -> Result<Session, String>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut builder = h2::client::Builder::new();
    builder
        .max_header_list_size(16 << 10)
        .max_send_buffer_size(STREAM_WINDOW as usize)
        .enable_push(false);
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(connection_window(&setup));
    let (io, goaway) = GoawayDetector::new(io);
    let (requests, mut connection) = builder
        .handshake::<_, Bytes>(io)
        .await
        .map_err(|e| e.to_string())?;
    let (shared, events) = Shared::new(setup);
    *shared.pings.borrow_mut() = connection.ping_pong();
    *shared.starter.borrow_mut() = Some(CallStarter {
        requests: requests.clone(),
        goaway: goaway.clone(),
    });
    let connection_state = shared.clone();
    spawn_local(async move {
        let mut reported = false;
        loop {
            tokio::select! { biased;
                _ = &mut connection => break,
                () = goaway.received.notified(), if !reported => {
                    reported = true;
                    connection_state.send_event(Event::GoingAway);
                }
                () = async { connection_state.wait_closing().await; for _ in 0..3 { yield_now().await } } => {
                    return connection_state.end();
                }
            }
        }
        // Calls may still have unread messages from before the end. Dropping the connection ends the calls' streams, so
        // that the calls finish once they have read those messages.
        drop(connection);
        connection_state.starter.borrow_mut().take();
        for _ in 0..MAX_FINAL_YIELDS {
            if connection_state.calls.borrow().is_empty() {
                break;
            }
            yield_now().await;
        }
        connection_state.drained.set(true);
        connection_state.changed.notify_waiters();
        // After a GOAWAY, the peer closes the connection once it has sent all messages of the open calls. Calls that
        // wait for credit still have messages to forward, so the session stays open for them.
        while goaway.is_received()
            && !connection_state.calls.borrow().is_empty()
            && !connection_state.closing.get()
        {
            connection_state.changed.notified().await;
        }
        connection_state.end();
    });
    let mut guard = HandshakeGuard(Some(shared.clone()));
    let setup = &shared.setup;
    let (name, expects) = (setup.name.clone(), setup.expects.clone());
    let hello = v1::Hello {
        version: VERSION,
        party: setup.party.into(),
        name,
        expects,
        run: setup.run,
    };
    let path = call::greet_path(to);
    let greeted = async {
        let mut requests = requests.ready().await.map_err(|e| e.to_string())?;
        let (response, mut stream) = requests
            .send_request(request_head(path)?, false)
            .map_err(|e| e.to_string())?;
        send(&mut stream, encode(&hello), true)
            .await
            .map_err(|e| e.to_string())?;
        let response = response.await.map_err(|e| e.to_string())?;
        let headers = response.headers().clone();
        let max_calls = Some(requests.current_max_send_streams()).filter(|limit| *limit < 1 << 31);
        let mut messages = MessageReader::new(response.into_body(), shared.setup.max_message_bytes);
        match messages.next().await {
            Ok(bytes) => match call::decode_reply(path, bytes) {
                Ok(Some(Body::Hello(peer))) => Ok((peer, max_calls)),
                _ => Err("the peer sent no greeting".to_owned()),
            },
            Err(ReadError::EndOfStream) if headers.contains_key("grpc-message") => {
                Err(status_message(&headers))
            }
            Err(ReadError::EndOfStream) => Err("the peer sent no greeting".to_owned()),
            Err(ReadError::Malformed(reason)) => Err(reason),
            Err(ReadError::Compressed) => Err("the peer's greeting is compressed".to_owned()),
            Err(ReadError::Broken(error)) => Err(error.to_string()),
        }
    };
    match greeted.await {
        Ok((peer, max_calls)) => {
            guard.0.take();
            Ok(Session {
                peer,
                max_calls,
                events,
                out: Out { shared },
            })
        }
        Err(reason) => Err(reason),
    }
}

fn request_head(path: &str) -> Result<Request<()>, String> {
    let request = Request::post(format!("http://cindercleat{path}"));
    let request = request
        .header("content-type", "application/grpc")
        .header("te", "trailers");
    request.body(()).map_err(|e| e.to_string())
}

/// Starts the call for a body; ignores a body that starts no call.
pub(crate) fn start_call(shared: &Rc<Shared>, stream: u64, body: Body) {
    let Some(path) = call::call_path(&body) else {
        return;
    };
    let starter = shared.starter.borrow();
    let Some(starter) = starter.as_ref() else {
        // The connection accepts no new calls.
        if let Some(body) = body_for_end(path, CallEnd::NotSent.into()) {
            shared.send_event(Event::Frame(frame(stream, body)));
        }
        return;
    };
    let (sender, queue) = mpsc::unbounded_channel();
    let is_one_way = matches!(body, Body::Gossip(_));
    // A one-way call has no entry in `calls`, but a dropped queue sender would end it, so its task keeps the sender.
    let queue_sender = is_one_way.then(|| sender.clone());
    if !is_one_way {
        shared.calls.borrow_mut().insert(stream, sender);
    }
    let (shared, requests, goaway) = (
        shared.clone(),
        starter.requests.clone(),
        starter.goaway.clone(),
    );
    spawn_local(async move {
        let end = run_call(&shared, stream, path, body, (requests, goaway), queue).await;
        drop(queue_sender);
        if !is_one_way {
            shared.calls.borrow_mut().remove(&stream);
            shared.changed.notify_waiters();
            if let Some(body) = end.and_then(|end| body_for_end(path, end)) {
                shared.send_event(Event::Frame(frame(stream, body)));
            }
        }
    });
}

/// Runs a call to its end. Returns how the call ended if the peer sent no message that ends it.
async fn run_call(
    shared: &Rc<Shared>,
    stream: u64,
    path: &'static str,
    body: Body,
    (requests, goaway): (SendRequest<Bytes>, Rc<GoawayState>),
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
) -> Option<EndWithoutReply> {
    let mut credit = match &body {
        Body::Decode(decode) => decode.window,
        _ => UNLIMITED_CREDIT,
    };
    let not_sent = || Some(EndWithoutReply::from(CallEnd::NotSent));
    // No byte of a call is sent while the call waits for a free stream, so a call that is cancelled then did not run.
    let ready = tokio::select! { biased;
        _ = wait_cancelled(shared, &mut queue, &mut credit) => return not_sent(),
        ready = requests.ready() => ready,
    };
    let (Ok(mut requests), Ok(head)) = (ready, request_head(path)) else {
        return not_sent();
    };
    let Ok((response, mut request_stream)) = requests.send_request(head, false) else {
        return not_sent();
    };
    let id = request_stream.stream_id().as_u32();
    // A call that the GOAWAY excludes did not run, whatever error the call itself ends with.
    let classify = |end: CallEnd| match end {
        _ if goaway.is_beyond_last_stream(id) => CallEnd::BeyondLastStream,
        // After a GOAWAY the end of the connection is expected. It fails this call, but it is not a
        // connection loss and tells nothing about the health of the engine.
        CallEnd::ConnectionLost if goaway.is_received() => CallEnd::Status {
            code: Code::Unavailable,
            never_ran: false,
        },
        end => end,
    };
    let bytes = match &body {
        Body::Submit(m) => encode(m),
        Body::Prefill(m) => encode(m),
        Body::Decode(m) => encode(m),
        Body::Release(m) => encode(m),
        Body::HealthCheck(m) => encode(m),
        Body::Reserve(m) => encode(m),
        Body::Fetch(m) => encode(m),
        Body::WatchEndpoints(m) => encode(m),
        Body::Gossip(m) => encode(m),
        Body::FleetCall(m) => encode(m),
        _ => return not_sent(),
    };
    tokio::pin!(response);
    // The response may arrive before the whole request is sent, for example if the request is too large.
    let started = tokio::select! { biased;
        response = &mut response => Ok(response),
        end = wait_cancelled(shared, &mut queue, &mut credit) => Err(end),
        _ = send(&mut request_stream, bytes, true) => tokio::select! { biased;
            response = &mut response => Ok(response),
            end = wait_cancelled(shared, &mut queue, &mut credit) => Err(end),
        },
    };
    let response = match started {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Some(classify(end_from_h2(&error)).into()),
        Err(end) => {
            request_stream.send_reset(h2::Reason::CANCEL);
            return Some(classify(end).into());
        }
    };
    let headers = response.headers().clone();
    let mut messages = MessageReader::new(response.into_body(), shared.setup.max_message_bytes);
    loop {
        // Without credit no message is read, so the sender's window fills and the sender waits.
        let next = tokio::select! { biased;
            outgoing = queue.recv() => {
                if let Some(Outgoing::Body(Body::Credit(added))) = outgoing {
                    credit = credit.saturating_add(added.messages);
                    continue;
                }
                match local_end(outgoing) {
                    Some(end) => {
                        request_stream.send_reset(h2::Reason::CANCEL);
                        return Some(end.into());
                    }
                    None => continue,
                }
            }
            next = messages.next(), if credit > 0 => next,
            () = shared.wait_drained(), if credit > 0 => return Some(classify(CallEnd::ConnectionLost).into()),
        };
        match next {
            Ok(bytes) => match call::decode_reply(path, bytes) {
                Ok(Some(body)) => {
                    if let Body::Tokens(_) = body {
                        credit = credit.saturating_sub(u32::from(credit != UNLIMITED_CREDIT));
                    }
                    let is_final = matches!(
                        body,
                        Body::Ended(_)
                            | Body::Final(_)
                            | Body::Load(_)
                            | Body::Reservation(_)
                            | Body::State(_)
                            | Body::Done(_)
                            | Body::FleetAnswer(_)
                    );
                    if is_final {
                        shared.calls.borrow_mut().remove(&stream);
                    }
                    shared.send_event(Event::Frame(frame(stream, body)));
                    if is_final {
                        return None;
                    }
                }
                Ok(None) => {}
                Err(_) => {
                    request_stream.send_reset(h2::Reason::INTERNAL_ERROR);
                    return Some(CallEnd::EndedWithoutStatus.into());
                }
            },
            Err(ReadError::EndOfStream) => {
                let trailers = messages.stream().trailers().await.ok().flatten();
                let status = trailers.as_ref().unwrap_or(&headers);
                let field = invalid_field(status);
                return Some(EndWithoutReply {
                    end: end_from_status(status),
                    message: status_message(status),
                    field,
                });
            }
            Err(ReadError::Broken(error)) => return Some(classify(end_from_h2(&error)).into()),
            Err(ReadError::Malformed(_) | ReadError::Compressed) => {
                request_stream.send_reset(h2::Reason::INTERNAL_ERROR);
                return Some(CallEnd::EndedWithoutStatus.into());
            }
        }
    }
}

/// Waits until the call is cancelled or its connection is drained; adds the credit that is granted during the wait.
async fn wait_cancelled(
    shared: &Shared,
    queue: &mut mpsc::UnboundedReceiver<Outgoing>,
    credit: &mut u32,
) -> CallEnd {
    loop {
        let outgoing = tokio::select! { biased;
            outgoing = queue.recv() => outgoing,
            () = shared.wait_drained() => return CallEnd::ConnectionLost,
        };
        if let Some(Outgoing::Body(Body::Credit(added))) = outgoing {
            *credit = credit.saturating_add(added.messages);
        } else if let Some(end) = local_end(outgoing) {
            return end;
        }
    }
}

/// The end of a call that a queued item causes; `None` if the item does not end the call.
fn local_end(outgoing: Option<Outgoing>) -> Option<CallEnd> {
    match outgoing {
        Some(Outgoing::Body(Body::Cancel(_)) | Outgoing::Reset(_)) => Some(CallEnd::Status {
            code: Code::Cancelled,
            never_ran: false,
        }),
        Some(Outgoing::Body(_)) => None,
        None => Some(CallEnd::ConnectionLost),
    }
}

/// The end of a call without a final message, with the message and the invalid field of its status.
struct EndWithoutReply {
    end: CallEnd,
    message: String,
    field: Option<(String, String)>,
}

impl From<CallEnd> for EndWithoutReply {
    fn from(end: CallEnd) -> Self {
        EndWithoutReply {
            end,
            message: String::new(),
            field: None,
        }
    }
}

/// Classifies an HTTP/2 error as a reset of the call or a loss of the connection.
fn end_from_h2(error: &h2::Error) -> CallEnd {
    match error.reason() {
        Some(reason) if error.is_reset() => CallEnd::Reset(u32::from(reason)),
        _ => CallEnd::ConnectionLost,
    }
}

/// Derives the end of a call from the gRPC status in its trailers; [`CallEnd::EndedWithoutStatus`] if the trailers
/// hold no status number.
fn end_from_status(headers: &HeaderMap) -> CallEnd {
    let number = headers
        .get("grpc-status")
        .and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
    match number {
        Some(number) => {
            let never_ran = headers.get("cindercleat-ran").is_some_and(|v| v == "no");
            CallEnd::Status {
                code: Code::from_number(number),
                never_ran,
            }
        }
        None => CallEnd::EndedWithoutStatus,
    }
}

/// The body that reports the end of a call without a final message; `None` if the end of the session, which follows,
/// reports it.
fn body_for_end(
    path: &str,
    EndWithoutReply {
        end,
        message,
        field,
    }: EndWithoutReply,
) -> Option<Body> {
    // Reasons are logged and sent to peers, so these texts stay the same if a variant is renamed.
    let end_text = match end {
        CallEnd::BeyondLastStream => "BeyondLast".to_owned(),
        CallEnd::EndedWithoutStatus => "Nothing".to_owned(),
        end => format!("{end:?}"),
    };
    let reason = if message.is_empty() {
        end_text
    } else {
        format!("{end_text}: {message}")
    };
    let ended = |status: v1::Status| {
        let reason = reason.clone();
        Some(Body::Ended(v1::Ended {
            status: status.into(),
            reason,
            ..v1::Ended::default()
        }))
    };
    match (path.strip_prefix("/cindercleat.v1.")?, end) {
        (
            "Host/Read" | "Host/Write",
            CallEnd::Status {
                code: Code::Cancelled,
                ..
            },
        ) => ended(v1::Status::Cancelled),
        ("Host/Read" | "Host/Write", end) => match attempt_outcome(end) {
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent => {
                ended(v1::Status::Overloaded)
            }
            // The end of the session reports the lost connection for all its calls.
            _ if end == CallEnd::ConnectionLost => None,
            _ => ended(v1::Status::Failed),
        },
        (
            "Router/Run",
            CallEnd::Status {
                code: Code::InvalidArgument,
                ..
            },
        ) => {
            let (field, reason) = field.unwrap_or((String::new(), message));
            Some(Body::InvalidRequest(v1::InvalidRequest { field, reason }))
        }
        _ => {
            let never_ran = matches!(
                attempt_outcome(end),
                Outcome::Overloaded | Outcome::Unreachable
            );
            Some(Body::Goodbye(v1::Goodbye { reason, never_ran }))
        }
    }
}
