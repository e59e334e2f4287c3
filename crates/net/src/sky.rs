//! A network in memory with faults: delay, jitter, bandwidth, cuts in either direction, connections that are half
//! open, zones that do not reach each other, connects that hang. All chance comes from a seed and all time from
//! the runtime's clock, so on a paused runtime the same calls give the same bytes at the same instants.
//!
//! Bytes of one connection keep their order; those of different connections do not wait for each other.

use crate::{Listener, Ms, Transport};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{pending, Future};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, Instant, Sleep};

/// Bytes under way in each direction of a connection; a writer waits for room.
const UNDER_WAY: usize = 64 * 1024;
/// Before a name in its address.
const MARK: &str = "at-";

/// How bytes go from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weather {
    pub delay: Ms,
    /// Up to this much more, by chance.
    pub jitter: Ms,
    /// Bytes a millisecond and direction of a connection.
    pub bandwidth: f64,
}

impl Default for Weather {
    fn default() -> Self {
        Weather {
            delay: 0.25,
            jitter: 0.5,
            bandwidth: 100_000.0,
        }
    }
}

/// The zone where somebody listens, and where connections go.
type Listening = (Rc<str>, UnboundedSender<End>);

struct Inner {
    zero: Instant,
    rng: RefCell<WyRand>,
    weather: Cell<Weather>,
    listeners: RefCell<BTreeMap<String, Listening>>,
    wires: RefCell<Vec<Weak<Wire>>>,
    /// Zones, from and to, between which nothing passes.
    blocked: RefCell<BTreeSet<(Rc<str>, Rc<str>)>>,
    /// Whoever connects to these hears nothing.
    hanging: RefCell<BTreeSet<String>>,
    /// The most bytes that were under way in one direction of one connection.
    most: Cell<usize>,
}

/// A network; clones are the same one.
#[derive(Clone)]
pub struct Sky {
    inner: Rc<Inner>,
}

/// Where somebody is: connects from here and listens here.
#[derive(Clone)]
pub struct Place {
    sky: Sky,
    name: Rc<str>,
    zone: Rc<str>,
}

/// One direction of a connection.
struct Pipe {
    segments: VecDeque<(Ms, Vec<u8>, usize)>,
    bytes: usize,
    /// When the way is free for the next byte, and when the last one arrives.
    free_at: Ms,
    last: Ms,
    /// No byte follows the last.
    ended: bool,
    /// Nobody reads any more.
    deaf: bool,
    /// What is written vanishes; neither side is told.
    silent: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Wire {
    sky: Weak<Inner>,
    /// Who connected, and to whom; names and zones.
    ends: [(Rc<str>, Rc<str>); 2],
    pipes: [RefCell<Pipe>; 2],
    broken: Cell<bool>,
}

/// One side of a connection.
pub struct End {
    wire: Rc<Wire>,
    /// 0 connected, 1 was connected to.
    side: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Sky {
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            zero: Instant::now(),
            rng: RefCell::new(WyRand::new_seed(seed)),
            weather: Cell::default(),
            listeners: RefCell::default(),
            wires: RefCell::default(),
            blocked: RefCell::default(),
            hanging: RefCell::default(),
            most: Cell::new(0),
        };
        Sky {
            inner: Rc::new(inner),
        }
    }

    pub fn place(&self, name: &str, zone: &str) -> Place {
        Place {
            sky: self.clone(),
            name: Rc::from(name),
            zone: Rc::from(zone),
        }
    }

    pub fn set_weather(&self, weather: Weather) {
        self.inner.weather.set(weather);
    }

    /// Whether bytes pass from one zone to another; what is under way waits while they do not.
    pub fn block(&self, from: &str, to: &str, blocked: bool) {
        let pair = (Rc::from(from), Rc::from(to));
        if blocked {
            self.inner.blocked.borrow_mut().insert(pair);
        } else {
            self.inner.blocked.borrow_mut().remove(&pair);
            self.each_wire(|_| true, Wire::wake);
        }
    }

    /// Whether connects to an address get no answer.
    pub fn hang(&self, address: &str, hangs: bool) {
        if hangs {
            self.inner.hanging.borrow_mut().insert(address.to_owned());
        } else {
            self.inner.hanging.borrow_mut().remove(address);
        }
    }

    /// Breaks all connections of somebody: both sides are told at once.
    pub fn cut(&self, name: &str) {
        self.each_wire(
            |wire| wire.of(name),
            |wire| {
                wire.broken.set(true);
                wire.wake();
            },
        );
    }

    /// From now on nothing that somebody (`from`) says on the connections that there are arrives, and (`to`)
    /// nothing arrives there; nobody is told.
    pub fn silence(&self, name: &str, from: bool, to: bool) {
        self.each_wire(
            |wire| wire.of(name),
            |wire| {
                for side in 0..2 {
                    let says = &*wire.ends[side].0 == name;
                    wire.pipes[side].borrow_mut().silent |= (says && from) || (!says && to);
                }
            },
        );
    }

    /// The most bytes that were under way in one direction of one connection.
    pub fn most_under_way(&self) -> usize {
        self.inner.most.get()
    }

    fn each_wire(&self, which: impl Fn(&Wire) -> bool, what: impl Fn(&Wire)) {
        let mut wires = self.inner.wires.borrow_mut();
        wires.retain(|wire| wire.strong_count() > 0);
        let all: Vec<Rc<Wire>> = wires.iter().filter_map(Weak::upgrade).collect();
        drop(wires);
        all.iter()
            .filter(|wire| which(wire))
            .for_each(|wire| what(wire));
    }
}

impl Inner {
    fn now(&self) -> Ms {
        self.zero.elapsed().as_secs_f64() * 1000.0
    }

    /// What a byte's way takes by the weather now.
    fn way(&self) -> Ms {
        let weather = self.weather.get();
        let chance: f64 = self.rng.borrow_mut().generate();
        weather.delay + weather.jitter * chance
    }
}

async fn wait(ms: Ms) {
    sleep(Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()).await;
}

impl Transport for Place {
    type Stream = End;
    type Listener = SkyListener;

    async fn connect(&self, address: &str) -> io::Result<End> {
        let inner = &self.sky.inner;
        // There and back.
        wait(inner.way() + inner.way()).await;
        let zone = inner
            .listeners
            .borrow()
            .get(address)
            .map(|(zone, _)| zone.clone());
        let blocked = |from: &Rc<str>, to: &Rc<str>| {
            inner.blocked.borrow().contains(&(from.clone(), to.clone()))
        };
        let cut_off = zone
            .as_ref()
            .is_some_and(|zone| blocked(&self.zone, zone) || blocked(zone, &self.zone));
        if cut_off || inner.hanging.borrow().contains(address) {
            // Nobody says no: it is for the caller to give up.
            pending::<()>().await;
        }
        let listeners = inner.listeners.borrow();
        let Some((zone, listener)) = listeners.get(address) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let pipe = || {
            RefCell::new(Pipe {
                segments: VecDeque::new(),
                bytes: 0,
                free_at: 0.0,
                last: 0.0,
                ended: false,
                deaf: false,
                silent: false,
                reader: None,
                writer: None,
            })
        };
        let wire = Rc::new(Wire {
            sky: Rc::downgrade(inner),
            ends: [
                (self.name.clone(), self.zone.clone()),
                (Rc::from(name_of(address)), zone.clone()),
            ],
            pipes: [pipe(), pipe()],
            broken: Cell::new(false),
        });
        inner.wires.borrow_mut().push(Rc::downgrade(&wire));
        let far = End {
            wire: wire.clone(),
            side: 1,
            timer: None,
        };
        listener
            .send(far)
            .map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(End {
            wire,
            side: 0,
            timer: None,
        })
    }

    async fn listen(&self, address: &str) -> io::Result<SkyListener> {
        let (to, coming) = unbounded_channel();
        let mut listeners = self.sky.inner.listeners.borrow_mut();
        if listeners
            .get(address)
            .is_some_and(|(_, old)| !old.is_closed())
        {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        listeners.insert(address.to_owned(), (self.zone.clone(), to));
        Ok(SkyListener {
            address: address.to_owned(),
            sky: self.sky.clone(),
            coming,
        })
    }
}

/// Where somebody of this name listens.
pub fn address_of(name: &str) -> String {
    format!("{MARK}{name}")
}

fn name_of(address: &str) -> &str {
    address.strip_prefix(MARK).unwrap_or(address)
}

/// Listens until it is dropped.
pub struct SkyListener {
    address: String,
    sky: Sky,
    coming: UnboundedReceiver<End>,
}

impl Listener for SkyListener {
    type Stream = End;

    async fn accept(&mut self) -> io::Result<End> {
        self.coming
            .recv()
            .await
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}

impl Drop for SkyListener {
    fn drop(&mut self) {
        // Another process may listen there by now.
        self.coming.close();
        let mut listeners = self.sky.inner.listeners.borrow_mut();
        if listeners
            .get(&self.address)
            .is_some_and(|(_, to)| to.is_closed())
        {
            listeners.remove(&self.address);
        }
    }
}

impl Wire {
    fn of(&self, name: &str) -> bool {
        self.ends.iter().any(|(end, _)| &**end == name)
    }

    fn wake(&self) {
        for pipe in &self.pipes {
            let mut pipe = pipe.borrow_mut();
            pipe.reader
                .take()
                .into_iter()
                .chain(pipe.writer.take())
                .for_each(Waker::wake);
        }
    }

    /// Whether nothing passes from a side now.
    fn is_blocked(&self, sky: &Inner, side: usize) -> bool {
        let blocked = sky.blocked.borrow();
        !blocked.is_empty()
            && blocked.contains(&(self.ends[side].1.clone(), self.ends[1 - side].1.clone()))
    }
}

impl AsyncRead for End {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(sky) = this.wire.sky.upgrade() else {
            return Poll::Ready(Ok(()));
        };
        if this.wire.broken.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let from = 1 - this.side;
        let now = sky.now();
        let mut pipe = this.wire.pipes[from].borrow_mut();
        let mut read = 0;
        if !this.wire.is_blocked(&sky, from) {
            while into.remaining() > 0 {
                let Some((at, bytes, done)) = pipe.segments.front_mut() else {
                    break;
                };
                if *at > now {
                    break;
                }
                let part = into.remaining().min(bytes.len() - *done);
                into.put_slice(&bytes[*done..*done + part]);
                *done += part;
                read += part;
                if *done == bytes.len() {
                    pipe.segments.pop_front();
                }
            }
        }
        if read > 0 {
            pipe.bytes -= read;
            pipe.writer.take().into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(()));
        }
        let all_came = pipe.ended && pipe.segments.is_empty() && pipe.last <= now;
        if all_came && !pipe.silent && !this.wire.is_blocked(&sky, from) {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        let next = pipe
            .segments
            .front()
            .map(|(at, ..)| *at)
            .or(pipe.ended.then_some(pipe.last));
        drop(pipe);
        // What is blocked or vanished wakes nobody by itself.
        if let Some(at) = next.filter(|at| at.is_finite() && *at > now) {
            let wait = Duration::try_from_secs_f64((at - now) / 1000.0).unwrap_or_default();
            let mut timer = Box::pin(sleep(wait));
            if timer.as_mut().poll(cx).is_ready() {
                cx.waker().wake_by_ref();
            }
            this.timer = Some(timer);
        }
        Poll::Pending
    }
}

impl AsyncWrite for End {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Some(sky) = this.wire.sky.upgrade() else {
            return Poll::Ready(Ok(bytes.len()));
        };
        if this.wire.broken.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let mut pipe = this.wire.pipes[this.side].borrow_mut();
        if pipe.deaf && !pipe.silent {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if pipe.bytes >= UNDER_WAY {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let part = bytes.len().min(UNDER_WAY - pipe.bytes);
        let now = sky.now();
        pipe.free_at = pipe.free_at.max(now) + part as f64 / sky.weather.get().bandwidth.max(1e-3);
        let arrives = if pipe.silent {
            f64::INFINITY
        } else {
            pipe.free_at + sky.way()
        };
        pipe.last = pipe.last.max(arrives);
        let at = pipe.last;
        pipe.segments.push_back((at, bytes[..part].to_vec(), 0));
        pipe.bytes += part;
        sky.most.set(sky.most.get().max(pipe.bytes));
        pipe.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(part))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end();
        Poll::Ready(Ok(()))
    }
}

impl End {
    /// Says that nothing follows.
    fn end(&self) {
        let way = self.wire.sky.upgrade().map(|sky| (sky.now(), sky.way()));
        let mut pipe = self.wire.pipes[self.side].borrow_mut();
        if let (false, Some((now, way))) = (pipe.ended, way) {
            pipe.ended = true;
            pipe.last = pipe.last.max(now + way);
            pipe.reader.take().into_iter().for_each(Waker::wake);
        }
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.end();
        let mut pipe = self.wire.pipes[1 - self.side].borrow_mut();
        pipe.deaf = true;
        pipe.writer.take().into_iter().for_each(Waker::wake);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::task::{spawn_local, LocalSet};
    use tokio::time::timeout;

    fn run<F: Future<Output = ()>>(test: impl FnOnce(Sky) -> F) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            test(Sky::new(1)).await
        });
    }

    async fn pair(sky: &Sky) -> (End, End) {
        let mut listener = sky.place("b", "south").listen("at-b").await.expect("free");
        let near = sky
            .place("a", "north")
            .connect("at-b")
            .await
            .expect("it listens");
        (near, listener.accept().await.expect("it came"))
    }

    #[test]
    fn bytes_take_their_time_and_keep_their_order() {
        run(|sky| async move {
            sky.set_weather(Weather {
                delay: 20.0,
                jitter: 50.0,
                bandwidth: 10.0,
            });
            let (mut near, mut far) = pair(&sky).await;
            let begin = sky.inner.now();
            for n in 0..100u8 {
                near.write_all(&[n; 10]).await.expect("taken");
            }
            drop(near);
            let mut all = Vec::new();
            far.read_to_end(&mut all).await.expect("it ends in order");
            assert_eq!(all, (0..100u8).flat_map(|n| [n; 10]).collect::<Vec<u8>>());
            let took = sky.inner.now() - begin;
            assert!(
                (100.0 + 20.0..100.0 + 20.0 + 100.0).contains(&took),
                "1,000 bytes at 10 a ms: {took}"
            );
        });
    }

    #[test]
    fn a_writer_waits_for_a_slow_reader() {
        run(|sky| async move {
            let (mut near, _far) = pair(&sky).await;
            let written = timeout(
                Duration::from_secs(60),
                near.write_all(&vec![0; 10 * UNDER_WAY]),
            )
            .await;
            assert!(written.is_err(), "it waits");
            assert_eq!(sky.most_under_way(), UNDER_WAY);
        });
    }

    #[test]
    fn blocked_zones_hold_bytes_back_and_connects_hang() {
        run(|sky| async move {
            let (mut near, mut far) = pair(&sky).await;
            sky.block("north", "south", true);
            near.write_all(b"x").await.expect("taken");
            far.write_all(b"y").await.expect("taken");
            let mut byte = [0];
            near.read_exact(&mut byte)
                .await
                .expect("the other way is free");
            assert!(timeout(Duration::from_secs(9), far.read_exact(&mut byte))
                .await
                .is_err());
            let _listener = sky.place("b", "south").listen("at-b").await.expect("free");
            let place = sky.place("c", "north");
            assert!(timeout(Duration::from_secs(9), place.connect("at-b"))
                .await
                .is_err());
            let healing = sky.clone();
            spawn_local(async move {
                wait(100.0).await;
                healing.block("north", "south", false);
            });
            far.read_exact(&mut byte)
                .await
                .expect("it comes when the way is free");
            assert_eq!(&byte, b"x");
        });
    }

    #[test]
    fn a_cut_is_told_and_silence_is_not() {
        run(|sky| async move {
            let (mut near, mut far) = pair(&sky).await;
            sky.silence("a", true, false);
            near.write_all(b"x").await.expect("taken");
            let mut byte = [0];
            assert!(timeout(Duration::from_secs(99), far.read_exact(&mut byte))
                .await
                .is_err());
            far.write_all(b"y").await.expect("taken");
            near.read_exact(&mut byte)
                .await
                .expect("the other direction goes on");
            drop(near);
            assert!(
                timeout(Duration::from_secs(99), far.read_exact(&mut byte))
                    .await
                    .is_err(),
                "no end either"
            );
            sky.cut("b");
            let problem = far.read_exact(&mut byte).await.expect_err("it is told");
            assert_eq!(problem.kind(), io::ErrorKind::ConnectionReset);
        });
    }

    #[test]
    fn nobody_listens_once_the_listener_is_gone_and_another_may() {
        run(|sky| async move {
            let place = sky.place("b", "south");
            let first = place.listen("at-b").await.expect("free");
            assert!(place.listen("at-b").await.is_err());
            drop(first);
            assert!(sky.place("a", "north").connect("at-b").await.is_err());
            assert!(place.listen("at-b").await.is_ok());
        });
    }
}
