//! An independent gRPC client (tonic) against a dispatcher over TCP: the table of statuses of `docs/grpc.md`
//! from end to end, with the details that its users read. tonic is a dependency of tests alone.

mod common;

use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_net::{Clock, Listener, Tcp, TokioClock, Transport};
use cindercleat_protocol::v1::{self, run_reply::Part, EndpointStatus};
use cindercleat_standin::discovery::Discovery;
use cindercleat_standin::engine::{Does, Engine, EngineSpec};
use cindercleat_standin::transcript::{Note, Transcript, What};
use http::uri::PathAndQuery;
use prost::Message;
use std::future::Future;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};
use tonic_prost::ProstCodec;

struct Peer {
    channel: Channel,
    engines: Vec<Engine<Tcp, TokioClock>>,
    transcript: Transcript,
}

fn run<F: Future<Output = ()>>(limits: Limits, engines: &[&str], test: impl FnOnce(Peer) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (clock, transcript) = (TokioClock::system(), Transcript::default());
        let feed = Discovery::new("list", clock, transcript.clone(), 0.0);
        let listener = Tcp.listen("127.0.0.1:0").await.expect("a port");
        let feed_address = listener.address();
        spawn_local(feed.clone().serve::<Tcp>(listener));
        let mut started = Vec::new();
        for name in engines {
            let does = if name.starts_with('r') {
                Does::Reads
            } else {
                Does::Writes
            };
            let engine = Engine::new(spec(name, does), Tcp, clock, transcript.clone(), 1);
            engine.start("127.0.0.1:0", true).await.expect("a port");
            feed.tell(engine.line(EndpointStatus::Ready));
            started.push(engine);
        }
        let settings = ProgramSettings {
            limits,
            ..common::settings()
        };
        let locations = Locations {
            discovery: vec![feed_address],
            ..Locations::default()
        };
        let driver = Driver::new(settings, locations, Tcp, clock, 1);
        let listener = Tcp.listen("127.0.0.1:0").await.expect("a port");
        let address = listener.address();
        spawn_local(async move { driver.serve(listener, std::future::pending()).await });
        while feed.followers() == 0 {
            clock.sleep_until(clock.now() + 1.0).await;
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
        let channel = endpoint.connect().await.expect("it listens");
        test(Peer {
            channel,
            engines: started,
            transcript,
        })
        .await;
    });
}

fn spec(name: &str, does: Does) -> EngineSpec {
    EngineSpec {
        name: name.to_owned(),
        zone: "north".to_owned(),
        cell: "n1".to_owned(),
        kind: if does == Does::Reads {
            "reader"
        } else {
            "writer"
        }
        .to_owned(),
        does,
        slots: 8,
        queue: 8,
        memory_tokens: 2e5,
        read_per_s: 400_000.0,
        token_ms: 2.0,
        fetch_per_s: 3e6,
        start_share: 0.3,
        slow_start_window: 5000.0,
        hold: 2000.0,
        report_age: 200.0,
        report_noise: 0.0,
        answer_share: 1.0,
    }
}

/// The parts of an answer, and the status that ended it.
async fn ask(
    peer: &Peer,
    request: Request<v1::Submit>,
    path: &'static str,
) -> (Vec<Part>, Option<Status>) {
    let mut client = tonic::client::Grpc::new(peer.channel.clone());
    client.ready().await.expect("ready");
    let codec: ProstCodec<v1::Submit, v1::RunReply> = ProstCodec::default();
    let mut parts = Vec::new();
    let mut replies = match client
        .server_streaming(request, PathAndQuery::from_static(path), codec)
        .await
    {
        Ok(response) => response.into_inner(),
        Err(status) => return (parts, Some(status)),
    };
    loop {
        match replies.message().await {
            Ok(Some(reply)) => parts.extend(reply.part),
            Ok(None) => return (parts, None),
            Err(status) => return (parts, Some(status)),
        }
    }
}

async fn request(peer: &Peer, submit: v1::Submit) -> (Vec<Part>, Option<Status>) {
    ask(peer, Request::new(submit), "/cindercleat.v1.Router/Run").await
}

fn finals(parts: &[Part]) -> Vec<v1::Answer> {
    let answer = |part: &Part| match part {
        Part::Final(last) => Some(last.answer()),
        _ => None,
    };
    parts.iter().filter_map(answer).collect()
}

fn ran(peer: &Peer) -> usize {
    let records = peer.transcript.records();
    records
        .iter()
        .filter(|r| matches!(&r.what, What::Note(Note::Ran { .. })))
        .count()
}

fn pushback(status: &Status) -> Option<&str> {
    status
        .metadata()
        .get("grpc-retry-pushback-ms")
        .and_then(|v| v.to_str().ok())
}

/// `google.rpc.Status`, as its specification has it.
#[derive(Clone, PartialEq, Message)]
struct Rpc {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<Any>,
}

#[derive(Clone, PartialEq, Message)]
struct Any {
    #[prost(string, tag = "1")]
    type_url: String,
    #[prost(bytes, tag = "2")]
    value: Vec<u8>,
}

fn details(status: &Status) -> Rpc {
    Rpc::decode(status.details()).expect("a google.rpc.Status")
}

#[test]
fn success_is_ok_and_the_final_answer_comes_last() {
    run(common::limits(), &["r1", "w1"], |peer| async move {
        let (parts, status) = request(&peer, common::submit("draft")).await;
        assert!(status.is_none(), "{status:?}");
        assert!(matches!(parts[0], Part::Accepted(_)));
        let tokens = parts
            .iter()
            .filter(|p| matches!(p, Part::Tokens(_)))
            .count();
        assert_eq!(tokens, 50);
        assert!(
            matches!(parts.last(), Some(Part::Final(f)) if f.answer() == v1::Answer::Succeeded)
        );
        assert_eq!(finals(&parts).len(), 1);
    });
}

/// There is no decode engine. The request has not run, so the client gets the status on which it may retry, with the
/// time to wait.
#[test]
fn a_rejection_is_unavailable_and_says_when_to_come_back() {
    // There are no writers.
    run(common::limits(), &["r1"], |peer| async move {
        let (parts, status) = request(&peer, common::submit("proof")).await;
        let status = status.expect("a status");
        assert_eq!(
            (status.code(), finals(&parts)),
            (Code::Unavailable, vec![v1::Answer::Rejected])
        );
        let Some(Part::Final(last)) = parts.last() else {
            panic!("no final answer")
        };
        if last.retry_after_ms > 0.0 {
            assert_eq!(
                pushback(&status),
                Some(&*format!("{}", last.retry_after_ms.ceil()))
            );
            assert!(details(&status).details[0]
                .type_url
                .ends_with("google.rpc.RetryInfo"));
        }
        assert_eq!(ran(&peer), 0);
    });
}

/// As many requests are open as there may be. The client gets a status that says so, with the time to wait, and nothing
/// has run.
#[test]
fn no_room_is_resource_exhausted() {
    run(
        Limits {
            max_open_requests: 0,
            ..common::limits()
        },
        &["r1", "w1"],
        |peer| async move {
            let (parts, status) = request(&peer, common::submit("proof")).await;
            let status = status.expect("a status");
            assert_eq!(
                (status.code(), finals(&parts)),
                (Code::ResourceExhausted, vec![v1::Answer::Rejected])
            );
            let rpc = details(&status);
            assert_eq!(
                (rpc.code, &*rpc.details[0].type_url),
                (8, "type.googleapis.com/google.rpc.RetryInfo")
            );
            assert_eq!(pushback(&status), Some("500"));
            assert_eq!(ran(&peer), 0);
        },
    );
}

/// A decode engine stops in the middle of an answer. The request may have run: the client gets a status and a pushback
/// on which no gRPC library retries by itself.
#[test]
fn a_failure_is_one_that_no_client_retries() {
    run(common::limits(), &["r1", "w1"], |peer| async move {
        peer.engines[1].trouble(|t| t.stall_after = Some(2));
        let (parts, status) = request(&peer, common::submit("proof")).await;
        let status = status.expect("a status");
        assert_eq!(
            (status.code(), finals(&parts)),
            (Code::Unknown, vec![v1::Answer::Failed])
        );
        assert_eq!(pushback(&status), Some("-1"));
        assert_eq!(ran(&peer), 1);
    });
}

/// A field of a request is invalid. The status names the field, and nothing has run.
#[test]
fn bad_input_names_its_field() {
    run(common::limits(), &["r1", "w1"], |peer| async move {
        let cases: [(&str, v1::Submit); 5] = [
            ("profile", common::submit("none")),
            (
                "tenant",
                v1::Submit {
                    tenant: "x".to_owned(),
                    ..common::submit("draft")
                },
            ),
            (
                "patience_ms",
                v1::Submit {
                    time_to_deadline_ms: -1.0,
                    ..common::submit("draft")
                },
            ),
            (
                "max_tokens",
                v1::Submit {
                    max_tokens: 0,
                    ..common::submit("draft")
                },
            ),
            (
                "shared_tokens",
                v1::Submit {
                    shared_tokens: 9999,
                    ..common::submit("draft")
                },
            ),
        ];
        for (field, submit) in cases {
            let (parts, status) = request(&peer, submit).await;
            let status = status.expect("a status");
            assert_eq!(
                (status.code(), parts.len()),
                (Code::InvalidArgument, 0),
                "{field}"
            );
            let rpc = details(&status);
            assert!(rpc.details[0].type_url.ends_with("google.rpc.BadRequest"));
            let value = String::from_utf8_lossy(&rpc.details[0].value).into_owned();
            assert!(
                value.contains(field) && status.message().starts_with(field),
                "{field}: {status:?}"
            );
        }
        assert_eq!(ran(&peer), 0);
    });
}

/// A gRPC client sets a timeout on its call and no field. That is the request's deadline: when it passes, the prefill
/// attempt is cancelled and nothing is decoded.
#[test]
fn the_calls_deadline_is_the_requests_and_cancels_its_attempt() {
    run(common::limits(), &["r1", "w1"], |peer| async move {
        peer.engines[0].trouble(|t| t.slow = 1000.0);
        let mut request = Request::new(common::submit("proof"));
        request.set_timeout(Duration::from_millis(150));
        let (parts, status) = ask(&peer, request, "/cindercleat.v1.Router/Run").await;
        // Whose clock is first is open; a client never hears that it was succeeded.
        let status = status.expect("a status");
        let codes = [
            Code::DeadlineExceeded,
            Code::Cancelled,
            Code::Unavailable,
            Code::Unknown,
        ];
        assert!(codes.contains(&status.code()), "{status:?}");
        assert!(!finals(&parts).contains(&v1::Answer::Succeeded));
        let cancelled = || {
            let cancel = |what: &What| matches!(what, What::Frame(_, f) if matches!(f.body, Some(cindercleat_protocol::Body::Cancel(_))));
            peer.transcript
                .records()
                .iter()
                .any(|r| &*r.seer == "r1" && cancel(&r.what))
        };
        let clock = TokioClock::system();
        let begin = clock.now();
        while !cancelled() {
            assert!(
                clock.now() < begin + 10_000.0,
                "the read goes on for nobody"
            );
            clock.sleep_until(clock.now() + 2.0).await;
        }
        assert_eq!(ran(&peer), 0);
    });
}

/// A client calls a method that does not exist. It gets the status for that, and its connection serves the next call.
#[test]
fn what_is_not_there_is_unimplemented() {
    run(common::limits(), &["r1", "w1"], |peer| async move {
        let (_, status) = ask(
            &peer,
            Request::new(common::submit("draft")),
            "/cindercleat.v1.Router/Nothing",
        )
        .await;
        assert_eq!(status.expect("a status").code(), Code::Unimplemented);
        assert!(
            request(&peer, common::submit("draft")).await.1.is_none(),
            "the connection serves on"
        );
    });
}
