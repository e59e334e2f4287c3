//! Sessions with a client: reads its HTTP requests and writes the responses.

use crate::arrivals::Arrivals;
use crate::framing::{self, BodyPart, Length};
use crate::memory::Reservation;
use crate::refusal::{plain_response, refusal, refusal_for, request_timeout, Refusal};
use crate::request_body::RequestBody;
use crate::submit::{parse_submit, route, Route};
use crate::turn::Turn;
use crate::{session, socket, wire_names, Http1, Session, Shared};
use bytes::{BufMut, BytesMut};
use cindercleat_protocol::session::{ByteStream, Event, RefusalCause};
use cindercleat_protocol::{v1, Body, Frame};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, unconstrained};

/// The buffer space, in bytes, that is reserved for one read within a request; other reads reserve a fraction of it.
const MAX_READ_BYTES: usize = 8 << 10;
/// The head of a streamed response, without the empty line that ends it.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
    Transfer-Encoding: chunked\r\n";
/// The header of the last response on a connection, with the empty line that ends the head.
const CLOSE_HEADER: &str = "Connection: close\r\n\r\n";
/// The time to the deadline, in milliseconds, of a request whose deadline passed while it waited. 0 would mean that
/// the request has no deadline.
const MIN_TIME_TO_DEADLINE_MS: f64 = 0.001;
/// The size, in bytes, at which collected token messages are written without collecting more.
const MAX_WRITE_BYTES: usize = 32 << 10;
/// A buffer for text up to this size, in bytes, is kept between the messages of a stream.
const MAX_KEPT_TEXT_BYTES: usize = 4 << 10;
/// Pipelined input of all connections may use `Bounds::max_total_body_bytes` divided by this. The rest is left for
/// requests whose connection has no open one.
const PIPELINED_BYTES_DIVISOR: usize = 2;
/// The memory, in bytes, that a parsed header holds besides its name and value, about.
const HEADER_OVERHEAD_BYTES: usize = 128;
/// How often a request that was refused while it arrived is still read. Its last bytes may have arrived before the refusal;
/// a client whose bytes keep coming gets no more time.
const MAX_READS_AFTER_REFUSAL: usize = 64;
/// How often a connection whose input is not read is checked for a close by the client.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

pub(crate) fn start<S: ByteStream>(io: S, wire: Http1) -> Session {
    let peer = v1::Hello {
        party: v1::Party::Client.into(),
        ..v1::Hello::default()
    };
    let (session, shared, outgoing) = session(peer, None);
    let input_memory = Reservation::new(&wire.request_memory);
    let (bytes, arrivals) = (BytesMut::new(), Arrivals::default());
    let client = Client {
        io,
        wire,
        shared,
        outgoing,
        bytes,
        arrivals,
        turn: Turn::default(),
        stream: 0,
        head_bytes: 0,
        largest_input: 0,
        input_memory,
    };
    spawn_local(client.run());
    session
}

struct Client<S> {
    io: S,
    wire: Http1,
    shared: Rc<Shared>,
    outgoing: mpsc::UnboundedReceiver<Frame>,
    bytes: BytesMut,
    arrivals: Arrivals,
    turn: Turn,
    /// The stream number of the current or the last request.
    stream: u64,
    /// The memory that the head of the current request holds, in bytes.
    head_bytes: usize,
    /// The largest length of `bytes` since its buffer was allocated.
    largest_input: usize,
    /// Counts `bytes` and the head of the current request. The request's body has a reservation of its own.
    input_memory: Reservation,
}

/// What is known of a request that is being received.
#[derive(Default)]
struct Progress {
    /// Whether any part of the request was parsed.
    head_parsed: bool,
    /// Set once `Event::MessageBegun` was sent: how long the first byte of the request had waited by then, in
    /// milliseconds.
    waited_ms: Option<f64>,
    /// The number of reads since the request was refused.
    reads_after_refusal: usize,
}

/// A request that was read completely.
enum Received {
    Submit(Box<v1::Submit>),
    Ready,
}

/// The reason why a connection reads no further request.
enum Stop {
    /// The connection has ended, or is to be closed without a response.
    Closed,
    /// The response sent was the last on its connection.
    LastResponseSent,
    /// The input is not a valid request, and the refusal is still to be sent.
    Refused(Refusal),
}

impl<S: ByteStream> Client<S> {
    async fn run(mut self) {
        let refusal = match self.serve().await {
            Stop::Closed => None,
            Stop::LastResponseSent => Some(None),
            Stop::Refused(refusal) => Some(Some(refusal)),
        };
        if let Some(Some(Refusal { status, reason })) = &refusal {
            let text = plain_response(status, reason, "", false);
            self.bytes = BytesMut::new();
            self.head_bytes = 0;
            self.count_input();
            let _ = self.write(&text).await;
        }
        // Ends only the sending direction: the client reads the last response, and then the end of the stream.
        let _ = self.io.shutdown().await;
        if refusal.is_some() {
            self.drain().await;
        }
        self.shared.end();
    }

    /// Reads and answers requests one after another; returns why no further request follows.
    async fn serve(&mut self) -> Stop {
        loop {
            let (received, keep_alive) = match self.read_request().await {
                Ok(received) => received,
                Err(stop) => return stop,
            };
            self.stream += 1;
            let body = match received {
                Received::Submit(submit) => Body::Submit(*submit),
                Received::Ready => Body::Ping(v1::Ping {}),
            };
            self.free_parsed_input();
            self.shared.send_frame(self.stream, body);
            let ended = self.write_response(keep_alive).await;
            self.head_bytes = 0;
            self.count_input();
            if let Some(stop) = ended {
                return stop;
            }
        }
    }

    /// Reads and discards input until the client closes the connection, the dispatcher closes it on shutdown, or a bound
    /// is reached. If the connection makes room for another one, only what has arrived by now is discarded.
    ///
    /// Closing a socket with unread input resets the connection, and the reset would discard a response that the client
    /// has not read yet.
    async fn drain(&mut self) {
        let (mut remaining, mut discarded) =
            (self.wire.bounds.max_drained_bytes, [0; MAX_READ_BYTES / 8]);
        let leaving = self.shared.leaving.get();
        let makes_room = self.shared.refusal.get() == Some(RefusalCause::MakeRoom);
        let deadline = tokio::time::sleep(Duration::from_millis(u64::from(
            self.wire.bounds.drain_timeout_ms,
        )));
        tokio::pin!(deadline);
        while remaining > 0 {
            self.turn.yield_if_spent().await;
            tokio::select! { biased;
                read = self.io.read(&mut discarded) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => {
                        self.turn.read(bytes);
                        remaining = remaining.saturating_sub(bytes);
                    }
                },
                () = std::future::ready(()), if makes_room => return,
                () = &mut deadline => return,
                () = self.shared.wait_leaving(), if !leaving => return,
            }
        }
    }

    /// Reads the next request completely; also returns whether another request may follow on the connection.
    async fn read_request(&mut self) -> Result<(Received, bool), Stop> {
        // Pipelined bytes have waited since they arrived behind the previous request. The dispatcher itself measures
        // only the time after `Event::MessageBegun`.
        self.arrivals.retain_last(self.bytes.len());
        // A refusal that came after the last byte of the previous request has no effect.
        self.shared.refusal.set(None);
        let mut progress = Progress::default();
        let head = loop {
            let input_bytes = self.bytes.len();
            if let Some(head) = framing::parse_request(&mut self.bytes)
                .map_err(|error| Stop::Refused(refusal_for(error)))?
            {
                let parsed_bytes = input_bytes - self.bytes.len();
                self.head_bytes = parsed_bytes + HEADER_OVERHEAD_BYTES * head.headers.len();
                break head;
            }
            self.read_more(&mut progress).await?;
        };
        progress.head_parsed = true;
        let max_body = self.wire.bounds.max_body_bytes;
        let too_long = || {
            Stop::Refused(refusal(
                wire_names::STATUS_TOO_LARGE,
                "the body is too long",
            ))
        };
        if matches!(head.length, Length::Known(bytes) if bytes > max_body as u64) {
            return Err(too_long());
        }
        let route = route(&head).map_err(Stop::Refused)?;
        let mut reader = framing::BodyReader::new(head.length, max_body);
        let memory = Reservation::new(&self.wire.request_memory);
        let mut body = RequestBody::new(head.length, max_body, memory);
        loop {
            match reader
                .next(&mut self.bytes)
                .map_err(|error| Stop::Refused(refusal_for(error)))?
            {
                Some(BodyPart::Data(data)) => {
                    if body.len() + data.len() > max_body {
                        return Err(too_long());
                    }
                    body.extend(&data);
                    if body.is_over_limit() {
                        return Err(too_much_in_memory());
                    }
                }
                Some(BodyPart::End) => break,
                None => self.read_more(&mut progress).await?,
            }
        }
        let received = match route {
            Route::Ready => Received::Ready,
            Route::Submit => {
                let mut submit = parse_submit(&head, body.into_bytes()).map_err(Stop::Refused)?;
                if submit.time_to_deadline_ms > 0.0 {
                    let waited_ms = progress
                        .waited_ms
                        .unwrap_or_else(|| self.arrivals.oldest_wait_ms());
                    submit.time_to_deadline_ms =
                        (submit.time_to_deadline_ms - waited_ms).max(MIN_TIME_TO_DEADLINE_MS);
                }
                Received::Submit(Box::new(submit))
            }
        };
        Ok((received, head.keep_alive))
    }

    /// Reads more input of a request, and reports its begin if a part of it has arrived.
    async fn read_more(&mut self, progress: &mut Progress) -> Result<(), Stop> {
        let has_begun = progress.head_parsed || !self.bytes.is_empty();
        if has_begun && progress.waited_ms.is_none() {
            progress.waited_ms = Some(self.arrivals.oldest_wait_ms());
            self.shared.send_event(Event::MessageBegun);
        }
        let is_idle = !has_begun;
        if is_idle {
            // An idle connection frees its buffer, to save memory.
            self.bytes = BytesMut::new();
        }
        self.bytes.reserve(if is_idle {
            MAX_READ_BYTES / 8
        } else {
            MAX_READ_BYTES
        });
        self.turn.yield_if_spent().await;
        if !is_idle && self.shared.refusal.get().is_some() {
            if progress.reads_after_refusal >= MAX_READS_AFTER_REFUSAL {
                return Err(Stop::Refused(request_timeout()));
            }
            progress.reads_after_refusal += 1;
        }
        tokio::select! { biased;
            () = self.shared.wait_closing() => {
                Err(if is_idle { Stop::Closed } else {
                    Stop::Refused(request_timeout())
                })
            }
            read = read_input(&mut self.io, &mut self.bytes, usize::MAX, &mut self.arrivals) => match read {
                Ok(0) | Err(_) => Err(Stop::Closed),
                Ok(bytes) => {
                    self.turn.read(bytes);
                    self.count_input();
                    Ok(())
                }
            },
            // After the read, so that a request whose last bytes have arrived is not refused.
            () = self.shared.wait_refusal(), if !is_idle => Err(Stop::Refused(request_timeout())),
            () = self.shared.wait_leaving(), if is_idle => Err(Stop::Closed),
        }
    }

    /// Writes a response as fast as the client reads it; returns whether everything was written. Only the stall timeout
    /// limits a client that reads nothing, because no request timeout applies once the request has ended.
    async fn write(&mut self, mut bytes: &[u8]) -> bool {
        let was_closing = self.shared.closing.get();
        let stall = Duration::from_millis(u64::from(self.wire.bounds.write_stall_timeout_ms));
        while !bytes.is_empty() {
            let wrote = tokio::select! { biased;
                // A connection that was already closing still writes its last response.
                () = self.shared.wait_closing(), if !was_closing => return false,
                wrote = self.io.write(bytes) => wrote,
                () = tokio::time::sleep(stall) => return false,
            };
            match wrote {
                Ok(0) | Err(_) => return false,
                Ok(written) => bytes = &bytes[written..],
            }
        }
        true
    }

    /// Waits for the next frame of the dispatcher, and reads the input that arrives behind the current request. Returns
    /// `None` if the connection ends, which cancels the current request.
    ///
    /// Pipelined input is read as it arrives, because unread input would hide that the client has closed the connection.
    /// At the bounds the rest stays in the socket until the current request is answered: closing the connection instead
    /// would leave that request without an answer.
    async fn next_frame(&mut self) -> Option<Frame> {
        loop {
            self.count_input();
            let max_read = self.max_pipelined_read();
            let reads = max_read > 0;
            if reads {
                self.bytes.reserve(MAX_READ_BYTES / 16);
            } else {
                self.arrivals.stop_reading();
            }
            self.turn.yield_if_spent().await;
            tokio::select! { biased;
                frame = self.outgoing.recv() => return frame,
                () = self.shared.wait_closing() => return None,
                read = read_input(&mut self.io, &mut self.bytes, max_read, &mut self.arrivals), if reads => match read {
                    Ok(0) | Err(_) => return None,
                    Ok(bytes) => self.turn.read(bytes),
                },
                () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !reads => {
                    if socket::is_closed_by_peer(&self.io).await {
                        return None;
                    }
                }
            }
        }
    }

    /// Writes the response to the current request; returns the reason if no other request may follow.
    async fn write_response(&mut self, keep_alive: bool) -> Option<Stop> {
        let mut stream_begun = false;
        let mut text = Vec::new();
        let mut text_memory = Reservation::new(&self.wire.response_memory);
        loop {
            let Some(mut frame) = self.next_frame().await else {
                return Some(Stop::Closed);
            };
            let (mut messages, mut end) = (0, None);
            text.clear();
            loop {
                if frame.stream == self.stream {
                    match frame.body {
                        Some(Body::Tokens(tokens)) => {
                            if !stream_begun {
                                self.write_stream_head(keep_alive, &mut text);
                                stream_begun = true;
                            }
                            write_chunk(&tokens.text, &mut text);
                            messages += 1;
                        }
                        Some(body) => {
                            end = self.write_end(&body, stream_begun, keep_alive, &mut text)
                        }
                        None => {}
                    }
                }
                if end.is_some() || text.len() >= MAX_WRITE_BYTES {
                    break;
                }
                match self.outgoing.try_recv() {
                    Ok(next) => frame = next,
                    Err(_) => break,
                }
            }
            if end.is_some() && !stream_begun {
                // A rejection promises that nothing runs any more, so the attempt's connection has to be closed
                // before the rejection is written. Yielding lets the tasks that were woken before this one run first.
                tokio::task::yield_now().await;
            }
            text_memory.set(text.capacity());
            if !text.is_empty() && !self.write(&text).await {
                return Some(Stop::Closed);
            }
            if text.capacity() > MAX_KEPT_TEXT_BYTES {
                text = Vec::new();
                text_memory.set(0);
            }
            if let Some(stays_open) = end {
                return (!stays_open).then_some(Stop::LastResponseSent);
            }
            if messages > 0 {
                self.shared.send_event(Event::MessagesWritten {
                    stream: self.stream,
                    messages,
                });
            }
        }
    }

    /// Counts what this connection holds besides the current request's body, as far as it is more than one read. A head
    /// leaves less room for bodies, but is not refused for want of room: its own limit is small.
    fn count_input(&mut self) {
        self.largest_input = self.largest_input.max(self.bytes.len());
        let held = self.bytes.len() + self.head_bytes;
        self.input_memory.set(held.saturating_sub(MAX_READ_BYTES));
    }

    /// Frees the part of the input's buffer that held the current request, if it is large. Parsing frees nothing by
    /// itself: the input behind the request keeps the whole buffer.
    fn free_parsed_input(&mut self) {
        if self.largest_input > self.bytes.len() + 2 * MAX_READ_BYTES {
            self.bytes = BytesMut::from(&self.bytes[..]);
            self.largest_input = self.bytes.len();
        }
        self.count_input();
    }

    /// The number of bytes that may be read behind the current request now. At most one more request at its largest is
    /// buffered; what of it is counted has to fit in the share of pipelined input.
    fn max_pipelined_read(&self) -> usize {
        let bounds = self.wire.bounds;
        let max_pipelined = bounds.max_body_bytes + framing::MAX_HEAD_BYTES;
        let max_total = bounds.max_total_body_bytes / PIPELINED_BYTES_DIVISOR;
        let uncounted = MAX_READ_BYTES.saturating_sub(self.bytes.len() + self.head_bytes);
        let countable = max_total.saturating_sub(self.wire.request_memory.used());
        max_pipelined
            .saturating_sub(self.bytes.len())
            .min(uncounted + countable)
            .min(MAX_READ_BYTES)
    }

    /// Whether the connection stays open after the current request; `keep_alive` is false if the client or the
    /// protocol version requires a close. On shutdown, a request that was already read is still answered.
    fn stays_open(&self, keep_alive: bool) -> bool {
        keep_alive && (!self.shared.leaving.get() || !self.bytes.is_empty())
    }

    /// Appends the head of a streamed response.
    fn write_stream_head(&self, keep_alive: bool, text: &mut Vec<u8>) {
        text.extend_from_slice(STREAM_HEAD.as_bytes());
        text.extend_from_slice(if self.stays_open(keep_alive) {
            b"\r\n"
        } else {
            CLOSE_HEADER.as_bytes()
        });
    }

    /// Appends the end of the response for a frame. Returns whether another request may follow; `None` if the frame
    /// does not end the response.
    fn write_end(
        &self,
        body: &Body,
        stream_begun: bool,
        keep_alive: bool,
        text: &mut Vec<u8>,
    ) -> Option<bool> {
        let keep_alive = self.stays_open(keep_alive);
        let (status, reason, extra_headers, keep_alive) = match body {
            Body::Final(message) => match (message.answer(), stream_begun) {
                (v1::Answer::Succeeded, true) => {
                    text.extend_from_slice(b"0\r\n\r\n");
                    return Some(keep_alive);
                }
                // A broken stream is ended by closing the connection without the last chunk, so that the client can
                // tell it from a complete one.
                (_, true) => return Some(false),
                (v1::Answer::Rejected, false) => {
                    let after = message.retry_after_ms;
                    let extra_headers = if after > 0.0 {
                        format!("Retry-After: {:.3}\r\n", after / 1000.0)
                    } else {
                        String::new()
                    };
                    (
                        wire_names::STATUS_REJECTED,
                        message.reason.as_str(),
                        extra_headers,
                        keep_alive,
                    )
                }
                (_, false) => (
                    wire_names::STATUS_FAILED,
                    message.reason.as_str(),
                    String::new(),
                    keep_alive,
                ),
            },
            Body::InvalidRequest(message) => (
                wire_names::STATUS_INVALID,
                message.reason.as_str(),
                String::new(),
                false,
            ),
            Body::Pong(_) => (wire_names::STATUS_OK, "ready", String::new(), keep_alive),
            Body::Goodbye(message) => (
                wire_names::STATUS_REJECTED,
                message.reason.as_str(),
                String::new(),
                keep_alive,
            ),
            _ => return None,
        };
        text.extend_from_slice(&plain_response(status, reason, &extra_headers, keep_alive));
        Some(keep_alive)
    }
}

/// The refusal of a request that the memory has no room for.
fn too_much_in_memory() -> Stop {
    Stop::Refused(refusal(
        wire_names::STATUS_REJECTED,
        "too much is being sent",
    ))
}

/// Appends one chunk of a chunked body.
fn write_chunk(data: &[u8], text: &mut Vec<u8>) {
    text.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    text.extend_from_slice(data);
    text.extend_from_slice(b"\r\n");
}

/// Reads up to `max_bytes` bytes of input and records when they arrived; returns their number, 0 at the end of the input.
///
/// # Errors
/// The connection is broken.
async fn read_input<S: ByteStream>(
    io: &mut S,
    bytes: &mut BytesMut,
    max_bytes: usize,
    arrivals: &mut Arrivals,
) -> io::Result<usize> {
    let mut buffer = bytes.limit(max_bytes);
    // `unconstrained`, because tokio otherwise also answers `Pending` when the task has run for long. `Turn` bounds how
    // long it runs.
    let mut read = pin!(unconstrained(io.read_buf(&mut buffer)));
    let count = poll_fn(|context| {
        let read = read.as_mut().poll(context);
        if read.is_pending() {
            arrivals.all_read();
        }
        read
    })
    .await?;
    arrivals.received(count);
    Ok(count)
}
