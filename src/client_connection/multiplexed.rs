//! What a dispatcher decides about the connection of one client: when it is asked whether it is still there, and
//! when it is given up, for want of an answer or for calling requests off faster than they can be borne.
//!
//! Like [`channels`](crate::channels) it does no I/O and reads no clock; instants do not go back.

use crate::interface::Ms;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MultiplexedSettings {
    /// A client that said nothing for this long is asked, and given up if it does not answer.
    pub quiet: Ms,
    pub ping_timeout: Ms,
    /// Tasks that it may call off at once, and how many more each second.
    pub cancels: f64,
    pub cancels_per_s: f64,
}

/// What is to be done about a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCommand {
    Ping,
    Close(CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It does not answer.
    Dead,
    /// It calls off more than it may.
    Flood,
}

/// One client's connection.
#[derive(Clone, Copy, Debug)]
pub struct MultiplexedConnection {
    heard: Ms,
    pinged: Option<Ms>,
    /// Cancels that it has left, as of an instant.
    cancels: f64,
    counted: Ms,
    flooded: bool,
}

impl MultiplexedConnection {
    pub fn new(settings: &MultiplexedSettings, now: Ms) -> Self {
        let cancels = settings.cancels.max(1.0);
        MultiplexedConnection {
            heard: now,
            pinged: None,
            cancels,
            counted: now,
            flooded: false,
        }
    }

    /// Anything came from it.
    pub fn heard(&mut self, now: Ms) {
        (self.heard, self.pinged) = (now, None);
    }

    /// It called a request off before that was answered. Guards against a client that opens and resets streams as
    /// fast as it can: each costs a decision and perhaps an attempt, and nothing but this bounds how many.
    pub fn cancelled(&mut self, settings: &MultiplexedSettings, now: Ms) {
        let more = (now - self.counted).max(0.0) / 1000.0 * settings.cancels_per_s;
        self.cancels = (self.cancels + more).min(settings.cancels.max(1.0)) - 1.0;
        self.counted = now;
        self.flooded |= self.cancels < 0.0;
    }

    /// What is to be done by now. A ping that is asked for counts as sent.
    pub fn wanted(&mut self, settings: &MultiplexedSettings, now: Ms) -> Option<ClientCommand> {
        let (at, what) = self.due(settings);
        if now < at {
            return None;
        }
        if what == ClientCommand::Ping {
            self.pinged = Some(now);
        }
        Some(what)
    }

    /// When `wanted` wants to be asked next, if nothing happens before.
    pub fn next_at(&self, settings: &MultiplexedSettings) -> Ms {
        self.due(settings).0
    }

    fn due(&self, settings: &MultiplexedSettings) -> (Ms, ClientCommand) {
        match self.pinged {
            _ if self.flooded => (f64::NEG_INFINITY, ClientCommand::Close(CloseReason::Flood)),
            // Guards against a client whose machine is gone: its connection never breaks by itself, and its
            // place and its streams would be kept for nobody.
            Some(at) => (
                at + settings.ping_timeout,
                ClientCommand::Close(CloseReason::Dead),
            ),
            None => (self.heard + settings.quiet, ClientCommand::Ping),
        }
    }
}
