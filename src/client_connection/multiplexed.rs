//! Decides when a client whose connection carries many concurrent requests is pinged, and when its connection is
//! closed: if a ping is not answered, or if the client cancels too many requests.
//!
//! Like [`connection_pool`](crate::connection_pool), this module does no I/O and reads no clock. The instants that
//! callers pass must not decrease.

use crate::interface::Ms;

/// Timeouts in milliseconds, and the token bucket that limits cancellations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MultiplexedSettings {
    /// A client that has sent nothing for this long is pinged.
    pub keepalive_interval: Ms,
    /// A client that sends nothing for this long after a ping is disconnected.
    pub ping_timeout: Ms,
    /// Number of requests that a client may cancel at once: the size of the token bucket. A value below 1 counts as 1.
    pub cancel_burst: f64,
    /// Number of cancellations per second by which the bucket refills.
    pub cancels_per_second: f64,
}

/// What the owner of a client's connection has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// Send a ping to the client.
    Ping,
    /// Close the connection for the given reason.
    Close(CloseReason),
}

/// Why a client's connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A ping was not answered in time.
    PingTimeout,
    /// The client cancelled more requests than the settings allow.
    TooManyCancels,
}

/// When one client's connection was last heard from, and how many cancellations the client may still make.
#[derive(Clone, Copy, Debug)]
pub struct MultiplexedConnection {
    last_received_at: Ms,
    /// When the unanswered ping was sent; `None` if there is none.
    pinged_at: Option<Ms>,
    /// Cancellations that the client may still make, as of `bucket_at`; negative once it has made too many.
    cancels_left: f64,
    bucket_at: Ms,
    exceeded_cancel_limit: bool,
}

impl MultiplexedConnection {
    /// Creates the state of a connection that was accepted at `now`, with a full token bucket.
    pub fn new(settings: &MultiplexedSettings, now: Ms) -> Self {
        MultiplexedConnection {
            last_received_at: now,
            pinged_at: None,
            cancels_left: settings.cancel_burst.max(1.0),
            bucket_at: now,
            exceeded_cancel_limit: false,
        }
    }

    /// Records that any bytes were received from the client; an unanswered ping counts as answered.
    pub fn received(&mut self, now: Ms) {
        (self.last_received_at, self.pinged_at) = (now, None);
    }

    /// Records that the client cancelled a request before its answer. Guards against a client that opens and resets
    /// streams as fast as it can: each stream costs a decision and perhaps an attempt at an engine, and HTTP/2's limit
    /// of open streams does not bound their number.
    pub fn request_cancelled(&mut self, settings: &MultiplexedSettings, now: Ms) {
        let refill = (now - self.bucket_at).max(0.0) / 1000.0 * settings.cancels_per_second;
        self.cancels_left = (self.cancels_left + refill).min(settings.cancel_burst.max(1.0)) - 1.0;
        self.bucket_at = now;
        self.exceeded_cancel_limit |= self.cancels_left < 0.0;
    }

    /// Returns the command that is due at `now`, if any. A returned ping is recorded as sent.
    pub fn due_command(
        &mut self,
        settings: &MultiplexedSettings,
        now: Ms,
    ) -> Option<ClientCommand> {
        let (at, command) = self.next_command(settings);
        if now < at {
            return None;
        }
        if command == ClientCommand::Ping {
            self.pinged_at = Some(now);
        }
        Some(command)
    }

    /// When [`due_command`](Self::due_command) has to be called next, unless an event is recorded earlier.
    pub fn next_due_at(&self, settings: &MultiplexedSettings) -> Ms {
        self.next_command(settings).0
    }

    fn next_command(&self, settings: &MultiplexedSettings) -> (Ms, ClientCommand) {
        if self.exceeded_cancel_limit {
            let close = ClientCommand::Close(CloseReason::TooManyCancels);
            return (f64::NEG_INFINITY, close);
        }
        match self.pinged_at {
            // Guards against a client whose machine is gone: TCP reports nothing, and the connection and its streams
            // would be held forever.
            Some(pinged_at) => (
                pinged_at + settings.ping_timeout,
                ClientCommand::Close(CloseReason::PingTimeout),
            ),
            None => (
                self.last_received_at + settings.keepalive_interval,
                ClientCommand::Ping,
            ),
        }
    }
}
