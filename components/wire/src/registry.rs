//! Registration of nodes at keepers, and the state that keepers distribute to them.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{Incarnation, NodeName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::EmptiedHalls;

/// The role of a registered node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeRole {
    /// Accepts requests from callers.
    Entry,
    /// Runs next to a target and passes tasks to it.
    Agent,
}

/// The registration of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The node's name, unique in the fleet.
    pub name: NodeName,
    /// The node's role.
    pub role: NodeRole,
    /// The address at which other nodes reach it.
    pub address: SocketAddr,
    /// Identifies the running process among restarts of the node.
    pub incarnation: Incarnation,
    /// The service of an agent's target; empty for an entry.
    pub service: Arc<str>,
}

/// Datagram by which a restarted keeper asks the nodes that it has stored to register again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStarted {
    /// The address at which nodes reach the keeper.
    pub keeper: SocketAddr,
}

/// Long poll for state that is newer than the node's; also registers the node at the keeper for a
/// few seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The registration of the polling node.
    pub node: NodeInfo,
    /// The latest document version that this keeper has announced to the node; 0 for none.
    pub document: u64,
    /// The revision of this keeper's node list that the node has, 0 for none; `None` if it follows
    /// another keeper's list.
    pub revision: Option<u64>,
    /// The latest revision of the emptied halls that this keeper has sent to the node; 0 for none.
    pub halls: u64,
    /// The digest of the voting keepers that this keeper has sent to the node; 0 for none.
    pub keepers: u64,
}

/// The entries that are registered at one keeper. Agents are far more numerous and never looked up,
/// so they are not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeList {
    /// Rises with each change; comparable only between lists of the same keeper.
    pub revision: u64,
    /// The entries, sorted by name.
    pub nodes: Vec<NodeInfo>,
}

impl NodeList {
    /// Applies a delta that starts at the revision of this list.
    pub fn apply(&mut self, delta: NodeListDelta) {
        let NodeListDelta { revision, upserted, removed } = delta;
        let is_upserted = |node: &NodeInfo| upserted.iter().any(|other| other.name == node.name);
        self.nodes.retain(|node| !removed.contains(&node.name) && !is_upserted(node));
        self.nodes.extend(upserted);
        self.nodes.sort_by(|a, b| a.name.cmp(&b.name));
        self.revision = revision;
    }
}

/// The changes to a node list since a node's revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeListDelta {
    /// The revision of the list after the changes.
    pub revision: u64,
    /// Entries that were added or have changed.
    #[serde(rename = "put")]
    pub upserted: Vec<NodeInfo>,
    /// Names of the entries that are no longer listed.
    #[serde(rename = "gone")]
    pub removed: Vec<NodeName>,
}

/// An update of a node's copy of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeListUpdate {
    /// The whole list.
    #[serde(rename = "Whole")]
    Snapshot(NodeList),
    /// The changes since the node's revision.
    #[serde(rename = "Change")]
    Delta(NodeListDelta),
}

impl NodeListUpdate {
    /// The revision of the list after the update.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Snapshot(list) => list.revision,
            Self::Delta(delta) => delta.revision,
        }
    }
}

/// A keeper's reply to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The version of the committed document at this keeper; 0 for none.
    pub version: u64,
    /// The update of the node list; `None` if the node's revision is current or the node follows
    /// another keeper's list.
    pub nodes: Option<NodeListUpdate>,
    /// The emptied halls; `None` if the node has this revision from this keeper.
    pub halls: Option<EmptiedHalls>,
    /// The number of nodes with the role and service of the polling node, itself included.
    pub peers: u32,
    /// The voting keepers; `None` if the node's digest matches.
    pub keepers: Option<KeeperNames>,
}

/// The voting keepers, named by their addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperNames(pub Vec<NodeName>);

impl KeeperNames {
    /// A hash of the names; never 0, which stands for no names.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for name in &self.0 {
            hasher.update(name.as_str().as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest().max(1)
    }
}
