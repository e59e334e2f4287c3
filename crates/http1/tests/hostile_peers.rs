//! Clients, engines and discovery that can always be read and send what does not end. None may keep the process from
//! serving others.

use cindercleat_http1::{Bounds, Http1};
use cindercleat_protocol::session::{Event, Outbox, RefusalCause, Wire};
use cindercleat_protocol::{frame, v1, Body};
use tokio::io::AsyncWriteExt;

mod common;

use common::*;

/// Far more than a peer may send before it is refused.
const MAX_SENT_BYTES: usize = 64 << 20;
/// What a peer may have sent, at most, before the request of another client is received.
const MAX_BYTES_BEFORE_OTHERS: usize = 128 << 10;

/// Requires that a client can submit a request, with nothing but a few turns of the runtime.
async fn require_service(wire: &Http1, log: &PeerLog, form: &str) {
    let (mut io, mut session) = client(wire).await;
    io.write_all(request_text("{}").as_bytes())
        .await
        .expect("bytes written");
    assert!(matches!(
        next_body(&mut session).await,
        Some((1, Body::Submit(_)))
    ));
    let sent = log.sent_bytes.get();
    assert!(
        sent <= MAX_BYTES_BEFORE_OTHERS,
        "{form}: the request of another client waited until {sent} bytes had been read"
    );
    drop(io);
    assert_eq!(next_body(&mut session).await, None, "{form}");
}

/// Guards against a process that serves nobody while one client sends: input that does not end, and is never waited for.
#[test]
fn clients_that_send_without_end_are_refused_and_others_are_served_meanwhile() {
    let chunk_with_extension = format!("1;{}\r\nx\r\n", "e".repeat(200));
    let forms = [
        ("trailers", chunked_head() + "2\r\n{}\r\n0\r\n", "a:b\r\n"),
        (
            "an endless trailer line",
            chunked_head() + "2\r\n{}\r\n0\r\na:",
            "b",
        ),
        ("chunk extensions", chunked_head(), &*chunk_with_extension),
        ("small chunks", chunked_head(), "1\r\nx\r\n"),
        ("headers", REQUEST_HEAD.to_owned(), "a:b\r\n"),
        ("an endless header", REQUEST_HEAD.to_owned() + "a:", "b"),
        ("empty lines", "\r\n".to_owned(), "\r\n"),
        (
            "a long body",
            format!("{REQUEST_HEAD}Content-Length: 60000000\r\n\r\n"),
            "x",
        ),
    ];
    for (form, beginning, pattern) in forms {
        let pattern = pattern.to_owned();
        run(async move {
            let wire = Http1::new(Bounds {
                max_body_bytes: 256 << 10,
                max_total_body_bytes: 4 << 20,
                ..BOUNDS
            });
            let (io, log) = AlwaysReadable::new(&beginning, &pattern, MAX_SENT_BYTES);
            let mut session = wire.serve(io, setup()).await.expect("session started");
            require_service(&wire, &log, form).await;
            assert_eq!(next_body(&mut session).await, None, "{form}");
            let sent = log.sent_bytes.get();
            assert!(
                sent < 4 << 20,
                "{form}: the session ended after {sent} bytes"
            );
            assert!(log.received.borrow().starts_with(b"HTTP/1.1 4"), "{form}");
            assert_eq!(wire.buffered_bytes(), 0, "{form}");
        });
    }
}

/// Guards against a request time-out that never takes effect, because more input is always there to be read first.
#[test]
fn a_refusal_takes_effect_although_more_input_is_always_ready() {
    for cause in [RefusalCause::TimedOut, RefusalCause::MakeRoom] {
        run(async move {
            let wire = Http1::new(Bounds {
                max_body_bytes: 2 * MAX_SENT_BYTES,
                max_total_body_bytes: 2 * MAX_SENT_BYTES,
                ..BOUNDS
            });
            let head = format!("{REQUEST_HEAD}Content-Length: {}\r\n\r\n", MAX_SENT_BYTES);
            let (io, log) = AlwaysReadable::new(&head, "x", MAX_SENT_BYTES);
            let mut session = wire.serve(io, setup()).await.expect("session started");
            assert_eq!(session.events.recv().await, Some(Event::MessageBegun));
            session.out.refuse_partial_request(cause);
            assert_eq!(session.events.recv().await, None);
            assert!(log.received.borrow().starts_with(b"HTTP/1.1 408 "));
            let sent = log.sent_bytes.get();
            assert!(sent < 2 << 20, "refused after {sent} bytes");
        });
    }
}

/// Guards against engines whose answers do not end: the attempt fails, and clients are served meanwhile.
#[test]
fn answers_of_engines_without_end_fail_and_clients_are_served_meanwhile() {
    const OK_HEAD: &str = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n";
    let forms = [
        (
            "trailers",
            format!("{OK_HEAD}2\r\n{{}}\r\n0\r\n"),
            "a:b\r\n",
        ),
        ("small chunks", OK_HEAD.to_owned(), "1\r\nx\r\n"),
        ("headers", "HTTP/1.1 202 Accepted\r\n".to_owned(), "a:b\r\n"),
        (
            "interim responses",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        (
            "no end of the body",
            "HTTP/1.1 202 Accepted\r\n\r\n".to_owned(),
            "x",
        ),
    ];
    for (form, beginning, pattern) in forms {
        run(async move {
            let wire = Http1::new(Bounds {
                max_chunk_bytes: 256 << 10,
                ..BOUNDS
            });
            let (io, log) = AlwaysReadable::new(&beginning, pattern, MAX_SENT_BYTES);
            let mut session = wire
                .connect(io.answering(), v1::Party::Engine, setup())
                .await
                .expect("session started");
            let prefill = v1::Prefill {
                prompt: b"{}"[..].into(),
                origin: Some(v1::Origin::default()),
                ..v1::Prefill::default()
            };
            session.out.send(frame(1, Body::Prefill(prefill)));
            while log.sent_bytes.get() == 0 {
                tokio::task::yield_now().await;
            }
            require_service(&wire, &log, form).await;
            let Some((1, Body::Ended(ended))) = next_body(&mut session).await else {
                panic!("{form}: the attempt must end");
            };
            assert_eq!(ended.status(), v1::Status::Failed, "{form}");
            let sent = log.sent_bytes.get();
            assert!(
                sent < 4 << 20,
                "{form}: the attempt ended after {sent} bytes"
            );
        });
    }
}

/// Guards against discovery that answers without being asked: lists must not pile up before they are taken over.
#[test]
fn lists_that_keep_coming_do_not_pile_up_before_they_are_taken_over() {
    run(async {
        let wire = Http1::new(BOUNDS);
        let list = "{\"revision\":1,\"complete\":true,\"members\":[]}";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        let (io, log) = AlwaysReadable::new("", &answer, MAX_SENT_BYTES);
        let mut session = wire
            .connect(io.answering(), v1::Party::Feed, setup())
            .await
            .expect("session started");
        session.out.send(frame(
            1,
            Body::WatchEndpoints(v1::WatchEndpoints::default()),
        ));
        for _ in 0..10 {
            assert!(matches!(
                next_body(&mut session).await,
                Some((1, Body::Endpoints(_)))
            ));
            let mut waiting = 0;
            while session.events.try_recv().is_ok() {
                waiting += 1;
            }
            assert!(waiting <= 2, "{waiting} further events lay in memory");
        }
        require_service(&wire, &log, "lists").await;
    });
}

/// Guards against a stream that stands still because the client of another one does not read: the connection to the
/// engine, and the memory for responses, are shared.
#[test]
fn a_client_that_reads_nothing_does_not_hold_up_the_next_stream_of_the_engine() {
    run(async {
        let (mut io, mut session) = engine().await;
        let event = format!("data: {}\n\n", "x".repeat(900));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk.repeat(16)
        );
        let mut unread = Vec::new();
        for stream in 1..=5 {
            let decode = v1::Decode {
                origin: Some(v1::Origin::default()),
                window: 32,
                ..v1::Decode::default()
            };
            session.out.send(frame(stream, Body::Decode(decode)));
            read_until(&mut io, "\r\n\r\n").await;
            io.write_all(answer.as_bytes())
                .await
                .expect("bytes written");
            loop {
                match next_body(&mut session).await {
                    Some((_, Body::Tokens(tokens))) => unread.push(tokens),
                    Some((_, Body::Ended(ended))) => {
                        assert_eq!(ended.status(), v1::Status::Succeeded, "stream {stream}");
                        break;
                    }
                    other => panic!("stream {stream}: {other:?}"),
                }
            }
        }
        let received: usize = unread.iter().map(|tokens| tokens.text.len()).sum();
        assert_eq!(received, 5 * 16 * event.len());
    });
}
