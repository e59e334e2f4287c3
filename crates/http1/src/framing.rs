//! HTTP/1.1's framing without I/O: heads (by `httparse`), lengths, chunks. Bytes go in as they come, in any
//! pieces; what is not plainly right is a [`Fault`]. Nothing here grows beyond the bounds that it is given.

use crate::wire_names::digits;
use bytes::{Buf, Bytes, BytesMut};

/// The longest head taken, in bytes, and the most header lines in it.
pub const MOST_HEAD: usize = 16 << 10;
pub const MOST_HEADERS: usize = 64;
/// The longest line that gives a chunk's size, and all trailers together.
const MOST_SIZE_LINE: usize = 256;
const MOST_TRAILERS: usize = 4 << 10;
/// Interim answers (1xx) before the one that counts.
const MOST_INTERIM: usize = 16;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It cannot be read, or be read in two ways.
    Malformed(&'static str),
    /// It is over a bound.
    TooLong(&'static str),
}

/// How the bytes of a body are told from what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Known(u64),
    Chunked,
    /// Until the connection ends; only answers may have it.
    ToEnd,
}

/// The head of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head<F> {
    pub first: F,
    pub headers: Vec<(String, Bytes)>,
    pub length: Length,
    /// Whether another message may follow on the connection.
    pub keeps: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub method: String,
    pub target: String,
}

pub type Request = Head<Asked>;
/// `first` is the status.
pub type Answer = Head<u16>;

impl<F> Head<F> {
    /// The one header of that name; several of it are none.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let first = found.next()?;
        found.next().is_none().then_some(&first.1[..])
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }
}

/// Takes a request's head off the front of `bytes`, if it is all there.
///
/// # Errors
/// It is no head, or its body's length is not plain.
pub fn request(bytes: &mut BytesMut) -> Result<Option<Request>, Fault> {
    let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(len) = whole(parsed.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let first = Asked {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
    };
    let newer = parsed.version == Some(1);
    let headers = headers(parsed.headers);
    let length = length(&headers)?.unwrap_or(Length::Known(0));
    let keeps = newer && !closes(&headers);
    bytes.advance(len);
    Ok(Some(Head {
        first,
        headers,
        length,
        keeps,
    }))
}

/// Takes an answer's head off the front of `bytes`, passing over interim ones.
fn answer(bytes: &mut BytesMut) -> Result<Option<Answer>, Fault> {
    let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(len) = whole(parsed.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or(0);
    let newer = parsed.version == Some(1);
    let headers = headers(parsed.headers);
    let bare = (100..200).contains(&status) || status == 204 || status == 304;
    let length = if bare {
        Length::Known(0)
    } else {
        length(&headers)?.unwrap_or(Length::ToEnd)
    };
    let keeps = newer && !closes(&headers) && length != Length::ToEnd;
    bytes.advance(len);
    Ok(Some(Head {
        first: status,
        headers,
        length,
        keeps,
    }))
}

fn whole(parsed: httparse::Result<usize>, held: usize) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len <= MOST_HEAD => Ok(Some(len)),
        Ok(httparse::Status::Partial) if held < MOST_HEAD => Ok(None),
        Ok(_) => Err(Fault::TooLong("the head")),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooLong("the list of headers")),
        Err(_) => Err(Fault::Malformed("the head")),
    }
}

fn headers(lines: &[httparse::Header]) -> Vec<(String, Bytes)> {
    lines
        .iter()
        .map(|line| (line.name.to_owned(), Bytes::copy_from_slice(line.value)))
        .collect()
}

fn all<'a>(headers: &'a [(String, Bytes)], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| &value[..])
}

/// Guards against a message that two readers would cut apart in different places, so that one of them sees
/// another message within its body.
fn length(headers: &[(String, Bytes)]) -> Result<Option<Length>, Fault> {
    let lengths: Vec<&[u8]> = all(headers, "content-length").collect();
    let codings: Vec<&[u8]> = all(headers, "transfer-encoding").collect();
    match (&lengths[..], &codings[..]) {
        ([], []) => Ok(None),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Some(Length::Chunked)),
        ([text], []) => match digits(text, 18) {
            Some(number) => Ok(Some(Length::Known(number))),
            None => Err(Fault::Malformed("the length")),
        },
        _ => Err(Fault::Malformed(
            "the body's length is said twice, or in a way not spoken here",
        )),
    }
}

fn closes(headers: &[(String, Bytes)]) -> bool {
    is_connection_option(headers, "close")
}

/// Whether a name stands in the `Connection` header, which lists what concerns this connection alone.
fn is_connection_option(headers: &[(String, Bytes)], name: &str) -> bool {
    let named = |value: &[u8]| {
        value
            .split(|b| *b == b',')
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    all(headers, "connection").any(named)
}

/// Headers that concern one connection or the framing of one message (RFC 9110, 7.6.1); each hop has its own.
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
    /// The headers that are meant for whoever serves the request, whatever stands between.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Bytes)> {
        let passes = |name: &str| {
            let hop = HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            !hop && !is_connection_option(&self.headers, name)
        };
        self.headers.iter().filter(move |(name, _)| passes(name))
    }
}

/// One step of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Data(Bytes),
    /// All of it has come.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Data(u64),
    ToEnd,
    Size,
    Chunk(usize),
    Trailers,
    End,
}

/// Takes a body off the front of what has come.
#[derive(Clone, Debug)]
pub struct Body {
    at: At,
    most_chunk: usize,
}

impl Body {
    /// `most_chunk`: the largest chunk taken, in bytes. Chunks are given out whole.
    pub fn new(length: Length, most_chunk: usize) -> Self {
        let at = match length {
            Length::Known(0) => At::End,
            Length::Known(bytes) => At::Data(bytes),
            Length::Chunked => At::Size,
            Length::ToEnd => At::ToEnd,
        };
        Body { at, most_chunk }
    }

    /// The next part, if enough has come for one.
    ///
    /// # Errors
    /// What came is no body of this length; nothing that follows can be believed.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<Part>, Fault> {
        loop {
            match self.at {
                At::End => return Ok(Some(Part::End)),
                _ if bytes.is_empty() => return Ok(None),
                At::ToEnd => return Ok(Some(Part::Data(bytes.split().freeze()))),
                At::Data(left) => {
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    self.at = if take as u64 == left {
                        At::End
                    } else {
                        At::Data(left - take as u64)
                    };
                    return Ok(Some(Part::Data(bytes.split_to(take).freeze())));
                }
                At::Size => {
                    let Some(line) = line(bytes, MOST_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    let size = size(&line)?;
                    if size > self.most_chunk {
                        return Err(Fault::TooLong("a chunk"));
                    }
                    self.at = if size == 0 {
                        At::Trailers
                    } else {
                        At::Chunk(size)
                    };
                }
                At::Chunk(size) => {
                    if bytes.len() < size + 2 {
                        return Ok(None);
                    }
                    if &bytes[size..size + 2] != b"\r\n" {
                        return Err(Fault::Malformed("a chunk is not of the size said"));
                    }
                    let data = bytes.split_to(size).freeze();
                    bytes.advance(2);
                    self.at = At::Size;
                    return Ok(Some(Part::Data(data)));
                }
                At::Trailers => {
                    let Some(line) = line(bytes, MOST_TRAILERS)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.at = At::End;
                    }
                }
            }
        }
    }

    /// Whether a body that ends with its connection may end here.
    pub fn may_end(&self) -> bool {
        matches!(self.at, At::End | At::ToEnd)
    }
}

/// Takes a line off the front, without its end.
fn line(bytes: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, Fault> {
    let Some(at) = bytes.iter().take(most + 2).position(|b| *b == b'\n') else {
        return if bytes.len() > most {
            Err(Fault::TooLong("a line"))
        } else {
            Ok(None)
        };
    };
    if at == 0 || bytes[at - 1] != b'\r' {
        return Err(Fault::Malformed("a line without its whole end"));
    }
    let mut line = bytes.split_to(at + 1);
    line.truncate(at - 1);
    Ok(Some(line))
}

/// A chunk's size in hex; an extension may follow.
fn size(line: &[u8]) -> Result<usize, Fault> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let digits = line[..end].trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 {
        return Err(Fault::Malformed("a chunk's size"));
    }
    digits.iter().try_fold(0, |sum, digit| {
        let value = char::from(*digit)
            .to_digit(16)
            .ok_or(Fault::Malformed("a chunk's size"))?;
        Ok(16 * sum + value as usize)
    })
}

/// What comes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Head(Answer),
    Data(Bytes),
    End,
}

/// Reads one answer.
#[derive(Clone, Debug)]
pub struct Reading {
    most_chunk: usize,
    interim: usize,
    body: Option<Body>,
}

impl Reading {
    pub fn new(most_chunk: usize) -> Self {
        Reading {
            most_chunk,
            interim: 0,
            body: None,
        }
    }

    /// The next of the answer, if enough has come for it. After `End` there is nothing more to ask for.
    ///
    /// # Errors
    /// What came is no answer.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<Came>, Fault> {
        if let Some(body) = &mut self.body {
            let part = body.next(bytes)?;
            return Ok(part.map(|part| match part {
                Part::Data(data) => Came::Data(data),
                Part::End => Came::End,
            }));
        }
        loop {
            let Some(head) = answer(bytes)? else {
                return Ok(None);
            };
            if (100..200).contains(&head.first) && head.first != 101 {
                self.interim += 1;
                if self.interim > MOST_INTERIM {
                    return Err(Fault::TooLong("the list of interim answers"));
                }
                continue;
            }
            self.body = Some(Body::new(head.length, self.most_chunk));
            return Ok(Some(Came::Head(head)));
        }
    }

    /// Whether the answer may end as its connection does.
    pub fn may_end(&self) -> bool {
        self.body.as_ref().is_some_and(Body::may_end)
    }
}
