//! Accepts connections from clients, and from other dispatchers that send gossip.

use super::Driver;
use crate::state::{ClientConnectionId, Input, StreamId};
use cindercleat::interface::{DispatcherId, Ms};
use cindercleat_net::{Clock, Listener, Transport};
use cindercleat_protocol::session::{Event, Session, Wire};
use cindercleat_protocol::{Body, Frame};
use std::io;
use tokio::task::{spawn_local, yield_now};

/// The delay before the next accept, after an accept has failed because memory or file descriptors ran out.
const ACCEPT_RETRY_DELAY_MS: Ms = 20.0;

/// The value of `EPROTO` on Linux; [`io::ErrorKind`] has no equivalent.
const EPROTO: i32 = 71;

/// The maximum number of streams that a client may have open on one connection.
const MAX_STREAMS_PER_CLIENT: u32 = 1024;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Accepts connections until the task is aborted.
    pub(super) async fn accept_connections(self, mut listener: T::Listener) {
        let mut previous_accept_failed = false;
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    previous_accept_failed = false;
                    self.serve_if_capacity(stream).await;
                }
                Err(problem) if affects_one_connection(&problem) => {
                    tracing::debug!(%problem, "accept failed for one connection; accepting the next one");
                    yield_now().await;
                }
                // The process has too many open files or too little memory. A single failure closes no connection,
                // because an idle client may be about to send a request. If the next accept fails as well, an idle
                // client connection is closed.
                Err(problem) => {
                    tracing::warn!(%problem, "accept failed; retrying in {ACCEPT_RETRY_DELAY_MS} ms");
                    if previous_accept_failed {
                        self.handle_input(Input::ClientLimitReached);
                    }
                    previous_accept_failed = true;
                    let retry_at = self.shared.clock.now() + ACCEPT_RETRY_DELAY_MS;
                    self.shared.clock.sleep_until(retry_at).await;
                }
            }
        }
    }

    /// Serves an accepted connection, or drops it if the connection limit is reached.
    async fn serve_if_capacity(&self, stream: T::Stream) {
        if self.wait_for_capacity().await {
            self.shared
                .pending_greetings
                .set(self.shared.pending_greetings.get() + 1);
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    /// Waits for the capacity to serve one more connection. Returns `false` if the connection must be dropped
    /// instead. The limit keeps connections from exhausting memory.
    ///
    /// A connection that carries one request at a time is not closed at the limit, because its client may already
    /// have sent a request that would be lost. It is not read until another connection ends. Further connections
    /// wait in the listen queue of the operating system. A multiplexed connection is dropped at the limit: its
    /// greeting is not complete, so none of its requests has run.
    async fn wait_for_capacity(&self) -> bool {
        let limits = &self.shared.settings.limits;
        loop {
            let changed = self.shared.client_capacity_changed.notified();
            let in_use = self.client_connections() + self.shared.pending_greetings.get();
            if in_use < limits.max_client_connections {
                return true;
            }
            if limits.http1.is_none() {
                return false;
            }
            self.handle_input(Input::ClientLimitReached);
            changed.await;
        }
    }

    /// Completes the greeting on an accepted connection, then reads messages until the connection ends.
    async fn serve_connection(self, stream: T::Stream) {
        let greeted = self.greet(stream).await;
        self.shared
            .pending_greetings
            .set(self.shared.pending_greetings.get() - 1);
        let session = match greeted {
            Ok(session) => session,
            Err(reason) => {
                self.shared.client_capacity_changed.notify_waiters();
                return tracing::debug!(reason, "greeting failed; dropping the connection");
            }
        };
        let Session {
            mut events, out, ..
        } = session;
        let conn = ClientConnectionId(self.shared.last_client_connection.get() + 1);
        self.shared.last_client_connection.set(conn.0);
        self.shared.clients.borrow_mut().insert(conn, out);
        self.handle_input(Input::ClientConnected { conn });
        // The new connection may be evicted from now on, so connections that wait for capacity are woken up.
        self.shared.client_capacity_changed.notify_waiters();
        while let Some(event) = events.recv().await {
            self.client_event(conn, event);
        }
        self.shared.clients.borrow_mut().remove(&conn);
        self.handle_input(Input::ClientClosed { conn });
        self.shared.client_capacity_changed.notify_waiters();
    }

    async fn greet(&self, stream: T::Stream) -> Result<Session<W::Out>, String> {
        let timeout = self.shared.settings.limits.greeting_timeout;
        let until = self.shared.clock.now() + timeout;
        let setup = self.session_setup("", MAX_STREAMS_PER_CLIENT);
        tokio::select! { biased;
            greeted = self.shared.wire.serve(stream, setup) => greeted,
            () = self.shared.clock.sleep_until(until) => Err(format!("no greeting within {timeout:.0} ms")),
        }
    }

    fn client_event(&self, conn: ClientConnectionId, event: Event) {
        match event {
            Event::Frame(Frame {
                body: Some(Body::Gossip(gossip)),
                ..
            }) => {
                let (from, bytes) = (DispatcherId(gossip.from), gossip.bytes.to_vec());
                self.handle_input(Input::GossipReceived { from, bytes });
            }
            Event::Frame(frame) => self.handle_input(Input::Client { conn, frame }),
            Event::MessageBegun => self.handle_input(Input::ClientRequestBegun { conn }),
            Event::GoingAway | Event::UnsolicitedData => {}
            Event::MessagesWritten { stream, messages } => {
                let stream = StreamId(stream);
                self.handle_input(Input::MessagesForwarded {
                    conn,
                    stream,
                    messages,
                });
            }
        }
    }
}

/// Returns whether an error of `accept` affects only one connection or an interrupted call. accept(2) returns
/// network errors that were pending on the new connection; they are handled as if no connection had arrived.
fn affects_one_connection(problem: &io::Error) -> bool {
    use io::ErrorKind::*;
    let kinds = [
        ConnectionAborted,
        ConnectionReset,
        Interrupted,
        NetworkDown,
        NetworkUnreachable,
        HostUnreachable,
    ];
    kinds.contains(&problem.kind()) || problem.raw_os_error() == Some(EPROTO)
}
