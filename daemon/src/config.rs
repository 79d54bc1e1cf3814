//! The daemon's own INI file: who it is, which roles it plays, where it listens.

mod check;
mod keys;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use membership::Role;
use model::NodeName;
use settings::{SettingsError, Value, parse_ini};
use subset::Sizes;
use thiserror::Error;

pub use keys::print_reference;
use keys::{AGENT, ENTRY, EXPERIMENT, KEEPER, NODE, Sections};

/// Why the file can't be used: file, section, key and reason.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// A setting can't be taken.
    #[error("{file}: {source}")]
    Refused {
        /// The file.
        file: String,
        /// Where and why.
        #[source]
        source: SettingsError,
    },
}

/// What targets have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheduling {
    /// Slots, all alike.
    Slots,
    /// Room of processor, memory and accelerators.
    Capacity,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// Its name.
    pub name: NodeName,
    /// The roles it plays.
    pub roles: Vec<Role>,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
    /// Keepers to take settings from.
    pub keepers: Vec<SocketAddr>,
    /// The platform's list: `file:PATH` or `http://IP:PORT/PATH`.
    pub platform: String,
    /// How often the list is read.
    pub platform_poll_interval: Duration,
    /// What targets have.
    pub scheduling: Scheduling,
    /// With room: the port at which keepers listen for nodes.
    pub node_port: u16,
    /// With room: where counters are served.
    pub metrics: Option<SocketAddr>,
    /// With room: how long the platform waits from the request to stop until it ends the process.
    pub stop_grace: Duration,
    /// Folder of the logs; standard error and no decision log where there is none.
    pub logs: Option<PathBuf>,
    /// How often the counters are logged.
    pub counters_interval: Duration,
}

/// The entry's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryConfig {
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// With room: where the balancer asks whether it is ready.
    pub ready_listen: Option<SocketAddr>,
    /// Where other entries, with room agents, reach it.
    pub peer_listen: SocketAddr,
    /// With room: where agents are told to reach it, if not there.
    pub peer_address: Option<SocketAddr>,
    /// How long it goes on taking requests after it said that it is not ready.
    pub drain_notice: Duration,
    /// With room: the parts of the policy that are in force.
    pub policy: dispatch::Policy,
}

/// The agent's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// Where entries reach it.
    pub listen: SocketAddr,
    /// Its target.
    pub target: SocketAddr,
    /// The service that the target takes work of.
    pub service: String,
    /// Tasks that the target takes at once.
    pub slots: u32,
    /// After this a task that the target does not answer is given up.
    pub task_timeout: Duration,
    /// With room: how many entries it serves.
    pub subset_sizes: Sizes,
    /// With room: the longest lease that the target grants.
    pub max_lease: Duration,
}

/// The keeper's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperConfig {
    /// Where operators reach it.
    pub listen: SocketAddr,
    /// Where nodes and other keepers reach it.
    pub node_listen: SocketAddr,
    /// The folder that lasts.
    pub data: PathBuf,
    /// The tree that a new cluster begins with.
    pub initial: Option<PathBuf>,
    /// With room: begins a new cluster on an empty disk.
    pub create_cluster: bool,
    /// With room: keepers that may be lost at once.
    pub tolerated_losses: usize,
    /// Every keeper of the cluster with its address for nodes; none for a single keeper.
    pub peers: Vec<(NodeName, SocketAddr)>,
}

impl KeeperConfig {
    /// The names of every keeper of the cluster, this one included.
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
    /// Who the node is.
    pub node: NodeConfig,
    /// The entry's part, where it plays that role.
    pub entry: Option<EntryConfig>,
    /// The agent's part, where it plays that role.
    pub agent: Option<AgentConfig>,
    /// The keeper's part, where it plays that role.
    pub keeper: Option<KeeperConfig>,
    sections: Sections,
}

impl Config {
    /// Reads and checks a file.
    pub fn load(path: &std::path::Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { file: file.clone(), source })?;
        Self::from_ini(&text).map_err(|source| ConfigError::Refused { file, source })
    }

    /// Reads and checks INI text.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let sections = Sections::read(parse_ini(text)?)?;
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

    /// The settings in force, as INI: what was written and the defaults.
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
        stop_grace: sections.value(NODE, "stop_grace_s")?.time(),
        logs: (!logs.is_empty()).then(|| PathBuf::from(logs)),
        counters_interval: duration("counters_every_ms")?,
    })
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
        policy: read_policy(sections)?,
    })
}

/// The policy, less the parts that an experiment switches off.
fn read_policy(sections: &Sections) -> Result<dispatch::Policy, SettingsError> {
    let mut policy = dispatch::Policy::default();
    for part in sections.value(EXPERIMENT, "without")?.text().split_whitespace() {
        if !policy.disable(part) {
            let reason = format!("'{part}' is no part of the policy");
            return Err(SettingsError::key(EXPERIMENT, "without", reason));
        }
    }
    Ok(policy)
}

fn read_agent(sections: &Sections) -> Result<AgentConfig, SettingsError> {
    let slots = sections.value(AGENT, "slots")?.integer();
    let task_timeout = sections.value(AGENT, "stuck_ms")?.integer();
    let max_lease = sections.value(AGENT, "longest_lease_ms")?.integer();
    let subset_sizes = Sizes {
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
    Ok(KeeperConfig {
        listen: read_address(sections, KEEPER, "listen")?,
        node_listen: read_address(sections, KEEPER, "node_listen")?,
        data: PathBuf::from(sections.required(KEEPER, "data")?.text()),
        initial: (!initial.is_empty()).then(|| PathBuf::from(initial)),
        create_cluster: sections.value(KEEPER, "found")?.flag(),
        tolerated_losses: sections.value(KEEPER, "tolerated_losses")?.integer() as usize,
        peers: read_peers(sections)?,
    })
}

/// Reads keepers as `NAME@IP:PORT`.
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

/// Reads `IP:PORT` where it is written.
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
