//! A client's side: requests in, each a request, and its answer out.

use crate::arrivals::Arrivals;
use crate::framing::{self, Fault, Length, Part, Request};
use crate::{session, wire_names, Http1, Session, Shared};
use bytes::{Bytes, BytesMut};
use cindercleat_protocol::session::{Event, Io};
use cindercleat_protocol::{v1, Body, Frame};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Bytes that one turn of reading takes at most.
const TURN: usize = 8 << 10;
/// The head of a stream, and its end where nothing more is taken on the connection.
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
    Transfer-Encoding: chunked\r\n";
const CLOSE: &str = "Connection: close\r\n\r\n";
/// What is left, in milliseconds, to a request whose time has passed while it waited.
const NO_TIME_MS: f64 = 0.001;
/// Bytes of answers that are put together for one writing.
const TOGETHER: usize = 32 << 10;

pub(crate) fn start<S: Io>(io: S, wire: Http1) -> Session {
    let them = v1::Hello {
        party: v1::Party::Client.into(),
        ..v1::Hello::default()
    };
    let (session, shared, said) = session(them, None);
    let lease = Lease {
        held: wire.held.clone(),
        bytes: 0,
    };
    let (bytes, arrivals) = (BytesMut::new(), Arrivals::default());
    let client = Client {
        io,
        wire,
        shared,
        said,
        bytes,
        arrivals,
        stream: 0,
        lease,
    };
    spawn_local(client.run());
    session
}

struct Client<S> {
    io: S,
    wire: Http1,
    shared: Rc<Shared>,
    said: mpsc::UnboundedReceiver<Frame>,
    bytes: BytesMut,
    arrivals: Arrivals,
    /// The request that is open or was last.
    stream: u64,
    lease: Lease,
}

/// This connection's part of the bytes that all clients' bodies may hold.
struct Lease {
    held: Rc<Cell<usize>>,
    bytes: usize,
}

impl Lease {
    fn set(&mut self, bytes: usize) {
        self.held.set(self.held.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// What a client gets besides the answer to a request.
struct Refusal {
    status: &'static str,
    why: &'static str,
}

const fn refusal(status: &'static str, why: &'static str) -> Refusal {
    Refusal { status, why }
}

/// What a request asks for.
enum Asks {
    Submit(Box<v1::Submit>),
    Ready,
}

/// Why there is no next request.
enum Last {
    /// The connection is over, or to be closed without a word.
    Over,
    /// The answer was the last on its connection.
    Answered,
    Refused(Refusal),
}

impl<S: Io> Client<S> {
    async fn run(mut self) {
        let refusal = match self.serve().await {
            Last::Over => None,
            Last::Answered => Some(None),
            Last::Refused(refusal) => Some(Some(refusal)),
        };
        if let Some(Some(Refusal { status, why })) = &refusal {
            let text = plain(status, why, "", false);
            self.lease.set(0);
            self.bytes = BytesMut::new();
            let _ = self.write(&text).await;
        }
        // The last word is written: whoever reads what it is sent has it before the end.
        let _ = self.io.shutdown().await;
        if refusal.is_some() {
            self.drain().await;
        }
        self.shared.end();
    }

    /// Answers requests, one after another; gives how the last one ended.
    async fn serve(&mut self) -> Last {
        loop {
            let (asks, keeps) = match self.receive().await {
                Ok(received) => received,
                Err(last) => return last,
            };
            self.stream += 1;
            let body = match asks {
                Asks::Submit(submit) => Body::Submit(*submit),
                Asks::Ready => Body::Ping(v1::Ping {}),
            };
            self.shared.say(self.stream, body);
            let ended = self.answer(keeps).await;
            self.lease.set(0);
            if let Some(last) = ended {
                return last;
            }
        }
    }

    /// Takes what still comes and drops it, until the client closes, its place is wanted, or a bound is reached.
    /// Guards against an answer that is lost on its way: a close over unread bytes resets the connection, and
    /// the reset overtakes what the client has not read yet.
    async fn drain(&mut self) {
        let (mut left, mut scrap) = (self.wire.bounds.most_drained, [0; TURN / 8]);
        let leaving = self.shared.leaving.get();
        let until = tokio::time::sleep(Duration::from_millis(u64::from(self.wire.bounds.drain_ms)));
        tokio::pin!(until);
        while left > 0 {
            tokio::select! { biased;
                read = self.io.read(&mut scrap) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => left = left.saturating_sub(bytes),
                },
                () = &mut until => return,
                () = self.shared.left(), if !leaving => return,
            }
        }
    }

    /// Reads the next request, whole.
    async fn receive(&mut self) -> Result<(Asks, bool), Last> {
        // What came behind the last request has waited since; for what comes from now on the ledger keeps the time.
        self.arrivals.wait(self.bytes.len());
        let waited_ms = self.arrivals.waited_ms();
        let mut told = false;
        let head = loop {
            if let Some(head) =
                framing::request(&mut self.bytes).map_err(|fault| Last::Refused(wrong(fault)))?
            {
                break head;
            }
            self.more(&mut told).await?;
        };
        let most = self.wire.bounds.most_body;
        let too_long = || Last::Refused(refusal(wire_names::TOO_LONG, "the body is too long"));
        if matches!(head.length, Length::Known(bytes) if bytes > most as u64) {
            return Err(too_long());
        }
        let kind = kind(&head).map_err(Last::Refused)?;
        let mut reading = framing::Body::new(head.length, most);
        let mut body = BytesMut::new();
        if let Length::Known(bytes) = head.length {
            body.reserve((bytes as usize).min(2 * self.bytes.len()));
        }
        loop {
            match reading
                .next(&mut self.bytes)
                .map_err(|fault| Last::Refused(wrong(fault)))?
            {
                Some(Part::Data(data)) => {
                    if body.len() + data.len() > most {
                        return Err(too_long());
                    }
                    body.extend_from_slice(&data);
                    self.lease.set(body.len());
                    // Guards against many large bodies at once, which memory would not bear.
                    if self.lease.held.get() > self.wire.bounds.most_bodies {
                        return Err(Last::Refused(refusal(
                            wire_names::BOUNCED,
                            "too much is being sent",
                        )));
                    }
                }
                Some(Part::End) => break,
                None => self.more(&mut told).await?,
            }
        }
        let asks = match kind {
            Kind::Ready => Asks::Ready,
            Kind::Submit => {
                let mut submit = submit(&head, body.freeze()).map_err(Last::Refused)?;
                if submit.time_to_deadline_ms > 0.0 {
                    submit.time_to_deadline_ms =
                        (submit.time_to_deadline_ms - waited_ms).max(NO_TIME_MS);
                }
                Asks::Submit(Box::new(submit))
            }
        };
        Ok((asks, head.keeps))
    }

    async fn more(&mut self, told: &mut bool) -> Result<(), Last> {
        let begun = !self.bytes.is_empty() || self.lease.bytes > 0;
        if begun && !*told {
            *told = true;
            self.shared.tell(Event::Partly);
        }
        let resting = !*told;
        if self.bytes.is_empty() && resting {
            // A connection at rest holds no buffer.
            self.bytes = BytesMut::new();
        }
        self.bytes.reserve(if resting { TURN / 8 } else { TURN });
        tokio::select! { biased;
            () = self.shared.closed() => {
                Err(if resting { Last::Over } else {
                    Last::Refused(refusal(wire_names::SLOW, "the request did not come in time"))
                })
            }
            read = self.io.read_buf(&mut self.bytes) => match read {
                Ok(0) | Err(_) => Err(Last::Over),
                Ok(bytes) => {
                    self.arrivals.came(bytes);
                    Ok(())
                }
            },
            () = self.shared.left(), if resting => Err(Last::Over),
        }
    }

    /// Writes an answer, as fast as the client takes it; tells whether it took all. Guards against a client that
    /// takes nothing: nobody else looks after an answer whose request has ended.
    async fn write(&mut self, mut bytes: &[u8]) -> bool {
        let closing = self.shared.closing.get();
        let stall = Duration::from_millis(u64::from(self.wire.bounds.stall_ms));
        while !bytes.is_empty() {
            let wrote = tokio::select! { biased;
                // What is said last is written as far as it goes at once.
                () = self.shared.closed(), if !closing => return false,
                wrote = self.io.write(bytes) => wrote,
                () = tokio::time::sleep(stall) => return false,
            };
            match wrote {
                Ok(0) | Err(_) => return false,
                Ok(taken) => bytes = &bytes[taken..],
            }
        }
        true
    }

    /// Writes the answer to the open request; gives how the connection ends, if no other may follow.
    async fn answer(&mut self, keeps: bool) -> Option<Last> {
        let (mut begun, own) = (false, self.lease.bytes);
        let mut text = Vec::new();
        loop {
            self.bytes.reserve(TURN / 16);
            let frame = tokio::select! { biased;
                frame = self.said.recv() => frame,
                () = self.shared.closed() => return Some(Last::Over),
                read = self.io.read_buf(&mut self.bytes) => match read {
                    // The client is gone: the session ends, and with it what was open.
                    Ok(0) | Err(_) => return Some(Last::Over),
                    // Guards against bytes behind an open request, which would hide that its client has gone:
                    // they are read on, to one more request's length, and no further.
                    Ok(bytes) => {
                        self.arrivals.came(bytes);
                        if self.piled_up(own) {
                            return Some(Last::Over);
                        }
                        continue;
                    }
                },
            };
            let Some(mut frame) = frame else {
                return Some(Last::Over);
            };
            let (mut messages, mut end) = (0, None);
            text.clear();
            loop {
                if frame.stream == self.stream {
                    match frame.body {
                        Some(Body::Tokens(tokens)) => {
                            if !begun {
                                text.extend_from_slice(STREAM.as_bytes());
                                let stays = self.goes_on(keeps);
                                text.extend_from_slice(if stays {
                                    b"\r\n"
                                } else {
                                    CLOSE.as_bytes()
                                });
                                begun = true;
                            }
                            text.extend_from_slice(
                                format!("{:x}\r\n", tokens.text.len()).as_bytes(),
                            );
                            text.extend_from_slice(&tokens.text);
                            text.extend_from_slice(b"\r\n");
                            messages += 1;
                        }
                        Some(body) => end = self.end(&body, begun, keeps, &mut text),
                        None => {}
                    }
                }
                if end.is_some() || text.len() >= TOGETHER {
                    break;
                }
                match self.said.try_recv() {
                    Ok(next) => frame = next,
                    Err(_) => break,
                }
            }
            if end.is_some() && !begun {
                // Guards against an answer that overtakes the close of its request's attempt: a refusal says that
                // nothing runs any more. What was told before this session was runs first.
                tokio::task::yield_now().await;
            }
            if !text.is_empty() && !self.write(&text).await {
                return Some(Last::Over);
            }
            if let Some(goes_on) = end {
                return (!goes_on).then_some(Last::Answered);
            }
            if messages > 0 {
                self.shared.tell(Event::Flushed {
                    stream: self.stream,
                    messages,
                });
            }
        }
    }

    /// Whether more waits behind an open request than one request may be, or than all may hold together.
    /// `own`: the bytes of the open one.
    fn piled_up(&mut self, own: usize) -> bool {
        let bounds = self.wire.bounds;
        self.lease.set(own + self.bytes.len().saturating_sub(TURN));
        self.bytes.len() > bounds.most_body + framing::MOST_HEAD
            || self.lease.held.get() > bounds.most_bodies
    }

    /// Whether the connection goes on after the open request, its client letting it. What was read behind that is
    /// answered first, also if the connection is to end.
    fn goes_on(&self, keeps: bool) -> bool {
        keeps && (!self.shared.leaving.get() || !self.bytes.is_empty())
    }

    /// The last of an answer; tells whether another request may follow, or nothing if this is not its last.
    fn end(&self, body: &Body, begun: bool, keeps: bool, text: &mut Vec<u8>) -> Option<bool> {
        let keeps = self.goes_on(keeps);
        let (status, why, more, keeps) = match body {
            Body::Final(said) => match (said.answer(), begun) {
                (v1::Answer::Succeeded, true) => {
                    text.extend_from_slice(b"0\r\n\r\n");
                    return Some(keeps);
                }
                // A stream that is not whole ends with its connection, without the last chunk.
                (_, true) => return Some(false),
                (v1::Answer::Rejected, false) => {
                    let after = said.retry_after_ms;
                    let more = if after > 0.0 {
                        format!("Retry-After: {:.3}\r\n", after / 1000.0)
                    } else {
                        String::new()
                    };
                    (wire_names::BOUNCED, said.reason.as_str(), more, keeps)
                }
                (_, false) => (
                    wire_names::WRITTEN_OFF,
                    said.reason.as_str(),
                    String::new(),
                    keeps,
                ),
            },
            Body::InvalidRequest(said) => (
                wire_names::REJECTED,
                said.reason.as_str(),
                String::new(),
                false,
            ),
            Body::Pong(_) => (wire_names::READY, "ready", String::new(), keeps),
            Body::Goodbye(said) => (
                wire_names::BOUNCED,
                said.reason.as_str(),
                String::new(),
                keeps,
            ),
            _ => return None,
        };
        text.extend_from_slice(&plain(status, why, &more, keeps));
        Some(keeps)
    }
}

/// An answer that is no stream.
fn plain(status: &str, why: &str, more: &str, keeps: bool) -> Vec<u8> {
    let close = if keeps { "" } else { "Connection: close\r\n" };
    let length = why.len() + 1;
    let head = "Content-Type: text/plain; charset=utf-8\r\n";
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {length}\r\n{more}{close}\r\n{why}\n")
        .into_bytes()
}

fn wrong(fault: Fault) -> Refusal {
    match fault {
        Fault::Malformed(what) => refusal(wire_names::REJECTED, what),
        Fault::TooLong(what @ ("the head" | "the list of headers")) => {
            refusal(wire_names::HEAD_TOO_LONG, what)
        }
        Fault::TooLong(what) => refusal(wire_names::TOO_LONG, what),
    }
}

enum Kind {
    Submit,
    Ready,
}

/// What a head asks for, as far as it tells without the body.
fn kind(head: &Request) -> Result<Kind, Refusal> {
    let path = head.first.target.split('?').next().unwrap_or_default();
    match head.first.method.as_str() {
        "GET" if path == wire_names::READY_PATH => Ok(Kind::Ready),
        "POST" if path.starts_with(wire_names::REQUESTS_PATH) => Ok(Kind::Submit),
        _ if path.starts_with(wire_names::REQUESTS_PATH) => {
            Err(refusal(wire_names::WRONG_METHOD, "only POST"))
        }
        _ => Err(refusal(wire_names::NOWHERE, "there is nothing here")),
    }
}

/// The request that a request describes, or the first thing that cannot be right.
fn submit(head: &Request, prompt: Bytes) -> Result<v1::Submit, Refusal> {
    let bad = |why| refusal(wire_names::REJECTED, why);
    let id = head
        .text(wire_names::ID)
        .filter(|id| wire_names::is_id(id))
        .ok_or_else(|| bad("no id, or none that can be one"))?;
    let time_to_deadline = head
        .get(wire_names::TIME_TO_DEADLINE)
        .and_then(wire_names::whole);
    let time_to_deadline =
        time_to_deadline.ok_or_else(|| bad("no time to wait, or none that can be one"))?;
    let request_class = head.text(wire_names::REQUEST_CLASS).unwrap_or_default();
    let mut labels = Labels::default();
    if let Some(text) = head.text(wire_names::LABELS) {
        labels = Labels::read(text).ok_or_else(|| bad("the labels cannot be read"))?;
    }
    let guessed = prompt.len().div_ceil(wire_names::CHARS_PER_TOKEN).max(1) as u32;
    let prompt_tokens = labels.prompt_tokens.unwrap_or(guessed).max(1);
    let session = head.text(wire_names::SESSION).unwrap_or(id);
    let resent = head.text(wire_names::RETRIED);
    // These two are the dispatcher's own to say.
    let ours = |name: &str| {
        [wire_names::ID, wire_names::TIME_TO_DEADLINE]
            .iter()
            .any(|ours| ours.eq_ignore_ascii_case(name))
    };
    let theirs = head.end_to_end().filter(|(name, _)| !ours(name));
    let headers = theirs.map(|(name, value)| v1::Header {
        name: name.clone(),
        value: value.clone(),
    });
    Ok(v1::Submit {
        request_class: request_class.to_owned(),
        tenant: head.text(wire_names::TENANT).unwrap_or_default().to_owned(),
        session: wire_names::key(session),
        shared_text: labels.shared.unwrap_or(0),
        prompt_tokens,
        shared_tokens: labels.shared_tokens.unwrap_or(0).min(prompt_tokens),
        max_tokens: labels.max_tokens.unwrap_or(guessed).max(1),
        time_to_deadline_ms: f64::from(time_to_deadline),
        retried: resent == Some(wire_names::TRIED_BEFORE),
        resumed: resent == Some(wire_names::FOR_THE_REST),
        key: String::new(),
        prompt,
        origin: Some(v1::Origin {
            id: id.to_owned(),
            method: head.first.method.clone(),
            target: head.first.target.clone(),
            headers: headers.collect(),
        }),
    })
}

#[derive(Default)]
struct Labels {
    shared: Option<u64>,
    prompt_tokens: Option<u32>,
    shared_tokens: Option<u32>,
    max_tokens: Option<u32>,
}

impl Labels {
    fn read(text: &str) -> Option<Labels> {
        let mut labels = Labels::default();
        for label in text
            .split(',')
            .map(str::trim)
            .filter(|label| !label.is_empty())
        {
            let (name, value) = label.split_once('=')?;
            let number = || wire_names::whole(value.as_bytes());
            match name {
                wire_names::SHARED => labels.shared = Some(wire_names::key(value)),
                wire_names::PROMPT_TOKENS => labels.prompt_tokens = Some(number()?),
                wire_names::SHARED_TOKENS => labels.shared_tokens = Some(number()?),
                wire_names::MAX_TOKENS => labels.max_tokens = Some(number()?),
                _ => {}
            }
        }
        Some(labels)
    }
}
