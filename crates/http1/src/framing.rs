//! HTTP/1.1 message framing without I/O: heads (parsed by `httparse`), body lengths and chunks. Input may arrive in
//! pieces of any size. Ambiguous input is refused with a [`FramingError`], and no buffer grows beyond the given limits.

use crate::wire_names::parse_digits;
use bytes::{Buf, Bytes, BytesMut};

/// The longest head accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of header lines in a head; a head with more is refused as too long.
pub const MAX_HEADERS: usize = 64;
/// The maximum length of a chunk's size line, in bytes, extensions included.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// The longest trailer line, in bytes. Trailers are discarded, so only one line is held in memory at a time.
const MAX_TRAILER_LINE_BYTES: usize = 4 << 10;
/// The longest trailer section, in bytes: as long as the longest head.
const MAX_TRAILER_SECTION_BYTES: usize = MAX_HEAD_BYTES;
/// The maximum number of bytes by which the chunk extensions of a body may be longer than its data. Extensions are
/// discarded, so that no limit on the body's size applies to them.
const MAX_EXCESS_EXTENSION_BYTES: u64 = 16 << 10;
/// What follows each line, and the data of each chunk.
const LINE_END: &[u8] = b"\r\n";
/// The maximum number of interim (1xx) responses before the final response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// The part of a message in a [`FramingError`] for a head.
pub const HEAD: &str = "the head";
/// The part of a message in [`FramingError::TooLong`] for too many header lines.
pub const HEADER_LIST: &str = "the list of headers";
/// The part of a message in [`FramingError::TooLong`] for the trailer section of a chunked body (RFC 9112, 7.1.2).
pub const TRAILER_SECTION: &str = "the trailer section";

/// The reason why bytes are not a valid message. The text of a variant names the invalid part of the message, such as
/// the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// The part is invalid or ambiguous.
    Malformed(&'static str),
    /// The part exceeds its limit.
    TooLong(&'static str),
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// A `Content-Length` in bytes, or 0 for a message without a body.
    Known(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body extends to the end of the connection; possible for responses only.
    UntilClose,
}

/// The head of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head<F> {
    /// The content of the first line: the request line of a request, or the status code of a response.
    pub start_line: F,
    /// All header lines, in the order received.
    pub headers: Vec<(String, Bytes)>,
    /// How the end of the body is determined.
    pub length: Length,
    /// Whether another message may follow on the connection.
    pub keep_alive: bool,
}

/// The request line of an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLine {
    /// The method, in the client's spelling.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
}

/// The head of a request.
pub type Request = Head<RequestLine>;
/// The head of a response; `start_line` is the status code.
pub type ResponseHead = Head<u16>;

impl<F> Head<F> {
    /// The value of a header, by case-insensitive name; `None` if the header is absent or occurs more than once.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self
            .headers
            .iter()
            .filter(|(header, _)| header.eq_ignore_ascii_case(name));
        let first = found.next()?;
        found.next().is_none().then_some(&first.1[..])
    }

    /// The value of a header as text: like [`Head::get`], but also `None` if the value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }
}

/// Removes a request head from the front of `bytes`; `None` if the head is incomplete.
///
/// # Errors
/// Returns an error if the bytes are not a request head, exceed a limit, or state the body's length ambiguously.
pub fn parse_request(bytes: &mut BytesMut) -> Result<Option<Request>, FramingError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(len) = complete_head_length(parsed.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let start_line = RequestLine {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
    };
    let is_http_1_1 = parsed.version == Some(1);
    let headers = copy_headers(parsed.headers);
    let length = body_length(&headers)?.unwrap_or(Length::Known(0));
    let keep_alive = is_http_1_1 && !closes_connection(&headers);
    bytes.advance(len);
    Ok(Some(Head {
        start_line,
        headers,
        length,
        keep_alive,
    }))
}

/// Removes a response head, final or interim, from the front of `bytes`; `None` if the head is incomplete.
fn parse_response(bytes: &mut BytesMut) -> Result<Option<ResponseHead>, FramingError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(len) = complete_head_length(parsed.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or(0);
    let is_http_1_1 = parsed.version == Some(1);
    let headers = copy_headers(parsed.headers);
    let has_no_body = (100..200).contains(&status) || status == 204 || status == 304;
    let length = if has_no_body {
        Length::Known(0)
    } else {
        body_length(&headers)?.unwrap_or(Length::UntilClose)
    };
    let keep_alive = is_http_1_1 && !closes_connection(&headers) && length != Length::UntilClose;
    bytes.advance(len);
    Ok(Some(Head {
        start_line: status,
        headers,
        length,
        keep_alive,
    }))
}

/// The length of a parsed head in bytes; `None` if the head is incomplete. `available` is the number of bytes received.
fn complete_head_length(
    parsed: httparse::Result<usize>,
    available: usize,
) -> Result<Option<usize>, FramingError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len <= MAX_HEAD_BYTES => Ok(Some(len)),
        Ok(httparse::Status::Partial) if available < MAX_HEAD_BYTES => Ok(None),
        Ok(_) => Err(FramingError::TooLong(HEAD)),
        Err(httparse::Error::TooManyHeaders) => Err(FramingError::TooLong(HEADER_LIST)),
        Err(_) => Err(FramingError::Malformed(HEAD)),
    }
}

fn copy_headers(lines: &[httparse::Header]) -> Vec<(String, Bytes)> {
    lines
        .iter()
        .map(|line| (line.name.to_owned(), Bytes::copy_from_slice(line.value)))
        .collect()
}

fn values_of<'a>(headers: &'a [(String, Bytes)], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
        .map(|(_, value)| &value[..])
}

/// The length that the headers state for the body; `None` if they state none. Refuses ambiguous lengths, which would
/// allow request smuggling: two readers could disagree on where the body ends, and one of them would find a second
/// message inside the body.
fn body_length(headers: &[(String, Bytes)]) -> Result<Option<Length>, FramingError> {
    let lengths: Vec<&[u8]> = values_of(headers, "content-length").collect();
    let codings: Vec<&[u8]> = values_of(headers, "transfer-encoding").collect();
    match (&lengths[..], &codings[..]) {
        ([], []) => Ok(None),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Some(Length::Chunked)),
        ([text], []) => match parse_digits(text, 18) {
            Some(number) => Ok(Some(Length::Known(number))),
            None => Err(FramingError::Malformed("the length")),
        },
        _ => Err(FramingError::Malformed(
            "the body's length is said twice, or in a way not spoken here",
        )),
    }
}

fn closes_connection(headers: &[(String, Bytes)]) -> bool {
    is_connection_option(headers, "close")
}

/// Whether the `Connection` header lists `name`, which marks a header as hop-by-hop.
fn is_connection_option(headers: &[(String, Bytes)], name: &str) -> bool {
    let lists_name = |value: &[u8]| {
        value
            .split(|byte| *byte == b',')
            .any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    values_of(headers, "connection").any(lists_name)
}

/// Headers that apply to one connection or to the framing of one message (RFC 9110, 7.6.1) and are not forwarded.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
];

impl<F> Head<F> {
    /// The headers to forward: all but the hop-by-hop headers.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Bytes)> {
        let is_end_to_end = |name: &str| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            !is_hop_by_hop && !is_connection_option(&self.headers, name)
        };
        self.headers
            .iter()
            .filter(move |(name, _)| is_end_to_end(name))
    }
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes of the body, without chunk framing.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The position of a [`BodyReader`] within its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Within a body of known length, with the number of bytes that remain.
    Data(u64),
    /// Within a body that extends to the end of the connection.
    UntilClose,
    /// Before the size line of a chunk.
    Size,
    /// Within the data of a chunk, with the number of bytes of data that remain.
    Chunk(usize),
    /// After the data of a chunk, before the line end that follows it.
    ChunkEnd,
    /// After the last chunk, before the empty line that ends the trailer section, with the number of bytes of the section
    /// so far.
    Trailers(usize),
    /// After the end of the body.
    End,
}

/// When the data of a chunk is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkDelivery {
    /// As it arrives. The reader's input then holds no more than what arrives at once, whatever the size of a chunk.
    InParts,
    /// Once the chunk is complete and its end was checked. The reader's input holds up to one chunk.
    Whole,
}

/// Parses a body from the front of the received bytes.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: BodyState,
    /// The largest chunk accepted, in bytes.
    max_chunk_bytes: usize,
    chunk_delivery: ChunkDelivery,
    /// The number of bytes that the chunk extensions may still use.
    remaining_extension_bytes: u64,
}

impl BodyReader {
    /// Creates a parser for a body of the given length, which returns data as it arrives. `max_chunk_bytes` is the
    /// largest chunk accepted, in bytes.
    pub fn new(length: Length, max_chunk_bytes: usize) -> Self {
        BodyReader::with_delivery(length, max_chunk_bytes, ChunkDelivery::InParts)
    }

    /// Like [`BodyReader::new`], with the choice of when the data of a chunk is returned.
    pub fn with_delivery(
        length: Length,
        max_chunk_bytes: usize,
        chunk_delivery: ChunkDelivery,
    ) -> Self {
        let state = match length {
            Length::Known(0) => BodyState::End,
            Length::Known(bytes) => BodyState::Data(bytes),
            Length::Chunked => BodyState::Size,
            Length::UntilClose => BodyState::UntilClose,
        };
        BodyReader {
            state,
            max_chunk_bytes,
            chunk_delivery,
            remaining_extension_bytes: MAX_EXCESS_EXTENSION_BYTES,
        }
    }

    /// Removes the next part from the front of `bytes`; `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if the bytes do not follow the body's framing. The rest of the connection is unusable then.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<BodyPart>, FramingError> {
        loop {
            match self.state {
                BodyState::End => return Ok(Some(BodyPart::End)),
                _ if bytes.is_empty() => return Ok(None),
                BodyState::UntilClose => return Ok(Some(BodyPart::Data(bytes.split().freeze()))),
                BodyState::Data(left) => {
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    self.state = if take as u64 == left {
                        BodyState::End
                    } else {
                        BodyState::Data(left - take as u64)
                    };
                    return Ok(Some(BodyPart::Data(bytes.split_to(take).freeze())));
                }
                BodyState::Size => {
                    let Some(line) = take_line(bytes, MAX_CHUNK_SIZE_LINE_BYTES)? else {
                        return Ok(None);
                    };
                    let ChunkSize {
                        size,
                        extension_bytes,
                    } = parse_chunk_size(&line)?;
                    if size > self.max_chunk_bytes {
                        return Err(FramingError::TooLong("a chunk"));
                    }
                    self.count_extension(size, extension_bytes)?;
                    self.state = if size == 0 {
                        BodyState::Trailers(0)
                    } else {
                        BodyState::Chunk(size)
                    };
                }
                BodyState::Chunk(size) if self.chunk_delivery == ChunkDelivery::Whole => {
                    let whole = size + LINE_END.len();
                    if bytes.len() < whole {
                        return Ok(None);
                    }
                    require_line_end(&bytes[size..whole])?;
                    let data = bytes.split_to(size).freeze();
                    bytes.advance(LINE_END.len());
                    self.state = BodyState::Size;
                    return Ok(Some(BodyPart::Data(data)));
                }
                BodyState::Chunk(left) => {
                    let take = left.min(bytes.len());
                    self.state = if take == left {
                        BodyState::ChunkEnd
                    } else {
                        BodyState::Chunk(left - take)
                    };
                    return Ok(Some(BodyPart::Data(bytes.split_to(take).freeze())));
                }
                BodyState::ChunkEnd => {
                    if bytes.len() < LINE_END.len() {
                        return Ok(None);
                    }
                    require_line_end(&bytes.split_to(LINE_END.len()))?;
                    self.state = BodyState::Size;
                }
                BodyState::Trailers(section_bytes) => {
                    let Some(line) = take_line(bytes, MAX_TRAILER_LINE_BYTES)? else {
                        return Ok(None);
                    };
                    let section_bytes = section_bytes + line.len() + LINE_END.len();
                    if section_bytes > MAX_TRAILER_SECTION_BYTES {
                        return Err(FramingError::TooLong(TRAILER_SECTION));
                    }
                    self.state = if line.is_empty() {
                        BodyState::End
                    } else {
                        BodyState::Trailers(section_bytes)
                    };
                }
            }
        }
    }

    /// Counts the extension of a chunk of `size` bytes of data.
    fn count_extension(&mut self, size: usize, extension_bytes: usize) -> Result<(), FramingError> {
        self.remaining_extension_bytes = (self.remaining_extension_bytes + size as u64)
            .checked_sub(extension_bytes as u64)
            .ok_or(FramingError::TooLong("the chunk extensions"))?;
        Ok(())
    }

    /// Whether the body is complete if the connection ends now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, BodyState::End | BodyState::UntilClose)
    }
}

/// Requires that the data of a chunk is followed by a line end.
fn require_line_end(bytes: &[u8]) -> Result<(), FramingError> {
    if bytes == LINE_END {
        Ok(())
    } else {
        Err(FramingError::Malformed("a chunk is not of the size said"))
    }
}

/// Removes a line from the front of `bytes` and returns it without its CR LF; `None` if the line is incomplete.
fn take_line(bytes: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, FramingError> {
    let Some(newline) = bytes
        .iter()
        .take(max_bytes + 2)
        .position(|byte| *byte == b'\n')
    else {
        return if bytes.len() > max_bytes {
            Err(FramingError::TooLong("a line"))
        } else {
            Ok(None)
        };
    };
    if newline == 0 || bytes[newline - 1] != b'\r' {
        return Err(FramingError::Malformed("a line without its whole end"));
    }
    let mut line = bytes.split_to(newline + 1);
    line.truncate(newline - 1);
    Ok(Some(line))
}

/// The content of a chunk's size line.
struct ChunkSize {
    /// The size of the chunk's data, in bytes.
    size: usize,
    /// The length of the chunk extension, in bytes.
    extension_bytes: usize,
}

/// Parses the size line of a chunk: the size in hexadecimal, and optionally a chunk extension, which is ignored.
fn parse_chunk_size(line: &[u8]) -> Result<ChunkSize, FramingError> {
    let end = line
        .iter()
        .position(|byte| *byte == b';')
        .unwrap_or(line.len());
    let digits = line[..end].trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 {
        return Err(FramingError::Malformed("a chunk's size"));
    }
    let size = digits.iter().try_fold(0, |sum, digit| {
        let value = char::from(*digit)
            .to_digit(16)
            .ok_or(FramingError::Malformed("a chunk's size"))?;
        Ok(16 * sum + value as usize)
    })?;
    Ok(ChunkSize {
        size,
        extension_bytes: line.len() - digits.len(),
    })
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The head of the final response.
    Head(ResponseHead),
    /// The next bytes of the body, without chunk framing.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// Parses one response, and skips the interim responses before it.
#[derive(Clone, Debug)]
pub struct ResponseReader {
    max_chunk_bytes: usize,
    chunk_delivery: ChunkDelivery,
    /// The number of interim responses skipped so far.
    interim: usize,
    /// The parser of the body; `None` until the head of the final response is received.
    body: Option<BodyReader>,
}

impl ResponseReader {
    /// Creates a parser for one response; `max_chunk_bytes` is the largest chunk accepted, in bytes. Chunks are returned
    /// only when they are complete, so that no byte of a chunk whose size is wrong is passed on.
    pub fn new(max_chunk_bytes: usize) -> Self {
        ResponseReader::with_delivery(max_chunk_bytes, ChunkDelivery::Whole)
    }

    /// Like [`ResponseReader::new`], with the choice of when the data of a chunk is returned.
    pub fn with_delivery(max_chunk_bytes: usize, chunk_delivery: ChunkDelivery) -> Self {
        ResponseReader {
            max_chunk_bytes,
            chunk_delivery,
            interim: 0,
            body: None,
        }
    }

    /// Removes the next part of the response from the front of `bytes`; `None` if more bytes are needed. `End` is the
    /// last part.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a response or exceed a limit.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<ResponsePart>, FramingError> {
        if let Some(body) = &mut self.body {
            let part = body.next(bytes)?;
            return Ok(part.map(|part| match part {
                BodyPart::Data(data) => ResponsePart::Data(data),
                BodyPart::End => ResponsePart::End,
            }));
        }
        loop {
            let Some(head) = parse_response(bytes)? else {
                return Ok(None);
            };
            if (100..200).contains(&head.start_line) && head.start_line != 101 {
                self.interim += 1;
                if self.interim > MAX_INTERIM_RESPONSES {
                    return Err(FramingError::TooLong("the list of interim responses"));
                }
                continue;
            }
            self.body = Some(BodyReader::with_delivery(
                head.length,
                self.max_chunk_bytes,
                self.chunk_delivery,
            ));
            return Ok(Some(ResponsePart::Head(head)));
        }
    }

    /// Whether the response is complete if the connection ends now.
    pub fn is_complete_at_close(&self) -> bool {
        self.body
            .as_ref()
            .is_some_and(BodyReader::is_complete_at_close)
    }
}
