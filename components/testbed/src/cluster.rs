//! Starting and stopping the roles of a cluster.

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

/// Longest wait for the cluster to take work.
const READY_TIME: Duration = Duration::from_secs(20);
/// How often readiness is looked at.
const READY_LOOK: Duration = Duration::from_millis(5);

/// Why a cluster can't start.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A folder, file or socket can't be had.
    #[error("cluster: {0}")]
    Io(#[from] std::io::Error),
    /// A configuration is refused.
    #[error("cluster: {0}")]
    Settings(#[from] SettingsError),
    /// A node can't start.
    #[error("cluster: {0}")]
    Node(#[from] NodeError),
    /// It does not get ready.
    #[error("cluster: not ready in {} s", READY_TIME.as_secs())]
    NotReady,
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// How many keepers: 1, 3 or 5.
    pub keepers: usize,
    /// How many entries.
    pub entries: usize,
    /// How many agents, each with a target.
    pub agents: usize,
    /// Over how many racks the agents are spread.
    pub racks: usize,
    /// Slots of each target.
    pub slots: u32,
    /// How long tasks take.
    pub time: ServiceTime,
    /// How targets treat tasks.
    pub behaviour: Behaviour,
    /// The service that the targets take work of.
    pub service: String,
    /// The settings tree, as INI, without `[fleet] claim_view`.
    pub tree: String,
    /// Where the entries' decision logs go.
    pub logs: Option<PathBuf>,
}

impl ClusterOptions {
    /// Two entries and three agents in three racks, for a service and a tree.
    pub fn small(service: &str, tree: &str) -> Self {
        Self {
            keepers: 1,
            entries: 2,
            agents: 3,
            racks: 3,
            slots: 8,
            time: ServiceTime::None,
            behaviour: Behaviour::Answers,
            service: service.to_owned(),
            tree: tree.to_owned(),
            logs: None,
        }
    }
}

/// A running cluster.
pub struct Cluster {
    keepers: Vec<Option<Node>>,
    entries: Vec<Option<Node>>,
    agents: Vec<Option<Node>>,
    targets: Vec<Target>,
    list: Arc<Mutex<HostList>>,
    options: ClusterOptions,
    folder: TempDir,
}

impl Cluster {
    /// Starts everything and waits until it takes work.
    pub fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let folder = tempfile::tempdir()?;
        let list = Arc::new(Mutex::new(HostList::default()));
        let mut cluster = Self {
            keepers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            list,
            options,
            folder,
        };
        for number in 0..cluster.options.keepers {
            cluster.keepers.push(None);
            cluster.begin_keeper(number)?;
            cluster.start_keeper(number)?;
        }
        for number in 0..cluster.options.agents {
            cluster.targets.push(Target::start(cluster.options.time, cluster.options.behaviour)?);
            cluster.agents.push(None);
            cluster.start_agent(number)?;
        }
        for number in 0..cluster.options.entries {
            cluster.entries.push(None);
            cluster.start_entry(number)?;
        }
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Starts an agent, or starts it anew after it was stopped.
    pub fn start_agent(&mut self, number: usize) -> Result<(), ClusterError> {
        let name = format!("a{}", number + 1);
        let rack = format!("r{}", number % self.options.racks + 1);
        let config = format!(
            "[node]\nname = {name}\nroles = agent\nhall = h1\nrack = {rack}\nkeepers = {}\n\
             platform_poll_ms = 20\n\
             [agent]\nlisten = 127.0.0.1:0\ntarget = {}\nservice = {}\nslots = {}\n",
            self.keeper_node_addresses(),
            self.targets[number].address(),
            self.options.service,
            self.options.slots,
        );
        let node = Node::start(&Config::from_ini(&config)?, self.platform())?;
        let address = node.agent().map(|agent| agent.address());
        self.list_host(&name, Role::Agent, address, &rack);
        self.agents[number] = Some(node);
        Ok(())
    }

    /// Starts an entry, or starts it anew after it was stopped.
    pub fn start_entry(&mut self, number: usize) -> Result<(), ClusterError> {
        let name = format!("e{}", number + 1);
        let logs = match &self.options.logs {
            Some(folder) => format!("logs = {}\n", folder.display()),
            None => String::new(),
        };
        let config = format!(
            "[node]\nname = {name}\nroles = entry\nhall = h1\nkeepers = {}\n\
             platform = file:unused\nplatform_poll_ms = 20\n{logs}\
             [entry]\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\ndrain_notice_ms = 0\n",
            self.keeper_node_addresses(),
        );
        let node = Node::start(&Config::from_ini(&config)?, self.platform())?;
        let address = node.entry().map(|entry| entry.peer_address());
        self.list_host(&name, Role::Entry, address, "");
        self.entries[number] = Some(node);
        Ok(())
    }

    fn platform(&self) -> Platform {
        Platform::Shared(self.list.clone())
    }

    /// Every running keeper's address for nodes, as the configuration names them.
    fn keeper_node_addresses(&self) -> String {
        let keepers = self.keepers.iter().flatten().filter_map(Node::keeper);
        let addresses = keepers.map(|keeper| keeper.node_address().to_string());
        addresses.collect::<Vec<String>>().join(" ")
    }

    /// Puts a node on the platform's list.
    fn list_host(&self, name: &str, role: Role, address: Option<SocketAddr>, rack: &str) {
        let Some(address) = address else { return };
        let name = NodeName::new(name);
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.hosts.retain(|host| host.name != name);
        let (hall, rack) = ("h1".to_owned(), rack.to_owned());
        list.hosts.push(Host { name, role, address, hall, rack, state: HostState::Live });
    }

    /// Says on the platform's list that an agent's host is leaving.
    pub fn list_agent_as_leaving(&self, number: usize) {
        let name = NodeName::new(&format!("a{}", number + 1));
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        for host in list.hosts.iter_mut().filter(|host| host.name == name) {
            host.state = HostState::Leaving;
        }
    }

    /// Waits until every entry takes work.
    pub fn wait_until_ready(&self) -> Result<(), ClusterError> {
        self.wait_for(|cluster| {
            let mut entries = cluster.entries.iter().flatten().filter_map(Node::entry);
            entries.all(|entry| entry.is_ready())
        })
    }

    /// Waits until a condition holds.
    pub fn wait_for(&self, holds: impl Fn(&Self) -> bool) -> Result<(), ClusterError> {
        let started = Instant::now();
        while !holds(self) {
            if started.elapsed() > READY_TIME {
                return Err(ClusterError::NotReady);
            }
            std::thread::sleep(READY_LOOK);
        }
        Ok(())
    }

    /// Where callers reach an entry.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        let entry = self.entries[number].as_ref().and_then(Node::entry);
        entry.map(|entry| entry.address()).expect("the entry runs")
    }

    /// Where operators reach the running keepers.
    pub fn keeper_addresses(&self) -> Vec<SocketAddr> {
        let keepers = self.keepers.iter().flatten().filter_map(Node::keeper);
        keepers.map(|keeper| keeper.address()).collect()
    }

    /// Counters of every running entry.
    pub fn entry_counters(&self) -> Vec<EntryCounters> {
        let entries = self.entries.iter().flatten().filter_map(Node::entry);
        entries.filter_map(|entry| entry.counters()).collect()
    }

    /// Counters of every running agent.
    pub fn agent_counters(&self) -> Vec<AgentCounters> {
        let agents = self.agents.iter().flatten().filter_map(Node::agent);
        agents.filter_map(|agent| agent.counters()).collect()
    }

    /// A target.
    pub fn target(&self, number: usize) -> &Target {
        &self.targets[number]
    }

    /// Every target.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Ends an agent at once, as a kill does.
    pub fn kill_agent(&mut self, number: usize) {
        if let Some(node) = self.agents[number].take() {
            node.stop();
        }
    }

    /// Ends an entry at once, as a kill does.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(node) = self.entries[number].take() {
            node.stop();
        }
    }

    /// A planned stop of an agent.
    pub fn drain_agent(&mut self, number: usize) {
        if let Some(node) = self.agents[number].take() {
            node.drain();
        }
    }

    /// A planned stop of an entry.
    pub fn drain_entry(&mut self, number: usize) {
        if let Some(node) = self.entries[number].take() {
            node.drain();
        }
    }

    /// Ends a keeper at once, as a kill does.
    pub fn kill_keeper(&mut self, number: usize) {
        if let Some(node) = self.keepers[number].take() {
            node.stop();
        }
    }

    /// Loses what a stopped keeper has on its disk.
    pub fn lose_keeper_disk(&self, number: usize) -> Result<(), ClusterError> {
        std::fs::remove_dir_all(self.keeper_folder(number))?;
        std::fs::create_dir_all(self.keeper_folder(number))?;
        Ok(())
    }

    /// What a running keeper tells of itself.
    pub fn keeper_status(&self, number: usize) -> Option<KeeperStatus> {
        self.keepers[number].as_ref().and_then(Node::keeper)?.status()
    }

    fn keeper_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("k{}", number + 1))
    }

    /// The configuration of a keeper. The others' addresses come from the platform's list.
    fn keeper_config(&self, number: usize) -> Result<Config, ClusterError> {
        let peers: Vec<String> =
            (1..=self.options.keepers).map(|number| format!("k{number}@127.0.0.1:0")).collect();
        let config = format!(
            "[node]\nname = k{}\nroles = keeper\nplatform_poll_ms = 20\n\
             [keeper]\nlisten = 127.0.0.1:0\nnode_listen = 127.0.0.1:0\ndata = {}\n\
             initial = {}\npeers = {}\n",
            number + 1,
            self.keeper_folder(number).display(),
            self.folder.path().join("initial.ini").display(),
            peers.join(" "),
        );
        Ok(Config::from_ini(&config)?)
    }

    /// Makes a keeper's data folder with the tree that the cluster begins with.
    fn begin_keeper(&self, number: usize) -> Result<(), ClusterError> {
        std::fs::create_dir_all(self.keeper_folder(number))?;
        std::fs::write(self.folder.path().join("initial.ini"), initial_tree(&self.options))?;
        let config = self.keeper_config(number)?;
        if let Some(keeper) = &config.keeper {
            init_keeper(&config.node, keeper).map_err(NodeError::from)?;
        }
        Ok(())
    }

    /// Starts a keeper on its data folder, or starts it anew after it was stopped.
    pub fn start_keeper(&mut self, number: usize) -> Result<(), ClusterError> {
        let node = Node::start(&self.keeper_config(number)?, self.platform())?;
        let address = node.keeper().map(|keeper| keeper.node_address());
        self.list_host(&format!("k{}", number + 1), Role::Keeper, address, "");
        self.keepers[number] = Some(node);
        Ok(())
    }

    /// Ends everything.
    pub fn stop(mut self) {
        self.entries.iter_mut().filter_map(Option::take).for_each(Node::stop);
        self.agents.iter_mut().filter_map(Option::take).for_each(Node::stop);
        self.keepers.iter_mut().filter_map(Option::take).for_each(Node::stop);
    }
}

/// The tree with every agent in the claim view.
fn initial_tree(options: &ClusterOptions) -> String {
    let members: Vec<String> = (0..options.agents)
        .map(|number| format!("a{}@r{}", number + 1, number % options.racks + 1))
        .collect();
    let view = format!("[fleet]\nclaim_view = {}\n", members.join(" "));
    match options.tree.contains("[fleet]\n") {
        true => options.tree.replace("[fleet]\n", &view),
        false => format!("{}\n{view}", options.tree),
    }
}
