//! What a keeper says to nodes and operators.

use model::NodeName;
use serde::{Deserialize, Serialize};
use settings::{Edit, Tree};

use crate::{DocumentPart, PartRequest, WatchReply, WatchRequest};

/// A change of the settings tree as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's id of the change: a UUID. Sent again, it gets its first answer.
    pub change: String,
    /// The version that the operator saw.
    pub base_version: u64,
    /// The edits, taken together or not at all.
    pub edits: Vec<Edit>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeResult {
    /// Durable and in force from this version on.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// Others changed the same sections since the base version.
    Conflict {
        /// The version in force.
        version: u64,
        /// The sections that both touch.
        sections: Vec<String>,
    },
    /// The edits make no valid tree.
    Invalid {
        /// Section, key and reason.
        reason: String,
    },
}

/// Asks for settings newer than what a node has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The node that asks.
    pub node: NodeName,
    /// The version that it has; `None` for a node that has none yet.
    pub have: Option<u64>,
}

/// Settings for a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullReply {
    /// The node has the version in force.
    Current,
    /// The keeper can't tell: it is not the leader, or not sure to be.
    Unsure {
        /// The keeper that it takes for the leader.
        leader: Option<NodeName>,
    },
    /// The edits of the versions after the node's, in order.
    Delta {
        /// The version after them.
        version: u64,
        /// The edits, version by version.
        edits: Vec<Vec<Edit>>,
    },
    /// The whole tree.
    Snapshot {
        /// Its version.
        version: u64,
        /// The tree.
        tree: Tree,
    },
}

/// A message of one keeper to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Who sends it.
    pub from: NodeName,
    /// The message.
    pub message: consensus::Message,
}

/// A keeper's side of the connection from a node or another keeper.
#[tarpc::service]
pub trait KeeperService {
    /// Takes a message of another keeper; what it answers comes as a message of its own.
    async fn peer(message: PeerMessage);
    /// Waits a while for settings newer than the node's.
    async fn pull(request: PullRequest) -> PullReply;
    /// Registers a node, and waits a while for a newer document or other nodes.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// A part of the document; `None` where this keeper does not have that version.
    async fn document(request: PartRequest) -> Option<DocumentPart>;
}
