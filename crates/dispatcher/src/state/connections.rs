//! Connections to engines, and the streams that are open on each. [`ConnectionPool`] decides which connection carries a
//! stream, and when one is dialled, pinged or closed.

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

/// One connection to an engine, from its dialling on.
#[derive(Debug)]
pub(super) struct EngineConnection {
    pub engine: EngineId,
    pub address: String,
    /// Whether it is established.
    pub up: bool,
    pub streams: BTreeMap<StreamId, StreamPurpose>,
    /// What is sent once it is established.
    pub waiting: Vec<(StreamId, Body)>,
    /// When anything was last received over it.
    pub last_received_at: Ms,
    pub dialled: Ms,
    /// When its last stream was opened.
    pub last_call: Ms,
    next_stream: u64,
}

impl EngineConnection {
    /// How many streams were opened on it so far.
    pub fn carried(&self) -> u64 {
        self.next_stream - 1
    }
}

/// What proves that an engine runs, over all its connections. Negative infinity stands for never.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    /// When it last sent anything.
    last_received_at: Ms,
    /// The latest instant at which what it sent proves that it ran.
    ran_at: Ms,
    /// The latest instant at which what it sent proves that it worked on an attempt.
    worked_at: Ms,
    /// When a question to it was last given up without an answer.
    unanswered_at: Ms,
}

impl Default for Liveness {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Liveness {
            last_received_at: never,
            ran_at: never,
            worked_at: never,
            unanswered_at: never,
        }
    }
}

/// The connections to all engines.
#[derive(Debug, Default)]
pub(super) struct EngineConnections {
    all: BTreeMap<EngineConnectionId, EngineConnection>,
    by_engine: BTreeMap<EngineId, Vec<EngineConnectionId>>,
    last_id: u64,
    pools: BTreeMap<EngineId, ConnectionPool>,
    liveness: BTreeMap<EngineId, Liveness>,
    /// When the timer of an engine's connections fires, where one is set.
    timers_at: BTreeMap<EngineId, Ms>,
    seed: u64,
}

impl EngineConnections {
    /// `seed` determines the jitter of the backoff between connects.
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
        self.by_engine.get(engine).cloned().unwrap_or_default()
    }

    /// Opens a stream to `engine`, on a connection that is dialled if need be.
    ///
    /// # Errors
    /// No connection can carry it now; nothing was sent.
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
            .ok_or(PlacementError::PoolExhausted)?;
        if self
            .pools
            .get(engine)
            .is_some_and(|pool| pool.wants_connection(now))
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
        let ids = self.by_engine.get(engine).into_iter().flatten();
        let at_old_address: Vec<EngineConnectionId> = ids
            .copied()
            .filter(|id| self.all[id].address != address)
            .collect();
        let seed = self.seed ^ self.pools.len() as u64;
        let new = || ConnectionPool::new(settings.pool_settings(), seed);
        let pool = self.pools.entry(engine.clone()).or_insert_with(new);
        // The engine has another address now: open streams end where they are, new ones go there.
        at_old_address
            .iter()
            .for_each(|id| pool.going_away(ConnectionId(id.0)));
        match pool.place(now) {
            Placement::Existing(id) => Ok(EngineConnectionId(id.0)),
            Placement::NewConnection => {
                let max_connections = settings
                    .limits
                    .http1
                    .map_or(usize::MAX, |http1| http1.max_engine_connections);
                if self.all.len() >= max_connections && !self.make_room(now, to.1) {
                    return Err(PlacementError::PoolExhausted);
                }
                Ok(self.dial(engine, address, now, to))
            }
            Placement::Unavailable(error) => Err(error),
        }
    }

    /// Closes the connection that has been idle longest, to whichever engine. Returns whether there was one.
    fn make_room(&mut self, now: Ms, out: &mut Vec<Output>) -> bool {
        let idle = self
            .all
            .iter()
            .filter(|(_, connection)| connection.up && connection.streams.is_empty());
        let longest_idle = idle
            .min_by(|a, b| a.1.last_received_at.total_cmp(&b.1.last_received_at))
            .map(|(id, _)| *id);
        if let Some(id) = longest_idle {
            out.push(Output::CloseConnection {
                connection: id,
                reason: "its place is wanted".to_owned(),
            });
            self.remove(id, now);
        }
        longest_idle.is_some()
    }

    /// Sets the timer for what falls due next for an engine's connections, unless an earlier one is set: when that
    /// fires, this is called again.
    pub fn arm(&mut self, engine: &EngineId, timers: &mut Timers) {
        let Some(at) = self.pools.get(engine).and_then(ConnectionPool::next_due_at) else {
            return;
        };
        if self
            .timers_at
            .get(engine)
            .is_none_or(|timer_at| at < *timer_at)
        {
            self.timers_at.insert(engine.clone(), at);
            timers.set(at, Due::EngineConnections(engine.clone()));
        }
    }

    /// What is to be done by now about an engine's connections. `ready`: whether the engine accepts new requests.
    pub fn wanted(&mut self, engine: &EngineId, now: Ms, ready: bool) -> Vec<PoolCommand> {
        self.timers_at.remove(engine);
        self.pools
            .get_mut(engine)
            .map(|pool| pool.due_commands(now, ready))
            .unwrap_or_default()
    }

    /// The connection is established. `limit`: the streams that the engine allows on it, if it says so.
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
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.connected(ConnectionId(id.0), limit, now);
        }
        self.arm(&engine, timers);
    }

    /// The engine accepts no more streams on it.
    pub fn leaving(&mut self, id: EngineConnectionId, timers: &mut Timers) {
        let Some(engine) = self
            .all
            .get(&id)
            .map(|connection| connection.engine.clone())
        else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.going_away(ConnectionId(id.0));
        }
        self.arm(&engine, timers);
    }

    /// Opens a stream on a connection without a check of limits: the caller has placed it there, or it ends something and
    /// must not wait for room.
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
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.stream_opened(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(stream)
    }

    /// Anything was received over it.
    pub fn message_received(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.last_received_at = now;
        if let Some(pool) = self.pools.get_mut(&connection.engine) {
            pool.received(ConnectionId(id.0), now);
        }
    }

    /// When the engine last sent anything; negative infinity if it never did.
    pub fn engine_last_received_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.last_received_at)
    }

    /// A message of the engine itself was received over it, which proves that the engine ran after the last stream was
    /// opened, and no longer ago than a message may be delayed.
    pub fn answered(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        let proven_at = connection.last_call.max(now - RECEIVED_LATE);
        // Messages are frequent: the engine's name is cloned only for its first.
        if !self.liveness.contains_key(&connection.engine) {
            self.liveness
                .insert(connection.engine.clone(), Liveness::default());
        }
        if let Some(liveness) = self.liveness.get_mut(&connection.engine) {
            liveness.last_received_at = now;
            liveness.ran_at = liveness.ran_at.max(proven_at);
        }
    }

    /// What was received over it belongs to an attempt's answer.
    pub fn worked(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        let proven_at = connection.last_call.max(now - RECEIVED_LATE);
        if let Some(liveness) = self.liveness.get_mut(&connection.engine) {
            liveness.worked_at = liveness.worked_at.max(proven_at);
        }
    }

    /// The latest instant at which an engine is known to have worked on an attempt; negative infinity if never.
    pub fn worked_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.worked_at)
    }

    /// Whether an engine is known to have run at this instant or later.
    pub fn has_run_since(&self, engine: &EngineId, instant: Ms) -> bool {
        self.ran_at(engine) >= instant
    }

    /// A question to an engine was given up without an answer.
    pub fn left_unanswered(&mut self, engine: &EngineId, now: Ms) {
        self.liveness
            .entry(engine.clone())
            .or_default()
            .unanswered_at = now;
    }

    /// Whether the engine has sent nothing since it left a question unanswered.
    pub fn is_suspected(&self, engine: &EngineId) -> bool {
        self.liveness
            .get(engine)
            .is_some_and(|liveness| liveness.unanswered_at > liveness.last_received_at)
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
        self.is_suspected(engine) && self.by_engine.get(engine).into_iter().flatten().any(asks)
    }

    /// The latest instant at which an engine is known to have run; negative infinity if never.
    pub fn ran_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.ran_at)
    }

    /// The engine's process is a new one: failed connects to the old one say nothing about it.
    pub fn renewed(&mut self, engine: &EngineId) {
        if let Some(pool) = self.pools.get_mut(engine) {
            pool.reset_backoff();
        }
    }

    /// Dials an engine, as its pool has asked for.
    pub fn dial(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> EngineConnectionId {
        self.last_id += 1;
        let id = EngineConnectionId(self.last_id);
        let (engine, address) = (engine.clone(), address.to_owned());
        out.push(Output::Dial {
            connection: id,
            engine: engine.clone(),
            address: address.clone(),
        });
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.connecting(ConnectionId(id.0), now);
        }
        self.by_engine.entry(engine.clone()).or_default().push(id);
        let connection = EngineConnection {
            engine: engine.clone(),
            address,
            up: false,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            last_received_at: now,
            dialled: now,
            last_call: now,
            next_stream: 1,
        };
        self.all.insert(id, connection);
        self.arm(&engine, timers);
        id
    }

    /// How many releases were sent to the engines that hold the KV states, and not answered yet.
    pub fn releasing(&self) -> usize {
        let all = self
            .all
            .values()
            .flat_map(|connection| connection.streams.values());
        all.filter(|purpose| matches!(purpose, StreamPurpose::EngineRelease(..)))
            .count()
    }

    /// An established connection to the engine that accepts streams. `resting`: only one without streams.
    pub fn up(&self, engine: &EngineId, resting: bool) -> Option<EngineConnectionId> {
        let pool = self.pools.get(engine)?;
        let ids = self.by_engine.get(engine)?;
        let fits = |connection: &EngineConnection| {
            connection.up && (!resting || connection.streams.is_empty())
        };
        let accepts = |id: &EngineConnectionId| {
            pool.accepts_streams(ConnectionId(id.0)) && self.all.get(id).is_some_and(fits)
        };
        ids.iter().copied().find(accepts)
    }

    /// Dials the engine unless a connection is established or connecting. Returns whether there is one now.
    pub fn want(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        to: (&mut Timers, &mut Vec<Output>),
    ) -> bool {
        let pool = self.pools.get(engine);
        let ids = self.by_engine.get(engine).into_iter().flatten();
        let exists = ids
            .into_iter()
            .any(|id| pool.is_some_and(|pool| pool.accepts_streams(ConnectionId(id.0))));
        exists || self.place(engine, address, now, settings, to).is_ok()
    }

    /// Sends now, or once the connection is established.
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

    /// Removes what waits to be sent on a stream. Returns whether it was not sent yet; true also where the connection is
    /// gone, as its end has ended its streams, so nothing of this one can be sent any more.
    pub fn unsend(&mut self, id: EngineConnectionId, stream: StreamId) -> bool {
        let Some(connection) = self.all.get_mut(&id) else {
            return true;
        };
        let before = connection.waiting.len();
        connection.waiting.retain(|(waiting, _)| *waiting != stream);
        connection.waiting.len() < before
    }

    /// The stream has ended; the connection may be idle from now on. Returns what the stream carried.
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
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.stream_ended(ConnectionId(id.0), now);
        }
        self.arm(&engine, timers);
        Some(purpose)
    }

    /// Drops the state of an engine without connections. Returns whether it has none.
    pub fn forget(&mut self, engine: &EngineId) -> bool {
        let none = !self.by_engine.contains_key(engine);
        if none {
            self.pools.remove(engine);
            self.liveness.remove(engine);
            self.timers_at.remove(engine);
        }
        none
    }

    /// Whether the connection is established and carries no stream.
    pub fn is_idle(&self, id: EngineConnectionId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|connection| connection.up && connection.streams.is_empty())
    }

    /// The connection has ended, or was never established.
    pub fn remove(&mut self, id: EngineConnectionId, now: Ms) -> Option<EngineConnection> {
        let connection = self.all.remove(&id)?;
        if let Some(pool) = self.pools.get_mut(&connection.engine) {
            pool.closed(ConnectionId(id.0), now);
        }
        if let Some(ids) = self.by_engine.get_mut(&connection.engine) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_engine.remove(&connection.engine);
            }
        }
        Some(connection)
    }
}
