//! The dispatcher's record of a request and of its current attempt. All instants are in milliseconds.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RetrySafety};
use cindercleat_protocol::v1;

/// A client's stream: its connection and its own number for the request.
pub(super) type ClientStream = (ClientConnectionId, StreamId);

/// An open request, or one that is answered and has an attempt or a KV state yet.
#[derive(Debug)]
pub(super) struct Request {
    pub client_stream: ClientStream,
    pub submit: v1::Submit,
    /// When the client gives up, unless a stream has begun.
    pub deadline: Ms,
    /// By when its first token is due, by the latency objective of its request class.
    pub first_token_due_at: Ms,
    /// Whether its first token came later.
    pub first_token_late: bool,
    /// Whether its one final answer is out, or its client has gone and none is owed.
    pub answered: bool,
    /// How many attempts were started; the id of the next one.
    pub attempts: u32,
    /// The attempt that has not ended.
    pub current_attempt: Option<Attempt>,
    /// Whether any attempt of it went out on a connection that was up.
    pub was_sent: bool,
    pub retry_safety: RetrySafety,
    /// The first attempt of it that may have run.
    pub first_possible_run: Option<PossibleRun>,
}

/// The attempt of a request that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub engine: EngineId,
    pub connection: EngineConnectionId,
    pub stream: StreamId,
    /// Whether it leaves a KV state at its engine, and no tokens.
    pub is_prefill: bool,
    pub started_at: Ms,
    /// When it went out on a connection that was up.
    pub sent_at: Option<Ms>,
    /// Whether the decisions have asked if it has arrived.
    pub confirmation_requested: bool,
    /// When it times out, unless its stream has begun.
    pub expires_at: Ms,
    /// Whether its stream has begun: the first token went to the client.
    pub first_token_sent: bool,
    /// Where the next token message must begin.
    pub position: u32,
    /// Token messages that have come from the decode engine.
    pub messages_received: u32,
    /// Token messages that were written to the client.
    pub messages_forwarded: u32,
    /// Token messages that the decode engine may send in all.
    pub messages_credited: u32,
    /// When the last token message came.
    pub last_received_at: Ms,
    /// When the last token message was written to the client.
    pub last_forwarded_at: Ms,
}

impl Request {
    /// Its current attempt has gone out on a connection that is up.
    pub fn mark_sent(&mut self, now: Ms) {
        self.was_sent = true;
        if let Some(attempt) = &mut self.current_attempt {
            attempt.sent_at = Some(now);
        }
    }

    /// Whether no attempt is current and no answer is owed.
    pub fn is_finished(&self) -> bool {
        self.answered && self.current_attempt.is_none()
    }

    /// The id that its client gave it; empty if none.
    pub fn origin(&self) -> String {
        self.submit
            .origin
            .as_ref()
            .map(|origin| origin.id.clone())
            .unwrap_or_default()
    }

    /// Whether tokens of its current attempt have gone to the client.
    pub fn has_stream(&self) -> bool {
        self.current_attempt
            .as_ref()
            .is_some_and(|attempt| attempt.first_token_sent)
    }
}

/// The first attempt of a request that may have run: where and when it was sent.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PossibleRun {
    pub zone: String,
    pub cell: String,
    /// In milliseconds.
    pub at: Ms,
}
