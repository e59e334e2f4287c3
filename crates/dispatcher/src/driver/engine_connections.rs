//! Dials engines, verifies that the expected engine answers, and reads its messages until the connection ends.

use super::Driver;
use crate::state::{EngineConnectionId, Input};
use cindercleat::interface::EngineId;
use cindercleat_net::{Clock, Transport};
use cindercleat_protocol::session::{Event, Outbox, Session, Wire};
use cindercleat_protocol::{v1, Frame};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The sending side of a connection to an engine. It is created before the dial, so that the dial can be aborted.
pub(super) struct EngineHandle<O> {
    /// `None` until the connection is established.
    out: RefCell<Option<O>>,
    is_closed: Cell<bool>,
    closed: Notify,
}

impl<O: Outbox> EngineHandle<O> {
    pub fn new() -> Self {
        EngineHandle {
            out: RefCell::new(None),
            is_closed: Cell::new(false),
            closed: Notify::new(),
        }
    }

    /// Sends a frame. The frame is dropped if the connection is not established.
    pub fn send(&self, frame: Frame) {
        if let Some(out) = &*self.out.borrow() {
            out.send(frame);
        }
    }

    /// Closes the connection, or aborts the dial.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify_waiters();
        if let Some(out) = &*self.out.borrow() {
            out.close();
        }
    }

    /// Waits until [`close`](Self::close) is called.
    async fn closed(&self) {
        while !self.is_closed.get() {
            self.closed.notified().await;
        }
    }
}

impl<T: Transport, C: Clock, W: Wire> Driver<T, C, W> {
    /// Dials an engine and runs the connection until it ends.
    pub(super) async fn run_engine_connection(
        self,
        connection: EngineConnectionId,
        engine: EngineId,
        address: String,
        handle: Rc<EngineHandle<W::Out>>,
    ) {
        let reason = self
            .forward_engine_messages(connection, &engine, &address, &handle)
            .await;
        self.shared
            .engine_connections
            .borrow_mut()
            .remove(&connection);
        self.handle_input(Input::ConnectionClosed { connection, reason });
    }

    /// Dials an engine and passes its messages to the state machine. Returns the reason why the connection ended,
    /// for the log.
    async fn forward_engine_messages(
        &self,
        connection: EngineConnectionId,
        engine: &EngineId,
        address: &str,
        handle: &EngineHandle<W::Out>,
    ) -> String {
        let connected = tokio::select! { biased;
            // The state machine enforces the connect timeout: it closes a connection that takes too long.
            () = handle.closed() => return "dial aborted".to_owned(),
            connected = self.connect_to_engine(engine, address) => connected,
        };
        let Session {
            mut events,
            out,
            max_calls,
            ..
        } = match connected {
            Ok(session) => session,
            Err(reason) => {
                tracing::warn!(engine = %engine.0, address, reason, "connection to engine failed; ending its calls");
                return reason;
            }
        };
        *handle.out.borrow_mut() = Some(out);
        self.handle_input(Input::ConnectionEstablished {
            connection,
            limit: max_calls,
        });
        while let Some(event) = events.recv().await {
            match event {
                Event::Frame(frame) => self.handle_input(Input::Engine { connection, frame }),
                Event::GoingAway => self.handle_input(Input::ConnectionDraining { connection }),
                Event::UnsolicitedData => {
                    tracing::warn!(
                        engine = %engine.0,
                        connection = connection.0,
                        "engine sent data without a request, such as a second answer; closing the connection"
                    );
                }
                Event::MessagesWritten { .. } | Event::MessageBegun => {}
            }
        }
        "the connection ended".to_owned()
    }

    /// Dials an engine and verifies its name.
    ///
    /// The address may have been reassigned to another engine, which would run requests that are not meant for it.
    /// An engine should refuse a greeting that expects another name. The name in its answer is checked here as
    /// well, in case the engine does not refuse.
    async fn connect_to_engine(
        &self,
        engine: &EngineId,
        address: &str,
    ) -> Result<Session<W::Out>, String> {
        let setup = self.session_setup(&engine.0, 1);
        let session = self.connect(address, v1::Party::Engine, setup).await?;
        if session.peer.name != *engine.0 || session.peer.party() != v1::Party::Engine {
            session.out.close();
            return Err(format!(
                "expected engine {:?}, but {:?} answered",
                engine.0, session.peer.name
            ));
        }
        Ok(session)
    }
}
