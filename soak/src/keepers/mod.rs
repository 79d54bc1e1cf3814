//! Randomised runs of keepers, operators and nodes.
//!
//! Keepers store records on simulated disks, which may fill up or be lost within the tolerance of
//! the cluster. Messages are lost, delayed, duplicated and reordered; keepers crash, stall, are
//! isolated, and lose power right after acknowledgements. Most runs change the members of the
//! cluster. Operators change settings concurrently, resend requests and read; nodes pull settings
//! and restart.
//! Optionally, operators also empty halls and replace keepers.

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
