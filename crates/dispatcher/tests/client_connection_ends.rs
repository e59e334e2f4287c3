//! A client that disconnects, and a deadline that passes, at each stage of a request: one answer at most, and no attempt and
//! no KV state is left behind.
//!
//! Each test makes the order of events happen that would lose what is still owed: on TCP sockets, with clients, engines and
//! discovery that go on when the test says so. docs/acceptance.md lists what each path may owe and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;
#[path = "common/request_stages.rs"]
mod request_stages;

use loopback::*;
use request_stages::*;
use tokio::io::AsyncWriteExt;

mod a_client_that_goes {
    use super::*;
    use test_case::test_case;

    /// How a client goes.
    #[derive(Clone, Copy)]
    enum Way {
        Closes,
        /// It ends its sending only.
        HalfCloses,
        /// Its connection is reset.
        Resets,
    }

    /// A client closes, half closes or resets its connection at each stage of its request. An attempt that went on
    /// would occupy an engine for nobody, and a KV state that was not released would occupy its memory: the attempt is
    /// closed, the state is released, and the next request is served.
    #[test_case(Way::Closes; "closes")]
    #[test_case(Way::HalfCloses; "half closes")]
    #[test_case(Way::Resets; "resets")]
    fn leaves_no_attempt_and_no_state_behind_at_any_stage(way: Way) {
        let stages = [
            Stage::Waits,
            Stage::Connects,
            Stage::Prefills,
            Stage::HoldsState,
            Stage::Decodes,
            Stage::Streams,
        ];
        for stage in stages {
            run(|net| async move {
                let Open { mut client, engine } = bring(&net, stage, "draft").await;
                // Kept to the end: a socket that is dropped would be a whole close.
                let _half = match way {
                    Way::Closes => {
                        drop(client);
                        None
                    }
                    Way::Resets => {
                        client.io.set_zero_linger().expect("a socket");
                        drop(client);
                        None
                    }
                    Way::HalfCloses => {
                        client.io.shutdown().await.expect("a socket");
                        Some(client)
                    }
                };
                nothing_is_left(&net, stage, engine).await;
            });
        }
    }

    /// A client disconnects in the middle of its request's body. Nothing has begun for it, so nothing may be left of
    /// it.
    #[test]
    fn before_its_body_is_whole_has_asked_for_nothing() {
        run(|net| async move {
            let mut client = net.connect().await;
            let text = request_with("a", "draft", 4000, "a body of some length");
            client.send(&text[..text.len() - 5]).await;
            drop(client);
            until(|| net.driver.client_connections() == 0).await;
            nothing_is_left(&net, Stage::Streams, None).await;
        });
    }
}

mod a_deadline {
    use super::*;
    use test_case::test_case;

    /// Milliseconds that the client waits: less than any other limit of the dispatcher.
    const REMAINING: u32 = 200;

    /// A deadline passes at each stage before the first token. The client gets one answer: that a retry is safe if
    /// nothing was decoded or the request may run again, else that it may have run. The attempt is closed and its KV
    /// state released.
    #[test]
    fn that_passes_is_answered_once_and_leaves_nothing_at_any_stage() {
        for class in CLASSES {
            for stage in [
                Stage::Waits,
                Stage::Connects,
                Stage::Prefills,
                Stage::HoldsState,
                Stage::Decodes,
            ] {
                run(|net| async move {
                    let text = request_with("a", class, REMAINING, "{}");
                    let Open { mut client, engine } = bring_with(&net, stage, &text).await;
                    net.advance(f64::from(REMAINING));
                    let answer = client.read_until("\n").await;
                    let refused = answer.starts_with("HTTP/1.1 503 ");
                    // A second attempt might do harm once a decode engine was chosen for an at-most-once request.
                    let harmless =
                        class == "draft" || !matches!(stage, Stage::HoldsState | Stage::Decodes);
                    assert_eq!(refused, harmless, "{class}, {stage:?}: {answer}");
                    assert!(refused || answer.starts_with("HTTP/1.1 504 "), "{answer}");
                    drop(client);
                    nothing_is_left(&net, stage, engine).await;
                });
            }
        }
    }

    /// A connection to an engine takes 240 ms. If the engine was told the time that was left when the attempt was
    /// decided on, it would work beyond the client's deadline: it is told what is left when the attempt goes out.
    #[test]
    fn that_is_told_to_an_engine_heeds_the_time_that_its_connection_took() {
        run(|net| async move {
            net.gate.shut(&net.engine("r1").address);
            let _client = net.send_request("a", "draft").await;
            net.gate.held_up(&net.engine("r1").address).await;
            net.advance(240.0);
            net.gate.open(&net.engine("r1").address);
            let (_prefill, request) = net.engine("r1").accept_request().await;
            let told: f64 = request
                .header("X-Remaining-Ms")
                .and_then(|t| t.parse().ok())
                .expect("a time");
            assert!(told <= 3_760.0, "{told} told, 3760 left");
        });
    }

    /// Which of two things that happen in one turn the dispatcher sees first.
    #[derive(Clone, Copy, Debug)]
    enum First {
        Deadline,
        Answer,
    }

    async fn at_once(net: &Loopback, engine: &mut Conn, text: &str, first: First) {
        if let First::Answer = first {
            engine.send(text).await;
            net.advance(f64::from(REMAINING));
        } else {
            net.advance(f64::from(REMAINING));
            engine
                .io
                .try_write(text.as_bytes())
                .expect("room in the socket");
        }
    }

    /// The deadline and the end of a prefill come at the same moment, in either order. If each was handled for itself,
    /// the client could get two answers, or the state of the prefill would be held for a request that is over.
    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn and_the_end_of_a_prefill_in_one_turn_leave_one_answer_and_no_state(first: First) {
        run(|net| async move {
            let text = request_with("a", "draft", REMAINING, "{}");
            let Open { mut client, engine } = bring_with(&net, Stage::Prefills, &text).await;
            let mut engine = engine.expect("it is being read");
            at_once(&net, &mut engine, PREFILL_ANSWER, first).await;
            assert!(client.read_until("\n").await.starts_with("HTTP/1.1 503 "));
            drop(client);
            // The engine's connection rests, and the release comes over it; or it is closed.
            let on_it = tokio::select! { biased;
                request = engine.next_request() => request,
                asked = net.accept_any_request() => Some(asked.1),
            };
            let release = match on_it {
                Some(release) => release,
                None => net.accept_any_request().await.1,
            };
            assert!(
                release.head.starts_with("DELETE /bootstrap/rooms/a "),
                "{release:?}"
            );
            net.no_request_is_open().await;
        });
    }

    /// The deadline and the first token come at the same moment, in either order. The client gets either a whole stream
    /// or an error, never both and never half a stream.
    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn and_a_first_token_in_one_turn_leave_one_answer(first: First) {
        for class in CLASSES {
            run(|net| async move {
                let text = request_with("a", class, REMAINING, "{}");
                let Open { mut client, engine } = bring_with(&net, Stage::Decodes, &text).await;
                let mut engine = engine.expect("it decodes");
                at_once(
                    &net,
                    &mut engine,
                    &format!("{STREAM_HEAD}{EVENT}{LAST_CHUNK}"),
                    first,
                )
                .await;
                net.no_request_is_open().await;
                client.io.shutdown().await.expect("a socket");
                let answer = client.read_to_end().await;
                assert_eq!(
                    answer.matches("HTTP/1.1 ").count(),
                    1,
                    "{class}, {first:?}: {answer}"
                );
                let served = answer.starts_with("HTTP/1.1 200 ");
                assert_eq!(
                    served,
                    answer.ends_with(LAST_CHUNK),
                    "a stream that is begun is whole: {answer}"
                );
                assert!(served || answer.starts_with("HTTP/1.1 50"), "{answer}");
            });
        }
    }
}
