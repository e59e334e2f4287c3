//! The stand-in of an engine: reads prompts or decodes answers, as the platform's protocol has it, and tells the audit
//! of each attempt.

use crate::audit::{AttemptEnd, AttemptId, Audit, NewAttempt, Stage};
use crate::passage::Passages;
use crate::readings::HungRelease;
use crate::service::{answer, draw_part, listen, sleep, Clock, Connection, Received};
use crate::Ms;
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

const STATES: &str = "/bootstrap/rooms/";
const TURNED_AWAY: &str = "X-Turned-Away: 1\r\n";
/// How long a prompt takes, and an answer: to its first event, and between events.
const PREFILL: Ms = 20.0;
const FIRST_EVENT: Ms = 15.0;
const BETWEEN_EVENTS: Ms = 20.0;
const EVENTS: std::ops::Range<usize> = 2..12;
const EVENTS_OF_LONG: std::ops::Range<usize> = 40..80;
/// The same where it is slower than clients wait.
const SLOW: Ms = 3_500.0;
/// Between two pieces of what is written in pieces.
const BETWEEN_PIECES: Ms = 4.0;
/// Of a hundred streams, how many break within their first event, break later, and cannot be read; and how many come in
/// pieces.
const BREAKS_FIRST: u32 = 3;
const BREAKS_LATER: u32 = 3;
const SPOILT: u32 = 2;
const IN_PIECES: u32 = 30;
const LONG: u32 = 5;

/// What an engine does besides its work.
#[derive(Default)]
pub struct Behaviour {
    pub hangs: Cell<bool>,
    /// While it hangs it does not notice that a process has closed its connection.
    pub misses_closes: Cell<bool>,
    pub turns_away: Cell<bool>,
    /// It takes longer for the first event than clients wait.
    pub is_slow: Cell<bool>,
    pub close_idle: Notify,
}

/// An engine; clones are the same one.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    stage: Stage,
    hung_release: HungRelease,
    /// Decode attempts that it serves at a time.
    slots: Rc<Semaphore>,
    clock: Clock,
    audit: Rc<RefCell<Audit>>,
    rng: Rc<RefCell<WyRand>>,
    pub passages: Passages,
    pub behaviour: Rc<Behaviour>,
}

/// How a stream goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Course {
    Whole,
    BreaksFirst,
    BreaksLater,
    Spoilt,
}

/// What an engine is.
pub struct EngineSettings {
    pub id: String,
    pub stage: Stage,
    /// Decode attempts that it serves at a time; the others wait.
    pub slots: usize,
    pub hung_release: HungRelease,
    pub seed: u64,
}

impl Engine {
    pub fn new(settings: EngineSettings, clock: Clock, audit: Rc<RefCell<Audit>>) -> Engine {
        let EngineSettings {
            id,
            stage,
            slots,
            hung_release,
            seed,
        } = settings;
        Engine {
            id,
            stage,
            hung_release,
            slots: Rc::new(Semaphore::new(slots)),
            clock,
            audit,
            rng: Rc::new(RefCell::new(WyRand::new_seed(seed))),
            passages: Passages::default(),
            behaviour: Rc::default(),
        }
    }

    /// Serves on a free port.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let engine = self.clone();
        listen(move |connection| engine.clone().serve(connection)).await
    }

    async fn serve(self, mut connection: Connection) {
        loop {
            let received = tokio::select! { biased;
                received = connection.request(self.clock) => received,
                () = self.behaviour.close_idle.notified() => return,
            };
            let Some(received) = received else { return };
            let target = received.head.first.target.clone();
            let goes_on = match target.strip_prefix(STATES) {
                Some(request) => self.release(&mut connection, request).await,
                None => match self.attempt(&mut connection, received).await {
                    Some(goes_on) => goes_on,
                    None => return connection.reset(),
                },
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn release(&self, connection: &mut Connection, request: &str) -> bool {
        if self.hung_release == HungRelease::Unanswered {
            self.until_not_hanging().await;
        }
        self.audit.borrow_mut().release_came(request);
        connection
            .say("HTTP/1.1 204 No Content\r\n\r\n")
            .await
            .is_ok()
    }

    /// Serves an attempt; tells whether the connection goes on, or nothing if it is to be reset.
    async fn attempt(&self, connection: &mut Connection, received: Received) -> Option<bool> {
        let head = &received.head;
        let told_left = head
            .text("X-Remaining-Ms")
            .and_then(|text| text.parse().ok());
        let Some(request) = head.text("X-Txn").map(str::to_owned) else {
            return Some(
                connection
                    .say(&answer("404 Not Found", "", ""))
                    .await
                    .is_ok(),
            );
        };
        let passage = connection.peer.and_then(|peer| self.passages.get(peer));
        let sent = passage.as_ref().and_then(|passage| passage.request());
        let new = NewAttempt {
            request: request.clone(),
            engine: self.id.clone(),
            stage: self.stage,
            sent: sent.unwrap_or((received.first_byte, received.last_byte)),
            begun: received.last_byte,
            told_left,
            passage,
        };
        let id = self.audit.borrow_mut().attempt_begins(new);
        let (end, goes_on) = self.work(connection, id, &request).await;
        self.audit
            .borrow_mut()
            .attempt_ends(id, end, self.clock.now());
        goes_on
    }

    /// Gives how the attempt ended, and whether the connection goes on, or nothing if it is to be reset.
    async fn work(
        &self,
        connection: &mut Connection,
        id: AttemptId,
        request: &str,
    ) -> (AttemptEnd, Option<bool>) {
        if self.behaviour.turns_away.get() {
            let said = connection
                .say(&answer("503 Service Unavailable", TURNED_AWAY, ""))
                .await;
            return (AttemptEnd::TurnedAway, Some(said.is_ok()));
        }
        let first = if self.stage == Stage::Prefill {
            PREFILL
        } else {
            FIRST_EVENT
        };
        let spent = self.rng.borrow_mut().generate::<f64>() + 0.5;
        let worked = tokio::select! { biased;
            () = self.notices_close(connection) => None,
            slot = self.begin(first * spent) => Some(slot),
        };
        let Some(_slot) = worked else {
            return (AttemptEnd::Abandoned, Some(false));
        };
        match self.stage {
            Stage::Prefill => {
                self.audit
                    .borrow_mut()
                    .state_held(request, &self.id, self.clock.now());
                let said = connection
                    .say(&answer("202 Accepted", "", "{\"cached_tokens\":0}"))
                    .await;
                (AttemptEnd::Served, Some(said.is_ok()))
            }
            Stage::Decode => {
                if !self.audit.borrow_mut().state_taken(request) {
                    let said = connection.say(&answer("410 Gone", TURNED_AWAY, "")).await;
                    return (AttemptEnd::TurnedAway, Some(said.is_ok()));
                }
                self.stream(connection, id).await
            }
        }
    }

    /// Waits until the process has closed the connection, and the engine notices it.
    async fn notices_close(&self, connection: &mut Connection) {
        connection.closed().await;
        while self.behaviour.hangs.get() && self.behaviour.misses_closes.get() {
            sleep(BETWEEN_EVENTS).await;
        }
    }

    /// Works on an attempt up to what it answers first; a decode attempt waits for a slot, which it keeps to its end.
    async fn begin(&self, span: Ms) -> Option<SemaphorePermit<'_>> {
        // The slots are never closed.
        let slot = match self.stage {
            Stage::Prefill => None,
            Stage::Decode => self.slots.acquire().await.ok(),
        };
        self.spend(if self.behaviour.is_slow.get() {
            SLOW
        } else {
            span
        })
        .await;
        slot
    }

    /// Works for so long, and not at all while it hangs.
    async fn spend(&self, span: Ms) {
        self.until_not_hanging().await;
        sleep(span).await;
        self.until_not_hanging().await;
    }

    async fn until_not_hanging(&self) {
        while self.behaviour.hangs.get() {
            sleep(BETWEEN_EVENTS).await;
        }
    }

    fn draw_course(&self) -> (Course, usize, bool) {
        let mut rng = self.rng.borrow_mut();
        let course = match draw_part(&mut rng, [BREAKS_FIRST, BREAKS_LATER, SPOILT]) {
            Some(0) => Course::BreaksFirst,
            Some(1) => Course::BreaksLater,
            Some(2) => Course::Spoilt,
            _ => Course::Whole,
        };
        let events = if draw_part(&mut rng, [LONG]).is_some() {
            EVENTS_OF_LONG
        } else {
            EVENTS
        };
        (
            course,
            rng.generate_range(events),
            draw_part(&mut rng, [IN_PIECES]).is_some(),
        )
    }

    async fn stream(
        &self,
        connection: &mut Connection,
        id: AttemptId,
    ) -> (AttemptEnd, Option<bool>) {
        let (course, events, in_pieces) = self.draw_course();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if course == Course::Spoilt {
            // What comes cannot be read; the request has run.
            let _ = connection.say("HTTP/1.1 2?0 OK\r\n\r\nnoise").await;
            return (AttemptEnd::Failed, Some(false));
        }
        if connection.say(head).await.is_err() {
            return (AttemptEnd::Abandoned, Some(false));
        }
        let breaks_at = match course {
            Course::BreaksFirst => Some(0),
            Course::BreaksLater => Some(events / 2),
            _ => None,
        };
        for number in 0..events {
            let event = format!("data: {{\"n\":{number},\"choices\":[]}}\n\n");
            let (front, back) = event.split_at(event.len() / 2);
            if breaks_at == Some(number) {
                // Half of an event in a chunk of its own, and then a reset.
                let _ = connection.say(&chunk(front)).await;
                sleep(BETWEEN_PIECES).await;
                return (AttemptEnd::Failed, None);
            }
            let said = if in_pieces {
                self.say_in_pieces(connection, id, front, back).await
            } else {
                self.audit.borrow_mut().event_written(id, self.clock.now());
                connection.say(&chunk(&event)).await
            };
            if said.is_err() {
                return (AttemptEnd::Failed, Some(false));
            }
            let goes_on = tokio::select! { biased;
                () = self.notices_close(connection) => false,
                () = self.spend(BETWEEN_EVENTS) => true,
            };
            if !goes_on {
                return (AttemptEnd::Abandoned, Some(false));
            }
        }
        self.audit.borrow_mut().stream_complete(id);
        let last = format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"));
        let said = connection.say(&last).await;
        (AttemptEnd::Served, Some(said.is_ok()))
    }

    async fn say_in_pieces(
        &self,
        connection: &mut Connection,
        id: AttemptId,
        front: &str,
        back: &str,
    ) -> io::Result<()> {
        connection.say(&chunk(front)).await?;
        sleep(BETWEEN_PIECES).await;
        self.audit.borrow_mut().event_written(id, self.clock.now());
        connection.say(&chunk(back)).await
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
