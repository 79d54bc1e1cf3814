//! Keepers as real processes, each with a folder that lasts.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tempfile::TempDir;

use crate::support::{Answer, call, eventually};

/// Where keepers listen for operators, and for nodes and each other.
const PORTS: [u16; 2] = [7_100, 7_101];
/// Longest wait for one answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Keepers that begin a cluster.
const SEED_KEEPERS: usize = 3;

/// Where files are kept in memory. How long a sync takes on a busy host's disk is not what is measured.
const MEMORY_FOLDER: &str = "/dev/shm";

/// A folder for the keepers' files; what a loss of power leaves of them the test decides.
fn create_folder() -> TempDir {
    tempfile::tempdir_in(MEMORY_FOLDER).or_else(|_| tempfile::tempdir()).expect("a folder")
}

/// Tells the clusters of one test run apart.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Keepers of one cluster, each with a folder that lasts.
pub struct Keepers {
    folder: TempDir,
    network: String,
    tolerated_losses: usize,
    processes: Vec<Option<Child>>,
}

impl Keepers {
    pub fn start(count: usize, tolerated_losses: usize) -> Self {
        let folder = create_folder();
        // A network of its own: no port is shared with anything else on this host.
        let (pid, cluster) = (std::process::id(), CLUSTERS.fetch_add(1, Ordering::Relaxed));
        let network = format!("127.{}.{}", 1 + pid % 250, 1 + (pid / 250 + 97 * cluster) % 250);
        let processes = (0..count).map(|_| None).collect();
        let mut keepers = Self { folder, network, tolerated_losses, processes };
        for number in 0..count {
            fs::create_dir(keepers.data_folder(number)).expect("a folder");
            keepers.write_config(number, true);
        }
        (0..count).for_each(|number| keepers.start_keeper(number));
        eventually("all have caught up", || keepers.all_have_caught_up());
        // Every keeper has read its file by now.
        (0..count).for_each(|number| keepers.write_config(number, false));
        keepers
    }

    pub fn address(&self, number: usize, port: u16) -> SocketAddr {
        format!("{}.{}:{port}", self.network, number + 1).parse().expect("an address")
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    fn config_path(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("k{number}.ini"))
    }

    /// The settings of a keeper; `found` at the very first start alone.
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
        fs::write(self.config_path(number), text).expect("the file is written");
    }

    pub fn start_keeper(&mut self, number: usize) {
        let path = self.folder.path().join(format!("k{number}.log"));
        let mut log = OpenOptions::new().create(true).append(true).open(path).expect("a log");
        // A write beyond a limit of files is then refused, where it would end the process else.
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
        let mut lines = child.stdout.take().expect("it is piped");
        // The process writes no file but its journal, so that a limit meets that alone.
        std::thread::spawn(move || io::copy(&mut lines, &mut log));
        self.processes[number] = Some(child);
    }

    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Whether every keeper has caught up, and knows as many voters as there are to be.
    pub fn all_have_caught_up(&self) -> bool {
        (0..self.count()).all(|number| {
            let Some(status) = self.status(number) else { return false };
            let voters = status["voters"].as_array().map_or(0, Vec::len);
            status["blank"] == false && voters == self.tolerated_losses * 2 + 1
        })
    }

    /// Sends a configuration until it is acknowledged; returns who did so.
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
        acknowledged.expect("one did")
    }

    /// The answer of any keeper that is sure.
    pub fn read_configuration(&self) -> Option<String> {
        let answers = (0..self.count()).filter_map(|number| {
            call(self.address(number, PORTS[0]), "GET", "/configuration/fetch", "", ANSWER_TIMEOUT)
        });
        answers.into_iter().find(|answer| answer.status == 200).map(|answer| answer.body)
    }

    /// What a keeper tells of itself.
    pub fn status(&self, number: usize) -> Option<serde_json::Value> {
        let answer = self.call(number, "GET", "/v1/status", "")?;
        Some(serde_json::from_str(&answer.body).expect("JSON"))
    }

    /// One call of an operator, sent nowhere else.
    pub fn call(&self, number: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        call(self.address(number, PORTS[0]), method, path, body, ANSWER_TIMEOUT)
    }

    /// From now on a keeper's files can't grow: its disk takes no more bytes.
    pub fn fill_disk(&self, number: usize) {
        let journal = fs::metadata(self.data_folder(number).join("settings.journal"));
        self.limit_file_size(number, Some(journal.map_or(0, |journal| journal.len())));
    }

    /// A full disk has room again.
    pub fn free_disk(&self, number: usize) {
        self.limit_file_size(number, None);
    }

    fn limit_file_size(&self, number: usize, bytes: Option<u64>) {
        let process = self.processes[number].as_ref().expect("it runs");
        let limit = Rlimit { current: bytes, maximum: None };
        let pid = Pid::from_raw(process.id().cast_signed());
        prlimit(pid, Resource::Fsize, limit).expect("the limit of a process of our own");
    }

    /// Whether a keeper's process has not ended.
    pub fn is_running(&mut self, number: usize) -> bool {
        let process = self.processes[number].as_mut();
        process.is_some_and(|process| process.try_wait().expect("its state").is_none())
    }

    pub fn kill_all(&mut self) {
        let mut killed: Vec<Child> = self.processes.iter_mut().filter_map(Option::take).collect();
        // All at once, and only then their ends are waited for.
        killed.iter_mut().for_each(|child| child.kill().expect("it is killed"));
        killed.iter_mut().for_each(|child| {
            child.wait().expect("it ends");
        });
    }

    pub fn lose_disk(&self, number: usize) {
        fs::remove_dir_all(self.data_folder(number)).expect("the folder is removed");
        fs::create_dir(self.data_folder(number)).expect("a folder");
    }

    /// A write that was under way as power failed: its first bytes are missing, its last are there.
    pub fn tear_last_write(&self, number: usize) {
        let path = self.data_folder(number).join("settings.journal");
        let mut file = OpenOptions::new().append(true).open(path).expect("there is a journal");
        let torn = [[0; 24], [0xA5; 24]].concat();
        file.write_all(&torn).expect("it is written");
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        self.kill_all();
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("the logs of the keepers are in {}", self.folder.path().display());
        }
    }
}
