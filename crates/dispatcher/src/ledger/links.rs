//! Links: connections to engines, and what is out on each. Which one a stream takes, when one more is
//! dialled, asked whether it lives or closed, [`ConnectionPool`] decides.

use super::engine_releases::EngineRelease;
use super::kv_states::ReleaseCall;
use super::timers::{Due, Timers};
use super::{LinkId, Output, StreamNo};
use crate::settings::ProgramSettings;
use cindercleat::connection_pool::{
    ConnectionId, ConnectionPool, Placement, PlacementError, PoolCommand,
};
use cindercleat::control::RECEIVED_LATE;
use cindercleat::interface::{AttemptId, EngineId, Ms, RequestId};
use cindercleat_protocol::{frame, Body};
use std::collections::BTreeMap;

/// What a stream of a link is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Use {
    Attempt(RequestId, AttemptId),
    Probe {
        sent: Ms,
    },
    Hold(RequestId, AttemptId),
    /// Asked to release what is held for a request, at whatever engine.
    Release(ReleaseCall),
    EngineRelease(EngineRelease),
    /// Asked for nothing but a sign that its engine runs.
    Sign,
    /// Given up here; whatever still comes is old.
    Past,
}

#[derive(Debug)]
pub(super) struct Link {
    pub engine: EngineId,
    pub address: String,
    pub up: bool,
    pub streams: BTreeMap<StreamNo, Use>,
    /// What goes out once it is up.
    pub waiting: Vec<(StreamNo, Body)>,
    /// When it last sent anything.
    pub heard: Ms,
    /// When it was dialled, and when its last call began.
    pub dialled: Ms,
    pub last_call: Ms,
    next_stream: u64,
}

impl Link {
    /// Streams that it has carried.
    pub fn carried(&self) -> u64 {
        self.next_stream - 1
    }
}

/// What tells whether an engine runs, by whatever link. Instants long ago stand for never.
#[derive(Clone, Copy, Debug)]
struct Signs {
    /// When it last sent anything.
    heard: Ms,
    /// When it is known to have run, by what it sent.
    ran: Ms,
    /// When it is known to have worked on an attempt, by what it sent of one.
    worked: Ms,
    /// When it left a question unanswered.
    unanswered: Ms,
}

impl Default for Signs {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Signs {
            heard: never,
            ran: never,
            worked: never,
            unanswered: never,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Links {
    all: BTreeMap<LinkId, Link>,
    of: BTreeMap<EngineId, Vec<LinkId>>,
    made: u64,
    decide: BTreeMap<EngineId, ConnectionPool>,
    signs: BTreeMap<EngineId, Signs>,
    /// When the timer of an engine's links is due.
    armed: BTreeMap<EngineId, Ms>,
    seed: u64,
}

impl Links {
    /// `seed` starts the chance in when a connect is tried again.
    pub fn new(seed: u64) -> Self {
        Links {
            seed,
            ..Links::default()
        }
    }

    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.all.get_mut(&id)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn ids_of(&self, engine: &EngineId) -> Vec<LinkId> {
        self.of.get(engine).cloned().unwrap_or_default()
    }

    /// A stream at `engine`, on a link that is dialled if need be.
    ///
    /// # Errors
    /// No link may carry it now; it has not run.
    pub fn open(
        &mut self,
        engine: &EngineId,
        address: &str,
        purpose: Use,
        now: Ms,
        settings: &ProgramSettings,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> Result<(LinkId, StreamNo), PlacementError> {
        let chosen = self.place(engine, address, now, settings, (timers, out))?;
        let stream = self
            .open_on(chosen, purpose, now, timers)
            .ok_or(PlacementError::AllTaken)?;
        if self
            .decide
            .get(engine)
            .is_some_and(|channels| channels.wants_more(now))
        {
            self.dial(engine, address, now, (timers, out));
        }
        Ok((chosen, stream))
    }

    fn place(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        to: (&mut Timers, &mut Vec<Output>),
    ) -> Result<LinkId, PlacementError> {
        let ids = self.of.get(engine).into_iter().flatten();
        let moved: Vec<LinkId> = ids
            .copied()
            .filter(|id| self.all[id].address != address)
            .collect();
        let seed = self.seed ^ self.decide.len() as u64;
        let new = || ConnectionPool::new(settings.channels(), seed);
        let channels = self.decide.entry(engine.clone()).or_insert_with(new);
        // The engine has another address now: what is out there ends there.
        moved
            .iter()
            .for_each(|id| channels.going_away(ConnectionId(id.0)));
        match channels.place(now) {
            Placement::On(id) => Ok(LinkId(id.0)),
            Placement::Connect => {
                let most = settings
                    .limits
                    .single
                    .map_or(usize::MAX, |single| single.most_links);
                if self.all.len() >= most && !self.make_room(now, to.1) {
                    return Err(PlacementError::AllTaken);
                }
                Ok(self.dial(engine, address, now, to))
            }
            Placement::Nowhere(refusal) => Err(refusal),
        }
    }

    /// Closes the link that has rested longest, at whatever engine; tells whether there was one.
    fn make_room(&mut self, now: Ms, out: &mut Vec<Output>) -> bool {
        let resting = self
            .all
            .iter()
            .filter(|(_, link)| link.up && link.streams.is_empty());
        let longest = resting
            .min_by(|a, b| a.1.heard.total_cmp(&b.1.heard))
            .map(|(id, _)| *id);
        if let Some(id) = longest {
            out.push(Output::CloseLink {
                link: id,
                reason: "its place is wanted".to_owned(),
            });
            self.remove(id, now);
        }
        longest.is_some()
    }

    /// Sets the timer for what falls due next at an engine's links, unless an earlier one is set: it looks again.
    pub fn arm(&mut self, engine: &EngineId, timers: &mut Timers) {
        let Some(at) = self.decide.get(engine).and_then(ConnectionPool::next_at) else {
            return;
        };
        if self.armed.get(engine).is_none_or(|armed| at < *armed) {
            self.armed.insert(engine.clone(), at);
            timers.set(at, Due::Links(engine.clone()));
        }
    }

    /// What is to be done by now about an engine's links.
    pub fn wanted(&mut self, engine: &EngineId, now: Ms, ready: bool) -> Vec<PoolCommand> {
        self.armed.remove(engine);
        self.decide
            .get_mut(engine)
            .map(|channels| channels.wanted(now, ready))
            .unwrap_or_default()
    }

    /// The link is up; `limit`: the streams that the engine allows on it.
    pub fn come_up(&mut self, id: LinkId, limit: Option<usize>, now: Ms, timers: &mut Timers) {
        let Some(link) = self.all.get_mut(&id) else {
            return;
        };
        link.up = true;
        let engine = link.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.up(ConnectionId(id.0), limit, now);
        }
        self.arm(&engine, timers);
    }

    /// The engine takes nothing new on it.
    pub fn leaving(&mut self, id: LinkId, timers: &mut Timers) {
        let Some(engine) = self.all.get(&id).map(|link| link.engine.clone()) else {
            return;
        };
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.going_away(ConnectionId(id.0));
        }
        self.arm(&engine, timers);
    }

    /// One more stream on a link that is up, whatever it carries: for what ends something, and so must not
    /// wait for room.
    pub fn open_on(
        &mut self,
        id: LinkId,
        purpose: Use,
        now: Ms,
        timers: &mut Timers,
    ) -> Option<StreamNo> {
        let link = self.all.get_mut(&id)?;
        let stream = StreamNo(link.next_stream);
        link.next_stream += 1;
        link.last_call = now;
        link.streams.insert(stream, purpose);
        let engine = link.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.opened(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(stream)
    }

    /// Something came over it.
    pub fn heard(&mut self, id: LinkId, now: Ms) {
        let Some(link) = self.all.get_mut(&id) else {
            return;
        };
        link.heard = now;
        if let Some(channels) = self.decide.get_mut(&link.engine) {
            channels.heard(ConnectionId(id.0), now);
        }
    }

    /// When the engine last sent anything; long ago if it never did.
    pub fn heard_at(&self, engine: &EngineId) -> Ms {
        self.signs
            .get(engine)
            .map_or(f64::NEG_INFINITY, |signs| signs.heard)
    }

    /// A message has come over it that its engine wrote: the engine ran after it had the call.
    pub fn answered(&mut self, id: LinkId, now: Ms) {
        let Some(link) = self.all.get(&id) else {
            return;
        };
        if !self.signs.contains_key(&link.engine) {
            self.signs.insert(link.engine.clone(), Signs::default());
        }
        if let Some(signs) = self.signs.get_mut(&link.engine) {
            signs.heard = now;
            signs.ran = signs.ran.max(link.last_call).max(now - RECEIVED_LATE);
        }
    }

    /// What has come over it is part of an attempt's answer, or the whole.
    pub fn worked(&mut self, id: LinkId, now: Ms) {
        let Some(link) = self.all.get(&id) else {
            return;
        };
        if let Some(signs) = self.signs.get_mut(&link.engine) {
            signs.worked = signs.worked.max(link.last_call).max(now - RECEIVED_LATE);
        }
    }

    /// The latest instant at which an engine is known to have worked; long ago if it never was.
    pub fn worked_at(&self, engine: &EngineId) -> Ms {
        self.signs
            .get(engine)
            .map_or(f64::NEG_INFINITY, |signs| signs.worked)
    }

    /// Whether an engine is known to have run at an instant or later.
    pub fn has_run_since(&self, engine: &EngineId, instant: Ms) -> bool {
        self.ran_at(engine) >= instant
    }

    /// A question to an engine was given up without an answer.
    pub fn left_unanswered(&mut self, engine: &EngineId, now: Ms) {
        self.signs.entry(engine.clone()).or_default().unanswered = now;
    }

    /// Whether it has said nothing since it left a question unanswered.
    pub fn is_suspected(&self, engine: &EngineId) -> bool {
        self.signs
            .get(engine)
            .is_some_and(|signs| signs.unanswered > signs.heard)
    }

    /// Whether an engine that left a question unanswered has another one open.
    pub fn is_asked_in_vain(&self, engine: &EngineId) -> bool {
        let asks = |id: &LinkId| {
            let streams = self
                .all
                .get(id)
                .into_iter()
                .flat_map(|link| link.streams.values());
            streams
                .into_iter()
                .any(|purpose| matches!(purpose, Use::Release(..) | Use::Sign))
        };
        self.is_suspected(engine) && self.of.get(engine).into_iter().flatten().any(asks)
    }

    /// The latest instant at which an engine is known to have run; long ago if it never was.
    pub fn ran_at(&self, engine: &EngineId) -> Ms {
        self.signs
            .get(engine)
            .map_or(f64::NEG_INFINITY, |signs| signs.ran)
    }

    /// The list tells of a new process there: what failed with the old one says nothing of it.
    pub fn renewed(&mut self, engine: &EngineId) {
        if let Some(channels) = self.decide.get_mut(engine) {
            channels.renewed();
        }
    }

    /// Dials an engine whose channels have asked for it.
    pub fn dial(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> LinkId {
        self.made += 1;
        let id = LinkId(self.made);
        let (engine, address) = (engine.clone(), address.to_owned());
        out.push(Output::Dial {
            link: id,
            engine: engine.clone(),
            address: address.clone(),
        });
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.connecting(ConnectionId(id.0), now);
        }
        self.of.entry(engine.clone()).or_default().push(id);
        let link = Link {
            engine: engine.clone(),
            address,
            up: false,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            heard: now,
            dialled: now,
            last_call: now,
            next_stream: 1,
        };
        self.all.insert(id, link);
        self.arm(&engine, timers);
        id
    }

    /// Releases that were sent to the engines of their states, and that those have not answered.
    pub fn releasing(&self) -> usize {
        let all = self.all.values().flat_map(|link| link.streams.values());
        all.filter(|purpose| matches!(purpose, Use::EngineRelease(..)))
            .count()
    }

    /// A link to the engine that is up and takes streams; `resting`: one that carries nothing.
    pub fn up(&self, engine: &EngineId, resting: bool) -> Option<LinkId> {
        let channels = self.decide.get(engine)?;
        let ids = self.of.get(engine)?;
        let fits = |l: &Link| l.up && (!resting || l.streams.is_empty());
        let takes =
            |id: &LinkId| channels.takes(ConnectionId(id.0)) && self.all.get(id).is_some_and(fits);
        ids.iter().copied().find(takes)
    }

    /// Sees to it that a link to the engine is up or coming up; tells whether it could.
    pub fn want(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        to: (&mut Timers, &mut Vec<Output>),
    ) -> bool {
        let channels = self.decide.get(engine);
        let ids = self.of.get(engine).into_iter().flatten();
        let coming = ids
            .into_iter()
            .any(|id| channels.is_some_and(|c| c.takes(ConnectionId(id.0))));
        coming || self.place(engine, address, now, settings, to).is_ok()
    }

    /// Sends now, or once the link is up.
    pub fn send(&mut self, id: LinkId, stream: StreamNo, body: Body, out: &mut Vec<Output>) {
        let Some(link) = self.all.get_mut(&id) else {
            return;
        };
        if link.up {
            out.push(Output::ToEngine {
                link: id,
                frame: frame(stream.0, body),
            });
        } else {
            link.waiting.push((stream, body));
        }
    }

    /// Takes back what was to be sent on a stream; tells whether it had not gone out.
    pub fn unsend(&mut self, id: LinkId, stream: StreamNo) -> bool {
        let Some(link) = self.all.get_mut(&id) else {
            return true;
        };
        let before = link.waiting.len();
        link.waiting.retain(|(waiting, _)| *waiting != stream);
        link.waiting.len() < before
    }

    /// The stream is over; the link may be idle from now on.
    pub fn close_stream(
        &mut self,
        id: LinkId,
        stream: StreamNo,
        now: Ms,
        timers: &mut Timers,
    ) -> Option<Use> {
        let link = self.all.get_mut(&id)?;
        let purpose = link.streams.remove(&stream)?;
        let engine = link.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.ended(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(purpose)
    }

    /// Forgets what was decided about an engine's links, if none is left; tells whether it did.
    pub fn forget(&mut self, engine: &EngineId) -> bool {
        let none = !self.of.contains_key(engine);
        if none {
            self.decide.remove(engine);
            self.signs.remove(engine);
            self.armed.remove(engine);
        }
        none
    }

    /// Whether the link is up and carries nothing.
    pub fn is_idle(&self, id: LinkId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|l| l.up && l.streams.is_empty())
    }

    pub fn remove(&mut self, id: LinkId, now: Ms) -> Option<Link> {
        let link = self.all.remove(&id)?;
        if let Some(channels) = self.decide.get_mut(&link.engine) {
            channels.closed(ConnectionId(id.0), now);
        }
        if let Some(ids) = self.of.get_mut(&link.engine) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.of.remove(&link.engine);
            }
        }
        Some(link)
    }
}
