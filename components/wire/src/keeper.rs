//! Messages between keepers, and from nodes and operators to keepers.

use model::NodeName;
use serde::{Deserialize, Serialize};
use settings::{Edit, Tree};

use crate::{DocumentPart, PartRequest, WatchReply, WatchRequest};

/// An operator's change to the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's id of the change, a UUID. A change that is sent again gets the result of the
    /// first attempt.
    pub change: String,
    /// The version that the edits are based on.
    pub base_version: u64,
    /// The edits, applied atomically.
    pub edits: Vec<Edit>,
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeResult {
    /// The change is durable and in force.
    Accepted {
        /// The version that the change created.
        version: u64,
    },
    /// Another change has modified the same sections since the base version, or the keeper does not
    /// have that version.
    Conflict {
        /// The version in force.
        version: u64,
        /// The sections that both changes modify; every edited section if the base version is too
        /// old to compare.
        sections: Vec<String>,
    },
    /// The edited tree would not be valid.
    Invalid {
        /// The section, the key and what is wrong with the value.
        reason: String,
    },
}

/// Requests settings that are newer than the node's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The requesting node.
    pub node: NodeName,
    /// The version that the node has; `None` before it has received any.
    pub have: Option<u64>,
}

/// The reply to a request for settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullReply {
    /// The node has the version in force.
    Current,
    /// The keeper is not the leader, or can't confirm that it still is.
    Unsure {
        /// The keeper believed to be the leader.
        leader: Option<NodeName>,
    },
    /// The edits since the node's version.
    Delta {
        /// The version after the edits.
        version: u64,
        /// The edits of each version, oldest version first.
        edits: Vec<Vec<Edit>>,
    },
    /// All settings, for a node that has none, or whose delta is no longer available or would be
    /// too large.
    Snapshot {
        /// The version of the tree.
        version: u64,
        /// The whole settings tree.
        tree: Tree,
    },
}

/// A consensus message from one keeper to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sending keeper.
    pub from: NodeName,
    /// The consensus message.
    pub message: consensus::Message,
}

/// The calls that a keeper serves to nodes and other keepers.
#[tarpc::service]
pub trait KeeperService {
    /// Delivers a message of another keeper; any response is sent as a separate call.
    async fn peer(message: PeerMessage);
    /// Long poll for settings that are newer than the node's.
    async fn pull(request: PullRequest) -> PullReply;
    /// Registers a node and long-polls for a newer document, node list, set of halls or set of
    /// keepers.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// Returns a part of the document; `None` if this keeper does not have the version.
    async fn document(request: PartRequest) -> Option<DocumentPart>;
}
