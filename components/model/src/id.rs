//! Names of nodes, submissions and tasks.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::{Uuid, Version};

use crate::Time;

/// Why a text is no submission id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidSubmissionId {
    /// Not a UUID at all.
    #[error("a submission id is a UUID")]
    NotUuid,
    /// A UUID of another version.
    #[error("a submission id is a UUID of version 7")]
    NotVersion7,
}

/// The client-made id of a submission: a UUID of version 7, so it carries its time of making.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmissionId(Uuid);

impl SubmissionId {
    /// Makes an id from its time of making and random bits.
    pub fn from_parts(made: Time, random: u128) -> Self {
        let millis = made.as_micros() / 1_000;
        let bytes = random.to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &tail).into_uuid())
    }

    /// When the client says that it made the id, to the millisecond.
    pub fn created_at(self) -> Time {
        let millis = (self.0.as_u128() >> 80) as u64;
        Time::from_millis(millis)
    }

    /// The id's bits, for hashing.
    pub fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl FromStr for SubmissionId {
    type Err = InvalidSubmissionId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(text).map_err(|_| InvalidSubmissionId::NotUuid)?;
        match uuid.get_version() {
            Some(Version::SortRand) => Ok(Self(uuid)),
            _ => Err(InvalidSubmissionId::NotVersion7),
        }
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One task of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The submission the task belongs to.
    pub submission: SubmissionId,
    /// Its place in the submission, from 0.
    pub index: u32,
    /// Which try to place it this is, from 0. A later try needs proof that the one before did not
    /// run, except for repeatable requests.
    pub attempt: u32,
    /// For repeatable requests, which several entries may start: the incarnation of the entry. 0
    /// for all else, so that the same task has the same key whoever starts it.
    pub origin: u64,
}

/// The name of a node (an entry, an agent or a keeper), unique in the fleet.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeName(Arc<str>);

impl NodeName {
    /// A name from text.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A number drawn at each start of a process; tells one life of a node from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One life of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeRef {
    /// The node.
    pub name: NodeName,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn submission_keeps_its_time() {
        let made = Time::from_millis(1_764_000_000_123);
        let id = SubmissionId::from_parts(made, 0x1234_5678_9abc_def0_1234_5678_9abc_def0);
        assert_eq!(id.created_at(), made);
        assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn other_versions_are_refused() {
        let version_4 = "6f1c3f6e-3d2a-4c1b-9a51-0d8f3c2b1a00";
        assert_eq!(version_4.parse::<SubmissionId>(), Err(InvalidSubmissionId::NotVersion7));
        assert_eq!("kiosk-17".parse::<SubmissionId>(), Err(InvalidSubmissionId::NotUuid));
    }
}
