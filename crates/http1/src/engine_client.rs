//! Sessions with an engine. A connection carries one call at a time: an HTTP request and its response.
//!
//! Only this module knows whether the last byte of a request was written. If the connection ends before the last byte
//! is written, the call ends with a `Goodbye` whose `never_ran` is true. If the connection ends later, the engine may
//! have run the request.

use crate::call_result::{failure, is_rejection, is_stream, result_of, Call};
use crate::event_stream::FirstEventScanner;
use crate::framing::{FramingError, ResponseHead, ResponsePart, ResponseReader};
use crate::memory::{counted, MemoryPool, Reservation};
use crate::turn::Turn;
use crate::{session, socket, wire_names, Http1, Session, Shared};
use bytes::{Bytes, BytesMut};
use cindercleat_protocol::session::{ByteStream, Event, Setup};
use cindercleat_protocol::{v1, Body, Frame};
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The maximum number of bytes per read. Token events are forwarded without another read once they reach this size.
const MAX_READ_BYTES: usize = 16 << 10;
/// The engine is not read while more than this number of bytes of its stream wait for the client.
const MAX_UNWRITTEN_BYTES: usize = 64 << 10;
/// The number of bytes of a request's body that are copied behind its head, so that a short request takes one write.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

pub(crate) fn start<S: ByteStream>(io: S, wire: &Http1, setup: Setup) -> Session {
    let name = setup.expects.clone();
    let peer = v1::Hello {
        party: v1::Party::Engine.into(),
        name,
        ..v1::Hello::default()
    };
    let (session, shared, outgoing) = session(peer, Some(1));
    let connection = EngineConnection {
        io,
        max_response_bytes: wire.bounds.max_chunk_bytes,
        shared,
        outgoing,
        bytes: BytesMut::new(),
        memory: Reservation::new(&wire.response_memory),
        unwritten: MemoryPool::part_of(&wire.response_memory, MAX_UNWRITTEN_BYTES),
        response_memory: wire.response_memory.clone(),
        turn: Turn::default(),
        response_begun: false,
        name: setup.expects,
    };
    spawn_local(connection.run());
    session
}

struct EngineConnection<S> {
    io: S,
    /// The largest chunk of a response, and the largest response that is not a stream, in bytes.
    max_response_bytes: usize,
    shared: Rc<Shared>,
    outgoing: mpsc::UnboundedReceiver<Frame>,
    /// The received bytes that are not parsed yet.
    bytes: BytesMut,
    /// Counts what has arrived of a response and cannot be forwarded yet, as far as it is more than one read.
    memory: Reservation,
    /// Counts the bytes of the current stream that were forwarded and not written to the client yet.
    unwritten: Arc<MemoryPool>,
    /// The memory of all responses.
    response_memory: Arc<MemoryPool>,
    turn: Turn,
    /// Whether at least one byte of the current call's response has arrived.
    response_begun: bool,
    /// The engine's name, sent as the `Host` header.
    name: String,
}

/// The reason why a call ended without a complete response. Its connection is not used again.
#[derive(Debug)]
enum CallStop {
    /// The dispatcher cancelled the call or closed the connection.
    ClosedLocally,
    /// The connection broke, or the engine closed it.
    ConnectionLost(String),
    /// The response does not follow the protocol.
    Malformed(FramingError),
    /// The memory has no room for the response.
    NoMemory,
}

impl<S: ByteStream> EngineConnection<S> {
    async fn run(mut self) {
        while let Some(frame) = self.next_call().await {
            let stream = frame.stream;
            let Some((call, head, body)) = self.encode_call(frame) else {
                continue;
            };
            if self.has_unsolicited_data().await {
                self.report_not_sent(stream, "the engine sent data without a request");
                break;
            }
            if !self.run_call(stream, call, &head, &body).await {
                break;
            }
        }
        // Calls that are still queued were not sent, so the engine cannot have run them.
        self.outgoing.close();
        while let Ok(frame) = self.outgoing.try_recv() {
            let starts_call = matches!(
                frame.body,
                Some(Body::Prefill(_) | Body::Decode(_) | Body::HealthCheck(_) | Body::Release(_))
            );
            if starts_call && !self.shared.closing.get() {
                self.report_not_sent(frame.stream, "the connection had ended");
            }
        }
        self.shared.end();
    }

    /// Ends a call of which no byte was written, so that it can be sent again on another connection.
    fn report_not_sent(&self, stream: u64, reason: &str) {
        let goodbye = v1::Goodbye {
            reason: reason.to_owned(),
            never_ran: true,
        };
        self.shared.send_frame(stream, Body::Goodbye(goodbye));
    }

    /// Waits for the next frame; `None` once the connection ends. Bytes that arrive outside a call end the connection.
    async fn next_call(&mut self) -> Option<Frame> {
        if !self.bytes.is_empty() {
            self.shared.send_event(Event::UnsolicitedData);
            return None;
        }
        // An idle connection frees its buffer, to save memory.
        self.bytes = BytesMut::new();
        self.memory.set(0);
        let mut byte = [0];
        tokio::select! { biased;
            () = self.shared.wait_closing() => None,
            read = self.io.read(&mut byte) => {
                self.report_unsolicited(read);
                None
            }
            frame = self.outgoing.recv() => frame,
        }
    }

    /// Whether the engine has sent bytes, or the connection has ended, before the request of a call is written. Those
    /// bytes cannot be the call's answer.
    async fn has_unsolicited_data(&mut self) -> bool {
        // Lets the runtime look at the sockets once. After a hold-up of the process, bytes may lie in the socket that
        // the runtime has not noticed yet.
        tokio::task::yield_now().await;
        let mut byte = [0];
        tokio::select! { biased;
            read = self.io.read(&mut byte) => {
                self.report_unsolicited(read);
                true
            }
            () = std::future::ready(()) => false,
        }
    }

    /// Reports the result of a read outside a call if it has returned data.
    fn report_unsolicited(&self, read: std::io::Result<usize>) {
        if read.is_ok_and(|bytes| bytes > 0) {
            self.shared.send_event(Event::UnsolicitedData);
        }
    }

    /// The call that a frame starts, with the head and body of its HTTP request; `None` for a frame that starts no
    /// call.
    fn encode_call(&self, frame: Frame) -> Option<(Call, Vec<u8>, Bytes)> {
        let authority = &self.name;
        match frame.body? {
            Body::Prefill(prefill) => {
                let head = self.request_head(
                    prefill.origin.unwrap_or_default(),
                    prefill.wait_ms,
                    prefill.prompt.len(),
                );
                Some((Call::Prefill(prefill.state), head, prefill.prompt))
            }
            Body::Decode(decode) => {
                let head = self.request_head(
                    decode.origin.unwrap_or_default(),
                    decode.wait_ms,
                    decode.prompt.len(),
                );
                Some((
                    Call::Decode {
                        credit: decode.window,
                        position: 0,
                    },
                    head,
                    decode.prompt,
                ))
            }
            Body::HealthCheck(_) => {
                let head = format!(
                    "GET {} HTTP/1.1\r\nHost: {authority}\r\n\r\n",
                    wire_names::LOAD_PATH
                );
                Some((Call::HealthCheck, head.into_bytes(), Bytes::new()))
            }
            Body::Release(release) => {
                let path = format!("{}{}", wire_names::KV_STATES_PATH_PREFIX, release.origin);
                let head = format!(
                    "DELETE {path} HTTP/1.1\r\nHost: {authority}\r\nContent-Length: 0\r\n\r\n"
                );
                Some((Call::Release, head.into_bytes(), Bytes::new()))
            }
            // A frame of a call that has ended, such as a late credit or cancel.
            _ => None,
        }
    }

    /// The head of a client's request as the engine receives it: the client's headers, and the framing, request id and
    /// time to the deadline that the dispatcher sets.
    fn request_head(&self, origin: v1::Origin, wait_ms: f64, length: usize) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            origin.method, origin.target, self.name
        );
        head += &format!(
            "{}: {}\r\nContent-Length: {length}\r\n",
            wire_names::REQUEST_ID_HEADER,
            origin.id
        );
        if wait_ms > 0.0 {
            head += &format!(
                "{}: {}\r\n",
                wire_names::TIME_TO_DEADLINE_HEADER,
                wait_ms.floor()
            );
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

    /// Runs one call; returns whether the connection can carry another call.
    async fn run_call(&mut self, stream: u64, mut call: Call, head: &[u8], body: &[u8]) -> bool {
        let (copied, rest) = body.split_at(body.len().min(MAX_COPIED_BODY_BYTES));
        let beginning = [head, copied].concat();
        if let Err((stop, written)) = self.write_request(stream, [&beginning, rest]).await {
            match stop {
                CallStop::ConnectionLost(reason) => {
                    let goodbye = v1::Goodbye {
                        reason,
                        never_ran: written < beginning.len() + rest.len(),
                    };
                    self.shared.send_frame(stream, Body::Goodbye(goodbye));
                }
                _ => socket::discard_unsent(&self.io),
            }
            return false;
        }
        drop(beginning);
        self.response_begun = false;
        // The client of the previous stream may still be reading, and must not hold up this one.
        self.unwritten = MemoryPool::part_of(&self.response_memory, MAX_UNWRITTEN_BYTES);
        match self.read_response(stream, &mut call).await {
            Ok(keep_alive) => keep_alive,
            Err(CallStop::ClosedLocally) => {
                if !self.response_begun {
                    socket::discard_unsent(&self.io);
                }
                false
            }
            Err(CallStop::ConnectionLost(reason)) => {
                self.shared.send_frame(
                    stream,
                    Body::Goodbye(v1::Goodbye {
                        reason,
                        never_ran: false,
                    }),
                );
                false
            }
            Err(CallStop::Malformed(error)) => {
                self.fail_call(stream, &call, format!("malformed response: {error:?}"))
            }
            Err(CallStop::NoMemory) => {
                self.fail_call(stream, &call, "no memory for the response".to_owned())
            }
        }
    }

    /// Ends a call whose response is given up; returns that the connection cannot carry another call.
    fn fail_call(&self, stream: u64, call: &Call, reason: String) -> bool {
        self.shared.send_event(Event::GoingAway);
        self.shared.send_frame(stream, failure(call, reason));
        false
    }

    /// Applies a frame that the dispatcher sent during a call; returns whether the frame ends the call. `None` as the
    /// frame means that the session was dropped.
    fn ends_call(&self, stream: u64, frame: Option<Frame>, call: Option<&mut Call>) -> bool {
        match (frame, call) {
            (None, _) => true,
            (
                Some(Frame {
                    stream: target,
                    body: Some(Body::Cancel(_)),
                }),
                _,
            ) => target == stream,
            (
                Some(Frame {
                    stream: target,
                    body: Some(Body::Credit(added)),
                }),
                Some(Call::Decode { credit, .. }),
            ) => {
                *credit += if target == stream { added.messages } else { 0 };
                false
            }
            _ => false,
        }
    }

    /// Writes the parts of a request one after another.
    ///
    /// # Errors
    /// Returns the reason why the call stops, and the number of bytes written before it stopped.
    async fn write_request(
        &mut self,
        stream: u64,
        parts: [&[u8]; 2],
    ) -> Result<(), (CallStop, usize)> {
        let mut written = 0;
        for mut part in parts {
            while !part.is_empty() {
                let bytes = self
                    .write_some(stream, part)
                    .await
                    .map_err(|stop| (stop, written))?;
                written += bytes;
                part = &part[bytes..];
            }
        }
        Ok(())
    }

    /// Writes bytes of a request as soon as the engine accepts some; returns their number.
    async fn write_some(&mut self, stream: u64, bytes: &[u8]) -> Result<usize, CallStop> {
        loop {
            let frame = tokio::select! { biased;
                () = self.shared.wait_closing() => return Err(CallStop::ClosedLocally),
                wrote = self.io.write(bytes) => return match wrote {
                    Ok(0) => Err(CallStop::ConnectionLost("the engine accepted no bytes".to_owned())),
                    Ok(written) => Ok(written),
                    Err(error) => Err(CallStop::ConnectionLost(error.to_string())),
                },
                frame = self.outgoing.recv() => frame,
            };
            if self.ends_call(stream, frame, None) {
                return Err(CallStop::ClosedLocally);
            }
        }
    }

    /// Reads more bytes of the response, or waits for credit to forward the bytes already read, or until the client has
    /// read more of the stream. Returns false if the engine closed the connection.
    async fn read_more(&mut self, stream: u64, call: &mut Call) -> Result<bool, CallStop> {
        loop {
            self.turn.yield_if_spent().await;
            let has_credit = !matches!(call, Call::Decode { credit: 0, .. });
            let may_read = has_credit && self.unwritten.has_room(MAX_READ_BYTES);
            // A few events fit in a small buffer; a large chunk that is partly received needs a larger one.
            self.bytes.reserve(if self.bytes.len() < MAX_READ_BYTES {
                MAX_READ_BYTES / 4
            } else {
                MAX_READ_BYTES
            });
            let frame = tokio::select! { biased;
                () = self.shared.wait_closing() => return Err(CallStop::ClosedLocally),
                frame = self.outgoing.recv() => frame,
                () = self.unwritten.wait_freed(), if has_credit && !may_read => continue,
                read = self.io.read_buf(&mut self.bytes), if may_read => return match read {
                    Ok(bytes) => {
                        self.turn.read(bytes);
                        self.response_begun |= bytes > 0;
                        Ok(bytes > 0)
                    }
                    Err(error) => Err(CallStop::ConnectionLost(error.to_string())),
                },
            };
            if self.ends_call(stream, frame, Some(call)) {
                return Err(CallStop::ClosedLocally);
            }
            if !has_credit && !matches!(call, Call::Decode { credit: 0, .. }) {
                // The new credit is spent first on the bytes that are already buffered.
                return Ok(true);
            }
        }
    }

    /// Reads the response and sends its result as frames; returns whether the connection can be used again.
    async fn read_response(&mut self, stream: u64, call: &mut Call) -> Result<bool, CallStop> {
        let mut reader = ResponseReader::new(self.max_response_bytes);
        let mut head: Option<ResponseHead> = None;
        let mut body = Vec::new();
        let mut first_event = FirstEventScanner::default();
        let (mut ended, mut connection_ended) = (false, false);
        loop {
            // All events received so far are forwarded as one message.
            let mut message_is_full = false;
            loop {
                if matches!(call, Call::Decode { credit: 0, .. }) {
                    break;
                }
                match reader.next(&mut self.bytes) {
                    Ok(Some(ResponsePart::Head(received))) => head = Some(received),
                    Ok(Some(ResponsePart::Data(data))) => {
                        body.extend_from_slice(&data);
                        let streams = head.as_ref().is_some_and(|head| is_stream(head, call));
                        let is_forwarded = streams && first_event.is_complete(&body);
                        if body.len() > self.max_response_bytes && !is_forwarded {
                            return Err(CallStop::Malformed(FramingError::TooLong("the response")));
                        }
                        message_is_full = is_forwarded && body.len() >= MAX_READ_BYTES;
                        if message_is_full {
                            break;
                        }
                    }
                    Ok(Some(ResponsePart::End)) => {
                        ended = true;
                        break;
                    }
                    Ok(None) => break,
                    Err(error) => {
                        if first_event.is_complete(&body) {
                            self.forward_events(stream, call, head.as_ref(), &mut body);
                        }
                        return Err(CallStop::Malformed(error));
                    }
                }
            }
            // Nothing is forwarded before the first event is complete, because a client that receives any bytes treats
            // its stream as begun. Until then, an attempt that breaks can still be retried or answered as failed.
            if ended || first_event.is_complete(&body) {
                self.forward_events(stream, call, head.as_ref(), &mut body);
            }
            if let (true, Some(head)) = (ended, &head) {
                let keep_alive = head.keep_alive
                    && !connection_ended
                    && self.bytes.is_empty()
                    && !self.shared.leaving.get();
                if !keep_alive {
                    // Sent before the result, so that the dispatcher starts no new call on this connection.
                    self.shared.send_event(Event::GoingAway);
                }
                self.shared.send_frame(stream, result_of(call, head, &body));
                return Ok(keep_alive);
            }
            // Events, or the end of the response, may already be buffered behind a full message. They are parsed
            // before the next read: that read may block forever, or may report the end of the connection, and in both
            // cases the buffered events must be forwarded.
            if message_is_full {
                continue;
            }
            self.require_memory(call, &body)?;
            if !self.read_more(stream, call).await? {
                // A rejection is complete once its head was received, because the head carries the rejection header.
                // Its body is not used.
                if !reader.is_complete_at_close() && !head.as_ref().is_some_and(is_rejection) {
                    return Err(CallStop::ConnectionLost(
                        "the engine closed the connection before the end of its response"
                            .to_owned(),
                    ));
                }
                (ended, connection_ended) = (true, true);
            }
        }
    }

    /// Counts what has arrived of a response and was not forwarded.
    ///
    /// # Errors
    /// The responses of all engines together exceed their share of the memory, and this one is longer than one read. A
    /// stream that waits for credit is not ended: nothing more is read of it, and its client frees memory.
    fn require_memory(&mut self, call: &Call, body: &Vec<u8>) -> Result<(), CallStop> {
        let held = self.bytes.len() + body.capacity();
        self.memory.set(held.saturating_sub(MAX_READ_BYTES));
        let waits_for_credit = matches!(call, Call::Decode { credit: 0, .. });
        if !waits_for_credit && self.memory.is_over_limit() {
            return Err(CallStop::NoMemory);
        }
        Ok(())
    }

    /// Sends the events read so far as one message, if the response is a stream, and uses one credit.
    fn forward_events(
        &mut self,
        stream: u64,
        call: &mut Call,
        head: Option<&ResponseHead>,
        body: &mut Vec<u8>,
    ) {
        if body.is_empty() || !head.is_some_and(|head| is_stream(head, call)) {
            return;
        }
        if let Call::Decode { credit, position } = call {
            let text = counted(std::mem::take(body), Reservation::new(&self.unwritten));
            let count = u32::try_from(text.len()).unwrap_or(u32::MAX);
            let tokens = v1::Tokens {
                position: *position,
                count,
                text,
            };
            *credit = credit.saturating_sub(1);
            *position = position.saturating_add(count);
            self.shared.send_frame(stream, Body::Tokens(tokens));
        }
    }
}
