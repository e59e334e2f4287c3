//! An engine's side: one call at a time on a connection, each a request and its answer.
//!
//! Whether a request's last byte was written is known here and nowhere else: a connection that ends before
//! ends its call as a goodbye that says that nothing ran, one that ends after it as one that does not.

use crate::event_stream::FirstEvent;
use crate::framing::{Answer, Came, Fault, Length, Reading};
use crate::{session, wire_names, Bounds, Session, Shared};
use bytes::{Bytes, BytesMut};
use cindercleat_protocol::session::{Event, Io, Setup};
use cindercleat_protocol::{v1, Body, Frame};
use serde::Deserialize;
use std::any::Any;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Bytes that one turn of reading takes at most.
const TURN: usize = 16 << 10;

pub(crate) fn start<S: Io>(io: S, bounds: Bounds, setup: Setup) -> Session {
    let name = setup.expects.clone();
    let them = v1::Hello {
        party: v1::Party::Engine.into(),
        name,
        ..v1::Hello::default()
    };
    let (session, shared, said) = session(them, Some(1));
    let connection = EngineConnection {
        io,
        bounds,
        shared,
        said,
        bytes: BytesMut::new(),
        answered: false,
        name: setup.expects,
    };
    spawn_local(connection.run());
    session
}

struct EngineConnection<S> {
    io: S,
    bounds: Bounds,
    shared: Rc<Shared>,
    said: mpsc::UnboundedReceiver<Frame>,
    bytes: BytesMut,
    /// Whether anything of the present call's answer has come.
    answered: bool,
    name: String,
}

/// What a call is for, and what its answer is made into.
#[derive(Clone, Debug, PartialEq)]
enum Call {
    Read(Option<v1::KvStateId>),
    /// Token messages that may still be taken, and how many were.
    Write {
        credit: u32,
        position: u32,
    },
    Probe,
    Release,
}

/// Why a connection is not used any more.
#[derive(Debug)]
enum Over {
    /// It is closed from this side.
    Ours,
    /// It broke or ended.
    Theirs(String),
    /// What came cannot be read.
    Spoilt(Fault),
}

impl<S: Io> EngineConnection<S> {
    async fn run(mut self) {
        while let Some(frame) = self.idle().await {
            let stream = frame.stream;
            let Some((call, head, body)) = self.begin(frame) else {
                continue;
            };
            if !self.call(stream, call, &head, &body).await {
                break;
            }
        }
        // What was to begin on a connection that is over was never sent.
        self.said.close();
        while let Ok(frame) = self.said.try_recv() {
            let begins = matches!(
                frame.body,
                Some(Body::Prefill(_) | Body::Decode(_) | Body::HealthCheck(_) | Body::Release(_))
            );
            if begins && !self.shared.closing.get() {
                let bye = v1::Goodbye {
                    reason: "the connection was over".to_owned(),
                    never_ran: true,
                };
                self.shared.say(frame.stream, Body::Goodbye(bye));
            }
        }
        self.shared.end();
    }

    /// Waits for the next call; none once the connection is over. Bytes that belong to no answer end it.
    async fn idle(&mut self) -> Option<Frame> {
        if !self.bytes.is_empty() {
            return None;
        }
        // A connection at rest holds no buffer.
        self.bytes = BytesMut::new();
        let mut byte = [0];
        tokio::select! { biased;
            () = self.shared.closed() => None,
            _ = self.io.read(&mut byte) => None,
            frame = self.said.recv() => frame,
        }
    }

    fn begin(&self, frame: Frame) -> Option<(Call, Vec<u8>, Bytes)> {
        let authority = &self.name;
        match frame.body? {
            Body::Prefill(read) => {
                let head = self.request(
                    read.origin.unwrap_or_default(),
                    read.wait_ms,
                    read.prompt.len(),
                );
                Some((Call::Read(read.state), head, read.prompt))
            }
            Body::Decode(write) => {
                let head = self.request(
                    write.origin.unwrap_or_default(),
                    write.wait_ms,
                    write.prompt.len(),
                );
                Some((
                    Call::Write {
                        credit: write.window,
                        position: 0,
                    },
                    head,
                    write.prompt,
                ))
            }
            Body::HealthCheck(_) => {
                let head = format!(
                    "GET {} HTTP/1.1\r\nHost: {authority}\r\n\r\n",
                    wire_names::LOAD_PATH
                );
                Some((Call::Probe, head.into_bytes(), Bytes::new()))
            }
            Body::Release(release) => {
                let path = format!("{}{}", wire_names::STATES, release.origin);
                let head = format!(
                    "DELETE {path} HTTP/1.1\r\nHost: {authority}\r\nContent-Length: 0\r\n\r\n"
                );
                Some((Call::Release, head.into_bytes(), Bytes::new()))
            }
            // What belongs to a call that is over.
            _ => None,
        }
    }

    /// The head of a request: what its client said, with this hop's own framing, id and time.
    fn request(&self, origin: v1::Origin, wait_ms: f64, length: usize) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            origin.method, origin.target, self.name
        );
        head += &format!(
            "{}: {}\r\nContent-Length: {length}\r\n",
            wire_names::ID,
            origin.id
        );
        if wait_ms > 0.0 {
            head += &format!("{}: {}\r\n", wire_names::TIME_TO_DEADLINE, wait_ms.floor());
        }
        let mut head = head.into_bytes();
        for header in origin.headers {
            head.extend_from_slice(header.name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(&header.value);
            head.extend_from_slice(b"\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    /// Carries one call; tells whether another may follow.
    async fn call(&mut self, stream: u64, mut call: Call, head: &[u8], body: &[u8]) -> bool {
        let whole = [head, body].concat();
        if let Err((over, written)) = self.write(stream, &whole).await {
            match over {
                Over::Theirs(reason) => {
                    let bye = v1::Goodbye {
                        reason,
                        never_ran: written < whole.len(),
                    };
                    self.shared.say(stream, Body::Goodbye(bye));
                }
                _ => discard_unsent(&self.io),
            }
            return false;
        }
        drop(whole);
        self.answered = false;
        match self.answer(stream, &mut call).await {
            Ok(keeps) => keeps,
            Err(Over::Ours) => {
                if !self.answered {
                    discard_unsent(&self.io);
                }
                false
            }
            Err(Over::Theirs(reason)) => {
                self.shared.say(
                    stream,
                    Body::Goodbye(v1::Goodbye {
                        reason,
                        never_ran: false,
                    }),
                );
                false
            }
            Err(Over::Spoilt(fault)) => {
                self.shared.tell(Event::GoingAway);
                let reason = format!("its answer cannot be read: {fault:?}");
                self.shared.say(stream, failed(&call, reason));
                false
            }
        }
    }

    /// Whether what was said ends the call.
    fn ends(&self, stream: u64, frame: Option<Frame>, call: Option<&mut Call>) -> bool {
        match (frame, call) {
            (None, _) => true,
            (
                Some(Frame {
                    stream: s,
                    body: Some(Body::Cancel(_)),
                }),
                _,
            ) => s == stream,
            (
                Some(Frame {
                    stream: s,
                    body: Some(Body::Credit(more)),
                }),
                Some(Call::Write { credit, .. }),
            ) => {
                *credit += if s == stream { more.messages } else { 0 };
                false
            }
            _ => false,
        }
    }

    async fn write(&mut self, stream: u64, whole: &[u8]) -> Result<(), (Over, usize)> {
        let mut written = 0;
        while written < whole.len() {
            let frame = tokio::select! { biased;
                () = self.shared.closed() => return Err((Over::Ours, written)),
                wrote = self.io.write(&whole[written..]) => match wrote {
                    Ok(0) => return Err((Over::Theirs("it takes nothing".to_owned()), written)),
                    Ok(bytes) => {
                        written += bytes;
                        continue;
                    }
                    Err(problem) => return Err((Over::Theirs(problem.to_string()), written)),
                },
                frame = self.said.recv() => frame,
            };
            if self.ends(stream, frame, None) {
                return Err((Over::Ours, written));
            }
        }
        Ok(())
    }

    /// More bytes of the answer; none at its end.
    async fn more(&mut self, stream: u64, call: &mut Call) -> Result<bool, Over> {
        loop {
            let takes = !matches!(call, Call::Write { credit: 0, .. });
            // Small for the few events of a turn; more where a large part is on its way.
            self.bytes.reserve(if self.bytes.len() < TURN {
                TURN / 4
            } else {
                TURN
            });
            let frame = tokio::select! { biased;
                () = self.shared.closed() => return Err(Over::Ours),
                frame = self.said.recv() => frame,
                read = self.io.read_buf(&mut self.bytes), if takes => return match read {
                    Ok(bytes) => {
                        self.answered |= bytes > 0;
                        Ok(bytes > 0)
                    }
                    Err(problem) => Err(Over::Theirs(problem.to_string())),
                },
            };
            if self.ends(stream, frame, Some(call)) {
                return Err(Over::Ours);
            }
            if !takes && !matches!(call, Call::Write { credit: 0, .. }) {
                // Credit came: what is here already goes on first.
                return Ok(true);
            }
        }
    }

    /// Reads the answer and says what it is; tells whether the connection may be used again.
    async fn answer(&mut self, stream: u64, call: &mut Call) -> Result<bool, Over> {
        let mut reading = Reading::new(self.bounds.most_chunk);
        let mut head: Option<Answer> = None;
        let mut body = BytesMut::new();
        let mut first_event = FirstEvent::default();
        let (mut ended, mut over) = (false, false);
        loop {
            // What has come is taken together: one message for the events of one turn.
            let mut turn_is_full = false;
            loop {
                if matches!(call, Call::Write { credit: 0, .. }) {
                    break;
                }
                match reading.next(&mut self.bytes) {
                    Ok(Some(Came::Head(came))) => head = Some(came),
                    Ok(Some(Came::Data(data))) => {
                        body.extend_from_slice(&data);
                        let streams = head.as_ref().is_some_and(|head| is_stream(head, call));
                        let passes_on = streams && first_event.is_complete(&body);
                        if body.len() > self.bounds.most_chunk && !passes_on {
                            return Err(Over::Spoilt(Fault::TooLong("the answer")));
                        }
                        turn_is_full = passes_on && body.len() >= TURN;
                        if turn_is_full {
                            break;
                        }
                    }
                    Ok(Some(Came::End)) => {
                        ended = true;
                        break;
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        if first_event.is_complete(&body) {
                            self.pass_on(stream, call, head.as_ref(), &mut body);
                        }
                        return Err(Over::Spoilt(fault));
                    }
                }
            }
            // Guards against half of a first event, which a client would take for the beginning of its stream: while
            // it has no whole one, an attempt that breaks may be followed by another, or be answered as failed.
            if ended || first_event.is_complete(&body) {
                self.pass_on(stream, call, head.as_ref(), &mut body);
            }
            if let (true, Some(head)) = (ended, &head) {
                let keeps =
                    head.keeps && !over && self.bytes.is_empty() && !self.shared.leaving.get();
                if !keeps {
                    // Said first, so that nothing new is put on it meanwhile.
                    self.shared.tell(Event::GoingAway);
                }
                self.shared.say(stream, said_of(call, head, &body));
                return Ok(keeps);
            }
            // Guards against events, or the end, that have come behind a full turn: they wait for nothing more, which may
            // never come, and the connection's end does not make them undone.
            if turn_is_full {
                continue;
            }
            if !self.more(stream, call).await? {
                // The mark in the head says all of an answer that rejects.
                if !reading.may_end() && !head.as_ref().is_some_and(turns_away) {
                    return Err(Over::Theirs(
                        "it ended the connection within its answer".to_owned(),
                    ));
                }
                (ended, over) = (true, true);
            }
        }
    }

    /// Events of a stream go on as they come.
    fn pass_on(
        &mut self,
        stream: u64,
        call: &mut Call,
        head: Option<&Answer>,
        body: &mut BytesMut,
    ) {
        if body.is_empty() || !head.is_some_and(|head| is_stream(head, call)) {
            return;
        }
        if let Call::Write { credit, position } = call {
            let text = body.split().freeze();
            let count = u32::try_from(text.len()).unwrap_or(u32::MAX);
            let tokens = v1::Tokens {
                position: *position,
                count,
                text,
            };
            *credit = credit.saturating_sub(1);
            *position = position.saturating_add(count);
            self.shared.say(stream, Body::Tokens(tokens));
        }
    }
}

/// Makes the end of a connection a reset. Guards against a request that was given up while it lay unsent, for a machine
/// that has vanished: after a plain close the system would still deliver it when the machine is back. In memory nothing
/// lies unsent.
fn discard_unsent<S: Io>(io: &S) {
    if let Some(stream) = (io as &dyn Any).downcast_ref::<TcpStream>() {
        // A connection that is gone already needs none.
        let _ = stream.set_zero_linger();
    }
}

/// Whether an answer's body is a stream to pass on.
fn is_stream(head: &Answer, call: &Call) -> bool {
    head.first == 200 && head.length == Length::Chunked && matches!(call, Call::Write { .. })
}

fn turns_away(head: &Answer) -> bool {
    head.get(wire_names::TURNED_AWAY) == Some(b"1") && matches!(head.first, 503 | 504 | 410)
}

fn failed(call: &Call, reason: String) -> Body {
    match call {
        Call::Read(_) | Call::Write { .. } => {
            let status = v1::Status::Failed.into();
            Body::Ended(v1::Ended {
                status,
                reason,
                ..v1::Ended::default()
            })
        }
        Call::Probe | Call::Release => Body::Goodbye(v1::Goodbye {
            reason,
            never_ran: false,
        }),
    }
}

#[derive(Deserialize)]
struct Found {
    #[serde(default)]
    cached_tokens: f64,
}

/// A load report. Its fields go by the names that the settings use for them (`stats.columns`), or by those of the
/// protocol's own page; one name alone would lose what the other says without a word.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Pressure {
    #[serde(alias = "active")]
    inflight: Option<f64>,
    #[serde(alias = "waiting")]
    queue: Option<f64>,
    #[serde(alias = "cpu")]
    util: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

fn load(bytes: &[u8]) -> Option<v1::Load> {
    let said: Pressure = serde_json::from_slice(bytes).ok()?;
    Some(v1::Load {
        in_flight: said.inflight,
        queue: said.queue,
        slots_used: said.util,
        memory_held: said.x0,
        waiting_kilotokens: said.x1,
    })
}

/// What a whole answer says.
fn said_of(call: &Call, head: &Answer, body: &[u8]) -> Body {
    let load_said = head.get(wire_names::LOAD).and_then(load);
    let ended = |status: v1::Status| {
        let reason = format!("status {}", head.first);
        v1::Ended {
            status: status.into(),
            load: load_said,
            reason,
            ..v1::Ended::default()
        }
    };
    match (call, head.first) {
        (Call::Read(state), 202) => {
            let kept = serde_json::from_slice(body).map_or(0.0, |found: Found| found.cached_tokens);
            let kept_tokens = if kept.is_finite() {
                kept.clamp(0.0, 1e9) as u32
            } else {
                0
            };
            Body::Ended(v1::Ended {
                kept_tokens,
                state: *state,
                ..ended(v1::Status::PrefillDone)
            })
        }
        (Call::Write { .. }, 200) if is_stream(head, call) => {
            Body::Ended(ended(v1::Status::Succeeded))
        }
        (Call::Write { .. }, 410) if turns_away(head) => Body::Ended(ended(v1::Status::NoState)),
        (Call::Read(_) | Call::Write { .. }, 503 | 504) if turns_away(head) => {
            Body::Ended(ended(v1::Status::Overloaded))
        }
        (Call::Read(_) | Call::Write { .. }, _) => Body::Ended(ended(v1::Status::Failed)),
        (Call::Probe, 200) => Body::Load(load(body).or(load_said).unwrap_or_default()),
        (Call::Release, 200..=299) => Body::Done(v1::Done {}),
        (Call::Probe | Call::Release, status) => {
            let reason = format!("status {status}");
            Body::Goodbye(v1::Goodbye {
                reason,
                never_ran: false,
            })
        }
    }
}
