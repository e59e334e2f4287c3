//! The serving side of a connection: the handshake, and one task per call.

use crate::call;
use crate::details::CallEnding;
use crate::message::{encode, send, MessageReader, ReadError};
use crate::{
    connection_window, Event, HandshakeGuard, Out, Outgoing, Session, Setup, Shared, STREAM_WINDOW,
};
use bytes::Bytes;
use cindercleat::status::{ClientAnswer, Code};
use cindercleat_protocol::{frame, v1, Body, VERSION};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderValue, Request, Response};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, yield_now};

/// The number of times that a closing connection yields after its calls have ended, so that their last messages are
/// written.
const FINAL_YIELDS: usize = 16;
/// The maximum number of times that a closing connection yields while it waits for its calls to end.
const MAX_FINAL_YIELDS: usize = 10_000;

/// The peer's greeting, shared between the calls of a connection and the task that waits for the session to start.
#[derive(Default)]
struct Greeting {
    hello: Cell<Option<v1::Hello>>,
    /// Signals the first greeting or call, or the end of the connection.
    arrived: Notify,
}

/// Serves a connection. Returns the session once the peer has greeted or made its first call; a peer that does not
/// greet is taken for a client without a name.
///
/// # Errors
/// Returns the reason as text if the peer does not speak HTTP/2 or the connection ends before its first call.
pub async fn serve<S>(io: S, setup: Setup) -> Result<Session, String>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(setup.max_concurrent_calls)
        .max_header_list_size(16 << 10);
    builder.max_send_buffer_size(STREAM_WINDOW as usize);
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(connection_window(&setup));
    let mut connection = builder
        .handshake::<_, Bytes>(io)
        .await
        .map_err(|e| e.to_string())?;
    let (shared, events) = Shared::new(setup);
    *shared.pings.borrow_mut() = connection.ping_pong();
    let greeting: Rc<Greeting> = Rc::default();
    let connection_state = (shared.clone(), greeting.clone());
    spawn_local(async move {
        let (shared, greeting) = connection_state;
        let (mut call_count, mut is_leaving) = (0, false);
        loop {
            let accepted = tokio::select! { biased;
                accepted = connection.accept() => accepted,
                () = shared.wait_leaving(), if !is_leaving => {
                    is_leaving = true;
                    connection.graceful_shutdown();
                    continue;
                }
                () = shared.wait_closing() => {
                    // Open calls are aborted. Messages that are already queued are still written, if the peer reads
                    // them soon.
                    shared.calls.borrow_mut().clear();
                    let mut yields_left = FINAL_YIELDS;
                    for _ in 0..MAX_FINAL_YIELDS {
                        tokio::select! { biased;
                            accepted = connection.accept() => match accepted {
                                Some(Ok((_, mut respond))) => respond.send_reset(h2::Reason::REFUSED_STREAM),
                                _ => break,
                            },
                            () = yield_now() => {}
                        }
                        // Counts only the yields after all calls have ended.
                        yields_left -= usize::from(shared.open_served_calls.get() == 0);
                        if yields_left == 0 {
                            break;
                        }
                    }
                    connection.abrupt_shutdown(h2::Reason::NO_ERROR);
                    for _ in 0..FINAL_YIELDS {
                        tokio::select! { biased;
                            accepted = connection.accept() => if accepted.is_none() { break },
                            () = yield_now() => {}
                        }
                    }
                    break;
                }
            };
            let Some(Ok((request, respond))) = accepted else {
                break;
            };
            call_count += 1;
            shared
                .open_served_calls
                .set(shared.open_served_calls.get() + 1);
            let (shared, greeting) = (shared.clone(), greeting.clone());
            spawn_local(async move {
                serve_call(shared.clone(), greeting, call_count, request, respond).await;
                shared
                    .open_served_calls
                    .set(shared.open_served_calls.get() - 1);
            });
        }
        shared.end();
        greeting.arrived.notify_one();
    });
    // A peer may connect and send no call. If the future of `serve` is then dropped, for example by a timeout, the
    // guard closes the connection.
    let mut guard = HandshakeGuard(Some(shared.clone()));
    // The session starts with the first greeting or call, which identifies the peer.
    greeting.arrived.notified().await;
    match greeting.hello.take() {
        Some(peer) => {
            guard.0.take();
            Ok(Session {
                peer,
                max_calls: None,
                events,
                out: Out { shared },
            })
        }
        None => Err("the connection ended before its first call".to_owned()),
    }
}

/// Serves one call of the peer until the call ends. `number` is the call's stream number in frames.
async fn serve_call(
    shared: Rc<Shared>,
    greeting: Rc<Greeting>,
    number: u64,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let path = request.uri().path().to_owned();
    let timeout = request
        .headers()
        .get("grpc-timeout")
        .and_then(|v| timeout_ms(v.to_str().ok()?));
    let content_type = request
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok());
    if !content_type.is_some_and(|kind| kind.starts_with("application/grpc")) {
        let mut response = Response::new(());
        *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = respond.send_response(response, true);
        return;
    }
    let mut messages = MessageReader::new(request.into_body(), shared.setup.max_message_bytes);
    let body = match messages.next().await {
        Ok(bytes) => match call::decode_request(&path, bytes) {
            Some(Ok(body)) => Ok(body),
            Some(Err(error)) => Err((Code::InvalidArgument, error.to_string())),
            None => Err((Code::Unimplemented, format!("there is no call {path}"))),
        },
        Err(ReadError::Malformed(reason)) => Err((Code::InvalidArgument, reason)),
        Err(ReadError::Compressed) => Err((
            Code::Unimplemented,
            "compressed messages are not taken".to_owned(),
        )),
        Err(ReadError::EndOfStream) => Err((Code::InvalidArgument, "no message".to_owned())),
        Err(ReadError::Broken(_)) => return,
    };
    let mut body = match body {
        Ok(body) => body,
        Err((code, reason)) => return refuse(&mut respond, code, &reason),
    };
    if let Body::Hello(hello) = body {
        return greet(&shared, &greeting, hello, respond).await;
    }
    if let (Body::Submit(submit), Some(timeout)) = (&mut body, timeout) {
        // The gRPC deadline applies if it is earlier than the deadline in the message.
        let requested = if submit.time_to_deadline_ms > 0.0 {
            submit.time_to_deadline_ms
        } else {
            f64::INFINITY
        };
        submit.time_to_deadline_ms = requested.min(timeout);
    }
    record_greeting(
        &greeting,
        v1::Hello {
            version: VERSION,
            party: v1::Party::Client.into(),
            ..v1::Hello::default()
        },
    );
    let (sender, queue) = mpsc::unbounded_channel();
    shared.calls.borrow_mut().insert(number, sender);
    // Gossip is acknowledged here, because the dispatcher does not answer it.
    let is_gossip = matches!(body, Body::Gossip(_));
    shared.send_event(Event::Frame(frame(number, body)));
    let head = Response::builder()
        .status(200)
        .header("content-type", "application/grpc")
        .body(());
    let stream = head
        .ok()
        .and_then(|head| respond.send_response(head, false).ok());
    if let Some(mut response_stream) = stream {
        if is_gossip {
            let _ = send(&mut response_stream, encode(&v1::Done {}), false).await;
            send_trailers(&mut response_stream, &CallEnding::plain(Code::Ok, ""));
        } else {
            send_replies(&shared, number, &path, queue, &mut response_stream).await;
        }
    }
    shared.calls.borrow_mut().remove(&number);
}

/// Sends the replies of a call until the call ends or its caller resets it.
async fn send_replies(
    shared: &Shared,
    number: u64,
    path: &str,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    response_stream: &mut SendStream<Bytes>,
) {
    loop {
        let next = tokio::select! { biased;
            _ = poll_fn(|cx| response_stream.poll_reset(cx)) => {
                return shared.send_event(Event::Frame(frame(number, Body::Cancel(v1::Cancel {}))));
            }
            next = queue.recv() => next,
        };
        let body = match next {
            Some(Outgoing::Body(body)) => body,
            Some(Outgoing::Reset(code)) => return response_stream.send_reset(code.into()),
            // The call was accepted and may have run, so its status must not invite a retry.
            None => {
                return send_trailers(
                    response_stream,
                    &CallEnding::answered(ClientAnswer::Failed, 0.0, "the connection closes"),
                )
            }
        };
        let holds_tokens = matches!(body, Body::Tokens(_));
        // A body that does not belong to this call is ignored.
        let Some(reply) = call::encode_reply(path, body) else {
            continue;
        };
        if let Some(bytes) = reply.message {
            if send(response_stream, bytes, false).await.is_err() {
                return shared.send_event(Event::Frame(frame(number, Body::Cancel(v1::Cancel {}))));
            }
            if holds_tokens {
                shared.send_event(Event::MessagesWritten {
                    stream: number,
                    messages: 1,
                });
            }
        }
        if let Some(ending) = reply.ending {
            return send_trailers(response_stream, &ending);
        }
    }
}

/// Records the peer's identity, unless one is recorded already, and starts the session.
fn record_greeting(greeting: &Greeting, hello: v1::Hello) {
    greeting
        .hello
        .set(Some(greeting.hello.take().unwrap_or(hello)));
    greeting.arrived.notify_one();
}

/// Answers a greeting, or refuses it if the version or the expected name does not match.
async fn greet(
    shared: &Shared,
    greeting: &Greeting,
    hello: v1::Hello,
    mut respond: SendResponse<Bytes>,
) {
    let setup = &shared.setup;
    if hello.version != VERSION {
        let reason = format!("unsupported version {}, expected {VERSION}", hello.version);
        return refuse(&mut respond, Code::FailedPrecondition, &reason);
    }
    if !hello.expects.is_empty() && hello.expects != setup.name {
        let reason = format!("this is {}, not {}", setup.name, hello.expects);
        return refuse(&mut respond, Code::FailedPrecondition, &reason);
    }
    let head = Response::builder()
        .status(200)
        .header("content-type", "application/grpc")
        .body(());
    let Some(mut response_stream) = head
        .ok()
        .and_then(|head| respond.send_response(head, false).ok())
    else {
        return;
    };
    let (name, expects) = (setup.name.clone(), String::new());
    let our_hello = v1::Hello {
        version: VERSION,
        party: setup.party.into(),
        name,
        expects,
        run: setup.run,
    };
    if send(&mut response_stream, encode(&our_hello), false)
        .await
        .is_ok()
    {
        send_trailers(&mut response_stream, &CallEnding::plain(Code::Ok, ""));
        record_greeting(greeting, hello);
    }
}

/// Sends the trailers with a call's status, which end the call.
fn send_trailers(response_stream: &mut SendStream<Bytes>, ending: &CallEnding) {
    // Sending fails only if the stream was reset, and then no status is needed.
    let _ = response_stream.send_trailers(ending.headers());
}

/// Refuses a call with a response that consists of trailers only.
fn refuse(respond: &mut SendResponse<Bytes>, code: Code, reason: &str) {
    let mut response = Response::new(());
    *response.headers_mut() = CallEnding::refused(code, reason).headers();
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    let _ = respond.send_response(response, true);
}

/// Parses a `grpc-timeout` header, at most eight digits and a unit, into milliseconds.
pub(crate) fn timeout_ms(text: &str) -> Option<f64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "H" => 3_600_000.0,
        "M" => 60_000.0,
        "S" => 1000.0,
        "m" => 1.0,
        "u" => 1e-3,
        "n" => 1e-6,
        _ => return None,
    };
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    digits.parse::<f64>().ok().map(|n| n * scale)
}
