//! How ends of calls are told in gRPC's words, and what an end proves: to a client, which answer its status
//! stands for and whether trying again does no harm; from an engine, whether a call that ended without its own
//! word may have run.
//!
//! A table of plain decisions without I/O; `docs/grpc.md` repeats it for users.

use crate::interface::{Ms, Outcome};

/// gRPC's status codes that are used here, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16,
}

impl Code {
    /// A number that is no code counts as unknown, as gRPC has it.
    pub fn from_number(number: u32) -> Code {
        use Code::*;
        let all = [
            Ok,
            Cancelled,
            Unknown,
            InvalidArgument,
            DeadlineExceeded,
            NotFound,
            PermissionDenied,
            ResourceExhausted,
            FailedPrecondition,
            Aborted,
            Unimplemented,
            Internal,
            Unavailable,
            DataLoss,
            Unauthenticated,
        ];
        all.into_iter()
            .find(|code| *code as u32 == number)
            .unwrap_or(Unknown)
    }
}

/// A final answer, or a refusal of the submission itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    Succeeded,
    /// `full`: there was no room, rather than nobody to do it.
    Rejected {
        full: bool,
    },
    Failed,
    /// A field cannot be right; it was not taken.
    InvalidRequest,
}

/// The status that a client gets. Clients that retry by themselves do so on `Unavailable`, which a failure
/// must never be: it may have run.
pub fn to_client(told: ClientAnswer) -> Code {
    match told {
        ClientAnswer::Succeeded => Code::Ok,
        ClientAnswer::Rejected { full: false } => Code::Unavailable,
        ClientAnswer::Rejected { full: true } => Code::ResourceExhausted,
        ClientAnswer::Failed => Code::Unknown,
        ClientAnswer::InvalidRequest => Code::InvalidArgument,
    }
}

/// What clients that retry by themselves are told of another try, beside the status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryAdvice {
    /// Nothing: there is no point in it, or the status says it all.
    Unsaid,
    /// After this long.
    After(Ms),
    /// Not at all, whatever the client's own habit: it may have run.
    Never,
}

/// `retry_after`: what a reject asks for; 0 asks for nothing.
pub fn again(told: ClientAnswer, retry_after: Ms) -> RetryAdvice {
    match told {
        ClientAnswer::Rejected { .. } if retry_after > 0.0 => RetryAdvice::After(retry_after),
        ClientAnswer::Failed => RetryAdvice::Never,
        ClientAnswer::Succeeded | ClientAnswer::Rejected { .. } | ClientAnswer::InvalidRequest => {
            RetryAdvice::Unsaid
        }
    }
}

/// Whether a client may try the same request again without harm, by the status alone.
pub fn again_is_harmless(code: Code) -> bool {
    matches!(
        code,
        Code::Unavailable | Code::ResourceExhausted | Code::InvalidArgument
    )
}

/// How a call to an engine ended that did not end with the engine's own last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No request went out: no connection, or the engine takes no more on it.
    NotSent,
    /// The engine reset the stream, with this HTTP/2 error code.
    Reset(u32),
    /// The engine went away, and the call came after the last one that it took.
    BeyondLast,
    /// The connection is gone with the call on it.
    ConnectionLost,
    /// A status; `never_ran`: the engine's own mark that nothing of it ran.
    Status { code: Code, never_ran: bool },
    /// The stream ended in order but without a status or a last message.
    Nothing,
}

/// HTTP/2's error code by which a peer says that it did not process a stream at all.
const REFUSED_STREAM: u32 = 7;

/// What such an end means for the attempt. Only what is proven counts as not run: a status says nothing of that
/// by itself, as something between here and the engine may have made it up.
pub fn attempt_outcome(end: CallEnd) -> Outcome {
    match end {
        CallEnd::NotSent => Outcome::Unreachable,
        CallEnd::Reset(REFUSED_STREAM) | CallEnd::BeyondLast => Outcome::Overloaded,
        CallEnd::Reset(_) | CallEnd::ConnectionLost | CallEnd::Nothing => Outcome::ConnectionLost,
        CallEnd::Status {
            never_ran: true, ..
        } => Outcome::Overloaded,
        CallEnd::Status { code: Code::Ok, .. } => Outcome::ConnectionLost,
        CallEnd::Status { .. } => Outcome::Failed,
    }
}
