//! An engine: reads prompts and holds KV states, or fetches states and streams answers, with slots, a
//! queue, memory, a cold start, load reports that lag, and faults that a script turns on and off.
//!
//! Its laws are plain and are assumptions of ours: a prefill engine's slots share its reading speed evenly, a decode engine
//! answers a token a pace in each slot, and a cold engine does both slower by its share of capacity.

use crate::transcript::{Note, Transcript, Way, What};
use crate::{call, share, welcome};
use cindercleat_grpc::{Event, Out, Session};
use cindercleat_net::{Clock, Listener, Ms, Transport};
use cindercleat_protocol::{frame, text, v1, Body, Frame};
use nanorand::WyRand;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Reads,
    Writes,
    Both,
}

/// What an engine is.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: String,
    pub zone: String,
    pub cell: String,
    pub kind: String,
    pub does: Does,
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: f64,
    pub read_per_s: f64,
    pub token_ms: Ms,
    pub fetch_per_s: f64,
    pub start_share: f64,
    pub slow_start_window: Ms,
    /// How long a prefill engine holds a state that nobody asks for.
    pub hold: Ms,
    /// How old a load report is, and by what share it errs.
    pub report_age: Ms,
    pub report_noise: f64,
    /// Answers are this share of the most tokens asked for, at the least.
    pub answer_share: f64,
}

/// What is wrong with an engine at the moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Troubles {
    pub slow: f64,
    /// Takes everything in and answers nothing.
    pub mute: bool,
    /// Stalls each stream after this many tokens.
    pub stall_after: Option<u32>,
    /// The share of attempts that fail at once.
    pub fails: f64,
    /// The share of attempts that are reset: at once, or in mid-stream.
    pub resets: f64,
    /// Turns this request class away.
    pub full_for: Option<String>,
    /// Load reports are this much older.
    pub reports_late: Ms,
    pub draining: bool,
    /// Dies after its last token of a stream, before the end mark.
    pub dies_before_end: bool,
    /// New connections are greeted this much later.
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

/// HTTP/2's code by which an engine says that it did not process a call, and others that say nothing of it.
const REFUSED: u32 = 7;
const RESETS: [u32; 6] = [REFUSED, 1, 2, 5, 8, 11];

/// How long a decode engine waits for a state.
const FETCH_WITHIN: Ms = 1000.0;
/// Token messages of a stream that a decode engine makes ahead of what leaves.
const AHEAD: u32 = 4;

type StateKey = (u64, u32, u32);

#[derive(Default)]
struct Live {
    troubles: Troubles,
    /// Read states held, with their tokens.
    states: BTreeMap<StateKey, f64>,
    kept: VecDeque<(u64, f64)>,
    memory: f64,
    waiting: usize,
    running: usize,
    waiting_tokens: f64,
    /// Reports made, oldest first.
    reports: VecDeque<(Ms, v1::Load)>,
    jobs: Vec<AbortHandle>,
    /// Waits of the process itself, which go on when its connections are cut.
    waits: Vec<AbortHandle>,
    conns: Vec<std::rc::Weak<Conn>>,
}

struct Inner<T, C> {
    spec: EngineSpec,
    me: Rc<str>,
    transport: T,
    clock: C,
    transcript: Transcript,
    live: RefCell<Live>,
    rng: RefCell<WyRand>,
    /// None while its process does not run.
    started: Cell<Option<Ms>>,
    long_warm: Cell<bool>,
    slots: RefCell<Arc<Semaphore>>,
    changed: Notify,
    place: RefCell<String>,
}

/// An engine; clones are the same one.
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
struct Conn {
    id: u64,
    peer: Rc<str>,
    out: Out,
    /// Token messages of a stream that may wait to leave.
    credit: RefCell<BTreeMap<u64, u32>>,
    credited: Notify,
    cancelled: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl<T: Transport, C: Clock> Engine<T, C> {
    pub fn new(
        spec: EngineSpec,
        transport: T,
        clock: C,
        transcript: Transcript,
        seed: u64,
    ) -> Self {
        let inner = Inner {
            me: Rc::from(spec.name.as_str()),
            slots: RefCell::new(Arc::new(Semaphore::new(spec.slots))),
            spec,
            transport,
            clock,
            transcript,
            live: RefCell::default(),
            rng: RefCell::new(WyRand::new_seed(seed)),
            started: Cell::new(None),
            long_warm: Cell::new(true),
            changed: Notify::new(),
            place: RefCell::default(),
        };
        Engine {
            inner: Rc::new(inner),
        }
    }

    /// Starts its process at an address, warm (as if long since) or cold. Gives the address in words.
    ///
    /// # Errors
    /// The address cannot be had.
    pub async fn start(&self, address: &str, warm: bool) -> std::io::Result<String> {
        let mut listener = self.inner.transport.listen(address).await?;
        *self.inner.place.borrow_mut() = listener.address();
        self.inner.started.set(Some(self.now()));
        self.inner.long_warm.set(warm);
        *self.inner.live.borrow_mut() = Live::default();
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
                &self.inner.me,
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
            .live
            .borrow_mut()
            .jobs
            .push(accepting.abort_handle());
        let engine = self.clone();
        self.spawn(async move { engine.report().await });
        Ok(self.address())
    }

    pub fn address(&self) -> String {
        self.inner.place.borrow().clone()
    }

    pub fn name(&self) -> &str {
        &self.inner.spec.name
    }

    pub fn spec(&self) -> &EngineSpec {
        &self.inner.spec
    }

    /// Its line of the list.
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
                .filter(|_| !self.inner.long_warm.get()),
        }
    }

    /// The process is gone at once, with all that it held.
    pub fn die(&self) {
        self.inner.started.set(None);
        self.inner
            .transcript
            .note(self.now(), &self.inner.me, Note::Died);
        let mut live = self.inner.live.borrow_mut();
        let (jobs, waits) = (
            std::mem::take(&mut live.jobs),
            std::mem::take(&mut live.waits),
        );
        drop(live);
        jobs.iter().chain(&waits).for_each(AbortHandle::abort);
    }

    pub fn runs(&self) -> bool {
        self.inner.started.get().is_some()
    }

    /// Changes what is wrong with it.
    pub fn trouble(&self, change: impl FnOnce(&mut Troubles)) {
        change(&mut self.inner.live.borrow_mut().troubles);
        self.inner.changed.notify_waiters();
    }

    pub fn forget_texts(&self) {
        self.inner.live.borrow_mut().kept.clear();
    }

    /// Cuts all of its connections; the process runs on.
    pub fn cut(&self) {
        // The first two jobs are the listener and the reports.
        let mut live = self.inner.live.borrow_mut();
        let from = live.jobs.len().min(2);
        let jobs: Vec<AbortHandle> = live.jobs.drain(from..).collect();
        drop(live);
        for job in jobs {
            job.abort();
        }
    }

    /// Takes nothing new on any connection that there is; what is open goes on.
    pub fn go_away(&self) {
        for conn in self
            .inner
            .live
            .borrow_mut()
            .conns
            .drain(..)
            .filter_map(|conn| conn.upgrade())
        {
            conn.out.go_away();
        }
    }

    /// States held now.
    pub fn states(&self) -> usize {
        self.inner.live.borrow().states.len()
    }

    fn now(&self) -> Ms {
        self.inner.clock.now()
    }

    fn spawn(&self, job: impl std::future::Future<Output = ()> + 'static) {
        let handle = spawn_local(job).abort_handle();
        let mut live = self.inner.live.borrow_mut();
        if live.jobs.len() > 64 && live.jobs.len().is_multiple_of(64) {
            let kept: Vec<AbortHandle> =
                live.jobs.drain(2..).filter(|j| !j.is_finished()).collect();
            live.jobs.extend(kept);
        }
        live.jobs.push(handle);
    }

    /// The share of its capacity that it has now.
    fn capacity(&self) -> f64 {
        let spec = &self.inner.spec;
        let age = if self.inner.long_warm.get() {
            f64::INFINITY
        } else {
            self.now() - self.inner.started.get().unwrap_or(0.0)
        };
        let part = (age / spec.slow_start_window).clamp(0.0, 1.0);
        (spec.start_share + (1.0 - spec.start_share) * part)
            / self.inner.live.borrow().troubles.slow
    }

    /// Waits for `work` milliseconds' worth at full capacity, as the capacity changes meanwhile.
    async fn work(&self, mut work: Ms) {
        const PART: Ms = 20.0;
        while work > 0.0 {
            let capacity = self.capacity().max(1e-3);
            let wait = PART.min(work / capacity);
            self.inner.clock.sleep_until(self.now() + wait).await;
            work -= wait * capacity;
        }
    }

    async fn unmuted(&self) {
        while self.inner.live.borrow().troubles.mute {
            self.inner.changed.notified().await;
        }
    }

    async fn report(&self) {
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

    fn make_report(&self, now: Ms) {
        let spec = &self.inner.spec;
        let mut live = self.inner.live.borrow_mut();
        let noise =
            || 1.0 + spec.report_noise * (2.0 * share(&mut self.inner.rng.borrow_mut()) - 1.0);
        let load = v1::Load {
            in_flight: Some((live.running + live.waiting) as f64),
            queue: Some(live.waiting as f64),
            slots_used: Some((live.running as f64 / spec.slots as f64 * noise()).min(1.0)),
            memory_held: Some((live.memory / spec.memory_tokens * noise()).min(1.0)),
            waiting_kilotokens: Some(live.waiting_tokens / 1000.0 * noise()),
        };
        live.reports.push_back((now, load));
        let old = spec.report_age + live.troubles.reports_late;
        while live.reports.len() > 1 && live.reports[1].0 <= now - old {
            live.reports.pop_front();
        }
    }

    fn load(&self) -> Option<v1::Load> {
        self.inner
            .live
            .borrow()
            .reports
            .front()
            .map(|(_, load)| *load)
    }

    async fn serve(self, stream: T::Stream) {
        let late = self.inner.live.borrow().troubles.greets_late;
        self.inner.clock.sleep_until(self.now() + late).await;
        let Some(session) = welcome::<T>(stream, v1::Party::Engine, &self.inner.spec.name).await
        else {
            return;
        };
        let Session {
            them,
            mut events,
            out,
            ..
        } = session;
        let conn = Rc::new(Conn {
            id: self.inner.transcript.new_conn(),
            peer: Rc::from(them.name.as_str()),
            out,
            credit: RefCell::default(),
            credited: Notify::new(),
            cancelled: RefCell::default(),
        });
        self.remember(&conn);
        // Jobs of this connection end with it: what nobody can hear is not gone on with.
        let jobs: RefCell<Vec<AbortHandle>> = RefCell::default();
        let seen = Seen {
            engine: self.clone(),
            conn: conn.clone(),
            jobs,
        };
        let greeted = frame(0, Body::Hello(them));
        self.record(&conn, Way::In, &greeted);
        // What has come in is seen when it comes, also by an engine that answers nothing for now.
        let (to, mut frames) = tokio::sync::mpsc::unbounded_channel();
        let (engine, reading) = (self.clone(), conn.clone());
        let reading = spawn_local(async move {
            while let Some(event) = events.recv().await {
                let frame = match event {
                    Event::Frame(frame) => frame,
                    Event::GoingAway | Event::Partly => continue,
                    Event::Flushed { stream, messages } => {
                        if let Some(left) = reading.credit.borrow_mut().get_mut(&stream) {
                            *left += messages;
                        }
                        reading.credited.notify_waiters();
                        continue;
                    }
                };
                engine.record(&reading, Way::In, &frame);
                if to.send(frame).is_err() {
                    break;
                }
            }
        });
        seen.jobs.borrow_mut().push(reading.abort_handle());
        while let Some(frame) = frames.recv().await {
            self.unmuted().await;
            let stream = frame.stream;
            match frame.body {
                Some(Body::Prefill(read)) => {
                    seen.begin(stream, self.clone().read(conn.clone(), stream, read))
                }
                Some(Body::Decode(write)) => {
                    conn.credit.borrow_mut().insert(stream, AHEAD);
                    seen.begin(stream, self.clone().write(conn.clone(), stream, write));
                }
                Some(Body::Cancel(_)) => {
                    if let Some(cancelled) = conn.cancelled.borrow().get(&stream) {
                        cancelled.notify_one();
                    }
                }
                Some(Body::Release(v1::Release {
                    state: Some(state), ..
                })) => {
                    self.let_go(key(&state));
                    conn.out.send(Frame {
                        stream,
                        body: Some(Body::Done(v1::Done {})),
                    });
                }
                Some(Body::HealthCheck(_)) => {
                    self.say(&conn, stream, Body::Load(self.load().unwrap_or_default()))
                }
                Some(Body::Reserve(_)) => self.say(
                    &conn,
                    stream,
                    Body::Reservation(v1::Reservation { held: false }),
                ),
                Some(Body::Fetch(v1::Fetch { state: Some(state) })) => {
                    let tokens = self.inner.live.borrow().states.get(&key(&state)).copied();
                    let (found, tokens) = (tokens.is_some(), tokens.unwrap_or(0.0) as u32);
                    self.let_go(key(&state));
                    self.say(&conn, stream, Body::State(v1::State { found, tokens }));
                }
                Some(Body::Goodbye(_)) => break,
                _ => break,
            }
        }
    }

    fn remember(&self, conn: &Rc<Conn>) {
        let mut live = self.inner.live.borrow_mut();
        live.conns.retain(|conn| conn.strong_count() > 0);
        live.conns.push(Rc::downgrade(conn));
    }

    fn record(&self, conn: &Conn, way: Way, frame: &Frame) {
        let what = What::Frame(way, frame.clone());
        self.inner
            .transcript
            .add(self.now(), &self.inner.me, &conn.peer, conn.id, what);
    }

    /// Guards against a process that speaks in the instant in which it is gone, as its requests are woken once more.
    fn say(&self, conn: &Conn, stream: u64, body: Body) {
        if !self.runs() {
            return;
        }
        let frame = frame(stream, body);
        self.record(conn, Way::Out, &frame);
        conn.out.send(frame);
    }

    fn end(
        &self,
        conn: &Conn,
        stream: u64,
        status: v1::Status,
        kept: f64,
        state: Option<v1::KvStateId>,
    ) {
        let load = self.load();
        let ended = v1::Ended {
            status: status.into(),
            kept_tokens: kept as u32,
            load,
            reason: String::new(),
            state,
        };
        self.say(conn, stream, Body::Ended(ended));
    }

    /// Ends an attempt by a reset; what that says stands in the transcript as an end.
    fn reset(&self, conn: &Conn, stream: u64, code: u32) {
        if !self.runs() {
            return;
        }
        let status = if code == REFUSED {
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
        self.record(conn, Way::Out, &frame(stream, Body::Ended(ended)));
        conn.out.reset(stream, code);
    }

    /// How an attempt that is to be reset is, if it is: by which code, after how many tokens.
    fn draw_reset(&self) -> Option<(u32, u32)> {
        let part = self.inner.live.borrow().troubles.resets;
        let mut rng = self.inner.rng.borrow_mut();
        (part > share(&mut rng)).then(|| {
            let code = RESETS[(share(&mut rng) * RESETS.len() as f64) as usize % RESETS.len()];
            // What has begun cannot be refused any more.
            let after = if code == REFUSED {
                0.0
            } else {
                12.0 * (share(&mut rng) - 0.4).max(0.0)
            };
            (code, after as u32)
        })
    }

    fn let_go(&self, state: StateKey) {
        let mut live = self.inner.live.borrow_mut();
        if let Some(tokens) = live.states.remove(&state) {
            live.memory = (live.memory - tokens).max(0.0);
        }
        drop(live);
        self.inner.changed.notify_waiters();
    }

    /// Whether an attempt gets in: not rejected, not failed at once.
    fn admit(&self, request_class: &str) -> Result<(), v1::Status> {
        let live = self.inner.live.borrow();
        let full = live.troubles.draining
            || live.troubles.full_for.as_deref() == Some(request_class)
            || live.running + live.waiting >= self.inner.spec.slots + self.inner.spec.queue;
        let fails = live.troubles.fails > share(&mut self.inner.rng.borrow_mut());
        match (full, fails) {
            (true, _) => Err(v1::Status::Overloaded),
            (_, true) => Err(v1::Status::Failed),
            _ => Ok(()),
        }
    }

    async fn read(self, conn: Rc<Conn>, stream: u64, read: v1::Prefill) {
        let refused = if self.inner.spec.does == Does::Writes {
            Err(v1::Status::Failed)
        } else {
            self.admit(&read.request_class)
        };
        if let Err(status) = refused {
            return self.end(&conn, stream, status, 0.0, None);
        }
        if let Some((code, _)) = self.draw_reset() {
            return self.reset(&conn, stream, code);
        }
        let beginnings = [
            (read.shared_text, read.shared_tokens),
            (read.session, read.prompt_tokens),
        ];
        let prompt = f64::from(read.prompt_tokens);
        let found = |live: &Live| {
            let mine = live
                .kept
                .iter()
                .filter(|(b, _)| beginnings.iter().any(|(mine, _)| mine == b && *b != 0));
            mine.map(|(_, tokens)| *tokens)
                .fold(0.0, f64::max)
                .min(prompt - 1.0)
        };
        let kept = {
            let _place = Place::wait(&self, prompt).await;
            let kept = found(&self.inner.live.borrow());
            let rate = self.inner.spec.read_per_s / self.inner.spec.slots as f64;
            self.work(1000.0 * (prompt - kept) / rate).await;
            kept
        };
        let Some(state) = read.state else { return };
        self.keep(&beginnings, key(&state), prompt);
        let engine = self.clone();
        let until = self.now() + self.inner.spec.hold;
        let wait = spawn_local(async move {
            engine.inner.clock.sleep_until(until).await;
            if engine.inner.live.borrow().states.contains_key(&key(&state)) {
                let (run, request, attempt) = key(&state);
                engine.inner.transcript.note(
                    engine.now(),
                    &engine.inner.me,
                    Note::Expired {
                        run,
                        request,
                        attempt,
                    },
                );
                engine.let_go(key(&state));
            }
        });
        self.keep_wait(wait.abort_handle());
        self.unmuted().await;
        self.end(&conn, stream, v1::Status::PrefillDone, kept, Some(state));
    }

    fn keep_wait(&self, wait: AbortHandle) {
        let mut live = self.inner.live.borrow_mut();
        live.waits.retain(|wait| !wait.is_finished());
        live.waits.push(wait);
    }

    /// What a read leaves behind: its texts, and its state.
    fn keep(&self, beginnings: &[(u64, u32)], state: StateKey, prompt: f64) {
        let mut live = self.inner.live.borrow_mut();
        for (beginning, tokens) in beginnings.iter().filter(|(b, _)| *b != 0) {
            live.kept.retain(|(b, _)| b != beginning);
            live.kept.push_back((*beginning, f64::from(*tokens)));
        }
        while live.kept.iter().map(|(_, tokens)| tokens).sum::<f64>()
            > self.inner.spec.memory_tokens
        {
            live.kept.pop_front();
        }
        live.states.insert(state, prompt);
        live.memory += prompt;
    }

    async fn write(self, conn: Rc<Conn>, stream: u64, write: v1::Decode) {
        let can = match (self.inner.spec.does, write.state) {
            (Does::Reads, _) => Err(v1::Status::Failed),
            (Does::Writes, None) => Err(v1::Status::NoState),
            _ => self.admit(&write.request_class),
        };
        if let Err(status) = can {
            return self.end(&conn, stream, status, 0.0, None);
        }
        let reset = self.draw_reset();
        if let Some((code, 0)) = reset {
            conn.credit.borrow_mut().remove(&stream);
            return self.reset(&conn, stream, code);
        }
        let prompt = f64::from(write.prompt_tokens);
        let _place = Place::wait(&self, prompt).await;
        let _memory = Memory::take(&self, prompt).await;
        match write.state {
            None => {
                self.work(1000.0 * prompt / self.inner.spec.read_per_s)
                    .await
            }
            Some(state) => {
                let Some(tokens) = self.fetch(&write, state).await else {
                    return self.end(&conn, stream, v1::Status::NoState, 0.0, None);
                };
                self.work(1000.0 * tokens / self.inner.spec.fetch_per_s)
                    .await;
            }
        }
        let ran = Note::Ran {
            key: write.key.clone(),
            request_class: write.request_class.clone(),
        };
        self.inner.transcript.note(self.now(), &self.inner.me, ran);
        let least = self.inner.spec.answer_share;
        let part = least + (1.0 - least) * share(&mut self.inner.rng.borrow_mut());
        let answer = (part * f64::from(write.max_tokens)).ceil().max(1.0) as u32;
        for position in 0..answer {
            if let Some((code, _)) = reset.filter(|(_, after)| *after == position) {
                conn.credit.borrow_mut().remove(&stream);
                return self.reset(&conn, stream, code);
            }
            self.work(self.inner.spec.token_ms).await;
            while self
                .inner
                .live
                .borrow()
                .troubles
                .stall_after
                .is_some_and(|after| position >= after)
            {
                self.inner.changed.notified().await;
            }
            self.unmuted().await;
            while conn.credit.borrow().get(&stream) == Some(&0) {
                conn.credited.notified().await;
            }
            if let Some(left) = conn.credit.borrow_mut().get_mut(&stream) {
                *left -= 1;
            }
            let tokens = v1::Tokens {
                position,
                count: 1,
                text: text(&word(position)),
            };
            self.say(&conn, stream, Body::Tokens(tokens));
        }
        if self.inner.live.borrow().troubles.dies_before_end {
            // What was said goes out; the end mark never does.
            self.inner.clock.sleep_until(self.now() + 5.0).await;
            return self.die();
        }
        conn.credit.borrow_mut().remove(&stream);
        self.end(&conn, stream, v1::Status::Succeeded, 0.0, None);
    }

    /// The state's tokens, once its prefill engine has handed it over; none if it cannot be had.
    async fn fetch(&self, write: &v1::Decode, state: v1::KvStateId) -> Option<f64> {
        let names = (
            v1::Party::Engine,
            self.name(),
            write.prefill_engine.as_str(),
        );
        let prefill_engine = (write.prefill_engine_address.as_str(), v1::Party::Engine);
        // A prefill engine that cannot be had in time is one that has no state.
        let until = self.now() + FETCH_WITHIN;
        let session = tokio::select! { biased;
            session = call(&self.inner.transport, prefill_engine, names) => session,
            () = self.inner.clock.sleep_until(until) => None,
        };
        let Session {
            mut events, out, ..
        } = session?;
        out.send(frame(1, Body::Fetch(v1::Fetch { state: Some(state) })));
        let came = tokio::select! { biased;
            came = events.recv() => came,
            () = self.inner.clock.sleep_until(until) => None,
        };
        out.close();
        match came? {
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

/// A connection that is served: when it ends, for whatever reason, its jobs end and the end is noted.
struct Seen<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    conn: Rc<Conn>,
    jobs: RefCell<Vec<AbortHandle>>,
}

impl<T: Transport, C: Clock> Seen<T, C> {
    fn begin(&self, stream: u64, job: impl std::future::Future<Output = ()> + 'static) {
        let cancelled = Rc::new(Notify::new());
        self.conn
            .cancelled
            .borrow_mut()
            .insert(stream, cancelled.clone());
        let (engine, conn) = (self.engine.clone(), self.conn.clone());
        let job = spawn_local(async move {
            let done = tokio::select! { biased;
                () = cancelled.notified() => false,
                () = job => true,
            };
            conn.cancelled.borrow_mut().remove(&stream);
            if !done {
                conn.credit.borrow_mut().remove(&stream);
                engine.end(&conn, stream, v1::Status::Cancelled, 0.0, None);
            }
        });
        let mut jobs = self.jobs.borrow_mut();
        if jobs.len() >= 256 {
            jobs.retain(|j| !j.is_finished());
        }
        jobs.push(job.abort_handle());
    }
}

impl<T: Transport, C: Clock> Drop for Seen<T, C> {
    fn drop(&mut self) {
        self.conn.out.close();
        for job in self.jobs.borrow().iter() {
            job.abort();
        }
        let what = What::Note(Note::Closed { own: false });
        let (engine, conn) = (&self.engine, &self.conn);
        engine
            .inner
            .transcript
            .add(engine.now(), &engine.inner.me, &conn.peer, conn.id, what);
    }
}

/// A slot, waited for in turn.
struct Place<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    tokens: f64,
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl<T: Transport, C: Clock> Place<T, C> {
    async fn wait(engine: &Engine<T, C>, tokens: f64) -> Self {
        let slots = engine.inner.slots.borrow().clone();
        let mut place = Place {
            engine: engine.clone(),
            tokens,
            permit: None,
        };
        place.count(1, 0);
        place.permit = slots.acquire_owned().await.ok();
        place.count(-1, 1);
        place
    }

    fn count(&self, waiting: isize, running: isize) {
        let mut live = self.engine.inner.live.borrow_mut();
        live.waiting = live.waiting.saturating_add_signed(waiting);
        live.running = live.running.saturating_add_signed(running);
        live.waiting_tokens = (live.waiting_tokens + waiting as f64 * self.tokens).max(0.0);
    }
}

impl<T: Transport, C: Clock> Drop for Place<T, C> {
    fn drop(&mut self) {
        if self.permit.is_some() {
            self.count(0, -1);
        } else {
            self.count(-1, 0);
        }
    }
}

/// Memory for a prompt, waited for.
struct Memory<T: Transport, C: Clock> {
    engine: Engine<T, C>,
    tokens: f64,
}

impl<T: Transport, C: Clock> Memory<T, C> {
    async fn take(engine: &Engine<T, C>, tokens: f64) -> Self {
        while engine.inner.live.borrow().memory + tokens > engine.inner.spec.memory_tokens {
            engine.inner.changed.notified().await;
        }
        engine.inner.live.borrow_mut().memory += tokens;
        Memory {
            engine: engine.clone(),
            tokens,
        }
    }
}

impl<T: Transport, C: Clock> Drop for Memory<T, C> {
    fn drop(&mut self) {
        // The process may have started anew meanwhile.
        let mut live = self.engine.inner.live.borrow_mut();
        live.memory = (live.memory - self.tokens).max(0.0);
        drop(live);
        self.engine.inner.changed.notify_waiters();
    }
}

fn key(state: &v1::KvStateId) -> StateKey {
    (state.run, state.request, state.attempt)
}

/// A word of an answer, by its place.
fn word(position: u32) -> String {
    const WORDS: [&str; 12] = [
        "the ", "class ", "of ", "this ", "year ", "kept ", "its ", "promise ", "and ", "sang ",
        "all ", "day ",
    ];
    WORDS[position as usize % WORDS.len()].to_owned()
}
