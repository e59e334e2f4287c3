//! The shell on connections in memory and a paused clock: what peers may send that is no good, and how much
//! of it is borne. The same code serves TCP.

mod common;

use cindercleat_dispatcher::shell::{Places, Shell};
use cindercleat_net::{write_frame, Clock, FrameReader, Listener, Memory, TokioClock, Transport};
use cindercleat_protocol::v1::{HostCondition, Party};
use cindercleat_protocol::{hello, name_of, v1, Body};
use cindercleat_standin::client::{End, Port};
use cindercleat_standin::feed::Feed;
use cindercleat_standin::host::{Does, Host, HostSpec};
use cindercleat_standin::transcript::Transcript;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, LocalSet};

struct Net {
    memory: Memory,
    clock: TokioClock,
    shell: Shell<Memory, TokioClock>,
    transcript: Transcript,
    hosts: Vec<Host<Memory, TokioClock>>,
}

/// Runs a test against a dispatcher "d" with a reader and a writer.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Net) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (memory, clock) = (Memory::default(), TokioClock::starting_at(1e6));
        let transcript = Transcript::default();
        let feed = Feed::new("list", clock, transcript.clone(), 0.0);
        spawn_local(feed.clone().serve::<Memory>(memory.listen("feed").await.expect("a name")));
        let mut hosts = Vec::new();
        for (name, kind, does) in [("r1", "reader", Does::Reads), ("w1", "writer", Does::Writes)] {
            let host = Host::new(spec(name, kind, does), memory.clone(), clock, transcript.clone(), 1);
            host.start(&format!("at-{name}"), true).await.expect("a name");
            feed.tell(host.line(HostCondition::Ready));
            hosts.push(host);
        }
        let places = Places { feeds: vec!["feed".to_owned()], ..Places::default() };
        let shell = Shell::new(common::settings(), places, memory.clone(), clock, 1);
        let listener = memory.listen("d").await.expect("a name");
        let serving = shell.clone();
        spawn_local(async move { serving.serve(listener, std::future::pending()).await });
        while feed.followers() == 0 {
            clock.sleep_until(clock.now() + 1.0).await;
        }
        test(Net { memory, clock, shell, transcript, hosts }).await;
    });
}

fn spec(name: &str, kind: &str, does: Does) -> HostSpec {
    HostSpec {
        name: name.to_owned(),
        zone: "north".to_owned(),
        cell: "n1".to_owned(),
        kind: kind.to_owned(),
        does,
        slots: 8,
        queue: 8,
        memory_tokens: 2e5,
        read_per_s: 40_000.0,
        token_ms: 5.0,
        fetch_per_s: 3e5,
        start_share: 0.3,
        ramp: 5000.0,
        hold: 2000.0,
        report_age: 200.0,
        report_noise: 0.0,
        answer_share: 1.0,
    }
}

impl Net {
    async fn task(&self, client: &str) -> (End, u32) {
        let port = Port::new(client, "d", self.memory.clone(), self.clock, self.transcript.clone());
        let mut tokens = 0;
        let end = port.run(common::submit("draft"), None, |t| tokens += t.count).await;
        (end, tokens)
    }

    /// What the dispatcher says to a client that greets and then sends these bytes.
    async fn say(&self, bytes: &[u8], greets: bool) -> Vec<String> {
        let stream = self.memory.connect("d").await.expect("it listens");
        let (from, mut to) = tokio::io::split(stream);
        if greets {
            write_frame(&mut to, &hello(Party::Client, "c", "", 0)).await.expect("it reads");
        }
        // A connection that was closed meanwhile takes no more.
        let _ = to.write_all(bytes).await;
        let mut from = FrameReader::new(from, 1 << 16);
        let mut said = Vec::new();
        while let Ok(frame) = from.next().await {
            said.push(match frame.body {
                Some(Body::Goodbye(bye)) => bye.reason,
                other => name_of(other.as_ref()).to_owned(),
            });
        }
        said
    }
}

#[test]
fn a_task_goes_its_whole_way() {
    run(|net| async move {
        assert_eq!(net.task("c").await, (End::Fulfilled, 50));
        assert_eq!(net.shell.held().tasks, 0);
    });
}

#[test]
fn bytes_that_are_no_frames_close_their_own_connection_with_a_reason() {
    run(|net| async move {
        let oversized = [0xff, 0xff, 0xff, 0xff, 1, 2, 3];
        let said = net.say(&oversized, true).await;
        assert_eq!(said[0], "hello");
        assert!(said[1].contains("over the bound"), "{said:?}");
        let garbage = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
        assert!(net.say(&garbage, true).await[1].contains("no message"));
        let empty = [0, 0, 0, 0];
        assert!(net.say(&empty, true).await[1].contains("without a body"));
        assert!(net.say(&oversized, false).await[0].contains("over the bound"));
        let http = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        assert!(net.say(http, false).await[0].contains("over the bound"));
        assert_eq!(net.shell.clients(), 0);
        assert_eq!(net.task("c").await.0, End::Fulfilled, "the rest is served on");
    });
}

#[test]
fn an_unknown_field_is_skipped_and_another_version_refused() {
    run(|net| async move {
        // Field 99, a number, behind a cancel of stream 5.
        let known = [8, 5, 66, 0];
        let bytes = [&[0, 0, 0, 7][..], &known, &[0x98, 0x06, 1]].concat();
        let stream = net.memory.connect("d").await.expect("it listens");
        let (from, mut to) = tokio::io::split(stream);
        write_frame(&mut to, &hello(Party::Client, "c", "", 0)).await.expect("it reads");
        to.write_all(&bytes).await.expect("it reads");
        let mut from = FrameReader::new(from, 1 << 16);
        assert!(matches!(from.next().await.expect("a greeting").body, Some(Body::Hello(_))));
        write_frame(&mut to, &cindercleat_protocol::frame(6, Body::Submit(common::submit("draft"))))
            .await
            .expect("it reads");
        assert!(matches!(from.next().await.expect("taken").body, Some(Body::Accepted(_))));
        let old = v1::Hello { version: 99, ..v1::Hello::default() };
        let mut bytes = Default::default();
        cindercleat_protocol::encode(&cindercleat_protocol::frame(0, Body::Hello(old)), &mut bytes);
        assert!(net.say(&bytes, false).await[0].contains("version 99"));
    });
}

#[test]
fn an_endless_frame_is_not_held_beyond_its_bound_and_a_truncated_one_ends_with_its_connection() {
    run(|net| async move {
        let stream = net.memory.connect("d").await.expect("it listens");
        let (_from, mut to) = tokio::io::split(stream);
        // Says that a frame of the largest size comes, and never ends it.
        to.write_all(&[0, 1, 0, 0]).await.expect("it reads");
        for _ in 0..20 {
            let _ = to.write_all(&[0; 16]).await;
            net.clock.sleep_until(net.clock.now() + 100.0).await;
        }
        assert!(to.write_all(&[0; 16]).await.is_err(), "no greeting in time: closed");
        drop(to);
        assert_eq!(net.shell.clients(), 0);
        assert_eq!(net.task("c").await.0, End::Fulfilled);
    });
}

#[test]
fn ten_thousand_connections_that_send_nothing_leave_room_for_others() {
    run(|net| async move {
        let mut silent = Vec::new();
        for _ in 0..10_000 {
            silent.push(net.memory.connect("d").await.expect("it listens"));
        }
        net.clock.sleep_until(net.clock.now() + 10.0).await;
        assert_eq!(net.task("c").await.0, End::Unsent, "all places are taken, for now");
        // The greeting's time passes.
        net.clock.sleep_until(net.clock.now() + 1100.0).await;
        assert_eq!(net.task("c").await.0, End::Fulfilled);
        for mut stream in silent {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
        assert!(net.shell.clients() <= 1);
    });
}

#[test]
fn a_host_that_claims_anothers_name_gets_no_task() {
    run(|net| async move {
        let writer = &net.hosts[1];
        writer.die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut listener = net.memory.listen("at-w1").await.expect("the name is free");
        spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                spawn_local(async move {
                    let (from, mut to) = tokio::io::split(stream);
                    let _ = write_frame(&mut to, &hello(Party::Host, "w2", "", 0)).await;
                    let mut from = FrameReader::new(from, 1 << 16);
                    let mut came = 0;
                    while from.next().await.is_ok() {
                        came += 1;
                    }
                    assert_eq!(came, 1, "nothing but a greeting goes to a host of another name");
                });
            }
        });
        let (end, tokens) = net.task("c").await;
        assert!(matches!(end, End::Bounced { .. }), "{end:?}");
        assert_eq!(tokens, 0);
    });
}

#[test]
fn a_host_that_sends_garbage_loses_its_link_and_the_dispatcher_serves_on() {
    run(|net| async move {
        net.hosts[1].die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut listener = net.memory.listen("at-w1").await.expect("the name is free");
        let bad = spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                let (from, mut to) = tokio::io::split(stream);
                let mut from = FrameReader::new(from, 1 << 16);
                let _ = from.next().await;
                let _ = write_frame(&mut to, &hello(Party::Host, "w1", "", 0)).await;
                let _ = from.next().await;
                let _ = to.write_all(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]).await;
            }
        });
        let (end, tokens) = net.task("c").await;
        assert!(matches!(end, End::Bounced { .. } | End::WrittenOff), "{end:?}");
        assert_eq!(tokens, 0);
        bad.abort();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        net.hosts[1].start("at-w1", true).await.expect("the name is free");
        net.clock.sleep_until(net.clock.now() + 3000.0).await;
        assert_eq!(net.task("c").await.0, End::Fulfilled);
    });
}

#[test]
fn the_same_run_twice_gives_the_same_transcript() {
    let once = || {
        let records = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
        let out = records.clone();
        run(|net| async move {
            for _ in 0..5 {
                net.task("c").await;
            }
            *out.borrow_mut() = net.transcript.records();
        });
        records.take()
    };
    assert_eq!(once(), once());
}
