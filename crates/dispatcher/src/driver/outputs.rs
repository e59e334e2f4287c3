//! Carries out the outputs of the state machine: sends messages, dials and closes connections, writes the cache and
//! the log.

use super::engine_connections::EngineHandle;
use super::Driver;
use crate::endpoint_cache;
use crate::state::{ClientConnectionId, EngineConnectionId, Level, Output};
use cindercleat::interface::EngineId;
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::session::{Outbox, Wire};
use cindercleat_protocol::{v1, Body, Frame};
use std::rc::Rc;
use tokio::task::spawn_local;

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    pub(super) fn carry_out(&self, output: Output) {
        match output {
            Output::ToClient { conn, frame } => self.send_to_client(conn, frame),
            Output::DrainClient { conn } => {
                if let Some(out) = self.shared.clients.borrow().get(&conn) {
                    out.go_away();
                }
            }
            Output::RefusePartialRequest { conn, cause } => {
                tracing::warn!(
                    conn = conn.0,
                    ?cause,
                    "refusing a partly received request, unless the rest has arrived by now"
                );
                if let Some(out) = self.shared.clients.borrow().get(&conn) {
                    out.refuse_partial_request(cause);
                }
            }
            Output::CloseClient { conn, reason } => {
                tracing::warn!(conn = conn.0, reason, "closing client connection");
                if let Some(out) = self.shared.clients.borrow().get(&conn) {
                    out.close();
                }
            }
            Output::Dial {
                connection,
                engine,
                address,
            } => self.dial(connection, engine, address),
            Output::ToEngine { connection, frame } => self.send_to_engine(connection, frame),
            Output::CloseConnection { connection, reason } => {
                tracing::debug!(
                    connection = connection.0,
                    reason,
                    "closing engine connection"
                );
                let handle = self
                    .shared
                    .engine_connections
                    .borrow_mut()
                    .remove(&connection);
                if let Some(handle) = handle {
                    handle.close();
                }
            }
            Output::CacheEndpoints(list) => self.save_endpoints(&list),
            Output::RequestEndpoints { .. } => self.shared.snapshot_requested.notify_one(),
            Output::SendGossip { to, bytes } => self.send_gossip(to, bytes),
            Output::Log { level, text } => log(level, &text),
            Output::Stopped => self.shared.stopped.notify_one(),
        }
    }

    fn send_to_client(&self, conn: ClientConnectionId, frame: Frame) {
        log_answer(conn, &frame);
        let may_free_capacity = matches!(
            frame.body,
            Some(Body::Final(_) | Body::Pong(_) | Body::Goodbye(_))
        );
        if let Some(out) = self.shared.clients.borrow().get(&conn) {
            out.send(frame);
        }
        if may_free_capacity {
            self.shared.client_capacity_changed.notify_waiters();
        }
    }

    fn dial(&self, connection: EngineConnectionId, engine: EngineId, address: String) {
        let handle = Rc::new(EngineHandle::new());
        self.shared
            .engine_connections
            .borrow_mut()
            .insert(connection, handle.clone());
        spawn_local(
            self.clone()
                .run_engine_connection(connection, engine, address, handle),
        );
    }

    fn send_to_engine(&self, connection: EngineConnectionId, frame: Frame) {
        let connections = self.shared.engine_connections.borrow();
        if let Some(handle) = connections.get(&connection) {
            handle.send(frame);
        }
    }

    fn save_endpoints(&self, list: &v1::EndpointList) {
        let Some(path) = self.shared.locations.borrow().endpoint_cache.clone() else {
            return;
        };
        if let Err(problem) = endpoint_cache::save(&path, list) {
            tracing::warn!(path = %path.display(), %problem, "endpoint cache not written; continuing");
        }
    }
}

/// Logs a final answer that is not a success, and the rejection of an invalid request.
fn log_answer(conn: ClientConnectionId, frame: &Frame) {
    let (conn, stream) = (conn.0, frame.stream);
    match &frame.body {
        Some(Body::Final(last)) if last.answer() != v1::Answer::Succeeded => {
            let (answer, reason) = (last.answer().as_str_name(), &last.reason);
            tracing::debug!(conn, stream, answer, reason, "answered");
        }
        Some(Body::InvalidRequest(invalid)) => {
            let (field, reason) = (&invalid.field, &invalid.reason);
            tracing::debug!(conn, stream, field, reason, "rejected");
        }
        _ => {}
    }
}

fn log(level: Level, text: &str) {
    match level {
        Level::Debug => tracing::debug!("{text}"),
        Level::Info => tracing::info!("{text}"),
        Level::Warn => tracing::warn!("{text}"),
    }
}
