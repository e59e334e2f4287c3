//! The calling side of a connection.

use crate::call;
use crate::message::{encode, send, Messages, Stop};
use crate::{connection_window, Event, Out, Session, Setup, Shared, Unmet, STREAM_WINDOW};
use bytes::Bytes;
use cindercleat::interface::Outcome;
use cindercleat::status::{of_host, CallEnd, Code};
use cindercleat_protocol::{frame, v1, Body, VERSION};
use h2::client::SendRequest;
use h2::PingPong;
use http::{HeaderMap, Request};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// What new calls are begun with.
pub(crate) struct Begin {
    requests: SendRequest<Bytes>,
    pings: Rc<RefCell<Option<PingPong>>>,
}

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
    builder.max_header_list_size(16 << 10);
    builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(connection_window(&setup));
    let (requests, mut connection) = builder.handshake::<_, Bytes>(io).await.map_err(|e| e.to_string())?;
    let pings = Rc::new(RefCell::new(connection.ping_pong()));
    let (shared, events) = Shared::new(setup);
    *shared.begin.borrow_mut() = Some(Begin { requests: requests.clone(), pings });
    let driving = shared.clone();
    spawn_local(async move {
        tokio::select! { biased;
            _ = &mut connection => {}
            () = async { driving.closed().await; for _ in 0..3 { yield_now().await } } => {}
        }
        driving.end();
    });
    let mut unmet = Unmet(Some(shared.clone()));
    let us = &shared.setup;
    let (name, expects) = (us.name.clone(), us.expects.clone());
    let hello = v1::Hello { version: VERSION, party: us.party.into(), name, expects, run: us.run };
    let path = call::greet_path(to);
    let greeted = async {
        let mut requests = requests.ready().await.map_err(|e| e.to_string())?;
        let (response, mut stream) = requests.send_request(head(path)?, false).map_err(|e| e.to_string())?;
        send(&mut stream, encode(&hello), true).await.map_err(|e| e.to_string())?;
        let response = response.await.map_err(|e| e.to_string())?;
        let headers = response.headers().clone();
        let mut messages = Messages::new(response.into_body(), shared.setup.most_message);
        match messages.next().await {
            Ok(bytes) => match call::reply(path, bytes) {
                Ok(Some(Body::Hello(them))) => Ok(them),
                _ => Err("no greeting".to_owned()),
            },
            Err(Stop::End) => Err(match headers.get("grpc-message").and_then(|m| m.to_str().ok()) {
                Some(why) => why.to_owned(),
                None => "no greeting".to_owned(),
            }),
            Err(Stop::Malformed(why)) => Err(why),
            Err(Stop::Broken(problem)) => Err(problem.to_string()),
        }
    };
    match greeted.await {
        Ok(them) => {
            unmet.0.take();
            Ok(Session { them, events, out: Out { shared } })
        }
        Err(why) => Err(why),
    }
}

fn head(path: &str) -> Result<Request<()>, String> {
    let request = Request::post(format!("http://cindercleat{path}"));
    let request = request.header("content-type", "application/grpc").header("te", "trailers");
    request.body(()).map_err(|e| e.to_string())
}

/// Begins the call that a body stands for; a body that begins none is passed over.
pub(crate) fn begin(shared: &Rc<Shared>, stream: u64, body: Body) {
    let begin = shared.begin.borrow();
    let Some(begin) = begin.as_ref() else { return };
    if let Body::Ping(_) = body {
        let (shared, pings) = (shared.clone(), begin.pings.clone());
        spawn_local(async move {
            // One ping at a time; a second one while it is out asks nothing new.
            let Some(mut ping) = pings.borrow_mut().take() else { return };
            if ping.ping(h2::Ping::opaque()).await.is_ok() {
                shared.tell(Event::Frame(frame(0, Body::Pong(v1::Pong {}))));
            }
            *pings.borrow_mut() = Some(ping);
        });
        return;
    }
    let Some(path) = call::path(&body) else { return };
    let (to, queue) = mpsc::unbounded_channel();
    let quiet = matches!(body, Body::Release(_) | Body::Peer(_));
    // A call that nobody waits for is open until it is over, too: its sender must not be dropped before.
    let held = quiet.then(|| to.clone());
    if !quiet {
        shared.calls.borrow_mut().insert(stream, to);
    }
    let (shared, requests) = (shared.clone(), begin.requests.clone());
    spawn_local(async move {
        let last = run(&shared, stream, path, body, requests, queue).await;
        drop(held);
        if !quiet {
            shared.calls.borrow_mut().remove(&stream);
            if let Some(body) = last.and_then(|end| word(path, end)) {
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
    requests: SendRequest<Bytes>,
    mut queue: mpsc::UnboundedReceiver<Body>,
) -> Option<CallEnd> {
    let mut credit = match &body {
        Body::Write(write) => write.window,
        _ => UNBOUNDED,
    };
    let (Ok(mut requests), Ok(head)) = (requests.ready().await, head(path)) else {
        return Some(CallEnd::NotSent);
    };
    let Ok((response, mut to)) = requests.send_request(head, false) else { return Some(CallEnd::NotSent) };
    let bytes = match &body {
        Body::Submit(m) => encode(m),
        Body::Read(m) => encode(m),
        Body::Write(m) => encode(m),
        Body::Release(m) => encode(m),
        Body::Probe(m) => encode(m),
        Body::Hold(m) => encode(m),
        Body::Fetch(m) => encode(m),
        Body::Follow(m) => encode(m),
        Body::Peer(m) => encode(m),
        _ => return Some(CallEnd::NotSent),
    };
    tokio::pin!(response);
    // An answer may come before all is sent: a message that is too large.
    let early = tokio::select! { biased;
        response = &mut response => Some(response),
        _ = send(&mut to, bytes, true) => None,
    };
    let response = match early {
        Some(Ok(response)) => response,
        Some(Err(problem)) => return Some(end_of(&problem)),
        None => tokio::select! { biased;
        end = cancelled(&mut queue, &mut credit) => {
            to.send_reset(h2::Reason::CANCEL);
            return end;
        }
        response = &mut response => match response {
            Ok(response) => response,
            Err(problem) => return Some(end_of(&problem)),
        },
        },
    };
    let headers = response.headers().clone();
    let mut messages = Messages::new(response.into_body(), shared.setup.most_message);
    loop {
        // A message that there is no credit for is not taken: its sender's window fills, and it waits.
        let next = tokio::select! { biased;
            said = queue.recv() => match said {
                Some(Body::Credit(more)) => {
                    credit = credit.saturating_add(more.messages);
                    continue;
                }
                Some(Body::Cancel(_)) => {
                    to.send_reset(h2::Reason::CANCEL);
                    return Some(CallEnd::Status { code: Code::Cancelled, never_ran: false });
                }
                Some(_) => continue,
                None => return Some(CallEnd::ConnectionLost),
            },
            next = messages.next(), if credit > 0 => next,
        };
        match next {
            Ok(bytes) => match call::reply(path, bytes) {
                Ok(Some(body)) => {
                    if let Body::Tokens(_) = body {
                        credit = credit.saturating_sub(u32::from(credit != UNBOUNDED));
                    }
                    let last = matches!(
                        body,
                        Body::Ended(_) | Body::Final(_) | Body::Load(_) | Body::Place(_) | Body::State(_)
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
                    return Some(CallEnd::Nothing);
                }
            },
            Err(Stop::End) => {
                let trailers = messages.stream().trailers().await.ok().flatten();
                return Some(status_of(trailers.as_ref().unwrap_or(&headers)));
            }
            Err(Stop::Broken(problem)) => return Some(end_of(&problem)),
            Err(Stop::Malformed(_)) => {
                to.send_reset(h2::Reason::INTERNAL_ERROR);
                return Some(CallEnd::Nothing);
            }
        }
    }
}

/// Waits for the call to be cancelled, keeping credit that comes meanwhile.
async fn cancelled(queue: &mut mpsc::UnboundedReceiver<Body>, credit: &mut u32) -> Option<CallEnd> {
    loop {
        match queue.recv().await {
            Some(Body::Credit(more)) => *credit = credit.saturating_add(more.messages),
            Some(Body::Cancel(_)) => {
                return Some(CallEnd::Status { code: Code::Cancelled, never_ran: false })
            }
            Some(_) => {}
            None => return Some(CallEnd::ConnectionLost),
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
    let number = headers.get("grpc-status").and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
    match number {
        Some(number) => {
            let never_ran = headers.get("cindercleat-ran").is_some_and(|v| v == "no");
            CallEnd::Status { code: Code::from_number(number), never_ran }
        }
        None => CallEnd::Nothing,
    }
}

/// The last word that stands for an end without one.
fn word(path: &str, end: CallEnd) -> Option<Body> {
    let ended = |status: v1::Status| {
        let reason = format!("{end:?}");
        Some(Body::Ended(v1::Ended { status: status.into(), reason, ..v1::Ended::default() }))
    };
    let goodbye = || Some(Body::Goodbye(v1::Goodbye { reason: format!("{end:?}") }));
    match (path.strip_prefix("/cindercleat.v1.")?, end) {
        ("Host/Read" | "Host/Write", CallEnd::Status { code: Code::Cancelled, .. }) => {
            ended(v1::Status::Cancelled)
        }
        ("Host/Read" | "Host/Write", end) => match of_host(end) {
            Outcome::Full | Outcome::Unreachable | Outcome::Void => ended(v1::Status::Full),
            // With the connection lost its end says it all.
            _ if end == CallEnd::ConnectionLost => None,
            _ => ended(v1::Status::Failed),
        },
        ("Router/Run", CallEnd::Status { code: Code::InvalidArgument, .. }) => {
            Some(Body::Rejected(v1::Rejected { field: String::new(), reason: format!("{end:?}") }))
        }
        _ => goodbye(),
    }
}
