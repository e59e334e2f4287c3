//! What the stand-ins have in common: a clock, drawn parts, and for those that serve connections, and requests read with the
//! instants of their bytes.

use crate::Ms;
use bytes::BytesMut;
use cindercleat_http1::framing::{self, Body, Came, Part, Reading, Request};
use nanorand::{Rng, WyRand};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The largest body that is read.
const MOST_BODY: usize = 1 << 20;
const TURN: usize = 8 << 10;

/// The soak's time, by a clock that is not stepped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            began: Instant::now(),
        }
    }

    pub fn now(&self) -> Ms {
        self.began.elapsed().as_secs_f64() * 1000.0
    }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

pub async fn sleep(span: Ms) {
    tokio::time::sleep(Duration::from_secs_f64(span.max(0.0) / 1000.0)).await;
}

/// A connection that carries requests one after another.
pub struct Connection {
    pub io: TcpStream,
    /// The address of the other side, if it was accepted: a connection that is reset does not tell it any more.
    pub peer: Option<SocketAddr>,
    bytes: BytesMut,
}

/// A request that has come whole.
pub struct Received {
    pub head: Request,
    pub first_byte: Ms,
    pub last_byte: Ms,
}

/// Serves each connection to a free port; gives the port's address.
///
/// # Errors
/// No port can be had.
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

/// Draws which part of a hundred it is, of the first ones that are given; none if it is of the rest.
pub fn draw_part<const N: usize>(rng: &mut WyRand, parts: [u32; N]) -> Option<usize> {
    let drawn = rng.generate_range(0..100u32);
    let mut sum = 0;
    parts.iter().position(|part| {
        sum += part;
        drawn < sum
    })
}

impl Connection {
    pub fn new(io: TcpStream) -> Connection {
        // A connection that is gone already shows it with the next read.
        let _ = io.set_nodelay(true);
        Connection {
            io,
            peer: None,
            bytes: BytesMut::new(),
        }
    }

    /// The next request; none if the connection ends first, or what comes is none.
    pub async fn request(&mut self, clock: Clock) -> Option<Received> {
        let mut first_byte = (!self.bytes.is_empty()).then(|| clock.now());
        let head = loop {
            if let Some(head) = framing::request(&mut self.bytes).ok()? {
                break head;
            }
            self.more().await.ok()?;
            first_byte.get_or_insert_with(|| clock.now());
        };
        let mut body = Body::new(head.length, MOST_BODY);
        loop {
            match body.next(&mut self.bytes).ok()? {
                Some(Part::Data(_)) => {}
                Some(Part::End) => break,
                None => self.more().await.ok()?,
            }
        }
        let last_byte = clock.now();
        Some(Received {
            head,
            first_byte: first_byte.unwrap_or(last_byte),
            last_byte,
        })
    }

    async fn more(&mut self) -> io::Result<()> {
        self.bytes.reserve(TURN);
        match self.io.read_buf(&mut self.bytes).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// The status of the answer that comes; none if the connection ends first.
    pub async fn status(&mut self) -> Option<u16> {
        let mut reading = Reading::new(MOST_BODY);
        loop {
            if let Some(Came::Head(head)) = reading.next(&mut self.bytes).ok()? {
                return Some(head.first);
            }
            self.more().await.ok()?;
        }
    }

    /// Waits until the other side closes.
    pub async fn closed(&mut self) {
        while self.more().await.is_ok() {}
    }

    /// # Errors
    /// The connection is over.
    pub async fn say(&mut self, text: &str) -> io::Result<()> {
        self.io.write_all(text.as_bytes()).await
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        // A connection that is gone already needs none.
        let _ = self.io.set_zero_linger();
    }
}

/// An answer that is no stream.
pub fn answer(status: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
