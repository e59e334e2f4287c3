//! Paths that end something, each with the order of events that would lose what is still owed, made to happen every
//! time: on TCP sockets, with clients, engines and discovery that go on when the test says so.
//!
//! docs/acceptance.md lists what each path may owe and names its tests.

mod common;
#[path = "common/loopback.rs"]
mod loopback;

use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::{Limits, ProgramSettings};
use common::settings;
use loopback::*;
use tokio::io::AsyncWriteExt;

/// Where a request is when something ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No engine may take it.
    Waits,
    /// The connection for its first attempt is not up.
    Connects,
    Prefills,
    /// It is read, and the connection for the next attempt is not up.
    HoldsState,
    Decodes,
    Streams,
}

/// A request that was brought to a stage.
struct Open {
    client: Conn,
    /// The engine's end of the attempt that is out.
    engine: Option<Conn>,
}

const CLASSES: [&str; 2] = ["draft", "proof"];

/// A client's request `a`, up to a stage.
async fn bring(net: &Loopback, stage: Stage, class: &str) -> Open {
    bring_with(net, stage, &request("a", class)).await
}

async fn bring_with(net: &Loopback, stage: Stage, text: &str) -> Open {
    match stage {
        Stage::Waits => net.tell(&net.all("draining")).await,
        Stage::Connects => net.gate.shut(&net.engine("r1").address),
        Stage::HoldsState => net.gate.shut(&net.engine("w1").address),
        _ => {}
    }
    let mut client = net.connect().await;
    client.say(text).await;
    let mut engine = None;
    match stage {
        Stage::Waits => until(|| net.driver.held().requests == 1).await,
        Stage::Connects => net.gate.held_up(&net.engine("r1").address).await,
        Stage::Prefills => engine = Some(net.engine("r1").asked().await.0),
        Stage::HoldsState => {
            net.prefilled().await;
            net.gate.held_up(&net.engine("w1").address).await;
        }
        Stage::Decodes | Stage::Streams => {
            net.prefilled().await;
            engine = Some(net.engine("w1").asked().await.0);
        }
    }
    if let (Stage::Streams, Some(engine)) = (stage, &mut engine) {
        engine.say(&format!("{STREAM}{EVENT}")).await;
        assert!(client.text_until(EVENT).await.starts_with("HTTP/1.1 200 "));
    }
    Open { client, engine }
}

/// Whether the state that a request left may lie at an engine.
fn may_hold_state(stage: Stage) -> bool {
    matches!(stage, Stage::Prefills | Stage::HoldsState | Stage::Decodes)
}

/// Nothing of the request is left: no attempt begins any more, the one that was out is closed, its state is let go.
async fn nothing_is_left(net: &Loopback, stage: Stage, engine: Option<Conn>) {
    if let Some(mut engine) = engine {
        assert_eq!(
            engine.rest().await,
            "",
            "{stage:?}: the attempt is closed, and nothing more said on it"
        );
    }
    if may_hold_state(stage) {
        // Any engine passes a release on. The connection over which the prompt went rests at the prefill engine.
        release_is_sent(net).await;
    }
    net.no_request_is_open().await;
    for engine in ["r1", "w1"] {
        net.gate.open(&net.engine(engine).address);
    }
    // What would still go out goes out before the next request, which alone is served.
    if stage == Stage::Waits {
        net.tell(&net.all("up")).await;
    }
    net.advance(1_000.0);
    let mut next = net.ask("next", "draft").await;
    for engine in ["r1", "w1"] {
        let mut conn = attempt_of(net, engine, "next").await;
        conn.say(if engine == "r1" { READ } else { STREAM }).await;
        if engine == "w1" {
            conn.say(&format!("{EVENT}{END}")).await;
        }
    }
    assert!(next.text_until(END).await.ends_with(END));
    net.no_request_is_open().await;
}

/// Accepts connections at an engine until one carries the request `id`; none may carry another request but a release.
async fn attempt_of(net: &Loopback, engine: &str, id: &str) -> Conn {
    loop {
        let mut conn = net.engine(engine).accept().await;
        match conn.next_request().await {
            None => {}
            Some(request) if request.head.starts_with("DELETE") => conn.say(RELEASED).await,
            Some(request) => {
                assert_eq!(request.id(), id, "no attempt for a request that is over");
                return conn;
            }
        }
    }
}

/// A release that may have overtaken the close of an attempt is sent again for some seconds, unless the attempt's engine shows
/// that it works.
const MOST_RELEASES: usize = 16;

/// The release of `a` comes to the engines, over whatever connections, and is confirmed, until the state is known to be gone.
async fn release_is_sent(net: &Loopback) {
    let (mut conn, mut request) = net.any_asked().await;
    for _ in 0..MOST_RELEASES {
        assert!(
            request.head.starts_with("DELETE /bootstrap/rooms/a "),
            "{request:?}"
        );
        conn.say(RELEASED).await;
        let on_it = tokio::select! { biased;
            () = until(|| net.driver.held().releases == 0) => return,
            request = conn.next_request() => request,
            asked = net.any_asked() => {
                conn = asked.0;
                Some(asked.1)
            }
        };
        request = match on_it {
            Some(request) => request,
            None => {
                let asked = net.any_asked().await;
                conn = asked.0;
                asked.1
            }
        };
    }
    panic!("over {MOST_RELEASES} releases");
}

/// A request is refused after a while, and nothing of it is sent to any engine.
async fn is_refused(net: &Loopback, id: &str) {
    let mut client = net.ask(id, "proof").await;
    until(|| net.driver.held().requests == 1).await;
    net.pass_until(|| net.driver.held().requests == 0).await;
    assert!(client.text_until("\n").await.starts_with("HTTP/1.1 503 "));
    for engine in ["r1", "w1"] {
        assert!(!net.engine(engine).is_asked(), "{engine} got nothing");
    }
}

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

    #[test]
    fn before_its_body_is_whole_has_asked_for_nothing() {
        run(|net| async move {
            let mut client = net.connect().await;
            let text = request_with("a", "draft", 4000, "a body of some length");
            client.say(&text[..text.len() - 5]).await;
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
                    let answer = client.text_until("\n").await;
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

    /// What an engine is told is what the client has left when the attempt goes out, not when it was decided on.
    #[test]
    fn that_is_told_to_an_engine_heeds_the_time_that_its_connection_took() {
        run(|net| async move {
            net.gate.shut(&net.engine("r1").address);
            let _client = net.ask("a", "draft").await;
            net.gate.held_up(&net.engine("r1").address).await;
            net.advance(240.0);
            net.gate.open(&net.engine("r1").address);
            let (_prefill, request) = net.engine("r1").asked().await;
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
            engine.say(text).await;
            net.advance(f64::from(REMAINING));
        } else {
            net.advance(f64::from(REMAINING));
            engine
                .io
                .try_write(text.as_bytes())
                .expect("room in the socket");
        }
    }

    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn and_the_end_of_a_prefill_in_one_turn_leave_one_answer_and_no_state(first: First) {
        run(|net| async move {
            let text = request_with("a", "draft", REMAINING, "{}");
            let Open { mut client, engine } = bring_with(&net, Stage::Prefills, &text).await;
            let mut engine = engine.expect("it is being read");
            at_once(&net, &mut engine, READ, first).await;
            assert!(client.text_until("\n").await.starts_with("HTTP/1.1 503 "));
            drop(client);
            // The engine's connection rests, and the release comes over it; or it is closed.
            let on_it = tokio::select! { biased;
                request = engine.next_request() => request,
                asked = net.any_asked() => Some(asked.1),
            };
            let release = match on_it {
                Some(release) => release,
                None => net.any_asked().await.1,
            };
            assert!(
                release.head.starts_with("DELETE /bootstrap/rooms/a "),
                "{release:?}"
            );
            net.no_request_is_open().await;
        });
    }

    #[test_case(First::Deadline; "deadline first")]
    #[test_case(First::Answer; "answer first")]
    fn and_a_first_token_in_one_turn_leave_one_answer(first: First) {
        for class in CLASSES {
            run(|net| async move {
                let text = request_with("a", class, REMAINING, "{}");
                let Open { mut client, engine } = bring_with(&net, Stage::Decodes, &text).await;
                let mut engine = engine.expect("it decodes");
                at_once(&net, &mut engine, &format!("{STREAM}{EVENT}{END}"), first).await;
                net.no_request_is_open().await;
                client.io.shutdown().await.expect("a socket");
                let answer = client.rest().await;
                assert_eq!(
                    answer.matches("HTTP/1.1 ").count(),
                    1,
                    "{class}, {first:?}: {answer}"
                );
                let served = answer.starts_with("HTTP/1.1 200 ");
                assert_eq!(
                    served,
                    answer.ends_with(END),
                    "a stream that is begun is whole: {answer}"
                );
                assert!(served || answer.starts_with("HTTP/1.1 50"), "{answer}");
            });
        }
    }
}

mod an_engine_that_closes {
    use super::*;
    use test_case::test_case;

    /// A request that is served, so that a connection to each engine rests; gives them.
    async fn resting(net: &Loopback) -> (Conn, Conn) {
        let mut client = net.ask("first", "draft").await;
        let (mut prefill, _) = net.engine("r1").asked().await;
        prefill.say(READ).await;
        let (mut decode, _) = net.engine("w1").asked().await;
        decode.say(&format!("{STREAM}{EVENT}{END}")).await;
        assert!(client.text_until(END).await.ends_with(END));
        net.no_request_is_open().await;
        (prefill, decode)
    }

    #[test]
    fn a_resting_connection_as_the_next_request_comes_gets_it_once_on_another() {
        for class in CLASSES {
            run(|net| async move {
                let (prefill, decode) = resting(&net).await;
                // Both closes are there before the dispatcher runs again.
                drop((prefill, decode));
                let mut client = net.ask("a", class).await;
                net.prefilled().await;
                let (mut decode, request) = net.engine("w1").asked().await;
                assert_eq!(request.id(), "a");
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(client.text_until(END).await.ends_with(END), "{class}");
                assert!(!net.engine("w1").is_asked(), "once");
            });
        }
    }

    /// After which part of an answer it closes.
    #[test_case(""; "without a byte")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Ty"; "within a line of the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; "after the head")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata:"; "within its first event")]
    fn after_the_whole_request_may_have_run_it(part: &str) {
        for class in CLASSES {
            run(|net| async move {
                let (mut client, mut decode) = net.decoding("a", class).await;
                decode.say(part).await;
                drop(decode);
                if class == "proof" {
                    assert!(
                        client.text_until("\n").await.starts_with("HTTP/1.1 504 "),
                        "not sent again"
                    );
                    net.no_request_is_open().await;
                    release_is_sent(&net).await;
                    assert!(!net.engine("w1").is_asked());
                } else {
                    let mut decode = attempt_of(&net, "w1", "a").await;
                    decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                    assert!(client.text_until(END).await.ends_with(END), "sent again");
                }
            });
        }
    }

    /// Chunks that are whole, with half of the first event in them: its client has not got an event, so the request is
    /// still the dispatcher's to answer.
    #[test]
    fn within_its_first_event_and_between_two_chunks_has_begun_no_stream() {
        for part in [
            "6\r\ndata: \r\n",
            "6\r\ndata: \r\n2\r\na\n\r\n",
            "d\r\n: a comment\n\n\r\n5\r\ndata:\r\n",
        ] {
            for class in CLASSES {
                run(|net| async move {
                    let (mut client, mut decode) = net.decoding("a", class).await;
                    decode.say(&format!("{STREAM}{part}")).await;
                    drop(decode);
                    if class == "proof" {
                        assert!(
                            client.text_until("\n").await.starts_with("HTTP/1.1 504 "),
                            "answered whole"
                        );
                        net.no_request_is_open().await;
                        release_is_sent(&net).await;
                        assert!(!net.engine("w1").is_asked(), "not sent again");
                    } else {
                        let mut decode = attempt_of(&net, "w1", "a").await;
                        decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                        let answer = client.text_until(END).await;
                        assert!(
                            answer.ends_with(&format!("\r\n\r\n{EVENT}{END}")),
                            "one answer: {answer}"
                        );
                    }
                });
            }
        }
    }

    #[test]
    fn between_the_last_event_and_the_last_chunk_leaves_the_stream_open_ended() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "draft").await;
            let mut engine = engine.expect("it streams");
            engine.say(EVENT).await;
            drop(engine);
            let rest = client.rest().await;
            assert_eq!(rest, EVENT, "all that came, and no last chunk");
            net.no_request_is_open().await;
            assert!(!net.engine("w1").is_asked(), "nothing more goes out for it");
        });
    }

    #[test]
    fn with_the_end_of_its_answer_in_one_turn_has_served() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "proof").await;
            let mut engine = engine.expect("it streams");
            engine.say(&format!("{EVENT}{END}")).await;
            drop(engine);
            assert_eq!(client.text_until(END).await, format!("{EVENT}{END}"));
            net.no_request_is_open().await;
        });
    }
}

mod a_stop {
    use super::*;

    const NOTICE: f64 = 600.0;

    #[test]
    fn waits_for_a_client_that_reads_slowly_what_its_engine_has_finished() {
        run(|net| async move {
            let mut client = net.connect_narrow().await;
            client.say(&request("a", "draft")).await;
            net.prefilled().await;
            let (mut decode, _) = net.engine("w1").asked().await;
            // More than the sockets hold, in as many parts as the dispatcher takes ahead of its client.
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let text = format!("{STREAM}{chunk}{chunk}{END}");
            let mut engine = tokio::task::spawn_local(async move { decode.say(&text).await });
            net.no_request_is_open().await;
            (&mut engine).await.expect("the engine has finished");
            net.stop.notify_one();
            until(|| !net.driver.readiness().is_ready).await;
            net.advance(NOTICE);
            for _ in 0..1_000 {
                tokio::task::yield_now().await;
            }
            assert!(
                !net.has_ended(),
                "it does not end over an answer that is being read"
            );
            let answer = client.text_until(END).await;
            assert!(answer.ends_with(END), "{} bytes", answer.len());
            assert!(answer.len() > 120_000, "all of it: {} bytes", answer.len());
            drop(client);
            net.ended().await;
        });
    }

    #[test]
    fn ends_although_a_client_takes_nothing_of_its_answer() {
        run(|net| async move {
            let mut client = net.connect_narrow().await;
            client.say(&request("a", "draft")).await;
            net.prefilled().await;
            let (mut decode, _) = net.engine("w1").asked().await;
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            decode.say(&format!("{STREAM}{chunk}{chunk}{END}")).await;
            net.no_request_is_open().await;
            net.stop.notify_one();
            net.pass_until(|| net.has_ended()).await;
            drop(client);
        });
    }

    #[test]
    fn answers_what_comes_on_an_open_connection_within_the_notice() {
        run(|net| async move {
            let mut resting = net.connect().await;
            net.stop.notify_one();
            until(|| !net.driver.readiness().is_ready).await;
            resting.say(&request("a", "proof")).await;
            net.prefilled().await;
            let (mut decode, _) = net.engine("w1").asked().await;
            decode.say(&format!("{STREAM}{EVENT}{END}")).await;
            let answer = resting.rest().await;
            assert!(
                answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(END),
                "{answer}"
            );
            assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
        });
    }

    /// The notice ends in the turn in which a request comes.
    #[test]
    fn never_sends_on_what_it_closes_without_an_answer() {
        for request_first in [true, false] {
            run(|net| async move {
                let mut resting = net.connect().await;
                until(|| net.driver.client_connections() == 1).await;
                net.stop.notify_one();
                until(|| !net.driver.readiness().is_ready).await;
                let text = request("a", "proof");
                if request_first {
                    resting.io.try_write(text.as_bytes()).expect("room");
                    net.advance(NOTICE);
                } else {
                    net.advance(NOTICE);
                    resting.io.try_write(text.as_bytes()).expect("room");
                }
                let answer = resting.text_until("\n").await;
                assert!(
                    answer.is_empty() || answer.starts_with("HTTP/1.1 503 "),
                    "{answer}"
                );
                drop(resting);
                net.pass_until(|| net.has_ended()).await;
                assert!(!net.engine("r1").is_asked(), "nothing was sent on");
            });
        }
    }
}

mod a_place_that_is_wanted {
    use super::*;

    /// Two connections of clients at most.
    fn run_with_two_places<F: std::future::Future<Output = ()>>(test: impl FnOnce(Loopback) -> F) {
        let limits = Limits {
            max_client_connections: 2,
            ..limits()
        };
        run_with(
            ProgramSettings {
                limits,
                ..settings()
            },
            &["r1", "w1"],
            test,
        );
    }

    #[test]
    fn is_not_taken_from_a_client_whose_request_is_read() {
        for request_first in [true, false] {
            run_with_two_places(|net| async move {
                let (mut resting, other) = (net.connect().await, net.connect().await);
                until(|| net.driver.client_connections() == 2).await;
                let text = request("a", "proof");
                let new = if request_first {
                    resting.io.try_write(text.as_bytes()).expect("room");
                    net.connect().await
                } else {
                    let new = net.connect().await;
                    resting.io.try_write(text.as_bytes()).expect("room");
                    new
                };
                // Either it was read and is served whole, or its connection ends with nothing sent on.
                let served = tokio::select! {
                    _ = resting.io.readable() => false,
                    (mut prefill, request) = net.engine("r1").asked() => {
                        assert_eq!(request.id(), "a");
                        prefill.say(READ).await;
                        true
                    }
                };
                if served {
                    let (mut decode, _) = net.engine("w1").asked().await;
                    decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                    assert!(resting.text_until(END).await.ends_with(END));
                } else {
                    assert_eq!(resting.rest().await, "");
                    assert!(!net.engine("r1").is_asked(), "nothing was sent on");
                }
                net.no_request_is_open().await;
                drop((new, other));
            });
        }
    }

    #[test]
    fn at_the_engines_is_made_by_a_connection_at_rest_and_never_by_one_in_use() {
        let http1 = limits().http1.map(|http1| Http1Limits {
            max_engine_connections: 2,
            ..http1
        });
        let limits = Limits { http1, ..limits() };
        run_with(
            ProgramSettings {
                limits,
                ..settings()
            },
            &["r1", "w1"],
            |net| async move {
                let mut client = net.ask("a", "proof").await;
                let (mut prefill, _) = net.engine("r1").asked().await;
                prefill.say(READ).await;
                // The connection to r1 makes way for the decode's, which is in use then.
                let (mut decode, _) = net.engine("w1").asked().await;
                let mut second = net.ask("b", "proof").await;
                let request = tokio::select! {
                    request = prefill.request() => request,
                    asked = net.engine("r1").asked() => {
                        prefill = asked.0;
                        asked.1
                    }
                };
                assert_eq!(request.id(), "b");
                prefill.say(READ).await;
                // No place for its decode attempt until the first has ended.
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(
                    client.text_until(END).await.ends_with(END),
                    "the first goes on undisturbed"
                );
                let mut decode = tokio::select! {
                    request = decode.request() => {
                        assert_eq!(request.id(), "b");
                        decode
                    }
                    decode = attempt_of(&net, "w1", "b") => decode,
                };
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(second.text_until(END).await.ends_with(END));
            },
        );
    }
}

mod an_engine_that_leaves_service {
    use super::*;
    use test_case::test_case;

    /// How the list says so.
    #[derive(Clone, Copy)]
    enum Says {
        Draining,
        Removed,
    }

    impl Says {
        fn phase(self) -> &'static str {
            match self {
                Says::Draining => "draining",
                Says::Removed => "removed",
            }
        }
    }

    #[test_case(Says::Draining; "draining")]
    #[test_case(Says::Removed; "removed")]
    fn gets_nothing_that_still_waited_for_a_connection_to_it(says: Says) {
        run_with(
            ProgramSettings {
                limits: limits(),
                ..settings()
            },
            &["r1", "w1", "w2"],
            |net| async move {
                for engine in ["w1", "w2"] {
                    net.gate.shut(&net.engine(engine).address);
                }
                let mut client = net.ask("a", "proof").await;
                net.prefilled().await;
                let chosen = tokio::select! {
                    () = net.gate.held_up(&net.engine("w1").address) => "w1",
                    () = net.gate.held_up(&net.engine("w2").address) => "w2",
                };
                let other = if chosen == "w1" { "w2" } else { "w1" };
                net.tell(&[net.line(chosen, says.phase())]).await;
                net.gate.open(&net.engine(other).address);
                net.gate.open(&net.engine(chosen).address);
                // The connection that was wanted comes up, and carries nothing.
                let mut unused = net.engine(chosen).accept().await;
                let mut decode = attempt_of(&net, other, "a").await;
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(client.text_until(END).await.ends_with(END));
                net.no_request_is_open().await;
                // Until it has rested for as long as a connection may.
                net.advance(limits().connection_idle_timeout);
                assert_eq!(
                    unused.rest().await,
                    "",
                    "nothing went to the engine that leaves"
                );
            },
        );
    }

    #[test_case(Says::Draining; "draining")]
    #[test_case(Says::Removed; "removed")]
    fn finishes_the_stream_that_it_has_and_gets_no_other(says: Says) {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Streams, "proof").await;
            net.tell(&[net.line("w1", says.phase())]).await;
            let mut engine = engine.expect("it streams");
            engine.say(&format!("{EVENT}{END}")).await;
            assert_eq!(client.text_until(END).await, format!("{EVENT}{END}"));
            net.no_request_is_open().await;
            is_refused(&net, "b").await;
            net.advance(limits().connection_idle_timeout);
            assert_eq!(
                engine.rest().await,
                "",
                "its connection is closed, and nothing more said on it"
            );
        });
    }

    #[test]
    fn with_a_state_held_has_it_let_go_and_the_prompt_is_read_again() {
        run_with(
            ProgramSettings {
                limits: limits(),
                ..settings()
            },
            &["r1", "r2", "w1"],
            |net| async move {
                let mut client = net.ask("a", "draft").await;
                let (home, mut prefill) = tokio::select! {
                    asked = net.engine("r1").asked() => ("r1", asked.0),
                    asked = net.engine("r2").asked() => ("r2", asked.0),
                };
                let other = if home == "r1" { "r2" } else { "r1" };
                prefill.say(READ).await;
                let (mut decode, _) = net.engine("w1").asked().await;
                net.tell(&[net.line(home, "removed")]).await;
                decode
                .say("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
                .await;
                let mut prefill = tokio::select! { biased;
                    conn = attempt_of(&net, other, "a") => conn,
                    () = net.pass_until(|| false) => unreachable!("it goes on"),
                };
                prefill.say(READ).await;
                // The decode engine is asked again once it was passed by for a moment, on the connection that rests.
                let again = tokio::select! { biased;
                    request = decode.request() => request,
                    () = net.pass_until(|| false) => unreachable!("it goes on"),
                };
                assert_eq!(again.id(), "a");
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(client.text_until(END).await.ends_with(END));
                net.no_request_is_open().await;
            },
        );
    }
}

mod discovery {
    use super::*;
    use cindercleat::interface::Discovery;
    use cindercleat::resource_limits::{ProcessLimits, ResourceLimits};
    use test_case::test_case;

    /// Discovery asked for anew: the next connection's first request is for the whole list.
    async fn asked_anew(net: &Loopback) -> Conn {
        let call = async {
            let mut call = net.discovery_call().await;
            let request = call.request().await;
            assert!(!request.head.contains("after="), "{request:?}");
            call
        };
        tokio::select! { biased;
            call = call => call,
            () = net.pass_until(|| false) => unreachable!("it goes on"),
        }
    }

    /// A request is served, by the list that is known.
    async fn serves(net: &Loopback, id: &str) {
        let mut client = net.ask(id, "proof").await;
        let mut prefill = attempt_of(net, "r1", id).await;
        prefill.say(READ).await;
        let mut decode = attempt_of(net, "w1", id).await;
        decode.say(&format!("{STREAM}{EVENT}{END}")).await;
        assert!(client.text_until(END).await.ends_with(END));
        net.no_request_is_open().await;
    }

    #[derive(Clone, Copy)]
    enum Watch {
        Dies,
        DiesWithinItsAnswer,
        IsRefused,
        CannotBeRead,
    }

    #[test_case(Watch::Dies; "dies")]
    #[test_case(Watch::DiesWithinItsAnswer; "dies within its answer")]
    #[test_case(Watch::IsRefused; "is refused")]
    #[test_case(Watch::CannotBeRead; "cannot be read")]
    fn whose_watch_is_lost_is_asked_anew_and_its_list_kept(watch: Watch) {
        run(|net| async move {
            let mut call = net.take_watch();
            match watch {
                Watch::Dies => {}
                Watch::DiesWithinItsAnswer => {
                    let answer = net.list(2, true, &[]);
                    call.say(&answer[..answer.len() - 3]).await;
                }
                Watch::IsRefused => {
                    call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        .await;
                }
                Watch::CannotBeRead => {
                    call.say("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"revi")
                        .await;
                }
            }
            drop(call);
            let mut call = asked_anew(&net).await;
            serves(&net, "a").await;
            call.say(&net.list(1, true, &net.all("up"))).await;
            net.watched_on(call).await;
            serves(&net, "b").await;
        });
    }

    /// The settings of calls where lists are asked for, from a service that all dispatchers share.
    fn asked() -> Limits {
        let process = ProcessLimits {
            memory_bytes: 64e6,
            file_descriptors: 256,
            connect_timeout: 250.0,
            discovery: Discovery::Polled {
                notified_within: 6_000.0,
            },
            drain_grace: 2_000.0,
            engine_idle_timeout: None,
            max_open_requests: None,
            longest_time_to_deadline: 4_000.0,
            clients_resume: false,
        };
        Limits {
            discovery: ResourceLimits::for_process(&process)
                .expect("room for work")
                .discovery,
            ..limits()
        }
    }

    const CROWDED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /// A crowded service refuses the watch right behind its list, and further calls. The next one asks for what has
    /// changed since, as part of the watch: a whole list, and then a watch, would be two calls that both have to find a
    /// place in its queue, one right after the other.
    #[test]
    fn that_is_crowded_is_asked_for_changes_by_the_call_that_opens_the_watch() {
        run_with(
            ProgramSettings {
                limits: asked(),
                ..settings()
            },
            &["r1", "w1"],
            |net| async move {
                let mut call = net.take_watch();
                for _ in 0..3 {
                    call.say(CROWDED).await;
                    call = call_within(&net, 3_000.0).await;
                    let request = call.request().await;
                    assert!(
                        request.head.contains("?after=1&"),
                        "what is known is not asked for again: {request:?}"
                    );
                }
                call.say(&net.list(2, false, &[net.line("w1", "draining")]))
                    .await;
                let watch = call.request().await;
                assert!(watch.head.contains("?after=2&"), "{watch:?}");
                is_refused(&net, "a").await;
            },
        );
    }

    /// The next connection to discovery, with time passing until it comes.
    async fn call_within(net: &Loopback, most: f64) -> Conn {
        let before = net.now();
        let call = tokio::select! { biased;
            call = net.discovery_call() => call,
            () = net.pass_until(|| false) => unreachable!("it goes on"),
        };
        assert!(
            net.now() - before <= most,
            "{} after the call before",
            net.now() - before
        );
        call
    }

    #[test]
    fn that_falls_silent_is_asked_anew() {
        let discovery = cindercleat::discovery_client::DiscoverySettings {
            silence_timeout: 700.0,
            ..limits().discovery
        };
        let limits = Limits {
            discovery,
            ..limits()
        };
        run_with(
            ProgramSettings {
                limits,
                ..settings()
            },
            &["r1", "w1"],
            |net| async move {
                let silent = net.take_watch();
                let before = net.now();
                let mut call = asked_anew(&net).await;
                assert!(net.now() - before < 1_000.0, "{}", net.now() - before);
                drop(silent);
                call.say(&net.list(1, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                    .await;
                net.watched_on(call).await;
                is_refused(&net, "a").await;
            },
        );
    }

    /// A replica of discovery that lags behind: its list, whole or of changes, would bring back an engine that drains.
    #[test_case(true; "whole")]
    #[test_case(false; "changes")]
    fn that_gives_an_older_list_is_asked_anew_and_the_newer_one_kept(whole: bool) {
        run(|net| async move {
            net.tell(&[net.line("w1", "draining")]).await;
            let mut call = net.take_watch();
            call.say(&net.list(1, whole, &net.all("up"))).await;
            let mut call = asked_anew(&net).await;
            is_refused(&net, "a").await;
            net.advance(100.0);
            call.say(&net.list(3, true, &net.all("up"))).await;
            until(|| net.driver.list_version() == 3).await;
            serves(&net, "b").await;
        });
    }

    /// Discovery that was set up afresh counts from the beginning: after a while its list is taken all the same.
    #[test]
    fn that_counts_anew_is_heeded_within_the_time_after_which_its_list_counts_as_told() {
        run(|net| async move {
            net.tell(&[net.line("w1", "draining")]).await;
            let mut call = net.take_watch();
            let since = net.now();
            call.say(&net.list(1, true, &net.all("up"))).await;
            drop(call);
            while net.driver.list_version() != 1 {
                let mut call = asked_anew(&net).await;
                call.say(&net.list(1, true, &net.all("up"))).await;
                // Either it is taken, and the watch follows, or the call is closed.
                let _ = call.next_request().await;
            }
            assert!(net.now() - since < 6_000.0, "{}", net.now() - since);
            assert!(net.now() - since >= 3_000.0, "{}", net.now() - since);
        });
    }

    #[test]
    fn that_moves_is_followed_and_the_list_kept_meanwhile() {
        run(|net| async move {
            let mut old = net.take_watch();
            let moved = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            net.driver
                .set_discovery_addresses(vec![moved.local_addr().expect("an address").to_string()]);
            let mut call = Conn::new(
                moved
                    .accept()
                    .await
                    .expect("it is asked at the new address")
                    .0,
            );
            serves(&net, "a").await;
            assert_eq!(old.rest().await, "", "the old watch is closed");
            assert!(!call.request().await.head.contains("after="));
            call.say(&net.list(2, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                .await;
            until(|| net.driver.list_version() == 2).await;
            is_refused(&net, "b").await;
        });
    }
}

mod a_replaced_process {
    use super::*;

    /// The same name at another address: what was sent to the old process ends there, and the next goes to the new one.
    #[test]
    fn under_the_same_name_gets_what_comes_next_and_the_old_one_nothing_more() {
        run(|net| async move {
            let Open { mut client, engine } = bring(&net, Stage::Decodes, "proof").await;
            let mut old = engine.expect("it decodes");
            let new = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let address = new.local_addr().expect("an address").to_string();
            let line = net
                .line("w1", "up")
                .replace(&net.engine("w1").address, &address);
            net.tell(&[line]).await;
            let mut next = net.ask("b", "proof").await;
            net.prefilled().await;
            let mut decode = Conn::new(new.accept().await.expect("a connection").0);
            assert_eq!(decode.request().await.id(), "b");
            decode.say(&format!("{STREAM}{EVENT}{END}")).await;
            assert!(next.text_until(END).await.ends_with(END));
            old.say(&format!("{STREAM}{EVENT}{END}")).await;
            assert!(
                client.text_until(END).await.ends_with(END),
                "what the old one has it may finish"
            );
            assert_eq!(old.rest().await, "");
        });
    }
}

mod a_request_that_is_passed_on {
    use super::*;

    /// Platforms name their idempotency keys, and what else engines need, as they like.
    #[test]
    fn keeps_the_headers_that_are_meant_for_its_engine_and_no_others() {
        run(|net| async move {
            let mut client = net.connect().await;
            let own = "Idempotency-Key: 7c/1 a\r\nx-order: 9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n";
            client
                .say(&request("a", "caption").replace("X-Lane", &format!("{own}X-Lane")))
                .await;
            let prefill = net.prefilled().await;
            let (mut engine, decode) = net.engine("w1").asked().await;
            for asked in [prefill, decode] {
                assert_eq!(asked.header("Idempotency-Key"), Some("7c/1 a"), "{asked:?}");
                assert_eq!(asked.header("x-order"), Some("9"), "{asked:?}");
                for name in ["X-Hop", "Connection", "TE"] {
                    assert_eq!(asked.header(name), None, "{asked:?}");
                }
                for name in ["X-Txn", "X-Remaining-Ms", "Content-Length", "Host"] {
                    let times = asked
                        .head
                        .lines()
                        .filter(|l| l.starts_with(&format!("{name}: ")))
                        .count();
                    assert_eq!(times, 1, "{name}: {asked:?}");
                }
            }
            engine.say(&format!("{STREAM}{EVENT}{END}")).await;
            assert!(client.text_until(END).await.ends_with(END));
        });
    }
}

mod a_shortage_of_descriptors {
    use super::*;

    #[test]
    fn at_a_further_attempt_is_answered_in_time_and_its_state_let_go_once_there_is_one() {
        for class in CLASSES {
            run(|net| async move {
                let text = request_with("a", class, 1000, "{}");
                let Open { mut client, engine } = bring_with(&net, Stage::Prefills, &text).await;
                let mut engine = engine.expect("it is being read");
                net.gate.exhaust(true);
                // The connection over which the prompt went is closed with the answer: no other can be had.
                engine
                    .say(&READ.replace("Content-Length", "Connection: close\r\nContent-Length"))
                    .await;
                drop(engine);
                net.pass_until(|| net.driver.held().requests == 0).await;
                assert!(
                    client.text_until("\n").await.starts_with("HTTP/1.1 503 "),
                    "{class}: nothing was decoded"
                );
                assert!(net.driver.held().releases > 0, "its state is not forgotten");
                net.gate.exhaust(false);
                release_is_sent(&net).await;
                for engine in ["r1", "w1"] {
                    assert!(
                        !net.engine(engine).is_asked(),
                        "{engine}: no attempt follows"
                    );
                }
            });
        }
    }

    /// Idle clients hold every place while discovery is down: whoever asks is served by the list that is known, and
    /// discovery is asked again as soon as it can be reached.
    #[test]
    fn for_clients_while_discovery_is_down_keeps_neither_requests_nor_the_list_out() {
        let limits = Limits {
            max_client_connections: 8,
            ..limits()
        };
        run_with(
            ProgramSettings {
                limits,
                ..settings()
            },
            &["r1", "w1"],
            |net| async move {
                let discovery = net.discovery_address();
                net.gate.shut(&discovery);
                drop(net.take_watch());
                let mut idle = Vec::new();
                for _ in 0..8 {
                    idle.push(net.connect().await);
                }
                until(|| net.driver.client_connections() == 8).await;
                for id in ["a", "b", "c"] {
                    let mut client = net.ask(id, "proof").await;
                    let mut prefill = attempt_of(&net, "r1", id).await;
                    prefill.say(READ).await;
                    let mut decode = attempt_of(&net, "w1", id).await;
                    decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                    assert!(client.text_until(END).await.ends_with(END));
                    idle.push(client);
                    assert!(
                        net.driver.client_connections() <= 8,
                        "no more places than there are"
                    );
                }
                tokio::select! { biased;
                    () = net.gate.held_up(&discovery) => {}
                    () = net.pass_until(|| false) => unreachable!("it goes on"),
                }
                net.gate.open(&discovery);
                let mut call = net.discovery_call().await;
                assert!(!call.request().await.head.contains("after="));
                call.say(&net.list(2, true, &[net.line("r1", "up"), net.line("w1", "draining")]))
                    .await;
                until(|| net.driver.list_version() == 2).await;
            },
        );
    }
}

mod a_new_connection {
    use super::*;

    const ECONNABORTED: i32 = 103;
    const EPROTO: i32 = 71;
    const EINTR: i32 = 4;
    const ENETDOWN: i32 = 100;

    /// What concerns one connection, or nobody, holds up no other: the clock stands still.
    #[test]
    fn is_taken_at_once_after_one_that_could_not_be() {
        for errors in [
            &[ECONNABORTED][..],
            &[EPROTO, ENETDOWN, ECONNABORTED],
            &[EINTR],
        ] {
            run(|net| async move {
                net.gate.fail_accepts(errors);
                // The call that was under way before the errors.
                let first = net.connect().await;
                until(|| net.driver.client_connections() == 1).await;
                let mut client = net.ask("a", "proof").await;
                net.prefilled().await;
                let (mut decode, _) = net.engine("w1").asked().await;
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(client.text_until(END).await.ends_with(END));
                drop(first);
            });
        }
    }

    /// A client that has just come is about to ask; a shortage that is over at the next try costs it nothing.
    #[test]
    fn is_not_shut_for_a_shortage_that_is_over_at_the_next_try() {
        const ENFILE: i32 = 23;
        run(|net| async move {
            let mut first = net.connect().await;
            until(|| net.driver.client_connections() == 1).await;
            // The next is taken by the call that is under way; the one behind it fails.
            net.gate.fail_accepts(&[ENFILE]);
            let second = net.connect().await;
            until(|| net.driver.client_connections() == 2).await;
            let third = net.connect().await;
            net.pass_until(|| net.driver.client_connections() == 3)
                .await;
            first.say(&request("a", "proof")).await;
            net.prefilled().await;
            let (mut decode, _) = net.engine("w1").asked().await;
            decode.say(&format!("{STREAM}{EVENT}{END}")).await;
            assert!(first.text_until(END).await.ends_with(END));
            drop((second, third));
        });
    }

    /// More than there may be: a client whose request has come waits for a place, and is answered.
    #[test]
    fn that_finds_no_place_waits_for_one_and_is_not_dropped_with_its_request() {
        let limits = Limits {
            max_client_connections: 1,
            ..limits()
        };
        run_with(
            ProgramSettings {
                limits,
                ..settings()
            },
            &["r1", "w1"],
            |net| async move {
                let (mut first, mut decode) = net.decoding("a", "proof").await;
                let mut others = [net.ask("b", "proof").await, net.ask("c", "proof").await];
                net.advance(50.0);
                decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                assert!(first.text_until(END).await.ends_with(END));
                drop(decode);
                for (id, client) in ["b", "c"].into_iter().zip(&mut others) {
                    let mut prefill = attempt_of(&net, "r1", id).await;
                    prefill.say(READ).await;
                    let mut decode = attempt_of(&net, "w1", id).await;
                    decode.say(&format!("{STREAM}{EVENT}{END}")).await;
                    assert!(client.text_until(END).await.ends_with(END), "{id}");
                    assert!(
                        net.driver.client_connections() <= 1,
                        "no more places than there are"
                    );
                }
            },
        );
    }
}
