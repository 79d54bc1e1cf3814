//! A cluster whose nodes are started, stopped and killed one by one.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use daemon::{Config, KeeperStatus, Node, NodeError, Platform, init_keeper};
use fakes::{Behaviour, ServiceTime, Target};
use membership::{Host, HostList, HostState, Role};
use model::NodeName;
use settings::SettingsError;
use telemetry::{AgentCounters, EntryCounters};
use tempfile::TempDir;
use thiserror::Error;

/// Longest wait for the cluster to reach an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of the expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the cluster can't start or does not reach an expected state.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A directory, file or socket can't be created.
    #[error("cannot create the cluster's files or sockets: {0}")]
    Io(#[from] std::io::Error),
    /// A generated node configuration is invalid.
    #[error("invalid configuration of a cluster node: {0}")]
    Settings(#[from] SettingsError),
    /// A node can't be initialized or started.
    #[error("cannot start a cluster node: {0}")]
    Node(#[from] NodeError),
    /// The expected state is not reached in time.
    #[error("the cluster did not reach the expected state within {} s", WAIT_TIMEOUT.as_secs())]
    Timeout,
}

/// Size and behaviour of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of keepers: 1, 3 or 5.
    pub keepers: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with its own target.
    pub agents: usize,
    /// Number of racks over which the agents are spread evenly.
    pub racks: usize,
    /// Task slots of each target.
    pub slots: u32,
    /// How long the targets take to answer a task.
    pub service_time: ServiceTime,
    /// How the targets respond to tasks.
    pub behaviour: Behaviour,
    /// Name of the service whose tasks the targets run.
    pub service: String,
    /// Initial settings tree as INI, without `[fleet] claim_view`, which the cluster adds.
    pub tree: String,
    /// Directory of the entries' decision logs; `None` writes no logs.
    pub logs: Option<PathBuf>,
}

impl ClusterOptions {
    /// One keeper, two entries, and three agents in three racks with targets that answer without
    /// delay.
    pub fn small(service: &str, tree: &str) -> Self {
        Self {
            keepers: 1,
            entries: 2,
            agents: 3,
            racks: 3,
            slots: 8,
            service_time: ServiceTime::None,
            behaviour: Behaviour::Succeed,
            service: service.to_owned(),
            tree: tree.to_owned(),
            logs: None,
        }
    }
}

/// A running cluster. Nodes are numbered from 0 within their role.
pub struct Cluster {
    keepers: Vec<Option<Node>>,
    entries: Vec<Option<Node>>,
    agents: Vec<Option<Node>>,
    targets: Vec<Target>,
    host_list: Arc<Mutex<HostList>>,
    options: ClusterOptions,
    directory: TempDir,
}

impl Cluster {
    /// Starts all keepers, targets, agents and entries, and waits until every entry is ready.
    pub fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let directory = tempfile::tempdir()?;
        let host_list = Arc::new(Mutex::new(HostList::default()));
        let mut cluster = Self {
            keepers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            host_list,
            options,
            directory,
        };
        for index in 0..cluster.options.keepers {
            cluster.keepers.push(None);
            cluster.init_keeper_data(index)?;
            cluster.start_keeper(index)?;
        }
        for index in 0..cluster.options.agents {
            cluster
                .targets
                .push(Target::start(cluster.options.service_time, cluster.options.behaviour)?);
            cluster.agents.push(None);
            cluster.start_agent(index)?;
        }
        for index in 0..cluster.options.entries {
            cluster.entries.push(None);
            cluster.start_entry(index)?;
        }
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Starts an agent, or restarts it after it was stopped.
    pub fn start_agent(&mut self, index: usize) -> Result<(), ClusterError> {
        let name = format!("a{}", index + 1);
        let rack = format!("r{}", index % self.options.racks + 1);
        let config = format!(
            "[node]\nname = {name}\nroles = agent\nhall = h1\nrack = {rack}\nkeepers = {}\n\
             platform_poll_ms = 20\n\
             [agent]\nlisten = 127.0.0.1:0\ntarget = {}\nservice = {}\nslots = {}\n",
            self.keeper_node_addresses(),
            self.targets[index].address(),
            self.options.service,
            self.options.slots,
        );
        let node = Node::start(&Config::from_ini(&config)?, self.platform())?;
        let address = node.agent().map(|agent| agent.address());
        self.add_to_host_list(&name, Role::Agent, address, &rack);
        self.agents[index] = Some(node);
        Ok(())
    }

    /// Starts an entry, or restarts it after it was stopped.
    pub fn start_entry(&mut self, index: usize) -> Result<(), ClusterError> {
        let name = format!("e{}", index + 1);
        let logs_setting = match &self.options.logs {
            Some(directory) => format!("logs = {}\n", directory.display()),
            None => String::new(),
        };
        let config = format!(
            "[node]\nname = {name}\nroles = entry\nhall = h1\nkeepers = {}\n\
             platform = file:unused\nplatform_poll_ms = 20\n{logs_setting}\
             [entry]\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\ndrain_notice_ms = 0\n",
            self.keeper_node_addresses(),
        );
        let node = Node::start(&Config::from_ini(&config)?, self.platform())?;
        let address = node.entry().map(|entry| entry.peer_address());
        self.add_to_host_list(&name, Role::Entry, address, "");
        self.entries[index] = Some(node);
        Ok(())
    }

    fn platform(&self) -> Platform {
        Platform::Shared(self.host_list.clone())
    }

    /// Returns the node addresses of the running keepers, separated by spaces as in the `keepers`
    /// setting.
    fn keeper_node_addresses(&self) -> String {
        let keepers = self.keepers.iter().flatten().filter_map(Node::keeper);
        let addresses = keepers.map(|keeper| keeper.node_address().to_string());
        addresses.collect::<Vec<String>>().join(" ")
    }

    /// Adds a node to the platform's host list, or replaces the host of the same name. Does
    /// nothing without an address.
    fn add_to_host_list(&self, name: &str, role: Role, address: Option<SocketAddr>, rack: &str) {
        let Some(address) = address else { return };
        let name = NodeName::new(name);
        let mut host_list = self.host_list.lock().unwrap_or_else(PoisonError::into_inner);
        host_list.hosts.retain(|host| host.name != name);
        let (hall, rack) = ("h1".to_owned(), rack.to_owned());
        host_list.hosts.push(Host { name, role, address, hall, rack, state: HostState::Live });
    }

    /// Marks an agent's host as leaving in the platform's host list.
    pub fn mark_agent_leaving(&self, index: usize) {
        let name = NodeName::new(&format!("a{}", index + 1));
        let mut host_list = self.host_list.lock().unwrap_or_else(PoisonError::into_inner);
        for host in host_list.hosts.iter_mut().filter(|host| host.name == name) {
            host.state = HostState::Leaving;
        }
    }

    /// Waits until every running entry is ready to accept work.
    pub fn wait_until_ready(&self) -> Result<(), ClusterError> {
        self.wait_for(|cluster| {
            let mut entries = cluster.entries.iter().flatten().filter_map(Node::entry);
            entries.all(|entry| entry.is_ready())
        })
    }

    /// Waits until `condition` holds, or fails with [`ClusterError::Timeout`].
    pub fn wait_for(&self, condition: impl Fn(&Self) -> bool) -> Result<(), ClusterError> {
        let started = Instant::now();
        while !condition(self) {
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(ClusterError::Timeout);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// The address on which an entry serves clients.
    ///
    /// Panics if the entry is not running.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        let entry = self.entries[index].as_ref().and_then(Node::entry);
        entry.map(|entry| entry.address()).expect("the entry is running")
    }

    /// The addresses on which the running keepers serve operators.
    pub fn keeper_addresses(&self) -> Vec<SocketAddr> {
        let keepers = self.keepers.iter().flatten().filter_map(Node::keeper);
        keepers.map(|keeper| keeper.address()).collect()
    }

    /// Returns the counters of every running entry.
    pub fn entry_counters(&self) -> Vec<EntryCounters> {
        let entries = self.entries.iter().flatten().filter_map(Node::entry);
        entries.filter_map(|entry| entry.counters()).collect()
    }

    /// Returns the counters of every running agent.
    pub fn agent_counters(&self) -> Vec<AgentCounters> {
        let agents = self.agents.iter().flatten().filter_map(Node::agent);
        agents.filter_map(|agent| agent.counters()).collect()
    }

    /// Returns the target of an agent.
    pub fn target(&self, index: usize) -> &Target {
        &self.targets[index]
    }

    /// Returns the targets in the order of their agents.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Stops an agent without draining it, like a crash.
    pub fn kill_agent(&mut self, index: usize) {
        if let Some(node) = self.agents[index].take() {
            node.stop();
        }
    }

    /// Stops an entry without draining it, like a crash.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(node) = self.entries[index].take() {
            node.stop();
        }
    }

    /// Drains an agent, then stops it.
    pub fn drain_agent(&mut self, index: usize) {
        if let Some(node) = self.agents[index].take() {
            node.drain();
        }
    }

    /// Drains an entry, then stops it.
    pub fn drain_entry(&mut self, index: usize) {
        if let Some(node) = self.entries[index].take() {
            node.drain();
        }
    }

    /// Stops a keeper without draining it, like a crash.
    pub fn kill_keeper(&mut self, index: usize) {
        if let Some(node) = self.keepers[index].take() {
            node.stop();
        }
    }

    /// Deletes the data of a stopped keeper and leaves an empty data directory.
    pub fn wipe_keeper_disk(&self, index: usize) -> Result<(), ClusterError> {
        std::fs::remove_dir_all(self.keeper_directory(index))?;
        std::fs::create_dir_all(self.keeper_directory(index))?;
        Ok(())
    }

    /// Returns the status of a keeper; `None` if it is not running or does not report one.
    pub fn keeper_status(&self, index: usize) -> Option<KeeperStatus> {
        self.keepers[index].as_ref().and_then(Node::keeper)?.status()
    }

    fn keeper_directory(&self, index: usize) -> PathBuf {
        self.directory.path().join(format!("k{}", index + 1))
    }

    /// Builds the configuration of a keeper. Its peers' ports are 0, as their addresses come from
    /// the platform's host list.
    fn keeper_config(&self, index: usize) -> Result<Config, ClusterError> {
        let peers: Vec<String> =
            (1..=self.options.keepers).map(|index| format!("k{index}@127.0.0.1:0")).collect();
        let config = format!(
            "[node]\nname = k{}\nroles = keeper\nplatform_poll_ms = 20\n\
             [keeper]\nlisten = 127.0.0.1:0\nnode_listen = 127.0.0.1:0\ndata = {}\n\
             initial = {}\npeers = {}\n",
            index + 1,
            self.keeper_directory(index).display(),
            self.directory.path().join("initial.ini").display(),
            peers.join(" "),
        );
        Ok(Config::from_ini(&config)?)
    }

    /// Creates a keeper's data directory and initializes it with the initial settings tree.
    fn init_keeper_data(&self, index: usize) -> Result<(), ClusterError> {
        std::fs::create_dir_all(self.keeper_directory(index))?;
        std::fs::write(self.directory.path().join("initial.ini"), initial_tree(&self.options))?;
        let config = self.keeper_config(index)?;
        if let Some(keeper) = &config.keeper {
            init_keeper(&config.node, keeper).map_err(NodeError::from)?;
        }
        Ok(())
    }

    /// Starts a keeper on its data directory, or restarts it after it was stopped.
    pub fn start_keeper(&mut self, index: usize) -> Result<(), ClusterError> {
        let node = Node::start(&self.keeper_config(index)?, self.platform())?;
        let address = node.keeper().map(|keeper| keeper.node_address());
        self.add_to_host_list(&format!("k{}", index + 1), Role::Keeper, address, "");
        self.keepers[index] = Some(node);
        Ok(())
    }

    /// Stops every running node without draining it.
    pub fn stop(mut self) {
        self.entries.iter_mut().filter_map(Option::take).for_each(Node::stop);
        self.agents.iter_mut().filter_map(Option::take).for_each(Node::stop);
        self.keepers.iter_mut().filter_map(Option::take).for_each(Node::stop);
    }
}

/// Returns the settings tree of the options, with every agent added to the claim view.
fn initial_tree(options: &ClusterOptions) -> String {
    let members: Vec<String> = (0..options.agents)
        .map(|index| format!("a{}@r{}", index + 1, index % options.racks + 1))
        .collect();
    let claim_view = format!("[fleet]\nclaim_view = {}\n", members.join(" "));
    match options.tree.contains("[fleet]\n") {
        true => options.tree.replace("[fleet]\n", &claim_view),
        false => format!("{}\n{claim_view}", options.tree),
    }
}
