//! Decides when to close a client's connection that carries one request at a time: if no request arrives, if a request
//! arrives too slowly, if the connection is idle, or to make room for another connection when their maximum number is
//! reached.
//!
//! Like [`connection_pool`](crate::connection_pool), this module does no I/O and reads no clock. The instants that
//! callers pass must not decrease.

use crate::interface::Ms;

/// Timeouts after which a client's connection is closed, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Settings {
    /// Maximum time from the accept to the first byte of the first request.
    pub first_byte_timeout: Ms,
    /// Maximum time from the first byte of a request to its last.
    pub request_read_timeout: Ms,
    /// Maximum time from the accept to the last byte of the first request.
    pub first_request_timeout: Ms,
    /// Maximum time from an answer to the first byte of the next request.
    pub idle_timeout: Ms,
}

/// What a connection without an open request waits for. The variants are in reverse order of eviction: `New`
/// connections are evicted first, `ReadingRequest` connections last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// A request was received in part; the rest is awaited.
    ReadingRequest,
    /// The last request was answered, and no byte of the next was received yet.
    Idle,
    /// No byte was received since the connection was accepted.
    New,
}

/// Why a client's connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No request arrived in time. A request that arrives before the connection is closed is still answered.
    Idle,
    /// A request was received in part, and the rest did not arrive in time.
    SlowRequest,
    /// A request was received in part, and another connection needs the place of this one.
    Evicted,
}

/// What one client's connection waits for, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Http1Connection {
    /// `None` while a request is open: received in full and not yet answered.
    phase: Option<Phase>,
    /// When the current phase began; while a request is open, when that request was received in full.
    phase_since: Ms,
    /// When the connection was accepted; `None` once its first request has arrived in full.
    accepted_at: Option<Ms>,
    /// Whether the caller was already told to close the connection. Unset by a request that was received nevertheless.
    close_requested: bool,
}

impl Http1Connection {
    /// Creates the state of a connection that was accepted at `now`.
    pub fn new(now: Ms) -> Self {
        Http1Connection {
            phase: Some(Phase::New),
            phase_since: now,
            accepted_at: Some(now),
            close_requested: false,
        }
    }

    /// Records that the first part of a request was received.
    pub fn request_begun(&mut self, now: Ms) {
        (self.phase, self.phase_since) = (Some(Phase::ReadingRequest), now);
    }

    /// Records that a request was received in full. Returns the milliseconds since its first part was received. If a
    /// close was requested before, the request has arrived first, and the connection continues.
    pub fn request_received(&mut self, now: Ms) -> Ms {
        let read_time = if self.phase == Some(Phase::ReadingRequest) {
            now - self.phase_since
        } else {
            0.0
        };
        (self.phase, self.phase_since, self.accepted_at) = (None, now, None);
        self.close_requested = false;
        read_time.max(0.0)
    }

    /// Records that the open request was answered, so that the connection is idle.
    pub fn response_sent(&mut self, now: Ms) {
        (self.phase, self.phase_since) = (Some(Phase::Idle), now);
    }

    /// The reason to close the connection if a timeout has passed at `now`. It is returned only once.
    pub fn due_close(&mut self, settings: &Http1Settings, now: Ms) -> Option<CloseReason> {
        let (at, reason) = self.next_close(settings)?;
        self.close_requested = now >= at;
        self.close_requested.then_some(reason)
    }

    /// When [`due_close`](Self::due_close) has to be called next if no event comes before; `None` while a request is
    /// open.
    pub fn next_due_at(&self, settings: &Http1Settings) -> Option<Ms> {
        self.next_close(settings).map(|(at, _)| at)
    }

    fn next_close(&self, settings: &Http1Settings) -> Option<(Ms, CloseReason)> {
        let since = self.phase_since;
        let close = match self.phase? {
            Phase::New => (since + settings.first_byte_timeout, CloseReason::Idle),
            Phase::Idle => (since + settings.idle_timeout, CloseReason::Idle),
            Phase::ReadingRequest => (self.request_deadline(settings), CloseReason::SlowRequest),
        };
        (!self.close_requested).then_some(close)
    }

    /// When a request that is being received has to be complete. Guards against a client that stops in the middle of a
    /// request: without a timeout the connection and the bytes received so far would be held forever.
    fn request_deadline(&self, settings: &Http1Settings) -> Ms {
        let first_request_by = self.accepted_at.map_or(f64::INFINITY, |accepted| {
            accepted + settings.first_request_timeout
        });
        (self.phase_since + settings.request_read_timeout).min(first_request_by)
    }

    /// Marks the connection as one that is closed to make room for another one. Returns the reason for the close.
    pub fn evict(&mut self) -> CloseReason {
        self.close_requested = true;
        if self.phase == Some(Phase::ReadingRequest) {
            CloseReason::Evicted
        } else {
            CloseReason::Idle
        }
    }
}

/// Chooses the connection that is closed to make room for another one: one that has sent nothing yet, else an idle one,
/// else one with a partly received request. Among equals, the one that has been in this state longest is chosen.
/// Returns `None` if every connection has an open request or is already being closed. A connection with an open request
/// is never chosen. Guards against clients that open hundreds of connections and send nothing: other clients can still
/// connect.
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
