//! Sessions for tests: their limits, the runtime that they run on, the peers' ends of connections, and messages.
#![allow(dead_code)]

use cindercleat_http1::{Bounds, Http1, Session};
use cindercleat_protocol::session::{Event, Setup, Wire};
use cindercleat_protocol::{v1, Body};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, DuplexStream, ReadBuf};

pub const BOUNDS: Bounds = Bounds {
    max_body_bytes: 1000,
    max_chunk_bytes: 1000,
    max_list_bytes: 4000,
    max_listed_engines: 4096,
    max_total_body_bytes: 5000,
    max_total_response_bytes: 5000,
    discovery_wait_ms: 500,
    drain_timeout_ms: 500,
    max_drained_bytes: 4000,
    write_stall_timeout_ms: 4000,
};

/// Runs a test on a paused runtime; fails if the test takes more than 60 s of simulated time.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let test_with_timeout = async {
        tokio::time::timeout(Duration::from_secs(60), test)
            .await
            .expect("the test ends within 60 s");
    };
    tokio::task::LocalSet::new().block_on(&runtime.expect("runtime built"), test_with_timeout);
}

/// The clock of a test on sockets.
#[derive(Clone, Copy, PartialEq)]
pub enum TestClock {
    Real,
    /// Time passes only while nothing else happens, so that time limits do not depend on the machine's load.
    Paused,
}

/// Runs a test on a runtime with sockets.
pub fn on_sockets<F: Future<Output = ()>>(clock: TestClock, test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(clock == TestClock::Paused)
        .build()
        .expect("runtime built");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Both ends of a connection on loopback; the first one has opened it.
pub async fn socket_pair() -> (tokio::net::TcpStream, tokio::net::TcpStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port available");
    let address = listener.local_addr().expect("local address known");
    let opened = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection established");
    let (accepted, _) = listener.accept().await.expect("connection accepted");
    (opened, accepted)
}

pub fn setup() -> Setup {
    let (name, expects) = ("d".to_owned(), "h".to_owned());
    Setup {
        party: v1::Party::Dispatcher,
        name,
        expects,
        run: 1,
        max_message_bytes: 1000,
        max_concurrent_calls: 1,
    }
}

/// The client's end of a connection, and the dispatcher's session with the client.
pub async fn client(wire: &Http1) -> (DuplexStream, Session) {
    let (test_end, session_end) = duplex(1 << 20);
    (
        test_end,
        wire.serve(session_end, setup())
            .await
            .expect("session started"),
    )
}

/// The engine's end of a connection, and the dispatcher's session with the engine.
pub async fn engine() -> (DuplexStream, Session) {
    let (test_end, session_end) = duplex(1 << 20);
    (
        test_end,
        Http1::new(BOUNDS)
            .connect(session_end, v1::Party::Engine, setup())
            .await
            .expect("session started"),
    )
}

/// The next frame of a session, as stream and body; `None` once the session has ended.
pub async fn next_body(session: &mut Session) -> Option<(u64, Body)> {
    loop {
        match session.events.recv().await? {
            Event::Frame(frame) => return Some((frame.stream, frame.body?)),
            Event::MessageBegun
            | Event::MessagesWritten { .. }
            | Event::GoingAway
            | Event::UnsolicitedData => {}
        }
    }
}

/// Reads until the text ends with `end`, or until the connection ends; an empty `end` reads everything.
pub async fn read_until(from: &mut DuplexStream, end: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) || end.is_empty() {
        let mut part = [0; 1000];
        match from.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => text.extend_from_slice(&part[..bytes]),
        }
    }
    String::from_utf8(text).expect("UTF-8 text")
}

pub const REQUEST_HEAD: &str =
    "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: chat\r\n\
    X-Entity: 7f3a9c21e0b4d655\r\nX-Remaining-Ms: 4800\r\n\
    X-Labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\nContent-Type: application/json\r\n";

/// The head of a request with a chunked body.
pub fn chunked_head() -> String {
    format!("{REQUEST_HEAD}Transfer-Encoding: chunked\r\n\r\n")
}

/// A complete client request with this body.
pub fn request_text(body: &str) -> String {
    format!("{REQUEST_HEAD}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A token message whose position and count are in bytes, as HTTP sessions count them.
pub fn tokens(position: u32, text: &str) -> Body {
    let text = bytes::Bytes::copy_from_slice(text.as_bytes());
    Body::Tokens(v1::Tokens {
        position,
        count: text.len() as u32,
        text,
    })
}

pub fn final_answer(answer: v1::Answer, retry_after_ms: f64) -> Body {
    Body::Final(v1::Final {
        answer: answer.into(),
        retry_after_ms,
        ..v1::Final::default()
    })
}

/// A peer that can always be read: it sends a beginning, then a pattern again and again, and closes or stays silent after
/// `max_bytes`. It accepts everything that is written to it.
pub struct AlwaysReadable {
    beginning: Vec<u8>,
    /// The pattern, repeated to a length that fills a read.
    pattern: Vec<u8>,
    /// The length of the pattern without its repeats.
    period: usize,
    max_bytes: usize,
    /// Whether the peer sends nothing before something was written to it.
    answers: bool,
    /// Whether the peer stays silent after its last byte, in place of closing.
    stays: bool,
    /// Woken by the first write.
    waiting: Option<Waker>,
    log: PeerLog,
}

/// What an [`AlwaysReadable`] has sent and received.
#[derive(Clone, Default)]
pub struct PeerLog {
    /// The number of bytes that were read from the peer.
    pub sent_bytes: Rc<Cell<usize>>,
    /// The bytes that were written to the peer.
    pub received: Rc<RefCell<Vec<u8>>>,
}

impl AlwaysReadable {
    pub fn new(beginning: &str, pattern: &str, max_bytes: usize) -> (Self, PeerLog) {
        const MIN_PATTERN_BYTES: usize = 64 << 10;
        let log = PeerLog::default();
        let peer = AlwaysReadable {
            beginning: beginning.as_bytes().to_vec(),
            pattern: pattern
                .repeat(1 + MIN_PATTERN_BYTES / pattern.len())
                .into_bytes(),
            period: pattern.len(),
            max_bytes,
            answers: false,
            stays: false,
            waiting: None,
            log: log.clone(),
        };
        (peer, log)
    }

    /// Makes the peer an engine or discovery: it sends nothing before its first request has begun.
    pub fn answering(mut self) -> Self {
        self.answers = true;
        self
    }

    /// Makes the peer stay silent after its last byte, in place of closing.
    pub fn staying(mut self) -> Self {
        self.stays = true;
        self
    }
}

impl AsyncRead for AlwaysReadable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        if self.answers && self.log.received.borrow().is_empty() {
            self.waiting = Some(context.waker().clone());
            return Poll::Pending;
        }
        let sent = self.log.sent_bytes.get();
        if self.stays && sent >= self.max_bytes {
            return Poll::Pending;
        }
        let rest = match sent.checked_sub(self.beginning.len()) {
            None => &self.beginning[sent..],
            Some(of_pattern) => &self.pattern[of_pattern % self.period..],
        };
        let bytes = rest
            .len()
            .min(buffer.remaining())
            .min(self.max_bytes.saturating_sub(sent));
        buffer.put_slice(&rest[..bytes]);
        self.log.sent_bytes.set(sent + bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AlwaysReadable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(waiting) = self.waiting.take() {
            waiting.wake();
        }
        self.log.received.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
