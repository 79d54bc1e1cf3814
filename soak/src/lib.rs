//! Randomised runs of the decision libraries of entries and agents, in virtual time.
//!
//! A run is made by its seed alone: the nodes, the submissions, what the network does to each
//! message, and which processes die, stall or leave. Nothing here decides anything for dockpass;
//! it carries messages between the libraries and checks what must always hold. It is no simulator
//! of a cluster: time passes only where a message or a task takes some.

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
    CapacitySummary, CapacityTiming, Cut, Load, LoadResult, SlowLinks, Surge, Workload,
    run_capacity, run_capacity_with, run_load,
};
pub use checks::{Summary, Violation};
pub use keepers::{KeeperSummary, run_keepers};
pub use script::{Direction, Expectation, Frame, Outcome, Script, ScriptError, Step, TimedStep};
pub use simulation::{Options, run};
