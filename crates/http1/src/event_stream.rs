//! Server-sent events, as far as a proxy has to tell them apart: where the first event of a stream ends.

/// Finds the end of the first event in a stream that grows. It looks at each line once, however the bytes come.
#[derive(Clone, Debug, Default)]
pub struct FirstEvent {
    /// Where the line begins that is not whole yet.
    line_start: usize,
    /// Whether a line of the present block holds data. A block without any, such as a comment, is no event.
    has_data: bool,
    complete: bool,
}

impl FirstEvent {
    /// Whether the stream's first event is whole; `stream` is all that has come of it so far.
    pub fn is_complete(&mut self, stream: &[u8]) -> bool {
        while !self.complete {
            let Some((line, next)) = next_line(stream, self.line_start) else {
                return false;
            };
            self.complete = line.is_empty() && self.has_data;
            self.has_data = !line.is_empty() && (self.has_data || is_data(line));
            self.line_start = next;
        }
        true
    }
}

fn is_data(line: &[u8]) -> bool {
    line == b"data" || line.starts_with(b"data:")
}

/// The line that begins at `start`, without its end, and where the next one begins. Lines end with LF, CR LF or CR; a
/// CR that is the last byte may be half of an end.
fn next_line(stream: &[u8], start: usize) -> Option<(&[u8], usize)> {
    let rest = &stream[start..];
    let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let length = match rest[end..] {
        [b'\r', b'\n', ..] => 2,
        [b'\r'] => return None,
        _ => 1,
    };
    Some((&rest[..end], start + end + length))
}
