//! A TCP proxy in front of one stand-in: passes bytes on, and can refuse, hold up, silence or reset connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// New ones are reset as soon as they are there.
    Refuse,
    /// Nothing is passed on, either way, on old ones and new ones.
    Silent,
}

/// Bytes that one turn of passing on takes at most.
const TURN: usize = 16 << 10;

struct Shared {
    target: Cell<SocketAddr>,
    mode: Cell<Mode>,
    changed: Notify,
    /// How often all connections were reset: those that are open see the number change.
    cuts: Cell<u64>,
}

/// A proxy; clones are the same one.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Proxy {
    /// Listens on a free port and passes connections on to `target`.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Rc::new(Shared {
            target: Cell::new(target),
            mode: Cell::new(Mode::Pass),
            changed: Notify::new(),
            cuts: Cell::new(0),
        });
        let proxy = Proxy { address: listener.local_addr()?, shared: shared.clone() };
        spawn_local(accept(listener, shared));
        Ok(proxy)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.set(mode);
        self.shared.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn cut(&self) {
        self.shared.cuts.set(self.shared.cuts.get() + 1);
        self.shared.changed.notify_waiters();
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while let Ok((from, _)) = listener.accept().await {
        if shared.mode.get() == Mode::Refuse {
            reset(from);
            continue;
        }
        spawn_local(pass(from, shared.clone()));
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    // A connection that is gone already needs none.
    let _ = stream.set_zero_linger();
}

/// Why a connection's passing on ended.
enum Over {
    /// One side closed it, or it broke.
    Ended,
    Cut,
}

async fn pass(from: TcpStream, shared: Rc<Shared>) {
    let cuts = shared.cuts.get();
    until_passing(&shared).await;
    let Ok(to) = TcpStream::connect(shared.target.get()).await else { return reset(from) };
    // Without it what is small waits for more; a proxy that lacks it still passes on.
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let mut forth = (from_read, to_write);
    let mut back = (to_read, from_write);
    let over = tokio::select! { biased;
        () = until_cut(&shared, cuts) => Over::Cut,
        () = both(&mut forth, &mut back, &shared) => Over::Ended,
    };
    let (from, to) = (forth.0.reunite(back.1), back.0.reunite(forth.1));
    if let (Over::Cut, Ok(from), Ok(to)) = (over, from, to) {
        reset(from);
        reset(to);
    }
}

/// Passes on both ways until both sides have ended, or one has closed altogether.
async fn both(
    forth: &mut (OwnedReadHalf, OwnedWriteHalf),
    back: &mut (OwnedReadHalf, OwnedWriteHalf),
    shared: &Shared,
) {
    // When either side ends, so does the connection: nobody here goes on after half of a close.
    tokio::select! { biased;
        () = one_way(&mut forth.0, &mut forth.1, shared) => {}
        () = one_way(&mut back.0, &mut back.1, shared) => {}
    }
}

async fn one_way(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, shared: &Shared) {
    let mut bytes = vec![0; TURN];
    loop {
        let read = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        until_passing(shared).await;
        if to.write_all(&bytes[..read]).await.is_err() {
            break;
        }
    }
    until_passing(shared).await;
    // The other end sees what came before this as it is.
    let _ = to.shutdown().await;
    tokio::time::sleep(LINGER).await;
}

/// After a close on one side, what comes from the other is passed on for so long.
const LINGER: Duration = Duration::from_millis(2);

async fn until_passing(shared: &Shared) {
    loop {
        let changed = shared.changed.notified();
        if shared.mode.get() != Mode::Silent {
            return;
        }
        changed.await;
    }
}

async fn until_cut(shared: &Shared, cuts: u64) {
    loop {
        let changed = shared.changed.notified();
        if shared.cuts.get() != cuts {
            return;
        }
        changed.await;
    }
}
