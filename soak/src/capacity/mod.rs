//! Randomised runs of entries, agents and targets that have room.
//!
//! Like the runs of slots, a run is made by its seed alone, and nothing here decides anything for
//! dockpass: it carries messages between the libraries and checks what must always hold, by what
//! targets and clients see.

mod checks;
mod client;
mod commands;
mod documents;
mod entry_link;
mod fault_injection;
mod faults;
mod halls;
mod load;
mod processes;
mod session;
mod simulation;
mod submissions;
mod subsets;
mod target;
mod transport;
mod unstable_targets;

pub use checks::CapacitySummary;
pub use load::{Cut, Load, LoadResult, SlowLinks, Surge, Workload, run_load};

use crate::checks::Violation;
use crate::simulation::Options;

/// The times that entries and agents of a run keep to.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityTiming {
    /// Those of entries.
    pub entry: dispatch::Timing,
    /// Those of agents.
    pub agent: runner::Timing,
    /// The parts of an entry's policy that are in force.
    pub policy: dispatch::Policy,
}

/// Runs one seed to its end.
pub fn run_capacity(options: &Options) -> Result<CapacitySummary, Vec<Violation>> {
    run_capacity_with(options, CapacityTiming::default())
}

/// Runs one seed to its end, with other times than the default ones.
pub fn run_capacity_with(
    options: &Options,
    timing: CapacityTiming,
) -> Result<CapacitySummary, Vec<Violation>> {
    simulation::Simulation::new(options, timing).run()
}
