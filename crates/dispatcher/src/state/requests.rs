//! A request as the dispatcher's ledger knows it.

use super::invariants::FirstRun;
use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RetrySafety};
use cindercleat_protocol::v1;

/// A client's stream: its connection and its own number for the request.
pub(super) type ClientStream = (ClientConnectionId, StreamId);

#[derive(Debug)]
pub(super) struct Request {
    pub client_stream: ClientStream,
    pub submit: v1::Submit,
    /// When the client gives up, unless a stream has begun.
    pub ends: Ms,
    /// By when its stream was to begin, and that it did not.
    pub latency_objective: Ms,
    pub late: bool,
    /// The one final answer is out, or the client left and none is owed.
    pub answered: bool,
    /// How many attempts there were; the next one's number.
    pub attempts: u32,
    pub out: Option<Attempt>,
    /// Whether any attempt of it went to an engine's socket.
    pub sent: bool,
    pub retry_safety: RetrySafety,
    /// The first attempt of it that may have run.
    pub first_run: Option<FirstRun>,
}

/// The attempt of a request that is out.
#[derive(Debug)]
pub(super) struct Attempt {
    pub no: AttemptId,
    pub engine: EngineId,
    pub connection: EngineConnectionId,
    pub stream: StreamId,
    pub reading: bool,
    pub since: Ms,
    /// When it went out on a connection that was up.
    pub sent: Option<Ms>,
    /// The decisions have asked whether it has arrived.
    pub is_doubted: bool,
    /// Until when its answer is waited for.
    pub until: Ms,
    pub first: bool,
    /// Where the next token message must begin.
    pub position: u32,
    /// Token messages come from the decode engine, gone to the client, and credited to the decode engine.
    pub came: u32,
    pub gone: u32,
    pub credited: u32,
    /// When the decode engine last sent, and the client last took, something.
    pub last_came: Ms,
    pub last_gone: Ms,
}

impl Request {
    /// Its attempt has gone out on a connection that is up.
    pub fn note_sent(&mut self, now: Ms) {
        self.sent = true;
        if let Some(attempt) = &mut self.out {
            attempt.sent = Some(now);
        }
    }

    /// Nothing of it is out or owed.
    pub fn is_past(&self) -> bool {
        self.answered && self.out.is_none()
    }

    /// The id that its client gave it, where it did.
    pub fn origin(&self) -> String {
        self.submit
            .origin
            .as_ref()
            .map(|origin| origin.id.clone())
            .unwrap_or_default()
    }

    pub fn streams(&self) -> bool {
        self.out.as_ref().is_some_and(|o| o.first)
    }
}
