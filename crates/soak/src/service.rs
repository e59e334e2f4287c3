//! Parts that all stand-ins of the soak use: the clock, random draws by percentage, and HTTP connections that record
//! when the bytes of a request arrive.

use crate::Ms;
use bytes::BytesMut;
use cindercleat_http1::framing::{
    self, BodyPart, BodyReader, Request, ResponsePart, ResponseReader,
};
use nanorand::{Rng, WyRand};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The largest body that a stand-in accepts.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The least free buffer space before each read.
const READ_BYTES: usize = 8 << 10;

/// The soak's monotonic clock, which counts from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    /// Starts a clock that reads 0 now.
    pub fn start() -> Clock {
        Clock {
            began: Instant::now(),
        }
    }

    /// The milliseconds since the start of the clock.
    pub fn now(&self) -> Ms {
        self.began.elapsed().as_secs_f64() * 1000.0
    }
}

/// The wall clock in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Sleeps for a duration; returns at once if it is negative.
pub async fn sleep(duration: Ms) {
    tokio::time::sleep(Duration::from_secs_f64(duration.max(0.0) / 1000.0)).await;
}

/// A connection that carries HTTP requests one after another.
pub struct Connection {
    pub io: TcpStream,
    /// The peer address of an accepted connection; `None` if this side opened it. The address is stored because a reset
    /// connection no longer reports it.
    pub peer: Option<SocketAddr>,
    bytes: BytesMut,
}

/// A complete request, with the arrival times of its first and its last byte.
pub struct Received {
    pub head: Request,
    /// When the first byte arrived.
    pub first_byte: Ms,
    /// When the last byte arrived.
    pub last_byte: Ms,
}

/// Binds a free port of the loopback interface, serves each connection to it in a task of its own, and returns its
/// address.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn listen<F>(serve: impl Fn(Connection) -> F + 'static) -> io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((io, peer)) = listener.accept().await {
            spawn_local(serve(Connection {
                peer: Some(peer),
                ..Connection::new(io)
            }));
        }
    });
    Ok(address)
}

/// Draws one of several outcomes that have these percentages; returns its index, or `None` for the remaining
/// percentage.
pub fn draw_percentage<const N: usize>(rng: &mut WyRand, percentages: [u32; N]) -> Option<usize> {
    let drawn = rng.generate_range(0..100u32);
    let mut sum = 0;
    percentages.iter().position(|percentage| {
        sum += percentage;
        drawn < sum
    })
}

impl Connection {
    /// Wraps a stream that this side opened.
    pub fn new(io: TcpStream) -> Connection {
        // If the connection has ended already, the next read reports it.
        let _ = io.set_nodelay(true);
        Connection {
            io,
            peer: None,
            bytes: BytesMut::new(),
        }
    }

    /// Reads the next request; returns `None` if the connection ends first or the bytes are not a valid request.
    pub async fn request(&mut self, clock: Clock) -> Option<Received> {
        let mut first_byte = (!self.bytes.is_empty()).then(|| clock.now());
        let head = loop {
            if let Some(head) = framing::parse_request(&mut self.bytes).ok()? {
                break head;
            }
            self.read_more().await.ok()?;
            first_byte.get_or_insert_with(|| clock.now());
        };
        let mut body = BodyReader::new(head.length, MAX_BODY_BYTES);
        loop {
            match body.next(&mut self.bytes).ok()? {
                Some(BodyPart::Data(_)) => {}
                Some(BodyPart::End) => break,
                None => self.read_more().await.ok()?,
            }
        }
        let last_byte = clock.now();
        Some(Received {
            head,
            first_byte: first_byte.unwrap_or(last_byte),
            last_byte,
        })
    }

    /// Reads more bytes; returns `UnexpectedEof` if the other side has closed the connection.
    async fn read_more(&mut self) -> io::Result<()> {
        self.bytes.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.bytes).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the status of an answer; returns `None` if the connection ends first or the answer is invalid.
    pub async fn status(&mut self) -> Option<u16> {
        let mut reading = ResponseReader::new(MAX_BODY_BYTES);
        loop {
            if let Some(ResponsePart::Head(head)) = reading.next(&mut self.bytes).ok()? {
                return Some(head.start_line);
            }
            self.read_more().await.ok()?;
        }
    }

    /// Waits until the other side closes the connection, and discards what it still sends.
    pub async fn closed(&mut self) {
        while self.read_more().await.is_ok() {}
    }

    /// Writes the whole text to the connection.
    ///
    /// # Errors
    /// Returns an error if the connection has ended.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.io.write_all(text.as_bytes()).await
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        // An error means that the connection has ended already.
        let _ = self.io.set_zero_linger();
    }
}

/// The text of an HTTP response with this status line, further header lines and body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
