//! HTTP/1.1 framing: which messages are accepted and refused, independent of how the bytes are split.

use bytes::BytesMut;
use cindercleat_http1::framing::{
    parse_request, BodyPart, BodyReader, FramingError, Length, ResponsePart, ResponseReader,
    MAX_HEAD_BYTES,
};
use proptest::prelude::*;

const MAX_CHUNK_BYTES: usize = 1 << 10;

/// Parses a request from one buffer and returns its body; `None` if the request is incomplete.
fn parse_body(bytes: &mut BytesMut) -> Result<Option<Vec<u8>>, FramingError> {
    let Some(head) = parse_request(bytes)? else {
        return Ok(None);
    };
    let mut reader = BodyReader::new(head.length, MAX_CHUNK_BYTES);
    let mut body = Vec::new();
    loop {
        match reader.next(bytes)? {
            Some(BodyPart::Data(data)) => body.extend_from_slice(&data),
            Some(BodyPart::End) => return Ok(Some(body)),
            None => return Ok(None),
        }
    }
}

fn parse_text(text: &str) -> Result<Option<Vec<u8>>, FramingError> {
    parse_body(&mut BytesMut::from(text))
}

#[test]
fn only_unambiguous_body_lengths_are_accepted() {
    let request_with = |headers: &str, rest: &str| {
        parse_text(&format!("POST /v1/x HTTP/1.1\r\n{headers}\r\n{rest}"))
    };
    assert_eq!(
        request_with("Content-Length: 3\r\n", "abc"),
        Ok(Some(b"abc".to_vec()))
    );
    assert_eq!(
        request_with("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        Ok(Some(b"abc".to_vec()))
    );
    assert_eq!(request_with("", ""), Ok(Some(vec![])));
    assert_eq!(request_with("Content-Length: 4\r\n", "abc"), Ok(None));
    for headers in [
        "Content-Length: -1\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: \r\n",
        "Content-Length: 0x3\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert!(
            matches!(
                request_with(headers, "abc"),
                Err(FramingError::Malformed(_))
            ),
            "{headers:?}"
        );
    }
}

#[test]
fn malformed_and_oversized_chunks_are_refused() {
    let request_with = |rest: &str| {
        parse_text(&format!(
            "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{rest}"
        ))
    };
    assert_eq!(
        request_with("1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n"),
        Ok(Some(b"a".to_vec()))
    );
    for rest in [
        "g\r\n",
        "\r\n",
        "-1\r\n",
        "123456789\r\n",
        " 1\r\na\r\n",
        "1\na\r\n",
        "2\r\nabc\r\n",
        "1\r\nabc",
    ] {
        assert!(
            matches!(request_with(rest), Err(FramingError::Malformed(_))),
            "{rest:?}"
        );
    }
    assert!(
        matches!(request_with("C0000000\r\n"), Err(FramingError::TooLong(_))),
        "a chunk of 3 GB is refused at its size line"
    );
    assert!(matches!(
        request_with(&"0".repeat(300)),
        Err(FramingError::TooLong(_))
    ));
}

#[test]
fn endless_and_malformed_heads_are_refused_within_the_limits() {
    let endless_header = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    assert!(matches!(
        parse_text(&endless_header),
        Err(FramingError::TooLong(_))
    ));
    let too_many_headers = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(100));
    assert!(matches!(
        parse_text(&too_many_headers),
        Err(FramingError::TooLong(_))
    ));
    for malformed in [
        "\x01\x02\x03",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
    ] {
        assert!(
            matches!(parse_text(malformed), Err(FramingError::Malformed(_))),
            "{malformed:?}"
        );
    }
}

/// The status and body of a response, and whether the response is complete with no bytes left over.
fn parse_response(bytes: &[u8]) -> Result<(Option<u16>, Vec<u8>, bool), FramingError> {
    let mut bytes = BytesMut::from(bytes);
    let mut reader = ResponseReader::new(MAX_CHUNK_BYTES);
    let (mut status, mut body) = (None, Vec::new());
    loop {
        match reader.next(&mut bytes)? {
            Some(ResponsePart::Head(head)) => status = Some(head.start_line),
            Some(ResponsePart::Data(data)) => body.extend_from_slice(&data),
            Some(ResponsePart::End) => return Ok((status, body, bytes.is_empty())),
            None => return Ok((status, body, false)),
        }
    }
}

#[test]
fn interim_responses_are_skipped_and_bytes_after_a_response_are_kept() {
    let final_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    assert_eq!(
        parse_response(format!("{interim}{final_response}").as_bytes()),
        Ok((Some(200), b"ok".to_vec(), true))
    );
    assert_eq!(
        parse_response(format!("{final_response}{final_response}").as_bytes()),
        Ok((Some(200), b"ok".to_vec(), false))
    );
    let too_many_interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(20);
    assert!(matches!(
        parse_response(too_many_interim.as_bytes()),
        Err(FramingError::TooLong(_))
    ));
}

#[test]
fn a_response_without_a_length_may_end_with_its_connection_and_a_chunked_one_may_not() {
    let mut bytes = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let mut reader = ResponseReader::new(MAX_CHUNK_BYTES);
    while reader.next(&mut bytes).expect("valid response").is_some() {}
    assert!(reader.is_complete_at_close());
    let mut bytes =
        BytesMut::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    let mut reader = ResponseReader::new(MAX_CHUNK_BYTES);
    while reader.next(&mut bytes).expect("valid response").is_some() {}
    assert!(!reader.is_complete_at_close());
    let length = Length::Known(3);
    assert!(!BodyReader::new(length, MAX_CHUNK_BYTES).is_complete_at_close());
}

/// Parses a request whose bytes arrive in pieces, split at the offsets `cuts`, and returns its body; `None` if the
/// request is incomplete.
fn parse_pieces(text: &[u8], cuts: &[usize]) -> Result<Option<Vec<u8>>, FramingError> {
    let (mut bytes, mut reader) = (BytesMut::new(), None);
    let mut body = Vec::new();
    let mut at = 0;
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    for end in ends {
        bytes.extend_from_slice(&text[at..end]);
        at = end;
        if reader.is_none() {
            reader = parse_request(&mut bytes)?
                .map(|head| BodyReader::new(head.length, MAX_CHUNK_BYTES));
        }
        while let Some(parser) = &mut reader {
            match parser.next(&mut bytes)? {
                Some(BodyPart::Data(data)) => body.extend_from_slice(&data),
                Some(BodyPart::End) => return Ok(Some(body)),
                None => break,
            }
        }
    }
    Ok(None)
}

const MESSAGES: [&str; 8] = [
    "POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA;q=1\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
    "GET /-/ready HTTP/1.1\r\n\r\n",
    "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n",
    "POST /v1/x HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
    "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n",
    "POST /v1/x HTTP/1.1\r\nContent-Length: 50\r\n\r\nhello",
    "P\x00ST /v1/x HTTP/1.1\r\n\r\n",
];

#[test]
fn a_message_split_at_any_offset_gives_the_same_result() {
    for message in MESSAGES {
        let unsplit = parse_text(message);
        for cut in 0..=message.len() {
            assert_eq!(
                parse_pieces(message.as_bytes(), &[cut]),
                unsplit,
                "{message:?} cut at {cut}"
            );
        }
    }
}

proptest! {
    #[test]
    fn a_message_in_any_pieces_gives_the_same_result(
        message_index in 0..MESSAGES.len(),
        cuts in prop::collection::vec(0usize..200, 0..12),
    ) {
        let message = MESSAGES[message_index];
        prop_assert_eq!(parse_pieces(message.as_bytes(), &cuts), parse_text(message));
    }

    #[test]
    fn random_bytes_never_panic_and_never_give_a_body_longer_than_the_input(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
        cut in 0usize..600,
    ) {
        let _ = parse_pieces(&bytes, &[cut]);
        let _ = parse_response(&bytes);
        let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        response.extend_from_slice(&bytes);
        if let Ok((_, body, _)) = parse_response(&response) {
            prop_assert!(body.len() <= bytes.len());
        }
    }
}
