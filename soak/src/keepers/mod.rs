//! Randomised runs of keepers, operators and nodes.
//!
//! Keepers have disks that keep what was synced, and may lose them, one at a time. Operators race,
//! resend and read. Nodes pull settings and come and go. Frames are lost, delayed, doubled and
//! overtake each other; keepers die, stall and are cut off.

mod checks;
mod faults;
mod nodes;
mod operators;
mod world;

pub use checks::KeeperSummary;
pub use world::run_keepers;
