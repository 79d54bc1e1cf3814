//! Randomised runs of entries, agents and targets with scheduling by reported capacity.
//!
//! A run is determined by its seed. The harness only carries messages between the libraries, and
//! checks invariants by what targets and clients observe.

mod checks;
mod client;
mod commands;
mod documents;
mod entry_link;
mod event;
mod fault_injection;
mod faults;
mod halls;
mod leaves;
mod load;
mod load_jobs;
mod load_results;
mod processes;
mod session;
mod simulation;
mod submissions;
mod subsets;
mod target;
mod transport;
mod uneven;
mod unstable_targets;

pub use checks::CapacitySummary;
pub use load::{Cut, DataDemand, Load, LoadFault, SlowLinks, Surge, run_load};
pub use load_jobs::Workload;
pub use load_results::{GroupResult, LoadResult};

use crate::checks::Violation;
use crate::simulation::Options;

/// Timing and policy of the processes of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityTiming {
    /// Timing of entries.
    pub entry: dispatch::Timing,
    /// Timing of agents.
    pub agent: runner::Timing,
    /// Policy of entries.
    pub policy: dispatch::Policy,
}

/// Runs one seed with the default timing; returns its counters, or the violations found.
pub fn run_capacity(options: &Options) -> Result<CapacitySummary, Vec<Violation>> {
    run_capacity_with(options, CapacityTiming::default())
}

/// Runs one seed with a given timing; returns its counters, or the violations found.
pub fn run_capacity_with(
    options: &Options,
    timing: CapacityTiming,
) -> Result<CapacitySummary, Vec<Violation>> {
    simulation::Simulation::new(options, timing).run()
}
