//! Connections to engines and their open streams. [`ConnectionPool`] decides which connection carries a
//! stream, and when connections are dialled, pinged or closed.

use super::stream_purpose::StreamPurpose;
use super::timers::{TimerKind, Timers};
use super::{EngineConnectionId, Output, StreamId};
use crate::settings::ProgramSettings;
use cindercleat::connection_pool::{
    ConnectionId, ConnectionPool, Placement, PlacementError, PoolCommand, StreamKind,
};
use cindercleat::control::MAX_MESSAGE_DELAY;
use cindercleat::interface::{EngineId, Ms};
use cindercleat_protocol::{frame, Body};
use std::collections::BTreeMap;

/// One connection to an engine. The record is created when the engine is dialled.
#[derive(Debug)]
pub(super) struct EngineConnection {
    pub engine: EngineId,
    pub address: String,
    /// Whether the dial and the greeting are complete.
    pub is_established: bool,
    pub streams: BTreeMap<StreamId, StreamPurpose>,
    /// Messages that are sent once the connection is established.
    pub unsent_messages: Vec<(StreamId, Body)>,
    /// When the last message was received; the instant of the dial if there was none.
    pub last_received_at: Ms,
    pub dialled_at: Ms,
    /// When the last stream was opened; the instant of the dial if there was none.
    pub last_stream_opened_at: Ms,
    next_stream: u64,
}

impl EngineConnection {
    /// The number of streams that were opened on the connection so far, including closed ones.
    pub fn opened_streams(&self) -> u64 {
        self.next_stream - 1
    }
}

/// The evidence that an engine is alive, collected from all of its connections. Instants are in milliseconds;
/// negative infinity stands for never.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    /// When the engine last sent a message.
    last_received_at: Ms,
    /// The latest instant at which the engine is known to have run.
    ran_at: Ms,
    /// The latest instant at which the engine is known to have worked on an attempt.
    worked_at: Ms,
    /// When a call to the engine was last given up without an answer.
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

/// The connections to all engines, their connection pools, and the evidence that each engine is alive.
#[derive(Debug, Default)]
pub(super) struct EngineConnections {
    all: BTreeMap<EngineConnectionId, EngineConnection>,
    by_engine: BTreeMap<EngineId, Vec<EngineConnectionId>>,
    last_id: u64,
    pools: BTreeMap<EngineId, ConnectionPool>,
    liveness: BTreeMap<EngineId, Liveness>,
    /// When the connection timer of an engine fires. Engines without a timer are absent.
    timer_due_at: BTreeMap<EngineId, Ms>,
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

    /// Opens a stream to `engine`. A connection is dialled if no established one can carry the stream.
    ///
    /// # Errors
    /// No connection can carry the stream now; nothing was sent.
    pub fn open(
        &mut self,
        engine: &EngineId,
        address: &str,
        purpose: StreamPurpose,
        now: Ms,
        settings: &ProgramSettings,
        (timers, out): (&mut Timers, &mut Vec<Output>),
    ) -> Result<(EngineConnectionId, StreamId), PlacementError> {
        let kind = purpose.kind();
        let chosen = self.place_stream(engine, address, kind, now, settings, (timers, out))?;
        let stream = self
            .open_stream_on(chosen, purpose, now, timers)
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

    fn place_stream(
        &mut self,
        engine: &EngineId,
        address: &str,
        kind: StreamKind,
        now: Ms,
        settings: &ProgramSettings,
        effects: (&mut Timers, &mut Vec<Output>),
    ) -> Result<EngineConnectionId, PlacementError> {
        let ids = self.by_engine.get(engine).into_iter().flatten();
        let at_old_address: Vec<EngineConnectionId> = ids
            .copied()
            .filter(|id| self.all[id].address != address)
            .collect();
        let seed = self.seed ^ self.pools.len() as u64;
        let new_pool = || ConnectionPool::new(settings.pool_settings(), seed);
        let pool = self.pools.entry(engine.clone()).or_insert_with(new_pool);
        // If the engine has moved to another address, open streams finish on the old connections, and new streams
        // use the new address.
        at_old_address
            .iter()
            .for_each(|id| pool.mark_draining(ConnectionId(id.0)));
        match pool.place(kind, now) {
            Placement::Existing(id) => Ok(EngineConnectionId(id.0)),
            Placement::NewConnection => {
                let max_connections = settings
                    .limits
                    .http1
                    .map_or(usize::MAX, |http1| http1.max_engine_connections);
                if self.all.len() >= max_connections && !self.evict_idle_connection(now, effects.1)
                {
                    return Err(PlacementError::PoolExhausted);
                }
                Ok(self.dial(engine, address, now, effects))
            }
            Placement::Replacement(idle) => {
                self.evict(EngineConnectionId(idle.0), now, effects.1);
                Ok(self.dial(engine, address, now, effects))
            }
            Placement::Unavailable(error) => Err(error),
        }
    }

    /// Closes the connection that has been idle longest, whichever engine it leads to. Returns whether there was an
    /// idle connection.
    fn evict_idle_connection(&mut self, now: Ms, out: &mut Vec<Output>) -> bool {
        let idle = self
            .all
            .iter()
            .filter(|(_, connection)| connection.is_established && connection.streams.is_empty());
        let longest_idle = idle
            .min_by(|a, b| a.1.last_received_at.total_cmp(&b.1.last_received_at))
            .map(|(id, _)| *id);
        if let Some(id) = longest_idle {
            self.evict(id, now, out);
        }
        longest_idle.is_some()
    }

    /// Closes an idle connection to make room for another one.
    fn evict(&mut self, id: EngineConnectionId, now: Ms, out: &mut Vec<Output>) {
        out.push(Output::CloseConnection {
            connection: id,
            reason: "evicted to make room for another connection".to_owned(),
        });
        self.remove(id, now);
    }

    /// Sets the timer for the next action on an engine's connections. If an earlier timer is set, this does
    /// nothing, because the next timer is set when the earlier one fires.
    pub fn schedule_timer(&mut self, engine: &EngineId, timers: &mut Timers) {
        let Some(at) = self.pools.get(engine).and_then(ConnectionPool::next_due_at) else {
            return;
        };
        if self
            .timer_due_at
            .get(engine)
            .is_none_or(|timer_at| at < *timer_at)
        {
            self.timer_due_at.insert(engine.clone(), at);
            timers.set(at, TimerKind::EngineConnections(engine.clone()));
        }
    }

    /// The commands of the engine's connection pool that are due, such as to dial, ping or close.
    /// `accepts_requests` is whether the engine is in service.
    pub fn due_commands(
        &mut self,
        engine: &EngineId,
        now: Ms,
        accepts_requests: bool,
    ) -> Vec<PoolCommand> {
        self.timer_due_at.remove(engine);
        self.pools
            .get_mut(engine)
            .map(|pool| pool.due_commands(now, accepts_requests))
            .unwrap_or_default()
    }

    /// Marks the connection as established. `limit` is the number of concurrent streams that the engine allows on
    /// it; `None` if unlimited.
    pub fn mark_established(
        &mut self,
        id: EngineConnectionId,
        limit: Option<usize>,
        now: Ms,
        timers: &mut Timers,
    ) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.is_established = true;
        let engine = connection.engine.clone();
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.connected(ConnectionId(id.0), limit, now);
        }
        self.schedule_timer(&engine, timers);
    }

    /// Marks the connection as draining, so that no new streams are opened on it.
    pub fn mark_draining(&mut self, id: EngineConnectionId, timers: &mut Timers) {
        let Some(engine) = self
            .all
            .get(&id)
            .map(|connection| connection.engine.clone())
        else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.mark_draining(ConnectionId(id.0));
        }
        self.schedule_timer(&engine, timers);
    }

    /// Opens a stream on a connection without checking the limits of the connection. The caller has either chosen a
    /// connection with capacity, or opens the stream for a release, which must not wait for capacity. Returns
    /// `None` if the connection has ended.
    pub fn open_stream_on(
        &mut self,
        id: EngineConnectionId,
        purpose: StreamPurpose,
        now: Ms,
        timers: &mut Timers,
    ) -> Option<StreamId> {
        let connection = self.all.get_mut(&id)?;
        let stream = StreamId(connection.next_stream);
        connection.next_stream += 1;
        connection.last_stream_opened_at = now;
        connection.streams.insert(stream, purpose);
        let engine = connection.engine.clone();
        if let Some(pool) = self.pools.get_mut(&engine) {
            pool.stream_opened(ConnectionId(id.0), now);
        }
        self.schedule_timer(&engine, timers);
        Some(stream)
    }

    /// Records the time of the last message on the connection, from which the keepalive interval and the stall
    /// timeout of the connection are counted.
    pub fn record_message_received(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.last_received_at = now;
        if let Some(pool) = self.pools.get_mut(&connection.engine) {
            pool.received(ConnectionId(id.0), now);
        }
    }

    /// When the engine last sent a message; negative infinity if it never did.
    pub fn engine_last_received_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.last_received_at)
    }

    /// Records the latest instant at which the engine is known to have run, when a message that the engine itself
    /// has sent is received. The message proves that the engine ran after the last stream was opened on the
    /// connection. It also proves that the engine ran at most [`MAX_MESSAGE_DELAY`] ago, because a message may be
    /// delayed by that much in transit.
    pub fn record_response(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        let proven_at = connection
            .last_stream_opened_at
            .max(now - MAX_MESSAGE_DELAY);
        // Messages are frequent: the engine's name is cloned only for the first one.
        if !self.liveness.contains_key(&connection.engine) {
            self.liveness
                .insert(connection.engine.clone(), Liveness::default());
        }
        if let Some(liveness) = self.liveness.get_mut(&connection.engine) {
            liveness.last_received_at = now;
            liveness.ran_at = liveness.ran_at.max(proven_at);
        }
    }

    /// Records the latest instant at which the engine is known to have worked on an attempt, when a message of an
    /// attempt's answer is received. The instant is derived as in [`Self::record_response`].
    pub fn record_attempt_progress(&mut self, id: EngineConnectionId, now: Ms) {
        let Some(connection) = self.all.get(&id) else {
            return;
        };
        let proven_at = connection
            .last_stream_opened_at
            .max(now - MAX_MESSAGE_DELAY);
        if let Some(liveness) = self.liveness.get_mut(&connection.engine) {
            liveness.worked_at = liveness.worked_at.max(proven_at);
        }
    }

    /// The latest instant at which the engine is known to have worked on an attempt; negative infinity if never.
    pub fn worked_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.worked_at)
    }

    /// Whether the engine is known to have run at `instant` or later.
    pub fn has_run_since(&self, engine: &EngineId, instant: Ms) -> bool {
        self.ran_at(engine) >= instant
    }

    /// Records that a call to the engine was given up without an answer, which makes the engine suspected.
    pub fn record_unanswered_call(&mut self, engine: &EngineId, now: Ms) {
        self.liveness
            .entry(engine.clone())
            .or_default()
            .unanswered_at = now;
    }

    /// Whether the engine has sent nothing since a call to it was given up without an answer.
    pub fn is_suspected(&self, engine: &EngineId) -> bool {
        self.liveness
            .get(engine)
            .is_some_and(|liveness| liveness.unanswered_at > liveness.last_received_at)
    }

    /// Whether the engine is suspected, see [`Self::is_suspected`], and a release or liveness check is still open
    /// there.
    pub fn is_suspected_with_open_call(&self, engine: &EngineId) -> bool {
        let has_open_call = |id: &EngineConnectionId| {
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
        self.is_suspected(engine)
            && self
                .by_engine
                .get(engine)
                .into_iter()
                .flatten()
                .any(has_open_call)
    }

    /// The latest instant at which the engine is known to have run; negative infinity if never.
    pub fn ran_at(&self, engine: &EngineId) -> Ms {
        self.liveness
            .get(engine)
            .map_or(f64::NEG_INFINITY, |liveness| liveness.ran_at)
    }

    /// Ends the connect backoff of an engine whose process is new, because failed connects to the old process say
    /// nothing about the new one.
    pub fn reset_backoff(&mut self, engine: &EngineId) {
        if let Some(pool) = self.pools.get_mut(engine) {
            pool.reset_backoff();
        }
    }

    /// Dials an engine, because its connection pool wants another connection. Returns the id of the new connection.
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
            is_established: false,
            streams: BTreeMap::new(),
            unsent_messages: Vec::new(),
            last_received_at: now,
            dialled_at: now,
            last_stream_opened_at: now,
            next_stream: 1,
        };
        self.all.insert(id, connection);
        self.schedule_timer(&engine, timers);
        id
    }

    /// The number of releases that were sent directly to the engine that holds the KV state and are not yet
    /// answered.
    pub fn open_engine_release_count(&self) -> usize {
        let all = self
            .all
            .values()
            .flat_map(|connection| connection.streams.values());
        all.filter(|purpose| matches!(purpose, StreamPurpose::EngineRelease(..)))
            .count()
    }

    /// An established connection to the engine that accepts new streams, if there is one. With `idle_only`, only a
    /// connection without open streams is returned.
    pub fn accepting_connection(
        &self,
        engine: &EngineId,
        idle_only: bool,
    ) -> Option<EngineConnectionId> {
        let pool = self.pools.get(engine)?;
        let ids = self.by_engine.get(engine)?;
        let is_eligible = |connection: &EngineConnection| {
            connection.is_established && (!idle_only || connection.streams.is_empty())
        };
        let accepts = |id: &EngineConnectionId| {
            pool.accepts_streams(ConnectionId(id.0)) && self.all.get(id).is_some_and(is_eligible)
        };
        ids.iter().copied().find(accepts)
    }

    /// Dials the engine unless a connection accepts streams or is being dialled. Returns whether there is a
    /// connection now.
    pub fn ensure_connection(
        &mut self,
        engine: &EngineId,
        address: &str,
        now: Ms,
        settings: &ProgramSettings,
        effects: (&mut Timers, &mut Vec<Output>),
    ) -> bool {
        let pool = self.pools.get(engine);
        let ids = self.by_engine.get(engine).into_iter().flatten();
        let exists = ids
            .into_iter()
            .any(|id| pool.is_some_and(|pool| pool.accepts_streams(ConnectionId(id.0))));
        exists
            || self
                .place_stream(engine, address, StreamKind::Control, now, settings, effects)
                .is_ok()
    }

    /// Sends a message, or queues it until the connection is established.
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
        if connection.is_established {
            out.push(Output::ToEngine {
                connection: id,
                frame: frame(stream.0, body),
            });
        } else {
            connection.unsent_messages.push((stream, body));
        }
    }

    /// Removes the queued messages of a stream. Returns whether nothing of the stream was sent. The result is also
    /// `true` if the connection has ended, because its streams have ended with it and nothing more of them can be
    /// sent.
    pub fn withdraw_unsent(&mut self, id: EngineConnectionId, stream: StreamId) -> bool {
        let Some(connection) = self.all.get_mut(&id) else {
            return true;
        };
        let length_before = connection.unsent_messages.len();
        connection
            .unsent_messages
            .retain(|(unsent, _)| *unsent != stream);
        connection.unsent_messages.len() < length_before
    }

    /// Removes a stream that has ended, which may leave the connection idle. Returns the purpose of the stream if
    /// it was open.
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
            pool.stream_ended(ConnectionId(id.0), purpose.kind(), now);
        }
        self.schedule_timer(&engine, timers);
        Some(purpose)
    }

    /// Removes the connection pool and the liveness record of an engine if the engine has no connections. Returns
    /// whether it has none.
    pub fn remove_engine(&mut self, engine: &EngineId) -> bool {
        let has_no_connections = !self.by_engine.contains_key(engine);
        if has_no_connections {
            self.pools.remove(engine);
            self.liveness.remove(engine);
            self.timer_due_at.remove(engine);
        }
        has_no_connections
    }

    /// Whether the connection is established and carries no stream.
    pub fn is_idle(&self, id: EngineConnectionId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|connection| connection.is_established && connection.streams.is_empty())
    }

    /// Removes and returns the record of a connection that has ended or could not be established.
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
