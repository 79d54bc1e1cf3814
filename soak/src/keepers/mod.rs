//! Randomised runs of keepers, operators and nodes.
//!
//! Keepers have disks that keep what was synced, and may lose them, no more before their repair than the
//! cluster bears; disks fill, and have room again. Operators race, resend and read. Nodes pull settings and come and go. Frames are
//! lost, delayed, doubled and overtake each other; keepers die, stall and are cut off. Right after
//! some acknowledgements all lose power, with what they had not synced, and as many as the cluster
//! bears their disks. In most runs members change, and in most of these only a part of the keepers
//! begin the cluster. Where it is asked for, operators empty halls, and move keepers to other hosts for good.

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
