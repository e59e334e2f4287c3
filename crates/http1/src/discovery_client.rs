//! Sessions with discovery: fetches the complete list, then long-polls for changes.

use crate::framing::{ChunkDelivery, Length, ResponsePart, ResponseReader};
use crate::turn::Turn;
use crate::{list, session, wire_names, Bounds, Session, Shared};
use bytes::BytesMut;
use cindercleat_protocol::session::{ByteStream, Event, Setup};
use cindercleat_protocol::{v1, Body, Frame};
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// Starts a session with discovery. The session sends its first request after it receives a `WatchEndpoints` frame.
/// Every response is a list, which may be empty.
pub(crate) fn start<S: ByteStream>(io: S, bounds: Bounds, setup: Setup) -> Session {
    let peer = v1::Hello {
        party: v1::Party::Feed.into(),
        name: setup.expects,
        ..v1::Hello::default()
    };
    let (session, shared, mut outgoing) = session(peer, Some(1));
    spawn_local(async move {
        let ended = tokio::select! { biased;
            () = shared.wait_closing() => None,
            reason = run(io, bounds, &shared, &mut outgoing) => Some(reason),
        };
        let goodbye = |reason, never_ran| Body::Goodbye(v1::Goodbye { reason, never_ran });
        match ended {
            None => {}
            Some(WatchEnd::Lost(reason)) => shared.send_frame(1, goodbye(reason, true)),
            Some(WatchEnd::Unusable(reason)) => shared.send_frame(1, goodbye(reason, false)),
        }
        shared.end();
    });
    session
}

/// The reason why a session with discovery ended.
enum WatchEnd {
    /// Discovery did not respond, or responded with an error status.
    Lost(String),
    /// Discovery sent a response that is not a list, or a list that is too long.
    Unusable(String),
}

async fn run<S: ByteStream>(
    mut io: S,
    bounds: Bounds,
    shared: &Rc<Shared>,
    outgoing: &mut mpsc::UnboundedReceiver<Frame>,
) -> WatchEnd {
    let Some(Frame {
        stream,
        body: Some(Body::WatchEndpoints(watch)),
    }) = outgoing.recv().await
    else {
        return WatchEnd::Lost("no list was requested".to_owned());
    };
    let mut path = match watch.known_version {
        None => wire_names::LIST_PATH.to_owned(),
        // With a wait time of 0 discovery responds at once, and its response shows that discovery is reachable.
        Some(version) => changes_since(version, 0),
    };
    let mut bytes = BytesMut::new();
    let mut turn = Turn::default();
    loop {
        let request = format!("GET {path} HTTP/1.1\r\nHost: list\r\n\r\n");
        if let Err(error) = io.write_all(request.as_bytes()).await {
            return WatchEnd::Lost(error.to_string());
        }
        let received = tokio::select! { biased;
            // The session was dropped. Without this branch, the watch would continue forever in parallel with the
            // watch of the next session.
            () = outbox_dropped(outgoing) => return WatchEnd::Lost("the session was dropped".to_owned()),
            received = read_list(&mut io, bounds, &mut bytes, &mut turn, shared) => received,
        };
        let body = match received {
            Ok(body) => body,
            Err(ended) => return ended,
        };
        let list = match list::parse(&body, bounds.max_listed_engines) {
            Ok(list) => list,
            Err(error) => return WatchEnd::Unusable(format!("not a valid list: {error}")),
        };
        drop(body);
        path = changes_since(list.version, bounds.discovery_wait_ms);
        shared.send_frame(stream, Body::Endpoints(list));
        // The list is taken over before the next one is read. Discovery that sends more than it is asked for would
        // otherwise fill the memory with lists.
        yield_now().await;
    }
}

/// The request target for the changes since a version; discovery waits up to `wait_ms` for a change.
fn changes_since(version: u64, wait_ms: u32) -> String {
    format!(
        "{}?{}={version}&{}={wait_ms}",
        wire_names::LIST_PATH,
        wire_names::LIST_AFTER_PARAM,
        wire_names::LIST_WAIT_PARAM
    )
}

/// Waits until all senders of the session are dropped.
async fn outbox_dropped(outgoing: &mut mpsc::UnboundedReceiver<Frame>) {
    while outgoing.recv().await.is_some() {}
}

/// Reads one response and returns its body.
async fn read_list<S: ByteStream>(
    io: &mut S,
    bounds: Bounds,
    bytes: &mut BytesMut,
    turn: &mut Turn,
    shared: &Shared,
) -> Result<BytesMut, WatchEnd> {
    let too_long = || WatchEnd::Unusable("the list is too long".to_owned());
    let mut has_begun = false;
    let mut reader = ResponseReader::with_delivery(bounds.max_list_bytes, ChunkDelivery::InParts);
    let mut body = BytesMut::new();
    loop {
        match reader
            .next(bytes)
            .map_err(|error| WatchEnd::Unusable(format!("malformed response: {error:?}")))?
        {
            Some(ResponsePart::Head(head)) if head.start_line != 200 => {
                return Err(WatchEnd::Lost(format!(
                    "discovery responded with status {}",
                    head.start_line
                )));
            }
            // A list that is too long by its declared length is refused before its body is received, so that no time
            // is spent on its transfer.
            Some(ResponsePart::Head(head)) if is_longer(head.length, bounds.max_list_bytes) => {
                return Err(too_long())
            }
            Some(ResponsePart::Head(_)) => {}
            Some(ResponsePart::Data(data)) if body.len() + data.len() > bounds.max_list_bytes => {
                return Err(too_long());
            }
            Some(ResponsePart::Data(data)) => body.extend_from_slice(&data),
            Some(ResponsePart::End) => return Ok(body),
            None => match read_more(io, bytes, turn).await {
                Ok(0) if reader.is_complete_at_close() => return Ok(body),
                Ok(0) => return Err(WatchEnd::Lost("discovery closed the connection".to_owned())),
                Ok(_) if !has_begun => {
                    has_begun = true;
                    shared.send_event(Event::MessageBegun);
                }
                Ok(_) => {}
                Err(error) => return Err(WatchEnd::Lost(error.to_string())),
            },
        }
    }
}

/// Reads more bytes; returns their number, 0 at the end of the input.
async fn read_more<S: ByteStream>(
    io: &mut S,
    bytes: &mut BytesMut,
    turn: &mut Turn,
) -> io::Result<usize> {
    turn.yield_if_spent().await;
    let count = io.read_buf(bytes).await?;
    turn.read(count);
    Ok(count)
}

fn is_longer(length: Length, max_bytes: usize) -> bool {
    matches!(length, Length::Known(bytes) if bytes > max_bytes as u64)
}
