//! The answering side of a connection.

use crate::call;
use crate::details::Ending;
use crate::message::{encode, send, Messages, Stop};
use crate::{connection_window, Event, Out, Said, Session, Setup, Shared, Unmet, STREAM_WINDOW};
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

/// Turns of the thread that a connection's last words get to be written, and to be said.
const LAST_TURNS: usize = 16;
const MOST_LAST_TURNS: usize = 10_000;

/// Serves a connection. Gives the session once the other side has greeted or made its first call; a peer that
/// does not greet is a client without a name.
///
/// # Errors
/// The bytes are not HTTP/2, or the connection ended before anything was asked.
pub async fn serve<S>(io: S, setup: Setup) -> Result<Session, String>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(setup.most_calls)
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
    let greeted: Rc<(Cell<Option<v1::Hello>>, Notify)> = Rc::default();
    let driving = (shared.clone(), greeted.clone());
    spawn_local(async move {
        let (shared, greeted) = driving;
        let (mut calls, mut gone) = (0, false);
        loop {
            let accepted = tokio::select! { biased;
                accepted = connection.accept() => accepted,
                () = shared.left(), if !gone => {
                    gone = true;
                    connection.graceful_shutdown();
                    continue;
                }
                () = shared.closed() => {
                    // What was answered goes out, as far as the peer takes it soon; what is open is cut off.
                    shared.calls.borrow_mut().clear();
                    let mut left = LAST_TURNS;
                    for _ in 0..MOST_LAST_TURNS {
                        tokio::select! { biased;
                            accepted = connection.accept() => match accepted {
                                Some(Ok((_, mut respond))) => respond.send_reset(h2::Reason::REFUSED_STREAM),
                                _ => break,
                            },
                            () = yield_now() => {}
                        }
                        // Once all calls have said their last, some turns more to write it.
                        left -= usize::from(shared.answering.get() == 0);
                        if left == 0 {
                            break;
                        }
                    }
                    connection.abrupt_shutdown(h2::Reason::NO_ERROR);
                    for _ in 0..LAST_TURNS {
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
            calls += 1;
            shared.answering.set(shared.answering.get() + 1);
            let (to, greeted) = (shared.clone(), greeted.clone());
            spawn_local(async move {
                answer(to.clone(), greeted, calls, request, respond).await;
                to.answering.set(to.answering.get() - 1);
            });
        }
        shared.end();
        greeted.1.notify_one();
    });
    // Guards against peers that connect and ask nothing: whoever waits here may stop waiting.
    let mut unmet = Unmet(Some(shared.clone()));
    // The session begins with whom it is with.
    greeted.1.notified().await;
    match greeted.0.take() {
        Some(them) => {
            unmet.0.take();
            Ok(Session {
                them,
                limit: None,
                events,
                out: Out { shared },
            })
        }
        None => Err("nothing was asked".to_owned()),
    }
}

async fn answer(
    shared: Rc<Shared>,
    greeted: Rc<(Cell<Option<v1::Hello>>, Notify)>,
    number: u64,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let path = request.uri().path().to_owned();
    let timeout = request
        .headers()
        .get("grpc-timeout")
        .and_then(|v| timeout_ms(v.to_str().ok()?));
    let spoken = request
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok());
    if !spoken.is_some_and(|kind| kind.starts_with("application/grpc")) {
        let mut response = Response::new(());
        *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = respond.send_response(response, true);
        return;
    }
    let mut messages = Messages::new(request.into_body(), shared.setup.most_message);
    let body = match messages.next().await {
        Ok(bytes) => match call::request(&path, bytes) {
            Some(Ok(body)) => Ok(body),
            Some(Err(problem)) => Err((Code::InvalidArgument, problem.to_string())),
            None => Err((Code::Unimplemented, format!("there is no call {path}"))),
        },
        Err(Stop::Malformed(why)) => Err((Code::InvalidArgument, why)),
        Err(Stop::Compressed) => Err((
            Code::Unimplemented,
            "compressed messages are not taken".to_owned(),
        )),
        Err(Stop::End) => Err((Code::InvalidArgument, "no message".to_owned())),
        Err(Stop::Broken(_)) => return,
    };
    let mut body = match body {
        Ok(body) => body,
        Err((code, why)) => return refuse(&mut respond, code, &why),
    };
    if let Body::Hello(hello) = body {
        return greet(&shared, &greeted, hello, respond).await;
    }
    if let (Body::Submit(submit), Some(timeout)) = (&mut body, timeout) {
        // The call's deadline is the client's time to deadline.
        let asked = if submit.time_to_deadline_ms > 0.0 {
            submit.time_to_deadline_ms
        } else {
            f64::INFINITY
        };
        submit.time_to_deadline_ms = asked.min(timeout);
    }
    meet(
        &greeted,
        v1::Hello {
            version: VERSION,
            party: v1::Party::Client.into(),
            ..v1::Hello::default()
        },
    );
    let (to, queue) = mpsc::unbounded_channel();
    shared.calls.borrow_mut().insert(number, to);
    // What peers tell needs no word from whoever it is for.
    let peer = matches!(body, Body::Gossip(_));
    shared.tell(Event::Frame(frame(number, body)));
    let head = Response::builder()
        .status(200)
        .header("content-type", "application/grpc")
        .body(());
    let began = head
        .ok()
        .and_then(|head| respond.send_response(head, false).ok());
    if let Some(mut to) = began {
        if peer {
            let _ = send(&mut to, encode(&v1::Done {}), false).await;
            end(&mut to, &Ending::plain(Code::Ok, ""));
        } else {
            reply(&shared, number, &path, queue, &mut to).await;
        }
    }
    shared.calls.borrow_mut().remove(&number);
}

/// Sends what is said on a call until its end, or until its caller resets it.
async fn reply(
    shared: &Shared,
    number: u64,
    path: &str,
    mut queue: mpsc::UnboundedReceiver<Said>,
    to: &mut SendStream<Bytes>,
) {
    loop {
        let next = tokio::select! { biased;
            _ = poll_fn(|cx| to.poll_reset(cx)) => {
                return shared.tell(Event::Frame(frame(number, Body::Cancel(v1::Cancel {}))));
            }
            next = queue.recv() => next,
        };
        let body = match next {
            Some(Said::Body(body)) => body,
            Some(Said::Reset(code)) => return to.send_reset(code.into()),
            // It was taken and has no answer: whoever asked must not take it for one to try again.
            None => {
                return end(
                    to,
                    &Ending::told(ClientAnswer::Failed, 0.0, "the connection closes"),
                )
            }
        };
        let tokens = matches!(body, Body::Tokens(_));
        // What does not belong on this call is passed over.
        let Some(back) = call::back(path, body) else {
            continue;
        };
        if let Some(bytes) = back.message {
            if send(to, bytes, false).await.is_err() {
                return shared.tell(Event::Frame(frame(number, Body::Cancel(v1::Cancel {}))));
            }
            if tokens {
                shared.tell(Event::Flushed {
                    stream: number,
                    messages: 1,
                });
            }
        }
        if let Some(ending) = back.end {
            return end(to, &ending);
        }
    }
}

fn meet(greeted: &Rc<(Cell<Option<v1::Hello>>, Notify)>, hello: v1::Hello) {
    greeted.0.set(Some(greeted.0.take().unwrap_or(hello)));
    greeted.1.notify_one();
}

async fn greet(
    shared: &Shared,
    greeted: &Rc<(Cell<Option<v1::Hello>>, Notify)>,
    hello: v1::Hello,
    mut respond: SendResponse<Bytes>,
) {
    let setup = &shared.setup;
    if hello.version != VERSION {
        let why = format!("a version {} where {VERSION} is spoken", hello.version);
        return refuse(&mut respond, Code::FailedPrecondition, &why);
    }
    if !hello.expects.is_empty() && hello.expects != setup.name {
        let why = format!("this is {}, not {}", setup.name, hello.expects);
        return refuse(&mut respond, Code::FailedPrecondition, &why);
    }
    let head = Response::builder()
        .status(200)
        .header("content-type", "application/grpc")
        .body(());
    let Some(mut to) = head
        .ok()
        .and_then(|head| respond.send_response(head, false).ok())
    else {
        return;
    };
    let (name, expects) = (setup.name.clone(), String::new());
    let us = v1::Hello {
        version: VERSION,
        party: setup.party.into(),
        name,
        expects,
        run: setup.run,
    };
    if send(&mut to, encode(&us), false).await.is_ok() {
        end(&mut to, &Ending::plain(Code::Ok, ""));
        meet(greeted, hello);
    }
}

/// Trailers that end a call.
fn end(to: &mut SendStream<Bytes>, ending: &Ending) {
    // A stream that was reset meanwhile takes no trailers.
    let _ = to.send_trailers(ending.headers());
}

/// An answer of trailers only.
fn refuse(respond: &mut SendResponse<Bytes>, code: Code, why: &str) {
    let mut response = Response::new(());
    *response.headers_mut() = Ending::refused(code, why).headers();
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    let _ = respond.send_response(response, true);
}

/// gRPC's way of writing a time limit: at most eight digits and a unit.
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
