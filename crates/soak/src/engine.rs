//! The stand-in for an engine: serves prefill or decode attempts by the platform's protocol and reports each attempt to
//! the audit.

use crate::audit::{AttemptEnd, AttemptId, Audit, NewAttempt, Stage};
use crate::connection_trace::ConnectionTraces;
use crate::readings::HungRelease;
use crate::service::{draw_percentage, listen, response, sleep, Clock, Connection, Received};
use crate::Ms;
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// The path under which a request's KV state is released.
const STATE_PATH: &str = "/bootstrap/rooms/";
/// The header line by which an engine states that it has not run the attempt.
const REJECTED_HEADER: &str = "X-Turned-Away: 1\r\n";
/// The mean duration of a prefill.
const PREFILL_TIME: Ms = 20.0;
/// The mean time to the first event of a decode attempt.
const FIRST_EVENT_TIME: Ms = 15.0;
/// The time between two events of a stream.
const EVENT_INTERVAL: Ms = 20.0;
/// The range from which the number of events of an ordinary stream is drawn.
const EVENTS: std::ops::Range<usize> = 2..12;
/// The range from which the number of events of a long stream is drawn.
const LONG_STREAM_EVENTS: std::ops::Range<usize> = 40..80;
/// The duration of a prefill, and the time to the first event, of a slow engine: longer than clients wait.
const SLOW_TIME: Ms = 3_500.0;
/// The time between the two pieces of an event that is written in two chunks.
const PIECE_INTERVAL: Ms = 4.0;
/// The percentage of streams that break within their first event.
const BREAKS_FIRST_PERCENT: u32 = 3;
/// The percentage of streams that break within a later event.
const BREAKS_LATER_PERCENT: u32 = 3;
/// The percentage of responses that are not valid HTTP.
const MALFORMED_PERCENT: u32 = 2;
/// The percentage of streams whose events are written in two chunks each.
const IN_PIECES_PERCENT: u32 = 30;
/// The percentage of streams that have [`LONG_STREAM_EVENTS`] events.
const LONG_PERCENT: u32 = 5;
/// The percentage of complete answers that are sent a second time, where engines do so.
const REPEAT_PERCENT: u32 = 12;
/// The longest time from an answer to its repetition. The platform's pages say 'some milliseconds'.
const MAX_REPEAT_DELAY: Ms = 50.0;
/// The number of events of a stream that is sent a second time.
const REPEATED_EVENTS: usize = 3;
/// The first part of an answer that is a stream.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The body of the answer to a prefill.
const PREFILL_RESULT: &str = "{\"cached_tokens\":0}";

/// The faults that are injected into an engine at present.
#[derive(Default)]
pub struct Behaviour {
    /// The engine accepts connections and calls, and does not work on them.
    pub hangs: Cell<bool>,
    /// Whether the engine, while it hangs, does not notice that a process has closed its connection.
    pub misses_closes: Cell<bool>,
    /// The engine rejects every attempt.
    pub rejects: Cell<bool>,
    /// The engine takes longer for the first event than clients wait.
    pub is_slow: Cell<bool>,
    /// The number of faults at present that hold back bytes between the engine and processes.
    pub silences: Cell<u32>,
    /// Notified to make the engine close its idle connections.
    pub close_idle: Notify,
}

/// A stand-in for an engine. Clones share one state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    stage: Stage,
    hung_release: HungRelease,
    answers_repeat: bool,
    /// A permit for each decode attempt that may run at the same time.
    slots: Rc<Semaphore>,
    clock: Clock,
    audit: Rc<RefCell<Audit>>,
    rng: Rc<RefCell<WyRand>>,
    pub traces: ConnectionTraces,
    pub behaviour: Rc<Behaviour>,
}

/// How the stream of a decode attempt ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamOutcome {
    Complete,
    /// The connection is reset after half of the first event.
    BreaksInFirstEvent,
    /// The connection is reset after half of a later event.
    BreaksInLaterEvent,
    /// The response is not valid HTTP.
    Malformed,
}

/// The fixed properties of an engine.
pub struct EngineSettings {
    pub id: String,
    pub stage: Stage,
    /// The number of decode attempts that run at the same time; further ones wait for a slot.
    pub slots: usize,
    /// How the engine treats a release while it hangs.
    pub hung_release: HungRelease,
    /// Whether the engine sends some answers a second time.
    pub answers_repeat: bool,
    pub seed: u64,
}

impl Engine {
    /// Creates an engine that does not listen yet.
    pub fn new(settings: EngineSettings, clock: Clock, audit: Rc<RefCell<Audit>>) -> Engine {
        let EngineSettings {
            id,
            stage,
            slots,
            hung_release,
            answers_repeat,
            seed,
        } = settings;
        Engine {
            id,
            stage,
            hung_release,
            answers_repeat,
            slots: Rc::new(Semaphore::new(slots)),
            clock,
            audit,
            rng: Rc::new(RefCell::new(WyRand::new_seed(seed))),
            traces: ConnectionTraces::default(),
            behaviour: Rc::default(),
        }
    }

    /// Serves on a free port of the loopback interface and returns its address.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let engine = self.clone();
        listen(move |connection| engine.clone().serve(connection)).await
    }

    /// Serves the calls of one connection until it ends.
    async fn serve(self, mut connection: Connection) {
        loop {
            let received = tokio::select! { biased;
                received = connection.request(self.clock) => received,
                () = self.behaviour.close_idle.notified() => return,
            };
            let Some(received) = received else { return };
            let target = received.head.start_line.target.clone();
            let stays_open = match target.strip_prefix(STATE_PATH) {
                Some(request) => self.release(&mut connection, request).await,
                None => match self.attempt(&mut connection, received).await {
                    Some(stays_open) => stays_open,
                    None => return connection.reset(),
                },
            };
            if !stays_open {
                return;
            }
        }
    }

    /// Serves the release of a request's KV state. Returns whether the connection stays open.
    async fn release(&self, connection: &mut Connection, request: &str) -> bool {
        if self.hung_release == HungRelease::Unanswered {
            self.until_hang_ends().await;
        }
        self.audit.borrow_mut().release_received(request);
        connection
            .write("HTTP/1.1 204 No Content\r\n\r\n")
            .await
            .is_ok()
    }

    /// Serves an attempt. Returns whether the connection stays open, or `None` if it is to be reset.
    async fn attempt(&self, connection: &mut Connection, received: Received) -> Option<bool> {
        let head = &received.head;
        let stated_remaining = head
            .text("X-Remaining-Ms")
            .and_then(|text| text.parse().ok());
        let Some(request) = head.text("X-Txn").map(str::to_owned) else {
            return Some(
                connection
                    .write(&response("404 Not Found", "", ""))
                    .await
                    .is_ok(),
            );
        };
        let trace = connection.peer.and_then(|peer| self.traces.get(peer));
        let sent = trace.as_ref().and_then(|trace| trace.request());
        let new = NewAttempt {
            request: request.clone(),
            engine: self.id.clone(),
            stage: self.stage,
            sent: sent.unwrap_or((received.first_byte, received.last_byte)),
            begun: received.last_byte,
            stated_remaining,
            trace,
        };
        let id = self.audit.borrow_mut().attempt_begins(new);
        let (end, stays_open) = self.work(connection, id, &request).await;
        self.audit
            .borrow_mut()
            .attempt_ends(id, end, self.clock.now());
        if (end, stays_open) == (AttemptEnd::Served, Some(true)) && self.draws_repetition() {
            return Some(self.repeat_answer(connection, &request).await);
        }
        stays_open
    }

    fn draws_repetition(&self) -> bool {
        self.answers_repeat
            && draw_percentage(&mut self.rng.borrow_mut(), [REPEAT_PERCENT]).is_some()
    }

    /// Sends an answer to a request once more, some milliseconds after the first one. The next request may be on its way
    /// by then. Returns whether the connection stays open.
    ///
    /// The second answer is left out if it would arrive later than that, because the network is silent or the soak runs
    /// late: nothing in the protocol tells it from the answer to a request that follows.
    async fn repeat_answer(&self, connection: &mut Connection, request: &str) -> bool {
        let answered_at = self.clock.now();
        let delay = self.rng.borrow_mut().generate::<f64>() * MAX_REPEAT_DELAY;
        sleep(delay).await;
        let is_late = self.clock.now() - answered_at > MAX_REPEAT_DELAY;
        if is_late || self.behaviour.silences.get() > 0 {
            return true;
        }
        let answer = match self.stage {
            Stage::Prefill => response("202 Accepted", "", PREFILL_RESULT),
            Stage::Decode => {
                let events = (0..REPEATED_EVENTS).map(|number| chunk(&event(request, number)));
                format!(
                    "{STREAM_HEAD}{}{}",
                    events.collect::<String>(),
                    last_chunks()
                )
            }
        };
        connection.write(&answer).await.is_ok()
    }

    /// Works on an attempt. Returns how the attempt ended and whether the connection stays open; the latter is `None`
    /// if the connection is to be reset.
    async fn work(
        &self,
        connection: &mut Connection,
        id: AttemptId,
        request: &str,
    ) -> (AttemptEnd, Option<bool>) {
        if self.behaviour.rejects.get() {
            let written = connection
                .write(&response("503 Service Unavailable", REJECTED_HEADER, ""))
                .await;
            return (AttemptEnd::Rejected, Some(written.is_ok()));
        }
        let mean_time = if self.stage == Stage::Prefill {
            PREFILL_TIME
        } else {
            FIRST_EVENT_TIME
        };
        let factor = self.rng.borrow_mut().generate::<f64>() + 0.5;
        let slot = tokio::select! { biased;
            () = self.until_close_noticed(connection) => None,
            slot = self.work_to_first_output(mean_time * factor) => Some(slot),
        };
        let Some(_slot) = slot else {
            return (AttemptEnd::Abandoned, Some(false));
        };
        match self.stage {
            Stage::Prefill => {
                self.audit
                    .borrow_mut()
                    .state_held(request, &self.id, self.clock.now());
                let written = connection
                    .write(&response("202 Accepted", "", PREFILL_RESULT))
                    .await;
                (AttemptEnd::Served, Some(written.is_ok()))
            }
            Stage::Decode => {
                if !self.audit.borrow_mut().state_freed(request) {
                    let written = connection
                        .write(&response("410 Gone", REJECTED_HEADER, ""))
                        .await;
                    return (AttemptEnd::Rejected, Some(written.is_ok()));
                }
                self.stream(connection, id, request).await
            }
        }
    }

    /// Waits until the process has closed the connection and the engine has noticed the close.
    async fn until_close_noticed(&self, connection: &mut Connection) {
        connection.closed().await;
        while self.behaviour.hangs.get() && self.behaviour.misses_closes.get() {
            sleep(EVENT_INTERVAL).await;
        }
    }

    /// Works on an attempt up to its first output. A decode attempt waits for a slot first and keeps it to its end.
    async fn work_to_first_output(&self, duration: Ms) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed, so a slot is always granted.
        let slot = match self.stage {
            Stage::Prefill => None,
            Stage::Decode => self.slots.acquire().await.ok(),
        };
        self.work_for(if self.behaviour.is_slow.get() {
            SLOW_TIME
        } else {
            duration
        })
        .await;
        slot
    }

    /// Works for this duration; a hang delays the start and the end of the work.
    async fn work_for(&self, duration: Ms) {
        self.until_hang_ends().await;
        sleep(duration).await;
        self.until_hang_ends().await;
    }

    /// Waits while the engine hangs.
    async fn until_hang_ends(&self) {
        while self.behaviour.hangs.get() {
            sleep(EVENT_INTERVAL).await;
        }
    }

    /// Draws how a stream ends, its number of events, and whether each event is written in two chunks.
    fn draw_stream(&self) -> (StreamOutcome, usize, bool) {
        let mut rng = self.rng.borrow_mut();
        let outcome = match draw_percentage(
            &mut rng,
            [
                BREAKS_FIRST_PERCENT,
                BREAKS_LATER_PERCENT,
                MALFORMED_PERCENT,
            ],
        ) {
            Some(0) => StreamOutcome::BreaksInFirstEvent,
            Some(1) => StreamOutcome::BreaksInLaterEvent,
            Some(2) => StreamOutcome::Malformed,
            _ => StreamOutcome::Complete,
        };
        let events = if draw_percentage(&mut rng, [LONG_PERCENT]).is_some() {
            LONG_STREAM_EVENTS
        } else {
            EVENTS
        };
        (
            outcome,
            rng.generate_range(events),
            draw_percentage(&mut rng, [IN_PIECES_PERCENT]).is_some(),
        )
    }

    /// Streams the events of a decode attempt; the result is that of [`Engine::work`].
    async fn stream(
        &self,
        connection: &mut Connection,
        id: AttemptId,
        request: &str,
    ) -> (AttemptEnd, Option<bool>) {
        let (outcome, events, in_pieces) = self.draw_stream();
        if outcome == StreamOutcome::Malformed {
            // The response is not valid HTTP. The request has been executed nevertheless.
            let _ = connection.write("HTTP/1.1 2?0 OK\r\n\r\nnoise").await;
            return (AttemptEnd::Failed, Some(false));
        }
        if connection.write(STREAM_HEAD).await.is_err() {
            return (AttemptEnd::Abandoned, Some(false));
        }
        let breaks_at = match outcome {
            StreamOutcome::BreaksInFirstEvent => Some(0),
            StreamOutcome::BreaksInLaterEvent => Some(events / 2),
            _ => None,
        };
        for number in 0..events {
            let event = event(request, number);
            let (front, back) = event.split_at(event.len() / 2);
            if breaks_at == Some(number) {
                // The stream breaks after half an event in a chunk of its own.
                let _ = connection.write(&chunk(front)).await;
                sleep(PIECE_INTERVAL).await;
                return (AttemptEnd::Failed, None);
            }
            let written = if in_pieces {
                self.write_in_pieces(connection, id, front, back).await
            } else {
                self.audit.borrow_mut().event_written(id, self.clock.now());
                connection.write(&chunk(&event)).await
            };
            if written.is_err() {
                return (AttemptEnd::Failed, Some(false));
            }
            let still_connected = tokio::select! { biased;
                () = self.until_close_noticed(connection) => false,
                () = self.work_for(EVENT_INTERVAL) => true,
            };
            if !still_connected {
                return (AttemptEnd::Abandoned, Some(false));
            }
        }
        self.audit.borrow_mut().stream_complete(id);
        let written = connection.write(&last_chunks()).await;
        (AttemptEnd::Served, Some(written.is_ok()))
    }

    /// Writes an event as two chunks. The event counts as written with the second one.
    async fn write_in_pieces(
        &self,
        connection: &mut Connection,
        id: AttemptId,
        front: &str,
        back: &str,
    ) -> io::Result<()> {
        connection.write(&chunk(front)).await?;
        sleep(PIECE_INTERVAL).await;
        self.audit.borrow_mut().event_written(id, self.clock.now());
        connection.write(&chunk(back)).await
    }
}

/// The event of a stream with this number, which names the request that it answers.
fn event(request: &str, number: usize) -> String {
    format!("data: {{\"n\":{number},\"id\":\"{request}\",\"choices\":[]}}\n\n")
}

/// The end of a complete stream.
fn last_chunks() -> String {
    format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"))
}

/// The text as one chunk of a chunked HTTP body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
