//! Starts clusters of keepers as real processes with persistent data folders.

// Each test binary uses only some of these items.
#![allow(dead_code)]

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use tempfile::TempDir;

use crate::support::{Answer, call, eventually};

/// Ports for operators, and for nodes and other keepers.
const PORTS: [u16; 2] = [7_100, 7_101];
/// Timeout of a call.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of keepers listed as seeds.
const SEED_KEEPERS: usize = 3;

/// Folder of a file system in memory, so that tests do not depend on the speed of a disk.
const MEMORY_FOLDER: &str = "/dev/shm";

/// Creates the folder of a cluster, in memory where possible.
fn create_folder() -> TempDir {
    tempfile::tempdir_in(MEMORY_FOLDER)
        .or_else(|_| tempfile::tempdir())
        .expect("the folder is created")
}

/// Number of clusters created by this process; gives each its own network.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Keepers of one cluster, with their processes and data folders.
pub struct Keepers {
    folder: TempDir,
    network: String,
    tolerated_losses: usize,
    processes: Vec<Option<Child>>,
}

impl Keepers {
    pub fn start(count: usize, tolerated_losses: usize) -> Self {
        let folder = create_folder();
        // Each cluster uses its own loopback network to avoid port collisions.
        let (pid, cluster) = (std::process::id(), CLUSTERS.fetch_add(1, Ordering::Relaxed));
        let network = format!("127.{}.{}", 1 + pid % 250, 1 + (pid / 250 + 97 * cluster) % 250);
        let processes = (0..count).map(|_| None).collect();
        let mut keepers = Self { folder, network, tolerated_losses, processes };
        for number in 0..count {
            fs::create_dir(keepers.data_folder(number)).expect("the folder is created");
            keepers.write_config(number, true);
        }
        (0..count).for_each(|number| keepers.start_keeper(number));
        eventually("all keepers have caught up", || keepers.all_have_caught_up());
        // Every keeper has read its file; a restart must not found a new cluster.
        (0..count).for_each(|number| keepers.write_config(number, false));
        keepers
    }

    pub fn address(&self, number: usize, port: u16) -> SocketAddr {
        format!("{}.{}:{port}", self.network, number + 1).parse().expect("the address is valid")
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    fn config_path(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("k{number}.ini"))
    }

    /// Writes the configuration file of a keeper; `found` is true only for the first start.
    fn write_config(&self, number: usize, found: bool) {
        let seeds: Vec<String> =
            (0..SEED_KEEPERS).map(|seed| self.address(seed, PORTS[0]).to_string()).collect();
        let text = format!(
            "[node]\nname = k{number}\nroles = keeper\nscheduling = room\nnode_port = {}\n\
             keepers = {}\n[keeper]\nlisten = {}\nnode_listen = {}\ndata = {}\n\
             found = {found}\ntolerated_losses = {}\n",
            PORTS[1],
            seeds.join(" "),
            self.address(number, PORTS[0]),
            self.address(number, PORTS[1]),
            self.data_folder(number).display(),
            self.tolerated_losses
        );
        fs::write(self.config_path(number), text).expect("the configuration file is written");
    }

    pub fn start_keeper(&mut self, number: usize) {
        let path = self.folder.path().join(format!("k{number}.log"));
        let mut log =
            OpenOptions::new().create(true).append(true).open(path).expect("the log is opened");
        // Ignoring SIGXFSZ makes writes beyond the file size limit fail instead of killing the
        // process.
        let child = Command::new("sh")
            .args([
                "-c",
                "trap '' XFSZ; exec \"$0\" --config \"$1\"",
                env!("CARGO_BIN_EXE_dockpassd"),
            ])
            .arg(self.config_path(number))
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("the daemon starts");
        let mut lines = child.stdout.take().expect("the output is piped");
        // The log is piped, so that the file size limit affects only the journal.
        std::thread::spawn(move || io::copy(&mut lines, &mut log));
        self.processes[number] = Some(child);
    }

    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Whether every keeper has caught up and the set of voters is complete.
    pub fn all_have_caught_up(&self) -> bool {
        (0..self.count()).all(|number| {
            let Some(status) = self.status(number) else { return false };
            let voters = status["voters"].as_array().map_or(0, Vec::len);
            status["blank"] == false && voters == self.tolerated_losses * 2 + 1
        })
    }

    /// Sends a configuration until a keeper acknowledges it; returns the number of that keeper.
    pub fn configure(&self, version: u64) -> usize {
        let body = serde_json::json!({"version": version, "routes": [], "services": [],
            "limits": {"max_body_bytes": 10_000}})
        .to_string();
        let mut acknowledged = None;
        eventually("the configuration is acknowledged", || {
            acknowledged = (0..self.count()).find(|number| {
                let to = self.address(*number, PORTS[0]);
                call(to, "POST", "/configuration/replace", &body, ANSWER_TIMEOUT)
                    .is_some_and(|answer| answer.status == 200)
            });
            acknowledged.is_some()
        });
        acknowledged.expect("a keeper acknowledged")
    }

    /// Reads the configuration from any keeper that can confirm it.
    pub fn read_configuration(&self) -> Option<String> {
        let answers = (0..self.count()).filter_map(|number| {
            call(self.address(number, PORTS[0]), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT)
        });
        answers.into_iter().find(|answer| answer.status == 200).map(|answer| answer.body)
    }

    /// Status document of a keeper.
    pub fn status(&self, number: usize) -> Option<serde_json::Value> {
        let answer = self.call(number, "GET", "/v1/status", "")?;
        Some(serde_json::from_str(&answer.body).expect("the status is JSON"))
    }

    /// Sends one operator call to a keeper without retries.
    pub fn call(&self, number: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        call(self.address(number, PORTS[0]), method, path, body, ANSWER_TIMEOUT)
    }

    /// Simulates a full disk: files of the keeper can no longer grow.
    pub fn fill_disk(&self, number: usize) {
        let journal = fs::metadata(self.data_folder(number).join("settings.journal"));
        self.limit_file_size(number, Some(journal.map_or(0, |journal| journal.len())));
    }

    /// Removes the limit set by `fill_disk`.
    pub fn free_disk(&self, number: usize) {
        self.limit_file_size(number, None);
    }

    fn limit_file_size(&self, number: usize, bytes: Option<u64>) {
        let process = self.processes[number].as_ref().expect("the keeper is running");
        let limit = Rlimit { current: bytes, maximum: None };
        let pid = Pid::from_raw(process.id().cast_signed());
        prlimit(pid, Resource::Fsize, limit).expect("the file size limit is set");
    }

    /// Whether the process of a keeper is running.
    pub fn is_running(&mut self, number: usize) -> bool {
        let process = self.processes[number].as_mut();
        process
            .is_some_and(|process| process.try_wait().expect("the process state is read").is_none())
    }

    /// Sends a signal to a keeper.
    pub fn signal(&self, number: usize, signal: Signal) {
        let process = self.processes[number].as_ref().expect("the keeper is running");
        let pid = Pid::from_raw(process.id().cast_signed()).expect("a process has an id");
        kill_process(pid, signal).expect("the signal is sent");
    }

    /// Kills a keeper and waits for its end.
    pub fn kill(&mut self, number: usize) {
        let mut process = self.processes[number].take().expect("the keeper is running");
        process.kill().expect("the process is killed");
        process.wait().expect("the process is waited for");
    }

    pub fn kill_all(&mut self) {
        let mut killed: Vec<Child> = self.processes.iter_mut().filter_map(Option::take).collect();
        // Kill all processes before waiting for any of them.
        killed.iter_mut().for_each(|child| child.kill().expect("the process is killed"));
        killed.iter_mut().for_each(|child| {
            child.wait().expect("the process is waited for");
        });
    }

    /// Simulates the loss of a stopped keeper's disk by emptying its data folder.
    pub fn lose_disk(&self, number: usize) {
        fs::remove_dir_all(self.data_folder(number)).expect("the folder is removed");
        fs::create_dir(self.data_folder(number)).expect("the folder is created");
    }

    /// Appends a torn write to the journal: its first bytes are missing, its last are present.
    pub fn tear_last_write(&self, number: usize) {
        let path = self.data_folder(number).join("settings.journal");
        let mut file = OpenOptions::new().append(true).open(path).expect("the journal exists");
        let torn = [[0; 24], [0xA5; 24]].concat();
        file.write_all(&torn).expect("the torn write is appended");
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        self.kill_all();
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("keeper logs: {}", self.folder.path().display());
        }
    }
}
