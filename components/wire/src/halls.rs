//! Data halls that operators have emptied. Targets of an emptied hall get no new work until it is
//! refilled.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name of a hall, in bytes; the limit of a DNS label, which hall names usually are.
const HALL_NAME_BYTES_MAX: usize = 63;

/// The text is not a valid hall name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a hall's name has 1 to {HALL_NAME_BYTES_MAX} letters, digits, '-', '_' or '.'")]
pub struct InvalidHallName;

/// The validated name of a data hall.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HallName(Arc<str>);

impl HallName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for HallName {
    type Err = InvalidHallName;

    fn from_str(name: &str) -> Result<Self, InvalidHallName> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let has_valid_length = (1..=HALL_NAME_BYTES_MAX).contains(&name.len());
        match has_valid_length && name.bytes().all(is_allowed) {
            true => Ok(Self(Arc::from(name))),
            false => Err(InvalidHallName),
        }
    }
}

impl fmt::Display for HallName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An operator's command to empty or refill a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCommand {
    /// The hall.
    pub hall: HallName,
    /// Whether the targets of the hall may take new work: `false` empties it, `true` refills it.
    pub takes_work: bool,
}

/// The set of emptied halls that the keepers have committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptiedHalls {
    /// Rises with each change; equal revisions mean equal sets on all nodes. 0 before the first
    /// command.
    pub revision: u64,
    /// The names of the emptied halls.
    pub halls: BTreeSet<HallName>,
}

impl EmptiedHalls {
    /// Applies a command; returns whether the set has changed.
    pub fn apply(&mut self, command: HallCommand) -> bool {
        let changed = match command.takes_work {
            true => self.halls.remove(&command.hall),
            false => self.halls.insert(command.hall),
        };
        self.revision += u64::from(changed);
        changed
    }

    /// Replaces the set with a newer revision; returns whether `other` was newer. A delayed message
    /// never reverts a newer command.
    pub fn update(&mut self, other: &Self) -> bool {
        let newer = other.revision > self.revision;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Whether a hall is emptied.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.iter().any(|emptied| emptied.as_str() == hall)
    }
}

impl fmt::Display for EmptiedHalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.halls.iter().map(HallName::as_str).collect();
        f.write_str(&names.join(" "))
    }
}
