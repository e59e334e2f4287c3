//! One process of the program: its configuration, its runs one after another, signals, and its log.

use crate::audit::Life;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// What a process logs when a guard of its own stopped it from breaking an invariant.
const VIOLATION: &str = "invariant violated";
const SERVING: &str = "\"serving\"";

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    /// What its processes log.
    pub log: String,
    /// What fails its system calls and steps its wall clock, if anything does, and the words that tell it how.
    pub shim: Option<Shim>,
}

#[derive(Clone, Debug)]
pub struct Shim {
    pub library: PathBuf,
    pub variables: Vec<(String, String)>,
}

/// A process, and the run of it that is up, if one is.
pub struct Process {
    pub number: usize,
    folder: PathBuf,
    program: Program,
    child: Option<Child>,
    starts: u32,
    /// Where it listens, once it has said so.
    pub address: Option<SocketAddr>,
}

impl Process {
    pub fn new(number: usize, folder: &Path, program: Program) -> Process {
        let folder = folder.to_owned();
        Process {
            number,
            folder,
            program,
            child: None,
            starts: 0,
            address: None,
        }
    }

    /// The present run, or the last one.
    pub fn life(&self) -> Life {
        Life {
            process: self.number,
            start: self.starts,
        }
    }

    pub fn next_start(&self) -> u32 {
        self.starts + 1
    }

    fn configuration(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.number))
    }

    fn log(&self, start: u32) -> PathBuf {
        self.folder.join(format!("n{}-{start}.log", self.number))
    }

    /// # Errors
    /// The file cannot be written.
    pub fn configure(&self, text: &str) -> io::Result<()> {
        fs::write(self.configuration(), text)
    }

    /// Starts the next run.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        self.address = None;
        let mut command = Command::new(&self.program.path);
        command
            .args(["--log-form", "json", "--log", &self.program.log, "node"])
            .env("GW_CONFIG", self.configuration());
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(self.log(self.starts))?);
        if let Some(shim) = &self.program.shim {
            command
                .env("LD_PRELOAD", &shim.library)
                .envs(shim.variables.iter().cloned());
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Reads on in its log until it says where it listens.
    pub fn find_address(&mut self) -> Option<SocketAddr> {
        if self.address.is_none() {
            let log = File::open(self.log(self.starts)).ok()?;
            let mut lines = BufReader::new(log).lines().map_while(Result::ok);
            let line = lines.find(|line| line.contains(SERVING))?;
            let line: serde_json::Value = serde_json::from_str(&line).ok()?;
            self.address = line["fields"]["address"].as_str()?.parse().ok();
        }
        self.address
    }

    /// How the present run has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.address = None;
        Some(status)
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Sends the present run a signal, if there is one.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // It may be gone already; its end is seen by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Lines of its logs that tell of a violation, as it counts them itself.
    pub fn own_violations(&self) -> Vec<String> {
        let logs = (1..=self.starts).filter_map(|start| fs::read_to_string(self.log(start)).ok());
        let lines = |log: String| {
            let found = log
                .lines()
                .filter(|line| line.contains(VIOLATION))
                .map(str::to_owned);
            found.collect::<Vec<_>>()
        };
        logs.flat_map(lines).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Ours, by its own handle; it may be gone.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
