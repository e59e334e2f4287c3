//! An engine that speaks HTTP/2 by hand, so that every frame can be wrong in its own way: resets, GOAWAYs,
//! trailers only, headers and no body, cut and oversized messages, windows and limits that hold calls back.

use cindercleat_grpc::{connect, serve, Event, Session, Setup};
use cindercleat_protocol::{frame, v1, Body};
use prost::Message;
use std::future::Future;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, yield_now, LocalSet};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const WINDOW: u8 = 8;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const REFUSED: u32 = 7;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn setup(party: v1::Party) -> Setup {
    let (name, expects) = ("d".to_owned(), String::new());
    Setup {
        party,
        name,
        expects,
        run: 7,
        most_message: 1 << 16,
        most_calls: 10,
    }
}

/// One end of a connection, frame by frame.
struct Raw {
    io: DuplexStream,
}

/// Headers as HPACK writes them without its tables; a name of `:status` is one of its fixed endpoints.
fn headers(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in list {
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

fn message(message: &impl Message) -> Vec<u8> {
    let bytes = message.encode_to_vec();
    [&[0][..], &(bytes.len() as u32).to_be_bytes(), &bytes].concat()
}

impl Raw {
    async fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = (payload.len() as u32).to_be_bytes();
        let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
        // The other side may have ended the connection.
        let _ = self.io.write_all(&[&head, payload].concat()).await;
    }

    async fn next(&mut self) -> Option<(u8, u8, u32, Vec<u8>)> {
        let mut head = [0; 9];
        self.io.read_exact(&mut head).await.ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.io.read_exact(&mut payload).await.ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        Some((head[3], head[4], stream, payload))
    }

    /// The next frame that is no settings and no window update.
    async fn told(&mut self) -> Option<(u8, u8, u32, Vec<u8>)> {
        loop {
            match self.next().await? {
                (SETTINGS, 0, ..) => self.send(SETTINGS, 1, 0, &[]).await,
                (SETTINGS | WINDOW, ..) => {}
                told => return Some(told),
            }
        }
    }

    /// The next call that has been made whole.
    async fn call(&mut self) -> u32 {
        loop {
            let (_, flags, stream, _) = self.told().await.expect("a call");
            if flags & END_STREAM > 0 {
                return stream;
            }
        }
    }

    async fn head(&mut self, stream: u32) {
        let head = headers(&[(":status", "200"), ("content-type", "application/grpc")]);
        self.send(HEADERS, END_HEADERS, stream, &head).await;
    }

    async fn status(&mut self, stream: u32, list: &[(&str, &str)]) {
        self.send(HEADERS, END_HEADERS | END_STREAM, stream, &headers(list))
            .await;
    }

    async fn token(&mut self, stream: u32, position: u32) {
        let tokens = v1::Tokens {
            position,
            count: 1,
            text: Default::default(),
        };
        let reply = v1::DecodeReply {
            part: Some(v1::decode_reply::Part::Tokens(tokens)),
        };
        self.send(DATA, 0, stream, &message(&reply)).await;
    }

    async fn ended(&mut self, stream: u32) {
        let ended = v1::Ended {
            status: v1::Status::Succeeded.into(),
            ..v1::Ended::default()
        };
        let reply = v1::DecodeReply {
            part: Some(v1::decode_reply::Part::Ended(ended)),
        };
        self.send(DATA, 0, stream, &message(&reply)).await;
        self.status(stream, &[("grpc-status", "0")]).await;
    }
}

/// A session with an engine that says these settings.
async fn engine(settings: &[(u16, u32)]) -> (Session, Raw) {
    let (near, far) = tokio::io::duplex(1 << 16);
    let connecting = spawn_local(connect(
        near,
        v1::Party::Engine,
        setup(v1::Party::Dispatcher),
    ));
    let mut raw = Raw { io: far };
    let mut preface = [0; 24];
    raw.io.read_exact(&mut preface).await.expect("a preface");
    let said: Vec<u8> = settings
        .iter()
        .flat_map(|(k, v)| [&k.to_be_bytes()[..], &v.to_be_bytes()].concat())
        .collect();
    raw.send(SETTINGS, 0, 0, &said).await;
    if settings.iter().any(|(k, v)| (*k, *v) == (4, 0)) {
        // No window on streams: the greeting's gets some.
        raw.send(WINDOW, 0, 1, &1000u32.to_be_bytes()).await;
    }
    let greeting = raw.call().await;
    let hello = v1::Hello {
        version: cindercleat_protocol::VERSION,
        ..v1::Hello::default()
    };
    raw.head(greeting).await;
    raw.send(DATA, 0, greeting, &message(&hello)).await;
    raw.status(greeting, &[("grpc-status", "0")]).await;
    (connecting.await.expect("it ran").expect("greeted"), raw)
}

fn write() -> Body {
    Body::Decode(v1::Decode {
        window: 100,
        max_tokens: 5,
        ..v1::Decode::default()
    })
}

/// What comes next but tokens; none once the connection is over.
async fn last(session: &mut Session) -> Option<(u64, Body)> {
    loop {
        match session.events.recv().await? {
            Event::Frame(frame) if matches!(frame.body, Some(Body::Tokens(_))) => {}
            Event::Frame(frame) => return Some((frame.stream, frame.body?)),
            Event::Flushed { .. } | Event::GoingAway | Event::Partly => {}
        }
    }
}

fn ended(said: Option<(u64, Body)>) -> v1::Status {
    match said {
        Some((_, Body::Ended(ended))) => ended.status(),
        other => panic!("{other:?} is no end"),
    }
}

/// HTTP/2's error codes, and one that is none: only the one that says so proves that nothing ran, and not
/// once tokens have come.
#[test]
fn a_reset_with_each_code() {
    for code in (0..=13u32).chain([0xffff]) {
        run(async {
            let (mut session, mut raw) = engine(&[]).await;
            session.out.send(frame(1, write()));
            let call = raw.call().await;
            raw.send(RST, 0, call, &code.to_be_bytes()).await;
            let expected = if code == REFUSED {
                v1::Status::Overloaded
            } else {
                v1::Status::Failed
            };
            assert_eq!(ended(last(&mut session).await), expected, "code {code}");
            session.out.send(frame(2, write()));
            let call = raw.call().await;
            raw.head(call).await;
            raw.token(call, 0).await;
            raw.send(RST, 0, call, &code.to_be_bytes()).await;
            let status = ended(last(&mut session).await);
            assert!(
                status == v1::Status::Failed || code == REFUSED,
                "code {code}: {status:?}"
            );
            // The connection serves on.
            session.out.send(frame(3, write()));
            let call = raw.call().await;
            raw.head(call).await;
            raw.ended(call).await;
            assert_eq!(ended(last(&mut session).await), v1::Status::Succeeded);
        });
    }
}

#[test_case(true; "and the connection ends after it")]
#[test_case(false; "and the connection goes on")]
fn a_goaway_proves_only_what_came_after_its_last_id(cut: bool) {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        let mut calls = Vec::new();
        for stream in 1..=3 {
            session.out.send(frame(stream, write()));
            calls.push(raw.call().await);
        }
        raw.head(calls[0]).await;
        raw.token(calls[0], 0).await;
        raw.send(GOAWAY, 0, 0, &[calls[1].to_be_bytes(), [0; 4]].concat())
            .await;
        let (stream, said) = last(&mut session).await.expect("a word");
        assert_eq!(stream, 3, "only the one above the last id ends");
        assert_eq!(ended(Some((3, said))), v1::Status::Overloaded);
        // What is begun now does not go out; the two that were taken go on.
        session.out.send(frame(4, write()));
        let (stream, said) = last(&mut session).await.expect("a word");
        assert_eq!(
            (stream, ended(Some((4, said)))),
            (4, v1::Status::Overloaded)
        );
        raw.ended(calls[0]).await;
        let (stream, said) = last(&mut session).await.expect("a word");
        assert_eq!((stream, ended(Some((1, said)))), (1, v1::Status::Succeeded));
        if cut {
            drop(raw);
            // Below the last id: it may have run, and nothing says otherwise.
            match last(&mut session).await {
                None => {}
                Some((2, said)) => assert_eq!(ended(Some((2, said))), v1::Status::Failed),
                other => panic!("{other:?}"),
            }
        } else {
            raw.head(calls[1]).await;
            raw.ended(calls[1]).await;
            assert_eq!(ended(last(&mut session).await), v1::Status::Succeeded);
        }
        while last(&mut session).await.is_some() {}
    });
}

/// The end of a connection does not take from a stream what had come on it before.
#[test]
fn what_waits_for_credit_is_not_lost_with_a_connection_that_ends_in_order() {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(
            1,
            Body::Decode(v1::Decode {
                window: 1,
                ..v1::Decode::default()
            }),
        ));
        let call = raw.call().await;
        raw.head(call).await;
        for position in 0..5 {
            raw.token(call, position).await;
        }
        raw.ended(call).await;
        raw.send(GOAWAY, 0, 0, &[call.to_be_bytes(), [0; 4]].concat())
            .await;
        drop(raw);
        let mut tokens = 0;
        loop {
            match session.events.recv().await {
                Some(Event::Frame(came)) if matches!(came.body, Some(Body::Tokens(_))) => {
                    tokens += 1;
                    session
                        .out
                        .send(frame(1, Body::Credit(v1::Credit { messages: 1 })));
                }
                Some(Event::Frame(came)) => {
                    assert!(matches!(came.body, Some(Body::Ended(_))));
                    break;
                }
                Some(_) => {}
                None => panic!("the rest is lost"),
            }
        }
        assert_eq!(tokens, 5);
        assert_eq!(session.events.recv().await, None);
    });
}

#[test]
fn a_goaway_is_told_at_once_and_once() {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(1, write()));
        let call = raw.call().await;
        raw.send(GOAWAY, 0, 0, &[[0x7f, 255, 255, 255], [0; 4]].concat())
            .await;
        assert_eq!(session.events.recv().await, Some(Event::GoingAway));
        raw.send(GOAWAY, 0, 0, &[call.to_be_bytes(), [0; 4]].concat())
            .await;
        raw.head(call).await;
        raw.ended(call).await;
        assert!(
            matches!(session.events.recv().await, Some(Event::Frame(_))),
            "the last word"
        );
        assert_eq!(
            session.events.recv().await,
            None,
            "with nothing open the connection ends"
        );
    });
}

#[test_case(&[("grpc-status", "14")], v1::Status::Failed; "unavailable, which anybody may say")]
#[test_case(&[("grpc-status", "14"), ("cindercleat-ran", "no")], v1::Status::Overloaded; "with the host's mark")]
#[test_case(&[("grpc-status", "14"), ("cindercleat-ran", "yes")], v1::Status::Failed; "with another mark")]
#[test_case(&[("grpc-status", "0")], v1::Status::Failed; "ok without a last message")]
#[test_case(&[("grpc-status", "99")], v1::Status::Failed; "a status that is none")]
#[test_case(&[("grpc-status", "x")], v1::Status::Failed; "a status that is no number")]
#[test_case(&[], v1::Status::Failed; "headers and no body")]
fn trailers_only(said: &[(&str, &str)], expected: v1::Status) {
    run(async {
        let (mut session, mut raw) = engine(&[]).await;
        session.out.send(frame(1, write()));
        let call = raw.call().await;
        let head = [(":status", "200"), ("content-type", "application/grpc")];
        raw.status(call, &[&head[..], said].concat()).await;
        assert_eq!(ended(last(&mut session).await), expected);
    });
}

#[test]
fn a_stream_that_ends_without_its_last_message_may_have_run() {
    let compressed = [1, 0, 0, 0, 1, 0];
    let huge = [0, 0xff, 0xff, 0xff, 0xff];
    let parts: [(&[u8], bool); 5] = [
        (&[], true),
        (&[0, 0, 0, 0, 9, 1], true),
        (&compressed, false),
        (&huge, false),
        (&[0, 0], true),
    ];
    for (bytes, ends) in parts {
        run(async {
            let (mut session, mut raw) = engine(&[]).await;
            session.out.send(frame(1, write()));
            let call = raw.call().await;
            raw.head(call).await;
            raw.token(call, 0).await;
            raw.send(DATA, if ends { END_STREAM } else { 0 }, call, bytes)
                .await;
            assert_eq!(
                ended(last(&mut session).await),
                v1::Status::Failed,
                "{bytes:?}"
            );
            if !ends {
                // What is no message is not waited for: the call is reset.
                loop {
                    if let (RST, _, stream, _) = raw.told().await.expect("a reset") {
                        assert_eq!(stream, call);
                        break;
                    }
                }
            }
        });
    }
}

#[test]
fn a_call_that_is_called_off_before_it_went_out_never_goes_out() {
    run(async {
        // One call at a time.
        let (mut session, mut raw) = engine(&[(3, 1)]).await;
        assert_eq!(session.limit, Some(1));
        session.out.send(frame(1, write()));
        let first = raw.call().await;
        session.out.send(frame(2, write()));
        for _ in 0..20 {
            yield_now().await;
        }
        session.out.send(frame(2, Body::Cancel(v1::Cancel {})));
        let (stream, _) = last(&mut session).await.expect("a word");
        assert_eq!(stream, 2);
        raw.head(first).await;
        raw.ended(first).await;
        assert_eq!(ended(last(&mut session).await), v1::Status::Succeeded);
        session.out.send(frame(3, write()));
        // The next whole call is the third: the second was nothing, or reset before it was made whole.
        let third = raw.call().await;
        raw.head(third).await;
        raw.ended(third).await;
        let (stream, said) = last(&mut session).await.expect("a word");
        assert_eq!((stream, ended(Some((3, said)))), (3, v1::Status::Succeeded));
    });
}

#[test]
fn a_cancel_gets_out_though_the_engines_window_is_shut() {
    run(async {
        let (mut session, mut raw) = engine(&[(4, 0)]).await;
        session.out.send(frame(1, write()));
        let (kind, _, call, _) = raw.told().await.expect("headers");
        assert_eq!(kind, HEADERS);
        session.out.send(frame(1, Body::Cancel(v1::Cancel {})));
        let (kind, _, stream, code) = raw.told().await.expect("a reset");
        assert_eq!((kind, stream, &code[..]), (RST, call, &[0, 0, 0, 8][..]));
        assert_eq!(ended(last(&mut session).await), v1::Status::Cancelled);
    });
}

/// The answering side against a client by hand.
async fn client() -> (spawn::Serving, Raw) {
    let (near, far) = tokio::io::duplex(1 << 20);
    let serving = spawn_local(serve(far, setup(v1::Party::Dispatcher)));
    let mut raw = Raw { io: near };
    raw.io
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .expect("it reads");
    raw.send(SETTINGS, 0, 0, &[]).await;
    (serving, raw)
}

mod spawn {
    pub type Serving = tokio::task::JoinHandle<Result<cindercleat_grpc::Session, String>>;
}

fn ask(path: &str) -> Vec<u8> {
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
fn calls_over_the_limit_are_refused_and_not_handed_over() {
    run(async {
        let (serving, mut raw) = client().await;
        let submit = message(&v1::Submit {
            request_class: "p".to_owned(),
            ..v1::Submit::default()
        });
        for n in 0..15u32 {
            raw.send(
                HEADERS,
                END_HEADERS,
                2 * n + 1,
                &ask("/cindercleat.v1.Router/Run"),
            )
            .await;
            raw.send(DATA, END_STREAM, 2 * n + 1, &submit).await;
        }
        let mut session = serving.await.expect("it ran").expect("a session");
        let mut refused = 0;
        while refused < 5 {
            if let (RST, _, stream, code) = raw.told().await.expect("a reset") {
                assert_eq!(code, REFUSED.to_be_bytes(), "stream {stream}");
                refused += 1;
            }
        }
        let mut taken = 0;
        while let Ok(event) = session.events.try_recv() {
            taken += usize::from(matches!(event, Event::Frame(_)));
        }
        assert_eq!(taken, 10, "as many as may be open");
    });
}

#[test]
fn a_reset_flood_by_hand_costs_bounded_memory_and_ends() {
    run(async {
        let (serving, mut raw) = client().await;
        let submit = message(&v1::Submit {
            request_class: "p".to_owned(),
            ..v1::Submit::default()
        });
        let flood = async {
            for n in 0..20_000u32 {
                raw.send(
                    HEADERS,
                    END_HEADERS,
                    2 * n + 1,
                    &ask("/cindercleat.v1.Router/Run"),
                )
                .await;
                raw.send(DATA, END_STREAM, 2 * n + 1, &submit).await;
                raw.send(RST, 0, 2 * n + 1, &8u32.to_be_bytes()).await;
            }
            raw
        };
        let reading = async {
            let mut session = match serving.await.expect("it ran") {
                Ok(session) => session,
                Err(_) => return (0, 0),
            };
            let (mut begun, mut most) = (0usize, 0);
            while let Some(event) = session.events.recv().await {
                begun += usize::from(
                    matches!(event, Event::Frame(f) if matches!(f.body, Some(Body::Submit(_)))),
                );
                most = most.max(session.events.len());
            }
            (begun, most)
        };
        let (mut raw, (begun, most)) = tokio::join!(flood, reading);
        let mut goaway = false;
        while let Some((kind, ..)) = raw.told().await {
            goaway |= kind == GOAWAY;
        }
        assert!(goaway, "it is told to go away");
        assert!(begun < 20_000, "{begun} were handed over");
        assert!(most < 5_000, "{most} events waited at once");
    });
}

#[test]
fn what_is_no_grpc_is_refused_by_its_own_call_alone() {
    run(async {
        let (_serving, mut raw) = client().await;
        let plain = headers(&[
            (":method", "GET"),
            (":scheme", "http"),
            (":path", "/"),
            (":authority", "d"),
        ]);
        raw.send(HEADERS, END_HEADERS | END_STREAM, 1, &plain).await;
        raw.send(
            HEADERS,
            END_HEADERS,
            3,
            &ask("/cindercleat.v1.Router/Nothing"),
        )
        .await;
        raw.send(DATA, END_STREAM, 3, &message(&v1::Done {})).await;
        raw.send(
            HEADERS,
            END_HEADERS,
            5,
            &ask("/cindercleat.v1.Router/Greet"),
        )
        .await;
        let hello = v1::Hello {
            version: cindercleat_protocol::VERSION,
            ..v1::Hello::default()
        };
        raw.send(DATA, END_STREAM, 5, &message(&hello)).await;
        let mut ends = Vec::new();
        while ends.len() < 3 {
            let (kind, flags, stream, _) = raw.told().await.expect("answers");
            if kind == HEADERS && flags & END_STREAM > 0 {
                ends.push(stream);
            }
        }
        ends.sort_unstable();
        assert_eq!(ends, [1, 3, 5]);
    });
}
