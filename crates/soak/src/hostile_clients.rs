//! Clients that send what is not a request, at full speed and many at once, and read what they are sent.
//!
//! They run on a thread of their own, so that what they send does not hold up the other stand-ins.

use crate::service::{sleep, Clock};
use crate::Ms;
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread::{self, JoinHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// How many hostile clients connect at once. Fewer than a process has connections for, so that others can connect.
const CLIENTS: std::ops::RangeInclusive<usize> = 5..=60;
/// The largest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// The longest head that processes accept, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// What clients write at once, in bytes, about.
const WRITE_BYTES: usize = 64 << 10;
/// How long a client waits for the process to end it with an error or a close.
const WAIT: Ms = 8_000.0;

/// The part of a request that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostileForm {
    /// The trailer section of a chunked body does not end.
    EndlessTrailers,
    /// The head does not end.
    EndlessHead,
    /// Chunks of one byte have long extensions, and do not end.
    EndlessExtensions,
    /// Chunks of a few bytes do not end.
    EndlessChunks,
    /// A body is much longer than the protocol allows.
    LongBody,
    /// A chunk stops before its end.
    PartialChunk,
    /// A body of stated length stops before its end.
    PartialBody,
    /// A head stops before its end.
    PartialHead,
}

impl HostileForm {
    const ALL: [HostileForm; 8] = [
        HostileForm::EndlessTrailers,
        HostileForm::EndlessHead,
        HostileForm::EndlessExtensions,
        HostileForm::EndlessChunks,
        HostileForm::LongBody,
        HostileForm::PartialChunk,
        HostileForm::PartialBody,
        HostileForm::PartialHead,
    ];
}

/// Hostile clients that connect to one process at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostileGroup {
    /// When they connect.
    pub at: Ms,
    pub process: usize,
    pub clients: usize,
    pub form: HostileForm,
    /// The length, in bytes, of the part that repeats, such as a header.
    pub part_bytes: usize,
    /// Where a partial request stops, as a fraction of its largest size.
    pub stops_at: f64,
}

impl HostileGroup {
    /// Draws a group that connects at `at`.
    pub fn draw(rng: &mut WyRand, at: Ms, processes: usize) -> HostileGroup {
        HostileGroup {
            at,
            process: rng.generate_range(0..processes),
            clients: rng.generate_range(CLIENTS),
            form: HostileForm::ALL[rng.generate_range(0..HostileForm::ALL.len())],
            part_bytes: rng.generate_range(1..200),
            stops_at: rng.generate::<f64>(),
        }
    }

    /// What each client of the group sends.
    fn input(&self) -> Input {
        let (part, stops_at) = ("x".repeat(self.part_bytes), self.stops_at);
        let up_to = |most: usize| Some((most as f64 * stops_at) as usize + 1);
        let header = format!("a: {part}\r\n");
        let chunk = format!("{:x}\r\n{part}\r\n", part.len());
        let chunked = "Transfer-Encoding: chunked\r\n\r\n".to_owned();
        let (beginning, pattern, bytes) = match self.form {
            HostileForm::EndlessTrailers => (chunked + "2\r\n{}\r\n0\r\n", header, None),
            HostileForm::EndlessHead => (String::new(), header, None),
            HostileForm::EndlessExtensions => (chunked, format!("1;{part}\r\nx\r\n"), None),
            HostileForm::EndlessChunks => (chunked, chunk, None),
            HostileForm::LongBody => (
                "Content-Length: 60000000\r\n\r\n".to_owned(),
                part,
                Some(60_000_000),
            ),
            HostileForm::PartialChunk => {
                let largest = MAX_BODY_BYTES - 1;
                (
                    chunked + &format!("{largest:x}\r\n"),
                    part,
                    up_to(largest - 200),
                )
            }
            HostileForm::PartialBody => (
                format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n"),
                part,
                up_to(MAX_BODY_BYTES - 200),
            ),
            HostileForm::PartialHead => ("a: ".to_owned(), part, up_to(MAX_HEAD_BYTES - 1_000)),
        };
        Input {
            beginning,
            pattern: pattern.repeat(1 + WRITE_BYTES / pattern.len()),
            bytes,
        }
    }
}

/// What a client sends behind the first lines of a head.
struct Input {
    beginning: String,
    /// Sent again and again.
    pattern: String,
    /// How many bytes of the pattern are sent; `None` if they do not end.
    bytes: Option<usize>,
}

/// When the process ended a hostile client with an error or a close.
#[derive(Clone, Copy, Debug)]
pub struct HostileClientEnd {
    /// The time since the client's connect; `None` if it got neither.
    pub after: Option<Ms>,
    /// When this was known.
    pub at: Ms,
}

/// Starts a group at a process on a thread of its own, which reports the end of each client and ends with the last.
pub fn start(
    group: HostileGroup,
    address: SocketAddr,
    clock: Clock,
    ends: Sender<HostileClientEnd>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        // Without a runtime there are no hostile clients; the soak's own runtime has been built the same way.
        let Ok(runtime) = runtime else { return };
        LocalSet::new().block_on(&runtime, async move {
            let clients = (0..group.clients)
                .map(|number| spawn_local(run_client(group, number, address, clock, ends.clone())));
            for client in clients.collect::<Vec<_>>() {
                // A client that panicked reports nothing.
                let _ = client.await;
            }
        });
    })
}

/// Runs one client: sends its input and reads until it is ended.
async fn run_client(
    group: HostileGroup,
    number: usize,
    address: SocketAddr,
    clock: Clock,
    ends: Sender<HostileClientEnd>,
) {
    let began = clock.now();
    // A process that is stopping refuses connections.
    let Ok(io) = TcpStream::connect(address).await else {
        return;
    };
    let (mut reads, mut writes) = io.into_split();
    let input = group.input();
    let mut byte = [0];
    let is_ended = tokio::select! { biased;
        _ = reads.read(&mut byte) => true,
        () = send(&mut writes, &input, number) => true,
        () = sleep(WAIT) => false,
    };
    let now = clock.now();
    // The receiver is gone only if the soak has ended.
    let _ = ends.send(HostileClientEnd {
        after: is_ended.then_some(now - began),
        at: now,
    });
}

/// Sends the input of a client at full speed; returns only if the connection ends.
async fn send(writes: &mut (impl AsyncWriteExt + Unpin), input: &Input, number: usize) {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {number:016x}\r\nX-Lane: draft\r\n\
         X-Entity: {number:016x}\r\nX-Remaining-Ms: 4000\r\n{}",
        input.beginning
    );
    let mut sent = writes.write_all(head.as_bytes()).await;
    let mut left = input.bytes.unwrap_or(usize::MAX);
    while sent.is_ok() && left > 0 {
        let bytes = left.min(input.pattern.len());
        sent = writes.write_all(&input.pattern.as_bytes()[..bytes]).await;
        if input.bytes.is_some() {
            left -= bytes;
        }
    }
    if sent.is_ok() {
        std::future::pending::<()>().await;
    }
}
