//! Defines what gRPC status codes mean here: which status a client gets for each answer, what the client may conclude
//! about a retry, and what the end of a call to an engine proves about whether the call ran.
//!
//! The module consists of tables without I/O; `docs/grpc.md` documents them for users.

use crate::interface::{Ms, Outcome};

/// The gRPC status codes that dispatchers use, with the names and numbers that gRPC defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The call succeeded, and its answer is complete.
    Ok = 0,
    /// The caller cancelled the call.
    Cancelled = 1,
    /// No other code applies. Also used for a request that failed and may have run.
    Unknown = 2,
    /// A field of the request is invalid.
    InvalidArgument = 3,
    /// The deadline passed before the call was complete.
    DeadlineExceeded = 4,
    /// An object that the request names does not exist.
    NotFound = 5,
    /// The caller has no permission to make this call.
    PermissionDenied = 7,
    /// The service lacks capacity at the moment.
    ResourceExhausted = 8,
    /// The call is not allowed in the current state of the system; a retry alone does not help.
    FailedPrecondition = 9,
    /// The call was aborted because of a conflict with another call.
    Aborted = 10,
    /// The service does not implement the method.
    Unimplemented = 12,
    /// The service violated one of its own invariants.
    Internal = 13,
    /// The service is not reachable at the moment; clients may retry.
    Unavailable = 14,
    /// Data is lost or corrupted and cannot be recovered.
    DataLoss = 15,
    /// The call carries no valid credentials.
    Unauthenticated = 16,
}

impl Code {
    /// Converts a number to its code. As in gRPC, a number without a code counts as `Unknown`.
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

/// The answer that a client gets: the final answer to its request, or that the request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The request has run, and its answer is complete.
    Succeeded,
    /// The request was rejected and has not run.
    Rejected {
        /// `true` if the service lacked capacity, `false` if no engine could serve this request.
        for_lack_of_capacity: bool,
    },
    /// The request has not succeeded and may have run.
    Failed,
    /// A field of the request is invalid; the request was not accepted.
    InvalidRequest,
}

/// The status that a client gets for an answer. Client libraries retry on `Unavailable` by themselves, so a request
/// that failed must never get it: it may have run.
pub fn client_status(answer: ClientAnswer) -> Code {
    match answer {
        ClientAnswer::Succeeded => Code::Ok,
        ClientAnswer::Rejected {
            for_lack_of_capacity: false,
        } => Code::Unavailable,
        ClientAnswer::Rejected {
            for_lack_of_capacity: true,
        } => Code::ResourceExhausted,
        ClientAnswer::Failed => Code::Unknown,
        ClientAnswer::InvalidRequest => Code::InvalidArgument,
    }
}

/// What an answer tells client libraries with automatic retries, in addition to its status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryAdvice {
    /// No advice: a retry is pointless, or the status alone tells the client whether to retry.
    None,
    /// Retry after this many milliseconds.
    After(Ms),
    /// Do not retry, whatever the client's own policy is: the request may have run.
    Never,
}

/// Returns the advice that is sent with an answer. `retry_after`: the wait in milliseconds that a rejection asks for; 0
/// if it asks for none.
pub fn retry_advice(answer: ClientAnswer, retry_after: Ms) -> RetryAdvice {
    match answer {
        ClientAnswer::Rejected { .. } if retry_after > 0.0 => RetryAdvice::After(retry_after),
        ClientAnswer::Failed => RetryAdvice::Never,
        ClientAnswer::Succeeded | ClientAnswer::Rejected { .. } | ClientAnswer::InvalidRequest => {
            RetryAdvice::None
        }
    }
}

/// Whether the status alone proves that the request has not run, so that a client may safely retry it.
pub fn is_safe_to_retry(code: Code) -> bool {
    matches!(
        code,
        Code::Unavailable | Code::ResourceExhausted | Code::InvalidArgument
    )
}

/// How a call to an engine ended without the engine's final message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No request was sent: there was no connection, or the engine accepts no more streams on it.
    NotSent,
    /// The engine reset the stream with this HTTP/2 error code.
    Reset(u32),
    /// The engine sent GOAWAY with a last stream id that is lower than the call's, so it does not process the call.
    BeyondLastStream,
    /// The connection was lost while the call was open.
    ConnectionLost,
    /// The engine ended the call with a gRPC status.
    Status {
        /// The code of that status.
        code: Code,
        /// Whether the engine marked the status as proof that no part of the call ran.
        never_ran: bool,
    },
    /// The stream ended normally, without a status and without a final message.
    EndedWithoutStatus,
}

/// The HTTP/2 error code by which a peer states that it has not processed a stream at all (RFC 9113, section 7).
const REFUSED_STREAM: u32 = 7;

/// Returns the outcome of an attempt from the end of its call. The attempt counts as not run only if that is proven. A
/// status alone proves nothing, because a proxy between the dispatcher and the engine may have produced it.
pub fn attempt_outcome(end: CallEnd) -> Outcome {
    match end {
        CallEnd::NotSent => Outcome::Unreachable,
        CallEnd::Reset(REFUSED_STREAM) | CallEnd::BeyondLastStream => Outcome::Overloaded,
        CallEnd::Reset(_) | CallEnd::ConnectionLost | CallEnd::EndedWithoutStatus => {
            Outcome::ConnectionLost
        }
        CallEnd::Status {
            never_ran: true, ..
        } => Outcome::Overloaded,
        CallEnd::Status { code: Code::Ok, .. } => Outcome::ConnectionLost,
        CallEnd::Status { .. } => Outcome::Failed,
    }
}
