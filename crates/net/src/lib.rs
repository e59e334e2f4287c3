//! What network code takes as parameters: a transport (connect, listen, byte streams) and a clock.
//!
//! In production these are [`Tcp`] and [`SystemClock`]. [`Memory`] joins both ends within one thread and [`TokioClock`]
//! follows the runtime's time, which can be paused: with both, a run needs no sockets and no real time.
//! [`simulated_network`] adds latency, partitions, resets and silent connections.
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

/// Milliseconds with fractions.
pub type Ms = f64;

/// Connects and listens. Addresses are text: `ip:port` for TCP, any name in memory.
pub trait Transport: Clone + 'static {
    /// One end of a connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// What listens on an address of this transport.
    type Listener: Listener<Stream = Self::Stream> + 'static;

    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Nothing listens there, or it cannot be reached.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens on an address.
    ///
    /// # Errors
    /// The address is in use or is not an address of this transport.
    fn listen(&self, address: &str) -> impl Future<Output = io::Result<Self::Listener>>;
}

/// Accepts connections.
pub trait Listener {
    /// One end of a connection.
    type Stream;

    /// Waits for the next connection.
    ///
    /// # Errors
    /// This connection failed, or (for good) the listener did.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The address to connect to.
    fn address(&self) -> String;
}

/// Tells the time, in milliseconds since 1970, and waits for it. Never goes backwards.
pub trait Clock: Clone + 'static {
    /// The time now.
    fn now(&self) -> Ms;

    /// Waits until an instant; one that has passed is not waited for.
    fn sleep_until(&self, at: Ms) -> impl Future<Output = ()>;
}

/// TCP sockets, with Nagle's delay off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Transport for Tcp {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        // What is written goes out whole and at once; without the option its tail may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    async fn listen(&self, address: &str) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }
}

/// TCP sockets whose connections go out from a given address of this machine, if one is given.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpFrom {
    /// The local address; none leaves the choice to the system.
    pub from: Option<IpAddr>,
}

impl Transport for TcpFrom {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let Some(from) = self.from else {
            return Tcp.connect(address).await;
        };
        let to: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.bind(SocketAddr::new(from, 0))?;
        let stream = socket.connect(to).await?;
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
        // Its client may have sent its request already: a connection whose option cannot be set is worth more than none.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    fn address(&self) -> String {
        self.local_addr()
            .map_or_else(|_| String::new(), |a| a.to_string())
    }
}

/// The runtime's time, counted from an instant since 1970 that is given or the system's at the start. Steps
/// of the system's clock do not reach it.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    zero: Instant,
    at_zero: Ms,
}

/// The clock that serves: the system's time at the start, and from then on the runtime's.
pub type SystemClock = TokioClock;

impl TokioClock {
    /// Counts from the system's time now.
    pub fn system() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        TokioClock::starting_at(since.as_secs_f64() * 1000.0)
    }

    /// Counts from this instant, in milliseconds since 1970.
    pub fn starting_at(at_zero: Ms) -> Self {
        TokioClock {
            zero: Instant::now(),
            at_zero,
        }
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Ms {
        self.at_zero + self.zero.elapsed().as_secs_f64() * 1000.0
    }

    async fn sleep_until(&self, at: Ms) {
        let wait = Duration::try_from_secs_f64((at - self.now()) / 1000.0).unwrap_or_default();
        tokio::time::sleep(wait).await;
    }
}
