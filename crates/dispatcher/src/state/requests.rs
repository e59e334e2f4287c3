//! The dispatcher's records of a request and its current attempt. All instants are in milliseconds.

use super::{ClientConnectionId, EngineConnectionId, StreamId};
use cindercleat::interface::{AttemptId, EngineId, Ms, RetrySafety};
use cindercleat_protocol::v1;

/// The stream on which a client has sent a request: the client connection and the id that the client has chosen for
/// the stream.
pub(super) type ClientStream = (ClientConnectionId, StreamId);

/// A request that is open, or that is answered but still has an attempt or a KV state.
#[derive(Debug)]
pub(super) struct Request {
    pub client_stream: ClientStream,
    pub submit: v1::Submit,
    /// The instant at which the client stops waiting for the first token.
    pub deadline: Ms,
    /// When the first token must be sent to meet the latency objective of the request class.
    pub first_token_due_at: Ms,
    /// Whether the first token was sent after `first_token_due_at`.
    pub first_token_late: bool,
    /// Whether the client expects no final answer any more, because the answer was sent or the client has gone.
    pub answered: bool,
    /// The number of attempts started so far; also the id of the next attempt.
    pub attempts: u32,
    /// The attempt that is queued or running; `None` between attempts.
    pub current_attempt: Option<Attempt>,
    /// Whether any attempt of the request was sent on an established connection.
    pub was_sent: bool,
    pub retry_safety: RetrySafety,
    /// The first attempt that may have run; `None` as long as a retry cannot cause the effect of the request twice.
    pub first_possible_run: Option<PossibleRun>,
}

/// An attempt that has not ended, with the progress of its token stream.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub engine: EngineId,
    pub connection: EngineConnectionId,
    pub stream: StreamId,
    /// Whether the attempt only prefills: it leaves a KV state at its engine and streams no tokens.
    pub is_prefill: bool,
    pub started_at: Ms,
    /// When the attempt was sent on an established connection; `None` while it is queued.
    pub sent_at: Option<Ms>,
    /// Whether `Control` has asked for a confirmation that the attempt has reached its engine.
    pub confirmation_requested: bool,
    /// When the attempt times out, unless its first token was sent to the client before.
    pub expires_at: Ms,
    /// Whether the first token was sent to the client, which begins the token stream.
    pub first_token_sent: bool,
    /// The position in the token stream that the next message from the decode engine must have.
    pub position: u32,
    /// The number of token messages received from the decode engine.
    pub messages_received: u32,
    /// The number of token messages written to the client.
    pub messages_forwarded: u32,
    /// The total number of token messages that the decode engine may send.
    pub messages_credited: u32,
    /// When the last token message was received.
    pub last_received_at: Ms,
    /// When the last token message was written to the client.
    pub last_forwarded_at: Ms,
}

impl Request {
    /// Records that the current attempt was sent on an established connection.
    pub fn mark_sent(&mut self, now: Ms) {
        self.was_sent = true;
        if let Some(attempt) = &mut self.current_attempt {
            attempt.sent_at = Some(now);
        }
    }

    /// Whether the client expects no final answer any more and no attempt is running.
    pub fn is_finished(&self) -> bool {
        self.answered && self.current_attempt.is_none()
    }

    /// The id that the client assigned to the request; empty if it assigned none.
    pub fn origin(&self) -> String {
        self.submit
            .origin
            .as_ref()
            .map(|origin| origin.id.clone())
            .unwrap_or_default()
    }

    /// Whether tokens of the current attempt were sent to the client.
    pub fn has_stream(&self) -> bool {
        self.current_attempt
            .as_ref()
            .is_some_and(|attempt| attempt.first_token_sent)
    }
}

/// Where and when the first attempt that may have run was started.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PossibleRun {
    pub zone: String,
    pub cell: String,
    /// When the attempt was started, in milliseconds.
    pub started_at: Ms,
}
