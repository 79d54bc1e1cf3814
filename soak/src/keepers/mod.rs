//! Randomised runs of keepers, operators and nodes.
//!
//! Keepers store records on simulated disks, which may fill up or be lost within the tolerance of
//! the cluster. Messages are lost, delayed, duplicated and reordered; keepers crash, stall, are
//! isolated, and lose power right after acknowledgements. Operators change settings concurrently
//! and resend requests; nodes pull settings and restart.

mod checks;
mod disks;
mod faults;
mod halls;
mod moves;
mod nodes;
mod operators;
mod simulation;

pub use checks::KeeperSummary;
pub use simulation::run_keepers;
