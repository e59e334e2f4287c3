//! A relay before each process of a drill: whoever connects to the process's known address meets the relay, which
//! knows the caller by the loopback address that it comes from. Bytes can be held in either direction, delayed, and
//! connections reset.

use cindercleat::interface::Ms;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// One end of ways: a process or a receiver, by its number.
pub type End = usize;

/// How bytes go from one end to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// How many troubles hold it now: nothing passes.
    pub held: u32,
    pub delay: Ms,
}

/// All ways of a drill; clones are the same.
#[derive(Clone, Default)]
pub struct Ways {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    ways: RefCell<BTreeMap<(End, End), Way>>,
    ends: RefCell<BTreeMap<IpAddr, End>>,
    /// Counts up at each reset of connections to or from an end.
    resets: RefCell<BTreeMap<End, u64>>,
    changed: Notify,
    bytes: RefCell<BTreeMap<End, u64>>,
    connections: Cell<u64>,
}

impl Ways {
    /// Connections from this address are an end's.
    pub fn is_at(&self, end: End, from: IpAddr) {
        self.inner.ends.borrow_mut().insert(from, end);
    }

    pub fn change(&self, from: End, to: End, change: impl FnOnce(&mut Way)) {
        change(self.inner.ways.borrow_mut().entry((from, to)).or_default());
        self.inner.changed.notify_waiters();
    }

    /// Breaks all connections of an end: both sides are told.
    pub fn reset(&self, end: End) {
        *self.inner.resets.borrow_mut().entry(end).or_default() += 1;
        self.inner.changed.notify_waiters();
    }

    /// Bytes that came from an end, and connections made in all.
    pub fn bytes_from(&self, end: End) -> u64 {
        self.inner
            .bytes
            .borrow()
            .get(&end)
            .copied()
            .unwrap_or_default()
    }

    pub fn connections(&self) -> u64 {
        self.inner.connections.get()
    }

    fn way(&self, from: End, to: End) -> Way {
        self.inner
            .ways
            .borrow()
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    fn resets_of(&self, ends: (End, End)) -> u64 {
        let resets = self.inner.resets.borrow();
        let of = |end: End| resets.get(&end).copied().unwrap_or_default();
        of(ends.0) + of(ends.1)
    }

    async fn passes(&self, from: End, to: End) {
        loop {
            let changed = self.inner.changed.notified();
            if self.way(from, to).held == 0 {
                return;
            }
            changed.await;
        }
    }

    async fn is_reset(&self, ends: (End, End), before: u64) {
        loop {
            let changed = self.inner.changed.notified();
            if self.resets_of(ends) != before {
                return;
            }
            changed.await;
        }
    }

    /// Relays connections to an end that listens elsewhere, for as long as the drill lasts.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn relay(&self, to: End, behind: String) -> io::Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let ways = self.clone();
        spawn_local(async move {
            while let Ok((near, from)) = listener.accept().await {
                let from = ways.inner.ends.borrow().get(&from.ip()).copied();
                let Some(from) = from else { continue };
                let (ways, behind) = (ways.clone(), behind.clone());
                spawn_local(async move {
                    // What is not reached ends as a connection that breaks.
                    let _ = ways.join(near, from, to, &behind).await;
                });
            }
        });
        Ok(address)
    }

    async fn join(&self, near: TcpStream, from: End, to: End, behind: &str) -> io::Result<()> {
        let before = self.resets_of((from, to));
        self.inner.connections.set(self.inner.connections.get() + 1);
        let joined = async {
            self.passes(from, to).await;
            let far = TcpStream::connect(behind).await?;
            near.set_nodelay(true)?;
            far.set_nodelay(true)?;
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::select! {
                ended = self.pump(near_in, far_out, from, to) => ended,
                ended = self.pump(far_in, near_out, to, from) => ended,
            }
        };
        tokio::select! { biased;
            () = self.is_reset((from, to), before) => Ok(()),
            ended = joined => ended,
        }
    }

    async fn pump(
        &self,
        mut from_socket: OwnedReadHalf,
        mut to_socket: OwnedWriteHalf,
        from: End,
        to: End,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = from_socket.read(&mut buffer).await?;
            let delay = self.way(from, to).delay;
            if delay > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(delay / 1000.0)).await;
            }
            self.passes(from, to).await;
            if read == 0 {
                return Ok(());
            }
            *self.inner.bytes.borrow_mut().entry(from).or_default() += read as u64;
            to_socket.write_all(&buffer[..read]).await?;
        }
    }
}
