//! One process of the program: its configuration, its successive runs, the signals it gets, and its logs.

use crate::audit::ProcessRun;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The text in the log line of a process that detects an invariant violation itself.
const VIOLATION_TEXT: &str = "invariant violated";
/// The text that marks the log line with the address on which a process listens.
const SERVING_TEXT: &str = "\"serving\"";

/// The field of `/proc/PID/status` with the memory of a process that is not backed by files.
const MEMORY_FIELD: &str = "RssAnon:";

/// The command that starts a process.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// The log level or directives, passed as `--log`.
    pub log: String,
    /// The preloaded library that makes system calls fail and steps the wall clock; `None` preloads nothing.
    pub shim: Option<Shim>,
}

/// A library that is preloaded into a process.
#[derive(Clone, Debug)]
pub struct Shim {
    /// The path of the library, passed in `LD_PRELOAD`.
    pub library: PathBuf,
    /// The environment variables that configure the library.
    pub variables: Vec<(String, String)>,
}

/// A process of the soak, which may be started several times. At most one of its runs is up at a time.
pub struct Process {
    /// The number of the process in the soak, counted from 0.
    pub number: usize,
    directory: PathBuf,
    program: Program,
    child: Option<Child>,
    /// How many runs have been started.
    starts: u32,
    /// The address that the present run listens on, once its log names it.
    pub address: Option<SocketAddr>,
}

impl Process {
    /// Creates a process that is not started; its configuration and logs go into `directory`.
    pub fn new(number: usize, directory: &Path, program: Program) -> Process {
        let directory = directory.to_owned();
        Process {
            number,
            directory,
            program,
            child: None,
            starts: 0,
            address: None,
        }
    }

    /// The present run, or the last one if none is up.
    pub fn current_run(&self) -> ProcessRun {
        ProcessRun {
            process: self.number,
            start: self.starts,
        }
    }

    /// The number of the next run; the first run has 1.
    pub fn next_start(&self) -> u32 {
        self.starts + 1
    }

    fn configuration_path(&self) -> PathBuf {
        self.directory.join(format!("n{}.json", self.number))
    }

    fn log_path(&self, start: u32) -> PathBuf {
        self.directory.join(format!("n{}-{start}.log", self.number))
    }

    /// Writes the configuration file that the next run, or the next reload, reads.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn configure(&self, text: &str) -> io::Result<()> {
        fs::write(self.configuration_path(), text)
    }

    /// Starts the next run.
    ///
    /// # Errors
    /// Returns an error if the log file cannot be created or the program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        self.address = None;
        let mut command = Command::new(&self.program.path);
        command
            .args(["--log-form", "json", "--log", &self.program.log, "node"])
            .env("GW_CONFIG", self.configuration_path());
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(self.log_path(self.starts))?);
        if let Some(shim) = &self.program.shim {
            command
                .env("LD_PRELOAD", &shim.library)
                .envs(shim.variables.iter().cloned());
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// The address that the present run listens on; `None` until its log names it.
    pub fn find_address(&mut self) -> Option<SocketAddr> {
        if self.address.is_none() {
            let log = File::open(self.log_path(self.starts)).ok()?;
            let mut lines = BufReader::new(log).lines().map_while(Result::ok);
            let line = lines.find(|line| line.contains(SERVING_TEXT))?;
            let line: serde_json::Value = serde_json::from_str(&line).ok()?;
            self.address = line["fields"]["address"].as_str()?.parse().ok();
        }
        self.address
    }

    /// The exit status of the present run once it has ended. Each end is returned once; further calls return `None`.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.address = None;
        Some(status)
    }

    /// Whether a run was started whose end [`Process::ended`] has not returned yet.
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the present run; does nothing if none is up.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // An error means that the run has ended already, which `ended` reports.
            let _ = kill_process(pid, signal);
        }
    }

    /// The memory that the present run uses by itself, without mapped files, in KiB; `None` if none is up.
    pub fn memory_kib(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(MEMORY_FIELD))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// The log lines of all runs that report an invariant violation.
    pub fn own_violations(&self) -> Vec<String> {
        let logs =
            (1..=self.starts).filter_map(|start| fs::read_to_string(self.log_path(start)).ok());
        let lines = |log: String| {
            let found = log
                .lines()
                .filter(|line| line.contains(VIOLATION_TEXT))
                .map(str::to_owned);
            found.collect::<Vec<_>>()
        };
        logs.flat_map(lines).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Errors are ignored, as the run may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
