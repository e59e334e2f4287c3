//! Sessions between two ends in memory: calls, resets, credit, and peers that speak something else.

use cindercleat_grpc::{connect, serve, Event, Session, Setup};
use cindercleat_protocol::{frame, v1, Body, Frame};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, yield_now, LocalSet};

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn setup(party: v1::Party, name: &str, expects: &str) -> Setup {
    let (name, expects) = (name.to_owned(), expects.to_owned());
    Setup {
        party,
        name,
        expects,
        run: 7,
        most_message: 1 << 16,
        most_calls: 100,
    }
}

/// A client's session and a dispatcher's, joined.
async fn pair() -> (Session, Session) {
    let (near, far) = tokio::io::duplex(1 << 16);
    let serving = spawn_local(serve(far, setup(v1::Party::Dispatcher, "d", "")));
    let client = connect(
        near,
        v1::Party::Dispatcher,
        setup(v1::Party::Client, "c", "d"),
    )
    .await;
    (
        client.expect("greeted"),
        serving.await.expect("it ran").expect("greeted"),
    )
}

async fn next(session: &mut Session) -> Option<Frame> {
    loop {
        match session.events.recv().await? {
            Event::Frame(frame) => return Some(frame),
            Event::Flushed { .. } | Event::GoingAway | Event::Partly => {}
        }
    }
}

fn tokens(position: u32) -> Body {
    Body::Tokens(v1::Tokens {
        position,
        count: 1,
        text: vec![b'x'; 100].into(),
    })
}

fn submit() -> Body {
    Body::Submit(v1::Submit {
        request_class: "p".to_owned(),
        time_to_deadline_ms: 5.0,
        ..v1::Submit::default()
    })
}

#[test]
fn both_sides_know_whom_they_speak_to() {
    run(async {
        let (client, server) = pair().await;
        assert_eq!((client.them.name.as_str(), client.them.run), ("d", 7));
        assert_eq!(
            (server.them.name.as_str(), server.them.party()),
            ("c", v1::Party::Client)
        );
    });
}

#[test]
fn a_request_goes_out_and_its_stream_comes_back_in_order() {
    run(async {
        let (mut client, mut server) = pair().await;
        client.out.send(frame(9, submit()));
        let asked = next(&mut server).await.expect("a task");
        assert!(matches!(asked.body, Some(Body::Submit(_))));
        server.out.send(frame(
            asked.stream,
            Body::Accepted(v1::Accepted { request: 1 }),
        ));
        for at in 0..300 {
            server.out.send(frame(asked.stream, tokens(at)));
        }
        let last = v1::Final {
            answer: v1::Answer::Succeeded.into(),
            ..v1::Final::default()
        };
        server
            .out
            .send(frame(asked.stream, Body::Final(last.clone())));
        server.out.send(frame(asked.stream, tokens(300)));
        assert!(matches!(
            next(&mut client).await.expect("taken").body,
            Some(Body::Accepted(_))
        ));
        for at in 0..300 {
            assert_eq!(next(&mut client).await, Some(frame(9, tokens(at))));
        }
        assert_eq!(next(&mut client).await, Some(frame(9, Body::Final(last))));
        client.out.close();
        assert_eq!(
            next(&mut client).await,
            None,
            "nothing follows the final answer"
        );
    });
}

#[test]
fn a_cancel_reaches_the_other_side_and_ends_the_call() {
    run(async {
        let (mut client, mut server) = pair().await;
        client.out.send(frame(
            3,
            Body::Decode(v1::Decode {
                window: 4,
                ..v1::Decode::default()
            }),
        ));
        let asked = next(&mut server).await.expect("a write");
        server.out.send(frame(asked.stream, tokens(0)));
        assert_eq!(next(&mut client).await, Some(frame(3, tokens(0))));
        client.out.send(frame(3, Body::Cancel(v1::Cancel {})));
        let ended = next(&mut client).await.and_then(|f| f.body);
        assert!(matches!(ended, Some(Body::Ended(e)) if e.status() == v1::Status::Cancelled));
        assert_eq!(
            next(&mut server).await,
            Some(frame(asked.stream, Body::Cancel(v1::Cancel {})))
        );
    });
}

#[test]
fn without_credit_a_stream_waits_and_its_neighbour_does_not() {
    run(async {
        let (mut client, mut server) = pair().await;
        client.out.send(frame(
            1,
            Body::Decode(v1::Decode {
                window: 2,
                ..v1::Decode::default()
            }),
        ));
        let slow = next(&mut server).await.expect("a write").stream;
        client.out.send(frame(
            2,
            Body::Decode(v1::Decode {
                window: 2000,
                ..v1::Decode::default()
            }),
        ));
        let quick = next(&mut server).await.expect("a write").stream;
        for at in 0..2000 {
            server.out.send(frame(slow, tokens(at)));
            server.out.send(frame(quick, tokens(at)));
        }
        let (mut of_slow, mut of_quick) = (0, 0);
        while of_quick < 2000 {
            let came = next(&mut client).await.expect("more comes");
            *(if came.stream == 1 {
                &mut of_slow
            } else {
                &mut of_quick
            }) += 1;
        }
        assert_eq!(of_slow, 2, "no more than its credit");
        // What its sender could get rid of is bounded by the windows of its stream.
        let mut flushed = 0;
        while let Ok(event) = server.events.try_recv() {
            flushed +=
                usize::from(matches!(event, Event::Flushed { stream, .. } if stream == slow));
        }
        assert!(flushed < 1000, "{flushed} left for one that takes nothing");
        client
            .out
            .send(frame(1, Body::Credit(v1::Credit { messages: 1998 })));
        while of_slow < 2000 {
            of_slow += u32::from(next(&mut client).await.expect("more comes").stream == 1);
        }
    });
}

#[test]
fn a_peer_is_pinged() {
    run(async {
        let (mut client, _server) = pair().await;
        client.out.send(frame(0, Body::Ping(v1::Ping {})));
        assert_eq!(
            next(&mut client).await,
            Some(frame(0, Body::Pong(v1::Pong {})))
        );
    });
}

#[test]
fn whoever_is_not_meant_is_told_so() {
    run(async {
        let (near, far) = tokio::io::duplex(1 << 16);
        spawn_local(serve(far, setup(v1::Party::Engine, "w1", "")));
        let refused = connect(
            near,
            v1::Party::Engine,
            setup(v1::Party::Dispatcher, "d", "w2"),
        )
        .await;
        assert_eq!(refused.err().as_deref(), Some("this is w1, not w2"));
    });
}

#[test]
fn a_lost_connection_ends_the_session() {
    run(async {
        let (mut client, mut server) = pair().await;
        client.out.send(frame(1, submit()));
        assert!(next(&mut server).await.is_some());
        server.out.close();
        let left = next(&mut client).await.and_then(|f| f.body);
        assert!(matches!(left, None | Some(Body::Goodbye(_))), "{left:?}");
        while next(&mut client).await.is_some() {}
    });
}

#[test]
fn what_was_said_before_a_close_arrives() {
    for said in [1, 50] {
        run(async {
            let (mut client, mut server) = pair().await;
            client.out.send(frame(1, submit()));
            let stream = next(&mut server).await.expect("a task").stream;
            for at in 0..said {
                server.out.send(frame(stream, tokens(at)));
            }
            let last = v1::Final {
                answer: v1::Answer::Failed.into(),
                ..v1::Final::default()
            };
            server.out.send(frame(stream, Body::Final(last.clone())));
            server.out.close();
            for at in 0..said {
                assert_eq!(next(&mut client).await, Some(frame(1, tokens(at))));
            }
            assert_eq!(next(&mut client).await, Some(frame(1, Body::Final(last))));
            assert_eq!(next(&mut client).await, None);
        });
    }
}

#[test]
fn garbage_and_http_1_are_refused_and_nothing_hangs() {
    run(async {
        for bytes in [&b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"[..], &[0xff; 200], &[]] {
            let (mut near, far) = tokio::io::duplex(1 << 16);
            let serving = spawn_local(serve(far, setup(v1::Party::Dispatcher, "d", "")));
            near.write_all(bytes).await.expect("it reads");
            near.shutdown().await.expect("it closes");
            let mut rest = Vec::new();
            let _ = near.read_to_end(&mut rest).await;
            assert!(serving.await.expect("it ran").is_err());
        }
    });
}

#[test]
fn calls_opened_and_reset_as_fast_as_can_be_end_the_connection_or_are_borne() {
    run(async {
        let (near, far) = tokio::io::duplex(1 << 16);
        let serving = spawn_local(serve(far, setup(v1::Party::Dispatcher, "d", "")));
        let client = connect(
            near,
            v1::Party::Dispatcher,
            setup(v1::Party::Client, "c", ""),
        )
        .await
        .expect("greeted");
        let mut server = serving.await.expect("it ran").expect("greeted");
        for n in 1..=5000 {
            client.out.send(frame(n, submit()));
            yield_now().await;
            client.out.send(frame(n, Body::Cancel(v1::Cancel {})));
            if n % 50 == 0 {
                yield_now().await;
            }
        }
        client.out.close();
        let (mut begun, mut cancelled) = (0, 0);
        while let Some(event) = server.events.recv().await {
            if let Event::Frame(Frame {
                body: Some(body), ..
            }) = event
            {
                begun += i32::from(matches!(body, Body::Submit(_)));
                cancelled += i32::from(matches!(body, Body::Cancel(_)));
            }
        }
        assert!(
            begun <= 5000 && cancelled <= begun,
            "{begun} begun, {cancelled} cancelled"
        );
    });
}

#[test]
fn another_version_is_refused_and_both_are_named() {
    run(async {
        let (near, far) = tokio::io::duplex(1 << 16);
        let serving = spawn_local(serve(far, setup(v1::Party::Dispatcher, "d", "")));
        let (send, connection) = h2::client::handshake(near).await.expect("HTTP/2");
        let driving = spawn_local(async move {
            let _ = connection.await;
        });
        let request = http::Request::post("http://d/cindercleat.v1.Router/Greet")
            .header("content-type", "application/grpc");
        let request = request.body(()).expect("a request");
        let mut send = send.ready().await.expect("room for a call");
        let (response, mut stream) = send.send_request(request, false).expect("a call");
        let hello = v1::Hello {
            version: 99,
            ..v1::Hello::default()
        };
        let hello = prost::Message::encode_to_vec(&hello);
        let message = [&[0, 0, 0, 0, hello.len() as u8][..], &hello].concat();
        stream.send_data(message.into(), true).expect("it goes out");
        let headers = response.await.expect("an answer").headers().clone();
        assert_eq!(headers["grpc-status"], "9");
        let why = headers["grpc-message"].to_str().expect("text");
        assert!(why.contains("99") && why.contains('1'), "{why}");
        driving.abort();
        assert!(
            serving.await.expect("it ran").is_err(),
            "there is no session"
        );
    });
}
