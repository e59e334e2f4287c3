//! An independent gRPC client (tonic) against a dispatcher over TCP: checks the status table of `docs/grpc.md` from
//! end to end, with the error details that clients read. tonic is a dependency of the tests only.

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

/// A client channel to a running dispatcher, the dispatcher's engines, and the transcript of all connections.
struct Fixture {
    channel: Channel,
    engines: Vec<Engine<Tcp, TokioClock>>,
    transcript: Transcript,
}

/// Runs a test against a dispatcher with these limits and engines, on TCP sockets and the system clock.
fn run<F: Future<Output = ()>>(limits: Limits, engines: &[&str], test: impl FnOnce(Fixture) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime is built");
    LocalSet::new().block_on(&runtime, async {
        let (clock, transcript) = (TokioClock::system(), Transcript::default());
        let discovery = Discovery::new("list", clock, transcript.clone(), 0.0);
        let listener = Tcp.listen("127.0.0.1:0").await.expect("port is bound");
        let discovery_address = listener.address();
        spawn_local(discovery.clone().serve::<Tcp>(listener));
        let mut started = Vec::new();
        for name in engines {
            let behaviour = if name.starts_with('r') {
                Does::Reads
            } else {
                Does::Writes
            };
            let engine = Engine::new(spec(name, behaviour), Tcp, clock, transcript.clone(), 1);
            engine
                .start("127.0.0.1:0", true)
                .await
                .expect("port is bound");
            discovery.tell(engine.line(EndpointStatus::Ready));
            started.push(engine);
        }
        let settings = ProgramSettings {
            limits,
            ..common::settings()
        };
        let locations = Locations {
            discovery: vec![discovery_address],
            ..Locations::default()
        };
        let driver = Driver::new(settings, locations, Tcp, clock, 1);
        let listener = Tcp.listen("127.0.0.1:0").await.expect("port is bound");
        let address = listener.address();
        spawn_local(async move { driver.serve(listener, std::future::pending()).await });
        while discovery.followers() == 0 {
            clock.sleep_until(clock.now() + 1.0).await;
        }
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).expect("address is valid");
        let channel = endpoint
            .connect()
            .await
            .expect("dispatcher accepts connections");
        test(Fixture {
            channel,
            engines: started,
            transcript,
        })
        .await;
    });
}

fn spec(name: &str, behaviour: Does) -> EngineSpec {
    EngineSpec {
        name: name.to_owned(),
        zone: "north".to_owned(),
        cell: "n1".to_owned(),
        kind: if behaviour == Does::Reads {
            "reader"
        } else {
            "writer"
        }
        .to_owned(),
        does: behaviour,
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

/// Calls the method at `path`. Returns the messages of the reply stream, and the error status if the stream ended with
/// one.
async fn call(
    fixture: &Fixture,
    request: Request<v1::Submit>,
    path: &'static str,
) -> (Vec<Part>, Option<Status>) {
    let mut client = tonic::client::Grpc::new(fixture.channel.clone());
    client.ready().await.expect("channel is ready");
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

/// Sends a request. Returns the messages of the reply stream and the error status, as [`call`] does.
async fn run_request(fixture: &Fixture, submit: v1::Submit) -> (Vec<Part>, Option<Status>) {
    call(fixture, Request::new(submit), "/cindercleat.v1.Router/Run").await
}

fn final_answers(parts: &[Part]) -> Vec<v1::Answer> {
    let answer = |part: &Part| match part {
        Part::Final(last) => Some(last.answer()),
        _ => None,
    };
    parts.iter().filter_map(answer).collect()
}

/// The number of requests that decode engines have executed.
fn executed_requests(fixture: &Fixture) -> usize {
    let records = fixture.transcript.records();
    records
        .iter()
        .filter(|r| matches!(&r.what, What::Note(Note::Ran { .. })))
        .count()
}

/// The value of the retry pushback trailer: milliseconds, or -1 to forbid a retry.
fn pushback(status: &Status) -> Option<&str> {
    status
        .metadata()
        .get("grpc-retry-pushback-ms")
        .and_then(|v| v.to_str().ok())
}

/// The message `google.rpc.Status` as specified by the gRPC error model.
#[derive(Clone, PartialEq, Message)]
struct RpcStatus {
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

fn error_details(status: &Status) -> RpcStatus {
    RpcStatus::decode(status.details()).expect("details are a google.rpc.Status")
}

#[test]
fn a_success_ends_with_the_final_answer_and_status_ok() {
    run(common::limits(), &["r1", "w1"], |fixture| async move {
        let (parts, status) = run_request(&fixture, common::submit("draft")).await;
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
        assert_eq!(final_answers(&parts).len(), 1);
    });
}

/// No decode engine exists, so the request is rejected. The request has not run: the client gets a status that permits
/// a retry, with the time to wait.
#[test]
fn a_rejection_is_unavailable_and_carries_a_retry_delay() {
    run(common::limits(), &["r1"], |fixture| async move {
        let (parts, status) = run_request(&fixture, common::submit("proof")).await;
        let status = status.expect("call ends with a status");
        assert_eq!(
            (status.code(), final_answers(&parts)),
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
            assert!(error_details(&status).details[0]
                .type_url
                .ends_with("google.rpc.RetryInfo"));
        }
        assert_eq!(executed_requests(&fixture), 0);
    });
}

/// The limit of open requests is reached, so a further request is rejected before it runs. The client gets the status
/// RESOURCE_EXHAUSTED with the time to wait.
#[test]
fn the_limit_of_open_requests_is_resource_exhausted() {
    run(
        Limits {
            max_open_requests: 0,
            ..common::limits()
        },
        &["r1", "w1"],
        |fixture| async move {
            let (parts, status) = run_request(&fixture, common::submit("proof")).await;
            let status = status.expect("call ends with a status");
            assert_eq!(
                (status.code(), final_answers(&parts)),
                (Code::ResourceExhausted, vec![v1::Answer::Rejected])
            );
            let rpc_status = error_details(&status);
            assert_eq!(
                (rpc_status.code, &*rpc_status.details[0].type_url),
                (8, "type.googleapis.com/google.rpc.RetryInfo")
            );
            assert_eq!(pushback(&status), Some("500"));
            assert_eq!(executed_requests(&fixture), 0);
        },
    );
}

/// A decode engine stalls in the middle of an answer. The request may have run, so the client gets a status and a
/// pushback that forbid an automatic retry by a gRPC library.
#[test]
fn a_failure_has_a_status_that_no_client_retries() {
    run(common::limits(), &["r1", "w1"], |fixture| async move {
        fixture.engines[1].trouble(|t| t.stall_after = Some(2));
        let (parts, status) = run_request(&fixture, common::submit("proof")).await;
        let status = status.expect("call ends with a status");
        assert_eq!(
            (status.code(), final_answers(&parts)),
            (Code::Unknown, vec![v1::Answer::Failed])
        );
        assert_eq!(pushback(&status), Some("-1"));
        assert_eq!(executed_requests(&fixture), 1);
    });
}

/// A field of a request is invalid. The status names the field, and no engine has executed the request.
#[test]
fn an_invalid_argument_names_its_field() {
    run(common::limits(), &["r1", "w1"], |fixture| async move {
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
            let (parts, status) = run_request(&fixture, submit).await;
            let status = status.expect("call ends with a status");
            assert_eq!(
                (status.code(), parts.len()),
                (Code::InvalidArgument, 0),
                "{field}"
            );
            let rpc_status = error_details(&status);
            assert!(rpc_status.details[0]
                .type_url
                .ends_with("google.rpc.BadRequest"));
            let value = String::from_utf8_lossy(&rpc_status.details[0].value).into_owned();
            assert!(
                value.contains(field) && status.message().starts_with(field),
                "{field}: {status:?}"
            );
        }
        assert_eq!(executed_requests(&fixture), 0);
    });
}

/// A gRPC client sets a timeout on its call instead of the request's field. The timeout becomes the request's
/// deadline: when it expires, the prefill attempt is cancelled and nothing is decoded.
#[test]
fn the_deadline_of_the_call_applies_to_the_request_and_cancels_its_attempt() {
    run(common::limits(), &["r1", "w1"], |fixture| async move {
        fixture.engines[0].trouble(|t| t.slow = 1000.0);
        let mut request = Request::new(common::submit("proof"));
        request.set_timeout(Duration::from_millis(150));
        let (parts, status) = call(&fixture, request, "/cindercleat.v1.Router/Run").await;
        // Either side's deadline timer may fire first, but the client never gets a success.
        let status = status.expect("call ends with a status");
        let codes = [
            Code::DeadlineExceeded,
            Code::Cancelled,
            Code::Unavailable,
            Code::Unknown,
        ];
        assert!(codes.contains(&status.code()), "{status:?}");
        assert!(!final_answers(&parts).contains(&v1::Answer::Succeeded));
        let cancelled = || {
            let cancel = |what: &What| matches!(what, What::Frame(_, f) if matches!(f.body, Some(cindercleat_protocol::Body::Cancel(_))));
            fixture
                .transcript
                .records()
                .iter()
                .any(|r| &*r.seer == "r1" && cancel(&r.what))
        };
        let clock = TokioClock::system();
        let begin = clock.now();
        while !cancelled() {
            assert!(
                clock.now() < begin + 10_000.0,
                "the prefill is cancelled within 10 s after the end of the client's call"
            );
            clock.sleep_until(clock.now() + 2.0).await;
        }
        assert_eq!(executed_requests(&fixture), 0);
    });
}

/// A client calls a method that does not exist. It gets the status UNIMPLEMENTED, and its connection serves the next
/// call.
#[test]
fn an_unknown_method_is_unimplemented() {
    run(common::limits(), &["r1", "w1"], |fixture| async move {
        let (_, status) = call(
            &fixture,
            Request::new(common::submit("draft")),
            "/cindercleat.v1.Router/Nothing",
        )
        .await;
        assert_eq!(
            status.expect("call ends with a status").code(),
            Code::Unimplemented
        );
        assert!(
            run_request(&fixture, common::submit("draft"))
                .await
                .1
                .is_none(),
            "the connection serves the next call"
        );
    });
}
