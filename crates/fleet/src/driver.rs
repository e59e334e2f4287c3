//! Connects a [`Member`] to a transport, a clock and the voter's file.
//!
//! The driver has its own listener and connections, and client requests never wait for the driver. All of the driver
//! runs on the thread that starts it, except for writes of the voter's file.

use crate::acceptor_storage::{self, FileStore};
use crate::codec::{answer_from_proto, answer_to_proto, request_from_proto, request_to_proto};
use cindercleat::coordination::disruption_budget::Unit;
use cindercleat::coordination::member::{
    CallId, FleetSettings, Input, LocalHealth, Member, MemberRequest, MemberRequestId, Output,
    SaveId, UnusableFile,
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

/// The maximum size of a message between members. A replicated state takes a few kilobytes, but the list of members in
/// an answer to an operator has thousands of entries.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The maximum number of requests that may be open at the same time on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 256;
/// The maximum number of incoming connections that may be open at the same time.
const MAX_INCOMING_CONNECTIONS: usize = 8192;
/// An outgoing connection without open requests is closed after this time without a new request.
const IDLE_TIMEOUT_MS: Ms = 30_000.0;
/// The shortest time between two warnings about invalid messages.
const WARNING_INTERVAL_MS: Ms = 10_000.0;
/// The time between two readings of the dispatcher's health.
const HEALTH_INTERVAL_MS: Ms = 100.0;
/// The time until the driver accepts connections again after accepting one has failed.
const ACCEPT_RETRY_MS: Ms = 100.0;
/// The maximum time for which a stopping driver waits until its last requests are sent.
const MAX_FINAL_SEND_MS: Ms = 50.0;
/// The HTTP/2 error code `INTERNAL_ERROR`. The stream of an invalid request is reset with this code.
const RESET_INTERNAL_ERROR: u32 = 2;

/// What a driver needs from the dispatcher that its member belongs to.
pub trait Dispatcher {
    /// The dispatcher's readiness, utilization and request outcomes, for heartbeats.
    fn local_health(&self) -> LocalHealth;

    /// The engines in the dispatcher's endpoint list. The default implementation returns none.
    fn engines(&self) -> Vec<Unit> {
        Vec::new()
    }

    /// Tells the dispatcher that it is permitted to restart. The dispatcher drains and exits, and its supervisor starts
    /// it again under `label`, or under its present label if `label` is empty. `permit` is the number of the permit.
    fn grant_restart(&self, permit: u64, label: &str);
}

/// An open outgoing connection to another member.
struct Peer {
    out: Out,
    last_used_at: Cell<Ms>,
    /// The requests without an answer so far, with the time at which each was sent, by stream number.
    unanswered: RefCell<BTreeMap<u64, (MemberRequestId, Ms)>>,
    streams_opened: Cell<u64>,
}

/// A request that waits until the connection to its receiver is open.
struct QueuedRequest {
    id: MemberRequestId,
    call: v1::FleetCall,
    queued_at: Ms,
}

/// The state that all clones of a driver share.
struct DriverState<T, C, D> {
    settings: FleetSettings,
    transport: T,
    clock: C,
    voter_file: Option<D>,
    member: RefCell<Member>,
    dispatcher: Rc<dyn Dispatcher>,
    /// The open outgoing connections, by the address of the other member.
    peers: RefCell<BTreeMap<Address, Rc<Peer>>>,
    /// Requests that wait for a connection, by the address to which the connection is being opened.
    connecting: RefCell<BTreeMap<Address, Vec<QueuedRequest>>>,
    /// The received requests without an answer so far, with the connection and stream to answer on.
    open_calls: RefCell<BTreeMap<CallId, (Out, u64)>>,
    calls_received: Cell<u64>,
    incoming_connections: Cell<usize>,
    /// When the timer task calls the member next.
    timer_fires_at: Cell<Ms>,
    /// Wakes the timer task when the member needs a call before `timer_fires_at`.
    timer_changed: Notify,
    /// Whether the member has handed over all leases after it was told to stop.
    stopped: Cell<bool>,
    stop_notify: Notify,
    dropped_messages: Cell<u64>,
    last_warning_at: Cell<Ms>,
}

/// Runs one dispatcher's member of the fleet. Clones share the same member.
pub struct Driver<T, C, D> {
    state: Rc<DriverState<T, C, D>>,
}

impl<T, C, D> Clone for Driver<T, C, D> {
    fn clone(&self) -> Self {
        Driver {
            state: self.state.clone(),
        }
    }
}

impl<T: Transport, C: Clock, D: FileStore> Driver<T, C, D> {
    /// Creates a driver. It is idle until [`Driver::run`] is called. Without a `voter_file` the member never votes.
    pub fn new(
        settings: FleetSettings,
        transport: T,
        clock: C,
        voter_file: Option<D>,
        dispatcher: Rc<dyn Dispatcher>,
    ) -> Self {
        let state = DriverState {
            member: RefCell::new(Member::new(settings.clone())),
            settings,
            transport,
            clock,
            voter_file,
            dispatcher,
            peers: RefCell::default(),
            connecting: RefCell::default(),
            open_calls: RefCell::default(),
            calls_received: Cell::new(0),
            incoming_connections: Cell::new(0),
            timer_fires_at: Cell::new(f64::INFINITY),
            timer_changed: Notify::new(),
            stopped: Cell::new(false),
            stop_notify: Notify::new(),
            dropped_messages: Cell::new(0),
            last_warning_at: Cell::new(f64::NEG_INFINITY),
        };
        Driver {
            state: Rc::new(state),
        }
    }

    /// Runs the member until `stop` completes. The member then hands over its leases, for which it has at most one
    /// lease duration.
    ///
    /// # Panics
    /// If it does not run within a `tokio::task::LocalSet`.
    pub async fn run(&self, listener: T::Listener, stop: impl Future<Output = ()>) {
        let state = &self.state;
        self.handle_input(Input::Tick);
        self.update_health();
        if let Some(voter_file) = &state.voter_file {
            let loaded = match voter_file.read() {
                Ok(None) => Ok(None),
                Ok(Some(bytes)) => {
                    acceptor_storage::decode(&bytes)
                        .map(Some)
                        .map_err(|error| UnusableFile {
                            reason: error.to_string(),
                        })
                }
                Err(error) => Err(UnusableFile {
                    reason: error.to_string(),
                }),
            };
            self.handle_input(Input::Loaded(loaded));
        }
        let accept_task = spawn_local(self.clone().accept(listener));
        let timer_task = spawn_local(self.clone().run_timer());
        stop.await;
        self.handle_input(Input::Stop);
        let leases_expire_at = state.clock.now() + state.settings.lease.lease;
        while !state.stopped.get() && state.clock.now() < leases_expire_at {
            tokio::select! { biased;
                () = state.stop_notify.notified() => {}
                () = state.clock.sleep_until(leases_expire_at) => {}
            }
        }
        // The connections stay open a little longer, so that the lease offer to the named successor is sent.
        let final_send_ms = state.settings.request_timeout.min(MAX_FINAL_SEND_MS);
        state
            .clock
            .sleep_until(state.clock.now() + final_send_ms)
            .await;
        accept_task.abort();
        timer_task.abort();
        state
            .peers
            .borrow()
            .values()
            .for_each(|peer| peer.out.close());
    }

    /// The leases that the member holds and that have not expired, with their terms.
    pub fn held(&self) -> Vec<(LeaseName, Term)> {
        self.state
            .member
            .borrow()
            .held()
            .map(|(lease_name, term)| (lease_name.clone(), term))
            .collect()
    }

    /// The member's event counters, by event name; see [`Member::counts`].
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.state.member.borrow().counts().clone()
    }

    /// The number of invalid messages and of connections without a valid greeting that this driver has dropped since it
    /// was created.
    pub fn dropped(&self) -> u64 {
        self.state.dropped_messages.get()
    }

    /// Passes the dispatcher's health to the member, and its engines if the member needs them.
    fn update_health(&self) {
        self.handle_input(Input::LocalHealth(self.state.dispatcher.local_health()));
        if self.state.member.borrow().wants_engines() {
            self.handle_input(Input::Engines(self.state.dispatcher.engines()));
        }
    }

    /// Passes an input to the member, performs the outputs, and wakes the timer task if the member needs an earlier
    /// call.
    fn handle_input(&self, input: Input) {
        let mut outputs = Vec::new();
        let now = self.state.clock.now();
        let mut member = self.state.member.borrow_mut();
        member.handle(now, input, &mut outputs);
        let next_call_at = member.next_call_at();
        drop(member);
        for output in outputs {
            self.perform_output(output);
        }
        if next_call_at < self.state.timer_fires_at.get() {
            self.state.timer_changed.notify_one();
        }
    }

    fn perform_output(&self, output: Output) {
        match output {
            Output::SendRequest {
                request_id,
                to,
                question,
            } => self.send_request(request_id, to, &question),
            Output::Answer { call, answer } => {
                if let Some((out, stream)) = self.state.open_calls.borrow_mut().remove(&call) {
                    out.send(frame(stream, Body::FleetAnswer(answer_to_proto(&answer))));
                }
            }
            Output::Save { number, state } => {
                spawn_local(self.clone().save_acceptor_state(number, state));
            }
            Output::LeaseChanged {
                lease_name,
                term,
                held: true,
            } => {
                tracing::info!(lease_name = %lease_name.0, term = term.0, "lease acquired");
            }
            Output::LeaseChanged {
                lease_name,
                term,
                held: false,
            } => {
                tracing::info!(
                    lease_name = %lease_name.0,
                    term = term.0,
                    "lease no longer held: released, expired or lost to another member"
                );
            }
            Output::PermitGranted { permit, label } => {
                tracing::info!(
                    permit = permit.0,
                    label,
                    "disruption permit received; draining and restarting this dispatcher"
                );
                self.state.dispatcher.grant_restart(permit.0, &label);
            }
            Output::Warn(text) => tracing::warn!("{text}"),
            Output::Info(text) => tracing::debug!("{text}"),
            Output::Stopped => {
                self.state.stopped.set(true);
                self.state.stop_notify.notify_one();
            }
        }
    }

    async fn save_acceptor_state(self, number: SaveId, state: Box<AcceptorState>) {
        let saved = match &self.state.voter_file {
            Some(voter_file) => voter_file.replace(acceptor_storage::encode(&state)).await,
            None => Err(std::io::ErrorKind::Unsupported.into()),
        };
        if let Err(problem) = &saved {
            tracing::warn!(
                %problem,
                "could not write the voter's file; the answers that report its new state are not sent"
            );
        }
        self.handle_input(Input::Saved {
            number,
            is_durable: saved.is_ok(),
        });
    }

    /// Calls the member when one of its timers is due, and reads the dispatcher's health every [`HEALTH_INTERVAL_MS`].
    async fn run_timer(self) {
        let mut health_due_at = 0.0;
        loop {
            let now = self.state.clock.now();
            if now >= health_due_at {
                health_due_at = now + HEALTH_INTERVAL_MS;
                self.update_health();
                self.remove_expired_requests_and_idle_connections(now);
            }
            let member_due_at = self.state.member.borrow().next_call_at();
            let fires_at = member_due_at.min(health_due_at);
            self.state.timer_fires_at.set(fires_at);
            tokio::select! { biased;
                () = self.state.timer_changed.notified() => {}
                () = self.state.clock.sleep_until(fires_at) => self.handle_input(Input::Tick),
            }
        }
    }

    /// Closes idle connections, and cancels requests that have timed out, so that neither side keeps state for them.
    fn remove_expired_requests_and_idle_connections(&self, now: Ms) {
        let max_answer_wait = 2.0 * self.state.settings.request_timeout;
        let mut peers = self.state.peers.borrow_mut();
        peers.retain(|_, peer| {
            peer.unanswered.borrow_mut().retain(|stream, (_, sent_at)| {
                let is_awaited = now - *sent_at <= max_answer_wait;
                if !is_awaited {
                    peer.out.send(frame(*stream, Body::Cancel(v1::Cancel {})));
                }
                is_awaited
            });
            let idle_for = now - peer.last_used_at.get();
            let is_idle = peer.unanswered.borrow().is_empty() && idle_for > IDLE_TIMEOUT_MS;
            if is_idle {
                peer.out.close();
            }
            !is_idle
        });
    }

    /// The settings of a connection, with this member's greeting. `expects` is the name that the other side has to
    /// greet with; empty if any name is accepted.
    fn setup(&self, expects: &str) -> Setup {
        Setup {
            party: v1::Party::Fleet,
            // Members greet each other with the fleet's name, so that a member of another fleet is refused.
            name: self.state.settings.fleet.clone(),
            expects: expects.to_owned(),
            run: self.state.settings.incarnation.0,
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_concurrent_calls: MAX_CALLS_PER_CONNECTION,
        }
    }

    /// Sends a request, or queues the request until the connection to its receiver is open.
    fn send_request(&self, id: MemberRequestId, to: Address, question: &MemberRequest) {
        let call = request_to_proto(question);
        let peer = self.state.peers.borrow().get(&to).cloned();
        if let Some(peer) = peer {
            return self.send_on_connection(&peer, id, call);
        }
        let now = self.state.clock.now();
        let request = QueuedRequest {
            id,
            call,
            queued_at: now,
        };
        let mut connecting = self.state.connecting.borrow_mut();
        match connecting.get_mut(&to) {
            Some(queue) => {
                // Drops the queued requests that have timed out in the meantime.
                let timeout = self.state.settings.request_timeout;
                queue.retain(|queued| now - queued.queued_at <= timeout);
                queue.push(request);
            }
            None => {
                connecting.insert(to.clone(), vec![request]);
                spawn_local(self.clone().run_outgoing_connection(to));
            }
        }
    }

    fn send_on_connection(&self, peer: &Rc<Peer>, id: MemberRequestId, call: v1::FleetCall) {
        let now = self.state.clock.now();
        let stream = peer.streams_opened.get() + 1;
        peer.streams_opened.set(stream);
        peer.last_used_at.set(now);
        peer.unanswered.borrow_mut().insert(stream, (id, now));
        peer.out.send(frame(stream, Body::FleetCall(call)));
    }

    /// Opens a connection to another member, and passes that member's answers on until the connection ends.
    async fn run_outgoing_connection(self, to: Address) {
        // The timeout is longer than that of an answer. On an overloaded machine a slow connection still opens within
        // this time. With a short timeout, connections would be given up early and retried each time, which would keep
        // all members busy without any connection being opened.
        let settings = &self.state.settings;
        let timeout = settings.lease.lease.max(10.0 * settings.request_timeout);
        let times_out_at = self.state.clock.now() + timeout;
        let connecting = async {
            let stream = self
                .state
                .transport
                .connect(&to.0)
                .await
                .map_err(|error| error.to_string())?;
            connect(
                stream,
                v1::Party::Fleet,
                self.setup(&self.state.settings.fleet),
            )
            .await
        };
        let connected = tokio::select! { biased;
            connected = connecting => connected,
            () = self.state.clock.sleep_until(times_out_at) => {
                Err(format!("no greeting within {timeout:.0} ms"))
            }
        };
        let queue = self
            .state
            .connecting
            .borrow_mut()
            .remove(&to)
            .unwrap_or_default();
        let Session {
            mut events, out, ..
        } = match connected {
            Ok(session) => session,
            Err(reason) => {
                tracing::debug!(
                    address = %to.0,
                    reason,
                    "could not connect to fleet member; requests to it count as unanswered"
                );
                // The failure is reported from this task and not from `send_request`, as a member cannot handle an
                // answer while it is still handling the input that sent the request.
                for request in queue {
                    self.handle_input(Input::AnswerReceived {
                        request_id: request.id,
                        answer: None,
                    });
                }
                return;
            }
        };
        let peer = Rc::new(Peer {
            out,
            last_used_at: Cell::new(self.state.clock.now()),
            unanswered: RefCell::default(),
            streams_opened: Cell::new(0),
        });
        self.state
            .peers
            .borrow_mut()
            .insert(to.clone(), peer.clone());
        let min_queued_at = self.state.clock.now() - self.state.settings.request_timeout;
        for request in queue
            .into_iter()
            .filter(|queued| queued.queued_at >= min_queued_at)
        {
            self.send_on_connection(&peer, request.id, request.call);
        }
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(Frame { stream, body }) => {
                    let Some((request_id, _)) = peer.unanswered.borrow_mut().remove(&stream) else {
                        continue;
                    };
                    let answer = match body {
                        Some(Body::FleetAnswer(message)) => {
                            self.count_if_invalid(answer_from_proto(message))
                        }
                        _ => None,
                    };
                    self.handle_input(Input::AnswerReceived { request_id, answer });
                }
                Event::GoingAway => break,
                Event::MessagesWritten { .. } | Event::MessageBegun | Event::UnsolicitedData => {}
            }
        }
        let mut peers = self.state.peers.borrow_mut();
        if peers
            .get(&to)
            .is_some_and(|current| Rc::ptr_eq(current, &peer))
        {
            peers.remove(&to);
        }
        drop(peers);
        let unanswered = std::mem::take(&mut *peer.unanswered.borrow_mut());
        for (request_id, _) in unanswered.into_values() {
            self.handle_input(Input::AnswerReceived {
                request_id,
                answer: None,
            });
        }
    }

    /// Counts a dropped message or connection if `message` is `None`, and warns at most once per
    /// [`WARNING_INTERVAL_MS`].
    fn count_if_invalid<M>(&self, message: Option<M>) -> Option<M> {
        if message.is_none() {
            let dropped = self.state.dropped_messages.get() + 1;
            self.state.dropped_messages.set(dropped);
            let now = self.state.clock.now();
            if now - self.state.last_warning_at.get() >= WARNING_INTERVAL_MS {
                self.state.last_warning_at.set(now);
                tracing::warn!(
                    dropped,
                    "dropped invalid fleet messages or connections; `dropped` is the total since this process started"
                );
            }
        }
        message
    }

    async fn accept(self, mut listener: T::Listener) {
        loop {
            match listener.accept().await {
                // The limit guards against running out of file descriptors. Further connections are closed, and the
                // members that opened them connect again.
                Ok(stream) if self.state.incoming_connections.get() < MAX_INCOMING_CONNECTIONS => {
                    let count = self.state.incoming_connections.get() + 1;
                    self.state.incoming_connections.set(count);
                    spawn_local(self.clone().run_incoming_connection(stream));
                }
                Ok(_) => {}
                Err(problem) => {
                    tracing::warn!(
                        %problem,
                        "could not accept a fleet connection; retrying in {ACCEPT_RETRY_MS} ms"
                    );
                    let retry_at = self.state.clock.now() + ACCEPT_RETRY_MS;
                    self.state.clock.sleep_until(retry_at).await;
                }
            }
        }
    }

    /// Handles the requests on an accepted connection until the connection ends.
    async fn run_incoming_connection(self, stream: T::Stream) {
        let timeout = 10.0 * self.state.settings.request_timeout;
        let times_out_at = self.state.clock.now() + timeout;
        let greeted = tokio::select! { biased;
            greeted = serve(stream, self.setup("")) => greeted,
            () = self.state.clock.sleep_until(times_out_at) => {
                Err(format!("no greeting within {timeout:.0} ms"))
            }
        };
        match greeted {
            Ok(Session {
                mut events, out, ..
            }) => {
                while let Some(event) = events.recv().await {
                    if let Event::Frame(Frame {
                        stream,
                        body: Some(body),
                    }) = event
                    {
                        self.handle_frame(&out, stream, body);
                    }
                }
            }
            // The other side is a member of another fleet, or does not speak this protocol.
            Err(_) => drop(self.count_if_invalid(None::<()>)),
        }
        let count = self.state.incoming_connections.get() - 1;
        self.state.incoming_connections.set(count);
    }

    /// Handles a received frame: passes a request to the member, or drops a request that its sender has cancelled.
    fn handle_frame(&self, out: &Out, stream: u64, body: Body) {
        match body {
            Body::FleetCall(message) => match self.count_if_invalid(request_from_proto(message)) {
                Some(question) => {
                    let call = CallId(self.state.calls_received.get() + 1);
                    self.state.calls_received.set(call.0);
                    self.state
                        .open_calls
                        .borrow_mut()
                        .insert(call, (out.clone(), stream));
                    self.handle_input(Input::RequestReceived { call, question });
                }
                None => out.reset(stream, RESET_INTERNAL_ERROR),
            },
            // The sender no longer awaits the answer.
            Body::Cancel(_) => {
                let is_cancelled = |(connection, call_stream): &(Out, u64)| {
                    *call_stream == stream && connection.is_same_connection(out)
                };
                self.state
                    .open_calls
                    .borrow_mut()
                    .retain(|_, call| !is_cancelled(call));
            }
            _ => out.reset(stream, RESET_INTERNAL_ERROR),
        }
    }
}
