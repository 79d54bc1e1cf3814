//! What a task takes of a worker, and what a worker has.

use std::fmt;
use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether this amount fits into another.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli && self.memory_mb <= room.memory_mb && self.gpu <= room.gpu
    }

    /// What is left after taking an amount; nothing where it is larger.
    pub fn saturating_sub(&self, taken: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(taken.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            gpu: self.gpu.saturating_sub(taken.gpu),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.gpu += other.gpu;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}gpu", self.cpu_milli, self.memory_mb, self.gpu)
    }
}
