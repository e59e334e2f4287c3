//! Connections that are accepted: clients, and other dispatchers that send gossip.

use super::Driver;
use crate::state::{ClientConnectionId, Input, StreamId};
use cindercleat::interface::{DispatcherId, Ms};
use cindercleat_net::{Clock, Listener, Transport};
use cindercleat_protocol::session::{Event, Session, Wire};
use cindercleat_protocol::{Body, Frame};
use std::io;
use tokio::task::{spawn_local, yield_now};

/// How long to wait before the next accept when one has failed for lack of resources.
const ACCEPT_RETRY_DELAY_MS: Ms = 20.0;

/// Linux's number of EPROTO, which has no [`io::ErrorKind`].
const EPROTO: i32 = 71;

/// Streams that a client may have open on one connection.
const MAX_CALLS_PER_CLIENT: u32 = 1024;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Accepts connections until the task is aborted.
    pub(super) async fn accept_connections(self, mut listener: T::Listener) {
        let mut is_short_of_resources = false;
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    is_short_of_resources = false;
                    self.admit(stream).await;
                }
                Err(problem) if concerns_one_connection(&problem) => {
                    tracing::debug!(%problem, "connection not taken");
                    yield_now().await;
                }
                // Too many files are open, or memory is short. If the next accept fails as well, an idle client's
                // connection is closed to make room; not for a single failure, as its client may be about to send.
                Err(problem) => {
                    tracing::warn!(%problem, "no connection can be taken");
                    if is_short_of_resources {
                        self.input(Input::ClientsFull);
                    }
                    is_short_of_resources = true;
                    let retry_at = self.shared.clock.now() + ACCEPT_RETRY_DELAY_MS;
                    self.shared.clock.sleep_until(retry_at).await;
                }
            }
        }
    }

    /// Serves an accepted connection, or drops it if there are too many.
    async fn admit(&self, stream: T::Stream) {
        if self.wait_for_capacity().await {
            self.shared.greeting.set(self.shared.greeting.get() + 1);
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    /// Whether one more connection may be served. Guards against more connections than memory can hold.
    ///
    /// Where a connection carries one request at a time, a connection beyond the maximum waits, unread, until another
    /// has ended; those behind it wait in the system's queue. Closing it could lose a request that its client has
    /// already sent. Elsewhere it is closed: its client was not greeted, so none of its requests has run.
    async fn wait_for_capacity(&self) -> bool {
        let limits = &self.shared.settings.limits;
        loop {
            let changed = self.shared.client_capacity_changed.notified();
            let in_use = self.client_connections() + self.shared.greeting.get();
            if in_use < limits.max_client_connections {
                return true;
            }
            if limits.http1.is_none() {
                return false;
            }
            self.input(Input::ClientsFull);
            changed.await;
        }
    }

    /// Runs one accepted connection: the greeting, then its messages until it ends.
    async fn serve_connection(self, stream: T::Stream) {
        let greeted = self.greet(stream).await;
        self.shared.greeting.set(self.shared.greeting.get() - 1);
        let session = match greeted {
            Ok(session) => session,
            Err(reason) => {
                self.shared.client_capacity_changed.notify_waiters();
                return tracing::debug!(reason, "connection refused");
            }
        };
        let Session {
            mut events, out, ..
        } = session;
        let conn = ClientConnectionId(self.shared.last_client_connection.get() + 1);
        self.shared.last_client_connection.set(conn.0);
        self.shared.clients.borrow_mut().insert(conn, out);
        self.input(Input::ClientUp { conn });
        // From now on it can be closed to make room for another.
        self.shared.client_capacity_changed.notify_waiters();
        while let Some(event) = events.recv().await {
            self.client_event(conn, event);
        }
        self.shared.clients.borrow_mut().remove(&conn);
        self.input(Input::ClientClosed { conn });
        self.shared.client_capacity_changed.notify_waiters();
    }

    async fn greet(&self, stream: T::Stream) -> Result<Session<W::Out>, String> {
        let until = self.shared.clock.now() + self.shared.settings.limits.greeting_timeout;
        let setup = self.session_setup("", MAX_CALLS_PER_CLIENT);
        tokio::select! { biased;
            greeted = self.shared.wire.serve(stream, setup) => greeted,
            () = self.shared.clock.sleep_until(until) => Err("nothing was asked in time".to_owned()),
        }
    }

    fn client_event(&self, conn: ClientConnectionId, event: Event) {
        match event {
            Event::Frame(Frame {
                body: Some(Body::Gossip(gossip)),
                ..
            }) => {
                let (from, bytes) = (DispatcherId(gossip.from), gossip.bytes.to_vec());
                self.input(Input::GossipReceived { from, bytes });
            }
            Event::Frame(frame) => self.input(Input::Client { conn, frame }),
            Event::Partly => self.input(Input::ClientPartly { conn }),
            Event::GoingAway => {}
            Event::Flushed { stream, messages } => {
                let stream = StreamId(stream);
                self.input(Input::Flushed {
                    conn,
                    stream,
                    messages,
                });
            }
        }
    }
}

/// Whether an error of accept concerns only one connection, or an interrupted call. accept(2) returns network errors
/// that were pending on the new connection, which are to be treated as if no connection had come.
fn concerns_one_connection(problem: &io::Error) -> bool {
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
