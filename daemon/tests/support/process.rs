//! Processes of a fleet, and what strikes them from outside.

use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use super::{Fleet, unix_seconds};

/// One process; killed when dropped.
pub struct Process {
    child: Child,
    stop_requested: Cell<bool>,
    /// Its log and how much of it is of earlier lives; none where nobody reads the log.
    log: Option<(PathBuf, u64)>,
}

/// How much of a log holds the line of the start.
const LOG_HEAD_BYTES: u64 = 1_024;
/// What a process writes once it listens for signals.
const START_EVENT: &str = "\"event\":\"start\"";

impl Process {
    /// Starts a process with this file, which adds to a log.
    pub(super) fn start(config: &Path, log: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(log);
        let file = file.expect("a file for the log");
        let log_offset = file.metadata().expect("it is there").len();
        let child = spawn(config, file.into());
        Self { child, stop_requested: Cell::new(false), log: Some((log.to_owned(), log_offset)) }
    }

    /// Starts a process whose log nobody reads.
    pub(super) fn start_with_unread_log(config: &Path) -> Self {
        let child = spawn(config, Stdio::piped());
        Self { child, stop_requested: Cell::new(false), log: None }
    }

    /// Whether it has said that it begins; a signal before that ends it like any program.
    pub fn has_started(&self) -> bool {
        let Some((path, log_offset)) = &self.log else { return true };
        let mut text = String::new();
        let mut file = File::open(path).expect("the log is there");
        file.seek(SeekFrom::Start(*log_offset)).expect("it is as long");
        file.take(LOG_HEAD_BYTES).read_to_string(&mut text).expect("it is text");
        text.contains(START_EVENT)
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        self.stop_requested.set(self.stop_requested.get() || name == "TERM");
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether it was told to stop by plan.
    pub fn was_stop_requested(&self) -> bool {
        self.stop_requested.get()
    }

    /// Waits for its end; returns whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("it ends").success()
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
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A process that faults strike, or that is away for a moment.
pub struct FaultyProcess {
    pub name: String,
    pub process: Option<Process>,
    pub recover_at: Option<Instant>,
    paused: bool,
}

impl FaultyProcess {
    /// Starts the process of a name.
    pub fn start(fleet: &Fleet, name: String) -> Self {
        let process = Some(fleet.start(&name));
        Self { name, process, recover_at: None, paused: false }
    }

    /// Kills it, stops it by plan or pauses it until a time, unless it is away.
    pub fn inject(&mut self, kind: u32, recover_at: Instant) {
        if self.recover_at.is_some() {
            return;
        }
        self.recover_at = Some(recover_at);
        println!("{:.3}: {} struck: {kind}", unix_seconds(), self.name);
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

    /// Brings it back where its time has come.
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
            // It was told to stop, or never struck: it ends in its own time.
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
