//! Identifiers of submissions, tasks and nodes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::{Uuid, Version};

use crate::Time;

/// The reason why a text is not a submission id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidSubmissionId {
    /// The text is not a UUID.
    #[error("a submission id is a UUID")]
    NotUuid,
    /// The UUID has a version other than 7.
    #[error("a submission id is a UUID of version 7")]
    NotVersion7,
}

/// The client-generated id of a submission: a UUID of version 7, which contains its creation time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmissionId(Uuid);

impl SubmissionId {
    /// Builds an id from its creation time, truncated to milliseconds, and the upper 80 bits of
    /// `random`, some of which the version and the variant of the UUID overwrite.
    pub fn from_parts(created_at: Time, random: u128) -> Self {
        let millis = created_at.as_micros() / 1_000;
        let bytes = random.to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &tail).into_uuid())
    }

    /// The creation time by the client's clock, to the millisecond.
    pub fn created_at(self) -> Time {
        let millis = (self.0.as_u128() >> 80) as u64;
        Time::from_millis(millis)
    }

    /// The 128 bits of the UUID.
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

/// Identifies an attempt to run a task of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// Index of the task in the submission, from 0.
    pub index: u32,
    /// Number of the placement attempt, from 0. A further attempt requires proof that the previous
    /// one did not run, unless the request is repeatable.
    pub attempt: u32,
    /// The incarnation of the entry for a repeatable request, which several entries may start.
    /// Otherwise 0, so that a task has the same key whichever entry starts it.
    pub origin: u64,
}

/// The name of a node (entry, agent or keeper), unique in the fleet.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeName(Arc<str>);

impl NodeName {
    /// Creates a name from text.
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

/// Identifies a process of a node among its restarts; chosen at process start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Identifies one process of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeRef {
    /// The name of the node.
    pub name: NodeName,
    /// The process among restarts of the node.
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
    fn submission_id_contains_its_creation_time() {
        let created_at = Time::from_millis(1_764_000_000_123);
        let id = SubmissionId::from_parts(created_at, 0x1234_5678_9abc_def0_1234_5678_9abc_def0);
        assert_eq!(id.created_at(), created_at);
        assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn only_uuids_of_version_7_are_accepted() {
        let version_4 = "6f1c3f6e-3d2a-4c1b-9a51-0d8f3c2b1a00";
        assert_eq!(version_4.parse::<SubmissionId>(), Err(InvalidSubmissionId::NotVersion7));
        assert_eq!("kiosk-17".parse::<SubmissionId>(), Err(InvalidSubmissionId::NotUuid));
    }
}
