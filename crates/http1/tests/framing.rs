//! The framing core: what is taken, what is refused, and that it does not matter in which pieces bytes come.

use bytes::BytesMut;
use cindercleat_http1::framing::{request, Body, Came, Fault, Length, Part, Reading, MOST_HEAD};
use proptest::prelude::*;

const MOST: usize = 1 << 10;

/// A whole request's body, or why it is none; nothing if more would have to come.
fn take(bytes: &mut BytesMut) -> Result<Option<Vec<u8>>, Fault> {
    let Some(head) = request(bytes)? else {
        return Ok(None);
    };
    let mut reading = Body::new(head.length, MOST);
    let mut body = Vec::new();
    loop {
        match reading.next(bytes)? {
            Some(Part::Data(data)) => body.extend_from_slice(&data),
            Some(Part::End) => return Ok(Some(body)),
            None => return Ok(None),
        }
    }
}

fn taken(text: &str) -> Result<Option<Vec<u8>>, Fault> {
    take(&mut BytesMut::from(text))
}

#[test]
fn lengths_are_taken_only_where_they_can_be_read_in_one_way() {
    let ask =
        |headers: &str, rest: &str| taken(&format!("POST /v1/x HTTP/1.1\r\n{headers}\r\n{rest}"));
    assert_eq!(
        ask("Content-Length: 3\r\n", "abc"),
        Ok(Some(b"abc".to_vec()))
    );
    assert_eq!(
        ask("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        Ok(Some(b"abc".to_vec()))
    );
    assert_eq!(ask("", ""), Ok(Some(vec![])));
    assert_eq!(ask("Content-Length: 4\r\n", "abc"), Ok(None));
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
            matches!(ask(headers, "abc"), Err(Fault::Malformed(_))),
            "{headers:?}"
        );
    }
}

#[test]
fn chunks_that_do_not_fit_are_refused() {
    let ask = |rest: &str| {
        taken(&format!(
            "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{rest}"
        ))
    };
    assert_eq!(
        ask("1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n"),
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
        assert!(matches!(ask(rest), Err(Fault::Malformed(_))), "{rest:?}");
    }
    assert!(
        matches!(ask("C0000000\r\n"), Err(Fault::TooLong(_))),
        "3 GB are refused before any of it comes"
    );
    assert!(matches!(ask(&"0".repeat(300)), Err(Fault::TooLong(_))));
}

#[test]
fn heads_without_end_and_noise_are_refused_within_the_bound() {
    let endless = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MOST_HEAD));
    assert!(matches!(taken(&endless), Err(Fault::TooLong(_))));
    let many = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(100));
    assert!(matches!(taken(&many), Err(Fault::TooLong(_))));
    for noise in [
        "\x01\x02\x03",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
    ] {
        assert!(
            matches!(taken(noise), Err(Fault::Malformed(_))),
            "{noise:?}"
        );
    }
}

fn read(bytes: &[u8]) -> Result<(Option<u16>, Vec<u8>, bool), Fault> {
    let mut bytes = BytesMut::from(bytes);
    let mut reading = Reading::new(MOST);
    let (mut status, mut body) = (None, Vec::new());
    loop {
        match reading.next(&mut bytes)? {
            Some(Came::Head(head)) => status = Some(head.first),
            Some(Came::Data(data)) => body.extend_from_slice(&data),
            Some(Came::End) => return Ok((status, body, bytes.is_empty())),
            None => return Ok((status, body, false)),
        }
    }
}

#[test]
fn interim_answers_are_passed_over_and_what_is_behind_an_answer_stays() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    assert_eq!(
        read(format!("{interim}{good}").as_bytes()),
        Ok((Some(200), b"ok".to_vec(), true))
    );
    assert_eq!(
        read(format!("{good}{good}").as_bytes()),
        Ok((Some(200), b"ok".to_vec(), false))
    );
    let endless = "HTTP/1.1 100 Continue\r\n\r\n".repeat(20);
    assert!(matches!(read(endless.as_bytes()), Err(Fault::TooLong(_))));
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_and_a_stream_does_not() {
    let mut bytes = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let mut reading = Reading::new(MOST);
    while reading.next(&mut bytes).expect("an answer").is_some() {}
    assert!(reading.may_end());
    let mut bytes =
        BytesMut::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    let mut reading = Reading::new(MOST);
    while reading.next(&mut bytes).expect("an answer").is_some() {}
    assert!(!reading.may_end());
    let length = Length::Known(3);
    assert!(!Body::new(length, MOST).may_end());
}

/// What comes of bytes that come in pieces: the parts put together, or the fault.
fn in_pieces(text: &[u8], cuts: &[usize]) -> Result<Option<Vec<u8>>, Fault> {
    let (mut bytes, mut reading) = (BytesMut::new(), None);
    let mut body = Vec::new();
    let mut at = 0;
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    for end in ends {
        bytes.extend_from_slice(&text[at..end]);
        at = end;
        if reading.is_none() {
            reading = request(&mut bytes)?.map(|head| Body::new(head.length, MOST));
        }
        while let Some(parts) = &mut reading {
            match parts.next(&mut bytes)? {
                Some(Part::Data(data)) => body.extend_from_slice(&data),
                Some(Part::End) => return Ok(Some(body)),
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
fn each_split_of_a_message_in_two_gives_the_same() {
    for message in MESSAGES {
        let whole = taken(message);
        for cut in 0..=message.len() {
            assert_eq!(
                in_pieces(message.as_bytes(), &[cut]),
                whole,
                "{message:?} cut at {cut}"
            );
        }
    }
}

proptest! {
    #[test]
    fn pieces_do_not_matter(which in 0..MESSAGES.len(), cuts in prop::collection::vec(0usize..200, 0..12)) {
        let message = MESSAGES[which];
        prop_assert_eq!(in_pieces(message.as_bytes(), &cuts), taken(message));
    }

    #[test]
    fn noise_never_panics_nor_grows(bytes in prop::collection::vec(any::<u8>(), 0..600), cut in 0usize..600) {
        let _ = in_pieces(&bytes, &[cut]);
        let _ = read(&bytes);
        let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        answer.extend_from_slice(&bytes);
        if let Ok((_, body, _)) = read(&answer) {
            prop_assert!(body.len() <= bytes.len());
        }
    }
}
