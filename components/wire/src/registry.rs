//! How nodes register at keepers, and what they learn there.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{Incarnation, NodeName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::EmptiedHalls;

/// What a registered node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeRole {
    /// Takes requests of callers.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// A node as it registers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Its name, unique in the fleet.
    pub name: NodeName,
    /// What it does.
    pub role: NodeRole,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// The service that an agent's target takes work of; empty for an entry.
    pub service: Arc<str>,
}

/// A keeper has started and calls a node that it knew before, in a datagram of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStarted {
    /// Where nodes reach it.
    pub keeper: SocketAddr,
}

/// Asks a keeper for news, and registers the node there for a few seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The node that asks.
    pub node: NodeInfo,
    /// The version of the document that this keeper has told it of; 0 for none.
    pub document: u64,
    /// The revision of this keeper's list of nodes that it has, 0 for none; `None` where it takes the list of others.
    pub revision: Option<u64>,
    /// The revision of the emptied halls that this keeper has told it of; 0 for none.
    pub halls: u64,
    /// The digest of the keepers that this keeper has named to it; 0 for none.
    pub keepers: u64,
}

/// The entries that are registered at one keeper. Agents are not listed: whoever looks for a node
/// looks for an entry, and agents are by far the most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeList {
    /// Told apart at this keeper only.
    pub revision: u64,
    /// The entries.
    pub nodes: Vec<NodeInfo>,
}

impl NodeList {
    /// Takes what has changed.
    pub fn apply(&mut self, change: NodeListDelta) {
        let NodeListDelta { revision, upserted, removed } = change;
        let is_put = |node: &NodeInfo| upserted.iter().any(|other| other.name == node.name);
        self.nodes.retain(|node| !removed.contains(&node.name) && !is_put(node));
        self.nodes.extend(upserted);
        self.nodes.sort_by(|a, b| a.name.cmp(&b.name));
        self.revision = revision;
    }
}

/// What has changed in a list since the revision that a node has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeListDelta {
    /// The revision that this leads to.
    pub revision: u64,
    /// Entries that have come, or are no longer what they were.
    #[serde(rename = "put")]
    pub upserted: Vec<NodeInfo>,
    /// Entries that are no longer listed.
    #[serde(rename = "gone")]
    pub removed: Vec<NodeName>,
}

/// What a node is told of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeListUpdate {
    /// All of it.
    #[serde(rename = "Whole")]
    Snapshot(NodeList),
    /// What has changed.
    #[serde(rename = "Change")]
    Delta(NodeListDelta),
}

impl NodeListUpdate {
    /// The revision that it leads to.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Snapshot(list) => list.revision,
            Self::Delta(change) => change.revision,
        }
    }
}

/// A keeper's news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The version of the document in force here, which is committed; 0 for none.
    pub version: u64,
    /// The entries, where the list is another than the node's.
    pub nodes: Option<NodeListUpdate>,
    /// The halls that are emptied, where this is newer than what the node has from this keeper.
    pub halls: Option<EmptiedHalls>,
    /// Nodes of the same role and service as the node that asks, itself included.
    pub peers: u32,
    /// The keepers that vote, where they are others than those that the node was told of.
    pub keepers: Option<KeeperNames>,
}

/// Keepers, by the addresses that they are named by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperNames(pub Vec<NodeName>);

impl KeeperNames {
    /// Tells these names from others; never 0.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for name in &self.0 {
            hasher.update(name.as_str().as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest().max(1)
    }
}
