//! Resource requirements of tasks and capacities of targets.

use std::fmt;
use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether this amount fits into the free capacity, in every dimension.
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_milli <= free.cpu_milli && self.memory_mb <= free.memory_mb && self.gpu <= free.gpu
    }

    /// Subtracts an amount; each dimension saturates at zero.
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
