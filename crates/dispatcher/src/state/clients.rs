//! The records of client connections. [`MultiplexedConnection`] and [`Http1Connection`] decide when a connection is
//! pinged, drained or closed; this module carries out their decisions.

use super::timers::{TimerKind, Timers};
use super::*;
use crate::settings::Limits;
use cindercleat::client_connection::http1::{self, Http1Connection};
use cindercleat::client_connection::multiplexed::{
    ClientCommand, CloseReason, MultiplexedConnection, MultiplexedSettings,
};
use cindercleat_protocol::session::RefusalCause;

/// The state of one client connection, from which its pings and its close are decided.
#[derive(Debug)]
struct ClientConnection {
    multiplexed: MultiplexedConnection,
    /// `None` if the connection is multiplexed.
    http1: Option<Http1Connection>,
    /// When the connection's timer fires, in milliseconds; infinity if none is set.
    timer_at: Ms,
}

impl ClientConnection {
    /// When the next action on the connection is due, in milliseconds.
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

/// All established client connections, by id.
#[derive(Debug, Default)]
pub(super) struct ClientConnections {
    all: BTreeMap<ClientConnectionId, ClientConnection>,
}

impl ClientConnections {
    pub fn remove(&mut self, conn: ClientConnectionId) {
        self.all.remove(&conn);
    }

    /// The ids of all client connections.
    pub fn ids(&self) -> impl Iterator<Item = ClientConnectionId> + '_ {
        self.all.keys().copied()
    }

    fn http1_mut(&mut self, conn: ClientConnectionId) -> Option<&mut Http1Connection> {
        self.all.get_mut(&conn)?.http1.as_mut()
    }

    /// The connection to close when the maximum number of connections is reached; `None` if all are busy.
    fn connection_to_evict(&self) -> Option<ClientConnectionId> {
        let connections = self
            .all
            .iter()
            .filter_map(|(conn, connection)| Some((*conn, connection.http1?)));
        http1::connection_to_evict(connections)
    }

    /// Sets the timer for the next action on the connection. If an earlier timer is set, this does nothing, because
    /// the next timer is set when the earlier one fires.
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
            timers.set(at, TimerKind::Client(conn));
        }
    }
}

impl Dispatcher {
    /// Handles a client that has connected. If a stop already rejects new requests, the client is asked to start no
    /// requests on the connection.
    pub(super) fn on_client_connected(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.multiplexed_settings();
        let is_http1 = self.settings.limits.http1.is_some();
        let connection = ClientConnection {
            multiplexed: MultiplexedConnection::new(&settings, self.now),
            http1: is_http1.then(|| Http1Connection::new(self.now)),
            timer_at: f64::INFINITY,
        };
        self.client_connections.all.insert(conn, connection);
        self.set_client_timer(conn);
        if self.rejects_new_requests() {
            out.push(Output::DrainClient { conn });
        }
    }

    fn set_client_timer(&mut self, conn: ClientConnectionId) {
        let settings = self.settings.multiplexed_settings();
        self.client_connections
            .set_timer(conn, &settings, &self.settings.limits, &mut self.timers);
    }

    /// Records that a message was received from a client, which proves that the client is alive.
    pub(super) fn on_client_message_received(&mut self, conn: ClientConnectionId) {
        if let Some(connection) = self.client_connections.all.get_mut(&conn) {
            connection.multiplexed.received(self.now);
        }
    }

    /// Records that the first part of a request was received, from which the timeout for receiving the rest is
    /// counted.
    pub(super) fn on_client_request_begun(&mut self, conn: ClientConnectionId) {
        self.update_http1(conn, Http1Connection::request_begun);
    }

    /// Records that a request was received completely. Returns how long its reception took, in milliseconds; 0 if
    /// the connection is multiplexed.
    pub(super) fn on_client_request_received(&mut self, conn: ClientConnectionId) -> Ms {
        self.client_connections
            .http1_mut(conn)
            .map_or(0.0, |http1| http1.request_received(self.now))
    }

    /// Records that the answer to a request was sent, so that the connection may be idle from now on.
    pub(super) fn on_client_response_sent(&mut self, conn: ClientConnectionId) {
        self.update_http1(conn, Http1Connection::response_sent);
    }

    fn update_http1(
        &mut self,
        conn: ClientConnectionId,
        change: impl FnOnce(&mut Http1Connection, Ms),
    ) {
        if let Some(http1) = self.client_connections.http1_mut(conn) {
            change(http1, self.now);
            self.set_client_timer(conn);
        }
    }

    /// Closes the connection that [`http1::connection_to_evict`] selects, because another client waits to be
    /// accepted.
    pub(super) fn evict_client(&mut self, out: &mut Vec<Output>) {
        let Some(conn) = self.client_connections.connection_to_evict() else {
            return;
        };
        if let Some(reason) = self
            .client_connections
            .http1_mut(conn)
            .map(Http1Connection::evict)
        {
            Self::close_http1_connection(conn, reason, out);
        }
    }

    fn close_http1_connection(
        conn: ClientConnectionId,
        reason: http1::CloseReason,
        out: &mut Vec<Output>,
    ) {
        match reason {
            // The session may have read the rest of a request that is not reported here yet. So an idle connection is
            // drained and a partial request refused; neither has an effect on a request that has arrived.
            http1::CloseReason::Idle => out.push(Output::DrainClient { conn }),
            http1::CloseReason::SlowRequest => out.push(Output::RefusePartialRequest {
                conn,
                cause: RefusalCause::TimedOut,
            }),
            http1::CloseReason::Evicted => out.push(Output::RefusePartialRequest {
                conn,
                cause: RefusalCause::MakeRoom,
            }),
        }
    }

    /// Counts a cancelled request against the cancellation limit of the client connection, which is closed if it
    /// exceeds the limit.
    pub(super) fn count_cancel(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.multiplexed_settings();
        if let Some(connection) = self.client_connections.all.get_mut(&conn) {
            connection
                .multiplexed
                .request_cancelled(&settings, self.now);
            self.run_client_connection(conn, out);
        }
    }

    /// Carries out the actions that are due for a client connection: a ping, a drain or a close.
    pub(super) fn run_client_connection(
        &mut self,
        conn: ClientConnectionId,
        out: &mut Vec<Output>,
    ) {
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
                return self.close_multiplexed_connection(conn, reason, out);
            }
            None => {}
        }
        if let Some(reason) = http1_close {
            Self::close_http1_connection(conn, reason, out);
        }
        self.set_client_timer(conn);
    }

    fn close_multiplexed_connection(
        &mut self,
        conn: ClientConnectionId,
        reason: CloseReason,
        out: &mut Vec<Output>,
    ) {
        let reason = match reason {
            CloseReason::PingTimeout => "no answer to a ping",
            CloseReason::TooManyCancels => "too many requests cancelled",
        };
        self.on_client_closed(conn, out);
        out.push(Output::CloseClient {
            conn,
            reason: reason.to_owned(),
        });
    }
}
