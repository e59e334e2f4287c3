//! The traits that network code is generic over: a transport (connect, listen, byte streams) and a clock.
//!
//! Production code uses [`Tcp`] and [`SystemClock`]. [`Memory`] connects both ends within one thread, and
//! [`TokioClock`] follows the runtime's time, which tests can pause. With both, a test uses no sockets and does not
//! depend on real time.
//! [`simulated_network`] adds latency, partitions, resets and connections that lose bytes without an error.
#![warn(missing_docs)]

mod memory;
pub mod simulated_network;

pub use memory::Memory;

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

/// A duration or an instant in milliseconds, with fractions.
pub type Ms = f64;

/// Opens and accepts connections. An address is `ip:port` for TCP, and any name for [`Memory`].
pub trait Transport: Clone + 'static {
    /// The byte stream at one end of a connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Accepts the connections to an address; stops listening when dropped.
    type Listener: Listener<Stream = Self::Stream> + 'static;

    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Returns an error if nothing listens on the address or the address cannot be reached.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens on an address.
    ///
    /// # Errors
    /// Returns an error if the address is in use or is not valid for this transport.
    fn listen(&self, address: &str) -> impl Future<Output = io::Result<Self::Listener>>;
}

/// Accepts connections to one address.
pub trait Listener {
    /// The byte stream of an accepted connection.
    type Stream;

    /// Waits for the next connection.
    ///
    /// # Errors
    /// Returns an error if the connection to accept failed; later calls may succeed. If the listener itself failed,
    /// every later call returns an error too.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The address that clients connect to; empty if the system cannot report it.
    fn address(&self) -> String;
}

/// A clock in milliseconds since 1970 that never goes backwards.
pub trait Clock: Clone + 'static {
    /// The current time, in milliseconds since 1970.
    fn now(&self) -> Ms;

    /// Waits until an instant; returns at once if the instant has passed.
    fn sleep_until(&self, at: Ms) -> impl Future<Output = ()>;
}

/// TCP sockets with Nagle's algorithm disabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Transport for Tcp {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        // Without TCP_NODELAY, the last part of a write may wait for an acknowledgement of the earlier parts.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    async fn listen(&self, address: &str) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }
}

/// TCP sockets whose outgoing connections are bound to a given local address.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpFrom {
    /// The local IP address that outgoing connections are bound to; with `None` the system chooses it.
    pub local_address: Option<IpAddr>,
}

impl Transport for TcpFrom {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let Some(local_address) = self.local_address else {
            return Tcp.connect(address).await;
        };
        let remote: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        let socket = if remote.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.bind(SocketAddr::new(local_address, 0))?;
        let stream = socket.connect(remote).await?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    async fn listen(&self, address: &str) -> io::Result<TcpListener> {
        Tcp.listen(address).await
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // A connection on which TCP_NODELAY cannot be set is kept: it works without the option, and its client may
        // already have sent a request.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    fn address(&self) -> String {
        self.local_addr()
            .map_or_else(|_| String::new(), |address| address.to_string())
    }
}

/// A clock that advances with the Tokio runtime from a given start time. Steps of the system clock after the start do
/// not change it.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    start: Instant,
    start_ms: Ms,
}

/// The clock of production code; [`TokioClock::system`] starts it at the system's time.
pub type SystemClock = TokioClock;

impl TokioClock {
    /// Starts at the system's current time, or at 1970 if the system clock is set before 1970.
    pub fn system() -> Self {
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        TokioClock::starting_at(since_1970.as_secs_f64() * 1000.0)
    }

    /// Starts at `start_ms`, in milliseconds since 1970.
    pub fn starting_at(start_ms: Ms) -> Self {
        TokioClock {
            start: Instant::now(),
            start_ms,
        }
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Ms {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    async fn sleep_until(&self, at: Ms) {
        let wait = Duration::try_from_secs_f64((at - self.now()) / 1000.0).unwrap_or_default();
        tokio::time::sleep(wait).await;
    }
}
