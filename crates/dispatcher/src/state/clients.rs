//! Clients' connections: which there are, and how the decisions about each ([`MultiplexedConnection`],
//! [`Http1Connection`]) are carried out.

use super::timers::{Due, Timers};
use super::*;
use crate::settings::Limits;
use cindercleat::client_connection::http1::{self, Http1Connection};
use cindercleat::client_connection::multiplexed::{
    ClientCommand, CloseReason, MultiplexedConnection, MultiplexedSettings,
};

/// The state of one client's connection.
#[derive(Debug)]
struct ClientConnection {
    multiplexed: MultiplexedConnection,
    /// Set where a connection carries one request at a time.
    http1: Option<Http1Connection>,
    /// When its timer fires; infinity if none is set.
    timer_at: Ms,
}

impl ClientConnection {
    /// When a decision about the connection falls due next.
    fn next_due_at(&self, settings: &MultiplexedSettings, limits: &Limits) -> Ms {
        let http1_at = self
            .http1
            .zip(limits.http1)
            .and_then(|(http1, limits)| http1.next_due_at(&limits.client_timeouts));
        self.multiplexed
            .next_due_at(settings)
            .min(http1_at.unwrap_or(f64::INFINITY))
    }
}

/// All connections of clients.
#[derive(Debug, Default)]
pub(super) struct ClientConnections {
    all: BTreeMap<ClientConnectionId, ClientConnection>,
}

impl ClientConnections {
    pub fn remove(&mut self, conn: ClientConnectionId) {
        self.all.remove(&conn);
    }

    pub fn all(&self) -> impl Iterator<Item = ClientConnectionId> + '_ {
        self.all.keys().copied()
    }

    fn http1_mut(&mut self, conn: ClientConnectionId) -> Option<&mut Http1Connection> {
        self.all.get_mut(&conn)?.http1.as_mut()
    }

    /// The connection that is closed to make room for another.
    fn to_evict(&self) -> Option<ClientConnectionId> {
        let connections = self
            .all
            .iter()
            .filter_map(|(conn, connection)| Some((*conn, connection.http1?)));
        http1::connection_to_evict(connections)
    }

    /// Sets the timer for what falls due next, unless an earlier one is set: when that fires, this is called again.
    fn set_timer(
        &mut self,
        conn: ClientConnectionId,
        settings: &MultiplexedSettings,
        limits: &Limits,
        timers: &mut Timers,
    ) {
        let Some(connection) = self.all.get_mut(&conn) else {
            return;
        };
        let at = connection.next_due_at(settings, limits);
        if at < connection.timer_at {
            connection.timer_at = at;
            timers.set(at, Due::Client(conn));
        }
    }
}

impl Dispatcher {
    /// A client has connected.
    pub(super) fn take_client_up(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.multiplexed_settings();
        let is_http1 = self.settings.limits.http1.is_some();
        let connection = ClientConnection {
            multiplexed: MultiplexedConnection::new(&settings, self.now),
            http1: is_http1.then(|| Http1Connection::new(self.now)),
            timer_at: f64::INFINITY,
        };
        self.client_connections.all.insert(conn, connection);
        self.set_client_timer(conn);
        if self.is_closed() {
            out.push(Output::DrainClient { conn });
        }
    }

    fn set_client_timer(&mut self, conn: ClientConnectionId) {
        let settings = self.settings.multiplexed_settings();
        self.client_connections
            .set_timer(conn, &settings, &self.settings.limits, &mut self.timers);
    }

    /// Anything was received from a client.
    pub(super) fn client_message_received(&mut self, conn: ClientConnectionId) {
        if let Some(connection) = self.client_connections.all.get_mut(&conn) {
            connection.multiplexed.received(self.now);
        }
    }

    /// Part of a request has come.
    pub(super) fn take_partly(&mut self, conn: ClientConnectionId) {
        self.change_http1(conn, Http1Connection::request_begun);
    }

    /// A request has come in full. Returns how long ago its first part came, in milliseconds.
    pub(super) fn client_asks(&mut self, conn: ClientConnectionId) -> Ms {
        self.client_connections
            .http1_mut(conn)
            .map_or(0.0, |http1| http1.request_received(self.now))
    }

    /// The one answer to a request was sent.
    pub(super) fn client_answered(&mut self, conn: ClientConnectionId) {
        self.change_http1(conn, Http1Connection::response_sent);
    }

    fn change_http1(
        &mut self,
        conn: ClientConnectionId,
        change: impl FnOnce(&mut Http1Connection, Ms),
    ) {
        if let Some(http1) = self.client_connections.http1_mut(conn) {
            change(http1, self.now);
            self.set_client_timer(conn);
        }
    }

    /// The maximum of clients' connections is reached, and one more waits to be accepted.
    pub(super) fn make_room(&mut self, out: &mut Vec<Output>) {
        let Some(conn) = self.client_connections.to_evict() else {
            return;
        };
        if let Some(reason) = self
            .client_connections
            .http1_mut(conn)
            .map(Http1Connection::evict)
        {
            Self::close_http1(conn, reason, out);
        }
    }

    fn close_http1(conn: ClientConnectionId, reason: http1::CloseReason, out: &mut Vec<Output>) {
        match reason {
            // A request that comes at the same moment is still answered.
            http1::CloseReason::Idle => out.push(Output::DrainClient { conn }),
            http1::CloseReason::SlowRequest => {
                let reason = "its request does not come".to_owned();
                out.push(Output::CloseClient { conn, reason });
            }
        }
    }

    /// A client has cancelled a request.
    pub(super) fn count_cancel(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.multiplexed_settings();
        if let Some(connection) = self.client_connections.all.get_mut(&conn) {
            connection
                .multiplexed
                .request_cancelled(&settings, self.now);
            self.look_at_client(conn, out);
        }
    }

    /// Carries out what has fallen due for a client's connection.
    pub(super) fn look_at_client(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.multiplexed_settings();
        let Some(connection) = self.client_connections.all.get_mut(&conn) else {
            return;
        };
        connection.timer_at = f64::INFINITY;
        let http1_close = connection
            .http1
            .as_mut()
            .zip(self.settings.limits.http1)
            .and_then(|(http1, limits)| http1.due_close(&limits.client_timeouts, self.now));
        match connection.multiplexed.due_command(&settings, self.now) {
            Some(ClientCommand::Ping) => {
                let frame = frame(0, Body::Ping(v1::Ping {}));
                out.push(Output::ToClient { conn, frame });
            }
            Some(ClientCommand::Close(reason)) => {
                return self.close_multiplexed(conn, reason, out);
            }
            None => {}
        }
        if let Some(reason) = http1_close {
            Self::close_http1(conn, reason, out);
        }
        self.set_client_timer(conn);
    }

    fn close_multiplexed(
        &mut self,
        conn: ClientConnectionId,
        reason: CloseReason,
        out: &mut Vec<Output>,
    ) {
        let reason = match reason {
            CloseReason::PingTimeout => "it does not answer",
            CloseReason::TooManyCancels => "it calls off more than it may",
        };
        self.on_client_closed(conn, out);
        out.push(Output::CloseClient {
            conn,
            reason: reason.to_owned(),
        });
    }
}
