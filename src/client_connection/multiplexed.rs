//! Decisions about a client's connection that carries many requests at once: when it is pinged, and when it is closed
//! because pings are not answered or because too many requests are cancelled on it.
//!
//! Like [`connection_pool`](crate::connection_pool) it does no I/O and reads no clock. Instants that callers pass must
//! not go back.

use crate::interface::Ms;

/// Timeouts in milliseconds, and the token bucket that limits cancellations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MultiplexedSettings {
    /// A client that has sent nothing for this long is pinged.
    pub keepalive_interval: Ms,
    /// A client that sends nothing for this long after a ping is disconnected.
    pub ping_timeout: Ms,
    /// Requests that a client may cancel at once.
    pub cancel_burst: f64,
    /// Cancellations that a client regains each second, up to the burst.
    pub cancels_per_second: f64,
}

/// What is to be done about a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// Send a ping.
    Ping,
    /// Close the connection.
    Close(CloseReason),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A ping was not answered in time.
    PingTimeout,
    /// More requests were cancelled than the settings allow.
    TooManyCancels,
}

/// The state of one client's connection.
#[derive(Clone, Copy, Debug)]
pub struct MultiplexedConnection {
    last_received_at: Ms,
    /// When the ping that is not answered yet was sent.
    pinged_at: Option<Ms>,
    /// Cancellations left in the bucket as of `bucket_at`; below zero: too many.
    cancels_left: f64,
    bucket_at: Ms,
    is_flooded: bool,
}

impl MultiplexedConnection {
    /// A connection that was accepted at `now`.
    pub fn new(settings: &MultiplexedSettings, now: Ms) -> Self {
        MultiplexedConnection {
            last_received_at: now,
            pinged_at: None,
            cancels_left: settings.cancel_burst.max(1.0),
            bucket_at: now,
            is_flooded: false,
        }
    }

    /// Anything was received from the client.
    pub fn received(&mut self, now: Ms) {
        (self.last_received_at, self.pinged_at) = (now, None);
    }

    /// The client cancelled a request before it was answered. Guards against a client that opens and resets streams as
    /// fast as it can: each costs a decision and perhaps an attempt at an engine, and HTTP/2's limit of open streams
    /// does not bound how many.
    pub fn request_cancelled(&mut self, settings: &MultiplexedSettings, now: Ms) {
        let regained = (now - self.bucket_at).max(0.0) / 1000.0 * settings.cancels_per_second;
        self.cancels_left =
            (self.cancels_left + regained).min(settings.cancel_burst.max(1.0)) - 1.0;
        self.bucket_at = now;
        self.is_flooded |= self.cancels_left < 0.0;
    }

    /// What is to be done by now. A ping that is returned counts as sent.
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

    /// When [`due_command`](Self::due_command) is to be called next, if nothing happens before.
    pub fn next_due_at(&self, settings: &MultiplexedSettings) -> Ms {
        self.next_command(settings).0
    }

    fn next_command(&self, settings: &MultiplexedSettings) -> (Ms, ClientCommand) {
        if self.is_flooded {
            let close = ClientCommand::Close(CloseReason::TooManyCancels);
            return (f64::NEG_INFINITY, close);
        }
        match self.pinged_at {
            // Guards against a client whose machine is gone: TCP reports nothing, and the connection and its streams
            // would be held for ever.
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
