//! Real processes of a fleet whose targets have room, on loopback addresses of their own, with a
//! stand-in for a target that takes orders.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod balancer;
pub mod checks;
pub mod exchange;
mod fake_target;
mod http;
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

/// Longest wait for anything to come about.
const TIMEOUT: Duration = Duration::from_secs(20);
const NODE_PORT: u16 = 7_101;
/// A host without any process.
const ABSENT_KEEPER_HOST: usize = 250;
/// The host of the first agent and its target; more follow it.
const TARGET_HOST: usize = 10;
/// Where the first agent finds its target by way of a proxy; up to 100 agents fit below it.
const COMMAND_PROXY_HOST: usize = 110;
/// The host of the first entry, with two proxies after it; 13 entries fit below the absent keeper.
const ENTRY_HOST: usize = 211;
/// What comes before the version on a page of figures.
const VERSION_METRIC: &str = "dockpass_configuration_version ";
/// Names a folder for what a keeper keeps.
const KEEPER_FOLDER_VARIABLE: &str = "DOCKPASS_KEEPER_FOLDER";
/// A folder in memory.
const MEMORY_FOLDER: &str = "/dev/shm";
/// Names a folder that keeps the logs of all processes, also those of runs that pass.
const LOGS_VARIABLE: &str = "DOCKPASS_SOAK_LOGS";
/// Names how many entries each agent serves at least; without it, each serves each in a fleet of a test.
const ENTRIES_SERVED_VARIABLE: &str = "DOCKPASS_SETS";

/// The host of an entry; its proxies, if any, are the two after it.
fn entry_host(number: usize) -> usize {
    ENTRY_HOST + 3 * number
}

/// The name of an entry's process.
fn entry_name(number: usize) -> String {
    if number == 0 { "entry".to_owned() } else { format!("entry{number}") }
}

/// Tells the fleets of one test run apart.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The line of a process's file that names keepers.
fn keepers_line(keepers: &[SocketAddr]) -> String {
    let keepers: Vec<String> = keepers.iter().map(SocketAddr::to_string).collect();
    format!("keepers = {}\n", keepers.join(" "))
}

/// What agents' files say of sets: nothing, unless a variable asks for sets.
fn subset_settings() -> String {
    let served = std::env::var(ENTRIES_SERVED_VARIABLE).ok();
    served.map_or_else(String::new, |served| {
        format!("entries_served = {served}\nagents_of_entry = 1\n")
    })
}

/// A keeper, an entry, agents and their targets.
pub struct Fleet {
    folder: TempDir,
    /// Where the keeper keeps what lasts.
    data: TempDir,
    network: String,
    agents: usize,
    entries: usize,
    /// Links between clients, entry, agents and targets; none where they connect directly.
    proxies: Vec<Proxy>,
    /// Where logs stay, also those of a run that passed.
    logs: Option<PathBuf>,
    /// What agents' files say besides.
    agent_settings: String,
}

impl Fleet {
    /// Writes the files of a fleet with one entry and so many agents.
    pub fn new(agents: usize) -> Self {
        Self::with_entries(1, agents)
    }

    /// Writes the files of a fleet without proxies.
    pub fn with_entries(entries: usize, agents: usize) -> Self {
        Self::create(entries, agents, false, temporary_folder())
    }

    /// The same, with more settings of its agents.
    pub fn with_agent_settings(entries: usize, agents: usize, settings: &str) -> Self {
        let mut fleet = Self::with_entries(entries, agents);
        fleet.agent_settings = settings.to_owned();
        fleet.write_files();
        fleet
    }

    /// The same, with a keeper whose folder is in memory where the host has such, unless a variable
    /// names another: a host's disk may stand still for longer than a process has for its end.
    pub fn with_keeper_in_memory(entries: usize, agents: usize) -> Self {
        let named = std::env::var_os(KEEPER_FOLDER_VARIABLE);
        let folder = named.map_or_else(|| MEMORY_FOLDER.into(), PathBuf::from);
        let data = tempfile::tempdir_in(folder).unwrap_or_else(|_| temporary_folder());
        Self::create(entries, agents, false, data)
    }

    /// The same, with proxies between clients and entries, agents and entries, agents and targets.
    pub fn with_proxies(entries: usize, agents: usize) -> Self {
        Self::create(entries, agents, true, temporary_folder())
    }

    fn create(entries: usize, agents: usize, proxies: bool, data: TempDir) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed) + 1;
        let pid = std::process::id();
        // A network of its own: no port is shared with anything else on this host.
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

    /// Starts two proxies for each entry (clients, sessions of agents), then one for each agent's
    /// orders.
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

    /// The links that faults can strike.
    pub fn proxies(&self) -> &[Proxy] {
        &self.proxies
    }

    /// The links between agents and each entry.
    pub fn session_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().take(2 * self.entries).skip(1).step_by(2)
    }

    /// The links between each agent and its target.
    pub fn command_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().skip(2 * self.entries)
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.network).parse().expect("an address")
    }

    pub fn keeper_address(&self) -> SocketAddr {
        self.address(1, 7_100)
    }

    /// Where a keeper would be at which nobody listens.
    fn absent_keeper_address(&self) -> SocketAddr {
        self.address(ABSENT_KEEPER_HOST, 7_100)
    }

    /// The names of all its processes.
    pub fn names(&self) -> Vec<String> {
        let entries = (0..self.entries).map(entry_name);
        let agents = (0..self.agents).map(|number| format!("agent{number}"));
        entries.chain(agents).chain(["keeper".to_owned()]).collect()
    }

    /// Which entry has a process's name, if one has.
    pub fn entry_named(&self, name: &str) -> Option<usize> {
        (0..self.entries).find(|number| entry_name(*number) == name)
    }

    /// How many entries it has.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Where clients reach the first entry.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry_address_of(0)
    }

    /// Where clients reach an entry.
    pub fn entry_address_of(&self, number: usize) -> SocketAddr {
        let host_offset = usize::from(!self.proxies.is_empty());
        self.address(entry_host(number) + host_offset, 7_300)
    }

    /// Where agents reach an entry.
    fn session_address(&self, number: usize) -> SocketAddr {
        let host_offset = if self.proxies.is_empty() { 0 } else { 2 };
        self.address(entry_host(number) + host_offset, NODE_PORT)
    }

    /// Where an agent reaches its target.
    fn command_address(&self, number: usize) -> SocketAddr {
        let host = if self.proxies.is_empty() { TARGET_HOST } else { COMMAND_PROXY_HOST };
        self.address(host + number, 7_500)
    }

    /// Where the balancer asks an entry whether it is ready.
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
                "{}[agent]\nlisten = {}\ntarget = {}\nservice = work\n{}",
                common(&format!("a{number}"), "agent"),
                self.agent_address(number),
                self.command_address(number),
                self.agent_settings
            );
            self.write(&format!("agent{number}"), &agent);
        }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.file(name), text).expect("the file is written");
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.ini"))
    }

    /// Starts the process of a name: `keeper`, `entry`, `agent0` and so on. Its log is kept where the
    /// test fails.
    pub fn start(&self, name: &str) -> Process {
        Process::start(&self.file(name), &self.logs().join(format!("{name}.log")))
    }

    /// Where the logs of its processes are.
    fn logs(&self) -> PathBuf {
        let Some(root) = &self.logs else { return self.folder.path().to_owned() };
        let folder = root.join(&self.network);
        fs::create_dir_all(&folder).expect("a folder for logs");
        folder
    }

    /// Changes the file of a process so that it names a further keeper, at which nobody listens, or
    /// no longer names it; the process is not told.
    pub fn toggle_absent_keeper(&self, name: &str) {
        let present = keepers_line(&[self.keeper_address()]);
        let both = keepers_line(&[self.keeper_address(), self.absent_keeper_address()]);
        let text = fs::read_to_string(self.file(name)).expect("the file is there");
        let changed = match text.contains(&both) {
            true => text.replace(&both, &present),
            false => text.replace(&present, &both),
        };
        // In one move: the process also looks without a signal, and would find half a file.
        let new_file = self.file(&format!("{name}.new"));
        fs::write(&new_file, changed).expect("the file is written");
        fs::rename(new_file, self.file(name)).expect("the file is moved");
    }

    /// Changes the file of a process so that it names only a keeper at which nobody listens.
    pub fn name_only_absent_keeper(&self, name: &str) {
        let present = keepers_line(&[self.keeper_address()]);
        let absent = keepers_line(&[self.absent_keeper_address()]);
        let text = fs::read_to_string(self.file(name)).expect("the file is there");
        fs::write(self.file(name), text.replace(&present, &absent)).expect("the file is written");
    }

    /// What the keeper keeps in a file of its folder; none where there is no such file.
    pub fn keeper_file(&self, name: &str) -> Option<String> {
        fs::read_to_string(self.data.path().join(name)).ok()
    }

    /// What the processes of a name have logged so far.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// How often its processes have noticed so far that they got no processor for long: the host held
    /// them up.
    pub fn logged_pauses(&self) -> usize {
        let paused_lines = ["\"event\":\"paused\"", "\"why\":\"stood still\""];
        let names = self.names();
        let logs = names.iter().map(|name| self.log(name));
        logs.map(|log| paused_lines.iter().map(|line| log.matches(line).count()).sum::<usize>())
            .sum()
    }

    /// Starts a process whose log goes into a pipe that nobody reads.
    pub fn start_with_unread_log(&self, name: &str) -> Process {
        Process::start_with_unread_log(&self.file(name))
    }

    /// Where the entry tells its figures.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics_address_of(0)
    }

    /// Where an entry tells its figures.
    pub fn metrics_address_of(&self, entry: usize) -> SocketAddr {
        self.address(entry_host(entry), 7_900)
    }

    /// Sends a configuration until it is acknowledged.
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

    /// Sends a configuration once, with so many blanks after it; returns whether it was acknowledged.
    pub fn try_configure(&self, version: u64, padding: usize) -> bool {
        let body = document(version) + &" ".repeat(padding);
        let time = Duration::from_secs(1);
        call(self.keeper_address(), "POST", "/configuration/replace", &body, time)
            .is_some_and(|answer| answer.status == 200)
    }

    /// Waits until every entry has a version of the configuration or a later one.
    pub fn wait_for_version(&self, version: u64) {
        let in_force = |page: &Answer| {
            let line = page.body.lines().find_map(|line| line.strip_prefix(VERSION_METRIC));
            line.and_then(|text| text.parse::<u64>().ok())
        };
        for number in 0..self.entries {
            eventually("the entry has the configuration", || {
                call(self.metrics_address_of(number), "GET", "/metrics", "", Duration::from_secs(1))
                    .is_some_and(|page| in_force(&page) >= Some(version))
            });
        }
    }

    /// Waits until every entry says that it is ready.
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

    /// Hands in a job of equal tasks and waits for the answer.
    pub fn submit_job(&self, id: u64, count: u32, work_ms: u64) -> Option<Answer> {
        self.submit_job_within(0, id, count, work_ms, TIMEOUT)
    }

    /// Hands in a job of equal tasks at an entry and waits so long for the answer.
    pub fn submit_job_within(
        &self,
        entry: usize,
        id: u64,
        count: u32,
        work_ms: u64,
        time: Duration,
    ) -> Option<Answer> {
        let body = serde_json::json!({"spec": work_ms.to_string(), "best_effort": true,
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 64, "estimated_ms": work_ms}]});
        let path = format!("/q/{id:016x}");
        call(self.entry_address_of(entry), "POST", &path, &body.to_string(), time)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("the logs of the fleet are in {}", self.logs().display());
        }
    }
}

fn temporary_folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

/// A configuration with one queue; versions differ in their number alone.
pub fn document(version: u64) -> String {
    serde_json::json!({"version": version,
        "routes": [{"name": "q", "host": "queue.example", "path_prefix": "/q/",
            "timeout_ms": 1500, "target_latency_ms": 60, "priority": 0, "service": "work",
            "max_attempts": 2, "stretch": 1.6}],
        "services": [{"name": "work", "rejects_overload": true}],
        "limits": {"max_body_bytes": 10_000}})
    .to_string()
}

/// The time as the logs of the processes show it.
pub fn unix_seconds() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |time| time.as_secs_f64())
}

/// The seed of every run of the tests besides those that failed once.
const DEFAULT_SEED: u64 = 1;

/// The seeds that a variable names as `FIRST..END`, or the usual one with those that failed once.
pub fn seeds_from_env(variable: &str, regressions: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else {
        return [DEFAULT_SEED].into_iter().chain(regressions.iter().copied()).collect();
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    let first: u64 = first.parse().expect("a number");
    (first..end.parse().expect("a number")).collect()
}

/// A number that a variable names, or the usual one.
pub fn number_from_env(variable: &str, default: usize) -> usize {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// Waits until something is so.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "not so in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
