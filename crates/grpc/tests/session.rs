//! Sessions over in-memory byte streams: calls, cancellation, credit, and peers with another protocol or version.

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
    LocalSet::new().block_on(&runtime.expect("runtime built"), test);
}

fn setup(party: v1::Party, name: &str, expects: &str) -> Setup {
    let (name, expects) = (name.to_owned(), expects.to_owned());
    Setup {
        party,
        name,
        expects,
        run: 7,
        max_message_bytes: 1 << 16,
        max_concurrent_calls: 100,
    }
}

/// The sessions of a client and a dispatcher that are connected to each other.
async fn connected_sessions() -> (Session, Session) {
    let (client_end, server_end) = tokio::io::duplex(1 << 16);
    let serving = spawn_local(serve(server_end, setup(v1::Party::Dispatcher, "d", "")));
    let client = connect(
        client_end,
        v1::Party::Dispatcher,
        setup(v1::Party::Client, "c", "d"),
    )
    .await;
    (
        client.expect("client session started"),
        serving
            .await
            .expect("serving task completed")
            .expect("server session started"),
    )
}

async fn next_frame(session: &mut Session) -> Option<Frame> {
    loop {
        match session.events.recv().await? {
            Event::Frame(frame) => return Some(frame),
            Event::MessagesWritten { .. }
            | Event::GoingAway
            | Event::MessageBegun
            | Event::UnsolicitedData => {}
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
fn both_sides_learn_the_peers_name_and_role() {
    run(async {
        let (client, server) = connected_sessions().await;
        assert_eq!((client.peer.name.as_str(), client.peer.run), ("d", 7));
        assert_eq!(
            (server.peer.name.as_str(), server.peer.party()),
            ("c", v1::Party::Client)
        );
    });
}

#[test]
fn token_messages_arrive_in_order_and_nothing_follows_the_final_answer() {
    run(async {
        let (mut client, mut server) = connected_sessions().await;
        client.out.send(frame(9, submit()));
        let request = next_frame(&mut server)
            .await
            .expect("submit frame received");
        assert!(matches!(request.body, Some(Body::Submit(_))));
        server.out.send(frame(
            request.stream,
            Body::Accepted(v1::Accepted { request: 1 }),
        ));
        for position in 0..300 {
            server.out.send(frame(request.stream, tokens(position)));
        }
        let final_answer = v1::Final {
            answer: v1::Answer::Succeeded.into(),
            ..v1::Final::default()
        };
        server
            .out
            .send(frame(request.stream, Body::Final(final_answer.clone())));
        server.out.send(frame(request.stream, tokens(300)));
        assert!(matches!(
            next_frame(&mut client)
                .await
                .expect("accepted frame received")
                .body,
            Some(Body::Accepted(_))
        ));
        for position in 0..300 {
            assert_eq!(
                next_frame(&mut client).await,
                Some(frame(9, tokens(position)))
            );
        }
        assert_eq!(
            next_frame(&mut client).await,
            Some(frame(9, Body::Final(final_answer)))
        );
        client.out.close();
        assert_eq!(
            next_frame(&mut client).await,
            None,
            "nothing must follow the final answer"
        );
    });
}

#[test]
fn a_cancel_reaches_the_peer_and_ends_the_call() {
    run(async {
        let (mut client, mut server) = connected_sessions().await;
        client.out.send(frame(
            3,
            Body::Decode(v1::Decode {
                window: 4,
                ..v1::Decode::default()
            }),
        ));
        let request = next_frame(&mut server)
            .await
            .expect("decode frame received");
        server.out.send(frame(request.stream, tokens(0)));
        assert_eq!(next_frame(&mut client).await, Some(frame(3, tokens(0))));
        client.out.send(frame(3, Body::Cancel(v1::Cancel {})));
        let ended = next_frame(&mut client).await.and_then(|f| f.body);
        assert!(matches!(ended, Some(Body::Ended(e)) if e.status() == v1::Status::Cancelled));
        assert_eq!(
            next_frame(&mut server).await,
            Some(frame(request.stream, Body::Cancel(v1::Cancel {})))
        );
    });
}

#[test]
fn a_stream_without_credit_waits_and_does_not_block_another_stream() {
    run(async {
        let (mut client, mut server) = connected_sessions().await;
        client.out.send(frame(
            1,
            Body::Decode(v1::Decode {
                window: 2,
                ..v1::Decode::default()
            }),
        ));
        let slow_stream = next_frame(&mut server)
            .await
            .expect("decode frame received")
            .stream;
        client.out.send(frame(
            2,
            Body::Decode(v1::Decode {
                window: 2000,
                ..v1::Decode::default()
            }),
        ));
        let quick_stream = next_frame(&mut server)
            .await
            .expect("decode frame received")
            .stream;
        for position in 0..2000 {
            server.out.send(frame(slow_stream, tokens(position)));
            server.out.send(frame(quick_stream, tokens(position)));
        }
        let (mut slow_received, mut quick_received) = (0, 0);
        while quick_received < 2000 {
            let received = next_frame(&mut client).await.expect("frame received");
            *(if received.stream == 1 {
                &mut slow_received
            } else {
                &mut quick_received
            }) += 1;
        }
        assert_eq!(
            slow_received, 2,
            "as many messages as the stream has credit"
        );
        // The flow-control window of the unread stream limits how much the server can send on that stream.
        let mut flushed = 0;
        while let Ok(event) = server.events.try_recv() {
            flushed += usize::from(
                matches!(event, Event::MessagesWritten { stream, .. } if stream == slow_stream),
            );
        }
        assert!(
            flushed < 1000,
            "{flushed} messages were sent on a stream that is not read"
        );
        client
            .out
            .send(frame(1, Body::Credit(v1::Credit { messages: 1998 })));
        while slow_received < 2000 {
            let received = next_frame(&mut client).await.expect("frame received");
            slow_received += u32::from(received.stream == 1);
        }
    });
}

#[test]
fn a_ping_is_answered_with_a_pong() {
    run(async {
        let (mut client, _server) = connected_sessions().await;
        client.out.send(frame(0, Body::Ping(v1::Ping {})));
        assert_eq!(
            next_frame(&mut client).await,
            Some(frame(0, Body::Pong(v1::Pong {})))
        );
    });
}

#[test]
fn a_greeting_for_another_name_is_refused() {
    run(async {
        let (client_end, server_end) = tokio::io::duplex(1 << 16);
        spawn_local(serve(server_end, setup(v1::Party::Engine, "w1", "")));
        let refused = connect(
            client_end,
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
        let (mut client, mut server) = connected_sessions().await;
        client.out.send(frame(1, submit()));
        assert!(next_frame(&mut server).await.is_some());
        server.out.close();
        let end = next_frame(&mut client).await.and_then(|f| f.body);
        assert!(matches!(end, None | Some(Body::Goodbye(_))), "{end:?}");
        while next_frame(&mut client).await.is_some() {}
    });
}

#[test]
fn messages_sent_before_a_close_arrive() {
    for token_messages in [1, 50] {
        run(async {
            let (mut client, mut server) = connected_sessions().await;
            client.out.send(frame(1, submit()));
            let stream = next_frame(&mut server)
                .await
                .expect("submit frame received")
                .stream;
            for position in 0..token_messages {
                server.out.send(frame(stream, tokens(position)));
            }
            let final_answer = v1::Final {
                answer: v1::Answer::Failed.into(),
                ..v1::Final::default()
            };
            server
                .out
                .send(frame(stream, Body::Final(final_answer.clone())));
            server.out.close();
            for position in 0..token_messages {
                assert_eq!(
                    next_frame(&mut client).await,
                    Some(frame(1, tokens(position)))
                );
            }
            assert_eq!(
                next_frame(&mut client).await,
                Some(frame(1, Body::Final(final_answer)))
            );
            assert_eq!(next_frame(&mut client).await, None);
        });
    }
}

#[test]
fn connections_that_are_not_http_2_are_refused() {
    run(async {
        for bytes in [&b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"[..], &[0xff; 200], &[]] {
            let (mut client_end, server_end) = tokio::io::duplex(1 << 16);
            let serving = spawn_local(serve(server_end, setup(v1::Party::Dispatcher, "d", "")));
            client_end.write_all(bytes).await.expect("bytes written");
            client_end.shutdown().await.expect("stream closed");
            let mut rest = Vec::new();
            let _ = client_end.read_to_end(&mut rest).await;
            assert!(serving.await.expect("serving task completed").is_err());
        }
    });
}

#[test]
fn a_flood_of_opened_and_cancelled_calls_does_not_hang_the_session() {
    run(async {
        let (client_end, server_end) = tokio::io::duplex(1 << 16);
        let serving = spawn_local(serve(server_end, setup(v1::Party::Dispatcher, "d", "")));
        let client = connect(
            client_end,
            v1::Party::Dispatcher,
            setup(v1::Party::Client, "c", ""),
        )
        .await
        .expect("client session started");
        let mut server = serving
            .await
            .expect("serving task completed")
            .expect("server session started");
        for n in 1..=5000 {
            client.out.send(frame(n, submit()));
            yield_now().await;
            client.out.send(frame(n, Body::Cancel(v1::Cancel {})));
            if n % 50 == 0 {
                yield_now().await;
            }
        }
        client.out.close();
        let (mut started, mut cancelled) = (0, 0);
        while let Some(event) = server.events.recv().await {
            if let Event::Frame(Frame {
                body: Some(body), ..
            }) = event
            {
                started += i32::from(matches!(body, Body::Submit(_)));
                cancelled += i32::from(matches!(body, Body::Cancel(_)));
            }
        }
        assert!(
            started <= 5000 && cancelled <= started,
            "{started} started, {cancelled} cancelled"
        );
    });
}

#[test]
fn another_protocol_version_is_refused_with_both_versions_named() {
    run(async {
        let (client_end, server_end) = tokio::io::duplex(1 << 16);
        let serving = spawn_local(serve(server_end, setup(v1::Party::Dispatcher, "d", "")));
        let (send, connection) = h2::client::handshake(client_end)
            .await
            .expect("HTTP/2 handshake completed");
        let driving = spawn_local(async move {
            let _ = connection.await;
        });
        let request = http::Request::post("http://d/cindercleat.v1.Router/Greet")
            .header("content-type", "application/grpc");
        let request = request.body(()).expect("request built");
        let mut send = send.ready().await.expect("stream available");
        let (response, mut stream) = send.send_request(request, false).expect("call started");
        let hello = v1::Hello {
            version: 99,
            ..v1::Hello::default()
        };
        let hello = prost::Message::encode_to_vec(&hello);
        let message = [&[0, 0, 0, 0, hello.len() as u8][..], &hello].concat();
        stream
            .send_data(message.into(), true)
            .expect("message sent");
        let headers = response.await.expect("response received").headers().clone();
        assert_eq!(headers["grpc-status"], "9");
        let message = headers["grpc-message"].to_str().expect("ASCII text");
        assert!(message.contains("99") && message.contains('1'), "{message}");
        driving.abort();
        assert!(
            serving.await.expect("serving task completed").is_err(),
            "no session must start"
        );
    });
}
