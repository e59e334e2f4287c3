//! Clients of one process: they ask, read their answers, leave early, write slowly, or stop in the middle of a request.

use crate::audit::{Answer, Audit, Life};
use crate::plan::Class;
use crate::service::{draw_part, sleep, Clock};
use crate::Ms;
use bytes::BytesMut;
use cindercleat_http1::framing::{Came, Reading};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MOST_CHUNK: usize = 1 << 20;
const TURN: usize = 8 << 10;
/// Connections that rest for the next request.
const MOST_RESTING: usize = 4;
/// Of a hundred clients, how many leave early, how (by a reset in place of a close), and how many stop in the middle of
/// their request, write slowly, or send two requests at once.
const LEAVE: u32 = 10;
const STOP_WITHIN: u32 = 3;
const SLOW: u32 = 10;
const PIPELINE: u32 = 5;
/// After so long, at the latest, whoever stopped in the middle of a request goes.
const BAD_CLIENT_STAYS: Ms = 8_000.0;
/// A client waits for an answer this much longer than its deadline.
const WAITS_ON: Ms = 2_000.0;

/// For how long a client waits for the next event of its stream: it is left waiting for 5 s at the most.
const STREAM_WAITS: Ms = 6_000.0;
/// An idle client that was closed comes back after this.
const IDLE_COMES_BACK: Ms = 500.0;

/// What a client is like.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Plain,
    Leaves { after: Ms, resets: bool },
    StopsWithin,
    Slow,
    Pipelines,
}

/// A connection to a process, with what has come and was not looked at.
struct Line {
    io: TcpStream,
    bytes: BytesMut,
    used: bool,
}

/// How a request on a connection went.
struct Went {
    answer: Answer,
    /// Whether another request may follow on the connection.
    keeps: bool,
}

/// The clients of one run of a process; clones are the same ones.
#[derive(Clone)]
pub struct Clients {
    pub life: Life,
    address: SocketAddr,
    clock: Clock,
    audit: Rc<RefCell<Audit>>,
    rng: Rc<RefCell<WyRand>>,
    classes: [Class; 3],
    resting: Rc<RefCell<Vec<Line>>>,
}

/// A request that is about to be sent.
struct Asked {
    id: String,
    class: Class,
    left: u32,
}

impl Clients {
    pub fn new(
        life: Life,
        address: SocketAddr,
        clock: Clock,
        audit: Rc<RefCell<Audit>>,
        classes: [Class; 3],
        seed: u64,
    ) -> Clients {
        let rng = Rc::new(RefCell::new(WyRand::new_seed(seed)));
        Clients {
            life,
            address,
            clock,
            audit,
            rng,
            classes,
            resting: Rc::default(),
        }
    }

    fn draw_manner(&self) -> Manner {
        let mut rng = self.rng.borrow_mut();
        match draw_part(&mut rng, [LEAVE, STOP_WITHIN, SLOW, PIPELINE]) {
            Some(0) => {
                let (after, resets) = (
                    rng.generate::<f64>() * 150.0,
                    rng.generate_range(0..2u32) == 0,
                );
                Manner::Leaves { after, resets }
            }
            Some(1) => Manner::StopsWithin,
            Some(2) => Manner::Slow,
            Some(3) => Manner::Pipelines,
            _ => Manner::Plain,
        }
    }

    fn draw_request(&self) -> Asked {
        let mut rng = self.rng.borrow_mut();
        let class = self.classes[rng.generate_range(0..self.classes.len())];
        let id = format!("{:016x}", rng.generate::<u64>());
        // Some are told to wait for little.
        let left = if rng.generate_range(0..20u32) == 0 {
            rng.generate_range(30..300u32)
        } else {
            class.deadline
        };
        Asked { id, class, left }
    }

    /// One client asks.
    pub async fn ask(self) {
        match self.draw_manner() {
            Manner::StopsWithin => self.stop_within_a_request().await,
            Manner::Pipelines => self.pipeline().await,
            manner => {
                let asked = self.draw_request();
                self.request(&asked, manner).await;
            }
        }
    }

    /// One client asks on a connection that is open, if one rests: none comes anew.
    pub async fn ask_on_resting(self) {
        let Some(line) = self.resting.borrow_mut().pop() else {
            return;
        };
        let asked = self.draw_request();
        self.try_on(line, &asked, Manner::Plain).await;
    }

    /// A client that stays connected, asks nothing, and comes back when it is closed, until `over`.
    pub async fn stay_idle(self, over: impl Fn() -> bool) {
        while !over() {
            if let Ok(mut line) = self.connect().await {
                // Whatever ends it: it comes back.
                let _ = line.io.read_buf(&mut line.bytes).await;
            }
            sleep(IDLE_COMES_BACK).await;
        }
    }

    /// Sends a request and sees it through. If a connection that rested ends with no answer, and nothing shows that the
    /// request was read, it goes out once more on a new one.
    async fn request(&self, asked: &Asked, manner: Manner) {
        let resting = self.resting.borrow_mut().pop();
        if let Some(line) = resting {
            if self.try_on(line, asked, manner).await {
                return;
            }
        }
        let Ok(line) = self.connect().await else {
            return;
        };
        self.try_on(line, asked, manner).await;
    }

    async fn connect(&self) -> io::Result<Line> {
        let io = TcpStream::connect(self.address).await?;
        io.set_nodelay(true)?;
        Ok(Line {
            io,
            bytes: BytesMut::new(),
            used: false,
        })
    }

    /// Tells whether that settled it.
    async fn try_on(&self, mut line: Line, asked: &Asked, manner: Manner) -> bool {
        let text = text_of(asked);
        if write(&mut line, &text, manner == Manner::Slow)
            .await
            .is_err()
        {
            // Not all of it went out, so it was not taken.
            return !line.used;
        }
        let now = self.clock.now();
        self.audit.borrow_mut().request_sent(
            &asked.id,
            self.life,
            asked.class.effect,
            now,
            f64::from(asked.left),
        );
        let leaves = match manner {
            Manner::Leaves { after, .. } => after,
            _ => f64::from(asked.left) + WAITS_ON,
        };
        let leaves_at = Cell::new(now + leaves);
        let stays_on = !matches!(manner, Manner::Leaves { .. });
        let went = tokio::select! { biased;
            went = self.read(&mut line, &asked.id, stays_on.then_some(&leaves_at)) => went,
            () = self.until(&leaves_at) => return self.leave(line, asked, manner),
        };
        let crossed = went.answer == Answer::Nothing
            && line.used
            && !self.audit.borrow().was_attempted(&asked.id);
        if crossed {
            self.audit.borrow_mut().request_crossed(&asked.id);
            return false;
        }
        self.audit
            .borrow_mut()
            .answered(&asked.id, went.answer, self.clock.now());
        if went.keeps && self.resting.borrow().len() < MOST_RESTING {
            line.used = true;
            self.resting.borrow_mut().push(line);
        }
        true
    }

    /// Waits until an instant that may be put off meanwhile.
    async fn until(&self, at: &Cell<Ms>) {
        while self.clock.now() < at.get() {
            sleep(at.get() - self.clock.now()).await;
        }
    }

    /// A client that has had enough; one that waited past its deadline leaves nothing excused.
    fn leave(&self, line: Line, asked: &Asked, manner: Manner) -> bool {
        if let Manner::Leaves { resets, .. } = manner {
            self.audit
                .borrow_mut()
                .client_gone(&asked.id, self.clock.now());
            if resets {
                // A connection that is gone already needs none.
                let _ = line.io.set_zero_linger();
            }
        }
        true
    }

    /// Two requests at once on one connection.
    async fn pipeline(&self) {
        let Ok(mut line) = self.connect().await else {
            return;
        };
        let both = [self.draw_request(), self.draw_request()];
        let text = both.iter().map(text_of).collect::<String>();
        if write(&mut line, &text, false).await.is_err() {
            return;
        }
        let now = self.clock.now();
        for asked in &both {
            let effect = asked.class.effect;
            self.audit.borrow_mut().request_sent(
                &asked.id,
                self.life,
                effect,
                now,
                f64::from(asked.left),
            );
        }
        for asked in &both {
            let went = self.read(&mut line, &asked.id, None).await;
            self.audit
                .borrow_mut()
                .answered(&asked.id, went.answer, self.clock.now());
            self.audit
                .borrow_mut()
                .waited_behind_another(&both[1].id, self.clock.now());
            if !went.keeps {
                // The connection ends with that answer, and the client with it.
                self.audit
                    .borrow_mut()
                    .client_gone(&both[1].id, self.clock.now());
                return;
            }
        }
    }

    /// Half of a request, and nothing more.
    async fn stop_within_a_request(&self) {
        let Ok(mut line) = self.connect().await else {
            return;
        };
        let text = text_of(&self.draw_request());
        let cut = self.rng.borrow_mut().generate_range(1..text.len());
        let waits = self.rng.borrow_mut().generate::<f64>() * 1_500.0;
        let began = self.clock.now();
        sleep(waits).await;
        if line.io.write_all(&text.as_bytes()[..cut]).await.is_err() {
            return;
        }
        let ended = tokio::select! { biased;
            _ = line.io.read_buf(&mut line.bytes) => true,
            () = sleep(BAD_CLIENT_STAYS) => false,
        };
        let now = self.clock.now();
        self.audit
            .borrow_mut()
            .bad_client_ended(ended.then_some(now - began), now);
    }

    /// Reads an answer to its end; each event puts off when its client leaves, if that may be put off.
    async fn read(&self, line: &mut Line, id: &str, leaves_at: Option<&Cell<Ms>>) -> Went {
        let mut reading = Reading::new(MOST_CHUNK);
        let (mut head, mut events, mut text) = (None, 0, Vec::new());
        loop {
            match reading.next(&mut line.bytes) {
                Ok(Some(Came::Head(came))) => {
                    head = Some(came);
                    continue;
                }
                Ok(Some(Came::Data(data))) => {
                    text.extend_from_slice(&data);
                    events += self.take_events(&mut text, id);
                    if let Some(leaves_at) = leaves_at {
                        // A stream that has begun is the client's, whatever its deadline was.
                        leaves_at.set(leaves_at.get().max(self.clock.now() + STREAM_WAITS));
                    }
                    continue;
                }
                Ok(Some(Came::End)) => {
                    let Some(head) = head else {
                        return Went {
                            answer: Answer::Nothing,
                            keeps: false,
                        };
                    };
                    let answer = match head.first {
                        200 => Answer::Whole(events),
                        429 | 503 => Answer::Refused,
                        _ => Answer::Failed,
                    };
                    return Went {
                        answer,
                        keeps: head.keeps,
                    };
                }
                Ok(None) => {}
                Err(_) => {
                    return Went {
                        answer: Answer::Nothing,
                        keeps: false,
                    }
                }
            }
            line.bytes.reserve(TURN);
            if !matches!(line.io.read_buf(&mut line.bytes).await, Ok(1..)) {
                let streams = head.is_some_and(|head| head.first == 200);
                let answer = if streams {
                    Answer::Broken(events)
                } else {
                    Answer::Nothing
                };
                return Went {
                    answer,
                    keeps: false,
                };
            }
        }
    }

    /// Takes whole events off the front, and tells of them; gives how many bore a number.
    fn take_events(&self, text: &mut Vec<u8>, id: &str) -> usize {
        let mut taken = 0;
        while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let number = std::str::from_utf8(&event).ok().and_then(number_of);
            if let Some(number) = number {
                self.audit
                    .borrow_mut()
                    .event_came(id, number, self.clock.now());
                taken += 1;
            }
        }
        taken
    }
}

fn number_of(event: &str) -> Option<usize> {
    let rest = event.strip_prefix("data: {\"n\":")?;
    rest.split(',').next()?.parse().ok()
}

fn text_of(asked: &Asked) -> String {
    let Asked { id, class, left } = asked;
    let body =
        "{\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a question of some length\"}]}";
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {left}\r\nX-Labels: prompt_len=600,max_out=100\r\nContent-Length: {}\r\n\r\n{body}",
        class.name,
        body.len()
    )
}

async fn write(line: &mut Line, text: &str, slowly: bool) -> io::Result<()> {
    if !slowly {
        return line.io.write_all(text.as_bytes()).await;
    }
    let (front, last) = text.as_bytes().split_at(text.len() - 1);
    for piece in front.chunks(text.len() / 5 + 1) {
        line.io.write_all(piece).await?;
        sleep(20.0).await;
    }
    line.io.write_all(last).await
}
