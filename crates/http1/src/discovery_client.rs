//! The list feed's side: the whole list once, then the watch, each next call at once after the last answer.

use crate::framing::{Came, Length, Reading};
use crate::{list, session, wire_names, Bounds, Session, Shared};
use bytes::BytesMut;
use cindercleat_protocol::session::{Event, Io, Setup};
use cindercleat_protocol::{v1, Body, Frame};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A session with the list feed. It begins when the list is asked for; each answer is a list, if an empty one.
pub(crate) fn start<S: Io>(io: S, bounds: Bounds, setup: Setup) -> Session {
    let them = v1::Hello {
        party: v1::Party::Feed.into(),
        name: setup.expects,
        ..v1::Hello::default()
    };
    let (session, shared, mut said) = session(them, Some(1));
    spawn_local(async move {
        let ended = tokio::select! { biased;
            () = shared.closed() => None,
            reason = run(io, bounds, &shared, &mut said) => Some(reason),
        };
        let bye = |reason, never_ran| Body::Goodbye(v1::Goodbye { reason, never_ran });
        match ended {
            None => {}
            Some(Ended::Lost(reason)) => shared.say(1, bye(reason, true)),
            Some(Ended::Unusable(reason)) => shared.say(1, bye(reason, false)),
        }
        shared.end();
    });
    session
}

/// Why a session with the list feed is over.
enum Ended {
    /// A call was not answered, or refused.
    Lost(String),
    /// It was answered by what is no list, or one that is too long.
    Unusable(String),
}

async fn run<S: Io>(
    mut io: S,
    bounds: Bounds,
    shared: &Rc<Shared>,
    said: &mut mpsc::UnboundedReceiver<Frame>,
) -> Ended {
    let Some(Frame {
        stream,
        body: Some(Body::WatchEndpoints(follow)),
    }) = said.recv().await
    else {
        return Ended::Lost("nothing was asked".to_owned());
    };
    let mut path = match follow.known_version {
        None => wire_names::LIST.to_owned(),
        // The answer does not wait for a change: it shows that discovery is there.
        Some(version) => changes_since(version, 0),
    };
    let mut bytes = BytesMut::new();
    loop {
        let call = format!("GET {path} HTTP/1.1\r\nHost: list\r\n\r\n");
        if let Err(problem) = io.write_all(call.as_bytes()).await {
            return Ended::Lost(problem.to_string());
        }
        let answered = tokio::select! { biased;
            // Nobody listens any more: the watch ends here, or it would go on for ever beside the next one.
            () = dropped(said) => return Ended::Lost("given up".to_owned()),
            answered = answer(&mut io, bounds, &mut bytes, shared) => answered,
        };
        let body = match answered {
            Ok(body) => body,
            Err(ended) => return ended,
        };
        let list = match list::parse(&body) {
            Ok(list) => list,
            Err(problem) => return Ended::Unusable(format!("no list: {problem}")),
        };
        path = changes_since(list.version, bounds.feed_wait_ms);
        shared.say(stream, Body::Endpoints(list));
    }
}

/// The target of a call for what is newer than a version, which is waited for that long.
fn changes_since(version: u64, wait_ms: u32) -> String {
    format!(
        "{}?{}={version}&{}={wait_ms}",
        wire_names::LIST,
        wire_names::LIST_AFTER,
        wire_names::LIST_WAIT
    )
}

/// Waits until the other half of the session is gone.
async fn dropped(said: &mut mpsc::UnboundedReceiver<Frame>) {
    while said.recv().await.is_some() {}
}

async fn answer<S: Io>(
    io: &mut S,
    bounds: Bounds,
    bytes: &mut BytesMut,
    shared: &Shared,
) -> Result<BytesMut, Ended> {
    let too_long = || Ended::Unusable("the list is too long".to_owned());
    let mut begun = false;
    let mut reading = Reading::new(bounds.most_list);
    let mut body = BytesMut::new();
    loop {
        match reading
            .next(bytes)
            .map_err(|fault| Ended::Unusable(format!("{fault:?}")))?
        {
            Some(Came::Head(head)) if head.first != 200 => {
                return Err(Ended::Lost(format!("status {}", head.first)));
            }
            // Said before it comes: nobody carries it for nothing.
            Some(Came::Head(head)) if is_longer(head.length, bounds.most_list) => {
                return Err(too_long())
            }
            Some(Came::Head(_)) => {}
            Some(Came::Data(data)) if body.len() + data.len() > bounds.most_list => {
                return Err(too_long());
            }
            Some(Came::Data(data)) => body.extend_from_slice(&data),
            Some(Came::End) => return Ok(body),
            None => match io.read_buf(bytes).await {
                Ok(0) if reading.may_end() => return Ok(body),
                Ok(0) => return Err(Ended::Lost("the connection ended".to_owned())),
                Ok(_) if !begun => {
                    begun = true;
                    shared.tell(Event::Partly);
                }
                Ok(_) => {}
                Err(problem) => return Err(Ended::Lost(problem.to_string())),
            },
        }
    }
}

fn is_longer(length: Length, most: usize) -> bool {
    matches!(length, Length::Known(bytes) if bytes > most as u64)
}
