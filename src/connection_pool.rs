//! What a dispatcher decides about its long-lived channels to one engine: which of them a new stream takes,
//! how many there are, when one is connected (also ahead of need), looked after, or given up.
//!
//! Callers make one [`ConnectionPool`] an engine, tell it what happens with instants that do not go back, ask
//! [`ConnectionPool::place`] for each stream, and do what [`ConnectionPool::wanted`] says whenever [`ConnectionPool::next_at`] has
//! come. It does no I/O and reads no clock; chance comes from the seed.

use crate::interface::Ms;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// A channel, as the caller numbers it; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Limits and times; a number of streams or channels of 0 counts as 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSettings {
    /// Streams on one channel, unless the engine allows fewer.
    pub streams: usize,
    /// ConnectionPool that take streams at once.
    pub most: usize,
    pub connect_timeout: Ms,
    /// A channel without streams is closed after this long.
    pub idle: Ms,
    /// A channel with streams that said nothing for this long is asked, and given up if it does not answer.
    pub quiet: Ms,
    pub ping_timeout: Ms,
    /// After a failed connect: the wait before the next, doubled each time up to the most.
    pub again_first: Ms,
    pub again_most: Ms,
}

/// One more channel is connected ahead when less than this share of a channel's streams is free in all.
const SPARE: f64 = 0.2;

/// An engine that closes right after an answer has done so by this share of the connect timeout, as far as one
/// can wait to see: channels that rest for less are taken last. Those that rest long may be closed by their
/// engine as idle.
const SETTLE: f64 = 0.02;

/// Where a stream goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On this channel, which may still be connecting.
    On(ConnectionId),
    /// On a new one: connect it, and tell by [`ConnectionPool::connecting`].
    Connect,
    /// Nowhere; it has not run.
    Nowhere(PlacementError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// Every channel that there may be carries all that it may.
    AllTaken,
    /// Connects failed lately; the next is not tried yet.
    NotYet,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolCommand {
    /// Connect one more, ahead of need.
    Connect,
    Ping(ConnectionId),
    Close(ConnectionId, CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It did not come up in time; nothing was sent on it.
    ConnectTimeout,
    Idle,
    /// It does not answer: its streams are broken, and what they carried may have run.
    Dead,
    /// The engine goes away, and the last stream has ended.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Connecting {
        since: Ms,
    },
    Up,
    /// The engine goes away: it carries what it has and takes nothing new.
    Leaving,
}

#[derive(Clone, Debug)]
struct Channel {
    phase: Phase,
    streams: usize,
    limit: usize,
    idle_since: Ms,
    heard: Ms,
    pinged: Option<Ms>,
}

/// The channels to one engine.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    rng: WyRand,
    all: BTreeMap<ConnectionId, Channel>,
    /// Connects that failed in a row, and when the next may be tried.
    failures: u32,
    again_at: Ms,
}

impl ConnectionPool {
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        ConnectionPool {
            settings,
            rng: WyRand::new_seed(seed),
            all: BTreeMap::new(),
            failures: 0,
            again_at: f64::NEG_INFINITY,
        }
    }

    /// Where the next stream goes: on the fullest channel that is up and has room, so that the others can fall
    /// idle, among equals on the one that rests since lately, if not since just now; else on one that is
    /// connecting; else on a new one, if there may be one.
    pub fn place(&self, now: Ms) -> Placement {
        let room =
            |(_, c): &(&ConnectionId, &Channel)| c.phase != Phase::Leaving && c.streams < c.limit;
        let settled_at = now - SETTLE * self.settings.connect_timeout;
        let rank = |c: &Channel| (c.phase == Phase::Up, c.streams, c.idle_since <= settled_at);
        let order = |a: &(&ConnectionId, &Channel), b: &(&ConnectionId, &Channel)| {
            let rests = a.1.idle_since.total_cmp(&b.1.idle_since);
            rank(a.1).cmp(&rank(b.1)).then(rests).then(b.0.cmp(a.0))
        };
        match self.all.iter().filter(room).max_by(order) {
            Some((id, _)) => Placement::On(*id),
            None if self.taking() >= self.settings.most.max(1) => {
                Placement::Nowhere(PlacementError::AllTaken)
            }
            // Guards against an engine that is down being dialled by every request that it is chosen for.
            None if now < self.again_at => Placement::Nowhere(PlacementError::NotYet),
            None => Placement::Connect,
        }
    }

    /// A connect has begun.
    pub fn connecting(&mut self, id: ConnectionId, now: Ms) {
        let channel = Channel {
            phase: Phase::Connecting { since: now },
            streams: 0,
            limit: self.settings.streams.max(1),
            idle_since: now,
            heard: now,
            pinged: None,
        };
        self.all.insert(id, channel);
    }

    /// It is up. `limit`: the streams that the engine allows on it, if it says.
    pub fn up(&mut self, id: ConnectionId, limit: Option<usize>, now: Ms) {
        let Some(channel) = self.all.get_mut(&id) else {
            return;
        };
        (channel.phase, channel.heard, channel.idle_since) = (Phase::Up, now, now);
        channel.limit = limit.map_or(channel.limit, |limit| limit.min(channel.limit));
        self.renewed();
    }

    /// It is over, or never came up. After a failed connect the next waits, longer each time and by chance, so
    /// that dispatchers do not come back to an engine that restarts all at once.
    pub fn closed(&mut self, id: ConnectionId, now: Ms) {
        let Some(channel) = self.all.remove(&id) else {
            return;
        };
        if let Phase::Connecting { .. } = channel.phase {
            let doubled = self.settings.again_first * f64::from(self.failures.min(30)).exp2();
            let chance: f64 = self.rng.generate();
            self.again_at = now + doubled.min(self.settings.again_most) * (0.5 + chance);
            self.failures += 1;
        }
    }

    /// There is reason to try again at once: a channel is up, or the list tells of a new process.
    pub fn renewed(&mut self) {
        (self.failures, self.again_at) = (0, f64::NEG_INFINITY);
    }

    /// The engine said that it takes no more on this channel.
    pub fn going_away(&mut self, id: ConnectionId) {
        if let Some(channel) = self.all.get_mut(&id) {
            channel.phase = Phase::Leaving;
        }
    }

    /// Anything came over it.
    pub fn heard(&mut self, id: ConnectionId, now: Ms) {
        if let Some(channel) = self.all.get_mut(&id) {
            (channel.heard, channel.pinged) = (now, None);
        }
    }

    pub fn opened(&mut self, id: ConnectionId, now: Ms) {
        if let Some(channel) = self.all.get_mut(&id) {
            if channel.streams == 0 {
                channel.heard = channel.heard.max(now);
            }
            channel.streams += 1;
        }
    }

    pub fn ended(&mut self, id: ConnectionId, now: Ms) {
        if let Some(channel) = self.all.get_mut(&id) {
            channel.streams = channel.streams.saturating_sub(1);
            channel.idle_since = now;
        }
    }

    /// What is to be done by now; `ready`: whether the engine may get anything new. The caller tells of each
    /// close by [`closed`](ConnectionPool::closed) and of each connect by [`connecting`](ConnectionPool::connecting).
    pub fn wanted(&mut self, now: Ms, ready: bool) -> Vec<PoolCommand> {
        let mut wanted = Vec::new();
        for (&id, channel) in &mut self.all {
            let Some((at, what)) = channel.due(id, &self.settings) else {
                continue;
            };
            if now >= at {
                if let PoolCommand::Ping(_) = what {
                    channel.pinged = Some(now);
                }
                wanted.push(what);
            }
        }
        if ready && self.wants_more(now) {
            wanted.push(PoolCommand::Connect);
        }
        wanted
    }

    /// Whether one more is to be connected ahead of need.
    pub fn wants_more(&self, now: Ms) -> bool {
        now >= self.again_at && self.short_of_room()
    }

    /// When `wanted` wants to be asked next, if nothing happens before. Connecting ahead follows from what
    /// happens, so it is asked for then.
    pub fn next_at(&self) -> Option<Ms> {
        let due = self
            .all
            .iter()
            .filter_map(|(id, channel)| channel.due(*id, &self.settings));
        due.map(|(at, _)| at)
            .filter(|at| at.is_finite())
            .min_by(f64::total_cmp)
    }

    /// Whether it takes streams, or will.
    pub fn takes(&self, id: ConnectionId) -> bool {
        self.all.get(&id).is_some_and(|c| c.phase != Phase::Leaving)
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// ConnectionPool that take streams, or will.
    fn taking(&self) -> usize {
        self.all
            .values()
            .filter(|c| c.phase != Phase::Leaving)
            .count()
    }

    /// Whether channels in use leave too little room for what comes while another connects.
    fn short_of_room(&self) -> bool {
        let taking = || self.all.values().filter(|c| c.phase != Phase::Leaving);
        let free: usize = taking().map(|c| c.limit.saturating_sub(c.streams)).sum();
        let connecting = taking().any(|c| c.phase != Phase::Up);
        let used = self.all.values().any(|c| c.streams > 0);
        let spare = SPARE * self.settings.streams.max(1) as f64;
        // ConnectionPool for one stream each are never ahead of need: every request at a peak would cost the engine one.
        let shared = self.settings.streams > 1;
        shared
            && used
            && !connecting
            && self.taking() < self.settings.most.max(1)
            && (free as f64) < spare
    }
}

impl Channel {
    /// What falls due for it next, and when.
    fn due(&self, id: ConnectionId, settings: &PoolSettings) -> Option<(Ms, PoolCommand)> {
        let due = match (self.phase, self.streams, self.pinged) {
            (Phase::Connecting { since }, ..) => (
                since + settings.connect_timeout,
                PoolCommand::Close(id, CloseReason::ConnectTimeout),
            ),
            (Phase::Leaving, 0, _) => (self.idle_since, PoolCommand::Close(id, CloseReason::Left)),
            (Phase::Up, 0, _) => (
                self.idle_since + settings.idle,
                PoolCommand::Close(id, CloseReason::Idle),
            ),
            // Guards against a peer that is gone without a word: its connection never breaks by itself.
            (_, _, Some(at)) => (
                at + settings.ping_timeout,
                PoolCommand::Close(id, CloseReason::Dead),
            ),
            (_, _, None) => (self.heard + settings.quiet, PoolCommand::Ping(id)),
        };
        Some(due)
    }
}
