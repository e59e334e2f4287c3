//! The calling side of a connection.

use crate::call;
use crate::details::{field_of, message_of};
use crate::message::{encode, send, Messages, Stop};
use crate::watch::{Seen, Watched};
use crate::{connection_window, Event, Out, Said, Session, Setup, Shared, Unmet, STREAM_WINDOW};
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

/// What new calls are begun with.
pub(crate) struct Begin {
    requests: SendRequest<Bytes>,
    seen: Rc<Seen>,
}

/// Turns of the thread that calls get to take in what came before their connection's end.
const LAST_TURNS: usize = 1000;
/// Credit of a call: token messages that may still be taken from the other side.
const UNBOUNDED: u32 = u32::MAX;

/// Connects: greets whoever is there and gives the session.
///
/// # Errors
/// The bytes that come are not HTTP/2, or the greeting is refused, with the reason.
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
    let (io, seen) = Watched::new(io);
    let (requests, mut connection) = builder
        .handshake::<_, Bytes>(io)
        .await
        .map_err(|e| e.to_string())?;
    let (shared, events) = Shared::new(setup);
    *shared.pings.borrow_mut() = connection.ping_pong();
    *shared.begin.borrow_mut() = Some(Begin {
        requests: requests.clone(),
        seen: seen.clone(),
    });
    let driving = shared.clone();
    spawn_local(async move {
        let mut told = false;
        loop {
            tokio::select! { biased;
                _ = &mut connection => break,
                () = seen.came.notified(), if !told => {
                    told = true;
                    driving.tell(Event::GoingAway);
                }
                () = async { driving.closed().await; for _ in 0..3 { yield_now().await } } => {
                    return driving.end();
                }
            }
        }
        // What came before the end is taken in yet: last words lie unread with their calls. Streams end with
        // the connection, so it must not be kept meanwhile.
        drop(connection);
        driving.begin.borrow_mut().take();
        for _ in 0..LAST_TURNS {
            if driving.calls.borrow().is_empty() {
                break;
            }
            yield_now().await;
        }
        driving.dry.set(true);
        driving.close.notify_waiters();
        // One that ended in order has all that its calls were sent; some wait for credit to hand it on.
        while seen.leaving() && !driving.calls.borrow().is_empty() && !driving.closing.get() {
            driving.close.notified().await;
        }
        driving.end();
    });
    let mut unmet = Unmet(Some(shared.clone()));
    let us = &shared.setup;
    let (name, expects) = (us.name.clone(), us.expects.clone());
    let hello = v1::Hello {
        version: VERSION,
        party: us.party.into(),
        name,
        expects,
        run: us.run,
    };
    let path = call::greet_path(to);
    let greeted = async {
        let mut requests = requests.ready().await.map_err(|e| e.to_string())?;
        let (response, mut stream) = requests
            .send_request(head(path)?, false)
            .map_err(|e| e.to_string())?;
        send(&mut stream, encode(&hello), true)
            .await
            .map_err(|e| e.to_string())?;
        let response = response.await.map_err(|e| e.to_string())?;
        let headers = response.headers().clone();
        let limit = Some(requests.current_max_send_streams()).filter(|limit| *limit < 1 << 31);
        let mut messages = Messages::new(response.into_body(), shared.setup.most_message);
        match messages.next().await {
            Ok(bytes) => match call::reply(path, bytes) {
                Ok(Some(Body::Hello(them))) => Ok((them, limit)),
                _ => Err("no greeting".to_owned()),
            },
            Err(Stop::End) if headers.contains_key("grpc-message") => Err(message_of(&headers)),
            Err(Stop::End) => Err("no greeting".to_owned()),
            Err(Stop::Malformed(why)) => Err(why),
            Err(Stop::Compressed) => Err("a compressed greeting".to_owned()),
            Err(Stop::Broken(problem)) => Err(problem.to_string()),
        }
    };
    match greeted.await {
        Ok((them, limit)) => {
            unmet.0.take();
            Ok(Session {
                them,
                limit,
                events,
                out: Out { shared },
            })
        }
        Err(why) => Err(why),
    }
}

fn head(path: &str) -> Result<Request<()>, String> {
    let request = Request::post(format!("http://cindercleat{path}"));
    let request = request
        .header("content-type", "application/grpc")
        .header("te", "trailers");
    request.body(()).map_err(|e| e.to_string())
}

/// Begins the call that a body stands for; a body that begins none is passed over.
pub(crate) fn begin(shared: &Rc<Shared>, stream: u64, body: Body) {
    let Some(path) = call::path(&body) else {
        return;
    };
    let begin = shared.begin.borrow();
    let Some(begin) = begin.as_ref() else {
        // The connection takes no more calls.
        if let Some(body) = word(path, CallEnd::NotSent.into()) {
            shared.tell(Event::Frame(frame(stream, body)));
        }
        return;
    };
    let (to, queue) = mpsc::unbounded_channel();
    let quiet = matches!(body, Body::Gossip(_));
    // A call that nobody waits for is open until it is over, too: its sender must not be dropped before.
    let held = quiet.then(|| to.clone());
    if !quiet {
        shared.calls.borrow_mut().insert(stream, to);
    }
    let (shared, requests, seen) = (shared.clone(), begin.requests.clone(), begin.seen.clone());
    spawn_local(async move {
        let last = run(&shared, stream, path, body, (requests, seen), queue).await;
        drop(held);
        if !quiet {
            shared.calls.borrow_mut().remove(&stream);
            shared.close.notify_waiters();
            if let Some(body) = last.and_then(|last| word(path, last)) {
                shared.tell(Event::Frame(frame(stream, body)));
            }
        }
    });
}

/// Runs a call to its end. Gives how it ended if the other side gave no last word.
async fn run(
    shared: &Rc<Shared>,
    stream: u64,
    path: &'static str,
    body: Body,
    (requests, seen): (SendRequest<Bytes>, Rc<Seen>),
    mut queue: mpsc::UnboundedReceiver<Said>,
) -> Option<Last> {
    let mut credit = match &body {
        Body::Decode(write) => write.window,
        _ => UNBOUNDED,
    };
    let not_sent = || Some(Last::from(CallEnd::NotSent));
    // A call may be called off while it waits for its turn: nothing of it has gone out.
    let ready = tokio::select! { biased;
        _ = cancelled(shared, &mut queue, &mut credit) => return not_sent(),
        ready = requests.ready() => ready,
    };
    let (Ok(mut requests), Ok(head)) = (ready, head(path)) else {
        return not_sent();
    };
    let Ok((response, mut to)) = requests.send_request(head, false) else {
        return not_sent();
    };
    let id = to.stream_id().as_u32();
    // What the other side says that it did not take has not run, in whatever words the call ends.
    let ended = |end: CallEnd| match end {
        _ if seen.beyond(id) => CallEnd::BeyondLast,
        // The connection was on its way out, and says nothing of the engine: the call ends alone.
        CallEnd::ConnectionLost if seen.leaving() => CallEnd::Status {
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
    // An answer may come before all is sent: a message that is too large.
    let begun = tokio::select! { biased;
        response = &mut response => Ok(response),
        end = cancelled(shared, &mut queue, &mut credit) => Err(end),
        _ = send(&mut to, bytes, true) => tokio::select! { biased;
            response = &mut response => Ok(response),
            end = cancelled(shared, &mut queue, &mut credit) => Err(end),
        },
    };
    let response = match begun {
        Ok(Ok(response)) => response,
        Ok(Err(problem)) => return Some(ended(end_of(&problem)).into()),
        Err(end) => {
            to.send_reset(h2::Reason::CANCEL);
            return Some(ended(end).into());
        }
    };
    let headers = response.headers().clone();
    let mut messages = Messages::new(response.into_body(), shared.setup.most_message);
    loop {
        // A message that there is no credit for is not taken: its sender's window fills, and it waits.
        let next = tokio::select! { biased;
            said = queue.recv() => {
                if let Some(Said::Body(Body::Credit(more))) = said {
                    credit = credit.saturating_add(more.messages);
                    continue;
                }
                match call_end(said) {
                    Some(end) => {
                        to.send_reset(h2::Reason::CANCEL);
                        return Some(end.into());
                    }
                    None => continue,
                }
            }
            next = messages.next(), if credit > 0 => next,
            () = shared.ran_dry(), if credit > 0 => return Some(ended(CallEnd::ConnectionLost).into()),
        };
        match next {
            Ok(bytes) => match call::reply(path, bytes) {
                Ok(Some(body)) => {
                    if let Body::Tokens(_) = body {
                        credit = credit.saturating_sub(u32::from(credit != UNBOUNDED));
                    }
                    let last = matches!(
                        body,
                        Body::Ended(_)
                            | Body::Final(_)
                            | Body::Load(_)
                            | Body::Reservation(_)
                            | Body::State(_)
                            | Body::Done(_)
                            | Body::FleetAnswer(_)
                    );
                    if last {
                        shared.calls.borrow_mut().remove(&stream);
                    }
                    shared.tell(Event::Frame(frame(stream, body)));
                    if last {
                        return None;
                    }
                }
                Ok(None) => {}
                Err(_) => {
                    to.send_reset(h2::Reason::INTERNAL_ERROR);
                    return Some(CallEnd::Nothing.into());
                }
            },
            Err(Stop::End) => {
                let trailers = messages.stream().trailers().await.ok().flatten();
                let said = trailers.as_ref().unwrap_or(&headers);
                let field = field_of(said);
                return Some(Last {
                    end: status_of(said),
                    message: message_of(said),
                    field,
                });
            }
            Err(Stop::Broken(problem)) => return Some(ended(end_of(&problem)).into()),
            Err(Stop::Malformed(_) | Stop::Compressed) => {
                to.send_reset(h2::Reason::INTERNAL_ERROR);
                return Some(CallEnd::Nothing.into());
            }
        }
    }
}

/// Waits for the call to be cancelled, or its connection to have nothing more for it, keeping credit that comes
/// meanwhile.
async fn cancelled(
    shared: &Shared,
    queue: &mut mpsc::UnboundedReceiver<Said>,
    credit: &mut u32,
) -> CallEnd {
    loop {
        let said = tokio::select! { biased;
            said = queue.recv() => said,
            () = shared.ran_dry() => return CallEnd::ConnectionLost,
        };
        if let Some(Said::Body(Body::Credit(more))) = said {
            *credit = credit.saturating_add(more.messages);
        } else if let Some(end) = call_end(said) {
            return end;
        }
    }
}

/// The end that our own side makes of a call, if what it says is one.
fn call_end(said: Option<Said>) -> Option<CallEnd> {
    match said {
        Some(Said::Body(Body::Cancel(_)) | Said::Reset(_)) => Some(CallEnd::Status {
            code: Code::Cancelled,
            never_ran: false,
        }),
        Some(Said::Body(_)) => None,
        None => Some(CallEnd::ConnectionLost),
    }
}

/// How a call ended that had no last word, and what the status said beside.
struct Last {
    end: CallEnd,
    message: String,
    field: Option<(String, String)>,
}

impl From<CallEnd> for Last {
    fn from(end: CallEnd) -> Self {
        Last {
            end,
            message: String::new(),
            field: None,
        }
    }
}

fn end_of(problem: &h2::Error) -> CallEnd {
    match problem.reason() {
        Some(reason) if problem.is_reset() => CallEnd::Reset(u32::from(reason)),
        _ => CallEnd::ConnectionLost,
    }
}

fn status_of(headers: &HeaderMap) -> CallEnd {
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
        None => CallEnd::Nothing,
    }
}

/// The last word that stands for an end without one.
fn word(
    path: &str,
    Last {
        end,
        message,
        field,
    }: Last,
) -> Option<Body> {
    let reason = if message.is_empty() {
        format!("{end:?}")
    } else {
        format!("{end:?}: {message}")
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
            // With the connection lost its end says it all.
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
