//! The stand-in for an engine. A prefill engine processes prompts and holds KV states; a decode engine fetches KV
//! states and streams answers. An engine has slots, a queue, memory, a cold start, delayed load reports, and faults
//! that a script turns on and off.
//!
//! The performance model is plain and is an assumption: the slots of a prefill engine share its prompt throughput
//! evenly, each slot of a decode engine emits one token per `token_ms`, and a cold engine does both more slowly, by its
//! present share of its full capacity.

use crate::transcript::{Note, Transcript, Way, What};
use crate::{accept_session, open_session, uniform};
use cindercleat_grpc::{Event, Out, Session};
use cindercleat_net::{Clock, Listener, Ms, Transport};
use cindercleat_protocol::{frame, text_bytes, v1, Body, Frame};
use nanorand::WyRand;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle};

/// The stages that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Prefill only.
    Reads,
    /// Decode only; a decode attempt that names no KV state ends with `NoState`.
    Writes,
    /// Prefill and decode.
    Both,
}

/// The fixed properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: String,
    pub zone: String,
    pub cell: String,
    pub kind: String,
    pub does: Does,
    /// The largest number of attempts that run at the same time; further ones wait in the queue.
    pub slots: usize,
    /// The number of attempts that may wait for a slot; further ones are rejected as overloaded.
    pub queue: usize,
    /// The number of tokens that fit into the memory, of KV states and of running decode attempts together.
    pub memory_tokens: f64,
    /// The number of prompt tokens that all slots together process per second.
    pub read_per_s: f64,
    /// The time that a slot takes for one output token.
    pub token_ms: Ms,
    /// The number of tokens of a KV state that a decode engine fetches per second.
    pub fetch_per_s: f64,
    /// The share of its full capacity that a cold engine has when it starts, from 0 to 1.
    pub start_share: f64,
    /// The time from the start of a cold engine until it has its full capacity.
    pub slow_start_window: Ms,
    /// How long a prefill engine holds a KV state that no decode engine fetches.
    pub hold: Ms,
    /// The age of a load report when it is sent.
    pub report_age: Ms,
    /// The largest share by which a figure in a load report errs, upwards or downwards; 0.1 is 10 %.
    pub report_noise: f64,
    /// The smallest length of an answer, as a share of the largest number of tokens that the request allows.
    pub answer_share: f64,
}

/// The faults that are injected into an engine at present.
#[derive(Clone, Debug, PartialEq)]
pub struct Troubles {
    /// The factor by which all work takes longer; 1.0 is normal speed.
    pub slow: f64,
    /// The engine accepts connections and calls, and answers none of them.
    pub mute: bool,
    /// The number of tokens after which each stream stalls; `None` if no stream stalls.
    pub stall_after: Option<u32>,
    /// The share of attempts that fail on arrival.
    pub fails: f64,
    /// The probability, 0 to 1, that an attempt is reset, on arrival or in mid-stream.
    pub resets: f64,
    /// The request class whose attempts are rejected as overloaded; `None` if there is none.
    pub full_for: Option<String>,
    /// The extra delay of load reports. A report is older than [`EngineSpec::report_age`] by this time when it is sent.
    pub reports_late: Ms,
    /// All new attempts are rejected as overloaded.
    pub draining: bool,
    /// The engine process dies after the last token of a stream, before it sends the stream's end.
    pub dies_before_end: bool,
    /// The delay before the handshake on a new connection.
    pub greets_late: Ms,
}

impl Default for Troubles {
    fn default() -> Self {
        Troubles {
            slow: 1.0,
            mute: false,
            stall_after: None,
            fails: 0.0,
            resets: 0.0,
            full_for: None,
            reports_late: 0.0,
            draining: false,
            dies_before_end: false,
            greets_late: 0.0,
        }
    }
}

/// The HTTP/2 error code REFUSED_STREAM, which guarantees that the engine has not processed the call.
const REFUSED_STREAM: u32 = 7;
/// The HTTP/2 error codes that resets use. All but REFUSED_STREAM leave open whether the call was processed.
const RESET_CODES: [u32; 6] = [REFUSED_STREAM, 1, 2, 5, 8, 11];

/// How long a decode engine waits for a prefill engine to answer the fetch of a KV state.
const FETCH_TIMEOUT: Ms = 1000.0;
/// The number of token messages of a stream that a decode engine may have written but not yet flushed to the socket.
const STREAM_WINDOW: u32 = 4;

/// The run of the dispatcher process, the request and the attempt that identify a KV state.
type StateKey = (u64, u32, u32);

/// The number of tasks at the front of [`ProcessState::tasks`] that belong to no connection: the listener and the load
/// reports.
const PROCESS_TASKS: usize = 2;
/// Handles of finished connection tasks are removed whenever the number of handles reaches a multiple of this.
const TASK_SWEEP: usize = 64;
/// Handles of finished attempts are removed whenever a connection has at least this many task handles.
const STREAM_TASK_SWEEP: usize = 256;
/// The interval at which running work reads the engine's capacity again, as faults and slow start change it.
const WORK_STEP: Ms = 20.0;

/// The state of one run of the engine process; it is discarded when the process starts again.
#[derive(Default)]
struct ProcessState {
    troubles: Troubles,
    /// The KV states held, with the tokens of each.
    states: BTreeMap<StateKey, f64>,
    /// The cached prompt prefixes, least recently used first: identifier and tokens.
    cached_prefixes: VecDeque<(u64, f64)>,
    /// The number of tokens in memory, of KV states and of running decode attempts.
    used_tokens: f64,
    /// The number of attempts that wait for a slot.
    waiting: usize,
    /// The number of attempts that hold a slot.
    running: usize,
    /// The prompt tokens of all attempts that wait for a slot.
    waiting_tokens: f64,
    /// Load reports that may still be sent, oldest first, with the time at which each was made.
    reports: VecDeque<(Ms, v1::Load)>,
    /// The listener, the report task, and one task for each accepted connection, in this order.
    tasks: Vec<AbortHandle>,
    /// Timers that drop held KV states. They outlive the connections whose attempts created the states.
    hold_timers: Vec<AbortHandle>,
    /// The connections that [`Engine::go_away`] reaches.
    connections: Vec<Weak<Connection>>,
}

struct Inner<T, C> {
    spec: EngineSpec,
    name: Rc<str>,
    transport: T,
    clock: C,
    transcript: Transcript,
    process: RefCell<ProcessState>,
    rng: RefCell<WyRand>,
    /// When the present process started; `None` while no process runs.
    started: Cell<Option<Ms>>,
    /// Whether the process started with full capacity.
    started_warm: Cell<bool>,
    /// The slots of the present process: one permit each.
    slots: RefCell<Arc<Semaphore>>,
    /// Notified when a fault changes or memory becomes free.
    changed: Notify,
    /// The address that the latest process listens on; empty before the first start.
    address: RefCell<String>,
}

/// A stand-in for an engine. Clones share one state.
pub struct Engine<T, C> {
    inner: Rc<Inner<T, C>>,
}

impl<T, C> Clone for Engine<T, C> {
    fn clone(&self) -> Self {
        Engine {
            inner: self.inner.clone(),
        }
    }
}

/// One connection of an engine.
struct Connection {
    /// The number of the connection in the transcript.
    id: u64,
    /// The name that the other side stated in the handshake.
    peer: Rc<str>,
    out: Out,
    /// The number of token messages that each decode stream may still write before earlier ones are flushed, by stream.
    credit: RefCell<BTreeMap<u64, u32>>,
    /// Notified when a stream's credit grows.
    credited: Notify,
    /// Notified to cancel a running attempt, by stream.
    cancellations: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl<T: Transport, C: Clock> Engine<T, C> {
    /// Creates an engine whose process does not run yet; all random draws derive from `seed`.
    pub fn new(
        spec: EngineSpec,
        transport: T,
        clock: C,
        transcript: Transcript,
        seed: u64,
    ) -> Self {
        let inner = Inner {
            name: Rc::from(spec.name.as_str()),
            slots: RefCell::new(Arc::new(Semaphore::new(spec.slots))),
            spec,
            transport,
            clock,
            transcript,
            process: RefCell::default(),
            rng: RefCell::new(WyRand::new_seed(seed)),
            started: Cell::new(None),
            started_warm: Cell::new(true),
            changed: Notify::new(),
            address: RefCell::default(),
        };
        Engine {
            inner: Rc::new(inner),
        }
    }

    /// Starts the engine process at an address and returns the address that it listens on. A warm process has its full
    /// capacity at once; a cold one goes through the slow start.
    ///
    /// # Errors
    /// Returns an error if the address cannot be listened on.
    pub async fn start(&self, address: &str, warm: bool) -> std::io::Result<String> {
        let mut listener = self.inner.transport.listen(address).await?;
        *self.inner.address.borrow_mut() = listener.address();
        self.inner.started.set(Some(self.now()));
        self.inner.started_warm.set(warm);
        *self.inner.process.borrow_mut() = ProcessState::default();
        *self.inner.slots.borrow_mut() = Arc::new(Semaphore::new(self.inner.spec.slots));
        if !warm {
            let spec = &self.inner.spec;
            let capacity = if spec.does == Does::Reads {
                spec.read_per_s
            } else {
                spec.slots as f64
            };
            let (start_share, slow_start_window) = (spec.start_share, spec.slow_start_window);
            self.inner.transcript.note(
                self.now(),
                &self.inner.name,
                Note::Started {
                    capacity,
                    start_share,
                    slow_start_window,
                },
            );
        }
        let engine = self.clone();
        let accepting = spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                engine.spawn(engine.clone().serve(stream));
            }
        });
        self.inner
            .process
            .borrow_mut()
            .tasks
            .push(accepting.abort_handle());
        let engine = self.clone();
        self.spawn(async move { engine.run_reports().await });
        Ok(self.address())
    }

    /// The address that the process listens on; empty before the first start.
    pub fn address(&self) -> String {
        self.inner.address.borrow().clone()
    }

    /// The name of the engine, which stays the same when its process restarts.
    pub fn name(&self) -> &str {
        &self.inner.spec.name
    }

    /// The fixed properties of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.inner.spec
    }

    /// The engine's entry in the list of discovery, with this status.
    pub fn line(&self, status: v1::EndpointStatus) -> v1::Endpoint {
        let spec = &self.inner.spec;
        v1::Endpoint {
            engine: spec.name.clone(),
            address: self.address(),
            zone: spec.zone.clone(),
            kind: spec.kind.clone(),
            cell: spec.cell.clone(),
            status: status.into(),
            weight: 1.0,
            started_ms: self
                .inner
                .started
                .get()
                .filter(|_| !self.inner.started_warm.get()),
        }
    }

    /// Ends the process abruptly, with all its connections and KV states.
    pub fn die(&self) {
        self.inner.started.set(None);
        self.inner
            .transcript
            .note(self.now(), &self.inner.name, Note::Died);
        let mut process = self.inner.process.borrow_mut();
        let (tasks, hold_timers) = (
            std::mem::take(&mut process.tasks),
            std::mem::take(&mut process.hold_timers),
        );
        drop(process);
        tasks
            .iter()
            .chain(&hold_timers)
            .for_each(AbortHandle::abort);
    }

    /// Whether the engine process runs.
    pub fn runs(&self) -> bool {
        self.inner.started.get().is_some()
    }

    /// Changes the injected faults of the present process; a new process starts without faults.
    pub fn trouble(&self, change: impl FnOnce(&mut Troubles)) {
        change(&mut self.inner.process.borrow_mut().troubles);
        self.inner.changed.notify_waiters();
    }

    /// Empties the cache of prompt prefixes, so that later prompts are prefilled in full; held KV states stay.
    pub fn forget_texts(&self) {
        self.inner.process.borrow_mut().cached_prefixes.clear();
    }

    /// Closes all connections and ends their tasks; the process itself continues to run.
    pub fn cut(&self) {
        // The listener and the report task come first in the list and are kept.
        let mut process = self.inner.process.borrow_mut();
        let first = process.tasks.len().min(PROCESS_TASKS);
        let tasks: Vec<AbortHandle> = process.tasks.drain(first..).collect();
        drop(process);
        for task in tasks {
            task.abort();
        }
    }

    /// Sends a go-away on all open connections: they take no new calls, and open calls continue.
    pub fn go_away(&self) {
        for connection in self
            .inner
            .process
            .borrow_mut()
            .connections
            .drain(..)
            .filter_map(|connection| connection.upgrade())
        {
            connection.out.go_away();
        }
    }

    /// The number of KV states held at present.
    pub fn states(&self) -> usize {
        self.inner.process.borrow().states.len()
    }

    fn now(&self) -> Ms {
        self.inner.clock.now()
    }

    /// Runs a task that ends with the process.
    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        let handle = spawn_local(task).abort_handle();
        let mut process = self.inner.process.borrow_mut();
        if process.tasks.len() > TASK_SWEEP && process.tasks.len().is_multiple_of(TASK_SWEEP) {
            let unfinished: Vec<AbortHandle> = process
                .tasks
                .drain(PROCESS_TASKS..)
                .filter(|task| !task.is_finished())
                .collect();
            process.tasks.extend(unfinished);
        }
        process.tasks.push(handle);
    }

    /// The present share of the engine's full capacity, between 0 and 1.
    fn capacity(&self) -> f64 {
        let spec = &self.inner.spec;
        let age = if self.inner.started_warm.get() {
            f64::INFINITY
        } else {
            self.now() - self.inner.started.get().unwrap_or(0.0)
        };
        let progress = (age / spec.slow_start_window).clamp(0.0, 1.0);
        (spec.start_share + (1.0 - spec.start_share) * progress)
            / self.inner.process.borrow().troubles.slow
    }

    /// Sleeps for the duration of a piece of work. `work` is its duration at full capacity. The capacity may change
    /// during the work, so it is read again every [`WORK_STEP`].
    async fn work(&self, mut work: Ms) {
        while work > 0.0 {
            let capacity = self.capacity().max(1e-3);
            let wait = WORK_STEP.min(work / capacity);
            self.inner.clock.sleep_until(self.now() + wait).await;
            work -= wait * capacity;
        }
    }

    /// Waits until [`Troubles::mute`] is false; returns at once if it is false already.
    async fn wait_until_unmuted(&self) {
        while self.inner.process.borrow().troubles.mute {
            self.inner.changed.notified().await;
        }
    }

    /// Makes a load report every half `report_age`, but not more often than every 10 ms, until the process ends.
    async fn run_reports(&self) {
        loop {
            let now = self.now();
            self.make_report(now);
            let spec = &self.inner.spec;
            self.inner
                .clock
                .sleep_until(now + (spec.report_age / 2.0).max(10.0))
                .await;
        }
    }

    /// Makes a load report, and drops each report that is older than the newest one that may be sent.
    fn make_report(&self, now: Ms) {
        let spec = &self.inner.spec;
        let mut process = self.inner.process.borrow_mut();
        let error_factor =
            || 1.0 + spec.report_noise * (2.0 * uniform(&mut self.inner.rng.borrow_mut()) - 1.0);
        let load = v1::Load {
            in_flight: Some((process.running + process.waiting) as f64),
            queue: Some(process.waiting as f64),
            slots_used: Some(
                (process.running as f64 / spec.slots as f64 * error_factor()).min(1.0),
            ),
            memory_held: Some((process.used_tokens / spec.memory_tokens * error_factor()).min(1.0)),
            waiting_kilotokens: Some(process.waiting_tokens / 1000.0 * error_factor()),
        };
        process.reports.push_back((now, load));
        let delay = spec.report_age + process.troubles.reports_late;
        while process.reports.len() > 1 && process.reports[1].0 <= now - delay {
            process.reports.pop_front();
        }
    }

    /// The load report to send: the newest one that has reached the configured age.
    fn load(&self) -> Option<v1::Load> {
        self.inner
            .process
            .borrow()
            .reports
            .front()
            .map(|(_, load)| *load)
    }

    /// Serves the calls of one connection until it ends.
    async fn serve(self, stream: T::Stream) {
        let delay = self.inner.process.borrow().troubles.greets_late;
        self.inner.clock.sleep_until(self.now() + delay).await;
        let Some(session) =
            accept_session::<T>(stream, v1::Party::Engine, &self.inner.spec.name).await
        else {
            return;
        };
        let Session {
            peer,
            mut events,
            out,
            ..
        } = session;
        let connection = Rc::new(Connection {
            id: self.inner.transcript.new_conn(),
            peer: Rc::from(peer.name.as_str()),
            out,
            credit: RefCell::default(),
            credited: Notify::new(),
            cancellations: RefCell::default(),
        });
        self.register_connection(&connection);
        // Tasks of this connection end with it, as their answers can no longer be sent.
        let tasks: RefCell<Vec<AbortHandle>> = RefCell::default();
        let served = ServedConnection {
            engine: self.clone(),
            connection: connection.clone(),
            tasks,
        };
        let hello = frame(0, Body::Hello(peer));
        self.record(&connection, Way::In, &hello);
        // Frames are recorded on arrival, even while the engine is mute and does not process them.
        let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
        let (engine, receiving) = (self.clone(), connection.clone());
        let receiver = spawn_local(async move {
            while let Some(event) = events.recv().await {
                let frame = match event {
                    Event::Frame(frame) => frame,
                    Event::GoingAway | Event::MessageBegun | Event::UnsolicitedData => continue,
                    Event::MessagesWritten { stream, messages } => {
                        if let Some(left) = receiving.credit.borrow_mut().get_mut(&stream) {
                            *left += messages;
                        }
                        receiving.credited.notify_waiters();
                        continue;
                    }
                };
                engine.record(&receiving, Way::In, &frame);
                if sender.send(frame).is_err() {
                    break;
                }
            }
        });
        served.tasks.borrow_mut().push(receiver.abort_handle());
        while let Some(frame) = frames.recv().await {
            self.wait_until_unmuted().await;
            let stream = frame.stream;
            match frame.body {
                Some(Body::Prefill(prefill)) => served.start_attempt(
                    stream,
                    self.clone().prefill(connection.clone(), stream, prefill),
                ),
                Some(Body::Decode(decode)) => {
                    connection.credit.borrow_mut().insert(stream, STREAM_WINDOW);
                    served.start_attempt(
                        stream,
                        self.clone().decode(connection.clone(), stream, decode),
                    );
                }
                Some(Body::Cancel(_)) => {
                    if let Some(cancelled) = connection.cancellations.borrow().get(&stream) {
                        cancelled.notify_one();
                    }
                }
                Some(Body::Release(v1::Release {
                    state: Some(state), ..
                })) => {
                    self.release_state(state_key(&state));
                    connection.out.send(Frame {
                        stream,
                        body: Some(Body::Done(v1::Done {})),
                    });
                }
                Some(Body::HealthCheck(_)) => self.send(
                    &connection,
                    stream,
                    Body::Load(self.load().unwrap_or_default()),
                ),
                Some(Body::Reserve(_)) => self.send(
                    &connection,
                    stream,
                    Body::Reservation(v1::Reservation { held: false }),
                ),
                Some(Body::Fetch(v1::Fetch { state: Some(state) })) => {
                    let tokens = self
                        .inner
                        .process
                        .borrow()
                        .states
                        .get(&state_key(&state))
                        .copied();
                    let (found, tokens) = (tokens.is_some(), tokens.unwrap_or(0.0) as u32);
                    self.release_state(state_key(&state));
                    self.send(
                        &connection,
                        stream,
                        Body::State(v1::State { found, tokens }),
                    );
                }
                Some(Body::Goodbye(_)) => break,
                _ => break,
            }
        }
    }

    /// Adds a connection to those that [`Engine::go_away`] reaches.
    fn register_connection(&self, connection: &Rc<Connection>) {
        let mut process = self.inner.process.borrow_mut();
        process
            .connections
            .retain(|connection| connection.strong_count() > 0);
        process.connections.push(Rc::downgrade(connection));
    }

    /// Adds a frame to the transcript.
    fn record(&self, connection: &Connection, way: Way, frame: &Frame) {
        let what = What::Frame(way, frame.clone());
        self.inner.transcript.add(
            self.now(),
            &self.inner.name,
            &connection.peer,
            connection.id,
            what,
        );
    }

    /// Records and sends a message. Does nothing once the process has died: an attempt may be polled one more time
    /// after its process has ended.
    fn send(&self, connection: &Connection, stream: u64, body: Body) {
        if !self.runs() {
            return;
        }
        let frame = frame(stream, body);
        self.record(connection, Way::Out, &frame);
        connection.out.send(frame);
    }

    /// Sends the end of an attempt, with the load report of [`Engine::load`].
    fn end_attempt(
        &self,
        connection: &Connection,
        stream: u64,
        status: v1::Status,
        cached_tokens: f64,
        state: Option<v1::KvStateId>,
    ) {
        let load = self.load();
        let ended = v1::Ended {
            status: status.into(),
            kept_tokens: cached_tokens as u32,
            load,
            reason: String::new(),
            state,
        };
        self.send(connection, stream, Body::Ended(ended));
    }

    /// Ends an attempt by a stream reset. The transcript records the reset as an `Ended` message of the same meaning.
    fn reset_attempt(&self, connection: &Connection, stream: u64, code: u32) {
        if !self.runs() {
            return;
        }
        let status = if code == REFUSED_STREAM {
            v1::Status::Overloaded
        } else {
            v1::Status::Failed
        };
        let reason = format!("reset {code}");
        let ended = v1::Ended {
            status: status.into(),
            reason,
            ..v1::Ended::default()
        };
        self.record(connection, Way::Out, &frame(stream, Body::Ended(ended)));
        connection.out.reset(stream, code);
    }

    /// Draws whether an attempt is reset; if so, returns the error code and the number of tokens before the reset.
    fn draw_reset(&self) -> Option<(u32, u32)> {
        let reset_share = self.inner.process.borrow().troubles.resets;
        let mut rng = self.inner.rng.borrow_mut();
        (reset_share > uniform(&mut rng)).then(|| {
            let code = RESET_CODES
                [(uniform(&mut rng) * RESET_CODES.len() as f64) as usize % RESET_CODES.len()];
            // REFUSED_STREAM states that the call was not processed, so it cannot follow the first token.
            let after = if code == REFUSED_STREAM {
                0.0
            } else {
                12.0 * (uniform(&mut rng) - 0.4).max(0.0)
            };
            (code, after as u32)
        })
    }

    /// Drops a KV state, if the engine holds it, and frees its memory.
    fn release_state(&self, state: StateKey) {
        let mut process = self.inner.process.borrow_mut();
        if let Some(tokens) = process.states.remove(&state) {
            process.used_tokens = (process.used_tokens - tokens).max(0.0);
        }
        drop(process);
        self.inner.changed.notify_waiters();
    }

    /// Decides whether an attempt is admitted; returns the status of its end if it is rejected or fails on arrival.
    fn admit(&self, request_class: &str) -> Result<(), v1::Status> {
        let process = self.inner.process.borrow();
        let full = process.troubles.draining
            || process.troubles.full_for.as_deref() == Some(request_class)
            || process.running + process.waiting >= self.inner.spec.slots + self.inner.spec.queue;
        let fails = process.troubles.fails > uniform(&mut self.inner.rng.borrow_mut());
        match (full, fails) {
            (true, _) => Err(v1::Status::Overloaded),
            (_, true) => Err(v1::Status::Failed),
            _ => Ok(()),
        }
    }

    /// Serves a prefill attempt: waits for a slot, processes the prompt, and holds the KV state.
    async fn prefill(self, connection: Rc<Connection>, stream: u64, prefill: v1::Prefill) {
        let admitted = if self.inner.spec.does == Does::Writes {
            Err(v1::Status::Failed)
        } else {
            self.admit(&prefill.request_class)
        };
        if let Err(status) = admitted {
            return self.end_attempt(&connection, stream, status, 0.0, None);
        }
        if let Some((code, _)) = self.draw_reset() {
            return self.reset_attempt(&connection, stream, code);
        }
        let prefixes = [
            (prefill.shared_text, prefill.shared_tokens),
            (prefill.session, prefill.prompt_tokens),
        ];
        let prompt = f64::from(prefill.prompt_tokens);
        let cached = |process: &ProcessState| {
            let matching = process
                .cached_prefixes
                .iter()
                .filter(|(id, _)| prefixes.iter().any(|(wanted, _)| wanted == id && *id != 0));
            matching
                .map(|(_, tokens)| *tokens)
                .fold(0.0, f64::max)
                .min(prompt - 1.0)
        };
        let cached_tokens = {
            let _slot = Slot::acquire(&self, prompt).await;
            let cached_tokens = cached(&self.inner.process.borrow());
            let rate = self.inner.spec.read_per_s / self.inner.spec.slots as f64;
            self.work(1000.0 * (prompt - cached_tokens) / rate).await;
            cached_tokens
        };
        let Some(state) = prefill.state else { return };
        self.store_prefill(&prefixes, state_key(&state), prompt);
        let engine = self.clone();
        let until = self.now() + self.inner.spec.hold;
        let timer = spawn_local(async move {
            engine.inner.clock.sleep_until(until).await;
            if engine
                .inner
                .process
                .borrow()
                .states
                .contains_key(&state_key(&state))
            {
                let (run, request, attempt) = state_key(&state);
                engine.inner.transcript.note(
                    engine.now(),
                    &engine.inner.name,
                    Note::Expired {
                        run,
                        request,
                        attempt,
                    },
                );
                engine.release_state(state_key(&state));
            }
        });
        self.keep_hold_timer(timer.abort_handle());
        self.wait_until_unmuted().await;
        self.end_attempt(
            &connection,
            stream,
            v1::Status::PrefillDone,
            cached_tokens,
            Some(state),
        );
    }

    /// Keeps the timer of a held KV state, so that it ends with the process.
    fn keep_hold_timer(&self, timer: AbortHandle) {
        let mut process = self.inner.process.borrow_mut();
        process.hold_timers.retain(|timer| !timer.is_finished());
        process.hold_timers.push(timer);
    }

    /// Stores the results of a prefill: the cached prefixes and the KV state.
    fn store_prefill(&self, prefixes: &[(u64, u32)], state: StateKey, prompt: f64) {
        let mut process = self.inner.process.borrow_mut();
        for (prefix, tokens) in prefixes.iter().filter(|(id, _)| *id != 0) {
            process.cached_prefixes.retain(|(id, _)| id != prefix);
            process
                .cached_prefixes
                .push_back((*prefix, f64::from(*tokens)));
        }
        while process
            .cached_prefixes
            .iter()
            .map(|(_, tokens)| tokens)
            .sum::<f64>()
            > self.inner.spec.memory_tokens
        {
            process.cached_prefixes.pop_front();
        }
        process.states.insert(state, prompt);
        process.used_tokens += prompt;
    }

    /// Serves a decode attempt: waits for a slot and memory, fetches the KV state, and streams the answer.
    async fn decode(self, connection: Rc<Connection>, stream: u64, decode: v1::Decode) {
        let admitted = match (self.inner.spec.does, decode.state) {
            (Does::Reads, _) => Err(v1::Status::Failed),
            (Does::Writes, None) => Err(v1::Status::NoState),
            _ => self.admit(&decode.request_class),
        };
        if let Err(status) = admitted {
            return self.end_attempt(&connection, stream, status, 0.0, None);
        }
        let reset = self.draw_reset();
        if let Some((code, 0)) = reset {
            connection.credit.borrow_mut().remove(&stream);
            return self.reset_attempt(&connection, stream, code);
        }
        let prompt = f64::from(decode.prompt_tokens);
        let _slot = Slot::acquire(&self, prompt).await;
        let _memory = MemoryReservation::acquire(&self, prompt).await;
        match decode.state {
            None => {
                self.work(1000.0 * prompt / self.inner.spec.read_per_s)
                    .await
            }
            Some(state) => {
                let Some(tokens) = self.fetch(&decode, state).await else {
                    return self.end_attempt(&connection, stream, v1::Status::NoState, 0.0, None);
                };
                self.work(1000.0 * tokens / self.inner.spec.fetch_per_s)
                    .await;
            }
        }
        let started = Note::Ran {
            key: decode.key.clone(),
            request_class: decode.request_class.clone(),
        };
        self.inner
            .transcript
            .note(self.now(), &self.inner.name, started);
        let least = self.inner.spec.answer_share;
        let length = least + (1.0 - least) * uniform(&mut self.inner.rng.borrow_mut());
        let answer = (length * f64::from(decode.max_tokens)).ceil().max(1.0) as u32;
        for position in 0..answer {
            if let Some((code, _)) = reset.filter(|(_, after)| *after == position) {
                connection.credit.borrow_mut().remove(&stream);
                return self.reset_attempt(&connection, stream, code);
            }
            self.work(self.inner.spec.token_ms).await;
            while self
                .inner
                .process
                .borrow()
                .troubles
                .stall_after
                .is_some_and(|after| position >= after)
            {
                self.inner.changed.notified().await;
            }
            self.wait_until_unmuted().await;
            while connection.credit.borrow().get(&stream) == Some(&0) {
                connection.credited.notified().await;
            }
            if let Some(left) = connection.credit.borrow_mut().get_mut(&stream) {
                *left -= 1;
            }
            let tokens = v1::Tokens {
                position,
                count: 1,
                text: text_bytes(&token_text(position)),
            };
            self.send(&connection, stream, Body::Tokens(tokens));
        }
        if self.inner.process.borrow().troubles.dies_before_end {
            // The wait lets the tokens written so far leave the socket before the process dies. The stream's end is
            // never sent.
            self.inner.clock.sleep_until(self.now() + 5.0).await;
            return self.die();
        }
        connection.credit.borrow_mut().remove(&stream);
        self.end_attempt(&connection, stream, v1::Status::Succeeded, 0.0, None);
    }

    /// Fetches a KV state from its prefill engine and returns its tokens; `None` if the engine does not have the state
    /// or does not deliver it in time.
    async fn fetch(&self, decode: &v1::Decode, state: v1::KvStateId) -> Option<f64> {
        let parties = (
            v1::Party::Engine,
            self.name(),
            decode.prefill_engine.as_str(),
        );
        let prefill_engine = (decode.prefill_engine_address.as_str(), v1::Party::Engine);
        // A prefill engine that cannot be reached in time counts as one without the state.
        let until = self.now() + FETCH_TIMEOUT;
        let session = tokio::select! { biased;
            session = open_session(&self.inner.transport, prefill_engine, parties) => session,
            () = self.inner.clock.sleep_until(until) => None,
        };
        let Session {
            mut events, out, ..
        } = session?;
        out.send(frame(1, Body::Fetch(v1::Fetch { state: Some(state) })));
        let event = tokio::select! { biased;
            event = events.recv() => event,
            () = self.inner.clock.sleep_until(until) => None,
        };
        out.close();
        match event? {
            Event::Frame(Frame {
                body:
                    Some(Body::State(v1::State {
                        found: true,
                        tokens,
                    })),
                ..
            }) => Some(f64::from(tokens)),
            _ => None,
        }
    }
}

/// An accepted connection. When the connection ends, for whatever reason, its tasks are aborted and its end is
/// recorded.
struct ServedConnection<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    connection: Rc<Connection>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl<T: Transport, C: Clock> ServedConnection<T, C> {
    /// Runs an attempt in a task of its own until it ends or is cancelled.
    fn start_attempt(&self, stream: u64, attempt: impl std::future::Future<Output = ()> + 'static) {
        let cancelled = Rc::new(Notify::new());
        self.connection
            .cancellations
            .borrow_mut()
            .insert(stream, cancelled.clone());
        let (engine, connection) = (self.engine.clone(), self.connection.clone());
        let task = spawn_local(async move {
            let finished = tokio::select! { biased;
                () = cancelled.notified() => false,
                () = attempt => true,
            };
            connection.cancellations.borrow_mut().remove(&stream);
            if !finished {
                connection.credit.borrow_mut().remove(&stream);
                engine.end_attempt(&connection, stream, v1::Status::Cancelled, 0.0, None);
            }
        });
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() >= STREAM_TASK_SWEEP {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(task.abort_handle());
    }
}

impl<T: Transport, C: Clock> Drop for ServedConnection<T, C> {
    fn drop(&mut self) {
        self.connection.out.close();
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
        let what = What::Note(Note::Closed { own: false });
        let (engine, connection) = (&self.engine, &self.connection);
        engine.inner.transcript.add(
            engine.now(),
            &engine.inner.name,
            &connection.peer,
            connection.id,
            what,
        );
    }
}

/// A slot of an engine, or a place in the queue for one. Slots are granted in order of arrival, and freed on drop.
struct Slot<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    /// The length of the attempt's prompt, which counts in the load report while the attempt waits.
    tokens: f64,
    /// The slot; `None` while the attempt waits in the queue.
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl<T: Transport, C: Clock> Slot<T, C> {
    /// Waits in the queue until an attempt with a prompt of this many tokens gets a slot.
    async fn acquire(engine: &Engine<T, C>, tokens: f64) -> Self {
        let slots = engine.inner.slots.borrow().clone();
        let mut slot = Slot {
            engine: engine.clone(),
            tokens,
            permit: None,
        };
        slot.adjust_counts(1, 0);
        slot.permit = slots.acquire_owned().await.ok();
        slot.adjust_counts(-1, 1);
        slot
    }

    /// Changes the counts of waiting and running attempts, which load reports state, by these differences.
    fn adjust_counts(&self, waiting: isize, running: isize) {
        let mut process = self.engine.inner.process.borrow_mut();
        process.waiting = process.waiting.saturating_add_signed(waiting);
        process.running = process.running.saturating_add_signed(running);
        process.waiting_tokens = (process.waiting_tokens + waiting as f64 * self.tokens).max(0.0);
    }
}

impl<T: Transport, C: Clock> Drop for Slot<T, C> {
    fn drop(&mut self) {
        if self.permit.is_some() {
            self.adjust_counts(0, -1);
        } else {
            self.adjust_counts(-1, 0);
        }
    }
}

/// The memory of a running decode attempt, freed on drop.
struct MemoryReservation<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    tokens: f64,
}

impl<T: Transport, C: Clock> MemoryReservation<T, C> {
    /// Waits until this many tokens fit into the memory, and reserves them.
    async fn acquire(engine: &Engine<T, C>, tokens: f64) -> Self {
        while engine.inner.process.borrow().used_tokens + tokens > engine.inner.spec.memory_tokens {
            engine.inner.changed.notified().await;
        }
        engine.inner.process.borrow_mut().used_tokens += tokens;
        MemoryReservation {
            engine: engine.clone(),
            tokens,
        }
    }
}

impl<T: Transport, C: Clock> Drop for MemoryReservation<T, C> {
    fn drop(&mut self) {
        // If the process has restarted since, its count may be below this reservation.
        let mut process = self.engine.inner.process.borrow_mut();
        process.used_tokens = (process.used_tokens - self.tokens).max(0.0);
        drop(process);
        self.engine.inner.changed.notify_waiters();
    }
}

/// The fields that identify a KV state, as a key of maps.
fn state_key(state: &v1::KvStateId) -> StateKey {
    (state.run, state.request, state.attempt)
}

/// The text of the token at this position of an answer.
fn token_text(position: u32) -> String {
    const WORDS: [&str; 12] = [
        "the ", "class ", "of ", "this ", "year ", "kept ", "its ", "promise ", "and ", "sang ",
        "all ", "day ",
    ];
    WORDS[position as usize % WORDS.len()].to_owned()
}
