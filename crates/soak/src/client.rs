//! The stand-ins for the clients of one process. Clients send requests and read answers; some disconnect early, write
//! slowly, pipeline requests, or stall in the middle of a request.

use crate::audit::{Answer, Audit, ProcessRun};
use crate::plan::Class;
use crate::service::{draw_percentage, sleep, Clock};
use crate::Ms;
use bytes::BytesMut;
use cindercleat_http1::framing::{ResponsePart, ResponseReader};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest chunk of an answer that a client accepts.
const MAX_CHUNK_BYTES: usize = 1 << 20;
/// The least free buffer space before each read.
const READ_BYTES: usize = 8 << 10;
/// The number of idle connections that are kept for further requests.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The percentage of clients that disconnect early, half of them by a reset and half by a close.
const DISCONNECT_PERCENT: u32 = 10;
/// The percentage of clients that stall in the middle of their request.
const STALL_PERCENT: u32 = 3;
/// The percentage of clients that write their request slowly.
const SLOW_PERCENT: u32 = 10;
/// The percentage of clients that send the last byte of their request as the process stops waiting for it.
const LAST_BYTE_LATE_PERCENT: u32 = 4;
/// The time after which a process stops waiting for the rest of a request.
const REQUEST_READ_TIMEOUT: Ms = 2_000.0;
/// How far from [`REQUEST_READ_TIMEOUT`] a late last byte is sent at most.
const LAST_BYTE_SPREAD: Ms = 6.0;
/// The percentage of clients that send several requests at once on one connection.
const PIPELINE_PERCENT: u32 = 5;
/// The number of requests that a client sends at once.
const PIPELINED_REQUESTS: std::ops::RangeInclusive<usize> = 2..=20;
/// The length of the question in a request of usual length, in bytes.
const USUAL_QUESTION_BYTES: std::ops::Range<usize> = 10_000..30_000;
/// The percentage of requests that have [`USUAL_QUESTION_BYTES`]; the others are short.
const USUAL_LENGTH_PERCENT: u32 = 30;
/// The question of a short request.
const SHORT_QUESTION: &str = "a question of some length";
/// How long a client that stalls within its request waits for the process to end it with an error or a close.
const STALLED_CLIENT_WAIT: Ms = 8_000.0;
/// How long after its deadline a client still waits for an answer.
const WAIT_AFTER_DEADLINE: Ms = 2_000.0;

/// How long a client waits for the next event of its stream. A process may leave a client waiting for 5 s at most.
const EVENT_WAIT: Ms = 6_000.0;
/// How long an idle client waits after the end of its connection before it connects again.
const IDLE_RECONNECT: Ms = 500.0;

/// How one client behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Sends its request at once and waits for the answer.
    Plain,
    /// Disconnects `after` milliseconds after its request is sent, by a reset or by a close.
    Disconnects { after: Ms, resets: bool },
    /// Sends a part of a request and then nothing more.
    Stalls,
    /// Writes its request in pieces with pauses between.
    Slow,
    /// Sends the last byte of its request this long after the others.
    LastByteLate { after: Ms },
    /// Sends several requests at once.
    Pipelines,
}

/// A connection to a process, with the bytes that have been read and not parsed.
struct Connection {
    io: TcpStream,
    bytes: BytesMut,
    /// Whether the connection has carried a request before.
    is_reused: bool,
}

/// What a client received for a request on a connection.
struct Exchange {
    answer: Answer,
    /// Whether another request may follow on the connection.
    keeps_alive: bool,
}

/// The clients of one run of a process. Clones share one pool of idle connections and one random generator.
#[derive(Clone)]
pub struct Clients {
    pub run: ProcessRun,
    address: SocketAddr,
    clock: Clock,
    audit: Rc<RefCell<Audit>>,
    rng: Rc<RefCell<WyRand>>,
    classes: [Class; 3],
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// A request to be sent.
struct NewRequest {
    /// The random identifier that the client gives the request, in hexadecimal.
    id: String,
    class: Class,
    /// The time from the request to its deadline, in milliseconds.
    time_to_deadline: u32,
    question: String,
}

impl Clients {
    /// Creates the clients of a run that listens on `address`; all random draws derive from `seed`.
    pub fn new(
        run: ProcessRun,
        address: SocketAddr,
        clock: Clock,
        audit: Rc<RefCell<Audit>>,
        classes: [Class; 3],
        seed: u64,
    ) -> Clients {
        let rng = Rc::new(RefCell::new(WyRand::new_seed(seed)));
        Clients {
            run,
            address,
            clock,
            audit,
            rng,
            classes,
            idle: Rc::default(),
        }
    }

    fn draw_behaviour(&self) -> Behaviour {
        let mut rng = self.rng.borrow_mut();
        match draw_percentage(
            &mut rng,
            [
                DISCONNECT_PERCENT,
                STALL_PERCENT,
                SLOW_PERCENT,
                PIPELINE_PERCENT,
                LAST_BYTE_LATE_PERCENT,
            ],
        ) {
            Some(0) => {
                let (after, resets) = (
                    rng.generate::<f64>() * 150.0,
                    rng.generate_range(0..2u32) == 0,
                );
                Behaviour::Disconnects { after, resets }
            }
            Some(1) => Behaviour::Stalls,
            Some(2) => Behaviour::Slow,
            Some(3) => Behaviour::Pipelines,
            Some(4) => Behaviour::LastByteLate {
                after: REQUEST_READ_TIMEOUT
                    + (2.0 * rng.generate::<f64>() - 1.0) * LAST_BYTE_SPREAD,
            },
            _ => Behaviour::Plain,
        }
    }

    fn draw_request(&self) -> NewRequest {
        let mut rng = self.rng.borrow_mut();
        let class = self.classes[rng.generate_range(0..self.classes.len())];
        let id = format!("{:016x}", rng.generate::<u64>());
        // One request in twenty has a short deadline.
        let time_to_deadline = if rng.generate_range(0..20u32) == 0 {
            rng.generate_range(30..300u32)
        } else {
            class.time_to_deadline
        };
        let question = if draw_percentage(&mut rng, [USUAL_LENGTH_PERCENT]).is_some() {
            draw_usual_question(&mut rng)
        } else {
            SHORT_QUESTION.to_owned()
        };
        NewRequest {
            id,
            class,
            time_to_deadline,
            question,
        }
    }

    /// Draws requests that are sent at once; in half of the cases all of them have the usual length.
    fn draw_pipelined_requests(&self) -> Vec<NewRequest> {
        let count = self.rng.borrow_mut().generate_range(PIPELINED_REQUESTS);
        let mut requests: Vec<NewRequest> = (0..count).map(|_| self.draw_request()).collect();
        let mut rng = self.rng.borrow_mut();
        if rng.generate_range(0..2u32) == 0 {
            for request in &mut requests {
                request.question = draw_usual_question(&mut rng);
            }
        }
        requests
    }

    /// Sends a request of one client, whose behaviour is drawn at random.
    pub async fn send_request(self) {
        match self.draw_behaviour() {
            Behaviour::Stalls => self.stall_within_request().await,
            Behaviour::Pipelines => self.pipeline().await,
            behaviour => {
                let mut request = self.draw_request();
                if let Behaviour::LastByteLate { after } = behaviour {
                    // The process counts the deadline from the first byte.
                    request.time_to_deadline += after as u32;
                }
                self.request(&request, behaviour).await;
            }
        }
    }

    /// Sends a request on an idle connection; does nothing if there is none.
    pub async fn send_on_idle_connection(self) {
        let Some(connection) = self.idle.borrow_mut().pop() else {
            return;
        };
        let request = self.draw_request();
        self.send_on(connection, &request, Behaviour::Plain).await;
    }

    /// Keeps one client connected without a request. It reconnects when its connection ends, until `is_over` returns
    /// `true`.
    pub async fn stay_idle(self, is_over: impl Fn() -> bool) {
        while !is_over() {
            if let Ok(mut connection) = self.connect().await {
                // The client reconnects whatever ended the connection.
                let _ = connection.io.read_buf(&mut connection.bytes).await;
            }
            sleep(IDLE_RECONNECT).await;
        }
    }

    /// Sends a request and reads its answer. If an idle connection ends without an answer, and nothing shows that the
    /// request was read, the request is sent once more on a new connection.
    async fn request(&self, request: &NewRequest, behaviour: Behaviour) {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle {
            if self.send_on(connection, request, behaviour).await {
                return;
            }
        }
        let Ok(connection) = self.connect().await else {
            return;
        };
        self.send_on(connection, request, behaviour).await;
    }

    async fn connect(&self) -> io::Result<Connection> {
        let io = TcpStream::connect(self.address).await?;
        io.set_nodelay(true)?;
        Ok(Connection {
            io,
            bytes: BytesMut::new(),
            is_reused: false,
        })
    }

    /// Sends a request on a connection and reads its answer. Returns `false` if the request has to be sent again on
    /// another connection.
    async fn send_on(
        &self,
        mut connection: Connection,
        request: &NewRequest,
        behaviour: Behaviour,
    ) -> bool {
        let text = request_text(request);
        if write(&mut connection, &text, behaviour).await.is_err() {
            // The request is incomplete, so the process has not accepted it.
            return !connection.is_reused;
        }
        let now = self.clock.now();
        self.audit.borrow_mut().request_sent(
            &request.id,
            self.run,
            request.class.effect,
            now,
            f64::from(request.time_to_deadline),
        );
        let connected_time = match behaviour {
            Behaviour::Disconnects { after, .. } => after,
            _ => f64::from(request.time_to_deadline) + WAIT_AFTER_DEADLINE,
        };
        let disconnects_at = Cell::new(now + connected_time);
        let waits_for_answer = !matches!(behaviour, Behaviour::Disconnects { .. });
        let exchange = tokio::select! { biased;
            exchange = self.read(&mut connection, &request.id, waits_for_answer.then_some(&disconnects_at)) => exchange,
            () = self.sleep_until(&disconnects_at) => return self.disconnect(connection, request, behaviour),
        };
        let is_unread = exchange.answer == Answer::None
            && connection.is_reused
            && !self.audit.borrow().was_attempted(&request.id);
        if is_unread {
            self.audit.borrow_mut().request_unread(&request.id);
            return false;
        }
        self.audit
            .borrow_mut()
            .answered(&request.id, exchange.answer, self.clock.now());
        if exchange.keeps_alive && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            connection.is_reused = true;
            self.idle.borrow_mut().push(connection);
        }
        true
    }

    /// Waits until the time in `at`, which may be postponed during the wait.
    async fn sleep_until(&self, at: &Cell<Ms>) {
        while self.clock.now() < at.get() {
            sleep(at.get() - self.clock.now()).await;
        }
    }

    /// Disconnects a client. Only a client with [`Behaviour::Disconnects`] is recorded as disconnected: one that has
    /// waited past its deadline is still owed an answer. Returns `true`, as the request is not to be sent again.
    fn disconnect(
        &self,
        connection: Connection,
        request: &NewRequest,
        behaviour: Behaviour,
    ) -> bool {
        if let Behaviour::Disconnects { resets, .. } = behaviour {
            self.audit
                .borrow_mut()
                .client_disconnected(&request.id, self.clock.now());
            if resets {
                // An error means that the connection has ended already.
                let _ = connection.io.set_zero_linger();
            }
        }
        true
    }

    /// Sends several requests at once on one connection and reads their answers.
    async fn pipeline(&self) {
        let Ok(mut connection) = self.connect().await else {
            return;
        };
        let requests = self.draw_pipelined_requests();
        for (number, request) in requests.iter().enumerate() {
            let text = request_text(request);
            if write(&mut connection, &text, Behaviour::Plain)
                .await
                .is_err()
            {
                // What was not written was not accepted, and the client reads no answers to the rest.
                return self.give_up(&requests[..number]);
            }
            self.audit.borrow_mut().request_sent(
                &request.id,
                self.run,
                request.class.effect,
                self.clock.now(),
                f64::from(request.time_to_deadline),
            );
        }
        for (number, request) in requests.iter().enumerate() {
            let exchange = self.read(&mut connection, &request.id, None).await;
            let now = self.clock.now();
            self.audit
                .borrow_mut()
                .answered(&request.id, exchange.answer, now);
            let later = &requests[number + 1..];
            for request in later {
                self.audit
                    .borrow_mut()
                    .previous_request_answered(&request.id, now);
            }
            if !exchange.keeps_alive {
                // The connection ends with this answer, so the requests behind it are given up.
                return self.give_up(later);
            }
        }
    }

    /// Records that the client of these requests has closed its connection.
    fn give_up(&self, requests: &[NewRequest]) {
        let mut audit = self.audit.borrow_mut();
        for request in requests {
            audit.client_disconnected(&request.id, self.clock.now());
        }
    }

    /// Sends the first part of a request and nothing more, and reports how long the process takes to end it.
    async fn stall_within_request(&self) {
        let Ok(mut connection) = self.connect().await else {
            return;
        };
        let text = request_text(&self.draw_request());
        let sent_bytes = self.rng.borrow_mut().generate_range(1..text.len());
        let pause = self.rng.borrow_mut().generate::<f64>() * 1_500.0;
        let began = self.clock.now();
        sleep(pause).await;
        if connection
            .io
            .write_all(&text.as_bytes()[..sent_bytes])
            .await
            .is_err()
        {
            return;
        }
        let ended = tokio::select! { biased;
            _ = connection.io.read_buf(&mut connection.bytes) => true,
            () = sleep(STALLED_CLIENT_WAIT) => false,
        };
        let now = self.clock.now();
        self.audit
            .borrow_mut()
            .stalled_client_ended(ended.then_some(now - began), now);
    }

    /// Reads an answer to its end. Each event postpones the client's disconnect, unless `disconnects_at` is `None`.
    async fn read(
        &self,
        connection: &mut Connection,
        id: &str,
        disconnects_at: Option<&Cell<Ms>>,
    ) -> Exchange {
        let mut reading = ResponseReader::new(MAX_CHUNK_BYTES);
        let (mut head, mut events, mut text) = (None, 0, Vec::new());
        loop {
            match reading.next(&mut connection.bytes) {
                Ok(Some(ResponsePart::Head(received))) => {
                    head = Some(received);
                    continue;
                }
                Ok(Some(ResponsePart::Data(data))) => {
                    text.extend_from_slice(&data);
                    events += self.take_events(&mut text, id);
                    if let Some(disconnects_at) = disconnects_at {
                        // The deadline applies to the first event only.
                        disconnects_at.set(disconnects_at.get().max(self.clock.now() + EVENT_WAIT));
                    }
                    continue;
                }
                Ok(Some(ResponsePart::End)) => {
                    let Some(head) = head else {
                        return Exchange {
                            answer: Answer::None,
                            keeps_alive: false,
                        };
                    };
                    let answer = match head.start_line {
                        200 => Answer::Complete(events),
                        429 | 503 => Answer::Rejected,
                        _ => Answer::Failed,
                    };
                    return Exchange {
                        answer,
                        keeps_alive: head.keep_alive,
                    };
                }
                Ok(None) => {}
                Err(_) => {
                    return Exchange {
                        answer: Answer::None,
                        keeps_alive: false,
                    }
                }
            }
            connection.bytes.reserve(READ_BYTES);
            if !matches!(connection.io.read_buf(&mut connection.bytes).await, Ok(1..)) {
                let is_stream = head.is_some_and(|head| head.start_line == 200);
                let answer = if is_stream {
                    Answer::Broken(events)
                } else {
                    Answer::None
                };
                return Exchange {
                    answer,
                    keeps_alive: false,
                };
            }
        }
    }

    /// Removes complete events from the front of `text`, reports each to the audit, and returns the number of those
    /// that carry an event number.
    fn take_events(&self, text: &mut Vec<u8>, id: &str) -> usize {
        let mut taken = 0;
        while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let event = std::str::from_utf8(&event).ok().and_then(parse_event);
            if let Some((number, request)) = event {
                let (mut audit, now) = (self.audit.borrow_mut(), self.clock.now());
                audit.event_names_request(id, request, now);
                audit.event_received(id, number, now);
                taken += 1;
            }
        }
        taken
    }
}

fn draw_usual_question(rng: &mut WyRand) -> String {
    "x".repeat(rng.generate_range(USUAL_QUESTION_BYTES))
}

/// The number of an event and the request that it names; `None` for an event without them, such as the last one of a
/// stream.
fn parse_event(event: &str) -> Option<(usize, &str)> {
    let rest = event.strip_prefix("data: {\"n\":")?;
    let (number, rest) = rest.split_once(",\"id\":\"")?;
    Some((number.parse().ok()?, rest.split('"').next()?))
}

/// The HTTP text of a request.
fn request_text(request: &NewRequest) -> String {
    let NewRequest {
        id,
        class,
        time_to_deadline,
        question,
    } = request;
    let body = format!(
        "{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{question}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {time_to_deadline}\r\nX-Labels: prompt_len=600,max_out=100\r\nContent-Length: {}\r\n\r\n{body}",
        class.name,
        body.len()
    )
}

/// Writes the text of a request as the client behaves: at once, in pieces with pauses of 20 ms between, or with a pause
/// before the last byte.
async fn write(connection: &mut Connection, text: &str, behaviour: Behaviour) -> io::Result<()> {
    let (front, last) = text.as_bytes().split_at(text.len() - 1);
    match behaviour {
        Behaviour::Slow => {
            for piece in front.chunks(text.len() / 5 + 1) {
                connection.io.write_all(piece).await?;
                sleep(20.0).await;
            }
        }
        Behaviour::LastByteLate { after } => {
            connection.io.write_all(front).await?;
            sleep(after).await;
        }
        _ => return connection.io.write_all(text.as_bytes()).await,
    }
    connection.io.write_all(last).await
}
