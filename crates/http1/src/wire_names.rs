//! Names of the platform's protocol (headers, paths, label names, statuses), and the format of its numbers.

/// The header with the id that the client gave a request.
pub const REQUEST_ID_HEADER: &str = "X-Txn";
/// The header with a request's class.
pub const REQUEST_CLASS_HEADER: &str = "X-Lane";
/// The header with a request's tenant.
pub const TENANT_HEADER: &str = "X-Org";
/// The header with a request's session. A request without it counts as the only request of its session.
pub const SESSION_HEADER: &str = "X-Entity";
/// The header with the time to a request's deadline, in whole milliseconds.
pub const TIME_TO_DEADLINE_HEADER: &str = "X-Remaining-Ms";
/// The header that marks a retry; see [`RETRIED_VALUE`] and [`RESUMED_VALUE`].
pub const RETRIED_HEADER: &str = "X-Resent";
/// The header with a request's labels: `name=value` pairs separated by commas.
pub const LABELS_HEADER: &str = "X-Labels";
/// The header with an engine's load report, as JSON.
pub const LOAD_HEADER: &str = "X-Pressure";
/// The header that marks an engine's response as a rejection, with the value `1`: the engine did not run the request.
pub const REJECTION_HEADER: &str = "X-Turned-Away";

/// The value of [`RETRIED_HEADER`] on a retry of a request that was rejected, failed or lost.
pub const RETRIED_VALUE: &str = "1";
/// The value of [`RETRIED_HEADER`] on a request for the rest of a stream that broke.
pub const RESUMED_VALUE: &str = "again";

/// The label with the key of the shared prompt prefix, in hexadecimal.
pub const SHARED_PREFIX_LABEL: &str = "prefix";
/// The label with the length of the prompt, in tokens.
pub const PROMPT_TOKENS_LABEL: &str = "prompt_len";
/// The label with the length of the shared prompt prefix, in tokens.
pub const SHARED_TOKENS_LABEL: &str = "prefix_len";
/// The label with the maximum length of the answer, in tokens.
pub const MAX_TOKENS_LABEL: &str = "max_out";

/// The assumed number of bytes per token, for the token counts of requests without a label for them.
pub const BYTES_PER_TOKEN: usize = 4;

/// The path of the dispatcher's readiness check.
pub const READY_PATH: &str = "/-/ready";
/// The path of an engine's load report.
pub const LOAD_PATH: &str = "/-/load";
/// The prefix of the paths of clients' requests.
pub const REQUESTS_PATH_PREFIX: &str = "/v1/";
/// The prefix of the path of an engine's KV state; the request's id follows.
pub const KV_STATES_PATH_PREFIX: &str = "/bootstrap/rooms/";
/// The path of discovery's list of engines.
pub const LIST_PATH: &str = "/api/targets";
/// The query parameter with the list version that the caller already has.
pub const LIST_AFTER_PARAM: &str = "after";
/// The query parameter with the time that discovery waits for a newer version, in milliseconds.
pub const LIST_WAIT_PARAM: &str = "wait_ms";

/// The phase of a listed engine that accepts requests.
pub const PHASE_UP: &str = "up";
/// The phase of a listed engine that finishes its requests and accepts no new ones.
pub const PHASE_DRAINING: &str = "draining";
/// The phase of an engine that was removed from the list.
pub const PHASE_REMOVED: &str = "removed";

/// The status line of a rejected request. A rejected request had no effect, so a retry is safe.
pub const STATUS_REJECTED: &str = "503 Service Unavailable";
/// The status line of a failed request. A failed request may have run.
pub const STATUS_FAILED: &str = "504 Gateway Timeout";
/// The status line of a malformed or invalid request.
pub const STATUS_INVALID: &str = "400 Bad Request";

/// The status line of a successful readiness check.
pub const STATUS_OK: &str = "200 OK";
/// The status line for an unknown path.
pub const STATUS_NOT_FOUND: &str = "404 Not Found";
/// The status line for a known path with another method than POST.
pub const STATUS_WRONG_METHOD: &str = "405 Method Not Allowed";
/// The status line for a request that did not arrive completely in time.
pub const STATUS_TIMEOUT: &str = "408 Request Timeout";
/// The status line for a body over its limit.
pub const STATUS_TOO_LARGE: &str = "413 Content Too Large";
/// The status line for a request head over its limits.
pub const STATUS_HEAD_TOO_LARGE: &str = "431 Request Header Fields Too Large";

/// Parses a whole number of at most `max_digits` decimal digits, without sign or spaces; `None` for any other text.
/// `max_digits` must not exceed 18, so that the number fits in 64 bits.
pub fn parse_digits(text: &[u8], max_digits: usize) -> Option<u64> {
    let is_number =
        !text.is_empty() && text.len() <= max_digits && text.iter().all(u8::is_ascii_digit);
    is_number.then(|| {
        text.iter()
            .fold(0, |sum, digit| 10 * sum + u64::from(digit - b'0'))
    })
}

/// Parses a whole number of at most nine decimal digits; `None` for any other text.
pub fn parse_u32(text: &[u8]) -> Option<u32> {
    parse_digits(text, 9).and_then(|number| u32::try_from(number).ok())
}

/// Converts the key of a session or prompt prefix to its 64-bit id: the value of up to 16 hexadecimal digits, or the
/// FNV-1a hash of any other text.
pub fn parse_or_hash_key(text: &str) -> u64 {
    let is_hex =
        !text.is_empty() && text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = if is_hex {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    };
    number.unwrap_or_else(|| {
        text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        })
    })
}

/// Whether an id can be used in a header and in a path without escaping: 1 to 128 characters of `A-Z a-z 0-9 - _ .`.
pub fn is_valid_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= 128 && text.bytes().all(is_allowed)
}
