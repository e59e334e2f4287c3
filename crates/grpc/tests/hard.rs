//! Faulty HTTP/2 peers, written frame by frame: resets, GOAWAYs, trailers-only responses, missing bodies, incomplete
//! and oversized messages, and flow-control windows and stream limits that delay calls.

use cindercleat_grpc::{connect, serve, Event, Session, Setup};
use cindercleat_protocol::{frame, v1, Body};
use prost::Message;
use std::future::Future;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, yield_now, LocalSet};

// Types of HTTP/2 frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
// Identifiers of HTTP/2 settings.
const MAX_CONCURRENT_STREAMS: u16 = 3;
const INITIAL_WINDOW_SIZE: u16 = 4;
// Flags of HTTP/2 frames.
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
/// The HTTP/2 error code of a stream that was not processed.
const REFUSED_STREAM: u32 = 7;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime built"), test);
}

fn setup(party: v1::Party) -> Setup {
    let (name, expects) = ("d".to_owned(), String::new());
    Setup {
        party,
        name,
        expects,
        run: 7,
        max_message_bytes: 1 << 16,
        max_concurrent_calls: 10,
    }
}

/// One end of an HTTP/2 connection, on which a test writes and reads single frames.
struct RawConnection {
    io: DuplexStream,
}

/// Encodes headers in HPACK as literals, except `:status 200`, which is an entry of HPACK's static table.
fn headers(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in fields {
        match (*name, *value) {
            (":status", "200") => out.push(0x88),
            _ => {
                out.push(0);
                for text in [name, value] {
                    out.push(text.len() as u8);
                    out.extend(text.as_bytes());
                }
            }
        }
    }
    out
}

/// Encodes a gRPC message with its prefix.
fn encode_message(message: &impl Message) -> Vec<u8> {
    let bytes = message.encode_to_vec();
    [&[0][..], &(bytes.len() as u32).to_be_bytes(), &bytes].concat()
}

impl RawConnection {
    async fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = (payload.len() as u32).to_be_bytes();
        let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
        // The write fails if the peer has closed the connection.
        let _ = self.io.write_all(&[&head, payload].concat()).await;
    }

    /// The next frame, as type, flags, stream and payload; `None` at the end of the connection.
    async fn next(&mut self) -> Option<(u8, u8, u32, Vec<u8>)> {
        let mut head = [0; 9];
        self.io.read_exact(&mut head).await.ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.io.read_exact(&mut payload).await.ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        Some((head[3], head[4], stream, payload))
    }

    /// The next frame that is neither a settings frame nor a window update; acknowledges settings.
    async fn next_stream_frame(&mut self) -> Option<(u8, u8, u32, Vec<u8>)> {
        loop {
            match self.next().await? {
                (SETTINGS, 0, ..) => self.send(SETTINGS, 1, 0, &[]).await,
                (SETTINGS | WINDOW_UPDATE, ..) => {}
                frame => return Some(frame),
            }
        }
    }

    /// The stream of the next call whose request is complete.
    async fn next_call(&mut self) -> u32 {
        loop {
            let (_, flags, stream, _) = self.next_stream_frame().await.expect("call received");
            if flags & END_STREAM > 0 {
                return stream;
            }
        }
    }

    async fn send_head(&mut self, stream: u32) {
        let head = headers(&[(":status", "200"), ("content-type", "application/grpc")]);
        self.send(HEADERS, END_HEADERS, stream, &head).await;
    }

    async fn send_trailers(&mut self, stream: u32, fields: &[(&str, &str)]) {
        self.send(HEADERS, END_HEADERS | END_STREAM, stream, &headers(fields))
            .await;
    }

    async fn send_token(&mut self, stream: u32, position: u32) {
        let tokens = v1::Tokens {
            position,
            count: 1,
            text: Default::default(),
        };
        let reply = v1::DecodeReply {
            part: Some(v1::decode_reply::Part::Tokens(tokens)),
        };
        self.send(DATA, 0, stream, &encode_message(&reply)).await;
    }

    async fn send_end(&mut self, stream: u32) {
        let ended = v1::Ended {
            status: v1::Status::Succeeded.into(),
            ..v1::Ended::default()
        };
        let reply = v1::DecodeReply {
            part: Some(v1::decode_reply::Part::Ended(ended)),
        };
        self.send(DATA, 0, stream, &encode_message(&reply)).await;
        self.send_trailers(stream, &[("grpc-status", "0")]).await;
    }
}

/// A session with an engine that sends these HTTP/2 settings, as pairs of identifier and value.
async fn engine(settings: &[(u16, u32)]) -> (Session, RawConnection) {
    let (client_end, engine_end) = tokio::io::duplex(1 << 16);
    let connecting = spawn_local(connect(
        client_end,
        v1::Party::Engine,
        setup(v1::Party::Dispatcher),
    ));
    let mut raw = RawConnection { io: engine_end };
    let mut preface = [0; 24];
    raw.io
        .read_exact(&mut preface)
        .await
        .expect("HTTP/2 preface received");
    let payload: Vec<u8> = settings
        .iter()
        .flat_map(|(id, value)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat())
        .collect();
    raw.send(SETTINGS, 0, 0, &payload).await;
    if settings
        .iter()
        .any(|(id, value)| (*id, *value) == (INITIAL_WINDOW_SIZE, 0))
    {
        // With this setting, streams start with an empty flow-control window, so the engine cannot receive the
        // greeting until it enlarges the window.
        raw.send(WINDOW_UPDATE, 0, 1, &1000u32.to_be_bytes()).await;
    }
    let greeting = raw.next_call().await;
    let hello = v1::Hello {
        version: cindercleat_protocol::VERSION,
        ..v1::Hello::default()
    };
    raw.send_head(greeting).await;
    raw.send(DATA, 0, greeting, &encode_message(&hello)).await;
    raw.send_trailers(greeting, &[("grpc-status", "0")]).await;
    let session = connecting.await.expect("connecting task completed");
    (session.expect("session started"), raw)
}

fn decode() -> Body {
    Body::Decode(v1::Decode {
        window: 100,
        max_tokens: 5,
        ..v1::Decode::default()
    })
}

/// The next frame that holds no tokens, as stream and body; `None` once the session has ended.
async fn next_result(session: &mut Session) -> Option<(u64, Body)> {
    loop {
        match session.events.recv().await? {
            Event::Frame(frame) if matches!(frame.body, Some(Body::Tokens(_))) => {}
            Event::Frame(frame) => return Some((frame.stream, frame.body?)),
            Event::MessagesWritten { .. }
            | Event::GoingAway
            | Event::MessageBegun
            | Event::UnsolicitedData => {}
        }
    }
}

fn attempt_status(result: Option<(u64, Body)>) -> v1::Status {
    match result {
        Some((_, Body::Ended(ended))) => ended.status(),
        other => panic!("expected the end of the attempt, got {other:?}"),
    }
}

/// Covers all HTTP/2 error codes and an undefined one. Only REFUSED_STREAM proves that nothing ran, and only before the
/// first token.
#[test]
fn only_a_reset_with_refused_stream_counts_as_overload() {
    for code in (0..=13u32).chain([0xffff]) {
        run(async {
            let (mut session, mut raw) = engine(&[]).await;
            session.out.send(frame(1, decode()));
            let call = raw.next_call().await;
            raw.send(RST_STREAM, 0, call, &code.to_be_bytes()).await;
            let expected = if code == REFUSED_STREAM {
                v1::Status::Overloaded
            } else {
                v1::Status::Failed
            };
            assert_eq!(
                attempt_status(next_result(&mut session).await),
                expected,
                "code {code}"
            );
            session.out.send(frame(2, decode()));
            let call = raw.next_call().await;
            raw.send_head(call).await;
            raw.send_token(call, 0).await;
            raw.send(RST_STREAM, 0, call, &code.to_be_bytes()).await;
            let status = attempt_status(next_result(&mut session).await);
            assert!(
                status == v1::Status::Failed || code == REFUSED_STREAM,
                "code {code}: {status:?}"
            );
            // A reset of one call leaves the connection usable for the next call.
            session.out.send(frame(3, decode()));
            let call = raw.next_call().await;
            raw.send_head(call).await;
            raw.send_end(call).await;
            assert_eq!(
                attempt_status(next_result(&mut session).await),
                v1::Status::Succeeded
            );
        });
    }
}

#[test_case(true; "the connection then ends")]
#[test_case(false; "the connection stays open")]
fn a_goaway_proves_that_only_streams_after_its_last_id_did_not_run(connection_ends: bool) {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        let mut calls = Vec::new();
        for stream in 1..=3 {
            session.out.send(frame(stream, decode()));
            calls.push(raw.next_call().await);
        }
        raw.send_head(calls[0]).await;
        raw.send_token(calls[0], 0).await;
        raw.send(GOAWAY, 0, 0, &[calls[1].to_be_bytes(), [0; 4]].concat())
            .await;
        let (stream, body) = next_result(&mut session)
            .await
            .expect("end of the call received");
        assert_eq!(stream, 3, "only the stream after the last id must end");
        assert_eq!(attempt_status(Some((3, body))), v1::Status::Overloaded);
        // A call that starts after the GOAWAY is not sent. The two calls up to the last id continue.
        session.out.send(frame(4, decode()));
        let (stream, body) = next_result(&mut session)
            .await
            .expect("end of the call received");
        assert_eq!(
            (stream, attempt_status(Some((4, body)))),
            (4, v1::Status::Overloaded)
        );
        raw.send_end(calls[0]).await;
        let (stream, body) = next_result(&mut session)
            .await
            .expect("end of the call received");
        assert_eq!(
            (stream, attempt_status(Some((1, body)))),
            (1, v1::Status::Succeeded)
        );
        if connection_ends {
            drop(raw);
            // The second call's stream is not after the last id, so the call may have run.
            match next_result(&mut session).await {
                None => {}
                Some((2, body)) => assert_eq!(attempt_status(Some((2, body))), v1::Status::Failed),
                other => {
                    panic!("expected the end of the second call or of the session, got {other:?}")
                }
            }
        } else {
            raw.send_head(calls[1]).await;
            raw.send_end(calls[1]).await;
            assert_eq!(
                attempt_status(next_result(&mut session).await),
                v1::Status::Succeeded
            );
        }
        while next_result(&mut session).await.is_some() {}
    });
}

/// Guards against the loss of tokens when the engine closes the connection after a GOAWAY while the stream waits for
/// credit.
#[test]
fn tokens_that_wait_for_credit_survive_the_orderly_end_of_their_connection() {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(
            1,
            Body::Decode(v1::Decode {
                window: 1,
                ..v1::Decode::default()
            }),
        ));
        let call = raw.next_call().await;
        raw.send_head(call).await;
        for position in 0..5 {
            raw.send_token(call, position).await;
        }
        raw.send_end(call).await;
        raw.send(GOAWAY, 0, 0, &[call.to_be_bytes(), [0; 4]].concat())
            .await;
        drop(raw);
        let mut tokens = 0;
        loop {
            match session.events.recv().await {
                Some(Event::Frame(frame)) if matches!(frame.body, Some(Body::Tokens(_))) => {
                    tokens += 1;
                    session.out.send(cindercleat_protocol::frame(
                        1,
                        Body::Credit(v1::Credit { messages: 1 }),
                    ));
                }
                Some(Event::Frame(frame)) => {
                    assert!(matches!(frame.body, Some(Body::Ended(_))));
                    break;
                }
                Some(_) => {}
                None => panic!("the session ended after {tokens} of 5 token messages"),
            }
        }
        assert_eq!(tokens, 5);
        assert_eq!(session.events.recv().await, None);
    });
}

#[test]
fn a_goaway_is_reported_at_once_and_only_once() {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(1, decode()));
        let call = raw.next_call().await;
        raw.send(GOAWAY, 0, 0, &[[0x7f, 255, 255, 255], [0; 4]].concat())
            .await;
        assert_eq!(session.events.recv().await, Some(Event::GoingAway));
        raw.send(GOAWAY, 0, 0, &[call.to_be_bytes(), [0; 4]].concat())
            .await;
        raw.send_head(call).await;
        raw.send_end(call).await;
        assert!(
            matches!(session.events.recv().await, Some(Event::Frame(_))),
            "expected the end of the attempt"
        );
        assert_eq!(
            session.events.recv().await,
            None,
            "the connection must end after its last call"
        );
    });
}

#[test_case(&[("grpc-status", "14")], v1::Status::Failed; "unavailable, which proxies send too")]
#[test_case(&[("grpc-status", "14"), ("cindercleat-ran", "no")], v1::Status::Overloaded;
    "a header states that nothing ran")]
#[test_case(&[("grpc-status", "14"), ("cindercleat-ran", "yes")], v1::Status::Failed;
    "a header states that the call ran")]
#[test_case(&[("grpc-status", "0")], v1::Status::Failed; "ok without a final message")]
#[test_case(&[("grpc-status", "99")], v1::Status::Failed; "an undefined status")]
#[test_case(&[("grpc-status", "x")], v1::Status::Failed; "a status that is not a number")]
#[test_case(&[], v1::Status::Failed; "headers without a body")]
fn a_trailers_only_response_counts_as_overload_only_if_it_states_that_nothing_ran(
    status: &[(&str, &str)],
    expected: v1::Status,
) {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(1, decode()));
        let call = raw.next_call().await;
        let head = [(":status", "200"), ("content-type", "application/grpc")];
        raw.send_trailers(call, &[&head[..], status].concat()).await;
        assert_eq!(attempt_status(next_result(&mut session).await), expected);
    });
}

#[test]
fn a_stream_that_ends_without_its_final_message_counts_as_failed() {
    let compressed = [1, 0, 0, 0, 1, 0];
    let oversized = [0, 0xff, 0xff, 0xff, 0xff];
    let parts: [(&[u8], bool); 5] = [
        (&[], true),
        (&[0, 0, 0, 0, 9, 1], true),
        (&compressed, false),
        (&oversized, false),
        (&[0, 0], true),
    ];
    for (bytes, ends) in parts {
        run(async {
            let (mut session, mut raw) = engine(&[]).await;
            session.out.send(frame(1, decode()));
            let call = raw.next_call().await;
            raw.send_head(call).await;
            raw.send_token(call, 0).await;
            raw.send(DATA, if ends { END_STREAM } else { 0 }, call, bytes)
                .await;
            assert_eq!(
                attempt_status(next_result(&mut session).await),
                v1::Status::Failed,
                "{bytes:?}"
            );
            if !ends {
                // The client resets the call at the unusable message, without waiting for the end of the stream.
                loop {
                    if let (RST_STREAM, _, stream, _) =
                        raw.next_stream_frame().await.expect("reset received")
                    {
                        assert_eq!(stream, call);
                        break;
                    }
                }
            }
        });
    }
}

#[test]
fn a_call_that_is_cancelled_while_it_waits_for_a_stream_is_never_sent() {
    run(async {
        // The engine allows one call at a time.
        let (mut session, mut raw) = engine(&[(MAX_CONCURRENT_STREAMS, 1)]).await;
        assert_eq!(session.max_calls, Some(1));
        session.out.send(frame(1, decode()));
        let first = raw.next_call().await;
        session.out.send(frame(2, decode()));
        for _ in 0..20 {
            yield_now().await;
        }
        session.out.send(frame(2, Body::Cancel(v1::Cancel {})));
        let (stream, _) = next_result(&mut session)
            .await
            .expect("end of the call received");
        assert_eq!(stream, 2);
        raw.send_head(first).await;
        raw.send_end(first).await;
        assert_eq!(
            attempt_status(next_result(&mut session).await),
            v1::Status::Succeeded
        );
        session.out.send(frame(3, decode()));
        // The next complete call is the third. The second was never sent, or reset before it was complete.
        let third = raw.next_call().await;
        raw.send_head(third).await;
        raw.send_end(third).await;
        let (stream, body) = next_result(&mut session)
            .await
            .expect("end of the call received");
        assert_eq!(
            (stream, attempt_status(Some((3, body)))),
            (3, v1::Status::Succeeded)
        );
    });
}

#[test]
fn a_cancel_is_sent_while_the_engines_window_is_empty() {
    run(async {
        let (mut session, mut raw) = engine(&[(INITIAL_WINDOW_SIZE, 0)]).await;
        session.out.send(frame(1, decode()));
        let (kind, _, call, _) = raw
            .next_stream_frame()
            .await
            .expect("headers of the call received");
        assert_eq!(kind, HEADERS);
        session.out.send(frame(1, Body::Cancel(v1::Cancel {})));
        let (kind, _, stream, code) = raw.next_stream_frame().await.expect("reset received");
        assert_eq!(
            (kind, stream, &code[..]),
            (RST_STREAM, call, &[0, 0, 0, 8][..])
        );
        assert_eq!(
            attempt_status(next_result(&mut session).await),
            v1::Status::Cancelled
        );
    });
}

/// A serving session, and the raw connection of its client.
async fn client() -> (ServingTask, RawConnection) {
    let (client_end, server_end) = tokio::io::duplex(1 << 20);
    let serving = spawn_local(serve(server_end, setup(v1::Party::Dispatcher)));
    let mut raw = RawConnection { io: client_end };
    raw.io
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .expect("preface written");
    raw.send(SETTINGS, 0, 0, &[]).await;
    (serving, raw)
}

type ServingTask = tokio::task::JoinHandle<Result<Session, String>>;

/// The headers of a call to this path.
fn call_headers(path: &str) -> Vec<u8> {
    headers(&[
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "d"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ])
}

#[test]
fn calls_over_the_limit_are_refused_and_not_reported() {
    run(async {
        let (serving, mut raw) = client().await;
        let submit = encode_message(&v1::Submit {
            request_class: "p".to_owned(),
            ..v1::Submit::default()
        });
        for n in 0..15u32 {
            raw.send(
                HEADERS,
                END_HEADERS,
                2 * n + 1,
                &call_headers("/cindercleat.v1.Router/Run"),
            )
            .await;
            raw.send(DATA, END_STREAM, 2 * n + 1, &submit).await;
        }
        let mut session = serving
            .await
            .expect("serving task completed")
            .expect("session started");
        let mut refused = 0;
        while refused < 5 {
            if let (RST_STREAM, _, stream, code) =
                raw.next_stream_frame().await.expect("reset received")
            {
                assert_eq!(code, REFUSED_STREAM.to_be_bytes(), "stream {stream}");
                refused += 1;
            }
        }
        let mut accepted = 0;
        while let Ok(event) = session.events.try_recv() {
            accepted += usize::from(matches!(event, Event::Frame(_)));
        }
        assert_eq!(accepted, 10, "the maximum number of open calls");
    });
}

#[test]
fn a_flood_of_reset_calls_uses_bounded_memory_and_ends_the_connection() {
    run(async {
        let (serving, mut raw) = client().await;
        let submit = encode_message(&v1::Submit {
            request_class: "p".to_owned(),
            ..v1::Submit::default()
        });
        let flood = async {
            for n in 0..20_000u32 {
                raw.send(
                    HEADERS,
                    END_HEADERS,
                    2 * n + 1,
                    &call_headers("/cindercleat.v1.Router/Run"),
                )
                .await;
                raw.send(DATA, END_STREAM, 2 * n + 1, &submit).await;
                raw.send(RST_STREAM, 0, 2 * n + 1, &8u32.to_be_bytes())
                    .await;
            }
            raw
        };
        let reading = async {
            let mut session = match serving.await.expect("serving task completed") {
                Ok(session) => session,
                Err(_) => return (0, 0),
            };
            let (mut started, mut max_queued) = (0usize, 0);
            while let Some(event) = session.events.recv().await {
                started += usize::from(
                    matches!(event, Event::Frame(f) if matches!(f.body, Some(Body::Submit(_)))),
                );
                max_queued = max_queued.max(session.events.len());
            }
            (started, max_queued)
        };
        let (mut raw, (started, max_queued)) = tokio::join!(flood, reading);
        let mut goaway_received = false;
        while let Some((kind, ..)) = raw.next_stream_frame().await {
            goaway_received |= kind == GOAWAY;
        }
        assert!(goaway_received, "the server must send a GOAWAY");
        assert!(
            started < 20_000,
            "{started} of 20,000 calls were reported; the server must stop before the last"
        );
        assert!(max_queued < 5_000, "{max_queued} events queued at once");
    });
}

#[test]
fn a_call_that_is_not_grpc_is_refused_without_affecting_other_calls() {
    run(async {
        let (_serving, mut raw) = client().await;
        let plain_get = headers(&[
            (":method", "GET"),
            (":scheme", "http"),
            (":path", "/"),
            (":authority", "d"),
        ]);
        raw.send(HEADERS, END_HEADERS | END_STREAM, 1, &plain_get)
            .await;
        raw.send(
            HEADERS,
            END_HEADERS,
            3,
            &call_headers("/cindercleat.v1.Router/Nothing"),
        )
        .await;
        raw.send(DATA, END_STREAM, 3, &encode_message(&v1::Done {}))
            .await;
        raw.send(
            HEADERS,
            END_HEADERS,
            5,
            &call_headers("/cindercleat.v1.Router/Greet"),
        )
        .await;
        let hello = v1::Hello {
            version: cindercleat_protocol::VERSION,
            ..v1::Hello::default()
        };
        raw.send(DATA, END_STREAM, 5, &encode_message(&hello)).await;
        let mut ends = Vec::new();
        while ends.len() < 3 {
            let (kind, flags, stream, _) =
                raw.next_stream_frame().await.expect("response received");
            if kind == HEADERS && flags & END_STREAM > 0 {
                ends.push(stream);
            }
        }
        ends.sort_unstable();
        assert_eq!(ends, [1, 3, 5]);
    });
}
