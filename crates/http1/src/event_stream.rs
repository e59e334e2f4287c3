//! Server-sent events: detects when the first event of a stream is complete. The proxy parses no other part of the
//! format.

/// Detects when the first event of a stream is complete. The stream grows between calls, and each complete line is
/// scanned once.
#[derive(Clone, Debug, Default)]
pub struct FirstEventScanner {
    /// The offset at which the first line that is not complete yet starts.
    line_start: usize,
    /// Whether a line of the current block holds data. A block without data, such as a comment, is not an event.
    has_data: bool,
    /// The first event is complete.
    complete: bool,
}

impl FirstEventScanner {
    /// Whether the stream's first event is complete. `stream` holds all bytes received so far, from the beginning.
    pub fn is_complete(&mut self, stream: &[u8]) -> bool {
        while !self.complete {
            let Some((line, next)) = next_line(stream, self.line_start) else {
                return false;
            };
            self.complete = line.is_empty() && self.has_data;
            self.has_data = !line.is_empty() && (self.has_data || is_data_line(line));
            self.line_start = next;
        }
        true
    }
}

fn is_data_line(line: &[u8]) -> bool {
    line == b"data" || line.starts_with(b"data:")
}

/// The line at offset `start` without its line end, and the offset of the next line; `None` if the line is incomplete.
/// Lines end with LF, CR LF or CR. A CR at the end of the stream may be the first half of a CR LF.
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
