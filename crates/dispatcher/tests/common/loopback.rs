//! A dispatcher on TCP sockets of this machine, between clients, engines and discovery that do nothing but what the
//! test says, in the order in which it says it.
//!
//! No order depends on a wait. The dispatcher's clock stands still until [`Loopback::advance`] moves it, a connection
//! comes up when [`Gate::open`] lets it, and a time limit ends only a test that hangs.
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
    most_body: 256 << 10,
    most_chunk: 256 << 10,
    most_list: 1 << 20,
    most_bodies: 8 << 20,
    feed_wait_ms: 500,
    drain_ms: 500,
    most_drained: 1 << 20,
    stall_ms: 4000,
};
/// The system's number for a process that has all the descriptors it may have (EMFILE).
const TOO_MANY_OPEN_FILES: i32 = 24;
/// A test that takes longer hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ADDRESS: &str = "127.0.0.1:0";

/// A clock that stands still until it is moved.
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

/// TCP whose connections to some addresses come up only when they are let.
#[derive(Clone, Default)]
pub struct Gate {
    shut: Rc<RefCell<BTreeSet<String>>>,
    /// Whether there are no descriptors for new connections.
    exhausted: Rc<Cell<bool>>,
    /// What the next calls for a client's connection fail with.
    accept_errors: Rc<RefCell<Vec<i32>>>,
    /// Connections that wait to come up, by address.
    waiting: Rc<RefCell<Vec<String>>>,
    changed: Rc<Notify>,
}

impl Gate {
    pub fn shut(&self, address: &str) {
        self.shut.borrow_mut().insert(address.to_owned());
    }

    pub fn open(&self, address: &str) {
        self.shut.borrow_mut().remove(address);
        self.changed.notify_waiters();
    }

    /// New connections fail for want of a descriptor, or may be had again.
    pub fn exhaust(&self, exhausted: bool) {
        self.exhausted.set(exhausted);
    }

    /// The next calls for a client's connection fail with these numbers of the system.
    pub fn fail_accepts(&self, errors: &[i32]) {
        self.accept_errors.borrow_mut().extend(errors);
    }

    /// Waits until a connection to an address is wanted and is held up.
    pub async fn held_up(&self, address: &str) {
        until(|| {
            self.waiting
                .borrow()
                .iter()
                .any(|waiting| waiting == address)
        })
        .await;
    }
}

/// A listener whose next connections fail as the system may let them.
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

impl Transport for Gate {
    type Stream = TcpStream;
    type Listener = FailingListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        if self.exhausted.get() {
            return Err(io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES));
        }
        if self.shut.borrow().contains(address) {
            self.waiting.borrow_mut().push(address.to_owned());
            loop {
                let changed = self.changed.notified();
                if !self.shut.borrow().contains(address) {
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

/// Lets everything else run until something is so.
pub async fn until(is: impl Fn() -> bool) {
    while !is() {
        yield_now().await;
    }
}

/// One end of a connection that a test holds.
pub struct Conn {
    pub io: TcpStream,
    /// Bytes that have come and were not looked at.
    received: Vec<u8>,
}

/// A request as it was received.
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

    pub fn id(&self) -> &str {
        self.header("X-Txn").unwrap_or_default()
    }
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        io.set_nodelay(true).expect("a socket");
        Conn {
            io,
            received: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.io.write_all(text.as_bytes()).await.expect("written");
    }

    /// Reads on; false at the connection's end, in whatever way.
    async fn more(&mut self) -> bool {
        let mut part = [0; 4096];
        match self.io.read(&mut part).await {
            Ok(0) | Err(_) => false,
            Ok(bytes) => {
                self.received.extend_from_slice(&part[..bytes]);
                true
            }
        }
    }

    /// All that came up to and with an end; what there is if the connection ends first.
    pub async fn read_until(&mut self, end: &str) -> String {
        loop {
            let at = self
                .received
                .windows(end.len().max(1))
                .position(|w| w == end.as_bytes());
            if let Some(at) = at {
                let rest = self.received.split_off(at + end.len());
                return String::from_utf8(std::mem::replace(&mut self.received, rest))
                    .expect("text");
            }
            if !self.more().await {
                return String::from_utf8(std::mem::take(&mut self.received)).expect("text");
            }
        }
    }

    /// The next request, whole; none if the connection ends without a byte of one.
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
            .map_or(0, |l| l.parse().expect("a length"));
        while self.received.len() < length && self.more().await {}
        request.body = self
            .received
            .drain(..length.min(self.received.len()))
            .collect();
        Some(request)
    }

    pub async fn read_request(&mut self) -> Request {
        self.next_request().await.expect("a request")
    }

    /// What still comes up to the connection's end.
    pub async fn read_to_end(&mut self) -> String {
        while self.more().await {}
        String::from_utf8(std::mem::take(&mut self.received)).expect("text")
    }
}

/// An engine that does what the test says.
pub struct Engine {
    pub address: String,
    listener: TcpListener,
}

impl Engine {
    pub async fn accept(&self) -> Conn {
        Conn::new(self.listener.accept().await.expect("a connection").0)
    }

    /// The next connection's first request.
    pub async fn accept_request(&self) -> (Conn, Request) {
        let mut conn = self.accept().await;
        let request = conn.read_request().await;
        (conn, request)
    }

    /// Whether a connection has come up that was not accepted yet.
    pub fn has_pending_connection(&self) -> bool {
        use std::future::poll_fn;
        use std::task::{Context, Poll, Waker};
        let mut context = Context::from_waker(Waker::noop());
        let mut accept = std::pin::pin!(poll_fn(|context| self.listener.poll_accept(context)));
        matches!(accept.as_mut().poll(&mut context), Poll::Ready(_))
    }
}

pub struct Loopback {
    pub driver: Driver<Gate, ManualClock, Http1>,
    pub clock: ManualClock,
    pub gate: Gate,
    pub address: String,
    engines: BTreeMap<&'static str, Engine>,
    discovery: TcpListener,
    /// The watch that is open, and the newest revision.
    watch: RefCell<Option<Conn>>,
    revision: Cell<u64>,
    pub stop: Rc<Notify>,
    served: JoinHandle<()>,
}

/// Bytes that a socket of the dispatcher's holds for a client that does not read; the system makes it a little more.
const SMALL_BUFFER: u32 = 4096;

fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Connections that are accepted have the listener's.
    socket.set_send_buffer_size(SMALL_BUFFER).expect("a buffer");
    socket
        .bind(ADDRESS.parse().expect("an address"))
        .expect("a port");
    socket.listen(128).expect("it listens")
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
        max_message_bytes: BOUNDS.most_body,
        stop_accept_period: 600.0,
        ..single_limits()
    }
}

/// Runs a test beside a dispatcher that knows a prefill engine "r1" and a decode engine "w1".
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Loopback) -> F) {
    run_with(limits(), &["r1", "w1"], test);
}

/// Runs a test beside a dispatcher with these limits that knows these engines: names with `r` are prefill engines.
pub fn run_with<F: Future<Output = ()>>(
    limits: Limits,
    engines: &[&'static str],
    test: impl FnOnce(Loopback) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let settings = ProgramSettings {
        limits,
        ..settings()
    };
    LocalSet::new().block_on(&runtime, async {
        let within = tokio::time::timeout(TEST_TIMEOUT, async {
            let net = Loopback::start(settings, engines).await;
            test(net).await;
        });
        within.await.expect("the test does not hang");
    });
}

impl Loopback {
    async fn start(settings: ProgramSettings, names: &[&'static str]) -> Loopback {
        let clock = ManualClock {
            now: Rc::new(Cell::new(1e6)),
            moved: Rc::default(),
        };
        let gate = Gate::default();
        let mut engines = BTreeMap::new();
        for name in names {
            let listener = TcpListener::bind(ADDRESS).await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            engines.insert(*name, Engine { address, listener });
        }
        let discovery = TcpListener::bind(ADDRESS).await.expect("a port");
        let feeds = vec![discovery.local_addr().expect("an address").to_string()];
        let locations = Locations {
            discovery: feeds,
            ..Locations::default()
        };
        let wire = Http1::new(BOUNDS);
        let driver = Driver::with_wire(wire, settings, locations, gate.clone(), clock.clone(), 1);
        let inner = listen_with_small_buffer();
        let address = inner.local_addr().expect("an address").to_string();
        let listener = FailingListener {
            inner,
            errors: gate.accept_errors.clone(),
        };
        let (stop, serving) = (Rc::new(Notify::new()), driver.clone());
        let told = stop.clone();
        let served = spawn_local(async move {
            serving
                .serve(listener, told.notified())
                .await
                .expect("it serves");
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
            served,
        };
        let mut call = net.discovery_call().await;
        assert!(
            !call.read_request().await.head.contains("after="),
            "the whole list is asked for first"
        );
        call.send(&net.list(1, true, &net.all("up"))).await;
        net.keep_watch(call).await;
        net
    }

    /// Keeps a connection to discovery once the watch that follows is open on it.
    pub async fn keep_watch(&self, mut call: Conn) {
        let watch = call.read_request().await;
        assert!(
            watch
                .head
                .contains(&format!("after={}&", self.revision.get())),
            "{watch:?}"
        );
        *self.watch.borrow_mut() = Some(call);
    }

    /// The watch that is open.
    pub fn take_watch(&self) -> Conn {
        self.watch.borrow_mut().take().expect("a watch is open")
    }

    /// Tells of changes on the watch that is open, and waits until the dispatcher has taken them in.
    pub async fn announce(&self, lines: &[String]) {
        self.revision.set(self.revision.get() + 1);
        let mut call = self.take_watch();
        call.send(&self.list(self.revision.get(), false, lines))
            .await;
        self.keep_watch(call).await;
    }

    pub fn discovery_address(&self) -> String {
        self.discovery.local_addr().expect("an address").to_string()
    }

    /// The next connection to discovery.
    pub async fn discovery_call(&self) -> Conn {
        Conn::new(self.discovery.accept().await.expect("a connection").0)
    }

    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name]
    }

    /// A line of the list for each engine, all in one phase.
    pub fn all(&self, phase: &str) -> Vec<String> {
        self.engines
            .keys()
            .map(|name| self.line(name, phase))
            .collect()
    }

    pub fn line(&self, name: &str, phase: &str) -> String {
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

    /// An answer of discovery.
    pub fn list(&self, revision: u64, whole: bool, lines: &[String]) -> String {
        let members = lines.join(",");
        let text =
            format!("{{\"revision\":{revision},\"complete\":{whole},\"members\":[{members}]}}");
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
    }

    pub fn now(&self) -> Ms {
        self.clock.now.get()
    }

    /// Moves the dispatcher's clock.
    pub fn advance(&self, by: Ms) {
        self.clock.now.set(self.clock.now.get() + by);
        self.clock.moved.notify_waiters();
    }

    /// Moves the clock step by step until something is so, with everything else running in between.
    pub async fn advance_until(&self, is: impl Fn() -> bool) {
        while !is() {
            self.advance(1.0);
            for _ in 0..20 {
                yield_now().await;
            }
        }
    }

    pub async fn connect(&self) -> Conn {
        Conn::new(TcpStream::connect(&self.address).await.expect("it listens"))
    }

    /// A client whose socket holds as little as the system lets it.
    pub async fn connect_with_small_buffer(&self) -> Conn {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(SMALL_BUFFER).expect("a buffer");
        let address = self.address.parse().expect("an address");
        Conn::new(socket.connect(address).await.expect("it listens"))
    }

    /// A client that has sent a request.
    pub async fn send_request(&self, id: &str, class: &str) -> Conn {
        let mut conn = self.connect().await;
        conn.send(&request(id, class)).await;
        conn
    }

    /// The first attempt of a request at the prefill engine, which answers that it has read the prompt.
    pub async fn serve_prefill(&self) -> Request {
        let (mut conn, request) = self.engine("r1").accept_request().await;
        conn.send(PREFILL_ANSWER).await;
        request
    }

    /// A request that waits for the first token of its decode engine.
    pub async fn decoding(&self, id: &str, class: &str) -> (Conn, Conn) {
        let client = self.send_request(id, class).await;
        self.serve_prefill().await;
        let (engine, request) = self.engine("w1").accept_request().await;
        assert_eq!(request.id(), id);
        (client, engine)
    }

    /// The next connection's first request at any of several engines.
    pub async fn accept_request_at(&self, names: &[&str]) -> (Conn, Request) {
        let accepted = std::future::poll_fn(|context| {
            let ready = |name: &&str| match self.engines[*name].listener.poll_accept(context) {
                std::task::Poll::Ready(accepted) => Some(accepted.expect("a connection").0),
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

    /// The next request at either of two engines on a new connection, with time passing until it comes.
    pub async fn accept_any_request(&self) -> (Conn, Request) {
        let asked = async {
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
            asked = asked => asked,
            () = self.advance_until(|| false) => unreachable!("it goes on"),
        }
    }

    pub async fn no_request_is_open(&self) {
        until(|| self.driver.usage().requests == 0).await;
    }

    /// Waits until the process would end.
    pub async fn wait_until_ended(self) {
        self.served.await.expect("it serves to the end");
    }

    pub fn has_ended(&self) -> bool {
        self.served.is_finished()
    }
}

pub const PREFILL_ANSWER: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const EVENT: &str = "9\r\ndata: a\n\n\r\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";
pub const RELEASE_CONFIRMED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

pub fn request(id: &str, class: &str) -> String {
    request_with(id, class, 4000, "{}")
}

pub fn request_with(id: &str, class: &str, remaining_ms: u32, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
         X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
