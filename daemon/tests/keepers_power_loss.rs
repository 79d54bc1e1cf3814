//! Keepers as real processes: right after a configuration was acknowledged as many as the cluster
//! bears lose their disks, and in the same moment all are killed. A loss of power is made of a kill and
//! of what it leaves of unsynced writes, at the end of each journal.

// Entries, agents and targets take no part here.
#[allow(unused_imports)]
mod room_support;

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use room_support::{call, eventually};
use tempfile::TempDir;

/// Where keepers listen for operators, and for nodes and each other.
const PORTS: [u16; 2] = [7_100, 7_101];
/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_secs(1);
/// The shortest time that users allow from the return of the machines to service.
const RECOVERY: Duration = Duration::from_secs(12);
/// Keepers that begin a cluster.
const FOUNDERS: usize = 3;

/// Where files are kept in memory. How long a sync takes on a busy host's disk is not what is measured.
const IN_MEMORY: &str = "/dev/shm";

/// A folder for the keepers' files; what a loss of power leaves of them the test decides.
fn folder() -> TempDir {
    tempfile::tempdir_in(IN_MEMORY).or_else(|_| tempfile::tempdir()).expect("a folder")
}

/// Keepers of one cluster, each with a folder that lasts.
struct Keepers {
    folder: TempDir,
    network: String,
    tolerated: usize,
    processes: Vec<Option<Child>>,
}

impl Keepers {
    fn start(count: usize, tolerated: usize) -> Self {
        let folder = folder();
        // A network of its own: no port is shared with anything else on this host.
        let pid = std::process::id();
        let network =
            format!("127.{}.{}", 1 + pid % 250, 1 + (pid / 250 + 97 * count as u32) % 250);
        let processes = (0..count).map(|_| None).collect();
        let mut keepers = Self { folder, network, tolerated, processes };
        for number in 0..count {
            fs::create_dir(keepers.data(number)).expect("a folder");
            keepers.write_file(number, true);
        }
        (0..count).for_each(|number| keepers.start_one(number));
        eventually("all have caught up", || keepers.all_have_caught_up());
        // Every keeper has read its file by now.
        (0..count).for_each(|number| keepers.write_file(number, false));
        keepers
    }

    fn address(&self, number: usize, port: u16) -> SocketAddr {
        format!("{}.{}:{port}", self.network, number + 1).parse().expect("an address")
    }

    fn data(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    fn file(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("k{number}.ini"))
    }

    /// The settings of a keeper; `found` at the very first start alone.
    fn write_file(&self, number: usize, found: bool) {
        let seeds: Vec<String> =
            (0..FOUNDERS).map(|seed| self.address(seed, PORTS[0]).to_string()).collect();
        let text = format!(
            "[node]\nname = k{number}\nroles = keeper\nscheduling = room\nnode_port = {}\n\
             keepers = {}\n[keeper]\nlisten = {}\nnode_listen = {}\ndata = {}\n\
             found = {found}\ntolerated_losses = {}\n",
            PORTS[1],
            seeds.join(" "),
            self.address(number, PORTS[0]),
            self.address(number, PORTS[1]),
            self.data(number).display(),
            self.tolerated
        );
        fs::write(self.file(number), text).expect("the file is written");
    }

    fn start_one(&mut self, number: usize) {
        let path = self.folder.path().join(format!("k{number}.log"));
        let log = OpenOptions::new().create(true).append(true).open(path).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_dockpassd"))
            .arg("--config")
            .arg(self.file(number))
            .stdout(Stdio::from(log))
            .spawn();
        self.processes[number] = Some(child.expect("the daemon starts"));
    }

    fn count(&self) -> usize {
        self.processes.len()
    }

    /// Whether every keeper has caught up, and knows as many voters as there are to be.
    fn all_have_caught_up(&self) -> bool {
        (0..self.count()).all(|number| {
            let answer = call(self.address(number, PORTS[0]), "GET", "/v1/status", "", ANSWER);
            let Some(answer) = answer else { return false };
            let status: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
            let voters = status["voters"].as_array().map_or(0, Vec::len);
            status["blank"] == false && voters == self.tolerated * 2 + 1
        })
    }

    /// Sends a configuration until it is acknowledged; returns who did so.
    fn configure(&self, version: u64) -> usize {
        let body = serde_json::json!({"version": version, "routes": [], "services": [],
            "limits": {"max_body_bytes": 10_000}})
        .to_string();
        let mut acknowledged = None;
        eventually("the configuration is acknowledged", || {
            acknowledged = (0..self.count()).find(|number| {
                let to = self.address(*number, PORTS[0]);
                call(to, "POST", "/configuration/replace", &body, ANSWER)
                    .is_some_and(|answer| answer.status == 200)
            });
            acknowledged.is_some()
        });
        acknowledged.expect("one did")
    }

    /// The answer of any keeper that is sure.
    fn read(&self) -> Option<String> {
        let answers = (0..self.count()).filter_map(|number| {
            call(self.address(number, PORTS[0]), "GET", "/configuration/fetch", "", ANSWER)
        });
        answers.into_iter().find(|answer| answer.status == 200).map(|answer| answer.body)
    }

    fn kill_all(&mut self) {
        let mut killed: Vec<Child> = self.processes.iter_mut().filter_map(Option::take).collect();
        // All at once, and only then their ends are waited for.
        killed.iter_mut().for_each(|child| child.kill().expect("it is killed"));
        killed.iter_mut().for_each(|child| {
            child.wait().expect("it ends");
        });
    }

    fn lose_disk(&self, number: usize) {
        fs::remove_dir_all(self.data(number)).expect("the folder is removed");
        fs::create_dir(self.data(number)).expect("a folder");
    }

    /// A write that was under way as power failed: its first bytes are missing, its last are there.
    fn tear_a_write(&self, number: usize) {
        let path = self.data(number).join("settings.journal");
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

/// Rounds of: a change, its acknowledgement, disks lost and all killed, all back in another order.
fn run(count: usize, tolerated: usize, rounds: usize) {
    let mut keepers = Keepers::start(count, tolerated);
    for round in 0..rounds {
        eventually("all have caught up", || keepers.all_have_caught_up());
        let version = 10 + round as u64;
        let acknowledged = keepers.configure(version);
        keepers.kill_all();
        // The one that acknowledged loses its disk first, then others in another order each round.
        let next = (0..count).map(|step| (acknowledged + step * (round + 1)) % count);
        let mut wiped: Vec<usize> = Vec::new();
        next.for_each(|number| {
            if wiped.len() < tolerated && !wiped.contains(&number) {
                wiped.push(number);
            }
        });
        for number in 0..count {
            match wiped.contains(&number) {
                true => keepers.lose_disk(number),
                false => keepers.tear_a_write(number),
            }
        }
        for step in 0..count {
            keepers.start_one((acknowledged + round + step) % count);
        }
        let back = Instant::now();
        let mut read = None;
        eventually("the configuration is read back", || {
            read = keepers.read();
            read.is_some()
        });
        let took = back.elapsed();
        let read = read.expect("it was read");
        assert!(read.contains(&format!("\"version\":{version}")), "round {round}: {read}");
        assert!(took < RECOVERY, "round {round}: read after {took:?}");
        println!("{count} keepers, {wiped:?} lost their disks: read after {took:?}");
    }
}

/// What users would see: after the last acknowledgement of a day a disk is lost as all power fails, and no
/// operator is answered again: a keeper that is needed for the majority takes a torn write for damage
/// and does not start. Evidence: it ends with "damaged at byte".
#[test]
fn a_lost_disk_of_three_and_a_loss_of_all_power_lose_no_configuration() {
    run(3, 1, 3);
}

#[test]
fn two_lost_disks_of_six_keepers_and_a_loss_of_all_power_lose_no_configuration() {
    run(6, 2, 2);
}
