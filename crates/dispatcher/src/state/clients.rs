//! Clients' connections: which there are, and what is decided about each ([`MultiplexedConnection`], [`Http1Connection`]).

use super::timers::{Due, Timers};
use super::*;
use crate::settings::Limits;
use cindercleat::client_connection::http1::{self, Http1Connection};
use cindercleat::client_connection::multiplexed::{
    ClientCommand, CloseReason, MultiplexedConnection, MultiplexedSettings,
};

#[derive(Debug)]
struct Row {
    caller: MultiplexedConnection,
    /// Where a connection carries one request at a time.
    single: Option<Http1Connection>,
    armed: Ms,
}

#[derive(Debug, Default)]
pub(super) struct ClientConnections {
    all: BTreeMap<ClientConnectionId, Row>,
}

impl ClientConnections {
    pub fn remove(&mut self, conn: ClientConnectionId) {
        self.all.remove(&conn);
    }

    pub fn all(&self) -> impl Iterator<Item = ClientConnectionId> + '_ {
        self.all.keys().copied()
    }

    /// Sets the timer for what falls due next, unless an earlier one is set: it looks again.
    fn arm(
        &mut self,
        conn: ClientConnectionId,
        settings: &MultiplexedSettings,
        limits: &Limits,
        timers: &mut Timers,
    ) {
        let Some(row) = self.all.get_mut(&conn) else {
            return;
        };
        let single = row
            .single
            .zip(limits.single)
            .and_then(|(row, l)| row.next_at(&l.clients));
        let at = row
            .caller
            .next_at(settings)
            .min(single.unwrap_or(f64::INFINITY));
        if at < row.armed {
            row.armed = at;
            timers.set(at, Due::Client(conn));
        }
    }
}

impl Dispatcher {
    pub(super) fn take_client_up(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.callers();
        let caller = MultiplexedConnection::new(&settings, self.now);
        let single = self
            .settings
            .limits
            .single
            .map(|_| Http1Connection::new(self.now));
        self.callers.all.insert(
            conn,
            Row {
                caller,
                single,
                armed: f64::INFINITY,
            },
        );
        self.arm_client(conn);
        if self.is_closed() {
            out.push(Output::LeaveClient { conn });
        }
    }

    fn arm_client(&mut self, conn: ClientConnectionId) {
        let settings = self.settings.callers();
        self.callers
            .arm(conn, &settings, &self.settings.limits, &mut self.timers);
    }

    pub(super) fn heard_client(&mut self, conn: ClientConnectionId) {
        if let Some(row) = self.callers.all.get_mut(&conn) {
            row.caller.heard(self.now);
        }
    }

    /// Part of a request is there.
    pub(super) fn take_partly(&mut self, conn: ClientConnectionId) {
        self.change_single(conn, Http1Connection::partly);
    }

    /// A request is there; gives how long ago its first part came.
    pub(super) fn client_asks(&mut self, conn: ClientConnectionId) -> Ms {
        let single = self
            .callers
            .all
            .get_mut(&conn)
            .and_then(|row| row.single.as_mut());
        single.map_or(0.0, |single| single.whole(self.now))
    }

    /// The one answer to a request is out.
    pub(super) fn client_answered(&mut self, conn: ClientConnectionId) {
        self.change_single(conn, Http1Connection::answered);
    }

    fn change_single(
        &mut self,
        conn: ClientConnectionId,
        change: impl FnOnce(&mut Http1Connection, Ms),
    ) {
        if let Some(single) = self
            .callers
            .all
            .get_mut(&conn)
            .and_then(|row| row.single.as_mut())
        {
            change(single, self.now);
            self.arm_client(conn);
        }
    }

    /// There may be no more connections of clients, and one more wants to come.
    pub(super) fn make_room(&mut self, out: &mut Vec<Output>) {
        let all = self
            .callers
            .all
            .iter()
            .filter_map(|(conn, row)| Some((*conn, row.single?)));
        let Some(conn) = http1::shed(all) else {
            return;
        };
        let row = self
            .callers
            .all
            .get_mut(&conn)
            .and_then(|row| row.single.as_mut());
        if let Some(why) = row.map(Http1Connection::give_up) {
            self.end_single(conn, why, out);
        }
    }

    fn end_single(
        &mut self,
        conn: ClientConnectionId,
        why: http1::CloseReason,
        out: &mut Vec<Output>,
    ) {
        match why {
            // What it asks as this is said is still answered.
            http1::CloseReason::Silent => out.push(Output::LeaveClient { conn }),
            http1::CloseReason::Slow => {
                let reason = "its request does not come".to_owned();
                out.push(Output::CloseClient { conn, reason });
            }
        }
    }

    pub(super) fn count_cancel(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.callers();
        if let Some(row) = self.callers.all.get_mut(&conn) {
            row.caller.cancelled(&settings, self.now);
            self.look_at_client(conn, out);
        }
    }

    /// What has fallen due for a client's connection.
    pub(super) fn look_at_client(&mut self, conn: ClientConnectionId, out: &mut Vec<Output>) {
        let settings = self.settings.callers();
        let Some(row) = self.callers.all.get_mut(&conn) else {
            return;
        };
        row.armed = f64::INFINITY;
        let single = row.single.as_mut().zip(self.settings.limits.single);
        let why = single.and_then(|(single, limits)| single.wanted(&limits.clients, self.now));
        match row.caller.wanted(&settings, self.now) {
            Some(ClientCommand::Ping) => {
                out.push(Output::ToClient {
                    conn,
                    frame: frame(0, Body::Ping(v1::Ping {})),
                });
            }
            Some(ClientCommand::Close(why)) => {
                let reason = match why {
                    CloseReason::Dead => "it does not answer",
                    CloseReason::Flood => "it calls off more than it may",
                };
                self.on_client_closed(conn, out);
                return out.push(Output::CloseClient {
                    conn,
                    reason: reason.to_owned(),
                });
            }
            None => {}
        }
        if let Some(why) = why {
            self.end_single(conn, why, out);
        }
        self.arm_client(conn);
    }
}
