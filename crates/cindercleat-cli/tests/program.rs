//! The program as its users start it, on loopback ports of the system's choice.

use cindercleat::interface::RetrySafety;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cindercleat"));
    command
        .args(args)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    command
}

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = program(args).output().expect("it starts");
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    (status.code(), text(&stdout), text(&stderr))
}

/// A file of its own for each test.
fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("cindercleat-test-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the folder for passing files takes it");
    path.display().to_string()
}

#[test]
fn a_short_bad_day_keeps_the_rules() {
    let report = file("report.json", "");
    let (code, out, err) = run(&["day", "days/short-day.conf", "--report", &report]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert!(out.contains("rules: kept"), "{out}");
    let report: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&report).expect("it is there"))
            .expect("it is JSON");
    // A day that met nothing proves nothing.
    let case = |name: &str| report["cases"][name].as_u64().unwrap_or(0);
    for (name, least) in [
        ("tries", 800),
        ("at_most_once_runs", 200),
        ("drains", 4),
        ("cold_launches", 20),
    ] {
        assert!(case(name) >= least, "{name}: {} of {least}", case(name));
    }
    assert!(
        report["payoff_in_time"].as_f64().is_some_and(|p| p > 0.7),
        "{report}"
    );
}

#[test]
fn a_first_look_streams_a_request() {
    let (code, out, err) = run(&["try"]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert!(
        out.contains("the class of this year") && out.contains("Succeeded"),
        "{out}"
    );
}

#[test]
fn bad_input_ends_with_2_and_names_the_place() {
    let bad = file("bad.conf", "name d\nzones a\nprofile p\n");
    for args in [["check", &bad], ["serve", &bad], ["day", &bad]] {
        let (code, out, err) = run(&args);
        assert_eq!(code, Some(2), "{args:?}: {err}");
        assert!(err.contains(&format!("{bad}:3: expected 'end'")), "{err}");
        assert_eq!(out, "");
    }
    assert_eq!(run(&["check", "/nowhere"]).0, Some(2));
    assert_eq!(run(&["day", "--from-bench", &bad]).0, Some(2));
    assert_eq!(run(&["dance"]).0, Some(2));
}

#[test]
fn a_day_drawn_by_the_bench_is_translated() {
    let trouble = |kind: &str| {
        format!(
            r#"{{"kind":"{kind}","at":1000000,"len":2000000,"size":2.0,"extra":0.1,"on":[0,1],"which":0}}"#
        )
    };
    let kinds =
        "crash mass_restart slow neighbour ageing pauses fast_errors flush report_late throttle burst \
                 hot_key heavy_tail retry_abuse handshake_slow balancer_roll";
    let troubles: Vec<String> = kinds.split_whitespace().map(trouble).collect();
    let day = |troubles: &str| {
        format!(
            r#"{{"length":40000000,"site":"x","fam":{{"roles":["read","write"]}},"balancers":[1,2],
                "servers":[{{"kind":0}},{{"kind":1}},{{"kind":1}}],"troubles":[{troubles}]}}"#
        )
    };
    let read = |text: &str| cindercleat_cli::bench_day::read("day.json", text);
    let read_all = read(&day(&troubles.join(","))).expect("all kinds are known");
    assert!(read_all.faults.len() >= 16);
    assert!(read_all
        .faults
        .iter()
        .all(|f| f.trouble.is_service_wide() || !f.whom.is_empty()));
    let unknown = read(&day(&trouble("plague"))).expect_err("it is not known");
    assert!(unknown.contains("plague"), "{unknown}");
}

#[test]
fn serve_starts_says_where_and_stops_in_order() {
    let conf = file(
        "serve.conf",
        "name d\nnumber 0 of 1\nlisten 127.0.0.1:0\nlist-feed 127.0.0.1:1\nzones z\nzone z\n\
         profile p\n effect at-most-once\n quoted 1s\n patience 2s\nend\n\
         kind r\n does reads\n memory 1\nend\nkind w\n does writes\n memory 1\nend\n\
         limits\n release 500ms\n launches 4\n connect 250ms\n drain-grace 1s\n fall 4 within 1s\n \
         cold 0.3 ramp 4s\n stop-grace 1s\nend\n",
    );
    assert_eq!(run(&["check", &conf]).0, Some(0));
    let mut child = program(&["serve", &conf, "--log-form", "json"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("it logs"))
        .lines()
        .map_while(Result::ok);
    let serving = lines
        .find(|line| line.contains("\"serving\""))
        .expect("it says that it serves");
    let line: serde_json::Value = serde_json::from_str(&serving).expect("a log line is JSON");
    assert!(
        line["fields"]["address"]
            .as_str()
            .is_some_and(|a| a.starts_with("127.0.0.1:")),
        "{line}"
    );
    let id = child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .expect("kill is there")
        .success());
    assert!(lines.any(|line| line.contains("\"stopped\"")));
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}

#[test]
fn dispatchers_killed_with_everything_out_leave_nothing_run_twice() {
    let base = include_str!("../src/base.conf");
    let script = base
        .replace("length 40s", "length 6s")
        .replace("dispatchers 1", "dispatchers 2");
    let faults =
        "at 1s kill 0 for 300ms\nat 2s kill 1 for 300ms\nat 3s kill 0,1 for 500ms\nat 4500ms kill 0 for 1s\n";
    let (report, script) = (
        file("kills.json", ""),
        file("kills.conf", &format!("{script}\n{faults}")),
    );
    let (code, out, err) = run(&["day", &script, "--report", &report]);
    assert_eq!(code, Some(0), "{out}{err}");
    let report: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&report).expect("it is there"))
            .expect("it is JSON");
    let sum = |name: &str| -> u64 {
        let request_classes = report["profiles"].as_object().expect("profiles");
        request_classes
            .values()
            .filter_map(|p| p[name].as_u64())
            .sum()
    };
    assert!(sum("cut") >= 10, "streams and reads were out: {out}");
    assert!(sum("tries") > sum("tasks"), "clients came again: {out}");
}

#[test]
fn seeds_give_the_same_digest_in_another_process_and_a_drawn_day_is_a_script() {
    let digest = |jobs: &str| {
        let (code, out, err) = run(&["seeds", "--from", "1", "--count", "30", "--jobs", jobs]);
        assert_eq!(code, Some(0), "{out}{err}");
        out.lines()
            .find(|l| l.starts_with("digest "))
            .expect("a digest")
            .to_owned()
    };
    assert_eq!(digest("1"), digest("3"));
    assert_eq!(run(&["seeds", "--profile", "none"]).0, Some(2));
    // The story of a seed, and what it takes from a script.
    let (code, out, _) = run(&["seed", "3", "--trace"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("submit") && out.contains("Succeeded") && out.contains("rules: kept"));
    let script = cindercleat_cli::script::write(&cindercleat_faults::draw::day(
        3,
        &cindercleat_faults::draw::SHAPES[0],
    ));
    let script = file("drawn.conf", &script);
    let (code, out, err) = run(&["day", &script, "--virtual"]);
    assert_eq!(code, Some(0), "{out}{err}");
}

/// A configuration of the platform; engines and discovery are where nobody listens.
fn configuration(discovery: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","peers":[],
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
        "known":{{"revision":4,"complete":true,"members":[
          {{"id":"s-1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","cell":0,"phase":"up","size":1.0,
            "up_since_ms":0}}]}},
        "settings":{{"me":0,"replicasOfMe":1,"zone":0,"zones":["a","b"],"tick":4000,"discovery":"automatic",
          "shapes":["r","w"],"orgs":[],"stats":{{"columns":["cpu","waiting"]}},
          "familyInfo":{{"kindRole":["read","write"],"tokensByKind":[1000,2000],"release":500000,"resume":true,
            "aimUsPer1000PromptTokens":[40000.0,50000.5],"tokenAim":[60000.0,80000.0]}},
          "limits":{{"cancel":true,"connIdle":15000000,"connectTimeout":250000,"maxAttempts":4,"mostHeld":20000,
            "probes":true,"retryAfter":false}},
          "rules":{{"drainGrace":2000000,"graceToAnswer":16000,"fallMultiple":4.0,"overloadFor":3000000,
            "startCapacity":0.32,"rampTime":14000000}},
          "services":[
            {{"name":"draft","effect":"safe","aim":1000000,"giveUp":4000000,"importance":2.0,"lateShare":0.3,
              "stream":true}},
            {{"name":"send","effect":"unsafe","aim":2500000,"giveUp":10000000,"stream":true}}]}}}}"#
    )
}

#[test]
fn a_configuration_is_read_as_the_wire_reads_its_settings() {
    let read = |text: &str| cindercleat_cli::node::read("c.json", text);
    let conf = read(&configuration("127.0.0.1:1")).unwrap_or_else(|problem| panic!("{problem}"));
    let policy = &conf.program.policy;
    assert_eq!(conf.program.request_classes, ["draft", "send"]);
    assert_eq!(conf.program.kinds, ["r", "w"]);
    assert_eq!(
        (
            policy.kv_state_timeout,
            policy.connect_timeout,
            policy.max_attempts
        ),
        (500.0, 250.0, 4)
    );
    assert_eq!(
        policy.request_classes[1].latency_objective_per_1000_tokens,
        50.0005
    );
    assert_eq!(
        (
            policy.request_classes[0].latency_objective,
            policy.request_classes[0].priority_weight
        ),
        (1000.0, 2.0)
    );
    assert!(policy.may_cancel && policy.may_health_check && !policy.clients_honor_retry_after);
    assert_eq!(conf.known.map(|list| list.version), Some(4));
    for (from, to, place) in [
        ("\"release\":500000,", "", "familyInfo.release"),
        ("\"effect\":\"safe\"", "\"effect\":\"odd\"", "\"odd\""),
        ("\"sockets\":256", "\"sockets\":20", "limits.sockets"),
        ("127.0.0.1:0", "nowhere", "nowhere"),
        ("\"revision\":4", "\"revision\":\"x\"", "known"),
        ("{", "", "line 1"),
    ] {
        let text = configuration("127.0.0.1:1").replacen(from, to, 1);
        let problem = read(&text).err().map(|p| p.to_string()).expect(place);
        assert!(
            problem.starts_with("c.json: ") && problem.contains(place),
            "{place}: {problem}"
        );
    }
}

/// Settings of other customers: they serve, or are refused with the reason.
#[test]
fn odd_settings_are_read_or_refused_by_name() {
    let read =
        |text: &str| cindercleat_cli::node::read("c.json", text).map(|conf| conf.program.policy);
    let with = |from: &str, to: &str| {
        let text = configuration("127.0.0.1:1");
        assert!(text.contains(from), "{from}");
        read(&text.replacen(from, to, 1))
    };
    let policy = with("\"giveUp\":4000000,", "").expect("a class without a deadline");
    assert_eq!(
        (
            policy.request_classes[0].latency_objective,
            policy.request_classes[0].time_to_deadline
        ),
        (1000.0, f64::INFINITY)
    );
    let policy =
        with("\"aim\":1000000,", "").expect("a class without a target goes by its deadline");
    assert_eq!(policy.request_classes[0].latency_objective, 4000.0);
    let policy =
        with("\"importance\":2.0", "\"importance\":0").expect("a class that is worth nothing");
    assert_eq!(policy.request_classes[0].priority_weight, 0.0);
    let keyed = "\"effect\":\"keyed\",\"keyScope\":\"cell\",\"dedupWindow\":1000";
    let policy = with("\"effect\":\"safe\"", keyed).expect("a window of a millisecond");
    assert!(
        matches!(
            policy.request_classes[0].retry_safety,
            RetrySafety::IdempotencyKey { window: 1.0, .. }
        ),
        "{policy:?}"
    );
    let policy =
        with("\"rampTime\":14000000", "\"rampTime\":0").expect("engines that are never cold");
    assert!(policy.slow_start_window > 0.0);
    let policy =
        with("\"release\":500000", "\"release\":2000").expect("states that are let go at once");
    assert_eq!(policy.kv_state_timeout, 2.0);
    for (from, to, place) in [
        ("\"release\":500000", "\"release\":0", "familyInfo.release"),
        (
            "\"connectTimeout\":250000",
            "\"connectTimeout\":-1",
            "limits.connectTimeout",
        ),
        (
            "\"overloadFor\":3000000",
            "\"overloadFor\":0",
            "rules.overloadFor",
        ),
        (
            "[\"read\",\"write\"]",
            "[\"read\",\"read\"]",
            "familyInfo.kindRole",
        ),
        (
            "\"drainGrace\":2000000",
            "\"drainGrace\":-5",
            "rules.drainGrace",
        ),
        (
            "\"aim\":1000000,\"giveUp\":4000000",
            "\"aim\":0,\"giveUp\":0",
            "services.0.giveUp",
        ),
    ] {
        let problem = with(from, to)
            .err()
            .map(|problem| problem.to_string())
            .expect(place);
        assert!(
            problem.starts_with("c.json: ") && problem.contains(place),
            "{place}: {problem}"
        );
    }
}

/// Processes with a configuration, each on an address of its own, and the discovery that they all ask.
mod a_fleet_that_restarts {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    use std::time::{Duration, Instant};

    const PROCESSES: usize = 20;

    /// Answers every call with a list of one engine of each kind; watches are held open.
    fn discovery() -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        std::thread::spawn(move || {
            for io in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || answer(io));
            }
        });
        address
    }

    fn answer(mut io: TcpStream) {
        let mut head = Vec::new();
        let mut byte = [0];
        while io.read_exact(&mut byte).is_ok() {
            head.push(byte[0]);
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            if String::from_utf8_lossy(&head).contains("after=") {
                // The watch: nothing changes. The process closes it, or is killed.
                let _ = io.read(&mut byte);
                return;
            }
            head.clear();
            let line = |id: &str, kind: &str| {
                format!(
                    "{{\"id\":\"{id}\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"a\",\"flavor\":\"{kind}\",\
                     \"cell\":0,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0}}"
                )
            };
            let members = [line("s-1", "r"), line("s-2", "w")].join(",");
            let text = format!("{{\"revision\":5,\"complete\":true,\"members\":[{members}]}}");
            let _ = write!(
                io,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
        }
    }

    struct Node(std::process::Child);

    impl Drop for Node {
        fn drop(&mut self) {
            // Ours, by its own handle; it may be gone.
            let _ = self.0.kill();
            let _ = self.0.wait();
        }
    }

    /// Starts a process that has to ask for its list; gives it and where it listens, once it does.
    fn start(conf: &str) -> (Node, String) {
        let child = program(&["node", "--log-form", "json"])
            .env("GW_CONFIG", conf)
            .stderr(Stdio::piped())
            .spawn();
        let mut child = child.expect("it starts");
        let mut lines = BufReader::new(child.stderr.take().expect("it logs"))
            .lines()
            .map_while(Result::ok);
        let line = lines
            .find(|line| line.contains("\"serving\""))
            .expect("it says that it serves");
        // What it logs further is taken off its hands.
        std::thread::spawn(move || lines.for_each(drop));
        let line: serde_json::Value = serde_json::from_str(&line).expect("a log line is JSON");
        (
            Node(child),
            line["fields"]["address"]
                .as_str()
                .expect("an address")
                .to_owned(),
        )
    }

    fn is_ready(address: &str) -> bool {
        let Ok(mut io) = TcpStream::connect(address) else {
            return false;
        };
        let asked = io.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        asked.is_ok()
            && io.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200 ")
    }

    /// Starts all at once; gives them with how long each took to be ready, until a limit.
    fn start_all(conf: &str) -> Vec<(Node, Duration)> {
        let begin = Instant::now();
        let starts: Vec<_> = (0..PROCESSES)
            .map(|_| {
                let conf = conf.to_owned();
                std::thread::spawn(move || {
                    let (node, address) = start(&conf);
                    while !is_ready(&address) && begin.elapsed() < Duration::from_secs(30) {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    (node, begin.elapsed())
                })
            })
            .collect();
        starts
            .into_iter()
            .map(|start| start.join().expect("it starts"))
            .collect()
    }

    #[test]
    fn nine_in_ten_are_ready_in_ten_seconds_when_all_were_killed_at_once() {
        let text = configuration(&discovery());
        // Without a list from before: each has to ask.
        let known = text.find("\"known\":").expect("it is there");
        let settings = text.find("\"settings\":").expect("it is there");
        let text = format!("{}{}", &text[..known], &text[settings..]);
        let conf = file("restarts.json", &text);
        for round in ["first start", "restart"] {
            let nodes = start_all(&conf);
            let ready = nodes
                .iter()
                .filter(|(_, took)| *took < Duration::from_secs(10))
                .count();
            let took: Vec<_> = nodes.iter().map(|(_, took)| took.as_millis()).collect();
            assert!(ready * 10 >= PROCESSES * 9, "{round}: {took:?}");
            // Dropped here: killed, all of them.
        }
    }
}

#[test]
fn node_without_a_good_configuration_ends_with_2_and_says_where() {
    let bad = file("bad.json", "{");
    for path in [None, Some("/nowhere"), Some(bad.as_str())] {
        let mut command = program(&["node"]);
        command.env_remove("GW_CONFIG");
        if let Some(path) = path {
            command.env("GW_CONFIG", path);
        }
        let out = command.output().expect("it starts");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(path.unwrap_or("GW_CONFIG")), "{said}");
    }
}

#[test]
fn node_serves_reads_its_configuration_again_and_stops_in_order() {
    use std::io::{Read, Write};
    let conf = file("node.json", &configuration("127.0.0.1:1"));
    let mut child = program(&["node", "--log-form", "json"])
        .env("GW_CONFIG", &conf)
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("it logs"))
        .lines()
        .map_while(Result::ok);
    let mut until = |what: &str| {
        lines
            .find(|line| line.contains(what))
            .unwrap_or_else(|| panic!("no {what}"))
    };
    let line: serde_json::Value =
        serde_json::from_str(&until("\"serving\"")).expect("a log line is JSON");
    let address = line["fields"]["address"]
        .as_str()
        .expect("an address")
        .to_owned();
    let ask = |request: &str| {
        let mut io = std::net::TcpStream::connect(&address).expect("it listens");
        io.write_all(request.as_bytes()).expect("written");
        let mut answer = String::new();
        io.read_to_string(&mut answer).expect("it is closed");
        answer
    };
    let ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert!(ask(ready).starts_with("HTTP/1.1 200 "));
    assert!(ask("noise\r\n\r\n").starts_with("HTTP/1.1 400 "));
    let id = child.id().to_string();
    let signal = |name: &str| {
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .expect("kill")
            .success())
    };
    std::fs::write(&conf, "{").expect("written");
    signal("-HUP");
    until("the old configuration is kept");
    std::fs::write(&conf, configuration("127.0.0.1:2")).expect("written");
    signal("-HUP");
    until("discovery moved");
    assert!(ask(ready).starts_with("HTTP/1.1 200 "));
    signal("-TERM");
    until("\"stopped\"");
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}
