//! EngineConnections: connections to engines, and what is out on each. Which one a stream takes, when one more is
//! dialled, asked whether it lives or closed, [`ConnectionPool`] decides.

use super::stream_purpose::StreamPurpose;
use super::timers::{Due, Timers};
use super::{EngineConnectionId, Output, StreamId};
use crate::settings::ProgramSettings;
use cindercleat::connection_pool::{
    ConnectionId, ConnectionPool, Placement, PlacementError, PoolCommand,
};
use cindercleat::control::RECEIVED_LATE;
use cindercleat::interface::{EngineId, Ms};
use cindercleat_protocol::{frame, Body};
use std::collections::BTreeMap;

#[derive(Debug)]
pub(super) struct EngineConnection {
    pub engine: EngineId,
    pub address: String,
    pub up: bool,
    pub streams: BTreeMap<StreamId, StreamPurpose>,
    /// What goes out once it is up.
    pub waiting: Vec<(StreamId, Body)>,
    /// When it last sent anything.
    pub heard: Ms,
    /// When it was dialled, and when its last call began.
    pub dialled: Ms,
    pub last_call: Ms,
    next_stream: u64,
}

impl EngineConnection {
    /// Streams that it has carried.
    pub fn carried(&self) -> u64 {
        self.next_stream - 1
    }
}

/// What tells whether an engine runs, by whatever connection. Instants long ago stand for never.
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
pub(super) struct EngineConnections {
    all: BTreeMap<EngineConnectionId, EngineConnection>,
    of: BTreeMap<EngineId, Vec<EngineConnectionId>>,
    made: u64,
    decide: BTreeMap<EngineId, ConnectionPool>,
    signs: BTreeMap<EngineId, Signs>,
    /// When the timer of an engine's connections is due.
    armed: BTreeMap<EngineId, Ms>,
    seed: u64,
}

impl EngineConnections {
    /// `seed` starts the chance in when a connect is tried again.
    pub fn new(seed: u64) -> Self {
        EngineConnections {
            seed,
            ..EngineConnections::default()
        }
    }

    pub fn get(&self, id: EngineConnectionId) -> Option<&EngineConnection> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: EngineConnectionId) -> Option<&mut EngineConnection> {
        self.all.get_mut(&id)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn ids_of(&self, engine: &EngineId) -> Vec<EngineConnectionId> {
        self.of.get(engine).cloned().unwrap_or_default()
    }

    /// A stream at `engine`, on a connection that is dialled if need be.
    ///
    /// # Errors
    /// No connection may carry it now; it has not run.
    pub fn open(
        &mut self,
        engine: &EngineId,
        address: &str,
        purpose: StreamPurpose,
        now: Ms,
        settings: &ProgramSettings,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> Result<(EngineConnectionId, StreamId), PlacementError> {
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
    ) -> Result<EngineConnectionId, PlacementError> {
        let ids = self.of.get(engine).into_iter().flatten();
        let moved: Vec<EngineConnectionId> = ids
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
            Placement::On(id) => Ok(EngineConnectionId(id.0)),
            Placement::Connect => {
                let most = settings
                    .limits
                    .single
                    .map_or(usize::MAX, |single| single.max_connections);
                if self.all.len() >= most && !self.make_room(now, to.1) {
                    return Err(PlacementError::AllTaken);
                }
                Ok(self.dial(engine, address, now, to))
            }
            Placement::Nowhere(refusal) => Err(refusal),
        }
    }

    /// Closes the connection that has rested longest, at whatever engine; tells whether there was one.
    fn make_room(&mut self, now: Ms, out: &mut Vec<Output>) -> bool {
        let resting = self
            .all
            .iter()
            .filter(|(_, connection)| connection.up && connection.streams.is_empty());
        let longest = resting
            .min_by(|a, b| a.1.heard.total_cmp(&b.1.heard))
            .map(|(id, _)| *id);
        if let Some(id) = longest {
            out.push(Output::CloseConnection {
                connection: id,
                reason: "its place is wanted".to_owned(),
            });
            self.remove(id, now);
        }
        longest.is_some()
    }

    /// Sets the timer for what falls due next at an engine's connections, unless an earlier one is set: it looks again.
    pub fn arm(&mut self, engine: &EngineId, timers: &mut Timers) {
        let Some(at) = self.decide.get(engine).and_then(ConnectionPool::next_at) else {
            return;
        };
        if self.armed.get(engine).is_none_or(|armed| at < *armed) {
            self.armed.insert(engine.clone(), at);
            timers.set(at, Due::EngineConnections(engine.clone()));
        }
    }

    /// What is to be done by now about an engine's connections.
    pub fn wanted(&mut self, engine: &EngineId, now: Ms, ready: bool) -> Vec<PoolCommand> {
        self.armed.remove(engine);
        self.decide
            .get_mut(engine)
            .map(|channels| channels.wanted(now, ready))
            .unwrap_or_default()
    }

    /// The connection is up; `limit`: the streams that the engine allows on it.
    pub fn come_up(
        &mut self,
        id: EngineConnectionId,
        limit: Option<usize>,
        now: Ms,
        timers: &mut Timers,
    ) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.up = true;
        let engine = connection.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.up(ConnectionId(id.0), limit, now);
        }
        self.arm(&engine, timers);
    }

    /// The engine takes nothing new on it.
    pub fn leaving(&mut self, id: EngineConnectionId, timers: &mut Timers) {
        let Some(engine) = self
            .all
            .get(&id)
            .map(|connection| connection.engine.clone())
        else {
            return;
        };
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.going_away(ConnectionId(id.0));
        }
        self.arm(&engine, timers);
    }

    /// One more stream on a connection that is up, whatever it carries: for what ends something, and so must not
    /// wait for room.
    pub fn open_on(
        &mut self,
        id: EngineConnectionId,
        purpose: StreamPurpose,
        now: Ms,
        timers: &mut Timers,
    ) -> Option<StreamId> {
        let connection = self.all.get_mut(&id)?;
        let stream = StreamId(connection.next_stream);
        connection.next_stream += 1;
        connection.last_call = now;
        connection.streams.insert(stream, purpose);
        let engine = connection.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.opened(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(stream)
    }

    /// Something came over it.
    pub fn heard(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.heard = now;
        if let Some(channels) = self.decide.get_mut(&connection.engine) {
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
    pub fn answered(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        if !self.signs.contains_key(&connection.engine) {
            self.signs
                .insert(connection.engine.clone(), Signs::default());
        }
        if let Some(signs) = self.signs.get_mut(&connection.engine) {
            signs.heard = now;
            signs.ran = signs.ran.max(connection.last_call).max(now - RECEIVED_LATE);
        }
    }

    /// What has come over it is part of an attempt's answer, or the whole.
    pub fn worked(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        if let Some(signs) = self.signs.get_mut(&connection.engine) {
            signs.worked = signs
                .worked
                .max(connection.last_call)
                .max(now - RECEIVED_LATE);
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
        let asks = |id: &EngineConnectionId| {
            let streams = self
                .all
                .get(id)
                .into_iter()
                .flat_map(|connection| connection.streams.values());
            streams.into_iter().any(|purpose| {
                matches!(
                    purpose,
                    StreamPurpose::Release(..) | StreamPurpose::LivenessCheck
                )
            })
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
    ) -> EngineConnectionId {
        self.made += 1;
        let id = EngineConnectionId(self.made);
        let (engine, address) = (engine.clone(), address.to_owned());
        out.push(Output::Dial {
            connection: id,
            engine: engine.clone(),
            address: address.clone(),
        });
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.connecting(ConnectionId(id.0), now);
        }
        self.of.entry(engine.clone()).or_default().push(id);
        let connection = EngineConnection {
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
        self.all.insert(id, connection);
        self.arm(&engine, timers);
        id
    }

    /// Releases that were sent to the engines of their states, and that those have not answered.
    pub fn releasing(&self) -> usize {
        let all = self
            .all
            .values()
            .flat_map(|connection| connection.streams.values());
        all.filter(|purpose| matches!(purpose, StreamPurpose::EngineRelease(..)))
            .count()
    }

    /// A connection to the engine that is up and takes streams; `resting`: one that carries nothing.
    pub fn up(&self, engine: &EngineId, resting: bool) -> Option<EngineConnectionId> {
        let channels = self.decide.get(engine)?;
        let ids = self.of.get(engine)?;
        let fits = |l: &EngineConnection| l.up && (!resting || l.streams.is_empty());
        let takes = |id: &EngineConnectionId| {
            channels.takes(ConnectionId(id.0)) && self.all.get(id).is_some_and(fits)
        };
        ids.iter().copied().find(takes)
    }

    /// Sees to it that a connection to the engine is up or coming up; tells whether it could.
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

    /// Sends now, or once the connection is up.
    pub fn send(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        if connection.up {
            out.push(Output::ToEngine {
                connection: id,
                frame: frame(stream.0, body),
            });
        } else {
            connection.waiting.push((stream, body));
        }
    }

    /// Takes back what was to be sent on a stream; tells whether it had not gone out.
    pub fn unsend(&mut self, id: EngineConnectionId, stream: StreamId) -> bool {
        let Some(connection) = self.all.get_mut(&id) else {
            return true;
        };
        let before = connection.waiting.len();
        connection.waiting.retain(|(waiting, _)| *waiting != stream);
        connection.waiting.len() < before
    }

    /// The stream is over; the connection may be idle from now on.
    pub fn close_stream(
        &mut self,
        id: EngineConnectionId,
        stream: StreamId,
        now: Ms,
        timers: &mut Timers,
    ) -> Option<StreamPurpose> {
        let connection = self.all.get_mut(&id)?;
        let purpose = connection.streams.remove(&stream)?;
        let engine = connection.engine.clone();
        if let Some(channels) = self.decide.get_mut(&engine) {
            channels.ended(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(purpose)
    }

    /// Forgets what was decided about an engine's connections, if none is left; tells whether it did.
    pub fn forget(&mut self, engine: &EngineId) -> bool {
        let none = !self.of.contains_key(engine);
        if none {
            self.decide.remove(engine);
            self.signs.remove(engine);
            self.armed.remove(engine);
        }
        none
    }

    /// Whether the connection is up and carries nothing.
    pub fn is_idle(&self, id: EngineConnectionId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|l| l.up && l.streams.is_empty())
    }

    pub fn remove(&mut self, id: EngineConnectionId, now: Ms) -> Option<EngineConnection> {
        let connection = self.all.remove(&id)?;
        if let Some(channels) = self.decide.get_mut(&connection.engine) {
            channels.closed(ConnectionId(id.0), now);
        }
        if let Some(ids) = self.of.get_mut(&connection.engine) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.of.remove(&connection.engine);
            }
        }
        Some(connection)
    }
}
