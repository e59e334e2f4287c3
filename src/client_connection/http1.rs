//! Decisions about a client's connection that carries one request at a time: when it is closed because no request
//! comes, because a request arrives too slowly or because the connection is idle, and which connection is closed to
//! make room when their maximum is reached.
//!
//! Like [`connection_pool`](crate::connection_pool) it does no I/O and reads no clock. Instants that callers pass must
//! not go back.

use crate::interface::Ms;

/// Timeouts of a client's connection, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Settings {
    /// From the accept to the first byte of the first request.
    pub first_byte_timeout: Ms,
    /// From the first byte of a request to its last.
    pub request_read_timeout: Ms,
    /// From the accept to the last byte of the first request.
    pub first_request_timeout: Ms,
    /// From an answer to the first byte of the next request.
    pub idle_timeout: Ms,
}

/// What a connection without an open request waits for. In the order of eviction: the last is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Part of a request has come.
    ReadingRequest,
    /// The last request is answered; the next has not begun.
    Idle,
    /// No byte has come yet.
    New,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No request came in time. One that comes meanwhile is still answered.
    Idle,
    /// Its request did not arrive in full in time.
    SlowRequest,
}

/// The state of one client's connection.
#[derive(Clone, Copy, Debug)]
pub struct Http1Connection {
    /// `None` while a request is open.
    phase: Option<Phase>,
    phase_since: Ms,
    /// When the connection was accepted, until its first request has come in full.
    accepted_at: Option<Ms>,
    close_requested: bool,
}

impl Http1Connection {
    /// A connection that was accepted at `now`.
    pub fn new(now: Ms) -> Self {
        Http1Connection {
            phase: Some(Phase::New),
            phase_since: now,
            accepted_at: Some(now),
            close_requested: false,
        }
    }

    /// The first part of a request has come.
    pub fn request_begun(&mut self, now: Ms) {
        (self.phase, self.phase_since) = (Some(Phase::ReadingRequest), now);
    }

    /// A request has come in full. Returns how long ago its first part came, in milliseconds.
    pub fn request_received(&mut self, now: Ms) -> Ms {
        let took = if self.phase == Some(Phase::ReadingRequest) {
            now - self.phase_since
        } else {
            0.0
        };
        (self.phase, self.phase_since, self.accepted_at) = (None, now, None);
        took.max(0.0)
    }

    /// The open request has got its answer.
    pub fn response_sent(&mut self, now: Ms) {
        (self.phase, self.phase_since) = (Some(Phase::Idle), now);
    }

    /// The reason to close the connection if a timeout has passed by now; it is returned once.
    pub fn due_close(&mut self, settings: &Http1Settings, now: Ms) -> Option<CloseReason> {
        let (at, reason) = self.next_close(settings)?;
        self.close_requested = now >= at;
        self.close_requested.then_some(reason)
    }

    /// When [`due_close`](Self::due_close) is to be called next, if nothing happens before; `None` while a request is
    /// open.
    pub fn next_due_at(&self, settings: &Http1Settings) -> Option<Ms> {
        self.next_close(settings).map(|(at, _)| at)
    }

    fn next_close(&self, settings: &Http1Settings) -> Option<(Ms, CloseReason)> {
        let since = self.phase_since;
        let close = match self.phase? {
            Phase::New => (since + settings.first_byte_timeout, CloseReason::Idle),
            Phase::Idle => (since + settings.idle_timeout, CloseReason::Idle),
            Phase::ReadingRequest => (self.request_due_at(settings), CloseReason::SlowRequest),
        };
        (!self.close_requested).then_some(close)
    }

    /// Guards against a client that stops in the middle of a request: without a timeout it would occupy a connection
    /// and the bytes that have come for ever.
    fn request_due_at(&self, settings: &Http1Settings) -> Ms {
        let first_request_by = self.accepted_at.map_or(f64::INFINITY, |accepted| {
            accepted + settings.first_request_timeout
        });
        (self.phase_since + settings.request_read_timeout).min(first_request_by)
    }

    /// Marks the connection as one that makes room for another. Returns the reason to close it with.
    pub fn evict(&mut self) -> CloseReason {
        self.close_requested = true;
        if self.phase == Some(Phase::ReadingRequest) {
            CloseReason::SlowRequest
        } else {
            CloseReason::Idle
        }
    }
}

/// Which connection is closed to make room: one that has sent nothing yet, else an idle one, else one whose request
/// arrives slowly; among equals the one that has waited longest. Never one with an open request. Guards against
/// clients that open hundreds of connections and send nothing: clients that send requests still get a connection.
pub fn connection_to_evict<I>(
    connections: impl Iterator<Item = (I, Http1Connection)>,
) -> Option<I> {
    let candidates = connections
        .filter(|(_, connection)| !connection.close_requested)
        .filter_map(|(id, connection)| Some((id, connection.phase?, connection.phase_since)));
    candidates
        .max_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)))
        .map(|(id, ..)| id)
}
