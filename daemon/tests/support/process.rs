//! Processes of a fleet, and faults injected by signals.

use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use super::{Fleet, unix_seconds};

/// A daemon process; killed when dropped.
pub struct Process {
    child: Child,
    stop_requested: Cell<bool>,
    /// Path of the log and its length before this start; `None` if the log is not read.
    log: Option<(PathBuf, u64)>,
}

/// Length of the log prefix that contains the start event.
const LOG_HEAD_BYTES: u64 = 1_024;
/// Logged once the process handles signals.
const START_EVENT: &str = "\"event\":\"start\"";

impl Process {
    /// Starts a process that appends to a log.
    pub fn start(config: &Path, log: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(log);
        let file = file.expect("the log is opened");
        let log_offset = file.metadata().expect("the log exists").len();
        let child = spawn(config, file.into());
        Self { child, stop_requested: Cell::new(false), log: Some((log.to_owned(), log_offset)) }
    }

    /// Starts a process whose log is not read.
    pub(super) fn start_with_unread_log(config: &Path) -> Self {
        let child = spawn(config, Stdio::piped());
        Self { child, stop_requested: Cell::new(false), log: None }
    }

    /// Whether the process handles signals; before that, a signal ends it without cleanup.
    pub fn has_started(&self) -> bool {
        let Some((path, log_offset)) = &self.log else { return true };
        let mut text = String::new();
        let mut file = File::open(path).expect("the log exists");
        file.seek(SeekFrom::Start(*log_offset)).expect("the offset is within the log");
        file.take(LOG_HEAD_BYTES).read_to_string(&mut text).expect("the log is UTF-8");
        text.contains(START_EVENT)
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        self.stop_requested.set(self.stop_requested.get() || name == "TERM");
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Length of the log in bytes; 0 if it is not read.
    pub fn log_bytes(&self) -> u64 {
        let Some((path, _)) = &self.log else { return 0 };
        path.metadata().map_or(0, |metadata| metadata.len())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether the process was sent `TERM`.
    pub fn was_stop_requested(&self) -> bool {
        self.stop_requested.get()
    }

    /// Waits for the process to exit; returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process is waited for").success()
    }
}

fn spawn(config: &Path, log: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_dockpassd"))
        .arg("--config")
        .arg(config)
        .stdout(log)
        .spawn()
        .expect("the daemon starts")
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A process that faults are injected into.
pub struct FaultyProcess {
    pub name: String,
    pub process: Option<Process>,
    /// When the process is restarted or resumed; `None` without a pending fault.
    pub recover_at: Option<Instant>,
    paused: bool,
}

impl FaultyProcess {
    /// Starts the process with the given name.
    pub fn start(fleet: &Fleet, name: String) -> Self {
        let process = Some(fleet.start(&name));
        Self { name, process, recover_at: None, paused: false }
    }

    /// Kills (0), terminates (1) or suspends (other values) the process until a time, unless a
    /// fault is pending.
    pub fn inject(&mut self, kind: u32, recover_at: Instant) {
        if self.recover_at.is_some() {
            return;
        }
        self.recover_at = Some(recover_at);
        println!("{:.3}: {}: injected fault {kind}", unix_seconds(), self.name);
        match (kind, &self.process) {
            (0, _) => self.process = None,
            (1, Some(process)) => process.signal("TERM"),
            (_, Some(process)) => {
                process.signal("STOP");
                self.paused = true;
            }
            (_, None) => {}
        }
    }

    /// Restarts or resumes the process once its recovery time has come.
    pub fn recover(&mut self, fleet: &Fleet, now: Instant) {
        if self.recover_at.is_none_or(|at| at > now) {
            return;
        }
        self.recover_at = None;
        if std::mem::take(&mut self.paused) {
            if let Some(process) = &self.process {
                process.signal("CONT");
            }
            return;
        }
        if let Some(mut process) = self.process.take()
            && process.is_running()
        {
            // A terminated process exits on its own; a running one needs no restart.
            if process.was_stop_requested() {
                process.wait();
            } else {
                self.process = Some(process);
                return;
            }
        }
        self.process = Some(fleet.start(&self.name));
    }
}
