//! Runs a dispatcher on loopback TCP sockets. The test acts as the clients, the engines and discovery, so it
//! controls the order of events.
//!
//! The order of events never depends on a sleep. The dispatcher's clock moves only in [`Loopback::advance`], a blocked
//! connection is established only after [`GatedTransport::unblock`], and [`TEST_TIMEOUT`] ends only a test that hangs.
#![allow(dead_code)]

use super::common::{settings, single_limits};
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::Ms;
use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_http1::{Bounds, Http1};
use cindercleat_net::{Clock, Listener, Tcp, Transport};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle, LocalSet};

pub const BOUNDS: Bounds = Bounds {
    max_body_bytes: 256 << 10,
    max_chunk_bytes: 256 << 10,
    max_list_bytes: 1 << 20,
    max_listed_engines: 4096,
    max_total_body_bytes: 8 << 20,
    max_total_response_bytes: 8 << 20,
    discovery_wait_ms: 500,
    drain_timeout_ms: 500,
    max_drained_bytes: 1 << 20,
    write_stall_timeout_ms: 4000,
};
/// The error number EMFILE: the process has no free file descriptor.
const TOO_MANY_OPEN_FILES: i32 = 24;
/// A test that runs longer than this is taken to hang, and fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ADDRESS: &str = "127.0.0.1:0";

/// A clock that moves only when the test advances it.
#[derive(Clone)]
pub struct ManualClock {
    now: Rc<Cell<Ms>>,
    moved: Rc<Notify>,
}

impl Clock for ManualClock {
    fn now(&self) -> Ms {
        self.now.get()
    }

    async fn sleep_until(&self, at: Ms) {
        loop {
            let moved = self.moved.notified();
            if self.now.get() >= at {
                return;
            }
            moved.await;
        }
    }
}

/// A TCP transport that delays connections to blocked addresses, and can return errors from connects and accepts.
#[derive(Clone, Default)]
pub struct GatedTransport {
    blocked: Rc<RefCell<BTreeSet<String>>>,
    /// Whether connects fail because no file descriptor is free.
    exhausted: Rc<Cell<bool>>,
    /// Error numbers with which the next accepts fail. The last one is used first.
    accept_errors: Rc<RefCell<Vec<i32>>>,
    /// The address of each connection that was delayed. Entries remain after the address is unblocked.
    blocked_connects: Rc<RefCell<Vec<String>>>,
    changed: Rc<Notify>,
}

impl GatedTransport {
    /// Delays connects to the address until it is unblocked.
    pub fn block(&self, address: &str) {
        self.blocked.borrow_mut().insert(address.to_owned());
    }

    /// Lets delayed and later connects to the address proceed.
    pub fn unblock(&self, address: &str) {
        self.blocked.borrow_mut().remove(address);
        self.changed.notify_waiters();
    }

    /// Makes connects fail with EMFILE, or succeed again.
    pub fn set_descriptors_exhausted(&self, exhausted: bool) {
        self.exhausted.set(exhausted);
    }

    /// Makes the next accepts fail with these error numbers.
    pub fn fail_accepts(&self, errors: &[i32]) {
        self.accept_errors.borrow_mut().extend(errors);
    }

    /// Waits until a connect to the address is blocked.
    pub async fn wait_until_blocked(&self, address: &str) {
        wait_until(|| {
            self.blocked_connects
                .borrow()
                .iter()
                .any(|blocked| blocked == address)
        })
        .await;
    }
}

/// A listener whose accepts fail with the injected errors before they succeed.
pub struct FailingListener {
    inner: TcpListener,
    errors: Rc<RefCell<Vec<i32>>>,
}

impl Listener for FailingListener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let error = self.errors.borrow_mut().pop();
        match error {
            Some(error) => Err(io::Error::from_raw_os_error(error)),
            None => Listener::accept(&mut self.inner).await,
        }
    }

    fn address(&self) -> String {
        Listener::address(&self.inner)
    }
}

impl Transport for GatedTransport {
    type Stream = TcpStream;
    type Listener = FailingListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        if self.exhausted.get() {
            return Err(io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES));
        }
        if self.blocked.borrow().contains(address) {
            self.blocked_connects.borrow_mut().push(address.to_owned());
            loop {
                let changed = self.changed.notified();
                if !self.blocked.borrow().contains(address) {
                    break;
                }
                changed.await;
            }
        }
        Tcp.connect(address).await
    }

    async fn listen(&self, address: &str) -> io::Result<FailingListener> {
        Ok(FailingListener {
            inner: Tcp.listen(address).await?,
            errors: self.accept_errors.clone(),
        })
    }
}

/// Runs the other tasks until the condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        yield_now().await;
    }
}

/// The test's end of a connection.
pub struct Conn {
    pub io: TcpStream,
    /// Bytes that were received and not yet returned by a read.
    received: Vec<u8>,
}

/// An HTTP/1.1 request that the test has received.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The request's id; empty if its header is missing.
    pub fn id(&self) -> &str {
        self.header("X-Txn").unwrap_or_default()
    }
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        io.set_nodelay(true).expect("socket option is set");
        Conn {
            io,
            received: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.io
            .write_all(text.as_bytes())
            .await
            .expect("bytes are written");
    }

    /// Receives more bytes. Returns false once the connection has ended, cleanly or with an error.
    async fn read_more(&mut self) -> bool {
        let mut part = [0; 4096];
        match self.io.read(&mut part).await {
            Ok(0) | Err(_) => false,
            Ok(bytes) => {
                self.received.extend_from_slice(&part[..bytes]);
                true
            }
        }
    }

    /// Returns the text up to and including `end`, or all remaining text if the connection ends first.
    pub async fn read_until(&mut self, end: &str) -> String {
        loop {
            let at = self
                .received
                .windows(end.len().max(1))
                .position(|w| w == end.as_bytes());
            if let Some(at) = at {
                let rest = self.received.split_off(at + end.len());
                return String::from_utf8(std::mem::replace(&mut self.received, rest))
                    .expect("text is UTF-8");
            }
            if !self.read_more().await {
                return String::from_utf8(std::mem::take(&mut self.received))
                    .expect("text is UTF-8");
            }
        }
    }

    /// Returns the next request, or `None` if the connection ends before the first byte of one.
    pub async fn next_request(&mut self) -> Option<Request> {
        let head = self.read_until("\r\n\r\n").await;
        if head.is_empty() {
            return None;
        }
        let mut request = Request {
            head,
            body: Vec::new(),
        };
        let length = request
            .header("Content-Length")
            .map_or(0, |line| line.parse().expect("Content-Length is a number"));
        while self.received.len() < length && self.read_more().await {}
        request.body = self
            .received
            .drain(..length.min(self.received.len()))
            .collect();
        Some(request)
    }

    pub async fn read_request(&mut self) -> Request {
        self.next_request().await.expect("a request arrives")
    }

    /// Returns the remaining text until the connection ends.
    pub async fn read_to_end(&mut self) -> String {
        while self.read_more().await {}
        String::from_utf8(std::mem::take(&mut self.received)).expect("text is UTF-8")
    }
}

/// The listening socket of an engine that the test plays.
pub struct Engine {
    pub address: String,
    listener: TcpListener,
}

impl Engine {
    pub async fn accept(&self) -> Conn {
        Conn::new(
            self.listener
                .accept()
                .await
                .expect("connection is accepted")
                .0,
        )
    }

    /// Accepts the next connection and reads its first request.
    pub async fn accept_request(&self) -> (Conn, Request) {
        let mut conn = self.accept().await;
        let request = conn.read_request().await;
        (conn, request)
    }

    /// Whether a connection waits to be accepted. The check accepts and drops that connection.
    pub fn has_pending_connection(&self) -> bool {
        use std::future::poll_fn;
        use std::task::{Context, Poll, Waker};
        let mut context = Context::from_waker(Waker::noop());
        let mut accept = std::pin::pin!(poll_fn(|context| self.listener.poll_accept(context)));
        matches!(accept.as_mut().poll(&mut context), Poll::Ready(_))
    }
}

/// The running dispatcher with the sockets of its engines and its discovery service, which the test controls.
pub struct Loopback {
    pub driver: Driver<GatedTransport, ManualClock, Http1>,
    pub clock: ManualClock,
    pub gate: GatedTransport,
    pub address: String,
    engines: BTreeMap<&'static str, Engine>,
    discovery: TcpListener,
    /// The discovery connection with the dispatcher's open watch request.
    watch: RefCell<Option<Conn>>,
    /// The revision of the newest endpoint list that the test has sent.
    revision: Cell<u64>,
    /// Notified to stop the dispatcher.
    pub stop: Rc<Notify>,
    /// The task that runs the dispatcher.
    serve_task: JoinHandle<()>,
}

/// Socket buffer size in bytes for clients that do not read, close to the system's minimum. The kernel uses a slightly
/// larger size.
const SMALL_BUFFER: u32 = 4096;

fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("socket is created");
    // Accepted connections inherit the listener's buffer size.
    socket
        .set_send_buffer_size(SMALL_BUFFER)
        .expect("buffer size is set");
    socket
        .bind(ADDRESS.parse().expect("address is valid"))
        .expect("port is bound");
    socket.listen(128).expect("socket listens")
}

pub fn limits() -> Limits {
    let discovery = DiscoverySettings {
        connect_timeout: 250.0,
        first_answer_timeout: 1e9,
        silence_timeout: 1e9,
        initial_backoff: 100.0,
        max_backoff: 1000.0,
        resume_from_known_version: false,
    };
    Limits {
        discovery,
        max_message_bytes: BOUNDS.max_body_bytes,
        stop_accept_period: 600.0,
        ..single_limits()
    }
}

/// Runs a test against a dispatcher with prefill engine "r1" and decode engine "w1".
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Loopback) -> F) {
    run_with(limits(), &["r1", "w1"], test);
}

/// Runs a test against a dispatcher with these limits and engines. Names that begin with `r` are prefill engines,
/// all others decode engines.
pub fn run_with<F: Future<Output = ()>>(
    limits: Limits,
    engines: &[&'static str],
    test: impl FnOnce(Loopback) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime is built");
    let settings = ProgramSettings {
        limits,
        ..settings()
    };
    LocalSet::new().block_on(&runtime, async {
        let test_with_timeout = tokio::time::timeout(TEST_TIMEOUT, async {
            let net = Loopback::start(settings, engines).await;
            test(net).await;
        });
        test_with_timeout
            .await
            .expect("the test ends within its time limit");
    });
}

impl Loopback {
    async fn start(settings: ProgramSettings, names: &[&'static str]) -> Loopback {
        let clock = ManualClock {
            now: Rc::new(Cell::new(1e6)),
            moved: Rc::default(),
        };
        let gate = GatedTransport::default();
        let mut engines = BTreeMap::new();
        for name in names {
            let listener = TcpListener::bind(ADDRESS).await.expect("port is bound");
            let address = listener
                .local_addr()
                .expect("socket has an address")
                .to_string();
            engines.insert(*name, Engine { address, listener });
        }
        let discovery = TcpListener::bind(ADDRESS).await.expect("port is bound");
        let discovery_addresses = vec![discovery
            .local_addr()
            .expect("socket has an address")
            .to_string()];
        let locations = Locations {
            discovery: discovery_addresses,
            ..Locations::default()
        };
        let wire = Http1::new(BOUNDS);
        let driver = Driver::with_wire(wire, settings, locations, gate.clone(), clock.clone(), 1);
        let inner = listen_with_small_buffer();
        let address = inner
            .local_addr()
            .expect("socket has an address")
            .to_string();
        let listener = FailingListener {
            inner,
            errors: gate.accept_errors.clone(),
        };
        let (stop, serving) = (Rc::new(Notify::new()), driver.clone());
        let stop_signal = stop.clone();
        let serve_task = spawn_local(async move {
            serving
                .serve(listener, stop_signal.notified())
                .await
                .expect("the dispatcher serves without an error");
        });
        let (watch, revision) = (RefCell::new(None), Cell::new(1));
        let net = Loopback {
            driver,
            clock,
            gate,
            address,
            engines,
            discovery,
            watch,
            revision,
            stop,
            serve_task,
        };
        let mut call = net.accept_discovery_call().await;
        assert!(
            !call.read_request().await.head.contains("after="),
            "the first call requests the complete list"
        );
        call.send(&net.discovery_response(1, true, &net.all_endpoints("up")))
            .await;
        net.accept_watch(call).await;
        net
    }

    /// Reads the dispatcher's watch request on a discovery connection, and keeps the connection for the next update.
    pub async fn accept_watch(&self, mut call: Conn) {
        let watch = call.read_request().await;
        assert!(
            watch
                .head
                .contains(&format!("after={}&", self.revision.get())),
            "{watch:?}"
        );
        *self.watch.borrow_mut() = Some(call);
    }

    /// Returns the discovery connection with the open watch. Panics if no watch is open.
    pub fn take_watch(&self) -> Conn {
        self.watch
            .borrow_mut()
            .take()
            .expect("a watch is open on discovery")
    }

    /// Sends endpoint changes on the open watch and waits until the dispatcher has applied them.
    pub async fn announce_endpoints(&self, entries: &[String]) {
        self.revision.set(self.revision.get() + 1);
        let mut call = self.take_watch();
        call.send(&self.discovery_response(self.revision.get(), false, entries))
            .await;
        self.accept_watch(call).await;
    }

    pub fn discovery_address(&self) -> String {
        self.discovery
            .local_addr()
            .expect("socket has an address")
            .to_string()
    }

    /// Accepts the next connection to discovery.
    pub async fn accept_discovery_call(&self) -> Conn {
        Conn::new(
            self.discovery
                .accept()
                .await
                .expect("connection is accepted")
                .0,
        )
    }

    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name]
    }

    /// Returns the JSON entry of each engine, all in the given phase.
    pub fn all_endpoints(&self, phase: &str) -> Vec<String> {
        self.engines
            .keys()
            .map(|name| self.endpoint_json(name, phase))
            .collect()
    }

    /// Returns the JSON entry of an engine in the given phase.
    pub fn endpoint_json(&self, name: &str, phase: &str) -> String {
        let flavor = if name.starts_with('r') {
            "reader"
        } else {
            "writer"
        };
        let address = &self.engines[name].address;
        format!(
            "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"locality\":\"north\",\"flavor\":\"{flavor}\",\
             \"cell\":0,\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
        )
    }

    /// Returns discovery's HTTP response: the complete list if `complete`, else changes.
    pub fn discovery_response(&self, revision: u64, complete: bool, entries: &[String]) -> String {
        let members = entries.join(",");
        let text =
            format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}");
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
    }

    pub fn now(&self) -> Ms {
        self.clock.now.get()
    }

    /// Advances the dispatcher's clock by `by` milliseconds.
    pub fn advance(&self, by: Ms) {
        self.clock.now.set(self.clock.now.get() + by);
        self.clock.moved.notify_waiters();
    }

    /// Advances the clock by 1 ms at a time until the condition holds, running the other tasks after each step.
    pub async fn advance_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            self.advance(1.0);
            for _ in 0..20 {
                yield_now().await;
            }
        }
    }

    pub async fn connect(&self) -> Conn {
        Conn::new(
            TcpStream::connect(&self.address)
                .await
                .expect("dispatcher accepts connections"),
        )
    }

    /// Connects a client whose receive buffer is about as small as the system allows.
    pub async fn connect_with_small_buffer(&self) -> Conn {
        let socket = TcpSocket::new_v4().expect("socket is created");
        socket
            .set_recv_buffer_size(SMALL_BUFFER)
            .expect("buffer size is set");
        let address = self.address.parse().expect("address is valid");
        Conn::new(
            socket
                .connect(address)
                .await
                .expect("dispatcher accepts connections"),
        )
    }

    /// Connects a client and sends a request.
    pub async fn send_request(&self, id: &str, class: &str) -> Conn {
        let mut conn = self.connect().await;
        conn.send(&request_text(id, class)).await;
        conn
    }

    /// Accepts a prefill attempt at `r1` and answers that the prefill is done. Returns the attempt's request.
    pub async fn serve_prefill(&self) -> Request {
        let (mut conn, request) = self.engine("r1").accept_request().await;
        conn.send(PREFILL_ANSWER).await;
        request
    }

    /// Sends a request and completes its prefill. Returns the connections of its client and of its decode attempt.
    pub async fn start_decode(&self, id: &str, class: &str) -> (Conn, Conn) {
        let client = self.send_request(id, class).await;
        self.serve_prefill().await;
        let (engine, request) = self.engine("w1").accept_request().await;
        assert_eq!(request.id(), id);
        (client, engine)
    }

    /// Accepts the next connection at any of these engines and reads its first request.
    pub async fn accept_request_at(&self, names: &[&str]) -> (Conn, Request) {
        let accepted = std::future::poll_fn(|context| {
            let ready = |name: &&str| match self.engines[*name].listener.poll_accept(context) {
                std::task::Poll::Ready(accepted) => {
                    Some(accepted.expect("connection is accepted").0)
                }
                std::task::Poll::Pending => None,
            };
            names
                .iter()
                .find_map(ready)
                .map_or(std::task::Poll::Pending, std::task::Poll::Ready)
        });
        let mut conn = Conn::new(accepted.await);
        let request = conn.read_request().await;
        (conn, request)
    }

    /// Accepts the next request on a new connection at `r1` or `w1`, advancing the clock until it arrives.
    pub async fn accept_any_request(&self) -> (Conn, Request) {
        let request = async {
            loop {
                let mut conn = tokio::select! {
                    conn = self.engine("r1").accept() => conn,
                    conn = self.engine("w1").accept() => conn,
                };
                if let Some(request) = conn.next_request().await {
                    return (conn, request);
                }
            }
        };
        tokio::select! { biased;
            request = request => request,
            () = self.advance_until(|| false) => unreachable!("the clock advances until the other branch completes"),
        }
    }

    pub async fn wait_until_no_request_open(&self) {
        wait_until(|| self.driver.usage().requests == 0).await;
    }

    /// Waits until the dispatcher has stopped serving.
    pub async fn wait_until_ended(self) {
        self.serve_task
            .await
            .expect("the dispatcher serves until it stops");
    }

    pub fn has_ended(&self) -> bool {
        self.serve_task.is_finished()
    }
}

/// A prefill engine's answer that the prefill is done.
pub const PREFILL_ANSWER: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
/// The response headers of a decode engine that starts a stream.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// One server-sent event in its own chunk.
pub const EVENT: &str = "9\r\ndata: a\n\n\r\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";
/// An engine's answer that confirms a release.
pub const RELEASE_CONFIRMED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// The text of an HTTP/1.1 request of this request class, with 4 s until its deadline.
pub fn request_text(id: &str, class: &str) -> String {
    request_text_with(id, class, 4000, "{}")
}

/// The text of an HTTP/1.1 request with this body and `remaining_ms` milliseconds until its deadline.
pub fn request_text_with(id: &str, class: &str, remaining_ms: u32, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
         X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
