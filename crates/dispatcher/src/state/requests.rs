//! A request as the dispatcher's ledger knows it.

use super::invariants::PossibleRun;
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
    pub deadline: Ms,
    /// By when its stream was to begin, and that it did not.
    pub first_token_due_at: Ms,
    pub first_token_late: bool,
    /// The one final answer is out, or the client left and none is owed.
    pub answered: bool,
    /// How many attempts there were; the next one's number.
    pub attempts: u32,
    pub current_attempt: Option<Attempt>,
    /// Whether any attempt of it went to an engine's socket.
    pub was_sent: bool,
    pub retry_safety: RetrySafety,
    /// The first attempt of it that may have run.
    pub first_possible_run: Option<PossibleRun>,
}

/// The attempt of a request that is out.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub engine: EngineId,
    pub connection: EngineConnectionId,
    pub stream: StreamId,
    pub is_prefill: bool,
    pub started_at: Ms,
    /// When it went out on a connection that was up.
    pub sent_at: Option<Ms>,
    /// The decisions have asked whether it has arrived.
    pub confirmation_requested: bool,
    /// Until when its answer is waited for.
    pub expires_at: Ms,
    pub first_token_sent: bool,
    /// Where the next token message must begin.
    pub position: u32,
    /// Token messages come from the decode engine, gone to the client, and credited to the decode engine.
    pub messages_received: u32,
    pub messages_forwarded: u32,
    pub messages_credited: u32,
    /// When the decode engine last sent, and the client last took, something.
    pub last_received_at: Ms,
    pub last_forwarded_at: Ms,
}

impl Request {
    /// Its attempt has gone out on a connection that is up.
    pub fn mark_sent(&mut self, now: Ms) {
        self.was_sent = true;
        if let Some(attempt) = &mut self.current_attempt {
            attempt.sent_at = Some(now);
        }
    }

    /// Nothing of it is out or owed.
    pub fn is_finished(&self) -> bool {
        self.answered && self.current_attempt.is_none()
    }

    /// The id that its client gave it, where it did.
    pub fn origin(&self) -> String {
        self.submit
            .origin
            .as_ref()
            .map(|origin| origin.id.clone())
            .unwrap_or_default()
    }

    pub fn has_stream(&self) -> bool {
        self.current_attempt
            .as_ref()
            .is_some_and(|o| o.first_token_sent)
    }
}
