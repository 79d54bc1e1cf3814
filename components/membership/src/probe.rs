//! Messages of the failure detector; each fits a datagram.

use model::NodeName;
use serde::{Deserialize, Serialize};

use crate::Update;

/// A message of the failure detector. Each carries a few updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an acknowledgement.
    Ping {
        /// Numbers the sender's pings.
        number: u64,
        /// News.
        updates: Vec<Update>,
    },
    /// Asks a node to ping another in the sender's place.
    PingFor {
        /// Numbers the sender's pings.
        number: u64,
        /// Whom to ping.
        target: NodeName,
        /// News.
        updates: Vec<Update>,
    },
    /// The receiver's ping, or the one made in its place, was answered.
    Ack {
        /// The ping's number.
        number: u64,
        /// News.
        updates: Vec<Update>,
    },
}

impl Message {
    /// The news that it carries.
    pub fn updates(&self) -> &[Update] {
        match self {
            Self::Ping { updates, .. }
            | Self::PingFor { updates, .. }
            | Self::Ack { updates, .. } => updates,
        }
    }
}
