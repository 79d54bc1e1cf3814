//! Randomised simulations of entries, agents and keepers in virtual time.
//!
//! A run is determined by its seed: the nodes, the submissions, the fate of each message, and the
//! processes that crash, stall or leave. The harness only carries messages between the libraries
//! and checks invariants. It does not model the performance of a cluster: time passes only where a
//! message or a task takes some.

mod agents;
mod capacity;
mod checks;
mod clients;
mod entries;
mod faults;
mod keepers;
mod network;
mod nodes;
mod script;
mod settings_rollout;
mod simulation;

pub use capacity::{
    CapacitySummary, CapacityTiming, Cut, DataDemand, GroupResult, Load, LoadFault, LoadResult,
    SlowLinks, Surge, Workload, run_capacity, run_capacity_with, run_load,
};
pub use checks::{Summary, Violation};
pub use keepers::{KeeperSummary, run_keepers};
pub use script::{Direction, Expectation, Frame, Outcome, Script, ScriptError, Step, TimedStep};
pub use simulation::{Options, run};
