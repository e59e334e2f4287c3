//! Finding the first event of a stream, for every line ending and field that server-sent events allow, however the
//! bytes are split.

use cindercleat_http1::event_stream::FirstEventScanner;
use test_case::test_case;

/// `complete_at` is the number of bytes after which the first event is complete; `None` if it is never complete.
#[test_case("data: a\n\n", Some(9); "one line")]
#[test_case("data: a\n\ndata: b\n\n", Some(9); "followed by another event")]
#[test_case("data: a\r\n\r\n", Some(11); "lines end with CR LF")]
#[test_case("data: a\r\rdata", Some(10); "lines end with CR")]
#[test_case("data: a\ndata: b\n\n", Some(17); "two lines")]
#[test_case("data\n\n", Some(6); "a data field without a value")]
#[test_case(": ping\n\n: X-Pressure: {}\n\ndata: a\n\n", Some(35); "after comments")]
#[test_case("\n\n\ndata: a\n\n", Some(12); "after empty lines")]
#[test_case("id: 1\nevent: x\ndata: a\n\n", Some(24); "other fields before it")]
#[test_case("event: x\n\n", None; "no data")]
#[test_case("database: x\n\n", None; "a field of another name")]
#[test_case("data: a", None; "an incomplete line")]
#[test_case("data: a\n", None; "no empty line")]
#[test_case("data: a\n\r", None; "the last line end may be half of a CR LF")]
fn the_first_event_is_complete_after_its_empty_line(stream: &str, complete_at: Option<usize>) {
    let bytes = stream.as_bytes();
    let mut incremental = FirstEventScanner::default();
    for length in 0..=bytes.len() {
        let expected = complete_at.is_some_and(|complete_at| length >= complete_at);
        assert_eq!(
            incremental.is_complete(&bytes[..length]),
            expected,
            "byte by byte, {length} bytes"
        );
        assert_eq!(
            FirstEventScanner::default().is_complete(&bytes[..length]),
            expected,
            "{length} bytes at once"
        );
    }
}
