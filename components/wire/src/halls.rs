//! Data halls that operators have emptied: their targets get no new work until the hall is refilled.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name of a hall, in bytes: that of a DNS label, which the names of halls usually are.
const HALL_NAME_BYTES: usize = 63;

/// Not the name of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a hall's name has 1 to {HALL_NAME_BYTES} letters, digits, '-', '_' or '.'")]
pub struct InvalidHallName;

/// The name of a data hall in an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HallName(Arc<str>);

impl HallName {
    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for HallName {
    type Err = InvalidHallName;

    fn from_str(name: &str) -> Result<Self, InvalidHallName> {
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fits = (1..=HALL_NAME_BYTES).contains(&name.len());
        match fits && name.bytes().all(is_plain) {
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

/// An operator's order for one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCommand {
    /// The hall.
    pub hall: HallName,
    /// Whether its targets are to take new work.
    pub takes_work: bool,
}

/// The halls that are emptied, as keepers have agreed on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptiedHalls {
    /// Rises with each change; the same number means the same halls everywhere. 0 before the first order.
    pub revision: u64,
    /// Their names.
    pub halls: BTreeSet<HallName>,
}

impl EmptiedHalls {
    /// Carries an order out; returns whether it changes anything.
    pub fn apply(&mut self, order: HallCommand) -> bool {
        let changes = match order.takes_work {
            true => self.halls.remove(&order.hall),
            false => self.halls.insert(order.hall),
        };
        self.revision += u64::from(changes);
        changes
    }

    /// Takes the newer of two; returns whether that is the other one. Nothing falls back to an older order,
    /// however late a message comes.
    pub fn update(&mut self, other: &Self) -> bool {
        let newer = other.revision > self.revision;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Whether a hall gets no new work.
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
