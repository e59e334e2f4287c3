//! What tests of fleets among processes share: three dispatchers that vote, and the program's commands.
#![allow(dead_code)]

use std::fs::OpenOptions;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_cindercleat"))
}

pub fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let out = program().args(args).output().expect("it starts");
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cindercleat-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).expect("the folder for passing files takes it");
    path
}

pub const SERVICE: &str = "zones z\nzone z\nlist-feed 127.0.0.1:9\n\
    profile p\n effect at-most-once\n quoted 1s\n patience 2s\nend\n\
    kind r\n does reads\n memory 1\nend\nkind w\n does writes\n memory 1\nend\n\
    limits\n release 500ms\n launches 4\n connect 250ms\n drain-grace 1s\n fall 4 within 1s\n \
    cold 0.3 ramp 4s\n stop-grace 100ms\nend\n";

/// Three dispatchers that vote, on an address that only this test has.
pub struct Fleet {
    pub at: Vec<String>,
    pub children: Vec<Child>,
    pub settings: Vec<PathBuf>,
}

/// A loopback address for one test of one run of the tests: another run beside it must not take its ports between
/// their being drawn and their being used. `engine` tells the tests of a run apart.
fn address_of_this_run(engine: &str) -> Ipv4Addr {
    let [_, _, third, fourth] = engine.parse::<Ipv4Addr>().expect("an address").octets();
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, third.wrapping_add(fourth))
}

impl Fleet {
    pub fn start(name: &str, engine: &str) -> Fleet {
        let folder = folder(name);
        let engine = address_of_this_run(engine);
        // Held until all are drawn, so that none is drawn twice.
        let taken: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((engine, 0)).expect("a port"))
            .collect();
        let address =
            |listener: &TcpListener| listener.local_addr().expect("it has one").to_string();
        let (at, listens): (Vec<String>, Vec<String>) = (
            taken[..3].iter().map(address).collect(),
            taken[3..].iter().map(address).collect(),
        );
        drop(taken);
        let voters: Vec<String> = at
            .iter()
            .enumerate()
            .map(|(n, at)| format!(" voter d{n} {at}\n"))
            .collect();
        let mut fleet = Fleet {
            at: at.clone(),
            children: Vec::new(),
            settings: Vec::new(),
        };
        for (n, at) in at.iter().enumerate() {
            let file = folder.join(format!("voter-{n}"));
            let text = format!(
                "name d{n}\nnumber {n} of 3\nlisten {}\n{SERVICE}fleet\n listen {at}\n file {}\n lease 600ms\n{}end\n",
                listens[n],
                file.display(),
                voters.concat()
            );
            let path = folder.join(format!("d{n}.conf"));
            std::fs::write(&path, text).expect("written");
            fleet.children.push(serve(&path));
            fleet.settings.push(path);
        }
        fleet
    }

    /// What all of them have logged.
    fn logs(&self) -> String {
        let read = |settings: &PathBuf| {
            let log = settings.with_extension("log");
            let text = std::fs::read_to_string(&log).unwrap_or_else(|problem| problem.to_string());
            format!("{}:\n{text}", log.display())
        };
        self.settings.iter().map(read).collect()
    }

    pub fn fleet(&self, args: &[&str]) -> (Option<i32>, String, String) {
        run(&[&["fleet", "--at", &self.at[0]], args].concat())
    }

    /// Asks until something is so, for ten seconds at most.
    pub fn until(&self, what: &str, is: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let (_, out, err) = self.fleet(&["status", "--json"]);
            let status: serde_json::Value = serde_json::from_str(&out).unwrap_or_default();
            if is(&status) {
                return status;
            }
            assert!(Instant::now() < end, "{what}: {out}{err}{}", self.logs());
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Ours, by its own handle; it may be gone.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a dispatcher; what it logs goes into a file beside its settings.
pub fn serve(settings: &Path) -> Child {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let mut command = program();
    command
        .arg("serve")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    command.stderr(log.expect("a file for its log"));
    command.spawn().expect("it starts")
}
