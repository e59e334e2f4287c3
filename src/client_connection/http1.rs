//! What a dispatcher decides about a client's connection that carries one request at a time: when it is closed
//! for saying nothing, for being slow with a request, or for resting too long, and which one makes room when
//! there may be no more.
//!
//! Like [`channels`](crate::channels) it does no I/O and reads no clock; instants do not go back.

use crate::interface::Ms;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Settings {
    /// A connection that has asked for nothing yet is closed after this long.
    pub first: Ms,
    /// A request must be whole this long after its first byte.
    pub whole: Ms,
    /// And the first one on a connection this long after the connection came.
    pub first_whole: Ms,
    /// A connection that rests between requests is closed after this long.
    pub rest: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Part of a request is there.
    Partly,
    /// Between requests.
    Resting,
    /// Nothing was asked yet.
    New,
}

/// CloseReason a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It asks for nothing. What it asks meanwhile is still answered.
    Silent,
    /// Its request does not come.
    Slow,
}

/// One client's connection.
#[derive(Clone, Copy, Debug)]
pub struct Http1Connection {
    /// None while its request is open.
    phase: Option<Phase>,
    since: Ms,
    /// When the connection came, until its first request is whole.
    came: Option<Ms>,
    told: bool,
}

impl Http1Connection {
    pub fn new(now: Ms) -> Self {
        Http1Connection {
            phase: Some(Phase::New),
            since: now,
            came: Some(now),
            told: false,
        }
    }

    /// The first part of a request is there.
    pub fn partly(&mut self, now: Ms) {
        (self.phase, self.since) = (Some(Phase::Partly), now);
    }

    /// A request is there, whole; gives how long ago its first part came.
    pub fn whole(&mut self, now: Ms) -> Ms {
        let took = if self.phase == Some(Phase::Partly) {
            now - self.since
        } else {
            0.0
        };
        (self.phase, self.since, self.came) = (None, now, None);
        took.max(0.0)
    }

    pub fn answered(&mut self, now: Ms) {
        (self.phase, self.since) = (Some(Phase::Resting), now);
    }

    /// What is to be done by now, once.
    pub fn wanted(&mut self, settings: &Http1Settings, now: Ms) -> Option<CloseReason> {
        let (at, why) = self.due(settings)?;
        self.told = now >= at;
        self.told.then_some(why)
    }

    /// When `wanted` wants to be asked next, if nothing happens before.
    pub fn next_at(&self, settings: &Http1Settings) -> Option<Ms> {
        self.due(settings).map(|(at, _)| at)
    }

    fn due(&self, settings: &Http1Settings) -> Option<(Ms, CloseReason)> {
        let (at, why) = match self.phase? {
            Phase::New => (self.since + settings.first, CloseReason::Silent),
            Phase::Resting => (self.since + settings.rest, CloseReason::Silent),
            // Guards against half a request, which would keep its place and its bytes for nobody.
            Phase::Partly => {
                let first_by = self
                    .came
                    .map_or(f64::INFINITY, |came| came + settings.first_whole);
                (
                    (self.since + settings.whole).min(first_by),
                    CloseReason::Slow,
                )
            }
        };
        (!self.told).then_some((at, why))
    }

    /// Its place is wanted: the reason to close it with.
    pub fn give_up(&mut self) -> CloseReason {
        self.told = true;
        if self.phase == Some(Phase::Partly) {
            CloseReason::Slow
        } else {
            CloseReason::Silent
        }
    }
}

/// Which connection makes room when there may be no more: one that has asked for nothing yet, else one that
/// rests, else one whose request does not come; the longest so first. Never one with an open request. Guards
/// against clients that connect by hundreds and say nothing: those who ask still find a place.
pub fn shed<I>(all: impl Iterator<Item = (I, Http1Connection)>) -> Option<I> {
    let may = all
        .filter(|(_, single)| !single.told)
        .filter_map(|(id, s)| Some((id, s.phase?, s.since)));
    may.max_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)))
        .map(|(id, ..)| id)
}
