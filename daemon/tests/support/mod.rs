//! Starts fleets of real processes on loopback addresses, with fake targets.

// Each test binary uses only some of these items.
#![allow(dead_code)]

pub mod balancer;
pub mod checks;
pub mod exchange;
pub mod fake_target;
pub mod http;
pub mod keep_alive;
pub mod process;
pub mod proxy;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tempfile::TempDir;

pub use fake_target::FakeTarget;
pub use http::{Answer, call};
pub use process::Process;
use proxy::Proxy;

/// Longest wait for a condition or an answer.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Port for connections between processes.
const NODE_PORT: u16 = 7_101;
/// Host number of a keeper address where nothing listens.
const ABSENT_KEEPER_HOST: usize = 250;
/// Host number of the first agent and its target; the other agents follow.
const TARGET_HOST: usize = 10;
/// Host number of the first proxy between an agent and its target; the others follow.
const COMMAND_PROXY_HOST: usize = 110;
/// Host number of the first entry; each entry is followed by its two proxies.
const ENTRY_HOST: usize = 211;
/// Prefix of the metrics line with the configuration version.
const VERSION_METRIC: &str = "dockpass_configuration_version ";
/// Environment variable with the parent of the keeper's data folder.
const KEEPER_FOLDER_VARIABLE: &str = "DOCKPASS_KEEPER_FOLDER";
/// Folder of a file system in memory.
const MEMORY_FOLDER: &str = "/dev/shm";
/// Environment variable with the folder in which process logs are kept, also when a test passes.
const LOGS_VARIABLE: &str = "DOCKPASS_SOAK_LOGS";
/// Environment variable with the number of entries that each agent serves. Agents serve all entries
/// by default.
const ENTRIES_SERVED_VARIABLE: &str = "DOCKPASS_SETS";

/// Host number of an entry; its proxies use the next two.
fn entry_host(number: usize) -> usize {
    ENTRY_HOST + 3 * number
}

/// Process name of an entry.
fn entry_name(number: usize) -> String {
    if number == 0 { "entry".to_owned() } else { format!("entry{number}") }
}

/// Number of fleets created by this process; gives each its own network.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The `keepers` line of a configuration file.
fn keepers_line(keepers: &[SocketAddr]) -> String {
    let keepers: Vec<String> = keepers.iter().map(SocketAddr::to_string).collect();
    format!("keepers = {}\n", keepers.join(" "))
}

/// Agent settings that limit the entries served, if the environment asks for it.
fn subset_settings() -> String {
    let served = std::env::var(ENTRIES_SERVED_VARIABLE).ok();
    served.map_or_else(String::new, |served| {
        format!("entries_served = {served}\nagents_of_entry = 1\n")
    })
}

/// Configuration files and addresses of one keeper, its entries and agents, and the targets.
pub struct Fleet {
    folder: TempDir,
    /// Data folder of the keeper.
    data: TempDir,
    network: String,
    agents: usize,
    entries: usize,
    /// Proxies between clients, entries, agents and targets; empty if processes connect directly.
    proxies: Vec<Proxy>,
    /// Folder in which logs are kept, also when the test passes.
    logs: Option<PathBuf>,
    /// Additional settings in the agents' configuration files.
    agent_settings: String,
}

impl Fleet {
    /// Creates a fleet with one entry and the given number of agents.
    pub fn new(agents: usize) -> Self {
        Self::with_entries(1, agents)
    }

    /// Creates a fleet whose processes connect directly.
    pub fn with_entries(entries: usize, agents: usize) -> Self {
        Self::create(entries, agents, false, temporary_folder())
    }

    /// Creates a fleet with additional settings for its agents, which replace those from the
    /// environment.
    pub fn with_agent_settings(entries: usize, agents: usize, settings: &str) -> Self {
        let mut fleet = Self::with_entries(entries, agents);
        fleet.agent_settings = settings.to_owned();
        fleet.write_files();
        fleet
    }

    /// Creates a fleet whose keeper stores its data in memory where possible, so that a slow disk
    /// does not delay its shutdown. `DOCKPASS_KEEPER_FOLDER` overrides the location.
    pub fn with_keeper_in_memory(entries: usize, agents: usize) -> Self {
        let configured = std::env::var_os(KEEPER_FOLDER_VARIABLE);
        let folder = configured.map_or_else(|| MEMORY_FOLDER.into(), PathBuf::from);
        let data = tempfile::tempdir_in(folder).unwrap_or_else(|_| temporary_folder());
        Self::create(entries, agents, false, data)
    }

    /// Creates a fleet with proxies between clients and entries, agents and entries, and agents and
    /// targets.
    pub fn with_proxies(entries: usize, agents: usize) -> Self {
        Self::create(entries, agents, true, temporary_folder())
    }

    fn create(entries: usize, agents: usize, proxies: bool, data: TempDir) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed) + 1;
        let pid = std::process::id();
        // Each fleet uses its own loopback network to avoid port collisions.
        let network = format!("127.{}.{}", 1 + pid % 250, 1 + (pid / 250 + number * 31) % 250);
        let folder = temporary_folder();
        let logs = std::env::var_os(LOGS_VARIABLE).map(PathBuf::from);
        let mut fleet = Self {
            folder,
            data,
            network,
            agents,
            entries,
            proxies: Vec::new(),
            logs,
            agent_settings: subset_settings(),
        };
        if proxies {
            fleet.start_proxies();
        }
        fleet.write_files();
        fleet
    }

    /// Starts two proxies for each entry, one for clients and one for agent sessions, then one for
    /// the commands of each agent.
    fn start_proxies(&mut self) {
        for number in 0..self.entries {
            let host = entry_host(number);
            let to_entry = Proxy::start(self.address(host + 1, 7_300), self.address(host, 7_300));
            let sessions =
                Proxy::start(self.address(host + 2, NODE_PORT), self.address(host, NODE_PORT));
            self.proxies.extend([to_entry, sessions]);
        }
        for number in 0..self.agents {
            let listen = self.address(COMMAND_PROXY_HOST + number, 7_500);
            let commands = Proxy::start(listen, self.target_address(number));
            self.proxies.push(commands);
        }
    }

    /// All proxies, for fault injection.
    pub fn proxies(&self) -> &[Proxy] {
        &self.proxies
    }

    /// The proxies between the agents and each entry.
    pub fn session_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().take(2 * self.entries).skip(1).step_by(2)
    }

    /// The proxies between each agent and its target.
    pub fn command_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().skip(2 * self.entries)
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.network).parse().expect("the address is valid")
    }

    pub fn keeper_address(&self) -> SocketAddr {
        self.address(1, 7_100)
    }

    /// Address of a keeper that does not exist.
    fn absent_keeper_address(&self) -> SocketAddr {
        self.address(ABSENT_KEEPER_HOST, 7_100)
    }

    /// The names of all processes of the fleet.
    pub fn names(&self) -> Vec<String> {
        let entries = (0..self.entries).map(entry_name);
        let agents = (0..self.agents).map(|number| format!("agent{number}"));
        entries.chain(agents).chain(["keeper".to_owned()]).collect()
    }

    /// The number of the entry with the given process name, if it is an entry.
    pub fn entry_named(&self, name: &str) -> Option<usize> {
        (0..self.entries).find(|number| entry_name(*number) == name)
    }

    /// Number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Address at which clients reach the first entry.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry_address_of(0)
    }

    /// Address at which clients reach an entry, through its proxy if there is one.
    pub fn entry_address_of(&self, number: usize) -> SocketAddr {
        let host_offset = usize::from(!self.proxies.is_empty());
        self.address(entry_host(number) + host_offset, 7_300)
    }

    /// Address at which agents reach an entry, through its proxy if there is one.
    fn session_address(&self, number: usize) -> SocketAddr {
        let host_offset = if self.proxies.is_empty() { 0 } else { 2 };
        self.address(entry_host(number) + host_offset, NODE_PORT)
    }

    /// Address at which an agent reaches its target, through its proxy if there is one.
    fn command_address(&self, number: usize) -> SocketAddr {
        let host = if self.proxies.is_empty() { TARGET_HOST } else { COMMAND_PROXY_HOST };
        self.address(host + number, 7_500)
    }

    /// Address of the readiness check of an entry.
    pub fn readiness_address(&self, number: usize) -> SocketAddr {
        self.address(entry_host(number), 7_301)
    }

    pub fn target_address(&self, number: usize) -> SocketAddr {
        self.address(TARGET_HOST + number, 7_500)
    }

    pub fn agent_address(&self, number: usize) -> SocketAddr {
        self.address(TARGET_HOST + number, 7_400)
    }

    fn write_files(&self) {
        let common = |name: &str, role: &str| {
            format!(
                "[node]\nname = {name}\nroles = {role}\nscheduling = room\n\
                 node_port = {NODE_PORT}\n{}",
                keepers_line(&[self.keeper_address()])
            )
        };
        let keeper = format!(
            "{}[keeper]\nlisten = {}\nnode_listen = {}\ndata = {}\nfound = true\n\
             tolerated_losses = 0\n",
            common("k1", "keeper"),
            self.keeper_address(),
            self.address(1, NODE_PORT),
            self.data.path().display()
        );
        for number in 0..self.entries {
            let host = entry_host(number);
            let entry = format!(
                "{}metrics = {}\n[entry]\nlisten = {}\nready_listen = {}\npeer_listen = {}\n\
                 peer_address = {}\n",
                common(&format!("e{number}"), "entry"),
                self.address(host, 7_900),
                self.address(host, 7_300),
                self.readiness_address(number),
                self.address(host, NODE_PORT),
                self.session_address(number)
            );
            self.write(&entry_name(number), &entry);
        }
        self.write("keeper", &keeper);
        for number in 0..self.agents {
            let agent = format!(
                "{}metrics = {}\n[agent]\nlisten = {}\ntarget = {}\nservice = work\n{}",
                common(&format!("a{number}"), "agent"),
                self.agent_metrics_address(number),
                self.agent_address(number),
                self.command_address(number),
                self.agent_settings
            );
            self.write(&format!("agent{number}"), &agent);
        }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.file(name), text).expect("the configuration file is written");
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.ini"))
    }

    /// Starts the process with a name such as `keeper`, `entry` or `agent0`. Its log is kept if the
    /// test fails.
    pub fn start(&self, name: &str) -> Process {
        Process::start(&self.file(name), &self.logs().join(format!("{name}.log")))
    }

    /// The folder of the process logs.
    fn logs(&self) -> PathBuf {
        let Some(root) = &self.logs else { return self.folder.path().to_owned() };
        let folder = root.join(&self.network);
        fs::create_dir_all(&folder).expect("the log folder is created");
        folder
    }

    /// Adds the absent keeper to the configuration file of a process, or removes it again. The
    /// process gets no signal.
    pub fn toggle_absent_keeper(&self, name: &str) {
        let present = keepers_line(&[self.keeper_address()]);
        let both = keepers_line(&[self.keeper_address(), self.absent_keeper_address()]);
        let text = fs::read_to_string(self.file(name)).expect("the configuration file exists");
        let changed = match text.contains(&both) {
            true => text.replace(&both, &present),
            false => text.replace(&present, &both),
        };
        // Rename atomically: the process also polls the file and must not read a partial one.
        let new_file = self.file(&format!("{name}.new"));
        fs::write(&new_file, changed).expect("the configuration file is written");
        fs::rename(new_file, self.file(name)).expect("the configuration file is replaced");
    }

    /// Replaces the keeper in the configuration file of a process with the absent one.
    pub fn replace_keepers_with_absent_one(&self, name: &str) {
        let present = keepers_line(&[self.keeper_address()]);
        let absent = keepers_line(&[self.absent_keeper_address()]);
        let text = fs::read_to_string(self.file(name)).expect("the configuration file exists");
        fs::write(self.file(name), text.replace(&present, &absent))
            .expect("the configuration file is written");
    }

    /// Content of a file in the keeper's data folder; `None` if the file does not exist.
    pub fn keeper_file(&self, name: &str) -> Option<String> {
        fs::read_to_string(self.data.path().join(name)).ok()
    }

    /// Log of all processes started under a name.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Number of pauses that the processes have logged because the host did not schedule them.
    pub fn logged_pauses(&self) -> usize {
        let paused_lines = ["\"event\":\"paused\"", "\"why\":\"stood still\""];
        let names = self.names();
        let logs = names.iter().map(|name| self.log(name));
        logs.map(|log| paused_lines.iter().map(|line| log.matches(line).count()).sum::<usize>())
            .sum()
    }

    /// Starts a process whose log goes to a pipe that is never read.
    pub fn start_with_unread_log(&self, name: &str) -> Process {
        Process::start_with_unread_log(&self.file(name))
    }

    /// Address of the metrics page of the first entry.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics_address_of(0)
    }

    /// Address of the metrics page of an agent.
    pub fn agent_metrics_address(&self, number: usize) -> SocketAddr {
        self.address(TARGET_HOST + number, 7_900)
    }

    /// Address of the metrics page of an entry.
    pub fn metrics_address_of(&self, entry: usize) -> SocketAddr {
        self.address(entry_host(entry), 7_900)
    }

    /// Sends a configuration until the keeper acknowledges it.
    pub fn configure(&self, version: u64) {
        let body = document(version);
        eventually("the configuration is acknowledged", || {
            call(
                self.keeper_address(),
                "POST",
                "/configuration/replace",
                &body,
                Duration::from_secs(5),
            )
            .is_some_and(|answer| answer.status == 200)
        });
    }

    /// Sends a configuration once, padded with spaces; returns whether the keeper acknowledged it.
    pub fn try_configure(&self, version: u64, padding: usize) -> bool {
        let body = document(version) + &" ".repeat(padding);
        let timeout = Duration::from_secs(1);
        call(self.keeper_address(), "POST", "/configuration/replace", &body, timeout)
            .is_some_and(|answer| answer.status == 200)
    }

    /// Waits until every entry uses the given configuration version or a later one.
    pub fn wait_for_version(&self, version: u64) {
        let version_of = |page: &Answer| {
            let line = page.body.lines().find_map(|line| line.strip_prefix(VERSION_METRIC));
            line.and_then(|text| text.parse::<u64>().ok())
        };
        for number in 0..self.entries {
            eventually("the entry has the configuration", || {
                call(self.metrics_address_of(number), "GET", "/metrics", "", Duration::from_secs(1))
                    .is_some_and(|page| version_of(&page) >= Some(version))
            });
        }
    }

    /// Waits until every entry reports that it is ready.
    pub fn wait_until_ready(&self) {
        for number in 0..self.entries {
            eventually("the entry is ready", || {
                call(
                    self.readiness_address(number),
                    "GET",
                    "/readiness",
                    "",
                    Duration::from_secs(1),
                )
                .is_some_and(|answer| answer.status == 200)
            });
        }
    }

    /// Submits a job of equal tasks to the first entry and waits for the answer.
    pub fn submit_job(&self, id: u64, count: u32, work_ms: u64) -> Option<Answer> {
        self.submit_job_within(0, id, count, work_ms, TIMEOUT)
    }

    /// Submits a job of equal tasks to an entry and waits for the answer until a timeout.
    pub fn submit_job_within(
        &self,
        entry: usize,
        id: u64,
        count: u32,
        work_ms: u64,
        timeout: Duration,
    ) -> Option<Answer> {
        let body = serde_json::json!({"spec": work_ms.to_string(), "best_effort": true,
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 64, "estimated_ms": work_ms}]});
        let path = format!("/q/{id:016x}");
        call(self.entry_address_of(entry), "POST", &path, &body.to_string(), timeout)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("fleet logs: {}", self.logs().display());
        }
    }
}

fn temporary_folder() -> TempDir {
    tempfile::tempdir().expect("the folder is created")
}

/// A configuration document with one queue. Documents of different versions are otherwise equal.
pub fn document(version: u64) -> String {
    serde_json::json!({"version": version,
        "routes": [{"name": "q", "host": "queue.example", "path_prefix": "/q/",
            "timeout_ms": 1500, "target_latency_ms": 60, "priority": 0, "service": "work",
            "max_attempts": 2, "stretch": 1.6}],
        "services": [{"name": "work", "rejects_overload": true}],
        "limits": {"max_body_bytes": 10_000}})
    .to_string()
}

/// Wall-clock time in seconds since the Unix epoch, as in the process logs.
pub fn unix_seconds() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |time| time.as_secs_f64())
}

/// The default seed.
const DEFAULT_SEED: u64 = 1;

/// Reads seeds from an environment variable as `FIRST..END`; defaults to one seed and the given
/// regressions.
pub fn seeds_from_env(variable: &str, regressions: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else {
        return [DEFAULT_SEED].into_iter().chain(regressions.iter().copied()).collect();
    };
    let (first, end) = text.split_once("..").expect("the value has the form FIRST..END");
    let first: u64 = first.parse().expect("the value is a number");
    (first..end.parse().expect("the value is a number")).collect()
}

/// Reads a number from an environment variable, or returns the default.
pub fn number_from_env(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| text.parse().expect("the value is a number"))
}

/// Polls a condition until it holds; panics with its description after a timeout.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
