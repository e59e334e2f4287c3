//! Clients: open-loop arrivals from a seed, sessions with shared texts, time to deadline, leaving early, and retries as
//! the request class allows.

use crate::transcript::{Note, Transcript, Way, What};
use crate::{call, exponential, share};
use cindercleat_grpc::{Event, Out, Session};
use cindercleat_net::{Clock, Ms, Transport};
use cindercleat_protocol::{frame, v1, Body, Frame};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// One request class's traffic.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub request_class: String,
    pub share: f64,
    /// Whether a client may ask again whatever came of a try; else only after a reject, or if nothing went out.
    pub again_always: bool,
    pub latency_objective: Ms,
    pub time_to_deadline: Ms,
    pub prompt_tokens: (u32, u32),
    pub shared_tokens: u32,
    pub shared_texts: u64,
    pub max_tokens: u32,
    pub priority_weight: f64,
}

/// How much longer than it said a client waits for an answer that should have come.
const GIVES_UP: Ms = 2000.0;
/// Numbers of planned requests begin here.
const PLANNED: u64 = 1 << 32;

/// All clients' habits.
#[derive(Clone, Debug)]
pub struct Habits {
    pub traffic: Vec<Traffic>,
    pub rate_per_s: f64,
    pub length: Ms,
    /// Tries after the first.
    pub retries: u32,
    pub retry_after: Ms,
    /// The share that leaves early, at any time before its time to deadline ends.
    pub leaves: f64,
    /// Connections to each dispatcher.
    pub connections: usize,
    pub sessions: u64,
    pub tenants: Vec<String>,
    /// Tasks at their own instants, besides those that are drawn.
    pub requests: Vec<Planned>,
}

/// One request as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Since the day's begin.
    pub at: Ms,
    pub request_class: String,
    pub tenant: String,
    pub session: u64,
    pub shared_text: u64,
    pub shared_tokens: u32,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub time_to_deadline: Ms,
    /// The client leaves so long after a try, if that is not over by then.
    pub leaves: Option<Ms>,
    /// Starts the chance in where it is sent and how long the client waits between tries.
    pub seed: u64,
}

/// What clients saw, for one request class.
#[derive(Clone, Debug)]
pub struct Tally {
    pub requests: u64,
    pub tries: u64,
    pub succeeded: u64,
    /// Succeeded, and the first token came within the latency objective time of the first try's instant.
    pub in_time: u64,
    pub rejected: u64,
    pub failed: u64,
    pub left: u64,
    /// Tries whose connection broke, and tries that could not be sent.
    pub cut: u64,
    pub unsent: u64,
    /// Microseconds from a try to its first token, and between two token messages.
    pub first_token: Histogram<u64>,
    pub gap: Histogram<u64>,
    pub tokens: u64,
}

impl Default for Tally {
    fn default() -> Self {
        // Bounds of a minute; two digits.
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 2).unwrap_or_else(|_| unreachable!());
        Tally {
            requests: 0,
            tries: 0,
            succeeded: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            left: 0,
            cut: 0,
            unsent: 0,
            first_token: histogram(),
            gap: histogram(),
            tokens: 0,
        }
    }
}

/// How one try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Succeeded,
    Rejected {
        retry_after: Ms,
    },
    Failed,
    /// By the field that cannot be right; empty if it is not known.
    InvalidRequest(String),
    /// The client left.
    Left,
    /// The connection ended first.
    Cut,
    /// There was no connection to send it on.
    Unsent,
}

/// One connection to a dispatcher, shared by many streams.
pub struct Port<T, C> {
    name: Rc<str>,
    to: (String, v1::Party),
    transport: T,
    clock: C,
    transcript: Transcript,
    line: RefCell<Option<Rc<Line>>>,
    next: Cell<u64>,
}

struct Line {
    conn: u64,
    peer: Rc<str>,
    out: Out,
    streams: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Body>>>,
    over: Cell<bool>,
}

impl<T: Transport, C: Clock> Port<T, C> {
    /// To a dispatcher.
    pub fn new(name: &str, to: &str, transport: T, clock: C, transcript: Transcript) -> Rc<Self> {
        Port::to(
            name,
            (to, v1::Party::Dispatcher),
            transport,
            clock,
            transcript,
        )
    }

    /// To whoever is at an address.
    pub fn to(
        name: &str,
        (to, party): (&str, v1::Party),
        transport: T,
        clock: C,
        transcript: Transcript,
    ) -> Rc<Self> {
        Rc::new(Port {
            name: Rc::from(name),
            to: (to.to_owned(), party),
            transport,
            clock,
            transcript,
            line: RefCell::default(),
            next: Cell::new(1),
        })
    }

    async fn line(self: &Rc<Self>) -> Option<Rc<Line>> {
        if let Some(line) = self.line.borrow().as_ref().filter(|l| !l.over.get()) {
            return Some(line.clone());
        }
        let names = (v1::Party::Client, &*self.name, "");
        let Session {
            them,
            mut events,
            out,
            ..
        } = call(&self.transport, (&self.to.0, self.to.1), names).await?;
        let line = Rc::new(Line {
            conn: self.transcript.new_conn(),
            peer: Rc::from(them.name),
            out,
            streams: RefCell::default(),
            over: Cell::new(false),
        });
        *self.line.borrow_mut() = Some(line.clone());
        let (reading, port) = (line.clone(), self.clone());
        spawn_local(async move {
            while let Some(event) = events.recv().await {
                let frame = match event {
                    Event::Frame(frame) => frame,
                    // The next try takes another connection; what is open here goes on.
                    Event::GoingAway => {
                        reading.over.set(true);
                        continue;
                    }
                    Event::Flushed { .. } | Event::Partly => continue,
                };
                port.record(&reading, Way::In, &frame);
                let stream = frame.stream;
                match frame.body {
                    // The call is over without a last word.
                    Some(Body::Goodbye(bye)) => {
                        if let Some(to) = reading.streams.borrow().get(&stream) {
                            let _ = to.send(Body::Goodbye(bye));
                        }
                        reading.streams.borrow_mut().remove(&stream);
                    }
                    Some(body) => {
                        if let Some(to) = reading.streams.borrow().get(&stream) {
                            let _ = to.send(body);
                        }
                    }
                    None => {}
                }
            }
            reading.over.set(true);
            reading.streams.borrow_mut().clear();
            let what = What::Note(Note::Closed { own: false });
            port.transcript.add(
                port.clock.now(),
                &port.name,
                &reading.peer,
                reading.conn,
                what,
            );
        });
        Some(line)
    }

    fn record(&self, line: &Line, way: Way, frame: &Frame) {
        self.transcript.add(
            self.clock.now(),
            &self.name,
            &line.peer,
            line.conn,
            What::Frame(way, frame.clone()),
        );
    }

    fn say(&self, line: &Line, stream: u64, body: Body) -> bool {
        let frame = frame(stream, body);
        let sent = line.out.send(frame.clone());
        if sent {
            self.record(line, Way::Out, &frame);
        }
        sent
    }

    /// Opens a stream with its first message; gives what comes back on it. None: there is no connection.
    pub async fn open(self: &Rc<Self>, body: Body) -> Option<Stream<T, C>> {
        let line = self.line().await?;
        let number = self.next.get();
        self.next.set(number + 1);
        let (to, from) = mpsc::unbounded_channel();
        line.streams.borrow_mut().insert(number, to);
        if !self.say(&line, number, body) {
            line.streams.borrow_mut().remove(&number);
            return None;
        }
        Some(Stream {
            port: self.clone(),
            line,
            number,
            from,
        })
    }

    /// One try: sends the request, waits for its end, leaves at `leave_at` if that comes first. `see` is told of
    /// each token message.
    pub async fn run(
        self: &Rc<Self>,
        submit: v1::Submit,
        leave_at: Option<Ms>,
        mut see: impl FnMut(&v1::Tokens),
    ) -> End {
        // A client does not wait for ever, whatever became of the other side: for a first token as long as it
        // said, for each further one as long again.
        let time_to_deadline = submit.time_to_deadline_ms + GIVES_UP;
        let mut until = self.clock.now() + time_to_deadline;
        let opened = tokio::select! { biased;
            opened = self.open(Body::Submit(submit)) => opened,
            () = self.clock.sleep_until(until) => None,
        };
        let Some(mut stream) = opened else {
            return End::Unsent;
        };
        loop {
            let next = tokio::select! { biased;
                next = stream.next() => next,
                () = self.clock.sleep_until(until) => break End::Cut,
                () = self.clock.sleep_until(leave_at.unwrap_or(0.0)), if leave_at.is_some() => {
                    stream.say(Body::Cancel(v1::Cancel {}));
                    break End::Left;
                }
            };
            match next {
                None => break End::Cut,
                Some(Body::Tokens(tokens)) => {
                    until = self.clock.now() + time_to_deadline;
                    see(&tokens);
                }
                Some(Body::Goodbye(v1::Goodbye {
                    never_ran: true, ..
                })) => break End::Unsent,
                Some(Body::Goodbye(_)) => break End::Cut,
                Some(Body::InvalidRequest(rejected)) => break End::InvalidRequest(rejected.field),
                Some(Body::Final(last)) => {
                    break match last.answer() {
                        v1::Answer::Succeeded => End::Succeeded,
                        v1::Answer::Rejected => End::Rejected {
                            retry_after: last.retry_after_ms,
                        },
                        _ => End::Failed,
                    }
                }
                Some(_) => {}
            }
        }
    }
}

/// One stream of a port.
pub struct Stream<T, C> {
    port: Rc<Port<T, C>>,
    line: Rc<Line>,
    number: u64,
    from: mpsc::UnboundedReceiver<Body>,
}

impl<T: Transport, C: Clock> Stream<T, C> {
    /// What comes next; none once the connection is over.
    pub async fn next(&mut self) -> Option<Body> {
        self.from.recv().await
    }

    pub fn say(&self, body: Body) {
        self.port.say(&self.line, self.number, body);
    }
}

impl<T, C> Drop for Stream<T, C> {
    fn drop(&mut self) {
        self.line.streams.borrow_mut().remove(&self.number);
    }
}

/// The clients of a day.
pub struct Clients<T, C> {
    habits: Habits,
    clock: C,
    /// Ports by dispatcher.
    ports: Vec<Vec<Rc<Port<T, C>>>>,
    tallies: RefCell<BTreeMap<String, Tally>>,
    open: Cell<usize>,
    rate: Cell<f64>,
    hot: Cell<Option<u64>>,
    /// Prompts are so many times longer, for this share of them.
    long: Cell<(f64, f64)>,
    retry_after: Cell<Ms>,
    rng: RefCell<WyRand>,
}

impl<T: Transport, C: Clock> Clients<T, C> {
    /// `dispatchers`: their addresses.
    pub fn new(
        habits: Habits,
        dispatchers: &[String],
        (transport, clock, transcript): (T, C, Transcript),
        seed: u64,
    ) -> Rc<Self> {
        let port = |i: usize, address: &str| {
            Port::new(
                &format!("client-{i}"),
                address,
                transport.clone(),
                clock.clone(),
                transcript.clone(),
            )
        };
        let ports = dispatchers
            .iter()
            .map(|a| (0..habits.connections).map(|i| port(i, a)).collect())
            .collect();
        let tallies = habits
            .traffic
            .iter()
            .map(|t| (t.request_class.clone(), Tally::default()))
            .collect();
        let clients = Clients {
            habits,
            clock,
            ports,
            tallies: RefCell::new(tallies),
            open: Cell::new(0),
            rate: Cell::new(1.0),
            hot: Cell::new(None),
            long: Cell::new((1.0, 0.0)),
            retry_after: Cell::new(0.0),
            rng: RefCell::new(WyRand::new_seed(seed)),
        };
        clients.retry_after.set(clients.habits.retry_after);
        Rc::new(clients)
    }

    /// How long clients wait before they ask again, unless told.
    pub fn set_retry_after(&self, wait: Option<Ms>) {
        self.retry_after
            .set(wait.unwrap_or(self.habits.retry_after));
    }

    /// From now on this share of the prompts is so many times longer.
    pub fn set_long_prompts(&self, times: f64, part: f64) {
        self.long.set((times, part));
    }

    /// So many times the usual arrivals from now on.
    pub fn set_rate(&self, times: f64) {
        self.rate.set(times);
    }

    /// New sessions begin with this text, unseen so far.
    pub fn set_hot_text(&self, text: Option<u64>) {
        self.hot.set(text);
    }

    pub fn tallies(&self) -> BTreeMap<String, Tally> {
        self.tallies.borrow().clone()
    }

    /// Arrivals for the day's length, then the end of all that is open.
    pub async fn run(self: Rc<Self>) {
        let begin = self.clock.now();
        for (n, planned) in self.habits.requests.iter().cloned().enumerate() {
            let clients = self.clone();
            self.begin(async move {
                clients.clock.sleep_until(begin + planned.at).await;
                clients.play(PLANNED + n as u64, planned).await;
            });
        }
        if self.habits.rate_per_s > 0.0 {
            self.arrive(begin).await;
        }
        while self.open.get() > 0 {
            self.clock.sleep_until(self.clock.now() + 20.0).await;
        }
    }

    /// Tasks that are drawn, for the day's length.
    async fn arrive(self: &Rc<Self>, begin: Ms) {
        let (mut at, mut number) = (begin, 0);
        loop {
            let mean = 1000.0 / (self.habits.rate_per_s * self.rate.get()).max(1e-3);
            at += exponential(&mut self.rng.borrow_mut(), mean);
            if at > begin + self.habits.length {
                return;
            }
            self.clock.sleep_until(at).await;
            number += 1;
            let (clients, number) = (self.clone(), number);
            let seed = self.rng.borrow_mut().generate::<u64>();
            self.begin(async move { clients.request(number, WyRand::new_seed(seed)).await });
        }
    }

    /// One that counts as open until it is over.
    fn begin(self: &Rc<Self>, request: impl Future<Output = ()> + 'static) {
        self.open.set(self.open.get() + 1);
        let clients = self.clone();
        spawn_local(async move {
            request.await;
            clients.open.set(clients.open.get() - 1);
        });
    }

    async fn request(&self, number: u64, mut rng: WyRand) {
        let mut drawn = share(&mut rng) * self.habits.traffic.iter().map(|t| t.share).sum::<f64>();
        let traffic = self.habits.traffic.iter().find(|t| {
            drawn -= t.share;
            drawn <= 0.0
        });
        let Some(traffic) = traffic.or(self.habits.traffic.last()) else {
            return;
        };
        let (least, most) = traffic.prompt_tokens;
        let (times, part) = self.long.get();
        let times = if share(&mut rng) < part { times } else { 1.0 };
        let prompt_tokens = f64::from(least) + share(&mut rng) * f64::from(most - least);
        let prompt_tokens = (times * prompt_tokens).max(1.0) as u32;
        let shared_text = match self.hot.get() {
            Some(hot) if share(&mut rng) < 0.5 => hot,
            // Low numbers are common, high ones rare.
            _ => 1 + (traffic.shared_texts as f64 * share(&mut rng).powi(2)) as u64,
        };
        let tenants = &self.habits.tenants;
        let tenant = tenants
            .get((share(&mut rng) * tenants.len() as f64) as usize)
            .cloned()
            .unwrap_or_default();
        let leaves = share(&mut rng) < self.habits.leaves;
        let leaves = leaves.then(|| share(&mut rng) * traffic.time_to_deadline);
        let planned = Planned {
            at: 0.0,
            request_class: traffic.request_class.clone(),
            tenant,
            session: 1000 + rng.generate::<u64>() % self.habits.sessions.max(1),
            shared_text,
            shared_tokens: traffic.shared_tokens.min(prompt_tokens),
            prompt_tokens,
            max_tokens: traffic.max_tokens,
            time_to_deadline: traffic.time_to_deadline,
            leaves,
            seed: rng.generate(),
        };
        self.play(number, planned).await;
    }

    /// A request from its first try to its end.
    async fn play(&self, number: u64, planned: Planned) {
        let traffic = self
            .habits
            .traffic
            .iter()
            .find(|t| t.request_class == planned.request_class);
        let Some(traffic) = traffic else { return };
        let mut rng = WyRand::new_seed(planned.seed);
        let submit = v1::Submit {
            request_class: planned.request_class.clone(),
            tenant: planned.tenant.clone(),
            session: planned.session,
            shared_text: planned.shared_text,
            prompt_tokens: planned.prompt_tokens,
            shared_tokens: planned.shared_tokens,
            max_tokens: planned.max_tokens,
            time_to_deadline_ms: planned.time_to_deadline,
            retried: false,
            resumed: false,
            key: format!("{}-{number}", traffic.request_class),
            prompt: bytes::Bytes::new(),
            origin: None,
        };
        let asked = self.clock.now();
        self.tally(traffic, |t| t.requests += 1);
        for attempt in 0..=self.habits.retries {
            let now = self.clock.now();
            // What is left of the client's time to deadline; a first token ends its running.
            let time_to_deadline = planned.time_to_deadline - (now - asked);
            if time_to_deadline < 0.1 * planned.time_to_deadline {
                return;
            }
            let leave_at = planned.leaves.map(|after| now + after);
            let ports = &self.ports[rng.generate::<u64>() as usize % self.ports.len()];
            let port = &ports[rng.generate::<u64>() as usize % ports.len()];
            let submit = v1::Submit {
                retried: attempt > 0,
                time_to_deadline_ms: time_to_deadline,
                ..submit.clone()
            };
            let mut seen = Seen {
                last: now,
                first: None,
                gaps: Vec::new(),
            };
            let end = port
                .run(submit, leave_at, |_| seen.see(self.clock.now()))
                .await;
            let (first, gaps) = (seen.first, seen.gaps);
            self.tally(traffic, |t| {
                t.tries += 1;
                t.tokens += gaps.len() as u64 + u64::from(first.is_some());
                if let Some(first) = first {
                    t.first_token
                        .saturating_record((1000.0 * (first - now)) as u64);
                }
                for gap in &gaps {
                    t.gap.saturating_record((1000.0 * gap) as u64);
                }
                match &end {
                    End::Succeeded => {
                        t.succeeded += 1;
                        t.in_time += u64::from(
                            first.is_some_and(|f| f - asked <= traffic.latency_objective),
                        );
                    }
                    End::Rejected { .. } => t.rejected += 1,
                    End::Failed => t.failed += 1,
                    End::Left => t.left += 1,
                    End::Cut => t.cut += 1,
                    End::Unsent => t.unsent += 1,
                    End::InvalidRequest(_) => {}
                }
            });
            let wait = match end {
                End::Succeeded | End::Left | End::InvalidRequest(_) => return,
                End::Rejected { retry_after } => retry_after,
                End::Unsent => 0.0,
                End::Failed | End::Cut if traffic.again_always => 0.0,
                // It may have run: to try again could do it twice.
                End::Failed | End::Cut => return,
            };
            let wait =
                wait.max(self.retry_after.get() * (0.5 + share(&mut rng)) * f64::from(attempt + 1));
            self.clock.sleep_until(self.clock.now() + wait).await;
        }
    }

    fn tally(&self, traffic: &Traffic, change: impl FnOnce(&mut Tally)) {
        change(
            self.tallies
                .borrow_mut()
                .entry(traffic.request_class.clone())
                .or_default(),
        );
    }
}

/// The instants of one stream's token messages.
struct Seen {
    last: Ms,
    first: Option<Ms>,
    gaps: Vec<Ms>,
}

impl Seen {
    fn see(&mut self, now: Ms) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
    }
}
