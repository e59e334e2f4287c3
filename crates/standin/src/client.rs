//! The stand-in for clients. Requests arrive in an open loop drawn from a seed. They belong to sessions, share prompt
//! prefixes and have deadlines; clients cancel some of them early and retry as the request class allows.

use crate::transcript::{Note, Transcript, Way, What};
use crate::{exponential, open_session, uniform};
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

/// The traffic of one request class, from which clients draw their requests.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub request_class: String,
    /// The weight of this class among all classes; weights need not add up to 1.
    pub share: f64,
    /// Whether a client may retry after any unsuccessful outcome; otherwise only after a rejection or if the request
    /// was not sent.
    pub again_always: bool,
    /// The longest time to the first token that counts as in time.
    pub latency_objective: Ms,
    /// The time from a request to its deadline.
    pub time_to_deadline: Ms,
    /// The smallest and the largest length of a prompt, in tokens.
    pub prompt_tokens: (u32, u32),
    /// The length of the prefix that a prompt shares with other prompts, in tokens.
    pub shared_tokens: u32,
    /// The number of different shared prefixes.
    pub shared_texts: u64,
    /// The most output tokens that a request asks for.
    pub max_tokens: u32,
    /// The weight of the class in the payoff that a day is scored by; the clients themselves do not use it.
    pub priority_weight: f64,
}

/// How long after the deadline a client still waits for an overdue answer.
const DEADLINE_SLACK: Ms = 2000.0;
/// The number of the first planned request; the numbers of drawn requests stay below it.
const FIRST_PLANNED_NUMBER: u64 = 1 << 32;

/// How the clients of a day behave: which traffic they send, how often they retry, and how many of them cancel early. A
/// day is one test run with dispatchers, stand-ins, traffic and faults.
#[derive(Clone, Debug)]
pub struct Habits {
    pub traffic: Vec<Traffic>,
    /// The mean rate of drawn arrivals; 0 draws none.
    pub rate_per_s: f64,
    /// The time from the start of the day in which drawn requests arrive.
    pub length: Ms,
    /// The largest number of retries of a request.
    pub retries: u32,
    /// The base of the wait before a retry. The wait is random and grows with the number of tries.
    pub retry_after: Ms,
    /// The share of requests that their clients cancel, each at a random time before the deadline.
    pub leaves: f64,
    /// The number of connections to each dispatcher.
    pub connections: usize,
    /// The number of different sessions that drawn requests belong to.
    pub sessions: u64,
    /// The tenants of drawn requests, all equally frequent; if there are none, requests state no tenant.
    pub tenants: Vec<String>,
    /// Requests with fixed arrival times, in addition to the drawn ones.
    pub requests: Vec<Planned>,
}

/// A request with all of its parameters fixed.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The arrival time, counted from the start of [`Clients::run`].
    pub at: Ms,
    pub request_class: String,
    pub tenant: String,
    pub session: u64,
    /// The identifier of the prefix that the prompt shares with other prompts; 0 if it shares none.
    pub shared_text: u64,
    /// The length of the shared prefix, in tokens.
    pub shared_tokens: u32,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The most output tokens that the request asks for.
    pub max_tokens: u32,
    pub time_to_deadline: Ms,
    /// How long after the start of a try the client cancels it, if it has not ended by then; `None` never cancels.
    pub leaves: Option<Ms>,
    /// The seed from which the dispatcher, the connection and the waits between tries are drawn.
    pub seed: u64,
}

/// The outcomes of one request class, as its clients saw them.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests, each counted once however often it was tried.
    pub requests: u64,
    /// Submissions of requests, retries included. The counters below count tries too, not requests.
    pub tries: u64,
    pub succeeded: u64,
    /// Successful tries whose first token came within the latency objective, counted from the start of the first try.
    pub in_time: u64,
    /// Tries that the dispatcher rejected. A rejection states that a retry is safe.
    pub rejected: u64,
    /// Tries that the dispatcher answered with a failure.
    pub failed: u64,
    /// Tries that the client cancelled.
    pub left: u64,
    /// Tries whose connection broke or whose answer never came.
    pub cut: u64,
    /// Tries that could not be sent.
    pub unsent: u64,
    /// Microseconds from the start of a try to its first token.
    pub first_token: Histogram<u64>,
    /// Microseconds from one token message of a try to the next one.
    pub gap: Histogram<u64>,
    /// Token messages received in all tries.
    pub tokens: u64,
}

impl Default for Tally {
    fn default() -> Self {
        // Records up to one minute, with two significant digits.
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

/// The outcome of one try.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The stream ended with a successful final answer.
    Succeeded,
    /// The dispatcher rejected the request. A rejection states that a retry is safe.
    Rejected {
        /// How long the dispatcher asks the client to wait before a retry.
        retry_after: Ms,
    },
    /// The final answer reports a failure.
    Failed,
    /// The dispatcher found the request invalid. The text names the invalid field, and is empty if it is unknown.
    InvalidRequest(String),
    /// The client cancelled the try.
    Left,
    /// The connection ended before the answer, or the answer did not come in time.
    Cut,
    /// No connection could be opened, or the dispatcher reported that it never processed the request.
    Unsent,
}

/// A client's reconnecting link to one server, shared by many streams. It opens a connection when a stream needs one.
pub struct Port<T, C> {
    /// The client's name in the handshake and in the transcript.
    name: Rc<str>,
    /// The server's address and party.
    server: (String, v1::Party),
    transport: T,
    clock: C,
    transcript: Transcript,
    connection: RefCell<Option<Rc<Connection>>>,
    next_stream: Cell<u64>,
}

/// A connection of a [`Port`].
struct Connection {
    /// The number of the connection in the transcript.
    id: u64,
    /// The name that the server stated in the handshake.
    peer: Rc<str>,
    out: Out,
    /// Where the messages of each open stream go, by stream number.
    streams: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Body>>>,
    /// Whether the connection takes no new streams, because it has ended or the server announced its end.
    closed: Cell<bool>,
}

impl<T: Transport, C: Clock> Port<T, C> {
    /// Creates a link to the dispatcher at the address `to`; `name` is the client's name in the transcript.
    pub fn new(name: &str, to: &str, transport: T, clock: C, transcript: Transcript) -> Rc<Self> {
        Port::to(
            name,
            (to, v1::Party::Dispatcher),
            transport,
            clock,
            transcript,
        )
    }

    /// Creates a link to the address `to`, where a server of the given party is expected.
    pub fn to(
        name: &str,
        (to, party): (&str, v1::Party),
        transport: T,
        clock: C,
        transcript: Transcript,
    ) -> Rc<Self> {
        Rc::new(Port {
            name: Rc::from(name),
            server: (to.to_owned(), party),
            transport,
            clock,
            transcript,
            connection: RefCell::default(),
            next_stream: Cell::new(1),
        })
    }

    /// The open connection, or a new one; `None` if no connection can be opened.
    async fn connection(self: &Rc<Self>) -> Option<Rc<Connection>> {
        if let Some(connection) = self
            .connection
            .borrow()
            .as_ref()
            .filter(|open| !open.closed.get())
        {
            return Some(connection.clone());
        }
        let parties = (v1::Party::Client, &*self.name, "");
        let Session {
            peer,
            mut events,
            out,
            ..
        } = open_session(&self.transport, (&self.server.0, self.server.1), parties).await?;
        let connection = Rc::new(Connection {
            id: self.transcript.new_conn(),
            peer: Rc::from(peer.name),
            out,
            streams: RefCell::default(),
            closed: Cell::new(false),
        });
        *self.connection.borrow_mut() = Some(connection.clone());
        let (receiving, port) = (connection.clone(), self.clone());
        spawn_local(async move {
            while let Some(event) = events.recv().await {
                let frame = match event {
                    Event::Frame(frame) => frame,
                    // The next try opens another connection; open streams of this one continue.
                    Event::GoingAway => {
                        receiving.closed.set(true);
                        continue;
                    }
                    Event::MessagesWritten { .. }
                    | Event::MessageBegun
                    | Event::UnsolicitedData => continue,
                };
                port.record(&receiving, Way::In, &frame);
                let stream = frame.stream;
                match frame.body {
                    // The call has ended without a final answer, so its stream gets no more messages.
                    Some(Body::Goodbye(bye)) => {
                        if let Some(sender) = receiving.streams.borrow().get(&stream) {
                            let _ = sender.send(Body::Goodbye(bye));
                        }
                        receiving.streams.borrow_mut().remove(&stream);
                    }
                    Some(body) => {
                        if let Some(sender) = receiving.streams.borrow().get(&stream) {
                            let _ = sender.send(body);
                        }
                    }
                    None => {}
                }
            }
            receiving.closed.set(true);
            receiving.streams.borrow_mut().clear();
            let what = What::Note(Note::Closed { own: false });
            port.transcript.add(
                port.clock.now(),
                &port.name,
                &receiving.peer,
                receiving.id,
                what,
            );
        });
        Some(connection)
    }

    /// Adds a frame to the transcript.
    fn record(&self, connection: &Connection, way: Way, frame: &Frame) {
        self.transcript.add(
            self.clock.now(),
            &self.name,
            &connection.peer,
            connection.id,
            What::Frame(way, frame.clone()),
        );
    }

    /// Sends and records a message; returns `false` if the connection has ended.
    fn send(&self, connection: &Connection, stream: u64, body: Body) -> bool {
        let frame = frame(stream, body);
        let sent = connection.out.send(frame.clone());
        if sent {
            self.record(connection, Way::Out, &frame);
        }
        sent
    }

    /// Opens a stream and sends its first message; returns `None` if no connection can be opened.
    pub async fn open(self: &Rc<Self>, body: Body) -> Option<Stream<T, C>> {
        let connection = self.connection().await?;
        let number = self.next_stream.get();
        self.next_stream.set(number + 1);
        let (sender, messages) = mpsc::unbounded_channel();
        connection.streams.borrow_mut().insert(number, sender);
        if !self.send(&connection, number, body) {
            connection.streams.borrow_mut().remove(&number);
            return None;
        }
        Some(Stream {
            port: self.clone(),
            connection,
            number,
            messages,
        })
    }

    /// Submits a request and waits for its outcome. Cancels it at `cancel_at` if it has not ended by then. Calls
    /// `on_tokens` with each token message.
    pub async fn run(
        self: &Rc<Self>,
        submit: v1::Submit,
        cancel_at: Option<Ms>,
        mut on_tokens: impl FnMut(&v1::Tokens),
    ) -> End {
        // A dispatcher may vanish without closing the connection, so the wait is bounded: for the first token by the
        // deadline plus slack, and for each further one by the same duration.
        let time_to_deadline = submit.time_to_deadline_ms + DEADLINE_SLACK;
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
                () = self.clock.sleep_until(cancel_at.unwrap_or(0.0)), if cancel_at.is_some() => {
                    stream.say(Body::Cancel(v1::Cancel {}));
                    break End::Left;
                }
            };
            match next {
                None => break End::Cut,
                Some(Body::Tokens(tokens)) => {
                    until = self.clock.now() + time_to_deadline;
                    on_tokens(&tokens);
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

/// One stream of a [`Port`]. Dropping it discards the messages that still arrive on the stream.
pub struct Stream<T, C> {
    port: Rc<Port<T, C>>,
    connection: Rc<Connection>,
    number: u64,
    messages: mpsc::UnboundedReceiver<Body>,
}

impl<T: Transport, C: Clock> Stream<T, C> {
    /// Waits for the next message; returns `None` once the stream or its connection has ended.
    pub async fn next(&mut self) -> Option<Body> {
        self.messages.recv().await
    }

    /// Sends a message on the stream; does nothing if the connection has ended.
    pub fn say(&self, body: Body) {
        self.port.send(&self.connection, self.number, body);
    }
}

impl<T, C> Drop for Stream<T, C> {
    fn drop(&mut self) {
        self.connection.streams.borrow_mut().remove(&self.number);
    }
}

/// All clients of a day. They share one arrival process, one random generator and one set of counters.
pub struct Clients<T, C> {
    habits: Habits,
    clock: C,
    /// The links to each dispatcher: one inner list per dispatcher.
    ports: Vec<Vec<Rc<Port<T, C>>>>,
    /// The outcomes so far, by request class.
    tallies: RefCell<BTreeMap<String, Tally>>,
    /// The number of requests that have not ended.
    open_requests: Cell<usize>,
    /// The factor by which the configured arrival rate is multiplied.
    rate_factor: Cell<f64>,
    /// The prompt prefix that half of the new requests share; `None` if there is no such prefix.
    hot_text: Cell<Option<u64>>,
    /// The factor by which long prompts are longer than drawn, and the share of prompts that are long.
    long_prompts: Cell<(f64, f64)>,
    /// The present base of the wait before a retry.
    retry_after: Cell<Ms>,
    rng: RefCell<WyRand>,
}

impl<T: Transport, C: Clock> Clients<T, C> {
    /// Creates the clients, which connect to the dispatchers at these addresses; all draws derive from `seed`.
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
            open_requests: Cell::new(0),
            rate_factor: Cell::new(1.0),
            hot_text: Cell::new(None),
            long_prompts: Cell::new((1.0, 0.0)),
            retry_after: Cell::new(0.0),
            rng: RefCell::new(WyRand::new_seed(seed)),
        };
        clients.retry_after.set(clients.habits.retry_after);
        Rc::new(clients)
    }

    /// Sets the base of the wait before a retry; `None` restores the configured one.
    pub fn set_retry_after(&self, wait: Option<Ms>) {
        self.retry_after
            .set(wait.unwrap_or(self.habits.retry_after));
    }

    /// Makes this share of the prompts `factor` times as long from now on.
    pub fn set_long_prompts(&self, factor: f64, share: f64) {
        self.long_prompts.set((factor, share));
    }

    /// Multiplies the configured arrival rate by `factor` from now on; replaces the previous factor.
    pub fn set_rate(&self, factor: f64) {
        self.rate_factor.set(factor);
    }

    /// Makes half of the new requests share this prompt prefix; `None` ends that.
    pub fn set_hot_text(&self, text: Option<u64>) {
        self.hot_text.set(text);
    }

    /// A copy of the outcomes so far, by request class.
    pub fn tallies(&self) -> BTreeMap<String, Tally> {
        self.tallies.borrow().clone()
    }

    /// Sends the planned requests and the drawn ones, and returns when every request has ended.
    pub async fn run(self: Rc<Self>) {
        let begin = self.clock.now();
        for (n, planned) in self.habits.requests.iter().cloned().enumerate() {
            let clients = self.clone();
            self.spawn_request(async move {
                clients.clock.sleep_until(begin + planned.at).await;
                clients
                    .run_request(FIRST_PLANNED_NUMBER + n as u64, planned)
                    .await;
            });
        }
        if self.habits.rate_per_s > 0.0 {
            self.start_drawn_requests(begin).await;
        }
        while self.open_requests.get() > 0 {
            self.clock.sleep_until(self.clock.now() + 20.0).await;
        }
    }

    /// Draws requests and starts them at their arrival times, until [`Habits::length`] has passed since `begin`.
    async fn start_drawn_requests(self: &Rc<Self>, begin: Ms) {
        let (mut arrival, mut number) = (begin, 0);
        loop {
            let mean = 1000.0 / (self.habits.rate_per_s * self.rate_factor.get()).max(1e-3);
            arrival += exponential(&mut self.rng.borrow_mut(), mean);
            if arrival > begin + self.habits.length {
                return;
            }
            self.clock.sleep_until(arrival).await;
            number += 1;
            let (clients, number) = (self.clone(), number);
            let seed = self.rng.borrow_mut().generate::<u64>();
            self.spawn_request(async move {
                clients
                    .run_drawn_request(number, WyRand::new_seed(seed))
                    .await
            });
        }
    }

    /// Runs a request in a task of its own, which counts as open until the request ends.
    fn spawn_request(self: &Rc<Self>, request: impl Future<Output = ()> + 'static) {
        self.open_requests.set(self.open_requests.get() + 1);
        let clients = self.clone();
        spawn_local(async move {
            request.await;
            clients.open_requests.set(clients.open_requests.get() - 1);
        });
    }

    /// Draws the parameters of a request at random, and sends the request.
    async fn run_drawn_request(&self, number: u64, mut rng: WyRand) {
        let mut remaining_weight =
            uniform(&mut rng) * self.habits.traffic.iter().map(|t| t.share).sum::<f64>();
        let traffic = self.habits.traffic.iter().find(|t| {
            remaining_weight -= t.share;
            remaining_weight <= 0.0
        });
        let Some(traffic) = traffic.or(self.habits.traffic.last()) else {
            return;
        };
        let (shortest, longest) = traffic.prompt_tokens;
        let (long_factor, long_share) = self.long_prompts.get();
        let length_factor = if uniform(&mut rng) < long_share {
            long_factor
        } else {
            1.0
        };
        let prompt_tokens = f64::from(shortest) + uniform(&mut rng) * f64::from(longest - shortest);
        let prompt_tokens = (length_factor * prompt_tokens).max(1.0) as u32;
        let shared_text = match self.hot_text.get() {
            Some(hot) if uniform(&mut rng) < 0.5 => hot,
            // The square makes prefixes with low numbers frequent and those with high numbers rare.
            _ => 1 + (traffic.shared_texts as f64 * uniform(&mut rng).powi(2)) as u64,
        };
        let tenants = &self.habits.tenants;
        let tenant = tenants
            .get((uniform(&mut rng) * tenants.len() as f64) as usize)
            .cloned()
            .unwrap_or_default();
        let leaves = uniform(&mut rng) < self.habits.leaves;
        let leaves = leaves.then(|| uniform(&mut rng) * traffic.time_to_deadline);
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
        self.run_request(number, planned).await;
    }

    /// Sends a request, with its retries, until it ends.
    async fn run_request(&self, number: u64, planned: Planned) {
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
        let first_sent = self.clock.now();
        self.tally(traffic, |t| t.requests += 1);
        for attempt in 0..=self.habits.retries {
            let now = self.clock.now();
            // A retry gets only what is left of the time to the deadline. The deadline applies to the first token: once
            // a token has arrived, the deadline no longer applies.
            let time_to_deadline = planned.time_to_deadline - (now - first_sent);
            if time_to_deadline < 0.1 * planned.time_to_deadline {
                return;
            }
            let cancel_at = planned.leaves.map(|after| now + after);
            let ports = &self.ports[rng.generate::<u64>() as usize % self.ports.len()];
            let port = &ports[rng.generate::<u64>() as usize % ports.len()];
            let submit = v1::Submit {
                retried: attempt > 0,
                time_to_deadline_ms: time_to_deadline,
                ..submit.clone()
            };
            let mut token_times = TokenTimes {
                last: now,
                first: None,
                gaps: Vec::new(),
            };
            let end = port
                .run(submit, cancel_at, |_| token_times.record(self.clock.now()))
                .await;
            let (first, gaps) = (token_times.first, token_times.gaps);
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
                            first.is_some_and(|at| at - first_sent <= traffic.latency_objective),
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
                // The request may have been executed, so a retry could execute it twice.
                End::Failed | End::Cut => return,
            };
            let wait = wait
                .max(self.retry_after.get() * (0.5 + uniform(&mut rng)) * f64::from(attempt + 1));
            self.clock.sleep_until(self.clock.now() + wait).await;
        }
    }

    /// Changes the counters of a request class with `change`.
    fn tally(&self, traffic: &Traffic, change: impl FnOnce(&mut Tally)) {
        change(
            self.tallies
                .borrow_mut()
                .entry(traffic.request_class.clone())
                .or_default(),
        );
    }
}

/// The arrival times of one stream's token messages.
struct TokenTimes {
    /// When the latest token message arrived; before the first one, when the request was sent.
    last: Ms,
    /// When the first token message arrived, if one has.
    first: Option<Ms>,
    /// The times between successive token messages.
    gaps: Vec<Ms>,
}

impl TokenTimes {
    /// Records a token message that arrives now.
    fn record(&mut self, now: Ms) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
    }
}
