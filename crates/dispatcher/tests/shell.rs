//! The shell on connections in memory and a paused clock: what peers may send that is no good, and how much
//! of it is borne. The same code serves TCP.

mod common;

use cindercleat_dispatcher::shell::{Places, Shell};
use cindercleat_net::{Clock, Listener, Memory, TokioClock, Transport};
use cindercleat_protocol::v1::{self, HostCondition};
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

    /// Sends bytes as they are; true if the dispatcher ends the connection.
    async fn say(&self, bytes: &[u8]) -> bool {
        let mut stream = self.memory.connect("d").await.expect("it listens");
        // A connection that was closed meanwhile takes no more.
        let _ = stream.write_all(bytes).await;
        let mut rest = Vec::new();
        tokio::select! { biased;
            _ = stream.read_to_end(&mut rest) => true,
            () = self.clock.sleep_until(self.clock.now() + 5000.0) => false,
        }
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
fn bytes_that_are_no_http_2_end_their_own_connection() {
    run(|net| async move {
        let http = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        let garbage = [&preface[..], &[0xff; 64]].concat();
        for bytes in [&http[..], &[0xff; 100], &garbage, preface] {
            assert!(net.say(bytes).await, "{bytes:?}");
        }
        assert_eq!(net.shell.clients(), 0);
        assert_eq!(net.task("c").await.0, End::Fulfilled, "the rest is served on");
    });
}

#[test]
fn a_message_over_the_bound_is_refused_and_its_connection_serves_on() {
    run(|net| async move {
        let port = Port::new("c", "d", net.memory.clone(), net.clock, net.transcript.clone());
        let large = v1::Submit { prompt: vec![0; 1 << 17].into(), ..common::submit("draft") };
        let end = port.run(large, None, |_| {}).await;
        assert!(matches!(end, End::Rejected(_)), "{end:?}");
        assert_eq!(port.run(common::submit("draft"), None, |_| {}).await, End::Fulfilled);
        assert_eq!(net.shell.held().tasks, 0);
    });
}

#[test]
fn a_connection_that_never_ends_its_greeting_is_closed() {
    run(|net| async move {
        let mut stream = net.memory.connect("d").await.expect("it listens");
        for byte in b"PRI * HTTP/2.0\r\n" {
            let _ = stream.write_all(&[*byte]).await;
            net.clock.sleep_until(net.clock.now() + 100.0).await;
        }
        assert!(stream.write_all(b"x").await.is_err(), "nothing was asked in time: closed");
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
        net.hosts[1].die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut other = spec("w2", "writer", Does::Writes);
        other.token_ms = 1.0;
        let other = Host::new(other, net.memory.clone(), net.clock, net.transcript.clone(), 1);
        other.start("at-w1", true).await.expect("the name is free");
        let (end, tokens) = net.task("c").await;
        assert!(matches!(end, End::Bounced { .. }), "{end:?}");
        assert_eq!(tokens, 0);
        let sent = net.transcript.records().iter().filter(|r| &*r.seer == "w2").count();
        assert_eq!(sent, 0, "nothing goes to a host of another name");
    });
}

#[test]
fn a_host_that_sends_garbage_loses_its_link_and_the_dispatcher_serves_on() {
    run(|net| async move {
        net.hosts[1].die();
        net.clock.sleep_until(net.clock.now() + 1.0).await;
        let mut listener = net.memory.listen("at-w1").await.expect("the name is free");
        let bad = spawn_local(async move {
            while let Ok(mut stream) = listener.accept().await {
                let _ = stream.write_all(&[0xff; 100]).await;
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
