//! Messages of the failure detector. Each fits in one datagram.

use model::NodeName;
use serde::{Deserialize, Serialize};

use crate::Update;

/// A message of the failure detector with piggybacked membership updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an acknowledgement.
    Ping {
        /// Sequence number of the ping, assigned by the sender.
        number: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Requests an indirect probe: the receiver pings `target` on behalf of the sender.
    PingFor {
        /// Sequence number of the ping, assigned by the sender.
        number: u64,
        /// The node to ping.
        target: NodeName,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Acknowledges a ping of the receiver, or an indirect probe that it requested.
    Ack {
        /// The number of the acknowledged ping.
        number: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
}

impl Message {
    /// Returns the piggybacked updates.
    pub fn updates(&self) -> &[Update] {
        match self {
            Self::Ping { updates, .. }
            | Self::PingFor { updates, .. }
            | Self::Ack { updates, .. } => updates,
        }
    }
}
