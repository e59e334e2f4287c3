//! Joins a [`Member`] with a transport, a clock and a disk, beside the dispatcher's shell: its own listener, its own
//! connections, nothing that serving waits for. All runs on the thread that it is started on, but for the syncs of the
//! voter's file.

use crate::acceptor_storage::{self, Disk};
use crate::codec::{answer_in, answer_out, question_in, question_out};
use cindercleat::coordination::disruption_budget::Unit;
use cindercleat::coordination::member::{
    CallId, FleetSettings, Input, LocalHealth, Member, Output, Question, QuestionId, SaveId,
    UnusableFile,
};
use cindercleat::coordination::register::AcceptorState;
use cindercleat::coordination::{Address, LeaseName, Term};
use cindercleat::interface::Ms;
use cindercleat_grpc::{connect, serve, Event, Out, Session, Setup};
use cindercleat_net::{Clock, Listener, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The largest message between members: a value of a few kilobytes, or a roll of thousands for operators.
pub const MOST_MESSAGE: usize = 4 << 20;
/// Calls of one member that are open at once on a connection, and connections taken in.
const MOST_CALLS: u32 = 256;
const MOST_CONNECTIONS: usize = 8192;
/// A connection that was not used for this long is closed.
const IDLE: Ms = 30_000.0;
/// Messages that cannot be right are warned of once in so long.
const WARN_EVERY: Ms = 10_000.0;
/// How often the dispatcher is asked how it fares.
const FARES_EVERY: Ms = 100.0;

/// The dispatcher beside which a member runs.
pub trait Dispatcher {
    /// How it fares.
    fn local_health(&self) -> LocalHealth;

    /// The engines as its list has them.
    fn engines(&self) -> Vec<Unit> {
        Vec::new()
    }

    /// It has its turn: it drains and ends in order, to be started again under a label if one is named.
    fn has_turn(&self, permit: u64, label: &str);
}

struct Peer {
    out: Out,
    used: Cell<Ms>,
    /// Questions that are out on it, by their streams, and since when.
    asked: RefCell<BTreeMap<u64, (QuestionId, Ms)>>,
    streams: Cell<u64>,
}

/// A question for a connection that is not up yet, and since when.
type Waiting = (QuestionId, v1::FleetCall, Ms);

struct Inner<T, C, D> {
    settings: FleetSettings,
    transport: T,
    clock: C,
    disk: Option<D>,
    member: RefCell<Member>,
    beside: Rc<dyn Dispatcher>,
    peers: RefCell<BTreeMap<Address, Rc<Peer>>>,
    /// What is to go out once the connection is up.
    dialling: RefCell<BTreeMap<Address, Vec<Waiting>>>,
    /// Who waits for the answer to a call.
    calls: RefCell<BTreeMap<CallId, (Out, u64)>>,
    numbers: Cell<u64>,
    connections: Cell<usize>,
    armed: Cell<Ms>,
    timer: Notify,
    stopped: Cell<bool>,
    stopping: Notify,
    dropped: Cell<u64>,
    warned: Cell<Ms>,
}

/// One dispatcher's part in its fleet; clones are the same one.
pub struct Driver<T, C, D> {
    inner: Rc<Inner<T, C, D>>,
}

impl<T, C, D> Clone for Driver<T, C, D> {
    fn clone(&self) -> Self {
        Driver {
            inner: self.inner.clone(),
        }
    }
}

impl<T: Transport, C: Clock, D: Disk> Driver<T, C, D> {
    pub fn new(
        settings: FleetSettings,
        transport: T,
        clock: C,
        disk: Option<D>,
        beside: Rc<dyn Dispatcher>,
    ) -> Self {
        let inner = Inner {
            member: RefCell::new(Member::new(settings.clone())),
            settings,
            transport,
            clock,
            disk,
            beside,
            peers: RefCell::default(),
            dialling: RefCell::default(),
            calls: RefCell::default(),
            numbers: Cell::new(0),
            connections: Cell::new(0),
            armed: Cell::new(f64::INFINITY),
            timer: Notify::new(),
            stopped: Cell::new(false),
            stopping: Notify::new(),
            dropped: Cell::new(0),
            warned: Cell::new(f64::NEG_INFINITY),
        };
        Driver {
            inner: Rc::new(inner),
        }
    }

    /// Takes part until `stop` is there, and what it holds is handed over or its lease is over. Runs within a
    /// `LocalSet`, beside whatever serves.
    pub async fn run(&self, listener: T::Listener, stop: impl Future<Output = ()>) {
        let inner = &self.inner;
        self.input(Input::Tick);
        self.look_at_fares();
        if let Some(disk) = &inner.disk {
            let state = match disk.read() {
                Ok(None) => Ok(None),
                Ok(Some(bytes)) => {
                    acceptor_storage::read(&bytes)
                        .map(Some)
                        .map_err(|e| UnusableFile {
                            reason: e.to_string(),
                        })
                }
                Err(problem) => Err(UnusableFile {
                    reason: problem.to_string(),
                }),
            };
            self.input(Input::Loaded(state));
        }
        let accepting = spawn_local(self.clone().accept(listener));
        let timing = spawn_local(self.clone().keep_time());
        stop.await;
        self.input(Input::Stop);
        let until = inner.clock.now() + inner.settings.lease.lease;
        while !inner.stopped.get() && inner.clock.now() < until {
            tokio::select! { biased;
                () = inner.stopping.notified() => {}
                () = inner.clock.sleep_until(until) => {}
            }
        }
        // A last word to whoever was named goes out.
        let moment = inner.clock.now() + inner.settings.answer_within.min(50.0);
        inner.clock.sleep_until(moment).await;
        accepting.abort();
        timing.abort();
        inner
            .peers
            .borrow()
            .values()
            .for_each(|peer| peer.out.close());
    }

    /// The duties held now, with their terms.
    pub fn held(&self) -> Vec<(LeaseName, Term)> {
        self.inner
            .member
            .borrow()
            .held()
            .map(|(lease_name, term)| (lease_name.clone(), term))
            .collect()
    }

    /// How often what happened.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.inner.member.borrow().counts().clone()
    }

    /// Messages and connections that could not be right.
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.get()
    }

    fn look_at_fares(&self) {
        self.input(Input::LocalHealth(self.inner.beside.local_health()));
        if self.inner.member.borrow().wants_engines() {
            self.input(Input::Engines(self.inner.beside.engines()));
        }
    }

    fn input(&self, input: Input) {
        let mut outputs = Vec::new();
        let now = self.inner.clock.now();
        let mut member = self.inner.member.borrow_mut();
        member.handle(now, input, &mut outputs);
        let wants = member.wants_call_at();
        drop(member);
        for output in outputs {
            self.perform(output);
        }
        if wants < self.inner.armed.get() {
            self.inner.timer.notify_one();
        }
    }

    fn perform(&self, output: Output) {
        match output {
            Output::Ask { ask, to, question } => self.ask(ask, to, &question),
            Output::Answer { call, answer } => {
                if let Some((out, stream)) = self.inner.calls.borrow_mut().remove(&call) {
                    out.send(frame(stream, Body::FleetAnswer(answer_out(&answer))));
                }
            }
            Output::Save { number, state } => {
                spawn_local(self.clone().save(number, state));
            }
            Output::Holds {
                lease_name,
                term,
                held: true,
            } => {
                tracing::info!(lease_name = %lease_name.0, term = term.0, "lease held");
            }
            Output::Holds {
                lease_name,
                term,
                held: false,
            } => {
                tracing::info!(lease_name = %lease_name.0, term = term.0, "lease lost");
            }
            Output::PermitGranted { permit, label } => {
                tracing::info!(permit = permit.0, label, "disruption permit received");
                self.inner.beside.has_turn(permit.0, &label);
            }
            Output::Warn(text) => tracing::warn!("{text}"),
            Output::Info(text) => tracing::debug!("{text}"),
            Output::Stopped => {
                self.inner.stopped.set(true);
                self.inner.stopping.notify_one();
            }
        }
    }

    async fn save(self, number: SaveId, state: Box<AcceptorState>) {
        let saved = match &self.inner.disk {
            Some(disk) => disk.replace(acceptor_storage::write(&state)).await,
            None => Err(std::io::ErrorKind::Unsupported.into()),
        };
        if let Err(problem) = &saved {
            tracing::warn!(%problem, "voter's file not written");
        }
        self.input(Input::Saved {
            number,
            is_durable: saved.is_ok(),
        });
    }

    async fn keep_time(self) {
        let mut fares_at = 0.0;
        loop {
            let now = self.inner.clock.now();
            if now >= fares_at {
                fares_at = now + FARES_EVERY;
                self.look_at_fares();
                self.close_idle(now);
            }
            let wants = self.inner.member.borrow().wants_call_at().min(fares_at);
            self.inner.armed.set(wants);
            tokio::select! { biased;
                () = self.inner.timer.notified() => {}
                () = self.inner.clock.sleep_until(wants) => self.input(Input::Tick),
            }
        }
    }

    /// Closes connections that rest, and calls off what was given up long ago: neither side keeps it.
    fn close_idle(&self, now: Ms) {
        let longest = 2.0 * self.inner.settings.answer_within;
        let mut peers = self.inner.peers.borrow_mut();
        peers.retain(|_, peer| {
            peer.asked.borrow_mut().retain(|stream, (_, since)| {
                let keeps = now - *since <= longest;
                if !keeps {
                    peer.out.send(frame(*stream, Body::Cancel(v1::Cancel {})));
                }
                keeps
            });
            let rests = peer.asked.borrow().is_empty() && now - peer.used.get() > IDLE;
            if rests {
                peer.out.close();
            }
            !rests
        });
    }

    fn setup(&self, expects: &str) -> Setup {
        Setup {
            party: v1::Party::Fleet,
            // Members greet each other by the fleet's name: one of another fleet is refused.
            name: self.inner.settings.fleet.clone(),
            expects: expects.to_owned(),
            run: self.inner.settings.incarnation.0,
            most_message: MOST_MESSAGE,
            most_calls: MOST_CALLS,
        }
    }

    fn ask(&self, ask: QuestionId, to: Address, question: &Question) {
        let call = question_out(question);
        let peer = self.inner.peers.borrow().get(&to).cloned();
        if let Some(peer) = peer {
            return self.send(&peer, ask, call);
        }
        let now = self.inner.clock.now();
        let mut dialling = self.inner.dialling.borrow_mut();
        match dialling.get_mut(&to) {
            Some(waiting) => {
                // What was given up meanwhile is not sent late.
                waiting.retain(|(_, _, since)| now - *since <= self.inner.settings.answer_within);
                waiting.push((ask, call, now));
            }
            None => {
                dialling.insert(to.clone(), vec![(ask, call, now)]);
                spawn_local(self.clone().dial(to));
            }
        }
    }

    fn send(&self, peer: &Rc<Peer>, ask: QuestionId, call: v1::FleetCall) {
        let stream = peer.streams.get() + 1;
        peer.streams.set(stream);
        peer.used.set(self.inner.clock.now());
        peer.asked
            .borrow_mut()
            .insert(stream, (ask, self.inner.clock.now()));
        peer.out.send(frame(stream, Body::FleetCall(call)));
    }

    /// One connection to another member, from the dialling to its end.
    async fn dial(self, to: Address) {
        // Longer than an answer may take: on a machine that is short of time a connection comes up all the same, once,
        // where one that is given up and dialled anew each time would keep everybody busy and never come up.
        let settings = &self.inner.settings;
        let until =
            self.inner.clock.now() + settings.lease.lease.max(10.0 * settings.answer_within);
        let dialled = async {
            let stream = self
                .inner
                .transport
                .connect(&to.0)
                .await
                .map_err(|e| e.to_string())?;
            connect(
                stream,
                v1::Party::Fleet,
                self.setup(&self.inner.settings.fleet),
            )
            .await
        };
        let dialled = tokio::select! { biased;
            dialled = dialled => dialled,
            () = self.inner.clock.sleep_until(until) => Err("no greeting in time".to_owned()),
        };
        let waiting = self
            .inner
            .dialling
            .borrow_mut()
            .remove(&to)
            .unwrap_or_default();
        let Session {
            mut events, out, ..
        } = match dialled {
            Ok(session) => session,
            Err(reason) => {
                tracing::debug!(address = %to.0, reason, "member not reached");
                // Not at once: the core asked this very moment, and answers to what it asks come later.
                for (ask, ..) in waiting {
                    self.input(Input::Answered { ask, answer: None });
                }
                return;
            }
        };
        let used = Cell::new(self.inner.clock.now());
        let peer = Rc::new(Peer {
            out,
            used,
            asked: RefCell::default(),
            streams: Cell::new(0),
        });
        self.inner
            .peers
            .borrow_mut()
            .insert(to.clone(), peer.clone());
        let oldest = self.inner.clock.now() - self.inner.settings.answer_within;
        for (ask, call, _) in waiting.into_iter().filter(|(_, _, since)| *since >= oldest) {
            self.send(&peer, ask, call);
        }
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(Frame { stream, body }) => {
                    let Some((ask, _)) = peer.asked.borrow_mut().remove(&stream) else {
                        continue;
                    };
                    let answer = match body {
                        Some(Body::FleetAnswer(said)) => self.understood(answer_in(said)),
                        _ => None,
                    };
                    self.input(Input::Answered { ask, answer });
                }
                Event::GoingAway => break,
                Event::Flushed { .. } | Event::Partly => {}
            }
        }
        let mut peers = self.inner.peers.borrow_mut();
        if peers.get(&to).is_some_and(|now| Rc::ptr_eq(now, &peer)) {
            peers.remove(&to);
        }
        drop(peers);
        let lost = std::mem::take(&mut *peer.asked.borrow_mut());
        for (ask, _) in lost.into_values() {
            self.input(Input::Answered { ask, answer: None });
        }
    }

    /// Counts what cannot be right, and says so once in a while.
    fn understood<M>(&self, message: Option<M>) -> Option<M> {
        if message.is_none() {
            self.inner.dropped.set(self.inner.dropped.get() + 1);
            let now = self.inner.clock.now();
            if now - self.inner.warned.get() >= WARN_EVERY {
                self.inner.warned.set(now);
                let dropped = self.inner.dropped.get();
                tracing::warn!(
                    dropped,
                    "messages of the fleet that cannot be right are dropped"
                );
            }
        }
        message
    }

    async fn accept(self, mut listener: T::Listener) {
        loop {
            match listener.accept().await {
                // Guards against more connections than descriptors bear: members come again.
                Ok(stream) if self.inner.connections.get() < MOST_CONNECTIONS => {
                    self.inner.connections.set(self.inner.connections.get() + 1);
                    spawn_local(self.clone().caller(stream));
                }
                Ok(_) => {}
                Err(problem) => {
                    tracing::warn!(%problem, "connection of the fleet not taken");
                    let again = self.inner.clock.now() + FARES_EVERY;
                    self.inner.clock.sleep_until(again).await;
                }
            }
        }
    }

    /// One connection that was taken in.
    async fn caller(self, stream: T::Stream) {
        let until = self.inner.clock.now() + 10.0 * self.inner.settings.answer_within;
        let met = tokio::select! { biased;
            met = serve(stream, self.setup("")) => met,
            () = self.inner.clock.sleep_until(until) => Err("nothing was asked in time".to_owned()),
        };
        match met {
            Ok(Session {
                mut events, out, ..
            }) => {
                while let Some(event) = events.recv().await {
                    if let Event::Frame(Frame {
                        stream,
                        body: Some(body),
                    }) = event
                    {
                        self.called(&out, stream, body);
                    }
                }
            }
            // Nobody of this fleet: another's dispatcher, or whoever speaks something else.
            Err(_) => drop(self.understood(None::<()>)),
        }
        self.inner.connections.set(self.inner.connections.get() - 1);
    }

    fn called(&self, out: &Out, stream: u64, body: Body) {
        match body {
            Body::FleetCall(said) => match self.understood(question_in(said)) {
                Some(question) => {
                    let call = CallId(self.inner.numbers.get() + 1);
                    self.inner.numbers.set(call.0);
                    self.inner
                        .calls
                        .borrow_mut()
                        .insert(call, (out.clone(), stream));
                    self.input(Input::Asked { call, question });
                }
                None => out.reset(stream, 2),
            },
            // It waits no more.
            Body::Cancel(_) => {
                let mine = |(o, s): &(Out, u64)| *s == stream && o.same(out);
                self.inner
                    .calls
                    .borrow_mut()
                    .retain(|_, waits| !mine(waits));
            }
            _ => out.reset(stream, 2),
        }
    }
}
