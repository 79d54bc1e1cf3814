//! The daemon's configuration file (INI): the node's name, roles and addresses.

mod check;
mod keys;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use membership::Role;
use model::NodeName;
use net::ClientLimits;
use settings::{SettingsError, Value, parse_ini};
use subset::SubsetSizes;
use thiserror::Error;

pub use keys::print_reference;
use keys::{AGENT, ENTRY, EXPERIMENT, KEEPER, NODE, Sections};

const BYTES_PER_MB: u64 = 1 << 20;

/// Why the configuration file can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[error("{file}: {source}")]
    Invalid {
        /// The path of the file.
        file: String,
        /// The section, the key and the reason.
        #[source]
        source: SettingsError,
    },
}

/// How the free capacity of targets is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheduling {
    /// As a number of equal slots (`slots`).
    Slots,
    /// As processor, memory and accelerator capacity (`room`).
    Capacity,
}

/// The configuration of a node, independent of its roles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// The name, unique in the fleet.
    pub name: NodeName,
    /// The roles of the node.
    pub roles: Vec<Role>,
    /// The node's data hall.
    pub hall: String,
    /// The node's rack.
    pub rack: String,
    /// The addresses on which keepers listen for nodes. With capacity scheduling, `node_port`
    /// replaces their ports.
    pub keepers: Vec<SocketAddr>,
    /// The source of the platform's host list: `file:PATH` or `http://IP:PORT/PATH`.
    pub platform: String,
    /// How often the host list is read.
    pub platform_poll_interval: Duration,
    /// How the free capacity of targets is measured.
    pub scheduling: Scheduling,
    /// With capacity scheduling: the port on which keepers listen for nodes.
    pub node_port: u16,
    /// With capacity scheduling: the address on which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// With capacity scheduling: how long the platform waits after SIGTERM before it kills the
    /// process.
    pub stop_grace: Duration,
    /// The folder of the logs; without it, the log goes to standard error and decisions are not
    /// logged.
    pub logs: Option<PathBuf>,
    /// How often the counters are logged.
    pub counters_interval: Duration,
    /// Limits on the clients of all servers of the process.
    pub client_limits: ClientLimits,
    /// With capacity scheduling: maximum number of values in the body of a job or a target's report.
    pub max_body_values: usize,
}

/// The configuration of the entry role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryConfig {
    /// The address on which the entry listens for callers.
    pub listen: SocketAddr,
    /// With capacity scheduling: the address on which the load balancer checks readiness.
    pub ready_listen: Option<SocketAddr>,
    /// The address on which the entry listens for other entries or, with capacity scheduling,
    /// agents.
    pub peer_listen: SocketAddr,
    /// With capacity scheduling: the address that agents connect to, if other than `peer_listen`.
    pub peer_address: Option<SocketAddr>,
    /// How long the entry still accepts requests after it reports that it is not ready.
    pub drain_notice: Duration,
    /// With capacity scheduling: factor on the run time of a task away from the data that its job
    /// names, in thousandths.
    pub remote_penalty_milli: u64,
    /// With capacity scheduling: the enabled parts of the policy.
    pub policy: dispatch::Policy,
    /// With slots: maximum size of kept answers and refusals, in bytes.
    pub max_kept_bytes: usize,
    /// With capacity scheduling: maximum number of tasks of a job.
    pub max_job_tasks: u32,
}

/// The configuration of the agent role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// The address on which the agent listens for entries or, with capacity scheduling, its target.
    pub listen: SocketAddr,
    /// The address of the agent's target.
    pub target: SocketAddr,
    /// The service that the target runs tasks for.
    pub service: String,
    /// How many tasks the target runs at once.
    pub slots: u32,
    /// How long the target may take to answer a task.
    pub task_timeout: Duration,
    /// With capacity scheduling: how many entries the agent serves.
    pub subset_sizes: SubsetSizes,
    /// With capacity scheduling: the longest lease that the target grants.
    pub max_lease: Duration,
}

/// The configuration of the keeper role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperConfig {
    /// The address on which the keeper listens for operators.
    pub listen: SocketAddr,
    /// The address on which the keeper listens for nodes and other keepers.
    pub node_listen: SocketAddr,
    /// The folder of the keeper's persistent data.
    pub data: PathBuf,
    /// The INI file with the initial settings tree of a new cluster.
    pub initial: Option<PathBuf>,
    /// With capacity scheduling: whether to create a new cluster if the disk is empty (`found`).
    pub create_cluster: bool,
    /// With capacity scheduling: how many keepers may fail at once.
    pub tolerated_losses: usize,
    /// With capacity scheduling: how long a hall command may be in transit.
    pub hall_command_lifetime: Duration,
    /// The keepers of the cluster with their addresses for nodes; empty for a single keeper.
    pub peers: Vec<(NodeName, SocketAddr)>,
}

impl KeeperConfig {
    /// Returns the names of all keepers of the cluster, including this one.
    pub fn members(&self, own: &NodeName) -> Vec<NodeName> {
        if self.peers.is_empty() {
            return vec![own.clone()];
        }
        self.peers.iter().map(|(name, _)| name.clone()).collect()
    }
}

/// A checked configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The configuration of the node.
    pub node: NodeConfig,
    /// The configuration of the entry, if the node has that role.
    pub entry: Option<EntryConfig>,
    /// The configuration of the agent, if the node has that role.
    pub agent: Option<AgentConfig>,
    /// The configuration of the keeper, if the node has that role.
    pub keeper: Option<KeeperConfig>,
    sections: Sections,
}

impl Config {
    /// Reads and checks a file. An environment variable `DOCKPASS_SECTION_KEY` overrides the key of
    /// that section.
    pub fn load(path: &std::path::Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { file: file.clone(), source })?;
        Self::from_ini_and_environment(&text, |name| std::env::var(name).ok())
            .map_err(|source| ConfigError::Invalid { file, source })
    }

    /// Reads and checks INI text.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        Self::from_ini_and_environment(text, |_| None)
    }

    /// Reads and checks INI text with the values of the environment variables that `variable`
    /// returns. An empty value counts as not given.
    pub fn from_ini_and_environment(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut written = parse_ini(text)?;
        keys::override_values(&mut written, variable);
        let sections = Sections::read(written)?;
        let node = read_node(&sections)?;
        let has_role = |role| node.roles.contains(&role);
        let config = Self {
            entry: has_role(Role::Entry).then(|| read_entry(&sections)).transpose()?,
            agent: has_role(Role::Agent).then(|| read_agent(&sections)).transpose()?,
            keeper: has_role(Role::Keeper).then(|| read_keeper(&sections)).transpose()?,
            node,
            sections,
        };
        check::check(&config)?;
        Ok(config)
    }

    /// Returns the settings of the node's roles as INI, including the defaults.
    pub fn effective_settings(&self) -> String {
        self.sections.effective_settings(&self.node.roles)
    }
}

fn read_node(sections: &Sections) -> Result<NodeConfig, SettingsError> {
    let text = |key| sections.value(NODE, key).map(|value| value.text().to_owned());
    let duration =
        |key| sections.value(NODE, key).map(|value| Duration::from_millis(value.integer()));
    let name = sections.required(NODE, "name")?;
    let mut roles = Vec::new();
    for word in sections.required(NODE, "roles")?.text().split_whitespace() {
        roles.push(read_role(word)?);
    }
    let logs = text("logs")?;
    Ok(NodeConfig {
        name: NodeName::new(name.text()),
        roles,
        hall: text("hall")?,
        rack: text("rack")?,
        keepers: sections.value(NODE, "keepers")?.addresses().to_vec(),
        platform: text("platform")?,
        platform_poll_interval: duration("platform_poll_ms")?,
        scheduling: match sections.value(NODE, "scheduling")?.text() {
            "room" => Scheduling::Capacity,
            _ => Scheduling::Slots,
        },
        node_port: u16::try_from(sections.value(NODE, "node_port")?.integer()).unwrap_or(0),
        metrics: read_optional_address(sections, NODE, "metrics")?,
        stop_grace: sections.value(NODE, "stop_grace_s")?.duration(),
        logs: (!logs.is_empty()).then(|| PathBuf::from(logs)),
        counters_interval: duration("counters_every_ms")?,
        client_limits: ClientLimits {
            memory_bytes: memory_share(sections, NODE, "client_memory_percent")?,
            stall_timeout: duration("client_stall_ms")?,
            answer_timeout: duration("answer_timeout_ms")?,
            large_body_interval: duration("large_body_interval_ms")?,
        },
        max_body_values: sections.value(NODE, "max_body_values")?.integer() as usize,
    })
}

/// Returns a share of the host's memory that a key names in percent, in bytes.
fn memory_share(sections: &Sections, section: &str, key: &str) -> Result<u64, SettingsError> {
    let memory_mb = sections.value(NODE, "memory_mb")?.integer();
    let percent = sections.value(section, key)?.integer();
    Ok(memory_mb * BYTES_PER_MB * percent / 100)
}

fn read_role(word: &str) -> Result<Role, SettingsError> {
    match word {
        "entry" => Ok(Role::Entry),
        "agent" => Ok(Role::Agent),
        "keeper" => Ok(Role::Keeper),
        _ => {
            let reason = format!("'{word}' is none of: entry, agent, keeper");
            Err(SettingsError::key(NODE, "roles", reason))
        }
    }
}

fn read_entry(sections: &Sections) -> Result<EntryConfig, SettingsError> {
    let notice = sections.value(ENTRY, "drain_notice_ms")?.integer();
    Ok(EntryConfig {
        listen: read_address(sections, ENTRY, "listen")?,
        ready_listen: read_optional_address(sections, ENTRY, "ready_listen")?,
        peer_listen: read_address(sections, ENTRY, "peer_listen")?,
        peer_address: read_optional_address(sections, ENTRY, "peer_address")?,
        drain_notice: Duration::from_millis(notice),
        remote_penalty_milli: sections.value(ENTRY, "remote_penalty")?.thousandths(),
        policy: read_policy(sections)?,
        max_kept_bytes: memory_share(sections, ENTRY, "kept_answers_percent")? as usize,
        max_job_tasks: sections.value(ENTRY, "max_job_tasks")?.integer() as u32,
    })
}

/// Returns the default policy without the parts that an experiment disables.
fn read_policy(sections: &Sections) -> Result<dispatch::Policy, SettingsError> {
    let mut policy = dispatch::Policy::default();
    for part in sections.value(EXPERIMENT, "without")?.text().split_whitespace() {
        if !policy.disable(part) {
            let reason = format!("the policy has no part '{part}'");
            return Err(SettingsError::key(EXPERIMENT, "without", reason));
        }
    }
    Ok(policy)
}

fn read_agent(sections: &Sections) -> Result<AgentConfig, SettingsError> {
    let slots = sections.value(AGENT, "slots")?.integer();
    let task_timeout = sections.value(AGENT, "stuck_ms")?.integer();
    let max_lease = sections.value(AGENT, "longest_lease_ms")?.integer();
    let subset_sizes = SubsetSizes {
        entries_of_agent: sections.value(AGENT, "entries_served")?.integer() as usize,
        agents_of_entry: sections.value(AGENT, "agents_of_entry")?.integer() as usize,
    };
    Ok(AgentConfig {
        listen: read_address(sections, AGENT, "listen")?,
        target: read_address(sections, AGENT, "target")?,
        service: sections.required(AGENT, "service")?.text().to_owned(),
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        task_timeout: Duration::from_millis(task_timeout),
        subset_sizes,
        max_lease: Duration::from_millis(max_lease),
    })
}

fn read_keeper(sections: &Sections) -> Result<KeeperConfig, SettingsError> {
    let initial = sections.value(KEEPER, "initial")?.text().to_owned();
    let hall_command_lifetime = sections.value(KEEPER, "hall_command_lifetime_ms")?.integer();
    Ok(KeeperConfig {
        listen: read_address(sections, KEEPER, "listen")?,
        node_listen: read_address(sections, KEEPER, "node_listen")?,
        data: PathBuf::from(sections.required(KEEPER, "data")?.text()),
        initial: (!initial.is_empty()).then(|| PathBuf::from(initial)),
        create_cluster: sections.value(KEEPER, "found")?.flag(),
        tolerated_losses: sections.value(KEEPER, "tolerated_losses")?.integer() as usize,
        hall_command_lifetime: Duration::from_millis(hall_command_lifetime),
        peers: read_peers(sections)?,
    })
}

/// Parses a list of keepers as `NAME@IP:PORT`.
fn read_peers(sections: &Sections) -> Result<Vec<(NodeName, SocketAddr)>, SettingsError> {
    let mut peers = Vec::new();
    for word in sections.value(KEEPER, "peers")?.list() {
        let parsed = word.split_once('@').and_then(|(name, address)| {
            let address: SocketAddr = address.parse().ok()?;
            Some((NodeName::new(name), address))
        });
        match parsed {
            Some(peer) => peers.push(peer),
            None => {
                let reason = format!("'{word}' is not NAME@IP:PORT");
                return Err(SettingsError::key(KEEPER, "peers", reason));
            }
        }
    }
    Ok(peers)
}

/// Parses `IP:PORT`; `None` if the value is empty.
fn read_optional_address(
    sections: &Sections,
    section: &str,
    key: &str,
) -> Result<Option<SocketAddr>, SettingsError> {
    let value = sections.value(section, key)?;
    let text = value.text();
    if text.is_empty() {
        return Ok(None);
    }
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(SettingsError::key(section, key, format!("'{text}' is not IP:PORT"))),
    }
}

fn read_address(
    sections: &Sections,
    section: &str,
    key: &str,
) -> Result<SocketAddr, SettingsError> {
    match sections.required(section, key)? {
        Value::Address(address) => Ok(address),
        _ => Err(SettingsError::key(section, key, "not an address")),
    }
}
