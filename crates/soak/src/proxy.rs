//! A TCP proxy in front of one stand-in: passes bytes on, and can refuse, silence or reset connections.
//!
//! A silent proxy stands for a machine that has vanished: connections stay open and no byte gets through either way.
//! When it is back, what lay there is delivered, unless its sender has reset the connection meanwhile.

use crate::passage::{Passage, Passages};
use crate::service::Clock;
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
    /// Nothing is passed on to the engine, or nothing to the process; the other way works.
    SilentToEngine,
    SilentToProcess,
    /// The next bytes of a process are passed on by half; from then on it is silent.
    SilentWithin,
}

impl Mode {
    /// Whether nothing goes on this way.
    fn stops(self, way: Way) -> bool {
        match self {
            Mode::Silent => true,
            Mode::SilentToEngine => way == Way::ToEngine,
            Mode::SilentToProcess => way == Way::ToProcess,
            Mode::Pass | Mode::Refuse | Mode::SilentWithin => false,
        }
    }
}

/// Spreads connections evenly over a hundred places; prime to it.
const SPREAD: u32 = 37;
/// Bytes that one turn of passing on takes at most.
const TURN: usize = 16 << 10;
/// After a close on one side, the other one's connection stays for so long.
const LINGER: Duration = Duration::from_millis(2);
/// Bytes that may lie in each direction of a connection while it is silent.
const MOST_LYING: usize = 1 << 20;

struct Shared {
    target: SocketAddr,
    clock: Clock,
    passages: Passages,
    mode: Cell<Mode>,
    /// Of a hundred connections, how many are silent whatever the mode is.
    silent_alone: Cell<u32>,
    changed: Notify,
    /// How many connections there were.
    drawn: Cell<u32>,
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
    /// Listens on a free port and passes connections on to `target`, noting in `passages` what it sees.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(target: SocketAddr, clock: Clock, passages: Passages) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Rc::new(Shared {
            target,
            clock,
            passages,
            mode: Cell::new(Mode::Pass),
            silent_alone: Cell::new(0),
            drawn: Cell::new(0),
            changed: Notify::new(),
            cuts: Cell::new(0),
        });
        let proxy = Proxy {
            address: listener.local_addr()?,
            shared: shared.clone(),
        };
        spawn_local(accept(listener, shared));
        Ok(proxy)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Lets so many of a hundred connections be silent, each alone.
    pub fn silence_some(&self, percent: u32) {
        self.shared.silent_alone.set(percent);
        self.shared.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn cut(&self) {
        self.shared.cuts.set(self.shared.cuts.get() + 1);
        self.shared.changed.notify_waiters();
    }
}

impl Shared {
    fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.notify_waiters();
    }

    /// Where a new connection stands among a hundred.
    fn draw(&self) -> u32 {
        self.drawn.set(self.drawn.get().wrapping_add(1));
        self.drawn.get().wrapping_mul(SPREAD) % 100
    }

    async fn until_cut(&self, cuts: u64) {
        loop {
            let changed = self.changed.notified();
            if self.cuts.get() != cuts {
                return;
            }
            changed.await;
        }
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

/// How a connection's passing on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// One side closed it.
    Closed,
    /// It broke, or was cut: the other side sees a reset.
    Reset,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToEngine,
    ToProcess,
}

async fn pass(from: TcpStream, shared: Rc<Shared>) {
    let cuts = shared.cuts.get();
    let passage = Rc::new(Passage::default());
    let draw = shared.draw();
    let (mut forth, mut back) = (Lying::of(draw), Lying::of(draw));
    let (mut from_read, mut from_write) = from.into_split();
    // At once, also for a machine that has vanished: when it is back, all that lies there would want a connection in the
    // same instant, more than its listener queues, and some would stay silent alone.
    let to = tokio::select! { biased;
        to = TcpStream::connect(shared.target) => to,
        () = lie(&mut from_read, &mut forth, Way::ToEngine, &shared, &passage) => return,
    };
    let seen_as = to.as_ref().ok().and_then(|to| to.local_addr().ok());
    let (Ok(to), Some(seen_as), true) = (to, seen_as, shared.cuts.get() == cuts) else {
        if let Ok(from) = from_read.reunite(from_write) {
            reset(from);
        }
        return;
    };
    shared.passages.add(seen_as, passage.clone());
    // Without it what is small waits for more; a proxy that lacks it still passes on.
    let _ = (from_write.as_ref().set_nodelay(true), to.set_nodelay(true));
    let (mut to_read, mut to_write) = to.into_split();
    let over = tokio::select! { biased;
        () = shared.until_cut(cuts) => Over::Reset,
        over = one_way(&mut from_read, &mut to_write, &mut forth, Way::ToEngine, &shared, &passage) => over,
        over = one_way(&mut to_read, &mut from_write, &mut back, Way::ToProcess, &shared, &passage) => over,
    };
    let (from, to) = (from_read.reunite(from_write), to_read.reunite(to_write));
    if let (Over::Reset, Ok(from), Ok(to)) = (over, from, to) {
        reset(from);
        reset(to);
    }
}

/// What has come on one way of a connection and has not gone on.
#[derive(Default)]
struct Lying {
    /// Where its connection stands among a hundred.
    draw: u32,
    bytes: Vec<u8>,
    end: Option<Over>,
}

impl Lying {
    fn of(draw: u32) -> Lying {
        Lying {
            draw,
            ..Lying::default()
        }
    }

    /// Whether nothing goes on this way of its connection.
    fn is_stopped(&self, way: Way, shared: &Shared) -> bool {
        shared.mode.get().stops(way) || self.draw < shared.silent_alone.get()
    }

    /// Takes in what comes next.
    async fn take(
        &mut self,
        from: &mut OwnedReadHalf,
        way: Way,
        shared: &Shared,
        passage: &Passage,
    ) {
        let mut bytes = vec![0; TURN];
        let read = from.read(&mut bytes).await;
        let now = shared.clock.now();
        match read {
            Ok(0) => self.end = Some(Over::Closed),
            Ok(read) => self.bytes.extend_from_slice(&bytes[..read]),
            // A reset takes along what lies there.
            Err(_) => (self.bytes, self.end) = (Vec::new(), Some(Over::Reset)),
        }
        if way == Way::ToEngine {
            match self.end {
                Some(_) => passage.process_closed(now),
                None => passage.request_came(now),
            }
        }
    }

    fn takes_more(&self) -> bool {
        self.end.is_none() && self.bytes.len() < MOST_LYING
    }
}

/// Takes in what comes, for good.
async fn lie(
    from: &mut OwnedReadHalf,
    lying: &mut Lying,
    way: Way,
    shared: &Shared,
    passage: &Passage,
) {
    while lying.takes_more() {
        lying.take(from, way, shared, passage).await;
    }
    std::future::pending().await
}

/// Passes bytes on one way until their sender ends. What comes while the proxy is silent lies there.
async fn one_way(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    lying: &mut Lying,
    way: Way,
    shared: &Shared,
    passage: &Passage,
) -> Over {
    loop {
        let changed = shared.changed.notified();
        let mode = shared.mode.get();
        let is_stopped = lying.is_stopped(way, shared);
        if !is_stopped && !lying.bytes.is_empty() {
            let ends_within = mode == Mode::SilentWithin && way == Way::ToEngine;
            let part = if ends_within {
                lying.bytes.len() / 2
            } else {
                lying.bytes.len()
            };
            if ends_within {
                shared.set_mode(Mode::Silent);
            }
            if to.write_all(&lying.bytes[..part]).await.is_err() {
                return Over::Reset;
            }
            lying.bytes.drain(..part);
            if way == Way::ToProcess {
                passage.answer_passed(shared.clock.now());
            }
            continue;
        }
        if let (Some(end), true) = (lying.end, !is_stopped) {
            if end == Over::Closed {
                // The other end sees what came before this as it is.
                let _ = to.shutdown().await;
                tokio::time::sleep(LINGER).await;
            }
            return end;
        }
        tokio::select! { biased;
            () = changed => {}
            () = lying.take(from, way, shared, passage), if lying.takes_more() => {}
        }
    }
}
