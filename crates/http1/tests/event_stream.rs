//! The first event of a stream, in all the forms that server-sent events allow, in any pieces.

use cindercleat_http1::event_stream::FirstEvent;
use test_case::test_case;

/// `whole`: how many bytes are needed until the first event is whole; none if it never is.
#[test_case("data: a\n\n", Some(9); "one line")]
#[test_case("data: a\n\ndata: b\n\n", Some(9); "another behind it")]
#[test_case("data: a\r\n\r\n", Some(11); "carriage returns and line feeds")]
#[test_case("data: a\r\rdata", Some(10); "carriage returns alone")]
#[test_case("data: a\ndata: b\n\n", Some(17); "two lines")]
#[test_case("data\n\n", Some(6); "no value")]
#[test_case(": ping\n\n: X-Pressure: {}\n\ndata: a\n\n", Some(35); "behind comments")]
#[test_case("\n\n\ndata: a\n\n", Some(12); "behind empty lines")]
#[test_case("id: 1\nevent: x\ndata: a\n\n", Some(24); "other fields before it")]
#[test_case("event: x\n\n", None; "no data")]
#[test_case("database: x\n\n", None; "a field of another name")]
#[test_case("data: a", None; "half a line")]
#[test_case("data: a\n", None; "no empty line")]
#[test_case("data: a\n\r", None; "half of the last line end")]
fn the_first_event_is_whole_with_its_empty_line(stream: &str, whole: Option<usize>) {
    let bytes = stream.as_bytes();
    let mut in_pieces = FirstEvent::default();
    for length in 0..=bytes.len() {
        let expected = whole.is_some_and(|whole| length >= whole);
        assert_eq!(
            in_pieces.is_complete(&bytes[..length]),
            expected,
            "byte by byte, {length}"
        );
        assert_eq!(
            FirstEvent::default().is_complete(&bytes[..length]),
            expected,
            "at once, {length}"
        );
    }
}
